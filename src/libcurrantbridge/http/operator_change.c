#include "private/operator.h"

#include <string.h>

#include "currantbridge/settings.h"

static void malformed_request_refuse_(cb_operator_t *api,
				      SoupServerMessage *message,
				      const char *text)
{
	cb_operator_refuse(api, message, SOUP_STATUS_BAD_REQUEST, "malformed",
			   text, CB_EXECUTED_NO);
}

/*
 * Returns the request's body, which the caller frees, or NULL if it is empty
 * or not valid UTF-8.
 */
static char *body_text_get_(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);
	char *text = NULL;

	if (size && g_utf8_validate_len(data, size, NULL))
		text = g_strndup(data, size);
	g_bytes_unref(bytes);
	return text;
}

/*
 * Parses the headers of a change into `command`.  On an error, answers with it
 * and returns FALSE.
 */
static gboolean headers_parse_(cb_operator_t *api, SoupServerMessage *message,
			       cb_command_t *command)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *id =
		soup_message_headers_get_one(headers,
					     CB_OPERATOR_CHANGE_ID_HEADER);
	const char *expected =
		soup_message_headers_get_one(headers,
					     CB_OPERATOR_EXPECTED_HEADER);

	if (!id || !*id || strlen(id) > CB_COMMAND_TEXT_MAX_BYTES ||
	    !g_utf8_validate(id, -1, NULL)) {
		malformed_request_refuse_(
			api, message,
			CB_OPERATOR_CHANGE_ID_HEADER
			": must have from 1 to 256 bytes of UTF-8");
		return FALSE;
	}
	command->change_id = g_strdup(id);
	if (!expected)
		return TRUE;
	command->has_expected_revision = TRUE;
	if (g_ascii_string_to_unsigned(expected, 10, 0, UINT64_MAX,
				       &command->expected_revision, NULL))
		return TRUE;
	malformed_request_refuse_(api, message,
				  CB_OPERATOR_EXPECTED_HEADER
				  ": must be a whole number");
	return FALSE;
}

/* Answers a conflict with the expected and the current revision. */
static void conflicting_change_reply_(cb_operator_task_t *task,
				      const cb_answer_t *answer)
{
	cb_counters_t *counters = cb_kernel_counters(task->api->kernel);
	JsonBuilder *builder = json_builder_new();

	cb_counter_add(cb_counters_counter(counters, "cb_refusals_total",
					   "reason", "conflict"),
		       1);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "error");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "reason");
	json_builder_add_string_value(builder, "conflict");
	json_builder_set_member_name(builder, "message");
	json_builder_add_string_value(builder, answer->message ?
						       answer->message :
						       "conflict");
	json_builder_set_member_name(builder, "executed");
	json_builder_add_string_value(builder,
				      cb_executed_string[CB_EXECUTED_NO]);
	json_builder_set_member_name(builder, "expected_revision");
	json_builder_add_int_value(builder, (gint64)answer->expected_revision);
	json_builder_set_member_name(builder, "present_revision");
	json_builder_add_int_value(builder, (gint64)answer->revision);
	json_builder_set_member_name(builder, "change_id");
	json_builder_add_string_value(builder, task->change_id);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_CONFLICT, builder);
}

/* Answers an accepted change with the instances where it is in force. */
static void accepted_change_reply_(cb_operator_task_t *task)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "accepted");
	json_builder_add_boolean_value(builder, TRUE);
	json_builder_set_member_name(builder, "name");
	json_builder_add_string_value(builder, task->name);
	if (task->change_id) {
		json_builder_set_member_name(builder, "change_id");
		json_builder_add_string_value(builder, task->change_id);
		json_builder_set_member_name(builder, "revision");
		json_builder_add_int_value(builder, (gint64)task->revision);
		json_builder_set_member_name(builder, "is_replayed");
		json_builder_add_boolean_value(builder, task->is_replayed);
		cb_operator_put_in_force(builder, task);
	}
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_OK, builder);
}

/* Counts, logs and answers an accepted change. */
static void change_accept_(cb_operator_task_t *task, const cb_answer_t *answer)
{
	cb_operator_t *api = task->api;
	cb_counters_t *counters = cb_kernel_counters(api->kernel);

	cb_counter_add(cb_counters_counter(counters,
					   "cb_operator_changes_total", NULL,
					   NULL),
		       1);
	cb_log_event(cb_kernel_log(api->kernel), CB_EVENT_OPERATOR_ACCEPTED,
		     CB_STR("name", task->name),
		     CB_STR("change_id", task->change_id),
		     CB_INT("revision", answer->revision));
	task->revision = answer->revision;
	task->is_replayed = answer->is_replayed;
	cb_operator_fetch_sessions_and_reply(task);
}

