#include <errno.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "currantbridge/network.h"
#include "private/frame.h"
#include "private/poller.h"

#define READ_BUFFER_BYTES (64 * 1024)
/* Limits the reads of one connection per dispatch, for fairness to others. */
#define MAX_READS_PER_DISPATCH 8
#define LISTEN_BACKLOG 512

typedef struct tcp_network {
	cb_network_t network;
	GMainContext *context;
	/* Watches all sockets: a source for each would be checked at each wake-up. */
	cb_poller_t *poller;
	size_t max_queue_bytes;
} tcp_network_t;

typedef struct tcp_connection {
	cb_connection_t connection;
	grefcount reference_count;
	GSocket *socket; /* NULL once the connection is closed */
	cb_watch_t *watch;
	GSource *connect_error_source; /* reports that connecting failed */
	size_t max_queue_bytes;
	gboolean is_connecting; /* `opened` has not been called yet */
	cb_frame_reader_t reader;
	GByteArray *queue;  /* frames to be sent */
	size_t queue_start; /* offset in `queue` of the first unsent byte */
	const cb_connection_handler_t *handler;
	void *user_data;
} tcp_connection_t;

struct cb_listener {
	tcp_network_t *network;
	GSocket *socket;
	cb_watch_t *watch;
	cb_accept_fn_t accept;
	void *user_data;
};

