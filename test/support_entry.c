#include "support_entry.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fake_model.h"

#define READY_TIMEOUT_MS 20000
#define METRIC_TIMEOUT_MS 10000
#define HTTP_TIMEOUT_S 5

/*
 * Sends a change to the first control instance.  Returns the HTTP status, or 0
 * if there was no answer.
 */
static unsigned int change_send_(support_group_t *group, const char *method,
				 const char *path, const char *body)
{
	SoupSession *session =
		soup_session_new_with_options("timeout", HTTP_TIMEOUT_S, NULL);
	char *uri =
		g_strdup_printf("http://%s%s", group->control[0]->http, path);
	SoupMessage *message = soup_message_new(method, uri);
	GBytes *bytes = g_bytes_new(body, strlen(body));
	char *id = g_uuid_string_random();
	unsigned int status = 0;

	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "X-Change-Id", id);
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	g_bytes_unref(bytes);
	bytes = soup_session_send_and_read(session, message, NULL, NULL);
	if (bytes)
		status = soup_message_get_status(message);
	g_clear_pointer(&bytes, g_bytes_unref);
	g_object_unref(message);
	g_object_unref(session);
	g_free(id);
	g_free(uri);
	return status;
}

typedef struct pending_contract {
	support_group_t *group;
	char *text;
} pending_contract_t;

static gboolean contract_put_is_accepted_(void *user_data)
{
	pending_contract_t *contract = user_data;

	return change_send_(contract->group, "PUT", "/v1/contracts/handicap",
			    contract->text) == SOUP_STATUS_OK;
}

/*
 * Puts the contract of the workspace "handicap" and waits until it is accepted.
 * `limits` are the JSON members of its limits; NULL stands for high limits.
 */
void support_contract_put(support_group_t *group, const char *limits)
{
	static const char high_limits[] = "\"guaranteed_tokens_per_s\":1000,"
					  "\"ceiling_tokens_per_s\":1000000,"
					  "\"guaranteed_requests_per_s\":500,"
					  "\"ceiling_requests_per_s\":10000,"
					  "\"concurrent_requests\":1000";
	pending_contract_t contract = { .group = group };

	contract.text = g_strdup_printf(
		"{\"workspace\":\"handicap\",\"keys\":[\"" SUPPORT_KEY
		"\"],\"models\":[\"" SUPPORT_MODEL "\"],\"services\":[{"
		"\"name\":\"bookings\",\"idempotent\":false}],"
		"\"priority\":5,\"deadline_ms\":60000,%s}",
		limits ? limits : high_limits);
	g_assert(support_wait_until(contract_put_is_accepted_, &contract,
				    READY_TIMEOUT_MS));
	g_free(contract.text);
}

/*
 * Announces a planned stop; `kind` is "server" or "instance".  Returns whether
 * it was accepted.
 */
gboolean support_stop_announce(support_group_t *group, const char *kind,
			       const char *name)
{
	char *body = g_strdup_printf("{\"kind\":\"%s\",\"name\":\"%s\"}", kind,
				     name);
	unsigned int status = change_send_(group, "POST", "/v1/stops", body);

	g_free(body);
	return status == SOUP_STATUS_OK;
}

/*
 * Starts an entry instance; `extra_settings` are further settings as JSON
 * members, or NULL.
 */
support_daemon_t *support_entry_start(support_group_t *group, const char *name,
				      const char *extra_settings)
{
	char *http = g_strdup_printf("127.0.0.1:%u", support_free_port());
	GString *settings = g_string_new(NULL);
	support_daemon_t *entry;
	size_t i;

	g_string_printf(settings,
			"{\"name\":\"%s\",\"listen\":\"%s\","
			"\"data_centre\":\"dc1\",\"control\":[",
			name, http);
	for (i = 0; i < group->control_count; i++)
		g_string_append_printf(settings, "%s\"%s\"", i ? "," : "",
				       group->control[i]->peers);
	g_string_append_printf(settings, "]%s%s}", extra_settings ? "," : "",
			       extra_settings ? extra_settings : "");
	entry = support_group_add(group, "cb-entry", name, http, settings->str);
	support_daemon_start(entry);
	g_string_free(settings, TRUE);
	g_free(http);
	return entry;
}

