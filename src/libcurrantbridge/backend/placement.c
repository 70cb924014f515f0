#include "currantbridge/placement.h"

#include <math.h>
#include <string.h>

#define BYTES_PER_MB 1e6
/*
 * Tokens of requests that a server should have room for beside its layers,
 * from the most to the least: the first with which a data centre holds
 * REDUNDANT_COPIES is taken, else the first with which it holds one copy.
 */
static const double room_tokens[] = { 160000, 128000, 112000, 96000,
				      80000,  64000,  48000,  32000,
				      20000,  9000,   4000 };
/* What is spare fills the gap that the loss of one server leaves. */
#define REDUNDANT_COPIES 1.12

/*
 * Neighbours of a gap grow into it only if that leaves them this room, some
 * 35 requests of 900 tokens each: otherwise all servers share the layers anew.
 */
#define GROWN_ROOM_TOKENS 32000

/* What is known of one data centre, or of all of them. */
typedef struct area {
	const cb_engine_profile_t *engine;
	cb_placement_server_t *servers;
	unsigned int count;
	const char *data_centre; /* NULL: all */
	double room;		 /* tokens */
	uint32_t *holders;	 /* of each layer */
	double *tokens;		 /* room at the holders of each layer */
} area_t;

static double token_layer_mb_(const cb_engine_profile_t *engine)
{
	return engine->kv_token_bytes / engine->layers / BYTES_PER_MB;
}

/* Returns how many layers fit beside room for `room` tokens; at least 1. */
static uint32_t layers_for_(const cb_engine_profile_t *engine, double memory_mb,
			    double room)
{
	double layers = floor(memory_mb / (engine->layer_mb +
					   room * token_layer_mb_(engine)));
	uint32_t most = cb_placement_most_layers(engine, memory_mb);

	return (uint32_t)CLAMP(layers, MIN(1, most), most);
}

/* Returns how many layers a server's memory holds at most. */
uint32_t cb_placement_most_layers(const cb_engine_profile_t *engine,
				  double memory_mb)
{
	double most = floor(memory_mb / engine->layer_mb);

	return (uint32_t)CLAMP(most, 0, engine->layers);
}

/* Returns for how many tokens a server has room beside so many layers. */
double cb_placement_room_tokens(const cb_engine_profile_t *engine,
				double memory_mb, uint32_t layers)
{
	double left_mb = memory_mb - layers * engine->layer_mb;

	if (!layers || left_mb <= 0)
		return 0;
	return left_mb / (layers * token_layer_mb_(engine));
}

static gboolean stands_in_(const area_t *area,
			   const cb_placement_server_t *server)
{
	return !area->data_centre ||
	       !strcmp(area->data_centre, server->data_centre);
}

/* Whether a server of the area counts for the plan. */
static gboolean is_in_(const area_t *area, const cb_placement_server_t *server)
{
	return !server->is_doubtful && stands_in_(area, server);
}

/* Counts a server's layers in, or out with a sign of -1. */
static void count_layers_(area_t *area, const cb_placement_server_t *server,
			  int sign)
{
	double room = cb_placement_room_tokens(area->engine, server->memory_mb,
					       server->to - server->from);
	uint32_t i;

	for (i = server->from; i < server->to; i++) {
		area->holders[i] += (uint32_t)sign;
		area->tokens[i] += sign * room;
	}
}

/* Returns how many layers the area's servers hold with that room. */
static double layers_with_room_(const area_t *area, double room)
{
	double sum = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++)
		if (is_in_(area, &area->servers[i]))
			sum += layers_for_(area->engine,
					   area->servers[i].memory_mb, room);
	return sum;
}

/* Chooses how much room for requests the servers are to have. */
static double room_choose_(const area_t *area)
{
	static const double copies[] = { REDUNDANT_COPIES, 1.0 };
	size_t i;
	size_t j;

	for (i = 0; i < G_N_ELEMENTS(copies); i++)
		for (j = 0; j < G_N_ELEMENTS(room_tokens); j++)
			if (layers_with_room_(area, room_tokens[j]) >=
			    copies[i] * area->engine->layers)
				return room_tokens[j];
	return room_tokens[G_N_ELEMENTS(room_tokens) - 1];
}

/* Counts the holders of each layer anew. */
static void area_count_(area_t *area)
{
	unsigned int i;

	memset(area->holders, 0, area->engine->layers * sizeof(uint32_t));
	memset(area->tokens, 0, area->engine->layers * sizeof(double));
	for (i = 0; i < area->count; i++)
		if (is_in_(area, &area->servers[i]))
			count_layers_(area, &area->servers[i], 1);
}

