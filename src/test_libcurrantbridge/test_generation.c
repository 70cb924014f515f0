#include "support_main.h"

#include <stdlib.h>
#include <string.h>

#include "support_callers.h"
#include "support_history.h"

#define ANSWER_TOKENS 12
#define CHAIN_STAGES 3
#define DEADLINE_MS 60000
/* Time in which an answer completes despite a failure. */
#define ANSWER_WAIT_MS 20000

static support_engines_t *engines;
static support_entry_t *entry;

/* Sets up a test with `chain_count` chains of three engines each. */
static void set_up_(unsigned int chain_count)
{
	unsigned int i;

	engines = support_engines_new(1);
	entry = support_entry_add(engines);
	for (i = 0; i < chain_count * CHAIN_STAGES; i++) {
		char *name = g_strdup_printf("e%u-%u", i / CHAIN_STAGES,
					     i % CHAIN_STAGES);

		support_engine_add(engines, name, "dc1", i % CHAIN_STAGES * 2,
				   i % CHAIN_STAGES * 2 + 1);
		g_free(name);
	}
	support_engines_announce(engines);
}

/* Ends a test and checks that its history violates no rule. */
static void tear_down_(void)
{
	char *lines = support_engines_delete(engines);
	char *fault = support_history_check(lines);

	CU_ASSERT_PTR_NULL(fault);
	if (fault)
		printf("    %s\n", fault);
	g_free(fault);
	free(lines);
}

static support_engine_t *engine_get_(unsigned int i)
{
	return g_ptr_array_index(engines->engines, i);
}

/* Returns the first engine of the given stage with a session, or NULL. */
static support_engine_t *busy_engine_find_(unsigned int stage)
{
	unsigned int i;

	for (i = stage; i < engines->engines->len; i += CHAIN_STAGES)
		if (g_hash_table_size(engine_get_(i)->sessions))
			return engine_get_(i);
	return NULL;
}

static void token_wait_(support_caller_t *caller, uint64_t count)
{
	int i;

	for (i = 0; i < ANSWER_WAIT_MS && caller->token_count < count; i++)
		cb_clock_advance(engines->clock, 1);
}

/*
 * An engine with all layers streams the answer on its own; otherwise the
 * tokens pass step by step through a chain.  Both give the complete answer.
 */
