#include "support_main.h"

#include <string.h>

#include "currantbridge/fleet.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
#define SILENCE_MS 3000
#define TOLD_LIMIT_MS 500

/* One word of a server: layers in `to`, from 0. */
typedef struct word {
	const char *id;
	const char *address;
	int64_t born_ms;
	uint64_t sequence;
	cb_fleet_state_t state;
	uint32_t to;
} word_t;

static cb_fleet_outcome_t hear_(cb_fleet_t *fleet, const word_t *word,
				int64_t now_ms)
{
	const cb_fleet_server_t said = {
		.id = (char *)word->id,
		.service = (char *)"s",
		.address = (char *)word->address,
		.data_centre = (char *)"dc1",
		.born_wall_ms = word->born_ms,
		.sequence = word->sequence,
		.state = word->state,
		.layer_to = word->to,
	};

	return cb_fleet_hear(fleet, &said, now_ms);
}

/* Each word, its outcome, and the state and layers known after it. */
static void newest_word_counts(void)
{
	static const struct {
		word_t word;
		cb_fleet_outcome_t outcome;
		cb_fleet_state_t state;
		uint32_t to;
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
		/* A heartbeat that comes late. */
		{ { "a", "x:1", 10, 3, CB_FLEET_READY, 0 },
		  CB_FLEET_STALE,
		  CB_FLEET_READY,
		  8 },
		{ { "a", "x:1", 10, 5, CB_FLEET_DRAINING, 8 },
		  CB_FLEET_CHANGED,
		  CB_FLEET_DRAINING,
		  8 },
		/* Within one start nothing makes it ready again. */
		{ { "a", "x:1", 10, 6, CB_FLEET_READY, 8 },
		  CB_FLEET_SAME,
		  CB_FLEET_DRAINING,
		  8 },
		/* Started again: its count begins anew. */
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

		CU_ASSERT_EQUAL(hear_(fleet, &steps[i].word, (int64_t)i),
				steps[i].outcome);
		known = cb_fleet_find(fleet, "a");
		CU_ASSERT_EQUAL(known->state, steps[i].state);
		CU_ASSERT_EQUAL(known->layer_to, steps[i].to);
	}
	cb_fleet_delete(fleet);
}

/* An address belongs to the server that started last. */
static void reused_address_goes_to_the_younger(void)
{
	static const word_t old = { "a", "x:1", 10, 1, CB_FLEET_READY, 0 };
	static const word_t young = { "b", "x:1", 20, 1, CB_FLEET_READY, 0 };
	static const word_t late = { "a", "x:1", 10, 2, CB_FLEET_READY, 0 };
	cb_fleet_t *fleet = cb_fleet_new();

	hear_(fleet, &old, 0);
	hear_(fleet, &young, 1);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	CU_ASSERT_EQUAL(hear_(fleet, &late, 2), CB_FLEET_STALE);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "b")->state, CB_FLEET_READY);
	cb_fleet_delete(fleet);
}

static void silent_servers_come_back_and_are_forgotten(void)
{
	static const word_t first = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	static const word_t second = { "a", "x:1", 10, 2, CB_FLEET_READY, 4 };
	cb_fleet_t *fleet = cb_fleet_new();

	hear_(fleet, &first, 0);
	cb_fleet_expire(fleet, SILENCE_MS - 1, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_READY);
	cb_fleet_expire(fleet, SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_SILENT);
	CU_ASSERT_EQUAL(hear_(fleet, &second, SILENCE_MS + 1),
			CB_FLEET_CHANGED);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_READY);
	cb_fleet_expire(fleet, 15 * SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_EQUAL(cb_fleet_find(fleet, "a")->state, CB_FLEET_GONE);
	cb_fleet_expire(fleet, 22 * SILENCE_MS, SILENCE_MS, 10 * SILENCE_MS);
	CU_ASSERT_PTR_NULL(cb_fleet_find(fleet, "a"));
	cb_fleet_delete(fleet);
}

/* A server that was ordered to move takes nothing new until it has moved. */
static void moving_ends_with_other_layers_or_a_start(void)
{
	static const word_t held = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	static const word_t still = { "a", "x:1", 10, 2, CB_FLEET_READY, 4 };
	static const word_t moved = { "a", "x:1", 10, 3, CB_FLEET_READY, 9 };
	static const word_t anew = { "a", "x:1", 11, 1, CB_FLEET_READY, 9 };
	cb_fleet_t *fleet = cb_fleet_new();

	hear_(fleet, &held, 0);
	cb_fleet_set_moving(fleet, "a", TRUE);
	hear_(fleet, &still, 1);
	CU_ASSERT_TRUE(cb_fleet_find(fleet, "a")->is_moving);
	hear_(fleet, &moved, 2);
	CU_ASSERT_FALSE(cb_fleet_find(fleet, "a")->is_moving);
	cb_fleet_set_moving(fleet, "a", TRUE);
	hear_(fleet, &anew, 3);
	CU_ASSERT_FALSE(cb_fleet_find(fleet, "a")->is_moving);
	cb_fleet_delete(fleet);
}

