#include "support_main.h"

#include <string.h>

#include "currantbridge/allocation.h"

#define ENTRY_COUNT 20
#define STEPS_PER_SEED 400
#define SEED_COUNT 50
#define STEP_MS 50
#define CEILING 1000

static cb_contract_t contract_make_(void)
{
	cb_contract_t contract = { .workspace = (char *)"w",
				   .ceiling_tokens_per_s = CEILING,
				   .ceiling_requests_per_s = CEILING,
				   .concurrent_requests = CEILING };

	return contract;
}

static cb_amount_t amount_make_uniform_(int64_t value)
{
	return (cb_amount_t){ value, value, value };
}

/*
 * Two instances get what they request while it fits into the leasable 900 of
 * a limit of 1000, and proportional parts of it otherwise; a sole instance
 * gets at most nine tenths.
 */
static void leases_are_divided_by_demand(void)
{
	static const struct {
		int64_t wanted_a;
		int64_t wanted_b;
		/*
		 * amount granted to the first instance after four reports of
		 * each instance
		 */
		int64_t granted_a;
		int64_t granted_b;
	} cases[] = {
		{ 100, 0, 100, 0 },	{ 100, 200, 100, 200 },
		{ 900, 900, 450, 450 }, { 2000, 0, 810, 0 },
		{ 300, 900, 225, 675 },
	};
	cb_contract_t contract = contract_make_();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_clock_t *clock = cb_clock_new_paused(0);
		cb_lease_book_t *book = cb_lease_book_new(clock, -CB_LEASE_MS);
		cb_amount_t a = { 0 };
		cb_amount_t b = { 0 };
		int round;

		for (round = 0; round < 4; round++) {
			cb_demand_t demand_a = {
				amount_make_uniform_(cases[i].wanted_a), a
			};
			cb_demand_t demand_b = {
				amount_make_uniform_(cases[i].wanted_b), b
			};

			a = cb_lease_book_grant(book, &contract, "a", demand_a);
			b = cb_lease_book_grant(book, &contract, "b", demand_b);
			cb_clock_advance(clock, CB_DEMAND_INTERVAL_MS);
		}
		CU_ASSERT_EQUAL(a.tokens_per_s, cases[i].granted_a);
		CU_ASSERT_EQUAL(b.tokens_per_s, cases[i].granted_b);
		cb_lease_book_delete(book);
		cb_clock_delete(clock);
	}
}

/*
 * Leases of the previous leader are valid for up to CB_LEASE_MS after the
 * change, so a new leader that granted sooner could exceed the ceiling.
 */
static void new_leader_grants_nothing_until_old_leases_expire(void)
{
	cb_contract_t contract = contract_make_();
	cb_clock_t *clock = cb_clock_new_paused(5000);
	cb_lease_book_t *book = cb_lease_book_new(clock, 5000);
	cb_demand_t demand = { .requested = amount_make_uniform_(10) };
	cb_amount_t granted;

	cb_clock_advance(clock, CB_LEASE_MS - 1);
	granted = cb_lease_book_grant(book, &contract, "a", demand);
	CU_ASSERT_EQUAL(granted.tokens_per_s, 0);
	cb_clock_advance(clock, 1);
	granted = cb_lease_book_grant(book, &contract, "a", demand);
	CU_ASSERT_EQUAL(granted.tokens_per_s, 10);
	cb_lease_book_delete(book);
	cb_clock_delete(clock);
}

typedef struct simulation {
	cb_clock_t *clock;
	GRand *random;
	cb_contract_t contract;
	cb_lease_book_t *book;
	cb_share_table_t *shares[ENTRY_COUNT];
} simulation_t;

