#include "currantbridge/log.h"

#include <string.h>
#include <time.h>

#include "private/log_writer.h"

/* Each event has so many lines a second: twice an entry's share of the peak. */
#define EVENT_LINES_PER_S 200
#define RATE_WINDOW_MS 1000
#define LINE_USUAL_BYTES 512

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

/* The lines of one event in the present window. */
typedef struct rate {
	int64_t window_ms; /* when the window began */
	uint32_t written;
	uint32_t left_out;
} rate_t;

struct cb_log {
	cb_clock_t *clock;
	cb_log_writer_t *writer;
	cb_log_format_t format;
	cb_log_level_t lowest_level;
	char *instance; /* NULL: lines do not say who writes them */
	rate_t rates[EVENT_COUNT];
	cb_timer_t *left_out_timer; /* tells of what was left out */
	int64_t untold;		    /* lines dropped for want of room */
	cb_counter_t *left_out; /* these three are NULL before cb_log_count() */
	cb_counter_t *dropped;
	cb_counter_t *lost;
	int64_t lost_counted;
};

static void left_out_tell_(void *user_data);

/*
 * Makes a log that writes events of `lowest_level` and above to `fd`, which
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
	log->left_out_timer = cb_timer_new(clock, left_out_tell_, log);
	return log;
}

/* Deletes a log once its last lines are written; NULL is allowed. */
void cb_log_delete(cb_log_t *log)
{
	if (!log)
		return;
	left_out_tell_(log);
	cb_timer_delete(log->left_out_timer);
	cb_log_writer_delete(log->writer);
	g_free(log->instance);
	g_free(log);
}

/* Names the instance in every JSON line from now on. */
void cb_log_name(cb_log_t *log, const char *instance)
{
	g_free(log->instance);
	log->instance = g_strdup(instance);
}

static cb_counter_t *drops_counter_(cb_counters_t *counters, const char *reason)
{
	return counters ? cb_counters_counter(counters,
					      "cb_log_lines_dropped_total",
					      "reason", reason) :
			  NULL;
}

/*
 * Counts the lines that are not written in `counters`, until it is called
 * again with others; NULL: they are no longer counted.
 */
void cb_log_count(cb_log_t *log, cb_counters_t *counters)
{
	if (!log)
		return;
	log->left_out = drops_counter_(counters, "rate");
	log->dropped = drops_counter_(counters, "no_room");
	log->lost = drops_counter_(counters, "reader_gone");
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

static void append_text_(GString *line, const event_info_t *info,
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
static void append_json_(GString *line, const event_info_t *info,
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

/* Writes one line, whatever the rate of its event; FALSE: it was dropped. */
static gboolean line_write_(cb_log_t *log, const event_info_t *info,
			    cb_log_weight_t weight,
			    const cb_log_field_t *fields)
{
	GString *line = g_string_sized_new(LINE_USUAL_BYTES);
	char *time = time_format_(cb_clock_wall_ms(log->clock));
	int64_t lost;
	gboolean is_taken;

	if (log->format == CB_LOG_FORMAT_JSON)
		append_json_(line, info, time, log->instance, fields);
	else
		append_text_(line, info, time, fields);
	is_taken = cb_log_writer_add(log->writer, line->str, line->len, weight);
	/* Some may also have gone by the writer's timer since the last line. */
	lost = cb_log_writer_lost(log->writer);
	counter_add_(log->lost, lost - log->lost_counted);
	log->lost_counted = lost;
	g_string_free(line, TRUE);
	g_free(time);
	return is_taken;
}

/* Tells how many lines of each event its rate has left out. */
static void left_out_tell_(void *user_data)
{
	const event_info_t *info = event_find_(CB_EVENT_LOG_LIMITED);
	cb_log_t *log = user_data;
	size_t i;

	for (i = 0; i < EVENT_COUNT; i++) {
		const cb_log_field_t fields[] = {
			CB_STR("limited", event_table[i].name),
			CB_INT("left_out", log->rates[i].left_out),
			{ .name = NULL },
		};

		if (log->rates[i].left_out)
			line_write_(log, info, CB_LOG_WEIGHT_NOTABLE, fields);
		log->rates[i].left_out = 0;
	}
}

/* Tells whether an event has come too often; it is then left out. */
static gboolean is_left_out_(cb_log_t *log, const event_info_t *info)
{
	rate_t *rate = &log->rates[info - event_table];
	int64_t now_ms = cb_clock_now_ms(log->clock);

	if (now_ms - rate->window_ms >= RATE_WINDOW_MS) {
		rate->window_ms = now_ms;
		rate->written = 0;
	}
	if (rate->written < EVENT_LINES_PER_S) {
		rate->written++;
		return FALSE;
	}
	rate->left_out++;
	counter_add_(log->left_out, 1);
	if (!cb_timer_is_armed(log->left_out_timer))
		cb_timer_start(log->left_out_timer, RATE_WINDOW_MS);
	return TRUE;
}

/* Tells of lines that were dropped, as soon as there is room again. */
static void dropped_tell_(cb_log_t *log)
{
	const cb_log_field_t fields[] = { CB_INT("dropped", log->untold),
					  { .name = NULL } };

	if (log->untold && line_write_(log, event_find_(CB_EVENT_LOG_DROPPED),
				       CB_LOG_WEIGHT_ROUTINE, fields))
		log->untold = 0;
}

/*
 * Writes one event with the fields up to the one whose name is NULL.  Code
 * calls the macro cb_log_event().  A NULL log drops the event.
 */
void cb_log_write(cb_log_t *log, cb_event_t event, const cb_log_field_t *fields)
{
	static const cb_log_weight_t weights[CB_LOG_LEVEL_COUNT] = {
		[CB_LOG_LEVEL_DEBUG] = CB_LOG_WEIGHT_ROUTINE,
		[CB_LOG_LEVEL_INFO] = CB_LOG_WEIGHT_ROUTINE,
		[CB_LOG_LEVEL_WARNING] = CB_LOG_WEIGHT_NOTABLE,
		[CB_LOG_LEVEL_ERROR] = CB_LOG_WEIGHT_URGENT,
	};
	const event_info_t *info;

	if (!log)
		return;
	info = event_find_(event);
	if (info->level < log->lowest_level || is_left_out_(log, info))
		return;
	dropped_tell_(log);
	if (line_write_(log, info, weights[info->level], fields))
		return;
	log->untold++;
	counter_add_(log->dropped, 1);
}
