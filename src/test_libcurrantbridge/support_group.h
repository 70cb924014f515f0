#ifndef SUPPORT_GROUP_H
#define SUPPORT_GROUP_H

#include "currantbridge/replica.h"
#include "support_disk.h"

/*
 * A group of replicas in one process, with a paused clock, a network that can
 * lose, delay, repeat and block messages, and disks that lose unsynced writes
 * in a crash.  The group records each violation of what a replicated log
 * guarantees.  All random numbers come from one seed.
 */
#define GROUP_MAX_MEMBERS 20

typedef struct group group_t;
typedef struct group_member group_member_t;

/* A client's record of one change, which keeps its ID over all attempts. */
typedef struct group_change {
	char id[32];
	/* The index at which the change took effect; 0: not known yet. */
	uint64_t effect_index;
} group_change_t;

struct group_member {
	group_t *group;
	char name[8];
	char address[32];
	gboolean is_up;
	gboolean is_gone;    /* the machine is lost for good */
	gboolean has_failed; /* the replica reported a failure of its storage */
	disk_t *disk;	     /* disk of the member, which outlives crashes */
	cb_replica_t *replica; /* NULL while the member is down */
	void *node;	       /* a node_t, private to support_group.c */
};

struct group {
	uint64_t seed;
	cb_clock_t *clock;
	GRand *random;
	uint32_t size;
	uint32_t initial_size; /* number of members that form the group */
	group_member_t members[GROUP_MAX_MEMBERS];
	/* is_blocked[a][b]: messages from a to b are dropped. */
	gboolean is_blocked[GROUP_MAX_MEMBERS][GROUP_MAX_MEMBERS];
	int32_t loss_per_mille;	  /* probability that a message is lost */
	int32_t repeat_per_mille; /* probability that a message is sent twice */
	int32_t max_delay_ms;	  /* message delay: random from 0 to this */
	uint64_t snapshot_every_bytes;
	uint32_t
		min_voters; /* of members started from now on; 0: none removed */
	uint32_t snapshot_padding_bytes; /* added to each snapshot */
	/* The highest index acknowledged to a client. */
	uint64_t acknowledged_index;
	uint32_t acknowledged_count; /* number of acknowledgements */
	uint32_t read_count;	     /* number of confirmed reads */
	uint64_t max_message_bytes;  /* size of the largest message */
	uint64_t sent_count;	     /* number of messages sent */
	uint64_t sent_bytes;	     /* size in bytes of all messages sent */
	cb_counters_t *counters;     /* counters of all members together */
	GPtrArray *violations;	     /* char *, one text for each violation */
	void *private_data; /* a group_private_t, private to support_group.c */
};

group_t *group_new(uint64_t seed, uint32_t size);
void group_delete(group_t *group);
/* Advances the clock of the group. */
void group_run(group_t *group, int64_t duration_ms);
void group_violation(group_t *group, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Whether there is no violation; otherwise prints the seed and up to five. */
gboolean group_has_no_violations(const group_t *group);

/* Adds a blank member that is not started and not yet in the group. */
group_member_t *group_add(group_t *group);
void group_start(group_member_t *member);
void group_start_all(group_t *group);
void group_crash(group_member_t *member);
/* Crashes a member and replaces its disk by a blank one. */
void group_replace_disk(group_member_t *member);
/* Crashes a member for good. */
void group_lose(group_member_t *member);
/* Lets all blocked messages pass again. */
void group_heal(group_t *group);
/* Blocks all messages to a member (`in`) and from it (`out`). */
void group_isolate(group_member_t *member, gboolean in, gboolean out);

/* Returns the running leader of the highest term, or NULL. */
group_member_t *group_leader(group_t *group);
/* Waits for a leader in contact with a majority; NULL: none in time. */
group_member_t *group_wait_leader(group_t *group, int64_t timeout_ms);
/* Proposes a new change and retries it until it is acknowledged. */
gboolean group_commit_one(group_t *group, int64_t timeout_ms);
/* Commits `count` changes, one after the other, each within `timeout_ms`. */
gboolean group_commit_many(group_t *group, uint32_t count, int64_t timeout_ms);
/* Proposes a change at one member; `change` must live until `done`. */
void group_propose(group_member_t *member, group_change_t *change,
		   cb_replica_done_fn_t done, void *user_data);
void group_read(group_member_t *member);
/* Whether the present disk of a member is a voter's, by the leader's log. */
gboolean group_is_voter(group_t *group, const group_member_t *member);
/* Returns the value of cb_replica_events_total for `event`. */
int64_t group_event_count(const group_t *group, const char *event);
/* Waits until all running members have applied the leader's whole log. */
gboolean group_wait_equal(group_t *group, int64_t timeout_ms);
/*
 * Checks the answer to a change, and that every member whose machine isn't gone
 * has applied it.
 */
void group_check_change(group_t *group, const group_change_t *change);
/* Checks that the logs of all running members agree. */
void group_check_logs(group_t *group);

#endif
