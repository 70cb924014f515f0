#include "private/replica.h"

/* Appends a record in the current term; it is stored at the next flush. */
uint64_t cb_proposal_append(cb_replica_t *replica, cb_record_kind_t kind,
			    GBytes *data)
{
	uint64_t index = cb_replica_log_last_index(replica->log) + 1;

	cb_replica_log_append(replica->log,
			      cb_record_new(index, replica->term, kind, data));
	if (kind == CB_RECORD_MEMBERS)
		cb_membership_adopt(replica);
	cb_replica_flush_soon(replica);
	return index;
}

static cb_proposal_t *proposal_new_(cb_replica_done_fn_t done, void *user_data)
{
	cb_proposal_t *proposal = g_new0(cb_proposal_t, 1);

	proposal->done = done;
	proposal->user_data = user_data;
	return proposal;
}

/* Queues the outcome of a call; `done` is called from the next flush. */
void cb_proposal_complete(cb_replica_t *replica, cb_replica_outcome_t outcome,
			  uint64_t index, GBytes *answer,
			  cb_replica_done_fn_t done, void *user_data)
{
	cb_proposal_t *proposal = proposal_new_(done, user_data);

	proposal->outcome = outcome;
	proposal->index = index;
	proposal->answer = answer ? g_bytes_ref(answer) : NULL;
	g_queue_push_tail(&replica->completions, proposal);
	cb_replica_flush_soon(replica);
}

/* Calls the callbacks of the queued outcomes, each exactly once. */
void cb_proposal_run_completions(cb_replica_t *replica)
{
	cb_proposal_t *proposal;

	while ((proposal = g_queue_pop_head(&replica->completions))) {
		if (proposal->done)
			proposal->done(proposal->outcome, proposal->index,
				       proposal->answer, proposal->user_data);
		g_clear_pointer(&proposal->answer, g_bytes_unref);
		g_free(proposal);
	}
}

/* Adds a caller that waits until the record at `index` is applied. */
void cb_proposal_add_waiter(cb_replica_t *replica, uint64_t index,
			    cb_replica_done_fn_t done, void *user_data)
{
	cb_proposal_t *proposal = proposal_new_(done, user_data);

	proposal->index = index;
	g_queue_push_tail(&replica->proposals, proposal);
}

static void proposal_complete_and_free_(cb_replica_t *replica,
					cb_proposal_t *proposal,
					cb_replica_outcome_t outcome,
					uint64_t index, GBytes *answer)
{
	cb_proposal_complete(replica, outcome, index, answer, proposal->done,
			     proposal->user_data);
	g_free(proposal);
}

/* Answers the caller that waits for the record at `index`, if there is one. */
void cb_proposal_complete_applied(cb_replica_t *replica, uint64_t index,
				  GBytes *answer)
{
	cb_proposal_t *proposal = g_queue_peek_head(&replica->proposals);

	if (!proposal || proposal->index != index)
		return;
	g_queue_pop_head(&replica->proposals);
	proposal_complete_and_free_(replica, proposal, CB_REPLICA_COMMITTED,
				    index, answer);
}

/* Answers all waiting callers with UNKNOWN when leadership is lost. */
void cb_proposal_abandon_all(cb_replica_t *replica)
{
	cb_proposal_t *proposal;

	while ((proposal = g_queue_pop_head(&replica->proposals)) ||
	       (proposal = g_queue_pop_head(&replica->reads))) {
		cb_replica_count(replica, CB_REPLICA_COUNT_LEAD_LOST);
		proposal_complete_and_free_(replica, proposal,
					    CB_REPLICA_UNKNOWN, 0, NULL);
	}
}

/* Rejects a call that has had no effect. */
void cb_proposal_reject(cb_replica_t *replica, cb_replica_outcome_t outcome,
			cb_replica_count_t reason, cb_replica_done_fn_t done,
			void *user_data)
{
	cb_replica_count(replica, reason);
	cb_proposal_complete(replica, outcome, 0, NULL, done, user_data);
}

