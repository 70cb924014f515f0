#include "currantbridge/http1_server.h"

#include <stdio.h>
#include <string.h>

#include "private/http1_body.h"
#include "currantbridge/http1_head.h"
#include "private/stream.h"

/* What may wait behind the request that is served, before it is refused. */
#define AHEAD_MAX_BYTES (256 * 1024)
/* A refused caller may go on sending for so long, to read its answer. */
#define LINGER_MS 1000
/* Unsent bytes of an answer over which a caller counts as not reading. */
#define UNSENT_MAX_BYTES (1024 * 1024)

typedef enum link_step {
	LINK_HEAD,
	LINK_BODY,
	LINK_SERVING,
	LINK_LINGERING,
} link_step_t;

/* One accepted connection. */
typedef struct link {
	cb_http1_server_t *server;
	cb_stream_t *stream;
	cb_timer_t *timer;
	link_step_t step;
	GByteArray *in;
	gboolean has_ended; /* the caller sends no more */
	cb_http1_exchange_t *exchange;
} link_t;

struct cb_http1_exchange {
	link_t *link;
	cb_http1_head_t head;
	cb_http1_body_t reader;
	GByteArray *body;
	int64_t arrived_ms;
	gboolean is_chunked;
	gboolean closes;
	gboolean is_too_large;
	cb_http1_gone_fn_t gone;
	void *user_data;
};

struct cb_http1_server {
	cb_poller_t *poller;
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_http1_request_fn_t request;
	void *user_data;
	cb_http1_limits_t limits;
	GPtrArray *listeners;
	GHashTable *links;
	unsigned int open;
	gboolean is_draining;
};

static const cb_http1_limits_t default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 4 * 1024 * 1024,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/* Returns a status's usual phrase. */
const char *cb_http1_status_text(uint32_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 408:
		return "Request Timeout";
	case 409:
		return "Conflict";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return status < 400 ? "OK" : "Error";
	}
}

