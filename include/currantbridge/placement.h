#ifndef CURRANTBRIDGE_PLACEMENT_H
#define CURRANTBRIDGE_PLACEMENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/document.h"

/*
 * Decides which layers of a model each engine holds.  Within a data centre
 * every layer is held by at least one server, and the remaining servers
 * replicate the layers that have the least memory for requests.  This module
 * does no I/O and keeps no state: the same fleet always gives the same moves.
 */

/* An engine as an input of the plan. */
typedef struct cb_placement_server {
	const char *data_centre;
	double memory_mb;
	/*
	 * The layers that the server holds or was ordered to hold: the first
	 * one and one past the last.  Both are equal if it has none.
	 */
	uint32_t from;
	uint32_t to;
	/*
	 * Whether the server may get an order; FALSE while it carries one out.
	 */
	gboolean accepts_orders;
	/*
	 * Whether the server is very slow or no heartbeat came for a while,
	 * though requests may still pass through it.  It gets no new layers,
	 * and only empty or spare servers take over its current ones.
	 */
	gboolean is_degraded;
} cb_placement_server_t;

/* The layers that a server is to hold instead of its current ones. */
typedef struct cb_placement_move {
	unsigned int server; /* index of the server in the array of servers */
	uint32_t from;	     /* first layer to hold */
	uint32_t to;	     /* one past the last layer to hold */
} cb_placement_move_t;

uint32_t cb_placement_max_layers(const cb_engine_profile_t *engine,
				 double memory_mb);
double cb_placement_token_capacity(const cb_engine_profile_t *engine,
				   double memory_mb, uint32_t layers);
/* Returns the moves to order now, of cb_placement_move_t. */
GArray *cb_placement_plan(const cb_engine_profile_t *engine,
			  const cb_placement_server_t *servers,
			  unsigned int count);

#endif
