#include "currantbridge/log.h"

#include <string.h>
#include <time.h>

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

/* Formats a time as ISO 8601 in UTC; free it. */
static char *time_format_(int64_t wall_ms)
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm parts;

	gmtime_r(&seconds, &parts);
	return g_strdup_printf("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
			       parts.tm_year + 1900, parts.tm_mon + 1,
			       parts.tm_mday, parts.tm_hour, parts.tm_min,
			       parts.tm_sec, (int)(wall_ms % 1000));
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

/* Appends a JSON string; bytes that are not UTF-8 are replaced. */
static void json_string_append_(GString *line, const char *text)
{
	char *valid = g_utf8_validate(text, -1, NULL) ?
			      NULL :
			      g_utf8_make_valid(text, -1);
	const char *c;

	g_string_append_c(line, '"');
	for (c = valid ? valid : text; *c; c++) {
		if (*c == '"' || *c == '\\')
			g_string_append_c(line, '\\');
		if ((unsigned char)*c < ' ')
			g_string_append_printf(line, "\\u%04x", *c);
		else
			g_string_append_c(line, *c);
	}
	g_string_append_c(line, '"');
	g_free(valid);
}

/* One line a log event is by far the most JSON that a daemon writes. */
static void write_json_(cb_log_t *log, const event_info_t *info,
			const char *time, const cb_log_field_t *field)
{
	GString *line = g_string_sized_new(512);

	g_string_append_printf(line,
			       "{\"time\":\"%s\",\"level\":\"%s\",\"event\":%d,"
			       "\"name\":\"%s\",\"message\":\"%s\"",
			       time, cb_log_level_string[info->level],
			       (int)info->event, info->name, info->message);
	for (; field->name; field++) {
		g_string_append_printf(line, ",\"%s\":", field->name);
		if (field->text)
			json_string_append_(line, field->text);
		else
			g_string_append_printf(line, "%" G_GINT64_FORMAT,
					       field->number);
	}
	g_string_append(line, "}\n");
	fwrite(line->str, 1, line->len, log->stream);
	g_string_free(line, TRUE);
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
