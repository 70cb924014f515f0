#include "private/relay.h"

#include <string.h>

#include "private/relay_memory.h"
#include "private/relay_reach.h"
#include "private/relay_room.h"
#include "private/relay_standby.h"

/* Retry-After of requests refused for lack of a server or during a stop. */
#define NO_SERVER_RETRY_AFTER_MS 1000
#define STOPPING_RETRY_AFTER_MS 100
/* Longest time after which callers come back for servers that limit their rates. */
#define LIMITED_RETRY_AFTER_MAX_MS 2000
/*
 * From this time after the start of a drain on, only requests are started that
 * surely end before it does: callers know other addresses by then.
 */
#define DRAIN_START_MAX_MS 2500
/*
 * How long a request waits for what may soon be available: the first document
 * or server after a start, layers that are being loaded, token capacity that
 * ending streams free.  Waiting delays the answer by as much, but a refused
 * caller would retry still later.
 */
#define SERVER_WAIT_MAX_MS 1000
#define CAPACITY_WAIT_MAX_MS 250
#define WAIT_RETRY_INTERVAL_MS 10
/* A request waits at most its total time divided by this number. */
#define WAIT_TIME_DIVISOR 4
/* Requests of other instances that are in progress at the same time. */
#define FORWARDED_MAX 256
/* Total time of a request whose caller sets none. */
#define DEFAULT_BUDGET_MS 30000

/* Returns the time in ms of the clock that the deadline refers to. */
int64_t cb_relay_now_ms(const cb_relay_t *relay)
{
	return cb_clock_now_ms(relay->front->clock);
}

/* Returns how long ago the request arrived, in ms. */
int64_t cb_relay_elapsed_ms(const cb_relay_t *relay)
{
	return cb_relay_now_ms(relay) -
	       cb_http1_exchange_arrived_ms(relay->exchange);
}

/* Returns whether the request may run more than once. */
gboolean cb_relay_is_repeatable(const cb_relay_t *relay)
{
	return relay->route->kind == CB_ROUTE_IDEMPOTENT ||
	       (relay->route->kind == CB_ROUTE_STREAM &&
		relay->route->is_resumable);
}

/*
 * Returns whether another server can go on with the answer to the request.  It
 * begins after the last event that has an ID, and can't continue a body that is
 * partly sent.
 */
gboolean cb_relay_is_resumable(const cb_relay_t *relay)
{
	return cb_relay_is_repeatable(relay) && !relay->is_body_streamed &&
	       !relay->has_unnumbered_event;
}

/* Adds 1 to the counter `name` with the label reason. */
void cb_relay_count_reason(cb_front_t *front, const char *name,
			   const char *reason)
{
	cb_counter_add(cb_counters_counter(front->counters, name, "reason",
					   reason),
		       1);
}

/* Stops the silence timer, and cancels a pending report call and reroute. */
void cb_relay_stop_watching(cb_relay_t *relay)
{
	cb_timer_stop(relay->silence_timer);
	if (relay->is_report_pending)
		cb_engine_reports_cancel(relay->front->reports, relay);
	if (relay->is_reroute_pending)
		relay->front->orders->vtable->cancel(relay->front->orders,
						     relay);
	relay->is_report_pending = FALSE;
	relay->is_reroute_pending = FALSE;
	cb_relay_clear_former_hops(relay);
}

/* Cancels the attempt in flight, if any, also at its server. */
void cb_relay_cancel_attempt(cb_relay_t *relay)
{
	cb_relay_stop_watching(relay);
	if (relay->call)
		cb_http1_call_cancel(g_steal_pointer(&relay->call));
	cb_relay_forward_end(relay->front, &relay->forwarded_to);
	if (relay->hops->len) {
		cb_server_book_end_request(relay->front->book, relay->hops,
					   relay->expected_tokens);
		g_array_set_size(relay->hops, 0);
	}
	cb_event_splitter_clear(&relay->splitter);
	g_byte_array_set_size(relay->buffered_body, 0);
	relay->is_call_paused = FALSE;
	cb_relay_memory_update(relay);
}

