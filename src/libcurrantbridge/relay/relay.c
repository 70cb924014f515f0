#include <string.h>

#include "private/event_splitter.h"
#include "private/front.h"

/*
 * One relayed request, from its arrival to the end of its answer.  See
 * docs/REQUESTS.md, "Relayed requests", for its states and outcomes.
 */

/* A kept connection idle for longer may be closing as the request leaves. */
#define IDLE_ONCE_MAX_MS 1000
#define IDLE_MAX_MS 4000
/* Sends beyond the route's attempts, for those that surely did not run. */
#define UNRUN_SENDS_MAX 4
/*
 * A stream counts as silent after so much of the longest pause it may make,
 * or when its first event is due.
 */
#define SILENT_GAPS_PERCENT 150
#define SILENT_DEFAULT_MS 1500
/* How long a server may take to say why a stream is silent. */
#define ASK_TIMEOUT_MS 300
/* A server that turns a request away by itself does so within this. */
#define TURNED_AWAY_MS 500
/* Ways that a stream is sent before it is begun anew elsewhere. */
#define REROUTES_MAX 4
/* Nothing is sent with less than this left: no answer could come in time. */
#define LEFT_MIN_MS 5
/* When callers refused for these reasons are asked to come back. */
#define RETRY_NO_SERVER_MS 1000
#define RETRY_NO_ROOM_MS 500
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
/* Whole answers up to this are held until they are known to be complete. */
#define HELD_MAX_BYTES (1024 * 1024)

typedef struct relay {
	cb_front_t *front;
	cb_http1_exchange_t *exchange;
	cb_document_t *document;
	const cb_route_t *route;
	const char *workspace;
	const cb_service_profile_t *service;
	cb_relay_ask_t ask;
	int64_t deadline_ms;
	gboolean is_waiting;   /* in the front's queue */
	int64_t wait_since_ms; /* 0: it did not wait for this attempt */
	cb_timer_t *deadline_timer;
	cb_timer_t *silence_timer;
	/* The attempt under way. */
	cb_http1_call_t *call;
	GArray *hops;
	double tokens;
	GHashTable *tried;
	unsigned int sends;
	int64_t sent_ms; /* the attempt under way */
	unsigned int reroutes;
	gboolean is_asking; /* a server about the stream's silence */
	unsigned int runs;  /* attempts that ran, or may have */
	uint32_t status;
	gboolean is_events;
	gboolean has_not_run;
	char *fault; /* the server that the answer blames; NULL: none */
	GString *answer_headers;
	GByteArray *held;
	cb_event_splitter_t splitter;
	/* The answer to the caller. */
	gboolean is_begun;
	gboolean is_passing; /* it is no stream, and too large to be held */
	gboolean is_resumed;
	gboolean is_retry; /* the next send is one more of the same request */
	int64_t last_event;
} relay_t;

static void attempt_start_(relay_t *relay);

static int64_t now_ms_(const relay_t *relay)
{
	return cb_clock_now_ms(relay->front->clock);
}

/* Whether the request may run more than once. */
static gboolean is_repeatable_(const relay_t *relay)
{
	return relay->route->kind == CB_ROUTE_IDEMPOTENT ||
	       (relay->route->kind == CB_ROUTE_STREAM &&
		relay->route->is_resumable);
}

static void count_(cb_front_t *front, const char *name, const char *reason)
{
	cb_counter_add(cb_counters_counter(front->counters, name, "reason",
					   reason),
		       1);
}

/* Lets go of the attempt under way, which ends at its server. */
static void attempt_drop_(relay_t *relay)
{
	cb_timer_stop(relay->silence_timer);
	if (relay->is_asking)
		relay->front->orders->vtable->forget(relay->front->orders,
						     relay);
	relay->is_asking = FALSE;
	if (relay->call)
		cb_http1_call_cancel(g_steal_pointer(&relay->call));
	if (relay->hops->len) {
		cb_server_book_end(relay->front->book, relay->hops,
				   relay->tokens);
		g_array_set_size(relay->hops, 0);
	}
	cb_event_splitter_clear(&relay->splitter);
	g_byte_array_set_size(relay->held, 0);
}

