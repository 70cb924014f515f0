#include "run.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"

/* Requests in flight at the end of the run may take this long to end. */
#define DRAIN_TIMEOUT_MS 30000
/* Least delay after a failure before a closed loop sends its next request. */
#define MIN_RETRY_DELAY_MS 100
#define MAX_DURATION_S 3600

/* One request that cb-load sends; freed when the request has ended. */
typedef struct request {
	workspace_t *workspace;
	char *prompt;
	/* Number of tokens after which to disconnect; 0: never. */
	uint64_t abandon_after_tokens;
	/* Runs from a request's result to the start of the next one. */
	cb_timer_t *pause_timer;
} request_t;

static void request_start_(workspace_t *workspace);

static gboolean workspace_is_closed_loop_(const workspace_t *workspace)
{
	return workspace->requests_per_s <= 0;
}

static void run_quit_if_drained_(run_t *run)
{
	if (run->is_draining && !run->in_flight_count)
		g_main_loop_quit(run->loop);
}

static void request_delete_(request_t *request)
{
	cb_timer_delete(request->pause_timer);
	g_free(request->prompt);
	g_free(request);
}

/* Deletes an ended request and starts the next one of a closed loop. */
static void request_finish_(void *user_data)
{
	request_t *request = user_data;
	workspace_t *workspace = request->workspace;
	run_t *run = workspace->run;

	run->in_flight_count--;
	request_delete_(request);
	if (workspace_is_closed_loop_(workspace) && !run->is_draining)
		request_start_(workspace);
	run_quit_if_drained_(run);
}

static void request_handle_result_(const load_result_t *result, void *user_data)
{
	request_t *request = user_data;
	int64_t pause_ms = 0;

	load_stats_add(&request->workspace->stats, result);
	if (!result->is_complete && !result->is_abandoned)
		pause_ms =
			MAX(MIN_RETRY_DELAY_MS, result->retry_after_s * 1000);
	if (!workspace_is_closed_loop_(request->workspace) ||
	    request->workspace->run->is_draining)
		pause_ms = 0;
	cb_timer_start(request->pause_timer, pause_ms);
}

static void request_send_(const char *address, void *user_data)
{
	request_t *request = user_data;
	workspace_t *workspace = request->workspace;
	const run_options_t *options = workspace->run->options;
	load_request_t stream_request = {
		.address = address,
		.key = workspace->key,
		.model = options->model,
		.prompt = request->prompt,
		.max_tokens = (uint64_t)options->max_tokens,
		.abandon_after_tokens = request->abandon_after_tokens,
		.layer_count = (uint32_t)options->layer_count,
	};
	load_result_t no_result = { 0 };

	if (address) {
		load_stream_start(workspace->run->session, &stream_request,
				  NULL, request_handle_result_, request);
		return;
	}
	no_result.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	request_handle_result_(&no_result, request);
	g_array_unref(no_result.gaps_us);
}

static void request_start_(workspace_t *workspace)
{
	run_t *run = workspace->run;
	const run_options_t *options = run->options;
	request_t *request = g_new0(request_t, 1);
	uint64_t request_number = workspace->next_request_number++;

	request->workspace = workspace;
	request->pause_timer =
		cb_timer_new(run->clock, request_finish_, request);
	request->prompt =
		g_strdup_printf("%s %" G_GUINT64_FORMAT " seed %d #tokens=%d",
				workspace->name, request_number, options->seed,
				options->answer_tokens);
	if (g_rand_double(run->random) < options->abandoned_share)
		request->abandon_after_tokens = (uint64_t)g_rand_int_range(
			run->random, 1, MAX(2, options->answer_tokens));
	workspace->stats.started_count++;
	run->in_flight_count++;
	load_addresses_get(run->addresses, workspace->name, request_number,
			   request_send_, request);
}

/*
 * Starts a request of an open loop; its requests arrive as a Poisson process.
 */
static void workspace_handle_arrival_(void *user_data)
{
	workspace_t *workspace = user_data;
	run_t *run = workspace->run;
	double interval_s;

	if (run->is_draining)
		return;
	request_start_(workspace);
	interval_s = -log(1.0 - g_rand_double(run->random)) /
		     workspace->requests_per_s;
	cb_timer_start(workspace->arrival_timer, (int64_t)(interval_s * 1000));
}

/*
 * Called when the duration has passed, to drain the requests in flight, and
 * again when the time for that has passed, to end the run.
 */
