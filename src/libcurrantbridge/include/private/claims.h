#ifndef PRIVATE_CLAIMS_H
#define PRIVATE_CLAIMS_H

#include "currantbridge/command.h"
#include "private/pack.h"

/*
 * The claims of non-idempotent calls.  A claim is held by one entry
 * instance until its end is recorded; the ended ones stay for a while, so
 * that a repeated call gets the recorded answer.
 */
typedef struct cb_claims cb_claims_t;

/* Tells whether an owner (NAME/INCARNATION) still runs. */
typedef gboolean (*cb_owner_lives_fn_t)(const char *owner, void *user_data);

cb_claims_t *cb_claims_new(cb_owner_lives_fn_t owner_lives, void *user_data);
void cb_claims_delete(cb_claims_t *claims);
size_t cb_claims_count(const cb_claims_t *claims);
cb_answer_t *cb_claims_claim(cb_claims_t *claims, const cb_command_t *command,
			     uint64_t fencing, int64_t at_ms);
cb_answer_t *cb_claims_finish(cb_claims_t *claims, const cb_command_t *command,
			      int64_t at_ms);
void cb_claims_pack(const cb_claims_t *claims, cb_pack_t *pack);
gboolean cb_claims_read(cb_claims_t *claims, const msgpack_object *object);

#endif
