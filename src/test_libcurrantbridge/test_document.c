#include "support_main.h"

#include <string.h>

#include "currantbridge/document.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
#define IN_FORCE_LIMIT_MS 2000

static cb_route_t *route_new_(const char *name, const char *host,
			      const char *prefix, const char *service)
{
	cb_route_t *route = cb_route_new();
	cb_route_split_t split = { g_strdup(service), 1 };

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->timeout_ms = 1000;
	route->max_attempts = 1;
	g_array_append_val(route->splits, split);
	return route;
}

static cb_document_t *document_new_(void)
{
	cb_document_t *document = cb_document_new();

	cb_document_add_service(document, cb_service_profile_new("s"));
	cb_document_add_route(document, route_new_("a", "H.example", "/", "s"));
	cb_document_add_route(document,
			      route_new_("b", "h.example", "/x/", "s"));
	cb_document_add_route(document,
			      route_new_("c", "h.example", "/x/y/", "s"));
	return document;
}

static void longest_prefix_of_the_host_wins(void)
{
	static const struct {
		const char *host;
		const char *target;
		const char *route; /* NULL: none */
	} cases[] = {
		{ "h.example", "/", "a" },
		{ "H.EXAMPLE:80", "/z", "a" },
		{ "h.example", "/x", "a" },
		{ "h.example", "/x/", "b" },
		{ "h.example", "/x/yy/", "b" },
		{ "h.example", "/x/y/z?q=1", "c" },
		{ "h.example", "/?p=/x/y/", "a" },
		{ "other.example", "/", NULL },
	};
	cb_document_t *document = document_new_();
	size_t i;

	CU_ASSERT_TRUE(cb_document_finish(document, NULL));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const cb_route_t *route =
			cb_document_route(document, cases[i].host,
					  cases[i].target);

		CU_ASSERT_EQUAL(g_strcmp0(route ? route->name : NULL,
					  cases[i].route),
				0);
	}
	cb_document_unref(document);
}

static void unknown_service_(cb_route_t *route)
{
	g_free(g_array_index(route->splits, cb_route_split_t, 0).service);
	g_array_index(route->splits, cb_route_split_t, 0).service =
		g_strdup("t");
}

static void no_weight_(cb_route_t *route)
{
	g_array_index(route->splits, cb_route_split_t, 0).weight = 0;
}

static void no_timeout_(cb_route_t *route)
{
	route->timeout_ms = 0;
}

static void no_attempt_(cb_route_t *route)
{
	route->max_attempts = 0;
}

static void same_place_(cb_route_t *route)
{
	g_free(route->prefix);
	route->prefix = g_strdup("/x/");
}

static void open_prefix_(cb_route_t *route)
{
	g_free(route->prefix);
	route->prefix = g_strdup("/x");
}

static void contradictions_are_named(void)
{
	static const struct {
		void (*spoil)(cb_route_t *route);
		const char *message;
	} cases[] = {
		{ unknown_service_, "route: new: names an unknown service" },
		{ no_weight_, "route: new: has no weight" },
		{ no_timeout_, "route: new: its time limit must be over 0" },
		{ no_attempt_, "route: new: must allow an attempt" },
		{ same_place_, "has the host and prefix of another" },
		{ open_prefix_, "must begin and end with a slash" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_document_t *document = document_new_();
		cb_route_t *route =
			route_new_("new", "h.example", "/new/", "s");
		GError *error = NULL;

		cases[i].spoil(route);
		cb_document_add_route(document, route);
		CU_ASSERT_FALSE(cb_document_finish(document, &error));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(error->message, cases[i].message));
		g_clear_error(&error);
		cb_document_unref(document);
	}
}

static void key_of_two_workspaces_is_refused(void)
{
	cb_document_t *document = document_new_();
	GError *error = NULL;

	CU_ASSERT_TRUE(cb_document_add_key(document, "w", "k", NULL));
	CU_ASSERT_TRUE(cb_document_add_key(document, "w", "k", NULL));
	CU_ASSERT_FALSE(cb_document_add_key(document, "v", "k", &error));
	CU_ASSERT_STRING_EQUAL(
		error->message,
		"workspace: v: holds a key of another workspace");
	CU_ASSERT_STRING_EQUAL(cb_document_workspace(document, "k"), "w");
	CU_ASSERT_PTR_NULL(cb_document_workspace(document, "l"));
	g_clear_error(&error);
	cb_document_unref(document);
}

/* Each service gets its share of the draws, and one of weight 0 none. */
static void splits_follow_their_weights(void)
{
	static const uint32_t weights[] = { 90, 0, 10 };
	static const char *const names[] = { "a", "b", "c" };
	cb_route_t *route = cb_route_new();
	unsigned int counts[3] = { 0 };
	uint32_t draw;
	size_t i;

	for (i = 0; i < 3; i++) {
		cb_route_split_t split = { g_strdup(names[i]), weights[i] };

		g_array_append_val(route->splits, split);
	}
	for (i = 0; i < 1000; i++) {
		draw = (uint32_t)((uint64_t)i * G_MAXUINT32 / 999);
		counts[cb_route_pick(route, draw)[0] - 'a']++;
	}
	CU_ASSERT_TRUE(counts[0] >= 898 && counts[0] <= 902);
	CU_ASSERT_EQUAL(counts[1], 0);
	CU_ASSERT_EQUAL(counts[0] + counts[2], 1000);
	cb_route_delete(route);
}

