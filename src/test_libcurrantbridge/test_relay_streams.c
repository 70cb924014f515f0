#include "support_main.h"

#include <string.h>

#include "support_answers.h"
#include "support_relay.h"

/*
 * Tests how relayed answers end, and streams that are resumed or moved.
 */

/*
 * A stream that is reset in the middle of an event must resume at another
 * server after the last complete event.  Guards against events that the caller
 * receives twice or never, and against a second head.
 */
static void reset_stream_resumes_at_another_server(void)
{
	static const relay_script_t scripts[] = {
		{ STREAM_HEAD "1b\r\nid: 1\ndata: a\n\nid: 2\ndata:\r\n",
		  END_RESET },
		{ STREAM_HEAD "1e\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\r\n"
			      "0\r\n\r\n",
		  END_KEEP },
	};
	relay_fixture_t fixture;
	const char *text;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = 2;
	support_relay_request_send(&fixture, REQUEST("POST", "/stream/",
						     "Content-Length: 0\r\n"));
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "0\r\n\r\n"));
	text = fixture.answer->str;
	CU_ASSERT_EQUAL(fixture.requests->len, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.requests->pdata[1], "\r\nAfter: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 1\ndata: a\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 2\ndata: b\n\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "id: 3\ndata: c\n\n"));
	CU_ASSERT_PTR_NULL(strstr(strstr(text, "id: 2") + 1, "id: 2"));
	CU_ASSERT_PTR_NULL(strstr(text + 1, "HTTP/1.1"));
	support_relay_clear(&fixture);
}

#define STREAM_REQUEST REQUEST("POST", "/stream/", "Content-Length: 0\r\n")
#define STREAM_ONCE_REQUEST \
	REQUEST("POST", "/stream-once/", "Content-Length: 0\r\n")
#define UNFRAMED_HEAD "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\n\r\n"
#define LENGTH_HEAD \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nContent-Length: 27\r\n\r\n"
#define CUT_EVENT_2 "id: 2\ndata: "
/* The rest of the stream after EVENT_1, as another server sends it. */
#define REST_OF_STREAM STREAM_HEAD LAST_EVENT

/* What the caller gets at the end of its answer. */
typedef enum answer_end {
	ANSWER_COMPLETE,
	ANSWER_BROKEN_OFF, /* the connection ends without the last chunk */
	ANSWER_REFUSED,	   /* a whole answer with status 502 */
} answer_end_t;

typedef struct stream_end_case {
	const char *description; /* printed if the case fails */
	const char *request;	 /* the caller's request */
	relay_script_t scripts[3];
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

/* Runs one case; FALSE: the caller got something else than expected. */
static gboolean stream_end_case_run_(const stream_end_case_t *c)
{
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	gboolean is_as_expected;
	uint32_t status = 0;
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = c->scripts;
	fixture.script_count = G_N_ELEMENTS(c->scripts);
	support_relay_request_send(&fixture, c->request);
	is_complete = support_relay_answer_await(&fixture, &status, body);
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
	support_relay_clear(&fixture);
	g_string_free(body, TRUE);
	return is_as_expected;
}

/* The first event of a stream that is reset then, and the answer that follows. */
#define BEGUN_STREAM                                          \
	{                                                     \
		STREAM_HEAD "f\r\n" EVENT_1 "\r\n", END_RESET \
	}
#define ERROR_TEXT "data: the engine failed\n\n"

static const stream_end_case_t resume_error_cases[] = {
	{ "resumed: 500 with a length",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 500 X\r\nId: 7\r\nContent-Length: 25\r\n\r\n" ERROR_TEXT,
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 500 in chunks",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 500 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
	      "19\r\n" ERROR_TEXT "\r\n0\r\n\r\n",
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 404 until the close",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 404 X\r\nId: 7\r\n\r\n" ERROR_TEXT, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 503 without proof that it did not run",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 503 X\r\nId: 7\r\nContent-Length: 25\r\n\r\n" ERROR_TEXT,
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 503 with that proof, then the rest",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n"
	      "Content-Length: 25\r\n\r\n" ERROR_TEXT,
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  3,
	  ANSWER_COMPLETE,
	  EVENT_1 EVENT_2 },
	{ "resumed: 206",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 206 X\r\nId: 7\r\nContent-Length: 25\r\n\r\n" ERROR_TEXT,
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 200 with a page of another type",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: text/html\r\n"
	      "Content-Length: 25\r\n\r\n" ERROR_TEXT,
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: 200 with JSON",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: application/json\r\n"
	      "Content-Length: 15\r\n\r\n{\"error\":\"bad\"}",
	      END_KEEP },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
	{ "resumed: bytes that are no answer",
	  STREAM_REQUEST,
	  { BEGUN_STREAM,
	    { ERROR_TEXT, END_CLOSE },
	    { REST_OF_STREAM, END_KEEP } },
	  2,
	  ANSWER_BROKEN_OFF,
	  EVENT_1 },
};

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
	const relay_script_t scripts[] = { { text, row->is_reset ? END_RESET :
								   END_CLOSE },
					   { COMPLETE_ANSWER, END_KEEP } };
	gboolean expects_whole = relay_answer_is_whole_(row, play->is_stream);
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	uint32_t status = 0;
	relay_fixture_t fixture;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	fixture.sends_single_bytes = play->sends_single_bytes;
	support_relay_request_send(&fixture, play->is_stream ?
						     STREAM_ONCE_REQUEST :
						     ONCE_REQUEST);
	is_complete = support_relay_answer_await(&fixture, &status, body);
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
	support_relay_clear(&fixture);
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

/*
 * Where a stream breaks off and the next server answers with an error, nothing
 * of that answer may get into the stream, nor may the stream end as complete.
 */
static void error_of_next_server_stays_out_of_stream(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(resume_error_cases); i++)
		CU_ASSERT_TRUE(stream_end_case_run_(&resume_error_cases[i]));
}

