#include "support_main.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/kernel.h"
#include "currantbridge/settings.h"

/* A timer that appends its name and the time to `firings` when it fires. */
typedef struct test_timer {
	cb_clock_t *clock;
	GString *firings;
	cb_timer_t *timer;
	char name;
} test_timer_t;

static void firing_record_(void *user_data)
{
	test_timer_t *test_timer = user_data;

	g_string_append_printf(test_timer->firings, "%c%" G_GINT64_FORMAT " ",
			       test_timer->name,
			       cb_clock_now_ms(test_timer->clock));
}

/* As a clock advances, each timer fires when the clock is at its deadline. */
static void timers_fire_in_order(void)
{
	cb_clock_t *clock = cb_clock_new_paused(100);
	GString *firings = g_string_new(NULL);
	test_timer_t test_timers[3];
	const int64_t delay_ms[] = { 30, 10, 10 };
	int i;

	for (i = 0; i < 3; i++) {
		test_timers[i] =
			(test_timer_t){ clock, firings, NULL, (char)('a' + i) };
		test_timers[i].timer =
			cb_timer_new(clock, firing_record_, &test_timers[i]);
		cb_timer_start(test_timers[i].timer, delay_ms[i]);
	}
	cb_clock_advance(clock, 9);
	CU_ASSERT_STRING_EQUAL(firings->str, "");
	CU_ASSERT_EQUAL(cb_clock_next_deadline_ms(clock), 110);
	cb_clock_advance(clock, 21);
	CU_ASSERT_STRING_EQUAL(firings->str, "b110 c110 a130 ");
	CU_ASSERT_EQUAL(cb_clock_next_deadline_ms(clock), -1);
	for (i = 0; i < 3; i++)
		cb_timer_delete(test_timers[i].timer);
	g_string_free(firings, TRUE);
	cb_clock_delete(clock);
}

/* A start that is to come sooner never puts a timer off. */
static void sooner_start_does_not_put_timer_off(void)
{
	cb_clock_t *clock = cb_clock_new_paused(1000);
	GString *firings = g_string_new(NULL);
	test_timer_t test_timer = { clock, firings, NULL, 'a' };

	test_timer.timer = cb_timer_new(clock, firing_record_, &test_timer);
	cb_timer_start_sooner(test_timer.timer, 9);
	cb_clock_advance(clock, 3);
	cb_timer_start_sooner(test_timer.timer, 9);
	cb_timer_start_sooner(test_timer.timer, 4);
	cb_clock_advance(clock, 3);
	cb_timer_start_sooner(test_timer.timer, 4);
	cb_clock_advance(clock, 20);
	CU_ASSERT_STRING_EQUAL(firings->str, "a1007 ");
	cb_timer_delete(test_timer.timer);
	g_string_free(firings, TRUE);
	cb_clock_delete(clock);
}

/* A second start of a timer replaces the deadline of the first. */
static void stopped_timer_does_not_fire(void)
{
	cb_clock_t *clock = cb_clock_new_paused(0);
	GString *firings = g_string_new(NULL);
	test_timer_t test_timer = { clock, firings, NULL, 'a' };

	test_timer.timer = cb_timer_new(clock, firing_record_, &test_timer);
	cb_timer_start(test_timer.timer, 5);
	cb_timer_stop(test_timer.timer);
	cb_clock_advance(clock, 10);
	CU_ASSERT_STRING_EQUAL(firings->str, "");
	cb_timer_start(test_timer.timer, 5);
	cb_timer_start(test_timer.timer, 7);
	cb_clock_advance(clock, 10);
	CU_ASSERT_STRING_EQUAL(firings->str, "a17 ");
	cb_timer_delete(test_timer.timer);
	g_string_free(firings, TRUE);
	cb_clock_delete(clock);
}

static void counters_render_sorted_by_name(void)
{
	cb_counters_t *counters = cb_counters_new();
	char *text;

	cb_counter_add(cb_counters_counter(counters, "b", "r", "x"), 2);
	cb_counter_add(cb_counters_counter(counters, "b", "r", "w"), 1);
	cb_counter_set(cb_counters_gauge(counters, "a", NULL, NULL), 7);
	cb_counter_add(cb_counters_counter(counters, "b", "r", "x"), 3);
	text = cb_counters_render(counters);
	CU_ASSERT_STRING_EQUAL(text, "# TYPE a gauge\na 7\n# TYPE b counter\n"
				     "b{r=\"w\"} 1\nb{r=\"x\"} 5\n");
	g_free(text);
	cb_counters_delete(counters);
}

