#include "support_relay.h"

#include <CUnit/CUnit.h>
#include <string.h>

#include "private/http1_body.h"

#define START_LIMIT_MS 10000
#define LINGER_MS 6000
#define GRACE_MS 8000
/* Steps of a test's clock, after each of which sockets have time to be read. */
#define PASS_TIME_STEP_MS 10
#define PASS_TIME_ITERATIONS 4
/* The servers' answer to a check, which is not recorded as a request. */
#define HEALTH_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

/* A connection of the relay to a server. */
typedef struct server_connection {
	relay_fixture_t *fixture;
	unsigned int server;	    /* index of the server in the fixture */
	cb_stream_t *stream;	    /* NULL once the connection was reset */
	GString *received;	    /* received bytes of the current request */
	unsigned int message_count; /* requests and checks that came */
	gboolean has_request;	    /* a request came that is no check */
	/* The answer that is sent byte by byte, and its sent bytes. */
	const relay_script_t *script;
	size_t sent_bytes;
	unsigned int byte_source;  /* 0: no byte is left to be sent */
	endless_sender_t *endless; /* sends an answer without end; or NULL */
} server_connection_t;

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

/* Reads the parts of a header "Parts: A,B,LAST" but the last one. */
static unsigned int shared_parts_read_(const cb_dialect_t *dialect,
				       const cb_http1_head_t *head,
				       cb_text_part_t *parts,
				       unsigned int max_count)
{
	const char *text = cb_http1_head_find(head, "Parts");
	unsigned int count = 0;
	const char *comma;

	(void)dialect;
	while (text && count < max_count && (comma = strchr(text, ','))) {
		parts[count++] =
			(cb_text_part_t){ text, (size_t)(comma - text) };
		text = comma + 1;
	}
	return count;
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

static GString *forward_write_(const cb_dialect_t *dialect,
			       const cb_http1_head_t *head,
			       const GByteArray *body,
			       const cb_relay_forward_info_t *forward_info)
{
	GString *text = g_string_new(NULL);

	(void)dialect;
	g_string_append_printf(
		text,
		"%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nAfter: %d\r\n%s"
		"Content-Length: %u\r\n\r\n",
		head->method, head->target, cb_http1_head_find(head, "Id"),
		(int)forward_info->last_event, forward_info->header_lines,
		body->len);
	g_string_append_len(text, (const char *)body->data, body->len);
	return text;
}

static void answer_info_read_(const cb_dialect_t *dialect,
			      const cb_http1_head_t *answer, const char *id,
			      cb_relay_answer_info_t *answer_info)
{
	const char *away = cb_http1_head_find(answer, "Away-Ms");
	const char *limit = cb_http1_head_find(answer, "Limit");

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
		.limit_per_s = limit ? g_ascii_strtod(limit, NULL) : -1,
	};
}

