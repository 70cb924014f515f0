#include "support_main.h"

#include <string.h>

#include "support_relay.h"

/* Tests how the relay treats content that crashes servers. */

#define STEP_MS 10
/* The largest delay between a crash and what the relay concludes from it. */
#define REPORT_MS 400

/* Advances clock and main loop until an answer has come, for `limit_ms`. */
static void answer_await_(relay_fixture_t *fixture, int64_t limit_ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < limit_ms; elapsed_ms += STEP_MS) {
		(void)support_relay_run_until(fixture, UINT32_MAX,
					      fixture->answer->len ? "HTTP" :
								     "\r\n");
		if (fixture->answer->len || fixture->caller_ended)
			return;
		world_run_until(fixture->world, NULL, STEP_MS);
	}
}

/* Runs timers and sockets for a time of the paused clock. */
static void time_pass_(relay_fixture_t *fixture, int64_t duration_ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += STEP_MS) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		world_run_until(fixture->world, NULL, STEP_MS);
	}
}

static int64_t ended_servers_count_(const relay_fixture_t *fixture)
{
	return cb_counter_get(cb_counters_counter(
		cb_kernel_counters(fixture->world->clients[0].kernel),
		"cb_relay_servers_ended_total", NULL, NULL));
}

/*
 * Guards against losses of connections that are taken for ends of servers: only
 * a process whose port refuses connections has ended.
 */
