#include "private/call_data.h"

#include "private/digest.h"

#define MS_PER_S 1000
#define MAX_ATTEMPTS 6
#define MAX_PATIENCE 6
/* A service may take its time before it answers. */
#define MIN_SILENCE_MS 1000
/* Retry-After when a server may be there with the next report. */
#define NEXT_REPORT_S 1
/* Retry-After while control has no leader or the first call is running. */
#define NEXT_TRY_S 1

static void timer_woke_(void *user_data)
{
	cb_call_t *call = user_data;

	call->wake(call);
}

/* Calls `wake` after a delay, in place of what was waited for before. */
void cb_call_wake(cb_call_t *call, int64_t delay_ms,
		  void (*wake)(cb_call_t *call))
{
	call->wake = wake;
	cb_timer_start(call->wake_timer, delay_ms);
}

/* Returns the time that is left until the deadline, 0 or more. */
int64_t cb_call_remaining_ms(const cb_call_t *call)
{
	return MAX(call->deadline_at_ms -
			   cb_clock_now_ms(call->env->parts.clock),
		   0);
}

/* Replaces a reference to a server, bracketing its use. */
void cb_call_server_set(cb_server_t **place, cb_server_t *server)
{
	if (server)
		cb_server_begin(server);
	if (*place)
		cb_server_end(*place);
	*place = server;
}

static void call_free_(cb_call_t *call)
{
	cb_call_request_t *request = &call->request;

	cb_call_exchange_cancel(call);
	if (call->submission)
		call->submission->call = NULL;
	cb_call_server_set(&call->server, NULL);
	cb_call_server_set(&call->chosen, NULL);
	cb_call_server_set(&call->proved, NULL);
	cb_timer_delete(call->deadline_timer);
	cb_timer_delete(call->wake_timer);
	cb_timer_delete(call->end_timer);
	cb_command_delete(call->finish);
	cb_call_answer_clear(&call->answer);
	g_hash_table_unref(call->excluded);
	g_free((char *)request->request);
	g_free((char *)request->workspace);
	g_free((char *)request->service);
	g_free((char *)request->method);
	g_free((char *)request->path);
	g_free((char *)request->content_type);
	g_free((char *)request->key);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_free(call->digest);
	g_free(call->change_id);
	g_free(call);
}

/* Makes what the calls of one entry instance share. */
cb_call_env_t *cb_call_env_new(const cb_call_parts_t *parts)
{
	cb_call_env_t *env = g_new0(cb_call_env_t, 1);

	env->parts = *parts;
	env->budget = cb_retry_budget_new(parts->clock);
	env->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	return env;
}

