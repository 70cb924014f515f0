#ifndef PRIVATE_STATE_DATA_H
#define PRIVATE_STATE_DATA_H

#include "currantbridge/state.h"
#include "private/age_queue.h"
#include "private/change_answers.h"
#include "private/claims.h"
#include "private/history.h"

struct cb_state {
	cb_machine_t machine;
	cb_view_t *view;
	cb_change_history_t *history;
	cb_change_answers_t *change_answers;
	cb_claims_t *claims;
	/* Silent instances, with the state time at which they became silent. */
	cb_age_queue_t *silent_instances;
	/* Quarantined and suspect digests, with the time of the last change. */
	cb_age_queue_t *quarantine_digests;
	int64_t wall_ms;    /* the leader's wall time of the last command */
	int64_t elapsed_ms; /* state time, see CB_STATE_CLOCK_STEP_MAX_MS */
};

void cb_state_content_init(cb_state_t *state);
void cb_state_content_clear(cb_state_t *state);

/*
 * Each applies one kind of command that changes the configuration, at log
 * index `index`, and returns an answer for the caller to delete.
 */
typedef cb_answer_t *(*cb_state_apply_fn_t)(cb_state_t *state,
					    const cb_command_t *command,
					    uint64_t index);

cb_answer_t *cb_state_contract_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index);
cb_answer_t *cb_state_contract_remove(cb_state_t *state,
				      const cb_command_t *command,
				      uint64_t index);
cb_answer_t *cb_state_stop_announce(cb_state_t *state,
				    const cb_command_t *command,
				    uint64_t index);
cb_answer_t *cb_state_stop_cancel(cb_state_t *state,
				  const cb_command_t *command, uint64_t index);
cb_answer_t *cb_state_instance_up(cb_state_t *state,
				  const cb_command_t *command, uint64_t index);
cb_answer_t *cb_state_instance_state(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index);
cb_answer_t *cb_state_quarantine_add(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index);
cb_answer_t *cb_state_quarantine_remove(cb_state_t *state,
					const cb_command_t *command,
					uint64_t index);

cb_answer_t *cb_state_suspect_add(cb_state_t *state,
				  const cb_command_t *command, uint64_t index);

cb_answer_t *cb_state_server_note(cb_state_t *state,
				  const cb_command_t *command, uint64_t index);
cb_answer_t *cb_state_server_forget(cb_state_t *state,
				    const cb_command_t *command,
				    uint64_t index);
cb_answer_t *cb_state_document_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index);

GBytes *cb_state_snapshot(const cb_state_t *state);
gboolean cb_state_restore(cb_state_t *state, GBytes *snapshot, GError **error);

#endif
