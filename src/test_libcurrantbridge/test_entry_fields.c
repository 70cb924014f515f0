#include "support_main.h"

#include <string.h>

#include "currantbridge/admission.h"
#include "currantbridge/server.h"
#include "currantbridge/state.h"
#include "private/completion_request.h"
#include "private/completion_text.h"
#include "currantbridge/json_fields.h"
#include "private/rendezvous.h"

/* Each bad body gives an error that names the field and the reason. */
static void completion_fields_are_checked(void)
{
	static const struct {
		cb_completion_kind_t kind;
		const char *text;
		const char *error;
		const char *prompt;
	} cases[] = {
		{ CB_COMPLETION_TEXT, "{\"model\":\"m\",\"prompt\":\"p\"}", "",
		  "p" },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":0.5}", "",
		  "p" },
		{ CB_COMPLETION_TEXT, "", "the body must be one JSON object",
		  NULL },
		{ CB_COMPLETION_TEXT, "{", "the body is not valid JSON", NULL },
		{ CB_COMPLETION_TEXT, "[1]", "the body must be one JSON object",
		  NULL },
		{ CB_COMPLETION_TEXT, "{\"model\":\"m\",\"prompt\":\"\xff\"}",
		  "the body is not valid JSON", NULL },
		{ CB_COMPLETION_TEXT, "{\"prompt\":\"p\"}",
		  "model: is required", NULL },
		{ CB_COMPLETION_TEXT, "{\"model\":\"\",\"prompt\":\"p\"}",
		  "model: must not be empty", NULL },
		{ CB_COMPLETION_TEXT, "{\"model\":\"m\"}",
		  "prompt: is required", NULL },
		{ CB_COMPLETION_TEXT, "{\"model\":\"m\",\"prompt\":[\"p\"]}",
		  "prompt: must be a string", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
		  "max_tokens: must be from 1 to 1000000", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
		  "max_tokens: must be a whole number", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
		  "stream: must be true or false", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}",
		  "n: must be from 1 to 1", NULL },
		{ CB_COMPLETION_CHAT, "{\"model\":\"m\"}",
		  "messages: is required", NULL },
		{ CB_COMPLETION_CHAT, "{\"model\":\"m\",\"messages\":[]}",
		  "messages: must not be empty", NULL },
		{ CB_COMPLETION_CHAT, "{\"model\":\"m\",\"messages\":[1]}",
		  "messages: each must be an object", NULL },
		{ CB_COMPLETION_CHAT,
		  "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}",
		  "messages: each needs role and content", NULL },
		{ CB_COMPLETION_CHAT,
		  "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
		  "\"content\":\"a\"},{\"role\":\"system\",\"content\":"
		  "\"b\"}]}",
		  "", "user: a\nsystem: b\n" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_completion_request_t request = { 0 };
		GError *error = NULL;

		cb_completion_request_parse(&request, cases[i].kind,
					    cases[i].text,
					    strlen(cases[i].text), &error);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		CU_ASSERT_EQUAL(g_strcmp0(request.prompt, cases[i].prompt), 0);
		g_clear_error(&error);
		cb_completion_request_clear(&request);
	}
}

/* A body that would exhaust the parser's stack is refused before. */
static void deep_nesting_is_refused(void)
{
	static const struct {
		size_t depth;
		gboolean in_string;
		gboolean is_taken;
	} cases[] = { { 60, FALSE, TRUE },
		      { 70, FALSE, FALSE },
		      { 200000, FALSE, FALSE },
		      { 200000, TRUE, TRUE } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		JsonParser *parser = json_parser_new_immutable();
		GString *text = g_string_new("{\"a\":");
		size_t j;

		if (cases[i].in_string)
			g_string_append(text, "\"\\\"");
		for (j = 0; j < cases[i].depth; j++)
			g_string_append_c(text, '[');
		for (j = 0; j < cases[i].depth && !cases[i].in_string; j++)
			g_string_append_c(text, ']');
		g_string_append(text, cases[i].in_string ? "\"}" : "}");
		CU_ASSERT_EQUAL(cb_json_parse_object(parser, text->str, -1,
						     NULL) != NULL,
				cases[i].is_taken);
		g_string_free(text, TRUE);
		g_object_unref(parser);
	}
}

