#include "private/flow.h"

#define US_PER_S 1000000.0
#define MS_PER_S 1000.0
/* A rate may be used so far ahead of an even flow. */
#define BURST_S 0.25
/* A guarantee that was not used lately is owed for so long. */
#define GUARANTEE_S 1.0
/* Within this time control answers a demand for more. */
#define LENDING_US 200000
/* Assumed of a workspace until its first requests have ended. */
#define FIRST_STREAM_TOKENS_PER_S 30.0
#define FIRST_DURATION_MS 1000.0
/* Weight of the newest observation in a smoothed value. */
#define SMOOTHING 0.2

/* Makes the flow of a workspace that has used nothing yet. */
cb_flow_t *cb_flow_new(const char *workspace, int64_t now_us)
{
	cb_flow_t *flow = g_new0(cb_flow_t, 1);

	flow->workspace = g_strdup(workspace);
	flow->stream_tokens_per_s = FIRST_STREAM_TOKENS_PER_S;
	flow->duration_ms = FIRST_DURATION_MS;
	flow->weight = 1;
	flow->filled_us = now_us;
	/* The first request finds its allowance full. */
	flow->request_level = G_MAXINT32;
	flow->token_level = G_MAXINT32;
	flow->guaranteed_level = G_MAXINT32;
	return flow;
}

/* Deletes a flow. */
void cb_flow_delete(cb_flow_t *flow)
{
	g_free(flow->workspace);
	g_free(flow);
}

static void smooth_(double *value, double observed)
{
	*value += (observed - *value) * SMOOTHING;
}

/* Lets a level rise by what a rate gives, at most to `burst_s` of it. */
static void fill_(double *level, double per_s, double elapsed_s, double burst_s)
{
	*level += per_s * elapsed_s;
	*level = MIN(*level, MAX(per_s * burst_s, 1));
}

/* Takes over what the contract promises. */
void cb_flow_set_contract(cb_flow_t *flow, const cb_contract_t *contract)
{
	flow->contract_guaranteed = contract->guaranteed_tokens_per_s;
	flow->contract_ceiling = contract->ceiling_tokens_per_s;
	flow->contract_requests = contract->ceiling_requests_per_s;
	flow->contract_concurrent = contract->concurrent_requests;
	flow->weight = MAX((double)contract->guaranteed_tokens_per_s, 1);
}

/*
 * Takes over the limits in force and fills the allowances up to now.  The
 * guarantee is shared among instances in the proportion of the ceiling.
 */
void cb_flow_refresh(cb_flow_t *flow, cb_amount_t limits, int64_t now_us)
{
	double elapsed_s = (double)(now_us - flow->filled_us) / US_PER_S;

	flow->limits = limits;
	flow->guaranteed_tokens_per_s = (double)flow->contract_guaranteed;
	if (flow->contract_ceiling > 0)
		flow->guaranteed_tokens_per_s *= (double)limits.tokens_per_s /
						 (double)flow->contract_ceiling;
	fill_(&flow->request_level, (double)limits.requests_per_s, elapsed_s,
	      BURST_S);
	fill_(&flow->token_level, (double)limits.tokens_per_s, elapsed_s,
	      BURST_S);
	fill_(&flow->guaranteed_level, flow->guaranteed_tokens_per_s, elapsed_s,
	      GUARANTEE_S);
	flow->filled_us = now_us;
}

/* Returns NONE if one more request may begin, else the limit against it. */
cb_refusal_t cb_flow_blocked(const cb_flow_t *flow, gboolean has_tokens)
{
	double rate = (double)(flow->running + 1) * flow->stream_tokens_per_s;

	if (flow->running >= flow->limits.concurrent)
		return CB_REFUSAL_CONCURRENCY_LIMIT;
	if (flow->contract_requests && flow->request_level < 1)
		return CB_REFUSAL_RATE_LIMIT;
	if (!has_tokens || !flow->contract_ceiling)
		return CB_REFUSAL_NONE;
	if (flow->token_level <= 0)
		return CB_REFUSAL_RATE_LIMIT;
	/* A single stream may always run: its tokens are charged anyway. */
	if (flow->running && rate > (double)flow->limits.tokens_per_s)
		return CB_REFUSAL_RATE_LIMIT;
	return CB_REFUSAL_NONE;
}

/* Tells whether one more stream would stay within the guarantee. */
gboolean cb_flow_is_within_guarantee(const cb_flow_t *flow)
{
	double rate = (double)(flow->running + 1) * flow->stream_tokens_per_s;

	return cb_flow_is_owed(flow) && rate <= flow->guaranteed_tokens_per_s;
}

/* Tells whether less than the guarantee was used lately. */
gboolean cb_flow_is_owed(const cb_flow_t *flow)
{
	return flow->contract_guaranteed && flow->guaranteed_level > 0;
}

/* Counts a request that begins. */
void cb_flow_begin(cb_flow_t *flow)
{
	flow->running++;
	flow->request_level--;
}

/* Charges tokens against ceiling, guarantee and share. */
void cb_flow_charge(cb_flow_t *flow, int64_t tokens)
{
	flow->token_level -= (double)tokens;
	flow->guaranteed_level -= (double)tokens;
	flow->virtual_service += (double)tokens / flow->weight;
}

/* Ends a request that began, and learns from it. */
void cb_flow_end(cb_flow_t *flow, uint64_t used, int64_t duration_ms)
{
	flow->running--;
	smooth_(&flow->duration_ms, (double)MAX(duration_ms, 1));
	if (used && duration_ms > 0)
		smooth_(&flow->stream_tokens_per_s,
			(double)used * MS_PER_S / (double)duration_ms);
}

/* Counts a request that waits, and since when any does. */
void cb_flow_wait(cb_flow_t *flow, int64_t now_us)
{
	if (!flow->waiting)
		flow->waiting_since_us = now_us;
	flow->waiting++;
}

/*
 * What runs now tells how fast the queue moves, but for the time that
 * control may take to lend more.
 */
int64_t cb_flow_wait_ms(const cb_flow_t *flow)
{
	int64_t side_by_side = MAX(flow->running, 1);

	if (flow->filled_us - flow->waiting_since_us < LENDING_US)
		side_by_side = MAX(flow->running, flow->contract_concurrent);
	return (int64_t)((double)flow->waiting * flow->duration_ms /
			 (double)side_by_side);
}

/* Returns what the running and waiting requests would use, and one more. */
cb_amount_t cb_flow_wanted(const cb_flow_t *flow)
{
	int64_t requests = flow->running + flow->waiting;
	cb_amount_t wanted = {
		.tokens_per_s = (int64_t)((double)requests *
					  flow->stream_tokens_per_s) +
				1,
		.requests_per_s = (int64_t)((double)requests * MS_PER_S /
					    flow->duration_ms) +
				  1,
		.concurrent = requests + 1,
	};

	return wanted;
}
