#include "private/room.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/*
 * The part of the capacity that is used.  Engines run unevenly full, and what
 * other instances have begun since the last sum is not known.
 */
#define USED_TARGET 0.955
/* What is free of that is given out over this time: sums are 0.2 to 0.4 s old. */
#define HORIZON_MS 800.0
/* Streams slow down while more is in use than there is; it goes back in this time. */
#define EXCESS_HORIZON_MS 500.0
/* Sums of usage that are older do not tell what is in use. */
#define SUM_VALID_MS 1500
/*
 * Sums that are older do not tell what is asked for either.  Control is away for
 * a few seconds at a change of its leader.
 */
#define DEMAND_VALID_MS 10000
/*
 * What this instance is asked for is smoothed over three times: as long as sums
 * are old, over the time that they cover, and so long that some requests arrive
 * even where few do.
 */
#define RECENT_MS 400.0
#define SUMMED_MS 1000.0
#define USUAL_MS 3000.0
/*
 * Requests arrive at random: what is asked for here tells of a change as far as
 * it differs by more than so many standard deviations.
 */
#define RANDOM_DEVIATIONS 1.0
/* What an instance holds is smoothed over this time. */
#define HELD_MS 1000.0
/* What it holds tells half of what all hold if its share is so many requests. */
#define UNSURE_REQUESTS 4.0
#define PRESSURE_MIN 0.5
#define PRESSURE_MAX 4.0
/*
 * A rank asks in vain for more than this multiple of what all engines can begin in
 * the long run, for instance for requests that find no room.
 */
#define RANK_LIMIT 1.5
/* Ratios are computed anew after this time at most while requests arrive. */
#define DIVIDE_INTERVAL_MS 50
/* From this part of the capacity on, a service counts as scarce. */
#define SCARCE_RATIO 0.75
/*
 * While more than this part of the pauses is too long though no more is in use than
 * there should be, the engines bear less than their memory holds: the used part is
 * lowered by a factor a second, and raised again in steps.
 */
#define SLOW_RATIO_MAX 0.1
#define SLOW_FACTOR_PER_S 0.8
#define CORRECTION_STEP_PER_S 0.05
#define CORRECTION_MIN 0.3
/*
 * Without sums, requests that are less urgent than others use only this part of
 * the instance's own share.
 */
#define LESS_URGENT_SHARE 0.8
/*
 * Of requests that arrive at random, this many standard deviations more than the
 * mean are rarely in flight at one instance.
 */
#define SHARE_DEVIATIONS 3.0
/*
 * Callers come back after half to three halves of a time between these: longer
 * the fewer of them may begin.
 */
#define COMEBACK_MIN_MS 500.0
#define COMEBACK_MAX_MS 3000.0
/* Callers wait at most this part of their time, and come back sooner otherwise. */
#define COMEBACK_TIME_DIVISOR 3

const char *const cb_room_reason_string[CB_ROOM_REASON_COUNT] = {
	[CB_ROOM_ADMITTED] = "",
	[CB_ROOM_RANK] = "rank",
	[CB_ROOM_WORKSPACE] = "workspace",
	[CB_ROOM_OWN_SHARE] = "own_share",
};

/* One rank's, or one workspace's, part of what may begin. */
typedef struct flow {
	uint32_t rank;
	char *workspace;
	double offered_tokens_per_s;
	double ratio;
	/* Sum of the ratios of past requests, less 1 for each one admitted. */
	double credit;
	/* Whether the last update knew the flow. */
	gboolean is_known;
} flow_t;

/* What this instance is asked for, by exponentially smoothed rates. */
typedef struct own_demand {
	/* Tokens a second, over RECENT_MS, SUMMED_MS and USUAL_MS. */
	double recent;
	double summed;
	double usual;
	/* The latter two, as of what the last sum says. */
	double summed_then;
	double usual_then;
	double summed_next;    /* of what the next sum will say */
	double request_tokens; /* mean of a request */
	int64_t counted_ms;
} own_demand_t;

