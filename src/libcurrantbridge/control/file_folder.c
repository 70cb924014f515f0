#include "private/file_folder.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "private/file_format.h"
#include "private/replica_message.h"

#define FILE_MODE 0640
#define FOLDER_MODE 0750

static const cb_file_calls_t system_calls = { write, fdatasync };

struct cb_file_folder {
	const cb_file_calls_t *calls;
	char *path;
	char *log_path;
	char *log_new_path;
	char *snapshot_path;
	char *snapshot_new_path;
	char *lock_path;
	int lock_fd;
	int log_fd;
	uint64_t log_size;	  /* bytes of the log that are durable */
	GByteArray *queued_bytes; /* encoded records for the next sync */
	/* Whether the log may end with a part of the queued bytes. */
	gboolean has_partial_write;
	uint64_t fsync_count;
	/* The content of the log, which is rewritten after a snapshot. */
	cb_vote_t vote;
	gboolean has_vote;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	GPtrArray *records; /* cb_record_t * */
};

/* Sets `error` from errno and returns FALSE. */
static gboolean io_error_set_(GError **error, const char *path,
			      const char *action)
{
	int code = errno;
	gboolean is_full = code == ENOSPC || code == EDQUOT;

	g_set_error(error, CB_STORAGE_ERROR,
		    is_full ? CB_STORAGE_ERROR_FULL : CB_STORAGE_ERROR_IO,
		    "%s: %s failed: %s", path, action, g_strerror(code));
	return FALSE;
}

/* Creates a handle of the folder at `path`; loading it opens the files. */
cb_file_folder_t *cb_file_folder_new(const char *path,
				     const cb_file_calls_t *calls)
{
	cb_file_folder_t *folder = g_new0(cb_file_folder_t, 1);

	folder->calls = calls ? calls : &system_calls;
	folder->path = g_strdup(path);
	folder->log_path = g_build_filename(path, "log", NULL);
	folder->log_new_path = g_build_filename(path, "log.new", NULL);
	folder->snapshot_path = g_build_filename(path, "snapshot", NULL);
	folder->snapshot_new_path =
		g_build_filename(path, "snapshot.new", NULL);
	folder->lock_path = g_build_filename(path, "lock", NULL);
	folder->lock_fd = -1;
	folder->log_fd = -1;
	folder->queued_bytes = g_byte_array_new();
	folder->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cb_record_delete);
	return folder;
}

/* Closes the files of a folder and frees its handle; NULL is allowed. */
void cb_file_folder_delete(cb_file_folder_t *folder)
{
	if (!folder)
		return;
	if (folder->log_fd >= 0)
		close(folder->log_fd);
	if (folder->lock_fd >= 0)
		close(folder->lock_fd);
	g_byte_array_unref(folder->queued_bytes);
	g_ptr_array_unref(folder->records);
	g_free(folder->vote.voted_for);
	g_free(folder->vote.disk_id);
	g_free(folder->path);
	g_free(folder->log_path);
	g_free(folder->log_new_path);
	g_free(folder->snapshot_path);
	g_free(folder->snapshot_new_path);
	g_free(folder->lock_path);
	g_free(folder);
}

static gboolean file_write_all_(const cb_file_folder_t *folder, int fd,
				const char *path, const void *data, size_t size,
				GError **error)
{
	const char *unwritten = data;

	while (size) {
		ssize_t written = folder->calls->write(fd, unwritten, size);

		if (written < 0 && errno == EINTR)
			continue;
		/* Some full disks refuse a write without an error. */
		if (!written)
			errno = ENOSPC;
		if (written <= 0)
			return io_error_set_(error, path, "writing");
		unwritten += written;
		size -= written;
	}
	return TRUE;
}

static gboolean file_sync_(cb_file_folder_t *folder, int fd, const char *path,
			   GError **error)
{
	folder->fsync_count++;
	if (folder->calls->fdatasync(fd) < 0)
		return io_error_set_(error, path, "fsync");
	return TRUE;
}

