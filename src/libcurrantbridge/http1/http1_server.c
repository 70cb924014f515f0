#include "currantbridge/http1_server.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "private/http1_body.h"
#include "currantbridge/http1_head.h"
#include "private/stream.h"

/*
 * With more bytes than this buffered behind the request being served, the rest
 * stays in the socket until the request is answered.
 */
#define PIPELINED_MAX_BYTES (256 * 1024)
/*
 * How long a connection stays open after its last answer, so that a caller that
 * is still sending can read that answer.
 */
#define LINGER_MS 1000
/* A caller that reads nothing of its answer for so long is disconnected. */
#define UNREAD_MAX_MS 5000
/* A body of up to this size is copied behind its head and sent with it. */
#define JOINED_BODY_MAX_BYTES 16384
/* A caller with more unsent bytes than this is disconnected as too slow. */
#define UNSENT_MAX_BYTES (1024 * 1024)
/*
 * Idle connections that are closed when the process is out of descriptors: more
 * than one, so that connections to servers find some too.
 */
#define EVICTED_CONNECTIONS 16
/* Without an idle connection, accepting is tried again after this time. */
#define EXHAUSTED_PAUSE_MS 50
/*
 * After a connection to a server has found no descriptor, those that come free are
 * for the requests already accepted.  They try again within a shorter time.
 */
#define SERVERS_FIRST_MS 100
/*
 * For so long after the last lack of descriptors, an answer that begins ends its
 * connection, so that callers with kept connections take turns with new ones.
 */
#define TURNS_MS 1000
/*
 * Connections that still wait to be accepted after this time, counted at its
 * beginning, are refused: callers learn that within half a second.
 */
#define QUEUED_MAX_MS 200
/* Descriptors that are kept open to be given up for connections to refuse. */
#define SPARE_DESCRIPTORS 2
/*
 * While requests wait for connections to servers, those of more callers than this
 * part of the descriptors are refused: the rest is for such connections.
 */
#define CALLERS_PART 2
/* How long connections linger at least that give way for lack of descriptors. */
#define SHORT_LINGER_MS 50
/* A caller that is to be refused sends the head of its request within this time. */
#define SPARE_TIMEOUT_MS 200
/* What a connection and its request occupy beside their buffers. */
#define CONNECTION_BYTES 4096
/* A body of up to this size is received as long as the bound is not reached. */
#define SMALL_BODY_BYTES 16384
/* A request is kept for retries, and copied when it is sent to a server. */
#define BODY_COPIES 2
/* When the caller of a request that was refused for lack of memory comes back. */
#define RETRY_AFTER_LINE "Retry-After: 0.500\r\n"

typedef enum connection_state {
	/* No complete request head was received yet. */
	CONNECTION_RECEIVING_HEAD,
	CONNECTION_RECEIVING_BODY, /* receiving the body of a request */
	CONNECTION_SERVING,	   /* a complete request is being answered */
	CONNECTION_LINGERING,	   /* input is discarded until the close */
} connection_state_t;

/* One accepted connection. */
typedef struct connection {
	cb_http1_server_t *server;
	cb_stream_t *stream;
	cb_timer_t *timer; /* timeout; while serving, the slow-caller check */
	connection_state_t state;
	GByteArray *input; /* bytes received and not parsed yet */
	cb_memory_account_t input_account; /* and of the connection itself */
	gboolean has_unparsed_input;	   /* the timer parses `input` */
	gboolean is_on_spare; /* accepted in place of a spare descriptor */
	/* Since the accept, the last answer or the end of sending. */
	int64_t idle_since_ms;
	/* The unsent bytes of a whole answer at the last check, and since when. */
	size_t unsent_bytes;
	int64_t unsent_since_ms;
	/* Request in progress and its answer, or NULL. */
	cb_http1_exchange_t *exchange;
} connection_t;

struct cb_http1_exchange {
	connection_t *connection;
	cb_http1_head_t head;
	cb_http1_body_t body_reader;
	GByteArray *body; /* the request's body received so far */
	cb_memory_account_t body_account;
	uint64_t reserved_bytes;    /* in the bound, for the rest of the body */
	int64_t arrived_ms;	    /* clock time when the head was complete */
	gboolean is_chunked;	    /* whether the answer's body is chunked */
	gboolean closes_connection; /* the answer ends the connection */
	gboolean is_body_too_large; /* whether the body is over the limit */
	/* Called when the caller disconnects; may be NULL. */
	cb_http1_disconnect_fn_t disconnected;
	const cb_http1_keeper_t *keeper; /* may be NULL */
	void *user_data; /* passed to `disconnected` and the keeper */
};

struct cb_http1_server {
	cb_memory_holder_t holder;
	cb_memory_bound_t *bound; /* may be NULL */
	cb_poller_t *poller;
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_http1_request_fn_t request_handler;
	/* Makes room for a connection without a descriptor; may be NULL. */
	cb_http1_exhausted_fn_t exhausted_handler;
	void *user_data; /* passed to both handlers */
	cb_http1_limits_t limits;
	GPtrArray *listeners;	  /* of cb_stream_listener_t */
	cb_timer_t *accept_timer; /* resumes accepting */
	gboolean refuses_queued;  /* for lack of descriptors */
	gboolean is_refusing;	  /* connections are accepted to be refused */
	int spares[SPARE_DESCRIPTORS]; /* -1: given up */
	/* Until these times what was said at SERVERS_FIRST_MS and TURNS_MS holds. */
	int64_t servers_first_until_ms;
	int64_t turns_until_ms;
	/* Connections that waited at a time and were not accepted since. */
	unsigned int queued;
	int64_t queued_since_ms;
	GHashTable *connections;    /* set of all connections */
	unsigned int open_requests; /* requests being received or answered */
	gboolean is_draining;
};

