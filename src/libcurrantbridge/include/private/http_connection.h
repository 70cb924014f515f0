#ifndef PRIVATE_HTTP_CONNECTION_H
#define PRIVATE_HTTP_CONNECTION_H

#include <gio/gio.h>

#include "currantbridge/clock.h"

/*
 * One accepted TCP connection, as the stream that libsoup reads and writes.
 * All writes of one iteration of the main loop are sent together, the bytes
 * queued for a peer that does not read are limited, and a connection is
 * closed only after the peer has had time to read the last answer.
 */
typedef struct cb_connection cb_connection_t;
/* State that all connections of one HTTP server share. */
typedef struct cb_connection_pool cb_connection_pool_t;

typedef void (*cb_connection_fn_t)(void *user_data);

cb_connection_pool_t *cb_connection_pool_new(GMainContext *context,
					     cb_clock_t *clock);
void cb_connection_pool_delete(cb_connection_pool_t *pool);
void cb_connection_pool_batch_begin(cb_connection_pool_t *pool);
void cb_connection_pool_batch_end(cb_connection_pool_t *pool);
void cb_connection_pool_notify_idle(cb_connection_pool_t *pool,
				    cb_connection_fn_t on_idle,
				    void *user_data);

cb_connection_t *cb_connection_new(cb_connection_pool_t *pool, GSocket *socket);
GIOStream *cb_connection_stream(cb_connection_t *connection);
void cb_connection_reset_counts(cb_connection_t *connection);
uint64_t cb_connection_request_bytes(const cb_connection_t *connection);
uint64_t cb_connection_answer_bytes(const cb_connection_t *connection);
uint64_t cb_connection_unsent_bytes(const cb_connection_t *connection);
void cb_connection_stop_reading(cb_connection_t *connection);
void cb_connection_watch(cb_connection_t *connection,
			 cb_connection_fn_t on_close, void *user_data);
void cb_connection_unwatch(cb_connection_t *connection);
void cb_connection_send(cb_connection_t *connection, const char *data,
			size_t size_bytes);
void cb_connection_flush(cb_connection_t *connection);
void cb_connection_send_chunk(cb_connection_t *connection, const char *data,
			      size_t size_bytes);
void cb_connection_abort(cb_connection_t *connection);

#endif
