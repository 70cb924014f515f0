#include "currantbridge/placement.h"

#include <math.h>
#include <string.h>

#define BYTES_PER_MB 1e6
/*
 * Choices for the KV cache, in tokens of requests, that each server reserves
 * beside its layers, in descending order.
 */
static const double reserve_choices_tokens[] = { 160000, 128000, 112000, 96000,
						 80000,	 64000,	 48000,	 32000,
						 20000,	 9000,	 4000 };

/* A number of copies of the model that a data centre is to hold. */
typedef struct copies_choice {
	double copies;
	/* Least KV cache per server for which so many copies are chosen. */
	double min_reserve_tokens;
} copies_choice_t;

/*
 * The first choice that fits is used, with the largest reserve: half of the
 * layers twice, where that leaves room for some 85 requests of 930 tokens in
 * each; else enough that spare servers can replace any lost one; else one copy.
 */
static const copies_choice_t copies_choices[] = { { 1.5, 80000 },
						  { 1.12, 0 },
						  { 1.0, 0 } };

/*
 * A neighbour of a gap extends into it only if it keeps this much KV cache,
 * about 35 requests of 900 tokens: otherwise the layers are redistributed among
 * all servers.
 */
#define MIN_EXTENDED_CAPACITY_TOKENS 32000

/* The servers that one plan covers: a data centre, or all of them. */
typedef struct area {
	const cb_engine_profile_t *engine;
	cb_placement_server_t *servers;
	unsigned int count;
	/* data centre of the servers; NULL: all data centres */
	const char *data_centre;
	double reserve_tokens;	 /* KV cache reserved on each server */
	uint32_t *holder_counts; /* for each layer: servers that hold it */
	double *capacity_tokens; /* for each layer: KV cache of its holders */
} area_t;

/* Returns the size in MB of one token's KV cache in one layer. */
static double token_layer_mb_(const cb_engine_profile_t *engine)
{
	return engine->kv_token_bytes / engine->layers / BYTES_PER_MB;
}

/*
 * Returns how many layers of this size fit into a memory, at most `max_layers`;
 * all of them if a document gives no size.
 */
static uint32_t layers_divide_(double memory_mb, double layer_mb,
			       uint32_t max_layers)
{
	if (!(layer_mb > 0))
		return max_layers;
	return (uint32_t)CLAMP(floor(memory_mb / layer_mb), 0, max_layers);
}

/*
 * Returns how many layers fit beside a reserve for requests: at least 1 if the
 * memory holds any.
 */
static uint32_t fitting_layers_count_(const cb_engine_profile_t *engine,
				      double memory_mb, double reserve_tokens)
{
	uint32_t max_layers = cb_placement_max_layers(engine, memory_mb);
	uint32_t layers =
		layers_divide_(memory_mb,
			       engine->layer_mb +
				       reserve_tokens * token_layer_mb_(engine),
			       max_layers);

	return MAX(layers, MIN(1, max_layers));
}

/* Returns the largest number of layers that fit into a server's memory. */
uint32_t cb_placement_max_layers(const cb_engine_profile_t *engine,
				 double memory_mb)
{
	return layers_divide_(memory_mb, engine->layer_mb, engine->layers);
}

/*
 * Returns the KV cache, in tokens at all of its layers, that a server has
 * beside `layers` layers; 0 without layers or memory left.
 */
double cb_placement_token_capacity(const cb_engine_profile_t *engine,
				   double memory_mb, uint32_t layers)
{
	double left_mb = memory_mb - layers * engine->layer_mb;

	if (!layers || left_mb <= 0)
		return 0;
	return left_mb / (layers * token_layer_mb_(engine));
}

static gboolean server_is_in_area_(const area_t *area,
				   const cb_placement_server_t *server)
{
	return !area->data_centre ||
	       !strcmp(area->data_centre, server->data_centre);
}

/* Whether a server is in the area and the plan may rely on it. */
static gboolean server_is_usable_(const area_t *area,
				  const cb_placement_server_t *server)
{
	return !server->is_degraded && server_is_in_area_(area, server);
}

/* Adds a server's layers to the area's sums; `sign` -1 subtracts them. */
static void layer_sums_add_(area_t *area, const cb_placement_server_t *server,
			    int sign)
{
	double capacity =
		cb_placement_token_capacity(area->engine, server->memory_mb,
					    server->to - server->from);
	uint32_t i;

	for (i = server->from; i < server->to; i++) {
		area->holder_counts[i] += (uint32_t)sign;
		area->capacity_tokens[i] += sign * capacity;
	}
}

