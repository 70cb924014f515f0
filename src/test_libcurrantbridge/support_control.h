#ifndef SUPPORT_CONTROL_H
#define SUPPORT_CONTROL_H

#include "currantbridge/node.h"
#include "support_disk.h"
#include "support_network.h"

/*
 * Control instances that form a group from seeds and join it, each with its own
 * kernel and disk, on one paused clock and one in-memory network.  Their names
 * are their addresses, as in a deployment that configures only the addresses of
 * seeds.
 */
#define CONTROL_MEMBERS_MAX 64
#define CONTROL_SEED_COUNT 3
#define CONTROL_STEP_MS 10

typedef struct control_member {
	char *address; /* also the instance's name */
	disk_t *disk;
	/* Members whose addresses this one has as its seeds. */
	size_t seeds[CONTROL_SEED_COUNT];
	cb_kernel_t *kernel; /* NULL while the member is not running */
	cb_node_t *node;     /* NULL while the member is not running */
} control_member_t;

typedef struct control_group {
	cb_clock_t *clock;
	GRand *random;
	support_hub_t *hub;
	size_t count;
	/* Of members started from now on: how many may be lost at once. */
	uint32_t tolerated_losses;
	control_member_t members[CONTROL_MEMBERS_MAX];
} control_group_t;

/* Creates a group of `count` members that are not started. */
control_group_t *control_group_new(size_t count, uint32_t seed);
void control_group_delete(control_group_t *group);
/* Starts a process; `is_new_group`: the first members form a new group. */
void control_group_start(control_group_t *group, size_t i,
			 gboolean is_new_group);
/* Ends a process at once; its disk is kept. */
void control_group_kill(control_group_t *group, size_t i);
/* Blocks or unblocks all messages from and to a member. */
void control_group_isolate(control_group_t *group, size_t i,
			   gboolean is_isolated);
/* Returns the index of the leader of the highest term; `count`: none. */
size_t control_group_leader(const control_group_t *group);
/* Returns the voters in the leader's list, one bit each; 0: no leader. */
uint64_t control_group_voters(const control_group_t *group);
/* Runs until exactly the given members are voters; FALSE: not in time. */
gboolean control_group_run_until_voters(control_group_t *group, uint64_t voters,
					int64_t timeout_ms);

#endif
