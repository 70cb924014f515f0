#include "private/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "private/poller.h"

/* With more unsent bytes, writes by libsoup return G_IO_ERROR_WOULD_BLOCK. */
#define MAX_PENDING_BYTES 65536
/* Limits the kernel memory used for a peer that does not read. */
#define SEND_BUFFER_BYTES 65536
/* Time for the peer of a closed connection to read the last answer. */
#define LINGER_MS 2000
#define LINGER_READ_BYTES 16384
#define CHUNK_SIZE_LINE_BYTES 24

struct cb_connection_pool {
	GMainContext *context;
	cb_clock_t *clock;
	cb_poller_t *poller;
	/* Source that flushes `dirty` in the main loop. */
	GSource *flush_source;
	GPtrArray *dirty; /* cb_connection_t with bytes to send */
	/* Empty array that replaces `dirty` at a flush. */
	GPtrArray *spare_dirty;
	/* Whether `dirty` is flushed only at the end of the batch. */
	gboolean is_batching;
	GPtrArray *lingering; /* cb_connection_t whose close is unfinished */
	cb_connection_fn_t on_idle;
	void *on_idle_data;
};

struct cb_connection {
	GIOStream parent;
	cb_connection_pool_t *pool;
	GSocket *socket;
	GInputStream *input;
	GOutputStream *output;
	GByteArray *pending; /* bytes that the socket has not accepted yet */
	/*
	 * Fires once the full socket buffer has space; NULL while it is not
	 * full.
	 */
	GSource *writable_source;
	/* Whether the pool's `dirty` contains the connection. */
	gboolean is_dirty;
	gboolean is_failed; /* whether a send failed or the socket was closed */
	/* Whether reads return the end of the stream. */
	gboolean is_reading_stopped;
	/* Bytes received since the request was started. */
	uint64_t request_bytes;
	uint64_t answer_bytes; /* bytes written since the request was started */
	cb_watch_t *close_watch; /* calls `on_close`, NULL if not watched */
	cb_connection_fn_t on_close;
	void *on_close_data;
	/* Whether libsoup closed the connection, but the socket is open. */
	gboolean is_lingering;
	/* Discards input until the peer closes the connection. */
	GSource *linger_source;
	cb_timer_t *linger_timer; /* limits lingering to LINGER_MS */
};

/*
 * The input and output streams of a connection.  They hold no reference to
 * it; `connection` is NULL after it has been freed.
 */
typedef struct connection_input {
	GInputStream parent;
	cb_connection_t *connection;
} connection_input_t;

typedef struct connection_output {
	GOutputStream parent;
	cb_connection_t *connection;
} connection_output_t;

static GType connection_get_type_(void);
static GType input_get_type_(void);
static GType output_get_type_(void);

