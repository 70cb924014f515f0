#ifndef PRIVATE_CONTROL_ADDRESSES_H
#define PRIVATE_CONTROL_ADDRESSES_H

#include <glib.h>

#include "currantbridge/clock.h"

/*
 * The addresses of the control instances that an entry instance may connect to:
 * those that control announced, followed by those of the settings.  One of them
 * is the current one.  Each remembers for a while how the last attempt ended, so
 * that the next one goes where an answer is most likely.
 */
typedef struct cb_control_addresses cb_control_addresses_t;

/* How an attempt, or the session that followed it, ended. */
typedef enum cb_address_outcome {
	/* Nothing was received: the next attempt may hang as well. */
	CB_ADDRESS_SILENT,
	/* Refused or closed: a process there may serve again at any time. */
	CB_ADDRESS_FAILED,
	/* The instance runs, and accepts the next attempt. */
	CB_ADDRESS_CROWDED,
	CB_ADDRESS_CONFIRMED,
} cb_address_outcome_t;

cb_control_addresses_t *cb_control_addresses_new(cb_clock_t *clock,
						 GRand *random,
						 const char *const *configured);
void cb_control_addresses_delete(cb_control_addresses_t *addresses);
void cb_control_addresses_configure(cb_control_addresses_t *addresses,
				    const char *const *configured);
/* Takes ownership of `announced`. */
void cb_control_addresses_announce(cb_control_addresses_t *addresses,
				   char **announced);
const char *cb_control_addresses_current(
	const cb_control_addresses_t *addresses);
void cb_control_addresses_record(cb_control_addresses_t *addresses,
				 cb_address_outcome_t outcome);
/*
 * Selects the address to try next.  Returns FALSE if each address has failed a
 * short while ago, so that the attempt should wait.
 */
gboolean cb_control_addresses_advance(cb_control_addresses_t *addresses);

#endif
