#include "currantbridge/document.h"

#include <string.h>

G_DEFINE_QUARK(cb - document - error - quark, cb_document_error)

static void split_clear_(void *split)
{
	g_free(((cb_route_split_t *)split)->service);
}

/* Creates a route without splits and with one reference. */
cb_route_t *cb_route_new(void)
{
	cb_route_t *route = g_new0(cb_route_t, 1);

	route->refs = 1;
	route->splits = g_array_new(FALSE, FALSE, sizeof(cb_route_split_t));
	g_array_set_clear_func(route->splits, split_clear_);
	return route;
}

/* Drops a reference and frees the route with the last; NULL is allowed. */
void cb_route_unref(void *route)
{
	cb_route_t *self = route;

	if (!self || --self->refs)
		return;
	g_free(self->name);
	g_free(self->host);
	g_free(self->prefix);
	g_array_unref(self->splits);
	g_free(self);
}

static void engine_kind_delete_(void *kind)
{
	g_free(((cb_engine_kind_t *)kind)->name);
	g_free(kind);
}

/* Creates an engine profile without kinds; the caller sets its fields. */
cb_engine_profile_t *cb_engine_profile_new(void)
{
	cb_engine_profile_t *engine = g_new0(cb_engine_profile_t, 1);

	engine->kinds = g_ptr_array_new_with_free_func(engine_kind_delete_);
	return engine;
}

/* Creates the profile of a service without engines. */
cb_service_profile_t *cb_service_profile_new(const char *name)
{
	cb_service_profile_t *service = g_new0(cb_service_profile_t, 1);

	service->name = g_strdup(name);
	return service;
}

static void service_profile_delete_(void *service)
{
	cb_service_profile_t *self = service;

	g_free(self->health_path);
	if (self->engine) {
		g_ptr_array_unref(self->engine->kinds);
		g_free(self->engine);
	}
	g_free(self->name);
	g_free(self);
}

static void routes_unref_(void *routes)
{
	g_ptr_array_unref(routes);
}

static unsigned int digest_hash_(const void *digest)
{
	return (unsigned int)((const cb_text_digest_t *)digest)->low;
}

static gboolean digests_are_equal_(const void *a, const void *b)
{
	return !memcmp(a, b, sizeof(cb_text_digest_t));
}

/* Creates an empty document with one reference. */
cb_document_t *cb_document_new(void)
{
	cb_document_t *document = g_new0(cb_document_t, 1);

	document->refs = 1;
	document->routes = g_ptr_array_new_with_free_func(cb_route_unref);
	document->routes_by_digest =
		g_hash_table_new(digest_hash_, digests_are_equal_);
	document->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      service_profile_delete_);
	document->workspace_priorities =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	document->workspace_levels =
		g_array_new(FALSE, FALSE, sizeof(uint32_t));
	document->route_levels = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	document->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	document->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	document->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						routes_unref_);
	return document;
}

/* Adds a reference. */
cb_document_t *cb_document_ref(cb_document_t *document)
{
	document->refs++;
	return document;
}

/* Drops a reference and frees the document with the last; NULL is allowed. */
void cb_document_unref(cb_document_t *document)
{
	if (!document || --document->refs)
		return;
	g_hash_table_unref(document->hosts);
	g_hash_table_unref(document->keys);
	g_hash_table_unref(document->workspaces);
	g_hash_table_unref(document->workspace_priorities);
	g_array_unref(document->workspace_levels);
	g_array_unref(document->route_levels);
	g_hash_table_unref(document->services);
	g_hash_table_unref(document->routes_by_digest);
	g_ptr_array_unref(document->routes);
	g_free(document);
}

/* Adds a route; takes over the caller's reference. */
void cb_document_add_route(cb_document_t *document, cb_route_t *route)
{
	g_ptr_array_add(document->routes, route);
	if (route->digest.low || route->digest.high)
		g_hash_table_insert(document->routes_by_digest, &route->digest,
				    route);
}

/* Adds a service or replaces the one of its name; takes ownership of it. */
void cb_document_add_service(cb_document_t *document,
			     cb_service_profile_t *service)
{
	g_hash_table_replace(document->services, service->name, service);
}

/* Sets the error `FIELD: NAME: REASON` and returns FALSE. */
static gboolean document_error_set_(GError **error, const char *field,
				    const char *name, const char *reason)
{
	g_set_error(error, CB_DOCUMENT_ERROR, CB_DOCUMENT_ERROR_INVALID,
		    "%s: %s: %s", field, name, reason);
	return FALSE;
}

