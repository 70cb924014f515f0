#ifndef PRIVATE_CALL_DATA_H
#define PRIVATE_CALL_DATA_H

#include "currantbridge/call.h"
#include "private/progress.h"
#include "private/retry_budget.h"
#include "private/router.h"

/* What the parts of a call share; see call.c and call_claim.c. */
struct cb_call_env {
	cb_call_parts_t parts;
	cb_retry_budget_t *budget;
	cb_progress_t progress; /* of idempotent calls */
	GHashTable *calls;	/* a set of all that exist */
};

/* A command on its way to the ledger; it outlives a deleted call. */
typedef struct cb_submission {
	cb_call_t *call;
	cb_ledger_fn_t done;
} cb_submission_t;

struct cb_call {
	cb_call_env_t *env;
	cb_call_request_t request; /* its texts are the call's own */
	char *digest;
	int64_t deadline_at_ms;
	cb_call_ended_fn_t ended;
	void *user_data;

	cb_server_t *server; /* of the attempt, begun */
	cb_exchange_t *exchange;
	GHashTable *excluded; /* names of servers not to be tried again */
	unsigned int attempts;
	unsigned int silent_attempts;
	gboolean may_have_run;
	int64_t sent_at_us;

	/* Of a claimed call. */
	char *change_id;
	cb_submission_t *submission;
	uint64_t fencing; /* 0: no claim is held */
	gboolean proves_by_fencing;
	cb_server_t *chosen;	/* named in the claim, begun; may be NULL */
	cb_server_t *proved;	/* asked by fencing, begun */
	uint64_t proof_fencing; /* the number noted there */
	unsigned int proof_tries;
	unsigned int waits;    /* for the first call with this key */
	gboolean is_unclaimed; /* CLAIM unanswered: to be given back */
	cb_command_t *finish;  /* the end, until it is recorded */
	unsigned int finish_tries;
	void (*finished)(cb_call_t *call); /* what follows it */

	gboolean is_ended;    /* the end is known */
	gboolean is_answered; /* the caller was told, or has gone */
	gboolean is_deleted;  /* by its caller */
	cb_call_end_t end;
	cb_service_answer_t answer; /* that `end` refers to */
	cb_timer_t *deadline_timer;
	cb_timer_t *wake_timer;
	void (*wake)(cb_call_t *call);
	cb_timer_t *end_timer;
};

/* call.c */
void cb_call_end(cb_call_t *call, cb_refusal_t refusal, cb_executed_t executed);
void cb_call_end_answered(cb_call_t *call, const cb_service_answer_t *answer,
			  gboolean is_replayed);
void cb_call_wake(cb_call_t *call, int64_t delay_ms,
		  void (*wake)(cb_call_t *call));
void cb_call_count_retry(cb_call_t *call, const char *reason);
gboolean cb_call_may_retry(cb_call_t *call);
cb_server_t *cb_call_route(cb_call_t *call);
void cb_call_server_set(cb_server_t **place, cb_server_t *server);
void cb_call_send(cb_call_t *call, cb_server_t *server,
		  void (*done)(void *user_data, cb_failure_t failure,
			       const cb_service_answer_t *answer));
void cb_call_exchange_cancel(cb_call_t *call);
int64_t cb_call_remaining_ms(const cb_call_t *call);
void cb_call_sweep(cb_call_t *call);

/* call_claim.c */
void cb_call_claim_start(cb_call_t *call);
void cb_call_claim_deadline(cb_call_t *call);
gboolean cb_call_claim_is_pending(const cb_call_t *call);

/* call_finish.c */
void cb_call_submit(cb_call_t *call, cb_command_t *command, int64_t timeout_ms,
		    cb_ledger_fn_t done);
cb_command_t *cb_call_command(const cb_call_t *call, cb_command_kind_t kind);
void cb_call_finish(cb_call_t *call, cb_claim_result_t result,
		    const cb_service_answer_t *answer,
		    void (*finished)(cb_call_t *call));
GBytes *cb_call_answer_encode(const cb_service_answer_t *answer);
gboolean cb_call_answer_decode(GBytes *bytes, cb_service_answer_t *answer);
void cb_call_answer_clear(cb_service_answer_t *answer);

#endif
