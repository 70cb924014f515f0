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
 * membership.  It does no I/O of its own: it sends messages through a
 * transport and stores records through a storage.  The time comes from a
 * clock, random numbers from a generator that the caller seeds.
 */
typedef struct cb_replica cb_replica_t;

typedef enum cb_replica_role {
	/* The member receives the log but doesn't vote. */
	CB_REPLICA_ROLE_LEARNER,
	CB_REPLICA_ROLE_FOLLOWER,
	/*
	 * The member asks the voters whether they would vote for it in the next
	 * term.
	 */
	CB_REPLICA_ROLE_PRE_CANDIDATE,
	CB_REPLICA_ROLE_CANDIDATE,
	CB_REPLICA_ROLE_LEADER,
	CB_REPLICA_ROLE_COUNT
} cb_replica_role_t;

extern const char *const cb_replica_role_string[CB_REPLICA_ROLE_COUNT];

typedef enum cb_replica_outcome {
	CB_REPLICA_COMMITTED,
	/* Certainly not committed: repeat the call at the leader. */
	CB_REPLICA_NOT_LEADER,
	/* Certainly not committed: repeat the call later. */
	CB_REPLICA_BUSY,
	/* Perhaps committed: repeat the call under the same change ID. */
	CB_REPLICA_UNKNOWN,
	CB_REPLICA_OUTCOME_COUNT
} cb_replica_outcome_t;

extern const char *const cb_replica_outcome_string[CB_REPLICA_OUTCOME_COUNT];

/* A longer command is refused with CB_REPLICA_BUSY. */
#define CB_REPLICA_MAX_COMMAND_BYTES (5 * 1024 * 1024)

typedef struct cb_replica_member {
	char *name;
	char *address; /* "IP:PORT" for messages between members */
	gboolean is_voter;
	/*
	 * ID that is generated for each blank disk, to detect a replaced disk.
	 */
	char *disk_id;
} cb_replica_member_t;

/*
 * Sends messages to other members; may lose, delay or reorder them. The
 * receiver's address ("IP:PORT") is NULL if the replica doesn't know it.
 */
typedef struct cb_transport cb_transport_t;

typedef struct cb_transport_vtable {
	void (*send)(cb_transport_t *transport, const char *to,
		     const char *address, GBytes *message);
} cb_transport_vtable_t;

struct cb_transport {
	const cb_transport_vtable_t *vtable;
};

/* The state machine that the committed commands are applied to. */
typedef struct cb_machine cb_machine_t;

typedef struct cb_machine_vtable {
	/* Applies a committed command; the caller unrefs the answer. */
	GBytes *(*apply)(cb_machine_t *machine, uint64_t index,
			 GBytes *command);
	/*
	 * Returns a snapshot of the whole state; the caller unrefs the bytes.
	 */
	GBytes *(*snapshot)(cb_machine_t *machine);
	/* Replaces the state by a snapshot taken after the record `index`. */
	gboolean (*restore)(cb_machine_t *machine, uint64_t index,
			    GBytes *snapshot, GError **error);
} cb_machine_vtable_t;

struct cb_machine {
	const cb_machine_vtable_t *vtable;
};

typedef struct cb_replica_options {
	const char *name;    /* name of this member, unique in the group */
	const char *address; /* "IP:PORT" of this member */
	/* The members that form the group, used only on a blank storage. */
	const cb_replica_member_t *initial_members;
	size_t initial_member_count;
	/* In the four settings below 0 stands for the default. */
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	/* A snapshot is taken after at least so many bytes of records. */
	uint64_t snapshot_every_bytes;
	/* The maximum number of waiting proposals, and of waiting reads. */
	size_t max_waiting_proposals;
	/*
	 * Voters that fall silent lose their votes to learners, or without a
	 * successor if at least so many voters remain; silent learners are
	 * removed.  0: none of these.
	 */
	uint32_t min_voters;
	cb_log_t *log; /* log that events are written to; may be NULL */
	cb_counters_t *counters; /* counters of events; may be NULL */
} cb_replica_options_t;

/* Callbacks that notify the owner of changes; each may be NULL. */
typedef struct cb_replica_listener {
	/* The role or the known leader has changed. */
	void (*role_changed)(void *user_data);
	/* The state machine has applied all records up to `index`. */
	void (*applied)(void *user_data, uint64_t index);
	/* The storage failed: this member takes no further part. */
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

/* Called when messages can reach the member `name` again. */
void cb_replica_peer_ready(cb_replica_t *replica, const char *name);

/* `done` is called exactly once, after cb_replica_propose() has returned. */
void cb_replica_propose(cb_replica_t *replica, GBytes *command,
			cb_replica_done_fn_t done, void *user_data);
/*
 * Confirms with a majority that this member is still the leader.  `done`
 * receives an index that the state machine has applied and that covers every
 * change committed before the call.
 */
void cb_replica_confirm(cb_replica_t *replica, cb_replica_done_fn_t done,
			void *user_data);

/* Adds a learner.  One member at a time is added, promoted or removed. */
void cb_replica_add_member(cb_replica_t *replica, const char *name,
			   const char *address, cb_replica_done_fn_t done,
			   void *user_data);
void cb_replica_remove_member(cb_replica_t *replica, const char *name,
			      cb_replica_done_fn_t done, void *user_data);
/* Transfers leadership to the most advanced voter, for a planned stop. */
void cb_replica_hand_over(cb_replica_t *replica);

cb_replica_role_t cb_replica_role(const cb_replica_t *replica);
uint64_t cb_replica_term(const cb_replica_t *replica);
uint64_t cb_replica_committed(const cb_replica_t *replica);
uint64_t cb_replica_applied(const cb_replica_t *replica);
/* The leader's name, or NULL while none is known. */
const char *cb_replica_leader(const cb_replica_t *replica);
/*
 * Whether this member received messages from the leader (on the leader: from a
 * majority) within the election timeout.
 */
gboolean cb_replica_is_current(const cb_replica_t *replica);
const GPtrArray *cb_replica_members(const cb_replica_t *replica);
/*
 * On the leader: for how many milliseconds a member has answered no heartbeat;
 * 0 on any other member.
 */
int64_t cb_replica_silence_ms(const cb_replica_t *replica, const char *name);

#endif
