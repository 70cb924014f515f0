#ifndef CURRANTBRIDGE_GENERATION_H
#define CURRANTBRIDGE_GENERATION_H

#include "currantbridge/engine_client.h"
#include "currantbridge/history.h"
#include "currantbridge/http_server.h"
#include "currantbridge/refusal.h"

/*
 * One generation, from admission to its last token: picks a chain of
 * engines, steps tokens through it, and recovers under a new epoch when a
 * stage is lost.  The caller's side is a sink; it gets each token once, in
 * order.
 */
typedef struct cb_generation cb_generation_t;
typedef struct cb_generation_env cb_generation_env_t;

typedef struct cb_generation_request {
	const char *request;
	const char *workspace;
	const char *model;
	const char *prompt;
	uint64_t max_tokens;
	int64_t priority;
	int64_t deadline_ms; /* from now */
} cb_generation_request_t;

typedef struct cb_generation_end {
	cb_refusal_t refusal; /* NONE: the answer is whole */
	cb_executed_t executed;
	int64_t retry_after_s;
} cb_generation_end_t;

typedef struct cb_generation_sink {
	/* May cancel or delete the generation. */
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
	/* This entry instance, as `suspect` names it; NULL: unnamed. */
	const char *instance;
	/* Tells all entry instances that a server died under a digest. */
	void (*suspect)(void *user_data, const char *digest,
			const char *server);
	/* Takes back what was told of a digest: it has finished whole. */
	void (*clear)(void *user_data, const char *digest);
	/* Has all entry instances refuse a digest. */
	void (*quarantine)(void *user_data, const char *digest,
			   int64_t until_wall_ms);
	void *user_data;
	cb_history_t *history; /* NULL: none is kept */
} cb_generation_parts_t;

/* What the generations of one entry instance share. */
cb_generation_env_t *cb_generation_env_new(const cb_generation_parts_t *parts);
void cb_generation_env_delete(cb_generation_env_t *env);

cb_generation_t *cb_generation_new(cb_generation_env_t *env,
				   const cb_generation_request_t *request,
				   const cb_generation_sink_t *sink);
void cb_generation_start(cb_generation_t *generation);
/* Ends it without a call of `ended`, telling every stage at once. */
void cb_generation_cancel(cb_generation_t *generation);
void cb_generation_delete(cb_generation_t *generation);

#endif
