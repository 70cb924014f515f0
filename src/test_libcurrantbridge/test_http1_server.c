#include "support_main.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantbridge/http1_server.h"

/*
 * Tests what a caller's connection does while its answer is on the way, over
 * real sockets and with a paused clock.
 */
#define START_MS 1000000
/* More than the sockets' buffers hold. */
#define LONG_ANSWER_BYTES ((size_t)16 * 1024 * 1024)
#define RECEIVE_BUFFER_BYTES 4096
#define SHORT_IDLE_TIMEOUT_MS 800
/* The silence of a caller that reads on afterwards, and of one that never does. */
#define CALLER_SILENCE_MS 1500
#define CALLER_LOST_MS 30000
#define STEP_MS 100
#define LOOP_ITERATIONS_MAX 4000
#define LOOP_SLEEP_US 500

/* A server and one caller, whose socket is read by hand. */
typedef struct server_fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_http1_server_t *server;
	int caller_fd;
	size_t answer_bytes;  /* length of each answer's body */
	gboolean holds_first; /* the first request is answered later */
	gboolean holds_all;   /* no request is answered by the handler */
	cb_http1_exchange_t *held;
	unsigned int request_count;
	unsigned int disconnect_count;
	/* Calls for lack of a descriptor, and the connections evicted for it. */
	unsigned int exhausted_count;
	unsigned int evicted_count;
} server_fixture_t;

static void answer_send_(const server_fixture_t *fixture,
			 cb_http1_exchange_t *exchange)
{
	char *body = g_strnfill(fixture->answer_bytes, 'x');

	cb_http1_exchange_reply(exchange, 200, NULL, body,
				fixture->answer_bytes);
	g_free(body);
}

static void caller_disconnected_(void *user_data)
{
	server_fixture_t *fixture = user_data;

	fixture->disconnect_count++;
	fixture->held = NULL;
}

static void request_receive_(cb_http1_exchange_t *exchange, void *user_data)
{
	server_fixture_t *fixture = user_data;

	fixture->request_count++;
	if (!fixture->holds_all &&
	    (!fixture->holds_first || fixture->request_count > 1)) {
		answer_send_(fixture, exchange);
		return;
	}
	fixture->held = exchange;
	cb_http1_exchange_set_disconnect_fn(exchange, caller_disconnected_,
					    fixture);
}

static gboolean exhausted_(unsigned int evicted, void *user_data)
{
	server_fixture_t *fixture = user_data;

	fixture->exhausted_count++;
	fixture->evicted_count += evicted;
	return FALSE;
}

/* Returns a caller's connected socket. */
static int caller_connect_(const server_fixture_t *fixture)
{
	const int buffer_bytes = RECEIVE_BUFFER_BYTES;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
			 sizeof(buffer_bytes));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(cb_http1_server_port(fixture->server));
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&address,
				      sizeof(address)),
			      0);
	return fd;
}

static void fixture_init_(server_fixture_t *fixture)
{
	*fixture = (server_fixture_t){ .answer_bytes = 2 };
	fixture->clock = cb_clock_new_paused(START_MS);
	fixture->counters = cb_counters_new();
	fixture->server =
		cb_http1_server_new(NULL, fixture->clock, fixture->counters,
				    request_receive_, fixture);
	cb_http1_server_on_exhausted(fixture->server, exhausted_);
	CU_ASSERT_TRUE_FATAL(
		cb_http1_server_listen(fixture->server, "127.0.0.1:0", NULL));
	fixture->caller_fd = caller_connect_(fixture);
}

/* Frees the fixture, and the bound of its server, which may be NULL. */
static void fixture_clear_keeping_(server_fixture_t *fixture,
				   cb_memory_bound_t *bound)
{
	close(fixture->caller_fd);
	cb_http1_server_delete(fixture->server);
	if (bound)
		CU_ASSERT_EQUAL(cb_memory_bound_kept_bytes(bound), 0);
	cb_memory_bound_delete(bound);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
}

static void fixture_clear_(server_fixture_t *fixture)
{
	fixture_clear_keeping_(fixture, NULL);
}

static void loop_run_(const server_fixture_t *fixture)
{
	int i;

	for (i = 0; i < 4; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		cb_clock_advance(fixture->clock, 0);
		g_usleep(LOOP_SLEEP_US);
	}
}

