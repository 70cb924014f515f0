#include "private/http_message.h"

#include <string.h>

#include "currantbridge/http_server.h"
#include "currantbridge/refusal.h"

#define CONNECTION_KEY "cb-connection"
#define ARRIVAL_KEY "cb-arrival"
/* A header must be whole this long after its first byte. */
#define HEADER_TIMEOUT_MS 10000
/* A connection without a request is closed after this long. */
#define IDLE_TIMEOUT_MS 300000

/* A body must be whole this long after its header. */
#define BODY_TIMEOUT_MS 60000

/* How much of a request has come. */
typedef enum stage {
	STAGE_HEADER,
	STAGE_BODY,
	STAGE_OVER, /* whole, or answered before that */
} stage_t;

/* A request whose header or body is arriving. */
typedef struct arrival {
	cb_http_guard_t *guard;
	SoupServerMessage *message; /* owns the arrival */
	cb_connection_t *connection;
	stage_t stage;
	uint64_t body_bytes;
	int64_t idle_ms;
	cb_timer_t *timer;
	GSource *refusal;
} arrival_t;

/* Lets cb_message_connection() find the connection by its remote address. */
void cb_connection_name(cb_connection_t *connection, GSocketAddress *remote)
{
	g_object_set_data_full(G_OBJECT(remote), CONNECTION_KEY,
			       g_object_ref(connection), g_object_unref);
}

/* Returns the connection that a message came on, or NULL. */
cb_connection_t *cb_message_connection(SoupServerMessage *message)
{
	GSocketAddress *remote =
		soup_server_message_get_remote_address(message);

	return remote ? g_object_get_data(G_OBJECT(remote), CONNECTION_KEY) :
			NULL;
}

static void refusal_stop_(arrival_t *arrival)
{
	if (!arrival->refusal)
		return;
	g_source_destroy(arrival->refusal);
	g_source_unref(arrival->refusal);
	arrival->refusal = NULL;
}

static char *error_text_(cb_refusal_t refusal)
{
	return g_strdup_printf("{\"error\":{\"reason\":\"%s\",\"message\":"
			       "\"%s\",\"executed\":\"no\"}}",
			       cb_refusal_string[refusal],
			       cb_refusal_message[refusal]);
}

/* Answers on a connection that libsoup has given up, or is about to. */
static void raw_refuse_(cb_connection_t *connection, cb_refusal_t refusal)
{
	uint32_t status = cb_refusal_status[refusal];
	char *text = error_text_(refusal);
	char *answer = g_strdup_printf(
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, soup_status_get_phrase(status), strlen(text), text);

	cb_connection_send(connection, answer, strlen(answer));
	g_free(answer);
	g_free(text);
}

/* Counts a request that did not come whole, and answers if libsoup did not. */
static void arrival_end_(arrival_t *arrival)
{
	cb_http_guard_t *guard = arrival->guard;
	cb_refusal_t refusal = CB_REFUSAL_HEADER_INVALID;

	if (arrival->stage == STAGE_OVER || !arrival->connection ||
	    cb_connection_request_bytes(arrival->connection) == 0)
		return;
	if (arrival->stage == STAGE_BODY)
		refusal = CB_REFUSAL_MALFORMED;
	cb_counter_add(refusal == CB_REFUSAL_MALFORMED ? guard->malformed :
							 guard->header_invalid,
		       1);
	if (cb_connection_answer_bytes(arrival->connection) == 0)
		raw_refuse_(arrival->connection, refusal);
}

static void arrival_delete_(void *data)
{
	arrival_t *arrival = data;

	arrival_end_(arrival);
	refusal_stop_(arrival);
	cb_timer_delete(arrival->timer);
	g_clear_object(&arrival->connection);
	g_free(arrival);
}

/*
 * Answers while the body still arrives.  libsoup answers only once it has
 * the whole body, so the connection is taken from it.
 */
static gboolean body_refuse_(void *user_data)
{
	arrival_t *arrival = user_data;
	SoupServerMessage *message = g_object_ref(arrival->message);
	cb_connection_t *connection = g_object_ref(arrival->connection);
	GIOStream *stream;

	refusal_stop_(arrival);
	arrival->stage = STAGE_OVER;
	cb_timer_stop(arrival->timer);
	cb_counter_add(arrival->guard->body_too_large, 1);
	stream = soup_server_message_steal_connection(message);
	raw_refuse_(connection, CB_REFUSAL_BODY_TOO_LARGE);
	g_io_stream_close(cb_connection_stream(connection), NULL, NULL);
	g_clear_object(&stream);
	g_object_unref(connection);
	g_object_unref(message);
	return G_SOURCE_REMOVE;
}

