#ifndef PRIVATE_LINK_H
#define PRIVATE_LINK_H

#include "currantbridge/counters.h"
#include "currantbridge/network.h"
#include "private/link_message.h"

/*
 * A link carries messages between two processes over one connection.  Each
 * side first sends a hello, then heartbeats; a link on which nothing is
 * received for `silence_ms` is closed.  A message that is too large for one
 * frame is sent in several.
 *
 * The side that connects offers a protocol version.  The side that accepts
 * waits for it and answers with the same version, or, if it does not speak that
 * one, with the nearest that it speaks, and closes the link.  The connecting side
 * can then offer cb_link_lower_protocol() on a new connection.
 */
typedef struct cb_link cb_link_t;

/* The largest encoded message. */
#define CB_LINK_MESSAGE_MAX_BYTES (64 * 1024 * 1024)

/* Callbacks of a link; each of them may delete the link. */
typedef struct cb_link_handler {
	/* Called when the peer's hello, `remote`, has been received. */
	void (*ready)(void *user_data, const cb_hello_t *remote);
	/* Called for each message but hello, heartbeat and goodbye. */
	void (*received)(void *user_data, const cb_link_message_t *message);
	/* Called at most once, as the last callback. */
	void (*closed)(void *user_data, cb_close_reason_t reason);
} cb_link_handler_t;

typedef struct cb_link_options {
	/* Hello that is sent to the peer; the link copies it. */
	const cb_hello_t *hello;
	/* The peer opened the connection. */
	gboolean is_accepted;
	/* Version that a connecting side offers; 0: CB_PROTOCOL_VERSION. */
	uint64_t protocol;
	int64_t heartbeat_ms; /* heartbeat interval when nothing is sent */
	/* Receive timeout of the link, also for connecting. */
	int64_t silence_ms;
	/* Counters of bytes in frames and their length fields; may be NULL. */
	cb_counter_t *sent_counter;
	cb_counter_t *received_counter;
} cb_link_options_t;

void cb_link_options_set_counters(cb_link_options_t *options,
				  cb_counters_t *counters);
cb_link_t *cb_link_new(cb_clock_t *clock, cb_connection_t *connection,
		       const cb_link_options_t *options,
		       const cb_link_handler_t *handler, void *user_data);
void cb_link_delete(cb_link_t *link);
void cb_link_send(cb_link_t *link, const cb_link_message_t *message);
void cb_link_send_encoded(cb_link_t *link, GBytes *message);
void cb_link_goodbye(cb_link_t *link, cb_close_reason_t reason);
gboolean cb_link_is_ready(const cb_link_t *link);
const cb_hello_t *cb_link_remote_hello(const cb_link_t *link);
int64_t cb_link_last_received_ms(const cb_link_t *link);
uint64_t cb_link_protocol(const cb_link_t *link);
uint64_t cb_link_lower_protocol(const cb_link_t *link);

/* Exponential backoff with jitter: the delay doubles up to a maximum. */
typedef struct cb_backoff {
	GRand *random; /* source of the jitter, not owned */
	int64_t initial_ms;
	int64_t max_ms;
	int64_t next_ms; /* upper bound of the next delay */
} cb_backoff_t;

void cb_backoff_init(cb_backoff_t *backoff, GRand *random, int64_t initial_ms,
		     int64_t max_ms);
int64_t cb_backoff_next_ms(cb_backoff_t *backoff);
void cb_backoff_reset(cb_backoff_t *backoff);

#endif
