#include "private/demand.h"
#include "private/node.h"

/*
 * Demand reports of entry instances.  The leader answers each report with
 * leases; any other control instance forwards the report and the answer.  No
 * state is kept for a report, since the next one replaces a lost one.
 */

/* Returns the leader's lease book, a new one for each leadership. */
static cb_lease_book_t *lease_book_get_(cb_node_t *node)
{
	if (node->lease_book &&
	    node->lease_book_leader_since_ms == node->leader_since_ms)
		return node->lease_book;
	cb_lease_book_delete(node->lease_book);
	node->lease_book_leader_since_ms = node->leader_since_ms;
	node->lease_book =
		cb_lease_book_new(node->clock, node->leader_since_ms);
	return node->lease_book;
}

/*
 * Returns the encoded answer to a demand report; NULL if the report is
 * malformed.
 */
static GBytes *grants_encode_(cb_node_t *node, const char *instance,
			      GBytes *report)
{
	const cb_view_t *view = cb_state_view(node->state);
	GPtrArray *lines = cb_demand_lines_decode(report);
	GPtrArray *grants = cb_demand_lines_new();
	GBytes *answer = NULL;
	unsigned int i;

	if (!lines)
		goto out;
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);
		const cb_contract_t *contract =
			cb_view_contract(view, line->workspace);
		cb_demand_t grant = { 0 };

		if (!contract)
			continue;
		grant.requested =
			cb_lease_book_grant(lease_book_get_(node), contract,
					    instance, line->demand);
		cb_demand_line_add(grants, line->workspace, grant);
	}
	answer = cb_demand_lines_encode(grants);
	g_ptr_array_unref(lines);
out:
	g_ptr_array_unref(grants);
	return answer;
}

/* Answers a demand report on the link that it was received on. */
static void grant_send_(cb_inbound_t *inbound, const char *instance,
			const cb_link_message_t *report)
{
	cb_link_message_t grant = { .kind = CB_LINK_MESSAGE_GRANT,
				    .id = report->id,
				    .number = report->number };

	grant.body = grants_encode_(inbound->node, instance, report->body);
	if (!grant.body) {
		cb_link_goodbye(inbound->link, CB_CLOSE_MALFORMED);
		return;
	}
	cb_link_send(inbound->link, &grant);
	g_bytes_unref(grant.body);
}

/* Receives a demand report on an entry instance's session. */
void cb_node_demand_receive(cb_inbound_t *inbound,
			    const cb_link_message_t *report)
{
	cb_node_t *node = inbound->node;
	const char *instance = inbound->session->hello.name;
	const char *leader = cb_replica_leader(node->replica);
	cb_link_message_t forwarded = { .kind = CB_LINK_MESSAGE_DEMAND,
					.id = inbound->id,
					.number = report->number,
					.name = (char *)instance,
					.body = report->body };

	if (cb_node_is_leader(node))
		grant_send_(inbound, instance, report);
	else if (leader)
		cb_peers_send(node->peers, leader, &forwarded);
}

/* Receives a demand report that another control instance forwards. */
void cb_node_demand_serve(cb_inbound_t *inbound,
			  const cb_link_message_t *report)
{
	if (report->name && cb_node_is_leader(inbound->node))
		grant_send_(inbound, report->name, report);
}

/* Receives the leader's answer to a demand report that was forwarded to it. */
void cb_node_grant_receive(cb_node_t *node, const cb_link_message_t *grant)
{
	cb_inbound_t *inbound = cb_inbound_find(node, grant->id);

	if (inbound && inbound->session)
		cb_link_send(inbound->link, grant);
}
