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

/* A data folder, its storage, and the results of the storage's calls. */
typedef struct fixture {
	char *folder;
	char *log_path;
	char *snapshot_path;
	cb_storage_t *storage;
	cb_storage_content_t content;
	GError *error; /* error of load or of the first failed call */
	/* Completed calls of the storage, including failed ones. */
	uint32_t completed_count;
	uint32_t failed_count;
} fixture_t;

static void fixture_begin_(fixture_t *fixture)
{
	*fixture = (fixture_t){ 0 };
	fixture->folder = g_dir_make_tmp("cb-storage-XXXXXX", NULL);
	fixture->log_path = g_build_filename(fixture->folder, "log", NULL);
	fixture->snapshot_path =
		g_build_filename(fixture->folder, "snapshot", NULL);
}

static void storage_close_(fixture_t *fixture)
{
	cb_storage_delete(fixture->storage);
	fixture->storage = NULL;
	while (g_main_context_iteration(NULL, FALSE))
		;
	cb_storage_content_clear(&fixture->content);
	fixture->content = (cb_storage_content_t){ 0 };
	g_clear_error(&fixture->error);
}

/*
 * Closes the storage, then opens and loads the folder again; `calls` NULL: with the
 * system's calls.
 */
static gboolean storage_open_with_calls_(fixture_t *fixture,
					 const cb_file_calls_t *calls)
{
	storage_close_(fixture);
	fixture->storage =
		cb_file_storage_new_with_calls(fixture->folder, calls);
	return fixture->storage->vtable->load(fixture->storage,
					      &fixture->content,
					      &fixture->error);
}

static gboolean storage_open_(fixture_t *fixture)
{
	return storage_open_with_calls_(fixture, NULL);
}

static void fixture_end_(fixture_t *fixture)
{
	static const char *const names[] = { "log", "snapshot", "lock",
					     "log.new", "snapshot.new" };
	size_t i;

	storage_close_(fixture);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(fixture->folder, names[i], NULL);

		g_unlink(path);
		g_free(path);
	}
	g_rmdir(fixture->folder);
	g_free(fixture->folder);
	g_free(fixture->log_path);
	g_free(fixture->snapshot_path);
}

/* Counts a completed call and keeps the first error. */
static void completed_call_record_(const GError *error, void *user_data)
{
	fixture_t *fixture = user_data;

	fixture->completed_count++;
	if (!error)
		return;
	fixture->failed_count++;
	if (!fixture->error)
		fixture->error = g_error_copy(error);
}

/* Runs the main loop until that many calls have completed. */
static void completions_wait_(fixture_t *fixture, uint32_t completed_count)
{
	while (fixture->completed_count < completed_count)
		g_main_context_iteration(NULL, TRUE);
}

static void vote_save_(fixture_t *fixture, uint64_t term, const char *disk_id)
{
	cb_vote_t vote = { .term = term,
			   .voted_for = (char *)"other",
			   .disk_id = (char *)disk_id };

	fixture->storage->vtable->save_vote(fixture->storage, &vote,
					    completed_call_record_, fixture);
}

static void record_append_(fixture_t *fixture, uint64_t index, uint64_t term,
			   const char *text)
{
	GBytes *data = g_bytes_new(text, strlen(text));
	cb_record_t *record = cb_record_new(index, term, 0, data);
	const cb_record_t *records[] = { record };

	fixture->storage->vtable->append(fixture->storage, records, 1,
					 completed_call_record_, fixture);
	cb_record_delete(record);
	g_bytes_unref(data);
}

static void snapshot_save_(fixture_t *fixture, uint64_t index, uint64_t term,
			   const char *text)
{
	cb_snapshot_t snapshot = { .index = index, .term = term };

	snapshot.members = g_bytes_new_static("members", 7);
	snapshot.data = g_bytes_new(text, strlen(text));
	fixture->storage->vtable->save_snapshot(fixture->storage, &snapshot,
						completed_call_record_,
						fixture);
	g_bytes_unref(snapshot.members);
	g_bytes_unref(snapshot.data);
}

/* Writes a vote and `count` records, each durable before the next. */
static void records_write_(fixture_t *fixture, uint32_t count)
{
	uint32_t i;

	CU_ASSERT_TRUE(storage_open_(fixture));
	fixture->completed_count = 0;
	vote_save_(fixture, 3, "disk");
	completions_wait_(fixture, 1);
	for (i = 1; i <= count; i++) {
		record_append_(fixture, i, 3, "some text of a record");
		completions_wait_(fixture, i + 1);
	}
}

