#ifndef CURRANTBRIDGE_PLACER_H
#define CURRANTBRIDGE_PLACER_H

#include "currantbridge/document.h"
#include "currantbridge/engine_orders.h"
#include "currantbridge/kernel.h"
#include "currantbridge/node.h"

/*
 * Orders the engines to hold the layers that the placement plans for them.
 * Only the leader of the control instances gives orders, with its term in the
 * replicated log as the fencing number.  The placer is a service of the kernel,
 * named "placer".
 */
typedef struct cb_placer cb_placer_t;

cb_placer_t *cb_placer_new(cb_kernel_t *kernel, cb_node_t *node,
			   const cb_document_codec_t *codec,
			   cb_engine_orders_t *orders);

#endif
