#include "currantbridge/explain.h"

#include <json-glib/json-glib.h>
#include <string.h>

/*
 * Other log lines are context if they were written at most this long before
 * the request's first line or after its last.
 */
#define CONTEXT_BEFORE_MS 5000
#define CONTEXT_AFTER_MS 1000
#define US_PER_MS 1000
/* A loop that was later than this may have missed what had arrived. */
#define LOOP_LATE_MIN_MS 100
/* A document that is older than this is not named as a circumstance. */
#define DOCUMENT_NEW_MAX_MS 5000

/* One parsed log line. */
typedef struct log_entry {
	JsonObject *fields;
	/*
	 * `time` and the next two point into `fields`; "" if the field is
	 * missing.
	 */
	const char *time;
	const char *name;
	const char *instance;
	int64_t wall_ms; /* `time` since the Unix epoch; -1 if invalid */
} log_entry_t;

struct cb_explain {
	char *request; /* request ID */
	/* Lines about the request (log_entry_t), in order of time. */
	GPtrArray *request_entries;
	/* Lines that may explain the outcome (log_entry_t), by time. */
	GPtrArray *context_entries;
	/* Set of the instances' names and the servers' addresses and IDs. */
	GHashTable *involved_names;
	int64_t first_ms; /* wall clock of the request's first line */
	int64_t last_ms;  /* wall clock of the request's last line */
};

/* Fields that hold the address or ID of a server. */
static const char *const server_fields[] = { "address", "fault", "server",
					     "id" };

/* Events that are context whichever instance has logged them. */
static const struct {
	const char *name;
	/* Whether only lines that name a server of the request are context. */
	gboolean needs_involved_server;
} global_events[] = {
	{ "DOCUMENT_ACCEPTED", FALSE },
	{ "DOCUMENT_REFUSED", FALSE },
	{ "LAYERS_ORDERED", TRUE },
	{ "LAYERS_ANSWERED", TRUE },
};

static const char *entry_get_text_(const log_entry_t *entry, const char *field)
{
	return json_object_get_string_member_with_default(entry->fields, field,
							  "");
}

static int64_t entry_get_int_(const log_entry_t *entry, const char *field)
{
	return json_object_get_int_member_with_default(entry->fields, field, 0);
}

static void entry_delete_(void *data)
{
	log_entry_t *entry = data;

	json_object_unref(entry->fields);
	g_free(entry);
}

/* Returns the milliseconds since the Unix epoch of an ISO 8601 time, or -1. */
static int64_t time_parse_wall_ms_(const char *text)
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
 * Parses a log line and ignores any prefix that a log collector has added.
 * Returns NULL if it isn't a log line.
 */
