#include "private/replica_message.h"

#include <string.h>
#include <xxhash.h>

#include "private/pack.h"

/* An encoded message is an array in msgpack format, preceded by its digest. */
#define DIGEST_BYTES 8
#define MESSAGE_VERSION 1
#define HEADER_FIELD_COUNT 6
#define RECORD_FIELD_COUNT 3

const char *const cb_message_kind_string[CB_MESSAGE_KIND_COUNT] = {
	[CB_MESSAGE_VOTE_REQUEST] = "vote_request",
	[CB_MESSAGE_VOTE_REPLY] = "vote_reply",
	[CB_MESSAGE_APPEND] = "append",
	[CB_MESSAGE_APPEND_REPLY] = "append_reply",
	[CB_MESSAGE_SNAPSHOT] = "snapshot",
	[CB_MESSAGE_SNAPSHOT_REPLY] = "snapshot_reply",
	[CB_MESSAGE_TAKE_OVER] = "take_over",
	[CB_MESSAGE_PROBE] = "probe",
	[CB_MESSAGE_PROBE_REPLY] = "probe_reply",
};

/* The number of body fields of each message kind. */
static const uint32_t body_field_count[CB_MESSAGE_KIND_COUNT] = {
	[CB_MESSAGE_VOTE_REQUEST] = 4, [CB_MESSAGE_VOTE_REPLY] = 3,
	[CB_MESSAGE_APPEND] = 5,       [CB_MESSAGE_APPEND_REPLY] = 4,
	[CB_MESSAGE_SNAPSHOT] = 7,     [CB_MESSAGE_SNAPSHOT_REPLY] = 3,
	[CB_MESSAGE_TAKE_OVER] = 0,    [CB_MESSAGE_PROBE] = 0,
	[CB_MESSAGE_PROBE_REPLY] = 3,
};

/* Creates a record that shares `data`; NULL means no data. */
cb_record_t *cb_record_new(uint64_t index, uint64_t term, uint32_t kind,
			   GBytes *data)
{
	cb_record_t *record = g_new0(cb_record_t, 1);

	record->index = index;
	record->term = term;
	record->kind = kind;
	record->data = data ? g_bytes_ref(data) : g_bytes_new(NULL, 0);
	return record;
}

/* Deletes a record; NULL is allowed. */
void cb_record_delete(cb_record_t *record)
{
	if (!record)
		return;
	g_bytes_unref(record->data);
	g_free(record);
}

/* Returns a copy of a record that shares the record's data. */
cb_record_t *cb_record_copy(const cb_record_t *record)
{
	return cb_record_new(record->index, record->term, record->kind,
			     record->data);
}

/* Creates a message of the given kind with empty fields. */
cb_message_t *cb_message_new(cb_message_kind_t kind)
{
	cb_message_t *message = g_new0(cb_message_t, 1);

	message->kind = kind;
	if (kind == CB_MESSAGE_APPEND)
		message->append.records = g_ptr_array_new_with_free_func(
			(GDestroyNotify)cb_record_delete);
	return message;
}

/* Deletes a message and its fields; NULL is allowed. */
void cb_message_delete(cb_message_t *message)
{
	if (!message)
		return;
	if (message->kind == CB_MESSAGE_APPEND)
		g_ptr_array_unref(message->append.records);
	if (message->kind == CB_MESSAGE_SNAPSHOT) {
		g_clear_pointer(&message->snapshot.members, g_bytes_unref);
		g_clear_pointer(&message->snapshot.data, g_bytes_unref);
	}
	if (message->kind == CB_MESSAGE_PROBE_REPLY)
		g_free(message->probe_reply.group_id);
	g_free(message->from_disk);
	g_free(message->to_disk);
	g_free(message->from_address);
	g_free(message);
}

static void pack_append_(cb_pack_t *pack, const cb_append_t *append)
{
	uint32_t i;

	cb_pack_uint(pack, append->prev_index);
	cb_pack_uint(pack, append->prev_term);
	cb_pack_uint(pack, append->committed);
	cb_pack_uint(pack, append->round);
	cb_pack_array(pack, append->records->len);
	for (i = 0; i < append->records->len; i++) {
		const cb_record_t *record = append->records->pdata[i];

		cb_pack_array(pack, RECORD_FIELD_COUNT);
		cb_pack_uint(pack, record->term);
		cb_pack_uint(pack, record->kind);
		cb_pack_bytes(pack, record->data);
	}
}

static void pack_snapshot_(cb_pack_t *pack, const cb_snapshot_chunk_t *chunk)
{
	cb_pack_uint(pack, chunk->index);
	cb_pack_uint(pack, chunk->index_term);
	cb_pack_uint(pack, chunk->size);
	cb_pack_uint(pack, chunk->offset);
	cb_pack_uint(pack, chunk->digest);
	cb_pack_bytes(pack, chunk->members);
	cb_pack_bytes(pack, chunk->data);
}

