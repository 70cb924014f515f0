#include "support_main.h"

#include <stdlib.h>
#include <string.h>

#include "private/server_book.h"

/*
 * Plays servers without layers that start, recover, flap or lie, under the
 * requests of many instances whose records choose the servers, and checks what
 * callers and servers get.  Instances know at once which servers there are; what
 * they know of each other's requests and answers is as old as the case says.
 */
#define STEP_MS 5
#define SHARE_INTERVAL_MS 200
#define HEARTBEAT_MS 250
#define SILENT_AFTER_MS 700
#define SERVERS_MAX 50
#define NODES_MAX 102
#define LAGS_MAX 26
#define SLOTS 6
#define WORK_MS 60
#define TARGET_MS 300
#define FAST_FAILURE_MS 5
/* When servers go, and when they are back. */
#define GONE_MS 3000
#define BACK_MS 6000
#define PLAY_MS 16000
/* The flapping server comes and goes in this rhythm, and until then. */
#define FLAP_MS 1400
#define FLAP_END_MS (GONE_MS + 6500)
#define SECONDS_CHECKED 5

typedef enum trouble {
	TROUBLE_DOWN,	/* it has crashed: another process returns */
	TROUBLE_FROZEN, /* it stands still, and goes on */
	TROUBLE_SLOW,	/* all takes five times as long */
	TROUBLE_GREY,	/* half of the requests fail */
	TROUBLE_FLAP,	/* it comes and goes */
	TROUBLE_ABSENT, /* it crashes and does not return */
} trouble_t;

typedef struct pace_case {
	const char *description; /* printed if the case fails */
	trouble_t trouble;
	unsigned int nodes;
	unsigned int servers;
	unsigned int troubled; /* servers, the first ones */
	double used;	       /* part of all servers' capacity that is asked */
	double used_before;    /* the same before the return */
	unsigned int once_percent; /* requests that may run only once */
	int64_t lag_ms;	 /* age of sums as they arrive; negative: none do */
	int64_t gap_ms;	 /* time between sums; 0: they arrive as usual */
	int64_t cold_ms; /* time for which it works slowly at first */
	double cold_factor;
	gboolean states_cold;
	gboolean has_new_id;
	unsigned int warm_requests; /* it is cold until it has run so many */
	int64_t failing_ms;	    /* fails all requests at once for so long */
} pace_case_t;

#define USUAL(nodes_, lag_)                                                \
	.nodes = (nodes_), .lag_ms = (lag_), .servers = 10, .troubled = 1, \
	.used = 0.75, .used_before = 0.75, .once_percent = 50,             \
	.cold_factor = 3

