#include "private/replica.h"

#include <string.h>

/* A promise of a vote lasts so large a part of the election timeout. */
#define PROMISE_PART 5

/* Arms the election timer, one to two election timeouts ahead. */
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
 * Arms the timer after a start, for less: whoever hears a leader refuses the
 * pre-vote, so a group that starts as a whole need not wait.
 */
void cb_election_arm_first(cb_replica_t *replica)
{
	int32_t least = (int32_t)replica->election_timeout_ms / 5;
	int32_t most = (int32_t)replica->election_timeout_ms;

	if (!cb_replica_is_voter(replica))
		return;
	if (cb_members_voter_count(replica->members) == 1)
		cb_timer_start(replica->election_timer, 0);
	else
		cb_timer_start(replica->election_timer,
			       g_rand_int_range(replica->random, least, most));
}

/* Whether this member hears a leader, so that it refuses to vote. */
static gboolean hears_leader_(const cb_replica_t *replica)
{
	if (cb_replica_leads(replica))
		return TRUE;
	return replica->leader &&
	       cb_replica_now_ms(replica) - replica->leader_last_received_ms <
		       replica->election_timeout_ms;
}

/* Gives up what only a leader holds. */
static void leadership_end_(cb_replica_t *replica)
{
	cb_timer_stop(replica->heartbeat_timer);
	g_clear_pointer(&replica->hand_over_to, g_free);
	cb_membership_end_addition(replica, CB_REPLICA_NOT_LEADER);
	cb_proposal_abandon_all(replica);
	cb_replica_store_records(replica);
}

/* Becomes a follower, of `term` if that is later than the present one. */
void cb_election_step_down(cb_replica_t *replica, uint64_t term)
{
	gboolean has_led = cb_replica_leads(replica);
	gboolean is_later = term > replica->term;

	cb_replica_set_role(replica, cb_replica_is_voter(replica) ?
					     CB_REPLICA_ROLE_FOLLOWER :
					     CB_REPLICA_ROLE_LEARNER);
	if (has_led)
		leadership_end_(replica);
	if (is_later) {
		replica->term = term;
		g_clear_pointer(&replica->voted_for, g_free);
		cb_replica_save_vote(replica);
	}
	if (has_led || is_later) {
		replica->verified = 0;
		cb_replica_set_leader(replica, NULL);
	}
	if (has_led || !cb_timer_is_armed(replica->election_timer))
		cb_election_arm(replica);
}

static void vote_ask_(cb_replica_t *replica, const cb_peer_t *peer,
		      gboolean is_pre_vote, gboolean is_hand_over)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_VOTE_REQUEST);

	message->term = replica->term + (is_pre_vote ? 1 : 0);
	message->vote_request.is_pre_vote = is_pre_vote;
	message->vote_request.is_hand_over = is_hand_over;
	message->vote_request.last_index = cb_replica_log_last(replica->log);
	message->vote_request.last_term =
		cb_replica_log_last_term(replica->log);
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
}

static void votes_ask_(cb_replica_t *replica, gboolean is_pre_vote,
		       gboolean is_hand_over)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		cb_peer_t *peer = replica->peers->pdata[i];

		peer->is_vote_granted = FALSE;
		if (peer->is_voter)
			vote_ask_(replica, peer, is_pre_vote, is_hand_over);
	}
}

/*
 * Tells that messages to a member get through again.  The request for its
 * vote may have been lost before, and the next one is an election timeout
 * away.
 */
void cb_replica_peer_ready(cb_replica_t *replica, const char *name)
{
	const cb_peer_t *peer = cb_peer_find(replica, name);

	if (peer && peer->is_voter && !peer->is_vote_granted &&
	    (replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE ||
	     replica->role == CB_REPLICA_ROLE_CANDIDATE))
		vote_ask_(replica, peer,
			  replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE,
			  FALSE);
}

static gboolean has_majority_(const cb_replica_t *replica)
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

/* Votes for itself in the next term and asks the others. */
static void candidate_begin_(cb_replica_t *replica, gboolean is_hand_over)
{
	cb_replica_count(replica, CB_REPLICA_COUNT_ELECTION);
	cb_replica_set_role(replica, CB_REPLICA_ROLE_CANDIDATE);
	cb_replica_set_leader(replica, NULL);
	replica->term++;
	replica->verified = 0;
	g_free(replica->voted_for);
	replica->voted_for = g_strdup(replica->disk_id);
	cb_replica_save_vote(replica);
	votes_ask_(replica, FALSE, is_hand_over);
	cb_election_arm(replica);
}

