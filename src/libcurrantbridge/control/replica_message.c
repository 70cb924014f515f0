#include "private/replica_message.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

/* A message is a digest of what follows, then one msgpack array. */
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

/* The fields of each kind's body. */
static const uint32_t body_field_count[CB_MESSAGE_KIND_COUNT] = {
	[CB_MESSAGE_VOTE_REQUEST] = 4, [CB_MESSAGE_VOTE_REPLY] = 3,
	[CB_MESSAGE_APPEND] = 5,       [CB_MESSAGE_APPEND_REPLY] = 4,
	[CB_MESSAGE_SNAPSHOT] = 7,     [CB_MESSAGE_SNAPSHOT_REPLY] = 3,
	[CB_MESSAGE_TAKE_OVER] = 0,    [CB_MESSAGE_PROBE] = 0,
	[CB_MESSAGE_PROBE_REPLY] = 2,
};

/* Makes a record that shares `data`; NULL is taken as empty. */
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

/* Returns a copy that shares the data. */
cb_record_t *cb_record_copy(const cb_record_t *record)
{
	return cb_record_new(record->index, record->term, record->kind,
			     record->data);
}

/* Makes an empty message of one kind. */
cb_message_t *cb_message_new(cb_message_kind_t kind)
{
	cb_message_t *message = g_new0(cb_message_t, 1);

	message->kind = kind;
	if (kind == CB_MESSAGE_APPEND)
		message->append.records = g_ptr_array_new_with_free_func(
			(GDestroyNotify)cb_record_delete);
	return message;
}

/* Deletes a message and what it holds; NULL is allowed. */
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
	g_free(message->from_disk);
	g_free(message->to_disk);
	g_free(message->from_address);
	g_free(message);
}

static void pack_text_(msgpack_packer *packer, const char *text)
{
	size_t length = text ? strlen(text) : 0;

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text ? text : "", length);
}

static void pack_bytes_(msgpack_packer *packer, GBytes *bytes)
{
	size_t size;
	const void *data = g_bytes_get_data(bytes, &size);

	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, data ? data : "", size);
}

