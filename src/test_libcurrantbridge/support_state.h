#ifndef SUPPORT_STATE_H
#define SUPPORT_STATE_H

#include "currantbridge/state.h"

/* A state machine that is driven without a replica. */
typedef struct support_state {
	cb_state_t *state;
	uint64_t index;
	int64_t wall_ms;
} support_state_t;

support_state_t *support_state_new(void);
void support_state_delete(support_state_t *self);

/* Applies `command`, which it takes, at the next index and the wall time. */
cb_answer_t *support_apply(support_state_t *self, cb_command_t *command);
/* Like support_apply(), for who needs no more than the kind. */
cb_answer_kind_t support_apply_kind(support_state_t *self,
				    cb_command_t *command);

/* Lets time pass, by commands that change nothing. */
void support_age(support_state_t *self, int64_t age_ms);
GBytes *support_snapshot(const support_state_t *self);
gboolean support_restore(support_state_t *self, GBytes *snapshot);

cb_command_t *support_put(const char *workspace, const char *key, int64_t rate);
cb_command_t *support_remove(const char *workspace);
cb_command_t *support_stop(cb_command_kind_t kind, const char *name);
cb_command_t *support_up(const char *name, uint64_t incarnation);
cb_command_t *support_instance(const char *name, uint64_t incarnation,
			       cb_instance_state_t state);
cb_command_t *support_quarantine(const char *digest, int64_t until_wall_ms);
cb_command_t *support_claim(const char *key, const char *owner,
			    const char *change_id);
cb_command_t *support_finish(const char *key, uint64_t fencing,
			     cb_claim_result_t result, const char *answer);
cb_command_t *support_named(cb_command_t *command, const char *change_id);
cb_command_t *support_expecting(cb_command_t *command, uint64_t revision);

#endif
