#include <string.h>
#include <xxhash.h>

#include "private/members.h"
#include "private/replica_message.h"
#include "support_group.h"
#include "support_main.h"

#define DIGEST_BYTES 8

/* Creates a message of one kind with some fields set. */
static cb_message_t *sample_message_new_(cb_message_kind_t kind)
{
	cb_message_t *message = cb_message_new(kind);
	GBytes *data = g_bytes_new_static("some bytes", 10);
	GPtrArray *members = cb_members_new();

	message->term = 7;
	message->from_disk = g_strdup("disk-a");
	message->to_disk = g_strdup("disk-b");
	message->from_address = g_strdup("127.0.0.1:1");
	cb_members_add(members, "m1", "127.0.0.1:1", TRUE, "disk-a");
	if (kind == CB_MESSAGE_VOTE_REQUEST) {
		message->vote_request.is_pre_vote = TRUE;
		message->vote_request.last_index = 11;
		message->vote_request.last_term = 6;
	} else if (kind == CB_MESSAGE_APPEND) {
		message->append.prev_index = 4;
		message->append.committed = G_MAXUINT64;
		g_ptr_array_add(message->append.records,
				cb_record_new(5, 7, 0, data));
		g_ptr_array_add(message->append.records,
				cb_record_new(6, 7, 1, NULL));
	} else if (kind == CB_MESSAGE_SNAPSHOT) {
		message->snapshot.index = 300;
		message->snapshot.size = 10;
		message->snapshot.members = cb_members_encode(members, "group");
		message->snapshot.data = g_bytes_ref(data);
	}
	g_ptr_array_unref(members);
	g_bytes_unref(data);
	return message;
}

static void messages_are_equal_after_encode_and_decode(void)
{
	int kind;

	for (kind = 0; kind < CB_MESSAGE_KIND_COUNT; kind++) {
		cb_message_t *message =
			sample_message_new_((cb_message_kind_t)kind);
		GBytes *bytes = cb_message_encode(message);
		cb_message_t *decoded = cb_message_decode(bytes);
		GBytes *encoded_again;

		CU_ASSERT_PTR_NOT_NULL(decoded);
		if (!decoded)
			return;
		CU_ASSERT_EQUAL(decoded->kind, message->kind);
		CU_ASSERT_EQUAL(decoded->term, 7);
		CU_ASSERT_STRING_EQUAL(decoded->from_disk, "disk-a");
		CU_ASSERT_STRING_EQUAL(decoded->to_disk, "disk-b");
		encoded_again = cb_message_encode(decoded);
		CU_ASSERT_TRUE(g_bytes_equal(bytes, encoded_again));
		cb_message_delete(message);
		cb_message_delete(decoded);
		g_bytes_unref(bytes);
		g_bytes_unref(encoded_again);
	}
}

static gboolean bytes_are_decoded_(const char *data, size_t size)
{
	GBytes *bytes = g_bytes_new(data, size);
	cb_message_t *message = cb_message_decode(bytes);
	gboolean is_accepted = message != NULL;

	cb_message_delete(message);
	g_bytes_unref(bytes);
	return is_accepted;
}

/* Decoding fails for each truncated length and for each flipped bit. */
static void damaged_messages_are_rejected(void)
{
	uint32_t accepted_count = 0;
	int kind;

	for (kind = 0; kind < CB_MESSAGE_KIND_COUNT; kind++) {
		cb_message_t *message =
			sample_message_new_((cb_message_kind_t)kind);
		GBytes *bytes = cb_message_encode(message);
		size_t size;
		char *data = g_bytes_unref_to_data(bytes, &size);
		size_t i;

		for (i = 0; i < size; i++)
			accepted_count += bytes_are_decoded_(data, i);
		for (i = 0; i < size * 8; i++) {
			data[i / 8] = (char)(data[i / 8] ^ (1 << i % 8));
			accepted_count += bytes_are_decoded_(data, size);
			data[i / 8] = (char)(data[i / 8] ^ (1 << i % 8));
		}
		g_free(data);
		cb_message_delete(message);
	}
	CU_ASSERT_EQUAL(accepted_count, 0);
}

/*
 * Writes the correct digest for the first `size` bytes and passes them to a
 * member as a message.
 */
static void raw_message_deliver_(group_member_t *member, char *data,
				 size_t size)
{
	uint64_t digest = GUINT64_TO_LE(
		XXH3_64bits(data + DIGEST_BYTES, size - DIGEST_BYTES));
	GBytes *bytes;

	memcpy(data, &digest, DIGEST_BYTES);
	bytes = g_bytes_new(data, size);
	cb_replica_receive(member->replica, "m1", bytes);
	g_bytes_unref(bytes);
}

/*
 * Truncated and altered messages whose digest is correct reach the decoder and
 * the member; neither may crash or stop.
 */
static void malformed_messages_do_not_stop_a_member(void)
{
	group_t *group = group_new(1, 3);
	group_member_t *member = &group->members[2];
	int kind;

	group_start(member);
	for (kind = 0; kind < CB_MESSAGE_KIND_COUNT; kind++) {
		cb_message_t *message =
			sample_message_new_((cb_message_kind_t)kind);
		GBytes *bytes = cb_message_encode(message);
		size_t size;
		char *data = g_bytes_unref_to_data(bytes, &size);
		size_t i;

		for (i = DIGEST_BYTES + 1; i < size; i++)
			raw_message_deliver_(member, data, i);
		for (i = DIGEST_BYTES * 8; i < size * 8; i++) {
			data[i / 8] = (char)(data[i / 8] ^ (1 << i % 8));
			raw_message_deliver_(member, data, size);
			data[i / 8] = (char)(data[i / 8] ^ (1 << i % 8));
		}
		group_run(group, 100);
		g_free(data);
		cb_message_delete(message);
	}
	CU_ASSERT_TRUE(member->is_up);
	group_delete(group);
}

static CU_TestInfo tests[] = {
	{ "messages_are_equal_after_encode_and_decode",
	  messages_are_equal_after_encode_and_decode },
	{ "damaged_messages_are_rejected", damaged_messages_are_rejected },
	{ "malformed_messages_do_not_stop_a_member",
	  malformed_messages_do_not_stop_a_member },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_message", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
