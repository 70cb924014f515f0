#include "private/state_data.h"

#include <string.h>

/* Expired items are removed a few at a time, with each change. */
#define MAX_REMOVALS_PER_CHANGE 4

static cb_answer_t *invalid_answer_new_(const char *message)
{
	cb_answer_t *answer = cb_answer_new(CB_ANSWER_INVALID);

	answer->message = g_strdup(message);
	return answer;
}

static cb_answer_t *revision_answer_new_(cb_answer_kind_t kind,
					 uint64_t revision)
{
	cb_answer_t *answer = cb_answer_new(kind);

	answer->revision = revision;
	return answer;
}

/*
 * Compares the expected revision with the current one.  Returns NULL if the
 * command may be applied, else a CONFLICT answer that names both.
 */
static cb_answer_t *revision_conflict_find_(const cb_command_t *command,
					    uint64_t current)
{
	cb_answer_t *answer;

	if (!command->has_expected_revision ||
	    command->expected_revision == current)
		return NULL;
	answer = revision_answer_new_(CB_ANSWER_CONFLICT, current);
	answer->expected_revision = command->expected_revision;
	answer->message =
		g_strdup_printf("expected revision %" G_GUINT64_FORMAT
				", the present revision is %" G_GUINT64_FORMAT,
				command->expected_revision, current);
	return answer;
}

/* Adds or replaces an item at revision `index`; takes ownership of `value`. */
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

/*
 * Returns an INVALID answer if another workspace has one of the contract's
 * keys.
 */
static cb_answer_t *contract_keys_check_(const cb_state_t *state,
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

/* Adds or replaces the contract of workspace `name` by that in `text`. */
cb_answer_t *cb_state_contract_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	const cb_contract_t *current;
	cb_answer_t *answer = NULL;
	cb_contract_t *contract;
	GError *error = NULL;

	contract =
		cb_contract_parse(command->text ? command->text : "", &error);
	if (!contract) {
		answer = invalid_answer_new_(error->message);
		g_error_free(error);
		return answer;
	}
	if (strcmp(contract->workspace, command->name) != 0) {
		answer = invalid_answer_new_(
			"contract: workspace: is not the one that "
			"the change names");
		goto reject;
	}
	current = cb_view_contract(state->view, command->name);
	answer = revision_conflict_find_(command,
					 current ? current->revision : 0);
	if (answer)
		goto reject;
	answer = contract_keys_check_(state, contract);
	if (answer)
		goto reject;
	contract->revision = index;
	item_put_(state, CB_ITEM_CONTRACT, command->name, contract, index);
	return revision_answer_new_(CB_ANSWER_OK, index);

reject:
	cb_contract_delete(contract);
	return answer;
}

