#include "support_main.h"

#include <string.h>

#include "support_relay.h"

/*
 * Tests what an instance says to another one that has forwarded a request to it,
 * which must be true, since that one answers its caller by it.
 */
#define FORWARDED(text)                                                        \
	"GET /safe/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 2000\r\n" \
	"Connection: Currantbridge-Forwarded\r\n"                              \
	"Currantbridge-Forwarded: " text "\r\n\r\n"

typedef struct forward_case {
	const char *request;
	relay_script_t script; /* the server's reaction */
	unsigned int requests; /* that reach servers */
	const char *expected_status;
	const char *expected_outcome; /* header line; NULL: none */
} forward_case_t;

static const forward_case_t forward_cases[] = {
	{ FORWARDED("entry2 1 0"),
	  { COMPLETE_ANSWER, END_KEEP },
	  1,
	  "HTTP/1.1 200 ",
	  "Currantbridge-Outcome: answered\r\n" },
	/* A caller's own header comes before that of the instance. */
	{ "GET /safe/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 2000\r\n"
	  "Currantbridge-Forwarded: x 99 99\r\n"
	  "Currantbridge-Forwarded: entry2 1 0\r\n\r\n",
	  { COMPLETE_ANSWER, END_KEEP },
	  1,
	  "HTTP/1.1 200 ",
	  "Currantbridge-Outcome: answered\r\n" },
	/* The other instance routed by a document that is not here yet. */
	{ FORWARDED("entry2 2 0"),
	  { COMPLETE_ANSWER, END_KEEP },
	  0,
	  "HTTP/1.1 503 ",
	  "Currantbridge-Outcome: elsewhere\r\n" },
	{ FORWARDED("entry2 1"),
	  { COMPLETE_ANSWER, END_KEEP },
	  0,
	  "HTTP/1.1 400 ",
	  NULL },
	{ FORWARDED("entry2 1 -1"),
	  { COMPLETE_ANSWER, END_KEEP },
	  0,
	  "HTTP/1.1 400 ",
	  NULL },
	/* The route allows two runs; one was made at the other instance. */
	{ FORWARDED("entry2 1 1"),
	  { "", END_RESET },
	  1,
	  "HTTP/1.1 502 ",
	  "Currantbridge-Outcome: unknown\r\n" },
	/* The one run was made at the other instance, none here. */
	{ FORWARDED("entry2 2 1"),
	  { COMPLETE_ANSWER, END_KEEP },
	  0,
	  "HTTP/1.1 503 ",
	  "Currantbridge-Outcome: elsewhere\r\n" },
	{ "POST /once/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n"
	  "Left: 2000\r\nCurrantbridge-Forwarded: entry2 1 0\r\n"
	  "Content-Length: 0\r\n\r\n",
	  { "", END_RESET },
	  1,
	  "HTTP/1.1 502 ",
	  "Currantbridge-Outcome: unknown\r\n" },
	{ "GET /none/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n"
	  "Currantbridge-Forwarded: entry2 1 0\r\n\r\n",
	  { COMPLETE_ANSWER, END_KEEP },
	  0,
	  "HTTP/1.1 404 ",
	  "Currantbridge-Outcome: not_run\r\n" },
};

static void case_play_(const forward_case_t *c)
{
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = &c->script;
	fixture.script_count = 1;
	support_relay_forwarded_send(&fixture, c->request);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "\r\n\r\n"));
	CU_ASSERT_TRUE(
		g_str_has_prefix(fixture.answer->str, c->expected_status));
	CU_ASSERT_EQUAL(fixture.requests->len, c->requests);
	if (c->expected_outcome)
		CU_ASSERT_PTR_NOT_NULL(
			strstr(fixture.answer->str, c->expected_outcome));
	if (!g_str_has_prefix(fixture.answer->str, c->expected_status) ||
	    (c->expected_outcome &&
	     !strstr(fixture.answer->str, c->expected_outcome)))
		printf("    %.60s...: %s\n", c->request, fixture.answer->str);
	support_relay_clear(&fixture);
}

