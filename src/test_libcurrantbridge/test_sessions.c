#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/link_message.h"
#include "private/usage.h"
#include "support_main.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
/* Number of runs of each case of restarted_group_elects_leader_in_time(). */
#define RESTART_SEED_COUNT 30
/* Incarnation of an entry instance before its clock is set back. */
#define PREVIOUS_INCARNATION 1000
/* Time after the first election until all members are voters. */
#define GROUP_FORMED_MS 3000
/* Time until a change is in force everywhere, whatever fault a node has. */
#define IN_FORCE_LIMIT_MS 15000
/* Time until a change is in force everywhere, without any fault. */
#define IN_FORCE_NO_FAULT_LIMIT_MS 200
#define SUBMIT_TIMEOUT_MS 10000

/* Checks that no view's revision has ever decreased. */
static void views_not_reverted_check_(const world_t *world)
{
	size_t i;

	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_EQUAL(world->clients[i].reverted_count, 0);
}

/* Returns how often clients saw an instance recorded as silent. */
static int silent_seen_sum_(const world_t *world)
{
	int seen = 0;
	size_t i;

	for (i = 0; i < world->client_count; i++)
		seen += world->clients[i].silent_seen_count;
	return seen;
}

/* Submits a contract, runs until it is answered and returns its revision. */
static uint64_t contract_submit_(world_t *world, size_t client,
				 const char *workspace)
{
	char *change_id = g_strdup_printf("put-%s", workspace);
	world_result_t result;
	int64_t waited_ms = 0;

	world_submit_contract(world, client, workspace, change_id,
			      SUBMIT_TIMEOUT_MS, &result);
	CU_ASSERT_EQUAL(result.calls, 0);
	for (; !result.calls && waited_ms < 2 * SUBMIT_TIMEOUT_MS; waited_ms++)
		cb_clock_advance(world->clock, 1);
	g_free(change_id);
	CU_ASSERT_EQUAL(result.calls, 1);
	CU_ASSERT_EQUAL(result.outcome, CB_CONTROL_ANSWERED);
	CU_ASSERT_EQUAL(result.kind, CB_ANSWER_OK);
	return result.revision;
}

static size_t follower_find_(const world_t *world)
{
	return world_leader(world) == 0 ? 1 : 0;
}

/* Whether the leader lists all clients' sessions with the present revision. */
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

static void sessions_fetched_(cb_submit_outcome_t outcome,
			      const GPtrArray *sessions, void *user_data)
{
	if (outcome == CB_SUBMIT_ANSWERED)
		*(unsigned int *)user_data = sessions->len;
}

/*
 * Without faults, a change must soon be in force at every client, and both the
 * leader and a follower must list all sessions.
 */
static void changes_reach_every_session(void)
{
	world_t *world = world_new(3, 8, 1);
	unsigned int fetched = 0;
	size_t i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	contract_submit_(world, 0, "handicap");
	CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
				       IN_FORCE_NO_FAULT_LIMIT_MS));
	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_PTR_NOT_NULL(
			cb_view_contract(world->clients[i].view, "handicap"));
	CU_ASSERT_TRUE(world_run_until(world, roster_is_complete_, 100));
	cb_node_fetch_sessions(world->nodes[follower_find_(world)].node,
			       sessions_fetched_, &fetched);
	world_run_until(world, NULL, 100);
	CU_ASSERT_EQUAL(fetched, 8);
	views_not_reverted_check_(world);
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

/*
 * Sessions that were opened before the first election must be recorded by the
 * first leader.
 */
static void sessions_older_than_first_leader_are_recorded(void)
{
	world_t *world = world_new(3, 8, 10);

	CU_ASSERT_TRUE(
		world_run_until(world, all_are_confirmed_, START_LIMIT_MS));
	CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
				       IN_FORCE_NO_FAULT_LIMIT_MS));
	world_delete(world);
}

/*
 * A node that becomes unreachable without closing its connections must not stop
 * changes: its clients connect to the other nodes, and none of them is recorded
 * as silent.
 */
