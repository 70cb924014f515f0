#include "support_main.h"

#include <stdlib.h>

#include "currantbridge/view.h"
#include "private/rate_limits.h"

/*
 * Plays instances that hear of limits at different times and share what they hear
 * with a delay, against an oracle that counts what each server gets.
 */
#define STEP_MS 10
#define SHARE_INTERVAL_MS 200
#define INSTANCES_MAX 200
#define SERVERS 4
#define WINDOW_MS 10000
#define DAY_MS 40000
/* A server may get 1.5 times its limit and 5 requests in any such span. */
#define SPAN_MS 4000
#define SPAN_FACTOR 1.5
#define SPAN_EXTRA 5
/* From when on the oracle counts after a server first named a limit. */
#define KNOWN_AFTER_MS 3000

typedef struct limit_case {
	const char *description; /* printed if the case fails */
	unsigned int instances;
	double rate_per_s;	 /* of each server */
	double requests_per_s;	 /* of all instances together */
	double later_rate_per_s; /* from 20 s on; negative: no limit */
	/* Instances that start again, one after the other, from 15 s on. */
	unsigned int restarts;
	int64_t cut_from_ms; /* control is lost from then on; 0: never */
	/* Smallest part of the limits that is used from 5 s to 20 s, in percent. */
	unsigned int used_min_percent;
} limit_case_t;

static const limit_case_t limit_cases[] = {
	{ "one instance", 1, 3, 40, 3, 0, 0, 80 },
	{ "3 instances, low limit", 3, 1, 20, 1, 0, 0, 80 },
	{ "18 instances, low limit", 18, 1, 70, 1, 0, 0, 80 },
	{ "18 instances, limit below 1", 18, 0.3, 70, 0.3, 0, 0, 60 },
	{ "18 instances, high limit", 18, 15, 100, 15, 0, 0, 80 },
	{ "18 instances, few requests", 18, 2, 9, 2, 0, 0, 50 },
	{ "100 instances", 100, 2, 200, 2, 0, 0, 80 },
	{ "191 instances, low limit", 191, 1, 300, 1, 0, 0, 80 },
	{ "191 instances, few requests", 191, 7.8, 40, 7.8, 0, 0, 50 },
	{ "191 instances start again", 191, 5, 300, 5, 60, 0, 80 },
	{ "the limit falls", 18, 8, 100, 1, 0, 0, 80 },
	{ "the limit rises", 18, 1, 100, 8, 0, 0, 80 },
	{ "the limit ends", 18, 1, 100, -1, 0, 0, 80 },
	{ "control is lost", 18, 2, 100, 2, 0, 10000, 80 },
	{ "nothing is taken", 18, 0, 100, 0, 0, 0, 0 },
};

/* One instance. */
typedef struct node {
	cb_rate_limits_t *limits;
	gboolean is_listed; /* the others know that it runs */
} node_t;

typedef struct play {
	const limit_case_t *c;
	GRand *random;
	cb_clock_t *clock;
	node_t nodes[INSTANCES_MAX];
	GPtrArray *instances;		   /* cb_instance_t */
	GArray *sends[SERVERS];		   /* times of sends in ms: int64_t */
	unsigned int early_sends[SERVERS]; /* sends before the limit is known */
	unsigned int refused;
} play_t;

static const char *const server_names[SERVERS] = { "s0", "s1", "s2", "s3" };

static void node_start_(play_t *play, unsigned int i)
{
	char *name = g_strdup_printf("e%u", i);

	cb_rate_limits_delete(play->nodes[i].limits);
	play->nodes[i].limits =
		cb_rate_limits_new(play->clock, play->random, name, WINDOW_MS);
	cb_rate_limits_set_instances(play->nodes[i].limits, play->instances);
	g_free(name);
}

static void instance_free_(void *data)
{
	cb_instance_t *instance = data;

	g_free(instance->name);
	g_free(instance);
}

