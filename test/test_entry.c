#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "currantbridge/program.h"
#include "support_entry.h"
#include "support_main.h"

/*
 * An entry instance as a real process, with HTTP clients (callers), simulated
 * engines and one control instance.
 */
#define STREAM_TIMEOUT_MS 60000
#define STREAM_COUNT 50
#define STREAM_TOKENS 40
/* Shortens drains, which last at least as long as the address TTL. */
#define SHORT_TTL_SETTINGS "\"address_ttl_ms\":1000,\"max_body_bytes\":10000"
/* For drains in which much is done before the address TTL is over. */
#define LONG_TTL_MS 4000
#define LONG_TTL_SETTINGS "\"address_ttl_ms\":4000"
#define LATE_STREAM_COUNT 10
#define ENGINE_ARGUMENTS "--model ruling --layers 4 --capacity 200 --token-ms "
/* Arguments of an engine that takes 20 ms per token. */
#define DEFAULT_ENGINE ENGINE_ARGUMENTS "20"

/* A control instance, an entry instance and up to three engines. */
typedef struct fixture {
	support_group_t *group;
	support_daemon_t *entry;
	support_backend_t *engines[3];
	int engine_count;
} fixture_t;

static void fixture_init_(fixture_t *fixture, const char *settings,
			  const char *arguments, int engine_count)
{
	support_daemon_t *entries[2] = { NULL, NULL };
	int i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->group = support_group_new(1, NULL);
	CU_ASSERT_TRUE_FATAL(support_wait_leader(fixture->group, 20000));
	support_contract_put(fixture->group, NULL);
	fixture->entry =
		support_entry_start(fixture->group, "entry1", settings);
	CU_ASSERT_TRUE_FATAL(support_wait_ready(fixture->entry));
	entries[0] = fixture->entry;
	fixture->engine_count = engine_count;
	for (i = 0; i < engine_count; i++) {
		char *name = g_strdup_printf("engine%d", i + 1);

		fixture->engines[i] =
			support_backend_start(fixture->group, name, entries,
					      arguments);
		g_free(name);
	}
	CU_ASSERT_TRUE_FATAL(
		support_wait_ready_servers(fixture->entry, engine_count));
}

static void fixture_clear_(fixture_t *fixture)
{
	int i;

	for (i = 0; i < fixture->engine_count; i++)
		support_backend_delete(fixture->engines[i]);
	support_group_delete(fixture->group);
}

static void streams_start_(const fixture_t *fixture, support_stream_t **streams,
			   int count, const char *prefix)
{
	int i;

	for (i = 0; i < count; i++) {
		char *prompt = g_strdup_printf("%s%d", prefix, i);

		streams[i] = support_stream_start(fixture->entry->http, prompt,
						  STREAM_TOKENS);
		g_free(prompt);
	}
}

/* Waits for and frees the streams; returns how many were complete. */
static int streams_finish_(support_stream_t **streams, int count)
{
	int complete_count = 0;
	int i;

	support_wait_streams(streams, (size_t)count, STREAM_TIMEOUT_MS);
	for (i = 0; i < count; i++) {
		complete_count += support_stream_is_complete(streams[i]);
		support_stream_delete(streams[i]);
	}
	return complete_count;
}

typedef struct awaited_tokens {
	support_stream_t **streams;
	int count;
	unsigned int tokens;
} awaited_tokens_t;

static gboolean streams_have_tokens_(void *user_data)
{
	awaited_tokens_t *awaited = user_data;
	int i;

	for (i = 0; i < awaited->count; i++) {
		if (support_stream_event_count(awaited->streams[i]) <
		    awaited->tokens)
			return FALSE;
	}
	return TRUE;
}

/* Waits until each stream has received at least `tokens` tokens. */
static gboolean streams_wait_tokens_(support_stream_t **streams, int count,
				     unsigned int tokens)
{
	awaited_tokens_t awaited = { streams, count, tokens };

	return support_wait_until(streams_have_tokens_, &awaited,
				  STREAM_TIMEOUT_MS);
}

#define AUTHORIZED_HEADERS \
	"Host: x\r\nAuthorization: Bearer " SUPPORT_KEY "\r\n"
#define POST_COMPLETION "POST /v1/completions HTTP/1.1\r\nConnection: close\r\n"
#define BODY_OF_SIZE(text, size) "Content-Length: " size "\r\n\r\n" text

