#include "support_main.h"

#include "private/pipe_share.h"

/*
 * Plays a service whose data centres have no room left, so that each request
 * wants a chain that crosses, and checks what all instances send together.
 */

#define STEP_MS 10
#define PLAY_MS 10000
#define BYTES_PER_MBIT 125000.0
/* What a request of 1,000 tokens sends at one crossing. */
#define REQUEST_BYTES 24.6e6

typedef struct share_case {
	const char *description; /* printed if the case fails */
	double pipe_mbps;
	unsigned int instances;
	unsigned int requests_per_s; /* of all instances together */
	/* Bounds of the part of the links that is used over PLAY_MS. */
	double used_min;
	double used_max;
} share_case_t;

static const share_case_t share_cases[] = {
	{ "one instance uses its whole share", 8300, 1, 450, 0.55, 0.7 },
	{ "26 instances stay within the links", 4100, 26, 450, 0.4, 1.0 },
	{ "102 instances stay within the links", 8300, 102, 450, 0.4, 1.0 },
	{ "few requests are not held back", 8300, 102, 5, 0.05, 0.2 },
	{ "links of an unknown rate are not limited", 0, 26, 450, 450, 450 },
};

/* Returns the part of the links that is used, or the requests a second. */
static double share_play_(const share_case_t *c)
{
	cb_pipe_share_t **shares = g_new0(cb_pipe_share_t *, c->instances);
	cb_clock_t *clock = cb_clock_new_paused(1000);
	GRand *random = g_rand_new_with_seed(1);
	double per_step = c->requests_per_s * STEP_MS / 1000.0;
	double arrivals = 0;
	unsigned int begun = 0;
	unsigned int i;
	int64_t ms;

	for (i = 0; i < c->instances; i++)
		shares[i] = cb_pipe_share_new(clock);
	for (ms = 0; ms < PLAY_MS; ms += STEP_MS) {
		cb_clock_advance(clock, STEP_MS);
		arrivals += per_step;
		while (arrivals >= 1) {
			cb_pipe_share_t *share =
				shares[g_rand_int_range(random, 0,
							(int32_t)c->instances)];

			arrivals--;
			if (!cb_pipe_share_has_room(share, "model",
						    c->pipe_mbps, c->instances))
				continue;
			cb_pipe_share_take(share, "model", REQUEST_BYTES);
			begun++;
		}
	}
	for (i = 0; i < c->instances; i++)
		cb_pipe_share_delete(shares[i]);
	g_free(shares);
	g_rand_free(random);
	cb_clock_delete(clock);
	if (!c->pipe_mbps)
		return begun * 1000.0 / PLAY_MS;
	return begun * REQUEST_BYTES / BYTES_PER_MBIT * 1000 / PLAY_MS /
	       c->pipe_mbps;
}

/* Guards against streams that all pause since their chains fill the links. */
static void crossings_stay_within_the_links(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		const share_case_t *c = &share_cases[i];
		double used = share_play_(c);
		gboolean is_met = used >= c->used_min && used <= c->used_max;

		if (!is_met)
			printf("%s: %.3f\n", c->description, used);
		CU_ASSERT_TRUE(is_met);
	}
}

static CU_TestInfo pipe_share_tests[] = { { "crossings_stay_within_the_links",
					    crossings_stay_within_the_links },
					  CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "pipe_share",
				    .pTests = pipe_share_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
