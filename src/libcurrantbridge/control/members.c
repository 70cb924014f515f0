#include "private/members.h"

#include <string.h>
#include <xxhash.h>

#include "private/pack.h"

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

/* Creates an empty list of members, which the list owns. */
GPtrArray *cb_members_new(void)
{
	return g_ptr_array_new_with_free_func(member_delete_);
}

/* Returns a deep copy of a list of members. */
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

/* Adds a member; a NULL `disk_id` is stored as an empty string. */
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

/* Removes the member named `name`, if it is in the list of members. */
void cb_members_remove(GPtrArray *members, const char *name)
{
	cb_replica_member_t *member = cb_members_find(members, name);

	if (member)
		g_ptr_array_remove(members, member);
}

/* Returns the member named `name`, or NULL. */
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

/* Returns the member whose disk has the ID `disk_id`, or NULL. */
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

/* Returns the number of voters in a list of members. */
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

/* Encodes a list of members and the ID of their group as msgpack. */
GBytes *cb_members_encode(const GPtrArray *members, const char *group_id)
{
	cb_pack_t pack;
	uint32_t i;

	cb_pack_init(&pack);
	cb_pack_array(&pack, members->len + 1);
	cb_pack_string(&pack, group_id);
	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		cb_pack_array(&pack, MEMBER_FIELD_COUNT);
		cb_pack_string(&pack, member->name);
		cb_pack_string(&pack, member->address);
		cb_pack_string(&pack, member->disk_id);
		cb_pack_bool(&pack, member->is_voter);
	}
	return cb_pack_finish(&pack);
}

/* Decodes and adds one member; FALSE if it is malformed. */
static gboolean member_decode_(GPtrArray *members, const msgpack_object *object)
{
	cb_fields_t fields;
	gboolean is_voter;
	char *name;
	char *address;
	char *disk_id;

	cb_fields_open(&fields, object);
	name = cb_fields_required_string(&fields);
	address = cb_fields_required_string(&fields);
	disk_id = cb_fields_required_string(&fields);
	is_voter = cb_fields_bool(&fields);
	if (cb_fields_are_complete(&fields))
		cb_members_add(members, name, address, is_voter, disk_id);
	g_free(name);
	g_free(address);
	g_free(disk_id);
	return cb_fields_are_complete(&fields);
}

/*
 * Decodes the output of cb_members_encode(); returns NULL if it is malformed.
 * The caller frees the group ID; `group_id` may be NULL.
 */
GPtrArray *cb_members_decode(GBytes *bytes, char **group_id)
{
	GPtrArray *members = cb_members_new();
	cb_fields_t fields = { .is_malformed = TRUE };
	cb_unpack_t unpack;
	char *id = NULL;

	if (cb_unpack_init(&unpack, bytes)) {
		cb_fields_open(&fields, &unpack.unpacked.data);
		id = cb_fields_required_string(&fields);
		while (!fields.is_malformed && fields.unread_count)
			fields.is_malformed =
				!member_decode_(members,
						cb_fields_object(&fields));
		cb_unpack_clear(&unpack);
	}
	if (fields.is_malformed)
		g_clear_pointer(&members, g_ptr_array_unref);
	if (group_id && members)
		*group_id = g_steal_pointer(&id);
	g_free(id);
	return members;
}

/* Returns a hash of a list of members, by which two lists are compared. */
uint64_t cb_members_digest(const GPtrArray *members)
{
	GBytes *bytes = cb_members_encode(members, "");
	uint64_t digest = XXH3_64bits(g_bytes_get_data(bytes, NULL),
				      g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return digest;
}
