#include "private/replica.h"

#include <string.h>

/* A new member must report its disk within this many election timeouts. */
#define ADDITION_ELECTION_TIMEOUTS 10
/* After this many, another new member may take its place. */
#define ADDITION_YIELD_ELECTION_TIMEOUTS 2
/* A learner that lags by no more records than this has caught up. */
#define CAUGHT_UP_LAG_RECORDS 64
/*
 * The disk of a member that is silent for this many election timeouts may be
 * replaced.
 */
#define REPLACE_AFTER_ELECTION_TIMEOUTS 2
/*
 * A voter that is silent for this many election timeouts may lose its vote; it
 * gets it back once it answers.
 */
#define DEMOTE_AFTER_ELECTION_TIMEOUTS 4
/*
 * After this many, two voters of an odd number may lose their votes at once, and
 * silent learners are removed, which join again if they come back.
 */
#define ABANDON_AFTER_ELECTION_TIMEOUTS 20

/* Decodes members; a malformed list counts as empty, so that nobody votes. */
static GPtrArray *members_decode_(GBytes *bytes, char **group_id)
{
	GPtrArray *members = bytes ? cb_members_decode(bytes, group_id) : NULL;

	return members ? members : cb_members_new();
}

/*
 * Returns the members as of the record `through` (the last applied one or a
 * later one), and the index of the record or snapshot that holds them.  The
 * caller unrefs them, and frees the group's ID, which may be NULL.
 */
GPtrArray *cb_membership_at(const cb_replica_t *replica, uint64_t through,
			    uint64_t *index, char **group_id)
{
	uint64_t i;

	for (i = through; i > replica->snapshot.index; i--) {
		const cb_record_t *record = cb_replica_log_get(replica->log, i);

		if (record && record->kind == CB_RECORD_MEMBERS) {
			*index = i;
			return members_decode_(record->data, group_id);
		}
	}
	*index = replica->snapshot.index;
	return members_decode_(replica->snapshot.members, group_id);
}

/* Adopts the newest list of members in the log, even if not committed. */
void cb_membership_adopt(cb_replica_t *replica)
{
	gboolean was_voter = cb_replica_is_voter(replica);
	char *group_id = NULL;
	GPtrArray *members =
		cb_membership_at(replica,
				 cb_replica_log_last_index(replica->log),
				 &replica->members_index, &group_id);

	g_ptr_array_unref(replica->members);
	replica->members = members;
	g_free(replica->group_id);
	replica->group_id = group_id ? group_id : g_strdup("");
	cb_replica_sync_peers(replica);
	if (cb_replica_leads(replica) ||
	    was_voter == cb_replica_is_voter(replica))
		return;
	if (was_voter) {
		cb_timer_stop(replica->election_timer);
		cb_replica_set_role(replica, CB_REPLICA_ROLE_LEARNER);
	} else {
		cb_replica_set_role(replica, CB_REPLICA_ROLE_FOLLOWER);
		cb_election_arm(replica);
	}
}

/* Whether a change of members may begin: one is allowed at a time. */
static gboolean may_change_members_(const cb_replica_t *replica)
{
	return cb_replica_leads(replica) &&
	       replica->committed >= replica->members_index &&
	       replica->committed >= replica->term_start &&
	       !replica->hand_over_to;
}

/* Proposes `members`, which it unrefs; returns the index of the record. */
static uint64_t members_propose_(cb_replica_t *replica, GPtrArray *members)
{
	GBytes *data = cb_members_encode(members, replica->group_id);
	uint64_t index = cb_proposal_append(replica, CB_RECORD_MEMBERS, data);

	g_bytes_unref(data);
	g_ptr_array_unref(members);
	return index;
}

/* Proposes a learner; it replaces the former disk of the same name. */
static uint64_t learner_propose_(cb_replica_t *replica, const char *name,
				 const char *address, const char *disk_id)
{
	GPtrArray *members = cb_members_copy(replica->members);

	cb_members_remove(members, name);
	cb_members_add(members, name, address, FALSE, disk_id);
	return members_propose_(replica, members);
}