static void source_clear_(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

static void tcp_socket_close_(tcp_connection_t *tcp)
{
	g_clear_pointer(&tcp->watch, cb_watch_delete);
	source_clear_(&tcp->connect_error_source);
	if (tcp->socket)
		g_socket_close(tcp->socket, NULL);
	g_clear_object(&tcp->socket);
}

static void tcp_connection_unref_(tcp_connection_t *tcp)
{
	if (!g_ref_count_dec(&tcp->reference_count))
		return;
	tcp_socket_close_(tcp);
	cb_frame_reader_clear(&tcp->reader);
	g_byte_array_unref(tcp->queue);
	g_free(tcp);
}

/* Closes the socket and calls the handler for the last time. */
static void tcp_connection_fail_(tcp_connection_t *tcp,
				 cb_close_reason_t reason)
{
	const cb_connection_handler_t *handler = tcp->handler;

	tcp_socket_close_(tcp);
	tcp->handler = NULL;
	if (handler)
		handler->closed(tcp->user_data, reason);
}

/*
 * Passes the complete frames in the reader to the handler.  Returns FALSE if
 * the connection is closed.
 */
static gboolean frames_deliver_(tcp_connection_t *tcp)
{
	cb_frame_result_t result = CB_FRAME_PARTIAL;
	const uint8_t *data;
	size_t size;

	while (tcp->handler) {
		result = cb_frame_reader_next(&tcp->reader, &data, &size);
		if (result != CB_FRAME_COMPLETE)
			break;
		tcp->handler->received(tcp->user_data, data, size);
	}
	if (!tcp->handler)
		return FALSE;
	if (result == CB_FRAME_PARTIAL)
		return TRUE;
	tcp_connection_fail_(tcp, result == CB_FRAME_OVERSIZE ?
					  CB_CLOSE_OVERSIZE :
					  CB_CLOSE_MALFORMED);
	return FALSE;
}

/* Reads the socket once.  Returns FALSE if no more bytes are available. */
static gboolean tcp_socket_read_(tcp_connection_t *tcp)
{
	uint8_t data[READ_BUFFER_BYTES];
	ssize_t size =
		recv(g_socket_get_fd(tcp->socket), data, sizeof(data), 0);

	if (size > 0) {
		cb_frame_reader_add(&tcp->reader, data, (size_t)size);
		return frames_deliver_(tcp) && size == READ_BUFFER_BYTES;
	}
	if (size == 0 || (errno != EAGAIN && errno != EINTR))
		tcp_connection_fail_(tcp, CB_CLOSE_REMOTE);
	return FALSE;
}

/*
 * Writes the queued bytes that the socket accepts.  FALSE: connection failed.
 */
static gboolean queue_write_(tcp_connection_t *tcp)
{
	while (tcp->queue_start < tcp->queue->len) {
		ssize_t size =
			send(g_socket_get_fd(tcp->socket),
			     tcp->queue->data + tcp->queue_start,
			     tcp->queue->len - tcp->queue_start, MSG_NOSIGNAL);

		if (size < 0)
			return errno == EAGAIN || errno == EINTR;
		tcp->queue_start += (size_t)size;
	}
	g_byte_array_set_size(tcp->queue, 0);
	tcp->queue_start = 0;
	return TRUE;
}

static void watch_events_update_(tcp_connection_t *tcp)
{
	unsigned int events =
		tcp->is_connecting ? CB_WATCH_WRITABLE : CB_WATCH_READABLE;

	if (tcp->queue->len)
		events |= CB_WATCH_WRITABLE;
	if (tcp->watch)
		cb_watch_set_events(tcp->watch, events);
}

static void connect_finish_(tcp_connection_t *tcp)
{
	if (!g_socket_check_connect_result(tcp->socket, NULL)) {
		tcp_connection_fail_(tcp, CB_CLOSE_REFUSED);
		return;
	}
	tcp->is_connecting = FALSE;
	if (tcp->handler)
		tcp->handler->opened(tcp->user_data);
}

static void socket_ready_(unsigned int events, void *user_data)
{
	tcp_connection_t *tcp = user_data;
	int reads = 0;

	g_ref_count_inc(&tcp->reference_count);
	if (tcp->is_connecting)
		connect_finish_(tcp);
	else if (events & (CB_WATCH_READABLE | CB_WATCH_CLOSED))
		while (tcp->socket && reads++ < MAX_READS_PER_DISPATCH &&
		       tcp_socket_read_(tcp))
			;
	if (tcp->socket && !queue_write_(tcp))
		tcp_connection_fail_(tcp, CB_CLOSE_REMOTE);
	watch_events_update_(tcp);
	tcp_connection_unref_(tcp);
}

static void socket_watch_(tcp_connection_t *tcp, tcp_network_t *network)
{
	tcp->watch = cb_watch_new(network->poller, g_socket_get_fd(tcp->socket),
				  CB_WATCH_WRITABLE, socket_ready_, tcp);
}

static gboolean connect_error_report_(void *user_data)
{
	tcp_connection_t *tcp = user_data;

	g_ref_count_inc(&tcp->reference_count);
	tcp_connection_fail_(tcp, CB_CLOSE_REFUSED);
	tcp_connection_unref_(tcp);
	return G_SOURCE_REMOVE;
}

static void tcp_handler_set_(cb_connection_t *connection,
			     const cb_connection_handler_t *handler,
			     void *user_data)
{
	tcp_connection_t *tcp = (tcp_connection_t *)connection;

	tcp->handler = handler;
	tcp->user_data = user_data;
}

/*
 * Sends a frame, and queues what the socket does not accept.  Returns FALSE if
 * the queue would exceed its limit or the connection is closed.
 */
static gboolean tcp_frame_send_(cb_connection_t *connection,
				const uint8_t *data, size_t size)
{
	tcp_connection_t *tcp = (tcp_connection_t *)connection;
	size_t queued_bytes = tcp->queue->len - tcp->queue_start;

	if (!tcp->socket)
		return FALSE;
	if (queued_bytes + size > tcp->max_queue_bytes)
		return FALSE;
	if (tcp->queue_start > tcp->max_queue_bytes) {
		g_byte_array_remove_range(tcp->queue, 0,
					  (guint)tcp->queue_start);
		tcp->queue_start = 0;
	}
	cb_frame_append(tcp->queue, data, size);
	/* A failure is reported from the main loop, where the write is repeated. */
	if (!queued_bytes && !tcp->is_connecting)
		(void)queue_write_(tcp);
	watch_events_update_(tcp);
	return TRUE;
}

static void tcp_connection_destroy_(cb_connection_t *connection)
{
	tcp_connection_t *tcp = (tcp_connection_t *)connection;

	tcp->handler = NULL;
	/* Queued bytes that the socket accepts at once are still sent. */
	if (tcp->socket && !tcp->is_connecting)
		queue_write_(tcp);
	tcp_socket_close_(tcp);
	tcp_connection_unref_(tcp);
}

static const cb_connection_vtable_t tcp_connection_vtable = {
	.set_handler = tcp_handler_set_,
	.send = tcp_frame_send_,
	.destroy = tcp_connection_destroy_,
};

static tcp_connection_t *tcp_connection_new_(tcp_network_t *network,
					     GSocket *socket)
{
	tcp_connection_t *tcp = g_new0(tcp_connection_t, 1);

	tcp->connection.vtable = &tcp_connection_vtable;
	g_ref_count_init(&tcp->reference_count);
	tcp->max_queue_bytes = network->max_queue_bytes;
	tcp->socket = socket;
	tcp->is_connecting = TRUE;
	cb_frame_reader_init(&tcp->reader);
	tcp->queue = g_byte_array_new();
	if (!socket)
		return tcp;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	return tcp;
}

/* Parses "IP:PORT".  Returns NULL with `error` set if it is malformed. */
static GSocketAddress *address_parse_(const char *text, GError **error)
{
	GSocketConnectable *parsed = g_network_address_parse(text, 0, error);
	GSocketAddress *address;

	if (!parsed)
		return NULL;
	address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)),
		g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	g_object_unref(parsed);
	if (!address)
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
			    "%s is not IP:PORT", text);
	return address;
}

