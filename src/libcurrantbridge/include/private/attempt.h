#ifndef PRIVATE_ATTEMPT_H
#define PRIVATE_ATTEMPT_H

#include "currantbridge/generation.h"
#include "private/progress.h"
#include "private/suspects.h"
#include "private/router.h"

/*
 * One epoch of a generation: opens a session on each engine of one chain and
 * runs each token through them in turn.
 */
typedef struct cb_attempt cb_attempt_t;

typedef struct cb_attempt_failure {
	cb_failure_t failure;
	cb_server_t *server;
	/* Whether a new connection to the server failed as well. */
	gboolean is_server_dead;
	/* Whether that one got no answer; its process may still run. */
	gboolean is_probe_silent;
} cb_attempt_failure_t;

/*
 * Each callback may delete the attempt, which does nothing after calling it
 * but return to the engine client.
 */
typedef struct cb_attempt_listener {
	void (*token)(void *user_data, const char *text, gboolean is_last);
	void (*failed)(void *user_data, const cb_attempt_failure_t *failure);
	void *user_data;
} cb_attempt_listener_t;

typedef struct cb_attempt_parts {
	const cb_generation_parts_t *env;
	cb_suspects_t *suspects;
	const char *digest;
	const char *workspace;
	/*
	 * Order for all stages; the layer range of each is taken from `chain`.
	 */
	cb_engine_order_t order;
	GArray *chain; /* array of cb_route_stage_t; ownership is taken */
	/*
	 * Index of the stage whose session moves from `move_from`; -1: no
	 * session moves.
	 */
	int move_stage;
	cb_server_t *move_from;
	uint64_t move_epoch; /* epoch of the session on `move_from` */
	/* progress estimate for steps and streamed tokens */
	cb_progress_t *step_progress;
	/* progress estimate until all sessions are open */
	cb_progress_t *open_progress;
	/* How often the progress timeouts have been doubled. */
	unsigned int timeout_doublings;
} cb_attempt_parts_t;

cb_attempt_t *cb_attempt_new(const cb_attempt_parts_t *parts,
			     const cb_attempt_listener_t *listener);
void cb_attempt_delete(cb_attempt_t *attempt);
void cb_attempt_start(cb_attempt_t *attempt);
/* Starts the next token on a chain; a stream continues by itself. */
void cb_attempt_token_start(cb_attempt_t *attempt);
void cb_attempt_finish(cb_attempt_t *attempt);

gboolean cb_attempt_is_stream(const cb_attempt_t *attempt);
/* Whether an engine may have accepted the attempt's order. */
gboolean cb_attempt_may_be_accepted(const cb_attempt_t *attempt);
uint64_t cb_attempt_epoch(const cb_attempt_t *attempt);
const GArray *cb_attempt_chain(const cb_attempt_t *attempt);
/* Keeps the session of one stage open when the attempt is deleted. */
void cb_attempt_session_keep(cb_attempt_t *attempt, unsigned int stage);

#endif
