#include "support_main.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/kernel.h"
#include "currantbridge/settings.h"

typedef struct fired {
	cb_clock_t *clock;
	GString *order;
	cb_timer_t *timer;
	char name;
} fired_t;

static void record_(void *user_data)
{
	fired_t *fired = user_data;

	g_string_append_printf(fired->order, "%c%" G_GINT64_FORMAT " ",
			       fired->name, cb_clock_now_ms(fired->clock));
}

/* Timers fire in order of deadline, each at its own time. */
static void timers_fire_in_order(void)
{
	cb_clock_t *clock = cb_clock_new_paused(100);
	GString *order = g_string_new(NULL);
	fired_t fired[3];
	const int64_t delay_ms[] = { 30, 10, 10 };
	int i;

	for (i = 0; i < 3; i++) {
		fired[i] = (fired_t){ clock, order, NULL, (char)('a' + i) };
		fired[i].timer = cb_timer_new(clock, record_, &fired[i]);
		cb_timer_start(fired[i].timer, delay_ms[i]);
	}
	cb_clock_advance(clock, 9);
	CU_ASSERT_STRING_EQUAL(order->str, "");
	CU_ASSERT_EQUAL(cb_clock_next_deadline_ms(clock), 110);
	cb_clock_advance(clock, 21);
	CU_ASSERT_STRING_EQUAL(order->str, "b110 c110 a130 ");
	CU_ASSERT_EQUAL(cb_clock_next_deadline_ms(clock), -1);
	for (i = 0; i < 3; i++)
		cb_timer_delete(fired[i].timer);
	g_string_free(order, TRUE);
	cb_clock_delete(clock);
}

static void stopped_timer_does_not_fire(void)
{
	cb_clock_t *clock = cb_clock_new_paused(0);
	GString *order = g_string_new(NULL);
	fired_t fired = { clock, order, NULL, 'a' };

	fired.timer = cb_timer_new(clock, record_, &fired);
	cb_timer_start(fired.timer, 5);
	cb_timer_stop(fired.timer);
	cb_clock_advance(clock, 10);
	CU_ASSERT_STRING_EQUAL(order->str, "");
	cb_timer_start(fired.timer, 5);
	cb_timer_start(fired.timer, 7);
	cb_clock_advance(clock, 10);
	CU_ASSERT_STRING_EQUAL(order->str, "a17 ");
	cb_timer_delete(fired.timer);
	g_string_free(order, TRUE);
	cb_clock_delete(clock);
}

static void counters_render_by_name(void)
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

typedef struct example {
	char *listen;
	char **peers;
	int64_t limit;
	gboolean is_on;
	char *level;
} example_t;

static const char *const level_words[] = { "low", "high", NULL };

static const cb_setting_t example_table[] = {
	{ "listen", CB_SETTING_ADDRESS, offsetof(example_t, listen), TRUE, 0, 0,
	  NULL, NULL },
	{ "peers", CB_SETTING_ADDRESSES, offsetof(example_t, peers), FALSE, 0,
	  0, NULL, NULL },
	{ "limit", CB_SETTING_INTEGER, offsetof(example_t, limit), FALSE, 1, 9,
	  "3", NULL },
	{ "is_on", CB_SETTING_BOOLEAN, offsetof(example_t, is_on), FALSE, 0, 0,
	  "true", NULL },
	{ "level", CB_SETTING_STRING, offsetof(example_t, level), FALSE, 0, 0,
	  "low", level_words },
};

/* Each bad text gives an error that names the field and the reason. */
static void settings_name_field_and_reason(void)
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
		{ "[]", "settings: must be one JSON object" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		example_t example = { 0 };
		GError *error = NULL;

		cb_settings_parse(cases[i].text, example_table,
				  G_N_ELEMENTS(example_table), &example,
				  &error);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		g_clear_error(&error);
		cb_settings_clear(example_table, G_N_ELEMENTS(example_table),
				  &example);
	}
}

static void log_writes_both_formats(void)
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
		cb_log_name(log, "e1");
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

/* A log into a pipe that is read when the test likes. */
typedef struct log_fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_log_t *log;
	int reader;
	int writer;
	GString *text; /* what was read */
} log_fixture_t;

