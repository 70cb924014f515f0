#ifndef PRIVATE_NODE_H
#define PRIVATE_NODE_H

#include "currantbridge/allocation.h"
#include "currantbridge/fleet.h"
#include "currantbridge/node.h"
#include "private/departed.h"
#include "private/link.h"
#include "private/peers.h"
#include "private/roster.h"
#include "private/usage.h"

/* How long a request to the leader may take. */
#define CB_NODE_REQUEST_TIMEOUT_MS 3000
/* An entry instance is silent after this many silence timeouts of a link. */
#define CB_NODE_INSTANCE_SILENCE_FACTOR 2

/* An entry instance's session with this control instance. */
typedef struct cb_session {
	cb_hello_t hello;
	/* The newest revision sent to the entry instance. */
	uint64_t sent_revision;
	/* The newest revision that the entry instance has reported in force. */
	uint64_t in_force_revision;
	int64_t last_update_sent_ms;
	gboolean needs_full_update; /* the next update starts at revision 0 */
	/* Whether a confirmation was sent to the entry instance. */
	gboolean is_confirmed;
	/* Whether the session waits for the round of confirmation. */
	gboolean is_confirming;
	gboolean is_leaving;
	/* When the entry instance was last submitted as up; 0: never. */
	int64_t up_submitted_ms;
	/*
	 * Whether the session changed since it was last reported to the leader.
	 */
	gboolean is_unreported;
	/*
	 * Usage that the entry instance last reported; NULL: not reported yet.
	 */
	cb_usage_t *usage;
} cb_session_t;

/* A link that another process opened. */
typedef struct cb_inbound {
	cb_node_t *node;
	uint64_t id;
	cb_link_t *link;
	/* NULL: the link is not from an entry instance. */
	cb_session_t *session;
	/* Counts the ready links of its protocol version; NULL: not ready. */
	cb_counter_t *protocol_gauge;
} cb_inbound_t;

/* A call of the node's owner that waits for the replica or the leader. */
typedef struct cb_node_request {
	cb_node_t *node;
	uint64_t id;
	/* Leader that the request was sent to; NULL: not sent. */
	char *leader_name;
	cb_timer_t *timer;
	gboolean is_in_replica; /* the replica's callback is outstanding */
	gboolean is_answered;
	cb_submit_fn_t submit_done;
	cb_confirm_fn_t confirm_done;
	cb_sessions_fn_t sessions_done;
	void *user_data;
	/* Outcome given if the timer fires. */
	cb_submit_outcome_t timer_outcome;
} cb_node_request_t;

/* The link and the request that an answer to another process goes to. */
typedef struct cb_reply {
	cb_node_t *node;
	uint64_t inbound_id;
	uint64_t request_id; /* request ID that the sender chose */
} cb_reply_t;

/* A caller of cb_node_confirm() that waits for the outcome. */
typedef struct cb_confirm_waiter {
	cb_confirm_fn_t done;
	void *user_data;
} cb_confirm_waiter_t;

typedef struct cb_node_transport {
	cb_transport_t transport;
	cb_node_t *node;
} cb_node_transport_t;

