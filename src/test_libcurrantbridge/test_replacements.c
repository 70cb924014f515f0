#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/replica.h"
#include "support_control.h"
#include "support_main.h"

/*
 * Series of machines that are gone for good and replaced by empty ones at other
 * addresses.  The next machines are lost as soon as the last successors have
 * run for CATCH_UP_MS.  CB_FIRST_SEED and CB_SEEDS set the seeds of each row.
 */
#define CATCH_UP_MS 4000
#define DEFAULT_SEED_COUNT 2
#define FORM_TIMEOUT_MS 20000
#define LEADER_TIMEOUT_MS 3000
/* New machines know the members as they were this long before. */
#define SEED_LAG_MS 3000
#define GAP_JITTER_MS 5000
#define AWAY_MAX_MS 12000
#define BLANK_AWAY_MAX_MS 4000
#define FLAP_COUNT 8
#define FLAP_CUT_MAX_MS 2400
#define FLAP_GAP_MAX_MS 600
#define LOST_AT_ONCE_MAX 2
/* Machines that a test starts besides the successors of a series. */
#define EXTRA_MACHINES 4

/* Which machine is lost next. */
typedef enum target {
	TARGET_LEADER,
	TARGET_FOLLOWER,
	TARGET_SEED, /* one of the seeds of the newest machine */
	TARGET_OLDEST,
	TARGET_NEWEST,
	TARGET_ANY,
	TARGET_MIXED, /* any of the above, by chance */
} target_t;

/* What happens to machines; a series has a set of these, one bit each. */
typedef enum event {
	EVENT_LOST = 1 << 0,	/* they are lost, then successors start */
	EVENT_PLANNED = 1 << 1, /* successors start first */
	/* Like EVENT_LOST; the first successor is lost while it catches up. */
	EVENT_LOST_AGAIN = 1 << 2,
	EVENT_CUT_OFF = 1 << 3,	  /* nobody reaches them for a while */
	EVENT_RESTARTED = 1 << 4, /* they end and come back with their disks */
	EVENT_BLANK = 1 << 5,	  /* they come back with empty disks */
	EVENT_ONE_WAY = 1 << 6,	  /* one direction of their links is cut */
	EVENT_FLAPPING = 1 << 7,  /* they are cut off again and again */
	EVENT_COUNT = 8,
} event_t;

#define EVENTS_REPLACED (EVENT_LOST | EVENT_PLANNED)
#define EVENTS_ALL ((1 << EVENT_COUNT) - 1)

typedef struct series {
	const char *name;
	size_t size;	     /* machines at a time */
	size_t lost_at_once; /* machines that may be lost at the same time */
	target_t target;
	int events;
	int64_t successor_ms; /* from a loss to the start of the successor */
	size_t steps;
} series_t;

typedef struct play {
	const series_t *series;
	control_group_t *group;
	size_t started; /* machines started so far */
	GArray *alive;	/* size_t: machines, the oldest first */
	/* Machines that a new one gets as its seeds, as of SEED_LAG_MS ago. */
	size_t seeds[CONTROL_SEED_COUNT];
	int64_t seeds_ms;
} play_t;

static size_t alive_at_(const play_t *play, size_t i)
{
	return g_array_index(play->alive, size_t, i);
}

static int64_t now_ms_(const play_t *play)
{
	return cb_clock_now_ms(play->group->clock);
}

static gboolean has_running_seed_(const play_t *play)
{
	size_t i;

	for (i = 0; i < CONTROL_SEED_COUNT; i++)
		if (play->group->members[play->seeds[i]].node)
			return TRUE;
	return FALSE;
}

/* Notes three members that run as the seeds of machines that start later. */
static void seeds_update_(play_t *play)
{
	size_t i;

	play->seeds_ms = now_ms_(play);
	for (i = 0; i < CONTROL_SEED_COUNT; i++)
		play->seeds[i] = alive_at_(play, i);
}

static void run_(play_t *play, int64_t duration_ms)
{
	int64_t end_ms = now_ms_(play) + duration_ms;

	while (now_ms_(play) < end_ms) {
		if (now_ms_(play) - play->seeds_ms >= SEED_LAG_MS)
			seeds_update_(play);
		cb_clock_advance(play->group->clock, CONTROL_STEP_MS);
	}
}

