#include "private/link.h"

#include <string.h>

/* A frame's first byte tells whether its message goes on in the next. */
#define PART_LAST 0
#define PART_MORE 1
#define PART_BYTES (256 * 1024)
/* The length before each frame. */
#define LENGTH_BYTES 4

struct cb_link {
	grefcount references;
	cb_clock_t *clock;
	cb_connection_t *connection;
	const cb_link_handler_t *handler;
	void *user_data;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	int64_t heard_ms;
	int64_t sent_ms;
	cb_counter_t *sent_counter;
	cb_counter_t *received_counter;
	cb_hello_t local;
	cb_hello_t remote;
	gboolean is_open;
	gboolean is_ready;
	GByteArray *parts;
	cb_timer_t *timer;
	cb_timer_t *close_timer;
	cb_close_reason_t close_reason;
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
};

static void link_unref_(cb_link_t *link)
{
	if (!g_ref_count_dec(&link->references))
		return;
	cb_hello_clear(&link->local);
	cb_hello_clear(&link->remote);
	g_byte_array_unref(link->parts);
	g_free(link);
}

/* Lets go of the connection and the timers. */
static void link_shut_(cb_link_t *link)
{
	if (link->connection)
		link->connection->vtable->destroy(link->connection);
	link->connection = NULL;
	g_clear_pointer(&link->timer, cb_timer_delete);
	g_clear_pointer(&link->close_timer, cb_timer_delete);
}

/* Closes the link and tells its owner. */
static void link_fail_(cb_link_t *link, cb_close_reason_t reason)
{
	const cb_link_handler_t *handler = link->handler;

	link_shut_(link);
	link->handler = NULL;
	if (handler)
		handler->closed(link->user_data, reason);
}

static void close_timer_fired_(void *user_data)
{
	cb_link_t *link = user_data;

	g_ref_count_inc(&link->references);
	link_fail_(link, link->close_reason);
	link_unref_(link);
}

/* Closes the link from the loop, so that no sender is called back. */
static void link_fail_later_(cb_link_t *link, cb_close_reason_t reason)
{
	if (!link->close_timer || cb_timer_is_armed(link->close_timer))
		return;
	link->close_reason = reason;
	cb_timer_start(link->close_timer, 0);
}

static void count_(cb_counter_t *counter, size_t frame_bytes)
{
	if (counter)
		cb_counter_add(counter, (int64_t)(LENGTH_BYTES + frame_bytes));
}

/* Sends encoded bytes in as many frames as they need. */
static void bytes_send_(cb_link_t *link, const uint8_t *data, size_t size)
{
	uint8_t *frame = g_malloc(1 + MIN(size, PART_BYTES));
	gboolean is_sent = TRUE;
	size_t start = 0;
	size_t part;

	do {
		part = MIN(size - start, PART_BYTES);
		frame[0] = start + part < size ? PART_MORE : PART_LAST;
		memcpy(frame + 1, data + start, part);
		is_sent = link->connection->vtable->send(link->connection,
							 frame, part + 1);
		count_(link->sent_counter, part + 1);
		start += part;
	} while (is_sent && start < size);
	link->sent_ms = cb_clock_now_ms(link->clock);
	if (!is_sent)
		link_fail_later_(link, CB_CLOSE_QUEUE_FULL);
	g_free(frame);
}

/*
 * Sends a message.  A link that is not open drops it; one whose queue is
 * full closes.
 */
void cb_link_send(cb_link_t *link, const cb_link_message_t *message)
{
	GBytes *bytes;
	const uint8_t *data;
	gsize size;

	if (!link->connection || !link->is_open)
		return;
	bytes = cb_link_message_encode(message);
	data = g_bytes_get_data(bytes, &size);
	if (size <= CB_LINK_MESSAGE_MAX_BYTES)
		bytes_send_(link, data, size);
	else
		link_fail_later_(link, CB_CLOSE_OVERSIZE);
	g_bytes_unref(bytes);
}

/* Tells the other side why the link closes now, then closes it. */
void cb_link_goodbye(cb_link_t *link, cb_close_reason_t reason)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_GOODBYE,
				      .code = reason };

	cb_link_send(link, &message);
	link_fail_later_(link, reason);
}

static void hello_send_(cb_link_t *link)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_HELLO };

	message.body = cb_hello_encode(&link->local);
	cb_link_send(link, &message);
	g_bytes_unref(message.body);
}

/* Waits for whichever comes first: a heartbeat is due, or silence. */
static void timer_start_(cb_link_t *link)
{
	int64_t now_ms = cb_clock_now_ms(link->clock);
	int64_t silent_ms = link->heard_ms + link->silence_ms - now_ms;
	int64_t due_ms = link->sent_ms + link->heartbeat_ms - now_ms;

	if (!link->is_open)
		due_ms = silent_ms;
	cb_timer_start(link->timer, MAX(MIN(silent_ms, due_ms), 1));
}

static void connection_opened_(void *user_data)
{
	cb_link_t *link = user_data;

	link->is_open = TRUE;
	hello_send_(link);
	timer_start_(link);
}

