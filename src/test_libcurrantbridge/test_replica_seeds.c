#include <stdio.h>
#include <stdlib.h>

#include "private/replica.h"
#include "support_group.h"
#include "support_main.h"

/*
 * Injects random faults under random load; each run uses one seed.  CB_SEEDS
 * sets the number of runs, CB_FIRST_SEED the seed of the first.
 */
#define DEFAULT_RUN_COUNT 40
#define CLIENT_COUNT 3
#define FAULTS_MIN_MS 20000
#define FAULTS_MAX_MS 90000
#define LONG_PARTITION_MS 60000
#define RECOVERY_LIMIT_MS 10000
#define CLIENT_TIMEOUT_MS 1000
/* Members that aren't in the group ask for their addition this often. */
#define JOIN_INTERVAL_MS 300
#define MIN_VOTERS 3

typedef struct run run_t;

typedef struct client {
	run_t *run;
	cb_timer_t *timer;
	GPtrArray *changes;  /* group_change_t *; the last is current */
	gboolean is_waiting; /* waits for the result of the current change */
	int64_t sent_at_ms;
} client_t;

/* The restart of a member after a fault. */
typedef struct restart {
	group_member_t *member;
	cb_timer_t *timer;
} restart_t;

struct run {
	group_t *group;
	GRand *random;
	client_t clients[CLIENT_COUNT];
	restart_t restarts[GROUP_MAX_MEMBERS];
	cb_timer_t *fault_timer;
	cb_timer_t *heal_partition_timer;
	cb_timer_t *join_timer;
	/*
	 * Whether machines are lost for good and replaced by others, and silent
	 * members removed.
	 */
	gboolean replaces_machines;
	uint32_t replaced_machine_count;
	/* Member whose replaced disk, or new machine, does not vote yet. */
	group_member_t *blank_member;
	/* Whether another fault follows the disk replacement. */
	gboolean has_next_fault;
	uint32_t replaced_disk_count;
};

/* Returns TRUE with a probability of `percent` %. */
static gboolean random_true_(run_t *run, int32_t percent)
{
	return g_rand_int_range(run->random, 0, 100) < percent;
}

/* Returns a random number from `min` up to but not including `max`. */
static int64_t random_in_range_(run_t *run, int64_t min, int64_t max)
{
	return g_rand_int_range(run->random, (int32_t)min, (int32_t)max);
}

static group_member_t *running_member_choose_(run_t *run)
{
	uint32_t start = (uint32_t)random_in_range_(run, 0, run->group->size);
	uint32_t i;

	for (i = 0; i < run->group->size; i++) {
		group_member_t *member =
			&run->group->members[(start + i) % run->group->size];

		if (member->is_up)
			return member;
	}
	return NULL;
}

static void change_done_(cb_replica_outcome_t outcome, uint64_t index,
			 GBytes *answer, void *user_data)
{
	client_t *client = user_data;

	(void)outcome;
	(void)index;
	(void)answer;
	client->is_waiting = FALSE;
}

/*
 * Sends the current change repeatedly until it is answered, and in some cases
 * again after that.
 */
static void client_send_(void *user_data)
{
	client_t *client = user_data;
	run_t *run = client->run;
	group_member_t *leader = group_leader(run->group);
	group_member_t *member = leader && random_true_(run, 80) ?
					 leader :
					 running_member_choose_(run);
	group_change_t *change =
		client->changes->pdata[client->changes->len - 1];
	int64_t now_ms = cb_clock_now_ms(run->group->clock);

	cb_timer_start(client->timer, random_in_range_(run, 5, 100));
	if (member && random_true_(run, 30))
		group_read(member);
	if (change->effect_index && !random_true_(run, 10)) {
		change = g_new0(group_change_t, 1);
		g_ptr_array_add(client->changes, change);
		client->is_waiting = FALSE;
	}
	if (!member || (client->is_waiting &&
			now_ms - client->sent_at_ms < CLIENT_TIMEOUT_MS))
		return;
	client->is_waiting = TRUE;
	client->sent_at_ms = now_ms;
	group_propose(member, change, change_done_, client);
}

static void member_restart_(void *user_data)
{
	restart_t *restart = user_data;

	group_crash(restart->member);
	disk_set_full(restart->member->disk, FALSE);
	group_start(restart->member);
}

