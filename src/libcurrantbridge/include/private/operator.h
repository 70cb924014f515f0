#ifndef PRIVATE_OPERATOR_H
#define PRIVATE_OPERATOR_H

#include "currantbridge/http_server.h"
#include "currantbridge/node.h"
#include "currantbridge/operator.h"

struct cb_operator {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_node_t *node;
	GHashTable *tasks; /* set of cb_operator_task_t, owned */
	gboolean is_draining;
	/* Whether the process's `kernel` was told that this service drained. */
	gboolean is_drained;
};

/* One HTTP request that waits for the quorum of control instances. */
typedef struct cb_operator_task {
	cb_operator_t *api;
	SoupServerMessage *message;
	cb_timer_t *timer; /* runs until the request is answered */
	/*
	 * Sets the task's answer; called when the data for the answer is
	 * available.
	 */
	void (*reply)(struct cb_operator_task *task);
	/*
	 * Sessions of the leader, cb_session_status_t, valid during `reply`;
	 * NULL if they could not be fetched.
	 */
	const GPtrArray *sessions;
	char *name;    /* name of the changed item or member, or NULL */
	char *address; /* address of a member to add, or NULL */
	/* ID of the change; NULL if there is none or it changes members. */
	char *change_id;
	/* Revision for which the instances that have it in force are listed. */
	uint64_t revision;
	gboolean is_change;
	/* Whether the change was accepted when it was sent before. */
	gboolean is_replayed;
	gboolean needs_sessions;
	/* Whether the task is also answered without a majority. */
	gboolean may_be_unconfirmed;
	/* Whether a majority confirmed the state as current. */
	gboolean is_confirmed;
	/* Whether the answer was sent, perhaps after a timeout. */
	gboolean is_answered;
} cb_operator_task_t;

typedef void (*cb_operator_reply_fn_t)(cb_operator_task_t *task);

cb_operator_task_t *cb_operator_task_new(cb_operator_t *api,
					 SoupServerMessage *message);
void cb_operator_task_delete(cb_operator_task_t *task);
void cb_operator_reply_json(cb_operator_task_t *task, unsigned int status,
			    JsonBuilder *body);
void cb_operator_refuse(cb_operator_t *api, SoupServerMessage *message,
			unsigned int status, const char *reason,
			const char *text, cb_executed_t executed);
void cb_operator_task_send_reply(cb_operator_task_t *task);
void cb_operator_confirm_and_reply(cb_operator_task_t *task,
				   cb_operator_reply_fn_t reply);
void cb_operator_fetch_sessions_and_reply(cb_operator_task_t *task);

void cb_operator_contracts_reply(cb_operator_task_t *task);
void cb_operator_contract_reply(cb_operator_task_t *task);
void cb_operator_stops_reply(cb_operator_task_t *task);
void cb_operator_members_reply(cb_operator_task_t *task);
void cb_operator_status_reply(cb_operator_task_t *task);
void cb_operator_in_force_reply(cb_operator_task_t *task);

void cb_operator_put_in_force(JsonBuilder *builder,
			      const cb_operator_task_t *task);

/* Handlers of changes; `name` and `kind` are segments of the path. */
void cb_operator_contract_put(cb_operator_t *api, SoupServerMessage *message,
			      const char *name);
void cb_operator_contract_remove(cb_operator_t *api, SoupServerMessage *message,
				 const char *name);
void cb_operator_stop_announce(cb_operator_t *api, SoupServerMessage *message);
void cb_operator_stop_cancel(cb_operator_t *api, SoupServerMessage *message,
			     const char *kind, const char *name);
void cb_operator_member_add(cb_operator_t *api, SoupServerMessage *message);
void cb_operator_member_remove(cb_operator_t *api, SoupServerMessage *message,
			       const char *name);

#endif
