#include "support_main.h"

#include <gio/gio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "currantbridge/program.h"
#include "private/http_clients.h"
#include "support_answers.h"

/*
 * Tests the clients of backend servers against a server that sends fixed bytes:
 * how each end of an exchange is classified, and that no request is resent.
 */
#define EXCHANGE_TIMEOUT_MS 5000
#define QUIET_PERIOD_MS 200
#define US_PER_MS 1000

static cb_clock_t *test_clock;

/* A server that answers each request with the same bytes. */
typedef struct scripted_server {
	GSocketService *service;
	const char *answer;
	/* Whether the server keeps the connection open after an answer. */
	gboolean stays_open;
	/* Whether the server closes at a connection's second request. */
	gboolean closes_on_reuse;
	/* Whether the server resets a connection where it would close it. */
	gboolean resets;
	/* Whether the answer's bytes are sent one by one. */
	gboolean sends_single_bytes;
	int connection_count;
	int request_count;
	/* Number of connections that the client has closed. */
	int closed_count;
	GPtrArray *connections; /* open connections: connection_t */
	cb_server_t target;	/* address that the client is given */
} scripted_server_t;

typedef struct connection {
	scripted_server_t *server; /* NULL once the server was cleared */
	GSocketConnection *stream;
	int request_count;
	size_t sent_bytes; /* sent bytes of an answer sent one by one */
	char buffer[4096];
} connection_t;

static void request_read_(connection_t *connection);

static void connection_close_(connection_t *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection->stream);
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	/* Closing with unread bytes would reset the connection. */
	while (g_socket_receive_with_blocking(socket, connection->buffer,
					      sizeof(connection->buffer), FALSE,
					      NULL, NULL) > 0)
		;
	if (connection->server && connection->server->resets)
		(void)setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
				 &linger, sizeof(linger));
	if (connection->server)
		g_ptr_array_remove(connection->server->connections, connection);
	g_io_stream_close(G_IO_STREAM(connection->stream), NULL, NULL);
	g_object_unref(connection->stream);
	g_free(connection);
}

/* Sends the next byte of the answer, and closes after the last one. */
static gboolean answer_byte_send_(void *user_data)
{
	connection_t *connection = user_data;
	const char *answer =
		connection->server ?
			connection->server->answer + connection->sent_bytes :
			"";

	if (!*answer) {
		connection_close_(connection);
		return G_SOURCE_REMOVE;
	}
	g_output_stream_write_all(g_io_stream_get_output_stream(
					  G_IO_STREAM(connection->stream)),
				  answer, 1, NULL, NULL, NULL);
	connection->sent_bytes++;
	return G_SOURCE_CONTINUE;
}

static void request_answer_(GObject *input, GAsyncResult *result,
			    void *user_data)
{
	connection_t *connection = user_data;
	scripted_server_t *server = connection->server;
	GIOStream *stream = G_IO_STREAM(connection->stream);
	gssize count =
		g_input_stream_read_finish(G_INPUT_STREAM(input), result, NULL);

	if (!server) {
		connection_close_(connection);
		return;
	}
	if (count > 0 && strstr(connection->buffer, "\r\n\r\n")) {
		server->request_count++;
		connection->request_count++;
	}
	if (connection->request_count == 2 && server->closes_on_reuse)
		count = 0;
	if (count > 0 && server->sends_single_bytes) {
		g_idle_add(answer_byte_send_, connection);
		return;
	}
	if (count > 0 && strstr(connection->buffer, "\r\n\r\n")) {
		g_output_stream_write_all(g_io_stream_get_output_stream(stream),
					  server->answer,
					  strlen(server->answer), NULL, NULL,
					  NULL);
	}
	if (count > 0 && server->stays_open) {
		request_read_(connection);
		return;
	}
	server->closed_count += count <= 0;
	connection_close_(connection);
}

static void request_read_(connection_t *connection)
{
	memset(connection->buffer, 0, sizeof(connection->buffer));
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(connection->stream)),
		connection->buffer, sizeof(connection->buffer) - 1,
		G_PRIORITY_DEFAULT, NULL, request_answer_, connection);
}

static gboolean connection_accept_(GSocketService *service,
				   GSocketConnection *stream, GObject *source,
				   void *user_data)
{
	connection_t *connection = g_new0(connection_t, 1);

	(void)service;
	(void)source;
	connection->server = user_data;
	connection->server->connection_count++;
	connection->stream = g_object_ref(stream);
	g_ptr_array_add(connection->server->connections, connection);
	request_read_(connection);
	return TRUE;
}

