#include "currantbridge/document_check.h"

#include <json-glib/json-glib.h>
#include <stdarg.h>
#include <string.h>

#include "currantbridge/json_fields.h"
#include "currantbridge/placement.h"

const char *const cb_finding_level_string[CB_FINDING_LEVEL_COUNT] = {
	[CB_FINDING_ERROR] = "error",
	[CB_FINDING_WARNING] = "warning",
};

const char *const cb_finding_kind_string[CB_FINDING_KIND_COUNT] = {
	[CB_FINDING_INVALID] = "invalid",
	[CB_FINDING_NEVER_USED] = "never_used",
	[CB_FINDING_CONTRADICTION] = "contradiction",
	[CB_FINDING_AMBIGUOUS] = "ambiguous",
};

const char *const cb_document_part_string[CB_PART_COUNT] = {
	[CB_PART_DOCUMENT] = "document", [CB_PART_ROUTE] = "route",
	[CB_PART_SERVICE] = "service",	 [CB_PART_WORKSPACE] = "workspace",
	[CB_PART_LIMITS] = "limits",
};

/* The entry of the document that is being checked, and the list to append to. */
typedef struct check {
	const cb_document_t *document;
	GPtrArray *findings;
	cb_document_part_t part;
	const char *name;
} check_t;

static void finding_delete_(void *finding)
{
	cb_finding_t *self = finding;

	g_free(self->name);
	g_free(self->field);
	g_free(self->reason);
	g_free(self);
}

GPtrArray *cb_findings_new(void)
{
	return g_ptr_array_new_with_free_func(finding_delete_);
}

/* Appends a warning about a field of the entry that is being checked. */
G_GNUC_PRINTF(4, 5)
static void warn_(const check_t *check, cb_finding_kind_t kind,
		  const char *field, const char *format, ...)
{
	cb_finding_t *finding = g_new0(cb_finding_t, 1);
	va_list arguments;

	finding->level = CB_FINDING_WARNING;
	finding->kind = kind;
	finding->part = check->part;
	finding->name = g_strdup(check->name);
	finding->field = g_strdup(field);
	va_start(arguments, format);
	finding->reason = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_ptr_array_add(check->findings, finding);
}

/* Appends an error; takes over `name`, `field` and `reason`. */
static void error_add_(GPtrArray *findings, cb_document_part_t part, char *name,
		       char *field, char *reason)
{
	cb_finding_t *finding = g_new0(cb_finding_t, 1);

	finding->level = CB_FINDING_ERROR;
	finding->kind = CB_FINDING_INVALID;
	finding->part = part;
	finding->name = name;
	finding->field = field;
	finding->reason = reason;
	g_ptr_array_add(findings, finding);
}

/* Returns the part of this name, by default the document. */
static cb_document_part_t part_find_(const char *name, size_t length)
{
	int i;

	for (i = 0; i < CB_PART_COUNT; i++)
		if (strlen(cb_document_part_string[i]) == length &&
		    !memcmp(cb_document_part_string[i], name, length))
			return (cb_document_part_t)i;
	return CB_PART_DOCUMENT;
}

/* Appends an error of cb_document_finish(), "PART: NAME: REASON". */
static void entry_error_add_(GPtrArray *findings, const char *message)
{
	const char *first = strstr(message, ": ");
	const char *last = g_strrstr(message, ": ");

	if (!first || first == last)
		error_add_(findings, CB_PART_DOCUMENT, g_strdup(""),
			   g_strdup(""), g_strdup(message));
	else
		error_add_(findings,
			   part_find_(message, (size_t)(first - message)),
			   g_strndup(first + 2, (size_t)(last - first - 2)),
			   g_strdup(""), g_strdup(last + 2));
}

/* Writes where the parser met its first error to the empty text `place`. */
static void place_write_(JsonParser *parser, const GError *error,
			 GString *place)
{
	(void)error;
	if (!place->len && json_parser_get_current_line(parser))
		g_string_printf(place, " at line %u, position %u",
				json_parser_get_current_line(parser),
				json_parser_get_current_pos(parser));
}

/*
 * Returns why a text isn't JSON, to be freed.  The parser's own message may
 * quote the text, in which a key may stand.
 */
