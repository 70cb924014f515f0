#include "support_main.h"

#include <string.h>

#include "currantbridge/front.h"
#include "private/front.h"
#include "private/http1_body.h"
#include "private/stream.h"
#include "support_answers.h"
#include "support_world.h"

/*
 * Tests an entry instance's relay between a caller and backend servers over
 * real sockets, with a simulated control instance and a paused clock.
 */
#define START_LIMIT_MS 10000
#define LOOP_ITERATIONS_MAX 4000
#define LOOP_SLEEP_US 500
#define SERVER_COUNT 3
#define LINGER_MS 6000
#define GRACE_MS 8000

/* What a server does with its connection after the text of its script. */
typedef enum script_end {
	END_KEEP,
	END_CLOSE,
	END_RESET,
	END_HOLD, /* like END_KEEP, for an answer that is not complete */
} script_end_t;

/* A server's reaction to one request. */
typedef struct script {
	const char *text; /* text that the server sends to the relay */
	script_end_t end;
} script_t;

typedef struct fixture fixture_t;

/* A connection of the relay to a server. */
typedef struct server_connection {
	fixture_t *fixture;
	unsigned int server; /* index of the server in the fixture */
	cb_stream_t *stream; /* NULL once the connection was reset */
	GString *received;   /* received bytes of the current request */
	/* The answer that is sent byte by byte, and its sent bytes. */
	const script_t *script;
	size_t sent_bytes;
	unsigned int byte_source; /* 0: no byte is left to be sent */
} server_connection_t;

struct fixture {
	world_t *world;
	cb_poller_t *poller; /* watches sockets of servers and caller */
	cb_http1_client_t *client;
	cb_front_t *front;
	cb_stream_listener_t *listeners[SERVER_COUNT];
	GPtrArray *connections; /* elements: server_connection_t */
	/* The received requests as text, and the server index of each. */
	GPtrArray *requests;
	GArray *server_indexes;
	const script_t *scripts; /* scripts, one for each request, in order */
	unsigned int script_count;
	/* Whether the servers send their answers byte by byte. */
	gboolean sends_single_bytes;
	unsigned int ended_connection_count;
	/* Engine calls: the addresses asked for a report, and the reroutes. */
	GPtrArray *report_addresses;
	GPtrArray *reroutes; /* request ID and servers of each new chain */
	/* The engine that is reported as lost, by its server index; or -1. */
	int lost_server;
	/* Callers that are still connected, beside `caller`. */
	GPtrArray *other_callers;
	/* The caller's connection and what it received. */
	cb_stream_t *caller;
	GString *answer; /* bytes received by the caller */
	gboolean caller_ended;
};

static void request_info_read_(const cb_dialect_t *dialect,
			       const cb_http1_head_t *head,
			       cb_relay_request_info_t *request_info)
{
	const char *left = cb_http1_head_find(head, "Left");

	(void)dialect;
	request_info->id = cb_http1_head_find(head, "Id");
	request_info->key = cb_http1_head_find(head, "Key");
	request_info->budget_ms = left ? g_ascii_strtoll(left, NULL, 10) : 0;
	request_info->last_event = -1;
}

static GString *request_write_(const cb_dialect_t *dialect,
			       const cb_http1_head_t *head,
			       const GByteArray *body,
			       const cb_relay_attempt_info_t *attempt_info)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	(void)dialect;
	g_string_append_printf(
		text,
		"%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nTo: %s\r\n"
		"Workspace: %s\r\nAfter: %d\r\nContent-Length: %u\r\n\r\n",
		head->method, head->target, cb_http1_head_find(head, "Id"),
		attempt_info->server_id,
		attempt_info->workspace ? attempt_info->workspace : "-",
		(int)attempt_info->last_event, body->len);
	g_string_append_len(text, (const char *)body->data, body->len);
	for (i = 0; attempt_info->hops && i < attempt_info->hops->len; i++)
		g_string_append_printf(text, "%s ",
				       g_array_index(attempt_info->hops,
						     cb_relay_hop_t, i)
					       .id);
	return text;
}

static void answer_info_read_(const cb_dialect_t *dialect,
			      const cb_http1_head_t *answer, const char *id,
			      cb_relay_answer_info_t *answer_info)
{
	const char *away = cb_http1_head_find(answer, "Away-Ms");

	(void)dialect;
	*answer_info = (cb_relay_answer_info_t){
		.matches_request =
			!g_strcmp0(cb_http1_head_find(answer, "Id"), id),
		.names_no_request = !cb_http1_head_find(answer, "Id"),
		.has_not_run = cb_http1_head_find(answer, "Not-Run") != NULL,
		.running = -1,
		.failed_address = cb_http1_head_find(answer, "Fault"),
		.is_leaving = cb_http1_head_find(answer, "Leaving") != NULL,
		.retry_after_ms = away ? g_ascii_strtoll(away, NULL, 10) : 0,
	};
}

static const cb_dialect_vtable_t dialect_vtable = {
	.read_request_info = request_info_read_,
	.write_request = request_write_,
	.read_answer_info = answer_info_read_,
};
static const cb_dialect_t dialect = { &dialect_vtable };

static void route_add_(cb_document_t *document, const char *prefix,
		       cb_route_kind_t kind)
{
	cb_route_t *route = cb_route_new();
	cb_route_split_t split = {
		g_strdup(g_str_has_prefix(prefix, "/engine") ? "e" : "s"), 1
	};

	route->name = g_strdup(prefix);
	route->host = g_strdup("h");
	route->prefix = g_strdup(prefix);
	route->kind = kind;
	route->timeout_ms = 4000;
	route->target_latency_ms = 500;
	route->target_gap_ms = 200;
	route->max_attempts = 2;
	route->is_resumable = !g_str_has_prefix(prefix, "/stream-once");
	g_array_append_val(route->splits, split);
	cb_document_add_route(document, route);
}

#define ENGINE_LAYERS 2

/* Adds service "e", whose engines of kind "k" hold ranges of layers. */
static void engine_service_add_(cb_document_t *document)
{
	cb_service_profile_t *service = cb_service_profile_new("e");
	cb_engine_kind_t *kind = g_new0(cb_engine_kind_t, 1);

	kind->name = g_strdup("k");
	kind->memory_mb = 10000;
	kind->step_time_factor = 1;
	kind->read_time_factor = 1;
	service->engine = cb_engine_profile_new();
	service->engine->layers = ENGINE_LAYERS;
	service->engine->layer_mb = 100;
	service->engine->kv_token_bytes = 2000;
	service->engine->step_ms = 1;
	service->engine->read_tokens_per_s = 1000;
	service->engine->stride = 1;
	g_ptr_array_add(service->engine->kinds, kind);
	cb_document_add_service(document, service);
}

static cb_document_t *document_make_(const cb_document_codec_t *codec,
				     const char *text, size_t size,
				     GArray *route_texts, GError **error)
{
	cb_document_t *document = cb_document_new();

	(void)codec;
	(void)text;
	(void)size;
	(void)route_texts;
	document->version = 1;
	document->limits = (cb_document_limits_t){ 4096, 1024, 3000, 15000 };
	cb_document_add_service(document, cb_service_profile_new("s"));
	route_add_(document, "/safe/", CB_ROUTE_IDEMPOTENT);
	route_add_(document, "/once/", CB_ROUTE_ONCE);
	route_add_(document, "/stream/", CB_ROUTE_STREAM);
	route_add_(document, "/stream-once/", CB_ROUTE_STREAM);
	engine_service_add_(document);
	route_add_(document, "/engine/", CB_ROUTE_STREAM);
	CU_ASSERT_TRUE(cb_document_add_key(document, "w", "k", error));
	return document;
}

static const cb_document_codec_vtable_t codec_vtable = {
	.open = document_make_
};
static const cb_document_codec_t codec = { &codec_vtable };

