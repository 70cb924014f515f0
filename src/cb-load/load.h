#ifndef LOAD_H
#define LOAD_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/* The outcome of one request, as its caller observed it. */
typedef struct load_result {
	/* HTTP status of the answer; 0: no answer was received. */
	unsigned int status;
	char *reason;	/* reason of an error answer, or NULL */
	char *executed; /* `executed` of an error answer, or NULL */
	/* Whether the whole stream was received, without an error. */
	gboolean is_complete;
	gboolean has_wrong_token;
	gboolean is_abandoned;
	uint64_t token_count;
	int64_t retry_after_s;
	/* Time from the start of the request to the first token. */
	int64_t first_token_us;
	GArray *gaps_us; /* int64_t: times between consecutive tokens */
} load_result_t;

typedef struct load_request {
	const char *address;
	const char *key;
	const char *model;
	const char *prompt;
	uint64_t max_tokens;
	/* Number of tokens after which to close the connection; 0: never. */
	uint64_t abandon_after_tokens;
	/*
	 * Number of layers of the model, used to check the tokens; 0: no check.
	 */
	uint32_t layer_count;
} load_request_t;

/* Called with the text of each received token. */
typedef void (*load_token_fn_t)(const char *text, void *user_data);
/* Called when the request has ended; `result` is freed afterwards. */
typedef void (*load_done_fn_t)(const load_result_t *result, void *user_data);

void load_stream_start(SoupSession *session, const load_request_t *request,
		       load_token_fn_t on_token, load_done_fn_t on_done,
		       void *user_data);

SoupSession *load_session_new(void);

/*
 * The entry instances to use for each workspace, as an entry instance answers
 * at /v1/addresses, cached until the answer expires.
 */
typedef struct load_addresses load_addresses_t;
/* Called with an entry instance's address, or NULL if none answered. */
typedef void (*load_addresses_fn_t)(const char *address, void *user_data);

load_addresses_t *load_addresses_new(SoupSession *session, cb_clock_t *clock,
				     char **entries);
void load_addresses_delete(load_addresses_t *addresses);
void load_addresses_get(load_addresses_t *addresses, const char *workspace,
			uint64_t request_number, load_addresses_fn_t on_done,
			void *user_data);

/* Statistics of the requests of one workspace, or of all. */
typedef struct load_stats {
	uint64_t started_count;
	uint64_t complete_count;
	uint64_t wrong_count; /* requests with an unexpected token */
	/* Requests that failed after the first token. */
	uint64_t truncated_count;
	/* Requests that failed before the first token. */
	uint64_t refused_count;
	uint64_t abandoned_count;
	uint64_t token_count;
	/* int64_t, one `first_token_us` of load_result_t per request. */
	GArray *first_token_us;
	/* int64_t, times between tokens, of all requests. */
	GArray *gaps_us;
	/*
	 * int64_t, the longest time between tokens, one per request with two or
	 * more.
	 */
	GArray *longest_gaps_us;
	/* Reason of a failure -> number of such requests, uint64_t *. */
	GHashTable *failure_counts;
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
