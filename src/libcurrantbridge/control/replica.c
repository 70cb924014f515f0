#include "private/replica.h"

#include <string.h>

#define DEFAULT_HEARTBEAT_MS 100
#define DEFAULT_ELECTION_TIMEOUT_MS 500
#define DEFAULT_SNAPSHOT_EVERY_BYTES (256 * 1024)
#define DEFAULT_MAX_WAITING_PROPOSALS 4096
#define ID_RANDOM_WORDS 2 /* 32-bit words of a random ID */
#define MAX_SENDER_ADDRESSES 64

const char *const cb_replica_role_string[CB_REPLICA_ROLE_COUNT] = {
	[CB_REPLICA_ROLE_LEARNER] = "learner",
	[CB_REPLICA_ROLE_FOLLOWER] = "follower",
	[CB_REPLICA_ROLE_PRE_CANDIDATE] = "pre_candidate",
	[CB_REPLICA_ROLE_CANDIDATE] = "candidate",
	[CB_REPLICA_ROLE_LEADER] = "leader",
};

const char *const cb_replica_outcome_string[CB_REPLICA_OUTCOME_COUNT] = {
	[CB_REPLICA_COMMITTED] = "committed",
	[CB_REPLICA_NOT_LEADER] = "not_leader",
	[CB_REPLICA_BUSY] = "busy",
	[CB_REPLICA_UNKNOWN] = "unknown",
};

/* Returns the clock's time in milliseconds. */
int64_t cb_replica_now_ms(const cb_replica_t *replica)
{
	return cb_clock_now_ms(replica->clock);
}

/* Whether this member is the leader. */
gboolean cb_replica_leads(const cb_replica_t *replica)
{
	return replica->role == CB_REPLICA_ROLE_LEADER;
}

/* Whether this member is a voter with its present disk. */
gboolean cb_replica_is_voter(const cb_replica_t *replica)
{
	const cb_replica_member_t *self =
		cb_members_find(replica->members, replica->name);

	return self && self->is_voter &&
	       !strcmp(self->disk_id, replica->disk_id);
}

/* Sets this member's role; notifies the listener of a change. */
void cb_replica_set_role(cb_replica_t *replica, cb_replica_role_t role)
{
	if (replica->role == role)
		return;
	replica->role = role;
	if (replica->listener.role_changed)
		replica->listener.role_changed(replica->listener.user_data);
}

/* Sets the known leader (NULL: none); notifies the listener of a change. */
void cb_replica_set_leader(cb_replica_t *replica, const char *name)
{
	char *former = replica->leader;

	if (!g_strcmp0(former, name))
		return;
	replica->leader = g_strdup(name);
	g_free(former);
	if (name)
		replica->failed_election = (cb_election_result_t){ 0 };
	if (replica->listener.role_changed)
		replica->listener.role_changed(replica->listener.user_data);
}

/* Stops this member for good, since its storage has failed. */
void cb_replica_fail(cb_replica_t *replica, const GError *error)
{
	if (replica->is_failed)
		return;
	if (cb_replica_leads(replica))
		cb_membership_end_addition(replica, CB_REPLICA_NOT_LEADER);
	replica->is_failed = TRUE;
	cb_timer_stop(replica->election_timer);
	cb_timer_stop(replica->heartbeat_timer);
	cb_timer_stop(replica->commit_timer);
	g_queue_clear_full(&replica->outbox, cb_outgoing_delete);
	cb_proposal_abandon_all(replica);
	cb_replica_set_leader(replica, NULL);
	cb_replica_set_role(replica, CB_REPLICA_ROLE_LEARNER);
	if (replica->listener.failed)
		replica->listener.failed(replica->listener.user_data, error);
}

/* Frees a message of the outbox. */
void cb_outgoing_delete(void *data)
{
	cb_outgoing_t *outgoing = data;

	g_free(outgoing->to);
	g_free(outgoing->address);
	g_bytes_unref(outgoing->bytes);
	g_free(outgoing);
}

