#include "support_main.h"

#include <math.h>
#include <stdlib.h>

#include "private/offered.h"
#include "private/room.h"

/*
 * Plays instances that decide by sums which are 0.2 to 0.4 s old before a fleet
 * that is one bucket of tokens: streams slow down while it is overfull, and come
 * too late.  Callers of three ranks and 24 workspaces come back once, when they
 * were told to; checked is what they get.  CB_SEED sets the seed.
 */
#define STEP_MS 10
#define SHARE_INTERVAL_MS 200
/* From here to there more is asked for than usual. */
#define LOAD_FROM_MS 9000
#define LOAD_TO_MS 23000
#define DAY_MS 35000
#define SECONDS (DAY_MS / 1000)
/* The checks look at callers from 3 s after the load begins: until then, streams from before hold the room. */
#define SETTLED_S 12
#define LOAD_TO_S (LOAD_TO_MS / 1000)
#define CUT_FROM_MS 13000
#define CUT_MS 6000
#define USUAL_LOAD 0.8
#define CAPACITY_TOKENS 800000.0
#define RESIDENCE_MS 3000.0
/* Streams that are slower than this part of their speed pause too long. */
#define PAUSE_SPEED 0.4
#define REQUEST_TOKENS 976.0 /* on average */
#define ROUTE_MS 20000
#define RETURN_AFTER_MS 600 /* later attempts are known as returns */
#define INSTANCES_MAX 102
#define RANKS 3
#define WORKSPACES 24
/* How unequal workspaces are: the n-th sends n^-1.2 of the first. */
#define WORKSPACE_SKEW 1.2
#define GREEDY 4

/* The parts of the users' three ranks in what is asked of the room. */
#define USERS_MIX                \
	{                        \
		0.41, 0.35, 0.24 \
	}
#define USERS_TOP          \
	{                  \
		0.41, 0, 0 \
	}

typedef enum play_fault {
	FAULT_NONE,
	FAULT_CONTROL_AWAY,	   /* for 6 s */
	FAULT_CONTROL_AWAY_BEFORE, /* and the load begins meanwhile */
	FAULT_FROZEN,		   /* a tenth of the instances, for 3 s */
	FAULT_STARTED,		   /* a tenth of the instances starts anew */
	FAULT_ALL_STARTED,	   /* all do; their streams end */
} play_fault_t;

typedef struct play_case {
	unsigned int instances;
	double load;	      /* times what the fleet bears */
	double parts[RANKS];  /* of the requests, by rank */
	double greedy_factor; /* of workspace GREEDY's least urgent requests */
	play_fault_t fault;
} play_case_t;

typedef struct node {
	cb_room_t *room;
	cb_offered_t *offered;
	int64_t received_ms;
	int64_t running_from_ms; /* frozen or starting until then */
	double own_tokens;
	double residence_ms; /* smoothed as in the relay */
	int64_t ended_ms;
	double summed_tokens; /* own part of the sum on its way */
	double others_tokens;
} node_t;

typedef struct request {
	unsigned int node;
	unsigned int rank;
	unsigned int workspace;
	double tokens;
	double work_ms; /* left */
	int64_t asked_ms;
	int64_t begun_ms;
	int64_t due_ms;	  /* of callers away: their return */
	gboolean is_slow; /* paused too long */
	gboolean is_second;
} request_t;

typedef struct tally {
	unsigned int asked; /* callers, by the second in which they asked */
	unsigned int begun; /* those whose first attempt began */
	unsigned int served;
	unsigned int second; /* attempts of callers that came back */
	unsigned int second_begun;
} tally_t;

typedef struct play {
	const play_case_t *c;
	cb_clock_t *clock;
	GRand *random;	/* of the load */
	GRand *decider; /* random numbers by which instances admit requests */
	int64_t now_ms;
	node_t nodes[INSTANCES_MAX];
	cb_usage_t *sum;      /* on its way to the instances */
	double summed_tokens; /* tokens in flight when it was made */
	GArray *running;
	GArray *away;
	double used_tokens;
	double arrivals[RANKS][WORKSPACES];
	/* Results. */
	tally_t tallies[SECONDS][RANKS][WORKSPACES];
	unsigned int finished[SECONDS];
	double use[SECONDS]; /* part of the capacity in use, on average */
} play_t;

