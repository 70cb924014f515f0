#include "support_main.h"

#include <string.h>

#include "currantbridge/placer.h"
#include "private/link_message.h"
#include "private/usage.h"
#include "support_world.h"

/*
 * Tests of the placer on one control instance with a simulated clock.  The
 * engines are simulated too and answer orders as each test case requires.
 */
#define START_LIMIT_MS 10000
#define ENGINES 4
#define LAYERS 20
#define HEARTBEAT_MS 1000
#define USUAL_PACE_PERCENT 100
#define VERY_SLOW_PERCENT 1200

typedef struct fixture {
	cb_engine_orders_t orders; /* must be first: callbacks cast from it */
	world_t *world;
	cb_placer_t *placer;
	GArray *received_orders;   /* of received_order_t */
	unsigned int report_count; /* number of reports requested */
	struct {
		/* first layer that the engine holds */
		uint32_t from;
		/* one past the last layer that the engine holds */
		uint32_t to;
		uint64_t accepted_orders; /* number of orders accepted */
		uint32_t slow_percent;
		/* Whether the engine neither answers nor sends heartbeats. */
		gboolean is_dead;
	} engines[ENGINES];
	/* The outcomes of the first orders; later ones are accepted. */
	const cb_order_outcome_t *outcomes;
	unsigned int outcome_count;
	/* Whether an order with outcome LOST is carried out nevertheless. */
	gboolean executes_lost_orders;
	/* The first orders, and the next reports, that are never answered. */
	unsigned int unanswered_orders;
	unsigned int unanswered_reports;
	/* Reports that the process can't ask for, see CB_REPORT_UNMADE. */
	unsigned int unmade_reports;
	unsigned int cancelled_calls;
} fixture_t;

/* An order to hold layers, as an engine received it. */
typedef struct received_order {
	unsigned int engine; /* index into the fixture's engines */
	uint32_t from;
	uint32_t to;
	uint64_t fencing;
	uint64_t expected_orders; /* number of orders accepted before */
} received_order_t;

/* Returns the index of an engine, which is its port. */
static unsigned int engine_index_parse_(const char *address)
{
	return (unsigned int)(strrchr(address, ':')[1] - '0');
}

static void order_receive_(cb_engine_orders_t *orders,
			   const cb_layer_order_t *order,
			   cb_order_done_fn_t done, void *user_data)
{
	fixture_t *fixture = (fixture_t *)orders;
	unsigned int engine = engine_index_parse_(order->address);
	const received_order_t received_order = { engine, order->from,
						  order->to, order->fencing,
						  order->expected_orders };
	cb_order_outcome_t outcome = CB_ORDER_ACCEPTED;

	if (fixture->received_orders->len < fixture->outcome_count)
		outcome = fixture->outcomes[fixture->received_orders->len];
	g_array_append_val(fixture->received_orders, received_order);
	if (order->expected_orders != fixture->engines[engine].accepted_orders)
		outcome = CB_ORDER_REFUSED;
	if (outcome == CB_ORDER_ACCEPTED ||
	    (outcome == CB_ORDER_LOST && fixture->executes_lost_orders)) {
		fixture->engines[engine].from = order->from;
		fixture->engines[engine].to = order->to;
		fixture->engines[engine].accepted_orders++;
	}
	if (fixture->received_orders->len > fixture->unanswered_orders)
		done(outcome, user_data);
}

static void report_send_(cb_engine_orders_t *orders, const char *address,
			 cb_report_done_fn_t done, void *user_data)
{
	fixture_t *fixture = (fixture_t *)orders;
	unsigned int engine = engine_index_parse_(address);
	const cb_engine_report_t report = {
		.accepted_orders = fixture->engines[engine].accepted_orders,
		.layer_from = fixture->engines[engine].from,
		.layer_to = fixture->engines[engine].to,
		.slow_percent = fixture->engines[engine].slow_percent,
	};

	fixture->report_count++;
	if (fixture->unanswered_reports) {
		fixture->unanswered_reports--;
	} else if (fixture->unmade_reports) {
		fixture->unmade_reports--;
		done(CB_REPORT_UNMADE, NULL, user_data);
	} else if (fixture->engines[engine].is_dead)
		done(CB_REPORT_FAILED, NULL, user_data);
	else
		done(CB_REPORT_ANSWERED, &report, user_data);
}

static void call_cancel_(cb_engine_orders_t *orders, const void *user_data)
{
	(void)user_data;
	((fixture_t *)orders)->cancelled_calls++;
}

static const cb_engine_orders_vtable_t orders_vtable = {
	.place = order_receive_,
	.report = report_send_,
	.cancel = call_cancel_,
};

