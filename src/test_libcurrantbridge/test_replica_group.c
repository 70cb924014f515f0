#include <stdio.h>
#include <xxhash.h>

#include "private/replica.h"
#include "support_group.h"
#include "support_main.h"

#define LONG_CUT_MS 60000
#define STEP_MS 10

static group_t *group_begin_(uint64_t seed, uint32_t size)
{
	group_t *group = group_new(seed, size);

	group_start_all(group);
	CU_ASSERT_PTR_NOT_NULL_FATAL(group_wait_leader(group, 3000));
	CU_ASSERT_TRUE(group_commit_many(group, 10, 1000));
	return group;
}

static void group_end_(group_t *group)
{
	CU_ASSERT_TRUE(group_wait_equal(group, 5000));
	group_check_logs(group);
	CU_ASSERT_TRUE(group_is_good(group));
	group_delete(group);
}

static group_member_t *follower_(group_t *group)
{
	group_member_t *leader = group_leader(group);

	return &group->members[leader == &group->members[0] ? 1 : 0];
}

static gboolean wait_voter_(group_t *group, const group_member_t *member,
			    int64_t bound_ms)
{
	for (; bound_ms > 0; bound_ms -= STEP_MS) {
		if (group_is_voter(group, member))
			return TRUE;
		group_run(group, STEP_MS);
	}
	return FALSE;
}

static void group_commits_at_every_size(void)
{
	static const uint32_t sizes[] = { 1, 2, 3, 5, 7 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		group_end_(group_begin_(i, sizes[i]));
}

typedef struct ways {
	gboolean in;
	gboolean out;
} ways_t;

static const ways_t ways[] = { { TRUE, TRUE },
			       { TRUE, FALSE },
			       { FALSE, TRUE } };

/* A follower that was cut off neither raises the term nor ends the lead. */
static void cut_off_follower_does_not_disturb(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		group_t *group = group_begin_(i, 3);
		group_member_t *leader = group_leader(group);
		uint64_t term = cb_replica_term(leader->replica);

		group_cut_off(follower_(group), ways[i].in, ways[i].out);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
		group_run(group, LONG_CUT_MS);
		group_heal(group);
		group_run(group, 3000);
		CU_ASSERT_EQUAL(cb_replica_term(leader->replica), term);
		CU_ASSERT_PTR_EQUAL(group_leader(group), leader);
		group_end_(group);
	}
}

static void outcome_note_(cb_replica_outcome_t outcome, uint64_t index,
			  GBytes *answer, void *user_data)
{
	GArray *outcomes = user_data;

	(void)index;
	(void)answer;
	g_array_append_val(outcomes, outcome);
}

/* A leader that does not hear a majority steps down; the others go on. */
static void cut_off_leader_steps_down(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		group_t *group = group_begin_(i, 3);
		group_member_t *leader = group_leader(group);
		GArray *outcomes =
			g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));

		group_cut_off(leader, ways[i].in, ways[i].out);
		cb_replica_confirm(leader->replica, outcome_note_, outcomes);
		group_run(group, 700);
		CU_ASSERT_FALSE(cb_replica_leads(leader->replica));
		/* One that still hears may follow the next leader by now. */
		if (ways[i].in)
			CU_ASSERT_FALSE(cb_replica_is_current(leader->replica));
		CU_ASSERT_EQUAL(outcomes->len, 1);
		CU_ASSERT_NOT_EQUAL(g_array_index(outcomes,
						  cb_replica_outcome_t, 0),
				    CB_REPLICA_COMMITTED);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
		CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
		group_run(group, LONG_CUT_MS);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
		group_heal(group);
		g_array_unref(outcomes);
		group_end_(group);
	}
}

static void first_start_needs_every_member(void)
{
	group_t *group = group_new(1, 3);

	group_start(&group->members[0]);
	group_start(&group->members[1]);
	CU_ASSERT_PTR_NULL(group_wait_leader(group, 5000));
	group_start(&group->members[2]);
	CU_ASSERT_PTR_NOT_NULL(group_wait_leader(group, 3000));
	group_end_(group);
}

