#ifndef PRIVATE_CONTROL_CLIENT_H
#define PRIVATE_CONTROL_CLIENT_H

#include "currantbridge/control_client.h"
#include "private/link.h"

/* A command that waits for its answer. */
typedef struct cb_client_submit {
	cb_control_client_t *client;
	uint64_t id;
	GBytes *command;
	gboolean is_sent;	  /* on the present session, not answered */
	gboolean may_be_accepted; /* a sending's fate is not known */
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
	char **configured; /* addresses of the settings */
	char **told;	   /* and those that control told */
	char **addresses;  /* both */
	size_t address_count;
	size_t address_index;
	size_t failures_in_a_row;
	cb_hello_t hello;
	gboolean renews_incarnation;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	GRand *random;
	cb_network_t *network;
	gboolean owns_network;
	cb_link_t *link;
	cb_timer_t *connect_timer;
	cb_timer_t *confirm_timer;
	cb_timer_t *drain_timer;
	cb_backoff_t backoff;
	/* Whether control has confirmed a revision, on this session. */
	gboolean is_session_confirmed;
	gboolean has_confirm_revision;
	gboolean is_confirmed;
	gboolean is_draining;
	uint64_t confirm_revision;
	int64_t current_ms; /* when control was last known to be current */
	uint64_t next_id;
	GHashTable *submits; /* by id */
	cb_control_fleet_fn_t usage_fn;
	void *usage_data;
	cb_control_fleet_fn_t fleet_fn;
	void *fleet_data;
	cb_control_grant_fn_t grant_fn;
	void *grant_data;
};

void cb_client_submit_delete(void *submit);
void cb_client_submits_send(cb_control_client_t *client);
void cb_client_submits_lost(cb_control_client_t *client);
void cb_client_submits_end(cb_control_client_t *client);
void cb_client_submit_answer(cb_control_client_t *client,
			     const cb_link_message_t *message);

#endif