/* Returns whether the received bytes contain a complete request. */
static gboolean request_is_complete_(const GString *received)
{
	const char *end = strstr(received->str, "\r\n\r\n");
	const char *length = strstr(received->str, "Content-Length: ");

	if (!end)
		return FALSE;
	return !length ||
	       strlen(end + 4) >=
		       g_ascii_strtoull(length + strlen("Content-Length: "),
					NULL, 10);
}

/* Ends an answer as its script says. */
static void script_end_(server_connection_t *connection, const script_t *script)
{
	if (script->end == END_CLOSE)
		cb_stream_shutdown_send(connection->stream);
	else if (script->end == END_RESET)
		cb_stream_reset(g_steal_pointer(&connection->stream));
}

/* Sends the next byte of an answer, or ends it. */
static gboolean answer_byte_send_(void *user_data)
{
	server_connection_t *connection = user_data;
	const char *text = connection->script->text + connection->sent_bytes++;

	if (*text) {
		cb_stream_send(connection->stream, text, 1);
		return G_SOURCE_CONTINUE;
	}
	connection->byte_source = 0;
	script_end_(connection, connection->script);
	return G_SOURCE_REMOVE;
}

static void server_received_(void *user_data, const uint8_t *data, size_t size)
{
	server_connection_t *connection = user_data;
	fixture_t *fixture = connection->fixture;
	unsigned int index = fixture->requests->len;
	const script_t *script;

	g_string_append_len(connection->received, (const char *)data,
			    (gssize)size);
	if (!request_is_complete_(connection->received))
		return;
	g_ptr_array_add(fixture->requests, g_strdup(connection->received->str));
	g_array_append_val(fixture->server_indexes, connection->server);
	g_string_truncate(connection->received, 0);
	if (index >= fixture->script_count)
		return;
	script = &fixture->scripts[index];
	if (fixture->sends_single_bytes) {
		connection->script = script;
		connection->sent_bytes = 0;
		connection->byte_source =
			g_idle_add(answer_byte_send_, connection);
		return;
	}
	cb_stream_send(connection->stream, script->text, strlen(script->text));
	script_end_(connection, script);
}

static void server_ended_(void *user_data, cb_stream_end_t end)
{
	server_connection_t *connection = user_data;

	(void)end;
	connection->fixture->ended_connection_count++;
}

static const cb_stream_handler_t server_handler = {
	.received = server_received_,
	.ended = server_ended_,
};

/* The server that a listener belongs to. */
typedef struct accept_context {
	fixture_t *fixture;
	unsigned int server;
} accept_context_t;

static void server_accept_(int fd, void *user_data)
{
	const accept_context_t *context = user_data;
	server_connection_t *connection = g_new0(server_connection_t, 1);

	connection->fixture = context->fixture;
	connection->server = context->server;
	connection->received = g_string_new(NULL);
	connection->stream = cb_stream_new(connection->fixture->poller, fd,
					   &server_handler, connection);
	g_ptr_array_add(context->fixture->connections, connection);
}

static void server_connection_free_(void *data)
{
	server_connection_t *connection = data;

	if (connection->byte_source)
		g_source_remove(connection->byte_source);
	cb_stream_delete(connection->stream);
	g_string_free(connection->received, TRUE);
	g_free(connection);
}

static void accepted_answer_check_(cb_submit_outcome_t outcome,
				   const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	(void)user_data;
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
}

static accept_context_t accept_contexts[SERVER_COUNT];

/* Returns the address of a server; the caller frees it. */
static char *server_address_(const fixture_t *fixture, unsigned int server)
{
	return g_strdup_printf("127.0.0.1:%u",
			       cb_stream_listener_port(
				       fixture->listeners[server]));
}

/*
 * Announces a server as an engine: server 0 holds the first layer, the others
 * the second one.
 */
static void engine_announce_(fixture_t *fixture, unsigned int server)
{
	cb_fleet_server_t heartbeat = { .service = (char *)"e",
					.data_centre = (char *)"dc1",
					.kind = (char *)"k",
					.start_wall_ms = 2,
					.sequence = 1,
					.slots = 4,
					.layer_from = server > 0,
					.layer_to = (server > 0) + 1 };

	heartbeat.id = g_strdup_printf("engine%u", server);
	heartbeat.address = server_address_(fixture, server);
	cb_node_server_announce(fixture->world->nodes[0].node, &heartbeat,
				accepted_answer_check_, NULL);
	g_free(heartbeat.id);
	g_free(heartbeat.address);
}

/* Orders to engines that record the calls in a fixture. */
typedef struct fake_orders {
	cb_engine_orders_t base;
	fixture_t *fixture;
} fake_orders_t;

/* A report or reroute that is answered from the main loop. */
typedef struct engine_call {
	fixture_t *fixture;
	char *address;
	cb_report_done_fn_t report_done;
	cb_reroute_done_fn_t reroute_done;
	void *user_data;
} engine_call_t;

/*
 * Answers a call.  The lost engine gives no report; the others report that the
 * request waits for it.
 */
static gboolean engine_call_answer_(void *data)
{
	engine_call_t *call = data;
	int lost = call->fixture->lost_server;
	char *lost_address =
		lost < 0 ? NULL :
			   server_address_(call->fixture, (unsigned int)lost);
	cb_stall_t stall = { (char *)"7", lost_address };
	GArray *stalls = g_array_new(FALSE, FALSE, sizeof(cb_stall_t));
	const cb_engine_report_t report = { .slow_percent = 100,
					    .stalls = stalls };

	if (lost_address)
		g_array_append_val(stalls, stall);
	if (call->reroute_done)
		call->reroute_done(CB_REROUTE_DONE, NULL, call->user_data);
	else
		call->report_done(g_strcmp0(call->address, lost_address) ?
					  &report :
					  NULL,
				  call->user_data);
	g_array_unref(stalls);
	g_free(lost_address);
	g_free(call->address);
	g_free(call);
	return G_SOURCE_REMOVE;
}

static engine_call_t *engine_call_new_(cb_engine_orders_t *orders,
				       const char *address, void *user_data)
{
	engine_call_t *call = g_new0(engine_call_t, 1);

	call->fixture = ((fake_orders_t *)orders)->fixture;
	call->address = g_strdup(address);
	call->user_data = user_data;
	g_idle_add(engine_call_answer_, call);
	return call;
}

static void report_request_(cb_engine_orders_t *orders, const char *address,
			    cb_report_done_fn_t done, void *user_data)
{
	engine_call_t *call = engine_call_new_(orders, address, user_data);

	call->report_done = done;
	g_ptr_array_add(call->fixture->report_addresses, g_strdup(address));
}

static void reroute_request_(cb_engine_orders_t *orders, const char *address,
			     const char *request_id, const GArray *hops,
			     cb_reroute_done_fn_t done, void *user_data)
{
	engine_call_t *call = engine_call_new_(orders, address, user_data);
	GString *text = g_string_new(request_id);
	unsigned int i;

	for (i = 0; i < hops->len; i++)
		g_string_append_printf(
			text, " %s", g_array_index(hops, cb_relay_hop_t, i).id);
	call->reroute_done = done;
	g_ptr_array_add(call->fixture->reroutes, g_string_free(text, FALSE));
}

/* No test cancels a call before its answer. */
static void engine_call_cancel_(cb_engine_orders_t *orders,
				const void *user_data)
{
	(void)orders;
	(void)user_data;
}

static const cb_engine_orders_vtable_t orders_vtable = {
	.report = report_request_,
	.reroute = reroute_request_,
	.cancel = engine_call_cancel_,
};
static fake_orders_t fake_orders = { .base = { &orders_vtable } };

/* Announces a server's process to the control instance. */
static void server_announce_(fixture_t *fixture, unsigned int server,
			     int64_t start_wall_ms, uint64_t sequence)
{
	cb_fleet_server_t heartbeat = { .service = (char *)"s",
					.data_centre = (char *)"dc1",
					.start_wall_ms = start_wall_ms,
					.sequence = sequence,
					.slots = 4 };

	heartbeat.id = g_strdup_printf("server%u", server);
	heartbeat.address = server_address_(fixture, server);
	cb_node_server_announce(fixture->world->nodes[0].node, &heartbeat,
				accepted_answer_check_, NULL);
	g_free(heartbeat.id);
	g_free(heartbeat.address);
}

