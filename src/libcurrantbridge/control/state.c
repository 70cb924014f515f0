#include "currantbridge/state.h"

#include <string.h>

#include "private/state_data.h"

/*
 * Returns whether a claim's owner, given as "NAME/INCARNATION", is an entry
 * instance that is known to run.
 */
static gboolean owner_is_running_(const char *owner, void *user_data)
{
	const cb_state_t *state = user_data;
	const char *slash = strrchr(owner, '/');
	const cb_instance_t *instance;
	guint64 incarnation;
	char *name;

	if (!slash || !g_ascii_string_to_unsigned(slash + 1, 10, 0, UINT64_MAX,
						  &incarnation, NULL))
		return FALSE;
	name = g_strndup(owner, slash - owner);
	instance = cb_view_find_item(state->view, CB_ITEM_INSTANCE, name);
	g_free(name);
	return instance && instance->incarnation == incarnation &&
	       instance->state != CB_INSTANCE_SILENT;
}

static gboolean text_length_is_valid_(const char *text)
{
	return !text || strlen(text) <= CB_COMMAND_TEXT_MAX_BYTES;
}

/*
 * Checks the fields that commands require.  Returns an error text, or NULL if
 * they are valid.
 */
static const char *command_validate_(const cb_command_t *command)
{
	gboolean is_claim = command->kind == CB_COMMAND_CLAIM ||
			    command->kind == CB_COMMAND_CLAIM_FINISH;

	if (!command->name || !*command->name)
		return "change: name: is required";
	if (!text_length_is_valid_(command->name) ||
	    !text_length_is_valid_(command->change_id) ||
	    !text_length_is_valid_(command->key) ||
	    !text_length_is_valid_(command->digest) ||
	    !text_length_is_valid_(command->owner) ||
	    !text_length_is_valid_(command->server) ||
	    !text_length_is_valid_(command->address) ||
	    !text_length_is_valid_(command->data_centre))
		return "change: a text is longer than 256 bytes";
	if (is_claim && (!command->key || strchr(command->name, '\n')))
		return "claim: key: is required";
	if (command->kind != CB_COMMAND_CLAIM)
		return NULL;
	if (!command->digest || !command->owner || !command->change_id)
		return "claim: digest, owner and change_id are required";
	return NULL;
}

static cb_answer_t *claim_acquire_(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	cb_answer_t *answer;

	if (owner_is_running_(command->owner, state))
		return cb_claims_acquire(state->claims, command, index,
					 state->elapsed_ms);
	answer = cb_answer_new(CB_ANSWER_INVALID);
	answer->message = g_strdup("claim: owner: is not an entry instance "
				   "that is known to run");
	return answer;
}

static cb_answer_t *claim_finish_(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	(void)index;
	return cb_claims_finish(state->claims, command, state->elapsed_ms);
}

/* Returns whether the first answer to a command's change ID is recorded. */
static gboolean answer_is_recorded_(const cb_command_t *command)
{
	switch (command->kind) {
	case CB_COMMAND_CONTRACT_PUT:
	case CB_COMMAND_CONTRACT_REMOVE:
	case CB_COMMAND_STOP_ANNOUNCE:
	case CB_COMMAND_STOP_CANCEL:
	case CB_COMMAND_QUARANTINE_ADD:
	case CB_COMMAND_QUARANTINE_REMOVE:
		return command->change_id != NULL;
	default:
		/*
		 * Incarnations and fencing numbers make these commands
		 * idempotent.
		 */
		return FALSE;
	}
}

/*
 * Advances state time by the step to a leader's wall time; the first wall time
 * has no step.
 */
static void time_advance_(cb_state_t *state, int64_t wall_ms)
{
	int64_t step_ms = wall_ms - state->wall_ms;

	if (state->wall_ms > 0)
		state->elapsed_ms +=
			CLAMP(step_ms, 0, CB_STATE_CLOCK_STEP_MAX_MS);
	state->wall_ms = wall_ms;
}

static cb_answer_t *command_apply_(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	static const cb_state_apply_fn_t apply[CB_COMMAND_KIND_COUNT] = {
		[CB_COMMAND_CONTRACT_PUT] = cb_state_contract_put,
		[CB_COMMAND_CONTRACT_REMOVE] = cb_state_contract_remove,
		[CB_COMMAND_STOP_ANNOUNCE] = cb_state_stop_announce,
		[CB_COMMAND_STOP_CANCEL] = cb_state_stop_cancel,
		[CB_COMMAND_INSTANCE_UP] = cb_state_instance_up,
		[CB_COMMAND_INSTANCE_STATE] = cb_state_instance_state,
		[CB_COMMAND_QUARANTINE_ADD] = cb_state_quarantine_add,
		[CB_COMMAND_QUARANTINE_REMOVE] = cb_state_quarantine_remove,
		[CB_COMMAND_SUSPECT_ADD] = cb_state_suspect_add,
		[CB_COMMAND_CLAIM] = claim_acquire_,
		[CB_COMMAND_CLAIM_FINISH] = claim_finish_,
		[CB_COMMAND_SERVER_NOTE] = cb_state_server_note,
		[CB_COMMAND_SERVER_FORGET] = cb_state_server_forget,
		[CB_COMMAND_DOCUMENT_PUT] = cb_state_document_put,
	};
	const char *fault = command_validate_(command);
	cb_answer_t *answer;

	if (fault) {
		answer = cb_answer_new(CB_ANSWER_INVALID);
		answer->message = g_strdup(fault);
		return answer;
	}
	time_advance_(state, command->wall_ms);
	if (!answer_is_recorded_(command))
		return apply[command->kind](state, command, index);
	answer = cb_change_answers_find(state->change_answers, command);
	if (answer)
		return answer;
	answer = apply[command->kind](state, command, index);
	cb_change_answers_record(state->change_answers, command, answer,
				 state->elapsed_ms);
	return answer;
}

