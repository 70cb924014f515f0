#include "currantbridge/chain.h"

#include <math.h>
#include <string.h>

/* A hop's own cost: passing a token on and waiting for the next pass. */
#define HOP_MS 1.0
/*
 * Crossing between engines: the pipe that all share carries some 20 MB for a
 * request, one after another, so that a few dozen a second fill it.
 */
#define CROSSING_MS 400.0
/* The first engine in another data centre: only the request crosses. */
#define FIRST_CROSSING_MS 2.0
/* A doubtful server is taken rather than two crossings, and not else. */
#define DOUBTFUL_MS 600.0
/* What a first engine costs whose slots are all taken: requests queue there. */
#define SLOTS_MS 40.0
/* Spreads requests over ways that are nearly as good. */
#define SPREAD 0.25
/* A server whose room is nearly full costs up to this many times more. */
#define FULL_FACTOR 3.0

/* The best way found so far to a layer, by its last data centre. */
typedef struct step {
	double cost;
	int server; /* that runs the layers before; -1: the start */
	/* Where that server began, and the data centre before it. */
	uint32_t from;
	unsigned int from_centre;
} step_t;

/*
 * Ways to each layer, one for each data centre that the way may be in: the
 * cheapest way to a layer may have to cross from there, and another not.
 */
typedef struct ways {
	const cb_chain_server_t *servers;
	const cb_chain_wish_t *wish;
	uint32_t layers;
	unsigned int *centres; /* of each server */
	unsigned int centre_count;
	step_t *steps;
} ways_t;

/* The cost of one layer at each server. */
static double *layer_costs_(const cb_engine_profile_t *engine,
			    const cb_chain_server_t *servers,
			    unsigned int count, const cb_chain_wish_t *wish,
			    GRand *random)
{
	double *costs = g_new(double, count);
	double context_k = wish->tokens / 1000;
	unsigned int i;

	for (i = 0; i < count; i++) {
		const cb_chain_server_t *server = &servers[i];
		double pass_ms = engine->step_ms +
				 (server->running + 1) *
					 (engine->per_sequence_ms +
					  engine->context_per_k_ms * context_k);
		double fill = server->free_tokens > 0 ?
				      wish->tokens / server->free_tokens :
				      1;

		costs[i] = pass_ms * server->pace * engine->stride /
			   engine->layers * (1 + FULL_FACTOR * MIN(fill, 1)) *
			   (1 + SPREAD * g_rand_double(random));
	}
	return costs;
}

/* Numbers the data centres of the servers. */
static void centres_number_(ways_t *ways, unsigned int count)
{
	unsigned int *firsts = g_new(unsigned int, count + 1);
	unsigned int i;
	unsigned int k;

	ways->centres = g_new(unsigned int, count + 1);
	for (i = 0; i < count; i++) {
		for (k = 0; k < ways->centre_count; k++)
			if (!strcmp(ways->servers[firsts[k]].data_centre,
				    ways->servers[i].data_centre))
				break;
		if (k == ways->centre_count)
			firsts[ways->centre_count++] = i;
		ways->centres[i] = k;
	}
	g_free(firsts);
}

static step_t *step_(const ways_t *ways, uint32_t layer, unsigned int centre)
{
	return &ways->steps[layer * ways->centre_count + centre];
}

/* What it costs to come to a server from the one before. */
static double hop_cost_(const ways_t *ways, int before, unsigned int at)
{
	const cb_chain_server_t *server = &ways->servers[at];
	double cost = HOP_MS;

	if (before < 0 &&
	    strcmp(ways->wish->data_centre, server->data_centre) != 0)
		cost += FIRST_CROSSING_MS;
	else if (before >= 0 && ways->centres[before] != ways->centres[at])
		cost += ways->wish->forbids_crossing ? INFINITY : CROSSING_MS;
	if (before < 0 && server->slots)
		cost += SLOTS_MS * server->running / server->slots;
	if (server->is_doubtful)
		cost += DOUBTFUL_MS;
	return cost;
}

/* Whether a server already runs a part on the way to a step. */
static gboolean is_on_way_(const ways_t *ways, uint32_t layer,
			   unsigned int centre, int server)
{
	while (layer) {
		const step_t *step = step_(ways, layer, centre);

		if (step->server == server)
			return TRUE;
		layer = step->from;
		centre = step->from_centre;
	}
	return FALSE;
}

