#include "currantbridge/log.h"

#include <json-glib/json-glib.h>
#include <string.h>

struct cb_log {
	cb_clock_t *clock;
	FILE *stream;
	cb_log_format_t format;
	cb_log_level_t lowest_level;
};

const char *const cb_log_level_string[CB_LOG_LEVEL_COUNT] = {
	[CB_LOG_LEVEL_DEBUG] = "debug",
	[CB_LOG_LEVEL_INFO] = "info",
	[CB_LOG_LEVEL_WARNING] = "warning",
	[CB_LOG_LEVEL_ERROR] = "error",
};

const char *const cb_log_format_string[CB_LOG_FORMAT_COUNT] = {
	[CB_LOG_FORMAT_TEXT] = "text",
	[CB_LOG_FORMAT_JSON] = "json",
};

typedef struct event_info {
	cb_event_t event;
	cb_log_level_t level;
	const char *name;
	const char *message;
} event_info_t;

static const event_info_t event_table[] = {
#define CB_EVENT(number, event_name, event_level, text) \
	{                                               \
		.event = (number),                      \
		.level = CB_LOG_LEVEL_##event_level,    \
		.name = #event_name,                    \
		.message = (text),                      \
	},
#include "currantbridge/events.def"
#undef CB_EVENT
};

/*
 * Makes a log that writes events of `lowest_level` and above to `stream`,
 * which it does not close.
 */
cb_log_t *cb_log_new(cb_clock_t *clock, FILE *stream, cb_log_format_t format,
		     cb_log_level_t lowest_level)
{
	cb_log_t *log = g_new0(cb_log_t, 1);

	log->clock = clock;
	log->stream = stream;
	log->format = format;
	log->lowest_level = lowest_level;
	return log;
}

/* Deletes a log; NULL is allowed. */
void cb_log_delete(cb_log_t *log)
{
	g_free(log);
}

static const event_info_t *event_find_(cb_event_t event)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(event_table); i++)
		if (event_table[i].event == event)
			return &event_table[i];
	g_assert_not_reached();
}

static char *time_format_(int64_t wall_ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / 1000);
	char *day = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	char *text = g_strdup_printf("%s.%03dZ", day, (int)(wall_ms % 1000));

	g_free(day);
	g_date_time_unref(time);
	return text;
}

static void write_text_(cb_log_t *log, const event_info_t *info,
			const char *time, const cb_log_field_t *field)
{
	fprintf(log->stream, "%s %s %d %s: %s", time,
		cb_log_level_string[info->level], (int)info->event, info->name,
		info->message);
	for (; field->name; field++) {
		char *quoted;

		if (!field->text) {
			fprintf(log->stream, " %s=%" G_GINT64_FORMAT,
				field->name, field->number);
			continue;
		}
		quoted = g_strescape(field->text, NULL);
		fprintf(log->stream, " %s=\"%s\"", field->name, quoted);
		g_free(quoted);
	}
	fputc('\n', log->stream);
}

static void write_json_(cb_log_t *log, const event_info_t *info,
			const char *time, const cb_log_field_t *field)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(object, "time", time);
	json_object_set_string_member(object, "level",
				      cb_log_level_string[info->level]);
	json_object_set_int_member(object, "event", info->event);
	json_object_set_string_member(object, "name", info->name);
	json_object_set_string_member(object, "message", info->message);
	for (; field->name; field++) {
		if (field->text)
			json_object_set_string_member(object, field->name,
						      field->text);
		else
			json_object_set_int_member(object, field->name,
						   field->number);
	}
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	fprintf(log->stream, "%s\n", text);
	g_free(text);
	json_node_unref(node);
}

/*
 * Writes one event with the fields up to the one whose name is NULL.  Code
 * calls the macro cb_log_event().  A NULL log drops the event.
 */
void cb_log_write(cb_log_t *log, cb_event_t event, const cb_log_field_t *fields)
{
	const event_info_t *info;
	char *time;

	if (!log)
		return;
	info = event_find_(event);
	if (info->level < log->lowest_level)
		return;
	time = time_format_(cb_clock_wall_ms(log->clock));
	if (log->format == CB_LOG_FORMAT_JSON)
		write_json_(log, info, time, fields);
	else
		write_text_(log, info, time, fields);
	fflush(log->stream);
	g_free(time);
}