/*
 * Returns how many layers fit into the area if each server reserves this much
 * KV cache.
 */
static double area_layers_count_(const area_t *area, double reserve_tokens)
{
	double sum = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++)
		if (server_is_usable_(area, &area->servers[i]))
			sum += fitting_layers_count_(area->engine,
						     area->servers[i].memory_mb,
						     reserve_tokens);
	return sum;
}

/*
 * Returns the largest reserve with which the area holds the copies of a choice;
 * 0 if there is none.
 */
static double reserve_find_(const area_t *area, const copies_choice_t *choice)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reserve_choices_tokens); i++) {
		double reserve_tokens = reserve_choices_tokens[i];

		if (reserve_tokens < choice->min_reserve_tokens)
			return 0;
		if (area_layers_count_(area, reserve_tokens) >=
		    choice->copies * area->engine->layers)
			return reserve_tokens;
	}
	return 0;
}

/* Chooses how much KV cache each server of the area reserves. */
static double reserve_choose_(const area_t *area)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(copies_choices); i++) {
		double reserve_tokens = reserve_find_(area, &copies_choices[i]);

		if (reserve_tokens > 0)
			return reserve_tokens;
	}
	return reserve_choices_tokens[G_N_ELEMENTS(reserve_choices_tokens) - 1];
}

/* Recalculates the holders and the KV cache of each layer. */
static void layer_sums_update_(area_t *area)
{
	unsigned int i;

	memset(area->holder_counts, 0, area->engine->layers * sizeof(uint32_t));
	memset(area->capacity_tokens, 0, area->engine->layers * sizeof(double));
	for (i = 0; i < area->count; i++)
		if (server_is_usable_(area, &area->servers[i]))
			layer_sums_add_(area, &area->servers[i], 1);
}

static void area_init_(area_t *area)
{
	area->holder_counts = g_new0(uint32_t, area->engine->layers);
	area->capacity_tokens = g_new0(double, area->engine->layers);
	layer_sums_update_(area);
	area->reserve_tokens = reserve_choose_(area);
}

static void area_clear_(area_t *area)
{
	g_free(area->holder_counts);
	g_free(area->capacity_tokens);
}

/* Finds the first run of layers without a holder; FALSE if there is none. */
static gboolean gap_find_(const area_t *area, uint32_t *from, uint32_t *to)
{
	uint32_t layers = area->engine->layers;

	for (*from = 0; *from < layers && area->holder_counts[*from]; (*from)++)
		;
	for (*to = *from; *to < layers && !area->holder_counts[*to]; (*to)++)
		;
	return *from < layers;
}

/* Adds a move to the plan and updates the server and the area's sums. */
static void move_add_(area_t *area, unsigned int index, uint32_t from,
		      uint32_t to, GArray *moves)
{
	cb_placement_server_t *server = &area->servers[index];
	cb_placement_move_t move = { index, from, to };

	layer_sums_add_(area, server, -1);
	server->from = from;
	server->to = to;
	server->accepts_orders = FALSE;
	layer_sums_add_(area, server, 1);
	g_array_append_val(moves, move);
}

/* Returns how many layers a server holds with the area's reserve. */
static uint32_t server_layers_count_(const area_t *area,
				     const cb_placement_server_t *server)
{
	return fitting_layers_count_(area->engine, server->memory_mb,
				     area->reserve_tokens);
}

/* Returns the index of the empty server that fits the most layers, or -1. */
static int empty_server_find_(const area_t *area)
{
	int best = -1;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];

		if (!server_is_usable_(area, server) ||
		    !server->accepts_orders || server->from != server->to ||
		    !server_layers_count_(area, server))
			continue;
		if (best < 0 ||
		    server_layers_count_(area, server) >
			    server_layers_count_(area, &area->servers[best]))
			best = (int)i;
	}
	return best;
}

/* Whether each layer of a server is held by another one of the area too. */
static gboolean server_is_spare_(const area_t *area,
				 const cb_placement_server_t *server)
{
	uint32_t i;

	for (i = server->from; i < server->to; i++)
		if (area->holder_counts[i] < 2)
			return FALSE;
	return server->from != server->to;
}

/*
 * Returns the index of the spare server to move into a gap: the smallest one
 * that fills it, otherwise the largest one; -1 if there is none.
 */
static int spare_server_find_(const area_t *area, uint32_t gap_layers)
{
	int best = -1;
	uint32_t best_layer_count = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		uint32_t layer_count = server_layers_count_(area, server);
		gboolean is_better =
			best_layer_count >= gap_layers ?
				layer_count >= gap_layers &&
					layer_count < best_layer_count :
				layer_count > best_layer_count;

		if (server_is_usable_(area, server) && server->accepts_orders &&
		    server_is_spare_(area, server) && is_better) {
			best = (int)i;
			best_layer_count = layer_count;
		}
	}
	return best;
}

