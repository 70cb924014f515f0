#include "support_main.h"

#include <string.h>

#include "currantbridge/document_check.h"

static cb_route_t *route_make_(const char *name, const char *prefix,
			       const char *service)
{
	cb_route_t *route = cb_route_new();
	cb_route_split_t split = { g_strdup(service), 1 };

	route->name = g_strdup(name);
	route->host = g_strdup("h.example");
	route->prefix = g_strdup(prefix);
	route->timeout_ms = 1000;
	route->max_attempts = 1;
	g_array_append_val(route->splits, split);
	return route;
}

static void kind_add_(cb_engine_profile_t *engine, const char *name,
		      double memory_mb)
{
	cb_engine_kind_t *kind = g_new0(cb_engine_kind_t, 1);

	kind->name = g_strdup(name);
	kind->memory_mb = memory_mb;
	g_ptr_array_add(engine->kinds, kind);
}

static cb_engine_profile_t *engine_make_(void)
{
	cb_engine_profile_t *engine = cb_engine_profile_new();

	engine->layers = 4;
	engine->layer_mb = 100;
	engine->slots = 1;
	engine->loads_at_once = 1;
	kind_add_(engine, "small", 250);
	return engine;
}

/*
 * Returns a document without findings, not finished: the routes `keyed` and
 * `open`, the services `plain` and `engines`, the workspace `w`.
 */
static cb_document_t *document_make_(void)
{
	cb_document_t *document = cb_document_new();
	cb_service_profile_t *service = cb_service_profile_new("engines");
	cb_route_t *route = route_make_("open", "/open/", "engines");

	document->version = 5;
	service->engine = engine_make_();
	cb_document_add_service(document, service);
	cb_document_add_service(document, cb_service_profile_new("plain"));
	cb_document_add_route(document, route_make_("keyed", "/", "plain"));
	route->is_public = TRUE;
	cb_document_add_route(document, route);
	cb_document_add_key(document, "w", "secret-1", NULL);
	cb_document_set_priority(document, "w", 1);
	document->limits =
		(cb_document_limits_t){ 16384, 1 << 20, 3000, 15000 };
	return document;
}

static cb_route_t *keyed_(cb_document_t *document)
{
	return document->routes->pdata[0];
}

static cb_engine_profile_t *engine_(cb_document_t *document)
{
	return cb_document_service(document, "engines")->engine;
}

/* Adds a service to the splits of the first route. */
static void split_add_(cb_document_t *document, const char *service,
		       uint32_t weight)
{
	cb_route_split_t split = { g_strdup(service), weight };

	g_array_append_val(keyed_(document)->splits, split);
}

