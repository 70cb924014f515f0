#include <math.h>
#include <stdio.h>

#include "support_main.h"

#include "private/link_message.h"
#include "private/retry_share.h"

#define WINDOW_MS 10000
#define REPORT_INTERVAL_MS 200
#define INSTANCES_MAX 120

static const cb_retry_share_budget_t budget = { 0.2, 450, WINDOW_MS };

/*
 * Instances that receive the sum of all counts `lag_rounds` late, under a load
 * that uses every retry that is allowed.
 */
typedef struct cluster_case {
	unsigned int instances;
	unsigned int lag_rounds;
	/* Requests of each instance in each round. */
	unsigned int requests_per_round;
	/* Instances that do not receive the summed usage. */
	unsigned int cut_off_instances;
	/* Smallest number of retries of all instances in the first window. */
	unsigned int min_retries;
} cluster_case_t;

static const cluster_case_t cluster_cases[] = {
	{ 20, 1, 1, 0, 400 },  { 20, 2, 1, 0, 400 },   { 20, 2, 0, 0, 250 },
	{ 20, 1, 4, 0, 700 },  { 20, 1, 1, 5, 300 },   { 20, 1, 0, 20, 80 },
	{ 20, 3, 1, 0, 400 },  { 20, 3, 0, 0, 250 },   { 117, 2, 1, 0, 900 },
	{ 117, 3, 0, 0, 250 }, { 117, 3, 0, 20, 250 },
};

typedef struct cluster {
	cb_clock_t *clock;
	cb_retry_share_t *shares[INSTANCES_MAX];
	/* Usage summed over all instances in the last rounds, newest first. */
	cb_usage_t *sums[4];
	/*
	 * Requests and retries of all instances together, one count for each
	 * round.
	 */
	unsigned int requests[WINDOW_MS / REPORT_INTERVAL_MS * 4];
	unsigned int retries[WINDOW_MS / REPORT_INTERVAL_MS * 4];
} cluster_t;

/* Counts the requests of every instance and all retries that it is allowed. */
static void round_requests_send_(cluster_t *cluster, const cluster_case_t *c,
				 unsigned int round)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < c->instances; i++) {
		for (k = 0; k < c->requests_per_round; k++)
			cb_retry_share_count_request(cluster->shares[i], "s");
		cluster->requests[round] += c->requests_per_round;
		while (cb_retry_share_take_retry(cluster->shares[i], "s"))
			cluster->retries[round]++;
	}
}

/* Sums all usage; instances not cut off get the sum of `lag_rounds` ago. */
static void round_usage_exchange_(cluster_t *cluster, const cluster_case_t *c)
{
	cb_usage_t *sum = cb_usage_new();
	unsigned int i;

	for (i = 0; i < c->instances; i++)
		cb_retry_share_add_usage(cluster->shares[i], sum);
	cb_usage_delete(cluster->sums[3]);
	for (i = 3; i > 0; i--)
		cluster->sums[i] = cluster->sums[i - 1];
	cluster->sums[0] = sum;
	for (i = c->cut_off_instances; i < c->instances; i++)
		if (cluster->sums[c->lag_rounds])
			cb_retry_share_update(cluster->shares[i],
					      cluster->sums[c->lag_rounds]);
}

/* Checks the budget in every window, and `min_retries` in the first one. */
static void windows_check_(const cluster_t *cluster, unsigned int rounds,
			   unsigned int min_retries)
{
	unsigned int window = WINDOW_MS / REPORT_INTERVAL_MS;
	unsigned int first;
	unsigned int k;

	for (first = 0; first + window <= rounds; first++) {
		double requests = 0;
		double retries = 0;

		for (k = first; k < first + window; k++) {
			requests += cluster->requests[k];
			retries += cluster->retries[k];
		}
		CU_ASSERT_TRUE(retries <=
			       budget.ratio * requests + budget.extra);
		if (first == 0)
			CU_ASSERT_TRUE(retries >= min_retries);
	}
}

/*
 * Guards against retry storms: instances that receive the others' counts late
 * or not at all could together exceed the budget, or be left without retries.
 */
