#include "private/link.h"

#include <string.h>

/*
 * The first byte of a frame: whether the frame holds the last part of a
 * message or more parts follow in the next frames.
 */
#define PART_LAST 0
#define PART_MORE 1
#define PART_MAX_BYTES (256 * 1024)
/* Size of the length field in front of each frame. */
#define FRAME_LENGTH_BYTES 4

struct cb_link {
	grefcount reference_count;
	cb_clock_t *clock;
	/* Set to NULL once the link is closed. */
	cb_connection_t *connection;
	/* Set to NULL once the link is closed. */
	const cb_link_handler_t *handler;
	void *user_data;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	int64_t last_received_ms; /* clock time of the last received frame */
	int64_t last_sent_ms;
	/* Counts bytes in frames and their length fields; may be NULL. */
	cb_counter_t *sent_counter;
	/* Counts bytes in frames and their length fields; may be NULL. */
	cb_counter_t *received_counter;
	cb_hello_t local;
	cb_hello_t remote;
	gboolean is_open;     /* the connection is established */
	gboolean is_accepted; /* the peer opened the connection */
	gboolean is_hello_sent;
	gboolean is_ready; /* the peer's hello has been received */
	GByteArray *parts; /* received parts of an incomplete message */
	cb_timer_t *keepalive_timer;	/* next heartbeat or receive timeout */
	cb_timer_t *close_timer;	/* armed while a close is pending */
	cb_close_reason_t close_reason; /* reason of the pending close */
};

const char *const cb_close_reason_string[CB_CLOSE_REASON_COUNT] = {
	[CB_CLOSE_REMOTE] = "remote",
	[CB_CLOSE_REFUSED] = "refused",
	[CB_CLOSE_SILENT] = "silent",
	[CB_CLOSE_MALFORMED] = "malformed",
	[CB_CLOSE_OVERSIZE] = "oversize",
	[CB_CLOSE_VERSION] = "version",
	[CB_CLOSE_WRONG_PEER] = "wrong_peer",
	[CB_CLOSE_QUEUE_FULL] = "queue_full",
	[CB_CLOSE_NOT_CURRENT] = "not_current",
	[CB_CLOSE_STOPPING] = "stopping",
	[CB_CLOSE_REPLACED] = "replaced",
	[CB_CLOSE_CROWDED] = "crowded",
};

static void link_unref_(cb_link_t *link)
{
	if (!g_ref_count_dec(&link->reference_count))
		return;
	cb_hello_clear(&link->local);
	cb_hello_clear(&link->remote);
	g_byte_array_unref(link->parts);
	g_free(link);
}

/* Releases the connection and the timers. */
static void connection_release_(cb_link_t *link)
{
	if (link->connection)
		link->connection->vtable->destroy(link->connection);
	link->connection = NULL;
	g_clear_pointer(&link->keepalive_timer, cb_timer_delete);
	g_clear_pointer(&link->close_timer, cb_timer_delete);
}

/* Closes the link and calls the handler. */
static void link_close_(cb_link_t *link, cb_close_reason_t reason)
{
	const cb_link_handler_t *handler = link->handler;

	connection_release_(link);
	link->handler = NULL;
	if (handler)
		handler->closed(link->user_data, reason);
}

static void close_timer_fired_(void *user_data)
{
	cb_link_t *link = user_data;

	g_ref_count_inc(&link->reference_count);
	link_close_(link, link->close_reason);
	link_unref_(link);
}

/*
 * Closes the link from the main loop, so that the handler is not called while
 * its owner is sending.
 */
static void link_close_later_(cb_link_t *link, cb_close_reason_t reason)
{
	if (!link->close_timer || cb_timer_is_armed(link->close_timer))
		return;
	link->close_reason = reason;
	cb_timer_start(link->close_timer, 0);
}

static void frame_bytes_count_(cb_counter_t *counter, size_t frame_bytes)
{
	if (counter)
		cb_counter_add(counter,
			       (int64_t)(FRAME_LENGTH_BYTES + frame_bytes));
}

/* Sends an encoded message in as many frames as it needs. */
static void message_bytes_send_(cb_link_t *link, const uint8_t *data,
				size_t size)
{
	uint8_t *frame = g_malloc(1 + MIN(size, PART_MAX_BYTES));
	gboolean is_queued = TRUE;
	size_t start = 0;
	size_t part;

	do {
		part = MIN(size - start, PART_MAX_BYTES);
		frame[0] = start + part < size ? PART_MORE : PART_LAST;
		memcpy(frame + 1, data + start, part);
		is_queued = link->connection->vtable->send(link->connection,
							   frame, part + 1);
		frame_bytes_count_(link->sent_counter, part + 1);
		start += part;
	} while (is_queued && start < size);
	link->last_sent_ms = cb_clock_now_ms(link->clock);
	if (!is_queued)
		link_close_later_(link, CB_CLOSE_QUEUE_FULL);
	g_free(frame);
}

