#include "private/peers.h"

#define RETRY_FIRST_DELAY_MS 20
#define RETRY_MAX_DELAY_MS 500
/* Instances with a network delay below 1 ms connect within this time. */
#define CONNECT_EXPECTED_MS 50

typedef struct peer {
	cb_peers_t *peers;
	char *name;
	char *address;
	cb_link_t *link;
	cb_timer_t *retry_timer;
	cb_backoff_t backoff;
	int64_t connect_start_ms; /* start of the last attempt to connect */
	uint64_t protocol;	  /* offered next; 0: CB_PROTOCOL_VERSION */
} peer_t;

struct cb_peers {
	cb_peers_options_t options;
	cb_hello_t hello;
	const cb_peers_handler_t *handler;
	void *user_data;
	GHashTable *peers_by_name; /* peer_t by instance name */
	gboolean is_stopping;
};

static void peer_delete_(void *data)
{
	peer_t *peer = data;

	cb_link_delete(peer->link);
	cb_timer_delete(peer->retry_timer);
	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

static void peer_ready_(void *user_data, const cb_hello_t *remote)
{
	peer_t *peer = user_data;

	if (remote->role != CB_ROLE_CONTROL ||
	    g_strcmp0(remote->name, peer->name)) {
		cb_link_goodbye(peer->link, CB_CLOSE_WRONG_PEER);
		return;
	}
	cb_timer_stop(peer->retry_timer);
	cb_backoff_reset(&peer->backoff);
	cb_log_event(peer->peers->options.log, CB_EVENT_PEER_CONNECTED,
		     CB_STR("peer", peer->name));
	peer->peers->handler->ready(peer->peers->user_data, peer->name);
}

static void peer_received_(void *user_data, const cb_link_message_t *message)
{
	peer_t *peer = user_data;

	peer->peers->handler->received(peer->peers->user_data, peer->name,
				       message);
}

static void peer_closed_(void *user_data, cb_close_reason_t reason)
{
	peer_t *peer = user_data;
	cb_peers_t *peers = peer->peers;
	gboolean was_ready = cb_link_remote_hello(peer->link)->name != NULL;

	peer->protocol = cb_link_lower_protocol(peer->link);
	g_clear_pointer(&peer->link, cb_link_delete);
	if (peer->protocol)
		cb_log_event(peers->options.log, CB_EVENT_PROTOCOL_LOWERED,
			     CB_STR("peer", peer->name),
			     CB_INT("protocol", peer->protocol));
	else if (was_ready)
		cb_log_event(peers->options.log, CB_EVENT_PEER_LOST,
			     CB_STR("peer", peer->name),
			     CB_STR("reason", cb_close_reason_string[reason]));
	if (!peers->is_stopping)
		cb_timer_start(peer->retry_timer,
			       peer->protocol ?
				       0 :
				       cb_backoff_next_ms(&peer->backoff));
	peers->handler->closed(peers->user_data, peer->name);
}

static const cb_link_handler_t peer_link_handler = {
	.ready = peer_ready_,
	.received = peer_received_,
	.closed = peer_closed_,
};

/* Starts an attempt to connect; an attempt that still runs is dropped. */
static void peer_connect_(void *user_data)
{
	peer_t *peer = user_data;
	cb_peers_options_t *options = &peer->peers->options;
	cb_link_options_t link_options = options->link;
	cb_connection_t *connection =
		options->network->vtable->connect(options->network,
						  peer->address);

	g_clear_pointer(&peer->link, cb_link_delete);
	peer->connect_start_ms = cb_clock_now_ms(options->clock);
	link_options.protocol = peer->protocol;
	peer->link = cb_link_new(options->clock, connection, &link_options,
				 &peer_link_handler, peer);
}

/*
 * Creates an empty set of links; the caller keeps ownership of the network and
 * the random number generator.
 */
cb_peers_t *cb_peers_new(const cb_peers_options_t *options,
			 const cb_peers_handler_t *handler, void *user_data)
{
	cb_peers_t *peers = g_new0(cb_peers_t, 1);

	peers->options = *options;
	cb_hello_copy(&peers->hello, options->link.hello);
	peers->options.link.hello = &peers->hello;
	peers->handler = handler;
	peers->user_data = user_data;
	peers->peers_by_name = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, peer_delete_);
	return peers;
}

