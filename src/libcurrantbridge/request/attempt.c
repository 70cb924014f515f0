#include "private/attempt.h"

#include <string.h>

#define PROBE_TIMEOUT_MS 150
/* A server that answers probes is given this many deadlines in a row. */
#define ANSWERED_PROBES 1

typedef struct stage {
	cb_attempt_t *attempt;
	cb_server_t *server;
	uint32_t first_layer;
	uint32_t last_layer;
	cb_exchange_t *exchange;
	gboolean is_open;
	gboolean is_absent; /* its server did not take the order */
	gboolean is_kept;
} stage_t;

struct cb_attempt {
	cb_attempt_parts_t parts;
	cb_attempt_listener_t listener;
	stage_t *stages;
	unsigned int stage_count;
	unsigned int open_count;
	unsigned int current; /* the stage that runs the present step */
	uint64_t token;
	char *hidden;	/* from the stage before */
	char *previous; /* text of the token before; NULL at first */
	char *text;	/* of the present token */
	gboolean is_first_step;
	gboolean has_result;
	gboolean is_last;
	gboolean is_accepted;
	gboolean is_finished;
	int64_t progressed_at_us;
	cb_timer_t *timer;
	/* The fresh connection that asks whether a server lives. */
	cb_exchange_t *probe;
	stage_t *probed;
	cb_failure_t probed_failure;
	unsigned int answered_probes;
};

static void count_(const cb_attempt_t *attempt, const char *name,
		   const char *reason)
{
	cb_counter_add(cb_counters_counter(attempt->parts.env->counters, name,
					   "reason", reason),
		       1);
}

static cb_engine_client_t *engines_(const cb_attempt_t *attempt)
{
	return attempt->parts.env->engines;
}

static void stage_cancel_(stage_t *stage)
{
	cb_engine_client_t *engines = engines_(stage->attempt);

	if (!stage->exchange)
		return;
	stage->attempt->is_accepted = TRUE;
	engines->vtable->cancel(engines, stage->exchange);
	stage->exchange = NULL;
}

static void probe_cancel_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engines_(attempt);

	if (attempt->probe)
		engines->vtable->cancel(engines, attempt->probe);
	attempt->probe = NULL;
	attempt->probed = NULL;
}

/* Ends the exchanges and timers; the sessions stay until it is deleted. */
static void quiesce_(cb_attempt_t *attempt)
{
	unsigned int i;

	cb_timer_stop(attempt->timer);
	probe_cancel_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		stage_cancel_(&attempt->stages[i]);
}

static void fail_(cb_attempt_t *attempt, stage_t *stage, cb_failure_t failure,
		  gboolean is_server_dead)
{
	cb_attempt_failure_t end = { .failure = failure,
				     .server = stage->server,
				     .is_server_dead = is_server_dead };

	quiesce_(attempt);
	attempt->listener.failed(attempt->listener.user_data, &end);
}

/* Arms the deadline for the next sign of progress. */
static void expect_progress_(cb_attempt_t *attempt)
{
	const cb_progress_t *progress =
		attempt->open_count < attempt->stage_count ?
			attempt->parts.open_progress :
			attempt->parts.step_progress;
	int64_t deadline_ms = cb_progress_timeout_ms(progress);

	cb_timer_start(attempt->timer, deadline_ms << attempt->parts.patience);
}

/* Notes a sign of progress, which ends a probe that is under way. */
static int64_t note_progress_(cb_attempt_t *attempt)
{
	int64_t now_us = cb_clock_now_us(attempt->parts.env->clock);
	int64_t gap_us = now_us - attempt->progressed_at_us;

	attempt->progressed_at_us = now_us;
	attempt->answered_probes = 0;
	probe_cancel_(attempt);
	return gap_us;
}

