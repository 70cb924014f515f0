#include "private/call_data.h"

#include <string.h>

#define CLAIM_TIMEOUT_MS 5000
#define MIN_CLAIM_TIMEOUT_MS 100
#define RECLAIM_DELAY_MS 500
/* How a resend waits for the first call with its key. */
#define FIRST_WAIT_MS 100
#define MAX_WAIT_DOUBLINGS 3
#define MAX_WAITS 12
/* How long a call whose caller was answered may still run. */
#define RUN_ON_MS 30000
#define MIN_SILENCE_MS 1000
#define PROOF_TIMEOUT_MS 1000
#define FIRST_PROOF_DELAY_MS 200
#define MAX_PROOF_TRIES 4

static void claim_submit_(cb_call_t *call);
static void claim_again_(cb_call_t *call);
static void prove_(cb_call_t *call, cb_server_t *server, uint64_t fencing);

/* Tells whether something is left to run or to record. */
gboolean cb_call_claim_is_pending(const cb_call_t *call)
{
	return call->submission || call->finish || call->fencing ||
	       call->is_unclaimed;
}

/* Gives the claim back: nothing was run under it. */
static void release_(cb_call_t *call, cb_refusal_t refusal)
{
	cb_call_end(call, refusal, CB_EXECUTED_NO);
	cb_call_finish(call, CB_CLAIM_RESULT_NOT_EXECUTED, NULL, NULL);
}

/* The call may have taken effect, and nothing can tell. */
static void unknown_(cb_call_t *call)
{
	cb_log_event(call->env->parts.log, CB_EVENT_CALL_UNKNOWN,
		     CB_STR("request", call->request.request),
		     CB_STR("workspace", call->request.workspace));
	cb_call_end(call, CB_REFUSAL_OUTCOME_UNKNOWN, CB_EXECUTED_UNKNOWN);
	cb_call_finish(call, CB_CLAIM_RESULT_UNKNOWN, NULL, NULL);
}

static void executed_(cb_call_t *call, const cb_service_answer_t *answer,
		      gboolean is_replayed)
{
	cb_call_end_answered(call, answer, is_replayed);
	cb_call_finish(call, CB_CLAIM_RESULT_EXECUTED, answer, NULL);
}

static void choose_(cb_call_t *call)
{
	cb_server_t *server = cb_call_route(call);

	if (!server && g_hash_table_size(call->excluded)) {
		g_hash_table_remove_all(call->excluded);
		server = cb_call_route(call);
	}
	cb_call_server_set(&call->chosen, server);
}

/*
 * Nothing was run at the server that the claim names: names another one,
 * within the budget.
 */
static void try_elsewhere_(cb_call_t *call, const char *reason)
{
	cb_call_count_retry(call, reason);
	g_hash_table_add(call->excluded, g_strdup(call->chosen->name));
	if (!cb_call_may_retry(call)) {
		release_(call, CB_REFUSAL_RETRIES_EXHAUSTED);
		return;
	}
	cb_call_server_set(&call->chosen, cb_call_route(call));
	if (!call->chosen)
		release_(call, CB_REFUSAL_NO_SERVER);
	else
		claim_submit_(call);
}

static void sent_done_(void *user_data, cb_failure_t failure,
		       const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	cb_server_t *server = call->server;

	call->exchange = NULL;
	cb_timer_stop(call->wake_timer);
	if (failure == CB_FAILURE_NONE) {
		executed_(call, answer, FALSE);
		return;
	}
	if (failure == CB_FAILURE_CONNECT)
		cb_server_failed(call->env->parts.registry, server);
	if (failure == CB_FAILURE_CONNECT || failure == CB_FAILURE_REFUSED) {
		try_elsewhere_(call, cb_failure_string[failure]);
		return;
	}
	call->may_have_run = TRUE;
	if (!server->checks_fencing)
		unknown_(call);
	else if (failure == CB_FAILURE_FENCED)
		prove_(call, server, call->fencing);
	else
		prove_(call, server, call->fencing + 1);
}

/* No answer for long: asks a server that checks fencing, else gives up. */
static void silent_(cb_call_t *call)
{
	cb_call_exchange_cancel(call);
	sent_done_(call, CB_FAILURE_SILENT, NULL);
}

/* Sends the call to the server that its claim names. */
static void claimed_send_(cb_call_t *call)
{
	cb_server_t *server = call->chosen;
	int64_t remaining_ms = cb_call_remaining_ms(call);
	int64_t patience_ms;

	if (call->is_ended || !server) {
		release_(call, CB_REFUSAL_NO_SERVER);
		return;
	}
	if (!cb_server_accepts(call->env->parts.registry, server)) {
		try_elsewhere_(call, "leaving");
		return;
	}
	patience_ms = server->checks_fencing ?
			      MAX(remaining_ms / 2, MIN_SILENCE_MS) :
			      remaining_ms + RUN_ON_MS;
	cb_call_wake(call, patience_ms, silent_);
	cb_call_send(call, server, sent_done_);
}