/* Advances the clock in steps, after each of which sockets are served. */
static void time_pass_(const server_fixture_t *fixture, int64_t duration_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < duration_ms; passed_ms += STEP_MS) {
		cb_clock_advance(fixture->clock, STEP_MS);
		loop_run_(fixture);
	}
}

/* Sends bytes as far as the server takes them; returns how many it took. */
static size_t bytes_send_(const server_fixture_t *fixture, const char *data,
			  size_t size)
{
	size_t total = 0;
	int i;

	for (i = 0; i < LOOP_ITERATIONS_MAX && total < size; i++) {
		ssize_t sent = send(fixture->caller_fd, data + total,
				    size - total, MSG_DONTWAIT | MSG_NOSIGNAL);

		total += (size_t)MAX(sent, 0);
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (sent < 0)
			g_usleep(LOOP_SLEEP_US);
	}
	loop_run_(fixture);
	return total;
}

/*
 * Reads until `size` bytes have come or the connection has ended, and counts
 * the occurrences of `text` (NULL: none).  Returns the bytes received.
 */
static size_t bytes_receive_(const server_fixture_t *fixture, size_t size,
			     const char *text, unsigned int *count)
{
	GString *received = g_string_new(NULL);
	const char *next = NULL;
	size_t total;
	int idle = 0;

	while (received->len < size && idle < LOOP_ITERATIONS_MAX) {
		char buffer[16384];
		ssize_t got = recv(fixture->caller_fd, buffer, sizeof(buffer),
				   MSG_DONTWAIT);

		if (!got || (got < 0 && errno != EAGAIN))
			break;
		while (g_main_context_iteration(NULL, FALSE))
			;
		if (got > 0) {
			g_string_append_len(received, buffer, got);
			idle = 0;
			continue;
		}
		idle++;
		g_usleep(LOOP_SLEEP_US);
	}
	next = received->str;
	while (text && (next = strstr(next, text))) {
		(*count)++;
		next += strlen(text);
	}
	total = received->len;
	g_string_free(received, TRUE);
	return total;
}

typedef struct reader_case {
	const char *description; /* printed if the case fails */
	const char *request;
	int64_t idle_timeout_ms;
	gboolean is_draining;
	int64_t silence_ms;
	gboolean expects_whole;
} reader_case_t;

#define CLOSE_REQUEST "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define KEEP_REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static const reader_case_t reader_cases[] = {
	{ "the caller asks for the close", CLOSE_REQUEST, 15000, FALSE,
	  CALLER_SILENCE_MS, TRUE },
	{ "the instance stops", KEEP_REQUEST, 15000, TRUE, CALLER_SILENCE_MS,
	  TRUE },
	{ "the connection is kept, with a short idle timeout", KEEP_REQUEST,
	  SHORT_IDLE_TIMEOUT_MS, FALSE, CALLER_SILENCE_MS, TRUE },
	{ "the caller never reads on", CLOSE_REQUEST, 15000, FALSE,
	  CALLER_LOST_MS, FALSE },
};

static gboolean reader_case_run_(const reader_case_t *c)
{
	cb_http1_limits_t limits = { .max_header_bytes = 4096,
				     .max_body_bytes = 4096,
				     .header_timeout_ms = 3000,
				     .idle_timeout_ms = c->idle_timeout_ms };
	server_fixture_t fixture;
	gboolean is_counted;
	size_t received;

	fixture_init_(&fixture);
	fixture.answer_bytes = LONG_ANSWER_BYTES;
	cb_http1_server_set_limits(fixture.server, &limits);
	if (c->is_draining)
		cb_http1_server_drain(fixture.server);
	(void)bytes_send_(&fixture, c->request, strlen(c->request));
	CU_ASSERT_EQUAL(fixture.request_count, 1);
	time_pass_(&fixture, c->silence_ms);
	is_counted = cb_http1_server_count_requests(fixture.server) == 1;
	received = bytes_receive_(&fixture, LONG_ANSWER_BYTES, NULL, NULL);
	fixture_clear_(&fixture);
	if ((received >= LONG_ANSWER_BYTES) == c->expects_whole &&
	    is_counted == c->expects_whole)
		return TRUE;
	printf("    %s: %zu of %zu bytes came, the request %s as open\n",
	       c->description, received, LONG_ANSWER_BYTES,
	       is_counted ? "counts" : "doesn't count");
	return FALSE;
}

