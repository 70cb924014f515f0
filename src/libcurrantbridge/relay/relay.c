#include "private/relay.h"

#include <string.h>

/* When callers refused for these reasons are asked to come back. */
#define RETRY_NO_SERVER_MS 1000
#define RETRY_STOPPING_MS 100
/* Streams take some 3 to 5 s, of the 8 s that a stop may last. */
#define STOPPING_STREAMS_MS 2500
/*
 * Waiting for what may come soon: a start of the system, layers that are being
 * loaded, room that ends of streams give back.  The callers' answer would be
 * late by as much, or they come back later than that.
 */
#define WAIT_SERVER_MS 1000
#define WAIT_ROOM_MS 250
#define WAIT_MIDWAY_MS 1200
#define WAIT_STEP_MS 10
/* No request waits for more than this part of its time. */
#define WAIT_SHARE 4
/* The time of a request that does not say how long its caller waits. */
#define BUDGET_DEFAULT_MS 30000

/* The time of the clock that the request runs by. */
int64_t cb_relay_now_ms(const cb_relay_t *relay)
{
	return cb_clock_now_ms(relay->front->clock);
}

/* How long ago the request came. */
int64_t cb_relay_elapsed_ms(const cb_relay_t *relay)
{
	return cb_relay_now_ms(relay) -
	       cb_http1_exchange_arrived_ms(relay->exchange);
}

/* Whether the request may run more than once. */
gboolean cb_relay_is_repeatable(const cb_relay_t *relay)
{
	return relay->route->kind == CB_ROUTE_IDEMPOTENT ||
	       (relay->route->kind == CB_ROUTE_STREAM &&
		relay->route->is_resumable);
}

/* Counts something by its reason. */
void cb_relay_count(cb_front_t *front, const char *name, const char *reason)
{
	cb_counter_add(cb_counters_counter(front->counters, name, "reason",
					   reason),
		       1);
}

/* Lets go of the attempt under way, which ends at its server. */
void cb_relay_drop_attempt(cb_relay_t *relay)
{
	cb_timer_stop(relay->silence_timer);
	if (relay->is_asking)
		relay->front->orders->vtable->forget(relay->front->orders,
						     relay);
	relay->is_asking = FALSE;
	if (relay->call)
		cb_http1_call_cancel(g_steal_pointer(&relay->call));
	if (relay->hops->len) {
		cb_server_book_end_request(relay->front->book, relay->hops,
					   relay->tokens);
		g_array_set_size(relay->hops, 0);
	}
	cb_event_splitter_clear(&relay->splitter);
	g_byte_array_set_size(relay->held, 0);
}

/* Frees a request's state; its exchange has ended or is about to. */
void cb_relay_delete(void *data)
{
	cb_relay_t *relay = data;

	cb_relay_drop_attempt(relay);
	if (relay->is_waiting)
		g_queue_remove(&relay->front->waiting, relay);
	cb_timer_delete(relay->deadline_timer);
	cb_timer_delete(relay->silence_timer);
	g_array_unref(relay->hops);
	g_hash_table_unref(relay->tried);
	g_byte_array_unref(relay->held);
	if (relay->answer_headers)
		g_string_free(relay->answer_headers, TRUE);
	cb_document_unref(relay->document);
	g_free(relay->fault);
	g_free(relay);
}

/* Returns the servers on the way with their layers, as text; free it. */
char *cb_relay_way(const cb_relay_t *relay)
{
	GString *way = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < relay->hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(relay->hops, cb_relay_hop_t, i);

		g_string_append_printf(way, "%s%s", i ? " " : "", hop->address);
		if (hop->to)
			g_string_append_printf(way, "=%u-%u", hop->from,
					       hop->to);
	}
	return g_string_free(way, FALSE);
}