/* Starts the servers and announces them to the control instance. */
static void servers_start_(fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < SERVER_COUNT; i++) {
		accept_contexts[i] = (accept_context_t){ fixture, i };
		fixture->listeners[i] =
			cb_stream_listen(fixture->poller, "127.0.0.1:0",
					 server_accept_, &accept_contexts[i],
					 NULL);
		server_announce_(fixture, i, 1, 1);
	}
}

static gboolean entry_is_ready_(world_t *world)
{
	return world_is_converged(world) &&
	       cb_control_client_is_confirmed(world->clients[0].client);
}

static void fixture_init_(fixture_t *fixture, gboolean has_document)
{
	cb_front_options_t options = {
		.name = "entry1",
		.listen = "127.0.0.1:0",
		.data_centre = "dc1",
		.codec = &codec,
		.dialect = &dialect,
		.retry_ratio = 0.2,
		.retry_extra = 100,
		.retry_window_ms = 10000,
		.linger_ms = LINGER_MS,
		.grace_ms = GRACE_MS,
	};
	world_client_t *entry;

	*fixture =
		(fixture_t){ .world = world_new_with_servers(1, 1, 31, 60000) };
	entry = &fixture->world->clients[0];
	fixture->connections =
		g_ptr_array_new_with_free_func(server_connection_free_);
	fixture->requests = g_ptr_array_new_with_free_func(g_free);
	fixture->server_indexes =
		g_array_new(FALSE, FALSE, sizeof(unsigned int));
	fixture->answer = g_string_new(NULL);
	fixture->report_addresses = g_ptr_array_new_with_free_func(g_free);
	fixture->reroutes = g_ptr_array_new_with_free_func(g_free);
	fixture->lost_server = -1;
	fixture->other_callers = g_ptr_array_new();
	fake_orders.fixture = fixture;
	options.orders = &fake_orders.base;
	fixture->client =
		cb_http1_client_new(NULL, fixture->world->clock, NULL);
	options.client = fixture->client;
	fixture->front = cb_front_new(entry->kernel, entry->client, entry->view,
				      &options);
	CU_ASSERT_TRUE(
		((cb_service_t *)fixture->front)
			->vtable->start((cb_service_t *)fixture->front, NULL));
	CU_ASSERT_TRUE(world_run_until(fixture->world, entry_is_ready_,
				       START_LIMIT_MS));
	fixture->poller = cb_poller_new(NULL);
	servers_start_(fixture);
	if (has_document)
		cb_node_put_document(fixture->world->nodes[0].node, 1, "d", 1,
				     accepted_answer_check_, NULL);
	world_run_until(fixture->world, NULL, 1000);
}

static void fixture_clear_(fixture_t *fixture)
{
	unsigned int i;

	cb_stream_delete(fixture->caller);
	for (i = 0; i < fixture->other_callers->len; i++)
		cb_stream_delete(fixture->other_callers->pdata[i]);
	g_ptr_array_unref(fixture->other_callers);
	((cb_service_t *)fixture->front)
		->vtable->destroy((cb_service_t *)fixture->front);
	cb_http1_client_delete(fixture->client);
	for (i = 0; i < SERVER_COUNT; i++)
		if (fixture->listeners[i])
			cb_stream_unlisten(fixture->listeners[i]);
	g_ptr_array_unref(fixture->connections);
	g_ptr_array_unref(fixture->requests);
	g_array_unref(fixture->server_indexes);
	g_string_free(fixture->answer, TRUE);
	g_ptr_array_unref(fixture->report_addresses);
	g_ptr_array_unref(fixture->reroutes);
	cb_poller_delete(fixture->poller);
	world_delete(fixture->world);
}

static void caller_received_(void *user_data, const uint8_t *data, size_t size)
{
	fixture_t *fixture = user_data;

	g_string_append_len(fixture->answer, (const char *)data, (gssize)size);
}

static void caller_ended_(void *user_data, cb_stream_end_t end)
{
	(void)end;
	((fixture_t *)user_data)->caller_ended = TRUE;
}

static const cb_stream_handler_t caller_handler = {
	.received = caller_received_,
	.ended = caller_ended_,
};

/* Sends a request on a new connection of the caller. */
static void request_send_(fixture_t *fixture, const char *text)
{
	char *address =
		g_strdup_printf("127.0.0.1:%u", cb_front_port(fixture->front));

	cb_stream_delete(fixture->caller);
	g_string_truncate(fixture->answer, 0);
	fixture->caller_ended = FALSE;
	fixture->caller = cb_stream_connect(fixture->poller, address,
					    &caller_handler, fixture);
	cb_stream_send(fixture->caller, text, strlen(text));
	g_free(address);
}

/*
 * Runs the main loop until the answer contains `text` or, if that is NULL,
 * until servers have received `requests` requests; FALSE: it did not happen.
 */
static gboolean loop_run_until_(fixture_t *fixture, unsigned int requests,
				const char *text)
{
	int iteration;

	for (iteration = 0; iteration < LOOP_ITERATIONS_MAX; iteration++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (text ? strstr(fixture->answer->str, text) != NULL :
			   fixture->requests->len >= requests)
			return TRUE;
		g_usleep(LOOP_SLEEP_US);
	}
	return FALSE;
}

#define REQUEST(method, path, extra)                                             \
	method " " path                                                          \
	       " HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 2000\r\n" extra \
	       "\r\n"
#define COMPLETE_ANSWER \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 2\r\n\r\nok"

typedef struct outcome_case {
	const char *description; /* printed if the case fails */
	const char *request;	 /* the caller's request */
	script_t scripts[3];
	unsigned int expected_sends; /* number of attempts at servers */
	/* Expected start of the answer to the caller. */
	const char *expected_status;
	/* Text expected in the answer to the caller. */
	const char *expected_text;
} outcome_case_t;

#define IDEMPOTENT_REQUEST REQUEST("GET", "/safe/a?b=%2f", "")
#define ONCE_REQUEST REQUEST("POST", "/once/a", "Content-Length: 3\r\n") "abc"