/* Returns the stage that progress is awaited from. */
static stage_t *awaited_stage_(cb_attempt_t *attempt)
{
	unsigned int i;

	if (attempt->open_count == attempt->stage_count)
		return &attempt->stages[attempt->current];
	for (i = 0; i < attempt->stage_count; i++)
		if (!attempt->stages[i].is_open)
			return &attempt->stages[i];
	return &attempt->stages[0];
}

/* The probed server lives: only the connection to it may be dead. */
static void probe_answered_(cb_attempt_t *attempt)
{
	stage_t *stage = attempt->probed;

	attempt->probed = NULL;
	if (attempt->probed_failure == CB_FAILURE_SILENT &&
	    attempt->answered_probes < ANSWERED_PROBES) {
		attempt->answered_probes++;
		expect_progress_(attempt);
		return;
	}
	fail_(attempt, stage, attempt->probed_failure, FALSE);
}

static void probe_failed_(cb_attempt_t *attempt)
{
	stage_t *stage = attempt->probed;

	attempt->probed = NULL;
	fail_(attempt, stage, attempt->probed_failure, TRUE);
}

static void probe_done_(void *user_data, cb_failure_t failure)
{
	cb_attempt_t *attempt = user_data;

	attempt->probe = NULL;
	cb_timer_stop(attempt->timer);
	if (failure == CB_FAILURE_CONNECT || failure == CB_FAILURE_LOST ||
	    failure == CB_FAILURE_SILENT)
		probe_failed_(attempt);
	else
		probe_answered_(attempt);
}

/* Asks on a fresh connection whether the stage's server lives. */
static void probe_start_(cb_attempt_t *attempt, stage_t *stage,
			 cb_failure_t failure)
{
	cb_engine_client_t *engines = engines_(attempt);
	cb_engine_listener_t listener = { .done = probe_done_,
					  .user_data = attempt };

	if (attempt->probe)
		return;
	attempt->probed = stage;
	attempt->probed_failure = failure;
	cb_timer_start(attempt->timer, PROBE_TIMEOUT_MS);
	attempt->probe =
		engines->vtable->probe(engines, stage->server, &listener);
}

/* No progress within the deadline, or no answer to a probe. */
static void timer_fired_(void *user_data)
{
	cb_attempt_t *attempt = user_data;
	cb_engine_client_t *engines = engines_(attempt);

	if (!attempt->probe) {
		probe_start_(attempt, awaited_stage_(attempt),
			     CB_FAILURE_SILENT);
		return;
	}
	engines->vtable->cancel(engines, attempt->probe);
	attempt->probe = NULL;
	probe_failed_(attempt);
}

/* Deals with an exchange that has ended without its result. */
static void exchange_failed_(stage_t *stage, cb_failure_t failure)
{
	cb_attempt_t *attempt = stage->attempt;
	int index = (int)(stage - attempt->stages);

	if (cb_failure_is_unknown(failure))
		attempt->is_accepted = TRUE;
	if (!stage->is_open &&
	    (failure == CB_FAILURE_CONNECT || failure == CB_FAILURE_REFUSED))
		stage->is_absent = TRUE;
	if (index == attempt->parts.move_stage && !stage->is_open)
		fail_(attempt, stage, failure, FALSE);
	else if (failure == CB_FAILURE_CONNECT)
		fail_(attempt, stage, failure, TRUE);
	else if (failure == CB_FAILURE_LOST || failure == CB_FAILURE_SILENT)
		probe_start_(attempt, stage, failure);
	else
		fail_(attempt, stage, failure, FALSE);
}

static void record_(const cb_attempt_t *attempt, const stage_t *stage,
		    cb_history_kind_t kind)
{
	const cb_engine_order_t *order = &attempt->parts.order;
	cb_history_event_t event = { .kind = kind,
				     .request = order->request,
				     .workspace = attempt->parts.workspace,
				     .server = stage->server->name,
				     .epoch = order->epoch,
				     .token = attempt->token,
				     .first_layer = stage->first_layer,
				     .last_layer = stage->last_layer };

	cb_history_record(attempt->parts.env->history, &event);
}