static void node_start_(play_t *play, node_t *node)
{
	cb_room_delete(node->room);
	cb_offered_delete(node->offered);
	node->room = cb_room_new(play->clock, play->decider);
	node->offered = cb_offered_new(play->clock);
	node->received_ms = 0;
	node->others_tokens = 0;
	node->residence_ms = 0;
}

static gboolean is_by_workspace_(const char *service, void *room)
{
	return cb_room_is_scarce(room, service);
}

/* Tells an instance what is known, as the relay does. */
static void node_update_(const play_t *play, node_t *node,
			 const cb_usage_t *sum)
{
	GArray *flows = g_array_new(FALSE, FALSE, sizeof(cb_room_flow_t));
	gboolean is_known =
		node->received_ms &&
		cb_clock_now_ms(play->clock) - node->received_ms <= 1500;
	cb_room_state_t state = {
		.capacity_tokens = CAPACITY_TOKENS,
		.used_tokens = is_known ?
				       node->own_tokens + node->others_tokens :
				       node->own_tokens * play->c->instances,
		.own_tokens = node->own_tokens,
		.sum_received_ms = node->received_ms,
		.instances = play->c->instances,
		.residence_ms = node->residence_ms,
	};
	cb_usage_sends_t sends = cb_usage_find_sends(sum, "s");
	GHashTableIter iter;
	void *value;

	if (sends.pauses)
		state.slow_ratio = (double)sends.long_pauses / sends.pauses;
	g_hash_table_iter_init(&iter, sum->by_flow);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cb_usage_flow_t *usage = value;
		cb_room_flow_t flow = { usage->rank, usage->workspace,
					usage->tokens };

		g_array_append_val(flows, flow);
	}
	state.flows = (const cb_room_flow_t *)flows->data;
	state.flow_count = flows->len;
	cb_room_update(node->room, "s", &state);
	g_array_unref(flows);
}

/* Returns when a fault begins. */
static int64_t cut_from_ms_(play_fault_t fault)
{
	return fault == FAULT_NONE		  ? DAY_MS :
	       fault == FAULT_CONTROL_AWAY_BEFORE ? LOAD_FROM_MS - 1000 :
						    CUT_FROM_MS;
}

/* Delivers the last sum and makes the next one. */
static void usage_share_(play_t *play)
{
	cb_usage_t *next = cb_usage_new();
	double summed_tokens = 0;
	int64_t cut_from_ms = cut_from_ms_(play->c->fault);
	gboolean is_away = play->c->fault <= FAULT_CONTROL_AWAY_BEFORE &&
			   play->now_ms >= cut_from_ms &&
			   play->now_ms < cut_from_ms + CUT_MS;
	unsigned int i;

	for (i = 0; i < play->c->instances; i++) {
		node_t *node = &play->nodes[i];

		if (play->now_ms < node->running_from_ms)
			continue;
		if (!is_away && play->sum) {
			node->received_ms = cb_clock_now_ms(play->clock);
			node->others_tokens =
				play->summed_tokens - node->summed_tokens;
		}
		node_update_(play, node, play->sum ? play->sum : next);
	}
	for (i = 0; i < play->c->instances && !is_away; i++) {
		node_t *node = &play->nodes[i];

		node->summed_tokens = node->own_tokens;
		summed_tokens += node->own_tokens;
		if (play->now_ms >= node->running_from_ms)
			cb_offered_add_usage(node->offered, next,
					     is_by_workspace_, node->room);
	}
	if (is_away) {
		cb_usage_delete(next);
		return;
	}
	cb_usage_delete(play->sum);
	play->sum = next;
	play->summed_tokens = summed_tokens;
}

