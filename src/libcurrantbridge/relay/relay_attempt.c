#include "private/relay.h"

#include <string.h>

/* A kept connection idle for longer may be closing as the request leaves. */
#define IDLE_ONCE_MAX_MS 1000
#define IDLE_MAX_MS 4000
/* Sends beyond the route's attempts, for those that surely did not run. */
#define UNRUN_SENDS_MAX 4
/* A server that turns a request away by itself does so within this. */
#define TURNED_AWAY_MS 500
/* Nothing is sent with less than this left: no answer could come in time. */
#define LEFT_MIN_MS 5
/* Whole answers up to this are held until they are known to be complete. */
#define HELD_MAX_BYTES (1024 * 1024)

/* Marks the server at fault, where that is known. */
static void blame_(cb_relay_t *relay, const char *address)
{
	unsigned int i;

	for (i = 0; i < relay->hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(relay->hops, cb_relay_hop_t, i);

		if (address ? strcmp(hop->address, address) != 0 : i > 0)
			continue;
		g_hash_table_add(relay->tried, g_strdup(hop->id));
		cb_server_book_record_failure(relay->front->book, hop->id);
	}
}

/*
 * Notes a request that was turned away: a server without room is asked again
 * soon, one that answered late was waited for by another and is down.
 */
static void turned_away_(cb_relay_t *relay)
{
	const char *address =
		relay->fault ?
			relay->fault :
			g_array_index(relay->hops, cb_relay_hop_t, 0).address;

	if (cb_relay_now_ms(relay) - relay->sent_ms < TURNED_AWAY_MS)
		cb_server_book_mark_full(relay->front->book, address);
	else
		(void)cb_server_book_record_failure_at(relay->front->book,
						       address, relay->tried);
}

/* Whether another attempt may follow the one that failed. */
static gboolean may_retry_(cb_relay_t *relay)
{
	if (relay->runs && !cb_relay_is_repeatable(relay))
		return FALSE;
	if (relay->runs >= relay->route->max_attempts ||
	    relay->sends >= relay->route->max_attempts + UNRUN_SENDS_MAX)
		return FALSE;
	return relay->deadline_ms - cb_relay_now_ms(relay) >= LEFT_MIN_MS;
}

/*
 * An attempt has failed.  `has_run` tells whether it ran or may have; the
 * server at `fault` is at fault, NULL: the first one on the way.
 */
void cb_relay_attempt_failed(cb_relay_t *relay, const char *result,
			     gboolean has_run, const char *fault)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	char *way = cb_relay_way(relay);

	cb_log_event(relay->front->log, CB_EVENT_RELAY_ATTEMPT_FAILED,
		     CB_STR("request", relay->ask.id), CB_STR("result", result),
		     CB_STR("server", first->id),
		     CB_STR("address", first->address), CB_STR("fault", fault),
		     CB_INT("status", relay->status),
		     CB_INT("has_run", has_run), CB_STR("way", way),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("sent_before_ms",
			    cb_relay_now_ms(relay) - relay->sent_ms));
	g_free(way);
	cb_relay_count(relay->front, "cb_relay_attempts_failed_total", result);
	relay->runs += has_run != 0;
	if (has_run || !relay->has_not_run)
		blame_(relay, fault);
	cb_relay_drop_attempt(relay);
	if (!may_retry_(relay)) {
		cb_relay_give_up(relay, result, CB_RELAY_RETRY_MS);
		return;
	}
	relay->is_retry = TRUE;
	if (relay->is_begun) {
		relay->is_resumed = TRUE;
		cb_log_event(relay->front->log, CB_EVENT_RELAY_RESUMED,
			     CB_STR("request", relay->ask.id),
			     CB_INT("last_event", relay->last_event));
	}
	cb_relay_attempt_start(relay);
}