static void retries_of_all_instances_stay_within_budget(void)
{
	const unsigned int rounds = WINDOW_MS / REPORT_INTERVAL_MS * 4;
	unsigned int round;
	size_t n;
	unsigned int i;

	for (n = 0; n < G_N_ELEMENTS(cluster_cases); n++) {
		const cluster_case_t *c = &cluster_cases[n];
		cluster_t cluster = { .clock = cb_clock_new_paused(1000) };
		GRand *random = g_rand_new_with_seed(1);

		for (i = 0; i < c->instances; i++) {
			cluster.shares[i] = cb_retry_share_new(cluster.clock,
							       random, &budget);
			cb_retry_share_set_instances(cluster.shares[i],
						     c->instances);
		}
		for (round = 0; round < rounds; round++) {
			round_requests_send_(&cluster, c, round);
			round_usage_exchange_(&cluster, c);
			cb_clock_advance(cluster.clock, REPORT_INTERVAL_MS);
		}
		windows_check_(&cluster, rounds, c->min_retries);
		for (i = 0; i < c->instances; i++)
			cb_retry_share_delete(cluster.shares[i]);
		for (i = 0; i < 4; i++)
			cb_usage_delete(cluster.sums[i]);
		cb_clock_delete(cluster.clock);
		g_rand_free(random);
	}
}

/* Requests and retries in sums that an instance receives, every 200 ms. */
typedef struct sum_case {
	const char *label;
	uint32_t requests[2]; /* in the sums before and after the change */
	uint32_t retries[2];
	/* Sums before the change. */
	unsigned int rounds_before;
	/* Retries taken in the second after the change, with 20 instances. */
	unsigned int min_retries;
	unsigned int max_retries;
} sum_case_t;

/* The share of an instance without sums is 0.25 * 450 / 20: 5 retries. */
static const sum_case_t sum_cases[] = {
	{ "complete sums", { 3000, 3000 }, { 300, 300 }, 30, 15, 60 },
	{ "control has restarted", { 3000, 300 }, { 700, 0 }, 30, 0, 5 },
	{ "most are back", { 3000, 2500 }, { 300, 250 }, 30, 15, 60 },
	{ "the instance has started", { 0, 300 }, { 0, 0 }, 0, 5, 5 },
	{ "less is asked", { 3000, 2200 }, { 300, 250 }, 30, 15, 60 },
};

/*
 * A control instance that has started or lost the others sends sums that lack
 * most instances: each entry instance would be allowed what the others have
 * spent.
 */
static void sums_without_most_instances_allow_no_retries(void)
{
	size_t n;

	for (n = 0; n < G_N_ELEMENTS(sum_cases); n++) {
		const sum_case_t *c = &sum_cases[n];
		cb_clock_t *clock = cb_clock_new_paused(1000);
		GRand *random = g_rand_new_with_seed(1);
		cb_retry_share_t *share =
			cb_retry_share_new(clock, random, &budget);
		unsigned int retries = 0;
		unsigned int round;

		cb_retry_share_set_instances(share, 20);
		cb_retry_share_count_request(share, "s");
		for (round = 0; round < c->rounds_before + 5; round++) {
			size_t is_after = round >= c->rounds_before;
			const cb_usage_sends_t sends = {
				.requests = c->requests[is_after],
				.retries = c->retries[is_after],
			};
			cb_usage_t *sum = cb_usage_new();

			cb_usage_add_sends(sum, "s", &sends);
			cb_retry_share_update(share, sum);
			cb_usage_delete(sum);
			while (is_after &&
			       cb_retry_share_take_retry(share, "s"))
				retries++;
			cb_clock_advance(clock, REPORT_INTERVAL_MS);
		}
		CU_ASSERT_TRUE(retries >= c->min_retries);
		CU_ASSERT_TRUE(retries <= c->max_retries);
		if (retries < c->min_retries || retries > c->max_retries)
			printf("    %s: %u retries\n", c->label, retries);
		cb_retry_share_delete(share);
		g_rand_free(random);
		cb_clock_delete(clock);
	}
}

/*
 * Instances that report and hear at different times, all of which want more
 * repeats at the same moments than the budget has.
 */