/* Removes the contract of workspace `name`. */
cb_answer_t *cb_state_contract_remove(cb_state_t *state,
				      const cb_command_t *command,
				      uint64_t index)
{
	const cb_contract_t *current =
		cb_view_contract(state->view, command->name);
	cb_answer_t *answer;

	answer = revision_conflict_find_(command,
					 current ? current->revision : 0);
	if (answer)
		return answer;
	if (!current)
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	item_remove_(state, CB_ITEM_CONTRACT, command->name, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/* Announces a planned stop; a repeated announcement changes nothing. */
cb_answer_t *cb_state_stop_announce(cb_state_t *state,
				    const cb_command_t *command, uint64_t index)
{
	char *name = cb_stop_item_name(command->stop_kind, command->name);
	const cb_stop_t *current =
		cb_view_find_item(state->view, CB_ITEM_STOP, name);
	cb_answer_t *answer;
	cb_stop_t *stop;

	answer = revision_conflict_find_(command,
					 current ? current->revision : 0);
	if (answer)
		goto out;
	if (current) {
		answer = revision_answer_new_(CB_ANSWER_OK, current->revision);
		goto out;
	}
	stop = g_new0(cb_stop_t, 1);
	stop->kind = command->stop_kind;
	stop->name = g_strdup(command->name);
	stop->revision = index;
	item_put_(state, CB_ITEM_STOP, name, stop, index);
	answer = revision_answer_new_(CB_ANSWER_OK, index);
out:
	g_free(name);
	return answer;
}

/* Cancels an announced planned stop. */
cb_answer_t *cb_state_stop_cancel(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	char *name = cb_stop_item_name(command->stop_kind, command->name);
	const cb_stop_t *current =
		cb_view_find_item(state->view, CB_ITEM_STOP, name);
	cb_answer_t *answer;

	answer = revision_conflict_find_(command,
					 current ? current->revision : 0);
	if (answer)
		goto out;
	if (!current) {
		answer = cb_answer_new(CB_ANSWER_NOT_FOUND);
		goto out;
	}
	item_remove_(state, CB_ITEM_STOP, name, index);
	answer = revision_answer_new_(CB_ANSWER_OK, index);
out:
	g_free(name);
	return answer;
}

/* Removes instances that have been silent for CB_STATE_SILENT_RETENTION_MS. */
static void silent_instances_trim_(cb_state_t *state, uint64_t index)
{
	const char *oldest;
	int64_t since_ms;
	char *name;
	int removals;

	for (removals = 0; removals < MAX_REMOVALS_PER_CHANGE; removals++) {
		oldest =
			cb_age_queue_oldest(state->silent_instances, &since_ms);
		if (!oldest ||
		    since_ms + CB_STATE_SILENT_RETENTION_MS > state->elapsed_ms)
			return;
		name = g_strdup(oldest);
		cb_age_queue_remove(state->silent_instances, name);
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
		cb_age_queue_add(state->silent_instances, copy->name,
				 state->elapsed_ms);
	else
		cb_age_queue_remove(state->silent_instances, copy->name);
	item_put_(state, CB_ITEM_INSTANCE, copy->name, copy, index);
}

static gboolean instances_equal_(const cb_instance_t *a, const cb_instance_t *b)
{
	return a->incarnation == b->incarnation && a->state == b->state &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->data_centre, b->data_centre);
}

/*
 * Records that an entry instance has started or is connected again.  An
 * incarnation that is leaving stays so; an older one gets a CONFLICT.
 */
cb_answer_t *cb_state_instance_up(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	const cb_instance_t *current =
		cb_view_find_item(state->view, CB_ITEM_INSTANCE, command->name);
	cb_instance_t updated = {
		.name = command->name,
		.address = command->address,
		.data_centre = command->data_centre,
		.incarnation = command->incarnation,
		.state = CB_INSTANCE_READY,
	};

	if (!command->address || !command->data_centre)
		return invalid_answer_new_("instance: address: is required");
	if (current && current->incarnation > command->incarnation)
		return revision_answer_new_(CB_ANSWER_CONFLICT,
					    current->revision);
	if (current && current->incarnation == command->incarnation) {
		if (current->state == CB_INSTANCE_LEAVING)
			updated.state = CB_INSTANCE_LEAVING;
		if (instances_equal_(current, &updated))
			return revision_answer_new_(CB_ANSWER_OK,
						    current->revision);
	}
	silent_instances_trim_(state, index);
	instance_put_(state, &updated, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/* Sets the state of an entry instance if its incarnation is the current one. */
cb_answer_t *cb_state_instance_state(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index)
{
	const cb_instance_t *current =
		cb_view_find_item(state->view, CB_ITEM_INSTANCE, command->name);
	cb_instance_t updated;

	if (!current)
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	if (current->incarnation != command->incarnation)
		return revision_answer_new_(CB_ANSWER_CONFLICT,
					    current->revision);
	if (current->state == command->instance_state)
		return revision_answer_new_(CB_ANSWER_OK, current->revision);
	if (current->state == CB_INSTANCE_LEAVING &&
	    command->instance_state == CB_INSTANCE_READY)
		return invalid_answer_new_(
			"instance: state: a leaving instance does not "
			"become ready again");
	updated = *current;
	updated.state = command->instance_state;
	instance_put_(state, &updated, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/* Removes expired records of digests, and the oldest if there are too many. */
static void quarantine_trim_(cb_state_t *state, uint64_t index)
{
	const cb_quarantine_t *quarantine;
	const char *oldest;
	int64_t added_ms;
	char *digest;
	int removals;

	for (removals = 0; removals < MAX_REMOVALS_PER_CHANGE; removals++) {
		oldest = cb_age_queue_oldest(state->quarantine_digests,
					     &added_ms);
		if (!oldest)
			return;
		quarantine = cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
					       oldest);
		if (MAX(quarantine->until_wall_ms,
			quarantine->suspect_until_wall_ms) > state->wall_ms &&
		    cb_age_queue_count(state->quarantine_digests) <
			    CB_STATE_QUARANTINE_MAX_COUNT)
			return;
		digest = g_strdup(oldest);
		cb_age_queue_remove(state->quarantine_digests, digest);
		item_remove_(state, CB_ITEM_QUARANTINE, digest, index);
		g_free(digest);
	}
}

/*
 * Copies the quarantine record of a digest; creates one if `current` is NULL.
 */
static cb_quarantine_t *quarantine_copy_(const cb_quarantine_t *current,
					 const char *digest, uint64_t index)
{
	cb_quarantine_t *quarantine = g_new0(cb_quarantine_t, 1);

	if (current)
		*quarantine = *current;
	quarantine->digest = g_strdup(digest);
	quarantine->deaths =
		current ? g_strdupv(current->deaths) : g_new0(char *, 1);
	quarantine->revision = index;
	return quarantine;
}

static void quarantine_put_(cb_state_t *state, cb_quarantine_t *quarantine,
			    uint64_t index)
{
	quarantine_trim_(state, index);
	cb_age_queue_add(state->quarantine_digests, quarantine->digest,
			 state->wall_ms);
	item_put_(state, CB_ITEM_QUARANTINE, quarantine->digest, quarantine,
		  index);
}

/* Quarantines digest `name` until a wall time, or prolongs its quarantine. */
cb_answer_t *cb_state_quarantine_add(cb_state_t *state,
				     const cb_command_t *command,
				     uint64_t index)
{
	int64_t until_ms = MIN(command->until_wall_ms,
			       state->wall_ms + CB_STATE_QUARANTINE_MAX_MS);
	const cb_quarantine_t *current =
		cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
				  command->name);
	cb_quarantine_t *quarantine;

	if (current && current->until_wall_ms >= until_ms)
		return revision_answer_new_(CB_ANSWER_OK, current->revision);
	if (until_ms <= state->wall_ms)
		return invalid_answer_new_(
			"quarantine: until_wall_ms: is over");
	quarantine = quarantine_copy_(current, command->name, index);
	quarantine->until_wall_ms = until_ms;
	quarantine_put_(state, quarantine, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/*
 * Appends `death` to `deaths`; takes ownership of `deaths` and returns the
 * result.
 */
static char **deaths_add_(char **deaths, const char *death)
{
	GStrvBuilder *builder = g_strv_builder_new();
	char **extended;

	g_strv_builder_addv(builder, (const char **)deaths);
	g_strv_builder_add(builder, death);
	extended = g_strv_builder_end(builder);
	g_strv_builder_unref(builder);
	g_strfreev(deaths);
	return extended;
}

/*
 * Returns whether a death is recorded.  Details may follow the server's name
 * after a space; then the first report of this server is enough, whoever
 * reports it and whatever the details.
 */
static gboolean death_is_recorded_(const cb_quarantine_t *quarantine,
				   const char *server, const char *death)
{
	const char *details = strchr(server, ' ');
	char **known;

	for (known = quarantine->deaths; *known; known++)
		if (details ? !strncmp(*known, server,
				       (size_t)(details - server) + 1) :
			      !strcmp(*known, death))
			return TRUE;
	return FALSE;
}

/*
 * Records that backend server `server` died while it ran a request of digest
 * `name`, as reported by instance `owner`.
 */
cb_answer_t *cb_state_suspect_add(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	const cb_quarantine_t *current =
		cb_view_find_item(state->view, CB_ITEM_QUARANTINE,
				  command->name);
	cb_quarantine_t *quarantine;
	char *death;

	if (!command->server || !command->owner)
		return invalid_answer_new_(
			"suspect: server and owner are required");
	death = g_strdup_printf("%s %s", command->server, command->owner);
	if (current &&
	    (g_strv_length(current->deaths) >= CB_STATE_SUSPECT_MAX_DEATHS ||
	     death_is_recorded_(current, command->server, death))) {
		g_free(death);
		return revision_answer_new_(CB_ANSWER_OK, current->revision);
	}
	quarantine = quarantine_copy_(current, command->name, index);
	quarantine->deaths = deaths_add_(quarantine->deaths, death);
	quarantine->suspect_until_wall_ms =
		state->wall_ms + CB_STATE_SUSPECT_RETENTION_MS;
	quarantine_put_(state, quarantine, index);
	g_free(death);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/* Removes the record of a digest, which ends its quarantine. */
cb_answer_t *cb_state_quarantine_remove(cb_state_t *state,
					const cb_command_t *command,
					uint64_t index)
{
	if (!cb_view_find_item(state->view, CB_ITEM_QUARANTINE, command->name))
		return cb_answer_new(CB_ANSWER_NOT_FOUND);
	cb_age_queue_remove(state->quarantine_digests, command->name);
	item_remove_(state, CB_ITEM_QUARANTINE, command->name, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/*
 * Puts a configuration document in force.  One whose version is not above the
 * current version changes nothing, whatever its text, but is answered OK,
 * because an operator that lost the answer sends the same document again.
 */
cb_answer_t *cb_state_document_put(cb_state_t *state,
				   const cb_command_t *command, uint64_t index)
{
	const cb_document_text_t *current = cb_view_document(state->view);
	cb_document_text_t *document;

	if (!command->payload)
		return invalid_answer_new_("document: text: is required");
	if (current && current->version >= command->document_version)
		return revision_answer_new_(CB_ANSWER_OK, current->revision);
	document = g_new0(cb_document_text_t, 1);
	document->version = command->document_version;
	document->packed = g_bytes_ref(command->payload);
	document->revision = index;
	item_put_(state, CB_ITEM_DOCUMENT, CB_DOCUMENT_ITEM_NAME, document,
		  index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/* Stores a backend server's record, for processes that start later. */
cb_answer_t *cb_state_server_note(cb_state_t *state,
				  const cb_command_t *command, uint64_t index)
{
	cb_stored_server_t *server;

	if (!command->payload)
		return invalid_answer_new_("server: record: is required");
	server = g_new0(cb_stored_server_t, 1);
	server->id = g_strdup(command->name);
	server->record = g_bytes_ref(command->payload);
	server->revision = index;
	item_put_(state, CB_ITEM_SERVER, command->name, server, index);
	return revision_answer_new_(CB_ANSWER_OK, index);
}

/*
 * Removes a backend server that is permanently gone, and the planned stop that
 * was announced for it under the name `text` and is now complete.
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
	return revision_answer_new_(CB_ANSWER_OK, index);
}
