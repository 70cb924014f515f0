#include "private/replica.h"

#include <xxhash.h>

/*
 * Limits of the records kept in memory after a snapshot, so that members that
 * are slightly behind need no snapshot.
 */
#define KEPT_RECORD_COUNT 1024
#define KEPT_MAX_BYTES (1024 * 1024)

/* Frees the data of a snapshot and sets its fields to zero. */
void cb_snapshot_clear(cb_snapshot_t *snapshot)
{
	g_clear_pointer(&snapshot->members, g_bytes_unref);
	g_clear_pointer(&snapshot->data, g_bytes_unref);
	snapshot->index = 0;
	snapshot->term = 0;
}

/* Discards a snapshot that is being received. */
void cb_incoming_clear(cb_incoming_t *incoming)
{
	g_clear_pointer(&incoming->data, g_byte_array_unref);
	*incoming = (cb_incoming_t){ 0 };
}

/*
 * Whether the applied records since the last snapshot have reached both
 * `snapshot_every_bytes` and the size of that snapshot.
 */
static gboolean snapshot_is_due_(const cb_replica_t *replica)
{
	uint64_t log_bytes =
		cb_replica_log_bytes(replica->log, replica->snapshot.index,
				     replica->applied);
	uint64_t threshold_bytes = replica->snapshot_every_bytes;

	if (replica->snapshot.data)
		threshold_bytes = MAX(threshold_bytes,
				      g_bytes_get_size(replica->snapshot.data));
	return !replica->is_saving_snapshot && log_bytes >= threshold_bytes;
}

/* Takes a snapshot when the log has grown enough since the last one. */
void cb_snapshot_take_if_due(cb_replica_t *replica)
{
	GPtrArray *members;
	uint64_t index;

	if (!snapshot_is_due_(replica))
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

/* Reports to the leader how much of its snapshot has been received. */
static void snapshot_reply_send_(cb_replica_t *replica, const char *to,
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

/* Drops the records up to `index` from memory, except for the latest ones. */
static void log_compact_(cb_replica_t *replica, uint64_t index)
{
	uint64_t through_index =
		index > KEPT_RECORD_COUNT ? index - KEPT_RECORD_COUNT : 0;
	uint64_t kept_bytes =
		MIN(replica->snapshot_every_bytes, (uint64_t)KEPT_MAX_BYTES);

	while (through_index < index &&
	       cb_replica_log_bytes(replica->log, through_index, index) >
		       kept_bytes)
		through_index++;
	cb_replica_log_compact(replica->log, through_index);
}

/* Called when the snapshot is durable; drops the records that it covers. */
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

/* Starts sending the latest snapshot to a peer. */
void cb_snapshot_send_begin(cb_replica_t *replica, cb_peer_t *peer)
{
	const cb_snapshot_t *latest = &replica->snapshot;

	cb_replica_count(replica, CB_REPLICA_COUNT_SNAPSHOT_SENT);
	peer->snapshot = g_new0(cb_snapshot_t, 1);
	peer->snapshot->index = latest->index;
	peer->snapshot->term = latest->term;
	peer->snapshot->members = g_bytes_ref(latest->members);
	peer->snapshot->data = g_bytes_ref(latest->data);
	peer->snapshot_offset = 0;
	peer->snapshot_digest =
		XXH3_64bits(g_bytes_get_data(latest->data, NULL),
			    g_bytes_get_size(latest->data));
	peer->progress_ms = cb_replica_now_ms(replica);
	cb_snapshot_send_chunk(replica, peer);
}

/* Stops sending a snapshot to a peer, if one is being sent. */
void cb_snapshot_send_end(cb_peer_t *peer)
{
	if (!peer->snapshot)
		return;
	cb_snapshot_clear(peer->snapshot);
	g_clear_pointer(&peer->snapshot, g_free);
}

/* Sends a peer the snapshot chunk at `peer->snapshot_offset`. */
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

/*
 * Handles a peer's reply to a chunk: sends the next chunk, or continues with
 * records when the peer has stored the whole snapshot.
 */
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

static void incoming_snapshot_begin_(cb_replica_t *replica,
				     const cb_snapshot_chunk_t *chunk)
{
	cb_incoming_t *incoming = &replica->incoming;

	cb_incoming_clear(incoming);
	incoming->index = chunk->index;
	incoming->index_term = chunk->index_term;
	incoming->digest = chunk->digest;
	incoming->data = g_byte_array_new();
}

/* Replaces the state and the log by the snapshot that was received. */
static gboolean snapshot_install_(cb_replica_t *replica,
				  const cb_snapshot_chunk_t *chunk,
				  GError **error)
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
		cb_replica_truncate(replica, MAX(replica->committed + 1,
						 cb_replica_log_first_index(
							 replica->log)));
		cb_replica_log_reset(replica->log, chunk->index,
				     chunk->index_term);
	}
	replica->submitted_index = MAX(replica->submitted_index, chunk->index);
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

/*
 * Adds a chunk to the snapshot being received if it is the next one.  Installs
 * the snapshot once it is complete; if its digest is wrong, starts to receive
 * it again.
 */
static void chunk_add_(cb_replica_t *replica, const cb_snapshot_chunk_t *chunk)
{
	GByteArray *data = replica->incoming.data;
	GError *error = NULL;
	size_t length;
	const void *chunk_bytes = g_bytes_get_data(chunk->data, &length);

	if (chunk->offset == data->len && length <= chunk->size - data->len)
		g_byte_array_append(data, chunk_bytes, (uint32_t)length);
	if (data->len < chunk->size || replica->is_saving_snapshot)
		return;
	if (XXH3_64bits(data->data, data->len) != chunk->digest) {
		incoming_snapshot_begin_(replica, chunk);
		return;
	}
	if (!snapshot_install_(replica, chunk, &error)) {
		cb_replica_fail(replica, error);
		g_error_free(error);
		return;
	}
	if (replica->listener.applied)
		replica->listener.applied(replica->listener.user_data,
					  replica->applied);
}

/* Handles one chunk of the leader's snapshot. */
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
		/*
		 * The whole snapshot is durable: the leader can send records.
		 */
		if (!incoming->is_storing && replica->durable >= chunk->index)
			snapshot_reply_send_(replica, from, message->from_disk,
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
		incoming_snapshot_begin_(replica, chunk);
	chunk_add_(replica, chunk);
	if (replica->incoming.data)
		snapshot_reply_send_(replica, from, message->from_disk,
				     chunk->index, replica->incoming.data->len,
				     FALSE);
}