/* Returns the reason to reject a proposal, or CB_REPLICA_COUNTS for none. */
static cb_replica_count_t rejection_reason_find_(const cb_replica_t *replica,
						 GBytes *command)
{
	if (replica->hand_over_to)
		return CB_REPLICA_COUNT_HANDING_OVER;
	if (replica->proposals.length >= replica->max_waiting_proposals)
		return CB_REPLICA_COUNT_TOO_MANY;
	if (g_bytes_get_size(command) > CB_REPLICA_MAX_COMMAND_BYTES)
		return CB_REPLICA_COUNT_TOO_LARGE;
	return CB_REPLICA_COUNTS;
}

/*
 * Proposes a command of at most CB_REPLICA_MAX_COMMAND_BYTES.  `done` is
 * called exactly once, after this returns.  It gets the state machine's answer
 * with the outcome COMMITTED, and NULL with any other.
 */
void cb_replica_propose(cb_replica_t *replica, GBytes *command,
			cb_replica_done_fn_t done, void *user_data)
{
	cb_replica_count_t rejection = rejection_reason_find_(replica, command);
	uint64_t index;

	if (!cb_replica_leads(replica)) {
		cb_proposal_reject(replica, CB_REPLICA_NOT_LEADER,
				   CB_REPLICA_COUNT_NOT_LEADER, done,
				   user_data);
		return;
	}
	if (rejection != CB_REPLICA_COUNTS) {
		cb_proposal_reject(replica, CB_REPLICA_BUSY, rejection, done,
				   user_data);
		return;
	}
	index = cb_proposal_append(replica, CB_RECORD_COMMAND, command);
	cb_proposal_add_waiter(replica, index, done, user_data);
}

/*
 * Confirms with a majority that this member is still the leader.  With the
 * outcome COMMITTED, `done` gets an index that the state machine has applied
 * and that is no older than the call.  All calls in one iteration of the main
 * loop share one round of messages.
 */
void cb_replica_confirm(cb_replica_t *replica, cb_replica_done_fn_t done,
			void *user_data)
{
	cb_proposal_t *read;

	if (!cb_replica_leads(replica)) {
		cb_proposal_reject(replica, CB_REPLICA_NOT_LEADER,
				   CB_REPLICA_COUNT_NOT_LEADER, done,
				   user_data);
		return;
	}
	if (replica->reads.length >= replica->max_waiting_proposals) {
		cb_proposal_reject(replica, CB_REPLICA_BUSY,
				   CB_REPLICA_COUNT_TOO_MANY, done, user_data);
		return;
	}
	read = proposal_new_(done, user_data);
	read->round = replica->round + 1;
	g_queue_push_tail(&replica->reads, read);
	cb_replica_flush_soon(replica);
}

/*
 * Begins a new round of read confirmation if the newest waiting reads need one.
 */
void cb_read_begin_round(cb_replica_t *replica)
{
	cb_proposal_t *newest = g_queue_peek_tail(&replica->reads);

	if (!newest || newest->round <= replica->round)
		return;
	replica->round = newest->round;
	cb_replication_heartbeat(replica);
	cb_read_complete_confirmed(replica);
}

/*
 * Returns whether a majority of voters has answered in the round `round` of
 * read confirmation or in a later one.
 */
static gboolean round_is_confirmed_(const cb_replica_t *replica, uint64_t round)
{
	uint32_t voters = cb_members_voter_count(replica->members);
	uint32_t count = 0;
	uint32_t i;

	if (round > replica->round)
		return FALSE;
	if (cb_replica_is_voter(replica))
		count++;
	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter && peer->round >= round)
			count++;
	}
	return count > voters / 2;
}

/* Answers the waiting reads whose round of confirmation is complete. */
void cb_read_complete_confirmed(cb_replica_t *replica)
{
	cb_proposal_t *read;

	/*
	 * Before it has applied the first record of its term, a leader may not
	 * know all committed records.
	 */
	if (!cb_replica_leads(replica) ||
	    replica->applied < replica->term_start)
		return;
	while ((read = g_queue_peek_head(&replica->reads)) &&
	       round_is_confirmed_(replica, read->round)) {
		g_queue_pop_head(&replica->reads);
		proposal_complete_and_free_(replica, read, CB_REPLICA_COMMITTED,
					    replica->applied, NULL);
	}
}
