#include "currantbridge/generation.h"

#include <string.h>

#include "private/attempt.h"
#include "private/digest.h"
#include "private/free_slots.h"
#include "private/retry_budget.h"

#define MS_PER_S 1000
/* Attempts in a row that bring no token. */
#define MAX_FRUITLESS_ATTEMPTS 12
#define FIRST_BACKOFF_MS 5
#define MAX_BACKOFF_MS 500
#define MAX_PATIENCE 3
/* How long a request looks for room before it is given up. */
#define MAX_BUSY_MS 2000
/* The pace of its attempts while a server is thought to have room, or none. */
#define ROOM_DELAY_MS 5
#define FULL_DELAY_MS 100
/* How often a request that must wait looks again. */
#define WAIT_POLL_MS 25
/* How long an answer that has begun waits for a chain to come about. */
#define MAX_CHAIN_WAIT_MS 30000
/* When a server's next report is due after its last. */
#define REPORT_INTERVAL_MS 1000
/* Told to callers when not one server of the model is known. */
#define NO_SERVER_RETRY_S 5
/* Left tokens that make the move of a session worth its bytes. */
#define MIN_MOVE_TOKENS 32

struct cb_generation_env {
	cb_generation_parts_t parts;
	cb_suspects_t *suspects;
	cb_retry_budget_t *budget;
	cb_progress_t open_progress;
};

struct cb_generation {
	cb_generation_env_t *env;
	char *workspace;
	char *model;
	char *prompt;
	char *id; /* of the request, unique to this run of it */
	char *digest;
	uint64_t max_tokens;
	int64_t priority;
	int64_t deadline_ms;
	cb_generation_sink_t sink;
	GPtrArray *delivered; /* texts */
	uint64_t epoch;
	cb_attempt_t *attempt;
	cb_progress_t step_progress;
	GHashTable *excluded;  /* names of servers not to be tried next */
	GHashTable *preferred; /* names of servers of the last chain */
	gboolean is_alone;     /* to be kept apart from other work */
	gboolean is_busy;      /* the last server had no room */
	gboolean may_have_run;
	unsigned int fruitless_attempts;
	unsigned int silent_attempts;
	int64_t waiting_since_ms; /* for a chain; -1: not waiting */
	int64_t busy_since_ms;	  /* refused for want of room; -1: not */
	gboolean owes_budget;	  /* the next attempt is not yet paid for */
	gboolean is_started;
	gboolean is_ended;
	cb_generation_end_t end;
	cb_timer_t *deadline_timer;
	cb_timer_t *wake_timer;
	cb_timer_t *end_timer;
};

/* How much choice is left when a chain is looked for. */
typedef enum pass {
	PASS_TOGETHER, /* where the same content already runs */
	PASS_APART,    /* by the rules for suspects */
	PASS_ANY,      /* any server that was not excluded */
	PASS_AGAIN,    /* those that were excluded as well */
} pass_t;

typedef struct choice {
	const cb_generation_t *generation;
	pass_t pass;
} choice_t;

static void plan_(void *user_data);

static int64_t now_ms_(const cb_generation_t *generation)
{
	return cb_clock_now_ms(generation->env->parts.clock);
}

static void count_(const cb_generation_t *generation, const char *name,
		   const char *reason)
{
	cb_counter_add(cb_counters_counter(generation->env->parts.counters,
					   name, "reason", reason),
		       1);
}

static void record_(const cb_generation_t *generation, cb_history_kind_t kind,
		    uint64_t token, const char *text)
{
	gboolean is_end = kind == CB_HISTORY_END;
	cb_history_event_t event = {
		.kind = kind,
		.request = generation->id,
		.workspace = generation->workspace,
		.epoch = generation->epoch,
		.token = token,
		.text = text,
		.refusal = is_end ? cb_refusal_string[generation->end.refusal] :
				    NULL,
		.executed =
			is_end ? cb_executed_string[generation->end.executed] :
				 NULL,
	};

	cb_history_record(generation->env->parts.history, &event);
}

