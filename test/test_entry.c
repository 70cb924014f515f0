#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "currantbridge/program.h"
#include "support_entry.h"
#include "support_main.h"

/*
 * An entry instance as a real process, with callers, stand-in engines and
 * one control instance.
 */
#define STREAM_LIMIT_MS 60000
#define STREAMS 50
#define STREAM_TOKENS 40
#define QUICK "\"address_ttl_ms\":1000,\"max_body_bytes\":10000"
#define ENGINE "--model ruling --layers 4 --capacity 200 --token-ms "
#define WHOLE_ENGINE ENGINE "20"

/* What a test starts with. */
typedef struct world {
	support_group_t *group;
	support_daemon_t *entry;
	support_backend_t *engines[3];
	int engine_count;
} world_t;

static void world_init_(world_t *world, const char *settings,
			const char *arguments, int engine_count)
{
	support_daemon_t *entries[2] = { NULL, NULL };
	int i;

	memset(world, 0, sizeof(*world));
	world->group = support_group_new(1, NULL);
	CU_ASSERT_TRUE_FATAL(support_wait_leader(world->group, 20000));
	support_contract_put(world->group, NULL);
	world->entry = support_entry_start(world->group, "entry1", settings);
	CU_ASSERT_TRUE_FATAL(support_wait_ready(world->entry));
	entries[0] = world->entry;
	world->engine_count = engine_count;
	for (i = 0; i < engine_count; i++) {
		char *name = g_strdup_printf("engine%d", i + 1);

		world->engines[i] = support_backend_start(world->group, name,
							  entries, arguments);
		g_free(name);
	}
	CU_ASSERT_TRUE_FATAL(support_wait_servers(world->entry, engine_count));
}

static void world_clear_(world_t *world)
{
	int i;

	for (i = 0; i < world->engine_count; i++)
		support_backend_delete(world->engines[i]);
	support_group_delete(world->group);
}

static void streams_start_(const world_t *world, support_stream_t **streams,
			   int count, const char *prefix)
{
	int i;

	for (i = 0; i < count; i++) {
		char *prompt = g_strdup_printf("%s%d", prefix, i);

		streams[i] = support_stream_start(world->entry->http, prompt,
						  STREAM_TOKENS);
		g_free(prompt);
	}
}

/* Ends the streams; returns how many came whole. */
static int streams_end_(support_stream_t **streams, int count)
{
	int whole = 0;
	int i;

	support_wait_streams(streams, (size_t)count, STREAM_LIMIT_MS);
	for (i = 0; i < count; i++) {
		whole += support_stream_is_whole(streams[i]);
		support_stream_delete(streams[i]);
	}
	return whole;
}

typedef struct half_way {
	support_stream_t **streams;
	int count;
	unsigned int tokens;
} half_way_t;

static gboolean is_half_way_(void *user_data)
{
	half_way_t *half_way = user_data;
	int i;

	for (i = 0; i < half_way->count; i++) {
		if (support_stream_tokens(half_way->streams[i]) <
		    half_way->tokens)
			return FALSE;
	}
	return TRUE;
}

/* Waits until each stream has had `tokens` tokens. */
static gboolean streams_reach_(support_stream_t **streams, int count,
			       unsigned int tokens)
{
	half_way_t half_way = { streams, count, tokens };

	return support_wait(is_half_way_, &half_way, STREAM_LIMIT_MS);
}

#define AUTHORIZED "Host: x\r\nAuthorization: Bearer " SUPPORT_KEY "\r\n"
#define POST "POST /v1/completions HTTP/1.1\r\nConnection: close\r\n"
#define BODY(text, size) "Content-Length: " size "\r\n\r\n" text

