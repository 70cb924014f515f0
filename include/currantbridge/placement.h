#ifndef CURRANTBRIDGE_PLACEMENT_H
#define CURRANTBRIDGE_PLACEMENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/document.h"

/*
 * Decides which layers of a model each engine holds.  Within a data centre
 * every layer gets a holder, and what memory is left doubles the layers that
 * have the least room for requests.  It does no I/O and keeps nothing: the
 * same fleet gives the same moves.
 */
typedef struct cb_placement_server {
	const char *data_centre;
	double memory_mb;
	/* The layers that it holds or was ordered to; equal: none. */
	uint32_t from;
	uint32_t to;
	/* FALSE: an order is under way, so that no other is given. */
	gboolean takes_orders;
	/*
	 * It is very slow, or no heartbeat came for a while, but requests may
	 * still pass it: it is given nothing, and its layers are left to it as
	 * far as others would have to give theirs up.
	 */
	gboolean is_doubtful;
} cb_placement_server_t;

typedef struct cb_placement_move {
	unsigned int server; /* its index */
	uint32_t from;
	uint32_t to;
} cb_placement_move_t;

uint32_t cb_placement_most_layers(const cb_engine_profile_t *engine,
				  double memory_mb);
double cb_placement_room_tokens(const cb_engine_profile_t *engine,
				double memory_mb, uint32_t layers);
/* Returns the orders to give now, of cb_placement_move_t. */
GArray *cb_placement_plan(const cb_engine_profile_t *engine,
			  const cb_placement_server_t *servers,
			  unsigned int count);

#endif
