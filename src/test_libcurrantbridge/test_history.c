#include "support_main.h"

#include <string.h>

#include "currantbridge/history.h"
#include "support_history.h"

#define ORDER .kind = CB_HISTORY_ORDER
#define RUN .kind = CB_HISTORY_RUN, .request = "r"
#define EFFECT .kind = CB_HISTORY_EFFECT, .request = "r", .workspace = "w"
#define EPOCH .kind = CB_HISTORY_EPOCH, .request = "r"
#define DELIVER .kind = CB_HISTORY_DELIVER, .request = "r"
#define END .kind = CB_HISTORY_END, .request = "r", .workspace = "w"

typedef struct history_case {
	const char *fault; /* beginning of the expected fault; "": none */
	int64_t gap_ms;	   /* time between two events */
	cb_history_event_t events[8];
} history_case_t;

/* For each rule, histories that violate only that rule; and valid ones. */
static const history_case_t cases[] = {
	{ "",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1, .first_layer = 0, .last_layer = 1 },
	    { RUN, .epoch = 1, .first_layer = 2, .last_layer = 3, .text = "a" },
	    { DELIVER, .epoch = 1, .text = "a" },
	    { EPOCH, .epoch = 2, .token = 1 },
	    { RUN, .epoch = 2, .token = 1, .last_layer = 3, .text = "b" },
	    { DELIVER, .epoch = 2, .token = 1, .text = "b" },
	    { END, .refusal = "none", .executed = "yes" } } },
	{ "layers did not run exactly once",
	  1,
	  { { RUN, .epoch = 1, .last_layer = 1 },
	    { RUN, .epoch = 1, .last_layer = 1 } } },
	{ "layers did not run exactly once",
	  1,
	  { { RUN, .epoch = 1, .last_layer = 1 },
	    { RUN, .epoch = 1, .first_layer = 3, .last_layer = 3 } } },
	{ "a key took effect twice",
	  1,
	  { { EFFECT, .key = "k" }, { EFFECT, .key = "k" } } },
	{ "epochs do not increase",
	  1,
	  { { EPOCH, .epoch = 2 }, { EPOCH, .epoch = 2 } } },
	{ "an epoch does not begin", 1, { { EPOCH, .epoch = 1, .token = 1 } } },
	{ "tokens not delivered once",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1, .text = "a" },
	    { DELIVER, .epoch = 1, .text = "a" },
	    { DELIVER, .epoch = 1, .text = "a" } } },
	{ "a token of an old epoch",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1, .text = "a" },
	    { EPOCH, .epoch = 2 },
	    { DELIVER, .epoch = 1, .text = "a" } } },
	{ "a token that its layers",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1, .text = "a" },
	    { DELIVER, .epoch = 1, .text = "b" } } },
	{ "a token after the end",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1, .text = "a" },
	    { END, .refusal = "none", .executed = "yes" },
	    { DELIVER, .epoch = 1, .text = "a" } } },
	{ "a second end",
	  1,
	  { { END, .executed = "yes" }, { END, .executed = "yes" } } },
	{ "a request reported as not executed",
	  1,
	  { { EPOCH, .epoch = 1 },
	    { RUN, .epoch = 1 },
	    { END, .refusal = "no_server", .executed = "no" } } },
	{ "a key reported as not executed",
	  1,
	  { { EFFECT, .key = "k" },
	    { .kind = CB_HISTORY_END,
	      .request = "other",
	      .workspace = "w",
	      .key = "k",
	      .refusal = "no_server",
	      .executed = "no" } } },
	{ "a key reported as not executed",
	  1,
	  { { ORDER, .request = "r" },
	    { .kind = CB_HISTORY_END,
	      .request = "other",
	      .workspace = "w",
	      .key = "k",
	      .refusal = "no_server",
	      .executed = "no" },
	    { EFFECT, .key = "k" } } },
	{ "",
	  1,
	  { { .kind = CB_HISTORY_END,
	      .request = "other",
	      .workspace = "w",
	      .key = "k",
	      .refusal = "no_server",
	      .executed = "no" },
	    { ORDER, .request = "r" },
	    { EFFECT, .key = "k" } } },
	{ "new work sent after leaving",
	  2001,
	  { { .kind = CB_HISTORY_LEAVING, .server = "s" },
	    { ORDER, .server = "s" } } },
	{ "",
	  2000,
	  { { .kind = CB_HISTORY_LEAVING, .server = "s" },
	    { ORDER, .server = "s" } } },
};

static void checker_finds_each_broken_rule(void)
{
	size_t i;
	size_t j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_clock_t *clock = cb_clock_new_paused(1);
		char *lines = NULL;
		size_t size;
		FILE *stream = open_memstream(&lines, &size);
		cb_history_t *history = cb_history_new(clock, stream);
		char *fault;

		for (j = 0;
		     j < G_N_ELEMENTS(cases[i].events) &&
		     (cases[i].events[j].request || cases[i].events[j].server);
		     j++) {
			cb_history_record(history, &cases[i].events[j]);
			cb_clock_advance(clock, cases[i].gap_ms);
		}
		fclose(stream);
		fault = support_history_check(lines);
		CU_ASSERT_TRUE(*cases[i].fault ?
				       g_str_has_prefix(fault ? fault : "",
							cases[i].fault) :
				       !fault);
		g_free(fault);
		free(lines);
		cb_history_delete(history);
		cb_clock_delete(clock);
	}
}

static CU_TestInfo history_tests[] = { { "checker_finds_each_broken_rule",
					 checker_finds_each_broken_rule },
				       CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "history",
				    .pTests = history_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
