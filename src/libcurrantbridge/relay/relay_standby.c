#include "private/relay_standby.h"

#include "private/relay_forward.h"
#include "private/relay_memory.h"

/* The parts of a relay's state that belong to one attempt. */
typedef struct attempt {
	cb_http1_call_t *call;
	GArray *hops;
	cb_reach_group_t *way_group;
	int64_t heard_ms;
	int64_t sent_ms;
	char *forwarded_to;
	cb_forward_outcome_t forward_outcome;
	uint32_t status;
	cb_http1_framing_t framing;
	gboolean is_event_stream;
	gboolean has_not_run;
	gboolean is_call_paused;
	char *failed_address;
	uint64_t unused_body_bytes;
	cb_event_splitter_t splitter;
	int64_t last_event_ms; /* of relay->content, with `progress_ms` */
	int64_t progress_ms;
	/* Of the answer, while the caller's answer has not begun. */
	GString *answer_headers;
	char *stream_type;
} attempt_t;

/* While a standby attempt's call is handled, it has the relay's own attempt. */
typedef struct cb_relay_standby {
	cb_relay_t *relay;
	attempt_t attempt;
} standby_t;

/* Exchanges a relay's attempt for another one. */
static void attempt_swap_(cb_relay_t *relay, attempt_t *other)
{
	const attempt_t own = {
		.call = relay->call,
		.hops = relay->hops,
		.way_group = relay->way_group,
		.heard_ms = relay->heard_ms,
		.sent_ms = relay->sent_ms,
		.forwarded_to = relay->forwarded_to,
		.forward_outcome = relay->forward_outcome,
		.status = relay->status,
		.framing = relay->framing,
		.is_event_stream = relay->is_event_stream,
		.has_not_run = relay->has_not_run,
		.is_call_paused = relay->is_call_paused,
		.failed_address = relay->failed_address,
		.unused_body_bytes = relay->unused_body_bytes,
		.splitter = relay->splitter,
		.last_event_ms = relay->content.last_event_ms,
		.progress_ms = relay->content.progress_ms,
		.answer_headers = relay->answer_headers,
		.stream_type = relay->stream_type,
	};

	relay->call = other->call;
	relay->hops = other->hops;
	relay->way_group = other->way_group;
	relay->heard_ms = other->heard_ms;
	relay->sent_ms = other->sent_ms;
	relay->forwarded_to = other->forwarded_to;
	relay->forward_outcome = other->forward_outcome;
	relay->status = other->status;
	relay->framing = other->framing;
	relay->is_event_stream = other->is_event_stream;
	relay->has_not_run = other->has_not_run;
	relay->is_call_paused = other->is_call_paused;
	relay->failed_address = other->failed_address;
	relay->unused_body_bytes = other->unused_body_bytes;
	relay->splitter = other->splitter;
	relay->content.last_event_ms = other->last_event_ms;
	relay->content.progress_ms = other->progress_ms;
	/* An answer that has begun keeps the head that its caller has. */
	if (!relay->is_answer_begun) {
		relay->answer_headers = other->answer_headers;
		relay->stream_type = other->stream_type;
	}
	*other = own;
	if (relay->is_answer_begun) {
		other->answer_headers = NULL;
		other->stream_type = NULL;
	}
}

/* Gives the relay a standby attempt while that one's call is handled. */
static void standby_enter_(standby_t *standby)
{
	attempt_swap_(standby->relay, &standby->attempt);
	standby->relay->standby_in_use = standby;
}

static void standby_leave_(standby_t *standby)
{
	attempt_swap_(standby->relay, &standby->attempt);
	standby->relay->standby_in_use = NULL;
}

/* Returns the usual handler of the call of a relay's attempt. */
static const cb_http1_call_handler_t *call_handler_find_(
	const cb_relay_t *relay)
{
	return relay->forwarded_to ? &cb_relay_forward_handler :
				     &cb_relay_server_handler;
}

/* Cancels a standby attempt's call, if it is open, and frees the attempt. */
static void standby_delete_(void *data)
{
	standby_t *standby = data;
	cb_relay_t *relay = standby->relay;
	attempt_t *attempt = &standby->attempt;

	if (attempt->call)
		cb_http1_call_cancel(attempt->call);
	cb_relay_forward_end(relay->front, &attempt->forwarded_to);
	if (attempt->hops->len)
		cb_server_book_end_request(relay->front->book, attempt->hops,
					   relay->expected_tokens);
	g_array_unref(attempt->hops);
	g_free(attempt->failed_address);
	cb_event_splitter_clear(&attempt->splitter);
	if (attempt->answer_headers)
		g_string_free(attempt->answer_headers, TRUE);
	g_free(attempt->stream_type);
	g_free(standby);
}

