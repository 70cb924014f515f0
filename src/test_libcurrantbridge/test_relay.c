#include "support_main.h"

#include <string.h>

#include "currantbridge/front.h"
#include "private/stream.h"
#include "support_world.h"

/*
 * An entry instance's relay between callers and backend servers over real
 * sockets, with control in memory, on a paused clock.
 */
#define START_LIMIT_MS 10000
#define TURNS_MAX 4000
#define TURN_US 500
#define SERVERS 3
#define LINGER_MS 6000
#define GRACE_MS 8000

/* What a server does with a request: sends, and then may end. */
typedef enum script_end {
	END_KEEP,
	END_CLOSE,
	END_RESET,
	END_HOLD, /* answers nothing more and keeps the connection */
} script_end_t;

typedef struct script {
	const char *text;
	script_end_t end;
} script_t;

typedef struct fixture fixture_t;

typedef struct server_link {
	fixture_t *fixture;
	unsigned int server;
	cb_stream_t *stream;
	GString *in;
} server_link_t;

struct fixture {
	world_t *world;
	cb_poller_t *poller; /* of servers and caller */
	cb_http1_client_t *client;
	cb_front_t *front;
	cb_stream_listener_t *listeners[SERVERS];
	GPtrArray *links;
	/* The requests that servers got, and what they do with each. */
	GPtrArray *requests;
	GArray *served_by;
	const script_t *scripts;
	unsigned int script_count;
	unsigned int links_ended;
	/* The caller. */
	cb_stream_t *caller;
	GString *answer;
	gboolean caller_ended;
};

static void read_ask_(const cb_dialect_t *dialect, const cb_http1_head_t *head,
		      cb_relay_ask_t *ask)
{
	const char *left = cb_http1_head_find(head, "Left");

	(void)dialect;
	ask->id = cb_http1_head_find(head, "Id");
	ask->key = cb_http1_head_find(head, "Key");
	ask->budget_ms = left ? g_ascii_strtoll(left, NULL, 10) : 0;
	ask->last_event = -1;
}

static GString *write_request_(const cb_dialect_t *dialect,
			       const cb_http1_head_t *head,
			       const GByteArray *body,
			       const cb_relay_send_t *send)
{
	GString *text = g_string_new(NULL);

	(void)dialect;
	g_string_append_printf(
		text,
		"%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nTo: %s\r\n"
		"Workspace: %s\r\nAfter: %d\r\nContent-Length: %u\r\n\r\n",
		head->method, head->target, cb_http1_head_find(head, "Id"),
		send->server_id, send->workspace ? send->workspace : "-",
		(int)send->last_event, body->len);
	g_string_append_len(text, (const char *)body->data, body->len);
	return text;
}

static void read_word_(const cb_dialect_t *dialect,
		       const cb_http1_head_t *answer, const char *id,
		       cb_relay_word_t *word)
{
	(void)dialect;
	*word = (cb_relay_word_t){
		.is_echo = !g_strcmp0(cb_http1_head_find(answer, "Id"), id),
		.has_not_run = cb_http1_head_find(answer, "Not-Run") != NULL,
		.running = -1,
	};
}

static const cb_dialect_vtable_t dialect_vtable = {
	.read_ask = read_ask_,
	.write_request = write_request_,
	.read_word = read_word_,
};
static const cb_dialect_t dialect = { &dialect_vtable };

static void route_add_(cb_document_t *document, const char *prefix,
		       cb_route_kind_t kind)
{
	cb_route_t *route = cb_route_new();
	cb_route_split_t split = { g_strdup("s"), 1 };

	route->name = g_strdup(prefix);
	route->host = g_strdup("h");
	route->prefix = g_strdup(prefix);
	route->kind = kind;
	route->timeout_ms = 4000;
	route->target_ms = 500;
	route->gap_ms = 200;
	route->max_attempts = 2;
	route->is_resumable = TRUE;
	g_array_append_val(route->splits, split);
	cb_document_add_route(document, route);
}

