#include "private/link_message.h"

#include <string.h>

#include "private/pack.h"

#define MESSAGE_FIELD_COUNT 7
#define HELLO_FIELD_COUNT 8
#define SESSION_REPORT_FIELD_COUNT 5

/* Encodes a message; the caller unrefs the bytes. */
GBytes *cb_link_message_encode(const cb_link_message_t *message)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, MESSAGE_FIELD_COUNT);
	cb_pack_uint(&pack, message->kind);
	cb_pack_uint(&pack, message->id);
	cb_pack_uint(&pack, message->code);
	cb_pack_uint(&pack, message->number);
	cb_pack_string(&pack, message->name);
	cb_pack_string(&pack, message->address);
	cb_pack_bytes(&pack, message->body);
	return cb_pack_finish(&pack);
}

static cb_link_message_t *message_parse_(const msgpack_object *object)
{
	cb_link_message_t *message = g_new0(cb_link_message_t, 1);
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	message->kind = (cb_link_message_kind_t)
		cb_fields_enum(&fields, CB_LINK_MESSAGE_KIND_COUNT);
	message->id = cb_fields_uint(&fields);
	message->code = cb_fields_uint(&fields);
	message->number = cb_fields_uint(&fields);
	message->name = cb_fields_string(&fields);
	message->address = cb_fields_string(&fields);
	message->body = cb_fields_bytes(&fields);
	if (!cb_fields_are_complete(&fields))
		g_clear_pointer(&message, cb_link_message_delete);
	return message;
}

/* Decodes a message.  Returns NULL unless the bytes are exactly one message. */
cb_link_message_t *cb_link_message_decode(const uint8_t *data, size_t size)
{
	GBytes *bytes = g_bytes_new_static(data, size);
	cb_link_message_t *message = NULL;
	cb_unpack_t unpack;

	if (cb_unpack_init(&unpack, bytes)) {
		message = message_parse_(&unpack.unpacked.data);
		cb_unpack_clear(&unpack);
	}
	g_bytes_unref(bytes);
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
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, HELLO_FIELD_COUNT);
	cb_pack_uint(&pack, hello->protocol);
	cb_pack_uint(&pack, hello->role);
	cb_pack_string(&pack, hello->name);
	cb_pack_string(&pack, hello->address);
	cb_pack_string(&pack, hello->data_centre);
	cb_pack_uint(&pack, hello->incarnation);
	cb_pack_uint(&pack, hello->revision);
	cb_pack_bool(&pack, hello->is_leaving);
	return cb_pack_finish(&pack);
}

static gboolean hello_parse_(const msgpack_object *object, cb_hello_t *hello)
{
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	hello->protocol = cb_fields_uint(&fields);
	hello->role = (cb_role_t)cb_fields_enum(&fields, CB_ROLE_COUNT);
	hello->name = cb_fields_required_string(&fields);
	hello->address = cb_fields_string(&fields);
	hello->data_centre = cb_fields_string(&fields);
	hello->incarnation = cb_fields_uint(&fields);
	hello->revision = cb_fields_uint(&fields);
	hello->is_leaving = cb_fields_bool(&fields);
	return cb_fields_are_complete(&fields);
}

/* Decodes into a zeroed hello.  Returns FALSE, with it zeroed, if malformed. */
gboolean cb_hello_decode(GBytes *bytes, cb_hello_t *hello)
{
	gboolean is_valid;
	cb_unpack_t unpack;

	if (!bytes || !cb_unpack_init(&unpack, bytes))
		return FALSE;
	is_valid = hello_parse_(&unpack.unpacked.data, hello);
	if (!is_valid)
		cb_hello_clear(hello);
	cb_unpack_clear(&unpack);
	return is_valid;
}

/* Copies a hello; what `to` contained is not freed. */
void cb_hello_copy(cb_hello_t *to, const cb_hello_t *from)
{
	*to = *from;
	to->name = g_strdup(from->name);
	to->address = g_strdup(from->address);
	to->data_centre = g_strdup(from->data_centre);
}