static log_entry_t *entry_parse_(const char *line)
{
	const char *start = strstr(line, "{\"time\":");
	JsonParser *parser = json_parser_new();
	log_entry_t *entry = NULL;
	JsonNode *root;

	if (!start || !json_parser_load_from_data(parser, start, -1, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	entry = g_new0(log_entry_t, 1);
	entry->fields = json_node_dup_object(root);
	entry->time = entry_get_text_(entry, "time");
	entry->name = entry_get_text_(entry, "name");
	entry->instance = entry_get_text_(entry, "instance");
	entry->wall_ms = time_parse_wall_ms_(entry->time);
out:
	g_object_unref(parser);
	return entry;
}

/* Creates the explanation of a request, without any log lines yet. */
cb_explain_t *cb_explain_new(const char *request)
{
	cb_explain_t *explain = g_new0(cb_explain_t, 1);

	explain->request = g_strdup(request);
	explain->request_entries =
		g_ptr_array_new_with_free_func(entry_delete_);
	explain->context_entries =
		g_ptr_array_new_with_free_func(entry_delete_);
	explain->involved_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return explain;
}

/* Deletes an explanation; NULL is allowed. */
void cb_explain_delete(cb_explain_t *explain)
{
	if (!explain)
		return;
	g_free(explain->request);
	g_ptr_array_unref(explain->request_entries);
	g_ptr_array_unref(explain->context_entries);
	g_hash_table_unref(explain->involved_names);
	g_free(explain);
}

static void involved_name_add_(cb_explain_t *explain, const char *name)
{
	if (*name)
		g_hash_table_add(explain->involved_names, g_strdup(name));
}

/* Records the instance and the servers named in a line of the request. */
static void involved_names_add_from_entry_(cb_explain_t *explain,
					   const log_entry_t *entry)
{
	char **hops = g_strsplit(entry_get_text_(entry, "way"), " ", 0);
	char **hop;
	size_t i;

	involved_name_add_(explain, entry->instance);
	for (i = 0; i < G_N_ELEMENTS(server_fields); i++)
		involved_name_add_(explain,
				   entry_get_text_(entry, server_fields[i]));
	for (hop = hops; *hop; hop++) {
		(*hop)[strcspn(*hop, "=")] = '\0';
		involved_name_add_(explain, *hop);
	}
	g_strfreev(hops);
}

/*
 * Inserts an entry by time, after those of the same time.  Searches from the
 * end, because each log is in order of time already.
 */
static void entries_insert_by_time_(GPtrArray *entries, log_entry_t *entry)
{
	unsigned int index = entries->len;

	while (index > 0 &&
	       ((log_entry_t *)entries->pdata[index - 1])->wall_ms >
		       entry->wall_ms)
		index--;
	g_ptr_array_insert(entries, (int)index, entry);
}

/* Keeps a line about the request and records the instance and servers in it. */
void cb_explain_add_request_line(cb_explain_t *explain, const char *line)
{
	log_entry_t *entry;

	if (!strstr(line, explain->request))
		return;
	entry = entry_parse_(line);
	if (!entry)
		return;
	if (strcmp(entry_get_text_(entry, "request"), explain->request) != 0) {
		entry_delete_(entry);
		return;
	}
	if (!explain->request_entries->len ||
	    entry->wall_ms < explain->first_ms)
		explain->first_ms = entry->wall_ms;
	if (!explain->request_entries->len || entry->wall_ms > explain->last_ms)
		explain->last_ms = entry->wall_ms;
	involved_names_add_from_entry_(explain, entry);
	entries_insert_by_time_(explain->request_entries, entry);
}

static gboolean involved_names_contain_(const cb_explain_t *explain,
					const char *name)
{
	return *name && g_hash_table_contains(explain->involved_names, name);
}

/* Whether an entry names a server that was involved in the request. */
static gboolean entry_names_involved_server_(const cb_explain_t *explain,
					     const log_entry_t *entry)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(server_fields); i++)
		if (involved_names_contain_(explain,
					    entry_get_text_(entry,
							    server_fields[i])))
			return TRUE;
	return FALSE;
}

/* Whether an entry that isn't about the request may explain its outcome. */
static gboolean entry_is_context_(const cb_explain_t *explain,
				  const log_entry_t *entry)
{
	size_t i;

	if (entry->wall_ms < explain->first_ms - CONTEXT_BEFORE_MS ||
	    entry->wall_ms > explain->last_ms + CONTEXT_AFTER_MS)
		return FALSE;
	for (i = 0; i < G_N_ELEMENTS(global_events); i++)
		if (!strcmp(entry->name, global_events[i].name))
			return !global_events[i].needs_involved_server ||
			       entry_names_involved_server_(explain, entry);
	if (!involved_names_contain_(explain, entry->instance))
		return FALSE;
	/* Servers change all the time, so only those of the request matter. */
	return strcmp(entry->name, "FLEET_SERVER") != 0 ||
	       entry_names_involved_server_(explain, entry);
}

/* Keeps a line if it may explain the request's outcome. */
void cb_explain_add_context_line(cb_explain_t *explain, const char *line)
{
	log_entry_t *entry;

	if (!explain->request_entries->len || strstr(line, "\"request\":"))
		return;
	entry = entry_parse_(line);
	if (!entry)
		return;
	if (!entry_is_context_(explain, entry)) {
		entry_delete_(entry);
		return;
	}
	entries_insert_by_time_(explain->context_entries, entry);
}

