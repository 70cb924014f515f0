#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "slopes.h"

/* A part of the measurements, that can be run alone. */
typedef struct part {
	const char *name;
	void (*run)(const slopes_output_t *output);
} part_t;

static const part_t parts[] = {
	{ "sessions", slopes_control_sessions },
	{ "changes", slopes_control_changes },
	{ "claims", slopes_control_claims },
	{ "demand", slopes_demand },
	{ "contracts", slopes_contracts },
	{ "servers", slopes_servers },
	{ "state", slopes_state },
};

static void load_print_(const char *when, const slopes_output_t *output)
{
	double load[1] = { 0 };

	if (getloadavg(load, 1) != 1)
		return;
	if (output->is_json)
		printf("{\"name\":\"load_average_%s\",\"value\":%.2f,"
		       "\"unit\":\"processes\",\"seed\":%d}\n",
		       when, load[0], SLOPES_SEED);
	else
		printf("load average, %s: %.2f\n", when, load[0]);
}

int main(int argc, char **argv)
{
	const char *only = NULL;
	slopes_output_t output = { 0 };
	size_t i;
	int k;

	cb_program_init();
	for (k = 1; k < argc; k++) {
		if (!strcmp(argv[k], "--json"))
			output.is_json = TRUE;
		else
			only = argv[k];
	}
	load_print_("before", &output);
	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (only && strcmp(only, parts[i].name) != 0)
			continue;
		if (!output.is_json)
			printf("%s\n", parts[i].name);
		parts[i].run(&output);
	}
	load_print_("after", &output);
	return 0;
}
