#include "currantbridge/view.h"

#include <string.h>

#include "private/item.h"

typedef struct watcher {
	cb_view_changed_fn_t fn;
	void *user_data;
} watcher_t;

struct cb_view {
	uint64_t revision;
	/* Per item kind: name to value. */
	GHashTable *items[CB_ITEM_KIND_COUNT];
	GHashTable *contracts_by_key; /* bearer key to contract */
	/*
	 * Per item kind: the values sorted by name; NULL until first requested.
	 */
	GPtrArray *sorted[CB_ITEM_KIND_COUNT];
	GArray *watchers;
};

const char *const cb_instance_state_string[CB_INSTANCE_STATE_COUNT] = {
	[CB_INSTANCE_READY] = "ready",
	[CB_INSTANCE_LEAVING] = "leaving",
	[CB_INSTANCE_SILENT] = "silent",
};

const char *const cb_stop_kind_string[CB_STOP_KIND_COUNT] = {
	[CB_STOP_SERVER] = "server",
	[CB_STOP_INSTANCE] = "instance",
};

const char *const cb_view_outcome_string[CB_VIEW_OUTCOME_COUNT] = {
	[CB_VIEW_APPLIED] = "applied",
	[CB_VIEW_STALE] = "stale",
	[CB_VIEW_GAP] = "gap",
	[CB_VIEW_MALFORMED] = "malformed",
};

static void contract_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_CONTRACT, value);
}

static void stop_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_STOP, value);
}

static void instance_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_INSTANCE, value);
}

static void quarantine_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_QUARANTINE, value);
}

static void server_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_SERVER, value);
}

static void document_free_(void *value)
{
	cb_item_value_delete(CB_ITEM_DOCUMENT, value);
}

/* Creates an empty view at revision 0. */
cb_view_t *cb_view_new(void)
{
	static const GDestroyNotify free_value[] = {
		[CB_ITEM_CONTRACT] = contract_free_,
		[CB_ITEM_STOP] = stop_free_,
		[CB_ITEM_INSTANCE] = instance_free_,
		[CB_ITEM_QUARANTINE] = quarantine_free_,
		[CB_ITEM_SERVER] = server_free_,
		[CB_ITEM_DOCUMENT] = document_free_,
	};
	cb_view_t *view = g_new0(cb_view_t, 1);
	int kind;

	for (kind = 0; kind < CB_ITEM_KIND_COUNT; kind++)
		view->items[kind] =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_value[kind]);
	view->contracts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	view->watchers = g_array_new(FALSE, FALSE, sizeof(watcher_t));
	return view;
}

/* Deletes a view; NULL is allowed. */
void cb_view_delete(cb_view_t *view)
{
	int kind;

	if (!view)
		return;
	g_hash_table_unref(view->contracts_by_key);
	for (kind = 0; kind < CB_ITEM_KIND_COUNT; kind++) {
		g_clear_pointer(&view->sorted[kind], g_ptr_array_unref);
		g_hash_table_unref(view->items[kind]);
	}
	g_array_unref(view->watchers);
	g_free(view);
}

/* Removes the keys of a contract that is about to be replaced or removed. */
static void contract_keys_remove_(cb_view_t *view, const char *workspace)
{
	cb_contract_t *contract =
		g_hash_table_lookup(view->items[CB_ITEM_CONTRACT], workspace);
	char **key;

	if (!contract)
		return;
	for (key = contract->keys; *key; key++)
		if (g_hash_table_lookup(view->contracts_by_key, *key) ==
		    contract)
			g_hash_table_remove(view->contracts_by_key, *key);
}

/* Maps the keys of `contract` to it, also those that another contract had. */
static void contract_keys_add_(cb_view_t *view, cb_contract_t *contract)
{
	char **key;

	for (key = contract->keys; *key; key++)
		g_hash_table_replace(view->contracts_by_key, *key, contract);
}