static void machine_start_(play_t *play, gboolean is_new_group)
{
	size_t i = play->started++;

	/* Without a seed that runs, no machine could find the group. */
	if (!is_new_group && !has_running_seed_(play))
		seeds_update_(play);
	memcpy(play->group->members[i].seeds, play->seeds, sizeof(play->seeds));
	control_group_start(play->group, i, is_new_group);
	g_array_append_val(play->alive, i);
}

/* Whether a leader has committed a record of its term and has a majority. */
static gboolean has_working_leader_(const play_t *play)
{
	size_t leader = control_group_leader(play->group);
	const cb_replica_t *replica;

	if (leader == play->group->count)
		return FALSE;
	replica = cb_node_replica(play->group->members[leader].node);
	return replica->committed >= replica->term_start &&
	       cb_replica_is_current(replica);
}

static gboolean working_leader_wait_(play_t *play)
{
	int64_t end_ms = now_ms_(play) + LEADER_TIMEOUT_MS;

	while (!has_working_leader_(play) && now_ms_(play) < end_ms)
		run_(play, CONTROL_STEP_MS);
	return has_working_leader_(play);
}

static play_t *play_new_(const series_t *series, uint32_t seed)
{
	play_t *play = g_new0(play_t, 1);
	uint64_t voters = (UINT64_C(1) << series->size) - 1;
	size_t i;

	play->series = series;
	play->group = control_group_new(
		series->size + series->steps * (series->lost_at_once + 1) +
			EXTRA_MACHINES,
		seed);
	play->group->tolerated_losses = (uint32_t)series->lost_at_once;
	play->alive = g_array_new(FALSE, FALSE, sizeof(size_t));
	for (i = 0; i < CONTROL_SEED_COUNT; i++)
		play->seeds[i] = i;
	for (i = 0; i < series->size; i++)
		machine_start_(play, TRUE);
	CU_ASSERT_TRUE(control_group_run_until_voters(play->group, voters,
						      FORM_TIMEOUT_MS));
	run_(play, CATCH_UP_MS);
	return play;
}

static void play_delete_(play_t *play)
{
	g_array_unref(play->alive);
	control_group_delete(play->group);
	g_free(play);
}

/* Returns the index in `alive` of the machine that is lost next. */
static guint target_find_(const play_t *play, target_t target)
{
	GRand *random = play->group->random;
	guint any = (guint)g_rand_int_range(random, 0, (int)play->alive->len);
	size_t leader = control_group_leader(play->group);
	guint i;

	if (target == TARGET_MIXED)
		target = (target_t)g_rand_int_range(random, 0, TARGET_MIXED);
	if (target == TARGET_OLDEST)
		return 0;
	if (target == TARGET_NEWEST)
		return play->alive->len - 1;
	for (i = 0; i < play->alive->len; i++) {
		size_t machine = alive_at_(play, i);

		if (target == TARGET_LEADER && machine == leader)
			return i;
		if (target == TARGET_FOLLOWER && machine != leader)
			return i;
		if (target == TARGET_SEED &&
		    machine == play->seeds[any % CONTROL_SEED_COUNT])
			return i;
	}
	return any;
}

/* Chooses the machines of the next event and moves them to `chosen`. */
static void machines_choose_(play_t *play, size_t *chosen)
{
	size_t i;

	for (i = 0; i < play->series->lost_at_once; i++) {
		guint k = target_find_(play, play->series->target);

		chosen[i] = alive_at_(play, k);
		g_array_remove_index(play->alive, k);
	}
}

static void machines_lose_(play_t *play)
{
	size_t chosen[LOST_AT_ONCE_MAX] = { 0 };
	size_t i;

	machines_choose_(play, chosen);
	for (i = 0; i < play->series->lost_at_once; i++)
		control_group_kill(play->group, chosen[i]);
}

static void successors_start_(play_t *play)
{
	size_t i;

	for (i = 0; i < play->series->lost_at_once; i++)
		machine_start_(play, FALSE);
}

/* Ends the newest machine before it has caught up, and starts another one. */
static void successor_replace_(play_t *play)
{
	size_t newest = alive_at_(play, play->alive->len - 1);

	run_(play, g_rand_int_range(play->group->random, 0, (int)CATCH_UP_MS));
	control_group_kill(play->group, newest);
	g_array_set_size(play->alive, play->alive->len - 1);
	run_(play, play->series->successor_ms);
	machine_start_(play, FALSE);
}

