#include "private/call_data.h"

#include "private/digest.h"

#define MS_PER_S 1000
#define MAX_ATTEMPTS 6
#define MAX_TIMEOUT_DOUBLINGS 6
/* Lower limit of the answer timeout, as a service may be slow to answer. */
#define MIN_ANSWER_TIMEOUT_MS 1000
/* Retry-After when the next announcement may bring a usable server. */
#define ANNOUNCEMENT_RETRY_AFTER_S 1
/* Retry-After without a leader of control, or while the key is running. */
#define CONTROL_RETRY_AFTER_S 1

static void wait_timer_fired_(void *user_data)
{
	cb_call_t *call = user_data;

	call->wait_done(call);
}

/* Calls `done` after a delay; replaces an earlier wait. */
void cb_call_wait(cb_call_t *call, int64_t delay_ms,
		  void (*done)(cb_call_t *call))
{
	call->wait_done = done;
	cb_timer_start(call->wait_timer, delay_ms);
}

/* Returns the time until the call's deadline; 0 if it has passed. */
int64_t cb_call_remaining_ms(const cb_call_t *call)
{
	return MAX(call->deadline_at_ms -
			   cb_clock_now_ms(call->env->parts.clock),
		   0);
}

/*
 * Replaces a reference to a server, and counts an attempt at the new one in
 * place of that at the old one.  Either server may be NULL.
 */
void cb_call_server_set(cb_server_t **reference, cb_server_t *server)
{
	if (server)
		cb_server_begin_attempt(server);
	if (*reference)
		cb_server_end_attempt(*reference);
	*reference = server;
}

static void call_free_(cb_call_t *call)
{
	cb_call_request_t *request = &call->request;

	cb_call_exchange_cancel(call);
	if (call->submission)
		call->submission->call = NULL;
	cb_call_server_set(&call->server, NULL);
	cb_call_server_set(&call->claimed_server, NULL);
	cb_call_server_set(&call->fence_server, NULL);
	cb_timer_delete(call->deadline_timer);
	cb_timer_delete(call->wait_timer);
	cb_timer_delete(call->report_timer);
	cb_command_delete(call->finish_command);
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

/* Creates the environment that the calls of one entry instance share. */
cb_call_env_t *cb_call_env_new(const cb_call_parts_t *parts)
{
	cb_call_env_t *env = g_new0(cb_call_env_t, 1);

	env->parts = *parts;
	env->budget = cb_retry_budget_new(parts->clock);
	env->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	return env;
}

/* Deletes the environment with all its calls; NULL is allowed. */
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

/*
 * Returns the number of calls that are running or whose outcome is not yet
 * recorded.
 */
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

/* Frees a call that its caller has deleted and that has nothing to record. */
void cb_call_free_if_done(cb_call_t *call)
{
	if (!call->is_deleted || !call->is_ended ||
	    cb_call_claim_is_pending(call))
		return;
	g_hash_table_remove(call->env->calls, call);
	call_free_(call);
}

static void call_end_report_(void *user_data)
{
	cb_call_t *call = user_data;

	if (call->is_end_reported) {
		cb_call_free_if_done(call);
		return;
	}
	call->is_end_reported = TRUE;
	call->ended(call->user_data, &call->end);
}

static int64_t retry_after_s_(cb_refusal_t refusal)
{
	switch (refusal) {
	case CB_REFUSAL_NO_SERVER:
	case CB_REFUSAL_RETRIES_EXHAUSTED:
		return ANNOUNCEMENT_RETRY_AFTER_S;
	case CB_REFUSAL_CONTROL_UNAVAILABLE:
	case CB_REFUSAL_IDEMPOTENCY_KEY_RUNNING:
		return CONTROL_RETRY_AFTER_S;
	default:
		return 0;
	}
}

static void call_end_set_(cb_call_t *call, const cb_call_end_t *end)
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
	cb_timer_start(call->report_timer, 0);
}

/* Ends the call without an answer; `ended` is called from the main loop. */
void cb_call_end_refused(cb_call_t *call, cb_refusal_t refusal,
			 cb_executed_t executed)
{
	cb_call_end_t end = { .refusal = refusal,
			      .executed = executed,
			      .retry_after_s = retry_after_s_(refusal) };

	if (!call->is_ended)
		call_end_set_(call, &end);
}

/* Ends the call with the service's answer, which is copied. */
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
	cb_retry_budget_record_success(call->env->budget,
				       call->request.workspace);
	call_end_set_(call, &end);
}

/* Counts a retry under its reason. */
void cb_call_retry_count(cb_call_t *call, const char *reason)
{
	cb_counter_add(cb_counters_counter(call->env->parts.counters,
					   "cb_retries_total", "reason",
					   reason),
		       1);
}

/* Takes a retry from the budget; returns FALSE if none is allowed. */
gboolean cb_call_retry_take(cb_call_t *call)
{
	if (call->attempt_count + 1 >= MAX_ATTEMPTS ||
	    !cb_retry_budget_take(call->env->budget, call->request.workspace))
		return FALSE;
	call->attempt_count++;
	return TRUE;
}

static gboolean server_is_allowed_(const cb_server_t *server, void *user_data)
{
	const cb_call_t *call = user_data;

	return !g_hash_table_contains(call->excluded, server->name);
}

/* Returns a server that is not excluded, or NULL if there is none. */
cb_server_t *cb_call_server_choose(cb_call_t *call)
{
	cb_route_query_t query = { .registry = call->env->parts.registry,
				   .data_centre = call->env->parts.data_centre,
				   .digest = call->digest,
				   .filter = server_is_allowed_,
				   .user_data = call };

	return cb_router_choose_server(&query, call->request.service);
}

