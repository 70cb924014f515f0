#ifndef CURRANTBRIDGE_GENERATION_H
#define CURRANTBRIDGE_GENERATION_H

#include "currantbridge/engine_client.h"
#include "currantbridge/history.h"
#include "currantbridge/http_server.h"
#include "currantbridge/refusal.h"

/*
 * The generation of one answer, from admission to its last token: selects a
 * chain of engines, runs each token through it, and starts a new epoch on
 * another chain when a stage fails.  The sink receives each token exactly
 * once, in order.
 */
typedef struct cb_generation cb_generation_t;
typedef struct cb_generation_env cb_generation_env_t;

typedef struct cb_generation_request {
	const char *request; /* request ID; a random suffix is added */
	const char *workspace;
	const char *model;
	const char *prompt;
	uint64_t max_tokens; /* maximum length of the answer; 0 counts as 1 */
	int64_t priority;
	/* time from cb_generation_start() to the deadline */
	int64_t deadline_ms;
} cb_generation_request_t;

typedef struct cb_generation_end {
	/* why the answer is incomplete; NONE if it is complete */
	cb_refusal_t refusal;
	cb_executed_t executed; /* whether an engine ran the request */
	/* seconds after which to retry; 0: no retry time is known */
	int64_t retry_after_s;
} cb_generation_end_t;

typedef struct cb_generation_sink {
	/* Receives a token's text; may cancel or delete the generation. */
	void (*token)(void *user_data, uint64_t index, const char *text);
	/* Called once, never before cb_generation_start() has returned. */
	void (*ended)(void *user_data, const cb_generation_end_t *end);
	void *user_data;
} cb_generation_sink_t;

typedef struct cb_generation_parts {
	cb_clock_t *clock;
	GRand *random;
	cb_log_t *log;
	cb_counters_t *counters;
	cb_server_registry_t *registry;
	cb_engine_client_t *engines;
	const cb_view_t *view;
	const char *data_centre;
	/* Name of this entry instance in its reports; NULL: it has no name. */
	const char *instance;
	/*
	 * Reports to all entry instances that a server died while running a
	 * request with this digest.
	 */
	void (*report_suspect)(void *user_data, const char *digest,
			       const char *server);
	/*
	 * Withdraws all reports about a digest, as a request with it completed.
	 */
	void (*clear_suspect)(void *user_data, const char *digest);
	/*
	 * Makes all entry instances refuse requests with this digest until a
	 * wall-clock time.
	 */
	void (*quarantine)(void *user_data, const char *digest,
			   int64_t until_wall_ms);
	void *user_data;
	/* records the requests' events; NULL: no events are recorded */
	cb_history_t *history;
} cb_generation_parts_t;

/* State that all generations of one entry instance share. */
cb_generation_env_t *cb_generation_env_new(const cb_generation_parts_t *parts);
void cb_generation_env_delete(cb_generation_env_t *env);

cb_generation_t *cb_generation_new(cb_generation_env_t *env,
				   const cb_generation_request_t *request,
				   const cb_generation_sink_t *sink);
void cb_generation_start(cb_generation_t *generation);
/*
 * Ends the generation without calling `ended`; every stage is notified at once.
 */
void cb_generation_cancel(cb_generation_t *generation);
void cb_generation_delete(cb_generation_t *generation);

#endif