/* Frees a request's state; its exchange has ended or is about to. */
void cb_relay_delete(void *data)
{
	relay_t *relay = data;

	attempt_drop_(relay);
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

/* Records how a request ends, while its exchange is still there. */
static void end_note_(const relay_t *relay, uint32_t status, const char *reason)
{
	cb_front_t *front = relay->front;

	cb_log_event(front->log, CB_EVENT_RELAY_ENDED,
		     CB_STR("request", relay->ask.id),
		     CB_STR("route", relay->route ? relay->route->name : NULL),
		     CB_STR("target",
			    cb_http1_exchange_head(relay->exchange)->target),
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("attempts", relay->sends),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("elapsed_ms",
			    now_ms_(relay) - cb_http1_exchange_arrived_ms(
						     relay->exchange)));
	count_(front, "cb_relay_ended_total", reason);
}

static void relay_free_(relay_t *relay)
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
		     CB_INT("status", status), CB_STR("reason", reason),
		     CB_INT("retry_after_ms", retry_after_ms),
		     CB_INT("version",
			    front->document ? front->document->version : 0));
	count_(front, "cb_relay_refused_total", reason);
	own_reply_(exchange, status, reason, "no", retry_after_ms);
}

/*
 * Gives a request up: at once, with what is known of its execution.  Where it
 * surely did not run, the caller is told when to come back.
 */
static void give_up_(relay_t *relay, const char *reason, int64_t retry_after_ms)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	gboolean has_run = relay->runs > 0;
	uint32_t status = has_run ? 502 : 503;

	attempt_drop_(relay);
	if (has_run && now_ms_(relay) >= relay->deadline_ms)
		status = 504;
	end_note_(relay, status, reason);
	if (relay->is_begun)
		cb_http1_exchange_abort(exchange);
	else
		own_reply_(exchange, status, reason, has_run ? "unknown" : "no",
			   has_run ? 0 : retry_after_ms);
	relay_free_(relay);
}

static void deadline_fired_(void *user_data)
{
	relay_t *relay = user_data;

	/* What is under way may have run. */
	if (relay->call)
		relay->runs++;
	give_up_(relay, "deadline", RETRY_NO_ROOM_MS);
}

/* How long a stream may be silent before it is looked for elsewhere. */
static int64_t silence_ms_(const relay_t *relay)
{
	const cb_route_t *route = relay->route;

	if (!route->gap_ms)
		return SILENT_DEFAULT_MS;
	return relay->is_begun ? route->gap_ms * SILENT_GAPS_PERCENT / 100 :
				 route->target_ms;
}

static void silence_watch_(relay_t *relay)
{
	if (relay->is_asking)
		return;
	if (relay->route->kind == CB_ROUTE_STREAM && is_repeatable_(relay))
		cb_timer_start(relay->silence_timer, silence_ms_(relay));
}

/* Marks the server at fault, where that is known. */
static void blame_(relay_t *relay, const char *address)
{
	unsigned int i;

	for (i = 0; i < relay->hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(relay->hops, cb_relay_hop_t, i);

		if (address ? strcmp(hop->address, address) != 0 : i > 0)
			continue;
		g_hash_table_add(relay->tried, g_strdup(hop->id));
		cb_server_book_failed(relay->front->book, hop->id);
	}
}

/*
 * Notes a request that was turned away: a server without room is asked again
 * soon, one that answered late was waited for by another and is down.
 */
static void turned_away_(relay_t *relay)
{
	const char *address =
		relay->fault ?
			relay->fault :
			g_array_index(relay->hops, cb_relay_hop_t, 0).address;

	if (now_ms_(relay) - relay->sent_ms < TURNED_AWAY_MS)
		cb_server_book_full(relay->front->book, address);
	else
		(void)cb_server_book_failed_at(relay->front->book, address,
					       relay->tried);
}

/* Whether another attempt may follow the one that failed. */
static gboolean may_retry_(relay_t *relay)
{
	if (relay->runs && !is_repeatable_(relay))
		return FALSE;
	if (relay->runs >= relay->route->max_attempts ||
	    relay->sends >= relay->route->max_attempts + UNRUN_SENDS_MAX)
		return FALSE;
	return relay->deadline_ms - now_ms_(relay) >= LEFT_MIN_MS;
}