/* Makes what the generations of one entry instance share. */
cb_generation_env_t *cb_generation_env_new(const cb_generation_parts_t *parts)
{
	cb_generation_env_t *env = g_new0(cb_generation_env_t, 1);

	env->parts = *parts;
	env->suspects = cb_suspects_new(parts);
	env->budget = cb_retry_budget_new(parts->clock);
	return env;
}

/* Deletes it; its generations must have been deleted before. */
void cb_generation_env_delete(cb_generation_env_t *env)
{
	if (!env)
		return;
	cb_suspects_delete(env->suspects);
	cb_retry_budget_delete(env->budget);
	g_free(env);
}

static void attempt_drop_(cb_generation_t *generation)
{
	cb_attempt_delete(generation->attempt);
	generation->attempt = NULL;
}

static void end_due_(void *user_data)
{
	cb_generation_t *generation = user_data;

	generation->sink.ended(generation->sink.user_data, &generation->end);
}

/* Returns in how many seconds a server may be there; from its next report. */
static int64_t next_report_s_(const cb_generation_t *generation)
{
	const GPtrArray *engines =
		cb_server_engines(generation->env->parts.registry,
				  generation->model);
	int64_t now_ms = now_ms_(generation);
	int64_t wait_ms = NO_SERVER_RETRY_S * MS_PER_S;
	unsigned int i;

	for (i = 0; engines && i < engines->len; i++) {
		const cb_server_t *server = g_ptr_array_index(engines, i);
		int64_t due_ms =
			server->reported_at_ms + REPORT_INTERVAL_MS - now_ms;

		wait_ms = MIN(wait_ms, MAX(due_ms, 1));
	}
	return (wait_ms + MS_PER_S - 1) / MS_PER_S;
}

static int64_t retry_after_s_(const cb_generation_t *generation,
			      cb_refusal_t refusal)
{
	switch (refusal) {
	case CB_REFUSAL_QUARANTINED:
		return cb_suspects_remaining_s(generation->env->suspects,
					       generation->digest);
	case CB_REFUSAL_NO_SERVER:
	case CB_REFUSAL_OVERLOADED:
	case CB_REFUSAL_RETRIES_EXHAUSTED:
		return next_report_s_(generation);
	default:
		return 0;
	}
}

/* Ends the generation; the sink is told from the loop, at once. */
static void end_(cb_generation_t *generation, cb_refusal_t refusal)
{
	cb_generation_env_t *env = generation->env;

	if (generation->is_ended)
		return;
	generation->is_ended = TRUE;
	if (generation->attempt)
		generation->may_have_run = TRUE;
	if (refusal == CB_REFUSAL_NONE) {
		cb_attempt_finish(generation->attempt);
		cb_suspects_passed(env->suspects, generation->digest);
		cb_retry_budget_succeeded(env->budget, generation->workspace);
	} else {
		attempt_drop_(generation);
		cb_suspects_left(env->suspects, generation->digest);
		cb_log_event(env->parts.log, CB_EVENT_GENERATION_GIVEN_UP,
			     CB_STR("request", generation->id),
			     CB_STR("reason", cb_refusal_string[refusal]));
	}
	generation->end.refusal = refusal;
	generation->end.retry_after_s = retry_after_s_(generation, refusal);
	generation->end.executed =
		generation->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	if (refusal == CB_REFUSAL_NONE)
		generation->end.executed = CB_EXECUTED_YES;
	record_(generation, CB_HISTORY_END, generation->delivered->len, NULL);
	cb_timer_stop(generation->deadline_timer);
	cb_timer_stop(generation->wake_timer);
	cb_timer_start(generation->end_timer, 0);
}

static void deadline_passed_(void *user_data)
{
	end_(user_data, CB_REFUSAL_DEADLINE_EXCEEDED);
}