/*
 * Sends a message.  Drops it if the connection is not established.  If the
 * send queue is full or the message exceeds CB_LINK_MESSAGE_MAX_BYTES, the
 * link is closed from the main loop.
 */
void cb_link_send(cb_link_t *link, const cb_link_message_t *message)
{
	GBytes *bytes;

	if (!link->connection || !link->is_open)
		return;
	bytes = cb_link_message_encode(message);
	cb_link_send_encoded(link, bytes);
	g_bytes_unref(bytes);
}

/*
 * Like cb_link_send(), for a message that goes to several links and is encoded
 * once (cb_link_message_encode()).
 */
void cb_link_send_encoded(cb_link_t *link, GBytes *message)
{
	const uint8_t *data;
	gsize size;

	if (!link->connection || !link->is_open)
		return;
	data = g_bytes_get_data(message, &size);
	if (size <= CB_LINK_MESSAGE_MAX_BYTES)
		message_bytes_send_(link, data, size);
	else
		link_close_later_(link, CB_CLOSE_OVERSIZE);
}

/* Sends the peer the reason, then closes the link from the main loop. */
void cb_link_goodbye(cb_link_t *link, cb_close_reason_t reason)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_GOODBYE,
				      .code = reason };

	cb_link_send(link, &message);
	link_close_later_(link, reason);
}

/* Arms the timer for the next heartbeat or the receive timeout. */
static void keepalive_timer_start_(cb_link_t *link)
{
	int64_t now_ms = cb_clock_now_ms(link->clock);
	int64_t timeout_in_ms =
		link->last_received_ms + link->silence_ms - now_ms;
	int64_t heartbeat_in_ms =
		link->last_sent_ms + link->heartbeat_ms - now_ms;

	if (!link->is_hello_sent)
		heartbeat_in_ms = timeout_in_ms;
	cb_timer_start(link->keepalive_timer,
		       MAX(MIN(timeout_in_ms, heartbeat_in_ms), 1));
}

static void hello_send_(cb_link_t *link)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_HELLO };

	message.body = cb_hello_encode(&link->local);
	link->is_hello_sent = TRUE;
	cb_link_send(link, &message);
	g_bytes_unref(message.body);
	keepalive_timer_start_(link);
}

static void connection_opened_(void *user_data)
{
	cb_link_t *link = user_data;

	link->is_open = TRUE;
	if (link->is_accepted)
		keepalive_timer_start_(link);
	else
		hello_send_(link);
}

