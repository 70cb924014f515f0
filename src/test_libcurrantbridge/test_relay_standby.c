#include "support_main.h"

#include <string.h>

#include "support_log.h"
#include "support_relay.h"

/*
 * Tests streams that are resumed at another server while the first one may still
 * go on, over real sockets and with a paused clock.
 */
#define PATIENT_STREAM_REQUEST                                                   \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 6000\r\n" \
	"Content-Length: 0\r\n\r\n"
#define PATIENT_ENGINE_REQUEST                                                   \
	"POST /engine/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\nLeft: 6000\r\n" \
	"Content-Length: 0\r\n\r\n"
#define OTHER_HEAD                                \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: y\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"
#define REJECTION                                   \
	"HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n" \
	"Content-Length: 0\r\n\r\n"
#define SERVER_ERROR \
	"HTTP/1.1 500 X\r\nId: 7\r\nSeal: y\r\nContent-Length: 0\r\n\r\n"
/* A silent stream is resumed elsewhere within this time. */
#define LEAVE_MS 400
/* The first server goes on after this time; callers wait for 2 s. */
#define SILENCE_MS 1700
#define STEP_MS 50
/* Enough for all sends of a request. */
#define SCRIPTS 24

typedef enum winner {
	WINNER_FIRST,
	WINNER_SECOND,
	WINNER_NONE,
} winner_t;

typedef struct standby_case {
	const char *description; /* printed if the case fails */
	gboolean
		has_first_event; /* the caller has it as the server falls silent */
	relay_script_t second; /* of all sends after the first one */
	winner_t winner;
	/* What the first server sends at last; NULL: its connection is reset. */
	const char *first_rest;
	const char *expected_body; /* NULL: the answer is broken off */
	const char *expected_seal;
} standby_case_t;

#define WHOLE_BODY EVENT_1 EVENT_2
#define FIRST_REST "f\r\n" EVENT_1 "\r\n" LAST_EVENT
#define FIRST_ANSWER STREAM_HEAD FIRST_REST

static const standby_case_t standby_cases[] = {
	{ "second server says nothing",
	  TRUE,
	  { "", END_HOLD },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "second server says nothing, before any event",
	  FALSE,
	  { "", END_HOLD },
	  WINNER_FIRST,
	  FIRST_ANSWER,
	  WHOLE_BODY,
	  "x" },
	{ "second server has only a head, before any event",
	  FALSE,
	  { OTHER_HEAD, END_HOLD },
	  WINNER_FIRST,
	  FIRST_ANSWER,
	  WHOLE_BODY,
	  "x" },
	{ "second server has a part of an event",
	  TRUE,
	  { OTHER_HEAD "6\r\nid: 2\n\r\n", END_HOLD },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "other servers reset",
	  TRUE,
	  { "", END_RESET },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "other servers close",
	  TRUE,
	  { "", END_CLOSE },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "other servers fail",
	  TRUE,
	  { SERVER_ERROR, END_KEEP },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "other servers fail, before any event",
	  FALSE,
	  { SERVER_ERROR, END_KEEP },
	  WINNER_FIRST,
	  FIRST_ANSWER,
	  WHOLE_BODY,
	  "x" },
	{ "other servers reject",
	  TRUE,
	  { REJECTION, END_KEEP },
	  WINNER_FIRST,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "first stream ends without another event",
	  TRUE,
	  { "", END_HOLD },
	  WINNER_FIRST,
	  "0\r\n\r\n",
	  EVENT_1,
	  "x" },
	{ "second server goes on",
	  TRUE,
	  { OTHER_HEAD LAST_EVENT, END_KEEP },
	  WINNER_SECOND,
	  LAST_EVENT,
	  WHOLE_BODY,
	  "x" },
	{ "second server goes on, before any event",
	  FALSE,
	  { OTHER_HEAD FIRST_REST, END_KEEP },
	  WINNER_SECOND,
	  FIRST_ANSWER,
	  WHOLE_BODY,
	  "y" },
	{ "first server resets, others fail",
	  TRUE,
	  { SERVER_ERROR, END_KEEP },
	  WINNER_NONE,
	  NULL,
	  NULL,
	  NULL },
};

