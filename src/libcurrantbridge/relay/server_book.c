#include "private/server_book.h"

#include <math.h>
#include <string.h>

#include "currantbridge/placement.h"
#include "private/pipe_share.h"

#define MS_PER_S 1000.0
/* How long a failed server is avoided, doubled with each failure. */
#define AVOID_INITIAL_MS 500
#define AVOID_MAX_MS 4000
/*
 * How long a server that refused a connection is not used; control notices
 * missing heartbeats sooner.
 */
#define ENDED_AVOID_MS 5000
/* How long this instance reports a failed server as suspected. */
#define SUSPECT_REPORT_MS 1000
/* How long the load that a server reported is used. */
#define LOAD_VALID_MS 1000
/* How long other instances' usage is valid; it arrives a few times a second. */
#define USAGE_VALID_MS 1500
/*
 * What the other instances have begun is known this much later than the sum of
 * their usage arrives: reports and sums are sent every 200 ms.
 */
#define USAGE_DELAY_MS 200
/* Chains can fill this part of the memory: engines fill up unevenly. */
#define FILLED_FRACTION 0.95
/* How long a server without a free slot is avoided, at first. */
#define FULL_AVOID_INITIAL_MS 250
/*
 * Maximum doublings of FULL_AVOID_INITIAL_MS, one with each rejection: a
 * server that rejects all requests is likely down.
 */
#define FULL_AVOID_DOUBLINGS_MAX 3
/*
 * Servers that are not paced get this much more than their fair share, if they are
 * nearly all of a service, while others are paced: the fewer they are, the less.
 */
#define PROVEN_EXTRA_LOAD 0.5
/* Load by slots from which a paced server first has to work off its queue. */
#define BUSY_LOAD 2
/* Lowest weight of a server where no better one is left. */
#define PACED_WEIGHT_MIN 0.01
/* Cost of an avoided server: more than any load makes of another one's. */
#define AVOIDED_COST 1000
/* So many servers are drawn and compared where loads are outdated. */
#define DRAWN_SERVERS 2

/* This instance's record of one server. */
typedef struct server_stats {
	/* This instance's requests in flight at the server. */
	unsigned int running;
	/* Start of the server process that the following is of; 0: not known. */
	int64_t start_wall_ms;
	/*
	 * Sum over the `running` requests: tokens at the end times layers on
	 * the server.
	 */
	double token_layers;
	/* Until when the server is doubtful after failures. */
	int64_t avoid_until_ms;
	/* Until when the server is not used because it was shown to be lost. */
	int64_t lost_until_ms;
	/* Until when the server is avoided because it had no free slot. */
	int64_t full_until_ms;
	/*
	 * Start of the server process that refused a connection, 0: none, and
	 * until when that process is taken for ended.
	 */
	int64_t ended_start_wall_ms;
	int64_t ended_until_ms;
	/* Until when the server wants no requests of this instance. */
	int64_t turned_away_until_ms;
	/*
	 * Start of the server process that turned this instance away, and of
	 * the one that announced its stop in an answer; 0: none.
	 */
	int64_t turned_away_start_wall_ms;
	int64_t leaving_start_wall_ms;
	/* Successive failures or rejections of requests. */
	unsigned int failures_in_row;
	/*
	 * Time of the last failure by which the server may be lost; 0 before
	 * the first.
	 */
	int64_t suspected_ms;
	/* Requests running and waiting at the server, as it reported. */
	int64_t reported_load;
	/* Time of the report of `reported_load`; 0 before the first. */
	int64_t load_reported_ms;
	/*
	 * Usage that this instance last reported, and the sum of the others'
	 * usage.
	 */
	cb_usage_load_t reported_usage;
	cb_usage_load_t others_usage;
} server_stats_t;

struct cb_server_book {
	cb_clock_t *clock;
	const cb_fleet_t *fleet;
	const cb_view_t *view;
	GRand *random;
	cb_rate_limits_t *limits;
	const cb_reach_t *reach;
	cb_pipe_share_t *pipes;
	cb_server_pace_t *pace;
	char *data_centre;
	GHashTable *stats_by_id; /* map: server ID to server_stats_t */
	/* When the other instances' usage was last received; 0: never. */
	int64_t usage_received_ms;
	/* service name to tokens (double) that all instances begin in a second */
	GHashTable *begun_tokens;
};

/*
 * Creates the records; `data_centre` is copied, the other arguments stay the
 * caller's and must outlive them.
 */
cb_server_book_t *cb_server_book_new(cb_clock_t *clock, const cb_fleet_t *fleet,
				     const cb_view_t *view, GRand *random,
				     cb_rate_limits_t *limits,
				     const cb_reach_t *reach,
				     const char *data_centre)
{
	cb_server_book_t *book = g_new0(cb_server_book_t, 1);

	book->clock = clock;
	book->fleet = fleet;
	book->view = view;
	book->random = random;
	book->limits = limits;
	book->reach = reach;
	book->pipes = cb_pipe_share_new(clock);
	book->pace = cb_server_pace_new(clock);
	book->data_centre = g_strdup(data_centre);
	book->stats_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	book->begun_tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return book;
}

/* Frees the records; NULL is allowed. */
void cb_server_book_delete(cb_server_book_t *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->stats_by_id);
	g_hash_table_unref(book->begun_tokens);
	cb_pipe_share_delete(book->pipes);
	cb_server_pace_delete(book->pace);
	g_free(book->data_centre);
	g_free(book);
}

/* Returns the record of a server, creating it if there is none. */
static server_stats_t *stats_get_(cb_server_book_t *book, const char *id)
{
	server_stats_t *stats = g_hash_table_lookup(book->stats_by_id, id);

	if (stats)
		return stats;
	stats = g_new0(server_stats_t, 1);
	g_hash_table_insert(book->stats_by_id, g_strdup(id), stats);
	return stats;
}