static const outcome_case_t outcome_cases[] = {
	{ "a complete answer is forwarded",
	  IDEMPOTENT_REQUEST,
	  { { COMPLETE_ANSWER, END_KEEP } },
	  1,
	  "HTTP/1.1 200 ",
	  "Seal: x\r\nContent-Length: 2\r\n\r\nok" },
	{ "a request that did not run is sent to another server",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\n"
	      "Content-Length: 0\r\n\r\n",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "a rejection without an id is believed on a new connection",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "an idempotent request is repeated after a lost answer",
	  IDEMPOTENT_REQUEST,
	  { { "", END_CLOSE }, { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "a once-only request is not repeated after a lost answer",
	  ONCE_REQUEST,
	  { { "", END_RESET }, { COMPLETE_ANSWER, END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "a truncated answer is not forwarded as complete",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nok",
	      END_CLOSE } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "an answer without a length is complete after a clean close",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole", END_CLOSE } },
	  1,
	  "HTTP/1.1 200 ",
	  "Content-Length: 5\r\n\r\nwhole" },
	{ "an answer without a length is not complete after a reset",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole", END_RESET } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "the answer to another request is dropped",
	  IDEMPOTENT_REQUEST,
	  { { "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "\r\n\r\nok" },
	{ "bytes that are not an HTTP answer give an unknown outcome",
	  ONCE_REQUEST,
	  { { "garbage\r\n\r\n", END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "a server error of a once-only request is forwarded unchanged",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 500 X\r\nId: 7\r\nSeal: y\r\nContent-Length: 3\r\n\r\n"
	      "bad",
	      END_KEEP } },
	  1,
	  "HTTP/1.1 500 ",
	  "Seal: y\r\nContent-Length: 3\r\n\r\nbad" },
	{ "an idempotent request is repeated after a server error",
	  IDEMPOTENT_REQUEST,
	  { { "HTTP/1.1 500 X\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "no more attempts are made than the route allows",
	  IDEMPOTENT_REQUEST,
	  { { "", END_CLOSE },
	    { "", END_CLOSE },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "an unknown key is refused",
	  "GET /safe/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: z\r\n\r\n",
	  { { COMPLETE_ANSWER, END_KEEP } },
	  0,
	  "HTTP/1.1 401 ",
	  "unknown_key" },
	{ "a path without a route is refused",
	  "GET /nowhere/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n\r\n",
	  { { COMPLETE_ANSWER, END_KEEP } },
	  0,
	  "HTTP/1.1 404 ",
	  "no_route" },
	{ "two Content-Length headers are refused",
	  "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Content-Length: 1\r\n\r\na",
	  { { COMPLETE_ANSWER, END_KEEP } },
	  0,
	  "HTTP/1.1 400 ",
	  "header_invalid" },
	{ "a body over the limit is refused",
	  "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1025\r\n\r\n",
	  { { COMPLETE_ANSWER, END_KEEP } },
	  0,
	  "HTTP/1.1 413 ",
	  "body_too_large" },
};

/* A server's statuses that callers would take for a promise, without proof. */
static const outcome_case_t unproved_refusal_cases[] = {
	{ "a 503 that does not say that the request did not run is no promise",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 503 X\r\nId: 7\r\nSeal: y\r\nContent-Length: 3\r\n\r\n"
	      "bad",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "nor is a 429",
	  ONCE_REQUEST,
	  { { "HTTP/1.1 429 X\r\nId: 7\r\nSeal: y\r\nContent-Length: 3\r\n\r\n"
	      "bad",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "an idempotent request is repeated after such a 503",
	  IDEMPOTENT_REQUEST,
	  { { "HTTP/1.1 503 X\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad",
	      END_KEEP },
	    { COMPLETE_ANSWER, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "the last such 503 is no promise for an idempotent request either",
	  IDEMPOTENT_REQUEST,
	  { { "HTTP/1.1 503 X\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad",
	      END_KEEP },
	    { "HTTP/1.1 503 X\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad",
	      END_KEEP } },
	  2,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
};

/* Plays cases, each with programs of its own. */
static void outcome_cases_play_(const outcome_case_t *cases, size_t count)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < count; i++) {
		const outcome_case_t *c = &cases[i];
		fixture_t fixture;
		gboolean is_as_expected;

		fixture_init_(&fixture, TRUE);
		fixture.scripts = c->scripts;
		fixture.script_count = G_N_ELEMENTS(c->scripts);
		request_send_(&fixture, c->request);
		is_as_expected =
			loop_run_until_(&fixture, 0, c->expected_text) &&
			g_str_has_prefix(fixture.answer->str,
					 c->expected_status) &&
			fixture.requests->len == c->expected_sends;
		CU_ASSERT_TRUE(is_as_expected);
		if (!is_as_expected)
			printf("    %s: %u sends, %s\n", c->description,
			       fixture.requests->len, fixture.answer->str);
		/* The next attempt never goes to the server that failed. */
		for (k = 1; k < fixture.server_indexes->len; k++)
			CU_ASSERT_NOT_EQUAL(
				g_array_index(fixture.server_indexes,
					      unsigned int, k),
				g_array_index(fixture.server_indexes,
					      unsigned int, k - 1));
		fixture_clear_(&fixture);
	}
}

/*
 * Guards against answers that misreport what the servers did, and against
 * repeats of a request that may run only once.
 */
static void answers_report_what_servers_did(void)
{
	outcome_cases_play_(outcome_cases, G_N_ELEMENTS(outcome_cases));
}

/*
 * A status that tells callers that the request did not run must not be passed
 * on from a server that does not say so itself: it may have run the request.
 */
static void refusal_without_proof_is_no_promise(void)
{
	outcome_cases_play_(unproved_refusal_cases,
			    G_N_ELEMENTS(unproved_refusal_cases));
}

/*
 * Guards against a changed target or body, and against the caller's key
 * reaching a server, which gets the workspace instead.
 */
static void requests_are_forwarded_unchanged(void)
{
	static const script_t scripts[] = { { COMPLETE_ANSWER, END_KEEP } };
	fixture_t fixture;
	const char *forwarded;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	request_send_(&fixture, REQUEST("POST", "/once/%7Ea//b?x=%2F;y",
					"Transfer-Encoding: "
					"chunked\r\n") "3\r\nabc\r\n0\r\n\r\n");
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "ok"));
	forwarded = fixture.requests->pdata[0];
	CU_ASSERT_TRUE(g_str_has_prefix(forwarded,
					"POST /once/%7Ea//b?x=%2F;y HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(forwarded, "\r\nWorkspace: w\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(forwarded, "\r\n\r\nabc"));
	CU_ASSERT_PTR_NULL(strstr(forwarded, "Key"));
	fixture_clear_(&fixture);
}

/*
 * A rejection that names no request may be about an earlier one on the same
 * connection, or about the connection: the request may still run, and must
 * neither be sent to another server nor be said not to have run.
 */
static void rejection_without_id_on_used_connection_is_unknown(void)
{
	static const script_t scripts[] = {
		{ COMPLETE_ANSWER, END_KEEP },
		{ "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  END_KEEP },
		{ COMPLETE_ANSWER, END_KEEP },
	};
	fixture_t fixture;
	unsigned int i;

	fixture_init_(&fixture, TRUE);
	for (i = 1; i < SERVER_COUNT; i++)
		cb_stream_unlisten(g_steal_pointer(&fixture.listeners[i]));
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	request_send_(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "ok"));
	request_send_(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, 0, "\"executed\":\"unknown\""));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 502 "));
	CU_ASSERT_EQUAL(fixture.connections->len, 1);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	fixture_clear_(&fixture);
}

/*
 * An attempt in flight at the deadline may have run: the answer must not state
 * that it did not, and the attempt must be cancelled at the server.
 */
static void deadline_during_attempt_is_unknown_outcome(void)
{
	static const script_t scripts[] = { { "", END_HOLD } };
	fixture_t fixture;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	request_send_(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 1, NULL));
	cb_clock_advance(fixture.world->clock, 1999);
	CU_ASSERT_EQUAL(fixture.answer->len, 0);
	cb_clock_advance(fixture.world->clock, 1);
	CU_ASSERT_TRUE(
		loop_run_until_(&fixture, 0, "\"executed\":\"unknown\""));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 504 "));
	CU_ASSERT_EQUAL(fixture.ended_connection_count, 1);
	fixture_clear_(&fixture);
}

/* Guards against servers that continue work for a disconnected caller. */
static void disconnected_caller_cancels_at_server(void)
{
	static const script_t scripts[] = { { "", END_HOLD } };
	fixture_t fixture;
	int iteration;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	request_send_(&fixture, IDEMPOTENT_REQUEST);
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 1, NULL));
	cb_stream_delete(g_steal_pointer(&fixture.caller));
	for (iteration = 0;
	     iteration < LOOP_ITERATIONS_MAX && !fixture.ended_connection_count;
	     iteration++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(LOOP_SLEEP_US);
	}
	CU_ASSERT_EQUAL(fixture.ended_connection_count, 1);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_clear_(&fixture);
}

#define STREAM_HEAD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n"

/*
 * A stream that is reset in the middle of an event must resume at another
 * server after the last complete event.  Guards against events that the caller
 * receives twice or never, and against a second head.
 */
static void reset_stream_resumes_at_another_server(void)
{
	static const script_t scripts[] = {
		{ STREAM_HEAD "1b\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n",
		  END_RESET },
		{ STREAM_HEAD "1e\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\r\n"
			      "0\r\n\r\n",
		  END_KEEP },
	};
	fixture_t fixture;
	const char *text;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 2;
	request_send_(&fixture,
		      REQUEST("POST", "/stream/", "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "0\r\n\r\n"));
	text = fixture.answer->str;
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.requests->pdata[1], "\r\nAfter: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 1\ndata: a\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 2\ndata: b\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 3\ndata: c\n\n"));
	CU_ASSERT_PTR_NULL(strstr(strstr(text, "id: 2") + 1, "id: 2"));
	CU_ASSERT_PTR_NULL(strstr(text + 1, "HTTP/1.1"));
	fixture_clear_(&fixture);
}

#define STREAM_REQUEST REQUEST("POST", "/stream/", "Content-Length: 0\r\n")
#define STREAM_ONCE_REQUEST \
	REQUEST("POST", "/stream-once/", "Content-Length: 0\r\n")
#define UNFRAMED_HEAD "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\n\r\n"
#define LENGTH_HEAD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 27\r\n\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\ndata: b\n\n"
#define CUT_EVENT_2 "id: 2\ndata: "
/* The rest of the stream after EVENT_1, as another server sends it. */
#define REST_OF_STREAM STREAM_HEAD "f\r\n" EVENT_2 "\r\n0\r\n\r\n"

/* What the caller gets at the end of its answer. */
typedef enum answer_end {
	ANSWER_COMPLETE,
	ANSWER_BROKEN_OFF, /* the connection ends without the last chunk */
	ANSWER_REFUSED,	   /* an error status */
} answer_end_t;

typedef struct stream_end_case {
	const char *description; /* printed if the case fails */
	const char *request;	 /* the caller's request */
	script_t scripts[3];
	unsigned int expected_sends; /* number of attempts at servers */
	answer_end_t expected_end;
	const char *expected_body; /* the body that the caller gets */
} stream_end_case_t;

static const stream_end_case_t stream_end_cases[] = {
	{ "no length: closed after a whole event",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1 EVENT_2, END_CLOSE } },
	  1,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "no length: closed inside an event",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1 CUT_EVENT_2, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "no length: closed between the two line ends after an event",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1 "id: 2\ndata: b\n", END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "no length: closed before the first event",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD, END_CLOSE },
	    { UNFRAMED_HEAD EVENT_1 EVENT_2, END_CLOSE } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "no length: closed inside an event at every attempt",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1 CUT_EVENT_2, END_CLOSE },
	    { UNFRAMED_HEAD CUT_EVENT_2, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "no length: closed inside an event of a stream that can't be resumed",
	  STREAM_ONCE_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1 CUT_EVENT_2, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  1,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "no length: closed in the first event, which can't be repeated",
	  STREAM_ONCE_REQUEST,
	  { { UNFRAMED_HEAD CUT_EVENT_2, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  1,
	  ANSWER_REFUSED,
	  NULL },
	{ "no length: reset after a whole event",
	  STREAM_REQUEST,
	  { { UNFRAMED_HEAD EVENT_1, END_RESET },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "chunks: last chunk, after a whole event",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "f\r\n" EVENT_1 "\r\n0\r\n\r\n", END_KEEP } },
	  1,
	  ANSWER_COMPLETE,
	  EVENT_1 },
	{ "chunks: last chunk, and no event at all",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "0\r\n\r\n", END_KEEP } },
	  1,
	  ANSWER_COMPLETE,
	  "" },
	{ "chunks: last chunk, after an empty line more",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "10\r\n" EVENT_1 "\n\r\n0\r\n\r\n", END_KEEP } },
	  1,
	  ANSWER_COMPLETE,
	  EVENT_1 "\n" },
	{ "chunks: last chunk, inside an event",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "1b\r\n" EVENT_1 CUT_EVENT_2 "\r\n0\r\n\r\n",
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "chunks: closed between chunks",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "f\r\n" EVENT_1 "\r\n", END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "chunks: closed inside the last chunk",
	  STREAM_REQUEST,
	  { { STREAM_HEAD "f\r\n" EVENT_1 "\r\n0\r\n", END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "length: reached inside an event",
	  STREAM_REQUEST,
	  { { LENGTH_HEAD EVENT_1 CUT_EVENT_2, END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "length: closed before it is reached",
	  STREAM_REQUEST,
	  { { LENGTH_HEAD EVENT_1, END_CLOSE }, { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
};

static void body_append_(void *user_data, const uint8_t *data, size_t size)
{
	g_string_append_len(user_data, (const char *)data, (gssize)size);
}

/*
 * Reads the caller's answer up to now: appends its body to `body`, and returns
 * whether the answer is complete by its own framing.
 */
static gboolean answer_read_(const fixture_t *fixture, uint32_t *status,
			     GString *body)
{
	const uint8_t *data = (const uint8_t *)fixture->answer->str;
	cb_http1_parse_result_t result;
	cb_http1_body_t reader;
	cb_http1_head_t head;
	size_t head_size = 0;
	size_t body_size;

	*status = 0;
	if (cb_http1_answer_parse(&head, "POST", data, fixture->answer->len,
				  65536, &head_size) != CB_HTTP1_PARSE_COMPLETE)
		return FALSE;
	*status = head.status;
	cb_http1_body_init(&reader, &head);
	result = cb_http1_body_read(&reader, data + head_size,
				    fixture->answer->len - head_size,
				    &body_size, body_append_, body);
	cb_http1_body_clear(&reader);
	cb_http1_head_clear(&head);
	return result == CB_HTTP1_PARSE_COMPLETE;
}

/* Runs the main loop until the caller's answer has ended, one way or other. */
static gboolean answer_await_(fixture_t *fixture, uint32_t *status,
			      GString *body)
{
	gboolean is_complete = FALSE;
	int iteration;

	for (iteration = 0; iteration < LOOP_ITERATIONS_MAX && !is_complete &&
			    !fixture->caller_ended;
	     iteration++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_string_truncate(body, 0);
		is_complete = answer_read_(fixture, status, body);
		g_usleep(LOOP_SLEEP_US);
	}
	return is_complete;
}

/* Runs one case; FALSE: the caller got something else than expected. */
static gboolean stream_end_case_run_(const stream_end_case_t *c)
{
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	gboolean is_as_expected;
	uint32_t status = 0;
	fixture_t fixture;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = c->scripts;
	fixture.script_count = G_N_ELEMENTS(c->scripts);
	request_send_(&fixture, c->request);
	is_complete = answer_await_(&fixture, &status, body);
	is_as_expected =
		fixture.requests->len == c->expected_sends &&
		is_complete == (c->expected_end != ANSWER_BROKEN_OFF) &&
		fixture.caller_ended ==
			(c->expected_end == ANSWER_BROKEN_OFF) &&
		status == (c->expected_end == ANSWER_REFUSED ? 502 : 200) &&
		(!c->expected_body || !strcmp(body->str, c->expected_body));
	if (!is_as_expected)
		printf("    %s: %u sends, status %u, %s, %s\n", c->description,
		       fixture.requests->len, status,
		       is_complete ? "complete" : "not complete", body->str);
	fixture_clear_(&fixture);
	g_string_free(body, TRUE);
	return is_as_expected;
}

#define FIRST_PIECE "one"
#define SECOND_PIECE "other"

/* A table of answers that is played against the relay. */
typedef struct relay_play {
	unsigned int play_count;
	unsigned int failure_count;
	gboolean is_stream;
	gboolean sends_single_bytes;
} relay_play_t;

/* Returns whether the relay should take an answer for whole. */
static gboolean relay_answer_is_whole_(const answer_end_row_t *row,
				       gboolean is_stream)
{
	if (!support_answer_is_framed_whole(row))
		return FALSE;
	return !is_stream || row->cut == CUT_BETWEEN_PIECES ||
	       row->cut == CUT_NOWHERE;
}

/* Plays a row with a request that may run only once; see relay_play_t. */
static void relay_answer_play_(const answer_end_row_t *row, void *user_data)
{
	relay_play_t *play = user_data;
	const char *first = play->is_stream ? EVENT_1 : FIRST_PIECE;
	const char *second = play->is_stream ? EVENT_2 : SECOND_PIECE;
	char *text = support_answer_format(row, "Id: 7\r\nSeal: x\r\n", first,
					   second);
	char *description = support_answer_describe(row);
	const script_t scripts[] = { { text,
				       row->is_reset ? END_RESET : END_CLOSE },
				     { COMPLETE_ANSWER, END_KEEP } };
	gboolean expects_whole = relay_answer_is_whole_(row, play->is_stream);
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	uint32_t status = 0;
	fixture_t fixture;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	fixture.sends_single_bytes = play->sends_single_bytes;
	request_send_(&fixture,
		      play->is_stream ? STREAM_ONCE_REQUEST : ONCE_REQUEST);
	is_complete = answer_await_(&fixture, &status, body);
	play->play_count++;
	if (fixture.requests->len != 1 ||
	    (is_complete && status == 200) != expects_whole ||
	    (!is_complete && !fixture.caller_ended) ||
	    (is_complete && status != 200 && status != 502)) {
		play->failure_count++;
		printf("    %s: %s%s: %u sends, status %u, %s: %s\n",
		       play->is_stream ? "stream" : "plain answer", description,
		       play->sends_single_bytes ? ", byte by byte" : "",
		       fixture.requests->len, status,
		       is_complete ? "complete" : "not complete", body->str);
	}
	fixture_clear_(&fixture);
	g_string_free(body, TRUE);
	g_free(description);
	g_free(text);
}

/*
 * A server that resumes a stream is told the last event by its id.  A stream
 * that broke off after an event without one must end there: another server would
 * begin it again, and the caller would get its events twice.  Comments are no
 * events.
 */
static void stream_without_ids_is_not_joined_with_another(void)
{
	static const stream_end_case_t cases[] = {
		{ "an event without an id, then reset",
		  STREAM_REQUEST,
		  { { UNFRAMED_HEAD "data: a\n\n", END_RESET },
		    { STREAM_HEAD "9\r\ndata: a\n\n\r\n0\r\n\r\n", END_KEEP } },
		  1,
		  ANSWER_BROKEN_OFF,
		  "data: a\n\n" },
		{ "an event without an id after one with an id, then reset",
		  STREAM_REQUEST,
		  { { UNFRAMED_HEAD EVENT_1 "data: b\n\n", END_RESET },
		    { REST_OF_STREAM, END_KEEP } },
		  1,
		  ANSWER_BROKEN_OFF,
		  EVENT_1 "data: b\n\n" },
		{ "a comment after an event, then reset",
		  STREAM_REQUEST,
		  { { UNFRAMED_HEAD EVENT_1 ": alive\n\n", END_RESET },
		    { REST_OF_STREAM, END_KEEP } },
		  2,
		  ANSWER_COMPLETE,
		  EVENT_1 ": alive\n\n" EVENT_2 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_TRUE(stream_end_case_run_(&cases[i]));
}

/*
 * Every way to end an answer, of a plain server and of a stream, with the bytes
 * in one piece and one by one: what was cut must not reach the caller as whole,
 * and a request that may run only once must not be sent again for it.
 */
static void cut_answer_is_not_forwarded_as_whole(void)
{
	relay_play_t play = { 0 };

	for (play.is_stream = FALSE; play.is_stream <= TRUE; play.is_stream++)
		for (play.sends_single_bytes = FALSE;
		     play.sends_single_bytes <= TRUE; play.sends_single_bytes++)
			support_answer_rows_play(relay_answer_play_, &play);
	if (play.failure_count)
		printf("    wrong: %u of %u plays\n", play.failure_count,
		       play.play_count);
	CU_ASSERT_EQUAL(play.failure_count, 0);
}

/* A stream that its server broke off must never end as complete. */
static void broken_off_stream_does_not_end_as_complete(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(stream_end_cases); i++)
		CU_ASSERT_TRUE(stream_end_case_run_(&stream_end_cases[i]));
}

#define SCRIPTS_MAX 256
#define FIRST_EVENT STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n"
#define ENGINE_REQUEST REQUEST("POST", "/engine/", "Content-Length: 0\r\n")
/* 60% of the route's target for the time between two events. */
#define FIRST_CHECK_MS 120
#define RECHECK_MS 60

/* Returns the index of the engine that runs the last layer of a request. */
static int second_engine_find_(const fixture_t *fixture)
{
	return strstr(fixture->requests->pdata[0], "engine1") ? 1 : 2;
}

/* Runs the main loop until `count` calls are recorded, for a while at most. */
static gboolean calls_wait_(const GPtrArray *calls, unsigned int count)
{
	int iteration;

	for (iteration = 0; iteration < LOOP_ITERATIONS_MAX / 10; iteration++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (calls->len >= count)
			return TRUE;
		g_usleep(LOOP_SLEEP_US);
	}
	return FALSE;
}

/* Starts a fixture with some engines and one stream that has an event. */
static void engine_stream_start_with_(fixture_t *fixture,
				      unsigned int engine_count,
				      const script_t *scripts,
				      unsigned int script_count)
{
	unsigned int i;

	fixture_init_(fixture, TRUE);
	for (i = 0; i < engine_count; i++)
		engine_announce_(fixture, i);
	world_run_until(fixture->world, NULL, 1000);
	fixture->scripts = scripts;
	fixture->script_count = script_count;
	request_send_(fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(loop_run_until_(fixture, 0, "id: 1"));
}

/* The same with three engines, of which two hold the last layer. */
static void engine_stream_start_(fixture_t *fixture, const script_t *scripts,
				 unsigned int script_count)
{
	engine_stream_start_with_(fixture, SERVER_COUNT, scripts, script_count);
}

/* Returns whether the instance tells the others that it suspects a server. */
static gboolean server_is_suspected_(const fixture_t *fixture, const char *id)
{
	cb_usage_t *usage = cb_server_book_collect_usage(fixture->front->book);
	gboolean is_suspected =
		cb_usage_find_load(usage, id).suspecting_instances > 0;

	cb_usage_delete(usage);
	return is_suspected;
}

/*
 * Where no engine can take over the layers of a lost one, the stream is resumed
 * later or elsewhere.  Guards against its first engine, which has reported the
 * loss, being suspected in place of the lost one.
 */
static void only_lost_engine_is_suspected(void)
{
	static const script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	fixture_t fixture;

	engine_stream_start_with_(&fixture, 2, scripts, G_N_ELEMENTS(scripts));
	fixture.lost_server = 1;
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, 1));
	(void)calls_wait_(fixture.reroutes, 1);
	CU_ASSERT_EQUAL(fixture.reroutes->len, 0);
	CU_ASSERT_TRUE(server_is_suspected_(&fixture, "engine1"));
	CU_ASSERT_FALSE(server_is_suspected_(&fixture, "engine0"));
	fixture_clear_(&fixture);
}

/* Checks that one reroute keeps the first engine and replaces the lost one. */
static void reroute_check_(const fixture_t *fixture)
{
	char *expected = g_strdup_printf("7 engine0 engine%d",
					 SERVER_COUNT - fixture->lost_server);

	CU_ASSERT_TRUE_FATAL(calls_wait_(fixture->reroutes, 1));
	CU_ASSERT_STRING_EQUAL(fixture->reroutes->pdata[0], expected);
	g_free(expected);
}

/*
 * A stream whose first engine reports that it waits for another one must be
 * moved within the pause that its route allows, and keep its first engine.
 */
static void stalled_stream_is_moved(void)
{
	static const script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	fixture_t fixture;

	engine_stream_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	fixture.lost_server = second_engine_find_(&fixture);
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS - 1);
	CU_ASSERT_EQUAL(fixture.report_addresses->len, 0);
	cb_clock_advance(fixture.world->clock, 1);
	reroute_check_(&fixture);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_clear_(&fixture);
}

/*
 * An engine's report may be older than the last reroute and still name the lost
 * engine.  The stream, which has left that one, must stay where it is and still
 * be checked.
 */
static void outdated_report_does_not_move_stream_again(void)
{
	static const script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	fixture_t fixture;
	unsigned int reports;

	engine_stream_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	fixture.lost_server = second_engine_find_(&fixture);
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS);
	reroute_check_(&fixture);
	(void)calls_wait_(fixture.reroutes, 2);
	reports = fixture.report_addresses->len;
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, reports + 1));
	(void)calls_wait_(fixture.reroutes, 2);
	cb_clock_advance(fixture.world->clock, RECHECK_MS);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, reports + 2));
	(void)calls_wait_(fixture.reroutes, 2);
	CU_ASSERT_EQUAL(fixture.reroutes->len, 1);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_clear_(&fixture);
}

/* A stream that is only slow stays where it is, and is checked less often. */
static void slow_stream_stays(void)
{
	static const script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	/* Number of reports after FIRST_CHECK_MS and each RECHECK_MS more. */
	static const unsigned int expected_reports[] = { 1, 2, 3, 4, 4, 5, 5 };
	fixture_t fixture;
	size_t i;

	engine_stream_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	for (i = 0; i < G_N_ELEMENTS(expected_reports); i++) {
		cb_clock_advance(fixture.world->clock,
				 i ? RECHECK_MS : FIRST_CHECK_MS);
		(void)calls_wait_(fixture.reroutes, 1);
		CU_ASSERT_EQUAL(fixture.report_addresses->len,
				expected_reports[i]);
	}
	CU_ASSERT_EQUAL(fixture.reroutes->len, 0);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_clear_(&fixture);
}

/*
 * An engine that a rejection names and that refuses connections is lost: the
 * streams that pass through it must be moved before they fall silent.
 */
static void rejection_moves_streams_of_lost_engine(void)
{
	script_t scripts[SCRIPTS_MAX];
	fixture_t fixture;
	char *rejection;
	char *address;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (script_t){ FIRST_EVENT, END_HOLD };
	engine_stream_start_(&fixture, scripts, SCRIPTS_MAX);
	fixture.lost_server = second_engine_find_(&fixture);
	address = server_address_(&fixture, (unsigned int)fixture.lost_server);
	rejection = g_strdup_printf("HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n"
				    "Fault: %s\r\nContent-Length: 0\r\n\r\n",
				    address);
	scripts[1] = (script_t){ rejection, END_KEEP };
	g_ptr_array_add(fixture.other_callers,
			g_steal_pointer(&fixture.caller));
	request_send_(&fixture, ENGINE_REQUEST);
	reroute_check_(&fixture);
	CU_ASSERT_STRING_EQUAL(fixture.report_addresses->pdata[0], address);
	fixture_clear_(&fixture);
	g_free(rejection);
	g_free(address);
}

#define LEAVING_ANSWER                               \
	"HTTP/1.1 200 OK\r\nId: 7\r\nLeaving: 1\r\n" \
	"Content-Length: 2\r\n\r\nok"
#define AWAY_MS 3000
#define AWAY_ANSWER                                                  \
	"HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\nAway-Ms: 3000\r\n" \
	"Content-Length: 0\r\n\r\n"
/* So many that a server among three is missed by chance once in 10^10 runs. */
#define LATER_REQUESTS 60

/* Sends a request and returns the server that got it last; -1: no answer. */
static int request_serve_(fixture_t *fixture)
{
	request_send_(fixture, IDEMPOTENT_REQUEST);
	if (!loop_run_until_(fixture, 0, "ok") || !fixture->server_indexes->len)
		return -1;
	return (int)g_array_index(fixture->server_indexes, unsigned int,
				  fixture->server_indexes->len - 1);
}

/* Returns whether one of the next LATER_REQUESTS requests reaches a server. */
static gboolean requests_reach_server_(fixture_t *fixture, int server)
{
	gboolean is_reached = FALSE;
	int i;

	for (i = 0; i < LATER_REQUESTS && !is_reached; i++)
		is_reached = request_serve_(fixture) == server;
	return is_reached;
}

/* Returns how many retries the instance has reported to control. */
static uint32_t retries_count_(const fixture_t *fixture)
{
	cb_usage_t *usage = cb_usage_new();
	uint32_t retries;

	cb_retry_share_add_usage(fixture->front->retries, usage);
	retries = cb_usage_find_sends(usage, "s").retries;
	cb_usage_delete(usage);
	return retries;
}

/* Returns how many attempts found no connection. */
static int64_t unsent_attempts_count_(const fixture_t *fixture)
{
	return cb_counter_get(cb_counters_counter(
		cb_kernel_counters(fixture->world->clients[0].kernel),
		"cb_relay_attempts_failed_total", "reason", "unsent"));
}

/*
 * A server whose port refuses a connection has most likely ended: it must not
 * be tried again for 5 s, and then once.  The requests reached no server before,
 * so no retry is taken from the budget.
 */
static void ended_server_is_tried_once(void)
{
	script_t scripts[SCRIPTS_MAX];
	fixture_t fixture;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (script_t){ COMPLETE_ANSWER, END_KEEP };
	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	cb_stream_unlisten(g_steal_pointer(&fixture.listeners[0]));
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, 0));
	CU_ASSERT_EQUAL(unsent_attempts_count_(&fixture), 1);
	world_run_until(fixture.world, NULL, 4900);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, 0));
	CU_ASSERT_EQUAL(unsent_attempts_count_(&fixture), 1);
	world_run_until(fixture.world, NULL, 200);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, 0));
	CU_ASSERT_EQUAL(unsent_attempts_count_(&fixture), 2);
	CU_ASSERT_EQUAL(retries_count_(&fixture), 0);
	fixture_clear_(&fixture);
}