/* Cancels all attempts and frees the request; sends no answer. */
void cb_relay_delete(void *data)
{
	cb_relay_t *relay = data;

	cb_relay_standby_clear(relay);
	cb_relay_cancel_attempt(relay);
	if (relay->is_waiting)
		g_queue_remove(&relay->front->waiting, relay);
	if (relay->is_counted_as_forwarded)
		relay->front->forwarded_count--;
	cb_relay_memory_clear(relay);
	cb_timer_delete(relay->deadline_timer);
	cb_timer_delete(relay->silence_timer);
	g_array_unref(relay->hops);
	g_hash_table_unref(relay->tried_servers);
	g_array_unref(relay->used_connections);
	g_free(relay->stream_type);
	g_byte_array_unref(relay->buffered_body);
	if (relay->answer_headers)
		g_string_free(relay->answer_headers, TRUE);
	cb_document_unref(relay->document);
	cb_relay_content_clear(relay);
	g_free(relay->failed_address);
	g_free(relay->forwarded_from);
	g_free(relay);
}

/*
 * Returns the chain as text, "ADDRESS=FROM-TO ADDRESS=FROM-TO", or only the
 * address of a server without layers.  The caller frees it.
 */
char *cb_relay_format_hops(const cb_relay_t *relay)
{
	GString *hops_text = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < relay->hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(relay->hops, cb_relay_hop_t, i);

		g_string_append_printf(hops_text, "%s%s", i ? " " : "",
				       hop->address);
		if (hop->layer_to)
			g_string_append_printf(hops_text, "=%u-%u",
					       hop->layer_from, hop->layer_to);
	}
	return g_string_free(hops_text, FALSE);
}

/* Returns the framing of the server's answer; NULL: there is no answer yet. */
const char *cb_relay_framing_text(const cb_relay_t *relay)
{
	return relay->status ? cb_http1_framing_string[relay->framing] : NULL;
}

/* Returns the bytes received of an event that is not complete yet. */
size_t cb_relay_unfinished_bytes(const cb_relay_t *relay)
{
	return relay->splitter.partial ? relay->splitter.partial->len : 0;
}

/* Returns how long a stream has been without an event, in ms. */
int64_t cb_relay_silent_ms(const cb_relay_t *relay)
{
	return cb_relay_now_ms(relay) -
	       MAX(relay->pace.last_ms, relay->sent_ms);
}

/* Returns whether data of the server lies unread in the socket. */
gboolean cb_relay_has_input(const cb_relay_t *relay)
{
	return relay->call && cb_http1_call_has_input(relay->call);
}

/* Logs and counts how a request ends, while its exchange still exists. */
void cb_relay_record_end(cb_relay_t *relay, uint32_t status, const char *reason)
{
	cb_front_t *front = relay->front;
	gboolean is_served = status >= 200 && status < 300;
	int64_t elapsed_ms = cb_relay_elapsed_ms(relay);
	gboolean is_cut = status >= 500 && relay->is_answer_begun;
	char *hops_text = cb_relay_format_hops(relay);
	cb_book_count_t servers = { 0 };

	if (relay->service && !is_served)
		servers = cb_server_book_count(front->book, relay->service);
	cb_log_event(front->log,
		     is_served ? CB_EVENT_RELAY_SERVED : CB_EVENT_RELAY_ENDED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("route", relay->route ? relay->route->name : NULL),
		     CB_STR("target",
			    cb_http1_exchange_head(relay->exchange)->target),
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("attempts", relay->send_count),
		     CB_STR("way", hops_text),
		     CB_STR("framing", cb_relay_framing_text(relay)),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("unfinished_bytes",
			    (int64_t)cb_relay_unfinished_bytes(relay)),
		     CB_INT("version",
			    relay->document ? relay->document->version : 0),
		     CB_INT("elapsed_ms", elapsed_ms),
		     CB_INT("first_event_ms", relay->first_event_ms),
		     CB_INT("longest_gap_ms", relay->pace.longest_gap_ms),
		     CB_STR("gap_cause", relay->pace.longest_gap_cause),
		     CB_INT("is_cut", is_cut),
		     CB_INT("ready_servers", servers.ready),
		     CB_INT("distrusted_servers", servers.distrusted),
		     /* Without a name, the list ends here. */
		     CB_INT(is_served ? NULL : "loop_late_ms",
			    cb_clock_worst_lateness_ms(front->clock)),
		     CB_INT("document_age_ms",
			    cb_front_document_age_ms(front)));
	cb_relay_count_reason(front, "cb_relay_ended_total", reason);
	if (is_cut)
		cb_relay_count_reason(front, "cb_relay_cut_total", reason);
	cb_histogram_add(is_served ? front->served_ms : front->failed_ms,
			 elapsed_ms);
	cb_relay_content_ended(relay, is_served);
	if (is_served && relay->route)
		cb_route_times_add(front->route_times, relay->route->name,
				   elapsed_ms);
	if (is_served)
		cb_relay_room_ended(relay);
	g_free(hops_text);
}