/* Closes every link and deletes the set of links; NULL is allowed. */
void cb_peers_delete(cb_peers_t *peers)
{
	if (!peers)
		return;
	g_hash_table_unref(peers->peers_by_name);
	cb_hello_clear(&peers->hello);
	g_free(peers);
}

/*
 * Opens a link to a control instance and reopens it whenever it closes.  A new
 * address for a known name replaces the link.
 */
void cb_peers_keep_connected(cb_peers_t *peers, const char *name,
			     const char *address)
{
	peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);

	if (peers->is_stopping)
		return;
	if (peer && g_str_equal(peer->address, address))
		return;
	peer = g_new0(peer_t, 1);
	peer->peers = peers;
	peer->name = g_strdup(name);
	peer->address = g_strdup(address);
	peer->retry_timer =
		cb_timer_new(peers->options.clock, peer_connect_, peer);
	cb_backoff_init(&peer->backoff, peers->options.random,
			RETRY_FIRST_DELAY_MS, RETRY_MAX_DELAY_MS);
	g_hash_table_replace(peers->peers_by_name, peer->name, peer);
	cb_timer_start(peer->retry_timer, 0);
}

/*
 * Stops reopening the links that aren't ready, except those to the instances
 * named in `kept`, a NULL-terminated array.
 */
void cb_peers_forget_lost(cb_peers_t *peers, const char *const *kept)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peers->peers_by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (!(peer->link && cb_link_is_ready(peer->link)) &&
		    !g_strv_contains(kept, peer->name))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Reconnects soon to a control instance that is known to be up because it has
 * opened a link to this one.  Without this, the link would wait for the retry
 * delay, or for an attempt that began before that instance was up and may hang.
 */
void cb_peers_reconnect_soon(cb_peers_t *peers, const char *name)
{
	peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);
	int64_t wait_ms = 0;

	if (!peer || peers->is_stopping ||
	    (peer->link && cb_link_is_ready(peer->link)))
		return;
	if (peer->link)
		wait_ms = peer->connect_start_ms + CONNECT_EXPECTED_MS -
			  cb_clock_now_ms(peers->options.clock);
	cb_backoff_reset(&peer->backoff);
	cb_timer_start(peer->retry_timer, MAX(wait_ms, 0));
}

/*
 * Sends a message to a control instance; returns FALSE if no link to it is
 * ready.
 */
gboolean cb_peers_send(cb_peers_t *peers, const char *name,
		       const cb_link_message_t *message)
{
	peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);

	if (!peer || !peer->link || !cb_link_is_ready(peer->link))
		return FALSE;
	cb_link_send(peer->link, message);
	return TRUE;
}

/* Like cb_peers_send(), for a message that is encoded once for several links. */
gboolean cb_peers_send_encoded(cb_peers_t *peers, const char *name,
			       GBytes *message)
{
	peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);

	if (!peer || !peer->link || !cb_link_is_ready(peer->link))
		return FALSE;
	cb_link_send_encoded(peer->link, message);
	return TRUE;
}

/* Returns whether there is a ready link to a control instance. */
gboolean cb_peers_is_ready(const cb_peers_t *peers, const char *name)
{
	const peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);

	return peer && peer->link && cb_link_is_ready(peer->link);
}

uint64_t cb_peers_protocol(const cb_peers_t *peers, const char *name)
{
	const peer_t *peer = g_hash_table_lookup(peers->peers_by_name, name);

	return peer && peer->link && cb_link_is_ready(peer->link) ?
		       cb_link_protocol(peer->link) :
		       0;
}

/* Closes every link with a reason; no link is opened afterwards. */
void cb_peers_goodbye(cb_peers_t *peers, cb_close_reason_t reason)
{
	GHashTableIter iter;
	void *value;

	peers->is_stopping = TRUE;
	g_hash_table_iter_init(&iter, peers->peers_by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		cb_timer_stop(peer->retry_timer);
		if (peer->link)
			cb_link_goodbye(peer->link, reason);
	}
}
