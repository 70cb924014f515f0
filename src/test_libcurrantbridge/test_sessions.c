#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_main.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
/* A change is in force everywhere within this, whatever one node does. */
/* Seeds of each case of a group that wakes up. */
#define WAKE_SEEDS 30
/* What a process has begun with before its clock goes back. */
#define CLOCK_INCARNATION 1000
/* All members vote so long after the first leader is there. */
#define FORMED_MS 3000
#define IN_FORCE_LIMIT_MS 15000
/* and within this while all is well. */
#define IN_FORCE_GOAL_MS 200
#define SUBMIT_TIMEOUT_MS 10000

static void views_checked_(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_EQUAL(world->clients[i].went_back, 0);
}

static int silent_seen_(const world_t *world)
{
	int seen = 0;
	size_t i;

	for (i = 0; i < world->client_count; i++)
		seen += world->clients[i].saw_silent;
	return seen;
}

/* Puts a contract and runs until it is answered; returns its revision. */
static uint64_t put_(world_t *world, size_t client, const char *workspace)
{
	char *change_id = g_strdup_printf("put-%s", workspace);
	world_result_t result;
	int64_t waited_ms = 0;

	world_put(world, client, workspace, change_id, SUBMIT_TIMEOUT_MS,
		  &result);
	CU_ASSERT_EQUAL(result.calls, 0);
	for (; !result.calls && waited_ms < 2 * SUBMIT_TIMEOUT_MS; waited_ms++)
		cb_clock_advance(world->clock, 1);
	g_free(change_id);
	CU_ASSERT_EQUAL(result.calls, 1);
	CU_ASSERT_EQUAL(result.outcome, CB_CONTROL_ANSWERED);
	CU_ASSERT_EQUAL(result.kind, CB_ANSWER_OK);
	return result.revision;
}

static size_t follower_(const world_t *world)
{
	return world_leader(world) == 0 ? 1 : 0;
}

/* The leader knows the session of each client, with what is in force. */
static gboolean roster_is_complete_(world_t *world)
{
	const world_node_t *leader = &world->nodes[world_leader(world)];
	const GPtrArray *sessions = cb_node_sessions(leader->node);
	uint64_t revision = cb_state_revision(cb_node_state(leader->node));
	unsigned int i;

	if (sessions->len != world->client_count)
		return FALSE;
	for (i = 0; i < sessions->len; i++) {
		const cb_session_status_t *status =
			g_ptr_array_index(sessions, i);

		if (status->revision_in_force != revision)
			return FALSE;
	}
	return TRUE;
}

static void fetched_(cb_submit_outcome_t outcome, const GPtrArray *sessions,
		     void *user_data)
{
	if (outcome == CB_SUBMIT_ANSWERED)
		*(unsigned int *)user_data = sessions->len;
}

static void changes_reach_every_session(void)
{
	world_t *world = world_new(3, 8, 1);
	unsigned int fetched = 0;
	size_t i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	put_(world, 0, "handicap");
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_GOAL_MS));
	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_PTR_NOT_NULL(
			cb_view_contract(world->clients[i].view, "handicap"));
	CU_ASSERT_TRUE(world_run_until(world, roster_is_complete_, 100));
	cb_node_fetch_sessions(world->nodes[follower_(world)].node, fetched_,
			       &fetched);
	world_run_until(world, NULL, 100);
	CU_ASSERT_EQUAL(fetched, 8);
	views_checked_(world);
	world_delete(world);
}

static gboolean all_are_confirmed_(world_t *world)
{
	size_t i;

	for (i = 0; i < world->client_count; i++)
		if (!cb_control_client_is_confirmed(world->clients[i].client))
			return FALSE;
	return TRUE;
}

/* Sessions that were there before the first leader are known with it. */
static void confirmed_instances_are_known(void)
{
	world_t *world = world_new(3, 8, 10);

	CU_ASSERT_TRUE(
		world_run_until(world, all_are_confirmed_, START_LIMIT_MS));
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_GOAL_MS));
	world_delete(world);
}

