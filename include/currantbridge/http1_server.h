#ifndef CURRANTBRIDGE_HTTP1_SERVER_H
#define CURRANTBRIDGE_HTTP1_SERVER_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"

/*
 * An HTTP/1.1 server that passes bytes on as they are.  Each connection
 * serves one request at a time; requests that were sent ahead wait.
 */
typedef struct cb_http1_server cb_http1_server_t;
/* One request with its answer; it lives until the answer has ended. */
typedef struct cb_http1_exchange cb_http1_exchange_t;
struct cb_http1_head;

typedef struct cb_http1_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_ms; /* from a head's first byte to its last */
	int64_t idle_timeout_ms;   /* between requests, and within a body */
} cb_http1_limits_t;

/* A whole request has come; it is answered now or later. */
typedef void (*cb_http1_request_fn_t)(cb_http1_exchange_t *exchange,
				      void *user_data);
/* The caller has closed; the exchange must not be used after this. */
typedef void (*cb_http1_gone_fn_t)(void *user_data);

cb_http1_server_t *cb_http1_server_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters,
				       cb_http1_request_fn_t request,
				       void *user_data);
void cb_http1_server_delete(cb_http1_server_t *server);
gboolean cb_http1_server_listen(cb_http1_server_t *server, const char *address,
				GError **error);
uint16_t cb_http1_server_port(const cb_http1_server_t *server);
void cb_http1_server_limit(cb_http1_server_t *server,
			   const cb_http1_limits_t *limits);
/* From now on answers close their connections. */
void cb_http1_server_drain(cb_http1_server_t *server);
/* How many requests are being read or answered. */
unsigned int cb_http1_server_open(const cb_http1_server_t *server);

const struct cb_http1_head *cb_http1_exchange_head(
	const cb_http1_exchange_t *exchange);
const GByteArray *cb_http1_exchange_body(const cb_http1_exchange_t *exchange);
int64_t cb_http1_exchange_arrived_ms(const cb_http1_exchange_t *exchange);
void cb_http1_exchange_own(cb_http1_exchange_t *exchange,
			   cb_http1_gone_fn_t gone, void *user_data);

/*
 * `headers` are whole lines, each with its CRLF, without the framing; NULL:
 * none.  The answer ends with these calls, but for begin and write.
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
/* Breaks the connection off, so that the answer does not look complete. */
void cb_http1_exchange_abort(cb_http1_exchange_t *exchange);

const char *cb_http1_status_text(uint32_t status);

#endif
