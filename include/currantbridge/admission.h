#ifndef CURRANTBRIDGE_ADMISSION_H
#define CURRANTBRIDGE_ADMISSION_H

#include "currantbridge/clock.h"
#include "currantbridge/contract.h"
#include "currantbridge/refusal.h"

/*
 * Decides from a workspace's contract alone whether a request may run now.
 * Tokens are charged as they come, so what is reserved and never used costs
 * a workspace nothing.
 */
typedef struct cb_admission cb_admission_t;
/* One admitted request. */
typedef struct cb_ticket cb_ticket_t;

cb_admission_t *cb_admission_new(cb_clock_t *clock);
void cb_admission_delete(cb_admission_t *admission);

/*
 * Returns NONE and a ticket, or why the request is refused and in how many
 * seconds it is worth another try.
 */
cb_refusal_t cb_admission_admit(cb_admission_t *admission,
				const cb_contract_t *contract,
				cb_ticket_t **ticket, int64_t *retry_after_s);
void cb_ticket_charge(cb_ticket_t *ticket, int64_t tokens);
void cb_ticket_delete(cb_ticket_t *ticket);

#endif