static GSocket *socket_new_(GSocketAddress *address, GError **error)
{
	return g_socket_new(g_socket_address_get_family(address),
			    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
}

/* Starts connecting; the result is reported from the main loop. */
static cb_connection_t *tcp_connection_open_(cb_network_t *network,
					     const char *text)
{
	tcp_network_t *self = (tcp_network_t *)network;
	GSocketAddress *address = address_parse_(text, NULL);
	GSocket *socket = address ? socket_new_(address, NULL) : NULL;
	tcp_connection_t *tcp = tcp_connection_new_(self, socket);
	GError *error = NULL;

	if (socket &&
	    (g_socket_connect(socket, address, NULL, &error) ||
	     g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))) {
		socket_watch_(tcp, self);
	} else {
		tcp->connect_error_source = g_idle_source_new();
		g_source_set_callback(tcp->connect_error_source,
				      connect_error_report_, tcp, NULL);
		g_source_attach(tcp->connect_error_source, self->context);
	}
	g_clear_error(&error);
	g_clear_object(&address);
	return &tcp->connection;
}

static void accept_ready_(unsigned int events, void *user_data)
{
	cb_listener_t *listener = user_data;
	GSocket *accepted = g_socket_accept(listener->socket, NULL, NULL);
	tcp_connection_t *tcp;

	(void)events;
	if (!accepted)
		return;
	tcp = tcp_connection_new_(listener->network, accepted);
	socket_watch_(tcp, listener->network);
	listener->accept(&tcp->connection, listener->user_data);
}

static cb_listener_t *tcp_listener_open_(cb_network_t *network,
					 const char *text,
					 cb_accept_fn_t accept, void *user_data,
					 GError **error)
{
	GSocketAddress *address = address_parse_(text, error);
	cb_listener_t *listener = NULL;
	GSocket *socket;

	if (!address)
		return NULL;
	socket = socket_new_(address, error);
	if (!socket)
		goto out;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error)) {
		g_object_unref(socket);
		goto out;
	}
	listener = g_new0(cb_listener_t, 1);
	listener->network = (tcp_network_t *)network;
	listener->socket = socket;
	listener->accept = accept;
	listener->user_data = user_data;
	listener->watch =
		cb_watch_new(listener->network->poller, g_socket_get_fd(socket),
			     CB_WATCH_READABLE, accept_ready_, listener);
out:
	g_object_unref(address);
	return listener;
}

static void tcp_listener_close_(cb_network_t *network, cb_listener_t *listener)
{
	(void)network;
	cb_watch_delete(listener->watch);
	g_socket_close(listener->socket, NULL);
	g_object_unref(listener->socket);
	g_free(listener);
}

static void tcp_network_destroy_(cb_network_t *network)
{
	tcp_network_t *self = (tcp_network_t *)network;

	cb_poller_delete(self->poller);
	g_main_context_unref(self->context);
	g_free(self);
}

static const cb_network_vtable_t tcp_network_vtable = {
	.connect = tcp_connection_open_,
	.listen = tcp_listener_open_,
	.unlisten = tcp_listener_close_,
	.destroy = tcp_network_destroy_,
};

/*
 * Returns a new network over TCP on `context`.  `max_queue_bytes` limits the
 * send queue of each connection.
 */
cb_network_t *cb_tcp_network_new(GMainContext *context, size_t max_queue_bytes)
{
	tcp_network_t *self = g_new0(tcp_network_t, 1);

	self->network.vtable = &tcp_network_vtable;
	self->context = g_main_context_ref(context);
	self->poller = cb_poller_new(context);
	self->max_queue_bytes = max_queue_bytes;
	return &self->network;
}

/* Returns the port that a TCP listener is bound to, or 0 on failure. */
uint16_t cb_tcp_listener_port(const cb_listener_t *listener)
{
	GSocketAddress *address =
		g_socket_get_local_address(listener->socket, NULL);
	uint16_t port;

	if (!address)
		return 0;
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	g_object_unref(address);
	return port;
}