/* Plays one attempt of a caller. */
static void attempt_(play_t *play, request_t request)
{
	tally_t *tally = &play->tallies[request.asked_ms / 1000][request.rank]
				       [request.workspace];
	char workspace[8];
	cb_room_request_t asked = {
		.rank = request.rank,
		.workspace = workspace,
		.tokens = request.tokens,
		.time_left_ms = ROUTE_MS - (play->now_ms - request.asked_ms),
		.is_return = play->now_ms - request.asked_ms > RETURN_AFTER_MS,
	};
	cb_room_decision_t decision;
	node_t *node;

	g_snprintf(workspace, sizeof(workspace), "w%u", request.workspace);
	do {
		request.node = g_rand_int(play->random) % play->c->instances;
		node = &play->nodes[request.node];
	} while (play->now_ms < node->running_from_ms);
	cb_offered_count_request(node->offered, "s", request.rank, workspace,
				 request.tokens);
	decision = cb_room_decide(node->room, "s", &asked);
	tally->second += request.is_second;
	if (decision.is_admitted) {
		tally->begun += !request.is_second;
		tally->second_begun += request.is_second;
		node->own_tokens += request.tokens;
		play->used_tokens += request.tokens;
		request.begun_ms = play->now_ms;
		g_array_append_val(play->running, request);
	} else if (!request.is_second) {
		request.is_second = TRUE;
		request.due_ms = play->now_ms + decision.retry_after_ms;
		g_array_append_val(play->away, request);
	}
}

/* Lets new callers ask, and those come back whose time has come. */
static void callers_step_(play_t *play)
{
	gboolean is_load =
		play->now_ms >= LOAD_FROM_MS && play->now_ms < LOAD_TO_MS;
	double per_step = (is_load ? play->c->load : USUAL_LOAD) *
			  CAPACITY_TOKENS / REQUEST_TOKENS / RESIDENCE_MS *
			  STEP_MS;
	double skew_sum = 0;
	unsigned int i;

	for (i = 0; i < WORKSPACES; i++)
		skew_sum += pow(i + 1, -WORKSPACE_SKEW);
	for (i = 0; i < RANKS * WORKSPACES; i++) {
		unsigned int rank = i % RANKS;
		unsigned int workspace = i / RANKS;
		double rate = per_step * play->c->parts[rank] *
			      pow(workspace + 1, -WORKSPACE_SKEW) / skew_sum;

		if (is_load && workspace == GREEDY && rank == RANKS - 1 &&
		    play->c->greedy_factor > 0)
			rate *= play->c->greedy_factor;
		play->arrivals[rank][workspace] -= rate;
		while (play->arrivals[rank][workspace] < 0 && rate > 0) {
			request_t request = {
				.rank = rank,
				.workspace = workspace,
				.tokens = 200 +
					  MIN(-log(1 - g_rand_double(
							       play->random)) *
						      800,
					      2800),
				.work_ms = RESIDENCE_MS *
					   (0.5 + g_rand_double(play->random)),
				.asked_ms = play->now_ms,
			};

			play->tallies[play->now_ms / 1000][rank][workspace]
				.asked++;
			play->arrivals[rank][workspace] -=
				log(1 - g_rand_double(play->random));
			attempt_(play, request);
		}
	}
	for (i = play->away->len; i > 0; i--) {
		request_t request = g_array_index(play->away, request_t, i - 1);

		if (request.due_ms > play->now_ms)
			continue;
		g_array_remove_index_fast(play->away, i - 1);
		attempt_(play, request);
	}
}

