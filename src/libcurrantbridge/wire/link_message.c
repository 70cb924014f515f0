#include "private/link_message.h"

#include <msgpack.h>
#include <string.h>

#define MESSAGE_FIELDS 7
#define HELLO_FIELDS 8
#define REPORT_FIELDS 5

static void text_pack_(msgpack_packer *packer, const char *text)
{
	size_t size;

	if (!text) {
		msgpack_pack_nil(packer);
		return;
	}
	size = strlen(text);
	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

static void bytes_pack_(msgpack_packer *packer, GBytes *bytes)
{
	const void *data;
	gsize size;

	if (!bytes) {
		msgpack_pack_nil(packer);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, data, size);
}

static gboolean number_read_(const msgpack_object *object, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return FALSE;
	*out = object->via.u64;
	return TRUE;
}

/* Reads a text or nil; texts with a zero byte are refused. */
static gboolean text_read_(const msgpack_object *object, char **out)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return TRUE;
	if (object->type != MSGPACK_OBJECT_STR)
		return FALSE;
	if (memchr(object->via.str.ptr, '\0', object->via.str.size))
		return FALSE;
	*out = g_strndup(object->via.str.ptr, object->via.str.size);
	return TRUE;
}

static gboolean bytes_read_(const msgpack_object *object, GBytes **out)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return TRUE;
	if (object->type != MSGPACK_OBJECT_BIN)
		return FALSE;
	*out = g_bytes_new(object->via.bin.ptr, object->via.bin.size);
	return TRUE;
}

/* Takes the packed bytes over from a buffer. */
static GBytes *buffer_finish_(msgpack_sbuffer *buffer)
{
	GBytes *bytes = g_bytes_new(buffer->data, buffer->size);

	msgpack_sbuffer_destroy(buffer);
	return bytes;
}

/* Unpacks one array that fills the bytes; `fields` 0 allows any length. */
static const msgpack_object_array *array_unpack_(msgpack_unpacked *unpacked,
						 const void *data, size_t size,
						 size_t fields)
{
	size_t offset = 0;

	if (!data || msgpack_unpack_next(unpacked, data, size, &offset) !=
			     MSGPACK_UNPACK_SUCCESS)
		return NULL;
	if (offset != size || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	if (fields && unpacked->data.via.array.size != fields)
		return NULL;
	return &unpacked->data.via.array;
}

/* Encodes a message; the caller unrefs the bytes. */
GBytes *cb_link_message_encode(const cb_link_message_t *message)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->id);
	msgpack_pack_uint64(&packer, message->code);
	msgpack_pack_uint64(&packer, message->number);
	text_pack_(&packer, message->name);
	text_pack_(&packer, message->address);
	bytes_pack_(&packer, message->body);
	return buffer_finish_(&buffer);
}

static gboolean message_read_(const msgpack_object *fields,
			      cb_link_message_t *message)
{
	uint64_t kind;

	if (!number_read_(&fields[0], &kind) ||
	    kind >= CB_LINK_MESSAGE_KIND_COUNT)
		return FALSE;
	message->kind = (cb_link_message_kind_t)kind;
	return number_read_(&fields[1], &message->id) &&
	       number_read_(&fields[2], &message->code) &&
	       number_read_(&fields[3], &message->number) &&
	       text_read_(&fields[4], &message->name) &&
	       text_read_(&fields[5], &message->address) &&
	       bytes_read_(&fields[6], &message->body);
}

/* Decodes a message; NULL when the bytes are not exactly one. */
cb_link_message_t *cb_link_message_decode(const uint8_t *data, size_t size)
{
	cb_link_message_t *message = g_new0(cb_link_message_t, 1);
	const msgpack_object_array *array;
	msgpack_unpacked unpacked;

	msgpack_unpacked_init(&unpacked);
	array = array_unpack_(&unpacked, data, size, MESSAGE_FIELDS);
	if (!array || !message_read_(array->ptr, message))
		g_clear_pointer(&message, cb_link_message_delete);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}

/* Deletes a message and its fields; NULL is allowed. */
void cb_link_message_delete(cb_link_message_t *message)
{
	if (!message)
		return;
	g_free(message->name);
	g_free(message->address);
	g_clear_pointer(&message->body, g_bytes_unref);
	g_free(message);
}

/* Encodes a hello, the body of the first message on a link. */
GBytes *cb_hello_encode(const cb_hello_t *hello)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, HELLO_FIELDS);
	msgpack_pack_uint64(&packer, hello->protocol);
	msgpack_pack_uint64(&packer, hello->role);
	text_pack_(&packer, hello->name);
	text_pack_(&packer, hello->address);
	text_pack_(&packer, hello->data_centre);
	msgpack_pack_uint64(&packer, hello->incarnation);
	msgpack_pack_uint64(&packer, hello->revision);
	msgpack_pack_uint64(&packer, hello->is_leaving ? 1 : 0);
	return buffer_finish_(&buffer);
}

