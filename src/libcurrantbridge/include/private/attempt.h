#ifndef PRIVATE_ATTEMPT_H
#define PRIVATE_ATTEMPT_H

#include "currantbridge/generation.h"
#include "private/progress.h"
#include "private/suspects.h"
#include "private/router.h"

/*
 * One epoch of a generation: its sessions on the engines of one chain, and
 * the steps of its tokens through them.
 */
typedef struct cb_attempt cb_attempt_t;

typedef struct cb_attempt_failure {
	cb_failure_t failure;
	cb_server_t *server;
	/* A fresh connection failed as well. */
	gboolean is_server_dead;
} cb_attempt_failure_t;

/*
 * Each may delete the attempt, and is the last thing that the attempt does
 * before it returns to the engine client.
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
	/* Its layer range is filled in for each stage. */
	cb_engine_order_t order;
	GArray *chain; /* of cb_route_stage_t; taken */
	/* Stage that takes its session over from `move_from`; -1: none. */
	int move_stage;
	cb_server_t *move_from;
	uint64_t move_epoch;
	cb_progress_t *step_progress;
	cb_progress_t *open_progress;
	/* Deadlines are stretched by this power of two. */
	unsigned int patience;
} cb_attempt_parts_t;

cb_attempt_t *cb_attempt_new(const cb_attempt_parts_t *parts,
			     const cb_attempt_listener_t *listener);
void cb_attempt_delete(cb_attempt_t *attempt);
void cb_attempt_start(cb_attempt_t *attempt);
/* Begins the next token of a chain; a stream goes on by itself. */
void cb_attempt_next(cb_attempt_t *attempt);
void cb_attempt_finish(cb_attempt_t *attempt);

gboolean cb_attempt_is_stream(const cb_attempt_t *attempt);
/* Whether an engine may have taken the order. */
gboolean cb_attempt_is_accepted(const cb_attempt_t *attempt);
uint64_t cb_attempt_epoch(const cb_attempt_t *attempt);
const GArray *cb_attempt_chain(const cb_attempt_t *attempt);
/* Leaves the session of one stage alive when the attempt is deleted. */
void cb_attempt_keep(cb_attempt_t *attempt, unsigned int stage);

#endif
