#ifndef PRIVATE_ROUTE_TIMES_H
#define PRIVATE_ROUTE_TIMES_H

#include <glib.h>
#include <stdint.h>

/* How long the requests of each route take, from arrival to a complete answer. */
typedef struct cb_route_times cb_route_times_t;

cb_route_times_t *cb_route_times_new(void);
void cb_route_times_delete(cb_route_times_t *times);
/* Records that a request of the route was served in `duration_ms`. */
void cb_route_times_add(cb_route_times_t *times, const char *route,
			int64_t duration_ms);
/*
 * Returns the time in ms within which nearly all requests of the route are served;
 * a high default as long as none was.
 */
int64_t cb_route_times_expect_ms(const cb_route_times_t *times,
				 const char *route);
/*
 * Drops the routes that aren't among `routes` (cb_route_t), if many are recorded
 * that aren't.
 */
void cb_route_times_prune(cb_route_times_t *times, const GPtrArray *routes);

#endif
