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
	/* For links from control and entry instances. */
	const char *listen;
	const char *data_folder;
	/* None: a blank instance waits until it is added. */
	const cb_replica_member_t *initial_members;
	size_t initial_member_count;
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
	uint64_t snapshot_every_bytes;
	/* Backend servers not heard for this are silent; 0: none are heard. */
	int64_t server_silence_ms;
	/*
	 * Control instances that a blank one asks to be added, each an
	 * address that is also the name, NULL-terminated; NULL: none.
	 */
	const char *const *join_addresses;
	/* Not taken; NULL: TCP, the data folder, a generator of its own. */
	cb_network_t *network;
	cb_storage_t *storage;
	GRand *random;
} cb_node_options_t;

typedef enum cb_submit_outcome {
	CB_SUBMIT_ANSWERED,
	CB_SUBMIT_NO_LEADER, /* surely not accepted */
	CB_SUBMIT_BUSY,	     /* surely not accepted */
	CB_SUBMIT_UNKNOWN,   /* resend under the same change ID */
	CB_SUBMIT_OUTCOME_COUNT
} cb_submit_outcome_t;

extern const char *const cb_submit_outcome_string[CB_SUBMIT_OUTCOME_COUNT];

typedef void (*cb_submit_fn_t)(cb_submit_outcome_t outcome,
			       const cb_answer_t *answer, void *user_data);
typedef void (*cb_confirm_fn_t)(cb_submit_outcome_t outcome, uint64_t index,
				void *user_data);

/* One entry instance's session, as gathered by the leader. */
typedef struct cb_session_status {
	char *name;
	char *control; /* the control instance that it is connected to */
	uint64_t incarnation;
	uint64_t revision_in_force;
	int64_t heard_ms_ago;
} cb_session_status_t;

/* `sessions`, of cb_session_status_t, is valid during the call; or NULL. */
typedef void (*cb_sessions_fn_t)(cb_submit_outcome_t outcome,
				 const GPtrArray *sessions, void *user_data);

cb_node_t *cb_node_new(cb_kernel_t *kernel, const cb_node_options_t *options);

/* Proposes here or at the leader; `done` is called exactly once. */
void cb_node_submit(cb_node_t *node, cb_command_t *command, cb_submit_fn_t done,
		    void *user_data);
/* Calls back once this instance's state is known to be current. */
void cb_node_confirm(cb_node_t *node, cb_confirm_fn_t done, void *user_data);
void cb_node_add_member(cb_node_t *node, const char *name, const char *address,
			cb_submit_fn_t done, void *user_data);
void cb_node_remove_member(cb_node_t *node, const char *name,
			   cb_submit_fn_t done, void *user_data);

/* Takes other instances to ask, should this one have to be added. */
void cb_node_configure_join(cb_node_t *node, const char *const *addresses);
/* The backend servers that announced themselves here or elsewhere. */
cb_fleet_t *cb_node_fleet(cb_node_t *node);
/* Whether entry instances saw requests fail at a server within a second. */
gboolean cb_node_is_doubted(const cb_node_t *node, const char *server_id);
gboolean cb_node_leads(const cb_node_t *node);
/*
 * Takes what a server says of itself.  `done` is called once, with
 * CB_SUBMIT_ANSWERED when the word holds: a server that drains is told so only
 * once that is committed.
 */
void cb_node_fleet_hear(cb_node_t *node, const cb_fleet_server_t *said,
			cb_submit_fn_t done, void *user_data);
/* As cb_node_fleet_hear(), for a server that says only that it leaves. */
void cb_node_fleet_leave(cb_node_t *node, const char *server_id,
			 cb_submit_fn_t done, void *user_data);
/* Commits a document that was checked; it is answered once it holds. */
void cb_node_put_document(cb_node_t *node, int64_t version, const char *text,
			  size_t size, cb_submit_fn_t done, void *user_data);

const cb_replica_t *cb_node_replica(const cb_node_t *node);
const cb_state_t *cb_node_state(const cb_node_t *node);
/* Of cb_session_status_t; complete on the leader only. */
const GPtrArray *cb_node_sessions(const cb_node_t *node);
/* Asks the leader for its sessions; `done` is called exactly once. */
void cb_node_fetch_sessions(cb_node_t *node, cb_sessions_fn_t done,
			    void *user_data);
/* The port that links are accepted on, once started. */
uint16_t cb_node_port(const cb_node_t *node);

#endif
