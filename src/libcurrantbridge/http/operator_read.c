#include "private/operator.h"

#include <string.h>

static void put_uint_(JsonBuilder *builder, const char *name, uint64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, (gint64)value);
}

static void put_text_(JsonBuilder *builder, const char *name, const char *text)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void put_bool_(JsonBuilder *builder, const char *name, gboolean value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

static const cb_state_t *task_state_get_(const cb_operator_task_t *task)
{
	return cb_node_state(task->api->node);
}

/*
 * Appends a contract as JSON.  Its text is JSON already, and a workspace name
 * contains no character that JSON would escape.
 */
static void contract_append_(GString *text, const cb_contract_t *contract)
{
	g_string_append_printf(text,
			       "{\"workspace\":\"%s\",\"revision\":"
			       "%" G_GUINT64_FORMAT ",\"contract\":",
			       contract->workspace, contract->revision);
	g_string_append(text, contract->text);
	g_string_append_c(text, '}');
}

/* Sets the answer to the JSON in `text`; takes ownership of it. */
static void json_text_reply_(cb_operator_task_t *task, GString *text)
{
	gsize size = text->len;

	soup_server_message_set_status(task->message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(task->message, "application/json",
					 SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE), size);
}

/*
 * GET /v1/contracts.  There may be thousands, so the JSON text is written
 * directly: building a tree of nodes would block the main loop of the control
 * instance.
 */
void cb_operator_contracts_reply(cb_operator_task_t *task)
{
	const cb_state_t *state = task_state_get_(task);
	const GPtrArray *contracts = cb_view_contracts(cb_state_view(state));
	GString *text = g_string_new(NULL);
	unsigned int i;

	g_string_append_printf(text,
			       "{\"revision\":%" G_GUINT64_FORMAT
			       ",\"contracts\":[",
			       cb_state_revision(state));
	for (i = 0; i < contracts->len; i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		contract_append_(text, g_ptr_array_index(contracts, i));
	}
	g_string_append(text, "]}");
	json_text_reply_(task, text);
}

/* Answers GET /v1/contracts/WORKSPACE. */
void cb_operator_contract_reply(cb_operator_task_t *task)
{
	const cb_contract_t *contract =
		cb_view_contract(cb_state_view(task_state_get_(task)),
				 task->name);
	GString *text;

	if (!contract) {
		cb_operator_refuse(task->api, task->message,
				   SOUP_STATUS_NOT_FOUND, "not_found",
				   "no contract for this workspace",
				   CB_EXECUTED_NO);
		return;
	}
	text = g_string_new(NULL);
	contract_append_(text, contract);
	json_text_reply_(task, text);
}

/* Answers GET /v1/stops. */
void cb_operator_stops_reply(cb_operator_task_t *task)
{
	const cb_state_t *state = task_state_get_(task);
	const GPtrArray *stops = cb_view_stops(cb_state_view(state));
	JsonBuilder *builder = json_builder_new();
	unsigned int i;

	json_builder_begin_object(builder);
	put_uint_(builder, "revision", cb_state_revision(state));
	json_builder_set_member_name(builder, "stops");
	json_builder_begin_array(builder);
	for (i = 0; i < stops->len; i++) {
		const cb_stop_t *stop = g_ptr_array_index(stops, i);

		json_builder_begin_object(builder);
		put_text_(builder, "kind", cb_stop_kind_string[stop->kind]);
		put_text_(builder, "name", stop->name);
		put_uint_(builder, "revision", stop->revision);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_OK, builder);
}

static void put_members_(JsonBuilder *builder, const cb_node_t *node)
{
	const cb_replica_t *replica = cb_node_replica(node);
	const GPtrArray *members = cb_replica_members(replica);
	const char *leader = cb_replica_leader(replica);
	unsigned int i;

	json_builder_set_member_name(builder, "members");
	json_builder_begin_array(builder);
	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member =
			g_ptr_array_index(members, i);

		json_builder_begin_object(builder);
		put_text_(builder, "name", member->name);
		put_text_(builder, "address", member->address);
		put_bool_(builder, "is_voter", member->is_voter);
		put_bool_(builder, "is_leader",
			  !g_strcmp0(member->name, leader));
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* Answers GET /v1/members. */
void cb_operator_members_reply(cb_operator_task_t *task)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	put_members_(builder, task->api->node);
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_OK, builder);
}

/* Returns the leader's sessions by the name of the entry instance. */
static GHashTable *sessions_index_by_name_(const cb_operator_task_t *task)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	const GPtrArray *sessions = task->sessions;
	unsigned int i;

	for (i = 0; sessions && i < sessions->len; i++) {
		cb_session_status_t *session = g_ptr_array_index(sessions, i);

		g_hash_table_insert(by_name, session->name, session);
	}
	return by_name;
}