static void clients_leave_unreachable_node(void)
{
	static const struct {
		gboolean isolates_leader;
	} cases[] = { { FALSE }, { TRUE } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t *world = world_new(3, 9, 2 + (uint32_t)i);
		int64_t begin_ms;
		size_t isolated;

		world_run_until(world, world_is_converged, START_LIMIT_MS);
		isolated = cases[i].isolates_leader ?
				   (size_t)world_leader(world) :
				   follower_find_(world);
		world_isolate(world, world->nodes[isolated].name, TRUE);
		begin_ms = cb_clock_now_ms(world->clock);
		contract_submit_(world, 0, "lakeshore");
		CU_ASSERT_TRUE(world_run_until(
			world, world_is_converged,
			IN_FORCE_LIMIT_MS -
				(cb_clock_now_ms(world->clock) - begin_ms)));
		/* No instance is recorded as silent later either. */
		world_run_until(world, NULL, 60000);
		CU_ASSERT_EQUAL(silent_seen_sum_(world), 0);
		world_isolate(world, world->nodes[isolated].name, FALSE);
		contract_submit_(world, 1, "handicap");
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       IN_FORCE_LIMIT_MS));
		CU_ASSERT_EQUAL(silent_seen_sum_(world), 0);
		views_not_reverted_check_(world);
		world_delete(world);
	}
}

/*
 * A leader that loses the other nodes but keeps its clients must close
 * their sessions, as it can no longer commit changes; they use other nodes.
 */
static void clients_leave_node_without_majority(void)
{
	world_t *world = world_new(3, 9, 4);
	const char *isolated;
	size_t i;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	isolated = world->nodes[world_leader(world)].name;
	for (i = 0; i < world->node_count; i++) {
		support_hub_block(world->hub, isolated, world->nodes[i].name,
				  TRUE);
		support_hub_block(world->hub, world->nodes[i].name, isolated,
				  TRUE);
	}
	contract_submit_(world, 0, "handicap");
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	CU_ASSERT_EQUAL(silent_seen_sum_(world), 0);
	views_not_reverted_check_(world);
	world_delete(world);
}

static gboolean first_client_is_silent_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_SILENT;
}

static gboolean first_client_is_leaving_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_LEAVING;
}

/*
 * Other clients' views must show an instance as silent, as ready again after a
 * reconnect or restart, and as leaving.
 */
static void instance_states_reach_other_views(void)
{
	world_t *world = world_new(3, 3, 5);

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	world_isolate(world, "entry1", TRUE);
	CU_ASSERT_TRUE(world_run_until(world, first_client_is_silent_,
				       4 * WORLD_SILENCE_MS));
	CU_ASSERT_TRUE(cb_control_client_silence_ms(world->clients[0].client) >=
		       WORLD_SILENCE_MS);
	world_isolate(world, "entry1", FALSE);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	CU_ASSERT_FALSE(first_client_is_silent_(world));
	world_client_stop(world, 0);
	world_client_start(world, 0);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, IN_FORCE_LIMIT_MS));
	cb_control_client_leave(world->clients[0].client);
	CU_ASSERT_TRUE(world_run_until(world, first_client_is_leaving_, 200));
	/* The instance stays leaving when it connects to another node. */
	world_isolate(world, world->nodes[world_leader(world)].name, TRUE);
	world_run_until(world, NULL, 20000);
	CU_ASSERT_TRUE(first_client_is_leaving_(world));
	views_not_reverted_check_(world);
	world_delete(world);
}

/*
 * When the answer to an accepted change is lost, the resend must return the
 * first answer and not apply the change again.
 */
