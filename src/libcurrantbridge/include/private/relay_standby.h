#ifndef PRIVATE_RELAY_STANDBY_H
#define PRIVATE_RELAY_STANDBY_H

#include "private/relay.h"

/*
 * Attempts at a stream that were left since they were silent, and whose calls stay
 * open: such an attempt may go on before a later one has an event.  Whichever of
 * the attempts brings the next event becomes the only one, and the others are
 * cancelled.  If no other attempt can be made, the stream waits for these.
 */

/*
 * Makes the attempt in flight a standby one, which counts as a run.  The relay has
 * no attempt after that.
 */
void cb_relay_standby_add(cb_relay_t *relay);
/*
 * Cancels all other attempts, since the one in flight brings the next event.  Stops
 * what was begun for another one.
 */
void cb_relay_standby_settle(cb_relay_t *relay);
/*
 * Goes back to the attempt that was left last, since no other one can be made for
 * `reason`.  Returns FALSE if there is none.
 */
gboolean cb_relay_standby_resume(cb_relay_t *relay, const char *reason);
/* Returns whether an attempt that was left may still go on. */
gboolean cb_relay_standby_exists(const cb_relay_t *relay);
/* Adds the first servers of the standby attempts to a set of server IDs. */
void cb_relay_standby_add_servers(const cb_relay_t *relay,
				  GHashTable *server_ids);
/* Returns the bytes of incomplete events that the standby attempts keep. */
size_t cb_relay_standby_event_bytes(const cb_relay_t *relay);
/* Returns the bytes that the calls of the standby attempts keep. */
size_t cb_relay_standby_call_bytes(const cb_relay_t *relay);
/* Cancels all standby attempts. */
void cb_relay_standby_clear(cb_relay_t *relay);

#endif
