#include "currantbridge/settings.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <string.h>

G_DEFINE_QUARK(cb - settings - error - quark, cb_settings_error)

/* Sets the error `settings: FIELD: REASON` and returns FALSE. */
static gboolean field_error_set_(GError **error, const char *field,
				 const char *reason)
{
	g_set_error(error, CB_SETTINGS_ERROR, CB_SETTINGS_ERROR_FIELD,
		    "settings: %s: %s", field, reason);
	return FALSE;
}

static const cb_setting_t *setting_find_(const cb_setting_t *table,
					 size_t table_count, const char *name)
{
	size_t i;

	for (i = 0; i < table_count; i++)
		if (!strcmp(table[i].name, name))
			return &table[i];
	return NULL;
}

/*
 * Returns whether `address` is an IP address, a colon and a port from 1 to
 * 65535.  An IPv6 address must be in brackets.
 */
gboolean cb_address_is_valid(const char *address)
{
	const char *colon = strrchr(address, ':');
	char *host;
	gboolean is_valid;
	guint64 port;

	if (!colon || colon == address)
		return FALSE;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return FALSE;
	host = g_strndup(address, colon - address);
	if (host[0] == '[' && host[strlen(host) - 1] == ']') {
		host[strlen(host) - 1] = '\0';
		is_valid = g_hostname_is_ip_address(host + 1);
	} else {
		is_valid = g_hostname_is_ip_address(host) && !strchr(host, ':');
	}
	g_free(host);
	return is_valid;
}

static gboolean node_is_string_(JsonNode *node)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_STRING;
}

static gboolean string_read_(const cb_setting_t *setting, JsonNode *node,
			     char **out, GError **error)
{
	const char *text;

	if (!node_is_string_(node))
		return field_error_set_(error, setting->name,
					"must be a string");
	text = json_node_get_string(node);
	if (!*text)
		return field_error_set_(error, setting->name,
					"must not be empty");
	if (setting->type == CB_SETTING_ADDRESS && !cb_address_is_valid(text))
		return field_error_set_(error, setting->name,
					"must be IP:PORT");
	if (setting->choices && !g_strv_contains(setting->choices, text)) {
		char *choices_text =
			g_strjoinv(", ", (char **)setting->choices);
		char *reason =
			g_strdup_printf("must be one of %s", choices_text);

		field_error_set_(error, setting->name, reason);
		g_free(reason);
		g_free(choices_text);
		return FALSE;
	}
	*out = g_strdup(text);
	return TRUE;
}

static gboolean strings_read_(const cb_setting_t *setting, JsonNode *node,
			      char ***out, GError **error)
{
	GPtrArray *strings;
	JsonArray *array;
	unsigned int i;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return field_error_set_(error, setting->name,
					"must be an array of strings");
	array = json_node_get_array(node);
	strings = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		if (!node_is_string_(item) || !*json_node_get_string(item)) {
			field_error_set_(
				error, setting->name,
				"must be an array of non-empty strings");
			goto fail;
		}
		if (setting->type == CB_SETTING_ADDRESSES &&
		    !cb_address_is_valid(json_node_get_string(item))) {
			field_error_set_(error, setting->name,
					 "each must be IP:PORT");
			goto fail;
		}
		g_ptr_array_add(strings, g_strdup(json_node_get_string(item)));
	}
	if (setting->is_required && !strings->len) {
		field_error_set_(error, setting->name, "must not be empty");
		goto fail;
	}
	g_ptr_array_add(strings, NULL);
	*out = (char **)g_ptr_array_free(strings, FALSE);
	return TRUE;

fail:
	g_ptr_array_unref(strings);
	return FALSE;
}

/* Sets the error that a value is out of the setting's range. */
static gboolean range_error_set_(const cb_setting_t *setting, GError **error)
{
	char *reason = g_strdup_printf("must be from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       setting->min, setting->max);
	field_error_set_(error, setting->name, reason);
	g_free(reason);
	return FALSE;
}

static gboolean integer_read_(const cb_setting_t *setting, JsonNode *node,
			      int64_t *out, GError **error)
{
	int64_t value;

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return field_error_set_(error, setting->name,
					"must be a whole number");
	value = json_node_get_int(node);
	if (value < setting->min || value > setting->max)
		return range_error_set_(setting, error);
	*out = value;
	return TRUE;
}

static gboolean number_read_(const cb_setting_t *setting, JsonNode *node,
			     double *out, GError **error)
{
	double value;

	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    (json_node_get_value_type(node) != G_TYPE_INT64 &&
	     json_node_get_value_type(node) != G_TYPE_DOUBLE))
		return field_error_set_(error, setting->name,
					"must be a number");
	value = json_node_get_double(node);
	if (!(value >= (double)setting->min && value <= (double)setting->max))
		return range_error_set_(setting, error);
	*out = value;
	return TRUE;
}

static gboolean boolean_read_(const cb_setting_t *setting, JsonNode *node,
			      gboolean *out, GError **error)
{
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return field_error_set_(error, setting->name,
					"must be true or false");
	*out = json_node_get_boolean(node);
	return TRUE;
}

