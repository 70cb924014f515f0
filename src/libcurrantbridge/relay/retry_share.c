#include "private/retry_share.h"

/*
 * A full bucket may be spent at once and refills within the same window, so
 * each holds half; the same half keeps the ratio of two windows' requests.
 */
#define HALF 0.5

typedef struct bucket {
	double level;
	int64_t filled_ms;
} bucket_t;

struct cb_retry_share {
	cb_clock_t *clock;
	cb_retry_bound_t bound;
	unsigned int instances;
	GHashTable *by_service;
};

/* Makes a share of the bound; it counts as the only instance at first. */
cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock,
				     const cb_retry_bound_t *bound)
{
	cb_retry_share_t *share = g_new0(cb_retry_share_t, 1);

	share->clock = clock;
	share->bound = *bound;
	share->instances = 1;
	share->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return share;
}

/* Frees a share; NULL is allowed. */
void cb_retry_share_delete(cb_retry_share_t *share)
{
	if (!share)
		return;
	g_hash_table_unref(share->by_service);
	g_free(share);
}

/*
 * Sets among how many instances the fixed number is divided.  It never grows
 * one instance's part: others that were just cut off still use theirs.
 */
void cb_retry_share_instances(cb_retry_share_t *share, unsigned int instances)
{
	share->instances = MAX(share->instances, instances);
}

static double most_(const cb_retry_share_t *share)
{
	return HALF * share->bound.extra / share->instances;
}

static bucket_t *bucket_(cb_retry_share_t *share, const char *service)
{
	bucket_t *bucket = g_hash_table_lookup(share->by_service, service);
	int64_t now_ms = cb_clock_now_ms(share->clock);
	double most = most_(share);

	if (!bucket) {
		bucket = g_new0(bucket_t, 1);
		bucket->level = most;
		bucket->filled_ms = now_ms;
		g_hash_table_insert(share->by_service, g_strdup(service),
				    bucket);
	}
	bucket->level += most * (double)(now_ms - bucket->filled_ms) /
			 (double)share->bound.window_ms;
	bucket->level = MIN(bucket->level, most);
	bucket->filled_ms = now_ms;
	return bucket;
}

/* Counts a request, which allows a part of a retry. */
void cb_retry_share_request(cb_retry_share_t *share, const char *service)
{
	bucket_t *bucket = bucket_(share, service);

	bucket->level =
		MIN(bucket->level + HALF * share->bound.ratio, most_(share));
}

/* Takes a retry; FALSE, taking none, when none is left. */
gboolean cb_retry_share_take(cb_retry_share_t *share, const char *service)
{
	bucket_t *bucket = bucket_(share, service);

	if (bucket->level < 1)
		return FALSE;
	bucket->level -= 1;
	return TRUE;
}
