#include "private/attempt.h"

#include <string.h>

#define PROBE_TIMEOUT_MS 150
/* How often in a row an answered probe extends the progress timeout. */
#define MAX_ANSWERED_PROBES 1

typedef struct stage {
	cb_attempt_t *attempt;
	cb_server_t *server;
	uint32_t first_layer;
	uint32_t last_layer;
	cb_exchange_t *exchange;
	gboolean is_open;
	/* whether the stage's server did not accept the order */
	gboolean has_no_session;
	/* whether the session is kept when the attempt is deleted */
	gboolean is_session_kept;
} stage_t;

struct cb_attempt {
	cb_attempt_parts_t parts;
	cb_attempt_listener_t listener;
	stage_t *stages;
	unsigned int stage_count;
	unsigned int open_stage_count;
	unsigned int current_stage; /* index of the stage that runs the step */
	/* index of the current token in the answer */
	uint64_t token_index;
	char *hidden; /* hidden state from the stage before */
	/* text of the previous token; NULL at the first token of the attempt */
	char *previous_text;
	char *token_text; /* text of the current token */
	gboolean is_first_step;
	/* whether the current step's result has arrived */
	gboolean has_result;
	/* whether the current token is the last one of the answer */
	gboolean is_last;
	/* whether an engine may have accepted the order */
	gboolean may_be_accepted;
	gboolean is_finished; /* whether all tokens were delivered */
	int64_t last_progress_us;
	cb_timer_t *progress_timer; /* progress timeout or probe timeout */
	/*
	 * Checks on a new connection whether a server is alive; NULL if no
	 * check runs.
	 */
	cb_exchange_t *probe;
	stage_t *probed_stage;
	cb_failure_t probe_cause; /* the failure that led to the probe */
	gboolean is_probe_silent; /* the last probe was not answered in time */
	/* probes answered since the last sign of progress */
	unsigned int answered_probe_count;
};

static void counter_increment_(const cb_attempt_t *attempt, const char *name,
			       const char *reason)
{
	cb_counter_add(cb_counters_counter(attempt->parts.env->counters, name,
					   "reason", reason),
		       1);
}

static cb_engine_client_t *engine_client_(const cb_attempt_t *attempt)
{
	return attempt->parts.env->engines;
}

static void stage_cancel_(stage_t *stage)
{
	cb_engine_client_t *engines = engine_client_(stage->attempt);

	if (!stage->exchange)
		return;
	stage->attempt->may_be_accepted = TRUE;
	engines->vtable->cancel(engines, stage->exchange);
	stage->exchange = NULL;
}

static void probe_cancel_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engine_client_(attempt);

	if (attempt->probe)
		engines->vtable->cancel(engines, attempt->probe);
	attempt->probe = NULL;
	attempt->probed_stage = NULL;
}

/* Cancels exchanges, probe and timer; the sessions stay until deletion. */
static void exchanges_cancel_(cb_attempt_t *attempt)
{
	unsigned int i;

	cb_timer_stop(attempt->progress_timer);
	probe_cancel_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		stage_cancel_(&attempt->stages[i]);
}

static void failure_report_(cb_attempt_t *attempt, stage_t *stage,
			    cb_failure_t failure, gboolean is_server_dead)
{
	cb_attempt_failure_t end = { .failure = failure,
				     .server = stage->server,
				     .is_server_dead = is_server_dead,
				     .is_probe_silent =
					     attempt->is_probe_silent };

	exchanges_cancel_(attempt);
	attempt->listener.failed(attempt->listener.user_data, &end);
}

/* Starts the timeout for the next sign of progress. */
static void progress_timer_start_(cb_attempt_t *attempt)
{
	const cb_progress_t *progress =
		attempt->open_stage_count < attempt->stage_count ?
			attempt->parts.open_progress :
			attempt->parts.step_progress;
	int64_t timeout_ms = cb_progress_timeout_ms(progress);

	cb_timer_start(attempt->progress_timer,
		       timeout_ms << attempt->parts.timeout_doublings);
}

/*
 * Records a sign of progress, which cancels a probe in flight.  Returns the
 * time since the last one, in us.
 */
static int64_t progress_record_(cb_attempt_t *attempt)
{
	int64_t now_us = cb_clock_now_us(attempt->parts.env->clock);
	int64_t gap_us = now_us - attempt->last_progress_us;

	attempt->last_progress_us = now_us;
	attempt->answered_probe_count = 0;
	probe_cancel_(attempt);
	return gap_us;
}

