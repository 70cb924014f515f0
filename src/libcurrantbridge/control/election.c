#include "private/replica.h"

#include <string.h>

/* A granted pre-vote is valid for 1/5 of the election timeout. */
#define PRE_VOTE_GRANT_TIMEOUT_DIVISOR 5

/* Arms a voter's election timer for a random 1 to 2 election timeouts. */
void cb_election_arm(cb_replica_t *replica)
{
	if (!cb_replica_is_voter(replica)) {
		cb_timer_stop(replica->election_timer);
		return;
	}
	cb_timer_start(replica->election_timer,
		       replica->election_timeout_ms +
			       g_rand_int_range(
				       replica->random, 0,
				       (int32_t)replica->election_timeout_ms));
}

/*
 * Arms the election timer after a start, for a random 0.2 to 1 election
 * timeouts: a group whose members all start then elects a leader sooner.  An
 * existing leader isn't disturbed, since its followers refuse the pre-vote.
 */
void cb_election_arm_first(cb_replica_t *replica)
{
	int32_t min_ms = (int32_t)replica->election_timeout_ms / 5;
	int32_t max_ms = (int32_t)replica->election_timeout_ms;

	if (!cb_replica_is_voter(replica))
		return;
	if (cb_members_voter_count(replica->members) == 1)
		cb_timer_start(replica->election_timer, 0);
	else
		cb_timer_start(replica->election_timer,
			       g_rand_int_range(replica->random, min_ms,
						max_ms));
}

/* Whether this member is in contact with a leader, and so refuses to vote. */
static gboolean has_leader_contact_(const cb_replica_t *replica)
{
	if (cb_replica_leads(replica))
		return TRUE;
	return replica->leader &&
	       cb_replica_now_ms(replica) - replica->leader_last_received_ms <
		       replica->election_timeout_ms;
}

/* Releases the state that only a leader has. */
static void leader_state_release_(cb_replica_t *replica)
{
	cb_timer_stop(replica->heartbeat_timer);
	g_clear_pointer(&replica->hand_over_to, g_free);
	cb_membership_end_addition(replica, CB_REPLICA_NOT_LEADER);
	cb_proposal_abandon_all(replica);
	cb_replica_store_records(replica);
}

/* Becomes a follower or a learner; enters `term` if it is a later one. */
void cb_election_step_down(cb_replica_t *replica, uint64_t term)
{
	gboolean was_leader = cb_replica_leads(replica);
	gboolean is_later = term > replica->term;

	cb_replica_set_role(replica, cb_replica_is_voter(replica) ?
					     CB_REPLICA_ROLE_FOLLOWER :
					     CB_REPLICA_ROLE_LEARNER);
	if (was_leader)
		leader_state_release_(replica);
	if (is_later) {
		replica->term = term;
		g_clear_pointer(&replica->voted_for, g_free);
		cb_replica_save_vote(replica);
	}
	if (was_leader || is_later) {
		replica->verified = 0;
		cb_replica_set_leader(replica, NULL);
	}
	if (was_leader || !cb_timer_is_armed(replica->election_timer))
		cb_election_arm(replica);
}

/* Sends a request for a vote, or for a pre-vote in the next term. */
static void vote_request_send_(cb_replica_t *replica, const cb_peer_t *peer,
			       gboolean is_pre_vote, gboolean is_hand_over)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_VOTE_REQUEST);

	message->term = replica->term + (is_pre_vote ? 1 : 0);
	message->vote_request.is_pre_vote = is_pre_vote;
	message->vote_request.is_hand_over = is_hand_over;
	message->vote_request.last_index =
		cb_replica_log_last_index(replica->log);
	message->vote_request.last_term =
		cb_replica_log_last_term(replica->log);
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
}

/* Clears the votes and requests them from all other voters. */
static void vote_requests_send_all_(cb_replica_t *replica, gboolean is_pre_vote,
				    gboolean is_hand_over)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		peer->is_vote_granted = FALSE;
		peer->is_vote_refused = FALSE;
		if (peer->is_voter)
			vote_request_send_(replica, peer, is_pre_vote,
					   is_hand_over);
	}
}