/* Whether any line is about the request. */
gboolean cb_explain_is_found(const cb_explain_t *explain)
{
	return explain->request_entries->len > 0;
}

/* Returns the last entry of the event `name`, or NULL. */
static const log_entry_t *entries_find_last_(const GPtrArray *entries,
					     const char *name)
{
	const log_entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < entries->len; i++) {
		const log_entry_t *entry = entries->pdata[i];

		if (!strcmp(entry->name, name))
			found = entry;
	}
	return found;
}

/* Returns the entry that reports the request's end, or NULL. */
static const log_entry_t *request_find_end_(const cb_explain_t *explain)
{
	static const char *const names[] = { "RELAY_ENDED", "RELAY_REFUSED",
					     "RELAY_SERVED" };
	const log_entry_t *found = NULL;
	size_t i;

	for (i = 0; i < explain->request_entries->len; i++) {
		const log_entry_t *entry = explain->request_entries->pdata[i];

		/* Of a forwarded request, the caller's instance has the cut. */
		if (!strcmp(entry->name, "RELAY_ENDED") &&
		    entry_get_int_(entry, "is_cut"))
			found = entry;
	}
	for (i = 0; !found && i < G_N_ELEMENTS(names); i++)
		found = entries_find_last_(explain->request_entries, names[i]);
	return found;
}

/* Returns the address of the server that most likely failed, or "". */
static const char *failed_server_find_(const cb_explain_t *explain)
{
	const log_entry_t *stalled =
		entries_find_last_(explain->request_entries, "RELAY_STALLED");
	const log_entry_t *failed = entries_find_last_(explain->request_entries,
						       "RELAY_ATTEMPT_FAILED");

	if (stalled)
		return entry_get_text_(stalled, "address");
	if (!failed)
		return "";
	return *entry_get_text_(failed, "fault") ?
		       entry_get_text_(failed, "fault") :
		       entry_get_text_(failed, "address");
}

/* Problems of a server; the last is the most likely cause of a failure. */
typedef enum server_problem {
	PROBLEM_NONE,
	PROBLEM_JUST_STARTED,
	PROBLEM_SLOW,
	PROBLEM_NOT_READY,
} server_problem_t;

static server_problem_t entry_get_problem_(const log_entry_t *entry)
{
	if (strcmp(entry_get_text_(entry, "state"), "ready") != 0)
		return PROBLEM_NOT_READY;
	if (entry_get_int_(entry, "slow_percent") > 100)
		return PROBLEM_SLOW;
	return entry_get_int_(entry, "sequence") <= 1 ? PROBLEM_JUST_STARTED :
							PROBLEM_NONE;
}

/* Appends the most likely problem that was logged for a server. */
static void cause_append_server_problem_(GString *cause,
					 const cb_explain_t *explain,
					 const char *address)
{
	server_problem_t problem = PROBLEM_NONE;
	const log_entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < explain->context_entries->len; i++) {
		const log_entry_t *entry = explain->context_entries->pdata[i];

		if (strcmp(entry->name, "FLEET_SERVER") != 0 ||
		    strcmp(entry_get_text_(entry, "address"), address) != 0)
			continue;
		if (entry_get_problem_(entry) <= problem)
			continue;
		found = entry;
		problem = entry_get_problem_(entry);
	}
	if (problem == PROBLEM_NONE)
		g_string_append(cause,
				"; no problem of this server was logged");
	else if (problem == PROBLEM_NOT_READY)
		g_string_append_printf(cause, "; %s knew it as %s from %s on",
				       found->instance,
				       entry_get_text_(found, "state"),
				       found->time);
	else if (problem == PROBLEM_SLOW)
		g_string_append_printf(cause,
				       "; it took %" G_GINT64_FORMAT
				       "%% of its usual time from %s on",
				       entry_get_int_(found, "slow_percent"),
				       found->time);
	else
		g_string_append_printf(cause, "; it had just started, at %s",
				       found->time);
}

