#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "control_settings.h"
#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"
#include "currantbridge/node.h"
#include "currantbridge/operator.h"
#include "currantbridge/program.h"
#include "currantbridge/restore.h"

/* Runs a control instance until it is stopped; returns the exit code. */
static int control_run_(const control_settings_t *settings)
{
	cb_clock_t *clock = cb_clock_new(NULL);
	cb_log_t *log = cb_log_new(clock, STDERR_FILENO,
				   control_settings_log_format(settings),
				   control_settings_log_level(settings));
	cb_kernel_t *kernel = cb_kernel_new(NULL, clock, log);
	cb_node_options_t options = {
		.name = settings->name,
		.listen = settings->listen_peers,
		.data_folder = settings->data_folder,
		.initial_members = settings->initial_members,
		.initial_member_count = settings->initial_member_count,
		.heartbeat_ms = settings->heartbeat_ms,
		.election_timeout_ms = settings->election_timeout_ms,
		.silence_ms = settings->silence_ms,
		.snapshot_every_bytes =
			(uint64_t)settings->snapshot_every_bytes,
	};
	cb_http_server_t *server =
		cb_http_server_new(kernel, settings->listen_http);
	cb_node_t *node = cb_node_new(kernel, &options);
	int exit_code;

	cb_kernel_register(kernel, "http", (cb_service_t *)server);
	cb_kernel_register(kernel, "node", (cb_service_t *)node);
	cb_kernel_register(kernel, "operator",
			   (cb_service_t *)cb_operator_new(kernel));
	exit_code = cb_kernel_run(kernel);
	cb_kernel_delete(kernel);
	cb_log_delete(log);
	cb_clock_delete(clock);
	return exit_code;
}

/*
 * Restores the data folder from a copy as a control group of one member.
 * Returns the exit code.
 */
static int data_folder_restore_(const control_settings_t *settings,
				const char *from_folder)
{
	cb_restore_options_t options = { .from_folder = from_folder,
					 .to_folder = settings->data_folder,
					 .name = settings->name,
					 .address = settings->listen_peers };
	GRand *random = g_rand_new();
	cb_restore_result_t restored;
	GError *error = NULL;
	int exit_code = CB_EXIT_OK;

	if (cb_restore(&options, random, &restored, &error)) {
		printf("restored %u contracts at revision %" G_GUINT64_FORMAT
		       "\n",
		       restored.contract_count, restored.revision);
	} else {
		fprintf(stderr, "cb-control: %s\n", error->message);
		g_error_free(error);
		exit_code = CB_EXIT_FAILURE;
	}
	g_rand_free(random);
	return exit_code;
}

int main(int argc, char **argv)
{
	char *config = NULL;
	char *restore = NULL;
	const GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
		  "Settings file (JSON)", "FILE" },
		{ "restore", 0, 0, G_OPTION_ARG_FILENAME, &restore,
		  "Fill a blank data folder from a "
		  "copy and exit",
		  "FOLDER" },
		G_OPTION_ENTRY_NULL
	};
	control_settings_t settings = { 0 };
	GError *error = NULL;
	int exit_code;

	cb_program_hold_reloads();
	cb_program_init();
	if (!cb_program_parse(&argc, &argv, NULL,
			      "Runs a control instance of currantbridge.",
			      entries, &exit_code))
		return exit_code;
	exit_code = CB_EXIT_USAGE;
	if (!config) {
		fprintf(stderr, "cb-control: --config is required\n");
		goto out;
	}
	if (!control_settings_load(config, &settings, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	exit_code = restore ? data_folder_restore_(&settings, restore) :
			      control_run_(&settings);
out:
	control_settings_clear(&settings);
	g_free(config);
	g_free(restore);
	return exit_code;
}