static const cb_dialect_vtable_t dialect_vtable = {
	.read_request_info = request_info_read_,
	.read_shared_parts = shared_parts_read_,
	.write_request = request_write_,
	.write_forward = forward_write_,
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

/* Makes less of a document, as its text says; see support_relay_document_put(). */
static void document_reduce_(cb_document_t *document, const char *text)
{
	cb_engine_profile_t *engine =
		((cb_service_profile_t *)cb_document_service(document, "e"))
			->engine;

	if (strstr(text, "one layer"))
		engine->layers = 1;
	if (strstr(text, "no kinds"))
		g_ptr_array_set_size(engine->kinds, 0);
	if (strstr(text, "no model"))
		cb_document_add_service(document, cb_service_profile_new("e"));
	if (strstr(text, "no engine route"))
		g_ptr_array_set_size(document->routes,
				     (int)document->routes->len - 1);
	if (strstr(text, "no service"))
		g_hash_table_remove(document->services, "e");
	if (strstr(text, "no routes"))
		g_ptr_array_set_size(document->routes, 0);
	if (strstr(text, "small limits"))
		document->limits = (cb_document_limits_t){ 8, 0, 0, 0 };
}

static cb_document_t *document_make_(const cb_document_codec_t *codec,
				     const char *text, size_t size,
				     GArray *route_texts, GError **error)
{
	cb_document_t *document = cb_document_new();
	char *words = g_strndup(text, size);

	(void)codec;
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
	document->has_workspaces = TRUE;
	if (!strstr(words, "no workspaces"))
		CU_ASSERT_TRUE(cb_document_add_key(document, "w", "k", error));
	document_reduce_(document, words);
	g_free(words);
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

/* Ends a server's process: resets its connections and stops listening. */
static void server_crash_(relay_fixture_t *fixture, unsigned int server)
{
	unsigned int i;

	cb_stream_unlisten(g_steal_pointer(&fixture->listeners[server]));
	for (i = 0; i < fixture->connections->len; i++) {
		server_connection_t *connection =
			fixture->connections->pdata[i];

		if (connection->server == server && connection->stream)
			cb_stream_reset(g_steal_pointer(&connection->stream));
	}
}

/* Ends an answer as its script says. */
static void script_end_(server_connection_t *connection,
			const relay_script_t *script)
{
	if (script->end == END_CLOSE)
		cb_stream_shutdown_send(connection->stream);
	else if (script->end == END_RESET)
		cb_stream_reset(g_steal_pointer(&connection->stream));
	else if (script->end == END_CRASH)
		server_crash_(connection->fixture, connection->server);
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

/* Answers a request that has no script; see relay_fixture_t. */
static void unscripted_request_answer_(server_connection_t *connection,
				       const char *request)
{
	relay_fixture_t *fixture = connection->fixture;

	if (!fixture->endless_unit || connection->endless)
		return;
	if (strstr(request, " " OTHER_PATH " ")) {
		cb_stream_send(connection->stream, COMPLETE_ANSWER,
			       strlen(COMPLETE_ANSWER));
		return;
	}
	cb_stream_send(connection->stream, fixture->endless_begin,
		       strlen(fixture->endless_begin));
	connection->endless =
		support_endless_sender_new(connection->stream,
					   fixture->endless_unit,
					   fixture->endless_piece_bytes,
					   &fixture->endless_sent_bytes);
	fixture->endless_count++;
}

static void server_received_(void *user_data, const uint8_t *data, size_t size)
{
	server_connection_t *connection = user_data;
	relay_fixture_t *fixture = connection->fixture;
	unsigned int index = fixture->requests->len;
	const relay_script_t *script;

	g_string_append_len(connection->received, (const char *)data,
			    (gssize)size);
	if (!request_is_complete_(connection->received))
		return;
	connection->message_count++;
	if (g_str_has_prefix(connection->received->str, "GET / ")) {
		g_string_truncate(connection->received, 0);
		cb_stream_send(connection->stream, HEALTH_ANSWER,
			       strlen(HEALTH_ANSWER));
		return;
	}
	connection->has_request = TRUE;
	fixture->is_request_first = connection->message_count == 1;
	g_ptr_array_add(fixture->requests, g_strdup(connection->received->str));
	g_array_append_val(fixture->server_indexes, connection->server);
	g_ptr_array_add(fixture->request_connections, connection);
	g_string_truncate(connection->received, 0);
	if (index >= fixture->script_count) {
		unscripted_request_answer_(connection,
					   fixture->requests->pdata[index]);
		return;
	}
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
	connection->fixture->ended_connection_count += connection->has_request;
	if (connection->endless)
		connection->fixture->endless_closed_count++;
	g_clear_pointer(&connection->endless, support_endless_sender_delete);
}

static const cb_stream_handler_t server_handler = {
	.received = server_received_,
	.ended = server_ended_,
};

/* The server that a listener belongs to. */
typedef struct accept_context {
	relay_fixture_t *fixture;
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
	support_endless_sender_delete(connection->endless);
	cb_stream_delete(connection->stream);
	g_string_free(connection->received, TRUE);
	g_free(connection);
}

void support_relay_accepted_check(cb_submit_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	(void)user_data;
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
}

static accept_context_t accept_contexts[SERVER_COUNT];

char *support_relay_server_address(const relay_fixture_t *fixture,
				   unsigned int server)
{
	return g_strdup_printf("127.0.0.1:%u", fixture->ports[server]);
}

void support_relay_engine_announce(relay_fixture_t *fixture,
				   unsigned int server)
{
	support_relay_layers_announce(fixture, server, 1, server > 0,
				      (server > 0) + 1);
}

void support_relay_layers_announce(relay_fixture_t *fixture,
				   unsigned int server, uint64_t sequence,
				   uint32_t layer_from, uint32_t layer_to)
{
	cb_fleet_server_t heartbeat = { .service = (char *)"e",
					.data_centre = (char *)"dc1",
					.kind = (char *)"k",
					.start_wall_ms = 2,
					.sequence = sequence,
					.slots = 4,
					.layer_from = layer_from,
					.layer_to = layer_to };

	heartbeat.id = g_strdup_printf("engine%u", server);
	heartbeat.address = support_relay_server_address(fixture, server);
	cb_node_server_announce(fixture->world->nodes[0].node, &heartbeat,
				support_relay_accepted_check, NULL);
	g_free(heartbeat.id);
	g_free(heartbeat.address);
}

/* Orders to engines that record the calls in a fixture. */
typedef struct fake_orders {
	cb_engine_orders_t base;
	relay_fixture_t *fixture;
} fake_orders_t;

/* A report or reroute that is answered from the main loop. */
typedef struct engine_call {
	relay_fixture_t *fixture;
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
			   support_relay_server_address(call->fixture,
							(unsigned int)lost);
	cb_stall_t stall = { (char *)"7", lost_address };
	GArray *stalls = g_array_new(FALSE, FALSE, sizeof(cb_stall_t));
	const cb_engine_report_t report = { .slow_percent = 100,
					    .stalls = stalls };

	if (lost_address)
		g_array_append_val(stalls, stall);
	if (call->reroute_done)
		call->reroute_done(CB_REROUTE_DONE, NULL, call->user_data);
	else if (call->fixture->lacks_resources)
		call->report_done(CB_REPORT_UNMADE, NULL, call->user_data);
	else if (!g_strcmp0(call->address, lost_address))
		call->report_done(CB_REPORT_FAILED, NULL, call->user_data);
	else
		call->report_done(CB_REPORT_ANSWERED, &report, call->user_data);
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
	relay_fixture_t *fixture = ((fake_orders_t *)orders)->fixture;
	char *silent_address =
		fixture->lost_server_is_silent ?
			support_relay_server_address(
				fixture, (unsigned int)fixture->lost_server) :
			NULL;

	g_ptr_array_add(fixture->report_addresses, g_strdup(address));
	if (!fixture->withholds_reports &&
	    g_strcmp0(address, silent_address) != 0)
		engine_call_new_(orders, address, user_data)->report_done =
			done;
	g_free(silent_address);
}

static void reroute_request_(cb_engine_orders_t *orders, const char *address,
			     const char *request_id, const GArray *hops,
			     cb_reroute_done_fn_t done, void *user_data)
{
	relay_fixture_t *fixture = ((fake_orders_t *)orders)->fixture;
	GString *text = g_string_new(request_id);
	unsigned int i;

	for (i = 0; i < hops->len; i++)
		g_string_append_printf(
			text, " %s", g_array_index(hops, cb_relay_hop_t, i).id);
	g_ptr_array_add(fixture->reroutes, g_string_free(text, FALSE));
	if (!fixture->withholds_reroutes)
		engine_call_new_(orders, address, user_data)->reroute_done =
			done;
}

/* No test cancels a call that is going to be answered. */
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

/* Sends a heartbeat, which lacks ID and address of its server, to control. */
static void heartbeat_send_(relay_fixture_t *fixture, unsigned int server,
			    cb_fleet_server_t heartbeat)
{
	heartbeat.id = g_strdup_printf("server%u", server);
	heartbeat.address = support_relay_server_address(fixture, server);
	cb_node_server_announce(fixture->world->nodes[0].node, &heartbeat,
				support_relay_accepted_check, NULL);
	g_free(heartbeat.id);
	g_free(heartbeat.address);
}

void support_relay_server_announce(relay_fixture_t *fixture,
				   unsigned int server, int64_t start_wall_ms,
				   uint64_t sequence)
{
	const cb_fleet_server_t heartbeat = {
		.service = (char *)"s",
		.data_centre = (char *)"dc1",
		.start_wall_ms = start_wall_ms,
		.sequence = sequence,
		.slots = 4,
	};

	heartbeat_send_(fixture, server, heartbeat);
}

void support_relay_server_drain(relay_fixture_t *fixture, unsigned int server)
{
	const cb_fleet_server_t heartbeat = {
		.service = (char *)"s",
		.data_centre = (char *)"dc1",
		.start_wall_ms = 1,
		.sequence = 2,
		.state = CB_FLEET_DRAINING,
		.slots = 4,
	};

	heartbeat_send_(fixture, server, heartbeat);
}

void support_relay_server_restart(relay_fixture_t *fixture, unsigned int server,
				  int64_t start_wall_ms)
{
	char *address = support_relay_server_address(fixture, server);

	fixture->listeners[server] =
		cb_stream_listen(fixture->poller, address, server_accept_,
				 &accept_contexts[server], NULL);
	CU_ASSERT_PTR_NOT_NULL(fixture->listeners[server]);
	support_relay_server_announce(fixture, server, start_wall_ms, 1);
	g_free(address);
}

/* Starts the servers and announces them to the control instance. */
static void servers_start_(relay_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < SERVER_COUNT; i++) {
		accept_contexts[i] = (accept_context_t){ fixture, i };
		fixture->listeners[i] =
			cb_stream_listen(fixture->poller, "127.0.0.1:0",
					 server_accept_, &accept_contexts[i],
					 NULL);
		fixture->ports[i] =
			cb_stream_listener_port(fixture->listeners[i]);
		support_relay_server_announce(fixture, i, 1, 1);
	}
}

static gboolean entry_is_ready_(world_t *world)
{
	return world_is_converged(world) &&
	       cb_control_client_is_confirmed(world->clients[0].client);
}

/* Starts everything, with `peer_count` other instances at `peer_port`. */
static void fixture_init_(relay_fixture_t *fixture, gboolean has_document,
			  unsigned int peer_count, uint16_t peer_port)
{
	cb_front_options_t options = {
		.name = "entry1",
		.listen = "127.0.0.1:0",
		.listen_peers = "127.0.0.1:0",
		.peer_port = peer_port,
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

	*fixture = (relay_fixture_t){
		.world = world_new_with_servers(1, 1 + peer_count, 31, 60000)
	};
	entry = &fixture->world->clients[0];
	fixture->connections =
		g_ptr_array_new_with_free_func(server_connection_free_);
	fixture->requests = g_ptr_array_new_with_free_func(g_free);
	fixture->server_indexes =
		g_array_new(FALSE, FALSE, sizeof(unsigned int));
	fixture->request_connections = g_ptr_array_new();
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
				     support_relay_accepted_check, NULL);
	world_run_until(fixture->world, NULL, 1000);
}

void support_relay_init(relay_fixture_t *fixture, gboolean has_document)
{
	fixture_init_(fixture, has_document, 0, 0);
}

void support_relay_init_with_peers(relay_fixture_t *fixture,
				   unsigned int peer_count, uint16_t peer_port)
{
	fixture_init_(fixture, TRUE, peer_count, peer_port);
}

void support_relay_document_put(relay_fixture_t *fixture, int64_t version,
				const char *text)
{
	cb_node_put_document(fixture->world->nodes[0].node, version, text,
			     strlen(text), support_relay_accepted_check, NULL);
	support_relay_pass_time(fixture, 200);
}

void support_relay_clear(relay_fixture_t *fixture)
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
	g_ptr_array_unref(fixture->request_connections);
	g_string_free(fixture->answer, TRUE);
	g_ptr_array_unref(fixture->report_addresses);
	g_ptr_array_unref(fixture->reroutes);
	cb_poller_delete(fixture->poller);
	world_delete(fixture->world);
}

static void caller_received_(void *user_data, const uint8_t *data, size_t size)
{
	relay_fixture_t *fixture = user_data;

	g_string_append_len(fixture->answer, (const char *)data, (gssize)size);
}

static void caller_ended_(void *user_data, cb_stream_end_t end)
{
	(void)end;
	((relay_fixture_t *)user_data)->caller_ended = TRUE;
}

static const cb_stream_handler_t caller_handler = {
	.received = caller_received_,
	.ended = caller_ended_,
};

/* Sends a request on a new connection to a port of the relay. */
static void request_send_to_(relay_fixture_t *fixture, uint16_t port,
			     const char *text)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);

	cb_stream_delete(fixture->caller);
	g_string_truncate(fixture->answer, 0);
	fixture->caller_ended = FALSE;
	fixture->caller = cb_stream_connect(fixture->poller, address,
					    &caller_handler, fixture);
	cb_stream_send(fixture->caller, text, strlen(text));
	g_free(address);
}

