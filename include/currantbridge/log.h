#ifndef CURRANTBRIDGE_LOG_H
#define CURRANTBRIDGE_LOG_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"

/*
 * A log of numbered events, one line of text or JSON each.  Writing never
 * blocks.  Lines are suppressed when one event occurs too often in a second,
 * and dropped when the buffer is full because the reader is slow.  Both are
 * counted and reported in an event of their own.
 */
typedef struct cb_log cb_log_t;

typedef enum cb_log_level {
	CB_LOG_LEVEL_DEBUG,
	CB_LOG_LEVEL_INFO,
	CB_LOG_LEVEL_WARNING,
	CB_LOG_LEVEL_ERROR,
	CB_LOG_LEVEL_COUNT
} cb_log_level_t;

extern const char *const cb_log_level_string[CB_LOG_LEVEL_COUNT];

typedef enum cb_log_format {
	CB_LOG_FORMAT_TEXT,
	CB_LOG_FORMAT_JSON,
	CB_LOG_FORMAT_COUNT
} cb_log_format_t;

extern const char *const cb_log_format_string[CB_LOG_FORMAT_COUNT];

/*
 * The events of all modules, listed in one .def file for each area.  The
 * number of an event never changes; docs/EVENTS.md explains each event.
 */
typedef enum cb_event {
#define CB_EVENT(number, name, level, message) CB_EVENT_##name = (number),
#include "currantbridge/events.def"
#undef CB_EVENT
} cb_event_t;

typedef struct cb_log_field {
	const char *name;
	/* Value of a text field; NULL if the value is `number`. */
	const char *text;
	int64_t number;
} cb_log_field_t;

/* A text field of an event; a NULL value is written as an empty string. */
#define CB_STR(field_name, value)                                    \
	{                                                            \
		.name = (field_name), .text = (value) ? (value) : "" \
	}
/* An integer field of an event. */
#define CB_INT(field_name, value)                                \
	{                                                        \
		.name = (field_name), .number = (int64_t)(value) \
	}

/* Writes one event with its fields: cb_log_event(log, E, CB_STR(...)). */
#define cb_log_event(log, event, ...)          \
	cb_log_write(log, event,               \
		     (const cb_log_field_t[]){ \
			     __VA_OPT__(__VA_ARGS__, ){ .name = NULL } })

cb_log_t *cb_log_new(cb_clock_t *clock, int fd, cb_log_format_t format,
		     cb_log_level_t lowest_level);
void cb_log_delete(cb_log_t *log);
void cb_log_set_instance(cb_log_t *log, const char *instance);
void cb_log_set_counters(cb_log_t *log, cb_counters_t *counters);
void cb_log_write(cb_log_t *log, cb_event_t event,
		  const cb_log_field_t *fields);

#endif
