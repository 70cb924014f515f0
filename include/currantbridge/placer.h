#ifndef CURRANTBRIDGE_PLACER_H
#define CURRANTBRIDGE_PLACER_H

#include "currantbridge/document.h"
#include "currantbridge/engine_orders.h"
#include "currantbridge/kernel.h"
#include "currantbridge/node.h"

/*
 * Has the engines hold the layers that the placement asks for.  Only the
 * leader of the control instances orders, under fencing numbers that the
 * replicated log gives it.  A service of the kernel, named "placer".
 */
typedef struct cb_placer cb_placer_t;

cb_placer_t *cb_placer_new(cb_kernel_t *kernel, cb_node_t *node,
			   const cb_document_codec_t *codec,
			   cb_engine_orders_t *orders);

#endif