/*
 * A server that announces its stop in an answer must get no new requests, also
 * after another heartbeat as ready, but those of its next process.
 */
static void leaving_server_gets_no_requests(void)
{
	script_t scripts[SCRIPTS_MAX];
	fixture_t fixture;
	int server;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (script_t){ i ? COMPLETE_ANSWER : LEAVING_ANSWER,
					 END_KEEP };
	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	server = request_serve_(&fixture);
	CU_ASSERT_TRUE_FATAL(server >= 0);
	server_announce_(&fixture, (unsigned int)server, 1, 2);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, server));
	server_announce_(&fixture, (unsigned int)server, 2, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_TRUE(requests_reach_server_(&fixture, server));
	fixture_clear_(&fixture);
}

/*
 * A server that turns this instance away for a time must get no request until
 * then; the request that it turned away is served by another server.
 */
static void server_that_turns_away_is_left_alone(void)
{
	script_t scripts[SCRIPTS_MAX];
	fixture_t fixture;
	unsigned int server;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (script_t){ i ? COMPLETE_ANSWER : AWAY_ANSWER,
					 END_KEEP };
	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	CU_ASSERT_TRUE(request_serve_(&fixture) >= 0);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	server = g_array_index(fixture.server_indexes, unsigned int, 0);
	world_run_until(fixture.world, NULL, AWAY_MS - 100);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, (int)server));
	world_run_until(fixture.world, NULL, 200);
	CU_ASSERT_TRUE(requests_reach_server_(&fixture, (int)server));
	fixture_clear_(&fixture);
}

