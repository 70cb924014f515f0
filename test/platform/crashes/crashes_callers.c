#include "crashes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_programs.h"
#include "support_sockets.h"

#define TIME_BUDGET_MS 5000
/* A caller abandons a stream after a gap of this length. */
#define GAP_MAX_MS 2000
#define READ_BUFFER_BYTES 16384
#define SHARED_FIRST_PARTS 4
#define SHARED_MIDDLE_PARTS 6

struct crashes_callers {
	char **entry_addresses;
	unsigned int entry_count;
	int *is_usable; /* of each entry instance; atomic */
	crashes_place_t place;
	GRand *random;
	GPtrArray *requests; /* crashes_request_t */
	GMutex lock;	     /* guards `pending` */
	GCond ended;
	unsigned int pending; /* requests on their way */
};

/* One request on its way. */
typedef struct exchange {
	crashes_callers_t *callers;
	crashes_request_t *request;
	char *text;
	char *expected_body;
	unsigned int first_entry;
} exchange_t;

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Returns the parts of a prompt, the last one of the request's own. */
static char *prompt_new_(crashes_callers_t *callers, gboolean is_bad,
			 gboolean *is_bad_first)
{
	crashes_place_t place = is_bad ? callers->place : CRASHES_NOWHERE;
	int first = g_rand_int_range(callers->random, 0, SHARED_FIRST_PARTS);
	int middle = g_rand_int_range(callers->random, 0, SHARED_MIDDLE_PARTS);
	char *first_text = g_strdup_printf("0f1a%04x", first);
	char *middle_text = g_strdup_printf("0c2b%04x", middle);
	char *prompt;

	if (place == CRASHES_EITHER_PART)
		place = g_rand_boolean(callers->random) ? CRASHES_FIRST_PART :
							  CRASHES_MIDDLE_PART;
	*is_bad_first = place == CRASHES_FIRST_PART;
	prompt =
		g_strdup_printf("%s:800,%s:410,0d3c%04x:120,%08x:250",
				*is_bad_first ? crashes_first_part : first_text,
				place == CRASHES_MIDDLE_PART ?
					crashes_middle_part :
					middle_text,
				middle % 2, g_rand_int(callers->random));
	g_free(middle_text);
	g_free(first_text);
	return prompt;
}

/* Writes the text of a request. */
static char *request_text_new_(crashes_callers_t *callers,
			       const crashes_request_t *request)
{
	gboolean is_same =
		request->is_bad && callers->place == CRASHES_WHOLE_REQUEST;
	gboolean is_bad_first;
	char *prompt = prompt_new_(callers, request->is_bad, &is_bad_first);
	char *path = g_strdup_printf("/s/%08x", g_rand_int(callers->random));
	char *body = g_strdup_printf("body-%08x", g_rand_int(callers->random));
	char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		"X-Time-Budget: %d\r\nAuthorization: Bearer key\r\n"
		"X-Model: m\r\nX-Token-Count: 1580,10\r\n"
		"X-Prompt-Prefix: %s\r\nConnection: close\r\n"
		"Content-Length: 13\r\n\r\n%s",
		is_same ? crashes_whole_path : path, request->id,
		TIME_BUDGET_MS,
		is_same ?
			"0f1a0000:800,0c2b0000:410,0d3c0000:120,7a7a7a7a:250" :
			prompt,
		is_same ? "body-7a7a7a7a" : body);

	g_free(body);
	g_free(path);
	g_free(prompt);
	return text;
}

/* Connects to a usable entry instance, trying each once; -1: none answers. */
static int entry_connect_(exchange_t *exchange)
{
	crashes_callers_t *callers = exchange->callers;
	unsigned int i;

	for (i = 0; i < callers->entry_count; i++) {
		unsigned int entry =
			(exchange->first_entry + i) % callers->entry_count;
		int fd;

		if (!g_atomic_int_get(&callers->is_usable[entry]))
			continue;
		fd = support_address_connect(callers->entry_addresses[entry]);
		exchange->request->entry = entry;
		if (fd >= 0)
			return fd;
	}
	return -1;
}

/*
 * Returns the body of an answer as far as it came, to be freed, and whether it
 * ended by its own framing.
 */
static char *body_decode_(const char *answer, size_t size, gboolean has_closed,
			  gboolean *is_complete)
{
	const char *body = strstr(answer, "\r\n\r\n") + 4;
	char *head = g_strndup(answer, (size_t)(body - answer));
	const char *length = strcasestr(head, "\r\nContent-Length: ");
	gboolean is_chunked =
		strcasestr(head, "\r\nTransfer-Encoding: chunked") != NULL;
	GString *decoded = g_string_new(NULL);
	size_t left = size - (size_t)(body - answer);

	*is_complete = FALSE;
	if (!is_chunked) {
		g_string_append_len(decoded, body, (gssize)left);
		*is_complete = length ? left >= strtoul(length + 18, NULL, 10) :
					has_closed;
	}
	while (is_chunked) {
		char *line_end = NULL;
		size_t chunk = strtoul(body, &line_end, 16);
		size_t skipped = (size_t)(line_end - body) + 2;

		if (line_end == body || !g_str_has_prefix(line_end, "\r\n"))
			break;
		*is_complete = !chunk && g_str_has_prefix(line_end, "\r\n\r\n");
		if (!chunk)
			break;
		left -= skipped;
		g_string_append_len(decoded, body + skipped,
				    (gssize)MIN(chunk, left));
		if (left < chunk + 2)
			break;
		body += skipped + chunk + 2;
		left -= chunk + 2;
	}
	g_free(head);
	return g_string_free(decoded, FALSE);
}