static const pace_case_t return_cases[] = {
	{ "crash, 1 instance", TROUBLE_DOWN, USUAL(1, 200) },
	{ "crash, 26 instances", TROUBLE_DOWN, USUAL(26, 400) },
	{ "crash, 102 instances", TROUBLE_DOWN, USUAL(102, 400) },
	{ "crash, sums 5 s old", TROUBLE_DOWN, USUAL(26, 5000) },
	{ "crash, 102 instances, sums 5 s old", TROUBLE_DOWN,
	  USUAL(102, 5000) },
	{ "crash, control away", TROUBLE_DOWN, USUAL(26, -1) },
	{ "crash, control away, 102 instances", TROUBLE_DOWN, USUAL(102, -1) },
	{ "crash, new ID", TROUBLE_DOWN, USUAL(26, 400), .has_new_id = TRUE },
	{ "states that it is cold", TROUBLE_DOWN, USUAL(26, 400),
	  .cold_ms = 1000, .states_cold = TRUE },
	{ "states that it is cold for long", TROUBLE_DOWN, USUAL(102, 400),
	  .cold_ms = 2500, .states_cold = TRUE },
	{ "is cold and does not say so", TROUBLE_DOWN, USUAL(26, 400),
	  .cold_ms = 1000 },
	{ "is cold, sums 5 s old", TROUBLE_DOWN, USUAL(102, 5000),
	  .cold_ms = 1000, .states_cold = TRUE },
	{ "warms up only under load", TROUBLE_DOWN, USUAL(26, 400),
	  .warm_requests = 20 },
	{ "freeze", TROUBLE_FROZEN, USUAL(26, 400) },
	{ "slow time", TROUBLE_SLOW, USUAL(26, 400) },
	{ "slow time, 102 instances", TROUBLE_SLOW, USUAL(102, 400) },
	{ "grey time", TROUBLE_GREY, USUAL(26, 400) },
	{ "grey time, 102 instances", TROUBLE_GREY, USUAL(102, 400) },
	{ "crash, a sum each 5 s", TROUBLE_DOWN, USUAL(26, 400),
	  .gap_ms = 5000 },
	{ "slow time, a sum each 5 s", TROUBLE_SLOW, USUAL(102, 400),
	  .gap_ms = 5000 },
	{ "grey time, a sum each 5 s", TROUBLE_GREY, USUAL(102, 400),
	  .gap_ms = 5000 },
	{ "fails at once for 2 s, then serves", TROUBLE_DOWN, USUAL(26, 400),
	  .failing_ms = 2000 },
	{ "half of the service is replaced", TROUBLE_DOWN, .nodes = 26,
	  .lag_ms = 400, .servers = 10, .troubled = 5, .used = 0.75,
	  .used_before = 0.4, .once_percent = 50, .cold_factor = 2,
	  .has_new_id = TRUE },
	{ "one of three", TROUBLE_DOWN, .nodes = 26, .lag_ms = 400,
	  .servers = 3, .troubled = 1, .used = 0.6, .used_before = 0.5,
	  .once_percent = 70, .cold_factor = 2 },
	{ "no request may run twice", TROUBLE_DOWN, .nodes = 26, .lag_ms = 400,
	  .servers = 10, .troubled = 1, .used = 0.75, .used_before = 0.75,
	  .once_percent = 100, .cold_factor = 2 },
};

static const pace_case_t late_cases[] = {
	{ "freeze, sums 5 s old", TROUBLE_FROZEN, USUAL(26, 5000) },
	{ "slow time, sums 5 s old", TROUBLE_SLOW, USUAL(102, 5000) },
	{ "grey time, sums 5 s old", TROUBLE_GREY, USUAL(102, 5000) },
};

static const pace_case_t many_cases[] = {
	{ "40 of 50 return, 1 instance", TROUBLE_DOWN, 1, 50, 40, 0.7, 0.15, 50,
	  200, .cold_factor = 2 },
	{ "40 of 50 return, 26 instances", TROUBLE_DOWN, 26, 50, 40, 0.7, 0.15,
	  50, 400, .cold_factor = 2 },
	{ "40 of 50 return, 102 instances", TROUBLE_DOWN, 102, 50, 40, 0.7,
	  0.15, 50, 400, .cold_factor = 2 },
	{ "40 of 50 return, sums 5 s old", TROUBLE_DOWN, 102, 50, 40, 0.7, 0.15,
	  50, 5000, .cold_factor = 2 },
	{ "40 of 50 return cold", TROUBLE_DOWN, 26, 50, 40, 0.3, 0.15, 50, 400,
	  .cold_ms = 1000, .cold_factor = 2, .states_cold = TRUE },
	{ "all 40 start at once", TROUBLE_DOWN, 102, 40, 40, 0.7, 0, 50, 400,
	  .cold_factor = 2 },
	{ "all 40 start at once, cold", TROUBLE_DOWN, 102, 40, 40, 0.4, 0, 50,
	  400, .cold_ms = 1000, .cold_factor = 2, .states_cold = TRUE },
};

static const pace_case_t flap_cases[] = {
	{ "flaps, 1 instance", TROUBLE_FLAP, USUAL(1, 200) },
	{ "flaps, 26 instances", TROUBLE_FLAP, USUAL(26, 400) },
	{ "flaps, 102 instances", TROUBLE_FLAP, USUAL(102, 400) },
	{ "flaps, sums 5 s old", TROUBLE_FLAP, USUAL(102, 5000) },
	{ "flaps, control away", TROUBLE_FLAP, USUAL(26, -1) },
	{ "flaps, new IDs", TROUBLE_FLAP, USUAL(26, 400), .has_new_id = TRUE },
	{ "flaps, cold", TROUBLE_FLAP, USUAL(26, 400), .cold_ms = 1000 },
	{ "answers fast because it fails", TROUBLE_DOWN, USUAL(26, 400),
	  .failing_ms = 3500 },
	{ "answers fast because it fails, 102 instances", TROUBLE_DOWN,
	  USUAL(102, 400), .failing_ms = 3500 },
};