static void member_restart_schedule_(run_t *run, group_member_t *member,
				     int64_t delay_ms)
{
	uint32_t i = (uint32_t)(member - run->group->members);

	cb_timer_start(run->restarts[i].timer, delay_ms);
}

static group_member_t *fault_target_choose_(run_t *run)
{
	group_member_t *leader = group_leader(run->group);

	return leader && random_true_(run, 50) ? leader :
						 running_member_choose_(run);
}

static void fault_crash_member_(run_t *run)
{
	group_member_t *member = fault_target_choose_(run);

	if (!member)
		return;
	group_crash(member);
	member_restart_schedule_(run, member, random_in_range_(run, 0, 5000));
}

static void fault_crash_all_(run_t *run)
{
	uint32_t i;

	for (i = 0; i < run->group->size; i++) {
		group_crash(&run->group->members[i]);
		member_restart_schedule_(run, &run->group->members[i],
					 random_in_range_(run, 0, 1000));
	}
}

static void fault_isolate_member_(run_t *run)
{
	group_member_t *member = fault_target_choose_(run);
	/*
	 * 0: only messages from the member are lost; 1: only messages to it;
	 * 2, 3: both.
	 */
	int64_t direction = random_in_range_(run, 0, 4);

	if (!member || cb_timer_is_armed(run->heal_partition_timer))
		return;
	group_isolate(member, direction != 0, direction != 1);
	cb_timer_start(run->heal_partition_timer,
		       random_true_(run, 20) ?
			       LONG_PARTITION_MS :
			       random_in_range_(run, 100, 5000));
}

static void partition_heal_(void *user_data)
{
	group_heal(((run_t *)user_data)->group);
}

static uint32_t voters_count_(run_t *run)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < run->group->size; i++)
		count += group_is_voter(run->group, &run->group->members[i]);
	return count;
}

/* Erases one voter's disk at a time, since a majority must keep its data. */
static void fault_replace_disk_(run_t *run)
{
	group_member_t *member = fault_target_choose_(run);

	if (run->blank_member || !member || voters_count_(run) < 3 ||
	    !group_is_voter(run->group, member))
		return;
	group_replace_disk(member);
	run->blank_member = member;
	run->has_next_fault = random_true_(run, 50);
	member_restart_schedule_(run, member, random_in_range_(run, 0, 3000));
}

static void member_join_(void *user_data)
{
	run_t *run = user_data;
	group_member_t *leader = group_leader(run->group);
	uint32_t i;

	cb_timer_start(run->join_timer, JOIN_INTERVAL_MS);
	for (i = 0; leader && i < run->group->size; i++) {
		group_member_t *member = &run->group->members[i];

		if (member->is_up &&
		    !cb_members_find(leader->replica->members, member->name))
			cb_replica_add_member(leader->replica, member->name,
					      member->address, NULL, NULL);
	}
}

static void restart_prepare_(run_t *run, group_member_t *member)
{
	restart_t *restart = &run->restarts[member - run->group->members];

	restart->member = member;
	restart->timer =
		cb_timer_new(run->group->clock, member_restart_, restart);
}

/*
 * Loses one voter's machine for good, while all others that run are voters; an
 * empty machine comes soon.
 */
static void fault_replace_machine_(run_t *run)
{
	group_member_t *member = fault_target_choose_(run);
	group_member_t *successor;

	if (!run->replaces_machines || run->blank_member || !member ||
	    run->group->size == GROUP_MAX_MEMBERS || voters_count_(run) < 3 ||
	    !group_is_voter(run->group, member))
		return;
	group_lose(member);
	successor = group_add(run->group);
	restart_prepare_(run, successor);
	run->replaced_machine_count++;
	run->blank_member = successor;
	run->has_next_fault = random_true_(run, 50);
	member_restart_schedule_(run, successor,
				 random_in_range_(run, 0, 3000));
}

static void fault_fill_disk_(run_t *run)
{
	group_member_t *member = fault_target_choose_(run);

	if (!member)
		return;
	disk_set_full(member->disk, TRUE);
	member_restart_schedule_(run, member, random_in_range_(run, 500, 4000));
}

static void fault_change_disk_speed_(run_t *run)
{
	group_member_t *member = running_member_choose_(run);

	if (member)
		disk_set_sync_ms(member->disk, random_true_(run, 50) ? 5 : 80);
}