/* With one of the two others lost, a blank disk must not make a majority. */
static void blank_disk_does_not_vote(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *lost = group_leader(group);
	group_member_t *blank = follower_(group);

	group_blank(blank);
	group_crash(lost);
	group_start(blank);
	CU_ASSERT_PTR_NULL(group_wait_leader(group, 30000));
	group_start(lost);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
	CU_ASSERT_TRUE(wait_voter_(group, blank, 5000));
	group_end_(group);
}

/* Every disk is replaced in turn, each right after the former's repair. */
static void every_disk_is_replaced_in_turn(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 10; seed++) {
		group_t *group = group_begin_(seed, 3);
		uint32_t i;

		for (i = 0; i < group->size; i++) {
			group_member_t *member = &group->members[i];

			group_blank(member);
			CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
			group_start(member);
			CU_ASSERT_TRUE(wait_voter_(group, member, 10000));
		}
		CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
		group_end_(group);
	}
}

/* Another process under the name of a live member is not admitted. */
static void live_member_is_not_replaced(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *follower = follower_(group);
	cb_message_t *message = cb_message_new(CB_MESSAGE_PROBE_REPLY);
	GBytes *bytes;

	message->term = 0;
	message->from_disk = g_strdup("another");
	message->to_disk = g_strdup("");
	message->from_address = g_strdup(follower->address);
	message->probe_reply.is_blank = TRUE;
	bytes = cb_message_encode(message);
	cb_replica_receive(group_leader(group)->replica, follower->name, bytes);
	group_run(group, 1000);
	CU_ASSERT_TRUE(group_is_voter(group, follower));
	g_bytes_unref(bytes);
	cb_message_delete(message);
	group_end_(group);
}

/* A disk that holds another group's log is not admitted. */
static void disk_of_another_group_is_refused(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	cb_message_t *message = cb_message_new(CB_MESSAGE_PROBE_REPLY);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	GBytes *bytes;

	message->from_disk = g_strdup("another");
	message->from_address = g_strdup("127.0.0.1:9");
	message->probe_reply.group_id = g_strdup("another group");
	bytes = cb_message_encode(message);
	cb_replica_add_member(leader->replica, "m9", "127.0.0.1:9",
			      outcome_note_, outcomes);
	cb_replica_receive(leader->replica, "m9", bytes);
	group_run(group, 6000);
	CU_ASSERT_EQUAL(outcomes->len, 1);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_BUSY);
	CU_ASSERT_EQUAL(cb_replica_members(leader->replica)->len, 3);
	g_bytes_unref(bytes);
	cb_message_delete(message);
	g_array_unref(outcomes);
	group_end_(group);
}

static void all_restart_after_300_changes(void)
{
	group_t *group = group_begin_(1, 3);
	uint32_t i;

	CU_ASSERT_TRUE(group_commit_many(group, 300, 1000));
	for (i = 0; i < group->size; i++)
		group_crash(&group->members[i]);
	group_start_all(group);
	CU_ASSERT_TRUE(group_commit_many(group, 1, 3000));
	CU_ASSERT_TRUE(cb_replica_applied(group->members[0].replica) > 300);
	group_end_(group);
}

static void member_is_added_and_removed(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *added = group_add(group);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint64_t term;

	CU_ASSERT_TRUE(group_commit_many(group, 200, 1000));
	group_start(added);
	cb_replica_add_member(group_leader(group)->replica, added->name,
			      added->address, outcome_note_, outcomes);
	CU_ASSERT_TRUE(wait_voter_(group, added, 5000));
	CU_ASSERT_TRUE(group_wait_equal(group, 5000));
	/* Cut off while it is removed, it must not disturb the others. */
	group_cut_off(added, TRUE, TRUE);
	if (group_leader(group) == added)
		group_run(group, 3000);
	cb_replica_remove_member(group_leader(group)->replica, added->name,
				 outcome_note_, outcomes);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
	CU_ASSERT_EQUAL(outcomes->len, 2);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_COMMITTED);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 1),
			CB_REPLICA_COMMITTED);
	term = cb_replica_term(group_leader(group)->replica);
	group_heal(group);
	group_run(group, LONG_CUT_MS);
	CU_ASSERT_EQUAL(cb_replica_term(group_leader(group)->replica), term);
	CU_ASSERT_FALSE(group_is_voter(group, added));
	g_array_unref(outcomes);
	group_end_(group);
}

