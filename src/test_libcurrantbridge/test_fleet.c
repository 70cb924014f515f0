#include "support_main.h"

#include <stdio.h>
#include <string.h>

#include "currantbridge/fleet.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
#define SILENCE_MS 3000
#define PROPAGATION_LIMIT_MS 500

/* One heartbeat of a server that holds the layers [0, layer_to). */
typedef struct report {
	const char *id;
	const char *address;
	int64_t start_ms;
	uint64_t sequence;
	cb_fleet_state_t state;
	uint32_t layer_to;
} report_t;

static cb_fleet_outcome_t report_apply_(cb_fleet_t *fleet,
					const report_t *report, int64_t now_ms)
{
	const cb_fleet_server_t server = {
		.id = (char *)report->id,
		.service = (char *)"s",
		.address = (char *)report->address,
		.data_centre = (char *)"dc1",
		.start_wall_ms = report->start_ms,
		.sequence = report->sequence,
		.state = report->state,
		.layer_to = report->layer_to,
	};

	return cb_fleet_update(fleet, &server, now_ms);
}

/*
 * A delayed or reordered heartbeat must not undo a newer one.  Each step
 * applies a report and checks its outcome and the recorded state and layers.
 */
static void newest_report_wins(void)
{
	static const struct {
		report_t report;
		cb_fleet_outcome_t outcome;
		cb_fleet_state_t state;
		uint32_t layer_to;
	} steps[] = {
		{ { "a", "x:1", 10, 1, CB_FLEET_READY, 0 },
		  CB_FLEET_CHANGED,
		  CB_FLEET_READY,
		  0 },
		{ { "a", "x:1", 10, 2, CB_FLEET_READY, 0 },
		  CB_FLEET_SAME,
		  CB_FLEET_READY,
		  0 },
		{ { "a", "x:1", 10, 4, CB_FLEET_READY, 8 },
		  CB_FLEET_CHANGED,
		  CB_FLEET_READY,
		  8 },
		/* A delayed heartbeat is ignored. */
		{ { "a", "x:1", 10, 3, CB_FLEET_READY, 0 },
		  CB_FLEET_STALE,
		  CB_FLEET_READY,
		  8 },
		{ { "a", "x:1", 10, 5, CB_FLEET_DRAINING, 8 },
		  CB_FLEET_CHANGED,
		  CB_FLEET_DRAINING,
		  8 },
		/* A draining server stays in this state until it restarts. */
		{ { "a", "x:1", 10, 6, CB_FLEET_READY, 8 },
		  CB_FLEET_SAME,
		  CB_FLEET_DRAINING,
		  8 },
		/* After a restart the sequence begins at 1 again. */
		{ { "a", "x:1", 11, 1, CB_FLEET_READY, 0 },
		  CB_FLEET_CHANGED,
		  CB_FLEET_READY,
		  0 },
		{ { "a", "x:1", 10, 99, CB_FLEET_READY, 8 },
		  CB_FLEET_STALE,
		  CB_FLEET_READY,
		  0 },
	};
	cb_fleet_t *fleet = cb_fleet_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		const cb_fleet_server_t *known;

		CU_ASSERT_EQUAL(report_apply_(fleet, &steps[i].report,
					      (int64_t)i),
				steps[i].outcome);
		known = cb_fleet_find(fleet, "a");
		CU_ASSERT_EQUAL(known->state, steps[i].state);
		CU_ASSERT_EQUAL(known->layer_to, steps[i].layer_to);
	}
	cb_fleet_delete(fleet);
}

/*
 * An address belongs to the server that started last, also after late reports.
 */
static void reused_address_goes_to_latest_start(void)
{
	static const report_t older = { "a", "x:1", 10, 1, CB_FLEET_READY, 0 };
	static const report_t newer = { "b", "x:1", 20, 1, CB_FLEET_READY, 0 };
	static const report_t older_again = { "a", "x:1",	   10,
					      2,   CB_FLEET_READY, 0 };
	cb_fleet_t *fleet = cb_fleet_new();

	report_apply_(fleet, &older, 0);
	report_apply_(fleet, &newer, 1);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	CU_ASSERT_EQUAL(report_apply_(fleet, &older_again, 2), CB_FLEET_STALE);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "b")->state, CB_FLEET_READY);
	cb_fleet_delete(fleet);
}

