#include "private/fleet_server.h"

#include <string.h>

/* Copies a server with its strings. */
void cb_fleet_server_copy(cb_fleet_server_t *to, const cb_fleet_server_t *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->service = g_strdup(from->service);
	to->address = g_strdup(from->address);
	to->data_centre = g_strdup(from->data_centre);
	to->kind = g_strdup(from->kind);
}

/* Frees the strings of a server. */
void cb_fleet_server_clear(cb_fleet_server_t *server)
{
	g_free(server->id);
	g_free(server->service);
	g_free(server->address);
	g_free(server->data_centre);
	g_free(server->kind);
}

/* Frees a server with its strings. */
void cb_fleet_server_delete(void *server)
{
	cb_fleet_server_clear(server);
	g_free(server);
}

/* Returns whether a report is newer than the record of the same ID. */
gboolean cb_fleet_report_is_newer(const cb_fleet_server_t *report,
				  const cb_fleet_server_t *known)
{
	if (report->start_wall_ms != known->start_wall_ms)
		return report->start_wall_ms > known->start_wall_ms;
	return report->sequence > known->sequence;
}

/*
 * Returns whether two records of one ID are of the same process.  A process has
 * one service from its start to its end, and tells a kind of accelerator always or
 * never.
 */
gboolean cb_fleet_process_is_same(const cb_fleet_server_t *a,
				  const cb_fleet_server_t *b)
{
	return a->start_wall_ms == b->start_wall_ms && !a->kind == !b->kind &&
	       !strcmp(a->service, b->service);
}

gboolean cb_fleet_document_can_use(const cb_document_t *document,
				   const cb_fleet_server_t *report)
{
	const cb_service_profile_t *service =
		document ? cb_document_service(document, report->service) :
			   NULL;

	if (!service)
		return FALSE;
	if (!service->engine || !service->engine->layers ||
	    !service->engine->kinds->len)
		return TRUE;
	return !report->lacks_layers &&
	       cb_engine_profile_kind(service->engine, report->kind) != NULL;
}

/*
 * Returns the state after a report: a process that drains or is gone does not
 * become ready again.
 */
cb_fleet_state_t cb_fleet_state_merge(const cb_fleet_server_t *known,
				      const cb_fleet_server_t *report)
{
	if (!cb_fleet_process_is_same(known, report))
		return report->state;
	if (known->state == CB_FLEET_GONE)
		return CB_FLEET_GONE;
	if (known->state == CB_FLEET_DRAINING &&
	    report->state == CB_FLEET_READY)
		return CB_FLEET_DRAINING;
	return report->state;
}
