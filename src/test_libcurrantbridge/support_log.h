#ifndef SUPPORT_LOG_H
#define SUPPORT_LOG_H

#include "currantbridge/counters.h"
#include "currantbridge/log.h"

#define SUPPORT_LOG_MAX_BYTES 65536

/* A log that writes JSON lines to a pipe, and what it has written. */
typedef struct support_log {
	int fds[2];
	cb_log_t *log;
	char text[SUPPORT_LOG_MAX_BYTES]; /* set by support_log_end() */
} support_log_t;

/* Creates the log, of the events of level info and above. */
void support_log_begin(support_log_t *self, cb_clock_t *clock);
/* Deletes the log, and reads what it has written. */
void support_log_end(support_log_t *self);
/* Returns how often a text contains another one. */
unsigned int support_text_count(const char *text, const char *part);
/*
 * Renders the counters and returns the value of a series, which is given with
 * its labels; -1 if it is missing.
 */
int64_t support_series_read(cb_counters_t *counters, const char *series);

#endif