static void reopened_folder_returns_stored_data(void)
{
	const cb_record_t *record;
	fixture_t fixture;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_TRUE(fixture.content.is_blank);
	records_write_(&fixture, 10);
	record_append_(&fixture, 8, 4, "another");
	completions_wait_(&fixture, 12);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_FALSE(fixture.content.is_blank);
	CU_ASSERT_EQUAL(fixture.content.vote.term, 3);
	CU_ASSERT_STRING_EQUAL(fixture.content.vote.disk_id, "disk");
	CU_ASSERT_STRING_EQUAL(fixture.content.vote.voted_for, "other");
	CU_ASSERT_EQUAL(fixture.content.records->len, 8);
	record = fixture.content.records->pdata[7];
	CU_ASSERT_EQUAL(record->term, 4);
	fixture_end_(&fixture);
}

static void snapshot_drops_covered_records(void)
{
	fixture_t fixture;

	fixture_begin_(&fixture);
	records_write_(&fixture, 10);
	snapshot_save_(&fixture, 7, 3, "state");
	record_append_(&fixture, 11, 3, "after");
	completions_wait_(&fixture, 13);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.snapshot.index, 7);
	CU_ASSERT_EQUAL(g_bytes_get_size(fixture.content.snapshot.data), 5);
	CU_ASSERT_EQUAL(fixture.content.records->len, 4);
	CU_ASSERT_EQUAL(fixture.content.vote.term, 3);
	/* The term differs at index 9, so the whole old log is dropped. */
	fixture.completed_count = 0;
	snapshot_save_(&fixture, 9, 5, "state");
	completions_wait_(&fixture, 1);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 0);
	fixture_end_(&fixture);
}

/* A crash between the two renames leaves a new snapshot with the old log. */
static void old_log_with_new_snapshot_is_read(void)
{
	fixture_t fixture;
	size_t size;
	char *old_log;

	fixture_begin_(&fixture);
	records_write_(&fixture, 10);
	g_file_get_contents(fixture.log_path, &old_log, &size, NULL);
	snapshot_save_(&fixture, 7, 3, "state");
	completions_wait_(&fixture, 12);
	storage_close_(&fixture);
	g_file_set_contents(fixture.log_path, old_log, (gssize)size, NULL);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 3);
	g_free(old_log);
	fixture_end_(&fixture);
}

/*
 * A crash can leave any part of the last record: only that record is lost,
 * and it can be appended again.
 */
static void incomplete_last_record_is_truncated(void)
{
	fixture_t fixture;
	size_t full_size;
	size_t truncated_size;
	size_t size;
	char *data;

	fixture_begin_(&fixture);
	records_write_(&fixture, 4);
	storage_close_(&fixture);
	g_file_get_contents(fixture.log_path, &data, &truncated_size, NULL);
	g_free(data);
	records_write_(&fixture, 0);
	fixture.completed_count = 0;
	record_append_(&fixture, 5, 3, "the last record, which is torn");
	completions_wait_(&fixture, 1);
	storage_close_(&fixture);
	g_file_get_contents(fixture.log_path, &data, &full_size, NULL);
	/* The last record: 48 bytes of header, 30 of data, 8 of digest. */
	truncated_size = full_size - 48 - 30 - 8;
	for (size = truncated_size; size < full_size; size++) {
		g_file_set_contents(fixture.log_path, data, (gssize)size, NULL);
		CU_ASSERT_TRUE(storage_open_(&fixture));
		CU_ASSERT_EQUAL(fixture.content.records->len, 4);
		fixture.completed_count = 0;
		record_append_(&fixture, 5, 4, "again");
		completions_wait_(&fixture, 1);
		CU_ASSERT_TRUE(storage_open_(&fixture));
		CU_ASSERT_EQUAL(fixture.content.records->len, 5);
	}
	g_free(data);
	fixture_end_(&fixture);
}

/* A sector of the last write that never reached the disk reads as zero. */
static void last_record_with_zero_sector_is_truncated(void)
{
	char text[2000];
	fixture_t fixture;
	size_t size;
	char *data;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	fixture_begin_(&fixture);
	records_write_(&fixture, 4);
	record_append_(&fixture, 5, 3, text);
	completions_wait_(&fixture, 6);
	storage_close_(&fixture);
	g_file_get_contents(fixture.log_path, &data, &size, NULL);
	memset(data + 1024, 0, 512);
	g_file_set_contents(fixture.log_path, data, (gssize)size, NULL);
	g_free(data);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 4);
	fixture_end_(&fixture);
}

/* Loading fails for each flipped byte; the error names file and offset. */
static void flipped_bytes_check_(fixture_t *fixture, const char *path)
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
		if (storage_open_(fixture)) {
			accepted++;
			continue;
		}
		if (fixture->error->code != CB_STORAGE_ERROR_CORRUPT ||
		    !strstr(fixture->error->message, path) ||
		    !strstr(fixture->error->message, "offset"))
			CU_FAIL("the error does not name file and offset");
	}
	CU_ASSERT_EQUAL(accepted, 0);
	storage_close_(fixture);
	g_file_set_contents(path, data, (gssize)size, NULL);
	g_free(data);
}