/* Reads a field from `node` into its member of the structure. */
static gboolean setting_read_(const cb_setting_t *setting, JsonNode *node,
			      void *settings, GError **error)
{
	void *member = (char *)settings + setting->offset;

	switch (setting->type) {
	case CB_SETTING_STRING:
	case CB_SETTING_ADDRESS:
		return string_read_(setting, node, member, error);
	case CB_SETTING_STRINGS:
	case CB_SETTING_ADDRESSES:
		return strings_read_(setting, node, member, error);
	case CB_SETTING_INTEGER:
		return integer_read_(setting, node, member, error);
	case CB_SETTING_NUMBER:
		return number_read_(setting, node, member, error);
	case CB_SETTING_BOOLEAN:
		return boolean_read_(setting, node, member, error);
	case CB_SETTING_TYPE_COUNT:
		break;
	}
	g_assert_not_reached();
}

/* Sets the default of an absent field; fails if the field is required. */
static gboolean setting_default_set_(const cb_setting_t *setting,
				     void *settings, GError **error)
{
	void *member = (char *)settings + setting->offset;

	if (setting->is_required)
		return field_error_set_(error, setting->name, "is required");
	if (!setting->default_text)
		return TRUE;
	switch (setting->type) {
	case CB_SETTING_STRING:
	case CB_SETTING_ADDRESS:
		*(char **)member = g_strdup(setting->default_text);
		return TRUE;
	case CB_SETTING_STRINGS:
	case CB_SETTING_ADDRESSES:
		*(char ***)member = g_strsplit(setting->default_text, " ", -1);
		return TRUE;
	case CB_SETTING_INTEGER:
		*(int64_t *)member =
			g_ascii_strtoll(setting->default_text, NULL, 10);
		return TRUE;
	case CB_SETTING_NUMBER:
		*(double *)member = g_ascii_strtod(setting->default_text, NULL);
		return TRUE;
	case CB_SETTING_BOOLEAN:
		*(gboolean *)member = !strcmp(setting->default_text, "true");
		return TRUE;
	case CB_SETTING_TYPE_COUNT:
		break;
	}
	g_assert_not_reached();
}

/* Reads the fields of an object and fails on one that the table lacks. */
static gboolean object_fields_read_(JsonObject *object,
				    const cb_setting_t *table,
				    size_t table_count, void *settings,
				    GError **error)
{
	const cb_setting_t *setting;
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;
	size_t i;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &name, &node)) {
		setting = setting_find_(table, table_count, name);
		if (!setting)
			return field_error_set_(error, name, "unknown field");
		if (!setting_read_(setting, node, settings, error))
			return FALSE;
	}
	for (i = 0; i < table_count; i++) {
		if (json_object_has_member(object, table[i].name))
			continue;
		if (!setting_default_set_(&table[i], settings, error))
			return FALSE;
	}
	return TRUE;
}

/* Like cb_settings_parse(), but reads an object that is already parsed. */
gboolean cb_settings_read_object(JsonObject *object, const cb_setting_t *table,
				 size_t table_count, void *settings,
				 GError **error)
{
	if (object_fields_read_(object, table, table_count, settings, error))
		return TRUE;
	cb_settings_clear(table, table_count, settings);
	return FALSE;
}

/*
 * Reads settings from JSON text into `settings`, which must be zeroed.  On
 * failure sets `error`, which names the field and the reason, calls
 * cb_settings_clear() and returns FALSE.
 */
gboolean cb_settings_parse(const char *text, const cb_setting_t *table,
			   size_t table_count, void *settings, GError **error)
{
	JsonParser *parser = json_parser_new_immutable();
	GError *syntax_error = NULL;
	JsonNode *root;
	gboolean is_read = FALSE;

	if (!json_parser_load_from_data(parser, text, -1, &syntax_error)) {
		g_set_error(error, CB_SETTINGS_ERROR, CB_SETTINGS_ERROR_SYNTAX,
			    "settings: not valid JSON: %s",
			    syntax_error->message);
		g_error_free(syntax_error);
		goto out;
	}
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(error, CB_SETTINGS_ERROR, CB_SETTINGS_ERROR_SYNTAX,
			    "settings: must be one JSON object");
		goto out;
	}
	is_read = cb_settings_read_object(json_node_get_object(root), table,
					  table_count, settings, error);
out:
	g_object_unref(parser);
	return is_read;
}

/* Like cb_settings_parse(), but reads the text from the file at `path`. */
gboolean cb_settings_load(const char *path, const cb_setting_t *table,
			  size_t table_count, void *settings, GError **error)
{
	GError *read_error = NULL;
	gboolean is_read;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &read_error)) {
		g_set_error(error, CB_SETTINGS_ERROR,
			    CB_SETTINGS_ERROR_UNREADABLE, "settings: %s",
			    read_error->message);
		g_error_free(read_error);
		return FALSE;
	}
	is_read = cb_settings_parse(text, table, table_count, settings, error);
	g_free(text);
	return is_read;
}

/* Frees the strings and arrays of the structure and sets them to NULL. */
void cb_settings_clear(const cb_setting_t *table, size_t table_count,
		       void *settings)
{
	size_t i;

	for (i = 0; i < table_count; i++) {
		void *member = (char *)settings + table[i].offset;

		switch (table[i].type) {
		case CB_SETTING_STRING:
		case CB_SETTING_ADDRESS:
			g_clear_pointer((char **)member, g_free);
			break;
		case CB_SETTING_STRINGS:
		case CB_SETTING_ADDRESSES:
			g_clear_pointer((char ***)member, g_strfreev);
			break;
		default:
			break;
		}
	}
}
