#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "slopes.h"

/* A benchmark that can be selected by its name. */
typedef struct benchmark {
	const char *name;
	void (*run)(const slopes_output_t *output);
} benchmark_t;

static const benchmark_t benchmarks[] = {
	{ "sessions", slopes_measure_sessions },
	{ "changes", slopes_measure_changes },
	{ "claims", slopes_measure_claims },
	{ "demand", slopes_measure_demand },
	{ "contracts", slopes_measure_contracts },
	{ "servers", slopes_measure_servers },
	{ "state", slopes_measure_state },
};

static void load_average_print_(const char *when, const slopes_output_t *output)
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
	const char *selected_name = NULL;
	slopes_output_t output = { 0 };
	size_t i;
	int arg_index;

	cb_program_init();
	for (arg_index = 1; arg_index < argc; arg_index++) {
		if (!strcmp(argv[arg_index], "--json"))
			output.is_json = TRUE;
		else
			selected_name = argv[arg_index];
	}
	load_average_print_("before", &output);
	for (i = 0; i < G_N_ELEMENTS(benchmarks); i++) {
		if (selected_name &&
		    strcmp(selected_name, benchmarks[i].name) != 0)
			continue;
		if (!output.is_json)
			printf("%s\n", benchmarks[i].name);
		benchmarks[i].run(&output);
	}
	load_average_print_("after", &output);
	return 0;
}