/*
 * A caller may fall silent for a while and read on: neither a timeout nor a stop
 * of the instance may cut the answer that it has not read yet.
 */
static void unread_answer_is_not_cut(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reader_cases); i++)
		CU_ASSERT_TRUE(reader_case_run_(&reader_cases[i]));
}

/* More than may wait in memory behind a request that is being answered. */
#define LONG_BODY_BYTES ((size_t)3 * 1024 * 1024)

/*
 * A request that a caller sends before it has the answer to its last one must
 * not end that answer, however long it is.
 */
static void pipelined_body_does_not_cut_answer(void)
{
	GString *text = g_string_new(KEEP_REQUEST);
	char *body = g_strnfill(LONG_BODY_BYTES, 'x');
	server_fixture_t fixture;
	unsigned int count = 0;
	size_t sent;

	g_string_append_printf(text,
			       "POST / HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       LONG_BODY_BYTES, body);
	fixture_init_(&fixture);
	fixture.holds_first = TRUE;
	sent = bytes_send_(&fixture, text->str, text->len);
	CU_ASSERT_EQUAL(fixture.disconnect_count, 0);
	if (fixture.held) {
		answer_send_(&fixture, fixture.held);
		loop_run_(&fixture);
		sent += bytes_send_(&fixture, text->str + sent,
				    text->len - sent);
		CU_ASSERT_EQUAL(sent, text->len);
		(void)bytes_receive_(&fixture, LONG_ANSWER_BYTES,
				     "HTTP/1.1 200 ", &count);
	}
	CU_ASSERT_EQUAL(count, 2);
	fixture_clear_(&fixture);
	g_string_free(text, TRUE);
	g_free(body);
}

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
#define IDLE_CALLERS 20

/*
 * Lets the process open one more descriptor only, which a caller's socket takes, and
 * returns that socket.
 */
static int last_caller_connect_(const server_fixture_t *fixture,
				struct rlimit *before)
{
	struct rlimit limit;
	int unused = dup(0);

	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, before), 0);
	limit = *before;
	limit.rlim_cur = (rlim_t)unused + 1;
	close(unused);
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	return caller_connect_(fixture);
}

/* Sends a request; returns whether it is answered with 200. */
static gboolean is_served_(const server_fixture_t *fixture, int fd)
{
	char answer[256] = "";

	(void)send(fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL);
	loop_run_(fixture);
	(void)recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
	return g_str_has_prefix(answer, "HTTP/1.1 200 ");
}

static int64_t refusals_(const server_fixture_t *fixture, const char *reason)
{
	return cb_counter_get(cb_counters_counter(fixture->counters,
						  "cb_http1_refused_total",
						  "reason", reason));
}

/*
 * Out of descriptors, the server spun without accepting anybody until idle callers
 * had gone by themselves: those that are idle longest must make room.
 */
static void idle_callers_make_room_for_new_ones(void)
{
	server_fixture_t fixture;
	int idle[IDLE_CALLERS];
	struct rlimit before;
	unsigned int i;
	char byte;
	int fd;

	fixture_init_(&fixture);
	for (i = 0; i < IDLE_CALLERS; i++) {
		time_pass_(&fixture, STEP_MS);
		idle[i] = caller_connect_(&fixture);
		loop_run_(&fixture);
	}
	/* It has been idle for the longest time, and no longer is. */
	CU_ASSERT_TRUE(is_served_(&fixture, fixture.caller_fd));
	fd = last_caller_connect_(&fixture, &before);
	CU_ASSERT_TRUE(is_served_(&fixture, fd));
	CU_ASSERT_EQUAL(refusals_(&fixture, "evicted"), 16);
	CU_ASSERT_EQUAL(fixture.exhausted_count, 1);
	CU_ASSERT_EQUAL(fixture.evicted_count, 16);
	/* The first caller and the new one stay, and those not evicted. */
	CU_ASSERT_EQUAL(cb_http1_server_count_connections(fixture.server),
			IDLE_CALLERS + 2 - 16);
	CU_ASSERT_EQUAL(recv(idle[0], &byte, 1, MSG_DONTWAIT), 0);
	CU_ASSERT_TRUE(is_served_(&fixture, idle[IDLE_CALLERS - 1]));
	CU_ASSERT_TRUE(is_served_(&fixture, fixture.caller_fd));
	setrlimit(RLIMIT_NOFILE, &before);
	for (i = 0; i < IDLE_CALLERS; i++)
		close(idle[i]);
	close(fd);
	fixture_clear_(&fixture);
}