typedef struct request {
	unsigned int node;
	unsigned int server;
	unsigned int first_server;
	GArray *hops;
	GHashTable *tried;
	int64_t arrived_ms;
	int64_t sent_ms;
	int64_t begun_ms; /* 0: it waits */
	double left_ms;
	gboolean runs_once;
	gboolean fails;
} request_t;

typedef struct backend {
	char id[16];
	int64_t start_wall_ms;
	int64_t started_ms;    /* 0: since ever */
	int64_t down_since_ms; /* 0: it runs */
	unsigned int done;     /* by this process */
	GPtrArray *requests;   /* request_t, the longest there first */
} backend_t;

typedef struct count {
	unsigned int sent;
	unsigned int in_time;
} count_t;

typedef struct tally {
	count_t troubled[PLAY_MS / 1000];
	count_t others[PLAY_MS / 1000];
} tally_t;

typedef struct play {
	const pace_case_t *c;
	GRand *random;
	cb_clock_t *clock;
	cb_fleet_t *fleet;
	cb_view_t *view;
	cb_reach_t *reach;
	cb_rate_limits_t *limits;
	cb_service_profile_t service;
	cb_server_book_t *books[NODES_MAX];
	backend_t backends[SERVERS_MAX];
	cb_usage_t *sums[LAGS_MAX];
	unsigned int starts;
	int64_t at_ms;
	tally_t *tally;
} play_t;

static gboolean is_troubled_(const play_t *play, unsigned int i)
{
	return i < play->c->troubled;
}

static gboolean is_in_trouble_(const play_t *play, unsigned int i)
{
	return is_troubled_(play, i) && play->at_ms >= GONE_MS &&
	       play->at_ms < BACK_MS;
}

/* Returns whether a server runs at this time. */
static gboolean is_up_(const play_t *play, unsigned int i)
{
	if (!is_troubled_(play, i) || play->at_ms < GONE_MS)
		return TRUE;
	switch (play->c->trouble) {
	case TROUBLE_DOWN:
		return play->at_ms >= BACK_MS;
	case TROUBLE_FLAP:
		return play->at_ms >= FLAP_END_MS ||
		       (play->at_ms - GONE_MS) / FLAP_MS % 2;
	case TROUBLE_ABSENT:
		return FALSE;
	default:
		return TRUE;
	}
}

static gboolean is_cold_(const play_t *play, const backend_t *backend)
{
	if (!backend->started_ms)
		return FALSE;
	return play->at_ms - backend->started_ms < play->c->cold_ms ||
	       backend->done < play->c->warm_requests;
}

static void request_free_(request_t *request)
{
	g_array_unref(request->hops);
	g_hash_table_unref(request->tried);
	g_free(request);
}

/* Ends a request; `is_served`: with its answer. */
static void request_end_(play_t *play, request_t *request, gboolean is_served)
{
	count_t *counts = is_troubled_(play, request->first_server) ?
				  play->tally->troubled :
				  play->tally->others;
	count_t *count = &counts[request->arrived_ms / 1000];

	count->sent++;
	count->in_time +=
		is_served && play->at_ms - request->arrived_ms <= TARGET_MS;
	request_free_(request);
}