static void flipped_bytes_are_reported_as_corrupt(void)
{
	fixture_t fixture;

	fixture_begin_(&fixture);
	records_write_(&fixture, 6);
	snapshot_save_(&fixture, 2, 3, "the state of the machine");
	record_append_(&fixture, 7, 3, "the last one");
	completions_wait_(&fixture, 9);
	storage_close_(&fixture);
	flipped_bytes_check_(&fixture, fixture.log_path);
	flipped_bytes_check_(&fixture, fixture.snapshot_path);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, 5);
	fixture_end_(&fixture);
}

/* A write that fails at the file size limit loses no stored record. */
static void failed_write_keeps_stored_records(void)
{
	struct rlimit old_limit;
	struct rlimit limit;
	fixture_t fixture;
	uint32_t stored_count;
	uint32_t i;

	fixture_begin_(&fixture);
	records_write_(&fixture, 4);
	getrlimit(RLIMIT_FSIZE, &old_limit);
	limit = old_limit;
	limit.rlim_cur = 1000;
	signal(SIGXFSZ, SIG_IGN);
	setrlimit(RLIMIT_FSIZE, &limit);
	for (i = 5; i <= 40; i++) {
		record_append_(&fixture, i, 3, "some text of a record");
		completions_wait_(&fixture, i + 1);
	}
	setrlimit(RLIMIT_FSIZE, &old_limit);
	CU_ASSERT_TRUE(fixture.failed_count > 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.error);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.error->message, fixture.log_path));
	stored_count = 40 - fixture.failed_count;
	/* The storage stays failed after the limit is lifted. */
	record_append_(&fixture, 41, 3, "more");
	completions_wait_(&fixture, 42);
	CU_ASSERT_EQUAL(fixture.failed_count, 41 - stored_count);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_EQUAL(fixture.content.records->len, stored_count);
	fixture_end_(&fixture);
}

static void second_storage_on_a_folder_is_rejected(void)
{
	cb_storage_content_t content = { 0 };
	cb_storage_t *second;
	GError *error = NULL;
	fixture_t fixture;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	second = cb_file_storage_new(fixture.folder);
	CU_ASSERT_FALSE(second->vtable->load(second, &content, &error));
	CU_ASSERT_TRUE(g_error_matches(error, CB_STORAGE_ERROR,
				       CB_STORAGE_ERROR_LOCKED));
	g_clear_error(&error);
	cb_storage_delete(second);
	fixture_end_(&fixture);
}

/*
 * Calls made while a write is in progress wait for the next batch; all of
 * them complete when the storage is deleted.
 */
static void closing_completes_pending_calls(void)
{
	fixture_t fixture;
	uint32_t i;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	vote_save_(&fixture, 1, "disk");
	for (i = 1; i <= 100; i++)
		record_append_(&fixture, i, 1, "text");
	storage_close_(&fixture);
	CU_ASSERT_EQUAL(fixture.completed_count, 101);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	CU_ASSERT_FALSE(fixture.content.is_blank);
	fixture_end_(&fixture);
}

static void log_of_10000_records_is_read(void)
{
	fixture_t fixture;
	int64_t start_us;
	uint32_t i;

	fixture_begin_(&fixture);
	CU_ASSERT_TRUE(storage_open_(&fixture));
	vote_save_(&fixture, 1, "disk");
	for (i = 1; i <= 10000; i++)
		record_append_(&fixture, i, 1,
			       "a change of about sixty bytes, as "
			       "an operator makes them");
	completions_wait_(&fixture, 10001);
	storage_close_(&fixture);
	start_us = g_get_monotonic_time();
	CU_ASSERT_TRUE(storage_open_(&fixture));
	printf("    10000 records read in %.1f ms\n",
	       (double)(g_get_monotonic_time() - start_us) / 1000);
	CU_ASSERT_EQUAL(fixture.content.records->len, 10000);
	fixture_end_(&fixture);
}

/*
 * The number of writes still limited: they alternate between writing half of
 * the data and failing with ENOSPC; the last one fails.
 */
static int limited_writes_left;

static ssize_t limited_write_(int fd, const void *data, size_t size)
{
	if (limited_writes_left <= 0)
		return write(fd, data, size);
	limited_writes_left--;
	if (limited_writes_left % 2)
		return write(fd, data, size / 2);
	errno = ENOSPC;
	return -1;
}

/* Checks that no call has failed, and what the reopened folder contains. */
static void stored_content_check_(fixture_t *fixture, uint64_t snapshot_index,
				  uint32_t record_count)
{
	CU_ASSERT_EQUAL(fixture->failed_count, 0);
	CU_ASSERT_TRUE(storage_open_(fixture));
	CU_ASSERT_EQUAL(fixture->content.snapshot.index, snapshot_index);
	CU_ASSERT_EQUAL(fixture->content.records->len, record_count);
}

