#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "currantbridge/storage.h"
#include "private/file_folder.h"
#include "private/replica_message.h"
#include "support_main.h"

/* One folder, its storage, and what its calls came to. */
typedef struct fixture {
	char *folder;
	char *log;
	char *snapshot;
	cb_storage_t *storage;
	cb_storage_content_t content;
	GError *error; /* of load, or of the first call that failed */
	uint32_t done;
	uint32_t failed;
} fixture_t;

static void fixture_begin_(fixture_t *fixture)
{
	*fixture = (fixture_t){ 0 };
	fixture->folder = g_dir_make_tmp("cb-storage-XXXXXX", NULL);
	fixture->log = g_build_filename(fixture->folder, "log", NULL);
	fixture->snapshot = g_build_filename(fixture->folder, "snapshot", NULL);
}

static void close_(fixture_t *fixture)
{
	cb_storage_delete(fixture->storage);
	fixture->storage = NULL;
	while (g_main_context_iteration(NULL, FALSE))
		;
	cb_storage_content_clear(&fixture->content);
	fixture->content = (cb_storage_content_t){ 0 };
	g_clear_error(&fixture->error);
}

static gboolean open_(fixture_t *fixture)
{
	close_(fixture);
	fixture->storage = cb_file_storage_new(fixture->folder);
	return fixture->storage->vtable->load(fixture->storage,
					      &fixture->content,
					      &fixture->error);
}

static void fixture_end_(fixture_t *fixture)
{
	static const char *const names[] = { "log", "snapshot", "lock",
					     "log.new", "snapshot.new" };
	size_t i;

	close_(fixture);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(fixture->folder, names[i], NULL);

		g_unlink(path);
		g_free(path);
	}
	g_rmdir(fixture->folder);
	g_free(fixture->folder);
	g_free(fixture->log);
	g_free(fixture->snapshot);
}

static void count_(const GError *error, void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->done++;
	if (!error)
		return;
	fixture->failed++;
	if (!fixture->error)
		fixture->error = g_error_copy(error);
}

static void wait_(fixture_t *fixture, uint32_t done)
{
	while (fixture->done < done)
		g_main_context_iteration(NULL, TRUE);
}

static void vote_(fixture_t *fixture, uint64_t term, const char *disk_id)
{
	cb_vote_t vote = { .term = term,
			   .voted_for = (char *)"other",
			   .disk_id = (char *)disk_id };

	fixture->storage->vtable->save_vote(fixture->storage, &vote, count_,
					    fixture);
}

static void append_(fixture_t *fixture, uint64_t index, uint64_t term,
		    const char *text)
{
	GBytes *data = g_bytes_new(text, strlen(text));
	cb_record_t *record = cb_record_new(index, term, 0, data);
	const cb_record_t *records[] = { record };

	fixture->storage->vtable->append(fixture->storage, records, 1, count_,
					 fixture);
	cb_record_delete(record);
	g_bytes_unref(data);
}

static void snapshot_(fixture_t *fixture, uint64_t index, uint64_t term,
		      const char *text)
{
	cb_snapshot_t snapshot = { .index = index, .term = term };

	snapshot.members = g_bytes_new_static("members", 7);
	snapshot.data = g_bytes_new(text, strlen(text));
	fixture->storage->vtable->save_snapshot(fixture->storage, &snapshot,
						count_, fixture);
	g_bytes_unref(snapshot.members);
	g_bytes_unref(snapshot.data);
}

/* Writes a vote and `count` records, each durable before the next. */
static void fill_(fixture_t *fixture, uint32_t count)
{
	uint32_t i;

	CU_ASSERT_TRUE(open_(fixture));
	fixture->done = 0;
	vote_(fixture, 3, "disk");
	wait_(fixture, 1);
	for (i = 1; i <= count; i++) {
		append_(fixture, i, 3, "some text of a record");
		wait_(fixture, i + 1);
	}
}

