#include <gio/gio.h>

#include "currantbridge/storage.h"
#include "private/file_folder.h"
#include "private/replica_message.h"

/* Interval of retries on a full disk; shorter than an election timeout. */
#define DISK_FULL_RETRY_US (100 * G_TIME_SPAN_MILLISECOND)

typedef enum job_kind {
	JOB_VOTE,
	JOB_RECORDS,
	JOB_SNAPSHOT
} job_kind_t;

/* One call of the storage; the fields in use depend on `kind`. */
typedef struct job {
	job_kind_t kind;
	cb_vote_t vote;
	GPtrArray *records; /* cb_record_t * */
	cb_snapshot_t snapshot;
	cb_storage_done_fn_t done;
	void *user_data;
} job_t;

typedef struct file_storage file_storage_t;

/* The jobs that one run of the worker thread writes. */
typedef struct batch {
	file_storage_t *storage; /* NULL once the storage is destroyed */
	GPtrArray *jobs;	 /* job_t * */
	GError *error;
	GMutex mutex;	     /* guards the two flags below */
	GCond state_changed; /* signalled when one of the flags is set */
	gboolean is_finished;
	gboolean is_cancelled; /* the storage is being destroyed */
} batch_t;

/*
 * A storage in files.  Calls are queued while a worker thread writes the
 * previous batch, so that many calls share one fsync and the main loop never
 * blocks.
 */
struct file_storage {
	cb_storage_t base;
	cb_file_folder_t *folder;
	GPtrArray *queued_jobs; /* job_t * */
	batch_t *running_batch; /* NULL: the worker is idle */
	GError *error;		/* the first write error; never cleared */
	uint64_t fsync_count;
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
	g_cond_clear(&batch->state_changed);
	g_free(batch);
}

/* Completes all jobs, in order, with the same result. */
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
		cb_file_folder_queue_vote(folder, &job->vote);
		return TRUE;
	case JOB_RECORDS:
		cb_file_folder_queue_records(folder, job->records);
		return TRUE;
	case JOB_SNAPSHOT:
		return cb_file_folder_save_snapshot(folder, &job->snapshot,
						    error);
	}
	g_assert_not_reached();
}

/*
 * Waits until the next retry on a full disk; FALSE when the storage is being
 * destroyed.  This blocks the worker only: the main loop keeps running, and
 * another member can become the leader.
 */
static gboolean disk_full_wait_(batch_t *batch)
{
	gint64 retry_at_us = g_get_monotonic_time() + DISK_FULL_RETRY_US;
	gboolean may_retry;

	g_mutex_lock(&batch->mutex);
	while (!batch->is_cancelled &&
	       g_cond_wait_until(&batch->state_changed, &batch->mutex,
				 retry_at_us))
		;
	may_retry = !batch->is_cancelled;
	g_mutex_unlock(&batch->mutex);
	return may_retry;
}

/*
 * Writes one job, or syncs the queued data when `job` is NULL.  Retries as
 * long as the disk is full.
 */
static gboolean job_write_retrying_(batch_t *batch, const job_t *job)
{
	cb_file_folder_t *folder = batch->storage->folder;
	gboolean is_written;

	for (;;) {
		is_written = job ? job_write_(folder, job, &batch->error) :
				   cb_file_folder_sync(folder, &batch->error);
		if (is_written ||
		    !g_error_matches(batch->error, CB_STORAGE_ERROR,
				     CB_STORAGE_ERROR_FULL))
			return is_written;
		if (!disk_full_wait_(batch))
			return FALSE;
		g_clear_error(&batch->error);
	}
}

/* Writes the jobs of a batch; runs in the worker thread. */
static void batch_run_(GTask *task, void *source, void *data,
		       GCancellable *cancellable)
{
	batch_t *batch = data;
	gboolean is_written = TRUE;
	uint32_t i;

	(void)source;
	(void)cancellable;
	for (i = 0; is_written && i < batch->jobs->len; i++)
		is_written = job_write_retrying_(batch, batch->jobs->pdata[i]);
	if (is_written)
		(void)job_write_retrying_(batch, NULL);
	g_mutex_lock(&batch->mutex);
	batch->is_finished = TRUE;
	g_cond_signal(&batch->state_changed);
	g_mutex_unlock(&batch->mutex);
	g_task_return_boolean(task, TRUE);
}

static void batch_start_(file_storage_t *storage);

/* Called on the main loop when a batch is finished; starts the next one. */
static void batch_complete_(GObject *source, GAsyncResult *result, void *unused)
{
	batch_t *batch = g_task_get_task_data(G_TASK(result));
	file_storage_t *storage = batch->storage;
	GPtrArray *jobs;

	(void)source;
	(void)unused;
	if (!storage)
		return;
	storage->running_batch = NULL;
	storage->fsync_count = cb_file_folder_fsync_count(storage->folder);
	if (batch->error && !storage->error)
		storage->error = g_error_copy(batch->error);
	jobs = g_ptr_array_ref(batch->jobs);
	batch_start_(storage);
	jobs_complete_(jobs, storage->error);
	g_ptr_array_unref(jobs);
}

