#include "private/state_data.h"

#include <string.h>

/* Removed items that have expired go a few at a time, with each change. */
#define DROPS_PER_CHANGE 4

static cb_answer_t *invalid_(const char *message)
{
	cb_answer_t *answer = cb_answer_new(CB_ANSWER_INVALID);

	answer->message = g_strdup(message);
	return answer;
}

static cb_answer_t *revision_answer_(cb_answer_kind_t kind, uint64_t revision)
{
	cb_answer_t *answer = cb_answer_new(kind);

	answer->revision = revision;
	return answer;
}

/*
 * Compares the expected revision with the present one.  Returns NULL if the
 * command may go on, else the conflict that shows both.
 */
static cb_answer_t *conflict_find_(const cb_command_t *command,
				   uint64_t present)
{
	cb_answer_t *answer;

	if (!command->has_expected_revision ||
	    command->expected_revision == present)
		return NULL;
	answer = revision_answer_(CB_ANSWER_CONFLICT, present);
	answer->expected_revision = command->expected_revision;
	answer->message =
		g_strdup_printf("expected revision %" G_GUINT64_FORMAT
				", the present revision is %" G_GUINT64_FORMAT,
				command->expected_revision, present);
	return answer;
}

/* Puts an item at a new revision; takes `value`. */
static void item_put_(cb_state_t *state, cb_item_kind_t kind, const char *name,
		      void *value, uint64_t index)
{
	const cb_change_history_entry_t change = { kind, name, index, FALSE };

	cb_change_history_record(state->history, &change);
	cb_view_put_item(state->view, kind, value);
	cb_view_set_revision(state->view, index);
}

static void item_remove_(cb_state_t *state, cb_item_kind_t kind,
			 const char *name, uint64_t index)
{
	const cb_change_history_entry_t change = { kind, name, index, TRUE };

	cb_change_history_record(state->history, &change);
	cb_view_remove_item(state->view, kind, name);
	cb_view_set_revision(state->view, index);
}

/* Refuses a key that the contract of another workspace holds. */
static cb_answer_t *keys_check_(const cb_state_t *state,
				const cb_contract_t *contract)
{
	const cb_contract_t *holder;
	cb_answer_t *answer;
	char **key;

	for (key = contract->keys; *key; key++) {
		holder = cb_view_contract_by_key(state->view, *key);
		if (!holder || !strcmp(holder->workspace, contract->workspace))
			continue;
		answer = cb_answer_new(CB_ANSWER_INVALID);
		answer->message = g_strdup_printf(
			"contract: keys: workspace %s holds one of them",
			holder->workspace);
		return answer;
	}
	return NULL;
}

/* Puts the contract in `text`, whose workspace is `name`. */
cb_answer_t *cb_state_contract_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	const cb_contract_t *present;
	cb_answer_t *answer = NULL;
	cb_contract_t *contract;
	GError *error = NULL;

	contract =
		cb_contract_parse(command->text ? command->text : "", &error);
	if (!contract) {
		answer = invalid_(error->message);
		g_error_free(error);
		return answer;
	}
	if (strcmp(contract->workspace, command->name) != 0) {
		answer = invalid_("contract: workspace: is not the one that "
				  "the change names");
		goto refuse;
	}
	present = cb_view_contract(state->view, command->name);
	answer = conflict_find_(command, present ? present->revision : 0);
	if (answer)
		goto refuse;
	answer = keys_check_(state, contract);
	if (answer)
		goto refuse;
	contract->revision = index;
	item_put_(state, CB_ITEM_CONTRACT, command->name, contract, index);
	return revision_answer_(CB_ANSWER_OK, index);

refuse:
	cb_contract_delete(contract);
	return answer;
}