/* Cuts a node off without a word; everything goes on through the others. */
static void silent_node_is_left(void)
{
	static const struct {
		gboolean cuts_leader;
	} cases[] = { { FALSE }, { TRUE } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t *world = world_new(3, 9, 2 + (uint32_t)i);
		int64_t begin_ms;
		size_t cut;

		world_run_until(world, world_is_converged, START_LIMIT_MS);
		cut = cases[i].cuts_leader ? (size_t)world_leader(world) :
					     follower_(world);
		world_isolate(world, world->nodes[cut].name, TRUE);
		begin_ms = cb_clock_now_ms(world->clock);
		put_(world, 0, "lakeshore");
		CU_ASSERT_TRUE(world_run_until(
			world, world_is_converged,
			IN_FORCE_LIMIT_MS -
				(cb_clock_now_ms(world->clock) - begin_ms)));
		/* For long after that, nobody is taken for silent. */
		world_run_until(world, NULL, 60000);
		CU_ASSERT_EQUAL(silent_seen_(world), 0);
		world_isolate(world, world->nodes[cut].name, FALSE);
		put_(world, 1, "handicap");
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       IN_FORCE_LIMIT_MS));
		CU_ASSERT_EQUAL(silent_seen_(world), 0);
		views_checked_(world);
		world_delete(world);
	}
}

/* A node cut off from the others only sends its clients away. */
static void node_without_majority_is_left(void)
{
	world_t *world = world_new(3, 9, 4);
	const char *cut;
	size_t i;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	cut = world->nodes[world_leader(world)].name;
	for (i = 0; i < world->node_count; i++) {
		support_hub_block(world->hub, cut, world->nodes[i].name, TRUE);
		support_hub_block(world->hub, world->nodes[i].name, cut, TRUE);
	}
	put_(world, 0, "handicap");
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	CU_ASSERT_EQUAL(silent_seen_(world), 0);
	views_checked_(world);
	world_delete(world);
}

static gboolean first_is_silent_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_SILENT;
}

static gboolean first_is_leaving_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_LEAVING;
}

/* Silent, back, restarted, leaving: each is known at the others. */
static void membership_follows_instances(void)
{
	world_t *world = world_new(3, 3, 5);

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	world_isolate(world, "entry1", TRUE);
	CU_ASSERT_TRUE(
		world_run_until(world, first_is_silent_, 4 * WORLD_SILENCE_MS));
	CU_ASSERT_TRUE(cb_control_client_silence_ms(world->clients[0].client) >=
		       WORLD_SILENCE_MS);
	world_isolate(world, "entry1", FALSE);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	CU_ASSERT_FALSE(first_is_silent_(world));
	world_client_stop(world, 0);
	world_client_start(world, 0);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	cb_control_client_leave(world->clients[0].client);
	CU_ASSERT_TRUE(world_run_until(world, first_is_leaving_, 200));
	/* It stays so while it serves on, whichever node it meets. */
	world_isolate(world, world->nodes[world_leader(world)].name, TRUE);
	world_run_until(world, NULL, 20000);
	CU_ASSERT_TRUE(first_is_leaving_(world));
	views_checked_(world);
	world_delete(world);
}

/* The answer is lost; the resend gets the first answer, and one change. */
static void lost_answer_is_asked_again(void)
{
	world_t *world = world_new(3, 2, 6);
	const cb_contract_t *contract;
	world_result_t result;
	uint64_t applied;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	support_hub_block(world->hub, NULL, "entry1", TRUE);
	world_put(world, 0, "handicap", "once", 30000, &result);
	world_run_until(world, NULL, 500);
	contract = cb_view_contract(world->clients[1].view, "handicap");
	CU_ASSERT_PTR_NOT_NULL_FATAL(contract);
	applied = contract ? contract->revision : 0;
	CU_ASSERT_EQUAL(result.calls, 0);
	world_run_until(world, NULL, 2 * WORLD_SILENCE_MS);
	support_hub_block(world->hub, NULL, "entry1", FALSE);
	world_run_until(world, NULL, 20000);
	CU_ASSERT_EQUAL(result.calls, 1);
	CU_ASSERT_EQUAL(result.outcome, CB_CONTROL_ANSWERED);
	CU_ASSERT_EQUAL(result.revision, applied);
	contract = cb_view_contract(world->clients[1].view, "handicap");
	CU_ASSERT_PTR_NOT_NULL_FATAL(contract);
	CU_ASSERT_EQUAL(contract ? contract->revision : 0, applied);
	world_delete(world);
}

