#include <stdio.h>
#include <unistd.h>

#include "currantbridge/control_client.h"
#include "currantbridge/entry.h"
#include "currantbridge/http_server.h"
#include "currantbridge/program.h"
#include "settings.h"

/*
 * Creates and registers the services of an entry instance.  Returns its view
 * of the control state, which the caller deletes after the kernel.
 */
static cb_view_t *services_register_(cb_kernel_t *kernel,
				     const entry_settings_t *settings,
				     uint64_t incarnation)
{
	cb_control_client_options_t control_options = {
		.control_addresses = (const char *const *)settings->control,
		.name = settings->name,
		.address = settings->advertise,
		.data_centre = settings->data_centre,
		.incarnation = incarnation,
		.heartbeat_ms = settings->heartbeat_ms,
		.silence_ms = settings->silence_ms,
	};
	cb_entry_options_t options = {
		.name = settings->name,
		.address = settings->advertise,
		.data_centre = settings->data_centre,
		.incarnation = incarnation,
		.server_silence_ms = settings->server_silence_ms,
		.announce_interval_ms = settings->announce_interval_ms,
		.max_body_bytes = settings->max_body_bytes,
		.max_unread_bytes = settings->max_unread_bytes,
		.address_ttl_ms = settings->address_ttl_ms,
		.address_count = settings->address_count,
	};
	cb_view_t *view = cb_view_new();
	cb_http_server_t *http = cb_http_server_new(kernel, settings->listen);
	cb_control_client_t *control =
		cb_control_client_new(kernel, view, &control_options);
	cb_entry_t *entry = cb_entry_new(kernel, http, control, view, &options);

	cb_kernel_register(kernel, "http", (cb_service_t *)http);
	cb_kernel_register(kernel, "control", (cb_service_t *)control);
	cb_kernel_register(kernel, "entry", (cb_service_t *)entry);
	return view;
}

/* Runs an entry instance until it is stopped; returns the exit code. */
static int entry_run_(const entry_settings_t *settings)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_log_t *log = cb_log_new(clock, STDERR_FILENO,
				   entry_settings_log_format(settings),
				   entry_settings_log_level(settings));
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, log);
	uint64_t incarnation = (uint64_t)cb_clock_wall_ms(clock);
	cb_view_t *view = services_register_(kernel, settings, incarnation);
	int exit_code = cb_kernel_run(kernel);

	cb_kernel_delete(kernel);
	cb_view_delete(view);
	cb_log_delete(log);
	cb_clock_delete(clock);
	return exit_code;
}

int main(int argc, char **argv)
{
	char *config = NULL;
	const GOptionEntry entries[] = {
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &config,
		  "Read the settings from FILE (required)", "FILE" },
		G_OPTION_ENTRY_NULL
	};
	entry_settings_t settings = { 0 };
	GError *error = NULL;
	int exit_code;

	cb_program_hold_reloads();
	cb_program_init();
	if (!cb_program_parse(&argc, &argv, NULL,
			      "The entry daemon of currantbridge: serves "
			      "callers and tracks backend servers.",
			      entries, &exit_code))
		goto out;
	exit_code = CB_EXIT_USAGE;
	if (!config) {
		fprintf(stderr, "cb-entry: --config is required\n");
		goto out;
	}
	if (!entry_settings_load(&settings, config, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	exit_code = entry_run_(&settings);
	entry_settings_clear(&settings);
out:
	g_free(config);
	return exit_code;
}