/* Frees the request through the front's set of requests. */
void cb_relay_free(cb_relay_t *relay)
{
	g_hash_table_remove(relay->front->relays, relay);
}

/*
 * Returns what an error tells the instance that has forwarded the request.  That
 * instance knows of its own runs: only those made here count.
 */
static cb_forward_outcome_t error_outcome_find_(const cb_relay_t *relay,
						const char *reason)
{
	return relay->run_count > relay->forwarded_runs ?
		       CB_FORWARD_UNKNOWN :
		       cb_relay_forward_refusal(reason);
}

/*
 * Answers with an error of this instance; `retry_after_ms` 0: no header.  Another
 * instance that has forwarded the request is told what that means.
 */
static void error_reply_send_(const cb_relay_t *relay, uint32_t status,
			      const char *reason, gboolean has_run,
			      int64_t retry_after_ms)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	char *body = g_strdup_printf(
		"{\"error\":{\"reason\":\"%s\",\"executed\":\"%s\"}}", reason,
		has_run ? "unknown" : "no");
	GString *headers = g_string_new("Content-Type: application/json\r\n");

	if (retry_after_ms > 0)
		g_string_append_printf(headers, "Retry-After: %d.%03d\r\n",
				       (int)(retry_after_ms / 1000),
				       (int)(retry_after_ms % 1000));
	if (relay->forwarded_from)
		cb_relay_forward_append_lines(
			relay, error_outcome_find_(relay, reason), headers);
	cb_http1_exchange_reply(exchange, status, headers->str, body,
				strlen(body));
	g_string_free(headers, TRUE);
	g_free(body);
}

/* Refuses a request before any attempt, and frees it. */
static void request_refuse_(cb_relay_t *relay, uint32_t status,
			    const char *reason)
{
	cb_front_t *front = relay->front;

	cb_log_event(front->log, CB_EVENT_RELAY_REFUSED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("target",
			    cb_http1_exchange_head(relay->exchange)->target),
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("retry_after_ms", 0),
		     CB_INT("version",
			    front->document ? front->document->version : 0));
	cb_relay_count_reason(front, "cb_relay_refused_total", reason);
	error_reply_send_(relay, status, reason, relay->run_count > 0, 0);
	cb_relay_free(relay);
}

/*
 * Ends a request with an error that reports whether it ran, and frees it.  The
 * answer has a Retry-After only if the request did not run; an answer that has
 * begun is aborted.
 */
void cb_relay_break_off(cb_relay_t *relay, const char *reason,
			int64_t retry_after_ms)
{
	gboolean has_run = relay->run_count > 0;
	uint32_t status = has_run ? 502 : 503;

	cb_relay_content_left(relay);
	cb_relay_cancel_attempt(relay);
	if (has_run && cb_relay_now_ms(relay) >= relay->deadline_ms)
		status = 504;
	cb_relay_record_end(relay, status, reason);
	if (relay->is_answer_begun)
		cb_http1_exchange_abort(relay->exchange);
	else
		error_reply_send_(relay, status, reason, has_run,
				  has_run ? 0 : retry_after_ms);
	cb_relay_free(relay);
}

