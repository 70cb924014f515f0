#ifndef PRIVATE_PROCESS_H
#define PRIVATE_PROCESS_H

#include "currantbridge/counters.h"

/*
 * Sets the gauges of what this process holds of its machine: open descriptors,
 * their limit, and resident memory.
 */
void cb_process_update_gauges(cb_counters_t *counters);
/* Counts the open descriptors one by one; `limit` is returned if none is free. */
int64_t cb_process_list_descriptors(int64_t limit);

#endif