static void exchange_delete_(cb_http1_exchange_t *exchange)
{
	exchange->link->server->open--;
	cb_http1_head_clear(&exchange->head);
	cb_http1_body_clear(&exchange->reader);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

/* Frees a link without telling the exchange's owner. */
static void link_free_(link_t *link)
{
	if (link->exchange)
		exchange_delete_(link->exchange);
	cb_stream_delete(link->stream);
	cb_timer_delete(link->timer);
	g_byte_array_unref(link->in);
	g_free(link);
}

static void link_drop_(link_t *link)
{
	g_hash_table_remove(link->server->links, link);
	link_free_(link);
}

/* The caller is gone: the owner of its request is told first. */
static void link_gone_(link_t *link)
{
	cb_http1_exchange_t *exchange = link->exchange;

	if (exchange && link->step == LINK_SERVING && exchange->gone)
		exchange->gone(exchange->user_data);
	link_drop_(link);
}

static void count_(const cb_http1_server_t *server, const char *reason)
{
	if (server->counters)
		cb_counter_add(cb_counters_counter(server->counters,
						   "cb_http1_refused_total",
						   "reason", reason),
			       1);
}

/* Answers a request that cannot be read, and lets the caller read that. */
static void link_refuse_(link_t *link, uint32_t status, const char *reason)
{
	char *body = g_strdup_printf(
		"{\"error\":{\"reason\":\"%s\",\"executed\":\"no\"}}", reason);
	char *text = g_strdup_printf(
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, cb_http1_status_text(status), strlen(body), body);

	count_(link->server, reason);
	if (link->exchange) {
		exchange_delete_(link->exchange);
		link->exchange = NULL;
	}
	link->step = LINK_LINGERING;
	g_byte_array_set_size(link->in, 0);
	cb_stream_send(link->stream, text, strlen(text));
	cb_stream_finish(link->stream);
	cb_timer_start(link->timer, LINGER_MS);
	g_free(text);
	g_free(body);
}

/* Cuts a caller off that does not read: what it lets wait takes memory. */
static void slow_check_(link_t *link)
{
	if (cb_stream_unsent_bytes(link->stream) <= UNSENT_MAX_BYTES)
		return;
	count_(link->server, "caller_too_slow");
	link_gone_(link);
}

static void timer_fired_(void *user_data)
{
	link_t *link = user_data;

	if (link->step == LINK_SERVING)
		slow_check_(link);
	else if (link->step == LINK_HEAD && link->in->len)
		link_refuse_(link, 408, "header_timeout");
	else if (link->step == LINK_BODY)
		link_refuse_(link, 408, "body_timeout");
	else
		link_drop_(link);
}

static void body_add_(void *user_data, const uint8_t *data, size_t size)
{
	cb_http1_exchange_t *exchange = user_data;

	if (exchange->body->len + size >
	    exchange->link->server->limits.max_body_bytes)
		exchange->is_too_large = TRUE;
	else
		g_byte_array_append(exchange->body, data, (unsigned int)size);
}

static void serve_(link_t *link)
{
	cb_http1_server_t *server = link->server;

	link->step = LINK_SERVING;
	cb_timer_stop(link->timer);
	server->request(link->exchange, server->user_data);
}

/* Reads the body; returns FALSE when there is nothing more to do now. */
static gboolean body_step_(link_t *link)
{
	cb_http1_exchange_t *exchange = link->exchange;
	cb_http1_parse_result_t outcome;
	size_t used;

	outcome = cb_http1_body_read(&exchange->reader, link->in->data,
				     link->in->len, &used, body_add_, exchange);
	g_byte_array_remove_range(link->in, 0, (unsigned int)used);
	if (exchange->is_too_large) {
		link_refuse_(link, 413, "body_too_large");
		return FALSE;
	}
	if (outcome == CB_HTTP1_PARSE_INVALID) {
		link_refuse_(link, 400, "body_invalid");
		return FALSE;
	}
	if (outcome == CB_HTTP1_PARSE_PARTIAL) {
		cb_timer_start(link->timer,
			       link->server->limits.idle_timeout_ms);
		return FALSE;
	}
	serve_(link);
	return TRUE;
}

/* Whether the head's limits allow the body that it announces. */
static gboolean body_begin_(link_t *link, const cb_http1_head_t *head)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = cb_http1_head_find(head, "Expect");
	cb_http1_exchange_t *exchange = g_new0(cb_http1_exchange_t, 1);

	link->server->open++;
	exchange->link = link;
	exchange->head = *head;
	exchange->body = g_byte_array_new();
	exchange->arrived_ms = cb_clock_now_ms(link->server->clock);
	exchange->closes = !head->keeps_alive;
	cb_http1_body_init(&exchange->reader, head);
	link->exchange = exchange;
	link->step = LINK_BODY;
	if (head->framing == CB_HTTP1_FRAMING_LENGTH &&
	    head->length_bytes > link->server->limits.max_body_bytes) {
		link_refuse_(link, 413, "body_too_large");
		return FALSE;
	}
	if (expect && !g_ascii_strcasecmp(expect, "100-continue") &&
	    head->framing != CB_HTTP1_FRAMING_NONE && !link->in->len)
		cb_stream_send(link->stream, go_on, strlen(go_on));
	return TRUE;
}

/* Reads a head; returns FALSE when there is nothing more to do now. */
static gboolean head_step_(link_t *link, gboolean was_empty)
{
	const cb_http1_limits_t *limits = &link->server->limits;
	cb_http1_head_t head;
	size_t used = 0;

	/* An empty line before a request is passed over (RFC 9112, 2.2). */
	while (link->in->len >= 2 && !memcmp(link->in->data, "\r\n", 2))
		g_byte_array_remove_range(link->in, 0, 2);
	if (!link->in->len)
		return FALSE;
	switch (cb_http1_request_parse(&head, link->in->data, link->in->len,
				       limits->max_header_bytes, &used)) {
	case CB_HTTP1_WHOLE:
		break;
	case CB_HTTP1_PARSE_PARTIAL:
		if (was_empty)
			cb_timer_start(link->timer, limits->header_timeout_ms);
		return FALSE;
	case CB_HTTP1_PARSE_OVERSIZE:
		link_refuse_(link, 431, "header_too_large");
		return FALSE;
	case CB_HTTP1_PARSE_INVALID:
		link_refuse_(link, 400, "header_invalid");
		return FALSE;
	}
	g_byte_array_remove_range(link->in, 0, (unsigned int)used);
	return body_begin_(link, &head);
}

