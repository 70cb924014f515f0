#include "support_main.h"

#include <string.h>

#include "currantbridge/allocation.h"

#define ENTRIES 20
#define ROUNDS 400
#define SEEDS 50
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

static cb_amount_t amount_(int64_t value)
{
	return (cb_amount_t){ value, value, value };
}

/* One lender and one borrower, as the table says. */
static void lease_follows_demand(void)
{
	static const struct {
		int64_t wanted_a;
		int64_t wanted_b;
		int64_t granted_a; /* after two rounds of reports */
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
			cb_demand_t demand_a = { amount_(cases[i].wanted_a),
						 a };
			cb_demand_t demand_b = { amount_(cases[i].wanted_b),
						 b };

			a = cb_lease_book_lend(book, &contract, "a", demand_a);
			b = cb_lease_book_lend(book, &contract, "b", demand_b);
			cb_clock_advance(clock, CB_DEMAND_INTERVAL_MS);
		}
		CU_ASSERT_EQUAL(a.tokens_per_s, cases[i].granted_a);
		CU_ASSERT_EQUAL(b.tokens_per_s, cases[i].granted_b);
		cb_lease_book_delete(book);
		cb_clock_delete(clock);
	}
}

static void new_leader_waits_for_old_leases(void)
{
	cb_contract_t contract = contract_make_();
	cb_clock_t *clock = cb_clock_new_paused(5000);
	cb_lease_book_t *book = cb_lease_book_new(clock, 5000);
	cb_demand_t demand = { .wanted = amount_(10) };
	cb_amount_t granted;

	cb_clock_advance(clock, CB_LEASE_MS - 1);
	granted = cb_lease_book_lend(book, &contract, "a", demand);
	CU_ASSERT_EQUAL(granted.tokens_per_s, 0);
	cb_clock_advance(clock, 1);
	granted = cb_lease_book_lend(book, &contract, "a", demand);
	CU_ASSERT_EQUAL(granted.tokens_per_s, 10);
	cb_lease_book_delete(book);
	cb_clock_delete(clock);
}

typedef struct world {
	cb_clock_t *clock;
	GRand *random;
	cb_contract_t contract;
	cb_lease_book_t *book;
	cb_share_table_t *shares[ENTRIES];
} world_t;

/* One report of an entry; request or answer may be lost. */
static void world_report_(world_t *world, int entry)
{
	char *name = g_strdup_printf("entry%d", entry);
	int64_t wanted = g_rand_int_range(world->random, 0, CEILING);
	int64_t sent_ms = cb_clock_now_ms(world->clock);
	cb_demand_t demand = cb_share_table_demand(world->shares[entry], "w",
						   amount_(wanted));
	cb_amount_t granted;

	if (g_rand_int_range(world->random, 0, 10) > 0) {
		granted = cb_lease_book_lend(world->book, &world->contract,
					     name, demand);
		if (g_rand_int_range(world->random, 0, 10) > 0)
			cb_share_table_lease(world->shares[entry], "w", granted,
					     sent_ms);
	}
	g_free(name);
}

static void world_leader_change_(world_t *world)
{
	cb_lease_book_delete(world->book);
	world->book =
		cb_lease_book_new(world->clock, cb_clock_now_ms(world->clock));
}

static void world_entry_restart_(world_t *world, int entry)
{
	cb_share_table_delete(world->shares[entry]);
	world->shares[entry] = cb_share_table_new(world->clock);
	cb_share_table_set_floor(world->shares[entry], &world->contract,
				 ENTRIES, TRUE);
}

static int64_t world_total_(world_t *world)
{
	int64_t total = 0;
	int i;

	for (i = 0; i < ENTRIES; i++)
		total += cb_share_table_limits(world->shares[i], "w")
				 .tokens_per_s;
	return total;
}

static gboolean world_run_(uint32_t seed)
{
	world_t world = { .clock = cb_clock_new_paused(0),
			  .random = g_rand_new_with_seed(seed),
			  .contract = contract_make_() };
	gboolean is_within = TRUE;
	int i;

	world.book = cb_lease_book_new(world.clock, 0);
	for (i = 0; i < ENTRIES; i++)
		world_entry_restart_(&world, i);
	for (i = 0; i < ROUNDS && is_within; i++) {
		cb_clock_advance(world.clock, STEP_MS);
		world_report_(&world,
			      g_rand_int_range(world.random, 0, ENTRIES));
		if (!g_rand_int_range(world.random, 0, 100))
			world_leader_change_(&world);
		if (!g_rand_int_range(world.random, 0, 50))
			world_entry_restart_(&world,
					     g_rand_int_range(world.random, 0,
							      ENTRIES));
		is_within = world_total_(&world) <= CEILING;
	}
	cb_lease_book_delete(world.book);
	for (i = 0; i < ENTRIES; i++)
		cb_share_table_delete(world.shares[i]);
	g_rand_free(world.random);
	cb_clock_delete(world.clock);
	return is_within;
}

/*
 * With lost reports and answers, restarts and leader changes, the sum over
 * all entry instances never exceeds the ceiling.
 */
static void sum_never_exceeds_ceiling(void)
{
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		gboolean is_within = world_run_(seed);

		CU_ASSERT_TRUE(is_within);
		if (!is_within)
			printf("    seed %u\n", seed);
	}
}

static CU_TestInfo allocation_tests[] = {
	{ "lease_follows_demand", lease_follows_demand },
	{ "new_leader_waits_for_old_leases", new_leader_waits_for_old_leases },
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