static void scripted_server_init_(scripted_server_t *server, const char *answer,
				  gboolean stays_open)
{
	GInetAddress *loopback =
		g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(loopback, 0);
	GSocketAddress *bound = NULL;

	memset(server, 0, sizeof(*server));
	server->answer = answer;
	server->stays_open = stays_open;
	server->connections = g_ptr_array_new();
	server->service = g_socket_service_new();
	CU_ASSERT_TRUE_FATAL(g_socket_listener_add_address(
		G_SOCKET_LISTENER(server->service), any, G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, NULL, &bound, NULL));
	server->target.address =
		g_strdup_printf("127.0.0.1:%u",
				g_inet_socket_address_get_port(
					G_INET_SOCKET_ADDRESS(bound)));
	g_signal_connect(server->service, "incoming",
			 G_CALLBACK(connection_accept_), server);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(loopback);
}

/* Connections that outlive the server end without being counted. */
static void scripted_server_clear_(scripted_server_t *server)
{
	unsigned int i;

	for (i = 0; i < server->connections->len; i++)
		((connection_t *)server->connections->pdata[i])->server = NULL;
	g_ptr_array_unref(server->connections);
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	g_object_unref(server->service);
	g_free(server->target.address);
}

/* The results that a listener of the HTTP client was called with. */
typedef struct result_record {
	int done_count;
	int token_count;
	cb_failure_t failure;
	uint32_t status;
	/* Texts of all tokens in order; "-" for a missing text. */
	GString *token_texts;
} result_record_t;

static void token_record_(void *user_data, const cb_engine_token_t *token)
{
	result_record_t *record = user_data;

	record->token_count++;
	g_string_append(record->token_texts, token->text ? token->text : "-");
}

static void engine_end_record_(void *user_data, cb_failure_t failure)
{
	result_record_t *record = user_data;

	record->done_count++;
	record->failure = failure;
}

static void service_end_record_(void *user_data, cb_failure_t failure,
				const cb_service_answer_t *answer)
{
	result_record_t *record = user_data;

	record->done_count++;
	record->failure = failure;
	record->status = answer ? answer->status : 0;
}

/*
 * Runs the main loop until `*count` is 1 or the time limit is reached, and then
 * for QUIET_PERIOD_MS to detect events that must not follow.
 */
static void loop_run_until_one_(const int *count)
{
	int64_t end_us =
		g_get_monotonic_time() + EXCHANGE_TIMEOUT_MS * US_PER_MS;

	while (*count < 1 && g_get_monotonic_time() < end_us)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(US_PER_MS);
	end_us = g_get_monotonic_time() + QUIET_PERIOD_MS * US_PER_MS;
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
#define REFUSED(status, code) \
	"HTTP/1.1 " status " No\r\n" LENGTH("18", "{\"error\":\"" code "\"}")

/*
 * An answer classified wrongly, or a request resent by libsoup, would let a
 * call that must not be repeated run twice.
 */
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
		{ "POST", OK "Content-Encoding: gzip\r\n" LENGTH("2", "ok"),
		  FALSE, CB_FAILURE_MISMATCH, 0 },
		{ "POST", OK LENGTH("2\r\nContent-Length: 3", "ok"), FALSE,
		  CB_FAILURE_MISMATCH, 0 },
		{ "HEAD", OK LENGTH("2", ""), FALSE, CB_FAILURE_NONE, 200 },
		{ "POST", "HTTP/1.1 103 Early\r\n\r\n" OK LENGTH("2", "ok"),
		  FALSE, CB_FAILURE_NONE, 200 },
		{ "POST", "HTTP/1.1 204 No\r\n\r\n", FALSE, CB_FAILURE_NONE,
		  204 },
		{ "POST", "HTTP/1.1 307 No\r\nLocation: /x\r\n" LENGTH("0", ""),
		  FALSE, CB_FAILURE_NONE, 307 },
	};
	size_t i;
	int call_number;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_service_client_t *client =
			cb_http_service_client_new(NULL, test_clock);
		scripted_server_t server;

		scripted_server_init_(&server, cases[i].answer,
				      cases[i].stays_open);
		/* The first call may leave a connection open for the second. */
		for (call_number = 1; call_number <= 2; call_number++) {
			result_record_t record = { 0 };
			cb_service_request_t request = {
				.request = "r",
				.method = cases[i].method,
				.path = "/x",
			};
			cb_service_listener_t listener = { service_end_record_,
							   &record };

			client->vtable->send(client, &server.target, &request,
					     &listener);
			loop_run_until_one_(&record.done_count);
			CU_ASSERT_EQUAL(record.done_count, 1);
			CU_ASSERT_EQUAL(record.failure, cases[i].failure);
			CU_ASSERT_EQUAL(record.status, cases[i].status);
			CU_ASSERT_EQUAL(server.request_count, call_number);
			CU_ASSERT_EQUAL(server.connection_count, call_number);
		}
		cb_http_service_client_delete(client);
		scripted_server_clear_(&server);
	}
}

