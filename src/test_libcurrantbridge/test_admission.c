#include "support_main.h"

#include <string.h>

#include "currantbridge/admission.h"

#define STEP_MS 10
#define WORKSPACES 10
#define SEEDS 5

/* One entry instance that has a lease on the whole ceiling of a contract. */
typedef struct fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_share_table_t *shares;
	cb_admission_t *admission;
	int64_t slots;	 /* requests that the servers can run at once */
	int64_t running; /* requests that occupy a slot */
} fixture_t;

static int64_t free_slots_get_(const char *target, void *user_data)
{
	fixture_t *fixture = user_data;

	(void)target;
	return fixture->slots - fixture->running;
}

static void demand_ignore_(void *user_data)
{
	(void)user_data;
}

static void fixture_open_(fixture_t *fixture, int64_t slots)
{
	cb_admission_parts_t parts = { .free_slots = free_slots_get_,
				       .demand_increased = demand_ignore_,
				       .user_data = fixture };

	*fixture = (fixture_t){ .slots = slots };
	fixture->clock = cb_clock_new_paused(1000);
	fixture->counters = cb_counters_new();
	fixture->shares = cb_share_table_new(fixture->clock);
	parts.clock = fixture->clock;
	parts.counters = fixture->counters;
	parts.shares = fixture->shares;
	fixture->admission = cb_admission_new(&parts);
}

static void fixture_close_(fixture_t *fixture)
{
	cb_admission_delete(fixture->admission);
	cb_share_table_delete(fixture->shares);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
}

/* Gives the instance a lease on the whole ceiling, as the only instance. */
static void ceiling_lease_(fixture_t *fixture, const cb_contract_t *contract)
{
	cb_amount_t all = { contract->ceiling_tokens_per_s,
			    contract->ceiling_requests_per_s,
			    contract->concurrent_requests };

	cb_share_table_set_lease(fixture->shares, contract->workspace, all,
				 cb_clock_now_ms(fixture->clock));
}

/* What the last call of ticket_change_record_() reported. */
typedef struct change {
	int call_count;
	cb_ticket_state_t state;
	int64_t at_ms; /* on the fixture's clock */
	fixture_t *fixture;
} change_t;

static void ticket_change_record_(cb_ticket_t *ticket, void *user_data)
{
	change_t *change = user_data;

	change->call_count++;
	change->state = cb_ticket_state(ticket);
	change->at_ms = cb_clock_now_ms(change->fixture->clock);
}

/*
 * Whether a request submitted after `running` others begins or waits, by the
 * limits of the contract and the free slots of the servers.
 */
static void submit_decides_by_limits(void)
{
	static const struct {
		int64_t concurrent;
		int64_t tokens_per_s;
		int64_t requests_per_s;
		int64_t slots;
		int running; /* number of requests submitted before */
		cb_ticket_state_t state;
	} cases[] = {
		{ 4, 1000, 1000, 9, 0, CB_TICKET_RUNNING },
		{ 4, 1000, 1000, 9, 3, CB_TICKET_RUNNING },
		{ 4, 1000, 1000, 9, 4, CB_TICKET_WAITING },
		{ 4, 1000, 1000, 2, 2, CB_TICKET_WAITING },
		/*
		 * Three streams of 30 tokens per second fit into 100 tokens per
		 * second.
		 */
		{ 9, 100, 1000, 9, 2, CB_TICKET_RUNNING },
		{ 9, 100, 1000, 9, 3, CB_TICKET_WAITING },
		{ 9, 1000, 4, 9, 1, CB_TICKET_WAITING },
		{ 9, 0, 0, 9, 5, CB_TICKET_RUNNING },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_contract_t contract = {
			.workspace = (char *)"w",
			.concurrent_requests = cases[i].concurrent,
			.ceiling_tokens_per_s = cases[i].tokens_per_s,
			.ceiling_requests_per_s = cases[i].requests_per_s,
			.deadline_ms = 60000,
		};
		cb_admission_request_t request = { &contract, "m", 100 };
		cb_ticket_t *tickets[10];
		change_t change = { 0 };
		fixture_t fixture;
		int j;

		fixture_open_(&fixture, cases[i].slots);
		ceiling_lease_(&fixture, &contract);
		change.fixture = &fixture;
		for (j = 0; j <= cases[i].running; j++) {
			tickets[j] =
				cb_admission_submit(fixture.admission, &request,
						    ticket_change_record_,
						    &change);
			fixture.running += cb_ticket_state(tickets[j]) ==
					   CB_TICKET_RUNNING;
		}
		CU_ASSERT_EQUAL(cb_ticket_state(tickets[j - 1]),
				cases[i].state);
		while (j > 0)
			cb_ticket_delete(tickets[--j]);
		fixture_close_(&fixture);
	}
}

