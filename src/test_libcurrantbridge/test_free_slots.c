#include "support_main.h"

#include "currantbridge/server.h"
#include "private/free_slots.h"

#define CAPACITY 4
#define SILENCE_MS 3000

/* A registry on a paused clock. */
typedef struct fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_view_t *view;
	cb_server_registry_t *registry;
} fixture_t;

static cb_server_t *engine_announce_(fixture_t *fixture, const char *name,
				     int first, int last, int running)
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

	CU_ASSERT_EQUAL(cb_server_announce(fixture->registry, text, NULL),
			CB_ANNOUNCE_ACCEPTED);
	g_free(text);
	return cb_server_find(fixture->registry, name);
}

static void fixture_init_(fixture_t *fixture)
{
	fixture->clock = cb_clock_new_paused(1000);
	fixture->counters = cb_counters_new();
	fixture->view = cb_view_new();
	fixture->registry =
		cb_server_registry_new(fixture->clock, NULL, fixture->counters,
				       fixture->view, SILENCE_MS);
}

static void fixture_clear_(fixture_t *fixture)
{
	cb_server_registry_delete(fixture->registry);
	cb_view_delete(fixture->view);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
}

/*
 * The free slots of a model are those of the layer with the fewest, and 0
 * while a layer is held by no engine.
 */
static void model_has_slots_of_its_fullest_layer(void)
{
	static const struct {
		/* requests running on the engine with layers 0 and 1 */
		int running_low;
		/* requests running on the engine with layers 2 and 3 */
		int running_high;
		int64_t slots;
	} cases[] = {
		{ 0, 0, CAPACITY }, { 1, 3, 1 }, { 3, 0, 1 },
		{ 4, 0, 0 },	    { 9, 0, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_init_(&fixture);
		CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), -1);
		engine_announce_(&fixture, "low", 0, 1, cases[i].running_low);
		CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), 0);
		engine_announce_(&fixture, "high", 2, 3, cases[i].running_high);
		CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"),
				cases[i].slots);
		fixture_clear_(&fixture);
	}
}

/*
 * A server that rejected an attempt because it was full counts as full, until
 * a request of this instance ends there or the server reports its load.
 * Otherwise requests would be sent to it again at once.
 */
static void rejection_marks_server_as_full(void)
{
	cb_server_t *server;
	fixture_t fixture;

	fixture_init_(&fixture);
	server = engine_announce_(&fixture, "all", 0, 3, 1);
	cb_server_begin_attempt(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), 2);
	cb_server_begin_attempt(server);
	cb_server_mark_full(server);
	cb_server_end_attempt(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), 0);
	cb_server_end_attempt(server);
	CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), 1);
	engine_announce_(&fixture, "all", 0, 3, 0);
	CU_ASSERT_EQUAL(cb_free_slots_model(fixture.registry, "m"), CAPACITY);
	fixture_clear_(&fixture);
}

static CU_TestInfo free_slots_tests[] = {
	{ "model_has_slots_of_its_fullest_layer",
	  model_has_slots_of_its_fullest_layer },
	{ "rejection_marks_server_as_full", rejection_marks_server_as_full },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "free_slots",
				    .pTests = free_slots_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