/*
 * Text that would end a line of the request's head must not reach the server,
 * which would read it as another header or request.
 */
static void call_with_line_break_is_not_sent(void)
{
	static const cb_service_request_t requests[] = {
		{ .request = "r", .method = "POST", .path = "/x\r\nA: b" },
		{ .request = "r", .method = "POST", .path = "/x y" },
		{ .request = "r", .method = "POST\n", .path = "/x" },
		{ .request = "r\r\nA: b", .method = "POST", .path = "/x" },
		{ .request = "r",
		  .method = "POST",
		  .path = "/x",
		  .key = "k\n" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		cb_service_client_t *client =
			cb_http_service_client_new(NULL, test_clock);
		result_record_t record = { 0 };
		cb_service_listener_t listener = { service_end_record_,
						   &record };
		scripted_server_t server;

		scripted_server_init_(&server, OK LENGTH("2", "ok"), FALSE);
		client->vtable->send(client, &server.target, &requests[i],
				     &listener);
		loop_run_until_one_(&record.done_count);
		CU_ASSERT_EQUAL(record.done_count, 1);
		CU_ASSERT_EQUAL(record.failure, CB_FAILURE_CONNECT);
		CU_ASSERT_EQUAL(server.connection_count, 0);
		cb_http_service_client_delete(client);
		scripted_server_clear_(&server);
	}
}

/*
 * libsoup resends a PUT that fails on a reused connection, so the server could
 * run a call twice.  The server here closes connections at a second request;
 * each call must succeed and be received once.
 */
static void call_is_not_sent_on_used_connection(void)
{
	cb_service_client_t *client =
		cb_http_service_client_new(NULL, test_clock);
	scripted_server_t server;
	int call_number;

	scripted_server_init_(&server, OK LENGTH("2", "ok"), TRUE);
	server.closes_on_reuse = TRUE;
	for (call_number = 1; call_number <= 3; call_number++) {
		result_record_t record = { 0 };
		cb_service_request_t request = { .request = "r",
						 .method = "PUT",
						 .path = "/x" };
		cb_service_listener_t listener = { service_end_record_,
						   &record };

		client->vtable->send(client, &server.target, &request,
				     &listener);
		loop_run_until_one_(&record.done_count);
		CU_ASSERT_EQUAL(record.failure, CB_FAILURE_NONE);
		CU_ASSERT_EQUAL(server.request_count, call_number);
	}
	cb_http_service_client_delete(client);
	scripted_server_clear_(&server);
}

/*
 * A step is sent on a used connection.  If the server closes it, the step is
 * reported as lost; a resend could run it twice.
 */
static void step_lost_on_used_connection_is_not_repeated(void)
{
	static const cb_failure_t failures[] = { CB_FAILURE_NONE,
						 CB_FAILURE_LOST,
						 CB_FAILURE_NONE };
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, test_clock, NULL);
	cb_engine_step_t step = { .request = "r", .epoch = 2, .token = 3 };
	scripted_server_t server;
	int i;

	scripted_server_init_(&server,
			      OK LENGTH("92", "{\"request\":\"r\",\"epoch\":2,"
					      "\"token\":3,\"first_layer\":0,"
					      "\"last_layer\":0,\"text\":\"t\","
					      "\"last\":false}  "),
			      TRUE);
	server.closes_on_reuse = TRUE;
	for (i = 0; i < 3; i++) {
		result_record_t record = { .token_texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_record_,
						  engine_end_record_, &record };

		client->vtable->step(client, &server.target, &step, &listener);
		loop_run_until_one_(&record.done_count);
		CU_ASSERT_EQUAL(record.done_count, 1);
		CU_ASSERT_EQUAL(record.failure, failures[i]);
		CU_ASSERT_EQUAL(server.request_count, i + 1);
		CU_ASSERT_EQUAL(server.connection_count, i / 2 + 1);
		g_string_free(record.token_texts, TRUE);
	}
	cb_http_engine_client_delete(client);
	scripted_server_clear_(&server);
}

