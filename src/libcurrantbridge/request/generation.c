#include "currantbridge/generation.h"

#include <string.h>

#include "private/attempt.h"
#include "private/digest.h"
#include "private/free_slots.h"
#include "private/retry_budget.h"

#define MS_PER_S 1000
/* Consecutive attempts without a token after which a request is given up. */
#define MAX_ATTEMPTS_WITHOUT_TOKEN 12
#define FIRST_BACKOFF_MS 5
#define MAX_BACKOFF_MS 500
/* Maximum number of doublings of an attempt's timeouts. */
#define MAX_TIMEOUT_DOUBLINGS 3
/* How long a request is retried after refusals for lack of a free slot. */
#define MAX_NO_SLOT_MS 2000
/*
 * Maximum delay after a refusal for lack of a free slot while a server should
 * have one.
 */
#define FREE_SLOT_RETRY_MS 5
/*
 * Maximum delay after a refusal for lack of a free slot while no server should
 * have one.
 */
#define NO_FREE_SLOT_RETRY_MS 100
/* Longest delay of the retry after this process lacked a descriptor, port or memory. */
#define RESOURCES_RETRY_MS 50
/* How often a waiting request checks whether it can continue. */
#define WAIT_POLL_MS 25
/* How long a request with delivered tokens waits for an available chain. */
#define MAX_NO_CHAIN_MS 30000
/* Expected time between two reports of a server. */
#define SERVER_REPORT_INTERVAL_MS 1000
/* Retry-After when the model has no server, and its maximum. */
#define MAX_NO_SERVER_RETRY_S 5
/*
 * Least number of remaining tokens for which a session is moved: with fewer,
 * the transfer is not worth it.
 */
#define MIN_TOKENS_FOR_MOVE 32

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
	char *id; /* request ID with a random suffix, unique to this run */
	char *digest;
	uint64_t max_tokens;
	int64_t priority;
	int64_t deadline_ms; /* deadline, from the start of the generation */
	cb_generation_sink_t sink;
	GPtrArray *delivered_texts; /* of char *, one per token */
	/* number of attempts so far; the newest one's epoch */
	uint64_t epoch;
	cb_attempt_t *attempt;
	cb_progress_t step_progress;
	GHashTable *excluded_servers; /* names of failed servers to avoid */
	/* names of the servers in the last chain */
	GHashTable *preferred_servers;
	/* whether to use only servers without other requests */
	gboolean must_run_alone;
	/* whether the last attempt was refused before any token */
	gboolean had_no_slot;
	gboolean may_have_run; /* whether an engine may have run the request */
	/* consecutive attempts without a token */
	unsigned int attempts_without_token;
	/* attempts that timed out though the server is alive */
	unsigned int silent_attempts;
	/* time since which no chain is found; -1: one was found last time */
	int64_t no_chain_since_ms;
	/* When first refused for lack of a free slot; -1: never. */
	int64_t no_slot_since_ms;
	/* Since when this process has lacked resources for it; -1: it has not. */
	int64_t no_resources_since_ms;
	/* whether the next attempt draws a retry from the budget */
	gboolean needs_retry_budget;
	gboolean is_started;
	gboolean is_ended;
	cb_generation_end_t end; /* valid if is_ended */
	cb_timer_t *deadline_timer;
	cb_timer_t *attempt_timer; /* begins the next attempt */
	cb_timer_t *end_timer;	   /* reports the end to the sink */
};

/* Which servers are eligible for a chain; tried in this order. */
typedef enum selection_pass {
	PASS_SAME_DIGEST,   /* servers that already run the same content */
	PASS_SUSPECT_RULES, /* servers that the suspect rules allow */
	PASS_NOT_EXCLUDED,  /* all servers that are not excluded */
	PASS_ALL,	    /* excluded servers as well */
} selection_pass_t;

/* User data of server_is_eligible_(). */
typedef struct selection {
	const cb_generation_t *generation;
	selection_pass_t pass;
} selection_t;

static void attempt_try_begin_(void *user_data);

static int64_t now_ms_(const cb_generation_t *generation)
{
	return cb_clock_now_ms(generation->env->parts.clock);
}

static void counter_increment_(const cb_generation_t *generation,
			       const char *name, const char *reason)
{
	cb_counter_add(cb_counters_counter(generation->env->parts.counters,
					   name, "reason", reason),
		       1);
}

static void history_record_(const cb_generation_t *generation,
			    cb_history_kind_t kind, uint64_t token,
			    const char *text)
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