/* Cuts off or reconnects machines: both directions, or one of them. */
static void machines_isolate_(play_t *play, const size_t *machines,
			      event_t event, gboolean is_outward,
			      gboolean is_cut)
{
	support_hub_t *hub = play->group->hub;
	size_t i;

	for (i = 0; i < play->series->lost_at_once; i++) {
		const char *name = play->group->members[machines[i]].address;

		if (event != EVENT_ONE_WAY)
			control_group_isolate(play->group, machines[i], is_cut);
		else if (is_outward)
			support_hub_block(hub, name, NULL, is_cut);
		else
			support_hub_block(hub, NULL, name, is_cut);
	}
}

/* Cuts machines off for a while, once or, when they flap, several times. */
static void machines_cut_off_(play_t *play, const size_t *machines,
			      event_t event)
{
	GRand *random = play->group->random;
	gboolean is_outward = g_rand_boolean(random);
	int cuts = event == EVENT_FLAPPING ? FLAP_COUNT : 1;
	int max_ms = event == EVENT_FLAPPING ? FLAP_CUT_MAX_MS : AWAY_MAX_MS;

	for (; cuts; cuts--) {
		machines_isolate_(play, machines, event, is_outward, TRUE);
		run_(play, g_rand_int_range(random, 0, max_ms));
		machines_isolate_(play, machines, event, is_outward, FALSE);
		run_(play, g_rand_int_range(random, 0, FLAP_GAP_MAX_MS));
	}
}

/* Ends machines, and starts them again with or without their data. */
static void machines_restart_(play_t *play, const size_t *machines,
			      event_t event)
{
	control_group_t *group = play->group;
	int max_ms = event == EVENT_BLANK ? BLANK_AWAY_MAX_MS : AWAY_MAX_MS;
	size_t i;

	for (i = 0; i < play->series->lost_at_once; i++) {
		control_group_kill(group, machines[i]);
		if (event == EVENT_BLANK)
			disk_erase(group->members[machines[i]].disk);
	}
	run_(play, g_rand_int_range(group->random, 0, max_ms));
	for (i = 0; i < play->series->lost_at_once; i++)
		control_group_start(group, machines[i], FALSE);
}

/* Takes machines out of service for a while; they come back as the newest. */
static void machines_leave_(play_t *play, event_t event)
{
	size_t chosen[LOST_AT_ONCE_MAX] = { 0 };

	machines_choose_(play, chosen);
	if (event == EVENT_RESTARTED || event == EVENT_BLANK)
		machines_restart_(play, chosen, event);
	else
		machines_cut_off_(play, chosen, event);
	g_array_append_vals(play->alive, chosen,
			    (guint)play->series->lost_at_once);
}

static event_t event_choose_(const play_t *play)
{
	event_t event;

	do
		event = 1 << g_rand_int_range(play->group->random, 0,
					      EVENT_COUNT);
	while (!(play->series->events & event));
	return event;
}

/* Plays one event, until all machines count as running again. */
static void step_play_(play_t *play)
{
	event_t event = event_choose_(play);

	switch (event) {
	case EVENT_LOST:
	case EVENT_LOST_AGAIN:
		machines_lose_(play);
		run_(play, play->series->successor_ms);
		successors_start_(play);
		if (event == EVENT_LOST_AGAIN)
			successor_replace_(play);
		run_(play, CATCH_UP_MS);
		break;
	case EVENT_PLANNED:
		successors_start_(play);
		run_(play, CATCH_UP_MS);
		machines_lose_(play);
		break;
	default:
		machines_leave_(play, event);
		run_(play, CATCH_UP_MS);
		break;
	}
}

static uint64_t alive_bits_(const play_t *play)
{
	uint64_t bits = 0;
	guint i;

	for (i = 0; i < play->alive->len; i++)
		bits |= UINT64_C(1) << alive_at_(play, i);
	return bits;
}

