#include "private/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "private/poller.h"

/* What may wait for the socket before libsoup is told to wait itself. */
#define MAX_PENDING_BYTES 65536
/* Bounds what the machine holds for an end that does not read. */
#define SEND_BUFFER_BYTES 65536
/* How long a closed connection may take to read the last answer. */
#define LINGER_MS 2000
#define LINGER_READ_BYTES 16384
#define CHUNK_HEAD_BYTES 24

struct cb_connection_pool {
	GMainContext *context;
	cb_clock_t *clock;
	cb_poller_t *poller;
	GSource *flush; /* ready while a connection has bytes to send */
	GPtrArray *dirty;
	GPtrArray *spare; /* an empty array, for the next turn */
	gboolean is_in_turn;
	GPtrArray *lingering;
	cb_connection_fn_t idle;
	void *idle_data;
};

struct cb_connection {
	GIOStream parent;
	cb_connection_pool_t *pool;
	GSocket *socket;
	GInputStream *input;
	GOutputStream *output;
	GByteArray *pending;
	GSource *writable; /* waits for the socket to take more */
	gboolean is_dirty;
	gboolean is_broken;
	gboolean is_reading_stopped;
	uint64_t request_bytes;
	uint64_t answer_bytes;
	cb_watch_t *hangup;
	cb_connection_fn_t gone;
	void *gone_data;
	gboolean is_lingering;
	GSource *drained;
	cb_timer_t *linger_timer;
};

/* The two ends of a connection; each knows its connection, without a ref. */
typedef struct connection_input {
	GInputStream parent;
	cb_connection_t *connection;
} connection_input_t;

typedef struct connection_output {
	GOutputStream parent;
	cb_connection_t *connection;
} connection_output_t;

static GType connection_type_(void);
static GType input_type_(void);
static GType output_type_(void);