/* With all callers being served, new ones wait, and are not tried without a pause. */
static void callers_wait_while_descriptors_are_in_use(void)
{
	server_fixture_t fixture;
	struct rlimit before;
	int fd;

	fixture_init_(&fixture);
	fixture.holds_first = TRUE;
	CU_ASSERT_FALSE(is_served_(&fixture, fixture.caller_fd));
	fd = last_caller_connect_(&fixture, &before);
	CU_ASSERT_FALSE(is_served_(&fixture, fd));
	loop_run_(&fixture);
	CU_ASSERT_EQUAL(refusals_(&fixture, "out_of_descriptors"), 1);
	time_pass_(&fixture, STEP_MS);
	CU_ASSERT_EQUAL(refusals_(&fixture, "out_of_descriptors"), 2);
	CU_ASSERT_EQUAL(fixture.exhausted_count, 2);
	CU_ASSERT_EQUAL(fixture.evicted_count, 0);
	CU_ASSERT_EQUAL(fixture.disconnect_count, 0);
	answer_send_(&fixture, fixture.held);
	loop_run_(&fixture);
	time_pass_(&fixture, STEP_MS);
	CU_ASSERT_TRUE(is_served_(&fixture, fd));
	setrlimit(RLIMIT_NOFILE, &before);
	close(fd);
	fixture_clear_(&fixture);
}

#define TURNS 20
#define REFUSAL_MAX_MS 500

/*
 * A caller that sends its next request at once was served on, for as long as it went
 * on, while a new one waited.
 */
static void kept_callers_take_turns_with_new_ones(void)
{
	server_fixture_t fixture;
	char answer[256] = "";
	struct rlimit before;
	unsigned int i;
	int fd;

	fixture_init_(&fixture);
	fixture.holds_all = TRUE;
	CU_ASSERT_FALSE(is_served_(&fixture, fixture.caller_fd));
	fd = last_caller_connect_(&fixture, &before);
	CU_ASSERT_FALSE(is_served_(&fixture, fd));
	for (i = 0; i < TURNS && !strstr(answer, "Connection: close"); i++) {
		time_pass_(&fixture, STEP_MS);
		answer_send_(&fixture, g_steal_pointer(&fixture.held));
		CU_ASSERT_TRUE_FATAL(recv(fixture.caller_fd, answer,
					  sizeof(answer) - 1, 0) > 0);
		CU_ASSERT_TRUE(g_str_has_prefix(answer, "HTTP/1.1 200 "));
		if (!strstr(answer, "Connection: close"))
			CU_ASSERT_FALSE(
				is_served_(&fixture, fixture.caller_fd));
	}
	CU_ASSERT_TRUE(i < TURNS);
	shutdown(fixture.caller_fd, SHUT_WR);
	time_pass_(&fixture, STEP_MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.held);
	answer_send_(&fixture, fixture.held);
	CU_ASSERT_TRUE(is_served_(&fixture, fd));
	CU_ASSERT_EQUAL(fixture.disconnect_count, 0);
	setrlimit(RLIMIT_NOFILE, &before);
	close(fd);
	fixture_clear_(&fixture);
}

/* Sends a request without waiting for its answer. */
static void request_send_(int fd)
{
	CU_ASSERT_EQUAL(send(fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL),
			(ssize_t)strlen(REQUEST));
}

/* Returns whether an answer has arrived that tells when to come back. */
static gboolean is_refused_(int fd)
{
	char answer[512] = "";

	return recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0 &&
	       g_str_has_prefix(answer, "HTTP/1.1 503 ") &&
	       strstr(answer, "\r\nRetry-After: ") &&
	       strstr(answer, "\r\nConnection: close\r\n") &&
	       strstr(answer, "\"executed\":\"no\"");
}

/*
 * Callers for whom no descriptor came free waited in the queue of the listening socket
 * for as long as the others were served: each must hear of it in time, and one that
 * has sent nothing must not stand in the way.
 */