void support_relay_request_send(relay_fixture_t *fixture, const char *text)
{
	request_send_to_(fixture, cb_front_port(fixture->front), text);
}

void support_relay_forwarded_send(relay_fixture_t *fixture, const char *text)
{
	request_send_to_(fixture,
			 cb_http1_server_port(fixture->front->peer_server),
			 text);
}

void support_relay_answer_continue(relay_fixture_t *fixture,
				   unsigned int request, const char *text)
{
	server_connection_t *connection =
		fixture->request_connections->pdata[request];

	cb_stream_send(connection->stream, text, strlen(text));
}

void support_relay_server_crash(relay_fixture_t *fixture, unsigned int request)
{
	server_crash_(fixture, g_array_index(fixture->server_indexes,
					     unsigned int, request));
}

void support_relay_server_reset(relay_fixture_t *fixture, unsigned int request)
{
	server_connection_t *connection =
		fixture->request_connections->pdata[request];

	cb_stream_set_reset(connection->stream);
	g_ptr_array_remove(fixture->connections, connection);
}

void support_relay_pass_time(relay_fixture_t *fixture, int64_t duration_ms)
{
	int64_t passed_ms;
	int i;

	for (passed_ms = 0; passed_ms < duration_ms;
	     passed_ms += PASS_TIME_STEP_MS) {
		world_run_until(fixture->world, NULL, PASS_TIME_STEP_MS);
		for (i = 0; i < PASS_TIME_ITERATIONS; i++) {
			while (g_main_context_iteration(NULL, FALSE))
				;
			g_usleep(LOOP_SLEEP_US);
		}
	}
}

gboolean support_relay_run_until(relay_fixture_t *fixture,
				 unsigned int requests, const char *text)
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

static void body_append_(void *user_data, const uint8_t *data, size_t size)
{
	g_string_append_len(user_data, (const char *)data, (gssize)size);
}

/*
 * Reads the caller's answer up to now: appends its body to `body`, and returns
 * whether the answer is complete by its own framing.
 */
static gboolean answer_read_(const relay_fixture_t *fixture, uint32_t *status,
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

gboolean support_relay_answer_await(relay_fixture_t *fixture, uint32_t *status,
				    GString *body)
{
	gboolean is_complete = FALSE;
	gboolean has_ended = FALSE;
	int iteration;

	for (iteration = 0;
	     iteration < LOOP_ITERATIONS_MAX && !is_complete && !has_ended;
	     iteration++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		has_ended = fixture->caller_ended;
		g_string_truncate(body, 0);
		is_complete = answer_read_(fixture, status, body);
		g_usleep(LOOP_SLEEP_US);
	}
	return is_complete;
}
