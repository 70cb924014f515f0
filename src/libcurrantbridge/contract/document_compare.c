#include <string.h>

#include "currantbridge/document_check.h"

const char *const cb_change_kind_string[CB_CHANGE_KIND_COUNT] = {
	[CB_CHANGE_ADDED] = "added",
	[CB_CHANGE_REMOVED] = "removed",
	[CB_CHANGE_CHANGED] = "changed",
};

/* How a field's value is written. */
typedef enum field_type {
	FIELD_TEXT, /* char *, may be NULL */
	FIELD_FLAG, /* gboolean */
	FIELD_U32,
	FIELD_I64,
	FIELD_U64,
	FIELD_NUMBER, /* double */
} field_type_t;

/* A field of a structure of the document. */
typedef struct field {
	const char *name;
	field_type_t type;
	size_t offset;
} field_t;

#define FIELD(type, structure, member)                             \
	{                                                          \
#member, FIELD_##type, offsetof(structure, member) \
	}

static const field_t route_fields[] = {
	FIELD(TEXT, cb_route_t, host),
	FIELD(TEXT, cb_route_t, prefix),
	FIELD(I64, cb_route_t, timeout_ms),
	FIELD(I64, cb_route_t, target_latency_ms),
	FIELD(I64, cb_route_t, target_gap_ms),
	FIELD(U32, cb_route_t, priority),
	FIELD(U32, cb_route_t, max_attempts),
	FIELD(FLAG, cb_route_t, is_public),
	FIELD(FLAG, cb_route_t, is_resumable),
};

static const field_t service_fields[] = {
	FIELD(U32, cb_service_profile_t, max_connections),
	FIELD(TEXT, cb_service_profile_t, health_path),
};

static const field_t engine_fields[] = {
	FIELD(U32, cb_engine_profile_t, layers),
	FIELD(NUMBER, cb_engine_profile_t, layer_mb),
	FIELD(NUMBER, cb_engine_profile_t, kv_token_bytes),
	FIELD(NUMBER, cb_engine_profile_t, step_ms),
	FIELD(NUMBER, cb_engine_profile_t, per_sequence_ms),
	FIELD(NUMBER, cb_engine_profile_t, context_per_k_ms),
	FIELD(NUMBER, cb_engine_profile_t, read_tokens_per_s),
	FIELD(U32, cb_engine_profile_t, stride),
	FIELD(U32, cb_engine_profile_t, slots),
	FIELD(NUMBER, cb_engine_profile_t, load_s),
	FIELD(U32, cb_engine_profile_t, loads_at_once),
	FIELD(U32, cb_engine_profile_t, usual_prompt_tokens),
	FIELD(U32, cb_engine_profile_t, usual_answer_tokens),
	FIELD(NUMBER, cb_engine_profile_t, activation_bytes),
	FIELD(NUMBER, cb_engine_profile_t, pipe_mbps),
};

static const field_t limit_fields[] = {
	FIELD(U64, cb_document_limits_t, max_header_bytes),
	FIELD(U64, cb_document_limits_t, max_body_bytes),
	FIELD(I64, cb_document_limits_t, header_timeout_ms),
	FIELD(I64, cb_document_limits_t, idle_timeout_ms),
};

static const char *const route_kind_names[CB_ROUTE_KIND_COUNT] = {
	[CB_ROUTE_IDEMPOTENT] = "idempotent",
	[CB_ROUTE_ONCE] = "once",
	[CB_ROUTE_STREAM] = "stream",
};

static void field_change_clear_(void *change)
{
	cb_field_change_t *self = change;

	g_free(self->before);
	g_free(self->after);
}

static GArray *field_changes_new_(void)
{
	GArray *fields = g_array_new(FALSE, FALSE, sizeof(cb_field_change_t));

	g_array_set_clear_func(fields, field_change_clear_);
	return fields;
}

static void change_delete_(void *change)
{
	cb_document_change_t *self = change;

	g_free(self->name);
	g_array_unref(self->fields);
	g_free(self);
}