static void source_clear_(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

static void connection_flush_(cb_connection_t *connection);

static gboolean socket_writable_handle_(GSocket *socket, GIOCondition condition,
					void *user_data)
{
	cb_connection_t *connection = user_data;

	(void)socket;
	(void)condition;
	source_clear_(&connection->writable_source);
	connection_flush_(connection);
	return G_SOURCE_REMOVE;
}

static void socket_writable_wait_(cb_connection_t *connection)
{
	if (connection->writable_source)
		return;
	connection->writable_source =
		g_socket_create_source(connection->socket, G_IO_OUT, NULL);
	g_source_set_callback(connection->writable_source,
			      G_SOURCE_FUNC(socket_writable_handle_),
			      connection, NULL);
	g_source_attach(connection->writable_source, connection->pool->context);
}

static void linger_begin_(cb_connection_t *connection);

/* Sends as many pending bytes as the socket accepts. */
static void connection_flush_(cb_connection_t *connection)
{
	GByteArray *pending = connection->pending;
	GError *error = NULL;
	gssize count;

	if (connection->is_failed || pending->len == 0)
		goto out;
	count = g_socket_send_with_blocking(connection->socket,
					    (const char *)pending->data,
					    pending->len, FALSE, NULL, &error);
	if (count >= 0)
		g_byte_array_remove_range(pending, 0, (unsigned int)count);
	else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		connection->is_failed = TRUE;
	g_clear_error(&error);
	if (pending->len > 0 && !connection->is_failed) {
		socket_writable_wait_(connection);
		return;
	}
out:
	if (connection->is_lingering)
		linger_begin_(connection);
}

static void pool_flush_(cb_connection_pool_t *pool)
{
	GPtrArray *dirty = pool->dirty;
	unsigned int i;

	pool->dirty = pool->spare_dirty;
	pool->spare_dirty = NULL;
	if (!pool->dirty)
		pool->dirty = g_ptr_array_new_with_free_func(g_object_unref);
	for (i = 0; i < dirty->len; i++) {
		cb_connection_t *connection = g_ptr_array_index(dirty, i);

		connection->is_dirty = FALSE;
		connection_flush_(connection);
	}
	g_ptr_array_set_size(dirty, 0);
	if (pool->spare_dirty)
		g_ptr_array_unref(dirty);
	else
		pool->spare_dirty = dirty;
}

static gboolean flush_dispatch_(GSource *source, GSourceFunc fn,
				void *user_data)
{
	(void)fn;
	g_source_set_ready_time(source, -1);
	pool_flush_(user_data);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs flush_funcs = { .dispatch = flush_dispatch_ };

/* Never called: set only because the callback carries the user data. */
static gboolean source_callback_do_nothing_(void *user_data)
{
	(void)user_data;
	return G_SOURCE_CONTINUE;
}

/* Creates the shared state of a server's connections. */
cb_connection_pool_t *cb_connection_pool_new(GMainContext *context,
					     cb_clock_t *clock)
{
	cb_connection_pool_t *pool = g_new0(cb_connection_pool_t, 1);

	pool->context = context;
	pool->clock = clock;
	pool->poller = cb_poller_new(context);
	pool->dirty = g_ptr_array_new_with_free_func(g_object_unref);
	pool->lingering = g_ptr_array_new_with_free_func(g_object_unref);
	pool->flush_source = g_source_new(&flush_funcs, sizeof(GSource));
	g_source_set_callback(pool->flush_source, source_callback_do_nothing_,
			      pool, NULL);
	g_source_set_ready_time(pool->flush_source, -1);
	g_source_attach(pool->flush_source, context);
	return pool;
}

/*
 * Deletes the pool, after its server; lingering connections are closed.
 * NULL is allowed.
 */
void cb_connection_pool_delete(cb_connection_pool_t *pool)
{
	if (!pool)
		return;
	pool->on_idle = NULL;
	while (pool->lingering->len > 0)
		cb_connection_abort(g_ptr_array_index(pool->lingering, 0));
	g_ptr_array_unref(pool->lingering);
	g_ptr_array_unref(pool->dirty);
	g_clear_pointer(&pool->spare_dirty, g_ptr_array_unref);
	source_clear_(&pool->flush_source);
	cb_poller_delete(pool->poller);
	g_free(pool);
}

/*
 * Starts a batch of writes to connections: their bytes are sent when the
 * batch ends rather than in the next iteration of the main loop.
 */
void cb_connection_pool_batch_begin(cb_connection_pool_t *pool)
{
	pool->is_batching = TRUE;
}

/* Ends the batch and sends the bytes written during it. */
void cb_connection_pool_batch_end(cb_connection_pool_t *pool)
{
	pool->is_batching = FALSE;
	if (pool->dirty->len > 0)
		pool_flush_(pool);
}

/* Calls `on_idle` as soon as no closed connection is lingering. */
void cb_connection_pool_notify_idle(cb_connection_pool_t *pool,
				    cb_connection_fn_t on_idle, void *user_data)
{
	pool->on_idle = on_idle;
	pool->on_idle_data = user_data;
	if (pool->lingering->len == 0)
		on_idle(user_data);
}

static void connection_mark_dirty_(cb_connection_t *connection)
{
	cb_connection_pool_t *pool = connection->pool;

	if (connection->is_dirty || connection->writable_source)
		return;
	connection->is_dirty = TRUE;
	if (pool->dirty->len == 0 && !pool->is_batching)
		g_source_set_ready_time(pool->flush_source, 0);
	g_ptr_array_add(pool->dirty, g_object_ref(connection));
}

/* Closes the socket and removes its sources and timer. */
static void socket_close_(cb_connection_t *connection)
{
	gboolean is_lingering = connection->is_lingering;
	cb_connection_pool_t *pool = connection->pool;

	connection->is_failed = TRUE;
	connection->is_lingering = FALSE;
	cb_connection_unwatch(connection);
	source_clear_(&connection->writable_source);
	source_clear_(&connection->linger_source);
	g_clear_pointer(&connection->linger_timer, cb_timer_delete);
	g_socket_close(connection->socket, NULL);
	if (!is_lingering)
		return;
	g_ptr_array_remove(pool->lingering, connection);
	if (pool->on_idle && pool->lingering->len == 0)
		pool->on_idle(pool->on_idle_data);
}

/* Discards the bytes that the peer still sends, until it closes too. */
static gboolean linger_read_(GSocket *socket, GIOCondition condition,
			     void *user_data)
{
	char dropped[LINGER_READ_BYTES];
	GError *error = NULL;
	gssize count =
		g_socket_receive_with_blocking(socket, dropped, sizeof(dropped),
					       FALSE, NULL, &error);
	gboolean is_peer_open =
		count > 0 ||
		g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);

	(void)condition;
	g_clear_error(&error);
	if (is_peer_open)
		return G_SOURCE_CONTINUE;
	socket_close_(user_data);
	return G_SOURCE_REMOVE;
}

/*
 * Called when the socket has accepted the last answer.  Shuts down sending and
 * waits for the peer to close, so that unread input does not make the kernel
 * reset the connection before the peer has read the answer.
 */
static void linger_begin_(cb_connection_t *connection)
{
	if (connection->is_failed) {
		socket_close_(connection);
		return;
	}
	if (connection->linger_source)
		return;
	g_socket_shutdown(connection->socket, FALSE, TRUE, NULL);
	connection->linger_source =
		g_socket_create_source(connection->socket, G_IO_IN, NULL);
	g_source_set_callback(connection->linger_source,
			      G_SOURCE_FUNC(linger_read_), connection, NULL);
	g_source_attach(connection->linger_source, connection->pool->context);
}

static void linger_timeout_handle_(void *user_data)
{
	socket_close_(user_data);
}

static gboolean connection_linger_or_close_(void *user_data)
{
	cb_connection_t *connection = user_data;
	cb_connection_pool_t *pool = connection->pool;

	if (connection->is_lingering || g_socket_is_closed(connection->socket))
		return G_SOURCE_REMOVE;
	if (connection->pending->len == 0 && connection->request_bytes == 0) {
		socket_close_(connection);
		return G_SOURCE_REMOVE;
	}
	cb_connection_unwatch(connection);
	connection->is_lingering = TRUE;
	g_ptr_array_add(pool->lingering, g_object_ref(connection));
	connection->linger_timer =
		cb_timer_new(pool->clock, linger_timeout_handle_, connection);
	cb_timer_start(connection->linger_timer, LINGER_MS);
	connection_mark_dirty_(connection);
	return G_SOURCE_REMOVE;
}

/* Called by libsoup to close; pending bytes are still sent before the close. */
static gboolean connection_close_(GIOStream *stream, GCancellable *cancellable,
				  GError **error)
{
	cb_connection_t *connection = (cb_connection_t *)stream;

	(void)cancellable;
	(void)error;
	g_main_context_invoke_full(connection->pool->context,
				   G_PRIORITY_DEFAULT,
				   connection_linger_or_close_,
				   g_object_ref(connection), g_object_unref);
	return TRUE;
}

static GInputStream *connection_get_input_(GIOStream *stream)
{
	return ((cb_connection_t *)stream)->input;
}

static GOutputStream *connection_get_output_(GIOStream *stream)
{
	return ((cb_connection_t *)stream)->output;
}

static void connection_finalize_(GObject *object)
{
	cb_connection_t *connection = (cb_connection_t *)object;

	cb_watch_delete(connection->close_watch);
	source_clear_(&connection->writable_source);
	source_clear_(&connection->linger_source);
	cb_timer_delete(connection->linger_timer);
	((connection_input_t *)connection->input)->connection = NULL;
	((connection_output_t *)connection->output)->connection = NULL;
	g_object_unref(connection->input);
	g_object_unref(connection->output);
	g_object_unref(connection->socket);
	g_byte_array_unref(connection->pending);
	G_OBJECT_CLASS(g_type_class_peek(G_TYPE_IO_STREAM))->finalize(object);
}

static void connection_class_init_(void *klass, void *data)
{
	GIOStreamClass *stream_class = klass;

	(void)data;
	G_OBJECT_CLASS(klass)->finalize = connection_finalize_;
	stream_class->get_input_stream = connection_get_input_;
	stream_class->get_output_stream = connection_get_output_;
	stream_class->close_fn = connection_close_;
}

static GType connection_get_type_(void)
{
	static size_t type;

	if (g_once_init_enter(&type))
		g_once_init_leave(
			&type, g_type_register_static_simple(
				       G_TYPE_IO_STREAM, "cb_connection",
				       sizeof(GIOStreamClass),
				       (GClassInitFunc)connection_class_init_,
				       sizeof(cb_connection_t), NULL, 0));
	return type;
}

static gssize input_read_(GInputStream *stream, void *buffer, size_t count,
			  gboolean is_blocking, GError **error)
{
	cb_connection_t *connection =
		((connection_input_t *)stream)->connection;
	gssize received;

	if (!connection || connection->is_reading_stopped)
		return 0;
	received =
		g_socket_receive_with_blocking(connection->socket, buffer,
					       count, is_blocking, NULL, error);
	if (received > 0)
		connection->request_bytes += (uint64_t)received;
	return received;
}

static gssize input_read_fn_(GInputStream *stream, void *buffer, size_t count,
			     GCancellable *cancellable, GError **error)
{
	(void)cancellable;
	return input_read_(stream, buffer, count, TRUE, error);
}

static gssize input_read_nonblocking_(GPollableInputStream *stream,
				      void *buffer, size_t count,
				      GError **error)
{
	return input_read_(G_INPUT_STREAM(stream), buffer, count, FALSE, error);
}

static gboolean input_is_readable_(GPollableInputStream *stream)
{
	cb_connection_t *connection =
		((connection_input_t *)stream)->connection;

	return !connection || connection->is_reading_stopped ||
	       g_socket_condition_check(connection->socket, G_IO_IN) != 0;
}

/* Creates a source that is ready when `condition` holds for the socket. */
static GSource *pollable_source_new_(GObject *stream,
				     cb_connection_t *connection,
				     GIOCondition condition,
				     GCancellable *cancellable)
{
	GSource *child =
		g_socket_create_source(connection->socket, condition, NULL);
	GSource *source =
		g_pollable_source_new_full(stream, child, cancellable);

	g_source_unref(child);
	return source;
}

static GSource *input_create_source_(GPollableInputStream *stream,
				     GCancellable *cancellable)
{
	return pollable_source_new_(G_OBJECT(stream),
				    ((connection_input_t *)stream)->connection,
				    G_IO_IN, cancellable);
}

static void input_pollable_init_(void *iface, void *data)
{
	GPollableInputStreamInterface *pollable = iface;

	(void)data;
	pollable->is_readable = input_is_readable_;
	pollable->create_source = input_create_source_;
	pollable->read_nonblocking = input_read_nonblocking_;
}

static void input_class_init_(void *klass, void *data)
{
	(void)data;
	((GInputStreamClass *)klass)->read_fn = input_read_fn_;
}

static GType input_get_type_(void)
{
	static const GInterfaceInfo pollable = { input_pollable_init_, NULL,
						 NULL };
	static size_t type;
	GType registered_type;

	if (g_once_init_enter(&type)) {
		registered_type = g_type_register_static_simple(
			G_TYPE_INPUT_STREAM, "cb_connection_input",
			sizeof(GInputStreamClass),
			(GClassInitFunc)input_class_init_,
			sizeof(connection_input_t), NULL, 0);
		g_type_add_interface_static(registered_type,
					    G_TYPE_POLLABLE_INPUT_STREAM,
					    &pollable);
		g_once_init_leave(&type, registered_type);
	}
	return type;
}

/*
 * Queues bytes to be sent in this or the next iteration of the main loop.
 * Returns how many were queued, or -1 with G_IO_ERROR_BROKEN_PIPE or
 * G_IO_ERROR_WOULD_BLOCK.
 */
static gssize output_write_(GOutputStream *stream, const void *buffer,
			    size_t count, GError **error)
{
	cb_connection_t *connection =
		((connection_output_t *)stream)->connection;

	if (!connection || connection->is_failed) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE,
				    "the connection is closed");
		return -1;
	}
	if (connection->pending->len >= MAX_PENDING_BYTES) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
				    "the peer is not reading");
		return -1;
	}
	count = MIN(count, MAX_PENDING_BYTES - connection->pending->len);
	g_byte_array_append(connection->pending, buffer, (unsigned int)count);
	connection->answer_bytes += count;
	connection_mark_dirty_(connection);
	return (gssize)count;
}