/* Returns a learner that has caught up and sends messages, or NULL. */
static const cb_peer_t *ready_learner_find_(const cb_replica_t *replica)
{
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];

		if (!peer->is_voter && cb_peer_is_in_contact(replica, peer) &&
		    peer->match && !peer->snapshot &&
		    peer->match + CAUGHT_UP_LAG_RECORDS >=
			    cb_replica_log_last_index(replica->log) &&
		    peer->match >= replica->members_index)
			return peer;
	}
	return NULL;
}

/* The voters or learners that don't answer this leader. */
typedef struct silent_members {
	const cb_peer_t *longest; /* silent for the longest time, or NULL */
	int64_t longest_ms;
	uint32_t abandoned; /* number silent for the longer of the two limits */
	gboolean has_doubtful; /* one had no contact for an election timeout */
} silent_members_t;

/* Returns what this leader knows of the voters, or learners, that are silent. */
static silent_members_t silent_members_find_(const cb_replica_t *replica,
					     gboolean are_voters)
{
	int64_t abandon_ms =
		ABANDON_AFTER_ELECTION_TIMEOUTS * replica->election_timeout_ms;
	silent_members_t silent = { 0 };
	uint32_t i;

	for (i = 0; i < replica->peers->len; i++) {
		const cb_peer_t *peer = replica->peers->pdata[i];
		int64_t silence_ms = cb_peer_silence_ms(replica, peer);

		if (peer->is_voter != are_voters)
			continue;
		if (!cb_peer_is_in_contact(replica, peer))
			silent.has_doubtful = TRUE;
		if (silence_ms >= abandon_ms)
			silent.abandoned++;
		if (silence_ms <= silent.longest_ms)
			continue;
		silent.longest = peer;
		silent.longest_ms = silence_ms;
	}
	return silent;
}

/* Returns a silent learner that is to be removed, or NULL. */
static const cb_peer_t *removable_learner_find_(const cb_replica_t *replica)
{
	silent_members_t learners = silent_members_find_(replica, FALSE);

	return learners.abandoned ? learners.longest : NULL;
}

/*
 * Whether voters that answer no longer may lose their votes though nothing
 * replaces them: at least `min_voters` remain, which store each record on enough
 * disks, and tolerate as many losses as before.
 */
static gboolean may_shrink_(const cb_replica_t *replica,
			    const silent_members_t *silent)
{
	uint32_t voters = cb_members_voter_count(replica->members);

	if (voters % 2 == 0)
		return voters > replica->min_voters;
	return silent->abandoned >= 2 && voters >= replica->min_voters + 2;
}

/* Proposes that a member be a voter or a learner. */
static void vote_propose_(cb_replica_t *replica, const char *name,
			  gboolean is_voter)
{
	GPtrArray *members = cb_members_copy(replica->members);

	cb_members_find(members, name)->is_voter = is_voter;
	members_propose_(replica, members);
}

/* Logs what becomes of a silent member, with the voters before the change. */
static void silent_member_log_(const cb_replica_t *replica, cb_event_t event,
			       const cb_peer_t *peer)
{
	cb_log_event(replica->event_log, event, CB_STR("member", peer->name),
		     CB_INT("silent_ms", cb_peer_silence_ms(replica, peer)),
		     CB_INT("voters",
			    cb_members_voter_count(replica->members)));
}

/* Proposes that a silent voter be a learner until it answers again. */
static void voter_demote_(cb_replica_t *replica, const cb_peer_t *peer)
{
	cb_replica_count(replica, CB_REPLICA_COUNT_DEMOTED);
	silent_member_log_(replica, CB_EVENT_VOTER_DEMOTED, peer);
	vote_propose_(replica, peer->name, FALSE);
}

/* Proposes the removal of a learner that has been silent for long. */
static void learner_remove_(cb_replica_t *replica, const cb_peer_t *peer)
{
	GPtrArray *members = cb_members_copy(replica->members);

	cb_replica_count(replica, CB_REPLICA_COUNT_PRUNED);
	silent_member_log_(replica, CB_EVENT_MEMBER_PRUNED, peer);
	cb_members_remove(members, peer->name);
	members_propose_(replica, members);
}

/* Proposes that a learner that has caught up be a voter. */
static void learner_promote_(cb_replica_t *replica, const cb_peer_t *learner)
{
	cb_replica_count(replica, CB_REPLICA_COUNT_PROMOTED);
	cb_log_event(replica->event_log, CB_EVENT_LEARNER_PROMOTED,
		     CB_STR("member", learner->name));
	vote_propose_(replica, learner->name, TRUE);
}