/* Adds a workspace, which may be there already. */
void cb_document_add_workspace(cb_document_t *document, const char *workspace)
{
	document->has_workspaces = TRUE;
	if (!g_hash_table_contains(document->workspaces, workspace))
		g_hash_table_add(document->workspaces, g_strdup(workspace));
}

/* Adds a key of a workspace; fails if another workspace has the key. */
gboolean cb_document_add_key(cb_document_t *document, const char *workspace,
			     const char *key, GError **error)
{
	const char *owner = g_hash_table_lookup(document->keys, key);

	cb_document_add_workspace(document, workspace);
	if (owner && strcmp(owner, workspace) != 0)
		return document_error_set_(error, "workspace", workspace,
					   "holds a key of another workspace");
	g_hash_table_replace(document->keys, g_strdup(key),
			     g_strdup(workspace));
	return TRUE;
}

/* Sets a workspace's priority. */
void cb_document_set_priority(cb_document_t *document, const char *workspace,
			      uint32_t priority)
{
	cb_document_add_workspace(document, workspace);
	g_hash_table_replace(document->workspace_priorities,
			     g_strdup(workspace), GUINT_TO_POINTER(priority));
}

/* Returns the number of levels that are lower than `priority`. */
static uint32_t level_find_(const GArray *levels, uint32_t priority)
{
	uint32_t i;

	for (i = 0; i < levels->len; i++)
		if (g_array_index(levels, uint32_t, i) >= priority)
			break;
	return i;
}

/* Adds a priority to the levels, which stay in ascending order. */
static void level_add_(GArray *levels, uint32_t priority)
{
	uint32_t i = level_find_(levels, priority);

	if (i == levels->len || g_array_index(levels, uint32_t, i) != priority)
		g_array_insert_val(levels, i, priority);
}

/*
 * Returns the rank of a workspace's requests on a route.  Without a priority a
 * workspace comes after those that have one.
 */
uint32_t cb_document_rank(const cb_document_t *document,
			  const cb_route_t *route, const char *workspace)
{
	uint32_t level = document->workspace_levels->len;
	void *priority;

	if (workspace &&
	    g_hash_table_lookup_extended(document->workspace_priorities,
					 workspace, NULL, &priority))
		level = level_find_(document->workspace_levels,
				    GPOINTER_TO_UINT(priority));
	return level * document->route_levels->len +
	       level_find_(document->route_levels, route->priority);
}

/* Returns whether requests differ in their ranks. */
gboolean cb_document_has_ranks(const cb_document_t *document)
{
	gboolean has_workspace_without =
		g_hash_table_size(document->workspace_priorities) <
		g_hash_table_size(document->workspaces);

	return document->route_levels->len > 1 ||
	       document->workspace_levels->len + has_workspace_without > 1;
}

/* Collects the different priorities, once all were added. */
static void levels_collect_(cb_document_t *document)
{
	GHashTableIter iter;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, document->workspace_priorities);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		level_add_(document->workspace_levels, GPOINTER_TO_UINT(value));
	for (i = 0; i < document->routes->len; i++)
		level_add_(
			document->route_levels,
			((cb_route_t *)document->routes->pdata[i])->priority);
}

static gboolean route_check_splits_(const cb_document_t *document,
				    const cb_route_t *route, GError **error)
{
	uint64_t weight_sum = 0;
	unsigned int i;

	for (i = 0; i < route->splits->len; i++) {
		const cb_route_split_t *split =
			&g_array_index(route->splits, cb_route_split_t, i);

		if (!cb_document_service(document, split->service))
			return document_error_set_(error, "route", route->name,
						   "names an unknown service");
		weight_sum += split->weight;
	}
	return weight_sum ? TRUE :
			    document_error_set_(error, "route", route->name,
						"has no weight");
}

static gboolean route_check_(const cb_document_t *document,
			     const cb_route_t *route, GError **error)
{
	size_t length = strlen(route->prefix);

	if (route->prefix[0] != '/' || route->prefix[length - 1] != '/')
		return document_error_set_(
			error, "route", route->name,
			"its prefix must begin and end with a slash");
	if (route->timeout_ms <= 0)
		return document_error_set_(error, "route", route->name,
					   "its time limit must be over 0");
	if (!route->max_attempts)
		return document_error_set_(error, "route", route->name,
					   "must allow at least one attempt");
	return route_check_splits_(document, route, error);
}

/* Orders routes by descending length of the prefix, then by its text. */
static int route_compare_prefix_(const void *a, const void *b)
{
	const cb_route_t *left = *(const cb_route_t *const *)a;
	const cb_route_t *right = *(const cb_route_t *const *)b;
	size_t left_length = strlen(left->prefix);
	size_t right_length = strlen(right->prefix);

	if (left_length != right_length)
		return left_length < right_length ? 1 : -1;
	return strcmp(left->prefix, right->prefix);
}

