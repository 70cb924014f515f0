#include "private/relay_memory.h"

#include "private/relay_standby.h"

/* What a request occupies beside its buffers. */
#define REQUEST_BYTES 4096
/* While memory is tight, at most this much is kept until an answer is complete. */
#define TIGHT_BUFFERED_BYTES (64 * 1024)
/* With more unsent bytes the server's connection is not read meanwhile. */
#define TIGHT_UNSENT_BYTES (32 * 1024)

/* Opens the accounts of what is kept for the answer. */
static void accounts_init_(cb_relay_t *relay)
{
	cb_memory_bound_t *bound = relay->front->memory;

	cb_memory_account_init(&relay->answer_account, bound,
			       CB_MEMORY_ANSWERS);
	cb_memory_account_init(&relay->event_account, bound, CB_MEMORY_ANSWERS);
	cb_memory_account_init(&relay->own_account, bound, CB_MEMORY_REQUESTS);
	cb_memory_account_set(&relay->own_account, REQUEST_BYTES);
}

/* Resumes reading the answer once the caller has read what was sent. */
static void caller_emptied_handle_(void *user_data)
{
	cb_relay_t *relay = user_data;

	if (!relay->is_call_paused)
		return;
	relay->is_call_paused = FALSE;
	if (relay->call)
		cb_http1_call_set_paused(relay->call, FALSE);
}

static void reading_stop_(void *user_data)
{
	cb_relay_memory_check_caller(user_data);
}

/* Returns what is kept for the request, beside what its exchange keeps. */
static size_t kept_bytes_compute_(void *user_data)
{
	const cb_relay_t *relay = user_data;

	return relay->own_account.bytes + relay->answer_account.bytes +
	       relay->event_account.bytes + cb_relay_standby_call_bytes(relay) +
	       (relay->call ? cb_http1_call_kept_bytes(relay->call) : 0);
}

/*
 * Breaks off the request.  An answer that has begun is aborted; otherwise the
 * attempt has failed, which shows nothing about its server, and another may follow
 * by the usual rules.
 */
static void attempt_give_way_(void *user_data)
{
	cb_relay_t *relay = user_data;
	gboolean may_have_run =
		relay->call && cb_http1_call_is_sent(relay->call);

	if (relay->call && !relay->is_answer_begun) {
		cb_relay_attempt_failed(relay, CB_RELAY_MEMORY, may_have_run,
					NULL);
		return;
	}
	relay->run_count += may_have_run;
	cb_relay_break_off(relay, CB_RELAY_MEMORY, CB_RELAY_RETRY_AFTER_MS);
}

static const cb_http1_keeper_t keeper = {
	.emptied = caller_emptied_handle_,
	.stop_reading = reading_stop_,
	.kept_bytes = kept_bytes_compute_,
	.give_way = attempt_give_way_,
};

/* Opens the request's accounts, and has its exchange ask it to give way. */
void cb_relay_memory_init(cb_relay_t *relay)
{
	accounts_init_(relay);
	cb_http1_exchange_set_keeper(relay->exchange, &keeper);
}

/* Closes the request's accounts. */
void cb_relay_memory_clear(cb_relay_t *relay)
{
	cb_memory_account_set(&relay->own_account, 0);
	cb_memory_account_set(&relay->answer_account, 0);
	cb_memory_account_set(&relay->event_account, 0);
}

/* Counts what is kept of the answer: its body, and incomplete events. */
void cb_relay_memory_update(cb_relay_t *relay)
{
	size_t event_bytes = cb_relay_standby_event_bytes(relay);

	cb_memory_account_array(&relay->answer_account, &relay->buffered_body);
	if (relay->splitter.partial)
		event_bytes += relay->splitter.partial->len;
	if (event_bytes)
		cb_memory_account_grow(&relay->event_account, event_bytes);
	else
		cb_memory_account_set(&relay->event_account, 0);
}

/*
 * Returns up to which size an answer is kept until it is complete.  A larger one is
 * forwarded as it comes, so that its server can be made to wait for its caller.
 */
size_t cb_relay_memory_buffered_max(const cb_relay_t *relay, size_t usual_bytes)
{
	return cb_memory_bound_is_tight(relay->front->memory) ?
		       MIN(usual_bytes, TIGHT_BUFFERED_BYTES) :
		       usual_bytes;
}

/* Stops reading the answer if memory is tight and the caller lags. */
void cb_relay_memory_check_caller(cb_relay_t *relay)
{
	if (!relay->call || relay->is_call_paused || !relay->is_answer_begun ||
	    !cb_memory_bound_is_tight(relay->front->memory) ||
	    cb_http1_exchange_unsent_bytes(relay->exchange) <=
		    TIGHT_UNSENT_BYTES)
		return;
	relay->is_call_paused = TRUE;
	cb_http1_call_set_paused(relay->call, TRUE);
	cb_memory_bound_count(relay->front->memory, "reading");
}
