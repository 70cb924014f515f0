#include "private/http_exchange.h"

#include <string.h>

#include "private/poller.h"

#define MAX_CONNECTIONS 65536
/* Well under what middle boxes keep an idle connection for. */
#define IDLE_TIMEOUT_S 20
#define READ_BYTES 16384
/* Of one answer in one turn of the loop. */
#define MAX_READS 8
#define MAX_LINE_BYTES (1024 * 1024)
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)

struct cb_http_client {
	SoupSession *session;
	GHashTable *open; /* set of cb_exchange_t */
	cb_http_turn_t turn;
	cb_poller_t *poller;
	uint8_t scratch[READ_BYTES];
};

struct cb_exchange {
	cb_http_client_t *client;
	SoupMessage *message;
	GCancellable *cancellable;
	cb_http_listener_t listener;
	void *user_data;
	gboolean is_begun; /* bytes of the request may have left */
	gboolean is_sending;
	GInputStream *stream;
	GSocket *socket; /* of a fresh connection */
	cb_watch_t *watch;
	GSource *readable;
	GByteArray *received;
	size_t scanned_bytes;
	gboolean is_dispatching;
	gboolean is_ended;
};

/*
 * Makes a client whose exchanges have no timeouts of their own: whoever
 * started one cancels it.  No proxy is asked for.  `turn` may be NULL.
 */
cb_http_client_t *cb_http_client_new(const cb_http_turn_t *turn)
{
	cb_http_client_t *client = g_new0(cb_http_client_t, 1);

	if (turn)
		client->turn = *turn;
	client->poller = cb_poller_new(g_main_context_get_thread_default());
	client->session =
		soup_session_new_with_options("max-conns", MAX_CONNECTIONS,
					      "max-conns-per-host",
					      MAX_CONNECTIONS, "timeout", 0,
					      "idle-timeout", IDLE_TIMEOUT_S,
					      "proxy-resolver", NULL, NULL);
	client->open = g_hash_table_new(NULL, NULL);
	return client;
}

/* Has an exchange end that nothing moves for `seconds`. */
void cb_http_client_limit_silence(cb_http_client_t *client,
				  unsigned int seconds)
{
	soup_session_set_timeout(client->session, seconds);
}

/* Frees what is not needed after the end was told. */
static void exchange_release_(cb_exchange_t *exchange)
{
	if (exchange->readable) {
		g_source_destroy(exchange->readable);
		g_source_unref(exchange->readable);
		exchange->readable = NULL;
	}
	g_clear_pointer(&exchange->watch, cb_watch_delete);
	g_clear_object(&exchange->stream);
	g_clear_object(&exchange->socket);
	if (exchange->listener.user_data_free)
		exchange->listener.user_data_free(exchange->listener.user_data);
	memset(&exchange->listener, 0, sizeof(exchange->listener));
}

/* Frees the exchange unless libsoup or a caller of ours still uses it. */
static void exchange_free_if_unused_(cb_exchange_t *exchange)
{
	if (!exchange->is_ended || exchange->is_sending ||
	    exchange->is_dispatching)
		return;
	if (exchange->client)
		g_hash_table_remove(exchange->client->open, exchange);
	if (exchange->message)
		g_signal_handlers_disconnect_by_data(exchange->message,
						     exchange);
	g_clear_object(&exchange->message);
	g_object_unref(exchange->cancellable);
	g_byte_array_unref(exchange->received);
	g_free(exchange);
}

/* Ends without a call of `done`; an unfinished answer's connection closes. */
static void exchange_drop_(cb_exchange_t *exchange)
{
	if (exchange->is_ended)
		return;
	exchange->is_ended = TRUE;
	g_cancellable_cancel(exchange->cancellable);
	exchange_release_(exchange);
	exchange_free_if_unused_(exchange);
}

/* Deletes the client; exchanges that are still open are dropped. */
void cb_http_client_delete(cb_http_client_t *client)
{
	GList *open;
	GList *item;

	if (!client)
		return;
	open = g_hash_table_get_keys(client->open);
	for (item = open; item; item = item->next) {
		cb_exchange_t *exchange = item->data;

		exchange->client = NULL;
		exchange_drop_(exchange);
	}
	g_list_free(open);
	g_hash_table_unref(client->open);
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

/* Hands out the whole lines among the bytes received so far. */
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
		if (size_bytes > 0 &&
		    !exchange->listener.line(exchange->listener.user_data, line,
					     size_bytes))
			return CB_FAILURE_MISMATCH;
	}
	if (start > 0)
		g_byte_array_remove_range(received, 0, (unsigned int)start);
	exchange->scanned_bytes = received->len;
	return received->len > MAX_LINE_BYTES ? CB_FAILURE_MISMATCH :
						CB_FAILURE_NONE;
}