/* Cancels the exchange in flight, if any; its outcome stays unknown. */
void cb_call_exchange_cancel(cb_call_t *call)
{
	cb_service_client_t *services = call->env->parts.services;

	if (call->exchange)
		services->vtable->cancel(services, call->exchange);
	call->exchange = NULL;
}

/* Sends the call to a server; `done` is called with the result. */
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

static void idempotent_call_send_(cb_call_t *call);

/* Records a failed attempt of an idempotent call. */
static void idempotent_failure_record_(cb_call_t *call, cb_failure_t failure)
{
	cb_timer_stop(call->wait_timer);
	cb_call_retry_count(call, cb_failure_string[failure]);
	if (cb_failure_is_unknown(failure))
		call->may_have_run = TRUE;
	if (failure == CB_FAILURE_CONNECT)
		cb_server_record_failure(call->env->parts.registry,
					 call->server);
	if (failure != CB_FAILURE_NO_RESOURCES)
		g_hash_table_add(call->excluded, g_strdup(call->server->name));
}

/*
 * Retries an idempotent call on another server, within the limit of attempts
 * and the retry budget.
 */
static void idempotent_call_failed_(cb_call_t *call, cb_failure_t failure)
{
	cb_executed_t executed;

	idempotent_failure_record_(call, failure);
	executed = call->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	if (!cb_call_retry_take(call))
		cb_call_end_refused(call, CB_REFUSAL_RETRIES_EXHAUSTED,
				    executed);
	else
		idempotent_call_send_(call);
}

static void idempotent_call_done_(void *user_data, cb_failure_t failure,
				  const cb_service_answer_t *answer)
{
	cb_call_t *call = user_data;
	int64_t now_us = cb_clock_now_us(call->env->parts.clock);

	call->exchange = NULL;
	if (failure != CB_FAILURE_NONE) {
		idempotent_call_failed_(call, failure);
		return;
	}
	cb_timer_stop(call->wait_timer);
	now_us -= call->sent_at_us;
	cb_progress_gap_add(&call->env->progress, now_us);
	cb_server_record_success(call->env->parts.registry, call->server,
				 now_us);
	cb_call_end_answered(call, answer, FALSE);
}

static void idempotent_call_timed_out_(cb_call_t *call);

/* Starts to wait for the answer to an attempt. */
static void idempotent_answer_await_(cb_call_t *call)
{
	unsigned int doublings =
		MIN(call->timed_out_attempts, MAX_TIMEOUT_DOUBLINGS);

	cb_call_wait(call,
		     MAX(cb_progress_timeout_ms(&call->env->progress),
			 MIN_ANSWER_TIMEOUT_MS)
			     << doublings,
		     idempotent_call_timed_out_);
}

/* Leaves a silent server, unless no other attempt may follow: it may go on. */
static void idempotent_call_timed_out_(cb_call_t *call)
{
	if (!cb_call_retry_take(call)) {
		idempotent_answer_await_(call);
		return;
	}
	cb_call_exchange_cancel(call);
	call->timed_out_attempts++;
	idempotent_failure_record_(call, CB_FAILURE_SILENT);
	idempotent_call_send_(call);
}

static void idempotent_call_send_(cb_call_t *call)
{
	cb_executed_t executed =
		call->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	cb_server_t *server = cb_call_server_choose(call);

	if (!server && call->may_have_run) {
		/* A server tried before may answer on another connection. */
		g_hash_table_remove_all(call->excluded);
		server = cb_call_server_choose(call);
	}
	if (!server) {
		cb_call_end_refused(call, CB_REFUSAL_NO_SERVER, executed);
		return;
	}
	call->sent_at_us = cb_clock_now_us(call->env->parts.clock);
	idempotent_answer_await_(call);
	cb_call_send(call, server, idempotent_call_done_);
}

/*
 * Reports the passed deadline to the caller; a claimed call continues until its
 * outcome is recorded.
 */
static void deadline_passed_(void *user_data)
{
	cb_call_t *call = user_data;

	if (!call->request.is_idempotent) {
		cb_call_claim_deadline_passed(call);
		return;
	}
	if (call->exchange)
		call->may_have_run = TRUE;
	cb_timer_stop(call->wait_timer);
	cb_call_exchange_cancel(call);
	cb_call_end_refused(call, CB_REFUSAL_DEADLINE_EXCEEDED,
			    call->may_have_run ? CB_EXECUTED_UNKNOWN :
						 CB_EXECUTED_NO);
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

/* Creates a call, which cb_call_start() starts; copies the request. */
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
	call->wait_timer = cb_timer_new(clock, wait_timer_fired_, call);
	call->report_timer = cb_timer_new(clock, call_end_report_, call);
	g_hash_table_add(env->calls, call);
	return call;
}

/* Starts a call: sends an idempotent one, claims the key of any other. */
void cb_call_start(cb_call_t *call)
{
	int64_t deadline_ms = call->request.deadline_ms;

	call->deadline_at_ms =
		cb_clock_now_ms(call->env->parts.clock) + deadline_ms;
	cb_timer_start(call->deadline_timer, deadline_ms);
	if (call->request.is_idempotent)
		idempotent_call_send_(call);
	else
		cb_call_claim_start(call);
}

/* Handles a caller that has disconnected; see call.h. */
void cb_call_abandon(cb_call_t *call)
{
	call->is_end_reported = TRUE;
	call->is_deleted = TRUE;
	if (call->request.is_idempotent && !call->is_ended) {
		cb_timer_stop(call->deadline_timer);
		cb_timer_stop(call->wait_timer);
		cb_call_exchange_cancel(call);
		call->is_ended = TRUE;
	}
	cb_call_free_if_done(call);
}

/* Deletes a call, abandoning it if it is running; NULL is allowed. */
void cb_call_delete(cb_call_t *call)
{
	if (call)
		cb_call_abandon(call);
}