/*
 * Where every server turns this instance away for longer than a request may
 * wait, the caller is told at once, with the time after which one takes it.
 */
static void requests_are_refused_while_all_servers_turn_away(void)
{
	script_t scripts[SCRIPTS_MAX];
	fixture_t fixture;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (script_t){ AWAY_ANSWER, END_KEEP };
	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	for (i = 0; i < 2; i++) {
		request_send_(&fixture, IDEMPOTENT_REQUEST);
		CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "turned_away"));
		CU_ASSERT_TRUE(
			g_str_has_prefix(fixture.answer->str, "HTTP/1.1 503 "));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(fixture.answer->str, "Retry-After: "));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(fixture.answer->str, "\"executed\":\"no\""));
		CU_ASSERT_EQUAL(fixture.requests->len, SERVER_COUNT);
	}
	fixture_clear_(&fixture);
}

#define LARGE_BODY_BYTES 1500000
#define LARGE_BODY_SENT_BYTES 1200000

/* Returns a complete answer head and `size` bytes `fill`; to be freed. */
static char *large_answer_make_(char fill, size_t size)
{
	char *body = g_strnfill(size, fill);
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nId: 7\r\n"
				       "Content-Length: %u\r\n\r\n%s",
				       LARGE_BODY_BYTES, body);

	g_free(body);
	return answer;
}

