#include "private/node.h"

/* Sessions beyond one and a half times its share that an instance accepts. */
#define SESSIONS_TOLERATED 4
/* An entry instance that comes back within this time is accepted. */
#define TURN_AWAY_INTERVAL_MS 10000
/* Beyond this many, all that were turned away are forgotten. */
#define TURNED_AWAY_MAX 4096

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

/*
 * Returns how many sessions this instance accepts: one and a half times its share
 * of the entry instances that are ready, and some more.
 */
static int64_t sessions_limit_(const cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	const GPtrArray *instances =
		cb_view_instances(cb_state_view(node->state));
	int64_t ready_count = 0;
	unsigned int i;

	if (members->len < 2)
		return G_MAXINT64;
	for (i = 0; i < instances->len; i++)
		ready_count += ((cb_instance_t *)instances->pdata[i])->state ==
			       CB_INSTANCE_READY;
	return ready_count * 3 / (2 * (int64_t)members->len) +
	       SESSIONS_TOLERATED;
}

/*
 * Returns whether an entry instance may be told to look for another control
 * instance, and remembers that it was: the others may be down, so it is told
 * once in a while only.
 */
static gboolean turning_away_begin_(cb_node_t *node, const char *name)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	const int64_t *last_ms = g_hash_table_lookup(node->turned_away, name);

	if (last_ms && now_ms - *last_ms < TURN_AWAY_INTERVAL_MS)
		return FALSE;
	if (g_hash_table_size(node->turned_away) >= TURNED_AWAY_MAX)
		g_hash_table_remove_all(node->turned_away);
	g_hash_table_replace(node->turned_away, g_strdup(name),
			     g_memdup2(&now_ms, sizeof(now_ms)));
	return TRUE;
}

/*
 * Returns whether an entry instance serves by a configuration older than the
 * state's, so that it needs an update before anything else.
 */
static gboolean revision_is_outdated_(const cb_node_t *node, uint64_t revision)
{
	return revision > 0 && revision < cb_state_entry_revision(node->state);
}

/*
 * Has one session move to another control instance if there are too many here,
 * as after a start, when all entry instances know the same few.
 */
void cb_inbound_relieve(cb_node_t *node)
{
	GHashTableIter iter;
	void *value;

	if (cb_counter_get(node->session_gauge) <= sessions_limit_(node))
		return;
	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (!inbound->session || !inbound->session->is_confirmed ||
		    revision_is_outdated_(
			    node, inbound->session->in_force_revision) ||
		    !turning_away_begin_(node, inbound->session->hello.name))
			continue;
		cb_link_goodbye(inbound->link, CB_CLOSE_CROWDED);
		return;
	}
}

/* Counts a ready link by its protocol version. */
static void protocol_count_(cb_inbound_t *inbound)
{
	char *version = g_strdup_printf("%" G_GUINT64_FORMAT,
					cb_link_protocol(inbound->link));

	inbound->protocol_gauge =
		cb_counters_gauge(cb_kernel_counters(inbound->node->kernel),
				  "cb_links_accepted", "protocol", version);
	cb_counter_add(inbound->protocol_gauge, 1);
	g_free(version);
}

static void inbound_ready_(void *user_data, const cb_hello_t *remote)
{
	cb_inbound_t *inbound = user_data;
	cb_node_t *node = inbound->node;

	protocol_count_(inbound);
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
	if (cb_counter_get(node->session_gauge) >= sessions_limit_(node) &&
	    !cb_session_exists(node, remote->name) &&
	    !revision_is_outdated_(node, remote->revision) &&
	    turning_away_begin_(node, remote->name)) {
		cb_node_control_addresses_send(inbound);
		cb_link_goodbye(inbound->link, CB_CLOSE_CROWDED);
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
	if (inbound->protocol_gauge)
		cb_counter_add(inbound->protocol_gauge, -1);
	if (inbound->session)
		cb_log_event(node->log, CB_EVENT_SESSION_CLOSED,
			     CB_STR("name", remote->name),
			     CB_STR("reason", cb_close_reason_string[reason]));
	else if (!remote->name || reason == CB_CLOSE_VERSION)
		cb_log_event(node->log, CB_EVENT_LINK_REFUSED,
			     CB_STR("reason", cb_close_reason_string[reason]),
			     CB_INT("offered", remote->protocol),
			     CB_INT("lowest", CB_PROTOCOL_VERSION_MIN),
			     CB_INT("highest", CB_PROTOCOL_VERSION));
	if (inbound->session)
		cb_session_closed(inbound);
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
	options.is_accepted = TRUE;
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
