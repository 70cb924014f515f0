#include "support_main.h"

#include <gio/gio.h>
#include <string.h>

#include "currantbridge/program.h"
#include "private/http_clients.h"

/*
 * The clients of backend servers against a server that sends scripted bytes:
 * every way in which an exchange may end, and that none is repeated.
 */
#define TURN_LIMIT_MS 5000
#define QUIET_MS 200
#define US_PER_MS 1000

/* A server that answers each request with the same bytes. */
typedef struct script {
	GSocketService *service;
	const char *answer;
	gboolean stays_open;  /* after the answer */
	gboolean dies_reused; /* closes at a connection's second request */
	int connections;
	int requests;
	int closed; /* connections that the client has closed */
	cb_server_t server;
} script_t;

typedef struct connection {
	script_t *script;
	GSocketConnection *stream;
	int requests;
	char buffer[4096];
} connection_t;

static void read_more_(connection_t *connection);

static void got_(GObject *input, GAsyncResult *result, void *user_data)
{
	connection_t *connection = user_data;
	script_t *script = connection->script;
	GIOStream *stream = G_IO_STREAM(connection->stream);
	gssize count =
		g_input_stream_read_finish(G_INPUT_STREAM(input), result, NULL);

	if (count > 0 && strstr(connection->buffer, "\r\n\r\n")) {
		script->requests++;
		connection->requests++;
	}
	if (connection->requests == 2 && script->dies_reused)
		count = 0;
	if (count > 0 && strstr(connection->buffer, "\r\n\r\n")) {
		g_output_stream_write_all(g_io_stream_get_output_stream(stream),
					  script->answer,
					  strlen(script->answer), NULL, NULL,
					  NULL);
	}
	if (count > 0 && script->stays_open) {
		read_more_(connection);
		return;
	}
	script->closed += count <= 0;
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(connection->stream);
	g_free(connection);
}

static void read_more_(connection_t *connection)
{
	memset(connection->buffer, 0, sizeof(connection->buffer));
	g_input_stream_read_async(g_io_stream_get_input_stream(
					  G_IO_STREAM(connection->stream)),
				  connection->buffer,
				  sizeof(connection->buffer) - 1,
				  G_PRIORITY_DEFAULT, NULL, got_, connection);
}

static gboolean incoming_(GSocketService *service, GSocketConnection *stream,
			  GObject *source, void *user_data)
{
	connection_t *connection = g_new0(connection_t, 1);

	(void)service;
	(void)source;
	connection->script = user_data;
	connection->script->connections++;
	connection->stream = g_object_ref(stream);
	read_more_(connection);
	return TRUE;
}

static void script_init_(script_t *script, const char *answer,
			 gboolean stays_open)
{
	GInetAddress *loopback =
		g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	GSocketAddress *bound = NULL;

	memset(script, 0, sizeof(*script));
	script->answer = answer;
	script->stays_open = stays_open;
	script->service = g_socket_service_new();
	CU_ASSERT_TRUE_FATAL(g_socket_listener_add_address(
		G_SOCKET_LISTENER(script->service), any, G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, NULL, &bound, NULL));
	script->server.address =
		g_strdup_printf("127.0.0.1:%u",
				g_inet_socket_address_get_port(
					G_INET_SOCKET_ADDRESS(bound)));
	g_signal_connect(script->service, "incoming", G_CALLBACK(incoming_),
			 script);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(loopback);
}

static void script_clear_(script_t *script)
{
	g_socket_service_stop(script->service);
	g_socket_listener_close(G_SOCKET_LISTENER(script->service));
	g_object_unref(script->service);
	g_free(script->server.address);
}

/* What a listener was told. */
typedef struct told {
	int done;
	int tokens;
	cb_failure_t failure;
	uint32_t status;
	GString *texts;
} told_t;

static void token_(void *user_data, const cb_engine_token_t *token)
{
	told_t *told = user_data;

	told->tokens++;
	g_string_append(told->texts, token->text ? token->text : "-");
}

