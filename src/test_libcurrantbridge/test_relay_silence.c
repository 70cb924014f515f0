#include "support_main.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_log.h"
#include "support_relay.h"

/*
 * Tests streams whose server says nothing for a while and then goes on, over
 * real sockets and with a paused clock.
 */
#define WHOLE_BODY EVENT_1 EVENT_2
#define STREAM_REQUEST REQUEST("POST", "/stream/", "Content-Length: 0\r\n")
/* The same with 600 ms for the whole answer. */
#define SHORT_STREAM_REQUEST                                                    \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 600\r\n" \
	"Content-Length: 0\r\n\r\n"
#define PATIENT_STREAM_REQUEST                                                   \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 4000\r\n" \
	"Content-Length: 0\r\n\r\n"
#define SILENCE_MS 1200
#define SHORT_SILENCE_MS 450
/* When a silent stream is checked, and again; 60% of the allowed pause. */
#define FIRST_CHECK_MS 120
#define RECHECK_MS 60
/* How long an answer that has begun waits for a server that can take over. */
#define RESUME_WAIT_MS 1200

/* Why no attempt may follow the silent one. */
typedef enum obstacle {
	OBSTACLE_NONE,	   /* there is a second attempt, silent as well */
	OBSTACLE_BUDGET,   /* no retry is left in the common budget */
	OBSTACLE_NO_OTHER, /* no other engine holds the first layer */
} obstacle_t;

/* The engine that is reported as lost. */
typedef enum lost_engine {
	LOST_NONE,
	LOST_FIRST, /* the first one of the chain refuses report calls */
	/* The first one reports that it waits for the second, which is silent. */
	LOST_SECOND,
} lost_engine_t;

typedef struct silence_case {
	const char *description; /* printed if the case fails */
	const char *request;
	unsigned int engine_count; /* 0: the servers have no layers */
	obstacle_t obstacle;
	gboolean withholds_reports;
	lost_engine_t lost_engine;
	gboolean withholds_reroutes;
	int64_t silence_ms;
	unsigned int expected_sends;
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ "plain server, attempts used up", STREAM_REQUEST, 0, OBSTACLE_NONE,
	  FALSE, LOST_NONE, FALSE, SILENCE_MS, 2 },
	{ "plain server, no retry left", STREAM_REQUEST, 0, OBSTACLE_BUDGET,
	  FALSE, LOST_NONE, FALSE, SILENCE_MS, 1 },
	{ "plain server, no time to begin again", SHORT_STREAM_REQUEST, 0,
	  OBSTACLE_NONE, FALSE, LOST_NONE, FALSE, SHORT_SILENCE_MS, 1 },
	{ "engine without a report, no retry left", ENGINE_REQUEST, 3,
	  OBSTACLE_BUDGET, TRUE, LOST_NONE, FALSE, SILENCE_MS, 1 },
	{ "engine without a report, no other first engine", ENGINE_REQUEST, 3,
	  OBSTACLE_NO_OTHER, TRUE, LOST_NONE, FALSE, SILENCE_MS, 1 },
	{ "first engine refuses report calls, no other", ENGINE_REQUEST, 3,
	  OBSTACLE_NO_OTHER, FALSE, LOST_FIRST, FALSE, SILENCE_MS, 1 },
	{ "second engine is lost, reroute without an answer", ENGINE_REQUEST, 3,
	  OBSTACLE_NO_OTHER, FALSE, LOST_SECOND, TRUE, SILENCE_MS, 1 },
	{ "second engine is lost, no chain avoids it", ENGINE_REQUEST, 2,
	  OBSTACLE_NO_OTHER, FALSE, LOST_SECOND, FALSE, SILENCE_MS, 1 },
};

/* Replaces the retry budget by one that allows none. */
static void retries_forbid_(relay_fixture_t *fixture)
{
	const cb_retry_share_budget_t none = { .window_ms = 10000 };
	cb_front_t *front = fixture->front;

	cb_retry_share_delete(front->retries);
	front->retries = cb_retry_share_new(front->clock, front->random, &none);
}