/* Lets the streams under way go on. */
static void fleet_step_(play_t *play)
{
	double used = play->used_tokens / CAPACITY_TOKENS;
	double speed = used > 1 ? pow(used, -2) : 1;
	unsigned int i;

	play->use[play->now_ms / 1000] += MIN(used, 1) * STEP_MS / 1000;
	for (i = play->running->len; i > 0; i--) {
		request_t *request =
			&g_array_index(play->running, request_t, i - 1);
		node_t *node = &play->nodes[request->node];

		if ((play->now_ms - request->begun_ms) % SHARE_INTERVAL_MS == 0)
			cb_offered_count_pause(node->offered, "s",
					       speed < PAUSE_SPEED);
		request->is_slow |= speed < PAUSE_SPEED;
		request->work_ms -= STEP_MS * speed;
		if (request->work_ms > 0)
			continue;
		node->own_tokens -= request->tokens;
		play->used_tokens -= request->tokens;
		node->residence_ms +=
			(node->residence_ms > 0 ?
				 MIN((play->now_ms - node->ended_ms) / 5000.0,
				     0.05) :
				 1) *
			((double)(play->now_ms - request->begun_ms) -
			 node->residence_ms);
		node->ended_ms = play->now_ms;
		if (!request->is_slow) {
			play->tallies[request->asked_ms / 1000][request->rank]
				     [request->workspace]
					     .served++;
			play->finished[play->now_ms / 1000]++;
		}
		g_array_remove_index_fast(play->running, i - 1);
	}
}

/* Plays the case's fault on the instances. */
static void fault_step_(play_t *play)
{
	play_fault_t fault = play->c->fault;
	unsigned int count = fault == FAULT_ALL_STARTED ?
				     play->c->instances :
				     (play->c->instances + 9) / 10;
	unsigned int i;

	if (play->now_ms != CUT_FROM_MS || fault < FAULT_FROZEN)
		return;
	for (i = 0; i < count; i++) {
		if (fault == FAULT_FROZEN) {
			play->nodes[i].running_from_ms = CUT_FROM_MS + 3000;
			continue;
		}
		node_start_(play, &play->nodes[i]);
		play->nodes[i].own_tokens = 0;
	}
	for (i = play->running->len; i > 0 && fault != FAULT_FROZEN; i--) {
		request_t *request =
			&g_array_index(play->running, request_t, i - 1);

		if (request->node >= count)
			continue;
		/* Its caller is no longer counted. */
		play->tallies[request->asked_ms / 1000][request->rank]
			     [request->workspace]
				     .asked--;
		play->used_tokens -= request->tokens;
		g_array_remove_index_fast(play->running, i - 1);
	}
}

/* Plays a day; the caller frees the results. */
static play_t *play_run_(const play_case_t *c)
{
	const char *seed_text = getenv("CB_SEED");
	uint32_t seed = seed_text ? (uint32_t)atoi(seed_text) : 1;
	play_t *play = g_new0(play_t, 1);
	unsigned int i;

	play->c = c;
	play->clock = cb_clock_new_paused(1000);
	play->random = g_rand_new_with_seed(seed);
	play->decider = g_rand_new_with_seed(seed + 1);
	play->running = g_array_new(FALSE, FALSE, sizeof(request_t));
	play->away = g_array_new(FALSE, FALSE, sizeof(request_t));
	for (i = 0; i < c->instances; i++)
		node_start_(play, &play->nodes[i]);
	for (play->now_ms = 0; play->now_ms < DAY_MS; play->now_ms += STEP_MS) {
		cb_clock_advance(play->clock, STEP_MS);
		fault_step_(play);
		if (play->now_ms % SHARE_INTERVAL_MS == 0)
			usage_share_(play);
		callers_step_(play);
		fleet_step_(play);
	}
	for (i = 0; i < c->instances; i++) {
		cb_room_delete(play->nodes[i].room);
		cb_offered_delete(play->nodes[i].offered);
	}
	cb_usage_delete(play->sum);
	g_array_unref(play->running);
	g_array_unref(play->away);
	g_rand_free(play->random);
	g_rand_free(play->decider);
	cb_clock_delete(play->clock);
	return play;
}