static void source_clear_(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

static void flush_(cb_connection_t *connection);

static gboolean writable_(GSocket *socket, GIOCondition condition,
			  void *user_data)
{
	cb_connection_t *connection = user_data;

	(void)socket;
	(void)condition;
	source_clear_(&connection->writable);
	flush_(connection);
	return G_SOURCE_REMOVE;
}

static void wait_writable_(cb_connection_t *connection)
{
	if (connection->writable)
		return;
	connection->writable =
		g_socket_create_source(connection->socket, G_IO_OUT, NULL);
	g_source_set_callback(connection->writable, G_SOURCE_FUNC(writable_),
			      connection, NULL);
	g_source_attach(connection->writable, connection->pool->context);
}

static void linger_begin_(cb_connection_t *connection);

/* Sends what waits, as far as the socket takes it. */
static void flush_(cb_connection_t *connection)
{
	GByteArray *pending = connection->pending;
	GError *error = NULL;
	gssize count;

	if (connection->is_broken || pending->len == 0)
		goto out;
	count = g_socket_send_with_blocking(connection->socket,
					    (const char *)pending->data,
					    pending->len, FALSE, NULL, &error);
	if (count >= 0)
		g_byte_array_remove_range(pending, 0, (unsigned int)count);
	else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		connection->is_broken = TRUE;
	g_clear_error(&error);
	if (pending->len > 0 && !connection->is_broken) {
		wait_writable_(connection);
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

	pool->dirty = pool->spare;
	pool->spare = NULL;
	if (!pool->dirty)
		pool->dirty = g_ptr_array_new_with_free_func(g_object_unref);
	for (i = 0; i < dirty->len; i++) {
		cb_connection_t *connection = g_ptr_array_index(dirty, i);

		connection->is_dirty = FALSE;
		flush_(connection);
	}
	g_ptr_array_set_size(dirty, 0);
	if (pool->spare)
		g_ptr_array_unref(dirty);
	else
		pool->spare = dirty;
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

/* Stands for the callback that the source's dispatch is given the pool by. */
static gboolean flush_unused_(void *user_data)
{
	(void)user_data;
	return G_SOURCE_CONTINUE;
}

/* Makes what the connections of a server share. */
cb_connection_pool_t *cb_connection_pool_new(GMainContext *context,
					     cb_clock_t *clock)
{
	cb_connection_pool_t *pool = g_new0(cb_connection_pool_t, 1);

	pool->context = context;
	pool->clock = clock;
	pool->poller = cb_poller_new(context);
	pool->dirty = g_ptr_array_new_with_free_func(g_object_unref);
	pool->lingering = g_ptr_array_new_with_free_func(g_object_unref);
	pool->flush = g_source_new(&flush_funcs, sizeof(GSource));
	g_source_set_callback(pool->flush, flush_unused_, pool, NULL);
	g_source_set_ready_time(pool->flush, -1);
	g_source_attach(pool->flush, context);
	return pool;
}

/* Deletes the pool after its server; what lingers is closed. */
void cb_connection_pool_delete(cb_connection_pool_t *pool)
{
	if (!pool)
		return;
	pool->idle = NULL;
	while (pool->lingering->len > 0)
		cb_connection_abort(g_ptr_array_index(pool->lingering, 0));
	g_ptr_array_unref(pool->lingering);
	g_ptr_array_unref(pool->dirty);
	g_clear_pointer(&pool->spare, g_ptr_array_unref);
	source_clear_(&pool->flush);
	cb_poller_delete(pool->poller);
	g_free(pool);
}

/*
 * Brackets work that writes to connections: their bytes are sent at its end
 * rather than in the next turn of the loop.
 */
void cb_connection_pool_turn_begin(cb_connection_pool_t *pool)
{
	pool->is_in_turn = TRUE;
}

/* Ends cb_connection_pool_turn_begin(). */
void cb_connection_pool_turn_end(cb_connection_pool_t *pool)
{
	pool->is_in_turn = FALSE;
	if (pool->dirty->len > 0)
		pool_flush_(pool);
}

/* Calls `idle` once no connection lingers that was closed before. */
void cb_connection_pool_wait(cb_connection_pool_t *pool,
			     cb_connection_fn_t idle, void *user_data)
{
	pool->idle = idle;
	pool->idle_data = user_data;
	if (pool->lingering->len == 0)
		idle(user_data);
}

static void mark_dirty_(cb_connection_t *connection)
{
	cb_connection_pool_t *pool = connection->pool;

	if (connection->is_dirty || connection->writable)
		return;
	connection->is_dirty = TRUE;
	if (pool->dirty->len == 0 && !pool->is_in_turn)
		g_source_set_ready_time(pool->flush, 0);
	g_ptr_array_add(pool->dirty, g_object_ref(connection));
}

/* Closes the socket and forgets what waits for it. */
static void socket_close_(cb_connection_t *connection)
{
	gboolean is_lingering = connection->is_lingering;
	cb_connection_pool_t *pool = connection->pool;

	connection->is_broken = TRUE;
	connection->is_lingering = FALSE;
	cb_connection_unwatch(connection);
	source_clear_(&connection->writable);
	source_clear_(&connection->drained);
	g_clear_pointer(&connection->linger_timer, cb_timer_delete);
	g_socket_close(connection->socket, NULL);
	if (!is_lingering)
		return;
	g_ptr_array_remove(pool->lingering, connection);
	if (pool->idle && pool->lingering->len == 0)
		pool->idle(pool->idle_data);
}

/* Reads and drops what the other end still sends, until it closes too. */
static gboolean linger_read_(GSocket *socket, GIOCondition condition,
			     void *user_data)
{
	char dropped[LINGER_READ_BYTES];
	GError *error = NULL;
	gssize count =
		g_socket_receive_with_blocking(socket, dropped, sizeof(dropped),
					       FALSE, NULL, &error);
	gboolean goes_on = count > 0 || g_error_matches(error, G_IO_ERROR,
							G_IO_ERROR_WOULD_BLOCK);

	(void)condition;
	g_clear_error(&error);
	if (goes_on)
		return G_SOURCE_CONTINUE;
	socket_close_(user_data);
	return G_SOURCE_REMOVE;
}

/* The last answer is with the socket: waits for the other end to have it. */
static void linger_begin_(cb_connection_t *connection)
{
	if (connection->is_broken) {
		socket_close_(connection);
		return;
	}
	if (connection->drained)
		return;
	g_socket_shutdown(connection->socket, FALSE, TRUE, NULL);
	connection->drained =
		g_socket_create_source(connection->socket, G_IO_IN, NULL);
	g_source_set_callback(connection->drained, G_SOURCE_FUNC(linger_read_),
			      connection, NULL);
	g_source_attach(connection->drained, connection->pool->context);
}

static void linger_over_(void *user_data)
{
	socket_close_(user_data);
}

static gboolean close_(void *user_data)
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
		cb_timer_new(pool->clock, linger_over_, connection);
	cb_timer_start(connection->linger_timer, LINGER_MS);
	mark_dirty_(connection);
	return G_SOURCE_REMOVE;
}

/* libsoup closes the connection: what waits is still sent. */
static gboolean connection_close_(GIOStream *stream, GCancellable *cancellable,
				  GError **error)
{
	cb_connection_t *connection = (cb_connection_t *)stream;

	(void)cancellable;
	(void)error;
	g_main_context_invoke_full(connection->pool->context,
				   G_PRIORITY_DEFAULT, close_,
				   g_object_ref(connection), g_object_unref);
	return TRUE;
}

static GInputStream *connection_input_(GIOStream *stream)
{
	return ((cb_connection_t *)stream)->input;
}

static GOutputStream *connection_output_(GIOStream *stream)
{
	return ((cb_connection_t *)stream)->output;
}

static void connection_finalize_(GObject *object)
{
	cb_connection_t *connection = (cb_connection_t *)object;

	cb_watch_delete(connection->hangup);
	source_clear_(&connection->writable);
	source_clear_(&connection->drained);
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
	stream_class->get_input_stream = connection_input_;
	stream_class->get_output_stream = connection_output_;
	stream_class->close_fn = connection_close_;
}

static GType connection_type_(void)
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

/* Makes a source that is ready when the socket is. */
static GSource *pollable_source_(GObject *stream, cb_connection_t *connection,
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

static GSource *input_source_(GPollableInputStream *stream,
			      GCancellable *cancellable)
{
	return pollable_source_(G_OBJECT(stream),
				((connection_input_t *)stream)->connection,
				G_IO_IN, cancellable);
}

static void input_pollable_init_(void *iface, void *data)
{
	GPollableInputStreamInterface *pollable = iface;

	(void)data;
	pollable->is_readable = input_is_readable_;
	pollable->create_source = input_source_;
	pollable->read_nonblocking = input_read_nonblocking_;
}

static void input_class_init_(void *klass, void *data)
{
	(void)data;
	((GInputStreamClass *)klass)->read_fn = input_read_fn_;
}

static GType input_type_(void)
{
	static const GInterfaceInfo pollable = { input_pollable_init_, NULL,
						 NULL };
	static size_t type;
	GType added;

	if (g_once_init_enter(&type)) {
		added = g_type_register_static_simple(
			G_TYPE_INPUT_STREAM, "cb_connection_input",
			sizeof(GInputStreamClass),
			(GClassInitFunc)input_class_init_,
			sizeof(connection_input_t), NULL, 0);
		g_type_add_interface_static(added, G_TYPE_POLLABLE_INPUT_STREAM,
					    &pollable);
		g_once_init_leave(&type, added);
	}
	return type;
}

/* Takes bytes to be sent at the end of this turn of the loop. */
static gssize output_write_(GOutputStream *stream, const void *buffer,
			    size_t count, GError **error)
{
	cb_connection_t *connection =
		((connection_output_t *)stream)->connection;

	if (!connection || connection->is_broken) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE,
				    "the connection is closed");
		return -1;
	}
	if (connection->pending->len >= MAX_PENDING_BYTES) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
				    "the other end does not read");
		return -1;
	}
	count = MIN(count, MAX_PENDING_BYTES - connection->pending->len);
	g_byte_array_append(connection->pending, buffer, (unsigned int)count);
	connection->answer_bytes += count;
	mark_dirty_(connection);
	return (gssize)count;
}

