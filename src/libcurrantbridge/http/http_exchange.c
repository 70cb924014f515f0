#include "private/http_exchange.h"

#include <string.h>

#include "private/poller.h"

#define MAX_CONNECTIONS 65536
/* Well below the idle timeouts of firewalls and NAT devices. */
#define CONNECTION_IDLE_TIMEOUT_S 20
#define READ_BYTES 16384
/* Maximum number of reads of one answer in one main loop iteration. */
#define MAX_READS_PER_DISPATCH 8
#define MAX_LINE_BYTES (1024 * 1024)
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)
/* Empty lines of an answer beyond this many in a row end the exchange. */
#define MAX_EMPTY_LINES 4096
/* Interim answers (1xx) before an answer beyond this many end the exchange. */
#define MAX_INTERIM_ANSWERS 64

struct cb_http_client {
	SoupSession *session;
	/* Set of the cb_exchange_t in progress, not owned. */
	GHashTable *open_exchanges;
	cb_http_read_hooks_t read_hooks;
	cb_poller_t *poller;
	uint8_t read_buffer[READ_BYTES];
};

struct cb_exchange {
	cb_http_client_t *client;
	SoupMessage *message;
	GCancellable *cancellable;
	cb_http_listener_t listener;
	void *user_data;
	/* Whether bytes of the request may have been sent. */
	gboolean is_request_started;
	/* Whether send_finish_() has not been called yet. */
	gboolean is_sending;
	GInputStream *stream; /* body of the answer, NULL before its headers */
	GSocket *socket; /* socket of a new connection; NULL on a reused one */
	cb_watch_t *socket_watch; /* watches `socket`; unused if that is NULL */
	GSource *readable_source; /* watches `stream` if `socket` is NULL */
	/* Bytes of the answer received but not delivered as lines. */
	GByteArray *received;
	/* Length of the beginning of `received` that contains no newline. */
	size_t scanned_bytes;
	unsigned int empty_line_count; /* since the last line delivered */
	unsigned int interim_count;
	/* Whether a callback of the listener may be running. */
	gboolean is_dispatching;
	gboolean is_ended;
};

/*
 * Creates a client that uses no proxy.  Its exchanges have no timeout, so
 * whoever starts one has to cancel it.  `read_hooks` may be NULL.
 */
cb_http_client_t *cb_http_client_new(const cb_http_read_hooks_t *read_hooks)
{
	cb_http_client_t *client = g_new0(cb_http_client_t, 1);

	if (read_hooks)
		client->read_hooks = *read_hooks;
	client->poller = cb_poller_new(g_main_context_get_thread_default());
	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS, "timeout", 0, "idle-timeout",
		CONNECTION_IDLE_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	client->open_exchanges = g_hash_table_new(NULL, NULL);
	return client;
}

/* An exchange without input or output for `timeout_s` fails.  0: no timeout. */
void cb_http_client_set_io_timeout(cb_http_client_t *client,
				   unsigned int timeout_s)
{
	soup_session_set_timeout(client->session, timeout_s);
}

/* Frees everything that is not needed after the end of the exchange. */
static void exchange_release_(cb_exchange_t *exchange)
{
	if (exchange->readable_source) {
		g_source_destroy(exchange->readable_source);
		g_source_unref(exchange->readable_source);
		exchange->readable_source = NULL;
	}
	g_clear_pointer(&exchange->socket_watch, cb_watch_delete);
	g_clear_object(&exchange->stream);
	g_clear_object(&exchange->socket);
	if (exchange->listener.user_data_free)
		exchange->listener.user_data_free(exchange->listener.user_data);
	memset(&exchange->listener, 0, sizeof(exchange->listener));
}

/* Frees an ended exchange unless libsoup or a calling function uses it. */
static void exchange_free_if_unused_(cb_exchange_t *exchange)
{
	if (!exchange->is_ended || exchange->is_sending ||
	    exchange->is_dispatching)
		return;
	if (exchange->client)
		g_hash_table_remove(exchange->client->open_exchanges, exchange);
	if (exchange->message)
		g_signal_handlers_disconnect_by_data(exchange->message,
						     exchange);
	g_clear_object(&exchange->message);
	g_object_unref(exchange->cancellable);
	g_byte_array_unref(exchange->received);
	g_free(exchange);
}

/*
 * Ends an exchange without a call of `done`; closes the connection if the
 * answer is only partly received.
 */
static void exchange_drop_(cb_exchange_t *exchange)
{
	if (exchange->is_ended)
		return;
	exchange->is_ended = TRUE;
	g_cancellable_cancel(exchange->cancellable);
	exchange_release_(exchange);
	exchange_free_if_unused_(exchange);
}

