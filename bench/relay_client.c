#include "relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "private/http_exchange.h"

/*
 * Opens streams and measures the time from the sending of each token to its
 * receipt.
 */
#define WARM_UP_MS 2000
#define MS_PER_S 1000

typedef struct client {
	relay_process_t process;
	cb_http_client_t *http;
	cb_timer_t *timer;
	char **addresses; /* addresses of the relays that share the streams */
	char *path;
	int stream_count;
	int measure_s; /* duration of the measurement after the warm-up */
	gboolean is_warmed_up;
	int64_t begin_us;      /* end of the warm-up, monotonic clock */
	GArray *delays_us;     /* int64_t, one delay per token */
	unsigned int failures; /* number of streams that have ended */
} client_t;

static gboolean line_handle_(void *user_data, const char *line,
			     size_t size_bytes)
{
	client_t *client = user_data;
	static const char text_key[] = "\"text\":\"";
	const char *text = strstr(line, text_key);
	int64_t sent_us;
	int64_t delay_us;

	(void)size_bytes;
	if (!text || !client->is_warmed_up)
		return TRUE;
	sent_us = g_ascii_strtoll(text + strlen(text_key), NULL, 10);
	if (sent_us == 0)
		return TRUE;
	delay_us = g_get_monotonic_time() - sent_us;
	g_array_append_val(client->delays_us, delay_us);
	return TRUE;
}

static void stream_handle_end_(void *user_data, cb_failure_t failure,
			       const cb_http_answer_t *answer)
{
	client_t *client = user_data;

	(void)failure;
	(void)answer;
	client->failures++;
}

static int delay_compare_(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

static int64_t delay_percentile_us_(const client_t *client, int percent)
{
	size_t count = client->delays_us->len;

	if (count == 0)
		return -1;
	return g_array_index(client->delays_us, int64_t,
			     (count - 1) * (size_t)percent / 100);
}

static void report_print_(client_t *client)
{
	int64_t span_us = g_get_monotonic_time() - client->begin_us;

	g_array_sort(client->delays_us, delay_compare_);
	printf("{\"tokens\":%u,\"span_us\":%" G_GINT64_FORMAT
	       ",\"median_us\":%" G_GINT64_FORMAT
	       ",\"p95_us\":%" G_GINT64_FORMAT ",\"p99_us\":%" G_GINT64_FORMAT
	       ",\"failures\":%u}\n",
	       client->delays_us->len, span_us,
	       delay_percentile_us_(client, 50),
	       delay_percentile_us_(client, 95),
	       delay_percentile_us_(client, 99), client->failures);
}

static void phase_handle_end_(void *user_data)
{
	client_t *client = user_data;

	if (!client->is_warmed_up) {
		client->is_warmed_up = TRUE;
		client->begin_us = g_get_monotonic_time();
		cb_timer_start(client->timer,
			       (int64_t)client->measure_s * MS_PER_S);
		return;
	}
	report_print_(client);
	cb_http_client_delete(client->http);
	cb_kernel_drain(client->process.kernel);
}

static void stream_open_(client_t *client, unsigned int number)
{
	static const char text[] =
		"{\"model\":\"ruling\",\"prompt\":\"p\",\"request\":\"r\","
		"\"epoch\":1,\"max_tokens\":1000000,\"stream\":true}";
	cb_http_request_t http_request = {
		.method = "POST",
		.address = client->addresses[number %
					     g_strv_length(client->addresses)],
		.path = client->path,
		.content_type = "application/json",
		.authorization = "Bearer key-handicap",
		.connection = CB_HTTP_CONNECTION_NEW,
	};
	cb_http_listener_t listener = {
		.line = line_handle_,
		.done = stream_handle_end_,
		.user_data = client,
	};

	http_request.body = g_bytes_new_static(text, strlen(text));
	cb_http_exchange_start(client->http, &http_request, &listener);
	g_bytes_unref(http_request.body);
}

/* Runs the streams for the given time and prints the delays as JSON. */
int relay_client_main(int argc, char **argv)
{
	client_t client = { .stream_count = 100, .measure_s = 10 };
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING_ARRAY, &client.addresses,
		  "Address of a relay; several share the streams", "" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &client.path,
		  "Path of the requests", "" },
		{ "streams", 0, 0, G_OPTION_ARG_INT, &client.stream_count,
		  "Number of streams", "" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &client.measure_s,
		  "Seconds measured after the warm-up", "" },
		G_OPTION_ENTRY_NULL
	};
	int exit_code;
	int i;

	if (!cb_program_parse(
		    &argc, &argv, NULL,
		    "Opens streams through a relay and measures their delays.",
		    entries, &exit_code))
		return exit_code;
	relay_process_init(&client.process);
	client.delays_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	client.http = cb_http_client_new(NULL, client.process.clock, NULL);
	client.timer =
		cb_timer_new(client.process.clock, phase_handle_end_, &client);
	for (i = 0; i < client.stream_count; i++)
		stream_open_(&client, (unsigned int)i);
	cb_timer_start(client.timer, WARM_UP_MS);
	exit_code = cb_kernel_run(client.process.kernel);
	return exit_code;
}
