#include "private/router.h"

#include <string.h>

#include "private/digest.h"

/*
 * The cost of a stage is the expected time of one token there, including the
 * link to the engine.
 */
#define SAME_DATA_CENTRE_US 600
#define OTHER_DATA_CENTRE_US 4000
/* Assumed for a layer whose time is not known. */
#define DEFAULT_LAYER_US 300
/* A server's load counts in quarters of its capacity. */
#define LOAD_STEPS 4
/* Spreads digests over servers whose costs differ by less than a quarter. */
#define SPREAD_DIVISOR 4
#define SPREAD_STEPS 1024
/* Divides the cost of a server that holds the request's context. */
#define PREFERRED_DIVISOR 4
#define MAX_LAYERS 4096

/* The cheapest chain of engines from one layer to the end of the model. */
typedef struct suffix {
	/* cost of the whole chain; -1 if there is no chain */
	int64_t cost_us;
	cb_route_stage_t stage; /* first stage of the chain */
} suffix_t;

/* Returns a server's load in quarters of its capacity. */
static int64_t load_quantize_(const cb_server_t *server)
{
	return cb_server_load(server) * LOAD_STEPS / MAX(server->capacity, 1);
}

/* Added to the cost of a server without free slots. */
#define FULL_PENALTY_US 1000000

/*
 * Returns the cost of one step or call on a server.  `default_us` is assumed
 * for a server without a known step time.
 */
static int64_t server_cost_us_(const cb_route_query_t *query,
			       const cb_server_t *server, int64_t default_us)
{
	gboolean is_near = !g_strcmp0(server->data_centre, query->data_centre);
	int64_t step_us = server->step_us ? server->step_us : default_us;
	int64_t load = load_quantize_(server);
	uint64_t rank = cb_digest_rank(query->digest, server->name);
	int64_t spread = (int64_t)(rank % SPREAD_STEPS);
	int64_t cost_us = step_us + step_us * load * load / LOAD_STEPS;

	cost_us += cost_us * spread / SPREAD_STEPS / SPREAD_DIVISOR;

	if (cb_server_load(server) >= server->capacity)
		cost_us += FULL_PENALTY_US;
	if (query->preferred &&
	    g_hash_table_contains(query->preferred, server->name))
		cost_us /= PREFERRED_DIVISOR;
	return cost_us + (is_near ? SAME_DATA_CENTRE_US : OTHER_DATA_CENTRE_US);
}

static gboolean server_is_usable_(const cb_route_query_t *query,
				  const cb_server_t *server)
{
	if (!cb_server_accepts(query->registry, server))
		return FALSE;
	return !query->filter || query->filter(server, query->user_data);
}

/*
 * Records a layer range in the table if it begins a cheaper chain than the
 * recorded one.
 */
static void cheapest_chain_update_(const cb_route_query_t *query,
				   suffix_t *suffixes, cb_server_t *server,
				   const cb_layer_range_t *range,
				   int64_t layer_us)
{
	int64_t layers = range->last_layer - range->first_layer + 1;
	const suffix_t *rest = &suffixes[range->last_layer + 1];
	suffix_t *suffix = &suffixes[range->first_layer];
	int64_t cost_us;

	if (rest->cost_us < 0)
		return;
	cost_us = rest->cost_us +
		  server_cost_us_(query, server, layers * layer_us);
	if (suffix->cost_us >= 0 && suffix->cost_us <= cost_us)
		return;
	suffix->cost_us = cost_us;
	suffix->stage = (cb_route_stage_t){ .server = server,
					    .first_layer = range->first_layer,
					    .last_layer = range->last_layer };
}

static const cb_layer_range_t *range_find_(const cb_server_t *server,
					   const char *model)
{
	unsigned int i;

	for (i = 0; server->ranges && i < server->ranges->len; i++) {
		const cb_layer_range_t *range =
			g_ptr_array_index(server->ranges, i);

		if (!strcmp(range->model, model))
			return range;
	}
	return NULL;
}

static gboolean range_is_valid_(const cb_layer_range_t *range,
				uint32_t layer_count)
{
	return range && range->layer_count == layer_count &&
	       range->first_layer <= range->last_layer &&
	       range->last_layer < layer_count;
}

/*
 * Returns the number of layers of the model that most of its engines report,
 * or 0.
 */
static uint32_t layer_count_find_(const GPtrArray *engines, const char *model)
{
	GHashTable *votes = g_hash_table_new(NULL, NULL);
	unsigned int best_votes = 0;
	uint32_t best = 0;
	unsigned int i;

	for (i = 0; i < engines->len; i++) {
		const cb_layer_range_t *range =
			range_find_(g_ptr_array_index(engines, i), model);
		unsigned int count;
		void *key;

		if (!range || range->layer_count > MAX_LAYERS)
			continue;
		key = GUINT_TO_POINTER(range->layer_count);
		count = GPOINTER_TO_UINT(g_hash_table_lookup(votes, key)) + 1;
		g_hash_table_insert(votes, key, GUINT_TO_POINTER(count));
		if (count > best_votes) {
			best_votes = count;
			best = range->layer_count;
		}
	}
	g_hash_table_unref(votes);
	return best;
}