/* Appends a change; takes over `fields`, NULL for an empty list. */
static void change_add_(GPtrArray *changes, cb_change_kind_t kind,
			cb_document_part_t part, const char *name,
			GArray *fields)
{
	cb_document_change_t *change = g_new0(cb_document_change_t, 1);

	change->kind = kind;
	change->part = part;
	change->name = g_strdup(name);
	change->fields = fields ? fields : field_changes_new_();
	g_ptr_array_add(changes, change);
}

/* Appends an entry that both documents have if a field differs. */
static void changed_add_(GPtrArray *changes, cb_document_part_t part,
			 const char *name, GArray *fields)
{
	if (fields->len)
		change_add_(changes, CB_CHANGE_CHANGED, part, name, fields);
	else
		g_array_unref(fields);
}

/* Appends a field if its two values differ; takes over both. */
static void values_compare_(GArray *fields, const char *field, char *before,
			    char *after)
{
	const cb_field_change_t change = { field, before, after };

	if (strcmp(before, after) != 0) {
		g_array_append_val(fields, change);
		return;
	}
	g_free(before);
	g_free(after);
}

static char *number_write_(double number)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	return g_strdup(g_ascii_dtostr(text, sizeof(text), number));
}

/* Returns the text of a field's value, to be freed. */
static char *field_write_(const field_t *field, const void *structure)
{
	const void *value = (const char *)structure + field->offset;
	const char *text;

	switch (field->type) {
	case FIELD_TEXT:
		text = *(char *const *)value;
		return g_strdup(text ? text : "");
	case FIELD_FLAG:
		return g_strdup(*(const gboolean *)value ? "true" : "false");
	case FIELD_U32:
		return g_strdup_printf("%u", *(const uint32_t *)value);
	case FIELD_I64:
		return g_strdup_printf("%" G_GINT64_FORMAT,
				       *(const int64_t *)value);
	case FIELD_U64:
		return g_strdup_printf("%" G_GUINT64_FORMAT,
				       *(const uint64_t *)value);
	case FIELD_NUMBER:
		return number_write_(*(const double *)value);
	}
	g_assert_not_reached();
}

/* Appends the fields of a table in which two structures differ. */
static void fields_compare_(GArray *fields, const field_t *table, size_t count,
			    const void *before, const void *after)
{
	size_t i;

	for (i = 0; i < count; i++)
		values_compare_(fields, table[i].name,
				field_write_(&table[i], before),
				field_write_(&table[i], after));
}

/* Returns the services of a route with their weights, to be freed. */
static char *splits_write_(const cb_route_t *route)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < route->splits->len; i++) {
		const cb_route_split_t *split =
			&g_array_index(route->splits, cb_route_split_t, i);

		g_string_append_printf(text, "%s%s %u", i ? ", " : "",
				       split->service, split->weight);
	}
	return g_string_free(text, FALSE);
}

static GArray *routes_compare_fields_(const cb_route_t *before,
				      const cb_route_t *after)
{
	GArray *fields = field_changes_new_();

	fields_compare_(fields, route_fields, G_N_ELEMENTS(route_fields),
			before, after);
	values_compare_(fields, "kind",
			g_strdup(route_kind_names[before->kind]),
			g_strdup(route_kind_names[after->kind]));
	values_compare_(fields, "splits", splits_write_(before),
			splits_write_(after));
	return fields;
}

/*
 * Returns the routes by name in a new table; `names` gets the names in the order
 * of the routes.  Further routes of a name are "NAME #2" and so on.
 */
static GHashTable *routes_by_name_(const cb_document_t *document,
				   GPtrArray *names)
{
	GHashTable *routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned int i;

	for (i = 0; i < document->routes->len; i++) {
		cb_route_t *route = document->routes->pdata[i];
		char *name = g_strdup(route->name);
		unsigned int number = 2;

		while (g_hash_table_contains(routes, name)) {
			g_free(name);
			name = g_strdup_printf("%s #%u", route->name, number++);
		}
		g_hash_table_insert(routes, name, route);
		g_ptr_array_add(names, name);
	}
	return routes;
}