static void log_fixture_begin_(log_fixture_t *fixture)
{
	int pipe_fds[2];

	CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
	fixture->reader = pipe_fds[0];
	fixture->writer = pipe_fds[1];
	CU_ASSERT_EQUAL(fcntl(fixture->reader, F_SETFL, O_NONBLOCK), 0);
	fixture->clock = cb_clock_new_paused(0);
	fixture->counters = cb_counters_new();
	fixture->log = cb_log_new(fixture->clock, fixture->writer,
				  CB_LOG_FORMAT_JSON, CB_LOG_LEVEL_INFO);
	cb_log_set_counters(fixture->log, fixture->counters);
	fixture->text = g_string_new(NULL);
}

/* The reader goes for good. */
static void log_fixture_close_(log_fixture_t *fixture)
{
	close(fixture->reader);
	fixture->reader = -1;
}

static void log_fixture_end_(log_fixture_t *fixture)
{
	cb_log_delete(fixture->log);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
	if (fixture->reader >= 0)
		close(fixture->reader);
	close(fixture->writer);
	g_string_free(fixture->text, TRUE);
}

/* Reads what is there, and lets the log write what it has kept. */
static void log_fixture_read_(log_fixture_t *fixture)
{
	char piece[4096];
	ssize_t size;

	do {
		cb_clock_advance(fixture->clock, 100);
		while ((size = read(fixture->reader, piece, sizeof(piece))) > 0)
			g_string_append_len(fixture->text, piece, size);
		cb_clock_advance(fixture->clock, 100);
		size = read(fixture->reader, piece, sizeof(piece));
		if (size > 0)
			g_string_append_len(fixture->text, piece, size);
	} while (size > 0);
}

static int64_t log_fixture_dropped_(const log_fixture_t *fixture,
				    const char *reason)
{
	return cb_counter_get(cb_counters_counter(fixture->counters,
						  "cb_log_lines_dropped_total",
						  "reason", reason));
}

static int64_t lines_with_(const GString *text, const char *part)
{
	const char *at = text->str;
	int64_t count = 0;

	while ((at = strstr(at, part))) {
		at += strlen(part);
		count++;
	}
	return count;
}

/* Returns the sum of the numbers that follow `part`. */
static int64_t numbers_sum_(const GString *text, const char *part)
{
	const char *at = text->str;
	int64_t sum = 0;

	while ((at = strstr(at, part))) {
		at += strlen(part);
		sum += g_ascii_strtoll(at, NULL, 10);
	}
	return sum;
}

#define NAME(event) "\"name\":\"" event "\""

/* Each event has its own rate, and what it leaves out is told. */
static void log_bounds_its_rate(void)
{
	log_fixture_t fixture;
	int i;

	log_fixture_begin_(&fixture);
	for (i = 0; i < 250; i++)
		cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_CONNECTED);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "rate"), 50);
	cb_clock_advance(fixture.clock, 1000);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	log_fixture_read_(&fixture);
	CU_ASSERT_EQUAL(lines_with_(fixture.text, NAME("PEER_LOST")), 201);
	CU_ASSERT_EQUAL(lines_with_(fixture.text, NAME("PEER_CONNECTED")), 1);
	CU_ASSERT_EQUAL(lines_with_(fixture.text, "\"limited\":\"PEER_LOST\","
						  "\"left_out\":50}"),
			1);
	log_fixture_end_(&fixture);
}

/* Writes `count` lines of an event, as fast as its rate allows. */
static void log_fixture_write_(log_fixture_t *fixture, cb_event_t event,
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
 * A reader that has stopped costs lines, those of lower levels first, and no
 * time: this test would not end.  The lines that are missing are told.
 */
static void log_never_waits(void)
{
	enum {
		LINES = 500
	};
	log_fixture_t fixture;
	int64_t routine;
	int64_t dropped;

	log_fixture_begin_(&fixture);
	log_fixture_write_(&fixture, CB_EVENT_PEER_CONNECTED, LINES);
	routine = log_fixture_dropped_(&fixture, "no_room");
	CU_ASSERT_TRUE(routine > 0);
	log_fixture_write_(&fixture, CB_EVENT_PEER_LOST, 50);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "no_room"), routine);
	log_fixture_write_(&fixture, CB_EVENT_PEER_LOST, LINES);
	dropped = log_fixture_dropped_(&fixture, "no_room");
	CU_ASSERT_TRUE(dropped > routine);
	log_fixture_read_(&fixture);
	log_fixture_write_(&fixture, CB_EVENT_PEER_CONNECTED, 1);
	log_fixture_read_(&fixture);
	CU_ASSERT_EQUAL(lines_with_(fixture.text, NAME("PEER_LOST")) +
				lines_with_(fixture.text,
					    NAME("PEER_CONNECTED")) +
				dropped,
			2 * LINES + 50 + 1);
	CU_ASSERT_EQUAL(numbers_sum_(fixture.text, "\"dropped\":"), dropped);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "rate"), 0);
	log_fixture_end_(&fixture);
}

