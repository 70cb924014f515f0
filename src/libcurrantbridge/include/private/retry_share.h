#ifndef PRIVATE_RETRY_SHARE_H
#define PRIVATE_RETRY_SHARE_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "private/usage.h"

/*
 * One entry instance's share of the retry budget of each service.  The budget
 * limits the retries of all instances together: in any window, at most a ratio
 * of the requests plus a fixed number.  Each time that the sum of all
 * instances' counts arrives, what is left of the budget is divided again; an
 * instance that is cut off uses only a small, fixed share.
 */
typedef struct cb_retry_share cb_retry_share_t;

/* The retry budget of all instances together, for each service. */
typedef struct cb_retry_share_budget {
	double ratio; /* retries per request */
	double extra; /* retries per window in addition to `ratio` */
	int64_t window_ms;
} cb_retry_share_budget_t;

/* Creates a share; `random` must outlive it. */
cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock, GRand *random,
				     const cb_retry_share_budget_t *budget);
void cb_retry_share_delete(cb_retry_share_t *share);
void cb_retry_share_set_instances(cb_retry_share_t *share,
				  unsigned int instances);
void cb_retry_share_count_request(cb_retry_share_t *share, const char *service);
gboolean cb_retry_share_take_retry(cb_retry_share_t *share,
				   const char *service);
/* Returns whether a retry is left, without counting one. */
gboolean cb_retry_share_has_retry(cb_retry_share_t *share, const char *service);

/* Adds this instance's requests and retries to the usage it reports. */
void cb_retry_share_add_usage(cb_retry_share_t *share, cb_usage_t *usage);
/* Updates the share from the summed reports of all instances, own included. */
void cb_retry_share_update(cb_retry_share_t *share, const cb_usage_t *sum);

#endif