static void stream_and_chain_deliver_complete_answer(void)
{
	static const struct {
		uint32_t last_layer;	  /* last layer of the first engine */
		unsigned int order_count; /* orders sent to the first engine */
	} cases[] = { { SUPPORT_LAYERS - 1, 1 }, { 2, 1 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		support_caller_t *caller;

		set_up_(0);
		support_engine_add(engines, "a", "dc1", 0, cases[i].last_layer);
		support_engine_add(engines, "b", "dc1", 3, 5);
		support_engines_announce(engines);
		caller = support_caller_new(entry, "p", ANSWER_TOKENS,
					    DEADLINE_MS);
		cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
		CU_ASSERT_TRUE(support_caller_has_full_answer(caller));
		CU_ASSERT_EQUAL(engine_get_(0)->order_count,
				cases[i].order_count);
		CU_ASSERT_EQUAL(engine_get_(1)->order_count, i);
		support_caller_delete(caller);
		tear_down_();
	}
}

static int gaps_compare_(const void *left, const void *right)
{
	return (int)(*(const int64_t *)left - *(const int64_t *)right);
}

/*
 * Prints the median and the maximum of the gaps between two tokens, in ms;
 * checks the median against `max_median_ms` and the maximum against 1000.
 */
static void gaps_check_(const char *fault, GArray *gaps, int64_t max_median_ms)
{
	int64_t median_ms;
	int64_t worst_ms;

	g_array_sort(gaps, gaps_compare_);
	median_ms = g_array_index(gaps, int64_t, gaps->len / 2);
	worst_ms = g_array_index(gaps, int64_t, gaps->len - 1);
	printf("    %s: %u runs, gap median %d ms, worst %d ms\n", fault,
	       gaps->len, (int)median_ms, (int)worst_ms);
	CU_ASSERT_TRUE(median_ms < max_median_ms);
	CU_ASSERT_TRUE(worst_ms < 1000);
}

/*
 * Fails each stage at each token position in turn; the answer must be complete
 * and resume within the limits of gaps_check_().
 */
static void stage_failures_run_(const char *fault,
				void (*engine_fail)(support_engine_t *engine),
				int64_t max_median_ms)
{
	GArray *gaps = g_array_new(FALSE, FALSE, sizeof(int64_t));
	unsigned int stage;
	uint64_t token;

	for (stage = 0; stage < CHAIN_STAGES; stage++) {
		for (token = 1; token < ANSWER_TOKENS; token++) {
			support_caller_t *caller;

			set_up_(2);
			caller = support_caller_new(entry, "p", ANSWER_TOKENS,
						    DEADLINE_MS);
			token_wait_(caller, token);
			engine_fail(busy_engine_find_(stage));
			cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
			CU_ASSERT_TRUE(support_caller_has_full_answer(caller));
			g_array_append_val(gaps, caller->max_token_gap_ms);
			support_caller_delete(caller);
			tear_down_();
		}
	}
	gaps_check_(fault, gaps, max_median_ms);
	g_array_unref(gaps);
}

static void engine_silence_(support_engine_t *engine)
{
	engine->is_silent = TRUE;
}

static void answer_resumes_after_killed_stage(void)
{
	stage_failures_run_("stage killed", support_engine_kill, 300);
}

static void answer_resumes_after_silent_stage(void)
{
	/* The step and then the probe of the server must time out first. */
	stage_failures_run_("stage silent", engine_silence_, 500);
}

/*
 * Checks that neither the server is marked as failed nor the request as suspect
 * when only one connection to a live server goes silent.
 */
static void silent_connection_keeps_server_ready(void)
{
	support_caller_t *caller;
	uint64_t token;
	unsigned int i;

	set_up_(1);
	caller = support_caller_new(entry, "p", ANSWER_TOKENS, DEADLINE_MS);
	for (token = 3; token < ANSWER_TOKENS; token += 3) {
		token_wait_(caller, token);
		engines->faults.silent = 1000;
		cb_clock_advance(engines->clock, 15);
		engines->faults.silent = 0;
		token_wait_(caller, token + 1);
		for (i = 0; i < CHAIN_STAGES; i++)
			CU_ASSERT_EQUAL(cb_server_find(entry->registry,
						       engine_get_(i)->name)
						->state,
					CB_SERVER_READY);
	}
	cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
	CU_ASSERT_EQUAL(engines->suspect_report_count, 0);
	CU_ASSERT_TRUE(support_caller_has_full_answer(caller));
	support_caller_delete(caller);
	tear_down_();
}

/* When the caller disconnects, every stage drops the request at once. */
static void cancel_drops_request_on_every_stage(void)
{
	support_caller_t *caller;
	unsigned int i;

	set_up_(1);
	caller = support_caller_new(entry, "p", ANSWER_TOKENS, DEADLINE_MS);
	token_wait_(caller, 3);
	support_caller_delete(caller);
	CU_ASSERT_EQUAL(engines->drop_targets->len, CHAIN_STAGES);
	for (i = 0; i < CHAIN_STAGES; i++)
		CU_ASSERT_EQUAL(g_hash_table_size(engine_get_(i)->sessions), 0);
	cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
	tear_down_();
}

/* A refusal reports "not executed" only if no engine accepted the order. */
static void refusals_report_whether_executed(void)
{
	static const struct {
		unsigned int chains;
		/* whether there is one more engine, with all layers */
		gboolean has_full_engine;
		gboolean is_alive;
		gboolean is_silent;
		int64_t deadline_ms;
		cb_refusal_t refusal;
		cb_executed_t executed;
		/* longest time until the request has ended */
		int64_t max_elapsed_ms;
		gboolean has_retry_after;
	} cases[] = {
		{ 0, FALSE, TRUE, FALSE, 5000, CB_REFUSAL_NO_SERVER,
		  CB_EXECUTED_NO, 0, TRUE },
		{ 0, TRUE, FALSE, FALSE, 5000, CB_REFUSAL_NO_SERVER,
		  CB_EXECUTED_NO, 300, TRUE },
		/* One stage may have opened before another failed. */
		{ 1, FALSE, FALSE, FALSE, 5000, CB_REFUSAL_NO_SERVER,
		  CB_EXECUTED_UNKNOWN, 1000, TRUE },
		{ 1, FALSE, TRUE, TRUE, 500, CB_REFUSAL_DEADLINE_EXCEEDED,
		  CB_EXECUTED_UNKNOWN, 500, FALSE },
		{ 1, FALSE, TRUE, FALSE, 100, CB_REFUSAL_DEADLINE_EXCEEDED,
		  CB_EXECUTED_UNKNOWN, 100, FALSE },
	};
	size_t i;
	unsigned int j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		support_caller_t *caller;
		int64_t started_ms;

		set_up_(cases[i].chains);
		if (cases[i].has_full_engine)
			support_engine_add(engines, "a", "dc1", 0,
					   SUPPORT_LAYERS - 1);
		support_engines_announce(engines);
		for (j = 0; j < engines->engines->len; j++) {
			engine_get_(j)->is_alive = cases[i].is_alive;
			engine_get_(j)->is_silent = cases[i].is_silent;
		}
		started_ms = cb_clock_now_ms(engines->clock);
		caller = support_caller_new(entry, "p", ANSWER_TOKENS,
					    cases[i].deadline_ms);
		cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
		CU_ASSERT_TRUE(caller->is_ended);
		CU_ASSERT_EQUAL(caller->end.refusal, cases[i].refusal);
		CU_ASSERT_EQUAL(caller->end.executed, cases[i].executed);
		CU_ASSERT_TRUE(caller->ended_ms - started_ms <=
			       cases[i].max_elapsed_ms);
		CU_ASSERT_EQUAL(caller->end.retry_after_s > 0,
				cases[i].has_retry_after);
		support_caller_delete(caller);
		tear_down_();
	}
}