/* Frees the strings of a hello and zeroes it. */
void cb_hello_clear(cb_hello_t *hello)
{
	g_free(hello->name);
	g_free(hello->address);
	g_free(hello->data_centre);
	memset(hello, 0, sizeof(*hello));
}

/* Deletes a cb_session_report_t; has the type of a GDestroyNotify. */
void cb_session_report_delete(void *report)
{
	cb_session_report_t *self = report;

	g_free(self->name);
	g_free(self->control);
	g_free(self);
}

/* Encodes an array of cb_session_report_t; the caller unrefs the bytes. */
GBytes *cb_session_reports_encode(const GPtrArray *reports)
{
	cb_pack_t pack;
	unsigned int i;

	cb_pack_init(&pack);
	cb_pack_array(&pack, reports->len);
	for (i = 0; i < reports->len; i++) {
		const cb_session_report_t *report =
			g_ptr_array_index(reports, i);

		cb_pack_array(&pack, SESSION_REPORT_FIELD_COUNT);
		cb_pack_string(&pack, report->name);
		cb_pack_uint(&pack, report->incarnation);
		cb_pack_uint(&pack, report->revision);
		cb_pack_uint(&pack, report->last_received_ms_ago);
		cb_pack_string(&pack, report->control);
	}
	return cb_pack_finish(&pack);
}

/* Parses one report into `reports`.  Returns FALSE if it is malformed. */
static gboolean session_report_parse_(const msgpack_object *object,
				      GPtrArray *reports)
{
	cb_session_report_t *report = g_new0(cb_session_report_t, 1);
	cb_fields_t fields;

	cb_fields_open(&fields, object);
	report->name = cb_fields_required_string(&fields);
	report->incarnation = cb_fields_uint(&fields);
	report->revision = cb_fields_uint(&fields);
	report->last_received_ms_ago = cb_fields_uint(&fields);
	report->control = cb_fields_string(&fields);
	g_ptr_array_add(reports, report);
	return cb_fields_are_complete(&fields);
}

/* Decodes an array of cb_session_report_t.  Returns NULL if it is malformed. */
GPtrArray *cb_session_reports_decode(GBytes *bytes)
{
	GPtrArray *reports;
	cb_unpack_t unpack;
	cb_fields_t fields;
	gboolean is_valid = TRUE;

	if (!bytes || !cb_unpack_init(&unpack, bytes))
		return NULL;
	reports = g_ptr_array_new_with_free_func(cb_session_report_delete);
	cb_fields_open(&fields, &unpack.unpacked.data);
	while (is_valid && fields.unread_count)
		is_valid = session_report_parse_(cb_fields_object(&fields),
						 reports);
	if (!is_valid || !cb_fields_are_complete(&fields))
		g_clear_pointer(&reports, g_ptr_array_unref);
	cb_unpack_clear(&unpack);
	return reports;
}

/* Encodes a NULL-terminated array; the caller unrefs the bytes. */
GBytes *cb_addresses_encode(const char *const *addresses)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, g_strv_length((char **)addresses));
	for (; *addresses; addresses++)
		cb_pack_string(&pack, *addresses);
	return cb_pack_finish(&pack);
}

/*
 * Returns the addresses as a NULL-terminated array, to be freed with
 * g_strfreev(), or NULL if the bytes are malformed.
 */
char **cb_addresses_decode(GBytes *bytes)
{
	GStrvBuilder *builder;
	cb_unpack_t unpack;
	cb_fields_t fields;
	char **addresses = NULL;

	if (!cb_unpack_init(&unpack, bytes))
		return NULL;
	builder = g_strv_builder_new();
	cb_fields_open(&fields, &unpack.unpacked.data);
	while (fields.unread_count && !fields.is_malformed) {
		char *address = cb_fields_required_string(&fields);

		if (address)
			g_strv_builder_add(builder, address);
		g_free(address);
	}
	if (!fields.is_malformed)
		addresses = g_strv_builder_end(builder);
	g_strv_builder_unref(builder);
	cb_unpack_clear(&unpack);
	return addresses;
}
