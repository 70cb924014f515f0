#include "private/event_stream.h"

#include "private/http_message.h"

/*
 * libsoup writes the head and the end of the answer.  The events between are
 * written directly to the connection: through libsoup each would cost a main
 * loop iteration and three writes.
 */
struct cb_event_stream {
	cb_caller_t *caller;
	SoupServerMessage *message;
	cb_connection_t *connection;
	gboolean is_chunked;
	gboolean is_head_written;
	gboolean is_ended;
	/* Events queued until the answer's header is written, then NULL. */
	GString *pending_events;
	gulong head_handler_id;
	int64_t max_unread_bytes;
	cb_event_stream_overflow_fn_t overflowed;
	void *user_data;
	GSource *overflow_source;
};

static void events_send_(cb_event_stream_t *stream, const GString *events)
{
	if (events->len == 0)
		return;
	if (stream->is_chunked)
		cb_connection_send_chunk(stream->connection, events->str,
					 events->len);
	else
		cb_connection_send(stream->connection, events->str,
				   events->len);
}

static void body_complete_(cb_event_stream_t *stream)
{
	soup_message_body_complete(
		soup_server_message_get_response_body(stream->message));
	cb_caller_resume(stream->caller);
}

static void head_written_(SoupServerMessage *message, void *user_data)
{
	cb_event_stream_t *stream = user_data;

	(void)message;
	stream->is_head_written = TRUE;
	events_send_(stream, stream->pending_events);
	g_string_free(stream->pending_events, TRUE);
	stream->pending_events = NULL;
	if (stream->is_ended)
		body_complete_(stream);
}

/*
 * Begins the streamed answer of a suspended caller.  `overflowed` is called
 * when the caller has left more than `max_unread_bytes` unread.
 */
cb_event_stream_t *cb_event_stream_new(cb_caller_t *caller,
				       int64_t max_unread_bytes,
				       cb_event_stream_overflow_fn_t overflowed,
				       void *user_data)
{
	cb_event_stream_t *stream = g_new0(cb_event_stream_t, 1);
	SoupServerMessage *message = cb_caller_message(caller);
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	stream->caller = caller;
	stream->message = message;
	stream->connection = cb_message_connection(message);
	stream->is_chunked =
		soup_server_message_get_http_version(message) != SOUP_HTTP_1_0;
	stream->pending_events = g_string_new(NULL);
	stream->max_unread_bytes = max_unread_bytes;
	stream->overflowed = overflowed;
	stream->user_data = user_data;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-cache");
	soup_message_headers_set_encoding(headers,
					  stream->is_chunked ?
						  SOUP_ENCODING_CHUNKED :
						  SOUP_ENCODING_EOF);
	stream->head_handler_id =
		g_signal_connect(message, "wrote-headers",
				 G_CALLBACK(head_written_), stream);
	cb_caller_resume(caller);
	return stream;
}

/* Deletes the stream without ending the answer; NULL is allowed. */
void cb_event_stream_delete(cb_event_stream_t *stream)
{
	if (!stream)
		return;
	if (stream->overflow_source) {
		g_source_destroy(stream->overflow_source);
		g_source_unref(stream->overflow_source);
	}
	g_signal_handler_disconnect(stream->message, stream->head_handler_id);
	if (stream->pending_events)
		g_string_free(stream->pending_events, TRUE);
	g_free(stream);
}

/* Returns the number of bytes that are not yet sent to the caller. */
int64_t cb_event_stream_unread_bytes(const cb_event_stream_t *stream)
{
	if (stream->pending_events)
		return (int64_t)stream->pending_events->len;
	return (int64_t)cb_connection_unsent_bytes(stream->connection);
}

static gboolean overflow_dispatch_(void *user_data)
{
	cb_event_stream_t *stream = user_data;

	stream->overflowed(stream->user_data);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules the overflow callback in the main loop, so that it may safely
 * delete the stream.
 */
static void overflow_schedule_(cb_event_stream_t *stream)
{
	if (stream->overflow_source)
		return;
	stream->overflow_source = g_idle_source_new();
	/*
	 * At a lower priority, the stream's own traffic could starve this
	 * source.
	 */
	g_source_set_priority(stream->overflow_source, G_PRIORITY_DEFAULT);
	g_source_set_callback(stream->overflow_source, overflow_dispatch_,
			      stream, NULL);
	g_source_attach(stream->overflow_source,
			cb_kernel_context(
				cb_caller_entry(stream->caller)->kernel));
}

/* Sends complete server-sent events to the caller. */
void cb_event_stream_write(cb_event_stream_t *stream, const GString *events)
{
	if (stream->overflow_source)
		return;
	if (stream->is_head_written)
		events_send_(stream, events);
	else
		g_string_append_len(stream->pending_events, events->str,
				    (gssize)events->len);
	if (!stream->is_head_written ||
	    cb_event_stream_unread_bytes(stream) <= stream->max_unread_bytes)
		return;
	/* Within a batch the connection buffers events, so send them first. */
	cb_connection_flush(stream->connection);
	if (cb_event_stream_unread_bytes(stream) > stream->max_unread_bytes)
		overflow_schedule_(stream);
}

/* Ends the streamed answer to the caller. */
void cb_event_stream_end(cb_event_stream_t *stream)
{
	stream->is_ended = TRUE;
	if (stream->is_head_written)
		body_complete_(stream);
}
