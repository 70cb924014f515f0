#include "private/server_book.h"

#include <math.h>
#include <string.h>

#include "currantbridge/placement.h"

/* A server that failed is avoided for this, doubled with each failure. */
#define AVOID_FIRST_MS 500
#define AVOID_LONGEST_MS 4000
/* So long after a failure there this instance doubts a server. */
#define DOUBT_MS 1000
/* A load that a server told counts for so long. */
#define LOAD_AGE_MS 1000
/* The others' usage counts for so long; it comes a few times a second. */
#define USAGE_AGE_MS 1500
/* A server that had no room is not asked again for this. */
#define FULL_MS 250
/* One that turns requests away again and again is down rather than full. */
#define FULL_DOUBLINGS 3

typedef struct note {
	unsigned int running;
	double token_layers; /* reserved by this instance's requests */
	int64_t avoid_until_ms;
	unsigned int failures; /* in a row */
	int64_t failed_ms;     /* the last one; 0: none */
	int64_t load;
	int64_t load_ms;
	/* What this instance told last, and what the others have. */
	cb_usage_entry_t told;
	cb_usage_entry_t others;
} note_t;

struct cb_server_book {
	cb_clock_t *clock;
	const cb_fleet_t *fleet;
	const cb_view_t *view;
	GRand *random;
	char *data_centre;
	GHashTable *notes; /* by the server's ID */
	int64_t usage_ms;  /* when the others' was last told */
};

/* Makes a book; it takes none of its parts. */
cb_server_book_t *cb_server_book_new(cb_clock_t *clock, const cb_fleet_t *fleet,
				     const cb_view_t *view, GRand *random,
				     const char *data_centre)
{
	cb_server_book_t *book = g_new0(cb_server_book_t, 1);

	book->clock = clock;
	book->fleet = fleet;
	book->view = view;
	book->random = random;
	book->data_centre = g_strdup(data_centre);
	book->notes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return book;
}

/* Frees a book; NULL is allowed. */
void cb_server_book_delete(cb_server_book_t *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->notes);
	g_free(book->data_centre);
	g_free(book);
}

static note_t *note_(cb_server_book_t *book, const char *id)
{
	note_t *note = g_hash_table_lookup(book->notes, id);

	if (note)
		return note;
	note = g_new0(note_t, 1);
	g_hash_table_insert(book->notes, g_strdup(id), note);
	return note;
}

static void hop_clear_(void *hop)
{
	g_free(((cb_relay_hop_t *)hop)->id);
	g_free(((cb_relay_hop_t *)hop)->address);
}

/* Makes an empty list of hops, which frees what they hold. */
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
			       from, to };

	g_array_append_val(hops, hop);
}

/* Whether new work may go to a server of the service. */
static gboolean is_usable_(const cb_server_book_t *book,
			   const cb_book_wish_t *wish,
			   const cb_fleet_server_t *server)
{
	if (strcmp(server->service, wish->service->name) != 0 ||
	    (server->state != CB_FLEET_READY &&
	     server->state != CB_FLEET_SILENT) ||
	    g_hash_table_contains(wish->tried, server->id))
		return FALSE;
	return !cb_fleet_is_stopped(server, book->view);
}

static GPtrArray *usable_(const cb_server_book_t *book,
			  const cb_book_wish_t *wish)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	GPtrArray *usable = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < all->len; i++)
		if (is_usable_(book, wish, all->pdata[i]))
			g_ptr_array_add(usable, all->pdata[i]);
	return usable;
}

static gboolean is_avoided_(cb_server_book_t *book,
			    const cb_fleet_server_t *server)
{
	return server->state == CB_FLEET_SILENT ||
	       note_(book, server->id)->avoid_until_ms >
		       cb_clock_now_ms(book->clock);
}

/* How busy a plain server is, as far as is known; the least is chosen. */
static double plain_cost_(cb_server_book_t *book,
			  const cb_fleet_server_t *server)
{
	const note_t *note = note_(book, server->id);
	int64_t age_ms = cb_clock_now_ms(book->clock) - note->load_ms;
	double load = note->running + note->others.running;
	double slots = MAX(server->slots, 1);

	if (note->load_ms && age_ms < LOAD_AGE_MS)
		load = MAX(load, (double)note->load);
	if (server->cold_ms > 0)
		load = load * 2 + 1;
	if (is_avoided_(book, server))
		load += 1000 * slots;
	return load / slots + 0.01 * g_rand_double(book->random);
}

