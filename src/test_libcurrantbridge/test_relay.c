#include "support_main.h"

#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "support_relay.h"

/*
 * Tests the outcomes of relayed requests, and what the relay learns of servers.
 */
typedef struct outcome_case {
	const char *description; /* printed if the case fails */
	const char *request;	 /* the caller's request */
	relay_script_t scripts[3];
	unsigned int expected_sends; /* number of attempts at servers */
	/* Expected start of the answer to the caller. */
	const char *expected_status;
	/* Text expected in the answer to the caller. */
	const char *expected_text;
} outcome_case_t;

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
		relay_fixture_t fixture;
		gboolean is_as_expected;

		support_relay_init(&fixture, TRUE);
		fixture.scripts = c->scripts;
		fixture.script_count = G_N_ELEMENTS(c->scripts);
		support_relay_request_send(&fixture, c->request);
		is_as_expected = support_relay_run_until(&fixture, 0,
							 c->expected_text) &&
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
		support_relay_clear(&fixture);
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

/* Answers that end before their head does. */
static const char *const broken_heads[] = {
	"HTT",
	"HTTP/1.1 2",
	"HTTP/1.1 200 O",
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\n",
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Len",
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 1",
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 12\r\n",
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 12\r\n\r",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\n",
};

/*
 * A head that breaks off must not reach a caller as an answer with an empty or
 * short body: the request may have run, and is repeated where that is allowed.
 */
static void answer_broken_off_in_its_head_is_no_success(void)
{
	static const relay_script_end_t ends[] = { END_CLOSE, END_RESET };
	size_t i;
	size_t k;

	for (i = 0; i < G_N_ELEMENTS(broken_heads); i++) {
		for (k = 0; k < G_N_ELEMENTS(ends); k++) {
			const relay_script_t broken = { broken_heads[i],
							ends[k] };
			const outcome_case_t cases[] = {
				{ broken_heads[i],
				  ONCE_REQUEST,
				  { broken, { COMPLETE_ANSWER, END_KEEP } },
				  1,
				  "HTTP/1.1 502 ",
				  "\"executed\":\"unknown\"" },
				{ broken_heads[i],
				  IDEMPOTENT_REQUEST,
				  { broken, { COMPLETE_ANSWER, END_KEEP } },
				  2,
				  "HTTP/1.1 200 ",
				  "Content-Length: 2\r\n\r\nok" },
				{ broken_heads[i],
				  IDEMPOTENT_REQUEST,
				  { broken, broken },
				  2,
				  "HTTP/1.1 502 ",
				  "\"executed\":\"unknown\"" },
			};

			outcome_cases_play_(cases, G_N_ELEMENTS(cases));
		}
	}
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
	static const relay_script_t scripts[] = { { COMPLETE_ANSWER,
						    END_KEEP } };
	relay_fixture_t fixture;
	const char *forwarded;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	support_relay_request_send(
		&fixture, REQUEST("POST", "/once/%7Ea//b?x=%2F;y",
				  "Transfer-Encoding: "
				  "chunked\r\n") "3\r\nabc\r\n0\r\n\r\n");
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
	forwarded = fixture.requests->pdata[0];
	CU_ASSERT_TRUE(g_str_has_prefix(forwarded,
					"POST /once/%7Ea//b?x=%2F;y HTTP/1.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(forwarded, "\r\nWorkspace: w\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(forwarded, "\r\n\r\nabc"));
	CU_ASSERT_PTR_NULL(strstr(forwarded, "Key"));
	support_relay_clear(&fixture);
}

/*
 * A rejection that names no request may be about an earlier one on the same
 * connection, or about the connection: the request may still run, and must
 * neither be sent to another server nor be said not to have run.
 */
static void rejection_without_id_on_used_connection_is_unknown(void)
{
	static const relay_script_t scripts[] = {
		{ COMPLETE_ANSWER, END_KEEP },
		{ "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  END_KEEP },
		{ COMPLETE_ANSWER, END_KEEP },
	};
	relay_fixture_t fixture;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	for (i = 1; i < SERVER_COUNT; i++)
		cb_stream_unlisten(g_steal_pointer(&fixture.listeners[i]));
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
	support_relay_request_send(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0,
					       "\"executed\":\"unknown\""));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 502 "));
	CU_ASSERT_FALSE(fixture.is_request_first);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	support_relay_clear(&fixture);
}

#define FULL_ANSWER \
	"HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

/*
 * A server may write a rejection once more, late.  On the connection of a first
 * send the copy would be taken for the answer to the second, which then runs
 * though its caller is told otherwise, or runs at another server too.
 */
static void resent_request_uses_another_connection(void)
{
	static const relay_script_t scripts[] = {
		{ FULL_ANSWER, END_KEEP },     { FULL_ANSWER, END_KEEP },
		{ FULL_ANSWER, END_KEEP },     { FULL_ANSWER, END_KEEP },
		{ COMPLETE_ANSWER, END_KEEP },
	};
	static const struct {
		const char *request;
		unsigned int servers; /* the others don't listen */
	} cases[] = { { ONCE_REQUEST, 3 },
		      { ONCE_REQUEST, 1 },
		      { IDEMPOTENT_REQUEST, 3 },
		      { IDEMPOTENT_REQUEST, 1 } };
	size_t c;
	unsigned int i;
	unsigned int k;

	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		unsigned int same = 0;
		relay_fixture_t fixture;

		support_relay_init(&fixture, TRUE);
		for (i = cases[c].servers; i < SERVER_COUNT; i++)
			cb_stream_unlisten(
				g_steal_pointer(&fixture.listeners[i]));
		fixture.scripts = scripts;
		fixture.script_count = G_N_ELEMENTS(scripts);
		support_relay_request_send(&fixture, cases[c].request);
		support_relay_pass_time(&fixture, 1500);
		CU_ASSERT_TRUE(fixture.requests->len >= cases[c].servers);
		for (i = 0; i < fixture.request_connections->len; i++)
			for (k = 0; k < i; k++)
				same += fixture.request_connections->pdata[i] ==
					fixture.request_connections->pdata[k];
		CU_ASSERT_EQUAL(same, 0);
		if (same)
			printf("    case %zu: %u sends, %u on a connection of "
			       "an earlier one\n",
			       c, fixture.requests->len, same);
		support_relay_clear(&fixture);
	}
}