/* The Content-Type of a stream, and of the answer that is to resume it. */
typedef struct stream_type_case {
	const char *first;  /* NULL: no such header */
	const char *second; /* the same */
	gboolean is_resumed;
} stream_type_case_t;

static const stream_type_case_t stream_type_cases[] = {
	{ "text/event-stream", "text/event-stream", TRUE },
	{ "text/event-stream", "text/event-stream; charset=utf-8", TRUE },
	{ "text/event-stream;charset=UTF-8", "text/event-stream", TRUE },
	{ "text/event-stream", "Text/Event-Stream", TRUE },
	{ "text/event-stream", "text/event-stream\t ;q=1", TRUE },
	{ "text/event-stream", "text/event-stream;", TRUE },
	{ NULL, NULL, TRUE },
	{ "text/event-stream", "text/html; charset=utf-8", FALSE },
	{ "text/event-stream", "text/event-stream2", FALSE },
	{ "text/event-stream", "text/event", FALSE },
	{ "text/event-stream", "", FALSE },
	{ "text/event-stream", "text/plain; text/event-stream", FALSE },
	{ "text/event-stream", NULL, FALSE },
	{ NULL, "text/event-stream", FALSE },
};

/* Returns a stream's head and first or last event; the caller frees it. */
static char *typed_stream_format_(const char *type, const char *events)
{
	return g_strdup_printf("HTTP/1.1 200 OK\r\nId: 7\r\n%s%s%s"
			       "Transfer-Encoding: chunked\r\n\r\n%s",
			       type ? "Content-Type: " : "", type ? type : "",
			       type ? "\r\n" : "", events);
}

/* Returns whether a stream is resumed if the types allow it, and only then. */
static gboolean stream_type_case_run_(const stream_type_case_t *c)
{
	char *first = typed_stream_format_(c->first, "f\r\n" EVENT_1 "\r\n");
	char *second = typed_stream_format_(c->second, LAST_EVENT);
	char *description = g_strdup_printf("resumed: type %s, then %s",
					    c->first ? c->first : "none",
					    c->second ? c->second : "none");
	const stream_end_case_t play = {
		description,
		STREAM_REQUEST,
		{ { first, END_RESET }, { second, END_KEEP } },
		2,
		c->is_resumed ? ANSWER_COMPLETE : ANSWER_BROKEN_OFF,
		c->is_resumed ? EVENT_1 EVENT_2 : EVENT_1
	};
	gboolean is_as_expected = stream_end_case_run_(&play);

	g_free(description);
	g_free(first);
	g_free(second);
	return is_as_expected;
}

/* Guards against a stream that is cut since servers write its type in two ways. */
static void stream_is_resumed_whatever_way_its_type_is_written(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(stream_type_cases); i++)
		CU_ASSERT_TRUE(stream_type_case_run_(&stream_type_cases[i]));
}

#define SCRIPTS_MAX 256
/* 60% of the route's target for the time between two events. */
#define FIRST_CHECK_MS 120
#define RECHECK_MS 60
/* An engine that refuses calls for so long, and is not heard, has ended. */
#define REFUSAL_PROOF_MS 50

/* Returns the index of the engine that runs the last layer of a request. */
static int second_engine_find_(const relay_fixture_t *fixture)
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
static void engine_stream_start_with_(relay_fixture_t *fixture,
				      unsigned int engine_count,
				      const relay_script_t *scripts,
				      unsigned int script_count)
{
	unsigned int i;

	support_relay_init(fixture, TRUE);
	for (i = 0; i < engine_count; i++)
		support_relay_engine_announce(fixture, i);
	world_run_until(fixture->world, NULL, 1000);
	fixture->scripts = scripts;
	fixture->script_count = script_count;
	support_relay_request_send(fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(fixture, 0, "id: 1"));
}