static void hop_clear_(void *hop)
{
	g_free(((cb_relay_hop_t *)hop)->id);
	g_free(((cb_relay_hop_t *)hop)->address);
}

/* Returns an empty array of cb_relay_hop_t that frees its hops' strings. */
GArray *cb_relay_hops_new(void)
{
	GArray *hops = g_array_new(FALSE, FALSE, sizeof(cb_relay_hop_t));

	g_array_set_clear_func(hops, hop_clear_);
	return hops;
}

static void hop_add_(GArray *hops, const cb_fleet_server_t *server,
		     uint32_t from, uint32_t to)
{
	cb_relay_hop_t hop = { g_strdup(server->id), g_strdup(server->address),
			       server->start_wall_ms, from, to };

	g_array_append_val(hops, hop);
}

/*
 * Returns for how long this process of a server wants no requests of this
 * instance, in ms; 0: it takes them.
 */
static int64_t turned_away_ms_(const cb_server_book_t *book,
			       const cb_fleet_server_t *server)
{
	const server_stats_t *stats =
		g_hash_table_lookup(book->stats_by_id, server->id);

	if (!stats || stats->turned_away_start_wall_ms != server->start_wall_ms)
		return 0;
	return MAX(stats->turned_away_until_ms - cb_clock_now_ms(book->clock),
		   0);
}

/*
 * Returns after how many ms this process of a server takes a request of this
 * instance; 0: now.
 */
static cb_book_wait_t server_wait_find_(const cb_server_book_t *book,
					const cb_fleet_server_t *server)
{
	int64_t away_ms = turned_away_ms_(book, server);
	int64_t limited_ms =
		cb_rate_limits_wait_ms(book->limits, server->service,
				       server->id, server->start_wall_ms);

	return (cb_book_wait_t){ MAX(away_ms, limited_ms),
				 limited_ms > away_ms };
}

/* Returns whether this process of a server announced its stop in an answer. */
gboolean cb_server_book_is_leaving(const cb_server_book_t *book,
				   const cb_fleet_server_t *server)
{
	const server_stats_t *stats =
		g_hash_table_lookup(book->stats_by_id, server->id);

	return stats && server->start_wall_ms &&
	       stats->leaving_start_wall_ms == server->start_wall_ms;
}

/*
 * Returns whether this process of a server announced its stop in an answer, or
 * has ended.
 */
static gboolean server_is_leaving_(const cb_server_book_t *book,
				   const cb_fleet_server_t *server)
{
	const server_stats_t *stats =
		g_hash_table_lookup(book->stats_by_id, server->id);

	return cb_server_book_is_leaving(book, server) ||
	       (stats && server->start_wall_ms &&
		stats->ended_start_wall_ms == server->start_wall_ms &&
		stats->ended_until_ms > cb_clock_now_ms(book->clock));
}

/* Returns whether a new request may be sent to a server. */
static gboolean server_is_usable_(const cb_server_book_t *book,
				  const cb_book_criteria_t *criteria,
				  const cb_fleet_server_t *server)
{
	if (strcmp(server->service, criteria->service->name) != 0 ||
	    (server->state != CB_FLEET_READY &&
	     server->state != CB_FLEET_SILENT) ||
	    g_hash_table_contains(criteria->excluded_servers, server->id) ||
	    server_is_leaving_(book, server) ||
	    (!criteria->service->engine &&
	     server_wait_find_(book, server).wait_ms))
		return FALSE;
	return !cb_fleet_is_stopped(server, book->view);
}

/* Forgets how an earlier process of a server ended, once another one runs. */
static void process_renew_(cb_server_book_t *book,
			   const cb_fleet_server_t *server)
{
	server_stats_t *stats = stats_get_(book, server->id);

	if (stats->start_wall_ms == server->start_wall_ms)
		return;
	if (stats->start_wall_ms) {
		stats->avoid_until_ms = 0;
		stats->lost_until_ms = 0;
		stats->full_until_ms = 0;
		stats->failures_in_row = 0;
		stats->load_reported_ms = 0;
	}
	stats->start_wall_ms = server->start_wall_ms;
}

static GPtrArray *usable_servers_collect_(cb_server_book_t *book,
					  const cb_book_criteria_t *criteria)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	GPtrArray *usable = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < all->len; i++)
		if (server_is_usable_(book, criteria, all->pdata[i])) {
			process_renew_(book, all->pdata[i]);
			g_ptr_array_add(usable, all->pdata[i]);
		}
	return usable;
}

/*
 * Counts the servers of a service that control takes for ready, and those of
 * them that this instance itself takes for ended, lost or doubtful.
 */
cb_book_count_t cb_server_book_count(const cb_server_book_t *book,
				     const cb_service_profile_t *service)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	cb_book_count_t count = { 0 };
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		const server_stats_t *stats =
			g_hash_table_lookup(book->stats_by_id, server->id);

		if (server->state != CB_FLEET_READY ||
		    strcmp(server->service, service->name) != 0)
			continue;
		count.ready++;
		count.distrusted +=
			stats && (MAX(stats->avoid_until_ms,
				      stats->lost_until_ms) > now_ms ||
				  server_is_leaving_(book, server));
	}
	return count;
}

/* Returns whether a server is silent, lost or doubtful. */
static gboolean server_is_distrusted_(cb_server_book_t *book,
				      const cb_fleet_server_t *server)
{
	const server_stats_t *stats = stats_get_(book, server->id);

	return server->state == CB_FLEET_SILENT ||
	       cb_reach_is_lost(book->reach, server->data_centre) ||
	       MAX(stats->avoid_until_ms, stats->lost_until_ms) >
		       cb_clock_now_ms(book->clock);
}

