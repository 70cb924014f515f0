#include "private/relay.h"

#include <string.h>

/*
 * A stream counts as silent after so much of the longest pause it may make,
 * or when its first event is due.
 */
#define SILENT_GAPS_PERCENT 150
#define SILENT_DEFAULT_MS 1500
/* How long a server may take to say why a stream is silent. */
#define ASK_TIMEOUT_MS 300
/* Ways that a stream is sent before it is begun anew elsewhere. */
#define REROUTES_MAX 4

/* How long a stream may be silent before it is looked for elsewhere. */
static int64_t silence_ms_(const cb_relay_t *relay)
{
	const cb_route_t *route = relay->route;

	if (!route->gap_ms)
		return SILENT_DEFAULT_MS;
	return relay->is_begun ? route->gap_ms * SILENT_GAPS_PERCENT / 100 :
				 route->target_ms;
}

void cb_relay_watch_silence(cb_relay_t *relay)
{
	if (relay->is_asking)
		return;
	if (relay->route->kind == CB_ROUTE_STREAM &&
	    cb_relay_is_repeatable(relay))
		cb_timer_start(relay->silence_timer, silence_ms_(relay));
}

static void reroute_(cb_relay_t *relay);

/* The stream goes on another way, from the same first server. */
static void rerouted_(cb_reroute_outcome_t outcome, const char *address,
		      void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	char *way;

	relay->is_asking = FALSE;
	if (outcome == CB_REROUTE_BAD_SERVER && address &&
	    cb_server_book_record_failure_at(front->book, address,
					     relay->tried) &&
	    relay->reroutes < REROUTES_MAX) {
		reroute_(relay);
		return;
	}
	if (outcome != CB_REROUTE_DONE) {
		cb_relay_attempt_failed(relay, "silent", TRUE, address);
		return;
	}
	way = cb_relay_way(relay);
	cb_log_event(front->log, CB_EVENT_RELAY_REROUTED,
		     CB_STR("request", relay->ask.id), CB_STR("way", way),
		     CB_INT("last_event", relay->last_event));
	g_free(way);
	cb_relay_watch_silence(relay);
}

/* Asks the first server to send the stream another way. */
static void reroute_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	GArray *hops = cb_relay_hops_new();
	const cb_book_criteria_t criteria = {
		.service = relay->service,
		.tokens = relay->tokens,
		.excluded_servers = relay->tried,
		.first_hop = &g_array_index(relay->hops, cb_relay_hop_t, 0),
		/*
		 * All tokens so far would cross again: a way within another
		 * data centre reads them sooner.
		 */
		.forbids_crossing = TRUE,
	};
	cb_book_outcome_t outcome;

	relay->reroutes++;
	cb_server_book_end_request(front->book, relay->hops, relay->tokens);
	outcome = cb_server_book_choose(front->book, &criteria, hops);
	if (outcome != CB_BOOK_FOUND) {
		cb_server_book_begin_request(front->book, relay->hops,
					     relay->tokens);
		g_array_unref(hops);
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	g_array_unref(relay->hops);
	relay->hops = hops;
	cb_server_book_begin_request(front->book, relay->hops, relay->tokens);
	relay->is_asking = TRUE;
	cb_timer_start(relay->silence_timer, ASK_TIMEOUT_MS);
	front->orders->vtable->reroute(
		front->orders, g_array_index(hops, cb_relay_hop_t, 0).address,
		relay->ask.id, hops, rerouted_, relay);
}

/* Finds the server that the stream waits for, as the first one reports. */
static const char *stall_find_(const cb_relay_t *relay,
			       const cb_engine_report_t *report)
{
	unsigned int i;

	for (i = 0; report->stalls && i < report->stalls->len; i++) {
		const cb_stall_t *stall =
			&g_array_index(report->stalls, cb_stall_t, i);

		if (!g_strcmp0(stall->request_id, relay->ask.id))
			return stall->address;
	}
	return NULL;
}

static void reported_(const cb_engine_report_t *report, void *user_data)
{
	cb_relay_t *relay = user_data;
	const char *address = report ? stall_find_(relay, report) : NULL;
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	relay->is_asking = FALSE;
	if (!report) {
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	if (!address) {
		/* It is only slow: another server would have it from the start. */
		cb_relay_watch_silence(relay);
		return;
	}
	cb_log_event(relay->front->log, CB_EVENT_RELAY_STALLED,
		     CB_STR("request", relay->ask.id),
		     CB_STR("address", address),
		     CB_INT("last_event", relay->last_event));
	if (!strcmp(address, first->address) ||
	    !cb_server_book_record_failure_at(relay->front->book, address,
					      relay->tried)) {
		cb_relay_attempt_failed(relay, "silent", TRUE, address);
		return;
	}
	reroute_(relay);
}

/* A stream is silent: the first server on its way is asked why. */
void cb_relay_silence_fired(void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;

	if (relay->is_asking || !relay->service->engine) {
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	relay->is_asking = TRUE;
	cb_timer_start(relay->silence_timer, ASK_TIMEOUT_MS);
	front->orders->vtable->report(
		front->orders,
		g_array_index(relay->hops, cb_relay_hop_t, 0).address,
		reported_, relay);
}