/* Sets which engine of the chain in use is reported as lost. */
static void lost_engine_set_(relay_fixture_t *fixture, lost_engine_t lost)
{
	if (lost == LOST_FIRST)
		fixture->lost_server = 0;
	fixture->lost_server_is_silent = lost == LOST_SECOND;
	if (lost == LOST_SECOND)
		fixture->lost_server =
			strstr(fixture->requests->pdata[0], "engine1") ? 1 : 2;
}

/* Starts the fixture with a case's servers; their answers are continued. */
static void silence_case_start_(relay_fixture_t *fixture,
				const silence_case_t *c,
				const relay_script_t *scripts)
{
	unsigned int i;

	support_relay_init(fixture, TRUE);
	for (i = 0; i < c->engine_count; i++)
		support_relay_engine_announce(fixture, i);
	world_run_until(fixture->world, NULL, 1000);
	if (c->obstacle == OBSTACLE_BUDGET)
		retries_forbid_(fixture);
	fixture->scripts = scripts;
	fixture->script_count = 2;
	fixture->withholds_reports = c->withholds_reports;
	fixture->withholds_reroutes = c->withholds_reroutes;
}

/*
 * Plays a case: the last server that was asked goes on after the silence, with
 * the first event unless the caller has it.  FALSE: the caller did not get the
 * whole answer.
 */
static gboolean silence_case_run_(const silence_case_t *c,
				  gboolean has_first_event)
{
	const relay_script_t scripts[] = {
		{ has_first_event ? FIRST_EVENT : "", END_HOLD },
		{ "", END_HOLD },
	};
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	gboolean is_as_expected;
	uint32_t status = 0;
	relay_fixture_t fixture;

	silence_case_start_(&fixture, c, scripts);
	support_relay_request_send(&fixture, c->request);
	CU_ASSERT_TRUE_FATAL(
		support_relay_run_until(&fixture, 1,
					has_first_event ? EVENT_1 : NULL));
	lost_engine_set_(&fixture, c->lost_engine);
	support_relay_pass_time(&fixture, c->silence_ms);
	if (!fixture.caller_ended && fixture.requests->len) {
		unsigned int last = fixture.requests->len - 1;

		if (!has_first_event)
			support_relay_answer_continue(&fixture, last,
						      FIRST_EVENT);
		else if (last)
			support_relay_answer_continue(&fixture, last,
						      STREAM_HEAD);
		support_relay_answer_continue(&fixture, last, LAST_EVENT);
	}
	is_complete = support_relay_answer_await(&fixture, &status, body);
	is_as_expected = is_complete && status == 200 &&
			 fixture.requests->len == c->expected_sends &&
			 !strcmp(body->str, WHOLE_BODY);
	if (!is_as_expected)
		printf("    %s, %s: %u sends, status %u, %s, %s\n",
		       c->description,
		       has_first_event ? "after an event" : "before any event",
		       fixture.requests->len, status,
		       is_complete ? "complete" : "not complete", body->str);
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
	return is_as_expected;
}

/* A silent server may go on: its answer must not be ended before. */
static void silent_server_does_not_end_answer(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		CU_ASSERT_TRUE(silence_case_run_(&silence_cases[i], FALSE));
		CU_ASSERT_TRUE(silence_case_run_(&silence_cases[i], TRUE));
	}
}

/*
 * If no other can take over, a stream that needs an engine which has ended must
 * not hold its caller until that leaves: it can come back elsewhere.
 */
static void ended_engine_ends_answer_at_once(void)
{
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	support_relay_init(&fixture, TRUE);
	support_relay_engine_announce(&fixture, 0);
	support_relay_engine_announce(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 0, EVENT_1));
	fixture.lost_server = 1;
	support_relay_pass_time(&fixture, FIRST_CHECK_MS + RECHECK_MS);
	CU_ASSERT_FALSE(fixture.caller_ended);
	support_relay_pass_time(&fixture, RESUME_WAIT_MS + 2 * RECHECK_MS);
	CU_ASSERT_FALSE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_TRUE(fixture.caller_ended);
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
}

/* The time that streams wait while all servers of their service are silent. */
#define SERVICE_STALL_MS 800
/* The longest time between two checks of a silent stream. */
#define LATEST_CHECK_MS 300

