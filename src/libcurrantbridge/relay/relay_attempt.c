#include "private/relay.h"

#include <string.h>

#include "private/relay_memory.h"
#include "private/relay_reach.h"
#include "private/relay_standby.h"

/*
 * A pooled connection that was idle for longer is not used, since the server
 * may be closing it as the request is sent.  The limit is shorter for requests
 * that may run only once.
 */
#define ONCE_CONNECTION_IDLE_MAX_MS 1000
#define CONNECTION_IDLE_MAX_MS 4000
/* Sends allowed beyond max_attempts, after attempts that did not run. */
#define NOT_RUN_SENDS_MAX 4
/* Time after which a request is sent again that this process could not send. */
#define RESOURCES_RETRY_INTERVAL_MS 50
/* Interval of further sends of a request that is not given up for rejections. */
#define LATER_SEND_INTERVAL_MS 250
/*
 * A connection that fails sooner was refused: no process listens at the
 * address.  One that fails later was not answered.
 */
#define REFUSED_CONNECTION_MAX_MS 100
/* A server that itself rejects a request answers within this time. */
#define FAST_REJECTION_MAX_MS 500
/*
 * With less time left, a request is not sent: no answer could arrive in time.
 */
#define SEND_TIME_LEFT_MIN_MS 5
/* Answers up to this size are buffered until they are complete. */
#define BUFFERED_BODY_MAX_BYTES (1024 * 1024)

/*
 * Returns the hop at `address`, or the first one if that is NULL.  Returns NULL
 * if no hop has that address.
 */
const cb_relay_hop_t *cb_relay_find_hop(const cb_relay_t *relay,
					const char *address)
{
	unsigned int i;

	for (i = 0; i < relay->hops->len; i++) {
		const cb_relay_hop_t *hop =
			&g_array_index(relay->hops, cb_relay_hop_t, i);

		if (!address || !strcmp(hop->address, address))
			return hop;
	}
	return NULL;
}

/* Records the failure of the server at `address`, NULL: the first hop. */
static void server_failure_record_(cb_relay_t *relay, const char *address,
				   gboolean may_be_lost)
{
	const cb_relay_hop_t *hop = cb_relay_find_hop(relay, address);

	if (!hop)
		return;
	g_hash_table_add(relay->tried_servers, g_strdup(hop->id));
	cb_server_book_record_failure(relay->front->book, hop->id, may_be_lost);
}

/* Has later attempts use other servers, without a failure of this one. */
static void server_exclude_(cb_relay_t *relay)
{
	const cb_relay_hop_t *first = cb_relay_find_hop(relay, NULL);

	if (first)
		g_hash_table_add(relay->tried_servers, g_strdup(first->id));
}

/*
 * Records the rejection of a request.  A server that rejected it at once has no
 * free slot and is avoided for a short time.  A late rejection means that
 * another server waited for this one in vain: it counts as failed.
 */
static void rejection_record_(cb_relay_t *relay)
{
	const char *address =
		relay->failed_address ?
			relay->failed_address :
			g_array_index(relay->hops, cb_relay_hop_t, 0).address;

	if (cb_relay_now_ms(relay) - relay->sent_ms < FAST_REJECTION_MAX_MS) {
		cb_server_book_mark_full(relay->front->book, address);
		if (relay->failed_address)
			cb_relay_check_engine(relay->front, address);
	} else
		(void)cb_server_book_record_loss_at(relay->front->book, address,
						    relay->tried_servers);
}

/*
 * Records an attempt for which no connection could be made.  A refused one
 * shows that the server's process has ended.
 */
static void unsent_attempt_record_(cb_relay_t *relay)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_front_t *front = relay->front;

	g_hash_table_add(relay->tried_servers, g_strdup(first->id));
	if (cb_relay_now_ms(relay) - relay->sent_ms < REFUSED_CONNECTION_MAX_MS)
		cb_server_book_record_end(front->book, first);
	else
		cb_server_book_record_failure(front->book, first->id, TRUE);
	cb_front_report_usage_soon(front);
}

