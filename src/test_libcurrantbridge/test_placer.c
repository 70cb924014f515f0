#include "support_main.h"

#include <string.h>

#include "currantbridge/placer.h"
#include "private/usage.h"
#include "support_world.h"

/*
 * The placer on one control instance, with engines that answer its orders as
 * a case says, on a paused clock.
 */
#define START_LIMIT_MS 10000
#define ENGINES 4
#define LAYERS 20
#define HEARTBEAT_MS 1000
#define USUAL_PACE_PERCENT 100
#define VERY_SLOW_PERCENT 1200

typedef struct fixture {
	cb_engine_orders_t orders; /* first: it is one */
	world_t *world;
	cb_placer_t *placer;
	/* What the engines were told, and what they hold. */
	GArray *placed; /* of placed_t */
	unsigned int reports;
	struct {
		uint32_t from;
		uint32_t to;
		uint64_t accepted;
		uint32_t slow_percent;
		gboolean is_dead; /* it neither answers nor announces itself */
	} engines[ENGINES];
	/* How the next orders are answered; ACCEPTED after these. */
	const cb_order_outcome_t *outcomes;
	unsigned int outcome_count;
	/* A lost order may have been carried out all the same. */
	gboolean lost_are_done;
} fixture_t;

typedef struct placed {
	unsigned int engine;
	uint32_t from;
	uint32_t to;
	uint64_t fencing;
	uint64_t expected;
} placed_t;

static unsigned int engine_of_(const char *address)
{
	return (unsigned int)(strrchr(address, ':')[1] - '0');
}

static void place_(cb_engine_orders_t *orders, const cb_layer_order_t *order,
		   cb_order_done_fn_t done, void *user_data)
{
	fixture_t *fixture = (fixture_t *)orders;
	unsigned int engine = engine_of_(order->address);
	const placed_t placed = { engine, order->from, order->to,
				  order->fencing, order->expected_orders };
	cb_order_outcome_t outcome = CB_ORDER_ACCEPTED;

	if (fixture->placed->len < fixture->outcome_count)
		outcome = fixture->outcomes[fixture->placed->len];
	g_array_append_val(fixture->placed, placed);
	if (order->expected_orders != fixture->engines[engine].accepted)
		outcome = CB_ORDER_REFUSED;
	if (outcome == CB_ORDER_ACCEPTED ||
	    (outcome == CB_ORDER_LOST && fixture->lost_are_done)) {
		fixture->engines[engine].from = order->from;
		fixture->engines[engine].to = order->to;
		fixture->engines[engine].accepted++;
	}
	done(outcome, user_data);
}

static void report_(cb_engine_orders_t *orders, const char *address,
		    cb_report_done_fn_t done, void *user_data)
{
	fixture_t *fixture = (fixture_t *)orders;
	unsigned int engine = engine_of_(address);
	const cb_engine_report_t report = {
		.accepted_orders = fixture->engines[engine].accepted,
		.layer_from = fixture->engines[engine].from,
		.layer_to = fixture->engines[engine].to,
		.slow_percent = fixture->engines[engine].slow_percent,
	};

	fixture->reports++;
	done(fixture->engines[engine].is_dead ? NULL : &report, user_data);
}

static const cb_engine_orders_vtable_t orders_vtable = {
	.place = place_,
	.report = report_,
};

static cb_document_t *decode_(const cb_document_codec_t *codec,
			      const char *text, size_t size, GError **error)
{
	cb_service_profile_t *service = cb_service_profile_new("s");
	cb_engine_kind_t *kind = g_new0(cb_engine_kind_t, 1);
	cb_document_t *document = cb_document_new();

	(void)codec;
	(void)text;
	(void)size;
	kind->name = g_strdup("k");
	kind->memory_mb = 1000;
	kind->pace = 1;
	service->engine = cb_engine_profile_new();
	service->engine->layers = LAYERS;
	service->engine->layer_mb = 100;
	service->engine->kv_token_bytes = 2000;
	service->engine->stride = 1;
	g_ptr_array_add(service->engine->kinds, kind);
	cb_document_add_service(document, service);
	CU_ASSERT_TRUE(cb_document_finish(document, error));
	return document;
}

static const cb_document_codec_vtable_t codec_vtable = { decode_ };
static const cb_document_codec_t codec = { &codec_vtable };

static void ignored_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		     void *user_data)
{
	(void)outcome;
	(void)answer;
	(void)user_data;
}

/* Every engine announces itself with the layers that it holds. */
static void engines_announce_(fixture_t *fixture, uint64_t sequence)
{
	unsigned int i;

	for (i = 0; i < ENGINES; i++) {
		cb_fleet_server_t said = {
			.service = (char *)"s",
			.data_centre = (char *)"dc1",
			.kind = (char *)"k",
			.born_wall_ms = 1,
			.sequence = sequence,
			.layer_from = fixture->engines[i].from,
			.layer_to = fixture->engines[i].to,
		};

		if (fixture->engines[i].is_dead)
			continue;
		said.id = g_strdup_printf("engine%u", i);
		said.address = g_strdup_printf("10.1.0.1:%u", i);
		cb_node_fleet_hear(fixture->world->nodes[0].node, &said,
				   ignored_, NULL);
		g_free(said.id);
		g_free(said.address);
	}
}

