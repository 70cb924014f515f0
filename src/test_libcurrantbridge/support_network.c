#include "support_network.h"

#include <string.h>

#define LATENCY_MS 1
#define EVERY_PROCESS "*"

typedef struct fake_connection {
	cb_connection_t connection;
	grefcount references;
	support_hub_t *hub;
	char *process; /* name of the local process */
	/* The peer's end of the connection; NULL until accepted. */
	struct fake_connection *peer;
	const cb_connection_handler_t *handler;
	void *user_data;
	gboolean is_closed;
} fake_connection_t;

typedef struct fake_network {
	cb_network_t network;
	support_hub_t *hub;
	char *process; /* name of the process that uses this network */
} fake_network_t;

struct cb_listener {
	fake_network_t *network;
	char *address;
	cb_accept_fn_t accept;
	void *user_data;
};

typedef enum fake_event_kind {
	FAKE_CONNECT,
	FAKE_OPENED,
	FAKE_FRAME,
	FAKE_CLOSED,
} fake_event_kind_t;

typedef struct fake_event {
	fake_event_kind_t kind;
	int64_t due_ms; /* time of delivery */
	fake_connection_t *target;
	char *address;		  /* only in FAKE_CONNECT events */
	GBytes *frame;		  /* only in FAKE_FRAME events */
	cb_close_reason_t reason; /* only in FAKE_CLOSED events */
} fake_event_t;

struct support_hub {
	cb_clock_t *clock;
	cb_timer_t *timer;     /* fires when the first event is due */
	GQueue events;	       /* fake_event_t *, by due_ms */
	GHashTable *networks;  /* process to fake_network_t */
	GHashTable *listeners; /* address to cb_listener_t */
	/* Address to the name of the process that last listened on it. */
	GHashTable *process_by_address;
	GHashTable *blocked_pairs; /* set of "FROM>TO" */
	uint64_t sent_bytes;
	GHashTable *connects; /* address to the number of attempts to connect */
};

static fake_connection_t *fake_connection_ref_(fake_connection_t *fake)
{
	g_ref_count_inc(&fake->references);
	return fake;
}

static void fake_connection_unref_(fake_connection_t *fake)
{
	if (!g_ref_count_dec(&fake->references))
		return;
	if (fake->peer)
		fake_connection_unref_(fake->peer);
	g_free(fake->process);
	g_free(fake);
}

static gboolean pair_is_blocked_(const support_hub_t *hub, const char *from,
				 const char *to)
{
	char *pair = g_strdup_printf("%s>%s", from, to);
	gboolean is_blocked = g_hash_table_contains(hub->blocked_pairs, pair);

	g_free(pair);
	return is_blocked;
}

static gboolean direction_is_blocked_(const support_hub_t *hub,
				      const char *from, const char *to)
{
	return pair_is_blocked_(hub, from, to) ||
	       pair_is_blocked_(hub, from, EVERY_PROCESS) ||
	       pair_is_blocked_(hub, EVERY_PROCESS, to);
}

/* Schedules an event; takes ownership of `frame`. */
static void event_schedule_(support_hub_t *hub, fake_event_kind_t kind,
			    fake_connection_t *target, GBytes *frame,
			    cb_close_reason_t reason, const char *address)
{
	fake_event_t *event = g_new0(fake_event_t, 1);

	event->kind = kind;
	event->due_ms = cb_clock_now_ms(hub->clock) + LATENCY_MS;
	event->target = fake_connection_ref_(target);
	event->frame = frame;
	event->reason = reason;
	event->address = g_strdup(address);
	g_queue_push_tail(&hub->events, event);
	if (!cb_timer_is_armed(hub->timer))
		cb_timer_start(hub->timer, LATENCY_MS);
}

static void event_delete_(void *data)
{
	fake_event_t *event = data;

	fake_connection_unref_(event->target);
	g_clear_pointer(&event->frame, g_bytes_unref);
	g_free(event->address);
	g_free(event);
}

/* Schedules an event at the peer unless that direction is blocked. */
static void event_send_(fake_connection_t *from, fake_event_kind_t kind,
			GBytes *frame, cb_close_reason_t reason)
{
	if (from->peer && !direction_is_blocked_(from->hub, from->process,
						 from->peer->process))
		event_schedule_(from->hub, kind, from->peer, frame, reason,
				NULL);
	else
		g_clear_pointer(&frame, g_bytes_unref);
}