/* Returns the stage from which the next progress must come. */
static stage_t *awaited_stage_find_(cb_attempt_t *attempt)
{
	unsigned int i;

	if (attempt->open_stage_count == attempt->stage_count)
		return &attempt->stages[attempt->current_stage];
	for (i = 0; i < attempt->stage_count; i++)
		if (!attempt->stages[i].is_open)
			return &attempt->stages[i];
	return &attempt->stages[0];
}

/*
 * The probed server is alive, though the connection to it may be dead, or it could
 * not be probed.
 */
static void probe_answered_(cb_attempt_t *attempt)
{
	stage_t *stage = attempt->probed_stage;

	attempt->probed_stage = NULL;
	if (attempt->probe_cause == CB_FAILURE_SILENT &&
	    attempt->answered_probe_count < MAX_ANSWERED_PROBES) {
		attempt->answered_probe_count++;
		progress_timer_start_(attempt);
		return;
	}
	failure_report_(attempt, stage, attempt->probe_cause, FALSE);
}

static void probe_failed_(cb_attempt_t *attempt)
{
	stage_t *stage = attempt->probed_stage;

	attempt->probed_stage = NULL;
	failure_report_(attempt, stage, attempt->probe_cause, TRUE);
}

static void probe_done_(void *user_data, cb_failure_t failure)
{
	cb_attempt_t *attempt = user_data;

	attempt->probe = NULL;
	attempt->is_probe_silent = failure == CB_FAILURE_SILENT;
	cb_timer_stop(attempt->progress_timer);
	if (failure == CB_FAILURE_CONNECT || failure == CB_FAILURE_LOST ||
	    failure == CB_FAILURE_SILENT)
		probe_failed_(attempt);
	else
		probe_answered_(attempt);
}

/* Checks on a new connection whether the stage's server is alive. */
static void probe_start_(cb_attempt_t *attempt, stage_t *stage,
			 cb_failure_t failure)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	cb_engine_listener_t listener = { .done = probe_done_,
					  .user_data = attempt };

	if (attempt->probe)
		return;
	attempt->probed_stage = stage;
	attempt->probe_cause = failure;
	attempt->is_probe_silent = FALSE;
	cb_timer_start(attempt->progress_timer, PROBE_TIMEOUT_MS);
	attempt->probe =
		engines->vtable->probe(engines, stage->server, &listener);
}

/* Called when no progress, or no answer to a probe, came in time. */
static void progress_timer_fired_(void *user_data)
{
	cb_attempt_t *attempt = user_data;
	cb_engine_client_t *engines = engine_client_(attempt);

	if (!attempt->probe) {
		probe_start_(attempt, awaited_stage_find_(attempt),
			     CB_FAILURE_SILENT);
		return;
	}
	engines->vtable->cancel(engines, attempt->probe);
	attempt->probe = NULL;
	attempt->is_probe_silent = TRUE;
	probe_failed_(attempt);
}

/* Handles an exchange with a stage that has ended without its result. */
static void exchange_failure_handle_(stage_t *stage, cb_failure_t failure)
{
	cb_attempt_t *attempt = stage->attempt;
	int index = (int)(stage - attempt->stages);

	if (cb_failure_is_unknown(failure))
		attempt->may_be_accepted = TRUE;
	if (!stage->is_open && (failure == CB_FAILURE_CONNECT ||
				failure == CB_FAILURE_NO_RESOURCES ||
				failure == CB_FAILURE_REFUSED))
		stage->has_no_session = TRUE;
	if (index == attempt->parts.move_stage && !stage->is_open)
		failure_report_(attempt, stage, failure, FALSE);
	else if (failure == CB_FAILURE_CONNECT)
		failure_report_(attempt, stage, failure, TRUE);
	else if (failure == CB_FAILURE_LOST || failure == CB_FAILURE_SILENT)
		probe_start_(attempt, stage, failure);
	else
		failure_report_(attempt, stage, failure, FALSE);
}

static void history_event_record_(const cb_attempt_t *attempt,
				  const stage_t *stage, cb_history_kind_t kind)
{
	const cb_engine_order_t *order = &attempt->parts.order;
	cb_history_event_t event = { .kind = kind,
				     .request = order->request,
				     .workspace = attempt->parts.workspace,
				     .server = stage->server->name,
				     .epoch = order->epoch,
				     .token = attempt->token_index,
				     .first_layer = stage->first_layer,
				     .last_layer = stage->last_layer };

	cb_history_record(attempt->parts.env->history, &event);
}