static void lost_answer_is_returned_to_resend(void)
{
	world_t *world = world_new(3, 2, 6);
	const cb_contract_t *contract;
	world_result_t result;
	uint64_t applied;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	support_hub_block(world->hub, NULL, "entry1", TRUE);
	world_submit_contract(world, 0, "handicap", "once", 30000, &result);
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

/* An accepted change whose answer is lost must not end as unavailable. */
static void lost_answer_times_out_as_unknown(void)
{
	world_t *world = world_new(3, 2, 9);
	world_result_t result;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	support_hub_block(world->hub, NULL, "entry1", TRUE);
	world_submit_contract(world, 0, "handicap", "once", 1000, &result);
	world_run_until(world, NULL, 1500);
	CU_ASSERT_EQUAL(result.calls, 1);
	CU_ASSERT_EQUAL(result.outcome, CB_CONTROL_UNKNOWN);
	CU_ASSERT_PTR_NOT_NULL(
		cb_view_contract(world->clients[1].view, "handicap"));
	world_delete(world);
}

/*
 * Without a majority no change may be accepted, a restarted client must not be
 * confirmed, and a client stays confirmed but reports control as silent.
 */
static void nothing_is_confirmed_without_majority(void)
{
	world_t *world = world_new(3, 2, 7);
	world_result_t never_sent;
	world_result_t sent;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	world_node_stop(world, 0);
	world_node_stop(world, 1);
	world_client_stop(world, 1);
	world_client_start(world, 1);
	world_submit_contract(world, 0, "a", "a", 5000, &sent);
	world_run_until(world, NULL, 20000);
	world_submit_contract(world, 0, "b", "b", 5000, &never_sent);
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

static gboolean any_kernel_is_drained_(world_t *world)
{
	size_t i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].kernel &&
		    cb_kernel_is_drained(world->nodes[i].kernel))
			return TRUE;
	return FALSE;
}

/*
 * A leader that stops gracefully transfers leadership and makes its clients
 * reconnect within one election timeout, and none becomes silent.
 */
static void stopping_leader_transfers_leadership(void)
{
	world_t *world = world_new(3, 9, 8);
	int leader;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	leader = world_leader(world);
	cb_kernel_drain(world->nodes[leader].kernel);
	CU_ASSERT_TRUE(world_run_until(world, any_kernel_is_drained_,
				       2 * WORLD_ELECTION_MS));
	world_node_stop(world, (size_t)leader);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, WORLD_ELECTION_MS));
	CU_ASSERT_NOT_EQUAL(world_leader(world), leader);
	contract_submit_(world, 0, "handicap");
	world_run_until(world, NULL, 20000);
	CU_ASSERT_EQUAL(silent_seen_sum_(world), 0);
	views_not_reverted_check_(world);
	world_delete(world);
}

/* A contract submitted in a run of random faults, checked at its end. */
typedef struct fault_submission {
	char *workspace;
	world_result_t result;
} fault_submission_t;

#define FAULT_ROUND_COUNT 25
#define FAULT_TIMEOUT_MS 4000