/* What is written for a token is JSON again, whatever the token holds. */
static void token_text_survives_its_chunk(void)
{
	static const char *const texts[] = { "plain ", "a\"b\\c", "\n\t\x01",
					     "\xc3\xa9 \xe2\x82\xac", "" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		cb_completion_text_t *text =
			cb_completion_text_new(CB_COMPLETION_CHAT, "id", "m",
					       1);
		GString *out = g_string_new(NULL);
		JsonParser *parser = json_parser_new_immutable();
		JsonObject *object;
		JsonArray *choices;

		cb_completion_text_token(text, out, texts[i]);
		object = cb_json_parse_object(parser,
					      out->str + strlen("data: "), -1,
					      NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(object);
		choices = json_object_get_array_member(object, "choices");
		object = json_array_get_object_element(choices, 0);
		object = json_object_get_object_member(object, "delta");
		CU_ASSERT_STRING_EQUAL(json_object_get_string_member(object,
								     "content"),
				       texts[i]);
		g_object_unref(parser);
		g_string_free(out, TRUE);
		cb_completion_text_delete(text);
	}
}

/* A registry on a paused clock. */
typedef struct registry_world {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_view_t *view;
	cb_server_registry_t *registry;
	int changes;
} registry_world_t;

static void changed_(const cb_server_t *server, void *user_data)
{
	(void)server;
	((registry_world_t *)user_data)->changes++;
}

static void registry_init_(registry_world_t *world)
{
	memset(world, 0, sizeof(*world));
	world->clock = cb_clock_new_paused(1000);
	world->counters = cb_counters_new();
	world->view = cb_view_new();
	world->registry =
		cb_server_registry_new(world->clock, NULL, world->counters,
				       world->view, 3000);
	cb_server_watch(world->registry, changed_, world);
}

static void registry_clear_(registry_world_t *world)
{
	cb_server_registry_delete(world->registry);
	cb_view_delete(world->view);
	cb_counters_delete(world->counters);
	cb_clock_delete(world->clock);
}

static cb_announce_outcome_t announce_(registry_world_t *world,
				       const char *state, int incarnation)
{
	char *text = g_strdup_printf(
		"{\"name\":\"a\",\"address\":\"127.0.0.1:1\","
		"\"data_centre\":\"d\",\"kind\":\"engine\","
		"\"incarnation\":%d,\"state\":\"%s\",\"models\":[{"
		"\"name\":\"m\",\"first_layer\":0,\"last_layer\":1,"
		"\"layers\":4}]}",
		incarnation, state);
	cb_announce_outcome_t outcome =
		cb_server_announce(world->registry, text, NULL);

	g_free(text);
	return outcome;
}

/* Each bad announcement gives an error that names the field. */
static void announcements_are_checked(void)
{
#define HEAD "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"d\""
#define REST ",\"incarnation\":1,\"state\":\"ready\"}"
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ "{}", "name: is required" },
		{ "{\"name\":\"a\",\"address\":\"x\"}",
		  "address: must be IP:PORT" },
		{ HEAD REST, "kind: is required" },
		{ HEAD ",\"kind\":\"x\"" REST, "kind: unknown word" },
		{ HEAD ",\"kind\":\"engine\"" REST, "models: is required" },
		{ HEAD ",\"kind\":\"service\"" REST, "services: is required" },
		{ HEAD ",\"kind\":\"service\",\"services\":[1]" REST,
		  "services: each is a string" },
		{ HEAD ",\"kind\":\"engine\",\"models\":[{\"name\":\"m\","
		       "\"first_layer\":2,\"last_layer\":1,\"layers\":4}]" REST,
		  "models: each needs first_layer <= last_layer < layers" },
		{ HEAD ",\"kind\":\"engine\",\"models\":[{\"name\":\"m\","
		       "\"first_layer\":0,\"last_layer\":4,\"layers\":4}]" REST,
		  "models: each needs first_layer <= last_layer < layers" },
		{ HEAD ",\"kind\":\"service\",\"services\":[\"s\"],"
		       "\"capacity\":0" REST,
		  "capacity: must be from 1 to 1000000" },
		{ HEAD ",\"kind\":\"service\",\"services\":[\"s\"],"
		       "\"load\":{\"running\":-1}" REST,
		  "running: must be from 0 to 2147483647" },
		{ HEAD
		  ",\"kind\":\"service\",\"services\":[\"s\"],\"new\":1" REST,
		  "" },
	};
	registry_world_t world;
	size_t i;

	registry_init_(&world);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		cb_server_announce(world.registry, cases[i].text, &error);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		g_clear_error(&error);
	}
	registry_clear_(&world);
}

