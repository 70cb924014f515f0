#include "incident.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_programs.h"

#define TICK_MS 2
#define EPOLL_EVENTS 256
#define READ_BUFFER_BYTES 16384
/* A caller abandons its request after a gap of this length. */
#define GAP_MAX_MS 2000
/* Idle connections that are older are not used again. */
#define IDLE_MAX_MS 1500
/* After this time a caller comes back whose request was not served. */
#define RETURN_MS 500
/* Longest wait for the answers to the last requests. */
#define END_TIMEOUT_MS 25000

/* A caller without a request, of those that send one after the other. */
typedef struct caller {
	unsigned int entry;
	int64_t return_ms; /* when it sends the next one */
} caller_t;

typedef struct exchange {
	incident_callers_t *callers;
	unsigned int entry;
	int fd;
	incident_request_t *request; /* NULL: idle */
	GString *output;
	GString *input;
	int64_t heard_ms; /* when something was last read or sent */
} exchange_t;

struct incident_callers {
	incident_callers_setup_t setup;
	char **entry_addresses;
	unsigned int entry_count;
	GRand *random;
	GPtrArray *requests; /* incident_request_t */
	GHashTable *open;    /* set of exchange_t */
	GQueue *idle;	     /* an array of queues of exchange_t, by entry */
	GArray *waiting;     /* of caller_t */
	int epoll;
	int is_ending; /* atomic */
	GThread *loop;
};

static const char *const method_and_path[INCIDENT_KIND_COUNT] = {
	[INCIDENT_STREAM] = "POST /s/",
	[INCIDENT_STREAM_ONCE] = "POST /u/",
	[INCIDENT_SAFE] = "POST /r/",
	[INCIDENT_UNSAFE] = "POST /o/",
};

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void exchange_free_(void *data)
{
	exchange_t *exchange = data;

	/* A process that is being started may hold the descriptor for a while. */
	(void)epoll_ctl(exchange->callers->epoll, EPOLL_CTL_DEL, exchange->fd,
			NULL);
	close(exchange->fd);
	g_string_free(exchange->input, TRUE);
	g_string_free(exchange->output, TRUE);
	g_free(exchange);
}

/* Returns the body of a chunked answer without its framing; free it. */
static char *chunks_join_(const char *body)
{
	GString *joined = g_string_new(NULL);

	for (;;) {
		char *line_end = NULL;
		size_t size = strtoul(body, &line_end, 16);

		if (line_end == body || !size ||
		    !g_str_has_prefix(line_end, "\r\n") ||
		    strlen(line_end) < size + 4)
			break;
		g_string_append_len(joined, line_end + 2, (gssize)size);
		body = line_end + size + 4;
	}
	return g_string_free(joined, FALSE);
}

/* Returns the whole body of the answer to a request; free it. */
static char *expected_body_new_(const incident_callers_t *callers,
				const incident_request_t *request)
{
	GString *body = g_string_new(NULL);
	unsigned int event;

	if (request->kind == INCIDENT_SAFE ||
	    request->kind == INCIDENT_UNSAFE) {
		g_string_append(body, request->id);
		return g_string_free(body, FALSE);
	}
	for (event = 1; event <= callers->setup.event_count; event++)
		g_string_append_printf(body, "id: %u\ndata: %s\n\n", event,
				       request->id);
	return g_string_free(body, FALSE);
}

/* Returns the size of an answer's body; -1: chunked. */
static int64_t body_size_(const char *head)
{
	const char *length = strcasestr(head, "\r\nContent-Length: ");
	const char *end = strstr(head, "\r\n\r\n");

	if (length && length < end)
		return g_ascii_strtoll(length + strlen("\r\nContent-Length: "),
				       NULL, 10);
	return -1;
}

/* Returns whether an answer has ended as a complete one. */
static gboolean answer_has_ended_(const GString *input)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	int64_t size;

	if (!end)
		return FALSE;
	size = body_size_(input->str);
	if (size < 0)
		return g_str_has_suffix(end, "\r\n0\r\n\r\n");
	return (int64_t)strlen(end + 4) >= size;
}

static incident_end_t answer_check_(const exchange_t *exchange)
{
	const incident_request_t *request = exchange->request;
	const char *body = strstr(exchange->input->str, "\r\n\r\n") + 4;
	char *expected = expected_body_new_(exchange->callers, request);
	char *joined = body_size_(exchange->input->str) < 0 ?
			       chunks_join_(body) :
			       g_strdup(body);
	incident_end_t end = request->status != 200	   ? INCIDENT_REFUSED :
			     g_str_equal(joined, expected) ? INCIDENT_WHOLE :
							     INCIDENT_BROKEN;

	g_free(joined);
	g_free(expected);
	return end;
}

static void caller_wait_(incident_callers_t *callers, unsigned int entry,
			 incident_end_t end)
{
	caller_t caller = { .entry = entry, .return_ms = now_ms_() };

	if (end != INCIDENT_WHOLE)
		caller.return_ms += RETURN_MS;
	g_array_append_val(callers->waiting, caller);
}