typedef struct example_settings {
	char *listen;
	char **peers;
	int64_t limit;
	gboolean is_on;
	char *level;
	double ratio;
} example_settings_t;

static const char *const level_choices[] = { "low", "high", NULL };

static const cb_setting_t example_table[] = {
	{ "listen", CB_SETTING_ADDRESS, offsetof(example_settings_t, listen),
	  TRUE, 0, 0, NULL, NULL },
	{ "peers", CB_SETTING_ADDRESSES, offsetof(example_settings_t, peers),
	  FALSE, 0, 0, NULL, NULL },
	{ "limit", CB_SETTING_INTEGER, offsetof(example_settings_t, limit),
	  FALSE, 1, 9, "3", NULL },
	{ "is_on", CB_SETTING_BOOLEAN, offsetof(example_settings_t, is_on),
	  FALSE, 0, 0, "true", NULL },
	{ "level", CB_SETTING_STRING, offsetof(example_settings_t, level),
	  FALSE, 0, 0, "low", level_choices },
	{ "ratio", CB_SETTING_NUMBER, offsetof(example_settings_t, ratio),
	  FALSE, 0, 50, "0.5", NULL },
};

/* The error of each invalid text names the field and the reason. */
static void settings_errors_name_field_and_reason(void)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ "{\"listen\":\"127.0.0.1:1\"}", "" },
		{ "{\"listen\":\"[::1]:80\",\"limit\":9}", "" },
		{ "{}", "settings: listen: is required" },
		{ "{\"listen\":\"host:80\"}",
		  "settings: listen: must be IP:PORT" },
		{ "{\"listen\":\"127.0.0.1:70000\"}",
		  "settings: listen: must be IP:PORT" },
		{ "{\"listen\":5}", "settings: listen: must be a string" },
		{ "{\"listen\":\"127.0.0.1:1\",\"limit\":10}",
		  "settings: limit: must be from 1 to 9" },
		{ "{\"listen\":\"127.0.0.1:1\",\"limit\":\"3\"}",
		  "settings: limit: must be a whole number" },
		{ "{\"listen\":\"127.0.0.1:1\",\"lmit\":1}",
		  "settings: lmit: unknown field" },
		{ "{\"listen\":\"127.0.0.1:1\",\"is_on\":1}",
		  "settings: is_on: must be true or false" },
		{ "{\"listen\":\"127.0.0.1:1\",\"peers\":[\"x\"]}",
		  "settings: peers: each must be IP:PORT" },
		{ "{\"listen\":\"127.0.0.1:1\",\"level\":\"mid\"}",
		  "settings: level: must be one of low, high" },
		{ "{\"listen\":\"127.0.0.1:1\",\"ratio\":47.17}", "" },
		{ "{\"listen\":\"127.0.0.1:1\",\"ratio\":47}", "" },
		{ "{\"listen\":\"127.0.0.1:1\",\"ratio\":50.5}",
		  "settings: ratio: must be from 0 to 50" },
		{ "{\"listen\":\"127.0.0.1:1\",\"ratio\":\"1\"}",
		  "settings: ratio: must be a number" },
		{ "[]", "settings: must be one JSON object" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		example_settings_t example_settings = { 0 };
		GError *error = NULL;

		cb_settings_parse(cases[i].text, example_table,
				  G_N_ELEMENTS(example_table),
				  &example_settings, &error);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		g_clear_error(&error);
		cb_settings_clear(example_table, G_N_ELEMENTS(example_table),
				  &example_settings);
	}
}

static void log_writes_text_and_json(void)
{
	static const struct {
		cb_log_format_t format;
		const char *line;
	} cases[] = {
		{ CB_LOG_FORMAT_TEXT,
		  "1970-01-01T00:00:01.005Z info 104 HTTP_LISTENING: the HTTP "
		  "server accepts connections address=\"a\\\"b\" port=5\n" },
		{ CB_LOG_FORMAT_JSON,
		  "{\"time\":\"1970-01-01T00:00:01.005Z\",\"level\":\"info\","
		  "\"event\":104,\"name\":\"HTTP_LISTENING\",\"message\":"
		  "\"the HTTP server accepts connections\","
		  "\"instance\":\"e1\",\"address\":\"a\\\"b\",\"port\":5}\n" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_clock_t *clock = cb_clock_new_paused(1005);
		char text[512] = { 0 };
		int pipe_fds[2];
		cb_log_t *log;

		CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
		log = cb_log_new(clock, pipe_fds[1], cases[i].format,
				 CB_LOG_LEVEL_INFO);
		cb_log_set_instance(log, "e1");
		cb_log_event(log, CB_EVENT_HTTP_LISTENING,
			     CB_STR("address", "a\"b"), CB_INT("port", 5));
		CU_ASSERT_TRUE(read(pipe_fds[0], text, sizeof(text) - 1) > 0);
		CU_ASSERT_STRING_EQUAL(text, cases[i].line);
		cb_log_delete(log);
		close(pipe_fds[0]);
		close(pipe_fds[1]);
		cb_clock_delete(clock);
	}
}

/* A log that writes to a pipe; the test decides when the pipe is read. */
typedef struct log_fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_log_t *log;
	int read_fd; /* read end of the pipe; -1 once closed */
	int write_fd;
	GString *text; /* everything read from the pipe */
} log_fixture_t;

