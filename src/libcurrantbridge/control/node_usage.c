#include "private/node.h"

/*
 * Interval at which sums of usage are sent; entry instances report their usage
 * as often.
 */
#define SHARE_INTERVAL_MS 200
/* Sums that tell of a server that may be lost are sent after this delay. */
#define SUSPICION_SHARE_DELAY_MS 5
/* Shortest interval of such sums. */
#define SUSPICION_SHARE_INTERVAL_MS 50
/* The last usage report of another control instance counts for this long. */
#define PEER_USAGE_MAX_AGE_MS 1000

/*
 * Silence timeouts after which the state tells that an entry instance has ended:
 * those that it may be silent for, and one until that is recorded.
 */
#define INSTANCE_ENDED_SILENCES (CB_NODE_INSTANCE_SILENCE_FACTOR + 1)

/* Requests in flight at the entry instances of one other control instance. */
typedef struct peer_usage {
	cb_usage_t *usage;
	int64_t received_ms; /* time of receipt on this process's clock */
} peer_usage_t;

static void peer_usage_delete_(void *data)
{
	peer_usage_t *peer = data;

	cb_usage_delete(peer->usage);
	g_free(peer);
}

/*
 * Returns the sum of usage over the sessions of this instance, and of what
 * sessions that ended a short while ago have sent.
 */
static cb_usage_t *own_usage_sum_(cb_node_t *node)
{
	cb_usage_t *sum = cb_usage_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_session_t *session = ((cb_inbound_t *)value)->session;

		if (session && session->usage)
			cb_usage_merge(sum, session->usage);
	}
	cb_departed_add_sends(node->departed, cb_state_view(node->state), sum);
	return sum;
}

/* Adds other control instances' usage to `sum`; drops expired reports. */
static void peer_usages_add_(cb_node_t *node, cb_usage_t *sum)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->peer_usages);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_usage_t *peer = value;

		if (now_ms - peer->received_ms > PEER_USAGE_MAX_AGE_MS)
			g_hash_table_iter_remove(&iter);
		else
			cb_usage_merge(sum, peer->usage);
	}
}

static GBytes *usage_encode_(const void *usage, uint64_t protocol)
{
	return cb_usage_encode(usage, protocol);
}

static void usage_send_(cb_node_t *node, const cb_usage_t *usage,
			void (*send)(cb_node_t *, cb_broadcast_t *))
{
	cb_broadcast_t broadcast = { .encode_body = usage_encode_,
				     .content = usage,
				     .kind = CB_LINK_MESSAGE_USAGE };

	send(node, &broadcast);
	cb_broadcast_clear(&broadcast);
}

static void usage_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	cb_usage_t *sum = own_usage_sum_(node);

	cb_timer_start(node->usage_timer, SHARE_INTERVAL_MS);
	node->usage_sent_ms = cb_clock_now_ms(node->clock);
	usage_send_(node, sum, cb_broadcast_to_peers);
	peer_usages_add_(node, sum);
	usage_send_(node, sum, cb_broadcast_to_sessions);
	cb_usage_delete(node->total_usage);
	node->total_usage = sum;
}

/* Creates the sums of usage and the timer that sends them. */
void cb_node_usage_init(cb_node_t *node, int64_t retry_window_ms)
{
	node->departed =
		cb_departed_new(node->clock, retry_window_ms,
				INSTANCE_ENDED_SILENCES * node->silence_ms);
	node->peer_usages = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, peer_usage_delete_);
	node->total_usage = cb_usage_new();
	node->usage_timer = cb_timer_new(node->clock, usage_timer_fired_, node);
}

/*
 * Returns whether several entry instances saw requests fail at a server within
 * the last second.  A single one may itself be cut off from the server.
 */
gboolean cb_node_is_server_suspected(const cb_node_t *node,
				     const char *server_id)
{
	return cb_usage_find_load(node->total_usage, server_id)
		       .suspecting_instances >= CB_USAGE_SUSPECTING_MIN;
}

/*
 * Returns whether `usage` tells of more instances that suspect some server, or of
 * another limit of one, than the previous report of its sender, which may be NULL.
 */
static gboolean has_urgent_news_(const cb_usage_t *usage,
				 const cb_usage_t *previous)
{
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, usage->by_server);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const cb_usage_load_t *load = value;
		cb_usage_load_t known = { 0 };

		if (previous)
			known = cb_usage_find_load(previous, id);
		if (load->suspecting_instances > known.suspecting_instances ||
		    load->limit_per_ks != known.limit_per_ks ||
		    load->limiting_instances > known.limiting_instances)
			return TRUE;
	}
	return FALSE;
}

/*
 * Sends the sums soon, since a report tells of a server that may be lost or takes
 * fewer requests: the other instances are to know.
 */
static void sum_share_soon_(cb_node_t *node)
{
	int64_t age_ms = cb_clock_now_ms(node->clock) - node->usage_sent_ms;

	cb_timer_start_sooner(node->usage_timer,
			      MAX(SUSPICION_SHARE_DELAY_MS,
				  SUSPICION_SHARE_INTERVAL_MS - age_ms));
}

/* Receives the sum of usage over another control instance's sessions. */
void cb_node_usage_receive_peer(cb_node_t *node, const char *control,
				const cb_link_message_t *message)
{
	cb_usage_t *usage =
		message->body ? cb_usage_decode(message->body) : NULL;
	const peer_usage_t *previous;
	peer_usage_t *peer;

	if (!usage) {
		cb_log_event(node->log, CB_EVENT_FLEET_MALFORMED);
		return;
	}
	peer = g_new0(peer_usage_t, 1);
	peer->usage = usage;
	peer->received_ms = cb_clock_now_ms(node->clock);
	previous = g_hash_table_lookup(node->peer_usages, control);
	if (has_urgent_news_(usage, previous ? previous->usage : NULL))
		sum_share_soon_(node);
	g_hash_table_replace(node->peer_usages, g_strdup(control), peer);
}

/* Receives an entry instance's usage: the requests that it has in flight. */
void cb_node_usage_receive_session(cb_inbound_t *inbound,
				   const cb_link_message_t *message)
{
	cb_usage_t *usage =
		message->body ? cb_usage_decode(message->body) : NULL;

	if (!usage) {
		cb_link_goodbye(inbound->link, CB_CLOSE_MALFORMED);
		return;
	}
	if (has_urgent_news_(usage, inbound->session->usage))
		sum_share_soon_(inbound->node);
	if (!inbound->session->usage)
		cb_departed_remove(inbound->node->departed,
				   inbound->session->hello.name,
				   inbound->session->hello.incarnation);
	cb_usage_delete(inbound->session->usage);
	inbound->session->usage = usage;
}