static void text_set_(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static void runs_set_(cb_route_t *route, cb_route_kind_t kind,
		      uint32_t max_attempts)
{
	route->kind = kind;
	route->max_attempts = max_attempts;
}

/* Each way of these functions spoils a document in one way. */
static void route_spoil_(cb_document_t *document, int way)
{
	cb_route_t *route = keyed_(document);

	if (way == 0)
		text_set_(&route->host, "h.example:8080");
	else if (way == 1)
		text_set_(&route->host, "h.example/x");
	else if (way == 2)
		text_set_(&route->prefix, "/a?b/");
	else if (way == 3)
		split_add_(document, "engines", 0);
	else if (way == 4)
		route->target_latency_ms = 1001;
	else if (way == 5)
		route->target_gap_ms = 1001;
	else if (way == 6)
		runs_set_(route, CB_ROUTE_ONCE, 2);
	else if (way == 7)
		runs_set_(route, CB_ROUTE_STREAM, 3);
	else if (way == 8)
		text_set_(&((cb_route_t *)document->routes->pdata[1])->name,
			  "keyed");
}

static void engine_spoil_(cb_document_t *document, int way)
{
	cb_engine_profile_t *engine = engine_(document);

	if (way == 0)
		cb_document_add_service(document,
					cb_service_profile_new("lost"));
	else if (way == 1)
		kind_add_(engine, "tiny", 99);
	else if (way == 2)
		g_ptr_array_set_size(engine->kinds, 0);
	else if (way == 3)
		engine->layer_mb = 0;
	else if (way == 4)
		engine->slots = 0;
	else if (way == 5)
		engine->loads_at_once = 0;
	else if (way == 6)
		kind_add_(engine, "small", 100);
}

static void other_spoil_(cb_document_t *document, int way)
{
	if (way == 0)
		cb_document_add_workspace(document, "v");
	else if (way == 1)
		keyed_(document)->is_public = TRUE;
	else if (way == 2)
		document->limits.max_header_bytes = 0;
	else if (way == 3)
		document->limits.max_body_bytes = 0;
	else if (way == 4)
		document->limits.header_timeout_ms = 0;
	else if (way == 5)
		document->limits.idle_timeout_ms = 2999;
}

/* Values at a limit, for which there is no finding. */
static void bounds_touch_(cb_document_t *document, int way)
{
	cb_route_t *route = keyed_(document);

	(void)way;
	route->target_latency_ms = 1000;
	route->target_gap_ms = 1000;
	runs_set_(route, CB_ROUTE_STREAM, 3);
	route->is_resumable = TRUE;
	text_set_(&route->host, "H.example");
	((cb_engine_kind_t *)engine_(document)->kinds->pdata[0])->memory_mb =
		100;
	document->limits.idle_timeout_ms = 3000;
}

/* Each spoilt document has exactly the expected warning. */
static void each_finding_is_reported(void)
{
	static const struct {
		void (*spoil)(cb_document_t *document, int way);
		int way;
		/* "KIND PART NAME FIELD"; NULL: no finding */
		const char *finding;
		const char *reason;
	} cases[] = {
		{ bounds_touch_, 0, NULL, NULL },
		{ route_spoil_, 0, "never_used route keyed host", "port" },
		{ route_spoil_, 1, "never_used route keyed host", "character" },
		{ route_spoil_, 2, "never_used route keyed prefix", "query" },
		{ route_spoil_, 3, "never_used route keyed splits",
		  "gives engines no requests: its weight is 0" },
		{ route_spoil_, 4,
		  "contradiction route keyed target_latency_ms",
		  "1001 ms is over the time limit of 1000 ms" },
		{ route_spoil_, 5, "contradiction route keyed target_gap_ms",
		  "1001 ms is over the time limit of 1000 ms" },
		{ route_spoil_, 6, "contradiction route keyed max_attempts",
		  "allows 2 runs" },
		{ route_spoil_, 7, "contradiction route keyed max_attempts",
		  "allows 3 runs" },
		{ route_spoil_, 8, "ambiguous route keyed name", "another" },
		{ engine_spoil_, 0, "never_used service lost ", "no route" },
		{ engine_spoil_, 1, "contradiction service engines kinds",
		  "tiny has 99 MB, and one layer needs 100 MB" },
		{ engine_spoil_, 2, "contradiction service engines kinds",
		  "no kind" },
		{ engine_spoil_, 3, "contradiction service engines layer_mb",
		  "must need memory" },
		{ engine_spoil_, 4, "contradiction service engines slots",
		  "runs nothing" },
		{ engine_spoil_, 5,
		  "contradiction service engines loads_at_once", "no layer" },
		{ engine_spoil_, 6, "never_used service engines kinds",
		  "twice" },
		{ other_spoil_, 0, "never_used workspace v keys",
		  "has no key" },
		{ other_spoil_, 1, "never_used workspace w keys",
		  "no route asks for a key" },
		{ other_spoil_, 2, "contradiction limits  max_header_bytes",
		  "every request" },
		{ other_spoil_, 3, "contradiction limits  max_body_bytes",
		  "with a body" },
		{ other_spoil_, 4, "contradiction limits  header_timeout_ms",
		  "can arrive" },
		{ other_spoil_, 5, "contradiction limits  idle_timeout_ms",
		  "2999 ms is shorter than the 3000 ms" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_document_t *document = document_make_();
		GPtrArray *findings = cb_findings_new();
		const cb_finding_t *finding;
		char *text;

		cases[i].spoil(document, cases[i].way);
		CU_ASSERT_TRUE(cb_document_finish(document, NULL));
		cb_document_check(document, findings);
		CU_ASSERT_EQUAL(findings->len, cases[i].finding ? 1 : 0);
		if (findings->len && cases[i].finding) {
			finding = findings->pdata[0];
			text = g_strdup_printf(
				"%s %s %s %s",
				cb_finding_kind_string[finding->kind],
				cb_document_part_string[finding->part],
				finding->name, finding->field);
			CU_ASSERT_EQUAL(finding->level, CB_FINDING_WARNING);
			CU_ASSERT_STRING_EQUAL(text, cases[i].finding);
			CU_ASSERT_PTR_NOT_NULL(
				strstr(finding->reason, cases[i].reason));
			g_free(text);
		}
		g_ptr_array_unref(findings);
		cb_document_unref(document);
	}
}

/* A service that routes name with weight 0 only is as lost as one without. */
static void service_of_weight_0_is_reported(void)
{
	cb_document_t *document = document_make_();
	GPtrArray *findings = cb_findings_new();

	cb_document_add_service(document, cb_service_profile_new("lost"));
	split_add_(document, "lost", 0);
	cb_document_check(document, findings);
	CU_ASSERT_EQUAL_FATAL(findings->len, 2);
	CU_ASSERT_STRING_EQUAL(((cb_finding_t *)findings->pdata[1])->name,
			       "lost");
	g_ptr_array_unref(findings);
	cb_document_unref(document);
}

/* Without any key, each route that asks for one can't be used. */
static void routes_without_keys_are_reported(void)
{
	cb_document_t *document = document_make_();
	GPtrArray *findings = cb_findings_new();

	g_hash_table_remove_all(document->keys);
	CU_ASSERT_TRUE(cb_document_finish(document, NULL));
	cb_document_check(document, findings);
	CU_ASSERT_EQUAL_FATAL(findings->len, 2);
	CU_ASSERT_STRING_EQUAL(((cb_finding_t *)findings->pdata[0])->name,
			       "keyed");
	CU_ASSERT_STRING_EQUAL(((cb_finding_t *)findings->pdata[1])->name, "w");
	g_ptr_array_unref(findings);
	cb_document_unref(document);
}

/* Changes a document in each way that a comparison must tell. */
static void document_change_(cb_document_t *document)
{
	cb_route_t *route = keyed_(document);
	cb_engine_profile_t *engine = engine_(document);

	text_set_(&route->prefix, "/v2/");
	route->kind = CB_ROUTE_ONCE;
	route->timeout_ms = 2000;
	split_add_(document, "engines", 9);
	g_ptr_array_remove_index(document->routes, 1);
	cb_document_add_route(document, route_make_("new", "/new/", "plain"));
	cb_document_add_route(document, route_make_("new", "/n/", "plain"));
	engine->layer_mb = 100.5;
	((cb_engine_kind_t *)engine->kinds->pdata[0])->memory_mb = 500;
	cb_document_add_service(document, cb_service_profile_new("more"));
	g_hash_table_remove(document->keys, "secret-1");
	cb_document_add_key(document, "w", "secret-2", NULL);
	cb_document_add_key(document, "w", "secret-3", NULL);
	g_hash_table_remove(document->workspace_priorities, "w");
	cb_document_add_key(document, "x", "secret-4", NULL);
	document->limits.max_body_bytes = 5;
}

/* Returns the changes as text, a line each; the caller frees it. */
static char *changes_write_(const cb_document_t *before,
			    const cb_document_t *after)
{
	GPtrArray *changes = cb_document_compare(before, after);
	GString *text = g_string_new(NULL);
	unsigned int i;
	unsigned int j;

	for (i = 0; i < changes->len; i++) {
		const cb_document_change_t *change = changes->pdata[i];

		g_string_append_printf(text, "%s %s %s",
				       cb_change_kind_string[change->kind],
				       cb_document_part_string[change->part],
				       change->name);
		for (j = 0; j < change->fields->len; j++) {
			const cb_field_change_t *field =
				&g_array_index(change->fields,
					       cb_field_change_t, j);

			g_string_append_printf(text, "|%s:%s>%s", field->field,
					       field->before, field->after);
		}
		g_string_append_c(text, '\n');
	}
	g_ptr_array_unref(changes);
	return g_string_free(text, FALSE);
}

/* Equal documents have none; else each entry and field is named, but no key. */
static void differences_are_listed_by_name(void)
{
	cb_document_t *before = document_make_();
	cb_document_t *after = document_make_();
	char *text = changes_write_(before, after);

	CU_ASSERT_STRING_EQUAL(text, "");
	g_free(text);
	document_change_(after);
	text = changes_write_(before, after);
	CU_ASSERT_STRING_EQUAL(
		text,
		"changed route keyed|prefix:/>/v2/|timeout_ms:1000>2000"
		"|kind:idempotent>once|splits:plain 1>plain 1, engines 9\n"
		"added route new\nadded route new #2\n"
		"removed route open\n"
		"added service more\n"
		"changed service engines|layer_mb:100>100.5"
		"|kinds:small 250 MB step 0 read 0"
		">small 500 MB step 0 read 0\n"
		"changed workspace w|keys:1>2 (2 added, 1 removed)"
		"|priority:1>none\n"
		"added workspace x|keys:0>1 (1 added, 0 removed)\n"
		"changed limits |max_body_bytes:1048576>5\n");
	g_free(text);
	text = changes_write_(after, before);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "removed service more\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text,
		       "removed workspace x|keys:1>0 (0 added, 1 removed)\n"));
	g_free(text);
	cb_document_unref(before);
	cb_document_unref(after);
}

