#ifndef CURRANTBRIDGE_OPERATOR_H
#define CURRANTBRIDGE_OPERATOR_H

#include "currantbridge/kernel.h"

/*
 * The operators' HTTP interface of a control instance: contracts, planned
 * stops, members and status.  A service of the kernel, named "operator"; it
 * needs "http" and "node", which are registered before it.
 */
typedef struct cb_operator cb_operator_t;

/* Of a change: names it across resends.  Required. */
#define CB_OPERATOR_CHANGE_ID_HEADER "X-Change-Id"
/* Of a change: the revision it builds on, 0 for none.  Absent: any. */
#define CB_OPERATOR_EXPECTED_HEADER "X-Expected-Revision"

cb_operator_t *cb_operator_new(cb_kernel_t *kernel);

#endif