/* Answers a change that the state machine did not accept. */
static void refused_change_reply_(cb_operator_task_t *task,
				  const cb_answer_t *answer)
{
	const char *text = answer->message;

	if (answer->kind == CB_ANSWER_CONFLICT)
		conflicting_change_reply_(task, answer);
	else if (answer->kind == CB_ANSWER_NOT_FOUND)
		cb_operator_refuse(task->api, task->message,
				   SOUP_STATUS_NOT_FOUND, "not_found",
				   text ? text : "there is no such item",
				   CB_EXECUTED_NO);
	else
		cb_operator_refuse(task->api, task->message,
				   SOUP_STATUS_BAD_REQUEST, "invalid",
				   text ? text : "the change is not valid",
				   CB_EXECUTED_NO);
}

/* Answers a change for which there is no answer of the state machine. */
static void unanswered_change_reply_(cb_operator_task_t *task,
				     cb_submit_outcome_t outcome)
{
	const char *text = "the change may have been accepted; resend it "
			   "under the same change ID";
	cb_executed_t executed = CB_EXECUTED_UNKNOWN;

	if (outcome == CB_SUBMIT_NO_LEADER) {
		text = "no majority of control instances has a leader now";
		executed = CB_EXECUTED_NO;
	} else if (outcome == CB_SUBMIT_BUSY) {
		text = "too many changes are waiting";
		executed = CB_EXECUTED_NO;
	}
	cb_operator_refuse(task->api, task->message,
			   SOUP_STATUS_SERVICE_UNAVAILABLE,
			   cb_submit_outcome_string[outcome], text, executed);
}

static void outcome_handle_(cb_submit_outcome_t outcome,
			    const cb_answer_t *answer, void *user_data)
{
	cb_operator_task_t *task = user_data;

	if (task->is_answered) {
		cb_operator_task_delete(task);
		return;
	}
	if (outcome == CB_SUBMIT_ANSWERED && answer->kind == CB_ANSWER_OK) {
		change_accept_(task, answer);
		return;
	}
	if (outcome == CB_SUBMIT_ANSWERED)
		refused_change_reply_(task, answer);
	else
		unanswered_change_reply_(task, outcome);
	cb_operator_task_send_reply(task);
	cb_operator_task_delete(task);
}

/* Creates the task of a change to the item `name`. */
static cb_operator_task_t *change_task_new_(cb_operator_t *api,
					    SoupServerMessage *message,
					    const char *name)
{
	cb_operator_task_t *task = cb_operator_task_new(api, message);

	task->is_change = TRUE;
	task->reply = accepted_change_reply_;
	task->name = g_strdup(name);
	return task;
}

/* Submits a change and answers `message`; takes ownership of `command`. */
static void change_submit_(cb_operator_t *api, SoupServerMessage *message,
			   cb_command_t *command)
{
	cb_operator_task_t *task =
		change_task_new_(api, message, command->name);

	task->change_id = g_strdup(command->change_id);
	cb_node_submit(api->node, command, outcome_handle_, task);
}

/* Handles PUT /v1/contracts/WORKSPACE. */
void cb_operator_contract_put(cb_operator_t *api, SoupServerMessage *message,
			      const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	command->name = g_strdup(name);
	command->text = body_text_get_(message);
	if (!headers_parse_(api, message, command))
		goto refused;
	if (!command->text) {
		malformed_request_refuse_(api, message,
					  "the body must be a contract");
		goto refused;
	}
	change_submit_(api, message, command);
	return;

refused:
	cb_command_delete(command);
}

/* Handles DELETE /v1/contracts/WORKSPACE. */
void cb_operator_contract_remove(cb_operator_t *api, SoupServerMessage *message,
				 const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_REMOVE);

	command->name = g_strdup(name);
	if (headers_parse_(api, message, command))
		change_submit_(api, message, command);
	else
		cb_command_delete(command);
}

typedef struct stop_body {
	char *kind;
	char *name;
} stop_body_t;

/* Parses the kind of a planned stop; returns FALSE if the kind is unknown. */
static gboolean stop_kind_parse_(const char *kind_string, cb_stop_kind_t *kind)
{
	int i;

	for (i = 0; i < CB_STOP_KIND_COUNT; i++) {
		if (!g_str_equal(kind_string, cb_stop_kind_string[i]))
			continue;
		*kind = (cb_stop_kind_t)i;
		return TRUE;
	}
	return FALSE;
}

/*
 * Parses a JSON body as described by `table`.  On an error, answers with it and
 * returns FALSE.
 */
static gboolean body_parse_(cb_operator_t *api, SoupServerMessage *message,
			    const cb_setting_t *table, size_t table_count,
			    void *body)
{
	char *text = body_text_get_(message);
	GError *error = NULL;
	gboolean is_parsed;

	is_parsed = cb_settings_parse(text ? text : "", table, table_count,
				      body, &error);
	g_free(text);
	if (is_parsed)
		return TRUE;
	malformed_request_refuse_(api, message,
				  g_str_has_prefix(error->message,
						   "settings: ") ?
					  error->message +
						  strlen("settings: ") :
					  error->message);
	g_error_free(error);
	return FALSE;
}

