#include "run.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"

/* After the load ends, streams under way get so long to end. */
#define SETTLE_MS 30000
/* A caller without an answer waits so long before it tries again. */
#define RETRY_MS 100
#define MAX_SECONDS 3600

/* One request of the load; frees itself when it has ended. */
typedef struct shot {
	workspace_t *workspace;
	char *prompt;
	uint64_t abandon_after;
	cb_timer_t *retry;
} shot_t;

static void shot_start_(workspace_t *workspace);

static gboolean is_closed_loop_(const workspace_t *workspace)
{
	return workspace->rate <= 0;
}

static void run_check_end_(run_t *run)
{
	if (run->has_ended && !run->in_flight)
		g_main_loop_quit(run->loop);
}

static void shot_delete_(shot_t *shot)
{
	cb_timer_delete(shot->retry);
	g_free(shot->prompt);
	g_free(shot);
}

/* Begins the next request of a closed loop, once the pause has passed. */
static void shot_next_(void *user_data)
{
	shot_t *shot = user_data;
	workspace_t *workspace = shot->workspace;
	run_t *run = workspace->run;

	run->in_flight--;
	shot_delete_(shot);
	if (is_closed_loop_(workspace) && !run->has_ended)
		shot_start_(workspace);
	run_check_end_(run);
}

static void shot_ended_(const load_result_t *result, void *user_data)
{
	shot_t *shot = user_data;
	int64_t pause_ms = 0;

	load_stats_add(&shot->workspace->stats, result);
	if (!result->is_whole && !result->is_abandoned)
		pause_ms = MAX(RETRY_MS, result->retry_after_s * 1000);
	if (!is_closed_loop_(shot->workspace) ||
	    shot->workspace->run->has_ended)
		pause_ms = 0;
	cb_timer_start(shot->retry, pause_ms);
}

static void shot_send_(const char *address, void *user_data)
{
	shot_t *shot = user_data;
	workspace_t *workspace = shot->workspace;
	const run_options_t *options = workspace->run->options;
	load_request_t request = {
		.address = address,
		.key = workspace->key,
		.model = options->model,
		.prompt = shot->prompt,
		.max_tokens = (uint64_t)options->max_tokens,
		.abandon_after = shot->abandon_after,
		.layer_count = (uint32_t)options->layers,
	};
	load_result_t none = { 0 };

	if (address) {
		load_stream_start(workspace->run->session, &request, NULL,
				  shot_ended_, shot);
		return;
	}
	none.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	shot_ended_(&none, shot);
	g_array_unref(none.gaps_us);
}

static void shot_start_(workspace_t *workspace)
{
	run_t *run = workspace->run;
	const run_options_t *options = run->options;
	shot_t *shot = g_new0(shot_t, 1);
	uint64_t turn = workspace->turn++;

	shot->workspace = workspace;
	shot->retry = cb_timer_new(run->clock, shot_next_, shot);
	shot->prompt =
		g_strdup_printf("%s %" G_GUINT64_FORMAT " seed %d #tokens=%d",
				workspace->name, turn, options->seed,
				options->used_tokens);
	if (g_rand_double(run->random) < options->abandon)
		shot->abandon_after = (uint64_t)g_rand_int_range(
			run->random, 1, MAX(2, options->used_tokens));
	workspace->stats.started++;
	run->in_flight++;
	load_addresses_get(run->addresses, workspace->name, turn, shot_send_,
			   shot);
}

/* Open loop: requests arrive as a Poisson process of the given rate. */
static void arrival_(void *user_data)
{
	workspace_t *workspace = user_data;
	run_t *run = workspace->run;
	double gap_s;

	if (run->has_ended)
		return;
	shot_start_(workspace);
	gap_s = -log(1.0 - g_rand_double(run->random)) / workspace->rate;
	cb_timer_start(workspace->arrival, (int64_t)(gap_s * 1000));
}

static void run_end_(void *user_data)
{
	run_t *run = user_data;

	if (run->has_ended) {
		g_main_loop_quit(run->loop);
		return;
	}
	run->has_ended = TRUE;
	cb_timer_start(run->end_timer, SETTLE_MS);
	run_check_end_(run);
}

static gboolean workspace_add_(run_t *run, const char *text)
{
	const char *equals = strchr(text, '=');
	const char *at = strchr(text, '@');
	workspace_t *workspace;

	if (!equals || equals == text || !equals[1])
		return FALSE;
	workspace = g_new0(workspace_t, 1);
	workspace->run = run;
	workspace->name = g_strndup(text, equals - text);
	workspace->key = at ? g_strndup(equals + 1, at - equals - 1) :
			      g_strdup(equals + 1);
	workspace->rate =
		at ? g_ascii_strtod(at + 1, NULL) : run->options->rate;
	workspace->arrival = cb_timer_new(run->clock, arrival_, workspace);
	load_stats_init(&workspace->stats);
	g_ptr_array_add(run->workspaces, workspace);
	return TRUE;
}

static void workspace_delete_(void *data)
{
	workspace_t *workspace = data;

	cb_timer_delete(workspace->arrival);
	load_stats_clear(&workspace->stats);
	g_free(workspace->name);
	g_free(workspace->key);
	g_free(workspace);
}

