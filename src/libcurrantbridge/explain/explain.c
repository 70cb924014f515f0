#include "currantbridge/explain.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* What happened within this time of a request may have caused its end. */
#define BEFORE_MS 5000
#define AFTER_MS 1000
#define US_PER_MS 1000

/* One line of a log. */
typedef struct entry {
	JsonObject *fields;
	const char *time; /* these three belong to `fields`; "" if missing */
	const char *name;
	const char *instance;
	int64_t wall_ms;
} entry_t;

struct cb_explain {
	char *request;
	GPtrArray *own;	      /* of entry_t: lines of the request, in order */
	GPtrArray *context;   /* of entry_t: others that may matter */
	GHashTable *involved; /* instances, and addresses and IDs of servers */
	int64_t first_ms;
	int64_t last_ms;
};

/* The fields that name a server. */
static const char *const server_fields[] = { "address", "fault", "server",
					     "id" };

/* Events that matter by whichever process they are written. */
static const struct {
	const char *name;
	gboolean is_of_server; /* only if the request was sent to that server */
} global_events[] = {
	{ "DOCUMENT_ACCEPTED", FALSE },
	{ "DOCUMENT_REFUSED", FALSE },
	{ "LAYERS_ORDERED", TRUE },
	{ "LAYERS_ANSWERED", TRUE },
};

static const char *text_(const entry_t *entry, const char *field)
{
	return json_object_get_string_member_with_default(entry->fields, field,
							  "");
}

static int64_t number_(const entry_t *entry, const char *field)
{
	return json_object_get_int_member_with_default(entry->fields, field, 0);
}

static void entry_delete_(void *data)
{
	entry_t *entry = data;

	json_object_unref(entry->fields);
	g_free(entry);
}

/* Reads a time as the log writes it; -1 if it is none. */
static int64_t wall_ms_(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	int64_t wall_ms;

	if (!time)
		return -1;
	wall_ms = g_date_time_to_unix(time) * 1000 +
		  g_date_time_get_microsecond(time) / US_PER_MS;
	g_date_time_unref(time);
	return wall_ms;
}

/*
 * Reads one line, also behind what a collector has put before it; NULL if it
 * is no line of a log.
 */