static cb_document_t *decode_(const cb_document_codec_t *codec,
			      const char *text, size_t size, GError **error)
{
	cb_document_t *document = cb_document_new();

	(void)codec;
	(void)text;
	(void)size;
	document->version = 1;
	document->limits = (cb_document_limits_t){ 4096, 1024, 3000, 15000 };
	cb_document_add_service(document, cb_service_profile_new("s"));
	route_add_(document, "/safe/", CB_ROUTE_IDEMPOTENT);
	route_add_(document, "/once/", CB_ROUTE_ONCE);
	route_add_(document, "/stream/", CB_ROUTE_STREAM);
	CU_ASSERT_TRUE(cb_document_add_key(document, "w", "k", error));
	CU_ASSERT_TRUE(cb_document_finish(document, error));
	return document;
}

static const cb_document_codec_vtable_t codec_vtable = { decode_ };
static const cb_document_codec_t codec = { &codec_vtable };

/* Whether a whole request is there. */
static gboolean is_whole_(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	const char *length = strstr(in->str, "Content-Length: ");

	if (!end)
		return FALSE;
	return !length ||
	       strlen(end + 4) >=
		       g_ascii_strtoull(length + strlen("Content-Length: "),
					NULL, 10);
}

static void server_received_(void *user_data, const uint8_t *data, size_t size)
{
	server_link_t *link = user_data;
	fixture_t *fixture = link->fixture;
	unsigned int number = fixture->requests->len;
	const script_t *script;

	g_string_append_len(link->in, (const char *)data, (gssize)size);
	if (!is_whole_(link->in))
		return;
	g_ptr_array_add(fixture->requests, g_strdup(link->in->str));
	g_array_append_val(fixture->served_by, link->server);
	g_string_truncate(link->in, 0);
	if (number >= fixture->script_count)
		return;
	script = &fixture->scripts[number];
	cb_stream_send(link->stream, script->text, strlen(script->text));
	if (script->end == END_CLOSE)
		cb_stream_finish(link->stream);
	else if (script->end == END_RESET)
		cb_stream_reset(g_steal_pointer(&link->stream));
}

static void server_ended_(void *user_data, cb_stream_end_t end)
{
	server_link_t *link = user_data;

	(void)end;
	link->fixture->links_ended++;
}

static const cb_stream_handler_t server_handler = {
	.received = server_received_,
	.ended = server_ended_,
};

typedef struct accept_at {
	fixture_t *fixture;
	unsigned int server;
} accept_at_t;

static void server_accept_(int fd, void *user_data)
{
	const accept_at_t *at = user_data;
	server_link_t *link = g_new0(server_link_t, 1);

	link->fixture = at->fixture;
	link->server = at->server;
	link->in = g_string_new(NULL);
	link->stream =
		cb_stream_new(link->fixture->poller, fd, &server_handler, link);
	g_ptr_array_add(at->fixture->links, link);
}

static void server_link_free_(void *data)
{
	server_link_t *link = data;

	cb_stream_delete(link->stream);
	g_string_free(link->in, TRUE);
	g_free(link);
}

static void heard_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		   void *user_data)
{
	(void)answer;
	(void)user_data;
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
}

static accept_at_t accepts[SERVERS];

/* Starts the servers, which announce themselves to a control node. */
static void servers_start_(fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < SERVERS; i++) {
		cb_fleet_server_t said = { .service = (char *)"s",
					   .data_centre = (char *)"dc1",
					   .born_wall_ms = 1,
					   .sequence = 1,
					   .slots = 4 };

		accepts[i] = (accept_at_t){ fixture, i };
		fixture->listeners[i] =
			cb_stream_listen(fixture->poller, "127.0.0.1:0",
					 server_accept_, &accepts[i], NULL);
		said.id = g_strdup_printf("server%u", i);
		said.address = g_strdup_printf("127.0.0.1:%u",
					       cb_stream_listener_port(
						       fixture->listeners[i]));
		cb_node_fleet_hear(fixture->world->nodes[0].node, &said, heard_,
				   NULL);
		g_free(said.id);
		g_free(said.address);
	}
}

static gboolean is_ready_(world_t *world)
{
	return world_is_converged(world) &&
	       cb_control_client_is_confirmed(world->clients[0].client);
}