/* Injects or ends one random fault. */
static void random_fault_inject_(world_t *world)
{
	size_t node = (size_t)g_rand_int_range(world->random, 0,
					       (int)world->node_count);
	/* The first client submits the changes, so it is never stopped. */
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

/* Unblocks all nodes and clients. */
static void faults_heal_(world_t *world)
{
	size_t i;

	for (i = 0; i < world->node_count; i++)
		world_isolate(world, world->nodes[i].name, FALSE);
	for (i = 0; i < world->client_count; i++)
		world_isolate(world, world->clients[i].name, FALSE);
}

/* Returns how many answered changes are missing, summed over all clients. */
static int lost_changes_count_(const world_t *world,
			       const fault_submission_t *submissions)
{
	int lost = 0;
	size_t i;
	int k;

	for (k = 0; k < FAULT_ROUND_COUNT; k++) {
		if (!submissions[k].result.calls ||
		    submissions[k].result.outcome != CB_CONTROL_ANSWERED)
			continue;
		for (i = 0; i < world->client_count; i++) {
			const cb_contract_t *contract =
				cb_view_contract(world->clients[i].view,
						 submissions[k].workspace);

			if (!contract || contract->revision !=
						 submissions[k].result.revision)
				lost++;
		}
	}
	return lost;
}

/*
 * Submits changes under random faults.  Returns whether all clients converged,
 * no answered change was lost, no view's revision decreased and each submission
 * ended exactly once.
 */
static gboolean random_faults_run_(uint32_t seed, int *answered)
{
	world_t *world = world_new(seed % 2 ? 3 : 5, 6, seed);
	fault_submission_t submissions[FAULT_ROUND_COUNT] = { 0 };
	gboolean is_correct;
	int k;

	world_run_until(world, world_is_converged, START_LIMIT_MS);
	for (k = 0; k < FAULT_ROUND_COUNT; k++) {
		submissions[k].workspace = g_strdup_printf("w%d", k);
		world_submit_contract(world, 0, submissions[k].workspace,
				      submissions[k].workspace,
				      FAULT_TIMEOUT_MS, &submissions[k].result);
		random_fault_inject_(world);
		world_run_until(world, NULL,
				g_rand_int_range(world->random, 50, 3000));
	}
	faults_heal_(world);
	world_run_until(world, NULL, FAULT_TIMEOUT_MS);
	is_correct = world_run_until(world, world_is_converged, 30000);
	if (!is_correct)
		printf("    clients did not converge\n");
	if (lost_changes_count_(world, submissions)) {
		printf("    %d changes lost\n",
		       lost_changes_count_(world, submissions));
		is_correct = FALSE;
	}
	for (k = 0; k < (int)world->client_count; k++)
		is_correct &= !world->clients[k].reverted_count;
	for (k = 0; k < FAULT_ROUND_COUNT; k++) {
		*answered +=
			submissions[k].result.calls == 1 &&
			submissions[k].result.outcome == CB_CONTROL_ANSWERED;
		is_correct &= submissions[k].result.calls == 1;
	}
	world_delete(world);
	for (k = 0; k < FAULT_ROUND_COUNT; k++)
		g_free(submissions[k].workspace);
	return is_correct;
}

/*
 * A change that was answered must survive isolated and restarted nodes and
 * clients.  CB_SEEDS sets the number of runs.
 */
static void random_faults_lose_no_accepted_change(void)
{
	const char *seeds_text = g_getenv("CB_SEEDS");
	uint32_t seeds = seeds_text ? (uint32_t)atoi(seeds_text) : 20;
	int answered = 0;
	uint32_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		gboolean is_correct = random_faults_run_(seed, &answered);

		CU_ASSERT_TRUE(is_correct);
		if (!is_correct)
			printf("    seed %u\n", seed);
	}
	printf("    %u runs, %d changes accepted\n", seeds, answered);
	CU_ASSERT_TRUE(answered > 0);
}

static gboolean has_leader_(world_t *world)
{
	return world_leader(world) >= 0;
}

/* All nodes lose power and restart one after the other. */
static const struct {
	size_t count; /* number of nodes */
	/* Restart times of the nodes, ascending. */
	int64_t restart_ms[WORLD_NODES_MAX];
	/* Index of the node whose restart completes a majority. */
	size_t majority_index;
} restart_cases[] = {
	{ 3, { 0, 300, 900 }, 1 },
	{ 5, { 0, 40, 300, 330, 480 }, 2 },
	{ 5, { 0, 700, 1400, 1401, 1402 }, 2 },
};

/*
 * After a power loss, a leader must be elected within one election timeout of
 * the restart of the node that completes the majority, although connections
 * to the nodes that are still down hang.
 */
static void restarted_group_elects_leader_in_time(void)
{
	unsigned int late = 0;
	uint32_t seed;
	size_t c;
	size_t i;

	for (c = 0; c < G_N_ELEMENTS(restart_cases); c++)
		for (seed = 1; seed <= RESTART_SEED_COUNT; seed++) {
			const size_t count = restart_cases[c].count;
			world_t *world = world_new(count, 0, seed);
			int64_t last_ms = 0;

			world_run_until(world, has_leader_, START_LIMIT_MS);
			world_run_until(world, NULL, GROUP_FORMED_MS);
			for (i = 0; i < count; i++) {
				world_isolate(world, world->nodes[i].name,
					      TRUE);
				world_node_stop(world, i);
			}
			for (i = 0; i <= restart_cases[c].majority_index; i++) {
				cb_clock_advance(
					world->clock,
					restart_cases[c].restart_ms[i] -
						last_ms);
				last_ms = restart_cases[c].restart_ms[i];
				world_isolate(world, world->nodes[i].name,
					      FALSE);
				world_node_start(world, i);
			}
			if (!world_run_until(world, has_leader_,
					     WORLD_ELECTION_MS)) {
				printf("    no leader in time: case %zu, seed %u\n",
				       c, seed);
				late++;
			}
			world_delete(world);
		}
	CU_ASSERT_EQUAL(late, 0);
}