/* Chooses a server and sends the request; one that is down refuses it. */
static void request_send_(play_t *play, request_t *request)
{
	cb_server_book_t *book = play->books[request->node];
	const cb_book_criteria_t criteria = { .service = &play->service,
					      .excluded_servers =
						      request->tried,
					      .runs_once = request->runs_once };
	gboolean is_first = !g_hash_table_size(request->tried);

	while (cb_server_book_choose(book, &criteria, request->hops) ==
	       CB_BOOK_FOUND) {
		const cb_relay_hop_t *hop =
			&g_array_index(request->hops, cb_relay_hop_t, 0);
		backend_t *backend;

		request->server =
			(unsigned int)atoi(strrchr(hop->address, ':') + 1);
		if (is_first)
			request->first_server = request->server;
		is_first = FALSE;
		backend = &play->backends[request->server];
		if (!backend->down_since_ms) {
			request->sent_ms = play->at_ms;
			request->begun_ms = 0;
			cb_server_book_begin_request(book, request->hops, 0);
			g_ptr_array_add(backend->requests, request);
			return;
		}
		cb_server_book_record_end(book, hop);
		g_hash_table_add(request->tried, g_strdup(hop->id));
		g_array_set_size(request->hops, 0);
	}
	request_end_(play, request, FALSE);
}

/* Handles the failure of a request that has run: it is sent again, if it may be. */
static void request_fail_(play_t *play, request_t *request)
{
	cb_server_book_t *book = play->books[request->node];
	const cb_relay_hop_t *hop =
		&g_array_index(request->hops, cb_relay_hop_t, 0);

	cb_server_book_end_request(book, request->hops, 0);
	cb_server_book_record_failure(book, hop->id, FALSE);
	if (request->runs_once || g_hash_table_size(request->tried)) {
		request_end_(play, request, FALSE);
		return;
	}
	g_hash_table_add(request->tried, g_strdup(hop->id));
	g_array_set_size(request->hops, 0);
	request_send_(play, request);
}

static void request_begin_(play_t *play, request_t *request)
{
	const pace_case_t *c = play->c;
	backend_t *backend = &play->backends[request->server];
	gboolean is_failing = backend->started_ms &&
			      play->at_ms - backend->started_ms < c->failing_ms;

	request->begun_ms = play->at_ms;
	request->left_ms = WORK_MS;
	request->fails = is_failing || (c->trouble == TROUBLE_GREY &&
					is_in_trouble_(play, request->server) &&
					g_rand_boolean(play->random));
	if (is_failing)
		request->left_ms = FAST_FAILURE_MS;
}

/* Returns by how much a server's work moves on in one step, in ms. */
static double speed_find_(const play_t *play, unsigned int i)
{
	const backend_t *backend = &play->backends[i];

	if (is_in_trouble_(play, i) && play->c->trouble == TROUBLE_FROZEN)
		return 0;
	if (is_in_trouble_(play, i) && play->c->trouble == TROUBLE_SLOW)
		return STEP_MS / 5.0;
	return is_cold_(play, backend) ? STEP_MS / play->c->cold_factor :
					 STEP_MS;
}

/* Lets a server work for one step. */
static void backend_step_(play_t *play, unsigned int i)
{
	backend_t *backend = &play->backends[i];
	double speed = speed_find_(play, i);
	GPtrArray *ended = g_ptr_array_new();
	unsigned int k;

	for (k = 0; k < MIN(backend->requests->len, SLOTS); k++) {
		request_t *request = backend->requests->pdata[k];

		if (!request->begun_ms)
			request_begin_(play, request);
		request->left_ms -= speed;
		if (request->left_ms <= 0)
			g_ptr_array_add(ended, request);
	}
	for (k = 0; k < ended->len; k++) {
		request_t *request = ended->pdata[k];
		cb_server_book_t *book = play->books[request->node];

		g_ptr_array_remove(backend->requests, request);
		backend->done++;
		if (request->fails) {
			request_fail_(play, request);
			continue;
		}
		cb_server_book_end_request(book, request->hops, 0);
		cb_server_book_record_time(book, request->hops, "s", "kind",
					   play->at_ms - request->sent_ms);
		cb_server_book_record_success(book, request->hops);
		request_end_(play, request, TRUE);
	}
	g_ptr_array_unref(ended);
}

/* Ends the process of a server, or starts another one. */
static void backend_switch_(play_t *play, unsigned int i)
{
	backend_t *backend = &play->backends[i];
	GPtrArray *cut = backend->requests;
	unsigned int k;

	if (!is_up_(play, i) == (backend->down_since_ms != 0))
		return;
	if (backend->down_since_ms) {
		backend->down_since_ms = 0;
		backend->started_ms = play->at_ms;
		backend->start_wall_ms++;
		backend->done = 0;
		if (play->c->has_new_id)
			g_snprintf(backend->id, sizeof(backend->id), "s%u-%u",
				   i, ++play->starts);
		return;
	}
	backend->down_since_ms = play->at_ms;
	backend->requests = g_ptr_array_new();
	for (k = 0; k < cut->len; k++)
		request_fail_(play, cut->pdata[k]);
	g_ptr_array_unref(cut);
}

