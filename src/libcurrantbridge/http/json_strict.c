#include <yajl/yajl_parse.h>

#include "currantbridge/json_fields.h"

/* Sets the error that names the byte at `offset`, by line and place from 1 on. */
static void syntax_error_set_(const char *text, size_t offset, GError **error)
{
	unsigned int line = 1;
	size_t line_start = 0;
	size_t i;

	for (i = 0; i < offset; i++) {
		if (text[i] != '\n')
			continue;
		line++;
		line_start = i + 1;
	}
	g_set_error(error, CB_FIELD_ERROR, 0,
		    "is not valid JSON at line %u, position %zu", line,
		    offset - line_start + 1);
}

/*
 * Checks that a text is one JSON value by the standard (RFC 8259) and nothing
 * else: json-glib also takes texts with missing commas, comments, numbers such
 * as 01 and 1., or more behind the value.  FALSE with an error that names the
 * place, but quotes nothing of the text.
 */
gboolean cb_json_check_strict(const char *text, size_t size_bytes,
			      GError **error)
{
	yajl_handle parser;
	gboolean is_valid;
	size_t consumed;

	if (!text || !size_bytes)
		return cb_field_set_error(error, "body", "is empty");
	if (!cb_json_depth_is_bounded(text, size_bytes))
		return cb_field_set_error(error, "body", "is nested too deep");
	parser = yajl_alloc(NULL, NULL, NULL);
	is_valid = yajl_parse(parser, (const unsigned char *)text,
			      size_bytes) == yajl_status_ok &&
		   yajl_complete_parse(parser) == yajl_status_ok;
	consumed = yajl_get_bytes_consumed(parser);
	if (!is_valid)
		syntax_error_set_(text, CLAMP(consumed, 1, size_bytes) - 1,
				  error);
	yajl_free(parser);
	return is_valid;
}
