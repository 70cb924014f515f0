#include "private/node.h"

/* How often a blank instance asks to be added, one instance at a time. */
#define ASK_INTERVAL_MS 300

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

/*
 * Asks to be added as long as this instance knows no group.  Called at each
 * heartbeat.
 */
void cb_node_join_tick(cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	int64_t now_ms = cb_clock_now_ms(node->clock);

	if (!node->join_addresses || !*node->join_addresses || members->len ||
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