/*
 * An attempt has failed.  `has_run` tells whether it ran or may have; the
 * server at `fault` is at fault, NULL: the first one on the way.
 */
static void attempt_failed_(relay_t *relay, const char *result,
			    gboolean has_run, const char *fault)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	cb_log_event(relay->front->log, CB_EVENT_RELAY_ATTEMPT_FAILED,
		     CB_STR("request", relay->ask.id), CB_STR("result", result),
		     CB_STR("server", first->id),
		     CB_STR("address", first->address), CB_STR("fault", fault),
		     CB_INT("status", relay->status),
		     CB_INT("has_run", has_run),
		     CB_INT("last_event", relay->last_event));
	count_(relay->front, "cb_relay_attempts_failed_total", result);
	relay->runs += has_run != 0;
	if (has_run || !relay->has_not_run)
		blame_(relay, fault);
	attempt_drop_(relay);
	if (!may_retry_(relay)) {
		give_up_(relay, result, RETRY_NO_ROOM_MS);
		return;
	}
	relay->is_retry = TRUE;
	if (relay->is_begun) {
		relay->is_resumed = TRUE;
		cb_log_event(relay->front->log, CB_EVENT_RELAY_RESUMED,
			     CB_STR("request", relay->ask.id),
			     CB_INT("last_event", relay->last_event));
	}
	attempt_start_(relay);
}

static void reroute_(relay_t *relay);

/* The stream goes on another way, from the same first server. */
static void rerouted_(cb_reroute_outcome_t outcome, const char *address,
		      void *user_data)
{
	relay_t *relay = user_data;
	cb_front_t *front = relay->front;

	relay->is_asking = FALSE;
	if (outcome == CB_REROUTE_BAD_SERVER && address &&
	    cb_server_book_failed_at(front->book, address, relay->tried) &&
	    relay->reroutes < REROUTES_MAX) {
		reroute_(relay);
		return;
	}
	if (outcome != CB_REROUTE_DONE) {
		attempt_failed_(relay, "silent", TRUE, address);
		return;
	}
	cb_log_event(front->log, CB_EVENT_RELAY_REROUTED,
		     CB_STR("request", relay->ask.id),
		     CB_INT("last_event", relay->last_event));
	silence_watch_(relay);
}

/* Asks the first server to send the stream another way. */
static void reroute_(relay_t *relay)
{
	cb_front_t *front = relay->front;
	GArray *hops = cb_relay_hops_new();
	const cb_book_wish_t wish = {
		.service = relay->service,
		.tokens = relay->tokens,
		.tried = relay->tried,
		.first = &g_array_index(relay->hops, cb_relay_hop_t, 0),
		/*
		 * All tokens so far would cross again: a way within another
		 * data centre reads them sooner.
		 */
		.forbids_crossing = TRUE,
	};
	cb_book_outcome_t outcome;

	relay->reroutes++;
	cb_server_book_end(front->book, relay->hops, relay->tokens);
	outcome = cb_server_book_choose(front->book, &wish, hops);
	if (outcome != CB_BOOK_FOUND) {
		cb_server_book_begin(front->book, relay->hops, relay->tokens);
		g_array_unref(hops);
		attempt_failed_(relay, "silent", TRUE, NULL);
		return;
	}
	g_array_unref(relay->hops);
	relay->hops = hops;
	cb_server_book_begin(front->book, relay->hops, relay->tokens);
	relay->is_asking = TRUE;
	cb_timer_start(relay->silence_timer, ASK_TIMEOUT_MS);
	front->orders->vtable->reroute(
		front->orders, g_array_index(hops, cb_relay_hop_t, 0).address,
		relay->ask.id, hops, rerouted_, relay);
}