static void silent_servers_recover_or_expire(void)
{
	static const report_t first = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	static const report_t second = { "a", "x:1", 10, 2, CB_FLEET_READY, 4 };
	cb_fleet_t *fleet = cb_fleet_new();

	report_apply_(fleet, &first, 0);
	cb_fleet_expire(fleet, SILENCE_MS - 1, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_READY);
	cb_fleet_expire(fleet, SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_SILENT);
	CU_ASSERT_EQUAL(report_apply_(fleet, &second, SILENCE_MS + 1),
			CB_FLEET_CHANGED);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_READY);
	cb_fleet_expire(fleet, 15 * SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	cb_fleet_expire(fleet, 22 * SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_PTR_NULL(cb_fleet_find(fleet, "a"));
	cb_fleet_delete(fleet);
}

/*
 * The flag `is_moving`, which keeps new requests away, stays set over
 * heartbeats with the old layers and is cleared when the layers change or the
 * server restarts.
 */
static void moving_ends_on_new_layers_or_restart(void)
{
	static const report_t before = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	static const report_t unmoved = {
		"a", "x:1", 10, 2, CB_FLEET_READY, 4
	};
	static const report_t moved = { "a", "x:1", 10, 3, CB_FLEET_READY, 9 };
	static const report_t restarted = {
		"a", "x:1", 11, 1, CB_FLEET_READY, 9
	};
	cb_fleet_t *fleet = cb_fleet_new();

	report_apply_(fleet, &before, 0);
	cb_fleet_set_moving(fleet, "a", TRUE);
	report_apply_(fleet, &unmoved, 1);
	CU_ASSERT_TRUE(cb_fleet_find(fleet, "a")->is_moving);
	report_apply_(fleet, &moved, 2);
	CU_ASSERT_FALSE(cb_fleet_find(fleet, "a")->is_moving);
	cb_fleet_set_moving(fleet, "a", TRUE);
	report_apply_(fleet, &restarted, 3);
	CU_ASSERT_FALSE(cb_fleet_find(fleet, "a")->is_moving);
	cb_fleet_delete(fleet);
}

/*
 * Merging the encoded servers into the fleet of another process keeps the age
 * of their heartbeats.  Truncated bytes are rejected.
 */
static void encoded_fleet_is_merged_by_another_process(void)
{
	static const report_t report = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	cb_fleet_t *from = cb_fleet_new();
	cb_fleet_t *to = cb_fleet_new();
	GBytes *all;
	GBytes *truncated;

	CU_ASSERT_PTR_NULL(cb_fleet_encode(from, CB_FLEET_ALL, 0));
	report_apply_(from, &report, 100);
	all = cb_fleet_encode(from, CB_FLEET_UNSENT_TO_ENTRIES, 400);
	CU_ASSERT_PTR_NULL(
		cb_fleet_encode(from, CB_FLEET_UNSENT_TO_ENTRIES, 400));
	truncated = g_bytes_new_from_bytes(all, 0, g_bytes_get_size(all) - 1);
	CU_ASSERT_FALSE(cb_fleet_merge(to, truncated, 1000));
	CU_ASSERT_TRUE(cb_fleet_merge(to, all, 1000));
	CU_ASSERT_EQUAL(cb_fleet_find(to, "a")->last_heartbeat_ms, 700);
	CU_ASSERT_EQUAL(cb_fleet_find(to, "a")->layer_to, 4);
	/* A merged report is not forwarded to other control instances. */
	CU_ASSERT_PTR_NULL(
		cb_fleet_encode(to, CB_FLEET_UNSENT_TO_CONTROL, 1000));
	g_bytes_unref(truncated);
	g_bytes_unref(all);
	cb_fleet_delete(from);
	cb_fleet_delete(to);
}

/* An entry instance's fleet, filled from its control session. */
typedef struct entry {
	world_t *world;
	cb_fleet_t *fleet;
} entry_t;

static void fleet_update_merge_(GBytes *bytes, void *user_data)
{
	entry_t *entry = user_data;

	CU_ASSERT_TRUE(cb_fleet_merge(entry->fleet, bytes,
				      cb_clock_now_ms(entry->world->clock)));
}

static void outcome_store_(cb_submit_outcome_t outcome,
			   const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	*(cb_submit_outcome_t *)user_data = outcome;
}

static void heartbeat_send_(world_t *world, size_t node, uint64_t sequence,
			    cb_fleet_state_t state,
			    cb_submit_outcome_t *outcome)
{
	const cb_fleet_server_t server = {
		.id = (char *)"a",
		.service = (char *)"s",
		.address = (char *)"x:1",
		.data_centre = (char *)"dc1",
		.start_wall_ms = 10,
		.sequence = sequence,
		.state = state,
	};

	*outcome = CB_SUBMIT_OUTCOME_COUNT;
	cb_node_server_announce(world->nodes[node].node, &server,
				outcome_store_, outcome);
}

static gboolean server_has_state_(const cb_fleet_t *fleet,
				  cb_fleet_state_t state)
{
	const cb_fleet_server_t *server = cb_fleet_find(fleet, "a");

	return server && server->state == state;
}

/*
 * A heartbeat received by one node reaches every entry.  One with the state
 * "draining" is answered only once the stop is committed, so that no entry
 * still uses the server then.
 */
static void heartbeats_reach_every_entry(void)
{
	world_t *world = world_new_with_servers(3, 6, 21, SILENCE_MS);
	entry_t entries[6];
	cb_submit_outcome_t outcome;
	size_t i;

	for (i = 0; i < 6; i++) {
		entries[i] = (entry_t){ world, cb_fleet_new() };
		cb_control_client_on_fleet(world->clients[i].client,
					   fleet_update_merge_, &entries[i]);
	}
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	heartbeat_send_(world, 2, 1, CB_FLEET_READY, &outcome);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
	world_run_until(world, NULL, PROPAGATION_LIMIT_MS);
	for (i = 0; i < 6; i++)
		CU_ASSERT_TRUE(
			server_has_state_(entries[i].fleet, CB_FLEET_READY));
	heartbeat_send_(world, 0, 2, CB_FLEET_DRAINING, &outcome);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_OUTCOME_COUNT);
	world_run_until(world, NULL, PROPAGATION_LIMIT_MS);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_TRUE(
			server_has_state_(entries[i].fleet, CB_FLEET_DRAINING));
		CU_ASSERT_TRUE(cb_view_is_stopped(world->clients[i].view,
						  CB_STOP_SERVER, "a/10"));
		cb_fleet_delete(entries[i].fleet);
	}
	world_delete(world);
}

