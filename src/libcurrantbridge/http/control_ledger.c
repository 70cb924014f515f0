#include "private/entry.h"

/* A ledger that records claims through the session with control. */
typedef struct control_ledger {
	cb_ledger_t base;
	cb_control_client_t *control;
} control_ledger_t;

/* The callback of one command that was submitted to control. */
typedef struct submission {
	cb_ledger_fn_t done;
	void *user_data;
} submission_t;

static void submission_ended_(cb_control_outcome_t outcome,
			      const cb_answer_t *answer, void *user_data)
{
	static const cb_ledger_outcome_t outcomes[CB_CONTROL_OUTCOME_COUNT] = {
		[CB_CONTROL_ANSWERED] = CB_LEDGER_ANSWERED,
		[CB_CONTROL_UNAVAILABLE] = CB_LEDGER_UNAVAILABLE,
		[CB_CONTROL_UNKNOWN] = CB_LEDGER_UNKNOWN,
	};
	submission_t *submission = user_data;

	submission->done(outcomes[outcome], answer, submission->user_data);
	g_free(submission);
}

static void ledger_submit_(cb_ledger_t *base, cb_command_t *command,
			   int64_t timeout_ms, cb_ledger_fn_t done,
			   void *user_data)
{
	control_ledger_t *ledger = (control_ledger_t *)base;
	submission_t *submission = g_new0(submission_t, 1);

	submission->done = done;
	submission->user_data = user_data;
	cb_control_client_submit(ledger->control, command, timeout_ms,
				 submission_ended_, submission);
}

/* Creates a ledger whose claims are committed by the control quorum. */
cb_ledger_t *cb_control_ledger_new(cb_control_client_t *control)
{
	static const cb_ledger_vtable_t vtable = { .submit = ledger_submit_ };
	control_ledger_t *ledger = g_new0(control_ledger_t, 1);

	ledger->base.vtable = &vtable;
	ledger->control = control;
	return &ledger->base;
}

/* Deletes the ledger; NULL is allowed. */
void cb_control_ledger_delete(cb_ledger_t *ledger)
{
	g_free(ledger);
}