static void routes_compare_(const cb_document_t *before,
			    const cb_document_t *after, GPtrArray *changes)
{
	GPtrArray *old_names = g_ptr_array_new();
	GPtrArray *new_names = g_ptr_array_new();
	GHashTable *old_routes = routes_by_name_(before, old_names);
	GHashTable *new_routes = routes_by_name_(after, new_names);
	unsigned int i;

	for (i = 0; i < new_names->len; i++) {
		const char *name = new_names->pdata[i];
		const cb_route_t *old = g_hash_table_lookup(old_routes, name);

		if (!old)
			change_add_(changes, CB_CHANGE_ADDED, CB_PART_ROUTE,
				    name, NULL);
		else
			changed_add_(changes, CB_PART_ROUTE, name,
				     routes_compare_fields_(
					     old,
					     g_hash_table_lookup(new_routes,
								 name)));
	}
	for (i = 0; i < old_names->len; i++)
		if (!g_hash_table_contains(new_routes, old_names->pdata[i]))
			change_add_(changes, CB_CHANGE_REMOVED, CB_PART_ROUTE,
				    old_names->pdata[i], NULL);
	g_hash_table_unref(old_routes);
	g_hash_table_unref(new_routes);
	g_ptr_array_unref(old_names);
	g_ptr_array_unref(new_names);
}

/* Returns the kinds of accelerators with their properties, to be freed. */
static char *kinds_write_(const cb_engine_profile_t *engine)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < engine->kinds->len; i++) {
		const cb_engine_kind_t *kind = engine->kinds->pdata[i];
		char *memory = number_write_(kind->memory_mb);
		char *step = number_write_(kind->step_time_factor);
		char *read = number_write_(kind->read_time_factor);

		g_string_append_printf(text, "%s%s %s MB step %s read %s",
				       i ? ", " : "", kind->name, memory, step,
				       read);
		g_free(memory);
		g_free(step);
		g_free(read);
	}
	return g_string_free(text, FALSE);
}

static GArray *services_compare_fields_(const cb_service_profile_t *before,
					const cb_service_profile_t *after)
{
	GArray *fields = field_changes_new_();

	fields_compare_(fields, service_fields, G_N_ELEMENTS(service_fields),
			before, after);
	if (before->engine && after->engine) {
		fields_compare_(fields, engine_fields,
				G_N_ELEMENTS(engine_fields), before->engine,
				after->engine);
		values_compare_(fields, "kinds", kinds_write_(before->engine),
				kinds_write_(after->engine));
	} else {
		values_compare_(fields, "engine",
				g_strdup(before->engine ? "given" : "none"),
				g_strdup(after->engine ? "given" : "none"));
	}
	return fields;
}

/* The numbers of a workspace's keys in two documents. */
typedef struct key_counts {
	unsigned int before;
	unsigned int after;
	unsigned int added;   /* keys that the first document lacks */
	unsigned int removed; /* keys that the second document lacks */
	gboolean is_before;   /* whether the first document has the workspace */
	gboolean is_after;
} key_counts_t;

/* Returns a workspace's counts; adds zeros if it has none. */
static key_counts_t *counts_get_(GHashTable *workspaces, const char *name)
{
	key_counts_t *counts = g_hash_table_lookup(workspaces, name);

	if (!counts) {
		counts = g_new0(key_counts_t, 1);
		g_hash_table_insert(workspaces, (void *)name, counts);
	}
	return counts;
}