/* Requests that are refused, each as the bytes that a caller sends. */
static const struct {
	const char *name;
	const char *request;
	/*
	 * Whether the caller, having sent the bytes, closes its sending
	 * direction.
	 */
	gboolean closes_output;
	const char *status;
	const char *reason;
} bad_requests[] = {
	{ "not JSON", POST_COMPLETION AUTHORIZED_HEADERS BODY_OF_SIZE("{", "1"),
	  FALSE, " 400 ", "malformed" },
	{ "field of a wrong type",
	  POST_COMPLETION AUTHORIZED_HEADERS BODY_OF_SIZE("{\"model\":1}",
							  "11"),
	  FALSE, " 400 ", "malformed" },
	{ "body cut short",
	  POST_COMPLETION AUTHORIZED_HEADERS BODY_OF_SIZE("{", "100"), TRUE,
	  " 400 ", "malformed" },
	{ "body too large by its header",
	  POST_COMPLETION AUTHORIZED_HEADERS BODY_OF_SIZE("", "10001"), FALSE,
	  " 413 ", "body_too_large" },
	{ "body too large in one chunk",
	  POST_COMPLETION AUTHORIZED_HEADERS
	  "Transfer-Encoding: chunked\r\n\r\n2711\r\n"
	  "%10001s\r\n",
	  FALSE, " 413 ", "body_too_large" },
	{ "no key", POST_COMPLETION "Host: x\r\n" BODY_OF_SIZE("{}", "2"),
	  FALSE, " 401 ", "key_missing" },
	{ "wrong key",
	  POST_COMPLETION
	  "Host: x\r\nAuthorization: Bearer k\r\n" BODY_OF_SIZE("{}", "2"),
	  FALSE, " 401 ", "key_unknown" },
	{ "unknown model",
	  POST_COMPLETION AUTHORIZED_HEADERS
		  BODY_OF_SIZE("{\"model\":\"a\",\"prompt\":\"b\"}", "26"),
	  FALSE, " 404 ", "model_unknown" },
	{ "unknown service",
	  "GET /v1/services/none/x HTTP/1.1\r\nConnection: close\r\n" AUTHORIZED_HEADERS
	  "\r\n",
	  FALSE, " 404 ", "service_unknown" },
	{ "no idempotency key",
	  "POST /v1/services/bookings/x HTTP/1.1\r\n"
	  "Connection: close\r\n" AUTHORIZED_HEADERS BODY_OF_SIZE("{}", "2"),
	  FALSE, " 400 ", "idempotency_key_missing" },
	{ "unknown path",
	  "GET /v2 HTTP/1.1\r\nConnection: close\r\nHost: x\r\n\r\n", FALSE,
	  " 404 ", "path_unknown" },
	{ "wrong method",
	  "GET /v1/completions HTTP/1.1\r\nConnection: close\r\n"
	  "Host: x\r\n\r\n",
	  FALSE, " 405 ", "method_not_allowed" },
	{ "header line without a colon", "GET / HTTP/1.1\r\nnone\r\n\r\n",
	  FALSE, " 400 ", "header_invalid" },
	{ "no HTTP at all", "hello\r\n\r\n", FALSE, " 400 ", "header_invalid" },
	{ "no host", "GET / HTTP/1.1\r\n\r\n", FALSE, " 400 ",
	  "header_invalid" },
	{ "header cut short", POST_COMPLETION "Host: x\r\nAuthor", TRUE,
	  " 400 ", "header_invalid" },
};

/*
 * Each bad request is answered with JSON that says "executed":"no", increments
 * its counter by one and does not disturb the running streams.
 */
static void bad_requests_are_refused_and_counted(void)
{
	support_stream_t *streams[STREAM_COUNT];
	char padding[10002];
	fixture_t fixture;
	size_t i;

	memset(padding, 'x', sizeof(padding) - 1);
	padding[sizeof(padding) - 1] = '\0';
	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 1);
	streams_start_(&fixture, streams, STREAM_COUNT, "s");
	for (i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
		const char *address = fixture.entry->http;
		char *series =
			g_strdup_printf("cb_refusals_total{reason=\"%s\"}",
					bad_requests[i].reason);
		char *error = g_strdup_printf("{\"error\":{\"reason\":\"%s\"",
					      bad_requests[i].reason);
		char **parts =
			g_strsplit(bad_requests[i].request, "%10001s", 2);
		char *request = g_strjoinv(padding, parts);
		int64_t before = support_metric_value(address, series);
		char *answer =
			support_raw_exchange(address, request, strlen(request),
					     bad_requests[i].closes_output);
		gboolean is_expected = strstr(answer, bad_requests[i].status) &&
				       strstr(answer, error) &&
				       strstr(answer, "\"executed\":\"no\"}}");

		CU_ASSERT_TRUE(before >= 0);
		CU_ASSERT_TRUE(
			support_wait_metric(address, series, before + 1));
		CU_ASSERT_TRUE(is_expected);
		if (!is_expected)
			printf("    %s: %s\n", bad_requests[i].name, answer);
		g_free(answer);
		g_free(request);
		g_strfreev(parts);
		g_free(error);
		g_free(series);
	}
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	fixture_clear_(&fixture);
}

