#include "currantbridge/http1_client.h"

#include <string.h>

#include "private/http1_body.h"
#include "currantbridge/http1_head.h"
#include "private/stream.h"

/* A server within a region answers in 1 ms; a lost packet costs more. */
#define CONNECT_TIMEOUT_MS 400
/* Kept connections end after this, or sooner if the server says so. */
#define IDLE_MAX_MS 10000
/* How long before a server's own time-out a connection is given up. */
#define IDLE_MARGIN_MS 500
#define HEAD_MAX_BYTES 32768

const char *const cb_http1_result_string[CB_HTTP1_RESULT_COUNT] = {
	[CB_HTTP1_COMPLETE] = "complete",   [CB_HTTP1_UNSENT] = "unsent",
	[CB_HTTP1_LOST] = "lost",	    [CB_HTTP1_TRUNCATED] = "truncated",
	[CB_HTTP1_MALFORMED] = "malformed",
};

/* A connection to a server: idle in the pool, or with its call. */
typedef struct link {
	cb_http1_client_t *client;
	char *address;
	cb_stream_t *stream;
	cb_timer_t *timer; /* of opening, then of idling */
	cb_http1_call_t *call;
	int64_t idle_since_ms;
	int64_t idle_max_ms;
	gboolean is_open;
} link_t;

struct cb_http1_call {
	link_t *link;
	char *method;
	GString *request;
	GByteArray *in;
	gboolean has_head;
	cb_http1_head_t head;
	cb_http1_body_t reader;
	gboolean is_cancelled;
	gboolean is_busy; /* in a callback of its owner */
	const cb_http1_call_handler_t *handler;
	void *user_data;
};

struct cb_http1_client {
	cb_poller_t *poller;
	cb_clock_t *clock;
	cb_counter_t *opened;
	GHashTable *idle; /* address to GQueue of link_t, newest first */
	GHashTable *links;
};

static void link_delete_(link_t *link)
{
	GQueue *queue = g_hash_table_lookup(link->client->idle, link->address);

	if (queue)
		g_queue_remove(queue, link);
	g_hash_table_remove(link->client->links, link);
	cb_stream_delete(link->stream);
	cb_timer_delete(link->timer);
	g_free(link->address);
	g_free(link);
}

static void call_free_(cb_http1_call_t *call)
{
	if (call->has_head) {
		cb_http1_head_clear(&call->head);
		cb_http1_body_clear(&call->reader);
	}
	if (call->request)
		g_string_free(call->request, TRUE);
	g_byte_array_unref(call->in);
	g_free(call->method);
	g_free(call);
}

/* Ends a call: its connection goes, and its owner is told. */
static void call_end_(cb_http1_call_t *call, cb_http1_result_t result)
{
	if (call->link) {
		call->link->call = NULL;
		link_delete_(call->link);
		call->link = NULL;
	}
	if (!call->is_cancelled)
		call->handler->done(call->user_data, result);
	call_free_(call);
}

/* How long a connection may idle, as the answer's head says. */
static int64_t idle_max_ms_(const cb_http1_head_t *head)
{
	const char *text = cb_http1_head_find(head, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t said_ms;

	if (!timeout)
		return IDLE_MAX_MS;
	said_ms = (int64_t)g_ascii_strtoull(timeout + strlen("timeout="), NULL,
					    10) *
		  1000;
	return CLAMP(said_ms - IDLE_MARGIN_MS, 0, IDLE_MAX_MS);
}

/* Puts the connection of a finished call into the pool, if it may be kept. */
static void link_release_(cb_http1_call_t *call)
{
	link_t *link = call->link;
	cb_http1_client_t *client = link->client;
	GQueue *queue = g_hash_table_lookup(client->idle, link->address);

	link->call = NULL;
	call->link = NULL;
	link->idle_max_ms = idle_max_ms_(&call->head);
	if (!call->head.keeps_alive || call->in->len || !link->idle_max_ms ||
	    cb_stream_unsent_bytes(link->stream)) {
		link_delete_(link);
		return;
	}
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->idle, g_strdup(link->address),
				    queue);
	}
	g_queue_push_head(queue, link);
	link->idle_since_ms = cb_clock_now_ms(client->clock);
	cb_timer_start(link->timer, link->idle_max_ms);
}

/* The answer is whole. */
static void call_complete_(cb_http1_call_t *call)
{
	link_release_(call);
	call_end_(call, CB_HTTP1_COMPLETE);
}

static void data_pass_(void *user_data, const uint8_t *data, size_t size)
{
	cb_http1_call_t *call = user_data;

	if (!call->is_cancelled && call->handler->data)
		call->handler->data(call->user_data, data, size);
}

/* Tells the owner the head; FALSE when the call has ended. */
static gboolean head_pass_(cb_http1_call_t *call)
{
	gboolean is_fine;

	call->is_busy = TRUE;
	is_fine = !call->handler->head ||
		  call->handler->head(call->user_data, &call->head);
	call->is_busy = FALSE;
	if (call->is_cancelled || !is_fine) {
		call_end_(call, CB_HTTP1_MALFORMED);
		return FALSE;
	}
	return TRUE;
}

/* Reads the head; FALSE when more is needed or the call has ended. */
static gboolean head_step_(cb_http1_call_t *call)
{
	size_t used = 0;

	switch (cb_http1_answer_parse(&call->head, call->method, call->in->data,
				      call->in->len, HEAD_MAX_BYTES, &used)) {
	case CB_HTTP1_PARSE_PARTIAL:
		return FALSE;
	case CB_HTTP1_WHOLE:
		break;
	default:
		call_end_(call, CB_HTTP1_MALFORMED);
		return FALSE;
	}
	g_byte_array_remove_range(call->in, 0, (unsigned int)used);
	if (call->head.status < 200) {
		/* An interim answer says nothing about the request. */
		cb_http1_head_clear(&call->head);
		return call->in->len && head_step_(call);
	}
	call->has_head = TRUE;
	cb_http1_body_init(&call->reader, &call->head);
	return head_pass_(call);
}

