#include "support_main.h"

#include <stdio.h>
#include <string.h>

#include "support_relay.h"

/*
 * Tests streams that are under way while a document comes into force that has less
 * than the one by which they were begun, over real sockets and with a paused clock.
 */
#define BROKEN_CHUNK "no chunk\r\n"
#define SETTLE_MS 1500

/* What becomes of the stream under way after the change. */
typedef enum stream_fate {
	FATE_CONTINUED, /* its server goes on */
	FATE_RESUMED,	/* its server breaks off, and others hold all layers */
	FATE_LOST,	/* the same, and none holds the second layer any more */
	FATE_COUNT,
} stream_fate_t;

typedef struct change_case {
	const char *text; /* of the document that comes into force */
	/* Answer to the same request afterwards, if its layers are held. */
	uint32_t status;
	gboolean has_chain; /* whether that request names servers of layers */
} change_case_t;

static const change_case_t change_cases[] = {
	{ "all", 200, TRUE },
	{ "one layer", 200, TRUE },
	{ "no kinds", 503, FALSE },
	{ "no model", 200, FALSE },
	{ "no engine route", 404, FALSE },
	{ "no engine route, no service", 404, FALSE },
	{ "no routes", 404, FALSE },
	{ "no workspaces", 401, FALSE },
	{ "no workspaces, no routes, one layer", 404, FALSE },
	{ "small limits", 431, FALSE },
};

/* Sends the request again and checks how it is answered by the new document. */
static gboolean next_request_is_as_expected_(relay_fixture_t *fixture,
					     const change_case_t *c)
{
	unsigned int sent = fixture->requests->len;
	gboolean is_sent = c->status == 200;
	GString *body = g_string_new(NULL);
	gboolean is_as_expected;
	uint32_t status;

	/* This engine still reports the layers of a former, larger model. */
	support_relay_layers_announce(fixture, 1, 3, 0, 4000);
	support_relay_pass_time(fixture, 200);
	support_relay_request_send(fixture, ENGINE_REQUEST);
	if (!is_sent)
		support_relay_pass_time(fixture, SETTLE_MS);
	is_as_expected = support_relay_answer_await(fixture, &status, body) &&
			 status == c->status &&
			 fixture->requests->len == sent + is_sent;
	if (is_as_expected && is_sent)
		is_as_expected =
			c->has_chain == (strstr(fixture->requests->pdata[sent],
						"\r\n\r\nengine") != NULL);
	if (!is_as_expected)
		printf("    then: status %u, %u sent, %s\n", status,
		       fixture->requests->len - sent,
		       fixture->requests->len > sent ?
			       (char *)fixture->requests->pdata[sent] :
			       "");
	g_string_free(body, TRUE);
	return is_as_expected;
}

/* Ends the stream under way; returns whether its caller gets what it should. */
static gboolean stream_ends_as_expected_(relay_fixture_t *fixture,
					 stream_fate_t fate)
{
	GString *body = g_string_new(NULL);
	gboolean is_complete;
	gboolean is_as_expected;
	uint32_t status;

	if (fate == FATE_LOST) {
		support_relay_layers_announce(fixture, 1, 2, 0, 1);
		support_relay_layers_announce(fixture, 2, 2, 0, 1);
		support_relay_pass_time(fixture, 200);
	}
	support_relay_answer_continue(fixture, 0,
				      fate == FATE_CONTINUED ? LAST_EVENT :
							       BROKEN_CHUNK);
	if (fate == FATE_LOST)
		support_relay_pass_time(fixture, SETTLE_MS);
	is_complete = support_relay_answer_await(fixture, &status, body);
	is_as_expected = status == 200 && is_complete == (fate != FATE_LOST) &&
			 (!is_complete || !strcmp(body->str, EVENT_1 EVENT_2));
	if (!is_as_expected)
		printf("    ended: %d, status %u, %s\n", is_complete, status,
		       body->str);
	g_string_free(body, TRUE);
	return is_as_expected;
}

static gboolean change_case_run_(const change_case_t *c, stream_fate_t fate)
{
	static const relay_script_t resumed[] = {
		{ FIRST_EVENT, END_HOLD },
		{ STREAM_HEAD LAST_EVENT, END_KEEP },
		{ FIRST_EVENT LAST_EVENT, END_KEEP },
	};
	static const relay_script_t others[] = {
		{ FIRST_EVENT, END_HOLD },
		{ FIRST_EVENT LAST_EVENT, END_KEEP },
	};
	relay_fixture_t fixture;
	gboolean is_as_expected;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = fate == FATE_RESUMED ? resumed : others;
	fixture.script_count = fate == FATE_RESUMED ? 3 : 2;
	for (i = 0; i < SERVER_COUNT; i++)
		support_relay_engine_announce(&fixture, i);
	world_run_until(fixture.world, NULL, 1000);
	support_relay_request_send(&fixture, ENGINE_REQUEST);
	is_as_expected = support_relay_run_until(&fixture, 0, EVENT_1);
	support_relay_document_put(&fixture, 2, c->text);
	is_as_expected &= stream_ends_as_expected_(&fixture, fate);
	is_as_expected &= next_request_is_as_expected_(&fixture, c);
	support_relay_pass_time(&fixture, SETTLE_MS);
	support_relay_clear(&fixture);
	return is_as_expected;
}

/*
 * A document with less than the one before ended processes (layers of the model),
 * or let strangers in (workspaces).
 */
static void streams_survive_documents_that_have_less(void)
{
	static const char *const fates[FATE_COUNT] = { "continued", "resumed",
						       "lost" };
	unsigned int fate;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(change_cases); i++) {
		for (fate = 0; fate < FATE_COUNT; fate++) {
			gboolean is_as_expected =
				change_case_run_(&change_cases[i], fate);

			CU_ASSERT_TRUE(is_as_expected);
			if (!is_as_expected)
				printf("    %s, %s\n", change_cases[i].text,
				       fates[fate]);
		}
	}
}

static CU_TestInfo change_tests[] = {
	{ "streams_survive_documents_that_have_less",
	  streams_survive_documents_that_have_less },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "document_changes",
				    .pTests = change_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