/*
 * A stream that ends early, repeats or skips a token, or answers something else
 * must not be taken for complete, and its valid tokens must be delivered.
 */
static void stream_answers_are_classified(void)
{
	static const struct {
		const char *answer;
		cb_failure_t failure;
		const char *token_texts;
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
		cb_engine_client_t *client =
			cb_http_engine_client_new(NULL, test_clock, NULL);
		cb_engine_order_t order = {
			.request = "r",
			.epoch = 2,
			.model = "m",
			.prompt = "p",
			.delivered = delivered,
			.delivered_count = G_N_ELEMENTS(delivered),
			.max_tokens = 5,
		};
		result_record_t record = { .token_texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_record_,
						  engine_end_record_, &record };
		scripted_server_t server;

		scripted_server_init_(&server, cases[i].answer, FALSE);
		client->vtable->stream(client, &server.target, &order,
				       &listener);
		loop_run_until_one_(&record.done_count);
		CU_ASSERT_EQUAL(record.done_count, 1);
		CU_ASSERT_EQUAL(record.failure, cases[i].failure);
		CU_ASSERT_STRING_EQUAL(record.token_texts->str,
				       cases[i].token_texts);
		CU_ASSERT_EQUAL(server.request_count, 1);
		g_string_free(record.token_texts, TRUE);
		cb_http_engine_client_delete(client);
		scripted_server_clear_(&server);
	}
}

/*
 * Only a failed connection proves that the call did not run; the server's
 * listening socket is closed to make it fail.
 */
static void refused_connection_is_classified(void)
{
	cb_service_client_t *client =
		cb_http_service_client_new(NULL, test_clock);
	cb_service_request_t request = { .request = "r",
					 .method = "POST",
					 .path = "/x" };
	result_record_t record = { 0 };
	cb_service_listener_t listener = { service_end_record_, &record };
	scripted_server_t server;

	scripted_server_init_(&server, "", FALSE);
	g_socket_service_stop(server.service);
	g_socket_listener_close(G_SOCKET_LISTENER(server.service));
	client->vtable->send(client, &server.target, &request, &listener);
	loop_run_until_one_(&record.done_count);
	CU_ASSERT_EQUAL(record.done_count, 1);
	CU_ASSERT_EQUAL(record.failure, CB_FAILURE_CONNECT);
	cb_http_service_client_delete(client);
	scripted_server_clear_(&server);
}

/* A call for which there is no descriptor shows nothing of its server. */
static void lack_of_descriptors_is_no_refused_connection(void)
{
	cb_service_client_t *services =
		cb_http_service_client_new(NULL, test_clock);
	cb_engine_client_t *probes =
		cb_http_engine_client_new(NULL, test_clock, NULL);
	cb_service_request_t request = { .request = "r",
					 .method = "POST",
					 .path = "/x" };
	result_record_t sent = { 0 };
	result_record_t probed = { 0 };
	cb_service_listener_t send_listener = { service_end_record_, &sent };
	cb_engine_listener_t probe_listener = { .done = engine_end_record_,
						.user_data = &probed };
	scripted_server_t server;
	struct rlimit before;
	struct rlimit limit;

	scripted_server_init_(&server, OK LENGTH("2", "ok"), FALSE);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &before), 0);
	limit = before;
	limit.rlim_cur = 0;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	services->vtable->send(services, &server.target, &request,
			       &send_listener);
	probes->vtable->probe(probes, &server.target, &probe_listener);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &before), 0);
	loop_run_until_one_(&sent.done_count);
	loop_run_until_one_(&probed.done_count);
	CU_ASSERT_EQUAL(sent.done_count, 1);
	CU_ASSERT_EQUAL(sent.failure, CB_FAILURE_NO_RESOURCES);
	CU_ASSERT_EQUAL(probed.done_count, 1);
	CU_ASSERT_EQUAL(probed.failure, CB_FAILURE_NO_RESOURCES);
	CU_ASSERT_EQUAL(server.connection_count, 0);
	cb_http_engine_client_delete(probes);
	cb_http_service_client_delete(services);
	scripted_server_clear_(&server);
}

/* The readers that a table of answers is played against. */
typedef struct reader_play {
	unsigned int play_count;
	unsigned int failure_count;
	gboolean sends_single_bytes;
} reader_play_t;