/* No answer comes in time for a change that was accepted: unknown. */
static void lost_answer_is_unknown(void)
{
	world_t *world = world_new(3, 2, 9);
	world_result_t result;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	support_hub_block(world->hub, NULL, "entry1", TRUE);
	world_put(world, 0, "handicap", "once", 1000, &result);
	world_run_until(world, NULL, 1500);
	CU_ASSERT_EQUAL(result.calls, 1);
	CU_ASSERT_EQUAL(result.outcome, CB_CONTROL_UNKNOWN);
	CU_ASSERT_PTR_NOT_NULL(
		cb_view_contract(world->clients[1].view, "handicap"));
	world_delete(world);
}

/* Without a majority nothing is accepted, and no new entry is confirmed. */
static void no_majority_confirms_nothing(void)
{
	world_t *world = world_new(3, 2, 7);
	world_result_t never_sent;
	world_result_t sent;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	world_node_stop(world, 0);
	world_node_stop(world, 1);
	world_client_stop(world, 1);
	world_client_start(world, 1);
	world_put(world, 0, "a", "a", 5000, &sent);
	world_run_until(world, NULL, 20000);
	world_put(world, 0, "b", "b", 5000, &never_sent);
	world_run_until(world, NULL, 20000);
	CU_ASSERT_EQUAL(sent.calls, 1);
	CU_ASSERT_NOT_EQUAL(sent.outcome, CB_CONTROL_ANSWERED);
	CU_ASSERT_EQUAL(never_sent.calls, 1);
	CU_ASSERT_EQUAL(never_sent.outcome, CB_CONTROL_UNAVAILABLE);
	CU_ASSERT_TRUE(
		cb_control_client_is_confirmed(world->clients[0].client));
	CU_ASSERT_FALSE(
		cb_control_client_is_confirmed(world->clients[1].client));
	CU_ASSERT_TRUE(cb_control_client_silence_ms(world->clients[0].client) >
		       10000);
	world_node_start(world, 0);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	world_delete(world);
}

static gboolean kernels_are_drained_(world_t *world)
{
	size_t i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].kernel &&
		    cb_kernel_is_drained(world->nodes[i].kernel))
			return TRUE;
	return FALSE;
}

/* A leader that stops hands over and sends its clients on at once. */
static void stopping_leader_hands_over(void)
{
	world_t *world = world_new(3, 9, 8);
	int leader;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	leader = world_leader(world);
	cb_kernel_drain(world->nodes[leader].kernel);
	CU_ASSERT_TRUE(world_run_until(world, kernels_are_drained_,
				       2 * WORLD_ELECTION_MS));
	world_node_stop(world, (size_t)leader);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, WORLD_ELECTION_MS));
	CU_ASSERT_NOT_EQUAL(world_leader(world), leader);
	put_(world, 0, "handicap");
	world_run_until(world, NULL, 20000);
	CU_ASSERT_EQUAL(silent_seen_(world), 0);
	views_checked_(world);
	world_delete(world);
}

/* What one run of random faults was told, to be held against the end. */
typedef struct chaos_put {
	char *workspace;
	world_result_t result;
} chaos_put_t;

#define CHAOS_ROUNDS 25
#define CHAOS_TIMEOUT_MS 4000