/* Finds the server that the stream waits for, as the first one reports. */
static const char *stall_find_(const relay_t *relay,
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
	relay_t *relay = user_data;
	const char *address = report ? stall_find_(relay, report) : NULL;
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	relay->is_asking = FALSE;
	if (!report) {
		attempt_failed_(relay, "silent", TRUE, NULL);
		return;
	}
	if (!address) {
		/* It is only slow: another server would have it from the start. */
		silence_watch_(relay);
		return;
	}
	cb_log_event(relay->front->log, CB_EVENT_RELAY_STALLED,
		     CB_STR("request", relay->ask.id),
		     CB_STR("address", address),
		     CB_INT("last_event", relay->last_event));
	if (!strcmp(address, first->address) ||
	    !cb_server_book_failed_at(relay->front->book, address,
				      relay->tried)) {
		attempt_failed_(relay, "silent", TRUE, address);
		return;
	}
	reroute_(relay);
}

/* A stream is silent: the first server on its way is asked why. */
static void silence_fired_(void *user_data)
{
	relay_t *relay = user_data;
	cb_front_t *front = relay->front;

	if (relay->is_asking || !relay->service->engine) {
		attempt_failed_(relay, "silent", TRUE, NULL);
		return;
	}
	relay->is_asking = TRUE;
	cb_timer_start(relay->silence_timer, ASK_TIMEOUT_MS);
	front->orders->vtable->report(
		front->orders,
		g_array_index(relay->hops, cb_relay_hop_t, 0).address,
		reported_, relay);
}

/* Keeps the headers that the caller gets. */
static void headers_keep_(relay_t *relay, const cb_http1_head_t *head)
{
	unsigned int i;

	if (!relay->answer_headers)
		relay->answer_headers = g_string_new(NULL);
	g_string_truncate(relay->answer_headers, 0);
	for (i = 0; i < head->headers->len; i++) {
		const cb_http1_header_t *header =
			&g_array_index(head->headers, cb_http1_header_t, i);

		if (cb_http1_head_is_forwarded(head, header->name))
			g_string_append_printf(relay->answer_headers,
					       "%s: %s\r\n", header->name,
					       header->value);
	}
}

static gboolean head_(void *user_data, const cb_http1_head_t *head)
{
	relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_relay_word_t word = { .running = -1 };

	relay->status = head->status;
	front->dialect->vtable->read_word(front->dialect, head, relay->ask.id,
					  &word);
	if (!word.is_echo)
		return FALSE;
	if (word.running >= 0)
		cb_server_book_load(front->book, first->id, word.running,
				    word.waiting);
	relay->has_not_run = word.has_not_run;
	g_free(relay->fault);
	relay->fault = g_strdup(word.fault_address);
	if (word.has_not_run)
		return TRUE;
	relay->is_events =
		relay->route->kind == CB_ROUTE_STREAM && head->status == 200;
	if (relay->is_events)
		cb_event_splitter_init(&relay->splitter);
	if (!relay->is_begun)
		headers_keep_(relay, head);
	return TRUE;
}

/* Passes one whole event on; those that the caller has are dropped. */
static void event_(void *user_data, int64_t id, const char *data, size_t size)
{
	relay_t *relay = user_data;

	silence_watch_(relay);
	if (id >= 0 && id <= relay->last_event)
		return;
	if (!relay->is_begun) {
		relay->is_begun = TRUE;
		cb_http1_exchange_begin(relay->exchange, relay->status,
					relay->answer_headers->str);
	}
	if (id >= 0)
		relay->last_event = id;
	cb_http1_exchange_write(relay->exchange, data, size);
}

/*
 * Holds an answer back until it is known to be whole; one that is too large
 * for that is passed on as it comes.
 */
static void held_add_(relay_t *relay, const uint8_t *data, size_t size)
{
	if (relay->has_not_run)
		return;
	g_byte_array_append(relay->held, data, (unsigned int)size);
	if (relay->held->len <= HELD_MAX_BYTES || relay->is_resumed)
		return;
	if (!relay->is_begun)
		cb_http1_exchange_begin(relay->exchange, relay->status,
					relay->answer_headers->str);
	relay->is_begun = TRUE;
	relay->is_passing = TRUE;
	cb_http1_exchange_write(relay->exchange, relay->held->data,
				relay->held->len);
	g_byte_array_set_size(relay->held, 0);
}

static void data_(void *user_data, const uint8_t *data, size_t size)
{
	relay_t *relay = user_data;

	if (relay->is_events)
		cb_event_splitter_add(&relay->splitter, data, size, event_,
				      relay);
	else
		held_add_(relay, data, size);
}

