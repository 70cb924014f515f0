#include <stdio.h>
#include <xxhash.h>

#include "private/replica.h"
#include "support_group.h"
#include "support_main.h"

#define LONG_ISOLATION_MS 60000
#define STEP_MS 10

/* Starts a group that has a leader and ten committed changes. */
static group_t *group_form_(uint64_t seed, uint32_t size)
{
	group_t *group = group_new(seed, size);

	group_start_all(group);
	CU_ASSERT_PTR_NOT_NULL_FATAL(group_wait_leader(group, 3000));
	CU_ASSERT_TRUE(group_commit_many(group, 10, 1000));
	return group;
}

/* Checks that all members converge without a violation; deletes the group. */
static void group_check_and_delete_(group_t *group)
{
	CU_ASSERT_TRUE(group_wait_equal(group, 5000));
	group_check_logs(group);
	CU_ASSERT_TRUE(group_has_no_violations(group));
	group_delete(group);
}

static group_member_t *any_follower_find_(group_t *group)
{
	group_member_t *leader = group_leader(group);

	return &group->members[leader == &group->members[0] ? 1 : 0];
}

static gboolean voter_wait_(group_t *group, const group_member_t *member,
			    int64_t timeout_ms)
{
	for (; timeout_ms > 0; timeout_ms -= STEP_MS) {
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
		group_check_and_delete_(group_form_(i, sizes[i]));
}

/* Which messages of an isolated member are blocked. */
typedef struct directions {
	gboolean in;
	gboolean out;
} directions_t;

static const directions_t directions[] = { { TRUE, TRUE },
					   { TRUE, FALSE },
					   { FALSE, TRUE } };

/*
 * A follower that was isolated for a minute must neither raise the term nor
 * depose the leader, as it would if it started elections without a pre-vote.
 */
static void isolated_follower_keeps_leader_and_term(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(directions); i++) {
		group_t *group = group_form_(i, 3);
		group_member_t *leader = group_leader(group);
		uint64_t term = cb_replica_term(leader->replica);

		group_isolate(any_follower_find_(group), directions[i].in,
			      directions[i].out);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
		group_run(group, LONG_ISOLATION_MS);
		group_heal(group);
		group_run(group, 3000);
		CU_ASSERT_EQUAL(cb_replica_term(leader->replica), term);
		CU_ASSERT_PTR_EQUAL(group_leader(group), leader);
		group_check_and_delete_(group);
	}
}

static void outcome_record_(cb_replica_outcome_t outcome, uint64_t index,
			    GBytes *answer, void *user_data)
{
	GArray *outcomes = user_data;

	(void)index;
	(void)answer;
	g_array_append_val(outcomes, outcome);
}

/*
 * A leader without contact with a majority must step down and confirm no read;
 * the others elect a new leader and commit.
 */
static void isolated_leader_steps_down(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(directions); i++) {
		group_t *group = group_form_(i, 3);
		group_member_t *leader = group_leader(group);
		GArray *outcomes =
			g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));

		group_isolate(leader, directions[i].in, directions[i].out);
		cb_replica_confirm(leader->replica, outcome_record_, outcomes);
		group_run(group, 700);
		CU_ASSERT_FALSE(cb_replica_leads(leader->replica));
		/* A leader that still receives may follow the new one. */
		if (directions[i].in)
			CU_ASSERT_FALSE(cb_replica_is_current(leader->replica));
		CU_ASSERT_EQUAL(outcomes->len, 1);
		CU_ASSERT_NOT_EQUAL(g_array_index(outcomes,
						  cb_replica_outcome_t, 0),
				    CB_REPLICA_COMMITTED);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
		CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
		group_run(group, LONG_ISOLATION_MS);
		CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
		group_heal(group);
		g_array_unref(outcomes);
		group_check_and_delete_(group);
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
	group_check_and_delete_(group);
}

/*
 * A member with a blank disk must not vote: with one of the two others down,
 * its vote could elect a leader that lacks committed records.
 */
