#include "client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "currantbridge/clock.h"
#include "currantbridge/operator.h"

/* A control instance that is silent for so long is left for the next. */
#define ATTEMPT_TIMEOUT_MS 3500
/* After a round in which nobody answered. */
#define ROUND_DELAY_MS 100

struct client {
	char **addresses;
	unsigned int address_count;
	unsigned int next; /* index of the address to ask */
	GMainContext *context;
	cb_clock_t *clock;
	SoupSession *session;
	int64_t deadline_ms;
};

/* One HTTP exchange with one control instance. */
typedef struct attempt {
	GCancellable *cancellable;
	GBytes *body;
	gboolean is_refused; /* no connection came about */
	gboolean is_done;
} attempt_t;

/* Makes a client whose whole work must end within `timeout_ms`. */
client_t *client_new(char **addresses, int64_t timeout_ms)
{
	client_t *client = g_new0(client_t, 1);

	client->addresses = g_strdupv(addresses);
	client->address_count = g_strv_length(addresses);
	client->context = g_main_context_ref(g_main_context_default());
	client->clock = cb_clock_new(client->context);
	client->session = soup_session_new();
	client->deadline_ms = cb_clock_now_ms(client->clock) + timeout_ms;
	return client;
}

/* Deletes a client; NULL is not allowed. */
void client_delete(client_t *client)
{
	soup_session_abort(client->session);
	g_object_unref(client->session);
	cb_clock_delete(client->clock);
	g_main_context_unref(client->context);
	g_strfreev(client->addresses);
	g_free(client);
}

/* Returns the milliseconds left of the client's whole time, or 0. */
int64_t client_left_ms(const client_t *client)
{
	int64_t left_ms = client->deadline_ms - cb_clock_now_ms(client->clock);

	return MAX(left_ms, 0);
}

/* Returns the address that is asked next, or was asked last. */
const char *client_address(const client_t *client)
{
	return client->addresses[client->next];
}

/* Returns how many control instances the client may ask. */
unsigned int client_address_count(const client_t *client)
{
	return client->address_count;
}

/* Turns to the next control instance. */
void client_next_address(client_t *client)
{
	client->next = (client->next + 1) % client->address_count;
}

static void flag_set_(void *user_data)
{
	*(gboolean *)user_data = TRUE;
}

/* Waits for `delay_ms` on the loop. */
void client_sleep(client_t *client, int64_t delay_ms)
{
	gboolean is_over = FALSE;
	cb_timer_t *timer = cb_timer_new(client->clock, flag_set_, &is_over);

	cb_timer_start(timer, MIN(delay_ms, client_left_ms(client)));
	while (!is_over)
		g_main_context_iteration(client->context, TRUE);
	cb_timer_delete(timer);
}

static void attempt_expired_(void *user_data)
{
	attempt_t *attempt = user_data;

	g_cancellable_cancel(attempt->cancellable);
}

static void attempt_done_(GObject *source, GAsyncResult *result,
			  void *user_data)
{
	attempt_t *attempt = user_data;
	GError *error = NULL;

	attempt->body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &error);
	attempt->is_refused = g_error_matches(error, G_IO_ERROR,
					      G_IO_ERROR_CONNECTION_REFUSED);
	attempt->is_done = TRUE;
	g_clear_error(&error);
}

static SoupMessage *message_new_(const client_t *client,
				 const client_request_t *request)
{
	char *uri = g_strdup_printf("http://%s%s", client_address(client),
				    request->path);
	SoupMessage *message = soup_message_new(request->method, uri);
	SoupMessageHeaders *headers;
	GBytes *body;
	char *number;

	g_free(uri);
	if (!message)
		return NULL;
	headers = soup_message_get_request_headers(message);
	if (request->change_id)
		soup_message_headers_replace(headers,
					     CB_OPERATOR_CHANGE_ID_HEADER,
					     request->change_id);
	if (request->has_expected_revision) {
		number = g_strdup_printf("%" G_GUINT64_FORMAT,
					 request->expected_revision);
		soup_message_headers_replace(headers,
					     CB_OPERATOR_EXPECTED_HEADER,
					     number);
		g_free(number);
	}
	if (request->body) {
		body = g_bytes_new(request->body, strlen(request->body));
		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 body);
		g_bytes_unref(body);
	}
	return message;
}