/*
 * Returns the name of the configuration item that has the value `value`; the
 * caller frees the name.
 */
static char *value_name_dup_(cb_item_kind_t kind, const void *value)
{
	const cb_stop_t *stop = value;

	switch (kind) {
	case CB_ITEM_CONTRACT:
		return g_strdup(((const cb_contract_t *)value)->workspace);
	case CB_ITEM_STOP:
		return cb_stop_item_name(stop->kind, stop->name);
	case CB_ITEM_INSTANCE:
		return g_strdup(((const cb_instance_t *)value)->name);
	case CB_ITEM_QUARANTINE:
		return g_strdup(((const cb_quarantine_t *)value)->digest);
	case CB_ITEM_SERVER:
		return g_strdup(((const cb_stored_server_t *)value)->id);
	case CB_ITEM_DOCUMENT:
		return g_strdup(CB_DOCUMENT_ITEM_NAME);
	case CB_ITEM_KIND_COUNT:
		break;
	}
	g_assert_not_reached();
}

/* Returns the value of an item, or NULL if the view lacks the item. */
const void *cb_view_find_item(const cb_view_t *view, cb_item_kind_t kind,
			      const char *name)
{
	return g_hash_table_lookup(view->items[kind], name);
}

/* Adds an item, or replaces the one of its name; takes ownership of `value`. */
void cb_view_put_item(cb_view_t *view, cb_item_kind_t kind, void *value)
{
	char *name = value_name_dup_(kind, value);

	if (kind == CB_ITEM_CONTRACT) {
		contract_keys_remove_(view, name);
		contract_keys_add_(view, value);
	}
	g_hash_table_replace(view->items[kind], name, value);
	g_clear_pointer(&view->sorted[kind], g_ptr_array_unref);
}

/* Removes an item of the view, if it exists. */
void cb_view_remove_item(cb_view_t *view, cb_item_kind_t kind, const char *name)
{
	if (kind == CB_ITEM_CONTRACT)
		contract_keys_remove_(view, name);
	g_hash_table_remove(view->items[kind], name);
	g_clear_pointer(&view->sorted[kind], g_ptr_array_unref);
}

/* Sets the revision of the view. */
void cb_view_set_revision(cb_view_t *view, uint64_t revision)
{
	view->revision = revision;
}

/* Removes every item of the view. */
void cb_view_clear(cb_view_t *view)
{
	int kind;

	g_hash_table_remove_all(view->contracts_by_key);
	for (kind = 0; kind < CB_ITEM_KIND_COUNT; kind++) {
		g_clear_pointer(&view->sorted[kind], g_ptr_array_unref);
		g_hash_table_remove_all(view->items[kind]);
	}
}

static void item_free_(void *data)
{
	cb_item_clear(data);
	g_free(data);
}

/* Decodes an update's items; returns NULL if one of them is malformed. */
static GPtrArray *items_decode_(const msgpack_object *object)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(item_free_);
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	while (fields.unread_count && !fields.is_malformed) {
		cb_item_t *item = g_new0(cb_item_t, 1);

		if (!cb_item_read(cb_fields_object(&fields), item)) {
			g_free(item);
			fields.is_malformed = TRUE;
			break;
		}
		g_ptr_array_add(items, item);
	}
	if (!fields.is_malformed)
		return items;
	g_ptr_array_unref(items);
	return NULL;
}

/* Applies an update's items to the view, which takes over their values. */
static void items_apply_(cb_view_t *view, GPtrArray *items)
{
	unsigned int i;

	for (i = 0; i < items->len; i++) {
		cb_item_t *item = g_ptr_array_index(items, i);

		if (!item->value) {
			cb_view_remove_item(view, item->kind, item->name);
			continue;
		}
		cb_view_put_item(view, item->kind, item->value);
		item->value = NULL;
	}
}

static void watchers_notify_(cb_view_t *view)
{
	unsigned int i;

	for (i = 0; i < view->watchers->len; i++) {
		watcher_t watcher = g_array_index(view->watchers, watcher_t, i);

		watcher.fn(watcher.user_data);
	}
}

