#include "private/offered.h"

/* The last second is counted in slots; one more is in progress. */
#define SLOT_MS 200
#define WINDOW_SLOTS 5
#define SLOT_COUNT (WINDOW_SLOTS + 1)
/*
 * An instance that has just got its first request takes at least this time for the
 * one that it has counted over.
 */
#define COUNTED_MIN_MS 400.0

typedef struct window {
	double slots[SLOT_COUNT];
	int64_t slot; /* newest slot, counted from the clock's start */
} window_t;

typedef struct flow {
	char *service;
	uint32_t rank;
	char *workspace;
	window_t tokens;
} flow_t;

typedef struct pauses {
	window_t all;
	window_t too_long;
} pauses_t;

struct cb_offered {
	cb_clock_t *clock;
	int64_t first_ms;   /* first request; 0: none yet */
	GHashTable *flows;  /* cb_usage_flow_key() to flow_t */
	GHashTable *pauses; /* service name to pauses_t */
};

static void flow_delete_(void *data)
{
	flow_t *flow = data;

	g_free(flow->service);
	g_free(flow->workspace);
	g_free(flow);
}

/* Creates counts of nothing. */
cb_offered_t *cb_offered_new(cb_clock_t *clock)
{
	cb_offered_t *offered = g_new0(cb_offered_t, 1);

	offered->clock = clock;
	offered->flows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       flow_delete_);
	offered->pauses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return offered;
}

/* Frees counts; NULL is allowed. */
void cb_offered_delete(cb_offered_t *offered)
{
	if (!offered)
		return;
	g_hash_table_unref(offered->flows);
	g_hash_table_unref(offered->pauses);
	g_free(offered);
}

/* Advances to the current slot and clears the slots since the last call. */
static void window_advance_(const cb_offered_t *offered, window_t *window)
{
	int64_t slot = cb_clock_now_ms(offered->clock) / SLOT_MS;

	if (slot - window->slot >= SLOT_COUNT)
		window->slot = slot - SLOT_COUNT;
	while (window->slot < slot)
		window->slots[++window->slot % SLOT_COUNT] = 0;
}

static void window_add_(const cb_offered_t *offered, window_t *window,
			double amount)
{
	window_advance_(offered, window);
	window->slots[window->slot % SLOT_COUNT] += amount;
}

/*
 * Returns the sum over the last second; the newest slot is not complete.  From less
 * time it is extrapolated: otherwise all instances together would seem to be asked
 * for little after they have been restarted.
 */
static double window_sum_(const cb_offered_t *offered, window_t *window)
{
	int64_t now_ms = cb_clock_now_ms(offered->clock);
	double counted_ms =
		MAX((double)(now_ms - offered->first_ms), COUNTED_MIN_MS);
	double passed_ms =
		MIN(WINDOW_SLOTS * SLOT_MS + (double)(now_ms % SLOT_MS),
		    counted_ms);
	double sum = 0;
	unsigned int i;

	window_advance_(offered, window);
	for (i = 0; i < SLOT_COUNT; i++)
		sum += window->slots[i];
	return sum * WINDOW_SLOTS * SLOT_MS / passed_ms;
}

void cb_offered_count_request(cb_offered_t *offered, const char *service,
			      uint32_t rank, const char *workspace,
			      double tokens)
{
	char *key = cb_usage_flow_key(service, rank, workspace);
	flow_t *flow = g_hash_table_lookup(offered->flows, key);

	if (!offered->first_ms)
		offered->first_ms = cb_clock_now_ms(offered->clock);
	if (flow) {
		g_free(key);
	} else {
		flow = g_new0(flow_t, 1);
		flow->service = g_strdup(service);
		flow->rank = rank;
		flow->workspace = g_strdup(workspace);
		g_hash_table_insert(offered->flows, key, flow);
	}
	window_add_(offered, &flow->tokens, tokens);
}

void cb_offered_count_pause(cb_offered_t *offered, const char *service,
			    gboolean is_too_long)
{
	pauses_t *pauses = g_hash_table_lookup(offered->pauses, service);

	if (!pauses) {
		pauses = g_new0(pauses_t, 1);
		g_hash_table_insert(offered->pauses, g_strdup(service), pauses);
	}
	window_add_(offered, &pauses->all, 1);
	if (is_too_long)
		window_add_(offered, &pauses->too_long, 1);
}

void cb_offered_add_usage(cb_offered_t *offered, cb_usage_t *usage,
			  gboolean (*is_by_workspace)(const char *service,
						      void *user_data),
			  void *user_data)
{
	GHashTableIter iter;
	void *value;
	void *service;

	g_hash_table_iter_init(&iter, offered->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		flow_t *flow = value;
		double tokens = window_sum_(offered, &flow->tokens);

		if (tokens <= 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		cb_usage_add_flow(usage, flow->service, flow->rank,
				  is_by_workspace(flow->service, user_data) ?
					  flow->workspace :
					  "",
				  tokens);
	}
	g_hash_table_iter_init(&iter, offered->pauses);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		pauses_t *pauses = value;
		const cb_usage_sends_t sends = {
			.pauses = (uint32_t)window_sum_(offered, &pauses->all),
			.long_pauses = (uint32_t)window_sum_(offered,
							     &pauses->too_long),
		};

		if (sends.pauses)
			cb_usage_add_sends(usage, service, &sends);
	}
}