/* Starts `count` streams, each at a server of its own, that have one event. */
static void streams_start_(relay_fixture_t *fixture,
			   const relay_script_t *scripts, unsigned int count)
{
	unsigned int i;

	support_relay_init(fixture, TRUE);
	fixture->scripts = scripts;
	fixture->script_count = count;
	for (i = 0; i < count; i++) {
		if (i)
			g_ptr_array_add(fixture->other_callers,
					g_steal_pointer(&fixture->caller));
		support_relay_request_send(fixture, STREAM_REQUEST);
		CU_ASSERT_TRUE_FATAL(
			support_relay_run_until(fixture, 0, EVENT_1));
	}
}

/*
 * While all servers of a service are silent, each stream must stay for a while: a
 * second wave of attempts would meet the servers as they go on.
 */
static void stalled_service_gets_no_second_wave(void)
{
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT, END_HOLD },
	};
	relay_fixture_t fixture;

	streams_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	CU_ASSERT_NOT_EQUAL(g_array_index(fixture.server_indexes, unsigned int,
					  0),
			    g_array_index(fixture.server_indexes, unsigned int,
					  1));
	support_relay_pass_time(&fixture, SERVICE_STALL_MS - 50);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	support_relay_pass_time(&fixture, LATEST_CHECK_MS);
	CU_ASSERT_TRUE(fixture.requests->len > 2);
	support_relay_clear(&fixture);
}

/* Once another server is heard, a silent stream must not wait any longer. */
static void silent_stream_moves_once_other_server_is_heard(void)
{
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT, END_HOLD },
	};
	relay_fixture_t fixture;

	streams_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	support_relay_pass_time(&fixture, 300);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	support_relay_answer_continue(&fixture, 1, "f\r\n" EVENT_2 "\r\n");
	support_relay_pass_time(&fixture, LATEST_CHECK_MS);
	CU_ASSERT_EQUAL(fixture.requests->len, 3);
	support_relay_clear(&fixture);
}

/*
 * A stream that left a silent server must not be cut because other servers
 * reject it for a while.
 */
static void rejections_do_not_cut_stream_that_left_silent_server(void)
{
	static const relay_script_t rejection = {
		"HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		END_KEEP
	};
	relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD },
				     rejection,
				     rejection,
				     rejection,
				     rejection,
				     rejection,
				     rejection,
				     rejection,
				     { STREAM_HEAD LAST_EVENT, END_KEEP } };
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 0, EVENT_1));
	support_relay_pass_time(&fixture, 1500);
	CU_ASSERT_TRUE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_EQUAL(status, 200);
	CU_ASSERT_STRING_EQUAL(body->str, WHOLE_BODY);
	CU_ASSERT_EQUAL(fixture.requests->len, G_N_ELEMENTS(scripts));
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
}

/* The pace of the streams below, and by how much they are out of step. */
#define PACE_MS 100
#define STEP_DIFFERENCE_MS 50
#define PACED_EVENTS 3

/* Sends a stream's next event. */
static void event_send_(relay_fixture_t *fixture, unsigned int request,
			unsigned int id)
{
	char *text = g_strdup_printf("f\r\nid: %u\ndata: a\n\n\r\n", id);

	support_relay_answer_continue(fixture, request, text);
	g_free(text);
}

/*
 * The last events before a stall of a service come at different times: none of
 * them shows that a server goes on while others are silent.
 */
static void stall_is_seen_by_streams_out_of_step(void)
{
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT, END_HOLD },
	};
	relay_fixture_t fixture;
	unsigned int id;

	streams_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	for (id = 2; id < 2 + PACED_EVENTS; id++) {
		support_relay_pass_time(&fixture, PACE_MS - STEP_DIFFERENCE_MS);
		event_send_(&fixture, 0, id);
		support_relay_pass_time(&fixture, STEP_DIFFERENCE_MS);
		event_send_(&fixture, 1, id);
	}
	support_relay_pass_time(&fixture, SERVICE_STALL_MS - PACE_MS);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	support_relay_clear(&fixture);
}

/* Returns the document's route of the streams. */
static cb_route_t *stream_route_(const relay_fixture_t *fixture)
{
	return (cb_route_t *)cb_document_route(cb_front_document(
						       fixture->front),
					       "h", "/stream/");
}