/* Applies a decoded update: [since revision, revision, items]. */
static cb_view_outcome_t update_apply_(cb_view_t *view,
				       const msgpack_object *object)
{
	const msgpack_object *item_objects;
	cb_fields_t fields;
	GPtrArray *items;
	uint64_t since;
	uint64_t revision;

	cb_fields_open(&fields, object);
	since = cb_fields_uint(&fields);
	revision = cb_fields_uint(&fields);
	item_objects = cb_fields_object(&fields);
	if (!cb_fields_are_complete(&fields) || since > revision)
		return CB_VIEW_MALFORMED;
	if (revision <= view->revision)
		return CB_VIEW_STALE;
	if (since > view->revision)
		return CB_VIEW_GAP;
	items = items_decode_(item_objects);
	if (!items)
		return CB_VIEW_MALFORMED;
	if (since == 0)
		cb_view_clear(view);
	items_apply_(view, items);
	view->revision = revision;
	g_ptr_array_unref(items);
	watchers_notify_(view);
	return CB_VIEW_APPLIED;
}

/*
 * Applies an update from control.  Unless the outcome is CB_VIEW_APPLIED, the
 * view is unchanged.
 */
cb_view_outcome_t cb_view_apply(cb_view_t *view, GBytes *update)
{
	cb_view_outcome_t outcome = CB_VIEW_MALFORMED;
	GBytes *body = cb_update_check_hash(update);
	cb_unpack_t unpack;

	if (!body)
		return CB_VIEW_MALFORMED;
	if (cb_unpack_init(&unpack, body)) {
		outcome = update_apply_(view, &unpack.unpacked.data);
		cb_unpack_clear(&unpack);
	}
	g_bytes_unref(body);
	return outcome;
}

/* Returns the view's revision; 0 before the first update. */
uint64_t cb_view_revision(const cb_view_t *view)
{
	return view->revision;
}

/* Registers `fn` to be called after each applied update. */
void cb_view_watch(cb_view_t *view, cb_view_changed_fn_t fn, void *user_data)
{
	watcher_t watcher = { fn, user_data };

	g_array_append_val(view->watchers, watcher);
}

/* Returns the contract of a workspace, or NULL. */
const cb_contract_t *cb_view_contract(const cb_view_t *view,
				      const char *workspace)
{
	return cb_view_find_item(view, CB_ITEM_CONTRACT, workspace);
}

/* Returns the contract that a bearer key belongs to, or NULL. */
const cb_contract_t *cb_view_contract_by_key(const cb_view_t *view,
					     const char *key)
{
	return g_hash_table_lookup(view->contracts_by_key, key);
}