/*
 * Checks that an answer belongs to this exchange; one that does not is
 * counted and dropped, and the attempt is closed.
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
	else if (token->token != attempt->token || attempt->has_result)
		reason = "token";
	else if (token->first_layer != stage->first_layer ||
		 token->last_layer != stage->last_layer)
		reason = "range";
	else if (is_end ? !token->text : !token->hidden)
		reason = "content";
	if (!reason)
		return TRUE;
	count_(attempt, "cb_results_dropped_total", reason);
	cb_log_event(attempt->parts.env->log, CB_EVENT_RESULT_DROPPED,
		     CB_STR("request", order->request),
		     CB_STR("server", stage->server->name),
		     CB_STR("reason", reason));
	return FALSE;
}

static void take_token_(cb_attempt_t *attempt, const cb_engine_token_t *token)
{
	g_free(attempt->text);
	attempt->text = g_strdup(token->text);
	attempt->is_last = token->is_last;
}

/* Hands the present token on; the attempt may be gone when it returns. */
static void deliver_(cb_attempt_t *attempt)
{
	g_free(attempt->previous);
	attempt->previous = g_strdup(attempt->text);
	attempt->token++;
	attempt->is_first_step = FALSE;
	if (attempt->is_last)
		cb_timer_stop(attempt->timer);
	attempt->listener.token(attempt->listener.user_data, attempt->previous,
				attempt->is_last);
}

static void stream_token_(void *user_data, const cb_engine_token_t *token)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;
	int64_t gap_us;

	if (attempt->is_finished)
		return;
	if (!token_matches_(stage, token)) {
		fail_(attempt, stage, CB_FAILURE_MISMATCH, FALSE);
		return;
	}
	attempt->is_accepted = TRUE;
	gap_us = note_progress_(attempt);
	if (attempt->is_first_step)
		cb_progress_gap_add(attempt->parts.open_progress, gap_us);
	else
		cb_progress_gap_add(attempt->parts.step_progress, gap_us);
	if (!attempt->is_first_step)
		cb_server_succeeded(attempt->parts.env->registry, stage->server,
				    gap_us);
	attempt->open_count = 1;
	expect_progress_(attempt);
	take_token_(attempt, token);
	deliver_(attempt);
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
	exchange_failed_(stage, failure);
}

static void step_start_(cb_attempt_t *attempt);

/* One stage has run its range for the present token. */
static void step_complete_(cb_attempt_t *attempt, stage_t *stage)
{
	int64_t gap_us = note_progress_(attempt);

	cb_progress_gap_add(attempt->parts.step_progress, gap_us);
	cb_server_succeeded(attempt->parts.env->registry, stage->server,
			    gap_us);
	if (++attempt->current < attempt->stage_count) {
		step_start_(attempt);
		return;
	}
	attempt->current = 0;
	cb_timer_stop(attempt->timer);
	deliver_(attempt);
}

static void step_token_(void *user_data, const cb_engine_token_t *token)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	if (!token_matches_(stage, token)) {
		fail_(attempt, stage, CB_FAILURE_MISMATCH, FALSE);
		return;
	}
	attempt->has_result = TRUE;
	g_free(attempt->hidden);
	attempt->hidden = g_strdup(token->hidden);
	take_token_(attempt, token);
}

static void step_done_(void *user_data, cb_failure_t failure)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	stage->exchange = NULL;
	if (attempt->has_result) {
		attempt->has_result = FALSE;
		step_complete_(attempt, stage);
		return;
	}
	if (failure == CB_FAILURE_NONE)
		failure = CB_FAILURE_LOST;
	exchange_failed_(stage, failure);
}