static void request_end_(exchange_t *exchange, incident_end_t end)
{
	exchange->request->end = end;
	exchange->request->ended_ms = now_ms_();
	exchange->request = NULL;
	caller_wait_(exchange->callers, exchange->entry, end);
}

/* Closes a connection, after its request has ended. */
static void exchange_close_(exchange_t *exchange)
{
	incident_callers_t *callers = exchange->callers;

	g_queue_remove(&callers->idle[exchange->entry], exchange);
	g_hash_table_remove(callers->open, exchange);
}

/* Handles an answer that has ended; the connection may be used again. */
static void answer_end_(exchange_t *exchange)
{
	gboolean is_closing = strcasestr(exchange->input->str,
					 "\r\nConnection: close") != NULL;

	request_end_(exchange, answer_check_(exchange));
	if (is_closing) {
		exchange_close_(exchange);
		return;
	}
	exchange->heard_ms = now_ms_();
	g_queue_push_head(&exchange->callers->idle[exchange->entry], exchange);
}

/* Handles bytes that were read, or the end of the connection. */
static void answer_receive_(exchange_t *exchange)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t size = recv(exchange->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (size < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (size <= 0 || !exchange->request) {
		if (exchange->request)
			request_end_(exchange, size < 0 ? INCIDENT_RESET :
							  INCIDENT_CLOSED);
		exchange_close_(exchange);
		return;
	}
	g_string_append_len(exchange->input, buffer, size);
	exchange->heard_ms = now_ms_();
	if (strstr(exchange->input->str, "\r\n\r\n"))
		exchange->request->status =
			support_answer_status(exchange->input->str);
	if (!exchange->request->has_begun &&
	    strstr(exchange->input->str, "data: ")) {
		exchange->request->has_begun = TRUE;
		exchange->request->begun_ms = exchange->heard_ms;
	}
	if (answer_has_ended_(exchange->input))
		answer_end_(exchange);
}

static void output_flush_(exchange_t *exchange)
{
	ssize_t size = send(exchange->fd, exchange->output->str,
			    exchange->output->len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (size > 0)
		g_string_erase(exchange->output, 0, size);
}

/* Returns a connection that begins to connect; NULL: it can't. */
static exchange_t *exchange_connect_(incident_callers_t *callers,
				     unsigned int entry)
{
	struct epoll_event event = { .events = EPOLLIN };
	struct sockaddr_in address = { .sin_family = AF_INET };
	char **parts = g_strsplit(callers->entry_addresses[entry], ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	exchange_t *exchange;
	int on = 1;

	address.sin_port = htons((uint16_t)atoi(parts[1]));
	g_assert(fd >= 0 && inet_pton(AF_INET, parts[0], &address.sin_addr));
	g_strfreev(parts);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	exchange = g_new0(exchange_t, 1);
	exchange->callers = callers;
	exchange->entry = entry;
	exchange->fd = fd;
	exchange->input = g_string_new(NULL);
	exchange->output = g_string_new(NULL);
	event.data.ptr = exchange;
	(void)epoll_ctl(callers->epoll, EPOLL_CTL_ADD, fd, &event);
	g_hash_table_add(callers->open, exchange);
	return exchange;
}

/* Returns an idle connection to an entry instance, or a new one. */
static exchange_t *exchange_take_(incident_callers_t *callers,
				  unsigned int entry)
{
	exchange_t *exchange;

	while ((exchange = g_queue_pop_head(&callers->idle[entry]))) {
		if (now_ms_() - exchange->heard_ms < IDLE_MAX_MS)
			return exchange;
		exchange_close_(exchange);
	}
	return exchange_connect_(callers, entry);
}

/* Writes a request, one in three with its body in chunks. */
static void request_write_(const incident_callers_t *callers,
			   const incident_request_t *request, GString *text)
{
	g_string_printf(text,
			"%s%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
			"X-Time-Budget: %d\r\nX-Model: m\r\n"
			"X-Token-Count: 800,142\r\n"
			"X-Prompt-Prefix: 5c1e07a2:40,%.8s:760\r\n"
			"Authorization: Bearer key%u\r\n",
			method_and_path[request->kind], request->id,
			request->id, callers->setup.time_budget_ms, request->id,
			callers->requests->len % 24);
	if (callers->requests->len % 3)
		g_string_append(text, "Content-Length: 4\r\n\r\nbody");
	else
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n"
				      "4\r\nbody\r\n0\r\n\r\n");
}

/* Sends a request to an entry instance; most are resumable streams. */
static void request_send_(incident_callers_t *callers, unsigned int entry)
{
	incident_request_t *request = g_new0(incident_request_t, 1);
	int draw = g_rand_int_range(callers->random, 0, 20);
	exchange_t *exchange;

	g_snprintf(request->id, sizeof(request->id), "%08x%08x",
		   g_rand_int(callers->random), g_rand_int(callers->random));
	request->kind = draw == 0 ? INCIDENT_SAFE :
			draw == 1 ? INCIDENT_UNSAFE :
			draw < 5  ? INCIDENT_STREAM_ONCE :
				    INCIDENT_STREAM;
	request->sent_ms = now_ms_();
	g_ptr_array_add(callers->requests, request);
	exchange = exchange_take_(callers, entry);
	if (!exchange) {
		request->end = INCIDENT_CLOSED;
		request->ended_ms = request->sent_ms;
		caller_wait_(callers, entry, INCIDENT_CLOSED);
		return;
	}
	exchange->request = request;
	exchange->heard_ms = request->sent_ms;
	g_string_truncate(exchange->input, 0);
	request_write_(callers, request, exchange->output);
	output_flush_(exchange);
}

/* Returns whether something lies unread in an exchange's socket. */
static gboolean has_input_(const exchange_t *exchange)
{
	struct pollfd socket = { .fd = exchange->fd, .events = POLLIN };

	return poll(&socket, 1, 0) > 0;
}

/* Sends the requests that are due, at the rate or of the callers that wait. */
static void requests_send_(incident_callers_t *callers, int64_t elapsed_ms)
{
	const incident_callers_setup_t *setup = &callers->setup;
	unsigned int i = callers->waiting->len;

	while (setup->caller_count && i--) {
		caller_t caller = g_array_index(callers->waiting, caller_t, i);

		if (now_ms_() < caller.return_ms)
			continue;
		g_array_remove_index(callers->waiting, i);
		request_send_(callers, caller.entry);
	}
	while (!setup->caller_count &&
	       callers->requests->len * 1000 / setup->rate_per_s < elapsed_ms)
		request_send_(callers, (unsigned int)g_rand_int_range(
					       callers->random, 0,
					       (int)callers->entry_count));
}

/* Sends what is left, and has callers leave after a long gap. */
static void exchanges_update_(incident_callers_t *callers)
{
	int64_t now_ms = now_ms_();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		exchange_t *exchange = key;

		if (exchange->output->len)
			output_flush_(exchange);
		/* A late loop has not read all: that is no gap of the answer. */
		if (!exchange->request || callers->setup.has_long_gaps ||
		    now_ms - exchange->heard_ms < GAP_MAX_MS ||
		    has_input_(exchange))
			continue;
		request_end_(exchange, INCIDENT_LEFT);
		g_hash_table_iter_remove(&iter);
	}
}

static gboolean has_pending_(incident_callers_t *callers)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, callers->open);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (((exchange_t *)key)->request)
			return TRUE;
	return FALSE;
}

