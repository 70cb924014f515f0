#include "support_main.h"

#include <string.h>

#include "private/engine_reports.h"

#define START_WALL_MS 1000
/* Time after which a report is no longer waited for. */
#define REPORT_TIMEOUT_MS 200
#define WAITERS 3

/* Orders to engines that keep the last request for a report. */
typedef struct fake_orders {
	cb_engine_orders_t base;
	unsigned int request_count;
	unsigned int cancel_count;
	cb_report_done_fn_t done; /* of the last request; NULL: cancelled */
	void *user_data;
} fake_orders_t;

static void report_request_(cb_engine_orders_t *base, const char *address,
			    cb_report_done_fn_t done, void *user_data)
{
	fake_orders_t *orders = (fake_orders_t *)base;

	(void)address;
	orders->request_count++;
	orders->done = done;
	orders->user_data = user_data;
}

static void report_cancel_(cb_engine_orders_t *base, const void *user_data)
{
	fake_orders_t *orders = (fake_orders_t *)base;

	CU_ASSERT_PTR_EQUAL(user_data, orders->user_data);
	orders->cancel_count++;
	orders->done = NULL;
}

static const cb_engine_orders_vtable_t orders_vtable = {
	.report = report_request_,
	.cancel = report_cancel_,
};

/* Someone who requests reports, and what became of the requests. */
typedef struct waiter {
	cb_engine_reports_t *reports;
	unsigned int call_count;
	cb_report_result_t result;
	/* Waiter whose requests this one cancels when it is called, or NULL. */
	struct waiter *victim;
	gboolean requests_again; /* requests another report when it is called */
} waiter_t;

static void result_receive_(cb_report_result_t result,
			    const cb_engine_report_t *report, void *user_data)
{
	waiter_t *waiter = user_data;

	CU_ASSERT_EQUAL(report != NULL, result == CB_REPORT_ANSWERED);
	waiter->call_count++;
	waiter->result = result;
	if (waiter->victim)
		cb_engine_reports_cancel(waiter->reports, waiter->victim);
	if (waiter->requests_again)
		cb_engine_reports_request(waiter->reports, "e", result_receive_,
					  waiter);
	waiter->requests_again = FALSE;
}

/* How a request for a report ends. */
typedef enum call_end {
	END_ANSWER,
	END_FAILURE,
	END_SILENCE,
	END_UNMADE, /* this process lacks the resources for the call */
	END_HEARD,  /* no call: an event comes through the engine */
} call_end_t;

/* Ends the call in flight in another way than by silence. */
static void call_finish_(const fake_orders_t *orders, call_end_t end)
{
	static const cb_engine_report_t report = { .slow_percent = 100 };

	if (end == END_ANSWER)
		orders->done(CB_REPORT_ANSWERED, &report, orders->user_data);
	else
		orders->done(end == END_UNMADE ? CB_REPORT_UNMADE :
						 CB_REPORT_FAILED,
			     NULL, orders->user_data);
}

typedef struct share_case {
	const char *description; /* printed if the case fails */
	call_end_t end;
	/* Indices of a waiter that cancels, and of the one cancelled; -1: none. */
	int canceller;
	int victim;
	/* Whether waiter 0 requests another report when it is called. */
	gboolean requests_again;
	cb_report_result_t expected_result;
	unsigned int expected_calls[WAITERS];
	unsigned int expected_requests;
} share_case_t;

static const share_case_t share_cases[] = {
	{ "all waiters get the one answer",
	  END_ANSWER,
	  -1,
	  -1,
	  FALSE,
	  CB_REPORT_ANSWERED,
	  { 1, 1, 1 },
	  1 },
	{ "all waiters get the failure",
	  END_FAILURE,
	  -1,
	  -1,
	  FALSE,
	  CB_REPORT_FAILED,
	  { 1, 1, 1 },
	  1 },
	{ "all waiters get the timeout",
	  END_SILENCE,
	  -1,
	  -1,
	  FALSE,
	  CB_REPORT_TIMEOUT,
	  { 1, 1, 1 },
	  1 },
	{ "all waiters learn at once of a call that was not made",
	  END_UNMADE,
	  -1,
	  -1,
	  FALSE,
	  CB_REPORT_UNMADE,
	  { 1, 1, 1 },
	  1 },
	{ "a waiter that another cancels is not called",
	  END_ANSWER,
	  0,
	  2,
	  FALSE,
	  CB_REPORT_ANSWERED,
	  { 1, 1, 0 },
	  1 },
	{ "a request made while waiters are called is a new one",
	  END_ANSWER,
	  -1,
	  -1,
	  TRUE,
	  CB_REPORT_ANSWERED,
	  { 1, 1, 1 },
	  2 },
};