/* Sends the present token through the current stage. */
static void step_start_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engines_(attempt);
	stage_t *stage = &attempt->stages[attempt->current];
	cb_engine_listener_t listener = { .token = step_token_,
					  .done = step_done_,
					  .user_data = stage };
	cb_engine_step_t step = {
		.request = attempt->parts.order.request,
		.epoch = attempt->parts.order.epoch,
		.token = attempt->token,
		.first_layer = stage->first_layer,
		.last_layer = stage->last_layer,
		.hidden = attempt->current ? attempt->hidden : NULL,
		.previous = attempt->current || attempt->is_first_step ?
				    NULL :
				    attempt->previous,
	};

	attempt->progressed_at_us = cb_clock_now_us(attempt->parts.env->clock);
	expect_progress_(attempt);
	stage->exchange =
		engines->vtable->step(engines, stage->server, &step, &listener);
}

/* Has the server that a session was moved away from drop it. */
static void moved_from_release_(cb_attempt_t *attempt)
{
	cb_engine_client_t *engines = engines_(attempt);
	cb_server_t *from = attempt->parts.move_from;

	if (!from)
		return;
	engines->vtable->drop(engines, from, attempt->parts.order.request,
			      attempt->parts.move_epoch);
	cb_server_end(from);
	attempt->parts.move_from = NULL;
}

static void open_token_(void *user_data, const cb_engine_token_t *token)
{
	stage_t *stage = user_data;

	(void)token;
	count_(stage->attempt, "cb_results_dropped_total", "range");
	fail_(stage->attempt, stage, CB_FAILURE_MISMATCH, FALSE);
}

static void open_done_(void *user_data, cb_failure_t failure)
{
	stage_t *stage = user_data;
	cb_attempt_t *attempt = stage->attempt;

	stage->exchange = NULL;
	if (failure != CB_FAILURE_NONE) {
		exchange_failed_(stage, failure);
		return;
	}
	stage->is_open = TRUE;
	attempt->is_accepted = TRUE;
	if ((int)(stage - attempt->stages) == attempt->parts.move_stage)
		moved_from_release_(attempt);
	if (attempt->probed == stage)
		probe_cancel_(attempt);
	if (++attempt->open_count < attempt->stage_count) {
		if (!attempt->probe)
			expect_progress_(attempt);
		return;
	}
	cb_progress_gap_add(attempt->parts.open_progress,
			    note_progress_(attempt));
	step_start_(attempt);
}

static cb_engine_order_t stage_order_(const cb_attempt_t *attempt,
				      const stage_t *stage)
{
	cb_engine_order_t order = attempt->parts.order;

	order.first_layer = stage->first_layer;
	order.last_layer = stage->last_layer;
	return order;
}

