#include "commands.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"

/* Interval at which --wait asks on which instances the revision is in force. */
#define WAIT_POLL_MS 50

/* Returns an integer member, or 0 if it is absent. */
gint64 json_member_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

/* Returns a string member, or "" if it is absent. */
const char *json_member_string(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

/* Returns a boolean member, or FALSE if it is absent. */
gboolean json_member_boolean(JsonObject *object, const char *name)
{
	return json_object_get_boolean_member_with_default(object, name, FALSE);
}

/* Returns an array member, or NULL if it is absent or not an array. */
JsonArray *json_member_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

/* Returns an object member of a reply's JSON object, or NULL. */
static JsonObject *reply_get_object_(const client_reply_t *reply,
				     const char *name)
{
	JsonNode *node;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return NULL;
	node = json_object_get_member(json_node_get_object(reply->json), name);
	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

static int status_to_exit_code_(unsigned int status)
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

/* Prints that no control instance answered, as JSON or as a message. */
static void no_answer_print_(const arguments_t *arguments, gboolean is_unknown,
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

/*
 * Prints why a request did not succeed; returns the exit code.  `change_id`
 * is NULL for a read.
 */
int failure_print(const arguments_t *arguments, client_outcome_t outcome,
		  const client_reply_t *reply, const char *change_id)
{
	JsonObject *error;

	if (outcome != CLIENT_ANSWERED) {
		no_answer_print_(arguments, outcome == CLIENT_MAYBE_EXECUTED,
				 change_id);
		return CB_EXIT_UNAVAILABLE;
	}
	error = reply_get_object_(reply, "error");
	if (arguments->is_json)
		printf("%s\n", reply->text);
	else if (error)
		fprintf(stderr, "currantbridge: %s: %s\n",
			json_member_string(error, "reason"),
			json_member_string(error, "message"));
	else
		fprintf(stderr, "currantbridge: HTTP status %u\n",
			reply->status);
	return status_to_exit_code_(reply->status);
}

/* Returns whether the answer comes from an instance without a majority. */
static gboolean reply_is_unconfirmed_(const client_reply_t *reply)
{
	JsonObject *root;

	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return FALSE;
	root = json_node_get_object(reply->json);
	return json_object_has_member(root, "is_confirmed") &&
	       !json_member_boolean(root, "is_confirmed");
}

/*
 * Sends a read.  While the answer is not confirmed by a majority, it tries
 * the other instances, each once.
 */
static client_outcome_t read_send_(client_t *client,
				   const client_request_t *request,
				   client_reply_t *reply)
{
	client_outcome_t outcome = client_send(client, request, reply);
	unsigned int attempt_count;

	for (attempt_count = 1;
	     attempt_count < client_address_count(client) &&
	     outcome == CLIENT_ANSWERED && reply_is_unconfirmed_(reply);
	     attempt_count++) {
		client_reply_clear(reply);
		client_select_next_address(client);
		outcome = client_send(client, request, reply);
	}
	return outcome;
}

/*
 * Reads `path`, whose ownership is taken, and prints the answer or the error.
 * Returns the exit code.
 */
int read_and_print(client_t *client, const arguments_t *arguments, char *path,
		   print_fn_t print)
{
	client_request_t request = { .method = "GET", .path = path };
	client_reply_t reply;
	client_outcome_t outcome = read_send_(client, &request, &reply);
	int code = CB_EXIT_OK;

	if (outcome != CLIENT_ANSWERED || reply.status != SOUP_STATUS_OK ||
	    !reply.json || !JSON_NODE_HOLDS_OBJECT(reply.json))
		code = failure_print(arguments, outcome, &reply, NULL);
	else if (arguments->is_json)
		printf("%s\n", reply.text);
	else
		print(json_node_get_object(reply.json));
	client_request_clear(&request);
	client_reply_clear(&reply);
	return code;
}

static void instance_names_print_(const char *title, JsonArray *names)
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
	       json_member_int(in_force, "in_force"),
	       json_member_int(in_force, "instances"),
	       json_member_boolean(in_force, "is_complete") ?
		       "" :
		       " known to this control instance");
	instance_names_print_("missing",
			      json_member_array(in_force, "missing"));
	instance_names_print_("silent", json_member_array(in_force, "silent"));
}

static gboolean in_force_is_everywhere_(JsonObject *in_force)
{
	return json_member_boolean(in_force, "is_complete") &&
	       json_member_int(in_force, "in_force") ==
		       json_member_int(in_force, "instances");
}

/*
 * Polls the leader until a revision is in force on all entry instances or the
 * deadline has passed.  Only the leader's answers are complete.  Returns the
 * JSON of its last answer, or NULL if there was none.
 */
static JsonNode *in_force_wait_(client_t *client, gint64 revision)
{
	client_request_t request = {
		.method = "GET",
		.path = g_strdup_printf(
			"/v1/in-force?revision=%" G_GINT64_FORMAT, revision)
	};
	JsonNode *last_json = NULL;
	client_reply_t reply;
	JsonObject *in_force;
	gboolean is_everywhere = FALSE;

	while (!is_everywhere && client_remaining_ms(client) > 0) {
		if (client_send(client, &request, &reply) != CLIENT_ANSWERED)
			break;
		in_force = reply_get_object_(&reply, "in_force");
		if (in_force && json_member_boolean(in_force, "is_complete")) {
			g_clear_pointer(&last_json, json_node_unref);
			last_json = json_node_ref(reply.json);
			is_everywhere = in_force_is_everywhere_(in_force);
		} else {
			client_select_next_address(client);
		}
		client_reply_clear(&reply);
		if (!is_everywhere)
			client_sleep(client, WAIT_POLL_MS);
	}
	client_request_clear(&request);
	return last_json;
}

/*
 * Prints an accepted change and where it is in force; with --wait, after it
 * is in force everywhere or the deadline has passed.  Returns the exit code.
 */
static int accepted_change_print_(client_t *client,
				  const arguments_t *arguments,
				  const client_reply_t *reply)
{
	JsonObject *root = json_node_get_object(reply->json);
	JsonObject *in_force = reply_get_object_(reply, "in_force");
	gint64 revision = json_member_int(root, "revision");
	JsonNode *waited_json = NULL;
	int code = CB_EXIT_OK;

	if (!arguments->is_json && !in_force)
		printf("accepted\n");
	else if (!arguments->is_json)
		printf("accepted at revision %" G_GINT64_FORMAT "%s\n",
		       revision,
		       json_member_boolean(root, "is_replayed") ?
			       " (accepted earlier)" :
			       "");
	fflush(stdout);
	if (arguments->waits_for_in_force && in_force &&
	    !in_force_is_everywhere_(in_force)) {
		waited_json = in_force_wait_(client, revision);
		if (waited_json) {
			in_force = json_object_get_object_member(
				json_node_get_object(waited_json), "in_force");
			json_object_set_object_member(root, "in_force",
						      json_object_ref(
							      in_force));
		}
		if (!waited_json || !in_force_is_everywhere_(in_force))
			code = CB_EXIT_UNAVAILABLE;
	}
	if (arguments->is_json) {
		char *text = json_to_string(reply->json, FALSE);

		printf("%s\n", text);
		g_free(text);
	} else if (in_force) {
		in_force_print_(in_force);
	}
	g_clear_pointer(&waited_json, json_node_unref);
	return code;
}

/*
 * Sends a change with the given change ID or a new one and prints the
 * outcome.  Clears `request` and returns the exit code.
 */
int change_send_and_print(client_t *client, const arguments_t *arguments,
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
	outcome = client_send(client, request, &reply);
	if (outcome == CLIENT_ANSWERED && reply.status == SOUP_STATUS_OK &&
	    reply.json && JSON_NODE_HOLDS_OBJECT(reply.json))
		code = accepted_change_print_(client, arguments, &reply);
	else
		code = failure_print(arguments, outcome, &reply,
				     request->change_id);
	client_request_clear(request);
	client_reply_clear(&reply);
	return code;
}