static void fault_change_members_(run_t *run)
{
	group_member_t *leader = group_leader(run->group);
	group_member_t *member = running_member_choose_(run);

	if (!leader || !member || run->blank_member)
		return;
	if (!group_is_voter(run->group, member))
		cb_replica_add_member(leader->replica, member->name,
				      member->address, NULL, NULL);
	else if (voters_count_(run) > 3)
		cb_replica_remove_member(leader->replica, member->name, NULL,
					 NULL);
}

static void fault_hand_over_(run_t *run)
{
	group_member_t *leader = group_leader(run->group);

	if (leader)
		cb_replica_hand_over(leader->replica);
}

/*
 * Ends a disk replacement once the member is a voter again; in some cases
 * another fault follows at once.
 */
static void disk_replacement_check_(run_t *run)
{
	if (!run->blank_member ||
	    !group_is_voter(run->group, run->blank_member))
		return;
	run->blank_member = NULL;
	run->replaced_disk_count++;
	if (!run->has_next_fault)
		return;
	if (run->replaces_machines && random_true_(run, 50))
		fault_replace_machine_(run);
	else if (random_true_(run, 50))
		fault_replace_disk_(run);
	else
		fault_crash_member_(run);
}

static void fault_inject_(void *user_data)
{
	static void (*const faults[])(run_t *) = {
		fault_crash_member_,	fault_crash_member_,
		fault_crash_all_,	fault_isolate_member_,
		fault_isolate_member_,	fault_isolate_member_,
		fault_replace_disk_,	fault_replace_disk_,
		fault_fill_disk_,	fault_change_disk_speed_,
		fault_change_members_,	fault_change_members_,
		fault_hand_over_,	fault_replace_machine_,
		fault_replace_machine_,
	};
	run_t *run = user_data;

	cb_timer_start(run->fault_timer, random_in_range_(run, 100, 2500));
	group_check_logs(run->group);
	disk_replacement_check_(run);
	faults[random_in_range_(run, 0, G_N_ELEMENTS(faults))](run);
}

static void run_begin_(run_t *run, uint64_t seed)
{
	uint32_t i;

	run->random = g_rand_new_with_seed((uint32_t)seed + 1000000);
	run->group = group_new(seed, random_true_(run, 70) ? 3 : 5);
	group_add(run->group);
	run->group->max_delay_ms = (int32_t)random_in_range_(run, 0, 40);
	run->fault_timer = cb_timer_new(run->group->clock, fault_inject_, run);
	run->heal_partition_timer =
		cb_timer_new(run->group->clock, partition_heal_, run);
	run->join_timer = cb_timer_new(run->group->clock, member_join_, run);
	run->replaces_machines = random_true_(run, 50);
	if (run->replaces_machines) {
		run->group->min_voters = MIN_VOTERS;
		cb_timer_start(run->join_timer, JOIN_INTERVAL_MS);
	}
	for (i = 0; i < run->group->size; i++)
		restart_prepare_(run, &run->group->members[i]);
	for (i = 0; i < CLIENT_COUNT; i++) {
		client_t *client = &run->clients[i];

		client->run = run;
		client->changes = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(client->changes, g_new0(group_change_t, 1));
		client->timer =
			cb_timer_new(run->group->clock, client_send_, client);
		cb_timer_start(client->timer, 1000);
	}
	group_start_all(run->group);
	if (!group_wait_leader(run->group, RECOVERY_LIMIT_MS))
		group_violation(run->group, "no leader after the start");
	run->group->loss_per_mille = (int32_t)random_in_range_(run, 0, 100);
	run->group->repeat_per_mille = (int32_t)random_in_range_(run, 0, 50);
	cb_timer_start(run->fault_timer, 1000);
}

/* Waits until the member with the replaced disk is a voter again. */
static gboolean disk_replacement_wait_(run_t *run)
{
	int64_t end_ms = cb_clock_now_ms(run->group->clock) + RECOVERY_LIMIT_MS;

	while (run->blank_member &&
	       cb_clock_now_ms(run->group->clock) < end_ms) {
		if (group_is_voter(run->group, run->blank_member))
			run->blank_member = NULL;
		group_run(run->group, 10);
	}
	return !run->blank_member;
}

/*
 * Ends all faults.  The group must accept changes again and all members must
 * reach the same state.
 */
