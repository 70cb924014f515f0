#include "currantbridge/allocation.h"

#define PER_MILLE 1000
/*
 * If only one instance requests a limit, it gets at most this part of the
 * leasable amount, so that an instance that requests later gets something.
 */
#define SOLE_LEASE_MAX_PER_MILLE 900

typedef struct lease {
	/* The larger of the granted lease and the instance's previous one. */
	cb_amount_t reserved;
	cb_amount_t requested;
	int64_t expires_ms;
} lease_t;

/* The leases of one workspace, and the sums of their amounts. */
typedef struct workspace_leases {
	GHashTable *by_instance; /* instance name to lease_t */
	cb_amount_t reserved;
	cb_amount_t requested;
} workspace_leases_t;

struct cb_lease_book {
	cb_clock_t *clock;
	int64_t grants_from_ms; /* time before which no lease is granted */
	GHashTable *workspaces; /* workspace name to workspace_leases_t */
};

static void workspace_leases_delete_(void *data)
{
	workspace_leases_t *leases = data;

	g_hash_table_unref(leases->by_instance);
	g_free(leases);
}

/* Creates a lease book without leases. */
cb_lease_book_t *cb_lease_book_new(cb_clock_t *clock, int64_t leader_since_ms)
{
	cb_lease_book_t *book = g_new0(cb_lease_book_t, 1);

	book->clock = clock;
	book->grants_from_ms = leader_since_ms + CB_LEASE_MS;
	book->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      workspace_leases_delete_);
	return book;
}

/* Deletes a lease book; NULL is allowed. */
void cb_lease_book_delete(cb_lease_book_t *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->workspaces);
	g_free(book);
}

/* Returns a workspace's leases; adds an empty record if there is none. */
static workspace_leases_t *workspace_leases_get_(cb_lease_book_t *book,
						 const char *workspace)
{
	workspace_leases_t *leases =
		g_hash_table_lookup(book->workspaces, workspace);

	if (leases)
		return leases;
	leases = g_new0(workspace_leases_t, 1);
	leases->by_instance =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(book->workspaces, g_strdup(workspace), leases);
	return leases;
}

static void amount_add_(cb_amount_t *sum, cb_amount_t amount)
{
	sum->tokens_per_s += amount.tokens_per_s;
	sum->requests_per_s += amount.requests_per_s;
	sum->concurrent += amount.concurrent;
}

static cb_amount_t amount_max_(cb_amount_t a, cb_amount_t b)
{
	cb_amount_t larger = {
		.tokens_per_s = MAX(a.tokens_per_s, b.tokens_per_s),
		.requests_per_s = MAX(a.requests_per_s, b.requests_per_s),
		.concurrent = MAX(a.concurrent, b.concurrent),
	};

	return larger;
}

/* Removes the expired leases and adds up the others. */
static void workspace_leases_update_sums_(workspace_leases_t *leases,
					  int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	leases->reserved = (cb_amount_t){ 0 };
	leases->requested = (cb_amount_t){ 0 };
	g_hash_table_iter_init(&iter, leases->by_instance);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease_t *lease = value;

		if (lease->expires_ms <= now_ms) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		amount_add_(&leases->reserved, lease->reserved);
		amount_add_(&leases->requested, lease->requested);
	}
}

/*
 * Returns how much of one limit to grant to one instance.  `leasable` is the
 * amount of the limit that may be granted in all, `others_reserved` what is
 * reserved for the other instances, `others_requested` what they requested.
 * If the requests exceed the leasable amount, each instance gets a part in
 * proportion to its request; an instance whose lease is larger than that is
 * reduced at its next report.
 */
static int64_t grant_compute_(int64_t leasable, int64_t others_reserved,
			      int64_t requested, int64_t others_requested)
{
	int64_t available = MAX(leasable - others_reserved, 0);
	int64_t granted = requested;

	if (requested <= 0 || leasable <= 0)
		return 0;
	if (requested + others_requested > leasable)
		granted = (int64_t)((__int128)leasable * requested /
				    (requested + others_requested));
	if (!others_requested &&
	    granted > leasable * SOLE_LEASE_MAX_PER_MILLE / PER_MILLE)
		granted =
			MAX(leasable * SOLE_LEASE_MAX_PER_MILLE / PER_MILLE, 1);
	return MIN(granted, available);
}

/* Returns the part of a limit that remains after the floors. */
static int64_t leasable_amount_compute_(int64_t limit)
{
	return limit - limit * CB_FLOOR_PER_MILLE / PER_MILLE;
}

/*
 * Grants a lease of CB_LEASE_MS in answer to a demand and returns its amount,
 * which comes on top of the floor.  Grants nothing in the first CB_LEASE_MS
 * of a leadership.
 */
cb_amount_t cb_lease_book_grant(cb_lease_book_t *book,
				const cb_contract_t *contract,
				const char *instance, cb_demand_t demand)
{
	workspace_leases_t *leases =
		workspace_leases_get_(book, contract->workspace);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	cb_amount_t granted = { 0 };
	cb_amount_t requested = demand.requested;
	lease_t *lease;

	if (now_ms < book->grants_from_ms)
		return granted;
	g_hash_table_remove(leases->by_instance, instance);
	workspace_leases_update_sums_(leases, now_ms);
	granted.tokens_per_s = grant_compute_(
		leasable_amount_compute_(contract->ceiling_tokens_per_s),
		leases->reserved.tokens_per_s, requested.tokens_per_s,
		leases->requested.tokens_per_s);
	granted.requests_per_s = grant_compute_(
		leasable_amount_compute_(contract->ceiling_requests_per_s),
		leases->reserved.requests_per_s, requested.requests_per_s,
		leases->requested.requests_per_s);
	granted.concurrent = grant_compute_(
		leasable_amount_compute_(contract->concurrent_requests),
		leases->reserved.concurrent, requested.concurrent,
		leases->requested.concurrent);
	lease = g_new0(lease_t, 1);
	lease->reserved = amount_max_(granted, demand.leased);
	lease->requested = requested;
	lease->expires_ms = now_ms + CB_LEASE_MS;
	g_hash_table_insert(leases->by_instance, g_strdup(instance), lease);
	return granted;
}

/* Returns the floor of one of `count` instances; 0 if `count` is 0. */
cb_amount_t cb_contract_floor(const cb_contract_t *contract, uint32_t count)
{
	cb_amount_t floor_amount = { 0 };

	if (!count)
		return floor_amount;
	floor_amount.tokens_per_s = contract->ceiling_tokens_per_s *
				    CB_FLOOR_PER_MILLE / PER_MILLE / count;
	floor_amount.requests_per_s = contract->ceiling_requests_per_s *
				      CB_FLOOR_PER_MILLE / PER_MILLE / count;
	floor_amount.concurrent = contract->concurrent_requests *
				  CB_FLOOR_PER_MILLE / PER_MILLE / count;
	return floor_amount;
}