/*
 * The session on a server that is leaving moves to another server without a
 * long gap, and the leaving server gets no new work.
 */
static void session_moves_off_leaving_server(void)
{
	support_caller_t *callers[2];
	support_engine_t *leaving;
	unsigned int orders;

	set_up_(2);
	callers[0] = support_caller_new(entry, "p", 100, DEADLINE_MS);
	token_wait_(callers[0], 5);
	leaving = busy_engine_find_(1);
	leaving->is_leaving = TRUE;
	support_engines_announce(engines);
	orders = leaving->order_count;
	cb_clock_advance(engines->clock, 200);
	CU_ASSERT_EQUAL(g_hash_table_size(leaving->sessions), 0);
	callers[1] = support_caller_new(entry, "q", 5, DEADLINE_MS);
	cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
	CU_ASSERT_EQUAL(leaving->order_count, orders);
	CU_ASSERT_TRUE(support_caller_has_full_answer(callers[0]));
	CU_ASSERT_TRUE(support_caller_has_full_answer(callers[1]));
	CU_ASSERT_TRUE(callers[0]->max_token_gap_ms < 100);
	support_caller_delete(callers[0]);
	support_caller_delete(callers[1]);
	tear_down_();
}

/* Adds engines that hold all layers of the model. */
static void full_engines_add_(unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		char *name = g_strdup_printf("e%u", i);

		support_engine_add(engines, name, "dc1", 0, SUPPORT_LAYERS - 1)
			->step_ms = 30;
		g_free(name);
	}
	support_engines_announce(engines);
}

static unsigned int deaths_count_(void)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < engines->engines->len; i++)
		count += engine_get_(i)->death_count;
	return count;
}

/*
 * Sends a request that kills its server 20 times, `interval_ms` apart, through
 * three entry instances.  The other requests must complete, and afterwards all
 * entry instances must refuse it at once.  Returns how many servers died.
 */
