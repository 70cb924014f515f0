#include "private/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/settings.h"

#define READ_BYTES 16384
#define BACKLOG 512
/* Sent bytes that nothing acknowledges end a stream after this. */
#define USER_TIMEOUT_MS 3000
/* An idle stream whose other end is gone ends after about 6 s. */
#define KEEPALIVE_IDLE_S 3
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

struct cb_stream {
	cb_watch_t *watch; /* NULL once the socket is broken */
	int fd;
	unsigned int refs;
	gboolean is_connecting;
	gboolean is_deleted;
	gboolean has_ended;
	gboolean is_finishing; /* sends no more once the queue is empty */
	GByteArray *out;
	size_t out_start;
	const cb_stream_handler_t *handler;
	void *user_data;
};

struct cb_stream_listener {
	cb_watch_t *watch;
	int fd;
	cb_stream_accept_fn_t accept;
	void *user_data;
};

static void option_set_(int fd, int level, int name, int value)
{
	/* A connection without the option still works, only less closely. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void options_set_(int fd)
{
	option_set_(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	option_set_(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	option_set_(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	option_set_(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	option_set_(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	option_set_(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

/* Reads "IP:PORT", IPv4. */
static gboolean address_read_(const char *text, struct sockaddr_in *address)
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

static void unref_(cb_stream_t *stream)
{
	if (--stream->refs)
		return;
	g_byte_array_unref(stream->out);
	g_free(stream);
}

static void events_update_(cb_stream_t *stream)
{
	unsigned int events = 0;

	if (!stream->has_ended && !stream->is_connecting)
		events |= CB_WATCH_READABLE;
	if (stream->is_connecting || cb_stream_unsent_bytes(stream))
		events |= CB_WATCH_WRITABLE;
	if (stream->watch)
		cb_watch_change(stream->watch, events);
}

static void end_(cb_stream_t *stream, cb_stream_end_t end)
{
	if (stream->has_ended)
		return;
	stream->has_ended = TRUE;
	events_update_(stream);
	stream->handler->ended(stream->user_data, end);
}

/* Stops watching a broken socket, which would be ready for ever. */
static void break_(cb_stream_t *stream, cb_stream_end_t end)
{
	g_clear_pointer(&stream->watch, cb_watch_delete);
	end_(stream, end);
}

/* Writes what is queued; FALSE when the connection is broken. */
static gboolean flush_(cb_stream_t *stream)
{
	size_t left = cb_stream_unsent_bytes(stream);
	ssize_t sent;

	if (!left)
		return TRUE;
	sent = send(stream->fd, stream->out->data + stream->out_start, left,
		    MSG_NOSIGNAL);
	if (sent < 0)
		return errno == EAGAIN || errno == EINTR;
	stream->out_start += (size_t)sent;
	if (stream->out_start == stream->out->len) {
		g_byte_array_set_size(stream->out, 0);
		stream->out_start = 0;
		if (stream->is_finishing)
			(void)shutdown(stream->fd, SHUT_WR);
	}
	return TRUE;
}

/* Finishes opening a connection; FALSE when that failed. */
static gboolean connect_finish_(cb_stream_t *stream)
{
	int code = 0;
	socklen_t size = sizeof(code);

	if (getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &code, &size) || code)
		return FALSE;
	stream->is_connecting = FALSE;
	return TRUE;
}

static void read_(cb_stream_t *stream)
{
	uint8_t buffer[READ_BYTES];
	ssize_t got = recv(stream->fd, buffer, sizeof(buffer), 0);

	if (got > 0)
		stream->handler->received(stream->user_data, buffer,
					  (size_t)got);
	else if (got == 0)
		end_(stream, CB_STREAM_END_CLOSED);
	else if (errno != EAGAIN && errno != EINTR)
		break_(stream, CB_STREAM_END_RESET);
}

static void write_(cb_stream_t *stream)
{
	if (!cb_stream_unsent_bytes(stream))
		return;
	if (!flush_(stream)) {
		break_(stream, CB_STREAM_END_RESET);
		return;
	}
	events_update_(stream);
	if (!cb_stream_unsent_bytes(stream) && stream->handler->emptied)
		stream->handler->emptied(stream->user_data);
}

/* Opens what was connecting; FALSE when nothing more is to be done. */
static gboolean opened_(cb_stream_t *stream)
{
	if (!connect_finish_(stream)) {
		break_(stream, CB_STREAM_END_REFUSED);
		return FALSE;
	}
	events_update_(stream);
	if (stream->handler->opened)
		stream->handler->opened(stream->user_data);
	return !stream->is_deleted;
}

