#include "load.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "fake_model.h"

#define READ_BUFFER_BYTES 65536
#define EVENT_PREFIX "data: "
#define END_MARKER "[DONE]"
/* A request fails after this time without receiving any data. */
#define IDLE_TIMEOUT_S 60

/* A streamed completion in flight; it is freed after `on_done`. */
typedef struct stream {
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *input;
	GString *pending; /* received data that is not yet parsed */
	char *buffer;	  /* buffer that the read in progress fills */
	char *prompt;
	char *previous; /* expected text of the last token, or NULL */
	uint32_t layer_count;
	uint64_t abandon_after_tokens;
	int64_t started_us;    /* start time of the request, monotonic */
	int64_t last_token_us; /* time of the last received token, monotonic */
	gboolean has_error;
	load_result_t result;
	/* Called with each token; NULL: tokens are not reported. */
	load_token_fn_t on_token;
	load_done_fn_t on_done;
	void *user_data;
} stream_t;

/* Creates an HTTP session with many connections and no proxy. */
SoupSession *load_session_new(void)
{
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL,
					      "max-conns", 20000,
					      "max-conns-per-host", 20000,
					      NULL);

	soup_session_set_timeout(session, IDLE_TIMEOUT_S);
	return session;
}

static void stream_finish_(stream_t *stream)
{
	stream->on_done(&stream->result, stream->user_data);
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

/* Parses the members reason and executed of an error's JSON text. */
static void error_parse_(stream_t *stream, const char *text)
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
static char *chunk_parse_text_(const char *json)
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

/* Compares a token with the one that the fake model computes. */
static void token_check_(stream_t *stream, const char *text)
{
	char *expected;

	if (!stream->layer_count)
		return;
	expected = fake_model_token(stream->prompt, stream->result.token_count,
				    stream->previous, stream->layer_count);
	if (strcmp(expected, text))
		stream->result.has_wrong_token = TRUE;
	g_free(stream->previous);
	stream->previous = expected;
}

static void token_handle_(stream_t *stream, const char *text)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t gap_us = now_us - stream->last_token_us;

	token_check_(stream, text);
	if (!stream->result.token_count)
		stream->result.first_token_us = now_us - stream->started_us;
	else
		g_array_append_val(stream->result.gaps_us, gap_us);
	stream->last_token_us = now_us;
	stream->result.token_count++;
	if (stream->on_token)
		stream->on_token(text, stream->user_data);
}

/* Handles one line of the event stream, or of an error answer. */
static void line_handle_(stream_t *stream, const char *line)
{
	const char *data;
	char *text;

	if (stream->result.status != SOUP_STATUS_OK) {
		error_parse_(stream, line);
		return;
	}
	if (!g_str_has_prefix(line, EVENT_PREFIX))
		return;
	data = line + strlen(EVENT_PREFIX);
	if (g_str_has_prefix(data, END_MARKER)) {
		stream->result.is_complete = !stream->has_error;
		return;
	}
	text = chunk_parse_text_(data);
	if (text && *text)
		token_handle_(stream, text);
	else if (!text)
		error_parse_(stream, data);
	g_free(text);
}

/* Handles the complete lines of the answer received so far. */
static void lines_handle_(stream_t *stream)
{
	char *begin = stream->pending->str;
	char *end;

	while ((end = strchr(begin, '\n'))) {
		*end = '\0';
		line_handle_(stream, begin);
		begin = end + 1;
	}
	g_string_erase(stream->pending, 0, begin - stream->pending->str);
}

static void stream_read_next_(stream_t *stream);

static void stream_handle_read_(GObject *source, GAsyncResult *result,
				void *user_data)
{
	stream_t *stream = user_data;
	gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source),
						  result, NULL);

	if (count <= 0) {
		if (stream->pending->len)
			line_handle_(stream, stream->pending->str);
		stream_finish_(stream);
		return;
	}
	g_string_append_len(stream->pending, stream->buffer, count);
	lines_handle_(stream);
	if (stream->abandon_after_tokens &&
	    stream->result.token_count >= stream->abandon_after_tokens &&
	    !stream->result.is_complete) {
		stream->result.is_abandoned = TRUE;
		g_cancellable_cancel(stream->cancellable);
	}
	stream_read_next_(stream);
}

static void stream_read_next_(stream_t *stream)
{
	g_input_stream_read_async(stream->input, stream->buffer,
				  READ_BUFFER_BYTES, G_PRIORITY_DEFAULT,
				  stream->cancellable, stream_handle_read_,
				  stream);
}

static void stream_handle_response_(GObject *source, GAsyncResult *result,
				    void *user_data)
{
	stream_t *stream = user_data;
	const char *retry_after;

	stream->input =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!stream->input) {
		stream_finish_(stream);
		return;
	}
	stream->result.status = soup_message_get_status(stream->message);
	retry_after =
		soup_message_headers_get_one(soup_message_get_response_headers(
						     stream->message),
					     "Retry-After");
	if (retry_after)
		stream->result.retry_after_s =
			g_ascii_strtoll(retry_after, NULL, 10);
	stream_read_next_(stream);
}

static char *request_body_make_(const load_request_t *request)
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

/*
 * Starts a streamed completion.  Calls `on_token`, unless it is NULL, for each
 * token and `on_done` once at the end.
 */
void load_stream_start(SoupSession *session, const load_request_t *request,
		       load_token_fn_t on_token, load_done_fn_t on_done,
		       void *user_data)
{
	stream_t *stream = g_new0(stream_t, 1);
	char *uri =
		g_strdup_printf("http://%s/v1/completions", request->address);
	char *bearer = g_strconcat("Bearer ", request->key, NULL);
	char *body = request_body_make_(request);
	GBytes *bytes = g_bytes_new_take(body, strlen(body));

	stream->session = g_object_ref(session);
	stream->message = soup_message_new("POST", uri);
	stream->cancellable = g_cancellable_new();
	stream->pending = g_string_new(NULL);
	stream->buffer = g_malloc(READ_BUFFER_BYTES);
	stream->prompt = g_strdup(request->prompt);
	stream->layer_count = request->layer_count;
	stream->abandon_after_tokens = request->abandon_after_tokens;
	stream->result.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stream->on_token = on_token;
	stream->on_done = on_done;
	stream->user_data = user_data;
	stream->started_us = g_get_monotonic_time();
	soup_message_headers_replace(soup_message_get_request_headers(
					     stream->message),
				     "Authorization", bearer);
	soup_message_set_request_body_from_bytes(stream->message,
						 "application/json", bytes);
	soup_session_send_async(session, stream->message, G_PRIORITY_DEFAULT,
				stream->cancellable, stream_handle_response_,
				stream);
	g_bytes_unref(bytes);
	g_free(bearer);
	g_free(uri);
}