static void one_membership_change_at_a_time(void)
{
	group_t *group = group_begin_(1, 5);
	group_member_t *leader = group_leader(group);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint32_t removed = 0;
	uint32_t i;

	for (i = 0; i < group->size && removed < 2; i++) {
		if (&group->members[i] == leader)
			continue;
		removed++;
		cb_replica_remove_member(leader->replica,
					 group->members[i].name, outcome_note_,
					 outcomes);
	}
	group_run(group, 500);
	CU_ASSERT_EQUAL(outcomes->len, 2);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_BUSY);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 1),
			CB_REPLICA_COMMITTED);
	CU_ASSERT_EQUAL(cb_replica_members(leader->replica)->len, 4);
	g_array_unref(outcomes);
	group_end_(group);
}

static void leader_hands_over(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);

	cb_replica_hand_over(leader->replica);
	group_run(group, 100);
	CU_ASSERT_PTR_NOT_NULL(group_leader(group));
	CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
	group_end_(group);
}

static void full_disk_takes_no_part(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);

	disk_set_full(leader->disk, TRUE);
	CU_ASSERT_TRUE(group_commit_many(group, 50, 5000));
	CU_ASSERT_TRUE(leader->has_failed);
	CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
	CU_ASSERT_FALSE(cb_replica_is_current(leader->replica));
	group_crash(leader);
	disk_set_full(leader->disk, FALSE);
	group_start(leader);
	group_end_(group);
}

/* A state of several frames reaches a new member over a lossy network. */
static void large_snapshot_is_sent_in_pieces(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *added = group_add(group);

	CU_ASSERT_TRUE(group_commit_many(group, 1500, 1000));
	group->snapshot_padding_bytes = 3 * 1024 * 1024;
	CU_ASSERT_TRUE(group_commit_many(group, 1500, 1000));
	group->loss_per_mille = 100;
	group->sent_bytes_most = 0;
	group_start(added);
	cb_replica_add_member(group_leader(group)->replica, added->name,
			      added->address, NULL, NULL);
	CU_ASSERT_TRUE(wait_voter_(group, added, 30000));
	CU_ASSERT_TRUE(group->sent_bytes_most > 200 * 1024);
	CU_ASSERT_TRUE(group->sent_bytes_most < 1024 * 1024);
	group->loss_per_mille = 0;
	group_end_(group);
}

static void outcomes_are_told_once(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *follower = follower_(group);
	GBytes *command = g_bytes_new_static("x", 1);
	GBytes *huge = g_bytes_new_take(g_malloc0(1024 * 1024), 1024 * 1024);
	uint32_t count[CB_REPLICA_OUTCOME_COUNT] = { 0 };
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint32_t i;

	cb_replica_propose(follower->replica, command, outcome_note_, outcomes);
	cb_replica_propose(leader->replica, huge, outcome_note_, outcomes);
	for (i = 0; i < 1010; i++)
		cb_replica_propose(leader->replica, command, outcome_note_,
				   outcomes);
	CU_ASSERT_EQUAL(outcomes->len, 0);
	group_run(group, 100);
	CU_ASSERT_EQUAL(outcomes->len, 1012);
	cb_replica_propose(leader->replica, command, outcome_note_, outcomes);
	group_crash(leader);
	for (i = 0; i < outcomes->len; i++)
		count[g_array_index(outcomes, cb_replica_outcome_t, i)]++;
	CU_ASSERT_EQUAL(count[CB_REPLICA_NOT_LEADER], 1);
	CU_ASSERT_EQUAL(count[CB_REPLICA_BUSY], 11);
	CU_ASSERT_EQUAL(count[CB_REPLICA_COMMITTED], 1000);
	CU_ASSERT_EQUAL(count[CB_REPLICA_UNKNOWN], 1);
	group_start(leader);
	g_array_unref(outcomes);
	g_bytes_unref(command);
	g_bytes_unref(huge);
	group_end_(group);
}

