#include "currantbridge/allocation.h"

#define PER_MILLE 1000
/*
 * An instance that wants more than is free gets at most this part of what
 * the others have left, so that one that comes later finds something.
 */
#define LARGEST_PART_PER_MILLE 900

typedef struct lease {
	/* The larger of what was granted and what the instance held. */
	cb_amount_t counted;
	cb_amount_t wanted;
	int64_t expires_ms;
} lease_t;

/* The leases of one workspace. */
typedef struct account {
	GHashTable *leases; /* instance -> lease_t */
	cb_amount_t lent;
	cb_amount_t wanted;
} account_t;

struct cb_lease_book {
	cb_clock_t *clock;
	int64_t lends_from_ms;
	GHashTable *accounts; /* workspace -> account_t */
};

static void account_delete_(void *data)
{
	account_t *account = data;

	g_hash_table_unref(account->leases);
	g_free(account);
}

/* Makes an empty book of leases. */
cb_lease_book_t *cb_lease_book_new(cb_clock_t *clock, int64_t lender_since_ms)
{
	cb_lease_book_t *book = g_new0(cb_lease_book_t, 1);

	book->clock = clock;
	book->lends_from_ms = lender_since_ms + CB_LEASE_MS;
	book->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       account_delete_);
	return book;
}

/* Deletes a book; NULL is allowed. */
void cb_lease_book_delete(cb_lease_book_t *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->accounts);
	g_free(book);
}

static account_t *account_get_(cb_lease_book_t *book, const char *workspace)
{
	account_t *account = g_hash_table_lookup(book->accounts, workspace);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->leases =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(book->accounts, g_strdup(workspace), account);
	return account;
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

/* Drops the leases that have expired and adds up the others. */
static void account_settle_(account_t *account, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	account->lent = (cb_amount_t){ 0 };
	account->wanted = (cb_amount_t){ 0 };
	g_hash_table_iter_init(&iter, account->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease_t *lease = value;

		if (lease->expires_ms <= now_ms) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		amount_add_(&account->lent, lease->counted);
		amount_add_(&account->wanted, lease->wanted);
	}
}

/*
 * One limit's part for one instance.  `pool` is what may be lent in all,
 * `others` what other instances hold now, `others_wanted` what they asked
 * for.  If all together want too much, each gets its proportion; an
 * instance that holds more than that shrinks at its next report.
 */
static int64_t part_(int64_t pool, int64_t others, int64_t wanted,
		     int64_t others_wanted)
{
	int64_t free_now = MAX(pool - others, 0);
	int64_t fair = wanted;

	if (wanted <= 0 || pool <= 0)
		return 0;
	if (wanted + others_wanted > pool)
		fair = (int64_t)((__int128)pool * wanted /
				 (wanted + others_wanted));
	if (!others_wanted && fair > pool * LARGEST_PART_PER_MILLE / PER_MILLE)
		fair = MAX(pool * LARGEST_PART_PER_MILLE / PER_MILLE, 1);
	return MIN(fair, free_now);
}

/* A limit's part that is not shared out as floors. */
static int64_t pool_(int64_t limit)
{
	return limit - limit * CB_FLOOR_PER_MILLE / PER_MILLE;
}

/*
 * Answers a demand with what may be used beside the floor for CB_LEASE_MS;
 * nothing in the first CB_LEASE_MS of a leadership.
 */
cb_amount_t cb_lease_book_lend(cb_lease_book_t *book,
			       const cb_contract_t *contract,
			       const char *instance, cb_demand_t demand)
{
	account_t *account = account_get_(book, contract->workspace);
	int64_t now_ms = cb_clock_now_ms(book->clock);
	cb_amount_t granted = { 0 };
	cb_amount_t wanted = demand.wanted;
	lease_t *lease;

	if (now_ms < book->lends_from_ms)
		return granted;
	g_hash_table_remove(account->leases, instance);
	account_settle_(account, now_ms);
	granted.tokens_per_s =
		part_(pool_(contract->ceiling_tokens_per_s),
		      account->lent.tokens_per_s, wanted.tokens_per_s,
		      account->wanted.tokens_per_s);
	granted.requests_per_s =
		part_(pool_(contract->ceiling_requests_per_s),
		      account->lent.requests_per_s, wanted.requests_per_s,
		      account->wanted.requests_per_s);
	granted.concurrent = part_(pool_(contract->concurrent_requests),
				   account->lent.concurrent, wanted.concurrent,
				   account->wanted.concurrent);
	lease = g_new0(lease_t, 1);
	lease->counted = amount_max_(granted, demand.held);
	lease->wanted = wanted;
	lease->expires_ms = now_ms + CB_LEASE_MS;
	g_hash_table_insert(account->leases, g_strdup(instance), lease);
	return granted;
}

/* Returns one instance's floor, when the address answer names `count`. */
cb_amount_t cb_floor(const cb_contract_t *contract, uint32_t count)
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
