#include "cuts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_programs.h"
#include "support_sockets.h"

#define TIME_BUDGET_MS 5000
/* A caller abandons its request after a gap of this length. */
#define GAP_MAX_MS 2000
#define READ_BUFFER_BYTES 16384

struct cuts_callers {
	char **entry_addresses;
	unsigned int entry_count;
	GRand *random;
	GPtrArray *requests; /* cuts_request_t */
	GMutex lock;	     /* guards `pending` */
	GCond ended;
	unsigned int pending; /* requests on their way */
};

typedef struct exchange {
	cuts_callers_t *callers;
	cuts_request_t *request;
} exchange_t;

static const char *const method_and_path[CUTS_KIND_COUNT] = {
	[CUTS_STREAM] = "POST /s/",
	[CUTS_SAFE] = "GET /r/",
	[CUTS_UNSAFE] = "POST /o/",
};

/* Returns the whole answer after its head, in its framing; free it. */
static char *expected_body_new_(const cuts_request_t *request)
{
	GString *body = g_string_new(NULL);
	int event;

	if (request->kind != CUTS_STREAM) {
		g_string_append(body, request->id);
		return g_string_free(body, FALSE);
	}
	for (event = 1; event <= CUTS_STREAM_EVENTS; event++)
		g_string_append_printf(body, "id: %d\ndata: %s\n\n", event,
				       request->id);
	return g_string_free(body, FALSE);
}

/* Returns the body of a chunked answer without its framing; free it. */
static char *chunks_join_(const char *body, gboolean *has_ended)
{
	GString *joined = g_string_new(NULL);

	*has_ended = FALSE;
	for (;;) {
		char *line_end = NULL;
		size_t size = strtoul(body, &line_end, 16);

		if (line_end == body || !g_str_has_prefix(line_end, "\r\n") ||
		    strlen(line_end) < size + 4)
			break;
		*has_ended = !size;
		if (!size)
			break;
		g_string_append_len(joined, line_end + 2, (gssize)size);
		body = line_end + size + 4;
	}
	return g_string_free(joined, FALSE);
}

/* Updates what is known of an answer; TRUE: it is whole. */
static gboolean answer_store_(cuts_request_t *request, const char *answer)
{
	const char *body = strstr(answer, "\r\n\r\n");
	char *expected = expected_body_new_(request);
	gboolean has_ended = FALSE;
	char *joined = NULL;

	if (!body)
		goto out;
	body += 4;
	request->status = support_answer_status(answer);
	if (strcasestr(answer, "\r\nTransfer-Encoding: chunked"))
		joined = chunks_join_(body, &has_ended);
	request->is_whole =
		request->status == 200 &&
		(joined ? has_ended && g_str_equal(joined, expected) :
			  g_str_equal(body, expected));
out:
	g_free(joined);
	g_free(expected);
	return request->is_whole;
}

/* Reads an answer until it is whole or the connection ends or is silent. */
static void answer_read_(cuts_request_t *request, int fd)
{
	GString *answer = g_string_new(NULL);
	char buffer[READ_BUFFER_BYTES];
	ssize_t size;

	support_receive_timeout_set(fd, GAP_MAX_MS);
	while ((size = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
		g_string_append_len(answer, buffer, size);
		if (answer_store_(request, answer->str))
			break;
	}
	g_string_free(answer, TRUE);
}

static char *request_text_new_(const cuts_request_t *request)
{
	return g_strdup_printf(
		"%s%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		"X-Time-Budget: %d\r\n"
		"Authorization: Bearer key\r\n"
		"Connection: close\r\nContent-Length: 0\r\n\r\n",
		method_and_path[request->kind], request->id, request->id,
		TIME_BUDGET_MS);
}

static void *exchange_run_(void *data)
{
	exchange_t *exchange = data;
	cuts_callers_t *callers = exchange->callers;
	cuts_request_t *request = exchange->request;
	int fd = support_address_connect(
		callers->entry_addresses[request->entry]);
	char *text = request_text_new_(request);

	if (fd >= 0) {
		if (support_socket_send(fd, text, strlen(text)))
			answer_read_(request, fd);
		close(fd);
	}
	request->answered_ms = g_get_monotonic_time() / 1000;
	g_free(text);
	g_free(exchange);
	g_mutex_lock(&callers->lock);
	callers->pending--;
	g_cond_signal(&callers->ended);
	g_mutex_unlock(&callers->lock);
	return NULL;
}

cuts_callers_t *cuts_callers_new(const char *const *entry_addresses,
				 uint32_t seed)
{
	cuts_callers_t *callers = g_new0(cuts_callers_t, 1);

	callers->entry_addresses = g_strdupv((char **)entry_addresses);
	callers->entry_count = g_strv_length(callers->entry_addresses);
	callers->random = g_rand_new_with_seed(seed);
	callers->requests = g_ptr_array_new_with_free_func(g_free);
	g_mutex_init(&callers->lock);
	g_cond_init(&callers->ended);
	return callers;
}

void cuts_callers_send(cuts_callers_t *callers)
{
	cuts_request_t *request = g_new0(cuts_request_t, 1);
	exchange_t *exchange = g_new0(exchange_t, 1);

	g_snprintf(request->id, sizeof(request->id), "%08x%08x",
		   g_rand_int(callers->random), g_rand_int(callers->random));
	request->kind = (cuts_kind_t)g_rand_int_range(callers->random, 0,
						      CUTS_KIND_COUNT);
	request->entry = callers->requests->len % callers->entry_count;
	request->sent_ms = g_get_monotonic_time() / 1000;
	*exchange = (exchange_t){ callers, request };
	g_ptr_array_add(callers->requests, request);
	g_mutex_lock(&callers->lock);
	callers->pending++;
	g_mutex_unlock(&callers->lock);
	g_thread_unref(g_thread_new("caller", exchange_run_, exchange));
}

GPtrArray *cuts_callers_end(cuts_callers_t *callers)
{
	GPtrArray *requests = callers->requests;

	g_mutex_lock(&callers->lock);
	while (callers->pending)
		g_cond_wait(&callers->ended, &callers->lock);
	g_mutex_unlock(&callers->lock);
	g_mutex_clear(&callers->lock);
	g_cond_clear(&callers->ended);
	g_rand_free(callers->random);
	g_strfreev(callers->entry_addresses);
	g_free(callers);
	return requests;
}