static void pack_body_(cb_pack_t *pack, const cb_message_t *message)
{
	switch (message->kind) {
	case CB_MESSAGE_VOTE_REQUEST:
		cb_pack_bool(pack, message->vote_request.is_pre_vote);
		cb_pack_bool(pack, message->vote_request.is_hand_over);
		cb_pack_uint(pack, message->vote_request.last_index);
		cb_pack_uint(pack, message->vote_request.last_term);
		break;
	case CB_MESSAGE_VOTE_REPLY:
		cb_pack_bool(pack, message->vote_reply.is_pre_vote);
		cb_pack_bool(pack, message->vote_reply.is_granted);
		cb_pack_uint(pack, message->vote_reply.request_term);
		break;
	case CB_MESSAGE_APPEND:
		pack_append_(pack, &message->append);
		break;
	case CB_MESSAGE_APPEND_REPLY:
		cb_pack_bool(pack, message->append_reply.is_accepted);
		cb_pack_uint(pack, message->append_reply.prev_index);
		cb_pack_uint(pack, message->append_reply.index);
		cb_pack_uint(pack, message->append_reply.round);
		break;
	case CB_MESSAGE_SNAPSHOT:
		pack_snapshot_(pack, &message->snapshot);
		break;
	case CB_MESSAGE_SNAPSHOT_REPLY:
		cb_pack_uint(pack, message->snapshot_reply.index);
		cb_pack_uint(pack, message->snapshot_reply.offset);
		cb_pack_bool(pack, message->snapshot_reply.is_stored);
		break;
	case CB_MESSAGE_PROBE_REPLY:
		cb_pack_bool(pack, message->probe_reply.is_blank);
		cb_pack_uint(pack, message->probe_reply.initial_digest);
		cb_pack_string(pack, message->probe_reply.group_id ?
					     message->probe_reply.group_id :
					     "");
		break;
	case CB_MESSAGE_TAKE_OVER:
	case CB_MESSAGE_PROBE:
	case CB_MESSAGE_KIND_COUNT:
		break;
	}
}

/* Encodes a message for cb_message_decode(). */
GBytes *cb_message_encode(const cb_message_t *message)
{
	uint64_t digest = 0;
	cb_pack_t pack;

	cb_pack_init(&pack);
	msgpack_sbuffer_write(&pack.buffer, (const char *)&digest,
			      DIGEST_BYTES);
	cb_pack_array(&pack,
		      HEADER_FIELD_COUNT + body_field_count[message->kind]);
	cb_pack_uint(&pack, MESSAGE_VERSION);
	cb_pack_uint(&pack, message->kind);
	cb_pack_uint(&pack, message->term);
	cb_pack_string(&pack, message->from_disk ? message->from_disk : "");
	cb_pack_string(&pack, message->to_disk ? message->to_disk : "");
	cb_pack_string(&pack,
		       message->from_address ? message->from_address : "");
	pack_body_(&pack, message);
	digest = GUINT64_TO_LE(XXH3_64bits(pack.buffer.data + DIGEST_BYTES,
					   pack.buffer.size - DIGEST_BYTES));
	memcpy(pack.buffer.data, &digest, DIGEST_BYTES);
	return cb_pack_finish(&pack);
}

/* Unpacks bytes, which may be empty; marks `fields` malformed without them. */
static GBytes *unpack_bytes_(cb_fields_t *fields)
{
	GBytes *bytes = cb_fields_bytes(fields);

	if (!bytes)
		fields->is_malformed = TRUE;
	return bytes;
}

/* Unpacks one record; NULL when it is malformed. */
static cb_record_t *unpack_record_(const msgpack_object *object, uint64_t index)
{
	cb_record_t *record = NULL;
	cb_fields_t fields;
	uint64_t term;
	uint32_t kind;
	GBytes *data;

	cb_fields_open(&fields, object);
	term = cb_fields_uint(&fields);
	kind = cb_fields_enum(&fields, UINT32_MAX);
	data = unpack_bytes_(&fields);
	if (cb_fields_are_complete(&fields))
		record = cb_record_new(index, term, kind, data);
	g_clear_pointer(&data, g_bytes_unref);
	return record;
}

