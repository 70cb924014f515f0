#ifndef BENCH_RELAY_H
#define BENCH_RELAY_H

#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"

/* The parts of the relay's measurement, each a process of its own. */
int relay_source_main(int argc, char **argv);
int relay_bare_main(int argc, char **argv);
int relay_client_main(int argc, char **argv);

/* A process of the measurement: a loop that SIGTERM ends. */
typedef struct relay_process {
	cb_clock_t *clock;
	cb_kernel_t *kernel;
} relay_process_t;

void relay_process_init(relay_process_t *process);
int relay_process_run(relay_process_t *process);

#endif