/* Lets time pass, with a heartbeat of each engine every second. */
static void run_(fixture_t *fixture, unsigned int seconds)
{
	static uint64_t sequence = 1;

	while (seconds--) {
		engines_announce_(fixture, sequence++);
		world_run_until(fixture->world, NULL, HEARTBEAT_MS);
	}
}

static void fixture_begin_(fixture_t *fixture, gboolean has_document)
{
	cb_service_t *service;

	*fixture = (fixture_t){ .orders = { &orders_vtable } };
	fixture->world = world_new_hearing(1, 1, 41, 3 * HEARTBEAT_MS);
	fixture->placed = g_array_new(FALSE, FALSE, sizeof(placed_t));
	fixture->placer = cb_placer_new(fixture->world->nodes[0].kernel,
					fixture->world->nodes[0].node, &codec,
					&fixture->orders);
	service = (cb_service_t *)fixture->placer;
	CU_ASSERT_TRUE(service->vtable->start(service, NULL));
	CU_ASSERT_TRUE(world_run_until(fixture->world, world_is_converged,
				       START_LIMIT_MS));
	if (has_document)
		cb_node_put_document(fixture->world->nodes[0].node, 1, "d", 1,
				     ignored_, NULL);
}

static void fixture_end_(fixture_t *fixture)
{
	cb_service_t *service = (cb_service_t *)fixture->placer;

	service->vtable->destroy(service);
	g_array_unref(fixture->placed);
	world_delete(fixture->world);
}

static const placed_t *placed_(const fixture_t *fixture, unsigned int i)
{
	return &g_array_index(fixture->placed, placed_t, i);
}

/* Whether every layer is held by an engine of its usual pace. */
static gboolean is_whole_(const fixture_t *fixture)
{
	gboolean held[LAYERS] = { FALSE };
	unsigned int i;
	uint32_t k;

	for (i = 0; i < ENGINES; i++)
		for (k = fixture->engines[i].from;
		     k < fixture->engines[i].to &&
		     fixture->engines[i].slow_percent <= USUAL_PACE_PERCENT &&
		     !fixture->engines[i].is_dead;
		     k++)
			held[k] = TRUE;
	for (k = 0; k < LAYERS; k++)
		if (!held[k])
			return FALSE;
	return TRUE;
}