static entry_t *entry_new_(const char *line)
{
	const char *start = strstr(line, "{\"time\":");
	JsonParser *parser = json_parser_new();
	entry_t *entry = NULL;
	JsonNode *root;

	if (!start || !json_parser_load_from_data(parser, start, -1, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	entry = g_new0(entry_t, 1);
	entry->fields = json_node_dup_object(root);
	entry->time = text_(entry, "time");
	entry->name = text_(entry, "name");
	entry->instance = text_(entry, "instance");
	entry->wall_ms = wall_ms_(entry->time);
out:
	g_object_unref(parser);
	return entry;
}

/* Makes the explanation of a request by its ID. */
cb_explain_t *cb_explain_new(const char *request)
{
	cb_explain_t *explain = g_new0(cb_explain_t, 1);

	explain->request = g_strdup(request);
	explain->own = g_ptr_array_new_with_free_func(entry_delete_);
	explain->context = g_ptr_array_new_with_free_func(entry_delete_);
	explain->involved =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return explain;
}

/* Deletes an explanation; NULL is allowed. */
void cb_explain_delete(cb_explain_t *explain)
{
	if (!explain)
		return;
	g_free(explain->request);
	g_ptr_array_unref(explain->own);
	g_ptr_array_unref(explain->context);
	g_hash_table_unref(explain->involved);
	g_free(explain);
}

static void involve_(cb_explain_t *explain, const char *name)
{
	if (*name)
		g_hash_table_add(explain->involved, g_strdup(name));
}

/* Notes the instance and the servers that a line of the request names. */
static void involve_all_(cb_explain_t *explain, const entry_t *entry)
{
	char **hops = g_strsplit(text_(entry, "way"), " ", 0);
	char **hop;
	size_t i;

	involve_(explain, entry->instance);
	for (i = 0; i < G_N_ELEMENTS(server_fields); i++)
		involve_(explain, text_(entry, server_fields[i]));
	for (hop = hops; *hop; hop++) {
		(*hop)[strcspn(*hop, "=")] = '\0';
		involve_(explain, *hop);
	}
	g_strfreev(hops);
}

/* Takes a line behind those of its time and before; a log is in order. */
static void entry_add_(GPtrArray *entries, entry_t *entry)
{
	unsigned int at = entries->len;

	while (at > 0 &&
	       ((entry_t *)entries->pdata[at - 1])->wall_ms > entry->wall_ms)
		at--;
	g_ptr_array_insert(entries, (int)at, entry);
}

/* Keeps a line if it is one of the request. */
void cb_explain_take_request(cb_explain_t *explain, const char *line)
{
	entry_t *entry;

	if (!strstr(line, explain->request))
		return;
	entry = entry_new_(line);
	if (!entry)
		return;
	if (strcmp(text_(entry, "request"), explain->request) != 0) {
		entry_delete_(entry);
		return;
	}
	if (!explain->own->len || entry->wall_ms < explain->first_ms)
		explain->first_ms = entry->wall_ms;
	if (!explain->own->len || entry->wall_ms > explain->last_ms)
		explain->last_ms = entry->wall_ms;
	involve_all_(explain, entry);
	entry_add_(explain->own, entry);
}

static gboolean is_involved_(const cb_explain_t *explain, const char *name)
{
	return *name && g_hash_table_contains(explain->involved, name);
}

/* Whether a line tells of a server that the request was sent to. */
static gboolean names_server_(const cb_explain_t *explain, const entry_t *entry)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(server_fields); i++)
		if (is_involved_(explain, text_(entry, server_fields[i])))
			return TRUE;
	return FALSE;
}

/* Whether a line that is none of the request may tell why it ended so. */
static gboolean matters_(const cb_explain_t *explain, const entry_t *entry)
{
	size_t i;

	if (entry->wall_ms < explain->first_ms - BEFORE_MS ||
	    entry->wall_ms > explain->last_ms + AFTER_MS)
		return FALSE;
	for (i = 0; i < G_N_ELEMENTS(global_events); i++)
		if (!strcmp(entry->name, global_events[i].name))
			return !global_events[i].is_of_server ||
			       names_server_(explain, entry);
	if (!is_involved_(explain, entry->instance))
		return FALSE;
	/* Of the fleet, which changes all the time, only its own servers. */
	return strcmp(entry->name, "FLEET_SERVER") != 0 ||
	       names_server_(explain, entry);
}

/* Keeps a line if it may have to do with the request. */
void cb_explain_take_context(cb_explain_t *explain, const char *line)
{
	entry_t *entry;

	if (!explain->own->len || strstr(line, "\"request\":"))
		return;
	entry = entry_new_(line);
	if (!entry)
		return;
	if (!matters_(explain, entry)) {
		entry_delete_(entry);
		return;
	}
	entry_add_(explain->context, entry);
}

/* Whether any line names the request. */
gboolean cb_explain_is_found(const cb_explain_t *explain)
{
	return explain->own->len > 0;
}

/* Returns the last line of that event, or NULL. */
static const entry_t *last_(const GPtrArray *entries, const char *name)
{
	const entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];

		if (!strcmp(entry->name, name))
			found = entry;
	}
	return found;
}

/* Returns the line that tells how the request ended, or NULL. */
static const entry_t *end_(const cb_explain_t *explain)
{
	static const char *const names[] = { "RELAY_ENDED", "RELAY_REFUSED",
					     "RELAY_SERVED" };
	const entry_t *found = NULL;
	size_t i;

	for (i = 0; !found && i < G_N_ELEMENTS(names); i++)
		found = last_(explain->own, names[i]);
	return found;
}

