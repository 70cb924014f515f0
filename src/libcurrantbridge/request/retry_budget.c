#include "private/retry_budget.h"

#define US_PER_S 1000000.0
#define RETRIES_PER_SUCCESS 0.2
#define WORKSPACE_RETRIES_PER_S 10.0
#define WORKSPACE_MAX_RETRIES 100.0
#define OVERALL_RETRIES_PER_S 50.0
#define OVERALL_MAX_RETRIES 1000.0

/* A token bucket of retries. */
typedef struct bucket {
	double retries; /* number of retries that are available now */
	double max_retries;
	double retries_per_s;
	int64_t refilled_at_us;
} bucket_t;

struct cb_retry_budget {
	cb_clock_t *clock;
	bucket_t overall;
	GHashTable *workspace_buckets; /* workspace name to bucket_t */
};

static bucket_t bucket_make_(double max_retries, double retries_per_s,
			     int64_t now_us)
{
	return (bucket_t){ .retries = max_retries,
			   .max_retries = max_retries,
			   .retries_per_s = retries_per_s,
			   .refilled_at_us = now_us };
}

static void bucket_add_(bucket_t *bucket, double retries)
{
	bucket->retries = MIN(bucket->retries + retries, bucket->max_retries);
}

static void bucket_refill_(bucket_t *bucket, int64_t now_us)
{
	double elapsed_s = (double)(now_us - bucket->refilled_at_us) / US_PER_S;

	bucket_add_(bucket, elapsed_s * bucket->retries_per_s);
	bucket->refilled_at_us = now_us;
}

static bucket_t *workspace_bucket_get_(cb_retry_budget_t *budget,
				       const char *workspace)
{
	bucket_t *bucket =
		g_hash_table_lookup(budget->workspace_buckets, workspace);

	if (bucket)
		return bucket;
	bucket = g_new(bucket_t, 1);
	*bucket = bucket_make_(WORKSPACE_MAX_RETRIES, WORKSPACE_RETRIES_PER_S,
			       cb_clock_now_us(budget->clock));
	g_hash_table_insert(budget->workspace_buckets, g_strdup(workspace),
			    bucket);
	return bucket;
}

/* Creates a budget with full buckets. */
cb_retry_budget_t *cb_retry_budget_new(cb_clock_t *clock)
{
	cb_retry_budget_t *budget = g_new0(cb_retry_budget_t, 1);

	budget->clock = clock;
	budget->overall =
		bucket_make_(OVERALL_MAX_RETRIES, OVERALL_RETRIES_PER_S,
			     cb_clock_now_us(clock));
	budget->workspace_buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

/* Deletes a budget; NULL is allowed. */
void cb_retry_budget_delete(cb_retry_budget_t *budget)
{
	if (!budget)
		return;
	g_hash_table_unref(budget->workspace_buckets);
	g_free(budget);
}

/* Draws one retry; returns FALSE, drawing none, if the budget is exhausted. */
gboolean cb_retry_budget_take(cb_retry_budget_t *budget, const char *workspace)
{
	bucket_t *bucket = workspace_bucket_get_(budget, workspace);
	int64_t now_us = cb_clock_now_us(budget->clock);

	bucket_refill_(bucket, now_us);
	bucket_refill_(&budget->overall, now_us);
	if (bucket->retries < 1 || budget->overall.retries < 1)
		return FALSE;
	bucket->retries -= 1;
	budget->overall.retries -= 1;
	return TRUE;
}

/* Records a successful request; adds RETRIES_PER_SUCCESS to the budget. */
void cb_retry_budget_record_success(cb_retry_budget_t *budget,
				    const char *workspace)
{
	bucket_add_(workspace_bucket_get_(budget, workspace),
		    RETRIES_PER_SUCCESS);
	bucket_add_(&budget->overall, RETRIES_PER_SUCCESS);
}