/* Returns whether the request was sent as often as rejections allow. */
static gboolean sends_are_used_up_(const cb_relay_t *relay)
{
	return relay->send_count >=
	       relay->route->max_attempts + NOT_RUN_SENDS_MAX;
}

/*
 * Returns whether another attempt may follow, after `more_runs` further runs and
 * with at least `min_time_ms` left.  An answer that has begun, and whose server
 * was left while it was silent, is not given up for rejections by others.
 */
gboolean cb_relay_may_retry(const cb_relay_t *relay, unsigned int more_runs,
			    int64_t min_time_ms)
{
	unsigned int run_count = relay->run_count + more_runs;

	if (run_count && !cb_relay_is_resumable(relay))
		return FALSE;
	if (cb_relay_content_bars_retry(relay))
		return FALSE;
	if (run_count >= relay->route->max_attempts ||
	    (sends_are_used_up_(relay) && !relay->has_left_silent))
		return FALSE;
	return relay->deadline_ms - cb_relay_now_ms(relay) >= min_time_ms;
}

/* Records a failure by which this instance's way to the server may be lost. */
static void loss_sign_record_(cb_relay_t *relay, const char *result)
{
	if (!strcmp(result, CB_RELAY_SILENT))
		cb_relay_reach_suspect(relay, CB_REACH_SIGN_OVERDUE);
	else if (!strcmp(result, cb_http1_result_string[CB_HTTP1_UNSENT]) ||
		 !strcmp(result, cb_http1_result_string[CB_HTTP1_LOST]) ||
		 !strcmp(result, cb_http1_result_string[CB_HTTP1_TRUNCATED]))
		cb_relay_reach_suspect(relay, CB_REACH_SIGN_FAILED);
}

/* Returns whether an attempt with this result failed before its request was sent. */
gboolean cb_relay_is_unsent(const char *result)
{
	return !strcmp(result, cb_http1_result_string[CB_HTTP1_UNSENT]) ||
	       !strcmp(result, cb_http1_result_string[CB_HTTP1_NO_RESOURCES]);
}

/*
 * Records what a failed attempt shows of the server that it was sent to: nothing,
 * if this process lacked the resources to send it.
 */
void cb_relay_server_result_record(cb_relay_t *relay, const char *result,
				   gboolean has_run, const char *failed_address)
{
	if (!strcmp(result, cb_http1_result_string[CB_HTTP1_NO_RESOURCES]))
		return;
	loss_sign_record_(relay, result);
	cb_relay_content_attempt_failed(relay, result);
	if (cb_relay_is_unsent(result))
		unsent_attempt_record_(relay);
	else if (!strcmp(result, CB_RELAY_MEMORY))
		server_exclude_(relay);
	else if (has_run || !relay->has_not_run)
		server_failure_record_(relay, failed_address,
				       !strcmp(result, CB_RELAY_SILENT));
}

/*
 * Returns when the next attempt may be sent, by the result of the last one; 0: at
 * once.
 */
static int64_t next_send_find_ms_(const cb_relay_t *relay, const char *result)
{
	if (!strcmp(result, cb_http1_result_string[CB_HTTP1_NO_RESOURCES]))
		return cb_relay_now_ms(relay) + RESOURCES_RETRY_INTERVAL_MS;
	return sends_are_used_up_(relay) ?
		       cb_relay_now_ms(relay) + LATER_SEND_INTERVAL_MS :
		       relay->next_send_ms;
}

/*
 * Records that an attempt failed or is left, and starts the next one or gives up.
 * `has_run` is whether the attempt ran or may have run; `failed_address` is the
 * server that caused the failure, NULL: the first hop.  `stays_open`: the attempt
 * may still go on.
 */