/* A silent stream must not be checked again and again at the same moment. */
static void stream_without_target_latency_is_not_checked_at_once(void)
{
	static const int64_t latencies_ms[] = { 500, 3, 0 };
	static const relay_script_t script = { "", END_HOLD };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(latencies_ms); i++) {
		cb_clock_t *clock;
		relay_fixture_t fixture;

		support_relay_init(&fixture, TRUE);
		clock = fixture.world->clock;
		stream_route_(&fixture)->target_latency_ms = latencies_ms[i];
		fixture.scripts = &script;
		fixture.script_count = 1;
		support_relay_request_send(&fixture, STREAM_REQUEST);
		CU_ASSERT_TRUE(support_relay_run_until(&fixture, 1, NULL));
		CU_ASSERT_TRUE(cb_clock_next_deadline_ms(clock) >
			       cb_clock_now_ms(clock));
		support_relay_clear(&fixture);
	}
}

/* Callers leave a stream that is silent for so long. */
#define CALLER_PATIENCE_MS 2000
#define LONG_GAP_MS 500

/*
 * A stream that was kept through one silence must be moved in the next one
 * before its caller leaves.
 */
static void second_silence_is_noticed_before_caller_leaves(void)
{
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT, END_HOLD },
	};
	relay_fixture_t fixture;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	stream_route_(&fixture)->target_gap_ms = LONG_GAP_MS;
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	for (i = 0; i < G_N_ELEMENTS(scripts); i++) {
		if (i)
			g_ptr_array_add(fixture.other_callers,
					g_steal_pointer(&fixture.caller));
		support_relay_request_send(&fixture, PATIENT_STREAM_REQUEST);
		CU_ASSERT_TRUE_FATAL(
			support_relay_run_until(&fixture, 0, EVENT_1));
	}
	support_relay_pass_time(&fixture, SERVICE_STALL_MS - 100);
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	for (i = 0; i < G_N_ELEMENTS(scripts); i++)
		event_send_(&fixture, i, 2);
	support_relay_pass_time(&fixture, CALLER_PATIENCE_MS);
	CU_ASSERT_EQUAL(fixture.requests->len, 4);
	support_relay_clear(&fixture);
}

/* A stream without an event that left a silent server must not be refused. */
static void rejections_do_not_refuse_stream_that_left_silent_server(void)
{
	static const relay_script_t rejection = {
		"HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		END_KEEP
	};
	const relay_script_t scripts[] = { { "", END_HOLD },
					   rejection,
					   rejection,
					   rejection,
					   rejection,
					   rejection,
					   { FIRST_EVENT LAST_EVENT,
					     END_KEEP } };
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 1, NULL));
	support_relay_pass_time(&fixture, 1500);
	CU_ASSERT_TRUE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_EQUAL(status, 200);
	CU_ASSERT_STRING_EQUAL(body->str, WHOLE_BODY);
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
}

/* A silence that only this process sees, since it is late, can be told apart. */
static void kept_attempts_log_unread_input(void)
{
	static const relay_script_t script = { FIRST_EVENT, END_HOLD };
	static const struct {
		gboolean has_input;
		const char *field;
	} cases[] = { { FALSE, "\"unread\":0" }, { TRUE, "\"unread\":1" } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;
		support_log_t log;

		support_relay_init(&fixture, TRUE);
		retries_forbid_(&fixture);
		fixture.scripts = &script;
		fixture.script_count = 1;
		support_relay_request_send(&fixture, STREAM_REQUEST);
		CU_ASSERT_TRUE_FATAL(
			support_relay_run_until(&fixture, 0, EVENT_1));
		support_log_begin(&log, fixture.world->clock);
		fixture.front->log = log.log;
		if (cases[i].has_input)
			support_relay_answer_continue(&fixture, 0,
						      "f\r\n" EVENT_2 "\r\n");
		/* The timers fire, and no socket is read. */
		cb_clock_advance(fixture.world->clock, 4 * FIRST_CHECK_MS);
		fixture.front->log = NULL;
		support_log_end(&log);
		CU_ASSERT_PTR_NOT_NULL(strstr(log.text, "\"RELAY_KEPT\""));
		CU_ASSERT_PTR_NOT_NULL(strstr(log.text, cases[i].field));
		support_relay_clear(&fixture);
	}
}

