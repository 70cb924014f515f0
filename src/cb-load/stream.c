#include "load.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "fake_model.h"

#define READ_BYTES 65536
#define EVENT_PREFIX "data: "
#define END_MARK "[DONE]"
/* A request without any byte for so long is given up. */
#define SILENCE_S 60

typedef struct stream {
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *input;
	GString *pending;
	char *buffer;
	char *prompt;
	char *previous;
	uint32_t layer_count;
	uint64_t abandon_after;
	int64_t started_us;
	int64_t last_token_us;
	gboolean has_error;
	load_result_t result;
	load_token_fn_t token;
	load_done_fn_t done;
	void *user_data;
} stream_t;

/* Makes the HTTP session that load tools share: many connections, no proxy. */
SoupSession *load_session_new(void)
{
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL,
					      "max-conns", 20000,
					      "max-conns-per-host", 20000,
					      NULL);

	soup_session_set_timeout(session, SILENCE_S);
	return session;
}

static void stream_finish_(stream_t *stream)
{
	stream->done(&stream->result, stream->user_data);
	if (stream->input)
		g_input_stream_close_async(stream->input, G_PRIORITY_DEFAULT,
					   NULL, NULL, NULL);
	g_clear_object(&stream->input);
	g_clear_object(&stream->message);
	g_object_unref(stream->cancellable);
	g_object_unref(stream->session);
	g_string_free(stream->pending, TRUE);
	g_array_unref(stream->result.gaps_us);
	g_free(stream->result.reason);
	g_free(stream->result.executed);
	g_free(stream->buffer);
	g_free(stream->prompt);
	g_free(stream->previous);
	g_free(stream);
}

/* Reads reason and executed from an error's JSON text. */
static void error_read_(stream_t *stream, const char *text)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	JsonNode *root;

	stream->has_error = TRUE;
	if (!json_parser_load_from_data(parser, text, -1, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	object = json_node_get_object(root);
	if (!json_object_has_member(object, "error"))
		goto out;
	object = json_object_get_object_member(object, "error");
	g_free(stream->result.reason);
	g_free(stream->result.executed);
	stream->result.reason = g_strdup(
		json_object_get_string_member_with_default(object, "reason",
							   "none"));
	stream->result.executed = g_strdup(
		json_object_get_string_member_with_default(object, "executed",
							   "none"));
out:
	g_object_unref(parser);
}

/* Returns the text of a completion chunk, or NULL when it has none. */
static char *chunk_text_(const char *json)
{
	JsonParser *parser = json_parser_new();
	JsonObject *choice;
	JsonArray *choices;
	JsonNode *root;
	char *text = NULL;

	if (!json_parser_load_from_data(parser, json, -1, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root) ||
	    !json_object_has_member(json_node_get_object(root), "choices"))
		goto out;
	choices = json_object_get_array_member(json_node_get_object(root),
					       "choices");
	if (!json_array_get_length(choices))
		goto out;
	choice = json_array_get_object_element(choices, 0);
	text = g_strdup(json_object_get_string_member_with_default(choice,
								   "text",
								   NULL));
out:
	g_object_unref(parser);
	return text;
}

/* Compares a token with the one that the stand-in's model gives. */
static void token_check_(stream_t *stream, const char *text)
{
	char *expected;

	if (!stream->layer_count)
		return;
	expected = fake_model_token(stream->prompt, stream->result.tokens,
				    stream->previous, stream->layer_count);
	if (strcmp(expected, text))
		stream->result.is_wrong = TRUE;
	g_free(stream->previous);
	stream->previous = expected;
}

static void token_take_(stream_t *stream, const char *text)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t gap_us = now_us - stream->last_token_us;

	token_check_(stream, text);
	if (!stream->result.tokens)
		stream->result.first_token_us = now_us - stream->started_us;
	else
		g_array_append_val(stream->result.gaps_us, gap_us);
	stream->last_token_us = now_us;
	stream->result.tokens++;
	if (stream->token)
		stream->token(text, stream->user_data);
}