/* Has an empty server replicate the layers with the least KV cache in all. */
static void layers_replicate_(area_t *area, int index, GArray *moves)
{
	uint32_t layer_count =
		server_layers_count_(area, &area->servers[index]);
	uint32_t best = 0;
	double best_sum = INFINITY;
	uint32_t from;
	uint32_t i;

	for (from = 0; from + layer_count <= area->engine->layers; from++) {
		double sum = 0;

		for (i = from; i < from + layer_count; i++)
			sum += area->capacity_tokens[i];
		if (sum < best_sum) {
			best_sum = sum;
			best = from;
		}
	}
	move_add_(area, (unsigned int)index, best, best + layer_count, moves);
}

/*
 * Has a server hold the first layers of a gap and those that follow, as many as
 * fit; its range is shifted back where it would exceed the model.
 */
static void gap_assign_server_(area_t *area, int index, uint32_t gap_from,
			       GArray *moves)
{
	uint32_t layers = area->engine->layers;
	uint32_t layer_count =
		server_layers_count_(area, &area->servers[index]);
	uint32_t from = MIN(gap_from, layers - layer_count);

	move_add_(area, (unsigned int)index, from, from + layer_count, moves);
}

/* Whether a degraded server holds some layers of a range. */
static gboolean range_has_degraded_holder_(const area_t *area, uint32_t from,
					   uint32_t to)
{
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];

		if (server->is_degraded && server->from < to &&
		    from < server->to && server_is_in_area_(area, server))
			return TRUE;
	}
	return FALSE;
}

/*
 * Returns the KV cache in tokens that a server has if it holds so many layers.
 */
static double server_capacity_compute_(const area_t *area, int index,
				       uint32_t layers)
{
	return index < 0 ? 0 :
			   cb_placement_token_capacity(
				   area->engine, area->servers[index].memory_mb,
				   layers);
}

/*
 * Returns the index of the server whose layers end, or begin, at `layer` and
 * which has the most KV cache left with one layer more; -1 if there is none.
 */
static int neighbour_find_(const area_t *area, uint32_t layer,
			   gboolean ends_there)
{
	double best_capacity = 0;
	int best = -1;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		double capacity =
			server_capacity_compute_(area, (int)i,
						 server->to - server->from + 1);

		if (!server_is_usable_(area, server) ||
		    !server->accepts_orders || server->from == server->to ||
		    (ends_there ? server->to : server->from) != layer ||
		    capacity <= best_capacity)
			continue;
		best_capacity = capacity;
		best = (int)i;
	}
	return best;
}

/*
 * Extends the servers on both sides of a gap into it; each layer goes to the
 * one with more KV cache.  Returns FALSE, with nothing planned, if for some
 * layer neither would keep MIN_EXTENDED_CAPACITY_TOKENS.
 */
static gboolean neighbours_extend_(area_t *area, uint32_t from, uint32_t to,
				   GArray *moves)
{
	int left = neighbour_find_(area, from, TRUE);
	int right = neighbour_find_(area, to, FALSE);
	uint32_t left_from = left < 0 ? 0 : area->servers[left].from;
	uint32_t right_to = right < 0 ? 0 : area->servers[right].to;
	uint32_t left_to = from;
	uint32_t right_from = to;

	while (left_to < right_from) {
		double left_capacity =
			server_capacity_compute_(area, left,
						 left_to + 1 - left_from);
		double right_capacity =
			server_capacity_compute_(area, right,
						 right_to + 1 - right_from);

		if (MAX(left_capacity, right_capacity) <
		    MIN_EXTENDED_CAPACITY_TOKENS)
			return FALSE;
		if (left_capacity >= right_capacity)
			left_to++;
		else
			right_from--;
	}
	if (left_to > from)
		move_add_(area, (unsigned int)left, left_from, left_to, moves);
	if (right_from < to)
		move_add_(area, (unsigned int)right, right_from, right_to,
			  moves);
	return TRUE;
}

/* Compares two servers by their layers, to sort their indices. */
static int servers_compare_(const void *left, const void *right,
			    void *user_data)
{
	const area_t *area = user_data;
	const cb_placement_server_t *a =
		&area->servers[*(const unsigned int *)left];
	const cb_placement_server_t *b =
		&area->servers[*(const unsigned int *)right];

	if (a->from != b->from)
		return a->from < b->from ? -1 : 1;
	return (a->to > b->to) - (a->to < b->to);
}

