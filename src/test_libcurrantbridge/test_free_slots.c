#include "support_main.h"

#include "currantbridge/server.h"
#include "private/free_slots.h"

#define CAPACITY 4
#define SILENCE_MS 3000

/* A registry with one engine that holds both layers of a model. */
typedef struct world {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_view_t *view;
	cb_server_registry_t *registry;
} world_t;

static cb_server_t *announce_(world_t *world, const char *name, int first,
			      int last, int running)
{
	char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"address\":\"127.0.0.1:1\","
		"\"data_centre\":\"dc1\",\"kind\":\"engine\","
		"\"incarnation\":1,\"state\":\"ready\","
		"\"checks_fencing\":false,\"capacity\":%d,"
		"\"load\":{\"running\":%d,\"queued\":0},\"models\":[{"
		"\"name\":\"m\",\"first_layer\":%d,\"last_layer\":%d,"
		"\"layers\":4}]}",
		name, CAPACITY, running, first, last);

	CU_ASSERT_EQUAL(cb_server_announce(world->registry, text, NULL),
			CB_ANNOUNCE_ACCEPTED);
	g_free(text);
	return cb_server_find(world->registry, name);
}

static void world_open_(world_t *world)
{
	world->clock = cb_clock_new_paused(1000);
	world->counters = cb_counters_new();
	world->view = cb_view_new();
	world->registry =
		cb_server_registry_new(world->clock, NULL, world->counters,
				       world->view, SILENCE_MS);
}

static void world_close_(world_t *world)
{
	cb_server_registry_delete(world->registry);
	cb_view_delete(world->view);
	cb_counters_delete(world->counters);
	cb_clock_delete(world->clock);
}

/* The layer with the least room bounds the whole model. */
static void least_layer_bounds_model(void)
{
	static const struct {
		int running_low;  /* of the engine with layers 0 and 1 */
		int running_high; /* of the one with layers 2 and 3 */
		int64_t slots;
	} cases[] = {
		{ 0, 0, CAPACITY }, { 1, 3, 1 }, { 3, 0, 1 },
		{ 4, 0, 0 },	    { 9, 0, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t world;

		world_open_(&world);
		CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), -1);
		announce_(&world, "low", 0, 1, cases[i].running_low);
		CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), 0);
		announce_(&world, "high", 2, 3, cases[i].running_high);
		CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"),
				cases[i].slots);
		world_close_(&world);
	}
}

/*
 * A server that refused for want of room has none, until a request of this
 * instance ends there or it reports.
 */
static void refusal_fills_the_books(void)
{
	cb_server_t *server;
	world_t world;

	world_open_(&world);
	server = announce_(&world, "all", 0, 3, 1);
	cb_server_begin(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), 2);
	cb_server_begin(server);
	cb_server_was_full(server);
	cb_server_end(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), 0);
	cb_server_end(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), 1);
	announce_(&world, "all", 0, 3, 0);
	CU_ASSERT_EQUAL(cb_free_slots_model(world.registry, "m"), CAPACITY);
	world_close_(&world);
}

static CU_TestInfo free_slots_tests[] = {
	{ "least_layer_bounds_model", least_layer_bounds_model },
	{ "refusal_fills_the_books", refusal_fills_the_books },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "free_slots",
				    .pTests = free_slots_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
