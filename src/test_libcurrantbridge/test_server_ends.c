#include "support_main.h"

#include <string.h>

#include "private/server_ends.h"

/*
 * Tests which silent processes count as ended, on a paused clock and without a
 * network.
 */
#define START_MS 1000000
#define STEPS_MAX 8

/* What becomes known; processes are named by the time of their start. */
typedef enum step_kind {
	STEP_NONE,
	STEP_SILENCE,	/* an attempt leaves the process as silent */
	STEP_PROCESS,	/* the process has the address */
	STEP_ELSEWHERE, /* the process has another address */
	STEP_STOP,	/* the process is told to stop */
} step_kind_t;

typedef struct step {
	int64_t after_ms; /* time since the step before */
	step_kind_t kind;
	int64_t start_wall_ms;
} step_t;

typedef struct silence_case {
	const char *description; /* printed if the case fails */
	step_t steps[STEPS_MAX];
	/* Processes that have ended, each with its attempts: "START:COUNT ". */
	const char *expected;
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ "a later process has the address",
	  { { 0, STEP_SILENCE, 1 }, { 3000, STEP_PROCESS, 2 } },
	  "1:1 " },
	{ "it counts once",
	  { { 0, STEP_SILENCE, 1 },
	    { 3000, STEP_PROCESS, 2 },
	    { 500, STEP_PROCESS, 2 },
	    { 500, STEP_PROCESS, 3 } },
	  "1:1 " },
	{ "the same process has it",
	  { { 0, STEP_SILENCE, 1 }, { 3000, STEP_PROCESS, 1 } },
	  "" },
	{ "an earlier process has it, as late reports say",
	  { { 0, STEP_SILENCE, 2 }, { 3000, STEP_PROCESS, 1 } },
	  "" },
	{ "a later process has another address",
	  { { 0, STEP_SILENCE, 1 }, { 3000, STEP_ELSEWHERE, 2 } },
	  "" },
	{ "the process was told to stop",
	  { { 0, STEP_SILENCE, 1 },
	    { 1000, STEP_STOP, 1 },
	    { 2000, STEP_PROCESS, 2 } },
	  "" },
	{ "another process was told to stop",
	  { { 0, STEP_SILENCE, 1 },
	    { 1000, STEP_STOP, 2 },
	    { 2000, STEP_PROCESS, 3 } },
	  "1:1 " },
	{ "the silence is too long ago",
	  { { 0, STEP_SILENCE, 1 }, { 15001, STEP_PROCESS, 2 } },
	  "" },
	{ "one silence is too long ago, another is not",
	  { { 0, STEP_SILENCE, 1 },
	    { 10000, STEP_SILENCE, 1 },
	    { 0, STEP_SILENCE, 1 },
	    { 6000, STEP_PROCESS, 2 } },
	  "1:2 " },
	{ "two processes end one after the other",
	  { { 0, STEP_SILENCE, 1 },
	    { 3000, STEP_PROCESS, 2 },
	    { 500, STEP_SILENCE, 2 },
	    { 3000, STEP_PROCESS, 3 } },
	  "1:1 2:1 " },
};

static void ended_append_(const cb_relay_hop_t *server, cb_server_check_t check,
			  const GPtrArray *attempts, void *user_data)
{
	CU_ASSERT_EQUAL(check, CB_SERVER_CHECK_REPLACED);
	g_string_append_printf(user_data, "%d:%u ", (int)server->start_wall_ms,
			       attempts->len);
}

static void step_play_(cb_server_ends_t *ends, cb_clock_t *clock,
		       const step_t *step)
{
	const cb_relay_hop_t server = {
		.id = (char *)"a",
		.address = (char *)"127.0.0.1:1",
		.start_wall_ms = step->start_wall_ms,
	};
	GArray *features =
		g_array_new(FALSE, FALSE, sizeof(cb_content_feature_t));

	cb_clock_advance(clock, step->after_ms);
	if (step->kind == STEP_SILENCE)
		cb_server_ends_add_silence(
			ends, &server,
			cb_content_attempt_new(features, 0,
					       cb_clock_now_ms(clock)));
	else if (step->kind == STEP_STOP)
		cb_server_ends_forget_silence(ends, server.id,
					      server.start_wall_ms);
	else
		cb_server_ends_hear_process(ends,
					    step->kind == STEP_PROCESS ?
						    server.address :
						    "127.0.0.1:2",
					    server.start_wall_ms);
	g_array_unref(features);
}

/* Guards against silent processes that are wrongly taken for ended, or never are. */
static void silent_processes_end_with_their_successors(void)
{
	size_t i;
	size_t k;

	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		const silence_case_t *c = &silence_cases[i];
		GMainContext *context = g_main_context_new();
		cb_clock_t *clock = cb_clock_new_paused(START_MS);
		GString *ended = g_string_new(NULL);
		cb_server_ends_t *ends =
			cb_server_ends_new(context, clock, ended_append_,
					   ended);

		for (k = 0; k < STEPS_MAX && c->steps[k].kind; k++)
			step_play_(ends, clock, &c->steps[k]);
		CU_ASSERT_STRING_EQUAL(ended->str, c->expected);
		if (strcmp(ended->str, c->expected) != 0)
			printf("    %s: %s\n", c->description, ended->str);
		cb_server_ends_delete(ends);
		g_string_free(ended, TRUE);
		cb_clock_delete(clock);
		g_main_context_unref(context);
	}
}

static CU_TestInfo ends_tests[] = {
	{ "silent_processes_end_with_their_successors",
	  silent_processes_end_with_their_successors },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "server_ends",
				    .pTests = ends_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