static void only_ended_processes_count_as_ended(void)
{
	static const struct {
		const char *description; /* printed if the case fails */
		relay_script_t script;
		int64_t expected_count;
	} cases[] = {
		{ "a complete answer", { COMPLETE_ANSWER, END_KEEP }, 0 },
		{ "a reset by a server that goes on", { "", END_RESET }, 0 },
		{ "a close by a server that goes on", { "", END_CLOSE }, 0 },
		{ "bytes that are no answer", { "x\r\n\r\n", END_CRASH }, 0 },
		{ "a crash before the answer", { "", END_CRASH }, 1 },
		{ "a crash in the answer",
		  { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nok",
		    END_CRASH },
		  1 },
		{ "the end of a server that announced it",
		  { "HTTP/1.1 200 OK\r\nId: 7\r\nLeaving: 1\r\n"
		    "Content-Length: 9\r\n\r\nok",
		    END_CRASH },
		  0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;
		int64_t count;

		support_relay_init(&fixture, TRUE);
		fixture.scripts = &cases[i].script;
		fixture.script_count = 1;
		support_relay_request_send(&fixture, ONCE_REQUEST);
		answer_await_(&fixture, REPORT_MS);
		time_pass_(&fixture, REPORT_MS);
		count = ended_servers_count_(&fixture);
		CU_ASSERT_EQUAL(count, cases[i].expected_count);
		if (count != cases[i].expected_count)
			printf("    %s: %d ended\n", cases[i].description,
			       (int)count);
		support_relay_clear(&fixture);
	}
}

/* Crashes after which content must be known, and requests sent after them. */
#define CRASHES_KNOWN 5
#define LATER_REQUESTS 8
/* As many of these as may still reach servers, by the users' rule. */
#define LATER_REQUESTS_MAX 3
/* Time from the last crash until the content must be known. */
#define KNOWN_AFTER_MS 3000
#define SCRIPTS_MAX 64
/* An answer that is complete as a stream, too. */
#define EVENT_ANSWER                                             \
	"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 10\r\n\r\n" \
	"data: ok\n\n"

/* Sends a request with these parts of a prompt; `number` is in its path. */
static void request_send_(relay_fixture_t *fixture, const char *path,
			  unsigned int number, const char *parts)
{
	char *text = g_strdup_printf(
		"POST %s%u HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n"
		"Left: 2000\r\nParts: %s\r\nContent-Length: 0\r\n\r\n",
		path, number, parts);

	support_relay_request_send(fixture, text);
	answer_await_(fixture, REPORT_MS);
	g_free(text);
}

/* Starts all servers again that have crashed. */
static void servers_restart_(relay_fixture_t *fixture)
{
	static int64_t start_wall_ms = 100;
	unsigned int i;

	time_pass_(fixture, REPORT_MS);
	for (i = 0; i < SERVER_COUNT; i++)
		if (!fixture->listeners[i])
			support_relay_server_restart(fixture, i,
						     ++start_wall_ms);
	time_pass_(fixture, REPORT_MS);
}

/* Sets the servers' reaction to all requests from now on. */
static void scripts_set_(relay_fixture_t *fixture, relay_script_t *scripts,
			 const char *text, relay_script_end_t end)
{
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (relay_script_t){ text, end };
	fixture->scripts = scripts;
	fixture->script_count = SCRIPTS_MAX;
}

/*
 * Sends requests that crash servers until enough of these have ended.  Then
 * returns how many of the next ones reach a server.
 */
static unsigned int later_requests_count_(relay_fixture_t *fixture,
					  const char *path, const char *parts,
					  gboolean is_path_same)
{
	unsigned int reached;
	unsigned int i;

	for (i = 0; i < CRASHES_KNOWN; i++) {
		request_send_(fixture, path, is_path_same ? 0 : i, parts);
		servers_restart_(fixture);
	}
	time_pass_(fixture, KNOWN_AFTER_MS);
	reached = fixture->requests->len;
	for (i = 0; i < LATER_REQUESTS; i++) {
		request_send_(fixture, path,
			      is_path_same ? 0 : CRASHES_KNOWN + i, parts);
		servers_restart_(fixture);
	}
	return fixture->requests->len - reached;
}

/* Guards against content that crashes one server after the other. */
static void content_that_crashes_servers_stops_reaching_them(void)
{
	static const struct {
		const char *description; /* printed if the case fails */
		const char *path;
		const char *parts;
		gboolean is_path_same;
	} cases[] = {
		{ "the first part", "/stream/", "bad,other,own", FALSE },
		{ "a middle part", "/stream/", "shared,bad,other,own", FALSE },
		{ "the last shared part", "/stream/", "shared,bad,own", FALSE },
		{ "in requests that run once", "/once/", "shared,bad,own",
		  FALSE },
		{ "the whole request", "/safe/", "shared,own", TRUE },
		{ "a whole request without a prompt", "/once/", "", TRUE },
	};
	relay_script_t scripts[SCRIPTS_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;
		unsigned int count;

		support_relay_init(&fixture, TRUE);
		scripts_set_(&fixture, scripts, EVENT_ANSWER, END_KEEP);
		request_send_(&fixture, "/safe/", 100, "shared,x");
		request_send_(&fixture, "/safe/", 101, "other,x");
		CU_ASSERT_EQUAL(fixture.requests->len, 2);
		scripts_set_(&fixture, scripts, "", END_CRASH);
		count = later_requests_count_(&fixture, cases[i].path,
					      cases[i].parts,
					      cases[i].is_path_same);
		CU_ASSERT_TRUE(count <= LATER_REQUESTS_MAX);
		if (count > LATER_REQUESTS_MAX)
			printf("    %s: %u reached servers\n",
			       cases[i].description, count);
		scripts_set_(&fixture, scripts, EVENT_ANSWER, END_KEEP);
		request_send_(&fixture, cases[i].path, 102, "shared,other,y");
		CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, "200 OK"));
		support_relay_clear(&fixture);
	}
}

/* Servers whose loss must make a request known. */
#define LOST_SERVERS 3

/*
 * Sends a stream under which each server is lost after it has begun to answer, and has
 * the servers return.  Returns how many servers it has reached.
 */
typedef unsigned int (*stream_send_fn_t)(relay_fixture_t *fixture);

/*
 * Checks that a stream stops reaching servers once enough of them are lost, and that
 * another one with the same parts is served.
 */