static void next_attempt_start_(cb_relay_t *relay, const char *result,
				gboolean has_run, const char *failed_address,
				gboolean stays_open)
{
	const cb_relay_hop_t *first = cb_relay_find_hop(relay, NULL);
	char *hops_text = cb_relay_format_hops(relay);
	char *content_text = cb_content_features_text(relay->content.features);
	gboolean has_arrived;

	cb_log_event(relay->front->log, CB_EVENT_RELAY_ATTEMPT_FAILED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("result", result),
		     CB_STR("server", first ? first->id : NULL),
		     CB_STR("address", first ? first->address : NULL),
		     CB_STR("forwarded_to", relay->forwarded_to),
		     CB_STR("fault", failed_address),
		     CB_INT("status", relay->status),
		     CB_INT("has_run", has_run), CB_STR("way", hops_text),
		     CB_STR("framing", cb_relay_framing_text(relay)),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("unfinished_bytes",
			    (int64_t)cb_relay_unfinished_bytes(relay)),
		     CB_INT("sent_before_ms",
			    cb_relay_now_ms(relay) - relay->sent_ms),
		     CB_INT("is_begun", relay->is_answer_begun),
		     CB_INT("silent_ms", cb_relay_silent_ms(relay)),
		     CB_INT("unread", cb_relay_has_input(relay)),
		     CB_STR("awaited", relay->awaited),
		     CB_INT("late_ms",
			    relay->awaited ?
				    cb_clock_lateness_ms(relay->front->clock) :
				    0),
		     CB_INT("loop_late_ms",
			    cb_clock_worst_lateness_ms(relay->front->clock)),
		     CB_INT("document_age_ms",
			    cb_front_document_age_ms(relay->front)),
		     CB_INT("progress_ms", relay->content.progress_ms),
		     CB_STR("content", content_text));
	relay->awaited = NULL;
	g_free(hops_text);
	g_free(content_text);
	cb_relay_count_reason(relay->front, "cb_relay_attempts_failed_total",
			      result);
	if (relay->is_answer_begun)
		cb_relay_count_reason(relay->front,
				      "cb_relay_begun_attempts_failed_total",
				      result);
	relay->run_count += has_run != 0;
	has_arrived =
		relay->forwarded_to ? has_run : !cb_relay_is_unsent(result);
	if (relay->forwarded_to) {
		if (strcmp(result, CB_RELAY_MEMORY) != 0)
			cb_relay_forward_failed(relay);
	} else {
		cb_relay_server_result_record(relay, result, has_run,
					      failed_address);
	}
	if (stays_open)
		cb_relay_standby_add(relay);
	else
		cb_relay_cancel_attempt(relay);
	if (!cb_relay_may_retry(relay, 0, SEND_TIME_LEFT_MIN_MS)) {
		cb_relay_give_up(relay, result, CB_RELAY_RETRY_AFTER_MS);
		return;
	}
	relay->next_send_ms = next_send_find_ms_(relay, result);
	/* A send that reached no server leaves the retry that it took. */
	relay->is_next_send_retry = has_arrived;
	cb_event_pace_set_cause(&relay->pace, result);
	if (relay->is_answer_begun) {
		relay->is_stream_resumed = TRUE;
		cb_log_event(relay->front->log, CB_EVENT_RELAY_RESUMED,
			     CB_STR("request", relay->request_info.id),
			     CB_INT("last_event", relay->last_event));
	}
	cb_relay_attempt_start(relay);
}

void cb_relay_attempt_failed(cb_relay_t *relay, const char *result,
			     gboolean has_run, const char *failed_address)
{
	next_attempt_start_(relay, result, has_run, failed_address, FALSE);
}

void cb_relay_attempt_leave(cb_relay_t *relay, const char *result,
			    const char *silent_address)
{
	next_attempt_start_(relay, result, TRUE, silent_address,
			    relay->route->kind == CB_ROUTE_STREAM);
}

