#include "private/node.h"

/* Returns the incoming link with this ID, or NULL if it is closed. */
cb_inbound_t *cb_inbound_find(cb_node_t *node, uint64_t id)
{
	return g_hash_table_lookup(node->inbounds, &id);
}

/* Sends a message on an incoming link unless it is closed. */
void cb_inbound_reply(cb_node_t *node, uint64_t id,
		      const cb_link_message_t *message)
{
	cb_inbound_t *inbound = cb_inbound_find(node, id);

	if (inbound)
		cb_link_send(inbound->link, message);
}

/* Closes and deletes an incoming link with its session. */
void cb_inbound_delete(void *inbound)
{
	cb_inbound_t *self = inbound;

	cb_link_delete(self->link);
	cb_session_delete(self->session);
	g_free(self);
}

static void inbound_ready_(void *user_data, const cb_hello_t *remote)
{
	cb_inbound_t *inbound = user_data;
	cb_node_t *node = inbound->node;

	if (node->is_draining) {
		cb_link_goodbye(inbound->link, CB_CLOSE_STOPPING);
		return;
	}
	if (remote->role != CB_ROLE_ENTRY) {
		cb_peers_reconnect_soon(node->peers, remote->name);
		return;
	}
	if (cb_node_is_cut_off(node)) {
		cb_link_goodbye(inbound->link, CB_CLOSE_NOT_CURRENT);
		return;
	}
	if (!cb_session_open(inbound, remote))
		cb_link_goodbye(inbound->link, CB_CLOSE_REPLACED);
}

static void control_message_receive_(cb_inbound_t *inbound,
				     const cb_link_message_t *message)
{
	const char *name = cb_link_remote_hello(inbound->link)->name;
	cb_node_t *node = inbound->node;

	if (message->kind == CB_LINK_MESSAGE_SESSION_REPORT)
		cb_node_sessions_receive_report(node, name, message);
	else if (message->kind == CB_LINK_MESSAGE_DEMAND)
		cb_node_demand_serve(inbound, message);
	else if (message->kind == CB_LINK_MESSAGE_FLEET)
		cb_node_fleet_receive(node, message);
	else if (message->kind == CB_LINK_MESSAGE_USAGE)
		cb_node_usage_receive_peer(node, name, message);
	else if (message->kind == CB_LINK_MESSAGE_JOIN)
		cb_node_join_serve(inbound, message);
	else if (message->kind != CB_LINK_MESSAGE_REPLICA)
		cb_node_request_serve(inbound, message);
	else if (message->body && !node->is_failed)
		cb_replica_receive(node->replica, name, message->body);
}

static void inbound_received_(void *user_data, const cb_link_message_t *message)
{
	cb_inbound_t *inbound = user_data;

	if (cb_link_remote_hello(inbound->link)->role == CB_ROLE_CONTROL)
		control_message_receive_(inbound, message);
	else if (inbound->session)
		cb_session_receive(inbound, message);
}

static void inbound_closed_(void *user_data, cb_close_reason_t reason)
{
	cb_inbound_t *inbound = user_data;
	cb_node_t *node = inbound->node;
	const cb_hello_t *remote = cb_link_remote_hello(inbound->link);

	cb_node_count_close(node, reason);
	if (inbound->session)
		cb_log_event(node->log, CB_EVENT_SESSION_CLOSED,
			     CB_STR("name", remote->name),
			     CB_STR("reason", cb_close_reason_string[reason]));
	else if (!remote->name || reason == CB_CLOSE_VERSION)
		cb_log_event(node->log, CB_EVENT_LINK_REFUSED,
			     CB_STR("reason", cb_close_reason_string[reason]));
	if (inbound->session)
		cb_counter_add(node->session_gauge, -1);
	g_hash_table_remove(node->inbounds, &inbound->id);
}

static const cb_link_handler_t inbound_handler = {
	.ready = inbound_ready_,
	.received = inbound_received_,
	.closed = inbound_closed_,
};

/* Creates the link for a connection that another process opened. */
void cb_inbound_accept(cb_connection_t *connection, void *user_data)
{
	cb_node_t *node = user_data;
	cb_inbound_t *inbound = g_new0(cb_inbound_t, 1);
	cb_hello_t hello = { .role = CB_ROLE_CONTROL, .name = node->name };
	cb_link_options_t options = cb_node_link_options(node, &hello);

	hello.revision = cb_state_revision(node->state);
	inbound->node = node;
	inbound->id = ++node->next_id;
	inbound->link = cb_link_new(node->clock, connection, &options,
				    &inbound_handler, inbound);
	g_hash_table_insert(node->inbounds, &inbound->id, inbound);
}

/* Closes incoming links and sends `reason` to the peers. */
void cb_inbound_goodbye_all(cb_node_t *node, gboolean sessions_only,
			    cb_close_reason_t reason)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (inbound->session || !sessions_only)
			cb_link_goodbye(inbound->link, reason);
	}
}