/* Whether a server may be part of the next chain; see pass_t. */
static gboolean server_fits_(const cb_server_t *server, void *user_data)
{
	const choice_t *choice = user_data;
	const cb_generation_t *generation = choice->generation;
	const cb_suspects_t *suspects = generation->env->suspects;
	const char *digest = generation->digest;

	if (choice->pass == PASS_AGAIN)
		return TRUE;
	if (g_hash_table_contains(generation->excluded, server->name))
		return FALSE;
	if (choice->pass == PASS_TOGETHER)
		return cb_suspects_runs_on(suspects, digest, server);
	if (choice->pass == PASS_ANY)
		return TRUE;
	if (generation->is_alone && !cb_suspects_is_idle(suspects, server))
		return FALSE;
	return cb_suspects_may_share(suspects, digest, server);
}

static GArray *chain_choose_(const cb_generation_t *generation)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	gboolean is_untried = cb_suspects_is_untried(generation->env->suspects,
						     generation->digest);
	choice_t choice = { .generation = generation,
			    .pass = is_untried ? PASS_TOGETHER : PASS_APART };
	cb_route_query_t query = { .registry = parts->registry,
				   .data_centre = parts->data_centre,
				   .digest = generation->digest,
				   .filter = server_fits_,
				   .user_data = &choice,
				   .preferred = generation->preferred };
	pass_t last = generation->is_busy ? PASS_ANY : PASS_AGAIN;
	GArray *chain = NULL;

	for (; !chain && choice.pass <= last; choice.pass++)
		chain = cb_router_chain(&query, generation->model);
	return chain;
}

/* Remembers the chain, whose engines then hold the request's context. */
static void prefer_(cb_generation_t *generation, const GArray *chain)
{
	unsigned int i;

	g_hash_table_remove_all(generation->preferred);
	for (i = 0; i < chain->len; i++)
		g_hash_table_add(generation->preferred,
				 g_strdup(g_array_index(chain, cb_route_stage_t,
							i)
						  .server->name));
}

static void token_(void *user_data, const char *text, gboolean is_last);
static void failed_(void *user_data, const cb_attempt_failure_t *failure);

/* Fills in what every attempt of a generation has in common. */
static cb_attempt_parts_t attempt_parts_(cb_generation_t *generation,
					 GArray *chain)
{
	cb_generation_env_t *env = generation->env;

	return (cb_attempt_parts_t){
		.env = &env->parts,
		.suspects = env->suspects,
		.digest = generation->digest,
		.workspace = generation->workspace,
		.order = { .request = generation->id,
			   .epoch = generation->epoch,
			   .fencing = generation->epoch,
			   .priority = generation->priority,
			   .model = generation->model,
			   .prompt = generation->prompt,
			   .delivered = (const char *const *)
						generation->delivered->pdata,
			   .delivered_count = generation->delivered->len,
			   .max_tokens = generation->max_tokens },
		.chain = chain,
		.move_stage = -1,
		.step_progress = &generation->step_progress,
		.open_progress = &env->open_progress,
		.patience = MIN(generation->silent_attempts, MAX_PATIENCE),
	};
}

/* Replaces the attempt, if there is one, by the next. */
static void attempt_begin_(cb_generation_t *generation,
			   const cb_attempt_parts_t *parts)
{
	cb_attempt_t *old = generation->attempt;
	cb_attempt_listener_t listener = { .token = token_,
					   .failed = failed_,
					   .user_data = generation };

	record_(generation, CB_HISTORY_EPOCH, generation->delivered->len, NULL);
	generation->attempt = cb_attempt_new(parts, &listener);
	prefer_(generation, parts->chain);
	cb_attempt_delete(old);
	cb_attempt_start(generation->attempt);
}

/*
 * No server had room.  Nothing has run and no server was burdened, so this
 * costs no retry budget: looks elsewhere at once while a server is thought
 * to have room, else anywhere after a pause.
 */
static void busy_again_(cb_generation_t *generation)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	int32_t most_ms = ROOM_DELAY_MS;

	if (generation->busy_since_ms < 0)
		generation->busy_since_ms = now_ms_(generation);
	if (now_ms_(generation) - generation->busy_since_ms >= MAX_BUSY_MS) {
		end_(generation, CB_REFUSAL_OVERLOADED);
		return;
	}
	if (cb_free_slots_model(parts->registry, generation->model) <= 0) {
		g_hash_table_remove_all(generation->excluded);
		most_ms = FULL_DELAY_MS;
	}
	cb_timer_start(generation->wake_timer,
		       g_rand_int_range(parts->random, most_ms / 2,
					most_ms + 1));
}

