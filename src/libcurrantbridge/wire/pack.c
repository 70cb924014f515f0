#include "private/pack.h"

#include <string.h>

/* Deeper nesting is refused; no message of ours comes near it. */
#define MAX_DEPTH 16

/* Begins an empty message. */
void cb_pack_init(cb_pack_t *pack)
{
	msgpack_sbuffer_init(&pack->buffer);
	msgpack_packer_init(&pack->packer, &pack->buffer,
			    msgpack_sbuffer_write);
}

/* Begins an array of `count` values, which follow. */
void cb_pack_array(cb_pack_t *pack, size_t count)
{
	msgpack_pack_array(&pack->packer, count);
}

/* Adds a whole number of 0 or more. */
void cb_pack_uint(cb_pack_t *pack, uint64_t value)
{
	msgpack_pack_uint64(&pack->packer, value);
}

/* Adds a whole number. */
void cb_pack_int(cb_pack_t *pack, int64_t value)
{
	msgpack_pack_int64(&pack->packer, value);
}

/* Adds a truth value. */
void cb_pack_bool(cb_pack_t *pack, gboolean value)
{
	if (value)
		msgpack_pack_true(&pack->packer);
	else
		msgpack_pack_false(&pack->packer);
}

/* Adds a text; NULL becomes nil. */
void cb_pack_string(cb_pack_t *pack, const char *text)
{
	if (text)
		msgpack_pack_str_with_body(&pack->packer, text, strlen(text));
	else
		msgpack_pack_nil(&pack->packer);
}

/* Adds bytes; NULL becomes nil. */
void cb_pack_bytes(cb_pack_t *pack, GBytes *bytes)
{
	gconstpointer data;
	gsize size;

	if (!bytes) {
		msgpack_pack_nil(&pack->packer);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	msgpack_pack_bin_with_body(&pack->packer, data, size);
}

/* Returns the message and ends the pack. */
GBytes *cb_pack_finish(cb_pack_t *pack)
{
	GBytes *bytes = g_bytes_new(pack->buffer.data, pack->buffer.size);

	msgpack_sbuffer_destroy(&pack->buffer);
	return bytes;
}

/* Reads a big-endian number of `size` bytes. */
static uint64_t length_read_(const uint8_t *at, size_t size)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < size; i++)
		value = value << 8 | at[i];
	return value;
}

/* What follows the first byte of a msgpack value. */
typedef struct shape {
	uint64_t payload; /* bytes */
	uint64_t children;
} shape_t;

/*
 * Finds the shape of the value that begins at `at`.  Returns the size of its
 * head, or 0 if it is cut off or not a msgpack value.
 */