/* Takes the other side's hello, which must come first. */
static void hello_receive_(cb_link_t *link, const cb_link_message_t *message)
{
	if (link->is_ready || message->kind != CB_LINK_MESSAGE_HELLO ||
	    !cb_hello_decode(message->body, &link->remote)) {
		link_fail_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (link->remote.protocol != link->local.protocol) {
		cb_link_goodbye(link, CB_CLOSE_VERSION);
		return;
	}
	link->is_ready = TRUE;
	link->handler->ready(link->user_data, &link->remote);
}

static void goodbye_receive_(cb_link_t *link, const cb_link_message_t *message)
{
	cb_close_reason_t reason = CB_CLOSE_REMOTE;

	if (message->code < CB_CLOSE_REASON_COUNT)
		reason = (cb_close_reason_t)message->code;
	link_fail_(link, reason);
}

static void message_receive_(cb_link_t *link, const uint8_t *data, size_t size)
{
	cb_link_message_t *message = cb_link_message_decode(data, size);

	if (!message) {
		link_fail_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (message->kind == CB_LINK_MESSAGE_GOODBYE)
		goodbye_receive_(link, message);
	else if (!link->is_ready || message->kind == CB_LINK_MESSAGE_HELLO)
		hello_receive_(link, message);
	else if (message->kind != CB_LINK_MESSAGE_HEARTBEAT)
		link->handler->received(link->user_data, message);
	cb_link_message_delete(message);
}

/* Gathers the parts of one message. */
static void frame_receive_(cb_link_t *link, const uint8_t *data, size_t size)
{
	GByteArray *parts = link->parts;

	if (data[0] == PART_LAST && !parts->len) {
		message_receive_(link, data + 1, size - 1);
		return;
	}
	if (data[0] > PART_MORE) {
		link_fail_(link, CB_CLOSE_MALFORMED);
		return;
	}
	if (parts->len + size > CB_LINK_MESSAGE_MAX_BYTES) {
		link_fail_(link, CB_CLOSE_OVERSIZE);
		return;
	}
	g_byte_array_append(parts, data + 1, (guint)size - 1);
	if (data[0] == PART_MORE)
		return;
	link->parts = g_byte_array_new();
	message_receive_(link, parts->data, parts->len);
	g_byte_array_unref(parts);
}

static void connection_received_(void *user_data, const uint8_t *data,
				 size_t size)
{
	cb_link_t *link = user_data;

	if (cb_timer_is_armed(link->close_timer))
		return;
	g_ref_count_inc(&link->references);
	link->heard_ms = cb_clock_now_ms(link->clock);
	count_(link->received_counter, size);
	frame_receive_(link, data, size);
	link_unref_(link);
}

static void connection_closed_(void *user_data, cb_close_reason_t reason)
{
	cb_link_t *link = user_data;

	g_ref_count_inc(&link->references);
	if (cb_timer_is_armed(link->close_timer))
		reason = link->close_reason;
	link_fail_(link, reason);
	link_unref_(link);
}

static const cb_connection_handler_t connection_handler = {
	.opened = connection_opened_,
	.received = connection_received_,
	.closed = connection_closed_,
};

static void timer_fired_(void *user_data)
{
	cb_link_message_t heartbeat = { .kind = CB_LINK_MESSAGE_HEARTBEAT };
	cb_link_t *link = user_data;
	int64_t now_ms = cb_clock_now_ms(link->clock);

	if (now_ms - link->heard_ms >= link->silence_ms) {
		g_ref_count_inc(&link->references);
		link_fail_(link, CB_CLOSE_SILENT);
		link_unref_(link);
		return;
	}
	if (link->is_open && now_ms - link->sent_ms >= link->heartbeat_ms)
		cb_link_send(link, &heartbeat);
	timer_start_(link);
}

/* Counts the bytes of links made with these options among `counters`. */
void cb_link_options_count(cb_link_options_t *options, cb_counters_t *counters)
{
	options->sent_counter =
		cb_counters_counter(counters, "cb_link_bytes_total",
				    "direction", "sent");
	options->received_counter =
		cb_counters_counter(counters, "cb_link_bytes_total",
				    "direction", "received");
}

/*
 * Makes a link over a connection, which it takes.  A connection that does
 * not open within `silence_ms` counts as silent too.
 */
cb_link_t *cb_link_new(cb_clock_t *clock, cb_connection_t *connection,
		       const cb_link_options_t *options,
		       const cb_link_handler_t *handler, void *user_data)
{
	cb_link_t *link = g_new0(cb_link_t, 1);

	g_ref_count_init(&link->references);
	link->clock = clock;
	link->connection = connection;
	link->handler = handler;
	link->user_data = user_data;
	link->heartbeat_ms = options->heartbeat_ms;
	link->silence_ms = options->silence_ms;
	link->sent_counter = options->sent_counter;
	link->received_counter = options->received_counter;
	link->heard_ms = cb_clock_now_ms(clock);
	link->sent_ms = link->heard_ms;
	cb_hello_copy(&link->local, options->hello);
	link->local.protocol = CB_PROTOCOL_VERSION;
	link->parts = g_byte_array_new();
	link->timer = cb_timer_new(clock, timer_fired_, link);
	link->close_timer = cb_timer_new(clock, close_timer_fired_, link);
	connection->vtable->set_handler(connection, &connection_handler, link);
	timer_start_(link);
	return link;
}

/* Closes and deletes a link; its owner is not called again. */
void cb_link_delete(cb_link_t *link)
{
	if (!link)
		return;
	link_shut_(link);
	link->handler = NULL;
	link_unref_(link);
}

/* Tells whether both sides have said hello and the link is not closed. */
gboolean cb_link_is_ready(const cb_link_t *link)
{
	return link->is_ready && link->connection;
}

/* Returns the other side's hello; zeroed before it has come. */
const cb_hello_t *cb_link_remote(const cb_link_t *link)
{
	return &link->remote;
}

/* Returns the clock's milliseconds when the other side was last heard. */
int64_t cb_link_heard_ms(const cb_link_t *link)
{
	return link->heard_ms;
}