static cb_book_outcome_t plain_choose_(cb_server_book_t *book,
				       const cb_book_wish_t *wish, GArray *hops)
{
	GPtrArray *usable = usable_(book, wish);
	const cb_fleet_server_t *best = NULL;
	double best_cost = INFINITY;
	unsigned int i;

	for (i = 0; i < usable->len; i++) {
		double cost = plain_cost_(book, usable->pdata[i]);

		if (cost < best_cost) {
			best_cost = cost;
			best = usable->pdata[i];
		}
	}
	if (best)
		hop_add_(hops, best, 0, 0);
	g_ptr_array_unref(usable);
	return best ? CB_BOOK_FOUND : CB_BOOK_NO_SERVER;
}

/* How many entry instances share the servers. */
static unsigned int sharers_(const cb_server_book_t *book)
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

/*
 * Returns what all instances have under way at a server.  While the others'
 * is not known, they are taken to have as much as this one.
 */
static cb_usage_entry_t under_way_(const cb_server_book_t *book,
				   const note_t *note, unsigned int sharers)
{
	cb_usage_entry_t sum = { .running = note->running,
				 .token_layers = note->token_layers };
	int64_t age_ms = cb_clock_now_ms(book->clock) - book->usage_ms;

	if (!book->usage_ms || age_ms > USAGE_AGE_MS) {
		sum.running *= sharers;
		sum.token_layers *= sharers;
		return sum;
	}
	sum.running += note->others.running;
	sum.token_layers += note->others.token_layers;
	return sum;
}

/* Describes an engine to the choice of a chain. */
static cb_chain_server_t engine_(cb_server_book_t *book,
				 const cb_engine_profile_t *engine,
				 const cb_fleet_server_t *server,
				 unsigned int sharers)
{
	const cb_engine_kind_t *kind =
		cb_engine_profile_kind(engine, server->kind);
	const note_t *note = note_(book, server->id);
	uint32_t layers = server->layer_to - server->layer_from;
	cb_usage_entry_t under_way = under_way_(book, note, sharers);
	cb_chain_server_t input = { .data_centre = server->data_centre,
				    .from = server->layer_from,
				    .to = server->layer_to };

	if (!kind || !layers || server->is_moving) {
		input.to = input.from;
		return input;
	}
	input.pace = kind->pace * MAX(server->slow_percent, 100) / 100;
	input.running = under_way.running;
	input.slots = server->slots;
	input.free_tokens =
		cb_placement_room_tokens(engine, kind->memory_mb, layers) -
		under_way.token_layers / layers;
	input.is_doubtful = server->state == CB_FLEET_SILENT;
	input.is_avoided =
		note->avoid_until_ms > cb_clock_now_ms(book->clock) ||
		note->others.doubters >= CB_USAGE_DOUBTERS_MIN;
	return input;
}

/* Sets the part that the way is to begin with; FALSE if it can't. */
static gboolean first_find_(const GPtrArray *usable,
			    const cb_relay_hop_t *first, cb_chain_wish_t *wish)
{
	unsigned int i;

	for (i = 0; first && i < usable->len; i++) {
		const cb_fleet_server_t *server = usable->pdata[i];

		if (strcmp(server->id, first->id) != 0)
			continue;
		wish->first_server = i;
		wish->first_to = first->to;
		return TRUE;
	}
	return !first;
}

static cb_book_outcome_t chain_choose_(cb_server_book_t *book,
				       const cb_book_wish_t *wish, GArray *hops)
{
	const cb_engine_profile_t *engine = wish->service->engine;
	cb_chain_wish_t chain_wish = { .data_centre = book->data_centre,
				       .tokens = wish->tokens,
				       .forbids_crossing =
					       wish->forbids_crossing };
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(cb_chain_part_t));
	GPtrArray *usable = usable_(book, wish);
	cb_chain_server_t *inputs = g_new0(cb_chain_server_t, usable->len + 1);
	unsigned int sharers = sharers_(book);
	cb_chain_outcome_t outcome;
	unsigned int i;

	for (i = 0; i < usable->len; i++)
		inputs[i] = engine_(book, engine, usable->pdata[i], sharers);
	if (!first_find_(usable, wish->first, &chain_wish))
		outcome = CB_CHAIN_NO_HOLDER;
	else
		outcome = cb_chain_choose(engine, inputs, usable->len,
					  &chain_wish, book->random, parts);
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
 * Chooses the server of a plain service, or the chain of engines.  `hops` is
 * empty before, and after unless the outcome is FOUND.
 */
