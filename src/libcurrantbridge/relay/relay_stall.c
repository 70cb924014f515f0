#include "private/relay.h"

#include <string.h>

/*
 * A stream counts as silent after this percentage of the longest gap that its
 * route allows between events, or when its first event is due.
 */
#define SILENCE_GAP_PERCENT 150
#define DEFAULT_SILENCE_MS 1500
/* How long a server may take to answer a request for a report or reroute. */
#define ORDER_TIMEOUT_MS 300
/* Reroutes of one request, after which a bad server fails the attempt. */
#define REROUTES_MAX 4

/* Returns how long a stream may be without an event, in ms. */
static int64_t silence_limit_compute_(const cb_relay_t *relay)
{
	const cb_route_t *route = relay->route;

	if (!route->target_gap_ms)
		return DEFAULT_SILENCE_MS;
	return relay->is_answer_begun ?
		       route->target_gap_ms * SILENCE_GAP_PERCENT / 100 :
		       route->target_latency_ms;
}

/* Restarts the silence timer of a stream that may be resumed elsewhere. */
void cb_relay_start_silence_timer(cb_relay_t *relay)
{
	if (relay->is_order_pending)
		return;
	if (relay->route->kind == CB_ROUTE_STREAM &&
	    cb_relay_is_repeatable(relay))
		cb_timer_start(relay->silence_timer,
			       silence_limit_compute_(relay));
}

static void reroute_request_(cb_relay_t *relay);

/* Called with the first server's answer to a request for a reroute. */
static void reroute_answer_receive_(cb_reroute_outcome_t outcome,
				    const char *address, void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	char *hops_text;

	relay->is_order_pending = FALSE;
	if (outcome == CB_REROUTE_BAD_SERVER && address &&
	    cb_server_book_record_failure_at(front->book, address,
					     relay->tried_servers) &&
	    relay->reroute_count < REROUTES_MAX) {
		reroute_request_(relay);
		return;
	}
	if (outcome != CB_REROUTE_DONE) {
		cb_relay_attempt_failed(relay, "silent", TRUE, address);
		return;
	}
	hops_text = cb_relay_format_hops(relay);
	cb_log_event(front->log, CB_EVENT_RELAY_REROUTED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("way", hops_text),
		     CB_INT("last_event", relay->last_event));
	g_free(hops_text);
	cb_relay_start_silence_timer(relay);
}

/* Requests that the first server sends the stream through another chain. */
static void reroute_request_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	GArray *hops = cb_relay_hops_new();
	const cb_book_criteria_t criteria = {
		.service = relay->service,
		.tokens = relay->expected_tokens,
		.excluded_servers = relay->tried_servers,
		.first_hop = &g_array_index(relay->hops, cb_relay_hop_t, 0),
		/*
		 * All tokens so far would be sent between data centres again; a
		 * chain within another data centre processes them sooner.
		 */
		.forbids_crossing = TRUE,
	};
	cb_book_outcome_t outcome;

	relay->reroute_count++;
	cb_server_book_end_request(front->book, relay->hops,
				   relay->expected_tokens);
	outcome = cb_server_book_choose(front->book, &criteria, hops);
	if (outcome != CB_BOOK_FOUND) {
		cb_server_book_begin_request(front->book, relay->hops,
					     relay->expected_tokens);
		g_array_unref(hops);
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	g_array_unref(relay->hops);
	relay->hops = hops;
	cb_server_book_begin_request(front->book, relay->hops,
				     relay->expected_tokens);
	relay->is_order_pending = TRUE;
	cb_timer_start(relay->silence_timer, ORDER_TIMEOUT_MS);
	front->orders->vtable->reroute(
		front->orders, g_array_index(hops, cb_relay_hop_t, 0).address,
		relay->request_info.id, hops, reroute_answer_receive_, relay);
}

/* Returns the server address that the reported stall waits for, or NULL. */
static const char *stalled_address_find_(const cb_relay_t *relay,
					 const cb_engine_report_t *report)
{
	unsigned int i;

	for (i = 0; report->stalls && i < report->stalls->len; i++) {
		const cb_stall_t *stall =
			&g_array_index(report->stalls, cb_stall_t, i);

		if (!g_strcmp0(stall->request_id, relay->request_info.id))
			return stall->address;
	}
	return NULL;
}

/* Called with the first server's report, or NULL if there was none. */
static void report_receive_(const cb_engine_report_t *report, void *user_data)
{
	cb_relay_t *relay = user_data;
	const char *address =
		report ? stalled_address_find_(relay, report) : NULL;
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	relay->is_order_pending = FALSE;
	if (!report) {
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	if (!address) {
		/*
		 * The stream is only slow; another server would start the
		 * answer over.
		 */
		cb_relay_start_silence_timer(relay);
		return;
	}
	cb_log_event(relay->front->log, CB_EVENT_RELAY_STALLED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("address", address),
		     CB_INT("last_event", relay->last_event));
	if (!strcmp(address, first->address) ||
	    !cb_server_book_record_failure_at(relay->front->book, address,
					      relay->tried_servers)) {
		cb_relay_attempt_failed(relay, "silent", TRUE, address);
		return;
	}
	reroute_request_(relay);
}

/*
 * Called when a stream or the answer to a pending order is overdue: requests a
 * report from the first server, or fails the attempt.
 */
void cb_relay_silence_timer_fired(void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;

	if (relay->is_order_pending || !relay->service->engine) {
		cb_relay_attempt_failed(relay, "silent", TRUE, NULL);
		return;
	}
	relay->is_order_pending = TRUE;
	cb_timer_start(relay->silence_timer, ORDER_TIMEOUT_MS);
	front->orders->vtable->report(
		front->orders,
		g_array_index(relay->hops, cb_relay_hop_t, 0).address,
		report_receive_, relay);
}