/* No chain covers the model: waits only if the answer has begun. */
static void chain_missing_(cb_generation_t *generation)
{
	int64_t now_ms = now_ms_(generation);

	if (generation->is_busy) {
		g_hash_table_remove_all(generation->excluded);
		busy_again_(generation);
		return;
	}
	if (generation->waiting_since_ms < 0)
		generation->waiting_since_ms = now_ms;
	if (!generation->delivered->len ||
	    now_ms - generation->waiting_since_ms >= MAX_CHAIN_WAIT_MS) {
		end_(generation, CB_REFUSAL_NO_SERVER);
		return;
	}
	cb_timer_start(generation->wake_timer, WAIT_POLL_MS);
}

/* Pays for a retry; an answer that has begun waits for the budget. */
static gboolean budget_allows_(cb_generation_t *generation)
{
	if (!generation->owes_budget)
		return TRUE;
	if (cb_retry_budget_take(generation->env->budget,
				 generation->workspace)) {
		generation->owes_budget = FALSE;
		return TRUE;
	}
	if (!generation->delivered->len) {
		end_(generation, CB_REFUSAL_RETRIES_EXHAUSTED);
		return FALSE;
	}
	count_(generation, "cb_retries_delayed_total", "budget");
	cb_timer_start(generation->wake_timer, WAIT_POLL_MS);
	return FALSE;
}

/* Looks again after a while, if there is a chain to wait for. */
static void wait_(cb_generation_t *generation)
{
	GArray *chain = chain_choose_(generation);

	if (!chain) {
		chain_missing_(generation);
		return;
	}
	g_array_unref(chain);
	cb_timer_start(generation->wake_timer, WAIT_POLL_MS);
}

/* Begins the next attempt, as soon as it may. */
static void plan_(void *user_data)
{
	cb_generation_t *generation = user_data;
	cb_suspects_verdict_t verdict =
		cb_suspects_admit(generation->env->suspects,
				  generation->digest);
	cb_attempt_parts_t parts;
	GArray *chain;

	if (verdict == CB_SUSPECTS_REFUSED) {
		end_(generation, CB_REFUSAL_QUARANTINED);
		return;
	}
	if (verdict == CB_SUSPECTS_WAIT) {
		wait_(generation);
		return;
	}
	if (!budget_allows_(generation))
		return;
	generation->is_alone = verdict == CB_SUSPECTS_RUN_ALONE;
	chain = chain_choose_(generation);
	if (!chain) {
		chain_missing_(generation);
		return;
	}
	generation->waiting_since_ms = -1;
	generation->epoch++;
	parts = attempt_parts_(generation, chain);
	attempt_begin_(generation, &parts);
}

/* Looks for a stage that is leaving and can be taken over elsewhere. */
static gboolean move_find_(const cb_generation_t *generation,
			   unsigned int *stage, cb_server_t **to)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	const GArray *chain = cb_attempt_chain(generation->attempt);
	choice_t choice = { .generation = generation, .pass = PASS_APART };
	cb_route_query_t query = { .registry = parts->registry,
				   .data_centre = parts->data_centre,
				   .digest = generation->digest,
				   .filter = server_fits_,
				   .user_data = &choice };
	unsigned int i;

	if (chain->len == 1 || generation->delivered->len + MIN_MOVE_TOKENS >
				       generation->max_tokens)
		return FALSE;
	for (i = 0; i < chain->len; i++) {
		const cb_route_stage_t *route =
			&g_array_index(chain, cb_route_stage_t, i);

		if (route->server->state != CB_SERVER_LEAVING)
			continue;
		*stage = i;
		*to = cb_router_stage(&query, generation->model,
				      route->first_layer, route->last_layer);
		return *to != NULL;
	}
	return FALSE;
}