typedef struct service_room {
	cb_room_state_t state; /* without flows */
	own_demand_t own;
	double begun_tokens; /* begun here since the last update */
	double held_tokens;  /* what this instance has in flight, smoothed */
	int64_t known_ms;    /* first update */
	int64_t divided_ms;
	GHashTable *flows; /* "RANK WORKSPACE" to flow_t */
	double correction; /* factor by what streams show; 1 at most */
	int64_t updated_ms;
	/* The ratio of flows that no instance has reported, by rank. */
	GArray *rank_ratios; /* of rank_ratio_t, ascending */
	gboolean is_scarce;
} service_room_t;

typedef struct rank_ratio {
	uint32_t rank;
	unsigned int first;  /* its flows among all, in the order of ranks */
	unsigned int last;   /* exclusive */
	double offered;	     /* tokens a second that it asks for */
	double granted;	     /* of these, what may begin */
	double ratio;	     /* over the whole rank */
	double unseen_ratio; /* of a workspace that asked for nothing before */
} rank_ratio_t;

struct cb_room {
	cb_clock_t *clock;
	GRand *random;
	GHashTable *services; /* service name to service_room_t */
};

static void flow_delete_(void *data)
{
	flow_t *flow = data;

	g_free(flow->workspace);
	g_free(flow);
}

static void service_room_delete_(void *data)
{
	service_room_t *service = data;

	g_hash_table_unref(service->flows);
	g_array_unref(service->rank_ratios);
	g_free(service);
}

/* Creates a room that knows no service; `random` spreads admissions. */
cb_room_t *cb_room_new(cb_clock_t *clock, GRand *random)
{
	cb_room_t *room = g_new0(cb_room_t, 1);

	room->clock = clock;
	room->random = random;
	room->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       service_room_delete_);
	return room;
}

/* Frees a room; NULL is allowed. */
void cb_room_delete(cb_room_t *room)
{
	if (!room)
		return;
	g_hash_table_unref(room->services);
	g_free(room);
}

static service_room_t *service_get_(cb_room_t *room, const char *name)
{
	service_room_t *service = g_hash_table_lookup(room->services, name);

	if (service)
		return service;
	service = g_new0(service_room_t, 1);
	service->flows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       flow_delete_);
	service->rank_ratios = g_array_new(FALSE, FALSE, sizeof(rank_ratio_t));
	service->correction = 1;
	g_hash_table_insert(room->services, g_strdup(name), service);
	return service;
}

/* Returns the key of a flow; the caller frees it. */
static char *flow_key_(uint32_t rank, const char *workspace)
{
	return g_strdup_printf("%u %s", rank, workspace);
}

/* Returns a flow, or NULL. */
static flow_t *flow_find_(const service_room_t *service, uint32_t rank,
			  const char *workspace)
{
	char *key = flow_key_(rank, workspace);
	flow_t *flow = g_hash_table_lookup(service->flows, key);

	g_free(key);
	return flow;
}

/* Returns a flow, creating it if there is none. */
static flow_t *flow_get_(cb_room_t *room, service_room_t *service,
			 uint32_t rank, const char *workspace)
{
	flow_t *flow = flow_find_(service, rank, workspace);

	if (flow)
		return flow;
	flow = g_new0(flow_t, 1);
	flow->rank = rank;
	flow->workspace = g_strdup(workspace);
	flow->ratio = 1;
	/* Instances with few requests would all admit at the same moment. */
	flow->credit = g_rand_double(room->random);
	g_hash_table_insert(service->flows, flow_key_(rank, workspace), flow);
	return flow;
}

/* Replaces what was asked for; flows that are not reported any more are dropped. */
static void flows_update_(cb_room_t *room, service_room_t *service,
			  const cb_room_state_t *state)
{
	GHashTableIter iter;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, service->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((flow_t *)value)->is_known = FALSE;
	for (i = 0; i < state->flow_count; i++) {
		const cb_room_flow_t *reported = &state->flows[i];
		flow_t *flow = flow_get_(room, service, reported->rank,
					 reported->workspace);

		if (!flow->is_known)
			flow->offered_tokens_per_s = 0;
		flow->offered_tokens_per_s += reported->offered_tokens_per_s;
		flow->is_known = TRUE;
	}
	g_hash_table_iter_init(&iter, service->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((flow_t *)value)->is_known)
			g_hash_table_iter_remove(&iter);
}