/* Sends one report of an entry; report and answer are each lost 1 in 10. */
static void simulation_report_demand_(simulation_t *simulation, int entry)
{
	char *name = g_strdup_printf("entry%d", entry);
	int64_t wanted = g_rand_int_range(simulation->random, 0, CEILING);
	int64_t sent_ms = cb_clock_now_ms(simulation->clock);
	cb_demand_t demand =
		cb_share_table_demand(simulation->shares[entry], "w",
				      amount_make_uniform_(wanted));
	cb_amount_t granted;

	if (g_rand_int_range(simulation->random, 0, 10) > 0) {
		granted = cb_lease_book_grant(simulation->book,
					      &simulation->contract, name,
					      demand);
		if (g_rand_int_range(simulation->random, 0, 10) > 0)
			cb_share_table_set_lease(simulation->shares[entry], "w",
						 granted, sent_ms);
	}
	g_free(name);
}

static void simulation_change_leader_(simulation_t *simulation)
{
	cb_lease_book_delete(simulation->book);
	simulation->book =
		cb_lease_book_new(simulation->clock,
				  cb_clock_now_ms(simulation->clock));
}

static void simulation_restart_entry_(simulation_t *simulation, int entry)
{
	cb_share_table_delete(simulation->shares[entry]);
	simulation->shares[entry] = cb_share_table_new(simulation->clock);
	cb_share_table_set_floor(simulation->shares[entry],
				 &simulation->contract, ENTRY_COUNT, TRUE);
}

static int64_t simulation_sum_limits_(simulation_t *simulation)
{
	int64_t total = 0;
	int i;

	for (i = 0; i < ENTRY_COUNT; i++)
		total += cb_share_table_limits(simulation->shares[i], "w")
				 .tokens_per_s;
	return total;
}

/* Runs the simulation; FALSE as soon as the sum exceeds the ceiling. */
static gboolean simulation_run_(uint32_t seed)
{
	simulation_t simulation = { .clock = cb_clock_new_paused(0),
				    .random = g_rand_new_with_seed(seed),
				    .contract = contract_make_() };
	gboolean is_within = TRUE;
	int i;

	simulation.book = cb_lease_book_new(simulation.clock, 0);
	for (i = 0; i < ENTRY_COUNT; i++)
		simulation_restart_entry_(&simulation, i);
	for (i = 0; i < STEPS_PER_SEED && is_within; i++) {
		cb_clock_advance(simulation.clock, STEP_MS);
		simulation_report_demand_(&simulation,
					  g_rand_int_range(simulation.random, 0,
							   ENTRY_COUNT));
		if (!g_rand_int_range(simulation.random, 0, 100))
			simulation_change_leader_(&simulation);
		if (!g_rand_int_range(simulation.random, 0, 50))
			simulation_restart_entry_(
				&simulation, g_rand_int_range(simulation.random,
							      0, ENTRY_COUNT));
		is_within = simulation_sum_limits_(&simulation) <= CEILING;
	}
	cb_lease_book_delete(simulation.book);
	for (i = 0; i < ENTRY_COUNT; i++)
		cb_share_table_delete(simulation.shares[i]);
	g_rand_free(simulation.random);
	cb_clock_delete(simulation.clock);
	return is_within;
}

/*
 * The sum of the limits over all entry instances never exceeds the ceiling,
 * even when reports and answers are lost, entries restart and leaders change.
 */
static void sum_never_exceeds_ceiling(void)
{
	uint32_t seed;

	for (seed = 1; seed <= SEED_COUNT; seed++) {
		gboolean is_within = simulation_run_(seed);

		CU_ASSERT_TRUE(is_within);
		if (!is_within)
			printf("    seed %u\n", seed);
	}
}

static CU_TestInfo allocation_tests[] = {
	{ "leases_are_divided_by_demand", leases_are_divided_by_demand },
	{ "new_leader_grants_nothing_until_old_leases_expire",
	  new_leader_grants_nothing_until_old_leases_expire },
	{ "sum_never_exceeds_ceiling", sum_never_exceeds_ceiling },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "allocation",
				    .pTests = allocation_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
