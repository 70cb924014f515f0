#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "currantbridge/program.h"
#include "currantbridge/settings.h"

#define CONTROL_VARIABLE "CURRANTBRIDGE_CONTROL"
#define DEFAULT_TIMEOUT_MS 10000
#define MAX_TIMEOUT_MS 600000

typedef struct command {
	const char *group;
	/* Second word of the command; NULL if it has only one word. */
	const char *verb;
	unsigned int operand_count;
	/* Operands in the usage text; "...": the last operand may repeat. */
	const char *operands;
	gboolean is_local; /* whether the command needs no control instance */
	command_fn_t run;
} command_t;

static const command_t commands[] = {
	{ "contract", "put", 1, " FILE", FALSE, contract_put_command },
	{ "contract", "get", 1, " WORKSPACE", FALSE, contract_get_command },
	{ "contract", "list", 0, "", FALSE, contract_list_command },
	{ "contract", "rm", 1, " WORKSPACE", FALSE, contract_remove_command },
	{ "stop", "announce", 2, " server|instance NAME", FALSE,
	  stop_announce_command },
	{ "stop", "cancel", 2, " server|instance NAME", FALSE,
	  stop_cancel_command },
	{ "stop", "list", 0, "", FALSE, stop_list_command },
	{ "status", NULL, 0, "", FALSE, status_command },
	{ "members", "add", 2, " NAME IP:PORT", FALSE, members_add_command },
	{ "members", "remove", 1, " NAME", FALSE, members_remove_command },
	{ "members", "list", 0, "", FALSE, members_list_command },
	{ "config", "check", 1, " FILE", TRUE, config_check_command },
	{ "explain", NULL, 2, " REQUEST FILE...", TRUE, explain_command },
};

static int usage_print_(void)
{
	size_t i;

	fprintf(stderr, "currantbridge: the commands are:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  currantbridge %s%s%s%s\n", commands[i].group,
			commands[i].verb ? " " : "",
			commands[i].verb ? commands[i].verb : "",
			commands[i].operands);
	return CB_EXIT_USAGE;
}

/* Returns the command that the arguments name, or NULL. */
static const command_t *command_find_(int argc, char **argv)
{
	const command_t *command;
	int argument_count;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		command = &commands[i];
		argument_count =
			(command->verb ? 2 : 1) + (int)command->operand_count;
		if (argc - 1 < argument_count ||
		    (argc - 1 > argument_count &&
		     !g_str_has_suffix(command->operands, "...")) ||
		    strcmp(argv[1], command->group) != 0)
			continue;
		if (!command->verb || !strcmp(argv[2], command->verb))
			return command;
	}
	return NULL;
}

/* Splits a list of addresses; returns NULL if one is not valid. */
static char **addresses_parse_(const char *text)
{
	char **addresses = g_strsplit(text, ",", -1);
	char **address;

	for (address = addresses; *address; address++)
		if (!cb_address_is_valid(*address))
			goto fail;
	if (*addresses)
		return addresses;
fail:
	g_strfreev(addresses);
	return NULL;
}

static int command_run_(const command_t *command, const arguments_t *arguments)
{
	const char *control = arguments->control;
	char **addresses = NULL;
	client_t *client;
	int code;

	if (command->is_local)
		return command->run(NULL, arguments);
	if (!control)
		control = g_getenv(CONTROL_VARIABLE);
	if (control)
		addresses = addresses_parse_(control);
	if (!addresses) {
		fprintf(stderr, "currantbridge: --control or " CONTROL_VARIABLE
				" must be IP:PORT[,IP:PORT...]\n");
		return CB_EXIT_USAGE;
	}
	client = client_new(addresses, arguments->timeout_ms);
	code = command->run(client, arguments);
	client_delete(client);
	g_strfreev(addresses);
	return code;
}

int main(int argc, char **argv)
{
	arguments_t arguments = { .expected_revision = -1,
				  .timeout_ms = DEFAULT_TIMEOUT_MS };
	const GOptionEntry entries[] = {
		{ "control", 'c', 0, G_OPTION_ARG_STRING, &arguments.control,
		  "The control instances", "IP:PORT,..." },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &arguments.is_json,
		  "Print JSON", NULL },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT64, &arguments.timeout_ms,
		  "Give up after this time (10000)", "MS" },
		{ "expect", 0, 0, G_OPTION_ARG_INT64,
		  &arguments.expected_revision,
		  "The revision that the change builds on, 0 for none", "REV" },
		{ "change-id", 0, 0, G_OPTION_ARG_STRING, &arguments.change_id,
		  "Repeat the change that has this ID", "ID" },
		{ "wait", 0, 0, G_OPTION_ARG_NONE,
		  &arguments.waits_for_in_force,
		  "Wait until the change is in force everywhere", NULL },
		G_OPTION_ENTRY_NULL
	};
	const command_t *command;
	int code;

	cb_program_init();
	if (!cb_program_parse(&argc, &argv, "COMMAND [ARGUMENT...]",
			      "The operators' client of currantbridge.",
			      entries, &code))
		goto out;
	command = command_find_(argc, argv);
	if (!command || arguments.timeout_ms < 1 ||
	    arguments.timeout_ms > MAX_TIMEOUT_MS) {
		code = usage_print_();
		goto out;
	}
	arguments.operands = argv + (command->verb ? 3 : 2);
	code = command_run_(command, &arguments);
out:
	g_free(arguments.control);
	g_free(arguments.change_id);
	return code;
}
