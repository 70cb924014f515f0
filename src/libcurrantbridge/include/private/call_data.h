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
	cb_call_t *call; /* NULL once the call has been freed */
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
	cb_exchange_t *exchange; /* in flight, or NULL */
	GHashTable *excluded;	 /* names of servers not to be tried again */
	unsigned int attempt_count;
	unsigned int timed_out_attempts; /* those that had no answer in time */
	gboolean may_have_run; /* an earlier attempt may have been run */
	int64_t sent_at_us;

	/* Non-idempotent calls only. */
	char *change_id;	     /* change ID of the CLAIM command */
	cb_submission_t *submission; /* in flight, or NULL */
	/* fencing number of the claim held; 0: none is held */
	uint64_t fencing;
	/* Whether fence queries resolve an unknown outcome; sent in CLAIM. */
	gboolean proves_by_fencing;
	/*
	 * Server that the claim names, or NULL; the call counts as an attempt
	 * there.
	 */
	cb_server_t *claimed_server;
	/*
	 * Server that receives fence queries; the call counts as an attempt
	 * there.
	 */
	cb_server_t *fence_server;
	/* Fencing number that the fence queries carry. */
	uint64_t fence_query_fencing;
	unsigned int failed_fence_queries;
	/* How often the call waited for a running call with the same key. */
	unsigned int running_wait_count;
	/* Whether an unneeded CLAIM may be recorded and must be released. */
	gboolean is_release_pending;
	cb_command_t *finish_command; /* CLAIM_FINISH until it is recorded */
	unsigned int finish_try_count;
	/* Called when `finish_command` is recorded, or NULL. */
	void (*finish_done)(cb_call_t *call);

	gboolean is_ended;	  /* `end` is set, or the call was dropped */
	gboolean is_end_reported; /* `ended` was called or must not be called */
	gboolean is_deleted;	  /* deleted by its caller */
	cb_call_end_t end;
	cb_service_answer_t answer; /* storage of the answer in `end` */
	cb_timer_t *deadline_timer;
	cb_timer_t *wait_timer;		    /* answer timeout or retry delay */
	void (*wait_done)(cb_call_t *call); /* called by wait_timer */
	cb_timer_t *report_timer; /* calls `ended` from the main loop */
};

/* call.c */
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

/* call_claim.c */
void cb_call_claim_start(cb_call_t *call);
void cb_call_claim_deadline_passed(cb_call_t *call);
gboolean cb_call_claim_is_pending(const cb_call_t *call);

/* call_finish.c */
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