/* Stores the headers of a server's answer that are sent to the caller. */
static void answer_headers_store_(cb_relay_t *relay,
				  const cb_http1_head_t *head)
{
	unsigned int i;

	if (!relay->answer_headers)
		relay->answer_headers = g_string_new(NULL);
	g_string_truncate(relay->answer_headers, 0);
	for (i = 0; i < head->headers->len; i++) {
		const cb_http1_header_t *header =
			&g_array_index(head->headers, cb_http1_header_t, i);

		if (cb_http1_head_is_forwarded(head, header->name) &&
		    !cb_relay_forward_is_own_header(header->name))
			g_string_append_printf(relay->answer_headers,
					       "%s: %s\r\n", header->name,
					       header->value);
	}
	if (relay->forwarded_from)
		cb_relay_forward_append_lines(relay, CB_FORWARD_ANSWERED,
					      relay->answer_headers);
}

/*
 * Returns whether a server's answer has a status that callers take for a
 * promise that the request did not run, though the server does not say so.
 */
static gboolean refusal_is_unproved_(const cb_relay_t *relay)
{
	/* Another instance says itself what its answer means. */
	if (relay->forwarded_to)
		return FALSE;
	switch (relay->status) {
	case 408:
	case 421:
	case 429:
	case 503:
		return !relay->has_not_run;
	default:
		return FALSE;
	}
}

/*
 * Returns whether an answer is to the request in flight.  A server that did not
 * run a request may omit its id; on a connection with an earlier request, such
 * an answer may be about that one, and this one may still run.
 */
static gboolean answer_is_to_request_(const cb_relay_t *relay,
				      const cb_relay_answer_info_t *answer_info)
{
	if (answer_info->matches_request)
		return TRUE;
	return answer_info->names_no_request && answer_info->has_not_run &&
	       cb_http1_call_is_first(relay->call);
}

/*
 * Records the limit of its rate that a server names in an answer, or names no
 * more; news are logged, and shared at once.
 */
static void limit_hear_(cb_relay_t *relay, const cb_relay_hop_t *server,
			double limit_per_s)
{
	cb_front_t *front = relay->front;
	cb_rate_limit_t limit = { 0 };
	gboolean is_limited;

	if (!cb_rate_limits_hear(front->limits, server->id,
				 server->start_wall_ms, limit_per_s))
		return;
	is_limited =
		cb_rate_limits_find(front->limits, relay->service->name,
				    server->id, server->start_wall_ms, &limit);
	cb_log_event(front->log, CB_EVENT_RELAY_SERVER_LIMIT,
		     CB_STR("server", server->id),
		     CB_STR("address", server->address),
		     CB_INT("is_limited", is_limited),
		     CB_INT("limit_per_ks",
			    (int64_t)(limit.rate_per_s * CB_USAGE_KS)),
		     CB_INT("share_per_ks",
			    (int64_t)(limit.share_per_s * CB_USAGE_KS)),
		     CB_INT("instances", limit.instances));
	cb_relay_count_reason(front, "cb_relay_server_limits_total",
			      is_limited ? "named" : "ended");
	cb_front_report_usage_soon(front);
}

/* Records that data of the attempt's server has arrived. */
static void way_hear_(cb_relay_t *relay)
{
	relay->heard_ms = cb_relay_now_ms(relay);
	if (relay->way_group)
		cb_reach_group_hear(relay->way_group);
}

/*
 * Returns whether two values of Content-Type, NULL if there is none, name the same
 * media type, whatever their case, spaces and parameters (RFC 9110).
 */
static gboolean media_types_match_(const char *a, const char *b)
{
	size_t size;

	if (!a || !b)
		return a == b;
	size = strcspn(a, "; \t");
	return strcspn(b, "; \t") == size && !g_ascii_strncasecmp(a, b, size);
}

/*
 * Returns whether an answer has the type of the stream that it goes on with: a
 * page of an error that comes with status 200 is no part of it.
 */
static gboolean stream_type_matches_(cb_relay_t *relay,
				     const cb_http1_head_t *head)
{
	const char *type = cb_http1_head_find(head, "Content-Type");

	if (relay->is_answer_begun)
		return media_types_match_(relay->stream_type, type);
	g_free(relay->stream_type);
	relay->stream_type = g_strdup(type);
	return TRUE;
}