static const cb_http1_limits_t default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 4 * 1024 * 1024,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/* Returns the reason phrase of a status. */
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
	exchange->connection->server->open_requests--;
	cb_http1_head_clear(&exchange->head);
	cb_http1_body_clear(&exchange->body_reader);
	g_byte_array_unref(exchange->body);
	cb_memory_account_set(&exchange->body_account, 0);
	cb_memory_bound_release(exchange->connection->server->bound,
				exchange->reserved_bytes);
	g_free(exchange);
}

/*
 * Opens the spare descriptors that were given up, as far as there are free ones.
 * Returns whether none is missing.
 */
static gboolean spares_open_(cb_http1_server_t *server)
{
	unsigned int i;

	if (!server->refuses_queued)
		return TRUE;
	for (i = 0; i < SPARE_DESCRIPTORS; i++) {
		if (server->spares[i] < 0)
			server->spares[i] =
				open("/dev/null", O_RDONLY | O_CLOEXEC);
		if (server->spares[i] < 0)
			return FALSE;
	}
	return TRUE;
}

/* Closes one spare descriptor; FALSE if all were given up before. */
static gboolean spare_give_up_(cb_http1_server_t *server)
{
	unsigned int i;

	for (i = 0; i < SPARE_DESCRIPTORS; i++) {
		if (server->spares[i] < 0)
			continue;
		close(server->spares[i]);
		server->spares[i] = -1;
		return TRUE;
	}
	return FALSE;
}

/* Closes and frees a connection without notifying the exchange's owner. */
static void connection_free_(connection_t *connection)
{
	if (connection->exchange)
		exchange_delete_(connection->exchange);
	cb_stream_delete(connection->stream);
	/* A connection that waits can be accepted, or one more be refused. */
	if (spares_open_(connection->server) &&
	    cb_timer_is_armed(connection->server->accept_timer))
		cb_timer_start_sooner(connection->server->accept_timer, 0);
	cb_timer_delete(connection->timer);
	g_byte_array_unref(connection->input);
	cb_memory_account_set(&connection->input_account, 0);
	g_free(connection);
}

/* Removes a connection from the server and frees it; notifies nobody. */
static void connection_remove_(connection_t *connection)
{
	g_hash_table_remove(connection->server->connections, connection);
	connection_free_(connection);
}

/* Notifies the owner of a request being served, then frees the connection. */
static void connection_disconnect_(connection_t *connection)
{
	cb_http1_exchange_t *exchange = connection->exchange;

	if (exchange && connection->state == CONNECTION_SERVING &&
	    exchange->disconnected)
		exchange->disconnected(exchange->user_data);
	connection_remove_(connection);
}

/* Counts a refused request or a disconnected caller by reason. */
static void refusal_count_(const cb_http1_server_t *server, const char *reason)
{
	if (server->counters)
		cb_counter_add(cb_counters_counter(server->counters,
						   "cb_http1_refused_total",
						   "reason", reason),
			       1);
}

/* Ends sending; the connection stays open so that the caller can read on. */
static void connection_linger_(connection_t *connection)
{
	connection->state = CONNECTION_LINGERING;
	connection->idle_since_ms = cb_clock_now_ms(connection->server->clock);
	g_byte_array_set_size(connection->input, 0);
	cb_stream_shutdown_send(connection->stream);
	cb_timer_start(connection->timer, LINGER_MS);
}

/*
 * Answers a request that cannot be served, and keeps the connection open for a
 * while so that the caller can read the answer.
 */
static void request_refuse_(connection_t *connection, uint32_t status,
			    const char *reason)
{
	const char *retry_after = status == 503 ? RETRY_AFTER_LINE : "";
	char *body = g_strdup_printf(
		"{\"error\":{\"reason\":\"%s\",\"executed\":\"no\"}}", reason);
	char *text = g_strdup_printf(
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n%s"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, cb_http1_status_text(status), retry_after, strlen(body),
		body);

	refusal_count_(connection->server, reason);
	if (connection->exchange) {
		exchange_delete_(connection->exchange);
		connection->exchange = NULL;
	}
	cb_stream_send(connection->stream, text, strlen(text));
	connection_linger_(connection);
	g_free(text);
	g_free(body);
}

/*
 * Disconnects a caller that does not read: unsent bytes occupy memory.  A close
 * would be the regular end of an answer that is not chunked.
 */
static void slow_caller_check_(connection_t *connection)
{
	if (cb_stream_unsent_bytes(connection->stream) <= UNSENT_MAX_BYTES)
		return;
	refusal_count_(connection->server, "caller_too_slow");
	cb_stream_set_reset(connection->stream);
	connection_disconnect_(connection);
}

