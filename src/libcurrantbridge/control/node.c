#include "currantbridge/node.h"

#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string.h>

#include "private/node.h"

#define LINK_QUEUE_MAX_BYTES (16 * 1024 * 1024)
#define MAX_WAITING_PROPOSALS 4096
/* Voters that a group keeps if it isn't known how many losses it has to tolerate. */
#define DEFAULT_MIN_VOTERS 9
/* Configuration changes within this time are pushed to sessions together. */
#define PUSH_DELAY_MS 2
/* Time to send the last messages before the process ends. */
#define DRAIN_FLUSH_MS 50
/* Links send at most this many heartbeats within their silence timeout. */
#define MAX_HEARTBEATS_PER_SILENCE 4
/*
 * When this process has not run for this many heartbeat intervals, the silence
 * of entry instances counts only from now: it could not receive heartbeats.
 */
#define STALL_HEARTBEAT_INTERVALS 3

/* Returns whether this instance is the leader and its storage works. */
gboolean cb_node_is_leader(const cb_node_t *node)
{
	return !node->is_failed &&
	       cb_replica_role(node->replica) == CB_REPLICA_ROLE_LEADER;
}

/* Returns the options for a link of this node that starts with `hello`. */
cb_link_options_t cb_node_link_options(const cb_node_t *node,
				       const cb_hello_t *hello)
{
	cb_link_options_t options = { .hello = hello,
				      .heartbeat_ms = node->heartbeat_ms,
				      .silence_ms = node->silence_ms };

	cb_link_options_set_counters(&options,
				     cb_kernel_counters(node->kernel));
	return options;
}

/* Counts a closed link under its reason. */
void cb_node_count_close(cb_node_t *node, cb_close_reason_t reason)
{
	cb_counters_t *counters = cb_kernel_counters(node->kernel);

	cb_counter_add(cb_counters_counter(counters, "cb_links_closed_total",
					   "reason",
					   cb_close_reason_string[reason]),
		       1);
}

/* Opens links to all other members that the replicated log names. */
static void member_links_update_(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	unsigned int i;

	for (i = 0; members && i < members->len; i++) {
		const cb_replica_member_t *member =
			g_ptr_array_index(members, i);

		if (strcmp(member->name, node->name) && member->address)
			cb_peers_keep_connected(node->peers, member->name,
						member->address);
	}
}

/* Sends a message of the replica; it is dropped when no link is ready. */
static void transport_send_(cb_transport_t *transport, const char *to,
			    const char *address, GBytes *body)
{
	cb_node_t *node = ((cb_node_transport_t *)transport)->node;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_REPLICA,
				      .body = body };

	if (address)
		cb_peers_keep_connected(node->peers, to, address);
	cb_peers_send(node->peers, to, &message);
}

static const cb_transport_vtable_t transport_vtable = {
	.send = transport_send_,
};

/*
 * The replica calls the next three functions from inside its own code.  They
 * start timers, so that most work is done later from the main loop.
 */
static void replica_role_changed_(void *user_data)
{
	cb_node_t *node = user_data;

	if (!node->is_destroyed)
		cb_timer_start(node->role_timer, 0);
}

static void replica_applied_(void *user_data, uint64_t index)
{
	cb_node_t *node = user_data;

	(void)index;
	if (!node->is_destroyed)
		cb_timer_start_sooner(node->push_timer, PUSH_DELAY_MS);
}

static void replica_failed_(void *user_data, const GError *error)
{
	cb_node_t *node = user_data;

	node->is_failed = TRUE;
	cb_log_event(node->log, CB_EVENT_STORAGE_FAILED,
		     CB_STR("error", error ? error->message : ""));
	if (!node->is_destroyed)
		cb_timer_start(node->role_timer, 0);
}

static void push_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;

	cb_node_confirm_applied(node);
	cb_node_services_review(node);
	cb_sessions_push_paced(node);
}

static void report_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;

	cb_node_sessions_report(node, FALSE);
	if (node->has_new_session)
		cb_node_instances_announce(node);
	node->has_new_session = FALSE;
}

static void confirm_timer_fired_(void *user_data)
{
	cb_sessions_confirm(user_data);
}

/*
 * Returns whether this instance has had no contact with a majority for half
 * the silence timeout, which is longer than an election takes, so that its
 * entry instances should connect to another.
 */
gboolean cb_node_is_cut_off(const cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (node->is_failed)
		return TRUE;
	if (cb_replica_is_current(node->replica))
		return FALSE;
	return now_ms - node->last_current_ms >= node->silence_ms / 2;
}