/*
 * Returns whether a result belongs to the current exchange.  One that does
 * not is counted and logged as dropped; the caller ends the attempt.
 */
static gboolean token_matches_(stage_t *stage, const cb_engine_token_t *token)
{
	cb_attempt_t *attempt = stage->attempt;
	const cb_engine_order_t *order = &attempt->parts.order;
	gboolean is_end = stage == &attempt->stages[attempt->stage_count - 1];
	const char *reason = NULL;

	if (g_strcmp0(token->request, order->request))
		reason = "request";
	else if (token->epoch != order->epoch)
		reason = "epoch";
	else if (token->token != attempt->token_index || attempt->has_result)
		reason = "token";
	else if (token->first_layer != stage->first_layer ||
		 token->last_layer != stage->last_layer)
		reason = "range";
	else if (is_end ? !token->text : !token->hidden)
		reason = "content";
	if (!reason)
		return TRUE;
	counter_increment_(attempt, "cb_results_dropped_total", reason);
	cb_log_event(attempt->parts.env->log, CB_EVENT_RESULT_DROPPED,
		     CB_STR("request", order->request),
		     CB_STR("server", stage->server->name),
		     CB_STR("reason", reason));
	return FALSE;
}

static void token_copy_(cb_attempt_t *attempt, const cb_engine_token_t *token)
{
	g_free(attempt->token_text);
	attempt->token_text = g_strdup(token->text);
	attempt->is_last = token->is_last;
}

/* Delivers the current token to the listener, which may free the attempt. */
static void token_deliver_(cb_attempt_t *attempt)
{
	g_free(attempt->previous_text);
	attempt->previous_text = g_strdup(attempt->token_text);
	attempt->token_index++;
	attempt->is_first_step = FALSE;
	if (attempt->is_last)
		cb_timer_stop(attempt->progress_timer);
	attempt->listener.token(attempt->listener.user_data,
				attempt->previous_text, attempt->is_last);
}

static void stream_token_received_(void *user_data,
				   const cb_engine_token_t *token)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;
	int64_t gap_us;

	if (attempt->is_finished)
		return;
	if (!token_matches_(stage, token)) {
		failure_report_(attempt, stage, CB_FAILURE_MISMATCH, FALSE);
		return;
	}
	attempt->may_be_accepted = TRUE;
	gap_us = progress_record_(attempt);
	if (attempt->is_first_step)
		cb_progress_gap_add(attempt->parts.open_progress, gap_us);
	else
		cb_progress_gap_add(attempt->parts.step_progress, gap_us);
	if (!attempt->is_first_step)
		cb_server_record_success(attempt->parts.env->registry,
					 stage->server, gap_us);
	attempt->open_stage_count = 1;
	progress_timer_start_(attempt);
	token_copy_(attempt, token);
	token_deliver_(attempt);
}

static void stream_done_(void *user_data, cb_failure_t failure)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	stage->exchange = NULL;
	if (attempt->is_finished || attempt->is_last)
		return;
	if (failure == CB_FAILURE_NONE)
		failure = CB_FAILURE_LOST;
	exchange_failure_handle_(stage, failure);
}

static void step_start_(cb_attempt_t *attempt);

/* Called when a stage has run its layer range for the current token. */
static void stage_completed_(cb_attempt_t *attempt, stage_t *stage)
{
	int64_t gap_us = progress_record_(attempt);

	cb_progress_gap_add(attempt->parts.step_progress, gap_us);
	cb_server_record_success(attempt->parts.env->registry, stage->server,
				 gap_us);
	if (++attempt->current_stage < attempt->stage_count) {
		step_start_(attempt);
		return;
	}
	attempt->current_stage = 0;
	cb_timer_stop(attempt->progress_timer);
	token_deliver_(attempt);
}

static void step_token_received_(void *user_data,
				 const cb_engine_token_t *token)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	if (!token_matches_(stage, token)) {
		failure_report_(attempt, stage, CB_FAILURE_MISMATCH, FALSE);
		return;
	}
	attempt->has_result = TRUE;
	g_free(attempt->hidden);
	attempt->hidden = g_strdup(token->hidden);
	token_copy_(attempt, token);
}

