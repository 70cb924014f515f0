#include <gio/gio.h>

#include "currantbridge/storage.h"
#include "private/file_folder.h"
#include "private/replica_message.h"

/* How soon a full disk is tried again: well within an election. */
#define FULL_RETRY_US (100 * G_TIME_SPAN_MILLISECOND)

/*
 * A storage of files.  Its calls are gathered while a worker writes the
 * former ones, so that many share one fsync and the loop never waits.
 */
typedef enum job_kind {
	JOB_VOTE,
	JOB_RECORDS,
	JOB_SNAPSHOT
} job_kind_t;

typedef struct job {
	job_kind_t kind;
	cb_vote_t vote;
	GPtrArray *records;
	cb_snapshot_t snapshot;
	cb_storage_done_fn_t done;
	void *user_data;
} job_t;

typedef struct file_storage file_storage_t;

/* The jobs of one turn of the worker. */
typedef struct batch {
	file_storage_t *storage; /* NULL once it is gone */
	GPtrArray *jobs;
	GError *error;
	GMutex mutex;
	GCond written;
	gboolean is_written;
	gboolean is_cancelled; /* the storage closes */
} batch_t;

struct file_storage {
	cb_storage_t base;
	cb_file_folder_t *folder;
	GPtrArray *waiting; /* of job_t */
	batch_t *batch;	    /* at the worker, or NULL */
	GError *error;	    /* the first one; final */
	uint64_t syncs;
};

static void job_delete_(void *data)
{
	job_t *job = data;

	g_free(job->vote.voted_for);
	g_free(job->vote.disk_id);
	g_clear_pointer(&job->records, g_ptr_array_unref);
	g_clear_pointer(&job->snapshot.members, g_bytes_unref);
	g_clear_pointer(&job->snapshot.data, g_bytes_unref);
	g_free(job);
}

static void batch_delete_(void *data)
{
	batch_t *batch = data;

	g_ptr_array_unref(batch->jobs);
	g_clear_error(&batch->error);
	g_mutex_clear(&batch->mutex);
	g_cond_clear(&batch->written);
	g_free(batch);
}

/* Calls back every job, in order, with the same outcome. */
static void jobs_complete_(GPtrArray *jobs, const GError *error)
{
	uint32_t i;

	for (i = 0; i < jobs->len; i++) {
		job_t *job = jobs->pdata[i];

		job->done(error, job->user_data);
	}
}

static gboolean job_write_(cb_file_folder_t *folder, const job_t *job,
			   GError **error)
{
	switch (job->kind) {
	case JOB_VOTE:
		cb_file_folder_vote(folder, &job->vote);
		return TRUE;
	case JOB_RECORDS:
		cb_file_folder_append(folder, job->records);
		return TRUE;
	case JOB_SNAPSHOT:
		return cb_file_folder_save_snapshot(folder, &job->snapshot,
						    error);
	}
	g_assert_not_reached();
}

/*
 * Waits before a full disk is tried again; FALSE when the storage closes.
 * Only the worker waits: the loop goes on, and others lead meanwhile.
 */
static gboolean room_wait_(batch_t *batch)
{
	gint64 until_us = g_get_monotonic_time() + FULL_RETRY_US;
	gboolean goes_on;

	g_mutex_lock(&batch->mutex);
	while (!batch->is_cancelled &&
	       g_cond_wait_until(&batch->written, &batch->mutex, until_us))
		;
	goes_on = !batch->is_cancelled;
	g_mutex_unlock(&batch->mutex);
	return goes_on;
}

/* Writes one job, or what was gathered if there is none, once there is room. */
static gboolean write_(batch_t *batch, const job_t *job)
{
	cb_file_folder_t *folder = batch->storage->folder;
	gboolean is_good;

	for (;;) {
		is_good = job ? job_write_(folder, job, &batch->error) :
				cb_file_folder_sync(folder, &batch->error);
		if (is_good || !g_error_matches(batch->error, CB_STORAGE_ERROR,
						CB_STORAGE_ERROR_FULL))
			return is_good;
		if (!room_wait_(batch))
			return FALSE;
		g_clear_error(&batch->error);
	}
}

/* Runs in the worker thread. */
static void batch_write_(GTask *task, void *source, void *data,
			 GCancellable *cancellable)
{
	batch_t *batch = data;
	gboolean is_good = TRUE;
	uint32_t i;

	(void)source;
	(void)cancellable;
	for (i = 0; is_good && i < batch->jobs->len; i++)
		is_good = write_(batch, batch->jobs->pdata[i]);
	if (is_good)
		(void)write_(batch, NULL);
	g_mutex_lock(&batch->mutex);
	batch->is_written = TRUE;
	g_cond_signal(&batch->written);
	g_mutex_unlock(&batch->mutex);
	g_task_return_boolean(task, TRUE);
}

static void batch_begin_(file_storage_t *storage);

/* Back on the loop: completes a batch and begins the next. */
static void batch_done_(GObject *source, GAsyncResult *result, void *unused)
{
	batch_t *batch = g_task_get_task_data(G_TASK(result));
	file_storage_t *storage = batch->storage;
	GPtrArray *jobs;

	(void)source;
	(void)unused;
	if (!storage)
		return;
	storage->batch = NULL;
	storage->syncs = cb_file_folder_syncs(storage->folder);
	if (batch->error && !storage->error)
		storage->error = g_error_copy(batch->error);
	jobs = g_ptr_array_ref(batch->jobs);
	batch_begin_(storage);
	jobs_complete_(jobs, storage->error);
	g_ptr_array_unref(jobs);
}