static void play_init_(play_t *play, const limit_case_t *c, uint32_t seed)
{
	unsigned int i;

	*play = (play_t){ .c = c,
			  .random = g_rand_new_with_seed(seed),
			  .clock = cb_clock_new_paused(1000000) };
	play->instances = g_ptr_array_new_with_free_func(instance_free_);
	for (i = 0; i < c->instances; i++) {
		cb_instance_t *instance = g_new0(cb_instance_t, 1);

		instance->name = g_strdup_printf("e%u", i);
		instance->state = CB_INSTANCE_READY;
		g_ptr_array_add(play->instances, instance);
	}
	for (i = 0; i < c->instances; i++)
		node_start_(play, i);
	for (i = 0; i < SERVERS; i++)
		play->sends[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static void play_clear_(play_t *play)
{
	unsigned int i;

	for (i = 0; i < play->c->instances; i++)
		cb_rate_limits_delete(play->nodes[i].limits);
	for (i = 0; i < SERVERS; i++)
		g_array_unref(play->sends[i]);
	g_ptr_array_unref(play->instances);
	cb_clock_delete(play->clock);
	g_rand_free(play->random);
}

static double rate_at_(const limit_case_t *c, int64_t at_ms)
{
	return at_ms < DAY_MS / 2 ? c->rate_per_s : c->later_rate_per_s;
}

/* Sends one request of an instance to any server that takes it. */
static void request_send_(play_t *play, int64_t at_ms)
{
	unsigned int node = g_rand_int(play->random) % play->c->instances;
	unsigned int first = g_rand_int(play->random) % SERVERS;
	cb_rate_limits_t *limits = play->nodes[node].limits;
	unsigned int i;

	for (i = 0; i < SERVERS; i++) {
		unsigned int server = (first + i) % SERVERS;

		if (cb_rate_limits_wait_ms(limits, "s", server_names[server],
					   7))
			continue;
		cb_rate_limits_count_send(limits, "s", server_names[server], 7);
		g_array_append_val(play->sends[server], at_ms);
		(void)cb_rate_limits_hear(limits, server_names[server], 7,
					  rate_at_(play->c, at_ms));
		return;
	}
	play->refused++;
}

/* Sums what all instances report, and passes it on to all of them. */
static void usage_share_(play_t *play)
{
	const cb_usage_sends_t sends = {
		.requests =
			(uint32_t)(play->c->requests_per_s * WINDOW_MS / 1000)
	};
	cb_usage_t *sum = cb_usage_new();
	unsigned int i;

	cb_usage_add_sends(sum, "s", &sends);

	for (i = 0; i < play->c->instances; i++)
		cb_rate_limits_add_usage(play->nodes[i].limits, sum);
	for (i = 0; i < play->c->instances; i++)
		cb_rate_limits_update(play->nodes[i].limits, sum);
	cb_usage_delete(sum);
}

static void play_run_(play_t *play)
{
	const limit_case_t *c = play->c;
	double due = 0;
	unsigned int restarted = 0;
	int64_t at_ms;

	for (at_ms = 0; at_ms < DAY_MS; at_ms += STEP_MS) {
		due += g_rand_double(play->random) * 2 * c->requests_per_s *
		       STEP_MS / 1000;
		while (due >= 1) {
			request_send_(play, at_ms);
			due -= 1;
		}
		if (at_ms % SHARE_INTERVAL_MS == 0 &&
		    (!c->cut_from_ms || at_ms < c->cut_from_ms))
			usage_share_(play);
		if (at_ms >= 15000 && at_ms % 50 == 0 &&
		    restarted < c->restarts)
			node_start_(play, restarted++);
		cb_clock_advance(play->clock, STEP_MS);
	}
}

/* Returns the most sends to a server in any span between two times. */
static unsigned int most_sends_(const GArray *times_ms, int64_t from_ms,
				int64_t to_ms)
{
	unsigned int most = 0;
	unsigned int first = 0;
	unsigned int i;

	for (i = 0; i < times_ms->len; i++) {
		int64_t time_ms = g_array_index(times_ms, int64_t, i);

		while (g_array_index(times_ms, int64_t, first) < from_ms ||
		       time_ms - g_array_index(times_ms, int64_t, first) >=
			       SPAN_MS)
			if (++first > i)
				break;
		if (time_ms >= from_ms && time_ms < to_ms)
			most = MAX(most, i - first + 1);
	}
	return most;
}

static unsigned int sends_count_(const GArray *times_ms, int64_t from_ms,
				 int64_t to_ms)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < times_ms->len; i++) {
		int64_t time_ms = g_array_index(times_ms, int64_t, i);

		count += time_ms >= from_ms && time_ms < to_ms;
	}
	return count;
}

static gboolean is_within_(const GArray *times_ms, double rate_per_s,
			   int64_t from_ms, int64_t to_ms)
{
	return rate_per_s < 0 ||
	       most_sends_(times_ms, from_ms, to_ms) <=
		       SPAN_FACTOR * rate_per_s * SPAN_MS / 1000 + SPAN_EXTRA;
}

