#include "load.h"

/* Initializes statistics of requests, without any request. */
void load_stats_init(load_stats_t *stats)
{
	*stats = (load_stats_t){ 0 };
	stats->first_token_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->longest_gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->failure_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the members of statistics of requests. */
void load_stats_clear(load_stats_t *stats)
{
	g_array_unref(stats->first_token_us);
	g_array_unref(stats->gaps_us);
	g_array_unref(stats->longest_gaps_us);
	g_hash_table_unref(stats->failure_counts);
}

static void failure_count_add_(load_stats_t *stats, const char *reason,
			       uint64_t count_added)
{
	uint64_t *count = g_hash_table_lookup(stats->failure_counts, reason);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(stats->failure_counts, g_strdup(reason),
				    count);
	}
	*count += count_added;
}

/* Returns why a request did not complete. */
static const char *failure_reason_(const load_result_t *result)
{
	if (result->reason)
		return result->reason;
	return result->status ? "cut" : "no_answer";
}

static void longest_gap_add_(load_stats_t *stats, const GArray *gaps_us)
{
	int64_t longest_us = 0;
	unsigned int i;

	if (!gaps_us->len)
		return;
	for (i = 0; i < gaps_us->len; i++)
		longest_us =
			MAX(longest_us, g_array_index(gaps_us, int64_t, i));
	g_array_append_val(stats->longest_gaps_us, longest_us);
}

/* Adds the result of one request. */
void load_stats_add(load_stats_t *stats, const load_result_t *result)
{
	stats->token_count += result->token_count;
	if (result->token_count)
		g_array_append_val(stats->first_token_us,
				   result->first_token_us);
	g_array_append_vals(stats->gaps_us, result->gaps_us->data,
			    result->gaps_us->len);
	longest_gap_add_(stats, result->gaps_us);
	if (result->has_wrong_token)
		stats->wrong_count++;
	if (result->is_abandoned) {
		stats->abandoned_count++;
		return;
	}
	if (result->is_complete) {
		stats->complete_count++;
		return;
	}
	if (result->token_count)
		stats->truncated_count++;
	else
		stats->refused_count++;
	failure_count_add_(stats, failure_reason_(result), 1);
}

/* Adds all statistics of `stats` to `into`. */
void load_stats_merge(load_stats_t *into, const load_stats_t *stats)
{
	GHashTableIter iter;
	void *reason;
	void *count;

	into->started_count += stats->started_count;
	into->complete_count += stats->complete_count;
	into->wrong_count += stats->wrong_count;
	into->truncated_count += stats->truncated_count;
	into->refused_count += stats->refused_count;
	into->abandoned_count += stats->abandoned_count;
	into->token_count += stats->token_count;
	g_array_append_vals(into->first_token_us, stats->first_token_us->data,
			    stats->first_token_us->len);
	g_array_append_vals(into->gaps_us, stats->gaps_us->data,
			    stats->gaps_us->len);
	g_array_append_vals(into->longest_gaps_us, stats->longest_gaps_us->data,
			    stats->longest_gaps_us->len);
	g_hash_table_iter_init(&iter, stats->failure_counts);
	while (g_hash_table_iter_next(&iter, &reason, &count))
		failure_count_add_(into, reason, *(uint64_t *)count);
}

static int value_compare_(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/*
 * Returns a percentile (0 to 100) of int64_t values, or 0 if there are none.
 * Sorts `values`.
 */
int64_t load_percentile(GArray *values, unsigned int percent)
{
	if (!values->len)
		return 0;
	g_array_sort(values, value_compare_);
	return g_array_index(values, int64_t,
			     (uint64_t)(values->len - 1) * percent / 100);
}