/*
 * Deletes the client and ends its open exchanges without a call of `done`.
 * NULL is allowed.
 */
void cb_http_client_delete(cb_http_client_t *client)
{
	GList *open;
	GList *item;

	if (!client)
		return;
	open = g_hash_table_get_keys(client->open_exchanges);
	for (item = open; item; item = item->next) {
		cb_exchange_t *exchange = item->data;

		exchange->client = NULL;
		exchange_drop_(exchange);
	}
	g_list_free(open);
	g_hash_table_unref(client->open_exchanges);
	soup_session_abort(client->session);
	g_object_unref(client->session);
	cb_poller_delete(client->poller);
	g_free(client);
}

static void exchange_end_(cb_exchange_t *exchange, cb_failure_t failure)
{
	cb_http_listener_t listener = exchange->listener;
	cb_http_answer_t answer = { 0 };

	if (exchange->is_ended)
		return;
	exchange->is_ended = TRUE;
	exchange->is_dispatching = TRUE;
	exchange->listener.user_data_free = NULL;
	exchange_release_(exchange);
	if (failure != CB_FAILURE_NONE) {
		g_cancellable_cancel(exchange->cancellable);
		listener.done(listener.user_data, failure, NULL);
	} else {
		answer.status = soup_message_get_status(exchange->message);
		answer.content_type = soup_message_headers_get_one(
			soup_message_get_response_headers(exchange->message),
			"Content-Type");
		answer.body = g_bytes_new(exchange->received->data,
					  exchange->received->len);
		listener.done(listener.user_data, failure, &answer);
		g_bytes_unref(answer.body);
	}
	exchange->is_dispatching = FALSE;
	if (exchange->is_ended && listener.user_data_free)
		listener.user_data_free(listener.user_data);
	exchange_free_if_unused_(exchange);
}

/* Delivers the complete lines among the bytes received so far. */
static cb_failure_t lines_deliver_(cb_exchange_t *exchange)
{
	GByteArray *received = exchange->received;
	size_t start = 0;
	uint8_t *end;

	while (!exchange->is_ended && received->len > exchange->scanned_bytes &&
	       (end = memchr(received->data + exchange->scanned_bytes, '\n',
			     received->len - exchange->scanned_bytes))) {
		const char *line = (const char *)received->data + start;
		size_t next = (size_t)(end - received->data) + 1;
		size_t size_bytes = next - 1 - start;

		*end = '\0';
		start = next;
		exchange->scanned_bytes = next;
		if (size_bytes == 0) {
			if (++exchange->empty_line_count > MAX_EMPTY_LINES)
				return CB_FAILURE_MISMATCH;
			continue;
		}
		exchange->empty_line_count = 0;
		if (!exchange->listener.line(exchange->listener.user_data, line,
					     size_bytes))
			return CB_FAILURE_MISMATCH;
	}
	if (start > 0)
		g_byte_array_remove_range(received, 0, (unsigned int)start);
	exchange->scanned_bytes = received->len;
	return received->len > MAX_LINE_BYTES ? CB_FAILURE_MISMATCH :
						CB_FAILURE_NONE;
}

/* Delivers the complete lines between the hooks of the client. */
static cb_failure_t lines_deliver_with_hooks_(cb_exchange_t *exchange)
{
	cb_http_client_t *client = exchange->client;
	cb_http_read_hooks_t read_hooks = client->read_hooks;
	cb_failure_t failure;

	if (read_hooks.begin)
		read_hooks.begin(read_hooks.user_data);
	failure = lines_deliver_(exchange);
	if (read_hooks.end)
		read_hooks.end(read_hooks.user_data);
	return failure;
}

typedef enum read_outcome {
	READ_MORE,  /* bytes were read; there may be more */
	READ_BLOCK, /* no bytes are available now */
	READ_END,   /* end of the answer, or a failure */
} read_outcome_t;

/* Reads once without blocking; sets `failure` on failure. */
static read_outcome_t answer_read_once_(cb_exchange_t *exchange,
					cb_failure_t *failure)
{
	GByteArray *received = exchange->received;
	uint8_t *read_buffer = exchange->client->read_buffer;
	GError *error = NULL;
	read_outcome_t outcome = READ_END;
	gssize count;

	count = g_pollable_input_stream_read_nonblocking(
		G_POLLABLE_INPUT_STREAM(exchange->stream), read_buffer,
		READ_BYTES, NULL, &error);
	if (count > 0) {
		g_byte_array_append(received, read_buffer, (unsigned int)count);
		if (received->len <= MAX_ANSWER_BYTES)
			return READ_MORE;
		*failure = CB_FAILURE_MISMATCH;
	} else if (count < 0 &&
		   g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		outcome = READ_BLOCK;
	} else if (count < 0) {
		*failure = CB_FAILURE_LOST;
	}
	g_clear_error(&error);
	return outcome;
}