/* Sums up tallies; `rank` RANKS, `workspace` WORKSPACES: of all. */
static tally_t tally_sum_(const play_t *play, unsigned int from_s,
			  unsigned int to_s, unsigned int rank,
			  unsigned int workspace)
{
	tally_t sum = { 0 };
	unsigned int s;
	unsigned int i;

	for (s = from_s; s < to_s; s++)
		for (i = 0; i < RANKS * WORKSPACES; i++) {
			const tally_t *tally =
				&play->tallies[s][i % RANKS][i / RANKS];

			if ((rank != RANKS && rank != i % RANKS) ||
			    (workspace != WORKSPACES && workspace != i / RANKS))
				continue;
			sum.asked += tally->asked;
			sum.begun += tally->begun;
			sum.served += tally->served;
			sum.second += tally->second;
			sum.second_begun += tally->second_begun;
		}
	return sum;
}

/* Returns the part of the callers that were served. */
static double served_share_(const play_t *play, unsigned int from_s,
			    unsigned int to_s, unsigned int rank,
			    unsigned int workspace)
{
	tally_t sum = tally_sum_(play, from_s, to_s, rank, workspace);

	return sum.asked ? (double)sum.served / sum.asked : 1;
}

/* Returns how many streams a second ended well, and in time. */
static double finished_per_s_(const play_t *play, unsigned int from_s,
			      unsigned int to_s)
{
	double finished = 0;
	unsigned int s;

	for (s = from_s; s < to_s; s++)
		finished += play->finished[s];
	return finished / (to_s - from_s);
}

/* Reports a figure that is below its bound. */
static void check_(const play_t *play, const char *what, double is,
		   double bound)
{
	if (is < bound)
		printf("%u instances, %.2f times, fault %d: %s %.3f of %.3f\n",
		       play->c->instances, play->c->load, (int)play->c->fault,
		       what, is, bound);
	CU_ASSERT_TRUE(is >= bound);
}

/* No rank is refused as a whole while room stands empty. */
static void check_no_rank_shut_out_(const play_t *play)
{
	unsigned int shut_out = 0;
	unsigned int s;
	unsigned int rank;

	for (s = 0; s < LOAD_TO_S; s++)
		for (rank = 0; rank < RANKS; rank++) {
			tally_t sum =
				tally_sum_(play, s, s + 1, rank, WORKSPACES);

			shut_out += sum.asked >= 20 && !sum.begun &&
				    play->use[s] < USUAL_LOAD;
		}
	check_(play, "negative: seconds of ranks shut out of room",
	       -(double)shut_out, 0);
}

static double mean_use_(const play_t *play)
{
	double use = 0;
	double count = 0;
	unsigned int s;

	for (s = SETTLED_S; s < LOAD_TO_S; s++, count++)
		use += play->use[s];
	return use / count;
}

static const unsigned int instance_counts[] = { 1, 26, INSTANCES_MAX };

/* Guards against a service that falls over, or stays so after the load. */
static void throughput_holds_under_load(void)
{
	static const double loads[] = { 1.0, 1.35, 1.75, 2.5, 4 };
	unsigned int i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
		double finished[G_N_ELEMENTS(loads)] = { 0 };
		double best = 0;

		for (k = 0; k < 2 * G_N_ELEMENTS(loads); k++) {
			unsigned int load = k % G_N_ELEMENTS(loads);
			play_case_t c = { instance_counts[i], loads[load],
					  USERS_MIX, 0, 0 };
			play_t *play = play_run_(&c);

			finished[load] =
				finished_per_s_(play, SETTLED_S, LOAD_TO_S);
			best = MAX(best, finished[load]);
			if (k >= G_N_ELEMENTS(loads)) {
				check_(play, "finished of the best",
				       finished[load] / best, 0.95);
				check_(play, "finished from 2 s after it",
				       finished_per_s_(play, LOAD_TO_S + 2,
						       LOAD_TO_S + 8),
				       0.95 * finished_per_s_(play, 5, 9));
				check_no_rank_shut_out_(play);
			}
			g_free(play);
		}
	}
}

