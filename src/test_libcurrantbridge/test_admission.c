#include "support_main.h"

#include <string.h>

#include "currantbridge/admission.h"

#define STEP_MS 10
#define WORKSPACES 10
#define SEEDS 5

/* One entry instance to which control lends whatever it asks for. */
typedef struct world {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_share_table_t *shares;
	cb_admission_t *admission;
	int64_t slots;
	int64_t running;
} world_t;

static int64_t free_slots_(const char *target, void *user_data)
{
	world_t *world = user_data;

	(void)target;
	return world->slots - world->running;
}

static void wants_more_(void *user_data)
{
	(void)user_data;
}

static void world_open_(world_t *world, int64_t slots)
{
	cb_admission_parts_t parts = { .free_slots = free_slots_,
				       .wants_more = wants_more_,
				       .user_data = world };

	*world = (world_t){ .slots = slots };
	world->clock = cb_clock_new_paused(1000);
	world->counters = cb_counters_new();
	world->shares = cb_share_table_new(world->clock);
	parts.clock = world->clock;
	parts.counters = world->counters;
	parts.shares = world->shares;
	world->admission = cb_admission_new(&parts);
}

static void world_close_(world_t *world)
{
	cb_admission_delete(world->admission);
	cb_share_table_delete(world->shares);
	cb_counters_delete(world->counters);
	cb_clock_delete(world->clock);
}

/* Lends a contract's whole ceiling, as to a single instance. */
static void world_lend_(world_t *world, const cb_contract_t *contract)
{
	cb_amount_t all = { contract->ceiling_tokens_per_s,
			    contract->ceiling_requests_per_s,
			    contract->concurrent_requests };

	cb_share_table_lease(world->shares, contract->workspace, all,
			     cb_clock_now_ms(world->clock));
}

typedef struct decision {
	int calls;
	cb_ticket_state_t state;
	int64_t at_ms;
	world_t *world;
} decision_t;

static void changed_(cb_ticket_t *ticket, void *user_data)
{
	decision_t *decision = user_data;

	decision->calls++;
	decision->state = cb_ticket_state(ticket);
	decision->at_ms = cb_clock_now_ms(decision->world->clock);
}

/*
 * One request after `running` others, under limits of the contract, the
 * share and the servers: what becomes of it at once.
 */
static void first_decision_by_limits(void)
{
	static const struct {
		int64_t concurrent;
		int64_t tokens_per_s;
		int64_t requests_per_s;
		int64_t slots;
		int running;
		cb_ticket_state_t state;
	} cases[] = {
		{ 4, 1000, 1000, 9, 0, CB_TICKET_RUNNING },
		{ 4, 1000, 1000, 9, 3, CB_TICKET_RUNNING },
		{ 4, 1000, 1000, 9, 4, CB_TICKET_WAITING },
		{ 4, 1000, 1000, 2, 2, CB_TICKET_WAITING },
		/* Three streams of 30 tokens a second fill 100. */
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
		decision_t decision = { 0 };
		world_t world;
		int j;

		world_open_(&world, cases[i].slots);
		world_lend_(&world, &contract);
		decision.world = &world;
		for (j = 0; j <= cases[i].running; j++) {
			tickets[j] =
				cb_admission_submit(world.admission, &request,
						    changed_, &decision);
			world.running += cb_ticket_state(tickets[j]) ==
					 CB_TICKET_RUNNING;
		}
		CU_ASSERT_EQUAL(cb_ticket_state(tickets[j - 1]),
				cases[i].state);
		while (j > 0)
			cb_ticket_delete(tickets[--j]);
		world_close_(&world);
	}
}

/* What cannot begin in time is refused when that is known, with a reason. */
static void waiting_ends_with_a_reason(void)
{
	cb_contract_t contract = { .workspace = (char *)"w",
				   .concurrent_requests = 1,
				   .ceiling_tokens_per_s = 1000,
				   .ceiling_requests_per_s = 1000,
				   .deadline_ms = 1000 };
	cb_admission_request_t request = { &contract, "m", 100 };
	decision_t decision = { 0 };
	cb_ticket_t *first;
	cb_ticket_t *second;
	world_t world;

	world_open_(&world, 10);
	world_lend_(&world, &contract);
	decision.world = &world;
	first = cb_admission_submit(world.admission, &request, changed_,
				    &decision);
	second = cb_admission_submit(world.admission, &request, changed_,
				     &decision);
	CU_ASSERT_EQUAL(cb_ticket_state(first), CB_TICKET_RUNNING);
	CU_ASSERT_EQUAL(cb_ticket_state(second), CB_TICKET_REFUSED);
	CU_ASSERT_EQUAL(cb_ticket_refusal(second),
			CB_REFUSAL_CONCURRENCY_LIMIT);
	CU_ASSERT_TRUE(cb_ticket_retry_after_s(second) >= 1);
	CU_ASSERT_EQUAL(decision.calls, 0);
	cb_ticket_delete(second);
	cb_ticket_delete(first);
	world_close_(&world);
}