/* Explanation of each reason that a request may end with. */
static const struct {
	const char *reason;
	const char *cause;
	gboolean may_be_server_failure;
} causes[] = {
	{ "unknown_key", "no workspace had the request's key", FALSE },
	{ "no_route", "no route matched its host and path", FALSE },
	{ "stopping",
	  "the instance was stopping and could not have finished it", FALSE },
	{ "not_configured",
	  "the instance had no configuration from a majority of control yet",
	  FALSE },
	{ "no_server",
	  "some of the layers were loaded on no running server, or the "
	  "service had no server",
	  FALSE },
	{ "no_room",
	  "the servers were full, according to the usage of all instances",
	  FALSE },
	{ "overloaded",
	  "its service was asked for more than its engines can hold", FALSE },
	{ "no_retry_left",
	  "it failed, and the retry budget of its service was used up", TRUE },
	{ "deadline", "its deadline passed", TRUE },
	{ "caller_gone", "its caller closed the connection before the end",
	  TRUE },
	{ "lost", "the connection to the server ended without an answer",
	  TRUE },
	{ "truncated", "the server's answer ended early", TRUE },
	{ "malformed", "the server sent a malformed answer", TRUE },
	{ "unsent", "the server could not be reached", TRUE },
	{ "not_run", "the servers rejected it without running it", TRUE },
	{ "server_error", "the server answered with an error", TRUE },
	{ "silent", "the stream sent no data within its time limit", TRUE },
	{ "complete", "the server's own answer was a failure", TRUE },
	{ "cut_off",
	  "the instance had lost its way to the servers and gave up an attempt "
	  "in progress",
	  FALSE },
	{ "no_way",
	  "neither the instance nor any to which it was forwarded reached a "
	  "server of the service",
	  FALSE },
	{ "refused_elsewhere",
	  "the instance to which it was forwarded refused it", FALSE },
	{ "failed_elsewhere",
	  "it failed at the instance to which it was forwarded", FALSE },
};

/* Appends why there was no room for the request, if a line says so. */
static void cause_append_room_(GString *cause, const cb_explain_t *explain)
{
	const log_entry_t *refused =
		entries_find_last_(explain->request_entries,
				   "RELAY_ROOM_REFUSED");
	const char *because;

	if (!refused)
		return;
	because = entry_get_text_(refused, "because");
	g_string_append_printf(
		cause,
		": %" G_GINT64_FORMAT "%% of the room in use, %" G_GINT64_FORMAT
		"%% of the requests of workspace %s at rank %" G_GINT64_FORMAT
		" could begin",
		entry_get_int_(refused, "used_percent"),
		entry_get_int_(refused, "admitted_percent"),
		entry_get_text_(refused, "workspace"),
		entry_get_int_(refused, "rank"));
	if (!strcmp(because, "workspace"))
		g_string_append(cause, "; the workspace asked for more than "
				       "its share");
	else if (!strcmp(because, "rank"))
		g_string_append(cause, "; more urgent requests left too "
				       "little for its rank");
	else
		g_string_append_printf(
			cause,
			"; what all instances use was last known "
			"%" G_GINT64_FORMAT " ms before, and this instance's "
			"own part was full",
			entry_get_int_(refused, "age_ms"));
	g_string_append_printf(cause,
			       "; the caller was told to come back after "
			       "%" G_GINT64_FORMAT " ms",
			       entry_get_int_(refused, "retry_after_ms"));
}

/* Returns the last context entry `name` that `instance` logged, or NULL. */
static const log_entry_t *context_find_last_(const cb_explain_t *explain,
					     const char *name,
					     const char *instance)
{
	const log_entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < explain->context_entries->len; i++) {
		const log_entry_t *entry = explain->context_entries->pdata[i];

		if (!strcmp(entry->name, name) &&
		    !strcmp(entry->instance, instance) &&
		    entry->wall_ms <= explain->last_ms)
			found = entry;
	}
	return found;
}

