#include "currantbridge/chain.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Cost of any hop: sending a token on and waiting for the next pass. */
#define HOP_COST_MS 1.0
/*
 * Cost of a change of data centre between two engines: the link that all
 * requests share transfers about 20 MB per request, one request after another,
 * so that a few dozen requests per second saturate it.
 */
#define CROSSING_COST_MS 400.0
/*
 * Cost of a first engine in another data centre than the entry instance: only
 * the request itself is transferred.
 */
#define FIRST_CROSSING_COST_MS 2.0
/* A silent server is used only where it saves two changes of data centre. */
#define SILENT_SERVER_COST_MS 600.0
/*
 * Cost of an engine where requests failed recently: more than two changes of
 * data centre.
 */
#define DOUBTFUL_SERVER_COST_MS 1000.0
/*
 * Cost of a first engine whose slots are all in use, where requests queue; with
 * fewer in use it is proportionally less.
 */
#define FULL_SLOTS_COST_MS 40.0
/*
 * Largest random increase of a layer's cost, as a share of it: spreads requests
 * over chains of similar cost.
 */
#define COST_JITTER 0.25
/*
 * Largest random increase of the cost of reading again, as a multiple of it:
 * the streams of a lost engine, which many instances move at the same moment,
 * would otherwise all queue at the same one.
 */
#define READ_JITTER 3.0
/* A layer costs up to this many times more as its server's memory fills up. */
#define FILL_COST_FACTOR 3.0

/* The cheapest chain found so far that runs all layers below a given one. */
typedef struct partial_chain {
	/* cost of the chain; INFINITY if no chain was found */
	double cost_ms;
	/* index of the chain's last server; -1 if the chain is empty */
	int last_server;
	uint32_t last_from; /* first layer that the last server runs */
	/* Number of the data centre of the chain's last server but one. */
	unsigned int previous_centre;
} partial_chain_t;

/*
 * The search for a chain, by dynamic programming over the layers.  It keeps one
 * partial chain for each layer and each data centre of the last server: the
 * cheapest one to a layer may have to change its data centre there while
 * another one need not.
 */
typedef struct search {
	const cb_chain_server_t *servers;
	const cb_chain_criteria_t *criteria;
	uint32_t layers;	      /* number of layers of the model */
	unsigned int *server_centres; /* number of each server's data centre */
	unsigned int centre_count;
	partial_chain_t *partials; /* (layers + 1) rows of centre_count */
	/* For each server, the cost in ms of a step of one layer. */
	double *step_costs_ms;
	/* For each server, the cost in ms to read the request in one layer. */
	double *read_costs_ms;
} search_t;

/* Returns the cost in ms of a step of one layer at each server; to be freed. */
static double *step_costs_compute_(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_criteria_t *criteria,
				   GRand *random)
{
	double *step_costs_ms = g_new(double, count);
	double context_k = criteria->tokens / 1000;
	unsigned int i;

	for (i = 0; i < count; i++) {
		const cb_chain_server_t *server = &servers[i];
		double pass_ms = engine->step_ms +
				 (server->running + 1) *
					 (engine->per_sequence_ms +
					  engine->context_per_k_ms * context_k);
		double fill_ratio =
			server->free_tokens > 0 ?
				criteria->tokens / server->free_tokens :
				1;

		step_costs_ms[i] = pass_ms * server->pace * engine->stride /
				   engine->layers *
				   (1 + FILL_COST_FACTOR * MIN(fill_ratio, 1)) *
				   (1 + COST_JITTER * g_rand_double(random));
	}
	return step_costs_ms;
}

/*
 * Returns the time in ms that each server takes to read the request's tokens
 * in one layer; 0 where the request begins.  The caller frees it.
 */
static double *read_costs_compute_(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_criteria_t *criteria,
				   GRand *random)
{
	double *read_costs_ms = g_new0(double, count);
	unsigned int i;

	for (i = 0; criteria->reads_again && i < count; i++)
		read_costs_ms[i] = criteria->tokens * MS_PER_S /
				   engine->read_tokens_per_s *
				   servers[i].read_pace / engine->layers *
				   (1 + READ_JITTER * g_rand_double(random));
	return read_costs_ms;
}