/* Creates the state that the generations of one entry instance share. */
cb_generation_env_t *cb_generation_env_new(const cb_generation_parts_t *parts)
{
	cb_generation_env_t *env = g_new0(cb_generation_env_t, 1);

	env->parts = *parts;
	env->suspects = cb_suspects_new(parts);
	env->budget = cb_retry_budget_new(parts->clock);
	return env;
}

/* Deletes the shared state after all its generations; NULL is allowed. */
void cb_generation_env_delete(cb_generation_env_t *env)
{
	if (!env)
		return;
	cb_suspects_delete(env->suspects);
	cb_retry_budget_delete(env->budget);
	g_free(env);
}

static void attempt_delete_(cb_generation_t *generation)
{
	cb_attempt_delete(generation->attempt);
	generation->attempt = NULL;
}

static void generation_end_report_(void *user_data)
{
	cb_generation_t *generation = user_data;

	generation->sink.ended(generation->sink.user_data, &generation->end);
}

/*
 * Returns in how many seconds a server may be available: when the next
 * report of any known server of the model is due, rounded up.
 */
static int64_t next_report_compute_s_(const cb_generation_t *generation)
{
	const GPtrArray *engines =
		cb_server_engines(generation->env->parts.registry,
				  generation->model);
	int64_t now_ms = now_ms_(generation);
	int64_t wait_ms = MAX_NO_SERVER_RETRY_S * MS_PER_S;
	unsigned int i;

	for (i = 0; engines && i < engines->len; i++) {
		const cb_server_t *server = g_ptr_array_index(engines, i);
		int64_t due_ms = server->reported_at_ms +
				 SERVER_REPORT_INTERVAL_MS - now_ms;

		wait_ms = MIN(wait_ms, MAX(due_ms, 1));
	}
	return (wait_ms + MS_PER_S - 1) / MS_PER_S;
}

static int64_t retry_after_compute_s_(const cb_generation_t *generation,
				      cb_refusal_t refusal)
{
	switch (refusal) {
	case CB_REFUSAL_QUARANTINED:
		return cb_suspects_quarantine_remaining_s(
			generation->env->suspects, generation->digest);
	case CB_REFUSAL_NO_SERVER:
	case CB_REFUSAL_OVERLOADED:
	case CB_REFUSAL_RETRIES_EXHAUSTED:
		return next_report_compute_s_(generation);
	default:
		return 0;
	}
}

/* Ends the generation; the main loop then notifies the sink. */
static void generation_end_(cb_generation_t *generation, cb_refusal_t refusal)
{
	cb_generation_env_t *env = generation->env;

	if (generation->is_ended)
		return;
	generation->is_ended = TRUE;
	if (generation->attempt)
		generation->may_have_run = TRUE;
	if (refusal == CB_REFUSAL_NONE) {
		cb_attempt_finish(generation->attempt);
		cb_suspects_request_finished(env->suspects, generation->digest);
		cb_retry_budget_record_success(env->budget,
					       generation->workspace);
	} else {
		attempt_delete_(generation);
		cb_suspects_request_remove(env->suspects, generation->digest);
		cb_log_event(env->parts.log, CB_EVENT_GENERATION_GIVEN_UP,
			     CB_STR("request", generation->id),
			     CB_STR("reason", cb_refusal_string[refusal]));
	}
	generation->end.refusal = refusal;
	generation->end.retry_after_s =
		retry_after_compute_s_(generation, refusal);
	generation->end.executed =
		generation->may_have_run ? CB_EXECUTED_UNKNOWN : CB_EXECUTED_NO;
	if (refusal == CB_REFUSAL_NONE)
		generation->end.executed = CB_EXECUTED_YES;
	history_record_(generation, CB_HISTORY_END,
			generation->delivered_texts->len, NULL);
	cb_timer_stop(generation->deadline_timer);
	cb_timer_stop(generation->attempt_timer);
	cb_timer_start(generation->end_timer, 0);
}

static void deadline_passed_(void *user_data)
{
	generation_end_(user_data, CB_REFUSAL_DEADLINE_EXCEEDED);
}