/* Keeps the headers that the caller gets. */
static void headers_keep_(cb_relay_t *relay, const cb_http1_head_t *head)
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
	cb_relay_t *relay = user_data;
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
		cb_server_book_record_load(front->book, first->id, word.running,
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

/* Begins the caller's answer, unless that was done by an earlier attempt. */
static void answer_begin_(cb_relay_t *relay)
{
	if (relay->is_begun)
		return;
	relay->is_begun = TRUE;
	cb_histogram_add(relay->front->first_event_ms,
			 cb_relay_elapsed_ms(relay));
	cb_http1_exchange_begin(relay->exchange, relay->status,
				relay->answer_headers->str);
}

/* Passes one whole event on; those that the caller has are dropped. */
static void event_(void *user_data, int64_t id, const char *data, size_t size)
{
	cb_relay_t *relay = user_data;

	cb_relay_watch_silence(relay);
	if (id >= 0 && id <= relay->last_event)
		return;
	answer_begin_(relay);
	if (id >= 0)
		relay->last_event = id;
	cb_http1_exchange_write(relay->exchange, data, size);
}

/*
 * Holds an answer back until it is known to be whole; one that is too large
 * for that is passed on as it comes.
 */
static void held_add_(cb_relay_t *relay, const uint8_t *data, size_t size)
{
	if (relay->has_not_run)
		return;
	g_byte_array_append(relay->held, data, (unsigned int)size);
	if (relay->held->len <= HELD_MAX_BYTES || relay->is_resumed)
		return;
	answer_begin_(relay);
	relay->is_passing = TRUE;
	cb_http1_exchange_write(relay->exchange, relay->held->data,
				relay->held->len);
	g_byte_array_set_size(relay->held, 0);
}

static void data_(void *user_data, const uint8_t *data, size_t size)
{
	cb_relay_t *relay = user_data;

	if (relay->is_events)
		cb_event_splitter_add(&relay->splitter, data, size, event_,
				      relay);
	else
		held_add_(relay, data, size);
}

/* The stream has ended as complete. */
static void events_done_(cb_relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	GString *rest = relay->splitter.partial;

	if (rest->len && (relay->is_resumed || !relay->is_begun)) {
		cb_relay_attempt_failed(relay, "truncated", TRUE, NULL);
		return;
	}
	answer_begin_(relay);
	cb_http1_exchange_write(exchange, rest->str, rest->len);
	cb_server_book_record_success(relay->front->book, relay->hops);
	cb_relay_note_end(relay, relay->status, "complete");
	cb_http1_exchange_end(exchange);
	cb_relay_free(relay);
}

/* A whole answer is there: it is passed on, or another attempt follows. */
static void answer_done_(cb_relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	uint32_t status = relay->status;

	if (relay->has_not_run) {
		turned_away_(relay);
		cb_relay_attempt_failed(relay, "not_run", FALSE, relay->fault);
		return;
	}
	if (status >= 500 && cb_relay_is_repeatable(relay) &&
	    relay->runs + 1 < relay->route->max_attempts) {
		cb_relay_attempt_failed(relay, "server_error", TRUE, NULL);
		return;
	}
	if (relay->is_passing) {
		cb_http1_exchange_write(exchange, relay->held->data,
					relay->held->len);
		cb_relay_note_end(relay, status, "complete");
		cb_http1_exchange_end(exchange);
		cb_relay_free(relay);
		return;
	}
	if (relay->is_begun) {
		/* A resumed stream can't go on with another kind of answer. */
		cb_relay_attempt_failed(relay, "server_error", TRUE, NULL);
		return;
	}
	if (status < 500)
		cb_server_book_record_success(relay->front->book, relay->hops);
	cb_relay_note_end(relay, status, "complete");
	cb_http1_exchange_reply(exchange, status, relay->answer_headers->str,
				relay->held->data, relay->held->len);
	cb_relay_free(relay);
}

static void done_(void *user_data, cb_http1_result_t result)
{
	cb_relay_t *relay = user_data;

	relay->call = NULL;
	if (result != CB_HTTP1_COMPLETE)
		cb_relay_attempt_failed(relay, cb_http1_result_string[result],
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
double cb_relay_tokens(const cb_relay_t *relay)
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
void cb_relay_attempt_send(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_relay_send_t send = {
		.server_id = first->id,
		.workspace = relay->workspace,
		.budget_ms = relay->deadline_ms - cb_relay_now_ms(relay),
		.last_event = relay->last_event,
		.hops = relay->service->engine ? relay->hops : NULL,
	};
	GString *request = front->dialect->vtable->write_request(
		front->dialect, head, cb_http1_exchange_body(relay->exchange),
		&send);

	relay->sends++;
	relay->sent_ms = cb_relay_now_ms(relay);
	relay->status = 0;
	relay->is_events = FALSE;
	relay->has_not_run = FALSE;
	cb_server_book_begin_request(front->book, relay->hops, relay->tokens);
	cb_relay_watch_silence(relay);
	relay->call = cb_http1_client_call(front->client, first->address,
					   head->method, request,
					   cb_relay_is_repeatable(relay) ?
						   IDLE_MAX_MS :
						   IDLE_ONCE_MAX_MS,
					   &call_handler, relay);
}
