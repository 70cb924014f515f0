#include "currantbridge/document.h"
#include "private/node.h"

/*
 * The services of the configuration document in force, by which reports on backend
 * servers are admitted to the fleet; see docs/FLEET.md.
 */

/*
 * Reads the document in force if it has changed, without its routes.  One that
 * can't be read leaves the services as they were.
 */
static void services_update_(cb_node_t *node)
{
	const cb_document_text_t *text =
		cb_view_document(cb_state_view(node->state));
	cb_document_t *document;
	GError *error = NULL;

	if (!text || text->revision == node->services_revision)
		return;
	node->services_revision = text->revision;
	document =
		cb_document_decode_services(node->codec, text->packed, &error);
	if (!document) {
		cb_log_event(node->log, CB_EVENT_DOCUMENT_UNREADABLE,
			     CB_INT("version", text->version),
			     CB_STR("reason", error->message));
		g_error_free(error);
		return;
	}
	cb_document_unref(node->services);
	node->services = document;
}

/* Returns whether the newest document that this instance has applied can use it. */
static gboolean server_is_configured_(const cb_fleet_server_t *report,
				      void *user_data)
{
	cb_node_t *node = user_data;

	services_update_(node);
	return cb_fleet_document_can_use(node->services, report);
}

/*
 * Begins to admit servers by the document's services.  `codec` NULL: the servers of
 * all services are admitted.
 */
void cb_node_services_init(cb_node_t *node, const cb_document_codec_t *codec)
{
	node->codec = codec;
	node->unconfigured_gauge =
		cb_counters_gauge(cb_kernel_counters(node->kernel),
				  "cb_servers_unconfigured", NULL, NULL);
	if (codec)
		cb_fleet_set_check(node->fleet, server_is_configured_, node);
}

/* Admits the servers whose services a new document has. */
void cb_node_services_review(cb_node_t *node)
{
	const cb_document_text_t *text =
		cb_view_document(cb_state_view(node->state));

	if (cb_fleet_unconfigured_count(node->fleet) && text &&
	    text->revision != node->reviewed_revision) {
		node->reviewed_revision = text->revision;
		cb_fleet_admit_configured(node->fleet);
	}
	cb_counter_set(node->unconfigured_gauge,
		       cb_fleet_unconfigured_count(node->fleet));
}