/*
 * While new connections fail, a request for which the pool has only connections
 * that have carried it must count as one without any.
 */
static void used_connections_count_as_none_in_pool(void)
{
	static const relay_script_t script = { COMPLETE_ANSWER, END_KEEP };
	/* Connections have consecutive IDs from 1 on. */
	static const uint64_t ids[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
	GArray *used = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	relay_fixture_t fixture;
	char *address;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = &script;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
	address = support_relay_server_address(
		&fixture, g_array_index(fixture.server_indexes, int, 0));
	CU_ASSERT_TRUE(cb_http1_client_has_idle(fixture.client, address,
						INT64_MAX, NULL));
	CU_ASSERT_TRUE(cb_http1_client_has_idle(fixture.client, address,
						INT64_MAX, used));
	g_array_append_vals(used, ids, G_N_ELEMENTS(ids));
	CU_ASSERT_FALSE(cb_http1_client_has_idle(fixture.client, address,
						 INT64_MAX, used));
	g_free(address);
	g_array_unref(used);
	support_relay_clear(&fixture);
}

/*
 * An attempt in flight at the deadline may have run: the answer must not state
 * that it did not, and the attempt must be cancelled at the server.
 */
static void deadline_during_attempt_is_unknown_outcome(void)
{
	static const relay_script_t scripts[] = { { "", END_HOLD } };
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, ONCE_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 1, NULL));
	cb_clock_advance(fixture.world->clock, 1999);
	CU_ASSERT_EQUAL(fixture.answer->len, 0);
	cb_clock_advance(fixture.world->clock, 1);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0,
					       "\"executed\":\"unknown\""));
	CU_ASSERT_TRUE(g_str_has_prefix(fixture.answer->str, "HTTP/1.1 504 "));
	CU_ASSERT_EQUAL(fixture.ended_connection_count, 1);
	support_relay_clear(&fixture);
}