/* Asks one control instance; returns what is known of the request's end. */
static client_outcome_t attempt_run_(client_t *client,
				     const client_request_t *request,
				     client_reply_t *reply)
{
	attempt_t attempt = { .cancellable = g_cancellable_new() };
	client_outcome_t outcome = CLIENT_UNKNOWN;
	SoupMessage *message = message_new_(client, request);
	cb_timer_t *timer;
	gsize size;
	const char *data;

	if (!message) {
		g_object_unref(attempt.cancellable);
		return CLIENT_UNAVAILABLE;
	}
	timer = cb_timer_new(client->clock, attempt_expired_, &attempt);
	cb_timer_start(timer, MIN(ATTEMPT_TIMEOUT_MS, client_left_ms(client)));
	soup_session_send_and_read_async(client->session, message,
					 G_PRIORITY_DEFAULT,
					 attempt.cancellable, attempt_done_,
					 &attempt);
	while (!attempt.is_done)
		g_main_context_iteration(client->context, TRUE);
	cb_timer_delete(timer);
	if (attempt.body) {
		data = g_bytes_get_data(attempt.body, &size);
		reply->status = soup_message_get_status(message);
		reply->text = g_strndup(data, size);
		reply->json = json_from_string(reply->text, NULL);
		outcome = CLIENT_ANSWERED;
		g_bytes_unref(attempt.body);
	} else if (attempt.is_refused) {
		outcome = CLIENT_UNAVAILABLE;
	}
	g_object_unref(message);
	g_object_unref(attempt.cancellable);
	return outcome;
}

/* Reads what an error answer promises about the request's execution. */
static client_outcome_t refusal_outcome_(const client_reply_t *reply)
{
	JsonObject *error;
	JsonObject *root;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return CLIENT_UNKNOWN;
	root = json_node_get_object(reply->json);
	if (!json_object_has_member(root, "error"))
		return CLIENT_UNKNOWN;
	error = json_object_get_object_member(root, "error");
	if (!g_strcmp0(json_object_get_string_member_with_default(error,
								  "executed",
								  NULL),
		       "no"))
		return CLIENT_UNAVAILABLE;
	return CLIENT_UNKNOWN;
}

/*
 * Sends a request to the control instances in turn, a change always under
 * the same change ID, until one answers with another status than 503 or the
 * time is up.  `reply` is set only if the outcome is ANSWERED.
 */
client_outcome_t client_ask(client_t *client, const client_request_t *request,
			    client_reply_t *reply)
{
	client_outcome_t worst = CLIENT_UNAVAILABLE;
	client_outcome_t outcome;
	unsigned int tries = 0;

	do {
		reply->status = 0;
		reply->text = NULL;
		reply->json = NULL;
		outcome = attempt_run_(client, request, reply);
		if (outcome == CLIENT_ANSWERED &&
		    reply->status != SOUP_STATUS_SERVICE_UNAVAILABLE)
			return CLIENT_ANSWERED;
		if (outcome == CLIENT_ANSWERED)
			outcome = refusal_outcome_(reply);
		if (outcome == CLIENT_UNKNOWN)
			worst = CLIENT_UNKNOWN;
		client_reply_clear(reply);
		client_next_address(client);
		if (++tries % client->address_count == 0)
			client_sleep(client, ROUND_DELAY_MS);
	} while (client_left_ms(client) > 0);
	return worst;
}

/* Frees what a request holds. */
void client_request_clear(client_request_t *request)
{
	g_clear_pointer(&request->path, g_free);
	g_clear_pointer(&request->body, g_free);
	g_clear_pointer(&request->change_id, g_free);
}

/* Frees what a reply holds. */
void client_reply_clear(client_reply_t *reply)
{
	g_clear_pointer(&reply->json, json_node_unref);
	g_clear_pointer(&reply->text, g_free);
	reply->status = 0;
}
