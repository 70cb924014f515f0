#include "relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "private/http_exchange.h"

/* Opens streams, and tells how long their tokens took since they were sent. */
#define WARM_UP_MS 2000
#define MS_PER_S 1000

typedef struct client {
	relay_process_t process;
	cb_http_client_t *http;
	cb_timer_t *timer;
	char **addresses;
	char *path;
	int streams;
	int seconds;
	gboolean is_warm;
	int64_t begin_us;
	GArray *delays_us;
	unsigned int failures;
} client_t;

static gboolean line_(void *user_data, const char *line, size_t size_bytes)
{
	client_t *client = user_data;
	static const char mark[] = "\"text\":\"";
	const char *text = strstr(line, mark);
	int64_t sent_us;
	int64_t delay_us;

	(void)size_bytes;
	if (!text || !client->is_warm)
		return TRUE;
	sent_us = g_ascii_strtoll(text + strlen(mark), NULL, 10);
	if (sent_us == 0)
		return TRUE;
	delay_us = g_get_monotonic_time() - sent_us;
	g_array_append_val(client->delays_us, delay_us);
	return TRUE;
}

static void done_(void *user_data, cb_failure_t failure,
		  const cb_http_answer_t *answer)
{
	client_t *client = user_data;

	(void)failure;
	(void)answer;
	client->failures++;
}

static int compare_(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

static int64_t percentile_(const client_t *client, int percent)
{
	size_t count = client->delays_us->len;

	if (count == 0)
		return -1;
	return g_array_index(client->delays_us, int64_t,
			     (count - 1) * (size_t)percent / 100);
}

static void report_(client_t *client)
{
	int64_t span_us = g_get_monotonic_time() - client->begin_us;

	g_array_sort(client->delays_us, compare_);
	printf("{\"tokens\":%u,\"span_us\":%" G_GINT64_FORMAT
	       ",\"median_us\":%" G_GINT64_FORMAT
	       ",\"p95_us\":%" G_GINT64_FORMAT ",\"p99_us\":%" G_GINT64_FORMAT
	       ",\"failures\":%u}\n",
	       client->delays_us->len, span_us, percentile_(client, 50),
	       percentile_(client, 95), percentile_(client, 99),
	       client->failures);
}

static void phase_over_(void *user_data)
{
	client_t *client = user_data;

	if (!client->is_warm) {
		client->is_warm = TRUE;
		client->begin_us = g_get_monotonic_time();
		cb_timer_start(client->timer,
			       (int64_t)client->seconds * MS_PER_S);
		return;
	}
	report_(client);
	cb_http_client_delete(client->http);
	cb_kernel_drain(client->process.kernel);
}

static void stream_open_(client_t *client, unsigned int number)
{
	static const char text[] =
		"{\"model\":\"ruling\",\"prompt\":\"p\",\"request\":\"r\","
		"\"epoch\":1,\"max_tokens\":1000000,\"stream\":true}";
	cb_http_order_t order = {
		.method = "POST",
		.address = client->addresses[number %
					     g_strv_length(client->addresses)],
		.path = client->path,
		.content_type = "application/json",
		.connection = CB_HTTP_CONNECTION_FRESH,
	};
	cb_http_listener_t listener = {
		.line = line_,
		.done = done_,
		.user_data = client,
	};

	order.body = g_bytes_new_static(text, strlen(text));
	soup_message_headers_replace(
		cb_http_exchange_headers(cb_http_exchange_start(client->http,
								&order,
								&listener)),
		"Authorization", "Bearer key-handicap");
	g_bytes_unref(order.body);
}

/* Runs the callers for some seconds and prints what they saw. */
int relay_client_main(int argc, char **argv)
{
	client_t client = { .streams = 100, .seconds = 10 };
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING_ARRAY, &client.addresses,
		  "Relay; several share the streams", "" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &client.path, "Path", "" },
		{ "streams", 0, 0, G_OPTION_ARG_INT, &client.streams, "Streams",
		  "" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &client.seconds,
		  "Seconds measured", "" },
		G_OPTION_ENTRY_NULL
	};
	int exit_code;
	int i;

	if (!cb_program_parse(&argc, &argv, NULL, "Callers of a relay.",
			      entries, &exit_code))
		return exit_code;
	relay_process_init(&client.process);
	client.delays_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	client.http = cb_http_client_new(NULL);
	client.timer = cb_timer_new(client.process.clock, phase_over_, &client);
	for (i = 0; i < client.streams; i++)
		stream_open_(&client, (unsigned int)i);
	cb_timer_start(client.timer, WARM_UP_MS);
	exit_code = cb_kernel_run(client.process.kernel);
	return exit_code;
}