/* Whether a server may be part of the next chain in the current pass. */
static gboolean server_is_eligible_(const cb_server_t *server, void *user_data)
{
	const selection_t *selection = user_data;
	const cb_generation_t *generation = selection->generation;
	const cb_suspects_t *suspects = generation->env->suspects;
	const char *digest = generation->digest;

	if (selection->pass == PASS_ALL)
		return TRUE;
	if (g_hash_table_contains(generation->excluded_servers, server->name))
		return FALSE;
	if (selection->pass == PASS_SAME_DIGEST)
		return cb_suspects_runs_on(suspects, digest, server);
	if (selection->pass == PASS_NOT_EXCLUDED)
		return TRUE;
	if (generation->must_run_alone &&
	    !cb_suspects_is_idle(suspects, server))
		return FALSE;
	return cb_suspects_may_share(suspects, digest, server);
}

/* Returns the chain for the next attempt, or NULL if there is none. */
static GArray *chain_choose_(const cb_generation_t *generation)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	gboolean is_untried =
		cb_suspects_is_first_run(generation->env->suspects,
					 generation->digest);
	selection_t selection = { .generation = generation,
				  .pass = is_untried ? PASS_SAME_DIGEST :
						       PASS_SUSPECT_RULES };
	cb_route_query_t query = { .registry = parts->registry,
				   .data_centre = parts->data_centre,
				   .digest = generation->digest,
				   .filter = server_is_eligible_,
				   .user_data = &selection,
				   .preferred = generation->preferred_servers };
	selection_pass_t last =
		generation->had_no_slot ? PASS_NOT_EXCLUDED : PASS_ALL;
	GArray *chain = NULL;

	for (; !chain && selection.pass <= last; selection.pass++)
		chain = cb_router_choose_chain(&query, generation->model);
	return chain;
}

/*
 * Records the servers of this chain, which later attempts prefer: they hold the
 * session's KV cache.
 */
static void preferred_servers_set_(cb_generation_t *generation,
				   const GArray *chain)
{
	unsigned int i;

	g_hash_table_remove_all(generation->preferred_servers);
	for (i = 0; i < chain->len; i++)
		g_hash_table_add(generation->preferred_servers,
				 g_strdup(g_array_index(chain, cb_route_stage_t,
							i)
						  .server->name));
}

static void token_deliver_(void *user_data, const char *text, gboolean is_last);
static void attempt_failure_handle_(void *user_data,
				    const cb_attempt_failure_t *failure);

/* Returns the parameters that are the same for all attempts. */
static cb_attempt_parts_t attempt_parts_make_(cb_generation_t *generation,
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
			   .delivered = (const char *const *)generation
						->delivered_texts->pdata,
			   .delivered_count = generation->delivered_texts->len,
			   .max_tokens = generation->max_tokens },
		.chain = chain,
		.move_stage = -1,
		.step_progress = &generation->step_progress,
		.open_progress = &env->open_progress,
		.timeout_doublings =
			MIN(generation->silent_attempts, MAX_TIMEOUT_DOUBLINGS),
	};
}

/* Starts an attempt and deletes the previous one, if any. */
static void attempt_begin_(cb_generation_t *generation,
			   const cb_attempt_parts_t *parts)
{
	cb_attempt_t *old = generation->attempt;
	cb_attempt_listener_t listener = { .token = token_deliver_,
					   .failed = attempt_failure_handle_,
					   .user_data = generation };

	history_record_(generation, CB_HISTORY_EPOCH,
			generation->delivered_texts->len, NULL);
	generation->attempt = cb_attempt_new(parts, &listener);
	preferred_servers_set_(generation, parts->chain);
	cb_attempt_delete(old);
	cb_attempt_start(generation->attempt);
}

/*
 * Schedules a retry after a refusal for lack of a free slot.  Nothing has run
 * and the server did no work, so this draws nothing from the retry budget.
 * While a server should have a free slot, retries soon on other servers;
 * otherwise retries later on all servers.
 */
static void no_slot_retry_schedule_(cb_generation_t *generation)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	int32_t max_delay_ms = FREE_SLOT_RETRY_MS;

	if (generation->no_slot_since_ms < 0)
		generation->no_slot_since_ms = now_ms_(generation);
	if (now_ms_(generation) - generation->no_slot_since_ms >=
	    MAX_NO_SLOT_MS) {
		generation_end_(generation, CB_REFUSAL_OVERLOADED);
		return;
	}
	if (cb_free_slots_model(parts->registry, generation->model) <= 0) {
		g_hash_table_remove_all(generation->excluded_servers);
		max_delay_ms = NO_FREE_SLOT_RETRY_MS;
	}
	cb_timer_start(generation->attempt_timer,
		       g_rand_int_range(parts->random, max_delay_ms / 2,
					max_delay_ms + 1));
}

