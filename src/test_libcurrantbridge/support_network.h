#ifndef SUPPORT_NETWORK_H
#define SUPPORT_NETWORK_H

#include "currantbridge/network.h"

/*
 * A network in memory on a paused clock, for many processes in one.  A
 * blocked direction loses what is sent and tells nobody: connections stay
 * open and fall silent.
 */
typedef struct support_hub support_hub_t;

support_hub_t *support_hub_new(cb_clock_t *clock);
void support_hub_delete(support_hub_t *hub);
/* The network of one process; it belongs to the hub. */
cb_network_t *support_hub_network(support_hub_t *hub, const char *process);
/* Blocks or opens one direction; NULL stands for every process. */
void support_hub_block(support_hub_t *hub, const char *from, const char *to,
		       gboolean is_blocked);
uint64_t support_hub_bytes(const support_hub_t *hub);

#endif
