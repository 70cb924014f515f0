#ifndef BENCH_RELAY_H
#define BENCH_RELAY_H

#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"

/*
 * The processes of the benchmark `bench/run relay`: simulated engines that send
 * tokens, a minimal relay as the baseline, and clients that measure delays.
 */
int relay_source_main(int argc, char **argv);
int relay_bare_main(int argc, char **argv);
int relay_client_main(int argc, char **argv);

/* The kernel and clock of a benchmark process; SIGTERM stops it. */
typedef struct relay_process {
	cb_clock_t *clock;
	cb_kernel_t *kernel;
} relay_process_t;

void relay_process_init(relay_process_t *process);
int relay_process_run(relay_process_t *process);

#endif