/*
 * Returns whether the connection stays open for the rest of an answer: the
 * caller has read some of it since the last check, or may only be pausing.
 */
static gboolean answer_is_awaited_(connection_t *connection)
{
	int64_t now_ms = cb_clock_now_ms(connection->server->clock);
	size_t unsent_bytes = cb_stream_unsent_bytes(connection->stream);

	if (unsent_bytes != connection->unsent_bytes) {
		connection->unsent_bytes = unsent_bytes;
		connection->unsent_since_ms = now_ms;
		return TRUE;
	}
	return unsent_bytes &&
	       now_ms - connection->unsent_since_ms < UNREAD_MAX_MS;
}

static void input_parse_(connection_t *connection, gboolean input_was_empty);

/*
 * Called on a timeout of the connection, to parse input that waits, or to check
 * for a slow caller.
 */
static void connection_timer_fired_(void *user_data)
{
	connection_t *connection = user_data;

	if (connection->state == CONNECTION_SERVING)
		slow_caller_check_(connection);
	else if (connection->has_unparsed_input)
		input_parse_(connection, TRUE);
	else if (!connection->input->len && answer_is_awaited_(connection))
		cb_timer_start(
			connection->timer,
			connection->state == CONNECTION_LINGERING ?
				LINGER_MS :
				connection->server->limits.idle_timeout_ms);
	else if (connection->state == CONNECTION_RECEIVING_HEAD &&
		 connection->input->len)
		request_refuse_(connection, 408, "header_timeout");
	else if (connection->state == CONNECTION_RECEIVING_BODY)
		request_refuse_(connection, 408, "body_timeout");
	else
		connection_remove_(connection);
}

/* Stores a piece of a request's body unless the limit is exceeded. */
static void body_data_store_(void *user_data, const uint8_t *data, size_t size)
{
	cb_http1_exchange_t *exchange = user_data;
	uint64_t arrived_bytes;

	if (exchange->body->len + size >
	    exchange->connection->server->limits.max_body_bytes)
		exchange->is_body_too_large = TRUE;
	else
		g_byte_array_append(exchange->body, data, (unsigned int)size);
	cb_memory_account_grow(&exchange->body_account, exchange->body->len);
	arrived_bytes = MIN(exchange->reserved_bytes, (uint64_t)size);
	exchange->reserved_bytes -= arrived_bytes;
	cb_memory_bound_release(exchange->connection->server->bound,
				arrived_bytes);
}

/* Passes a complete request to the server's request handler. */
static void request_dispatch_(connection_t *connection)
{
	cb_http1_server_t *server = connection->server;

	connection->state = CONNECTION_SERVING;
	cb_timer_stop(connection->timer);
	cb_memory_bound_release(server->bound,
				connection->exchange->reserved_bytes);
	connection->exchange->reserved_bytes = 0;
	server->request_handler(connection->exchange, server->user_data);
}

/* Parses the body; FALSE if it is incomplete or the request was refused. */
static gboolean body_receive_(connection_t *connection)
{
	cb_http1_exchange_t *exchange = connection->exchange;
	cb_http1_parse_result_t result;
	size_t used;

	result = cb_http1_body_read(&exchange->body_reader,
				    connection->input->data,
				    connection->input->len, &used,
				    body_data_store_, exchange);
	g_byte_array_remove_range(connection->input, 0, (unsigned int)used);
	if (exchange->is_body_too_large) {
		request_refuse_(connection, 413, "body_too_large");
		return FALSE;
	}
	if (result == CB_HTTP1_PARSE_INVALID) {
		request_refuse_(connection, 400, "body_invalid");
		return FALSE;
	}
	if (result == CB_HTTP1_PARSE_PARTIAL) {
		cb_timer_start(connection->timer,
			       connection->server->limits.idle_timeout_ms);
		return FALSE;
	}
	request_dispatch_(connection);
	return TRUE;
}

/*
 * Returns whether the body that follows the head can be kept; sets room aside for a
 * large one.
 */
static gboolean body_reserve_(cb_http1_exchange_t *exchange)
{
	uint64_t bytes = exchange->head.length_bytes * BODY_COPIES;

	if (exchange->head.framing != CB_HTTP1_FRAMING_LENGTH ||
	    exchange->head.length_bytes <= SMALL_BODY_BYTES)
		return TRUE;
	if (!cb_memory_bound_reserve(exchange->connection->server->bound,
				     bytes))
		return FALSE;
	exchange->reserved_bytes = bytes;
	return TRUE;
}

/* Returns whether a request whose head was parsed was received, and nothing more. */
static gboolean is_whole_(const connection_t *connection)
{
	const cb_http1_head_t *head = &connection->exchange->head;

	if (cb_stream_has_input(connection->stream))
		return FALSE;
	return head->framing == CB_HTTP1_FRAMING_NONE ||
	       (head->framing == CB_HTTP1_FRAMING_LENGTH &&
		connection->input->len >= head->length_bytes);
}

/*
 * Returns whether a request must be refused for lack of descriptors: its connection
 * was accepted for that, or the callers of requests that wait for connections to
 * servers leave too few descriptors for these.
 */
