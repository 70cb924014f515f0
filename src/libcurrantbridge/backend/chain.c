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
/* Spreads requests over ways that are nearly as good. */
#define SPREAD 0.25
/* A server whose room is nearly full costs up to this many times more. */
#define FULL_FACTOR 3.0

/* The best way to a layer found so far. */
typedef struct step {
	double cost;
	int server; /* that runs the layers before; -1: the start */
	uint32_t from;
} step_t;

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

/* What it costs to come to a server from the one before. */
static double hop_cost_(const cb_chain_server_t *servers,
			const cb_chain_wish_t *wish, int before,
			unsigned int at)
{
	const char *from =
		before < 0 ? wish->data_centre : servers[before].data_centre;
	double cost = HOP_MS;

	if (strcmp(from, servers[at].data_centre) != 0 && before >= 0)
		cost += wish->forbids_crossing ? INFINITY : CROSSING_MS;
	else if (strcmp(from, servers[at].data_centre) != 0)
		cost += FIRST_CROSSING_MS;
	if (servers[at].is_doubtful)
		cost += DOUBTFUL_MS;
	return cost;
}

/* Whether a server already runs a part on the way to a layer. */
static gboolean is_on_way_(const step_t *steps, uint32_t layer, int server)
{
	while (layer) {
		if (steps[layer].server == server)
			return TRUE;
		layer = steps[layer].from;
	}
	return FALSE;
}

/* Extends the best way to `layer` through one server, as far as it goes. */
static void extend_(step_t *steps, const cb_chain_server_t *servers,
		    unsigned int index, uint32_t layer, double layer_cost,
		    double hop_cost)
{
	const cb_chain_server_t *server = &servers[index];
	uint32_t to;

	if (is_on_way_(steps, layer, (int)index))
		return;
	for (to = layer + 1; to <= server->to; to++) {
		double cost = steps[layer].cost + hop_cost +
			      layer_cost * (to - layer);

		if (cost >= steps[to].cost)
			continue;
		steps[to].cost = cost;
		steps[to].server = (int)index;
		steps[to].from = layer;
	}
}

/* Writes the parts of the way found, first to last. */
static void parts_write_(const step_t *steps, uint32_t layers, GArray *parts)
{
	uint32_t to = layers;

	g_array_set_size(parts, 0);
	while (to) {
		cb_chain_part_t part = { (unsigned int)steps[to].server,
					 steps[to].from, to };

		g_array_prepend_val(parts, part);
		to = steps[to].from;
	}
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

cb_chain_outcome_t cb_chain_choose(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_wish_t *wish, GRand *random,
				   GArray *parts)
{
	double *costs = layer_costs_(engine, servers, count, wish, random);
	step_t *steps = g_new(step_t, engine->layers + 1);
	gboolean is_found;
	uint32_t layer;
	unsigned int i;

	for (layer = 0; layer <= engine->layers; layer++)
		steps[layer] = (step_t){ INFINITY, -1, 0 };
	if (wish->first_to)
		steps[wish->first_to] =
			(step_t){ 0, (int)wish->first_server, 0 };
	else
		steps[0].cost = 0;
	for (layer = 0; layer < engine->layers; layer++) {
		if (isinf(steps[layer].cost))
			continue;
		for (i = 0; i < count; i++)
			if (servers[i].from <= layer && layer < servers[i].to &&
			    has_room_(&servers[i], wish))
				extend_(steps, servers, i, layer, costs[i],
					hop_cost_(servers, wish,
						  steps[layer].server, i));
	}
	is_found = !isinf(steps[engine->layers].cost);
	if (is_found)
		parts_write_(steps, engine->layers, parts);
	g_free(steps);
	g_free(costs);
	if (is_found)
		return CB_CHAIN_FOUND;
	return is_covered_(servers, count, engine->layers) ? CB_CHAIN_NO_ROOM :
							     CB_CHAIN_NO_HOLDER;
}