/* Records how a request ends, while its exchange is still there. */
void cb_relay_note_end(const cb_relay_t *relay, uint32_t status,
		       const char *reason)
{
	cb_front_t *front = relay->front;
	gboolean is_served = status >= 200 && status < 300;
	int64_t elapsed_ms = cb_relay_elapsed_ms(relay);
	char *way = cb_relay_way(relay);

	cb_log_event(front->log,
		     is_served ? CB_EVENT_RELAY_SERVED : CB_EVENT_RELAY_ENDED,
		     CB_STR("request", relay->ask.id),
		     CB_STR("route", relay->route ? relay->route->name : NULL),
		     CB_STR("target",
			    cb_http1_exchange_head(relay->exchange)->target),
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("attempts", relay->sends), CB_STR("way", way),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("version",
			    relay->document ? relay->document->version : 0),
		     CB_INT("elapsed_ms", elapsed_ms));
	cb_relay_count(front, "cb_relay_ended_total", reason);
	cb_histogram_add(is_served ? front->served_ms : front->failed_ms,
			 elapsed_ms);
	g_free(way);
}

void cb_relay_free(cb_relay_t *relay)
{
	g_hash_table_remove(relay->front->relays, relay);
}

/* Sends an answer of this instance's own. */
static void own_reply_(cb_http1_exchange_t *exchange, uint32_t status,
		       const char *reason, const char *executed,
		       int64_t retry_after_ms)
{
	char *body = g_strdup_printf(
		"{\"error\":{\"reason\":\"%s\",\"executed\":\"%s\"}}", reason,
		executed);
	GString *headers = g_string_new("Content-Type: application/json\r\n");

	if (retry_after_ms)
		g_string_append_printf(headers, "Retry-After: %d.%03d\r\n",
				       (int)(retry_after_ms / 1000),
				       (int)(retry_after_ms % 1000));
	cb_http1_exchange_reply(exchange, status, headers->str, body,
				strlen(body));
	g_string_free(headers, TRUE);
	g_free(body);
}

/* Refuses a request that no server was asked for. */
static void refuse_(cb_front_t *front, cb_http1_exchange_t *exchange,
		    const char *id, uint32_t status, const char *reason,
		    int64_t retry_after_ms)
{
	cb_log_event(front->log, CB_EVENT_RELAY_REFUSED, CB_STR("request", id),
		     CB_STR("target", cb_http1_exchange_head(exchange)->target),
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("retry_after_ms", retry_after_ms),
		     CB_INT("version",
			    front->document ? front->document->version : 0));
	cb_relay_count(front, "cb_relay_refused_total", reason);
	own_reply_(exchange, status, reason, "no", retry_after_ms);
}

/*
 * Gives a request up: at once, with what is known of its execution.  Where it
 * surely did not run, the caller is told when to come back.
 */
void cb_relay_give_up(cb_relay_t *relay, const char *reason,
		      int64_t retry_after_ms)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	gboolean has_run = relay->runs > 0;
	uint32_t status = has_run ? 502 : 503;

	cb_relay_drop_attempt(relay);
	if (has_run && cb_relay_now_ms(relay) >= relay->deadline_ms)
		status = 504;
	cb_relay_note_end(relay, status, reason);
	if (relay->is_begun)
		cb_http1_exchange_abort(exchange);
	else
		own_reply_(exchange, status, reason, has_run ? "unknown" : "no",
			   has_run ? 0 : retry_after_ms);
	cb_relay_free(relay);
}

static void deadline_fired_(void *user_data)
{
	cb_relay_t *relay = user_data;

	/* What is under way may have run. */
	if (relay->call)
		relay->runs++;
	cb_relay_give_up(relay, "deadline", CB_RELAY_RETRY_MS);
}

/* How long a request may wait for what it lacks. */
static int64_t wait_most_ms_(const cb_relay_t *relay, int64_t bound_ms)
{
	int64_t whole_ms = relay->deadline_ms -
			   cb_http1_exchange_arrived_ms(relay->exchange);

	return MIN(bound_ms, whole_ms / WAIT_SHARE);
}

/*
 * Lets a request wait for what it lacks, for a short while: then it is given
 * up, so that its caller can come back in time.
 */