/* Returns whether a server gets no requests for now, if another one takes them. */
static gboolean server_is_avoided_(cb_server_book_t *book,
				   const cb_fleet_server_t *server)
{
	return server_is_distrusted_(book, server) ||
	       stats_get_(book, server->id)->full_until_ms >
		       cb_clock_now_ms(book->clock);
}

/* Returns how many entry instances are ready, 1 at least. */
static unsigned int ready_instances_count_(const cb_server_book_t *book)
{
	const GPtrArray *instances = cb_view_instances(book->view);
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = instances->pdata[i];

		count += instance->state == CB_INSTANCE_READY;
	}
	return MAX(count, 1);
}

/* Returns whether the other instances' usage is known, from a recent sum. */
static gboolean usage_is_known_(const cb_server_book_t *book)
{
	return book->usage_received_ms &&
	       cb_clock_now_ms(book->clock) - book->usage_received_ms <=
		       USAGE_VALID_MS;
}

/* A server without layers that a request may be sent to. */
typedef struct candidate {
	const cb_fleet_server_t *server;
	double slots;
	double load;	   /* requests there, as far as that is not outdated */
	double known_load; /* requests there, as they were reported */
	gboolean is_avoided;
	cb_pace_t pace;
} candidate_t;

/* Describes the usable servers of a service without layers. */
static GArray *candidates_collect_(cb_server_book_t *book,
				   const cb_book_criteria_t *criteria)
{
	GPtrArray *usable = usable_servers_collect_(book, criteria);
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(candidate_t));
	unsigned int i;

	for (i = 0; i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];
		candidate_t candidate = {
			.server = server,
			.slots = MAX(server->slots, 1),
			.is_avoided = server_is_avoided_(book, server),
			.pace = cb_server_pace_find(
				book->pace, server,
				server_is_distrusted_(book, server)),
		};

		g_array_append_val(candidates, candidate);
	}
	g_ptr_array_unref(usable);
	return candidates;
}

/*
 * Sets the load of each server, as far as known.  Returns whether that is outdated:
 * the other instances send so much until they know of it that the least loaded
 * server would get too much, if all took it.  Then their part is left out.
 */
static gboolean loads_set_(cb_server_book_t *book, const char *service,
			   GArray *candidates)
{
	int64_t now_ms = cb_clock_now_ms(book->clock);
	int64_t age_ms = now_ms - book->usage_received_ms + USAGE_DELAY_MS;
	double residence_ms =
		MAX(cb_server_pace_usual_ms(book->pace, service), 1);
	double slots_min = INFINITY;
	double others = 0;
	gboolean is_outdated;
	unsigned int i;

	for (i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);

		slots_min = MIN(slots_min, candidate->slots);
		others += stats_get_(book, candidate->server->id)
				  ->others_usage.running;
	}
	is_outdated = others * (double)age_ms / residence_ms > slots_min;
	for (i = 0; i < candidates->len; i++) {
		candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);
		const server_stats_t *stats =
			stats_get_(book, candidate->server->id);

		candidate->load = stats->running;
		candidate->known_load =
			stats->running + stats->others_usage.running;
		if (!is_outdated)
			candidate->load = candidate->known_load;
		if (stats->load_reported_ms &&
		    now_ms - stats->load_reported_ms < LOAD_VALID_MS)
			candidate->load = MAX(candidate->load,
					      (double)stats->reported_load);
	}
	return is_outdated;
}

/* How the requests of a service are divided between its servers. */
typedef struct division {
	double slots; /* of all servers that are not avoided */
	/*
	 * The weights of paced servers are raised by this factor, so that the
	 * others get little more than their fair share.
	 */
	double factor;
	/* Whether the others can serve all requests that may run only once. */
	gboolean serves_once;
} division_t;

static division_t division_compute_(const GArray *candidates)
{
	division_t division = { .factor = 1 };
	double fraction;
	double proven = 0;
	double paced = 0;
	unsigned int i;

	for (i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);

		if (candidate->is_avoided)
			continue;
		division.slots += candidate->slots;
		if (candidate->pace.weight >= 1)
			proven += candidate->slots;
		else
			paced += candidate->slots * candidate->pace.weight;
	}
	fraction = proven / MAX(division.slots, 1);
	if (paced > 0)
		division.factor =
			MAX((division.slots -
			     proven * (1 +
				       PROVEN_EXTRA_LOAD * pow(fraction, 2))) /
				    paced,
			    1);
	division.serves_once =
		proven * (1 + PROVEN_EXTRA_LOAD) >= division.slots;
	return division;
}

/*
 * Draws a paced server, each with the part of its fair share that its pace allows.
 * Returns NULL if the request goes to one of the others.
 */
static const candidate_t *paced_draw_(cb_server_book_t *book,
				      const cb_book_criteria_t *criteria,
				      const GArray *candidates,
				      const division_t *division)
{
	double drawn = g_rand_double(book->random) * division->slots;
	unsigned int i;

	for (i = 0; i < candidates->len; i++) {
		const candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);
		double weight =
			MIN(candidate->pace.weight * division->factor, 1);

		if (candidate->pace.weight >= 1 || candidate->is_avoided ||
		    candidate->known_load >= BUSY_LOAD * candidate->slots ||
		    (criteria->runs_once && !candidate->pace.is_shown &&
		     division->serves_once))
			continue;
		if (drawn < candidate->slots * weight)
			return candidate;
		drawn -= candidate->slots * weight;
	}
	return NULL;
}

/*
 * Returns the cost of a server: its load divided by its slots, plus a small
 * random number to choose between equals.
 */
