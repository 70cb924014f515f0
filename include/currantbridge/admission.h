#ifndef CURRANTBRIDGE_ADMISSION_H
#define CURRANTBRIDGE_ADMISSION_H

#include "currantbridge/allocation.h"
#include "currantbridge/clock.h"
#include "currantbridge/contract.h"
#include "currantbridge/counters.h"
#include "currantbridge/refusal.h"

/*
 * Decides when a request may run, by the contract of its workspace alone.
 * Tokens are charged as they are generated, so that reserved tokens that are
 * never used cost a workspace nothing.  A request that cannot run at once
 * waits in its workspace's queue.  Requests within a guarantee begin first,
 * the others by weighted max-min fairness.  A request that is not expected to
 * begin in time is refused at once.
 */
typedef struct cb_admission cb_admission_t;
/* One request that runs, waits or was refused. */
typedef struct cb_ticket cb_ticket_t;

typedef enum cb_ticket_state {
	CB_TICKET_RUNNING,
	CB_TICKET_WAITING,
	CB_TICKET_REFUSED,
	CB_TICKET_STATE_COUNT
} cb_ticket_state_t;

extern const char *const cb_ticket_state_string[CB_TICKET_STATE_COUNT];

/* Called once, when a waiting request has begun or is refused. */
typedef void (*cb_ticket_changed_fn_t)(cb_ticket_t *ticket, void *user_data);

/*
 * Returns how many more requests for `target`, a model or a service, the
 * backend servers can accept now.
 */
typedef int64_t (*cb_free_slots_fn_t)(const char *target, void *user_data);

typedef struct cb_admission_parts {
	cb_clock_t *clock;
	cb_counters_t *counters;
	/* This instance's share of each contract's limits. */
	cb_share_table_t *shares;
	cb_free_slots_fn_t free_slots;
	/* Called when a request waits because of this instance's share. */
	void (*demand_increased)(void *user_data);
	void *user_data;
} cb_admission_parts_t;

typedef struct cb_admission_request {
	const cb_contract_t *contract;
	const char *target; /* the model or service */
	/*
	 * Most tokens that the request may use; 0 for a call of a service that
	 * is not a model.
	 */
	uint64_t max_tokens;
} cb_admission_request_t;

cb_admission_t *cb_admission_new(const cb_admission_parts_t *parts);
void cb_admission_delete(cb_admission_t *admission);

/*
 * Submits a request and returns its ticket.  `changed` is called only if the
 * ticket's state is WAITING.  The caller owns the ticket and deletes it when
 * the request has ended or its client has disconnected.
 */
cb_ticket_t *cb_admission_submit(cb_admission_t *admission,
				 const cb_admission_request_t *request,
				 cb_ticket_changed_fn_t changed,
				 void *user_data);
/* Begins waiting requests; call it when free slots or limits have changed. */
void cb_admission_dispatch(cb_admission_t *admission);
/* Returns what a workspace would use without limits, to report as demand. */
cb_amount_t cb_admission_total_demand(cb_admission_t *admission,
				      const char *workspace);
/* Names of workspaces with requests; the caller frees only the array. */
GPtrArray *cb_admission_active_workspaces(cb_admission_t *admission);

cb_ticket_state_t cb_ticket_state(const cb_ticket_t *ticket);
/* Why a ticket was refused, and after how many seconds to retry. */
cb_refusal_t cb_ticket_refusal(const cb_ticket_t *ticket);
int64_t cb_ticket_retry_after_s(const cb_ticket_t *ticket);
/* Charges generated tokens to the ticket's workspace. */
void cb_ticket_charge(cb_ticket_t *ticket, int64_t tokens);
void cb_ticket_delete(cb_ticket_t *ticket);

#endif