/* What is told is known elsewhere, as old as it is; damage changes nothing. */
static void told_fleet_is_merged(void)
{
	static const word_t word = { "a", "x:1", 10, 1, CB_FLEET_READY, 4 };
	cb_fleet_t *from = cb_fleet_new();
	cb_fleet_t *to = cb_fleet_new();
	GBytes *all;
	GBytes *cut;

	CU_ASSERT_PTR_NULL(cb_fleet_encode(from, CB_FLEET_ALL, 0));
	hear_(from, &word, 100);
	all = cb_fleet_encode(from, CB_FLEET_ALL_CHANGED, 400);
	CU_ASSERT_PTR_NULL(cb_fleet_encode(from, CB_FLEET_ALL_CHANGED, 400));
	cut = g_bytes_new_from_bytes(all, 0, g_bytes_get_size(all) - 1);
	CU_ASSERT_FALSE(cb_fleet_merge(to, cut, 1000));
	CU_ASSERT_TRUE(cb_fleet_merge(to, all, 1000));
	CU_ASSERT_EQUAL(cb_fleet_find(to, "a")->heard_ms, 700);
	CU_ASSERT_EQUAL(cb_fleet_find(to, "a")->layer_to, 4);
	/* What was only passed on is not passed on again as heard. */
	CU_ASSERT_PTR_NULL(cb_fleet_encode(to, CB_FLEET_ALL_HEARD, 1000));
	g_bytes_unref(cut);
	g_bytes_unref(all);
	cb_fleet_delete(from);
	cb_fleet_delete(to);
}

/* An entry instance's fleet, as its session tells it. */
typedef struct listener {
	world_t *world;
	cb_fleet_t *fleet;
} listener_t;

static void told_(GBytes *bytes, void *user_data)
{
	listener_t *listener = user_data;

	CU_ASSERT_TRUE(cb_fleet_merge(listener->fleet, bytes,
				      cb_clock_now_ms(listener->world->clock)));
}

static void ignored_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		     void *user_data)
{
	(void)answer;
	*(cb_submit_outcome_t *)user_data = outcome;
}

static void server_says_(world_t *world, size_t node, uint64_t sequence,
			 cb_fleet_state_t state, cb_submit_outcome_t *outcome)
{
	const cb_fleet_server_t said = {
		.id = (char *)"a",
		.service = (char *)"s",
		.address = (char *)"x:1",
		.data_centre = (char *)"dc1",
		.born_wall_ms = 10,
		.sequence = sequence,
		.state = state,
	};

	*outcome = CB_SUBMIT_OUTCOME_COUNT;
	cb_node_fleet_hear(world->nodes[node].node, &said, ignored_, outcome);
}

static gboolean is_known_(const cb_fleet_t *fleet, cb_fleet_state_t state)
{
	const cb_fleet_server_t *server = cb_fleet_find(fleet, "a");

	return server && server->state == state;
}

/*
 * What one node hears reaches every entry; a server that drains is answered
 * only once that is committed, and no entry uses it from then on.
 */
static void heartbeats_reach_every_entry(void)
{
	world_t *world = world_new_hearing(3, 6, 21, SILENCE_MS);
	listener_t listeners[6];
	cb_submit_outcome_t outcome;
	size_t i;

	for (i = 0; i < 6; i++) {
		listeners[i] = (listener_t){ world, cb_fleet_new() };
		cb_control_client_on_fleet(world->clients[i].client, told_,
					   &listeners[i]);
	}
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	server_says_(world, 2, 1, CB_FLEET_READY, &outcome);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
	world_run_until(world, NULL, TOLD_LIMIT_MS);
	for (i = 0; i < 6; i++)
		CU_ASSERT_TRUE(is_known_(listeners[i].fleet, CB_FLEET_READY));
	server_says_(world, 0, 2, CB_FLEET_DRAINING, &outcome);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_OUTCOME_COUNT);
	world_run_until(world, NULL, TOLD_LIMIT_MS);
	CU_ASSERT_EQUAL(outcome, CB_SUBMIT_ANSWERED);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_TRUE(
			is_known_(listeners[i].fleet, CB_FLEET_DRAINING));
		CU_ASSERT_TRUE(cb_view_is_stopped(world->clients[i].view,
						  CB_STOP_SERVER, "a/10"));
		cb_fleet_delete(listeners[i].fleet);
	}
	world_delete(world);
}

/*
 * Nodes that are apart from another take no server for silent that may be
 * announcing itself there, until it has lasted much longer.
 */
static void silence_while_apart_is_doubted(void)
{
	world_t *world = world_new_hearing(3, 1, 22, SILENCE_MS);
	const cb_fleet_t *fleet;
	cb_submit_outcome_t outcome;
	size_t heard;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	heard = world_leader(world) == 0 ? 1 : 0;
	fleet = cb_node_fleet(world->nodes[heard].node);
	server_says_(world, heard, 1, CB_FLEET_READY, &outcome);
	world_isolate(world, world->nodes[2].name, TRUE);
	world_run_until(world, NULL, SILENCE_MS + 2000);
	CU_ASSERT_TRUE(is_known_(fleet, CB_FLEET_READY));
	world_run_until(world, NULL, 4 * SILENCE_MS);
	CU_ASSERT_TRUE(is_known_(fleet, CB_FLEET_SILENT));
	world_delete(world);
}

static CU_TestInfo fleet_tests[] = {
	{ "newest_word_counts", newest_word_counts },
	{ "reused_address_goes_to_the_younger",
	  reused_address_goes_to_the_younger },
	{ "silent_servers_come_back_and_are_forgotten",
	  silent_servers_come_back_and_are_forgotten },
	{ "moving_ends_with_other_layers_or_a_start",
	  moving_ends_with_other_layers_or_a_start },
	{ "told_fleet_is_merged", told_fleet_is_merged },
	{ "heartbeats_reach_every_entry", heartbeats_reach_every_entry },
	{ "silence_while_apart_is_doubted", silence_while_apart_is_doubted },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "fleet", .pTests = fleet_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
