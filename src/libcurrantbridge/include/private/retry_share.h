#ifndef PRIVATE_RETRY_SHARE_H
#define PRIVATE_RETRY_SHARE_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "private/usage.h"

/*
 * Bounds the second sends of one entry instance to each service, so that
 * those of all instances together keep a common bound: in any window at most
 * a ratio of the requests plus a fixed number.  While the others' counts are
 * known, what is left of the bound is divided anew with each word of them;
 * an instance that is cut off keeps to a small part of its own.
 */
typedef struct cb_retry_share cb_retry_share_t;

typedef struct cb_retry_bound {
	double ratio;
	double extra; /* a window, for all instances together */
	int64_t window_ms;
} cb_retry_bound_t;

cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock,
				     const cb_retry_bound_t *bound);
void cb_retry_share_delete(cb_retry_share_t *share);
void cb_retry_share_instances(cb_retry_share_t *share, unsigned int instances);
void cb_retry_share_request(cb_retry_share_t *share, const char *service);
gboolean cb_retry_share_take(cb_retry_share_t *share, const char *service);

/* Adds this instance's counts to what it tells. */
void cb_retry_share_tell(cb_retry_share_t *share, cb_usage_t *usage);
/* Takes the sum over all instances, this one's last word included. */
void cb_retry_share_learn(cb_retry_share_t *share, const cb_usage_t *sum);

#endif
