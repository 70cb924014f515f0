#include "support_main.h"

#include <string.h>

#include "currantbridge/admission.h"
#include "currantbridge/server.h"
#include "currantbridge/state.h"
#include "private/completion_request.h"
#include "private/completion_text.h"
#include "currantbridge/json_fields.h"
#include "private/rendezvous.h"

/* The error for an invalid body must name the field and the reason. */
static void invalid_completion_fields_are_rejected(void)
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
		{ CB_COMPLETION_TEXT, "{\"model\":\"m\" \"prompt\":\"p\"}",
		  "the body is not valid JSON", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"prompt\":\"q\"}",
		  "the body is not valid JSON", NULL },
		{ CB_COMPLETION_TEXT,
		  "{\"model\":\"m\",\"prompt\":\"p\\u0000q\"}",
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

/* A body that would exhaust the parser's stack must not reach the parser. */
static void deeply_nested_json_is_rejected(void)
{
	static const struct {
		size_t depth;
		gboolean in_string;
		gboolean is_accepted;
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
				cases[i].is_accepted);
		g_string_free(text, TRUE);
		g_object_unref(parser);
	}
}

/* The event of a token must be valid JSON, whatever characters it contains. */
static void token_text_is_escaped_in_chunk(void)
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

		cb_completion_text_append_token(text, out, texts[i]);
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

/* A server registry on a clock that the test advances. */
typedef struct registry_fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_view_t *view;
	cb_server_registry_t *registry;
	int change_count;
} registry_fixture_t;

static void server_changed_(const cb_server_t *server, void *user_data)
{
	(void)server;
	((registry_fixture_t *)user_data)->change_count++;
}

static void registry_fixture_init_(registry_fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = cb_clock_new_paused(1000);
	fixture->counters = cb_counters_new();
	fixture->view = cb_view_new();
	fixture->registry =
		cb_server_registry_new(fixture->clock, NULL, fixture->counters,
				       fixture->view, 3000);
	cb_server_watch(fixture->registry, server_changed_, fixture);
}

static void registry_fixture_clear_(registry_fixture_t *fixture)
{
	cb_server_registry_delete(fixture->registry);
	cb_view_delete(fixture->view);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
}

static cb_announce_outcome_t server_announce_(registry_fixture_t *fixture,
					      const char *state,
					      int incarnation)
{
	char *text = g_strdup_printf(
		"{\"name\":\"a\",\"address\":\"127.0.0.1:1\","
		"\"data_centre\":\"d\",\"kind\":\"engine\","
		"\"incarnation\":%d,\"state\":\"%s\",\"models\":[{"
		"\"name\":\"m\",\"first_layer\":0,\"last_layer\":1,"
		"\"layers\":4}]}",
		incarnation, state);
	cb_announce_outcome_t outcome =
		cb_server_announce(fixture->registry, text, NULL);

	g_free(text);
	return outcome;
}

/* The error for an invalid announcement must name the field. */
static void invalid_announcements_are_rejected(void)
{
#define HEAD "{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"d\""
#define TAIL ",\"incarnation\":1,\"state\":\"ready\"}"
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ "{}", "name: is required" },
		{ "{\"name\":\"a\",\"address\":\"x\"}",
		  "address: must be IP:PORT" },
		{ HEAD TAIL, "kind: is required" },
		{ HEAD ",\"kind\":\"x\"" TAIL, "kind: unknown word" },
		{ HEAD ",\"kind\":\"engine\"" TAIL, "models: is required" },
		{ HEAD ",\"kind\":\"service\"" TAIL, "services: is required" },
		{ HEAD ",\"kind\":\"service\",\"services\":[1]" TAIL,
		  "services: each is a string" },
		{ HEAD ",\"kind\":\"engine\",\"models\":[{\"name\":\"m\","
		       "\"first_layer\":2,\"last_layer\":1,\"layers\":4}]" TAIL,
		  "models: each needs first_layer <= last_layer < layers" },
		{ HEAD ",\"kind\":\"engine\",\"models\":[{\"name\":\"m\","
		       "\"first_layer\":0,\"last_layer\":4,\"layers\":4}]" TAIL,
		  "models: each needs first_layer <= last_layer < layers" },
		{ HEAD ",\"kind\":\"service\",\"services\":[\"s\"],"
		       "\"capacity\":0" TAIL,
		  "capacity: must be from 1 to 1000000" },
		{ HEAD ",\"kind\":\"service\",\"services\":[\"s\"],"
		       "\"load\":{\"running\":-1}" TAIL,
		  "running: must be from 0 to 2147483647" },
		{ HEAD
		  ",\"kind\":\"service\",\"services\":[\"s\"],\"new\":1" TAIL,
		  "" },
	};
	registry_fixture_t fixture;
	size_t i;

	registry_fixture_init_(&fixture);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		cb_server_announce(fixture.registry, cases[i].text, &error);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		g_clear_error(&error);
	}
	registry_fixture_clear_(&fixture);
}

/*
 * Leaving, silence and repeated failures must stop requests to a server, a
 * new announcement or time must resume them, and an announcement of an old
 * incarnation must be ignored.
 */