/* Guards against callers told "not run" by an instance that can't know. */
static void forwarded_request_is_answered_truthfully(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(forward_cases); i++)
		case_play_(&forward_cases[i]);
}

/*
 * An answer to another instance says the version of the document only if that one
 * reads it, and no server gets the request for it.
 */
static void answer_says_its_version_if_it_is_wanted(void)
{
	static const struct {
		const char *request;
		gboolean has_version;
	} cases[] = {
		{ FORWARDED("entry2 1 0"), FALSE },
		{ "GET /safe/a HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n"
		  "Left: 2000\r\n"
		  "Connection: Currantbridge-Forwarded, Currantbridge-Version\r\n"
		  "Currantbridge-Forwarded: entry2 1 0\r\n"
		  "Currantbridge-Version: wanted\r\n\r\n",
		  TRUE },
	};
	static const relay_script_t script = { COMPLETE_ANSWER, END_KEEP };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;

		support_relay_init(&fixture, TRUE);
		fixture.scripts = &script;
		fixture.script_count = 1;
		support_relay_forwarded_send(&fixture, cases[i].request);
		CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
		CU_ASSERT_EQUAL(strstr(fixture.answer->str,
				       "\r\nCurrantbridge-Version: 1\r\n") !=
					NULL,
				cases[i].has_version);
		CU_ASSERT_EQUAL_FATAL(fixture.requests->len, 1);
		CU_ASSERT_PTR_NULL(
			strstr(fixture.requests->pdata[0], "Currantbridge"));
		support_relay_clear(&fixture);
	}
}

/* Guards against callers that reach what is meant for instances only. */
static void caller_can_not_forward(void)
{
	static const relay_script_t scripts[] = {
		{ COMPLETE_ANSWER, END_KEEP },
	};
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, FORWARDED("entry2 2 9"));
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 200 "));
	CU_ASSERT_PTR_NULL(strstr(fixture.answer->str, "Currantbridge"));
	support_relay_clear(&fixture);
}

typedef struct earlier_run_case {
	const char *request;
	gboolean has_way; /* the instance that takes the request */
} earlier_run_case_t;

/* The instance that forwards these has sent them to a server before. */
static const earlier_run_case_t earlier_run_cases[] = {
	{ FORWARDED("entry2 2 1"), TRUE },
	{ FORWARDED("entry2 1 1"), FALSE },
	/* The same without an earlier run. */
	{ FORWARDED("entry2 2 0"), TRUE },
	{ FORWARDED("entry2 1 0"), FALSE },
};

static gboolean earlier_run_case_play_(const earlier_run_case_t *c)
{
	relay_fixture_t fixture;
	gboolean is_as_expected;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	for (i = 0; !c->has_way && i < SERVER_COUNT; i++)
		cb_stream_unlisten(g_steal_pointer(&fixture.listeners[i]));
	support_relay_forwarded_send(&fixture, c->request);
	for (i = 0; i < 200 && !strstr(fixture.answer->str, "\r\n\r\n"); i++)
		support_relay_pass_time(&fixture, 10);
	is_as_expected = !fixture.requests->len &&
			 strstr(fixture.answer->str,
				"Currantbridge-Outcome: elsewhere\r\n") != NULL;
	if (!is_as_expected)
		printf("    has_way %d: %u requests: %s\n", c->has_way,
		       fixture.requests->len, fixture.answer->str);
	support_relay_clear(&fixture);
	return is_as_expected;
}

/* Guards against a begun stream that is cut by an instance that can't run it. */
static void instance_that_runs_nothing_says_so_of_a_repeat(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(earlier_run_cases); i++)
		CU_ASSERT_TRUE(earlier_run_case_play_(&earlier_run_cases[i]));
}

/* What the other instances answer, one text after the other. */
typedef struct peers {
	cb_poller_t *poller;
	cb_stream_listener_t *listener;
	GPtrArray *streams; /* elements: cb_stream_t */
	const char *const *answers;
	unsigned int answer_count;
	unsigned int taken_count;
} peers_t;