static void blank_disk_does_not_vote(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *lost = group_leader(group);
	group_member_t *blank = any_follower_find_(group);

	group_replace_disk(blank);
	group_crash(lost);
	group_start(blank);
	CU_ASSERT_PTR_NULL(group_wait_leader(group, 30000));
	group_start(lost);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
	CU_ASSERT_TRUE(voter_wait_(group, blank, 5000));
	group_check_and_delete_(group);
}

/*
 * Each member's disk is replaced as soon as the new disk of the one before it
 * is a voter's.
 */
static void every_disk_is_replaced_in_turn(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 10; seed++) {
		group_t *group = group_form_(seed, 3);
		uint32_t i;

		for (i = 0; i < group->size; i++) {
			group_member_t *member = &group->members[i];

			group_replace_disk(member);
			CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
			group_start(member);
			CU_ASSERT_TRUE(voter_wait_(group, member, 10000));
		}
		CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
		group_check_and_delete_(group);
	}
}

/* Another disk under the name of a live member must not replace that member. */
static void live_member_is_not_replaced(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *follower = any_follower_find_(group);
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
	group_check_and_delete_(group);
}

/* A disk that contains another group's log must not become a member. */
static void disk_of_another_group_is_refused(void)
{
	group_t *group = group_form_(1, 3);
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
			      outcome_record_, outcomes);
	cb_replica_receive(leader->replica, "m9", bytes);
	group_run(group, 6000);
	CU_ASSERT_EQUAL(outcomes->len, 1);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_BUSY);
	CU_ASSERT_EQUAL(cb_replica_members(leader->replica)->len, 3);
	g_bytes_unref(bytes);
	cb_message_delete(message);
	g_array_unref(outcomes);
	group_check_and_delete_(group);
}

static void changes_survive_restart_of_all_members(void)
{
	group_t *group = group_form_(1, 3);
	uint32_t i;

	CU_ASSERT_TRUE(group_commit_many(group, 300, 1000));
	for (i = 0; i < group->size; i++)
		group_crash(&group->members[i]);
	group_start_all(group);
	CU_ASSERT_TRUE(group_commit_many(group, 1, 3000));
	CU_ASSERT_TRUE(cb_replica_applied(group->members[0].replica) > 300);
	group_check_and_delete_(group);
}

static void member_is_added_and_removed(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *added = group_add(group);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint64_t term;

	CU_ASSERT_TRUE(group_commit_many(group, 200, 1000));
	group_start(added);
	cb_replica_add_member(group_leader(group)->replica, added->name,
			      added->address, outcome_record_, outcomes);
	CU_ASSERT_TRUE(voter_wait_(group, added, 5000));
	CU_ASSERT_TRUE(group_wait_equal(group, 5000));
	/* A member isolated while removed must not disturb the others. */
	group_isolate(added, TRUE, TRUE);
	if (group_leader(group) == added)
		group_run(group, 3000);
	cb_replica_remove_member(group_leader(group)->replica, added->name,
				 outcome_record_, outcomes);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 3000));
	CU_ASSERT_EQUAL(outcomes->len, 2);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_COMMITTED);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 1),
			CB_REPLICA_COMMITTED);
	term = cb_replica_term(group_leader(group)->replica);
	group_heal(group);
	group_run(group, LONG_ISOLATION_MS);
	CU_ASSERT_EQUAL(cb_replica_term(group_leader(group)->replica), term);
	CU_ASSERT_FALSE(group_is_voter(group, added));
	g_array_unref(outcomes);
	group_check_and_delete_(group);
}

/* A new member that is lost before it answers must not keep others out. */
static void silent_new_member_gives_way_to_another(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *lost = group_add(group);
	group_member_t *added = group_add(group);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	group_member_t *leader = group_leader(group);

	cb_replica_add_member(leader->replica, lost->name, lost->address,
			      outcome_record_, outcomes);
	group_start(added);
	cb_replica_add_member(leader->replica, added->name, added->address,
			      NULL, NULL);
	CU_ASSERT_PTR_NULL(
		cb_members_find(leader->replica->members, added->name));
	group_run(group, 1100);
	CU_ASSERT_EQUAL(outcomes->len, 0);
	cb_replica_add_member(leader->replica, added->name, added->address,
			      NULL, NULL);
	CU_ASSERT_TRUE(voter_wait_(group, added, 1000));
	CU_ASSERT_EQUAL_FATAL(outcomes->len, 1);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_BUSY);
	group_check_and_delete_(group);
	g_array_unref(outcomes);
}

