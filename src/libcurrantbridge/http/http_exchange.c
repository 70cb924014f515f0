#include "private/http_exchange.h"

#include <string.h>

#include "currantbridge/http1_client.h"
#include "currantbridge/http1_head.h"

#define MAX_LINE_BYTES (1024 * 1024)
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)
/* Empty lines of an answer beyond this many in a row end the exchange. */
#define MAX_EMPTY_LINES 4096
/* The pool of connections has its own limit of the time that they are idle. */
#define ANY_IDLE_MS INT64_MAX
#define STATUS_OK 200

struct cb_http_client {
	cb_http1_client_t *http;
	cb_clock_t *clock;
	/* Set of the cb_exchange_t in progress, not owned. */
	GHashTable *open_exchanges;
	cb_http_read_hooks_t read_hooks;
	int64_t io_timeout_ms; /* 0: no timeout */
};

struct cb_exchange {
	cb_http_client_t *client;
	cb_http1_call_t *call; /* NULL once it has ended */
	cb_timer_t *timer;     /* NULL without a timeout of the client */
	cb_http_listener_t listener;
	void *user_data;
	uint32_t status;    /* of the answer; 0 before its head */
	char *content_type; /* of the answer; NULL if it has none */
	/* Bytes of the answer received but not delivered as lines. */
	GByteArray *received;
	/* Length of the beginning of `received` that contains no newline. */
	size_t scanned_bytes;
	unsigned int empty_line_count; /* since the last line delivered */
	/* Whether a callback of the listener may be running. */
	gboolean is_dispatching;
	gboolean is_ended;
};

/*
 * Creates a client for the main loop of `context`; NULL means the default
 * context.  Its exchanges have no timeout, so whoever starts one has to cancel
 * it.  `read_hooks` may be NULL.
 */
cb_http_client_t *cb_http_client_new(GMainContext *context, cb_clock_t *clock,
				     const cb_http_read_hooks_t *read_hooks)
{
	cb_http_client_t *client = g_new0(cb_http_client_t, 1);

	if (read_hooks)
		client->read_hooks = *read_hooks;
	client->http = cb_http1_client_new(context, clock, NULL);
	client->clock = clock;
	client->open_exchanges = g_hash_table_new(NULL, NULL);
	return client;
}

/* An exchange that receives nothing for `timeout_ms` fails.  0: no timeout. */
void cb_http_client_set_io_timeout(cb_http_client_t *client, int64_t timeout_ms)
{
	client->io_timeout_ms = timeout_ms;
}

/* Ends the call if it has not ended, and closes its connection. */
static void exchange_call_cancel_(cb_exchange_t *exchange)
{
	cb_http1_call_t *call = g_steal_pointer(&exchange->call);

	if (call)
		cb_http1_call_cancel(call);
}

/* Frees everything that is not needed after the end of the exchange. */
static void exchange_release_(cb_exchange_t *exchange)
{
	g_clear_pointer(&exchange->timer, cb_timer_delete);
	if (exchange->listener.user_data_free)
		exchange->listener.user_data_free(exchange->listener.user_data);
	memset(&exchange->listener, 0, sizeof(exchange->listener));
}

/* Frees an ended exchange unless a calling function uses it. */
static void exchange_free_if_unused_(cb_exchange_t *exchange)
{
	if (!exchange->is_ended || exchange->is_dispatching)
		return;
	if (exchange->client)
		g_hash_table_remove(exchange->client->open_exchanges, exchange);
	g_free(exchange->content_type);
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
	exchange_call_cancel_(exchange);
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
	cb_http1_client_delete(client->http);
	g_free(client);
}