/*
 * Called when messages can reach a member again.  Repeats the request for its
 * vote, which may have been lost: otherwise the next request would follow only
 * after an election timeout.
 */
void cb_replica_peer_ready(cb_replica_t *replica, const char *name)
{
	const cb_peer_t *peer = cb_peer_find(replica, name);

	if (peer && peer->is_voter && !peer->is_vote_granted &&
	    (replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE ||
	     replica->role == CB_REPLICA_ROLE_CANDIDATE))
		vote_request_send_(replica, peer,
				   replica->role ==
					   CB_REPLICA_ROLE_PRE_CANDIDATE,
				   FALSE);
}

/*
 * Whether a majority of voters, itself included, granted this member their
 * votes.
 */
static gboolean has_vote_majority_(const cb_replica_t *replica)
{
	uint32_t count = 1;
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter && peer->is_vote_granted)
			count++;
	}
	return count > cb_members_voter_count(replica->members) / 2;
}

/*
 * Logs how the voters replied in an election that no majority has decided.
 * Repeated elections with the same result are logged once.
 */
static void election_failure_log_(cb_replica_t *replica)
{
	uint32_t voters = cb_members_voter_count(replica->members);
	cb_election_result_t result = { .voters = voters, .granted = 1 };
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		result.granted += peer->is_voter && peer->is_vote_granted;
		result.refused += peer->is_voter && peer->is_vote_refused;
	}
	if (!memcmp(&result, &replica->failed_election, sizeof(result)))
		return;
	replica->failed_election = result;
	cb_log_event(replica->event_log, CB_EVENT_ELECTION_FAILED,
		     CB_STR("role", cb_replica_role_string[replica->role]),
		     CB_INT("term", replica->term), CB_INT("voters", voters),
		     CB_INT("granted", result.granted),
		     CB_INT("refused", result.refused));
}

/* Enters the next term, votes for itself and requests the other votes. */
static void election_begin_(cb_replica_t *replica, gboolean is_hand_over)
{
	cb_replica_count(replica, CB_REPLICA_COUNT_ELECTION);
	cb_replica_set_role(replica, CB_REPLICA_ROLE_CANDIDATE);
	cb_replica_set_leader(replica, NULL);
	replica->term++;
	replica->verified = 0;
	g_free(replica->voted_for);
	replica->voted_for = g_strdup(replica->disk_id);
	cb_replica_save_vote(replica);
	vote_requests_send_all_(replica, FALSE, is_hand_over);
	cb_election_arm(replica);
}

/* Called when the election timer expires: requests pre-votes. */
void cb_election_timeout(cb_replica_t *replica)
{
	if (!cb_replica_is_voter(replica) || cb_replica_leads(replica))
		return;
	if (replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE ||
	    replica->role == CB_REPLICA_ROLE_CANDIDATE)
		election_failure_log_(replica);
	cb_replica_set_leader(replica, NULL);
	cb_replica_count(replica, CB_REPLICA_COUNT_PRE_VOTE);
	cb_replica_set_role(replica, CB_REPLICA_ROLE_PRE_CANDIDATE);
	vote_requests_send_all_(replica, TRUE, FALSE);
	cb_election_arm(replica);
	if (has_vote_majority_(replica))
		election_begin_(replica, FALSE);
}

/* Called when this member's term and vote are durable; counts the votes. */
void cb_election_vote_saved(cb_replica_t *replica)
{
	if (replica->role == CB_REPLICA_ROLE_CANDIDATE &&
	    has_vote_majority_(replica))
		cb_replication_become_leader(replica);
}

/* Whether the requester's log is at least as advanced as this member's. */
static gboolean candidate_log_is_up_to_date_(const cb_replica_t *replica,
					     const cb_vote_request_t *request)
{
	uint64_t last_term = cb_replica_log_last_term(replica->log);

	if (request->last_term != last_term)
		return request->last_term > last_term;
	return request->last_index >= cb_replica_log_last_index(replica->log);
}