/*
 * Proposes the next change of members that is due.  A learner that has caught up
 * is made a voter; if their number is odd, a silent voter is demoted first, which
 * the learner then replaces, since voters that are gone would add up until no
 * majority is left.  While a voter may be gone, the learner waits.
 */
static void due_change_propose_(cb_replica_t *replica)
{
	const cb_peer_t *learner = ready_learner_find_(replica);
	silent_members_t silent = silent_members_find_(replica, TRUE);
	gboolean is_odd = cb_members_voter_count(replica->members) % 2;
	int64_t limit_ms =
		DEMOTE_AFTER_ELECTION_TIMEOUTS * replica->election_timeout_ms;
	const cb_peer_t *gone =
		silent.longest_ms >= limit_ms ? silent.longest : NULL;
	const cb_peer_t *lost_learner;

	if (!replica->min_voters) {
		if (learner)
			learner_promote_(replica, learner);
		return;
	}
	lost_learner = removable_learner_find_(replica);
	if (gone && (learner ? is_odd : may_shrink_(replica, &silent)))
		voter_demote_(replica, gone);
	else if (learner && !(is_odd && silent.has_doubtful))
		learner_promote_(replica, learner);
	else if (lost_learner)
		learner_remove_(replica, lost_learner);
}

/* Requests from a member a report of its disk, whichever disk that is. */
static void probe_send_(cb_replica_t *replica, const char *name,
			const char *address)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_PROBE);

	message->term = replica->term;
	cb_replica_send(replica, name, address, "", message);
}

/*
 * Whether this member has to form the group at its first start.  The first of
 * the initial members does so, as long as its disk is blank.
 */
gboolean cb_membership_forms_group(const cb_replica_t *replica)
{
	const cb_replica_member_t *first;

	if (!replica->initial_members->len || replica->members->len ||
	    cb_replica_log_last_index(replica->log))
		return FALSE;
	first = replica->initial_members->pdata[0];
	return !strcmp(first->name, replica->name);
}

/* Stores the first list of members once each of them has reported its disk. */
static void group_form_(cb_replica_t *replica)
{
	GPtrArray *members = cb_members_new();
	char *group_id;
	GBytes *data;
	uint32_t i;

	for (i = 0; i < replica->initial_members->len; i++) {
		const cb_replica_member_t *member =
			replica->initial_members->pdata[i];
		const char *disk_id =
			strcmp(member->name, replica->name) ?
				g_hash_table_lookup(replica->initial_disks,
						    member->name) :
				replica->disk_id;

		if (!disk_id) {
			g_ptr_array_unref(members);
			return;
		}
		cb_members_add(members, member->name, member->address, TRUE,
			       disk_id);
	}
	replica->term = 1;
	cb_replica_save_vote(replica);
	group_id = cb_replica_generate_id(replica);
	data = cb_members_encode(members, group_id);
	g_free(group_id);
	cb_replica_log_append(replica->log,
			      cb_record_new(1, 1, CB_RECORD_MEMBERS, data));
	g_bytes_unref(data);
	g_ptr_array_unref(members);
	cb_replica_store_records(replica);
	cb_membership_adopt(replica);
	cb_log_event(replica->event_log, CB_EVENT_GROUP_FORMED,
		     CB_INT("members", replica->members->len));
	cb_timer_stop(replica->heartbeat_timer);
	cb_timer_start(replica->election_timer, 0);
}

/*
 * Asks each other initial member for the ID of its disk and whether the disk is
 * blank, as the group forms only from blank disks.  A sole member forms the
 * group at once.
 */
static void initial_members_probe_(cb_replica_t *replica)
{
	uint32_t i;

	g_hash_table_remove_all(replica->initial_disks);
	for (i = 0; i < replica->initial_members->len; i++) {
		const cb_replica_member_t *member =
			replica->initial_members->pdata[i];

		if (strcmp(member->name, replica->name))
			probe_send_(replica, member->name, member->address);
	}
	group_form_(replica);
}

/*
 * Called at each heartbeat interval: forms the group, probes a member that is
 * being added, demotes or removes silent members and promotes learners.
 */
