#include "run.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

#include "currantbridge/program.h"

#define US_PER_MS 1000

static double us_to_ms_(int64_t us)
{
	return (double)us / US_PER_MS;
}

static void table_row_print_(const char *name, load_stats_t *stats,
			     double seconds)
{
	GHashTableIter iter;
	void *reason;
	void *count;

	printf("%-12s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
	       " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
	       " %8" G_GUINT64_FORMAT " %9.1f %9.2f %9.2f %8.2f %8.2f\n",
	       name, stats->started_count, stats->complete_count,
	       stats->truncated_count, stats->wrong_count,
	       stats->abandoned_count, (double)stats->token_count / seconds,
	       us_to_ms_(load_percentile(stats->first_token_us, 50)),
	       us_to_ms_(load_percentile(stats->first_token_us, 95)),
	       us_to_ms_(load_percentile(stats->gaps_us, 50)),
	       us_to_ms_(load_percentile(stats->gaps_us, 95)));
	g_hash_table_iter_init(&iter, stats->failure_counts);
	while (g_hash_table_iter_next(&iter, &reason, &count))
		printf("             %s: %" G_GUINT64_FORMAT "\n",
		       (char *)reason, *(uint64_t *)count);
}

static JsonArray *values_to_json_(const GArray *values)
{
	JsonArray *array = json_array_new();
	unsigned int i;

	for (i = 0; i < values->len; i++)
		json_array_add_int_element(array,
					   g_array_index(values, int64_t, i));
	return array;
}

static JsonObject *stats_to_json_(const char *name, load_stats_t *stats,
				  double seconds)
{
	JsonObject *object = json_object_new();
	JsonObject *failure_counts = json_object_new();
	GHashTableIter iter;
	void *reason;
	void *count;

	json_object_set_string_member(object, "workspace", name);
	json_object_set_int_member(object, "started",
				   (int64_t)stats->started_count);
	json_object_set_int_member(object, "whole",
				   (int64_t)stats->complete_count);
	json_object_set_int_member(object, "cut",
				   (int64_t)stats->truncated_count);
	json_object_set_int_member(object, "wrong",
				   (int64_t)stats->wrong_count);
	json_object_set_int_member(object, "refused",
				   (int64_t)stats->refused_count);
	json_object_set_int_member(object, "abandoned",
				   (int64_t)stats->abandoned_count);
	json_object_set_double_member(object, "tokens_per_s",
				      (double)stats->token_count / seconds);
	json_object_set_int_member(object, "first_token_p50_us",
				   load_percentile(stats->first_token_us, 50));
	json_object_set_int_member(object, "first_token_p95_us",
				   load_percentile(stats->first_token_us, 95));
	json_object_set_int_member(object, "gap_p50_us",
				   load_percentile(stats->gaps_us, 50));
	json_object_set_int_member(object, "gap_p95_us",
				   load_percentile(stats->gaps_us, 95));
	json_object_set_int_member(object, "gap_max_us",
				   load_percentile(stats->gaps_us, 100));
	g_hash_table_iter_init(&iter, stats->failure_counts);
	while (g_hash_table_iter_next(&iter, &reason, &count))
		json_object_set_int_member(failure_counts, reason,
					   *(int64_t *)count);
	json_object_set_object_member(object, "refusals", failure_counts);
	json_object_set_array_member(object, "longest_gaps_us",
				     values_to_json_(stats->longest_gaps_us));
	return object;
}

static void report_print_json_(run_t *run, load_stats_t *total, double seconds)
{
	JsonArray *array = json_array_new();
	JsonObject *root = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	unsigned int i;
	char *text;

	for (i = 0; i < run->workspaces->len; i++) {
		workspace_t *workspace = g_ptr_array_index(run->workspaces, i);

		json_array_add_object_element(array,
					      stats_to_json_(workspace->name,
							     &workspace->stats,
							     seconds));
	}
	json_object_set_array_member(root, "workspaces", array);
	json_object_set_object_member(root, "all",
				      stats_to_json_("all", total, seconds));
	json_object_set_double_member(root, "seconds", seconds);
	json_object_set_int_member(root, "seed", run->options->seed);
	json_node_take_object(node, root);
	text = json_to_string(node, FALSE);
	printf("%s\n", text);
	g_free(text);
	json_node_unref(node);
}

/*
 * Prints the statistics of a run that took `seconds`.  Returns the exit code:
 * success if a request completed and no token was wrong.
 */
int run_report(run_t *run, double seconds)
{
	load_stats_t total;
	unsigned int i;
	gboolean is_successful;

	load_stats_init(&total);
	for (i = 0; i < run->workspaces->len; i++) {
		workspace_t *workspace = g_ptr_array_index(run->workspaces, i);

		load_stats_merge(&total, &workspace->stats);
	}
	if (run->options->is_json) {
		report_print_json_(run, &total, seconds);
	} else {
		printf("%-12s %8s %8s %6s %6s %8s %9s %9s %9s %8s %8s\n",
		       "workspace", "started", "whole", "cut", "wrong",
		       "abandon", "tokens/s", "TTFT p50", "TTFT p95", "gap p50",
		       "gap p95");
		for (i = 0; i < run->workspaces->len; i++) {
			workspace_t *workspace =
				g_ptr_array_index(run->workspaces, i);

			table_row_print_(workspace->name, &workspace->stats,
					 seconds);
		}
		table_row_print_("all", &total, seconds);
	}
	is_successful = !total.wrong_count && total.complete_count;
	load_stats_clear(&total);
	return is_successful ? CB_EXIT_OK : CB_EXIT_FAILURE;
}