static void a_folder_keeps_what_was_stored(void)
{
	const cb_record_t *record;
	fixture_t fixture;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_TRUE(fixture.content.is_blank);
	fill_(&fixture, 10);
	append_(&fixture, 8, 4, "another");
	wait_(&fixture, 12);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_FALSE(fixture.content.is_blank);
	CU_ASSERT_EQUAL(fixture.content.vote.term, 3);
	CU_ASSERT_STRING_EQUAL(fixture.content.vote.disk_id, "disk");
	CU_ASSERT_STRING_EQUAL(fixture.content.vote.voted_for, "other");
	CU_ASSERT_EQUAL(fixture.content.records->len, 8);
	record = fixture.content.records->pdata[7];
	CU_ASSERT_EQUAL(record->term, 4);
	fixture_end_(&fixture);
}

static void a_snapshot_replaces_records(void)
{
	fixture_t fixture;

	fixture_begin_(&fixture);
	fill_(&fixture, 10);
	snapshot_(&fixture, 7, 3, "state");
	append_(&fixture, 11, 3, "after");
	wait_(&fixture, 13);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.snapshot.index, 7);
	CU_ASSERT_EQUAL(g_bytes_get_size(fixture.content.snapshot.data), 5);
	CU_ASSERT_EQUAL(fixture.content.records->len, 4);
	CU_ASSERT_EQUAL(fixture.content.vote.term, 3);
	/* One of another history: nothing of the old log may stay. */
	fixture.done = 0;
	snapshot_(&fixture, 9, 5, "state");
	wait_(&fixture, 1);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 0);
	fixture_end_(&fixture);
}

/* A crash between the two renames leaves the old log beside the snapshot. */
static void an_old_log_beside_a_snapshot_is_read(void)
{
	fixture_t fixture;
	size_t size;
	char *old;

	fixture_begin_(&fixture);
	fill_(&fixture, 10);
	g_file_get_contents(fixture.log, &old, &size, NULL);
	snapshot_(&fixture, 7, 3, "state");
	wait_(&fixture, 12);
	close_(&fixture);
	g_file_set_contents(fixture.log, old, (gssize)size, NULL);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 3);
	g_free(old);
	fixture_end_(&fixture);
}

/* Whatever length a crash leaves, only the last write may be missing. */
static void a_torn_tail_is_cut_off(void)
{
	fixture_t fixture;
	size_t whole;
	size_t less;
	size_t size;
	char *data;

	fixture_begin_(&fixture);
	fill_(&fixture, 4);
	close_(&fixture);
	g_file_get_contents(fixture.log, &data, &less, NULL);
	g_free(data);
	fill_(&fixture, 0);
	fixture.done = 0;
	append_(&fixture, 5, 3, "the last record, which is torn");
	wait_(&fixture, 1);
	close_(&fixture);
	g_file_get_contents(fixture.log, &data, &whole, NULL);
	less = whole - 48 - 30 - 8;
	for (size = less; size < whole; size++) {
		g_file_set_contents(fixture.log, data, (gssize)size, NULL);
		CU_ASSERT_TRUE(open_(&fixture));
		CU_ASSERT_EQUAL(fixture.content.records->len, 4);
		fixture.done = 0;
		append_(&fixture, 5, 4, "again");
		wait_(&fixture, 1);
		CU_ASSERT_TRUE(open_(&fixture));
		CU_ASSERT_EQUAL(fixture.content.records->len, 5);
	}
	g_free(data);
	fixture_end_(&fixture);
}

/* Sectors of the last write that never reached the disk read as zero. */
static void unwritten_sectors_are_cut_off(void)
{
	char text[2000];
	fixture_t fixture;
	size_t size;
	char *data;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	fixture_begin_(&fixture);
	fill_(&fixture, 4);
	append_(&fixture, 5, 3, text);
	wait_(&fixture, 6);
	close_(&fixture);
	g_file_get_contents(fixture.log, &data, &size, NULL);
	memset(data + 1024, 0, 512);
	g_file_set_contents(fixture.log, data, (gssize)size, NULL);
	g_free(data);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 4);
	fixture_end_(&fixture);
}

