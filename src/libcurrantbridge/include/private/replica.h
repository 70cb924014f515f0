#ifndef CURRANTBRIDGE_PRIVATE_REPLICA_H
#define CURRANTBRIDGE_PRIVATE_REPLICA_H

#include "currantbridge/replica.h"

#include "private/members.h"
#include "private/replica_log.h"
#include "private/replica_message.h"

/*
 * Shared by the modules of a replica: election, replication (leader), append
 * (follower), snapshot, membership, proposals and storage operations.
 * replica.c creates the replica and dispatches messages and timers to them.
 */

/* Limits of one append message. */
#define CB_APPEND_MAX_RECORDS 512
#define CB_APPEND_MAX_BYTES (256 * 1024)
/* Limits of the records sent to one peer and not acknowledged. */
#define CB_IN_FLIGHT_MAX_BYTES (1024 * 1024)
#define CB_IN_FLIGHT_MAX_RECORDS 4096
/* Maximum sizes of one chunk and of a whole snapshot. */
#define CB_SNAPSHOT_CHUNK_BYTES (256 * 1024)
#define CB_SNAPSHOT_MAX_BYTES (1024 * 1024 * 1024)

typedef enum cb_record_kind {
	CB_RECORD_COMMAND,
	CB_RECORD_NOOP,
	CB_RECORD_MEMBERS,
	CB_RECORD_KIND_COUNT
} cb_record_kind_t;

/* The counters of a replica: reasons of refusals, then events. */
typedef enum cb_replica_count {
	CB_REPLICA_COUNT_NOT_LEADER,
	CB_REPLICA_COUNT_TOO_MANY,
	CB_REPLICA_COUNT_TOO_LARGE,
	CB_REPLICA_COUNT_HANDING_OVER,
	CB_REPLICA_COUNT_MEMBERSHIP_CHANGE_PENDING,
	CB_REPLICA_COUNT_NEW_MEMBER_SILENT,
	CB_REPLICA_COUNT_OTHER_GROUP,
	CB_REPLICA_COUNT_LEAD_LOST,
	CB_REPLICA_COUNT_MALFORMED,
	CB_REPLICA_COUNT_OTHER_DISK,
	CB_REPLICA_COUNT_VOTE_REFUSED,
	CB_REPLICA_COUNT_APPEND_REFUSED,
	CB_REPLICA_COUNT_PRE_VOTE,
	CB_REPLICA_COUNT_ELECTION,
	CB_REPLICA_COUNT_NO_MAJORITY,
	CB_REPLICA_COUNT_RESENT,
	CB_REPLICA_COUNT_SNAPSHOT_TAKEN,
	CB_REPLICA_COUNT_SNAPSHOT_SENT,
	CB_REPLICA_COUNT_SNAPSHOT_INSTALLED,
	CB_REPLICA_COUNT_DISK_REPLACED,
	CB_REPLICA_COUNT_PROMOTED,
	CB_REPLICA_COUNT_DEMOTED,
	CB_REPLICA_COUNT_PRUNED,
	CB_REPLICA_COUNTS
} cb_replica_count_t;

/* The state of another member; only the leader uses most of the fields. */
typedef struct cb_peer {
	char *name;
	char *address;
	char *disk_id;
	gboolean is_voter;
	/* Time of the last message; -1: none since becoming the leader. */
	int64_t last_received_ms;
	/* Heartbeats sent since the last message. */
	int64_t unanswered_heartbeats;
	/* Time when `match` last grew or a send began. */
	int64_t progress_ms;
	uint64_t match; /* highest index known to be durable at the peer */
	uint64_t next;	/* index of the next record to send */
	/* Last round of read confirmation that the peer answered. */
	uint64_t round;
	/* Until the first accepted append, one append is sent at a time. */
	gboolean is_probing;
	/* Whether a probing append has been sent and awaits its reply. */
	gboolean is_probe_sent;
	/* Whether the peer granted its vote or pre-vote in this election. */
	gboolean is_vote_granted;
	/* Whether the peer refused its vote or pre-vote in this election. */
	gboolean is_vote_refused;
	/* The snapshot being sent, or NULL. */
	cb_snapshot_t *snapshot;
	uint64_t snapshot_offset; /* offset in bytes of the chunk being sent */
	uint64_t snapshot_digest; /* XXH3 of the whole snapshot's data */
} cb_peer_t;