/* Guards against servers that continue work for a disconnected caller. */
static void disconnected_caller_cancels_at_server(void)
{
	static const relay_script_t scripts[] = { { "", END_HOLD } };
	relay_fixture_t fixture;
	int iteration;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 1, NULL));
	cb_stream_delete(g_steal_pointer(&fixture.caller));
	for (iteration = 0;
	     iteration < LOOP_ITERATIONS_MAX && !fixture.ended_connection_count;
	     iteration++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(LOOP_SLEEP_US);
	}
	CU_ASSERT_EQUAL(fixture.ended_connection_count, 1);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	support_relay_clear(&fixture);
}
#define SCRIPTS_MAX 256
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
static int request_serve_(relay_fixture_t *fixture)
{
	support_relay_request_send(fixture, IDEMPOTENT_REQUEST);
	if (!support_relay_run_until(fixture, 0, "ok") ||
	    !fixture->server_indexes->len)
		return -1;
	return (int)g_array_index(fixture->server_indexes, unsigned int,
				  fixture->server_indexes->len - 1);
}

/* Returns whether one of the next LATER_REQUESTS requests reaches a server. */
static gboolean requests_reach_server_(relay_fixture_t *fixture, int server)
{
	gboolean is_reached = FALSE;
	int i;

	for (i = 0; i < LATER_REQUESTS && !is_reached; i++)
		is_reached = request_serve_(fixture) == server;
	return is_reached;
}

/* Returns how many retries the instance has reported to control. */
static uint32_t retries_count_(const relay_fixture_t *fixture)
{
	cb_usage_t *usage = cb_usage_new();
	uint32_t retries;

	cb_retry_share_add_usage(fixture->front->retries, usage);
	retries = cb_usage_find_sends(usage, "s").retries;
	cb_usage_delete(usage);
	return retries;
}

/* Returns how many attempts found no connection. */
static int64_t unsent_attempts_count_(const relay_fixture_t *fixture)
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
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (relay_script_t){ COMPLETE_ANSWER, END_KEEP };
	support_relay_init(&fixture, TRUE);
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
	support_relay_clear(&fixture);
}

/*
 * A server that announces its stop in an answer must get no new requests, also
 * after another heartbeat as ready, but those of its next process.
 */
static void leaving_server_gets_no_requests(void)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	int server;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] =
			(relay_script_t){ i ? COMPLETE_ANSWER : LEAVING_ANSWER,
					  END_KEEP };
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	server = request_serve_(&fixture);
	CU_ASSERT_TRUE_FATAL(server >= 0);
	support_relay_server_announce(&fixture, (unsigned int)server, 1, 2);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, server));
	support_relay_server_announce(&fixture, (unsigned int)server, 2, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_TRUE(requests_reach_server_(&fixture, server));
	support_relay_clear(&fixture);
}

/*
 * A server that turns this instance away for a time must get no request until
 * then; the request that it turned away is served by another server.
 */
static void server_that_turns_away_is_left_alone(void)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	unsigned int server;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] =
			(relay_script_t){ i ? COMPLETE_ANSWER : AWAY_ANSWER,
					  END_KEEP };
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	CU_ASSERT_TRUE(request_serve_(&fixture) >= 0);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	server = g_array_index(fixture.server_indexes, unsigned int, 0);
	world_run_until(fixture.world, NULL, AWAY_MS - 100);
	CU_ASSERT_FALSE(requests_reach_server_(&fixture, (int)server));
	world_run_until(fixture.world, NULL, 200);
	CU_ASSERT_TRUE(requests_reach_server_(&fixture, (int)server));
	support_relay_clear(&fixture);
}

/*
 * Where every server turns this instance away for longer than a request may
 * wait, the caller is told at once, with the time after which one takes it.
 */
static void requests_are_refused_while_all_servers_turn_away(void)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (relay_script_t){ AWAY_ANSWER, END_KEEP };
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	for (i = 0; i < 2; i++) {
		support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
		CU_ASSERT_TRUE(
			support_relay_run_until(&fixture, 0, "turned_away"));
		CU_ASSERT_TRUE(
			g_str_has_prefix(fixture.answer->str, "HTTP/1.1 503 "));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(fixture.answer->str, "Retry-After: "));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(fixture.answer->str, "\"executed\":\"no\""));
		CU_ASSERT_EQUAL(fixture.requests->len, SERVER_COUNT);
	}
	support_relay_clear(&fixture);
}

