#include "private/replica.h"

#include <string.h>

static void append_reply_send_(cb_replica_t *replica, const char *from,
			       const char *to_disk, gboolean is_accepted,
			       uint64_t prev_index, uint64_t index,
			       uint64_t round)
{
	cb_message_t *reply = cb_message_new(CB_MESSAGE_APPEND_REPLY);

	if (!is_accepted)
		cb_replica_count(replica, CB_REPLICA_COUNT_APPEND_REFUSED);

	reply->term = replica->term;
	reply->append_reply.is_accepted = is_accepted;
	reply->append_reply.prev_index = prev_index;
	reply->append_reply.index = index;
	reply->append_reply.round = round;
	cb_replica_send(replica, from, NULL, to_disk, reply);
}

/* Becomes a follower of the member `from`, the leader of `term`. */
void cb_append_follow(cb_replica_t *replica, const char *from, uint64_t term)
{
	if (term > replica->term ||
	    replica->role == CB_REPLICA_ROLE_CANDIDATE ||
	    replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE)
		cb_election_step_down(replica, term);
	if (g_strcmp0(replica->leader, from)) {
		replica->verified = 0;
		replica->round = 0;
	}
	replica->leader_last_received_ms = cb_replica_now_ms(replica);
	cb_replica_set_leader(replica, from);
	cb_election_arm(replica);
}

/*
 * Returns the index after which the leader should retry a refused append: the
 * index skips all records of the term that conflicts.
 */
static uint64_t retry_index_find_(const cb_replica_t *replica,
				  const cb_append_t *append)
{
	uint64_t index = append->prev_index;
	uint64_t conflicting_term = 0;
	uint64_t term = 0;

	if (index > cb_replica_log_last_index(replica->log))
		return cb_replica_log_last_index(replica->log);
	cb_replica_log_term(replica->log, index, &conflicting_term);
	while (index > replica->committed &&
	       cb_replica_log_term(replica->log, index, &term) &&
	       term == conflicting_term)
		index--;
	return MAX(index, replica->committed);
}

/* Whether this log contains the leader's record that precedes the append. */
static gboolean previous_record_matches_(const cb_replica_t *replica,
					 const cb_append_t *append)
{
	uint64_t term = 0;

	if (append->prev_index <= replica->committed)
		return TRUE;
	return cb_replica_log_term(replica->log, append->prev_index, &term) &&
	       term == append->prev_term;
}

/* Appends the records that this log lacks; truncates it at a conflict. */
static void new_records_append_(cb_replica_t *replica,
				const cb_append_t *append)
{
	uint32_t i;

	for (i = 0; i < append->records->len; i++) {
		const cb_record_t *record = append->records->pdata[i];
		uint64_t term = 0;

		if (record->index <= replica->committed)
			continue;
		if (cb_replica_log_term(replica->log, record->index, &term)) {
			if (term == record->term)
				continue;
			cb_replica_truncate(replica, record->index);
		}
		cb_replica_log_append(replica->log, cb_record_copy(record));
		if (record->kind == CB_RECORD_MEMBERS)
			cb_membership_adopt(replica);
	}
	cb_replica_store_records(replica);
}

/*
 * Handles an append message.  The reply acknowledges only the records that are
 * durable here; cb_append_stored() acknowledges the others once they are.
 */
void cb_append_receive(cb_replica_t *replica, const char *from,
		       const cb_message_t *message)
{
	const cb_append_t *append = &message->append;
	uint64_t end = append->prev_index + append->records->len;
	gboolean is_new_round;

	if (message->term < replica->term) {
		append_reply_send_(replica, from, message->from_disk, FALSE,
				   append->prev_index, 0, 0);
		return;
	}
	if (cb_replica_leads(replica) && message->term == replica->term)
		return;
	cb_append_follow(replica, from, message->term);
	if (!previous_record_matches_(replica, append)) {
		append_reply_send_(replica, from, message->from_disk, FALSE,
				   append->prev_index,
				   retry_index_find_(replica, append),
				   append->round);
		return;
	}
	new_records_append_(replica, append);
	if (replica->is_failed)
		return;
	replica->verified = MAX(replica->verified, end);
	is_new_round = append->round > replica->round;
	replica->round = MAX(replica->round, append->round);
	if (!append->records->len || is_new_round || replica->durable >= end)
		append_reply_send_(replica, from, message->from_disk, TRUE,
				   append->prev_index,
				   MIN(replica->verified, replica->durable),
				   append->round);
	cb_append_commit(replica, MIN(append->committed, replica->verified));
}

/* Acknowledges to the leader the records that have become durable here. */
void cb_append_stored(cb_replica_t *replica)
{
	const cb_replica_member_t *leader;

	if (!replica->leader || !replica->verified)
		return;
	leader = cb_members_find(replica->members, replica->leader);
	if (!leader)
		return;
	append_reply_send_(replica, replica->leader, leader->disk_id, TRUE,
			   MIN(replica->verified, replica->durable),
			   MIN(replica->verified, replica->durable),
			   replica->round);
}

static void record_apply_(cb_replica_t *replica, const cb_record_t *record)
{
	GBytes *answer = NULL;

	if (record->kind == CB_RECORD_COMMAND)
		answer = replica->machine->vtable->apply(replica->machine,
							 record->index,
							 record->data);
	replica->applied = record->index;
	cb_proposal_complete_applied(replica, record->index, answer);
	g_clear_pointer(&answer, g_bytes_unref);
}

/* Advances the committed index and applies the records up to it. */
void cb_append_commit(cb_replica_t *replica, uint64_t committed)
{
	if (committed <= replica->committed)
		return;
	replica->committed = committed;
	while (replica->applied < replica->committed)
		record_apply_(replica,
			      cb_replica_log_get(replica->log,
						 replica->applied + 1));
	cb_snapshot_take_if_due(replica);
	if (replica->listener.applied)
		replica->listener.applied(replica->listener.user_data,
					  replica->applied);
}