/* Plays one series; returns the number of the step that ended it, or 0. */
static size_t series_play_(const series_t *series, uint32_t seed)
{
	play_t *play = play_new_(series, seed);
	size_t failed_step = 0;
	size_t step;

	for (step = 1; step <= series->steps && !failed_step; step++) {
		step_play_(play);
		if (!working_leader_wait_(play))
			failed_step = step;
		run_(play,
		     g_rand_int_range(play->group->random, 0, GAP_JITTER_MS));
	}
	if (!failed_step &&
	    !control_group_run_until_voters(play->group, alive_bits_(play),
					    FORM_TIMEOUT_MS)) {
		printf("    %s, seed %u: voters %" G_GINT64_MODIFIER
		       "x, machines that run %" G_GINT64_MODIFIER "x\n",
		       series->name, seed, control_group_voters(play->group),
		       alive_bits_(play));
		CU_FAIL("other voters than the machines that run");
	}
	play_delete_(play);
	return failed_step;
}

static const series_t series_table[] = {
	{ "leaders", 5, 1, TARGET_LEADER, EVENT_LOST, 1600, 8 },
	{ "followers", 5, 1, TARGET_FOLLOWER, EVENT_LOST, 1600, 8 },
	{ "seeds", 5, 1, TARGET_SEED, EVENT_LOST, 1600, 8 },
	{ "oldest", 5, 1, TARGET_OLDEST, EVENT_LOST, 1600, 8 },
	{ "newest", 5, 1, TARGET_NEWEST, EVENT_LOST, 1600, 8 },
	{ "any", 5, 1, TARGET_MIXED, EVENT_LOST, 1600, 12 },
	{ "any, replaced at once", 5, 1, TARGET_MIXED, EVENT_LOST, 100, 12 },
	{ "any, replaced late", 5, 1, TARGET_MIXED, EVENT_LOST, 12000, 12 },
	{ "planned", 5, 1, TARGET_MIXED, EVENT_PLANNED, 0, 12 },
	{ "planned and lost", 5, 1, TARGET_MIXED, EVENTS_REPLACED, 1600, 12 },
	{ "successors lost", 5, 1, TARGET_MIXED, EVENT_LOST_AGAIN, 300, 12 },
	{ "all events", 5, 1, TARGET_MIXED, EVENTS_ALL, 1600, 12 },
	{ "planned of three", 3, 1, TARGET_MIXED, EVENT_PLANNED, 0, 12 },
	{ "any of three", 3, 1, TARGET_MIXED, EVENT_LOST, 1600, 12 },
	{ "all events of three but planned", 3, 1, TARGET_MIXED,
	  EVENTS_ALL & ~EVENT_PLANNED, 1600, 12 },
	{ "lost disks", 5, 1, TARGET_MIXED, EVENT_LOST | EVENT_BLANK, 1600,
	  12 },
	{ "lost disks of three", 3, 1, TARGET_MIXED, EVENT_LOST | EVENT_BLANK,
	  1600, 12 },
	{ "one of nine", 9, 1, TARGET_MIXED, EVENT_LOST, 1600, 12 },
	{ "two of nine", 9, 2, TARGET_MIXED, EVENT_LOST, 1600, 8 },
	{ "all events of two of nine", 9, 2, TARGET_MIXED, EVENTS_ALL, 1600,
	  8 },
	{ "two of five", 5, 2, TARGET_MIXED, EVENT_LOST, 1600, 8 },
};

/*
 * Each loss leaves no more machines lost than a group of this size tolerates,
 * so that a leader must be elected, and the voters be those that run.
 */
static void replacements_in_series_leave_a_leader(void)
{
	uint32_t first =
		(uint32_t)support_environment_number("CB_FIRST_SEED", 1);
	uint32_t count =
		(uint32_t)support_environment_number("CB_SEEDS",
						     DEFAULT_SEED_COUNT);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(series_table); i++) {
		const series_t *series = &series_table[i];
		uint32_t failed = 0;
		uint32_t seed;

		for (seed = first; seed < first + count; seed++) {
			size_t step = series_play_(series, seed);

			if (!step)
				continue;
			failed++;
			printf("    %s, seed %u: no leader after step %zu\n",
			       series->name, seed, step);
		}
		if (failed)
			printf("    %s: %u of %u series\n", series->name,
			       failed, count);
		CU_ASSERT_EQUAL(failed, 0);
	}
}

