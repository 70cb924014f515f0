#include "support_main.h"

#include <string.h>

#include "private/route_times.h"
#include "support_relay.h"

/*
 * Tests which requests an instance still starts during a drain, by how long the
 * requests of their route take.
 */

/* Interval of a server's events, and the streams before the drain. */
#define EVENT_INTERVAL_MS 100
#define SERVED_COUNT 3
#define STREAM_REQUEST                                             \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nKey: k\r\n" \
	"Left: 20000\r\nContent-Length: 0\r\n\r\n"

/* Returns whether the stream that was sent last is served whole in a time. */
static gboolean stream_is_served_(relay_fixture_t *fixture, int64_t duration_ms)
{
	unsigned int request = fixture->requests->len - 1;
	GString *body = g_string_new(NULL);
	uint32_t status = 0;
	gboolean is_complete;
	int64_t elapsed_ms;
	char event[64];
	int id = 0;

	for (elapsed_ms = 0; elapsed_ms < duration_ms;
	     elapsed_ms += EVENT_INTERVAL_MS) {
		g_snprintf(event, sizeof(event),
			   "10\r\nid: %02d\ndata: a\n\n\r\n", ++id);
		support_relay_answer_continue(fixture, request, event);
		support_relay_pass_time(fixture, EVENT_INTERVAL_MS);
	}
	support_relay_answer_continue(fixture, request, "0\r\n\r\n");
	is_complete = support_relay_answer_await(fixture, &status, body);
	g_string_free(body, TRUE);
	return is_complete && status == 200 &&
	       fixture->requests->len == request + 1;
}

typedef struct drain_case {
	const char *description; /* printed if the case fails */
	int64_t grace_ms;	 /* time allowed for the drain */
	int64_t arrival_ms;	 /* after its start */
	int64_t duration_ms;	 /* time that each stream takes */
	gboolean has_served;	 /* whether streams were served before */
	gboolean is_started;
} drain_case_t;

static const drain_case_t drain_cases[] = {
	{ "long for a short drain", 1700, 200, 1500, TRUE, FALSE },
	{ "too long by a little", 1700, 100, 1400, TRUE, FALSE },
	{ "short, at first", 1700, 100, 300, TRUE, TRUE },
	{ "short, with half of the drain left", 1700, 800, 300, TRUE, TRUE },
	{ "short, at the end", 1700, 1500, 300, TRUE, FALSE },
	{ "of unknown duration, in a short drain", 1700, 100, 1500, FALSE,
	  FALSE },
	{ "long, at first in a long drain", 7700, 100, 3200, TRUE, TRUE },
	{ "long, later in a long drain", 7700, 2400, 3200, TRUE, TRUE },
	{ "of unknown duration, in a long drain", 7700, 2400, 3200, FALSE,
	  TRUE },
	{ "long, in a drain of 4 s", 3700, 1000, 3200, TRUE, FALSE },
};

/* Returns whether an instance starts a case's stream or refuses it, as it must. */
static gboolean drain_case_run_(const drain_case_t *c)
{
	static const relay_script_t scripts[] = {
		{ STREAM_HEAD, END_HOLD },
		{ STREAM_HEAD, END_HOLD },
		{ STREAM_HEAD, END_HOLD },
		{ STREAM_HEAD, END_HOLD },
	};
	unsigned int served = c->has_served ? SERVED_COUNT : 0;
	relay_fixture_t fixture;
	cb_service_t *service;
	gboolean is_as_expected = TRUE;
	unsigned int i;

	support_relay_init(&fixture, TRUE);
	fixture.scripts = scripts;
	fixture.script_count = served + 1;
	for (i = 0; i < served; i++) {
		support_relay_request_send(&fixture, STREAM_REQUEST);
		CU_ASSERT_TRUE(support_relay_run_until(&fixture, i + 1, NULL));
		CU_ASSERT_TRUE(stream_is_served_(&fixture, c->duration_ms));
	}
	fixture.front->grace_ms = c->grace_ms;
	service = (cb_service_t *)fixture.front;
	service->vtable->drain(service);
	support_relay_pass_time(&fixture, c->arrival_ms);
	support_relay_request_send(&fixture, STREAM_REQUEST);
	if (c->is_started)
		is_as_expected =
			support_relay_run_until(&fixture, served + 1, NULL) &&
			stream_is_served_(&fixture, c->duration_ms);
	else
		is_as_expected =
			support_relay_run_until(&fixture, 0, "stopping") &&
			fixture.requests->len == served &&
			strstr(fixture.answer->str, "HTTP/1.1 503 ") &&
			strstr(fixture.answer->str, "Retry-After: 0.100\r\n") &&
			strstr(fixture.answer->str, "Connection: close\r\n");
	support_relay_clear(&fixture);
	return is_as_expected;
}