#define LIMITED_ANSWER                                                          \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nLimit: 0.2\r\nContent-Length: " \
	"2\r\n\r\nok"

/* A request may wait for so long for a place that is about to be free. */
#define SHORT_WAIT_MAX_MS 300
#define SHORT_WAIT_STEP_MS 10

/*
 * Guards against requests that wait for a place which they can't get: where all
 * servers limit their rates, the caller is told at once when to come back.
 */
static void requests_are_refused_while_all_servers_are_limited(void)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	gboolean is_refused = FALSE;
	int64_t waited_ms;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (relay_script_t){ LIMITED_ANSWER, END_KEEP };
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = SCRIPTS_MAX;
	for (i = 0; i < SCRIPTS_MAX && !is_refused; i++) {
		support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
		for (waited_ms = 0; waited_ms < SHORT_WAIT_MAX_MS &&
				    !strstr(fixture.answer->str, "HTTP/1.1 ");
		     waited_ms += SHORT_WAIT_STEP_MS)
			support_relay_pass_time(&fixture, SHORT_WAIT_STEP_MS);
		CU_ASSERT_TRUE_FATAL(
			support_relay_run_until(&fixture, 0, "HTTP/1.1 "));
		is_refused = strstr(fixture.answer->str, " 503 ") != NULL;
	}
	CU_ASSERT_TRUE(is_refused);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "\"limited\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, "Retry-After: "));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.answer->str, "\"executed\":\"no\""));
	support_relay_clear(&fixture);
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
	relay_script_t scripts[2];
	relay_fixture_t fixture;
	int iteration;
	char *first = large_answer_make_('a', LARGE_BODY_SENT_BYTES);
	char *second = large_answer_make_('b', LARGE_BODY_BYTES);

	scripts[0] = (relay_script_t){ first, END_CLOSE };
	scripts[1] = (relay_script_t){ second, END_KEEP };
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
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
	support_relay_clear(&fixture);
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
	relay_fixture_t fixture;
	int i;

	support_relay_init(&fixture, TRUE);
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
	support_relay_clear(&fixture);
}

/*
 * Requests before the first document must wait for it, but only for a part of
 * their time (here 500 ms), so that the caller can retry in time.
 */
static void requests_wait_briefly_for_document(void)
{
	static const relay_script_t scripts[] = { { COMPLETE_ANSWER,
						    END_KEEP } };
	static const struct {
		/* Whether a document arrives while the request waits. */
		gboolean document_arrives;
		/* Text expected in the answer to the caller. */
		const char *expected_text;
	} cases[] = { { TRUE, "ok" }, { FALSE, "not_configured" } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;

		support_relay_init(&fixture, FALSE);
		fixture.scripts = scripts;
		fixture.script_count = 1;
		CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
		support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
		CU_ASSERT_FALSE(support_relay_run_until(&fixture, 0, "HTTP"));
		if (cases[i].document_arrives)
			cb_node_put_document(fixture.world->nodes[0].node, 1,
					     "d", 1,
					     support_relay_accepted_check,
					     NULL);
		world_run_until(fixture.world, NULL, 490);
		world_run_until(fixture.world, NULL, 20);
		CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0,
						       cases[i].expected_text));
		if (!cases[i].document_arrives)
			CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str,
						      "Retry-After: 1.000"));
		support_relay_clear(&fixture);
	}
}

/* A request for the path that leaves `ms` for its answer. */
#define LIMITED_REQUEST(path, ms)                                           \
	"POST " path " HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: " ms \
	"\r\nContent-Length: 0\r\n\r\n"

typedef struct drain_case {
	const char *description; /* printed if the case fails */
	int64_t grace_ms;	 /* time allowed for the drain */
	int64_t arrival_ms;	 /* after its start */
	const char *request;
	gboolean is_started;
} drain_case_t;

