#ifndef PRIVATE_STREAM_H
#define PRIVATE_STREAM_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/memory_bound.h"
#include "private/poller.h"

/* A TCP connection that carries plain bytes, and a listening TCP port. */
typedef struct cb_stream cb_stream_t;
typedef struct cb_stream_listener cb_stream_listener_t;

typedef enum cb_stream_end {
	CB_STREAM_END_CLOSED,  /* the peer has shut down its sending side */
	CB_STREAM_END_REFUSED, /* the connection could not be established */
	CB_STREAM_END_RESET,   /* the connection was reset or timed out */
} cb_stream_end_t;

/* Callbacks of a stream; each of them may delete the stream. */
typedef struct cb_stream_handler {
	/* Called when cb_stream_connect() has succeeded; may be NULL. */
	void (*opened)(void *user_data);
	/* Called with received bytes; `data` is valid only during the call. */
	void (*received)(void *user_data, const uint8_t *data, size_t size);
	/* Called at most once; after CLOSED, sending is still possible. */
	void (*ended)(void *user_data, cb_stream_end_t end);
	/* Called when the send queue has become empty; may be NULL. */
	void (*emptied)(void *user_data);
} cb_stream_handler_t;

/* Receives ownership of `fd`, the socket of an accepted connection. */
typedef void (*cb_stream_accept_fn_t)(int fd, void *user_data);
/* Called when a connection could not be accepted for lack of resources. */
typedef void (*cb_stream_exhausted_fn_t)(void *user_data);

/*
 * Returns whether an errno of cb_stream_connect() tells that this process or machine
 * lacks descriptors, ports or memory.
 */
gboolean cb_stream_is_exhaustion(int code);
cb_stream_t *cb_stream_connect(cb_poller_t *poller, const char *address,
			       const cb_stream_handler_t *handler,
			       void *user_data);
cb_stream_t *cb_stream_new(cb_poller_t *poller, int fd,
			   const cb_stream_handler_t *handler, void *user_data);
void cb_stream_delete(cb_stream_t *stream);
void cb_stream_set_reset(cb_stream_t *stream);
void cb_stream_reset(cb_stream_t *stream);
void cb_stream_send(cb_stream_t *stream, const void *data, size_t size);
void cb_stream_shutdown_send(cb_stream_t *stream);
void cb_stream_set_paused(cb_stream_t *stream, gboolean is_paused);
size_t cb_stream_unsent_bytes(const cb_stream_t *stream);
/* Returns whether bytes or an end have arrived that were not received yet. */
gboolean cb_stream_has_input(const cb_stream_t *stream);
/* Counts the send queue, and the socket while it is paused; `bound` may be NULL. */
void cb_stream_set_bound(cb_stream_t *stream, cb_memory_bound_t *bound,
			 cb_memory_kind_t kind);
/* Returns the bytes that the stream keeps, as its bound counts them. */
size_t cb_stream_kept_bytes(const cb_stream_t *stream);

cb_stream_listener_t *cb_stream_listen(cb_poller_t *poller, const char *address,
				       cb_stream_accept_fn_t accept,
				       void *user_data, GError **error);
void cb_stream_listener_on_exhausted(cb_stream_listener_t *listener,
				     cb_stream_exhausted_fn_t exhausted);
void cb_stream_listener_set_paused(cb_stream_listener_t *listener,
				   gboolean is_paused);
/* Accepts one connection at once; FALSE if that is not possible. */
gboolean cb_stream_listener_accept(cb_stream_listener_t *listener);
/* Returns how many connections wait to be accepted; 0 if that is unknown. */
unsigned int cb_stream_listener_queued(const cb_stream_listener_t *listener);
void cb_stream_unlisten(cb_stream_listener_t *listener);
uint16_t cb_stream_listener_port(const cb_stream_listener_t *listener);

#endif