static void body_check_(arrival_t *arrival, uint64_t size_bytes)
{
	int64_t most = arrival->guard->max_body_bytes;

	if (most == 0 || size_bytes <= (uint64_t)most || arrival->refusal ||
	    !arrival->connection)
		return;
	soup_message_body_set_accumulate(soup_server_message_get_request_body(
						 arrival->message),
					 FALSE);
	arrival->refusal = g_idle_source_new();
	g_source_set_priority(arrival->refusal, G_PRIORITY_HIGH);
	g_source_set_callback(arrival->refusal, body_refuse_, arrival, NULL);
	g_source_attach(arrival->refusal, arrival->guard->context);
}

static void got_chunk_(SoupServerMessage *message, GBytes *chunk,
		       void *user_data)
{
	arrival_t *arrival = user_data;

	(void)message;
	arrival->body_bytes += g_bytes_get_size(chunk);
	body_check_(arrival, arrival->body_bytes);
}

static void got_headers_(SoupServerMessage *message, void *user_data)
{
	arrival_t *arrival = user_data;
	SoupMessageHeaders *request =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *response =
		soup_server_message_get_response_headers(message);

	arrival->stage = STAGE_BODY;
	if (arrival->connection)
		cb_timer_start(arrival->timer, BODY_TIMEOUT_MS);
	/* libsoup ends a connection that it has not accepted itself. */
	soup_message_headers_replace(response, "Connection", "close");
	soup_message_headers_remove(response, "Content-Type");
	soup_message_body_truncate(
		soup_server_message_get_response_body(message));
	if (soup_message_headers_get_encoding(request) ==
	    SOUP_ENCODING_CONTENT_LENGTH)
		body_check_(arrival,
			    (uint64_t)soup_message_headers_get_content_length(
				    request));
}

static void got_body_(SoupServerMessage *message, void *user_data)
{
	arrival_t *arrival = user_data;

	(void)message;
	arrival->stage = STAGE_OVER;
	cb_timer_stop(arrival->timer);
}

/* Ends a connection whose request does not come to its end. */
static void late_(void *user_data)
{
	arrival_t *arrival = user_data;

	arrival->idle_ms += HEADER_TIMEOUT_MS;
	if (cb_connection_request_bytes(arrival->connection) > 0 ||
	    arrival->idle_ms >= IDLE_TIMEOUT_MS)
		cb_connection_stop_reading(arrival->connection);
	else
		cb_timer_start(arrival->timer, HEADER_TIMEOUT_MS);
}

/* libsoup answers an invalid header itself, with the body found here. */
static void error_prepare_(SoupServerMessage *message)
{
	char *text = error_text_(CB_REFUSAL_HEADER_INVALID);

	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

static void request_started_(SoupServer *soup, SoupServerMessage *message,
			     void *user_data)
{
	arrival_t *arrival = g_new0(arrival_t, 1);

	(void)soup;
	arrival->guard = user_data;
	arrival->message = message;
	arrival->connection = cb_message_connection(message);
	arrival->timer = cb_timer_new(arrival->guard->clock, late_, arrival);
	g_object_set_data_full(G_OBJECT(message), ARRIVAL_KEY, arrival,
			       arrival_delete_);
	error_prepare_(message);
	g_signal_connect(message, "got-headers", G_CALLBACK(got_headers_),
			 arrival);
	g_signal_connect(message, "got-chunk", G_CALLBACK(got_chunk_), arrival);
	g_signal_connect(message, "got-body", G_CALLBACK(got_body_), arrival);
	if (!arrival->connection)
		return;
	g_object_ref(arrival->connection);
	cb_connection_request_starts(arrival->connection);
	cb_timer_start(arrival->timer, HEADER_TIMEOUT_MS);
}

/* Guards all requests of a server; the guard must outlive it. */
void cb_http_guard_attach(cb_http_guard_t *guard, SoupServer *soup)
{
	g_signal_connect(soup, "request-started", G_CALLBACK(request_started_),
			 guard);
}