/* Bytes handed from another thread to the main loop's thread. */
typedef struct deferred_write {
	cb_connection_t *connection;
	GBytes *bytes;
} deferred_write_t;

static gboolean deferred_write_run_(void *user_data)
{
	deferred_write_t *deferred = user_data;
	size_t size_bytes;
	const char *data = g_bytes_get_data(deferred->bytes, &size_bytes);

	cb_connection_send(deferred->connection, data, size_bytes);
	return G_SOURCE_REMOVE;
}

static void deferred_write_delete_(void *data)
{
	deferred_write_t *deferred = data;

	g_object_unref(deferred->connection);
	g_bytes_unref(deferred->bytes);
	g_free(deferred);
}

/*
 * libsoup ends a chunked answer with a blocking write on a GLib worker thread.
 * The bytes are handed to the main loop's thread, the only one that may use
 * the connection; libsoup writes nothing more until this has returned.
 */
static gssize output_write_fn_(GOutputStream *stream, const void *buffer,
			       size_t count, GCancellable *cancellable,
			       GError **error)
{
	cb_connection_t *connection =
		((connection_output_t *)stream)->connection;
	deferred_write_t *deferred;

	(void)cancellable;
	(void)error;
	deferred = g_new0(deferred_write_t, 1);
	deferred->connection = g_object_ref(connection);
	deferred->bytes = g_bytes_new(buffer, count);
	g_main_context_invoke_full(connection->pool->context,
				   G_PRIORITY_DEFAULT, deferred_write_run_,
				   deferred, deferred_write_delete_);
	return (gssize)count;
}