struct cb_node {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	char *name;
	char *listen;
	char *data_folder;
	int64_t heartbeat_ms;
	int64_t election_timeout_ms;
	int64_t silence_ms;
	GRand *random;
	char **join_addresses;
	unsigned int next_join_index;
	int64_t last_join_request_ms;
	/* Time of the first join request without effect; 0: none is needed. */
	int64_t join_since_ms;
	int64_t join_logged_ms; /* last log line about these requests */
	/*
	 * Digest of the list of control instances last sent to entry instances.
	 */
	uint64_t sent_members_digest;
	cb_network_t *network;
	gboolean owns_network;
	cb_storage_t *storage;
	gboolean owns_storage;
	cb_listener_t *listener;
	cb_state_t *state;
	cb_node_transport_t transport;
	cb_replica_t *replica;
	cb_peers_t *peers;
	cb_roster_t *roster;
	GPtrArray *session_statuses;
	/* The leases granted by this instance as the leader, or NULL. */
	cb_lease_book_t *lease_book;
	/* Value of leader_since_ms when `lease_book` was created. */
	int64_t lease_book_leader_since_ms;
	cb_fleet_t *fleet;
	/* Reads documents' services; NULL: all servers are admitted. */
	const cb_document_codec_t *codec;
	/* The services of the document in force; NULL: none was read yet. */
	cb_document_t *services;
	uint64_t services_revision; /* of the document last read; 0: none */
	/* Revision of the document that servers were last admitted by; 0: none. */
	uint64_t reviewed_revision;
	GHashTable *pending_stops; /* set of pending_stop_t, see node_fleet.c */
	cb_timer_t *fleet_timer;
	int64_t server_silence_ms;
	int64_t last_expiry_check_ms;
	/* Whether servers of the replicated state were merged into `fleet`. */
	gboolean has_merged_servers;
	/* Revision of the state whose servers were merged last; 0: none. */
	uint64_t records_merged_revision;
	int64_t records_merged_until_ms; /* with has_merged_servers */
	/*
	 * Whether this instance recorded servers as the leader at the last
	 * check.
	 */
	gboolean was_recording_servers;
	/* When the leader last looked for records of unknown servers. */
	int64_t records_checked_ms;
	/* Submitted records of servers that are not answered yet. */
	unsigned int server_records_in_flight;
	/* Last time that a link to a peer was down or the process stalled. */
	int64_t all_linked_since_ms;
	GHashTable *peer_usages; /* peer_usage_t by control instance */
	cb_departed_t *departed;
	/* Usage summed over all entry instances, as last sent to them. */
	cb_usage_t *total_usage;
	int64_t usage_sent_ms; /* time of the last sums of usage */
	cb_timer_t *usage_timer;
	/* Whether changes of `fleet` are to be sent soon. */
	gboolean is_fleet_share_pending;
	int64_t fleet_changes_sent_ms; /* time when changes were last sent */
	uint64_t next_id;
	GHashTable *inbounds; /* cb_inbound_t by id */
	/* Entry instances by name, with the time (int64_t) when they were told to
	 * look for another control instance. */
	GHashTable *turned_away;
	GHashTable *requests;	     /* cb_node_request_t by id */
	GHashTable *pending_replies; /* set of cb_reply_t not sent yet */
	/*
	 * cb_confirm_waiter_t of the next round of confirmation, and of the
	 * running one.
	 */
	GArray *next_confirm_waiters;
	GArray *running_confirm_waiters;
	/*
	 * Leader's index for the running round of confirmation; 0: not known
	 * yet.
	 */
	uint64_t confirm_index;
	int64_t confirm_deadline_ms;
	cb_timer_t *tick_timer;
	cb_timer_t *push_timer;
	int64_t pushed_ms; /* time of the last push to all sessions */
	cb_timer_t *role_timer;
	cb_timer_t *report_timer;
	cb_timer_t *confirm_timer;
	cb_timer_t *drain_timer;
	/* Deadline for handing over leadership; 0: the links are closed. */
	int64_t drain_deadline_ms;
	int64_t last_tick_ms;
	int64_t last_current_ms; /* time of the last contact with a majority */
	uint64_t tick_count;
	/*
	 * When this instance became the leader or, if later, last resumed from
	 * a stall.
	 */
	int64_t leader_since_ms;
	gboolean was_leader;
	gboolean is_confirming_sessions;
	gboolean has_new_session;
	gboolean is_failed;
	gboolean is_draining;
	gboolean is_destroyed;
	cb_counter_t *leader_gauge;
	cb_counter_t *voter_gauge;
	/* Voters that the leader gets no messages from; 0 on the others. */
	cb_counter_t *silent_voter_gauge;
	cb_counter_t *session_gauge;
	cb_counter_t *unconfigured_gauge;
	cb_counter_t *push_counter;
	cb_counter_t *push_bytes_counter;
};

gboolean cb_node_is_leader(const cb_node_t *node);
gboolean cb_node_is_cut_off(const cb_node_t *node);
cb_link_options_t cb_node_link_options(const cb_node_t *node,
				       const cb_hello_t *hello);
void cb_node_count_close(cb_node_t *node, cb_close_reason_t reason);

/* Incoming links: node_inbound.c. */
void cb_inbound_accept(cb_connection_t *connection, void *user_data);
void cb_inbound_delete(void *inbound);
cb_inbound_t *cb_inbound_find(cb_node_t *node, uint64_t id);
void cb_inbound_reply(cb_node_t *node, uint64_t id,
		      const cb_link_message_t *message);
void cb_inbound_relieve(cb_node_t *node);
void cb_inbound_goodbye_all(cb_node_t *node, gboolean sessions_only,
			    cb_close_reason_t reason);