/* Lets smoothed rates fade by the time that has passed. */
static void own_demand_fade_(own_demand_t *own, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - own->counted_ms);

	own->recent *= exp(-passed_ms / RECENT_MS);
	own->summed *= exp(-passed_ms / SUMMED_MS);
	own->usual *= exp(-passed_ms / USUAL_MS);
	own->counted_ms = now_ms;
}

/* Counts what a request asks for. */
static void own_demand_count_(own_demand_t *own, double tokens, int64_t now_ms)
{
	own_demand_fade_(own, now_ms);
	own->recent += tokens * MS_PER_S / RECENT_MS;
	own->summed += tokens * MS_PER_S / SUMMED_MS;
	own->usual += tokens * MS_PER_S / USUAL_MS;
	own->request_tokens += (own->request_tokens > 0 ? 0.1 : 1) *
			       (tokens - own->request_tokens);
}

/* Returns whether the sums are too old to tell what is in use. */
static gboolean sums_are_old_(const service_room_t *service, int64_t now_ms)
{
	return !service->state.sum_received_ms ||
	       now_ms - service->state.sum_received_ms > SUM_VALID_MS;
}

/*
 * Returns by which factor a rate differs from an expected one, both in tokens a
 * second, smoothed over a time: only as far as it isn't by chance.
 */
static double change_compute_(const own_demand_t *own, double now,
			      double expected, double smoothed_ms)
{
	double requests_per_rate = smoothed_ms / MS_PER_S / own->request_tokens;
	double expected_requests = expected * requests_per_rate;
	double excess = now * requests_per_rate - expected_requests;
	double random = RANDOM_DEVIATIONS * sqrt(expected_requests + 1);

	excess = excess > 0 ? MAX(excess - random, 0) : MIN(excess + random, 0);
	return 1 + excess / (expected_requests + 1);
}

/*
 * Returns by which factor more is asked for than the last sum says, as far as
 * this instance's own requests tell: sums are late, and may be missing.
 */
static double pressure_compute_(service_room_t *service, int64_t now_ms)
{
	own_demand_t *own = &service->own;
	double expected = own->summed_then;
	double recent;
	double usual;

	/* What is usual here is not known yet. */
	if (now_ms - service->known_ms < USUAL_MS || own->request_tokens <= 0)
		return 1;
	own_demand_fade_(own, now_ms);
	if (!sums_are_old_(service, now_ms))
		return CLAMP(change_compute_(own, own->recent, expected,
					     RECENT_MS),
			     PRESSURE_MIN, PRESSURE_MAX);
	/* Few requests tell only over a longer time, and many at once. */
	expected = MAX(expected, own->usual_then);
	recent = change_compute_(own, own->recent, expected, RECENT_MS);
	usual = change_compute_(own, own->usual, expected, USUAL_MS);
	return CLAMP(fabs(recent - 1) > fabs(usual - 1) ? recent : usual,
		     PRESSURE_MIN, PRESSURE_MAX);
}

/* Corrects the capacity by what streams under way show. */
static void correction_update_(service_room_t *service,
			       const cb_room_state_t *state)
{
	double passed_s = (double)(state->sum_received_ms -
				   service->state.sum_received_ms) /
			  MS_PER_S;

	if (!service->state.sum_received_ms)
		return;
	passed_s = MIN(passed_s, 1);
	if (state->slow_ratio <= SLOW_RATIO_MAX)
		service->correction += CORRECTION_STEP_PER_S * passed_s;
	else if (state->used_tokens <=
		 state->capacity_tokens * service->correction)
		service->correction *= pow(SLOW_FACTOR_PER_S, passed_s);
	service->correction = CLAMP(service->correction, CORRECTION_MIN, 1);
}

/*
 * Returns what all instances most likely hold while no sum tells: the room is
 * taken for full, as far as what this instance holds tells nothing else.  The
 * fewer requests it holds, the less it tells.
 */
static double unknown_use_guess_(const service_room_t *service,
				 double target_tokens)
{
	unsigned int instances = service->state.instances;
	double share_tokens = target_tokens / instances;
	double unsure_tokens = UNSURE_REQUESTS * service->own.request_tokens;
	double certainty = share_tokens / (share_tokens + unsure_tokens);

	return target_tokens +
	       (service->held_tokens * instances - target_tokens) * certainty;
}

