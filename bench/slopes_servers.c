#include <libsoup/soup.h>
#include <string.h>

#include "slopes.h"

/*
 * Cost of backend servers that announce themselves to one entry instance,
 * each over a connection of its own and once per second.
 */
#define ANNOUNCE_INTERVAL_MS 1000
#define SETTLE_MS 1500
#define MEASURE_MS 3000
#define START_TIMEOUT_MS 10000
#define MAX_SERVERS 400

typedef struct announcer {
	SoupSession *session;
	const char *entry; /* address of the entry instance */
	char *body;	   /* JSON of the announcement */
	guint timer;	   /* GLib source ID of the next announcement */
	/* Number of answers, counted by all announcers together. */
	unsigned int *answer_count;
} announcer_t;

static void announcement_handle_answer_(GObject *source, GAsyncResult *result,
					void *user_data)
{
	unsigned int *answer_count = user_data;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, NULL);

	if (bytes)
		(*answer_count)++;
	g_clear_pointer(&bytes, g_bytes_unref);
}

static gboolean announcement_send_(void *user_data)
{
	announcer_t *announcer = user_data;
	char *uri = g_strdup_printf("http://%s/v1/backend/announce",
				    announcer->entry);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *body = g_bytes_new(announcer->body, strlen(announcer->body));

	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	soup_session_send_and_read_async(announcer->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 announcement_handle_answer_,
					 announcer->answer_count);
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(uri);
	return G_SOURCE_CONTINUE;
}

/* Sends the first announcement and starts the periodic ones. */
static gboolean announcer_start_(void *user_data)
{
	announcer_t *announcer = user_data;

	announcer->timer = g_timeout_add(ANNOUNCE_INTERVAL_MS,
					 announcement_send_, announcer);
	announcement_send_(announcer);
	return G_SOURCE_REMOVE;
}

/*
 * Initializes an announcer that starts after a random part of the interval, so
 * that the announcements are spread over it.
 */
static void announcer_init_(announcer_t *announcer, int number, GRand *random)
{
	announcer->session = soup_session_new();
	announcer->body = g_strdup_printf(
		"{\"name\":\"server-%d\",\"address\":\"127.0.0.1:%d\","
		"\"data_centre\":\"dc%d\",\"kind\":\"engine\","
		"\"incarnation\":1,\"state\":\"ready\","
		"\"checks_fencing\":false,\"capacity\":16,"
		"\"load\":{\"running\":0,\"queued\":0},\"models\":["
		"{\"name\":\"model-%d\",\"first_layer\":0,"
		"\"last_layer\":39,\"layers\":40}]}",
		number, 1 + number, number % 11, number % 10);
	announcer->timer =
		g_timeout_add((guint)g_rand_int_range(random, 0,
						      ANNOUNCE_INTERVAL_MS),
			      announcer_start_, announcer);
}

static void announcer_clear_(announcer_t *announcer)
{
	g_source_remove(announcer->timer);
	soup_session_abort(announcer->session);
	g_object_unref(announcer->session);
	g_free(announcer->body);
}

static gboolean entry_is_serving_(void *user_data)
{
	const support_daemon_t *daemon = user_data;

	return support_http_request("GET", daemon->http, "/metrics", NULL,
				    NULL) == SOUP_STATUS_OK;
}

static void announcements_measure_(const support_daemon_t *entry, int count,
				   unsigned int *answer_count,
				   slopes_series_t series[3])
{
	slopes_usage_t begin = slopes_usage_read_daemon(entry);
	slopes_usage_t end;
	unsigned int answer_count_before = *answer_count;
	double seconds;

	slopes_loop_run(MEASURE_MS);
	end = slopes_usage_read_daemon(entry);
	seconds = (double)(end.measured_at_us - begin.measured_at_us) / 1e6;
	slopes_series_add(&series[0], count,
			  slopes_usage_cpu_ms_per_s(begin, end));
	slopes_series_add(&series[1], count, end.resident_kb);
	slopes_series_add(&series[2], count,
			  (*answer_count - answer_count_before) / seconds);
}

void slopes_measure_servers(const slopes_output_t *output)
{
	static const int counts[] = { 50, 100, 200, MAX_SERVERS };
	support_group_t *group = support_group_new(1, NULL);
	support_daemon_t *entry = slopes_entry_start(group);
	announcer_t *announcers = g_new0(announcer_t, MAX_SERVERS);
	GRand *random = g_rand_new_with_seed(SLOPES_SEED);
	unsigned int answer_count = 0;
	slopes_series_t series[3];
	int started_count = 0;
	size_t i;

	slopes_series_init(&series[0], "servers_entry_cpu", "ms/s", "server");
	slopes_series_init(&series[1], "servers_entry_memory", "KB", "server");
	slopes_series_init(&series[2], "servers_announcements", "1/s",
			   "server");
	if (!support_wait_until(entry_is_serving_, entry, START_TIMEOUT_MS))
		g_error("the entry instance does not answer requests");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		for (; started_count < counts[i]; started_count++) {
			announcers[started_count].entry = entry->http;
			announcers[started_count].answer_count = &answer_count;
			announcer_init_(&announcers[started_count],
					started_count, random);
		}
		slopes_loop_run(SETTLE_MS);
		announcements_measure_(entry, counts[i], &answer_count, series);
	}
	while (started_count > 0)
		announcer_clear_(&announcers[--started_count]);
	slopes_loop_run(100);
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
	g_rand_free(random);
	g_free(announcers);
	support_group_delete(group);
}