/*
 * Starts a simulated backend server that announces itself to the entry
 * instances, an array that ends with NULL.  `arguments` are further command
 * line arguments, separated by spaces.
 */
support_backend_t *support_backend_start(support_group_t *group,
					 const char *name,
					 support_daemon_t *const *entries,
					 const char *arguments)
{
	support_backend_t *backend = g_new0(support_backend_t, 1);
	GPtrArray *argv = g_ptr_array_new();
	char **extra = g_strsplit(arguments, " ", -1);
	char *program = support_program_copy("cb-fake-backend");
	GError *error = NULL;
	size_t i;

	backend->name = g_strdup(name);
	backend->address = g_strdup_printf("127.0.0.1:%u", support_free_port());
	backend->effects_path =
		g_strdup_printf("%s/%s.effects", group->folder, name);
	g_ptr_array_add(argv, program);
	g_ptr_array_add(argv, (char *)"--name");
	g_ptr_array_add(argv, backend->name);
	g_ptr_array_add(argv, (char *)"--listen");
	g_ptr_array_add(argv, backend->address);
	g_ptr_array_add(argv, (char *)"--log");
	g_ptr_array_add(argv, backend->effects_path);
	for (i = 0; entries[i]; i++) {
		g_ptr_array_add(argv, (char *)"--announce");
		g_ptr_array_add(argv, entries[i]->http);
	}
	for (i = 0; extra[i]; i++)
		g_ptr_array_add(argv, extra[i]);
	g_ptr_array_add(argv, NULL);
	backend->process =
		g_subprocess_newv((const char *const *)argv->pdata,
				  G_SUBPROCESS_FLAGS_STDERR_SILENCE, &error);
	if (!backend->process)
		g_error("%s: %s", program, error->message);
	g_ptr_array_unref(argv);
	g_strfreev(extra);
	g_free(program);
	return backend;
}

/* Sends a signal to a simulated backend server that runs. */
void support_backend_signal(support_backend_t *backend, int signal_number)
{
	g_subprocess_send_signal(backend->process, signal_number);
}

/*
 * Waits until a simulated backend server exits.  Returns its exit code, or -1
 * if a signal killed it.
 */
int support_backend_wait(support_backend_t *backend)
{
	int exit_code = -1;

	g_subprocess_wait(backend->process, NULL, NULL);
	if (g_subprocess_get_if_exited(backend->process))
		exit_code = g_subprocess_get_exit_status(backend->process);
	g_clear_object(&backend->process);
	return exit_code;
}

/* Kills a simulated backend server if it was not waited for, and frees it. */
void support_backend_delete(support_backend_t *backend)
{
	if (backend->process) {
		support_backend_signal(backend, SIGKILL);
		support_backend_wait(backend);
	}
	g_free(backend->name);
	g_free(backend->address);
	g_free(backend->effects_path);
	g_free(backend);
}

/* Returns how many effects (tokens and calls) the server has logged. */
unsigned int support_backend_effect_count(const support_backend_t *backend)
{
	unsigned int count = 0;
	char *text = NULL;
	const char *at;

	if (!g_file_get_contents(backend->effects_path, &text, NULL, NULL))
		return 0;
	for (at = text; (at = strchr(at, '\n')); at++)
		count++;
	g_free(text);
	return count;
}

static gboolean entry_is_ready_(void *user_data)
{
	support_daemon_t *entry = user_data;

	return support_http_request("GET", entry->http, "/readyz", NULL,
				    NULL) == SOUP_STATUS_OK;
}

/* Waits until an entry instance admits requests. */
gboolean support_wait_ready(support_daemon_t *entry)
{
	return support_wait_until(entry_is_ready_, entry, READY_TIMEOUT_MS);
}

/* Waits until `count` backend servers are ready at an entry instance. */
gboolean support_wait_ready_servers(support_daemon_t *entry, int count)
{
	return support_wait_metric(entry->http,
				   "cb_backend_servers{state=\"ready\"}",
				   count);
}