/* Begins the handling of an answer that will be forwarded, by its head. */
void cb_relay_answer_begin_store(cb_relay_t *relay, const cb_http1_head_t *head)
{
	relay->is_event_stream = relay->route->kind == CB_ROUTE_STREAM &&
				 head->status == 200 &&
				 stream_type_matches_(relay, head);
	if (relay->is_event_stream)
		cb_event_splitter_init(&relay->splitter);
	if (!relay->is_answer_begun)
		answer_headers_store_(relay, head);
}

/* Handles an answer's head; FALSE: the answer may be to another request. */
static gboolean answer_head_receive_(void *user_data,
				     const cb_http1_head_t *head)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_relay_answer_info_t answer_info = { .running = -1,
					       .limit_per_s = -1 };

	way_hear_(relay);
	relay->status = head->status;
	relay->framing = head->framing;
	relay->unused_body_bytes = 0;
	front->dialect->vtable->read_answer_info(front->dialect, head,
						 relay->request_info.id,
						 &answer_info);
	if (!answer_is_to_request_(relay, &answer_info))
		return FALSE;
	cb_relay_reach_hear_answer(relay);
	if (answer_info.running >= 0)
		cb_server_book_record_load(front->book, first->id,
					   answer_info.running,
					   answer_info.waiting);
	if (answer_info.is_leaving)
		cb_server_book_record_leaving(front->book, first);
	if (answer_info.retry_after_ms)
		cb_server_book_record_turned_away(front->book, first,
						  answer_info.retry_after_ms);
	limit_hear_(relay, first, answer_info.limit_per_s);
	relay->has_not_run = answer_info.has_not_run;
	g_free(relay->failed_address);
	relay->failed_address = g_strdup(answer_info.failed_address);
	if (answer_info.has_not_run)
		return TRUE;
	cb_relay_answer_begin_store(relay, head);
	return TRUE;
}

/* Begins the caller's answer, unless an earlier attempt did so. */
static void answer_begin_(cb_relay_t *relay)
{
	if (relay->is_answer_begun)
		return;
	relay->is_answer_begun = TRUE;
	relay->first_event_ms = cb_relay_elapsed_ms(relay);
	cb_histogram_add(relay->front->first_event_ms, relay->first_event_ms);
	cb_http1_exchange_begin(relay->exchange, relay->status,
				relay->answer_headers->str);
}

/* Records after which time the attempt's server, which has no layers, answered. */
static void server_time_record_(const cb_relay_t *relay)
{
	if (!relay->forwarded_to && !relay->service->engine)
		cb_server_book_record_time(relay->front->book, relay->hops,
					   relay->service->name,
					   relay->route->name,
					   cb_relay_now_ms(relay) -
						   relay->sent_ms);
}

/* Records that an event has come, which passes through all engines of the chain. */
static void chain_hear_(const cb_relay_t *relay)
{
	unsigned int i;

	for (i = 0; relay->service->engine && i < relay->hops->len; i++)
		cb_engine_reports_hear(
			relay->front->reports,
			g_array_index(relay->hops, cb_relay_hop_t, i).address);
}

/* Forwards one event, unless the caller has received it already. */
static void event_forward_(void *user_data, int64_t id, const char *data,
			   size_t size)
{
	cb_relay_t *relay = user_data;
	int64_t now_ms = cb_relay_now_ms(relay);

	/* The time to the first event of a resumed stream is another one. */
	if (relay->last_event < 0 && !relay->is_answer_begun)
		server_time_record_(relay);
	chain_hear_(relay);
	cb_relay_content_event_received(relay);
	if (id >= 0 && id <= relay->last_event) {
		/* The timer watches over the attempt in flight only. */
		if (!relay->standby_in_use)
			cb_relay_start_silence_timer(relay);
		return;
	}
	cb_relay_standby_settle(relay);
	answer_begin_(relay);
	relay->reroute_count = 0;
	if (id >= 0)
		relay->last_event = id;
	else
		relay->has_unnumbered_event |= cb_event_has_data(data, size);
	if (relay->pace.last_ms && relay->route->target_gap_ms)
		cb_offered_count_pause(relay->front->offered,
				       relay->service->name,
				       now_ms - relay->pace.last_ms >
					       relay->route->target_gap_ms);
	cb_event_pace_add(&relay->pace, now_ms);
	cb_relay_start_silence_timer(relay);
	cb_http1_exchange_write(relay->exchange, data, size);
}