/* Appends that an instance had lost its way to servers, if it logged that. */
static void cause_append_lost_way_(GString *cause, const cb_explain_t *explain,
				   const char *instance)
{
	const log_entry_t *lost =
		context_find_last_(explain, "RELAY_WAY_LOST", instance);

	if (!lost)
		return;
	g_string_append_printf(
		cause,
		"; %s had lost its way to the servers of %s at %s "
		"(%s: of its checks over new connections %" G_GINT64_FORMAT
		" were refused, %" G_GINT64_FORMAT
		" not answered in time, %" G_GINT64_FORMAT
		" connected without an answer)",
		instance, entry_get_text_(lost, "data_centre"), lost->time,
		entry_get_text_(lost, "state"), entry_get_int_(lost, "refused"),
		entry_get_int_(lost, "unanswered"),
		entry_get_int_(lost, "mute"));
}

/*
 * Appends what else was the matter with the instance that logged `entry`: its
 * loop was late, it had no descriptors, or a document had just come.
 */
static void cause_append_circumstances_(GString *cause,
					const cb_explain_t *explain,
					const log_entry_t *entry)
{
	const log_entry_t *full =
		context_find_last_(explain, "ENTRY_OUT_OF_DESCRIPTORS",
				   entry->instance);
	int64_t late_ms = entry_get_int_(entry, "loop_late_ms");
	int64_t age_ms =
		json_object_get_int_member_with_default(entry->fields,
							"document_age_ms", -1);

	if (late_ms > LOOP_LATE_MIN_MS)
		g_string_append_printf(cause,
				       "; the loop of %s was %" G_GINT64_FORMAT
				       " ms late in the second before, so its "
				       "time limits may have passed by its own "
				       "delay",
				       entry->instance, late_ms);
	if (full)
		g_string_append_printf(cause,
				       "; %s had no free descriptor for an "
				       "arriving connection at %s",
				       entry->instance, full->time);
	if (age_ms >= 0 && age_ms <= DOCUMENT_NEW_MAX_MS)
		g_string_append_printf(cause,
				       "; a document had come into force "
				       "%" G_GINT64_FORMAT " ms before",
				       age_ms);
}

/*
 * Returns the last failure of an attempt that the instance of `end` made at a
 * server (`is_forwarded` FALSE) or through another instance (TRUE), or NULL.
 */
static const log_entry_t *failure_find_(const cb_explain_t *explain,
					const log_entry_t *end,
					gboolean is_forwarded)
{
	const log_entry_t *found = NULL;
	unsigned int i;

	for (i = 0; i < explain->request_entries->len; i++) {
		const log_entry_t *entry = explain->request_entries->pdata[i];

		if (!strcmp(entry->name, "RELAY_ATTEMPT_FAILED") &&
		    !strcmp(entry->instance, end->instance) &&
		    !*entry_get_text_(entry, "forwarded_to") == !is_forwarded)
			found = entry;
	}
	return found;
}

/*
 * Appends why an answer that had begun was cut: how its last attempts failed, and
 * what was the matter with the instance at that time.  `end` is the line of the
 * request's end.
 */
static void cause_append_cut_(GString *cause, const cb_explain_t *explain,
			      const log_entry_t *end)
{
	const log_entry_t *failed = failure_find_(explain, end, FALSE);
	const log_entry_t *forwarded = failure_find_(explain, end, TRUE);

	if (entry_get_int_(end, "is_cut"))
		g_string_append_printf(cause,
				       "; its answer was cut after event "
				       "%" G_GINT64_FORMAT,
				       entry_get_int_(end, "last_event"));
	if (failed)
		g_string_append_printf(cause,
				       "; its last attempt at %s failed (%s) "
				       "at %s",
				       entry_get_text_(failed, "address"),
				       entry_get_text_(failed, "result"),
				       failed->time);
	if (forwarded)
		g_string_append_printf(
			cause, "; forwarded to %s it failed (%s) at %s",
			entry_get_text_(forwarded, "forwarded_to"),
			entry_get_text_(forwarded, "result"), forwarded->time);
	cause_append_lost_way_(cause, explain, end->instance);
	cause_append_circumstances_(cause, explain, failed ? failed : end);
}