static const drain_case_t drain_cases[] = {
	{ "a stream at first", 8000, 2400, LIMITED_REQUEST("/stream/", "2000"),
	  TRUE },
	{ "a late stream", 8000, 2600, LIMITED_REQUEST("/stream/", "2000"),
	  FALSE },
	{ "a request with time left", 8000, 3000,
	  LIMITED_REQUEST("/once/a", "2000"), TRUE },
	{ "one that ends just in time", 8000, 5900,
	  LIMITED_REQUEST("/once/a", "2000"), TRUE },
	{ "one that may end too late", 8000, 6100,
	  LIMITED_REQUEST("/once/a", "2000"), FALSE },
	{ "one with little time", 8000, 5950, LIMITED_REQUEST("/once/a", "900"),
	  TRUE },
	{ "one limited by its route", 8000, 4100,
	  LIMITED_REQUEST("/once/a", "20000"), FALSE },
	{ "the same just in time", 8000, 3900,
	  LIMITED_REQUEST("/once/a", "20000"), TRUE },
	{ "one that may be repeated", 8000, 6100,
	  LIMITED_REQUEST("/safe/a", "2000"), FALSE },
	{ "a stream of a short drain", 2700, 650,
	  LIMITED_REQUEST("/stream/", "2000"), TRUE },
	{ "one that may end too late", 2700, 800,
	  LIMITED_REQUEST("/stream/", "2000"), FALSE },
	{ "a late stream of a short drain", 2700, 1000,
	  LIMITED_REQUEST("/stream/", "2000"), FALSE },
	{ "a request of a short drain", 2700, 1000,
	  LIMITED_REQUEST("/once/a", "1500"), TRUE },
	{ "a late one of a short drain", 2700, 1000,
	  LIMITED_REQUEST("/once/a", "1800"), FALSE },
};

/*
 * Requests that arrive late in a planned stop were sent to servers and cut off at
 * its end: they must be refused as not run.
 */
static void drain_starts_only_what_ends_in_time(void)
{
	static const relay_script_t scripts[] = {
		{ COMPLETE_ANSWER, END_KEEP },
		{ FIRST_EVENT LAST_EVENT, END_KEEP },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(drain_cases); i++) {
		const drain_case_t *c = &drain_cases[i];
		relay_fixture_t fixture;
		cb_service_t *service;
		gboolean is_as_expected;

		support_relay_init(&fixture, TRUE);
		fixture.scripts =
			&scripts[strstr(c->request, "/stream/") != NULL];
		fixture.script_count = 1;
		fixture.front->grace_ms = c->grace_ms;
		service = (cb_service_t *)fixture.front;
		CU_ASSERT_TRUE(cb_front_is_ready(fixture.front));
		service->vtable->drain(service);
		CU_ASSERT_FALSE(cb_front_is_ready(fixture.front));
		world_run_until(fixture.world, NULL, c->arrival_ms);
		support_relay_request_send(&fixture, c->request);
		is_as_expected =
			support_relay_run_until(&fixture, 0,
						c->is_started ? "200 OK" :
								"stopping");
		is_as_expected &= (fixture.requests->len > 0) == c->is_started;
		is_as_expected &= strstr(fixture.answer->str,
					 "Connection: close\r\n") != NULL;
		if (!c->is_started)
			is_as_expected &=
				strstr(fixture.answer->str, "HTTP/1.1 503 ") &&
				strstr(fixture.answer->str,
				       "Retry-After: 0.100\r\n");
		CU_ASSERT_TRUE(is_as_expected);
		if (!is_as_expected)
			printf("    %s: %s\n", c->description,
			       fixture.answer->str);
		support_relay_clear(&fixture);
	}
}

/*
 * Makes requests for the engines, of which there are none, wait for one during a
 * drain; a stream would be refused at once.
 */
static void engine_route_make_idempotent_(relay_fixture_t *fixture)
{
	((cb_route_t *)cb_document_route(cb_front_document(fixture->front), "h",
					 "/engine/"))
		->kind = CB_ROUTE_IDEMPOTENT;
}

/*
 * A request that waits for a server while it becomes too late to start it must be
 * refused as not run, not sent when a server appears.
 */
static void waiting_request_is_not_started_late_in_drain(void)
{
	relay_fixture_t fixture;
	cb_service_t *service;

	support_relay_init(&fixture, TRUE);
	engine_route_make_idempotent_(&fixture);
	cb_route_times_add(fixture.front->route_times, "/engine/", 1350);
	fixture.front->grace_ms = 4000;
	service = (cb_service_t *)fixture.front;
	service->vtable->drain(service);
	world_run_until(fixture.world, NULL, 1200);
	support_relay_request_send(&fixture,
				   LIMITED_REQUEST("/engine/", "4000"));
	CU_ASSERT_FALSE(support_relay_run_until(&fixture, 0, "HTTP/1.1"));
	support_relay_pass_time(&fixture, 150);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "stopping"));
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, "HTTP/1.1 503 "));
	support_relay_clear(&fixture);
}