/* Handles the peer's first message, which must be a hello. */
static void hello_handle_(cb_link_t *link, const cb_link_message_t *message)
{
	if (link->is_ready || message->kind != CB_LINK_MESSAGE_HELLO ||
	    !cb_hello_decode(message->body, &link->remote)) {
		link_close_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (link->is_accepted) {
		link->local.protocol =
			CLAMP(link->remote.protocol, CB_PROTOCOL_VERSION_MIN,
			      CB_PROTOCOL_VERSION);
		hello_send_(link);
	}
	if (link->remote.protocol != link->local.protocol) {
		cb_link_goodbye(link, CB_CLOSE_VERSION);
		return;
	}
	link->is_ready = TRUE;
	link->handler->ready(link->user_data, &link->remote);
}

static void goodbye_handle_(cb_link_t *link, const cb_link_message_t *message)
{
	cb_close_reason_t reason = CB_CLOSE_REMOTE;

	if (message->code < CB_CLOSE_REASON_COUNT)
		reason = (cb_close_reason_t)message->code;
	link_close_(link, reason);
}

static void message_handle_(cb_link_t *link, const uint8_t *data, size_t size)
{
	cb_link_message_t *message = cb_link_message_decode(data, size);

	if (!message) {
		link_close_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (message->kind == CB_LINK_MESSAGE_GOODBYE)
		goodbye_handle_(link, message);
	else if (!link->is_ready || message->kind == CB_LINK_MESSAGE_HELLO)
		hello_handle_(link, message);
	else if (message->kind != CB_LINK_MESSAGE_HEARTBEAT)
		link->handler->received(link->user_data, message);
	cb_link_message_delete(message);
}

/* Collects the parts of a message and handles it when it is complete. */
static void frame_handle_(cb_link_t *link, const uint8_t *data, size_t size)
{
	GByteArray *parts = link->parts;

	if (data[0] == PART_LAST && !parts->len) {
		message_handle_(link, data + 1, size - 1);
		return;
	}
	if (data[0] > PART_MORE) {
		link_close_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (parts->len + size > CB_LINK_MESSAGE_MAX_BYTES) {
		link_close_(link, CB_CLOSE_OVERSIZE);
		return;
	}
	g_byte_array_append(parts, data + 1, (guint)size - 1);
	if (data[0] == PART_MORE)
		return;
	link->parts = g_byte_array_new();
	message_handle_(link, parts->data, parts->len);
	g_byte_array_unref(parts);
}

static void connection_received_(void *user_data, const uint8_t *data,
				 size_t size)
{
	cb_link_t *link = user_data;

	if (cb_timer_is_armed(link->close_timer))
		return;
	g_ref_count_inc(&link->reference_count);
	link->last_received_ms = cb_clock_now_ms(link->clock);
	frame_bytes_count_(link->received_counter, size);
	frame_handle_(link, data, size);
	link_unref_(link);
}

static void connection_closed_(void *user_data, cb_close_reason_t reason)
{
	cb_link_t *link = user_data;

	g_ref_count_inc(&link->reference_count);
	if (cb_timer_is_armed(link->close_timer))
		reason = link->close_reason;
	link_close_(link, reason);
	link_unref_(link);
}

static const cb_connection_handler_t connection_handler = {
	.opened = connection_opened_,
	.received = connection_received_,
	.closed = connection_closed_,
};

static void keepalive_timer_fired_(void *user_data)
{
	cb_link_message_t heartbeat = { .kind = CB_LINK_MESSAGE_HEARTBEAT };
	cb_link_t *link = user_data;
	int64_t now_ms = cb_clock_now_ms(link->clock);

	if (now_ms - link->last_received_ms >= link->silence_ms) {
		g_ref_count_inc(&link->reference_count);
		link_close_(link, CB_CLOSE_SILENT);
		link_unref_(link);
		return;
	}
	if (link->is_hello_sent &&
	    now_ms - link->last_sent_ms >= link->heartbeat_ms)
		cb_link_send(link, &heartbeat);
	keepalive_timer_start_(link);
}

/* Sets the byte counters of links with these options to those in `counters`. */
void cb_link_options_set_counters(cb_link_options_t *options,
				  cb_counters_t *counters)
{
	options->sent_counter =
		cb_counters_counter(counters, "cb_link_bytes_total",
				    "direction", "sent");
	options->received_counter =
		cb_counters_counter(counters, "cb_link_bytes_total",
				    "direction", "received");
}

/*
 * Returns a new link over `connection`, which it takes ownership of.  A
 * connection that is not established within `silence_ms` is closed with
 * CB_CLOSE_SILENT.
 */
cb_link_t *cb_link_new(cb_clock_t *clock, cb_connection_t *connection,
		       const cb_link_options_t *options,
		       const cb_link_handler_t *handler, void *user_data)
{
	cb_link_t *link = g_new0(cb_link_t, 1);

	g_ref_count_init(&link->reference_count);
	link->clock = clock;
	link->connection = connection;
	link->handler = handler;
	link->user_data = user_data;
	link->heartbeat_ms = options->heartbeat_ms;
	link->silence_ms = options->silence_ms;
	link->sent_counter = options->sent_counter;
	link->received_counter = options->received_counter;
	link->last_received_ms = cb_clock_now_ms(clock);
	link->last_sent_ms = link->last_received_ms;
	cb_hello_copy(&link->local, options->hello);
	link->is_accepted = options->is_accepted;
	link->local.protocol =
		options->protocol ? options->protocol : CB_PROTOCOL_VERSION;
	link->parts = g_byte_array_new();
	link->keepalive_timer =
		cb_timer_new(clock, keepalive_timer_fired_, link);
	link->close_timer = cb_timer_new(clock, close_timer_fired_, link);
	connection->vtable->set_handler(connection, &connection_handler, link);
	keepalive_timer_start_(link);
	return link;
}

/* Closes and deletes a link; its handler is not called again. */
void cb_link_delete(cb_link_t *link)
{
	if (!link)
		return;
	connection_release_(link);
	link->handler = NULL;
	link_unref_(link);
}

/* Returns whether the peer's hello has been received and the link is open. */
gboolean cb_link_is_ready(const cb_link_t *link)
{
	return link->is_ready && link->connection;
}

/* Returns the peer's hello, which is zeroed until it has been received. */
const cb_hello_t *cb_link_remote_hello(const cb_link_t *link)
{
	return &link->remote;
}

/* Returns when a frame was last received, in ms of the link's clock. */
int64_t cb_link_last_received_ms(const cb_link_t *link)
{
	return link->last_received_ms;
}

/* Returns the protocol version of a ready link. */
uint64_t cb_link_protocol(const cb_link_t *link)
{
	return link->local.protocol;
}

/*
 * Returns the lower protocol version that a peer asked for, to be offered on the
 * next connection to it, or 0 if it asked for none that this build speaks.
 */
uint64_t cb_link_lower_protocol(const cb_link_t *link)
{
	uint64_t wanted = link->remote.protocol;

	return wanted >= CB_PROTOCOL_VERSION_MIN &&
			       wanted < link->local.protocol ?
		       wanted :
		       0;
}