/* Plays a case; FALSE: it did not go as expected. */
static gboolean standby_case_run_(const standby_case_t *c)
{
	relay_script_t scripts[SCRIPTS] = {
		{ c->has_first_event ? FIRST_EVENT : "", END_HOLD },
	};
	GString *body = g_string_new(NULL);
	char *seal = g_strdup_printf("Seal: %s", c->expected_seal);
	relay_fixture_t fixture;
	gboolean is_as_expected;
	gboolean is_complete;
	gboolean was_open = TRUE;
	uint32_t status = 0;
	size_t i;

	for (i = 1; i < G_N_ELEMENTS(scripts); i++)
		scripts[i] = c->second;
	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, PATIENT_STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(
		support_relay_run_until(&fixture, 1,
					c->has_first_event ? EVENT_1 : NULL));
	support_relay_pass_time(&fixture, LEAVE_MS);
	if (c->winner != WINNER_SECOND) {
		support_relay_pass_time(&fixture, SILENCE_MS - LEAVE_MS);
		was_open = !fixture.caller_ended;
		if (!c->first_rest)
			support_relay_server_reset(&fixture, 0);
		else if (was_open)
			support_relay_answer_continue(&fixture, 0,
						      c->first_rest);
	}
	is_complete = support_relay_answer_await(&fixture, &status, body);
	is_as_expected =
		was_open && fixture.requests->len > 1 &&
		is_complete == (c->expected_body != NULL) &&
		(!is_complete ||
		 (status == 200 && !strcmp(body->str, c->expected_body) &&
		  strstr(fixture.answer->str, seal)));
	if (!is_as_expected)
		printf("    %s: %u sends, first %s, status %u, %s, %s\n",
		       c->description, fixture.requests->len,
		       was_open ? "kept" : "left", status,
		       is_complete ? "complete" : "not complete", body->str);
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
	g_free(seal);
	return is_as_expected;
}

/* A run that may go on is given up only for one that has brought an event. */
static void running_stream_is_not_given_up_before_another_goes_on(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(standby_cases); i++)
		CU_ASSERT_TRUE(standby_case_run_(&standby_cases[i]));
}

/* An event that the caller has shows nothing of the attempt in flight, if any. */
static void repeated_event_of_left_attempt_is_ignored(void)
{
	static const cb_retry_share_budget_t no_retry = { .window_ms = 10000 };
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ "", END_HOLD },
	};
	/* Without a retry, the stream waits for one, and has no attempt. */
	static const struct {
		const char *request;
		gboolean are_engines;
		gboolean is_waiting;
	} cases[] = {
		{ PATIENT_STREAM_REQUEST, FALSE, FALSE },
		{ PATIENT_STREAM_REQUEST, FALSE, TRUE },
		{ PATIENT_ENGINE_REQUEST, TRUE, FALSE },
		{ PATIENT_ENGINE_REQUEST, TRUE, TRUE },
	};
	GString *body = g_string_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		relay_fixture_t fixture;
		uint32_t status = 0;
		unsigned int reports;
		unsigned int k;

		support_relay_init(&fixture, TRUE);
		for (k = 0; cases[i].are_engines && k < SERVER_COUNT; k++)
			support_relay_layers_announce(&fixture, k, 1, 0, 2);
		world_run_until(fixture.world, NULL, 1000);
		fixture.withholds_reports = TRUE;
		fixture.scripts = scripts;
		fixture.script_count = G_N_ELEMENTS(scripts);
		support_relay_request_send(&fixture, cases[i].request);
		CU_ASSERT_TRUE_FATAL(
			support_relay_run_until(&fixture, 1, EVENT_1));
		for (k = 0; k < SILENCE_MS && fixture.requests->len < 2;
		     k += STEP_MS)
			support_relay_pass_time(&fixture, STEP_MS);
		CU_ASSERT_EQUAL_FATAL(fixture.requests->len, 2);
		if (cases[i].is_waiting) {
			cb_retry_share_delete(fixture.front->retries);
			fixture.front->retries =
				cb_retry_share_new(fixture.front->clock,
						   fixture.front->random,
						   &no_retry);
			support_relay_answer_continue(&fixture, 1, REJECTION);
			support_relay_pass_time(&fixture, STEP_MS);
			CU_ASSERT_EQUAL(fixture.front->waiting.length, 1);
		}
		reports = fixture.report_addresses->len;
		support_relay_answer_continue(&fixture, 0,
					      "f\r\n" EVENT_1 "\r\n");
		support_relay_pass_time(&fixture, LEAVE_MS);
		CU_ASSERT_FALSE(fixture.caller_ended);
		if (cases[i].is_waiting)
			CU_ASSERT_EQUAL(fixture.report_addresses->len, reports);
		support_relay_answer_continue(&fixture, 0, LAST_EVENT);
		CU_ASSERT_TRUE(
			support_relay_answer_await(&fixture, &status, body));
		CU_ASSERT_STRING_EQUAL(body->str, WHOLE_BODY);
		support_relay_clear(&fixture);
	}
	g_string_free(body, TRUE);
}

