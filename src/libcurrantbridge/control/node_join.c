#include "private/members.h"
#include "private/node.h"

/* An instance sends a join request this often, to one instance each. */
#define JOIN_REQUEST_INTERVAL_MS 300
/*
 * An instance without contact to a leader for this long may have been removed.
 */
#define REJOIN_AFTER_MS 3000
/* Interval of log lines about join requests that had no effect. */
#define JOIN_LOG_INTERVAL_MS 3000

/* Logs at intervals that this instance's join requests had no effect. */
static void join_wait_log_(cb_node_t *node, const GPtrArray *linked)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (!node->join_since_ms)
		node->join_since_ms = node->join_logged_ms = now_ms;
	if (now_ms - node->join_logged_ms < JOIN_LOG_INTERVAL_MS)
		return;
	node->join_logged_ms = now_ms;
	cb_log_event(node->log, CB_EVENT_JOIN_UNANSWERED,
		     CB_INT("waited_ms", now_ms - node->join_since_ms),
		     CB_INT("linked", linked->len));
}

/*
 * Connects to all seeds and returns the names of the instances that a request
 * can be sent to: seeds, and former fellow members, since none of the seeds may
 * be left by the time a removed member returns.
 */
static GPtrArray *join_targets_find_(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	GPtrArray *targets = g_ptr_array_new();
	char **seed;
	unsigned int i;

	for (seed = node->join_addresses; *seed; seed++) {
		if (g_str_equal(*seed, node->name))
			continue;
		cb_peers_keep_connected(node->peers, *seed, *seed);
		if (cb_peers_is_ready(node->peers, *seed))
			g_ptr_array_add(targets, *seed);
	}
	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		if (!g_strv_contains((const char *const *)node->join_addresses,
				     member->name) &&
		    cb_peers_is_ready(node->peers, member->name))
			g_ptr_array_add(targets, member->name);
	}
	return targets;
}

/* Requests the addition of this instance from the next one with a link. */
static void join_request_send_(cb_node_t *node)
{
	GPtrArray *targets = join_targets_find_(node);
	const cb_link_message_t message = { .kind = CB_LINK_MESSAGE_JOIN,
					    .name = node->name,
					    .address = node->listen };

	join_wait_log_(node, targets);
	if (targets->len) {
		const char *to =
			g_ptr_array_index(targets, node->next_join_index++ %
							   targets->len);

		node->last_join_request_ms = cb_clock_now_ms(node->clock);
		(void)cb_peers_send(node->peers, to, &message);
	}
	g_ptr_array_unref(targets);
}

/* Returns whether this instance seems not to be a member of any group. */
static gboolean node_needs_join_(const cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);

	if (node->is_failed || cb_node_is_leader(node))
		return FALSE;
	return !members->len ||
	       cb_clock_now_ms(node->clock) - node->last_current_ms >=
		       REJOIN_AFTER_MS;
}

/*
 * Requests the addition of this instance while it knows no group or seems to
 * have been removed from its group.  Called at each heartbeat.
 */
void cb_node_join_tick(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (!node->join_addresses || !*node->join_addresses)
		return;
	if (!node_needs_join_(node)) {
		node->join_since_ms = 0;
		return;
	}
	if (now_ms - node->last_join_request_ms < JOIN_REQUEST_INTERVAL_MS)
		return;
	join_request_send_(node);
}

static void join_request_done_(cb_submit_outcome_t outcome,
			       const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	(void)user_data;
	/* An instance that was not added sends its request again. */
	(void)outcome;
}

/* Serves a join request: adds the instance, or forwards to the leader. */
void cb_node_join_serve(cb_inbound_t *inbound, const cb_link_message_t *message)
{
	cb_node_t *node = inbound->node;
	const char *leader = cb_replica_leader(node->replica);

	if (!message->name || !message->address)
		return;
	if (cb_node_is_leader(node)) {
		cb_log_event(node->log, CB_EVENT_JOIN_ASKED,
			     CB_STR("member", message->name));
		cb_node_add_member(node, message->name, message->address,
				   join_request_done_, NULL);
	} else if (leader &&
		   g_str_equal(cb_link_remote_hello(inbound->link)->name,
			       message->name)) {
		/*
		 * Forward only the requester's own request, so that none can
		 * loop.
		 */
		cb_peers_send(node->peers, leader, message);
	}
}

static GBytes *control_addresses_encode_(const cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	GPtrArray *addresses = g_ptr_array_new();
	GBytes *bytes;
	unsigned int i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		if (member->address)
			g_ptr_array_add(addresses, member->address);
	}
	g_ptr_array_add(addresses, NULL);
	bytes = cb_addresses_encode((const char *const *)addresses->pdata);
	g_ptr_array_unref(addresses);
	return bytes;
}

/* Sends the addresses of all control instances to an entry instance. */
void cb_node_control_addresses_send(cb_inbound_t *inbound)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONTROL_ADDRESSES,
				      .body = control_addresses_encode_(
					      inbound->node) };

	cb_link_send(inbound->link, &message);
	g_bytes_unref(message.body);
}

/* Gives up the links to former members, and to seeds that have not joined. */
static void lost_links_forget_(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	GPtrArray *names = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < members->len; i++)
		g_ptr_array_add(
			names,
			((cb_replica_member_t *)members->pdata[i])->name);
	g_ptr_array_add(names, NULL);
	cb_peers_forget_lost(node->peers, (const char *const *)names->pdata);
	g_ptr_array_unref(names);
}

/* Updates the gauges of all voters and of those that don't answer the leader. */
static void voter_gauges_update_(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	int silent = 0;
	unsigned int i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		if (member->is_voter &&
		    cb_replica_silence_ms(node->replica, member->name) >=
			    node->election_timeout_ms)
			silent++;
	}
	cb_counter_set(node->voter_gauge, cb_members_voter_count(members));
	cb_counter_set(node->silent_voter_gauge, silent);
}

/*
 * Updates the metrics of the group.  Once its members have changed, gives up the
 * links to former ones and sends the new list to entry instances.  Called at
 * each heartbeat.
 */
void cb_node_membership_tick(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	uint64_t digest = cb_members_digest(members);
	cb_link_message_t message = {
		.kind = CB_LINK_MESSAGE_CONTROL_ADDRESSES
	};

	voter_gauges_update_(node);
	if (digest == node->sent_members_digest)
		return;
	node->sent_members_digest = digest;
	if (members->len) {
		uint32_t voters = cb_members_voter_count(members);

		cb_log_event(node->log, CB_EVENT_MEMBERS_CHANGED,
			     CB_INT("voters", voters),
			     CB_INT("learners", members->len - voters));
		lost_links_forget_(node);
	}
	message.body = control_addresses_encode_(node);
	cb_node_sessions_broadcast(node, &message);
	g_bytes_unref(message.body);
}

void cb_node_set_join_addresses(cb_node_t *node, const char *const *addresses)
{
	g_strfreev(node->join_addresses);
	node->join_addresses = g_strdupv((char **)addresses);
}