static void ready_(unsigned int events, void *user_data)
{
	cb_stream_t *stream = user_data;

	stream->refs++;
	if (stream->is_connecting && !opened_(stream))
		goto out;
	if (events & CB_WATCH_WRITABLE)
		write_(stream);
	if (!stream->is_deleted && !stream->has_ended &&
	    (events & (CB_WATCH_READABLE | CB_WATCH_CLOSED)))
		read_(stream);
	else if (!stream->is_deleted && (events & CB_WATCH_CLOSED))
		g_clear_pointer(&stream->watch, cb_watch_delete);
out:
	unref_(stream);
}

static cb_stream_t *stream_new_(cb_poller_t *poller, int fd,
				gboolean is_connecting,
				const cb_stream_handler_t *handler,
				void *user_data)
{
	cb_stream_t *stream = g_new0(cb_stream_t, 1);

	stream->fd = fd;
	stream->refs = 1;
	stream->is_connecting = is_connecting;
	stream->out = g_byte_array_new();
	stream->handler = handler;
	stream->user_data = user_data;
	stream->watch = cb_watch_new(poller, fd,
				     is_connecting ? CB_WATCH_WRITABLE :
						     CB_WATCH_READABLE,
				     ready_, stream);
	return stream;
}

/* Takes an accepted socket; `handler` must outlive the stream. */
cb_stream_t *cb_stream_new(cb_poller_t *poller, int fd,
			   const cb_stream_handler_t *handler, void *user_data)
{
	options_set_(fd);
	return stream_new_(poller, fd, FALSE, handler, user_data);
}

/*
 * Opens a connection to "IP:PORT".  Returns NULL if that failed at once, with
 * no call of the handler.
 */
cb_stream_t *cb_stream_connect(cb_poller_t *poller, const char *address,
			       const cb_stream_handler_t *handler,
			       void *user_data)
{
	struct sockaddr_in to;
	int fd;

	if (!address_read_(address, &to))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	options_set_(fd);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS) {
		close(fd);
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
	unref_(stream);
}

/* As cb_stream_delete(), but the other side sees that it was broken off. */
void cb_stream_reset(cb_stream_t *stream)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger,
			 sizeof(linger));
	cb_stream_delete(stream);
}

/* Queues bytes, and sends them at once where the socket takes them. */
void cb_stream_send(cb_stream_t *stream, const void *data, size_t size)
{
	gboolean was_empty = !cb_stream_unsent_bytes(stream);
	ssize_t sent = 0;

	if (was_empty && !stream->is_connecting && size) {
		sent = send(stream->fd, data, size, MSG_NOSIGNAL);
		/* A broken socket is told by the loop. */
		sent = MAX(sent, 0);
	}
	if ((size_t)sent == size)
		return;
	g_byte_array_append(stream->out, (const uint8_t *)data + sent,
			    (unsigned int)(size - (size_t)sent));
	if (was_empty)
		events_update_(stream);
}

/* Sends no more than what is queued; the other side sees a clean end. */
void cb_stream_finish(cb_stream_t *stream)
{
	stream->is_finishing = TRUE;
	if (!cb_stream_unsent_bytes(stream))
		(void)shutdown(stream->fd, SHUT_WR);
}

/* Returns how many bytes are queued. */
size_t cb_stream_unsent_bytes(const cb_stream_t *stream)
{
	return stream->out->len - stream->out_start;
}

static void accept_ready_(unsigned int events, void *user_data)
{
	cb_stream_listener_t *listener = user_data;
	int fd =
		accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd >= 0)
		listener->accept(fd, listener->user_data);
}

static gboolean refuse_(GError **error, const char *address, int fd)
{
	int code = errno;

	g_set_error(error, G_IO_ERROR, (int)g_io_error_from_errno(code),
		    "%s: cannot listen: %s", address, g_strerror(code));
	if (fd >= 0)
		close(fd);
	return FALSE;
}

/* Accepts connections at "IP:PORT"; port 0 takes a free one. */
cb_stream_listener_t *cb_stream_listen(cb_poller_t *poller, const char *address,
				       cb_stream_accept_fn_t accept,
				       void *user_data, GError **error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	cb_stream_listener_t *listener;
	struct sockaddr_in at;

	errno = EINVAL;
	if (fd < 0 || !address_read_(address, &at)) {
		refuse_(error, address, fd);
		return NULL;
	}
	option_set_(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, BACKLOG)) {
		refuse_(error, address, fd);
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

/* Stops accepting; NULL is allowed. */
void cb_stream_unlisten(cb_stream_listener_t *listener)
{
	if (!listener)
		return;
	cb_watch_delete(listener->watch);
	close(listener->fd);
	g_free(listener);
}

/* Returns the port that a listener accepts on. */
uint16_t cb_stream_listener_port(const cb_stream_listener_t *listener)
{
	struct sockaddr_in at = { 0 };
	socklen_t size = sizeof(at);

	if (getsockname(listener->fd, (struct sockaddr *)&at, &size))
		return 0;
	return ntohs(at.sin_port);
}
