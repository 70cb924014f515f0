#include "support_main.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "currantbridge/explain.h"

#define AT(time) "{\"time\":\"2026-12-04T10:00:" time "Z\",\"name\":\""
#define BY(name, instance) name "\",\"instance\":\"" instance "\","
#define OWN "\"request\":\"r1\","
#define ENDED AT("04.000") BY("RELAY_ENDED", "e1") OWN

/* The lines of some logs, in no order, and what they explain. */
typedef struct explain_case {
	const char *lines[6];
	const char *cause;   /* a part of it */
	const char *context; /* names an event that is told too; NULL: none */
} explain_case_t;

static const explain_case_t cases[] = {
	{ { AT("04.000") BY("RELAY_SERVED", "e1") OWN "\"status\":200}" },
	  "served at the first attempt",
	  NULL },
	{ { AT("04.000") BY("RELAY_REFUSED", "e1") OWN
	    "\"status\":401,\"reason\":\"unknown_key\",\"version\":7}" },
	  "no workspace held the request's key (document version 7)",
	  NULL },
	{ { ENDED "\"status\":503,\"reason\":\"no_room\"}",
	    AT("03.000") BY("FLEET_SERVER", "e1") "\"address\":\"10.0.0.1:1\","
						  "\"state\":\"silent\"}" },
	  "the servers were full",
	  NULL },
	/* The server at fault, and since when it was known to be. */
	{ { ENDED "\"status\":502,\"reason\":\"silent\"}",
	    AT("03.000") BY("RELAY_STALLED", "e1") OWN
	    "\"address\":\"10.0.0.2:1\"}",
	    AT("03.001") BY("RELAY_ATTEMPT_FAILED", "e1") OWN
	    "\"result\":\"silent\",\"address\":\"10.0.0.1:1\",\"fault\":\"\","
	    "\"way\":\"10.0.0.1:1=0-4 10.0.0.2:1=4-8\"}",
	    AT("04.500") BY("FLEET_SERVER", "e1") "\"address\":\"10.0.0.2:1\","
						  "\"state\":\"silent\"}" },
	  "server at fault: 10.0.0.2:1; e1 knew it as silent from "
	  "2026-12-04T10:00:04.500Z on",
	  "FLEET_SERVER" },
	{ { ENDED "\"status\":502,\"reason\":\"lost\"}",
	    "host7 | " AT("03.000") BY("RELAY_ATTEMPT_FAILED", "e1") OWN
	    "\"result\":\"lost\",\"address\":\"10.0.0.1:1\",\"fault\":\"\"}",
	    AT("02.000") BY("FLEET_SERVER", "e1") "\"address\":\"10.0.0.1:1\","
						  "\"state\":\"ready\","
						  "\"sequence\":9,"
						  "\"slow_percent\":300}" },
	  "server at fault: 10.0.0.1:1; it took 300% of its usual time",
	  "FLEET_SERVER" },
	{ { AT("04.000") BY("RELAY_SERVED", "e1") OWN "\"status\":200}",
	    AT("03.000") BY("RELAY_ATTEMPT_FAILED", "e1") OWN
	    "\"result\":\"truncated\",\"address\":\"10.0.0.1:1\","
	    "\"fault\":\"10.0.0.3:1\"}" },
	  "served after an attempt failed (truncated) at 10.0.0.3:1; the fleet "
	  "knew of no trouble",
	  NULL },
	/* What its instance went through; too early, or of others: not told. */
	{ { ENDED "\"status\":503,\"reason\":\"not_configured\"}",
	    AT("03.000") BY("CONTROL_LOST", "e1") "\"reason\":\"silent\"}" },
	  "no configuration from a majority",
	  "CONTROL_LOST" },
	{ { AT("09.100") BY("RELAY_ENDED", "e1") OWN
	    "\"status\":503,\"reason\":\"not_configured\"}",
	    AT("04.000") BY("CONTROL_LOST", "e1") "\"reason\":\"silent\"}",
	    AT("09.000") BY("CONTROL_LOST", "e2") "\"reason\":\"silent\"}",
	    AT("09.000") BY("RELAY_ENDED", "e1") "\"request\":\"r2\"}" },
	  "no configuration from a majority",
	  NULL },
	{ { ENDED "\"status\":504,\"reason\":\"deadline\"}",
	    AT("03.000") BY("LAYERS_ORDERED", "c1") "\"address\":"
						    "\"10.0.0.4:1\"}",
	    AT("03.500") BY("RELAY_ATTEMPT_FAILED", "e1") OWN
	    "\"result\":\"not_run\",\"address\":\"10.0.0.1:1\","
	    "\"way\":\"10.0.0.1:1=0-4 10.0.0.4:1=4-8\"}" },
	  "its time was over; server at fault: 10.0.0.1:1",
	  "LAYERS_ORDERED" },
	{ { AT("03.000") BY("RELAY_RESUMED", "e1") OWN "\"last_event\":3}" },
	  "no line tells its end",
	  NULL },
	{ { "{\"time\":\"broken", "not a line of r1", "" },
	  "no line names the request",
	  NULL },
};

static cb_explain_t *explain_(const explain_case_t *c)
{
	cb_explain_t *explain = cb_explain_new("r1");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(c->lines) && c->lines[i]; i++)
		cb_explain_take_request(explain, c->lines[i]);
	for (i = 0; i < G_N_ELEMENTS(c->lines) && c->lines[i]; i++)
		cb_explain_take_context(explain, c->lines[i]);
	return explain;
}

static void causes_are_found(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_explain_t *explain = explain_(&cases[i]);
		char *cause = cb_explain_cause(explain);
		char *text = cb_explain_text(explain);
		const char *around = strstr(text, "around it\n");

		if (!strstr(cause, cases[i].cause))
			printf("    case %zu: %s\n", i, cause);
		CU_ASSERT_PTR_NOT_NULL(strstr(cause, cases[i].cause));
		CU_ASSERT_PTR_NOT_NULL(strstr(text, cause));
		CU_ASSERT_EQUAL(around != NULL, cases[i].context != NULL);
		if (around && cases[i].context)
			CU_ASSERT_PTR_NOT_NULL(
				strstr(around, cases[i].context));
		g_free(text);
		g_free(cause);
		cb_explain_delete(explain);
	}
}

/* The JSON has the lines in the order of time, with all their fields. */
static void json_holds_the_lines(void)
{
	cb_explain_t *explain = explain_(&cases[3]);
	char *text = cb_explain_json(explain);
	JsonNode *root = json_from_string(text, NULL);
	JsonArray *lines;

	CU_ASSERT_PTR_NOT_NULL_FATAL(root);
	lines = json_object_get_array_member(json_node_get_object(root),
					     "lines");
	CU_ASSERT_EQUAL(json_array_get_length(lines), 3);
	CU_ASSERT_STRING_EQUAL(json_object_get_string_member(
				       json_array_get_object_element(lines, 0),
				       "name"),
			       "RELAY_STALLED");
	CU_ASSERT_STRING_EQUAL(json_object_get_string_member(
				       json_array_get_object_element(lines, 2),
				       "reason"),
			       "silent");
	json_node_unref(root);
	g_free(text);
	cb_explain_delete(explain);
}

static CU_TestInfo explain_tests[] = { { "causes_are_found", causes_are_found },
				       { "json_holds_the_lines",
					 json_holds_the_lines },
				       CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "explain",
				    .pTests = explain_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