/*
 * A large answer that breaks off after its first part was forwarded must end
 * the caller's answer early.  Guards against the answer of another attempt
 * being appended to that part, and against an end that looks complete.
 */
static void large_answer_is_not_joined_with_another(void)
{
	script_t scripts[2];
	fixture_t fixture;
	int iteration;
	char *first = large_answer_make_('a', LARGE_BODY_SENT_BYTES);
	char *second = large_answer_make_('b', LARGE_BODY_BYTES);

	scripts[0] = (script_t){ first, END_CLOSE };
	scripts[1] = (script_t){ second, END_KEEP };
	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	request_send_(&fixture, IDEMPOTENT_REQUEST);
	for (iteration = 0;
	     iteration < LOOP_ITERATIONS_MAX && !fixture.caller_ended;
	     iteration++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(LOOP_SLEEP_US);
	}
	CU_ASSERT_TRUE(fixture.caller_ended);
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 200 "));
	CU_ASSERT_PTR_NULL(strstr(fixture.answer->str, "bb"));
	CU_ASSERT_PTR_NULL(strstr(fixture.answer->str, "\r\n0\r\n\r\n"));
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_clear_(&fixture);
	g_free(first);
	g_free(second);
}

/* Interval of suspicions, shorter than the delay of a report of one. */
#define SUSPICION_INTERVAL_MS 3
#define SUSPICIONS 100
/* 300 ms of suspicions, each reported within 55 ms. */
#define SUSPICION_REPORTS_MIN 5