/*
 * Starts the fixture with a request whose first server is silent, so that it is at
 * two servers, which follow the two `scripts`.
 */
static void silent_request_start_(relay_fixture_t *fixture,
				  const relay_script_t *scripts)
{
	support_relay_init(fixture, TRUE);
	fixture->scripts = scripts;
	fixture->script_count = 2;
	support_relay_request_send(fixture, PATIENT_STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(fixture, 1, NULL));
	support_relay_pass_time(fixture, LEAVE_MS);
	CU_ASSERT_EQUAL_FATAL(fixture->requests->len, 2);
}

/* An answer that has begun belongs to one attempt, whatever it is. */
static void large_answer_of_another_kind_is_not_mixed_with_left_stream(void)
{
	const size_t body_bytes = 1536 * 1024;
	char *filler = g_strnfill(body_bytes, 'z');
	char *text = g_strdup_printf(
		"HTTP/1.1 404 X\r\nId: 7\r\nSeal: y\r\nContent-Length: "
		"%zu\r\n\r\n%s",
		body_bytes + 2, filler);
	const relay_script_t scripts[] = {
		{ STREAM_HEAD, END_HOLD },
		{ text, END_HOLD },
	};
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	silent_request_start_(&fixture, scripts);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 2, "404"));
	support_relay_answer_continue(&fixture, 0, FIRST_REST);
	support_relay_pass_time(&fixture, 50);
	support_relay_answer_continue(&fixture, 1, "ok");
	CU_ASSERT_TRUE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_EQUAL(status, 404);
	CU_ASSERT_EQUAL(body->len, body_bytes + 2);
	CU_ASSERT_PTR_NULL(strstr(body->str, EVENT_1));
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
	g_free(text);
	g_free(filler);
}

/* A server's error is forwarded with its whole body, or not at all. */
static void error_keeps_its_body_as_left_attempt_fails(void)
{
	static const relay_script_t scripts[] = {
		{ "", END_HOLD },
		{ "HTTP/1.1 500 X\r\nId: 7\r\nSeal: y\r\n"
		  "Content-Length: 4\r\n\r\nab",
		  END_HOLD },
	};
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	silent_request_start_(&fixture, scripts);
	support_relay_server_reset(&fixture, 0);
	support_relay_pass_time(&fixture, 50);
	support_relay_answer_continue(&fixture, 1, "cd");
	CU_ASSERT_TRUE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_EQUAL(status, 500);
	CU_ASSERT_STRING_EQUAL(body->str, "abcd");
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
}

