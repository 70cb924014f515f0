#include "private/pack.h"

#include <string.h>

/*
 * Messages nested deeper are rejected; the messages that this project sends are
 * nested far less deeply.
 */
#define MAX_NESTING_DEPTH 16

/* Initialises an encoder with an empty buffer. */
void cb_pack_init(cb_pack_t *pack)
{
	msgpack_sbuffer_init(&pack->buffer);
	msgpack_packer_init(&pack->packer, &pack->buffer,
			    msgpack_sbuffer_write);
}

/* Adds the header of an array; its `count` values are added next. */
void cb_pack_array(cb_pack_t *pack, size_t count)
{
	msgpack_pack_array(&pack->packer, count);
}

/* Adds an unsigned integer. */
void cb_pack_uint(cb_pack_t *pack, uint64_t value)
{
	msgpack_pack_uint64(&pack->packer, value);
}

/* Adds a signed integer. */
void cb_pack_int(cb_pack_t *pack, int64_t value)
{
	msgpack_pack_int64(&pack->packer, value);
}

/* Adds a boolean. */
void cb_pack_bool(cb_pack_t *pack, gboolean value)
{
	if (value)
		msgpack_pack_true(&pack->packer);
	else
		msgpack_pack_false(&pack->packer);
}

/* Adds a UTF-8 string, or nil if `text` is NULL. */
void cb_pack_string(cb_pack_t *pack, const char *text)
{
	if (text)
		msgpack_pack_str_with_body(&pack->packer, text, strlen(text));
	else
		msgpack_pack_nil(&pack->packer);
}

/* Adds a byte string, or nil if `bytes` is NULL. */
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

/* Returns the encoded bytes and frees the encoder's buffer. */
GBytes *cb_pack_finish(cb_pack_t *pack)
{
	GBytes *bytes = g_bytes_new(pack->buffer.data, pack->buffer.size);

	msgpack_sbuffer_destroy(&pack->buffer);
	return bytes;
}

/* Reads a big-endian length of `size` bytes. */
static uint64_t length_parse_(const uint8_t *data, size_t size)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < size; i++)
		value = value << 8 | data[i];
	return value;
}

/* What follows the header of a msgpack value. */
typedef struct value_layout {
	uint64_t payload_bytes;
	/* Number of elements of an array, or of keys and values of a map. */
	uint64_t child_count;
} value_layout_t;

/*
 * Parses the header of the value that begins at `data`, of which `available`
 * bytes can be read.  Returns the size of the header in bytes, or 0 if it is
 * truncated or not a msgpack value.
 */
static size_t header_parse_(const uint8_t *data, size_t available,
			    value_layout_t *layout)
{
	/* Payload bytes of the types 0xca to 0xd3: numbers of fixed size. */
	static const uint8_t number_bytes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
	const uint8_t type = data[0];
	size_t size = 0;

	*layout = (value_layout_t){ 0, 0 };
	if (type <= 0x7f || type >= 0xe0 || type == 0xc0 || type == 0xc2 ||
	    type == 0xc3)
		return 1;
	if (type <= 0x8f) {
		layout->child_count = 2 * (uint64_t)(type & 0x0f);
		return 1;
	}
	if (type <= 0x9f) {
		layout->child_count = type & 0x0f;
		return 1;
	}
	if (type <= 0xbf) {
		layout->payload_bytes = type & 0x1f;
		return 1;
	}
	if (type >= 0xca && type <= 0xd3) {
		layout->payload_bytes = number_bytes[type - 0xca];
		return 1;
	}
	if (type >= 0xc4 && type <= 0xc6)
		size = (size_t)1 << (type - 0xc4);
	else if (type >= 0xd9 && type <= 0xdb)
		size = (size_t)1 << (type - 0xd9);
	else if (type >= 0xdc && type <= 0xdf)
		size = (size_t)2 << (type & 1);
	if (!size || available < 1 + size)
		return 0;
	if (type < 0xdc)
		layout->payload_bytes = length_parse_(data + 1, size);
	else if (type < 0xde)
		layout->child_count = length_parse_(data + 1, size);
	else
		layout->child_count = 2 * length_parse_(data + 1, size);
	return 1 + size;
}

/*
 * Returns whether the bytes are exactly one msgpack value, none of whose
 * lengths extends past the end.  This is checked before decoding, because the
 * msgpack library allocates memory by the lengths it reads.
 */