/* A notice of leaving stops the process that it is about, not a later one. */
static void late_notice_of_leaving_stops_no_later_process(void)
{
	static const struct {
		int64_t start_ms;    /* in the notice; -1: none */
		gboolean is_stopped; /* the process that started at 10 */
	} cases[] = { { -1, TRUE }, { 10, TRUE }, { 5, FALSE } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t *world = world_new_with_servers(3, 1, 23, SILENCE_MS);
		cb_submit_outcome_t outcome;

		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       START_LIMIT_MS));
		heartbeat_send_(world, 0, 1, CB_FLEET_READY, &outcome);
		cb_node_server_leave(world->nodes[0].node, "a", NULL,
				     cases[i].start_ms, outcome_store_,
				     &outcome);
		world_run_until(world, NULL, PROPAGATION_LIMIT_MS);
		CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
		CU_ASSERT_EQUAL(cb_view_is_stopped(world->clients[0].view,
						   CB_STOP_SERVER, "a/10"),
				cases[i].is_stopped);
		world_delete(world);
	}
}

/*
 * While a control node is unreachable, servers may be sending their heartbeats
 * to it.  The other nodes must not declare such a server silent before a
 * multiple of the usual timeout.
 */
static void silence_during_partition_takes_longer(void)
{
	world_t *world = world_new_with_servers(3, 1, 22, SILENCE_MS);
	const cb_fleet_t *fleet;
	cb_submit_outcome_t outcome;
	size_t receiver;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	receiver = world_leader(world) == 0 ? 1 : 0;
	fleet = cb_node_fleet(world->nodes[receiver].node);
	heartbeat_send_(world, receiver, 1, CB_FLEET_READY, &outcome);
	world_isolate(world, world->nodes[2].name, TRUE);
	world_run_until(world, NULL, SILENCE_MS + 2000);
	CU_ASSERT_TRUE(server_has_state_(fleet, CB_FLEET_READY));
	world_run_until(world, NULL, 4 * SILENCE_MS);
	CU_ASSERT_TRUE(server_has_state_(fleet, CB_FLEET_SILENT));
	world_delete(world);
}