/* A text comes back as it was, much smaller on the way; damage is noticed. */
static void texts_are_packed(void)
{
	GString *text = g_string_new(NULL);
	GBytes *packed;
	GBytes *cut;
	char *unpacked;
	size_t size;
	int i;

	for (i = 0; i < 1600; i++)
		g_string_append_printf(
			text, "{\"name\":\"r-%x\",\"host\":\"h%d.example\"},",
			i * 7919, i % 9);
	packed = cb_document_pack(text->str, text->len);
	CU_ASSERT_TRUE(g_bytes_get_size(packed) * 4 < text->len);
	unpacked = cb_document_unpack(packed, &size);
	CU_ASSERT_EQUAL(size, text->len);
	CU_ASSERT_STRING_EQUAL(unpacked, text->str);
	cut = g_bytes_new_from_bytes(packed, 0, g_bytes_get_size(packed) - 9);
	CU_ASSERT_PTR_NULL(cb_document_unpack(cut, &size));
	g_bytes_unref(cut);
	g_bytes_unref(packed);
	g_free(unpacked);
	g_string_free(text, TRUE);
}

typedef struct put_result {
	int calls;
	cb_submit_outcome_t outcome;
	cb_answer_kind_t kind;
} put_result_t;

static void put_done_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		      void *user_data)
{
	put_result_t *result = user_data;

	result->calls++;
	result->outcome = outcome;
	if (answer)
		result->kind = answer->kind;
}

static put_result_t put_(world_t *world, size_t node, int64_t version,
			 const char *text)
{
	put_result_t result = { 0 };
	int64_t waited_ms;

	cb_node_put_document(world->nodes[node].node, version, text,
			     strlen(text), put_done_, &result);
	for (waited_ms = 0; !result.calls && waited_ms < START_LIMIT_MS;
	     waited_ms++)
		cb_clock_advance(world->clock, 1);
	return result;
}

static gboolean has_text_(const cb_view_t *view, const char *text)
{
	const cb_document_text_t *document = cb_view_document(view);
	gboolean has = FALSE;
	char *unpacked;
	size_t size;

	if (!document)
		return FALSE;
	unpacked = cb_document_unpack(document->packed, &size);
	has = unpacked && size == strlen(text) && !strcmp(unpacked, text);
	g_free(unpacked);
	return has;
}

/*
 * The highest version is in force everywhere; lower and equal ones are
 * acknowledged, at any node, and change nothing.
 */
static void highest_version_is_in_force(void)
{
	static const struct {
		size_t node;
		int64_t version;
		const char *text;
		const char *in_force;
	} steps[] = {
		{ 0, 7, "seven", "seven" },  { 1, 7, "seven", "seven" },
		{ 2, 7, "other", "seven" },  { 1, 3, "three", "seven" },
		{ 0, 40, "forty", "forty" }, { 2, 41, "next", "next" },
		{ 1, 40, "forty", "next" },
	};
	world_t *world = world_new(3, 4, 11);
	size_t i;
	size_t k;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		put_result_t result = put_(world, steps[i].node,
					   steps[i].version, steps[i].text);

		CU_ASSERT_EQUAL(result.outcome, CB_SUBMIT_ANSWERED);
		CU_ASSERT_EQUAL(result.kind, CB_ANSWER_OK);
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       IN_FORCE_LIMIT_MS));
		for (k = 0; k < world->client_count; k++)
			CU_ASSERT_TRUE(has_text_(world->clients[k].view,
						 steps[i].in_force));
	}
	world_delete(world);
}

/* A document outlives the loss of every process, and comes back whole. */
static void document_survives_a_restart_of_all(void)
{
	char *text = g_strnfill(1024 * 1024, 'd');
	world_t *world = world_new(3, 2, 12);
	size_t i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	CU_ASSERT_EQUAL(put_(world, 1, 5, text).outcome, CB_SUBMIT_ANSWERED);
	for (i = 0; i < world->client_count; i++)
		world_client_stop(world, i);
	for (i = 0; i < world->node_count; i++)
		world_node_stop(world, i);
	for (i = 0; i < world->node_count; i++)
		world_node_start(world, i);
	for (i = 0; i < world->client_count; i++)
		world_client_start(world, i);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_TRUE(has_text_(world->clients[i].view, text));
	world_delete(world);
	g_free(text);
}

static CU_TestInfo document_tests[] = {
	{ "longest_prefix_of_the_host_wins", longest_prefix_of_the_host_wins },
	{ "contradictions_are_named", contradictions_are_named },
	{ "key_of_two_workspaces_is_refused",
	  key_of_two_workspaces_is_refused },
	{ "splits_follow_their_weights", splits_follow_their_weights },
	{ "texts_are_packed", texts_are_packed },
	{ "highest_version_is_in_force", highest_version_is_in_force },
	{ "document_survives_a_restart_of_all",
	  document_survives_a_restart_of_all },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "document",
				    .pTests = document_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