/* However many strangers have sent something, the next one gets a reply. */
static void many_former_senders_keep_no_reply_back(void)
{
	group_t *group = group_form_(1, 3);
	cb_replica_t *replica = group_leader(group)->replica;
	uint32_t i;

	for (i = 0; i < 100; i++) {
		cb_message_t *message = cb_message_new(CB_MESSAGE_PROBE);
		char *name = g_strdup_printf("stranger-%u", i);
		GBytes *bytes;

		message->from_disk = g_strdup("another");
		message->from_address = g_strdup_printf("127.0.1.1:%u", i + 1);
		bytes = cb_message_encode(message);
		cb_replica_receive(replica, name, bytes);
		CU_ASSERT_FALSE(
			g_strcmp0(g_hash_table_lookup(replica->addresses, name),
				  message->from_address));
		g_bytes_unref(bytes);
		cb_message_delete(message);
		g_free(name);
	}
	group_check_and_delete_(group);
}

static void one_membership_change_at_a_time(void)
{
	group_t *group = group_form_(1, 5);
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
					 group->members[i].name,
					 outcome_record_, outcomes);
	}
	group_run(group, 500);
	CU_ASSERT_EQUAL(outcomes->len, 2);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 0),
			CB_REPLICA_BUSY);
	CU_ASSERT_EQUAL(g_array_index(outcomes, cb_replica_outcome_t, 1),
			CB_REPLICA_COMMITTED);
	CU_ASSERT_EQUAL(cb_replica_members(leader->replica)->len, 4);
	g_array_unref(outcomes);
	group_check_and_delete_(group);
}

static void hand_over_elects_another_leader(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);

	cb_replica_hand_over(leader->replica);
	group_run(group, 100);
	CU_ASSERT_PTR_NOT_NULL(group_leader(group));
	CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
	CU_ASSERT_TRUE(group_commit_many(group, 5, 1000));
	group_check_and_delete_(group);
}

static void member_with_full_disk_takes_no_part(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);

	disk_set_full(leader->disk, TRUE);
	CU_ASSERT_TRUE(group_commit_many(group, 50, 5000));
	CU_ASSERT_TRUE(leader->has_failed);
	CU_ASSERT_PTR_NOT_EQUAL(group_leader(group), leader);
	CU_ASSERT_FALSE(cb_replica_is_current(leader->replica));
	group_crash(leader);
	disk_set_full(leader->disk, FALSE);
	group_start(leader);
	group_check_and_delete_(group);
}

/* A snapshot of several chunks must reach a new member over a lossy network. */
static void large_snapshot_is_sent_in_chunks(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *added = group_add(group);

	CU_ASSERT_TRUE(group_commit_many(group, 1500, 1000));
	group->snapshot_padding_bytes = 3 * 1024 * 1024;
	CU_ASSERT_TRUE(group_commit_many(group, 1500, 1000));
	group->loss_per_mille = 100;
	group->max_message_bytes = 0;
	group_start(added);
	cb_replica_add_member(group_leader(group)->replica, added->name,
			      added->address, NULL, NULL);
	CU_ASSERT_TRUE(voter_wait_(group, added, 30000));
	CU_ASSERT_TRUE(group->max_message_bytes > 200 * 1024);
	CU_ASSERT_TRUE(group->max_message_bytes < 1024 * 1024);
	group->loss_per_mille = 0;
	group_check_and_delete_(group);
}

/*
 * Each proposal must complete exactly once: on a follower, committed, beyond
 * the limit of 1000 waiting ones, and when the leader crashes.
 */