/* Handles POST /v1/stops. */
void cb_operator_stop_announce(cb_operator_t *api, SoupServerMessage *message)
{
	static const char *const kinds[] = { "server", "instance", NULL };
	const cb_setting_t table[] = {
		{ "kind", CB_SETTING_STRING, offsetof(stop_body_t, kind), TRUE,
		  0, 0, NULL, kinds },
		{ "name", CB_SETTING_STRING, offsetof(stop_body_t, name), TRUE,
		  0, 0, NULL, NULL },
	};
	cb_command_t *command = cb_command_new(CB_COMMAND_STOP_ANNOUNCE);
	stop_body_t body = { 0 };

	if (!body_parse_(api, message, table, G_N_ELEMENTS(table), &body))
		goto refused;
	stop_kind_parse_(body.kind, &command->stop_kind);
	command->name = g_strdup(body.name);
	cb_settings_clear(table, G_N_ELEMENTS(table), &body);
	if (!headers_parse_(api, message, command))
		goto refused;
	change_submit_(api, message, command);
	return;

refused:
	cb_command_delete(command);
}

/* Handles DELETE /v1/stops/KIND/NAME. */
void cb_operator_stop_cancel(cb_operator_t *api, SoupServerMessage *message,
			     const char *kind, const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_STOP_CANCEL);

	command->name = g_strdup(name);
	if (!stop_kind_parse_(kind, &command->stop_kind)) {
		malformed_request_refuse_(
			api, message, "kind: must be one of server, instance");
		goto refused;
	}
	if (!headers_parse_(api, message, command))
		goto refused;
	change_submit_(api, message, command);
	return;

refused:
	cb_command_delete(command);
}

typedef struct member_body {
	char *name;
	char *address;
} member_body_t;

static const cb_replica_member_t *member_find_(const cb_node_t *node,
					       const char *name)
{
	const GPtrArray *members = cb_replica_members(cb_node_replica(node));
	unsigned int i;

	for (i = 0; members && i < members->len; i++) {
		const cb_replica_member_t *member =
			g_ptr_array_index(members, i);

		if (!strcmp(member->name, name))
			return member;
	}
	return NULL;
}

/*
 * Adds the member once the list of members is confirmed as current.  It is
 * accepted if it is a member already, as after a resend of the request.
 */
static void member_add_confirmed_(cb_submit_outcome_t outcome, uint64_t index,
				  void *user_data)
{
	cb_operator_task_t *task = user_data;
	const cb_answer_t same_address_answer = { .kind = CB_ANSWER_OK };
	const cb_answer_t other_address_answer = {
		.kind = CB_ANSWER_INVALID,
		.message = (char *)"name: is a member at another address; "
				   "remove it first",
	};
	const cb_replica_member_t *member =
		member_find_(task->api->node, task->name);

	(void)index;
	if (outcome != CB_SUBMIT_ANSWERED)
		outcome_handle_(CB_SUBMIT_NO_LEADER, NULL, task);
	else if (!member)
		cb_node_add_member(task->api->node, task->name, task->address,
				   outcome_handle_, task);
	else if (!strcmp(member->address, task->address))
		outcome_handle_(CB_SUBMIT_ANSWERED, &same_address_answer, task);
	else
		outcome_handle_(CB_SUBMIT_ANSWERED, &other_address_answer,
				task);
}

/* Handles POST /v1/members. */
void cb_operator_member_add(cb_operator_t *api, SoupServerMessage *message)
{
	const cb_setting_t table[] = {
		{ "name", CB_SETTING_STRING, offsetof(member_body_t, name),
		  TRUE, 0, 0, NULL, NULL },
		{ "address", CB_SETTING_ADDRESS,
		  offsetof(member_body_t, address), TRUE, 0, 0, NULL, NULL },
	};
	member_body_t body = { 0 };
	cb_operator_task_t *task;

	if (!body_parse_(api, message, table, G_N_ELEMENTS(table), &body))
		return;
	task = change_task_new_(api, message, body.name);
	task->address = g_strdup(body.address);
	cb_node_confirm(api->node, member_add_confirmed_, task);
	cb_settings_clear(table, G_N_ELEMENTS(table), &body);
}

/* Handles DELETE /v1/members/NAME. */
void cb_operator_member_remove(cb_operator_t *api, SoupServerMessage *message,
			       const char *name)
{
	cb_operator_task_t *task = change_task_new_(api, message, name);

	cb_node_remove_member(api->node, name, outcome_handle_, task);
}