/*
 * A request that is not expected to begin within half its deadline is refused
 * when it is submitted, with a reason and a time to retry.
 */
static void request_that_cannot_begin_in_time_is_refused(void)
{
	cb_contract_t contract = { .workspace = (char *)"w",
				   .concurrent_requests = 1,
				   .ceiling_tokens_per_s = 1000,
				   .ceiling_requests_per_s = 1000,
				   .deadline_ms = 1000 };
	cb_admission_request_t request = { &contract, "m", 100 };
	change_t change = { 0 };
	cb_ticket_t *first;
	cb_ticket_t *second;
	fixture_t fixture;

	fixture_open_(&fixture, 10);
	ceiling_lease_(&fixture, &contract);
	change.fixture = &fixture;
	first = cb_admission_submit(fixture.admission, &request,
				    ticket_change_record_, &change);
	second = cb_admission_submit(fixture.admission, &request,
				     ticket_change_record_, &change);
	CU_ASSERT_EQUAL(cb_ticket_state(first), CB_TICKET_RUNNING);
	CU_ASSERT_EQUAL(cb_ticket_state(second), CB_TICKET_REFUSED);
	CU_ASSERT_EQUAL(cb_ticket_refusal(second),
			CB_REFUSAL_CONCURRENCY_LIMIT);
	CU_ASSERT_TRUE(cb_ticket_retry_after_s(second) >= 1);
	CU_ASSERT_EQUAL(change.call_count, 0);
	cb_ticket_delete(second);
	cb_ticket_delete(first);
	fixture_close_(&fixture);
}

/* A waiting ticket begins as soon as the running one is deleted. */
static void waiting_request_begins_when_another_ends(void)
{
	cb_contract_t contract = { .workspace = (char *)"w",
				   .concurrent_requests = 1,
				   .ceiling_tokens_per_s = 1000,
				   .ceiling_requests_per_s = 1000,
				   .deadline_ms = 60000 };
	cb_admission_request_t request = { &contract, "m", 100 };
	change_t change = { 0 };
	cb_ticket_t *first;
	cb_ticket_t *second;
	fixture_t fixture;

	fixture_open_(&fixture, 10);
	ceiling_lease_(&fixture, &contract);
	change.fixture = &fixture;
	first = cb_admission_submit(fixture.admission, &request,
				    ticket_change_record_, &change);
	second = cb_admission_submit(fixture.admission, &request,
				     ticket_change_record_, &change);
	CU_ASSERT_EQUAL(cb_ticket_state(second), CB_TICKET_WAITING);
	cb_clock_advance(fixture.clock, 300);
	CU_ASSERT_EQUAL(change.call_count, 0);
	cb_ticket_delete(first);
	CU_ASSERT_EQUAL(change.call_count, 1);
	CU_ASSERT_EQUAL(change.state, CB_TICKET_RUNNING);
	cb_ticket_delete(second);
	fixture_close_(&fixture);
}

/* A workspace whose requests arrive at a constant rate. */
typedef struct workspace {
	cb_contract_t contract;
	char name[16];
	double arrivals_per_s;
	double due_arrivals; /* requests not yet submitted */
	int64_t requested_tokens;
	int64_t served_tokens;
	GPtrArray *jobs; /* of job_t that have not ended */
} workspace_t;

/* A simulated request. */
typedef struct job {
	cb_ticket_t *ticket;
	workspace_t *workspace;
	fixture_t *fixture;
	int64_t remaining_tokens;
	/* fraction of a token generated but not yet charged */
	double pending_tokens;
} job_t;

