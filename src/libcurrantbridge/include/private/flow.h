#ifndef PRIVATE_FLOW_H
#define PRIVATE_FLOW_H

#include "currantbridge/allocation.h"
#include "currantbridge/refusal.h"

/* What one workspace uses at this instance, and what it has earned. */
typedef struct cb_flow {
	char *workspace;
	int64_t running;
	int64_t waiting;
	/* Tokens a second of one stream, and how long a request lasts. */
	double stream_tokens_per_s;
	double duration_ms;
	/* Allowances that fill at a rate; tokens may go into debt. */
	double request_level;
	double token_level;
	double guaranteed_level;
	int64_t filled_us;
	/* The contract's, for all instances. */
	int64_t contract_guaranteed;
	int64_t contract_ceiling;  /* 0: no limit */
	int64_t contract_requests; /* 0: no limit */
	int64_t contract_concurrent;
	/* Since when something waits; control may yet lend what is missing. */
	int64_t waiting_since_us;
	/* In force at this instance. */
	cb_amount_t limits;
	double guaranteed_tokens_per_s;
	/* Service received over weight, for max-min shares. */
	double virtual_service;
	double weight;
} cb_flow_t;

cb_flow_t *cb_flow_new(const char *workspace, int64_t now_us);
void cb_flow_delete(cb_flow_t *flow);
void cb_flow_set_contract(cb_flow_t *flow, const cb_contract_t *contract);
void cb_flow_refresh(cb_flow_t *flow, cb_amount_t limits, int64_t now_us);
/* NONE if one more request may begin now, else what stands against it. */
cb_refusal_t cb_flow_blocked(const cb_flow_t *flow, gboolean has_tokens);
gboolean cb_flow_is_within_guarantee(const cb_flow_t *flow);
/* Whether less than the guarantee was used lately. */
gboolean cb_flow_is_owed(const cb_flow_t *flow);
void cb_flow_begin(cb_flow_t *flow);
void cb_flow_charge(cb_flow_t *flow, int64_t tokens);
void cb_flow_end(cb_flow_t *flow, uint64_t used, int64_t duration_ms);
/* Notes that one more request waits. */
void cb_flow_wait(cb_flow_t *flow, int64_t now_us);
/* How long the last of the waiting requests will wait, as things go. */
int64_t cb_flow_wait_ms(const cb_flow_t *flow);
cb_amount_t cb_flow_wanted(const cb_flow_t *flow);

#endif
