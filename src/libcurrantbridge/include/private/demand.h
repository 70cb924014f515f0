#ifndef PRIVATE_DEMAND_H
#define PRIVATE_DEMAND_H

#include "currantbridge/allocation.h"

/* One workspace's entry in a demand report or in the answer to one. */
typedef struct cb_demand_line {
	char *workspace;
	/* In an answer, `requested` is the amount granted. */
	cb_demand_t demand;
} cb_demand_line_t;

GPtrArray *cb_demand_lines_new(void);
void cb_demand_line_add(GPtrArray *lines, const char *workspace,
			cb_demand_t demand);
GBytes *cb_demand_lines_encode(const GPtrArray *lines);
/* Returns NULL if the bytes are not exactly one demand report. */
GPtrArray *cb_demand_lines_decode(GBytes *bytes);

#endif