static gssize output_write_nonblocking_(GPollableOutputStream *stream,
					const void *buffer, size_t count,
					GError **error)
{
	return output_write_(G_OUTPUT_STREAM(stream), buffer, count, error);
}

static gboolean output_is_writable_(GPollableOutputStream *stream)
{
	cb_connection_t *connection =
		((connection_output_t *)stream)->connection;

	return !connection || connection->is_failed ||
	       connection->pending->len < MAX_PENDING_BYTES;
}

static GSource *output_create_source_(GPollableOutputStream *stream,
				      GCancellable *cancellable)
{
	return pollable_source_new_(G_OBJECT(stream),
				    ((connection_output_t *)stream)->connection,
				    G_IO_OUT, cancellable);
}

static void output_pollable_init_(void *iface, void *data)
{
	GPollableOutputStreamInterface *pollable = iface;

	(void)data;
	pollable->is_writable = output_is_writable_;
	pollable->create_source = output_create_source_;
	pollable->write_nonblocking = output_write_nonblocking_;
}

static void output_class_init_(void *klass, void *data)
{
	(void)data;
	((GOutputStreamClass *)klass)->write_fn = output_write_fn_;
}

static GType output_get_type_(void)
{
	static const GInterfaceInfo pollable = { output_pollable_init_, NULL,
						 NULL };
	static size_t type;
	GType registered_type;

	if (g_once_init_enter(&type)) {
		registered_type = g_type_register_static_simple(
			G_TYPE_OUTPUT_STREAM, "cb_connection_output",
			sizeof(GOutputStreamClass),
			(GClassInitFunc)output_class_init_,
			sizeof(connection_output_t), NULL, 0);
		g_type_add_interface_static(registered_type,
					    G_TYPE_POLLABLE_OUTPUT_STREAM,
					    &pollable);
		g_once_init_leave(&type, registered_type);
	}
	return type;
}