/* Returns the value of a series at /metrics, or -1 if there is none. */
int64_t support_metric_value(const char *address, const char *series)
{
	char *line_start = g_strdup_printf("\n%s ", series);
	char *text = NULL;
	const char *found;
	int64_t value = -1;

	if (support_http_request("GET", address, "/metrics", NULL, &text) ==
		    SOUP_STATUS_OK &&
	    (found = strstr(text, line_start)))
		value = g_ascii_strtoll(found + strlen(line_start), NULL, 10);
	g_free(text);
	g_free(line_start);
	return value;
}

typedef struct awaited_metric {
	const char *address;
	const char *series;
	int64_t value;
} awaited_metric_t;

static gboolean metric_has_value_(void *user_data)
{
	awaited_metric_t *awaited = user_data;

	return support_metric_value(awaited->address, awaited->series) ==
	       awaited->value;
}

/* Waits until the metric `series` has the value `value`. */
gboolean support_wait_metric(const char *address, const char *series,
			     int64_t value)
{
	awaited_metric_t awaited = { address, series, value };

	return support_wait_until(metric_has_value_, &awaited,
				  METRIC_TIMEOUT_MS);
}

/*
 * Sends raw bytes on a new connection, closes the sending direction if
 * `closes_output`, and returns everything received until the peer closes the
 * connection or nothing arrives for HTTP_TIMEOUT_S.
 */
char *support_raw_exchange(const char *address, const char *request,
			   size_t size_bytes, gboolean closes_output)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	GString *answer = g_string_new(NULL);
	char buffer[4096];
	GSocket *socket;
	gssize count;

	g_socket_client_set_timeout(client, HTTP_TIMEOUT_S);
	connection =
		g_socket_client_connect_to_host(client, address, 0, NULL, NULL);
	g_assert(connection);
	socket = g_socket_connection_get_socket(connection);
	while (size_bytes > 0 &&
	       (count = g_socket_send(socket, request, size_bytes, NULL,
				      NULL)) > 0) {
		request += count;
		size_bytes -= (size_t)count;
	}
	if (closes_output)
		g_socket_shutdown(socket, FALSE, TRUE, NULL);
	while ((count = g_socket_receive(socket, buffer, sizeof(buffer), NULL,
					 NULL)) > 0)
		g_string_append_len(answer, buffer, count);
	g_object_unref(connection);
	g_object_unref(client);
	return g_string_free(answer, FALSE);
}

static void stream_read_next_(support_stream_t *stream);

static void stream_read_done_(GObject *body, GAsyncResult *result,
			      void *user_data)
{
	support_stream_t *stream = user_data;
	gssize count =
		g_input_stream_read_finish(G_INPUT_STREAM(body), result, NULL);

	if (count <= 0) {
		stream->is_over = TRUE;
		return;
	}
	g_string_append_len(stream->received, stream->buffer, count);
	stream_read_next_(stream);
}

static void stream_read_next_(support_stream_t *stream)
{
	g_input_stream_read_async(stream->body, stream->buffer,
				  sizeof(stream->buffer), G_PRIORITY_DEFAULT,
				  stream->cancellable, stream_read_done_,
				  stream);
}

static void stream_response_started_(GObject *session, GAsyncResult *result,
				     void *user_data)
{
	support_stream_t *stream = user_data;
	SoupMessage *message =
		soup_session_get_async_result_message(SOUP_SESSION(session),
						      result);

	stream->body =
		soup_session_send_finish(SOUP_SESSION(session), result, NULL);
	if (!stream->body) {
		stream->is_over = TRUE;
		return;
	}
	stream->status = soup_message_get_status(message);
	stream_read_next_(stream);
}

/* Starts a streamed completion, which is received in the default main loop. */
support_stream_t *support_stream_start(const char *address, const char *prompt,
				       unsigned int max_tokens)
{
	support_stream_t *stream = g_new0(support_stream_t, 1);
	char *uri = g_strdup_printf("http://%s/v1/completions", address);
	char *body = g_strdup_printf("{\"model\":\"" SUPPORT_MODEL
				     "\",\"prompt\":\"%s\","
				     "\"max_tokens\":%u,\"stream\":true}",
				     prompt, max_tokens);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *bytes = g_bytes_new_take(body, strlen(body));

	stream->session = soup_session_new();
	stream->cancellable = g_cancellable_new();
	stream->prompt = g_strdup(prompt);
	stream->max_tokens = max_tokens;
	stream->received = g_string_new(NULL);
	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "Authorization", "Bearer " SUPPORT_KEY);
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_session_send_async(stream->session, message, G_PRIORITY_DEFAULT,
				stream->cancellable, stream_response_started_,
				stream);
	g_bytes_unref(bytes);
	g_object_unref(message);
	g_free(uri);
	return stream;
}