/* Requests to the replica or the leader: node_request.c. */
void cb_node_request_delete(void *request);
void cb_node_request_peer_closed(cb_node_t *node, const char *peer);
void cb_node_request_receive(cb_node_t *node, const cb_link_message_t *message);
void cb_node_request_fail_all(cb_node_t *node);
void cb_node_confirm_applied(cb_node_t *node);

/* Requests from other processes and their answers: node_serve.c. */
cb_reply_t *cb_reply_new(cb_inbound_t *inbound, uint64_t id);
void cb_reply_submit_done(cb_submit_outcome_t outcome,
			  const cb_answer_t *answer, void *user_data);
void cb_node_request_serve(cb_inbound_t *inbound,
			   const cb_link_message_t *message);

/* Sessions of entry instances: node_session.c. */
gboolean cb_session_open(cb_inbound_t *inbound, const cb_hello_t *hello);
void cb_session_closed(cb_inbound_t *inbound);
gboolean cb_session_exists(cb_node_t *node, const char *name);
void cb_session_delete(cb_session_t *session);
void cb_session_receive(cb_inbound_t *inbound,
			const cb_link_message_t *message);
void cb_sessions_push_paced(cb_node_t *node);
void cb_sessions_confirm(cb_node_t *node);
void cb_sessions_close_unresponsive(cb_node_t *node);

/* Demand reports of entry instances: node_demand.c. */
void cb_node_demand_receive(cb_inbound_t *inbound,
			    const cb_link_message_t *report);
void cb_node_demand_serve(cb_inbound_t *inbound,
			  const cb_link_message_t *report);
void cb_node_grant_receive(cb_node_t *node, const cb_link_message_t *grant);

/* Backend servers: node_fleet.c. */
gboolean cb_node_has_all_peers(const cb_node_t *node);
/* A message to many links; each form of it is encoded once. */
typedef struct cb_broadcast {
	/* Returns the body in the form of a protocol version. */
	GBytes *(*encode_body)(const void *content, uint64_t protocol);
	const void *content;
	cb_link_message_kind_t kind;
	/* Encoded messages by version; NULL: not needed so far. */
	GBytes *encoded[CB_PROTOCOL_VERSION - CB_PROTOCOL_VERSION_MIN + 1];
} cb_broadcast_t;

void cb_broadcast_to_peers(cb_node_t *node, cb_broadcast_t *broadcast);
void cb_broadcast_to_sessions(cb_node_t *node, cb_broadcast_t *broadcast);
void cb_broadcast_clear(cb_broadcast_t *broadcast);
void cb_node_peers_broadcast(cb_node_t *node, const cb_link_message_t *message);
void cb_node_sessions_broadcast(cb_node_t *node,
				const cb_link_message_t *message);
void cb_node_fleet_init(cb_node_t *node, int64_t server_silence_ms);
void cb_node_fleet_merge(cb_node_t *node, GBytes *record);
GBytes *cb_node_fleet_encode(cb_node_t *node);
void cb_node_fleet_receive(cb_node_t *node, const cb_link_message_t *message);

/* Services of the document in force: node_services.c. */
void cb_node_services_init(cb_node_t *node, const cb_document_codec_t *codec);
void cb_node_services_review(cb_node_t *node);

/* Requests that entry instances have in flight: node_usage.c. */
void cb_node_usage_init(cb_node_t *node, int64_t retry_window_ms);
void cb_node_usage_receive_peer(cb_node_t *node, const char *control,
				const cb_link_message_t *message);
void cb_node_usage_receive_session(cb_inbound_t *inbound,
				   const cb_link_message_t *message);

/* Joining and membership of the group: node_join.c. */
void cb_node_join_tick(cb_node_t *node);
void cb_node_membership_tick(cb_node_t *node);
void cb_node_control_addresses_send(cb_inbound_t *inbound);
void cb_node_join_serve(cb_inbound_t *inbound,
			const cb_link_message_t *message);

/* State and session reports of entry instances: node_instance.c. */
void cb_node_instances_tick(cb_node_t *node);
void cb_node_instances_announce(cb_node_t *node);
void cb_node_sessions_report(cb_node_t *node, gboolean all);
void cb_node_sessions_receive_report(cb_node_t *node, const char *control,
				     const cb_link_message_t *message);

#endif