static void step_done_(void *user_data, cb_failure_t failure)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	stage->exchange = NULL;
	if (attempt->has_result) {
		attempt->has_result = FALSE;
		stage_completed_(attempt, stage);
		return;
	}
	if (failure == CB_FAILURE_NONE)
		failure = CB_FAILURE_LOST;
	exchange_failure_handle_(stage, failure);
}

/* Requests the current token from the current stage of the chain. */
static void step_start_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	stage_t *stage = &attempt->stages[attempt->current_stage];
	cb_engine_listener_t listener = { .token = step_token_received_,
					  .done = step_done_,
					  .user_data = stage };
	cb_engine_step_t step = {
		.request = attempt->parts.order.request,
		.epoch = attempt->parts.order.epoch,
		.token = attempt->token_index,
		.first_layer = stage->first_layer,
		.last_layer = stage->last_layer,
		.hidden = attempt->current_stage ? attempt->hidden : NULL,
		.previous = attempt->current_stage || attempt->is_first_step ?
				    NULL :
				    attempt->previous_text,
	};

	attempt->last_progress_us = cb_clock_now_us(attempt->parts.env->clock);
	progress_timer_start_(attempt);
	stage->exchange =
		engines->vtable->step(engines, stage->server, &step, &listener);
}

/* Drops the session on the server from which it was moved. */
static void move_source_release_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	cb_server_t *from = attempt->parts.move_from;

	if (!from)
		return;
	engines->vtable->drop(engines, from, attempt->parts.order.request,
			      attempt->parts.move_epoch);
	cb_server_end_attempt(from);
	attempt->parts.move_from = NULL;
}

static void session_open_token_received_(void *user_data,
					 const cb_engine_token_t *token)
{
	stage_t *stage = user_data;

	(void)token;
	counter_increment_(stage->attempt, "cb_results_dropped_total", "range");
	failure_report_(stage->attempt, stage, CB_FAILURE_MISMATCH, FALSE);
}

static void session_open_done_(void *user_data, cb_failure_t failure)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	stage->exchange = NULL;
	if (failure != CB_FAILURE_NONE) {
		exchange_failure_handle_(stage, failure);
		return;
	}
	stage->is_open = TRUE;
	attempt->may_be_accepted = TRUE;
	if ((int)(stage - attempt->stages) == attempt->parts.move_stage)
		move_source_release_(attempt);
	if (attempt->probed_stage == stage)
		probe_cancel_(attempt);
	if (++attempt->open_stage_count < attempt->stage_count) {
		if (!attempt->probe)
			progress_timer_start_(attempt);
		return;
	}
	cb_progress_gap_add(attempt->parts.open_progress,
			    progress_record_(attempt));
	step_start_(attempt);
}

static cb_engine_order_t stage_order_make_(const cb_attempt_t *attempt,
					   const stage_t *stage)
{
	cb_engine_order_t order = attempt->parts.order;

	order.first_layer = stage->first_layer;
	order.last_layer = stage->last_layer;
	return order;
}

/* Opens the session of one stage, or moves an open one to its server. */
static void stage_open_(cb_attempt_t *attempt, unsigned int i)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	stage_t *stage = &attempt->stages[i];
	cb_engine_order_t order = stage_order_make_(attempt, stage);
	cb_engine_listener_t listener = { .token = session_open_token_received_,
					  .done = session_open_done_,
					  .user_data = stage };

	if ((int)i == attempt->parts.move_stage)
		stage->exchange =
			engines->vtable->move(engines, attempt->parts.move_from,
					      stage->server, &order, &listener);
	else
		stage->exchange = engines->vtable->open(engines, stage->server,
							&order, &listener);
}

static void stream_start_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	stage_t *stage = &attempt->stages[0];
	cb_engine_order_t order = stage_order_make_(attempt, stage);
	cb_engine_listener_t listener = { .token = stream_token_received_,
					  .done = stream_done_,
					  .user_data = stage };

	stage->exchange = engines->vtable->stream(engines, stage->server,
						  &order, &listener);
}

/*
 * Creates an attempt on `parts->chain`, of which it takes ownership.  The
 * texts of the order must outlive the attempt.
 */
