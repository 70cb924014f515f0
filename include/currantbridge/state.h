#ifndef CURRANTBRIDGE_STATE_H
#define CURRANTBRIDGE_STATE_H

#include "currantbridge/command.h"
#include "currantbridge/replica.h"
#include "currantbridge/view.h"

/*
 * The replicated state of the control instances: contracts, planned stops,
 * entry instances, quarantined requests, change IDs with their answers, and
 * claims.  The revision is the log index of the last change that entry
 * instances need to know; claims do not move it.
 */
typedef struct cb_state cb_state_t;

cb_state_t *cb_state_new(void);
void cb_state_delete(cb_state_t *state);
cb_machine_t *cb_state_machine(cb_state_t *state);

uint64_t cb_state_revision(const cb_state_t *state);
/*
 * Encodes what changed after `since` for cb_view_apply(): a difference, or
 * the whole configuration when `since` is 0 or too far back.
 */
GBytes *cb_state_encode_update(const cb_state_t *state, uint64_t since);
/* A view of the present configuration, for the operators' interface. */
const cb_view_t *cb_state_view(const cb_state_t *state);
size_t cb_state_claim_count(const cb_state_t *state);

#endif
