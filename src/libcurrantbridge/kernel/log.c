#include "currantbridge/log.h"

#include <string.h>
#include <time.h>

#include "private/log_writer.h"

/* Rate limit of each event: twice an entry instance's share of peak load. */
#define EVENT_MAX_LINES_PER_S 200
#define RATE_WINDOW_MS 1000
#define LINE_TYPICAL_BYTES 512

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

#define EVENT_COUNT G_N_ELEMENTS(event_table)

/* The rate limit of one event, in windows of RATE_WINDOW_MS. */
typedef struct event_rate {
	int64_t window_start_ms;
	uint32_t written_lines; /* lines written in the current window */
	/* Lines suppressed since the last LOG_LIMITED. */
	uint32_t suppressed_lines;
} event_rate_t;

struct cb_log {
	cb_clock_t *clock;
	cb_log_writer_t *writer;
	cb_log_format_t format;
	cb_log_level_t lowest_level;
	/* Instance name written in JSON lines; NULL if omitted. */
	char *instance;
	event_rate_t rates[EVENT_COUNT];
	cb_timer_t *suppressed_timer; /* writes the next LOG_LIMITED lines */
	/* Lines dropped since the last LOG_DROPPED. */
	int64_t unreported_drops;
	/* The counters are NULL before cb_log_set_counters(). */
	cb_counter_t *suppressed_counter; /* lines over the rate limit */
	cb_counter_t *dropped_counter;	  /* lines not accepted by the writer */
	cb_counter_t *lost_counter;	  /* buffered lines that were lost */
	int64_t counted_lost_lines;	  /* lines added to lost_counter */
};

static void suppressed_lines_report_(void *user_data);

/*
 * Creates a log that writes events of `lowest_level` and above to `fd`, which
 * it does not close.
 */
cb_log_t *cb_log_new(cb_clock_t *clock, int fd, cb_log_format_t format,
		     cb_log_level_t lowest_level)
{
	cb_log_t *log = g_new0(cb_log_t, 1);

	log->clock = clock;
	log->writer = cb_log_writer_new(clock, fd);
	log->format = format;
	log->lowest_level = lowest_level;
	log->suppressed_timer =
		cb_timer_new(clock, suppressed_lines_report_, log);
	return log;
}

/*
 * Deletes a log.  Waits for a short time until its last lines are written.
 * NULL is allowed.
 */
void cb_log_delete(cb_log_t *log)
{
	if (!log)
		return;
	suppressed_lines_report_(log);
	cb_timer_delete(log->suppressed_timer);
	cb_log_writer_delete(log->writer);
	g_free(log->instance);
	g_free(log);
}

/* Sets the instance name that every later JSON line contains. */
void cb_log_set_instance(cb_log_t *log, const char *instance)
{
	g_free(log->instance);
	log->instance = g_strdup(instance);
}

static cb_counter_t *dropped_lines_counter_get_(cb_counters_t *counters,
						const char *reason)
{
	return counters ? cb_counters_counter(counters,
					      "cb_log_lines_dropped_total",
					      "reason", reason) :
			  NULL;
}

/*
 * Sets the counters of lines that are not written; NULL: no counters.  A NULL
 * log is allowed.
 */
void cb_log_set_counters(cb_log_t *log, cb_counters_t *counters)
{
	if (!log)
		return;
	log->suppressed_counter = dropped_lines_counter_get_(counters, "rate");
	log->dropped_counter = dropped_lines_counter_get_(counters, "no_room");
	log->lost_counter = dropped_lines_counter_get_(counters, "reader_gone");
}

static const event_info_t *event_find_(cb_event_t event)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(event_table); i++)
		if (event_table[i].event == event)
			return &event_table[i];
	g_assert_not_reached();
}

/* Returns a time as ISO 8601 in UTC; free it with g_free(). */
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

static void text_line_append_(GString *line, const event_info_t *info,
			      const char *time, const cb_log_field_t *field)
{
	g_string_append_printf(line, "%s %s %d %s: %s", time,
			       cb_log_level_string[info->level],
			       (int)info->event, info->name, info->message);
	for (; field->name; field++) {
		char *quoted;

		if (!field->text) {
			g_string_append_printf(line, " %s=%" G_GINT64_FORMAT,
					       field->name, field->number);
			continue;
		}
		quoted = g_strescape(field->text, NULL);
		g_string_append_printf(line, " %s=\"%s\"", field->name, quoted);
		g_free(quoted);
	}
	g_string_append_c(line, '\n');
}

/* Appends a JSON string; bytes that are not valid UTF-8 are replaced. */
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

/*
 * Formats the JSON by hand, because log lines are by far the most JSON that a
 * daemon writes.
 */