static gboolean lacks_descriptors_(connection_t *connection)
{
	cb_http1_server_t *server = connection->server;
	struct rlimit limit;

	connection->is_on_spare &= !spares_open_(server);
	if (connection->is_on_spare)
		return TRUE;
	if (!server->refuses_queued ||
	    cb_clock_now_ms(server->clock) >= server->servers_first_until_ms ||
	    getrlimit(RLIMIT_NOFILE, &limit))
		return FALSE;
	return server->open_requests > limit.rlim_cur / CALLERS_PART;
}

/*
 * Creates the exchange of a request whose head was parsed, taking ownership of
 * the head's memory.  Refuses the request and returns FALSE if its
 * Content-Length is over the limit.
 */
static gboolean exchange_create_(connection_t *connection,
				 const cb_http1_head_t *head)
{
	static const char continue_answer[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = cb_http1_head_find(head, "Expect");
	cb_http1_exchange_t *exchange = g_new0(cb_http1_exchange_t, 1);

	connection->server->open_requests++;
	exchange->connection = connection;
	exchange->head = *head;
	exchange->body = g_byte_array_new();
	cb_memory_account_init(&exchange->body_account,
			       connection->server->bound, CB_MEMORY_REQUESTS);
	exchange->arrived_ms = cb_clock_now_ms(connection->server->clock);
	exchange->closes_connection = !head->keeps_alive;
	cb_http1_body_init(&exchange->body_reader, head);
	connection->exchange = exchange;
	connection->state = CONNECTION_RECEIVING_BODY;
	if (head->framing == CB_HTTP1_FRAMING_LENGTH &&
	    head->length_bytes > connection->server->limits.max_body_bytes) {
		request_refuse_(connection, 413, "body_too_large");
		return FALSE;
	}
	if (lacks_descriptors_(connection)) {
		gboolean is_whole = is_whole_(connection);

		request_refuse_(connection, 503, "no_descriptors");
		if (connection->is_on_spare)
			cb_timer_start(connection->timer,
				       is_whole ? 0 : SHORT_LINGER_MS);
		return FALSE;
	}
	if (!body_reserve_(exchange)) {
		cb_memory_bound_count(connection->server->bound, "request");
		request_refuse_(connection, 503, "memory");
		return FALSE;
	}
	if (expect && !g_ascii_strcasecmp(expect, "100-continue") &&
	    head->framing != CB_HTTP1_FRAMING_NONE && !connection->input->len)
		cb_stream_send(connection->stream, continue_answer,
			       strlen(continue_answer));
	return TRUE;
}

/*
 * Parses a head; FALSE if it is incomplete or the request was refused.  If
 * `input_was_empty`, these are the first bytes of the head and start its
 * timeout.
 */
static gboolean head_receive_(connection_t *connection,
			      gboolean input_was_empty)
{
	const cb_http1_limits_t *limits = &connection->server->limits;
	cb_http1_head_t head;
	size_t used = 0;

	/* Empty lines before a request are ignored (RFC 9112, 2.2). */
	while (connection->input->len >= 2 &&
	       !memcmp(connection->input->data, "\r\n", 2))
		g_byte_array_remove_range(connection->input, 0, 2);
	if (!connection->input->len)
		return FALSE;
	switch (cb_http1_request_parse(&head, connection->input->data,
				       connection->input->len,
				       limits->max_header_bytes, &used)) {
	case CB_HTTP1_PARSE_COMPLETE:
		break;
	case CB_HTTP1_PARSE_PARTIAL:
		if (input_was_empty)
			cb_timer_start(connection->timer,
				       connection->is_on_spare ?
					       SPARE_TIMEOUT_MS :
					       limits->header_timeout_ms);
		return FALSE;
	case CB_HTTP1_PARSE_OVERSIZE:
		request_refuse_(connection, 431, "header_too_large");
		return FALSE;
	case CB_HTTP1_PARSE_INVALID:
		request_refuse_(connection, 400, "header_invalid");
		return FALSE;
	}
	g_byte_array_remove_range(connection->input, 0, (unsigned int)used);
	return exchange_create_(connection, &head);
}

/* Parses the input received so far, up to the end of one request. */
static void input_parse_(connection_t *connection, gboolean input_was_empty)
{
	input_was_empty |= connection->has_unparsed_input;
	connection->has_unparsed_input = FALSE;
	if (connection->state == CONNECTION_RECEIVING_HEAD &&
	    !head_receive_(connection, input_was_empty))
		return;
	if (connection->state == CONNECTION_RECEIVING_BODY)
		body_receive_(connection);
}

static void input_receive_(void *user_data, const uint8_t *data, size_t size)
{
	connection_t *connection = user_data;
	gboolean input_was_empty = !connection->input->len;

	if (connection->state == CONNECTION_LINGERING)
		return;
	g_byte_array_append(connection->input, data, (unsigned int)size);
	cb_memory_account_grow(&connection->input_account,
			       connection->input->len + CONNECTION_BYTES);
	if (connection->state != CONNECTION_SERVING)
		input_parse_(connection, input_was_empty);
	else if (connection->input->len > PIPELINED_MAX_BYTES)
		cb_stream_set_paused(connection->stream, TRUE);
}

/*
 * A caller that has shut down its sending side counts as disconnected, even if
 * it still reads.
 */
static void stream_end_handle_(void *user_data, cb_stream_end_t end)
{
	connection_t *connection = user_data;

	(void)end;
	connection_disconnect_(connection);
}

/* Tells the owner of an answer that the caller has read all of it so far. */
static void stream_emptied_handle_(void *user_data)
{
	connection_t *connection = user_data;
	cb_http1_exchange_t *exchange = connection->exchange;

	if (exchange && exchange->keeper &&
	    connection->state == CONNECTION_SERVING)
		exchange->keeper->emptied(exchange->user_data);
}

static const cb_stream_handler_t stream_handler = {
	.received = input_receive_,
	.ended = stream_end_handle_,
	.emptied = stream_emptied_handle_,
};

/* Waits for the next request; the connection is closed if none comes in time. */
static void connection_wait_idle_(connection_t *connection)
{
	const cb_http1_server_t *server = connection->server;

	connection->idle_since_ms = cb_clock_now_ms(server->clock);
	cb_timer_start(connection->timer, server->limits.idle_timeout_ms);
}

static void connection_accept_(int fd, void *user_data)
{
	cb_http1_server_t *server = user_data;
	connection_t *connection = g_new0(connection_t, 1);

	server->queued -= MIN(server->queued, 1);
	connection->server = server;
	connection->is_on_spare = server->is_refusing;
	connection->input = g_byte_array_new();
	connection->timer = cb_timer_new(server->clock, connection_timer_fired_,
					 connection);
	connection->stream =
		cb_stream_new(server->poller, fd, &stream_handler, connection);
	cb_stream_set_bound(connection->stream, server->bound,
			    CB_MEMORY_UNSENT);
	cb_memory_account_init(&connection->input_account, server->bound,
			       CB_MEMORY_REQUESTS);
	cb_memory_account_set(&connection->input_account, CONNECTION_BYTES);
	g_hash_table_add(server->connections, connection);
	connection_wait_idle_(connection);
	if (connection->is_on_spare)
		cb_timer_start(connection->timer, SPARE_TIMEOUT_MS);
}

/*
 * Returns whether no request is being received or answered, nor has arrived at the
 * socket.  An answer that ends its connection was then read, or is on the way.
 */
static gboolean connection_is_idle_(const connection_t *connection)
{
	int64_t idle_ms = cb_clock_now_ms(connection->server->clock) -
			  connection->idle_since_ms;
	gboolean can_end = connection->state == CONNECTION_RECEIVING_HEAD ||
			   (connection->state == CONNECTION_LINGERING &&
			    idle_ms >= SHORT_LINGER_MS);

	return can_end && !connection->input->len &&
	       !cb_stream_unsent_bytes(connection->stream) &&
	       !cb_stream_has_input(connection->stream);
}

/* Orders connections by the time that they have been idle, longest first. */
static int idle_compare_(const void *a, const void *b)
{
	const connection_t *left = *(connection_t *const *)a;
	const connection_t *right = *(connection_t *const *)b;

	if (left->idle_since_ms == right->idle_since_ms)
		return 0;
	return left->idle_since_ms < right->idle_since_ms ? -1 : 1;
}

static void listeners_set_paused_(const cb_http1_server_t *server,
				  gboolean is_paused)
{
	unsigned int i;

	for (i = 0; i < server->listeners->len; i++)
		cb_stream_listener_set_paused(server->listeners->pdata[i],
					      is_paused);
}

/*
 * Closes the connections that have been idle for the longest time, as the idle
 * timeout would.  Returns how many these are.
 */
static unsigned int idle_evict_(cb_http1_server_t *server)
{
	GPtrArray *idle = g_ptr_array_new();
	GHashTableIter iter;
	unsigned int evicted;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		if (connection_is_idle_(value))
			g_ptr_array_add(idle, value);
	g_ptr_array_sort(idle, idle_compare_);
	for (i = 0; i < MIN(idle->len, EVICTED_CONNECTIONS); i++) {
		refusal_count_(server, "evicted");
		connection_remove_(idle->pdata[i]);
	}
	evicted = MIN(idle->len, EVICTED_CONNECTIONS);
	g_ptr_array_unref(idle);
	return evicted;
}

/* Accepts none for a while, in which descriptors may come free. */
static void accepting_pause_(cb_http1_server_t *server)
{
	listeners_set_paused_(server, TRUE);
	if (!cb_timer_is_armed(server->accept_timer))
		cb_timer_start(server->accept_timer, EXHAUSTED_PAUSE_MS);
}

/* Returns how many connections wait to be accepted. */
static unsigned int queued_count_(const cb_http1_server_t *server)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < server->listeners->len; i++)
		count += cb_stream_listener_queued(server->listeners->pdata[i]);
	return count;
}

