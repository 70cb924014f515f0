#ifndef PRIVATE_CLAIMS_H
#define PRIVATE_CLAIMS_H

#include "currantbridge/command.h"
#include "private/pack.h"

/*
 * The claims of non-idempotent calls.  One entry instance holds a claim until
 * the outcome of the call is recorded.  Ended claims are retained, so that a
 * repeated call gets the recorded answer.
 */
typedef struct cb_claims cb_claims_t;

/* Returns whether an owner, given as NAME/INCARNATION, still runs. */
typedef gboolean (*cb_owner_is_running_fn_t)(const char *owner,
					     void *user_data);

cb_claims_t *cb_claims_new(cb_owner_is_running_fn_t owner_is_running,
			   void *user_data);
void cb_claims_delete(cb_claims_t *claims);
size_t cb_claims_count(const cb_claims_t *claims);
cb_answer_t *cb_claims_acquire(cb_claims_t *claims, const cb_command_t *command,
			       uint64_t fencing, int64_t at_ms);
cb_answer_t *cb_claims_finish(cb_claims_t *claims, const cb_command_t *command,
			      int64_t at_ms);
void cb_claims_pack(const cb_claims_t *claims, cb_pack_t *pack);
gboolean cb_claims_read(cb_claims_t *claims, const msgpack_object *object);

#endif
