#include "load.h"

/* Makes figures empty. */
void load_stats_init(load_stats_t *stats)
{
	*stats = (load_stats_t){ 0 };
	stats->first_token_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->longest_gap_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stats->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what figures hold. */
void load_stats_clear(load_stats_t *stats)
{
	g_array_unref(stats->first_token_us);
	g_array_unref(stats->gaps_us);
	g_array_unref(stats->longest_gap_us);
	g_hash_table_unref(stats->refusals);
}

static void refusal_add_(load_stats_t *stats, const char *reason,
			 uint64_t amount)
{
	uint64_t *count = g_hash_table_lookup(stats->refusals, reason);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(stats->refusals, g_strdup(reason), count);
	}
	*count += amount;
}

/* Returns why a request did not end whole. */
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
	g_array_append_val(stats->longest_gap_us, longest_us);
}

/* Adds the figures of one ended request. */
void load_stats_add(load_stats_t *stats, const load_result_t *result)
{
	stats->tokens += result->tokens;
	if (result->tokens)
		g_array_append_val(stats->first_token_us,
				   result->first_token_us);
	g_array_append_vals(stats->gaps_us, result->gaps_us->data,
			    result->gaps_us->len);
	longest_gap_add_(stats, result->gaps_us);
	if (result->is_wrong)
		stats->wrong++;
	if (result->is_abandoned) {
		stats->abandoned++;
		return;
	}
	if (result->is_whole) {
		stats->whole++;
		return;
	}
	if (result->tokens)
		stats->cut++;
	else
		stats->refused++;
	refusal_add_(stats, failure_reason_(result), 1);
}

/* Adds all figures of `stats` to `into`. */
void load_stats_merge(load_stats_t *into, const load_stats_t *stats)
{
	GHashTableIter iter;
	void *reason;
	void *count;

	into->started += stats->started;
	into->whole += stats->whole;
	into->wrong += stats->wrong;
	into->cut += stats->cut;
	into->refused += stats->refused;
	into->abandoned += stats->abandoned;
	into->tokens += stats->tokens;
	g_array_append_vals(into->first_token_us, stats->first_token_us->data,
			    stats->first_token_us->len);
	g_array_append_vals(into->gaps_us, stats->gaps_us->data,
			    stats->gaps_us->len);
	g_array_append_vals(into->longest_gap_us, stats->longest_gap_us->data,
			    stats->longest_gap_us->len);
	g_hash_table_iter_init(&iter, stats->refusals);
	while (g_hash_table_iter_next(&iter, &reason, &count))
		refusal_add_(into, reason, *(uint64_t *)count);
}

static int value_compare_(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Returns a percentile (0 to 100), or 0 without values; sorts them. */
int64_t load_percentile(GArray *values, unsigned int percent)
{
	if (!values->len)
		return 0;
	g_array_sort(values, value_compare_);
	return g_array_index(values, int64_t,
			     (uint64_t)(values->len - 1) * percent / 100);
}
