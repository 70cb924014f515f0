#include "private/retry_budget.h"

#define US_PER_S 1000000.0
#define RETRIES_PER_SUCCESS 0.2
#define WORKSPACE_RETRIES_PER_S 10.0
#define WORKSPACE_MAX_RETRIES 100.0
#define OVERALL_RETRIES_PER_S 50.0
#define OVERALL_MAX_RETRIES 1000.0

typedef struct bucket {
	double level;
	double max_level;
	double per_s;
	int64_t filled_at_us;
} bucket_t;

struct cb_retry_budget {
	cb_clock_t *clock;
	bucket_t overall;
	GHashTable *by_workspace;
};

static bucket_t bucket_(double max_level, double per_s, int64_t now_us)
{
	return (bucket_t){ .level = max_level,
			   .max_level = max_level,
			   .per_s = per_s,
			   .filled_at_us = now_us };
}

static void bucket_add_(bucket_t *bucket, double amount)
{
	bucket->level = MIN(bucket->level + amount, bucket->max_level);
}

static void bucket_refill_(bucket_t *bucket, int64_t now_us)
{
	double elapsed_s = (double)(now_us - bucket->filled_at_us) / US_PER_S;

	bucket_add_(bucket, elapsed_s * bucket->per_s);
	bucket->filled_at_us = now_us;
}

static bucket_t *workspace_bucket_(cb_retry_budget_t *budget,
				   const char *workspace)
{
	bucket_t *bucket = g_hash_table_lookup(budget->by_workspace, workspace);

	if (bucket)
		return bucket;
	bucket = g_new(bucket_t, 1);
	*bucket = bucket_(WORKSPACE_MAX_RETRIES, WORKSPACE_RETRIES_PER_S,
			  cb_clock_now_us(budget->clock));
	g_hash_table_insert(budget->by_workspace, g_strdup(workspace), bucket);
	return bucket;
}

/* Makes a budget whose buckets are full. */
cb_retry_budget_t *cb_retry_budget_new(cb_clock_t *clock)
{
	cb_retry_budget_t *budget = g_new0(cb_retry_budget_t, 1);

	budget->clock = clock;
	budget->overall = bucket_(OVERALL_MAX_RETRIES, OVERALL_RETRIES_PER_S,
				  cb_clock_now_us(clock));
	budget->by_workspace =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

/* Deletes a budget; NULL is allowed. */
void cb_retry_budget_delete(cb_retry_budget_t *budget)
{
	if (!budget)
		return;
	g_hash_table_unref(budget->by_workspace);
	g_free(budget);
}

/* Takes one retry; returns FALSE, taking none, when the budget is spent. */
gboolean cb_retry_budget_take(cb_retry_budget_t *budget, const char *workspace)
{
	bucket_t *bucket = workspace_bucket_(budget, workspace);
	int64_t now_us = cb_clock_now_us(budget->clock);

	bucket_refill_(bucket, now_us);
	bucket_refill_(&budget->overall, now_us);
	if (bucket->level < 1 || budget->overall.level < 1)
		return FALSE;
	bucket->level -= 1;
	budget->overall.level -= 1;
	return TRUE;
}

/* Notes a request that succeeded, which earns a share of a retry. */
void cb_retry_budget_succeeded(cb_retry_budget_t *budget, const char *workspace)
{
	bucket_add_(workspace_bucket_(budget, workspace), RETRIES_PER_SUCCESS);
	bucket_add_(&budget->overall, RETRIES_PER_SUCCESS);
}