/* Listens at a server's port in place of the fixture, which reads nothing there. */
static int server_replace_(relay_fixture_t *fixture, unsigned int server)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(fixture->ports[server]),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int is_reused = 1;

	cb_stream_unlisten(g_steal_pointer(&fixture->listeners[server]));
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	CU_ASSERT_FALSE(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &is_reused,
				   sizeof(is_reused)));
	CU_ASSERT_FALSE_FATAL(
		bind(fd, (const struct sockaddr *)&address, sizeof(address)));
	CU_ASSERT_FALSE_FATAL(listen(fd, 4));
	return fd;
}

/* Answers the request on the next connection to a listening socket. */
static int check_answer_(int listener)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	char request[512];
	int fd = accept(listener, NULL, NULL);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	CU_ASSERT_TRUE(recv(fd, request, sizeof(request), 0) > 0);
	CU_ASSERT_TRUE(send(fd, answer, strlen(answer), 0) > 0);
	return fd;
}

/* An answer to a check that this process is too late to read is one. */
static void late_process_does_not_lose_its_way(void)
{
	static const relay_script_t script = { FIRST_EVENT, END_HOLD };
	int listeners[SERVER_COUNT];
	int connections[SERVER_COUNT];
	const cb_reach_group_t *group;
	relay_fixture_t fixture;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = &script;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, PATIENT_STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 0, EVENT_1));
	support_relay_pass_time(&fixture, 10);
	group = cb_reach_get_group(fixture.front->reach, "dc1");
	for (i = 0; i < SERVER_COUNT; i++)
		listeners[i] = server_replace_(&fixture, i);
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS);
	CU_ASSERT_EQUAL_FATAL(cb_reach_group_state(group), CB_REACH_CHECKING);
	(void)support_relay_run_until(&fixture, 0, EVENT_2);
	for (i = 0; i < SERVER_COUNT; i++)
		connections[i] = check_answer_(listeners[i]);
	/* The timers fire, and no socket is read. */
	cb_clock_advance(fixture.world->clock, 300);
	CU_ASSERT_EQUAL(cb_reach_group_results(group)[CB_REACH_MUTE], 0);
	CU_ASSERT_EQUAL(cb_reach_group_state(group), CB_REACH_CHECKING);
	(void)support_relay_run_until(&fixture, 0, EVENT_2);
	CU_ASSERT_EQUAL(cb_reach_group_state(group), CB_REACH_OPEN);
	for (i = 0; i < SERVER_COUNT; i++) {
		close(connections[i]);
		close(listeners[i]);
	}
	support_relay_clear(&fixture);
}

typedef struct refused_report_case {
	const char *description; /* printed if the case fails */
	gboolean has_event;	 /* the stream has its first event */
	int64_t silence_ms;	 /* then its first engine goes on */
	unsigned int expected_sends;
} refused_report_case_t;

/* The first event is wanted within 500 ms, and checked for after 125 ms. */
static const refused_report_case_t refused_report_cases[] = {
	{ "before the first check", FALSE, 100, 1 },
	{ "first event in time", FALSE, 450, 1 },
	{ "first event late", FALSE, 700, 2 },
	{ "silent after an event", TRUE, FIRST_CHECK_MS + RECHECK_MS, 2 },
};

/*
 * Plays a case: the first engine refuses calls for its report, and another could
 * take over.  Returns whether the request is sent as often as expected.
 */
static gboolean refused_report_case_run_(const refused_report_case_t *c)
{
	const relay_script_t scripts[] = {
		{ c->has_event ? FIRST_EVENT : "", END_HOLD },
		{ "", END_HOLD },
	};
	gboolean is_as_expected;
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	support_relay_engine_announce(&fixture, 0);
	support_relay_engine_announce(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(
		support_relay_run_until(&fixture, 1,
					c->has_event ? EVENT_1 : NULL));
	support_relay_layers_announce(&fixture, 2, 1, 0, 1);
	fixture.lost_server = 0;
	support_relay_pass_time(&fixture, c->silence_ms);
	is_as_expected = fixture.requests->len == c->expected_sends;
	if (!is_as_expected)
		printf("    %s: %u sends\n", c->description,
		       fixture.requests->len);
	support_relay_clear(&fixture);
	return is_as_expected;
}

/* Guards against a sound attempt that is left since other connections failed. */
static void request_is_not_left_for_refused_report_calls(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refused_report_cases); i++)
		CU_ASSERT_TRUE(
			refused_report_case_run_(&refused_report_cases[i]));
}

