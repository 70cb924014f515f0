#include "currantbridge/json_fields.h"

#include <string.h>

#define MAX_NESTING_DEPTH 64

G_DEFINE_QUARK(cb - field - error, cb_field_error)

/*
 * Whether arrays and objects are nested no deeper than MAX_NESTING_DEPTH:
 * json-glib recurses for each level, so a deeper text could exhaust the stack.
 */
gboolean cb_json_depth_is_bounded(const char *text, size_t size_bytes)
{
	gboolean in_string = FALSE;
	int depth = 0;
	size_t i;

	for (i = 0; i < size_bytes && depth <= MAX_NESTING_DEPTH; i++) {
		if (in_string && text[i] == '\\')
			i++;
		else if (text[i] == '"')
			in_string = !in_string;
		else if (!in_string && (text[i] == '[' || text[i] == '{'))
			depth++;
		else if (!in_string && (text[i] == ']' || text[i] == '}'))
			depth--;
	}
	return depth <= MAX_NESTING_DEPTH;
}

/*
 * Parses `text` of `size_bytes` (-1: NUL-terminated) as one JSON object, which
 * the parser owns.  Returns NULL and sets the error if it is anything else.
 */
JsonObject *cb_json_parse_object(JsonParser *parser, const char *text,
				 int64_t size_bytes, GError **error)
{
	JsonNode *root;

	if (size_bytes < 0)
		size_bytes = (int64_t)strlen(text);
	if (!cb_json_depth_is_bounded(text, (size_t)size_bytes)) {
		g_set_error(error, CB_FIELD_ERROR, 0,
			    "the body is nested too deep");
		return NULL;
	}
	if ((size_bytes &&
	     !cb_json_check_strict(text, (size_t)size_bytes, NULL)) ||
	    !json_parser_load_from_data(parser, text, size_bytes, NULL)) {
		g_set_error(error, CB_FIELD_ERROR, 0,
			    "the body is not valid JSON");
		return NULL;
	}
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(error, CB_FIELD_ERROR, 0,
			    "the body must be one JSON object");
		return NULL;
	}
	return json_node_get_object(root);
}

/* Sets the error `FIELD: REASON`; returns FALSE, for the caller to return. */
gboolean cb_field_set_error(GError **error, const char *field,
			    const char *reason)
{
	g_set_error(error, CB_FIELD_ERROR, 0, "%s: %s", field, reason);
	return FALSE;
}

static gboolean node_holds_value_type_(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

/*
 * Reads an optional string that is not empty.  An absent field leaves `*value`
 * unchanged: to detect it, set `*value` to NULL first.
 */
gboolean cb_field_string(JsonObject *object, const char *field,
			 const char **value, GError **error)
{
	JsonNode *node = json_object_get_member(object, field);

	if (!node)
		return TRUE;
	if (!node_holds_value_type_(node, G_TYPE_STRING))
		return cb_field_set_error(error, field, "must be a string");
	if (!*json_node_get_string(node))
		return cb_field_set_error(error, field, "must not be empty");
	*value = json_node_get_string(node);
	return TRUE;
}

/* Reads an optional integer from `min` to `max`; keeps `*value` if absent. */
gboolean cb_field_integer(JsonObject *object, const char *field, int64_t min,
			  int64_t max, int64_t *value, GError **error)
{
	JsonNode *node = json_object_get_member(object, field);
	int64_t number;

	if (!node)
		return TRUE;
	if (!node_holds_value_type_(node, G_TYPE_INT64))
		return cb_field_set_error(error, field,
					  "must be a whole number");
	number = json_node_get_int(node);
	if (number < min || number > max) {
		g_set_error(error, CB_FIELD_ERROR, 0,
			    "%s: must be from %" G_GINT64_FORMAT
			    " to %" G_GINT64_FORMAT,
			    field, min, max);
		return FALSE;
	}
	*value = number;
	return TRUE;
}

/* Reads an optional boolean field; keeps `*value` if the field is absent. */
gboolean cb_field_boolean(JsonObject *object, const char *field,
			  gboolean *value, GError **error)
{
	JsonNode *node = json_object_get_member(object, field);

	if (!node)
		return TRUE;
	if (!node_holds_value_type_(node, G_TYPE_BOOLEAN))
		return cb_field_set_error(error, field,
					  "must be true or false");
	*value = json_node_get_boolean(node);
	return TRUE;
}

/* Reads an optional array field; keeps `*value` if the field is absent. */
gboolean cb_field_array(JsonObject *object, const char *field,
			JsonArray **value, GError **error)
{
	JsonNode *node = json_object_get_member(object, field);

	if (!node)
		return TRUE;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return cb_field_set_error(error, field, "must be an array");
	*value = json_node_get_array(node);
	return TRUE;
}

/* Appends `value` (UTF-8) as a JSON string with its quotes. */
void cb_json_append_string(GString *text, const char *value)
{
	const char *unescaped_start = value;
	const char *c;

	g_string_append_c(text, '"');
	for (c = value; *c; c++) {
		if ((unsigned char)*c >= ' ' && *c != '"' && *c != '\\')
			continue;
		g_string_append_len(text, unescaped_start, c - unescaped_start);
		if (*c == '"' || *c == '\\')
			g_string_append_printf(text, "\\%c", *c);
		else
			g_string_append_printf(text, "\\u%04x", *c);
		unescaped_start = c + 1;
	}
	g_string_append_len(text, unescaped_start, c - unescaped_start);
	g_string_append_c(text, '"');
}
