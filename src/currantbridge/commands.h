#ifndef COMMANDS_H
#define COMMANDS_H

#include "client.h"

/* What the command line gave, options and the words of the command. */
typedef struct arguments {
	char *control;
	char *change_id;
	gint64 expected_revision;
	gint64 timeout_ms;
	gboolean is_json;
	gboolean is_waiting;
	char **words; /* after the command's own, NULL-terminated */
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

/* Prints the JSON body of a read, or the error, and returns the exit code. */
typedef void (*print_fn_t)(JsonObject *root);

int read_run(client_t *client, const arguments_t *arguments, char *path,
	     print_fn_t print);
int change_run(client_t *client, const arguments_t *arguments,
	       client_request_t *request);
int reply_fail(const arguments_t *arguments, client_outcome_t outcome,
	       const client_reply_t *reply, const char *change_id);

/* Readers that take a missing member as 0, "" or an empty array. */
gint64 json_int(JsonObject *object, const char *name);
const char *json_text(JsonObject *object, const char *name);
gboolean json_flag(JsonObject *object, const char *name);
JsonArray *json_list(JsonObject *object, const char *name);

#endif
