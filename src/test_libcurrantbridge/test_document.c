#include "support_main.h"

#include <string.h>

#include "currantbridge/document.h"
#include "support_world.h"

#define START_TIMEOUT_MS 10000
#define IN_FORCE_TIMEOUT_MS 2000

static cb_route_t *route_make_(const char *name, const char *host,
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

static cb_document_t *document_make_(void)
{
	cb_document_t *document = cb_document_new();

	cb_document_add_service(document, cb_service_profile_new("s"));
	cb_document_add_route(document,
			      route_make_("a", "H.example", "/", "s"));
	cb_document_add_route(document,
			      route_make_("b", "h.example", "/x/", "s"));
	cb_document_add_route(document,
			      route_make_("c", "h.example", "/x/y/", "s"));
	return document;
}

/* Routing ignores case and port of the host and the query of the target. */
static void longest_prefix_of_host_is_routed(void)
{
	static const struct {
		const char *host;
		const char *target;
		/* name of the expected route; NULL: no route */
		const char *route;
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
	cb_document_t *document = document_make_();
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

static void route_set_unknown_service_(cb_route_t *route)
{
	g_free(g_array_index(route->splits, cb_route_split_t, 0).service);
	g_array_index(route->splits, cb_route_split_t, 0).service =
		g_strdup("t");
}

static void route_clear_weight_(cb_route_t *route)
{
	g_array_index(route->splits, cb_route_split_t, 0).weight = 0;
}

static void route_clear_timeout_(cb_route_t *route)
{
	route->timeout_ms = 0;
}

static void route_clear_attempts_(cb_route_t *route)
{
	route->max_attempts = 0;
}

static void route_set_duplicate_prefix_(cb_route_t *route)
{
	g_free(route->prefix);
	route->prefix = g_strdup("/x/");
}

static void route_set_prefix_without_final_slash_(cb_route_t *route)
{
	g_free(route->prefix);
	route->prefix = g_strdup("/x");
}

/* Each case makes one valid route invalid; the error must say how. */
static void invalid_route_is_rejected_with_reason(void)
{
	static const struct {
		void (*make_invalid)(cb_route_t *route);
		const char *message;
	} cases[] = {
		{ route_set_unknown_service_,
		  "route: new: names an unknown service" },
		{ route_clear_weight_, "route: new: has no weight" },
		{ route_clear_timeout_,
		  "route: new: its time limit must be over 0" },
		{ route_clear_attempts_,
		  "route: new: must allow at least one attempt" },
		{ route_set_duplicate_prefix_,
		  "has the host and prefix of another" },
		{ route_set_prefix_without_final_slash_,
		  "must begin and end with a slash" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_document_t *document = document_make_();
		cb_route_t *route =
			route_make_("new", "h.example", "/new/", "s");
		GError *error = NULL;

		cases[i].make_invalid(route);
		cb_document_add_route(document, route);
		CU_ASSERT_FALSE(cb_document_finish(document, &error));
		CU_ASSERT_PTR_NOT_NULL(
			strstr(error->message, cases[i].message));
		g_clear_error(&error);
		cb_document_unref(document);
	}
}

static void key_of_two_workspaces_is_rejected(void)
{
	cb_document_t *document = document_make_();
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

/* Services are picked in proportion to their weights, never one of weight 0. */
static void services_are_picked_by_weight(void)
{
	static const uint32_t weights[] = { 90, 0, 10 };
	static const char *const names[] = { "a", "b", "c" };
	cb_route_t *route = cb_route_new();
	unsigned int counts[3] = { 0 };
	uint32_t random;
	size_t i;

	for (i = 0; i < 3; i++) {
		cb_route_split_t split = { g_strdup(names[i]), weights[i] };

		g_array_append_val(route->splits, split);
	}
	for (i = 0; i < 1000; i++) {
		random = (uint32_t)((uint64_t)i * G_MAXUINT32 / 999);
		counts[cb_route_pick(route, random)[0] - 'a']++;
	}
	CU_ASSERT_TRUE(counts[0] >= 898 && counts[0] <= 902);
	CU_ASSERT_EQUAL(counts[1], 0);
	CU_ASSERT_EQUAL(counts[0] + counts[2], 1000);
	cb_route_unref(route);
}

/*
 * A text is compressed to less than a quarter and restored unchanged, and
 * truncated data is rejected.
 */
static void packed_text_is_restored_unchanged(void)
{
	GString *text = g_string_new(NULL);
	GBytes *packed;
	GBytes *truncated;
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
	truncated =
		g_bytes_new_from_bytes(packed, 0, g_bytes_get_size(packed) - 9);
	CU_ASSERT_PTR_NULL(cb_document_unpack(truncated, &size));
	g_bytes_unref(truncated);
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

static put_result_t document_put_(world_t *world, size_t node, int64_t version,
				  const char *text)
{
	put_result_t result = { 0 };
	int64_t waited_ms;

	cb_node_put_document(world->nodes[node].node, version, text,
			     strlen(text), put_done_, &result);
	for (waited_ms = 0; !result.calls && waited_ms < START_TIMEOUT_MS;
	     waited_ms++)
		cb_clock_advance(world->clock, 1);
	return result;
}

static gboolean view_has_document_(const cb_view_t *view, const char *text)
{
	const cb_document_text_t *document = cb_view_document(view);
	gboolean is_equal = FALSE;
	char *unpacked;
	size_t size;

	if (!document)
		return FALSE;
	unpacked = cb_document_unpack(document->packed, &size);
	is_equal = unpacked && size == strlen(text) && !strcmp(unpacked, text);
	g_free(unpacked);
	return is_equal;
}

/*
 * The highest version is in force on every client.  Any node acknowledges a
 * lower or equal version, which changes nothing.
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
	size_t client;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_TIMEOUT_MS));
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		put_result_t result =
			document_put_(world, steps[i].node, steps[i].version,
				      steps[i].text);

		CU_ASSERT_EQUAL(result.outcome, CB_SUBMIT_ANSWERED);
		CU_ASSERT_EQUAL(result.kind, CB_ANSWER_OK);
		CU_ASSERT_TRUE(world_run_until(world, world_is_converged,
					       IN_FORCE_TIMEOUT_MS));
		for (client = 0; client < world->client_count; client++)
			CU_ASSERT_TRUE(
				view_has_document_(world->clients[client].view,
						   steps[i].in_force));
	}
	world_delete(world);
}

/* After a restart of every process, clients get the complete document again. */
static void document_survives_restart_of_all_processes(void)
{
	char *text = g_strnfill(1024 * 1024, 'd');
	world_t *world = world_new(3, 2, 12);
	size_t i;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_TIMEOUT_MS));
	CU_ASSERT_EQUAL(document_put_(world, 1, 5, text).outcome,
			CB_SUBMIT_ANSWERED);
	for (i = 0; i < world->client_count; i++)
		world_client_stop(world, i);
	for (i = 0; i < world->node_count; i++)
		world_node_stop(world, i);
	for (i = 0; i < world->node_count; i++)
		world_node_start(world, i);
	for (i = 0; i < world->client_count; i++)
		world_client_start(world, i);
	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_TIMEOUT_MS));
	for (i = 0; i < world->client_count; i++)
		CU_ASSERT_TRUE(
			view_has_document_(world->clients[i].view, text));
	world_delete(world);
	g_free(text);
}

/*
 * A workspace's priority goes before its routes'; one without a priority comes
 * last, and so do requests without a workspace.
 */
static void ranks_follow_workspace_then_route(void)
{
	static const struct {
		const char *workspace;
		unsigned int route; /* index; priorities 2, 0, 1 */
		uint32_t rank;
	} cases[] = {
		{ "urgent", 1, 0 },  { "urgent", 2, 1 }, { "urgent", 0, 2 },
		{ "usual", 1, 3 },   { "usual", 0, 5 },	 { "other", 1, 6 },
		{ "unknown", 2, 7 }, { NULL, 0, 8 },
	};
	static const uint32_t route_priorities[] = { 2, 0, 1 };
	cb_document_t *document = document_make_();
	GError *error = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(route_priorities); i++)
		((cb_route_t *)document->routes->pdata[i])->priority =
			route_priorities[i];
	cb_document_set_priority(document, "usual", 4);
	cb_document_set_priority(document, "urgent", 1);
	CU_ASSERT_TRUE(cb_document_add_key(document, "other", "k", &error));
	CU_ASSERT_TRUE(cb_document_finish(document, &error));
	CU_ASSERT_TRUE(cb_document_has_ranks(document));
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(cb_document_rank(
					document,
					document->routes->pdata[cases[i].route],
					cases[i].workspace),
				cases[i].rank);
	cb_document_unref(document);
}

/* With one priority for all, there is nothing to tell the engines. */
static void equal_priorities_are_no_ranks(void)
{
	cb_document_t *document = document_make_();
	GError *error = NULL;

	cb_document_set_priority(document, "w", 1);
	CU_ASSERT_TRUE(cb_document_finish(document, &error));
	CU_ASSERT_FALSE(cb_document_has_ranks(document));
	CU_ASSERT_EQUAL(cb_document_rank(document, document->routes->pdata[0],
					 "w"),
			0);
	/* One workspace without a priority comes after the other. */
	CU_ASSERT_TRUE(cb_document_add_key(document, "other", "k", &error));
	CU_ASSERT_TRUE(cb_document_has_ranks(document));
	cb_document_unref(document);
}

static CU_TestInfo document_tests[] = {
	{ "ranks_follow_workspace_then_route",
	  ranks_follow_workspace_then_route },
	{ "equal_priorities_are_no_ranks", equal_priorities_are_no_ranks },
	{ "longest_prefix_of_host_is_routed",
	  longest_prefix_of_host_is_routed },
	{ "invalid_route_is_rejected_with_reason",
	  invalid_route_is_rejected_with_reason },
	{ "key_of_two_workspaces_is_rejected",
	  key_of_two_workspaces_is_rejected },
	{ "services_are_picked_by_weight", services_are_picked_by_weight },
	{ "packed_text_is_restored_unchanged",
	  packed_text_is_restored_unchanged },
	{ "highest_version_is_in_force", highest_version_is_in_force },
	{ "document_survives_restart_of_all_processes",
	  document_survives_restart_of_all_processes },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "document",
				    .pTests = document_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