/* Takes one line of the event stream. */
static void line_take_(stream_t *stream, const char *line)
{
	const char *data;
	char *text;

	if (stream->result.status != SOUP_STATUS_OK) {
		error_read_(stream, line);
		return;
	}
	if (!g_str_has_prefix(line, EVENT_PREFIX))
		return;
	data = line + strlen(EVENT_PREFIX);
	if (g_str_has_prefix(data, END_MARK)) {
		stream->result.is_whole = !stream->has_error;
		return;
	}
	text = chunk_text_(data);
	if (text && *text)
		token_take_(stream, text);
	else if (!text)
		error_read_(stream, data);
	g_free(text);
}

/* Takes the whole lines that have arrived. */
static void lines_take_(stream_t *stream)
{
	char *begin = stream->pending->str;
	char *end;

	while ((end = strchr(begin, '\n'))) {
		*end = '\0';
		line_take_(stream, begin);
		begin = end + 1;
	}
	g_string_erase(stream->pending, 0, begin - stream->pending->str);
}

static void read_next_(stream_t *stream);

static void read_done_(GObject *source, GAsyncResult *result, void *user_data)
{
	stream_t *stream = user_data;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source),
						  result, NULL);

	if (count <= 0) {
		if (stream->pending->len)
			line_take_(stream, stream->pending->str);
		stream_finish_(stream);
		return;
	}
	g_string_append_len(stream->pending, stream->buffer, count);
	lines_take_(stream);
	if (stream->abandon_after &&
	    stream->result.tokens >= stream->abandon_after &&
	    !stream->result.is_whole) {
		stream->result.is_abandoned = TRUE;
		g_cancellable_cancel(stream->cancellable);
	}
	read_next_(stream);
}

static void read_next_(stream_t *stream)
{
	g_input_stream_read_async(stream->input, stream->buffer, READ_BYTES,
				  G_PRIORITY_DEFAULT, stream->cancellable,
				  read_done_, stream);
}

static void sent_(GObject *source, GAsyncResult *result, void *user_data)
{
	stream_t *stream = user_data;
	const char *after;

	stream->input =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!stream->input) {
		stream_finish_(stream);
		return;
	}
	stream->result.status = soup_message_get_status(stream->message);
	after = soup_message_headers_get_one(soup_message_get_response_headers(
						     stream->message),
					     "Retry-After");
	if (after)
		stream->result.retry_after_s = g_ascii_strtoll(after, NULL, 10);
	read_next_(stream);
}

static char *body_make_(const load_request_t *request)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(object, "model", request->model);
	json_object_set_string_member(object, "prompt", request->prompt);
	json_object_set_int_member(object, "max_tokens",
				   (int64_t)request->max_tokens);
	json_object_set_boolean_member(object, "stream", TRUE);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/* Starts one streamed completion; it frees itself after `done`. */
void load_stream_start(SoupSession *session, const load_request_t *request,
		       load_token_fn_t token, load_done_fn_t done,
		       void *user_data)
{
	stream_t *stream = g_new0(stream_t, 1);
	char *uri =
		g_strdup_printf("http://%s/v1/completions", request->address);
	char *bearer = g_strconcat("Bearer ", request->key, NULL);
	char *body = body_make_(request);
	GBytes *bytes = g_bytes_new_take(body, strlen(body));

	stream->session = g_object_ref(session);
	stream->message = soup_message_new("POST", uri);
	stream->cancellable = g_cancellable_new();
	stream->pending = g_string_new(NULL);
	stream->buffer = g_malloc(READ_BYTES);
	stream->prompt = g_strdup(request->prompt);
	stream->layer_count = request->layer_count;
	stream->abandon_after = request->abandon_after;
	stream->result.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stream->token = token;
	stream->done = done;
	stream->user_data = user_data;
	stream->started_us = g_get_monotonic_time();
	soup_message_headers_replace(soup_message_get_request_headers(
					     stream->message),
				     "Authorization", bearer);
	soup_message_set_request_body_from_bytes(stream->message,
						 "application/json", bytes);
	soup_session_send_async(session, stream->message, G_PRIORITY_DEFAULT,
				stream->cancellable, sent_, stream);
	g_bytes_unref(bytes);
	g_free(bearer);
	g_free(uri);
}