static void fixture_begin_(fixture_t *fixture, gboolean has_document)
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

	*fixture = (fixture_t){ .world = world_new_hearing(1, 1, 31, 60000) };
	entry = &fixture->world->clients[0];
	fixture->links = g_ptr_array_new_with_free_func(server_link_free_);
	fixture->requests = g_ptr_array_new_with_free_func(g_free);
	fixture->served_by = g_array_new(FALSE, FALSE, sizeof(unsigned int));
	fixture->answer = g_string_new(NULL);
	fixture->client =
		cb_http1_client_new(NULL, fixture->world->clock, NULL);
	options.client = fixture->client;
	fixture->front = cb_front_new(entry->kernel, entry->client, entry->view,
				      &options);
	CU_ASSERT_TRUE(
		((cb_service_t *)fixture->front)
			->vtable->start((cb_service_t *)fixture->front, NULL));
	CU_ASSERT_TRUE(
		world_run_until(fixture->world, is_ready_, START_LIMIT_MS));
	fixture->poller = cb_poller_new(NULL);
	servers_start_(fixture);
	if (has_document)
		cb_node_put_document(fixture->world->nodes[0].node, 1, "d", 1,
				     heard_, NULL);
	world_run_until(fixture->world, NULL, 1000);
}

static void fixture_end_(fixture_t *fixture)
{
	unsigned int i;

	cb_stream_delete(fixture->caller);
	((cb_service_t *)fixture->front)
		->vtable->destroy((cb_service_t *)fixture->front);
	cb_http1_client_delete(fixture->client);
	for (i = 0; i < SERVERS; i++)
		cb_stream_unlisten(fixture->listeners[i]);
	g_ptr_array_unref(fixture->links);
	g_ptr_array_unref(fixture->requests);
	g_array_unref(fixture->served_by);
	g_string_free(fixture->answer, TRUE);
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

/* Sends a request on a connection of its own. */
static void ask_(fixture_t *fixture, const char *text)
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

/* Runs the loop until so many requests reached servers, or the text came. */
static gboolean pump_(fixture_t *fixture, unsigned int requests,
		      const char *text)
{
	int turn;

	for (turn = 0; turn < TURNS_MAX; turn++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (text ? strstr(fixture->answer->str, text) != NULL :
			   fixture->requests->len >= requests)
			return TRUE;
		g_usleep(TURN_US);
	}
	return FALSE;
}

#define ASK(method, path, extra)                                                 \
	method " " path                                                          \
	       " HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 2000\r\n" extra \
	       "\r\n"
#define GOOD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 2\r\n\r\nok"

typedef struct outcome_case {
	const char *what;
	const char *request;
	script_t scripts[3];
	unsigned int sends;
	const char *status; /* as it begins the answer */
	const char *contains;
} outcome_case_t;

#define SAFE ASK("GET", "/safe/a?b=%2f", "")
#define ONCE ASK("POST", "/once/a", "Content-Length: 3\r\n") "abc"

static const outcome_case_t outcome_cases[] = {
	{ "a whole answer",
	  SAFE,
	  { { GOOD, END_KEEP } },
	  1,
	  "HTTP/1.1 200 ",
	  "Seal: x\r\nContent-Length: 2\r\n\r\nok" },
	{ "one that did not run goes to another server",
	  ONCE,
	  { { "HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\n"
	      "Content-Length: 0\r\n\r\n",
	      END_KEEP },
	    { GOOD, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "a lost answer: what may be repeated is",
	  SAFE,
	  { { "", END_CLOSE }, { GOOD, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "a lost answer: what may run once is not repeated",
	  ONCE,
	  { { "", END_RESET }, { GOOD, END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "a truncated answer never looks whole",
	  ONCE,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nok",
	      END_CLOSE } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "an answer without a length that ends by a clean close is whole",
	  ONCE,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole", END_CLOSE } },
	  1,
	  "HTTP/1.1 200 ",
	  "Content-Length: 5\r\n\r\nwhole" },
	{ "an answer without a length that is reset is not",
	  ONCE,
	  { { "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole", END_RESET } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "the answer to another request",
	  SAFE,
	  { { "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother",
	      END_KEEP },
	    { GOOD, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "\r\n\r\nok" },
	{ "bytes that are no answer",
	  ONCE,
	  { { "garbage\r\n\r\n", END_KEEP } },
	  1,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "a server's own failure is passed on as it is",
	  ONCE,
	  { { "HTTP/1.1 500 X\r\nId: 7\r\nSeal: y\r\nContent-Length: 3\r\n\r\n"
	      "bad",
	      END_KEEP } },
	  1,
	  "HTTP/1.1 500 ",
	  "Seal: y\r\nContent-Length: 3\r\n\r\nbad" },
	{ "and repeated where it may be",
	  SAFE,
	  { { "HTTP/1.1 500 X\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad",
	      END_KEEP },
	    { GOOD, END_KEEP } },
	  2,
	  "HTTP/1.1 200 ",
	  "ok" },
	{ "no more servers than the route allows",
	  SAFE,
	  { { "", END_CLOSE }, { "", END_CLOSE }, { GOOD, END_KEEP } },
	  2,
	  "HTTP/1.1 502 ",
	  "\"executed\":\"unknown\"" },
	{ "an unknown key",
	  "GET /safe/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: z\r\n\r\n",
	  { { GOOD, END_KEEP } },
	  0,
	  "HTTP/1.1 401 ",
	  "unknown_key" },
	{ "no route",
	  "GET /nowhere/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n\r\n",
	  { { GOOD, END_KEEP } },
	  0,
	  "HTTP/1.1 404 ",
	  "no_route" },
	{ "two lengths",
	  "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
	  "Content-Length: 1\r\n\r\na",
	  { { GOOD, END_KEEP } },
	  0,
	  "HTTP/1.1 400 ",
	  "header_invalid" },
	{ "a body over the limit",
	  "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1025\r\n\r\n",
	  { { GOOD, END_KEEP } },
	  0,
	  "HTTP/1.1 413 ",
	  "body_too_large" },
};

static void outcomes_are_told_truthfully(void)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
		const outcome_case_t *c = &outcome_cases[i];
		fixture_t fixture;
		gboolean is_right;

		fixture_begin_(&fixture, TRUE);
		fixture.scripts = c->scripts;
		fixture.script_count = G_N_ELEMENTS(c->scripts);
		ask_(&fixture, c->request);
		is_right = pump_(&fixture, 0, c->contains) &&
			   g_str_has_prefix(fixture.answer->str, c->status) &&
			   fixture.requests->len == c->sends;
		CU_ASSERT_TRUE(is_right);
		if (!is_right)
			printf("    %s: %u sends, %s\n", c->what,
			       fixture.requests->len, fixture.answer->str);
		/* A second attempt never goes to the same server. */
		for (k = 1; k < fixture.served_by->len; k++)
			CU_ASSERT_NOT_EQUAL(g_array_index(fixture.served_by,
							  unsigned int, k),
					    g_array_index(fixture.served_by,
							  unsigned int, k - 1));
		fixture_end_(&fixture);
	}
}

/* What the server gets is the caller's, and the workspace, not the key. */
static void requests_pass_unchanged(void)
{
	static const script_t scripts[] = { { GOOD, END_KEEP } };
	fixture_t fixture;
	const char *got;

	fixture_begin_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	ask_(&fixture, ASK("POST", "/once/%7Ea//b?x=%2F;y",
			   "Transfer-Encoding: "
			   "chunked\r\n") "3\r\nabc\r\n0\r\n\r\n");
	CU_ASSERT_TRUE(pump_(&fixture, 0, "ok"));
	got = fixture.requests->pdata[0];
	CU_ASSERT_TRUE(
		g_str_has_prefix(got, "POST /once/%7Ea//b?x=%2F;y HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "\r\nWorkspace: w\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "\r\n\r\nabc"));
	CU_ASSERT_PTR_NULL(strstr(got, "Key"));
	fixture_end_(&fixture);
}

/* At the deadline, what is under way may have run: 504, and it is cancelled. */
static void deadline_under_way_is_no_promise(void)
{
	static const script_t scripts[] = { { "", END_HOLD } };
	fixture_t fixture;

	fixture_begin_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	ask_(&fixture, ONCE);
	CU_ASSERT_TRUE(pump_(&fixture, 1, NULL));
	cb_clock_advance(fixture.world->clock, 1999);
	CU_ASSERT_EQUAL(fixture.answer->len, 0);
	cb_clock_advance(fixture.world->clock, 1);
	CU_ASSERT_TRUE(pump_(&fixture, 0, "\"executed\":\"unknown\""));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 504 "));
	CU_ASSERT_EQUAL(fixture.links_ended, 1);
	fixture_end_(&fixture);
}

/* A caller that closes ends its request at the server. */
static void gone_callers_cancel_at_the_server(void)
{
	static const script_t scripts[] = { { "", END_HOLD } };
	fixture_t fixture;
	int turn;

	fixture_begin_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	ask_(&fixture, SAFE);
	CU_ASSERT_TRUE(pump_(&fixture, 1, NULL));
	cb_stream_delete(g_steal_pointer(&fixture.caller));
	for (turn = 0; turn < TURNS_MAX && !fixture.links_ended; turn++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(TURN_US);
	}
	CU_ASSERT_EQUAL(fixture.links_ended, 1);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	fixture_end_(&fixture);
}

#define EVENTS_HEAD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n"

/*
 * A stream that breaks off in the middle of an event goes on elsewhere after
 * the last whole one; the caller gets each event once, and one head.
 */
static void broken_streams_go_on_elsewhere(void)
{
	static const script_t scripts[] = {
		{ EVENTS_HEAD "1b\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n",
		  END_RESET },
		{ EVENTS_HEAD "1e\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\r\n"
			      "0\r\n\r\n",
		  END_KEEP },
	};
	fixture_t fixture;
	const char *text;

	fixture_begin_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 2;
	ask_(&fixture, ASK("POST", "/stream/", "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(pump_(&fixture, 0, "0\r\n\r\n"));
	text = fixture.answer->str;
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.requests->pdata[1], "\r\nAfter: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 1\ndata: a\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 2\ndata: b\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 3\ndata: c\n\n"));
	CU_ASSERT_PTR_NULL(strstr(strstr(text, "id: 2") + 1, "id: 2"));
	CU_ASSERT_PTR_NULL(strstr(text + 1, "HTTP/1.1"));
	fixture_end_(&fixture);
}

/* Before there is a document, requests wait for it, and not for long. */
static void unconfigured_instances_wait_briefly(void)
{
	static const script_t scripts[] = { { GOOD, END_KEEP } };
	static const struct {
		gboolean comes;
		const char *contains;
	} cases[] = { { TRUE, "ok" }, { FALSE, "not_configured" } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_begin_(&fixture, FALSE);
		fixture.scripts = scripts;
		fixture.script_count = 1;
		CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
		ask_(&fixture, SAFE);
		CU_ASSERT_FALSE(pump_(&fixture, 0, "HTTP"));
		if (cases[i].comes)
			cb_node_put_document(fixture.world->nodes[0].node, 1,
					     "d", 1, heard_, NULL);
		world_run_until(fixture.world, NULL, 490);
		world_run_until(fixture.world, NULL, 20);
		CU_ASSERT_TRUE(pump_(&fixture, 0, cases[i].contains));
		if (!cases[i].comes)
			CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str,
						      "Retry-After: 1.000"));
		fixture_end_(&fixture);
	}
}

/* A stopping instance takes no stream that would outlast it, but calls. */
static void stopping_instances_take_no_stream(void)
{
	static const script_t scripts[] = { { GOOD, END_KEEP },
					    { GOOD, END_KEEP } };
	fixture_t fixture;
	cb_service_t *service;

	fixture_begin_(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 2;
	service = (cb_service_t *)fixture.front;
	CU_ASSERT_TRUE(cb_front_is_ready(fixture.front));
	service->vtable->drain(service);
	CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
	world_run_until(fixture.world, NULL, 3000);
	ask_(&fixture, ASK("POST", "/stream/", "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(pump_(&fixture, 0, "stopping"));
	CU_ASSERT_EQUAL(fixture.requests->len, 0);
	ask_(&fixture, ONCE);
	CU_ASSERT_TRUE(pump_(&fixture, 0, "ok"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.answer->str, "Connection: close\r\n"));
	fixture_end_(&fixture);
}

static CU_TestInfo relay_tests[] = {
	{ "outcomes_are_told_truthfully", outcomes_are_told_truthfully },
	{ "requests_pass_unchanged", requests_pass_unchanged },
	{ "deadline_under_way_is_no_promise",
	  deadline_under_way_is_no_promise },
	{ "gone_callers_cancel_at_the_server",
	  gone_callers_cancel_at_the_server },
	{ "broken_streams_go_on_elsewhere", broken_streams_go_on_elsewhere },
	{ "unconfigured_instances_wait_briefly",
	  unconfigured_instances_wait_briefly },
	{ "stopping_instances_take_no_stream",
	  stopping_instances_take_no_stream },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay", .pTests = relay_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