static const char *member_address_find_(const cb_replica_t *replica,
					const char *name)
{
	const cb_replica_member_t *member =
		cb_members_find(replica->members, name);

	if (member)
		return member->address;
	member = cb_members_find(replica->initial_members, name);
	if (member)
		return member->address;
	return g_hash_table_lookup(replica->addresses, name);
}

/*
 * Records the address of a sender that is not a member, for replies to it.  Once
 * there are too many, all earlier ones are forgotten.
 */
static void sender_address_record_(cb_replica_t *replica, const char *from,
				   const cb_message_t *message)
{
	if (!*message->from_address || member_address_find_(replica, from))
		return;
	if (g_hash_table_size(replica->addresses) >= MAX_SENDER_ADDRESSES)
		g_hash_table_remove_all(replica->addresses);
	g_hash_table_insert(replica->addresses, g_strdup(from),
			    g_strdup(message->from_address));
}

/*
 * Sends a message to the disk `to_disk` of the member `to`, and frees it.
 * While the term and vote are not durable, the message stays in the outbox.
 * A NULL address is looked up.
 */
void cb_replica_send(cb_replica_t *replica, const char *to, const char *address,
		     const char *to_disk, cb_message_t *message)
{
	GBytes *bytes;

	message->from_disk = g_strdup(replica->disk_id);
	message->to_disk = g_strdup(to_disk);
	message->from_address = g_strdup(replica->address);
	bytes = cb_message_encode(message);
	cb_message_delete(message);
	if (!address)
		address = member_address_find_(replica, to);
	if (replica->vote_saves) {
		cb_outgoing_t *outgoing = g_new0(cb_outgoing_t, 1);

		outgoing->to = g_strdup(to);
		outgoing->address = g_strdup(address);
		outgoing->bytes = bytes;
		g_queue_push_tail(&replica->outbox, outgoing);
		return;
	}
	replica->transport->vtable->send(replica->transport, to, address,
					 bytes);
	g_bytes_unref(bytes);
}

/* Schedules one flush of all that an iteration of the main loop queues. */
void cb_replica_flush_soon(cb_replica_t *replica)
{
	if (!cb_timer_is_armed(replica->flush_timer))
		cb_timer_start(replica->flush_timer, 0);
}

static void flush_timer_fired_(void *user_data)
{
	cb_replica_t *replica = user_data;

	if (cb_replica_leads(replica))
		cb_replica_store_records(replica);
	if (cb_replica_leads(replica)) {
		cb_replication_send_all(replica);
		cb_read_begin_round(replica);
	}
	cb_proposal_run_completions(replica);
}

static void election_timer_fired_(void *user_data)
{
	cb_election_timeout(user_data);
}

static void heartbeat_timer_fired_(void *user_data)
{
	cb_replica_t *replica = user_data;

	if (cb_replica_leads(replica))
		cb_replication_tick(replica);
	cb_membership_tick(replica);
	if (cb_replica_leads(replica) || cb_membership_forms_group(replica))
		cb_timer_start(replica->heartbeat_timer, replica->heartbeat_ms);
}

static void commit_timer_fired_(void *user_data)
{
	cb_replica_t *replica = user_data;

	if (cb_replica_leads(replica))
		cb_replication_heartbeat(replica);
}

static int64_t positive_or_default_(int64_t value, int64_t default_value)
{
	return value > 0 ? value : default_value;
}