static void queued_callers_are_refused_in_bounded_time(void)
{
	server_fixture_t fixture;
	struct rlimit before;
	struct rlimit limit;
	int callers[IDLE_CALLERS];
	unsigned int refused = 0;
	unsigned int i;

	fixture_init_(&fixture);
	fixture.holds_all = TRUE;
	cb_http1_server_refuse_queued(fixture.server);
	CU_ASSERT_FALSE(is_served_(&fixture, fixture.caller_fd));
	for (i = 0; i < IDLE_CALLERS; i++) {
		callers[i] = caller_connect_(&fixture);
		if (i)
			request_send_(callers[i]);
	}
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &before), 0);
	limit = before;
	limit.rlim_cur = (rlim_t)callers[IDLE_CALLERS - 1] + 1;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	for (i = 0; i < REFUSAL_MAX_MS / STEP_MS; i++) {
		time_pass_(&fixture, STEP_MS);
		loop_run_(&fixture);
	}
	for (i = 1; i < IDLE_CALLERS; i++)
		refused += is_refused_(callers[i]);
	CU_ASSERT_EQUAL(refused, IDLE_CALLERS - 1);
	CU_ASSERT_EQUAL(fixture.request_count, 1);
	CU_ASSERT_EQUAL(fixture.disconnect_count, 0);
	setrlimit(RLIMIT_NOFILE, &before);
	for (i = 0; i < IDLE_CALLERS; i++)
		close(callers[i]);
	/* With descriptors, callers are served as before. */
	time_pass_(&fixture, REFUSAL_MAX_MS);
	fixture.holds_all = FALSE;
	callers[0] = caller_connect_(&fixture);
	CU_ASSERT_TRUE(is_served_(&fixture, callers[0]));
	close(callers[0]);
	fixture_clear_(&fixture);
}

/*
 * Guards against callers whose requests take all descriptors, so that none is left for
 * connections to servers and all of them wait in vain.
 */
static void callers_leave_descriptors_to_servers(void)
{
	server_fixture_t fixture;
	struct rlimit before;
	struct rlimit limit;
	int callers[IDLE_CALLERS];
	unsigned int refused = 0;
	unsigned int i;

	fixture_init_(&fixture);
	fixture.holds_all = TRUE;
	cb_http1_server_refuse_queued(fixture.server);
	for (i = 0; i < IDLE_CALLERS; i++)
		callers[i] = caller_connect_(&fixture);
	request_send_(fixture.caller_fd);
	loop_run_(&fixture);
	for (i = 0; i < IDLE_CALLERS; i++)
		request_send_(callers[i]);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &before), 0);
	limit = before;
	limit.rlim_cur = IDLE_CALLERS;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	CU_ASSERT_FALSE(cb_http1_server_make_room(fixture.server));
	loop_run_(&fixture);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &before), 0);
	for (i = 0; i < IDLE_CALLERS; i++)
		refused += is_refused_(callers[i]);
	CU_ASSERT_EQUAL(fixture.request_count, IDLE_CALLERS / 2);
	CU_ASSERT_EQUAL(refused, IDLE_CALLERS + 1 - IDLE_CALLERS / 2);
	CU_ASSERT_EQUAL(fixture.disconnect_count, 0);
	for (i = 0; i < IDLE_CALLERS; i++)
		close(callers[i]);
	fixture_clear_(&fixture);
}

/* Memory of the process in the next test, which keeps 2 MB of it for others. */
#define MEMORY_BYTES (8 * 1000 * 1000)

/*
 * A request with a body that can't be kept is refused before its body is read, as
 * one that has not run; others are served.
 */