static void *loop_run_(void *data)
{
	incident_callers_t *callers = data;
	struct epoll_event events[EPOLL_EVENTS];
	int64_t begin_ms = now_ms_();
	int64_t end_ms = 0;

	while (!end_ms || (has_pending_(callers) && now_ms_() < end_ms)) {
		int count = epoll_wait(callers->epoll, events, EPOLL_EVENTS,
				       TICK_MS);
		int i;

		for (i = 0; i < count; i++)
			answer_receive_(events[i].data.ptr);
		exchanges_update_(callers);
		if (!end_ms && g_atomic_int_get(&callers->is_ending))
			end_ms = now_ms_() + END_TIMEOUT_MS;
		if (!end_ms)
			requests_send_(callers, now_ms_() - begin_ms);
	}
	return NULL;
}

incident_callers_t *incident_callers_new(const incident_callers_setup_t *setup,
					 char *const *entry_addresses)
{
	incident_callers_t *callers = g_new0(incident_callers_t, 1);
	unsigned int i;

	callers->setup = *setup;
	callers->entry_addresses = g_strdupv((char **)entry_addresses);
	callers->entry_count = g_strv_length(callers->entry_addresses);
	callers->random = g_rand_new_with_seed(setup->seed);
	callers->requests = g_ptr_array_new_with_free_func(g_free);
	callers->open = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      exchange_free_, NULL);
	callers->idle = g_new0(GQueue, callers->entry_count);
	for (i = 0; i < callers->entry_count; i++)
		g_queue_init(&callers->idle[i]);
	callers->waiting = g_array_new(FALSE, FALSE, sizeof(caller_t));
	for (i = 0; i < setup->caller_count; i++)
		caller_wait_(callers, i % callers->entry_count, INCIDENT_WHOLE);
	callers->epoll = epoll_create1(EPOLL_CLOEXEC);
	callers->loop = g_thread_new("callers", loop_run_, callers);
	return callers;
}

GPtrArray *incident_callers_end(incident_callers_t *callers)
{
	GPtrArray *requests = callers->requests;
	unsigned int i;

	g_atomic_int_set(&callers->is_ending, TRUE);
	g_thread_join(callers->loop);
	for (i = 0; i < callers->entry_count; i++)
		g_queue_clear(&callers->idle[i]);
	g_hash_table_unref(callers->open);
	g_array_unref(callers->waiting);
	close(callers->epoll);
	g_free(callers->idle);
	g_rand_free(callers->random);
	g_strfreev(callers->entry_addresses);
	g_free(callers);
	return requests;
}