static void fake_connection_set_handler_(cb_connection_t *connection,
					 const cb_connection_handler_t *handler,
					 void *user_data)
{
	fake_connection_t *fake = (fake_connection_t *)connection;

	fake->handler = handler;
	fake->user_data = user_data;
}

static gboolean fake_connection_send_(cb_connection_t *connection,
				      const uint8_t *data, size_t size)
{
	fake_connection_t *fake = (fake_connection_t *)connection;

	fake->hub->sent_bytes += size;
	if (!fake->is_closed)
		event_send_(fake, FAKE_FRAME, g_bytes_new(data, size),
			    CB_CLOSE_REMOTE);
	return TRUE;
}

static void fake_connection_destroy_(cb_connection_t *connection)
{
	fake_connection_t *fake = (fake_connection_t *)connection;

	fake->handler = NULL;
	if (!fake->is_closed)
		event_send_(fake, FAKE_CLOSED, NULL, CB_CLOSE_REMOTE);
	fake->is_closed = TRUE;
	g_clear_pointer(&fake->peer, fake_connection_unref_);
	fake_connection_unref_(fake);
}

static const cb_connection_vtable_t fake_connection_vtable = {
	.set_handler = fake_connection_set_handler_,
	.send = fake_connection_send_,
	.destroy = fake_connection_destroy_,
};

static fake_connection_t *fake_connection_new_(support_hub_t *hub,
					       const char *process)
{
	fake_connection_t *fake = g_new0(fake_connection_t, 1);

	fake->connection.vtable = &fake_connection_vtable;
	g_ref_count_init(&fake->references);
	fake->hub = hub;
	fake->process = g_strdup(process);
	return fake;
}

/*
 * Connects to the listener at an address.  Nothing happens if either direction
 * is blocked; the connection is refused if no process listens.
 */
static void connect_deliver_(support_hub_t *hub, fake_connection_t *from,
			     const char *address)
{
	cb_listener_t *listener = g_hash_table_lookup(hub->listeners, address);
	const char *owner =
		g_hash_table_lookup(hub->process_by_address, address);
	fake_connection_t *accepted;

	if (owner && (direction_is_blocked_(hub, from->process, owner) ||
		      direction_is_blocked_(hub, owner, from->process)))
		return;
	if (!listener) {
		event_schedule_(hub, FAKE_CLOSED, from, NULL, CB_CLOSE_REFUSED,
				NULL);
		return;
	}
	accepted = fake_connection_new_(hub, listener->network->process);
	accepted->peer = fake_connection_ref_(from);
	from->peer = fake_connection_ref_(accepted);
	event_schedule_(hub, FAKE_OPENED, from, NULL, CB_CLOSE_REMOTE, NULL);
	event_schedule_(hub, FAKE_OPENED, accepted, NULL, CB_CLOSE_REMOTE,
			NULL);
	listener->accept(&accepted->connection, listener->user_data);
}

static void closed_deliver_(fake_connection_t *target, cb_close_reason_t reason)
{
	const cb_connection_handler_t *handler = target->handler;

	target->is_closed = TRUE;
	target->handler = NULL;
	if (handler)
		handler->closed(target->user_data, reason);
}

static void event_deliver_(support_hub_t *hub, const fake_event_t *event)
{
	fake_connection_t *target = event->target;
	gsize size;
	const uint8_t *data;

	if (!target->handler)
		return;
	switch (event->kind) {
	case FAKE_CONNECT:
		connect_deliver_(hub, target, event->address);
		return;
	case FAKE_OPENED:
		target->handler->opened(target->user_data);
		return;
	case FAKE_FRAME:
		data = g_bytes_get_data(event->frame, &size);
		target->handler->received(target->user_data, data, size);
		return;
	case FAKE_CLOSED:
		closed_deliver_(target, event->reason);
		return;
	}
}

static void delivery_timer_fired_(void *user_data)
{
	support_hub_t *hub = user_data;
	int64_t now_ms = cb_clock_now_ms(hub->clock);
	fake_event_t *event = g_queue_peek_head(&hub->events);

	while (event && event->due_ms <= now_ms) {
		g_queue_pop_head(&hub->events);
		event_deliver_(hub, event);
		event_delete_(event);
		event = g_queue_peek_head(&hub->events);
	}
	if (event)
		cb_timer_start(hub->timer, event->due_ms - now_ms);
}

