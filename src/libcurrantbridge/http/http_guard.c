#include "private/http_message.h"

#include <string.h>

#include "currantbridge/http_server.h"
#include "currantbridge/refusal.h"

#define CONNECTION_KEY "cb-connection"
#define ARRIVAL_KEY "cb-arrival"
/*
 * Longest time from the first byte of a header to its end.  Checked at this
 * interval, so a header that starts just before a check gets less time.
 */
#define HEADER_TIMEOUT_MS 10000
/* A connection on which no request starts is closed after this time. */
#define IDLE_TIMEOUT_MS 300000

/* Longest time from the end of the header to the end of the body. */
#define BODY_TIMEOUT_MS 60000

/* How much of a request has been received. */
typedef enum stage {
	STAGE_HEADER,
	STAGE_BODY,
	/* The request is complete, or refused as its body is too large. */
	STAGE_DONE,
} stage_t;

/* A request that is being received. */
typedef struct arrival {
	cb_http_guard_t *guard;
	/* Message of the request, which owns the arrival. */
	SoupServerMessage *message;
	/* Connection of the request; NULL if not accepted by this server. */
	cb_connection_t *connection;
	stage_t stage;
	uint64_t body_bytes; /* number of bytes of the body received so far */
	int64_t idle_ms;     /* time waited for the first byte of the request */
	/* Limits the time to receive the header, then the body. */
	cb_timer_t *timer;
	GSource *refusal_source; /* refuses the body once it is too large */
} arrival_t;

/* Lets cb_message_connection() find the connection by its remote address. */
void cb_connection_attach_to_address(cb_connection_t *connection,
				     GSocketAddress *remote)
{
	g_object_set_data_full(G_OBJECT(remote), CONNECTION_KEY,
			       g_object_ref(connection), g_object_unref);
}

/* Returns the connection on which a message was received, or NULL. */
cb_connection_t *cb_message_connection(SoupServerMessage *message)
{
	GSocketAddress *remote =
		soup_server_message_get_remote_address(message);

	return remote ? g_object_get_data(G_OBJECT(remote), CONNECTION_KEY) :
			NULL;
}

static void refusal_cancel_(arrival_t *arrival)
{
	if (!arrival->refusal_source)
		return;
	g_source_destroy(arrival->refusal_source);
	g_source_unref(arrival->refusal_source);
	arrival->refusal_source = NULL;
}

static char *error_format_(cb_refusal_t refusal)
{
	return g_strdup_printf("{\"error\":{\"reason\":\"%s\",\"message\":"
			       "\"%s\",\"executed\":\"no\"}}",
			       cb_refusal_string[refusal],
			       cb_refusal_message[refusal]);
}