/* Makes the names of created and renamed files durable. */
static gboolean folder_sync_(cb_file_folder_t *folder, GError **error)
{
	int fd = open(folder->path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	gboolean is_synced;

	if (fd < 0)
		return io_error_set_(error, folder->path, "opening");
	folder->fsync_count++;
	is_synced = fsync(fd) == 0;
	if (!is_synced)
		io_error_set_(error, folder->path, "fsync");
	close(fd);
	return is_synced;
}

/* Writes a file at `new_path` and renames it to `path` once it is durable. */
static gboolean file_replace_(cb_file_folder_t *folder, const char *new_path,
			      const char *path, const void *data, size_t size,
			      GError **error)
{
	int fd = open(new_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		      FILE_MODE);
	gboolean is_written;

	if (fd < 0)
		return io_error_set_(error, new_path, "opening");
	is_written = file_write_all_(folder, fd, new_path, data, size, error) &&
		     file_sync_(folder, fd, new_path, error);
	close(fd);
	if (!is_written) {
		/* A part of the file would keep a full disk full. */
		g_unlink(new_path);
		return FALSE;
	}
	if (rename(new_path, path) < 0)
		return io_error_set_(error, path, "renaming");
	return folder_sync_(folder, error);
}

static gboolean folder_lock_(cb_file_folder_t *folder, GError **error)
{
	if (g_mkdir_with_parents(folder->path, FOLDER_MODE) < 0)
		return io_error_set_(error, folder->path, "creating");
	folder->lock_fd = open(folder->lock_path, O_RDWR | O_CREAT | O_CLOEXEC,
			       FILE_MODE);
	if (folder->lock_fd < 0)
		return io_error_set_(error, folder->lock_path, "opening");
	if (flock(folder->lock_fd, LOCK_EX | LOCK_NB) < 0) {
		g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_LOCKED,
			    "%s: another process uses this folder",
			    folder->path);
		return FALSE;
	}
	return TRUE;
}

/* Reads a file; sets `data` to NULL when the file does not exist. */
static gboolean file_read_(const char *path, char **data, size_t *size,
			   GError **error)
{
	GError *read_error = NULL;

	*data = NULL;
	*size = 0;
	if (g_file_get_contents(path, data, size, &read_error))
		return TRUE;
	if (g_error_matches(read_error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
		g_error_free(read_error);
		return TRUE;
	}
	g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_IO, "%s",
		    read_error->message);
	g_error_free(read_error);
	return FALSE;
}

static void vote_set_(cb_file_folder_t *folder, uint64_t term,
		      const char *voted_for, const char *disk_id)
{
	char *old_voted_for = folder->vote.voted_for;
	char *old_disk_id = folder->vote.disk_id;

	folder->has_vote = TRUE;
	folder->vote.term = term;
	folder->vote.voted_for = g_strdup(voted_for ? voted_for : "");
	folder->vote.disk_id = g_strdup(disk_id ? disk_id : "");
	g_free(old_voted_for);
	g_free(old_disk_id);
}

/* Decodes a vote record, whose data is "DISK_ID\0VOTED_FOR\0". */
static gboolean vote_decode_(cb_file_folder_t *folder,
			     const cb_file_record_t *record)
{
	const char *end = record->data + record->size;
	const char *disk_end = memchr(record->data, '\0', record->size);

	if (!disk_end || disk_end + 1 >= end || end[-1])
		return FALSE;
	vote_set_(folder, record->term, disk_end + 1, record->data);
	return TRUE;
}

static uint64_t records_last_index_(const cb_file_folder_t *folder)
{
	const cb_record_t *last;

	if (!folder->records->len)
		return 0;
	last = folder->records->pdata[folder->records->len - 1];
	return last->index;
}

/* Replaces the records from the index of `record` on by `record`. */
static void records_replace_from_(cb_file_folder_t *folder, cb_record_t *record)
{
	GPtrArray *records = folder->records;
	const cb_record_t *first = records->len ? records->pdata[0] : NULL;

	if (first && record->index <= records_last_index_(folder))
		g_ptr_array_set_size(records,
				     record->index <= first->index ?
					     0 :
					     record->index - first->index);
	g_ptr_array_add(records, record);
}

/* Adds one record of the log file to the content in memory. */
static gboolean log_record_load_(const cb_file_record_t *record,
				 const char **reason, void *user_data)
{
	cb_file_folder_t *folder = user_data;
	GBytes *data;

	if (record->kind == CB_FILE_KIND_VOTE) {
		*reason = "the vote is malformed";
		return vote_decode_(folder, record);
	}
	*reason = "a record is missing before this one";
	if (folder->records->len &&
	    record->index > records_last_index_(folder) + 1)
		return FALSE;
	data = g_bytes_new(record->data, record->size);
	records_replace_from_(folder, cb_record_new(record->index, record->term,
						    record->kind, data));
	g_bytes_unref(data);
	return TRUE;
}

/*
 * Drops the records that the snapshot covers, or all records when the term at
 * the index of the snapshot differs from the snapshot's.
 */
static void records_drop_covered_(cb_file_folder_t *folder)
{
	GPtrArray *records = folder->records;
	const cb_record_t *first = records->len ? records->pdata[0] : NULL;
	const cb_record_t *snapshot_record;
	uint64_t count;

	if (!first || first->index > folder->snapshot_index)
		return;
	count = folder->snapshot_index - first->index + 1;
	if (count > records->len) {
		g_ptr_array_set_size(records, 0);
		return;
	}
	snapshot_record = records->pdata[count - 1];
	if (snapshot_record->term != folder->snapshot_term)
		count = records->len;
	g_ptr_array_remove_range(records, 0, count);
}