/*
 * After SIGTERM running streams are completed, and new requests are served
 * until the address TTL is over.
 */
static void sigterm_ends_no_running_stream(void)
{
	support_stream_t *streams[STREAM_COUNT];
	support_stream_t *late;
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 2);
	streams_start_(&fixture, streams, STREAM_COUNT, "s");
	CU_ASSERT_TRUE(streams_wait_tokens_(streams, STREAM_COUNT, 2));
	support_daemon_signal(fixture.entry, SIGTERM);
	late = support_stream_start(fixture.entry->http, "late", STREAM_TOKENS);
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	CU_ASSERT_EQUAL(streams_finish_(&late, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(fixture.entry), 0);
	fixture_clear_(&fixture);
}

/* Returns whether the instance is missing from the answer to an address request. */
static gboolean entry_has_left_(void *user_data)
{
	support_daemon_t *entry = user_data;
	char *answer = NULL;
	gboolean has_left =
		support_http_request("GET", entry->http,
				     "/v1/addresses?workspace=handicap", NULL,
				     &answer) == 200 &&
		!strstr(answer, entry->http);

	g_free(answer);
	return has_left;
}

/*
 * A leaving instance to which control granted no lease, as a leader that was just
 * elected does, let new requests wait for 2 s and refused them with 429.
 */
static void leaving_instance_serves_without_leases(void)
{
	support_stream_t *streams[LATE_STREAM_COUNT];
	fixture_t fixture;

	fixture_init_(&fixture, LONG_TTL_SETTINGS, DEFAULT_ENGINE, 2);
	streams_start_(&fixture, streams, 1, "first");
	CU_ASSERT_EQUAL(streams_finish_(streams, 1), 1);
	support_daemon_signal(fixture.entry, SIGTERM);
	CU_ASSERT_TRUE(support_wait_until(entry_has_left_, fixture.entry,
					  LONG_TTL_MS / 2));
	support_daemon_signal(fixture.group->control[0], SIGSTOP);
	streams_start_(&fixture, streams, LATE_STREAM_COUNT, "late");
	CU_ASSERT_EQUAL(streams_finish_(streams, LATE_STREAM_COUNT),
			LATE_STREAM_COUNT);
	support_daemon_signal(fixture.group->control[0], SIGCONT);
	CU_ASSERT_EQUAL(support_daemon_wait(fixture.entry), 0);
	fixture_clear_(&fixture);
}

static gboolean entry_refuses_as_leaving_(void *user_data)
{
	support_daemon_t *entry = user_data;
	char *answer = NULL;
	gboolean is_leaving =
		support_http_request("POST", entry->http, "/v1/completions",
				     "{}", &answer) == 503 &&
		strstr(answer, "\"leaving\"");

	g_free(answer);
	return is_leaving;
}

/*
 * Once the address TTL is over, new requests are refused while running streams
 * are completed.
 */
static void drained_instance_refuses_new_requests(void)
{
	support_stream_t *stream;
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 1);
	stream = support_stream_start(fixture.entry->http, "s", 200);
	CU_ASSERT_TRUE(streams_wait_tokens_(&stream, 1, 1));
	support_daemon_signal(fixture.entry, SIGTERM);
	CU_ASSERT_TRUE(support_wait_until(entry_refuses_as_leaving_,
					  fixture.entry, 3500));
	CU_ASSERT_FALSE(stream->is_over);
	CU_ASSERT_EQUAL(streams_finish_(&stream, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(fixture.entry), 0);
	fixture_clear_(&fixture);
}

