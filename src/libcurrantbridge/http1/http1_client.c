#include "currantbridge/http1_client.h"

#include <errno.h>
#include <string.h>

#include "private/http1_body.h"
#include "currantbridge/http1_head.h"
#include "private/stream.h"

/* A server in the region answers in 1 ms; resending a packet takes longer. */
#define CONNECT_TIMEOUT_MS 200
/* Idle limit of a connection; a shorter Keep-Alive timeout takes precedence. */
#define IDLE_MAX_MS 10000
/* How long before the server's own idle timeout a connection is closed. */
#define IDLE_MARGIN_MS 500
/* Limits of an answer's head and the interim answers (1xx) before it. */
#define ANSWER_HEAD_MAX_BYTES 32768
#define INTERIM_ANSWERS_MAX 64

const char *const cb_http1_result_string[CB_HTTP1_RESULT_COUNT] = {
	[CB_HTTP1_COMPLETE] = "complete",
	[CB_HTTP1_UNSENT] = "unsent",
	[CB_HTTP1_LOST] = "lost",
	[CB_HTTP1_TRUNCATED] = "truncated",
	[CB_HTTP1_MALFORMED] = "malformed",
	[CB_HTTP1_NO_RESOURCES] = "no_resources",
};

/* A connection to a server: idle in the pool, or in use by a call. */
typedef struct connection {
	cb_http1_client_t *client;
	uint64_t id;
	char *address;
	cb_stream_t *stream;
	cb_timer_t *timer; /* connect timeout, later idle timeout */
	/* Call that uses the connection; NULL if idle. */
	cb_http1_call_t *call;
	int64_t idle_since_ms;
	int64_t idle_max_ms;
	gboolean is_open; /* whether the connection was established */
	gboolean
		lacks_resources; /* it could not be made for lack of resources */
} connection_t;

struct cb_http1_call {
	/* Connection of the call; NULL once released. */
	connection_t *connection;
	char *method;
	GString *request;  /* request to be sent; NULL once it was sent */
	GByteArray *input; /* bytes received and not parsed yet */
	cb_memory_account_t request_account;
	cb_memory_account_t input_account;
	/* Interim answers received, and the bytes of their heads. */
	unsigned int interim_count;
	size_t interim_bytes;
	gboolean has_head; /* whether `head` and `body_reader` are set */
	cb_http1_head_t head;
	cb_http1_body_t body_reader;
	gboolean
		is_first; /* whether the connection carried no request before */
	gboolean is_cancelled;
	gboolean is_in_callback; /* whether `handler` may be running */
	const cb_http1_call_handler_t *handler;
	void *user_data;
};

struct cb_http1_client {
	cb_poller_t *poller;
	cb_clock_t *clock;
	cb_counter_t *opened_counter; /* connections opened; may be NULL */
	/* Address to GQueue of connection_t, the latest released one first. */
	GHashTable *idle_connections;
	GHashTable *connections; /* set of all connections */
	uint64_t next_connection_id;
	/* Frees resources for another connection; may be NULL. */
	gboolean (*make_room)(void *user_data);
	void *make_room_data;
	cb_memory_bound_t *bound; /* of what calls keep; may be NULL */
};

/* Removes a connection from the pool, closes it and frees it. */
static void connection_delete_(connection_t *connection)
{
	GQueue *queue =
		g_hash_table_lookup(connection->client->idle_connections,
				    connection->address);

	if (queue)
		g_queue_remove(queue, connection);
	g_hash_table_remove(connection->client->connections, connection);
	cb_stream_delete(connection->stream);
	cb_timer_delete(connection->timer);
	g_free(connection->address);
	g_free(connection);
}

static void call_free_(cb_http1_call_t *call)
{
	if (call->has_head) {
		cb_http1_head_clear(&call->head);
		cb_http1_body_clear(&call->body_reader);
	}
	if (call->request)
		g_string_free(call->request, TRUE);
	cb_memory_account_set(&call->request_account, 0);
	cb_memory_account_set(&call->input_account, 0);
	g_byte_array_unref(call->input);
	g_free(call->method);
	g_free(call);
}