static void heartbeat_send_(play_t *play, unsigned int i)
{
	backend_t *backend = &play->backends[i];
	char address[32];
	cb_fleet_server_t report = {
		.id = backend->id,
		.service = (char *)"s",
		.address = address,
		.data_centre = (char *)"d",
		.start_wall_ms = backend->start_wall_ms,
		.sequence = (uint64_t)play->at_ms + 1,
		.slots = SLOTS,
	};
	gboolean is_frozen =
		is_in_trouble_(play, i) && play->c->trouble == TROUBLE_FROZEN;

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", i);
	if (backend->down_since_ms || is_frozen) {
		if (play->at_ms -
			    (is_frozen ? GONE_MS : backend->down_since_ms) >=
		    SILENT_AFTER_MS)
			cb_fleet_set_silent(play->fleet, backend->id);
		return;
	}
	if (play->c->states_cold && backend->started_ms)
		report.cold_remaining_ms =
			MAX(backend->started_ms + play->c->cold_ms -
				    play->at_ms,
			    0);
	(void)cb_fleet_update(play->fleet, &report,
			      cb_clock_now_ms(play->clock));
}

/* Passes on the sum of what all instances reported `lag_ms` ago. */
static void usage_share_(play_t *play)
{
	unsigned int lag = (unsigned int)(play->c->lag_ms / SHARE_INTERVAL_MS);
	cb_usage_t *sum = cb_usage_new();
	unsigned int i;

	if (play->c->lag_ms >= 0)
		for (i = 0; i < play->c->nodes; i++) {
			cb_usage_t *own =
				cb_server_book_collect_usage(play->books[i]);

			cb_usage_merge(sum, own);
			cb_usage_delete(own);
		}
	cb_usage_delete(play->sums[LAGS_MAX - 1]);
	for (i = LAGS_MAX - 1; i > 0; i--)
		play->sums[i] = play->sums[i - 1];
	play->sums[0] = sum;
	if (play->c->lag_ms < 0 || !play->sums[lag] ||
	    (play->c->gap_ms && play->at_ms % play->c->gap_ms))
		return;
	for (i = 0; i < play->c->nodes; i++) {
		GPtrArray *suspects =
			cb_server_book_update_usage(play->books[i],
						    play->sums[lag]);

		if (suspects)
			g_ptr_array_unref(suspects);
	}
}

static void arrivals_send_(play_t *play, double *due)
{
	const pace_case_t *c = play->c;
	double used = play->at_ms < BACK_MS ? c->used_before : c->used;

	*due += g_rand_double(play->random) * 2 * used * c->servers * SLOTS *
		STEP_MS / WORK_MS;
	for (; *due >= 1; (*due)--) {
		request_t *request = g_new0(request_t, 1);

		request->node =
			(unsigned int)g_rand_int_range(play->random, 0,
						       (int32_t)c->nodes);
		request->arrived_ms = play->at_ms;
		request->runs_once = g_rand_int_range(play->random, 0, 100) <
				     (int32_t)c->once_percent;
		request->hops = cb_relay_hops_new();
		request->tried = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, NULL);
		request_send_(play, request);
	}
}

static void play_init_(play_t *play, const pace_case_t *c, uint32_t seed,
		       tally_t *tally)
{
	unsigned int i;

	*play = (play_t){ .c = c,
			  .random = g_rand_new_with_seed(seed),
			  .clock = cb_clock_new_paused(1000),
			  .fleet = cb_fleet_new(),
			  .view = cb_view_new(),
			  .service = { .name = (char *)"s" },
			  .tally = tally };
	play->reach = cb_reach_new(play->clock);
	play->limits =
		cb_rate_limits_new(play->clock, play->random, "e", 10000);
	for (i = 0; i < c->nodes; i++)
		play->books[i] =
			cb_server_book_new(play->clock, play->fleet, play->view,
					   play->random, play->limits,
					   play->reach, "d");
	for (i = 0; i < SERVERS_MAX; i++) {
		play->backends[i] =
			(backend_t){ .start_wall_ms = 1,
				     .requests = g_ptr_array_new() };
		g_snprintf(play->backends[i].id, sizeof(play->backends[i].id),
			   "s%u", i);
	}
}