/* Proposals that come while the disk is busy share its next fsync. */
static void proposals_share_an_fsync(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	GBytes *command = g_bytes_new_static("x", 1);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint64_t syncs = disk_syncs(leader->disk);
	uint32_t i;

	group->snapshot_every_bytes = G_MAXINT32;
	for (i = 0; i < 500; i++) {
		cb_replica_propose(leader->replica, command, outcome_note_,
				   outcomes);
		if (i % 10 == 9)
			group_run(group, 1);
	}
	group_run(group, 100);
	syncs = disk_syncs(leader->disk) - syncs;
	printf("    500 proposals in 50 ms: %" G_GUINT64_FORMAT " fsyncs\n",
	       syncs);
	CU_ASSERT_EQUAL(outcomes->len, 500);
	CU_ASSERT_TRUE(syncs < 100);
	g_array_unref(outcomes);
	g_bytes_unref(command);
	group_end_(group);
}

/* Lets `member` take a message as if from the disk of `from`. */
static void forge_(group_member_t *member, const group_member_t *from,
		   cb_message_t *message)
{
	const cb_replica_member_t *known =
		cb_members_find(member->replica->members, from->name);
	GBytes *bytes;

	message->from_disk = g_strdup(known->disk_id);
	message->to_disk = g_strdup(member->replica->disk_id);
	message->from_address = g_strdup(from->address);
	bytes = cb_message_encode(message);
	cb_replica_receive(member->replica, from->name, bytes);
	g_bytes_unref(bytes);
	cb_message_delete(message);
}

static void forge_votes_(group_member_t *member, const group_member_t *from)
{
	gboolean is_pre_vote =
		member->replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE;
	cb_message_t *message = cb_message_new(CB_MESSAGE_VOTE_REPLY);

	message->term = member->replica->term;
	message->vote_reply.is_pre_vote = is_pre_vote;
	message->vote_reply.is_granted = TRUE;
	message->vote_reply.asked_term =
		member->replica->term + (is_pre_vote ? 1 : 0);
	forge_(member, from, message);
}

static void forge_stored_(group_member_t *member, const group_member_t *from,
			  uint64_t index)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_APPEND_REPLY);

	message->term = member->replica->term;
	message->append_reply.is_accepted = TRUE;
	message->append_reply.prev_index = index;
	message->append_reply.index = index;
	forge_(member, from, message);
}

/* A vote or an acknowledgement leaves only once it is durable. */
static void answers_wait_for_the_disk(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = follower_(group);
	cb_message_t *append = cb_message_new(CB_MESSAGE_APPEND);
	cb_message_t *vote = cb_message_new(CB_MESSAGE_VOTE_REQUEST);
	uint64_t sent;
	uint64_t term;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	append->term = leader->replica->term;
	append->append.prev_index = cb_replica_log_last(member->replica->log);
	append->append.prev_term =
		cb_replica_log_last_term(member->replica->log);
	g_ptr_array_add(append->append.records,
			cb_record_new(append->append.prev_index + 1,
				      append->term, CB_RECORD_NOOP, NULL));
	group_cut_off(member, TRUE, TRUE);
	sent = group->sent_count;
	forge_(member, leader, append);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	group_run(group, 10);
	CU_ASSERT_TRUE(group->sent_count > sent);
	group_run(group, 2000);
	term = member->replica->term + 10;
	vote->term = term;
	vote->vote_request.last_index = G_MAXUINT32;
	vote->vote_request.last_term = vote->term;
	sent = group->sent_count;
	forge_(member, leader, vote);
	CU_ASSERT_EQUAL(member->replica->term, term);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	group_run(group, 10);
	CU_ASSERT_TRUE(group->sent_count > sent);
	group_delete(group);
}