static int name_compare_(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the values of an item kind sorted by name, from a cached list. */
static const GPtrArray *sorted_values_get_(const cb_view_t *view,
					   cb_item_kind_t kind)
{
	/*
	 * The cast is safe: a cached list does not change the view's content.
	 */
	GPtrArray **cache = (GPtrArray **)&view->sorted[kind];
	GHashTable *items = view->items[kind];
	unsigned int count;
	unsigned int i;
	void **names;

	if (*cache)
		return *cache;
	names = g_hash_table_get_keys_as_array(items, &count);
	qsort(names, count, sizeof(*names), name_compare_);
	*cache = g_ptr_array_sized_new(count);
	for (i = 0; i < count; i++)
		g_ptr_array_add(*cache, g_hash_table_lookup(items, names[i]));
	g_free(names);
	return *cache;
}

/* Returns all contracts; valid until the next update. */
const GPtrArray *cb_view_contracts(const cb_view_t *view)
{
	return sorted_values_get_(view, CB_ITEM_CONTRACT);
}

/* Returns all entry instances; valid until the next update. */
const GPtrArray *cb_view_instances(const cb_view_t *view)
{
	return sorted_values_get_(view, CB_ITEM_INSTANCE);
}

/* Returns all announced planned stops; valid until the next update. */
const GPtrArray *cb_view_stops(const cb_view_t *view)
{
	return sorted_values_get_(view, CB_ITEM_STOP);
}

/* Returns the stored backend server records; valid until the next update. */
const GPtrArray *cb_view_servers(const cb_view_t *view)
{
	return sorted_values_get_(view, CB_ITEM_SERVER);
}

/* Returns the records of digests; valid until the next update. */
const GPtrArray *cb_view_quarantines(const cb_view_t *view)
{
	return sorted_values_get_(view, CB_ITEM_QUARANTINE);
}

/* Returns the configuration document in force; NULL before the first one. */
const cb_document_text_t *cb_view_document(const cb_view_t *view)
{
	return cb_view_find_item(view, CB_ITEM_DOCUMENT, CB_DOCUMENT_ITEM_NAME);
}

/* Whether a planned stop of this server or instance is announced. */
gboolean cb_view_is_stopped(const cb_view_t *view, cb_stop_kind_t kind,
			    const char *name)
{
	char *item_name;
	gboolean is_stopped;

	if (!g_hash_table_size(view->items[CB_ITEM_STOP]))
		return FALSE;
	item_name = cb_stop_item_name(kind, name);
	is_stopped = cb_view_find_item(view, CB_ITEM_STOP, item_name) != NULL;
	g_free(item_name);
	return is_stopped;
}

/* Whether a digest is in quarantine at `wall_ms`, on the wall clock. */
gboolean cb_view_is_quarantined(const cb_view_t *view, const char *digest,
				int64_t wall_ms)
{
	const cb_quarantine_t *quarantine =
		cb_view_find_item(view, CB_ITEM_QUARANTINE, digest);

	return quarantine && quarantine->until_wall_ms > wall_ms;
}

/* Returns the end of a digest's quarantine in wall clock ms; 0: none. */
int64_t cb_view_quarantined_until(const cb_view_t *view, const char *digest)
{
	const cb_quarantine_t *quarantine =
		cb_view_find_item(view, CB_ITEM_QUARANTINE, digest);

	return quarantine ? quarantine->until_wall_ms : 0;
}

/*
 * Returns the server deaths recorded for a digest; NULL if it is not suspect.
 */
const char *const *cb_view_deaths(const cb_view_t *view, const char *digest,
				  int64_t wall_ms)
{
	const cb_quarantine_t *quarantine =
		cb_view_find_item(view, CB_ITEM_QUARANTINE, digest);

	if (!quarantine || quarantine->suspect_until_wall_ms <= wall_ms)
		return NULL;
	return (const char *const *)quarantine->deaths;
}

/*
 * Whether the deaths recorded for a digest are of at least `min_servers`
 * different servers in all, `server` included.
 */
static gboolean digest_is_suspect_for_server_(const cb_quarantine_t *quarantine,
					      const char *server,
					      unsigned int min_servers)
{
	GHashTable *servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gboolean is_suspect;
	char **death;

	for (death = quarantine->deaths; *death; death++)
		g_hash_table_add(servers,
				 g_strndup(*death,
					   strrchr(*death, ' ') - *death));
	is_suspect = g_hash_table_contains(servers, server) &&
		     g_hash_table_size(servers) >= min_servers;
	g_hash_table_unref(servers);
	return is_suspect;
}

/* Returns the number of digests that are suspected of the death of `server`. */
unsigned int cb_view_count_suspects(const cb_view_t *view, const char *server,
				    unsigned int min_servers, int64_t wall_ms)
{
	unsigned int count = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->items[CB_ITEM_QUARANTINE]);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_quarantine_t *quarantine = value;

		if (quarantine->suspect_until_wall_ms > wall_ms)
			count += digest_is_suspect_for_server_(quarantine,
							       server,
							       min_servers);
	}
	return count;
}
