#ifndef SUPPORT_GROUP_H
#define SUPPORT_GROUP_H

#include "currantbridge/replica.h"
#include "support_disk.h"

/*
 * A group of replicas in one process: a paused clock, a network that loses,
 * delays, repeats and cuts, disks that forget, and a record of everything
 * that must hold.  All chance comes from one seed.
 */
#define GROUP_MAX_MEMBERS 10

typedef struct group group_t;
typedef struct group_member group_member_t;

/* What a client knows of one change; its ID never changes. */
typedef struct group_change {
	char id[32];
	uint64_t answer; /* the index that first took effect; 0: none yet */
} group_change_t;

struct group_member {
	group_t *group;
	char name[8];
	char address[32];
	gboolean is_up;
	gboolean has_failed;
	disk_t *disk;
	cb_replica_t *replica;
	void *node; /* transport and machine, private */
};

struct group {
	uint64_t seed;
	cb_clock_t *clock;
	GRand *random;
	uint32_t size;
	uint32_t initial_size;
	group_member_t members[GROUP_MAX_MEMBERS];
	/* cut[a][b]: nothing passes from a to b. */
	gboolean cut[GROUP_MAX_MEMBERS][GROUP_MAX_MEMBERS];
	int32_t loss_per_mille;
	int32_t repeat_per_mille;
	int32_t delay_most_ms;
	uint64_t snapshot_every_bytes;
	uint32_t snapshot_padding_bytes;
	uint64_t acknowledged; /* the highest index told to a client */
	uint32_t acknowledged_count;
	uint32_t read_count;
	uint64_t sent_bytes_most; /* of one message */
	uint64_t sent_count;
	uint64_t sent_bytes;
	cb_counters_t *counters; /* of all members together */
	GPtrArray *violations;	 /* of text */
	void *history;		 /* private */
};

group_t *group_new(uint64_t seed, uint32_t size);
void group_delete(group_t *group);
void group_run(group_t *group, int64_t duration_ms);
void group_violation(group_t *group, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Whether nothing was violated; prints seed and violations if not. */
gboolean group_is_good(const group_t *group);

group_member_t *group_add(group_t *group);
void group_start(group_member_t *member);
void group_start_all(group_t *group);
void group_crash(group_member_t *member);
void group_blank(group_member_t *member);
void group_heal(group_t *group);
/* Cuts a member off from all others, in one or both directions. */
void group_cut_off(group_member_t *member, gboolean in, gboolean out);

/* The live member that leads in the highest term, or NULL. */
group_member_t *group_leader(group_t *group);
group_member_t *group_wait_leader(group_t *group, int64_t bound_ms);
/* Proposes a new change again and again until it is acknowledged. */
gboolean group_commit_one(group_t *group, int64_t bound_ms);
gboolean group_commit_many(group_t *group, uint32_t count, int64_t bound_ms);
/* Asks one member to propose a change; `change` outlives the call. */
void group_propose(group_member_t *member, group_change_t *change,
		   cb_replica_done_fn_t done, void *user_data);
void group_read(group_member_t *member);
gboolean group_is_voter(group_t *group, const group_member_t *member);
/* How often an event of cb_replica_events_total has come. */
int64_t group_event_count(const group_t *group, const char *event);
/* Whether all live members have applied the same, up to the last commit. */
gboolean group_wait_equal(group_t *group, int64_t bound_ms);
/* Checks that an acknowledged change took effect once, on every member. */
void group_check_change(group_t *group, const group_change_t *change);
/* Compares the logs of all live members. */
void group_check_logs(group_t *group);

#endif
