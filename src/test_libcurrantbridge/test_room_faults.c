#include "support_main.h"

#include "private/room.h"

#define START_MS 100000
#define UPDATE_MS 200
#define CAPACITY_TOKENS 1000.0
#define RESIDENCE_MS 2000.0

/* A room that one paused clock drives. */
typedef struct room_world {
	cb_clock_t *clock;
	GRand *random;
	cb_room_t *room;
} room_world_t;

static void world_init_(room_world_t *world)
{
	world->clock = cb_clock_new_paused(START_MS);
	world->random = g_rand_new_with_seed(1);
	world->room = cb_room_new(world->clock, world->random);
}

static void world_clear_(room_world_t *world)
{
	cb_room_delete(world->room);
	g_rand_free(world->random);
	cb_clock_delete(world->clock);
}

/* Returns how many of `count` requests of a flow for one token may begin. */
static unsigned int requests_play_(room_world_t *world,
				   const cb_room_flow_t *flow,
				   unsigned int count)
{
	const cb_room_request_t request = { .rank = flow->rank,
					    .workspace = flow->workspace,
					    .tokens = 1,
					    .time_left_ms = 1000 };
	unsigned int admitted = 0;

	while (count--)
		admitted +=
			cb_room_decide(world->room, "s", &request).is_admitted;
	return admitted;
}

/*
 * Updates the room for `time_ms` while the requests of `flow` arrive here;
 * `is_fresh`: sums arrive all the time.  Returns the part that may begin.
 */
static double world_play_(room_world_t *world, cb_room_state_t *state,
			  const cb_room_flow_t *flow, int64_t time_ms,
			  gboolean is_fresh)
{
	unsigned int count =
		(unsigned int)(flow->offered_tokens_per_s * UPDATE_MS / 1000);
	unsigned int admitted = 0;
	unsigned int rounds = (unsigned int)(time_ms / UPDATE_MS);
	unsigned int i;

	for (i = 0; i < rounds; i++) {
		cb_clock_advance(world->clock, UPDATE_MS);
		if (is_fresh)
			state->sum_received_ms = cb_clock_now_ms(world->clock);
		cb_room_update(world->room, "s", state);
		admitted += requests_play_(world, flow, count);
	}
	return (double)admitted / (rounds * count);
}

/*
 * Engines are half used.  A sum tells of slow streams for a moment, then control
 * is away for 5 s, then sums tell of none: what was slow then must not count for
 * as long as no news came.
 */
static void slow_ratio_of_an_old_sum_does_not_count(void)
{
	const cb_room_flow_t flow = { 0, "", CAPACITY_TOKENS / 4 };
	cb_room_state_t state = { .capacity_tokens = CAPACITY_TOKENS,
				  .used_tokens = CAPACITY_TOKENS / 2,
				  .own_tokens = CAPACITY_TOKENS / 2,
				  .instances = 1,
				  .residence_ms = RESIDENCE_MS,
				  .flows = &flow,
				  .flow_count = 1 };
	room_world_t world;

	world_init_(&world);
	CU_ASSERT_EQUAL(world_play_(&world, &state, &flow, 5000, TRUE), 1);
	state.slow_ratio = 0.2;
	CU_ASSERT_EQUAL(world_play_(&world, &state, &flow, UPDATE_MS, TRUE), 1);
	(void)world_play_(&world, &state, &flow, 5000, FALSE);
	state.slow_ratio = 0;
	CU_ASSERT_EQUAL(world_play_(&world, &state, &flow, 1000, TRUE), 1);
	world_clear_(&world);
}

/*
 * A workspace of the most urgent rank asks for more than all engines hold, and so
 * never begins.  What it can't use is the less urgent rank's.
 */
static void impossible_request_takes_no_room_from_others(void)
{
	const cb_room_flow_t flows[] = {
		{ 0, "greedy", UINT32_MAX },
		{ 1, "modest", CAPACITY_TOKENS / 10 },
	};
	cb_room_state_t state = { .capacity_tokens = CAPACITY_TOKENS,
				  .used_tokens = CAPACITY_TOKENS / 5,
				  .own_tokens = CAPACITY_TOKENS / 5,
				  .instances = 1,
				  .residence_ms = RESIDENCE_MS,
				  .flows = flows,
				  .flow_count = G_N_ELEMENTS(flows) };
	room_world_t world;

	world_init_(&world);
	CU_ASSERT_EQUAL(world_play_(&world, &state, &flows[1], 5000, TRUE), 1);
	world_clear_(&world);
}

/* A caller whose time is over is not told to come back in the past. */
static void refused_caller_is_not_sent_to_the_past(void)
{
	const cb_room_flow_t flow = { 0, "", CAPACITY_TOKENS * 100 };
	const cb_room_request_t request = { .workspace = "",
					    .tokens = 1,
					    .time_left_ms = -300 };
	cb_room_state_t state = { .capacity_tokens = CAPACITY_TOKENS,
				  .used_tokens = CAPACITY_TOKENS,
				  .instances = 1,
				  .residence_ms = RESIDENCE_MS,
				  .flows = &flow,
				  .flow_count = 1 };
	room_world_t world;
	unsigned int past_count = 0;
	unsigned int i;

	world_init_(&world);
	(void)world_play_(&world, &state, &flow, 1000, TRUE);
	for (i = 0; i < 100; i++)
		past_count += cb_room_decide(world.room, "s", &request)
				      .retry_after_ms < 0;
	CU_ASSERT_EQUAL(past_count, 0);
	world_clear_(&world);
}

static CU_TestInfo room_faults_tests[] = {
	{ "slow_ratio_of_an_old_sum_does_not_count",
	  slow_ratio_of_an_old_sum_does_not_count },
	{ "impossible_request_takes_no_room_from_others",
	  impossible_request_takes_no_room_from_others },
	{ "refused_caller_is_not_sent_to_the_past",
	  refused_caller_is_not_sent_to_the_past },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "room_faults",
				    .pTests = room_faults_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