static unsigned int crashing_requests_run_(const char *crash_prompt,
					   int64_t interval_ms)
{
	unsigned int death_count;
	unsigned int incomplete_count = 0;
	support_caller_t *harmless[40];
	support_caller_t *crashing[20];
	support_entry_t *entries[3];
	unsigned int i;

	set_up_(0);
	entries[0] = entry;
	entries[1] = support_entry_add(engines);
	entries[2] = support_entry_add(engines);
	full_engines_add_(10);
	engines->crash_text = "killer";
	for (i = 0; i < G_N_ELEMENTS(harmless); i++) {
		char *prompt = g_strdup_printf("innocent %u", i);

		harmless[i] = support_caller_new(entries[i % 3], prompt, 60,
						 DEADLINE_MS);
		g_free(prompt);
	}
	cb_clock_advance(engines->clock, 300);
	for (i = 0; i < G_N_ELEMENTS(crashing); i++) {
		crashing[i] = support_caller_new(entries[i % 3], crash_prompt,
						 ANSWER_TOKENS, DEADLINE_MS);
		cb_clock_advance(engines->clock, interval_ms);
	}
	cb_clock_advance(engines->clock, ANSWER_WAIT_MS / 2);
	death_count = deaths_count_();
	for (i = 0; i < G_N_ELEMENTS(harmless); i++) {
		incomplete_count +=
			!support_caller_has_full_answer(harmless[i]);
		support_caller_delete(harmless[i]);
	}
	CU_ASSERT_EQUAL(incomplete_count, 0);
	if (incomplete_count || death_count > 3)
		printf("    %s, %d ms apart: %u servers died, "
		       "%u other requests incomplete\n",
		       crash_prompt, (int)interval_ms, death_count,
		       incomplete_count);
	for (i = 0; i < G_N_ELEMENTS(crashing); i++) {
		CU_ASSERT_TRUE(crashing[i]->is_ended);
		CU_ASSERT_EQUAL(crashing[i]->end.refusal,
				CB_REFUSAL_QUARANTINED);
		CU_ASSERT_TRUE(crashing[i]->end.retry_after_s > 0);
		support_caller_delete(crashing[i]);
	}
	for (i = 0; i < 3; i++) {
		crashing[i] = support_caller_new(entries[i], crash_prompt,
						 ANSWER_TOKENS, DEADLINE_MS);
		cb_clock_advance(engines->clock, 0);
		CU_ASSERT_TRUE(crashing[i]->is_ended);
		CU_ASSERT_EQUAL(crashing[i]->end.executed, CB_EXECUTED_NO);
		support_caller_delete(crashing[i]);
	}
	tear_down_();
	return death_count;
}

/*
 * Guards against a request that kills every server on which it is retried: at
 * most three servers may die, however close together the requests arrive.
 */
static void crashing_request_is_quarantined(void)
{
	static const int64_t intervals_ms[] = { 0, 1, 5, 20, 60, 150 };
	unsigned int max_deaths = 0;
	unsigned int i;

	for (i = 0; i < 8 * G_N_ELEMENTS(intervals_ms); i++) {
		char *prompt = g_strdup_printf("killer %u", i);
		unsigned int deaths = crashing_requests_run_(
			prompt, intervals_ms[i % G_N_ELEMENTS(intervals_ms)]);

		max_deaths = MAX(max_deaths, deaths);
		g_free(prompt);
	}
	printf("    crashing request: %u runs, at most %u servers died\n", i,
	       max_deaths);
	CU_ASSERT_TRUE(max_deaths <= 3);
}

/*
 * Runs a request while each engine falls silent as it gets the request, and goes
 * on after `silence_ms`.  Returns whether the caller has the whole answer and
 * nothing is quarantined.
 */
static gboolean silences_run_(int64_t silence_ms)
{
	int64_t silent_until_ms[6] = { 0 };
	support_caller_t *caller;
	gboolean is_as_expected;
	int64_t passed_ms;
	unsigned int i;

	set_up_(0);
	full_engines_add_(G_N_ELEMENTS(silent_until_ms));
	/* Earlier answers show how fast the engines usually are. */
	caller = support_caller_new(entry, "earlier", 60, DEADLINE_MS);
	cb_clock_advance(engines->clock, ANSWER_WAIT_MS);
	support_caller_delete(caller);
	for (i = 0; i < G_N_ELEMENTS(silent_until_ms); i++)
		engine_get_(i)->order_count = 0;
	caller = support_caller_new(entry, "sound", 60, DEADLINE_MS);
	for (passed_ms = 0; passed_ms < ANSWER_WAIT_MS; passed_ms++) {
		for (i = 0; i < G_N_ELEMENTS(silent_until_ms); i++) {
			support_engine_t *engine = engine_get_(i);

			if (engine->order_count && !silent_until_ms[i])
				silent_until_ms[i] = passed_ms + silence_ms;
			engine->is_silent = passed_ms < silent_until_ms[i];
		}
		cb_clock_advance(engines->clock, 1);
	}
	is_as_expected = support_caller_has_full_answer(caller) &&
			 !engines->quarantined_digests->len;
	if (!is_as_expected)
		printf("    silent for %d ms: refusal %s, %u quarantined\n",
		       (int)silence_ms, cb_refusal_string[caller->end.refusal],
		       engines->quarantined_digests->len);
	support_caller_delete(caller);
	tear_down_();
	return is_as_expected;
}

/*
 * An engine that says nothing for a while is not dead: its requests must not be
 * taken for ones that crash their servers.
 */
static void silent_engines_quarantine_nothing(void)
{
	static const int64_t silences_ms[] = { 300, 600, 1000, 1600 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(silences_ms); i++)
		CU_ASSERT_TRUE(silences_run_(silences_ms[i]));
}