/* Guards against one call for each stream of a lost engine, and lost answers. */
static void requests_of_one_engine_share_a_call(void)
{
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		const share_case_t *c = &share_cases[i];
		fake_orders_t orders = { .base = { &orders_vtable } };
		cb_clock_t *clock = cb_clock_new_paused(START_WALL_MS);
		cb_engine_reports_t *reports =
			cb_engine_reports_new(clock, &orders.base);
		waiter_t waiters[WAITERS] = { { 0 } };
		gboolean is_expected;

		for (k = 0; k < WAITERS; k++) {
			waiters[k].reports = reports;
			cb_engine_reports_request(reports, "e", result_receive_,
						  &waiters[k]);
		}
		if (c->canceller >= 0)
			waiters[c->canceller].victim = &waiters[c->victim];
		waiters[0].requests_again = c->requests_again;
		if (c->end == END_SILENCE)
			cb_clock_advance(clock, REPORT_TIMEOUT_MS);
		else
			call_finish_(&orders, c->end);
		is_expected = orders.request_count == c->expected_requests &&
			      waiters[0].result == c->expected_result &&
			      orders.cancel_count == (c->end == END_SILENCE);
		for (k = 0; k < WAITERS; k++)
			is_expected &=
				waiters[k].call_count == c->expected_calls[k];
		CU_ASSERT_TRUE(is_expected);
		if (!is_expected)
			printf("    %s\n", c->description);
		cb_engine_reports_delete(reports);
		CU_ASSERT_EQUAL(orders.done != NULL,
				c->end != END_SILENCE && !c->requests_again);
		cb_clock_delete(clock);
	}
}

/* The end of one call, at a time. */
typedef struct call_step {
	int64_t after_ms; /* since the step before */
	call_end_t end;
} call_step_t;

typedef struct ended_case {
	const char *description; /* printed if the case fails */
	call_step_t steps[3];
	unsigned int step_count;
	int64_t later_ms; /* when it is asked, after the last step */
	gboolean expected;
} ended_case_t;

static const ended_case_t ended_cases[] = {
	{ "never called", { { 0 } }, 0, 0, FALSE },
	{ "refused once", { { 0, END_FAILURE } }, 1, 0, FALSE },
	{ "refused twice at once",
	  { { 0, END_FAILURE }, { 5, END_FAILURE } },
	  2,
	  0,
	  FALSE },
	{ "refused for 60 ms",
	  { { 0, END_FAILURE }, { 60, END_FAILURE } },
	  2,
	  0,
	  TRUE },
	{ "refused long ago",
	  { { 0, END_FAILURE }, { 60, END_FAILURE } },
	  2,
	  1500,
	  FALSE },
	{ "refused twice, long apart",
	  { { 0, END_FAILURE }, { 1500, END_FAILURE } },
	  2,
	  0,
	  FALSE },
	{ "answered between refusals",
	  { { 0, END_FAILURE }, { 30, END_ANSWER }, { 30, END_FAILURE } },
	  3,
	  0,
	  FALSE },
	{ "heard between refusals",
	  { { 0, END_FAILURE }, { 30, END_HEARD }, { 30, END_FAILURE } },
	  3,
	  0,
	  FALSE },
	{ "heard after refusals",
	  { { 0, END_FAILURE }, { 60, END_FAILURE }, { 0, END_HEARD } },
	  3,
	  0,
	  FALSE },
	{ "heard before refusals",
	  { { 0, END_HEARD }, { 0, END_FAILURE }, { 60, END_FAILURE } },
	  3,
	  0,
	  TRUE },
	{ "calls not made beside a refusal",
	  { { 0, END_UNMADE }, { 60, END_FAILURE }, { 60, END_UNMADE } },
	  3,
	  0,
	  FALSE },
	{ "a call not made between refusals",
	  { { 0, END_FAILURE }, { 30, END_UNMADE }, { 30, END_FAILURE } },
	  3,
	  0,
	  TRUE },
	{ "silent after refusals",
	  { { 0, END_FAILURE }, { 60, END_FAILURE }, { 0, END_SILENCE } },
	  3,
	  0,
	  FALSE },
};

/* A sound engine that refuses some calls must not be taken for ended. */
static void engine_has_ended_if_it_refuses_all_calls(void)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(ended_cases); i++) {
		const ended_case_t *c = &ended_cases[i];
		fake_orders_t orders = { .base = { &orders_vtable } };
		cb_clock_t *clock = cb_clock_new_paused(START_WALL_MS);
		cb_engine_reports_t *reports =
			cb_engine_reports_new(clock, &orders.base);
		waiter_t waiter = { .reports = reports };
		gboolean has_ended;

		for (k = 0; k < c->step_count; k++) {
			cb_clock_advance(clock, c->steps[k].after_ms);
			if (c->steps[k].end == END_HEARD) {
				cb_engine_reports_hear(reports, "e");
				continue;
			}
			cb_engine_reports_request(reports, "e", result_receive_,
						  &waiter);
			if (c->steps[k].end == END_SILENCE)
				cb_clock_advance(clock, REPORT_TIMEOUT_MS);
			else
				call_finish_(&orders, c->steps[k].end);
		}
		cb_clock_advance(clock, c->later_ms);
		has_ended = cb_engine_reports_has_ended(reports, "e");
		CU_ASSERT_EQUAL(has_ended, c->expected);
		if (has_ended != c->expected)
			printf("    %s\n", c->description);
		cb_engine_reports_delete(reports);
		cb_clock_delete(clock);
	}
}

static CU_TestInfo engine_reports_tests[] = {
	{ "engine_has_ended_if_it_refuses_all_calls",
	  engine_has_ended_if_it_refuses_all_calls },
	{ "requests_of_one_engine_share_a_call",
	  requests_of_one_engine_share_a_call },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "engine_reports",
				    .pTests = engine_reports_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
