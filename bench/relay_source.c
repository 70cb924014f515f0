#include "relay.h"

#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"

/*
 * A simulated engine that sends small tokens at a constant rate.  The text of
 * a token is the time at which it was sent, in microseconds.
 */
#define ANNOUNCE_INTERVAL_MS 500

typedef struct source {
	relay_process_t process;
	char *name;
	char *listen; /* address that this engine listens on */
	char *entry;  /* address of the entry instance, or NULL */
	int token_ms; /* interval between the tokens of a stream */
	SoupSession *session;
	cb_timer_t *announce_timer;
} source_t;

typedef struct stream {
	source_t *source;
	SoupServerMessage *message;
	cb_timer_t *timer;
	char *request; /* ID of the request */
	int64_t epoch;
	int64_t max_tokens;
	int64_t next_token; /* index of the token that is sent next */
	/* When `next_token` is due, on the process's clock. */
	int64_t next_due_ms;
} stream_t;

static void stream_handle_finished_(SoupServerMessage *message, void *user_data)
{
	stream_t *stream = user_data;

	(void)message;
	cb_timer_delete(stream->timer);
	g_object_unref(stream->message);
	g_free(stream->request);
	g_free(stream);
}

/*
 * Schedules the next token one interval after the last was due, so that late
 * timers don't add up.
 */
static void next_token_schedule_(stream_t *stream)
{
	stream->next_due_ms += stream->source->token_ms;
	cb_timer_start(stream->timer,
		       stream->next_due_ms -
			       cb_clock_now_ms(stream->source->process.clock));
}

static void token_send_(void *user_data)
{
	stream_t *stream = user_data;
	SoupMessageBody *body =
		soup_server_message_get_response_body(stream->message);
	gboolean is_last = stream->next_token + 1 == stream->max_tokens;
	char *line = g_strdup_printf(
		"{\"request\":\"%s\",\"epoch\":%" G_GINT64_FORMAT
		",\"token\":%" G_GINT64_FORMAT ",\"text\":\"%" G_GINT64_FORMAT
		"\",\"last\":%s}\n",
		stream->request, stream->epoch, stream->next_token,
		g_get_monotonic_time(), is_last ? "true" : "false");

	soup_message_body_append(body, SOUP_MEMORY_TAKE, line, strlen(line));
	stream->next_token++;
	if (is_last)
		soup_message_body_complete(body);
	else
		next_token_schedule_(stream);
	soup_server_message_unpause(stream->message);
}

static void stream_handle_(SoupServer *soup, SoupServerMessage *message,
			   const char *path, GHashTable *query, void *user_data)
{
	stream_t *stream = g_new0(stream_t, 1);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	JsonParser *parser = json_parser_new();
	JsonObject *request;

	(void)soup;
	(void)path;
	(void)query;
	json_parser_load_from_data(parser, g_bytes_get_data(bytes, NULL),
				   (gssize)g_bytes_get_size(bytes), NULL);
	request = json_node_get_object(json_parser_get_root(parser));
	stream->source = user_data;
	stream->message = g_object_ref(message);
	stream->request =
		g_strdup(json_object_get_string_member(request, "request"));
	stream->epoch = json_object_get_int_member(request, "epoch");
	stream->max_tokens = json_object_get_int_member(request, "max_tokens");
	if (json_object_has_member(request, "delivered"))
		stream->next_token = json_array_get_length(
			json_object_get_array_member(request, "delivered"));
	stream->timer = cb_timer_new(stream->source->process.clock, token_send_,
				     stream);
	g_object_unref(parser);
	g_bytes_unref(bytes);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(
						 message),
					 FALSE);
	g_signal_connect(message, "finished",
			 G_CALLBACK(stream_handle_finished_), stream);
	soup_server_message_pause(message);
	stream->next_due_ms = cb_clock_now_ms(stream->source->process.clock) -
			      g_random_int_range(0, stream->source->token_ms);
	next_token_schedule_(stream);
}

static void other_request_handle_(SoupServer *soup, SoupServerMessage *message,
				  const char *path, GHashTable *query,
				  void *user_data)
{
	(void)soup;
	(void)path;
	(void)query;
	(void)user_data;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_STATIC, "{}", 2);
}

static void announcement_handle_answer_(GObject *session, GAsyncResult *result,
					void *user_data)
{
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session),
							  result, NULL);

	(void)user_data;
	g_clear_pointer(&bytes, g_bytes_unref);
}

static void announcement_send_(void *user_data)
{
	source_t *source = user_data;
	char *uri =
		g_strdup_printf("http://%s/v1/backend/announce", source->entry);
	char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"address\":\"%s\",\"data_centre\":\"dc1\","
		"\"kind\":\"engine\",\"incarnation\":1,\"state\":\"ready\","
		"\"capacity\":100000,\"models\":[{\"name\":\"ruling\","
		"\"first_layer\":0,\"last_layer\":3,\"layers\":4}]}",
		source->name, source->listen);
	SoupMessage *message = soup_message_new("POST", uri);
	GBytes *bytes = g_bytes_new_take(text, strlen(text));

	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_session_send_and_read_async(source->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 announcement_handle_answer_, NULL);
	g_bytes_unref(bytes);
	g_object_unref(message);
	g_free(uri);
	cb_timer_start(source->announce_timer, ANNOUNCE_INTERVAL_MS);
}

/* Runs a source of tokens until it is stopped. */
int relay_source_main(int argc, char **argv)
{
	source_t source = { .token_ms = 5 };
	const GOptionEntry entries[] = {
		{ "name", 0, 0, G_OPTION_ARG_STRING, &source.name, "Name", "" },
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &source.listen,
		  "Address", "" },
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &source.entry,
		  "Entry instance to announce to", "" },
		{ "token-ms", 0, 0, G_OPTION_ARG_INT, &source.token_ms,
		  "Time between tokens", "" },
		G_OPTION_ENTRY_NULL
	};
	cb_http_server_t *http;
	int exit_code;

	if (!cb_program_parse(&argc, &argv, NULL,
			      "Sends streams of tokens as an engine.", entries,
			      &exit_code))
		return exit_code;
	relay_process_init(&source.process);
	source.session = soup_session_new();
	http = cb_http_server_new(source.process.kernel, source.listen);
	cb_kernel_register(source.process.kernel, "http", (cb_service_t *)http);
	soup_server_add_handler(cb_http_server_soup(http), NULL,
				other_request_handle_, NULL, NULL);
	soup_server_add_handler(cb_http_server_soup(http), "/engine/stream",
				stream_handle_, &source, NULL);
	if (source.entry) {
		source.announce_timer =
			cb_timer_new(source.process.clock, announcement_send_,
				     &source);
		cb_timer_start(source.announce_timer, 0);
	}
	return relay_process_run(&source.process);
}