/* Returns one fixed document, with service "s" and its engine profile. */
static cb_document_t *document_make_(const cb_document_codec_t *codec,
				     const char *text, size_t size,
				     GArray *route_texts, GError **error)
{
	cb_service_profile_t *service = cb_service_profile_new("s");
	cb_engine_kind_t *kind = g_new0(cb_engine_kind_t, 1);
	cb_document_t *document = cb_document_new();

	(void)codec;
	(void)text;
	(void)size;
	(void)route_texts;
	(void)error;
	kind->name = g_strdup("k");
	kind->memory_mb = 1000;
	kind->step_time_factor = 1;
	service->engine = cb_engine_profile_new();
	service->engine->layers = LAYERS;
	service->engine->layer_mb = 100;
	service->engine->kv_token_bytes = 2000;
	service->engine->stride = 1;
	g_ptr_array_add(service->engine->kinds, kind);
	cb_document_add_service(document, service);
	return document;
}

static const cb_document_codec_vtable_t codec_vtable = {
	.open = document_make_
};
static const cb_document_codec_t codec = { &codec_vtable };

static void answer_ignore_(cb_submit_outcome_t outcome,
			   const cb_answer_t *answer, void *user_data)
{
	(void)outcome;
	(void)answer;
	(void)user_data;
}

/* Sends a heartbeat of every live engine with the layers that it holds. */
static void heartbeats_send_(fixture_t *fixture, uint64_t sequence)
{
	unsigned int i;

	for (i = 0; i < ENGINES; i++) {
		cb_fleet_server_t heartbeat = {
			.service = (char *)"s",
			.data_centre = (char *)"dc1",
			.kind = (char *)"k",
			.start_wall_ms = 1,
			.sequence = sequence,
			.layer_from = fixture->engines[i].from,
			.layer_to = fixture->engines[i].to,
		};

		if (fixture->engines[i].is_dead)
			continue;
		heartbeat.id = g_strdup_printf("engine%u", i);
		heartbeat.address = g_strdup_printf("10.1.0.1:%u", i);
		cb_node_server_announce(fixture->world->nodes[0].node,
					&heartbeat, answer_ignore_, NULL);
		g_free(heartbeat.id);
		g_free(heartbeat.address);
	}
}

/* Advances the clock, with a heartbeat of each live engine every second. */
static void seconds_run_(fixture_t *fixture, unsigned int seconds)
{
	static uint64_t sequence = 1;

	while (seconds--) {
		heartbeats_send_(fixture, sequence++);
		world_run_until(fixture->world, NULL, HEARTBEAT_MS);
	}
}

static void fixture_init_(fixture_t *fixture, gboolean has_document)
{
	cb_service_t *service;

	*fixture = (fixture_t){ .orders = { &orders_vtable } };
	fixture->world = world_new_with_servers(1, 1, 41, 3 * HEARTBEAT_MS);
	fixture->received_orders =
		g_array_new(FALSE, FALSE, sizeof(received_order_t));
	fixture->placer = cb_placer_new(fixture->world->nodes[0].kernel,
					fixture->world->nodes[0].node, &codec,
					&fixture->orders);
	service = (cb_service_t *)fixture->placer;
	CU_ASSERT_TRUE(service->vtable->start(service, NULL));
	CU_ASSERT_TRUE(world_run_until(fixture->world, world_is_converged,
				       START_LIMIT_MS));
	if (has_document)
		cb_node_put_document(fixture->world->nodes[0].node, 1, "d", 1,
				     answer_ignore_, NULL);
}

static void fixture_clear_(fixture_t *fixture)
{
	cb_service_t *service = (cb_service_t *)fixture->placer;

	service->vtable->destroy(service);
	g_array_unref(fixture->received_orders);
	world_delete(fixture->world);
}

static const received_order_t *received_order_at_(const fixture_t *fixture,
						  unsigned int i)
{
	return &g_array_index(fixture->received_orders, received_order_t, i);
}

/* Whether every layer is held by a live engine that is not slow. */
static gboolean all_layers_are_held_(const fixture_t *fixture)
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

/*
 * Guards against a first plan for only part of the fleet, against repeated
 * orders, and against orders with different fencing numbers.
 */
