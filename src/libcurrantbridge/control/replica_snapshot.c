#include "private/replica.h"

#include <xxhash.h>

/* Records kept in memory after a snapshot, for members a little behind. */
#define KEPT_RECORDS 1024
#define KEPT_MAX_BYTES (1024 * 1024)

/* Frees what a snapshot holds and zeroes it. */
void cb_snapshot_clear(cb_snapshot_t *snapshot)
{
	g_clear_pointer(&snapshot->members, g_bytes_unref);
	g_clear_pointer(&snapshot->data, g_bytes_unref);
	snapshot->index = 0;
	snapshot->term = 0;
}

/* Forgets a snapshot that was on its way here. */
void cb_incoming_clear(cb_incoming_t *incoming)
{
	g_clear_pointer(&incoming->data, g_byte_array_unref);
	*incoming = (cb_incoming_t){ 0 };
}

/* Whether the log has outgrown the last snapshot. */
static gboolean is_due_(const cb_replica_t *replica)
{
	uint64_t bytes =
		cb_replica_log_bytes(replica->log, replica->snapshot.index,
				     replica->applied);
	uint64_t bound = replica->snapshot_every_bytes;

	if (replica->snapshot.data)
		bound = MAX(bound, g_bytes_get_size(replica->snapshot.data));
	return !replica->is_saving_snapshot && bytes >= bound;
}

/* Takes a snapshot when the log has outgrown the last one. */
void cb_snapshot_take_if_due(cb_replica_t *replica)
{
	GPtrArray *members;
	uint64_t index;

	if (!is_due_(replica))
		return;
	members = cb_membership_at(replica, replica->applied, &index, NULL);
	cb_snapshot_clear(&replica->snapshot);
	replica->snapshot.index = replica->applied;
	cb_replica_log_term(replica->log, replica->applied,
			    &replica->snapshot.term);
	replica->snapshot.members =
		cb_members_encode(members, replica->group_id);
	replica->snapshot.data =
		replica->machine->vtable->snapshot(replica->machine);
	g_ptr_array_unref(members);
	cb_replica_count(replica, CB_REPLICA_COUNT_SNAPSHOT_TAKEN);
	cb_replica_store_snapshot(replica);
}

static void incoming_answer_(cb_replica_t *replica, const char *to,
			     const char *to_disk, uint64_t index,
			     uint64_t offset, gboolean is_stored)
{
	cb_message_t *reply = cb_message_new(CB_MESSAGE_SNAPSHOT_REPLY);

	reply->term = replica->term;
	reply->snapshot_reply.index = index;
	reply->snapshot_reply.offset = offset;
	reply->snapshot_reply.is_stored = is_stored;
	cb_replica_send(replica, to, NULL, to_disk, reply);
}

/* Drops the records that a snapshot covers, but for the last few. */
static void log_compact_(cb_replica_t *replica, uint64_t index)
{
	uint64_t through = index > KEPT_RECORDS ? index - KEPT_RECORDS : 0;
	uint64_t kept_bytes =
		MIN(replica->snapshot_every_bytes, (uint64_t)KEPT_MAX_BYTES);

	while (through < index &&
	       cb_replica_log_bytes(replica->log, through, index) > kept_bytes)
		through++;
	cb_replica_log_compact(replica->log, through);
}

/* The snapshot is durable: drops the records that it covers. */
void cb_snapshot_stored(cb_replica_t *replica)
{
	uint64_t index = replica->snapshot.index;

	replica->is_saving_snapshot = FALSE;
	log_compact_(replica, index);
	if (!replica->incoming.is_storing)
		return;
	replica->durable = MAX(replica->durable, index);
	replica->verified = MAX(replica->verified, index);
	cb_incoming_clear(&replica->incoming);
	cb_append_stored(replica);
}

/* Begins to send a peer the last snapshot. */
void cb_snapshot_send_begin(cb_replica_t *replica, cb_peer_t *peer)
{
	const cb_snapshot_t *last = &replica->snapshot;

	cb_replica_count(replica, CB_REPLICA_COUNT_SNAPSHOT_SENT);
	peer->snapshot = g_new0(cb_snapshot_t, 1);
	peer->snapshot->index = last->index;
	peer->snapshot->term = last->term;
	peer->snapshot->members = g_bytes_ref(last->members);
	peer->snapshot->data = g_bytes_ref(last->data);
	peer->snapshot_offset = 0;
	peer->snapshot_digest = XXH3_64bits(g_bytes_get_data(last->data, NULL),
					    g_bytes_get_size(last->data));
	peer->progress_ms = cb_replica_now_ms(replica);
	cb_snapshot_send_chunk(replica, peer);
}

/* Ends the sending of a snapshot, if one is being sent. */
void cb_snapshot_send_end(cb_peer_t *peer)
{
	if (!peer->snapshot)
		return;
	cb_snapshot_clear(peer->snapshot);
	g_clear_pointer(&peer->snapshot, g_free);
}

/* Sends the piece that the peer wants next. */
void cb_snapshot_send_chunk(cb_replica_t *replica, cb_peer_t *peer)
{
	const cb_snapshot_t *snapshot = peer->snapshot;
	uint64_t size = g_bytes_get_size(snapshot->data);
	uint64_t length = MIN(size - peer->snapshot_offset,
			      (uint64_t)CB_SNAPSHOT_CHUNK_BYTES);
	cb_message_t *message = cb_message_new(CB_MESSAGE_SNAPSHOT);

	message->term = replica->term;
	message->snapshot.index = snapshot->index;
	message->snapshot.index_term = snapshot->term;
	message->snapshot.size = size;
	message->snapshot.offset = peer->snapshot_offset;
	message->snapshot.digest = peer->snapshot_digest;
	message->snapshot.members = g_bytes_ref(snapshot->members);
	message->snapshot.data =
		g_bytes_new_from_bytes(snapshot->data, peer->snapshot_offset,
				       length);
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
}