/*
 * Called when no chain covers the model: polls for one if a token has been
 * delivered or the last attempt found no free slot, else gives up.
 */
static void missing_chain_handle_(cb_generation_t *generation)
{
	int64_t now_ms = now_ms_(generation);

	if (generation->had_no_slot) {
		g_hash_table_remove_all(generation->excluded_servers);
		no_slot_retry_schedule_(generation);
		return;
	}
	if (generation->no_chain_since_ms < 0)
		generation->no_chain_since_ms = now_ms;
	if (!generation->delivered_texts->len ||
	    now_ms - generation->no_chain_since_ms >= MAX_NO_CHAIN_MS) {
		generation_end_(generation, CB_REFUSAL_NO_SERVER);
		return;
	}
	cb_timer_start(generation->attempt_timer, WAIT_POLL_MS);
}

/*
 * Draws a retry from the budget if one is needed.  Returns FALSE if there is
 * none: a request with delivered tokens then polls, any other is given up.
 */
static gboolean retry_budget_draw_(cb_generation_t *generation)
{
	if (!generation->needs_retry_budget)
		return TRUE;
	if (cb_retry_budget_take(generation->env->budget,
				 generation->workspace)) {
		generation->needs_retry_budget = FALSE;
		return TRUE;
	}
	if (!generation->delivered_texts->len) {
		generation_end_(generation, CB_REFUSAL_RETRIES_EXHAUSTED);
		return FALSE;
	}
	counter_increment_(generation, "cb_retries_delayed_total", "budget");
	cb_timer_start(generation->attempt_timer, WAIT_POLL_MS);
	return FALSE;
}

/* Schedules the next check, unless there is no chain to wait for. */
static void chain_wait_schedule_(cb_generation_t *generation)
{
	GArray *chain = chain_choose_(generation);

	if (!chain) {
		missing_chain_handle_(generation);
		return;
	}
	g_array_unref(chain);
	cb_timer_start(generation->attempt_timer, WAIT_POLL_MS);
}

/* Begins the next attempt if it may run now; else waits or gives up. */
static void attempt_try_begin_(void *user_data)
{
	cb_generation_t *generation = user_data;
	cb_suspects_verdict_t verdict =
		cb_suspects_admit(generation->env->suspects,
				  generation->digest);
	cb_attempt_parts_t parts;
	GArray *chain;

	if (verdict == CB_SUSPECTS_REFUSED) {
		generation_end_(generation, CB_REFUSAL_QUARANTINED);
		return;
	}
	if (verdict == CB_SUSPECTS_WAIT) {
		chain_wait_schedule_(generation);
		return;
	}
	if (!retry_budget_draw_(generation))
		return;
	generation->must_run_alone = verdict == CB_SUSPECTS_RUN_ALONE;
	chain = chain_choose_(generation);
	if (!chain) {
		missing_chain_handle_(generation);
		return;
	}
	generation->no_chain_since_ms = -1;
	generation->epoch++;
	parts = attempt_parts_make_(generation, chain);
	attempt_begin_(generation, &parts);
}

/*
 * Finds a stage on a leaving server and another server that can take over
 * its session.  Returns FALSE if there is none, or too few tokens are left.
 */
static gboolean move_target_find_(const cb_generation_t *generation,
				  unsigned int *stage, cb_server_t **to)
{
	const cb_generation_parts_t *parts = &generation->env->parts;
	const GArray *chain = cb_attempt_chain(generation->attempt);
	selection_t selection = { .generation = generation,
				  .pass = PASS_SUSPECT_RULES };
	cb_route_query_t query = { .registry = parts->registry,
				   .data_centre = parts->data_centre,
				   .digest = generation->digest,
				   .filter = server_is_eligible_,
				   .user_data = &selection };
	unsigned int i;

	if (chain->len == 1 ||
	    generation->delivered_texts->len + MIN_TOKENS_FOR_MOVE >
		    generation->max_tokens)
		return FALSE;
	for (i = 0; i < chain->len; i++) {
		const cb_route_stage_t *route =
			&g_array_index(chain, cb_route_stage_t, i);

		if (route->server->state != CB_SERVER_LEAVING)
			continue;
		*stage = i;
		*to = cb_router_choose_engine(&query, generation->model,
					      route->first_layer,
					      route->last_layer);
		return *to != NULL;
	}
	return FALSE;
}