#define MANY_SERVERS 2000
/* All servers announce themselves within this time, as after a start. */
#define MANY_ANNOUNCED_MS 1200
/* Control shares what it received at least this often. */
#define SHARE_INTERVAL_MS 250
/* Messages to an entry in that time: one each 200 ms with so many servers. */
#define MANY_MESSAGES_MAX \
	((MANY_ANNOUNCED_MS + 2 * SHARE_INTERVAL_MS) / 200 + 1)

/* An entry instance that counts the messages about servers that it receives. */
typedef struct counting_entry {
	entry_t entry;
	unsigned int message_count;
} counting_entry_t;

static void fleet_update_count_(GBytes *bytes, void *user_data)
{
	counting_entry_t *self = user_data;

	self->message_count++;
	fleet_update_merge_(bytes, &self->entry);
}

/*
 * All servers announce themselves, with other layers than before, spread evenly
 * over the nodes and the time.
 */
static void many_servers_announce_(world_t *world, uint64_t sequence)
{
	cb_submit_outcome_t outcome;
	unsigned int i;

	for (i = 0; i < MANY_SERVERS; i++) {
		char *id = g_strdup_printf("server%u", i);
		char *address =
			g_strdup_printf("10.1.%u.%u:1", i / 250, i % 250);
		const cb_fleet_server_t server = {
			.id = id,
			.service = (char *)"s",
			.address = address,
			.data_centre = (char *)"dc1",
			.start_wall_ms = 10,
			.sequence = sequence,
			.layer_to = (uint32_t)sequence,
		};

		cb_node_server_announce(
			world->nodes[i % world->node_count].node, &server,
			outcome_store_, &outcome);
		if (i % 5 == 4)
			cb_clock_advance(world->clock,
					 MANY_ANNOUNCED_MS * 5 / MANY_SERVERS);
		g_free(id);
		g_free(address);
	}
}

static gboolean many_servers_are_recorded_(world_t *world)
{
	const world_node_t *leader = &world->nodes[world_leader(world)];

	return cb_view_servers(cb_state_view(cb_node_state(leader->node)))
		       ->len == MANY_SERVERS;
}

/*
 * When a whole fleet announces itself, each entry must know every server soon,
 * and when all its servers change, from few messages; and the records of servers must cause no update of
 * views.  The records outlive a restart of all nodes: an entry that starts then
 * must be sent all servers, though none has announced itself again.
 */
static void many_servers_are_shared_in_few_messages(void)
{
	world_t *world = world_new_with_servers(3, 6, 23, 60000);
	counting_entry_t entries[6];
	int64_t pushes;
	size_t i;

	for (i = 0; i < 6; i++) {
		entries[i] = (counting_entry_t){ { world, cb_fleet_new() }, 0 };
		cb_control_client_on_fleet(world->clients[i].client,
					   fleet_update_count_, &entries[i]);
	}
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	pushes = world_pushes_sum(world);
	many_servers_announce_(world, 1);
	world_run_until(world, NULL, 2 * SHARE_INTERVAL_MS);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_EQUAL(cb_fleet_count(entries[i].entry.fleet),
				MANY_SERVERS);
		entries[i].message_count = 0;
	}
	many_servers_announce_(world, 2);
	world_run_until(world, NULL, 2 * SHARE_INTERVAL_MS);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_TRUE(entries[i].message_count <= MANY_MESSAGES_MAX);
		if (entries[i].message_count > MANY_MESSAGES_MAX)
			printf("    %u messages\n", entries[i].message_count);
	}
	CU_ASSERT_TRUE(world_run_until(world, many_servers_are_recorded_,
				       START_LIMIT_MS));
	CU_ASSERT_EQUAL(world_pushes_sum(world), pushes);
	for (i = 0; i < 3; i++)
		world_node_stop(world, i);
	for (i = 0; i < 3; i++)
		world_node_start(world, i);
	world_client_stop(world, 0);
	world_client_start(world, 0);
	cb_fleet_delete(entries[0].entry.fleet);
	entries[0] = (counting_entry_t){ { world, cb_fleet_new() }, 0 };
	cb_control_client_on_fleet(world->clients[0].client,
				   fleet_update_count_, &entries[0]);
	world_run_until(world, NULL, START_LIMIT_MS);
	CU_ASSERT_EQUAL(cb_fleet_count(entries[0].entry.fleet), MANY_SERVERS);
	for (i = 0; i < 6; i++)
		cb_fleet_delete(entries[i].entry.fleet);
	world_delete(world);
}

