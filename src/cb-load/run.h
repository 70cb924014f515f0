#ifndef RUN_H
#define RUN_H

#include "load.h"

typedef struct run_options {
	char *entry;
	char **workspaces; /* NAME=KEY or NAME=KEY@RATE */
	char *model;
	int concurrency;
	double rate;
	int seconds;
	int max_tokens;
	int used_tokens;
	double abandon;
	int layers;
	int seed;
	gboolean is_json;
} run_options_t;

typedef struct run run_t;

typedef struct workspace {
	run_t *run;
	char *name;
	char *key;
	double rate; /* requests a second; 0: a closed loop */
	uint64_t turn;
	load_stats_t stats;
	cb_timer_t *arrival;
} workspace_t;

struct run {
	const run_options_t *options;
	GMainLoop *loop;
	cb_clock_t *clock;
	SoupSession *session;
	load_addresses_t *addresses;
	GRand *random;
	GPtrArray *workspaces;
	int64_t in_flight;
	int64_t ends_ms;
	gboolean has_ended;
	cb_timer_t *end_timer;
};

int run_report(run_t *run, double seconds);

#endif
