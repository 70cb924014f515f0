#include "currantbridge/allocation.h"

typedef struct share {
	cb_amount_t floor;
	/* amount of the lease; 0 once the lease has expired */
	cb_amount_t leased;
	int64_t expires_ms;
} share_t;

struct cb_share_table {
	cb_clock_t *clock;
	GHashTable *shares; /* workspace name to share_t */
};

/* Creates a table in which every limit is 0. */
cb_share_table_t *cb_share_table_new(cb_clock_t *clock)
{
	cb_share_table_t *table = g_new0(cb_share_table_t, 1);

	table->clock = clock;
	table->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

/* Deletes a table; NULL is allowed. */
void cb_share_table_delete(cb_share_table_t *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->shares);
	g_free(table);
}

/*
 * Returns a workspace's share without an expired lease; adds an empty one if
 * there is none.
 */
static share_t *share_get_(cb_share_table_t *table, const char *workspace)
{
	share_t *share = g_hash_table_lookup(table->shares, workspace);

	if (!share) {
		share = g_new0(share_t, 1);
		g_hash_table_insert(table->shares, g_strdup(workspace), share);
	}
	if (share->expires_ms <= cb_clock_now_ms(table->clock))
		share->leased = (cb_amount_t){ 0 };
	return share;
}

/*
 * Sets the floor to that of one of `count` instances, or to 0 if this instance
 * is not picked.
 */
void cb_share_table_set_floor(cb_share_table_t *table,
			      const cb_contract_t *contract, uint32_t count,
			      gboolean is_picked)
{
	share_t *share = share_get_(table, contract->workspace);

	share->floor = cb_contract_floor(contract, is_picked ? count : 0);
}

/* Stores a lease, unless its demand was sent before that of the current one. */
void cb_share_table_set_lease(cb_share_table_t *table, const char *workspace,
			      cb_amount_t granted, int64_t sent_ms)
{
	share_t *share = share_get_(table, workspace);
	int64_t expires_ms = sent_ms + CB_LEASE_MS;

	if (expires_ms <= share->expires_ms)
		return;
	share->leased = granted;
	share->expires_ms = expires_ms;
}

/*
 * Returns what a workspace may use now: tokens/s, requests/s, concurrent
 * requests.
 */
cb_amount_t cb_share_table_limits(cb_share_table_t *table,
				  const char *workspace)
{
	share_t *share = share_get_(table, workspace);
	cb_amount_t limits = {
		.tokens_per_s =
			share->floor.tokens_per_s + share->leased.tokens_per_s,
		.requests_per_s = share->floor.requests_per_s +
				  share->leased.requests_per_s,
		.concurrent =
			share->floor.concurrent + share->leased.concurrent,
	};

	return limits;
}

/* Returns a workspace's demand to report if it needs `wanted` in total. */
cb_demand_t cb_share_table_demand(cb_share_table_t *table,
				  const char *workspace, cb_amount_t wanted)
{
	share_t *share = share_get_(table, workspace);
	cb_amount_t floor_amount = share->floor;
	cb_demand_t demand = {
		.requested = {
			.tokens_per_s = MAX(wanted.tokens_per_s -
					    floor_amount.tokens_per_s, 0),
			.requests_per_s = MAX(wanted.requests_per_s -
					      floor_amount.requests_per_s, 0),
			.concurrent = MAX(wanted.concurrent -
					  floor_amount.concurrent, 0),
		},
		.leased = share->leased,
	};

	return demand;
}
