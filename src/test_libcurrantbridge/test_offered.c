#include "support_main.h"

#include "private/offered.h"

/* Plays an instance that is asked for the same in every 100 ms. */

#define STEP_MS 100
#define STEP_TOKENS 1000.0

typedef struct offered_case {
	const char *description; /* printed if the case fails */
	int64_t asked_ms;	 /* time for which it is asked */
	int64_t quiet_ms;	 /* time after that */
	/* Bounds of the tokens that are reported for a second. */
	double min_tokens;
	double max_tokens;
} offered_case_t;

static const offered_case_t cases[] = {
	{ "a second and more", 5000, 0, 9000, 11000 },
	{ "half a second", 500, 0, 9000, 12500 },
	{ "one request", 100, 0, 2000, 2500 },
	{ "the load has ended", 5000, 500, 4000, 6000 },
	{ "it has ended long ago", 5000, 1300, 0, 0 },
};

static gboolean is_by_workspace_(const char *service, void *user_data)
{
	(void)service;
	return *(gboolean *)user_data;
}

/* Returns what is reported, in the whole, and checks the flows' names. */
static double reported_sum_(cb_offered_t *offered, gboolean is_by_workspace)
{
	cb_usage_t *usage = cb_usage_new();
	GHashTableIter iter;
	void *value;
	double sum = 0;

	cb_offered_add_usage(offered, usage, is_by_workspace_,
			     &is_by_workspace);
	g_hash_table_iter_init(&iter, usage->by_flow);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_usage_flow_t *flow = value;

		CU_ASSERT_STRING_EQUAL(flow->workspace,
				       is_by_workspace ? "w" : "");
		CU_ASSERT_EQUAL(flow->rank, 2);
		sum += flow->tokens;
	}
	cb_usage_delete(usage);
	return sum;
}

/* Guards against sums that tell too little after a start, or too much later. */
static void the_last_second_is_reported(void)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const offered_case_t *c = &cases[i];
		cb_clock_t *clock = cb_clock_new_paused(123456);
		cb_offered_t *offered = cb_offered_new(clock);
		double sum;
		int64_t ms;

		for (ms = 0; ms < c->asked_ms; ms += STEP_MS) {
			cb_offered_count_request(offered, "s", 2, "w",
						 STEP_TOKENS);
			cb_clock_advance(clock, STEP_MS);
		}
		cb_clock_advance(clock, c->quiet_ms);
		sum = reported_sum_(offered, FALSE);
		CU_ASSERT_DOUBLE_EQUAL(reported_sum_(offered, TRUE), sum, 1e-6);
		if (sum < c->min_tokens || sum > c->max_tokens)
			printf("%s: %.0f\n", c->description, sum);
		CU_ASSERT_TRUE(sum >= c->min_tokens && sum <= c->max_tokens);
		cb_offered_delete(offered);
		cb_clock_delete(clock);
	}
}

static CU_TestInfo offered_tests[] = { { "the_last_second_is_reported",
					 the_last_second_is_reported },
				       CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "offered",
				    .pTests = offered_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
