#include "private/operator.h"

#include <string.h>

#include "currantbridge/settings.h"

static void malformed_(cb_operator_t *api, SoupServerMessage *message,
		       const char *text)
{
	cb_operator_refuse(api, message, SOUP_STATUS_BAD_REQUEST, "malformed",
			   text, CB_EXECUTED_NO);
}

/* Returns the request's body as text for the caller, or NULL. */
static char *body_text_(SoupServerMessage *message)
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
 * Reads the headers that every change has into `command`.  Returns FALSE
 * when it has answered with an error.
 */
static gboolean headers_read_(cb_operator_t *api, SoupServerMessage *message,
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

	if (!id || !*id || strlen(id) > CB_COMMAND_TEXT_MAX_CHARS ||
	    !g_utf8_validate(id, -1, NULL)) {
		malformed_(api, message,
			   CB_OPERATOR_CHANGE_ID_HEADER
			   ": must have 1 to 256 characters");
		return FALSE;
	}
	command->change_id = g_strdup(id);
	if (!expected)
		return TRUE;
	command->has_expected_revision = TRUE;
	if (g_ascii_string_to_unsigned(expected, 10, 0, UINT64_MAX,
				       &command->expected_revision, NULL))
		return TRUE;
	malformed_(api, message,
		   CB_OPERATOR_EXPECTED_HEADER ": must be a whole number");
	return FALSE;
}

/* Answers a conflict, with both revisions. */
static void conflict_reply_(cb_operator_task_t *task, const cb_answer_t *answer)
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
	cb_operator_reply(task, SOUP_STATUS_CONFLICT, builder);
}

/* Answers an accepted change, and tells apart where it is in force. */
static void accepted_read_(cb_operator_task_t *task)
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
	cb_operator_reply(task, SOUP_STATUS_OK, builder);
}

/* Notes an accepted change, then answers it with where it is in force. */
static void accepted_(cb_operator_task_t *task, const cb_answer_t *answer)
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
	cb_operator_answer_with_sessions(task);
}

/* Answers a change that was not accepted. */
static void refused_reply_(cb_operator_task_t *task, const cb_answer_t *answer)
{
	const char *text = answer->message;

	if (answer->kind == CB_ANSWER_CONFLICT)
		conflict_reply_(task, answer);
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

/* Answers a change that got no answer of the state machine. */
static void unanswered_reply_(cb_operator_task_t *task,
			      cb_submit_outcome_t outcome)
{
	const char *text = "the change may have been accepted; resend it "
			   "under the same change ID";
	cb_executed_t executed = CB_EXECUTED_UNKNOWN;

	if (outcome == CB_SUBMIT_NO_LEADER) {
		text = "no majority of control instances has a leader now";
		executed = CB_EXECUTED_NO;
	} else if (outcome == CB_SUBMIT_BUSY) {
		text = "too many changes wait";
		executed = CB_EXECUTED_NO;
	}
	cb_operator_refuse(task->api, task->message,
			   SOUP_STATUS_SERVICE_UNAVAILABLE,
			   cb_submit_outcome_string[outcome], text, executed);
}

static void submitted_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		       void *user_data)
{
	cb_operator_task_t *task = user_data;

	if (task->is_answered) {
		cb_operator_task_delete(task);
		return;
	}
	if (outcome == CB_SUBMIT_ANSWERED && answer->kind == CB_ANSWER_OK) {
		accepted_(task, answer);
		return;
	}
	if (outcome == CB_SUBMIT_ANSWERED)
		refused_reply_(task, answer);
	else
		unanswered_reply_(task, outcome);
	cb_operator_task_answered(task);
	cb_operator_task_delete(task);
}

/* Makes the task of a change to the item `name`. */
static cb_operator_task_t *change_task_new_(cb_operator_t *api,
					    SoupServerMessage *message,
					    const char *name)
{
	cb_operator_task_t *task = cb_operator_task_new(api, message);

	task->is_change = TRUE;
	task->read = accepted_read_;
	task->name = g_strdup(name);
	return task;
}

/* Submits a change whose answer goes to `message`; takes `command`. */
static void change_begin_(cb_operator_t *api, SoupServerMessage *message,
			  cb_command_t *command)
{
	cb_operator_task_t *task =
		change_task_new_(api, message, command->name);

	task->change_id = g_strdup(command->change_id);
	cb_node_submit(api->node, command, submitted_, task);
}