/* Begins an election: first asks whether others would vote at all. */
void cb_election_timeout(cb_replica_t *replica)
{
	if (!cb_replica_is_voter(replica) || cb_replica_leads(replica))
		return;
	cb_replica_set_leader(replica, NULL);
	cb_replica_count(replica, CB_REPLICA_COUNT_PRE_VOTE);
	cb_replica_set_role(replica, CB_REPLICA_ROLE_PRE_CANDIDATE);
	votes_ask_(replica, TRUE, FALSE);
	cb_election_arm(replica);
	if (has_majority_(replica))
		candidate_begin_(replica, FALSE);
}

/* Counts the own vote once it is durable. */
void cb_election_vote_saved(cb_replica_t *replica)
{
	if (replica->role == CB_REPLICA_ROLE_CANDIDATE &&
	    has_majority_(replica))
		cb_replication_become_leader(replica);
}

static gboolean is_up_to_date_(const cb_replica_t *replica,
			       const cb_vote_request_t *request)
{
	uint64_t last_term = cb_replica_log_last_term(replica->log);

	if (request->last_term != last_term)
		return request->last_term > last_term;
	return request->last_index >= cb_replica_log_last(replica->log);
}

static void vote_answer_(cb_replica_t *replica, const char *from,
			 const cb_message_t *asked, gboolean is_granted)
{
	cb_message_t *reply = cb_message_new(CB_MESSAGE_VOTE_REPLY);

	if (!is_granted)
		cb_replica_count(replica, CB_REPLICA_COUNT_VOTE_REFUSED);

	reply->term = replica->term;
	reply->vote_reply.is_pre_vote = asked->vote_request.is_pre_vote;
	reply->vote_reply.is_granted = is_granted;
	reply->vote_reply.asked_term = asked->term;
	cb_replica_send(replica, from, NULL, asked->from_disk, reply);
}

/*
 * Whether another was told lately that it would get this member's vote.  With
 * two that stand at once, as when a majority is just up, the votes would be
 * split and an election timeout lost.
 */
static gboolean is_promised_(const cb_replica_t *replica, const char *from,
			     const cb_vote_request_t *request)
{
	const cb_pre_vote_grant_t *pre_vote_grant = &replica->pre_vote_grant;

	if (!pre_vote_grant->candidate ||
	    !strcmp(pre_vote_grant->candidate, from) ||
	    cb_replica_now_ms(replica) - pre_vote_grant->granted_ms >=
		    replica->election_timeout_ms / PROMISE_PART)
		return FALSE;
	/* One with a longer log may win where the other can't. */
	return request->last_term < pre_vote_grant->last_term ||
	       (request->last_term == pre_vote_grant->last_term &&
		request->last_index <= pre_vote_grant->last_index);
}

static void promise_(cb_replica_t *replica, const char *from,
		     const cb_vote_request_t *request)
{
	g_free(replica->pre_vote_grant.candidate);
	replica->pre_vote_grant.candidate = g_strdup(from);
	replica->pre_vote_grant.granted_ms = cb_replica_now_ms(replica);
	replica->pre_vote_grant.last_term = request->last_term;
	replica->pre_vote_grant.last_index = request->last_index;
}

static void pre_vote_receive_(cb_replica_t *replica, const char *from,
			      const cb_message_t *message)
{
	gboolean is_granted =
		message->term > replica->term && !hears_leader_(replica) &&
		!is_promised_(replica, from, &message->vote_request) &&
		is_up_to_date_(replica, &message->vote_request);

	if (is_granted)
		promise_(replica, from, &message->vote_request);
	vote_answer_(replica, from, message, is_granted);
}

