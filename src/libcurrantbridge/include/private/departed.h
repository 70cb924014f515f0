#ifndef PRIVATE_DEPARTED_H
#define PRIVATE_DEPARTED_H

#include "currantbridge/clock.h"
#include "currantbridge/view.h"
#include "private/usage.h"

/*
 * Requests and retries of entry instances whose sessions with this control
 * instance have ended.  Their backend servers have got them all the same, so
 * they count for the rest of the retry budget's window.
 */
typedef struct cb_departed cb_departed_t;

/*
 * `window_ms`: how long requests and retries count.  `moved_after_ms`: when the
 * view tells whether a process has ended, since it is silent or another one runs
 * in its place.
 */
cb_departed_t *cb_departed_new(cb_clock_t *clock, int64_t window_ms,
			       int64_t moved_after_ms);
void cb_departed_delete(cb_departed_t *departed);
/* Keeps the last report of a session that has ended. */
void cb_departed_add(cb_departed_t *departed, const char *name,
		     uint64_t incarnation, const cb_usage_t *usage);
/* Forgets a process that has a session here again and reports itself. */
void cb_departed_remove(cb_departed_t *departed, const char *name,
			uint64_t incarnation);
/*
 * Adds the counts of all processes that have ended to `sum`, and forgets those
 * that only moved to another control instance, as `view` tells.
 */
void cb_departed_add_sends(cb_departed_t *departed, const cb_view_t *view,
			   cb_usage_t *sum);

#endif
