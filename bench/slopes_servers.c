#include <libsoup/soup.h>
#include <string.h>

#include "slopes.h"

/*
 * Backend servers that announce themselves to one entry instance, each over
 * a connection of its own and at the real interval.
 */
#define INTERVAL_MS 1000
#define SETTLE_MS 1500
#define MEASURE_MS 3000
#define START_LIMIT_MS 10000
#define MAX_SERVERS 400

typedef struct announcer {
	SoupSession *session;
	const char *entry;
	char *body;
	guint timer;
	unsigned int *answered;
} announcer_t;

static void answered_(GObject *source, GAsyncResult *result, void *user_data)
{
	unsigned int *answered = user_data;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, NULL);

	if (bytes)
		(*answered)++;
	g_clear_pointer(&bytes, g_bytes_unref);
}

static gboolean announce_(void *user_data)
{
	announcer_t *self = user_data;
	char *uri =
		g_strdup_printf("http://%s/v1/backend/announce", self->entry);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *body = g_bytes_new(self->body, strlen(self->body));

	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	soup_session_send_and_read_async(self->session, message,
					 G_PRIORITY_DEFAULT, NULL, answered_,
					 self->answered);
	g_bytes_unref(body);
	g_object_unref(message);
	g_free(uri);
	return G_SOURCE_CONTINUE;
}

/* Begins to announce, after a part of the interval that differs by server. */
static gboolean begin_(void *user_data)
{
	announcer_t *self = user_data;

	self->timer = g_timeout_add(INTERVAL_MS, announce_, self);
	announce_(self);
	return G_SOURCE_REMOVE;
}

static void announcer_init_(announcer_t *self, int number, GRand *random)
{
	self->session = soup_session_new();
	self->body = g_strdup_printf(
		"{\"name\":\"server-%d\",\"address\":\"127.0.0.1:%d\","
		"\"data_centre\":\"dc%d\",\"kind\":\"engine\","
		"\"incarnation\":1,\"state\":\"ready\","
		"\"checks_fencing\":false,\"capacity\":16,"
		"\"load\":{\"running\":0,\"queued\":0},\"models\":["
		"{\"name\":\"model-%d\",\"first_layer\":0,"
		"\"last_layer\":39,\"layers\":40}]}",
		number, 1 + number, number % 11, number % 10);
	self->timer =
		g_timeout_add((guint)g_rand_int_range(random, 0, INTERVAL_MS),
			      begin_, self);
}

static void announcer_clear_(announcer_t *self)
{
	g_source_remove(self->timer);
	soup_session_abort(self->session);
	g_object_unref(self->session);
	g_free(self->body);
}

static gboolean is_serving_(void *user_data)
{
	const support_daemon_t *daemon = user_data;

	return support_http("GET", daemon->http, "/metrics", NULL, NULL) ==
	       SOUP_STATUS_OK;
}

static void measure_(const support_daemon_t *entry, int count,
		     unsigned int *answered, slopes_series_t series[3])
{
	slopes_spent_t begin = slopes_daemon_spent(entry);
	slopes_spent_t end;
	unsigned int before = *answered;
	double seconds;

	slopes_rest(MEASURE_MS);
	end = slopes_daemon_spent(entry);
	seconds = (double)(end.at_us - begin.at_us) / 1e6;
	slopes_series_add(&series[0], count,
			  slopes_processor_ms_per_s(begin, end));
	slopes_series_add(&series[1], count, end.resident_kb);
	slopes_series_add(&series[2], count, (*answered - before) / seconds);
}

void slopes_servers(const slopes_output_t *output)
{
	static const int counts[] = { 50, 100, 200, MAX_SERVERS };
	support_group_t *group = support_group_new(1, NULL);
	support_daemon_t *entry = slopes_entry_start(group);
	announcer_t *announcers = g_new0(announcer_t, MAX_SERVERS);
	GRand *random = g_rand_new_with_seed(SLOPES_SEED);
	unsigned int answered = 0;
	slopes_series_t series[3];
	int begun = 0;
	size_t i;

	slopes_series_init(&series[0], "servers_entry_cpu", "ms/s", "server");
	slopes_series_init(&series[1], "servers_entry_memory", "KB", "server");
	slopes_series_init(&series[2], "servers_announcements", "1/s",
			   "server");
	if (!support_wait(is_serving_, entry, START_LIMIT_MS))
		g_error("the entry instance does not serve");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		for (; begun < counts[i]; begun++) {
			announcers[begun].entry = entry->http;
			announcers[begun].answered = &answered;
			announcer_init_(&announcers[begun], begun, random);
		}
		slopes_rest(SETTLE_MS);
		measure_(entry, counts[i], &answered, series);
	}
	while (begun > 0)
		announcer_clear_(&announcers[--begun]);
	slopes_rest(100);
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
	g_rand_free(random);
	g_free(announcers);
	support_group_delete(group);
}
