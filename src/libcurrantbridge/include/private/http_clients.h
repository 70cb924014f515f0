#ifndef PRIVATE_HTTP_CLIENTS_H
#define PRIVATE_HTTP_CLIENTS_H

#include "currantbridge/engine_client.h"
#include "currantbridge/service_client.h"

/* The clients of backend servers over HTTP; see docs/BACKEND.md. */
cb_engine_client_t *cb_http_engine_client_new(GMainContext *context);
void cb_http_engine_client_delete(cb_engine_client_t *client);
cb_service_client_t *cb_http_service_client_new(GMainContext *context);
void cb_http_service_client_delete(cb_service_client_t *client);

#endif