static void run_handle_end_timer_(void *user_data)
{
	run_t *run = user_data;

	if (run->is_draining) {
		g_main_loop_quit(run->loop);
		return;
	}
	run->is_draining = TRUE;
	cb_timer_start(run->end_timer, DRAIN_TIMEOUT_MS);
	run_quit_if_drained_(run);
}

/* Adds a workspace given as NAME=KEY[@RATE]; returns FALSE if malformed. */
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
	workspace->requests_per_s = at ? g_ascii_strtod(at + 1, NULL) :
					 run->options->requests_per_s;
	workspace->arrival_timer =
		cb_timer_new(run->clock, workspace_handle_arrival_, workspace);
	load_stats_init(&workspace->stats);
	g_ptr_array_add(run->workspaces, workspace);
	return TRUE;
}

static void workspace_delete_(void *data)
{
	workspace_t *workspace = data;

	cb_timer_delete(workspace->arrival_timer);
	load_stats_clear(&workspace->stats);
	g_free(workspace->name);
	g_free(workspace->key);
	g_free(workspace);
}

static void run_start_requests_(run_t *run)
{
	unsigned int i;
	int j;

	for (i = 0; i < run->workspaces->len; i++) {
		workspace_t *workspace = g_ptr_array_index(run->workspaces, i);

		if (!workspace_is_closed_loop_(workspace))
			workspace_handle_arrival_(workspace);
		for (j = 0; workspace_is_closed_loop_(workspace) &&
			    j < run->options->concurrency;
		     j++)
			request_start_(workspace);
	}
}

static int run_execute_(run_t *run)
{
	char **entries = g_strsplit(run->options->entry, ",", -1);
	int64_t started_us = g_get_monotonic_time();
	int64_t ended_us;

	run->loop = g_main_loop_new(NULL, FALSE);
	run->session = load_session_new();
	run->random = g_rand_new_with_seed((uint32_t)run->options->seed);
	run->addresses = load_addresses_new(run->session, run->clock, entries);
	run->end_timer = cb_timer_new(run->clock, run_handle_end_timer_, run);
	cb_timer_start(run->end_timer,
		       (int64_t)run->options->duration_s * 1000);
	run_start_requests_(run);
	g_main_loop_run(run->loop);
	ended_us = g_get_monotonic_time();
	cb_timer_delete(run->end_timer);
	load_addresses_delete(run->addresses);
	g_rand_free(run->random);
	g_object_unref(run->session);
	g_main_loop_unref(run->loop);
	g_strfreev(entries);
	return run_report(run,
			  (double)(ended_us - started_us) / G_USEC_PER_SEC);
}

static gboolean options_validate_(const run_options_t *options)
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
	if (options->duration_s < 1 || options->duration_s > MAX_DURATION_S) {
		fprintf(stderr, "cb-load: --seconds: must be from 1 to %d\n",
			MAX_DURATION_S);
		return FALSE;
	}
	if (options->abandoned_share < 0 || options->abandoned_share > 1) {
		fprintf(stderr, "cb-load: --abandon: must be from 0 to 1\n");
		return FALSE;
	}
	if (options->answer_tokens < 1 ||
	    options->max_tokens < options->answer_tokens) {
		fprintf(stderr, "cb-load: --used-tokens: must be from 1 to "
				"--max-tokens\n");
		return FALSE;
	}
	return TRUE;
}

/* `cb-load run`: loads the system and prints statistics of the callers. */
int load_run_main(int argc, char **argv)
{
	run_options_t options = { .concurrency = 1,
				  .duration_s = 5,
				  .max_tokens = 32,
				  .answer_tokens = 32,
				  .layer_count = 4,
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
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.requests_per_s,
		  "Requests a second for each workspace, instead", "R" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.duration_s,
		  "How long (default 5)", "N" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &options.max_tokens,
		  "Tokens requested (default 32)", "N" },
		{ "used-tokens", 0, 0, G_OPTION_ARG_INT, &options.answer_tokens,
		  "Tokens that the answer has (default 32)", "N" },
		{ "abandon", 0, 0, G_OPTION_ARG_DOUBLE,
		  &options.abandoned_share,
		  "Share of requests that their callers abandon", "RATIO" },
		{ "layers", 0, 0, G_OPTION_ARG_INT, &options.layer_count,
		  "Layers, to check the answers; 0: no check (default 4)",
		  "N" },
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
	if (!options_validate_(&options))
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
	exit_code = run_execute_(&run);
out:
	g_ptr_array_unref(run.workspaces);
	cb_clock_delete(run.clock);
	return exit_code;
}