/* Counts a play, and prints it if the reader got the end of the answer wrong. */
static void play_count_(reader_play_t *play, const answer_end_row_t *row,
			const char *reader, const result_record_t *record,
			gboolean expects_whole)
{
	char *description = support_answer_describe(row);

	play->play_count++;
	if (record->done_count != 1 ||
	    (record->failure == CB_FAILURE_NONE) != expects_whole) {
		play->failure_count++;
		printf("    %s: %s%s: taken for %s\n", reader, description,
		       play->sends_single_bytes ? ", byte by byte" : "",
		       record->failure == CB_FAILURE_NONE ? "whole" :
							    "broken off");
	}
	g_free(description);
}

/* Starts a server that ends its answers as the row says. */
static char *row_server_init_(scripted_server_t *server,
			      const answer_end_row_t *row,
			      const reader_play_t *play, const char *first,
			      const char *second)
{
	char *answer =
		support_answer_format(row, "Content-Type: text/plain\r\n",
				      first, second);

	scripted_server_init_(server, answer, FALSE);
	server->resets = row->is_reset;
	server->sends_single_bytes = play->sends_single_bytes;
	return answer;
}

/* Runs the main loop until the exchange has ended. */
static void loop_run_until_done_(const result_record_t *record)
{
	int64_t end_us =
		g_get_monotonic_time() + EXCHANGE_TIMEOUT_MS * US_PER_MS;

	while (!record->done_count && g_get_monotonic_time() < end_us)
		g_main_context_iteration(NULL, FALSE);
}

static void service_answer_play_(const answer_end_row_t *row, void *user_data)
{
	reader_play_t *play = user_data;
	cb_service_client_t *client =
		cb_http_service_client_new(NULL, test_clock);
	result_record_t record = { 0 };
	cb_service_request_t request = { .request = "r",
					 .method = "POST",
					 .path = "/x" };
	cb_service_listener_t listener = { service_end_record_, &record };
	scripted_server_t server;
	char *answer = row_server_init_(&server, row, play, "one", "other");

	client->vtable->send(client, &server.target, &request, &listener);
	loop_run_until_done_(&record);
	play_count_(play, row, "call of a plain service", &record,
		    support_answer_is_framed_whole(row));
	cb_http_service_client_delete(client);
	scripted_server_clear_(&server);
	g_free(answer);
}

/*
 * Returns whether an engine's answer is whole, or might be taken for that: the
 * last token says so, even if the end of the chunks does not follow.
 */
static gboolean engine_answer_may_be_whole_(const answer_end_row_t *row)
{
	return row->cut == CUT_IN_TRAILERS ||
	       (row->cut == CUT_NOWHERE && row->is_reset);
}

/*
 * Counts a play of an engine's reader.  An answer that is taken for whole must
 * have given all its tokens.
 */
static void engine_play_count_(reader_play_t *play, const answer_end_row_t *row,
			       const char *reader,
			       const result_record_t *record,
			       const char *expected_texts)
{
	gboolean is_taken_for_whole = record->failure == CB_FAILURE_NONE;

	if (is_taken_for_whole)
		CU_ASSERT_STRING_EQUAL(record->token_texts->str,
				       expected_texts);
	play_count_(play, row, reader, record,
		    engine_answer_may_be_whole_(row) ? is_taken_for_whole :
						       row->cut == CUT_NOWHERE);
}

static void engine_stream_play_(const answer_end_row_t *row, void *user_data)
{
	reader_play_t *play = user_data;
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, test_clock, NULL);
	result_record_t record = { .token_texts = g_string_new(NULL) };
	cb_engine_order_t order = { .request = "r",
				    .epoch = 2,
				    .model = "m",
				    .prompt = "p",
				    .max_tokens = 5 };
	cb_engine_listener_t listener = { token_record_, engine_end_record_,
					  &record };
	scripted_server_t server;
	char *answer = row_server_init_(&server, row, play, LINE("0", "false"),
					LINE("1", "true"));

	client->vtable->stream(client, &server.target, &order, &listener);
	loop_run_until_done_(&record);
	engine_play_count_(play, row, "engine stream", &record, "t0t1");
	g_string_free(record.token_texts, TRUE);
	cb_http_engine_client_delete(client);
	scripted_server_clear_(&server);
	g_free(answer);
}

