#include "support_main.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "support_log.h"
#include "support_relay.h"

/*
 * Tests what the logs and metrics of an entry instance tell of streams that are
 * cut: connections, descriptors, and the circumstances of a failed request.
 */
#define STREAM_BEGIN                                                          \
	"HTTP/1.1 200 OK\r\nId: 7\r\nSeal: x\r\nTransfer-Encoding: chunked\r" \
	"\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
#define STREAM_ONCE_REQUEST \
	REQUEST("POST", "/stream-once/", "Content-Length: 0\r\n")

/* Connections and requests are counted as they are when metrics are read. */
static void front_gauges_count_connections(void)
{
	static const relay_script_t script = { STREAM_BEGIN, END_HOLD };
	static const struct {
		const char *series;
		int64_t before;
		int64_t during;
	} cases[] = {
		{ "cb_caller_connections{from=\"callers\"}", 0, 1 },
		{ "cb_caller_connections{from=\"instances\"}", 0, 0 },
		{ "cb_relay_requests{state=\"sent\"}", 0, 1 },
		{ "cb_relay_requests{state=\"waiting\"}", 0, 0 },
		{ "cb_server_connections{state=\"connecting\"}", 0, 0 },
		{ "cb_server_connections{state=\"in_use\"}", 0, 1 },
	};
	relay_fixture_t fixture;
	cb_counters_t *counters;
	int64_t age_ms;
	size_t i;

	support_relay_init(&fixture, TRUE);
	counters = fixture.front->counters;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(support_series_read(counters, cases[i].series),
				cases[i].before);
	fixture.scripts = &script;
	fixture.script_count = 1;
	support_relay_request_send(&fixture, STREAM_ONCE_REQUEST);
	CU_ASSERT_TRUE(support_relay_run_until(&fixture, 0, "id: 1"));
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(support_series_read(counters, cases[i].series),
				cases[i].during);
	age_ms = support_series_read(counters, "cb_document_age_ms");
	CU_ASSERT_TRUE(age_ms >= 0);
	cb_clock_stall(fixture.world->clock, 30);
	CU_ASSERT_EQUAL(support_series_read(counters, "cb_document_age_ms"),
			age_ms + 30);
	support_relay_clear(&fixture);
}

/* The age is that of the document in force, from when it came into force. */
static void document_age_begins_anew_with_each_document(void)
{
	relay_fixture_t fixture;
	int64_t first_ms;

	support_relay_init(&fixture, FALSE);
	CU_ASSERT_EQUAL(cb_front_document_age_ms(fixture.front), -1);
	support_relay_document_put(&fixture, 1, "d");
	support_relay_pass_time(&fixture, 3000);
	first_ms = cb_front_document_age_ms(fixture.front);
	CU_ASSERT_TRUE(first_ms >= 3000 && first_ms <= 3200);
	support_relay_document_put(&fixture, 2, "small limits");
	CU_ASSERT_TRUE(cb_front_document_age_ms(fixture.front) <= 200);
	support_relay_clear(&fixture);
}

/* Returns the number that follows a field's name in a log line, or -1. */
static int64_t line_field_read_(const char *text, const char *event,
				const char *field)
{
	const char *line = strstr(text, event);
	size_t line_size = line ? strcspn(line, "\n") : 0;
	const char *value =
		line ? g_strstr_len(line, (gssize)line_size, field) : NULL;

	return value ? g_ascii_strtoll(value + strlen(field), NULL, 10) : -1;
}

#define LATE_FIELD "\"loop_late_ms\":"
#define AGE_FIELD "\"document_age_ms\":"
#define BEGUN_FIELD "\"is_begun\":"
#define SILENT_FIELD "\"silent_ms\":"
#define UNREAD_FIELD "\"unread\":"
#define STALL_MS 300