static void first_orders_wait_for_the_fleet(void)
{
	fixture_t fixture;
	unsigned int i;

	fixture_init_(&fixture, TRUE);
	heartbeats_send_(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_EQUAL(fixture.received_orders->len, 0);
	seconds_run_(&fixture, 10);
	CU_ASSERT_EQUAL(fixture.received_orders->len, ENGINES);
	CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
	for (i = 0; i < fixture.received_orders->len; i++) {
		CU_ASSERT_EQUAL(
			received_order_at_(&fixture, i)->expected_orders, 0);
		CU_ASSERT_TRUE(received_order_at_(&fixture, i)->fencing > 0);
		CU_ASSERT_EQUAL(received_order_at_(&fixture, i)->fencing,
				received_order_at_(&fixture, 0)->fencing);
	}
	fixture_clear_(&fixture);
}

/* Guards against orders or report requests before there is a document. */
static void nothing_is_ordered_without_a_document(void)
{
	fixture_t fixture;

	fixture_init_(&fixture, FALSE);
	seconds_run_(&fixture, 10);
	CU_ASSERT_EQUAL(fixture.received_orders->len, 0);
	CU_ASSERT_EQUAL(fixture.report_count, 0);
	fixture_clear_(&fixture);
}

/*
 * Guards against missing layers, and against engines that accept an order
 * twice, after orders that were lost, refused or fenced.
 */
static void failed_orders_are_retried(void)
{
	static const struct {
		cb_order_outcome_t outcomes[3];
		gboolean executes_lost_orders;
		/* least number of orders that must be given */
		unsigned int min_order_count;
	} cases[] = {
		{ { CB_ORDER_LOST, CB_ORDER_LOST, CB_ORDER_ACCEPTED },
		  FALSE,
		  6 },
		/* A heartbeat may report the layers before a retry. */
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

		fixture_init_(&fixture, TRUE);
		fixture.outcomes = cases[n].outcomes;
		fixture.outcome_count = G_N_ELEMENTS(cases[n].outcomes);
		fixture.executes_lost_orders = cases[n].executes_lost_orders;
		seconds_run_(&fixture, 20);
		CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
		CU_ASSERT_TRUE(fixture.received_orders->len >=
			       cases[n].min_order_count);
		for (i = 0; i < ENGINES; i++)
			CU_ASSERT_EQUAL(fixture.engines[i].accepted_orders, 1);
		fixture_clear_(&fixture);
	}
}

/*
 * An engine that left an order or a report without an answer got no order any more.
 * Calls without an answer end after some time, and the engine is called again.
 */
static void unanswered_calls_are_repeated(void)
{
	static const struct {
		unsigned int unanswered_orders;
		gboolean executes_lost_orders;
		unsigned int unanswered_reports;
		unsigned int unmade_reports;
		/* calls that are dropped, at least */
		unsigned int min_cancelled;
	} cases[] = {
		{ 1, FALSE, 0, 0, 1 },	     { 1, TRUE, 0, 0, 1 },
		{ ENGINES, FALSE, 0, 0, 1 }, { ENGINES, TRUE, 0, 0, 1 },
		{ 0, FALSE, 1, 0, 1 },	     { 0, FALSE, ENGINES, 0, ENGINES },
		{ 0, FALSE, 0, 1, 0 },	     { 0, FALSE, 0, ENGINES, 0 },
		{ 1, FALSE, ENGINES, 0, 2 },
	};
	static const cb_order_outcome_t lost[ENGINES] = {
		CB_ORDER_LOST, CB_ORDER_LOST, CB_ORDER_LOST, CB_ORDER_LOST
	};
	size_t n;
	unsigned int i;

	for (n = 0; n < G_N_ELEMENTS(cases); n++) {
		fixture_t fixture;

		fixture_init_(&fixture, TRUE);
		fixture.outcomes = lost;
		fixture.outcome_count = cases[n].unanswered_orders;
		fixture.executes_lost_orders = cases[n].executes_lost_orders;
		fixture.unanswered_orders = cases[n].unanswered_orders;
		seconds_run_(&fixture, 15);
		CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
		for (i = 0; i < ENGINES; i++)
			CU_ASSERT_EQUAL(fixture.engines[i].accepted_orders, 1);
		/* Reports are asked for; then a dead engine's layers move. */
		fixture.unanswered_reports = cases[n].unanswered_reports;
		fixture.unmade_reports = cases[n].unmade_reports;
		seconds_run_(&fixture, 3);
		fixture.engines[1].is_dead = TRUE;
		seconds_run_(&fixture, 10);
		CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
		CU_ASSERT_TRUE(fixture.cancelled_calls >=
			       cases[n].min_cancelled);
		fixture_clear_(&fixture);
	}
}

/* Guards against layers that only a very slow engine holds. */
static void slow_engines_are_replaced(void)
{
	unsigned int only_holders = 0;
	unsigned int slow;

	for (slow = 0; slow < ENGINES; slow++) {
		fixture_t fixture;

		fixture_init_(&fixture, TRUE);
		seconds_run_(&fixture, 10);
		CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
		fixture.engines[slow].slow_percent = VERY_SLOW_PERCENT;
		only_holders += !all_layers_are_held_(&fixture);
		seconds_run_(&fixture, 10);
		CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
		fixture_clear_(&fixture);
	}
	/* At least one engine was the only holder of some layers. */
	CU_ASSERT_TRUE(only_holders > 0);
}

/* Reports to control how many entry instances suspect an engine. */
static void suspicion_report_(fixture_t *fixture, unsigned int engine,
			      uint32_t entry_count)
{
	const cb_usage_load_t entry = { .suspecting_instances = entry_count };
	cb_usage_t *usage = cb_usage_new();
	char *id = g_strdup_printf("engine%u", engine);
	GBytes *bytes;

	cb_usage_add_load(usage, id, &entry);
	bytes = cb_usage_encode(usage, CB_PROTOCOL_VERSION);
	cb_control_client_report_usage(fixture->world->clients[0].client,
				       bytes);
	g_bytes_unref(bytes);
	g_free(id);
	cb_usage_delete(usage);
}

/* Returns whether the entry instances are told not to use an engine. */
static gboolean engine_is_silent_(const fixture_t *fixture, unsigned int engine)
{
	char *id = g_strdup_printf("engine%u", engine);
	const cb_fleet_server_t *server =
		cb_fleet_find(cb_node_fleet(fixture->world->nodes[0].node), id);

	g_free(id);
	return server->state == CB_FLEET_SILENT;
}

/*
 * Guards against late replacement of a dead engine that several entry instances
 * suspect: it must not wait for missing heartbeats.  A live engine, or a dead
 * one that at most one instance suspects, must not be replaced that early.
 */
static void dead_suspected_engines_are_replaced_early(void)
{
	static const struct {
		/* entry instances that suspect the engine */
		uint32_t suspecting_entries;
		gboolean is_dead;
		gboolean is_replaced;
	} cases[] = {
		{ 2, TRUE, TRUE },  { 7, TRUE, TRUE },	 { 1, TRUE, FALSE },
		{ 0, TRUE, FALSE }, { 7, FALSE, FALSE },
	};
	size_t n;

	for (n = 0; n < G_N_ELEMENTS(cases); n++) {
		/* Number of engines whose loss led to orders. */
		unsigned int replaced = 0;
		unsigned int dead;

		for (dead = 0; dead < ENGINES; dead++) {
			fixture_t fixture;
			unsigned int orders_before;

			fixture_init_(&fixture, TRUE);
			seconds_run_(&fixture, 10);
			fixture.engines[dead].is_dead = cases[n].is_dead;
			orders_before = fixture.received_orders->len;
			suspicion_report_(&fixture, dead,
					  cases[n].suspecting_entries);
			seconds_run_(&fixture, 1);
			replaced +=
				fixture.received_orders->len > orders_before;
			CU_ASSERT_EQUAL(engine_is_silent_(&fixture, dead),
					cases[n].is_replaced);
			if (cases[n].is_replaced)
				CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
			suspicion_report_(&fixture, dead, 0);
			fixture.engines[dead].is_dead = FALSE;
			seconds_run_(&fixture, 5);
			CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
			fixture_clear_(&fixture);
		}
		CU_ASSERT_EQUAL(replaced > 0, cases[n].is_replaced);
	}
}

/*
 * Guards against a wrong gauge of missing layers: all of them before the first
 * orders, none after they are carried out.
 */
static void gauge_shows_missing_layers(void)
{
	fixture_t fixture;
	cb_counter_t *gauge;

	fixture_init_(&fixture, TRUE);
	gauge = cb_counters_gauge(cb_kernel_counters(
					  fixture.world->nodes[0].kernel),
				  "cb_layers_missing", "of", "s/dc1");
	heartbeats_send_(&fixture, 1);
	world_run_until(fixture.world, NULL, 1000);
	CU_ASSERT_EQUAL(cb_counter_get(gauge), LAYERS);
	seconds_run_(&fixture, 10);
	CU_ASSERT_TRUE(all_layers_are_held_(&fixture));
	CU_ASSERT_EQUAL(cb_counter_get(gauge), 0);
	fixture_clear_(&fixture);
}

static CU_TestInfo placer_tests[] = {
	{ "first_orders_wait_for_the_fleet", first_orders_wait_for_the_fleet },
	{ "nothing_is_ordered_without_a_document",
	  nothing_is_ordered_without_a_document },
	{ "failed_orders_are_retried", failed_orders_are_retried },
	{ "unanswered_calls_are_repeated", unanswered_calls_are_repeated },
	{ "slow_engines_are_replaced", slow_engines_are_replaced },
	{ "gauge_shows_missing_layers", gauge_shows_missing_layers },
	{ "dead_suspected_engines_are_replaced_early",
	  dead_suspected_engines_are_replaced_early },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "placer", .pTests = placer_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
