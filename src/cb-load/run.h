#ifndef RUN_H
#define RUN_H

#include "load.h"

typedef struct run_options {
	char *entry;	   /* IP:PORT,... */
	char **workspaces; /* NAME=KEY or NAME=KEY@RATE */
	char *model;
	int concurrency;       /* requests at once of each closed loop */
	double requests_per_s; /* of each workspace; 0: closed loop */
	int duration_s;
	int max_tokens;		/* requested */
	int answer_tokens;	/* length of the answers */
	double abandoned_share; /* of the requests, from 0 to 1 */
	int layer_count;	/* to check answers; 0: no check */
	int seed;
	gboolean is_json;
} run_options_t;

typedef struct run run_t;

/* A workspace that sends requests, in a closed or an open loop. */
typedef struct workspace {
	run_t *run;
	char *name;
	char *key;
	double requests_per_s; /* 0: closed loop */
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
	gboolean is_draining; /* starts no more requests */
	cb_timer_t *end_timer;
};

int run_report(run_t *run, double seconds);

#endif