static void pack_boolean_(msgpack_packer *packer, gboolean value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

static void pack_append_(msgpack_packer *packer, const cb_append_t *append)
{
	uint32_t i;

	msgpack_pack_uint64(packer, append->prev_index);
	msgpack_pack_uint64(packer, append->prev_term);
	msgpack_pack_uint64(packer, append->committed);
	msgpack_pack_uint64(packer, append->round);
	msgpack_pack_array(packer, append->records->len);
	for (i = 0; i < append->records->len; i++) {
		const cb_record_t *record = append->records->pdata[i];

		msgpack_pack_array(packer, RECORD_FIELD_COUNT);
		msgpack_pack_uint64(packer, record->term);
		msgpack_pack_uint32(packer, record->kind);
		pack_bytes_(packer, record->data);
	}
}

static void pack_snapshot_(msgpack_packer *packer,
			   const cb_snapshot_chunk_t *chunk)
{
	msgpack_pack_uint64(packer, chunk->index);
	msgpack_pack_uint64(packer, chunk->index_term);
	msgpack_pack_uint64(packer, chunk->size);
	msgpack_pack_uint64(packer, chunk->offset);
	msgpack_pack_uint64(packer, chunk->digest);
	pack_bytes_(packer, chunk->members);
	pack_bytes_(packer, chunk->data);
}

static void pack_body_(msgpack_packer *packer, const cb_message_t *message)
{
	switch (message->kind) {
	case CB_MESSAGE_VOTE_REQUEST:
		pack_boolean_(packer, message->vote_request.is_pre_vote);
		pack_boolean_(packer, message->vote_request.is_hand_over);
		msgpack_pack_uint64(packer, message->vote_request.last_index);
		msgpack_pack_uint64(packer, message->vote_request.last_term);
		break;
	case CB_MESSAGE_VOTE_REPLY:
		pack_boolean_(packer, message->vote_reply.is_pre_vote);
		pack_boolean_(packer, message->vote_reply.is_granted);
		msgpack_pack_uint64(packer, message->vote_reply.asked_term);
		break;
	case CB_MESSAGE_APPEND:
		pack_append_(packer, &message->append);
		break;
	case CB_MESSAGE_APPEND_REPLY:
		pack_boolean_(packer, message->append_reply.is_accepted);
		msgpack_pack_uint64(packer, message->append_reply.prev_index);
		msgpack_pack_uint64(packer, message->append_reply.index);
		msgpack_pack_uint64(packer, message->append_reply.round);
		break;
	case CB_MESSAGE_SNAPSHOT:
		pack_snapshot_(packer, &message->snapshot);
		break;
	case CB_MESSAGE_SNAPSHOT_REPLY:
		msgpack_pack_uint64(packer, message->snapshot_reply.index);
		msgpack_pack_uint64(packer, message->snapshot_reply.offset);
		pack_boolean_(packer, message->snapshot_reply.is_stored);
		break;
	case CB_MESSAGE_PROBE_REPLY:
		pack_boolean_(packer, message->probe_reply.is_blank);
		msgpack_pack_uint64(packer,
				    message->probe_reply.initial_digest);
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
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint64_t digest = 0;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_sbuffer_write(&buffer, (const char *)&digest, DIGEST_BYTES);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, HEADER_FIELD_COUNT +
					    body_field_count[message->kind]);
	msgpack_pack_uint32(&packer, MESSAGE_VERSION);
	msgpack_pack_uint32(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->term);
	pack_text_(&packer, message->from_disk);
	pack_text_(&packer, message->to_disk);
	pack_text_(&packer, message->from_address);
	pack_body_(&packer, message);
	digest = GUINT64_TO_LE(XXH3_64bits(buffer.data + DIGEST_BYTES,
					   buffer.size - DIGEST_BYTES));
	memcpy(buffer.data, &digest, DIGEST_BYTES);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/* Reads fields one after the other; the first wrong one ends it. */
typedef struct field_reader {
	const msgpack_object *next;
	uint32_t left;
	gboolean is_bad;
} field_reader_t;

static const msgpack_object *field_next_(field_reader_t *reader,
					 msgpack_object_type type)
{
	const msgpack_object *object = reader->next;

	if (reader->is_bad || !reader->left || object->type != type) {
		reader->is_bad = TRUE;
		return NULL;
	}
	reader->next++;
	reader->left--;
	return object;
}

static uint64_t read_number_(field_reader_t *reader)
{
	const msgpack_object *object =
		field_next_(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object ? object->via.u64 : 0;
}

static gboolean read_boolean_(field_reader_t *reader)
{
	const msgpack_object *object =
		field_next_(reader, MSGPACK_OBJECT_BOOLEAN);

	return object ? object->via.boolean : FALSE;
}

static char *read_text_(field_reader_t *reader)
{
	const msgpack_object *object = field_next_(reader, MSGPACK_OBJECT_STR);

	if (!object)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static GBytes *read_bytes_(field_reader_t *reader)
{
	const msgpack_object *object = field_next_(reader, MSGPACK_OBJECT_BIN);

	if (!object)
		return NULL;
	return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
}

static field_reader_t read_array_(field_reader_t *reader)
{
	const msgpack_object *object =
		field_next_(reader, MSGPACK_OBJECT_ARRAY);

	if (!object)
		return (field_reader_t){ .is_bad = TRUE };
	return (field_reader_t){ .next = object->via.array.ptr,
				 .left = object->via.array.size };
}

static void read_append_(field_reader_t *reader, cb_append_t *append)
{
	field_reader_t records;
	uint64_t index;

	append->prev_index = read_number_(reader);
	append->prev_term = read_number_(reader);
	append->committed = read_number_(reader);
	append->round = read_number_(reader);
	records = read_array_(reader);
	index = append->prev_index;
	while (!records.is_bad && records.left) {
		field_reader_t fields = read_array_(&records);
		uint64_t term = read_number_(&fields);
		uint64_t kind = read_number_(&fields);
		GBytes *data = read_bytes_(&fields);

		if (fields.is_bad || fields.left || kind > UINT32_MAX) {
			records.is_bad = TRUE;
		} else {
			index++;
			g_ptr_array_add(append->records,
					cb_record_new(index, term,
						      (uint32_t)kind, data));
		}
		g_clear_pointer(&data, g_bytes_unref);
	}
	reader->is_bad = reader->is_bad || records.is_bad;
}

static void read_snapshot_(field_reader_t *reader, cb_snapshot_chunk_t *chunk)
{
	chunk->index = read_number_(reader);
	chunk->index_term = read_number_(reader);
	chunk->size = read_number_(reader);
	chunk->offset = read_number_(reader);
	chunk->digest = read_number_(reader);
	chunk->members = read_bytes_(reader);
	chunk->data = read_bytes_(reader);
}

static void read_body_(field_reader_t *reader, cb_message_t *message)
{
	switch (message->kind) {
	case CB_MESSAGE_VOTE_REQUEST:
		message->vote_request.is_pre_vote = read_boolean_(reader);
		message->vote_request.is_hand_over = read_boolean_(reader);
		message->vote_request.last_index = read_number_(reader);
		message->vote_request.last_term = read_number_(reader);
		break;
	case CB_MESSAGE_VOTE_REPLY:
		message->vote_reply.is_pre_vote = read_boolean_(reader);
		message->vote_reply.is_granted = read_boolean_(reader);
		message->vote_reply.asked_term = read_number_(reader);
		break;
	case CB_MESSAGE_APPEND:
		read_append_(reader, &message->append);
		break;
	case CB_MESSAGE_APPEND_REPLY:
		message->append_reply.is_accepted = read_boolean_(reader);
		message->append_reply.prev_index = read_number_(reader);
		message->append_reply.index = read_number_(reader);
		message->append_reply.round = read_number_(reader);
		break;
	case CB_MESSAGE_SNAPSHOT:
		read_snapshot_(reader, &message->snapshot);
		break;
	case CB_MESSAGE_SNAPSHOT_REPLY:
		message->snapshot_reply.index = read_number_(reader);
		message->snapshot_reply.offset = read_number_(reader);
		message->snapshot_reply.is_stored = read_boolean_(reader);
		break;
	case CB_MESSAGE_PROBE_REPLY:
		message->probe_reply.is_blank = read_boolean_(reader);
		message->probe_reply.initial_digest = read_number_(reader);
		break;
	case CB_MESSAGE_TAKE_OVER:
	case CB_MESSAGE_PROBE:
	case CB_MESSAGE_KIND_COUNT:
		break;
	}
}

static cb_message_t *message_read_(const msgpack_object *object)
{
	field_reader_t reader = { .next = object->via.array.ptr };
	cb_message_t *message;
	uint64_t version;
	uint64_t kind;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	reader.left = object->via.array.size;
	version = read_number_(&reader);
	kind = read_number_(&reader);
	if (reader.is_bad || version != MESSAGE_VERSION ||
	    kind >= CB_MESSAGE_KIND_COUNT)
		return NULL;
	message = cb_message_new((cb_message_kind_t)kind);
	message->term = read_number_(&reader);
	message->from_disk = read_text_(&reader);
	message->to_disk = read_text_(&reader);
	message->from_address = read_text_(&reader);
	read_body_(&reader, message);
	if (reader.is_bad || reader.left) {
		cb_message_delete(message);
		return NULL;
	}
	return message;
}

/* Decodes a message; NULL when it is damaged or malformed. */
cb_message_t *cb_message_decode(GBytes *bytes)
{
	cb_message_t *message = NULL;
	msgpack_unpacked unpacked;
	uint64_t digest;
	size_t size;
	const char *data = g_bytes_get_data(bytes, &size);
	size_t offset = 0;

	if (size <= DIGEST_BYTES)
		return NULL;
	memcpy(&digest, data, DIGEST_BYTES);
	data += DIGEST_BYTES;
	size -= DIGEST_BYTES;
	if (GUINT64_FROM_LE(digest) != XXH3_64bits(data, size))
		return NULL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, size, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == size)
		message = message_read_(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return message;
}
