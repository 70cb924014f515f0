#include "commands.h"

#include <stdio.h>

#include "currantbridge/contract.h"
#include "currantbridge/program.h"

static char *contract_path_(const char *workspace)
{
	char *escaped = g_uri_escape_string(workspace, NULL, FALSE);
	char *path = g_strdup_printf("/v1/contracts/%s", escaped);

	g_free(escaped);
	return path;
}

/* contract put FILE: checks the file, then sends it unchanged. */
int contract_put_command(client_t *client, const arguments_t *arguments)
{
	client_request_t request = { .method = "PUT" };
	cb_contract_t *contract = NULL;
	GError *error = NULL;
	char *text = NULL;

	if (g_file_get_contents(arguments->operands[0], &text, NULL, &error))
		contract = cb_contract_parse(text, &error);
	if (!contract) {
		fprintf(stderr, "currantbridge: %s\n", error->message);
		g_error_free(error);
		g_free(text);
		return CB_EXIT_USAGE;
	}
	request.path = contract_path_(contract->workspace);
	request.body = text;
	cb_contract_delete(contract);
	return change_send_and_print(client, arguments, &request);
}

/* contract rm WORKSPACE: removes the workspace's contract. */
int contract_remove_command(client_t *client, const arguments_t *arguments)
{
	client_request_t request = {
		.method = "DELETE",
		.path = contract_path_(arguments->operands[0]),
	};

	return change_send_and_print(client, arguments, &request);
}

static void contract_print_(JsonObject *root)
{
	JsonNode *contract = json_object_get_member(root, "contract");
	char *text = contract ? json_to_string(contract, TRUE) : g_strdup("");

	printf("%s\n", text);
	fprintf(stderr, "revision %" G_GINT64_FORMAT "\n",
		json_member_int(root, "revision"));
	g_free(text);
}

/*
 * contract get WORKSPACE: prints the contract to stdout and its revision to
 * stderr.
 */
int contract_get_command(client_t *client, const arguments_t *arguments)
{
	return read_and_print(client, arguments,
			      contract_path_(arguments->operands[0]),
			      contract_print_);
}

static void contracts_print_(JsonObject *root)
{
	JsonArray *contracts = json_member_array(root, "contracts");
	guint i;

	printf("%-24s %10s\n", "WORKSPACE", "REVISION");
	for (i = 0; contracts && i < json_array_get_length(contracts); i++) {
		JsonObject *contract =
			json_array_get_object_element(contracts, i);

		printf("%-24s %10" G_GINT64_FORMAT "\n",
		       json_member_string(contract, "workspace"),
		       json_member_int(contract, "revision"));
	}
}

/* contract list: prints the contracts of all workspaces. */
int contract_list_command(client_t *client, const arguments_t *arguments)
{
	return read_and_print(client, arguments, g_strdup("/v1/contracts"),
			      contracts_print_);
}
