#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/replica.h"
#include "support_main.h"

/*
 * Three members in one main loop, with real files and the system clock.  The
 * durations are printed only, since they depend on the machine.
 */
#define MEMBER_COUNT 3
#define KEY_COUNT 100
#define VALUE_BYTES 400
#define CHANGE_COUNT 10000
#define MAX_IN_FLIGHT 64
#define TIMEOUT_US (20 * G_USEC_PER_SEC)

typedef struct fixture fixture_t;

typedef struct member {
	cb_transport_t transport;
	cb_machine_t machine;
	fixture_t *fixture;
	char name[8];
	char address[16];
	char *folder;
	cb_storage_t *storage;
	cb_replica_t *replica;
	char values[KEY_COUNT][VALUE_BYTES];
	uint64_t applied_index;
} member_t;

struct fixture {
	cb_clock_t *clock;
	GRand *random;
	member_t members[MEMBER_COUNT];
	uint32_t proposed_count;
	uint32_t committed_count;
	uint32_t failed_count;
};

typedef struct delivery {
	member_t *from;
	member_t *to;
	GBytes *message;
} delivery_t;

static gboolean message_deliver_(void *user_data)
{
	delivery_t *delivery = user_data;

	if (delivery->to->replica)
		cb_replica_receive(delivery->to->replica, delivery->from->name,
				   delivery->message);
	g_bytes_unref(delivery->message);
	g_free(delivery);
	return G_SOURCE_REMOVE;
}

static void message_send_(cb_transport_t *transport, const char *to,
			  const char *address, GBytes *message)
{
	member_t *from = (member_t *)transport;
	delivery_t *delivery = g_new0(delivery_t, 1);

	(void)to;
	delivery->from = from;
	delivery->to = &from->fixture->members[atoi(address)];
	delivery->message = g_bytes_ref(message);
	g_idle_add_full(G_PRIORITY_DEFAULT, message_deliver_, delivery, NULL);
}

static const cb_transport_vtable_t transport_vtable = { .send = message_send_ };

static member_t *machine_member_(cb_machine_t *machine)
{
	return (member_t *)((char *)machine - offsetof(member_t, machine));
}

static GBytes *machine_apply_(cb_machine_t *machine, uint64_t index,
			      GBytes *command)
{
	member_t *member = machine_member_(machine);
	uint32_t change_number;

	memcpy(&change_number, g_bytes_get_data(command, NULL),
	       sizeof(change_number));
	memcpy(member->values[change_number % KEY_COUNT],
	       g_bytes_get_data(command, NULL), VALUE_BYTES);
	member->applied_index = index;
	return NULL;
}

static GBytes *machine_snapshot_(cb_machine_t *machine)
{
	member_t *member = machine_member_(machine);

	return g_bytes_new(member->values, sizeof(member->values));
}

static gboolean machine_restore_(cb_machine_t *machine, uint64_t index,
				 GBytes *snapshot, GError **error)
{
	member_t *member = machine_member_(machine);

	(void)error;
	memcpy(member->values, g_bytes_get_data(snapshot, NULL),
	       sizeof(member->values));
	member->applied_index = index;
	return TRUE;
}

static const cb_machine_vtable_t machine_vtable = { .apply = machine_apply_,
						    .snapshot =
							    machine_snapshot_,
						    .restore =
							    machine_restore_ };

static void member_start_(member_t *member)
{
	cb_replica_member_t initial[MEMBER_COUNT];
	cb_replica_options_t options = { .name = member->name,
					 .address = member->address,
					 .initial_members = initial,
					 .initial_member_count = MEMBER_COUNT,
					 .snapshot_every_bytes = 32 * 1024 };
	uint32_t i;

	for (i = 0; i < MEMBER_COUNT; i++) {
		initial[i].name = member->fixture->members[i].name;
		initial[i].address = member->fixture->members[i].address;
	}
	memset(member->values, 0, sizeof(member->values));
	member->storage = cb_file_storage_new(member->folder);
	member->replica =
		cb_replica_new(&options, member->fixture->clock,
			       member->fixture->random, member->storage,
			       &member->transport, &member->machine, NULL);
	CU_ASSERT_TRUE(cb_replica_start(member->replica, NULL));
}

static void member_stop_(member_t *member)
{
	cb_replica_delete(g_steal_pointer(&member->replica));
	cb_storage_delete(g_steal_pointer(&member->storage));
}

static member_t *leader_find_(fixture_t *fixture)
{
	uint32_t i;

	for (i = 0; i < MEMBER_COUNT; i++)
		if (cb_replica_leads(fixture->members[i].replica) &&
		    cb_replica_is_current(fixture->members[i].replica))
			return &fixture->members[i];
	return NULL;
}

static member_t *leader_wait_(fixture_t *fixture)
{
	int64_t deadline_us = g_get_monotonic_time() + TIMEOUT_US;

	while (!leader_find_(fixture) && g_get_monotonic_time() < deadline_us)
		g_main_context_iteration(NULL, TRUE);
	return leader_find_(fixture);
}

static void change_done_(cb_replica_outcome_t outcome, uint64_t index,
			 GBytes *answer, void *user_data)
{
	fixture_t *fixture = user_data;

	(void)index;
	(void)answer;
	if (outcome == CB_REPLICA_COMMITTED)
		fixture->committed_count++;
	else
		fixture->failed_count++;
}

static void change_propose_(fixture_t *fixture)
{
	char text[VALUE_BYTES] = { 0 };
	member_t *leader = leader_find_(fixture);
	GBytes *command;

	if (!leader)
		return;
	memcpy(text, &fixture->proposed_count, sizeof(fixture->proposed_count));
	fixture->proposed_count++;
	command = g_bytes_new(text, sizeof(text));
	cb_replica_propose(leader->replica, command, change_done_, fixture);
	g_bytes_unref(command);
}