static gboolean snapshot_load_(cb_file_folder_t *folder,
			       cb_storage_content_t *content, GError **error)
{
	gboolean is_read = TRUE;
	size_t size;
	char *data;

	if (!file_read_(folder->snapshot_path, &data, &size, error))
		return FALSE;
	if (data)
		is_read = cb_file_snapshot_decode(folder->snapshot_path, data,
						  size, &content->snapshot,
						  error);
	folder->snapshot_index = content->snapshot.index;
	folder->snapshot_term = content->snapshot.term;
	g_free(data);
	return is_read;
}

/* Opens the log for appending and truncates it to its valid part. */
static gboolean log_open_(cb_file_folder_t *folder, size_t size,
			  size_t valid_size, GError **error)
{
	folder->log_fd =
		open(folder->log_path,
		     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
	if (folder->log_fd < 0)
		return io_error_set_(error, folder->log_path, "opening");
	if (valid_size < size && ftruncate(folder->log_fd, valid_size) < 0)
		return io_error_set_(error, folder->log_path, "truncating");
	folder->log_size = valid_size;
	if (!valid_size) {
		if (!file_write_all_(folder, folder->log_fd, folder->log_path,
				     CB_LOG_MAGIC, CB_FILE_MAGIC_BYTES, error))
			return FALSE;
		folder->log_size = CB_FILE_MAGIC_BYTES;
	}
	return file_sync_(folder, folder->log_fd, folder->log_path, error) &&
	       folder_sync_(folder, error);
}

/* Checks that the log continues where the snapshot ends. */
static gboolean log_check_snapshot_(const cb_file_folder_t *folder,
				    GError **error)
{
	const cb_record_t *first =
		folder->records->len ? folder->records->pdata[0] : NULL;

	if (folder->snapshot_index && !folder->has_vote) {
		g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_CORRUPT,
			    "%s: offset 0: a snapshot exists, but the log "
			    "contains no vote",
			    folder->log_path);
		return FALSE;
	}
	if (first && first->index != folder->snapshot_index + 1) {
		g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_CORRUPT,
			    "%s: offset %d: the first record has index "
			    "%" G_GUINT64_FORMAT
			    ", but the snapshot ends at %" G_GUINT64_FORMAT,
			    folder->log_path, CB_FILE_MAGIC_BYTES, first->index,
			    folder->snapshot_index);
		return FALSE;
	}
	return TRUE;
}

static void content_fill_(const cb_file_folder_t *folder,
			  cb_storage_content_t *content)
{
	uint32_t i;

	content->is_blank = !folder->has_vote;
	content->vote.term = folder->vote.term;
	content->vote.voted_for = g_strdup(folder->vote.voted_for);
	content->vote.disk_id = g_strdup(folder->vote.disk_id);
	content->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cb_record_delete);
	for (i = 0; i < folder->records->len; i++)
		g_ptr_array_add(content->records,
				cb_record_copy(folder->records->pdata[i]));
}

/*
 * Locks the folder, which is created if absent, and reads it.  An incomplete
 * last write, as a crash leaves it, is truncated.
 */
gboolean cb_file_folder_load(cb_file_folder_t *folder,
			     cb_storage_content_t *content, GError **error)
{
	gboolean is_read = FALSE;
	char *data = NULL;
	size_t valid_size;
	size_t size;

	if (!folder_lock_(folder, error))
		goto out;
	/* Remove new files that were not yet renamed before a crash. */
	g_unlink(folder->log_new_path);
	g_unlink(folder->snapshot_new_path);
	if (!snapshot_load_(folder, content, error) ||
	    !file_read_(folder->log_path, &data, &size, error))
		goto out;
	if (!cb_file_log_scan(folder->log_path, data, size, log_record_load_,
			      folder, &valid_size, error))
		goto out;
	records_drop_covered_(folder);
	if (!log_check_snapshot_(folder, error) ||
	    !log_open_(folder, size, valid_size, error))
		goto out;
	content_fill_(folder, content);
	is_read = TRUE;
out:
	g_free(data);
	if (!is_read)
		cb_storage_content_clear(content);
	return is_read;
}