/*
 * Writes that fail on a full disk are retried until they are durable: no call
 * fails and no part of a failed write stays.  Snapshots are retried as a whole.
 */
static void writes_refused_by_full_disk_are_retried(void)
{
	static const cb_file_calls_t limited_calls = { limited_write_,
						       fdatasync };
	static const int limited_write_counts[] = { 1, 2, 3, 4 };
	fixture_t fixture;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limited_write_counts); i++) {
		fixture_begin_(&fixture);
		limited_writes_left = 0;
		CU_ASSERT_TRUE(
			storage_open_with_calls_(&fixture, &limited_calls));
		vote_save_(&fixture, 3, "disk");
		record_append_(&fixture, 1, 3, "before the disk was full");
		completions_wait_(&fixture, 2);
		limited_writes_left = limited_write_counts[i];
		record_append_(&fixture, 2, 3, "while the disk was full");
		record_append_(&fixture, 3, 3, "as well");
		completions_wait_(&fixture, 4);
		limited_writes_left = limited_write_counts[i];
		snapshot_save_(&fixture, 2, 3, "state");
		record_append_(&fixture, 4, 3, "after the snapshot");
		completions_wait_(&fixture, 6);
		stored_content_check_(&fixture, 2, 2);
		fixture_end_(&fixture);
	}
}

#define FULL_SNAPSHOT_BYTES 10000
#define FULL_US 450000

/* Whether nothing more can be written, and how often that was tried. */
static int is_disk_full;
static int refused_writes;

/* Writes nothing to a full disk, without an error. */
static ssize_t idle_write_(int fd, const void *data, size_t size)
{
	if (!g_atomic_int_get(&is_disk_full))
		return write(fd, data, size);
	/* A snapshot is begun, so that a part of it is there. */
	if (size > FULL_SNAPSHOT_BYTES / 2)
		return write(fd, data, size / 2);
	g_atomic_int_inc(&refused_writes);
	return 0;
}

/*
 * A write that writes nothing was tried again without a pause, and a snapshot that
 * could not be written took the room that was left.
 */
static void full_disk_is_left_alone_between_attempts(void)
{
	static const cb_file_calls_t idle_calls = { idle_write_, fdatasync };
	char *state = g_strnfill(FULL_SNAPSHOT_BYTES, 's');
	fixture_t fixture;
	char *new_path;

	fixture_begin_(&fixture);
	new_path = g_build_filename(fixture.folder, "snapshot.new", NULL);
	CU_ASSERT_TRUE(storage_open_with_calls_(&fixture, &idle_calls));
	vote_save_(&fixture, 3, "disk");
	record_append_(&fixture, 1, 3, "before the disk was full");
	completions_wait_(&fixture, 2);
	g_atomic_int_set(&is_disk_full, TRUE);
	snapshot_save_(&fixture, 1, 3, state);
	g_usleep(FULL_US);
	CU_ASSERT_TRUE(g_atomic_int_get(&refused_writes) > 1);
	CU_ASSERT_TRUE(g_atomic_int_get(&refused_writes) < 10);
	CU_ASSERT_FALSE(g_file_test(new_path, G_FILE_TEST_EXISTS));
	g_atomic_int_set(&is_disk_full, FALSE);
	record_append_(&fixture, 2, 3, "after the snapshot");
	completions_wait_(&fixture, 4);
	stored_content_check_(&fixture, 1, 1);
	fixture_end_(&fixture);
	g_free(new_path);
	g_free(state);
}

static CU_TestInfo tests[] = {
	{ "full_disk_is_left_alone_between_attempts",
	  full_disk_is_left_alone_between_attempts },
	{ "writes_refused_by_full_disk_are_retried",
	  writes_refused_by_full_disk_are_retried },
	{ "reopened_folder_returns_stored_data",
	  reopened_folder_returns_stored_data },
	{ "snapshot_drops_covered_records", snapshot_drops_covered_records },
	{ "old_log_with_new_snapshot_is_read",
	  old_log_with_new_snapshot_is_read },
	{ "incomplete_last_record_is_truncated",
	  incomplete_last_record_is_truncated },
	{ "last_record_with_zero_sector_is_truncated",
	  last_record_with_zero_sector_is_truncated },
	{ "flipped_bytes_are_reported_as_corrupt",
	  flipped_bytes_are_reported_as_corrupt },
	{ "failed_write_keeps_stored_records",
	  failed_write_keeps_stored_records },
	{ "second_storage_on_a_folder_is_rejected",
	  second_storage_on_a_folder_is_rejected },
	{ "closing_completes_pending_calls", closing_completes_pending_calls },
	{ "log_of_10000_records_is_read", log_of_10000_records_is_read },
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
