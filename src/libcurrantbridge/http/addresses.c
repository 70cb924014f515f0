#include "private/caller.h"
#include "currantbridge/json_fields.h"
#include "private/rendezvous.h"

/* Appends the instances' addresses as a JSON array. */
void cb_addresses_append(GString *text, const GPtrArray *instances)
{
	unsigned int i;

	g_string_append_c(text, '[');
	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);

		if (i > 0)
			g_string_append_c(text, ',');
		cb_json_append_string(text, instance->address);
	}
	g_string_append_c(text, ']');
}

/* Answers 200 with the JSON text and takes ownership of it. */
void cb_entry_answer_json(SoupServerMessage *message, GString *text)
{
	size_t size_bytes = text->len;

	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE),
					 size_bytes);
}

/* Serves GET /v1/addresses?workspace=W. */
void cb_addresses_handle(cb_entry_t *entry, SoupServerMessage *message,
			 const char *path, GHashTable *query)
{
	const char *workspace =
		query ? g_hash_table_lookup(query, "workspace") : NULL;
	cb_caller_error_t caller_error = { .refusal = CB_REFUSAL_MALFORMED };
	GString *text;
	GPtrArray *picked;

	(void)path;
	if (!workspace || !*workspace) {
		caller_error.detail = "workspace: is required";
		cb_entry_refuse(entry, message, &caller_error);
		return;
	}
	if (!cb_control_client_is_confirmed(entry->control)) {
		caller_error.refusal = CB_REFUSAL_NOT_READY;
		caller_error.retry_after_s = 1;
		cb_entry_refuse(entry, message, &caller_error);
		return;
	}
	picked = cb_rendezvous_pick(cb_view_instances(entry->view), workspace,
				    (unsigned int)entry->options.address_count);
	text = g_string_new("{\"addresses\":");
	cb_addresses_append(text, picked);
	g_string_append_printf(text,
			       ",\"ttl_ms\":%" G_GINT64_FORMAT
			       ",\"revision\":%" G_GUINT64_FORMAT "}",
			       entry->options.address_ttl_ms,
			       cb_view_revision(entry->view));
	g_ptr_array_unref(picked);
	cb_entry_answer_json(message, text);
}