/* The proof says that nothing ran: the call may be sent, or sent again. */
static void proved_not_executed_(cb_call_t *call)
{
	gboolean is_takeover =
		call->proof_fencing == call->fencing && !call->server;

	call->may_have_run = FALSE;
	if (!is_takeover) {
		cb_call_count_retry(call, "proved_not_run");
		g_hash_table_add(call->excluded, g_strdup(call->proved->name));
		cb_call_finish(call, CB_CLAIM_RESULT_NOT_EXECUTED, NULL,
			       claim_again_);
		return;
	}
	cb_log_event(call->env->parts.log, CB_EVENT_CLAIM_TAKEN_OVER,
		     CB_STR("request", call->request.request),
		     CB_STR("workspace", call->request.workspace),
		     CB_STR("server", call->proved->name));
	if (call->is_ended || !call->chosen)
		release_(call, CB_REFUSAL_NO_SERVER);
	else
		claim_submit_(call);
}

static void proof_ask_(cb_call_t *call);

static void proof_done_(void *user_data, cb_fence_result_t result,
			const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	int64_t delay_ms = FIRST_PROOF_DELAY_MS << call->proof_tries;

	call->exchange = NULL;
	cb_timer_stop(call->wake_timer);
	if (result == CB_FENCE_EXECUTED)
		executed_(call, answer, !call->server);
	else if (result == CB_FENCE_NOT_EXECUTED)
		proved_not_executed_(call);
	else if (++call->proof_tries < MAX_PROOF_TRIES)
		cb_call_wake(call, delay_ms, proof_ask_);
	else
		unknown_(call);
}

static void proof_silent_(cb_call_t *call)
{
	cb_call_exchange_cancel(call);
	proof_done_(call, CB_FENCE_UNKNOWN, NULL);
}

static void proof_ask_(cb_call_t *call)
{
	cb_service_client_t *services = call->env->parts.services;
	cb_fence_listener_t listener = { .done = proof_done_,
					 .user_data = call };

	cb_call_wake(call, PROOF_TIMEOUT_MS, proof_silent_);
	call->exchange =
		services->vtable->fence(services, call->proved,
					call->request.key, call->proof_fencing,
					&listener);
}

/*
 * Asks the server whether it ran the key, having it refuse every number
 * below `fencing` from then on.
 */
static void prove_(cb_call_t *call, cb_server_t *server, uint64_t fencing)
{
	cb_call_server_set(&call->proved, server);
	call->proof_fencing = fencing;
	call->proof_tries = 0;
	proof_ask_(call);
}

/* An earlier attempt, whose entry instance is gone, may have run. */
static void take_over_(cb_call_t *call, const cb_answer_t *answer)
{
	const cb_server_registry_t *registry = call->env->parts.registry;
	cb_server_t *server = answer->server ?
				      cb_server_find(registry, answer->server) :
				      NULL;

	if (server && server->checks_fencing && !call->is_ended)
		prove_(call, server, call->fencing);
	else
		unknown_(call);
}

static void wait_over_(cb_call_t *call)
{
	if (!call->is_ended)
		cb_call_claim_start(call);
}

/* Waits for the first call with this key, within bounds. */
static void first_call_runs_(cb_call_t *call)
{
	unsigned int doublings = MIN(call->waits, MAX_WAIT_DOUBLINGS);
	int64_t delay_ms = FIRST_WAIT_MS << doublings;

	if (++call->waits > MAX_WAITS ||
	    delay_ms >= cb_call_remaining_ms(call)) {
		cb_call_end(call, CB_REFUSAL_IDEMPOTENCY_KEY_RUNNING,
			    CB_EXECUTED_UNKNOWN);
		return;
	}
	cb_call_wake(call, delay_ms, wait_over_);
}

/* The key has an end on record. */
static void first_call_ended_(cb_call_t *call, const cb_answer_t *answer)
{
	const cb_server_registry_t *registry = call->env->parts.registry;
	cb_service_answer_t recorded;
	cb_server_t *server;

	if (answer->result == CB_CLAIM_RESULT_EXECUTED) {
		if (!cb_call_answer_decode(answer->answer, &recorded)) {
			cb_call_end(call, CB_REFUSAL_ANSWER_NOT_KEPT,
				    CB_EXECUTED_YES);
			return;
		}
		cb_call_end_answered(call, &recorded, TRUE);
		cb_call_answer_clear(&recorded);
		return;
	}
	server = answer->server ? cb_server_find(registry, answer->server) :
				  NULL;
	if (answer->result == CB_CLAIM_RESULT_UNKNOWN && server &&
	    server->checks_fencing && !call->proves_by_fencing) {
		call->proves_by_fencing = TRUE;
		cb_call_claim_start(call);
		return;
	}
	cb_call_end(call, CB_REFUSAL_OUTCOME_UNKNOWN, CB_EXECUTED_UNKNOWN);
}