/*
 * Servers that are lost together are suspected in quick succession: the report
 * of the first must not be put off by each of the next.
 */
static void suspicions_in_quick_succession_are_reported(void)
{
	unsigned int report_count = 0;
	int64_t last_ms;
	fixture_t fixture;
	int i;

	fixture_init_(&fixture, TRUE);
	last_ms = fixture.front->usage_reported_ms;
	for (i = 0; i < SUSPICIONS; i++) {
		cb_front_report_usage_soon(fixture.front);
		cb_clock_advance(fixture.world->clock, SUSPICION_INTERVAL_MS);
		report_count += fixture.front->usage_reported_ms != last_ms;
		last_ms = fixture.front->usage_reported_ms;
	}
	CU_ASSERT_TRUE(report_count >= SUSPICION_REPORTS_MIN);
	if (report_count < SUSPICION_REPORTS_MIN)
		printf("    %u reports\n", report_count);
	fixture_clear_(&fixture);
}

/*
 * Requests before the first document must wait for it, but only for a part of
 * their time (here 500 ms), so that the caller can retry in time.
 */
static void requests_wait_briefly_for_document(void)
{
	static const script_t scripts[] = { { COMPLETE_ANSWER, END_KEEP } };
	static const struct {
		/* Whether a document arrives while the request waits. */
		gboolean document_arrives;
		/* Text expected in the answer to the caller. */
		const char *expected_text;
	} cases[] = { { TRUE, "ok" }, { FALSE, "not_configured" } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_init_(&fixture, FALSE);
		fixture.scripts = scripts;
		fixture.script_count = 1;
		CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
		request_send_(&fixture, IDEMPOTENT_REQUEST);
		CU_ASSERT_FALSE(loop_run_until_(&fixture, 0, "HTTP"));
		if (cases[i].document_arrives)
			cb_node_put_document(fixture.world->nodes[0].node, 1,
					     "d", 1, accepted_answer_check_,
					     NULL);
		world_run_until(fixture.world, NULL, 490);
		world_run_until(fixture.world, NULL, 20);
		CU_ASSERT_TRUE(
			loop_run_until_(&fixture, 0, cases[i].expected_text));
		if (!cases[i].document_arrives)
			CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str,
						      "Retry-After: 1.000"));
		fixture_clear_(&fixture);
	}
}

/*
 * A draining instance must refuse streams that it would cut off when it stops,
 * and must still serve short requests.
 */
static void draining_instance_refuses_streams(void)
{
	static const script_t scripts[] = { { COMPLETE_ANSWER, END_KEEP },
					    { COMPLETE_ANSWER, END_KEEP } };
	fixture_t fixture;
	cb_service_t *service;

	fixture_init_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 2;
	service = (cb_service_t *)fixture.front;
	CU_ASSERT_TRUE(cb_front_is_ready(fixture.front));
	service->vtable->drain(service);
	CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
	world_run_until(fixture.world, NULL, 3000);
	request_send_(&fixture,
		      REQUEST("POST", "/stream/", "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "stopping"));
	CU_ASSERT_EQUAL(fixture.requests->len, 0);
	request_send_(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(loop_run_until_(&fixture, 0, "ok"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.answer->str, "Connection: close\r\n"));
	fixture_clear_(&fixture);
}

static CU_TestInfo relay_tests[] = {
	{ "answers_report_what_servers_did", answers_report_what_servers_did },
	{ "refusal_without_proof_is_no_promise",
	  refusal_without_proof_is_no_promise },
	{ "requests_are_forwarded_unchanged",
	  requests_are_forwarded_unchanged },
	{ "rejection_without_id_on_used_connection_is_unknown",
	  rejection_without_id_on_used_connection_is_unknown },
	{ "deadline_during_attempt_is_unknown_outcome",
	  deadline_during_attempt_is_unknown_outcome },
	{ "disconnected_caller_cancels_at_server",
	  disconnected_caller_cancels_at_server },
	{ "reset_stream_resumes_at_another_server",
	  reset_stream_resumes_at_another_server },
	{ "cut_answer_is_not_forwarded_as_whole",
	  cut_answer_is_not_forwarded_as_whole },
	{ "stream_without_ids_is_not_joined_with_another",
	  stream_without_ids_is_not_joined_with_another },
	{ "broken_off_stream_does_not_end_as_complete",
	  broken_off_stream_does_not_end_as_complete },
	{ "stalled_stream_is_moved", stalled_stream_is_moved },
	{ "outdated_report_does_not_move_stream_again",
	  outdated_report_does_not_move_stream_again },
	{ "only_lost_engine_is_suspected", only_lost_engine_is_suspected },
	{ "slow_stream_stays", slow_stream_stays },
	{ "rejection_moves_streams_of_lost_engine",
	  rejection_moves_streams_of_lost_engine },
	{ "ended_server_is_tried_once", ended_server_is_tried_once },
	{ "leaving_server_gets_no_requests", leaving_server_gets_no_requests },
	{ "server_that_turns_away_is_left_alone",
	  server_that_turns_away_is_left_alone },
	{ "requests_are_refused_while_all_servers_turn_away",
	  requests_are_refused_while_all_servers_turn_away },
	{ "large_answer_is_not_joined_with_another",
	  large_answer_is_not_joined_with_another },
	{ "suspicions_in_quick_succession_are_reported",
	  suspicions_in_quick_succession_are_reported },
	{ "requests_wait_briefly_for_document",
	  requests_wait_briefly_for_document },
	{ "draining_instance_refuses_streams",
	  draining_instance_refuses_streams },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay", .pTests = relay_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
