#include <string.h>

#include "support_network.h"

#define SYNC_MS 1

struct support_disk {
	cb_storage_t storage;
	cb_clock_t *clock;
	cb_timer_t *timer;
	GQueue waiting; /* of disk_done_t */
	gboolean is_used;
	cb_vote_t vote;
	cb_snapshot_t snapshot;
	GPtrArray *records;
};

typedef struct disk_done {
	cb_storage_done_fn_t done;
	void *user_data;
} disk_done_t;

static void record_delete_(void *data)
{
	cb_record_t *record = data;

	g_clear_pointer(&record->data, g_bytes_unref);
	g_free(record);
}

static void *record_copy_(const void *data, void *unused)
{
	const cb_record_t *record = data;
	cb_record_t *copy = g_memdup2(record, sizeof(*record));

	(void)unused;
	if (copy->data)
		g_bytes_ref(copy->data);
	return copy;
}

static void snapshot_copy_(cb_snapshot_t *to, const cb_snapshot_t *from)
{
	*to = *from;
	if (to->members)
		g_bytes_ref(to->members);
	if (to->data)
		g_bytes_ref(to->data);
}

static void done_later_(support_disk_t *disk, cb_storage_done_fn_t done,
			void *user_data)
{
	disk_done_t *waiting = g_new0(disk_done_t, 1);

	waiting->done = done;
	waiting->user_data = user_data;
	disk->is_used = TRUE;
	g_queue_push_tail(&disk->waiting, waiting);
	if (!cb_timer_is_armed(disk->timer))
		cb_timer_start(disk->timer, SYNC_MS);
}

static void timer_fired_(void *user_data)
{
	support_disk_t *disk = user_data;
	unsigned int count = disk->waiting.length;

	while (count-- > 0 && disk->waiting.length) {
		disk_done_t *waiting = g_queue_pop_head(&disk->waiting);

		if (waiting->done)
			waiting->done(NULL, waiting->user_data);
		g_free(waiting);
	}
	if (disk->waiting.length && !cb_timer_is_armed(disk->timer))
		cb_timer_start(disk->timer, SYNC_MS);
}

static gboolean disk_load_(cb_storage_t *storage, cb_storage_content_t *content,
			   GError **error)
{
	support_disk_t *disk = (support_disk_t *)storage;

	(void)error;
	memset(content, 0, sizeof(*content));
	content->is_blank = !disk->is_used;
	content->vote.term = disk->vote.term;
	content->vote.voted_for = g_strdup(disk->vote.voted_for);
	content->vote.disk_id = g_strdup(disk->vote.disk_id);
	snapshot_copy_(&content->snapshot, &disk->snapshot);
	content->records = g_ptr_array_copy(disk->records, record_copy_, NULL);
	g_ptr_array_set_free_func(content->records, record_delete_);
	return TRUE;
}

static void disk_save_vote_(cb_storage_t *storage, const cb_vote_t *vote,
			    cb_storage_done_fn_t done, void *user_data)
{
	support_disk_t *disk = (support_disk_t *)storage;
	cb_vote_t old = disk->vote;

	disk->vote.term = vote->term;
	disk->vote.voted_for = g_strdup(vote->voted_for);
	disk->vote.disk_id = g_strdup(vote->disk_id);
	g_free(old.voted_for);
	g_free(old.disk_id);
	done_later_(disk, done, user_data);
}

static void disk_append_(cb_storage_t *storage,
			 const cb_record_t *const *records, size_t count,
			 cb_storage_done_fn_t done, void *user_data)
{
	support_disk_t *disk = (support_disk_t *)storage;
	size_t i;

	while (count && disk->records->len) {
		cb_record_t *last = g_ptr_array_index(disk->records,
						      disk->records->len - 1);

		if (last->index < records[0]->index)
			break;
		g_ptr_array_set_size(disk->records,
				     (int)disk->records->len - 1);
	}
	for (i = 0; i < count; i++)
		g_ptr_array_add(disk->records, record_copy_(records[i], NULL));
	done_later_(disk, done, user_data);
}

static void disk_save_snapshot_(cb_storage_t *storage,
				const cb_snapshot_t *snapshot,
				cb_storage_done_fn_t done, void *user_data)
{
	support_disk_t *disk = (support_disk_t *)storage;
	cb_snapshot_t old = disk->snapshot;

	snapshot_copy_(&disk->snapshot, snapshot);
	g_clear_pointer(&old.members, g_bytes_unref);
	g_clear_pointer(&old.data, g_bytes_unref);
	while (disk->records->len) {
		cb_record_t *first = g_ptr_array_index(disk->records, 0);

		if (first->index > snapshot->index)
			break;
		g_ptr_array_remove_index(disk->records, 0);
	}
	done_later_(disk, done, user_data);
}

static void disk_keep_(cb_storage_t *storage)
{
	support_disk_crash((support_disk_t *)storage);
}

static const cb_storage_vtable_t disk_vtable = {
	.load = disk_load_,
	.save_vote = disk_save_vote_,
	.append = disk_append_,
	.save_snapshot = disk_save_snapshot_,
	.destroy = disk_keep_,
};

/* Makes a blank storage whose writes are durable after 1 ms of the clock. */
support_disk_t *support_disk_new(cb_clock_t *clock)
{
	support_disk_t *disk = g_new0(support_disk_t, 1);

	disk->storage.vtable = &disk_vtable;
	disk->clock = clock;
	disk->timer = cb_timer_new(clock, timer_fired_, disk);
	g_queue_init(&disk->waiting);
	disk->records = g_ptr_array_new_with_free_func(record_delete_);
	return disk;
}

/* Deletes the storage and its content. */
void support_disk_delete(support_disk_t *disk)
{
	support_disk_crash(disk);
	cb_timer_delete(disk->timer);
	g_free(disk->vote.voted_for);
	g_free(disk->vote.disk_id);
	g_clear_pointer(&disk->snapshot.members, g_bytes_unref);
	g_clear_pointer(&disk->snapshot.data, g_bytes_unref);
	g_ptr_array_unref(disk->records);
	g_free(disk);
}

/* Returns the storage, for as long as the disk lives. */
cb_storage_t *support_disk_storage(support_disk_t *disk)
{
	return &disk->storage;
}

/* Drops the completions that wait; what was written stays. */
void support_disk_crash(support_disk_t *disk)
{
	g_queue_clear_full(&disk->waiting, g_free);
	cb_timer_stop(disk->timer);
}