/* One random fault, or the end of one. */
static void chaos_fault_(world_t *world)
{
	size_t node = (size_t)g_rand_int_range(world->random, 0,
					       (int)world->node_count);
	/* The first client submits the changes, so it is not ended. */
	size_t client = (size_t)g_rand_int_range(world->random, 1,
						 (int)world->client_count);
	const char *name = world->nodes[node].name;

	switch (g_rand_int_range(world->random, 0, 7)) {
	case 0:
		world_isolate(world, name, TRUE);
		break;
	case 1:
		support_hub_block(world->hub, name, NULL, TRUE);
		break;
	case 2:
	case 3:
		world_isolate(world, name, FALSE);
		break;
	case 4:
		world_node_stop(world, node);
		world_node_start(world, node);
		break;
	case 5:
		world_client_stop(world, client);
		world_client_start(world, client);
		break;
	default:
		support_hub_block(world->hub, NULL, world->clients[client].name,
				  g_rand_boolean(world->random));
		break;
	}
}

static void chaos_heal_(world_t *world)
{
	size_t i;

	for (i = 0; i < world->node_count; i++)
		world_isolate(world, world->nodes[i].name, FALSE);
	for (i = 0; i < world->client_count; i++)
		world_isolate(world, world->clients[i].name, FALSE);
}

/* Every change that was answered is in force everywhere at the end. */
static int chaos_lost_(const world_t *world, const chaos_put_t *puts)
{
	int lost = 0;
	size_t i;
	int k;

	for (k = 0; k < CHAOS_ROUNDS; k++) {
		if (!puts[k].result.calls ||
		    puts[k].result.outcome != CB_CONTROL_ANSWERED)
			continue;
		for (i = 0; i < world->client_count; i++) {
			const cb_contract_t *contract =
				cb_view_contract(world->clients[i].view,
						 puts[k].workspace);

			if (!contract ||
			    contract->revision != puts[k].result.revision)
				lost++;
		}
	}
	return lost;
}

static gboolean chaos_run_(uint32_t seed, int *answered)
{
	world_t *world = world_new(seed % 2 ? 3 : 5, 6, seed);
	chaos_put_t puts[CHAOS_ROUNDS] = { 0 };
	gboolean is_right;
	int k;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	for (k = 0; k < CHAOS_ROUNDS; k++) {
		puts[k].workspace = g_strdup_printf("w%d", k);
		world_put(world, 0, puts[k].workspace, puts[k].workspace,
			  CHAOS_TIMEOUT_MS, &puts[k].result);
		chaos_fault_(world);
		world_run_until(world, NULL,
				g_rand_int_range(world->random, 50, 3000));
	}
	chaos_heal_(world);
	world_run_until(world, NULL, CHAOS_TIMEOUT_MS);
	is_right = world_run_until(world, world_is_converged, 30000);
	if (!is_right)
		printf("    not converged\n");
	if (chaos_lost_(world, puts)) {
		printf("    %d lost\n", chaos_lost_(world, puts));
		is_right = FALSE;
	}
	for (k = 0; k < (int)world->client_count; k++)
		is_right &= !world->clients[k].went_back;
	for (k = 0; k < CHAOS_ROUNDS; k++) {
		*answered += puts[k].result.calls == 1 &&
			     puts[k].result.outcome == CB_CONTROL_ANSWERED;
		is_right &= puts[k].result.calls == 1;
	}
	world_delete(world);
	for (k = 0; k < CHAOS_ROUNDS; k++)
		g_free(puts[k].workspace);
	return is_right;
}

/* CB_SEEDS sets the number of runs. */
static void random_faults_lose_nothing(void)
{
	const char *wanted = g_getenv("CB_SEEDS");
	uint32_t seeds = wanted ? (uint32_t)atoi(wanted) : 20;
	int answered = 0;
	uint32_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		gboolean is_right = chaos_run_(seed, &answered);

		CU_ASSERT_TRUE(is_right);
		if (!is_right)
			printf("    seed %u\n", seed);
	}
	printf("    %u runs, %d changes accepted\n", seeds, answered);
	CU_ASSERT_TRUE(answered > 0);
}

static gboolean has_leader_(world_t *world)
{
	return world_leader(world) >= 0;
}

