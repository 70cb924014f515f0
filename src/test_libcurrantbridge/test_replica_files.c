#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/replica.h"
#include "support_main.h"

/*
 * Three members on real files and the running clock, in one loop.  The times
 * are printed and not asserted.
 */
#define MEMBERS 3
#define KEYS 100
#define VALUE_BYTES 400
#define CHANGES 10000
#define OUTSTANDING 64
#define WAIT_US (20 * G_USEC_PER_SEC)

typedef struct files files_t;

typedef struct file_member {
	cb_transport_t transport;
	cb_machine_t machine;
	files_t *files;
	char name[8];
	char address[16];
	char *folder;
	cb_storage_t *storage;
	cb_replica_t *replica;
	char values[KEYS][VALUE_BYTES];
	uint64_t applied;
} file_member_t;

struct files {
	cb_clock_t *clock;
	GRand *random;
	file_member_t members[MEMBERS];
	uint32_t proposed;
	uint32_t committed;
	uint32_t refused;
};

typedef struct parcel {
	file_member_t *from;
	file_member_t *to;
	GBytes *message;
} parcel_t;

static gboolean deliver_(void *user_data)
{
	parcel_t *parcel = user_data;

	if (parcel->to->replica)
		cb_replica_receive(parcel->to->replica, parcel->from->name,
				   parcel->message);
	g_bytes_unref(parcel->message);
	g_free(parcel);
	return G_SOURCE_REMOVE;
}

static void send_(cb_transport_t *transport, const char *to,
		  const char *address, GBytes *message)
{
	file_member_t *from = (file_member_t *)transport;
	parcel_t *parcel = g_new0(parcel_t, 1);

	(void)to;
	parcel->from = from;
	parcel->to = &from->files->members[atoi(address)];
	parcel->message = g_bytes_ref(message);
	g_idle_add_full(G_PRIORITY_DEFAULT, deliver_, parcel, NULL);
}

static const cb_transport_vtable_t transport_vtable = { .send = send_ };

static file_member_t *member_of_(cb_machine_t *machine)
{
	return (file_member_t *)((char *)machine -
				 offsetof(file_member_t, machine));
}

static GBytes *apply_(cb_machine_t *machine, uint64_t index, GBytes *command)
{
	file_member_t *member = member_of_(machine);
	uint32_t number;

	memcpy(&number, g_bytes_get_data(command, NULL), sizeof(number));
	memcpy(member->values[number % KEYS], g_bytes_get_data(command, NULL),
	       VALUE_BYTES);
	member->applied = index;
	return NULL;
}

static GBytes *snapshot_(cb_machine_t *machine)
{
	file_member_t *member = member_of_(machine);

	return g_bytes_new(member->values, sizeof(member->values));
}

static gboolean restore_(cb_machine_t *machine, uint64_t index,
			 GBytes *snapshot, GError **error)
{
	file_member_t *member = member_of_(machine);

	(void)error;
	memcpy(member->values, g_bytes_get_data(snapshot, NULL),
	       sizeof(member->values));
	member->applied = index;
	return TRUE;
}

static const cb_machine_vtable_t machine_vtable = { .apply = apply_,
						    .snapshot = snapshot_,
						    .restore = restore_ };

static void member_start_(file_member_t *member)
{
	cb_replica_member_t initial[MEMBERS];
	cb_replica_options_t options = { .name = member->name,
					 .address = member->address,
					 .initial_members = initial,
					 .initial_member_count = MEMBERS,
					 .snapshot_every_bytes = 32 * 1024 };
	uint32_t i;

	for (i = 0; i < MEMBERS; i++) {
		initial[i].name = member->files->members[i].name;
		initial[i].address = member->files->members[i].address;
	}
	memset(member->values, 0, sizeof(member->values));
	member->storage = cb_file_storage_new(member->folder);
	member->replica =
		cb_replica_new(&options, member->files->clock,
			       member->files->random, member->storage,
			       &member->transport, &member->machine, NULL);
	CU_ASSERT_TRUE(cb_replica_start(member->replica, NULL));
}

static void member_stop_(file_member_t *member)
{
	cb_replica_delete(g_steal_pointer(&member->replica));
	cb_storage_delete(g_steal_pointer(&member->storage));
}

static file_member_t *leader_(files_t *files)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		if (cb_replica_leads(files->members[i].replica) &&
		    cb_replica_is_current(files->members[i].replica))
			return &files->members[i];
	return NULL;
}

static file_member_t *leader_wait_(files_t *files)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_US;

	while (!leader_(files) && g_get_monotonic_time() < end_us)
		g_main_context_iteration(NULL, TRUE);
	return leader_(files);
}