/* Reads the body as far as it is there. */
static void body_step_(cb_http1_call_t *call)
{
	cb_http1_parse_result_t outcome;
	size_t used;

	call->is_busy = TRUE;
	outcome = cb_http1_body_read(&call->reader, call->in->data,
				     call->in->len, &used, data_pass_, call);
	call->is_busy = FALSE;
	if (call->is_cancelled) {
		call_end_(call, CB_HTTP1_LOST);
		return;
	}
	g_byte_array_remove_range(call->in, 0, (unsigned int)used);
	if (outcome == CB_HTTP1_WHOLE)
		call_complete_(call);
	else if (outcome != CB_HTTP1_PARSE_PARTIAL)
		call_end_(call, CB_HTTP1_MALFORMED);
}

static void received_(void *user_data, const uint8_t *data, size_t size)
{
	link_t *link = user_data;
	cb_http1_call_t *call = link->call;

	if (!call) {
		/* Bytes that belong to no request. */
		link_delete_(link);
		return;
	}
	g_byte_array_append(call->in, data, (unsigned int)size);
	if (call->has_head || head_step_(call))
		body_step_(call);
}

static void ended_(void *user_data, cb_stream_end_t end)
{
	link_t *link = user_data;
	cb_http1_call_t *call = link->call;

	if (!call) {
		link_delete_(link);
		return;
	}
	if (!link->is_open)
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

	cb_stream_send(call->link->stream, request->str, request->len);
	g_string_free(request, TRUE);
}

static void opened_(void *user_data)
{
	link_t *link = user_data;

	link->is_open = TRUE;
	cb_timer_stop(link->timer);
	request_send_(link->call);
}

static const cb_stream_handler_t stream_handler = {
	.opened = opened_,
	.received = received_,
	.ended = ended_,
};

/* Gives up opening a connection, or an idle one. */
static void timer_fired_(void *user_data)
{
	link_t *link = user_data;

	if (link->call)
		call_end_(link->call, CB_HTTP1_UNSENT);
	else
		link_delete_(link);
}

static void queue_free_(void *queue)
{
	g_queue_free(queue);
}

/* Makes a client; `counters` may be NULL. */
cb_http1_client_t *cb_http1_client_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters)
{
	cb_http1_client_t *client = g_new0(cb_http1_client_t, 1);

	client->poller = cb_poller_new(context);
	client->clock = clock;
	if (counters)
		client->opened =
			cb_counters_counter(counters,
					    "cb_server_connections_total", NULL,
					    NULL);
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     queue_free_);
	client->links = g_hash_table_new(g_direct_hash, g_direct_equal);
	return client;
}

/* Closes all connections; the calls under way must have been cancelled. */
void cb_http1_client_delete(cb_http1_client_t *client)
{
	GList *links;
	GList *item;

	if (!client)
		return;
	links = g_hash_table_get_keys(client->links);
	for (item = links; item; item = item->next)
		link_delete_(item->data);
	g_list_free(links);
	g_hash_table_unref(client->idle);
	g_hash_table_unref(client->links);
	cb_poller_delete(client->poller);
	g_free(client);
}

/* Takes an idle connection out of the pool, or returns NULL. */
static link_t *link_take_(cb_http1_client_t *client, const char *address,
			  int64_t max_idle_ms)
{
	GQueue *queue = g_hash_table_lookup(client->idle, address);
	link_t *link = queue ? g_queue_peek_head(queue) : NULL;

	/* The newest is first: the others have been idle for longer. */
	if (!link ||
	    cb_clock_now_ms(client->clock) - link->idle_since_ms > max_idle_ms)
		return NULL;
	g_queue_pop_head(queue);
	cb_timer_stop(link->timer);
	return link;
}

static link_t *link_open_(cb_http1_client_t *client, const char *address)
{
	link_t *link = g_new0(link_t, 1);

	link->client = client;
	link->address = g_strdup(address);
	link->timer = cb_timer_new(client->clock, timer_fired_, link);
	link->stream = cb_stream_connect(client->poller, address,
					 &stream_handler, link);
	g_hash_table_add(client->links, link);
	/* One that failed at once is told from the loop, as others are. */
	cb_timer_start(link->timer, link->stream ? CONNECT_TIMEOUT_MS : 0);
	if (client->opened)
		cb_counter_add(client->opened, 1);
	return link;
}

cb_http1_call_t *cb_http1_client_call(cb_http1_client_t *client,
				      const char *address, const char *method,
				      GString *request, int64_t max_idle_ms,
				      const cb_http1_call_handler_t *handler,
				      void *user_data)
{
	cb_http1_call_t *call = g_new0(cb_http1_call_t, 1);
	link_t *link = link_take_(client, address, max_idle_ms);

	call->method = g_strdup(method);
	call->request = request;
	call->in = g_byte_array_new();
	call->handler = handler;
	call->user_data = user_data;
	call->link = link ? link : link_open_(client, address);
	call->link->call = call;
	if (link)
		request_send_(call);
	return call;
}

/* Ends a call without a word to its owner; its connection is closed. */
void cb_http1_call_cancel(cb_http1_call_t *call)
{
	call->is_cancelled = TRUE;
	if (!call->is_busy)
		call_end_(call, CB_HTTP1_LOST);
}