/* Forges an append of `count` records of `term` after the index `prev`. */
static void forge_append_(group_member_t *member, const group_member_t *from,
			  uint64_t term, uint64_t prev, uint32_t count)
{
	cb_message_t *append = cb_message_new(CB_MESSAGE_APPEND);
	uint32_t i;

	append->term = term;
	append->append.prev_index = prev;
	cb_replica_log_term(member->replica->log, prev,
			    &append->append.prev_term);
	for (i = 1; i <= count; i++)
		g_ptr_array_add(append->append.records,
				cb_record_new(prev + i, term, CB_RECORD_NOOP,
					      NULL));
	forge_(member, from, append);
}

static void forge_snapshot_(group_member_t *member, const group_member_t *from,
			    uint64_t term, uint64_t index)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_SNAPSHOT);
	cb_snapshot_chunk_t *chunk = &message->snapshot;

	message->term = term;
	chunk->index = index;
	chunk->index_term = term;
	chunk->data = g_bytes_new_static("0 0", 3);
	chunk->size = 3;
	chunk->digest = XXH3_64bits("0 0", 3);
	chunk->members = cb_members_encode(member->replica->members,
					   member->replica->group_id);
	forge_(member, from, message);
}

/*
 * A snapshot takes the place of records that another history has there, and
 * is acknowledged only when it is durable.
 */
static void snapshot_replaces_another_history(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = follower_(group);
	uint64_t term = leader->replica->term;
	uint64_t last;
	uint64_t sent;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	group_cut_off(member, TRUE, TRUE);
	last = cb_replica_log_last(member->replica->log);
	forge_append_(member, leader, term, last, 3);
	/* The next term is durable before the snapshot comes. */
	forge_append_(member, leader, term + 1, last, 0);
	group_run(group, 20);
	disk_set_sync_ms(member->disk, 50);
	sent = group->sent_count;
	forge_snapshot_(member, leader, term + 1, last + 2);
	forge_snapshot_(member, leader, term + 1, last + 2);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	CU_ASSERT_EQUAL(cb_replica_log_last(member->replica->log), last + 2);
	CU_ASSERT_EQUAL(cb_replica_log_last_term(member->replica->log),
			term + 1);
	group_run(group, 110);
	CU_ASSERT_TRUE(group->sent_count > sent);
	CU_ASSERT_EQUAL(member->replica->durable, last + 2);
	group_delete(group);
}

/* What replaces records is not durable because they were. */
static void replaced_records_are_not_durable(void)
{
	int is_synced;

	for (is_synced = 0; is_synced < 2; is_synced++) {
		group_t *group = group_begin_(1, 3);
		group_member_t *leader = group_leader(group);
		group_member_t *member = follower_(group);
		uint64_t term = leader->replica->term;
		uint64_t last;
		uint64_t syncs;

		CU_ASSERT_TRUE(group_wait_equal(group, 1000));
		group_cut_off(member, TRUE, TRUE);
		group_run(group, 10);
		last = cb_replica_log_last(member->replica->log);
		disk_set_sync_ms(member->disk, 100);
		syncs = disk_syncs(member->disk);
		forge_append_(member, leader, term, last, 3);
		if (is_synced)
			group_run(group, 101);
		forge_append_(member, leader, term + 1, last, 2);
		while (disk_syncs(member->disk) == syncs)
			group_run(group, 1);
		CU_ASSERT_EQUAL(member->replica->durable, last);
		group_run(group, 301);
		CU_ASSERT_EQUAL(member->replica->durable, last + 2);
		group_delete(group);
	}
}

/* Whoever hears a leader does not even take over a later term. */
static void vote_is_refused_while_a_leader_is_heard(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = follower_(group);
	uint64_t term = leader->replica->term;
	cb_message_t *vote = cb_message_new(CB_MESSAGE_VOTE_REQUEST);

	vote->term = term + 1;
	vote->vote_request.last_index = G_MAXUINT32;
	vote->vote_request.last_term = term + 1;
	forge_(member, leader, vote);
	CU_ASSERT_EQUAL(member->replica->term, term);
	group_run(group, 1000);
	CU_ASSERT_PTR_EQUAL(group_leader(group), leader);
	group_end_(group);
}

