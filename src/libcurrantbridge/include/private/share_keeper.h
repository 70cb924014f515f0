#ifndef PRIVATE_SHARE_KEEPER_H
#define PRIVATE_SHARE_KEEPER_H

#include "currantbridge/admission.h"
#include "currantbridge/control_client.h"

/*
 * Maintains this entry instance's share of each contract's limits: a floor
 * computed from the view, plus leases that control grants by the demand that
 * admission reports.
 */
typedef struct cb_share_keeper cb_share_keeper_t;

cb_share_keeper_t *cb_share_keeper_new(cb_kernel_t *kernel,
				       cb_control_client_t *control,
				       const cb_view_t *view,
				       const char *instance,
				       uint32_t address_count);
void cb_share_keeper_delete(cb_share_keeper_t *keeper);
cb_share_table_t *cb_share_keeper_table(cb_share_keeper_t *keeper);
void cb_share_keeper_set_admission(cb_share_keeper_t *keeper,
				   cb_admission_t *admission);
/* Updates a workspace's floor from the current view; call it before use. */
void cb_share_keeper_update_floor(cb_share_keeper_t *keeper,
				  const cb_contract_t *contract);
/*
 * Keeps the floors of an instance that leaves, and serves on: leases may be had
 * too late for its requests, or not at all.
 */
void cb_share_keeper_set_leaving(cb_share_keeper_t *keeper);
/* Reports the demand within milliseconds instead of at the next interval. */
void cb_share_keeper_report_soon(cb_share_keeper_t *keeper);

#endif