/* Handles the head of a standby attempt's answer. */
static gboolean head_receive_(void *user_data, const cb_http1_head_t *head)
{
	standby_t *standby = user_data;
	cb_relay_t *relay = standby->relay;
	gboolean is_accepted;

	standby_enter_(standby);
	is_accepted = call_handler_find_(relay)->head(relay, head);
	standby_leave_(standby);
	return is_accepted;
}

/*
 * Handles a part of a standby attempt's answer.  The attempt becomes the only one
 * with its first event that the caller lacks.
 */
static void data_receive_(void *user_data, const uint8_t *data, size_t size)
{
	standby_t *standby = user_data;
	cb_relay_t *relay = standby->relay;
	cb_front_t *front = relay->front;

	if (!standby->attempt.is_event_stream) {
		standby->attempt.unused_body_bytes += size;
		if (standby->attempt.unused_body_bytes >
		    CB_RELAY_UNUSED_BODY_MAX_BYTES)
			g_ptr_array_remove(relay->standbys, standby);
		return;
	}
	standby_enter_(standby);
	cb_relay_events_receive(relay, data, size);
	if (!g_hash_table_contains(front->relays, relay))
		return;
	if (!relay->standby_in_use) {
		cb_relay_memory_check_caller(relay);
		return;
	}
	standby_leave_(standby);
	cb_relay_memory_update(relay);
	if (standby->attempt.splitter.partial->len > CB_RELAY_EVENT_MAX_BYTES)
		g_ptr_array_remove(relay->standbys, standby);
}

/* Records that a standby attempt, which the relay has for now, has failed. */
static void failure_record_(cb_relay_t *relay, cb_http1_result_t result)
{
	const cb_relay_hop_t *first = cb_relay_find_hop(relay, NULL);
	gboolean has_not_run =
		relay->has_not_run ||
		cb_relay_is_unsent(cb_http1_result_string[result]);

	cb_log_event(relay->front->log, CB_EVENT_RELAY_STANDBY_FAILED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("result", cb_http1_result_string[result]),
		     CB_STR("server", first ? first->id : NULL),
		     CB_STR("address", first ? first->address : NULL),
		     CB_STR("forwarded_to", relay->forwarded_to),
		     CB_INT("status", relay->status),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("sent_before_ms",
			    cb_relay_now_ms(relay) - relay->sent_ms));
	cb_relay_count_reason(relay->front, "cb_relay_standbys_total",
			      "failed");
	if (has_not_run)
		relay->run_count--;
	if (!relay->forwarded_to && result != CB_HTTP1_COMPLETE)
		cb_relay_server_result_record(relay,
					      cb_http1_result_string[result],
					      !has_not_run, NULL);
}

/*
 * Called when a standby attempt's call has ended: with the whole stream, or the
 * attempt has failed.
 */
static void call_end_handle_(void *user_data, cb_http1_result_t result)
{
	standby_t *standby = user_data;
	cb_relay_t *relay = standby->relay;

	standby->attempt.call = NULL;
	standby_enter_(standby);
	if (result == CB_HTTP1_COMPLETE && relay->is_event_stream &&
	    cb_relay_stream_is_whole(relay)) {
		cb_relay_standby_settle(relay);
		cb_relay_call_end_handle(relay, result);
		return;
	}
	failure_record_(relay, result);
	standby_leave_(standby);
	g_ptr_array_remove(relay->standbys, standby);
}

static const cb_http1_call_handler_t standby_handler = {
	.head = head_receive_,
	.data = data_receive_,
	.done = call_end_handle_,
};

void cb_relay_standby_add(cb_relay_t *relay)
{
	const cb_relay_hop_t *first = cb_relay_find_hop(relay, NULL);
	standby_t *standby = g_new0(standby_t, 1);

	if (first)
		g_hash_table_add(relay->tried_servers, g_strdup(first->id));
	cb_relay_stop_watching(relay);
	g_byte_array_set_size(relay->buffered_body, 0);
	standby->relay = relay;
	standby->attempt.hops = cb_relay_hops_new();
	attempt_swap_(relay, &standby->attempt);
	cb_http1_call_set_handler(standby->attempt.call, &standby_handler,
				  standby);
	if (!relay->standbys)
		relay->standbys =
			g_ptr_array_new_with_free_func(standby_delete_);
	g_ptr_array_add(relay->standbys, standby);
	cb_relay_memory_update(relay);
	cb_relay_count_reason(relay->front, "cb_relay_standbys_total", "left");
}

