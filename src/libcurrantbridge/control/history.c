#include "private/history.h"

typedef struct entry {
	GList order_link;
	GList tombstone_link;
	char *name;
	cb_item_kind_t kind;
	uint64_t revision;
	gboolean is_removed;
} entry_t;

struct cb_change_history {
	GHashTable *entries; /* the set of entry_t, by kind and name */
	GQueue order;	     /* all entries by revision, the lowest first */
	GQueue tombstones;   /* removed entries by revision, the lowest first */
	unsigned int max_tombstones;
	/* Every change after this revision that entry instances need is recorded. */
	uint64_t floor;
	/* Revision of the last change that is not of a server's record. */
	uint64_t entry_revision;
};

static guint entry_hash_(const void *data)
{
	const entry_t *entry = data;

	return g_str_hash(entry->name) + entry->kind;
}

static gboolean entry_equal_(const void *a, const void *b)
{
	const entry_t *left = a;
	const entry_t *right = b;

	return left->kind == right->kind &&
	       g_str_equal(left->name, right->name);
}

static void entry_free_(void *data)
{
	entry_t *entry = data;

	g_free(entry->name);
	g_free(entry);
}

/* Returns a new empty history that keeps at most `max_tombstones`. */
cb_change_history_t *cb_change_history_new(unsigned int max_tombstones)
{
	cb_change_history_t *history = g_new0(cb_change_history_t, 1);

	history->entries = g_hash_table_new_full(entry_hash_, entry_equal_,
						 entry_free_, NULL);
	g_queue_init(&history->order);
	g_queue_init(&history->tombstones);
	history->max_tombstones = max_tombstones;
	return history;
}

/* Frees a change history; NULL is allowed. */
void cb_change_history_delete(cb_change_history_t *history)
{
	if (!history)
		return;
	g_hash_table_unref(history->entries);
	g_free(history);
}

/* Returns the entry of an item; adds one if there is none. */
static entry_t *entry_get_or_add_(cb_change_history_t *history,
				  cb_item_kind_t kind, const char *name)
{
	entry_t key = { .kind = kind, .name = (char *)name };
	entry_t *entry = g_hash_table_lookup(history->entries, &key);

	if (entry)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->kind = kind;
	entry->name = g_strdup(name);
	entry->order_link.data = entry;
	entry->tombstone_link.data = entry;
	g_hash_table_add(history->entries, entry);
	g_queue_push_tail_link(&history->order, &entry->order_link);
	return entry;
}

static void tombstones_trim_(cb_change_history_t *history)
{
	entry_t *oldest;

	while (history->tombstones.length > history->max_tombstones) {
		oldest = history->tombstones.head->data;
		if (oldest->kind != CB_ITEM_SERVER)
			history->floor = oldest->revision;
		g_queue_unlink(&history->tombstones, &oldest->tombstone_link);
		g_queue_unlink(&history->order, &oldest->order_link);
		g_hash_table_remove(history->entries, oldest);
	}
}

/*
 * Records a change, whose revision must not be lower than any recorded
 * before.
 */
void cb_change_history_record(cb_change_history_t *history,
			      const cb_change_history_entry_t *change)
{
	entry_t *entry = entry_get_or_add_(history, change->kind, change->name);

	if (change->kind != CB_ITEM_SERVER)
		history->entry_revision = change->revision;
	g_queue_unlink(&history->order, &entry->order_link);
	if (entry->is_removed)
		g_queue_unlink(&history->tombstones, &entry->tombstone_link);
	entry->revision = change->revision;
	entry->is_removed = change->is_removed;
	g_queue_push_tail_link(&history->order, &entry->order_link);
	if (!entry->is_removed)
		return;
	g_queue_push_tail_link(&history->tombstones, &entry->tombstone_link);
	tombstones_trim_(history);
}

/* Returns the revision after which all changes that entries need are recorded. */
uint64_t cb_change_history_floor(const cb_change_history_t *history)
{
	return history->floor;
}

/* Sets the revision after which all changes that entries need are recorded. */
void cb_change_history_set_floor(cb_change_history_t *history, uint64_t floor)
{
	history->floor = floor;
}

/*
 * Returns the revision of the last change that entry instances need.  A change
 * that is no longer recorded may have been one of them.
 */
uint64_t cb_change_history_entry_revision(const cb_change_history_t *history)
{
	return MAX(history->entry_revision, history->floor);
}

static gboolean entry_is_selected_(const entry_t *entry, unsigned int filter)
{
	return (!entry->is_removed || filter & CB_CHANGES_REMOVED) &&
	       (entry->kind != CB_ITEM_SERVER || filter & CB_CHANGES_SERVERS);
}

/*
 * Packs an array of the items that changed after revision `since`, in order
 * of revision, each with its value in `view`; `filter` (cb_change_filter_t)
 * names the kinds of change that are packed too.  Returns the number of items.
 * The cost is proportional to the number of changes.
 */
unsigned int cb_change_history_pack_since(const cb_change_history_t *history,
					  uint64_t since, const cb_view_t *view,
					  unsigned int filter, cb_pack_t *pack)
{
	const GList *link = history->order.tail;
	const GList *first = NULL;
	unsigned int count = 0;

	for (; link && ((entry_t *)link->data)->revision > since;
	     link = link->prev) {
		first = link;
		count += entry_is_selected_(link->data, filter);
	}
	cb_pack_array(pack, count);
	for (link = first; link; link = link->next) {
		const entry_t *entry = link->data;
		const cb_item_t item = {
			entry->kind, entry->name, entry->revision,
			(void *)cb_view_find_item(view, entry->kind,
						  entry->name)
		};

		if (entry_is_selected_(entry, filter))
			cb_item_pack(pack, &item);
	}
	return count;
}