static void stream_stops_check_(stream_send_fn_t send)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	unsigned int lost = 0;
	unsigned int later = 0;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	scripts_set_(&fixture, scripts, FIRST_EVENT, END_HOLD);
	while (lost < LOST_SERVERS)
		lost += send(&fixture);
	time_pass_(&fixture, KNOWN_AFTER_MS);
	for (i = 0; i < LATER_REQUESTS; i++)
		later += send(&fixture);
	CU_ASSERT_TRUE(later <= LATER_REQUESTS_MAX);
	if (later > LATER_REQUESTS_MAX)
		printf("    %u reached servers\n", later);
	scripts_set_(&fixture, scripts, EVENT_ANSWER, END_KEEP);
	request_send_(&fixture, "/stream/", 1, "shared,own");
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.answer->str, "200 OK"));
	support_relay_clear(&fixture);
}

/* The events that a server sends before it ends, and the time between them. */
#define LATE_EVENTS 9
#define LATE_EVENT_MS 60

/* Sends the later events of the answer to a request, then ends its server. */
static void late_crash_play_(relay_fixture_t *fixture, unsigned int request)
{
	unsigned int id;

	for (id = 2; id <= LATE_EVENTS; id++) {
		char *event =
			g_strdup_printf("f\r\nid: %u\ndata: a\n\n\r\n", id);

		time_pass_(fixture, LATE_EVENT_MS);
		support_relay_answer_continue(fixture, request, event);
		g_free(event);
	}
	time_pass_(fixture, STEP_MS);
	support_relay_server_crash(fixture, request);
	time_pass_(fixture, REPORT_MS);
}

/*
 * Sends a stream that ends each server in the middle of its answer.  Returns how many
 * servers it has reached.
 */
static unsigned int late_stream_send_(relay_fixture_t *fixture)
{
	unsigned int first = fixture->requests->len;
	unsigned int request;

	request_send_(fixture, "/stream/", 0, "shared,own");
	for (request = first; request < fixture->requests->len; request++)
		late_crash_play_(fixture, request);
	servers_restart_(fixture);
	return fixture->requests->len - first;
}

/*
 * Guards against a request whose answers make progress before they end servers, and
 * which is taken for innocent each time.
 */
static void requests_that_end_servers_late_stop_reaching_them(void)
{
	stream_stops_check_(late_stream_send_);
}

/* The time after which a stream leaves a silent server, and then some. */
#define SILENT_MS 1000
/* Longer than the silence of a server counts. */
#define LONG_AFTER_MS 20000
#define SUCCESSOR_START_WALL_MS 50

/* What happens to a server that has fallen silent. */
typedef enum silence_end {
	SILENCE_GOES_ON,
	SILENCE_REPLACED, /* a later process has its address */
	SILENCE_REPLACED_LATE,
	SILENCE_REPLACED_AFTER_STOP, /* it was told to stop before */
	SILENCE_RESET,		     /* its connection is reset, no more */
} silence_end_t;

static void silence_end_play_(relay_fixture_t *fixture, unsigned int server,
			      silence_end_t end)
{
	if (end == SILENCE_RESET)
		support_relay_server_reset(fixture, 0);
	if (end == SILENCE_REPLACED_LATE)
		time_pass_(fixture, LONG_AFTER_MS);
	if (end == SILENCE_REPLACED_AFTER_STOP) {
		support_relay_server_drain(fixture, server);
		time_pass_(fixture, REPORT_MS);
	}
	if (end != SILENCE_GOES_ON && end != SILENCE_RESET)
		support_relay_server_announce(fixture, server,
					      SUCCESSOR_START_WALL_MS, 1);
	time_pass_(fixture, REPORT_MS);
}

/*
 * Guards against servers that go dark and are never known to have ended, and against
 * pauses, stops and old silences that are taken for that.
 */
