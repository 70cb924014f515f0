#ifndef LOAD_H
#define LOAD_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/* How one request ended, as its caller saw it. */
typedef struct load_result {
	unsigned int status; /* 0: no HTTP answer came */
	char *reason;	     /* of an error, or NULL */
	char *executed;
	gboolean is_whole; /* every token came, and the end mark */
	gboolean is_wrong; /* a token was not the one expected */
	gboolean is_abandoned;
	uint64_t tokens;
	int64_t retry_after_s;
	int64_t first_token_us;
	GArray *gaps_us; /* of int64_t */
} load_result_t;

typedef struct load_request {
	const char *address;
	const char *key;
	const char *model;
	const char *prompt;
	uint64_t max_tokens;
	/* Close the connection after so many tokens; 0: never. */
	uint64_t abandon_after;
	/* Layers of the model, to check answers by; 0: do not check. */
	uint32_t layer_count;
} load_request_t;

typedef void (*load_token_fn_t)(const char *text, void *user_data);
typedef void (*load_done_fn_t)(const load_result_t *result, void *user_data);

/* One streamed completion; it frees itself after `done`. */
void load_stream_start(SoupSession *session, const load_request_t *request,
		       load_token_fn_t token, load_done_fn_t done,
		       void *user_data);

SoupSession *load_session_new(void);

/* Which entry instances to use, as the system itself answers. */
typedef struct load_addresses load_addresses_t;
typedef void (*load_addresses_fn_t)(const char *address, void *user_data);

load_addresses_t *load_addresses_new(SoupSession *session, cb_clock_t *clock,
				     char **entries);
void load_addresses_delete(load_addresses_t *addresses);
/*
 * Gives the address for a workspace's request of number `turn`, asking the
 * system anew when the last answer has expired; NULL if no entry answers.
 */
void load_addresses_get(load_addresses_t *addresses, const char *workspace,
			uint64_t turn, load_addresses_fn_t done,
			void *user_data);

/* Figures of one workspace, or of all. */
typedef struct load_stats {
	uint64_t started;
	uint64_t whole;
	uint64_t wrong;
	uint64_t cut; /* began but did not end whole */
	uint64_t refused;
	uint64_t abandoned;
	uint64_t tokens;
	GArray *first_token_us;
	GArray *gaps_us;
	GArray *longest_gap_us; /* of each request with two tokens or more */
	GHashTable *refusals;	/* reason -> uint64_t * */
} load_stats_t;

void load_stats_init(load_stats_t *stats);
void load_stats_clear(load_stats_t *stats);
void load_stats_add(load_stats_t *stats, const load_result_t *result);
void load_stats_merge(load_stats_t *into, const load_stats_t *stats);
int64_t load_percentile(GArray *values, unsigned int percent);

int load_ask_main(int argc, char **argv);
int load_call_main(int argc, char **argv);
int load_run_main(int argc, char **argv);

#endif