/* Returns how many tokens a second may begin. */
static double budget_compute_(const service_room_t *service, int64_t now_ms)
{
	const cb_room_state_t *state = &service->state;
	double passed_ms = (double)(now_ms - service->updated_ms);
	double target_tokens =
		state->capacity_tokens * USED_TARGET * service->correction;
	double per_ms = state->residence_ms > 0 ? 1 / state->residence_ms : 0;
	double used_tokens = state->used_tokens + service->begun_tokens -
			     state->own_tokens * MIN(passed_ms * per_ms, 1);
	double excess_tokens;

	if (sums_are_old_(service, now_ms))
		used_tokens = unknown_use_guess_(service, target_tokens);
	excess_tokens =
		MAX(used_tokens - state->capacity_tokens * service->correction,
		    0);
	return MAX(MIN(used_tokens, target_tokens) * per_ms +
			   (target_tokens - used_tokens) / HORIZON_MS -
			   excess_tokens / EXCESS_HORIZON_MS,
		   0) *
	       MS_PER_S;
}

static int flows_compare_(const void *a, const void *b)
{
	const flow_t *left = *(flow_t *const *)a;
	const flow_t *right = *(flow_t *const *)b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	/* The sum over workspaces first, then the smallest. */
	if (!*left->workspace != !*right->workspace)
		return *left->workspace ? 1 : -1;
	return left->offered_tokens_per_s < right->offered_tokens_per_s ?
		       -1 :
		       left->offered_tokens_per_s > right->offered_tokens_per_s;
}

/* Returns the flows by rank, then by what they ask for; the caller frees them. */
static GPtrArray *flows_sort_(const service_room_t *service)
{
	GPtrArray *flows = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, service->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(flows, value);
	g_ptr_array_sort(flows, flows_compare_);
	return flows;
}

/*
 * Divides what one rank is granted among its flows, who ask for `pressure` times
 * what the sums say: what is known of the whole rank only gets its part, and the
 * workspaces share the rest max-min fairly.
 */
static void rank_divide_(const GPtrArray *flows, rank_ratio_t *rank,
			 double pressure)
{
	double left = rank->granted;
	double level = INFINITY;
	unsigned int i;

	rank->ratio = rank->offered > rank->granted ?
			      rank->granted / rank->offered :
			      1;
	for (i = rank->first; i < rank->last; i++) {
		flow_t *flow = flows->pdata[i];
		double asked = flow->offered_tokens_per_s * pressure;
		double granted = *flow->workspace ?
					 MIN(asked, left / (rank->last - i)) :
					 asked * rank->ratio;

		flow->ratio = asked > 0 ? granted / asked : rank->ratio;
		if (*flow->workspace && granted < asked)
			level = MIN(level, granted);
		left -= granted;
	}
	/* A workspace that begins to ask is within its share, if there is one. */
	rank->unseen_ratio = isinf(level) ? rank->ratio : level > 0;
}

/* Collects the ranks of the flows, which are in the order of ranks. */
static void ranks_collect_(GArray *ranks, const GPtrArray *flows,
			   double pressure)
{
	unsigned int i;

	g_array_set_size(ranks, 0);
	for (i = 0; i < flows->len; i++) {
		const flow_t *flow = flows->pdata[i];
		rank_ratio_t *last = ranks->len ?
					     &g_array_index(ranks, rank_ratio_t,
							    ranks->len - 1) :
					     NULL;

		if (!last || last->rank != flow->rank) {
			rank_ratio_t rank = { .rank = flow->rank, .first = i };

			g_array_append_val(ranks, rank);
			last = &g_array_index(ranks, rank_ratio_t,
					      ranks->len - 1);
		}
		last->last = i + 1;
		last->offered += flow->offered_tokens_per_s * pressure;
	}
}

/*
 * Grants what may begin to the ranks, the most urgent first, to each `limit` at
 * most in the first round: what a rank asks for in vain would be missing to the
 * others.
 */
static void ranks_grant_(GArray *ranks, double budget, double limit)
{
	unsigned int round;
	unsigned int i;

	for (round = 0; round < 2; round++)
		for (i = 0; i < ranks->len; i++) {
			rank_ratio_t *rank =
				&g_array_index(ranks, rank_ratio_t, i);
			double wanted = round ? rank->offered :
						MIN(rank->offered, limit);
			double added = CLAMP(wanted - rank->granted, 0, budget);

			rank->granted += added;
			budget -= added;
		}
}