void cb_relay_events_receive(cb_relay_t *relay, const uint8_t *data,
			     size_t size)
{
	way_hear_(relay);
	cb_event_splitter_add(&relay->splitter, data, size, event_forward_,
			      relay);
	cb_relay_memory_update(relay);
}

/* Breaks off an answer that is too large to be one to the request. */
static void oversize_answer_break_off_(cb_relay_t *relay)
{
	cb_http1_call_cancel(g_steal_pointer(&relay->call));
	cb_relay_attempt_failed(relay,
				cb_http1_result_string[CB_HTTP1_MALFORMED],
				TRUE, NULL);
}

/* Returns whether the answer is a server's error that need not be the last word. */
static gboolean is_retriable_error_(const cb_relay_t *relay)
{
	return relay->status >= 500 && !relay->forwarded_to &&
	       cb_relay_is_repeatable(relay);
}

static gboolean error_allows_run_(const cb_relay_t *relay)
{
	return is_retriable_error_(relay) &&
	       relay->run_count + 1 < relay->route->max_attempts;
}

/*
 * Returns whether a server's error doesn't end the request: another attempt may
 * follow, or one that was left may go on.
 */
static gboolean error_is_retried_(const cb_relay_t *relay)
{
	return error_allows_run_(relay) ||
	       (is_retriable_error_(relay) && cb_relay_standby_exists(relay));
}

/* Returns whether an answer's body is not forwarded, whatever it is. */
static gboolean body_is_unused_(const cb_relay_t *relay)
{
	/*
	 * A stream can't be resumed from another kind of answer.  An attempt that
	 * was left may fail before this error is complete.
	 */
	return relay->has_not_run || refusal_is_unproved_(relay) ||
	       relay->is_stream_resumed || error_allows_run_(relay);
}

/*
 * Buffers a part of an answer that is forwarded once it is complete.  An answer
 * larger than BUFFERED_BODY_MAX_BYTES is forwarded as it arrives.
 */
static void body_buffer_(cb_relay_t *relay, const uint8_t *data, size_t size)
{
	if (body_is_unused_(relay)) {
		relay->unused_body_bytes += size;
		if (relay->unused_body_bytes > CB_RELAY_UNUSED_BODY_MAX_BYTES)
			oversize_answer_break_off_(relay);
		return;
	}
	g_byte_array_append(relay->buffered_body, data, (unsigned int)size);
	cb_relay_memory_update(relay);
	if (relay->buffered_body->len <=
	    cb_relay_memory_buffered_max(relay, BUFFERED_BODY_MAX_BYTES))
		return;
	if (error_is_retried_(relay)) {
		oversize_answer_break_off_(relay);
		return;
	}
	cb_relay_standby_settle(relay);
	answer_begin_(relay);
	relay->is_body_streamed = TRUE;
	cb_http1_exchange_write(relay->exchange, relay->buffered_body->data,
				relay->buffered_body->len);
	g_byte_array_set_size(relay->buffered_body, 0);
	cb_relay_memory_update(relay);
	cb_relay_memory_check_caller(relay);
}