void cb_relay_give_up(cb_relay_t *relay, const char *reason,
		      int64_t retry_after_ms)
{
	if (cb_relay_now_ms(relay) >= relay->deadline_ms ||
	    !cb_relay_standby_resume(relay, reason))
		cb_relay_break_off(relay, reason, retry_after_ms);
}

static void deadline_timer_fired_(void *user_data)
{
	cb_relay_t *relay = user_data;

	/* The attempt in flight may have run at its server. */
	if (relay->call)
		relay->run_count++;
	cb_relay_break_off(relay, "deadline", CB_RELAY_RETRY_AFTER_MS);
}

/*
 * Returns how long a request may wait, in ms: `max_wait_ms` at most, unless it
 * has left a silent server.
 */
static int64_t wait_limit_compute_(const cb_relay_t *relay, int64_t max_wait_ms)
{
	int64_t total_time_ms = relay->deadline_ms -
				cb_http1_exchange_arrived_ms(relay->exchange);

	if (relay->has_left_silent)
		return total_time_ms;
	return MIN(max_wait_ms, total_time_ms / WAIT_TIME_DIVISOR);
}

/*
 * Queues a request that can't be sent yet.  Once it has waited too long it is
 * given up, so that its caller has time left to retry.
 */
void cb_relay_queue(cb_relay_t *relay, const char *reason, int64_t max_wait_ms,
		    int64_t retry_after_ms)
{
	cb_front_t *front = relay->front;
	int64_t now_ms = cb_relay_now_ms(relay);

	if (!relay->wait_since_ms)
		relay->wait_since_ms = now_ms;
	if (now_ms - relay->wait_since_ms >=
	    wait_limit_compute_(relay, max_wait_ms)) {
		cb_relay_give_up(relay, reason, retry_after_ms);
		return;
	}
	relay->is_waiting = TRUE;
	g_queue_push_tail(&front->waiting, relay);
	if (!cb_timer_is_armed(front->wait_timer))
		cb_timer_start(front->wait_timer, WAIT_RETRY_INTERVAL_MS);
}

/* Chooses the servers of the next attempt. */
static cb_book_outcome_t servers_choose_(cb_relay_t *relay)
{
	cb_server_book_t *book = relay->front->book;
	const cb_book_criteria_t criteria = {
		.service = relay->service,
		.tokens = relay->expected_tokens,
		.excluded_servers = relay->tried_servers,
		.runs_once = !cb_relay_is_repeatable(relay)
	};
	cb_book_outcome_t outcome =
		cb_server_book_choose(book, &criteria, relay->hops);

	if (outcome != CB_BOOK_FOUND &&
	    g_hash_table_size(relay->tried_servers)) {
		/* If no other server is left, those that failed are retried. */
		g_hash_table_remove_all(relay->tried_servers);
		cb_relay_standby_add_servers(relay, relay->tried_servers);
		outcome = cb_server_book_choose(book, &criteria, relay->hops);
	}
	return outcome;
}

/*
 * Returns the time after which the caller of a request that no server takes may
 * come back: to this or another instance, if servers limit their rates.  Then the
 * times are spread, as the callers of many requests may wait for the same server.
 */
static int64_t comeback_compute_ms_(const cb_front_t *front,
				    const cb_book_wait_t *wait)
{
	int64_t base_ms;

	if (!wait->is_limited)
		return wait->wait_ms;
	base_ms = MIN(wait->wait_ms, LIMITED_RETRY_AFTER_MAX_MS);
	return base_ms / 2 +
	       g_rand_int_range(front->random, 0, (int32_t)base_ms + 1);
}

/*
 * Gives up a request that no server takes for longer than it may wait; its caller
 * gets the time after which one may.
 */