typedef struct storm_case {
	const char *label;
	unsigned int instances;
	unsigned int controls;
	double extra;
	unsigned int requests_per_s; /* of each instance */
	unsigned int load_ms; /* requests come in one half of it; 0: all */
	unsigned int drawing_percent; /* of the instances, the first ones */
	unsigned int late_max_ms;     /* a process stands still for so long */
	unsigned int lost_max_ms;     /* a control instance hears no other */
	unsigned int arrival_max_ms;  /* from a draw to the server */
	/* Percent of the budget that the fullest window is to use. */
	unsigned int min_percent;
} storm_case_t;

static const storm_case_t storm_cases[] = {
	{ "all at once", 9, 3, 50, 14, 0, 100, 0, 0, 50, 60 },
	{ "late processes", 9, 3, 50, 14, 0, 100, 600, 0, 50, 60 },
	{ "very late processes", 9, 3, 50, 14, 0, 100, 1500, 0, 50, 50 },
	{ "late servers", 9, 3, 20, 3, 0, 100, 0, 0, 900, 60 },
	{ "late servers and processes", 9, 3, 20, 3, 0, 100, 600, 0, 900, 60 },
	{ "requests in bursts", 3, 3, 0, 12, 21000, 100, 300, 0, 50, 60 },
	{ "bursts each 4 s", 3, 3, 0, 12, 4000, 100, 300, 0, 500, 60 },
	{ "bursts each 6 s", 3, 3, 10, 10, 6000, 100, 300, 0, 500, 60 },
	{ "bursts each 6 s, no number", 3, 3, 0, 12, 6000, 100, 300, 0, 500,
	  60 },
	{ "bursts each 8 s", 9, 3, 10, 4, 8000, 100, 300, 0, 500, 60 },
	{ "bursts each 16 s", 3, 3, 0, 12, 16000, 100, 300, 0, 500, 60 },
	{ "longer bursts", 9, 3, 10, 14, 30000, 100, 300, 0, 900, 60 },
	{ "shorter bursts", 9, 3, 10, 14, 5000, 100, 300, 0, 50, 60 },
	{ "one data centre", 9, 3, 50, 14, 0, 34, 300, 0, 50, 50 },
	{ "one control instance", 6, 1, 132, 14, 0, 100, 300, 0, 50, 60 },
	{ "few retries", 20, 3, 10, 1, 0, 100, 300, 0, 50, 60 },
	{ "control cut off", 20, 4, 50, 3, 0, 100, 300, 2500, 50, 50 },
	{ "control cut off longer", 20, 5, 50, 3, 0, 100, 300, 6000, 50, 50 },
	{ "26 instances", 26, 9, 314, 8, 0, 100, 600, 0, 50, 60 },
	{ "few retries of many", 117, 9, 50, 1, 0, 100, 600, 0, 500, 60 },
};

/* CB_SEEDS sets another number; those of large clusters take longer. */
#define STORM_SEEDS 40
#define STORM_LARGE 26
#define STORM_LARGE_SEEDS 8
#define STORM_MS 45000
#define STORM_STEP_MS 10
#define STORM_STEPS (STORM_MS / STORM_STEP_MS)
#define STORM_CONTROLS_MAX 9
#define STORM_BEGIN_MS 6000
#define STORM_PERIOD_MS 2500
#define STORM_STALL_MS 700
#define STORM_NETWORK_MAX_MS 30
#define STORM_LATE_INTERVAL_MS 3000
#define STORM_LOST_INTERVAL_MS 8000
/* Suspicions make reports and sums come sooner, as in front.c, node_usage.c. */
#define STORM_SOON_MS 50
#define STORM_PEER_AGE_MAX_MS 1000

/* Counts on the way from one process to another. */
typedef struct storm_message {
	int64_t due_ms;
	unsigned int from;
	gboolean is_from_control;
	cb_usage_sends_t sends;
} storm_message_t;

/* An entry or control instance. */
typedef struct storm_process {
	cb_retry_share_t *share; /* NULL: control */
	unsigned int control;
	unsigned int wanted; /* repeats */
	int64_t next_ms;     /* report or sum */
	int64_t late_until_ms;
	int64_t lost_until_ms;
	GQueue inbox; /* storm_message_t */
	cb_usage_sends_t by_session[INSTANCES_MAX];
	cb_usage_sends_t by_peer[STORM_CONTROLS_MAX];
	int64_t peer_ms[STORM_CONTROLS_MAX];
} storm_process_t;

