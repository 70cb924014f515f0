#ifndef CURRANTBRIDGE_NODE_H
#define CURRANTBRIDGE_NODE_H

#include "currantbridge/command.h"
#include "currantbridge/fleet.h"
#include "currantbridge/kernel.h"
#include "currantbridge/network.h"
#include "currantbridge/replica.h"
#include "currantbridge/state.h"

/*
 * A control instance: a replica with its storage, the links to the other
 * control instances and the sessions of entry instances.  A service of the
 * kernel, named "node".
 */
typedef struct cb_node cb_node_t;

typedef struct cb_node_options {
	const char *name;
	/* Address to accept links of control and entry instances on. */
	const char *listen;
	const char *data_folder;
	/*
	 * Members that form a new group; if empty, this instance waits to be
	 * added to a group.
	 */
	const cb_replica_member_t *initial_members;
	size_t initial_member_count;
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
	uint64_t snapshot_every_bytes;
	/*
	 * Backend servers without a heartbeat for this long are silent; 0
	 * only where no backend server announces itself.
	 */
	int64_t server_silence_ms;
	/*
	 * Decodes the documents whose services backend servers must have to be
	 * used; NULL: servers of any service are.
	 */
	const cb_document_codec_t *codec;
	/*
	 * How long retries count against the budget of all entry instances; 0
	 * only where no entry instance retries.
	 */
	int64_t retry_window_ms;
	/*
	 * Control instances that a blank one requests its addition from, each
	 * an address that is also the name, NULL-terminated; NULL: no instance
	 * is asked.
	 */
	const char *const *join_addresses;
	/*
	 * How many members may be lost at the same time, with their disks; 0:
	 * not known.  Silent voters lose their votes without a successor only
	 * as long as twice as many and one remain (9 if it is not known).
	 */
	uint32_t tolerated_losses;
	/*
	 * Owned by the caller.  Defaults for NULL: TCP, files in the data
	 * folder and a new random number generator.
	 */
	cb_network_t *network;
	cb_storage_t *storage;
	GRand *random;
} cb_node_options_t;

typedef enum cb_submit_outcome {
	CB_SUBMIT_ANSWERED,
	CB_SUBMIT_NO_LEADER, /* the command was certainly not accepted */
	CB_SUBMIT_BUSY,	     /* the command was certainly not accepted */
	/* The command may be accepted; resend it with the same change ID. */
	CB_SUBMIT_UNKNOWN,
	CB_SUBMIT_OUTCOME_COUNT
} cb_submit_outcome_t;

extern const char *const cb_submit_outcome_string[CB_SUBMIT_OUTCOME_COUNT];

typedef void (*cb_submit_fn_t)(cb_submit_outcome_t outcome,
			       const cb_answer_t *answer, void *user_data);
typedef void (*cb_confirm_fn_t)(cb_submit_outcome_t outcome, uint64_t index,
				void *user_data);

/* The session of one entry instance, as reported to the leader. */
typedef struct cb_session_status {
	char *name;
	char *control; /* control instance that the session is open at */
	uint64_t incarnation;
	uint64_t revision_in_force;
	/* The age of the last message received, in milliseconds. */
	int64_t last_received_ms_ago;
} cb_session_status_t;

/* `sessions` holds cb_session_status_t; valid during the call, or NULL. */
typedef void (*cb_sessions_fn_t)(cb_submit_outcome_t outcome,
				 const GPtrArray *sessions, void *user_data);

cb_node_t *cb_node_new(cb_kernel_t *kernel, const cb_node_options_t *options);

/* Submits a command to the leader; `done` is called exactly once. */
void cb_node_submit(cb_node_t *node, cb_command_t *command, cb_submit_fn_t done,
		    void *user_data);
/* Calls `done` once this instance's state is known to be current. */
void cb_node_confirm(cb_node_t *node, cb_confirm_fn_t done, void *user_data);
void cb_node_add_member(cb_node_t *node, const char *name, const char *address,
			cb_submit_fn_t done, void *user_data);
void cb_node_remove_member(cb_node_t *node, const char *name,
			   cb_submit_fn_t done, void *user_data);

/* Replaces the instances that this one requests its addition from. */
void cb_node_set_join_addresses(cb_node_t *node, const char *const *addresses);
/* Returns the backend servers that any control instance has reported. */
cb_fleet_t *cb_node_fleet(cb_node_t *node);
/*
 * Returns whether at least two entry instances saw requests fail at a server
 * within the last second.
 */
gboolean cb_node_is_server_suspected(const cb_node_t *node,
				     const char *server_id);
gboolean cb_node_leads(const cb_node_t *node);
/*
 * Records a backend server's report about itself.  `done` is called once,
 * with CB_SUBMIT_ANSWERED when the report has taken effect: that of a
 * draining server only after its stop is committed or, if the configuration lacks
 * its service, after a majority has confirmed that.
 */
void cb_node_server_announce(cb_node_t *node, const cb_fleet_server_t *report,
			     cb_submit_fn_t done, void *user_data);
/*
 * As cb_node_server_announce(), for a server that reports only its stop.
 * `service`: its service; NULL: not given.  `start_wall_ms`: when the process that
 * leaves started; -1: not given, it is the one that is known.  A server of another
 * service under the ID is not stopped.
 */
void cb_node_server_leave(cb_node_t *node, const char *server_id,
			  const char *service, int64_t start_wall_ms,
			  cb_submit_fn_t done, void *user_data);
/* Submits a validated document; `done` is called as in cb_node_submit(). */
void cb_node_put_document(cb_node_t *node, int64_t version, const char *text,
			  size_t size, cb_submit_fn_t done, void *user_data);

const cb_replica_t *cb_node_replica(const cb_node_t *node);
const cb_state_t *cb_node_state(const cb_node_t *node);
/* Returns an array of cb_session_status_t; complete on the leader only. */
const GPtrArray *cb_node_sessions(const cb_node_t *node);
/*
 * Requests the list of all entry instances' sessions from the leader; `done` is
 * called exactly once.
 */
void cb_node_fetch_sessions(cb_node_t *node, cb_sessions_fn_t done,
			    void *user_data);
/* Returns the TCP port that links are accepted on; 0 before the start. */
uint16_t cb_node_port(const cb_node_t *node);

#endif