static void options_copy_(cb_replica_t *replica,
			  const cb_replica_options_t *options)
{
	size_t i;

	replica->name = g_strdup(options->name);
	replica->address = g_strdup(options->address);
	replica->heartbeat_ms = positive_or_default_(options->heartbeat_ms,
						     DEFAULT_HEARTBEAT_MS);
	replica->election_timeout_ms =
		positive_or_default_(options->election_timeout_ms,
				     DEFAULT_ELECTION_TIMEOUT_MS);
	replica->snapshot_every_bytes = options->snapshot_every_bytes ?
						options->snapshot_every_bytes :
						DEFAULT_SNAPSHOT_EVERY_BYTES;
	replica->max_waiting_proposals =
		options->max_waiting_proposals ?
			options->max_waiting_proposals :
			DEFAULT_MAX_WAITING_PROPOSALS;
	replica->min_voters = options->min_voters;
	for (i = 0; i < options->initial_member_count; i++)
		cb_members_add(replica->initial_members,
			       options->initial_members[i].name,
			       options->initial_members[i].address, TRUE, NULL);
}

/*
 * Creates a member that does nothing until cb_replica_start().  The clock,
 * the generator, the storage, the transport and the machine stay the
 * caller's; the storage must outlive the replica.  `listener` may be NULL.
 */
cb_replica_t *cb_replica_new(const cb_replica_options_t *options,
			     cb_clock_t *clock, GRand *random,
			     cb_storage_t *storage, cb_transport_t *transport,
			     cb_machine_t *machine,
			     const cb_replica_listener_t *listener)
{
	cb_replica_t *replica = g_new0(cb_replica_t, 1);

	replica->initial_members = cb_members_new();
	options_copy_(replica, options);
	replica->event_log = options->log;
	cb_replica_counts_init(replica, options->counters);
	replica->clock = clock;
	replica->random = random;
	replica->storage = storage;
	replica->transport = transport;
	replica->machine = machine;
	if (listener)
		replica->listener = *listener;
	replica->members = cb_members_new();
	replica->group_id = g_strdup("");
	cb_replica_sync_peers(replica);
	replica->log = cb_replica_log_new(0, 0);
	replica->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	replica->initial_disks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	replica->election_timer =
		cb_timer_new(clock, election_timer_fired_, replica);
	replica->heartbeat_timer =
		cb_timer_new(clock, heartbeat_timer_fired_, replica);
	replica->commit_timer =
		cb_timer_new(clock, commit_timer_fired_, replica);
	replica->flush_timer = cb_timer_new(clock, flush_timer_fired_, replica);
	g_queue_init(&replica->operations);
	g_queue_init(&replica->outbox);
	g_queue_init(&replica->proposals);
	g_queue_init(&replica->reads);
	g_queue_init(&replica->completions);
	return replica;
}

/*
 * Deletes a member; NULL is allowed.  Calls that still wait complete with
 * CB_REPLICA_UNKNOWN before this returns.
 */
void cb_replica_delete(cb_replica_t *replica)
{
	if (!replica)
		return;
	cb_replica_detach_operations(replica);
	cb_membership_end_addition(replica, CB_REPLICA_UNKNOWN);
	cb_proposal_abandon_all(replica);
	replica->role = CB_REPLICA_ROLE_LEARNER;
	cb_proposal_run_completions(replica);
	cb_timer_delete(replica->election_timer);
	cb_timer_delete(replica->heartbeat_timer);
	cb_timer_delete(replica->commit_timer);
	cb_timer_delete(replica->flush_timer);
	g_queue_clear_full(&replica->outbox, cb_outgoing_delete);
	cb_incoming_clear(&replica->incoming);
	cb_snapshot_clear(&replica->snapshot);
	cb_replica_log_delete(replica->log);
	g_ptr_array_unref(replica->peers);
	g_ptr_array_unref(replica->members);
	g_ptr_array_unref(replica->initial_members);
	g_hash_table_unref(replica->addresses);
	g_hash_table_unref(replica->initial_disks);
	g_free(replica->hand_over_to);
	g_free(replica->voted_for);
	g_free(replica->pre_vote_grant.candidate);
	g_free(replica->disk_id);
	g_free(replica->group_id);
	g_free(replica->leader);
	g_free(replica->name);
	g_free(replica->address);
	g_free(replica);
}

