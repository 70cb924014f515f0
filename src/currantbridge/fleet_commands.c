#include "commands.h"

#include <stdio.h>

#include "currantbridge/program.h"

/* Returns a JSON object of strings as text; `pairs` ends with NULL. */
static char *request_body_make_(const char *const *pairs)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	for (; *pairs; pairs += 2)
		json_object_set_string_member(object, pairs[0], pairs[1]);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

static gboolean stop_kind_check_(const char *kind)
{
	if (g_str_equal(kind, "server") || g_str_equal(kind, "instance"))
		return TRUE;
	fprintf(stderr, "currantbridge: %s: must be server or instance\n",
		kind);
	return FALSE;
}

/* stop announce server|instance NAME: announces a planned stop. */
int stop_announce_command(client_t *client, const arguments_t *arguments)
{
	const char *const pairs[] = { "kind", arguments->operands[0], "name",
				      arguments->operands[1], NULL };
	client_request_t request = { .method = "POST" };

	if (!stop_kind_check_(arguments->operands[0]))
		return CB_EXIT_USAGE;
	request.path = g_strdup("/v1/stops");
	request.body = request_body_make_(pairs);
	return change_send_and_print(client, arguments, &request);
}

/* stop cancel server|instance NAME: cancels an announced stop. */
int stop_cancel_command(client_t *client, const arguments_t *arguments)
{
	client_request_t request = { .method = "DELETE" };
	char *name;

	if (!stop_kind_check_(arguments->operands[0]))
		return CB_EXIT_USAGE;
	name = g_uri_escape_string(arguments->operands[1], NULL, FALSE);
	request.path = g_strdup_printf("/v1/stops/%s/%s",
				       arguments->operands[0], name);
	g_free(name);
	return change_send_and_print(client, arguments, &request);
}

static void stops_print_(JsonObject *root)
{
	JsonArray *stops = json_member_array(root, "stops");
	guint i;

	printf("%-9s %-24s %10s\n", "KIND", "NAME", "REVISION");
	for (i = 0; stops && i < json_array_get_length(stops); i++) {
		JsonObject *stop = json_array_get_object_element(stops, i);

		printf("%-9s %-24s %10" G_GINT64_FORMAT "\n",
		       json_member_string(stop, "kind"),
		       json_member_string(stop, "name"),
		       json_member_int(stop, "revision"));
	}
}

/* stop list: prints the announced stops. */
int stop_list_command(client_t *client, const arguments_t *arguments)
{
	return read_and_print(client, arguments, g_strdup("/v1/stops"),
			      stops_print_);
}

static void members_print_(JsonObject *root)
{
	JsonArray *members = json_member_array(root, "members");
	guint i;

	printf("%-16s %-22s %s\n", "MEMBER", "ADDRESS", "ROLE");
	for (i = 0; members && i < json_array_get_length(members); i++) {
		JsonObject *member = json_array_get_object_element(members, i);
		const char *role = "learner";

		if (json_member_boolean(member, "is_leader"))
			role = "leader";
		else if (json_member_boolean(member, "is_voter"))
			role = "voter";
		printf("%-16s %-22s %s\n", json_member_string(member, "name"),
		       json_member_string(member, "address"), role);
	}
}

/* members list: prints the members of the control group. */
int members_list_command(client_t *client, const arguments_t *arguments)
{
	return read_and_print(client, arguments, g_strdup("/v1/members"),
			      members_print_);
}

/* members add NAME IP:PORT: adds a member to the control group. */
int members_add_command(client_t *client, const arguments_t *arguments)
{
	const char *const pairs[] = { "name", arguments->operands[0], "address",
				      arguments->operands[1], NULL };
	client_request_t request = { .method = "POST",
				     .path = g_strdup("/v1/members"),
				     .body = request_body_make_(pairs) };

	return change_send_and_print(client, arguments, &request);
}

/* members remove NAME: removes a member of the control group. */
int members_remove_command(client_t *client, const arguments_t *arguments)
{
	client_request_t request = { .method = "DELETE" };
	char *name = g_uri_escape_string(arguments->operands[0], NULL, FALSE);

	request.path = g_strdup_printf("/v1/members/%s", name);
	g_free(name);
	return change_send_and_print(client, arguments, &request);
}

static void instances_print_(JsonObject *root)
{
	JsonArray *instances = json_member_array(root, "instances");
	guint i;

	printf("%-16s %-22s %-12s %-8s %9s %s\n", "INSTANCE", "ADDRESS",
	       "DATA CENTRE", "STATE", "IN FORCE", "CONTROL");
	for (i = 0; instances && i < json_array_get_length(instances); i++) {
		JsonObject *instance =
			json_array_get_object_element(instances, i);

		printf("%-16s %-22s %-12s %-8s %9" G_GINT64_FORMAT " %s\n",
		       json_member_string(instance, "name"),
		       json_member_string(instance, "address"),
		       json_member_string(instance, "data_centre"),
		       json_member_string(instance, "state"),
		       json_member_int(instance, "revision_in_force"),
		       json_member_string(instance, "control"));
	}
}

static void status_print_(JsonObject *root)
{
	printf("this instance: %s, term %" G_GINT64_FORMAT
	       ", applied %" G_GINT64_FORMAT ", leader %s\n",
	       json_member_string(root, "role"), json_member_int(root, "term"),
	       json_member_int(root, "applied"),
	       json_member_string(root, "leader"));
	if (!json_member_boolean(root, "is_confirmed"))
		printf("NOT CONFIRMED by a majority: the following may be "
		       "out of date\n");
	printf("revision %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
	       " contracts, %" G_GINT64_FORMAT " stops; %" G_GINT64_FORMAT
	       " claims\n",
	       json_member_int(root, "revision"),
	       json_member_int(root, "contracts"),
	       json_member_int(root, "stops"), json_member_int(root, "claims"));
	members_print_(root);
	instances_print_(root);
}

/* status: prints the state of the control group and all instances. */
int status_command(client_t *client, const arguments_t *arguments)
{
	return read_and_print(client, arguments, g_strdup("/v1/status"),
			      status_print_);
}
