#ifndef PRIVATE_LINK_MESSAGE_H
#define PRIVATE_LINK_MESSAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * The versions of the messages between the system's own processes that this
 * build speaks: the one that links between equal builds use, and the lowest.
 * Version 2 lacks fields of CB_LINK_MESSAGE_USAGE (cb_usage_encode()).
 */
#define CB_PROTOCOL_VERSION 3
#define CB_PROTOCOL_VERSION_MIN 2

typedef enum cb_link_message_kind {
	CB_LINK_MESSAGE_HELLO,
	CB_LINK_MESSAGE_HEARTBEAT,
	CB_LINK_MESSAGE_GOODBYE, /* code: cb_close_reason_t */
	/* Messages between control instances. */
	CB_LINK_MESSAGE_REPLICA, /* body: a message of the replicated log */
	/* id; requests a quorum's confirmation that the leader is current */
	CB_LINK_MESSAGE_CONFIRM,
	/* id, code: cb_submit_outcome_t, number: log index */
	CB_LINK_MESSAGE_CONFIRM_ANSWER,
	CB_LINK_MESSAGE_MEMBER_ADD,    /* id, name, address */
	CB_LINK_MESSAGE_MEMBER_REMOVE, /* id, name */
	/*
	 * name, address: the sender's; requests to add the sender as a member
	 */
	CB_LINK_MESSAGE_JOIN,
	/* body: for cb_session_reports_decode(); the sender's own sessions */
	CB_LINK_MESSAGE_SESSION_REPORT,
	/* id; requests the sessions of all entry instances */
	CB_LINK_MESSAGE_SESSIONS,
	/* id, code: cb_submit_outcome_t, body: as in SESSION_REPORT */
	CB_LINK_MESSAGE_SESSIONS_ANSWER,
	/*
	 * Messages from a control or entry instance to a control instance, and
	 * their answers.
	 */
	CB_LINK_MESSAGE_SUBMIT, /* id, body: a command */
	/* id, code: cb_submit_outcome_t, body: for cb_answer_decode() */
	CB_LINK_MESSAGE_SUBMIT_ANSWER,
	/* Messages between a control and an entry instance. */
	CB_LINK_MESSAGE_UPDATE,	   /* body: for cb_view_apply() */
	CB_LINK_MESSAGE_CONFIRMED, /* number: revision confirmed by a quorum */
	/* number: the entry's revision; code: 1 requests the complete state */
	CB_LINK_MESSAGE_IN_FORCE,
	CB_LINK_MESSAGE_LEAVING, /* the entry instance is stopping */
	/*
	 * The contract limits that an entry instance requests, and the leases
	 * granted.  In both, number is the entry's clock in ms when it sent
	 * the request.  When control instances forward them, name is that of
	 * the entry instance and id that of its link at the forwarder.
	 */
	CB_LINK_MESSAGE_DEMAND,
	CB_LINK_MESSAGE_GRANT,
	/* Sent to control and entry instances; body: for cb_fleet_merge(). */
	CB_LINK_MESSAGE_FLEET,
	/*
	 * Requests in flight: of one entry instance, of all entry instances
	 * of a control instance, or of all; body: for cb_usage_decode().
	 */
	CB_LINK_MESSAGE_USAGE,
	/*
	 * Sent to an entry instance: the addresses of the control instances;
	 * body: for cb_addresses_decode().
	 */
	CB_LINK_MESSAGE_CONTROL_ADDRESSES,
	CB_LINK_MESSAGE_KIND_COUNT
} cb_link_message_kind_t;

/* One message; fields that its kind does not use are 0 or NULL. */
typedef struct cb_link_message {
	cb_link_message_kind_t kind;
	uint64_t id; /* message ID, the same in a request and its answer */
	uint64_t code;
	uint64_t number;
	char *name;
	char *address;
	GBytes *body;
} cb_link_message_t;

typedef enum cb_role {
	CB_ROLE_CONTROL,
	CB_ROLE_ENTRY,
	CB_ROLE_COUNT
} cb_role_t;

/* The first message of each side on a new link. */
typedef struct cb_hello {
	/* The version that the sender offers, or that it accepts. */
	uint64_t protocol;
	cb_role_t role;
	char *name;
	char *address;	      /* may be NULL */
	char *data_centre;    /* may be NULL */
	uint64_t incarnation; /* higher after each start of the process */
	/* Revision of the replicated state in force at the sender. */
	uint64_t revision;
	gboolean is_leaving; /* the sender is stopping */
} cb_hello_t;

/* The session of an entry instance, as reported by a control instance. */
typedef struct cb_session_report {
	char *name; /* name of the entry instance */
	uint64_t incarnation;
	/* Revision of the replicated state in force at the entry instance. */
	uint64_t revision;
	/* Time since the last frame from the entry instance. */
	uint64_t last_received_ms_ago;
	/* Control instance of the session; NULL: the sender of the report. */
	char *control;
} cb_session_report_t;

GBytes *cb_link_message_encode(const cb_link_message_t *message);
cb_link_message_t *cb_link_message_decode(const uint8_t *data, size_t size);
void cb_link_message_delete(cb_link_message_t *message);

GBytes *cb_hello_encode(const cb_hello_t *hello);
gboolean cb_hello_decode(GBytes *bytes, cb_hello_t *hello);
void cb_hello_copy(cb_hello_t *to, const cb_hello_t *from);
void cb_hello_clear(cb_hello_t *hello);

/* Addresses of control instances, as a NULL-terminated array. */
GBytes *cb_addresses_encode(const char *const *addresses);
char **cb_addresses_decode(GBytes *bytes);

GBytes *cb_session_reports_encode(const GPtrArray *reports);
GPtrArray *cb_session_reports_decode(GBytes *bytes);
void cb_session_report_delete(void *report);

#endif
