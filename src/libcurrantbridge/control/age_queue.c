#include "private/age_queue.h"

typedef struct entry {
	GList link; /* link in cb_age_queue.order; its data is this entry */
	char *name;
	int64_t at_ms;
} entry_t;

struct cb_age_queue {
	GHashTable *entries; /* name to entry_t */
	GQueue order;	     /* entry_t *, the oldest first */
};

static void entry_free_(void *data)
{
	entry_t *entry = data;

	g_free(entry->name);
	g_free(entry);
}

/* Creates an empty queue. */
cb_age_queue_t *cb_age_queue_new(void)
{
	cb_age_queue_t *queue = g_new0(cb_age_queue_t, 1);

	queue->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       entry_free_);
	g_queue_init(&queue->order);
	return queue;
}

/* Deletes a queue; NULL is allowed. */
void cb_age_queue_delete(cb_age_queue_t *queue)
{
	if (!queue)
		return;
	g_hash_table_unref(queue->entries);
	g_free(queue);
}

/* Adds a name as the newest; one that is in the queue moves to its end. */
void cb_age_queue_add(cb_age_queue_t *queue, const char *name, int64_t at_ms)
{
	entry_t *entry = g_new0(entry_t, 1);

	cb_age_queue_remove(queue, name);
	entry->link.data = entry;
	entry->name = g_strdup(name);
	entry->at_ms = at_ms;
	g_hash_table_insert(queue->entries, entry->name, entry);
	g_queue_push_tail_link(&queue->order, &entry->link);
}

/* Removes a name, if it is in the queue. */
void cb_age_queue_remove(cb_age_queue_t *queue, const char *name)
{
	entry_t *entry = g_hash_table_lookup(queue->entries, name);

	if (!entry)
		return;
	g_queue_unlink(&queue->order, &entry->link);
	g_hash_table_remove(queue->entries, name);
}

/* Returns the number of names in the queue. */
unsigned int cb_age_queue_count(const cb_age_queue_t *queue)
{
	return queue->order.length;
}

/*
 * Returns the oldest name and sets `at_ms` to the time when it was added;
 * returns NULL if the queue is empty.
 */
const char *cb_age_queue_oldest(const cb_age_queue_t *queue, int64_t *at_ms)
{
	const entry_t *entry;

	if (!queue->order.head)
		return NULL;
	entry = queue->order.head->data;
	*at_ms = entry->at_ms;
	return entry->name;
}

/* Calls `fn` for each name, the oldest first. */
void cb_age_queue_foreach(const cb_age_queue_t *queue,
			  void (*fn)(const char *name, int64_t at_ms,
				     void *user_data),
			  void *user_data)
{
	const GList *link;

	for (link = queue->order.head; link; link = link->next) {
		const entry_t *entry = link->data;

		fn(entry->name, entry->at_ms, user_data);
	}
}