/* Handles a part of an answer's body. */
void cb_relay_answer_data_receive(void *user_data, const uint8_t *data,
				  size_t size)
{
	cb_relay_t *relay = user_data;

	if (!relay->is_event_stream) {
		way_hear_(relay);
		body_buffer_(relay, data, size);
		return;
	}
	cb_relay_events_receive(relay, data, size);
	cb_relay_memory_check_caller(relay);
	if (relay->splitter.partial->len > CB_RELAY_EVENT_MAX_BYTES)
		oversize_answer_break_off_(relay);
}

/*
 * Returns whether a stream that has ended by its HTTP framing is whole.  One
 * that ends inside an event was broken off, and so was one without an event
 * whose end is only that of its connection.
 */
gboolean cb_relay_stream_is_whole(const cb_relay_t *relay)
{
	if (cb_event_splitter_is_inside_event(&relay->splitter))
		return FALSE;
	return relay->framing != CB_HTTP1_FRAMING_UNTIL_CLOSE ||
	       relay->splitter.event_count;
}

/*
 * Ends the caller's answer after a whole stream; the attempt has failed if its
 * server broke the stream off.
 */
static void stream_end_handle_(cb_relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	const GString *partial = relay->splitter.partial;

	if (!cb_relay_stream_is_whole(relay)) {
		cb_relay_attempt_failed(
			relay, cb_http1_result_string[CB_HTTP1_TRUNCATED], TRUE,
			NULL);
		return;
	}
	answer_begin_(relay);
	cb_http1_exchange_write(exchange, partial->str, partial->len);
	cb_server_book_record_success(relay->front->book, relay->hops);
	cb_relay_record_end(relay, relay->status, "complete");
	cb_http1_exchange_end(exchange);
	cb_relay_free(relay);
}

/* Returns how a request ends whose answer is forwarded. */
static const char *end_reason_find_(const cb_relay_t *relay)
{
	if (!relay->forwarded_to ||
	    relay->forward_outcome == CB_FORWARD_ANSWERED)
		return "complete";
	return relay->forward_outcome == CB_FORWARD_NOT_RUN ?
		       "refused_elsewhere" :
		       "failed_elsewhere";
}

/* Forwards a complete answer, or starts another attempt. */
static void answer_complete_(cb_relay_t *relay)
{
	cb_http1_exchange_t *exchange = relay->exchange;
	uint32_t status = relay->status;

	if (relay->has_not_run) {
		if (!relay->forwarded_to)
			rejection_record_(relay);
		cb_relay_attempt_failed(relay, "not_run", FALSE,
					relay->failed_address);
		return;
	}
	if (refusal_is_unproved_(relay)) {
		cb_relay_attempt_failed(relay, CB_RELAY_UNPROVED, TRUE, NULL);
		return;
	}
	if (error_is_retried_(relay)) {
		cb_relay_attempt_failed(relay, "server_error", TRUE, NULL);
		return;
	}
	if (relay->is_body_streamed) {
		cb_http1_exchange_write(exchange, relay->buffered_body->data,
					relay->buffered_body->len);
		cb_relay_record_end(relay, status, "complete");
		cb_http1_exchange_end(exchange);
		cb_relay_free(relay);
		return;
	}
	if (relay->is_answer_begun) {
		/* A stream can't be resumed from another kind of answer. */
		cb_relay_attempt_failed(relay, "server_error",
					!relay->forwarded_to ||
						relay->forward_outcome !=
							CB_FORWARD_NOT_RUN,
					NULL);
		return;
	}
	if (status < 500) {
		server_time_record_(relay);
		cb_server_book_record_success(relay->front->book, relay->hops);
	} else if (cb_relay_find_hop(relay, NULL)) {
		cb_server_pace_record_failure(
			cb_server_book_pace(relay->front->book),
			cb_relay_find_hop(relay, NULL)->id);
	}
	cb_relay_record_end(relay, status, end_reason_find_(relay));
	cb_http1_exchange_reply(exchange, status, relay->answer_headers->str,
				relay->buffered_body->data,
				relay->buffered_body->len);
	cb_relay_free(relay);
}