/* Every flipped byte of a file is refused, with its file and offset. */
static void flip_each_byte_(fixture_t *fixture, const char *path)
{
	uint32_t accepted = 0;
	size_t size;
	size_t i;
	char *data;

	g_file_get_contents(path, &data, &size, NULL);
	for (i = 0; i < size; i++) {
		data[i] = (char)(data[i] ^ 0x10);
		g_file_set_contents(path, data, (gssize)size, NULL);
		data[i] = (char)(data[i] ^ 0x10);
		if (open_(fixture)) {
			accepted++;
			continue;
		}
		if (fixture->error->code != CB_STORAGE_ERROR_CORRUPT ||
		    !strstr(fixture->error->message, path) ||
		    !strstr(fixture->error->message, "offset"))
			CU_FAIL("an error that does not name the place");
	}
	CU_ASSERT_EQUAL(accepted, 0);
	close_(fixture);
	g_file_set_contents(path, data, (gssize)size, NULL);
	g_free(data);
}

static void flipped_bytes_are_refused(void)
{
	fixture_t fixture;

	fixture_begin_(&fixture);
	fill_(&fixture, 6);
	snapshot_(&fixture, 2, 3, "the state of the machine");
	append_(&fixture, 7, 3, "the last one");
	wait_(&fixture, 9);
	close_(&fixture);
	flip_each_byte_(&fixture, fixture.log);
	flip_each_byte_(&fixture, fixture.snapshot);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 5);
	fixture_end_(&fixture);
}

/* A write that the system refuses half-way loses nothing that was stored. */
static void a_full_disk_keeps_what_was_stored(void)
{
	struct rlimit former;
	struct rlimit limit;
	fixture_t fixture;
	uint32_t stored;
	uint32_t i;

	fixture_begin_(&fixture);
	fill_(&fixture, 4);
	getrlimit(RLIMIT_FSIZE, &former);
	limit = former;
	limit.rlim_cur = 1000;
	signal(SIGXFSZ, SIG_IGN);
	setrlimit(RLIMIT_FSIZE, &limit);
	for (i = 5; i <= 40; i++) {
		append_(&fixture, i, 3, "some text of a record");
		wait_(&fixture, i + 1);
	}
	setrlimit(RLIMIT_FSIZE, &former);
	CU_ASSERT_TRUE(fixture.failed > 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.error);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.error->message, fixture.log));
	stored = 40 - fixture.failed;
	/* It stays failed though there is room again. */
	append_(&fixture, 41, 3, "more");
	wait_(&fixture, 42);
	CU_ASSERT_EQUAL(fixture.failed, 41 - stored);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, stored);
	fixture_end_(&fixture);
}

static void a_folder_has_one_user(void)
{
	cb_storage_content_t content = { 0 };
	cb_storage_t *second;
	GError *error = NULL;
	fixture_t fixture;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(open_(&fixture));
	second = cb_file_storage_new(fixture.folder);
	CU_ASSERT_FALSE(second->vtable->load(second, &content, &error));
	CU_ASSERT_TRUE(g_error_matches(error, CB_STORAGE_ERROR,
				       CB_STORAGE_ERROR_LOCKED));
	g_clear_error(&error);
	cb_storage_delete(second);
	fixture_end_(&fixture);
}

/* Calls that are made while a write is under way share the next fsync. */
static void calls_that_wait_end_with_the_storage(void)
{
	fixture_t fixture;
	uint32_t i;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(open_(&fixture));
	vote_(&fixture, 1, "disk");
	for (i = 1; i <= 100; i++)
		append_(&fixture, i, 1, "text");
	close_(&fixture);
	CU_ASSERT_EQUAL(fixture.done, 101);
	CU_ASSERT_TRUE(open_(&fixture));
	CU_ASSERT_FALSE(fixture.content.is_blank);
	fixture_end_(&fixture);
}

