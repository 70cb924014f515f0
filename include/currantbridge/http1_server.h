#ifndef CURRANTBRIDGE_HTTP1_SERVER_H
#define CURRANTBRIDGE_HTTP1_SERVER_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/memory_bound.h"

/*
 * An HTTP/1.1 server that leaves the contents of requests and answers
 * unchanged.  Each connection serves one request at a time; pipelined requests
 * wait until it is answered.
 */
typedef struct cb_http1_server cb_http1_server_t;
/* A request and its answer; freed when the answer has ended. */
typedef struct cb_http1_exchange cb_http1_exchange_t;
struct cb_http1_head;

typedef struct cb_http1_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	/* Time limit from the first to the last byte of a head. */
	int64_t header_timeout_ms;
	/*
	 * Time without received data, between requests or within a body, after
	 * which the connection is closed.
	 */
	int64_t idle_timeout_ms;
} cb_http1_limits_t;

/* Called with each complete request, to be answered now or later. */
typedef void (*cb_http1_request_fn_t)(cb_http1_exchange_t *exchange,
				      void *user_data);
/*
 * Called when the caller has closed the connection or was disconnected; the
 * exchange must not be used afterwards.
 */
typedef void (*cb_http1_disconnect_fn_t)(void *user_data);

/*
 * Called when there was no descriptor for an arriving connection, after the
 * server has closed `evicted` idle connections for it.  Returns whether it has
 * made room itself.
 */
typedef gboolean (*cb_http1_exhausted_fn_t)(unsigned int evicted,
					    void *user_data);
/* What the server asks of the owner of an exchange, for its bound on memory. */
typedef struct cb_http1_keeper {
	/* Called when the caller has read all of the answer so far. */
	void (*emptied)(void *user_data);
	/* Stops reading what the caller does not take, if that is much. */
	void (*stop_reading)(void *user_data);
	/* Returns the bytes that the owner keeps for the exchange. */
	size_t (*kept_bytes)(void *user_data);
	/* Breaks off the answer or its attempt, and frees what was kept. */
	void (*give_way)(void *user_data);
} cb_http1_keeper_t;

cb_http1_server_t *cb_http1_server_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters,
				       cb_http1_request_fn_t request,
				       void *user_data);
void cb_http1_server_delete(cb_http1_server_t *server);
gboolean cb_http1_server_listen(cb_http1_server_t *server, const char *address,
				GError **error);
uint16_t cb_http1_server_port(const cb_http1_server_t *server);
void cb_http1_server_set_limits(cb_http1_server_t *server,
				const cb_http1_limits_t *limits);
void cb_http1_server_limit_batch(cb_http1_server_t *server, int max_sockets);
void cb_http1_server_drain(cb_http1_server_t *server);
/* Called when the process lacks resources for a connection to a server. */
gboolean cb_http1_server_make_room(cb_http1_server_t *server);
/* Refuses callers for whom there is no descriptor; called before it listens. */
void cb_http1_server_refuse_queued(cb_http1_server_t *server);
/*
 * Counts what the server keeps in a bound, which must outlive it, and has it give
 * way; called before it listens.
 */
void cb_http1_server_set_bound(cb_http1_server_t *server,
			       cb_memory_bound_t *bound);
unsigned int cb_http1_server_count_requests(const cb_http1_server_t *server);
void cb_http1_server_on_exhausted(cb_http1_server_t *server,
				  cb_http1_exhausted_fn_t exhausted);
unsigned int cb_http1_server_count_connections(const cb_http1_server_t *server);

const struct cb_http1_head *cb_http1_exchange_head(
	const cb_http1_exchange_t *exchange);
const GByteArray *cb_http1_exchange_body(const cb_http1_exchange_t *exchange);
int64_t cb_http1_exchange_arrived_ms(const cb_http1_exchange_t *exchange);
void cb_http1_exchange_set_disconnect_fn(cb_http1_exchange_t *exchange,
					 cb_http1_disconnect_fn_t disconnected,
					 void *user_data);
/* Sets the keeper, which must outlive the exchange and gets the same `user_data`. */
void cb_http1_exchange_set_keeper(cb_http1_exchange_t *exchange,
				  const cb_http1_keeper_t *keeper);
/* Returns the bytes of the answer that the caller's connection has not taken. */
size_t cb_http1_exchange_unsent_bytes(const cb_http1_exchange_t *exchange);

/*
 * `headers` consists of complete header lines, each with its CRLF, without the
 * framing headers; NULL: none.  All of these functions except begin and write
 * end the answer and free the exchange.
 */
void cb_http1_exchange_reply(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers, const void *body,
			     size_t size);
void cb_http1_exchange_reply_json(cb_http1_exchange_t *exchange,
				  uint32_t status, const char *text);
void cb_http1_exchange_begin(cb_http1_exchange_t *exchange, uint32_t status,
			     const char *headers);
void cb_http1_exchange_write(cb_http1_exchange_t *exchange, const void *data,
			     size_t size);
void cb_http1_exchange_end(cb_http1_exchange_t *exchange);
/* Resets the connection, so that the caller sees an incomplete answer. */
void cb_http1_exchange_abort(cb_http1_exchange_t *exchange);

const char *cb_http1_status_text(uint32_t status);

#endif