/* Opens the session of one stage, or moves it there. */
static void open_start_(cb_attempt_t *attempt, unsigned int i)
{
	cb_engine_client_t *engines = engines_(attempt);
	stage_t *stage = &attempt->stages[i];
	cb_engine_order_t order = stage_order_(attempt, stage);
	cb_engine_listener_t listener = { .token = open_token_,
					  .done = open_done_,
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
	cb_engine_client_t *engines = engines_(attempt);
	stage_t *stage = &attempt->stages[0];
	cb_engine_order_t order = stage_order_(attempt, stage);
	cb_engine_listener_t listener = { .token = stream_token_,
					  .done = stream_done_,
					  .user_data = stage };

	stage->exchange = engines->vtable->stream(engines, stage->server,
						  &order, &listener);
}

/*
 * Makes an attempt on `parts->chain`, which it takes.  The texts of the
 * order must outlive it.
 */
cb_attempt_t *cb_attempt_new(const cb_attempt_parts_t *parts,
			     const cb_attempt_listener_t *listener)
{
	cb_attempt_t *attempt = g_new0(cb_attempt_t, 1);
	unsigned int i;

	attempt->parts = *parts;
	attempt->listener = *listener;
	attempt->token = parts->order.delivered_count;
	attempt->is_first_step = TRUE;
	attempt->stage_count = parts->chain->len;
	attempt->stages = g_new0(stage_t, attempt->stage_count);
	attempt->timer = cb_timer_new(parts->env->clock, timer_fired_, attempt);
	for (i = 0; i < attempt->stage_count; i++) {
		const cb_route_stage_t *route =
			&g_array_index(parts->chain, cb_route_stage_t, i);
		stage_t *stage = &attempt->stages[i];

		stage->attempt = attempt;
		stage->server = route->server;
		stage->first_layer = route->first_layer;
		stage->last_layer = route->last_layer;
		cb_server_begin(stage->server);
		cb_suspects_begin(parts->suspects, parts->digest,
				  stage->server);
	}
	if (parts->move_from)
		cb_server_begin(parts->move_from);
	return attempt;
}

static void stage_release_(cb_attempt_t *attempt, stage_t *stage)
{
	cb_engine_client_t *engines = engines_(attempt);
	gboolean is_whole = attempt->is_finished && attempt->stage_count == 1;

	if (!stage->is_kept && !stage->is_absent && !is_whole)
		engines->vtable->drop(engines, stage->server,
				      attempt->parts.order.request,
				      attempt->parts.order.epoch);
	cb_suspects_end(attempt->parts.suspects, attempt->parts.digest,
			stage->server);
	cb_server_end(stage->server);
}

/* Ends the attempt, telling each stage to drop its session at once. */
void cb_attempt_delete(cb_attempt_t *attempt)
{
	unsigned int i;

	if (!attempt)
		return;
	quiesce_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		stage_release_(attempt, &attempt->stages[i]);
	moved_from_release_(attempt);
	cb_timer_delete(attempt->timer);
	g_array_unref(attempt->parts.chain);
	g_free(attempt->stages);
	g_free(attempt->hidden);
	g_free(attempt->previous);
	g_free(attempt->text);
	g_free(attempt);
}

/*
 * Begins: one engine with the whole model streams, a chain is opened on all
 * its stages at once and stepped when the last of them is open.
 */
void cb_attempt_start(cb_attempt_t *attempt)
{
	unsigned int i;

	attempt->progressed_at_us = cb_clock_now_us(attempt->parts.env->clock);
	expect_progress_(attempt);
	for (i = 0; i < attempt->stage_count; i++)
		record_(attempt, &attempt->stages[i], CB_HISTORY_ORDER);
	if (cb_attempt_is_stream(attempt)) {
		stream_start_(attempt);
		return;
	}
	for (i = 0; i < attempt->stage_count; i++)
		open_start_(attempt, i);
}

/* Begins the next token of a chain; a stream goes on by itself. */
void cb_attempt_next(cb_attempt_t *attempt)
{
	if (!cb_attempt_is_stream(attempt))
		step_start_(attempt);
}

/* The answer is whole: what is still under way is of no interest. */
void cb_attempt_finish(cb_attempt_t *attempt)
{
	attempt->is_finished = TRUE;
	cb_timer_stop(attempt->timer);
	probe_cancel_(attempt);
}

/* Tells whether one engine runs the whole model. */
gboolean cb_attempt_is_stream(const cb_attempt_t *attempt)
{
	return attempt->stage_count == 1;
}

/* Tells whether an engine may have taken the order. */
gboolean cb_attempt_is_accepted(const cb_attempt_t *attempt)
{
	return attempt->is_accepted;
}

/* Returns the epoch that the attempt runs under. */
uint64_t cb_attempt_epoch(const cb_attempt_t *attempt)
{
	return attempt->parts.order.epoch;
}

/* Returns its stages, an array of cb_route_stage_t in order. */
const GArray *cb_attempt_chain(const cb_attempt_t *attempt)
{
	return attempt->parts.chain;
}

/* Leaves the session of one stage alive when the attempt is deleted. */
void cb_attempt_keep(cb_attempt_t *attempt, unsigned int stage)
{
	attempt->stages[stage].is_kept = TRUE;
}