/* Answers on a connection that libsoup has released or will release. */
static void refusal_send_(cb_connection_t *connection, cb_refusal_t refusal)
{
	uint32_t status = cb_refusal_status[refusal];
	char *text = error_format_(refusal);
	char *answer = g_strdup_printf(
		"HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		status, soup_status_get_phrase(status), strlen(text), text);

	cb_connection_send(connection, answer, strlen(answer));
	g_free(answer);
	g_free(text);
}

/* Counts an incomplete request and answers it unless libsoup has done so. */
static void arrival_refuse_incomplete_(arrival_t *arrival)
{
	cb_http_guard_t *guard = arrival->guard;
	cb_refusal_t refusal = CB_REFUSAL_HEADER_INVALID;

	if (arrival->stage == STAGE_DONE || !arrival->connection ||
	    cb_connection_request_bytes(arrival->connection) == 0)
		return;
	if (arrival->stage == STAGE_BODY)
		refusal = CB_REFUSAL_MALFORMED;
	cb_counter_add(refusal == CB_REFUSAL_MALFORMED ? guard->malformed :
							 guard->header_invalid,
		       1);
	if (cb_connection_answer_bytes(arrival->connection) == 0)
		refusal_send_(arrival->connection, refusal);
}

static void arrival_delete_(void *data)
{
	arrival_t *arrival = data;

	arrival_refuse_incomplete_(arrival);
	refusal_cancel_(arrival);
	cb_timer_delete(arrival->timer);
	g_clear_object(&arrival->connection);
	g_free(arrival);
}

/*
 * Refuses a body before it is complete.  libsoup answers only after the whole
 * body, so the connection is taken from it.
 */
static gboolean body_refuse_(void *user_data)
{
	arrival_t *arrival = user_data;
	SoupServerMessage *message = g_object_ref(arrival->message);
	cb_connection_t *connection = g_object_ref(arrival->connection);
	GIOStream *stream;

	refusal_cancel_(arrival);
	arrival->stage = STAGE_DONE;
	cb_timer_stop(arrival->timer);
	cb_counter_add(arrival->guard->body_too_large, 1);
	stream = soup_server_message_steal_connection(message);
	refusal_send_(connection, CB_REFUSAL_BODY_TOO_LARGE);
	g_io_stream_close(cb_connection_stream(connection), NULL, NULL);
	g_clear_object(&stream);
	g_object_unref(connection);
	g_object_unref(message);
	return G_SOURCE_REMOVE;
}

static void body_size_check_(arrival_t *arrival, uint64_t size_bytes)
{
	int64_t limit_bytes = arrival->guard->max_body_bytes;

	if (limit_bytes == 0 || size_bytes <= (uint64_t)limit_bytes ||
	    arrival->refusal_source || !arrival->connection)
		return;
	soup_message_body_set_accumulate(soup_server_message_get_request_body(
						 arrival->message),
					 FALSE);
	arrival->refusal_source = g_idle_source_new();
	g_source_set_priority(arrival->refusal_source, G_PRIORITY_HIGH);
	g_source_set_callback(arrival->refusal_source, body_refuse_, arrival,
			      NULL);
	g_source_attach(arrival->refusal_source, arrival->guard->context);
}

static void chunk_bytes_count_(SoupServerMessage *message, GBytes *chunk,
			       void *user_data)
{
	arrival_t *arrival = user_data;

	(void)message;
	arrival->body_bytes += g_bytes_get_size(chunk);
	body_size_check_(arrival, arrival->body_bytes);
}

static void headers_check_(SoupServerMessage *message, void *user_data)
{
	arrival_t *arrival = user_data;
	SoupMessageHeaders *request =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *response =
		soup_server_message_get_response_headers(message);

	arrival->stage = STAGE_BODY;
	if (arrival->connection)
		cb_timer_start(arrival->timer, BODY_TIMEOUT_MS);
	/* libsoup closes a connection that it did not accept itself. */
	soup_message_headers_replace(response, "Connection", "close");
	soup_message_headers_remove(response, "Content-Type");
	soup_message_body_truncate(
		soup_server_message_get_response_body(message));
	if (soup_message_headers_get_encoding(request) ==
	    SOUP_ENCODING_CONTENT_LENGTH)
		body_size_check_(
			arrival,
			(uint64_t)soup_message_headers_get_content_length(
				request));
}

static void body_complete_record_(SoupServerMessage *message, void *user_data)
{
	arrival_t *arrival = user_data;

	(void)message;
	arrival->stage = STAGE_DONE;
	cb_timer_stop(arrival->timer);
}

/* Ends a connection whose request is not complete in time. */
static void arrival_timeout_handle_(void *user_data)
{
	arrival_t *arrival = user_data;

	arrival->idle_ms += HEADER_TIMEOUT_MS;
	if (cb_connection_request_bytes(arrival->connection) > 0 ||
	    arrival->idle_ms >= IDLE_TIMEOUT_MS)
		cb_connection_stop_reading(arrival->connection);
	else
		cb_timer_start(arrival->timer, HEADER_TIMEOUT_MS);
}

/* libsoup answers an invalid header itself, with the body set here. */
static void header_error_prepare_(SoupServerMessage *message)
{
	char *text = error_format_(CB_REFUSAL_HEADER_INVALID);

	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

static void request_check_limits_(SoupServer *soup, SoupServerMessage *message,
				  void *user_data)
{
	arrival_t *arrival = g_new0(arrival_t, 1);

	(void)soup;
	arrival->guard = user_data;
	arrival->message = message;
	arrival->connection = cb_message_connection(message);
	arrival->timer = cb_timer_new(arrival->guard->clock,
				      arrival_timeout_handle_, arrival);
	g_object_set_data_full(G_OBJECT(message), ARRIVAL_KEY, arrival,
			       arrival_delete_);
	header_error_prepare_(message);
	g_signal_connect(message, "got-headers", G_CALLBACK(headers_check_),
			 arrival);
	g_signal_connect(message, "got-chunk", G_CALLBACK(chunk_bytes_count_),
			 arrival);
	g_signal_connect(message, "got-body", G_CALLBACK(body_complete_record_),
			 arrival);
	if (!arrival->connection)
		return;
	g_object_ref(arrival->connection);
	cb_connection_reset_counts(arrival->connection);
	cb_timer_start(arrival->timer, HEADER_TIMEOUT_MS);
}

/* Checks all requests of `soup`; the guard must outlive it. */
void cb_http_guard_attach(cb_http_guard_t *guard, SoupServer *soup)
{
	g_signal_connect(soup, "request-started",
			 G_CALLBACK(request_check_limits_), guard);
}