/* The leader's own disk counts only once it has synced. */
static void leader_counts_its_disk_when_synced(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_change_t change = { 0 };
	uint64_t last;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	group_cut_off(leader, TRUE, TRUE);
	disk_set_sync_ms(leader->disk, 400);
	group_propose(leader, &change, NULL, NULL);
	group_run(group, 0);
	last = cb_replica_log_last(leader->replica->log);
	forge_stored_(leader, follower_(group), last);
	CU_ASSERT_EQUAL(cb_replica_committed(leader->replica), last - 1);
	group_run(group, 401);
	CU_ASSERT_EQUAL(cb_replica_committed(leader->replica), last);
	group_delete(group);
}

/* A record of a former term counts only under one of the leader's own. */
static void former_terms_do_not_commit_alone(void)
{
	group_t *group = group_begin_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = follower_(group);
	cb_message_t *append = cb_message_new(CB_MESSAGE_APPEND);
	uint64_t last;
	int i;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	last = cb_replica_log_last(member->replica->log);
	append->term = leader->replica->term;
	append->append.prev_index = last;
	append->append.prev_term =
		cb_replica_log_last_term(member->replica->log);
	g_ptr_array_add(append->append.records,
			cb_record_new(last + 1, append->term, CB_RECORD_NOOP,
				      NULL));
	group_cut_off(member, TRUE, TRUE);
	forge_(member, leader, append);
	for (i = 0; i < 300 && !cb_replica_leads(member->replica); i++) {
		group_run(group, STEP_MS);
		forge_votes_(member, leader);
	}
	group_run(group, STEP_MS);
	CU_ASSERT_TRUE(cb_replica_leads(member->replica));
	CU_ASSERT_EQUAL(cb_replica_log_last(member->replica->log), last + 2);
	forge_stored_(member, leader, last + 1);
	CU_ASSERT_EQUAL(cb_replica_committed(member->replica), last);
	forge_stored_(member, leader, last + 2);
	CU_ASSERT_EQUAL(cb_replica_committed(member->replica), last + 2);
	/* What was forged breaks the group's history: no further checks. */
	group_delete(group);
}

static CU_TestInfo tests[] = {
	{ "group_commits_at_every_size", group_commits_at_every_size },
	{ "cut_off_follower_does_not_disturb",
	  cut_off_follower_does_not_disturb },
	{ "cut_off_leader_steps_down", cut_off_leader_steps_down },
	{ "first_start_needs_every_member", first_start_needs_every_member },
	{ "blank_disk_does_not_vote", blank_disk_does_not_vote },
	{ "every_disk_is_replaced_in_turn", every_disk_is_replaced_in_turn },
	{ "live_member_is_not_replaced", live_member_is_not_replaced },
	{ "disk_of_another_group_is_refused",
	  disk_of_another_group_is_refused },
	{ "all_restart_after_300_changes", all_restart_after_300_changes },
	{ "member_is_added_and_removed", member_is_added_and_removed },
	{ "one_membership_change_at_a_time", one_membership_change_at_a_time },
	{ "leader_hands_over", leader_hands_over },
	{ "full_disk_takes_no_part", full_disk_takes_no_part },
	{ "large_snapshot_is_sent_in_pieces",
	  large_snapshot_is_sent_in_pieces },
	{ "outcomes_are_told_once", outcomes_are_told_once },
	{ "proposals_share_an_fsync", proposals_share_an_fsync },
	{ "answers_wait_for_the_disk", answers_wait_for_the_disk },
	{ "snapshot_replaces_another_history",
	  snapshot_replaces_another_history },
	{ "replaced_records_are_not_durable",
	  replaced_records_are_not_durable },
	{ "vote_is_refused_while_a_leader_is_heard",
	  vote_is_refused_while_a_leader_is_heard },
	{ "leader_counts_its_disk_when_synced",
	  leader_counts_its_disk_when_synced },
	{ "former_terms_do_not_commit_alone",
	  former_terms_do_not_commit_alone },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_group", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