/* Appends the text of one event to `text`.  Returns TRUE for the end event. */
static gboolean event_text_append_(const char *event, GString *text)
{
	JsonParser *parser = json_parser_new();
	JsonObject *choice;
	gboolean is_end = !strcmp(event, "data: [DONE]");

	if (is_end || !g_str_has_prefix(event, "data: ") ||
	    !json_parser_load_from_data(parser, event + strlen("data: "), -1,
					NULL))
		goto out;
	choice = json_array_get_object_element(
		json_object_get_array_member(
			json_node_get_object(json_parser_get_root(parser)),
			"choices"),
		0);
	g_string_append(text, json_object_get_string_member(choice, "text"));
out:
	g_object_unref(parser);
	return is_end;
}

/* Returns whether the stream is complete, with each token once and in order. */
gboolean support_stream_is_complete(const support_stream_t *stream)
{
	char **events = g_strsplit(stream->received->str, "\n\n", -1);
	GString *text = g_string_new(NULL);
	GString *expected = g_string_new(NULL);
	char *previous = g_strdup("");
	gboolean has_end_event = FALSE;
	gboolean is_complete;
	unsigned int i;

	for (i = 0; events[i]; i++)
		has_end_event =
			event_text_append_(events[i], text) || has_end_event;
	for (i = 0; i < stream->max_tokens; i++) {
		char *token = fake_model_token(stream->prompt, i, previous,
					       SUPPORT_LAYERS);

		g_string_append(expected, token);
		g_free(previous);
		previous = token;
	}
	is_complete = stream->is_over && has_end_event &&
		      stream->status == SOUP_STATUS_OK &&
		      g_string_equal(text, expected);
	if (!is_complete)
		printf("    stream %s: status %u, %zu bytes, over %d, end event %d\n",
		       stream->prompt, stream->status, stream->received->len,
		       stream->is_over, has_end_event);
	g_free(previous);
	g_string_free(text, TRUE);
	g_string_free(expected, TRUE);
	g_strfreev(events);
	return is_complete;
}

/* Returns how many events were received, the end event included. */
unsigned int support_stream_event_count(const support_stream_t *stream)
{
	const char *at = stream->received->str;
	unsigned int count = 0;

	for (; (at = strstr(at, "data: ")); at++)
		count++;
	return count;
}

static gboolean stream_is_over_(void *user_data)
{
	return ((support_stream_t *)user_data)->is_over;
}

/* Closes the connection of a stream's client. */
void support_stream_disconnect(support_stream_t *stream)
{
	g_cancellable_cancel(stream->cancellable);
	support_wait_until(stream_is_over_, stream, METRIC_TIMEOUT_MS);
	g_clear_object(&stream->body);
	soup_session_abort(stream->session);
}

/* Closes the connection of a stream's client and frees the stream. */
void support_stream_delete(support_stream_t *stream)
{
	support_stream_disconnect(stream);
	g_object_unref(stream->session);
	g_object_unref(stream->cancellable);
	g_string_free(stream->received, TRUE);
	g_free(stream->prompt);
	g_free(stream);
}

typedef struct awaited_streams {
	support_stream_t **streams;
	size_t count;
} awaited_streams_t;

static gboolean streams_are_over_(void *user_data)
{
	awaited_streams_t *awaited = user_data;
	size_t i;

	for (i = 0; i < awaited->count; i++) {
		if (!awaited->streams[i]->is_over)
			return FALSE;
	}
	return TRUE;
}

/*
 * Waits until all streams have ended, successfully or not.  Returns FALSE after
 * `timeout_ms`.
 */
gboolean support_wait_streams(support_stream_t **streams, size_t count,
			      int64_t timeout_ms)
{
	awaited_streams_t awaited = { streams, count };

	return support_wait_until(streams_are_over_, &awaited, timeout_ms);
}
