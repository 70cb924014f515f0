#include "fake_backend.h"

#include <string.h>
#include <unistd.h>

#include "currantbridge/program.h"
#include "currantbridge/settings.h"

static fake_options_t options = {
	.capacity = 64,
	.token_ms = 30,
	.layer_count = 4,
	.first_layer = 0,
	.last_layer = -1,
};

static const GOptionEntry option_entries[] = {
	{ "name", 0, 0, G_OPTION_ARG_STRING, &options.name,
	  "Name, unique among backend servers", "NAME" },
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &options.listen,
	  "Address to listen on (port 0: any)", "IP:PORT" },
	{ "announce", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.announce_to,
	  "Entry instance to announce to; may be repeated", "IP:PORT" },
	{ "data-centre", 0, 0, G_OPTION_ARG_STRING, &options.data_centre,
	  "Data centre", "NAME" },
	{ "model", 0, 0, G_OPTION_ARG_STRING, &options.model,
	  "Model that this engine holds layers of", "NAME" },
	{ "layers", 0, 0, G_OPTION_ARG_INT, &options.layer_count,
	  "Layers of the whole model (default 4)", "N" },
	{ "first-layer", 0, 0, G_OPTION_ARG_INT, &options.first_layer,
	  "First layer held, from 0", "N" },
	{ "last-layer", 0, 0, G_OPTION_ARG_INT, &options.last_layer,
	  "Last layer held (default: the model's last)", "N" },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &options.service,
	  "Act as the plain service NAME instead of an engine", "NAME" },
	{ "capacity", 0, 0, G_OPTION_ARG_INT, &options.capacity,
	  "Requests that run at once (default 64)", "N" },
	{ "token-ms", 0, 0, G_OPTION_ARG_INT, &options.token_ms,
	  "Time of one token, step or call (default 30)", "MS" },
	{ "answer-ms", 0, 0, G_OPTION_ARG_INT, &options.answer_ms,
	  "Time from a call's effect to its answer (default 0)", "MS" },
	{ "crash-on", 0, 0, G_OPTION_ARG_STRING, &options.crash_text,
	  "Die on a prompt or body that holds TEXT", "TEXT" },
	{ "silent-after", 0, 0, G_OPTION_ARG_INT, &options.silent_after,
	  "Stop answering after N tokens or calls", "N" },
	{ "fencing", 0, 0, G_OPTION_ARG_STRING, &options.fencing,
	  "Whether to check fencing numbers (default no)", "yes|no" },
	{ "log", 0, 0, G_OPTION_ARG_STRING, &options.effect_log_path,
	  "Write a JSON line for each effect executed", "FILE" },
	G_OPTION_ENTRY_NULL
};

/* Prints why an option is not valid; returns FALSE. */
static gboolean option_error_print_(const char *option, const char *reason)
{
	fprintf(stderr, "cb-fake-backend: --%s: %s\n", option, reason);
	return FALSE;
}

/* Sets defaults and checks the options; prints an error if one is invalid. */
static gboolean options_complete_(void)
{
	if (!options.name)
		return option_error_print_("name", "is required");
	if (!options.listen)
		options.listen = g_strdup("127.0.0.1:0");
	if (!options.announce_to)
		return option_error_print_("announce", "is required");
	if (!options.data_centre)
		options.data_centre = g_strdup("dc1");
	if (!options.service && !options.model)
		return option_error_print_("model",
					   "is required for an engine");
	if (options.last_layer < 0)
		options.last_layer = options.layer_count - 1;
	if (options.first_layer < 0 ||
	    options.last_layer >= options.layer_count ||
	    options.first_layer > options.last_layer)
		return option_error_print_(
			"first-layer",
			"must form a range within --layers with --last-layer");
	if (options.capacity < 1)
		return option_error_print_("capacity", "must be 1 or more");
	if (options.token_ms < 0)
		return option_error_print_("token-ms", "must be 0 or more");
	if (options.answer_ms < 0)
		return option_error_print_("answer-ms", "must be 0 or more");
	if (options.fencing && strcmp(options.fencing, "yes") &&
	    strcmp(options.fencing, "no"))
		return option_error_print_("fencing", "must be yes or no");
	return TRUE;
}

static void options_clear_(void)
{
	g_free(options.name);
	g_free(options.listen);
	g_strfreev(options.announce_to);
	g_free(options.data_centre);
	g_free(options.model);
	g_free(options.service);
	g_free(options.crash_text);
	g_free(options.fencing);
	g_free(options.effect_log_path);
}

static int backend_run_(FILE *effect_log)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_log_t *log = cb_log_new(clock, STDERR_FILENO, CB_LOG_FORMAT_TEXT,
				   CB_LOG_LEVEL_INFO);
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, log);
	fake_backend_t backend = {
		.options = &options,
		.kernel = kernel,
		.http = cb_http_server_new(kernel, options.listen),
		.effect_log = effect_log,
		.checks_fencing = !g_strcmp0(options.fencing, "yes"),
	};
	int exit_code;

	cb_kernel_register(kernel, "http", (cb_service_t *)backend.http);
	cb_kernel_register(kernel, "work",
			   options.service ? fake_service_new(&backend) :
					     fake_engine_new(&backend));
	cb_kernel_register(kernel, "announcer", fake_announcer_new(&backend));
	exit_code = cb_kernel_run(kernel);
	cb_kernel_delete(kernel);
	cb_log_delete(log);
	cb_clock_delete(clock);
	return exit_code;
}

int main(int argc, char **argv)
{
	FILE *effect_log = NULL;
	int exit_code;

	cb_program_hold_reloads();
	cb_program_init();
	if (!cb_program_parse(&argc, &argv, NULL,
			      "A stand-in for a model engine or plain service.",
			      option_entries, &exit_code))
		goto out;
	exit_code = CB_EXIT_USAGE;
	if (!options_complete_())
		goto out;
	if (options.effect_log_path) {
		effect_log = fopen(options.effect_log_path, "a");
		if (!effect_log) {
			perror(options.effect_log_path);
			goto out;
		}
	}
	exit_code = backend_run_(effect_log);
out:
	if (effect_log)
		fclose(effect_log);
	options_clear_();
	return exit_code;
}