typedef struct storm {
	const storm_case_t *c;
	cb_clock_t *clock;
	GRand *random;
	storm_process_t *entries;
	storm_process_t *controls;
	unsigned int requests[STORM_STEPS];
	unsigned int repeats[STORM_STEPS];
	int64_t now_ms; /* since the start */
} storm_t;

static int64_t storm_random_(storm_t *storm, unsigned int max)
{
	return g_rand_int_range(storm->random, 0, (int)max + 1);
}

static void storm_send_(storm_t *storm, storm_process_t *to, unsigned int from,
			gboolean is_from_control, const cb_usage_sends_t *sends)
{
	const storm_message_t *last = g_queue_peek_tail(&to->inbox);
	storm_message_t *message = g_new0(storm_message_t, 1);

	message->due_ms =
		storm->now_ms + 1 + storm_random_(storm, STORM_NETWORK_MAX_MS);
	if (last)
		message->due_ms = MAX(message->due_ms, last->due_ms);
	message->from = from;
	message->is_from_control = is_from_control;
	message->sends = *sends;
	g_queue_push_tail(&to->inbox, message);
}

/* Returns whether a process runs now, and lets it stand still at times. */
static gboolean storm_runs_(storm_t *storm, storm_process_t *process)
{
	if (storm->now_ms < process->late_until_ms)
		return FALSE;
	if (storm->c->late_max_ms &&
	    !storm_random_(storm, STORM_LATE_INTERVAL_MS / STORM_STEP_MS))
		process->late_until_ms =
			storm->now_ms +
			storm_random_(storm, storm->c->late_max_ms);
	return TRUE;
}

static gboolean storm_is_stalled_(const storm_t *storm)
{
	return storm->now_ms > STORM_BEGIN_MS &&
	       storm->now_ms % STORM_PERIOD_MS < STORM_STALL_MS;
}

/* Starts the time until the next report or sum, soon if a server may be lost. */
static void storm_timer_start_(storm_t *storm, storm_process_t *process)
{
	process->next_ms = storm->now_ms + REPORT_INTERVAL_MS;
	if (storm_is_stalled_(storm))
		process->next_ms = storm->now_ms + STORM_SOON_MS +
				   storm_random_(storm, STORM_SOON_MS);
}

static void storm_control_step_(storm_t *storm, unsigned int index)
{
	storm_process_t *control = &storm->controls[index];
	const storm_message_t *next;
	cb_usage_sends_t sum = { 0 };
	unsigned int i;

	if (!storm_runs_(storm, control))
		return;
	if (storm->c->lost_max_ms &&
	    !storm_random_(storm, STORM_LOST_INTERVAL_MS / STORM_STEP_MS))
		control->lost_until_ms =
			storm->now_ms +
			storm_random_(storm, storm->c->lost_max_ms);
	while ((next = g_queue_peek_head(&control->inbox)) &&
	       next->due_ms <= storm->now_ms) {
		storm_message_t *message = g_queue_pop_head(&control->inbox);

		if (!message->is_from_control) {
			control->by_session[message->from] = message->sends;
		} else if (storm->now_ms >= control->lost_until_ms) {
			control->by_peer[message->from] = message->sends;
			control->peer_ms[message->from] = storm->now_ms;
		}
		g_free(message);
	}
	if (storm->now_ms < control->next_ms)
		return;
	storm_timer_start_(storm, control);
	for (i = 0; i < storm->c->instances; i++) {
		sum.requests += control->by_session[i].requests;
		sum.retries += control->by_session[i].retries;
	}
	for (i = 0; i < storm->c->controls; i++)
		if (i != index)
			storm_send_(storm, &storm->controls[i], index, TRUE,
				    &sum);
	for (i = 0; i < storm->c->controls; i++) {
		if (!control->peer_ms[i] ||
		    storm->now_ms - control->peer_ms[i] > STORM_PEER_AGE_MAX_MS)
			continue;
		sum.requests += control->by_peer[i].requests;
		sum.retries += control->by_peer[i].retries;
	}
	for (i = 0; i < storm->c->instances; i++)
		if (storm->entries[i].control == index)
			storm_send_(storm, &storm->entries[i], index, TRUE,
				    &sum);
}