static void wait_(cb_relay_t *relay, const char *reason, int64_t bound_ms,
		  int64_t retry_after_ms)
{
	cb_front_t *front = relay->front;
	int64_t now_ms = cb_relay_now_ms(relay);

	if (!relay->wait_since_ms)
		relay->wait_since_ms = now_ms;
	if (now_ms - relay->wait_since_ms >= wait_most_ms_(relay, bound_ms)) {
		cb_relay_give_up(relay, reason, retry_after_ms);
		return;
	}
	relay->is_waiting = TRUE;
	g_queue_push_tail(&front->waiting, relay);
	if (!cb_timer_is_armed(front->wait_timer))
		cb_timer_start(front->wait_timer, WAIT_STEP_MS);
}

/* Chooses servers for the next attempt. */
static cb_book_outcome_t servers_choose_(cb_relay_t *relay)
{
	cb_server_book_t *book = relay->front->book;
	const cb_book_criteria_t criteria = { .service = relay->service,
					      .tokens = relay->tokens,
					      .excluded_servers =
						      relay->tried };
	cb_book_outcome_t outcome =
		cb_server_book_choose(book, &criteria, relay->hops);

	if (outcome != CB_BOOK_FOUND && g_hash_table_size(relay->tried)) {
		/* One that failed before may do better than none. */
		g_hash_table_remove_all(relay->tried);
		outcome = cb_server_book_choose(book, &criteria, relay->hops);
	}
	return outcome;
}

/* Chooses servers and sends, or waits, or gives up. */
void cb_relay_attempt_start(cb_relay_t *relay)
{
	int64_t bound_ms = relay->is_begun ? WAIT_MIDWAY_MS : WAIT_ROOM_MS;

	switch (servers_choose_(relay)) {
	case CB_BOOK_FOUND:
		break;
	case CB_BOOK_NO_SERVER:
		wait_(relay, "no_server", MAX(bound_ms, WAIT_SERVER_MS),
		      RETRY_NO_SERVER_MS);
		return;
	case CB_BOOK_NO_ROOM:
		wait_(relay, "no_room", bound_ms, CB_RELAY_RETRY_MS);
		return;
	}
	if (relay->is_retry &&
	    !cb_retry_share_take_retry(relay->front->retries,
				       relay->service->name)) {
		g_array_set_size(relay->hops, 0);
		wait_(relay, "no_retry_left", bound_ms, CB_RELAY_RETRY_MS);
		return;
	}
	relay->is_retry = FALSE;
	relay->wait_since_ms = 0;
	cb_relay_attempt_send(relay);
}

/* The caller has closed: its request ends at the server too. */
static void caller_gone_(void *user_data)
{
	cb_relay_note_end(user_data, 0, "caller_gone");
	cb_relay_free(user_data);
}

/* Returns the status that refuses a request, or 0 if it may go on. */
static uint32_t refusal_find_(const cb_front_t *front, const cb_route_t *route,
			      const cb_relay_ask_t *ask, const char **reason)
{
	if (!route) {
		*reason = "no_route";
		return 404;
	}
	if (!front->document->has_workspaces || route->is_public)
		return 0;
	if (ask->key && cb_document_workspace(front->document, ask->key))
		return 0;
	*reason = "unknown_key";
	return 401;
}

static cb_relay_t *relay_new_(cb_front_t *front, cb_http1_exchange_t *exchange)
{
	cb_relay_t *relay = g_new0(cb_relay_t, 1);

	relay->front = front;
	relay->exchange = exchange;
	front->dialect->vtable->read_ask(front->dialect,
					 cb_http1_exchange_head(exchange),
					 &relay->ask);
	relay->last_event = relay->ask.last_event;
	relay->deadline_ms = cb_http1_exchange_arrived_ms(exchange) +
			     (relay->ask.budget_ms > 0 ? relay->ask.budget_ms :
							 BUDGET_DEFAULT_MS);
	relay->deadline_timer =
		cb_timer_new(front->clock, deadline_fired_, relay);
	relay->silence_timer =
		cb_timer_new(front->clock, cb_relay_silence_fired, relay);
	relay->hops = cb_relay_hops_new();
	relay->held = g_byte_array_new();
	relay->tried =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return relay;
}