/* Closes the sessions if this instance is cut off from the majority. */
static void outdated_sessions_close_(cb_node_t *node)
{
	if (!node->is_failed && cb_replica_is_current(node->replica))
		node->last_current_ms = cb_clock_now_ms(node->clock);
	if (!cb_node_is_cut_off(node) || !cb_counter_get(node->session_gauge))
		return;
	cb_log_event(node->log, CB_EVENT_NOT_CURRENT);
	cb_inbound_goodbye_all(node, TRUE, CB_CLOSE_NOT_CURRENT);
}

static void role_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	gboolean is_leader = cb_node_is_leader(node);

	if (is_leader && !node->was_leader)
		node->leader_since_ms = cb_clock_now_ms(node->clock);
	node->was_leader = is_leader;
	cb_counter_set(node->leader_gauge, is_leader);
	cb_log_event(
		node->log, CB_EVENT_ROLE_CHANGED,
		CB_STR("role",
		       cb_replica_role_string[cb_replica_role(node->replica)]),
		CB_INT("term", cb_replica_term(node->replica)),
		CB_STR("leader", cb_replica_leader(node->replica)));
	member_links_update_(node);
	cb_sessions_confirm(node);
	cb_node_sessions_report(node, TRUE);
}

static void tick_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (now_ms - node->last_tick_ms >
	    STALL_HEARTBEAT_INTERVALS * node->heartbeat_ms)
		node->leader_since_ms = now_ms;
	node->last_tick_ms = now_ms;
	cb_timer_start(node->tick_timer, node->heartbeat_ms);
	if (node->is_draining)
		return;
	outdated_sessions_close_(node);
	member_links_update_(node);
	cb_node_join_tick(node);
	cb_node_membership_tick(node);
	cb_node_confirm_applied(node);
	cb_sessions_confirm(node);
	cb_sessions_close_unresponsive(node);
	if (cb_node_has_all_peers(node))
		cb_inbound_relieve(node);
	cb_node_instances_tick(node);
}

static gboolean data_folder_create_(const char *folder, GError **error)
{
	if (!g_mkdir_with_parents(folder, 0700))
		return TRUE;
	g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno), "%s: %s",
		    folder, g_strerror(errno));
	return FALSE;
}

static gboolean node_start_(cb_service_t *service, GError **error)
{
	cb_node_t *node = (cb_node_t *)service;

	if (node->owns_storage &&
	    !data_folder_create_(node->data_folder, error))
		return FALSE;
	node->listener =
		node->network->vtable->listen(node->network, node->listen,
					      cb_inbound_accept, node, error);
	if (!node->listener)
		return FALSE;
	if (!cb_replica_start(node->replica, error))
		return FALSE;
	cb_log_event(node->log, CB_EVENT_LINKS_LISTENING,
		     CB_STR("address", node->listen));
	node->last_tick_ms = cb_clock_now_ms(node->clock);
	node->last_current_ms = node->last_tick_ms;
	member_links_update_(node);
	cb_timer_start(node->tick_timer, node->heartbeat_ms);
	if (node->server_silence_ms)
		cb_timer_start(node->fleet_timer, 0);
	if (node->server_silence_ms)
		cb_timer_start(node->usage_timer, 0);
	return TRUE;
}

/* Closes all links with a reason, then waits until the messages are sent. */
static void links_close_(cb_node_t *node)
{
	cb_node_request_fail_all(node);
	cb_inbound_goodbye_all(node, FALSE, CB_CLOSE_STOPPING);
	cb_peers_goodbye(node->peers, CB_CLOSE_STOPPING);
	node->drain_deadline_ms = 0;
	cb_timer_start(node->drain_timer, DRAIN_FLUSH_MS);
}

static void drain_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (!node->drain_deadline_ms) {
		cb_kernel_service_drained(node->kernel, &node->service);
		return;
	}
	if (cb_node_is_leader(node) && now_ms < node->drain_deadline_ms)
		cb_timer_start(node->drain_timer, DRAIN_FLUSH_MS);
	else
		links_close_(node);
}

/* Hands over leadership and closes the sessions, then all other links. */
static void node_drain_(cb_service_t *service)
{
	cb_node_t *node = (cb_node_t *)service;

	node->is_draining = TRUE;
	node->drain_deadline_ms =
		cb_clock_now_ms(node->clock) + 2 * node->election_timeout_ms;
	if (cb_node_is_leader(node))
		cb_replica_hand_over(node->replica);
	cb_inbound_goodbye_all(node, TRUE, CB_CLOSE_STOPPING);
	cb_timer_start(node->drain_timer, 0);
}

