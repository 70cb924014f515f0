#include <string.h>

#include "currantbridge/json_fields.h"

/* A position in a JSON text. */
typedef struct cursor {
	const char *text;
	size_t size;
	size_t at;
} cursor_t;

static void whitespace_skip_(cursor_t *cursor)
{
	while (cursor->at < cursor->size &&
	       strchr(" \t\r\n", cursor->text[cursor->at]) &&
	       cursor->text[cursor->at])
		cursor->at++;
}

/* Skips white space and the character `c`; FALSE if another one follows. */
static gboolean char_skip_(cursor_t *cursor, char c)
{
	whitespace_skip_(cursor);
	if (cursor->at >= cursor->size || cursor->text[cursor->at] != c)
		return FALSE;
	cursor->at++;
	return TRUE;
}

/* Skips a string, whose opening quote is next; FALSE if it does not end. */
static gboolean string_skip_(cursor_t *cursor)
{
	if (!char_skip_(cursor, '"'))
		return FALSE;
	while (cursor->at < cursor->size && cursor->text[cursor->at] != '"')
		cursor->at += cursor->text[cursor->at] == '\\' ? 2 : 1;
	cursor->at++;
	return cursor->at <= cursor->size;
}

/*
 * Skips a value and finds its text.  Brackets are counted, not matched, and
 * other values end before the next separator: the caller parses the value.
 */
static gboolean value_skip_(cursor_t *cursor, cb_text_part_t *part)
{
	unsigned int depth = 0;
	size_t start;

	whitespace_skip_(cursor);
	start = cursor->at;
	while (cursor->at < cursor->size) {
		char c = cursor->text[cursor->at];

		if (c == '"') {
			if (!string_skip_(cursor))
				return FALSE;
			continue;
		}
		if (!depth && (c == ',' || c == ']' || c == '}'))
			break;
		depth += c == '[' || c == '{';
		depth -= c == ']' || c == '}';
		cursor->at++;
	}
	*part = (cb_text_part_t){ cursor->text + start, cursor->at - start };
	return !depth && part->size > 0;
}

/* Finds the elements of an array, whose opening bracket is next. */
static gboolean elements_skip_(cursor_t *cursor, cb_json_elements_t *elements)
{
	if (!char_skip_(cursor, '['))
		return FALSE;
	elements->from = cursor->at;
	if (char_skip_(cursor, ']')) {
		elements->to = cursor->at - 1;
		return TRUE;
	}
	do {
		cb_text_part_t part;

		if (!value_skip_(cursor, &part))
			return FALSE;
		g_array_append_val(elements->parts, part);
	} while (char_skip_(cursor, ','));
	elements->to = cursor->at;
	return char_skip_(cursor, ']');
}

gboolean cb_json_find_elements(const char *text, size_t size_bytes,
			       const char *member, cb_json_elements_t *elements)
{
	cursor_t cursor = { text, size_bytes, 0 };
	gboolean is_found = FALSE;

	if (!char_skip_(&cursor, '{'))
		return FALSE;
	do {
		cb_text_part_t part;
		size_t name_at;
		size_t name_size;
		gboolean is_member;

		whitespace_skip_(&cursor);
		name_at = cursor.at + 1;
		if (!string_skip_(&cursor))
			return FALSE;
		name_size = cursor.at - 1 - name_at;
		/* An escaped name may be the same member once more. */
		if (memchr(text + name_at, '\\', name_size))
			return FALSE;
		is_member = name_size == strlen(member) &&
			    !memcmp(text + name_at, member, name_size);
		if (!char_skip_(&cursor, ':') || (is_member && is_found) ||
		    !(is_member ? elements_skip_(&cursor, elements) :
				  value_skip_(&cursor, &part)))
			return FALSE;
		is_found |= is_member;
	} while (char_skip_(&cursor, ','));
	return is_found && char_skip_(&cursor, '}');
}
