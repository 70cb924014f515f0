#ifndef PRIVATE_HTTP_CLIENTS_H
#define PRIVATE_HTTP_CLIENTS_H

#include "currantbridge/clock.h"
#include "currantbridge/engine_client.h"
#include "currantbridge/service_client.h"
#include "private/http_exchange.h"

/* HTTP clients of backend servers; the protocol is in docs/BACKEND.md. */
cb_engine_client_t *cb_http_engine_client_new(
	GMainContext *context, cb_clock_t *clock,
	const cb_http_read_hooks_t *read_hooks);
void cb_http_engine_client_delete(cb_engine_client_t *client);
cb_service_client_t *cb_http_service_client_new(GMainContext *context,
						cb_clock_t *clock);
void cb_http_service_client_delete(cb_service_client_t *client);

#endif