/* The same with three engines, of which two hold the last layer. */
static void engine_stream_start_(relay_fixture_t *fixture,
				 const relay_script_t *scripts,
				 unsigned int script_count)
{
	engine_stream_start_with_(fixture, SERVER_COUNT, scripts, script_count);
}

/* Returns whether the instance tells the others that it suspects a server. */
static gboolean server_is_suspected_(const relay_fixture_t *fixture,
				     const char *id)
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
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	relay_fixture_t fixture;

	engine_stream_start_with_(&fixture, 2, scripts, G_N_ELEMENTS(scripts));
	fixture.lost_server = 1;
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, 1));
	(void)calls_wait_(fixture.reroutes, 1);
	CU_ASSERT_EQUAL(fixture.reroutes->len, 0);
	CU_ASSERT_TRUE(server_is_suspected_(&fixture, "engine1"));
	CU_ASSERT_FALSE(server_is_suspected_(&fixture, "engine0"));
	support_relay_clear(&fixture);
}

/* Checks that one reroute keeps the first engine and replaces the lost one. */
static void reroute_check_(const relay_fixture_t *fixture)
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
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	relay_fixture_t fixture;

	engine_stream_start_(&fixture, scripts, G_N_ELEMENTS(scripts));
	fixture.lost_server = second_engine_find_(&fixture);
	cb_clock_advance(fixture.world->clock, FIRST_CHECK_MS - 1);
	CU_ASSERT_EQUAL(fixture.report_addresses->len, 0);
	cb_clock_advance(fixture.world->clock, 1);
	reroute_check_(&fixture);
	CU_ASSERT_EQUAL(fixture.requests->len, 1);
	support_relay_clear(&fixture);
}

/*
 * An engine's report may be older than the last reroute and still name the lost
 * engine.  The stream, which has left that one, must stay where it is and still
 * be checked.
 */
static void outdated_report_does_not_move_stream_again(void)
{
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	relay_fixture_t fixture;
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
	support_relay_clear(&fixture);
}

/* A stream that is only slow stays where it is, and is checked less often. */
static void slow_stream_stays(void)
{
	static const relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD } };
	/* Number of reports after FIRST_CHECK_MS and each RECHECK_MS more. */
	static const unsigned int expected_reports[] = { 1, 2, 3, 4, 4, 5, 5 };
	relay_fixture_t fixture;
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
	support_relay_clear(&fixture);
}

/*
 * An engine that a rejection names, that refuses connections for a while and of which
 * nothing is heard is lost: the streams that pass through it must be moved before they
 * fall silent.
 */
static void rejection_moves_streams_of_lost_engine(void)
{
	relay_script_t scripts[SCRIPTS_MAX];
	relay_fixture_t fixture;
	char *rejection;
	char *address;
	size_t i;

	for (i = 0; i < SCRIPTS_MAX; i++)
		scripts[i] = (relay_script_t){ FIRST_EVENT, END_HOLD };
	engine_stream_start_(&fixture, scripts, SCRIPTS_MAX);
	fixture.lost_server = second_engine_find_(&fixture);
	address =
		support_relay_server_address(&fixture,
					     (unsigned int)fixture.lost_server);
	rejection = g_strdup_printf("HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n"
				    "Fault: %s\r\nContent-Length: 0\r\n\r\n",
				    address);
	scripts[1] = (relay_script_t){ rejection, END_KEEP };
	g_ptr_array_add(fixture.other_callers,
			g_steal_pointer(&fixture.caller));
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, 1));
	CU_ASSERT_STRING_EQUAL(fixture.report_addresses->pdata[0], address);
	support_relay_pass_time(&fixture, REFUSAL_PROOF_MS);
	reroute_check_(&fixture);
	/* The stream itself has not asked for a report. */
	CU_ASSERT_EQUAL(fixture.report_addresses->len, 2);
	CU_ASSERT_STRING_EQUAL(fixture.report_addresses->pdata[1], address);
	support_relay_clear(&fixture);
	g_free(rejection);
	g_free(address);
}

typedef struct refused_report_case {
	const char *description;
	int refused_engine; /* refuses calls for its report */
	/* Layers of the third engine, which can take over from the refusing one. */
	uint32_t spare_from;
	uint32_t spare_to;
	unsigned int event_interval_ms;
	unsigned int expected_sends; /* of the stream */
} refused_report_case_t;

