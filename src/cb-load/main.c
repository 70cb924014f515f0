#include "load.h"

#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_table[] = {
	{ "ask", load_ask_main, "stream one answer to the terminal" },
	{ "call", load_call_main, "call a plain service" },
	{ "run", load_run_main, "load the system for some seconds" },
};

static void usage_print_(FILE *stream)
{
	size_t i;

	fprintf(stream, "Usage: cb-load COMMAND [OPTIONS]\n\nCommands:\n");
	for (i = 0; i < G_N_ELEMENTS(command_table); i++)
		fprintf(stream, "  %-6s %s\n", command_table[i].name,
			command_table[i].help);
	fprintf(stream, "\ncb-load COMMAND --help shows its options.\n");
}

int main(int argc, char **argv)
{
	size_t i;

	cb_program_init();
	g_set_prgname("cb-load");
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("cb-load %s\n", CB_VERSION);
		return CB_EXIT_OK;
	}
	if (argc > 1 && !strcmp(argv[1], "--help")) {
		usage_print_(stdout);
		return CB_EXIT_OK;
	}
	for (i = 0; argc > 1 && i < G_N_ELEMENTS(command_table); i++)
		if (!strcmp(argv[1], command_table[i].name))
			return command_table[i].run(argc - 1, argv + 1);
	usage_print_(stderr);
	return CB_EXIT_USAGE;
}
