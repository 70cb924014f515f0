#include "support_main.h"

#include "private/event_pace.h"

#define EVENTS_MAX 8

typedef struct pace_case {
	const char *description; /* printed if the case fails */
	/* Times of the events in ms; 0 ends the list. */
	int64_t times_ms[EVENTS_MAX];
	/* Index of the event before which a cause is recorded; 0: none. */
	unsigned int cause_index;
	int64_t expected_longest_gap_ms;
	gboolean expects_cause;
} pace_case_t;

static const pace_case_t pace_cases[] = {
	{ "no gap before the second event", { 1000 }, 0, 0, FALSE },
	{ "events of one millisecond count as one",
	  { 1000, 1000, 1000 },
	  0,
	  0,
	  FALSE },
	{ "the longest of several gaps",
	  { 1000, 1050, 1400, 1450 },
	  0,
	  350,
	  FALSE },
	{ "the longest gap has the cause that was recorded in it",
	  { 1000, 1050, 1400, 1450 },
	  2,
	  350,
	  TRUE },
	{ "a cause recorded in a shorter gap is not that of the longest",
	  { 1000, 1050, 1400, 1450 },
	  3,
	  350,
	  FALSE },
};

/* Guards against gaps and causes in the log that the caller did not have. */
static void longest_gap_is_recorded_with_its_cause(void)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(pace_cases); i++) {
		const pace_case_t *c = &pace_cases[i];
		cb_event_pace_t pace = { 0 };
		gboolean is_expected;

		for (k = 0; k < EVENTS_MAX && c->times_ms[k]; k++) {
			if (c->cause_index && c->cause_index == k)
				cb_event_pace_set_cause(&pace, "rerouted");
			cb_event_pace_add(&pace, c->times_ms[k]);
		}
		is_expected =
			pace.longest_gap_ms == c->expected_longest_gap_ms &&
			(pace.longest_gap_cause != NULL) == c->expects_cause;
		CU_ASSERT_TRUE(is_expected);
		if (!is_expected)
			printf("    %s: %d ms\n", c->description,
			       (int)pace.longest_gap_ms);
	}
}

#define ALLOWED_GAP_MS 200
#define EVENT_COUNT 60

typedef struct silence_case {
	const char *description; /* printed if the case fails */
	int64_t gap_ms;	     /* gap between EVENT_COUNT events; 0: one event */
	unsigned int checks; /* checks since the last event */
	int64_t expected_ms;
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ "before a second event", 0, 0, 120 },
	{ "usual gaps far below the allowed pause", 40, 0, 120 },
	{ "usual gaps near the allowed pause", 160, 0, 160 },
	{ "usual gaps over the allowed pause", 400, 0, 200 },
	{ "after a first check", 40, 1, 60 },
	{ "after a third check", 40, 3, 60 },
	{ "after a fourth check", 40, 4, 120 },
	{ "after a fifth check", 40, 5, 240 },
	{ "after many checks", 40, 60, 300 },
};

/*
 * A stream must be checked early enough to be moved within the allowed pause,
 * but one that is always slow must not be checked after each event.
 */
static void silence_depends_on_usual_gaps(void)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		const silence_case_t *c = &silence_cases[i];
		cb_event_pace_t pace = { 0 };
		int64_t silence_ms;

		cb_event_pace_add(&pace, 1000);
		for (k = 1; c->gap_ms && k < EVENT_COUNT; k++)
			cb_event_pace_add(&pace, 1000 + k * c->gap_ms);
		for (k = 0; k < c->checks; k++)
			cb_event_pace_count_check(&pace, TRUE);
		silence_ms = cb_event_pace_silence_ms(&pace, ALLOWED_GAP_MS);
		CU_ASSERT_EQUAL(silence_ms, c->expected_ms);
		if (silence_ms != c->expected_ms)
			printf("    %s: %d ms\n", c->description,
			       (int)silence_ms);
	}
}

/*
 * A stream of an engine that is only slow must be checked rarely: each check
 * costs a request to the engine.  One normal gap ends that.
 */
static void slow_streams_are_checked_rarely(void)
{
	static const struct {
		/* Checks in the gap before, and in the current one. */
		unsigned int checks_before;
		unsigned int checks;
		int64_t expected_ms;
	} cases[] = { { 0, 0, 120 },
		      { 2, 0, 120 },
		      { 3, 0, 300 },
		      { 3, 1, 600 },
		      { 9, 2, 1200 } };
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_event_pace_t pace = { 0 };

		cb_event_pace_add(&pace, 1000);
		cb_event_pace_add(&pace, 1040);
		for (k = 0; k < cases[i].checks_before; k++)
			cb_event_pace_count_check(&pace, TRUE);
		cb_event_pace_add(&pace, 1080);
		for (k = 0; k < cases[i].checks; k++)
			cb_event_pace_count_check(&pace, TRUE);
		CU_ASSERT_EQUAL(cb_event_pace_silence_ms(&pace, ALLOWED_GAP_MS),
				cases[i].expected_ms);
		cb_event_pace_add(&pace, 1120);
		if (cases[i].checks < 3)
			CU_ASSERT_EQUAL(
				cb_event_pace_silence_ms(&pace, ALLOWED_GAP_MS),
				120);
	}
}

static CU_TestInfo event_pace_tests[] = {
	{ "longest_gap_is_recorded_with_its_cause",
	  longest_gap_is_recorded_with_its_cause },
	{ "silence_depends_on_usual_gaps", silence_depends_on_usual_gaps },
	{ "slow_streams_are_checked_rarely", slow_streams_are_checked_rarely },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "event_pace",
				    .pTests = event_pace_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