/*
 * A caller that waits for a record or a round of read confirmation, or whose
 * outcome is queued.
 */
typedef struct cb_proposal {
	uint64_t index; /* index of the awaited record */
	uint64_t round; /* awaited round of read confirmation */
	cb_replica_outcome_t outcome;
	GBytes *answer;
	cb_replica_done_fn_t done;
	void *user_data;
} cb_proposal_t;

/* A message that is sent once the term and the vote are durable. */
typedef struct cb_outgoing {
	char *to; /* name of the receiver */
	/* Address of the receiver; may be NULL, as in cb_replica_send(). */
	char *address;
	GBytes *bytes;
} cb_outgoing_t;

/* A snapshot that is being received from the leader. */
typedef struct cb_incoming {
	uint64_t index; /* index of the last record that the snapshot covers */
	uint64_t index_term; /* term of the record at `index` */
	uint64_t digest;     /* XXH3 of the whole snapshot's data */
	/* Bytes received; NULL once the snapshot is installed. */
	GByteArray *data;
	/* Whether the snapshot is installed, but not durable yet. */
	gboolean is_storing;
} cb_incoming_t;

/* A pending cb_replica_add_member(): the new member's disk ID is awaited. */
typedef struct cb_member_addition {
	char *name;
	char *address;
	int64_t begun_ms;
	int64_t deadline_ms;
	cb_replica_done_fn_t done;
	void *user_data;
} cb_member_addition_t;

/* The last pre-vote that this member granted. */
typedef struct cb_pre_vote_grant {
	char *candidate; /* name of the candidate; NULL: no pre-vote granted */
	int64_t granted_ms;
	/* Term and index of the last record in the candidate's log. */
	uint64_t last_term;
	uint64_t last_index;
} cb_pre_vote_grant_t;

/* The replies of the voters to one election. */
typedef struct cb_election_result {
	uint32_t voters;
	uint32_t granted; /* with this member's own vote */
	uint32_t refused;
} cb_election_result_t;

struct cb_replica {
	char *name;		    /* name of this member */
	char *address;		    /* "IP:PORT" of this member */
	GPtrArray *initial_members; /* cb_replica_member_t * */
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	uint64_t snapshot_every_bytes;
	size_t max_waiting_proposals;
	uint32_t min_voters;
	cb_clock_t *clock;
	GRand *random;
	cb_storage_t *storage;
	cb_transport_t *transport;
	cb_machine_t *machine;
	cb_replica_listener_t listener;
	cb_log_t *event_log; /* log that events are written to; may be NULL */
	/* Counters by event; each may be NULL. */
	cb_counter_t *counts[CB_REPLICA_COUNTS];

	gboolean is_started;
	gboolean is_failed; /* the storage failed */
	cb_replica_role_t role;
	uint64_t term;
	char *voted_for; /* ID of the disk voted for in `term`, or NULL */
	char *disk_id;	 /* ID of this member's disk */
	char *group_id;	 /* empty until this member has a list of members */
	char *leader;	 /* name of the known leader, or NULL */
	/* Time of the last message from the leader. */
	int64_t leader_last_received_ms;
	cb_pre_vote_grant_t pre_vote_grant;
	/* Last failed election that was logged since a leader was known. */
	cb_election_result_t failed_election;
	cb_timer_t *election_timer;
	cb_timer_t *heartbeat_timer;
	/* Armed until the newest committed index is sent to the peers. */
	cb_timer_t *commit_timer;
	/* Armed while records, reads or outcomes wait to be sent together. */
	cb_timer_t *flush_timer;

