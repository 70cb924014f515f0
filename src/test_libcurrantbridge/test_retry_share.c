#include "support_main.h"

#include "private/retry_share.h"

#define WINDOW_MS 10000
#define TELL_MS 200
#define INSTANCES_MAX 120

static const cb_retry_bound_t bound = { 0.2, 450, WINDOW_MS };

/*
 * Instances that tell each other what they sent, `lag` rounds late, under a
 * load that would retry all it can.
 */
typedef struct crowd_case {
	unsigned int instances;
	unsigned int lag;
	unsigned int requests_a_round; /* of each instance */
	unsigned int cut_off;	       /* instances that hear of nobody */
	unsigned int retries_least;    /* in the first window, of all */
} crowd_case_t;

static const crowd_case_t crowd_cases[] = {
	{ 20, 1, 1, 0, 400 },  { 20, 2, 1, 0, 400 },   { 20, 2, 0, 0, 250 },
	{ 20, 1, 4, 0, 700 },  { 20, 1, 1, 5, 300 },   { 20, 1, 0, 20, 80 },
	{ 20, 3, 1, 0, 400 },  { 20, 3, 0, 0, 250 },   { 117, 2, 1, 0, 900 },
	{ 117, 3, 0, 0, 250 }, { 117, 3, 0, 20, 250 },
};

typedef struct crowd {
	cb_clock_t *clock;
	cb_retry_share_t *shares[INSTANCES_MAX];
	cb_usage_t *sums[4]; /* the last ones, the newest first */
	unsigned int requests[WINDOW_MS / TELL_MS * 4];
	unsigned int retries[WINDOW_MS / TELL_MS * 4];
} crowd_t;

/* Every instance sends its requests and all retries that it may. */
static void round_send_(crowd_t *crowd, const crowd_case_t *c,
			unsigned int round)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < c->instances; i++) {
		for (k = 0; k < c->requests_a_round; k++)
			cb_retry_share_request(crowd->shares[i], "s");
		crowd->requests[round] += c->requests_a_round;
		while (cb_retry_share_take(crowd->shares[i], "s"))
			crowd->retries[round]++;
	}
}

static void round_tell_(crowd_t *crowd, const crowd_case_t *c)
{
	cb_usage_t *sum = cb_usage_new();
	unsigned int i;

	for (i = 0; i < c->instances; i++)
		cb_retry_share_tell(crowd->shares[i], sum);
	cb_usage_delete(crowd->sums[3]);
	for (i = 3; i > 0; i--)
		crowd->sums[i] = crowd->sums[i - 1];
	crowd->sums[0] = sum;
	for (i = c->cut_off; i < c->instances; i++)
		if (crowd->sums[c->lag])
			cb_retry_share_learn(crowd->shares[i],
					     crowd->sums[c->lag]);
}

/* In every window, the retries of all stay within the common bound. */
static void windows_check_(const crowd_t *crowd, unsigned int rounds,
			   unsigned int least)
{
	unsigned int window = WINDOW_MS / TELL_MS;
	unsigned int first;
	unsigned int k;

	for (first = 0; first + window <= rounds; first++) {
		double requests = 0;
		double retries = 0;

		for (k = first; k < first + window; k++) {
			requests += crowd->requests[k];
			retries += crowd->retries[k];
		}
		CU_ASSERT_TRUE(retries <= bound.ratio * requests + bound.extra);
		if (first == 0)
			CU_ASSERT_TRUE(retries >= least);
	}
}

static void all_instances_keep_the_common_bound(void)
{
	const unsigned int rounds = WINDOW_MS / TELL_MS * 4;
	unsigned int round;
	size_t n;
	unsigned int i;

	for (n = 0; n < G_N_ELEMENTS(crowd_cases); n++) {
		const crowd_case_t *c = &crowd_cases[n];
		crowd_t crowd = { .clock = cb_clock_new_paused(1000) };

		for (i = 0; i < c->instances; i++) {
			crowd.shares[i] =
				cb_retry_share_new(crowd.clock, &bound);
			cb_retry_share_instances(crowd.shares[i], c->instances);
		}
		for (round = 0; round < rounds; round++) {
			round_send_(&crowd, c, round);
			round_tell_(&crowd, c);
			cb_clock_advance(crowd.clock, TELL_MS);
		}
		windows_check_(&crowd, rounds, c->retries_least);
		for (i = 0; i < c->instances; i++)
			cb_retry_share_delete(crowd.shares[i]);
		for (i = 0; i < 4; i++)
			cb_usage_delete(crowd.sums[i]);
		cb_clock_delete(crowd.clock);
	}
}

static void usage_is_told_and_summed(void)
{
	static const cb_usage_entry_t one = { 2, 1500, 1 };
	static const cb_usage_entry_t other = { 1, 500, 0 };
	static const cb_usage_sends_t sends = { 10, 3 };
	cb_usage_t *sum = cb_usage_new();
	cb_usage_t *usage = cb_usage_new();
	cb_usage_t *told;
	GBytes *bytes;
	GBytes *cut;

	cb_usage_add(usage, "a", &one);
	cb_usage_add(usage, "b", &other);
	cb_usage_add_sends(usage, "s", &sends);
	bytes = cb_usage_encode(usage);
	cut = g_bytes_new_from_bytes(bytes, 0, g_bytes_get_size(bytes) - 1);
	CU_ASSERT_PTR_NULL(cb_usage_decode(cut));
	told = cb_usage_decode(bytes);
	cb_usage_add_all(sum, told);
	cb_usage_add_all(sum, told);
	CU_ASSERT_EQUAL(cb_usage_find(sum, "a").running, 4);
	CU_ASSERT_EQUAL(cb_usage_find(sum, "a").doubters, 2);
	CU_ASSERT_EQUAL(cb_usage_find(sum, "b").token_layers, 1000);
	CU_ASSERT_EQUAL(cb_usage_find(sum, "c").running, 0);
	CU_ASSERT_EQUAL(cb_usage_find_sends(sum, "s").retries, 6);
	g_bytes_unref(bytes);
	g_bytes_unref(cut);
	cb_usage_delete(told);
	cb_usage_delete(usage);
	cb_usage_delete(sum);
}

static CU_TestInfo retry_share_tests[] = {
	{ "all_instances_keep_the_common_bound",
	  all_instances_keep_the_common_bound },
	{ "usage_is_told_and_summed", usage_is_told_and_summed },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "retry_share",
				    .pTests = retry_share_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
