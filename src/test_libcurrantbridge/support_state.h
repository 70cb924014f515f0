#ifndef SUPPORT_STATE_H
#define SUPPORT_STATE_H

#include "currantbridge/state.h"

/* A state machine to which tests apply commands without a replica. */
typedef struct support_state {
	cb_state_t *state;
	uint64_t index;	 /* log index of the last command */
	int64_t wall_ms; /* the leader's wall time of the next command */
} support_state_t;

support_state_t *support_state_new(void);
void support_state_delete(support_state_t *self);

/* Applies and frees `command`, at the next index and `wall_ms`. */
cb_answer_t *support_apply(support_state_t *self, cb_command_t *command);
/* Like support_apply(), but returns only the kind of the answer. */
cb_answer_kind_t support_apply_kind(support_state_t *self,
				    cb_command_t *command);

/* Advances the wall time by `duration_ms`, by commands that change nothing. */
void support_advance_time(support_state_t *self, int64_t duration_ms);
GBytes *support_snapshot(const support_state_t *self);
gboolean support_restore(support_state_t *self, GBytes *snapshot);

/* Each of these returns a new command for support_apply(). */
cb_command_t *support_contract_put_command(const char *workspace,
					   const char *key, int64_t rate);
cb_command_t *support_contract_remove_command(const char *workspace);
cb_command_t *support_stop(cb_command_kind_t kind, const char *name);
cb_command_t *support_instance_up(const char *name, uint64_t incarnation);
cb_command_t *support_instance_state(const char *name, uint64_t incarnation,
				     cb_instance_state_t state);
cb_command_t *support_quarantine(const char *digest, int64_t until_wall_ms);
cb_command_t *support_claim(const char *key, const char *owner,
			    const char *change_id);
cb_command_t *support_claim_finish(const char *key, uint64_t fencing,
				   cb_claim_result_t result,
				   const char *answer);
/* Each of these sets a field of `command` and returns it. */
cb_command_t *support_with_change_id(cb_command_t *command,
				     const char *change_id);
cb_command_t *support_with_revision(cb_command_t *command,
				    uint64_t expected_revision);

#endif