static double cost_compute_(cb_server_book_t *book,
			    const candidate_t *candidate, double factor)
{
	double weight = candidate->pace.weight;
	double cost = candidate->load / candidate->slots;

	if (weight < 1)
		cost = (candidate->load + 1) / candidate->slots /
		       MIN(MAX(weight * factor, PACED_WEIGHT_MIN), 1);
	if (candidate->is_avoided)
		cost += AVOIDED_COST;
	return cost + 0.01 * g_rand_double(book->random);
}

/*
 * Returns the server of the lowest cost, or only that of a few which are drawn.
 * `is_proven`: of those that are neither paced nor full.
 */
static const candidate_t *cheapest_find_(cb_server_book_t *book,
					 const GArray *candidates,
					 double factor, gboolean is_proven,
					 gboolean is_drawn)
{
	GPtrArray *choice = g_ptr_array_new();
	const candidate_t *best = NULL;
	double best_cost = INFINITY;
	unsigned int i;

	for (i = 0; i < candidates->len; i++) {
		candidate_t *candidate =
			&g_array_index(candidates, candidate_t, i);

		if (!is_proven ||
		    (candidate->pace.weight >= 1 && !candidate->is_avoided &&
		     candidate->load < candidate->slots))
			g_ptr_array_add(choice, candidate);
	}
	for (i = 0; i < (is_drawn && choice->len ? DRAWN_SERVERS : choice->len);
	     i++) {
		unsigned int k = is_drawn ? (unsigned int)g_rand_int_range(
						    book->random, 0,
						    (int32_t)choice->len) :
					    i;
		double cost = cost_compute_(book, choice->pdata[k], factor);

		if (cost < best_cost) {
			best_cost = cost;
			best = choice->pdata[k];
		}
	}
	g_ptr_array_unref(choice);
	return best;
}

/*
 * Chooses a server without layers: a paced one within its pace, or else one that
 * is not paced and has a free slot, or else any.
 */
static cb_book_outcome_t server_without_layers_choose_(
	cb_server_book_t *book, const cb_book_criteria_t *criteria,
	GArray *hops)
{
	GArray *candidates = candidates_collect_(book, criteria);
	division_t division = division_compute_(candidates);
	gboolean is_outdated =
		loads_set_(book, criteria->service->name, candidates);
	const candidate_t *best =
		paced_draw_(book, criteria, candidates, &division);

	if (!best)
		best = cheapest_find_(book, candidates, 1, TRUE, is_outdated);
	if (!best)
		best = cheapest_find_(book, candidates, division.factor, FALSE,
				      FALSE);
	if (best)
		hop_add_(hops, best->server, 0, 0);
	g_array_unref(candidates);
	return best ? CB_BOOK_FOUND : CB_BOOK_NO_SERVER;
}

/*
 * Returns what all instances have in flight at a server, as far as it is known:
 * only this instance's own without a recent sum.
 */
static cb_usage_load_t usage_known_sum_(const cb_server_book_t *book,
					const server_stats_t *stats)
{
	cb_usage_load_t sum = { .running = stats->running,
				.token_layers = stats->token_layers };

	if (usage_is_known_(book)) {
		sum.running += stats->others_usage.running;
		sum.token_layers += stats->others_usage.token_layers;
	}
	return sum;
}

/* Returns how many different data centres servers are in, 1 at least. */
static unsigned int centres_count_(const GPtrArray *servers)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int count;
	unsigned int i;

	for (i = 0; i < servers->len; i++)
		g_hash_table_add(seen, ((cb_fleet_server_t *)servers->pdata[i])
					       ->data_centre);
	count = g_hash_table_size(seen);
	g_hash_table_unref(seen);
	return MAX(count, 1);
}

/* What the other instances have most likely begun and no sum tells of. */
typedef struct unseen_load {
	/* tokens since the last sum, in each data centre */
	double begun_tokens;
	/* Tokens on each engine while there is no recent sum at all; else 0. */
	double spread_tokens;
} unseen_load_t;

/* Returns the tokens that an engine has for each request on the whole, 1 at least. */
static double usual_tokens_(const cb_engine_profile_t *engine)
{
	return MAX(engine->usual_prompt_tokens + engine->usual_answer_tokens,
		   1);
}

/*
 * Returns what the others have in flight on each engine, spread evenly: as much as
 * the last sum told, or else as much as this instance, one request at least.
 */
static double spread_tokens_compute_(cb_server_book_t *book,
				     const cb_engine_profile_t *engine,
				     const GPtrArray *usable,
				     unsigned int instance_count)
{
	double own = 0;
	double others = 0;
	double held_layers = 0;
	unsigned int i;

	for (i = 0; i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];
		const server_stats_t *stats = stats_get_(book, server->id);

		own += stats->token_layers;
		others += stats->others_usage.token_layers;
		held_layers += server->layer_to - server->layer_from;
	}
	if (!held_layers)
		return 0;
	if (!book->usage_received_ms)
		others = MAX(own, usual_tokens_(engine) * engine->layers) *
			 (instance_count - 1);
	return others / held_layers;
}

/* Estimates what the other instances have begun and no sum tells of. */
static unseen_load_t unseen_load_compute_(cb_server_book_t *book,
					  const cb_service_profile_t *service,
					  const GPtrArray *usable,
					  unsigned int instance_count)
{
	const double *begun =
		g_hash_table_lookup(book->begun_tokens, service->name);
	int64_t age_ms = cb_clock_now_ms(book->clock) - book->usage_received_ms;
	unseen_load_t unseen = { 0 };

	if (!usage_is_known_(book))
		unseen.spread_tokens =
			spread_tokens_compute_(book, service->engine, usable,
					       instance_count);
	else if (begun)
		unseen.begun_tokens = *begun *
				      (double)(age_ms + USAGE_DELAY_MS) /
				      MS_PER_S * (instance_count - 1) /
				      instance_count / centres_count_(usable);
	return unseen;
}