/* Returns whether an answer to callers in a data centre names an address. */
static gboolean address_is_named_(const cb_front_t *front,
				  const char *data_centre, const char *address)
{
	GPtrArray *addresses = cb_front_addresses(front, data_centre);
	gboolean is_named = g_ptr_array_find_with_equal_func(addresses, address,
							     g_str_equal, NULL);

	g_ptr_array_unref(addresses);
	return is_named;
}

/*
 * A ready instance whose own record had not reached it yet named no address to
 * callers, or not its own.
 */
static void ready_instance_names_its_own_address(void)
{
	relay_fixture_t fixture;
	const cb_instance_t *other;
	cb_service_t *service;

	support_relay_init(&fixture, TRUE);
	service = (cb_service_t *)fixture.front;
	/* The only instance in the view has another address than this one. */
	other = cb_view_instances(fixture.front->view)->pdata[0];
	CU_ASSERT_STRING_NOT_EQUAL(other->address, fixture.front->listen);
	CU_ASSERT_TRUE(address_is_named_(fixture.front, NULL, other->address));
	CU_ASSERT_TRUE(
		address_is_named_(fixture.front, NULL, fixture.front->listen));
	CU_ASSERT_TRUE(
		address_is_named_(fixture.front, "dc1", fixture.front->listen));
	service->vtable->drain(service);
	CU_ASSERT_FALSE(
		address_is_named_(fixture.front, NULL, fixture.front->listen));
	support_relay_clear(&fixture);
}

typedef struct stop_case {
	const char *description; /* printed if the case fails */
	const char *request;
	relay_script_t script;
	const char *expected_text;
} stop_case_t;

/* Requests that are under way at the end of the time for a stop. */
static const stop_case_t stop_cases[] = {
	{ "a call without an answer",
	  ONCE_REQUEST,
	  { "", END_HOLD },
	  "HTTP/1.1 502 " },
	{ "a call with a part of its answer",
	  IDEMPOTENT_REQUEST,
	  { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\npart",
	    END_HOLD },
	  "HTTP/1.1 502 " },
	{ "a call that waits for a server",
	  REQUEST("GET", "/engine/", ""),
	  { NULL, END_KEEP },
	  "HTTP/1.1 503 " },
};

/* A call that is open until the end. */
#define LONG_REQUEST                                                            \
	"POST /once/b HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 4000\r\n" \
	"Content-Length: 0\r\n\r\n"
/* When that one and the case's one arrive, and the time until the end. */
#define OPEN_ARRIVAL_MS 50
#define LATE_ARRIVAL_MS 100
#define STOP_MS 500
/*
 * Ends while requests are under way that were still started, since those before
 * them took USUAL_MS.
 */
#define SHORT_GRACE_MS 600
#define USUAL_MS 50

/*
 * Stops the instance while a case's request is under way, and sends one more
 * request after the end.  Returns whether all of them were answered.
 */
static gboolean stop_case_run_(const stop_case_t *c)
{
	static const char *const routes[] = { "/once/", "/safe/", "/engine/" };
	const relay_script_t scripts[] = { { "", END_HOLD }, c->script };
	unsigned int sends = c->script.text ? 2 : 1;
	relay_fixture_t fixture;
	cb_service_t *service;
	gboolean is_answered;
	size_t i;

	support_relay_init(&fixture, TRUE);
	engine_route_make_idempotent_(&fixture);
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		cb_route_times_add(fixture.front->route_times, routes[i],
				   USUAL_MS);
	fixture.scripts = scripts;
	fixture.script_count = sends;
	fixture.front->grace_ms = SHORT_GRACE_MS;
	service = (cb_service_t *)fixture.front;
	service->vtable->drain(service);
	world_run_until(fixture.world, NULL, OPEN_ARRIVAL_MS);
	support_relay_request_send(&fixture, LONG_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 1, NULL));
	g_ptr_array_add(fixture.other_callers,
			g_steal_pointer(&fixture.caller));
	world_run_until(fixture.world, NULL, LATE_ARRIVAL_MS);
	support_relay_request_send(&fixture, c->request);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, sends, NULL));
	support_relay_pass_time(&fixture, STOP_MS);
	is_answered = support_relay_run_until(&fixture, 0, c->expected_text);
	support_relay_request_send(&fixture, ONCE_REQUEST);
	is_answered &= support_relay_run_until(&fixture, 0, "HTTP/1.1 503 ");
	is_answered &= fixture.requests->len == sends;
	support_relay_clear(&fixture);
	return is_answered;
}

