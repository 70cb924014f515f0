#include "private/relay_content.h"

#include <string.h>

#include "private/relay.h"

/*
 * A pause between two events counts as progress up to this time: a server that
 * stands still for longer has not run the request meanwhile.
 */
#define PROGRESS_PAUSE_MAX_MS 100

/* Reads the content of a request that was received whole. */
void cb_relay_content_init(cb_relay_t *relay)
{
	const cb_dialect_t *dialect = relay->front->dialect;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const cb_content_request_t request = {
		.method = head->method,
		.target = head->target,
		.key = relay->request_info.key,
		.body = cb_http1_exchange_body(relay->exchange),
	};
	cb_text_part_t parts[CB_CONTENT_PARTS_MAX];
	unsigned int part_count =
		dialect->vtable->read_shared_parts(dialect, head, parts,
						   G_N_ELEMENTS(parts));

	relay->content.features =
		cb_content_features_new(&request, parts, part_count);
}

/* Frees what cb_relay_content_init() has allocated. */
void cb_relay_content_clear(cb_relay_t *relay)
{
	g_array_unref(relay->content.features);
}

/* Records that an attempt is sent. */
void cb_relay_content_attempt_begun(cb_relay_t *relay)
{
	relay->content.last_event_ms = 0;
	relay->content.progress_ms = 0;
}

/* Records an event of the attempt's answer, forwarded or not. */
void cb_relay_content_event_received(cb_relay_t *relay)
{
	cb_relay_content_t *content = &relay->content;
	int64_t now_ms = cb_relay_now_ms(relay);

	if (content->last_event_ms)
		content->progress_ms += MIN(now_ms - content->last_event_ms,
					    PROGRESS_PAUSE_MAX_MS);
	content->last_event_ms = now_ms;
}

/* Returns whether an attempt with this result has lost its connection. */
static gboolean connection_is_lost_(const char *result)
{
	return !strcmp(result, cb_http1_result_string[CB_HTTP1_LOST]) ||
	       !strcmp(result, cb_http1_result_string[CB_HTTP1_TRUNCATED]);
}

/* Returns whether a server is known to stop, so that its end is no crash. */
static gboolean server_is_stopping_(const cb_front_t *front,
				    const cb_relay_hop_t *hop)
{
	const cb_fleet_server_t *server = cb_fleet_find(front->fleet, hop->id);

	if (!server || server->start_wall_ms != hop->start_wall_ms)
		return FALSE;
	return server->state == CB_FLEET_DRAINING ||
	       server->state == CB_FLEET_GONE ||
	       cb_server_book_is_leaving(front->book, server) ||
	       cb_fleet_is_stopped(server, front->view);
}

/* Records that an attempt has failed, before its chain is released. */
void cb_relay_content_attempt_failed(cb_relay_t *relay, const char *result)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	if (connection_is_lost_(result) &&
	    !server_is_stopping_(relay->front, first))
		cb_server_ends_add_loss(relay->front->server_ends, first,
					relay->content.features);
}

/* Called when the process of a server has ended under requests. */
void cb_relay_content_server_ended(const cb_relay_hop_t *server,
				   const GPtrArray *losses, void *user_data)
{
	cb_front_t *front = user_data;

	cb_log_event(front->log, CB_EVENT_RELAY_SERVER_ENDED,
		     CB_STR("server", server->id),
		     CB_STR("address", server->address),
		     CB_INT("attempts", losses->len));
	cb_counter_add(cb_counters_counter(front->counters,
					   "cb_relay_servers_ended_total", NULL,
					   NULL),
		       1);
}