static void timers_delete_(cb_node_t *node)
{
	cb_timer_delete(node->tick_timer);
	cb_timer_delete(node->push_timer);
	cb_timer_delete(node->role_timer);
	cb_timer_delete(node->report_timer);
	cb_timer_delete(node->confirm_timer);
	cb_timer_delete(node->drain_timer);
	cb_timer_delete(node->fleet_timer);
	cb_timer_delete(node->usage_timer);
}

static void node_destroy_(cb_service_t *service)
{
	cb_node_t *node = (cb_node_t *)service;

	node->is_destroyed = TRUE;
	if (node->listener)
		node->network->vtable->unlisten(node->network, node->listener);
	cb_replica_delete(node->replica);
	g_hash_table_unref(node->requests);
	g_hash_table_unref(node->pending_replies);
	g_hash_table_unref(node->inbounds);
	g_hash_table_unref(node->turned_away);
	cb_peers_delete(node->peers);
	timers_delete_(node);
	if (node->owns_storage)
		node->storage->vtable->destroy(node->storage);
	cb_state_delete(node->state);
	cb_roster_delete(node->roster);
	g_clear_pointer(&node->session_statuses, g_ptr_array_unref);
	g_clear_pointer(&node->next_confirm_waiters, g_array_unref);
	g_clear_pointer(&node->running_confirm_waiters, g_array_unref);
	if (node->owns_network)
		node->network->vtable->destroy(node->network);
	cb_lease_book_delete(node->lease_book);
	cb_fleet_delete(node->fleet);
	cb_document_unref(node->services);
	g_hash_table_unref(node->pending_stops);
	g_hash_table_unref(node->peer_usages);
	cb_departed_delete(node->departed);
	cb_usage_delete(node->total_usage);
	g_strfreev(node->join_addresses);
	g_rand_free(node->random);
	g_free(node->name);
	g_free(node->listen);
	g_free(node->data_folder);
	g_free(node);
}

static const cb_service_vtable_t node_vtable = {
	.start = node_start_,
	.drain = node_drain_,
	.destroy = node_destroy_,
};

static void peer_received_(void *user_data, const char *peer,
			   const cb_link_message_t *message)
{
	if (message->kind == CB_LINK_MESSAGE_GRANT)
		cb_node_grant_receive(user_data, message);
	else if (message->kind == CB_LINK_MESSAGE_FLEET)
		cb_node_fleet_receive(user_data, message);
	else if (message->kind == CB_LINK_MESSAGE_USAGE)
		cb_node_usage_receive_peer(user_data, peer, message);
	else
		cb_node_request_receive(user_data, message);
}

static void peer_closed_(void *user_data, const char *peer)
{
	cb_node_request_peer_closed(user_data, peer);
}

static void peer_ready_(void *user_data, const char *peer)
{
	cb_node_t *node = user_data;

	if (!node->is_failed)
		cb_replica_peer_ready(node->replica, peer);
}

static const cb_peers_handler_t peers_handler = {
	.ready = peer_ready_,
	.received = peer_received_,
	.closed = peer_closed_,
};

static void peers_create_(cb_node_t *node)
{
	cb_hello_t hello = { .role = CB_ROLE_CONTROL, .name = node->name };
	cb_peers_options_t options = {
		.clock = node->clock,
		.log = node->log,
		.network = node->network,
		.random = node->random,
		.link = cb_node_link_options(node, &hello),
	};

	node->peers = cb_peers_new(&options, &peers_handler, node);
}

/* Returns the address at which the other members reach this member. */
static const char *own_address_find_(const cb_node_options_t *options)
{
	size_t i;

	for (i = 0; i < options->initial_member_count; i++)
		if (g_str_equal(options->initial_members[i].name,
				options->name))
			return options->initial_members[i].address;
	return options->listen;
}

/* Returns how few voters a group with changing members may have; 0: fixed. */
static uint32_t min_voters_find_(const cb_node_options_t *options)
{
	if (!options->join_addresses)
		return 0;
	return options->tolerated_losses ? 2 * options->tolerated_losses + 1 :
					   DEFAULT_MIN_VOTERS;
}