/*
 * Goes on under a new epoch with one stage's KV cache moved to another
 * server; the other stages keep their prompt's cache and open anew.
 */
static void move_(cb_generation_t *generation, unsigned int stage,
		  cb_server_t *to)
{
	cb_attempt_t *old = generation->attempt;
	GArray *chain = g_array_copy((GArray *)cb_attempt_chain(old));
	cb_route_stage_t *route =
		&g_array_index(chain, cb_route_stage_t, stage);
	cb_attempt_parts_t parts;

	generation->epoch++;
	parts = attempt_parts_(generation, chain);
	parts.move_stage = (int)stage;
	parts.move_from = route->server;
	parts.move_epoch = cb_attempt_epoch(old);
	route->server = to;
	count_(generation, "cb_retries_total", "leaving");
	cb_attempt_keep(old, stage);
	attempt_begin_(generation, &parts);
}

/* Has the next token made, by the same chain if it stays. */
static void go_on_(cb_generation_t *generation)
{
	unsigned int stage;
	cb_server_t *to;

	if (move_find_(generation, &stage, &to))
		move_(generation, stage, to);
	else
		cb_attempt_next(generation->attempt);
}

/* A token is complete: it goes to the caller exactly once. */
static void token_(void *user_data, const char *text, gboolean is_last)
{
	cb_generation_t *generation = user_data;
	uint64_t index = generation->delivered->len;
	cb_generation_sink_t sink = generation->sink;
	char *copy = g_strdup(text);

	g_ptr_array_add(generation->delivered, copy);
	generation->may_have_run = TRUE;
	generation->fruitless_attempts = 0;
	g_hash_table_remove_all(generation->excluded);
	cb_suspects_progressed(generation->env->suspects, generation->digest,
			       generation->delivered->len);
	record_(generation, CB_HISTORY_DELIVER, index, copy);
	if (is_last || generation->delivered->len >= generation->max_tokens)
		end_(generation, CB_REFUSAL_NONE);
	else
		go_on_(generation);
	sink.token(sink.user_data, index, copy);
}

/* Notes what a failed attempt says about its server. */
static void failure_note_(cb_generation_t *generation,
			  const cb_attempt_failure_t *failure)
{
	cb_generation_env_t *env = generation->env;

	count_(generation, "cb_retries_total",
	       cb_failure_string[failure->failure]);
	cb_log_event(env->parts.log, CB_EVENT_ATTEMPT_FAILED,
		     CB_STR("request", generation->id),
		     CB_INT("epoch", generation->epoch),
		     CB_STR("server", failure->server->name),
		     CB_STR("failure", cb_failure_string[failure->failure]),
		     CB_INT("server_dead", failure->is_server_dead));
	if (failure->is_server_dead) {
		cb_server_failed(env->parts.registry, failure->server);
		cb_suspects_server_failed(env->suspects, failure->server);
		if (failure->failure != CB_FAILURE_CONNECT)
			cb_suspects_server_died(env->suspects, failure->server);
	}
	generation->is_busy = failure->failure == CB_FAILURE_REFUSED &&
			      !generation->delivered->len;
	if (failure->failure == CB_FAILURE_REFUSED)
		cb_server_was_full(failure->server);
	if (failure->failure == CB_FAILURE_SILENT && !failure->is_server_dead)
		generation->silent_attempts++;
	if (failure->is_server_dead || failure->failure == CB_FAILURE_SILENT ||
	    failure->failure == CB_FAILURE_REFUSED ||
	    failure->failure == CB_FAILURE_MISMATCH)
		g_hash_table_add(generation->excluded,
				 g_strdup(failure->server->name));
}

/* Returns the delay before the next attempt: none after the first failure. */
static int64_t backoff_ms_(const cb_generation_t *generation)
{
	unsigned int doublings = MIN(generation->fruitless_attempts, 8) - 1;
	int64_t most_ms = FIRST_BACKOFF_MS << doublings;

	if (!doublings)
		return 0;
	most_ms = MIN(most_ms, MAX_BACKOFF_MS);
	return g_rand_int_range(generation->env->parts.random,
				(int32_t)(most_ms / 2), (int32_t)most_ms + 1);
}