static void engine_step_play_(const answer_end_row_t *row, void *user_data)
{
	reader_play_t *play = user_data;
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, test_clock, NULL);
	result_record_t record = { .token_texts = g_string_new(NULL) };
	cb_engine_step_t step = { .request = "r", .epoch = 2, .token = 3 };
	cb_engine_listener_t listener = { token_record_, engine_end_record_,
					  &record };
	scripted_server_t server;
	char *answer = row_server_init_(
		&server, row, play,
		"{\"request\":\"r\",\"epoch\":2,\"token\":3,",
		"\"first_layer\":0,\"last_layer\":0,\"text\":\"t\","
		"\"last\":false}");

	client->vtable->step(client, &server.target, &step, &listener);
	loop_run_until_done_(&record);
	engine_play_count_(play, row, "engine step", &record, "t");
	g_string_free(record.token_texts, TRUE);
	cb_http_engine_client_delete(client);
	scripted_server_clear_(&server);
	g_free(answer);
}

/*
 * Plays every way to end an answer against one reader, with the bytes in one
 * piece and one by one.
 */
static void reader_play_(void (*fn)(const answer_end_row_t *, void *))
{
	reader_play_t play = { 0 };

	support_answer_rows_play(fn, &play);
	play.sends_single_bytes = TRUE;
	support_answer_rows_play(fn, &play);
	if (play.failure_count)
		printf("    wrong: %u of %u plays\n", play.failure_count,
		       play.play_count);
	CU_ASSERT_EQUAL(play.failure_count, 0);
}

/* A cut answer of a plain service must not be taken for its whole answer. */
static void cut_service_answer_is_not_whole(void)
{
	reader_play_(service_answer_play_);
}

/* A stream of tokens that is cut must not be taken for a whole one. */
static void cut_engine_stream_is_not_whole(void)
{
	reader_play_(engine_stream_play_);
}

/* A cut answer to a step must not be taken for its token. */
static void cut_engine_step_is_not_whole(void)
{
	reader_play_(engine_step_play_);
}

/*
 * A cancelled exchange must close its connection, so that the server stops, and
 * must not call its listener: before any answer, after the headers, and after
 * a token.
 */
static void cancelled_exchange_closes_its_connection(void)
{
	cb_engine_client_t *client =
		cb_http_engine_client_new(NULL, test_clock, NULL);
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
		result_record_t record = { .token_texts = g_string_new(NULL) };
		cb_engine_listener_t listener = { token_record_,
						  engine_end_record_, &record };
		cb_exchange_t *exchange;
		scripted_server_t server;

		scripted_server_init_(&server, answers[i], TRUE);
		exchange = client->vtable->stream(client, &server.target,
						  &order, &listener);
		loop_run_until_one_(&server.request_count);
		CU_ASSERT_EQUAL(server.closed_count, 0);
		client->vtable->cancel(client, exchange);
		loop_run_until_one_(&server.closed_count);
		CU_ASSERT_EQUAL(server.closed_count, 1);
		CU_ASSERT_EQUAL(record.done_count, 0);
		g_string_free(record.token_texts, TRUE);
		scripted_server_clear_(&server);
	}
	cb_http_engine_client_delete(client);
}

static CU_TestInfo http_clients_tests[] = {
	{ "service_answers_are_classified", service_answers_are_classified },
	{ "call_with_line_break_is_not_sent",
	  call_with_line_break_is_not_sent },
	{ "call_is_not_sent_on_used_connection",
	  call_is_not_sent_on_used_connection },
	{ "step_lost_on_used_connection_is_not_repeated",
	  step_lost_on_used_connection_is_not_repeated },
	{ "stream_answers_are_classified", stream_answers_are_classified },
	{ "lack_of_descriptors_is_no_refused_connection",
	  lack_of_descriptors_is_no_refused_connection },
	{ "refused_connection_is_classified",
	  refused_connection_is_classified },
	{ "cut_service_answer_is_not_whole", cut_service_answer_is_not_whole },
	{ "cut_engine_stream_is_not_whole", cut_engine_stream_is_not_whole },
	{ "cut_engine_step_is_not_whole", cut_engine_step_is_not_whole },
	{ "cancelled_exchange_closes_its_connection",
	  cancelled_exchange_closes_its_connection },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "http_clients",
				    .pTests = http_clients_tests },
				  CU_SUITE_INFO_NULL };
	int exit_code;

	cb_program_init();
	test_clock = cb_clock_new(NULL);
	exit_code = support_run(suites);
	cb_clock_delete(test_clock);
	return exit_code;
}
