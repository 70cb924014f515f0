#ifndef PRIVATE_RELAY_H
#define PRIVATE_RELAY_H

#include "private/event_pace.h"
#include "private/event_splitter.h"
#include "private/front.h"
#include "private/relay_content.h"

/* Result of an attempt whose engine or chain did not answer in time. */
#define CB_RELAY_SILENT "silent"
/* Result of an attempt that a server refused without saying that it did not run. */
#define CB_RELAY_UNPROVED "unproved_refusal"
/*
 * Result of an attempt of which nothing was heard since this instance lost its way
 * to the servers.
 */
#define CB_RELAY_CUT_OFF "cut_off"
/* The usual Retry-After of a request that did not run. */
#define CB_RELAY_RETRY_AFTER_MS 500
/* An answer that isn't forwarded is read up to this size. */
#define CB_RELAY_UNUSED_BODY_MAX_BYTES (1024 * 1024)
#define CB_RELAY_EVENT_MAX_BYTES (1024 * 1024)
/* How long an answer that has begun waits for a server that goes on with it. */
#define CB_RELAY_RESUME_WAIT_MAX_MS 1200

/*
 * One relayed request, from its arrival to the end of its answer.  See
 * docs/REQUESTS.md, "Relayed requests", for its states and outcomes.
 */
typedef struct cb_relay {
	cb_front_t *front;
	cb_http1_exchange_t *exchange; /* exchange with the caller */
	/* Configuration document by which the request is routed. */
	cb_document_t *document;
	/* Route of the request; NULL until it was routed. */
	const cb_route_t *route;
	/* Workspace of the access key; NULL if the key has none. */
	const char *workspace;
	const cb_service_profile_t *service;
	uint32_t rank; /* of the workspace and route; 0 is the most urgent */
	/* Whether it was decided that the service has room for the request. */
	gboolean is_admitted;
	cb_relay_request_info_t request_info;
	cb_relay_content_t content;
	int64_t deadline_ms;
	gboolean is_waiting; /* the request is in the front's queue */
	/* When the wait in the queue began; 0: this attempt did not wait. */
	int64_t wait_since_ms;
	cb_timer_t *deadline_timer;
	cb_timer_t *silence_timer; /* limits the wait for an event or answer */
	/*
	 * The attempts: one may be in flight, and others that were left may go on
	 * (private/relay_standby.h).
	 */
	cb_http1_call_t *call; /* the call in flight, or NULL */
	GPtrArray *standbys;   /* attempts that were left; or NULL */
	/* The standby attempt that is handled in place of the one in flight. */
	struct cb_relay_standby *standby_in_use;
	GArray *hops; /* chain of the attempt: cb_relay_hop_t */
	/* Tokens that the request will use, from cb_relay_estimate_tokens(). */
	double expected_tokens;
	/* IDs of the servers where the request failed. */
	GHashTable *tried_servers;
	/* Content-Type of the answer that the caller gets; NULL: it has none. */
	char *stream_type;
	/* IDs (uint64_t) of the connections that carried the request. */
	GArray *used_connections;
	unsigned int send_count;
	/* The group of the attempt's first server, and when it last said something. */
	cb_reach_group_t *way_group;
	int64_t heard_ms;
	/*
	 * The instance that the attempt in flight was forwarded to, or NULL; what
	 * it says of it, and how often the request was forwarded.
	 */
	char *forwarded_to;
	cb_forward_outcome_t forward_outcome;
	unsigned int forward_count;
	/*
	 * The instance that has forwarded the request here, NULL: a caller sent
	 * it; the version of the document by which that routed it, and the runs
	 * that it has made of it, which `run_count` includes.
	 */
	char *forwarded_from;
	int64_t forwarded_version;
	unsigned int forwarded_runs;
	/* The forwarding instance reads the version by which it is handled here. */
	gboolean is_version_wanted;
	gboolean is_counted_as_forwarded; /* in the front's forwarded_count */
	/* When the next attempt may be sent; 0: at once. */
	int64_t next_send_ms;
	int64_t sent_ms;	     /* when the last attempt was sent */
	unsigned int reroute_count;  /* reroutes since the last event */
	gboolean is_report_pending;  /* waits for the first server's report */
	gboolean is_reroute_pending; /* waits for the answer to a reroute */
	int64_t reroute_sent_ms;     /* when the last reroute was sent */
	/* Chain before the reroute that is pending; NULL: none is. */
	GArray *former_hops;
	/*
	 * A server was left because it was silent, and may have been sound:
	 * that is no reason to end the request before its deadline.
	 */
	gboolean has_left_silent;
	/*
	 * What the attempt waited for in vain before it failed as silent, one
	 * of cb_silence_sign_string.  NULL: it has not.
	 */
	const char *awaited;
	unsigned int run_count; /* attempts that ran, or may have run */
	/* HTTP status of the server's answer; 0 before the answer. */
	uint32_t status;
	cb_http1_framing_t framing; /* of the server's answer, with `status` */
	gboolean is_event_stream;
	gboolean has_not_run; /* the server reported not running the request */
	/* Address of the failed server that the answer names, or NULL. */
	char *failed_address;
	/* Headers of the answer, to be sent to the caller. */
	GString *answer_headers;
	/* Bytes of the answer's body not sent to the caller yet. */
	GByteArray *buffered_body;
	/* What is kept of the answer, of an event, and for the request itself. */
	cb_memory_account_t answer_account;
	cb_memory_account_t event_account;
	cb_memory_account_t own_account;
	/* The answer is not read until the caller has read what was sent. */
	gboolean is_call_paused;
	/* Received bytes of an answer's body that is not forwarded. */
	uint64_t unused_body_bytes;
	cb_event_splitter_t splitter;
	/* The answer to the caller. */
	gboolean is_answer_begun;
	gboolean is_body_streamed; /* the body is too large to buffer */
	gboolean is_stream_resumed;
	/*
	 * Whether the next send of the request counts against the retry budget.
	 */
	gboolean is_next_send_retry;
	/* An event without an ID was sent: no server can resume after it. */
	gboolean has_unnumbered_event;
	/* ID of the last event sent to the caller; -1 before the first. */
	int64_t last_event;
	/* When the answer was begun, from the arrival; -1: not begun. */
	int64_t first_event_ms;
	cb_event_pace_t pace; /* times of the events sent to the caller */
} cb_relay_t;