/* Appends the explanation of the reason that the request ended with. */
static void cause_append_reason_(GString *cause, const cb_explain_t *explain,
				 const log_entry_t *end)
{
	const char *reason = entry_get_text_(end, "reason");
	const char *failed_server = failed_server_find_(explain);
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
				       entry_get_int_(end, "version"));
	if (!strcmp(reason, "overloaded"))
		cause_append_room_(cause, explain);
	if (causes[i].may_be_server_failure && *failed_server) {
		g_string_append_printf(cause, "; server at fault: %s",
				       failed_server);
		cause_append_server_problem_(cause, explain, failed_server);
	}
	if (entry_get_int_(end, "is_cut") || !strcmp(reason, "no_way") ||
	    !strcmp(reason, "cut_off"))
		cause_append_cut_(cause, explain, end);
}

/* Returns a sentence on the likely cause of the request's end; free it. */
char *cb_explain_cause(const cb_explain_t *explain)
{
	GString *cause = g_string_new(NULL);
	const log_entry_t *end = request_find_end_(explain);
	const log_entry_t *failed = entries_find_last_(explain->request_entries,
						       "RELAY_ATTEMPT_FAILED");

	if (!explain->request_entries->len)
		g_string_append(cause, "no line names the request");
	else if (!end)
		g_string_append(
			cause,
			"no line reports its end: the instance stopped first, "
			"or the line was omitted (LOG_LIMITED, LOG_DROPPED)");
	else if (strcmp(end->name, "RELAY_SERVED") != 0)
		cause_append_reason_(cause, explain, end);
	else if (!failed)
		g_string_append(cause, "it was served at the first attempt");
	else {
		g_string_append_printf(
			cause,
			"it was served after an attempt failed (%s) at "
			"%s",
			entry_get_text_(failed, "result"),
			failed_server_find_(explain));
		cause_append_server_problem_(cause, explain,
					     failed_server_find_(explain));
	}
	return g_string_free(cause, FALSE);
}

/* Appends a line with time, instance, event and the event's own fields. */
static void text_append_entry_(GString *text, const log_entry_t *entry)
{
	static const char *const common_fields[] = { "time",	"level",
						     "event",	"name",
						     "message", "instance",
						     "request" };
	GList *members = json_object_get_members(entry->fields);
	GList *member;

	g_string_append_printf(text, "  %s %s %s", entry->time, entry->instance,
			       entry->name);
	for (member = members; member; member = member->next) {
		const char *name = member->data;
		char *value;
		size_t i = 0;

		while (i < G_N_ELEMENTS(common_fields) &&
		       strcmp(common_fields[i], name) != 0)
			i++;
		if (i < G_N_ELEMENTS(common_fields))
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

/* Returns the kept lines and the likely cause as readable text; free it. */
char *cb_explain_text(const cb_explain_t *explain)
{
	GString *text = g_string_new(NULL);
	char *cause = cb_explain_cause(explain);
	unsigned int i;

	g_string_append_printf(text, "request %s\n", explain->request);
	for (i = 0; i < explain->request_entries->len; i++)
		text_append_entry_(text, explain->request_entries->pdata[i]);
	if (explain->context_entries->len)
		g_string_append(text, "around it\n");
	for (i = 0; i < explain->context_entries->len; i++)
		text_append_entry_(text, explain->context_entries->pdata[i]);
	g_string_append_printf(text, "likely cause: %s\n", cause);
	g_free(cause);
	return g_string_free(text, FALSE);
}

static void builder_add_entries_(JsonBuilder *builder, const char *name,
				 const GPtrArray *entries)
{
	unsigned int i;

	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (i = 0; i < entries->len; i++) {
		const log_entry_t *entry = entries->pdata[i];
		JsonNode *node = json_node_new(JSON_NODE_OBJECT);

		json_node_set_object(node, entry->fields);
		json_builder_add_value(builder, node);
	}
	json_builder_end_array(builder);
}

/* Returns the kept lines and the likely cause as a JSON object; free it. */
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
	builder_add_entries_(builder, "lines", explain->request_entries);
	builder_add_entries_(builder, "around", explain->context_entries);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	g_free(cause);
	return text;
}
