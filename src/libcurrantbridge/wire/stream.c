#include "private/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/settings.h"

#define READ_BUFFER_BYTES 16384
#define LISTEN_BACKLOG 512
/* A connection is reset when sent bytes stay unacknowledged this long. */
#define USER_TIMEOUT_MS 3000
/*
 * An idle connection whose peer is unreachable is reset after about 4 s: the user
 * timeout also ends the probes.
 */
#define KEEPALIVE_IDLE_S 3
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
/* What the socket of a paused stream is taken to hold. */
#define PAUSED_SOCKET_BYTES 65536

struct cb_stream {
	/* Watch of the socket; NULL once the connection failed. */
	cb_watch_t *watch;
	int fd;
	unsigned int reference_count;
	gboolean is_connecting;
	/* The owner has deleted the stream: no more callbacks. */
	gboolean is_deleted;
	gboolean has_ended;    /* receiving has ended */
	gboolean is_paused;    /* received bytes stay in the socket */
	gboolean is_finishing; /* shut down sending once the queue is empty */
	GByteArray *queue;     /* bytes to be sent to the peer */
	size_t queue_start;    /* offset in `queue` of the first unsent byte */
	cb_memory_account_t queue_account;
	cb_memory_account_t socket_account;
	const cb_stream_handler_t *handler;
	void *user_data;
};

struct cb_stream_listener {
	cb_watch_t *watch;
	int fd;
	cb_stream_accept_fn_t accept;
	cb_stream_exhausted_fn_t exhausted; /* may be NULL */
	void *user_data;
};