/*
 * Whether the layers may be redistributed among all servers of an area: a full
 * copy fits, every server accepts an order now, and no degraded server may
 * still serve requests.
 */
static gboolean area_may_redistribute_layers_(const area_t *area)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		uint32_t layer_count =
			server_is_usable_(area, server) ?
				server_layers_count_(area, server) :
				0;

		if (layer_count && !server->accepts_orders)
			return FALSE;
		sum += layer_count;
	}
	return sum >= area->engine->layers &&
	       !range_has_degraded_holder_(area, 0, area->engine->layers);
}

/*
 * Redistributes the layers among all servers, in the order of their current
 * layers, so that each server keeps layers near those.  No request's chain
 * passes through an area with a gap, so no chain is interrupted.
 */
static void area_redistribute_layers_(area_t *area, GArray *moves)
{
	GArray *sorted_indices =
		g_array_new(FALSE, FALSE, sizeof(unsigned int));
	uint32_t from = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++)
		if (server_is_usable_(area, &area->servers[i]) &&
		    server_layers_count_(area, &area->servers[i]))
			g_array_append_val(sorted_indices, i);
	g_array_sort_with_data(sorted_indices, servers_compare_, area);
	for (i = 0; from < area->engine->layers; i++) {
		unsigned int index =
			g_array_index(sorted_indices, unsigned int, i);
		const cb_placement_server_t *server = &area->servers[index];
		uint32_t to = MIN(from + server_layers_count_(area, server),
				  area->engine->layers);

		if (server->from != from || server->to != to)
			move_add_(area, index, from, to, moves);
		from = to;
	}
	g_array_unref(sorted_indices);
}

/*
 * Fills the gaps of an area with servers that are empty or spare, otherwise by
 * extending the neighbours; FALSE if a gap is left.
 */
static gboolean gaps_fill_(area_t *area, GArray *moves)
{
	uint32_t from;
	uint32_t to;

	while (gap_find_(area, &from, &to)) {
		int index = empty_server_find_(area);

		if (index < 0)
			index = spare_server_find_(area, to - from);
		if (index >= 0)
			gap_assign_server_(area, index, from, moves);
		else if (range_has_degraded_holder_(area, from, to) ||
			 !neighbours_extend_(area, from, to, moves))
			return FALSE;
	}
	return TRUE;
}

/*
 * Plans one area: fills its gaps, or redistributes its layers if that fails;
 * `replicates` also lets the servers that are still empty replicate layers.
 */
static void area_plan_(area_t *area, gboolean replicates, GArray *moves)
{
	const size_t servers_bytes = area->count * sizeof(*area->servers);
	cb_placement_server_t *saved_servers =
		g_memdup2(area->servers, servers_bytes);
	unsigned int move_count = moves->len;
	gboolean may_redistribute;
	int index;

	area_init_(area);
	may_redistribute = replicates && area_may_redistribute_layers_(area);
	if (!gaps_fill_(area, moves) && may_redistribute) {
		/* Discards the moves that were planned so far. */
		memcpy(area->servers, saved_servers, servers_bytes);
		g_array_set_size(moves, move_count);
		layer_sums_update_(area);
		area_redistribute_layers_(area, moves);
	}
	while (replicates && (index = empty_server_find_(area)) >= 0)
		layers_replicate_(area, index, moves);
	area_clear_(area);
	g_free(saved_servers);
}

/*
 * Plans each data centre by itself, so that a request's chain can stay within
 * one.  Then layers that no data centre holds are assigned to servers of any.
 */
GArray *cb_placement_plan(const cb_engine_profile_t *engine,
			  const cb_placement_server_t *servers,
			  unsigned int count)
{
	GArray *moves = g_array_new(FALSE, FALSE, sizeof(cb_placement_move_t));
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	area_t area = { .engine = engine, .count = count };
	unsigned int i;

	area.servers = g_memdup2(servers, count * sizeof(*servers));
	for (i = 0; i < count; i++)
		cb_engine_profile_clip(engine, &area.servers[i].from,
				       &area.servers[i].to);
	for (i = 0; i < count; i++) {
		area.data_centre = servers[i].data_centre;
		if (g_hash_table_add(seen, (void *)area.data_centre))
			area_plan_(&area, TRUE, moves);
	}
	area.data_centre = NULL;
	area_plan_(&area, FALSE, moves);
	g_hash_table_unref(seen);
	g_free(area.servers);
	return moves;
}
