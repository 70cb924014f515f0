#include "soak.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_programs.h"
#include "support_sockets.h"

#define PAUSE_MAX_MS 30
#define REPEAT_DELAY_MAX_MS 500
#define SPLIT_MAX_MS 200
#define GIVE_UP_MAX_MS 100
/* Of 100 requests, how many are sent, or given up, in this way. */
#define KEEP_CONNECTION_PERCENT 90
#define SPLIT_PERCENT 8
#define GIVE_UP_PERCENT 4

const soak_route_t soak_routes[SOAK_KIND_COUNT] = {
	[SOAK_ONCE] = { .prefix = "/once/",
			.service = "s",
			.document_kind = "unsafe" },
	[SOAK_IDEMPOTENT] = { .prefix = "/safe/",
			      .service = "s",
			      .document_kind = "safe",
			      .may_run_again = TRUE },
	[SOAK_STREAM] = { .prefix = "/stream/",
			  .service = "s",
			  .document_kind = "stream",
			  .is_stream = TRUE },
	[SOAK_STREAM_RESUMABLE] = { .prefix = "/resumable/",
				    .service = "s",
				    .document_kind = "stream",
				    .is_stream = TRUE,
				    .may_run_again = TRUE },
	[SOAK_ONCE_OTHER] = { .prefix = "/other/",
			      .service = "t",
			      .document_kind = "unsafe" },
};

struct soak_callers {
	char **entry_addresses;
	unsigned int entry_count;
	soak_load_t load;
	GPtrArray *threads;
	GMutex lock;	     /* guards `requests` */
	GPtrArray *requests; /* soak_request_t */
	int is_stopping;     /* atomic */
};

/* One caller and its connection. */
typedef struct caller {
	soak_callers_t *callers;
	GRand *random;
	int fd; /* -1: no connection is open */
	unsigned int entry;
} caller_t;

static gboolean chance_(caller_t *caller, int percent)
{
	return g_rand_int_range(caller->random, 0, 100) < percent;
}

static void pause_(caller_t *caller, int max_ms)
{
	g_usleep((unsigned long)g_rand_int_range(caller->random, 0, max_ms) *
		 1000);
}

static int64_t now_ms_(void)
{
	return g_get_monotonic_time() / 1000;
}

static void connection_close_(caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
}

/* Connects to an entry instance by chance; FALSE: that failed. */
static gboolean connection_open_(caller_t *caller)
{
	soak_callers_t *callers = caller->callers;

	if (caller->fd >= 0)
		return TRUE;
	caller->entry =
		(unsigned int)g_rand_int_range(caller->random, 0,
					       (int)callers->entry_count);
	caller->fd = support_address_connect(
		callers->entry_addresses[caller->entry]);
	return caller->fd >= 0;
}

/* Sends a request, sometimes in two parts; FALSE: the connection failed. */
static gboolean request_send_(caller_t *caller, const soak_request_t *request)
{
	const soak_route_t *route = &soak_routes[request->kind];
	gboolean is_once = !route->may_run_again;
	char *text = g_strdup_printf("%s %s%s HTTP/1.1\r\nHost: h\r\n"
				     "X-Request-Id: %s\r\nX-Time-Budget: %d\r\n"
				     "Authorization: Bearer key\r\n"
				     "Content-Length: %d\r\n\r\n%s",
				     is_once ? "POST" : "GET", route->prefix,
				     request->key, request->id,
				     (int)caller->callers->load.budget_ms,
				     is_once ? 4 : 0, is_once ? "body" : "");
	size_t size = strlen(text);
	size_t first = size;
	gboolean is_sent;

	if (chance_(caller, SPLIT_PERCENT))
		first = (size_t)g_rand_int_range(caller->random, 1, (int)size);
	is_sent = support_socket_send(caller->fd, text, first);
	if (is_sent && first < size) {
		pause_(caller, SPLIT_MAX_MS);
		is_sent = support_socket_send(caller->fd, text + first,
					      size - first);
	}
	g_free(text);
	return is_sent;
}