static char *syntax_reason_(const char *text, size_t size)
{
	JsonParser *parser = json_parser_new_immutable();
	GString *place = g_string_new(NULL);
	char *reason;

	g_signal_connect(parser, "error", G_CALLBACK(place_write_), place);
	if (cb_json_depth_is_bounded(text, size))
		(void)json_parser_load_from_data(parser, text, (gssize)size,
						 NULL);
	reason = g_strconcat("is not valid JSON", place->str, NULL);
	g_string_free(place, TRUE);
	g_object_unref(parser);
	return reason;
}

/*
 * Appends an error of the decoding.  `text` is that of the entry `name` of
 * `part`.
 */
static void decode_error_add_(GPtrArray *findings, const GError *error,
			      cb_document_part_t part, const char *name,
			      const cb_text_part_t *text)
{
	const char *colon = strstr(error->message, ": ");

	if (error->domain == CB_DOCUMENT_ERROR)
		entry_error_add_(findings, error->message);
	else if (error->domain == JSON_PARSER_ERROR)
		error_add_(findings, part, g_strdup(name), g_strdup(""),
			   syntax_reason_(text->text, text->size));
	else if (colon)
		error_add_(findings, part, g_strdup(name),
			   g_strndup(error->message,
				     (size_t)(colon - error->message)),
			   g_strdup(colon + 2));
	else
		error_add_(findings, part, g_strdup(name), g_strdup(""),
			   g_strdup(error->message));
}

/*
 * Checks one route's text with the services of `document`, as if the document
 * had no other route.
 */
static void route_text_check_(const cb_document_codec_t *codec,
			      const cb_document_t *document,
			      const cb_text_part_t *part, unsigned int number,
			      GPtrArray *findings)
{
	char *text = g_strndup(part->text, part->size);
	const cb_text_part_t copy = { text, part->size };
	char *name = g_strdup_printf("#%u", number);
	cb_document_t *single = cb_document_new();
	GError *error = NULL;
	cb_route_t *route = codec->vtable->read_route(codec, &copy, &error);

	g_hash_table_unref(single->services);
	single->services = g_hash_table_ref(document->services);
	if (route)
		cb_document_add_route(single, route);
	if (!route || !cb_document_finish(single, &error))
		decode_error_add_(findings, error, CB_PART_ROUTE, name, &copy);
	g_clear_error(&error);
	cb_document_unref(single);
	g_free(name);
	g_free(text);
}

/* Appends the errors of each route by itself. */
static void routes_text_check_(const cb_document_codec_t *codec,
			       const char *text, size_t size,
			       GPtrArray *findings)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(cb_text_part_t));
	char *copy = g_strndup(text, size);
	cb_document_t *document =
		codec->vtable->open(codec, copy, size, parts, NULL);
	unsigned int i;

	for (i = 0; document && i < parts->len; i++)
		route_text_check_(codec, document,
				  &g_array_index(parts, cb_text_part_t, i),
				  i + 1, findings);
	cb_document_unref(document);
	g_array_unref(parts);
	g_free(copy);
}

cb_document_t *cb_document_check_text(const cb_document_codec_t *codec,
				      const char *text, size_t size,
				      GPtrArray *findings)
{
	const cb_text_part_t whole = { text, size };
	unsigned int count = findings->len;
	GError *error = NULL;
	cb_document_t *document =
		cb_document_decode_text(codec, text, size, NULL, &error);

	if (document) {
		cb_document_check(document, findings);
		return document;
	}
	/* The routes of a text that is no document can't be told apart. */
	if (!codec->vtable->check_text ||
	    codec->vtable->check_text(codec, text, size, NULL))
		routes_text_check_(codec, text, size, findings);
	if (findings->len == count)
		decode_error_add_(findings, error, CB_PART_DOCUMENT, "",
				  &whole);
	g_error_free(error);
	return NULL;
}

/* Warns of texts that those of a request, as the look-up reads them, can't equal. */
static void route_check_match_(const check_t *check, const cb_route_t *route)
{
	if (strchr(route->host, ':'))
		warn_(check, CB_FINDING_NEVER_USED, "host",
		      "has a port or a colon; the host of a request is "
		      "compared without its port");
	else if (strpbrk(route->host, " /?#@"))
		warn_(check, CB_FINDING_NEVER_USED, "host",
		      "has a character that no host has");
	if (strpbrk(route->prefix, "?# "))
		warn_(check, CB_FINDING_NEVER_USED, "prefix",
		      "has a character that no path has; a query isn't "
		      "compared");
	if (check->document->has_workspaces && !route->is_public &&
	    !g_hash_table_size(check->document->keys))
		warn_(check, CB_FINDING_NEVER_USED, "is_public",
		      "needs a key, and no workspace has one");
}