static gboolean turned_away_give_up_(cb_relay_t *relay, int64_t max_wait_ms)
{
	cb_book_wait_t wait =
		cb_server_book_find_wait(relay->front->book, relay->service);

	if (wait.wait_ms <= wait_limit_compute_(relay, max_wait_ms))
		return FALSE;
	cb_relay_give_up(relay, wait.is_limited ? "limited" : "turned_away",
			 comeback_compute_ms_(relay->front, &wait));
	return TRUE;
}

/*
 * Does what follows if this instance's way to all servers of the service is lost:
 * the request is forwarded or refused, or waits while that is being checked and an
 * attempt has failed already.  Returns FALSE if it is to be sent to a server.
 */
static gboolean lost_way_handle_(cb_relay_t *relay)
{
	cb_reach_state_t way =
		cb_relay_reach_find(relay->front, relay->service);

	switch (way) {
	case CB_REACH_SILENT:
	case CB_REACH_LOST:
		return cb_relay_forward_send(relay, way);
	case CB_REACH_CHECKING:
		if (!relay->send_count)
			return FALSE;
		cb_relay_queue(relay, "no_server", SERVER_WAIT_MAX_MS,
			       NO_SERVER_RETRY_AFTER_MS);
		return TRUE;
	default:
		return FALSE;
	}
}

/*
 * Forwards a request, or refuses it, that needs a new connection to its server
 * while these fail.  Returns FALSE if it is to be sent to the server.
 */
static gboolean lost_connections_handle_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	GArray *hops = relay->hops;

	if (cb_relay_reach_find(front, relay->service) != CB_REACH_NEW_LOST ||
	    cb_http1_client_has_idle(
		    front->client,
		    g_array_index(hops, cb_relay_hop_t, 0).address,
		    cb_relay_connection_idle_max_ms(relay),
		    relay->used_connections))
		return FALSE;
	relay->hops = cb_relay_hops_new();
	if (cb_relay_forward_send(relay, CB_REACH_NEW_LOST)) {
		g_array_unref(hops);
		return TRUE;
	}
	g_array_unref(relay->hops);
	relay->hops = hops;
	return FALSE;
}

/*
 * Forwards a request that no server takes, if this instance alone may hold servers
 * for lost.  Returns FALSE if it is to wait here.
 */
static gboolean lost_servers_handle_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;

	return cb_reach_is_impaired(front->reach) &&
	       cb_server_book_count(front->book, relay->service).distrusted &&
	       cb_relay_forward_send(relay, CB_REACH_OPEN);
}

/*
 * Returns whether this instance may stop before the request has ended, which has
 * not been started at any server.  Its caller loses less time by using another
 * instance, and learns that it has not run.  At first a request is started if
 * others of its route end in the time left; later it must be limited to that time,
 * and streams take longer than the rest of a drain, whatever their callers allow.
 */
static gboolean start_is_too_late_(const cb_relay_t *relay)
{
	const cb_front_t *front = relay->front;
	int64_t now_ms = cb_relay_now_ms(relay);
	int64_t end_ms = relay->deadline_ms;

	if (!front->drain_since_ms || relay->run_count ||
	    relay->is_answer_begun)
		return FALSE;
	if (now_ms - front->drain_since_ms < DRAIN_START_MAX_MS)
		end_ms = MIN(end_ms, now_ms + cb_route_times_expect_ms(
						      front->route_times,
						      relay->route->name));
	else if (relay->route->kind == CB_ROUTE_STREAM)
		return TRUE;
	return end_ms >= front->drain_since_ms + front->grace_ms;
}