static void storm_repeats_draw_(storm_t *storm, unsigned int index)
{
	storm_process_t *entry = &storm->entries[index];
	gboolean draws =
		index * 100 < storm->c->instances * storm->c->drawing_percent;

	if (!draws || !storm_is_stalled_(storm)) {
		entry->wanted = 0;
		return;
	}
	if (storm->now_ms % STORM_PERIOD_MS == 0 || !storm_random_(storm, 20))
		entry->wanted += 30;
	while (entry->wanted && cb_retry_share_take_retry(entry->share, "s")) {
		int64_t step =
			(storm->now_ms +
			 storm_random_(storm, storm->c->arrival_max_ms)) /
			STORM_STEP_MS;

		entry->wanted--;
		if (step < STORM_STEPS)
			storm->repeats[step]++;
	}
}

static void storm_entry_step_(storm_t *storm, unsigned int index)
{
	storm_process_t *entry = &storm->entries[index];
	unsigned int per_s = storm->c->requests_per_s;
	const storm_message_t *next;

	if (!storm_runs_(storm, entry))
		return;
	while ((next = g_queue_peek_head(&entry->inbox)) &&
	       next->due_ms <= storm->now_ms) {
		storm_message_t *message = g_queue_pop_head(&entry->inbox);
		cb_usage_t *sum = cb_usage_new();

		cb_usage_add_sends(sum, "s", &message->sends);
		cb_retry_share_update(entry->share, sum);
		cb_usage_delete(sum);
		g_free(message);
		storm_repeats_draw_(storm, index);
	}
	if (storm->c->load_ms)
		per_s = storm->now_ms % storm->c->load_ms <
					storm->c->load_ms / 2 ?
				2 * per_s :
				0;
	if (storm_random_(storm, 1000 / STORM_STEP_MS - 1) < per_s) {
		cb_retry_share_count_request(entry->share, "s");
		storm->requests[storm->now_ms / STORM_STEP_MS]++;
	}
	storm_repeats_draw_(storm, index);
	if (storm->now_ms >= entry->next_ms) {
		cb_usage_t *usage = cb_usage_new();
		cb_usage_sends_t sends;

		storm_timer_start_(storm, entry);
		cb_retry_share_add_usage(entry->share, usage);
		sends = cb_usage_find_sends(usage, "s");
		storm_send_(storm, &storm->controls[entry->control], index,
			    FALSE, &sends);
		cb_usage_delete(usage);
	}
}

static void storm_init_(storm_t *storm, const storm_case_t *c,
			unsigned int seed)
{
	const cb_retry_share_budget_t storm_budget = { budget.ratio, c->extra,
						       WINDOW_MS };
	unsigned int i;

	storm->c = c;
	storm->clock = cb_clock_new_paused(1000);
	storm->random = g_rand_new_with_seed(seed);
	storm->entries = g_new0(storm_process_t, c->instances);
	storm->controls = g_new0(storm_process_t, c->controls);
	for (i = 0; i < c->controls; i++)
		storm->controls[i].next_ms =
			storm_random_(storm, REPORT_INTERVAL_MS);
	for (i = 0; i < c->instances; i++) {
		storm_process_t *entry = &storm->entries[i];

		entry->control = i % c->controls;
		entry->next_ms = storm_random_(storm, REPORT_INTERVAL_MS);
		entry->share = cb_retry_share_new(storm->clock, storm->random,
						  &storm_budget);
		cb_retry_share_set_instances(entry->share, c->instances);
	}
}

static void storm_clear_(storm_t *storm)
{
	unsigned int i;

	for (i = 0; i < storm->c->instances; i++) {
		cb_retry_share_delete(storm->entries[i].share);
		g_queue_clear_full(&storm->entries[i].inbox, g_free);
	}
	for (i = 0; i < storm->c->controls; i++)
		g_queue_clear_full(&storm->controls[i].inbox, g_free);
	g_free(storm->entries);
	g_free(storm->controls);
	g_rand_free(storm->random);
	cb_clock_delete(storm->clock);
}

