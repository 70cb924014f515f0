#include <stdio.h>
#include <stdlib.h>

#include "support_group.h"
#include "support_main.h"

/*
 * Measures the time from the loss of the leader to the next accepted change,
 * in simulated time.  CB_SEEDS sets the number of runs.
 */
#define DEFAULT_RUN_COUNT 100
#define MEDIAN_LIMIT_MS 1000
#define MAXIMUM_LIMIT_MS 3000
#define IDLE_LIMIT_BYTES_PER_S 29000

static int duration_compare_(const void *left, const void *right)
{
	const int64_t *a = left;
	const int64_t *b = right;

	return *a < *b ? -1 : *a > *b ? 1 : 0;
}

typedef void (*leader_loss_fn_t)(group_member_t *leader);

static void leader_isolate_(group_member_t *leader)
{
	group_isolate(leader, TRUE, TRUE);
}

static void leader_isolate_incoming_(group_member_t *leader)
{
	group_isolate(leader, TRUE, FALSE);
}

/* Returns the recovery time of one run in ms; G_MAXINT64 if it failed. */
static int64_t recovery_time_measure_(uint64_t seed, uint32_t member_count,
				      leader_loss_fn_t lose_leader)
{
	group_t *group = group_new(seed, member_count);
	int64_t duration_ms = G_MAXINT64;
	int64_t start_ms;

	group->max_delay_ms = 3;
	group_start_all(group);
	if (!group_wait_leader(group, 5000) ||
	    !group_commit_many(group, 5, 1000))
		goto out;
	group_run(group, g_rand_int_range(group->random, 0, 1000));
	start_ms = cb_clock_now_ms(group->clock);
	lose_leader(group_leader(group));
	/* The first attempt may go to the isolated leader. */
	if (group_commit_one(group, MAXIMUM_LIMIT_MS))
		duration_ms = cb_clock_now_ms(group->clock) - start_ms;
out:
	if (!group_has_no_violations(group))
		duration_ms = G_MAXINT64;
	group_delete(group);
	return duration_ms;
}

typedef struct loss_case {
	const char *text;
	uint32_t member_count;
	leader_loss_fn_t lose_leader;
} loss_case_t;

static const loss_case_t loss_cases[] = {
	{ "3 members, leader killed", 3, group_crash },
	{ "5 members, leader killed", 5, group_crash },
	{ "3 members, leader isolated in both directions", 3, leader_isolate_ },
	{ "3 members, leader receives no messages", 3,
	  leader_isolate_incoming_ },
};

static void group_recovers_in_time_from_leader_loss(void)
{
	const char *text = g_getenv("CB_SEEDS");
	int64_t run_count =
		text ? g_ascii_strtoll(text, NULL, 10) : DEFAULT_RUN_COUNT;
	int64_t *durations_ms = g_new(int64_t, run_count);
	size_t i;
	int64_t seed;

	for (i = 0; i < G_N_ELEMENTS(loss_cases); i++) {
		for (seed = 0; seed < run_count; seed++)
			durations_ms[seed] = recovery_time_measure_(
				(uint64_t)seed + 1, loss_cases[i].member_count,
				loss_cases[i].lose_leader);
		qsort(durations_ms, run_count, sizeof(*durations_ms),
		      duration_compare_);
		printf("    %s: %" G_GINT64_FORMAT
		       " runs, median %" G_GINT64_FORMAT
		       " ms, maximum %" G_GINT64_FORMAT " ms\n",
		       loss_cases[i].text, run_count,
		       durations_ms[run_count / 2],
		       durations_ms[run_count - 1]);
		CU_ASSERT_TRUE(durations_ms[run_count / 2] < MEDIAN_LIMIT_MS);
		CU_ASSERT_TRUE(durations_ms[run_count - 1] < MAXIMUM_LIMIT_MS);
	}
	g_free(durations_ms);
}

/* Limits the traffic of an idle group, all of it from or to the leader. */
static void idle_group_traffic_is_bounded(void)
{
	static const uint32_t member_counts[] = { 3, 5, 9 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(member_counts); i++) {
		group_t *group = group_new(1, member_counts[i]);
		uint64_t sent_bytes;

		group_start_all(group);
		CU_ASSERT_PTR_NOT_NULL(group_wait_leader(group, 5000));
		group_run(group, 5000);
		sent_bytes = group->sent_bytes;
		group_run(group, 10000);
		sent_bytes = (group->sent_bytes - sent_bytes) / 10;
		printf("    %u members, idle: %" G_GUINT64_FORMAT
		       " bytes a second at the leader\n",
		       member_counts[i], sent_bytes);
		CU_ASSERT_TRUE(sent_bytes < IDLE_LIMIT_BYTES_PER_S);
		group_delete(group);
	}
}

static CU_TestInfo tests[] = {
	{ "group_recovers_in_time_from_leader_loss",
	  group_recovers_in_time_from_leader_loss },
	{ "idle_group_traffic_is_bounded", idle_group_traffic_is_bounded },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_recovery", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
