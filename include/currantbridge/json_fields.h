#ifndef CURRANTBRIDGE_JSON_FIELDS_H
#define CURRANTBRIDGE_JSON_FIELDS_H

#include <json-glib/json-glib.h>
#include <stdint.h>

#include "currantbridge/text_part.h"

/* Checked access to the fields of a JSON object received from outside. */
#define CB_FIELD_ERROR cb_field_error_quark()
GQuark cb_field_error_quark(void);

/* Returns FALSE if parsing `size_bytes` of text could exhaust the stack. */
gboolean cb_json_depth_is_bounded(const char *text, size_t size_bytes);
gboolean cb_json_check_strict(const char *text, size_t size_bytes,
			      GError **error);
JsonObject *cb_json_parse_object(JsonParser *parser, const char *text,
				 int64_t size_bytes, GError **error);
gboolean cb_field_set_error(GError **error, const char *field,
			    const char *reason);
gboolean cb_field_string(JsonObject *object, const char *field,
			 const char **value, GError **error);
gboolean cb_field_integer(JsonObject *object, const char *field, int64_t min,
			  int64_t max, int64_t *value, GError **error);
gboolean cb_field_boolean(JsonObject *object, const char *field,
			  gboolean *value, GError **error);
gboolean cb_field_array(JsonObject *object, const char *field,
			JsonArray **value, GError **error);
void cb_json_append_string(GString *text, const char *value);

/* The elements of an array that is a member of a JSON object's text. */
typedef struct cb_json_elements {
	/* Range of the text between the array's brackets. */
	size_t from;
	size_t to;
	/* The text of each element: cb_text_part_t. */
	GArray *parts;
} cb_json_elements_t;

/*
 * Finds the elements of the array `member` of the object in `text` without
 * parsing them, and appends them to `elements->parts`.  Returns FALSE if the
 * member is missing, no array or ambiguous, or if the text is not valid JSON
 * around the elements; the elements themselves are not checked.
 */
gboolean cb_json_find_elements(const char *text, size_t size_bytes,
			       const char *member,
			       cb_json_elements_t *elements);

#endif
