#ifndef CURRANTBRIDGE_STATE_H
#define CURRANTBRIDGE_STATE_H

#include "currantbridge/command.h"
#include "currantbridge/replica.h"
#include "currantbridge/view.h"

/*
 * The state's time is the sum of the steps between the leaders' stamps: a
 * step back counts as none and a longer one as this, so that a clock which
 * leaps neither ends everything at once nor stops the time.
 */
#define CB_STATE_STEP_MAX_MS (3600 * INT64_C(1000))

/* How long, by that time, and how many of each are kept. */
#define CB_STATE_CHANGE_KEEP_MS (24 * 3600 * INT64_C(1000))
#define CB_STATE_CHANGE_KEEP_COUNT 20000
#define CB_STATE_CLAIM_KEEP_MS (24 * 3600 * INT64_C(1000))
/* Full of claims, the oldest ended ones go, but none younger than this. */
#define CB_STATE_CLAIM_KEEP_MIN_MS (600 * INT64_C(1000))
#define CB_STATE_CLAIM_KEEP_COUNT 50000
/* Above this the oldest recorded answers are cut to their outcome. */
#define CB_STATE_CLAIM_ANSWER_BYTES (INT64_C(8) * 1024 * 1024)
#define CB_STATE_TOMBSTONE_KEEP_COUNT 4096
#define CB_STATE_QUARANTINE_KEEP_COUNT 1024
/* How long, and how many, servers' deaths are held against a digest. */
#define CB_STATE_SUSPECT_KEEP_MS (10 * 60 * 1000)
#define CB_STATE_SUSPECT_MAX_DEATHS 16
#define CB_STATE_QUARANTINE_KEEP_MS (24 * 3600 * INT64_C(1000))
#define CB_STATE_SILENT_KEEP_MS (24 * 3600 * INT64_C(1000))

/*
 * The replicated state of the control instances: contracts, planned stops,
 * entry instances, quarantined requests, change IDs with their answers, and
 * claims.  The revision is the log index of the last change that entry
 * instances need to know; claims do not move it.
 */
typedef struct cb_state cb_state_t;

typedef enum cb_state_error {
	CB_STATE_ERROR_DAMAGED,
} cb_state_error_t;

#define CB_STATE_ERROR cb_state_error_quark()
GQuark cb_state_error_quark(void);

cb_state_t *cb_state_new(void);
void cb_state_delete(cb_state_t *state);
cb_machine_t *cb_state_machine(cb_state_t *state);

uint64_t cb_state_revision(const cb_state_t *state);
/*
 * Encodes what changed after `since` for cb_view_apply(): a difference, or
 * the whole configuration when `since` is 0 or too far back.
 */
GBytes *cb_state_encode_update(const cb_state_t *state, uint64_t since);
/*
 * A view of the present configuration, for the operators' interface.  Ask
 * for it anew each time: a restored snapshot replaces it.
 */
const cb_view_t *cb_state_view(const cb_state_t *state);
size_t cb_state_claim_count(const cb_state_t *state);

#endif