/* Hands out whole lines, with what brackets such a turn. */
static cb_failure_t turn_(cb_exchange_t *exchange)
{
	cb_http_client_t *client = exchange->client;
	cb_http_turn_t turn = client->turn;
	cb_failure_t failure;

	if (turn.begin)
		turn.begin(turn.user_data);
	failure = lines_deliver_(exchange);
	if (turn.end)
		turn.end(turn.user_data);
	return failure;
}

typedef enum read_outcome {
	READ_MORE,  /* there may be more */
	READ_BLOCK, /* nothing is there now */
	READ_END,   /* the end or a failure */
} read_outcome_t;

/* Reads once, without waiting. */
static read_outcome_t answer_read_once_(cb_exchange_t *exchange,
					cb_failure_t *failure)
{
	GByteArray *received = exchange->received;
	uint8_t *scratch = exchange->client->scratch;
	GError *error = NULL;
	read_outcome_t outcome = READ_END;
	gssize count;

	count = g_pollable_input_stream_read_nonblocking(
		G_POLLABLE_INPUT_STREAM(exchange->stream), scratch, READ_BYTES,
		NULL, &error);
	if (count > 0) {
		g_byte_array_append(received, scratch, (unsigned int)count);
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
 * Reads what has come, up to a bound.  The readiness of a bare socket says
 * nothing of what libsoup has read already: what is left at the bound is
 * read in the next turn of the loop.
 */
static read_outcome_t answer_read_(cb_exchange_t *exchange,
				   cb_failure_t *failure)
{
	read_outcome_t outcome = READ_MORE;
	int reads;

	if (!exchange->socket)
		return answer_read_once_(exchange, failure);
	for (reads = 0; reads < MAX_READS && outcome == READ_MORE; reads++)
		outcome = answer_read_once_(exchange, failure);
	if (outcome == READ_MORE)
		cb_watch_call_again(exchange->watch);
	return outcome;
}

/* Reads and hands out what has come; FALSE once the exchange has ended. */
static gboolean answer_take_(cb_exchange_t *exchange)
{
	cb_failure_t failure = CB_FAILURE_NONE;
	gboolean by_lines =
		exchange->listener.line &&
		soup_message_get_status(exchange->message) == SOUP_STATUS_OK;
	read_outcome_t outcome;
	cb_failure_t lines;

	exchange->is_dispatching = TRUE;
	outcome = answer_read_(exchange, &failure);
	/* What came before a loss is the answer's all the same. */
	if (by_lines && failure != CB_FAILURE_MISMATCH) {
		lines = turn_(exchange);
		failure = lines == CB_FAILURE_NONE ? failure : lines;
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

static gboolean answer_readable_(GObject *stream, void *user_data)
{
	(void)stream;
	return answer_take_(user_data);
}

static void socket_readable_(unsigned int events, void *user_data)
{
	(void)events;
	answer_take_(user_data);
}

/*
 * A watch of the bare socket costs a fraction of the source that libsoup's
 * stream makes, which has one more within it for each layer of streams.
 */
static void readable_watch_(cb_exchange_t *exchange)
{
	if (exchange->socket) {
		exchange->watch =
			cb_watch_new(exchange->client->poller,
				     g_socket_get_fd(exchange->socket),
				     CB_WATCH_READABLE, socket_readable_,
				     exchange);
		cb_watch_call_again(exchange->watch);
		return;
	}
	exchange->readable = g_pollable_input_stream_create_source(
		G_POLLABLE_INPUT_STREAM(exchange->stream), NULL);
	g_source_set_callback(exchange->readable,
			      G_SOURCE_FUNC(answer_readable_), exchange, NULL);
	g_source_attach(exchange->readable,
			g_main_context_get_thread_default());
}

static void answer_begun_(GObject *session, GAsyncResult *result,
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
		exchange_end_(exchange, exchange->is_begun ?
						CB_FAILURE_LOST :
						CB_FAILURE_CONNECT);
		return;
	}
	readable_watch_(exchange);
}

static void request_begins_(SoupMessage *message, void *user_data)
{
	cb_exchange_t *exchange = user_data;

	(void)message;
	exchange->is_begun = TRUE;
}

/* Notes the socket of a connection that was made for this exchange. */
static void network_event_(SoupMessage *message, GSocketClientEvent event,
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

/* Ends an exchange whose address and path make no valid URI. */
static gboolean never_sent_(void *user_data)
{
	exchange_end_(user_data, CB_FAILURE_CONNECT);
	return G_SOURCE_REMOVE;
}

static void exchange_send_(cb_exchange_t *exchange,
			   const cb_http_order_t *order)
{
	char *uri = g_strdup_printf("http://%s%s", order->address, order->path);
	SoupMessageFlags flags = SOUP_MESSAGE_NO_REDIRECT;

	exchange->message = soup_message_new(order->method, uri);
	g_free(uri);
	if (!exchange->message) {
		exchange->readable = g_idle_source_new();
		g_source_set_priority(exchange->readable, G_PRIORITY_DEFAULT);
		g_source_set_callback(exchange->readable, never_sent_, exchange,
				      NULL);
		g_source_attach(exchange->readable,
				g_main_context_get_thread_default());
		return;
	}
	if (order->connection == CB_HTTP_CONNECTION_FRESH)
		flags |= SOUP_MESSAGE_NEW_CONNECTION;
	else
		flags |= SOUP_MESSAGE_IDEMPOTENT;
	soup_message_set_flags(exchange->message, flags);
	if (order->body)
		soup_message_set_request_body_from_bytes(exchange->message,
							 order->content_type,
							 order->body);
	g_signal_connect(exchange->message, "starting",
			 G_CALLBACK(request_begins_), exchange);
	if (order->connection == CB_HTTP_CONNECTION_FRESH)
		g_signal_connect(exchange->message, "network-event",
				 G_CALLBACK(network_event_), exchange);
	exchange->is_sending = TRUE;
	soup_session_send_async(exchange->client->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				answer_begun_, exchange);
}

/*
 * Starts an exchange.  Its `done` is never called before this returns.
 * libsoup repeats a request that failed on a reused connection only for
 * methods like GET and PUT: whoever may not be repeated asks for a fresh one.
 */
cb_exchange_t *cb_http_exchange_start(cb_http_client_t *client,
				      const cb_http_order_t *order,
				      const cb_http_listener_t *listener)
{
	cb_exchange_t *exchange = g_new0(cb_exchange_t, 1);

	exchange->client = client;
	exchange->listener = *listener;
	exchange->user_data = listener->user_data;
	exchange->cancellable = g_cancellable_new();
	exchange->received = g_byte_array_new();
	g_hash_table_add(client->open, exchange);
	exchange_send_(exchange, order);
	return exchange;
}

/*
 * Sends a further request under the same handle.  Only from within `done`,
 * after an answer; `listener` has the user data of the one before.
 */
void cb_http_exchange_continue(cb_exchange_t *exchange,
			       const cb_http_order_t *order,
			       const cb_http_listener_t *listener)
{
	g_assert(exchange->is_ended && exchange->is_dispatching);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_clear_object(&exchange->message);
	g_clear_object(&exchange->socket);
	g_byte_array_set_size(exchange->received, 0);
	exchange->scanned_bytes = 0;
	exchange->is_begun = FALSE;
	exchange->is_ended = FALSE;
	exchange->listener = *listener;
	exchange_send_(exchange, order);
}

/* Returns the user data of the exchange's listener. */
void *cb_http_exchange_user_data(cb_exchange_t *exchange)
{
	return exchange->user_data;
}

/*
 * Returns the request's headers, to be added to right after the start; NULL
 * when the request cannot be sent at all.
 */
SoupMessageHeaders *cb_http_exchange_headers(cb_exchange_t *exchange)
{
	return exchange->message ?
		       soup_message_get_request_headers(exchange->message) :
		       NULL;
}

/* Ends an exchange without a call of `done`, closing its connection. */
void cb_http_exchange_cancel(cb_exchange_t *exchange)
{
	exchange_drop_(exchange);
}