/* An attempt has failed; the next begins from the last delivered token. */
static void failed_(void *user_data, const cb_attempt_failure_t *failure)
{
	cb_generation_t *generation = user_data;

	failure_note_(generation, failure);
	if (cb_attempt_is_accepted(generation->attempt))
		generation->may_have_run = TRUE;
	attempt_drop_(generation);
	if (generation->is_busy) {
		busy_again_(generation);
		return;
	}
	generation->owes_budget = TRUE;
	if (++generation->fruitless_attempts >= MAX_FRUITLESS_ATTEMPTS) {
		end_(generation, CB_REFUSAL_RETRIES_EXHAUSTED);
		return;
	}
	cb_timer_start(generation->wake_timer, backoff_ms_(generation));
}

/*
 * Makes a generation; the request and sink are copied.  Nothing happens
 * until it is started.
 */
cb_generation_t *cb_generation_new(cb_generation_env_t *env,
				   const cb_generation_request_t *request,
				   const cb_generation_sink_t *sink)
{
	cb_generation_t *generation = g_new0(cb_generation_t, 1);
	const char *const content[] = { request->workspace, request->model,
					request->prompt };
	GRand *random = env->parts.random;

	generation->env = env;
	generation->workspace = g_strdup(request->workspace);
	generation->model = g_strdup(request->model);
	generation->prompt = g_strdup(request->prompt);
	generation->id =
		g_strdup_printf("%s.%08x%08x", request->request,
				g_rand_int(random), g_rand_int(random));
	generation->digest =
		cb_digest_text(content, G_N_ELEMENTS(content), NULL);
	generation->max_tokens = MAX(request->max_tokens, 1);
	generation->priority = request->priority;
	generation->deadline_ms = request->deadline_ms;
	generation->sink = *sink;
	generation->delivered = g_ptr_array_new_with_free_func(g_free);
	generation->excluded =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	generation->preferred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	generation->waiting_since_ms = -1;
	generation->busy_since_ms = -1;
	generation->deadline_timer =
		cb_timer_new(env->parts.clock, deadline_passed_, generation);
	generation->wake_timer =
		cb_timer_new(env->parts.clock, plan_, generation);
	generation->end_timer =
		cb_timer_new(env->parts.clock, end_due_, generation);
	return generation;
}

/* Starts a generation; the first attempt begins at once. */
void cb_generation_start(cb_generation_t *generation)
{
	generation->is_started = TRUE;
	cb_suspects_joined(generation->env->suspects, generation->digest);
	cb_timer_start(generation->deadline_timer, generation->deadline_ms);
	plan_(generation);
}

/*
 * Ends a generation whose caller has gone: every stage is told at once, and
 * the sink is not called any more.
 */
void cb_generation_cancel(cb_generation_t *generation)
{
	cb_timer_stop(generation->deadline_timer);
	cb_timer_stop(generation->wake_timer);
	cb_timer_stop(generation->end_timer);
	attempt_drop_(generation);
	if (generation->is_ended || !generation->is_started)
		return;
	generation->is_ended = TRUE;
	cb_suspects_left(generation->env->suspects, generation->digest);
}

/* Deletes a generation, cancelling it first; NULL is allowed. */
void cb_generation_delete(cb_generation_t *generation)
{
	if (!generation)
		return;
	cb_generation_cancel(generation);
	cb_timer_delete(generation->deadline_timer);
	cb_timer_delete(generation->wake_timer);
	cb_timer_delete(generation->end_timer);
	g_ptr_array_unref(generation->delivered);
	g_hash_table_unref(generation->excluded);
	g_hash_table_unref(generation->preferred);
	g_free(generation->workspace);
	g_free(generation->model);
	g_free(generation->prompt);
	g_free(generation->id);
	g_free(generation->digest);
	g_free(generation);
}