/* Creates the connection of an accepted socket and references the socket. */
cb_connection_t *cb_connection_new(cb_connection_pool_t *pool, GSocket *socket)
{
	cb_connection_t *connection =
		g_object_new(connection_get_type_(), NULL);

	connection->pool = pool;
	connection->socket = g_object_ref(socket);
	connection->pending = g_byte_array_new();
	connection->input = g_object_new(input_get_type_(), NULL);
	connection->output = g_object_new(output_get_type_(), NULL);
	((connection_input_t *)connection->input)->connection = connection;
	((connection_output_t *)connection->output)->connection = connection;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
	g_socket_set_option(socket, SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES,
			    NULL);
	return connection;
}

/* Returns the stream for libsoup; the connection keeps ownership. */
GIOStream *cb_connection_stream(cb_connection_t *connection)
{
	return &connection->parent;
}

/* Resets the byte counts at the start of a request. */
void cb_connection_reset_counts(cb_connection_t *connection)
{
	connection->request_bytes = 0;
	connection->answer_bytes = 0;
}

/* Returns how many bytes were received since the counts were reset. */
uint64_t cb_connection_request_bytes(const cb_connection_t *connection)
{
	return connection->request_bytes;
}

/* Returns how many bytes libsoup wrote since the counts were reset. */
uint64_t cb_connection_answer_bytes(const cb_connection_t *connection)
{
	return connection->answer_bytes;
}