static const refused_report_case_t refused_report_cases[] = {
	{ "first engine, steady stream", 0, 0, 1, 50, 1 },
	{ "first engine, stream as slow as allowed", 0, 0, 1, 110, 1 },
	{ "second engine, steady stream", 1, 1, 2, 50, 1 },
	{ "second engine, stream as slow as allowed", 1, 1, 2, 110, 1 },
};

/* Sends the stream's events `first` to `last`, one in each interval. */
static void paced_events_send_(relay_fixture_t *fixture, unsigned int first,
			       unsigned int last, unsigned int interval_ms)
{
	unsigned int id;

	for (id = first; id <= last; id++) {
		char *text =
			g_strdup_printf("f\r\nid: %u\ndata: a\n\n\r\n", id);

		support_relay_pass_time(fixture, interval_ms);
		support_relay_answer_continue(fixture, 0, text);
		g_free(text);
	}
}

/* Returns how many requests have the ID of the stream. */
static unsigned int stream_sends_count_(const relay_fixture_t *fixture)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < fixture->requests->len; i++)
		count += strstr(fixture->requests->pdata[i], "Id: 7\r\n") !=
			 NULL;
	return count;
}

static gboolean refused_report_case_run_(const refused_report_case_t *c)
{
	relay_script_t scripts[] = { { FIRST_EVENT, END_HOLD },
				     { NULL, END_KEEP } };
	relay_fixture_t fixture;
	gboolean is_as_expected;
	char *rejection;
	char *address;

	support_relay_init(&fixture, TRUE);
	support_relay_engine_announce(&fixture, 0);
	support_relay_engine_announce(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	address = support_relay_server_address(&fixture,
					       (unsigned int)c->refused_engine);
	rejection = g_strdup_printf("HTTP/1.1 503 X\r\nId: 8\r\nNot-Run: 1\r\n"
				    "Fault: %s\r\nContent-Length: 0\r\n\r\n",
				    address);
	scripts[1].text = rejection;
	fixture.scripts = scripts;
	fixture.script_count = G_N_ELEMENTS(scripts);
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	CU_ASSERT_TRUE_FATAL(support_relay_run_until(&fixture, 0, EVENT_1));
	support_relay_layers_announce(&fixture, 2, 1, c->spare_from,
				      c->spare_to);
	paced_events_send_(&fixture, 2, 5, c->event_interval_ms);
	fixture.lost_server = c->refused_engine;
	g_ptr_array_add(fixture.other_callers, fixture.caller);
	fixture.caller = NULL;
	support_relay_request_send(&fixture, OTHER_ENGINE_REQUEST);
	CU_ASSERT_TRUE(calls_wait_(fixture.report_addresses, 1));
	paced_events_send_(&fixture, 6, 9, c->event_interval_ms);
	is_as_expected = fixture.report_addresses->len &&
			 !fixture.reroutes->len &&
			 stream_sends_count_(&fixture) == c->expected_sends;
	if (!is_as_expected)
		printf("    %s: %u report calls, %u reroutes, %u sends\n",
		       c->description, fixture.report_addresses->len,
		       fixture.reroutes->len, stream_sends_count_(&fixture));
	support_relay_clear(&fixture);
	g_free(rejection);
	g_free(address);
	return is_as_expected;
}

/* Guards against a sound stream that is cut or moved since other calls failed. */
static void stream_with_events_outlives_refused_report_calls(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refused_report_cases); i++)
		CU_ASSERT_TRUE(
			refused_report_case_run_(&refused_report_cases[i]));
}

static CU_TestInfo relay_streams_tests[] = {
	{ "stream_is_resumed_whatever_way_its_type_is_written",
	  stream_is_resumed_whatever_way_its_type_is_written },
	{ "stream_with_events_outlives_refused_report_calls",
	  stream_with_events_outlives_refused_report_calls },
	{ "reset_stream_resumes_at_another_server",
	  reset_stream_resumes_at_another_server },
	{ "cut_answer_is_not_forwarded_as_whole",
	  cut_answer_is_not_forwarded_as_whole },
	{ "stream_without_ids_is_not_joined_with_another",
	  stream_without_ids_is_not_joined_with_another },
	{ "error_of_next_server_stays_out_of_stream",
	  error_of_next_server_stays_out_of_stream },
	{ "broken_off_stream_does_not_end_as_complete",
	  broken_off_stream_does_not_end_as_complete },
	{ "stalled_stream_is_moved", stalled_stream_is_moved },
	{ "outdated_report_does_not_move_stream_again",
	  outdated_report_does_not_move_stream_again },
	{ "only_lost_engine_is_suspected", only_lost_engine_is_suspected },
	{ "slow_stream_stays", slow_stream_stays },
	{ "rejection_moves_streams_of_lost_engine",
	  rejection_moves_streams_of_lost_engine },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay_streams",
				    .pTests = relay_streams_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