static void each_outcome_is_reported_once(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *follower = any_follower_find_(group);
	GBytes *command = g_bytes_new_static("x", 1);
	GBytes *large_command =
		g_bytes_new_take(g_malloc0(1024 * 1024), 1024 * 1024);
	uint32_t count[CB_REPLICA_OUTCOME_COUNT] = { 0 };
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint32_t i;

	cb_replica_propose(follower->replica, command, outcome_record_,
			   outcomes);
	cb_replica_propose(leader->replica, large_command, outcome_record_,
			   outcomes);
	for (i = 0; i < 1010; i++)
		cb_replica_propose(leader->replica, command, outcome_record_,
				   outcomes);
	CU_ASSERT_EQUAL(outcomes->len, 0);
	group_run(group, 100);
	CU_ASSERT_EQUAL(outcomes->len, 1012);
	cb_replica_propose(leader->replica, command, outcome_record_, outcomes);
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
	g_bytes_unref(large_command);
	group_check_and_delete_(group);
}

/* Proposals that arrive while the disk is busy must share its next fsync. */
static void concurrent_proposals_share_an_fsync(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	GBytes *command = g_bytes_new_static("x", 1);
	GArray *outcomes =
		g_array_new(FALSE, FALSE, sizeof(cb_replica_outcome_t));
	uint64_t syncs = disk_sync_count(leader->disk);
	uint32_t i;

	group->snapshot_every_bytes = G_MAXINT32;
	for (i = 0; i < 500; i++) {
		cb_replica_propose(leader->replica, command, outcome_record_,
				   outcomes);
		if (i % 10 == 9)
			group_run(group, 1);
	}
	group_run(group, 100);
	syncs = disk_sync_count(leader->disk) - syncs;
	printf("    500 proposals in 50 ms: %" G_GUINT64_FORMAT " fsyncs\n",
	       syncs);
	CU_ASSERT_EQUAL(outcomes->len, 500);
	CU_ASSERT_TRUE(syncs < 100);
	g_array_unref(outcomes);
	g_bytes_unref(command);
	group_check_and_delete_(group);
}