/* A crash after long progress is no sign against the content of the request. */
static void content_of_left_attempt_with_progress_is_not_suspect(void)
{
	static const relay_script_t scripts[] = {
		{ FIRST_EVENT, END_HOLD },
		{ "", END_HOLD },
	};
	relay_fixture_t fixture;
	support_log_t log;
	unsigned int server;
	unsigned int id;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, PATIENT_STREAM_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 1, EVENT_1));
	for (id = 2; id < 12; id++) {
		char *event =
			g_strdup_printf("10\r\nid: %02u\ndata: b\n\n\r\n", id);

		support_relay_pass_time(&fixture, STEP_MS);
		support_relay_answer_continue(&fixture, 0, event);
		g_free(event);
	}
	support_relay_pass_time(&fixture, LEAVE_MS);
	CU_ASSERT_EQUAL_FATAL(fixture.requests->len, 2);
	support_log_begin(&log, fixture.world->clock);
	fixture.front->log = log.log;
	server = g_array_index(fixture.server_indexes, unsigned int, 0);
	cb_stream_unlisten(g_steal_pointer(&fixture.listeners[server]));
	support_relay_server_reset(&fixture, 0);
	support_relay_pass_time(&fixture, LEAVE_MS);
	fixture.front->log = NULL;
	support_log_end(&log);
	CU_ASSERT_PTR_NOT_NULL(strstr(log.text, "\"RELAY_SERVER_ENDED\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(log.text, "\"candidates\":0"));
	support_relay_clear(&fixture);
}

/* An attempt whose answer is no stream has lost parts of it as it was left. */
static void request_does_not_go_back_to_partly_dropped_answer(void)
{
	static const relay_script_t scripts[] = {
		{ "", END_HOLD },
		{ "", END_HOLD },
	};
	GString *body = g_string_new(NULL);
	relay_fixture_t fixture;
	uint32_t status = 0;

	silent_request_start_(&fixture, scripts);
	support_relay_answer_continue(&fixture, 0,
				      "HTTP/1.1 404 X\r\nId: 7\r\nSeal: x\r\n"
				      "Content-Length: 4\r\n\r\nab");
	support_relay_pass_time(&fixture, STEP_MS);
	support_relay_server_reset(&fixture, 1);
	support_relay_pass_time(&fixture, STEP_MS);
	if (!fixture.caller_ended)
		support_relay_answer_continue(&fixture, 0, "cd");
	CU_ASSERT_TRUE(support_relay_answer_await(&fixture, &status, body));
	CU_ASSERT_EQUAL(status, 502);
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
}

/* The body of an answer that is no stream can't be used, and may have no end. */
static void endless_answer_of_left_attempt_is_broken_off(void)
{
	static const relay_script_t scripts[] = {
		{ "", END_HOLD },
		{ "", END_HOLD },
	};
	const size_t part_bytes = 512 * 1024;
	char *part = g_strnfill(part_bytes, 'z');
	relay_fixture_t fixture;
	unsigned int i;

	silent_request_start_(&fixture, scripts);
	support_relay_answer_continue(&fixture, 0,
				      "HTTP/1.1 404 X\r\nId: 7\r\nSeal: x\r\n"
				      "Content-Length: 99999999\r\n\r\n");
	for (i = 0; i < 6 && !fixture.ended_connection_count; i++) {
		support_relay_answer_continue(&fixture, 0, part);
		support_relay_pass_time(&fixture, 20);
	}
	CU_ASSERT_EQUAL(fixture.ended_connection_count, 1);
	CU_ASSERT_FALSE(fixture.caller_ended);
	support_relay_clear(&fixture);
	g_free(part);
}

static CU_TestInfo relay_standby_tests[] = {
	{ "endless_answer_of_left_attempt_is_broken_off",
	  endless_answer_of_left_attempt_is_broken_off },
	{ "request_does_not_go_back_to_partly_dropped_answer",
	  request_does_not_go_back_to_partly_dropped_answer },
	{ "content_of_left_attempt_with_progress_is_not_suspect",
	  content_of_left_attempt_with_progress_is_not_suspect },
	{ "large_answer_of_another_kind_is_not_mixed_with_left_stream",
	  large_answer_of_another_kind_is_not_mixed_with_left_stream },
	{ "error_keeps_its_body_as_left_attempt_fails",
	  error_keeps_its_body_as_left_attempt_fails },
	{ "repeated_event_of_left_attempt_is_ignored",
	  repeated_event_of_left_attempt_is_ignored },
	{ "running_stream_is_not_given_up_before_another_goes_on",
	  running_stream_is_not_given_up_before_another_goes_on },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay_standby",
				    .pTests = relay_standby_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