int64_t cb_relay_now_ms(const cb_relay_t *relay);
int64_t cb_relay_elapsed_ms(const cb_relay_t *relay);
/* Whether the request may run more than once. */
gboolean cb_relay_is_repeatable(const cb_relay_t *relay);
/* Whether another server can go on with the answer to the request. */
gboolean cb_relay_is_resumable(const cb_relay_t *relay);
/* Adds 1 to the counter `name` with the label reason. */
void cb_relay_count_reason(cb_front_t *front, const char *name,
			   const char *reason);
/* Returns the chain as text, each hop with its layers; the caller frees it. */
char *cb_relay_format_hops(const cb_relay_t *relay);
/* Returns the hop at `address`, NULL: the first one; NULL if there is none. */
const cb_relay_hop_t *cb_relay_find_hop(const cb_relay_t *relay,
					const char *address);
/* Returns the framing of the server's answer; NULL: there is no answer yet. */
const char *cb_relay_framing_text(const cb_relay_t *relay);
/* Returns the bytes received of an event that is not complete yet. */
size_t cb_relay_unfinished_bytes(const cb_relay_t *relay);
/* Returns the time in ms since the last event, or since the attempt was sent. */
int64_t cb_relay_silent_ms(const cb_relay_t *relay);
/* Returns whether the attempt in flight has input that was not read yet. */
gboolean cb_relay_has_input(const cb_relay_t *relay);
/* Stops the timer and the calls that watch over the attempt in flight. */
void cb_relay_stop_watching(cb_relay_t *relay);
/* Cancels the attempt in flight, if any, also at its server. */
void cb_relay_cancel_attempt(cb_relay_t *relay);
/* Logs and counts how the request ends, while its exchange still exists. */
void cb_relay_record_end(cb_relay_t *relay, uint32_t status,
			 const char *reason);