cb_attempt_t *cb_attempt_new(const cb_attempt_parts_t *parts,
			     const cb_attempt_listener_t *listener)
{
	cb_attempt_t *attempt = g_new0(cb_attempt_t, 1);
	unsigned int i;

	attempt->parts = *parts;
	attempt->listener = *listener;
	attempt->token_index = parts->order.delivered_count;
	attempt->is_first_step = TRUE;
	attempt->stage_count = parts->chain->len;
	attempt->stages = g_new0(stage_t, attempt->stage_count);
	attempt->progress_timer =
		cb_timer_new(parts->env->clock, progress_timer_fired_, attempt);
	for (i = 0; i < attempt->stage_count; i++) {
		const cb_route_stage_t *route =
			&g_array_index(parts->chain, cb_route_stage_t, i);
		stage_t *stage = &attempt->stages[i];

		stage->attempt = attempt;
		stage->server = route->server;
		stage->first_layer = route->first_layer;
		stage->last_layer = route->last_layer;
		cb_server_begin_attempt(stage->server);
		cb_suspects_attempt_begin(parts->suspects, parts->digest,
					  stage->server);
	}
	if (parts->move_from)
		cb_server_begin_attempt(parts->move_from);
	return attempt;
}

static void stage_release_(cb_attempt_t *attempt, stage_t *stage)
{
	cb_engine_client_t *engines = engine_client_(attempt);
	gboolean has_ended = attempt->is_finished && attempt->stage_count == 1;

	if (!stage->is_session_kept && !stage->has_no_session && !has_ended)
		engines->vtable->drop(engines, stage->server,
				      attempt->parts.order.request,
				      attempt->parts.order.epoch);
	cb_suspects_attempt_end(attempt->parts.suspects, attempt->parts.digest,
				stage->server);
	cb_server_end_attempt(stage->server);
}

/* Deletes the attempt and drops its sessions; NULL is allowed. */
void cb_attempt_delete(cb_attempt_t *attempt)
{
	unsigned int i;

	if (!attempt)
		return;
	exchanges_cancel_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		stage_release_(attempt, &attempt->stages[i]);
	move_source_release_(attempt);
	cb_timer_delete(attempt->progress_timer);
	g_array_unref(attempt->parts.chain);
	g_free(attempt->stages);
	g_free(attempt->hidden);
	g_free(attempt->previous_text);
	g_free(attempt->token_text);
	g_free(attempt);
}

/*
 * Starts the attempt.  One engine with the whole model streams its tokens.
 * On a chain the sessions of all stages are opened at the same time, and the
 * first step starts when the last of them is open.
 */
void cb_attempt_start(cb_attempt_t *attempt)
{
	unsigned int i;

	attempt->last_progress_us = cb_clock_now_us(attempt->parts.env->clock);
	progress_timer_start_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		history_event_record_(attempt, &attempt->stages[i],
				      CB_HISTORY_ORDER);
	if (cb_attempt_is_stream(attempt)) {
		stream_start_(attempt);
		return;
	}
	for (i = 0; i < attempt->stage_count; i++)
		stage_open_(attempt, i);
}

/* Starts the next token on a chain; a stream continues by itself. */
void cb_attempt_token_start(cb_attempt_t *attempt)
{
	if (!cb_attempt_is_stream(attempt))
		step_start_(attempt);
}

/* Stops the timer and the probe when all tokens have been delivered. */
void cb_attempt_finish(cb_attempt_t *attempt)
{
	attempt->is_finished = TRUE;
	cb_timer_stop(attempt->progress_timer);
	probe_cancel_(attempt);
}

/* Returns whether one engine runs the whole model. */
gboolean cb_attempt_is_stream(const cb_attempt_t *attempt)
{
	return attempt->stage_count == 1;
}

/* Returns whether an engine may have accepted the order. */
gboolean cb_attempt_may_be_accepted(const cb_attempt_t *attempt)
{
	return attempt->may_be_accepted;
}

/* Returns the epoch of the attempt. */
uint64_t cb_attempt_epoch(const cb_attempt_t *attempt)
{
	return attempt->parts.order.epoch;
}

/* Returns the stages in order, an array of cb_route_stage_t. */
const GArray *cb_attempt_chain(const cb_attempt_t *attempt)
{
	return attempt->parts.chain;
}

/* Keeps the session of one stage open when the attempt is deleted. */
void cb_attempt_session_keep(cb_attempt_t *attempt, unsigned int stage)
{
	attempt->stages[stage].is_session_kept = TRUE;
}