static void replica_create_(cb_node_t *node, const cb_node_options_t *options)
{
	cb_replica_options_t replica_options = {
		.name = node->name,
		.address = own_address_find_(options),
		.initial_members = options->initial_members,
		.initial_member_count = options->initial_member_count,
		.heartbeat_ms = options->heartbeat_ms,
		.election_timeout_ms = options->election_timeout_ms,
		.snapshot_every_bytes = options->snapshot_every_bytes,
		.max_waiting_proposals = MAX_WAITING_PROPOSALS,
		.min_voters = min_voters_find_(options),
		.log = node->log,
		.counters = cb_kernel_counters(node->kernel),
	};
	cb_replica_listener_t listener = {
		.role_changed = replica_role_changed_,
		.applied = replica_applied_,
		.failed = replica_failed_,
		.user_data = node,
	};

	node->transport.transport.vtable = &transport_vtable;
	node->transport.node = node;
	node->replica =
		cb_replica_new(&replica_options, node->clock, node->random,
			       node->storage, &node->transport.transport,
			       cb_state_machine(node->state), &listener);
}

static void timers_create_(cb_node_t *node)
{
	node->tick_timer = cb_timer_new(node->clock, tick_timer_fired_, node);
	node->push_timer = cb_timer_new(node->clock, push_timer_fired_, node);
	node->role_timer = cb_timer_new(node->clock, role_timer_fired_, node);
	node->report_timer =
		cb_timer_new(node->clock, report_timer_fired_, node);
	node->confirm_timer =
		cb_timer_new(node->clock, confirm_timer_fired_, node);
	node->drain_timer = cb_timer_new(node->clock, drain_timer_fired_, node);
}

static void counters_create_(cb_node_t *node)
{
	cb_counters_t *counters = cb_kernel_counters(node->kernel);

	node->leader_gauge =
		cb_counters_gauge(counters, "cb_control_leader", NULL, NULL);
	node->voter_gauge =
		cb_counters_gauge(counters, "cb_control_voters", NULL, NULL);
	node->silent_voter_gauge =
		cb_counters_gauge(counters, "cb_control_silent_voters", NULL,
				  NULL);
	node->session_gauge =
		cb_counters_gauge(counters, "cb_sessions", NULL, NULL);
	node->push_counter =
		cb_counters_counter(counters, "cb_pushes_total", NULL, NULL);
	node->push_bytes_counter =
		cb_counters_counter(counters, "cb_push_bytes_total", NULL,
				    NULL);
}

/* Creates a control instance; the caller registers it as service "node". */
cb_node_t *cb_node_new(cb_kernel_t *kernel, const cb_node_options_t *options)
{
	cb_node_t *node = g_new0(cb_node_t, 1);

	node->service.vtable = &node_vtable;
	node->kernel = kernel;
	node->clock = cb_kernel_clock(kernel);
	node->log = cb_kernel_log(kernel);
	node->name = g_strdup(options->name);
	node->listen = g_strdup(options->listen);
	node->data_folder = g_strdup(options->data_folder);
	node->heartbeat_ms =
		MAX(options->heartbeat_ms,
		    options->silence_ms / MAX_HEARTBEATS_PER_SILENCE);
	node->election_timeout_ms = options->election_timeout_ms;
	node->silence_ms = options->silence_ms;
	node->random =
		options->random ? g_rand_copy(options->random) : g_rand_new();
	node->owns_network = !options->network;
	node->network = options->network;
	if (!node->network)
		node->network = cb_tcp_network_new(cb_kernel_context(kernel),
						   LINK_QUEUE_MAX_BYTES);
	node->owns_storage = !options->storage;
	node->storage = options->storage;
	if (!node->storage)
		node->storage = cb_file_storage_new(options->data_folder);
	node->state = cb_state_new();
	node->roster = cb_roster_new();
	node->inbounds = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, cb_inbound_delete);
	node->turned_away =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, cb_node_request_delete);
	node->pending_replies =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free,
				      NULL);
	node->next_confirm_waiters =
		g_array_new(FALSE, FALSE, sizeof(cb_confirm_waiter_t));
	node->join_addresses = g_strdupv((char **)options->join_addresses);
	timers_create_(node);
	cb_node_fleet_init(node, options->server_silence_ms);
	cb_node_services_init(node, options->codec);
	cb_node_usage_init(node, options->retry_window_ms);
	counters_create_(node);
	peers_create_(node);
	replica_create_(node, options);
	return node;
}

/* Returns whether this instance is the leader. */
gboolean cb_node_leads(const cb_node_t *node)
{
	return cb_node_is_leader(node);
}

/* Returns this instance's replica of the log. */
const cb_replica_t *cb_node_replica(const cb_node_t *node)
{
	return node->replica;
}

/* Returns the replicated state as this instance has applied it. */
const cb_state_t *cb_node_state(const cb_node_t *node)
{
	return node->state;
}

/* Returns the TCP port that links are accepted on; 0 before the start. */
uint16_t cb_node_port(const cb_node_t *node)
{
	return node->listener ? cb_tcp_listener_port(node->listener) : 0;
}