/* Sorts a host's routes; fails if two have the same prefix. */
static gboolean host_sort_routes_(GPtrArray *routes, GError **error)
{
	unsigned int i;

	g_ptr_array_sort(routes, route_compare_prefix_);
	for (i = 1; i < routes->len; i++) {
		const cb_route_t *route = routes->pdata[i];

		if (!route_compare_prefix_(&routes->pdata[i - 1],
					   &routes->pdata[i]))
			return document_error_set_(
				error, "route", route->name,
				"has the host and prefix of another");
	}
	return TRUE;
}

/* Returns the list of a host's routes; adds an empty one if there is none. */
static GPtrArray *host_get_routes_(cb_document_t *document, const char *host)
{
	char *name = g_ascii_strdown(host, -1);
	GPtrArray *routes = g_hash_table_lookup(document->hosts, name);

	if (routes) {
		g_free(name);
		return routes;
	}
	routes = g_ptr_array_new();
	g_hash_table_insert(document->hosts, name, routes);
	return routes;
}

/* Checks the routes and builds the look-up by host. */
gboolean cb_document_finish(cb_document_t *document, GError **error)
{
	GHashTableIter iter;
	void *routes;
	unsigned int i;

	for (i = 0; i < document->routes->len; i++) {
		cb_route_t *route = document->routes->pdata[i];
		GPtrArray *same_host;

		if (!route_check_(document, route, error))
			return FALSE;
		same_host = host_get_routes_(document, route->host);
		g_ptr_array_add(same_host, route);
	}
	g_hash_table_iter_init(&iter, document->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		if (!host_sort_routes_(routes, error))
			return FALSE;
	levels_collect_(document);
	return TRUE;
}

/*
 * Returns the route of a request, or NULL: the one with the longest matching
 * path prefix among the routes of its host.  Ignores a port in `host`, the case
 * of its letters and a query in `target`.
 */
const cb_route_t *cb_document_route(const cb_document_t *document,
				    const char *host, const char *target)
{
	size_t path_length = strcspn(target, "?");
	size_t host_length = strcspn(host, ":");
	char *name = g_ascii_strdown(host, (gssize)host_length);
	const GPtrArray *routes = g_hash_table_lookup(document->hosts, name);
	unsigned int i;

	g_free(name);
	for (i = 0; routes && i < routes->len; i++) {
		const cb_route_t *route = routes->pdata[i];
		size_t length = strlen(route->prefix);

		if (length <= path_length &&
		    !memcmp(route->prefix, target, length))
			return route;
	}
	return NULL;
}

/* Returns the name of the workspace that has a key, or NULL. */
const char *cb_document_workspace(const cb_document_t *document,
				  const char *key)
{
	return g_hash_table_lookup(document->keys, key);
}

/* Returns a service's profile, or NULL. */
const cb_service_profile_t *cb_document_service(const cb_document_t *document,
						const char *name)
{
	return g_hash_table_lookup(document->services, name);
}

/*
 * Picks a service by the weights of the splits.  `random` must be uniformly
 * distributed over all 32-bit values.
 */
const char *cb_route_pick(const cb_route_t *route, uint32_t random)
{
	uint64_t weight_sum = 0;
	uint64_t remaining;
	unsigned int i;

	for (i = 0; i < route->splits->len; i++)
		weight_sum += g_array_index(route->splits, cb_route_split_t, i)
				      .weight;
	remaining = ((uint64_t)random * weight_sum) >> 32;
	for (i = 0; i < route->splits->len; i++) {
		const cb_route_split_t *split =
			&g_array_index(route->splits, cb_route_split_t, i);

		if (remaining < split->weight)
			return split->service;
		remaining -= split->weight;
	}
	g_assert_not_reached();
}

void cb_engine_profile_clip(const cb_engine_profile_t *engine, uint32_t *from,
			    uint32_t *to)
{
	*to = MIN(*to, engine->layers);
	*from = MIN(*from, *to);
}

/* Returns a kind of accelerator by name, or NULL. */
const cb_engine_kind_t *cb_engine_profile_kind(
	const cb_engine_profile_t *engine, const char *name)
{
	unsigned int i;

	for (i = 0; name && i < engine->kinds->len; i++) {
		const cb_engine_kind_t *kind = engine->kinds->pdata[i];

		if (!strcmp(kind->name, name))
			return kind;
	}
	return NULL;
}