/* A ticket that waits begins when the one before it ends. */
static void waiting_begins_when_free(void)
{
	cb_contract_t contract = { .workspace = (char *)"w",
				   .concurrent_requests = 1,
				   .ceiling_tokens_per_s = 1000,
				   .ceiling_requests_per_s = 1000,
				   .deadline_ms = 60000 };
	cb_admission_request_t request = { &contract, "m", 100 };
	decision_t decision = { 0 };
	cb_ticket_t *first;
	cb_ticket_t *second;
	world_t world;

	world_open_(&world, 10);
	world_lend_(&world, &contract);
	decision.world = &world;
	first = cb_admission_submit(world.admission, &request, changed_,
				    &decision);
	second = cb_admission_submit(world.admission, &request, changed_,
				     &decision);
	CU_ASSERT_EQUAL(cb_ticket_state(second), CB_TICKET_WAITING);
	cb_clock_advance(world.clock, 300);
	CU_ASSERT_EQUAL(decision.calls, 0);
	cb_ticket_delete(first);
	CU_ASSERT_EQUAL(decision.calls, 1);
	CU_ASSERT_EQUAL(decision.state, CB_TICKET_RUNNING);
	cb_ticket_delete(second);
	world_close_(&world);
}

/* A workspace whose callers ask at a steady rate or as fast as they may. */
typedef struct tenant {
	cb_contract_t contract;
	char name[16];
	double arrivals_per_s;
	double due;
	int64_t asked_tokens;
	int64_t served_tokens;
	GPtrArray *shots;
} tenant_t;

typedef struct shot {
	cb_ticket_t *ticket;
	tenant_t *tenant;
	world_t *world;
	int64_t left;
	double progress;
} shot_t;

#define SHOT_TOKENS 20
#define STREAM_TOKENS_PER_S 30.0

static void shot_changed_(cb_ticket_t *ticket, void *user_data)
{
	shot_t *shot = user_data;

	if (cb_ticket_state(ticket) == CB_TICKET_RUNNING)
		shot->world->running++;
}

static void shot_add_(world_t *world, tenant_t *tenant)
{
	cb_admission_request_t request = { &tenant->contract, "m",
					   SHOT_TOKENS * 20 };
	shot_t *shot = g_new0(shot_t, 1);

	shot->tenant = tenant;
	shot->world = world;
	shot->left = SHOT_TOKENS;
	tenant->asked_tokens += SHOT_TOKENS;
	shot->ticket = cb_admission_submit(world->admission, &request,
					   shot_changed_, shot);
	if (cb_ticket_state(shot->ticket) == CB_TICKET_RUNNING)
		world->running++;
	g_ptr_array_add(tenant->shots, shot);
}

/* Moves one request on by a step; TRUE when it has ended. */
static gboolean shot_step_(shot_t *shot)
{
	int64_t tokens;

	if (cb_ticket_state(shot->ticket) == CB_TICKET_REFUSED)
		return TRUE;
	if (cb_ticket_state(shot->ticket) != CB_TICKET_RUNNING)
		return FALSE;
	shot->progress += STREAM_TOKENS_PER_S * STEP_MS / 1000;
	tokens = MIN((int64_t)shot->progress, shot->left);
	shot->progress -= (double)tokens;
	shot->left -= tokens;
	shot->tenant->served_tokens += tokens;
	cb_ticket_charge(shot->ticket, tokens);
	return !shot->left;
}

static void tenant_step_(world_t *world, tenant_t *tenant)
{
	unsigned int i;

	world_lend_(world, &tenant->contract);
	tenant->due += tenant->arrivals_per_s * STEP_MS / 1000;
	for (; tenant->due >= 1; tenant->due--)
		shot_add_(world, tenant);
	for (i = tenant->shots->len; i > 0; i--) {
		shot_t *shot = g_ptr_array_index(tenant->shots, i - 1);

		if (!shot_step_(shot))
			continue;
		world->running -=
			cb_ticket_state(shot->ticket) == CB_TICKET_RUNNING;
		g_ptr_array_remove_index_fast(tenant->shots, i - 1);
		cb_ticket_delete(shot->ticket);
		g_free(shot);
	}
}

static void tenant_open_(tenant_t *tenant, int number, int64_t guaranteed)
{
	*tenant = (tenant_t){ 0 };
	g_snprintf(tenant->name, sizeof(tenant->name), "w%d", number);
	tenant->contract.workspace = tenant->name;
	tenant->contract.guaranteed_tokens_per_s = guaranteed;
	tenant->contract.ceiling_tokens_per_s = guaranteed * 5;
	tenant->contract.concurrent_requests = 1000;
	tenant->contract.deadline_ms = 60000;
	tenant->shots = g_ptr_array_new();
}