/* Checks what the servers got; returns whether all is as it must be. */
static gboolean play_check_(const play_t *play)
{
	const limit_case_t *c = play->c;
	double highest_per_s = MAX(c->rate_per_s, c->later_rate_per_s);
	unsigned int used = 0;
	gboolean is_right = TRUE;
	unsigned int i;

	for (i = 0; i < SERVERS; i++) {
		const GArray *sends = play->sends[i];

		/* After a restart, an instance sends before it hears anything. */
		if (!c->restarts)
			is_right &=
				is_within_(sends, c->rate_per_s, KNOWN_AFTER_MS,
					   DAY_MS / 2) &&
				is_within_(sends, c->later_rate_per_s,
					   DAY_MS / 2 + KNOWN_AFTER_MS, DAY_MS);
		else
			is_right &=
				is_within_(sends, highest_per_s, KNOWN_AFTER_MS,
					   15000) &&
				is_within_(sends, highest_per_s, 22000, DAY_MS);
		used += sends_count_(sends, 5000, 15000);
	}
	is_right &= used >=
		    c->used_min_percent * c->rate_per_s * SERVERS * 10 / 100;
	if (c->later_rate_per_s < 0)
		is_right &= sends_count_(play->sends[0], 30000, DAY_MS) >=
			    c->requests_per_s / SERVERS * 10 / 2;
	if (!is_right) {
		printf("    %s: %u sends from 5 s to 15 s; most in 4 s:",
		       c->description, used);
		for (i = 0; i < SERVERS; i++)
			printf(" %u, %u",
			       most_sends_(play->sends[i], KNOWN_AFTER_MS,
					   DAY_MS / 2),
			       most_sends_(play->sends[i],
					   DAY_MS / 2 + KNOWN_AFTER_MS,
					   DAY_MS));
		printf("\n");
	}
	return is_right;
}

/*
 * Guards against servers that get more than they take, or much less, however many
 * instances there are.
 */
static void limits_hold_for_all_instances_together(void)
{
	const char *seeds_text = g_getenv("CB_SEEDS");
	uint32_t seed_count = seeds_text ? (uint32_t)atoi(seeds_text) : 5;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
		uint32_t seed;

		for (seed = 1; seed <= seed_count; seed++) {
			play_t play;

			play_init_(&play, &limit_cases[i], seed);
			play_run_(&play);
			CU_ASSERT_TRUE(play_check_(&play));
			play_clear_(&play);
		}
	}
}

/* Guards against a limit of a process that holds for its successor too. */
static void limit_ends_with_its_process(void)
{
	cb_clock_t *clock = cb_clock_new_paused(1000);
	GRand *random = g_rand_new_with_seed(1);
	cb_rate_limits_t *limits =
		cb_rate_limits_new(clock, random, "e", WINDOW_MS);
	cb_rate_limit_t limit;

	CU_ASSERT_FALSE(cb_rate_limits_hear(limits, "s", 1, -1));
	CU_ASSERT_TRUE(cb_rate_limits_hear(limits, "s", 1, 0.5));
	CU_ASSERT_FALSE(cb_rate_limits_hear(limits, "s", 1, 0.5));
	CU_ASSERT_TRUE(cb_rate_limits_find(limits, "s", "s", 1, &limit));
	CU_ASSERT_DOUBLE_EQUAL(limit.rate_per_s, 0.5, 0.001);
	CU_ASSERT_TRUE(cb_rate_limits_wait_ms(limits, "s", "s", 1) > 0);
	CU_ASSERT_EQUAL(cb_rate_limits_wait_ms(limits, "s", "s", 2), 0);
	CU_ASSERT_TRUE(cb_rate_limits_hear(limits, "s", 2, 0.5));
	CU_ASSERT_TRUE(cb_rate_limits_hear(limits, "s", 2, -1));
	CU_ASSERT_EQUAL(cb_rate_limits_wait_ms(limits, "s", "s", 2), 0);
	cb_rate_limits_delete(limits);
	g_rand_free(random);
	cb_clock_delete(clock);
}

static CU_TestInfo limit_tests[] = {
	{ "limits_hold_for_all_instances_together",
	  limits_hold_for_all_instances_together },
	{ "limit_ends_with_its_process", limit_ends_with_its_process },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "rate_limits",
				    .pTests = limit_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