/* Frees the request once its answer has ended. */
void cb_relay_free(cb_relay_t *relay);
/*
 * Ends the request with an error that reports whether it ran, or aborts the
 * answer if that has begun, and frees the request.
 */
void cb_relay_break_off(cb_relay_t *relay, const char *reason,
			int64_t retry_after_ms);
/*
 * Makes no other attempt, for `reason`: goes back to one that was left and may go
 * on, or breaks the request off.
 */
void cb_relay_give_up(cb_relay_t *relay, const char *reason,
		      int64_t retry_after_ms);

/*
 * Queues a request that can't be sent yet for up to `max_wait_ms`, and gives it up
 * for `reason` after that.
 */
void cb_relay_queue(cb_relay_t *relay, const char *reason, int64_t max_wait_ms,
		    int64_t retry_after_ms);

/* Functions for attempts at servers, in relay_attempt.c and relay.c. */
/* Resets what is known of the last attempt, as the next one is sent. */
void cb_relay_attempt_reset(cb_relay_t *relay);
void cb_relay_record_connection(cb_relay_t *relay);
/* Begins the handling of an answer that will be forwarded, by its head. */
void cb_relay_answer_begin_store(cb_relay_t *relay,
				 const cb_http1_head_t *head);
/* Handlers of calls to a server, and to another instance; with the relay. */
extern const cb_http1_call_handler_t cb_relay_server_handler;
extern const cb_http1_call_handler_t cb_relay_forward_handler;
/* Forwards the complete events of a part of a stream to the caller. */
void cb_relay_events_receive(cb_relay_t *relay, const uint8_t *data,
			     size_t size);
/* Whether a stream that has ended by its HTTP framing is whole. */
gboolean cb_relay_stream_is_whole(const cb_relay_t *relay);
/* Whether an attempt with this result failed before its request was sent. */
gboolean cb_relay_is_unsent(const char *result);
/* Records what a failed attempt shows of the server that it was sent to. */
void cb_relay_server_result_record(cb_relay_t *relay, const char *result,
				   gboolean has_run,
				   const char *failed_address);
/* Callbacks of the call in flight. */
void cb_relay_answer_data_receive(void *user_data, const uint8_t *data,
				  size_t size);
void cb_relay_call_end_handle(void *user_data, cb_http1_result_t result);
void cb_relay_attempt_start(cb_relay_t *relay);
void cb_relay_attempt_send(cb_relay_t *relay);
void cb_relay_attempt_failed(cb_relay_t *relay, const char *result,
			     gboolean has_run, const char *failed_address);
/*
 * Starts another attempt since the one in flight is silent, which may be due to the
 * server at `silent_address` (NULL: the first hop).  A stream's attempt stays open
 * until another one has brought an event.
 */
void cb_relay_attempt_leave(cb_relay_t *relay, const char *result,
			    const char *silent_address);
/*
 * Whether another attempt may follow, after `more_runs` further runs and with
 * at least `min_time_ms` left.
 */
gboolean cb_relay_may_retry(const cb_relay_t *relay, unsigned int more_runs,
			    int64_t min_time_ms);
double cb_relay_estimate_tokens(const cb_relay_t *relay);
/* Returns for how long a pooled connection may have been idle to be used. */
int64_t cb_relay_connection_idle_max_ms(const cb_relay_t *relay);

/* Functions for streams without events for too long, in relay_stall.c. */
/* Drops the chain that a pending reroute leaves, once it is not needed. */
void cb_relay_clear_former_hops(cb_relay_t *relay);
void cb_relay_start_silence_timer(cb_relay_t *relay);
/*
 * Returns whether the next part of the answer to the attempt in flight is overdue,
 * by the stream's own pace; only then may the attempt be left for what other
 * connections show.
 */
gboolean cb_relay_is_overdue(const cb_relay_t *relay);
void cb_relay_silence_timer_fired(void *user_data);

#endif