	GPtrArray *members; /* cb_replica_member_t *, sorted by name */
	/* Index of the record or snapshot that has `members`. */
	uint64_t members_index;
	GPtrArray *peers; /* cb_peer_t *: the members except this one */
	/* Pending addition of a member, or NULL. */
	cb_member_addition_t *addition;
	/* Name -> address of senders that are not members. */
	GHashTable *addresses;
	/* Name -> disk_id, collected while the group is being formed. */
	GHashTable *initial_disks;

	cb_replica_log_t *log;
	uint64_t submitted_index; /* last index passed to the storage */
	uint64_t durable;	  /* last index that the storage made durable */
	uint64_t verified;   /* follower: last index equal to the leader's */
	uint64_t committed;  /* last index known to be committed */
	uint64_t applied;    /* last index applied to the state machine */
	uint64_t term_start; /* leader: index of the first record of its term */

	GQueue operations;   /* operation_t *: pending in the storage */
	uint32_t vote_saves; /* number of pending saves of the term and vote */
	GQueue outbox;	     /* cb_outgoing_t * */

	GQueue proposals;   /* cb_proposal_t *, ordered by index */
	GQueue reads;	    /* cb_proposal_t *, ordered by round */
	GQueue completions; /* cb_proposal_t * with their outcomes */
	/*
	 * The last round of read confirmation that was begun (leader) or
	 * received (follower).
	 */
	uint64_t round;

	cb_snapshot_t snapshot; /* newest snapshot */
	gboolean is_saving_snapshot;
	cb_incoming_t incoming;
	char *hand_over_to; /* name of the next leader, or NULL */
	/* Time at which the hand-over is abandoned. */
	int64_t hand_over_deadline_ms;
};

/* Functions of replica.c */
int64_t cb_replica_now_ms(const cb_replica_t *replica);
gboolean cb_replica_leads(const cb_replica_t *replica);
gboolean cb_replica_is_voter(const cb_replica_t *replica);
void cb_replica_set_role(cb_replica_t *replica, cb_replica_role_t role);
void cb_replica_set_leader(cb_replica_t *replica, const char *name);
void cb_replica_fail(cb_replica_t *replica, const GError *error);
void cb_replica_send(cb_replica_t *replica, const char *to, const char *address,
		     const char *to_disk, cb_message_t *message);
char *cb_replica_generate_id(cb_replica_t *replica);
void cb_outgoing_delete(void *data);
void cb_replica_flush_soon(cb_replica_t *replica);

/* Functions of replica_count.c */
void cb_replica_counts_init(cb_replica_t *replica, cb_counters_t *counters);
void cb_replica_count(cb_replica_t *replica, cb_replica_count_t count);

/* replica_store.c: writes to the storage */
void cb_replica_save_vote(cb_replica_t *replica);
void cb_replica_store_records(cb_replica_t *replica);
void cb_replica_store_snapshot(cb_replica_t *replica);
void cb_replica_truncate(cb_replica_t *replica, uint64_t from);
void cb_replica_detach_operations(cb_replica_t *replica);

/* Functions of election.c */
void cb_election_arm(cb_replica_t *replica);
void cb_election_arm_first(cb_replica_t *replica);
void cb_election_timeout(cb_replica_t *replica);
void cb_election_vote_saved(cb_replica_t *replica);
void cb_election_step_down(cb_replica_t *replica, uint64_t term);
void cb_election_resign(cb_replica_t *replica);
void cb_election_vote_request(cb_replica_t *replica, const char *from,
			      const cb_message_t *message);
void cb_election_vote_reply(cb_replica_t *replica, cb_peer_t *peer,
			    const cb_message_t *message);
void cb_election_take_over(cb_replica_t *replica, const char *from,
			   const cb_message_t *message);