static void unpack_append_(cb_fields_t *fields, cb_append_t *append)
{
	cb_fields_t records;
	uint64_t index;

	append->prev_index = cb_fields_uint(fields);
	append->prev_term = cb_fields_uint(fields);
	append->committed = cb_fields_uint(fields);
	append->round = cb_fields_uint(fields);
	cb_fields_open(&records, cb_fields_object(fields));
	index = append->prev_index;
	while (!records.is_malformed && records.unread_count) {
		cb_record_t *record =
			unpack_record_(cb_fields_object(&records), ++index);

		if (record)
			g_ptr_array_add(append->records, record);
		else
			records.is_malformed = TRUE;
	}
	fields->is_malformed = fields->is_malformed || records.is_malformed;
}

static void unpack_snapshot_(cb_fields_t *fields, cb_snapshot_chunk_t *chunk)
{
	chunk->index = cb_fields_uint(fields);
	chunk->index_term = cb_fields_uint(fields);
	chunk->size = cb_fields_uint(fields);
	chunk->offset = cb_fields_uint(fields);
	chunk->digest = cb_fields_uint(fields);
	chunk->members = unpack_bytes_(fields);
	chunk->data = unpack_bytes_(fields);
}

static void unpack_body_(cb_fields_t *fields, cb_message_t *message)
{
	switch (message->kind) {
	case CB_MESSAGE_VOTE_REQUEST:
		message->vote_request.is_pre_vote = cb_fields_bool(fields);
		message->vote_request.is_hand_over = cb_fields_bool(fields);
		message->vote_request.last_index = cb_fields_uint(fields);
		message->vote_request.last_term = cb_fields_uint(fields);
		break;
	case CB_MESSAGE_VOTE_REPLY:
		message->vote_reply.is_pre_vote = cb_fields_bool(fields);
		message->vote_reply.is_granted = cb_fields_bool(fields);
		message->vote_reply.request_term = cb_fields_uint(fields);
		break;
	case CB_MESSAGE_APPEND:
		unpack_append_(fields, &message->append);
		break;
	case CB_MESSAGE_APPEND_REPLY:
		message->append_reply.is_accepted = cb_fields_bool(fields);
		message->append_reply.prev_index = cb_fields_uint(fields);
		message->append_reply.index = cb_fields_uint(fields);
		message->append_reply.round = cb_fields_uint(fields);
		break;
	case CB_MESSAGE_SNAPSHOT:
		unpack_snapshot_(fields, &message->snapshot);
		break;
	case CB_MESSAGE_SNAPSHOT_REPLY:
		message->snapshot_reply.index = cb_fields_uint(fields);
		message->snapshot_reply.offset = cb_fields_uint(fields);
		message->snapshot_reply.is_stored = cb_fields_bool(fields);
		break;
	case CB_MESSAGE_PROBE_REPLY:
		message->probe_reply.is_blank = cb_fields_bool(fields);
		message->probe_reply.initial_digest = cb_fields_uint(fields);
		message->probe_reply.group_id =
			cb_fields_required_string(fields);
		break;
	case CB_MESSAGE_TAKE_OVER:
	case CB_MESSAGE_PROBE:
	case CB_MESSAGE_KIND_COUNT:
		break;
	}
}

/* Unpacks a message; NULL when it is malformed. */
static cb_message_t *unpack_message_(const msgpack_object *object)
{
	cb_message_t *message;
	cb_fields_t fields;
	uint32_t kind;

	cb_fields_open(&fields, object);
	if (cb_fields_uint(&fields) != MESSAGE_VERSION)
		return NULL;
	kind = cb_fields_enum(&fields, CB_MESSAGE_KIND_COUNT);
	if (fields.is_malformed)
		return NULL;
	message = cb_message_new((cb_message_kind_t)kind);
	message->term = cb_fields_uint(&fields);
	message->from_disk = cb_fields_required_string(&fields);
	message->to_disk = cb_fields_required_string(&fields);
	message->from_address = cb_fields_required_string(&fields);
	unpack_body_(&fields, message);
	if (cb_fields_are_complete(&fields))
		return message;
	cb_message_delete(message);
	return NULL;
}

/* Decodes a message; NULL when it is damaged or malformed. */
cb_message_t *cb_message_decode(GBytes *bytes)
{
	cb_message_t *message = NULL;
	cb_unpack_t unpack;
	uint64_t digest;
	GBytes *body;
	size_t size;
	const char *data = g_bytes_get_data(bytes, &size);

	if (size <= DIGEST_BYTES)
		return NULL;
	memcpy(&digest, data, DIGEST_BYTES);
	if (GUINT64_FROM_LE(digest) !=
	    XXH3_64bits(data + DIGEST_BYTES, size - DIGEST_BYTES))
		return NULL;
	body = g_bytes_new_from_bytes(bytes, DIGEST_BYTES, size - DIGEST_BYTES);
	if (cb_unpack_init(&unpack, body)) {
		message = unpack_message_(&unpack.unpacked.data);
		cb_unpack_clear(&unpack);
	}
	g_bytes_unref(body);
	return message;
}
