#ifndef PRIVATE_LINK_H
#define PRIVATE_LINK_H

#include "currantbridge/counters.h"
#include "currantbridge/network.h"
#include "private/link_message.h"

/*
 * A link between two processes over one connection: each side says hello,
 * both send heartbeats, and a link that stays silent past its bound is
 * closed.  Messages over a frame's bound are sent in parts.
 */
typedef struct cb_link cb_link_t;

/* The largest message, in bytes. */
#define CB_LINK_MESSAGE_MAX_BYTES (64 * 1024 * 1024)

/* What a link tells its owner, who may delete it in any of them. */
typedef struct cb_link_handler {
	/* The other side's hello has come. */
	void (*ready)(void *user_data, const cb_hello_t *remote);
	void (*received)(void *user_data, const cb_link_message_t *message);
	/* Called at most once, and nothing after it. */
	void (*closed)(void *user_data, cb_close_reason_t reason);
} cb_link_handler_t;

typedef struct cb_link_options {
	const cb_hello_t *hello;
	int64_t heartbeat_ms;
	int64_t silence_ms;
	/* Bytes of frames with their lengths; either may be NULL. */
	cb_counter_t *sent_counter;
	cb_counter_t *received_counter;
} cb_link_options_t;

void cb_link_options_count(cb_link_options_t *options, cb_counters_t *counters);
cb_link_t *cb_link_new(cb_clock_t *clock, cb_connection_t *connection,
		       const cb_link_options_t *options,
		       const cb_link_handler_t *handler, void *user_data);
void cb_link_delete(cb_link_t *link);
void cb_link_send(cb_link_t *link, const cb_link_message_t *message);
void cb_link_goodbye(cb_link_t *link, cb_close_reason_t reason);
gboolean cb_link_is_ready(const cb_link_t *link);
const cb_hello_t *cb_link_remote(const cb_link_t *link);
int64_t cb_link_heard_ms(const cb_link_t *link);

/* Delays between attempts that double up to a bound, with jitter. */
typedef struct cb_backoff {
	GRand *random;
	int64_t first_ms;
	int64_t longest_ms;
	int64_t next_ms;
} cb_backoff_t;

void cb_backoff_init(cb_backoff_t *backoff, GRand *random, int64_t first_ms,
		     int64_t longest_ms);
int64_t cb_backoff_next_ms(cb_backoff_t *backoff);
void cb_backoff_reset(cb_backoff_t *backoff);

#endif