/* Waits for the answer to a request; returns whether the connection ends. */
static gboolean answer_await_(const caller_t *caller, soak_request_t *request)
{
	const soak_load_t *load = &caller->callers->load;
	soak_answer_t answer;

	soak_answer_read(caller->fd, load->budget_ms + load->answer_margin_ms,
			 &answer);
	request->end = answer.end;
	request->begun_status = answer.status;
	if (answer.end == SOAK_END_WHOLE)
		request->status = answer.status;
	request->body = g_string_free(answer.body, !answer.status);
	return answer.closes;
}

/* Sends one request and waits for its answer, or gives it up. */
static void request_exchange_(caller_t *caller, soak_request_t *request)
{
	gboolean closes = TRUE;

	request->entry = caller->entry;
	request->sent_ms = now_ms_();
	if (!request_send_(caller, request)) {
		request->end = SOAK_END_UNSENT;
		connection_close_(caller);
		return;
	}
	request->sent_whole_ms = now_ms_();
	if (chance_(caller, GIVE_UP_PERCENT)) {
		pause_(caller, GIVE_UP_MAX_MS);
		request->end = SOAK_END_LEFT;
	} else {
		closes = answer_await_(caller, request);
	}
	if (closes || !chance_(caller, KEEP_CONNECTION_PERCENT))
		connection_close_(caller);
}

/* Sends a request of a kind under a key, or a new one if that is NULL. */
static soak_request_t *request_play_(caller_t *caller, soak_kind_t kind,
				     const char *key)
{
	soak_callers_t *callers = caller->callers;
	soak_request_t *request = g_new0(soak_request_t, 1);

	g_snprintf(request->id, sizeof(request->id), "%08x%08x",
		   g_rand_int(caller->random), g_rand_int(caller->random));
	g_strlcpy(request->key, key ? key : request->id, sizeof(request->key));
	request->kind = kind;
	request_exchange_(caller, request);
	request->ended_ms = now_ms_();
	g_mutex_lock(&callers->lock);
	g_ptr_array_add(callers->requests, request);
	g_mutex_unlock(&callers->lock);
	return request;
}

static void *caller_run_(void *data)
{
	caller_t *caller = data;
	int kind_count = (int)caller->callers->load.kind_count;
	soak_request_t *request = NULL;

	while (!g_atomic_int_get(&caller->callers->is_stopping)) {
		gboolean is_repeat =
			request && soak_status_promises_no_run(request->status);

		pause_(caller, is_repeat ? REPEAT_DELAY_MAX_MS : PAUSE_MAX_MS);
		if (!connection_open_(caller))
			continue;
		request = request_play_(
			caller,
			is_repeat ?
				request->kind :
				(soak_kind_t)g_rand_int_range(caller->random, 0,
							      kind_count),
			is_repeat ? request->key : NULL);
	}
	connection_close_(caller);
	g_rand_free(caller->random);
	g_free(caller);
	return NULL;
}

static void request_free_(void *data)
{
	soak_request_t *request = data;

	g_free(request->body);
	g_free(request);
}

/* Starts callers of the entry instances, by a seed of their chance. */
soak_callers_t *soak_callers_start(const char *const *entry_addresses,
				   const soak_load_t *load, uint32_t seed)
{
	soak_callers_t *callers = g_new0(soak_callers_t, 1);
	unsigned int i;

	callers->entry_addresses = g_strdupv((char **)entry_addresses);
	callers->entry_count = g_strv_length(callers->entry_addresses);
	callers->load = *load;
	callers->requests = g_ptr_array_new_with_free_func(request_free_);
	callers->threads = g_ptr_array_new();
	g_mutex_init(&callers->lock);
	for (i = 0; i < load->caller_count; i++) {
		caller_t *caller = g_new0(caller_t, 1);

		caller->callers = callers;
		caller->fd = -1;
		caller->random = g_rand_new_with_seed(seed * 1000 + i);
		g_ptr_array_add(callers->threads,
				g_thread_new("caller", caller_run_, caller));
	}
	return callers;
}

GPtrArray *soak_callers_stop(soak_callers_t *callers)
{
	GPtrArray *requests = callers->requests;
	unsigned int i;

	g_atomic_int_set(&callers->is_stopping, 1);
	for (i = 0; i < callers->threads->len; i++)
		g_thread_join(callers->threads->pdata[i]);
	g_ptr_array_unref(callers->threads);
	g_mutex_clear(&callers->lock);
	g_strfreev(callers->entry_addresses);
	g_free(callers);
	return requests;
}