static void run_recover_(run_t *run)
{
	group_t *group = run->group;
	uint32_t i;

	cb_timer_stop(run->fault_timer);
	cb_timer_stop(run->heal_partition_timer);
	group_heal(group);
	group->loss_per_mille = 0;
	for (i = 0; i < group->size; i++) {
		cb_timer_stop(run->restarts[i].timer);
		disk_set_sync_ms(group->members[i].disk, 5);
		if (!group->members[i].is_gone &&
		    (!group->members[i].is_up || group->members[i].has_failed))
			member_restart_(&run->restarts[i]);
		disk_set_full(group->members[i].disk, FALSE);
	}
	if (!group_commit_one(group, RECOVERY_LIMIT_MS))
		group_violation(group, "no change accepted after the faults");
	for (i = 0; i < CLIENT_COUNT; i++)
		cb_timer_stop(run->clients[i].timer);
	if (!disk_replacement_wait_(run))
		group_violation(
			group,
			"a member with a replaced disk is not a voter again");
	if (!group_wait_equal(group, RECOVERY_LIMIT_MS))
		group_violation(group,
				"the members did not reach the same state");
	group_check_logs(group);
}

static void run_end_(run_t *run)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < CLIENT_COUNT; i++) {
		client_t *client = &run->clients[i];

		for (k = 0; k < client->changes->len; k++)
			group_check_change(run->group,
					   client->changes->pdata[k]);
		cb_timer_delete(client->timer);
	}
	for (i = 0; i < run->group->size; i++)
		cb_timer_delete(run->restarts[i].timer);
	cb_timer_delete(run->fault_timer);
	cb_timer_delete(run->heal_partition_timer);
	cb_timer_delete(run->join_timer);
}

static void run_free_(run_t *run)
{
	uint32_t i;

	group_delete(run->group);
	for (i = 0; i < CLIENT_COUNT; i++)
		g_ptr_array_unref(run->clients[i].changes);
	g_rand_free(run->random);
}

/*
 * Crashes, partitions, full, slow and replaced disks and membership changes
 * must lose no acknowledged change and must not make the logs differ.
 */
static void random_faults_break_no_guarantee(void)
{
	int64_t first_seed = support_environment_number("CB_FIRST_SEED", 1);
	int64_t run_count =
		support_environment_number("CB_SEEDS", DEFAULT_RUN_COUNT);
	uint64_t changes = 0;
	uint64_t replaced_disk_count = 0;
	uint64_t replaced_machine_count = 0;
	uint64_t reads = 0;
	int64_t installs = 0;
	int64_t elections = 0;
	int64_t seed;
	int64_t failed_run_count = 0;

	for (seed = first_seed; seed < first_seed + run_count; seed++) {
		run_t run = { 0 };

		run_begin_(&run, (uint64_t)seed);
		group_run(run.group,
			  random_in_range_(&run, FAULTS_MIN_MS, FAULTS_MAX_MS));
		run_recover_(&run);
		run_end_(&run);
		failed_run_count += group_has_no_violations(run.group) ? 0 : 1;
		changes += run.group->acknowledged_count;
		reads += run.group->read_count;
		replaced_disk_count += run.replaced_disk_count;
		replaced_machine_count += run.replaced_machine_count;
		installs += group_event_count(run.group, "snapshot_installed");
		elections += group_event_count(run.group, "election_begun");
		CU_ASSERT_TRUE(run.group->max_message_bytes < 1024 * 1024);
		run_free_(&run);
	}
	printf("    %" G_GINT64_FORMAT " runs from seed %" G_GINT64_FORMAT
	       ": %" G_GINT64_FORMAT " failed; %" G_GUINT64_FORMAT
	       " answers, %" G_GUINT64_FORMAT
	       " confirmed reads, %" G_GUINT64_FORMAT
	       " replaced disks or machines, %" G_GUINT64_FORMAT
	       " machines lost\n",
	       run_count, first_seed, failed_run_count, changes, reads,
	       replaced_disk_count, replaced_machine_count);
	printf("    %" G_GINT64_FORMAT " elections, %" G_GINT64_FORMAT
	       " snapshots installed\n",
	       elections, installs);
	CU_ASSERT_EQUAL(failed_run_count, 0);
	/* The runs are valid as a check only with events of every kind. */
	CU_ASSERT_TRUE(changes > 0 && reads > 0 && elections > 0);
	CU_ASSERT_TRUE(
		run_count < DEFAULT_RUN_COUNT ||
		(replaced_disk_count && replaced_machine_count && installs));
}

static CU_TestInfo tests[] = {
	{ "random_faults_break_no_guarantee",
	  random_faults_break_no_guarantee },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_seeds", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
