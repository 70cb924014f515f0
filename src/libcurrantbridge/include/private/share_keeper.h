#ifndef PRIVATE_SHARE_KEEPER_H
#define PRIVATE_SHARE_KEEPER_H

#include "currantbridge/admission.h"
#include "currantbridge/control_client.h"

/*
 * Keeps this entry instance's share of the contracts' limits: floors from
 * the view, leases from control by the demand that admission sees.
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
/* Brings a workspace's floor up to the present view, before it is used. */
void cb_share_keeper_refresh(cb_share_keeper_t *keeper,
			     const cb_contract_t *contract);
/* Reports the demand shortly, rather than when the next report is due. */
void cb_share_keeper_report_soon(cb_share_keeper_t *keeper);

#endif