static void tenant_close_(tenant_t *tenant)
{
	unsigned int i;

	for (i = 0; i < tenant->shots->len; i++) {
		shot_t *shot = g_ptr_array_index(tenant->shots, i);

		cb_ticket_delete(shot->ticket);
		g_free(shot);
	}
	g_ptr_array_unref(tenant->shots);
}

/*
 * Ten workspaces ask for 95 in 100 of their guarantee, one of them for 50
 * times as much, and the servers can do just what is guaranteed.  Those
 * within their guarantee get 99 in 100 of what they ask for, the servers
 * are used to 95 in 100, and equal workspaces fare equally.
 */
static void guarantees_hold_while_one_over_asks(void)
{
	static const int64_t guaranteed = 300;
	int64_t capacity = WORKSPACES * guaranteed;
	tenant_t tenants[WORKSPACES];
	int64_t served = 0;
	double sum = 0;
	double squares = 0;
	world_t world;
	int64_t ms;
	int i;

	world_open_(&world, capacity / (int64_t)STREAM_TOKENS_PER_S);
	for (i = 0; i < WORKSPACES; i++) {
		tenant_open_(&tenants[i], i, guaranteed);
		tenants[i].due = (double)i / WORKSPACES;
		tenants[i].arrivals_per_s =
			0.95 * (double)guaranteed / SHOT_TOKENS;
	}
	tenants[0].arrivals_per_s *= 50;
	for (ms = 0; ms < 60000; ms += STEP_MS) {
		for (i = 0; i < WORKSPACES; i++)
			tenant_step_(&world, &tenants[i]);
		cb_clock_advance(world.clock, STEP_MS);
	}
	for (i = 1; i < WORKSPACES; i++) {
		double share =
			(double)tenants[i].served_tokens /
			(double)(tenants[i].asked_tokens -
				 (int64_t)tenants[i].shots->len * SHOT_TOKENS);

		CU_ASSERT_TRUE(share >= 0.99);
		if (share < 0.99)
			printf("    %s: %.3f of what it asked for\n",
			       tenants[i].name, share);
		sum += share;
		squares += share * share;
	}
	for (i = 0; i < WORKSPACES; i++)
		served += tenants[i].served_tokens;
	CU_ASSERT_TRUE(sum * sum / ((WORKSPACES - 1) * squares) >= 0.98);
	CU_ASSERT_TRUE((double)served >= 0.95 * (double)capacity * 60);
	printf("    used %.3f of what the servers can do\n",
	       (double)served / ((double)capacity * 60));
	for (i = 0; i < WORKSPACES; i++)
		tenant_close_(&tenants[i]);
	world_close_(&world);
}

/*
 * A workspace that asks for ten times its ceiling gets at most 105 in 100
 * of it over any ten seconds, and at least 90 in 100 over the whole time.
 */
static void ceiling_holds_over_ten_seconds(void)
{
	int64_t at_ms[6001];
	tenant_t tenant;
	int64_t ceiling;
	world_t world;
	int steps;
	int i;

	world_open_(&world, 100000);
	tenant_open_(&tenant, 0, 200);
	ceiling = tenant.contract.ceiling_tokens_per_s;
	tenant.arrivals_per_s = 10.0 * (double)ceiling / SHOT_TOKENS;
	for (steps = 0; steps <= 6000; steps++) {
		tenant_step_(&world, &tenant);
		at_ms[steps] = tenant.served_tokens;
		cb_clock_advance(world.clock, STEP_MS);
	}
	for (i = 0; i + 1000 <= 6000; i += 10) {
		int64_t used = at_ms[i + 1000] - at_ms[i];

		CU_ASSERT_TRUE(used <= ceiling * 10 * 105 / 100);
		if (used > ceiling * 10 * 105 / 100)
			printf("    from %d ms: %d of %d\n", i * STEP_MS,
			       (int)used, (int)ceiling * 10);
	}
	CU_ASSERT_TRUE(tenant.served_tokens >= ceiling * 60 * 90 / 100);
	printf("    %.3f of the ceiling\n",
	       (double)tenant.served_tokens / ((double)ceiling * 60));
	tenant_close_(&tenant);
	world_close_(&world);
}

static CU_TestInfo admission_tests[] = {
	{ "first_decision_by_limits", first_decision_by_limits },
	{ "waiting_ends_with_a_reason", waiting_ends_with_a_reason },
	{ "waiting_begins_when_free", waiting_begins_when_free },
	{ "guarantees_hold_while_one_over_asks",
	  guarantees_hold_while_one_over_asks },
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