#define JOB_TOKENS 20
#define STREAM_TOKENS_PER_S 30.0

static void job_ticket_changed_(cb_ticket_t *ticket, void *user_data)
{
	job_t *job = user_data;

	if (cb_ticket_state(ticket) == CB_TICKET_RUNNING)
		job->fixture->running++;
}

static void job_submit_(fixture_t *fixture, workspace_t *workspace)
{
	cb_admission_request_t request = { &workspace->contract, "m",
					   JOB_TOKENS * 20 };
	job_t *job = g_new0(job_t, 1);

	job->workspace = workspace;
	job->fixture = fixture;
	job->remaining_tokens = JOB_TOKENS;
	workspace->requested_tokens += JOB_TOKENS;
	job->ticket = cb_admission_submit(fixture->admission, &request,
					  job_ticket_changed_, job);
	if (cb_ticket_state(job->ticket) == CB_TICKET_RUNNING)
		fixture->running++;
	g_ptr_array_add(workspace->jobs, job);
}

/* Generates one step's tokens of a job; returns TRUE when it has ended. */
static gboolean job_step_(job_t *job)
{
	int64_t tokens;

	if (cb_ticket_state(job->ticket) == CB_TICKET_REFUSED)
		return TRUE;
	if (cb_ticket_state(job->ticket) != CB_TICKET_RUNNING)
		return FALSE;
	job->pending_tokens += STREAM_TOKENS_PER_S * STEP_MS / 1000;
	tokens = MIN((int64_t)job->pending_tokens, job->remaining_tokens);
	job->pending_tokens -= (double)tokens;
	job->remaining_tokens -= tokens;
	job->workspace->served_tokens += tokens;
	cb_ticket_charge(job->ticket, tokens);
	return !job->remaining_tokens;
}

static void workspace_step_(fixture_t *fixture, workspace_t *workspace)
{
	unsigned int i;

	ceiling_lease_(fixture, &workspace->contract);
	workspace->due_arrivals += workspace->arrivals_per_s * STEP_MS / 1000;
	for (; workspace->due_arrivals >= 1; workspace->due_arrivals--)
		job_submit_(fixture, workspace);
	for (i = workspace->jobs->len; i > 0; i--) {
		job_t *job = g_ptr_array_index(workspace->jobs, i - 1);

		if (!job_step_(job))
			continue;
		fixture->running -=
			cb_ticket_state(job->ticket) == CB_TICKET_RUNNING;
		g_ptr_array_remove_index_fast(workspace->jobs, i - 1);
		cb_ticket_delete(job->ticket);
		g_free(job);
	}
}

static void workspace_open_(workspace_t *workspace, int number,
			    int64_t guaranteed)
{
	*workspace = (workspace_t){ 0 };
	g_snprintf(workspace->name, sizeof(workspace->name), "w%d", number);
	workspace->contract.workspace = workspace->name;
	workspace->contract.guaranteed_tokens_per_s = guaranteed;
	workspace->contract.ceiling_tokens_per_s = guaranteed * 5;
	workspace->contract.concurrent_requests = 1000;
	workspace->contract.deadline_ms = 60000;
	workspace->jobs = g_ptr_array_new();
}

static void workspace_close_(workspace_t *workspace)
{
	unsigned int i;

	for (i = 0; i < workspace->jobs->len; i++) {
		job_t *job = g_ptr_array_index(workspace->jobs, i);

		cb_ticket_delete(job->ticket);
		g_free(job);
	}
	g_ptr_array_unref(workspace->jobs);
}

/*
 * Guards against one workspace taking what is guaranteed to others: nine
 * workspaces request 95 % of their guarantee, a tenth 50 times as much, and
 * the servers can serve just the guarantees.  Each of the nine must get 99 %
 * of what it requests, the shares must be equal (Jain's index 0.98), and 95 %
 * of the capacity must be used.
 */