/* Bytes on their way to the loop's thread. */
typedef struct late_write {
	cb_connection_t *connection;
	GBytes *bytes;
} late_write_t;

static gboolean late_write_(void *user_data)
{
	late_write_t *late = user_data;
	size_t size_bytes;
	const char *data = g_bytes_get_data(late->bytes, &size_bytes);

	cb_connection_send(late->connection, data, size_bytes);
	return G_SOURCE_REMOVE;
}

static void late_write_delete_(void *data)
{
	late_write_t *late = data;

	g_object_unref(late->connection);
	g_bytes_unref(late->bytes);
	g_free(late);
}

/*
 * libsoup ends a chunked answer from a thread of GLib's, with a write that
 * may block.  The bytes are handed to the loop, which alone touches the
 * connection; libsoup writes nothing more until this has returned.
 */
static gssize output_write_fn_(GOutputStream *stream, const void *buffer,
			       size_t count, GCancellable *cancellable,
			       GError **error)
{
	cb_connection_t *connection =
		((connection_output_t *)stream)->connection;
	late_write_t *late;

	(void)cancellable;
	(void)error;
	late = g_new0(late_write_t, 1);
	late->connection = g_object_ref(connection);
	late->bytes = g_bytes_new(buffer, count);
	g_main_context_invoke_full(connection->pool->context,
				   G_PRIORITY_DEFAULT, late_write_, late,
				   late_write_delete_);
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

	return !connection || connection->is_broken ||
	       connection->pending->len < MAX_PENDING_BYTES;
}

static GSource *output_source_(GPollableOutputStream *stream,
			       GCancellable *cancellable)
{
	return pollable_source_(G_OBJECT(stream),
				((connection_output_t *)stream)->connection,
				G_IO_OUT, cancellable);
}

static void output_pollable_init_(void *iface, void *data)
{
	GPollableOutputStreamInterface *pollable = iface;

	(void)data;
	pollable->is_writable = output_is_writable_;
	pollable->create_source = output_source_;
	pollable->write_nonblocking = output_write_nonblocking_;
}