/*
 * Whether a stream would most likely outlast this instance, which stops: its
 * caller has other addresses by now, and loses less time by using one.
 */
static gboolean is_too_late_(const cb_front_t *front, const cb_route_t *route)
{
	return front->drain_since_ms && route->kind == CB_ROUTE_STREAM &&
	       cb_clock_now_ms(front->clock) - front->drain_since_ms >=
		       STOPPING_STREAMS_MS;
}

/* Finds the request's route and workspace; FALSE when it was refused. */
static gboolean route_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	cb_http1_exchange_t *exchange = relay->exchange;
	const cb_http1_head_t *head = cb_http1_exchange_head(exchange);
	const cb_route_t *route =
		cb_document_route(front->document,
				  cb_http1_head_find(head, "Host"),
				  head->target);
	const char *reason = NULL;
	uint32_t status = refusal_find_(front, route, &relay->ask, &reason);
	int64_t retry_after_ms = 0;

	if (!status && is_too_late_(front, route)) {
		status = 503;
		reason = "stopping";
		retry_after_ms = RETRY_STOPPING_MS;
	}
	if (status) {
		refuse_(front, exchange, relay->ask.id, status, reason,
			retry_after_ms);
		cb_relay_free(relay);
		return FALSE;
	}
	relay->document = cb_document_ref(front->document);
	relay->route = route;
	if (relay->ask.key)
		relay->workspace =
			cb_document_workspace(front->document, relay->ask.key);
	relay->service =
		cb_document_service(front->document,
				    cb_route_pick(route,
						  g_rand_int(front->random)));
	relay->deadline_ms =
		MIN(relay->deadline_ms,
		    cb_http1_exchange_arrived_ms(exchange) + route->timeout_ms);
	relay->tokens = cb_relay_tokens(relay);
	cb_retry_share_count_request(front->retries, relay->service->name);
	cb_timer_start(relay->deadline_timer,
		       MAX(relay->deadline_ms - cb_relay_now_ms(relay), 0));
	return TRUE;
}

/* Goes on with a request that is not sent yet. */
static void relay_step_(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;

	if (!relay->route && (!front->document ||
			      !cb_control_client_is_confirmed(front->control)))
		wait_(relay, "not_configured", WAIT_SERVER_MS,
		      RETRY_NO_SERVER_MS);
	else if (relay->route || route_(relay))
		cb_relay_attempt_start(relay);
}

/* The most urgent first, and within that the one that came first. */
static int urgency_compare_(const void *a, const void *b, void *user_data)
{
	const cb_relay_t *left = a;
	const cb_relay_t *right = b;
	uint32_t left_rank = left->route ? left->route->priority : 0;
	uint32_t right_rank = right->route ? right->route->priority : 0;

	(void)user_data;
	if (left_rank != right_rank)
		return left_rank < right_rank ? -1 : 1;
	return left->deadline_ms < right->deadline_ms ?
		       -1 :
		       left->deadline_ms > right->deadline_ms;
}

void cb_relay_retry_waiting(void *user_data)
{
	cb_front_t *front = user_data;
	unsigned int left = front->waiting.length;

	g_queue_sort(&front->waiting, urgency_compare_, NULL);
	while (left-- && front->waiting.length) {
		cb_relay_t *relay = g_queue_pop_head(&front->waiting);

		relay->is_waiting = FALSE;
		relay_step_(relay);
	}
}

/* Serves a request from a caller, or refuses it. */
void cb_relay_start(cb_front_t *front, cb_http1_exchange_t *exchange)
{
	cb_relay_t *relay = relay_new_(front, exchange);

	g_hash_table_add(front->relays, relay);
	cb_http1_exchange_own(exchange, caller_gone_, relay);
	relay_step_(relay);
}