static void log_fixture_begin_(log_fixture_t *fixture)
{
	int pipe_fds[2];

	CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
	fixture->read_fd = pipe_fds[0];
	fixture->write_fd = pipe_fds[1];
	CU_ASSERT_EQUAL(fcntl(fixture->read_fd, F_SETFL, O_NONBLOCK), 0);
	fixture->clock = cb_clock_new_paused(0);
	fixture->counters = cb_counters_new();
	fixture->log = cb_log_new(fixture->clock, fixture->write_fd,
				  CB_LOG_FORMAT_JSON, CB_LOG_LEVEL_INFO);
	cb_log_set_counters(fixture->log, fixture->counters);
	fixture->text = g_string_new(NULL);
}

static void log_fixture_reader_close_(log_fixture_t *fixture)
{
	close(fixture->read_fd);
	fixture->read_fd = -1;
}

static void log_fixture_end_(log_fixture_t *fixture)
{
	cb_log_delete(fixture->log);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
	if (fixture->read_fd >= 0)
		close(fixture->read_fd);
	close(fixture->write_fd);
	g_string_free(fixture->text, TRUE);
}

/* Reads the pipe until the log has written all that it had buffered. */
static void log_fixture_read_(log_fixture_t *fixture)
{
	char chunk[4096];
	ssize_t size;

	do {
		cb_clock_advance(fixture->clock, 100);
		while ((size = read(fixture->read_fd, chunk, sizeof(chunk))) >
		       0)
			g_string_append_len(fixture->text, chunk, size);
		cb_clock_advance(fixture->clock, 100);
		size = read(fixture->read_fd, chunk, sizeof(chunk));
		if (size > 0)
			g_string_append_len(fixture->text, chunk, size);
	} while (size > 0);
}

static int64_t log_fixture_count_dropped_(const log_fixture_t *fixture,
					  const char *reason)
{
	return cb_counter_get(cb_counters_counter(fixture->counters,
						  "cb_log_lines_dropped_total",
						  "reason", reason));
}

static int64_t occurrences_count_(const GString *text, const char *part)
{
	const char *position = text->str;
	int64_t count = 0;

	while ((position = strstr(position, part))) {
		position += strlen(part);
		count++;
	}
	return count;
}

/* Returns the sum of the numbers that follow each `part` in `text`. */
static int64_t numbers_sum_(const GString *text, const char *part)
{
	const char *position = text->str;
	int64_t sum = 0;

	while ((position = strstr(position, part))) {
		position += strlen(part);
		sum += g_ascii_strtoll(position, NULL, 10);
	}
	return sum;
}

#define JSON_NAME(event) "\"name\":\"" event "\""

/*
 * An event that exceeds its rate must not suppress other events, and the number
 * of suppressed lines must be counted and logged.
 */
static void log_limits_rate_of_each_event(void)
{
	log_fixture_t fixture;
	int i;

	log_fixture_begin_(&fixture);
	for (i = 0; i < 250; i++)
		cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_CONNECTED);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "rate"), 50);
	cb_clock_advance(fixture.clock, 1000);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	log_fixture_read_(&fixture);
	CU_ASSERT_EQUAL(occurrences_count_(fixture.text,
					   JSON_NAME("PEER_LOST")),
			201);
	CU_ASSERT_EQUAL(occurrences_count_(fixture.text,
					   JSON_NAME("PEER_CONNECTED")),
			1);
	CU_ASSERT_EQUAL(occurrences_count_(fixture.text,
					   "\"limited\":\"PEER_LOST\","
					   "\"left_out\":50}"),
			1);
	log_fixture_end_(&fixture);
}