static void committed_(cb_replica_outcome_t outcome, uint64_t index,
		       GBytes *answer, void *user_data)
{
	files_t *files = user_data;

	(void)index;
	(void)answer;
	if (outcome == CB_REPLICA_COMMITTED)
		files->committed++;
	else
		files->refused++;
}

static void propose_(files_t *files)
{
	char text[VALUE_BYTES] = { 0 };
	file_member_t *leader = leader_(files);
	GBytes *command;

	if (!leader)
		return;
	memcpy(text, &files->proposed, sizeof(files->proposed));
	files->proposed++;
	command = g_bytes_new(text, sizeof(text));
	cb_replica_propose(leader->replica, command, committed_, files);
	g_bytes_unref(command);
}

static void load_(files_t *files, uint32_t changes, uint32_t outstanding)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_US;

	while (files->committed < changes && g_get_monotonic_time() < end_us) {
		while (files->proposed - files->committed - files->refused <
			       outstanding &&
		       files->proposed - files->refused < changes)
			propose_(files);
		g_main_context_iteration(NULL, TRUE);
	}
}

static uint64_t folder_bytes_(const file_member_t *member)
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

static void files_begin_(files_t *files)
{
	uint32_t i;

	files->clock = cb_clock_new(NULL);
	files->random = g_rand_new_with_seed(1);
	for (i = 0; i < MEMBERS; i++) {
		file_member_t *member = &files->members[i];

		member->transport.vtable = &transport_vtable;
		member->machine.vtable = &machine_vtable;
		member->files = files;
		g_snprintf(member->name, sizeof(member->name), "m%u", i);
		g_snprintf(member->address, sizeof(member->address), "%u", i);
		member->folder = g_dir_make_tmp("cb-replica-XXXXXX", NULL);
	}
	for (i = 0; i < MEMBERS; i++)
		member_start_(&files->members[i]);
}

static void files_end_(files_t *files)
{
	static const char *const names[] = { "log", "snapshot", "lock" };
	uint32_t i;
	size_t k;

	for (i = 0; i < MEMBERS; i++) {
		file_member_t *member = &files->members[i];

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
	cb_clock_delete(files->clock);
	g_rand_free(files->random);
	g_free(files);
}

/* Runs `changes` and prints what they took. */
static void load_and_print_(files_t *files, uint32_t changes,
			    uint32_t outstanding)
{
	file_member_t *leader = leader_wait_(files);
	int64_t start_us = g_get_monotonic_time();
	uint64_t syncs;
	double duration_s;

	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		return;
	syncs = cb_file_storage_fsync_count(leader->storage);
	files->proposed = 0;
	files->committed = 0;
	files->refused = 0;
	load_(files, changes, outstanding);
	duration_s =
		(double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
	syncs = cb_file_storage_fsync_count(leader->storage) - syncs;
	printf("    %u changes, %u at a time: %.0f a second, %.3f fsyncs a "
	       "change on the leader\n",
	       changes, outstanding, changes / duration_s,
	       (double)syncs / changes);
	CU_ASSERT_EQUAL(files->committed, changes);
}

static void files_stay_small_and_restart_is_fast(void)
{
	files_t *files = g_new0(files_t, 1);
	char expected[KEYS][VALUE_BYTES];
	file_member_t *leader;
	int64_t start_us;
	uint32_t i;

	files_begin_(files);
	load_and_print_(files, 200, 1);
	load_and_print_(files, CHANGES, OUTSTANDING);
	leader = leader_wait_(files);
	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		goto out;
	memcpy(expected, leader->values, sizeof(expected));
	for (i = 0; i < MEMBERS; i++)
		member_stop_(&files->members[i]);
	for (i = 0; i < MEMBERS; i++) {
		uint64_t bytes = folder_bytes_(&files->members[i]);

		printf("    data folder %u: %.2f times the live state\n", i,
		       (double)bytes / sizeof(expected));
		CU_ASSERT_TRUE(bytes < 4 * sizeof(expected));
	}
	start_us = g_get_monotonic_time();
	for (i = 0; i < MEMBERS; i++)
		member_start_(&files->members[i]);
	printf("    files of %u changes read by %u members in %.1f ms", CHANGES,
	       MEMBERS, (double)(g_get_monotonic_time() - start_us) / 1000);
	leader = leader_wait_(files);
	CU_ASSERT_PTR_NOT_NULL(leader);
	if (!leader)
		goto out;
	printf(", all ready in %.0f ms\n",
	       (double)(g_get_monotonic_time() - start_us) / 1000);
	CU_ASSERT_EQUAL(memcmp(expected, leader->values, sizeof(expected)), 0);
out:
	files_end_(files);
}

static CU_TestInfo tests[] = {
	{ "files_stay_small_and_restart_is_fast",
	  files_stay_small_and_restart_is_fast },
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
