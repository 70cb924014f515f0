#ifndef PRIVATE_RELAY_ROOM_H
#define PRIVATE_RELAY_ROOM_H

#include "private/front.h"

/* Admission of relayed requests to services with layers: cb_room_t at work. */

struct cb_relay;

void cb_relay_room_init(cb_front_t *front);
void cb_relay_room_clear(cb_front_t *front);
/* Takes the sum of all instances' usage; it becomes the front's. */
void cb_relay_room_receive(cb_front_t *front, cb_usage_t *sum);
/* Adds what was asked for here to the usage that is reported. */
void cb_relay_room_add_usage(cb_front_t *front, cb_usage_t *usage);
/*
 * Decides once for each request whether it may begin; TRUE: it was refused, and
 * freed.
 */
gboolean cb_relay_room_refuse(struct cb_relay *relay);
/* Records for how long a request that was served was in flight. */
void cb_relay_room_ended(struct cb_relay *relay);

#endif