/*
 * Reads the available bytes, up to a limit.  Bytes that libsoup has already
 * buffered do not make the socket readable, so the rest is read in the next
 * iteration of the main loop without waiting for the socket.
 */
static read_outcome_t answer_read_(cb_exchange_t *exchange,
				   cb_failure_t *failure)
{
	read_outcome_t outcome = READ_MORE;
	int reads;

	if (!exchange->socket)
		return answer_read_once_(exchange, failure);
	for (reads = 0; reads < MAX_READS_PER_DISPATCH && outcome == READ_MORE;
	     reads++)
		outcome = answer_read_once_(exchange, failure);
	if (outcome == READ_MORE)
		cb_watch_schedule_call(exchange->socket_watch);
	return outcome;
}

/* Reads and delivers the available bytes; FALSE if the exchange has ended. */
static gboolean answer_process_(cb_exchange_t *exchange)
{
	cb_failure_t failure = CB_FAILURE_NONE;
	gboolean is_by_lines =
		exchange->listener.line &&
		soup_message_get_status(exchange->message) == SOUP_STATUS_OK;
	read_outcome_t outcome;
	cb_failure_t lines_failure;

	exchange->is_dispatching = TRUE;
	outcome = answer_read_(exchange, &failure);
	/* Lines received before the connection was lost are still valid. */
	if (is_by_lines && failure != CB_FAILURE_MISMATCH) {
		lines_failure = lines_deliver_with_hooks_(exchange);
		failure = lines_failure == CB_FAILURE_NONE ? failure :
							     lines_failure;
	}
	exchange->is_dispatching = FALSE;
	if (exchange->is_ended) {
		exchange_free_if_unused_(exchange);
		return FALSE;
	}
	if (outcome != READ_END && failure == CB_FAILURE_NONE)
		return TRUE;
	exchange_end_(exchange, failure);
	return FALSE;
}

static gboolean stream_readable_handle_(GObject *stream, void *user_data)
{
	(void)stream;
	return answer_process_(user_data);
}

static void socket_readable_handle_(unsigned int events, void *user_data)
{
	(void)events;
	answer_process_(user_data);
}

/*
 * Waits for the answer's body.  Watching the socket itself costs a fraction
 * of the source that libsoup's stream creates, which contains a further
 * source for each layer of streams.
 */
static void answer_watch_(cb_exchange_t *exchange)
{
	if (exchange->socket) {
		exchange->socket_watch =
			cb_watch_new(exchange->client->poller,
				     g_socket_get_fd(exchange->socket),
				     CB_WATCH_READABLE, socket_readable_handle_,
				     exchange);
		cb_watch_schedule_call(exchange->socket_watch);
		return;
	}
	exchange->readable_source = g_pollable_input_stream_create_source(
		G_POLLABLE_INPUT_STREAM(exchange->stream), NULL);
	g_source_set_callback(exchange->readable_source,
			      G_SOURCE_FUNC(stream_readable_handle_), exchange,
			      NULL);
	g_source_attach(exchange->readable_source,
			g_main_context_get_thread_default());
}

static void send_finish_(GObject *session, GAsyncResult *result,
			 void *user_data)
{
	cb_exchange_t *exchange = user_data;
	GError *error = NULL;

	exchange->is_sending = FALSE;
	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(session), result, &error);
	if (exchange->is_ended) {
		g_clear_object(&exchange->stream);
		g_clear_error(&error);
		exchange_free_if_unused_(exchange);
		return;
	}
	if (!exchange->stream) {
		g_error_free(error);
		exchange_end_(exchange, exchange->is_request_started ?
						CB_FAILURE_LOST :
						CB_FAILURE_CONNECT);
		return;
	}
	answer_watch_(exchange);
}

static void request_started_record_(SoupMessage *message, void *user_data)
{
	cb_exchange_t *exchange = user_data;

	(void)message;
	exchange->is_request_started = TRUE;
}

/* Counts the interim answers; a server that only sends those is given up. */
static void interim_answer_count_(SoupMessage *message, void *user_data)
{
	cb_exchange_t *exchange = user_data;

	(void)message;
	if (++exchange->interim_count > MAX_INTERIM_ANSWERS)
		g_cancellable_cancel(exchange->cancellable);
}

