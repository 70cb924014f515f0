#include "private/replica.h"

#include <string.h>

/* Records are resent to a peer without progress for this many heartbeats. */
#define RESEND_AFTER_HEARTBEATS 3
/* Commits within this time are announced together, without a heartbeat. */
#define COMMIT_ANNOUNCE_DELAY_MS 5

static void peer_delete_(void *data)
{
	cb_peer_t *peer = data;

	cb_snapshot_send_end(peer);
	g_free(peer->name);
	g_free(peer->address);
	g_free(peer->disk_id);
	g_free(peer);
}

/* Returns the peer called `name`, or NULL. */
cb_peer_t *cb_peer_find(const cb_replica_t *replica, const char *name)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

/* Whether a message arrived from the peer within the election timeout. */
gboolean cb_peer_is_in_contact(const cb_replica_t *replica,
			       const cb_peer_t *peer)
{
	return peer->last_received_ms >=
	       cb_replica_now_ms(replica) - replica->election_timeout_ms;
}

/*
 * Returns for how long this leader has sent heartbeats to the peer without an
 * answer.  Time in which this process did not run does not count.
 */
int64_t cb_peer_silence_ms(const cb_replica_t *replica, const cb_peer_t *peer)
{
	return peer->unanswered_heartbeats * replica->heartbeat_ms;
}

/* Resets the leader's record of a peer's progress. */
static void peer_progress_reset_(cb_replica_t *replica, cb_peer_t *peer)
{
	cb_snapshot_send_end(peer);
	peer->last_received_ms = -1;
	peer->unanswered_heartbeats = 0;
	peer->progress_ms = cb_replica_now_ms(replica);
	peer->match = 0;
	peer->next = cb_replica_log_last_index(replica->log) + 1;
	peer->round = 0;
	peer->is_probing = TRUE;
	peer->is_probe_sent = FALSE;
}

static cb_peer_t *peer_new_(cb_replica_t *replica,
			    const cb_replica_member_t *member)
{
	cb_peer_t *peer = g_new0(cb_peer_t, 1);

	peer->name = g_strdup(member->name);
	peer->disk_id = g_strdup(member->disk_id);
	peer_progress_reset_(replica, peer);
	return peer;
}

/* Removes and returns the peer with a member's name and disk, or NULL. */
static cb_peer_t *peer_steal_(cb_replica_t *replica,
			      const cb_replica_member_t *member)
{
	cb_peer_t *peer = cb_peer_find(replica, member->name);
	uint32_t i;

	if (!peer || strcmp(peer->disk_id, member->disk_id))
		return NULL;
	g_ptr_array_find(replica->peers, peer, &i);
	return g_ptr_array_steal_index(replica->peers, i);
}

/*
 * Rebuilds the peers from the present members; keeps the state of a peer whose
 * disk is the same.
 */
void cb_replica_sync_peers(cb_replica_t *replica)
{
	GPtrArray *peers = g_ptr_array_new_with_free_func(peer_delete_);
	uint32_t i;

	for (i = 0; i < replica->members->len; i++) {
		const cb_replica_member_t *member = replica->members->pdata[i];
		cb_peer_t *peer;

		if (!strcmp(member->name, replica->name))
			continue;
		peer = replica->peers ? peer_steal_(replica, member) : NULL;
		if (!peer)
			peer = peer_new_(replica, member);
		peer->is_voter = member->is_voter;
		g_free(peer->address);
		peer->address = g_strdup(member->address);
		g_ptr_array_add(peers, peer);
	}
	if (replica->peers)
		g_ptr_array_unref(replica->peers);
	replica->peers = peers;
}

/* Becomes the leader of the present term. */
void cb_replication_become_leader(cb_replica_t *replica)
{
	uint32_t i;

	cb_timer_stop(replica->election_timer);
	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		peer_progress_reset_(replica, peer);
		/* A recent vote counts as contact for one election timeout. */
		if (peer->is_vote_granted)
			peer->last_received_ms = cb_replica_now_ms(replica);
	}
	replica->round = 0;
	cb_replica_set_role(replica, CB_REPLICA_ROLE_LEADER);
	cb_replica_set_leader(replica, replica->name);
	replica->term_start = cb_proposal_append(replica, CB_RECORD_NOOP, NULL);
	cb_timer_start(replica->heartbeat_timer, replica->heartbeat_ms);
}