static void body_that_can_not_be_kept_is_refused(void)
{
	static const struct {
		unsigned int body_bytes;
		size_t kept_bytes; /* by others */
		const char *status;
	} cases[] = {
		{ 10000, 0, "HTTP/1.1 200 OK\r\n" },
		{ 10000, 1900000, "HTTP/1.1 200 OK\r\n" },
		{ 700000, 0, "HTTP/1.1 200 OK\r\n" },
		{ 700000, 200000, "HTTP/1.1 503 Service Unavailable\r\n" },
		{ 800000, 0, "HTTP/1.1 503 Service Unavailable\r\n" },
		{ 16385, 1500000, "HTTP/1.1 503 Service Unavailable\r\n" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_memory_account_t others;
		cb_memory_bound_t *bound;
		server_fixture_t fixture;
		char answer[512] = "";
		char *head;
		char *body;

		fixture_init_(&fixture);
		bound = cb_memory_bound_new(fixture.clock, NULL,
					    fixture.counters, MEMORY_BYTES);
		cb_memory_account_init(&others, bound, CB_MEMORY_ANSWERS);
		cb_memory_account_set(&others, cases[i].kept_bytes);
		cb_http1_server_set_bound(fixture.server, bound);
		head = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
				       "Content-Length: %u\r\n\r\n",
				       cases[i].body_bytes);
		(void)bytes_send_(&fixture, head, strlen(head));
		if (strstr(cases[i].status, "200")) {
			body = g_malloc0(cases[i].body_bytes);
			CU_ASSERT_EQUAL(bytes_send_(&fixture, body,
						    cases[i].body_bytes),
					cases[i].body_bytes);
			g_free(body);
		} else {
			CU_ASSERT_EQUAL(refusals_(&fixture, "memory"), 1);
		}
		CU_ASSERT_TRUE(recv(fixture.caller_fd, answer,
				    sizeof(answer) - 1, MSG_DONTWAIT) > 0);
		CU_ASSERT_TRUE(g_str_has_prefix(answer, cases[i].status));
		CU_ASSERT_EQUAL(strstr(answer, "Retry-After: ") != NULL,
				strstr(answer, " 503 ") != NULL);
		CU_ASSERT_EQUAL(strstr(answer, "\"executed\":\"no\"") != NULL,
				strstr(answer, " 503 ") != NULL);
		g_free(head);
		cb_memory_account_set(&others, 0);
		fixture_clear_keeping_(&fixture, bound);
	}
}

/* Guards against callers that are reset while their request is on its way. */
static void caller_that_has_sent_a_request_does_not_make_room(void)
{
	server_fixture_t fixture;
	unsigned int served = 0;
	int callers[IDLE_CALLERS];
	struct rlimit before;
	char answer[256];
	unsigned int i;
	int fd;

	fixture_init_(&fixture);
	for (i = 0; i < IDLE_CALLERS; i++)
		callers[i] = caller_connect_(&fixture);
	loop_run_(&fixture);
	fd = last_caller_connect_(&fixture, &before);
	for (i = 0; i < IDLE_CALLERS; i++)
		CU_ASSERT_EQUAL(send(callers[i], REQUEST, strlen(REQUEST),
				     MSG_NOSIGNAL),
				(ssize_t)strlen(REQUEST));
	loop_run_(&fixture);
	for (i = 0; i < IDLE_CALLERS; i++)
		served += recv(callers[i], answer, sizeof(answer),
			       MSG_DONTWAIT) > 0;
	CU_ASSERT_EQUAL(served, IDLE_CALLERS);
	if (served != IDLE_CALLERS)
		printf("    %u of %u served, %d evicted\n", served,
		       IDLE_CALLERS, (int)refusals_(&fixture, "evicted"));
	setrlimit(RLIMIT_NOFILE, &before);
	for (i = 0; i < IDLE_CALLERS; i++)
		close(callers[i]);
	close(fd);
	fixture_clear_(&fixture);
}

static CU_TestInfo http1_server_tests[] = {
	{ "body_that_can_not_be_kept_is_refused",
	  body_that_can_not_be_kept_is_refused },
	{ "caller_that_has_sent_a_request_does_not_make_room",
	  caller_that_has_sent_a_request_does_not_make_room },
	{ "idle_callers_make_room_for_new_ones",
	  idle_callers_make_room_for_new_ones },
	{ "callers_wait_while_descriptors_are_in_use",
	  callers_wait_while_descriptors_are_in_use },
	{ "kept_callers_take_turns_with_new_ones",
	  kept_callers_take_turns_with_new_ones },
	{ "queued_callers_are_refused_in_bounded_time",
	  queued_callers_are_refused_in_bounded_time },
	{ "callers_leave_descriptors_to_servers",
	  callers_leave_descriptors_to_servers },
	{ "unread_answer_is_not_cut", unread_answer_is_not_cut },
	{ "pipelined_body_does_not_cut_answer",
	  pipelined_body_does_not_cut_answer },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "http1_server",
				    .pTests = http1_server_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
