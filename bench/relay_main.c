#include "relay.h"

#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"

/* Creates the clock and the kernel of a process. */
void relay_process_init(relay_process_t *process)
{
	process->clock = cb_clock_new(NULL);
	process->kernel = cb_kernel_new(NULL, process->clock, NULL);
}

/* Runs the process until it is stopped; returns its exit code. */
int relay_process_run(relay_process_t *process)
{
	int exit_code = cb_kernel_run(process->kernel);

	cb_kernel_delete(process->kernel);
	cb_clock_delete(process->clock);
	return exit_code;
}

int main(int argc, char **argv)
{
	cb_program_init();
	if (argc > 1 && !strcmp(argv[1], "source"))
		return relay_source_main(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "bare"))
		return relay_bare_main(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "client"))
		return relay_client_main(argc - 1, argv + 1);
	fprintf(stderr, "usage: bench-relay source|bare|client [OPTIONS]\n");
	return CB_EXIT_USAGE;
}
