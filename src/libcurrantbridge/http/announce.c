#include "private/caller.h"
#include "private/rendezvous.h"

/* A backend server reports to at most this number of entry instances. */
#define MAX_REPORT_TO_INSTANCES 24

/* Appends the addresses of the entry instances that `server` reports to. */
static void report_to_append_(cb_entry_t *entry, GString *text,
			      const char *server)
{
	GPtrArray *picked =
		cb_rendezvous_rank(cb_view_instances(entry->view), server);

	if (picked->len > MAX_REPORT_TO_INSTANCES)
		g_ptr_array_set_size(picked, MAX_REPORT_TO_INSTANCES);
	cb_addresses_append(text, picked);
	g_ptr_array_unref(picked);
}

/* Serves POST /v1/backend/announce. */
void cb_announce_handle(cb_entry_t *entry, SoupServerMessage *message,
			const char *path, GHashTable *query)
{
	cb_caller_error_t caller_error = { .refusal = CB_REFUSAL_MALFORMED };
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	size_t size_bytes;
	const char *data = g_bytes_get_data(body, &size_bytes);
	char *announcement = g_strndup(data ? data : "", size_bytes);
	const cb_server_t *server;
	GError *error = NULL;
	GString *text;

	(void)path;
	(void)query;
	server =
		cb_server_register(entry->registry, announcement, NULL, &error);
	if (!server) {
		caller_error.detail = error->message;
		cb_entry_refuse(entry, message, &caller_error);
		g_error_free(error);
		goto out;
	}
	text = g_string_new("{\"report_to\":");
	report_to_append_(entry, text, server->name);
	g_string_append_printf(text, ",\"interval_ms\":%" G_GINT64_FORMAT "}",
			       entry->options.announce_interval_ms);
	cb_entry_answer_json(message, text);
out:
	g_free(announcement);
	g_bytes_unref(body);
}