/*
 * A record that no server can have must not be taken over, from whomever it
 * comes; the others of the same list must be.
 */
static void odd_records_change_nothing(void)
{
	static const struct {
		const char *label;
		const char *id;
		uint32_t layer_from;
		uint32_t layer_to;
		uint32_t slots;
		int64_t start_ms;
		uint64_t sequence;
		gboolean is_valid;
	} cases[] = {
		{ "sound", "a", 0, 80, 192, 10, 1, TRUE },
		{ "last layer", "a", 4000, 4096, 192, 10, 1, TRUE },
		{ "too many layers", "a", 0, 20000, 192, 10, 1, FALSE },
		{ "layers that end at 2^32 - 1", "a", 0, UINT32_MAX, 192, 10, 1,
		  FALSE },
		{ "reversed layers", "a", 9, 3, 192, 10, 1, FALSE },
		{ "too many slots", "a", 0, 80, UINT32_MAX, 10, 1, FALSE },
		{ "start before 1970", "a", 0, 80, 192, -1, 1, FALSE },
		{ "start near 2^63", "a", 0, 80, 192, INT64_MAX, 1, FALSE },
		{ "sequence of 2^63", "a", 0, 80, 192, 10, UINT64_C(1) << 63,
		  FALSE },
		{ "empty ID", "", 0, 80, 192, 10, 1, FALSE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const cb_fleet_server_t record = {
			.id = (char *)cases[i].id,
			.service = (char *)"s",
			.address = (char *)"10.0.0.9:80",
			.data_centre = (char *)"dc1",
			.start_wall_ms = cases[i].start_ms,
			.sequence = cases[i].sequence,
			.slots = cases[i].slots,
			.layer_from = cases[i].layer_from,
			.layer_to = cases[i].layer_to,
		};
		cb_fleet_t *fleet = cb_fleet_new();
		GBytes *bytes = cb_fleet_encode_server(&record);
		gboolean is_taken;

		cb_fleet_merge(fleet, bytes, 1000);
		is_taken = cb_fleet_count(fleet) == 1;
		CU_ASSERT_EQUAL(is_taken, cases[i].is_valid);
		if (is_taken != cases[i].is_valid)
			printf("    %s\n", cases[i].label);
		CU_ASSERT_EQUAL(cb_fleet_update(fleet, &record, 1000) ==
					CB_FLEET_INVALID,
				!cases[i].is_valid);
		g_bytes_unref(bytes);
		cb_fleet_delete(fleet);
	}
}

static CU_TestInfo fleet_tests[] = {
	{ "newest_report_wins", newest_report_wins },
	{ "reused_address_goes_to_latest_start",
	  reused_address_goes_to_latest_start },
	{ "silent_servers_recover_or_expire",
	  silent_servers_recover_or_expire },
	{ "moving_ends_on_new_layers_or_restart",
	  moving_ends_on_new_layers_or_restart },
	{ "encoded_fleet_is_merged_by_another_process",
	  encoded_fleet_is_merged_by_another_process },
	{ "heartbeats_reach_every_entry", heartbeats_reach_every_entry },
	{ "silence_during_partition_takes_longer",
	  silence_during_partition_takes_longer },
	{ "many_servers_are_shared_in_few_messages",
	  many_servers_are_shared_in_few_messages },
	{ "late_notice_of_leaving_stops_no_later_process",
	  late_notice_of_leaving_stops_no_later_process },
	{ "odd_records_change_nothing", odd_records_change_nothing },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "fleet", .pTests = fleet_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