/* A stop must not end a request that was read without an answer to it. */
static void stop_leaves_no_request_without_answer(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(stop_cases); i++) {
		gboolean is_answered = stop_case_run_(&stop_cases[i]);

		CU_ASSERT_TRUE(is_answered);
		if (!is_answered)
			printf("    %s\n", stop_cases[i].description);
	}
}

/* Requests of which many fit into the input that waits behind another. */
#define SMALL_REQUEST "GET / HTTP/1.1\r\nHost:h\r\n\r\n"
#define PIPELINED_REQUESTS 10000

/*
 * Requests that wait behind one that takes long must be refused one after the
 * other, without a nested call for each of them.
 */
static void pipelined_requests_do_not_exhaust_stack(void)
{
	static const relay_script_t script = { "", END_HOLD };
	GString *text = g_string_new(ONCE_REQUEST);
	relay_fixture_t fixture;
	const char *next;
	unsigned int count = 0;
	int i;

	for (i = 0; i < PIPELINED_REQUESTS; i++)
		g_string_append(text, SMALL_REQUEST);
	support_relay_init(&fixture, TRUE);
	fixture.scripts = &script;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, text->str);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 1, NULL));
	support_relay_pass_time(&fixture, 100);
	support_relay_answer_continue(&fixture, 0, COMPLETE_ANSWER);
	for (i = 0; i < PIPELINED_REQUESTS / 100 && count < PIPELINED_REQUESTS;
	     i++) {
		support_relay_pass_time(&fixture, 10);
		count = 0;
		next = fixture.answer->str;
		while ((next = strstr(next, "HTTP/1.1 404 "))) {
			count++;
			next++;
		}
	}
	CU_ASSERT_EQUAL(count, PIPELINED_REQUESTS);
	support_relay_clear(&fixture);
	g_string_free(text, TRUE);
}

/* Leaves this process `count` descriptors that are free; returns the limit before. */
static struct rlimit descriptors_limit_(unsigned int count)
{
	int lowest_free = dup(STDIN_FILENO);
	struct rlimit before;
	struct rlimit limit;

	CU_ASSERT_TRUE_FATAL(lowest_free >= 0);
	close(lowest_free);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &before), 0);
	limit = before;
	limit.rlim_cur = (rlim_t)lowest_free + count;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	return before;
}

/*
 * Guards against sound servers taken for ended, and their streams cut, since this
 * process has no descriptor for a connection to them.
 */
static void lack_of_descriptors_is_held_against_no_server(void)
{
	static const relay_script_t scripts[] = {
		{ COMPLETE_ANSWER, END_KEEP },
	};
	relay_fixture_t fixture;
	struct rlimit before;
	cb_book_count_t servers;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
	/* The accepted connection of the caller takes the only one. */
	before = descriptors_limit_(1);
	support_relay_pass_time(&fixture, 100);
	CU_ASSERT_EQUAL(fixture.requests->len, 0);
	CU_ASSERT_FALSE(cb_reach_has_doubts(fixture.front->reach));
	servers = cb_server_book_count(
		fixture.front->book,
		cb_document_service(cb_front_document(fixture.front), "s"));
	CU_ASSERT_EQUAL(servers.ready, SERVER_COUNT);
	CU_ASSERT_EQUAL(servers.distrusted, 0);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &before), 0);
	support_relay_pass_time(&fixture, 100);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, "HTTP/1.1 200 "));
	support_relay_clear(&fixture);
}