/* A connection to the other instances. */
typedef struct peer_connection {
	peers_t *peers;
	cb_stream_t *stream;
} peer_connection_t;

static void peer_received_(void *user_data, const uint8_t *data, size_t size)
{
	peer_connection_t *connection = user_data;
	peers_t *peers = connection->peers;
	const char *answer;

	(void)data;
	(void)size;
	if (peers->taken_count >= peers->answer_count)
		return;
	answer = peers->answers[peers->taken_count++];
	cb_stream_send(connection->stream, answer, strlen(answer));
}

static void peer_ended_(void *user_data, cb_stream_end_t end)
{
	(void)user_data;
	(void)end;
}

static const cb_stream_handler_t peer_handler = {
	.received = peer_received_,
	.ended = peer_ended_,
};

static void peer_connection_free_(void *data)
{
	peer_connection_t *connection = data;

	cb_stream_delete(connection->stream);
	g_free(connection);
}

static void peer_accept_(int fd, void *user_data)
{
	peers_t *peers = user_data;
	peer_connection_t *connection = g_new0(peer_connection_t, 1);

	connection->peers = peers;
	connection->stream =
		cb_stream_new(peers->poller, fd, &peer_handler, connection);
	g_ptr_array_add(peers->streams, connection);
}

#define PEER_REFUSAL(status, outcome)                                     \
	"HTTP/1.1 " status " X\r\nCurrantbridge-Outcome: " outcome "\r\n" \
	"Content-Length: 0\r\n\r\n"
#define PEER_REST                                                           \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\n"                           \
	"Currantbridge-Outcome: answered\r\nTransfer-Encoding: chunked\r\n" \
	"\r\n" LAST_EVENT

typedef struct unserved_case {
	const char *description;
	const char *answers[2];
} unserved_case_t;

static const unserved_case_t unserved_cases[] = {
	{ "has no way", { PEER_REFUSAL("503", "elsewhere"), PEER_REST } },
	{ "has no room", { PEER_REFUSAL("503", "not_run"), PEER_REST } },
};