/* Chooses servers and sends the request, queues it or gives it up. */
void cb_relay_attempt_start(cb_relay_t *relay)
{
	int64_t max_wait_ms = relay->is_answer_begun ?
				      CB_RELAY_RESUME_WAIT_MAX_MS :
				      CAPACITY_WAIT_MAX_MS;

	if (start_is_too_late_(relay)) {
		cb_relay_give_up(relay, "stopping", STOPPING_RETRY_AFTER_MS);
		return;
	}
	if (cb_relay_content_refuse(relay) || lost_way_handle_(relay) ||
	    cb_relay_room_refuse(relay))
		return;
	if (cb_relay_now_ms(relay) < relay->next_send_ms) {
		cb_relay_queue(relay, "no_room", max_wait_ms,
			       CB_RELAY_RETRY_AFTER_MS);
		return;
	}
	switch (servers_choose_(relay)) {
	case CB_BOOK_FOUND:
		if (lost_connections_handle_(relay))
			return;
		break;
	case CB_BOOK_NO_SERVER:
		if (turned_away_give_up_(relay, max_wait_ms) ||
		    lost_servers_handle_(relay))
			return;
		cb_relay_queue(relay, "no_server",
			       MAX(max_wait_ms, SERVER_WAIT_MAX_MS),
			       NO_SERVER_RETRY_AFTER_MS);
		return;
	case CB_BOOK_NO_ROOM:
		if (turned_away_give_up_(relay, max_wait_ms))
			return;
		cb_relay_queue(relay, "no_room", max_wait_ms,
			       CB_RELAY_RETRY_AFTER_MS);
		return;
	}
	if (relay->is_next_send_retry &&
	    !cb_retry_share_take_retry(relay->front->retries,
				       relay->service->name)) {
		g_array_set_size(relay->hops, 0);
		cb_relay_queue(relay, "no_retry_left", max_wait_ms,
			       CB_RELAY_RETRY_AFTER_MS);
		return;
	}
	relay->is_next_send_retry = FALSE;
	relay->wait_since_ms = 0;
	cb_relay_attempt_send(relay);
}

/* Called when the caller has disconnected: cancels the request. */
static void caller_disconnect_handle_(void *user_data)
{
	cb_relay_content_left(user_data);
	cb_relay_record_end(user_data, 0, "caller_gone");
	cb_relay_free(user_data);
}

/* Returns the status that refuses a request, or 0 if it is accepted. */
static uint32_t refusal_find_(const cb_front_t *front, const cb_route_t *route,
			      const cb_relay_request_info_t *request_info,
			      const char **reason)
{
	if (!route) {
		*reason = "no_route";
		return 404;
	}
	if (!front->document->has_workspaces || route->is_public)
		return 0;
	if (request_info->key &&
	    cb_document_workspace(front->document, request_info->key))
		return 0;
	*reason = "unknown_key";
	return 401;
}

static cb_relay_t *relay_new_(cb_front_t *front, cb_http1_exchange_t *exchange)
{
	cb_relay_t *relay = g_new0(cb_relay_t, 1);

	relay->front = front;
	relay->exchange = exchange;
	front->dialect->vtable->read_request_info(front->dialect,
						  cb_http1_exchange_head(
							  exchange),
						  &relay->request_info);
	cb_relay_content_init(relay);
	relay->last_event = relay->request_info.last_event;
	relay->first_event_ms = -1;
	relay->deadline_ms = cb_http1_exchange_arrived_ms(exchange) +
			     (relay->request_info.budget_ms > 0 ?
				      relay->request_info.budget_ms :
				      DEFAULT_BUDGET_MS);
	relay->deadline_timer =
		cb_timer_new(front->clock, deadline_timer_fired_, relay);
	relay->silence_timer =
		cb_timer_new(front->clock, cb_relay_silence_timer_fired, relay);
	relay->hops = cb_relay_hops_new();
	relay->buffered_body = g_byte_array_new();
	relay->tried_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	relay->used_connections = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return relay;
}

/*
 * Sets the request's route, workspace, service and deadline.  Returns FALSE if
 * the request was refused, and freed.
 */