/* Guards against urgent requests that wait for others, and against idle room. */
static void room_goes_to_the_urgent(void)
{
	static const double loads[] = { 1.3, 1.8 };
	unsigned int i;
	unsigned int rank;

	for (i = 0; i < G_N_ELEMENTS(instance_counts) * 2; i++) {
		play_case_t c = { instance_counts[i / 2], loads[i % 2],
				  USERS_MIX, 0, 0 };
		play_case_t alone = { instance_counts[i / 2], loads[i % 2],
				      USERS_TOP, 0, 0 };
		play_t *play = play_run_(&c);
		play_t *top = play_run_(&alone);
		double top_share =
			served_share_(top, SETTLED_S, LOAD_TO_S, 0, WORKSPACES);

		check_(play, "most urgent",
		       served_share_(play, SETTLED_S, LOAD_TO_S, 0, WORKSPACES),
		       0.98 * top_share);
		check_(play, "use", mean_use_(play), 0.95);
		for (rank = 1; rank < RANKS; rank++)
			check_(play, "more urgent rank",
			       served_share_(play, SETTLED_S, LOAD_TO_S,
					     rank - 1, WORKSPACES),
			       served_share_(play, SETTLED_S, LOAD_TO_S, rank,
					     WORKSPACES));
		check_no_rank_shut_out_(play);
		g_free(play);
		g_free(top);
	}
}

/* Guards against callers that come back for nothing. */
static void refused_callers_are_taken_back(void)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
		play_case_t c = { instance_counts[i], 1.3, USERS_MIX, 0, 0 };
		play_t *play = play_run_(&c);
		tally_t sum = tally_sum_(play, SETTLED_S, LOAD_TO_S, RANKS,
					 WORKSPACES);

		check_(play, "second attempts taken",
		       (double)sum.second_begun / MAX(sum.second, 1), 0.8);
		g_free(play);
	}
}

/*
 * Returns the least part that is served of a workspace that asks for no more than
 * an equal share of what its rank gets, and for a few requests at least.
 */
static double least_served_(const play_t *play)
{
	tally_t rank =
		tally_sum_(play, SETTLED_S, LOAD_TO_S, RANKS - 1, WORKSPACES);
	double least = 1;
	unsigned int i;

	for (i = 0; i < WORKSPACES; i++) {
		tally_t sum =
			tally_sum_(play, SETTLED_S, LOAD_TO_S, RANKS - 1, i);

		if (sum.asked >= 20 && sum.asked <= rank.served / WORKSPACES)
			least = MIN(least, (double)sum.served / sum.asked);
	}
	return least;
}

/* Guards against a workspace that takes the shares of others. */
static void workspaces_keep_their_shares(void)
{
	static const play_case_t cases[] = {
		{ 0, 0.8, { 0, 0, 1 }, 10, 0 },
		{ 0, 0.9, { 0.3, 0.2, 0.5 }, 10, 0 },
	};
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(instance_counts) * 2; i++) {
		play_case_t c = cases[i % 2];
		play_t *play;
		double alone;

		c.instances = instance_counts[i / 2];
		c.greedy_factor = 0;
		play = play_run_(&c);
		alone = least_served_(play);
		g_free(play);
		c.greedy_factor = cases[i % 2].greedy_factor;
		play = play_run_(&c);
		check_(play, "workspace within its share", least_served_(play),
		       0.95 * alone);
		g_free(play);
	}
}

/* Plays a fault under a load and checks what the most urgent callers get. */
static void check_fault_(unsigned int instances, double load,
			 play_fault_t fault)
{
	play_case_t c = { instances, load, USERS_MIX, 0, fault };
	play_t *play = play_run_(&c);
	unsigned int from_s =
		(unsigned int)(MAX(cut_from_ms_(fault), LOAD_FROM_MS) / 1000);

	check_(play, "most urgent",
	       served_share_(play, from_s, from_s + 6, 0, WORKSPACES), 0.95);
	check_no_rank_shut_out_(play);
	g_free(play);
}