static cb_connection_t *fake_network_connect_(cb_network_t *network,
					      const char *address)
{
	fake_network_t *self = (fake_network_t *)network;
	fake_connection_t *fake =
		fake_connection_new_(self->hub, self->process);

	g_hash_table_replace(
		self->hub->connects, g_strdup(address),
		GUINT_TO_POINTER(support_hub_connects(self->hub, address) + 1));
	event_schedule_(self->hub, FAKE_CONNECT, fake, NULL, CB_CLOSE_REMOTE,
			address);
	return &fake->connection;
}

static cb_listener_t *fake_network_listen_(cb_network_t *network,
					   const char *address,
					   cb_accept_fn_t accept,
					   void *user_data, GError **error)
{
	fake_network_t *self = (fake_network_t *)network;
	cb_listener_t *listener = g_new0(cb_listener_t, 1);

	(void)error;
	listener->network = self;
	listener->address = g_strdup(address);
	listener->accept = accept;
	listener->user_data = user_data;
	g_hash_table_insert(self->hub->listeners, listener->address, listener);
	g_hash_table_insert(self->hub->process_by_address, g_strdup(address),
			    g_strdup(self->process));
	return listener;
}

static void fake_network_unlisten_(cb_network_t *network,
				   cb_listener_t *listener)
{
	fake_network_t *self = (fake_network_t *)network;

	g_hash_table_remove(self->hub->listeners, listener->address);
	g_free(listener->address);
	g_free(listener);
}

/* Does nothing: the hub owns its networks and frees them. */
static void fake_network_destroy_(cb_network_t *network)
{
	(void)network;
}

static const cb_network_vtable_t fake_network_vtable = {
	.connect = fake_network_connect_,
	.listen = fake_network_listen_,
	.unlisten = fake_network_unlisten_,
	.destroy = fake_network_destroy_,
};

static void fake_network_free_(void *data)
{
	fake_network_t *network = data;

	g_free(network->process);
	g_free(network);
}

/* Creates a network that delivers each event after 1 ms of clock time. */
support_hub_t *support_hub_new(cb_clock_t *clock)
{
	support_hub_t *hub = g_new0(support_hub_t, 1);

	hub->clock = clock;
	hub->timer = cb_timer_new(clock, delivery_timer_fired_, hub);
	g_queue_init(&hub->events);
	hub->networks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      fake_network_free_);
	hub->listeners = g_hash_table_new(g_str_hash, g_str_equal);
	hub->process_by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	hub->blocked_pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	hub->connects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return hub;
}

/* Deletes the network; the processes on it must have ended before. */
void support_hub_delete(support_hub_t *hub)
{
	cb_timer_delete(hub->timer);
	g_queue_clear_full(&hub->events, event_delete_);
	g_hash_table_unref(hub->networks);
	g_hash_table_unref(hub->listeners);
	g_hash_table_unref(hub->process_by_address);
	g_hash_table_unref(hub->blocked_pairs);
	g_hash_table_unref(hub->connects);
	g_free(hub);
}

/* Returns the network of a process, which is created by the first call. */
cb_network_t *support_hub_network(support_hub_t *hub, const char *process)
{
	fake_network_t *network = g_hash_table_lookup(hub->networks, process);

	if (network)
		return &network->network;
	network = g_new0(fake_network_t, 1);
	network->network.vtable = &fake_network_vtable;
	network->hub = hub;
	network->process = g_strdup(process);
	g_hash_table_insert(hub->networks, network->process, network);
	return &network->network;
}

/* Blocks or unblocks the direction from one process to another. */
void support_hub_block(support_hub_t *hub, const char *from, const char *to,
		       gboolean is_blocked)
{
	char *pair = g_strdup_printf("%s>%s", from ? from : EVERY_PROCESS,
				     to ? to : EVERY_PROCESS);

	if (is_blocked) {
		g_hash_table_add(hub->blocked_pairs, pair);
		return;
	}
	g_hash_table_remove(hub->blocked_pairs, pair);
	g_free(pair);
}

unsigned int support_hub_connects(const support_hub_t *hub, const char *address)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(hub->connects, address));
}

/* Returns the number of bytes in all frames sent so far, also lost ones. */
uint64_t support_hub_bytes(const support_hub_t *hub)
{
	return hub->sent_bytes;
}
