#ifndef CURRANTBRIDGE_ADMISSION_H
#define CURRANTBRIDGE_ADMISSION_H

#include "currantbridge/allocation.h"
#include "currantbridge/clock.h"
#include "currantbridge/contract.h"
#include "currantbridge/counters.h"
#include "currantbridge/refusal.h"

/*
 * Decides when a request may run, from its workspace's contract alone.
 * Tokens are charged as they come, so what is reserved and never used costs
 * a workspace nothing.  What cannot run at once waits in its workspace's
 * queue: work within a guarantee goes first, the rest by weighted max-min
 * shares.  What could not be begun in time is refused at once.
 */
typedef struct cb_admission cb_admission_t;
/* One request that runs, waits, or was refused. */
typedef struct cb_ticket cb_ticket_t;

typedef enum cb_ticket_state {
	CB_TICKET_RUNNING,
	CB_TICKET_WAITING,
	CB_TICKET_REFUSED,
	CB_TICKET_STATE_COUNT
} cb_ticket_state_t;

extern const char *const cb_ticket_state_string[CB_TICKET_STATE_COUNT];

/* Told once when a ticket that was waiting has begun or is refused. */
typedef void (*cb_ticket_changed_fn_t)(cb_ticket_t *ticket, void *user_data);

/*
 * Returns how many more requests for `target`, a model or service, the
 * backend servers can take now.
 */
typedef int64_t (*cb_free_slots_fn_t)(const char *target, void *user_data);

typedef struct cb_admission_parts {
	cb_clock_t *clock;
	cb_counters_t *counters;
	/* What this instance may use of each contract. */
	cb_share_table_t *shares;
	cb_free_slots_fn_t free_slots;
	/* Told when a request waits for more than this instance's share. */
	void (*wants_more)(void *user_data);
	void *user_data;
} cb_admission_parts_t;

typedef struct cb_admission_request {
	const cb_contract_t *contract;
	const char *target; /* the model or service */
	/* Tokens reserved; 0 for a call of a plain service. */
	uint64_t max_tokens;
} cb_admission_request_t;

cb_admission_t *cb_admission_new(const cb_admission_parts_t *parts);
void cb_admission_delete(cb_admission_t *admission);

/*
 * Submits a request.  Look at the ticket's state: only a WAITING one will
 * call `changed`.  The ticket is the caller's, to be deleted when the
 * request has ended or its caller has gone.
 */
cb_ticket_t *cb_admission_submit(cb_admission_t *admission,
				 const cb_admission_request_t *request,
				 cb_ticket_changed_fn_t changed,
				 void *user_data);
/* Begins what may begin now; call it when backend servers have changed. */
void cb_admission_pump(cb_admission_t *admission);
/* What a workspace would use now if it might, for the demand report. */
cb_amount_t cb_admission_wanted(cb_admission_t *admission,
				const char *workspace);
/* Names of workspaces with work running or waiting; free the array. */
GPtrArray *cb_admission_active(cb_admission_t *admission);

cb_ticket_state_t cb_ticket_state(const cb_ticket_t *ticket);
/* Of a refused ticket: why, and when another try is worth it. */
cb_refusal_t cb_ticket_refusal(const cb_ticket_t *ticket);
int64_t cb_ticket_retry_after_s(const cb_ticket_t *ticket);
/* Charges tokens that have come. */
void cb_ticket_charge(cb_ticket_t *ticket, int64_t tokens);
void cb_ticket_delete(cb_ticket_t *ticket);

#endif
