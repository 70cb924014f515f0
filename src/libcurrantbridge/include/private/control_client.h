#ifndef PRIVATE_CONTROL_CLIENT_H
#define PRIVATE_CONTROL_CLIENT_H

#include "currantbridge/control_client.h"
#include "private/control_addresses.h"
#include "private/link.h"

/* A submitted command without a final answer. */
typedef struct cb_client_submit {
	cb_control_client_t *client;
	uint64_t id;
	GBytes *command;  /* the encoded command */
	gboolean is_sent; /* sent on the present session, not yet answered */
	gboolean may_be_accepted; /* an earlier attempt's outcome is unknown */
	cb_timer_t *deadline_timer;
	cb_timer_t *retry_timer;
	cb_backoff_t backoff;
	cb_control_done_fn_t done;
	void *user_data;
} cb_client_submit_t;

struct cb_control_client {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_view_t *view;
	cb_control_addresses_t *addresses;
	/* Connections tried since the last confirmed session. */
	uint32_t attempt_count;
	/* Version that the next connection offers; 0: CB_PROTOCOL_VERSION. */
	uint64_t protocol;
	cb_hello_t hello; /* message sent at the start of each session */
	gboolean renews_incarnation;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	GRand *random;
	cb_network_t *network;
	gboolean owns_network;
	cb_link_t *link;
	cb_timer_t *connect_timer;
	cb_timer_t *confirm_timer; /* limits the wait for a confirmation */
	cb_timer_t *drain_timer;   /* leaves time to send the last messages */
	cb_backoff_t backoff;
	/* Whether a revision was confirmed on the present session. */
	gboolean is_session_confirmed;
	gboolean has_confirm_revision; /* confirm_revision is set */
	gboolean is_confirmed; /* the view has reached confirm_revision */
	gboolean is_draining;
	uint64_t confirm_revision; /* first revision that control confirmed */
	/* When a control instance was last current; -1: never. */
	int64_t last_current_ms;
	uint64_t next_id;
	GHashTable *submits; /* submission ID to cb_client_submit_t */
	cb_control_bytes_fn_t usage_fn;
	void *usage_data;
	cb_control_bytes_fn_t fleet_fn;
	void *fleet_data;
	cb_control_grant_fn_t grant_fn;
	void *grant_data;
};

void cb_client_submit_delete(void *submit);
void cb_client_submits_send(cb_control_client_t *client);
void cb_client_submits_mark_unsent(cb_control_client_t *client);
void cb_client_submits_finish(cb_control_client_t *client);
void cb_client_submit_handle_answer(cb_control_client_t *client,
				    const cb_link_message_t *message);

#endif