/* Cuts off `count` more machines of the first ones, none of them the leader. */
static void machines_partition_(play_t *play, size_t count, uint64_t *cut)
{
	size_t leader = control_group_leader(play->group);
	size_t i;

	for (i = 0; count && i < play->series->size; i++) {
		if (i == leader || (*cut >> i & 1))
			continue;
		control_group_isolate(play->group, i, TRUE);
		*cut |= UINT64_C(1) << i;
		count--;
	}
}

static const series_t partition_table[] = {
	{ "five", 5, 1, TARGET_ANY, EVENT_LOST, 0, 1 },
	{ "nine", 9, 2, TARGET_ANY, EVENT_LOST, 0, 1 },
};

/* The smaller half is cut off while a new machine joins. */
static void learner_takes_the_vote_of_one_silent_voter(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(partition_table); i++) {
		const series_t *series = &partition_table[i];
		play_t *play = play_new_(series, 1);
		uint64_t cut = 0;
		uint64_t voters = 0;
		int least = (int)series->size;
		int k;

		machines_partition_(play, (series->size - 1) / 2, &cut);
		machine_start_(play, FALSE);
		for (k = 0; k < 50; k++) {
			run_(play, 100);
			voters = control_group_voters(play->group);
			if (voters)
				least = MIN(least,
					    __builtin_popcountll(voters));
		}
		CU_ASSERT_EQUAL(least, (int)series->size - 1);
		CU_ASSERT_EQUAL(__builtin_popcountll(voters),
				(int)series->size);
		CU_ASSERT_TRUE(voters >> series->size & 1);
		play_delete_(play);
	}
}

/*
 * Most of nine machines are cut off, in two steps that are long enough for those
 * to lose their votes: a record that is acknowledged then would be lost with two
 * disks if it were on two only.
 */
static void long_partitions_leave_enough_disks_for_two_losses(void)
{
	static const int64_t cut_table_ms[] = { 3000, 11000, 30000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cut_table_ms); i++) {
		play_t *play = play_new_(&partition_table[1], 1);
		uint64_t cut = 0;
		uint64_t voters;

		machines_partition_(play, 4, &cut);
		run_(play, cut_table_ms[i]);
		voters = control_group_voters(play->group);
		CU_ASSERT_TRUE(__builtin_popcountll(voters) >= 5);
		machines_partition_(play, 2, &cut);
		run_(play, cut_table_ms[i]);
		voters = control_group_voters(play->group);
		CU_ASSERT_TRUE(!voters || __builtin_popcountll(voters) >= 5);
		play_delete_(play);
	}
}

/*
 * A machine with an empty disk and the seeds of its first start, which are gone,
 * comes back to a group of six, in which a silent voter loses its vote.
 */
static void empty_disk_is_found_by_its_group(void)
{
	play_t *play = play_new_(&partition_table[0], 1);
	control_group_t *group = play->group;
	size_t i;

	for (i = 0; i < CONTROL_SEED_COUNT; i++) {
		control_group_kill(group, i);
		g_array_remove_index(play->alive, 0);
		seeds_update_(play);
		machine_start_(play, FALSE);
		run_(play, FORM_TIMEOUT_MS);
	}
	machine_start_(play, FALSE);
	run_(play, CATCH_UP_MS);
	CU_ASSERT_EQUAL(control_group_voters(group), 0x1f8);
	control_group_kill(group, 3);
	disk_erase(group->members[3].disk);
	run_(play, 3000);
	CU_ASSERT_EQUAL(control_group_voters(group), 0x1f0);
	control_group_start(group, 3, FALSE);
	CU_ASSERT_TRUE(
		control_group_run_until_voters(group, 0x1f8, FORM_TIMEOUT_MS));
	play_delete_(play);
}

static CU_TestInfo tests[] = {
	{ "replacements_in_series_leave_a_leader",
	  replacements_in_series_leave_a_leader },
	{ "learner_takes_the_vote_of_one_silent_voter",
	  learner_takes_the_vote_of_one_silent_voter },
	{ "long_partitions_leave_enough_disks_for_two_losses",
	  long_partitions_leave_enough_disks_for_two_losses },
	{ "empty_disk_is_found_by_its_group",
	  empty_disk_is_found_by_its_group },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "replacements", .pTests = tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