/*
 * A control instance of an earlier build sends entry instances the records of other
 * programs, whose service no document has.  They take neither the address nor the ID
 * of a server.
 */
static void records_of_unconfigured_services_take_no_server(void)
{
	static const relay_script_t script = { COMPLETE_ANSWER, END_KEEP };
	static const gboolean has_server_id[] = { FALSE, TRUE };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(has_server_id); i++) {
		cb_fleet_t *sender = cb_fleet_new();
		relay_fixture_t fixture;
		unsigned int server;
		GBytes *records;

		support_relay_init(&fixture, TRUE);
		for (server = 0; server < SERVER_COUNT; server++) {
			char *id =
				g_strdup_printf(has_server_id[i] ? "server%u" :
								   "agent%u",
						server);
			char *address =
				support_relay_server_address(&fixture, server);
			const cb_fleet_server_t foreign = {
				.id = id,
				.service = (char *)"other",
				.address = address,
				.data_centre = (char *)"dc1",
				.start_wall_ms = 1000000,
				.sequence = 1000,
				.slots = 1,
			};

			cb_fleet_update(sender, &foreign, 0);
			g_free(address);
			g_free(id);
		}
		records = cb_fleet_encode(sender, CB_FLEET_ALL, 0);
		CU_ASSERT_TRUE(
			cb_fleet_merge(fixture.front->fleet, records,
				       cb_clock_now_ms(fixture.world->clock)));
		fixture.scripts = &script;
		fixture.script_count = 1;
		support_relay_request_send(&fixture, ONCE_REQUEST);
		CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "ok"));
		g_bytes_unref(records);
		cb_fleet_delete(sender);
		support_relay_clear(&fixture);
	}
}

static CU_TestInfo relay_tests[] = {
	{ "answers_report_what_servers_did", answers_report_what_servers_did },
	{ "answer_broken_off_in_its_head_is_no_success",
	  answer_broken_off_in_its_head_is_no_success },
	{ "refusal_without_proof_is_no_promise",
	  refusal_without_proof_is_no_promise },
	{ "requests_are_forwarded_unchanged",
	  requests_are_forwarded_unchanged },
	{ "rejection_without_id_on_used_connection_is_unknown",
	  rejection_without_id_on_used_connection_is_unknown },
	{ "used_connections_count_as_none_in_pool",
	  used_connections_count_as_none_in_pool },
	{ "resent_request_uses_another_connection",
	  resent_request_uses_another_connection },
	{ "deadline_during_attempt_is_unknown_outcome",
	  deadline_during_attempt_is_unknown_outcome },
	{ "disconnected_caller_cancels_at_server",
	  disconnected_caller_cancels_at_server },
	{ "ended_server_is_tried_once", ended_server_is_tried_once },
	{ "leaving_server_gets_no_requests", leaving_server_gets_no_requests },
	{ "server_that_turns_away_is_left_alone",
	  server_that_turns_away_is_left_alone },
	{ "requests_are_refused_while_all_servers_turn_away",
	  requests_are_refused_while_all_servers_turn_away },
	{ "requests_are_refused_while_all_servers_are_limited",
	  requests_are_refused_while_all_servers_are_limited },
	{ "large_answer_is_not_joined_with_another",
	  large_answer_is_not_joined_with_another },
	{ "suspicions_in_quick_succession_are_reported",
	  suspicions_in_quick_succession_are_reported },
	{ "requests_wait_briefly_for_document",
	  requests_wait_briefly_for_document },
	{ "ready_instance_names_its_own_address",
	  ready_instance_names_its_own_address },
	{ "drain_starts_only_what_ends_in_time",
	  drain_starts_only_what_ends_in_time },
	{ "waiting_request_is_not_started_late_in_drain",
	  waiting_request_is_not_started_late_in_drain },
	{ "stop_leaves_no_request_without_answer",
	  stop_leaves_no_request_without_answer },
	{ "pipelined_requests_do_not_exhaust_stack",
	  pipelined_requests_do_not_exhaust_stack },
	{ "records_of_unconfigured_services_take_no_server",
	  records_of_unconfigured_services_take_no_server },
	{ "lack_of_descriptors_is_held_against_no_server",
	  lack_of_descriptors_is_held_against_no_server },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay", .pTests = relay_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