/* Assigns a number, from 0 on, to each data centre of the servers. */
static void centres_enumerate_(search_t *search, unsigned int count)
{
	unsigned int *first_servers = g_new(unsigned int, count + 1);
	unsigned int i;
	unsigned int k;

	search->server_centres = g_new(unsigned int, count + 1);
	for (i = 0; i < count; i++) {
		for (k = 0; k < search->centre_count; k++)
			if (!strcmp(search->servers[first_servers[k]]
					    .data_centre,
				    search->servers[i].data_centre))
				break;
		if (k == search->centre_count)
			first_servers[search->centre_count++] = i;
		search->server_centres[i] = k;
	}
	g_free(first_servers);
}

static partial_chain_t *partial_chain_at_(const search_t *search,
					  uint32_t layer, unsigned int centre)
{
	return &search->partials[layer * search->centre_count + centre];
}

/*
 * Returns the cost in ms of the hop to a server from the server `before`, or
 * from the entry instance if that is -1.
 */
static double hop_cost_compute_(const search_t *search, int before,
				unsigned int index)
{
	const cb_chain_server_t *server = &search->servers[index];
	double cost_ms = HOP_COST_MS;

	if (before < 0 &&
	    strcmp(search->criteria->data_centre, server->data_centre) != 0)
		cost_ms += FIRST_CROSSING_COST_MS;
	else if (before >= 0 && search->server_centres[before] !=
					search->server_centres[index])
		cost_ms += search->criteria->forbids_crossing ?
				   INFINITY :
				   CROSSING_COST_MS;
	if (before < 0 && server->slots)
		cost_ms += FULL_SLOTS_COST_MS * server->running / server->slots;
	if (server->is_doubtful)
		cost_ms += DOUBTFUL_SERVER_COST_MS;
	if (server->is_silent)
		cost_ms += SILENT_SERVER_COST_MS;
	return cost_ms;
}

/* Whether a server already runs a part of a partial chain. */
static gboolean partial_chain_has_server_(const search_t *search,
					  uint32_t layer, unsigned int centre,
					  int server)
{
	while (layer) {
		const partial_chain_t *partial =
			partial_chain_at_(search, layer, centre);

		if (partial->last_server == server)
			return TRUE;
		layer = partial->last_from;
		centre = partial->previous_centre;
	}
	return FALSE;
}

/* Extends a partial chain by one server, to each of the server's layers. */
static void partial_chain_extend_(const search_t *search, uint32_t layer,
				  unsigned int centre, unsigned int index)
{
	const cb_chain_server_t *server = &search->servers[index];
	const partial_chain_t *before =
		partial_chain_at_(search, layer, centre);
	double hop_cost_ms =
		hop_cost_compute_(search, before->last_server, index);
	uint32_t end = MIN(server->to, search->layers);
	uint32_t to;

	if (partial_chain_has_server_(search, layer, centre, (int)index))
		return;
	for (to = layer + 1; to <= end; to++) {
		gboolean is_kept =
			layer == server->kept_from && to == server->kept_to;
		double layer_cost_ms =
			search->step_costs_ms[index] +
			(is_kept ? 0 : search->read_costs_ms[index]);
		partial_chain_t *partial =
			partial_chain_at_(search, to,
					  search->server_centres[index]);
		double cost_ms = before->cost_ms + hop_cost_ms +
				 layer_cost_ms * (to - layer);

		if (cost_ms < partial->cost_ms)
			*partial = (partial_chain_t){ cost_ms, (int)index,
						      layer, centre };
	}
}