/* Keeps up to `max_in_flight` changes pending until all are committed. */
static void changes_commit_(fixture_t *fixture, uint32_t change_count,
			    uint32_t max_in_flight)
{
	int64_t deadline_us = g_get_monotonic_time() + TIMEOUT_US;

	while (fixture->committed_count < change_count &&
	       g_get_monotonic_time() < deadline_us) {
		while (fixture->proposed_count - fixture->committed_count -
				       fixture->failed_count <
			       max_in_flight &&
		       fixture->proposed_count - fixture->failed_count <
			       change_count)
			change_propose_(fixture);
		g_main_context_iteration(NULL, TRUE);
	}
}

/* Returns the size of a member's data files, in bytes. */
static uint64_t folder_size_(const member_t *member)
{
	static const char *const names[] = { "log", "snapshot", "log.new",
					     "snapshot.new" };
	uint64_t bytes = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(member->folder, names[i], NULL);
		GStatBuf status;

		if (!g_stat(path, &status))
			bytes += status.st_size;
		g_free(path);
	}
	return bytes;
}

static void fixture_begin_(fixture_t *fixture)
{
	uint32_t i;

	fixture->clock = cb_clock_new(NULL);
	fixture->random = g_rand_new_with_seed(1);
	for (i = 0; i < MEMBER_COUNT; i++) {
		member_t *member = &fixture->members[i];

		member->transport.vtable = &transport_vtable;
		member->machine.vtable = &machine_vtable;
		member->fixture = fixture;
		g_snprintf(member->name, sizeof(member->name), "m%u", i);
		g_snprintf(member->address, sizeof(member->address), "%u", i);
		member->folder = g_dir_make_tmp("cb-replica-XXXXXX", NULL);
	}
	for (i = 0; i < MEMBER_COUNT; i++)
		member_start_(&fixture->members[i]);
}

static void fixture_end_(fixture_t *fixture)
{
	static const char *const names[] = { "log", "snapshot", "lock" };
	uint32_t i;
	size_t k;

	for (i = 0; i < MEMBER_COUNT; i++) {
		member_t *member = &fixture->members[i];

		member_stop_(member);
		for (k = 0; k < G_N_ELEMENTS(names); k++) {
			char *path = g_build_filename(member->folder, names[k],
						      NULL);

			g_unlink(path);
			g_free(path);
		}
		g_rmdir(member->folder);
		g_free(member->folder);
	}
	while (g_main_context_iteration(NULL, FALSE))
		;
	cb_clock_delete(fixture->clock);
	g_rand_free(fixture->random);
	g_free(fixture);
}

/* Commits `change_count` changes; prints their rate and the fsyncs. */
static void changes_commit_and_print_(fixture_t *fixture, uint32_t change_count,
				      uint32_t max_in_flight)
{
	member_t *leader = leader_wait_(fixture);
	int64_t start_us = g_get_monotonic_time();
	uint64_t fsync_count;
	double duration_s;

	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		return;
	fsync_count = cb_file_storage_fsync_count(leader->storage);
	fixture->proposed_count = 0;
	fixture->committed_count = 0;
	fixture->failed_count = 0;
	changes_commit_(fixture, change_count, max_in_flight);
	duration_s =
		(double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
	fsync_count =
		cb_file_storage_fsync_count(leader->storage) - fsync_count;
	printf("    %u changes, %u at a time: %.0f a second, %.3f fsyncs a "
	       "change on the leader\n",
	       change_count, max_in_flight, change_count / duration_s,
	       (double)fsync_count / change_count);
	CU_ASSERT_EQUAL(fixture->committed_count, change_count);
}

/*
 * Snapshots keep the data folders small under many changes, and members that
 * restart from these files have all values.
 */
static void data_folders_stay_small_and_restore_all_values(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char expected[KEY_COUNT][VALUE_BYTES];
	member_t *leader;
	int64_t start_us;
	uint32_t i;

	fixture_begin_(fixture);
	changes_commit_and_print_(fixture, 200, 1);
	changes_commit_and_print_(fixture, CHANGE_COUNT, MAX_IN_FLIGHT);
	leader = leader_wait_(fixture);
	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		goto out;
	memcpy(expected, leader->values, sizeof(expected));
	for (i = 0; i < MEMBER_COUNT; i++)
		member_stop_(&fixture->members[i]);
	for (i = 0; i < MEMBER_COUNT; i++) {
		uint64_t bytes = folder_size_(&fixture->members[i]);

		printf("    data folder %u: %.2f times the live state\n", i,
		       (double)bytes / sizeof(expected));
		CU_ASSERT_TRUE(bytes < 4 * sizeof(expected));
	}
	start_us = g_get_monotonic_time();
	for (i = 0; i < MEMBER_COUNT; i++)
		member_start_(&fixture->members[i]);
	printf("    files of %u changes read by %u members in %.1f ms",
	       CHANGE_COUNT, MEMBER_COUNT,
	       (double)(g_get_monotonic_time() - start_us) / 1000);
	leader = leader_wait_(fixture);
	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		goto out;
	printf(", all ready in %.0f ms\n",
	       (double)(g_get_monotonic_time() - start_us) / 1000);
	CU_ASSERT_EQUAL(memcmp(expected, leader->values, sizeof(expected)), 0);
out:
	fixture_end_(fixture);
}

static CU_TestInfo tests[] = {
	{ "data_folders_stay_small_and_restore_all_values",
	  data_folders_stay_small_and_restore_all_values },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_files", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