static gboolean encoding_check_(const uint8_t *data, size_t size)
{
	/* Number of values still to be checked at each nesting depth. */
	uint64_t unchecked[MAX_NESTING_DEPTH + 1] = { 1 };
	unsigned int depth = 0;
	size_t offset = 0;

	for (;;) {
		value_layout_t layout;
		size_t header_bytes;

		while (unchecked[depth] == 0) {
			if (depth == 0)
				return offset == size;
			depth--;
		}
		if (offset >= size)
			return FALSE;
		header_bytes =
			header_parse_(data + offset, size - offset, &layout);
		if (!header_bytes ||
		    layout.payload_bytes > size - offset - header_bytes)
			return FALSE;
		offset += header_bytes + layout.payload_bytes;
		unchecked[depth]--;
		if (!layout.child_count)
			continue;
		if (depth == MAX_NESTING_DEPTH)
			return FALSE;
		unchecked[++depth] = layout.child_count;
	}
}

/* Decodes a message.  Returns FALSE, with nothing to clear, if malformed. */
gboolean cb_unpack_init(cb_unpack_t *unpack, GBytes *bytes)
{
	size_t offset = 0;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	if (!size || !encoding_check_(data, size))
		return FALSE;
	msgpack_unpacked_init(&unpack->unpacked);
	if (msgpack_unpack_next(&unpack->unpacked, (const char *)data, size,
				&offset) == MSGPACK_UNPACK_SUCCESS)
		return TRUE;
	msgpack_unpacked_destroy(&unpack->unpacked);
	return FALSE;
}

/* Frees a decoded message and its objects. */
void cb_unpack_clear(cb_unpack_t *unpack)
{
	msgpack_unpacked_destroy(&unpack->unpacked);
}

/* Starts reading `array`; NULL or another type of object is malformed. */
void cb_fields_open(cb_fields_t *fields, const msgpack_object *array)
{
	*fields = (cb_fields_t){ NULL, 0, FALSE };
	if (!array || array->type != MSGPACK_OBJECT_ARRAY) {
		fields->is_malformed = TRUE;
		return;
	}
	fields->next = array->via.array.ptr;
	fields->unread_count = array->via.array.size;
}

/* Returns the next element, or NULL and marks the array as malformed. */
const msgpack_object *cb_fields_object(cb_fields_t *fields)
{
	if (!fields->unread_count) {
		fields->is_malformed = TRUE;
		return NULL;
	}
	fields->unread_count--;
	return fields->next++;
}

/* Reads an unsigned integer. */
uint64_t cb_fields_uint(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object->via.u64;
	fields->is_malformed = TRUE;
	return 0;
}

/* Reads a signed integer. */
int64_t cb_fields_int(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return object->via.i64;
	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		return (int64_t)object->via.u64;
	fields->is_malformed = TRUE;
	return 0;
}

/* Reads a boolean. */
gboolean cb_fields_bool(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_BOOLEAN)
		return object->via.boolean;
	fields->is_malformed = TRUE;
	return FALSE;
}

/* Reads an enum value below `count`. */
uint32_t cb_fields_enum(cb_fields_t *fields, uint32_t count)
{
	uint64_t value = cb_fields_uint(fields);

	if (value < count)
		return (uint32_t)value;
	fields->is_malformed = TRUE;
	return 0;
}

/* Returns a copy of a UTF-8 string, which the caller frees, or NULL for nil. */
char *cb_fields_string(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object && object->type == MSGPACK_OBJECT_STR &&
	    g_utf8_validate_len(object->via.str.ptr, object->via.str.size,
				NULL))
		return g_strndup(object->via.str.ptr, object->via.str.size);
	fields->is_malformed = TRUE;
	return NULL;
}

/* Like cb_fields_string(), but nil is malformed. */
char *cb_fields_required_string(cb_fields_t *fields)
{
	char *text = cb_fields_string(fields);

	if (!text)
		fields->is_malformed = TRUE;
	return text;
}

/* Returns a copy of a byte string, which the caller unrefs, or NULL for nil. */
GBytes *cb_fields_bytes(cb_fields_t *fields)
{
	const msgpack_object *object = cb_fields_object(fields);

	if (object && object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object && object->type == MSGPACK_OBJECT_BIN)
		return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
	fields->is_malformed = TRUE;
	return NULL;
}

/* Returns whether all elements were read and each had the expected type. */
gboolean cb_fields_are_complete(const cb_fields_t *fields)
{
	return !fields->is_malformed && fields->unread_count == 0;
}
