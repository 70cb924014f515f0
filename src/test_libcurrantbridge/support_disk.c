#include "support_disk.h"

#include <gio/gio.h>

#include "private/replica_message.h"

/* One call of the storage that has not completed yet. */
typedef struct write {
	cb_vote_t vote;
	gboolean has_vote;
	GPtrArray *records;
	cb_snapshot_t snapshot;
	cb_storage_done_fn_t done;
	void *user_data;
} write_t;

struct disk {
	cb_storage_t storage;
	GRand *random;
	cb_timer_t *timer;
	GQueue pending_writes;	/* write_t * */
	uint32_t syncing_count; /* writes that the current sync covers */
	int32_t max_sync_ms;
	gboolean is_full;    /* if TRUE, all writes fail */
	uint64_t sync_count; /* number of completed syncs */
	/* The durable content. */
	cb_vote_t vote;
	cb_snapshot_t snapshot;
	GPtrArray *records;
};

static void vote_clear_(cb_vote_t *vote)
{
	g_clear_pointer(&vote->voted_for, g_free);
	g_clear_pointer(&vote->disk_id, g_free);
	vote->term = 0;
}

static cb_vote_t vote_copy_(const cb_vote_t *vote)
{
	return (cb_vote_t){ .term = vote->term,
			    .voted_for = g_strdup(vote->voted_for),
			    .disk_id = g_strdup(vote->disk_id) };
}

static void snapshot_clear_(cb_snapshot_t *snapshot)
{
	g_clear_pointer(&snapshot->members, g_bytes_unref);
	g_clear_pointer(&snapshot->data, g_bytes_unref);
	snapshot->index = 0;
	snapshot->term = 0;
}

static cb_snapshot_t snapshot_copy_(const cb_snapshot_t *snapshot)
{
	cb_snapshot_t copy = *snapshot;

	if (copy.members)
		g_bytes_ref(copy.members);
	if (copy.data)
		g_bytes_ref(copy.data);
	return copy;
}

static GPtrArray *records_new_(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)cb_record_delete);
}

static void write_delete_(void *data)
{
	write_t *write = data;

	vote_clear_(&write->vote);
	snapshot_clear_(&write->snapshot);
	if (write->records)
		g_ptr_array_unref(write->records);
	g_free(write);
}

/* Replaces the stored records from the index of `record` on. */
static void record_store_(disk_t *disk, const cb_record_t *record)
{
	const cb_record_t *first =
		disk->records->len ? disk->records->pdata[0] : NULL;

	if (first && record->index < first->index + disk->records->len)
		g_ptr_array_set_size(disk->records,
				     record->index - first->index);
	g_ptr_array_add(disk->records, cb_record_copy(record));
}

/* Stores a snapshot and drops the records that it covers. */
static void snapshot_store_(disk_t *disk, const cb_snapshot_t *snapshot)
{
	const cb_record_t *first =
		disk->records->len ? disk->records->pdata[0] : NULL;
	uint64_t count = 0;

	snapshot_clear_(&disk->snapshot);
	disk->snapshot = snapshot_copy_(snapshot);
	if (!first || first->index > snapshot->index)
		return;
	count = snapshot->index - first->index + 1;
	if (count <= disk->records->len) {
		const cb_record_t *snapshot_record =
			disk->records->pdata[count - 1];

		if (snapshot_record->term != snapshot->term)
			count = disk->records->len;
	}
	g_ptr_array_remove_range(disk->records, 0,
				 MIN(count, disk->records->len));
}

/* Makes a write durable with only the first `count` of its records. */
static void write_store_(disk_t *disk, const write_t *write, uint32_t count)
{
	uint32_t i;

	if (write->has_vote) {
		vote_clear_(&disk->vote);
		disk->vote = vote_copy_(&write->vote);
	}
	for (i = 0; write->records && i < MIN(count, write->records->len); i++)
		record_store_(disk, write->records->pdata[i]);
	if (write->snapshot.index)
		snapshot_store_(disk, &write->snapshot);
}

/* Starts a sync of all pending writes unless one is running. */
static void sync_start_(disk_t *disk)
{
	if (disk->syncing_count || !disk->pending_writes.length)
		return;
	disk->syncing_count = disk->pending_writes.length;
	cb_timer_start(disk->timer, g_rand_int_range(disk->random, 0,
						     disk->max_sync_ms + 1));
}

/* Called when a sync is finished; completes its writes. */
static void sync_complete_(void *user_data)
{
	disk_t *disk = user_data;
	GError *full_error =
		disk->is_full ? g_error_new(CB_STORAGE_ERROR,
					    CB_STORAGE_ERROR_IO, "disk full") :
				NULL;
	GQueue synced_writes = G_QUEUE_INIT;
	write_t *write;

	for (; disk->syncing_count; disk->syncing_count--)
		g_queue_push_tail(&synced_writes,
				  g_queue_pop_head(&disk->pending_writes));
	disk->sync_count++;
	while ((write = g_queue_pop_head(&synced_writes))) {
		if (!full_error)
			write_store_(disk, write, UINT32_MAX);
		write->done(full_error, write->user_data);
		write_delete_(write);
	}
	g_clear_error(&full_error);
	sync_start_(disk);
}