/* Returns the sum of a window's counts, from those summed up to each step. */
static double storm_window_(const double *sums, int from)
{
	int to = from + WINDOW_MS / STORM_STEP_MS;

	return sums[MAX(to, 0)] - sums[MAX(from, 0)];
}

/* Returns the percent of the budget that the fullest window uses. */
static double storm_find_fullest_(const storm_t *storm)
{
	int window = WINDOW_MS / STORM_STEP_MS;
	double *requests = g_new0(double, STORM_STEPS + 1);
	double *repeats = g_new0(double, STORM_STEPS + 1);
	double fullest = 0;
	int from;

	for (from = 0; from < STORM_STEPS; from++) {
		requests[from + 1] = requests[from] + storm->requests[from];
		repeats[from + 1] = repeats[from] + storm->repeats[from];
	}
	for (from = 0; from + window <= STORM_STEPS; from++) {
		double now = storm_window_(requests, from);
		double half = storm_window_(requests, from - window / 2);
		double before = storm_window_(requests, from - window);
		double allowed = budget.ratio * MAX(now, MAX(half, before)) +
				 storm->c->extra;

		if (allowed > 0)
			fullest = MAX(fullest,
				      100 * storm_window_(repeats, from) /
					      allowed);
	}
	g_free(requests);
	g_free(repeats);
	return fullest;
}

/* Returns the percent of the budget that one play's fullest window uses. */
static double storm_play_(const storm_case_t *c, unsigned int seed)
{
	storm_t *storm = g_new0(storm_t, 1);
	double percent;
	unsigned int i;

	storm_init_(storm, c, seed);
	while (storm->now_ms < STORM_MS) {
		for (i = 0; i < c->controls; i++)
			storm_control_step_(storm, i);
		for (i = 0; i < c->instances; i++)
			storm_entry_step_(storm, i);
		storm->now_ms += STORM_STEP_MS;
		cb_clock_advance(storm->clock, STORM_STEP_MS);
	}
	percent = storm_find_fullest_(storm);
	storm_clear_(storm);
	g_free(storm);
	return percent;
}

static unsigned int storm_seeds_(const storm_case_t *c)
{
	const char *seeds = g_getenv("CB_SEEDS");

	if (seeds)
		return (unsigned int)g_ascii_strtoull(seeds, NULL, 10);
	return c->instances < STORM_LARGE ? STORM_SEEDS : STORM_LARGE_SEEDS;
}

/* Fractions of a retry that all save up, and sums that lack some, add up. */
static void repeats_at_the_same_moment_stay_within_every_window(void)
{
	size_t n;

	for (n = 0; n < G_N_ELEMENTS(storm_cases); n++) {
		const storm_case_t *c = &storm_cases[n];
		unsigned int seeds = storm_seeds_(c);
		double least = INFINITY;
		double most = 0;
		unsigned int over = 0;
		unsigned int seed;

		for (seed = 1; seed <= seeds; seed++) {
			double percent = storm_play_(c, seed);

			over += percent > 100;
			most = MAX(most, percent);
			least = MIN(least, percent);
		}
		CU_ASSERT_EQUAL(over, 0);
		CU_ASSERT_TRUE(least >= c->min_percent);
		printf("    %s: fullest windows %.0f to %.0f%%, %u of %u seeds "
		       "over\n",
		       c->label, least, most, over, seeds);
	}
}

/* Returns what a share reports of its service. */
static cb_usage_sends_t sends_report_(cb_retry_share_t *share)
{
	cb_usage_t *usage = cb_usage_new();
	cb_usage_sends_t sends;

	cb_retry_share_add_usage(share, usage);
	sends = cb_usage_find_sends(usage, "s");
	cb_usage_delete(usage);
	return sends;
}