/* Extends the best way to a step through one server, as far as it goes. */
static void extend_(const ways_t *ways, uint32_t layer, unsigned int centre,
		    unsigned int index, double layer_cost)
{
	const step_t *from = step_(ways, layer, centre);
	double hop_cost = hop_cost_(ways, from->server, index);
	uint32_t to;

	if (is_on_way_(ways, layer, centre, (int)index))
		return;
	for (to = layer + 1; to <= ways->servers[index].to; to++) {
		step_t *step = step_(ways, to, ways->centres[index]);
		double cost = from->cost + hop_cost + layer_cost * (to - layer);

		if (cost < step->cost)
			*step = (step_t){ cost, (int)index, layer, centre };
	}
}

/* Writes the parts of the best way to the last layer; FALSE: there is none. */
static gboolean parts_write_(const ways_t *ways, GArray *parts)
{
	uint32_t to = ways->layers;
	unsigned int centre = 0;
	unsigned int k;

	for (k = 1; k < ways->centre_count; k++)
		if (step_(ways, to, k)->cost < step_(ways, to, centre)->cost)
			centre = k;
	if (isinf(step_(ways, to, centre)->cost))
		return FALSE;
	g_array_set_size(parts, 0);
	while (to) {
		const step_t *step = step_(ways, to, centre);
		cb_chain_part_t part = { (unsigned int)step->server, step->from,
					 to };

		g_array_prepend_val(parts, part);
		to = step->from;
		centre = step->from_centre;
	}
	return TRUE;
}

static gboolean has_room_(const cb_chain_server_t *server,
			  const cb_chain_wish_t *wish)
{
	return !server->is_avoided && server->free_tokens >= wish->tokens;
}

/* Whether every layer has a holder, with or without room. */
static gboolean is_covered_(const cb_chain_server_t *servers,
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

/* Whether a request may begin at an engine. */
static gboolean has_slot_(const cb_chain_server_t *server)
{
	return !server->slots || server->running < server->slots;
}

/* Sets the ways to no layer at all, or to the end of the first part. */
static void ways_begin_(ways_t *ways)
{
	const cb_chain_wish_t *wish = ways->wish;
	size_t count = (size_t)(ways->layers + 1) * ways->centre_count;
	size_t i;

	ways->steps = g_new(step_t, count);
	for (i = 0; i < count; i++)
		ways->steps[i] = (step_t){ INFINITY, -1, 0, 0 };
	if (wish->first_to)
		*step_(ways, wish->first_to,
		       ways->centres[wish->first_server]) =
			(step_t){ 0, (int)wish->first_server, 0, 0 };
	else
		step_(ways, 0, 0)->cost = 0;
}

/* Extends the ways to one layer through every server that holds it. */
static void layer_extend_(const ways_t *ways, uint32_t layer,
			  unsigned int count, const double *costs)
{
	unsigned int centre;
	unsigned int i;

	for (centre = 0; centre < ways->centre_count; centre++) {
		if (isinf(step_(ways, layer, centre)->cost))
			continue;
		for (i = 0; i < count; i++)
			if (ways->servers[i].from <= layer &&
			    layer < ways->servers[i].to &&
			    has_room_(&ways->servers[i], ways->wish) &&
			    (layer || has_slot_(&ways->servers[i])))
				extend_(ways, layer, centre, i, costs[i]);
	}
}

cb_chain_outcome_t cb_chain_choose(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_wish_t *wish, GRand *random,
				   GArray *parts)
{
	ways_t ways = { .servers = servers,
			.wish = wish,
			.layers = engine->layers };
	gboolean is_found;
	double *costs;
	uint32_t layer;

	if (!is_covered_(servers, count, engine->layers))
		return CB_CHAIN_NO_HOLDER;
	costs = layer_costs_(engine, servers, count, wish, random);
	centres_number_(&ways, count);
	ways_begin_(&ways);
	for (layer = 0; layer < engine->layers; layer++)
		layer_extend_(&ways, layer, count, costs);
	is_found = parts_write_(&ways, parts);
	g_free(ways.steps);
	g_free(ways.centres);
	g_free(costs);
	return is_found ? CB_CHAIN_FOUND : CB_CHAIN_NO_ROOM;
}
