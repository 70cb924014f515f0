#include "private/flow.h"

#define US_PER_S 1000000.0
#define MS_PER_S 1000.0
/* Capacity of the buckets for requests and tokens, in time at their rate. */
#define BURST_S 0.25
/* Capacity of the bucket for the guarantee, in time at its rate. */
#define GUARANTEE_BURST_S 1.0
/* Time within which control answers a report of higher demand. */
#define DEMAND_ANSWER_US 200000
/* Initial averages of a workspace, until its first requests have ended. */
#define INITIAL_STREAM_TOKENS_PER_S 30.0
#define INITIAL_DURATION_MS 1000.0
/* Weight of the newest observation in a moving average. */
#define AVERAGE_WEIGHT 0.2

/* Creates the flow of a workspace without requests. */
cb_flow_t *cb_flow_new(const char *workspace, int64_t now_us)
{
	cb_flow_t *flow = g_new0(cb_flow_t, 1);

	flow->workspace = g_strdup(workspace);
	flow->mean_stream_tokens_per_s = INITIAL_STREAM_TOKENS_PER_S;
	flow->mean_duration_ms = INITIAL_DURATION_MS;
	flow->weight = 1;
	flow->refilled_at_us = now_us;
	/*
	 * Buckets begin full: the first refill reduces them to their
	 * capacities.
	 */
	flow->request_allowance = G_MAXINT32;
	flow->token_allowance = G_MAXINT32;
	flow->guaranteed_allowance = G_MAXINT32;
	return flow;
}

/* Deletes a flow. */
void cb_flow_delete(cb_flow_t *flow)
{
	g_free(flow->workspace);
	g_free(flow);
}

/* Updates an exponential moving average. */
static void average_update_(double *average, double observed)
{
	*average += (observed - *average) * AVERAGE_WEIGHT;
}

/* Refills a bucket at a rate, up to `burst_s` of the rate and at least 1. */
static void bucket_refill_(double *allowance, double per_s, double elapsed_s,
			   double burst_s)
{
	*allowance += per_s * elapsed_s;
	*allowance = MIN(*allowance, MAX(per_s * burst_s, 1));
}

/* Copies the limits and the guarantee of the workspace's contract. */
void cb_flow_set_contract(cb_flow_t *flow, const cb_contract_t *contract)
{
	flow->contract_guaranteed_tokens_per_s =
		contract->guaranteed_tokens_per_s;
	flow->contract_ceiling_tokens_per_s = contract->ceiling_tokens_per_s;
	flow->contract_ceiling_requests_per_s =
		contract->ceiling_requests_per_s;
	flow->contract_concurrent_requests = contract->concurrent_requests;
	flow->weight = MAX((double)contract->guaranteed_tokens_per_s, 1);
}

/*
 * Sets the limits in force at this instance and refills the token buckets up to
 * `now_us`.  The guarantee is divided among instances in the same proportion as
 * the ceiling.
 */
void cb_flow_refresh(cb_flow_t *flow, cb_amount_t limits, int64_t now_us)
{
	double elapsed_s = (double)(now_us - flow->refilled_at_us) / US_PER_S;

	flow->limits = limits;
	flow->guaranteed_tokens_per_s =
		(double)flow->contract_guaranteed_tokens_per_s;
	if (flow->contract_ceiling_tokens_per_s > 0)
		flow->guaranteed_tokens_per_s *=
			(double)limits.tokens_per_s /
			(double)flow->contract_ceiling_tokens_per_s;
	bucket_refill_(&flow->request_allowance, (double)limits.requests_per_s,
		       elapsed_s, BURST_S);
	bucket_refill_(&flow->token_allowance, (double)limits.tokens_per_s,
		       elapsed_s, BURST_S);
	bucket_refill_(&flow->guaranteed_allowance,
		       flow->guaranteed_tokens_per_s, elapsed_s,
		       GUARANTEE_BURST_S);
	flow->refilled_at_us = now_us;
}

/*
 * Returns NONE if one more request may begin, else the limit reached.
 * `has_tokens` is FALSE for a call of a plain service, which uses no tokens.
 */