/*
 * Adds what other instances may have begun at an engine to its load.  Each
 * request draws how much of it: otherwise all instances would take the same
 * engine until the next sum, and most would be rejected.  On the whole, as many
 * requests find room at the engine as it has.
 */
static void unseen_load_add_(const cb_server_book_t *book,
			     const cb_engine_profile_t *engine,
			     const unseen_load_t *unseen,
			     cb_chain_server_t *input)
{
	double drawn =
		-log(1 - g_rand_double(book->random)) * unseen->begun_tokens +
		g_rand_double_range(book->random, 0.5, 1.5) *
			unseen->spread_tokens;

	input->free_tokens -= drawn;
	input->running += drawn / usual_tokens_(engine);
}

/* Describes an engine as input of cb_chain_choose(). */
static cb_chain_server_t chain_input_make_(cb_server_book_t *book,
					   const cb_engine_profile_t *engine,
					   const cb_fleet_server_t *server,
					   const cb_relay_hop_t *kept_hop)
{
	int64_t now_ms = cb_clock_now_ms(book->clock);
	const cb_engine_kind_t *kind =
		cb_engine_profile_kind(engine, server->kind);
	const server_stats_t *stats = stats_get_(book, server->id);
	uint32_t layers = server->layer_to - server->layer_from;
	cb_usage_load_t usage = usage_known_sum_(book, stats);
	cb_chain_server_t input = { .data_centre = server->data_centre,
				    .from = server->layer_from,
				    .to = server->layer_to };

	if (!kind || !layers || server->is_moving) {
		input.to = input.from;
		return input;
	}
	input.pace =
		kind->step_time_factor * MAX(server->slow_percent, 100) / 100;
	input.read_pace =
		kind->read_time_factor * MAX(server->slow_percent, 100) / 100;
	if (kept_hop) {
		input.kept_from = kept_hop->layer_from;
		input.kept_to = kept_hop->layer_to;
	}
	input.running = usage.running;
	input.slots = server->slots;
	input.free_tokens =
		cb_placement_token_capacity(engine, kind->memory_mb, layers) -
		usage.token_layers / layers;
	input.is_silent = server->state == CB_FLEET_SILENT;
	input.is_first_barred = server_wait_find_(book, server).wait_ms > 0;
	/* A server without a free slot still runs what it has begun. */
	input.is_avoided = stats->lost_until_ms > now_ms ||
			   (stats->full_until_ms > now_ms && !kept_hop);
	input.is_doubtful =
		stats->avoid_until_ms > now_ms ||
		cb_reach_is_lost(book->reach, server->data_centre) ||
		stats->others_usage.suspecting_instances >=
			CB_USAGE_SUSPECTING_MIN;
	return input;
}

/* Returns the hop of a chain at a server, or NULL. */
static const cb_relay_hop_t *hop_find_(const GArray *hops, const char *id)
{
	unsigned int i;

	for (i = 0; hops && i < hops->len; i++)
		if (!strcmp(g_array_index(hops, cb_relay_hop_t, i).id, id))
			return &g_array_index(hops, cb_relay_hop_t, i);
	return NULL;
}

/* Sets the required first server; FALSE if it is not usable. */
static gboolean first_server_find_(const GPtrArray *usable,
				   const GArray *running_hops,
				   cb_chain_criteria_t *criteria)
{
	const cb_relay_hop_t *first =
		running_hops ? &g_array_index(running_hops, cb_relay_hop_t, 0) :
			       NULL;
	unsigned int i;

	for (i = 0; first && i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];

		if (strcmp(server->id, first->id) != 0)
			continue;
		criteria->first_server = i;
		criteria->first_to = first->layer_to;
		return TRUE;
	}
	return !first;
}

static cb_book_outcome_t chain_choose_(cb_server_book_t *book,
				       const cb_book_criteria_t *criteria,
				       GArray *hops)
{
	const cb_engine_profile_t *engine = criteria->service->engine;
	cb_chain_criteria_t chain_criteria = {
		.data_centre = book->data_centre,
		.tokens = criteria->tokens,
		.reads_again = criteria->running_hops != NULL,
	};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(cb_chain_part_t));
	GPtrArray *usable = usable_servers_collect_(book, criteria);
	cb_chain_server_t *inputs = g_new0(cb_chain_server_t, usable->len + 1);
	unsigned int instance_count = ready_instances_count_(book);
	const unseen_load_t unseen =
		unseen_load_compute_(book, criteria->service, usable,
				     instance_count);
	cb_chain_outcome_t outcome;
	unsigned int i;

	chain_criteria.forbids_crossing =
		criteria->forbids_crossing ||
		!cb_pipe_share_has_room(book->pipes, criteria->service->name,
					engine->pipe_mbps, instance_count);
	for (i = 0; i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];
		const cb_relay_hop_t *kept_hop =
			hop_find_(criteria->running_hops, server->id);

		inputs[i] = chain_input_make_(book, engine, server, kept_hop);
		if (!kept_hop)
			unseen_load_add_(book, engine, &unseen, &inputs[i]);
	}
	if (!first_server_find_(usable, criteria->running_hops,
				&chain_criteria))
		outcome = CB_CHAIN_NO_HOLDER;
	else
		outcome = cb_chain_choose(engine, inputs, usable->len,
					  &chain_criteria, book->random, parts);
	for (i = 0; i < parts->len; i++) {
		const cb_chain_part_t *part =
			&g_array_index(parts, cb_chain_part_t, i);

		hop_add_(hops, usable->pdata[part->server], part->from,
			 part->to);
	}
	g_free(inputs);
	g_ptr_array_unref(usable);
	g_array_unref(parts);
	if (outcome == CB_CHAIN_FOUND)
		return CB_BOOK_FOUND;
	return outcome == CB_CHAIN_NO_ROOM ? CB_BOOK_NO_ROOM :
					     CB_BOOK_NO_SERVER;
}