/* Goes on with what was read, until more is needed. */
static void link_step_(link_t *link, gboolean was_empty)
{
	if (link->step == LINK_HEAD && !head_step_(link, was_empty))
		return;
	if (link->step == LINK_BODY)
		body_step_(link);
}

static void received_(void *user_data, const uint8_t *data, size_t size)
{
	link_t *link = user_data;
	gboolean was_empty = !link->in->len;

	if (link->step == LINK_LINGERING)
		return;
	g_byte_array_append(link->in, data, (unsigned int)size);
	if (link->step != LINK_SERVING)
		link_step_(link, was_empty);
	else if (link->in->len > AHEAD_MAX_BYTES)
		link_gone_(link);
}

static void ended_(void *user_data, cb_stream_end_t end)
{
	link_t *link = user_data;

	(void)end;
	link_gone_(link);
}

static const cb_stream_handler_t stream_handler = {
	.received = received_,
	.ended = ended_,
};

static void accepted_(int fd, void *user_data)
{
	cb_http1_server_t *server = user_data;
	link_t *link = g_new0(link_t, 1);

	link->server = server;
	link->in = g_byte_array_new();
	link->timer = cb_timer_new(server->clock, timer_fired_, link);
	link->stream = cb_stream_new(server->poller, fd, &stream_handler, link);
	g_hash_table_add(server->links, link);
	cb_timer_start(link->timer, server->limits.idle_timeout_ms);
}

/*
 * Makes a server that calls `request` for each whole request.  `counters`
 * may be NULL.
 */
cb_http1_server_t *cb_http1_server_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters,
				       cb_http1_request_fn_t request,
				       void *user_data)
{
	cb_http1_server_t *server = g_new0(cb_http1_server_t, 1);

	server->poller = cb_poller_new(context);
	server->clock = clock;
	server->counters = counters;
	server->request = request;
	server->user_data = user_data;
	server->limits = default_limits;
	server->listeners = g_ptr_array_new();
	server->links = g_hash_table_new(g_direct_hash, g_direct_equal);
	return server;
}

/* Closes every connection and frees the server; NULL is allowed. */
void cb_http1_server_delete(cb_http1_server_t *server)
{
	GHashTableIter iter;
	unsigned int i;
	void *link;

	if (!server)
		return;
	for (i = 0; i < server->listeners->len; i++)
		cb_stream_unlisten(server->listeners->pdata[i]);
	g_ptr_array_unref(server->listeners);
	g_hash_table_iter_init(&iter, server->links);
	while (g_hash_table_iter_next(&iter, &link, NULL)) {
		g_hash_table_iter_steal(&iter);
		link_free_(link);
	}
	g_hash_table_unref(server->links);
	cb_poller_delete(server->poller);
	g_free(server);
}

/* Accepts connections at "IP:PORT", besides those it accepts at already. */
gboolean cb_http1_server_listen(cb_http1_server_t *server, const char *address,
				GError **error)
{
	cb_stream_listener_t *listener =
		cb_stream_listen(server->poller, address, accepted_, server,
				 error);

	if (!listener)
		return FALSE;
	g_ptr_array_add(server->listeners, listener);
	return TRUE;
}

/* Returns the port of the first address listened at; 0: none. */
uint16_t cb_http1_server_port(const cb_http1_server_t *server)
{
	if (!server->listeners->len)
		return 0;
	return cb_stream_listener_port(server->listeners->pdata[0]);
}

/* Sets the limits of requests that begin from now on. */
void cb_http1_server_limit(cb_http1_server_t *server,
			   const cb_http1_limits_t *limits)
{
	server->limits = *limits;
}

/* Has every answer from now on close its connection. */
void cb_http1_server_drain(cb_http1_server_t *server)
{
	server->is_draining = TRUE;
}

/* Returns how many requests are being read or answered. */
unsigned int cb_http1_server_open(const cb_http1_server_t *server)
{
	return server->open;
}

/* Returns the request's head. */
const cb_http1_head_t *cb_http1_exchange_head(
	const cb_http1_exchange_t *exchange)
{
	return &exchange->head;
}

/* Returns the request's body, which may be empty. */
const GByteArray *cb_http1_exchange_body(const cb_http1_exchange_t *exchange)
{
	return exchange->body;
}

