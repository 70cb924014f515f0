#include "load.h"

#include <stdio.h>
#include <string.h>

#include "currantbridge/program.h"

typedef struct call_options {
	char *entry;
	char *key;
	char *method;
	char *idempotency_key;
	char *body;
} call_options_t;

static void response_header_print_(SoupMessage *message, const char *name)
{
	const char *value = soup_message_headers_get_one(
		soup_message_get_response_headers(message), name);

	if (value)
		printf("%s: %s\n", name, value);
}

static SoupMessage *call_message_new_(const call_options_t *options,
				      const char *path)
{
	char *uri = g_strdup_printf("http://%s/v1/services/%s", options->entry,
				    path);
	char *bearer = g_strconcat("Bearer ", options->key, NULL);
	SoupMessage *message =
		soup_message_new(options->method ? options->method : "POST",
				 uri);
	SoupMessageHeaders *headers;
	GBytes *bytes;

	if (message) {
		headers = soup_message_get_request_headers(message);
		soup_message_headers_replace(headers, "Authorization", bearer);
		if (options->idempotency_key)
			soup_message_headers_replace(headers, "Idempotency-Key",
						     options->idempotency_key);
	}
	if (message && options->body) {
		bytes = g_bytes_new(options->body, strlen(options->body));
		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 bytes);
		g_bytes_unref(bytes);
	}
	g_free(bearer);
	g_free(uri);
	return message;
}

static int call_send_(SoupSession *session, SoupMessage *message)
{
	GError *error = NULL;
	GBytes *answer =
		soup_session_send_and_read(session, message, NULL, &error);

	if (!answer) {
		fprintf(stderr, "cb-load: %s\n", error->message);
		g_error_free(error);
		return CB_EXIT_UNAVAILABLE;
	}
	printf("%u %.*s\n", soup_message_get_status(message),
	       (int)g_bytes_get_size(answer),
	       (const char *)g_bytes_get_data(answer, NULL));
	response_header_print_(message, "Idempotent-Replayed");
	response_header_print_(message, "Retry-After");
	g_bytes_unref(answer);
	if (SOUP_STATUS_IS_SUCCESSFUL(soup_message_get_status(message)))
		return CB_EXIT_OK;
	return CB_EXIT_FAILURE;
}

/* `cb-load call`: calls a plain service once. */
int load_call_main(int argc, char **argv)
{
	call_options_t options = { 0 };
	const GOptionEntry entries[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &options.entry,
		  "Entry instance", "IP:PORT" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &options.key, "Bearer key",
		  "KEY" },
		{ "method", 0, 0, G_OPTION_ARG_STRING, &options.method,
		  "HTTP method (default POST)", "METHOD" },
		{ "idempotency-key", 0, 0, G_OPTION_ARG_STRING,
		  &options.idempotency_key, "Idempotency-Key", "KEY" },
		{ "body", 0, 0, G_OPTION_ARG_STRING, &options.body, "Body",
		  "JSON" },
		G_OPTION_ENTRY_NULL
	};
	SoupSession *session;
	SoupMessage *message;
	int exit_code;

	if (!cb_program_parse(&argc, &argv, "SERVICE/PATH",
			      "Calls a plain service.", entries, &exit_code))
		return exit_code;
	if (argc != 2 || !options.entry || !options.key) {
		fprintf(stderr, "cb-load: call needs --entry, --key and "
				"SERVICE/PATH\n");
		return CB_EXIT_USAGE;
	}
	message = call_message_new_(&options, argv[1]);
	if (!message) {
		fprintf(stderr, "cb-load: invalid address: %s\n",
			options.entry);
		return CB_EXIT_USAGE;
	}
	session = load_session_new();
	exit_code = call_send_(session, message);
	g_object_unref(message);
	g_object_unref(session);
	return exit_code;
}