/*
 * Chooses the server of a service without layers, or the chain of engines of
 * one with layers.  `hops` must be empty; it stays so unless the outcome is
 * CB_BOOK_FOUND.
 */
cb_book_outcome_t cb_server_book_choose(cb_server_book_t *book,
					const cb_book_criteria_t *criteria,
					GArray *hops)
{
	return criteria->service->engine ?
		       chain_choose_(book, criteria, hops) :
		       server_without_layers_choose_(book, criteria, hops);
}

/* Some engines together, as holders of the layers. */
typedef struct holders {
	/* For each layer: KV cache of its holders, and of the largest of them. */
	double *layer_tokens;
	double *largest_tokens;
	double first_slots; /* slots of the holders of the first layer */
} holders_t;

/* Adds what a server can hold to the sums of its layers. */
static void holder_add_(holders_t *holders, const cb_engine_profile_t *engine,
			const cb_fleet_server_t *server)
{
	const cb_engine_kind_t *kind =
		cb_engine_profile_kind(engine, server->kind);
	double tokens;
	uint32_t i;

	if (!kind)
		return;
	tokens = cb_placement_token_capacity(engine, kind->memory_mb,
					     server->layer_to -
						     server->layer_from);
	for (i = server->layer_from; i < MIN(server->layer_to, engine->layers);
	     i++) {
		holders->layer_tokens[i] += tokens;
		holders->largest_tokens[i] =
			MAX(holders->largest_tokens[i], tokens);
	}
	if (!server->layer_from)
		holders->first_slots += server->slots;
}

/*
 * Returns what the engines of a data centre (NULL: of all) hold at the same time:
 * as many tokens as fit on each layer, in no more requests than first engines have
 * slots.  Silent engines count: requests pass through them, and while control is
 * away all are silent.
 */
static cb_book_capacity_t centre_capacity_compute_(
	const cb_server_book_t *book, const GPtrArray *usable,
	const cb_engine_profile_t *engine, const char *data_centre)
{
	holders_t holders = { 0 };
	int64_t now_ms = cb_clock_now_ms(book->clock);
	cb_book_capacity_t capacity = { INFINITY, INFINITY };
	unsigned int i;

	holders.layer_tokens = g_new0(double, engine->layers + 1);
	holders.largest_tokens = g_new0(double, engine->layers + 1);
	for (i = 0; i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];
		const server_stats_t *stats =
			g_hash_table_lookup(book->stats_by_id, server->id);

		if (!server->is_moving &&
		    !(stats && stats->lost_until_ms > now_ms) &&
		    (!data_centre || !strcmp(server->data_centre, data_centre)))
			holder_add_(&holders, engine, server);
	}
	for (i = 0; i < engine->layers; i++) {
		capacity.tokens = MIN(capacity.tokens, holders.layer_tokens[i]);
		capacity.largest_tokens =
			MIN(capacity.largest_tokens, holders.largest_tokens[i]);
	}
	if (holders.first_slots > 0)
		capacity.tokens =
			MIN(capacity.tokens,
			    holders.first_slots * usual_tokens_(engine));
	g_free(holders.layer_tokens);
	g_free(holders.largest_tokens);
	return capacity;
}

/*
 * Returns the capacity of a service: the sum over data centres that hold all
 * layers, or that of all engines together if it is more.
 */
cb_book_capacity_t cb_server_book_find_capacity(
	cb_server_book_t *book, const cb_service_profile_t *service)
{
	const cb_engine_profile_t *engine = service->engine;
	GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
	const cb_book_criteria_t criteria = { .service = service,
					      .excluded_servers = none };
	GPtrArray *usable = usable_servers_collect_(book, &criteria);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	cb_book_capacity_t all =
		centre_capacity_compute_(book, usable, engine, NULL);
	double sum = 0;
	unsigned int i;

	for (i = 0; i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];

		if (g_hash_table_add(seen, server->data_centre))
			sum += centre_capacity_compute_(book, usable, engine,
							server->data_centre)
				       .tokens;
	}
	all.tokens = MAX(all.tokens, sum) * FILLED_FRACTION;
	g_hash_table_unref(seen);
	g_hash_table_unref(none);
	g_ptr_array_unref(usable);
	return all;
}

/* Returns the use of a service with layers, as far as it is known. */
cb_book_use_t cb_server_book_find_use(const cb_server_book_t *book,
				      const cb_service_profile_t *service)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	cb_book_use_t use = { .instances = ready_instances_count_(book) };
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		const server_stats_t *stats =
			g_hash_table_lookup(book->stats_by_id, server->id);

		if (!stats || strcmp(server->service, service->name) != 0)
			continue;
		use.tokens += usage_known_sum_(book, stats).token_layers;
		use.own_tokens += stats->token_layers;
	}
	use.tokens /= service->engine->layers;
	use.own_tokens /= service->engine->layers;
	return use;
}

/* Adds a request to the records of its servers; `sign` -1 removes it. */
static void usage_add_(cb_server_book_t *book, const GArray *hops,
		       double tokens, int sign)
{
	unsigned int i;

	for (i = 0; i < hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(hops, cb_relay_hop_t, i);
		server_stats_t *stats = stats_get_(book, hop->id);

		stats->running += (unsigned int)sign;
		stats->token_layers +=
			sign * tokens * (hop->layer_to - hop->layer_from);
	}
}

/*
 * Records what a request sends between data centres on its way through a chain.
 */