static void vote_reply_send_(cb_replica_t *replica, const char *from,
			     const cb_message_t *request, gboolean is_granted)
{
	cb_message_t *reply = cb_message_new(CB_MESSAGE_VOTE_REPLY);

	if (!is_granted)
		cb_replica_count(replica, CB_REPLICA_COUNT_VOTE_REFUSED);

	reply->term = replica->term;
	reply->vote_reply.is_pre_vote = request->vote_request.is_pre_vote;
	reply->vote_reply.is_granted = is_granted;
	reply->vote_reply.request_term = request->term;
	cb_replica_send(replica, from, NULL, request->from_disk, reply);
}

/*
 * Whether this member recently granted a pre-vote to another candidate.  If two
 * members start elections at once, as when a majority has just started, the
 * votes would be split and an election timeout lost.
 */
static gboolean is_pre_vote_granted_to_other_(const cb_replica_t *replica,
					      const char *from,
					      const cb_vote_request_t *request)
{
	const cb_pre_vote_grant_t *grant = &replica->pre_vote_grant;

	if (!grant->candidate || !strcmp(grant->candidate, from) ||
	    cb_replica_now_ms(replica) - grant->granted_ms >=
		    replica->election_timeout_ms /
			    PRE_VOTE_GRANT_TIMEOUT_DIVISOR)
		return FALSE;
	/*
	 * A candidate with a more advanced log may win where the earlier
	 * candidate can't.
	 */
	return request->last_term < grant->last_term ||
	       (request->last_term == grant->last_term &&
		request->last_index <= grant->last_index);
}

static void pre_vote_grant_record_(cb_replica_t *replica, const char *from,
				   const cb_vote_request_t *request)
{
	g_free(replica->pre_vote_grant.candidate);
	replica->pre_vote_grant.candidate = g_strdup(from);
	replica->pre_vote_grant.granted_ms = cb_replica_now_ms(replica);
	replica->pre_vote_grant.last_term = request->last_term;
	replica->pre_vote_grant.last_index = request->last_index;
}

static void pre_vote_request_handle_(cb_replica_t *replica, const char *from,
				     const cb_message_t *message)
{
	gboolean is_granted =
		message->term > replica->term &&
		!has_leader_contact_(replica) &&
		!is_pre_vote_granted_to_other_(replica, from,
					       &message->vote_request) &&
		candidate_log_is_up_to_date_(replica, &message->vote_request);

	if (is_granted)
		pre_vote_grant_record_(replica, from, &message->vote_request);
	vote_reply_send_(replica, from, message, is_granted);
}

/* Handles a request for a vote or a pre-vote. */
void cb_election_vote_request(cb_replica_t *replica, const char *from,
			      const cb_message_t *message)
{
	const cb_vote_request_t *request = &message->vote_request;
	gboolean is_granted;

	if (request->is_pre_vote) {
		pre_vote_request_handle_(replica, from, message);
		return;
	}
	if (has_leader_contact_(replica) && !request->is_hand_over) {
		cb_replica_count(replica, CB_REPLICA_COUNT_VOTE_REFUSED);
		return;
	}
	if (message->term > replica->term)
		cb_election_step_down(replica, message->term);
	is_granted = message->term == replica->term &&
		     (!replica->voted_for ||
		      !strcmp(replica->voted_for, message->from_disk)) &&
		     candidate_log_is_up_to_date_(replica, request);
	if (is_granted && !replica->voted_for) {
		replica->voted_for = g_strdup(message->from_disk);
		cb_replica_save_vote(replica);
		cb_election_arm(replica);
	}
	vote_reply_send_(replica, from, message, is_granted);
}

/* Handles the reply to a request for a vote or a pre-vote. */
void cb_election_vote_reply(cb_replica_t *replica, cb_peer_t *peer,
			    const cb_message_t *message)
{
	const cb_vote_reply_t *reply = &message->vote_reply;

	if (message->term > replica->term) {
		cb_election_step_down(replica, message->term);
		return;
	}
	if (!reply->is_granted) {
		peer->is_vote_refused = TRUE;
		return;
	}
	if (reply->is_pre_vote) {
		if (replica->role != CB_REPLICA_ROLE_PRE_CANDIDATE ||
		    reply->request_term != replica->term + 1)
			return;
		peer->is_vote_granted = TRUE;
		if (has_vote_majority_(replica))
			election_begin_(replica, FALSE);
		return;
	}
	if (replica->role != CB_REPLICA_ROLE_CANDIDATE ||
	    reply->request_term != replica->term)
		return;
	peer->is_vote_granted = TRUE;
	if (has_vote_majority_(replica) && !replica->vote_saves)
		cb_replication_become_leader(replica);
}