/*
 * Ends a call: closes its connection unless that was released to the pool,
 * calls done() unless the call was cancelled, and frees the call.
 */
static void call_end_(cb_http1_call_t *call, cb_http1_result_t result)
{
	if (call->connection) {
		call->connection->call = NULL;
		connection_delete_(call->connection);
		call->connection = NULL;
	}
	if (!call->is_cancelled)
		call->handler->done(call->user_data, result);
	call_free_(call);
}

/* Returns how long a connection may stay idle, by the Keep-Alive header. */
static int64_t idle_limit_parse_(const cb_http1_head_t *head)
{
	const char *text = cb_http1_head_find(head, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t server_timeout_ms;

	if (!timeout)
		return IDLE_MAX_MS;
	server_timeout_ms =
		(int64_t)g_ascii_strtoull(timeout + strlen("timeout="), NULL,
					  10) *
		1000;
	return CLAMP(server_timeout_ms - IDLE_MARGIN_MS, 0, IDLE_MAX_MS);
}

/* Returns the connection of a complete call to the pool if it can be reused. */
static void connection_release_(cb_http1_call_t *call)
{
	connection_t *connection = call->connection;
	cb_http1_client_t *client = connection->client;
	GQueue *queue = g_hash_table_lookup(client->idle_connections,
					    connection->address);

	connection->call = NULL;
	call->connection = NULL;
	cb_stream_set_paused(connection->stream, FALSE);
	connection->idle_max_ms = idle_limit_parse_(&call->head);
	if (!call->head.keeps_alive || call->input->len ||
	    !connection->idle_max_ms ||
	    cb_stream_unsent_bytes(connection->stream)) {
		connection_delete_(connection);
		return;
	}
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->idle_connections,
				    g_strdup(connection->address), queue);
	}
	g_queue_push_head(queue, connection);
	connection->idle_since_ms = cb_clock_now_ms(client->clock);
	cb_timer_start(connection->timer, connection->idle_max_ms);
}

/* Called when the whole answer was received. */
static void call_complete_(cb_http1_call_t *call)
{
	connection_release_(call);
	call_end_(call, CB_HTTP1_COMPLETE);
}

static void body_data_deliver_(void *user_data, const uint8_t *data,
			       size_t size)
{
	cb_http1_call_t *call = user_data;

	if (!call->is_cancelled && call->handler->data)
		call->handler->data(call->user_data, data, size);
}

/* Passes the head to the call's handler; FALSE if the call has ended. */
static gboolean head_deliver_(cb_http1_call_t *call)
{
	gboolean is_accepted;

	call->is_in_callback = TRUE;
	is_accepted = !call->handler->head ||
		      call->handler->head(call->user_data, &call->head);
	call->is_in_callback = FALSE;
	if (call->is_cancelled || !is_accepted) {
		call_end_(call, CB_HTTP1_MALFORMED);
		return FALSE;
	}
	return TRUE;
}

/*
 * Parses the next head, be it final or interim, and removes it from the input.
 * The limit in bytes holds for all heads of the answer together.
 */
static cb_http1_parse_result_t head_parse_(cb_http1_call_t *call)
{
	size_t used = 0;
	cb_http1_parse_result_t result = cb_http1_answer_parse(
		&call->head, call->method, call->input->data, call->input->len,
		ANSWER_HEAD_MAX_BYTES - call->interim_bytes, &used);

	if (result != CB_HTTP1_PARSE_COMPLETE)
		return result;
	g_byte_array_remove_range(call->input, 0, (unsigned int)used);
	if (call->head.status >= 200)
		return result;
	call->interim_bytes += used;
	cb_http1_head_clear(&call->head);
	return ++call->interim_count > INTERIM_ANSWERS_MAX ?
		       CB_HTTP1_PARSE_OVERSIZE :
		       CB_HTTP1_PARSE_COMPLETE;
}

/*
 * Parses the head after any interim answers, which are skipped; FALSE if it is
 * incomplete or the call has ended.
 */