/* Reports the end of an exchange; a call that goes on is cancelled. */
static void exchange_end_(cb_exchange_t *exchange, cb_failure_t failure)
{
	cb_http_listener_t listener = exchange->listener;
	cb_http_answer_t answer = { 0 };

	if (exchange->is_ended)
		return;
	exchange->is_ended = TRUE;
	exchange->is_dispatching = TRUE;
	exchange->listener.user_data_free = NULL;
	exchange_call_cancel_(exchange);
	exchange_release_(exchange);
	if (failure != CB_FAILURE_NONE) {
		listener.done(listener.user_data, failure, NULL);
	} else {
		char *content_type = g_steal_pointer(&exchange->content_type);

		answer.status = exchange->status;
		answer.content_type = content_type;
		answer.body = g_bytes_new(exchange->received->data,
					  exchange->received->len);
		listener.done(listener.user_data, failure, &answer);
		g_bytes_unref(answer.body);
		g_free(content_type);
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

/* Starts the client's timeout anew; a client without one needs no timer. */
static void timeout_restart_(cb_exchange_t *exchange)
{
	if (exchange->timer)
		cb_timer_start(exchange->timer,
			       exchange->client->io_timeout_ms);
}

static void timeout_handle_(void *user_data)
{
	exchange_end_(user_data, CB_FAILURE_LOST);
}

/* Stores what the head tells; FALSE: the body is encoded and can't be read. */
static gboolean head_receive_(void *user_data, const cb_http1_head_t *head)
{
	cb_exchange_t *exchange = user_data;
	const char *encoding = cb_http1_head_find(head, "Content-Encoding");

	if (encoding && g_ascii_strcasecmp(encoding, "identity") != 0)
		return FALSE;
	timeout_restart_(exchange);
	exchange->status = head->status;
	exchange->content_type =
		g_strdup(cb_http1_head_find(head, "Content-Type"));
	return TRUE;
}

static void data_receive_(void *user_data, const uint8_t *data, size_t size)
{
	cb_exchange_t *exchange = user_data;

	if (exchange->received->len + size > MAX_ANSWER_BYTES)
		exchange_end_(exchange, CB_FAILURE_MISMATCH);
	else
		g_byte_array_append(exchange->received, data,
				    (unsigned int)size);
}

/* Delivers the lines that are complete after one read from the socket. */
static void data_end_handle_(void *user_data)
{
	cb_exchange_t *exchange = user_data;
	cb_failure_t failure;

	timeout_restart_(exchange);
	if (!exchange->listener.line || exchange->status != STATUS_OK)
		return;
	exchange->is_dispatching = TRUE;
	failure = lines_deliver_with_hooks_(exchange);
	exchange->is_dispatching = FALSE;
	if (exchange->is_ended)
		exchange_free_if_unused_(exchange);
	else if (failure != CB_FAILURE_NONE)
		exchange_end_(exchange, failure);
}

cb_failure_t cb_http_failure(cb_http1_result_t result)
{
	static const cb_failure_t failures[CB_HTTP1_RESULT_COUNT] = {
		[CB_HTTP1_COMPLETE] = CB_FAILURE_NONE,
		[CB_HTTP1_UNSENT] = CB_FAILURE_CONNECT,
		[CB_HTTP1_NO_RESOURCES] = CB_FAILURE_NO_RESOURCES,
		[CB_HTTP1_LOST] = CB_FAILURE_LOST,
		[CB_HTTP1_TRUNCATED] = CB_FAILURE_LOST,
		[CB_HTTP1_MALFORMED] = CB_FAILURE_MISMATCH,
	};

	return failures[result];
}

static void call_end_handle_(void *user_data, cb_http1_result_t result)
{
	cb_exchange_t *exchange = user_data;

	exchange->call = NULL;
	exchange_end_(exchange, cb_http_failure(result));
}

static const cb_http1_call_handler_t call_handler = {
	.head = head_receive_,
	.data = data_receive_,
	.data_end = data_end_handle_,
	.done = call_end_handle_,
};

/* Returns the bytes of a request. */
static GString *request_format_(const cb_http_request_t *request)
{
	size_t size = 0;
	const char *data =
		request->body ? g_bytes_get_data(request->body, &size) : NULL;
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
			       request->method, request->path,
			       request->address);
	if (request->authorization)
		g_string_append_printf(text, "Authorization: %s\r\n",
				       request->authorization);
	if (request->body)
		g_string_append_printf(text,
				       "Content-Type: %s\r\n"
				       "Content-Length: %zu\r\n",
				       request->content_type, size);
	g_string_append(text, "\r\n");
	g_string_append_len(text, data ? data : "", (gssize)size);
	return text;
}

static void exchange_send_(cb_exchange_t *exchange,
			   const cb_http_request_t *request)
{
	cb_http_client_t *client = exchange->client;
	int64_t max_idle_ms = request->connection == CB_HTTP_CONNECTION_NEW ?
				      CB_HTTP1_NEW_CONNECTION :
				      ANY_IDLE_MS;

	if (client->io_timeout_ms)
		exchange->timer =
			cb_timer_new(client->clock, timeout_handle_, exchange);
	timeout_restart_(exchange);
	exchange->call =
		cb_http1_client_call(client->http, request->address,
				     request->method, request_format_(request),
				     max_idle_ms, NULL, &call_handler,
				     exchange);
}

/*
 * Starts an exchange.  Its `done` is never called before this returns.  The
 * request is sent once at most: on a used connection that the server has closed
 * it is lost.
 */
cb_exchange_t *cb_http_exchange_start(cb_http_client_t *client,
				      const cb_http_request_t *request,
				      const cb_http_listener_t *listener)
{
	cb_exchange_t *exchange = g_new0(cb_exchange_t, 1);

	exchange->client = client;
	exchange->listener = *listener;
	exchange->user_data = listener->user_data;
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
	g_byte_array_set_size(exchange->received, 0);
	exchange->scanned_bytes = 0;
	exchange->empty_line_count = 0;
	exchange->status = 0;
	exchange->is_ended = FALSE;
	exchange->listener = *listener;
	exchange_send_(exchange, request);
}

/* Returns the user data of the exchange's listener. */
void *cb_http_exchange_user_data(cb_exchange_t *exchange)
{
	return exchange->user_data;
}

/* Ends an exchange without a call of `done` and closes its connection. */
void cb_http_exchange_cancel(cb_exchange_t *exchange)
{
	exchange_drop_(exchange);
}
