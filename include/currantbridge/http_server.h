#ifndef CURRANTBRIDGE_HTTP_SERVER_H
#define CURRANTBRIDGE_HTTP_SERVER_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "currantbridge/kernel.h"

/*
 * The HTTP server of a daemon, a kernel service named "http".  It handles
 * /metrics and /healthz itself; other services add handlers for their paths.
 */
typedef struct cb_http_server cb_http_server_t;

/* What an error answer guarantees about the execution of the request. */
typedef enum cb_executed {
	CB_EXECUTED_NO,
	CB_EXECUTED_UNKNOWN,
	CB_EXECUTED_YES,
	CB_EXECUTED_COUNT
} cb_executed_t;

extern const char *const cb_executed_string[CB_EXECUTED_COUNT];

cb_http_server_t *cb_http_server_new(cb_kernel_t *kernel, const char *address);
SoupServer *cb_http_server_soup(cb_http_server_t *server);
void cb_http_server_limit_body(cb_http_server_t *server, int64_t size_bytes);
uint16_t cb_http_server_port(const cb_http_server_t *server);

void cb_http_reply_json(SoupServerMessage *message, unsigned int status,
			JsonNode *body);
void cb_http_reply_error(SoupServerMessage *message, unsigned int status,
			 const char *reason, const char *text,
			 cb_executed_t executed, int64_t retry_after_s);

#endif
