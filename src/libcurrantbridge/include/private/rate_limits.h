#ifndef PRIVATE_RATE_LIMITS_H
#define PRIVATE_RATE_LIMITS_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "private/usage.h"

/*
 * The rates that backend servers in need name in their answers, and this entry
 * instance's shares of them.  A rate is for all instances together.  It is divided
 * among a few instances of each server, which the server's ID and the instances'
 * names decide, and each of these paces its requests by a token bucket.
 * See docs/REQUESTS.md, "Servers that name a limit".
 */
typedef struct cb_rate_limits cb_rate_limits_t;

/* The wait for a server of which this instance has no share. */
#define CB_RATE_LIMITS_NO_SHARE INT64_MAX

/* A server's limit as this instance knows it. */
typedef struct cb_rate_limit {
	double rate_per_s;	/* for all instances together */
	double share_per_s;	/* for this instance; 0: none */
	unsigned int instances; /* number of instances that share the rate */
} cb_rate_limit_t;

/*
 * `clock` and `random` must outlive the limits; `instance` is this one's name;
 * `window_ms` is the time over which usage counts the requests for a service.
 */
cb_rate_limits_t *cb_rate_limits_new(cb_clock_t *clock, GRand *random,
				     const char *instance, int64_t window_ms);
void cb_rate_limits_delete(cb_rate_limits_t *limits);
/* Sets the ready instances (cb_instance_t) among which rates are divided. */
void cb_rate_limits_set_instances(cb_rate_limits_t *limits,
				  const GPtrArray *instances);
/*
 * Records the rate that an answer of a server process names, in requests a second;
 * negative: it names none.  Returns whether that is news.
 */
gboolean cb_rate_limits_hear(cb_rate_limits_t *limits, const char *server_id,
			     int64_t start_wall_ms, double rate_per_s);
/*
 * Returns whether a server process names a limit, and sets `limit` then.  `service`
 * is the service to which the server belongs, here and below.
 */
gboolean cb_rate_limits_find(cb_rate_limits_t *limits, const char *service,
			     const char *server_id, int64_t start_wall_ms,
			     cb_rate_limit_t *limit);
/*
 * Returns after how many ms this instance may send a request to a server process;
 * 0: now.
 */
int64_t cb_rate_limits_wait_ms(cb_rate_limits_t *limits, const char *service,
			       const char *server_id, int64_t start_wall_ms);
/* Counts a request that is sent to a server process. */
void cb_rate_limits_count_send(cb_rate_limits_t *limits, const char *service,
			       const char *server_id, int64_t start_wall_ms);
/* Adds the limits that this instance heard of to the usage that it reports. */
void cb_rate_limits_add_usage(cb_rate_limits_t *limits, cb_usage_t *usage);
/* Takes over what the other instances heard, from the sum of all reports. */
void cb_rate_limits_update(cb_rate_limits_t *limits, const cb_usage_t *sum);

#endif
