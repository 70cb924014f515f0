#include "private/completion_request.h"

#include "currantbridge/json_fields.h"

/* Appends one chat message to the prompt as a line "ROLE: CONTENT". */
static gboolean chat_message_append_(JsonNode *node, GString *prompt,
				     GError **error)
{
	const char *role = NULL;
	const char *content = NULL;
	JsonObject *object;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return cb_field_set_error(error, "messages",
					  "each must be an object");
	object = json_node_get_object(node);
	if (!cb_field_string(object, "role", &role, error) ||
	    !cb_field_string(object, "content", &content, error))
		return FALSE;
	if (!role || !content)
		return cb_field_set_error(error, "messages",
					  "each needs role and content");
	g_string_append_printf(prompt, "%s: %s\n", role, content);
	return TRUE;
}

static gboolean chat_prompt_parse_(JsonObject *object, char **prompt,
				   GError **error)
{
	JsonArray *messages = NULL;
	GString *text;
	unsigned int i;

	if (!cb_field_array(object, "messages", &messages, error))
		return FALSE;
	if (!messages)
		return cb_field_set_error(error, "messages", "is required");
	if (json_array_get_length(messages) == 0)
		return cb_field_set_error(error, "messages",
					  "must not be empty");
	text = g_string_new(NULL);
	for (i = 0; i < json_array_get_length(messages); i++) {
		if (chat_message_append_(json_array_get_element(messages, i),
					 text, error))
			continue;
		g_string_free(text, TRUE);
		return FALSE;
	}
	*prompt = g_string_free(text, FALSE);
	return TRUE;
}

static gboolean text_prompt_parse_(JsonObject *object, char **prompt,
				   GError **error)
{
	const char *text = NULL;

	if (!cb_field_string(object, "prompt", &text, error))
		return FALSE;
	if (!text)
		return cb_field_set_error(error, "prompt", "is required");
	*prompt = g_strdup(text);
	return TRUE;
}

static gboolean fields_parse_(cb_completion_request_t *request,
			      cb_completion_kind_t kind, JsonObject *object,
			      GError **error)
{
	const char *model = NULL;
	int64_t choices = 1;

	if (!cb_field_string(object, "model", &model, error))
		return FALSE;
	if (!model)
		return cb_field_set_error(error, "model", "is required");
	request->model = g_strdup(model);
	request->max_tokens = CB_MAX_TOKENS_DEFAULT;
	return cb_field_integer(object, "max_tokens", 1, CB_MAX_TOKENS_LIMIT,
				&request->max_tokens, error) &&
	       cb_field_integer(object, "n", 1, 1, &choices, error) &&
	       cb_field_boolean(object, "stream", &request->is_streamed,
				error) &&
	       (kind == CB_COMPLETION_CHAT ?
			chat_prompt_parse_(object, &request->prompt, error) :
			text_prompt_parse_(object, &request->prompt, error));
}

/*
 * Parses the body of a completion request into `request`, which must be
 * zeroed.  Unknown fields are ignored, as clients written for other servers
 * send them.  On failure the error is `FIELD: REASON` and `request` is
 * cleared.
 */
gboolean cb_completion_request_parse(cb_completion_request_t *request,
				     cb_completion_kind_t kind,
				     const char *text, size_t size_bytes,
				     GError **error)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object;
	gboolean is_parsed;

	object = cb_json_parse_object(parser, text, (int64_t)size_bytes, error);
	is_parsed = object && fields_parse_(request, kind, object, error);
	if (!is_parsed)
		cb_completion_request_clear(request);
	g_object_unref(parser);
	return is_parsed;
}

/* Frees the request's strings. */
void cb_completion_request_clear(cb_completion_request_t *request)
{
	g_clear_pointer(&request->model, g_free);
	g_clear_pointer(&request->prompt, g_free);
}