/*
 * Accepts the connections that have waited for too long in place of the spare
 * descriptors; as these are opened again, more follow.
 */
static void queued_refuse_(cb_http1_server_t *server)
{
	int64_t now_ms = cb_clock_now_ms(server->clock);
	unsigned int i;

	if (!server->queued) {
		server->queued = queued_count_(server);
		server->queued_since_ms = now_ms;
	}
	if (now_ms - server->queued_since_ms < QUEUED_MAX_MS)
		return;
	server->is_refusing = TRUE;
	for (i = 0; i < server->listeners->len; i++)
		while (server->queued && spare_give_up_(server) &&
		       cb_stream_listener_accept(server->listeners->pdata[i]))
			;
	server->is_refusing = FALSE;
	spares_open_(server);
}

/*
 * Accepts again, unless requests that were accepted wait for connections to servers.
 */
static void accept_timer_fired_(void *user_data)
{
	cb_http1_server_t *server = user_data;

	if (server->refuses_queued)
		queued_refuse_(server);
	if (cb_clock_now_ms(server->clock) < server->servers_first_until_ms)
		accepting_pause_(server);
	else
		listeners_set_paused_(server, FALSE);
}

/* Has connections end with their answers while descriptors are short. */
static void turns_begin_(cb_http1_server_t *server)
{
	server->turns_until_ms = cb_clock_now_ms(server->clock) + TURNS_MS;
}