/* Removes the contract of workspace `name`. */
cb_answer_t *cb_state_contract_remove(cb_state_t *state,
				      const cb_command_t *command,
				      uint64_t index)
{
	const cb_contract_t *present =
		cb_view_contract(state->view, command->name);
	cb_answer_t *answer;

	answer = conflict_find_(command, present ? present->revision : 0);
	if (answer)
		return answer;
	if (!present)
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	item_remove_(state, CB_ITEM_CONTRACT, command->name, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Announces a planned stop; one that is announced already stays as it is. */
cb_answer_t *cb_state_stop_announce(cb_state_t *state,
				    const cb_command_t *command, uint64_t index)
{
	char *name = cb_stop_item_name(command->stop_kind, command->name);
	const cb_stop_t *present =
		cb_view_find_item(state->view, CB_ITEM_STOP, name);
	cb_answer_t *answer;
	cb_stop_t *stop;

	answer = conflict_find_(command, present ? present->revision : 0);
	if (answer)
		goto out;
	if (present) {
		answer = revision_answer_(CB_ANSWER_OK, present->revision);
		goto out;
	}
	stop = g_new0(cb_stop_t, 1);
	stop->kind = command->stop_kind;
	stop->name = g_strdup(command->name);
	stop->revision = index;
	item_put_(state, CB_ITEM_STOP, name, stop, index);
	answer = revision_answer_(CB_ANSWER_OK, index);
out:
	g_free(name);
	return answer;
}

/* Cancels an announced stop. */
cb_answer_t *cb_state_stop_cancel(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	char *name = cb_stop_item_name(command->stop_kind, command->name);
	const cb_stop_t *present =
		cb_view_find_item(state->view, CB_ITEM_STOP, name);
	cb_answer_t *answer;

	answer = conflict_find_(command, present ? present->revision : 0);
	if (answer)
		goto out;
	if (!present) {
		answer = cb_answer_new(CB_ANSWER_NOT_FOUND);
		goto out;
	}
	item_remove_(state, CB_ITEM_STOP, name, index);
	answer = revision_answer_(CB_ANSWER_OK, index);
out:
	g_free(name);
	return answer;
}

/* Removes instances that have been silent for long. */
static void silent_trim_(cb_state_t *state, uint64_t index)
{
	const char *oldest;
	int64_t since_ms;
	char *name;
	int drops;

	for (drops = 0; drops < DROPS_PER_CHANGE; drops++) {
		oldest = cb_aging_oldest(state->silent, &since_ms);
		if (!oldest ||
		    since_ms + CB_STATE_SILENT_KEEP_MS > state->elapsed_ms)
			return;
		name = g_strdup(oldest);
		cb_aging_remove(state->silent, name);
		item_remove_(state, CB_ITEM_INSTANCE, name, index);
		g_free(name);
	}
}

static void instance_put_(cb_state_t *state, const cb_instance_t *instance,
			  uint64_t index)
{
	cb_instance_t *copy = g_new0(cb_instance_t, 1);

	*copy = *instance;
	copy->name = g_strdup(instance->name);
	copy->address = g_strdup(instance->address);
	copy->data_centre = g_strdup(instance->data_centre);
	copy->revision = index;
	if (copy->state == CB_INSTANCE_SILENT)
		cb_aging_add(state->silent, copy->name, state->elapsed_ms);
	else
		cb_aging_remove(state->silent, copy->name);
	item_put_(state, CB_ITEM_INSTANCE, copy->name, copy, index);
}

static gboolean instance_equal_(const cb_instance_t *a, const cb_instance_t *b)
{
	return a->incarnation == b->incarnation && a->state == b->state &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->data_centre, b->data_centre);
}

/*
 * An entry instance has begun, or has found its way back.  The same
 * incarnation stays leaving if it was; an older one is refused.
 */
cb_answer_t *cb_state_instance_up(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	const cb_instance_t *present =
		cb_view_find_item(state->view, CB_ITEM_INSTANCE, command->name);
	cb_instance_t wanted = {
		.name = command->name,
		.address = command->address,
		.data_centre = command->data_centre,
		.incarnation = command->incarnation,
		.state = CB_INSTANCE_READY,
	};

	if (!command->address || !command->data_centre)
		return invalid_("instance: address: is required");
	if (present && present->incarnation > command->incarnation)
		return revision_answer_(CB_ANSWER_CONFLICT, present->revision);
	if (present && present->incarnation == command->incarnation) {
		if (present->state == CB_INSTANCE_LEAVING)
			wanted.state = CB_INSTANCE_LEAVING;
		if (instance_equal_(present, &wanted))
			return revision_answer_(CB_ANSWER_OK,
						present->revision);
	}
	silent_trim_(state, index);
	instance_put_(state, &wanted, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Sets the state of an entry instance, if the incarnation is the present. */
cb_answer_t *cb_state_instance_state(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index)
{
	const cb_instance_t *present =
		cb_view_find_item(state->view, CB_ITEM_INSTANCE, command->name);
	cb_instance_t wanted;

	if (!present)
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	if (present->incarnation != command->incarnation)
		return revision_answer_(CB_ANSWER_CONFLICT, present->revision);
	if (present->state == command->instance_state)
		return revision_answer_(CB_ANSWER_OK, present->revision);
	if (present->state == CB_INSTANCE_LEAVING &&
	    command->instance_state == CB_INSTANCE_READY)
		return invalid_("instance: state: a leaving instance does not "
				"become ready again");
	wanted = *present;
	wanted.state = command->instance_state;
	instance_put_(state, &wanted, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Removes digests whose time is over, and the oldest of too many. */
static void quarantine_trim_(cb_state_t *state, uint64_t index)
{
	const cb_quarantine_t *quarantine;
	const char *oldest;
	int64_t added_ms;
	char *digest;
	int drops;

	for (drops = 0; drops < DROPS_PER_CHANGE; drops++) {
		oldest = cb_aging_oldest(state->quarantine, &added_ms);
		if (!oldest)
			return;
		quarantine = cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
					       oldest);
		if (MAX(quarantine->until_wall_ms,
			quarantine->suspect_until_wall_ms) > state->wall_ms &&
		    cb_aging_count(state->quarantine) <
			    CB_STATE_QUARANTINE_KEEP_COUNT)
			return;
		digest = g_strdup(oldest);
		cb_aging_remove(state->quarantine, digest);
		item_remove_(state, CB_ITEM_QUARANTINE, digest, index);
		g_free(digest);
	}
}

/* Copies what is known of a digest; `present` may be NULL. */
static cb_quarantine_t *quarantine_copy_(const cb_quarantine_t *present,
					 const char *digest, uint64_t index)
{
	cb_quarantine_t *quarantine = g_new0(cb_quarantine_t, 1);

	if (present)
		*quarantine = *present;
	quarantine->digest = g_strdup(digest);
	quarantine->deaths =
		present ? g_strdupv(present->deaths) : g_new0(char *, 1);
	quarantine->revision = index;
	return quarantine;
}

static void quarantine_put_(cb_state_t *state, cb_quarantine_t *quarantine,
			    uint64_t index)
{
	quarantine_trim_(state, index);
	cb_aging_add(state->quarantine, quarantine->digest, state->wall_ms);
	item_put_(state, CB_ITEM_QUARANTINE, quarantine->digest, quarantine,
		  index);
}

/* Puts digest `name` into quarantine until a time, or prolongs it. */
cb_answer_t *cb_state_quarantine_add(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index)
{
	int64_t until_ms = MIN(command->until_wall_ms,
			       state->wall_ms + CB_STATE_QUARANTINE_KEEP_MS);
	const cb_quarantine_t *present =
		cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
				  command->name);
	cb_quarantine_t *quarantine;

	if (present && present->until_wall_ms >= until_ms)
		return revision_answer_(CB_ANSWER_OK, present->revision);
	if (until_ms <= state->wall_ms)
		return invalid_("quarantine: until_wall_ms: is over");
	quarantine = quarantine_copy_(present, command->name, index);
	quarantine->until_wall_ms = until_ms;
	quarantine_put_(state, quarantine, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Returns the deaths with `death` after them. */
static char **deaths_add_(char **deaths, const char *death)
{
	GStrvBuilder *builder = g_strv_builder_new();
	char **longer;

	g_strv_builder_addv(builder, (const char **)deaths);
	g_strv_builder_add(builder, death);
	longer = g_strv_builder_end(builder);
	g_strv_builder_unref(builder);
	g_strfreev(deaths);
	return longer;
}

/* Notes that backend server `server` died as digest `name` ran there. */
cb_answer_t *cb_state_suspect_add(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	const cb_quarantine_t *present =
		cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
				  command->name);
	cb_quarantine_t *quarantine;
	char *death;

	if (!command->server || !command->owner)
		return invalid_("suspect: server and owner are required");
	death = g_strdup_printf("%s %s", command->server, command->owner);
	if (present &&
	    (g_strv_length(present->deaths) >= CB_STATE_SUSPECT_MAX_DEATHS ||
	     g_strv_contains((const char *const *)present->deaths, death))) {
		g_free(death);
		return revision_answer_(CB_ANSWER_OK, present->revision);
	}
	quarantine = quarantine_copy_(present, command->name, index);
	quarantine->deaths = deaths_add_(quarantine->deaths, death);
	quarantine->suspect_until_wall_ms =
		state->wall_ms + CB_STATE_SUSPECT_KEEP_MS;
	quarantine_put_(state, quarantine, index);
	g_free(death);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Takes a digest out of quarantine. */
cb_answer_t *cb_state_quarantine_remove(cb_state_t *state,
					const cb_command_t *command,
					uint64_t index)
{
	if (!cb_view_find_item(state->view, CB_ITEM_QUARANTINE, command->name))
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	cb_aging_remove(state->quarantine, command->name);
	item_remove_(state, CB_ITEM_QUARANTINE, command->name, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/*
 * Puts a configuration document in force.  One whose version is not above the
 * present one changes nothing, whatever it says, and is answered as accepted:
 * an operator that lost the answer sends the same again.
 */
cb_answer_t *cb_state_document_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	const cb_document_text_t *present = cb_view_document(state->view);
	cb_document_text_t *document;

	if (!command->answer)
		return invalid_("document: text: is required");
	if (present && present->version >= command->document_version)
		return revision_answer_(CB_ANSWER_OK, present->revision);
	document = g_new0(cb_document_text_t, 1);
	document->version = command->document_version;
	document->packed = g_bytes_ref(command->answer);
	document->revision = index;
	item_put_(state, CB_ITEM_DOCUMENT, CB_DOCUMENT_ITEM_NAME, document,
		  index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/* Notes a backend server's record, for processes that start later. */
cb_answer_t *cb_state_server_note(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	cb_server_note_t *note;

	if (!command->answer)
		return invalid_("server: record: is required");
	note = g_new0(cb_server_note_t, 1);
	note->id = g_strdup(command->name);
	note->record = g_bytes_ref(command->answer);
	note->revision = index;
	item_put_(state, CB_ITEM_SERVER, command->name, note, index);
	return revision_answer_(CB_ANSWER_OK, index);
}

/*
 * Forgets a backend server that is gone for good, with the planned stop of
 * its start, named by `text`, which has done its work.
 */
cb_answer_t *cb_state_server_forget(cb_state_t *state,
				    const cb_command_t *command, uint64_t index)
{
	char *stop = command->text ?
			     cb_stop_item_name(CB_STOP_SERVER, command->text) :
			     NULL;

	if (cb_view_find_item(state->view, CB_ITEM_SERVER, command->name))
		item_remove_(state, CB_ITEM_SERVER, command->name, index);
	if (stop && cb_view_find_item(state->view, CB_ITEM_STOP, stop))
		item_remove_(state, CB_ITEM_STOP, stop, index);
	g_free(stop);
	return revision_answer_(CB_ANSWER_OK, index);
}
