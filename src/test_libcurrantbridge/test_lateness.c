#include "support_main.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "currantbridge/kernel.h"
#include "private/process.h"
#include "support_log.h"

/* Tests what logs and metrics tell of a late loop, descriptors and memory. */
#define START_MS 1000
#define PERIOD_MS 50
#define MANY_TIMERS 20
#define MANY_DELAY_MS 60
#define STEPS_MAX 4
#define DESCRIPTORS 20

/* The clock first stands still for the loop, then advances with it. */
typedef struct late_step {
	int64_t stall_ms;
	int64_t advance_ms; /* -1: the loop doesn't run */
} late_step_t;

typedef struct late_case {
	const char *description; /* printed if the case fails */
	late_step_t steps[STEPS_MAX];
	gboolean has_many_timers;
	int64_t recent_ms; /* the worst lateness of the last second */
	int64_t worst_ms;  /* since the start */
	int64_t sum_ms;	   /* of all timers */
	const char *lines[2];
} late_case_t;

static const late_case_t late_cases[] = {
	{ .description = "timers fire in time", .steps = { { 0, 5000 } } },
	{ .description = "a small delay is counted and not logged",
	  .steps = { { 150, 0 } },
	  .recent_ms = 100,
	  .worst_ms = 100,
	  .sum_ms = 100 },
	{ .description = "a larger delay is logged",
	  .steps = { { 151, 0 } },
	  .recent_ms = 101,
	  .worst_ms = 101,
	  .sum_ms = 101,
	  .lines = { "\"late_ms\":101,\"unlogged_ms\":0}" } },
	{ .description = "a timer that is overdue is late before it fires",
	  .steps = { { 151, -1 } },
	  .recent_ms = 101 },
	{ .description = "a delay is remembered for a second",
	  .steps = { { 151, 1000 } },
	  .recent_ms = 101,
	  .worst_ms = 101,
	  .sum_ms = 101,
	  .lines = { "\"late_ms\":101,\"unlogged_ms\":0}" } },
	{ .description = "a delay is forgotten after a second",
	  .steps = { { 151, 1100 } },
	  .worst_ms = 101,
	  .sum_ms = 101,
	  .lines = { "\"late_ms\":101,\"unlogged_ms\":0}" } },
	{ .description = "the worse of two delays counts",
	  .steps = { { 90, 300 }, { 70, 100 } },
	  .recent_ms = 40,
	  .worst_ms = 40,
	  .sum_ms = 60 },
	{ .description = "many timers that one delay made late give one line",
	  .steps = { { 300, 3000 }, { 300, 0 } },
	  .has_many_timers = TRUE,
	  .recent_ms = 250,
	  .worst_ms = 250,
	  .sum_ms = 250 + MANY_TIMERS * 240 + 250,
	  .lines = { "\"late_ms\":250,\"unlogged_ms\":0}",
		     "\"late_ms\":250,\"unlogged_ms\":0}" } },
	{ .description = "of more delays in a second, a later line tells",
	  .steps = { { 300, 100 }, { 450, 500 }, { 300, 0 } },
	  .recent_ms = 400,
	  .worst_ms = 400,
	  .sum_ms = 900,
	  .lines = { "\"late_ms\":250,\"unlogged_ms\":0}",
		     "\"late_ms\":250,\"unlogged_ms\":400}" } },
	{ .description = "each long delay is logged",
	  .steps = { { 2050, 0 }, { 2050, 0 } },
	  .recent_ms = 2000,
	  .worst_ms = 2000,
	  .sum_ms = 4000,
	  .lines = { "\"late_ms\":2000,\"unlogged_ms\":0}",
		     "\"late_ms\":2000,\"unlogged_ms\":0}" } },
};

static void periodic_timer_fired_(void *user_data)
{
	cb_timer_t **timer = user_data;

	cb_timer_start(*timer, PERIOD_MS);
}

static void single_timer_fired_(void *user_data)
{
	(void)user_data;
}

static gboolean late_step_is_set_(const late_step_t *step)
{
	return step->stall_ms || step->advance_ms;
}

/* Plays the steps of a case, and checks the lateness known at the end. */
static void late_steps_play_(const late_case_t *c, cb_clock_t *clock)
{
	cb_timer_t *single[MANY_TIMERS];
	cb_timer_t *periodic =
		cb_timer_new(clock, periodic_timer_fired_, &periodic);
	size_t i;

	cb_timer_start(periodic, PERIOD_MS);
	for (i = 0; i < MANY_TIMERS; i++) {
		single[i] = cb_timer_new(clock, single_timer_fired_, NULL);
		if (c->has_many_timers)
			cb_timer_start(single[i], MANY_DELAY_MS);
	}
	for (i = 0; i < STEPS_MAX && late_step_is_set_(&c->steps[i]); i++) {
		cb_clock_stall(clock, c->steps[i].stall_ms);
		if (c->steps[i].advance_ms >= 0)
			cb_clock_advance(clock, c->steps[i].advance_ms);
	}
	CU_ASSERT_EQUAL(cb_clock_worst_lateness_ms(clock), c->recent_ms);
	for (i = 0; i < MANY_TIMERS; i++)
		cb_timer_delete(single[i]);
	cb_timer_delete(periodic);
}