/* Returns a new random ID, for a blank disk or a new group. */
char *cb_replica_generate_id(cb_replica_t *replica)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < ID_RANDOM_WORDS; i++)
		g_string_append_printf(text, "%08x",
				       g_rand_int(replica->random));
	return g_string_free(text, FALSE);
}

/* Restores the replica and its state machine from the storage's content. */
static gboolean content_restore_(cb_replica_t *replica,
				 const cb_storage_content_t *content,
				 GError **error)
{
	const cb_snapshot_t *snapshot = &content->snapshot;
	uint32_t i;

	replica->term = content->vote.term;
	if (content->vote.voted_for && *content->vote.voted_for)
		replica->voted_for = g_strdup(content->vote.voted_for);
	replica->disk_id = g_strdup(content->vote.disk_id);
	if (snapshot->index) {
		replica->snapshot.index = snapshot->index;
		replica->snapshot.term = snapshot->term;
		replica->snapshot.members = g_bytes_ref(snapshot->members);
		replica->snapshot.data = g_bytes_ref(snapshot->data);
		if (!replica->machine->vtable->restore(replica->machine,
						       snapshot->index,
						       snapshot->data, error))
			return FALSE;
		cb_replica_log_reset(replica->log, snapshot->index,
				     snapshot->term);
	}
	for (i = 0; i < content->records->len; i++)
		cb_replica_log_append(replica->log,
				      cb_record_copy(
					      content->records->pdata[i]));
	replica->committed = snapshot->index;
	replica->applied = snapshot->index;
	replica->submitted_index = cb_replica_log_last_index(replica->log);
	replica->durable = replica->submitted_index;
	cb_membership_adopt(replica);
	return TRUE;
}

/*
 * Loads the storage and starts the timers.  On failure the error names the
 * file, the offset and the reason.
 */
gboolean cb_replica_start(cb_replica_t *replica, GError **error)
{
	cb_storage_content_t content = { 0 };
	gboolean is_restored;

	if (!replica->storage->vtable->load(replica->storage, &content, error))
		return FALSE;
	is_restored = content_restore_(replica, &content, error);
	cb_storage_content_clear(&content);
	if (!is_restored)
		return FALSE;
	replica->is_started = TRUE;
	if (!replica->disk_id || !*replica->disk_id) {
		g_free(replica->disk_id);
		replica->disk_id = cb_replica_generate_id(replica);
		cb_replica_save_vote(replica);
	}
	cb_replica_set_role(replica, cb_replica_is_voter(replica) ?
					     CB_REPLICA_ROLE_FOLLOWER :
					     CB_REPLICA_ROLE_LEARNER);
	cb_election_arm_first(replica);
	cb_timer_start(replica->heartbeat_timer, 0);
	return TRUE;
}

/* Handles a reply; ignores one that is not from a member's present disk. */
static void reply_handle_(cb_replica_t *replica, const char *from,
			  const cb_message_t *message)
{
	cb_peer_t *peer = cb_peer_find(replica, from);

	if (!peer || strcmp(peer->disk_id, message->from_disk))
		return;
	if (message->kind == CB_MESSAGE_VOTE_REPLY) {
		cb_election_vote_reply(replica, peer, message);
		return;
	}
	if (message->term > replica->term) {
		cb_election_step_down(replica, message->term);
		return;
	}
	if (!cb_replica_leads(replica) || message->term < replica->term)
		return;
	peer->last_received_ms = cb_replica_now_ms(replica);
	peer->unanswered_heartbeats = 0;
	if (message->kind == CB_MESSAGE_APPEND_REPLY)
		cb_replication_append_reply(replica, peer, message);
	else
		cb_snapshot_reply_receive(replica, peer, message);
}

