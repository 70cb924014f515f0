#ifndef CURRANTBRIDGE_REPLICA_H
#define CURRANTBRIDGE_REPLICA_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/log.h"
#include "currantbridge/storage.h"

/*
 * One member of a replicated log: election, replication, snapshots and
 * membership.  It does no I/O of its own: messages leave through a
 * transport, records through a storage, time comes from a clock and chance
 * from a generator that the caller seeds.
 */
typedef struct cb_replica cb_replica_t;

typedef enum cb_replica_role {
	CB_REPLICA_ROLE_LEARNER,
	CB_REPLICA_ROLE_FOLLOWER,
	CB_REPLICA_ROLE_PRE_CANDIDATE,
	CB_REPLICA_ROLE_CANDIDATE,
	CB_REPLICA_ROLE_LEADER,
	CB_REPLICA_ROLE_COUNT
} cb_replica_role_t;

extern const char *const cb_replica_role_string[CB_REPLICA_ROLE_COUNT];

typedef enum cb_replica_outcome {
	CB_REPLICA_COMMITTED,
	/* Surely not committed: ask the leader instead. */
	CB_REPLICA_NOT_LEADER,
	/* Surely not committed: too many proposals wait. */
	CB_REPLICA_BUSY,
	/* May or may not be committed; repeat it under the same change ID. */
	CB_REPLICA_UNKNOWN,
	CB_REPLICA_OUTCOME_COUNT
} cb_replica_outcome_t;

extern const char *const cb_replica_outcome_string[CB_REPLICA_OUTCOME_COUNT];

/* A longer command is refused as BUSY. */
#define CB_REPLICA_MAX_COMMAND_BYTES (5 * 1024 * 1024)

typedef struct cb_replica_member {
	char *name;
	char *address; /* "IP:PORT" for messages between members */
	gboolean is_voter;
	/* Drawn anew for each blank disk, so that a replaced member differs. */
	char *disk_id;
} cb_replica_member_t;

/*
 * Sends messages to other members; may lose, delay or reorder them.  The
 * address is NULL for a sender whose address is not known.
 */
typedef struct cb_transport cb_transport_t;

typedef struct cb_transport_vtable {
	void (*send)(cb_transport_t *transport, const char *to,
		     const char *address, GBytes *message);
} cb_transport_vtable_t;

struct cb_transport {
	const cb_transport_vtable_t *vtable;
};

/* What the log's commands act upon. */
typedef struct cb_machine cb_machine_t;

typedef struct cb_machine_vtable {
	/* Applies a committed command; returns its answer, to be unrefed. */
	GBytes *(*apply)(cb_machine_t *machine, uint64_t index,
			 GBytes *command);
	GBytes *(*snapshot)(cb_machine_t *machine);
	gboolean (*restore)(cb_machine_t *machine, uint64_t index,
			    GBytes *snapshot, GError **error);
} cb_machine_vtable_t;

struct cb_machine {
	const cb_machine_vtable_t *vtable;
};

typedef struct cb_replica_options {
	const char *name;
	const char *address;
	/* The first members, used only with a blank storage. */
	const cb_replica_member_t *initial_members;
	size_t initial_member_count;
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	uint64_t snapshot_every_bytes;
	size_t max_waiting_proposals;
	/* Both may be NULL. */
	cb_log_t *log;
	cb_counters_t *counters;
} cb_replica_options_t;

/* Tells the owner of changes; any member of the table may be NULL. */
typedef struct cb_replica_listener {
	void (*role_changed)(void *user_data);
	void (*applied)(void *user_data, uint64_t index);
	/* The storage failed: the member takes no further part. */
	void (*failed)(void *user_data, const GError *error);
	void *user_data;
} cb_replica_listener_t;

typedef void (*cb_replica_done_fn_t)(cb_replica_outcome_t outcome,
				     uint64_t index, GBytes *answer,
				     void *user_data);

cb_replica_t *cb_replica_new(const cb_replica_options_t *options,
			     cb_clock_t *clock, GRand *random,
			     cb_storage_t *storage, cb_transport_t *transport,
			     cb_machine_t *machine,
			     const cb_replica_listener_t *listener);
void cb_replica_delete(cb_replica_t *replica);

gboolean cb_replica_start(cb_replica_t *replica, GError **error);
void cb_replica_receive(cb_replica_t *replica, const char *from,
			GBytes *message);

/* `done` is called exactly once, never before this returns. */
/* Tells that messages to a member get through again. */
void cb_replica_peer_ready(cb_replica_t *replica, const char *name);

void cb_replica_propose(cb_replica_t *replica, GBytes *command,
			cb_replica_done_fn_t done, void *user_data);
/*
 * Confirms with a majority that the leader still leads; the index given is
 * one that the state machine has applied, no older than the call.
 */
void cb_replica_confirm(cb_replica_t *replica, cb_replica_done_fn_t done,
			void *user_data);

/* One member at a time is added (as a learner), promoted or removed. */
void cb_replica_add_member(cb_replica_t *replica, const char *name,
			   const char *address, cb_replica_done_fn_t done,
			   void *user_data);
void cb_replica_remove_member(cb_replica_t *replica, const char *name,
			      cb_replica_done_fn_t done, void *user_data);
/* Hands leadership to the most advanced voter, for a planned stop. */
void cb_replica_hand_over(cb_replica_t *replica);

cb_replica_role_t cb_replica_role(const cb_replica_t *replica);
uint64_t cb_replica_term(const cb_replica_t *replica);
uint64_t cb_replica_committed(const cb_replica_t *replica);
uint64_t cb_replica_applied(const cb_replica_t *replica);
/* The leader's name, or NULL while none is known. */
const char *cb_replica_leader(const cb_replica_t *replica);
/* Whether this member has heard from a majority (or the leader) lately. */
gboolean cb_replica_is_current(const cb_replica_t *replica);
const GPtrArray *cb_replica_members(const cb_replica_t *replica);
/* On the leader: for how long a member was not heard; else 0. */
int64_t cb_replica_silence_ms(const cb_replica_t *replica, const char *name);

#endif
