#ifndef RUN_H
#define RUN_H

#include "load.h"

typedef struct run_options {
	char *entry;	   /* addresses of entry instances: IP:PORT,... */
	char **workspaces; /* each NAME=KEY or NAME=KEY@RATE */
	char *model;
	/* Number of requests in flight in each closed loop. */
	int concurrency;
	/* Request rate of each workspace; 0: closed loop. */
	double requests_per_s;
	int duration_s;
	/* Maximum number of tokens requested per answer. */
	int max_tokens;
	/* Number of tokens that the fake model puts in an answer. */
	int answer_tokens;
	double abandoned_share; /* share of abandoned requests, from 0 to 1 */
	/*
	 * Number of layers of the model, used to check the answers; 0: no
	 * check.
	 */
	int layer_count;
	int seed;
	gboolean is_json;
} run_options_t;

typedef struct run run_t;

/* A workspace that sends requests, in a closed or an open loop. */
typedef struct workspace {
	run_t *run;
	char *name;
	char *key;
	/* Requests sent per second; 0 in a closed loop. */
	double requests_per_s;
	uint64_t next_request_number;
	load_stats_t stats;
	cb_timer_t *arrival_timer;
} workspace_t;

/* One run of cb-load, with its workspaces and requests in flight. */
struct run {
	const run_options_t *options;
	GMainLoop *loop;
	cb_clock_t *clock;
	SoupSession *session;
	load_addresses_t *addresses;
	GRand *random;
	GPtrArray *workspaces;
	int64_t in_flight_count;
	int64_t ends_ms;
	/* Whether the run is over and starts no more requests. */
	gboolean is_draining;
	cb_timer_t *end_timer;
};

int run_report(run_t *run, double seconds);

#endif
