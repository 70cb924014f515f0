#ifndef PRIVATE_RETRY_BUDGET_H
#define PRIVATE_RETRY_BUDGET_H

#include "currantbridge/clock.h"

/*
 * Limits retries to a fraction of the successful requests plus a constant
 * rate, per workspace and overall, so that failures do not multiply the load.
 */
typedef struct cb_retry_budget cb_retry_budget_t;

cb_retry_budget_t *cb_retry_budget_new(cb_clock_t *clock);
void cb_retry_budget_delete(cb_retry_budget_t *budget);
gboolean cb_retry_budget_take(cb_retry_budget_t *budget, const char *workspace);
void cb_retry_budget_record_success(cb_retry_budget_t *budget,
				    const char *workspace);

#endif