/* Starts the other instances and a fixture that may forward to them. */
static void peers_start_(peers_t *peers, relay_fixture_t *fixture)
{
	peers->poller = cb_poller_new(NULL);
	peers->streams = g_ptr_array_new_with_free_func(peer_connection_free_);
	peers->listener = cb_stream_listen(peers->poller, "127.0.0.1:0",
					   peer_accept_, peers, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(peers->listener);
	support_relay_init_with_peers(fixture, 2,
				      cb_stream_listener_port(peers->listener));
}

/* Stops both. */
static void peers_stop_(peers_t *peers, relay_fixture_t *fixture)
{
	support_relay_clear(fixture);
	cb_stream_unlisten(peers->listener);
	g_ptr_array_unref(peers->streams);
	cb_poller_delete(peers->poller);
}

/*
 * Begins a stream whose server ends and breaks off within an event; the stream is
 * forwarded then.  Runs until its second event or its end.
 */
static void begun_stream_forward_(relay_fixture_t *fixture)
{
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	unsigned int i;

	fixture->scripts = scripts;
	fixture->script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(fixture, REQUEST("POST", "/stream/",
						    "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(support_relay_run_until(fixture, 0, EVENT_1));
	for (i = 0; i < SERVER_COUNT; i++)
		cb_stream_unlisten(g_steal_pointer(&fixture->listeners[i]));
	support_relay_answer_continue(fixture, 0, "4\r\nid: \r\n0\r\n\r\n");
	for (i = 0; i < 150 && !fixture->caller_ended &&
		    !strstr(fixture->answer->str, EVENT_2);
	     i++)
		support_relay_pass_time(fixture, 10);
}

static gboolean unserved_case_play_(const unserved_case_t *c)
{
	peers_t peers = { .answers = c->answers,
			  .answer_count = G_N_ELEMENTS(c->answers) };
	relay_fixture_t fixture;
	gboolean is_whole;

	peers_start_(&peers, &fixture);
	begun_stream_forward_(&fixture);
	is_whole = strstr(fixture.answer->str, EVENT_1) &&
		   strstr(fixture.answer->str, EVENT_2);
	if (!is_whole)
		printf("    %s: %u taken, ended %d: %s\n", c->description,
		       peers.taken_count, fixture.caller_ended,
		       fixture.answer->str);
	peers_stop_(&peers, &fixture);
	return is_whole;
}

/* Guards against a begun stream that is cut by an instance that did not run it. */
static void begun_stream_goes_on_after_an_instance_that_does_not_run_it(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unserved_cases); i++)
		CU_ASSERT_TRUE(unserved_case_play_(&unserved_cases[i]));
}

#define PEER_ANSWER_OF(version)                                              \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\n"                            \
	"Currantbridge-Outcome: answered\r\nCurrantbridge-Version: " version \
	"\r\nTransfer-Encoding: chunked\r\n\r\n" LAST_EVENT

/*
 * An instance forwarded requests by turns to instances with a newer and an older
 * document.  Once one was handled by a newer document than its own, it handles none
 * until it has that one.
 */
static void no_request_is_handled_by_an_older_document(void)
{
	static const struct {
		const char *answer;
		gboolean is_outdated;
	} cases[] = {
		{ PEER_ANSWER_OF("2"), TRUE },	{ PEER_ANSWER_OF("1"), FALSE },
		{ PEER_ANSWER_OF("0"), FALSE }, { PEER_ANSWER_OF("x"), FALSE },
		{ PEER_REST, FALSE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const answers[] = { cases[i].answer };
		peers_t peers = { .answers = answers, .answer_count = 1 };
		relay_fixture_t fixture;

		peers_start_(&peers, &fixture);
		begun_stream_forward_(&fixture);
		CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, EVENT_2));
		CU_ASSERT_PTR_NULL(
			strstr(fixture.answer->str, "Currantbridge"));
		CU_ASSERT_EQUAL(!cb_front_has_current_document(fixture.front),
				cases[i].is_outdated);
		support_relay_request_send(&fixture, ONCE_REQUEST);
		support_relay_pass_time(&fixture, 1500);
		CU_ASSERT_EQUAL(strstr(fixture.answer->str,
				       "\"reason\":\"not_configured\"") != NULL,
				cases[i].is_outdated);
		peers_stop_(&peers, &fixture);
	}
}

/* Guards against a begun stream that is cut sooner than it waits for a server. */
static void begun_stream_waits_for_a_retry_to_be_forwarded(void)
{
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	relay_fixture_t fixture;
	unsigned int i;

	support_relay_init_with_peers(&fixture, 2, 1);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(
		&fixture,
		"POST /stream/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n"
		"Left: 4000\r\nContent-Length: 0\r\n\r\n");
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, EVENT_1));
	for (i = 0; i < SERVER_COUNT; i++)
		cb_stream_unlisten(g_steal_pointer(&fixture.listeners[i]));
	while (cb_retry_share_take_retry(fixture.front->retries, "s"))
		;
	support_relay_answer_continue(&fixture, 0, "4\r\nid: \r\n0\r\n\r\n");
	support_relay_pass_time(&fixture, 800);
	CU_ASSERT_FALSE(fixture.caller_ended);
	support_relay_clear(&fixture);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{ "forwarded_request_is_answered_truthfully",
		  forwarded_request_is_answered_truthfully },
		{ "caller_can_not_forward", caller_can_not_forward },
		{ "instance_that_runs_nothing_says_so_of_a_repeat",
		  instance_that_runs_nothing_says_so_of_a_repeat },
		{ "begun_stream_goes_on_after_an_instance_that_does_not_run_it",
		  begun_stream_goes_on_after_an_instance_that_does_not_run_it },
		{ "answer_says_its_version_if_it_is_wanted",
		  answer_says_its_version_if_it_is_wanted },
		{ "no_request_is_handled_by_an_older_document",
		  no_request_is_handled_by_an_older_document },
		{ "begun_stream_waits_for_a_retry_to_be_forwarded",
		  begun_stream_waits_for_a_retry_to_be_forwarded },
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = { { .pName = "relay_forward", .pTests = tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