/* A window with two bursts of requests allows too much; one with late repeats too. */
static void requests_count_no_longer_than_a_window_and_repeats_longer(void)
{
	unsigned int phase_ms;

	for (phase_ms = 0; phase_ms < WINDOW_MS / 10; phase_ms += 50) {
		cb_clock_t *clock = cb_clock_new_paused(1000 + phase_ms);
		GRand *random = g_rand_new_with_seed(1);
		cb_retry_share_t *share =
			cb_retry_share_new(clock, random, &budget);

		cb_retry_share_count_request(share, "s");
		CU_ASSERT_TRUE(cb_retry_share_take_retry(share, "s"));
		cb_clock_advance(clock, WINDOW_MS * 8 / 10);
		CU_ASSERT_EQUAL(sends_report_(share).requests, 1);
		cb_clock_advance(clock, WINDOW_MS * 2 / 10);
		CU_ASSERT_EQUAL(sends_report_(share).requests, 0);
		cb_clock_advance(clock, WINDOW_MS / 10 - 50);
		CU_ASSERT_EQUAL(sends_report_(share).retries, 1);
		cb_clock_advance(clock, WINDOW_MS / 10 + 50);
		CU_ASSERT_EQUAL(sends_report_(share).retries, 0);
		cb_retry_share_delete(share);
		g_rand_free(random);
		cb_clock_delete(clock);
	}
}

/* Usage must add up after encoding; a truncated encoding must be rejected. */
static void encoded_usage_is_decoded_and_summed(void)
{
	static const cb_usage_load_t one = { 2, 1500, 1,   2, 3500,
					     0, 5,    600, 1, 70 };
	static const cb_usage_load_t other = { 1, 500, 0,  1, 1200,
					       1, 1,   90, 0, 70 };
	static const cb_usage_sends_t sends = { 10, 3, 40, 7 };
	cb_usage_t *sum = cb_usage_new();
	cb_usage_t *usage = cb_usage_new();
	cb_usage_t *decoded;
	GBytes *bytes;
	GBytes *truncated;
	char *key = cb_usage_flow_key("s", 1, "w");
	const cb_usage_flow_t *flow;

	cb_usage_add_load(usage, "a", &one);
	cb_usage_add_load(usage, "b", &other);
	cb_usage_add_sends(usage, "s", &sends);
	cb_usage_add_flow(usage, "s", 1, "w", 700);
	cb_usage_add_flow(usage, "s", 1, "", 50);
	bytes = cb_usage_encode(usage, CB_PROTOCOL_VERSION);
	truncated =
		g_bytes_new_from_bytes(bytes, 0, g_bytes_get_size(bytes) - 1);
	CU_ASSERT_PTR_NULL(cb_usage_decode(truncated));
	decoded = cb_usage_decode(bytes);
	cb_usage_merge(sum, decoded);
	cb_usage_merge(sum, decoded);
	CU_ASSERT_EQUAL(cb_usage_find_load(sum, "a").running, 4);
	CU_ASSERT_EQUAL(cb_usage_find_load(sum, "a").suspecting_instances, 2);
	CU_ASSERT_EQUAL(cb_usage_find_load(sum, "b").token_layers, 1000);
	CU_ASSERT_EQUAL(cb_usage_find_load(sum, "c").running, 0);
	CU_ASSERT_EQUAL(cb_usage_find_sends(sum, "s").retries, 6);
	CU_ASSERT_EQUAL(cb_usage_find_sends(sum, "s").long_pauses, 14);
	CU_ASSERT_EQUAL(g_hash_table_size(sum->by_flow), 2);
	flow = g_hash_table_lookup(sum->by_flow, key);
	CU_ASSERT_TRUE(flow && flow->tokens == 1400);
	g_free(key);
	g_bytes_unref(bytes);
	g_bytes_unref(truncated);
	cb_usage_delete(decoded);
	cb_usage_delete(usage);
	cb_usage_delete(sum);
}

static CU_TestInfo retry_share_tests[] = {
	{ "retries_of_all_instances_stay_within_budget",
	  retries_of_all_instances_stay_within_budget },
	{ "sums_without_most_instances_allow_no_retries",
	  sums_without_most_instances_allow_no_retries },
	{ "repeats_at_the_same_moment_stay_within_every_window",
	  repeats_at_the_same_moment_stay_within_every_window },
	{ "requests_count_no_longer_than_a_window_and_repeats_longer",
	  requests_count_no_longer_than_a_window_and_repeats_longer },
	{ "encoded_usage_is_decoded_and_summed",
	  encoded_usage_is_decoded_and_summed },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "retry_share",
				    .pTests = retry_share_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
