#include "private/members.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

#define MEMBER_FIELD_COUNT 4

static void member_delete_(void *data)
{
	cb_replica_member_t *member = data;

	g_free(member->name);
	g_free(member->address);
	g_free(member->disk_id);
	g_free(member);
}

static int member_compare_(const void *left, const void *right)
{
	const cb_replica_member_t *const *a = left;
	const cb_replica_member_t *const *b = right;

	return strcmp((*a)->name, (*b)->name);
}

/* Makes an empty list, which frees its members. */
GPtrArray *cb_members_new(void)
{
	return g_ptr_array_new_with_free_func(member_delete_);
}

/* Returns a deep copy of a list. */
GPtrArray *cb_members_copy(const GPtrArray *members)
{
	GPtrArray *copy = cb_members_new();
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		cb_members_add(copy, member->name, member->address,
			       member->is_voter, member->disk_id);
	}
	return copy;
}

/* Adds a member; a NULL `disk_id` is taken as an empty one. */
void cb_members_add(GPtrArray *members, const char *name, const char *address,
		    gboolean is_voter, const char *disk_id)
{
	cb_replica_member_t *member = g_new0(cb_replica_member_t, 1);

	member->name = g_strdup(name);
	member->address = g_strdup(address);
	member->is_voter = is_voter;
	member->disk_id = g_strdup(disk_id ? disk_id : "");
	g_ptr_array_add(members, member);
	g_ptr_array_sort(members, member_compare_);
}

/* Removes the member called `name`, if it is in the list. */
void cb_members_remove(GPtrArray *members, const char *name)
{
	cb_replica_member_t *member = cb_members_find(members, name);

	if (member)
		g_ptr_array_remove(members, member);
}

/* Returns the member called `name`, or NULL. */
cb_replica_member_t *cb_members_find(const GPtrArray *members, const char *name)
{
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		cb_replica_member_t *member = members->pdata[i];

		if (!strcmp(member->name, name))
			return member;
	}
	return NULL;
}

/* Returns the member whose disk is `disk_id`, or NULL. */
cb_replica_member_t *cb_members_find_disk(const GPtrArray *members,
					  const char *disk_id)
{
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		cb_replica_member_t *member = members->pdata[i];

		if (!strcmp(member->disk_id, disk_id))
			return member;
	}
	return NULL;
}

/* Returns how many members vote. */
uint32_t cb_members_voter_count(const GPtrArray *members)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		count += member->is_voter ? 1 : 0;
	}
	return count;
}

static void pack_text_(msgpack_packer *packer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

/* Encodes a list as msgpack. */
GBytes *cb_members_encode(const GPtrArray *members)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;
	uint32_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, members->len);
	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		msgpack_pack_array(&packer, MEMBER_FIELD_COUNT);
		pack_text_(&packer, member->name);
		pack_text_(&packer, member->address);
		pack_text_(&packer, member->disk_id);
		if (member->is_voter)
			msgpack_pack_true(&packer);
		else
			msgpack_pack_false(&packer);
	}
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

static char *text_read_(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static gboolean member_read_(GPtrArray *members, const msgpack_object *object)
{
	const msgpack_object *field = object->via.array.ptr;
	char *text[3] = { NULL, NULL, NULL };
	gboolean is_read = FALSE;
	int i;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != MEMBER_FIELD_COUNT ||
	    field[3].type != MSGPACK_OBJECT_BOOLEAN)
		return FALSE;
	for (i = 0; i < 3; i++)
		text[i] = text_read_(&field[i]);
	if (text[0] && text[1] && text[2]) {
		cb_members_add(members, text[0], text[1], field[3].via.boolean,
			       text[2]);
		is_read = TRUE;
	}
	for (i = 0; i < 3; i++)
		g_free(text[i]);
	return is_read;
}

/* Decodes what cb_members_encode() made; NULL when it is malformed. */
GPtrArray *cb_members_decode(GBytes *bytes)
{
	GPtrArray *members = cb_members_new();
	gboolean is_read = FALSE;
	msgpack_unpacked unpacked;
	size_t size;
	const char *data = g_bytes_get_data(bytes, &size);
	size_t offset = 0;
	uint32_t i;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, size, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != size || unpacked.data.type != MSGPACK_OBJECT_ARRAY)
		goto out;
	for (i = 0; i < unpacked.data.via.array.size; i++)
		if (!member_read_(members, &unpacked.data.via.array.ptr[i]))
			goto out;
	is_read = TRUE;
out:
	msgpack_unpacked_destroy(&unpacked);
	if (!is_read)
		g_clear_pointer(&members, g_ptr_array_unref);
	return members;
}

/* Returns a digest of the list, by which two settings are compared. */
uint64_t cb_members_digest(const GPtrArray *members)
{
	GBytes *bytes = cb_members_encode(members);
	uint64_t digest = XXH3_64bits(g_bytes_get_data(bytes, NULL),
				      g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return digest;
}