/*
 * Continues in a new epoch with one stage's KV cache moved to another server.
 * The other stages open new sessions and still have the prompt cached.
 */
static void session_move_(cb_generation_t *generation, unsigned int stage,
			  cb_server_t *to)
{
	cb_attempt_t *old = generation->attempt;
	GArray *chain = g_array_copy((GArray *)cb_attempt_chain(old));
	cb_route_stage_t *route =
		&g_array_index(chain, cb_route_stage_t, stage);
	cb_attempt_parts_t parts;

	generation->epoch++;
	parts = attempt_parts_make_(generation, chain);
	parts.move_stage = (int)stage;
	parts.move_from = route->server;
	parts.move_epoch = cb_attempt_epoch(old);
	route->server = to;
	counter_increment_(generation, "cb_retries_total", "leaving");
	cb_attempt_session_keep(old, stage);
	attempt_begin_(generation, &parts);
}

/* Requests the next token, first moving a session off a leaving server. */
static void next_token_request_(cb_generation_t *generation)
{
	unsigned int stage;
	cb_server_t *to;

	if (move_target_find_(generation, &stage, &to))
		session_move_(generation, stage, to);
	else
		cb_attempt_token_start(generation->attempt);
}

/* Called when a token is complete; delivers it to the caller once. */
static void token_deliver_(void *user_data, const char *text, gboolean is_last)
{
	cb_generation_t *generation = user_data;
	uint64_t index = generation->delivered_texts->len;
	cb_generation_sink_t sink = generation->sink;
	char *copy = g_strdup(text);

	g_ptr_array_add(generation->delivered_texts, copy);
	generation->may_have_run = TRUE;
	generation->attempts_without_token = 0;
	generation->no_resources_since_ms = -1;
	g_hash_table_remove_all(generation->excluded_servers);
	cb_suspects_progress_record(generation->env->suspects,
				    generation->digest,
				    generation->delivered_texts->len);
	history_record_(generation, CB_HISTORY_DELIVER, index, copy);
	if (is_last ||
	    generation->delivered_texts->len >= generation->max_tokens)
		generation_end_(generation, CB_REFUSAL_NONE);
	else
		next_token_request_(generation);
	sink.token(sink.user_data, index, copy);
}

/* Records a failed attempt and what it shows about its server. */
static void failure_record_(cb_generation_t *generation,
			    const cb_attempt_failure_t *failure)
{
	cb_generation_env_t *env = generation->env;

	counter_increment_(generation, "cb_retries_total",
			   cb_failure_string[failure->failure]);
	cb_log_event(env->parts.log, CB_EVENT_ATTEMPT_FAILED,
		     CB_STR("request", generation->id),
		     CB_INT("epoch", generation->epoch),
		     CB_STR("server", failure->server->name),
		     CB_STR("failure", cb_failure_string[failure->failure]),
		     CB_INT("server_dead", failure->is_server_dead));
	if (failure->is_server_dead) {
		cb_server_record_failure(env->parts.registry, failure->server);
		cb_suspects_server_failed(env->suspects, failure->server);
		/* A server that only says nothing may go on. */
		if (failure->failure != CB_FAILURE_CONNECT &&
		    (failure->failure != CB_FAILURE_SILENT ||
		     !failure->is_probe_silent))
			cb_suspects_server_died(env->suspects, failure->server);
	}
	generation->had_no_slot = failure->failure == CB_FAILURE_REFUSED &&
				  !generation->delivered_texts->len;
	if (failure->failure == CB_FAILURE_REFUSED)
		cb_server_mark_full(failure->server);
	if (failure->failure == CB_FAILURE_SILENT && !failure->is_server_dead)
		generation->silent_attempts++;
	if (failure->is_server_dead || failure->failure == CB_FAILURE_SILENT ||
	    failure->failure == CB_FAILURE_REFUSED ||
	    failure->failure == CB_FAILURE_MISMATCH)
		g_hash_table_add(generation->excluded_servers,
				 g_strdup(failure->server->name));
}

/* Returns the delay before the next attempt; 0 after the first failure. */
static int64_t backoff_compute_ms_(const cb_generation_t *generation)
{
	unsigned int doublings = MIN(generation->attempts_without_token, 8) - 1;
	int64_t max_delay_ms = FIRST_BACKOFF_MS << doublings;

	if (!doublings)
		return 0;
	max_delay_ms = MIN(max_delay_ms, MAX_BACKOFF_MS);
	return g_rand_int_range(generation->env->parts.random,
				(int32_t)(max_delay_ms / 2),
				(int32_t)max_delay_ms + 1);
}

