#ifndef PRIVATE_LOG_WRITER_H
#define PRIVATE_LOG_WRITER_H

#include <stddef.h>

#include "currantbridge/clock.h"

/*
 * Writes log lines to a file descriptor without waiting for its reader.  Lines
 * that cannot be written yet are buffered; when the buffer is full, lines are
 * dropped.
 */
typedef struct cb_log_writer cb_log_writer_t;

/* Decides which lines are dropped first and whether writing is delayed. */
typedef enum cb_log_priority {
	CB_LOG_PRIORITY_LOW,	/* dropped when the buffer is half full */
	CB_LOG_PRIORITY_NORMAL, /* dropped when the buffer is full */
	CB_LOG_PRIORITY_URGENT, /* like NORMAL, but written without delay */
} cb_log_priority_t;

cb_log_writer_t *cb_log_writer_new(cb_clock_t *clock, int fd);
void cb_log_writer_delete(cb_log_writer_t *writer);
gboolean cb_log_writer_add(cb_log_writer_t *writer, const char *line,
			   size_t size, cb_log_priority_t priority);
int64_t cb_log_writer_lost_lines(const cb_log_writer_t *writer);

#endif
