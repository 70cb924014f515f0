#ifndef SUPPORT_NETWORK_H
#define SUPPORT_NETWORK_H

#include "currantbridge/network.h"

/*
 * An in-memory network on a paused clock that connects many simulated processes
 * within one test program.  What is sent in a blocked direction is lost without
 * an error: connections stay open but deliver nothing.
 */
typedef struct support_hub support_hub_t;

support_hub_t *support_hub_new(cb_clock_t *clock);
void support_hub_delete(support_hub_t *hub);
/* Returns the network of one process; the hub owns it. */
cb_network_t *support_hub_network(support_hub_t *hub, const char *process);
/*
 * Blocks or unblocks the direction from one process to another; NULL stands for
 * every process.
 */
void support_hub_block(support_hub_t *hub, const char *from, const char *to,
		       gboolean is_blocked);
/* Returns the number of attempts to connect to an address so far. */
unsigned int support_hub_connects(const support_hub_t *hub,
				  const char *address);
/* Returns the number of bytes sent so far, including lost ones. */
uint64_t support_hub_bytes(const support_hub_t *hub);

#endif