/*
 * Schedules a retry after an attempt for which this process lacked the resources.
 * That shows nothing of the servers, and is no failed attempt of the request.
 */
static void no_resources_retry_schedule_(cb_generation_t *generation)
{
	int64_t now_ms = now_ms_(generation);
	int64_t max_ms = generation->delivered_texts->len ? MAX_NO_CHAIN_MS :
							    MAX_NO_SLOT_MS;

	if (generation->no_resources_since_ms < 0)
		generation->no_resources_since_ms = now_ms;
	if (now_ms - generation->no_resources_since_ms >= max_ms) {
		generation_end_(generation, CB_REFUSAL_OVERLOADED);
		return;
	}
	cb_timer_start(generation->attempt_timer,
		       g_rand_int_range(generation->env->parts.random,
					RESOURCES_RETRY_MS / 2,
					RESOURCES_RETRY_MS + 1));
}

/*
 * Called when an attempt has failed.  Schedules the next, which continues
 * after the last delivered token.
 */
static void attempt_failure_handle_(void *user_data,
				    const cb_attempt_failure_t *failure)
{
	cb_generation_t *generation = user_data;
	gboolean may_be_accepted =
		cb_attempt_may_be_accepted(generation->attempt);

	failure_record_(generation, failure);
	if (may_be_accepted)
		generation->may_have_run = TRUE;
	attempt_delete_(generation);
	if (failure->failure == CB_FAILURE_NO_RESOURCES) {
		generation->needs_retry_budget |= may_be_accepted;
		no_resources_retry_schedule_(generation);
		return;
	}
	generation->no_resources_since_ms = -1;
	if (generation->had_no_slot) {
		no_slot_retry_schedule_(generation);
		return;
	}
	generation->needs_retry_budget = TRUE;
	if (++generation->attempts_without_token >=
	    MAX_ATTEMPTS_WITHOUT_TOKEN) {
		generation_end_(generation, CB_REFUSAL_RETRIES_EXHAUSTED);
		return;
	}
	cb_timer_start(generation->attempt_timer,
		       backoff_compute_ms_(generation));
}

/*
 * Creates a generation; copies the request and the sink.  Does nothing until
 * cb_generation_start() is called.
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
	generation->delivered_texts = g_ptr_array_new_with_free_func(g_free);
	generation->excluded_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	generation->preferred_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	generation->no_chain_since_ms = -1;
	generation->no_slot_since_ms = -1;
	generation->no_resources_since_ms = -1;
	generation->deadline_timer =
		cb_timer_new(env->parts.clock, deadline_passed_, generation);
	generation->attempt_timer =
		cb_timer_new(env->parts.clock, attempt_try_begin_, generation);
	generation->end_timer =
		cb_timer_new(env->parts.clock, generation_end_report_,
			     generation);
	return generation;
}

/* Starts a generation and its first attempt. */
void cb_generation_start(cb_generation_t *generation)
{
	generation->is_started = TRUE;
	cb_suspects_request_add(generation->env->suspects, generation->digest);
	cb_timer_start(generation->deadline_timer, generation->deadline_ms);
	attempt_try_begin_(generation);
}

/*
 * Ends a generation whose caller has disconnected: notifies every stage at
 * once, and does not call the sink any more.
 */
void cb_generation_cancel(cb_generation_t *generation)
{
	cb_timer_stop(generation->deadline_timer);
	cb_timer_stop(generation->attempt_timer);
	cb_timer_stop(generation->end_timer);
	attempt_delete_(generation);
	if (generation->is_ended || !generation->is_started)
		return;
	generation->is_ended = TRUE;
	cb_suspects_request_remove(generation->env->suspects,
				   generation->digest);
}

/* Deletes a generation, cancelling it first; NULL is allowed. */
void cb_generation_delete(cb_generation_t *generation)
{
	if (!generation)
		return;
	cb_generation_cancel(generation);
	cb_timer_delete(generation->deadline_timer);
	cb_timer_delete(generation->attempt_timer);
	cb_timer_delete(generation->end_timer);
	g_ptr_array_unref(generation->delivered_texts);
	g_hash_table_unref(generation->excluded_servers);
	g_hash_table_unref(generation->preferred_servers);
	g_free(generation->workspace);
	g_free(generation->model);
	g_free(generation->prompt);
	g_free(generation->id);
	g_free(generation->digest);
	g_free(generation);
}
