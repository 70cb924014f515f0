#include <errno.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "private/file_folder.h"
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

/*
 * The disk of each member: its folder, and the bytes that it still takes.  The
 * worker threads of the storages use them.
 */
static struct {
	char *folder;
	int64_t room_bytes;
} disks[MEMBER_COUNT];
static GMutex disks_lock;

/* Returns the index of the disk that an open file is on. */
static int disk_find_(int fd)
{
	char *link = g_strdup_printf("/proc/self/fd/%d", fd);
	char *path = g_file_read_link(link, NULL);
	int i;

	for (i = MEMBER_COUNT - 1; i >= 0; i--)
		if (path && g_str_has_prefix(path, disks[i].folder))
			break;
	g_free(path);
	g_free(link);
	g_assert(i >= 0);
	return i;
}

/* Writes what the disk has room for; fails if it has none. */
static ssize_t disk_write_(int fd, const void *data, size_t size)
{
	int i = disk_find_(fd);
	ssize_t written = -1;

	g_mutex_lock(&disks_lock);
	size = MIN(size, (size_t)disks[i].room_bytes);
	if (size)
		written = write(fd, data, size);
	if (written > 0)
		disks[i].room_bytes -= written;
	g_mutex_unlock(&disks_lock);
	if (!size)
		errno = ENOSPC;
	return written;
}

static void disk_set_room_(uint32_t member, int64_t room_bytes)
{
	g_mutex_lock(&disks_lock);
	disks[member].room_bytes = room_bytes;
	g_mutex_unlock(&disks_lock);
}

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
	static const cb_file_calls_t calls = { disk_write_, fdatasync };
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
	member->storage =
		cb_file_storage_new_with_calls(member->folder, &calls);
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
		disks[i].folder = member->folder;
		disk_set_room_(i, INT64_MAX);
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

/*
 * Proposes changes for a time.  Returns the longest time in ms without one that
 * was committed.
 */
static int64_t changes_commit_for_(fixture_t *fixture, int64_t duration_ms)
{
	int64_t start_ms = g_get_monotonic_time() / 1000;
	int64_t committed_ms = start_ms;
	int64_t longest_ms = 0;
	uint32_t committed = fixture->committed_count;
	int64_t now_ms;

	do {
		if (fixture->proposed_count - fixture->committed_count -
			    fixture->failed_count <
		    MAX_IN_FLIGHT)
			change_propose_(fixture);
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
		now_ms = g_get_monotonic_time() / 1000;
		if (fixture->committed_count != committed)
			committed_ms = now_ms;
		committed = fixture->committed_count;
		longest_ms = MAX(longest_ms, now_ms - committed_ms);
	} while (now_ms - start_ms < duration_ms);
	return longest_ms;
}

/* Returns whether all members have applied the same changes. */
static gboolean members_are_equal_(const fixture_t *fixture)
{
	const member_t *first = &fixture->members[0];
	uint32_t i;

	for (i = 1; i < MEMBER_COUNT; i++) {
		const member_t *member = &fixture->members[i];

		if (member->applied_index != first->applied_index ||
		    memcmp(member->values, first->values,
			   sizeof(first->values)) != 0)
			return FALSE;
	}
	return TRUE;
}

/* Waits until all members are equal; FALSE: they are not in time. */
static gboolean members_equal_wait_(const fixture_t *fixture)
{
	int64_t deadline_us = g_get_monotonic_time() + TIMEOUT_US;

	while (!members_are_equal_(fixture) &&
	       g_get_monotonic_time() < deadline_us)
		g_main_context_iteration(NULL, TRUE);
	return members_are_equal_(fixture);
}

/* Lets the disk of a member be full for a time, in the middle of a write. */
static int64_t disk_full_play_(fixture_t *fixture, uint32_t member,
			       int64_t duration_ms)
{
	int64_t longest_ms;

	/* Some fill up in a record, and some in a snapshot. */
	disk_set_room_(member,
		       g_rand_boolean(fixture->random) ?
			       g_rand_int_range(fixture->random, 0, 1000) :
			       g_rand_int_range(fixture->random, 0, 200000));
	longest_ms = changes_commit_for_(fixture, duration_ms);
	disk_set_room_(member, INT64_MAX);
	return longest_ms;
}

#define FULL_ROUNDS 12
#define FULL_MS 600
/* Changes must be acknowledged within this time. */
#define COMMIT_LIMIT_MS 4000

/*
 * Where the disks of members had been full one after the other, changes were
 * refused or stayed unanswered long after the last had room again.
 */
static void disks_full_in_turn_hold_up_no_change(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	int64_t longest_ms = 0;
	member_t *leader;
	uint32_t i;

	fixture_begin_(fixture);
	CU_ASSERT_PTR_NOT_NULL(leader_wait_(fixture));
	for (i = 0; i < FULL_ROUNDS; i++) {
		uint32_t member = i / 2 % MEMBER_COUNT;
		int64_t gap_ms;

		/* Every second time it is the leader's, if there is one. */
		leader = leader_find_(fixture);
		if (leader && i % 2)
			member = (uint32_t)atoi(leader->address);
		gap_ms = disk_full_play_(fixture, member, FULL_MS);
		longest_ms = MAX(longest_ms, gap_ms);
	}
	longest_ms = MAX(longest_ms, changes_commit_for_(fixture, FULL_MS));
	printf("    %u changes committed, %u not, longest time without %d ms\n",
	       fixture->committed_count, fixture->failed_count,
	       (int)longest_ms);
	CU_ASSERT_TRUE(longest_ms <= COMMIT_LIMIT_MS);
	CU_ASSERT_TRUE(members_equal_wait_(fixture));
	/* All of it is on the disks. */
	for (i = 0; i < MEMBER_COUNT; i++)
		member_stop_(&fixture->members[i]);
	for (i = 0; i < MEMBER_COUNT; i++)
		member_start_(&fixture->members[i]);
	leader = leader_wait_(fixture);
	CU_ASSERT_PTR_NOT_NULL(leader);
	CU_ASSERT_TRUE(members_equal_wait_(fixture));
	fixture_end_(fixture);
}

static CU_TestInfo tests[] = {
	{ "disks_full_in_turn_hold_up_no_change",
	  disks_full_in_turn_hold_up_no_change },
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
