#ifndef CURRANTBRIDGE_OPERATOR_H
#define CURRANTBRIDGE_OPERATOR_H

#include "currantbridge/kernel.h"

/*
 * The HTTP interface of a control instance for operators: contracts, planned
 * stops, members and status.  A kernel service named "operator"; it requires
 * "http" and "node", which have to be registered before it.
 */
typedef struct cb_operator cb_operator_t;

/* Required: the ID of a change, which stays the same when it is resent. */
#define CB_OPERATOR_CHANGE_ID_HEADER "X-Change-Id"
/*
 * The item's revision on which a change is based, 0 if the item must not exist
 * yet.  If the header is absent, any revision is accepted.
 */
#define CB_OPERATOR_EXPECTED_HEADER "X-Expected-Revision"

cb_operator_t *cb_operator_new(cb_kernel_t *kernel);

#endif