/* Deletes it with the calls that are left; NULL is allowed. */
void cb_call_env_delete(cb_call_env_t *env)
{
	GHashTableIter iter;
	void *call;

	if (!env)
		return;
	g_hash_table_iter_init(&iter, env->calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		call_free_(call);
	g_hash_table_unref(env->calls);
	cb_retry_budget_delete(env->budget);
	g_free(env);
}

/* Returns the number of calls that are running or not yet recorded. */
size_t cb_call_env_pending(const cb_call_env_t *env)
{
	size_t pending = 0;
	GHashTableIter iter;
	void *call;

	g_hash_table_iter_init(&iter, env->calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		pending += !((cb_call_t *)call)->is_ended ||
			   cb_call_claim_is_pending(call);
	return pending;
}

/* Frees a call that its caller has left and that has nothing to record. */
void cb_call_sweep(cb_call_t *call)
{
	if (!call->is_deleted || !call->is_ended ||
	    cb_call_claim_is_pending(call))
		return;
	g_hash_table_remove(call->env->calls, call);
	call_free_(call);
}

static void end_due_(void *user_data)
{
	cb_call_t *call = user_data;

	if (call->is_answered) {
		cb_call_sweep(call);
		return;
	}
	call->is_answered = TRUE;
	call->ended(call->user_data, &call->end);
}

static int64_t retry_after_s_(cb_refusal_t refusal)
{
	switch (refusal) {
	case CB_REFUSAL_NO_SERVER:
	case CB_REFUSAL_RETRIES_EXHAUSTED:
		return NEXT_REPORT_S;
	case CB_REFUSAL_CONTROL_UNAVAILABLE:
	case CB_REFUSAL_IDEMPOTENCY_KEY_RUNNING:
		return NEXT_TRY_S;
	default:
		return 0;
	}
}

static void end_set_(cb_call_t *call, const cb_call_end_t *end)
{
	cb_history_event_t event = {
		.kind = CB_HISTORY_END,
		.request = call->request.request,
		.workspace = call->request.workspace,
		.key = call->request.key,
		.refusal = cb_refusal_string[end->refusal],
		.executed = cb_executed_string[end->executed],
	};

	call->is_ended = TRUE;
	call->end = *end;
	cb_history_record(call->env->parts.history, &event);
	cb_timer_stop(call->deadline_timer);
	cb_timer_start(call->end_timer, 0);
}

/* Ends the call without an answer; the caller is told from the loop. */
void cb_call_end(cb_call_t *call, cb_refusal_t refusal, cb_executed_t executed)
{
	cb_call_end_t end = { .refusal = refusal,
			      .executed = executed,
			      .retry_after_s = retry_after_s_(refusal) };

	if (!call->is_ended)
		end_set_(call, &end);
}

/* Ends the call with the service's answer. */
void cb_call_end_answered(cb_call_t *call, const cb_service_answer_t *answer,
			  gboolean is_replayed)
{
	cb_call_end_t end = { .refusal = CB_REFUSAL_NONE,
			      .executed = CB_EXECUTED_YES,
			      .is_replayed = is_replayed,
			      .answer = &call->answer };

	if (call->is_ended)
		return;
	call->answer.status = answer->status;
	call->answer.content_type = g_strdup(answer->content_type);
	if (answer->body)
		call->answer.body = g_bytes_ref(answer->body);
	cb_retry_budget_succeeded(call->env->budget, call->request.workspace);
	end_set_(call, &end);
}

/* Counts one more attempt by the reason for it. */
void cb_call_count_retry(cb_call_t *call, const char *reason)
{
	cb_counter_add(cb_counters_counter(call->env->parts.counters,
					   "cb_retries_total", "reason",
					   reason),
		       1);
}

/* Tells whether another attempt is allowed, and takes it from the budget. */
gboolean cb_call_may_retry(cb_call_t *call)
{
	return ++call->attempts < MAX_ATTEMPTS &&
	       cb_retry_budget_take(call->env->budget, call->request.workspace);
}

static gboolean server_fits_(const cb_server_t *server, void *user_data)
{
	const cb_call_t *call = user_data;

	return !g_hash_table_contains(call->excluded, server->name);
}

/* Chooses a server that was not tried before; NULL if there is none. */
cb_server_t *cb_call_route(cb_call_t *call)
{
	cb_route_query_t query = { .registry = call->env->parts.registry,
				   .data_centre = call->env->parts.data_centre,
				   .digest = call->digest,
				   .filter = server_fits_,
				   .user_data = call };

	return cb_router_service(&query, call->request.service);
}

/* Ends the exchange that is under way; its outcome stays unknown. */
void cb_call_exchange_cancel(cb_call_t *call)
{
	cb_service_client_t *services = call->env->parts.services;

	if (call->exchange)
		services->vtable->cancel(services, call->exchange);
	call->exchange = NULL;
}

/* Sends the call to a server. */
void cb_call_send(cb_call_t *call, cb_server_t *server,
		  void (*done)(void *user_data, cb_failure_t failure,
			       const cb_service_answer_t *answer))
{
	cb_service_client_t *services = call->env->parts.services;
	cb_service_listener_t listener = { .done = done, .user_data = call };
	cb_service_request_t request = {
		.request = call->request.request,
		.method = call->request.method,
		.path = call->request.path,
		.content_type = call->request.content_type,
		.body = call->request.body,
		.key = call->request.key,
		.fencing = call->fencing,
	};
	cb_history_event_t event = { .kind = CB_HISTORY_ORDER,
				     .request = request.request,
				     .workspace = call->request.workspace,
				     .server = server->name,
				     .key = request.key,
				     .epoch = request.fencing };

	cb_call_server_set(&call->server, server);
	cb_history_record(call->env->parts.history, &event);
	call->exchange =
		services->vtable->send(services, server, &request, &listener);
}

static void idempotent_send_(cb_call_t *call);

/* Tries elsewhere, within the deadline and the budget. */
static void idempotent_failed_(cb_call_t *call, cb_failure_t failure)
{
	cb_executed_t executed;

	cb_timer_stop(call->wake_timer);
	cb_call_count_retry(call, cb_failure_string[failure]);
	if (cb_failure_is_unknown(failure))
		call->may_have_run = TRUE;
	if (failure == CB_FAILURE_CONNECT)
		cb_server_failed(call->env->parts.registry, call->server);
	g_hash_table_add(call->excluded, g_strdup(call->server->name));
	executed = call->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	if (!cb_call_may_retry(call))
		cb_call_end(call, CB_REFUSAL_RETRIES_EXHAUSTED, executed);
	else
		idempotent_send_(call);
}

static void idempotent_done_(void *user_data, cb_failure_t failure,
			     const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	int64_t now_us = cb_clock_now_us(call->env->parts.clock);

	call->exchange = NULL;
	if (failure != CB_FAILURE_NONE) {
		idempotent_failed_(call, failure);
		return;
	}
	cb_timer_stop(call->wake_timer);
	now_us -= call->sent_at_us;
	cb_progress_gap_add(&call->env->progress, now_us);
	cb_server_succeeded(call->env->parts.registry, call->server, now_us);
	cb_call_end_answered(call, answer, FALSE);
}

static void idempotent_silent_(cb_call_t *call)
{
	cb_call_exchange_cancel(call);
	call->silent_attempts++;
	idempotent_failed_(call, CB_FAILURE_SILENT);
}

static void idempotent_send_(cb_call_t *call)
{
	cb_executed_t executed =
		call->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	unsigned int patience = MIN(call->silent_attempts, MAX_PATIENCE);
	cb_server_t *server = cb_call_route(call);

	if (!server && call->may_have_run) {
		/* Those that were tried may answer on another connection. */
		g_hash_table_remove_all(call->excluded);
		server = cb_call_route(call);
	}
	if (!server) {
		cb_call_end(call, CB_REFUSAL_NO_SERVER, executed);
		return;
	}
	call->sent_at_us = cb_clock_now_us(call->env->parts.clock);
	cb_call_wake(call,
		     MAX(cb_progress_timeout_ms(&call->env->progress),
			 MIN_SILENCE_MS)
			     << patience,
		     idempotent_silent_);
	cb_call_send(call, server, idempotent_done_);
}

/* The caller is answered now; a claimed call runs on to its end. */
static void deadline_passed_(void *user_data)
{
	cb_call_t *call = user_data;

	if (!call->request.is_idempotent) {
		cb_call_claim_deadline(call);
		return;
	}
	if (call->exchange)
		call->may_have_run = TRUE;
	cb_timer_stop(call->wake_timer);
	cb_call_exchange_cancel(call);
	cb_call_end(call, CB_REFUSAL_DEADLINE_EXCEEDED,
		    call->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO);
}

static void request_copy_(cb_call_t *call, const cb_call_request_t *request)
{
	call->request = *request;
	call->request.request = g_strdup(request->request);
	call->request.workspace = g_strdup(request->workspace);
	call->request.service = g_strdup(request->service);
	call->request.method = g_strdup(request->method);
	call->request.path = g_strdup(request->path);
	call->request.content_type = g_strdup(request->content_type);
	call->request.key = g_strdup(request->key);
	if (request->body)
		g_bytes_ref(request->body);
}

/* Makes a call; the request is copied.  Nothing happens until its start. */
cb_call_t *cb_call_new(cb_call_env_t *env, const cb_call_request_t *request,
		       cb_call_ended_fn_t ended, void *user_data)
{
	const char *const content[] = { request->workspace, request->service,
					request->method, request->path };
	cb_clock_t *clock = env->parts.clock;
	cb_call_t *call = g_new0(cb_call_t, 1);

	call->env = env;
	request_copy_(call, request);
	call->digest =
		cb_digest_text(content, G_N_ELEMENTS(content), request->body);
	call->ended = ended;
	call->user_data = user_data;
	call->excluded =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	call->deadline_timer = cb_timer_new(clock, deadline_passed_, call);
	call->wake_timer = cb_timer_new(clock, timer_woke_, call);
	call->end_timer = cb_timer_new(clock, end_due_, call);
	g_hash_table_add(env->calls, call);
	return call;
}

/* Starts a call: an idempotent one is sent, any other is claimed first. */
void cb_call_start(cb_call_t *call)
{
	int64_t deadline_ms = call->request.deadline_ms;

	call->deadline_at_ms =
		cb_clock_now_ms(call->env->parts.clock) + deadline_ms;
	cb_timer_start(call->deadline_timer, deadline_ms);
	if (call->request.is_idempotent)
		idempotent_send_(call);
	else
		cb_call_claim_start(call);
}

/* The caller has gone; see call.h. */
void cb_call_abandon(cb_call_t *call)
{
	call->is_answered = TRUE;
	call->is_deleted = TRUE;
	if (call->request.is_idempotent && !call->is_ended) {
		cb_timer_stop(call->deadline_timer);
		cb_timer_stop(call->wake_timer);
		cb_call_exchange_cancel(call);
		call->is_ended = TRUE;
	}
	cb_call_sweep(call);
}

/* Deletes a call, abandoning it if it runs; NULL is allowed. */
void cb_call_delete(cb_call_t *call)
{
	if (call)
		cb_call_abandon(call);
}