/* The stream has ended as complete. */
static void events_done_(relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	GString *rest = relay->splitter.partial;

	if (rest->len && (relay->is_resumed || !relay->is_begun)) {
		attempt_failed_(relay, "truncated", TRUE, NULL);
		return;
	}
	if (!relay->is_begun)
		cb_http1_exchange_begin(exchange, relay->status,
					relay->answer_headers->str);
	cb_http1_exchange_write(exchange, rest->str, rest->len);
	cb_server_book_succeeded(relay->front->book, relay->hops);
	end_note_(relay, relay->status, "complete");
	cb_http1_exchange_end(exchange);
	relay_free_(relay);
}

/* A whole answer is there: it is passed on, or another attempt follows. */
static void answer_done_(relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	uint32_t status = relay->status;

	if (relay->has_not_run) {
		turned_away_(relay);
		attempt_failed_(relay, "not_run", FALSE, relay->fault);
		return;
	}
	if (status >= 500 && is_repeatable_(relay) &&
	    relay->runs + 1 < relay->route->max_attempts) {
		attempt_failed_(relay, "server_error", TRUE, NULL);
		return;
	}
	if (relay->is_passing) {
		cb_http1_exchange_write(exchange, relay->held->data,
					relay->held->len);
		end_note_(relay, status, "complete");
		cb_http1_exchange_end(exchange);
		relay_free_(relay);
		return;
	}
	if (relay->is_begun) {
		/* A resumed stream can't go on with another kind of answer. */
		attempt_failed_(relay, "server_error", TRUE, NULL);
		return;
	}
	if (status < 500)
		cb_server_book_succeeded(relay->front->book, relay->hops);
	end_note_(relay, status, "complete");
	cb_http1_exchange_reply(exchange, status, relay->answer_headers->str,
				relay->held->data, relay->held->len);
	relay_free_(relay);
}

static void done_(void *user_data, cb_http1_result_t result)
{
	relay_t *relay = user_data;

	relay->call = NULL;
	if (result != CB_HTTP1_COMPLETE)
		attempt_failed_(relay, cb_http1_result_string[result],
				result != CB_HTTP1_UNSENT, NULL);
	else if (relay->is_events)
		events_done_(relay);
	else
		answer_done_(relay);
}

static const cb_http1_call_handler_t call_handler = {
	.head = head_,
	.data = data_,
	.done = done_,
};

/* How many tokens a request will hold at its end, as far as it tells. */
static double tokens_(const relay_t *relay)
{
	const cb_relay_ask_t *ask = &relay->ask;
	const cb_engine_profile_t *engine = relay->service->engine;
	double answer = ask->hinted_answer_tokens;

	if (!engine)
		return 0;
	if (answer <= 0)
		answer = engine->usual_answer_tokens;
	if (ask->most_answer_tokens)
		answer = MIN(answer, ask->most_answer_tokens);
	return (ask->prompt_tokens ? ask->prompt_tokens :
				     engine->usual_prompt_tokens) +
	       answer;
}

/* Sends the request to the servers chosen. */
static void attempt_send_(relay_t *relay)
{
	cb_front_t *front = relay->front;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_relay_send_t send = {
		.server_id = first->id,
		.workspace = relay->workspace,
		.budget_ms = relay->deadline_ms - now_ms_(relay),
		.last_event = relay->last_event,
		.hops = relay->service->engine ? relay->hops : NULL,
	};
	GString *request = front->dialect->vtable->write_request(
		front->dialect, head, cb_http1_exchange_body(relay->exchange),
		&send);

	relay->sends++;
	relay->sent_ms = now_ms_(relay);
	relay->status = 0;
	relay->is_events = FALSE;
	relay->has_not_run = FALSE;
	cb_server_book_begin(front->book, relay->hops, relay->tokens);
	silence_watch_(relay);
	relay->call =
		cb_http1_client_call(front->client, first->address,
				     head->method, request,
				     is_repeatable_(relay) ? IDLE_MAX_MS :
							     IDLE_ONCE_MAX_MS,
				     &call_handler, relay);
}