/*
 * Adds which entry instances have the task's revision in force.  Silent
 * instances are listed separately.  Without the leader's sessions no instance
 * counts as in force, and `is_complete` is false.
 */
void cb_operator_put_in_force(JsonBuilder *builder,
			      const cb_operator_task_t *task)
{
	const GPtrArray *instances =
		cb_view_instances(cb_state_view(task_state_get_(task)));
	GPtrArray *missing = g_ptr_array_new();
	GPtrArray *silent = g_ptr_array_new();
	GHashTable *sessions = sessions_index_by_name_(task);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);
		const cb_session_status_t *session =
			g_hash_table_lookup(sessions, instance->name);

		if (instance->state == CB_INSTANCE_SILENT)
			g_ptr_array_add(silent, instance->name);
		else if (!session ||
			 session->incarnation != instance->incarnation ||
			 session->revision_in_force < task->revision)
			g_ptr_array_add(missing, instance->name);
	}
	json_builder_set_member_name(builder, "in_force");
	json_builder_begin_object(builder);
	put_uint_(builder, "revision", task->revision);
	put_bool_(builder, "is_complete", task->sessions != NULL);
	put_uint_(builder, "instances", instances->len - silent->len);
	put_uint_(builder, "in_force",
		  instances->len - silent->len - missing->len);
	json_builder_set_member_name(builder, "missing");
	json_builder_begin_array(builder);
	for (i = 0; i < missing->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(missing, i));
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "silent");
	json_builder_begin_array(builder);
	for (i = 0; i < silent->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(silent, i));
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	g_hash_table_unref(sessions);
	g_ptr_array_unref(silent);
	g_ptr_array_unref(missing);
}

/* Answers GET /v1/in-force?revision=N. */
void cb_operator_in_force_reply(cb_operator_task_t *task)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	cb_operator_put_in_force(builder, task);
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_OK, builder);
}

static void put_instances_(JsonBuilder *builder, const cb_operator_task_t *task)
{
	const GPtrArray *instances =
		cb_view_instances(cb_state_view(task_state_get_(task)));
	GHashTable *sessions = sessions_index_by_name_(task);
	unsigned int i;

	json_builder_set_member_name(builder, "instances");
	json_builder_begin_array(builder);
	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);
		const cb_session_status_t *session =
			g_hash_table_lookup(sessions, instance->name);

		json_builder_begin_object(builder);
		put_text_(builder, "name", instance->name);
		put_text_(builder, "address", instance->address);
		put_text_(builder, "data_centre", instance->data_centre);
		put_text_(builder, "state",
			  cb_instance_state_string[instance->state]);
		put_uint_(builder, "incarnation", instance->incarnation);
		if (session) {
			put_text_(builder, "control", session->control);
			put_uint_(builder, "revision_in_force",
				  session->revision_in_force);
			put_uint_(builder, "heard_ms_ago",
				  session->last_received_ms_ago);
		}
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	g_hash_table_unref(sessions);
}

/*
 * GET /v1/status.  It is answered without a majority as well; `is_confirmed` is
 * then false.
 */
void cb_operator_status_reply(cb_operator_task_t *task)
{
	const cb_node_t *node = task->api->node;
	const cb_replica_t *replica = cb_node_replica(node);
	const cb_state_t *state = cb_node_state(node);
	const cb_view_t *view = cb_state_view(state);
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	put_bool_(builder, "is_confirmed", task->is_confirmed);
	put_bool_(builder, "is_current", cb_replica_is_current(replica));
	put_text_(builder, "role",
		  cb_replica_role_string[cb_replica_role(replica)]);
	put_text_(builder, "leader", cb_replica_leader(replica));
	put_uint_(builder, "term", cb_replica_term(replica));
	put_uint_(builder, "committed", cb_replica_committed(replica));
	put_uint_(builder, "applied", cb_replica_applied(replica));
	put_uint_(builder, "revision", cb_state_revision(state));
	put_uint_(builder, "contracts", cb_view_contracts(view)->len);
	put_uint_(builder, "stops", cb_view_stops(view)->len);
	put_uint_(builder, "claims", cb_state_claim_count(state));
	put_members_(builder, node);
	put_instances_(builder, task);
	task->revision = cb_state_entry_revision(state);
	cb_operator_put_in_force(builder, task);
	json_builder_end_object(builder);
	cb_operator_reply_json(task, SOUP_STATUS_OK, builder);
}