static GBytes *machine_apply_(cb_machine_t *machine, uint64_t index,
			      GBytes *bytes)
{
	cb_state_t *state = (cb_state_t *)machine;
	cb_command_t *command = cb_command_decode(bytes);
	cb_answer_t *answer;
	GBytes *encoded;

	if (command) {
		answer = command_apply_(state, command, index);
	} else {
		answer = cb_answer_new(CB_ANSWER_INVALID);
		answer->message = g_strdup("change: is malformed");
	}
	encoded = cb_answer_encode(answer);
	cb_answer_delete(answer);
	cb_command_delete(command);
	return encoded;
}

static GBytes *machine_snapshot_(cb_machine_t *machine)
{
	return cb_state_snapshot((cb_state_t *)machine);
}

static gboolean machine_restore_(cb_machine_t *machine, uint64_t index,
				 GBytes *snapshot, GError **error)
{
	(void)index;
	return cb_state_restore((cb_state_t *)machine, snapshot, error);
}

static const cb_machine_vtable_t machine_vtable = {
	.apply = machine_apply_,
	.snapshot = machine_snapshot_,
	.restore = machine_restore_,
};

/* Creates the content of an empty state. */
void cb_state_content_init(cb_state_t *state)
{
	state->view = cb_view_new();
	state->history = cb_change_history_new(CB_STATE_TOMBSTONE_MAX_COUNT);
	state->change_answers = cb_change_answers_new();
	state->claims = cb_claims_new(owner_is_running_, state);
	state->silent_instances = cb_age_queue_new();
	state->quarantine_digests = cb_age_queue_new();
	state->wall_ms = 0;
	state->elapsed_ms = 0;
}

/* Frees the content of a state. */
void cb_state_content_clear(cb_state_t *state)
{
	cb_age_queue_delete(state->quarantine_digests);
	cb_age_queue_delete(state->silent_instances);
	cb_claims_delete(state->claims);
	cb_change_answers_delete(state->change_answers);
	cb_change_history_delete(state->history);
	cb_view_delete(state->view);
}

/* Returns a new empty state at revision 0. */
cb_state_t *cb_state_new(void)
{
	cb_state_t *state = g_new0(cb_state_t, 1);

	state->machine.vtable = &machine_vtable;
	cb_state_content_init(state);
	return state;
}

/* Frees a state; NULL is allowed. */
void cb_state_delete(cb_state_t *state)
{
	if (!state)
		return;
	cb_state_content_clear(state);
	g_free(state);
}

/* Returns the state machine to which a replica applies committed commands. */
cb_machine_t *cb_state_machine(cb_state_t *state)
{
	return &state->machine;
}

/* Returns the revision of the last change to the configuration. */
uint64_t cb_state_revision(const cb_state_t *state)
{
	return cb_view_revision(state->view);
}

/*
 * Returns the revision from which a view needs no update: that of the last
 * change but those of servers' records, which updates do not contain.
 */
uint64_t cb_state_entry_revision(const cb_state_t *state)
{
	return cb_change_history_entry_revision(state->history);
}

/*
 * Encodes the changes after revision `since` for cb_view_apply(), or the whole
 * configuration when `since` is 0 or older than the recorded changes.  Records
 * of servers are left out: entry instances receive servers as they are now
 * (CB_LINK_MESSAGE_FLEET), not as they were recorded.  At the current revision
 * the update is empty, and a view rejects it as stale.  The
 * caller unrefs the bytes.
 */
GBytes *cb_state_encode_update(const cb_state_t *state, uint64_t since)
{
	cb_pack_t pack;

	if (since < cb_change_history_floor(state->history))
		since = 0;
	cb_pack_init(&pack);
	cb_pack_array(&pack, 3);
	cb_pack_uint(&pack, since);
	cb_pack_uint(&pack, cb_state_revision(state));
	cb_change_history_pack_since(state->history, since, state->view,
				     since > 0 ? CB_CHANGES_REMOVED : 0, &pack);
	return cb_update_add_hash(cb_pack_finish(&pack));
}

/* Returns the current configuration, which the state owns and updates. */
const cb_view_t *cb_state_view(const cb_state_t *state)
{
	return state->view;
}

/* Returns the number of claims, including ended ones that are retained. */
size_t cb_state_claim_count(const cb_state_t *state)
{
	return cb_claims_count(state->claims);
}