static void run_begin_(run_t *run)
{
	unsigned int i;
	int j;

	for (i = 0; i < run->workspaces->len; i++) {
		workspace_t *workspace = g_ptr_array_index(run->workspaces, i);

		if (!is_closed_loop_(workspace))
			arrival_(workspace);
		for (j = 0; is_closed_loop_(workspace) &&
			    j < run->options->concurrency;
		     j++)
			shot_start_(workspace);
	}
}

static int run_load_(run_t *run)
{
	char **entries = g_strsplit(run->options->entry, ",", -1);
	int64_t begin_us = g_get_monotonic_time();
	int64_t ended_us;

	run->loop = g_main_loop_new(NULL, FALSE);
	run->session = load_session_new();
	run->random = g_rand_new_with_seed((uint32_t)run->options->seed);
	run->addresses = load_addresses_new(run->session, run->clock, entries);
	run->end_timer = cb_timer_new(run->clock, run_end_, run);
	cb_timer_start(run->end_timer, (int64_t)run->options->seconds * 1000);
	run_begin_(run);
	g_main_loop_run(run->loop);
	ended_us = g_get_monotonic_time();
	cb_timer_delete(run->end_timer);
	load_addresses_delete(run->addresses);
	g_rand_free(run->random);
	g_object_unref(run->session);
	g_main_loop_unref(run->loop);
	g_strfreev(entries);
	return run_report(run, (double)(ended_us - begin_us) / G_USEC_PER_SEC);
}

static gboolean options_check_(const run_options_t *options)
{
	const char *missing = NULL;

	if (!options->entry)
		missing = "entry";
	else if (!options->workspaces)
		missing = "workspace";
	else if (!options->model)
		missing = "model";
	if (missing) {
		fprintf(stderr, "cb-load: --%s: is required\n", missing);
		return FALSE;
	}
	if (options->seconds < 1 || options->seconds > MAX_SECONDS) {
		fprintf(stderr, "cb-load: --seconds: must be from 1 to %d\n",
			MAX_SECONDS);
		return FALSE;
	}
	if (options->abandon < 0 || options->abandon > 1) {
		fprintf(stderr, "cb-load: --abandon: must be from 0 to 1\n");
		return FALSE;
	}
	if (options->used_tokens < 1 ||
	    options->max_tokens < options->used_tokens) {
		fprintf(stderr, "cb-load: --used-tokens: must be from 1 to "
				"--max-tokens\n");
		return FALSE;
	}
	return TRUE;
}

/* `cb-load run`: loads the system and prints what the callers saw. */
int load_run_main(int argc, char **argv)
{
	run_options_t options = { .concurrency = 1,
				  .seconds = 5,
				  .max_tokens = 32,
				  .used_tokens = 32,
				  .layers = 4,
				  .seed = 1 };
	const GOptionEntry entries[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &options.entry,
		  "Entry instances to ask for addresses", "IP:PORT,..." },
		{ "workspace", 0, 0, G_OPTION_ARG_STRING_ARRAY,
		  &options.workspaces,
		  "Workspace, with its requests a second; may be repeated",
		  "NAME=KEY[@RATE]" },
		{ "model", 0, 0, G_OPTION_ARG_STRING, &options.model, "Model",
		  "NAME" },
		{ "concurrency", 0, 0, G_OPTION_ARG_INT, &options.concurrency,
		  "Requests at once for each workspace (default 1)", "N" },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.rate,
		  "Requests a second for each workspace, instead", "R" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
		  "How long (default 5)", "N" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &options.max_tokens,
		  "Tokens asked for (default 32)", "N" },
		{ "used-tokens", 0, 0, G_OPTION_ARG_INT, &options.used_tokens,
		  "Tokens that the answer has (default 32)", "N" },
		{ "abandon", 0, 0, G_OPTION_ARG_DOUBLE, &options.abandon,
		  "Share of requests that their callers abandon", "RATIO" },
		{ "layers", 0, 0, G_OPTION_ARG_INT, &options.layers,
		  "Layers to check answers by; 0: no check (default 4)", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of all chance (default 1)", "N" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &options.is_json,
		  "Print JSON", NULL },
		G_OPTION_ENTRY_NULL
	};
	run_t run = { .options = &options };
	char **workspace;
	int exit_code;

	if (!cb_program_parse(&argc, &argv, NULL,
			      "Loads the system for some seconds.", entries,
			      &exit_code))
		return exit_code;
	if (!options_check_(&options))
		return CB_EXIT_USAGE;
	run.clock = cb_clock_new(NULL);
	run.workspaces = g_ptr_array_new_with_free_func(workspace_delete_);
	exit_code = CB_EXIT_USAGE;
	for (workspace = options.workspaces; *workspace; workspace++) {
		if (workspace_add_(&run, *workspace))
			continue;
		fprintf(stderr,
			"cb-load: --workspace: must be NAME=KEY[@RATE]\n");
		goto out;
	}
	exit_code = run_load_(&run);
out:
	g_ptr_array_unref(run.workspaces);
	cb_clock_delete(run.clock);
	return exit_code;
}
