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

static CU_TestInfo event_pace_tests[] = {
	{ "longest_gap_is_recorded_with_its_cause",
	  longest_gap_is_recorded_with_its_cause },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "event_pace",
				    .pTests = event_pace_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