static void message_dispatch_(cb_replica_t *replica, const char *from,
			      const cb_message_t *message)
{
	switch (message->kind) {
	case CB_MESSAGE_VOTE_REQUEST:
		cb_election_vote_request(replica, from, message);
		break;
	case CB_MESSAGE_APPEND:
		cb_append_receive(replica, from, message);
		break;
	case CB_MESSAGE_SNAPSHOT:
		cb_snapshot_receive(replica, from, message);
		break;
	case CB_MESSAGE_TAKE_OVER:
		cb_election_take_over(replica, from, message);
		break;
	case CB_MESSAGE_VOTE_REPLY:
	case CB_MESSAGE_APPEND_REPLY:
	case CB_MESSAGE_SNAPSHOT_REPLY:
		reply_handle_(replica, from, message);
		break;
	case CB_MESSAGE_PROBE:
		cb_membership_probe(replica, from, message);
		break;
	case CB_MESSAGE_PROBE_REPLY:
		cb_membership_probe_reply(replica, from, message);
		break;
	case CB_MESSAGE_KIND_COUNT:
		break;
	}
}

static gboolean is_probe_or_probe_reply_(const cb_message_t *message)
{
	return message->kind == CB_MESSAGE_PROBE ||
	       message->kind == CB_MESSAGE_PROBE_REPLY;
}

/*
 * Handles a message from the member `from`.  A malformed one is ignored, and
 * so is one for another disk; if that was an append, its sender receives a
 * report of this member's disk.
 */
void cb_replica_receive(cb_replica_t *replica, const char *from,
			GBytes *message)
{
	cb_message_t *decoded;

	if (replica->is_failed || !replica->is_started)
		return;
	decoded = cb_message_decode(message);
	if (!decoded) {
		cb_replica_count(replica, CB_REPLICA_COUNT_MALFORMED);
		return;
	}
	sender_address_record_(replica, from, decoded);
	if (is_probe_or_probe_reply_(decoded) ||
	    !strcmp(decoded->to_disk, replica->disk_id)) {
		message_dispatch_(replica, from, decoded);
	} else {
		cb_replica_count(replica, CB_REPLICA_COUNT_OTHER_DISK);
		if (decoded->kind == CB_MESSAGE_APPEND)
			cb_membership_report_disk(replica, from);
	}
	cb_message_delete(decoded);
}

/* Returns this member's present role. */
cb_replica_role_t cb_replica_role(const cb_replica_t *replica)
{
	return replica->role;
}

/* Returns this member's present term. */
uint64_t cb_replica_term(const cb_replica_t *replica)
{
	return replica->term;
}

/* Returns the last log index known to be committed. */
uint64_t cb_replica_committed(const cb_replica_t *replica)
{
	return replica->committed;
}

/* Returns the last log index applied to the state machine. */
uint64_t cb_replica_applied(const cb_replica_t *replica)
{
	return replica->applied;
}

/* Returns the leader's name, or NULL while none is known. */
const char *cb_replica_leader(const cb_replica_t *replica)
{
	return replica->leader;
}

/*
 * Whether this member received messages from the leader within the election
 * timeout.  On the leader: whether it did so from a majority, and has committed
 * a record of its own term.
 */
gboolean cb_replica_is_current(const cb_replica_t *replica)
{
	if (replica->is_failed || !replica->is_started)
		return FALSE;
	if (cb_replica_leads(replica))
		return replica->committed >= replica->term_start &&
		       cb_election_has_majority_contact(replica);
	return replica->leader &&
	       cb_replica_now_ms(replica) - replica->leader_last_received_ms <
		       replica->election_timeout_ms;
}

/*
 * On the leader: returns the milliseconds since the last message from a member,
 * or since this member became the leader.  Returns 0 on any other member, and
 * for an unknown name.
 */
int64_t cb_replica_silence_ms(const cb_replica_t *replica, const char *name)
{
	const cb_peer_t *peer = cb_peer_find(replica, name);

	if (!peer || !cb_replica_leads(replica))
		return 0;
	return cb_peer_silence_ms(replica, peer);
}

/* Returns the present members (cb_replica_member_t), sorted by name. */
const GPtrArray *cb_replica_members(const cb_replica_t *replica)
{
	return replica->members;
}