/* Plays faults at both loads on each number of instances. */
static void check_faults_(play_fault_t first, play_fault_t last)
{
	unsigned int i;
	int fault;

	for (i = 0; i < G_N_ELEMENTS(instance_counts); i++)
		for (fault = (int)first; fault <= (int)last; fault++) {
			/* A single instance can't be frozen and be asked. */
			if (instance_counts[i] == 1 && fault == FAULT_FROZEN)
				continue;
			check_fault_(instance_counts[i], 1.3,
				     (play_fault_t)fault);
			check_fault_(instance_counts[i], 1.8,
				     (play_fault_t)fault);
		}
}

/* Guards against sums that are missing for 6 s. */
static void urgent_are_served_while_control_is_away(void)
{
	check_faults_(FAULT_CONTROL_AWAY, FAULT_CONTROL_AWAY);
}

/* Guards against a load that no sum has told of. */
static void urgent_are_served_when_load_rises_unseen(void)
{
	check_faults_(FAULT_CONTROL_AWAY_BEFORE, FAULT_CONTROL_AWAY_BEFORE);
}

/* Guards against instances that know nothing, or what was seconds ago. */
static void urgent_are_served_when_some_start_or_freeze(void)
{
	check_faults_(FAULT_FROZEN, FAULT_STARTED);
}

/* Guards against sums that begin anew under load. */
static void urgent_are_served_when_all_start(void)
{
	check_faults_(FAULT_ALL_STARTED, FAULT_ALL_STARTED);
}

/*
 * Guards against a room that stands empty since pauses were too long while more was
 * in use than there was; engines that pause at an ordinary use do bear less.
 */
static void pauses_lower_the_room_of_slow_engines_only(void)
{
	static const struct {
		double used_ratio;
		gboolean is_lowered;
	} cases[] = { { 1.2, FALSE }, { 0.6, TRUE } };
	unsigned int i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_clock_t *clock = cb_clock_new_paused(1000);
		GRand *random = g_rand_new_with_seed(1);
		cb_room_t *room = cb_room_new(clock, random);
		/* As much as three quarters in use free. */
		const cb_room_flow_t flow = { 0, "", CAPACITY_TOKENS / 4 };
		const cb_room_request_t request = { .workspace = "w",
						    .tokens = 1000 };
		cb_room_state_t state = { .capacity_tokens = CAPACITY_TOKENS,
					  .instances = 1,
					  .residence_ms = RESIDENCE_MS,
					  .flows = &flow,
					  .flow_count = 1 };
		cb_room_decision_t decision;

		for (k = 0; k <= 20; k++) {
			gboolean is_slow = k < 20;

			cb_clock_advance(clock, SHARE_INTERVAL_MS);
			state.sum_received_ms = cb_clock_now_ms(clock);
			state.slow_ratio = is_slow ? 0.5 : 0;
			state.used_tokens =
				(is_slow ? cases[i].used_ratio : 0.75) *
				CAPACITY_TOKENS;
			cb_room_update(room, "s", &state);
		}
		decision = cb_room_decide(room, "s", &request);
		CU_ASSERT_EQUAL(decision.admitted_ratio < 1,
				cases[i].is_lowered);
		cb_room_delete(room);
		g_rand_free(random);
		cb_clock_delete(clock);
	}
}

static CU_TestInfo room_tests[] = {
	{ "throughput_holds_under_load", throughput_holds_under_load },
	{ "room_goes_to_the_urgent", room_goes_to_the_urgent },
	{ "refused_callers_are_taken_back", refused_callers_are_taken_back },
	{ "workspaces_keep_their_shares", workspaces_keep_their_shares },
	{ "urgent_are_served_while_control_is_away",
	  urgent_are_served_while_control_is_away },
	{ "urgent_are_served_when_load_rises_unseen",
	  urgent_are_served_when_load_rises_unseen },
	{ "urgent_are_served_when_some_start_or_freeze",
	  urgent_are_served_when_some_start_or_freeze },
	{ "urgent_are_served_when_all_start",
	  urgent_are_served_when_all_start },
	{ "pauses_lower_the_room_of_slow_engines_only",
	  pauses_lower_the_room_of_slow_engines_only },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "room", .pTests = room_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
