#include "fake_backend.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The exit code of a process that --crash-on has ended. */
#define CRASH_EXIT_CODE 70

/* Tells whether the backend has gone silent for good. */
gboolean fake_backend_is_silent(fake_backend_t *backend)
{
	return backend->is_silent;
}

/* Counts an executed token or call; from --silent-after on it is silent. */
void fake_backend_count(fake_backend_t *backend)
{
	int limit = backend->options->silent_after;

	backend->executed++;
	if (limit > 0 && backend->executed >= limit)
		backend->is_silent = TRUE;
}

/* Ends the process at once if `text` holds the text of --crash-on. */
void fake_backend_crash_on(const fake_backend_t *backend, const char *text)
{
	const char *mark = backend->options->crash_on;

	if (mark && text && strstr(text, mark))
		_exit(CRASH_EXIT_CODE);
}

/* Returns an object as JSON text; the caller frees it. */
char *fake_to_text(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_set_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/* Writes one JSON line to the effects' log, if there is one; takes `line`. */
void fake_backend_log(fake_backend_t *backend, JsonObject *line)
{
	char *text;

	if (backend->effects) {
		text = fake_to_text(line);
		fprintf(backend->effects, "%s\n", text);
		fflush(backend->effects);
		g_free(text);
	}
	json_object_unref(line);
}

/* Parses a request's JSON object, or answers 400 and returns NULL. */
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
		fake_refuse(message, SOUP_STATUS_BAD_REQUEST, "malformed");
	return object;
}

/* Returns a member's text, or NULL when it is absent. */
const char *fake_member_string(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, NULL);
}

/* Returns a member's whole number, or 0 when it is absent. */
int64_t fake_member_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

/* Answers with a JSON object, which it takes. */
void fake_reply(SoupServerMessage *message, unsigned int status,
		JsonObject *body)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, body);
	cb_http_reply_json(message, status, node);
	json_node_unref(node);
}

/* Answers with the word that says why nothing was run. */
void fake_refuse(SoupServerMessage *message, unsigned int status,
		 const char *error)
{
	JsonObject *body = json_object_new();

	json_object_set_string_member(body, "error", error);
	fake_reply(message, status, body);
}