static gboolean request_route_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	cb_http1_exchange_t *exchange = relay->exchange;
	const cb_http1_head_t *head = cb_http1_exchange_head(exchange);
	const cb_route_t *route =
		cb_document_route(front->document,
				  cb_http1_head_find(head, "Host"),
				  head->target);
	const char *reason = NULL;
	uint32_t status =
		refusal_find_(front, route, &relay->request_info, &reason);

	if (relay->forwarded_version > front->document->version) {
		status = 503;
		reason = "older_document";
	}
	if (status) {
		request_refuse_(relay, status, reason);
		return FALSE;
	}
	relay->document = cb_document_ref(front->document);
	relay->route = route;
	if (relay->request_info.key)
		relay->workspace =
			cb_document_workspace(front->document,
					      relay->request_info.key);
	relay->rank =
		cb_document_rank(front->document, route, relay->workspace);
	relay->service =
		cb_document_service(front->document,
				    cb_route_pick(route,
						  g_rand_int(front->random)));
	relay->deadline_ms =
		MIN(relay->deadline_ms,
		    cb_http1_exchange_arrived_ms(exchange) + route->timeout_ms);
	relay->expected_tokens = cb_relay_estimate_tokens(relay);
	/* The instance that forwarded a request has counted it. */
	if (!relay->forwarded_from)
		cb_retry_share_count_request(front->retries,
					     relay->service->name);
	cb_timer_start(relay->deadline_timer,
		       MAX(relay->deadline_ms - cb_relay_now_ms(relay), 0));
	return TRUE;
}

/* Routes a request if that is not done, and starts its next attempt. */
static void request_advance_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;

	if (!relay->route && !cb_front_has_current_document(front)) {
		if (relay->forwarded_from)
			request_refuse_(relay, 503, "not_configured");
		else
			cb_relay_queue(relay, "not_configured",
				       SERVER_WAIT_MAX_MS,
				       NO_SERVER_RETRY_AFTER_MS);
	} else if (relay->route || request_route_(relay)) {
		cb_relay_attempt_start(relay);
	}
}

/* Orders requests by priority, the most urgent first, then by deadline. */
static int urgency_compare_(const void *a, const void *b, void *user_data)
{
	const cb_relay_t *left = a;
	const cb_relay_t *right = b;

	(void)user_data;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return left->deadline_ms < right->deadline_ms ?
		       -1 :
		       left->deadline_ms > right->deadline_ms;
}

/* Tries each waiting request once, in the order of urgency_compare_(). */
void cb_relay_retry_waiting(void *user_data)
{
	cb_front_t *front = user_data;
	unsigned int remaining = front->waiting.length;

	g_queue_sort(&front->waiting, urgency_compare_, NULL);
	while (remaining-- && front->waiting.length) {
		cb_relay_t *relay = g_queue_pop_head(&front->waiting);

		relay->is_waiting = FALSE;
		request_advance_(relay);
	}
}

/*
 * Takes a request that another instance has forwarded; FALSE: it was refused, and
 * freed.
 */
static gboolean forwarded_accept_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;

	if (!cb_relay_forward_read(relay)) {
		cb_http1_exchange_reply(relay->exchange, 400, NULL, NULL, 0);
		cb_relay_free(relay);
		return FALSE;
	}
	if (front->forwarded_count >= FORWARDED_MAX) {
		request_refuse_(relay, 503, "too_many_forwarded");
		return FALSE;
	}
	relay->is_counted_as_forwarded = TRUE;
	front->forwarded_count++;
	cb_log_event(front->log, CB_EVENT_RELAY_FORWARD_TAKEN,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("from", relay->forwarded_from),
		     CB_INT("runs", relay->run_count));
	cb_relay_count_reason(front, "cb_relay_forwarded_total", "taken");
	return TRUE;
}

/* Starts to relay a request, or refuses it. */
void cb_relay_start(cb_front_t *front, cb_http1_exchange_t *exchange,
		    gboolean is_forwarded)
{
	cb_relay_t *relay = relay_new_(front, exchange);

	cb_relay_memory_init(relay);
	g_hash_table_add(front->relays, relay);
	cb_http1_exchange_set_disconnect_fn(exchange, caller_disconnect_handle_,
					    relay);
	if (!is_forwarded || forwarded_accept_(relay))
		request_advance_(relay);
}