static void socket_option_set_(int fd, int level, int name, int value)
{
	/*
	 * A connection without the option works too, but with higher latency
	 * or slower detection of a lost peer.
	 */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void socket_options_set_(int fd)
{
	socket_option_set_(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	socket_option_set_(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	socket_option_set_(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	socket_option_set_(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	socket_option_set_(fd, IPPROTO_TCP, TCP_KEEPINTVL,
			   KEEPALIVE_INTERVAL_S);
	socket_option_set_(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

/* Parses "IP:PORT" with an IPv4 address; returns FALSE if malformed. */
static gboolean address_parse_(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	guint64 port;

	*address = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!colon || (size_t)(colon - text) >= sizeof(host) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16, &port,
					NULL))
		return FALSE;
	memcpy(host, text, colon - text);
	host[colon - text] = '\0';
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void stream_unref_(cb_stream_t *stream)
{
	if (--stream->reference_count)
		return;
	cb_memory_account_set(&stream->queue_account, 0);
	cb_memory_account_set(&stream->socket_account, 0);
	g_byte_array_unref(stream->queue);
	g_free(stream);
}

static void watch_events_update_(cb_stream_t *stream)
{
	unsigned int events = 0;

	if (!stream->has_ended && !stream->is_connecting)
		events |=
			stream->is_paused ? CB_WATCH_CLOSED : CB_WATCH_READABLE;
	if (stream->is_connecting || cb_stream_unsent_bytes(stream))
		events |= CB_WATCH_WRITABLE;
	if (stream->watch)
		cb_watch_set_events(stream->watch, events);
}

static void stream_end_report_(cb_stream_t *stream, cb_stream_end_t end)
{
	if (stream->has_ended)
		return;
	stream->has_ended = TRUE;
	watch_events_update_(stream);
	stream->handler->ended(stream->user_data, end);
}

/* Ends a failed stream; its socket would be reported ready continuously. */
static void stream_fail_(cb_stream_t *stream, cb_stream_end_t end)
{
	g_clear_pointer(&stream->watch, cb_watch_delete);
	stream_end_report_(stream, end);
}

/* Sends queued bytes.  Returns FALSE if the connection has failed. */
static gboolean queue_send_(cb_stream_t *stream)
{
	size_t size = cb_stream_unsent_bytes(stream);
	ssize_t sent;

	if (!size)
		return TRUE;
	sent = send(stream->fd, stream->queue->data + stream->queue_start, size,
		    MSG_NOSIGNAL);
	if (sent < 0)
		return errno == EAGAIN || errno == EINTR;
	stream->queue_start += (size_t)sent;
	if (stream->queue_start == stream->queue->len) {
		g_byte_array_set_size(stream->queue, 0);
		stream->queue_start = 0;
		cb_memory_account_array(&stream->queue_account, &stream->queue);
		if (stream->is_finishing)
			(void)shutdown(stream->fd, SHUT_WR);
	}
	return TRUE;
}

/* Completes connecting.  Returns FALSE if it failed. */
static gboolean connect_finish_(cb_stream_t *stream)
{
	int code = 0;
	socklen_t size = sizeof(code);

	if (getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &code, &size) || code)
		return FALSE;
	stream->is_connecting = FALSE;
	return TRUE;
}

static void socket_read_(cb_stream_t *stream)
{
	uint8_t buffer[READ_BUFFER_BYTES];
	ssize_t size = recv(stream->fd, buffer, sizeof(buffer), 0);

	if (size > 0)
		stream->handler->received(stream->user_data, buffer,
					  (size_t)size);
	else if (size == 0)
		stream_end_report_(stream, CB_STREAM_END_CLOSED);
	else if (errno != EAGAIN && errno != EINTR)
		stream_fail_(stream, CB_STREAM_END_RESET);
}

static void socket_write_(cb_stream_t *stream)
{
	if (!cb_stream_unsent_bytes(stream))
		return;
	if (!queue_send_(stream)) {
		stream_fail_(stream, CB_STREAM_END_RESET);
		return;
	}
	watch_events_update_(stream);
	if (!cb_stream_unsent_bytes(stream) && stream->handler->emptied)
		stream->handler->emptied(stream->user_data);
}

/*
 * Handles the result of connecting.  Returns FALSE if it failed or the owner
 * has deleted the stream.
 */
static gboolean connect_result_handle_(cb_stream_t *stream)
{
	if (!connect_finish_(stream)) {
		stream_fail_(stream, CB_STREAM_END_REFUSED);
		return FALSE;
	}
	watch_events_update_(stream);
	if (stream->handler->opened)
		stream->handler->opened(stream->user_data);
	return !stream->is_deleted;
}

static void socket_ready_(unsigned int events, void *user_data)
{
	cb_stream_t *stream = user_data;

	stream->reference_count++;
	if (stream->is_connecting && !connect_result_handle_(stream))
		goto out;
	if (events & CB_WATCH_WRITABLE)
		socket_write_(stream);
	if (!stream->is_deleted && !stream->has_ended &&
	    (events & (CB_WATCH_READABLE | CB_WATCH_CLOSED)))
		socket_read_(stream);
	else if (!stream->is_deleted && (events & CB_WATCH_CLOSED))
		g_clear_pointer(&stream->watch, cb_watch_delete);
out:
	stream_unref_(stream);
}

static cb_stream_t *stream_new_(cb_poller_t *poller, int fd,
				gboolean is_connecting,
				const cb_stream_handler_t *handler,
				void *user_data)
{
	cb_stream_t *stream = g_new0(cb_stream_t, 1);

	stream->fd = fd;
	stream->reference_count = 1;
	stream->is_connecting = is_connecting;
	stream->queue = g_byte_array_new();
	stream->handler = handler;
	stream->user_data = user_data;
	stream->watch = cb_watch_new(poller, fd,
				     is_connecting ? CB_WATCH_WRITABLE :
						     CB_WATCH_READABLE,
				     socket_ready_, stream);
	return stream;
}

/*
 * Returns a stream for an accepted, non-blocking socket, which it takes
 * ownership of.  `handler` must outlive the stream.
 */
cb_stream_t *cb_stream_new(cb_poller_t *poller, int fd,
			   const cb_stream_handler_t *handler, void *user_data)
{
	socket_options_set_(fd);
	return stream_new_(poller, fd, FALSE, handler, user_data);
}

/* Returns whether bytes or an end have arrived that were not received yet. */
gboolean cb_stream_has_input(const cb_stream_t *stream)
{
	/* recv() would take an error off the socket that is still to be seen. */
	struct pollfd socket = { .fd = stream->fd, .events = POLLIN };

	return poll(&socket, 1, 0) > 0;
}

/* Returns whether a system call failed for lack of descriptors, ports or memory. */
gboolean cb_stream_is_exhaustion(int code)
{
	switch (code) {
	case EMFILE:
	case ENFILE:
	case ENOBUFS:
	case ENOMEM:
	case EADDRNOTAVAIL:
		return TRUE;
	default:
		return FALSE;
	}
}

/*
 * Starts connecting to "IP:PORT".  Returns NULL, without a call of the
 * handler, and with errno set, if that fails immediately; later failures are
 * reported to `ended`.
 */
cb_stream_t *cb_stream_connect(cb_poller_t *poller, const char *address,
			       const cb_stream_handler_t *handler,
			       void *user_data)
{
	struct sockaddr_in remote;
	int code;
	int fd;

	errno = EINVAL;
	if (!address_parse_(address, &remote))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	socket_options_set_(fd);
	if (connect(fd, (struct sockaddr *)&remote, sizeof(remote)) &&
	    errno != EINPROGRESS) {
		code = errno;
		close(fd);
		errno = code;
		return NULL;
	}
	return stream_new_(poller, fd, TRUE, handler, user_data);
}

/* Closes the connection and frees it; the handler is not called again. */
void cb_stream_delete(cb_stream_t *stream)
{
	if (!stream)
		return;
	stream->is_deleted = TRUE;
	stream->has_ended = TRUE;
	cb_watch_delete(stream->watch);
	close(stream->fd);
	stream_unref_(stream);
}

/* Makes a later cb_stream_delete() send the peer a TCP reset. */
void cb_stream_set_reset(cb_stream_t *stream)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger,
			 sizeof(linger));
}

/* Like cb_stream_delete(), but sends the peer a TCP reset. */
void cb_stream_reset(cb_stream_t *stream)
{
	cb_stream_set_reset(stream);
	cb_stream_delete(stream);
}

/*
 * Removes the sent bytes from the queue once they make up half of it, which
 * moves each byte once at most on average.
 */
static void queue_compact_(cb_stream_t *stream)
{
	if (stream->queue_start < cb_stream_unsent_bytes(stream))
		return;
	g_byte_array_remove_range(stream->queue, 0,
				  (unsigned int)stream->queue_start);
	stream->queue_start = 0;
}

/* Sends bytes at once as far as the socket accepts them; queues the rest. */
void cb_stream_send(cb_stream_t *stream, const void *data, size_t size)
{
	gboolean was_empty = !cb_stream_unsent_bytes(stream);
	ssize_t sent = 0;

	if (was_empty && !stream->is_connecting && size) {
		sent = send(stream->fd, data, size, MSG_NOSIGNAL);
		/* A failed write is reported from the main loop. */
		sent = MAX(sent, 0);
	}
	if ((size_t)sent == size)
		return;
	queue_compact_(stream);
	g_byte_array_append(stream->queue, (const uint8_t *)data + sent,
			    (unsigned int)(size - (size_t)sent));
	cb_memory_account_array(&stream->queue_account, &stream->queue);
	if (was_empty)
		watch_events_update_(stream);
}

/* Shuts down sending after the queued bytes; the peer sees a regular end. */
void cb_stream_shutdown_send(cb_stream_t *stream)
{
	stream->is_finishing = TRUE;
	if (!cb_stream_unsent_bytes(stream))
		(void)shutdown(stream->fd, SHUT_WR);
}

/*
 * Pauses or resumes receiving.  While it is paused, the peer can send as much as
 * the socket holds; once it has shut down sending, receiving goes on.
 */
void cb_stream_set_paused(cb_stream_t *stream, gboolean is_paused)
{
	if (stream->is_paused == is_paused)
		return;
	stream->is_paused = is_paused;
	cb_memory_account_set(&stream->socket_account,
			      is_paused ? PAUSED_SOCKET_BYTES : 0);
	watch_events_update_(stream);
}

/* Counts what the stream keeps from now on in a bound. */
void cb_stream_set_bound(cb_stream_t *stream, cb_memory_bound_t *bound,
			 cb_memory_kind_t kind)
{
	cb_memory_account_init(&stream->queue_account, bound, kind);
	cb_memory_account_init(&stream->socket_account, bound,
			       CB_MEMORY_SOCKETS);
}

/* Returns the bytes that are counted in the bound. */
size_t cb_stream_kept_bytes(const cb_stream_t *stream)
{
	return stream->queue_account.bytes + stream->socket_account.bytes;
}

/* Returns the number of bytes in the send queue. */
size_t cb_stream_unsent_bytes(const cb_stream_t *stream)
{
	return stream->queue->len - stream->queue_start;
}

gboolean cb_stream_listener_accept(cb_stream_listener_t *listener)
{
	int fd =
		accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		listener->accept(fd, listener->user_data);
	return fd >= 0;
}

static void accept_ready_(unsigned int events, void *user_data)
{
	cb_stream_listener_t *listener = user_data;

	(void)events;
	if (!cb_stream_listener_accept(listener) &&
	    cb_stream_is_exhaustion(errno) && listener->exhausted)
		listener->exhausted(listener->user_data);
}

static gboolean listen_error_set_(GError **error, const char *address, int fd)
{
	int code = errno;

	g_set_error(error, G_IO_ERROR, (int)g_io_error_from_errno(code),
		    "%s: cannot listen: %s", address, g_strerror(code));
	if (fd >= 0)
		close(fd);
	return FALSE;
}

/*
 * Listens at "IP:PORT"; port 0 selects a free port.  Returns NULL with
 * `error` set if that fails.
 */
cb_stream_listener_t *cb_stream_listen(cb_poller_t *poller, const char *address,
				       cb_stream_accept_fn_t accept,
				       void *user_data, GError **error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	cb_stream_listener_t *listener;
	struct sockaddr_in local;

	errno = EINVAL;
	if (fd < 0 || !address_parse_(address, &local)) {
		listen_error_set_(error, address, fd);
		return NULL;
	}
	socket_option_set_(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		listen_error_set_(error, address, fd);
		return NULL;
	}
	listener = g_new0(cb_stream_listener_t, 1);
	listener->fd = fd;
	listener->accept = accept;
	listener->user_data = user_data;
	listener->watch = cb_watch_new(poller, fd, CB_WATCH_READABLE,
				       accept_ready_, listener);
	return listener;
}

/*
 * Sets what is called when a connection can't be accepted for lack of descriptors
 * or memory: the listener stays readable, and tries again at once.
 */
void cb_stream_listener_on_exhausted(cb_stream_listener_t *listener,
				     cb_stream_exhausted_fn_t exhausted)
{
	listener->exhausted = exhausted;
}

/* Pauses or resumes accepting; meanwhile connections wait in the backlog. */
void cb_stream_listener_set_paused(cb_stream_listener_t *listener,
				   gboolean is_paused)
{
	cb_watch_set_events(listener->watch, is_paused ? 0 : CB_WATCH_READABLE);
}

unsigned int cb_stream_listener_queued(const cb_stream_listener_t *listener)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	if (getsockopt(listener->fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return 0;
	/* Of a listening socket this is the length of its queue. */
	return info.tcpi_unacked;
}

/* Stops accepting and frees the listener; NULL is allowed. */
void cb_stream_unlisten(cb_stream_listener_t *listener)
{
	if (!listener)
		return;
	cb_watch_delete(listener->watch);
	close(listener->fd);
	g_free(listener);
}

/* Returns the port that a listener is bound to, or 0 on failure. */
uint16_t cb_stream_listener_port(const cb_stream_listener_t *listener)
{
	struct sockaddr_in local = { 0 };
	socklen_t size = sizeof(local);

	if (getsockname(listener->fd, (struct sockaddr *)&local, &size))
		return 0;
	return ntohs(local.sin_port);
}