void cb_election_hand_over_step(cb_replica_t *replica);
gboolean cb_election_has_majority_contact(const cb_replica_t *replica);

/* replication.c: the leader's side */
cb_peer_t *cb_peer_find(const cb_replica_t *replica, const char *name);
gboolean cb_peer_is_in_contact(const cb_replica_t *replica,
			       const cb_peer_t *peer);
int64_t cb_peer_silence_ms(const cb_replica_t *replica, const cb_peer_t *peer);
void cb_replica_sync_peers(cb_replica_t *replica);
void cb_replication_become_leader(cb_replica_t *replica);
void cb_replication_send(cb_replica_t *replica, cb_peer_t *peer);
void cb_replication_send_all(cb_replica_t *replica);
void cb_replication_heartbeat(cb_replica_t *replica);
void cb_replication_tick(cb_replica_t *replica);
void cb_replication_append_reply(cb_replica_t *replica, cb_peer_t *peer,
				 const cb_message_t *message);
void cb_replication_advance(cb_replica_t *replica);

/* append.c: the follower's side */
void cb_append_receive(cb_replica_t *replica, const char *from,
		       const cb_message_t *message);
void cb_append_follow(cb_replica_t *replica, const char *from, uint64_t term);
void cb_append_stored(cb_replica_t *replica);
void cb_append_commit(cb_replica_t *replica, uint64_t committed);

/* replica_snapshot.c */
void cb_snapshot_take_if_due(cb_replica_t *replica);
void cb_snapshot_stored(cb_replica_t *replica);
void cb_snapshot_send_begin(cb_replica_t *replica, cb_peer_t *peer);
void cb_snapshot_send_chunk(cb_replica_t *replica, cb_peer_t *peer);
void cb_snapshot_send_end(cb_peer_t *peer);
void cb_snapshot_receive(cb_replica_t *replica, const char *from,
			 const cb_message_t *message);
void cb_snapshot_reply_receive(cb_replica_t *replica, cb_peer_t *peer,
			       const cb_message_t *message);
void cb_snapshot_clear(cb_snapshot_t *snapshot);
void cb_incoming_clear(cb_incoming_t *incoming);

/* Functions of membership.c */
void cb_membership_adopt(cb_replica_t *replica);
gboolean cb_membership_forms_group(const cb_replica_t *replica);
void cb_membership_tick(cb_replica_t *replica);
void cb_membership_probe(cb_replica_t *replica, const char *from,
			 const cb_message_t *message);
void cb_membership_probe_reply(cb_replica_t *replica, const char *from,
			       const cb_message_t *message);
void cb_membership_report_disk(cb_replica_t *replica, const char *from);
void cb_membership_end_addition(cb_replica_t *replica,
				cb_replica_outcome_t outcome);
GPtrArray *cb_membership_at(const cb_replica_t *replica, uint64_t through,
			    uint64_t *index, char **group_id);

/* Functions of proposal.c */
uint64_t cb_proposal_append(cb_replica_t *replica, cb_record_kind_t kind,
			    GBytes *data);
void cb_proposal_add_waiter(cb_replica_t *replica, uint64_t index,
			    cb_replica_done_fn_t done, void *user_data);
void cb_proposal_complete(cb_replica_t *replica, cb_replica_outcome_t outcome,
			  uint64_t index, GBytes *answer,
			  cb_replica_done_fn_t done, void *user_data);
void cb_proposal_reject(cb_replica_t *replica, cb_replica_outcome_t outcome,
			cb_replica_count_t reason, cb_replica_done_fn_t done,
			void *user_data);
void cb_proposal_complete_applied(cb_replica_t *replica, uint64_t index,
				  GBytes *answer);
void cb_proposal_abandon_all(cb_replica_t *replica);
void cb_proposal_run_completions(cb_replica_t *replica);
void cb_read_begin_round(cb_replica_t *replica);
void cb_read_complete_confirmed(cb_replica_t *replica);

#endif