static void output_class_init_(void *klass, void *data)
{
	(void)data;
	((GOutputStreamClass *)klass)->write_fn = output_write_fn_;
}

static GType output_type_(void)
{
	static const GInterfaceInfo pollable = { output_pollable_init_, NULL,
						 NULL };
	static size_t type;
	GType added;

	if (g_once_init_enter(&type)) {
		added = g_type_register_static_simple(
			G_TYPE_OUTPUT_STREAM, "cb_connection_output",
			sizeof(GOutputStreamClass),
			(GClassInitFunc)output_class_init_,
			sizeof(connection_output_t), NULL, 0);
		g_type_add_interface_static(added,
					    G_TYPE_POLLABLE_OUTPUT_STREAM,
					    &pollable);
		g_once_init_leave(&type, added);
	}
	return type;
}

/* Makes the stream of an accepted socket, which is referenced. */
cb_connection_t *cb_connection_new(cb_connection_pool_t *pool, GSocket *socket)
{
	cb_connection_t *connection = g_object_new(connection_type_(), NULL);

	connection->pool = pool;
	connection->socket = g_object_ref(socket);
	connection->pending = g_byte_array_new();
	connection->input = g_object_new(input_type_(), NULL);
	connection->output = g_object_new(output_type_(), NULL);
	((connection_input_t *)connection->input)->connection = connection;
	((connection_output_t *)connection->output)->connection = connection;
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
	g_socket_set_option(socket, SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES,
			    NULL);
	return connection;
}

/* Returns the stream that libsoup is given. */
GIOStream *cb_connection_stream(cb_connection_t *connection)
{
	return &connection->parent;
}

/* Begins to count the bytes of the next request. */
void cb_connection_request_starts(cb_connection_t *connection)
{
	connection->request_bytes = 0;
	connection->answer_bytes = 0;
}

/* Returns how many bytes came since the request was started. */
uint64_t cb_connection_request_bytes(const cb_connection_t *connection)
{
	return connection->request_bytes;
}

/* Returns how many bytes of the request's answer were written. */
uint64_t cb_connection_answer_bytes(const cb_connection_t *connection)
{
	return connection->answer_bytes;
}

/* Returns how many bytes wait for the socket. */
uint64_t cb_connection_unsent_bytes(const cb_connection_t *connection)
{
	return connection->pending->len;
}

/* Has the reader find the end of the stream. */
void cb_connection_stop_reading(cb_connection_t *connection)
{
	connection->is_reading_stopped = TRUE;
	g_socket_shutdown(connection->socket, TRUE, FALSE, NULL);
}

static void hung_up_(unsigned int events, void *user_data)
{
	cb_connection_t *connection = user_data;
	cb_connection_fn_t gone = connection->gone;

	(void)events;
	cb_connection_unwatch(connection);
	gone(connection->gone_data);
}

/* Calls `gone` once when the other end closes the connection. */
void cb_connection_watch(cb_connection_t *connection, cb_connection_fn_t gone,
			 void *user_data)
{
	cb_connection_unwatch(connection);
	connection->gone = gone;
	connection->gone_data = user_data;
	connection->hangup =
		cb_watch_new(connection->pool->poller,
			     g_socket_get_fd(connection->socket),
			     CB_WATCH_CLOSED, hung_up_, connection);
}

/* Ends cb_connection_watch(). */
void cb_connection_unwatch(cb_connection_t *connection)
{
	g_clear_pointer(&connection->hangup, cb_watch_delete);
}

/*
 * Sends bytes past libsoup, which must have paused or given the connection
 * up.  On a connection that is closed already they are dropped.
 */
void cb_connection_send(cb_connection_t *connection, const char *data,
			size_t size_bytes)
{
	if (connection->is_broken || connection->drained)
		return;
	g_byte_array_append(connection->pending, (const uint8_t *)data,
			    (unsigned int)size_bytes);
	mark_dirty_(connection);
}

/* Sends what waits now, as far as the socket takes it. */
void cb_connection_flush(cb_connection_t *connection)
{
	if (!connection->writable)
		flush_(connection);
}

/* Sends bytes as one chunk of a chunked body. */
void cb_connection_send_chunk(cb_connection_t *connection, const char *data,
			      size_t size_bytes)
{
	char head[CHUNK_HEAD_BYTES];
	int head_bytes = g_snprintf(head, sizeof(head), "%zx\r\n", size_bytes);

	cb_connection_send(connection, head, (size_t)head_bytes);
	cb_connection_send(connection, data, size_bytes);
	cb_connection_send(connection, "\r\n", 2);
}

/* Closes the connection at once, whatever waits. */
void cb_connection_abort(cb_connection_t *connection)
{
	g_object_ref(connection);
	socket_close_(connection);
	g_object_unref(connection);
}
