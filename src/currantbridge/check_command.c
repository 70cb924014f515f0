#include "commands.h"

#include <stdio.h>

#include "control_settings.h"
#include "currantbridge/contract.h"
#include "currantbridge/program.h"
#include "settings.h"

/* Checks a file; returns FALSE and sets `error` if it is not valid. */
typedef gboolean (*check_fn_t)(const char *path, GError **error);

static gboolean contract_check_(const char *path, GError **error)
{
	cb_contract_t *contract = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, error))
		contract = cb_contract_parse(text, error);
	g_free(text);
	cb_contract_delete(contract);
	return contract != NULL;
}

static gboolean control_settings_check_(const char *path, GError **error)
{
	control_settings_t settings = { 0 };
	gboolean is_valid = control_settings_load(path, &settings, error);

	control_settings_clear(&settings);
	return is_valid;
}

static gboolean entry_settings_check_(const char *path, GError **error)
{
	entry_settings_t settings = { 0 };
	gboolean is_valid = entry_settings_load(&settings, path, error);

	if (is_valid)
		entry_settings_clear(&settings);
	return is_valid;
}

/* A file is of the first kind in this table whose field the file contains. */
static const struct {
	const char *field;
	const char *kind;
	check_fn_t check;
} file_kinds[] = {
	{ "workspace", "contract", contract_check_ },
	{ "data_folder", "settings of cb-control", control_settings_check_ },
	{ "listen_peers", "settings of cb-control", control_settings_check_ },
	{ "control", "settings of cb-entry", entry_settings_check_ },
	{ "listen", "settings of cb-entry", entry_settings_check_ },
};

/* Returns the index into file_kinds, or -1 and sets `error`. */
static int file_kind_find_(const char *path, GError **error)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	JsonNode *root;
	int found = -1;
	size_t i;

	if (!json_parser_load_from_file(parser, path, error))
		goto out;
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		object = json_node_get_object(root);
		for (i = 0; i < G_N_ELEMENTS(file_kinds) && found < 0; i++)
			if (json_object_has_member(object, file_kinds[i].field))
				found = (int)i;
	}
	if (found < 0)
		g_set_error(error, CB_CONTRACT_ERROR, CB_CONTRACT_ERROR_SYNTAX,
			    "%s: neither a contract nor the settings of a "
			    "daemon",
			    path);
out:
	g_object_unref(parser);
	return found;
}

/* config check FILE: checks a contract or the settings of a daemon. */
int config_check_command(client_t *client, const arguments_t *arguments)
{
	const char *path = arguments->operands[0];
	GError *error = NULL;
	int kind = file_kind_find_(path, &error);

	(void)client;
	if (kind >= 0 && file_kinds[kind].check(path, &error)) {
		if (arguments->is_json)
			printf("{\"valid\":true,\"kind\":\"%s\"}\n",
			       file_kinds[kind].kind);
		else
			printf("valid: %s\n", file_kinds[kind].kind);
		return CB_EXIT_OK;
	}
	fprintf(stderr, "currantbridge: %s\n", error->message);
	g_error_free(error);
	return CB_EXIT_USAGE;
}