/* Hands the waiting jobs to a worker, unless one is at work. */
static void batch_begin_(file_storage_t *storage)
{
	batch_t *batch;
	GTask *task;

	if (storage->batch || !storage->waiting->len)
		return;
	batch = g_new0(batch_t, 1);
	batch->storage = storage;
	batch->jobs = storage->waiting;
	g_mutex_init(&batch->mutex);
	g_cond_init(&batch->written);
	storage->waiting = g_ptr_array_new_with_free_func(job_delete_);
	storage->batch = batch;
	task = g_task_new(NULL, NULL, batch_done_, NULL);
	g_task_set_task_data(task, batch, batch_delete_);
	if (storage->error) {
		batch->error = g_error_copy(storage->error);
		batch->is_written = TRUE;
		g_task_return_boolean(task, TRUE);
	} else {
		g_task_run_in_thread(task, batch_write_);
	}
	g_object_unref(task);
}

static job_t *job_new_(job_kind_t kind, cb_storage_done_fn_t done,
		       void *user_data)
{
	job_t *job = g_new0(job_t, 1);

	job->kind = kind;
	job->done = done;
	job->user_data = user_data;
	return job;
}

static void job_add_(file_storage_t *storage, job_t *job)
{
	g_ptr_array_add(storage->waiting, job);
	batch_begin_(storage);
}

static gboolean file_load_(cb_storage_t *base, cb_storage_content_t *content,
			   GError **error)
{
	file_storage_t *storage = (file_storage_t *)base;

	return cb_file_folder_load(storage->folder, content, error);
}

static void file_save_vote_(cb_storage_t *base, const cb_vote_t *vote,
			    cb_storage_done_fn_t done, void *user_data)
{
	job_t *job = job_new_(JOB_VOTE, done, user_data);

	job->vote.term = vote->term;
	job->vote.voted_for = g_strdup(vote->voted_for);
	job->vote.disk_id = g_strdup(vote->disk_id);
	job_add_((file_storage_t *)base, job);
}

static void file_append_(cb_storage_t *base, const cb_record_t *const *records,
			 size_t count, cb_storage_done_fn_t done,
			 void *user_data)
{
	job_t *job = job_new_(JOB_RECORDS, done, user_data);
	size_t i;

	job->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cb_record_delete);
	for (i = 0; i < count; i++)
		g_ptr_array_add(job->records, cb_record_copy(records[i]));
	job_add_((file_storage_t *)base, job);
}

static void file_save_snapshot_(cb_storage_t *base,
				const cb_snapshot_t *snapshot,
				cb_storage_done_fn_t done, void *user_data)
{
	job_t *job = job_new_(JOB_SNAPSHOT, done, user_data);

	job->snapshot.index = snapshot->index;
	job->snapshot.term = snapshot->term;
	job->snapshot.members = g_bytes_ref(snapshot->members);
	job->snapshot.data = g_bytes_ref(snapshot->data);
	job_add_((file_storage_t *)base, job);
}

static void batch_wait_(batch_t *batch)
{
	g_mutex_lock(&batch->mutex);
	batch->is_cancelled = TRUE;
	g_cond_broadcast(&batch->written);
	while (!batch->is_written)
		g_cond_wait(&batch->written, &batch->mutex);
	g_mutex_unlock(&batch->mutex);
}

/* Waits for the worker; all calls that wait complete as cancelled. */
static void file_destroy_(cb_storage_t *base)
{
	file_storage_t *storage = (file_storage_t *)base;
	GError *cancelled = g_error_new(G_IO_ERROR, G_IO_ERROR_CANCELLED,
					"the storage is closed");

	if (storage->batch) {
		batch_wait_(storage->batch);
		storage->batch->storage = NULL;
		jobs_complete_(storage->batch->jobs, cancelled);
	}
	jobs_complete_(storage->waiting, cancelled);
	g_ptr_array_unref(storage->waiting);
	cb_file_folder_delete(storage->folder);
	g_clear_error(&storage->error);
	g_error_free(cancelled);
	g_free(storage);
}

static const cb_storage_vtable_t file_vtable = {
	.load = file_load_,
	.save_vote = file_save_vote_,
	.append = file_append_,
	.save_snapshot = file_save_snapshot_,
	.destroy = file_destroy_,
};

/*
 * Makes a storage of the files in `folder`, which is created if absent.  The
 * completions run in the thread-default main context of the caller.
 */
cb_storage_t *cb_file_storage_new(const char *folder)
{
	return cb_file_storage_new_with(folder, NULL);
}

cb_storage_t *cb_file_storage_new_with(const char *folder,
				       const cb_file_calls_t *calls)
{
	file_storage_t *storage = g_new0(file_storage_t, 1);

	storage->base.vtable = &file_vtable;
	storage->folder = cb_file_folder_new(folder, calls);
	storage->waiting = g_ptr_array_new_with_free_func(job_delete_);
	return &storage->base;
}

/*
 * Returns how many fsyncs a storage of files has made.  While calls are
 * under way the number may lag behind.
 */
uint64_t cb_file_storage_syncs(const cb_storage_t *storage)
{
	return ((const file_storage_t *)storage)->syncs;
}
