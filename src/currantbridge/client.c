#include "client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "currantbridge/clock.h"
#include "currantbridge/operator.h"

/* After this time without an answer, the next control instance is tried. */
#define ATTEMPT_TIMEOUT_MS 3500
/* Delay after all control instances were tried without success. */
#define ROUND_DELAY_MS 100

struct client {
	char **addresses;
	unsigned int address_count;
	/* Index of the address of the selected control instance. */
	unsigned int address_index;
	GMainContext *context;
	cb_clock_t *clock;
	SoupSession *session;
	int64_t deadline_ms; /* deadline of all requests together, on `clock` */
};

/* One HTTP exchange with one control instance. */
typedef struct attempt {
	GCancellable *cancellable;
	GBytes *body; /* body of the answer; NULL if the exchange failed */
	gboolean is_connection_refused;
	gboolean is_done;
} attempt_t;

/* Creates a client whose requests together may take `timeout_ms`. */
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

/* Returns the milliseconds until the client's deadline, or 0 after it. */
int64_t client_remaining_ms(const client_t *client)
{
	int64_t remaining_ms =
		client->deadline_ms - cb_clock_now_ms(client->clock);

	return MAX(remaining_ms, 0);
}

/* Returns the address of the selected control instance. */
const char *client_address(const client_t *client)
{
	return client->addresses[client->address_index];
}

/* Returns the number of control instances to choose from. */
unsigned int client_address_count(const client_t *client)
{
	return client->address_count;
}

/* Selects the next control instance. */
void client_select_next_address(client_t *client)
{
	client->address_index =
		(client->address_index + 1) % client->address_count;
}

static void flag_set_(void *user_data)
{
	*(gboolean *)user_data = TRUE;
}

/* Runs the main loop for `delay_ms`, at most until the deadline. */
void client_sleep(client_t *client, int64_t delay_ms)
{
	gboolean is_over = FALSE;
	cb_timer_t *timer = cb_timer_new(client->clock, flag_set_, &is_over);

	cb_timer_start(timer, MIN(delay_ms, client_remaining_ms(client)));
	while (!is_over)
		g_main_context_iteration(client->context, TRUE);
	cb_timer_delete(timer);
}

static void attempt_cancel_(void *user_data)
{
	attempt_t *attempt = user_data;

	g_cancellable_cancel(attempt->cancellable);
}

static void attempt_finish_(GObject *source, GAsyncResult *result,
			    void *user_data)
{
	attempt_t *attempt = user_data;
	GError *error = NULL;

	attempt->body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &error);
	attempt->is_connection_refused =
		g_error_matches(error, G_IO_ERROR,
				G_IO_ERROR_CONNECTION_REFUSED);
	attempt->is_done = TRUE;
	g_clear_error(&error);
}

static SoupMessage *request_message_new_(const client_t *client,
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

/* Sends a request to one control instance and waits for its answer. */
static client_outcome_t attempt_run_(client_t *client,
				     const client_request_t *request,
				     client_reply_t *reply)
{
	attempt_t attempt = { .cancellable = g_cancellable_new() };
	client_outcome_t outcome = CLIENT_MAYBE_EXECUTED;
	SoupMessage *message = request_message_new_(client, request);
	cb_timer_t *timer;
	gsize size;
	const char *data;

	if (!message) {
		g_object_unref(attempt.cancellable);
		return CLIENT_NOT_EXECUTED;
	}
	timer = cb_timer_new(client->clock, attempt_cancel_, &attempt);
	cb_timer_start(timer,
		       MIN(ATTEMPT_TIMEOUT_MS, client_remaining_ms(client)));
	soup_session_send_and_read_async(client->session, message,
					 G_PRIORITY_DEFAULT,
					 attempt.cancellable, attempt_finish_,
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
	} else if (attempt.is_connection_refused) {
		outcome = CLIENT_NOT_EXECUTED;
	}
	g_object_unref(message);
	g_object_unref(attempt.cancellable);
	return outcome;
}

/*
 * Returns whether an error answer rules out that the request was executed.
 * An answer that does not state it counts as CLIENT_MAYBE_EXECUTED.
 */
static client_outcome_t error_outcome_(const client_reply_t *reply)
{
	JsonObject *error;
	JsonObject *root;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return CLIENT_MAYBE_EXECUTED;
	root = json_node_get_object(reply->json);
	if (!json_object_has_member(root, "error"))
		return CLIENT_MAYBE_EXECUTED;
	error = json_object_get_object_member(root, "error");
	if (!g_strcmp0(json_object_get_string_member_with_default(error,
								  "executed",
								  NULL),
		       "no"))
		return CLIENT_NOT_EXECUTED;
	return CLIENT_MAYBE_EXECUTED;
}

/*
 * Sends a request to the control instances in turn, with the same change ID
 * each time, until one answers with a status other than 503 or the deadline
 * has passed.  `reply` is set only if the outcome is
 * CLIENT_ANSWERED.
 */
client_outcome_t client_send(client_t *client, const client_request_t *request,
			     client_reply_t *reply)
{
	client_outcome_t worst = CLIENT_NOT_EXECUTED;
	client_outcome_t outcome;
	unsigned int attempt_count = 0;

	do {
		reply->status = 0;
		reply->text = NULL;
		reply->json = NULL;
		outcome = attempt_run_(client, request, reply);
		if (outcome == CLIENT_ANSWERED &&
		    reply->status != SOUP_STATUS_SERVICE_UNAVAILABLE)
			return CLIENT_ANSWERED;
		if (outcome == CLIENT_ANSWERED)
			outcome = error_outcome_(reply);
		if (outcome == CLIENT_MAYBE_EXECUTED)
			worst = CLIENT_MAYBE_EXECUTED;
		client_reply_clear(reply);
		client_select_next_address(client);
		if (++attempt_count % client->address_count == 0)
			client_sleep(client, ROUND_DELAY_MS);
	} while (client_remaining_ms(client) > 0);
	return worst;
}

/* Frees the members of a request to control. */
void client_request_clear(client_request_t *request)
{
	g_clear_pointer(&request->path, g_free);
	g_clear_pointer(&request->body, g_free);
	g_clear_pointer(&request->change_id, g_free);
}

/* Frees the members of a reply from control. */
void client_reply_clear(client_reply_t *reply)
{
	g_clear_pointer(&reply->json, json_node_unref);
	g_clear_pointer(&reply->text, g_free);
	reply->status = 0;
}
