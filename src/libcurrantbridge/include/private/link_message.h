#ifndef PRIVATE_LINK_MESSAGE_H
#define PRIVATE_LINK_MESSAGE_H

#include <glib.h>
#include <stdint.h>

/* The messages between the system's own processes. */
#define CB_PROTOCOL_VERSION 2

typedef enum cb_link_message_kind {
	CB_LINK_MESSAGE_HELLO,
	CB_LINK_MESSAGE_HEARTBEAT,
	CB_LINK_MESSAGE_GOODBYE, /* code: a cb_close_reason_t */
	/* Between control instances. */
	CB_LINK_MESSAGE_REPLICA, /* body: a message of the replicated log */
	CB_LINK_MESSAGE_CONFIRM,
	CB_LINK_MESSAGE_CONFIRM_ANSWER, /* id, code: cb_submit_outcome_t, number */
	CB_LINK_MESSAGE_MEMBER_ADD,	/* id, name, address */
	CB_LINK_MESSAGE_MEMBER_REMOVE, /* id, name */
	CB_LINK_MESSAGE_JOIN,	       /* name, address: a blank instance */
	CB_LINK_MESSAGE_SESSION_REPORT, /* body; code: 1 when it names them all */
	CB_LINK_MESSAGE_SESSIONS,
	CB_LINK_MESSAGE_SESSIONS_ANSWER, /* id, code, body */
	/* From either to a control instance, and back. */
	CB_LINK_MESSAGE_SUBMIT,	       /* id, body: a command */
	CB_LINK_MESSAGE_SUBMIT_ANSWER, /* id, code: cb_submit_outcome_t, body */
	/* Between a control and an entry instance. */
	CB_LINK_MESSAGE_UPDATE,	   /* body: for cb_view_apply() */
	CB_LINK_MESSAGE_CONFIRMED, /* number: a revision confirmed by a quorum */
	CB_LINK_MESSAGE_IN_FORCE, /* number: the revision held; code: 1 resends */
	CB_LINK_MESSAGE_LEAVING,
	/*
	 * The limits that an entry instance wants lent, and the answer; the
	 * number is the entry's time of sending in both.  Between control
	 * instances the name is the entry's, and the id the session's.
	 */
	CB_LINK_MESSAGE_DEMAND,
	CB_LINK_MESSAGE_GRANT,
	/* To control and entry instances; body: for cb_fleet_merge(). */
	CB_LINK_MESSAGE_FLEET,
	/* What entries have under way, and the sum; for cb_usage_decode(). */
	CB_LINK_MESSAGE_USAGE,
	/* To an entry: body: for cb_addresses_decode(). */
	CB_LINK_MESSAGE_CONTROLS,
	CB_LINK_MESSAGE_KIND_COUNT
} cb_link_message_kind_t;

/* One message; fields that its kind does not use are 0 or NULL. */
typedef struct cb_message {
	cb_link_message_kind_t kind;
	uint64_t id;
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

/* What each side says first on a new link. */
typedef struct cb_hello {
	uint64_t protocol;
	cb_role_t role;
	char *name;
	char *address;
	char *data_centre;
	uint64_t incarnation;
	uint64_t revision;
	gboolean is_leaving;
} cb_hello_t;

/* An entry instance's session as control instances report it. */
typedef struct cb_session_report {
	char *name;
	uint64_t incarnation;
	uint64_t revision;
	uint64_t heard_ms_ago;
	char *control; /* NULL: the one that reports */
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