/* Delivers a message, which it frees, as if the disk of `from` had sent it. */
static void message_forge_(group_member_t *member, const group_member_t *from,
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

/* Delivers the vote or pre-vote that a candidate waits for. */
static void vote_reply_forge_(group_member_t *member,
			      const group_member_t *from)
{
	gboolean is_pre_vote =
		member->replica->role == CB_REPLICA_ROLE_PRE_CANDIDATE;
	cb_message_t *message = cb_message_new(CB_MESSAGE_VOTE_REPLY);

	message->term = member->replica->term;
	message->vote_reply.is_pre_vote = is_pre_vote;
	message->vote_reply.is_granted = TRUE;
	message->vote_reply.request_term =
		member->replica->term + (is_pre_vote ? 1 : 0);
	message_forge_(member, from, message);
}

/* Delivers the acknowledgement that `from` stored the log up to `index`. */
static void append_reply_forge_(group_member_t *member,
				const group_member_t *from, uint64_t index)
{
	cb_message_t *message = cb_message_new(CB_MESSAGE_APPEND_REPLY);

	message->term = member->replica->term;
	message->append_reply.is_accepted = TRUE;
	message->append_reply.prev_index = index;
	message->append_reply.index = index;
	message_forge_(member, from, message);
}

/* An acknowledgement or a vote must not be sent before it is durable. */
static void replies_wait_until_durable(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = any_follower_find_(group);
	cb_message_t *append = cb_message_new(CB_MESSAGE_APPEND);
	cb_message_t *vote = cb_message_new(CB_MESSAGE_VOTE_REQUEST);
	uint64_t sent;
	uint64_t term;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	append->term = leader->replica->term;
	append->append.prev_index =
		cb_replica_log_last_index(member->replica->log);
	append->append.prev_term =
		cb_replica_log_last_term(member->replica->log);
	g_ptr_array_add(append->append.records,
			cb_record_new(append->append.prev_index + 1,
				      append->term, CB_RECORD_NOOP, NULL));
	group_isolate(member, TRUE, TRUE);
	sent = group->sent_count;
	message_forge_(member, leader, append);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	group_run(group, 10);
	CU_ASSERT_TRUE(group->sent_count > sent);
	group_run(group, 2000);
	term = member->replica->term + 10;
	vote->term = term;
	vote->vote_request.last_index = G_MAXUINT32;
	vote->vote_request.last_term = vote->term;
	sent = group->sent_count;
	message_forge_(member, leader, vote);
	CU_ASSERT_EQUAL(member->replica->term, term);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	group_run(group, 10);
	CU_ASSERT_TRUE(group->sent_count > sent);
	group_delete(group);
}

/* Delivers an append of `count` records of `term` after the index `prev`. */
static void append_forge_(group_member_t *member, const group_member_t *from,
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
	message_forge_(member, from, append);
}

/* Delivers a whole snapshot that covers the log up to `index`. */
static void snapshot_forge_(group_member_t *member, const group_member_t *from,
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
	message_forge_(member, from, message);
}

/*
 * A snapshot must replace the records that conflict with it, and must not be
 * acknowledged before it is durable.
 */
static void snapshot_replaces_conflicting_records(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = any_follower_find_(group);
	uint64_t term = leader->replica->term;
	uint64_t last;
	uint64_t sent;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	group_isolate(member, TRUE, TRUE);
	last = cb_replica_log_last_index(member->replica->log);
	append_forge_(member, leader, term, last, 3);
	/* The next term is durable before the snapshot arrives. */
	append_forge_(member, leader, term + 1, last, 0);
	group_run(group, 20);
	disk_set_sync_ms(member->disk, 50);
	sent = group->sent_count;
	snapshot_forge_(member, leader, term + 1, last + 2);
	snapshot_forge_(member, leader, term + 1, last + 2);
	CU_ASSERT_EQUAL(group->sent_count, sent);
	CU_ASSERT_EQUAL(cb_replica_log_last_index(member->replica->log),
			last + 2);
	CU_ASSERT_EQUAL(cb_replica_log_last_term(member->replica->log),
			term + 1);
	group_run(group, 110);
	CU_ASSERT_TRUE(group->sent_count > sent);
	CU_ASSERT_EQUAL(member->replica->durable, last + 2);
	group_delete(group);
}

/*
 * Records that replace others must not count as durable because the replaced
 * ones were, or because the sync of the replaced ones completes later.
 */
static void replaced_records_are_not_durable(void)
{
	int is_synced;

	for (is_synced = 0; is_synced < 2; is_synced++) {
		group_t *group = group_form_(1, 3);
		group_member_t *leader = group_leader(group);
		group_member_t *member = any_follower_find_(group);
		uint64_t term = leader->replica->term;
		uint64_t last;
		uint64_t syncs;

		CU_ASSERT_TRUE(group_wait_equal(group, 1000));
		group_isolate(member, TRUE, TRUE);
		group_run(group, 10);
		last = cb_replica_log_last_index(member->replica->log);
		disk_set_sync_ms(member->disk, 100);
		syncs = disk_sync_count(member->disk);
		append_forge_(member, leader, term, last, 3);
		if (is_synced)
			group_run(group, 101);
		append_forge_(member, leader, term + 1, last, 2);
		while (disk_sync_count(member->disk) == syncs)
			group_run(group, 1);
		CU_ASSERT_EQUAL(member->replica->durable, last);
		group_run(group, 301);
		CU_ASSERT_EQUAL(member->replica->durable, last + 2);
		group_delete(group);
	}
}

/* With a live leader, a vote request must not even raise the term. */
static void vote_is_refused_while_leader_is_live(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = any_follower_find_(group);
	uint64_t term = leader->replica->term;
	cb_message_t *vote = cb_message_new(CB_MESSAGE_VOTE_REQUEST);

	vote->term = term + 1;
	vote->vote_request.last_index = G_MAXUINT32;
	vote->vote_request.last_term = term + 1;
	message_forge_(member, leader, vote);
	CU_ASSERT_EQUAL(member->replica->term, term);
	group_run(group, 1000);
	CU_ASSERT_PTR_EQUAL(group_leader(group), leader);
	group_check_and_delete_(group);
}

/* The leader's own copy counts for a majority only once it is synced. */
static void leader_counts_own_records_once_durable(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_change_t change = { 0 };
	uint64_t last;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	group_isolate(leader, TRUE, TRUE);
	disk_set_sync_ms(leader->disk, 400);
	group_propose(leader, &change, NULL, NULL);
	group_run(group, 0);
	last = cb_replica_log_last_index(leader->replica->log);
	append_reply_forge_(leader, any_follower_find_(group), last);
	CU_ASSERT_EQUAL(cb_replica_committed(leader->replica), last - 1);
	group_run(group, 401);
	CU_ASSERT_EQUAL(cb_replica_committed(leader->replica), last);
	group_delete(group);
}

/*
 * A record of a former term may still be replaced when a majority holds it.  It
 * must be committed only together with a record of the leader's own term.
 */
static void former_term_record_does_not_commit_alone(void)
{
	group_t *group = group_form_(1, 3);
	group_member_t *leader = group_leader(group);
	group_member_t *member = any_follower_find_(group);
	cb_message_t *append = cb_message_new(CB_MESSAGE_APPEND);
	uint64_t last;
	int i;

	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	last = cb_replica_log_last_index(member->replica->log);
	append->term = leader->replica->term;
	append->append.prev_index = last;
	append->append.prev_term =
		cb_replica_log_last_term(member->replica->log);
	g_ptr_array_add(append->append.records,
			cb_record_new(last + 1, append->term, CB_RECORD_NOOP,
				      NULL));
	group_isolate(member, TRUE, TRUE);
	message_forge_(member, leader, append);
	for (i = 0; i < 300 && !cb_replica_leads(member->replica); i++) {
		group_run(group, STEP_MS);
		vote_reply_forge_(member, leader);
	}
	group_run(group, STEP_MS);
	CU_ASSERT_TRUE(cb_replica_leads(member->replica));
	CU_ASSERT_EQUAL(cb_replica_log_last_index(member->replica->log),
			last + 2);
	append_reply_forge_(member, leader, last + 1);
	CU_ASSERT_EQUAL(cb_replica_committed(member->replica), last);
	append_reply_forge_(member, leader, last + 2);
	CU_ASSERT_EQUAL(cb_replica_committed(member->replica), last + 2);
	/* The forged messages break the group's guarantees: no more checks. */
	group_delete(group);
}

static CU_TestInfo tests[] = {
	{ "group_commits_at_every_size", group_commits_at_every_size },
	{ "isolated_follower_keeps_leader_and_term",
	  isolated_follower_keeps_leader_and_term },
	{ "isolated_leader_steps_down", isolated_leader_steps_down },
	{ "first_start_needs_every_member", first_start_needs_every_member },
	{ "blank_disk_does_not_vote", blank_disk_does_not_vote },
	{ "every_disk_is_replaced_in_turn", every_disk_is_replaced_in_turn },
	{ "live_member_is_not_replaced", live_member_is_not_replaced },
	{ "disk_of_another_group_is_refused",
	  disk_of_another_group_is_refused },
	{ "changes_survive_restart_of_all_members",
	  changes_survive_restart_of_all_members },
	{ "member_is_added_and_removed", member_is_added_and_removed },
	{ "silent_new_member_gives_way_to_another",
	  silent_new_member_gives_way_to_another },
	{ "many_former_senders_keep_no_reply_back",
	  many_former_senders_keep_no_reply_back },
	{ "one_membership_change_at_a_time", one_membership_change_at_a_time },
	{ "hand_over_elects_another_leader", hand_over_elects_another_leader },
	{ "member_with_full_disk_takes_no_part",
	  member_with_full_disk_takes_no_part },
	{ "large_snapshot_is_sent_in_chunks",
	  large_snapshot_is_sent_in_chunks },
	{ "each_outcome_is_reported_once", each_outcome_is_reported_once },
	{ "concurrent_proposals_share_an_fsync",
	  concurrent_proposals_share_an_fsync },
	{ "replies_wait_until_durable", replies_wait_until_durable },
	{ "snapshot_replaces_conflicting_records",
	  snapshot_replaces_conflicting_records },
	{ "replaced_records_are_not_durable",
	  replaced_records_are_not_durable },
	{ "vote_is_refused_while_leader_is_live",
	  vote_is_refused_while_leader_is_live },
	{ "leader_counts_own_records_once_durable",
	  leader_counts_own_records_once_durable },
	{ "former_term_record_does_not_commit_alone",
	  former_term_record_does_not_commit_alone },
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