/* Writes `count` lines of an event, slowly enough for its rate limit. */
static void log_fixture_write_lines_(log_fixture_t *fixture, cb_event_t event,
				     int count)
{
	char *text = g_strnfill(1000, 'x');
	int i;

	for (i = 0; i < count; i++) {
		cb_log_event(fixture->log, event, CB_STR("text", text));
		cb_clock_advance(fixture->clock, 10);
	}
	g_free(text);
}

/*
 * When the reader stops reading, lines are dropped, those of low levels first,
 * and their number is logged.  If writing blocked, this test would not end.
 */
static void log_drops_lines_without_blocking(void)
{
	enum {
		LINE_COUNT = 500
	};
	log_fixture_t fixture;
	int64_t dropped_info;
	int64_t dropped_total;

	log_fixture_begin_(&fixture);
	log_fixture_write_lines_(&fixture, CB_EVENT_PEER_CONNECTED, LINE_COUNT);
	dropped_info = log_fixture_count_dropped_(&fixture, "no_room");
	CU_ASSERT_TRUE(dropped_info > 0);
	log_fixture_write_lines_(&fixture, CB_EVENT_PEER_LOST, 50);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "no_room"),
			dropped_info);
	log_fixture_write_lines_(&fixture, CB_EVENT_PEER_LOST, LINE_COUNT);
	dropped_total = log_fixture_count_dropped_(&fixture, "no_room");
	CU_ASSERT_TRUE(dropped_total > dropped_info);
	log_fixture_read_(&fixture);
	log_fixture_write_lines_(&fixture, CB_EVENT_PEER_CONNECTED, 1);
	log_fixture_read_(&fixture);
	CU_ASSERT_EQUAL(
		occurrences_count_(fixture.text, JSON_NAME("PEER_LOST")) +
			occurrences_count_(fixture.text,
					   JSON_NAME("PEER_CONNECTED")) +
			dropped_total,
		2 * LINE_COUNT + 50 + 1);
	CU_ASSERT_EQUAL(numbers_sum_(fixture.text, "\"dropped\":"),
			dropped_total);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "rate"), 0);
	log_fixture_end_(&fixture);
}

/* A closed pipe must not end the process, and its lines are counted. */
static void log_survives_closed_reader(void)
{
	log_fixture_t fixture;

	signal(SIGPIPE, SIG_IGN);
	log_fixture_begin_(&fixture);
	log_fixture_reader_close_(&fixture);
	log_fixture_write_lines_(&fixture, CB_EVENT_PEER_LOST, 3);
	cb_clock_advance(fixture.clock, 100);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "no_room") +
				log_fixture_count_dropped_(&fixture,
							   "reader_gone"),
			3);
	log_fixture_end_(&fixture);
}

/*
 * Lines that were accepted into the buffer before the reader closed must be
 * counted too, although adding them succeeded.
 */
static void log_counts_buffered_lines_lost_on_close(void)
{
	log_fixture_t fixture;

	signal(SIGPIPE, SIG_IGN);
	log_fixture_begin_(&fixture);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	log_fixture_reader_close_(&fixture);
	cb_clock_advance(fixture.clock, 100);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "reader_gone"), 2);
	CU_ASSERT_EQUAL(log_fixture_count_dropped_(&fixture, "no_room"), 1);
	log_fixture_end_(&fixture);
}

/* A value at a bound counts in that bucket, and buckets are cumulative. */
static void histogram_buckets_are_cumulative(void)
{
	cb_counters_t *counters = cb_counters_new();
	cb_histogram_t *histogram =
		cb_counters_histogram(counters, "cb_h_ms", "outcome", "served");
	const char *const expected_lines[] = {
		"# TYPE cb_h_ms histogram\n",
		"cb_h_ms_bucket{outcome=\"served\",le=\"1\"} 1\n",
		"cb_h_ms_bucket{outcome=\"served\",le=\"100\"} 2\n",
		"cb_h_ms_bucket{outcome=\"served\",le=\"50000\"} 3\n",
		"cb_h_ms_bucket{outcome=\"served\",le=\"+Inf\"} 4\n",
		"cb_h_ms_sum{outcome=\"served\"} 70201\n",
		"cb_h_ms_count{outcome=\"served\"} 4\n",
	};
	const int64_t values_ms[] = { 0, 100, 101, 70000 };
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values_ms); i++)
		cb_histogram_add(histogram, values_ms[i]);
	CU_ASSERT_PTR_EQUAL(cb_counters_histogram(counters, "cb_h_ms",
						  "outcome", "served"),
			    histogram);
	text = cb_counters_render(counters);
	for (i = 0; i < G_N_ELEMENTS(expected_lines); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(text, expected_lines[i]));
	g_free(text);
	cb_counters_delete(counters);
}

