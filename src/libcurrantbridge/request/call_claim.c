#include "private/call_data.h"

#include <string.h>

#define CLAIM_TIMEOUT_MS 5000
#define MIN_CLAIM_TIMEOUT_MS 100
/* Delay between attempts to release a claim that may have been recorded. */
#define RELEASE_RETRY_DELAY_MS 500
/* Waits for a running call with the same key, doubled up to the maximum. */
#define FIRST_RUNNING_WAIT_MS 100
#define MAX_RUNNING_WAIT_DOUBLINGS 3
#define MAX_RUNNING_WAITS 12
/* How long after its deadline a call may still be answered. */
#define RUN_AFTER_DEADLINE_MS 30000
#define MIN_ANSWER_TIMEOUT_MS 1000
#define FENCE_QUERY_TIMEOUT_MS 1000
#define FIRST_FENCE_QUERY_DELAY_MS 200
#define MAX_FENCE_QUERIES 4

static void claim_submit_(cb_call_t *call);
static void claim_retry_(cb_call_t *call);
static void fence_query_start_(cb_call_t *call, cb_server_t *server,
			       uint64_t fencing);

/* Returns whether the call has a claim to finish or a command in flight. */
gboolean cb_call_claim_is_pending(const cb_call_t *call)
{
	return call->submission || call->finish_command || call->fencing ||
	       call->is_release_pending;
}

/* Ends the call and releases its claim, under which nothing was run. */
static void claim_release_(cb_call_t *call, cb_refusal_t refusal)
{
	cb_call_end_refused(call, refusal, CB_EXECUTED_NO);
	cb_call_claim_finish(call, CB_CLAIM_RESULT_NOT_EXECUTED, NULL, NULL);
}

/* Ends a call of which it cannot be determined whether it was executed. */
static void call_end_as_unknown_(cb_call_t *call)
{
	cb_log_event(call->env->parts.log, CB_EVENT_CALL_UNKNOWN,
		     CB_STR("request", call->request.request),
		     CB_STR("workspace", call->request.workspace));
	cb_call_end_refused(call, CB_REFUSAL_OUTCOME_UNKNOWN,
			    CB_EXECUTED_UNKNOWN);
	cb_call_claim_finish(call, CB_CLAIM_RESULT_UNKNOWN, NULL, NULL);
}

static void call_end_as_executed_(cb_call_t *call,
				  const cb_service_answer_t *answer,
				  gboolean is_replayed)
{
	cb_call_end_answered(call, answer, is_replayed);
	cb_call_claim_finish(call, CB_CLAIM_RESULT_EXECUTED, answer, NULL);
}

static void claimed_server_choose_(cb_call_t *call)
{
	cb_server_t *server = cb_call_server_choose(call);

	if (!server && g_hash_table_size(call->excluded)) {
		g_hash_table_remove_all(call->excluded);
		server = cb_call_server_choose(call);
	}
	cb_call_server_set(&call->claimed_server, server);
}

/*
 * Changes the claim to another server, within the retry budget, when the
 * call was certainly not run on the server that the claim names.
 */
static void call_retry_on_other_server_(cb_call_t *call, const char *reason)
{
	cb_call_retry_count(call, reason);
	g_hash_table_add(call->excluded, g_strdup(call->claimed_server->name));
	if (!cb_call_retry_take(call)) {
		claim_release_(call, CB_REFUSAL_RETRIES_EXHAUSTED);
		return;
	}
	cb_call_server_set(&call->claimed_server, cb_call_server_choose(call));
	if (!call->claimed_server)
		claim_release_(call, CB_REFUSAL_NO_SERVER);
	else
		claim_submit_(call);
}

static void call_send_done_(void *user_data, cb_failure_t failure,
			    const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	cb_server_t *server = call->server;

	call->exchange = NULL;
	cb_timer_stop(call->wait_timer);
	if (failure == CB_FAILURE_NONE) {
		call_end_as_executed_(call, answer, FALSE);
		return;
	}
	if (failure == CB_FAILURE_CONNECT)
		cb_server_record_failure(call->env->parts.registry, server);
	if (failure == CB_FAILURE_CONNECT ||
	    failure == CB_FAILURE_NO_RESOURCES ||
	    failure == CB_FAILURE_REFUSED) {
		call_retry_on_other_server_(call, cb_failure_string[failure]);
		return;
	}
	call->may_have_run = TRUE;
	if (!server->checks_fencing)
		call_end_as_unknown_(call);
	else if (failure == CB_FAILURE_FENCED)
		fence_query_start_(call, server, call->fencing);
	else
		fence_query_start_(call, server, call->fencing + 1);
}

/* Called when the server has not answered within the timeout. */
static void call_send_timed_out_(cb_call_t *call)
{
	cb_call_exchange_cancel(call);
	call_send_done_(call, CB_FAILURE_SILENT, NULL);
}