static void server_state_follows_announcements_and_failures(void)
{
	registry_fixture_t fixture;
	cb_server_t *server;

	registry_fixture_init_(&fixture);
	CU_ASSERT_EQUAL(server_announce_(&fixture, "ready", 2),
			CB_ANNOUNCE_ACCEPTED);
	server = cb_server_find(fixture.registry, "a");
	CU_ASSERT_TRUE(cb_server_accepts(fixture.registry, server));
	CU_ASSERT_EQUAL(cb_server_engines(fixture.registry, "m")->len, 1);
	CU_ASSERT_EQUAL(cb_server_engines(fixture.registry, "x")->len, 0);
	CU_ASSERT_EQUAL(server_announce_(&fixture, "ready", 1),
			CB_ANNOUNCE_OLD_INCARNATION);
	server_announce_(&fixture, "leaving", 2);
	CU_ASSERT_FALSE(cb_server_accepts(fixture.registry, server));
	server_announce_(&fixture, "ready", 3);
	CU_ASSERT_TRUE(cb_server_accepts(fixture.registry, server));
	CU_ASSERT_EQUAL(fixture.change_count, 3);
	cb_clock_advance(fixture.clock, 4000);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_SILENT);
	CU_ASSERT_FALSE(cb_server_accepts(fixture.registry, server));
	server_announce_(&fixture, "ready", 3);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_READY);
	cb_server_record_failure(fixture.registry, server);
	CU_ASSERT_TRUE(cb_server_accepts(fixture.registry, server));
	cb_server_record_failure(fixture.registry, server);
	CU_ASSERT_FALSE(cb_server_accepts(fixture.registry, server));
	cb_clock_advance(fixture.clock, 1000);
	CU_ASSERT_TRUE(cb_server_accepts(fixture.registry, server));
	cb_server_begin_attempt(server);
	CU_ASSERT_FALSE(cb_server_accepts(fixture.registry, server));
	cb_server_end_attempt(server);
	cb_server_record_success(fixture.registry, server, 100);
	CU_ASSERT_EQUAL(server->state, CB_SERVER_READY);
	registry_fixture_clear_(&fixture);
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

#define INSTANCE_COUNT 18
#define WORKSPACE_COUNT 300

/*
 * Each workspace must get ready instances of all data centres.  A failed
 * instance must change only the answers that contained it.
 */
static void addresses_are_spread_over_data_centres(void)
{
	GPtrArray *instances = g_ptr_array_new_with_free_func(instance_delete_);
	int first_choices[INSTANCE_COUNT] = { 0 };
	cb_instance_t *failed;
	int i;
	unsigned int j;

	for (i = 0; i < INSTANCE_COUNT; i++)
		g_ptr_array_add(instances,
				instance_new_(i, i == 0 ? CB_INSTANCE_LEAVING :
							  CB_INSTANCE_READY));
	failed = g_ptr_array_index(instances, 7);
	for (i = 0; i < WORKSPACE_COUNT; i++) {
		char *key = g_strdup_printf("workspace%d", i);
		GPtrArray *before = cb_rendezvous_pick(instances, key, 4);
		GPtrArray *after;
		gboolean was_picked = g_ptr_array_find(before, failed, NULL);

		CU_ASSERT_EQUAL_FATAL(before->len, 4);
		for (j = 0; j < before->len; j++) {
			cb_instance_t *instance = g_ptr_array_index(before, j);
			unsigned int index;

			g_ptr_array_find(instances, instance, &index);
			first_choices[index] += j == 0;
		}
		for (j = 1; j < 3; j++)
			CU_ASSERT_STRING_NOT_EQUAL(
				((cb_instance_t *)g_ptr_array_index(before, j))
					->data_centre,
				((cb_instance_t *)g_ptr_array_index(before, 0))
					->data_centre);
		failed->state = CB_INSTANCE_SILENT;
		after = cb_rendezvous_pick(instances, key, 4);
		failed->state = CB_INSTANCE_READY;
		CU_ASSERT_FALSE(g_ptr_array_find(after, failed, NULL));
		for (j = 0; j < 4 && !was_picked; j++)
			CU_ASSERT_PTR_EQUAL(g_ptr_array_index(before, j),
					    g_ptr_array_index(after, j));
		g_ptr_array_unref(before);
		g_ptr_array_unref(after);
		g_free(key);
	}
	CU_ASSERT_EQUAL(first_choices[0], 0);
	for (i = 1; i < INSTANCE_COUNT; i++)
		CU_ASSERT_TRUE(first_choices[i] > 0 &&
			       first_choices[i] <
				       4 * WORKSPACE_COUNT / INSTANCE_COUNT);
	g_ptr_array_unref(instances);
}

static CU_TestInfo entry_fields_tests[] = {
	{ "invalid_completion_fields_are_rejected",
	  invalid_completion_fields_are_rejected },
	{ "deeply_nested_json_is_rejected", deeply_nested_json_is_rejected },
	{ "token_text_is_escaped_in_chunk", token_text_is_escaped_in_chunk },
	{ "invalid_announcements_are_rejected",
	  invalid_announcements_are_rejected },
	{ "server_state_follows_announcements_and_failures",
	  server_state_follows_announcements_and_failures },
	{ "addresses_are_spread_over_data_centres",
	  addresses_are_spread_over_data_centres },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "entry_fields",
				    .pTests = entry_fields_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
