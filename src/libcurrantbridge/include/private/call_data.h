#ifndef PRIVATE_CALL_DATA_H
#define PRIVATE_CALL_DATA_H

#include "currantbridge/call.h"
#include "private/progress.h"
#include "private/retry_budget.h"
#include "private/router.h"

/* Internals of calls, shared by call.c, call_claim.c and call_finish.c. */
struct cb_call_env {
	cb_call_parts_t parts;
	cb_retry_budget_t *budget;
	cb_progress_t progress; /* answer times of idempotent calls */
	GHashTable *calls;	/* set of all cb_call_t that exist */
};

/* A command submitted to the ledger; it may outlive its call. */
typedef struct cb_submission {
	/* call that submitted the command; NULL once the call was freed */
	cb_call_t *call;
	cb_ledger_fn_t done;
} cb_submission_t;

struct cb_call {
	cb_call_env_t *env;
	cb_call_request_t request; /* its strings are owned by the call */
	char *digest; /* digest of workspace, service, method, path and body */
	int64_t deadline_at_ms;
	cb_call_ended_fn_t ended;
	void *user_data;

	/*
	 * Server of the last attempt; the attempt counts there until this is
	 * replaced.
	 */
	cb_server_t *server;
	/* exchange with a server that is in flight, or NULL */
	cb_exchange_t *exchange;
	GHashTable *excluded; /* names of servers not to be tried again */
	unsigned int attempt_count;
	/* number of attempts that had no answer in time */
	unsigned int timed_out_attempts;
	gboolean may_have_run; /* an earlier attempt may have been run */
	int64_t sent_at_us;

	/*
	 * The members from here to `finish_done` are for non-idempotent calls
	 * only.
	 */
	char *change_id; /* change ID of the CLAIM command */
	/* submission of a command that is in flight, or NULL */
	cb_submission_t *submission;
	/*
	 * fencing number of the claim that the call holds; 0: it holds no claim
	 */
	uint64_t fencing;
	/*
	 * Whether a server can be asked if it executed a call whose outcome is
	 * unknown; sent in CLAIM.
	 */
	gboolean proves_by_fencing;
	/*
	 * Server that the claim names, or NULL; the call counts as an attempt
	 * at this server.
	 */
	cb_server_t *claimed_server;
	/*
	 * Server that is asked whether it executed the call; the call counts as
	 * an attempt at this server.
	 */
	cb_server_t *fence_server;
	/*
	 * Fencing number that is sent when a server is asked if it executed the
	 * call.
	 */
	uint64_t fence_query_fencing;
	unsigned int failed_fence_queries;
	/* How often the call waited for a running call with the same key. */
	unsigned int running_wait_count;
	/* Whether an unneeded CLAIM may be recorded and must be released. */
	gboolean is_release_pending;
	/* CLAIM_FINISH command, kept until it is recorded */
	cb_command_t *finish_command;
	unsigned int finish_try_count;
	/* Called when `finish_command` is recorded, or NULL. */
	void (*finish_done)(cb_call_t *call);

	/* the call has ended (`end` says how) or was dropped */
	gboolean is_ended;
	gboolean is_end_reported; /* `ended` was called or must not be called */
	gboolean is_deleted;	  /* the call was deleted by its caller */
	cb_call_end_t end;
	cb_service_answer_t answer; /* storage of the answer in `end` */
	cb_timer_t *deadline_timer;
	cb_timer_t *wait_timer;		    /* answer timeout or retry delay */
	void (*wait_done)(cb_call_t *call); /* called by wait_timer */
	cb_timer_t *report_timer; /* calls `ended` from the main loop */
};

/* Functions of call.c. */
void cb_call_end_refused(cb_call_t *call, cb_refusal_t refusal,
			 cb_executed_t executed);
void cb_call_end_answered(cb_call_t *call, const cb_service_answer_t *answer,
			  gboolean is_replayed);
void cb_call_wait(cb_call_t *call, int64_t delay_ms,
		  void (*done)(cb_call_t *call));
void cb_call_retry_count(cb_call_t *call, const char *reason);
gboolean cb_call_retry_take(cb_call_t *call);
cb_server_t *cb_call_server_choose(cb_call_t *call);
void cb_call_server_set(cb_server_t **reference, cb_server_t *server);
void cb_call_send(cb_call_t *call, cb_server_t *server,
		  void (*done)(void *user_data, cb_failure_t failure,
			       const cb_service_answer_t *answer));
void cb_call_exchange_cancel(cb_call_t *call);
int64_t cb_call_remaining_ms(const cb_call_t *call);
void cb_call_free_if_done(cb_call_t *call);

/* Functions of call_claim.c. */
void cb_call_claim_start(cb_call_t *call);
void cb_call_claim_deadline_passed(cb_call_t *call);
gboolean cb_call_claim_is_pending(const cb_call_t *call);

/* Functions of call_finish.c. */
void cb_call_command_submit(cb_call_t *call, cb_command_t *command,
			    int64_t timeout_ms, cb_ledger_fn_t done);
cb_command_t *cb_call_command_new(const cb_call_t *call,
				  cb_command_kind_t kind);
void cb_call_claim_finish(cb_call_t *call, cb_claim_result_t result,
			  const cb_service_answer_t *answer,
			  void (*then)(cb_call_t *call));
GBytes *cb_call_answer_encode(const cb_service_answer_t *answer);
gboolean cb_call_answer_decode(GBytes *bytes, cb_service_answer_t *answer);
void cb_call_answer_clear(cb_service_answer_t *answer);

#endif