/* Starts writing the queued jobs in a worker thread unless one is running. */
static void batch_start_(file_storage_t *storage)
{
	batch_t *batch;
	GTask *task;

	if (storage->running_batch || !storage->queued_jobs->len)
		return;
	batch = g_new0(batch_t, 1);
	batch->storage = storage;
	batch->jobs = storage->queued_jobs;
	g_mutex_init(&batch->mutex);
	g_cond_init(&batch->state_changed);
	storage->queued_jobs = g_ptr_array_new_with_free_func(job_delete_);
	storage->running_batch = batch;
	task = g_task_new(NULL, NULL, batch_complete_, NULL);
	g_task_set_task_data(task, batch, batch_delete_);
	if (storage->error) {
		batch->error = g_error_copy(storage->error);
		batch->is_finished = TRUE;
		g_task_return_boolean(task, TRUE);
	} else {
		g_task_run_in_thread(task, batch_run_);
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

static void job_queue_(file_storage_t *storage, job_t *job)
{
	g_ptr_array_add(storage->queued_jobs, job);
	batch_start_(storage);
}

static gboolean storage_load_(cb_storage_t *base, cb_storage_content_t *content,
			      GError **error)
{
	file_storage_t *storage = (file_storage_t *)base;

	return cb_file_folder_load(storage->folder, content, error);
}

static void storage_save_vote_(cb_storage_t *base, const cb_vote_t *vote,
			       cb_storage_done_fn_t done, void *user_data)
{
	job_t *job = job_new_(JOB_VOTE, done, user_data);

	job->vote.term = vote->term;
	job->vote.voted_for = g_strdup(vote->voted_for);
	job->vote.disk_id = g_strdup(vote->disk_id);
	job_queue_((file_storage_t *)base, job);
}

static void storage_append_(cb_storage_t *base,
			    const cb_record_t *const *records, size_t count,
			    cb_storage_done_fn_t done, void *user_data)
{
	job_t *job = job_new_(JOB_RECORDS, done, user_data);
	size_t i;

	job->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cb_record_delete);
	for (i = 0; i < count; i++)
		g_ptr_array_add(job->records, cb_record_copy(records[i]));
	job_queue_((file_storage_t *)base, job);
}

static void storage_save_snapshot_(cb_storage_t *base,
				   const cb_snapshot_t *snapshot,
				   cb_storage_done_fn_t done, void *user_data)
{
	job_t *job = job_new_(JOB_SNAPSHOT, done, user_data);

	job->snapshot.index = snapshot->index;
	job->snapshot.term = snapshot->term;
	job->snapshot.members = g_bytes_ref(snapshot->members);
	job->snapshot.data = g_bytes_ref(snapshot->data);
	job_queue_((file_storage_t *)base, job);
}

/* Cancels retries on a full disk and waits until the worker is finished. */
static void batch_cancel_and_wait_(batch_t *batch)
{
	g_mutex_lock(&batch->mutex);
	batch->is_cancelled = TRUE;
	g_cond_broadcast(&batch->state_changed);
	while (!batch->is_finished)
		g_cond_wait(&batch->state_changed, &batch->mutex);
	g_mutex_unlock(&batch->mutex);
}

/* Waits for the worker; all pending calls complete as cancelled. */
static void storage_destroy_(cb_storage_t *base)
{
	file_storage_t *storage = (file_storage_t *)base;
	GError *cancelled = g_error_new(G_IO_ERROR, G_IO_ERROR_CANCELLED,
					"the storage is closed");

	if (storage->running_batch) {
		batch_cancel_and_wait_(storage->running_batch);
		storage->running_batch->storage = NULL;
		jobs_complete_(storage->running_batch->jobs, cancelled);
	}
	jobs_complete_(storage->queued_jobs, cancelled);
	g_ptr_array_unref(storage->queued_jobs);
	cb_file_folder_delete(storage->folder);
	g_clear_error(&storage->error);
	g_error_free(cancelled);
	g_free(storage);
}

static const cb_storage_vtable_t file_vtable = {
	.load = storage_load_,
	.save_vote = storage_save_vote_,
	.append = storage_append_,
	.save_snapshot = storage_save_snapshot_,
	.destroy = storage_destroy_,
};

/*
 * Creates a storage in files of `folder`, which is created if absent.  Calls
 * complete in the thread-default main context of the caller.
 */
cb_storage_t *cb_file_storage_new(const char *folder)
{
	return cb_file_storage_new_with_calls(folder, NULL);
}

/* Like cb_file_storage_new(), with other system calls for tests. */
cb_storage_t *cb_file_storage_new_with_calls(const char *folder,
					     const cb_file_calls_t *calls)
{
	file_storage_t *storage = g_new0(file_storage_t, 1);

	storage->base.vtable = &file_vtable;
	storage->folder = cb_file_folder_new(folder, calls);
	storage->queued_jobs = g_ptr_array_new_with_free_func(job_delete_);
	return &storage->base;
}

/*
 * Returns the number of fsyncs that a file storage has made.  The fsyncs of
 * the batch being written are counted when the batch completes.
 */
uint64_t cb_file_storage_fsync_count(const cb_storage_t *storage)
{
	return ((const file_storage_t *)storage)->fsync_count;
}
