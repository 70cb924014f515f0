#include "fake_backend.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The exit code of a process that ends because of --crash-on. */
#define CRASH_EXIT_CODE 70

/*
 * Returns whether the backend no longer answers, because of --silent-after.
 * Its requests then stay without an answer.
 */
gboolean fake_backend_is_silent(fake_backend_t *backend)
{
	return backend->is_silent;
}

/*
 * Counts an executed token or call.  The backend becomes silent when the count
 * reaches --silent-after.
 */
void fake_backend_count_execution(fake_backend_t *backend)
{
	int limit = backend->options->silent_after;

	backend->executed_count++;
	if (limit > 0 && backend->executed_count >= limit)
		backend->is_silent = TRUE;
}

/* Ends the process at once if `text` contains the text of --crash-on. */
void fake_backend_crash_on_match(const fake_backend_t *backend,
				 const char *text)
{
	const char *crash_text = backend->options->crash_text;

	if (crash_text && text && strstr(text, crash_text))
		_exit(CRASH_EXIT_CODE);
}

/* Returns an object as JSON text, which the caller frees. */
char *fake_json_to_text(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_set_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/*
 * Writes `line`, whose ownership is taken, as one JSON line to the effect log
 * if there is one.
 */
void fake_backend_log_effect(fake_backend_t *backend, JsonObject *line)
{
	char *text;

	if (backend->effect_log) {
		text = fake_json_to_text(line);
		fprintf(backend->effect_log, "%s\n", text);
		fflush(backend->effect_log);
		g_free(text);
	}
	json_object_unref(line);
}

/*
 * Returns the JSON object of a request's body, which the caller unrefs.  If
 * the body is not one, answers with 400 and returns NULL.
 */
JsonObject *fake_request_parse(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	JsonParser *parser = json_parser_new();
	JsonObject *object = NULL;
	JsonNode *root;

	if (json_parser_load_from_data(parser, body->data ? body->data : "",
				       body->length, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			object = json_object_ref(json_node_get_object(root));
	}
	g_object_unref(parser);
	if (!object)
		fake_reply_error(message, SOUP_STATUS_BAD_REQUEST, "malformed");
	return object;
}

/* Returns a string member, or NULL if it is absent. */
const char *fake_member_string(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, NULL);
}

/* Returns an integer member, or 0 if it is absent. */
int64_t fake_member_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

/* Answers with a JSON object, whose ownership is taken. */
void fake_reply(SoupServerMessage *message, unsigned int status,
		JsonObject *body)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, body);
	cb_http_reply_json(message, status, node);
	json_node_unref(node);
}

/* Answers that nothing was executed; `error` is the reason. */
void fake_reply_error(SoupServerMessage *message, unsigned int status,
		      const char *error)
{
	JsonObject *body = json_object_new();

	json_object_set_string_member(body, "error", error);
	fake_reply(message, status, body);
}