/* Divides what may begin among ranks and their flows. */
static void budget_divide_(service_room_t *service, int64_t now_ms)
{
	const cb_room_state_t *state = &service->state;
	GPtrArray *flows = flows_sort_(service);
	double pressure = pressure_compute_(service, now_ms);
	double limit = state->residence_ms > 0 ?
			       RANK_LIMIT * state->capacity_tokens * MS_PER_S /
				       state->residence_ms :
			       INFINITY;
	unsigned int i;

	service->divided_ms = now_ms;
	service->is_scarce =
		state->used_tokens > state->capacity_tokens * SCARCE_RATIO;
	ranks_collect_(service->rank_ratios, flows, pressure);
	ranks_grant_(service->rank_ratios, budget_compute_(service, now_ms),
		     limit);
	for (i = 0; i < service->rank_ratios->len; i++) {
		rank_ratio_t *rank =
			&g_array_index(service->rank_ratios, rank_ratio_t, i);

		rank_divide_(flows, rank, pressure);
		service->is_scarce |= rank->ratio < 1;
	}
	g_ptr_array_unref(flows);
}

/* Sets what is known of a service's engines, their use and what is asked for. */
void cb_room_update(cb_room_t *room, const char *name,
		    const cb_room_state_t *state)
{
	service_room_t *service = service_get_(room, name);
	int64_t now_ms = cb_clock_now_ms(room->clock);

	if (!service->known_ms)
		service->known_ms = now_ms;
	if (state->sum_received_ms != service->state.sum_received_ms) {
		own_demand_fade_(&service->own, now_ms);
		/* What a sum says is as old as the last one but one. */
		service->own.summed_then = service->own.summed_next;
		service->own.summed_next = service->own.summed;
		service->own.usual_then = service->own.usual;
		correction_update_(service, state);
	}
	service->state = *state;
	service->state.flows = NULL;
	service->begun_tokens = 0;
	service->state.instances = MAX(state->instances, 1);
	flows_update_(room, service, state);
	service->held_tokens +=
		(1 - exp((double)(service->updated_ms - now_ms) / HELD_MS)) *
		(state->own_tokens - service->held_tokens);
	service->updated_ms = now_ms;
	budget_divide_(service, now_ms);
}

/* Returns the ratio of a flow that was not reported. */
static double unseen_ratio_find_(const service_room_t *service, uint32_t rank,
				 const char *workspace)
{
	double ratio = 1;
	unsigned int i;

	for (i = 0; i < service->rank_ratios->len; i++) {
		const rank_ratio_t *known =
			&g_array_index(service->rank_ratios, rank_ratio_t, i);

		if (known->rank > rank)
			break;
		if (known->rank == rank)
			return *workspace ? known->unseen_ratio : known->ratio;
		/* What more urgent ranks do not get, this one does not either. */
		ratio = known->ratio < 1 ? 0 : 1;
	}
	return ratio;
}

/*
 * Returns whether this instance's own share has room.  At random, some instances
 * get more requests than others: the most urgent may use what is rarely exceeded.
 */
static gboolean own_share_has_room_(const service_room_t *service,
				    const cb_room_request_t *request,
				    gboolean is_demand_known)
{
	const cb_room_state_t *state = &service->state;
	double own_tokens = state->own_tokens + service->begun_tokens;
	double share = state->capacity_tokens * USED_TARGET / state->instances;

	if (!request->rank)
		share += SHARE_DEVIATIONS * sqrt(share * request->tokens);
	else if (is_demand_known)
		share += sqrt(share * request->tokens);
	else
		share *= LESS_URGENT_SHARE;
	/* A share that is smaller than one request still bears one. */
	return own_tokens <= 0 || own_tokens + request->tokens <= share;
}

/* Returns when a refused caller may come back, spread over a time by `ratio`. */
static int64_t comeback_compute_ms_(cb_room_t *room, double ratio,
				    int64_t time_left_ms)
{
	double mean_ms = COMEBACK_MIN_MS +
			 (COMEBACK_MAX_MS - COMEBACK_MIN_MS) * (1 - ratio);
	double spread_ms = mean_ms * (0.5 + g_rand_double(room->random));

	return (int64_t)CLAMP((double)time_left_ms / COMEBACK_TIME_DIVISOR, 0,
			      spread_ms);
}