/* Makes room for a connection to be accepted; without any, new callers wait a little. */
static void exhausted_handle_(void *user_data)
{
	cb_http1_server_t *server = user_data;
	unsigned int evicted = idle_evict_(server);
	gboolean has_room = evicted > 0;

	turns_begin_(server);
	if (server->exhausted_handler)
		has_room |=
			server->exhausted_handler(evicted, server->user_data);
	if (has_room)
		return;
	refusal_count_(server, "out_of_descriptors");
	accepting_pause_(server);
}

/* Returns whether a descriptor is free, so that something else is lacking. */
static gboolean has_descriptor_(void)
{
	int fd = open("/dev/null", O_RDONLY | O_CLOEXEC);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/*
 * Closes idle connections to make room for one to a server; FALSE if there are none.
 * Descriptors that come free are then for such connections first.
 */
gboolean cb_http1_server_make_room(cb_http1_server_t *server)
{
	gboolean lacks_descriptor = !has_descriptor_();

	if (lacks_descriptor)
		turns_begin_(server);
	if (idle_evict_(server))
		return TRUE;
	if (!lacks_descriptor)
		return FALSE;
	server->servers_first_until_ms =
		cb_clock_now_ms(server->clock) + SERVERS_FIRST_MS;
	accepting_pause_(server);
	return FALSE;
}

/*
 * Creates a server that calls `request` with each complete request.
 * `counters` may be NULL.
 */
cb_http1_server_t *cb_http1_server_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters,
				       cb_http1_request_fn_t request,
				       void *user_data)
{
	cb_http1_server_t *server = g_new0(cb_http1_server_t, 1);
	unsigned int i;

	server->poller = cb_poller_new(context);
	server->clock = clock;
	server->counters = counters;
	server->request_handler = request;
	server->user_data = user_data;
	server->limits = default_limits;
	for (i = 0; i < SPARE_DESCRIPTORS; i++)
		server->spares[i] = -1;
	server->listeners = g_ptr_array_new();
	server->accept_timer = cb_timer_new(clock, accept_timer_fired_, server);
	server->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
	return server;
}

/* Closes all connections and frees the server; NULL is allowed. */
void cb_http1_server_delete(cb_http1_server_t *server)
{
	GHashTableIter iter;
	unsigned int i;
	void *connection;

	if (!server)
		return;
	cb_memory_bound_remove_holder(server->bound, &server->holder);
	for (i = 0; i < server->listeners->len; i++)
		cb_stream_unlisten(server->listeners->pdata[i]);
	g_ptr_array_unref(server->listeners);
	server->refuses_queued = FALSE;
	while (spare_give_up_(server))
		;
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &connection, NULL)) {
		g_hash_table_iter_steal(&iter);
		connection_free_(connection);
	}
	g_hash_table_unref(server->connections);
	cb_timer_delete(server->accept_timer);
	cb_poller_delete(server->poller);
	g_free(server);
}

/* Returns the owner of a request being served that keeps bytes for it, or NULL. */
static const cb_http1_keeper_t *keeper_find_(const connection_t *connection)
{
	return connection->exchange && connection->state == CONNECTION_SERVING ?
		       connection->exchange->keeper :
		       NULL;
}

/* Stops reading the answers that callers don't take. */
static void reading_stop_(cb_memory_holder_t *holder)
{
	const cb_http1_server_t *server = (cb_http1_server_t *)holder;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const connection_t *connection = value;
		const cb_http1_keeper_t *keeper = keeper_find_(connection);

		if (keeper)
			keeper->stop_reading(connection->exchange->user_data);
	}
}

/* Adds each connection, with all that is kept for its request. */
static void claims_list_(cb_memory_holder_t *holder, GArray *claims)
{
	const cb_http1_server_t *server = (cb_http1_server_t *)holder;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const connection_t *connection = value;
		const cb_http1_keeper_t *keeper = keeper_find_(connection);
		cb_memory_claim_t claim = { .holder = holder, .item = value };

		claim.rank = connection->state == CONNECTION_RECEIVING_BODY ||
					     connection->state ==
						     CONNECTION_RECEIVING_HEAD ?
				     CB_MEMORY_RANK_ARRIVING :
				     CB_MEMORY_RANK_ACTIVE;
		claim.bytes = connection->input_account.bytes +
			      cb_stream_kept_bytes(connection->stream);
		if (connection->exchange)
			claim.bytes += connection->exchange->body_account.bytes;
		if (keeper)
			claim.bytes += keeper->kept_bytes(
				connection->exchange->user_data);
		g_array_append_val(claims, claim);
	}
}