/* An announced stop of the instance starts the same drain as SIGTERM. */
static void announced_stop_drains_instance(void)
{
	support_stream_t *stream;
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 1);
	stream = support_stream_start(fixture.entry->http, "s", STREAM_TOKENS);
	CU_ASSERT_TRUE(streams_wait_tokens_(&stream, 1, 1));
	CU_ASSERT_TRUE(
		support_stop_announce(fixture.group, "instance", "entry1"));
	CU_ASSERT_EQUAL(streams_finish_(&stream, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(fixture.entry), 0);
	fixture_clear_(&fixture);
}

/* Every stream of a killed engine is completed by the other engines. */
static void streams_survive_a_killed_engine(void)
{
	support_stream_t *streams[STREAM_COUNT];
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 3);
	streams_start_(&fixture, streams, STREAM_COUNT, "s");
	CU_ASSERT_TRUE(streams_wait_tokens_(streams, STREAM_COUNT, 5));
	support_backend_signal(fixture.engines[0], SIGKILL);
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	fixture_clear_(&fixture);
}

/*
 * Streams in flight are completed by the server whose stop is announced; later
 * streams are routed to other servers.
 */
static void server_with_announced_stop_gets_no_new_request(void)
{
	support_stream_t *streams[STREAM_COUNT];
	unsigned int effect_count;
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, DEFAULT_ENGINE, 2);
	streams_start_(&fixture, streams, STREAM_COUNT, "s");
	CU_ASSERT_TRUE(streams_wait_tokens_(streams, STREAM_COUNT, 2));
	CU_ASSERT_TRUE(
		support_stop_announce(fixture.group, "server", "engine1"));
	CU_ASSERT_TRUE(
		support_wait_metric(fixture.entry->http,
				    "cb_backend_servers{state=\"leaving\"}",
				    1));
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	effect_count = support_backend_effect_count(fixture.engines[0]);
	CU_ASSERT_TRUE(effect_count > 0);
	streams_start_(&fixture, streams, STREAM_COUNT, "t");
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	CU_ASSERT_EQUAL(support_backend_effect_count(fixture.engines[0]),
			effect_count);
	fixture_clear_(&fixture);
}

/*
 * Starts, serves 100 requests and stops: with a sanitizer, a leak makes the
 * exit code differ from 0.
 */
static void hundred_requests_leak_no_memory(void)
{
	support_stream_t *streams[STREAM_COUNT];
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS, ENGINE_ARGUMENTS "1", 1);
	streams_start_(&fixture, streams, STREAM_COUNT, "s");
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	streams_start_(&fixture, streams, STREAM_COUNT, "t");
	CU_ASSERT_EQUAL(streams_finish_(streams, STREAM_COUNT), STREAM_COUNT);
	CU_ASSERT_EQUAL(support_daemon_stop(fixture.entry), 0);
	fixture_clear_(&fixture);
}

/*
 * A caller that disconnects frees its engine, whether before the first token or
 * after it.
 */
