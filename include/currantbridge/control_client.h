#ifndef CURRANTBRIDGE_CONTROL_CLIENT_H
#define CURRANTBRIDGE_CONTROL_CLIENT_H

#include "currantbridge/command.h"
#include "currantbridge/kernel.h"
#include "currantbridge/network.h"
#include "currantbridge/view.h"

/*
 * An entry instance's session with control: keeps the view up to date,
 * announces this instance, and carries claims.  It moves to another control
 * instance when the present one is silent or not current.  A service of the
 * kernel, named "control".
 */
typedef struct cb_control_client cb_control_client_t;

typedef struct cb_control_client_options {
	const char *const *control_addresses;
	const char *name;
	const char *address;
	const char *data_centre;
	uint64_t incarnation;
	/*
	 * Takes a later incarnation when control knows this name at this address
	 * under one: the clock has gone back since the process before this one.
	 * Only for a process that listens at the address, so that no other can,
	 * and that owns nothing under its incarnation.
	 */
	gboolean renews_incarnation;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	/* Not taken; NULL: TCP, and a generator of its own. */
	cb_network_t *network;
	GRand *random;
} cb_control_client_options_t;

typedef enum cb_control_outcome {
	CB_CONTROL_ANSWERED,
	/* Surely not accepted: no session, or control has no leader. */
	CB_CONTROL_UNAVAILABLE,
	/* May have been accepted; repeat it under the same change ID. */
	CB_CONTROL_UNKNOWN,
	CB_CONTROL_OUTCOME_COUNT
} cb_control_outcome_t;

extern const char *const cb_control_outcome_string[CB_CONTROL_OUTCOME_COUNT];

typedef void (*cb_control_done_fn_t)(cb_control_outcome_t outcome,
				     const cb_answer_t *answer,
				     void *user_data);

cb_control_client_t *cb_control_client_new(
	cb_kernel_t *kernel, cb_view_t *view,
	const cb_control_client_options_t *options);

/*
 * Whether the view was once confirmed by a quorum since this process began:
 * before that, nothing may be admitted.
 */
gboolean cb_control_client_is_confirmed(const cb_control_client_t *client);
/* Milliseconds since control was last known to be current; -1: never. */
int64_t cb_control_client_silence_ms(const cb_control_client_t *client);

/* Takes other addresses of control instances than those of the start. */
void cb_control_client_configure(cb_control_client_t *client,
				 const char *const *control_addresses);

/*
 * Submits a command (a claim, its end, a quarantine, this instance's
 * state), resending it under its change ID to other control instances until
 * answered or `timeout_ms` has passed.  Takes `command`; `done` is called
 * exactly once, never before this returns.
 */
void cb_control_client_submit(cb_control_client_t *client,
			      cb_command_t *command, int64_t timeout_ms,
			      cb_control_done_fn_t done, void *user_data);
/*
 * Reports the limits that this instance wants lent, encoded; the answer to a
 * report sent at `sent_ms` (clock milliseconds) comes to the grant function
 * unless it is lost.  Without a session the report is dropped.
 */
typedef void (*cb_control_grant_fn_t)(GBytes *grant, int64_t sent_ms,
				      void *user_data);
void cb_control_client_on_grant(cb_control_client_t *client,
				cb_control_grant_fn_t fn, void *user_data);
void cb_control_client_report_demand(cb_control_client_t *client,
				     GBytes *report);
/* Backend servers, as cb_fleet_merge() takes them. */
typedef void (*cb_control_fleet_fn_t)(GBytes *fleet, void *user_data);
void cb_control_client_on_fleet(cb_control_client_t *client,
				cb_control_fleet_fn_t fn, void *user_data);
/* What entry instances have under way, as cb_usage_decode() takes it. */
void cb_control_client_on_usage(cb_control_client_t *client,
				cb_control_fleet_fn_t fn, void *user_data);
void cb_control_client_tell_usage(cb_control_client_t *client, GBytes *usage);
/* Tells control that this instance leaves: no address answer names it. */
void cb_control_client_leave(cb_control_client_t *client);

#endif