void cb_membership_tick(cb_replica_t *replica)
{
	cb_member_addition_t *addition = replica->addition;

	if (cb_membership_forms_group(replica)) {
		initial_members_probe_(replica);
		return;
	}
	if (!cb_replica_leads(replica))
		return;
	if (addition && cb_replica_now_ms(replica) >= addition->deadline_ms) {
		cb_replica_count(replica, CB_REPLICA_COUNT_NEW_MEMBER_SILENT);
		cb_membership_end_addition(replica, CB_REPLICA_BUSY);
	} else if (addition) {
		probe_send_(replica, addition->name, addition->address);
	}
	if (may_change_members_(replica))
		due_change_propose_(replica);
}

/* Completes the pending addition of a member, if any, with `outcome`. */
void cb_membership_end_addition(cb_replica_t *replica,
				cb_replica_outcome_t outcome)
{
	cb_member_addition_t *addition = g_steal_pointer(&replica->addition);

	if (!addition)
		return;
	cb_proposal_complete(replica, outcome, 0, NULL, addition->done,
			     addition->user_data);
	g_free(addition->name);
	g_free(addition->address);
	g_free(addition);
}

/*
 * Reports this member's disk ID to another member, and whether the disk is
 * blank.
 */
void cb_membership_report_disk(cb_replica_t *replica, const char *from)
{
	cb_message_t *reply = cb_message_new(CB_MESSAGE_PROBE_REPLY);

	reply->term = replica->term;
	reply->probe_reply.is_blank = !replica->members->len &&
				      !cb_replica_log_last_index(replica->log);
	reply->probe_reply.initial_digest =
		cb_members_digest(replica->initial_members);
	reply->probe_reply.group_id = g_strdup(replica->group_id);
	cb_replica_send(replica, from, NULL, "", reply);
}

/* Answers a probe with a report of this member's disk. */
void cb_membership_probe(cb_replica_t *replica, const char *from,
			 const cb_message_t *message)
{
	(void)message;
	cb_membership_report_disk(replica, from);
}

/*
 * Proposes the member that is being added, now that its disk is known.  If it
 * is a member with this disk and address already, the call completes at once.
 */
static void added_member_propose_(cb_replica_t *replica, const char *disk_id)
{
	cb_member_addition_t *addition = replica->addition;
	const cb_replica_member_t *known =
		cb_members_find(replica->members, addition->name);
	uint64_t index;

	if (known && !strcmp(known->disk_id, disk_id) &&
	    !strcmp(known->address, addition->address)) {
		cb_membership_end_addition(replica, CB_REPLICA_COMMITTED);
		return;
	}
	if (!may_change_members_(replica))
		return;
	if (known && !strcmp(known->disk_id, disk_id)) {
		GPtrArray *members = cb_members_copy(replica->members);
		cb_replica_member_t *readdressed =
			cb_members_find(members, addition->name);

		g_free(readdressed->address);
		readdressed->address = g_strdup(addition->address);
		index = members_propose_(replica, members);
	} else {
		index = learner_propose_(replica, addition->name,
					 addition->address, disk_id);
	}
	cb_proposal_add_waiter(replica, index, addition->done,
			       addition->user_data);
	replica->addition = NULL;
	g_free(addition->name);
	g_free(addition->address);
	g_free(addition);
}

/*
 * Proposes a member's blank disk in place of its former one, once that is
 * silent.
 */
static void blank_disk_propose_(cb_replica_t *replica, const char *name,
				const char *disk_id)
{
	int64_t silence_limit_ms =
		REPLACE_AFTER_ELECTION_TIMEOUTS * replica->election_timeout_ms;
	const cb_peer_t *peer = cb_peer_find(replica, name);
	int64_t now_ms = cb_replica_now_ms(replica);

	if (!peer || !strcmp(peer->disk_id, disk_id) ||
	    !may_change_members_(replica))
		return;
	if (peer->last_received_ms >= 0 &&
	    now_ms - peer->last_received_ms < silence_limit_ms)
		return;
	cb_replica_count(replica, CB_REPLICA_COUNT_DISK_REPLACED);
	cb_log_event(replica->event_log, CB_EVENT_DISK_REPLACED,
		     CB_STR("member", name), CB_STR("disk", disk_id));
	learner_propose_(replica, name, peer->address, disk_id);
}

