#ifndef PRIVATE_FLOW_H
#define PRIVATE_FLOW_H

#include "currantbridge/allocation.h"
#include "currantbridge/refusal.h"

/*
 * The requests of one workspace at this instance: their number, their limits
 * and the token buckets from which they draw.
 */
typedef struct cb_flow {
	char *workspace;
	int64_t running; /* number of running requests */
	int64_t waiting; /* number of waiting requests */
	/* Moving averages of ended requests. */
	double mean_stream_tokens_per_s; /* tokens/s of one request */
	double mean_duration_ms;
	/* Token buckets; the two for tokens may become negative. */
	double request_allowance; /* requests that may begin now */
	/* tokens that may be used within the contract's ceiling */
	double token_allowance;
	/* tokens that may be used within the guarantee */
	double guaranteed_allowance;
	int64_t refilled_at_us;
	/* Limits of the contract, over all instances. */
	int64_t contract_guaranteed_tokens_per_s;
	/* most tokens/s; 0: no limit */
	int64_t contract_ceiling_tokens_per_s;
	/* most requests/s; 0: no limit */
	int64_t contract_ceiling_requests_per_s;
	int64_t contract_concurrent_requests;
	/* When the first of the waiting requests began to wait. */
	int64_t waiting_since_us;
	/* Limits in force at this instance. */
	cb_amount_t limits;
	double guaranteed_tokens_per_s;
	/* Tokens used divided by `weight`, for weighted max-min fairness. */
	double virtual_service;
	double weight; /* the guaranteed tokens per second, at least 1 */
} cb_flow_t;

cb_flow_t *cb_flow_new(const char *workspace, int64_t now_us);
void cb_flow_delete(cb_flow_t *flow);
void cb_flow_set_contract(cb_flow_t *flow, const cb_contract_t *contract);
void cb_flow_refresh(cb_flow_t *flow, cb_amount_t limits, int64_t now_us);
/* Returns NONE if one more request may begin now, else the limit reached. */
cb_refusal_t cb_flow_blocking_limit(const cb_flow_t *flow, gboolean has_tokens);
gboolean cb_flow_is_within_guarantee(const cb_flow_t *flow);
/* Whether the workspace recently used less than its guarantee. */
gboolean cb_flow_has_unused_guarantee(const cb_flow_t *flow);
void cb_flow_begin_request(cb_flow_t *flow);
void cb_flow_charge_tokens(cb_flow_t *flow, int64_t tokens);
void cb_flow_end_request(cb_flow_t *flow, uint64_t used_tokens,
			 int64_t duration_ms);
/* Counts one more waiting request. */
void cb_flow_add_waiting(cb_flow_t *flow, int64_t now_us);
/* Returns how long the last waiting request is expected to wait. */
int64_t cb_flow_expected_wait_ms(const cb_flow_t *flow);
cb_amount_t cb_flow_total_demand(const cb_flow_t *flow);

#endif
