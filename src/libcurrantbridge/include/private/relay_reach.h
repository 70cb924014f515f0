#ifndef PRIVATE_RELAY_REACH_H
#define PRIVATE_RELAY_REACH_H

#include "currantbridge/dialect.h"
#include "currantbridge/document.h"
#include "private/reach.h"

struct cb_front;
struct cb_relay;

/*
 * The checks of whether an instance reaches the backend servers, by HTTP calls of
 * their health path, and what follows for its requests; cb_reach_t decides.
 */

/*
 * Returns the group of a server, NULL: the server is not known any more.  The first
 * use of a group begins a check that shows whether its servers answer checks.
 */
cb_reach_group_t *cb_relay_reach_find_group(struct cb_front *front,
					    const cb_relay_hop_t *hop);
/* Records a sign of loss at the server of a request's attempt. */
void cb_relay_reach_suspect(struct cb_relay *relay, cb_reach_sign_t sign);
/*
 * Returns what is known of the way to the ready servers of a service: open if one
 * data centre's is, else the best state of them.
 */
cb_reach_state_t cb_relay_reach_find(const struct cb_front *front,
				     const cb_service_profile_t *service);
/*
 * Records that another instance has an answer of a server: if this one hears nothing,
 * its way is lost, and its silent requests are forwarded too.
 */
void cb_relay_reach_confirm(struct cb_front *front);
/*
 * Returns whether all servers of a request's service are silent to this instance, and
 * may only stand still.
 */
gboolean cb_relay_reach_may_stall(const struct cb_relay *relay);
/*
 * Leaves an attempt that is cut off from its server, by its own open connection too,
 * if another instance can serve the request.  Returns FALSE if it goes on.
 */
gboolean cb_relay_reach_move(struct cb_relay *relay);
/*
 * Returns whether another attempt at a request has a way to a server, of this
 * instance or of another one.
 */
gboolean cb_relay_reach_allows_restart(const struct cb_relay *relay);
/* Records that the server of a request has answered it. */
void cb_relay_reach_hear_answer(struct cb_relay *relay);
/* Cancels the checks and frees them with the state. */
void cb_relay_reach_clear(struct cb_front *front);
void cb_relay_reach_init(struct cb_front *front);

#endif