static void disconnected_caller_cancels_generation(void)
{
	static const struct {
		const char *arguments;
		unsigned int tokens;
	} cases[] = { { ENGINE_ARGUMENTS "20", 2 },
		      { ENGINE_ARGUMENTS "3000", 0 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		support_stream_t *stream;
		unsigned int effect_count;
		fixture_t fixture;

		fixture_init_(&fixture, SHORT_TTL_SETTINGS, cases[i].arguments,
			      1);
		stream = support_stream_start(fixture.entry->http, "s", 2000);
		CU_ASSERT_TRUE(support_wait_metric(fixture.entry->http,
						   "cb_requests_open", 1));
		CU_ASSERT_TRUE(
			streams_wait_tokens_(&stream, 1, cases[i].tokens));
		support_stream_disconnect(stream);
		CU_ASSERT_TRUE(
			support_wait_metric(fixture.entry->http,
					    "cb_requests_abandoned_total", 1));
		CU_ASSERT_EQUAL(support_metric_value(fixture.entry->http,
						     "cb_requests_open"),
				0);
		effect_count = support_backend_effect_count(fixture.engines[0]);
		CU_ASSERT_TRUE(effect_count < 2000);
		support_stream_delete(stream);
		fixture_clear_(&fixture);
	}
}

/*
 * A caller that reads nothing is disconnected, so that its unread bytes don't
 * use up memory; another caller is served meanwhile.
 */
static void slow_caller_is_disconnected(void)
{
	static const char body[] = "{\"model\":\"ruling\",\"prompt\":\"slow\","
				   "\"max_tokens\":900000,\"stream\":true}";
	char *request = g_strdup_printf(POST_COMPLETION AUTHORIZED_HEADERS
					"Content-Length: %zu\r\n\r\n%s",
					strlen(body), body);
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	support_stream_t *stream;
	fixture_t fixture;

	fixture_init_(&fixture, SHORT_TTL_SETTINGS ",\"max_unread_bytes\":4096",
		      ENGINE_ARGUMENTS "0", 1);
	connection =
		g_socket_client_connect_to_host(client, fixture.entry->http, 0,
						NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
	g_socket_set_option(g_socket_connection_get_socket(connection),
			    SOL_SOCKET, SO_RCVBUF, 4096, NULL);
	g_socket_send(g_socket_connection_get_socket(connection), request,
		      strlen(request), NULL, NULL);
	stream = support_stream_start(fixture.entry->http, "s", STREAM_TOKENS);
	CU_ASSERT_EQUAL(streams_finish_(&stream, 1), 1);
	CU_ASSERT_TRUE(support_wait_metric(
		fixture.entry->http,
		"cb_refusals_total{reason=\"caller_too_slow\"}", 1));
	CU_ASSERT_TRUE(support_wait_metric(fixture.entry->http,
					   "cb_requests_open", 0));
	g_object_unref(connection);
	g_object_unref(client);
	g_free(request);
	fixture_clear_(&fixture);
}

/* Without a confirmed configuration all requests are refused. */
static void unconfirmed_instance_refuses_requests(void)
{
	static const char keyed_call[] =
		"POST /v1/services/bookings/lodge HTTP/1.1\r\n"
		"Host: entry\r\nAuthorization: Bearer " SUPPORT_KEY "\r\n"
		"Idempotency-Key: k\r\nContent-Length: 0\r\n"
		"Connection: close\r\n\r\n";
	support_group_t *group = support_group_new(1, NULL);
	support_daemon_t *entry;
	char *answer = NULL;

	support_daemon_kill(group->control[0]);
	entry = support_entry_start(group, "entry1", SHORT_TTL_SETTINGS);
	CU_ASSERT_TRUE(support_wait_metric(
		entry->http, "cb_refusals_total{reason=\"not_ready\"}", 0));
	CU_ASSERT_EQUAL(support_http_request("GET", entry->http, "/readyz",
					     NULL, NULL),
			503);
	CU_ASSERT_EQUAL(support_http_request("POST", entry->http,
					     "/v1/completions", "{}", &answer),
			503);
	CU_ASSERT_PTR_NOT_NULL(answer ? strstr(answer, "\"not_ready\"") : NULL);
	CU_ASSERT_EQUAL(
		support_metric_value(entry->http,
				     "cb_refusals_total{reason=\"not_ready\"}"),
		1);
	CU_ASSERT_PTR_NOT_NULL(answer ? strstr(answer, "\"executed\":\"no\"") :
					NULL);
	g_free(answer);
	/* An earlier call with this key may have been executed: there is no
	 * control instance to query. */
	answer = support_raw_exchange(entry->http, keyed_call,
				      strlen(keyed_call), TRUE);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, "\"executed\":\"unknown\""));
	CU_ASSERT_EQUAL(support_daemon_stop(entry), 0);
	g_free(answer);
	support_group_delete(group);
}

static CU_TestInfo entry_tests[] = {
	{ "bad_requests_are_refused_and_counted",
	  bad_requests_are_refused_and_counted },
	{ "sigterm_ends_no_running_stream", sigterm_ends_no_running_stream },
	{ "leaving_instance_serves_without_leases",
	  leaving_instance_serves_without_leases },
	{ "drained_instance_refuses_new_requests",
	  drained_instance_refuses_new_requests },
	{ "announced_stop_drains_instance", announced_stop_drains_instance },
	{ "streams_survive_a_killed_engine", streams_survive_a_killed_engine },
	{ "server_with_announced_stop_gets_no_new_request",
	  server_with_announced_stop_gets_no_new_request },
	{ "hundred_requests_leak_no_memory", hundred_requests_leak_no_memory },
	{ "disconnected_caller_cancels_generation",
	  disconnected_caller_cancels_generation },
	{ "slow_caller_is_disconnected", slow_caller_is_disconnected },
	{ "unconfirmed_instance_refuses_requests",
	  unconfirmed_instance_refuses_requests },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "entry", .pTests = entry_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	g_set_prgname("test_entry");
	return support_run(suites);
}
