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

		for (i = 0; i < c->instances; i++) {
			cluster.shares[i] =
				cb_retry_share_new(cluster.clock, &budget);
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
		cb_retry_share_t *share = cb_retry_share_new(clock, &budget);
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
