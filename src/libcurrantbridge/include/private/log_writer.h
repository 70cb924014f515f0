#ifndef PRIVATE_LOG_WRITER_H
#define PRIVATE_LOG_WRITER_H

#include <stddef.h>

#include "currantbridge/clock.h"

/*
 * Writes lines to a file descriptor and never waits for whoever reads it.
 * What cannot be written yet is kept up to a bound; beyond it lines are
 * dropped and counted.
 */
typedef struct cb_log_writer cb_log_writer_t;

/* Which lines go first when little room is left. */
typedef enum cb_log_weight {
	CB_LOG_WEIGHT_ROUTINE, /* dropped when half of the room is taken */
	CB_LOG_WEIGHT_NOTABLE, /* dropped when all of it is taken */
	CB_LOG_WEIGHT_URGENT,  /* the same, and written at once */
} cb_log_weight_t;

cb_log_writer_t *cb_log_writer_new(cb_clock_t *clock, int fd);
void cb_log_writer_delete(cb_log_writer_t *writer);
gboolean cb_log_writer_add(cb_log_writer_t *writer, const char *line,
			   size_t size, cb_log_weight_t weight);
int64_t cb_log_writer_lost(const cb_log_writer_t *writer);

#endif