static size_t shape_read_(const uint8_t *at, size_t left, shape_t *shape)
{
	static const uint8_t fixed[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
	const uint8_t type = at[0];
	size_t size = 0;

	*shape = (shape_t){ 0, 0 };
	if (type <= 0x7f || type >= 0xe0 || type == 0xc0 || type == 0xc2 ||
	    type == 0xc3)
		return 1;
	if (type <= 0x8f) {
		shape->children = 2 * (uint64_t)(type & 0x0f);
		return 1;
	}
	if (type <= 0x9f) {
		shape->children = type & 0x0f;
		return 1;
	}
	if (type <= 0xbf) {
		shape->payload = type & 0x1f;
		return 1;
	}
	if (type >= 0xca && type <= 0xd3) {
		shape->payload = fixed[type - 0xca];
		return 1;
	}
	if (type >= 0xc4 && type <= 0xc6)
		size = (size_t)1 << (type - 0xc4);
	else if (type >= 0xd9 && type <= 0xdb)
		size = (size_t)1 << (type - 0xd9);
	else if (type >= 0xdc && type <= 0xdf)
		size = (size_t)2 << (type & 1);
	if (!size || left < 1 + size)
		return 0;
	if (type < 0xdc)
		shape->payload = length_read_(at + 1, size);
	else if (type < 0xde)
		shape->children = length_read_(at + 1, size);
	else
		shape->children = 2 * length_read_(at + 1, size);
	return 1 + size;
}

/*
 * Tells whether the bytes are exactly one msgpack value, none of whose
 * lengths reaches past the end.  The library allocates by the lengths it
 * reads, so this comes first.
 */
static gboolean is_sound_(const uint8_t *data, size_t size)
{
	uint64_t waiting[MAX_DEPTH + 1] = { 1 };
	unsigned int depth = 0;
	size_t at = 0;

	for (;;) {
		shape_t shape;
		size_t head;

		while (waiting[depth] == 0) {
			if (depth == 0)
				return at == size;
			depth--;
		}
		if (at >= size)
			return FALSE;
		head = shape_read_(data + at, size - at, &shape);
		if (!head || shape.payload > size - at - head)
			return FALSE;
		at += head + shape.payload;
		waiting[depth]--;
		if (!shape.children)
			continue;
		if (depth == MAX_DEPTH)
			return FALSE;
		waiting[++depth] = shape.children;
	}
}

/* Decodes a message; returns FALSE, with nothing to clear, if malformed. */
gboolean cb_unpack_init(cb_unpack_t *unpack, GBytes *bytes)
{
	size_t offset = 0;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	if (!size || !is_sound_(data, size))
		return FALSE;
	msgpack_unpacked_init(&unpack->unpacked);
	if (msgpack_unpack_next(&unpack->unpacked, (const char *)data, size,
				&offset) == MSGPACK_UNPACK_SUCCESS)
		return TRUE;
	msgpack_unpacked_destroy(&unpack->unpacked);
	return FALSE;
}

/* Frees a message that was decoded. */
void cb_unpack_clear(cb_unpack_t *unpack)
{
	msgpack_unpacked_destroy(&unpack->unpacked);
}

/* Begins to read the elements of `array`; no array is as bad as none. */
void cb_fields_open(cb_fields_t *fields, const msgpack_object *array)
{
	*fields = (cb_fields_t){ NULL, 0, FALSE };
	if (!array || array->type != MSGPACK_OBJECT_ARRAY) {
		fields->is_bad = TRUE;
		return;
	}
	fields->next = array->via.array.ptr;
	fields->left = array->via.array.size;
}

/* Returns the next element, or NULL and notes that it is missing. */
const msgpack_object *cb_fields_object(cb_fields_t *fields)
{
	if (!fields->left) {
		fields->is_bad = TRUE;
		return NULL;
	}
	fields->left--;
	return fields->next++;
}

/* Reads a whole number of 0 or more. */
uint64_t cb_fields_uint(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object->via.u64;
	fields->is_bad = TRUE;
	return 0;
}

/* Reads a whole number. */
int64_t cb_fields_int(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return object->via.i64;
	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		return (int64_t)object->via.u64;
	fields->is_bad = TRUE;
	return 0;
}

/* Reads a truth value. */
gboolean cb_fields_bool(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_BOOLEAN)
		return object->via.boolean;
	fields->is_bad = TRUE;
	return FALSE;
}

/* Reads a number below `count`. */
uint32_t cb_fields_enum(cb_fields_t *fields, uint32_t count)
{
	uint64_t value = cb_fields_uint(fields);

	if (value < count)
		return (uint32_t)value;
	fields->is_bad = TRUE;
	return 0;
}

/* Reads a text into a copy for the caller, or NULL for nil. */
char *cb_fields_string(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object && object->type == MSGPACK_OBJECT_STR &&
	    g_utf8_validate_len(object->via.str.ptr, object->via.str.size,
				NULL))
		return g_strndup(object->via.str.ptr, object->via.str.size);
	fields->is_bad = TRUE;
	return NULL;
}

/* Like cb_fields_string(), for a text that must be there. */
char *cb_fields_text(cb_fields_t *fields)
{
	char *text = cb_fields_string(fields);

	if (!text)
		fields->is_bad = TRUE;
	return text;
}

/* Reads bytes into a copy for the caller, or NULL for nil. */
GBytes *cb_fields_bytes(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object && object->type == MSGPACK_OBJECT_BIN)
		return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
	fields->is_bad = TRUE;
	return NULL;
}

/* Tells whether every element was read, each with its type. */
gboolean cb_fields_end(const cb_fields_t *fields)
{
	return !fields->is_bad && fields->left == 0;
}
