#include <string.h>
#include <yajl/yajl_parse.h>

#include "currantbridge/json_fields.h"

#define SYNTAX_REASON "is not valid JSON"

/* The state of one check. */
typedef struct strict_check {
	/* The member names of each open object (GHashTable, a set). */
	GPtrArray *open_objects;
	const char *reason; /* why the text is refused; NULL: by its syntax */
} strict_check_t;

/* Refuses the text: two readers could take different values from it. */
static int refuse_(strict_check_t *check, const char *reason)
{
	check->reason = reason;
	return FALSE;
}

static int object_begin_(void *user_data)
{
	strict_check_t *check = user_data;

	g_ptr_array_add(check->open_objects,
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL));
	return TRUE;
}

static int object_end_(void *user_data)
{
	strict_check_t *check = user_data;

	g_ptr_array_set_size(check->open_objects,
			     (int)check->open_objects->len - 1);
	return TRUE;
}

static int string_check_(void *user_data, const unsigned char *text,
			 size_t size)
{
	if (memchr(text, '\0', size))
		return refuse_(user_data, "has a NUL character in a string");
	return TRUE;
}

/* Checks a member's name, in which escapes are resolved. */
static int name_check_(void *user_data, const unsigned char *name, size_t size)
{
	strict_check_t *check = user_data;
	GHashTable *names =
		check->open_objects->pdata[check->open_objects->len - 1];

	if (!string_check_(check, name, size))
		return FALSE;
	if (!g_hash_table_add(names, g_strndup((const char *)name, size)))
		return refuse_(check, "has a member twice in one object");
	return TRUE;
}

static const yajl_callbacks callbacks = {
	.yajl_string = string_check_,
	.yajl_start_map = object_begin_,
	.yajl_map_key = name_check_,
	.yajl_end_map = object_end_,
};

/* Sets the error that names the byte at `offset`, by line and place from 1 on. */
static void text_error_set_(const char *text, size_t offset, const char *reason,
			    GError **error)
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
	g_set_error(error, CB_FIELD_ERROR, 0, "%s at line %u, position %zu",
		    reason, line, offset - line_start + 1);
}

/*
 * Checks that a text is one JSON value by the standard (RFC 8259), nothing else,
 * and that any reader takes the same from it: json-glib also reads texts with
 * missing commas, comments, numbers such as 01 and 1., or more behind the value;
 * of two members of one name it drops the first, and strings end at a NUL.  FALSE
 * with an error that names the place, but quotes nothing of the text.
 */
gboolean cb_json_check_strict(const char *text, size_t size_bytes,
			      GError **error)
{
	strict_check_t check = { 0 };
	yajl_handle parser;
	gboolean is_valid;
	size_t consumed;

	if (!text || !size_bytes)
		return cb_field_set_error(error, "body", "is empty");
	if (!cb_json_depth_is_bounded(text, size_bytes))
		return cb_field_set_error(error, "body", "is nested too deep");
	check.open_objects = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_hash_table_unref);
	parser = yajl_alloc(&callbacks, NULL, &check);
	is_valid = yajl_parse(parser, (const unsigned char *)text,
			      size_bytes) == yajl_status_ok &&
		   yajl_complete_parse(parser) == yajl_status_ok;
	consumed = yajl_get_bytes_consumed(parser);
	if (!is_valid)
		text_error_set_(text, CLAMP(consumed, 1, size_bytes) - 1,
				check.reason ? check.reason : SYNTAX_REASON,
				error);
	yajl_free(parser);
	g_ptr_array_unref(check.open_objects);
	return is_valid;
}
