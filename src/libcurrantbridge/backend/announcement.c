#include "private/announcement.h"

#include <string.h>

#include "currantbridge/settings.h"
#include "currantbridge/json_fields.h"

#define MAX_CAPACITY 1000000
#define MAX_LAYERS 100000
#define MAX_MODELS 256
#define MAX_SERVICES 256

static void range_delete_(void *data)
{
	cb_layer_range_t *range = data;

	g_free(range->model);
	g_free(range);
}

/* Reads a required string field with one of the given values as its index. */
static gboolean enum_parse_(JsonObject *object, const char *field,
			    const char *const *values, int value_count,
			    int *index, GError **error)
{
	const char *text = NULL;
	int i;

	if (!cb_field_string(object, field, &text, error))
		return FALSE;
	if (!text)
		return cb_field_set_error(error, field, "is required");
	for (i = 0; i < value_count; i++) {
		if (strcmp(values[i], text))
			continue;
		*index = i;
		return TRUE;
	}
	return cb_field_set_error(error, field, "unknown word");
}

static gboolean required_string_parse_(JsonObject *object, const char *field,
				       char **value, GError **error)
{
	const char *text = NULL;

	if (!cb_field_string(object, field, &text, error))
		return FALSE;
	if (!text)
		return cb_field_set_error(error, field, "is required");
	*value = g_strdup(text);
	return TRUE;
}

/* Reads one element of the array "models". */
static gboolean range_parse_(JsonNode *node, GPtrArray *ranges, GError **error)
{
	cb_layer_range_t *range;
	JsonObject *object;
	int64_t first = -1;
	int64_t last = -1;
	int64_t count = -1;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return cb_field_set_error(error, "models",
					  "each must be an object");
	object = json_node_get_object(node);
	if (!cb_field_integer(object, "first_layer", 0, MAX_LAYERS, &first,
			      error) ||
	    !cb_field_integer(object, "last_layer", 0, MAX_LAYERS, &last,
			      error) ||
	    !cb_field_integer(object, "layers", 1, MAX_LAYERS, &count, error))
		return FALSE;
	if (first < 0 || first > last || last >= count)
		return cb_field_set_error(
			error, "models",
			"each needs first_layer <= last_layer "
			"< layers");
	range = g_new0(cb_layer_range_t, 1);
	range->first_layer = (uint32_t)first;
	range->last_layer = (uint32_t)last;
	range->layer_count = (uint32_t)count;
	g_ptr_array_add(ranges, range);
	return required_string_parse_(object, "name", &range->model, error);
}

static gboolean ranges_parse_(JsonObject *object,
			      cb_announcement_t *announcement, GError **error)
{
	JsonArray *models = NULL;
	unsigned int i;

	if (!cb_field_array(object, "models", &models, error))
		return FALSE;
	if (!models || json_array_get_length(models) == 0)
		return cb_field_set_error(error, "models", "is required");
	if (json_array_get_length(models) > MAX_MODELS)
		return cb_field_set_error(error, "models", "too many elements");
	for (i = 0; i < json_array_get_length(models); i++) {
		if (!range_parse_(json_array_get_element(models, i),
				  announcement->ranges, error))
			return FALSE;
	}
	return TRUE;
}

static gboolean services_parse_(JsonObject *object,
				cb_announcement_t *announcement, GError **error)
{
	JsonArray *services = NULL;
	unsigned int i;

	if (!cb_field_array(object, "services", &services, error))
		return FALSE;
	if (!services || json_array_get_length(services) == 0)
		return cb_field_set_error(error, "services", "is required");
	if (json_array_get_length(services) > MAX_SERVICES)
		return cb_field_set_error(error, "services",
					  "too many elements");
	for (i = 0; i < json_array_get_length(services); i++) {
		JsonNode *node = json_array_get_element(services, i);

		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    json_node_get_value_type(node) != G_TYPE_STRING)
			return cb_field_set_error(error, "services",
						  "each is a string");
		g_ptr_array_add(announcement->services,
				g_strdup(json_node_get_string(node)));
	}
	return TRUE;
}

static gboolean load_parse_(JsonObject *object, cb_announcement_t *announcement,
			    GError **error)
{
	JsonNode *node = json_object_get_member(object, "load");
	JsonObject *load;

	if (!node)
		return TRUE;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return cb_field_set_error(error, "load", "must be an object");
	load = json_node_get_object(node);
	return cb_field_integer(load, "running", 0, INT32_MAX,
				&announcement->running, error) &&
	       cb_field_integer(load, "queued", 0, INT32_MAX,
				&announcement->queued, error);
}

static gboolean address_parse_(JsonObject *object,
			       cb_announcement_t *announcement, GError **error)
{
	if (!required_string_parse_(object, "address", &announcement->address,
				    error))
		return FALSE;
	if (!cb_address_is_valid(announcement->address))
		return cb_field_set_error(error, "address", "must be IP:PORT");
	return TRUE;
}

static gboolean fields_parse_(JsonObject *object,
			      cb_announcement_t *announcement, GError **error)
{
	static const char *const state_string[] = { "ready", "leaving" };
	int64_t incarnation = -1;
	int kind = 0;
	int state = 0;

	if (!required_string_parse_(object, "name", &announcement->name,
				    error) ||
	    !address_parse_(object, announcement, error) ||
	    !required_string_parse_(object, "data_centre",
				    &announcement->data_centre, error) ||
	    !enum_parse_(object, "kind", cb_server_kind_string,
			 CB_SERVER_KIND_COUNT, &kind, error) ||
	    !enum_parse_(object, "state", state_string, 2, &state, error) ||
	    !cb_field_integer(object, "incarnation", 0, INT64_MAX, &incarnation,
			      error) ||
	    !cb_field_boolean(object, "checks_fencing",
			      &announcement->checks_fencing, error) ||
	    !cb_field_integer(object, "capacity", 1, MAX_CAPACITY,
			      &announcement->capacity, error) ||
	    !load_parse_(object, announcement, error))
		return FALSE;
	if (incarnation < 0)
		return cb_field_set_error(error, "incarnation", "is required");
	announcement->kind = (cb_server_kind_t)kind;
	announcement->is_leaving = state == 1;
	announcement->incarnation = (uint64_t)incarnation;
	return kind == CB_SERVER_ENGINE ?
		       ranges_parse_(object, announcement, error) :
		       services_parse_(object, announcement, error);
}

/*
 * Reads an announcement's JSON text.  Unknown fields are ignored, so that
 * newer backend servers can announce themselves.  Returns NULL and sets the
 * error to `FIELD: REASON` if the text is invalid.
 */
cb_announcement_t *cb_announcement_parse(const char *text, GError **error)
{
	cb_announcement_t *announcement = g_new0(cb_announcement_t, 1);
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object;

	announcement->capacity = 1;
	announcement->ranges = g_ptr_array_new_with_free_func(range_delete_);
	announcement->services = g_ptr_array_new_with_free_func(g_free);
	object = cb_json_parse_object(parser, text, -1, error);
	if (!object || !fields_parse_(object, announcement, error))
		g_clear_pointer(&announcement, cb_announcement_delete);
	g_object_unref(parser);
	return announcement;
}

/* Deletes an announcement; NULL is allowed. */
void cb_announcement_delete(cb_announcement_t *announcement)
{
	if (!announcement)
		return;
	g_free(announcement->name);
	g_free(announcement->address);
	g_free(announcement->data_centre);
	g_ptr_array_unref(announcement->ranges);
	g_ptr_array_unref(announcement->services);
	g_free(announcement);
}