/*
 * Refuses a request that is arriving, has the owner of an answer break it off, or
 * resets the connection to a caller that does not read the rest of its answer.
 */
static const char *connection_give_way_(cb_memory_holder_t *holder, void *item)
{
	cb_http1_server_t *server = (cb_http1_server_t *)holder;
	connection_t *connection = item;
	const cb_http1_keeper_t *keeper;

	if (!g_hash_table_contains(server->connections, connection))
		return NULL;
	if (connection->state == CONNECTION_RECEIVING_BODY) {
		request_refuse_(connection, 503, "memory");
		return "request";
	}
	keeper = keeper_find_(connection);
	if (keeper) {
		keeper->give_way(connection->exchange->user_data);
		return "answer";
	}
	cb_stream_set_reset(connection->stream);
	connection_disconnect_(connection);
	return "unread_answer";
}

static const cb_memory_holder_vtable_t holder_vtable = {
	.stop_reading = reading_stop_,
	.list_claims = claims_list_,
	.give_way = connection_give_way_,
};

/* Counts what the server keeps, and has it give way. */
void cb_http1_server_set_bound(cb_http1_server_t *server,
			       cb_memory_bound_t *bound)
{
	server->bound = bound;
	server->holder.vtable = &holder_vtable;
	cb_memory_bound_add_holder(bound, &server->holder);
}

/* Adds "IP:PORT" to the addresses that the server listens on. */
gboolean cb_http1_server_listen(cb_http1_server_t *server, const char *address,
				GError **error)
{
	cb_stream_listener_t *listener =
		cb_stream_listen(server->poller, address, connection_accept_,
				 server, error);

	if (!listener)
		return FALSE;
	cb_stream_listener_on_exhausted(listener, exhausted_handle_);
	g_ptr_array_add(server->listeners, listener);
	return TRUE;
}

/* Returns the port of the first address listened on; 0 without an address. */
uint16_t cb_http1_server_port(const cb_http1_server_t *server)
{
	if (!server->listeners->len)
		return 0;
	return cb_stream_listener_port(server->listeners->pdata[0]);
}

/* Sets the limits; timeouts that are already running are not changed. */
void cb_http1_server_set_limits(cb_http1_server_t *server,
				const cb_http1_limits_t *limits)
{
	server->limits = *limits;
}

/*
 * Limits how many sockets are served before other work of the process gets a
 * turn.
 */
void cb_http1_server_limit_batch(cb_http1_server_t *server, int max_sockets)
{
	cb_poller_limit_batch(server->poller, max_sockets);
}

/* Makes every answer that starts from now on close its connection. */
void cb_http1_server_drain(cb_http1_server_t *server)
{
	server->is_draining = TRUE;
}

/*
 * Returns how many requests are being received or answered; those whose answer
 * is not sent to the end count.
 */
unsigned int cb_http1_server_count_requests(const cb_http1_server_t *server)
{
	unsigned int count = server->open_requests;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const connection_t *connection = value;

		count += !connection->exchange &&
			 cb_stream_unsent_bytes(connection->stream);
	}
	return count;
}

/*
 * Calls `exhausted` with the server's user_data each time that the process has no
 * descriptor for an arriving connection.
 */
void cb_http1_server_on_exhausted(cb_http1_server_t *server,
				  cb_http1_exhausted_fn_t exhausted)
{
	server->exhausted_handler = exhausted;
}

/*
 * Keeps some descriptors for connections that find no other one in time: they are
 * accepted, and refused with 503.
 */
void cb_http1_server_refuse_queued(cb_http1_server_t *server)
{
	server->refuses_queued = TRUE;
	spares_open_(server);
}