cb_book_outcome_t cb_server_book_choose(cb_server_book_t *book,
					const cb_book_wish_t *wish,
					GArray *hops)
{
	return wish->service->engine ? chain_choose_(book, wish, hops) :
				       plain_choose_(book, wish, hops);
}

static void count_(cb_server_book_t *book, const GArray *hops, double tokens,
		   int sign)
{
	unsigned int i;

	for (i = 0; i < hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(hops, cb_relay_hop_t, i);
		note_t *note = note_(book, hop->id);

		note->running += (unsigned int)sign;
		note->token_layers += sign * tokens * (hop->to - hop->from);
	}
}

/* Counts a request in at its servers. */
void cb_server_book_begin(cb_server_book_t *book, const GArray *hops,
			  double tokens)
{
	count_(book, hops, tokens, 1);
}

/* Counts a request out. */
void cb_server_book_end(cb_server_book_t *book, const GArray *hops,
			double tokens)
{
	count_(book, hops, tokens, -1);
}

cb_usage_t *cb_server_book_usage(cb_server_book_t *book)
{
	int64_t now_ms = cb_clock_now_ms(book->clock);
	cb_usage_t *usage = cb_usage_new();
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, book->notes);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		note_t *note = value;

		note->told = (cb_usage_entry_t){
			.running = note->running,
			.token_layers = note->token_layers,
			.doubters = note->failed_ms &&
				    now_ms - note->failed_ms < DOUBT_MS,
		};
		if (note->running || note->told.doubters)
			cb_usage_add(usage, id, &note->told);
	}
	return usage;
}

void cb_server_book_take_usage(cb_server_book_t *book, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *value;
	void *id;

	book->usage_ms = cb_clock_now_ms(book->clock);
	g_hash_table_iter_init(&iter, sum->by_server);
	while (g_hash_table_iter_next(&iter, &id, &value))
		(void)note_(book, id);
	g_hash_table_iter_init(&iter, book->notes);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		note_t *note = value;

		note->others = cb_usage_find(sum, id);
		note->others.running -=
			MIN(note->others.running, note->told.running);
		note->others.doubters -=
			MIN(note->others.doubters, note->told.doubters);
		note->others.token_layers =
			MAX(note->others.token_layers - note->told.token_layers,
			    0);
	}
}

void cb_server_book_full(cb_server_book_t *book, const char *address)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];
		note_t *note;

		if (server->state == CB_FLEET_GONE ||
		    strcmp(server->address, address) != 0)
			continue;
		note = note_(book, server->id);
		/* Several that leave together count as one refusal. */
		if (note->avoid_until_ms > now_ms)
			continue;
		note->avoid_until_ms =
			now_ms +
			(FULL_MS << MIN(note->failures, FULL_DOUBLINGS));
		note->failures++;
	}
}

/* Notes the load that a server told with an answer. */
void cb_server_book_load(cb_server_book_t *book, const char *id,
			 int64_t running, int64_t waiting)
{
	note_t *note = note_(book, id);

	note->load = running + waiting;
	note->load_ms = cb_clock_now_ms(book->clock);
}

/* Notes that a request failed at a server, which is avoided for a while. */
void cb_server_book_failed(cb_server_book_t *book, const char *id)
{
	note_t *note = note_(book, id);
	int64_t avoid_ms = AVOID_FIRST_MS << MIN(note->failures, 4);

	note->failures++;
	note->failed_ms = cb_clock_now_ms(book->clock);
	note->avoid_until_ms =
		note->failed_ms + MIN(avoid_ms, AVOID_LONGEST_MS);
}

gboolean cb_server_book_failed_at(cb_server_book_t *book, const char *address,
				  GHashTable *tried)
{
	const GPtrArray *all = cb_fleet_servers(book->fleet);
	gboolean is_found = FALSE;
	unsigned int i;

	for (i = 0; i < all->len; i++) {
		const cb_fleet_server_t *server = all->pdata[i];

		if (server->state == CB_FLEET_GONE ||
		    strcmp(server->address, address) != 0)
			continue;
		cb_server_book_failed(book, server->id);
		g_hash_table_add(tried, g_strdup(server->id));
		is_found = TRUE;
	}
	return is_found;
}

/* Notes that servers have served a request. */
void cb_server_book_succeeded(cb_server_book_t *book, const GArray *hops)
{
	unsigned int i;

	for (i = 0; i < hops->len; i++)
		note_(book, g_array_index(hops, cb_relay_hop_t, i).id)
			->failures = 0;
}
