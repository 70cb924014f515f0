#ifndef PRIVATE_OPERATOR_H
#define PRIVATE_OPERATOR_H

#include "currantbridge/http_server.h"
#include "currantbridge/node.h"
#include "currantbridge/operator.h"

struct cb_operator {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_node_t *node;
	GHashTable *tasks; /* a set of cb_operator_task_t */
	gboolean is_draining;
	gboolean is_drained;
};

/* One HTTP request that waits for the control quorum. */
typedef struct cb_operator_task {
	cb_operator_t *api;
	SoupServerMessage *message;
	cb_timer_t *timer; /* armed until it is answered */
	/* Writes the answer, once what it needs is there. */
	void (*read)(struct cb_operator_task *task);
	/* The leader's, during `read`; NULL if they could not be had. */
	const GPtrArray *sessions;
	char *name;    /* of the item or member, or NULL */
	char *address; /* of a member to add, or NULL */
	char *change_id;
	uint64_t revision;
	gboolean is_change;
	gboolean is_replayed;
	gboolean needs_sessions;
	gboolean may_be_unconfirmed;
	gboolean is_confirmed;
	gboolean is_answered;
} cb_operator_task_t;

typedef void (*cb_operator_read_fn_t)(cb_operator_task_t *task);

cb_operator_task_t *cb_operator_task_new(cb_operator_t *api,
					 SoupServerMessage *message);
void cb_operator_task_delete(cb_operator_task_t *task);
void cb_operator_reply(cb_operator_task_t *task, unsigned int status,
		       JsonBuilder *body);
void cb_operator_refuse(cb_operator_t *api, SoupServerMessage *message,
			unsigned int status, const char *reason,
			const char *text, cb_executed_t executed);
void cb_operator_task_answered(cb_operator_task_t *task);
void cb_operator_read(cb_operator_task_t *task, cb_operator_read_fn_t read);
void cb_operator_answer_with_sessions(cb_operator_task_t *task);

void cb_operator_contracts_read(cb_operator_task_t *task);
void cb_operator_contract_read(cb_operator_task_t *task);
void cb_operator_stops_read(cb_operator_task_t *task);
void cb_operator_members_read(cb_operator_task_t *task);
void cb_operator_status_read(cb_operator_task_t *task);
void cb_operator_in_force_read(cb_operator_task_t *task);

void cb_operator_put_in_force(JsonBuilder *builder,
			      const cb_operator_task_t *task);

/* Each changes something; `name` and `kind` are parts of the path. */
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