/* A service that appends its name to `calls` when it is called. */
typedef struct fake_service {
	cb_service_t service;
	GString *calls;
	char name;
} fake_service_t;

static gboolean fake_service_start_(cb_service_t *service, GError **error)
{
	fake_service_t *fake = (fake_service_t *)service;

	(void)error;
	g_string_append_printf(fake->calls, "+%c", fake->name);
	return TRUE;
}

static void fake_service_drain_(cb_service_t *service)
{
	fake_service_t *fake = (fake_service_t *)service;

	g_string_append_printf(fake->calls, "-%c", fake->name);
}

static void fake_service_destroy_(cb_service_t *service)
{
	g_free(service);
}

static void fake_service_reload_(cb_service_t *service)
{
	fake_service_t *fake = (fake_service_t *)service;

	g_string_append_printf(fake->calls, "~%c", fake->name);
}

static const cb_service_vtable_t fake_vtable = {
	.start = fake_service_start_,
	.drain = fake_service_drain_,
	.reload = fake_service_reload_,
	.destroy = fake_service_destroy_,
};

static fake_service_t *fake_service_new_(GString *calls, char name)
{
	fake_service_t *fake = g_new0(fake_service_t, 1);

	fake->service.vtable = &fake_vtable;
	fake->calls = calls;
	fake->name = name;
	return fake;
}

/* A service must not drain before all that were registered after it. */
static void kernel_drains_services_in_reverse_order(void)
{
	GString *calls = g_string_new(NULL);
	cb_clock_t *clock = cb_clock_new_paused(0);
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, NULL);
	fake_service_t *a = fake_service_new_(calls, 'a');
	fake_service_t *b = fake_service_new_(calls, 'b');

	cb_kernel_register(kernel, "a", &a->service);
	cb_kernel_register(kernel, "b", &b->service);
	CU_ASSERT_PTR_EQUAL(cb_kernel_find(kernel, "b"), &b->service);
	CU_ASSERT_PTR_NULL(cb_kernel_find(kernel, "c"));
	CU_ASSERT_TRUE(cb_kernel_start(kernel, NULL));
	cb_kernel_drain(kernel);
	CU_ASSERT_STRING_EQUAL(calls->str, "+a+b-b");
	CU_ASSERT_FALSE(cb_kernel_is_drained(kernel));
	cb_kernel_service_drained(kernel, &b->service);
	CU_ASSERT_STRING_EQUAL(calls->str, "+a+b-b-a");
	cb_kernel_service_drained(kernel, &a->service);
	CU_ASSERT_TRUE(cb_kernel_is_drained(kernel));
	cb_kernel_delete(kernel);
	cb_clock_delete(clock);
	g_string_free(calls, TRUE);
}

/* Services reload in order of registration. */
static void kernel_reloads_each_service(void)
{
	GString *calls = g_string_new(NULL);
	cb_clock_t *clock = cb_clock_new_paused(0);
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, NULL);

	cb_kernel_register(kernel, "a",
			   &fake_service_new_(calls, 'a')->service);
	cb_kernel_register(kernel, "b",
			   &fake_service_new_(calls, 'b')->service);
	cb_kernel_reload(kernel);
	CU_ASSERT_STRING_EQUAL(calls->str, "~a~b");
	cb_kernel_delete(kernel);
	cb_clock_delete(clock);
	g_string_free(calls, TRUE);
}

static CU_TestInfo kernel_tests[] = {
	{ "timers_fire_in_order", timers_fire_in_order },
	{ "sooner_start_does_not_put_timer_off",
	  sooner_start_does_not_put_timer_off },
	{ "stopped_timer_does_not_fire", stopped_timer_does_not_fire },
	{ "counters_render_sorted_by_name", counters_render_sorted_by_name },
	{ "settings_errors_name_field_and_reason",
	  settings_errors_name_field_and_reason },
	{ "log_writes_text_and_json", log_writes_text_and_json },
	{ "log_limits_rate_of_each_event", log_limits_rate_of_each_event },
	{ "log_drops_lines_without_blocking",
	  log_drops_lines_without_blocking },
	{ "log_survives_closed_reader", log_survives_closed_reader },
	{ "log_counts_buffered_lines_lost_on_close",
	  log_counts_buffered_lines_lost_on_close },
	{ "histogram_buckets_are_cumulative",
	  histogram_buckets_are_cumulative },
	{ "kernel_drains_services_in_reverse_order",
	  kernel_drains_services_in_reverse_order },
	{ "kernel_reloads_each_service", kernel_reloads_each_service },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "kernel", .pTests = kernel_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