static void silent_servers_count_as_ended_once_replaced(void)
{
	static const struct {
		const char *description; /* printed if the case fails */
		const char *begin;	 /* of the answer that falls silent */
		silence_end_t end;
		int64_t expected_count;
	} cases[] = {
		{ "replaced", FIRST_EVENT, SILENCE_REPLACED, 1 },
		{ "not replaced", FIRST_EVENT, SILENCE_GOES_ON, 0 },
		{ "only reset", FIRST_EVENT, SILENCE_RESET, 0 },
		{ "silent from the start", "", SILENCE_REPLACED, 0 },
		{ "replaced much later", FIRST_EVENT, SILENCE_REPLACED_LATE,
		  0 },
		{ "told to stop", FIRST_EVENT, SILENCE_REPLACED_AFTER_STOP, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const relay_script_t scripts[] = {
			{ cases[i].begin, END_HOLD },
			{ EVENT_ANSWER, END_KEEP },
		};
		relay_fixture_t fixture;
		int64_t count;

		support_relay_init(&fixture, TRUE);
		fixture.scripts = scripts;
		fixture.script_count = G_N_ELEMENTS(scripts);
		request_send_(&fixture, "/stream/", 0, "shared,own");
		time_pass_(&fixture, SILENT_MS);
		CU_ASSERT_EQUAL(fixture.requests->len, 2);
		silence_end_play_(&fixture,
				  g_array_index(fixture.server_indexes,
						unsigned int, 0),
				  cases[i].end);
		count = ended_servers_count_(&fixture);
		CU_ASSERT_EQUAL(count, cases[i].expected_count);
		if (count != cases[i].expected_count)
			printf("    %s: %d ended\n", cases[i].description,
			       (int)count);
		support_relay_clear(&fixture);
	}
}

/* The time that a request has. */
#define REQUEST_MS 2000

/*
 * Guards against a server that goes dark under an attempt which nothing but the end of
 * its request's time ends.
 */
static void servers_that_are_silent_to_the_end_count(void)
{
	const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT, END_HOLD },
	};
	relay_fixture_t fixture;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	request_send_(&fixture, "/stream/", 0, "shared,own");
	time_pass_(&fixture, REQUEST_MS + REPORT_MS);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	CU_ASSERT_TRUE(fixture.caller_ended);
	CU_ASSERT_EQUAL(ended_servers_count_(&fixture), 0);
	for (i = 0; i < fixture.requests->len; i++)
		silence_end_play_(&fixture,
				  g_array_index(fixture.server_indexes,
						unsigned int, i),
				  SILENCE_REPLACED);
	CU_ASSERT_EQUAL(ended_servers_count_(&fixture), 2);
	support_relay_clear(&fixture);
}

/*
 * Sends a stream under which each server goes dark after its first event, and has the
 * servers return.  Returns how many servers it has reached.
 */
static unsigned int dark_stream_send_(relay_fixture_t *fixture)
{
	static int64_t start_wall_ms = 100;
	unsigned int first = fixture->requests->len;
	unsigned int i;

	request_send_(fixture, "/stream/", 0, "shared,own");
	time_pass_(fixture, REQUEST_MS);
	for (i = first; i < fixture->requests->len; i++)
		support_relay_server_announce(
			fixture,
			g_array_index(fixture->server_indexes, unsigned int, i),
			++start_wall_ms, 1);
	time_pass_(fixture, REPORT_MS);
	return fixture->requests->len - first;
}

/* Guards against a request that leaves one server after the other dark. */
static void requests_that_leave_servers_dark_stop_reaching_them(void)
{
	stream_stops_check_(dark_stream_send_);
}

static CU_TestInfo content_tests[] = {
	{ "only_ended_processes_count_as_ended",
	  only_ended_processes_count_as_ended },
	{ "content_that_crashes_servers_stops_reaching_them",
	  content_that_crashes_servers_stops_reaching_them },
	{ "requests_that_end_servers_late_stop_reaching_them",
	  requests_that_end_servers_late_stop_reaching_them },
	{ "silent_servers_count_as_ended_once_replaced",
	  silent_servers_count_as_ended_once_replaced },
	{ "servers_that_are_silent_to_the_end_count",
	  servers_that_are_silent_to_the_end_count },
	{ "requests_that_leave_servers_dark_stop_reaching_them",
	  requests_that_leave_servers_dark_stop_reaching_them },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "content",
				    .pTests = content_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