/* Called when the call to the server, or another instance, has ended. */
void cb_relay_call_end_handle(void *user_data, cb_http1_result_t result)
{
	cb_relay_t *relay = user_data;

	relay->call = NULL;
	if (result != CB_HTTP1_COMPLETE)
		cb_relay_attempt_failed(relay, cb_http1_result_string[result],
					!cb_relay_is_unsent(
						cb_http1_result_string[result]),
					NULL);
	else if (relay->is_event_stream)
		stream_end_handle_(relay);
	else
		answer_complete_(relay);
}

const cb_http1_call_handler_t cb_relay_server_handler = {
	.head = answer_head_receive_,
	.data = cb_relay_answer_data_receive,
	.done = cb_relay_call_end_handle,
};

/*
 * Returns an estimate of the tokens that a request occupies in the KV cache at
 * its end, from the numbers that its caller gives or else the service's usual
 * ones; 0 for a service without layers.
 */
double cb_relay_estimate_tokens(const cb_relay_t *relay)
{
	const cb_relay_request_info_t *request_info = &relay->request_info;
	const cb_engine_profile_t *engine = relay->service->engine;
	double answer = request_info->hinted_answer_tokens;

	if (!engine)
		return 0;
	if (answer <= 0)
		answer = engine->usual_answer_tokens;
	if (request_info->max_answer_tokens)
		answer = MIN(answer, request_info->max_answer_tokens);
	return (request_info->prompt_tokens ? request_info->prompt_tokens :
					      engine->usual_prompt_tokens) +
	       answer;
}

/* Returns for how long a pooled connection may have been idle to be used. */
int64_t cb_relay_connection_idle_max_ms(const cb_relay_t *relay)
{
	return cb_relay_is_repeatable(relay) ? CONNECTION_IDLE_MAX_MS :
					       ONCE_CONNECTION_IDLE_MAX_MS;
}

/*
 * Records the connection that carries the request: a later send of it uses
 * another one.  A server may write its answer once more, and the copy has the
 * request's ID, so that only the connection tells which send it answers.
 */
void cb_relay_record_connection(cb_relay_t *relay)
{
	uint64_t id = cb_http1_call_connection_id(relay->call);

	g_array_append_val(relay->used_connections, id);
}

/* Resets what is known of the last attempt. */
void cb_relay_attempt_reset(cb_relay_t *relay)
{
	relay->sent_ms = cb_relay_now_ms(relay);
	relay->heard_ms = 0;
	relay->way_group = NULL;
	relay->status = 0;
	relay->is_event_stream = FALSE;
	relay->has_not_run = FALSE;
	cb_relay_content_attempt_begun(relay);
}

/* Sends the request to the chosen servers. */
void cb_relay_attempt_send(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);
	cb_relay_attempt_info_t attempt_info = {
		.server_id = first->id,
		.workspace = relay->workspace,
		.budget_ms = relay->deadline_ms - cb_relay_now_ms(relay),
		.rank = cb_document_has_ranks(relay->document) ?
				(int32_t)relay->rank :
				-1,
		.last_event = relay->last_event,
		.hops = relay->service->engine ? relay->hops : NULL,
	};
	GString *request = front->dialect->vtable->write_request(
		front->dialect, head, cb_http1_exchange_body(relay->exchange),
		&attempt_info);

	cb_rate_limits_count_send(front->limits, relay->service->name,
				  first->id, first->start_wall_ms);
	relay->send_count++;
	cb_relay_attempt_reset(relay);
	relay->way_group = cb_relay_reach_find_group(front, first);
	cb_server_book_begin_request(front->book, relay->hops,
				     relay->expected_tokens);
	cb_server_book_record_crossings(front->book, relay->service,
					relay->hops, relay->expected_tokens);
	cb_relay_start_silence_timer(relay);
	relay->call =
		cb_http1_client_call(front->client, first->address,
				     head->method, request,
				     cb_relay_connection_idle_max_ms(relay),
				     relay->used_connections,
				     &cb_relay_server_handler, relay);
	cb_relay_record_connection(relay);
}