/*
 * A stream that arrived in the first third of a short drain was started, however
 * long the route's streams were, and cut off at its end.
 */
static void drain_starts_only_streams_that_usually_end_in_it(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(drain_cases); i++) {
		gboolean is_as_expected = drain_case_run_(&drain_cases[i]);

		CU_ASSERT_TRUE(is_as_expected);
		if (!is_as_expected)
			printf("    %s\n", drain_cases[i].description);
	}
}

/* Durations of one route, and the bounds of what is then expected. */
typedef struct duration_case {
	const char *description; /* printed if the case fails */
	int64_t durations_ms[4]; /* repeated in turn */
	unsigned int count;	 /* durations that are added */
	int64_t min_ms;
	int64_t max_ms;
} duration_case_t;

static const duration_case_t duration_cases[] = {
	{ "none", { 0 }, 0, 5000, 5000 },
	{ "one", { 1000, 1000, 1000, 1000 }, 1, 1500, 2500 },
	{ "equal ones", { 1000, 1000, 1000, 1000 }, 40, 1200, 1300 },
	{ "short ones after long ones",
	  { 2000, 500, 500, 500 },
	  40,
	  1800,
	  2400 },
	{ "unequal ones", { 500, 1500, 500, 1500 }, 40, 1600, 2400 },
	{ "a rare long one before short ones",
	  { 100, 100, 100, 100 },
	  400,
	  120,
	  200 },
};

/* A route's expected duration must exceed the usual ones, and not by much. */
static void expected_duration_exceeds_the_usual_ones(void)
{
	size_t i;
	unsigned int j;

	for (i = 0; i < G_N_ELEMENTS(duration_cases); i++) {
		const duration_case_t *c = &duration_cases[i];
		cb_route_times_t *times = cb_route_times_new();
		int64_t expected_ms;

		if (strstr(c->description, "rare"))
			cb_route_times_add(times, "r", 3000);
		cb_route_times_add(times, "other", 100000);
		for (j = 0; j < c->count; j++)
			cb_route_times_add(
				times, "r",
				c->durations_ms[j %
						G_N_ELEMENTS(c->durations_ms)]);
		expected_ms = cb_route_times_expect_ms(times, "r");
		CU_ASSERT_TRUE(expected_ms >= c->min_ms &&
			       expected_ms <= c->max_ms);
		if (expected_ms < c->min_ms || expected_ms > c->max_ms)
			printf("    %s: %d ms\n", c->description,
			       (int)expected_ms);
		cb_route_times_delete(times);
	}
}

#define ROUTE_COUNT 1000

/* Documents that replace routes again and again must not fill the memory. */
static void dropped_routes_are_forgotten(void)
{
	cb_route_times_t *times = cb_route_times_new();
	char kept_name[] = "r1";
	cb_route_t route = { .name = kept_name };
	GPtrArray *routes = g_ptr_array_new();
	char name[16];
	int i;

	for (i = 0; i < ROUTE_COUNT; i++) {
		g_snprintf(name, sizeof(name), "r%d", i);
		cb_route_times_add(times, name, 100);
	}
	g_ptr_array_add(routes, &route);
	cb_route_times_prune(times, routes);
	CU_ASSERT_TRUE(cb_route_times_expect_ms(times, "r1") < 1000);
	CU_ASSERT_EQUAL(cb_route_times_expect_ms(times, "r2"), 5000);
	g_ptr_array_unref(routes);
	cb_route_times_delete(times);
}

static CU_TestInfo relay_drain_tests[] = {
	{ "drain_starts_only_streams_that_usually_end_in_it",
	  drain_starts_only_streams_that_usually_end_in_it },
	{ "expected_duration_exceeds_the_usual_ones",
	  expected_duration_exceeds_the_usual_ones },
	{ "dropped_routes_are_forgotten", dropped_routes_are_forgotten },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "relay_drain",
				    .pTests = relay_drain_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