/* Starts an election at once, at the request of the present leader. */
void cb_election_take_over(cb_replica_t *replica, const char *from,
			   const cb_message_t *message)
{
	if (message->term != replica->term || cb_replica_leads(replica) ||
	    g_strcmp0(replica->leader, from) || !cb_replica_is_voter(replica))
		return;
	election_begin_(replica, TRUE);
}

/*
 * Returns the number of voters, this member included, that a message arrived
 * from within the election timeout.
 */
static uint32_t voters_in_contact_count_(const cb_replica_t *replica)
{
	uint32_t count = cb_replica_is_voter(replica) ? 1 : 0;
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter && cb_peer_is_in_contact(replica, peer))
			count++;
	}
	return count;
}

/*
 * Whether messages arrived from a majority of voters, this member included,
 * within the election timeout.
 */
gboolean cb_election_has_majority_contact(const cb_replica_t *replica)
{
	return voters_in_contact_count_(replica) >
	       cb_members_voter_count(replica->members) / 2;
}

/*
 * Returns the most advanced of the voters that sent a message since `since_ms`
 * (-1: of all voters), or NULL.
 */
static cb_peer_t *most_advanced_voter_find_(const cb_replica_t *replica,
					    int64_t since_ms)
{
	cb_peer_t *best = NULL;
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter && peer->last_received_ms >= since_ms &&
		    (!best || peer->match > best->match))
			best = peer;
	}
	return best;
}

static void take_over_request_send_(cb_replica_t *replica,
				    const cb_peer_t *peer)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_TAKE_OVER);

	message->term = replica->term;
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
}

/*
 * Steps down as leader for lack of contact with a majority.  The messages that
 * this member sends may still arrive, so it requests an election by another
 * voter at once.
 */
void cb_election_resign(cb_replica_t *replica)
{
	cb_peer_t *peer = most_advanced_voter_find_(replica, -1);

	cb_replica_count(replica, CB_REPLICA_COUNT_NO_MAJORITY);
	cb_log_event(replica->event_log, CB_EVENT_MAJORITY_LOST,
		     CB_INT("term", replica->term),
		     CB_INT("voters", cb_members_voter_count(replica->members)),
		     CB_INT("in_contact", voters_in_contact_count_(replica)));
	if (peer)
		take_over_request_send_(replica, peer);
	cb_election_step_down(replica, replica->term);
}

/*
 * Transfers leadership to the most advanced voter, for a planned stop.
 * Proposals are refused until this member has stepped down, or until one
 * election timeout has passed.
 */
void cb_replica_hand_over(cb_replica_t *replica)
{
	cb_peer_t *peer;

	if (!cb_replica_leads(replica) || replica->hand_over_to)
		return;
	peer = most_advanced_voter_find_(replica,
					 cb_replica_now_ms(replica) -
						 replica->election_timeout_ms);
	if (!peer)
		return;
	replica->hand_over_to = g_strdup(peer->name);
	replica->hand_over_deadline_ms =
		cb_replica_now_ms(replica) + replica->election_timeout_ms;
	cb_election_hand_over_step(replica);
}

/* Requests an election by the chosen voter once it has every record. */
void cb_election_hand_over_step(cb_replica_t *replica)
{
	cb_peer_t *peer;

	if (!replica->hand_over_to)
		return;
	peer = cb_peer_find(replica, replica->hand_over_to);
	if (!peer ||
	    cb_replica_now_ms(replica) >= replica->hand_over_deadline_ms) {
		g_clear_pointer(&replica->hand_over_to, g_free);
		return;
	}
	if (peer->match == cb_replica_log_last_index(replica->log))
		take_over_request_send_(replica, peer);
}