/* Returns the mean time of a layer on the engines with a known step time. */
static int64_t layer_time_average_(const GPtrArray *engines, const char *model)
{
	int64_t step_us = 0;
	int64_t layers = 0;
	unsigned int i;

	for (i = 0; i < engines->len; i++) {
		const cb_server_t *server = g_ptr_array_index(engines, i);
		const cb_layer_range_t *range = range_find_(server, model);

		if (!range || !server->step_us)
			continue;
		step_us += server->step_us;
		layers += range->last_layer - range->first_layer + 1;
	}
	return layers ? MAX(step_us / layers, 1) : DEFAULT_LAYER_US;
}

/* Fills the table of cheapest chains, from the last layer to the first. */
static void cheapest_chains_compute_(const cb_route_query_t *query,
				     suffix_t *suffixes, uint32_t layer_count,
				     const GPtrArray *engines,
				     const char *model)
{
	GPtrArray *usable = g_ptr_array_new();
	int64_t layer_us = layer_time_average_(engines, model);
	uint32_t layer;
	unsigned int i;

	for (i = 0; i < engines->len; i++)
		if (server_is_usable_(query, g_ptr_array_index(engines, i)))
			g_ptr_array_add(usable, g_ptr_array_index(engines, i));
	for (layer = layer_count; layer > 0; layer--) {
		suffixes[layer - 1].cost_us = -1;
		for (i = 0; i < usable->len; i++) {
			cb_server_t *server = g_ptr_array_index(usable, i);
			const cb_layer_range_t *range =
				range_find_(server, model);

			if (range_is_valid_(range, layer_count) &&
			    range->first_layer == layer - 1)
				cheapest_chain_update_(query, suffixes, server,
						       range, layer_us);
		}
	}
	g_ptr_array_unref(usable);
}

/*
 * Chooses engines whose ranges together cover each layer of the model exactly
 * once, with the least expected time of a token.  The costs favour links
 * within this data centre, few stages and low load.  Returns an array of
 * cb_route_stage_t in the order of the layers, or NULL if no chain is
 * complete.
 */
GArray *cb_router_choose_chain(const cb_route_query_t *query, const char *model)
{
	const GPtrArray *engines = cb_server_engines(query->registry, model);
	uint32_t layer_count;
	uint32_t layer;
	GArray *chain = NULL;
	suffix_t *suffixes;

	if (!engines || !engines->len)
		return NULL;
	layer_count = layer_count_find_(engines, model);
	if (!layer_count)
		return NULL;
	suffixes = g_new0(suffix_t, layer_count + 1);
	cheapest_chains_compute_(query, suffixes, layer_count, engines, model);
	if (suffixes[0].cost_us < 0)
		goto out;
	chain = g_array_new(FALSE, FALSE, sizeof(cb_route_stage_t));
	for (layer = 0; layer < layer_count;) {
		g_array_append_val(chain, suffixes[layer].stage);
		layer = suffixes[layer].stage.last_layer + 1;
	}
out:
	g_free(suffixes);
	return chain;
}

/*
 * Chooses an engine that holds exactly this range, to take over a session.
 * Returns NULL if there is none.
 */
cb_server_t *cb_router_choose_engine(const cb_route_query_t *query,
				     const char *model, uint32_t first_layer,
				     uint32_t last_layer)
{
	const GPtrArray *engines = cb_server_engines(query->registry, model);
	cb_server_t *best = NULL;
	int64_t best_us = 0;
	unsigned int i;

	for (i = 0; engines && i < engines->len; i++) {
		cb_server_t *server = g_ptr_array_index(engines, i);
		const cb_layer_range_t *range = range_find_(server, model);
		int64_t cost_us;

		if (!range || range->first_layer != first_layer ||
		    range->last_layer != last_layer ||
		    !server_is_usable_(query, server))
			continue;
		cost_us = server_cost_us_(query, server, DEFAULT_LAYER_US);
		if (best && cost_us >= best_us)
			continue;
		best = server;
		best_us = cost_us;
	}
	return best;
}

/*
 * Chooses a server of a plain service by data centre and load.  Returns NULL
 * if there is none.
 */
cb_server_t *cb_router_choose_server(const cb_route_query_t *query,
				     const char *service)
{
	const GPtrArray *servers = cb_server_services(query->registry, service);
	cb_server_t *best = NULL;
	int64_t best_us = 0;
	unsigned int i;

	for (i = 0; servers && i < servers->len; i++) {
		cb_server_t *server = g_ptr_array_index(servers, i);
		int64_t cost_us;

		if (!server_is_usable_(query, server))
			continue;
		cost_us = server_cost_us_(query, server, DEFAULT_LAYER_US);
		if (best && cost_us >= best_us)
			continue;
		best = server;
		best_us = cost_us;
	}
	return best;
}