static gboolean head_receive_(cb_http1_call_t *call)
{
	cb_http1_parse_result_t result;

	do {
		result = head_parse_(call);
	} while (result == CB_HTTP1_PARSE_COMPLETE && !call->head.status);
	if (result == CB_HTTP1_PARSE_PARTIAL)
		return FALSE;
	if (result != CB_HTTP1_PARSE_COMPLETE) {
		call_end_(call, CB_HTTP1_MALFORMED);
		return FALSE;
	}
	call->has_head = TRUE;
	cb_http1_body_init(&call->body_reader, &call->head);
	return head_deliver_(call);
}

/* Parses the part of the body received so far. */
static void body_receive_(cb_http1_call_t *call)
{
	cb_http1_parse_result_t result;
	size_t used;

	call->is_in_callback = TRUE;
	result = cb_http1_body_read(&call->body_reader, call->input->data,
				    call->input->len, &used, body_data_deliver_,
				    call);
	if (!call->is_cancelled && call->handler->data_end)
		call->handler->data_end(call->user_data);
	call->is_in_callback = FALSE;
	if (call->is_cancelled) {
		call_end_(call, CB_HTTP1_LOST);
		return;
	}
	g_byte_array_remove_range(call->input, 0, (unsigned int)used);
	if (result == CB_HTTP1_PARSE_COMPLETE)
		call_complete_(call);
	else if (result != CB_HTTP1_PARSE_PARTIAL)
		call_end_(call, CB_HTTP1_MALFORMED);
}

static void input_receive_(void *user_data, const uint8_t *data, size_t size)
{
	connection_t *connection = user_data;
	cb_http1_call_t *call = connection->call;

	if (!call) {
		/* The server sent bytes on an idle connection. */
		connection_delete_(connection);
		return;
	}
	g_byte_array_append(call->input, data, (unsigned int)size);
	cb_memory_account_grow(&call->input_account, call->input->len);
	if (call->has_head || head_receive_(call))
		body_receive_(call);
}

/* Ends the call with the result that follows from how much was received. */
static void stream_end_handle_(void *user_data, cb_stream_end_t end)
{
	connection_t *connection = user_data;
	cb_http1_call_t *call = connection->call;

	if (!call) {
		connection_delete_(connection);
		return;
	}
	if (!connection->is_open)
		call_end_(call, CB_HTTP1_UNSENT);
	else if (!call->has_head)
		call_end_(call, CB_HTTP1_LOST);
	else if (call->head.framing == CB_HTTP1_FRAMING_UNTIL_CLOSE &&
		 end == CB_STREAM_END_CLOSED)
		call_end_(call, CB_HTTP1_COMPLETE);
	else
		call_end_(call, CB_HTTP1_TRUNCATED);
}

static void request_send_(cb_http1_call_t *call)
{
	GString *request = g_steal_pointer(&call->request);

	cb_stream_send(call->connection->stream, request->str, request->len);
	g_string_free(request, TRUE);
	cb_memory_account_set(&call->request_account, 0);
}

static void connect_handle_(void *user_data)
{
	connection_t *connection = user_data;

	connection->is_open = TRUE;
	cb_timer_stop(connection->timer);
	request_send_(connection->call);
}

static const cb_stream_handler_t stream_handler = {
	.opened = connect_handle_,
	.received = input_receive_,
	.ended = stream_end_handle_,
};

/* Called on a connect timeout or an idle timeout. */
static void connection_timer_fired_(void *user_data)
{
	connection_t *connection = user_data;

	if (connection->call)
		call_end_(connection->call, connection->lacks_resources ?
						    CB_HTTP1_NO_RESOURCES :
						    CB_HTTP1_UNSENT);
	else
		connection_delete_(connection);
}

static void idle_queue_free_(void *queue)
{
	g_queue_free(queue);
}

