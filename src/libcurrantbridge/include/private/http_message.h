#ifndef PRIVATE_HTTP_MESSAGE_H
#define PRIVATE_HTTP_MESSAGE_H

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/http_server.h"
#include "private/http_connection.h"

/*
 * Checks requests while they are received.  An invalid, incomplete or slow
 * header and a body that is too large are answered with the JSON error and
 * counted before any handler is called.
 */
typedef struct cb_http_guard {
	cb_clock_t *clock;
	GMainContext *context;
	cb_counter_t *header_invalid;
	cb_counter_t *body_too_large;
	cb_counter_t *malformed;
	int64_t max_body_bytes; /* maximum size of a body; 0: no limit */
} cb_http_guard_t;

void cb_http_guard_attach(cb_http_guard_t *guard, SoupServer *soup);
void cb_connection_attach_to_address(cb_connection_t *connection,
				     GSocketAddress *remote);
cb_connection_pool_t *cb_http_server_pool(cb_http_server_t *server);
cb_connection_t *cb_message_connection(SoupServerMessage *message);

#endif