static void engine_done_(void *user_data, cb_failure_t failure)
{
	told_t *told = user_data;

	told->done++;
	told->failure = failure;
}

static void service_done_(void *user_data, cb_failure_t failure,
			  const cb_service_answer_t *answer)
{
	told_t *told = user_data;

	told->done++;
	told->failure = failure;
	told->status = answer ? answer->status : 0;
}

/* Runs the loop until `*count` is 1, then a while for what must not come. */
static void settle_(const int *count)
{
	int64_t end_us = g_get_monotonic_time() + TURN_LIMIT_MS * US_PER_MS;

	while (*count < 1 && g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(US_PER_MS);
	end_us = g_get_monotonic_time() + QUIET_MS * US_PER_MS;
	while (g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(US_PER_MS);
}

#define OK "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define LENGTH(size, text) "Content-Length: " size "\r\n\r\n" text
#define LINE(token, last)                                 \
	"{\"request\":\"r\",\"epoch\":2,\"token\":" token \
	",\"text\":\"t" token "\",\"last\":" last "}\n"
#define REFUSED(status, word) \
	"HTTP/1.1 " status " No\r\n" LENGTH("18", "{\"error\":\"" word "\"}")

/* Each answer to a call that may not be repeated, and what it comes to. */
static void service_answers_are_classified(void)
{
	static const struct {
		const char *method;
		const char *answer;
		gboolean stays_open;
		cb_failure_t failure;
		uint32_t status;
	} cases[] = {
		{ "POST", OK LENGTH("2", "ok"), FALSE, CB_FAILURE_NONE, 200 },
		{ "PUT", OK LENGTH("2", "ok"), TRUE, CB_FAILURE_NONE, 200 },
		{ "POST", "HTTP/1.1 500 No\r\n" LENGTH("0", ""), FALSE,
		  CB_FAILURE_NONE, 500 },
		{ "POST", "HTTP/1.1 503 No\r\n" LENGTH("0", ""), FALSE,
		  CB_FAILURE_NONE, 503 },
		{ "POST",
		  "HTTP/1.1 503 No\r\n" LENGTH("16", "{\"error\":\"busy\"}"),
		  FALSE, CB_FAILURE_REFUSED, 0 },
		{ "POST", REFUSED("409", "fenced"), FALSE, CB_FAILURE_FENCED,
		  0 },
		{ "POST", "", FALSE, CB_FAILURE_LOST, 0 },
		{ "PUT", "", FALSE, CB_FAILURE_LOST, 0 },
		{ "DELETE", "", FALSE, CB_FAILURE_LOST, 0 },
		{ "GET", "", FALSE, CB_FAILURE_LOST, 0 },
		{ "POST", OK LENGTH("9", "part"), FALSE, CB_FAILURE_LOST, 0 },
		{ "POST", CHUNKED "5\r\npa", FALSE, CB_FAILURE_LOST, 0 },
		{ "POST", "HTTP/1.1 307 No\r\nLocation: /x\r\n" LENGTH("0", ""),
		  FALSE, CB_FAILURE_NONE, 307 },
	};
	size_t i;
	int again;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_service_client_t *client = cb_http_service_client_new();
		script_t script;

		script_init_(&script, cases[i].answer, cases[i].stays_open);
		/* The second call finds what the first has left behind. */
		for (again = 1; again <= 2; again++) {
			told_t told = { 0 };
			cb_service_request_t request = {
				.request = "r",
				.method = cases[i].method,
				.path = "/x",
			};
			cb_service_listener_t listener = { service_done_,
							   &told };

			client->vtable->send(client, &script.server, &request,
					     &listener);
			settle_(&told.done);
			CU_ASSERT_EQUAL(told.done, 1);
			CU_ASSERT_EQUAL(told.failure, cases[i].failure);
			CU_ASSERT_EQUAL(told.status, cases[i].status);
			CU_ASSERT_EQUAL(script.requests, again);
			CU_ASSERT_EQUAL(script.connections, again);
		}
		cb_http_service_client_delete(client);
		script_clear_(&script);
	}
}

/*
 * A server that loses what comes on a used connection gets each call once:
 * libsoup would send a PUT again.
 */
static void used_connection_carries_no_second_call(void)
{
	cb_service_client_t *client = cb_http_service_client_new();
	script_t script;
	int again;

	script_init_(&script, OK LENGTH("2", "ok"), TRUE);
	script.dies_reused = TRUE;
	for (again = 1; again <= 3; again++) {
		told_t told = { 0 };
		cb_service_request_t request = { .request = "r",
						 .method = "PUT",
						 .path = "/x" };
		cb_service_listener_t listener = { service_done_, &told };

		client->vtable->send(client, &script.server, &request,
				     &listener);
		settle_(&told.done);
		CU_ASSERT_EQUAL(told.failure, CB_FAILURE_NONE);
		CU_ASSERT_EQUAL(script.requests, again);
	}
	cb_http_service_client_delete(client);
	script_clear_(&script);
}

/* A step goes on a used connection, and is lost with it: never sent again. */
static void step_lost_on_used_connection_is_not_repeated(void)
{
	static const cb_failure_t failures[] = { CB_FAILURE_NONE,
						 CB_FAILURE_LOST,
						 CB_FAILURE_NONE };
	cb_engine_client_t *client = cb_http_engine_client_new(NULL);
	cb_engine_step_t step = { .request = "r", .epoch = 2, .token = 3 };
	script_t script;
	int i;

	script_init_(&script,
		     OK LENGTH("92", "{\"request\":\"r\",\"epoch\":2,"
				     "\"token\":3,\"first_layer\":0,"
				     "\"last_layer\":0,\"text\":\"t\","
				     "\"last\":false}  "),
		     TRUE);
	script.dies_reused = TRUE;
	for (i = 0; i < 3; i++) {
		told_t told = { .texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_, engine_done_, &told };

		client->vtable->step(client, &script.server, &step, &listener);
		settle_(&told.done);
		CU_ASSERT_EQUAL(told.done, 1);
		CU_ASSERT_EQUAL(told.failure, failures[i]);
		CU_ASSERT_EQUAL(script.requests, i + 1);
		CU_ASSERT_EQUAL(script.connections, i / 2 + 1);
		g_string_free(told.texts, TRUE);
	}
	cb_http_engine_client_delete(client);
	script_clear_(&script);
}

/* Each way in which a stream of tokens ends. */
static void stream_answers_are_classified(void)
{
	static const struct {
		const char *answer;
		cb_failure_t failure;
		const char *texts;
	} cases[] = {
		{ OK "\r\n" LINE("3", "false") LINE("4", "true"),
		  CB_FAILURE_NONE, "t3t4" },
		{ OK "\r\n" LINE("3", "false"), CB_FAILURE_LOST, "t3" },
		{ OK LENGTH("500", LINE("3", "false")), CB_FAILURE_LOST, "t3" },
		{ CHUNKED "1f4\r\n" LINE("3", "false"), CB_FAILURE_LOST, "t3" },
		{ OK "\r\n" LINE("4", "false"), CB_FAILURE_MISMATCH, "" },
		{ OK "\r\n" LINE("3", "false") LINE("3", "false"),
		  CB_FAILURE_MISMATCH, "t3" },
		{ OK "\r\n" LINE("3", "true") LINE("4", "false"),
		  CB_FAILURE_MISMATCH, "t3" },
		{ OK "\r\nhello\n", CB_FAILURE_MISMATCH, "" },
		{ OK "\r\n{\"request\":\"other\"}\n", CB_FAILURE_MISMATCH, "" },
		{ REFUSED("409", "fenced"), CB_FAILURE_FENCED, "" },
		{ "HTTP/1.1 409 No\r\n" LENGTH("22",
					       "{\"error\":\"no_context\"}"),
		  CB_FAILURE_NO_CONTEXT, "" },
		{ "HTTP/1.1 503 No\r\n" LENGTH("16", "{\"error\":\"busy\"}"),
		  CB_FAILURE_REFUSED, "" },
		{ "HTTP/1.1 500 No\r\n" LENGTH("0", ""), CB_FAILURE_MISMATCH,
		  "" },
		{ "", CB_FAILURE_LOST, "" },
	};
	static const char *const delivered[] = { "a", "b", "c" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_engine_client_t *client = cb_http_engine_client_new(NULL);
		cb_engine_order_t order = {
			.request = "r",
			.epoch = 2,
			.model = "m",
			.prompt = "p",
			.delivered = delivered,
			.delivered_count = G_N_ELEMENTS(delivered),
			.max_tokens = 5,
		};
		told_t told = { .texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_, engine_done_, &told };
		script_t script;

		script_init_(&script, cases[i].answer, FALSE);
		client->vtable->stream(client, &script.server, &order,
				       &listener);
		settle_(&told.done);
		CU_ASSERT_EQUAL(told.done, 1);
		CU_ASSERT_EQUAL(told.failure, cases[i].failure);
		CU_ASSERT_STRING_EQUAL(told.texts->str, cases[i].texts);
		CU_ASSERT_EQUAL(script.requests, 1);
		g_string_free(told.texts, TRUE);
		cb_http_engine_client_delete(client);
		script_clear_(&script);
	}
}

/* A connection that does not come about is told apart from all else. */
static void refused_connection_is_classified(void)
{
	cb_service_client_t *client = cb_http_service_client_new();
	cb_service_request_t request = { .request = "r",
					 .method = "POST",
					 .path = "/x" };
	told_t told = { 0 };
	cb_service_listener_t listener = { service_done_, &told };
	script_t script;

	script_init_(&script, "", FALSE);
	g_socket_service_stop(script.service);
	g_socket_listener_close(G_SOCKET_LISTENER(script.service));
	client->vtable->send(client, &script.server, &request, &listener);
	settle_(&told.done);
	CU_ASSERT_EQUAL(told.done, 1);
	CU_ASSERT_EQUAL(told.failure, CB_FAILURE_CONNECT);
	cb_http_service_client_delete(client);
	script_clear_(&script);
}

/* Cancelling closes the connection and is told to nobody. */
static void cancelled_exchange_closes_its_connection(void)
{
	cb_engine_client_t *client = cb_http_engine_client_new(NULL);
	cb_engine_order_t order = { .request = "r",
				    .epoch = 2,
				    .model = "m",
				    .prompt = "p",
				    .delivered_count = 3,
				    .max_tokens = 9 };
	static const char *const delivered[] = { "a", "b", "c" };
	static const char *const answers[] = { "", OK "\r\n",
					       OK "\r\n" LINE("3", "false") };
	size_t i;

	order.delivered = delivered;
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		told_t told = { .texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_, engine_done_, &told };
		cb_exchange_t *exchange;
		script_t script;

		script_init_(&script, answers[i], TRUE);
		exchange = client->vtable->stream(client, &script.server,
						  &order, &listener);
		settle_(&script.requests);
		CU_ASSERT_EQUAL(script.closed, 0);
		client->vtable->cancel(client, exchange);
		settle_(&script.closed);
		CU_ASSERT_EQUAL(script.closed, 1);
		CU_ASSERT_EQUAL(told.done, 0);
		g_string_free(told.texts, TRUE);
		script_clear_(&script);
	}
	cb_http_engine_client_delete(client);
}

static CU_TestInfo http_clients_tests[] = {
	{ "service_answers_are_classified", service_answers_are_classified },
	{ "used_connection_carries_no_second_call",
	  used_connection_carries_no_second_call },
	{ "step_lost_on_used_connection_is_not_repeated",
	  step_lost_on_used_connection_is_not_repeated },
	{ "stream_answers_are_classified", stream_answers_are_classified },
	{ "refused_connection_is_classified",
	  refused_connection_is_classified },
	{ "cancelled_exchange_closes_its_connection",
	  cancelled_exchange_closes_its_connection },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "http_clients",
				    .pTests = http_clients_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