/* Creates a client; `counters` may be NULL. */
cb_http1_client_t *cb_http1_client_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters)
{
	cb_http1_client_t *client = g_new0(cb_http1_client_t, 1);

	client->poller = cb_poller_new(context);
	client->clock = clock;
	if (counters)
		client->opened_counter =
			cb_counters_counter(counters,
					    "cb_server_connections_total", NULL,
					    NULL);
	client->idle_connections =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      idle_queue_free_);
	client->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
	return client;
}

/* Counts what later calls keep in a bound. */
void cb_http1_client_set_bound(cb_http1_client_t *client,
			       cb_memory_bound_t *bound)
{
	client->bound = bound;
}

/* Closes all connections; calls in flight must have been cancelled before. */
void cb_http1_client_delete(cb_http1_client_t *client)
{
	GList *connections;
	GList *item;

	if (!client)
		return;
	connections = g_hash_table_get_keys(client->connections);
	for (item = connections; item; item = item->next)
		connection_delete_(item->data);
	g_list_free(connections);
	g_hash_table_unref(client->idle_connections);
	g_hash_table_unref(client->connections);
	cb_poller_delete(client->poller);
	g_free(client);
}

static gboolean connection_is_avoided_(const connection_t *connection,
				       const GArray *avoided)
{
	unsigned int i;

	for (i = 0; avoided && i < avoided->len; i++)
		if (g_array_index(avoided, uint64_t, i) == connection->id)
			return TRUE;
	return FALSE;
}

/*
 * Returns the connection in the pool that was idle for the shortest time, for at
 * most `max_idle_ms`, and is not avoided; NULL if there is none.
 */
static connection_t *idle_connection_find_(const cb_http1_client_t *client,
					   const char *address,
					   int64_t max_idle_ms,
					   const GArray *avoided)
{
	GQueue *queue = g_hash_table_lookup(client->idle_connections, address);
	int64_t now_ms = cb_clock_now_ms(client->clock);
	GList *link;

	for (link = queue ? queue->head : NULL; link; link = link->next) {
		connection_t *connection = link->data;

		/* Those that follow have been idle for longer. */
		if (now_ms - connection->idle_since_ms > max_idle_ms)
			return NULL;
		if (!connection_is_avoided_(connection, avoided))
			return connection;
	}
	return NULL;
}

/* Returns whether a connection to an address can be taken out of the pool. */
gboolean cb_http1_client_has_idle(const cb_http1_client_t *client,
				  const char *address, int64_t max_idle_ms,
				  const GArray *avoided)
{
	return idle_connection_find_(client, address, max_idle_ms, avoided) !=
	       NULL;
}

/* Takes a connection that idle_connection_find_() finds out of the pool. */
static connection_t *idle_connection_take_(cb_http1_client_t *client,
					   const char *address,
					   int64_t max_idle_ms,
					   const GArray *avoided)
{
	connection_t *connection =
		idle_connection_find_(client, address, max_idle_ms, avoided);

	if (!connection)
		return NULL;
	g_queue_remove(g_hash_table_lookup(client->idle_connections, address),
		       connection);
	cb_timer_stop(connection->timer);
	return connection;
}

/* Sets what frees resources for another connection. */
void cb_http1_client_on_exhausted(cb_http1_client_t *client,
				  gboolean (*make_room)(void *user_data),
				  void *user_data)
{
	client->make_room = make_room;
	client->make_room_data = user_data;
}

gboolean cb_http1_client_evict_idle(cb_http1_client_t *client)
{
	connection_t *oldest = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->idle_connections);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		connection_t *connection = g_queue_peek_tail(value);

		if (connection && (!oldest || connection->idle_since_ms <
						      oldest->idle_since_ms))
			oldest = connection;
	}
	if (!oldest)
		return FALSE;
	connection_delete_(oldest);
	return TRUE;
}

/*
 * Starts a connection's socket.  If the process lacks resources, an idle connection
 * gives way, or what make_room() finds.
 */