/* Returns the address of the server that is at fault most likely, or "". */
static const char *suspect_(const cb_explain_t *explain)
{
	const entry_t *stalled = last_(explain->own, "RELAY_STALLED");
	const entry_t *failed = last_(explain->own, "RELAY_ATTEMPT_FAILED");

	if (stalled)
		return text_(stalled, "address");
	if (!failed)
		return "";
	return *text_(failed, "fault") ? text_(failed, "fault") :
					 text_(failed, "address");
}

/* What a word on a server tells of its failure; the later explain more. */
typedef enum trouble {
	TROUBLE_NONE,
	TROUBLE_STARTED,
	TROUBLE_SLOW,
	TROUBLE_NOT_READY,
} trouble_t;

static trouble_t trouble_(const entry_t *entry)
{
	if (strcmp(text_(entry, "state"), "ready") != 0)
		return TROUBLE_NOT_READY;
	if (number_(entry, "slow_percent") > 100)
		return TROUBLE_SLOW;
	return number_(entry, "sequence") <= 1 ? TROUBLE_STARTED : TROUBLE_NONE;
}

/* Adds what the fleet knew of a server other than that it was ready. */
static void server_append_(GString *cause, const cb_explain_t *explain,
			   const char *address)
{
	trouble_t trouble = TROUBLE_NONE;
	const entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < explain->context->len; i++) {
		const entry_t *entry = explain->context->pdata[i];

		if (strcmp(entry->name, "FLEET_SERVER") != 0 ||
		    strcmp(text_(entry, "address"), address) != 0)
			continue;
		if (trouble_(entry) <= trouble)
			continue;
		found = entry;
		trouble = trouble_(entry);
	}
	if (trouble == TROUBLE_NONE)
		g_string_append(cause, "; the fleet knew of no trouble there");
	else if (trouble == TROUBLE_NOT_READY)
		g_string_append_printf(cause, "; %s knew it as %s from %s on",
				       found->instance, text_(found, "state"),
				       found->time);
	else if (trouble == TROUBLE_SLOW)
		g_string_append_printf(cause,
				       "; it took %" G_GINT64_FORMAT
				       "%% of its usual time from %s on",
				       number_(found, "slow_percent"),
				       found->time);
	else
		g_string_append_printf(cause, "; it had just started, at %s",
				       found->time);
}

/* What each reason or result means, for a request that ended with it. */
static const struct {
	const char *reason;
	const char *cause;
	gboolean names_server; /* a server is at fault */
} causes[] = {
	{ "unknown_key", "no workspace held the request's key", FALSE },
	{ "no_route", "no route had its host and path", FALSE },
	{ "stopping",
	  "the instance was stopping and could not have finished it", FALSE },
	{ "not_configured",
	  "the instance had no configuration from a majority of control yet",
	  FALSE },
	{ "no_server",
	  "no server that was up held some of the layers, or the "
	  "service had none",
	  FALSE },
	{ "no_room", "the servers were full by the usage of all instances",
	  FALSE },
	{ "no_retry_left",
	  "it had failed, and the retries of its service were used up", TRUE },
	{ "deadline", "its time was over", TRUE },
	{ "caller_gone", "its caller closed before the end", TRUE },
	{ "lost", "the connection to the server ended without an answer",
	  TRUE },
	{ "truncated", "the server's answer ended early", TRUE },
	{ "malformed", "the server sent what is no answer", TRUE },
	{ "unsent", "the server could not be reached", TRUE },
	{ "not_run", "the servers turned it away", TRUE },
	{ "server_error", "the server answered with an error", TRUE },
	{ "silent", "the stream fell silent", TRUE },
	{ "complete", "the server's own answer was a failure", TRUE },
};

static void cause_append_(GString *cause, const cb_explain_t *explain,
			  const entry_t *end)
{
	const char *reason = text_(end, "reason");
	const char *suspect = suspect_(explain);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(causes); i++)
		if (!strcmp(causes[i].reason, reason))
			break;
	if (i == G_N_ELEMENTS(causes)) {
		g_string_append_printf(cause, "reason %s", reason);
		return;
	}
	g_string_append(cause, causes[i].cause);
	if (json_object_has_member(end->fields, "version"))
		g_string_append_printf(cause,
				       " (document version %" G_GINT64_FORMAT
				       ")",
				       number_(end, "version"));
	if (!causes[i].names_server || !*suspect)
		return;
	g_string_append_printf(cause, "; server at fault: %s", suspect);
	server_append_(cause, explain, suspect);
}