static write_t *write_add_(disk_t *disk, cb_storage_done_fn_t done,
			   void *user_data)
{
	write_t *write = g_new0(write_t, 1);

	write->done = done;
	write->user_data = user_data;
	g_queue_push_tail(&disk->pending_writes, write);
	return write;
}

static gboolean disk_load_(cb_storage_t *storage, cb_storage_content_t *content,
			   GError **error)
{
	disk_t *disk = (disk_t *)storage;
	uint32_t i;

	(void)error;
	content->is_blank = !disk->vote.disk_id;
	content->vote = vote_copy_(&disk->vote);
	content->snapshot = snapshot_copy_(&disk->snapshot);
	content->records = records_new_();
	for (i = 0; i < disk->records->len; i++)
		g_ptr_array_add(content->records,
				cb_record_copy(disk->records->pdata[i]));
	return TRUE;
}

static void disk_save_vote_(cb_storage_t *storage, const cb_vote_t *vote,
			    cb_storage_done_fn_t done, void *user_data)
{
	write_t *write = write_add_((disk_t *)storage, done, user_data);

	write->has_vote = TRUE;
	write->vote = vote_copy_(vote);
	sync_start_((disk_t *)storage);
}

static void disk_append_(cb_storage_t *storage,
			 const cb_record_t *const *records, size_t count,
			 cb_storage_done_fn_t done, void *user_data)
{
	write_t *write = write_add_((disk_t *)storage, done, user_data);
	size_t i;

	write->records = records_new_();
	for (i = 0; i < count; i++)
		g_ptr_array_add(write->records, cb_record_copy(records[i]));
	sync_start_((disk_t *)storage);
}

static void disk_save_snapshot_(cb_storage_t *storage,
				const cb_snapshot_t *snapshot,
				cb_storage_done_fn_t done, void *user_data)
{
	write_t *write = write_add_((disk_t *)storage, done, user_data);

	write->snapshot = snapshot_copy_(snapshot);
	sync_start_((disk_t *)storage);
}

static void disk_destroy_(cb_storage_t *storage)
{
	(void)storage;
}

static const cb_storage_vtable_t disk_vtable = {
	.load = disk_load_,
	.save_vote = disk_save_vote_,
	.append = disk_append_,
	.save_snapshot = disk_save_snapshot_,
	.destroy = disk_destroy_,
};

disk_t *disk_new(cb_clock_t *clock, GRand *random)
{
	disk_t *disk = g_new0(disk_t, 1);

	disk->storage.vtable = &disk_vtable;
	disk->random = random;
	disk->timer = cb_timer_new(clock, sync_complete_, disk);
	disk->max_sync_ms = 5;
	disk->records = records_new_();
	g_queue_init(&disk->pending_writes);
	return disk;
}

void disk_delete(disk_t *disk)
{
	disk_crash(disk);
	disk_erase(disk);
	g_ptr_array_unref(disk->records);
	cb_timer_delete(disk->timer);
	g_free(disk);
}

cb_storage_t *disk_storage(disk_t *disk)
{
	return &disk->storage;
}

/*
 * Called after the replica is deleted, so that completions have no effect.
 * The first `kept_count` writes become durable, and a random number of the
 * records of the next one.
 */
void disk_crash(disk_t *disk)
{
	GError *cancelled = g_error_new(G_IO_ERROR, G_IO_ERROR_CANCELLED, "-");
	int32_t kept_count =
		g_rand_int_range(disk->random, 0,
				 (int32_t)disk->pending_writes.length + 1);
	gboolean can_write = !disk->is_full;
	write_t *write;

	cb_timer_stop(disk->timer);
	disk->syncing_count = 0;
	while ((write = g_queue_pop_head(&disk->pending_writes))) {
		if (kept_count > 0 && can_write)
			write_store_(disk, write, UINT32_MAX);
		else if (kept_count == 0 && can_write && write->records)
			write_store_(disk, write,
				     (uint32_t)g_rand_int_range(
					     disk->random, 0,
					     (int32_t)write->records->len));
		kept_count--;
		write->done(cancelled, write->user_data);
		write_delete_(write);
	}
	g_error_free(cancelled);
}

void disk_erase(disk_t *disk)
{
	vote_clear_(&disk->vote);
	snapshot_clear_(&disk->snapshot);
	g_ptr_array_set_size(disk->records, 0);
}

void disk_set_full(disk_t *disk, gboolean is_full)
{
	disk->is_full = is_full;
}

void disk_set_sync_ms(disk_t *disk, int32_t max_sync_ms)
{
	disk->max_sync_ms = max_sync_ms;
}

uint64_t disk_bytes(const disk_t *disk)
{
	uint64_t bytes = 0;
	uint32_t i;

	if (disk->snapshot.data)
		bytes += g_bytes_get_size(disk->snapshot.data);
	for (i = 0; i < disk->records->len; i++) {
		const cb_record_t *record = disk->records->pdata[i];

		bytes += g_bytes_get_size(record->data);
	}
	return bytes;
}

uint64_t disk_sync_count(const disk_t *disk)
{
	return disk->sync_count;
}