/* A reader that is gone for good: lines are counted, and nothing ends. */
static void log_bears_a_gone_reader(void)
{
	log_fixture_t fixture;

	signal(SIGPIPE, SIG_IGN);
	log_fixture_begin_(&fixture);
	log_fixture_close_(&fixture);
	log_fixture_write_(&fixture, CB_EVENT_PEER_LOST, 3);
	cb_clock_advance(fixture.clock, 100);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "no_room") +
				log_fixture_dropped_(&fixture, "reader_gone"),
			3);
	log_fixture_end_(&fixture);
}

/* Lines that were kept when the reader went are counted as well. */
static void log_counts_lines_lost_with_their_reader(void)
{
	log_fixture_t fixture;

	signal(SIGPIPE, SIG_IGN);
	log_fixture_begin_(&fixture);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	log_fixture_close_(&fixture);
	cb_clock_advance(fixture.clock, 100);
	cb_log_event(fixture.log, CB_EVENT_PEER_LOST);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "reader_gone"), 2);
	CU_ASSERT_EQUAL(log_fixture_dropped_(&fixture, "no_room"), 1);
	log_fixture_end_(&fixture);
}

/* Buckets count what is at most their bound, each with those below it. */
static void histograms_render_buckets(void)
{
	cb_counters_t *counters = cb_counters_new();
	cb_histogram_t *histogram =
		cb_counters_histogram(counters, "cb_h_ms", "outcome", "served");
	const char *const parts[] = {
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
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(text, parts[i]));
	g_free(text);
	cb_counters_delete(counters);
}

typedef struct fake_service {
	cb_service_t service;
	GString *calls;
	char name;
} fake_service_t;

static gboolean fake_start_(cb_service_t *service, GError **error)
{
	fake_service_t *fake = (fake_service_t *)service;

	(void)error;
	g_string_append_printf(fake->calls, "+%c", fake->name);
	return TRUE;
}

static void fake_drain_(cb_service_t *service)
{
	fake_service_t *fake = (fake_service_t *)service;

	g_string_append_printf(fake->calls, "-%c", fake->name);
}

static void fake_destroy_(cb_service_t *service)
{
	g_free(service);
}

static void fake_reload_(cb_service_t *service)
{
	fake_service_t *fake = (fake_service_t *)service;

	g_string_append_printf(fake->calls, "~%c", fake->name);
}

static const cb_service_vtable_t fake_vtable = {
	.start = fake_start_,
	.drain = fake_drain_,
	.reload = fake_reload_,
	.destroy = fake_destroy_,
};

static fake_service_t *fake_service_new_(GString *calls, char name)
{
	fake_service_t *fake = g_new0(fake_service_t, 1);

	fake->service.vtable = &fake_vtable;
	fake->calls = calls;
	fake->name = name;
	return fake;
}

/* A service drains only after all that were registered behind it. */
static void kernel_drains_in_reverse(void)
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
	cb_kernel_drained(kernel, &b->service);
	CU_ASSERT_STRING_EQUAL(calls->str, "+a+b-b-a");
	cb_kernel_drained(kernel, &a->service);
	CU_ASSERT_TRUE(cb_kernel_is_drained(kernel));
	cb_kernel_delete(kernel);
	cb_clock_delete(clock);
	g_string_free(calls, TRUE);
}

/* Every service reads its settings again, in the order of registration. */
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
	{ "stopped_timer_does_not_fire", stopped_timer_does_not_fire },
	{ "counters_render_by_name", counters_render_by_name },
	{ "settings_name_field_and_reason", settings_name_field_and_reason },
	{ "log_writes_both_formats", log_writes_both_formats },
	{ "log_bounds_its_rate", log_bounds_its_rate },
	{ "log_never_waits", log_never_waits },
	{ "log_bears_a_gone_reader", log_bears_a_gone_reader },
	{ "log_counts_lines_lost_with_their_reader",
	  log_counts_lines_lost_with_their_reader },
	{ "histograms_render_buckets", histograms_render_buckets },
	{ "kernel_drains_in_reverse", kernel_drains_in_reverse },
	{ "kernel_reloads_each_service", kernel_reloads_each_service },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "kernel", .pTests = kernel_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