/* Returns how many bytes the socket has not accepted yet. */
uint64_t cb_connection_unsent_bytes(const cb_connection_t *connection)
{
	return connection->pending->len;
}

/* Makes reads return the end of the stream. */
void cb_connection_stop_reading(cb_connection_t *connection)
{
	connection->is_reading_stopped = TRUE;
	g_socket_shutdown(connection->socket, TRUE, FALSE, NULL);
}

static void peer_close_handle_(unsigned int events, void *user_data)
{
	cb_connection_t *connection = user_data;
	cb_connection_fn_t on_close = connection->on_close;

	(void)events;
	cb_connection_unwatch(connection);
	on_close(connection->on_close_data);
}

/* Calls `on_close` once when the peer closes the connection. */
void cb_connection_watch(cb_connection_t *connection,
			 cb_connection_fn_t on_close, void *user_data)
{
	cb_connection_unwatch(connection);
	connection->on_close = on_close;
	connection->on_close_data = user_data;
	connection->close_watch =
		cb_watch_new(connection->pool->poller,
			     g_socket_get_fd(connection->socket),
			     CB_WATCH_CLOSED, peer_close_handle_, connection);
}

/* Cancels cb_connection_watch(). */
void cb_connection_unwatch(cb_connection_t *connection)
{
	g_clear_pointer(&connection->close_watch, cb_watch_delete);
}

/*
 * Queues bytes without libsoup, which must have paused the message or released
 * the connection.  On a closed connection they are dropped.
 */
void cb_connection_send(cb_connection_t *connection, const char *data,
			size_t size_bytes)
{
	if (connection->is_failed || connection->linger_source)
		return;
	g_byte_array_append(connection->pending, (const uint8_t *)data,
			    (unsigned int)size_bytes);
	connection_mark_dirty_(connection);
}

/* Sends pending bytes at once, as many as the socket accepts. */
void cb_connection_flush(cb_connection_t *connection)
{
	if (!connection->writable_source)
		connection_flush_(connection);
}

/* Queues bytes as one chunk of a chunked body. */
void cb_connection_send_chunk(cb_connection_t *connection, const char *data,
			      size_t size_bytes)
{
	char size_line[CHUNK_SIZE_LINE_BYTES];
	int size_line_bytes =
		g_snprintf(size_line, sizeof(size_line), "%zx\r\n", size_bytes);

	cb_connection_send(connection, size_line, (size_t)size_line_bytes);
	cb_connection_send(connection, data, size_bytes);
	cb_connection_send(connection, "\r\n", 2);
}

/* Closes the connection at once; pending bytes are lost. */
void cb_connection_abort(cb_connection_t *connection)
{
	g_object_ref(connection);
	socket_close_(connection);
	g_object_unref(connection);
}