/* Records the socket of a connection that was opened for this exchange. */
static void socket_record_(SoupMessage *message, GSocketClientEvent event,
			   GIOStream *connection, void *user_data)
{
	cb_exchange_t *exchange = user_data;

	(void)message;
	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(connection))
		return;
	g_set_object(&exchange->socket,
		     g_socket_connection_get_socket(
			     G_SOCKET_CONNECTION(connection)));
}

/* Ends an exchange whose address and path do not form a valid URI. */
static gboolean unsendable_exchange_end_(void *user_data)
{
	exchange_end_(user_data, CB_FAILURE_CONNECT);
	return G_SOURCE_REMOVE;
}

static void exchange_send_(cb_exchange_t *exchange,
			   const cb_http_request_t *request)
{
	char *uri =
		g_strdup_printf("http://%s%s", request->address, request->path);
	SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT;

	exchange->message = soup_message_new(request->method, uri);
	g_free(uri);
	if (!exchange->message) {
		exchange->readable_source = g_idle_source_new();
		g_source_set_priority(exchange->readable_source,
				      G_PRIORITY_DEFAULT);
		g_source_set_callback(exchange->readable_source,
				      unsendable_exchange_end_, exchange, NULL);
		g_source_attach(exchange->readable_source,
				g_main_context_get_thread_default());
		return;
	}
	if (request->connection == CB_HTTP_CONNECTION_NEW)
		flags |= SOUP_MESSAGE_NEW_CONNECTION;
	else
		flags |= SOUP_MESSAGE_IDEMPOTENT;
	soup_message_set_flags(exchange->message, flags);
	if (request->body)
		soup_message_set_request_body_from_bytes(exchange->message,
							 request->content_type,
							 request->body);
	g_signal_connect(exchange->message, "starting",
			 G_CALLBACK(request_started_record_), exchange);
	g_signal_connect(exchange->message, "got-informational",
			 G_CALLBACK(interim_answer_count_), exchange);
	if (request->connection == CB_HTTP_CONNECTION_NEW)
		g_signal_connect(exchange->message, "network-event",
				 G_CALLBACK(socket_record_), exchange);
	exchange->is_sending = TRUE;
	soup_session_send_async(exchange->client->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				send_finish_, exchange);
}

/*
 * Starts an exchange.  Its `done` is never called before this returns.
 * libsoup resends a request that failed on a reused connection if its method
 * is idempotent, such as GET or PUT: a request that must not be sent twice
 * needs a new connection.
 */
cb_exchange_t *cb_http_exchange_start(cb_http_client_t *client,
				      const cb_http_request_t *request,
				      const cb_http_listener_t *listener)
{
	cb_exchange_t *exchange = g_new0(cb_exchange_t, 1);

	exchange->client = client;
	exchange->listener = *listener;
	exchange->user_data = listener->user_data;
	exchange->cancellable = g_cancellable_new();
	exchange->received = g_byte_array_new();
	g_hash_table_add(client->open_exchanges, exchange);
	exchange_send_(exchange, request);
	return exchange;
}

/*
 * Sends a further request in the same exchange.  May be called only from
 * within `done`, after an answer; `listener` must have the same user data as
 * before.
 */
void cb_http_exchange_continue(cb_exchange_t *exchange,
			       const cb_http_request_t *request,
			       const cb_http_listener_t *listener)
{
	g_assert(exchange->is_ended && exchange->is_dispatching);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_clear_object(&exchange->message);
	g_clear_object(&exchange->socket);
	g_byte_array_set_size(exchange->received, 0);
	exchange->scanned_bytes = 0;
	exchange->empty_line_count = 0;
	exchange->interim_count = 0;
	exchange->is_request_started = FALSE;
	exchange->is_ended = FALSE;
	exchange->listener = *listener;
	exchange_send_(exchange, request);
}

/* Returns the user data of the exchange's listener. */
void *cb_http_exchange_user_data(cb_exchange_t *exchange)
{
	return exchange->user_data;
}

/*
 * Returns the request's headers, to which the caller may add right after the
 * start; NULL if the request's address and path form no valid URI.
 */
SoupMessageHeaders *cb_http_exchange_headers(cb_exchange_t *exchange)
{
	return exchange->message ?
		       soup_message_get_request_headers(exchange->message) :
		       NULL;
}

/* Ends an exchange without a call of `done` and closes its connection. */
void cb_http_exchange_cancel(cb_exchange_t *exchange)
{
	exchange_drop_(exchange);
}