static void play_clear_(play_t *play)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < SERVERS_MAX; i++) {
		GPtrArray *requests = play->backends[i].requests;

		for (k = 0; k < requests->len; k++)
			request_free_(requests->pdata[k]);
		g_ptr_array_unref(requests);
	}
	for (i = 0; i < play->c->nodes; i++)
		cb_server_book_delete(play->books[i]);
	for (i = 0; i < LAGS_MAX; i++)
		cb_usage_delete(play->sums[i]);
	cb_rate_limits_delete(play->limits);
	cb_reach_delete(play->reach);
	cb_view_delete(play->view);
	cb_fleet_delete(play->fleet);
	cb_clock_delete(play->clock);
	g_rand_free(play->random);
}

/* Plays a case with one seed, and adds to the tally. */
static void play_run_(const pace_case_t *c, uint32_t seed, int64_t end_ms,
		      tally_t *tally)
{
	double due = 0;
	play_t play;
	unsigned int i;

	play_init_(&play, c, seed, tally);
	for (; play.at_ms < end_ms; play.at_ms += STEP_MS) {
		for (i = 0; i < c->servers; i++) {
			backend_switch_(&play, i);
			if (play.at_ms % HEARTBEAT_MS == 0 ||
			    play.backends[i].started_ms == play.at_ms)
				heartbeat_send_(&play, i);
		}
		if (play.at_ms % SHARE_INTERVAL_MS == 0)
			usage_share_(&play);
		arrivals_send_(&play, &due);
		for (i = 0; i < c->servers; i++)
			if (!play.backends[i].down_since_ms)
				backend_step_(&play, i);
		cb_clock_advance(play.clock, STEP_MS);
	}
	play_clear_(&play);
}

/* Plays a case until `end_ms` with each seed: CB_SEEDS of them, or 2. */
static tally_t seeds_play_(const pace_case_t *c, int64_t end_ms)
{
	const char *seeds_text = g_getenv("CB_SEEDS");
	uint32_t seeds = seeds_text ? (uint32_t)atoi(seeds_text) : 2;
	tally_t tally = { 0 };
	uint32_t seed;

	for (seed = 1; seed <= seeds; seed++)
		play_run_(c, seed, end_ms, &tally);
	return tally;
}

/* Adds up the counts of some seconds. */
static count_t sum_(const count_t *counts, int64_t from_ms, int64_t to_ms)
{
	count_t sum = { 0 };
	int64_t i;

	for (i = from_ms / 1000; i < to_ms / 1000; i++) {
		sum.sent += counts[i].sent;
		sum.in_time += counts[i].in_time;
	}
	return sum;
}

static double ratio_(count_t count)
{
	return count.sent ? (double)count.in_time / count.sent : 1;
}

static count_t all_(const tally_t *tally, int64_t from_ms, int64_t to_ms)
{
	count_t troubled = sum_(tally->troubled, from_ms, to_ms);
	count_t others = sum_(tally->others, from_ms, to_ms);

	return (count_t){ troubled.sent + others.sent,
			  troubled.in_time + others.in_time };
}

/* Returns which part of their fair share the troubled servers carry. */
static double share_(const pace_case_t *c, const tally_t *tally,
		     int64_t from_ms, int64_t to_ms)
{
	return (double)sum_(tally->troubled, from_ms, to_ms).sent /
	       all_(tally, from_ms, to_ms).sent * c->servers / c->troubled;
}

/* Prints which requests are in time there and elsewhere in each second. */
static void seconds_print_(const tally_t *tally)
{
	int64_t at_ms;

	for (at_ms = BACK_MS; at_ms < BACK_MS + SECONDS_CHECKED * 1000;
	     at_ms += 1000) {
		count_t there = sum_(tally->troubled, at_ms, at_ms + 1000);
		count_t others = sum_(tally->others, at_ms, at_ms + 1000);

		printf(" %.3f of %u, %.3f of %u;", ratio_(there), there.sent,
		       ratio_(others), others.sent);
	}
	printf("\n");
}

