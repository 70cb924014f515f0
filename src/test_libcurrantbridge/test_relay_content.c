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

static CU_TestInfo content_tests[] = { { "only_ended_processes_count_as_ended",
					 only_ended_processes_count_as_ended },
				       CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "content",
				    .pTests = content_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