static void area_open_(area_t *area)
{
	area->holders = g_new0(uint32_t, area->engine->layers);
	area->tokens = g_new0(double, area->engine->layers);
	area_count_(area);
	area->room = room_choose_(area);
}

static void area_close_(area_t *area)
{
	g_free(area->holders);
	g_free(area->tokens);
}

/* Finds the first run of layers without a holder; FALSE if there is none. */
static gboolean gap_find_(const area_t *area, uint32_t *from, uint32_t *to)
{
	uint32_t layers = area->engine->layers;

	for (*from = 0; *from < layers && area->holders[*from]; (*from)++)
		;
	for (*to = *from; *to < layers && !area->holders[*to]; (*to)++)
		;
	return *from < layers;
}

/* Gives a server a range, as planned and as counted. */
static void move_(area_t *area, unsigned int index, uint32_t from, uint32_t to,
		  GArray *moves)
{
	cb_placement_server_t *server = &area->servers[index];
	cb_placement_move_t move = { index, from, to };

	count_layers_(area, server, -1);
	server->from = from;
	server->to = to;
	server->takes_orders = FALSE;
	count_layers_(area, server, 1);
	g_array_append_val(moves, move);
}

static uint32_t size_(const area_t *area, const cb_placement_server_t *server)
{
	return layers_for_(area->engine, server->memory_mb, area->room);
}

/* Finds the empty server that takes the most layers; -1: there is none. */
static int empty_find_(const area_t *area)
{
	int best = -1;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];

		if (!is_in_(area, server) || !server->takes_orders ||
		    server->from != server->to || !size_(area, server))
			continue;
		if (best < 0 ||
		    size_(area, server) > size_(area, &area->servers[best]))
			best = (int)i;
	}
	return best;
}

/* Whether other servers of the area hold all that a server holds. */
static gboolean is_spare_(const area_t *area,
			  const cb_placement_server_t *server)
{
	uint32_t i;

	for (i = server->from; i < server->to; i++)
		if (area->holders[i] < 2)
			return FALSE;
	return server->from != server->to;
}

/*
 * Finds the spare server to move into a gap: the smallest that fills it, or
 * the largest; -1: there is none.
 */
static int spare_find_(const area_t *area, uint32_t gap)
{
	int best = -1;
	uint32_t best_size = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		uint32_t size = size_(area, server);
		gboolean is_better = best_size >= gap ?
					     size >= gap && size < best_size :
					     size > best_size;

		if (is_in_(area, server) && server->takes_orders &&
		    is_spare_(area, server) && is_better) {
			best = (int)i;
			best_size = size;
		}
	}
	return best;
}

/* Puts an empty server where the holders have the least room. */
static void double_thinnest_(area_t *area, int index, GArray *moves)
{
	uint32_t size = size_(area, &area->servers[index]);
	uint32_t best = 0;
	double best_sum = INFINITY;
	uint32_t from;
	uint32_t i;

	for (from = 0; from + size <= area->engine->layers; from++) {
		double sum = 0;

		for (i = from; i < from + size; i++)
			sum += area->tokens[i];
		if (sum < best_sum) {
			best_sum = sum;
			best = from;
		}
	}
	move_(area, (unsigned int)index, best, best + size, moves);
}

/* Puts a server over the start of a gap, whole within the model. */
static void fill_(area_t *area, int index, uint32_t gap_from, GArray *moves)
{
	uint32_t layers = area->engine->layers;
	uint32_t size = size_(area, &area->servers[index]);
	uint32_t from = MIN(gap_from, layers - size);

	move_(area, (unsigned int)index, from, from + size, moves);
}

/* Whether requests may still find a server for some layers of a gap. */
static gboolean is_doubtful_(const area_t *area, uint32_t from, uint32_t to)
{
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];

		if (server->is_doubtful && server->from < to &&
		    from < server->to && stands_in_(area, server))
			return TRUE;
	}
	return FALSE;
}

/* The room of a server that held so many layers; 0: there is no server. */
static double room_at_(const area_t *area, int index, uint32_t layers)
{
	return index < 0 ?
		       0 :
		       cb_placement_room_tokens(area->engine,
						area->servers[index].memory_mb,
						layers);
}

/* Finds the server with the most room that ends, or begins, at a layer. */
static int neighbour_find_(const area_t *area, uint32_t layer, gboolean is_end)
{
	double best_room = 0;
	int best = -1;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		double room =
			room_at_(area, (int)i, server->to - server->from + 1);

		if (!is_in_(area, server) || !server->takes_orders ||
		    server->from == server->to ||
		    (is_end ? server->to : server->from) != layer ||
		    room <= best_room)
			continue;
		best_room = room;
		best = (int)i;
	}
	return best;
}