static void guarantees_hold_while_one_workspace_overloads(void)
{
	static const int64_t guaranteed = 300;
	int64_t capacity = WORKSPACES * guaranteed;
	workspace_t workspaces[WORKSPACES];
	int64_t served = 0;
	double sum = 0;
	double squares = 0;
	fixture_t fixture;
	int64_t ms;
	int i;

	fixture_open_(&fixture, capacity / (int64_t)STREAM_TOKENS_PER_S);
	for (i = 0; i < WORKSPACES; i++) {
		workspace_open_(&workspaces[i], i, guaranteed);
		workspaces[i].due_arrivals = (double)i / WORKSPACES;
		workspaces[i].arrivals_per_s =
			0.95 * (double)guaranteed / JOB_TOKENS;
	}
	workspaces[0].arrivals_per_s *= 50;
	for (ms = 0; ms < 60000; ms += STEP_MS) {
		for (i = 0; i < WORKSPACES; i++)
			workspace_step_(&fixture, &workspaces[i]);
		cb_clock_advance(fixture.clock, STEP_MS);
	}
	for (i = 1; i < WORKSPACES; i++) {
		double share =
			(double)workspaces[i].served_tokens /
			(double)(workspaces[i].requested_tokens -
				 (int64_t)workspaces[i].jobs->len * JOB_TOKENS);

		CU_ASSERT_TRUE(share >= 0.99);
		if (share < 0.99)
			printf("    %s: got %.3f of what it requested\n",
			       workspaces[i].name, share);
		sum += share;
		squares += share * share;
	}
	for (i = 0; i < WORKSPACES; i++)
		served += workspaces[i].served_tokens;
	CU_ASSERT_TRUE(sum * sum / ((WORKSPACES - 1) * squares) >= 0.98);
	CU_ASSERT_TRUE((double)served >= 0.95 * (double)capacity * 60);
	printf("    used %.3f of the servers' capacity\n",
	       (double)served / ((double)capacity * 60));
	for (i = 0; i < WORKSPACES; i++)
		workspace_close_(&workspaces[i]);
	fixture_close_(&fixture);
}

/*
 * A workspace that requests ten times its ceiling gets at most 105 % of the
 * ceiling in any ten seconds and at least 90 % of it over the whole minute.
 */
static void ceiling_holds_over_ten_seconds(void)
{
	int64_t served_at_step[6001]; /* tokens served so far */
	workspace_t workspace;
	int64_t ceiling;
	fixture_t fixture;
	int step;
	int i;

	fixture_open_(&fixture, 100000);
	workspace_open_(&workspace, 0, 200);
	ceiling = workspace.contract.ceiling_tokens_per_s;
	workspace.arrivals_per_s = 10.0 * (double)ceiling / JOB_TOKENS;
	for (step = 0; step <= 6000; step++) {
		workspace_step_(&fixture, &workspace);
		served_at_step[step] = workspace.served_tokens;
		cb_clock_advance(fixture.clock, STEP_MS);
	}
	for (i = 0; i + 1000 <= 6000; i += 10) {
		int64_t used = served_at_step[i + 1000] - served_at_step[i];

		CU_ASSERT_TRUE(used <= ceiling * 10 * 105 / 100);
		if (used > ceiling * 10 * 105 / 100)
			printf("    from %d ms: %d of %d tokens\n", i * STEP_MS,
			       (int)used, (int)ceiling * 10);
	}
	CU_ASSERT_TRUE(workspace.served_tokens >= ceiling * 60 * 90 / 100);
	printf("    served %.3f of the tokens that the ceiling allows\n",
	       (double)workspace.served_tokens / ((double)ceiling * 60));
	workspace_close_(&workspace);
	fixture_close_(&fixture);
}

static CU_TestInfo admission_tests[] = {
	{ "submit_decides_by_limits", submit_decides_by_limits },
	{ "request_that_cannot_begin_in_time_is_refused",
	  request_that_cannot_begin_in_time_is_refused },
	{ "waiting_request_begins_when_another_ends",
	  waiting_request_begins_when_another_ends },
	{ "guarantees_hold_while_one_workspace_overloads",
	  guarantees_hold_while_one_workspace_overloads },
	{ "ceiling_holds_over_ten_seconds", ceiling_holds_over_ten_seconds },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "admission",
				    .pTests = admission_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