/* Sends the next piece, or goes on with records after the last one. */
void cb_snapshot_reply_receive(cb_replica_t *replica, cb_peer_t *peer,
			       const cb_message_t *message)
{
	const cb_snapshot_reply_t *reply = &message->snapshot_reply;
	uint64_t size;

	if (!peer->snapshot || reply->index != peer->snapshot->index)
		return;
	peer->progress_ms = cb_replica_now_ms(replica);
	if (reply->is_stored) {
		peer->match = MAX(peer->match, reply->index);
		peer->next = peer->match + 1;
		peer->is_probing = FALSE;
		cb_snapshot_send_end(peer);
		cb_replication_send(replica, peer);
		return;
	}
	size = g_bytes_get_size(peer->snapshot->data);
	if (reply->offset > size || reply->offset == peer->snapshot_offset)
		return;
	peer->snapshot_offset = reply->offset;
	if (reply->offset < size)
		cb_snapshot_send_chunk(replica, peer);
}

static void incoming_begin_(cb_replica_t *replica,
			    const cb_snapshot_chunk_t *chunk)
{
	cb_incoming_t *incoming = &replica->incoming;

	cb_incoming_clear(incoming);
	incoming->index = chunk->index;
	incoming->index_term = chunk->index_term;
	incoming->digest = chunk->digest;
	incoming->data = g_byte_array_new();
}

/* Puts a whole snapshot in place of the state and the log. */
static gboolean install_(cb_replica_t *replica,
			 const cb_snapshot_chunk_t *chunk, GError **error)
{
	cb_snapshot_t *snapshot = &replica->snapshot;
	GBytes *data = g_byte_array_free_to_bytes(
		g_steal_pointer(&replica->incoming.data));
	uint64_t term = 0;

	if (!replica->machine->vtable->restore(replica->machine, chunk->index,
					       data, error)) {
		g_bytes_unref(data);
		return FALSE;
	}
	cb_snapshot_clear(snapshot);
	snapshot->index = chunk->index;
	snapshot->term = chunk->index_term;
	snapshot->members = g_bytes_ref(chunk->members);
	snapshot->data = data;
	if (cb_replica_log_term(replica->log, chunk->index, &term) &&
	    term == chunk->index_term) {
		cb_replica_log_compact(replica->log, chunk->index);
	} else {
		cb_replica_truncate(replica,
				    MAX(replica->committed + 1,
					cb_replica_log_first(replica->log)));
		cb_replica_log_reset(replica->log, chunk->index,
				     chunk->index_term);
	}
	replica->handed = MAX(replica->handed, chunk->index);
	replica->committed = chunk->index;
	replica->applied = chunk->index;
	replica->incoming.is_storing = TRUE;
	cb_replica_count(replica, CB_REPLICA_COUNT_SNAPSHOT_INSTALLED);
	cb_log_event(replica->event_log, CB_EVENT_SNAPSHOT_INSTALLED,
		     CB_INT("index", chunk->index));
	cb_membership_adopt(replica);
	cb_replica_store_snapshot(replica);
	return TRUE;
}

/* Adds a piece that follows the ones here; installs a whole snapshot. */
static void chunk_take_(cb_replica_t *replica, const cb_snapshot_chunk_t *chunk)
{
	GByteArray *data = replica->incoming.data;
	GError *error = NULL;
	size_t length;
	const void *bytes = g_bytes_get_data(chunk->data, &length);

	if (chunk->offset == data->len && length <= chunk->size - data->len)
		g_byte_array_append(data, bytes, (uint32_t)length);
	if (data->len < chunk->size || replica->is_saving_snapshot)
		return;
	if (XXH3_64bits(data->data, data->len) != chunk->digest) {
		incoming_begin_(replica, chunk);
		return;
	}
	if (!install_(replica, chunk, &error)) {
		cb_replica_fail(replica, error);
		g_error_free(error);
		return;
	}
	if (replica->listener.applied)
		replica->listener.applied(replica->listener.user_data,
					  replica->applied);
}

/* Takes in one piece of the leader's snapshot. */
void cb_snapshot_receive(cb_replica_t *replica, const char *from,
			 const cb_message_t *message)
{
	const cb_snapshot_chunk_t *chunk = &message->snapshot;
	cb_incoming_t *incoming = &replica->incoming;
	GPtrArray *members;

	if (message->term < replica->term ||
	    (cb_replica_leads(replica) && message->term == replica->term))
		return;
	cb_append_follow(replica, from, message->term);
	if (chunk->index <= replica->committed) {
		/* Stored, or covered by what is: the leader can go on. */
		if (!incoming->is_storing && replica->durable >= chunk->index)
			incoming_answer_(replica, from, message->from_disk,
					 chunk->index, 0, TRUE);
		return;
	}
	members = cb_members_decode(chunk->members, NULL);
	if (!members || chunk->size > CB_SNAPSHOT_MAX_BYTES) {
		g_clear_pointer(&members, g_ptr_array_unref);
		return;
	}
	g_ptr_array_unref(members);
	if (!incoming->data || incoming->index != chunk->index ||
	    incoming->index_term != chunk->index_term ||
	    incoming->digest != chunk->digest)
		incoming_begin_(replica, chunk);
	chunk_take_(replica, chunk);
	if (replica->incoming.data)
		incoming_answer_(replica, from, message->from_disk,
				 chunk->index, replica->incoming.data->len,
				 FALSE);
}