/* Stores the reason that the body of a refusal names. */
static void reason_store_(crashes_request_t *request, const char *body)
{
	static const char field[] = "\"reason\":\"";
	const char *start = strstr(body, field);

	if (request->status >= 300 && start) {
		start += strlen(field);
		g_strlcpy(request->reason, start,
			  MIN(sizeof(request->reason),
			      strcspn(start, "\"") + 1));
	}
}

/* Updates what is known of the answer; TRUE: it has ended. */
static gboolean answer_store_(exchange_t *exchange, const GString *answer,
			      gboolean has_closed)
{
	crashes_request_t *request = exchange->request;
	gboolean is_complete;
	char *body;

	if (!strstr(answer->str, "\r\n\r\n"))
		return FALSE;
	if (!request->status) {
		request->status = support_answer_status(answer->str);
		request->answered_ms = now_ms_();
	}
	body = body_decode_(answer->str, answer->len, has_closed, &is_complete);
	request->has_begun = request->status == 200 && strstr(body, "\n\n");
	request->is_whole = request->status == 200 && is_complete &&
			    g_str_equal(body, exchange->expected_body);
	reason_store_(request, body);
	g_free(body);
	return is_complete;
}

/* Reads the answer until it ends, or nothing comes for too long. */
static void answer_read_(exchange_t *exchange, int fd)
{
	GString *answer = g_string_new(NULL);
	char buffer[READ_BUFFER_BYTES];
	gboolean is_complete = FALSE;

	support_receive_timeout_set(fd, GAP_MAX_MS);
	while (!is_complete) {
		ssize_t size = recv(fd, buffer, sizeof(buffer), 0);

		if (size > 0)
			g_string_append_len(answer, buffer, size);
		is_complete = answer_store_(exchange, answer, size == 0);
		if (size <= 0)
			break;
	}
	g_string_free(answer, TRUE);
}

static void *exchange_run_(void *data)
{
	exchange_t *exchange = data;
	crashes_callers_t *callers = exchange->callers;
	crashes_request_t *request = exchange->request;
	int fd = entry_connect_(exchange);

	if (fd >= 0) {
		if (support_socket_send(fd, exchange->text,
					strlen(exchange->text)))
			answer_read_(exchange, fd);
		close(fd);
	}
	if (!request->answered_ms)
		request->answered_ms = now_ms_();
	g_free(exchange->expected_body);
	g_free(exchange->text);
	g_free(exchange);
	g_mutex_lock(&callers->lock);
	callers->pending--;
	g_cond_signal(&callers->ended);
	g_mutex_unlock(&callers->lock);
	return NULL;
}

crashes_callers_t *crashes_callers_new(const char *const *entry_addresses,
				       crashes_place_t place, uint32_t seed)
{
	crashes_callers_t *callers = g_new0(crashes_callers_t, 1);
	unsigned int i;

	callers->entry_addresses = g_strdupv((char **)entry_addresses);
	callers->entry_count = g_strv_length(callers->entry_addresses);
	callers->is_usable = g_new0(int, callers->entry_count);
	for (i = 0; i < callers->entry_count; i++)
		callers->is_usable[i] = TRUE;
	callers->place = place;
	callers->random = g_rand_new_with_seed(seed);
	g_mutex_init(&callers->lock);
	g_cond_init(&callers->ended);
	callers->requests = g_ptr_array_new_with_free_func(g_free);
	return callers;
}

void crashes_callers_entry_set(crashes_callers_t *callers, unsigned int entry,
			       gboolean is_usable)
{
	g_atomic_int_set(&callers->is_usable[entry], is_usable);
}

void crashes_callers_send(crashes_callers_t *callers, gboolean is_bad)
{
	crashes_request_t *request = g_new0(crashes_request_t, 1);
	exchange_t *exchange = g_new0(exchange_t, 1);

	g_snprintf(request->id, sizeof(request->id), "%08x%08x",
		   g_rand_int(callers->random), g_rand_int(callers->random));
	request->is_bad = is_bad;
	request->sent_ms = now_ms_();
	exchange->callers = callers;
	exchange->request = request;
	exchange->first_entry =
		(unsigned int)g_rand_int_range(callers->random, 0,
					       (int)callers->entry_count);
	exchange->text = request_text_new_(callers, request);
	exchange->expected_body = crashes_stream_body(request->id);
	g_ptr_array_add(callers->requests, request);
	g_mutex_lock(&callers->lock);
	callers->pending++;
	g_mutex_unlock(&callers->lock);
	g_thread_unref(g_thread_new("caller", exchange_run_, exchange));
}

GPtrArray *crashes_callers_end(crashes_callers_t *callers)
{
	GPtrArray *requests = callers->requests;

	g_mutex_lock(&callers->lock);
	while (callers->pending)
		g_cond_wait(&callers->ended, &callers->lock);
	g_mutex_unlock(&callers->lock);
	g_mutex_clear(&callers->lock);
	g_cond_clear(&callers->ended);
	g_rand_free(callers->random);
	g_free(callers->is_usable);
	g_strfreev(callers->entry_addresses);
	g_free(callers);
	return requests;
}