/* Counts the keys of one document, by workspace. */
static void keys_count_(GHashTable *workspaces, const cb_document_t *document,
			const cb_document_t *other, gboolean is_after)
{
	GHashTableIter iter;
	key_counts_t *counts;
	void *key;
	void *name;

	g_hash_table_iter_init(&iter, document->workspaces);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		counts = counts_get_(workspaces, name);
		counts->is_after |= is_after;
		counts->is_before |= !is_after;
	}
	g_hash_table_iter_init(&iter, document->keys);
	while (g_hash_table_iter_next(&iter, &key, &name)) {
		counts = counts_get_(workspaces, name);
		*(is_after ? &counts->after : &counts->before) += 1;
		if (g_strcmp0(cb_document_workspace(other, key), name) != 0)
			*(is_after ? &counts->added : &counts->removed) += 1;
	}
}

/* Returns a workspace's priority, to be freed; "none" if it has none. */
static char *priority_write_(const cb_document_t *document, const char *name)
{
	void *priority;

	if (!g_hash_table_lookup_extended(document->workspace_priorities, name,
					  NULL, &priority))
		return g_strdup("none");
	return g_strdup_printf("%u", GPOINTER_TO_UINT(priority));
}

/* Returns a sorted list of a table's names; the caller frees it. */
static GList *names_sort_(GHashTable *table)
{
	return g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)strcmp);
}

static void workspaces_compare_(const cb_document_t *before,
				const cb_document_t *after, GPtrArray *changes)
{
	GHashTable *workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GList *names;
	GList *name;

	keys_count_(workspaces, before, after, FALSE);
	keys_count_(workspaces, after, before, TRUE);
	names = names_sort_(workspaces);
	for (name = names; name; name = name->next) {
		const key_counts_t *counts =
			g_hash_table_lookup(workspaces, name->data);
		GArray *fields = field_changes_new_();

		if (counts->added || counts->removed)
			values_compare_(
				fields, "keys",
				g_strdup_printf("%u", counts->before),
				g_strdup_printf("%u (%u added, %u removed)",
						counts->after, counts->added,
						counts->removed));
		if (!counts->is_before || !counts->is_after) {
			change_add_(changes,
				    counts->is_after ? CB_CHANGE_ADDED :
						       CB_CHANGE_REMOVED,
				    CB_PART_WORKSPACE, name->data, fields);
			continue;
		}
		values_compare_(fields, "priority",
				priority_write_(before, name->data),
				priority_write_(after, name->data));
		changed_add_(changes, CB_PART_WORKSPACE, name->data, fields);
	}
	g_list_free(names);
	g_hash_table_unref(workspaces);
}

/* Appends the services of `document` that `other` lacks. */
static void lacking_services_add_(const cb_document_t *document,
				  const cb_document_t *other,
				  cb_change_kind_t kind, GPtrArray *changes)
{
	GList *names = names_sort_(document->services);
	GList *name;

	for (name = names; name; name = name->next)
		if (!cb_document_service(other, name->data))
			change_add_(changes, kind, CB_PART_SERVICE, name->data,
				    NULL);
	g_list_free(names);
}

static void services_compare_(const cb_document_t *before,
			      const cb_document_t *after, GPtrArray *changes)
{
	GList *names = names_sort_(after->services);
	GList *name;

	lacking_services_add_(after, before, CB_CHANGE_ADDED, changes);
	for (name = names; name; name = name->next) {
		const cb_service_profile_t *old =
			cb_document_service(before, name->data);

		if (old)
			changed_add_(changes, CB_PART_SERVICE, name->data,
				     services_compare_fields_(
					     old,
					     cb_document_service(after,
								 name->data)));
	}
	lacking_services_add_(before, after, CB_CHANGE_REMOVED, changes);
	g_list_free(names);
}

GPtrArray *cb_document_compare(const cb_document_t *before,
			       const cb_document_t *after)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_delete_);
	GArray *limits = field_changes_new_();

	routes_compare_(before, after, changes);
	services_compare_(before, after, changes);
	workspaces_compare_(before, after, changes);
	fields_compare_(limits, limit_fields, G_N_ELEMENTS(limit_fields),
			&before->limits, &after->limits);
	changed_add_(changes, CB_PART_LIMITS, "", limits);
	return changes;
}
