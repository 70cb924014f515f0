#ifndef CURRANTBRIDGE_STATE_H
#define CURRANTBRIDGE_STATE_H

#include "currantbridge/command.h"
#include "currantbridge/replica.h"
#include "currantbridge/view.h"

/*
 * State time, by which entries expire, is the sum of the steps between the
 * wall times that leaders put on commands.  A step back counts as 0 and a
 * longer step as this maximum, so that a jump of a leader's clock neither
 * expires all entries at once nor stops expiry.
 */
#define CB_STATE_CLOCK_STEP_MAX_MS (3600 * INT64_C(1000))

/*
 * For each kind of entry in the replicated state, such as answers to changes
 * and claims: how long an entry is kept, and the maximum number of entries.
 * Answers, claims and silent instances expire by state time.
 */
#define CB_STATE_CHANGE_RETENTION_MS (24 * 3600 * INT64_C(1000))
#define CB_STATE_CHANGE_MAX_COUNT 20000
#define CB_STATE_CLAIM_RETENTION_MS (24 * 3600 * INT64_C(1000))
/* Even if the table of claims is full, ended ones younger than this stay. */
#define CB_STATE_CLAIM_MIN_RETENTION_MS (600 * INT64_C(1000))
#define CB_STATE_CLAIM_MAX_COUNT 50000
/*
 * Above this total size, the oldest recorded answers are removed; their
 * outcomes stay.
 */
#define CB_STATE_CLAIM_ANSWERS_MAX_BYTES (INT64_C(8) * 1024 * 1024)
#define CB_STATE_TOMBSTONE_MAX_COUNT 4096
#define CB_STATE_QUARANTINE_MAX_COUNT 1024
/* The retention and number of the server deaths recorded for a digest. */
#define CB_STATE_SUSPECT_RETENTION_MS (10 * 60 * 1000)
#define CB_STATE_SUSPECT_MAX_DEATHS 16
#define CB_STATE_QUARANTINE_MAX_MS (24 * 3600 * INT64_C(1000))
#define CB_STATE_SILENT_RETENTION_MS (24 * 3600 * INT64_C(1000))

/*
 * The replicated state of the control instances: contracts, planned stops,
 * entry instances, backend servers, the configuration document, quarantined
 * requests, change IDs with their answers, and claims.  The revision is the
 * log index of the last change to the configuration, which entry instances
 * copy; claims do not change it.
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
uint64_t cb_state_entry_revision(const cb_state_t *state);
GBytes *cb_state_encode_update(const cb_state_t *state, uint64_t since);
/*
 * The view stays valid until a snapshot is restored, so don't keep the pointer.
 */
const cb_view_t *cb_state_view(const cb_state_t *state);
size_t cb_state_claim_count(const cb_state_t *state);

#endif