static void ten_thousand_records_reopen(void)
{
	fixture_t fixture;
	int64_t start_us;
	uint32_t i;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(open_(&fixture));
	vote_(&fixture, 1, "disk");
	for (i = 1; i <= 10000; i++)
		append_(&fixture, i, 1,
			"a change of about sixty bytes, as "
			"an operator makes them");
	wait_(&fixture, 10001);
	close_(&fixture);
	start_us = g_get_monotonic_time();
	CU_ASSERT_TRUE(open_(&fixture));
	printf("    10000 records read in %.1f ms\n",
	       (double)(g_get_monotonic_time() - start_us) / 1000);
	CU_ASSERT_EQUAL(fixture.content.records->len, 10000);
	fixture_end_(&fixture);
}

/* A disk that takes half of each write for so many, then none, then all. */
static int refusals_left;

static ssize_t full_write_(int fd, const void *data, size_t size)
{
	if (refusals_left <= 0)
		return write(fd, data, size);
	refusals_left--;
	if (refusals_left % 2)
		return write(fd, data, size / 2);
	errno = ENOSPC;
	return -1;
}

/*
 * What a full disk refuses is durable once there is room: no call fails, no
 * part of a refused write stays.  Snapshots are repeated as a whole.
 */
static void a_full_disk_is_waited_for(void)
{
	static const cb_file_calls_t calls = { full_write_, fdatasync };
	static const int refusals[] = { 1, 2, 3, 4 };
	fixture_t fixture;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		fixture_begin_(&fixture);
		refusals_left = 0;
		fixture.storage =
			cb_file_storage_new_with(fixture.folder, &calls);
		CU_ASSERT_TRUE(fixture.storage->vtable->load(fixture.storage,
							     &fixture.content,
							     NULL));
		vote_(&fixture, 3, "disk");
		append_(&fixture, 1, 3, "before the disk was full");
		wait_(&fixture, 2);
		refusals_left = refusals[i];
		append_(&fixture, 2, 3, "while it was full");
		append_(&fixture, 3, 3, "as well");
		wait_(&fixture, 4);
		refusals_left = refusals[i];
		snapshot_(&fixture, 2, 3, "state");
		append_(&fixture, 4, 3, "after the snapshot");
		wait_(&fixture, 6);
		CU_ASSERT_EQUAL(fixture.failed, 0);
		CU_ASSERT_TRUE(open_(&fixture));
		CU_ASSERT_EQUAL(fixture.content.snapshot.index, 2);
		CU_ASSERT_EQUAL(fixture.content.records->len, 2);
		fixture_end_(&fixture);
	}
}

static CU_TestInfo tests[] = {
	{ "a_full_disk_is_waited_for", a_full_disk_is_waited_for },
	{ "a_folder_keeps_what_was_stored", a_folder_keeps_what_was_stored },
	{ "a_snapshot_replaces_records", a_snapshot_replaces_records },
	{ "an_old_log_beside_a_snapshot_is_read",
	  an_old_log_beside_a_snapshot_is_read },
	{ "a_torn_tail_is_cut_off", a_torn_tail_is_cut_off },
	{ "unwritten_sectors_are_cut_off", unwritten_sectors_are_cut_off },
	{ "flipped_bytes_are_refused", flipped_bytes_are_refused },
	{ "a_full_disk_keeps_what_was_stored",
	  a_full_disk_keeps_what_was_stored },
	{ "a_folder_has_one_user", a_folder_has_one_user },
	{ "calls_that_wait_end_with_the_storage",
	  calls_that_wait_end_with_the_storage },
	{ "ten_thousand_records_reopen", ten_thousand_records_reopen },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "file_storage", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