void cb_server_book_record_crossings(cb_server_book_t *book,
				     const cb_service_profile_t *service,
				     const GArray *hops, double tokens)
{
	const char *previous = NULL;
	unsigned int crossings = 0;
	unsigned int i;

	for (i = 0; service->engine && i < hops->len; i++) {
		const cb_fleet_server_t *server = cb_fleet_find(
			book->fleet, g_array_index(hops, cb_relay_hop_t, i).id);

		if (!server)
			continue;
		crossings +=
			previous && strcmp(previous, server->data_centre) != 0;
		previous = server->data_centre;
	}
	if (crossings)
		cb_pipe_share_take(book->pipes, service->name,
				   crossings * tokens *
					   service->engine->activation_bytes);
}

/* Counts a request as in flight at its servers. */
void cb_server_book_begin_request(cb_server_book_t *book, const GArray *hops,
				  double tokens)
{
	usage_add_(book, hops, tokens, 1);
}

/* Ends what cb_server_book_begin_request() began, with the same arguments. */
void cb_server_book_end_request(cb_server_book_t *book, const GArray *hops,
				double tokens)
{
	usage_add_(book, hops, tokens, -1);
}

/*
 * Returns whether a server is to be reported as one that may be lost.  What this
 * instance sees while its own way to the server is in doubt is no reason.
 */
static gboolean server_is_suspected_(const cb_server_book_t *book,
				     const char *id,
				     const server_stats_t *stats)
{
	const cb_fleet_server_t *server;

	if (!stats->suspected_ms ||
	    cb_clock_now_ms(book->clock) - stats->suspected_ms >=
		    SUSPECT_REPORT_MS)
		return FALSE;
	server = cb_fleet_find(book->fleet, id);
	return !server ||
	       !cb_reach_is_doubtful(book->reach, server->data_centre);
}

/* Returns what this instance reports on the servers; the caller deletes it. */
cb_usage_t *cb_server_book_collect_usage(cb_server_book_t *book)
{
	cb_usage_t *usage = cb_usage_new();
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, book->stats_by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		server_stats_t *stats = value;

		stats->reported_usage = (cb_usage_load_t){
			.running = stats->running,
			.token_layers = stats->token_layers,
			.suspecting_instances =
				server_is_suspected_(book, id, stats),
		};
		if (stats->running ||
		    stats->reported_usage.suspecting_instances)
			cb_usage_add_load(usage, id, &stats->reported_usage);
	}
	cb_server_pace_add_usage(book->pace, usage);
	return usage;
}

/* Adds a server's address to the list, which is created if it is NULL. */
static GPtrArray *suspect_add_(const cb_server_book_t *book,
			       GPtrArray *suspects, const char *id)
{
	const cb_fleet_server_t *server = cb_fleet_find(book->fleet, id);

	if (!server || server->state == CB_FLEET_GONE)
		return suspects;
	if (!suspects)
		suspects = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(suspects, g_strdup(server->address));
	return suspects;
}

/*
 * Sets how many tokens a second all instances together begin in a service's
 * requests, as far as it is known.
 */
void cb_server_book_set_begun(cb_server_book_t *book, const char *service,
			      double tokens_per_s)
{
	double *begun = g_hash_table_lookup(book->begun_tokens, service);

	if (!begun) {
		begun = g_new0(double, 1);
		g_hash_table_insert(book->begun_tokens, g_strdup(service),
				    begun);
	}
	*begun = tokens_per_s;
}

/*
 * Sets the other instances' usage: the sum less this instance's last report.
 * Returns the addresses of the servers that another instance has begun to
 * suspect, or NULL; the caller unrefs them.
 */
GPtrArray *cb_server_book_update_usage(cb_server_book_t *book,
				       const cb_usage_t *sum)
{
	GPtrArray *suspects = NULL;
	GHashTableIter iter;
	void *value;
	void *id;

	book->usage_received_ms = cb_clock_now_ms(book->clock);
	cb_server_pace_update(book->pace, sum);
	g_hash_table_iter_init(&iter, sum->by_server);
	while (g_hash_table_iter_next(&iter, &id, &value))
		(void)stats_get_(book, id);
	g_hash_table_iter_init(&iter, book->stats_by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		server_stats_t *stats = value;
		unsigned int suspecting =
			stats->others_usage.suspecting_instances;

		stats->others_usage = cb_usage_find_load(sum, id);
		stats->others_usage.running -=
			MIN(stats->others_usage.running,
			    stats->reported_usage.running);
		stats->others_usage.suspecting_instances -=
			MIN(stats->others_usage.suspecting_instances,
			    stats->reported_usage.suspecting_instances);
		stats->others_usage.token_layers =
			MAX(stats->others_usage.token_layers -
				    stats->reported_usage.token_layers,
			    0);
		if (!suspecting && stats->others_usage.suspecting_instances)
			suspects = suspect_add_(book, suspects, id);
	}
	return suspects;
}

/* Records that the server at an address had no free slot, to avoid it. */
void cb_server_book_mark_full(cb_server_book_t *book, const char *address)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		server_stats_t *stats;

		if (server->state == CB_FLEET_GONE ||
		    strcmp(server->address, address) != 0)
			continue;
		stats = stats_get_(book, server->id);
		/*
		 * Requests that are rejected together count as one rejection.
		 */
		if (stats->full_until_ms > now_ms)
			continue;
		/* That an engine has no memory left says nothing about it. */
		if (!server->layer_to)
			cb_server_pace_record_failure(book->pace, server->id);
		stats->full_until_ms =
			now_ms + (FULL_AVOID_INITIAL_MS
				  << MIN(stats->failures_in_row,
					 FULL_AVOID_DOUBLINGS_MAX));
		stats->failures_in_row++;
	}
}

/*
 * Records that a server's process wants no requests of this instance for
 * `away_ms`.  A shorter time than one recorded before changes nothing.
 */