/*
 * Returns whether a request of a flow may begin, by its ratio.  One whose caller
 * has been refused before gets two chances.
 */
static gboolean flow_admit_(flow_t *flow, gboolean is_return)
{
	double ratio = flow->ratio;

	if (is_return)
		ratio = 1 - (1 - ratio) * (1 - ratio);
	flow->credit += ratio;
	if (flow->credit < 1)
		return FALSE;
	flow->credit -= 1;
	return TRUE;
}

/* Returns the flow that a request belongs to. */
static flow_t *request_flow_find_(cb_room_t *room, service_room_t *service,
				  const cb_room_request_t *request)
{
	flow_t *flow = flow_find_(service, request->rank, request->workspace);

	/* Workspaces are reported only while the room is scarce. */
	if (!flow && !service->is_scarce)
		flow = flow_find_(service, request->rank, "");
	if (!flow) {
		double ratio = unseen_ratio_find_(service, request->rank,
						  request->workspace);

		flow = flow_get_(room, service, request->rank,
				 request->workspace);
		flow->ratio = ratio;
	}
	return flow;
}

/* Decides by the ratio of the request's flow, or by this instance's own share. */
static void request_decide_(cb_room_t *room, service_room_t *service,
			    const cb_room_request_t *request,
			    cb_room_decision_t *decision)
{
	int64_t now_ms = cb_clock_now_ms(room->clock);
	gboolean is_demand_known = service->state.sum_received_ms &&
				   decision->age_ms <= DEMAND_VALID_MS;
	flow_t *flow;

	if (is_demand_known) {
		if (now_ms - service->divided_ms >= DIVIDE_INTERVAL_MS)
			budget_divide_(service, now_ms);
		flow = request_flow_find_(room, service, request);
		decision->admitted_ratio = flow->ratio;
		decision->is_admitted = flow_admit_(flow, request->is_return);
		if (!decision->is_admitted)
			decision->reason = *flow->workspace && flow->ratio > 0 ?
						   CB_ROOM_WORKSPACE :
						   CB_ROOM_RANK;
	}
	if (decision->is_admitted && sums_are_old_(service, now_ms) &&
	    !own_share_has_room_(service, request, is_demand_known)) {
		decision->is_admitted = FALSE;
		decision->reason = CB_ROOM_OWN_SHARE;
		decision->admitted_ratio = 0;
	}
}

/* Decides whether a request may begin, and counts it if it may. */
cb_room_decision_t cb_room_decide(cb_room_t *room, const char *name,
				  const cb_room_request_t *request)
{
	service_room_t *service = g_hash_table_lookup(room->services, name);
	cb_room_decision_t decision = { .is_admitted = TRUE,
					.admitted_ratio = 1 };
	const cb_room_state_t *state;
	int64_t now_ms = cb_clock_now_ms(room->clock);

	if (!service || service->state.capacity_tokens <= 0)
		return decision;
	state = &service->state;
	decision.age_ms = now_ms - state->sum_received_ms;
	decision.used_ratio = (state->used_tokens + service->begun_tokens) /
			      state->capacity_tokens;
	own_demand_count_(&service->own, request->tokens, now_ms);
	request_decide_(room, service, request, &decision);
	if (decision.is_admitted)
		service->begun_tokens += request->tokens;
	else
		decision.retry_after_ms =
			comeback_compute_ms_(room, decision.admitted_ratio,
					     request->time_left_ms);
	return decision;
}

/* Returns whether what each workspace asks for is to be reported. */
gboolean cb_room_is_scarce(const cb_room_t *room, const char *name)
{
	const service_room_t *service =
		g_hash_table_lookup(room->services, name);

	return service && service->is_scarce;
}

/* Returns how many tokens a second all instances together begin. */
double cb_room_begun_tokens_per_s(const cb_room_t *room, const char *name)
{
	const service_room_t *service =
		g_hash_table_lookup(room->services, name);
	double sum = 0;
	unsigned int i;

	for (i = 0; service && i < service->rank_ratios->len; i++)
		sum += g_array_index(service->rank_ratios, rank_ratio_t, i)
			       .granted;
	return sum;
}