/* Returns the term of the record `*prev`; if unknown, sets `*prev` to 0. */
static uint64_t previous_term_find_(const cb_replica_t *replica, uint64_t *prev)
{
	uint64_t term = 0;

	/* Index 0 matches every log, so it stands for an unknown record. */
	if (!cb_replica_log_term(replica->log, *prev, &term))
		*prev = 0;
	return term;
}

/* Returns an append message without records that follows the index `prev`. */
static cb_message_t *append_message_new_(cb_replica_t *replica, uint64_t prev)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_APPEND);

	message->term = replica->term;
	message->append.prev_term = previous_term_find_(replica, &prev);
	message->append.prev_index = prev;
	message->append.committed = replica->committed;
	message->append.round = replica->round;
	return message;
}

/* Sends the next batch of records; returns FALSE if there is none. */
static gboolean records_batch_send_(cb_replica_t *replica, cb_peer_t *peer)
{
	cb_message_t *message = append_message_new_(replica, peer->next - 1);
	GPtrArray *records = message->append.records;
	const cb_record_t *record;
	size_t bytes = 0;

	while (records->len < CB_APPEND_MAX_RECORDS &&
	       (record = cb_replica_log_get(replica->log, peer->next))) {
		bytes += g_bytes_get_size(record->data);
		if (records->len && bytes > CB_APPEND_MAX_BYTES)
			break;
		g_ptr_array_add(records, cb_record_copy(record));
		peer->next++;
	}
	if (!records->len) {
		cb_message_delete(message);
		return FALSE;
	}
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
	return TRUE;
}

/*
 * Whether more records may be sent before the peer acknowledges earlier ones.
 */
static gboolean peer_may_receive_more_(const cb_replica_t *replica,
				       const cb_peer_t *peer)
{
	uint64_t sent = peer->next - 1;

	if (peer->is_probing)
		return !peer->is_probe_sent;
	return sent - peer->match < CB_IN_FLIGHT_MAX_RECORDS &&
	       cb_replica_log_bytes(replica->log, peer->match, sent) <
		       CB_IN_FLIGHT_MAX_BYTES;
}

/* Sends a peer the records or the snapshot that it lacks, within its window. */
void cb_replication_send(cb_replica_t *replica, cb_peer_t *peer)
{
	if (peer->snapshot)
		return;
	if (peer->next < cb_replica_log_first_index(replica->log)) {
		cb_snapshot_send_begin(replica, peer);
		return;
	}
	if (peer->next - 1 == peer->match)
		peer->progress_ms = cb_replica_now_ms(replica);
	while (peer_may_receive_more_(replica, peer) &&
	       records_batch_send_(replica, peer))
		peer->is_probe_sent = TRUE;
}

/* Sends every peer the records or the snapshot that it lacks. */
void cb_replication_send_all(cb_replica_t *replica)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++)
		cb_replication_send(replica, replica->peers->pdata[i]);
}

/*
 * Sends every peer a heartbeat with the committed index and the round of read
 * confirmation.
 */
void cb_replication_heartbeat(cb_replica_t *replica)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		cb_replica_send(replica, peer->name, peer->address,
				peer->disk_id,
				append_message_new_(replica, peer->match));
	}
}

/*
 * Resends records to a peer that has made no progress for several heartbeats.
 */
static void records_resend_(cb_replica_t *replica, cb_peer_t *peer)
{
	int64_t stalled_ms = cb_replica_now_ms(replica) - peer->progress_ms;

	if (stalled_ms < RESEND_AFTER_HEARTBEATS * replica->heartbeat_ms)
		return;
	peer->progress_ms = cb_replica_now_ms(replica);
	if (peer->snapshot || peer->next > peer->match + 1)
		cb_replica_count(replica, CB_REPLICA_COUNT_RESENT);
	if (peer->snapshot) {
		cb_snapshot_send_chunk(replica, peer);
		return;
	}
	if (peer->is_probing) {
		peer->next = MIN(peer->next,
				 cb_replica_log_last_index(replica->log));
		peer->next = MAX(peer->next, peer->match + 1);
	} else if (peer->next > peer->match + 1) {
		peer->next = peer->match + 1;
		peer->is_probing = TRUE;
	}
	peer->is_probe_sent = FALSE;
	cb_replication_send(replica, peer);
}