/* The first orders wait for the fleet, and come once, under one fence. */
static void first_orders_wait_for_the_fleet(void)
{
	fixture_t fixture;
	unsigned int i;

	fixture_begin_(&fixture, TRUE);
	engines_announce_(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_EQUAL(fixture.placed->len, 0);
	run_(&fixture, 10);
	CU_ASSERT_EQUAL(fixture.placed->len, ENGINES);
	CU_ASSERT_TRUE(is_whole_(&fixture));
	for (i = 0; i < fixture.placed->len; i++) {
		CU_ASSERT_EQUAL(placed_(&fixture, i)->expected, 0);
		CU_ASSERT_TRUE(placed_(&fixture, i)->fencing > 0);
		CU_ASSERT_EQUAL(placed_(&fixture, i)->fencing,
				placed_(&fixture, 0)->fencing);
	}
	fixture_end_(&fixture);
}

static void nothing_is_ordered_without_a_document(void)
{
	fixture_t fixture;

	fixture_begin_(&fixture, FALSE);
	run_(&fixture, 10);
	CU_ASSERT_EQUAL(fixture.placed->len, 0);
	CU_ASSERT_EQUAL(fixture.reports, 0);
	fixture_end_(&fixture);
}

/*
 * Orders that are lost, refused or fenced: every layer is held in the end,
 * and no engine accepts two orders where one was meant.
 */
static void failed_orders_are_given_again(void)
{
	static const struct {
		cb_order_outcome_t outcomes[3];
		gboolean lost_are_done;
		unsigned int orders_least;
	} cases[] = {
		{ { CB_ORDER_LOST, CB_ORDER_LOST, CB_ORDER_ACCEPTED },
		  FALSE,
		  6 },
		/* A heartbeat may tell of it before it is given again. */
		{ { CB_ORDER_LOST, CB_ORDER_LOST, CB_ORDER_ACCEPTED },
		  TRUE,
		  4 },
		{ { CB_ORDER_REFUSED, CB_ORDER_ACCEPTED, CB_ORDER_REFUSED },
		  FALSE,
		  6 },
		{ { CB_ORDER_FENCED, CB_ORDER_ACCEPTED, CB_ORDER_ACCEPTED },
		  FALSE,
		  5 },
	};
	size_t n;
	unsigned int i;

	for (n = 0; n < G_N_ELEMENTS(cases); n++) {
		fixture_t fixture;

		fixture_begin_(&fixture, TRUE);
		fixture.outcomes = cases[n].outcomes;
		fixture.outcome_count = G_N_ELEMENTS(cases[n].outcomes);
		fixture.lost_are_done = cases[n].lost_are_done;
		run_(&fixture, 20);
		CU_ASSERT_TRUE(is_whole_(&fixture));
		CU_ASSERT_TRUE(fixture.placed->len >= cases[n].orders_least);
		for (i = 0; i < ENGINES; i++)
			CU_ASSERT_EQUAL(fixture.engines[i].accepted, 1);
		fixture_end_(&fixture);
	}
}

/* Others hold the layers of any engine that has turned very slow. */
static void slow_engines_are_placed_around(void)
{
	unsigned int alone = 0;
	unsigned int slow;

	for (slow = 0; slow < ENGINES; slow++) {
		fixture_t fixture;

		fixture_begin_(&fixture, TRUE);
		run_(&fixture, 10);
		CU_ASSERT_TRUE(is_whole_(&fixture));
		fixture.engines[slow].slow_percent = VERY_SLOW_PERCENT;
		alone += !is_whole_(&fixture);
		run_(&fixture, 10);
		CU_ASSERT_TRUE(is_whole_(&fixture));
		fixture_end_(&fixture);
	}
	/* At least one of them held layers that nobody else did. */
	CU_ASSERT_TRUE(alone > 0);
}

/* Entry instances tell how many of them doubt an engine. */
static void doubt_(fixture_t *fixture, unsigned int engine, uint32_t doubters)
{
	const cb_usage_entry_t entry = { .doubters = doubters };
	cb_usage_t *usage = cb_usage_new();
	char *id = g_strdup_printf("engine%u", engine);
	GBytes *bytes;

	cb_usage_add(usage, id, &entry);
	bytes = cb_usage_encode(usage);
	cb_control_client_tell_usage(fixture->world->clients[0].client, bytes);
	g_bytes_unref(bytes);
	g_free(id);
	cb_usage_delete(usage);
}

/*
 * An engine that does not answer is placed around as soon as several entry
 * instances doubt it, long before its heartbeats are missed; neither doubts
 * nor one lost answer alone do that.
 */
static void doubted_engines_are_placed_around(void)
{
	static const struct {
		uint32_t doubters;
		gboolean is_dead;
		gboolean is_replaced;
	} cases[] = {
		{ 2, TRUE, TRUE },  { 7, TRUE, TRUE },	 { 1, TRUE, FALSE },
		{ 0, TRUE, FALSE }, { 7, FALSE, FALSE },
	};
	size_t n;

	for (n = 0; n < G_N_ELEMENTS(cases); n++) {
		unsigned int needed = 0; /* engines that others replace */
		unsigned int dead;

		for (dead = 0; dead < ENGINES; dead++) {
			fixture_t fixture;
			unsigned int before;

			fixture_begin_(&fixture, TRUE);
			run_(&fixture, 10);
			fixture.engines[dead].is_dead = cases[n].is_dead;
			before = fixture.placed->len;
			doubt_(&fixture, dead, cases[n].doubters);
			run_(&fixture, 1);
			needed += fixture.placed->len > before;
			if (cases[n].is_replaced)
				CU_ASSERT_TRUE(is_whole_(&fixture));
			doubt_(&fixture, dead, 0);
			fixture.engines[dead].is_dead = FALSE;
			run_(&fixture, 5);
			CU_ASSERT_TRUE(is_whole_(&fixture));
			fixture_end_(&fixture);
		}
		CU_ASSERT_EQUAL(needed > 0, cases[n].is_replaced);
	}
}

/* The leader tells what is missing while an engine is gone, and its end. */
static void missing_layers_are_counted(void)
{
	fixture_t fixture;
	cb_counter_t *gauge;

	fixture_begin_(&fixture, TRUE);
	gauge = cb_counters_gauge(cb_kernel_counters(
					  fixture.world->nodes[0].kernel),
				  "cb_layers_missing", "of", "s/dc1");
	engines_announce_(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_EQUAL(cb_counter_get(gauge), LAYERS);
	run_(&fixture, 10);
	CU_ASSERT_TRUE(is_whole_(&fixture));
	CU_ASSERT_EQUAL(cb_counter_get(gauge), 0);
	fixture_end_(&fixture);
}

static CU_TestInfo placer_tests[] = {
	{ "first_orders_wait_for_the_fleet", first_orders_wait_for_the_fleet },
	{ "nothing_is_ordered_without_a_document",
	  nothing_is_ordered_without_a_document },
	{ "failed_orders_are_given_again", failed_orders_are_given_again },
	{ "slow_engines_are_placed_around", slow_engines_are_placed_around },
	{ "missing_layers_are_counted", missing_layers_are_counted },
	{ "doubted_engines_are_placed_around",
	  doubted_engines_are_placed_around },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "placer", .pTests = placer_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