/* Sends the call to the server that its claim names. */
static void claimed_call_send_(cb_call_t *call)
{
	cb_server_t *server = call->claimed_server;
	int64_t remaining_ms = cb_call_remaining_ms(call);
	int64_t timeout_ms;

	if (call->is_ended || !server) {
		claim_release_(call, CB_REFUSAL_NO_SERVER);
		return;
	}
	if (!cb_server_accepts(call->env->parts.registry, server)) {
		call_retry_on_other_server_(call, "leaving");
		return;
	}
	timeout_ms = server->checks_fencing ?
			     MAX(remaining_ms / 2, MIN_ANSWER_TIMEOUT_MS) :
			     remaining_ms + RUN_AFTER_DEADLINE_MS;
	cb_call_wait(call, timeout_ms, call_send_timed_out_);
	cb_call_send(call, server, call_send_done_);
}

/* Sends the call, or sends it again, as the server has not run it. */
static void unexecuted_call_retry_(cb_call_t *call)
{
	gboolean is_takeover =
		call->fence_query_fencing == call->fencing && !call->server;

	call->may_have_run = FALSE;
	if (!is_takeover) {
		cb_call_retry_count(call, "proved_not_run");
		g_hash_table_add(call->excluded,
				 g_strdup(call->fence_server->name));
		cb_call_claim_finish(call, CB_CLAIM_RESULT_NOT_EXECUTED, NULL,
				     claim_retry_);
		return;
	}
	cb_log_event(call->env->parts.log, CB_EVENT_CLAIM_TAKEN_OVER,
		     CB_STR("request", call->request.request),
		     CB_STR("workspace", call->request.workspace),
		     CB_STR("server", call->fence_server->name));
	if (call->is_ended || !call->claimed_server)
		claim_release_(call, CB_REFUSAL_NO_SERVER);
	else
		claim_submit_(call);
}

static void fence_query_send_(cb_call_t *call);

static void fence_query_done_(void *user_data, cb_fence_result_t result,
			      const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	int64_t delay_ms = FIRST_FENCE_QUERY_DELAY_MS
			   << call->failed_fence_queries;

	call->exchange = NULL;
	cb_timer_stop(call->wait_timer);
	if (result == CB_FENCE_EXECUTED)
		call_end_as_executed_(call, answer, !call->server);
	else if (result == CB_FENCE_NOT_EXECUTED)
		unexecuted_call_retry_(call);
	else if (++call->failed_fence_queries < MAX_FENCE_QUERIES)
		cb_call_wait(call, delay_ms, fence_query_send_);
	else
		call_end_as_unknown_(call);
}

static void fence_query_timed_out_(cb_call_t *call)
{
	cb_call_exchange_cancel(call);
	fence_query_done_(call, CB_FENCE_UNKNOWN, NULL);
}

static void fence_query_send_(cb_call_t *call)
{
	cb_service_client_t *services = call->env->parts.services;
	cb_fence_listener_t listener = { .done = fence_query_done_,
					 .user_data = call };

	cb_call_wait(call, FENCE_QUERY_TIMEOUT_MS, fence_query_timed_out_);
	call->exchange =
		services->vtable->fence(services, call->fence_server,
					call->request.key,
					call->fence_query_fencing, &listener);
}

/*
 * Queries the server whether it has run the call with this key, and makes it
 * refuse every fencing number below `fencing` from then on.
 */
static void fence_query_start_(cb_call_t *call, cb_server_t *server,
			       uint64_t fencing)
{
	cb_call_server_set(&call->fence_server, server);
	call->fence_query_fencing = fencing;
	call->failed_fence_queries = 0;
	fence_query_send_(call);
}

/*
 * Takes over the claim of an entry instance that has failed and that may
 * have sent the call.
 */
static void claim_take_over_(cb_call_t *call, const cb_answer_t *answer)
{
	const cb_server_registry_t *registry = call->env->parts.registry;
	cb_server_t *server = answer->server ?
				      cb_server_find(registry, answer->server) :
				      NULL;

	if (server && server->checks_fencing && !call->is_ended)
		fence_query_start_(call, server, call->fencing);
	else
		call_end_as_unknown_(call);
}

static void running_wait_done_(cb_call_t *call)
{
	if (!call->is_ended)
		cb_call_claim_start(call);
}

/* Waits for a running call with the same key, a limited number of times. */
static void running_call_wait_(cb_call_t *call)
{
	unsigned int doublings =
		MIN(call->running_wait_count, MAX_RUNNING_WAIT_DOUBLINGS);
	int64_t delay_ms = FIRST_RUNNING_WAIT_MS << doublings;

	if (++call->running_wait_count > MAX_RUNNING_WAITS ||
	    delay_ms >= cb_call_remaining_ms(call)) {
		cb_call_end_refused(call, CB_REFUSAL_IDEMPOTENCY_KEY_RUNNING,
				    CB_EXECUTED_UNKNOWN);
		return;
	}
	cb_call_wait(call, delay_ms, running_wait_done_);
}

