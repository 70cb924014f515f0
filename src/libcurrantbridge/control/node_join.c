#include "private/members.h"
#include "private/node.h"

/* How often a blank instance asks to be added, one instance at a time. */
#define ASK_INTERVAL_MS 300
/* One that no leader has spoken to for so long may have been removed. */
#define REJOIN_AFTER_MS 3000
/*
 * A voter silent for longer than a restart or a short cut takes is removed
 * where the number of voters is even.
 */
#define PRUNE_AFTER_MS 10000

/* Asks another control instance to have this one added. */
static void ask_(cb_node_t *node)
{
	unsigned int count = g_strv_length(node->join_addresses);
	const char *to = node->join_addresses[node->join_next++ % count];
	const cb_link_message_t message = { .kind = CB_LINK_MESSAGE_JOIN,
					    .name = node->name,
					    .address = node->listen };

	if (g_str_equal(to, node->name))
		return;
	cb_peers_keep(node->peers, to, to);
	/* A link that is not ready yet is asked on the next round. */
	(void)cb_peers_send(node->peers, to, &message);
}

/* Whether this instance belongs to no group, as far as it can tell. */
static gboolean is_outside_(const cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);

	if (node->is_failed || cb_node_is_leader(node))
		return FALSE;
	return !members->len ||
	       cb_clock_now_ms(node->clock) - node->current_ms >=
		       REJOIN_AFTER_MS;
}

/*
 * Asks to be added as long as this instance knows no group, or none knows it
 * any more.  Called at each heartbeat.
 */
void cb_node_join_tick(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (!node->join_addresses || !*node->join_addresses ||
	    !is_outside_(node) ||
	    now_ms - node->join_asked_ms < ASK_INTERVAL_MS)
		return;
	node->join_asked_ms = now_ms;
	ask_(node);
}

static void join_done_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		       void *user_data)
{
	(void)answer;
	(void)user_data;
	/* A refused instance asks again by itself. */
	(void)outcome;
}

/* Has a blank instance added, here or through the leader. */
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
				   join_done_, NULL);
	} else if (leader && g_str_equal(cb_link_remote(inbound->link)->name,
					 message->name)) {
		/* Only the blank instance's own word is passed on: no loops. */
		cb_peers_send(node->peers, leader, message);
	}
}

static GBytes *controls_encode_(const cb_node_t *node)
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

/* Tells an entry instance the control instances, with its session. */
void cb_node_controls_greet(cb_inbound_t *inbound)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONTROLS,
				      .body = controls_encode_(inbound->node) };

	cb_link_send(inbound->link, &message);
	g_bytes_unref(message.body);
}

static void pruned_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		    void *user_data)
{
	(void)answer;
	(void)user_data;
	/* What failed is tried again with the next heartbeat. */
	(void)outcome;
}

/*
 * On the leader, removes a voter that was not heard for long, if the number
 * of voters is even: a majority of what is left then bears the loss of as
 * many.  That is the case once a machine that is gone for good was replaced.
 * The removal is a committed change, so that a minority can make none.
 */
static void prune_(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	const cb_replica_member_t *longest = NULL;
	int64_t longest_ms = PRUNE_AFTER_MS;
	unsigned int i;

	if (!cb_node_is_leader(node) || cb_members_voter_count(members) % 2)
		return;
	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];
		int64_t silent_ms =
			cb_replica_silence_ms(node->replica, member->name);

		if (!member->is_voter || silent_ms < longest_ms)
			continue;
		longest_ms = silent_ms;
		longest = member;
	}
	if (!longest)
		return;
	cb_log_event(node->log, CB_EVENT_MEMBER_PRUNED,
		     CB_STR("member", longest->name),
		     CB_INT("silent_ms", longest_ms),
		     CB_INT("voters", cb_members_voter_count(members)));
	cb_node_remove_member(node, longest->name, pruned_, NULL);
}

/* Keeps the group and the entries' knowledge of it in order, each heartbeat. */
void cb_node_controls_tick(cb_node_t *node)
{
	uint64_t digest = cb_members_digest(cb_replica_members(node->replica));
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONTROLS };

	if (node->join_addresses)
		prune_(node);
	if (digest == node->told_members)
		return;
	node->told_members = digest;
	message.body = controls_encode_(node);
	cb_node_sessions_tell(node, &message);
	g_bytes_unref(message.body);
}

void cb_node_configure_join(cb_node_t *node, const char *const *addresses)
{
	g_strfreev(node->join_addresses);
	node->join_addresses = g_strdupv((char **)addresses);
}
