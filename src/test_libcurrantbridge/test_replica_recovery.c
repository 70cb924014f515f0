#include <stdio.h>
#include <stdlib.h>

#include "support_group.h"
#include "support_main.h"

/*
 * From the loss of the leader to the next accepted change, in simulated
 * time.  CB_SEEDS sets how many runs there are.
 */
#define DEFAULT_SEEDS 100
#define MEDIAN_BOUND_MS 1000
#define WORST_BOUND_MS 3000
#define IDLE_BOUND_BYTES_PER_S 29000

static int number_compare_(const void *left, const void *right)
{
	const int64_t *a = left;
	const int64_t *b = right;

	return *a < *b ? -1 : *a > *b ? 1 : 0;
}

typedef void (*lose_fn_t)(group_member_t *leader);

static void cut_both_ways_(group_member_t *leader)
{
	group_cut_off(leader, TRUE, TRUE);
}

static void cut_incoming_(group_member_t *leader)
{
	group_cut_off(leader, TRUE, FALSE);
}

static int64_t recovery_ms_(uint64_t seed, uint32_t size, lose_fn_t lose)
{
	group_t *group = group_new(seed, size);
	int64_t duration_ms = G_MAXINT64;
	int64_t start_ms;

	group->delay_most_ms = 3;
	group_start_all(group);
	if (!group_wait_leader(group, 5000) ||
	    !group_commit_many(group, 5, 1000))
		goto out;
	group_run(group, g_rand_int_range(group->random, 0, 1000));
	start_ms = cb_clock_now_ms(group->clock);
	lose(group_leader(group));
	/* A cut-off leader that does not know yet is asked first. */
	if (group_commit_one(group, WORST_BOUND_MS))
		duration_ms = cb_clock_now_ms(group->clock) - start_ms;
out:
	if (!group_is_good(group))
		duration_ms = G_MAXINT64;
	group_delete(group);
	return duration_ms;
}

typedef struct loss {
	const char *text;
	uint32_t size;
	lose_fn_t lose;
} loss_t;

static const loss_t losses[] = {
	{ "3 members, leader killed", 3, group_crash },
	{ "5 members, leader killed", 5, group_crash },
	{ "3 members, leader cut off both ways", 3, cut_both_ways_ },
	{ "3 members, leader cut off from what it is sent", 3, cut_incoming_ },
};

static void lost_leader_is_replaced_in_time(void)
{
	const char *text = g_getenv("CB_SEEDS");
	int64_t count = text ? g_ascii_strtoll(text, NULL, 10) : DEFAULT_SEEDS;
	int64_t *durations = g_new(int64_t, count);
	size_t i;
	int64_t seed;

	for (i = 0; i < G_N_ELEMENTS(losses); i++) {
		for (seed = 0; seed < count; seed++)
			durations[seed] =
				recovery_ms_((uint64_t)seed + 1, losses[i].size,
					     losses[i].lose);
		qsort(durations, count, sizeof(*durations), number_compare_);
		printf("    %s: %" G_GINT64_FORMAT
		       " runs, median %" G_GINT64_FORMAT
		       " ms, worst %" G_GINT64_FORMAT " ms\n",
		       losses[i].text, count, durations[count / 2],
		       durations[count - 1]);
		CU_ASSERT_TRUE(durations[count / 2] < MEDIAN_BOUND_MS);
		CU_ASSERT_TRUE(durations[count - 1] < WORST_BOUND_MS);
	}
	g_free(durations);
}

/* What the leader of an idle group sends and is sent, in bytes a second. */
static void idle_group_sends_little(void)
{
	static const uint32_t sizes[] = { 3, 5, 9 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		group_t *group = group_new(1, sizes[i]);
		uint64_t bytes;

		group_start_all(group);
		CU_ASSERT_PTR_NOT_NULL(group_wait_leader(group, 5000));
		group_run(group, 5000);
		bytes = group->sent_bytes;
		group_run(group, 10000);
		bytes = (group->sent_bytes - bytes) / 10;
		printf("    %u members, idle: %" G_GUINT64_FORMAT
		       " bytes a second at the leader\n",
		       sizes[i], bytes);
		CU_ASSERT_TRUE(bytes < IDLE_BOUND_BYTES_PER_S);
		group_delete(group);
	}
}

static CU_TestInfo tests[] = {
	{ "lost_leader_is_replaced_in_time", lost_leader_is_replaced_in_time },
	{ "idle_group_sends_little", idle_group_sends_little },
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
