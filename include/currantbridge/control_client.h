#ifndef CURRANTBRIDGE_CONTROL_CLIENT_H
#define CURRANTBRIDGE_CONTROL_CLIENT_H

#include "currantbridge/command.h"
#include "currantbridge/kernel.h"
#include "currantbridge/network.h"
#include "currantbridge/view.h"

/*
 * An entry instance's session with control: it keeps the view up to date,
 * announces this instance and submits commands such as claims.  It connects to
 * another control instance when the present one is silent or not current.  It
 * is registered with the kernel as the service "control".
 */
typedef struct cb_control_client cb_control_client_t;

typedef struct cb_control_client_options {
	const char *const *control_addresses; /* "IP:PORT", NULL-terminated */
	const char *name;		      /* name of this entry instance */
	/*
	 * "IP:PORT" at which callers and backend servers reach this instance.
	 */
	const char *address;
	const char *data_centre;
	uint64_t incarnation;
	/*
	 * Whether to reconnect under a higher incarnation if control has
	 * recorded one above ours for this name and address, because the clock
	 * was set back since the previous process started.  Only for a process
	 * that listens on the address, so that no other process can, and that
	 * owns nothing under its incarnation.
	 */
	gboolean renews_incarnation;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	/* Network to use, owned by the caller; NULL: TCP. */
	cb_network_t *network;
	GRand *random; /* random number generator, copied; NULL: a new one */
} cb_control_client_options_t;

typedef enum cb_control_outcome {
	CB_CONTROL_ANSWERED,
	/*
	 * The command was not accepted: there is no session or no leader, or
	 * control is busy.
	 */
	CB_CONTROL_UNAVAILABLE,
	/*
	 * The command may have been accepted; retry it with the same change ID.
	 */
	CB_CONTROL_UNKNOWN,
	CB_CONTROL_OUTCOME_COUNT
} cb_control_outcome_t;

extern const char *const cb_control_outcome_string[CB_CONTROL_OUTCOME_COUNT];

/* `answer` is NULL unless the outcome is CB_CONTROL_ANSWERED. */
typedef void (*cb_control_done_fn_t)(cb_control_outcome_t outcome,
				     const cb_answer_t *answer,
				     void *user_data);

cb_control_client_t *cb_control_client_new(
	cb_kernel_t *kernel, cb_view_t *view,
	const cb_control_client_options_t *options);

/*
 * Whether a quorum has confirmed the view since this process started; no
 * request may be admitted before that.
 */
gboolean cb_control_client_is_confirmed(const cb_control_client_t *client);
/*
 * Returns the milliseconds since a control instance was last known to be
 * current; -1: none was yet.
 */
int64_t cb_control_client_silence_ms(const cb_control_client_t *client);

/* Replaces the configured addresses of control instances. */
void cb_control_client_configure(cb_control_client_t *client,
				 const char *const *control_addresses);

/*
 * Submits a command (a claim, its end, a quarantine, this instance's state).
 * It is resent under its change ID, if need be to other control instances,
 * until it is answered or `timeout_ms` has passed.  Takes ownership of
 * `command`; `done` is called exactly once, after this returns, unless the
 * client is destroyed first.
 */
void cb_control_client_submit(cb_control_client_t *client,
			      cb_command_t *command, int64_t timeout_ms,
			      cb_control_done_fn_t done, void *user_data);
/*
 * Demand reports: an encoded report requests leases of contract limits for
 * this instance.  The grant function is called with the answer to the report
 * that was sent at `sent_ms` (clock milliseconds), unless the answer is lost.
 * Without a confirmed session the report is dropped.
 */
typedef void (*cb_control_grant_fn_t)(GBytes *grant, int64_t sent_ms,
				      void *user_data);
void cb_control_client_on_grant(cb_control_client_t *client,
				cb_control_grant_fn_t fn, void *user_data);
void cb_control_client_report_demand(cb_control_client_t *client,
				     GBytes *report);
/* `bytes` is the encoded body of a message and valid during the call. */
typedef void (*cb_control_bytes_fn_t)(GBytes *bytes, void *user_data);
/* `fn` is called with backend server records, for cb_fleet_merge(). */
void cb_control_client_on_fleet(cb_control_client_t *client,
				cb_control_bytes_fn_t fn, void *user_data);
/* `fn` is called with the entry instances' usage, for cb_usage_decode(). */
void cb_control_client_on_usage(cb_control_client_t *client,
				cb_control_bytes_fn_t fn, void *user_data);
/*
 * Returns the protocol version of the link to control, by which bodies of its
 * messages are encoded; 0 without one.
 */
uint64_t cb_control_client_protocol(const cb_control_client_t *client);
/* Sends this instance's encoded usage if there is a confirmed session. */
void cb_control_client_report_usage(cb_control_client_t *client, GBytes *usage);
/* Announces that this instance leaves: address answers stop naming it. */
void cb_control_client_leave(cb_control_client_t *client);

#endif
