#ifndef PRIVATE_PIPE_SHARE_H
#define PRIVATE_PIPE_SHARE_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/*
 * An entry instance's share of the links between data centres, for requests
 * whose chain of engines passes from one data centre to another.
 *
 * It answers the load in which no data centre alone has room for a request: the
 * activations of each of its tokens are then sent between data centres, and all
 * instances together send no more than the links carry without a queue that
 * would make every such stream pause.  This module does no I/O.
 */
typedef struct cb_pipe_share cb_pipe_share_t;

cb_pipe_share_t *cb_pipe_share_new(cb_clock_t *clock);
void cb_pipe_share_delete(cb_pipe_share_t *share);
/*
 * Returns whether another request may cross now: the service's links carry
 * `pipe_mbps`, 0: not known, and `instances` entry instances share them.
 */
gboolean cb_pipe_share_has_room(cb_pipe_share_t *share, const char *service,
				double pipe_mbps, unsigned int instances);
/* Records that a request sends so many bytes over a service's links. */
void cb_pipe_share_take(cb_pipe_share_t *share, const char *service,
			double bytes);

#endif