/* Control ignores a document whose version isn't above the one in force. */
static void version_must_be_above_the_one_in_force(void)
{
	static const struct {
		int64_t version;
		unsigned int findings;
	} cases[] = { { 4, 1 }, { 5, 1 }, { 6, 0 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_document_t *in_force = document_make_();
		cb_document_t *document = document_make_();
		GPtrArray *findings = cb_findings_new();

		document->version = cases[i].version;
		cb_document_check_version(document, in_force, findings);
		CU_ASSERT_EQUAL(findings->len, cases[i].findings);
		if (findings->len)
			CU_ASSERT_EQUAL(
				((cb_finding_t *)findings->pdata[0])->level,
				CB_FINDING_ERROR);
		g_ptr_array_unref(findings);
		cb_document_unref(document);
		cb_document_unref(in_force);
	}
}

static CU_TestInfo check_tests[] = {
	{ "each_finding_is_reported", each_finding_is_reported },
	{ "service_of_weight_0_is_reported", service_of_weight_0_is_reported },
	{ "routes_without_keys_are_reported",
	  routes_without_keys_are_reported },
	{ "differences_are_listed_by_name", differences_are_listed_by_name },
	{ "version_must_be_above_the_one_in_force",
	  version_must_be_above_the_one_in_force },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "document_check",
				    .pTests = check_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