/* Ends the call by the recorded outcome of an earlier call with its key. */
static void call_end_by_record_(cb_call_t *call, const cb_answer_t *answer)
{
	const cb_server_registry_t *registry = call->env->parts.registry;
	cb_service_answer_t recorded;
	cb_server_t *server;

	if (answer->result == CB_CLAIM_RESULT_EXECUTED) {
		if (!cb_call_answer_decode(answer->answer, &recorded)) {
			cb_call_end_refused(call, CB_REFUSAL_ANSWER_NOT_KEPT,
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
	cb_call_end_refused(call, CB_REFUSAL_OUTCOME_UNKNOWN,
			    CB_EXECUTED_UNKNOWN);
}

static void claim_answer_handle_(cb_call_t *call, const cb_answer_t *answer)
{
	call->fencing = 0;
	switch (answer->kind) {
	case CB_ANSWER_CLAIMED:
		call->fencing = answer->fencing;
		if (answer->must_prove)
			claim_take_over_(call, answer);
		else
			claimed_call_send_(call);
		return;
	case CB_ANSWER_RUNNING:
		running_call_wait_(call);
		return;
	case CB_ANSWER_FINISHED:
		call_end_by_record_(call, answer);
		return;
	case CB_ANSWER_DIGEST_DIFFERS:
		cb_call_end_refused(call, CB_REFUSAL_IDEMPOTENCY_KEY_REUSED,
				    CB_EXECUTED_NO);
		return;
	case CB_ANSWER_FULL:
		cb_call_end_refused(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
				    CB_EXECUTED_NO);
		return;
	default:
		cb_call_end_refused(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
				    CB_EXECUTED_UNKNOWN);
	}
}

/*
 * Handles the result of a claim that the call no longer needs: releases it
 * if it was recorded, submits it again if that is unknown.
 */
static void unneeded_claim_done_(cb_call_t *call, cb_ledger_outcome_t outcome,
				 const cb_answer_t *answer)
{
	if (outcome != CB_LEDGER_ANSWERED) {
		call->is_release_pending = TRUE;
		cb_call_wait(call, RELEASE_RETRY_DELAY_MS, claim_submit_);
		return;
	}
	call->is_release_pending = FALSE;
	if (answer->kind == CB_ANSWER_CLAIMED) {
		call->fencing = answer->fencing;
		cb_call_claim_finish(call,
				     answer->must_prove ?
					     CB_CLAIM_RESULT_UNKNOWN :
					     CB_CLAIM_RESULT_NOT_EXECUTED,
				     NULL, NULL);
		return;
	}
	cb_call_free_if_done(call);
}

static void claim_submit_done_(cb_ledger_outcome_t outcome,
			       const cb_answer_t *answer, void *user_data)
{
	cb_call_t *call = user_data;

	if (call->is_ended && !call->fencing) {
		unneeded_claim_done_(call, outcome, answer);
	} else if (outcome == CB_LEDGER_ANSWERED) {
		claim_answer_handle_(call, answer);
	} else if (call->fencing) {
		/*
		 * The change of the claim from the previous server to the new
		 * one was not confirmed, so the call was not sent to the new
		 * one.
		 */
		claim_release_(call, CB_REFUSAL_CONTROL_UNAVAILABLE);
	} else {
		/* An earlier call with this key may have been executed. */
		cb_call_end_refused(call, CB_REFUSAL_CONTROL_UNAVAILABLE,
				    CB_EXECUTED_UNKNOWN);
		if (outcome == CB_LEDGER_UNKNOWN)
			unneeded_claim_done_(call, outcome, NULL);
	}
}

/* Submits the claim, or names another server in the claim that is held. */
static void claim_submit_(cb_call_t *call)
{
	cb_command_t *command = cb_call_command_new(call, CB_COMMAND_CLAIM);
	int64_t timeout_ms = CLAMP(cb_call_remaining_ms(call),
				   MIN_CLAIM_TIMEOUT_MS, CLAIM_TIMEOUT_MS);

	command->change_id = g_strdup(call->change_id);
	command->proves_by_fencing = call->proves_by_fencing;
	if (call->claimed_server)
		command->server = g_strdup(call->claimed_server->name);
	cb_call_command_submit(call, command, timeout_ms, claim_submit_done_);
}

/* Chooses a server and claims the key for it under a new change ID. */
void cb_call_claim_start(cb_call_t *call)
{
	GRand *random = call->env->parts.random;

	claimed_server_choose_(call);
	g_free(call->change_id);
	call->change_id =
		g_strdup_printf("%s/%08x%08x", call->env->parts.owner,
				g_rand_int(random), g_rand_int(random));
	claim_submit_(call);
}

/* Retries when the claim of an attempt that did not run is released. */
static void claim_retry_(cb_call_t *call)
{
	cb_call_server_set(&call->server, NULL);
	if (call->is_ended)
		cb_call_free_if_done(call);
	else if (cb_call_retry_take(call))
		cb_call_claim_start(call);
	else
		cb_call_end_refused(call, CB_REFUSAL_RETRIES_EXHAUSTED,
				    CB_EXECUTED_NO);
}

/*
 * Ends the call for its caller when the deadline has passed.  If it has been
 * sent, it continues until its outcome is recorded; if not, it is not sent.
 */
void cb_call_claim_deadline_passed(cb_call_t *call)
{
	cb_call_end_refused(call, CB_REFUSAL_DEADLINE_EXCEEDED,
			    CB_EXECUTED_UNKNOWN);
}
