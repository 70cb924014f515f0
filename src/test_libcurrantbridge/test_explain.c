#include "support_main.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "currantbridge/explain.h"

/* Parts of a JSON log line: its time, its event and instance, its request. */
#define LINE_AT(time) "{\"time\":\"2026-12-04T10:00:" time "Z\",\"name\":\""
#define EVENT_OF(name, instance) name "\",\"instance\":\"" instance "\","
#define REQUEST_FIELD "\"request\":\"r1\","
#define RELAY_ENDED_LINE \
	LINE_AT("04.000") EVENT_OF("RELAY_ENDED", "e1") REQUEST_FIELD

/* Fields of a cut answer's end, and of a way on which each check was refused. */
#define CUT_FIELDS "\"status\":502,\"is_cut\":1,\"last_event\":2,"
#define WAY_LOST_FIELDS                               \
	"\"data_centre\":\"dc1\",\"state\":\"lost\"," \
	"\"refused\":3,\"unanswered\":0,\"mute\":0}"

/* Log lines, in any order, and the explanation that they must give. */
typedef struct explain_case {
	const char *lines[6];
	const char *cause; /* part of the expected cause */
	/* Part of the expected context lines; NULL: none are expected. */
	const char *context;
} explain_case_t;

static const explain_case_t cases[] = {
	{ { LINE_AT("04.000") EVENT_OF("RELAY_SERVED", "e1") REQUEST_FIELD
	    "\"status\":200}" },
	  "served at the first attempt",
	  NULL },
	{ { LINE_AT("04.000") EVENT_OF("RELAY_REFUSED", "e1") REQUEST_FIELD
	    "\"status\":401,\"reason\":\"unknown_key\",\"version\":7}" },
	  "no workspace had the request's key (document version 7)",
	  NULL },
	{ { RELAY_ENDED_LINE "\"status\":503,\"reason\":\"no_room\"}",
	    LINE_AT("03.000")
		    EVENT_OF("FLEET_SERVER", "e1") "\"address\":\"10.0.0.1:1\","
						   "\"state\":\"silent\"}" },
	  "the servers were full",
	  NULL },
	/* The cause names the failed server and when its problem was logged. */
	{ { RELAY_ENDED_LINE "\"status\":502,\"reason\":\"silent\"}",
	    LINE_AT("03.000") EVENT_OF("RELAY_STALLED", "e1") REQUEST_FIELD
	    "\"address\":\"10.0.0.2:1\"}",
	    LINE_AT("03.001") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"silent\",\"address\":\"10.0.0.1:1\",\"fault\":\"\","
	    "\"way\":\"10.0.0.1:1=0-4 10.0.0.2:1=4-8\"}",
	    LINE_AT("04.500")
		    EVENT_OF("FLEET_SERVER", "e1") "\"address\":\"10.0.0.2:1\","
						   "\"state\":\"silent\"}" },
	  "server at fault: 10.0.0.2:1; e1 knew it as silent from "
	  "2026-12-04T10:00:04.500Z on",
	  "FLEET_SERVER" },
	{ { RELAY_ENDED_LINE "\"status\":502,\"reason\":\"lost\"}",
	    "host7 | " LINE_AT("03.000") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"lost\",\"address\":\"10.0.0.1:1\",\"fault\":\"\"}",
	    LINE_AT("02.000")
		    EVENT_OF("FLEET_SERVER", "e1") "\"address\":\"10.0.0.1:1\","
						   "\"state\":\"ready\","
						   "\"sequence\":9,"
						   "\"slow_percent\":300}" },
	  "server at fault: 10.0.0.1:1; it took 300% of its usual time",
	  "FLEET_SERVER" },
	{ { LINE_AT("04.000") EVENT_OF("RELAY_SERVED", "e1") REQUEST_FIELD
	    "\"status\":200}",
	    LINE_AT("03.000") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"truncated\",\"address\":\"10.0.0.1:1\","
	    "\"fault\":\"10.0.0.3:1\"}" },
	  "served after an attempt failed (truncated) at 10.0.0.3:1; no "
	  "problem of this server was logged",
	  NULL },
	/*
	 * Context is what the request's instance logged around that time, not
	 * earlier, on other instances or for other requests.
	 */
	{ { RELAY_ENDED_LINE "\"status\":503,\"reason\":\"not_configured\"}",
	    LINE_AT("03.000")
		    EVENT_OF("CONTROL_LOST", "e1") "\"reason\":\"silent\"}" },
	  "no configuration from a majority",
	  "CONTROL_LOST" },
	{ { LINE_AT("09.100") EVENT_OF("RELAY_ENDED", "e1") REQUEST_FIELD
	    "\"status\":503,\"reason\":\"not_configured\"}",
	    LINE_AT("04.000")
		    EVENT_OF("CONTROL_LOST", "e1") "\"reason\":\"silent\"}",
	    LINE_AT("09.000")
		    EVENT_OF("CONTROL_LOST", "e2") "\"reason\":\"silent\"}",
	    LINE_AT("09.000")
		    EVENT_OF("RELAY_ENDED", "e1") "\"request\":\"r2\"}" },
	  "no configuration from a majority",
	  NULL },
	{ { RELAY_ENDED_LINE "\"status\":504,\"reason\":\"deadline\"}",
	    LINE_AT("03.000")
		    EVENT_OF("LAYERS_ORDERED", "c1") "\"address\":"
						     "\"10.0.0.4:1\"}",
	    LINE_AT("03.500") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"not_run\",\"address\":\"10.0.0.1:1\","
	    "\"way\":\"10.0.0.1:1=0-4 10.0.0.4:1=4-8\"}" },
	  "its deadline passed; server at fault: 10.0.0.1:1",
	  "LAYERS_ORDERED" },
	{ { LINE_AT("03.000") EVENT_OF("RELAY_RESUMED", "e1") REQUEST_FIELD
	    "\"last_event\":3}" },
	  "no line reports its end",
	  NULL },
	{ { "{\"time\":\"broken", "not a line of r1", "" },
	  "no line names the request",
	  NULL },
	{ { RELAY_ENDED_LINE "\"status\":503,\"reason\":\"overloaded\"}",
	    LINE_AT("03.999") EVENT_OF("RELAY_ROOM_REFUSED", "e1") REQUEST_FIELD
	    "\"workspace\":\"w4\",\"rank\":2,\"because\":\"workspace\","
	    "\"admitted_percent\":38,\"used_percent\":95,\"age_ms\":214,"
	    "\"retry_after_ms\":2210}" },
	  "its service was asked for more than its engines can hold: 95% of "
	  "the room in use, 38% of the requests of workspace w4 at rank 2 could "
	  "begin; the workspace asked for more than its share; the caller was "
	  "told to come back after 2210 ms",
	  NULL },
	{ { RELAY_ENDED_LINE "\"status\":503,\"reason\":\"overloaded\"}",
	    LINE_AT("03.999") EVENT_OF("RELAY_ROOM_REFUSED", "e1") REQUEST_FIELD
	    "\"because\":\"own_share\",\"age_ms\":2950}" },
	  "what all instances use was last known 2950 ms before",
	  NULL },
	/* A cut answer: the way, the loop, descriptors and the document. */
	{ { LINE_AT("03.900") EVENT_OF("RELAY_WAY_LOST", "e1") WAY_LOST_FIELDS,
	    LINE_AT("03.800")
		    EVENT_OF("RELAY_WAY_LOST", "e2") "\"data_centre\":\"dc9\"}",
	    LINE_AT("03.950") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"cut_off\",\"address\":\"10.0.0.1:1\","
	    "\"loop_late_ms\":3,\"document_age_ms\":700}",
	    LINE_AT("03.960") EVENT_OF("RELAY_FORWARDED", "e1") REQUEST_FIELD
	    "\"to\":\"e2\"}",
	    RELAY_ENDED_LINE CUT_FIELDS "\"reason\":\"no_way\"}",
	    LINE_AT("04.001") EVENT_OF("RELAY_ENDED", "e2") REQUEST_FIELD
	    "\"status\":503,\"reason\":\"no_way\",\"is_cut\":0}" },
	  "neither the instance nor any to which it was forwarded reached a "
	  "server of the service; its answer was cut after event 2; its last "
	  "attempt at 10.0.0.1:1 failed (cut_off) at 2026-12-04T10:00:03.950Z; "
	  "e1 had lost its way to the servers of dc1 at "
	  "2026-12-04T10:00:03.900Z (lost: of its checks over new connections 3 "
	  "were refused, 0 not answered in time, 0 connected without an answer); "
	  "a document had come into force 700 ms before",
	  "RELAY_WAY_LOST" },
	{ { LINE_AT("03.900") EVENT_OF("LOOP_LATE", "e1") "\"late_ms\":640}",
	    LINE_AT("03.950") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"silent\",\"address\":\"10.0.0.1:1\","
	    "\"loop_late_ms\":640,\"document_age_ms\":5001}",
	    RELAY_ENDED_LINE CUT_FIELDS "\"reason\":\"silent\"}" },
	  "no problem of this server was logged; its answer was cut after event "
	  "2; its last attempt at 10.0.0.1:1 failed (silent) at "
	  "2026-12-04T10:00:03.950Z; the loop of e1 was 640 ms late in the "
	  "second before, so its time limits may have passed by its own delay",
	  "LOOP_LATE" },
	/* The instance to which it was forwarded has failed attempts as well. */
	{ { LINE_AT("03.950") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"cut_off\",\"address\":\"10.0.0.1:1\","
	    "\"forwarded_to\":\"\",\"document_age_ms\":9000}",
	    LINE_AT("03.960") EVENT_OF("RELAY_ATTEMPT_FAILED", "e2")
		    REQUEST_FIELD
	    "\"result\":\"unsent\",\"address\":\"10.0.0.2:1\","
	    "\"forwarded_to\":\"\",\"document_age_ms\":9000}",
	    LINE_AT("03.970") EVENT_OF("RELAY_ATTEMPT_FAILED", "e1")
		    REQUEST_FIELD
	    "\"result\":\"server_error\",\"address\":\"\","
	    "\"forwarded_to\":\"e2\",\"document_age_ms\":9020}",
	    RELAY_ENDED_LINE CUT_FIELDS "\"reason\":\"server_error\"}" },
	  "its answer was cut after event 2; its last attempt at 10.0.0.1:1 "
	  "failed (cut_off) at 2026-12-04T10:00:03.950Z; forwarded to e2 it "
	  "failed (server_error) at 2026-12-04T10:00:03.970Z",
	  NULL },
	{ { RELAY_ENDED_LINE CUT_FIELDS
	    "\"reason\":\"deadline\",\"loop_late_ms\":100,"
	    "\"document_age_ms\":-1}",
	    LINE_AT("03.000") EVENT_OF("ENTRY_OUT_OF_DESCRIPTORS",
				       "e1") "\"evicted\":0}" },
	  "its deadline passed; its answer was cut after event 2; e1 had no free "
	  "descriptor for an arriving connection at 2026-12-04T10:00:03.000Z",
	  "ENTRY_OUT_OF_DESCRIPTORS" },
};

static cb_explain_t *explain_make_(const explain_case_t *c)
{
	cb_explain_t *explain = cb_explain_new("r1");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(c->lines) && c->lines[i]; i++)
		cb_explain_add_request_line(explain, c->lines[i]);
	for (i = 0; i < G_N_ELEMENTS(c->lines) && c->lines[i]; i++)
		cb_explain_add_context_line(explain, c->lines[i]);
	return explain;
}

/* Checks the cause, and whether the text has context lines. */
static void cause_and_context_are_found(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_explain_t *explain = explain_make_(&cases[i]);
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

/* The JSON has the request's lines in order of time, with their fields. */
static void json_has_request_lines_by_time(void)
{
	cb_explain_t *explain = explain_make_(&cases[3]);
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

static CU_TestInfo explain_tests[] = {
	{ "cause_and_context_are_found", cause_and_context_are_found },
	{ "json_has_request_lines_by_time", json_has_request_lines_by_time },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "explain",
				    .pTests = explain_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