static void route_check_times_(const check_t *check, const cb_route_t *route)
{
	if (route->target_latency_ms > route->timeout_ms)
		warn_(check, CB_FINDING_CONTRADICTION, "target_latency_ms",
		      "%" G_GINT64_FORMAT " ms is over the time limit of "
		      "%" G_GINT64_FORMAT " ms",
		      route->target_latency_ms, route->timeout_ms);
	if (route->target_gap_ms > route->timeout_ms)
		warn_(check, CB_FINDING_CONTRADICTION, "target_gap_ms",
		      "%" G_GINT64_FORMAT " ms is over the time limit of "
		      "%" G_GINT64_FORMAT " ms",
		      route->target_gap_ms, route->timeout_ms);
	if (route->target_latency_ms < 0)
		warn_(check, CB_FINDING_CONTRADICTION, "target_latency_ms",
		      "is below 0");
	if (route->target_gap_ms < 0)
		warn_(check, CB_FINDING_CONTRADICTION, "target_gap_ms",
		      "is below 0");
}

static void route_check_attempts_(const check_t *check, const cb_route_t *route)
{
	if (route->max_attempts > 1 &&
	    (route->kind == CB_ROUTE_ONCE ||
	     (route->kind == CB_ROUTE_STREAM && !route->is_resumable)))
		warn_(check, CB_FINDING_CONTRADICTION, "max_attempts",
		      "allows %u runs of a request that may run only once",
		      route->max_attempts);
}

static void route_check_(check_t *check, const cb_route_t *route)
{
	unsigned int i;

	check->part = CB_PART_ROUTE;
	check->name = route->name;
	route_check_match_(check, route);
	route_check_times_(check, route);
	route_check_attempts_(check, route);
	for (i = 0; i < route->splits->len; i++) {
		const cb_route_split_t *split =
			&g_array_index(route->splits, cb_route_split_t, i);

		if (!split->weight)
			warn_(check, CB_FINDING_NEVER_USED, "splits",
			      "gives %s no requests: its weight is 0",
			      split->service);
	}
}

/* Checks the routes; adds the services that get requests to `used_services`. */
static void routes_check_(check_t *check, GHashTable *used_services)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;
	unsigned int j;

	for (i = 0; i < check->document->routes->len; i++) {
		const cb_route_t *route = check->document->routes->pdata[i];

		route_check_(check, route);
		if (!g_hash_table_add(names, route->name))
			warn_(check, CB_FINDING_AMBIGUOUS, "name",
			      "is the name of another route too");
		for (j = 0; j < route->splits->len; j++) {
			const cb_route_split_t *split =
				&g_array_index(route->splits, cb_route_split_t,
					       j);

			if (split->weight)
				g_hash_table_add(used_services, split->service);
		}
	}
	g_hash_table_unref(names);
}

/* Warns of a kind that can't hold a layer, and of a second one of its name. */
static gboolean engine_check_kind_(const check_t *check,
				   const cb_engine_profile_t *engine,
				   const cb_engine_kind_t *kind)
{
	if (cb_engine_profile_kind(engine, kind->name) != kind)
		warn_(check, CB_FINDING_NEVER_USED, "kinds",
		      "has %s twice; the first one counts", kind->name);
	if (cb_placement_max_layers(engine, kind->memory_mb))
		return TRUE;
	warn_(check, CB_FINDING_CONTRADICTION, "kinds",
	      "%s has %g MB, and one layer needs %g MB", kind->name,
	      kind->memory_mb, engine->layer_mb);
	return FALSE;
}

