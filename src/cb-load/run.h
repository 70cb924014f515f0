#ifndef RUN_H
#define RUN_H

#include "load.h"

typedef struct run_options {
	char *entry;	   /* addresses of entry instances: IP:PORT,... */
	char **workspaces; /* each NAME=KEY or NAME=KEY@RATE */
	char *model;
	int concurrency;       /* requests in flight in each closed loop */
	double requests_per_s; /* rate of each workspace; 0: closed loop */
	int duration_s;
	int max_tokens;		/* maximum that is requested for an answer */
	int answer_tokens;	/* number of tokens of an answer */
	double abandoned_share; /* share of abandoned requests, from 0 to 1 */
	/* Layers of the model, to check answers; 0: no check. */
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
	double requests_per_s; /* 0 in a closed loop */
	uint64_t next_request_number;
	load_stats_t stats;
	cb_timer_t *arrival_timer;
} workspace_t;

/* One run of the load. */
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
	gboolean is_draining; /* no more requests are started */
	cb_timer_t *end_timer;
};

int run_report(run_t *run, double seconds);

#endif