/* Called on the leader at each heartbeat interval. */
void cb_replication_tick(cb_replica_t *replica)
{
	uint32_t i;

	if (!cb_election_has_majority_contact(replica)) {
		cb_election_resign(replica);
		return;
	}
	cb_replication_heartbeat(replica);
	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		peer->unanswered_heartbeats++;
		records_resend_(replica, peer);
	}
	cb_election_hand_over_step(replica);
}

static void append_refusal_handle_(cb_replica_t *replica, cb_peer_t *peer,
				   const cb_append_reply_t *reply)
{
	/*
	 * The reply is outdated, or answers a heartbeat and the peer lacks
	 * nothing.
	 */
	if (reply->prev_index <= peer->match || peer->snapshot)
		return;
	peer->next = CLAMP(reply->index + 1, peer->match + 1,
			   cb_replica_log_last_index(replica->log) + 1);
	peer->is_probing = TRUE;
	peer->is_probe_sent = FALSE;
	cb_replication_send(replica, peer);
}

/*
 * Handles the reply to an append message: how much of the log the peer has
 * stored.
 */
void cb_replication_append_reply(cb_replica_t *replica, cb_peer_t *peer,
				 const cb_message_t *message)
{
	const cb_append_reply_t *reply = &message->append_reply;

	peer->round = MAX(peer->round, MIN(reply->round, replica->round));
	if (!reply->is_accepted) {
		append_refusal_handle_(replica, peer, reply);
		cb_read_complete_confirmed(replica);
		return;
	}
	if (reply->prev_index + 1 >= cb_replica_log_first_index(replica->log) &&
	    reply->prev_index)
		peer->is_probing = FALSE;
	if (reply->index > peer->match &&
	    reply->index <= cb_replica_log_last_index(replica->log)) {
		peer->match = reply->index;
		peer->next = MAX(peer->next, peer->match + 1);
		peer->progress_ms = cb_replica_now_ms(replica);
		peer->is_probing = FALSE;
	}
	if (peer->snapshot && peer->match >= peer->snapshot->index)
		cb_snapshot_send_end(peer);
	cb_replication_advance(replica);
	if (cb_replica_leads(replica)) {
		cb_replication_send(replica, peer);
		cb_election_hand_over_step(replica);
	}
}

/* Orders indices from the highest to the lowest. */
static int index_compare_descending_(const void *left, const void *right)
{
	const uint64_t *a = left;
	const uint64_t *b = right;

	return *a < *b ? 1 : *a > *b ? -1 : 0;
}

/* Returns the highest index that is durable at a majority of voters. */
static uint64_t majority_index_find_(const cb_replica_t *replica)
{
	GArray *durable = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t index = 0;
	uint32_t i;

	if (cb_replica_is_voter(replica))
		g_array_append_val(durable, replica->durable);
	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter)
			g_array_append_val(durable, peer->match);
	}
	g_array_sort(durable, index_compare_descending_);
	if (durable->len)
		index = g_array_index(durable, uint64_t, durable->len / 2);
	g_array_unref(durable);
	return index;
}

/*
 * Commits the records that are durable at a majority, if the last of them is of
 * this leader's own term.  A leader that is no longer a voter steps down once
 * the change of members is committed.
 */
void cb_replication_advance(cb_replica_t *replica)
{
	uint64_t index = majority_index_find_(replica);
	uint64_t term = 0;

	if (index > replica->committed &&
	    cb_replica_log_term(replica->log, index, &term) &&
	    term == replica->term) {
		cb_append_commit(replica, index);
		if (!cb_timer_is_armed(replica->commit_timer))
			cb_timer_start(replica->commit_timer,
				       COMMIT_ANNOUNCE_DELAY_MS);
	}
	if (cb_replica_leads(replica) && !cb_replica_is_voter(replica) &&
	    replica->committed >= replica->members_index)
		cb_election_step_down(replica, replica->term);
	cb_read_complete_confirmed(replica);
}