/* Requests that are refused, each as the bytes that a caller sends. */
static const struct {
	const char *name;
	const char *request;
	gboolean ends; /* the caller's side, right after */
	const char *status;
	const char *reason;
} bad_requests[] = {
	{ "not JSON", POST AUTHORIZED BODY("{", "1"), FALSE, " 400 ",
	  "malformed" },
	{ "field of a wrong type", POST AUTHORIZED BODY("{\"model\":1}", "11"),
	  FALSE, " 400 ", "malformed" },
	{ "body cut short", POST AUTHORIZED BODY("{", "100"), TRUE, " 400 ",
	  "malformed" },
	{ "body too large by its header", POST AUTHORIZED BODY("", "10001"),
	  FALSE, " 413 ", "body_too_large" },
	{ "body too large in one chunk",
	  POST AUTHORIZED "Transfer-Encoding: chunked\r\n\r\n2711\r\n"
			  "%10001s\r\n",
	  FALSE, " 413 ", "body_too_large" },
	{ "no key", POST "Host: x\r\n" BODY("{}", "2"), FALSE, " 401 ",
	  "key_missing" },
	{ "wrong key",
	  POST "Host: x\r\nAuthorization: Bearer k\r\n" BODY("{}", "2"), FALSE,
	  " 401 ", "key_unknown" },
	{ "unknown model",
	  POST AUTHORIZED BODY("{\"model\":\"a\",\"prompt\":\"b\"}", "26"),
	  FALSE, " 404 ", "model_unknown" },
	{ "unknown service",
	  "GET /v1/services/none/x HTTP/1.1\r\nConnection: close\r\n" AUTHORIZED
	  "\r\n",
	  FALSE, " 404 ", "service_unknown" },
	{ "no idempotency key",
	  "POST /v1/services/bookings/x HTTP/1.1\r\n"
	  "Connection: close\r\n" AUTHORIZED BODY("{}", "2"),
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
	{ "header cut short", POST "Host: x\r\nAuthor", TRUE, " 400 ",
	  "header_invalid" },
};

/* Each gives JSON that says "no" and one count, while streams run on. */
static void bad_requests_are_refused_and_counted(void)
{
	support_stream_t *streams[STREAMS];
	char padding[10002];
	world_t world;
	size_t i;

	memset(padding, 'x', sizeof(padding) - 1);
	padding[sizeof(padding) - 1] = '\0';
	world_init_(&world, QUICK, WHOLE_ENGINE, 1);
	streams_start_(&world, streams, STREAMS, "s");
	for (i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
		const char *address = world.entry->http;
		char *series =
			g_strdup_printf("cb_refusals_total{reason=\"%s\"}",
					bad_requests[i].reason);
		char *error = g_strdup_printf("{\"error\":{\"reason\":\"%s\"",
					      bad_requests[i].reason);
		char **parts =
			g_strsplit(bad_requests[i].request, "%10001s", 2);
		char *request = g_strjoinv(padding, parts);
		int64_t before = support_metric(address, series);
		char *answer = support_raw(address, request, strlen(request),
					   bad_requests[i].ends);
		gboolean is_right = strstr(answer, bad_requests[i].status) &&
				    strstr(answer, error) &&
				    strstr(answer, "\"executed\":\"no\"}}");

		CU_ASSERT_TRUE(before >= 0);
		CU_ASSERT_TRUE(
			support_wait_metric(address, series, before + 1));
		CU_ASSERT_TRUE(is_right);
		if (!is_right)
			printf("    %s: %s\n", bad_requests[i].name, answer);
		g_free(answer);
		g_free(request);
		g_strfreev(parts);
		g_free(error);
		g_free(series);
	}
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	world_clear_(&world);
}

/* Streams run to their end, new ones are served until the TTL is over. */
static void sigterm_cuts_no_stream(void)
{
	support_stream_t *streams[STREAMS];
	support_stream_t *late;
	world_t world;

	world_init_(&world, QUICK, WHOLE_ENGINE, 2);
	streams_start_(&world, streams, STREAMS, "s");
	CU_ASSERT_TRUE(streams_reach_(streams, STREAMS, 2));
	support_daemon_signal(world.entry, SIGTERM);
	late = support_stream_start(world.entry->http, "late", STREAM_TOKENS);
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	CU_ASSERT_EQUAL(streams_end_(&late, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(world.entry), 0);
	world_clear_(&world);
}

static gboolean refuses_as_leaving_(void *user_data)
{
	support_daemon_t *entry = user_data;
	char *answer = NULL;
	gboolean is_so = support_http("POST", entry->http, "/v1/completions",
				      "{}", &answer) == 503 &&
			 strstr(answer, "\"leaving\"");

	g_free(answer);
	return is_so;
}

/* After the TTL new requests are refused while old streams run on. */
static void drained_instance_refuses_new_work(void)
{
	support_stream_t *stream;
	world_t world;

	world_init_(&world, QUICK, WHOLE_ENGINE, 1);
	stream = support_stream_start(world.entry->http, "s", 200);
	CU_ASSERT_TRUE(streams_reach_(&stream, 1, 1));
	support_daemon_signal(world.entry, SIGTERM);
	CU_ASSERT_TRUE(support_wait(refuses_as_leaving_, world.entry, 3500));
	CU_ASSERT_FALSE(stream->is_over);
	CU_ASSERT_EQUAL(streams_end_(&stream, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(world.entry), 0);
	world_clear_(&world);
}

/* An announced stop of the instance itself begins the same drain. */
static void announced_stop_drains_instance(void)
{
	support_stream_t *stream;
	world_t world;

	world_init_(&world, QUICK, WHOLE_ENGINE, 1);
	stream = support_stream_start(world.entry->http, "s", STREAM_TOKENS);
	CU_ASSERT_TRUE(streams_reach_(&stream, 1, 1));
	CU_ASSERT_TRUE(
		support_stop_announce(world.group, "instance", "entry1"));
	CU_ASSERT_EQUAL(streams_end_(&stream, 1), 1);
	CU_ASSERT_EQUAL(support_daemon_wait(world.entry), 0);
	world_clear_(&world);
}

/* Every stream of a killed engine comes whole from the others. */
static void killed_engine_breaks_no_stream(void)
{
	support_stream_t *streams[STREAMS];
	world_t world;

	world_init_(&world, QUICK, WHOLE_ENGINE, 3);
	streams_start_(&world, streams, STREAMS, "s");
	CU_ASSERT_TRUE(streams_reach_(streams, STREAMS, 5));
	support_backend_signal(world.engines[0], SIGKILL);
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	world_clear_(&world);
}

/* Streams in flight end where they are; later ones go elsewhere. */
static void stopped_server_gets_no_new_work(void)
{
	support_stream_t *streams[STREAMS];
	unsigned int effects;
	world_t world;

	world_init_(&world, QUICK, WHOLE_ENGINE, 2);
	streams_start_(&world, streams, STREAMS, "s");
	CU_ASSERT_TRUE(streams_reach_(streams, STREAMS, 2));
	CU_ASSERT_TRUE(support_stop_announce(world.group, "server", "engine1"));
	CU_ASSERT_TRUE(support_wait_metric(
		world.entry->http, "cb_backend_servers{state=\"leaving\"}", 1));
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	effects = support_backend_effects(world.engines[0]);
	CU_ASSERT_TRUE(effects > 0);
	streams_start_(&world, streams, STREAMS, "t");
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	CU_ASSERT_EQUAL(support_backend_effects(world.engines[0]), effects);
	world_clear_(&world);
}

/* Start, 100 requests, stop: a leak would spoil the sanitizer's exit code. */
static void hundred_requests_leak_nothing(void)
{
	support_stream_t *streams[STREAMS];
	world_t world;

	world_init_(&world, QUICK, ENGINE "1", 1);
	streams_start_(&world, streams, STREAMS, "s");
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	streams_start_(&world, streams, STREAMS, "t");
	CU_ASSERT_EQUAL(streams_end_(streams, STREAMS), STREAMS);
	CU_ASSERT_EQUAL(support_daemon_stop(world.entry), 0);
	world_clear_(&world);
}

/* Callers that go away free the engine, before the first token or after. */
static void gone_caller_cancels_generation(void)
{
	static const struct {
		const char *arguments;
		unsigned int tokens;
	} cases[] = { { ENGINE "20", 2 }, { ENGINE "3000", 0 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		support_stream_t *stream;
		unsigned int effects;
		world_t world;

		world_init_(&world, QUICK, cases[i].arguments, 1);
		stream = support_stream_start(world.entry->http, "s", 2000);
		CU_ASSERT_TRUE(support_wait_metric(world.entry->http,
						   "cb_requests_open", 1));
		CU_ASSERT_TRUE(streams_reach_(&stream, 1, cases[i].tokens));
		support_stream_leave(stream);
		CU_ASSERT_TRUE(
			support_wait_metric(world.entry->http,
					    "cb_requests_abandoned_total", 1));
		CU_ASSERT_EQUAL(support_metric(world.entry->http,
					       "cb_requests_open"),
				0);
		effects = support_backend_effects(world.engines[0]);
		CU_ASSERT_TRUE(effects < 2000);
		support_stream_delete(stream);
		world_clear_(&world);
	}
}

/* A caller that reads nothing is cut off; another is served meanwhile. */
static void slow_caller_is_cut_off(void)
{
	static const char body[] = "{\"model\":\"ruling\",\"prompt\":\"slow\","
				   "\"max_tokens\":900000,\"stream\":true}";
	char *request =
		g_strdup_printf(POST AUTHORIZED "Content-Length: %zu\r\n\r\n%s",
				strlen(body), body);
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	support_stream_t *stream;
	world_t world;

	world_init_(&world, QUICK ",\"max_unread_bytes\":4096", ENGINE "0", 1);
	connection = g_socket_client_connect_to_host(client, world.entry->http,
						     0, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
	g_socket_set_option(g_socket_connection_get_socket(connection),
			    SOL_SOCKET, SO_RCVBUF, 4096, NULL);
	g_socket_send(g_socket_connection_get_socket(connection), request,
		      strlen(request), NULL, NULL);
	stream = support_stream_start(world.entry->http, "s", STREAM_TOKENS);
	CU_ASSERT_EQUAL(streams_end_(&stream, 1), 1);
	CU_ASSERT_TRUE(support_wait_metric(
		world.entry->http,
		"cb_refusals_total{reason=\"caller_too_slow\"}", 1));
	CU_ASSERT_TRUE(
		support_wait_metric(world.entry->http, "cb_requests_open", 0));
	g_object_unref(connection);
	g_object_unref(client);
	g_free(request);
	world_clear_(&world);
}

/* Without a confirmed configuration everything is refused. */
static void unconfirmed_instance_refuses(void)
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
	entry = support_entry_start(group, "entry1", QUICK);
	CU_ASSERT_TRUE(support_wait_metric(
		entry->http, "cb_refusals_total{reason=\"not_ready\"}", 0));
	CU_ASSERT_EQUAL(support_http("GET", entry->http, "/readyz", NULL, NULL),
			503);
	CU_ASSERT_EQUAL(support_http("POST", entry->http, "/v1/completions",
				     "{}", &answer),
			503);
	CU_ASSERT_PTR_NOT_NULL(answer ? strstr(answer, "\"not_ready\"") : NULL);
	CU_ASSERT_EQUAL(
		support_metric(entry->http,
			       "cb_refusals_total{reason=\"not_ready\"}"),
		1);
	CU_ASSERT_PTR_NOT_NULL(answer ? strstr(answer, "\"executed\":\"no\"") :
					NULL);
	g_free(answer);
	/* An earlier call under the key may have run: nobody was asked. */
	answer = support_raw(entry->http, keyed_call, strlen(keyed_call), TRUE);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, "\"executed\":\"unknown\""));
	CU_ASSERT_EQUAL(support_daemon_stop(entry), 0);
	g_free(answer);
	support_group_delete(group);
}

static CU_TestInfo entry_tests[] = {
	{ "bad_requests_are_refused_and_counted",
	  bad_requests_are_refused_and_counted },
	{ "sigterm_cuts_no_stream", sigterm_cuts_no_stream },
	{ "drained_instance_refuses_new_work",
	  drained_instance_refuses_new_work },
	{ "announced_stop_drains_instance", announced_stop_drains_instance },
	{ "killed_engine_breaks_no_stream", killed_engine_breaks_no_stream },
	{ "stopped_server_gets_no_new_work", stopped_server_gets_no_new_work },
	{ "hundred_requests_leak_nothing", hundred_requests_leak_nothing },
	{ "gone_caller_cancels_generation", gone_caller_cancels_generation },
	{ "slow_caller_is_cut_off", slow_caller_is_cut_off },
	{ "unconfirmed_instance_refuses", unconfirmed_instance_refuses },
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