static void claim_answered_(cb_call_t *call, const cb_answer_t *answer)
{
	call->fencing = 0;
	switch (answer->kind) {
	case CB_ANSWER_CLAIMED:
		call->fencing = answer->fencing;
		if (answer->must_prove)
			take_over_(call, answer);
		else
			claimed_send_(call);
		return;
	case CB_ANSWER_RUNNING:
		first_call_runs_(call);
		return;
	case CB_ANSWER_FINISHED:
		first_call_ended_(call, answer);
		return;
	case CB_ANSWER_DIGEST_DIFFERS:
		cb_call_end(call, CB_REFUSAL_IDEMPOTENCY_KEY_REUSED,
			    CB_EXECUTED_NO);
		return;
	case CB_ANSWER_FULL:
		cb_call_end(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
			    CB_EXECUTED_NO);
		return;
	default:
		cb_call_end(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
			    CB_EXECUTED_UNKNOWN);
	}
}

/* A claim that may have been taken and is not wanted any more. */
static void reclaimed_(cb_call_t *call, cb_ledger_outcome_t outcome,
		       const cb_answer_t *answer)
{
	if (outcome != CB_LEDGER_ANSWERED) {
		call->is_unclaimed = TRUE;
		cb_call_wake(call, RECLAIM_DELAY_MS, claim_submit_);
		return;
	}
	call->is_unclaimed = FALSE;
	if (answer->kind == CB_ANSWER_CLAIMED) {
		call->fencing = answer->fencing;
		cb_call_finish(call,
			       answer->must_prove ?
				       CB_CLAIM_RESULT_UNKNOWN :
				       CB_CLAIM_RESULT_NOT_EXECUTED,
			       NULL, NULL);
		return;
	}
	cb_call_sweep(call);
}

static void claim_done_(cb_ledger_outcome_t outcome, const cb_answer_t *answer,
			void *user_data)
{
	cb_call_t *call = user_data;

	if (call->is_ended && !call->fencing) {
		reclaimed_(call, outcome, answer);
	} else if (outcome == CB_LEDGER_ANSWERED) {
		claim_answered_(call, answer);
	} else if (call->fencing) {
		/* Held under its first name, and nothing was sent. */
		release_(call, CB_REFUSAL_CONTROL_UNAVAILABLE);
	} else {
		/* An earlier call with this key may have been executed. */
		cb_call_end(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
			    CB_EXECUTED_UNKNOWN);
		if (outcome == CB_LEDGER_UNKNOWN)
			reclaimed_(call, outcome, NULL);
	}
}

/* Submits the claim, or the other server's name for one that is held. */
static void claim_submit_(cb_call_t *call)
{
	cb_command_t *command = cb_call_command(call, CB_COMMAND_CLAIM);
	int64_t timeout_ms = CLAMP(cb_call_remaining_ms(call),
				   MIN_CLAIM_TIMEOUT_MS, CLAIM_TIMEOUT_MS);

	command->change_id = g_strdup(call->change_id);
	command->proves_by_fencing = call->proves_by_fencing;
	if (call->chosen)
		command->server = g_strdup(call->chosen->name);
	cb_call_submit(call, command, timeout_ms, claim_done_);
}

/* Claims the key under a new change ID, naming a server that takes work. */
void cb_call_claim_start(cb_call_t *call)
{
	GRand *random = call->env->parts.random;

	choose_(call);
	g_free(call->change_id);
	call->change_id =
		g_strdup_printf("%s/%08x%08x", call->env->parts.owner,
				g_rand_int(random), g_rand_int(random));
	claim_submit_(call);
}

/* The end of an attempt that did not run is recorded: tries once more. */
static void claim_again_(cb_call_t *call)
{
	cb_call_server_set(&call->server, NULL);
	if (call->is_ended)
		cb_call_sweep(call);
	else if (cb_call_may_retry(call))
		cb_call_claim_start(call);
	else
		cb_call_end(call, CB_REFUSAL_RETRIES_EXHAUSTED, CB_EXECUTED_NO);
}

/*
 * The deadline has passed: the caller is told now.  What was sent runs on
 * to its recorded end; what was not is not sent any more.
 */
void cb_call_claim_deadline(cb_call_t *call)
{
	cb_call_end(call, CB_REFUSAL_DEADLINE_EXCEEDED, CB_EXECUTED_UNKNOWN);
}