/* Logs that a stream goes on with an attempt that was left. */
static void return_log_(cb_relay_t *relay, const char *reason)
{
	const cb_relay_hop_t *first = cb_relay_find_hop(relay, NULL);

	cb_log_event(relay->front->log, CB_EVENT_RELAY_STANDBY_USED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("reason", reason),
		     CB_STR("server", first ? first->id : NULL),
		     CB_STR("address", first ? first->address : NULL),
		     CB_STR("forwarded_to", relay->forwarded_to),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("sent_before_ms",
			    cb_relay_now_ms(relay) - relay->sent_ms));
	cb_relay_count_reason(relay->front, "cb_relay_standbys_total", reason);
}

/* Makes the standby attempt that the relay has for now its only one. */
static void standby_take_(cb_relay_t *relay, const char *reason)
{
	if (relay->call)
		cb_http1_call_set_handler(relay->call,
					  call_handler_find_(relay), relay);
	relay->run_count--;
	if (relay->is_waiting)
		g_queue_remove(&relay->front->waiting, relay);
	relay->is_waiting = FALSE;
	relay->wait_since_ms = 0;
	relay->next_send_ms = 0;
	relay->is_next_send_retry = FALSE;
	return_log_(relay, reason);
}

/*
 * Returns the attempt that was left last and may go on; NULL: there is none.  One
 * whose answer is no stream brings no event, and its body is dropped.
 */
static standby_t *resumable_find_(const cb_relay_t *relay)
{
	unsigned int i = relay->standbys ? relay->standbys->len : 0;

	while (i--) {
		standby_t *standby = relay->standbys->pdata[i];

		if (!standby->attempt.status ||
		    standby->attempt.is_event_stream)
			return standby;
	}
	return NULL;
}

gboolean cb_relay_standby_exists(const cb_relay_t *relay)
{
	return resumable_find_(relay) != NULL;
}

void cb_relay_standby_settle(cb_relay_t *relay)
{
	const standby_t *standby = relay->standby_in_use;

	if (!relay->standbys || !relay->standbys->len)
		return;
	if (standby) {
		cb_relay_stop_watching(relay);
		g_byte_array_set_size(relay->buffered_body, 0);
		/* The attempt that it supersedes may have run. */
		if (standby->attempt.call &&
		    cb_http1_call_is_sent(standby->attempt.call))
			relay->run_count++;
		relay->standby_in_use = NULL;
		standby_take_(relay, "event");
	}
	g_ptr_array_set_size(relay->standbys, 0);
}

gboolean cb_relay_standby_resume(cb_relay_t *relay, const char *reason)
{
	standby_t *standby = resumable_find_(relay);

	if (!standby)
		return FALSE;
	cb_relay_cancel_attempt(relay);
	attempt_swap_(relay, &standby->attempt);
	g_ptr_array_remove(relay->standbys, standby);
	standby_take_(relay, reason);
	cb_event_pace_count_check(&relay->pace, FALSE);
	cb_relay_start_silence_timer(relay);
	return TRUE;
}

void cb_relay_standby_add_servers(const cb_relay_t *relay,
				  GHashTable *server_ids)
{
	unsigned int i;

	for (i = 0; relay->standbys && i < relay->standbys->len; i++) {
		const standby_t *standby = relay->standbys->pdata[i];

		if (standby->attempt.hops->len)
			g_hash_table_add(
				server_ids,
				g_strdup(g_array_index(standby->attempt.hops,
						       cb_relay_hop_t, 0)
						 .id));
	}
}

size_t cb_relay_standby_event_bytes(const cb_relay_t *relay)
{
	size_t bytes = 0;
	unsigned int i;

	for (i = 0; relay->standbys && i < relay->standbys->len; i++) {
		const standby_t *standby = relay->standbys->pdata[i];

		if (standby->attempt.splitter.partial)
			bytes += standby->attempt.splitter.partial->len;
	}
	return bytes;
}

size_t cb_relay_standby_call_bytes(const cb_relay_t *relay)
{
	size_t bytes = 0;
	unsigned int i;

	for (i = 0; relay->standbys && i < relay->standbys->len; i++) {
		const standby_t *standby = relay->standbys->pdata[i];

		if (standby->attempt.call)
			bytes +=
				cb_http1_call_kept_bytes(standby->attempt.call);
	}
	return bytes;
}

void cb_relay_standby_clear(cb_relay_t *relay)
{
	g_clear_pointer(&relay->standbys, g_ptr_array_unref);
	relay->standby_in_use = NULL;
}
