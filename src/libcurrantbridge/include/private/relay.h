#ifndef PRIVATE_RELAY_H
#define PRIVATE_RELAY_H

#include "private/event_splitter.h"
#include "private/front.h"

/* When a caller whose request did not run is asked to come back, mostly. */
#define CB_RELAY_RETRY_MS 500

/*
 * One relayed request, from its arrival to the end of its answer.  See
 * docs/REQUESTS.md, "Relayed requests", for its states and outcomes.
 */
typedef struct cb_relay {
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
} cb_relay_t;

int64_t cb_relay_now_ms(const cb_relay_t *relay);
int64_t cb_relay_elapsed_ms(const cb_relay_t *relay);
/* Whether the request may run more than once. */
gboolean cb_relay_is_repeatable(const cb_relay_t *relay);
void cb_relay_count(cb_front_t *front, const char *name, const char *reason);
/* Returns the servers on the way with their layers, as text; free it. */
char *cb_relay_way(const cb_relay_t *relay);
/* Lets go of the attempt under way, which ends at its server. */
void cb_relay_drop_attempt(cb_relay_t *relay);
/* Records how the request ends, while its exchange is still there. */
void cb_relay_note_end(const cb_relay_t *relay, uint32_t status,
		       const char *reason);
/* After the answer: frees the request. */
void cb_relay_free(cb_relay_t *relay);
/* Ends the request at once, with what is known of its execution. */
void cb_relay_give_up(cb_relay_t *relay, const char *reason,
		      int64_t retry_after_ms);

/* An attempt at the servers chosen: relay_attempt.c. */
void cb_relay_attempt_start(cb_relay_t *relay);
void cb_relay_attempt_send(cb_relay_t *relay);
void cb_relay_attempt_failed(cb_relay_t *relay, const char *result,
			     gboolean has_run, const char *fault);
double cb_relay_tokens(const cb_relay_t *relay);

/* Streams that fall silent: relay_stall.c. */
void cb_relay_watch_silence(cb_relay_t *relay);
void cb_relay_silence_fired(void *user_data);

#endif