/* Whether the second client's view shows the first's new process as ready. */
static gboolean first_client_is_ready_again_(world_t *world)
{
	const cb_instance_t *instance =
		world_instance(world->clients[1].view, "entry1");

	return instance && instance->state == CB_INSTANCE_READY &&
	       instance->incarnation > PREVIOUS_INCARNATION;
}

/*
 * An entry instance whose clock was set back before its restart starts with an
 * incarnation below the recorded one.  It must become ready again, also if the
 * previous process had announced that it leaves.
 */
static void entry_rejoins_after_clock_is_set_back(void)
{
	unsigned int leaves;

	for (leaves = 0; leaves < 2; leaves++) {
		world_t *world = world_new(3, 2, 6 + leaves);

		world->clients[0].incarnation = PREVIOUS_INCARNATION - 1;
		world_client_stop(world, 0);
		world_client_start(world, 0);
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       START_LIMIT_MS));
		if (leaves) {
			cb_control_client_leave(world->clients[0].client);
			CU_ASSERT_TRUE(world_run_until(world,
						       first_client_is_leaving_,
						       200));
		}
		world_client_stop(world, 0);
		world->clients[0].incarnation = 10;
		world_client_start(world, 0);
		CU_ASSERT_TRUE(world_run_until(world,
					       first_client_is_ready_again_,
					       IN_FORCE_LIMIT_MS));
		world_delete(world);
	}
}

static void usage_sum_count_(GBytes *bytes, void *user_data)
{
	(void)bytes;
	(*(unsigned int *)user_data)++;
}

/* Interval of suspicions, shorter than the delay of a sum that tells of one. */
#define SUSPICION_INTERVAL_MS 3
#define SUSPICIONS 100
/* 300 ms of suspicions, each passed on within 55 ms. */
#define SUSPICION_SUMS_MIN 5

/*
 * Entry instances that lose many servers at once report suspicions in quick
 * succession: the sum that tells the others of the first must not be put off by
 * each of the next.
 */
static void suspicions_in_quick_succession_are_shared(void)
{
	world_t *world = world_new_with_servers(1, 1, 7, 60000);
	cb_control_client_t *client = world->clients[0].client;
	const cb_usage_load_t load = { .suspecting_instances = 1 };
	cb_usage_t *usage = cb_usage_new();
	unsigned int sum_count = 0;
	int i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	cb_control_client_on_usage(client, usage_sum_count_, &sum_count);
	for (i = 0; i < SUSPICIONS; i++) {
		char *server = g_strdup_printf("server%d", i);
		GBytes *bytes;

		cb_usage_add_load(usage, server, &load);
		bytes = cb_usage_encode(usage, CB_PROTOCOL_VERSION);
		cb_control_client_report_usage(client, bytes);
		g_bytes_unref(bytes);
		g_free(server);
		cb_clock_advance(world->clock, SUSPICION_INTERVAL_MS);
	}
	CU_ASSERT_TRUE(sum_count >= SUSPICION_SUMS_MIN);
	if (sum_count < SUSPICION_SUMS_MIN)
		printf("    %u sums\n", sum_count);
	cb_usage_delete(usage);
	world_delete(world);
}

#define RESTART_INTERVAL_MS 10
/* Each session is sent an update when it opens, and one before and one after. */
#define PUSHES_PER_RESTART 3

/*
 * Each entry instance that starts is a change for all the others.  When all of
 * them start, a node must push no more often than its sessions allow: one push a
 * session each 3 ms for each of its sessions, 1 each 3 ms from each node.
 */