static void engine_check_(const check_t *check,
			  const cb_engine_profile_t *engine)
{
	gboolean can_hold = FALSE;
	unsigned int i;

	if (!engine->slots)
		warn_(check, CB_FINDING_CONTRADICTION, "slots",
		      "an engine without slots runs nothing");
	if (!engine->loads_at_once)
		warn_(check, CB_FINDING_CONTRADICTION, "loads_at_once",
		      "no layer can be loaded");
	if (engine->layer_mb <= 0) {
		warn_(check, CB_FINDING_CONTRADICTION, "layer_mb",
		      "a layer must need memory");
		return;
	}
	for (i = 0; i < engine->kinds->len; i++)
		can_hold |= engine_check_kind_(check, engine,
					       engine->kinds->pdata[i]);
	if (!can_hold)
		warn_(check, CB_FINDING_CONTRADICTION, "kinds",
		      "no kind of accelerator can hold one layer");
}

/* Returns a set of strings as a sorted list, which the caller frees. */
static GList *names_sort_(GHashTable *names)
{
	return g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
}

static void services_check_(check_t *check, GHashTable *used_services)
{
	GList *names = names_sort_(check->document->services);
	GList *name;

	check->part = CB_PART_SERVICE;
	for (name = names; name; name = name->next) {
		const cb_service_profile_t *service =
			cb_document_service(check->document, name->data);

		check->name = name->data;
		if (!g_hash_table_contains(used_services, name->data))
			warn_(check, CB_FINDING_NEVER_USED, "",
			      "no route leads to it");
		if (service->engine)
			engine_check_(check, service->engine);
	}
	g_list_free(names);
}

/* Returns whether a route asks its callers for a key. */
static gboolean keys_are_asked_for_(const cb_document_t *document)
{
	unsigned int i;

	for (i = 0; i < document->routes->len; i++)
		if (!((cb_route_t *)document->routes->pdata[i])->is_public)
			return TRUE;
	return FALSE;
}

static void workspaces_check_(check_t *check)
{
	const cb_document_t *document = check->document;
	gboolean are_asked_for = keys_are_asked_for_(document);
	GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
	GList *names = names_sort_(document->workspaces);
	GHashTableIter iter;
	GList *name;
	void *value;

	g_hash_table_iter_init(&iter, document->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(owners, value);
	check->part = CB_PART_WORKSPACE;
	for (name = names; name; name = name->next) {
		check->name = name->data;
		if (!g_hash_table_contains(owners, name->data))
			warn_(check, CB_FINDING_NEVER_USED, "keys",
			      "has no key");
		else if (!are_asked_for)
			warn_(check, CB_FINDING_NEVER_USED, "keys",
			      "no route asks for a key");
	}
	g_list_free(names);
	g_hash_table_unref(owners);
}

static void limits_check_(check_t *check)
{
	const cb_document_limits_t *limits = &check->document->limits;

	check->part = CB_PART_LIMITS;
	check->name = "";
	if (!limits->max_header_bytes)
		warn_(check, CB_FINDING_CONTRADICTION, "max_header_bytes",
		      "is 0: every request is refused");
	if (!limits->max_body_bytes)
		warn_(check, CB_FINDING_CONTRADICTION, "max_body_bytes",
		      "is 0: every request with a body is refused");
	if (limits->header_timeout_ms <= 0)
		warn_(check, CB_FINDING_CONTRADICTION, "header_timeout_ms",
		      "no request can arrive in this time");
	if (limits->idle_timeout_ms < limits->header_timeout_ms)
		warn_(check, CB_FINDING_CONTRADICTION, "idle_timeout_ms",
		      "%" G_GINT64_FORMAT " ms is shorter than the "
		      "%" G_GINT64_FORMAT " ms for a request's header",
		      limits->idle_timeout_ms, limits->header_timeout_ms);
}

void cb_document_check(const cb_document_t *document, GPtrArray *findings)
{
	check_t check = { .document = document, .findings = findings };
	GHashTable *used_services = g_hash_table_new(g_str_hash, g_str_equal);

	routes_check_(&check, used_services);
	services_check_(&check, used_services);
	workspaces_check_(&check);
	limits_check_(&check);
	g_hash_table_unref(used_services);
}

void cb_document_check_version(const cb_document_t *document,
			       const cb_document_t *in_force,
			       GPtrArray *findings)
{
	if (document->version <= in_force->version)
		error_add_(findings, CB_PART_DOCUMENT, g_strdup(""),
			   g_strdup("version"),
			   g_strdup_printf("%" G_GINT64_FORMAT
					   " is not above %" G_GINT64_FORMAT
					   ", the version in force",
					   document->version,
					   in_force->version));
}
