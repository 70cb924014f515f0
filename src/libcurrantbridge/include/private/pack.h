#ifndef PRIVATE_PACK_H
#define PRIVATE_PACK_H

#include <glib.h>
#include <msgpack.h>
#include <stdint.h>

/* Encodes typed values as msgpack. */
typedef struct cb_pack {
	msgpack_sbuffer buffer; /* encoded bytes */
	msgpack_packer packer;
} cb_pack_t;

void cb_pack_init(cb_pack_t *pack);
void cb_pack_array(cb_pack_t *pack, size_t count);
void cb_pack_uint(cb_pack_t *pack, uint64_t value);
void cb_pack_int(cb_pack_t *pack, int64_t value);
void cb_pack_bool(cb_pack_t *pack, gboolean value);
void cb_pack_string(cb_pack_t *pack, const char *text);
void cb_pack_bytes(cb_pack_t *pack, GBytes *bytes);
GBytes *cb_pack_finish(cb_pack_t *pack);

/* A decoded message; its objects are valid until cb_unpack_clear(). */
typedef struct cb_unpack {
	msgpack_unpacked unpacked;
} cb_unpack_t;

gboolean cb_unpack_init(cb_unpack_t *unpack, GBytes *bytes);
void cb_unpack_clear(cb_unpack_t *unpack);

/*
 * Reads the elements of a msgpack array in order.  An element that is missing
 * or has another type is read as 0, FALSE or NULL and marks the array as
 * malformed.
 */
typedef struct cb_fields {
	const msgpack_object *next; /* the next unread element */
	uint32_t unread_count;	    /* number of unread elements */
	gboolean is_malformed;	    /* an element was missing or malformed */
} cb_fields_t;

void cb_fields_open(cb_fields_t *fields, const msgpack_object *array);
uint64_t cb_fields_uint(cb_fields_t *fields);
int64_t cb_fields_int(cb_fields_t *fields);
gboolean cb_fields_bool(cb_fields_t *fields);
uint32_t cb_fields_enum(cb_fields_t *fields, uint32_t count);
char *cb_fields_string(cb_fields_t *fields);
char *cb_fields_required_string(cb_fields_t *fields);
GBytes *cb_fields_bytes(cb_fields_t *fields);
const msgpack_object *cb_fields_object(cb_fields_t *fields);
gboolean cb_fields_are_complete(const cb_fields_t *fields);

#endif