static void vote_encode_(GByteArray *out, uint64_t batch_offset,
			 const cb_vote_t *vote)
{
	GByteArray *data = g_byte_array_new();
	cb_file_record_t record = { .kind = CB_FILE_KIND_VOTE,
				    .term = vote->term };
	const char *disk_id = vote->disk_id ? vote->disk_id : "";
	const char *voted_for = vote->voted_for ? vote->voted_for : "";

	g_byte_array_append(data, (const uint8_t *)disk_id,
			    strlen(disk_id) + 1);
	g_byte_array_append(data, (const uint8_t *)voted_for,
			    strlen(voted_for) + 1);
	record.data = (const char *)data->data;
	record.size = data->len;
	cb_file_record_encode(out, batch_offset, &record);
	g_byte_array_unref(data);
}

static void record_encode_(GByteArray *out, uint64_t batch_offset,
			   const cb_record_t *record)
{
	size_t size;
	cb_file_record_t encoded = {
		.kind = record->kind,
		.index = record->index,
		.term = record->term,
		.data = g_bytes_get_data(record->data, &size),
	};

	encoded.size = (uint32_t)size;
	cb_file_record_encode(out, batch_offset, &encoded);
}

/* Queues a vote for the next sync. */
void cb_file_folder_queue_vote(cb_file_folder_t *folder, const cb_vote_t *vote)
{
	vote_set_(folder, vote->term, vote->voted_for, vote->disk_id);
	vote_encode_(folder->queued_bytes, folder->log_size, vote);
}

/* Queues records for the next sync. */
void cb_file_folder_queue_records(cb_file_folder_t *folder,
				  const GPtrArray *records)
{
	uint32_t i;

	for (i = 0; i < records->len; i++) {
		record_encode_(folder->queued_bytes, folder->log_size,
			       records->pdata[i]);
		records_replace_from_(folder,
				      cb_record_copy(records->pdata[i]));
	}
}

/* Makes the queued data durable, with one write and one fsync. */
gboolean cb_file_folder_sync(cb_file_folder_t *folder, GError **error)
{
	GByteArray *queued_bytes = folder->queued_bytes;

	if (!queued_bytes->len)
		return TRUE;
	/* A failed write may have left a part of its data in the log. */
	if (folder->has_partial_write &&
	    ftruncate(folder->log_fd, (off_t)folder->log_size) < 0)
		return io_error_set_(error, folder->log_path, "truncating");
	folder->has_partial_write = TRUE;
	if (!file_write_all_(folder, folder->log_fd, folder->log_path,
			     queued_bytes->data, queued_bytes->len, error) ||
	    !file_sync_(folder, folder->log_fd, folder->log_path, error))
		return FALSE;
	folder->has_partial_write = FALSE;
	folder->log_size += queued_bytes->len;
	g_byte_array_set_size(queued_bytes, 0);
	return TRUE;
}

/* Rewrites the log with the vote and the records after the snapshot. */
static gboolean log_rewrite_(cb_file_folder_t *folder, GError **error)
{
	GByteArray *out = g_byte_array_new();
	gboolean is_written;
	uint32_t i;

	g_byte_array_append(out, (const uint8_t *)CB_LOG_MAGIC,
			    CB_FILE_MAGIC_BYTES);
	vote_encode_(out, CB_FILE_MAGIC_BYTES, &folder->vote);
	for (i = 0; i < folder->records->len; i++)
		record_encode_(out, CB_FILE_MAGIC_BYTES,
			       folder->records->pdata[i]);
	is_written =
		file_replace_(folder, folder->log_new_path, folder->log_path,
			      out->data, out->len, error);
	if (is_written) {
		close(folder->log_fd);
		folder->log_fd =
			open(folder->log_path, O_WRONLY | O_APPEND | O_CLOEXEC);
		folder->log_size = out->len;
		folder->has_partial_write = FALSE;
		if (folder->log_fd < 0)
			is_written = io_error_set_(error, folder->log_path,
						   "opening");
	}
	g_byte_array_unref(out);
	return is_written;
}

/* Replaces the snapshot, then drops the records that it covers. */
gboolean cb_file_folder_save_snapshot(cb_file_folder_t *folder,
				      const cb_snapshot_t *snapshot,
				      GError **error)
{
	GBytes *encoded;
	gboolean is_written;

	if (!cb_file_folder_sync(folder, error))
		return FALSE;
	encoded = cb_file_snapshot_encode(snapshot);
	is_written = file_replace_(folder, folder->snapshot_new_path,
				   folder->snapshot_path,
				   g_bytes_get_data(encoded, NULL),
				   g_bytes_get_size(encoded), error);
	g_bytes_unref(encoded);
	if (!is_written)
		return FALSE;
	folder->snapshot_index = snapshot->index;
	folder->snapshot_term = snapshot->term;
	records_drop_covered_(folder);
	return log_rewrite_(folder, error);
}

/* Returns the number of fsyncs made on files and on the folder. */
uint64_t cb_file_folder_fsync_count(const cb_file_folder_t *folder)
{
	return folder->fsync_count;
}