typedef struct unmade_report_case {
	const char *description; /* printed if the case fails */
	gboolean has_event;	 /* the stream has its first event */
	int64_t silence_ms;
	unsigned int expected_sends;
} unmade_report_case_t;

static const unmade_report_case_t unmade_report_cases[] = {
	{ "before an event", FALSE, SERVICE_STALL_MS - 100, 1 },
	{ "before an event, for long", FALSE,
	  SERVICE_STALL_MS + LATEST_CHECK_MS, 2 },
	{ "after an event", TRUE, SERVICE_STALL_MS - 100, 1 },
	{ "after an event, for long", TRUE, SERVICE_STALL_MS + LATEST_CHECK_MS,
	  2 },
};

/*
 * Plays a case: the instance can't ask the first engine, and another one could
 * take over.  Returns whether the request is sent as often as expected.
 */
static gboolean unmade_report_case_run_(const unmade_report_case_t *c)
{
	const relay_script_t scripts[] = {
		{ c->has_event ? FIRST_EVENT : "", END_HOLD },
		{ "", END_HOLD },
	};
	gboolean is_as_expected;
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	support_relay_engine_announce(&fixture, 0);
	support_relay_engine_announce(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(
		support_relay_run_until(&fixture, 1,
					c->has_event ? EVENT_1 : NULL));
	support_relay_layers_announce(&fixture, 2, 1, 0, 1);
	fixture.lacks_resources = TRUE;
	support_relay_pass_time(&fixture, c->silence_ms);
	is_as_expected = fixture.requests->len == c->expected_sends;
	if (!is_as_expected)
		printf("    %s: %u sends\n", c->description,
		       fixture.requests->len);
	support_relay_clear(&fixture);
	return is_as_expected;
}

/* Guards against a sound stream that is left for a lack of this process. */
static void stream_is_not_left_for_report_calls_that_were_not_made(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unmade_report_cases); i++)
		CU_ASSERT_TRUE(
			unmade_report_case_run_(&unmade_report_cases[i]));
}

static CU_TestInfo relay_silence_tests[] = {
	{ "late_process_does_not_lose_its_way",
	  late_process_does_not_lose_its_way },
	{ "kept_attempts_log_unread_input", kept_attempts_log_unread_input },
	{ "stream_is_not_left_for_report_calls_that_were_not_made",
	  stream_is_not_left_for_report_calls_that_were_not_made },
	{ "request_is_not_left_for_refused_report_calls",
	  request_is_not_left_for_refused_report_calls },
	{ "silent_server_does_not_end_answer",
	  silent_server_does_not_end_answer },
	{ "ended_engine_ends_answer_at_once",
	  ended_engine_ends_answer_at_once },
	{ "stalled_service_gets_no_second_wave",
	  stalled_service_gets_no_second_wave },
	{ "silent_stream_moves_once_other_server_is_heard",
	  silent_stream_moves_once_other_server_is_heard },
	{ "rejections_do_not_cut_stream_that_left_silent_server",
	  rejections_do_not_cut_stream_that_left_silent_server },
	{ "stall_is_seen_by_streams_out_of_step",
	  stall_is_seen_by_streams_out_of_step },
	{ "stream_without_target_latency_is_not_checked_at_once",
	  stream_without_target_latency_is_not_checked_at_once },
	{ "second_silence_is_noticed_before_caller_leaves",
	  second_silence_is_noticed_before_caller_leaves },
	{ "rejections_do_not_refuse_stream_that_left_silent_server",
	  rejections_do_not_refuse_stream_that_left_silent_server },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay_silence",
				    .pTests = relay_silence_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