static void restart_of_all_entries_pushes_few_updates(void)
{
	world_t *world = world_new(3, WORLD_CLIENTS_MAX, 31);
	int64_t pushes;
	int64_t start_ms;
	int64_t pushes_max;
	size_t i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	pushes = world_pushes_sum(world);
	start_ms = cb_clock_now_ms(world->clock);
	for (i = 0; i < world->client_count; i++) {
		world_client_stop(world, i);
		world_client_start(world, i);
		world_run_until(world, NULL, RESTART_INTERVAL_MS);
	}
	CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
				       IN_FORCE_NO_FAULT_LIMIT_MS));
	pushes = world_pushes_sum(world) - pushes;
	pushes_max = cb_clock_now_ms(world->clock) - start_ms +
		     PUSHES_PER_RESTART * WORLD_CLIENTS_MAX;
	CU_ASSERT_TRUE(pushes <= pushes_max);
	if (pushes > pushes_max)
		printf("    %d pushes of %d\n", (int)pushes, (int)pushes_max);
	world_delete(world);
}

/* Restarts all clients, which know one node until they learn of the others. */
static void clients_restart_(world_t *world)
{
	size_t i;

	world->known_node_count = 1;
	for (i = 0; i < world->client_count; i++) {
		world_client_stop(world, i);
		world_client_start(world, i);
	}
}

/* Returns the most sessions of a node. */
static int64_t most_sessions_find_(const world_t *world)
{
	int64_t most = 0;
	size_t i;

	for (i = 0; i < world->node_count; i++) {
		cb_counters_t *counters;

		if (!world->nodes[i].kernel)
			continue;
		counters = cb_kernel_counters(world->nodes[i].kernel);
		most = MAX(most, cb_counter_get(cb_counters_gauge(counters,
								  "cb_sessions",
								  NULL, NULL)));
	}
	return most;
}

/* An entry instance is told to move once in this time at most. */
#define TURN_AWAY_INTERVAL_MS 10000
/* 1.5 times the share of one of 5 nodes, and 4 more. */
#define SESSIONS_LIMIT (WORLD_CLIENTS_MAX * 3 / 10 + 4)

/*
 * Sessions must spread over the nodes though all entry instances know the same
 * one when they start.  With two nodes down the others must accept all of them;
 * once these are back, sessions must move to them.
 */
static void sessions_spread_over_nodes(void)
{
	world_t *world = world_new(5, WORLD_CLIENTS_MAX, 32);

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	clients_restart_(world);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	CU_ASSERT_TRUE(most_sessions_find_(world) <= SESSIONS_LIMIT);
	world_node_stop(world, 3);
	world_node_stop(world, 4);
	clients_restart_(world);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	world_node_start(world, 3);
	world_node_start(world, 4);
	world_run_until(world, NULL, START_LIMIT_MS + TURN_AWAY_INTERVAL_MS);
	CU_ASSERT_TRUE(most_sessions_find_(world) <= SESSIONS_LIMIT);
	CU_ASSERT_TRUE(world_is_converged(world));
	views_not_reverted_check_(world);
	world_delete(world);
}

static CU_TestInfo session_tests[] = {
	{ "changes_reach_every_session", changes_reach_every_session },
	{ "sessions_older_than_first_leader_are_recorded",
	  sessions_older_than_first_leader_are_recorded },
	{ "clients_leave_unreachable_node", clients_leave_unreachable_node },
	{ "clients_leave_node_without_majority",
	  clients_leave_node_without_majority },
	{ "instance_states_reach_other_views",
	  instance_states_reach_other_views },
	{ "lost_answer_is_returned_to_resend",
	  lost_answer_is_returned_to_resend },
	{ "lost_answer_times_out_as_unknown",
	  lost_answer_times_out_as_unknown },
	{ "nothing_is_confirmed_without_majority",
	  nothing_is_confirmed_without_majority },
	{ "stopping_leader_transfers_leadership",
	  stopping_leader_transfers_leadership },
	{ "random_faults_lose_no_accepted_change",
	  random_faults_lose_no_accepted_change },
	{ "entry_rejoins_after_clock_is_set_back",
	  entry_rejoins_after_clock_is_set_back },
	{ "restarted_group_elects_leader_in_time",
	  restarted_group_elects_leader_in_time },
	{ "sessions_spread_over_nodes", sessions_spread_over_nodes },
	{ "restart_of_all_entries_pushes_few_updates",
	  restart_of_all_entries_pushes_few_updates },
	{ "suspicions_in_quick_succession_are_shared",
	  suspicions_in_quick_succession_are_shared },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "sessions",
				    .pTests = session_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