static void connection_start_(connection_t *connection)
{
	cb_http1_client_t *client = connection->client;
	gboolean has_room = TRUE;

	while (!connection->stream && has_room) {
		connection->stream =
			cb_stream_connect(client->poller, connection->address,
					  &stream_handler, connection);
		if (connection->stream || !cb_stream_is_exhaustion(errno))
			return;
		has_room = cb_http1_client_evict_idle(client) ||
			   (client->make_room &&
			    client->make_room(client->make_room_data));
	}
	connection->lacks_resources = !connection->stream;
}

/* Starts to connect to a server. */
static connection_t *connection_open_(cb_http1_client_t *client,
				      const char *address)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->client = client;
	connection->id = ++client->next_connection_id;
	connection->address = g_strdup(address);
	connection->timer = cb_timer_new(client->clock, connection_timer_fired_,
					 connection);
	connection_start_(connection);
	if (connection->stream)
		cb_stream_set_bound(connection->stream, client->bound,
				    CB_MEMORY_REQUESTS);
	g_hash_table_add(client->connections, connection);
	/* An immediate failure is also reported from the main loop. */
	cb_timer_start(connection->timer,
		       connection->stream ? CONNECT_TIMEOUT_MS : 0);
	if (client->opened_counter)
		cb_counter_add(client->opened_counter, 1);
	return connection;
}

cb_http1_call_t *cb_http1_client_call(cb_http1_client_t *client,
				      const char *address, const char *method,
				      GString *request, int64_t max_idle_ms,
				      const GArray *avoided,
				      const cb_http1_call_handler_t *handler,
				      void *user_data)
{
	cb_http1_call_t *call = g_new0(cb_http1_call_t, 1);
	connection_t *connection =
		idle_connection_take_(client, address, max_idle_ms, avoided);

	call->method = g_strdup(method);
	call->request = request;
	call->input = g_byte_array_new();
	cb_memory_account_init(&call->request_account, client->bound,
			       CB_MEMORY_REQUESTS);
	cb_memory_account_grow(&call->request_account, request->len);
	cb_memory_account_init(&call->input_account, client->bound,
			       CB_MEMORY_RECEIVED);
	call->handler = handler;
	call->user_data = user_data;
	call->is_first = !connection;
	call->connection =
		connection ? connection : connection_open_(client, address);
	call->connection->call = call;
	if (connection)
		request_send_(call);
	return call;
}

uint64_t cb_http1_call_connection_id(const cb_http1_call_t *call)
{
	return call->connection->id;
}

/* Replaces the handler and its data; may be called by one of its callbacks. */
void cb_http1_call_set_handler(cb_http1_call_t *call,
			       const cb_http1_call_handler_t *handler,
			       void *user_data)
{
	call->handler = handler;
	call->user_data = user_data;
}

/* Pauses or resumes reading the answer of a call that was sent. */
void cb_http1_call_set_paused(cb_http1_call_t *call, gboolean is_paused)
{
	if (call->connection && call->connection->stream)
		cb_stream_set_paused(call->connection->stream, is_paused);
}

/* Returns the bytes of the request and the answer that are counted. */
size_t cb_http1_call_kept_bytes(const cb_http1_call_t *call)
{
	size_t bytes = call->request_account.bytes + call->input_account.bytes;

	if (call->connection && call->connection->stream)
		bytes += cb_stream_kept_bytes(call->connection->stream);
	return bytes;
}

/* Returns whether the socket holds bytes, or an end, that were not read yet. */
gboolean cb_http1_call_has_input(const cb_http1_call_t *call)
{
	return call->connection && call->connection->stream &&
	       cb_stream_has_input(call->connection->stream);
}

/* Ends a call without calling done(), and closes its connection. */
void cb_http1_call_cancel(cb_http1_call_t *call)
{
	call->is_cancelled = TRUE;
	if (!call->is_in_callback)
		call_end_(call, CB_HTTP1_LOST);
}

/*
 * Returns whether the call's connection carried no request before this one: an
 * answer that names no request is then about this one.
 */
gboolean cb_http1_call_is_first(const cb_http1_call_t *call)
{
	return call->is_first;
}

/* Returns whether the call's connection was established. */
gboolean cb_http1_call_is_sent(const cb_http1_call_t *call)
{
	return call->connection->is_open;
}