/*
 * Lets the servers on both sides of a gap grow into it, layer by layer the
 * one with more room; FALSE, with nothing planned, if they have too little.
 */
static gboolean gap_grow_(area_t *area, uint32_t from, uint32_t to,
			  GArray *moves)
{
	int left = neighbour_find_(area, from, TRUE);
	int right = neighbour_find_(area, to, FALSE);
	uint32_t left_from = left < 0 ? 0 : area->servers[left].from;
	uint32_t right_to = right < 0 ? 0 : area->servers[right].to;
	uint32_t left_to = from;
	uint32_t right_from = to;

	while (left_to < right_from) {
		double left_room =
			room_at_(area, left, left_to + 1 - left_from);
		double right_room =
			room_at_(area, right, right_to + 1 - right_from);

		if (MAX(left_room, right_room) < GROWN_ROOM_TOKENS)
			return FALSE;
		if (left_room >= right_room)
			left_to++;
		else
			right_from--;
	}
	if (left_to > from)
		move_(area, (unsigned int)left, left_from, left_to, moves);
	if (right_from < to)
		move_(area, (unsigned int)right, right_from, right_to, moves);
	return TRUE;
}

static int from_compare_(const void *left, const void *right, void *user_data)
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
 * Whether the layers may be shared among all servers of an area anew: they
 * hold a copy, all take an order now, and no doubtful one may still serve.
 */
static gboolean may_share_(const area_t *area)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++) {
		const cb_placement_server_t *server = &area->servers[i];
		uint32_t size = is_in_(area, server) ? size_(area, server) : 0;

		if (size && !server->takes_orders)
			return FALSE;
		sum += size;
	}
	return sum >= area->engine->layers &&
	       !is_doubtful_(area, 0, area->engine->layers);
}

/*
 * Shares the layers among all servers anew, each near where it was.  No
 * request's chain passes an area with a gap, so that none is cut.
 */
static void area_share_(area_t *area, GArray *moves)
{
	GArray *order = g_array_new(FALSE, FALSE, sizeof(unsigned int));
	uint32_t from = 0;
	unsigned int i;

	for (i = 0; i < area->count; i++)
		if (is_in_(area, &area->servers[i]) &&
		    size_(area, &area->servers[i]))
			g_array_append_val(order, i);
	g_array_sort_with_data(order, from_compare_, area);
	for (i = 0; from < area->engine->layers; i++) {
		unsigned int index = g_array_index(order, unsigned int, i);
		const cb_placement_server_t *server = &area->servers[index];
		uint32_t to =
			MIN(from + size_(area, server), area->engine->layers);

		if (server->from != from || server->to != to)
			move_(area, index, from, to, moves);
		from = to;
	}
	g_array_unref(order);
}

/*
 * Fills the gaps of an area with servers that are empty or spare, or by the
 * growth of their neighbours; FALSE if one is left.
 */
static gboolean gaps_fill_(area_t *area, GArray *moves)
{
	uint32_t from;
	uint32_t to;

	while (gap_find_(area, &from, &to)) {
		int index = empty_find_(area);

		if (index < 0)
			index = spare_find_(area, to - from);
		if (index >= 0)
			fill_(area, index, from, moves);
		else if (is_doubtful_(area, from, to) ||
			 !gap_grow_(area, from, to, moves))
			return FALSE;
	}
	return TRUE;
}

/* Plans one area: gaps first, then the servers that are still empty. */
static void area_plan_(area_t *area, gboolean doubles, GArray *moves)
{
	const size_t size = area->count * sizeof(*area->servers);
	cb_placement_server_t *before = g_memdup2(area->servers, size);
	unsigned int move_count = moves->len;
	gboolean may_share;
	int index;

	area_open_(area);
	may_share = doubles && may_share_(area);
	if (!gaps_fill_(area, moves) && may_share) {
		/* What was planned so far would be in the way. */
		memcpy(area->servers, before, size);
		g_array_set_size(moves, move_count);
		area_count_(area);
		area_share_(area, moves);
	}
	while (doubles && (index = empty_find_(area)) >= 0)
		double_thinnest_(area, index, moves);
	area_close_(area);
	g_free(before);
}

/*
 * Plans each data centre by itself, so that a request's chain stays within
 * one.  Then layers that no data centre holds are covered from any of them.
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