cb_refusal_t cb_flow_blocking_limit(const cb_flow_t *flow, gboolean has_tokens)
{
	double rate =
		(double)(flow->running + 1) * flow->mean_stream_tokens_per_s;

	if (flow->running >= flow->limits.concurrent)
		return CB_REFUSAL_CONCURRENCY_LIMIT;
	if (flow->contract_ceiling_requests_per_s &&
	    flow->request_allowance < 1)
		return CB_REFUSAL_RATE_LIMIT;
	if (!has_tokens || !flow->contract_ceiling_tokens_per_s)
		return CB_REFUSAL_NONE;
	if (flow->token_allowance <= 0)
		return CB_REFUSAL_RATE_LIMIT;
	/* One stream alone may exceed the rate: its tokens are charged. */
	if (flow->running && rate > (double)flow->limits.tokens_per_s)
		return CB_REFUSAL_RATE_LIMIT;
	return CB_REFUSAL_NONE;
}

/* Returns whether one more stream would stay within the guarantee. */
gboolean cb_flow_is_within_guarantee(const cb_flow_t *flow)
{
	double rate =
		(double)(flow->running + 1) * flow->mean_stream_tokens_per_s;

	return cb_flow_has_unused_guarantee(flow) &&
	       rate <= flow->guaranteed_tokens_per_s;
}

/* Returns whether the workspace recently used less than its guarantee. */
gboolean cb_flow_has_unused_guarantee(const cb_flow_t *flow)
{
	return flow->contract_guaranteed_tokens_per_s &&
	       flow->guaranteed_allowance > 0;
}

/* Counts a request that begins and draws it from the request bucket. */
void cb_flow_begin_request(cb_flow_t *flow)
{
	flow->running++;
	flow->request_allowance--;
}

/*
 * Counts used tokens against the ceiling, the guarantee and the max-min share.
 */
void cb_flow_charge_tokens(cb_flow_t *flow, int64_t tokens)
{
	flow->token_allowance -= (double)tokens;
	flow->guaranteed_allowance -= (double)tokens;
	flow->virtual_service += (double)tokens / flow->weight;
}

/* Ends a request that began, and updates the moving averages. */
void cb_flow_end_request(cb_flow_t *flow, uint64_t used_tokens,
			 int64_t duration_ms)
{
	flow->running--;
	average_update_(&flow->mean_duration_ms, (double)MAX(duration_ms, 1));
	if (used_tokens && duration_ms > 0)
		average_update_(&flow->mean_stream_tokens_per_s,
				(double)used_tokens * MS_PER_S /
					(double)duration_ms);
}

/* Counts one more waiting request; the first sets `waiting_since_us`. */
void cb_flow_add_waiting(cb_flow_t *flow, int64_t now_us)
{
	if (!flow->waiting)
		flow->waiting_since_us = now_us;
	flow->waiting++;
}

/*
 * Returns how long the last waiting request is expected to wait if as many
 * requests run in parallel as now.  Until control has had time to answer a
 * report of the demand, assumes the concurrency of the contract.
 */
int64_t cb_flow_expected_wait_ms(const cb_flow_t *flow)
{
	int64_t parallel = MAX(flow->running, 1);

	if (flow->refilled_at_us - flow->waiting_since_us < DEMAND_ANSWER_US)
		parallel =
			MAX(flow->running, flow->contract_concurrent_requests);
	return (int64_t)((double)flow->waiting * flow->mean_duration_ms /
			 (double)parallel);
}

/* Returns what the running, the waiting and one further request would use. */
cb_amount_t cb_flow_total_demand(const cb_flow_t *flow)
{
	int64_t requests = flow->running + flow->waiting;
	cb_amount_t demand = {
		.tokens_per_s = (int64_t)((double)requests *
					  flow->mean_stream_tokens_per_s) +
				1,
		.requests_per_s = (int64_t)((double)requests * MS_PER_S /
					    flow->mean_duration_ms) +
				  1,
		.concurrent = requests + 1,
	};

	return demand;
}
