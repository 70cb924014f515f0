#ifndef COMMANDS_H
#define COMMANDS_H

#include "client.h"

/* The options and operands given on the command line. */
typedef struct arguments {
	/* IP:PORT[,IP:PORT...] of control instances, or NULL. */
	char *control;
	/* ID of the change; NULL: a new ID is generated. */
	char *change_id;
	/* Revision that the item must have; -1: not given. */
	gint64 expected_revision;
	gint64 timeout_ms;
	gboolean is_json;
	gboolean waits_for_in_force;
	/* Operands that follow the command's name, NULL-terminated. */
	char **operands;
} arguments_t;

/* One command of the command line; returns the exit code. */
typedef int (*command_fn_t)(client_t *client, const arguments_t *arguments);

int contract_put_command(client_t *client, const arguments_t *arguments);
int contract_get_command(client_t *client, const arguments_t *arguments);
int contract_list_command(client_t *client, const arguments_t *arguments);
int contract_remove_command(client_t *client, const arguments_t *arguments);
int stop_announce_command(client_t *client, const arguments_t *arguments);
int stop_cancel_command(client_t *client, const arguments_t *arguments);
int stop_list_command(client_t *client, const arguments_t *arguments);
int status_command(client_t *client, const arguments_t *arguments);
int members_add_command(client_t *client, const arguments_t *arguments);
int members_remove_command(client_t *client, const arguments_t *arguments);
int members_list_command(client_t *client, const arguments_t *arguments);
int config_check_command(client_t *client, const arguments_t *arguments);
int explain_command(client_t *client, const arguments_t *arguments);

/* Prints the JSON body of a successful read for a human reader. */
typedef void (*print_fn_t)(JsonObject *root);

int read_and_print(client_t *client, const arguments_t *arguments, char *path,
		   print_fn_t print);
int change_send_and_print(client_t *client, const arguments_t *arguments,
			  client_request_t *request);
int failure_print(const arguments_t *arguments, client_outcome_t outcome,
		  const client_reply_t *reply, const char *change_id);

/* Return a member's value; if it is absent, 0, "", FALSE or NULL. */
gint64 json_member_int(JsonObject *object, const char *name);
const char *json_member_string(JsonObject *object, const char *name);
gboolean json_member_boolean(JsonObject *object, const char *name);
JsonArray *json_member_array(JsonObject *object, const char *name);

#endif