/*
 * Guards against quarantine of the requests that happened to run on several
 * servers that failed at about the same time, as when a rack loses power.
 */
static void simultaneous_server_failures_quarantine_nothing(void)
{
	static const struct {
		unsigned int request_count;
		int64_t interval_ms; /* between two server failures */
	} cases[] = { { 40, 0 }, { 40, 30 }, { 8, 60 }, { 20, 150 } };
	size_t i;
	unsigned int j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		support_caller_t *callers[40];

		set_up_(0);
		full_engines_add_(8);
		for (j = 0; j < cases[i].request_count; j++) {
			char *prompt = g_strdup_printf("innocent %u", j);

			callers[j] = support_caller_new(entry, prompt, 60,
							DEADLINE_MS);
			g_free(prompt);
		}
		cb_clock_advance(engines->clock, 500);
		for (j = 0; j < 4; j++) {
			support_engine_kill(engine_get_(j));
			cb_clock_advance(engines->clock, cases[i].interval_ms);
		}
		cb_clock_advance(engines->clock, 2 * ANSWER_WAIT_MS);
		CU_ASSERT_EQUAL(engines->quarantined_digests->len, 0);
		/* Completed requests are no longer suspect on any server. */
		for (j = 0; j < 4; j++) {
			char *name = g_strdup_printf("e%u/1", j);

			CU_ASSERT_EQUAL(cb_view_count_suspects(entry->view,
							       name, 1, 0),
					0);
			g_free(name);
		}
		for (j = 0; j < cases[i].request_count; j++) {
			CU_ASSERT_TRUE(
				support_caller_has_full_answer(callers[j]));
			support_caller_delete(callers[j]);
		}
		tear_down_();
	}
}

/* Kills or silences a random engine, or restarts it if it is down. */
static void engine_fault_inject_(void)
{
	support_engine_t *engine = engine_get_(
		(unsigned int)g_rand_int_range(engines->random, 0,
					       (int32_t)engines->engines->len));

	switch (g_rand_int_range(engines->random, 0, 8)) {
	case 0:
		support_engine_kill(engine);
		break;
	case 1:
		engine->is_silent = TRUE;
		break;
	default:
		if (!engine->is_alive || engine->is_silent)
			support_engine_restart(engine);
	}
}

/*
 * Runs ten requests under random faults of all kinds.  Adds the requests that
 * were given up to `given_up_count`; returns whether no rule was violated.
 */
static gboolean seed_run_(uint32_t seed, unsigned int *given_up_count)
{
	support_caller_t *callers[10];
	char *lines;
	char *fault;
	unsigned int i;
	int step;

	set_up_(3);
	g_rand_set_seed(engines->random, seed);
	engines->faults = (support_faults_t){
		.silent = 4, .duplicate = 4, .mismatch = 4, .late = 4, .lost = 4
	};
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		char *prompt = g_strdup_printf("prompt %u", i / 2);

		callers[i] = support_caller_new(entry, prompt, ANSWER_TOKENS,
						DEADLINE_MS);
		g_free(prompt);
	}
	for (step = 0; step < 100; step++) {
		cb_clock_advance(engines->clock,
				 g_rand_int_range(engines->random, 1, 60));
		if (!g_rand_int_range(engines->random, 0, 4))
			engine_fault_inject_();
	}
	for (i = 0; i < engines->engines->len; i++)
		support_engine_restart(engine_get_(i));
	engines->faults = (support_faults_t){ 0 };
	cb_clock_advance(engines->clock, 2 * DEADLINE_MS);
	for (i = 0; i < G_N_ELEMENTS(callers); i++) {
		CU_ASSERT_TRUE(callers[i]->is_ended);
		CU_ASSERT_TRUE(callers[i]->end.refusal != CB_REFUSAL_NONE ||
			       support_caller_has_full_answer(callers[i]));
		*given_up_count += callers[i]->end.refusal != CB_REFUSAL_NONE;
		support_caller_delete(callers[i]);
	}
	lines = support_engines_delete(engines);
	fault = support_history_check(lines);
	if (fault)
		printf("    seed %u: %s\n", seed, fault);
	free(lines);
	g_free(fault);
	return !fault;
}

/*
 * The history of requests under random faults violates no rule of
 * support_history_check().  The variables CB_SEEDS and CB_SEED set the number
 * of seeds, or a single seed.
 */
