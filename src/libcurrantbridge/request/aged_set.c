#include "private/aged_set.h"

/*
 * Two generations: hashes are added to the young one, which becomes the old one
 * after `keep_ms`, or earlier when it is full.
 */
struct cb_aged_set {
	int64_t keep_ms;
	unsigned int max_count;
	/* Maps hashes to the times at which they were last added. */
	GHashTable *young;
	GHashTable *old;
	int64_t turned_ms; /* when the young generation was begun */
};

static void *hash_key_(uint64_t hash)
{
	return GSIZE_TO_POINTER((gsize)hash);
}

/* Creates an empty set. */
cb_aged_set_t *cb_aged_set_new(int64_t keep_ms, unsigned int max_count)
{
	cb_aged_set_t *set = g_new0(cb_aged_set_t, 1);

	set->keep_ms = keep_ms;
	set->max_count = max_count;
	set->young = g_hash_table_new(g_direct_hash, g_direct_equal);
	set->old = g_hash_table_new(g_direct_hash, g_direct_equal);
	return set;
}

/* Deletes a set; NULL is allowed. */
void cb_aged_set_delete(cb_aged_set_t *set)
{
	if (!set)
		return;
	g_hash_table_unref(set->young);
	g_hash_table_unref(set->old);
	g_free(set);
}

/* Makes the young generation the old one, which is forgotten. */
static void generation_turn_(cb_aged_set_t *set, int64_t now_ms)
{
	GHashTable *oldest = set->old;

	set->old = set->young;
	set->young = oldest;
	g_hash_table_remove_all(oldest);
	set->turned_ms = now_ms;
}

static void generations_age_(cb_aged_set_t *set, int64_t now_ms)
{
	if (now_ms - set->turned_ms < set->keep_ms)
		return;
	if (now_ms - set->turned_ms >= 2 * set->keep_ms)
		g_hash_table_remove_all(set->young);
	generation_turn_(set, now_ms);
}

/* Adds a hash, or prolongs the time for which it is kept. */
void cb_aged_set_add(cb_aged_set_t *set, uint64_t hash, int64_t now_ms)
{
	generations_age_(set, now_ms);
	if (g_hash_table_size(set->young) >= set->max_count)
		generation_turn_(set, now_ms);
	g_hash_table_insert(set->young, hash_key_(hash),
			    GSIZE_TO_POINTER((gsize)now_ms));
}

int64_t cb_aged_set_added_ms(cb_aged_set_t *set, uint64_t hash, int64_t now_ms)
{
	void *added_ms;

	generations_age_(set, now_ms);
	if (!g_hash_table_lookup_extended(set->young, hash_key_(hash), NULL,
					  &added_ms) &&
	    !g_hash_table_lookup_extended(set->old, hash_key_(hash), NULL,
					  &added_ms))
		return -1;
	return (int64_t)GPOINTER_TO_SIZE(added_ms);
}

gboolean cb_aged_set_contains(cb_aged_set_t *set, uint64_t hash, int64_t now_ms)
{
	return cb_aged_set_added_ms(set, hash, now_ms) >= 0;
}