/* How long a request may wait for what it lacks. */
static int64_t wait_most_ms_(const relay_t *relay, int64_t bound_ms)
{
	int64_t whole_ms = relay->deadline_ms -
			   cb_http1_exchange_arrived_ms(relay->exchange);

	return MIN(bound_ms, whole_ms / WAIT_SHARE);
}

/*
 * Lets a request wait for what it lacks, for a short while: then it is given
 * up, so that its caller can come back in time.
 */
static void wait_(relay_t *relay, const char *reason, int64_t bound_ms,
		  int64_t retry_after_ms)
{
	cb_front_t *front = relay->front;
	int64_t now_ms = now_ms_(relay);

	if (!relay->wait_since_ms)
		relay->wait_since_ms = now_ms;
	if (now_ms - relay->wait_since_ms >= wait_most_ms_(relay, bound_ms)) {
		give_up_(relay, reason, retry_after_ms);
		return;
	}
	relay->is_waiting = TRUE;
	g_queue_push_tail(&front->waiting, relay);
	if (!cb_timer_is_armed(front->wait_timer))
		cb_timer_start(front->wait_timer, WAIT_STEP_MS);
}

/* Chooses servers for the next attempt. */
static cb_book_outcome_t servers_choose_(relay_t *relay)
{
	cb_server_book_t *book = relay->front->book;
	const cb_book_wish_t wish = { .service = relay->service,
				      .tokens = relay->tokens,
				      .tried = relay->tried };
	cb_book_outcome_t outcome =
		cb_server_book_choose(book, &wish, relay->hops);

	if (outcome != CB_BOOK_FOUND && g_hash_table_size(relay->tried)) {
		/* One that failed before may do better than none. */
		g_hash_table_remove_all(relay->tried);
		outcome = cb_server_book_choose(book, &wish, relay->hops);
	}
	return outcome;
}

/* Chooses servers and sends, or waits, or gives up. */
static void attempt_start_(relay_t *relay)
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
		wait_(relay, "no_room", bound_ms, RETRY_NO_ROOM_MS);
		return;
	}
	if (relay->is_retry &&
	    !cb_retry_share_take(relay->front->retries, relay->service->name)) {
		g_array_set_size(relay->hops, 0);
		wait_(relay, "no_retry_left", bound_ms, RETRY_NO_ROOM_MS);
		return;
	}
	relay->is_retry = FALSE;
	relay->wait_since_ms = 0;
	attempt_send_(relay);
}

/* The caller has closed: its request ends at the server too. */
static void caller_gone_(void *user_data)
{
	end_note_(user_data, 0, "caller_gone");
	relay_free_(user_data);
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

static relay_t *relay_new_(cb_front_t *front, cb_http1_exchange_t *exchange)
{
	relay_t *relay = g_new0(relay_t, 1);

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
		cb_timer_new(front->clock, silence_fired_, relay);
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
static gboolean route_(relay_t *relay)
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
		relay_free_(relay);
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
	relay->tokens = tokens_(relay);
	cb_retry_share_request(front->retries, relay->service->name);
	cb_timer_start(relay->deadline_timer,
		       MAX(relay->deadline_ms - now_ms_(relay), 0));
	return TRUE;
}

/* Goes on with a request that is not sent yet. */
static void relay_step_(relay_t *relay)
{
	cb_front_t *front = relay->front;

	if (!relay->route && (!front->document ||
			      !cb_control_client_is_confirmed(front->control)))
		wait_(relay, "not_configured", WAIT_SERVER_MS,
		      RETRY_NO_SERVER_MS);
	else if (relay->route || route_(relay))
		attempt_start_(relay);
}

/* The most urgent first, and within that the one that came first. */
static int urgency_compare_(const void *a, const void *b, void *user_data)
{
	const relay_t *left = a;
	const relay_t *right = b;
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
		relay_t *relay = g_queue_pop_head(&front->waiting);

		relay->is_waiting = FALSE;
		relay_step_(relay);
	}
}

/* Serves a request from a caller, or refuses it. */
void cb_relay_start(cb_front_t *front, cb_http1_exchange_t *exchange)
{
	relay_t *relay = relay_new_(front, exchange);

	g_hash_table_add(front->relays, relay);
	cb_http1_exchange_own(exchange, caller_gone_, relay);
	relay_step_(relay);
}