/* PUT /v1/contracts/WORKSPACE */
void cb_operator_contract_put(cb_operator_t *api, SoupServerMessage *message,
			      const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	command->name = g_strdup(name);
	command->text = body_text_(message);
	if (!headers_read_(api, message, command))
		goto refused;
	if (!command->text) {
		malformed_(api, message, "the body must be a contract");
		goto refused;
	}
	change_begin_(api, message, command);
	return;

refused:
	cb_command_delete(command);
}

/* DELETE /v1/contracts/WORKSPACE */
void cb_operator_contract_remove(cb_operator_t *api, SoupServerMessage *message,
				 const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_REMOVE);

	command->name = g_strdup(name);
	if (headers_read_(api, message, command))
		change_begin_(api, message, command);
	else
		cb_command_delete(command);
}

typedef struct stop_body {
	char *kind;
	char *name;
} stop_body_t;

/* Reads a stop's kind; returns FALSE if there is none of that word. */
static gboolean stop_kind_read_(const char *word, cb_stop_kind_t *kind)
{
	int i;

	for (i = 0; i < CB_STOP_KIND_COUNT; i++) {
		if (!g_str_equal(word, cb_stop_kind_string[i]))
			continue;
		*kind = (cb_stop_kind_t)i;
		return TRUE;
	}
	return FALSE;
}

/* Reads a small JSON body by a table; answers with the error if it fails. */
static gboolean body_read_(cb_operator_t *api, SoupServerMessage *message,
			   const cb_setting_t *table, size_t table_count,
			   void *body)
{
	char *text = body_text_(message);
	GError *error = NULL;
	gboolean is_read;

	is_read = cb_settings_parse(text ? text : "", table, table_count, body,
				    &error);
	g_free(text);
	if (is_read)
		return TRUE;
	malformed_(api, message,
		   g_str_has_prefix(error->message, "settings: ") ?
			   error->message + strlen("settings: ") :
			   error->message);
	g_error_free(error);
	return FALSE;
}

/* POST /v1/stops */
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

	if (!body_read_(api, message, table, G_N_ELEMENTS(table), &body))
		goto refused;
	stop_kind_read_(body.kind, &command->stop_kind);
	command->name = g_strdup(body.name);
	cb_settings_clear(table, G_N_ELEMENTS(table), &body);
	if (!headers_read_(api, message, command))
		goto refused;
	change_begin_(api, message, command);
	return;

refused:
	cb_command_delete(command);
}

/* DELETE /v1/stops/KIND/NAME */
void cb_operator_stop_cancel(cb_operator_t *api, SoupServerMessage *message,
			     const char *kind, const char *name)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_STOP_CANCEL);

	command->name = g_strdup(name);
	if (!stop_kind_read_(kind, &command->stop_kind)) {
		malformed_(api, message,
			   "kind: must be one of server, instance");
		goto refused;
	}
	if (!headers_read_(api, message, command))
		goto refused;
	change_begin_(api, message, command);
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

/* Adds the member, once the present ones are known; a resend finds it. */
static void members_confirmed_(cb_submit_outcome_t outcome, uint64_t index,
			       void *user_data)
{
	cb_operator_task_t *task = user_data;
	const cb_answer_t there = { .kind = CB_ANSWER_OK };
	const cb_answer_t elsewhere = {
		.kind = CB_ANSWER_INVALID,
		.message = (char *)"name: is a member at another address; "
				   "remove it first",
	};
	const cb_replica_member_t *member =
		member_find_(task->api->node, task->name);

	(void)index;
	if (outcome != CB_SUBMIT_ANSWERED)
		submitted_(CB_SUBMIT_NO_LEADER, NULL, task);
	else if (!member)
		cb_node_add_member(task->api->node, task->name, task->address,
				   submitted_, task);
	else if (!strcmp(member->address, task->address))
		submitted_(CB_SUBMIT_ANSWERED, &there, task);
	else
		submitted_(CB_SUBMIT_ANSWERED, &elsewhere, task);
}

/* POST /v1/members */
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

	if (!body_read_(api, message, table, G_N_ELEMENTS(table), &body))
		return;
	task = change_task_new_(api, message, body.name);
	task->address = g_strdup(body.address);
	cb_node_confirm(api->node, members_confirmed_, task);
	cb_settings_clear(table, G_N_ELEMENTS(table), &body);
}

/* DELETE /v1/members/NAME */
void cb_operator_member_remove(cb_operator_t *api, SoupServerMessage *message,
			       const char *name)
{
	cb_operator_task_t *task = change_task_new_(api, message, name);

	cb_node_remove_member(api->node, name, submitted_, task);
}