/* Returns when the request's head was whole, in clock milliseconds. */
int64_t cb_http1_exchange_arrived_ms(const cb_http1_exchange_t *exchange)
{
	return exchange->arrived_ms;
}

/* Sets who is told when the caller closes before the answer's end. */
void cb_http1_exchange_own(cb_http1_exchange_t *exchange,
			   cb_http1_gone_fn_t gone, void *user_data)
{
	exchange->gone = gone;
	exchange->user_data = user_data;
}

/* Sends the status line, the headers and how the connection goes on. */
static void head_send_(cb_http1_exchange_t *exchange, uint32_t status,
		       const char *headers, const char *framing)
{
	GString *text = g_string_new(NULL);

	if (exchange->link->server->is_draining)
		exchange->closes = TRUE;
	g_string_append_printf(text, "HTTP/1.1 %u %s\r\n%s%s%s\r\n", status,
			       cb_http1_status_text(status),
			       headers ? headers : "", framing,
			       exchange->closes ? "Connection: close\r\n" : "");
	cb_stream_send(exchange->link->stream, text->str, text->len);
	g_string_free(text, TRUE);
}

/* Ends an exchange and goes on with the connection. */
static void exchange_finish_(cb_http1_exchange_t *exchange)
{
	link_t *link = exchange->link;
	gboolean closes = exchange->closes;

	exchange_delete_(exchange);
	link->exchange = NULL;
	if (closes) {
		link->step = LINK_LINGERING;
		cb_stream_finish(link->stream);
		cb_timer_start(link->timer, LINGER_MS);
		return;
	}
	link->step = LINK_HEAD;
	cb_timer_start(link->timer, link->server->limits.idle_timeout_ms);
	if (link->in->len)
		link_step_(link, TRUE);
}

/* Sends a whole answer. */
void cb_http1_exchange_reply(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers, const void *body, size_t size)
{
	gboolean is_head = !strcmp(exchange->head.method, "HEAD");
	char framing[64];

	(void)snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
		       size);
	head_send_(exchange, status, headers, framing);
	if (!is_head && size)
		cb_stream_send(exchange->link->stream, body, size);
	exchange_finish_(exchange);
}

/* Sends a whole answer of JSON text. */
void cb_http1_exchange_reply_json(cb_http1_exchange_t *exchange,
				  uint32_t status, const char *text)
{
	cb_http1_exchange_reply(exchange, status,
				"Content-Type: application/json\r\n", text,
				strlen(text));
}

/* Begins an answer whose length is not known yet. */
void cb_http1_exchange_begin(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers)
{
	exchange->is_chunked = exchange->head.minor_version >= 1;
	if (!exchange->is_chunked)
		exchange->closes = TRUE;
	head_send_(exchange, status, headers,
		   exchange->is_chunked ? "Transfer-Encoding: chunked\r\n" :
					  "");
}

/* Sends a part of an answer that was begun. */
void cb_http1_exchange_write(cb_http1_exchange_t *exchange, const void *data,
			     size_t size)
{
	cb_stream_t *stream = exchange->link->stream;
	GString *chunk;

	if (!size)
		return;
	if (!exchange->is_chunked) {
		cb_stream_send(stream, data, size);
		return;
	}
	chunk = g_string_sized_new(size + 16);
	g_string_append_printf(chunk, "%zx\r\n", size);
	g_string_append_len(chunk, data, (gssize)size);
	g_string_append(chunk, "\r\n");
	cb_stream_send(stream, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
	/* From the loop: the owner is still at work on this exchange. */
	if (cb_stream_unsent_bytes(stream) > UNSENT_MAX_BYTES)
		cb_timer_start(exchange->link->timer, 0);
}

/* Ends an answer that was begun, as complete. */
void cb_http1_exchange_end(cb_http1_exchange_t *exchange)
{
	if (exchange->is_chunked)
		cb_stream_send(exchange->link->stream, "0\r\n\r\n", 5);
	exchange_finish_(exchange);
}

/* Breaks the connection off; the owner is not told. */
void cb_http1_exchange_abort(cb_http1_exchange_t *exchange)
{
	link_t *link = exchange->link;

	cb_stream_reset(g_steal_pointer(&link->stream));
	link_drop_(link);
}
