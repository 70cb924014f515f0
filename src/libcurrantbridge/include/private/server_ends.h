#ifndef PRIVATE_SERVER_ENDS_H
#define PRIVATE_SERVER_ENDS_H

#include "currantbridge/clock.h"
#include "currantbridge/dialect.h"

/*
 * Finds out whether the process of a server has ended whose connections were
 * lost: a new connection to its address is then refused.
 */
typedef struct cb_server_ends cb_server_ends_t;

/*
 * Called once for a server process that has ended.  `losses` holds the data
 * that was given with each lost connection (elements of type GArray *, or
 * NULL).
 */
typedef void (*cb_server_ended_fn_t)(const cb_relay_hop_t *server,
				     const GPtrArray *losses, void *user_data);

cb_server_ends_t *cb_server_ends_new(GMainContext *context, cb_clock_t *clock,
				     cb_server_ended_fn_t fn, void *user_data);
void cb_server_ends_delete(cb_server_ends_t *ends);
/* Takes note of a lost connection; keeps a reference to `loss`, if any. */
void cb_server_ends_add_loss(cb_server_ends_t *ends,
			     const cb_relay_hop_t *server, GArray *loss);

#endif
