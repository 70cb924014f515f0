#include "load.h"

#include <stdio.h>

#include "currantbridge/program.h"

/* A request whose answer is printed while it is received. */
typedef struct ask {
	GMainLoop *loop;
	SoupSession *session;
	char *entry;
	char *workspace;
	char *key;
	char *model;
	int max_tokens;
	char *prompt;
	int exit_code;
} ask_t;

static void token_print_(const char *text, void *user_data)
{
	(void)user_data;
	fputs(text, stdout);
	fflush(stdout);
}

static void ask_finish_(const load_result_t *result, void *user_data)
{
	ask_t *ask = user_data;

	if (result->token_count)
		putchar('\n');
	ask->exit_code = result->is_complete ? CB_EXIT_OK : CB_EXIT_FAILURE;
	if (!result->is_complete)
		fprintf(stderr,
			"cb-load: status %u, reason: %s, executed: %s\n",
			result->status,
			result->reason ? result->reason : "none",
			result->executed ? result->executed : "none");
	g_main_loop_quit(ask->loop);
}

static void ask_send_(const char *address, void *user_data)
{
	ask_t *ask = user_data;
	load_request_t request = {
		.address = address,
		.key = ask->key,
		.model = ask->model,
		.prompt = ask->prompt,
		.max_tokens = (uint64_t)ask->max_tokens,
	};

	if (!address) {
		fprintf(stderr, "cb-load: no entry instance answered\n");
		ask->exit_code = CB_EXIT_UNAVAILABLE;
		g_main_loop_quit(ask->loop);
		return;
	}
	load_stream_start(ask->session, &request, token_print_, ask_finish_,
			  ask);
}

/* `cb-load ask`: streams one answer to the terminal. */
int load_ask_main(int argc, char **argv)
{
	ask_t ask = { .max_tokens = 16 };
	const GOptionEntry entries[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &ask.entry,
		  "Entry instances to ask for addresses", "IP:PORT,..." },
		{ "workspace", 0, 0, G_OPTION_ARG_STRING, &ask.workspace,
		  "Workspace", "NAME" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &ask.key, "Bearer key",
		  "KEY" },
		{ "model", 0, 0, G_OPTION_ARG_STRING, &ask.model, "Model",
		  "NAME" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &ask.max_tokens,
		  "Tokens requested (default 16)", "N" },
		G_OPTION_ENTRY_NULL
	};
	load_addresses_t *addresses;
	cb_clock_t *clock;
	char **entry_addresses;

	if (!cb_program_parse(&argc, &argv, "PROMPT",
			      "Streams one answer to the terminal.", entries,
			      &ask.exit_code))
		return ask.exit_code;
	if (argc != 2 || !ask.entry || !ask.workspace || !ask.key ||
	    !ask.model || ask.max_tokens < 1) {
		fprintf(stderr, "cb-load: ask needs --entry, --workspace, "
				"--key, --model and a prompt\n");
		return CB_EXIT_USAGE;
	}
	ask.prompt = argv[1];
	ask.loop = g_main_loop_new(NULL, FALSE);
	ask.session = load_session_new();
	clock = cb_clock_new(NULL);
	entry_addresses = g_strsplit(ask.entry, ",", -1);
	addresses = load_addresses_new(ask.session, clock, entry_addresses);
	load_addresses_get(addresses, ask.workspace, 0, ask_send_, &ask);
	g_main_loop_run(ask.loop);
	load_addresses_delete(addresses);
	g_strfreev(entry_addresses);
	cb_clock_delete(clock);
	g_object_unref(ask.session);
	g_main_loop_unref(ask.loop);
	return ask.exit_code;
}