/* Returns the number of open connections, those without a request included. */
unsigned int cb_http1_server_count_connections(const cb_http1_server_t *server)
{
	return g_hash_table_size(server->connections);
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

/* Returns when the request's head was complete, in clock milliseconds. */
int64_t cb_http1_exchange_arrived_ms(const cb_http1_exchange_t *exchange)
{
	return exchange->arrived_ms;
}

/* Sets the callback for a caller disconnected before the answer's end. */
void cb_http1_exchange_set_disconnect_fn(cb_http1_exchange_t *exchange,
					 cb_http1_disconnect_fn_t disconnected,
					 void *user_data)
{
	exchange->disconnected = disconnected;
	exchange->user_data = user_data;
}

/* Sets who is asked about what is kept for the exchange. */
void cb_http1_exchange_set_keeper(cb_http1_exchange_t *exchange,
				  const cb_http1_keeper_t *keeper)
{
	exchange->keeper = keeper;
}

/* Returns the bytes that wait for the caller to read. */
size_t cb_http1_exchange_unsent_bytes(const cb_http1_exchange_t *exchange)
{
	return cb_stream_unsent_bytes(exchange->connection->stream);
}

/*
 * Returns the status line and the headers, with Connection: close if needed; to
 * be freed.
 */
static GString *answer_head_create_(cb_http1_exchange_t *exchange,
				    uint32_t status, const char *headers,
				    const char *framing)
{
	const cb_http1_server_t *server = exchange->connection->server;
	GString *text = g_string_new(NULL);

	if (server->is_draining ||
	    cb_clock_now_ms(server->clock) < server->turns_until_ms)
		exchange->closes_connection = TRUE;
	g_string_append_printf(text, "HTTP/1.1 %u %s\r\n%s%s%s\r\n", status,
			       cb_http1_status_text(status),
			       headers ? headers : "", framing,
			       exchange->closes_connection ?
				       "Connection: close\r\n" :
				       "");
	return text;
}

/* Frees the memory of a large request that the connection does not need now. */
static void connection_input_shrink_(connection_t *connection)
{
	if (connection->input->len ||
	    connection->input_account.bytes <= JOINED_BODY_MAX_BYTES)
		return;
	g_byte_array_unref(connection->input);
	connection->input = g_byte_array_new();
	cb_memory_account_set(&connection->input_account, CONNECTION_BYTES);
}

/*
 * Frees an exchange, then closes its connection or has the next request parsed
 * from the main loop.
 */
static void exchange_finish_(cb_http1_exchange_t *exchange)
{
	connection_t *connection = exchange->connection;
	gboolean closes_connection = exchange->closes_connection;

	exchange_delete_(exchange);
	connection->exchange = NULL;
	connection_input_shrink_(connection);
	cb_stream_set_paused(connection->stream, FALSE);
	if (closes_connection) {
		connection_linger_(connection);
		return;
	}
	connection->state = CONNECTION_RECEIVING_HEAD;
	connection_wait_idle_(connection);
	if (!connection->input->len)
		return;
	/* Parsing it here would nest the calls of all pipelined requests. */
	connection->has_unparsed_input = TRUE;
	cb_timer_start(connection->timer, 0);
}

/* Sends a complete answer. */
void cb_http1_exchange_reply(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers, const void *body, size_t size)
{
	gboolean is_head_request = !strcmp(exchange->head.method, "HEAD");
	gboolean is_joined = size <= JOINED_BODY_MAX_BYTES;
	cb_stream_t *stream = exchange->connection->stream;
	char framing[64];
	GString *text;

	(void)snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
		       size);
	text = answer_head_create_(exchange, status, headers, framing);
	if (is_head_request)
		size = 0;
	if (is_joined)
		g_string_append_len(text, body, (gssize)size);
	cb_stream_send(stream, text->str, text->len);
	if (!is_joined && size)
		cb_stream_send(stream, body, size);
	g_string_free(text, TRUE);
	exchange_finish_(exchange);
}

/* Sends a complete answer of JSON text. */
void cb_http1_exchange_reply_json(cb_http1_exchange_t *exchange,
				  uint32_t status, const char *text)
{
	cb_http1_exchange_reply(exchange, status,
				"Content-Type: application/json\r\n", text,
				strlen(text));
}

/* Sends the head of an answer whose length is not known yet. */
void cb_http1_exchange_begin(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers)
{
	GString *text;

	exchange->is_chunked = exchange->head.minor_version >= 1;
	if (!exchange->is_chunked)
		exchange->closes_connection = TRUE;
	text = answer_head_create_(exchange, status, headers,
				   exchange->is_chunked ?
					   "Transfer-Encoding: chunked\r\n" :
					   "");
	cb_stream_send(exchange->connection->stream, text->str, text->len);
	g_string_free(text, TRUE);
}

static void chunk_send_(cb_stream_t *stream, const void *data, size_t size)
{
	GString *chunk = g_string_sized_new(size + 16);

	g_string_append_printf(chunk, "%zx\r\n", size);
	g_string_append_len(chunk, data, (gssize)size);
	g_string_append(chunk, "\r\n");
	cb_stream_send(stream, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

/* Sends a chunk without another copy of its data. */
static void large_chunk_send_(cb_stream_t *stream, const void *data,
			      size_t size)
{
	char line[32];

	(void)snprintf(line, sizeof(line), "%zx\r\n", size);
	cb_stream_send(stream, line, strlen(line));
	cb_stream_send(stream, data, size);
	cb_stream_send(stream, "\r\n", 2);
}

/* Sends a piece of the body of an answer that was begun. */
void cb_http1_exchange_write(cb_http1_exchange_t *exchange, const void *data,
			     size_t size)
{
	cb_stream_t *stream = exchange->connection->stream;

	if (!size)
		return;
	if (exchange->is_chunked && size > JOINED_BODY_MAX_BYTES)
		large_chunk_send_(stream, data, size);
	else if (exchange->is_chunked)
		chunk_send_(stream, data, size);
	else
		cb_stream_send(stream, data, size);
	/* Disconnects in the main loop: the owner still uses the exchange. */
	if (cb_stream_unsent_bytes(stream) > UNSENT_MAX_BYTES)
		cb_timer_start(exchange->connection->timer, 0);
}

/* Ends an answer that was begun; the caller sees it as complete. */
void cb_http1_exchange_end(cb_http1_exchange_t *exchange)
{
	if (exchange->is_chunked)
		cb_stream_send(exchange->connection->stream, "0\r\n\r\n", 5);
	exchange_finish_(exchange);
}

/* Resets the connection; the owner is not notified. */
void cb_http1_exchange_abort(cb_http1_exchange_t *exchange)
{
	connection_t *connection = exchange->connection;

	cb_stream_reset(g_steal_pointer(&connection->stream));
	connection_remove_(connection);
}
