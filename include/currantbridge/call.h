#ifndef CURRANTBRIDGE_CALL_H
#define CURRANTBRIDGE_CALL_H

#include "currantbridge/command.h"
#include "currantbridge/history.h"
#include "currantbridge/http_server.h"
#include "currantbridge/refusal.h"
#include "currantbridge/service_client.h"

/*
 * One call of a service that is not a model.  Before a non-idempotent call is
 * sent, its idempotency key is claimed from control; the call's outcome is
 * recorded after.
 */
typedef struct cb_call cb_call_t;
typedef struct cb_call_env cb_call_env_t;

typedef enum cb_ledger_outcome {
	CB_LEDGER_ANSWERED,
	CB_LEDGER_UNAVAILABLE, /* the command was certainly not recorded */
	CB_LEDGER_UNKNOWN,     /* the command may have been recorded */
	CB_LEDGER_OUTCOME_COUNT
} cb_ledger_outcome_t;

/* The store of claims: the control quorum, or a fake in tests. */
typedef struct cb_ledger cb_ledger_t;

typedef void (*cb_ledger_fn_t)(cb_ledger_outcome_t outcome,
			       const cb_answer_t *answer, void *user_data);

typedef struct cb_ledger_vtable {
	/*
	 * Submits `command`, CLAIM or CLAIM_FINISH, and takes ownership of
	 * it.  Calls `done` exactly once, after this has returned.
	 */
	void (*submit)(cb_ledger_t *ledger, cb_command_t *command,
		       int64_t timeout_ms, cb_ledger_fn_t done,
		       void *user_data);
} cb_ledger_vtable_t;

struct cb_ledger {
	const cb_ledger_vtable_t *vtable;
};

typedef struct cb_call_request {
	const char *request; /* the request ID */
	const char *workspace;
	const char *service;
	gboolean is_idempotent;
	const char *method;
	const char *path;
	const char *content_type;
	GBytes *body;
	const char *key; /* idempotency key; may be NULL if idempotent */
	/* time from the start of the call to its deadline */
	int64_t deadline_ms;
} cb_call_request_t;

typedef struct cb_call_end {
	/* why the call has no answer; NONE if `answer` is set */
	cb_refusal_t refusal;
	cb_executed_t executed;
	int64_t retry_after_s;
	gboolean is_replayed; /* the answer is that of an earlier call */
	const cb_service_answer_t *answer;
} cb_call_end_t;

/* Called once, after cb_call_start() has returned. */
typedef void (*cb_call_ended_fn_t)(void *user_data, const cb_call_end_t *end);

typedef struct cb_call_parts {
	cb_clock_t *clock;
	GRand *random;
	cb_log_t *log;
	cb_counters_t *counters;
	cb_server_registry_t *registry;
	cb_service_client_t *services;
	cb_ledger_t *ledger;
	const char *data_centre;
	/* This entry instance as NAME/INCARNATION; it owns the claims. */
	const char *owner;
	/* records the calls; NULL: nothing is recorded */
	cb_history_t *history;
} cb_call_parts_t;

cb_call_env_t *cb_call_env_new(const cb_call_parts_t *parts);
void cb_call_env_delete(cb_call_env_t *env);
/*
 * Returns the number of calls that are running or whose outcome is not yet
 * recorded.  A graceful stop waits until there are none.
 */
size_t cb_call_env_pending(const cb_call_env_t *env);

cb_call_t *cb_call_new(cb_call_env_t *env, const cb_call_request_t *request,
		       cb_call_ended_fn_t ended, void *user_data);
void cb_call_start(cb_call_t *call);
/*
 * Called when the caller has disconnected.  Drops an idempotent call.  Any
 * other call continues until its outcome is recorded, then frees itself.
 */
void cb_call_abandon(cb_call_t *call);
/*
 * Deletes a call; one that is still running is abandoned.  An outcome that
 * is not yet recorded is still recorded.  NULL is allowed.
 */
void cb_call_delete(cb_call_t *call);

#endif