static void seeded_runs_break_no_rule(void)
{
	const char *count = g_getenv("CB_SEEDS");
	const char *only = g_getenv("CB_SEED");
	uint32_t seed_count = count ? (uint32_t)strtoul(count, NULL, 10) : 25;
	uint32_t first = only ? (uint32_t)strtoul(only, NULL, 10) : 1;
	uint32_t last = only ? first : seed_count;
	unsigned int given_up_count = 0;
	unsigned int broken_count = 0;
	uint32_t seed;

	for (seed = first; seed <= last; seed++)
		broken_count += !seed_run_(seed, &given_up_count);
	CU_ASSERT_EQUAL(broken_count, 0);
	printf("    seeds %u to %u: %u violated a rule, %u of %u requests "
	       "given up\n",
	       first, last, broken_count, given_up_count,
	       (last - first + 1) * 10);
}

typedef struct resources_case {
	const char *description; /* printed if the case fails */
	uint64_t token_count;	 /* tokens delivered before the failure */
	int64_t lack_ms;
	int64_t end_ms; /* by then the generation has ended */
	cb_refusal_t expected;
} resources_case_t;

static const resources_case_t resources_cases[] = {
	{ "before a token, briefly", 0, 1200, ANSWER_WAIT_MS, CB_REFUSAL_NONE },
	{ "before a token, for long", 0, 10000, 2500, CB_REFUSAL_OVERLOADED },
	{ "after some tokens", 3, 8000, ANSWER_WAIT_MS, CB_REFUSAL_NONE },
};

/* Returns whether a generation ends as expected, without a word on servers. */
static gboolean resources_case_run_(const resources_case_t *c)
{
	support_caller_t *caller;
	gboolean is_as_expected;
	unsigned int ready_count = 0;
	unsigned int i;

	set_up_(2);
	if (!c->token_count)
		engines->lacks_resources = TRUE;
	caller = support_caller_new(entry, "p", ANSWER_TOKENS, DEADLINE_MS);
	token_wait_(caller, c->token_count);
	engines->lacks_resources = TRUE;
	cb_clock_advance(engines->clock, MIN(c->lack_ms, c->end_ms));
	for (i = 0; i < engines->engines->len; i++)
		ready_count +=
			cb_server_find(entry->registry, engine_get_(i)->name)
				->state == CB_SERVER_READY;
	if (c->lack_ms < c->end_ms) {
		engines->lacks_resources = FALSE;
		cb_clock_advance(engines->clock, c->end_ms - c->lack_ms);
	}
	is_as_expected = caller->is_ended && ready_count == 2 * CHAIN_STAGES &&
			 caller->end.refusal == c->expected &&
			 (c->expected != CB_REFUSAL_NONE ||
			  support_caller_has_full_answer(caller));
	if (!is_as_expected)
		printf("    %s: %s, %s, %u tokens, %u servers ready\n",
		       c->description, caller->is_ended ? "ended" : "not ended",
		       cb_refusal_string[caller->end.refusal],
		       (unsigned int)caller->token_count, ready_count);
	support_caller_delete(caller);
	tear_down_();
	return is_as_expected;
}

/* Guards against a lack of descriptors that is taken for servers that ended. */
static void lack_of_resources_ends_no_answer(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(resources_cases); i++)
		CU_ASSERT_TRUE(resources_case_run_(&resources_cases[i]));
}

static CU_TestInfo generation_tests[] = {
	{ "lack_of_resources_ends_no_answer",
	  lack_of_resources_ends_no_answer },
	{ "stream_and_chain_deliver_complete_answer",
	  stream_and_chain_deliver_complete_answer },
	{ "answer_resumes_after_killed_stage",
	  answer_resumes_after_killed_stage },
	{ "answer_resumes_after_silent_stage",
	  answer_resumes_after_silent_stage },
	{ "silent_connection_keeps_server_ready",
	  silent_connection_keeps_server_ready },
	{ "cancel_drops_request_on_every_stage",
	  cancel_drops_request_on_every_stage },
	{ "refusals_report_whether_executed",
	  refusals_report_whether_executed },
	{ "session_moves_off_leaving_server",
	  session_moves_off_leaving_server },
	{ "crashing_request_is_quarantined", crashing_request_is_quarantined },
	{ "silent_engines_quarantine_nothing",
	  silent_engines_quarantine_nothing },
	{ "simultaneous_server_failures_quarantine_nothing",
	  simultaneous_server_failures_quarantine_nothing },
	{ "seeded_runs_break_no_rule", seeded_runs_break_no_rule },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "generation",
				    .pTests = generation_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