/* Writes the parts of the cheapest complete chain; FALSE if there is none. */
static gboolean parts_write_(const search_t *search, GArray *parts)
{
	uint32_t to = search->layers;
	unsigned int centre = 0;
	unsigned int k;

	for (k = 1; k < search->centre_count; k++)
		if (partial_chain_at_(search, to, k)->cost_ms <
		    partial_chain_at_(search, to, centre)->cost_ms)
			centre = k;
	if (isinf(partial_chain_at_(search, to, centre)->cost_ms))
		return FALSE;
	g_array_set_size(parts, 0);
	while (to) {
		const partial_chain_t *partial =
			partial_chain_at_(search, to, centre);
		cb_chain_part_t part = { (unsigned int)partial->last_server,
					 partial->last_from, to };

		g_array_prepend_val(parts, part);
		to = partial->last_from;
		centre = partial->previous_centre;
	}
	return TRUE;
}

/* Whether an engine may be part of the request's chain at all. */
static gboolean server_is_usable_(const cb_chain_server_t *server,
				  const cb_chain_criteria_t *criteria)
{
	return !server->is_avoided && server->free_tokens >= criteria->tokens;
}

/* Whether every layer is held by some server, whatever its free KV cache. */
static gboolean layers_are_held_(const cb_chain_server_t *servers,
				 unsigned int count, uint32_t layers)
{
	uint32_t layer;
	unsigned int i;

	for (layer = 0; layer < layers; layer++) {
		for (i = 0; i < count; i++)
			if (servers[i].from <= layer && layer < servers[i].to)
				break;
		if (i == count)
			return FALSE;
	}
	return TRUE;
}

/* Whether an engine may be the first one of another request's chain. */
static gboolean server_has_slot_(const cb_chain_server_t *server)
{
	return !server->is_first_barred &&
	       (!server->slots || server->running < server->slots);
}

/* Begins the search with an empty chain, or with the part to be kept. */
static void chain_search_init_(search_t *search)
{
	const cb_chain_criteria_t *criteria = search->criteria;
	size_t count = (size_t)(search->layers + 1) * search->centre_count;
	size_t i;

	search->partials = g_new(partial_chain_t, count);
	for (i = 0; i < count; i++)
		search->partials[i] = (partial_chain_t){ INFINITY, -1, 0, 0 };
	if (criteria->first_to)
		*partial_chain_at_(
			search, criteria->first_to,
			search->server_centres[criteria->first_server]) =
			(partial_chain_t){ 0, (int)criteria->first_server, 0,
					   0 };
	else
		partial_chain_at_(search, 0, 0)->cost_ms = 0;
}

/* Extends the partial chains that end before a layer by each holder of it. */
static void partial_chains_extend_(const search_t *search, uint32_t layer,
				   unsigned int count)
{
	unsigned int centre;
	unsigned int i;

	for (centre = 0; centre < search->centre_count; centre++) {
		if (isinf(partial_chain_at_(search, layer, centre)->cost_ms))
			continue;
		for (i = 0; i < count; i++)
			if (search->servers[i].from <= layer &&
			    layer < search->servers[i].to &&
			    server_is_usable_(&search->servers[i],
					      search->criteria) &&
			    (layer || server_has_slot_(&search->servers[i])))
				partial_chain_extend_(search, layer, centre, i);
	}
}

cb_chain_outcome_t cb_chain_choose(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_criteria_t *criteria,
				   GRand *random, GArray *parts)
{
	search_t search = { .servers = servers,
			    .criteria = criteria,
			    .layers = engine->layers };
	gboolean is_found;
	uint32_t layer;

	/* A chain of a former model with more layers can't be continued. */
	if (criteria->first_to > engine->layers)
		return CB_CHAIN_NO_HOLDER;
	if (!count || !layers_are_held_(servers, count, engine->layers))
		return CB_CHAIN_NO_HOLDER;
	search.step_costs_ms =
		step_costs_compute_(engine, servers, count, criteria, random);
	search.read_costs_ms =
		read_costs_compute_(engine, servers, count, criteria, random);
	centres_enumerate_(&search, count);
	chain_search_init_(&search);
	for (layer = 0; layer < engine->layers; layer++)
		partial_chains_extend_(&search, layer, count);
	is_found = parts_write_(&search, parts);
	g_free(search.partials);
	g_free(search.server_centres);
	g_free(search.step_costs_ms);
	g_free(search.read_costs_ms);
	return is_found ? CB_CHAIN_FOUND : CB_CHAIN_NO_ROOM;
}