/* States follow announcements, silence and failures. */
static void server_states_follow_reports(void)
{
	registry_world_t world;
	cb_server_t *server;

	registry_init_(&world);
	CU_ASSERT_EQUAL(announce_(&world, "ready", 2), CB_ANNOUNCE_ACCEPTED);
	server = cb_server_find(world.registry, "a");
	CU_ASSERT_TRUE(cb_server_accepts(world.registry, server));
	CU_ASSERT_EQUAL(cb_server_engines(world.registry, "m")->len, 1);
	CU_ASSERT_EQUAL(cb_server_engines(world.registry, "x")->len, 0);
	CU_ASSERT_EQUAL(announce_(&world, "ready", 1),
			CB_ANNOUNCE_OLD_INCARNATION);
	announce_(&world, "leaving", 2);
	CU_ASSERT_FALSE(cb_server_accepts(world.registry, server));
	announce_(&world, "ready", 3);
	CU_ASSERT_TRUE(cb_server_accepts(world.registry, server));
	CU_ASSERT_EQUAL(world.changes, 3);
	cb_clock_advance(world.clock, 4000);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_SILENT);
	CU_ASSERT_FALSE(cb_server_accepts(world.registry, server));
	announce_(&world, "ready", 3);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_READY);
	cb_server_failed(world.registry, server);
	CU_ASSERT_TRUE(cb_server_accepts(world.registry, server));
	cb_server_failed(world.registry, server);
	CU_ASSERT_FALSE(cb_server_accepts(world.registry, server));
	cb_clock_advance(world.clock, 1000);
	CU_ASSERT_TRUE(cb_server_accepts(world.registry, server));
	cb_server_begin(server);
	CU_ASSERT_FALSE(cb_server_accepts(world.registry, server));
	cb_server_end(server);
	cb_server_succeeded(world.registry, server, 100);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_READY);
	registry_clear_(&world);
}

static cb_instance_t *instance_new_(int number, cb_instance_state_t state)
{
	cb_instance_t *instance = g_new0(cb_instance_t, 1);

	instance->name = g_strdup_printf("entry%d", number);
	instance->data_centre = g_strdup_printf("dc%d", number % 3);
	instance->state = state;
	return instance;
}

static void instance_delete_(void *data)
{
	cb_instance_t *instance = data;

	g_free(instance->name);
	g_free(instance->data_centre);
	g_free(instance);
}

#define INSTANCES 18
#define WORKSPACES 300

/*
 * Each workspace gets live instances of all data centres; one that goes
 * changes the answers that named it and no others.
 */
static void addresses_are_spread(void)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(instance_delete_);
	int named[INSTANCES] = { 0 };
	cb_instance_t *gone;
	int i;
	unsigned int j;

	for (i = 0; i < INSTANCES; i++)
		g_ptr_array_add(all,
				instance_new_(i, i == 0 ? CB_INSTANCE_LEAVING :
							  CB_INSTANCE_READY));
	gone = g_ptr_array_index(all, 7);
	for (i = 0; i < WORKSPACES; i++) {
		char *key = g_strdup_printf("workspace%d", i);
		GPtrArray *before = cb_rendezvous_pick(all, key, 4);
		GPtrArray *after;
		gboolean was_named = g_ptr_array_find(before, gone, NULL);

		CU_ASSERT_EQUAL_FATAL(before->len, 4);
		for (j = 0; j < before->len; j++) {
			cb_instance_t *instance = g_ptr_array_index(before, j);
			unsigned int index;

			g_ptr_array_find(all, instance, &index);
			named[index] += j == 0;
		}
		for (j = 1; j < 3; j++)
			CU_ASSERT_STRING_NOT_EQUAL(
				((cb_instance_t *)g_ptr_array_index(before, j))
					->data_centre,
				((cb_instance_t *)g_ptr_array_index(before, 0))
					->data_centre);
		gone->state = CB_INSTANCE_SILENT;
		after = cb_rendezvous_pick(all, key, 4);
		gone->state = CB_INSTANCE_READY;
		CU_ASSERT_FALSE(g_ptr_array_find(after, gone, NULL));
		for (j = 0; j < 4 && !was_named; j++)
			CU_ASSERT_PTR_EQUAL(g_ptr_array_index(before, j),
					    g_ptr_array_index(after, j));
		g_ptr_array_unref(before);
		g_ptr_array_unref(after);
		g_free(key);
	}
	CU_ASSERT_EQUAL(named[0], 0);
	for (i = 1; i < INSTANCES; i++)
		CU_ASSERT_TRUE(named[i] > 0 &&
			       named[i] < 4 * WORKSPACES / INSTANCES);
	g_ptr_array_unref(all);
}

static CU_TestInfo entry_fields_tests[] = {
	{ "completion_fields_are_checked", completion_fields_are_checked },
	{ "deep_nesting_is_refused", deep_nesting_is_refused },
	{ "token_text_survives_its_chunk", token_text_survives_its_chunk },
	{ "announcements_are_checked", announcements_are_checked },
	{ "server_states_follow_reports", server_states_follow_reports },
	{ "addresses_are_spread", addresses_are_spread },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "entry_fields",
				    .pTests = entry_fields_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