/* The lines of a failed stream have the loop's lateness and the document's age. */
static void failed_streams_log_their_circumstances(void)
{
	static const struct {
		relay_script_t script;
		int64_t stall_ms;
		const char *end; /* the event of the request's end */
		int64_t is_cut;
	} cases[] = {
		{ { STREAM_BEGIN, END_RESET }, STALL_MS, "\"RELAY_ENDED\"", 1 },
		{ { STREAM_BEGIN, END_RESET }, 0, "\"RELAY_ENDED\"", 1 },
		{ { "HTTP/1.1 200 OK\r\n", END_RESET },
		  STALL_MS,
		  "\"RELAY_ENDED\"",
		  0 },
		{ { STREAM_BEGIN "0\r\n\r\n", END_KEEP },
		  STALL_MS,
		  "\"RELAY_SERVED\"",
		  0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gboolean is_failed = !strcmp(cases[i].end, "\"RELAY_ENDED\"");
		const char *const events[] = { "\"RELAY_ATTEMPT_FAILED\"",
					       cases[i].end };
		relay_fixture_t fixture;
		GString *body = g_string_new(NULL);
		uint32_t status = 0;
		int64_t age_ms;
		support_log_t log;
		size_t k;

		support_relay_init(&fixture, TRUE);
		support_relay_pass_time(&fixture, 2000);
		support_log_begin(&log, fixture.world->clock);
		fixture.front->log = log.log;
		fixture.scripts = &cases[i].script;
		fixture.script_count = 1;
		cb_clock_stall(fixture.world->clock, cases[i].stall_ms);
		support_relay_request_send(&fixture, STREAM_ONCE_REQUEST);
		CU_ASSERT_EQUAL(support_relay_answer_await(&fixture, &status,
							   body),
				!cases[i].is_cut);
		age_ms = cb_front_document_age_ms(fixture.front);
		CU_ASSERT_EQUAL(support_series_read(
					fixture.front->counters,
					"cb_relay_begun_attempts_failed_total"
					"{reason=\"truncated\"}"),
				cases[i].is_cut ? 1 : -1);
		fixture.front->log = NULL;
		support_log_end(&log);
		CU_ASSERT_EQUAL(line_field_read_(log.text, cases[i].end,
						 "\"is_cut\":"),
				cases[i].is_cut);
		for (k = 0; k < G_N_ELEMENTS(events); k++) {
			int64_t late_ms = line_field_read_(log.text, events[k],
							   LATE_FIELD);
			int64_t line_age_ms =
				line_field_read_(log.text, events[k],
						 AGE_FIELD);
			gboolean is_attempt = is_failed && !k;

			/* Only an attempt's line has these. */
			CU_ASSERT_EQUAL(line_field_read_(log.text, events[k],
							 BEGUN_FIELD),
					is_attempt ? cases[i].is_cut : -1);
			CU_ASSERT_EQUAL(line_field_read_(log.text, events[k],
							 SILENT_FIELD) >= 0,
					is_attempt);
			CU_ASSERT_EQUAL(line_field_read_(log.text, events[k],
							 UNREAD_FIELD),
					is_attempt ? 0 : -1);
			if (!is_failed) {
				CU_ASSERT_EQUAL(late_ms, -1);
				CU_ASSERT_EQUAL(line_age_ms, -1);
				continue;
			}
			CU_ASSERT_EQUAL(late_ms >= 100, cases[i].stall_ms > 0);
			CU_ASSERT_TRUE(late_ms >= 0 &&
				       late_ms <= cases[i].stall_ms);
			CU_ASSERT_TRUE(line_age_ms >= 2000 &&
				       line_age_ms <= age_ms);
		}
		g_string_free(body, TRUE);
		support_relay_clear(&fixture);
	}
}

/* The lack of descriptors is logged once a second, not at each connection. */
static void lack_of_descriptors_is_logged(void)
{
	relay_fixture_t fixture;
	struct rlimit old_limit;
	struct rlimit limit;
	support_log_t log;
	int unused;

	support_relay_init(&fixture, TRUE);
	support_log_begin(&log, fixture.world->clock);
	fixture.front->log = log.log;
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &old_limit), 0);
	unused = dup(0);
	close(unused);
	limit = old_limit;
	limit.rlim_cur = (rlim_t)unused + 1;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	support_relay_request_send(&fixture, IDEMPOTENT_REQUEST);
	support_relay_pass_time(&fixture, 500);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &old_limit), 0);
	fixture.front->log = NULL;
	support_log_end(&log);
	CU_ASSERT_EQUAL(support_text_count(log.text,
					   "\"ENTRY_OUT_OF_DESCRIPTORS\""),
			1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(log.text,
		       "\"evicted\":0,\"callers\":0,\"requests\":0}"));
	support_relay_clear(&fixture);
}

static CU_TestInfo incident_tests[] = {
	{ "front_gauges_count_connections", front_gauges_count_connections },
	{ "document_age_begins_anew_with_each_document",
	  document_age_begins_anew_with_each_document },
	{ "failed_streams_log_their_circumstances",
	  failed_streams_log_their_circumstances },
	{ "lack_of_descriptors_is_logged", lack_of_descriptors_is_logged },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "incident",
				    .pTests = incident_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
