#include <stdio.h>

#include "support_main.h"
#include "support_world.h"

#define NODE_COUNT 9
#define CLIENT_COUNT 26
#define START_LIMIT_MS 10000
/* Time until sessions have spread over the nodes. */
#define SPREAD_MS 12000
/* An accepted change must be in force everywhere after this time. */
#define IN_FORCE_LIMIT_MS 2000
#define WATCH_MS 12000
#define SUBMIT_INTERVAL_MS 100
#define STEP_MS 5
#define SEED_COUNT 10

/* The timeouts of the programs on the users' platform. */
static const world_timing_t platform_timing = {
	.heartbeat_ms = 100,
	.election_ms = 450,
	.silence_ms = 1000,
	.client_heartbeat_ms = 300,
};

/* How nodes fail at the same moment. */
typedef enum node_loss {
	LOSS_KILL,  /* connections are closed, new ones refused */
	LOSS_POWER, /* connections are silent, new ones hang */
} node_loss_t;

typedef struct loss_case {
	const char *label;
	node_loss_t loss;
	size_t lost_count; /* the first nodes, after the leader */
	/* How many of them stay lost; connections to these hang. */
	size_t gone_count;
	int64_t off_ms; /* time until the others are started again */
} loss_case_t;

static const loss_case_t loss_cases[] = {
	{ "leader lost", LOSS_POWER, 1, 1, 0 },
	{ "leader and one lost", LOSS_POWER, 2, 2, 0 },
	{ "all killed", LOSS_KILL, NODE_COUNT, 0, 600 },
	{ "all killed, 1 gone", LOSS_KILL, NODE_COUNT, 1, 600 },
	{ "all killed, 1 gone, later", LOSS_KILL, NODE_COUNT, 1, 1300 },
	{ "all killed, 2 gone", LOSS_KILL, NODE_COUNT, 2, 600 },
	{ "all killed, 2 gone, later", LOSS_KILL, NODE_COUNT, 2, 1300 },
	{ "all without power", LOSS_POWER, NODE_COUNT, 0, 1300 },
	{ "all without power, 2 gone", LOSS_POWER, NODE_COUNT, 2, 1300 },
};

static void submit_done_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
			 void *user_data)
{
	(void)answer;
	if (outcome == CB_SUBMIT_ANSWERED)
		*(gboolean *)user_data = TRUE;
}

/* Submits the change at a node that runs; the answer sets `is_accepted`. */
static void change_submit_(world_t *world, gboolean *is_accepted)
{
	size_t i = (size_t)g_rand_int_range(world->random, 0, NODE_COUNT);
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_ADD);

	if (!world->nodes[i].node) {
		cb_command_delete(command);
		return;
	}
	command->change_id = g_strdup("change");
	command->name = g_strdup("digest");
	command->until_wall_ms = INT64_MAX;
	cb_node_submit(world->nodes[i].node, command, submit_done_,
		       is_accepted);
}

/* Returns how many clients don't have the change in force. */
static size_t clients_behind_count_(const world_t *world)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < world->client_count; i++)
		count += !cb_view_is_quarantined(world->clients[i].view,
						 "digest", 0);
	return count;
}

/* Returns the node that is lost as the `i`th; the leader is the first. */
static size_t lost_node_(size_t leader, size_t i)
{
	return (leader + i) % NODE_COUNT;
}

static void nodes_lose_(world_t *world, const loss_case_t *loss, size_t leader)
{
	size_t i;

	for (i = 0; i < loss->lost_count; i++) {
		size_t node = lost_node_(leader, i);

		if (loss->loss == LOSS_POWER || i < loss->gone_count)
			world_isolate(world, world->nodes[node].name, TRUE);
		world_node_stop(world, node);
	}
}

static void nodes_restart_(world_t *world, const loss_case_t *loss,
			   size_t leader)
{
	size_t i;

	for (i = loss->gone_count; i < loss->lost_count; i++) {
		size_t node = lost_node_(leader, i);

		world_isolate(world, world->nodes[node].name, FALSE);
		world_node_start(world, node);
	}
}

/*
 * Returns the time from the acceptance of a change, which is submitted until a
 * node accepts it, until it is in force at all clients; WATCH_MS: never.
 */
static int64_t change_delay_measure_(const loss_case_t *loss, uint32_t seed)
{
	world_t *world = world_new_with_timing(NODE_COUNT, CLIENT_COUNT, seed,
					       &platform_timing);
	gboolean is_accepted = FALSE;
	int64_t delay_ms = WATCH_MS;
	int64_t accepted_ms = 0;
	int64_t elapsed_ms;
	size_t leader;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	world_run_until(world, NULL, SPREAD_MS);
	leader = (size_t)world_leader(world);
	nodes_lose_(world, loss, leader);
	for (elapsed_ms = 0; elapsed_ms < WATCH_MS; elapsed_ms += STEP_MS) {
		if (elapsed_ms == loss->off_ms)
			nodes_restart_(world, loss, leader);
		if (!is_accepted && elapsed_ms % SUBMIT_INTERVAL_MS == 0)
			change_submit_(world, &is_accepted);
		cb_clock_advance(world->clock, STEP_MS);
		if (is_accepted && !accepted_ms)
			accepted_ms = elapsed_ms;
		if (is_accepted && !clients_behind_count_(world)) {
			delay_ms = elapsed_ms - accepted_ms;
			break;
		}
	}
	world_delete(world);
	return delay_ms;
}

/*
 * Clients that lost their sessions must find a node that runs before a change
 * is overdue, also while some nodes stay lost and others turn them away.
 */
static void changes_are_in_force_after_loss_of_control(void)
{
	const char *seeds_text = g_getenv("CB_SEEDS");
	uint32_t seed_count =
		seeds_text ? (uint32_t)g_ascii_strtoull(seeds_text, NULL, 10) :
			     SEED_COUNT;
	uint32_t seed;
	size_t c;

	for (c = 0; c < G_N_ELEMENTS(loss_cases); c++) {
		int64_t worst_ms = 0;
		uint32_t late = 0;

		for (seed = 1; seed <= seed_count; seed++) {
			int64_t delay_ms =
				change_delay_measure_(&loss_cases[c], seed);

			worst_ms = MAX(worst_ms, delay_ms);
			late += delay_ms > IN_FORCE_LIMIT_MS;
		}
		CU_ASSERT_EQUAL(late, 0);
		if (late)
			printf("    %s: %u of %u late, worst %d ms\n",
			       loss_cases[c].label, late, seed_count,
			       (int)worst_ms);
	}
}

static CU_TestInfo session_loss_tests[] = {
	{ "changes_are_in_force_after_loss_of_control",
	  changes_are_in_force_after_loss_of_control },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "session_loss",
				    .pTests = session_loss_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