static void json_line_append_(GString *line, const event_info_t *info,
			      const char *time, const char *instance,
			      const cb_log_field_t *field)
{
	g_string_append_printf(line,
			       "{\"time\":\"%s\",\"level\":\"%s\",\"event\":%d,"
			       "\"name\":\"%s\",\"message\":\"%s\"",
			       time, cb_log_level_string[info->level],
			       (int)info->event, info->name, info->message);
	if (instance) {
		g_string_append(line, ",\"instance\":");
		json_string_append_(line, instance);
	}
	for (; field->name; field++) {
		g_string_append_printf(line, ",\"%s\":", field->name);
		if (field->text)
			json_string_append_(line, field->text);
		else
			g_string_append_printf(line, "%" G_GINT64_FORMAT,
					       field->number);
	}
	g_string_append(line, "}\n");
}

static void counter_add_(cb_counter_t *counter, int64_t amount)
{
	if (counter && amount)
		cb_counter_add(counter, amount);
}

/*
 * Writes one line regardless of the rate limit.  Returns FALSE when the line
 * was dropped.
 */
static gboolean line_write_(cb_log_t *log, const event_info_t *info,
			    cb_log_priority_t priority,
			    const cb_log_field_t *fields)
{
	GString *line = g_string_sized_new(LINE_TYPICAL_BYTES);
	char *time = time_format_(cb_clock_wall_ms(log->clock));
	int64_t lost_lines;
	gboolean is_accepted;

	if (log->format == CB_LOG_FORMAT_JSON)
		json_line_append_(line, info, time, log->instance, fields);
	else
		text_line_append_(line, info, time, fields);
	is_accepted =
		cb_log_writer_add(log->writer, line->str, line->len, priority);
	/* The writer's timer may have found the reader closed meanwhile. */
	lost_lines = cb_log_writer_lost_lines(log->writer);
	counter_add_(log->lost_counter, lost_lines - log->counted_lost_lines);
	log->counted_lost_lines = lost_lines;
	g_string_free(line, TRUE);
	g_free(time);
	return is_accepted;
}

/* Writes a LOG_LIMITED line for each event with suppressed lines. */
static void suppressed_lines_report_(void *user_data)
{
	const event_info_t *info = event_find_(CB_EVENT_LOG_LIMITED);
	cb_log_t *log = user_data;
	size_t i;

	for (i = 0; i < EVENT_COUNT; i++) {
		const cb_log_field_t fields[] = {
			CB_STR("limited", event_table[i].name),
			CB_INT("left_out", log->rates[i].suppressed_lines),
			{ .name = NULL },
		};

		if (log->rates[i].suppressed_lines)
			line_write_(log, info, CB_LOG_PRIORITY_NORMAL, fields);
		log->rates[i].suppressed_lines = 0;
	}
}

/* Counts a line of an event; TRUE: it exceeds the limit and is suppressed. */
static gboolean rate_limit_apply_(cb_log_t *log, const event_info_t *info)
{
	event_rate_t *rate = &log->rates[info - event_table];
	int64_t now_ms = cb_clock_now_ms(log->clock);

	if (now_ms - rate->window_start_ms >= RATE_WINDOW_MS) {
		rate->window_start_ms = now_ms;
		rate->written_lines = 0;
	}
	if (rate->written_lines < EVENT_MAX_LINES_PER_S) {
		rate->written_lines++;
		return FALSE;
	}
	rate->suppressed_lines++;
	counter_add_(log->suppressed_counter, 1);
	if (!cb_timer_is_armed(log->suppressed_timer))
		cb_timer_start(log->suppressed_timer, RATE_WINDOW_MS);
	return TRUE;
}

/* Writes a LOG_DROPPED line if lines were dropped and there is space again. */
static void dropped_lines_report_(cb_log_t *log)
{
	const cb_log_field_t fields[] = {
		CB_INT("dropped", log->unreported_drops), { .name = NULL }
	};

	if (log->unreported_drops &&
	    line_write_(log, event_find_(CB_EVENT_LOG_DROPPED),
			CB_LOG_PRIORITY_LOW, fields))
		log->unreported_drops = 0;
}

/*
 * Writes one event with its fields; the array ends with a field whose name is
 * NULL.  Callers use the macro cb_log_event().  A NULL log ignores the event.
 */
void cb_log_write(cb_log_t *log, cb_event_t event, const cb_log_field_t *fields)
{
	static const cb_log_priority_t priorities[CB_LOG_LEVEL_COUNT] = {
		[CB_LOG_LEVEL_DEBUG] = CB_LOG_PRIORITY_LOW,
		[CB_LOG_LEVEL_INFO] = CB_LOG_PRIORITY_LOW,
		[CB_LOG_LEVEL_WARNING] = CB_LOG_PRIORITY_NORMAL,
		[CB_LOG_LEVEL_ERROR] = CB_LOG_PRIORITY_URGENT,
	};
	const event_info_t *info;

	if (!log)
		return;
	info = event_find_(event);
	if (info->level < log->lowest_level || rate_limit_apply_(log, info))
		return;
	dropped_lines_report_(log);
	if (line_write_(log, info, priorities[info->level], fields))
		return;
	log->unreported_drops++;
	counter_add_(log->dropped_counter, 1);
}