void cb_server_book_record_turned_away(cb_server_book_t *book,
				       const cb_relay_hop_t *hop,
				       int64_t away_ms)
{
	server_stats_t *stats = stats_get_(book, hop->id);
	int64_t until_ms = cb_clock_now_ms(book->clock) + away_ms;

	if (stats->turned_away_start_wall_ms != hop->start_wall_ms)
		stats->turned_away_until_ms = 0;
	stats->turned_away_start_wall_ms = hop->start_wall_ms;
	stats->turned_away_until_ms =
		MAX(stats->turned_away_until_ms, until_ms);
}

/*
 * Records that a server's process has most likely ended: its port refused a
 * connection.  The server is not used before its next process announces itself,
 * for ENDED_AVOID_MS at most: one with too many connections refuses some too.
 */
void cb_server_book_record_end(cb_server_book_t *book,
			       const cb_relay_hop_t *hop)
{
	server_stats_t *stats = stats_get_(book, hop->id);

	cb_server_pace_record_failure(book->pace, hop->id);
	stats->ended_start_wall_ms = hop->start_wall_ms;
	stats->ended_until_ms = cb_clock_now_ms(book->clock) + ENDED_AVOID_MS;
	stats->suspected_ms = cb_clock_now_ms(book->clock);
}

/* Records that a server's process announced its stop in an answer. */
void cb_server_book_record_leaving(cb_server_book_t *book,
				   const cb_relay_hop_t *hop)
{
	stats_get_(book, hop->id)->leaving_start_wall_ms = hop->start_wall_ms;
}

/*
 * Returns for how long no server of a service takes requests of this instance, and
 * why.  Of a service with layers, only engines that hold the first one count.
 */
cb_book_wait_t cb_server_book_find_wait(const cb_server_book_t *book,
					const cb_service_profile_t *service)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	cb_book_wait_t shortest = { INT64_MAX, FALSE };
	gboolean is_found = FALSE;
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		cb_book_wait_t wait;

		if (strcmp(server->service, service->name) != 0 ||
		    server->state != CB_FLEET_READY ||
		    (service->engine &&
		     (server->layer_from || !server->layer_to)) ||
		    server_is_leaving_(book, server) ||
		    cb_fleet_is_stopped(server, book->view))
			continue;
		wait = server_wait_find_(book, server);
		if (!is_found || wait.wait_ms < shortest.wait_ms)
			shortest = wait;
		is_found = TRUE;
	}
	return is_found ? shortest : (cb_book_wait_t){ 0, FALSE };
}

/* Records the numbers of requests that a server reported in an answer. */
void cb_server_book_record_load(cb_server_book_t *book, const char *id,
				int64_t running, int64_t waiting)
{
	server_stats_t *stats = stats_get_(book, id);

	stats->reported_load = running + waiting;
	stats->load_reported_ms = cb_clock_now_ms(book->clock);
}

/*
 * Records that a request failed at a server, which is avoided for a while.
 * `may_be_lost`: the other instances are told that the server may be lost.
 */
void cb_server_book_record_failure(cb_server_book_t *book, const char *id,
				   gboolean may_be_lost)
{
	server_stats_t *stats = stats_get_(book, id);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	int64_t avoid_ms = AVOID_INITIAL_MS << MIN(stats->failures_in_row, 4);

	cb_server_pace_record_failure(book->pace, id);
	stats->failures_in_row++;
	stats->avoid_until_ms = now_ms + MIN(avoid_ms, AVOID_MAX_MS);
	if (may_be_lost)
		stats->suspected_ms = now_ms;
}

/*
 * Records that the server at an address is lost, as another one or its own port
 * shows, and adds its ID to `tried` (NULL: to none).  Returns FALSE if no server has that
 * address.
 */
gboolean cb_server_book_record_loss_at(cb_server_book_t *book,
				       const char *address, GHashTable *tried)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	gboolean is_found = FALSE;
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		server_stats_t *stats;

		if (server->state == CB_FLEET_GONE ||
		    strcmp(server->address, address) != 0)
			continue;
		cb_server_book_record_failure(book, server->id, TRUE);
		stats = stats_get_(book, server->id);
		stats->lost_until_ms = stats->avoid_until_ms;
		if (tried)
			g_hash_table_add(tried, g_strdup(server->id));
		is_found = TRUE;
	}
	return is_found;
}

/* Forgets what made this instance avoid the servers of a data centre. */
void cb_server_book_forget_losses(cb_server_book_t *book,
				  const char *data_centre)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		server_stats_t *stats;

		if (g_strcmp0(server->data_centre, data_centre) != 0)
			continue;
		stats = stats_get_(book, server->id);
		stats->avoid_until_ms = 0;
		stats->lost_until_ms = 0;
		stats->ended_until_ms = 0;
		stats->suspected_ms = 0;
		stats->failures_in_row = 0;
		cb_server_pace_forget(book->pace, server->id);
	}
}

/* Records that the servers of a chain have served a request. */
void cb_server_book_record_success(cb_server_book_t *book, const GArray *hops)
{
	unsigned int i;

	for (i = 0; i < hops->len; i++)
		stats_get_(book, g_array_index(hops, cb_relay_hop_t, i).id)
			->failures_in_row = 0;
}

void cb_server_book_record_time(cb_server_book_t *book, const GArray *hops,
				const char *service, const char *kind,
				int64_t time_ms)
{
	unsigned int i;

	for (i = 0; i < hops->len; i++)
		cb_server_pace_record_time(
			book->pace, g_array_index(hops, cb_relay_hop_t, i).id,
			service, kind, time_ms);
}

cb_server_pace_t *cb_server_book_pace(cb_server_book_t *book)
{
	return book->pace;
}