/* Returns the likely cause of the request's end in words; free it. */
char *cb_explain_cause(const cb_explain_t *explain)
{
	GString *cause = g_string_new(NULL);
	const entry_t *end = end_(explain);
	const entry_t *failed = last_(explain->own, "RELAY_ATTEMPT_FAILED");

	if (!explain->own->len)
		g_string_append(cause, "no line names the request");
	else if (!end)
		g_string_append(
			cause,
			"no line tells its end: the instance ended first, or "
			"the line was left out (LOG_LIMITED, LOG_DROPPED)");
	else if (strcmp(end->name, "RELAY_SERVED") != 0)
		cause_append_(cause, explain, end);
	else if (!failed)
		g_string_append(cause, "it was served at the first attempt");
	else {
		g_string_append_printf(
			cause,
			"it was served after an attempt failed (%s) at "
			"%s",
			text_(failed, "result"), suspect_(explain));
		server_append_(cause, explain, suspect_(explain));
	}
	return g_string_free(cause, FALSE);
}

/* Adds one line: when, who, what, and the fields that the event has. */
static void entry_append_(GString *text, const entry_t *entry)
{
	static const char *const heads[] = { "time",   "level",	  "event",
					     "name",   "message", "instance",
					     "request" };
	GList *members = json_object_get_members(entry->fields);
	GList *at;

	g_string_append_printf(text, "  %s %s %s", entry->time, entry->instance,
			       entry->name);
	for (at = members; at; at = at->next) {
		const char *name = at->data;
		char *value;
		size_t i = 0;

		while (i < G_N_ELEMENTS(heads) && strcmp(heads[i], name) != 0)
			i++;
		if (i < G_N_ELEMENTS(heads))
			continue;
		value = json_to_string(json_object_get_member(entry->fields,
							      name),
				       FALSE);
		g_string_append_printf(text, " %s=%s", name, value);
		g_free(value);
	}
	g_string_append_c(text, '\n');
	g_list_free(members);
}

/* Returns all that is known, for a person; free it. */
char *cb_explain_text(const cb_explain_t *explain)
{
	GString *text = g_string_new(NULL);
	char *cause = cb_explain_cause(explain);
	unsigned int i;

	g_string_append_printf(text, "request %s\n", explain->request);
	for (i = 0; i < explain->own->len; i++)
		entry_append_(text, explain->own->pdata[i]);
	if (explain->context->len)
		g_string_append(text, "around it\n");
	for (i = 0; i < explain->context->len; i++)
		entry_append_(text, explain->context->pdata[i]);
	g_string_append_printf(text, "likely cause: %s\n", cause);
	g_free(cause);
	return g_string_free(text, FALSE);
}

static void entries_build_(JsonBuilder *builder, const char *name,
			   const GPtrArray *entries)
{
	unsigned int i;

	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (i = 0; i < entries->len; i++) {
		const entry_t *entry = entries->pdata[i];
		JsonNode *node = json_node_new(JSON_NODE_OBJECT);

		json_node_set_object(node, entry->fields);
		json_builder_add_value(builder, node);
	}
	json_builder_end_array(builder);
}

/* Returns the same as one JSON object; free it. */
char *cb_explain_json(const cb_explain_t *explain)
{
	JsonBuilder *builder = json_builder_new();
	char *cause = cb_explain_cause(explain);
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "request");
	json_builder_add_string_value(builder, explain->request);
	json_builder_set_member_name(builder, "cause");
	json_builder_add_string_value(builder, cause);
	entries_build_(builder, "lines", explain->own);
	entries_build_(builder, "around", explain->context);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	g_free(cause);
	return text;
}
