#include "commands.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"

/* How often --wait asks which entry instances have the revision in force. */
#define WAIT_POLL_MS 50

/* Returns a member's whole number, or 0 when it is absent. */
gint64 json_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

/* Returns a member's text, or an empty one when it is absent. */
const char *json_text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

/* Returns a member's truth, or FALSE when it is absent. */
gboolean json_flag(JsonObject *object, const char *name)
{
	return json_object_get_boolean_member_with_default(object, name, FALSE);
}

/* Returns the array member, or NULL. */
JsonArray *json_list(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

/* Returns the object member of a reply, or NULL. */
static JsonObject *reply_member_(const client_reply_t *reply, const char *name)
{
	JsonNode *node;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return NULL;
	node = json_object_get_member(json_node_get_object(reply->json), name);
	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

static int status_exit_code_(unsigned int status)
{
	switch (status) {
	case SOUP_STATUS_OK:
		return CB_EXIT_OK;
	case SOUP_STATUS_CONFLICT:
		return CB_EXIT_CONFLICT;
	case SOUP_STATUS_SERVICE_UNAVAILABLE:
		return CB_EXIT_UNAVAILABLE;
	default:
		return CB_EXIT_FAILURE;
	}
}

/* Prints that no control instance answered, as JSON or for a reader. */
static void unanswered_print_(const arguments_t *arguments, gboolean is_unknown,
			      const char *change_id)
{
	if (arguments->is_json)
		printf("{\"error\":{\"reason\":\"unavailable\",\"message\":"
		       "\"no control instance answered in time\","
		       "\"executed\":\"%s\",\"change_id\":\"%s\"}}\n",
		       is_unknown ? "unknown" : "no",
		       change_id ? change_id : "");
	else if (is_unknown && change_id)
		fprintf(stderr,
			"currantbridge: no answer in time; the change may have "
			"been accepted. Repeat it with --change-id %s\n",
			change_id);
	else if (change_id)
		fprintf(stderr, "currantbridge: no control instance took the "
				"change; it was not accepted\n");
	else
		fprintf(stderr, "currantbridge: no control instance answered "
				"in time\n");
}

/* Prints why a request did not succeed and returns the exit code. */
int reply_fail(const arguments_t *arguments, client_outcome_t outcome,
	       const client_reply_t *reply, const char *change_id)
{
	JsonObject *error;

	if (outcome != CLIENT_ANSWERED) {
		unanswered_print_(arguments, outcome == CLIENT_UNKNOWN,
				  change_id);
		return CB_EXIT_UNAVAILABLE;
	}
	error = reply_member_(reply, "error");
	if (arguments->is_json)
		printf("%s\n", reply->text);
	else if (error)
		fprintf(stderr, "currantbridge: %s: %s\n",
			json_text(error, "reason"),
			json_text(error, "message"));
	else
		fprintf(stderr, "currantbridge: status %u\n", reply->status);
	return status_exit_code_(reply->status);
}

/* Whether an instance answered that could not reach a majority. */
static gboolean is_unconfirmed_(const client_reply_t *reply)
{
	JsonObject *root;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return FALSE;
	root = json_node_get_object(reply->json);
	return json_object_has_member(root, "is_confirmed") &&
	       !json_flag(root, "is_confirmed");
}

/* Asks the other instances too, while the answers are not confirmed. */
static client_outcome_t read_ask_(client_t *client,
				  const client_request_t *request,
				  client_reply_t *reply)
{
	client_outcome_t outcome = client_ask(client, request, reply);
	unsigned int tries;

	for (tries = 1; tries < client_address_count(client) &&
			outcome == CLIENT_ANSWERED && is_unconfirmed_(reply);
	     tries++) {
		client_reply_clear(reply);
		client_next_address(client);
		outcome = client_ask(client, request, reply);
	}
	return outcome;
}

/* Runs a read of `path`, which it takes, and prints it. */
int read_run(client_t *client, const arguments_t *arguments, char *path,
	     print_fn_t print)
{
	client_request_t request = { .method = "GET", .path = path };
	client_reply_t reply;
	client_outcome_t outcome = read_ask_(client, &request, &reply);
	int code = CB_EXIT_OK;

	if (outcome != CLIENT_ANSWERED || reply.status != SOUP_STATUS_OK ||
	    !reply.json || !JSON_NODE_HOLDS_OBJECT(reply.json))
		code = reply_fail(arguments, outcome, &reply, NULL);
	else if (arguments->is_json)
		printf("%s\n", reply.text);
	else
		print(json_node_get_object(reply.json));
	client_request_clear(&request);
	client_reply_clear(&reply);
	return code;
}

static void names_print_(const char *title, JsonArray *names)
{
	guint i;

	if (!names || !json_array_get_length(names))
		return;
	printf("  %s:", title);
	for (i = 0; i < json_array_get_length(names); i++)
		printf(" %s", json_array_get_string_element(names, i));
	printf("\n");
}

static void in_force_print_(JsonObject *in_force)
{
	printf("in force on %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
	       " entry instances%s\n",
	       json_int(in_force, "in_force"), json_int(in_force, "instances"),
	       json_flag(in_force, "is_complete") ?
		       "" :
		       " that this control instance knows of");
	names_print_("missing", json_list(in_force, "missing"));
	names_print_("silent", json_list(in_force, "silent"));
}

static gboolean is_everywhere_(JsonObject *in_force)
{
	return json_flag(in_force, "is_complete") &&
	       json_int(in_force, "in_force") ==
		       json_int(in_force, "instances");
}

/*
 * Asks the leader until a revision is in force on all entry instances or the
 * time is up.  Returns the last answer's JSON, or NULL.
 */
static JsonNode *in_force_wait_(client_t *client, gint64 revision)
{
	client_request_t request = {
		.method = "GET",
		.path = g_strdup_printf(
			"/v1/in-force?revision=%" G_GINT64_FORMAT, revision)
	};
	JsonNode *last = NULL;
	client_reply_t reply;
	JsonObject *in_force;
	gboolean is_over = FALSE;

	while (!is_over && client_left_ms(client) > 0) {
		if (client_ask(client, &request, &reply) != CLIENT_ANSWERED)
			break;
		in_force = reply_member_(&reply, "in_force");
		if (in_force && json_flag(in_force, "is_complete")) {
			g_clear_pointer(&last, json_node_unref);
			last = json_node_ref(reply.json);
			is_over = is_everywhere_(in_force);
		} else {
			client_next_address(client);
		}
		client_reply_clear(&reply);
		if (!is_over)
			client_sleep(client, WAIT_POLL_MS);
	}
	client_request_clear(&request);
	return last;
}

/* Prints an accepted change; with --wait, once it is in force or not. */
static int accepted_print_(client_t *client, const arguments_t *arguments,
			   const client_reply_t *reply)
{
	JsonObject *root = json_node_get_object(reply->json);
	JsonObject *in_force = reply_member_(reply, "in_force");
	gint64 revision = json_int(root, "revision");
	JsonNode *waited = NULL;
	int code = CB_EXIT_OK;

	if (!arguments->is_json && !in_force)
		printf("accepted\n");
	else if (!arguments->is_json)
		printf("accepted at revision %" G_GINT64_FORMAT "%s\n",
		       revision,
		       json_flag(root, "is_replayed") ? " (before)" : "");
	fflush(stdout);
	if (arguments->is_waiting && in_force && !is_everywhere_(in_force)) {
		waited = in_force_wait_(client, revision);
		if (waited) {
			in_force = json_object_get_object_member(
				json_node_get_object(waited), "in_force");
			json_object_set_object_member(root, "in_force",
						      json_object_ref(
							      in_force));
		}
		if (!waited || !is_everywhere_(in_force))
			code = CB_EXIT_UNAVAILABLE;
	}
	if (arguments->is_json) {
		char *text = json_to_string(reply->json, FALSE);

		printf("%s\n", text);
		g_free(text);
	} else if (in_force) {
		in_force_print_(in_force);
	}
	g_clear_pointer(&waited, json_node_unref);
	return code;
}

/*
 * Runs a change under one change ID, the given or a new one, and prints how
 * it went.  Clears `request`.
 */
int change_run(client_t *client, const arguments_t *arguments,
	       client_request_t *request)
{
	client_outcome_t outcome;
	client_reply_t reply;
	int code;

	request->change_id = arguments->change_id ?
				     g_strdup(arguments->change_id) :
				     g_uuid_string_random();
	request->has_expected_revision = arguments->expected_revision >= 0;
	request->expected_revision =
		request->has_expected_revision ?
			(uint64_t)arguments->expected_revision :
			0;
	outcome = client_ask(client, request, &reply);
	if (outcome == CLIENT_ANSWERED && reply.status == SOUP_STATUS_OK &&
	    reply.json && JSON_NODE_HOLDS_OBJECT(reply.json))
		code = accepted_print_(client, arguments, &reply);
	else
		code = reply_fail(arguments, outcome, &reply,
				  request->change_id);
	client_request_clear(request);
	client_reply_clear(&reply);
	return code;
}