static void late_case_play_(const late_case_t *c)
{
	cb_clock_t *clock = cb_clock_new_paused(START_MS);
	unsigned int lines = (c->lines[0] != NULL) + (c->lines[1] != NULL);
	support_log_t log;
	const char *rest = log.text;
	cb_kernel_t *kernel;
	unsigned int i;

	support_log_begin(&log, clock);
	kernel = cb_kernel_new(NULL, clock, log.log);
	late_steps_play_(c, clock);
	CU_ASSERT_EQUAL(support_series_read(cb_kernel_counters(kernel),
					    "cb_loop_worst_late_ms"),
			c->worst_ms);
	CU_ASSERT_EQUAL(support_series_read(cb_kernel_counters(kernel),
					    "cb_loop_late_ms_sum{}"),
			c->sum_ms);
	cb_kernel_delete(kernel);
	support_log_end(&log);
	CU_ASSERT_EQUAL(support_text_count(log.text, "\"LOOP_LATE\""), lines);
	for (i = 0; i < lines && rest; i++) {
		rest = strstr(rest, c->lines[i]);
		CU_ASSERT_PTR_NOT_NULL(rest);
		rest += rest != NULL;
	}
	cb_clock_delete(clock);
}

/* A late timer is counted, logged and remembered for a second. */
static void late_timers_are_counted_and_logged(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(late_cases); i++) {
		unsigned int failures = CU_get_number_of_failures();

		late_case_play_(&late_cases[i]);
		if (CU_get_number_of_failures() > failures)
			printf("    failed: %s\n", late_cases[i].description);
	}
}

/* A deleted kernel no longer watches a clock, and leaves it to the next one. */
static void clock_has_one_watching_kernel(void)
{
	cb_clock_t *clock = cb_clock_new_paused(START_MS);
	cb_kernel_t *first = cb_kernel_new(NULL, clock, NULL);
	cb_kernel_t *second = cb_kernel_new(NULL, clock, NULL);
	cb_timer_t *timer = cb_timer_new(clock, single_timer_fired_, NULL);

	cb_kernel_delete(first);
	cb_timer_start(timer, 0);
	cb_clock_stall(clock, 70);
	cb_clock_advance(clock, 0);
	CU_ASSERT_EQUAL(support_series_read(cb_kernel_counters(second),
					    "cb_loop_late_ms_sum{}"),
			70);
	cb_kernel_delete(second);
	cb_timer_start(timer, 0);
	cb_clock_stall(clock, 80);
	cb_clock_advance(clock, 0);
	CU_ASSERT_EQUAL(cb_clock_worst_lateness_ms(clock), 80);
	cb_timer_delete(timer);
	cb_clock_delete(clock);
}

/* The gauges follow the descriptors that are open, to the last free one. */
static void process_gauges_count_descriptors(void)
{
	cb_clock_t *clock = cb_clock_new_paused(START_MS);
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, NULL);
	cb_counters_t *counters = cb_kernel_counters(kernel);
	int64_t before =
		support_series_read(counters, "cb_process_open_descriptors");
	struct rlimit old_limit;
	struct rlimit limit;
	int fds[DESCRIPTORS];
	int i;

	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &old_limit), 0);
	for (i = 0; i < DESCRIPTORS; i++)
		fds[i] = dup(0);
	CU_ASSERT_EQUAL(support_series_read(counters,
					    "cb_process_open_descriptors"),
			before + DESCRIPTORS);
	CU_ASSERT_EQUAL(cb_process_list_descriptors(0), before + DESCRIPTORS);
	CU_ASSERT_EQUAL(support_series_read(counters,
					    "cb_process_max_descriptors"),
			(int64_t)old_limit.rlim_cur);
	CU_ASSERT_TRUE(
		support_series_read(counters, "cb_process_resident_bytes") >
		100000);
	limit = old_limit;
	limit.rlim_cur = (rlim_t)fds[DESCRIPTORS - 1] + 1;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	CU_ASSERT_EQUAL(support_series_read(counters,
					    "cb_process_max_descriptors"),
			(int64_t)limit.rlim_cur);
	CU_ASSERT_EQUAL(support_series_read(counters,
					    "cb_process_open_descriptors"),
			before + DESCRIPTORS);
	CU_ASSERT_EQUAL(cb_process_list_descriptors(77), 77);
	CU_ASSERT_TRUE(
		support_series_read(counters, "cb_process_resident_bytes") >
		100000);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &old_limit), 0);
	for (i = 0; i < DESCRIPTORS; i++)
		close(fds[i]);
	cb_kernel_delete(kernel);
	cb_clock_delete(clock);
}

static CU_TestInfo lateness_tests[] = { { "late_timers_are_counted_and_logged",
					  late_timers_are_counted_and_logged },
					{ "clock_has_one_watching_kernel",
					  clock_has_one_watching_kernel },
					{ "process_gauges_count_descriptors",
					  process_gauges_count_descriptors },
					CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "lateness",
				    .pTests = lateness_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
