#include "support_main.h"

#include "private/silence.h"

/* Tests the decisions on a stream whose server says nothing. */

/* Longer and shorter than streams wait while all servers are silent. */
#define LONG_MS 2000
#define SHORT_MS 300

typedef struct silence_case {
	cb_silence_t input;
	cb_silence_action_t expected;
} silence_case_t;

static const silence_case_t silence_cases[] = {
	/* An engine is asked for its report first, whatever else is known. */
	{ { CB_SILENCE_EVENT_OVERDUE, TRUE, CB_SILENCE_PEERS_SILENT, FALSE,
	    FALSE, SHORT_MS, FALSE },
	  CB_SILENCE_ASK },
	{ { CB_SILENCE_EVENT_OVERDUE, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    LONG_MS, FALSE },
	  CB_SILENCE_ASK },
	/* Nothing shows whether the server is lost. */
	{ { CB_SILENCE_EVENT_OVERDUE, FALSE, CB_SILENCE_PEERS_HEARD, TRUE,
	    FALSE, SHORT_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_EVENT_OVERDUE, FALSE, CB_SILENCE_PEERS_UNKNOWN, TRUE,
	    FALSE, SHORT_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_EVENT_OVERDUE, FALSE, CB_SILENCE_PEERS_SILENT, TRUE,
	    FALSE, SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_EVENT_OVERDUE, FALSE, CB_SILENCE_PEERS_SILENT, TRUE,
	    FALSE, LONG_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_NO_REPORT, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_NO_REPORT, TRUE, CB_SILENCE_PEERS_SILENT, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	/* This process can't ask the server, which may be sound. */
	{ { CB_SILENCE_UNASKED, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_UNASKED, TRUE, CB_SILENCE_PEERS_HEARD, FALSE, FALSE,
	    LONG_MS, FALSE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_UNASKED, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    LONG_MS, FALSE },
	  CB_SILENCE_RESTART },
	/* The server refuses new connections, and its first event is in time. */
	{ { CB_SILENCE_REFUSED, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_REFUSED, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, TRUE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	/* The server, or one that it waits for, is shown to be lost. */
	{ { CB_SILENCE_LOST, TRUE, CB_SILENCE_PEERS_SILENT, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_STALLED, TRUE, CB_SILENCE_PEERS_SILENT, FALSE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_REROUTE },
	{ { CB_SILENCE_NO_REROUTE, TRUE, CB_SILENCE_PEERS_SILENT, TRUE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_RESTART },
	{ { CB_SILENCE_NO_REROUTE, TRUE, CB_SILENCE_PEERS_HEARD, FALSE, FALSE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_NO_REROUTE, TRUE, CB_SILENCE_PEERS_HEARD, FALSE, TRUE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_FAIL },
	{ { CB_SILENCE_LOST, TRUE, CB_SILENCE_PEERS_HEARD, FALSE, TRUE,
	    SHORT_MS, FALSE },
	  CB_SILENCE_WAIT },
	/* The stream's own next event is not due yet, whatever else is lost. */
	{ { CB_SILENCE_LOST, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, TRUE, SHORT_MS,
	    TRUE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_NO_REROUTE, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    SHORT_MS, TRUE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_NO_REROUTE, TRUE, CB_SILENCE_PEERS_HEARD, FALSE, TRUE,
	    SHORT_MS, TRUE },
	  CB_SILENCE_WAIT },
	{ { CB_SILENCE_STALLED, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    SHORT_MS, TRUE },
	  CB_SILENCE_REROUTE },
	/* The server works; another one would begin again. */
	{ { CB_SILENCE_WORKING, TRUE, CB_SILENCE_PEERS_HEARD, TRUE, FALSE,
	    LONG_MS, FALSE },
	  CB_SILENCE_WAIT },
};

static void decision_follows_from_what_is_known(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++)
		CU_ASSERT_EQUAL(cb_silence_decide(&silence_cases[i].input),
				silence_cases[i].expected);
}

/*
 * An attempt that nothing can follow is never left while none of its servers is
 * shown to have ended.
 */
static void attempt_is_kept_if_none_can_follow(void)
{
	cb_silence_t input = { .may_restart = FALSE };
	int sign;
	int peers;

	for (sign = 0; sign < CB_SILENCE_SIGN_COUNT; sign++)
		for (peers = CB_SILENCE_PEERS_UNKNOWN;
		     peers <= CB_SILENCE_PEERS_SILENT; peers++) {
			input.sign = (cb_silence_sign_t)sign;
			input.peers = (cb_silence_peers_t)peers;
			for (input.gives_reports = FALSE;
			     input.gives_reports <= TRUE; input.gives_reports++)
				for (input.silent_ms = 0;
				     input.silent_ms <= 20000;
				     input.silent_ms += 100)
					CU_ASSERT_NOT_EQUAL(cb_silence_decide(
								    &input),
							    CB_SILENCE_RESTART);
		}
}

static CU_TestInfo silence_tests[] = { { "decision_follows_from_what_is_known",
					 decision_follows_from_what_is_known },
				       { "attempt_is_kept_if_none_can_follow",
					 attempt_is_kept_if_none_can_follow },
				       CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "silence",
				    .pTests = silence_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