static gboolean hello_read_(const msgpack_object *fields, cb_hello_t *hello)
{
	uint64_t is_leaving;
	uint64_t role;

	if (!number_read_(&fields[0], &hello->protocol) ||
	    !number_read_(&fields[1], &role) || role >= CB_ROLE_COUNT)
		return FALSE;
	hello->role = (cb_role_t)role;
	if (!text_read_(&fields[2], &hello->name) || !hello->name ||
	    !text_read_(&fields[3], &hello->address) ||
	    !text_read_(&fields[4], &hello->data_centre) ||
	    !number_read_(&fields[5], &hello->incarnation) ||
	    !number_read_(&fields[6], &hello->revision) ||
	    !number_read_(&fields[7], &is_leaving))
		return FALSE;
	hello->is_leaving = is_leaving != 0;
	return TRUE;
}

/* Decodes into a zeroed hello; FALSE leaves it zeroed. */
gboolean cb_hello_decode(GBytes *bytes, cb_hello_t *hello)
{
	const msgpack_object_array *array;
	msgpack_unpacked unpacked;
	gboolean is_read = FALSE;
	const void *data;
	gsize size;

	if (!bytes)
		return FALSE;
	data = g_bytes_get_data(bytes, &size);
	msgpack_unpacked_init(&unpacked);
	array = array_unpack_(&unpacked, data, size, HELLO_FIELDS);
	is_read = array && hello_read_(array->ptr, hello);
	if (!is_read)
		cb_hello_clear(hello);
	msgpack_unpacked_destroy(&unpacked);
	return is_read;
}

/* Copies a hello into one that holds nothing. */
void cb_hello_copy(cb_hello_t *to, const cb_hello_t *from)
{
	*to = *from;
	to->name = g_strdup(from->name);
	to->address = g_strdup(from->address);
	to->data_centre = g_strdup(from->data_centre);
}

/* Frees what a hello holds and zeroes it. */
void cb_hello_clear(cb_hello_t *hello)
{
	g_free(hello->name);
	g_free(hello->address);
	g_free(hello->data_centre);
	memset(hello, 0, sizeof(*hello));
}

/* Deletes one report of a session. */
void cb_session_report_delete(void *report)
{
	cb_session_report_t *self = report;

	g_free(self->name);
	g_free(self->control);
	g_free(self);
}

/* Encodes an array of cb_session_report_t. */
GBytes *cb_session_reports_encode(const GPtrArray *reports)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	unsigned int i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, reports->len);
	for (i = 0; i < reports->len; i++) {
		const cb_session_report_t *report =
			g_ptr_array_index(reports, i);

		msgpack_pack_array(&packer, REPORT_FIELDS);
		text_pack_(&packer, report->name);
		msgpack_pack_uint64(&packer, report->incarnation);
		msgpack_pack_uint64(&packer, report->revision);
		msgpack_pack_uint64(&packer, report->heard_ms_ago);
		text_pack_(&packer, report->control);
	}
	return buffer_finish_(&buffer);
}

static cb_session_report_t *report_read_(const msgpack_object *object)
{
	cb_session_report_t *report;
	const msgpack_object *fields;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != REPORT_FIELDS)
		return NULL;
	fields = object->via.array.ptr;
	report = g_new0(cb_session_report_t, 1);
	if (text_read_(&fields[0], &report->name) && report->name &&
	    number_read_(&fields[1], &report->incarnation) &&
	    number_read_(&fields[2], &report->revision) &&
	    number_read_(&fields[3], &report->heard_ms_ago) &&
	    text_read_(&fields[4], &report->control))
		return report;
	cb_session_report_delete(report);
	return NULL;
}

/* Decodes an array of cb_session_report_t; NULL when it is malformed. */
GPtrArray *cb_session_reports_decode(GBytes *bytes)
{
	GPtrArray *reports = NULL;
	const msgpack_object_array *array;
	msgpack_unpacked unpacked;
	const void *data;
	gsize size;
	size_t i;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &size);
	msgpack_unpacked_init(&unpacked);
	array = array_unpack_(&unpacked, data, size, 0);
	if (!array)
		goto out;
	reports = g_ptr_array_new_with_free_func(cb_session_report_delete);
	for (i = 0; i < array->size; i++) {
		cb_session_report_t *report = report_read_(&array->ptr[i]);

		if (!report) {
			g_clear_pointer(&reports, g_ptr_array_unref);
			goto out;
		}
		g_ptr_array_add(reports, report);
	}
out:
	msgpack_unpacked_destroy(&unpacked);
	return reports;
}
