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

int main(void)
{
	CU_TestInfo tests[] = {
		{ "forwarded_request_is_answered_truthfully",
		  forwarded_request_is_answered_truthfully },
		{ "caller_can_not_forward", caller_can_not_forward },
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = { { .pName = "relay_forward", .pTests = tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