/*
 * Checks that a server's requests are in time at 0.95 of the neighbours' part from
 * the first second, and that it carries 0.9 of its fair share within 3 s, or twice
 * its stated cold time.
 */
static void return_check_(const pace_case_t *c)
{
	int64_t back_ms = BACK_MS + c->failing_ms;
	int64_t cold_ms = c->states_cold ? c->cold_ms * 2 : 0;
	int64_t full_ms = back_ms + MAX(cold_ms, 3000);
	tally_t tally = seeds_play_(c, full_ms + 3000);
	double share = share_(c, &tally, full_ms, full_ms + 3000);
	gboolean is_met = share >= 0.9;
	int64_t at_ms;

	for (at_ms = back_ms; at_ms < back_ms + SECONDS_CHECKED * 1000;
	     at_ms += 1000)
		is_met &=
			ratio_(sum_(tally.troubled, at_ms, at_ms + 1000)) >=
			0.95 * ratio_(sum_(tally.others, at_ms, at_ms + 1000));
	if (!is_met || g_getenv("CB_SHOW")) {
		printf("    %s: share %.2f;", c->description, share);
		seconds_print_(&tally);
	}
	CU_ASSERT_TRUE(is_met);
}

/* Guards against servers that are flooded after their return, or left idle. */
static void returned_server_is_neither_flooded_nor_idle(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(return_cases); i++)
		return_check_(&return_cases[i]);
}

/* The same where sums tell for 5 s of a trouble that has ended. */
static void sums_that_arrive_late_hold_no_server_back(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(late_cases); i++)
		return_check_(&late_cases[i]);
}

/*
 * Guards against a pace that holds back the only servers there are: 0.97 of the
 * requests are in time from the first second.
 */
static void many_servers_return_at_once(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(many_cases); i++) {
		const pace_case_t *c = &many_cases[i];
		tally_t tally =
			seeds_play_(c, BACK_MS + SECONDS_CHECKED * 1000);
		double lowest = 1;
		int64_t at_ms;

		for (at_ms = BACK_MS; at_ms < BACK_MS + SECONDS_CHECKED * 1000;
		     at_ms += 1000)
			lowest = MIN(lowest,
				     ratio_(all_(&tally, at_ms, at_ms + 1000)));
		if (lowest < 0.97 || g_getenv("CB_SHOW")) {
			printf("    %s: %.3f in time in the worst second:",
			       c->description, lowest);
			seconds_print_(&tally);
		}
		CU_ASSERT_TRUE(lowest >= 0.97);
	}
}

/*
 * Guards against a server that costs requests again and again: one that flaps
 * costs at most one request in 200 more than its absence would.
 */
static void flapping_server_costs_little(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(flap_cases); i++) {
		pace_case_t absent = flap_cases[i];
		tally_t tally = seeds_play_(&flap_cases[i], FLAP_END_MS);
		tally_t absent_tally;
		double cost;

		absent.trouble = TROUBLE_ABSENT;
		absent_tally = seeds_play_(&absent, FLAP_END_MS);
		cost = ratio_(all_(&absent_tally, GONE_MS, FLAP_END_MS)) -
		       ratio_(all_(&tally, GONE_MS, FLAP_END_MS));
		if (cost > 1.0 / 200 || g_getenv("CB_SHOW"))
			printf("    %s: costs %.4f\n",
			       flap_cases[i].description, cost);
		CU_ASSERT_TRUE(cost <= 1.0 / 200);
	}
}

static CU_TestInfo pace_tests[] = {
	{ "returned_server_is_neither_flooded_nor_idle",
	  returned_server_is_neither_flooded_nor_idle },
	{ "sums_that_arrive_late_hold_no_server_back",
	  sums_that_arrive_late_hold_no_server_back },
	{ "many_servers_return_at_once", many_servers_return_at_once },
	{ "flapping_server_costs_little", flapping_server_costs_little },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "server_pace",
				    .pTests = pace_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