/* Everybody loses power and comes back, one after the other. */
static const struct {
	size_t count;
	int64_t up_ms[WORLD_NODES_MAX]; /* ascending */
	size_t majority;		/* which one makes it up */
} wake_cases[] = {
	{ 3, { 0, 300, 900 }, 1 },
	{ 5, { 0, 40, 300, 330, 480 }, 2 },
	{ 5, { 0, 700, 1400, 1401, 1402 }, 2 },
};

/*
 * A group leads again within one election timeout of the start of the
 * instance that makes up its majority, though connections to those that were
 * still down hang.
 */
static void woken_groups_lead_soon(void)
{
	unsigned int late = 0;
	uint32_t seed;
	size_t c;
	size_t i;

	for (c = 0; c < G_N_ELEMENTS(wake_cases); c++)
		for (seed = 1; seed <= WAKE_SEEDS; seed++) {
			const size_t count = wake_cases[c].count;
			world_t *world = world_new(count, 0, seed);
			int64_t last_ms = 0;

			world_run_until(world, has_leader_, START_LIMIT_MS);
			world_run_until(world, NULL, FORMED_MS);
			for (i = 0; i < count; i++) {
				world_isolate(world, world->nodes[i].name,
					      TRUE);
				world_node_stop(world, i);
			}
			for (i = 0; i <= wake_cases[c].majority; i++) {
				cb_clock_advance(world->clock,
						 wake_cases[c].up_ms[i] -
							 last_ms);
				last_ms = wake_cases[c].up_ms[i];
				world_isolate(world, world->nodes[i].name,
					      FALSE);
				world_node_start(world, i);
			}
			if (!world_run_until(world, has_leader_,
					     WORLD_ELECTION_MS)) {
				printf("    late: case %zu, seed %u\n", c,
				       seed);
				late++;
			}
			world_delete(world);
		}
	CU_ASSERT_EQUAL(late, 0);
}

/* Whether the second client's view has the first entry ready as it is now. */
static gboolean first_is_back_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_READY &&
	       instance->incarnation > CLOCK_INCARNATION;
}

/*
 * An entry instance whose clock has gone back before its restart is in the
 * addresses again, also after it had said that it leaves.
 */
static void clocks_that_go_back_keep_nobody_out(void)
{
	unsigned int leaves;

	for (leaves = 0; leaves < 2; leaves++) {
		world_t *world = world_new(3, 2, 6 + leaves);

		world->clients[0].incarnation = CLOCK_INCARNATION - 1;
		world_client_stop(world, 0);
		world_client_start(world, 0);
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       START_LIMIT_MS));
		if (leaves) {
			cb_control_client_leave(world->clients[0].client);
			CU_ASSERT_TRUE(
				world_run_until(world, first_is_leaving_, 200));
		}
		world_client_stop(world, 0);
		world->clients[0].incarnation = 10;
		world_client_start(world, 0);
		CU_ASSERT_TRUE(world_run_until(world, first_is_back_,
					       IN_FORCE_LIMIT_MS));
		world_delete(world);
	}
}

static CU_TestInfo session_tests[] = {
	{ "changes_reach_every_session", changes_reach_every_session },
	{ "confirmed_instances_are_known", confirmed_instances_are_known },
	{ "silent_node_is_left", silent_node_is_left },
	{ "node_without_majority_is_left", node_without_majority_is_left },
	{ "membership_follows_instances", membership_follows_instances },
	{ "lost_answer_is_asked_again", lost_answer_is_asked_again },
	{ "lost_answer_is_unknown", lost_answer_is_unknown },
	{ "no_majority_confirms_nothing", no_majority_confirms_nothing },
	{ "stopping_leader_hands_over", stopping_leader_hands_over },
	{ "random_faults_lose_nothing", random_faults_lose_nothing },
	{ "clocks_that_go_back_keep_nobody_out",
	  clocks_that_go_back_keep_nobody_out },
	{ "woken_groups_lead_soon", woken_groups_lead_soon },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "sessions",
				    .pTests = session_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