/* Answers a request for a vote or a pre-vote. */
void cb_election_vote_request(cb_replica_t *replica, const char *from,
			      const cb_message_t *message)
{
	const cb_vote_request_t *request = &message->vote_request;
	gboolean is_granted;

	if (request->is_pre_vote) {
		pre_vote_receive_(replica, from, message);
		return;
	}
	if (hears_leader_(replica) && !request->is_hand_over) {
		cb_replica_count(replica, CB_REPLICA_COUNT_VOTE_REFUSED);
		return;
	}
	if (message->term > replica->term)
		cb_election_step_down(replica, message->term);
	is_granted = message->term == replica->term &&
		     (!replica->voted_for ||
		      !strcmp(replica->voted_for, message->from_disk)) &&
		     is_up_to_date_(replica, request);
	if (is_granted && !replica->voted_for) {
		replica->voted_for = g_strdup(message->from_disk);
		cb_replica_save_vote(replica);
		cb_election_arm(replica);
	}
	vote_answer_(replica, from, message, is_granted);
}

/* Counts a vote or a pre-vote. */
void cb_election_vote_reply(cb_replica_t *replica, cb_peer_t *peer,
			    const cb_message_t *message)
{
	const cb_vote_reply_t *reply = &message->vote_reply;

	if (message->term > replica->term) {
		cb_election_step_down(replica, message->term);
		return;
	}
	if (!reply->is_granted)
		return;
	if (reply->is_pre_vote) {
		if (replica->role != CB_REPLICA_ROLE_PRE_CANDIDATE ||
		    reply->asked_term != replica->term + 1)
			return;
		peer->is_vote_granted = TRUE;
		if (has_majority_(replica))
			candidate_begin_(replica, FALSE);
		return;
	}
	if (replica->role != CB_REPLICA_ROLE_CANDIDATE ||
	    reply->asked_term != replica->term)
		return;
	peer->is_vote_granted = TRUE;
	if (has_majority_(replica) && !replica->vote_saves)
		cb_replication_become_leader(replica);
}

/* Stands for election at once, as the present leader asks. */
void cb_election_take_over(cb_replica_t *replica, const char *from,
			   const cb_message_t *message)
{
	if (message->term != replica->term || cb_replica_leads(replica) ||
	    g_strcmp0(replica->leader, from) || !cb_replica_is_voter(replica))
		return;
	candidate_begin_(replica, TRUE);
}

/* Whether a majority of voters was heard within the election timeout. */
gboolean cb_election_has_majority_contact(const cb_replica_t *replica)
{
	int64_t since_ms =
		cb_replica_now_ms(replica) - replica->election_timeout_ms;
	uint32_t count = cb_replica_is_voter(replica) ? 1 : 0;
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (peer->is_voter && peer->last_received_ms >= since_ms)
			count++;
	}
	return count > cb_members_voter_count(replica->members) / 2;
}

/* Returns the most advanced voter that was heard since, or NULL. */
static cb_peer_t *most_advanced_voter_(const cb_replica_t *replica,
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

static void take_over_ask_(cb_replica_t *replica, const cb_peer_t *peer)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_TAKE_OVER);

	message->term = replica->term;
	cb_replica_send(replica, peer->name, peer->address, peer->disk_id,
			message);
}

/*
 * Ends the lead of a member that hears no majority.  What it sends may still
 * arrive, so it asks another to stand at once.
 */
void cb_election_resign(cb_replica_t *replica)
{
	cb_peer_t *peer = most_advanced_voter_(replica, -1);

	cb_replica_count(replica, CB_REPLICA_COUNT_NO_MAJORITY);
	cb_log_event(replica->event_log, CB_EVENT_MAJORITY_LOST,
		     CB_INT("term", replica->term));
	if (peer)
		take_over_ask_(replica, peer);
	cb_election_step_down(replica, replica->term);
}

/*
 * Hands leadership to the most advanced voter, for a planned stop.  Until
 * that has ended, or one election timeout has passed, proposals are refused.
 */
void cb_replica_hand_over(cb_replica_t *replica)
{
	cb_peer_t *peer;

	if (!cb_replica_leads(replica) || replica->hand_over_to)
		return;
	peer = most_advanced_voter_(replica,
				    cb_replica_now_ms(replica) -
					    replica->election_timeout_ms);
	if (!peer)
		return;
	replica->hand_over_to = g_strdup(peer->name);
	replica->hand_over_deadline_ms =
		cb_replica_now_ms(replica) + replica->election_timeout_ms;
	cb_election_hand_over_step(replica);
}

/* Tells the chosen voter to stand once it has every record. */
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
	if (peer->match == cb_replica_log_last(replica->log))
		take_over_ask_(replica, peer);
}