/* Handles the report of another member's disk. */
void cb_membership_probe_reply(cb_replica_t *replica, const char *from,
			       const cb_message_t *message)
{
	const cb_probe_reply_t *reply = &message->probe_reply;

	if (cb_membership_forms_group(replica)) {
		if (!reply->is_blank ||
		    reply->initial_digest !=
			    cb_members_digest(replica->initial_members))
			return;
		g_hash_table_insert(replica->initial_disks, g_strdup(from),
				    g_strdup(message->from_disk));
		group_form_(replica);
		return;
	}
	if (!cb_replica_leads(replica) || !*message->from_disk)
		return;
	if (*reply->group_id && strcmp(reply->group_id, replica->group_id)) {
		cb_replica_count(replica, CB_REPLICA_COUNT_OTHER_GROUP);
		return;
	}
	if (replica->addition && !strcmp(replica->addition->name, from))
		added_member_propose_(replica, message->from_disk);
	else if (reply->is_blank)
		blank_disk_propose_(replica, from, message->from_disk);
}

/* Whether the addition in progress keeps out that of the member `name`. */
static gboolean addition_is_exclusive_(const cb_replica_t *replica,
				       const char *name)
{
	const cb_member_addition_t *addition = replica->addition;

	return addition && (!strcmp(addition->name, name) ||
			    cb_replica_now_ms(replica) - addition->begun_ms <
				    ADDITION_YIELD_ELECTION_TIMEOUTS *
					    replica->election_timeout_ms);
}

/*
 * Adds a member as a learner; the leader promotes it to a voter once it has
 * caught up.  With the outcome CB_REPLICA_BUSY nothing was changed: another
 * change is pending, the member did not answer in time, or its disk belongs to
 * another group.
 */
void cb_replica_add_member(cb_replica_t *replica, const char *name,
			   const char *address, cb_replica_done_fn_t done,
			   void *user_data)
{
	cb_member_addition_t *addition;

	if (!cb_replica_leads(replica)) {
		cb_proposal_reject(replica, CB_REPLICA_NOT_LEADER,
				   CB_REPLICA_COUNT_NOT_LEADER, done,
				   user_data);
		return;
	}
	if (addition_is_exclusive_(replica, name) ||
	    !strcmp(name, replica->name)) {
		cb_proposal_reject(replica, CB_REPLICA_BUSY,
				   CB_REPLICA_COUNT_MEMBERSHIP_CHANGE_PENDING,
				   done, user_data);
		return;
	}
	cb_membership_end_addition(replica, CB_REPLICA_BUSY);
	addition = g_new0(cb_member_addition_t, 1);
	addition->name = g_strdup(name);
	addition->address = g_strdup(address);
	addition->begun_ms = cb_replica_now_ms(replica);
	addition->deadline_ms =
		addition->begun_ms +
		ADDITION_ELECTION_TIMEOUTS * replica->election_timeout_ms;
	addition->done = done;
	addition->user_data = user_data;
	replica->addition = addition;
	probe_send_(replica, name, address);
}

/*
 * Removes a member.  An unknown name counts as removed.  With the outcome
 * CB_REPLICA_BUSY nothing was changed: another change is pending, or the member
 * is the last voter.
 */
void cb_replica_remove_member(cb_replica_t *replica, const char *name,
			      cb_replica_done_fn_t done, void *user_data)
{
	const cb_replica_member_t *member;
	GPtrArray *members;

	if (!cb_replica_leads(replica)) {
		cb_proposal_reject(replica, CB_REPLICA_NOT_LEADER,
				   CB_REPLICA_COUNT_NOT_LEADER, done,
				   user_data);
		return;
	}
	member = cb_members_find(replica->members, name);
	if (!member) {
		cb_proposal_complete(replica, CB_REPLICA_COMMITTED,
				     replica->applied, NULL, done, user_data);
		return;
	}
	if (!may_change_members_(replica) ||
	    (member->is_voter &&
	     cb_members_voter_count(replica->members) == 1)) {
		cb_proposal_reject(replica, CB_REPLICA_BUSY,
				   CB_REPLICA_COUNT_MEMBERSHIP_CHANGE_PENDING,
				   done, user_data);
		return;
	}
	members = cb_members_copy(replica->members);
	cb_members_remove(members, name);
	cb_proposal_add_waiter(replica, members_propose_(replica, members),
			       done, user_data);
}
