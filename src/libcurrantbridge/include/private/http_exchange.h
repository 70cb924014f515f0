#ifndef PRIVATE_HTTP_EXCHANGE_H
#define PRIVATE_HTTP_EXCHANGE_H

#include <glib.h>

#include "currantbridge/clock.h"
#include "currantbridge/engine_client.h"
#include "currantbridge/http1_client.h"

/*
 * Client for HTTP requests to backend servers.  An exchange is one request
 * and its answer, which is delivered line by line or as a whole.  It ends
 * with one call of `done`, unless it is cancelled first.
 */
typedef struct cb_http_client cb_http_client_t;

typedef enum cb_http_connection {
	/* Use an idle connection if there is one, else a new connection. */
	CB_HTTP_CONNECTION_REUSED,
	CB_HTTP_CONNECTION_NEW, /* use a new connection in any case */
} cb_http_connection_t;

typedef struct cb_http_request {
	const char *method;
	const char *address; /* "IP:PORT" of the backend server */
	const char *path;
	const char *content_type;  /* media type of `body` */
	GBytes *body;		   /* body of the request; NULL: no body */
	const char *authorization; /* value of Authorization; NULL: none */
	cb_http_connection_t connection;
} cb_http_request_t;

typedef struct cb_http_answer {
	uint32_t status;
	/* Value of Content-Type; NULL if the header is missing. */
	const char *content_type;
	/* Body of the answer without the lines already delivered. */
	GBytes *body;
} cb_http_answer_t;

typedef struct cb_http_listener {
	/*
	 * Called with each non-empty line of a 200 answer, without its newline.
	 * Returns FALSE to end the exchange with CB_FAILURE_MISMATCH.  NULL:
	 * the body is collected and given to `done`.
	 */
	gboolean (*line)(void *user_data, const char *line, size_t size_bytes);
	/* `answer` is NULL unless `failure` is CB_FAILURE_NONE. */
	void (*done)(void *user_data, cb_failure_t failure,
		     const cb_http_answer_t *answer);
	void *user_data;
	GDestroyNotify user_data_free;
} cb_http_listener_t;

/* Called before and after the lines of one read are delivered. */
typedef struct cb_http_read_hooks {
	void (*begin)(void *user_data);
	void (*end)(void *user_data);
	void *user_data;
} cb_http_read_hooks_t;

/* Returns the failure of a call that has ended with a result. */
cb_failure_t cb_http_failure(cb_http1_result_t result);

cb_http_client_t *cb_http_client_new(GMainContext *context, cb_clock_t *clock,
				     const cb_http_read_hooks_t *read_hooks);
/* An exchange that receives nothing for `timeout_ms` fails.  0: no timeout. */
void cb_http_client_set_io_timeout(cb_http_client_t *client,
				   int64_t timeout_ms);
void cb_http_client_delete(cb_http_client_t *client);

cb_exchange_t *cb_http_exchange_start(cb_http_client_t *client,
				      const cb_http_request_t *request,
				      const cb_http_listener_t *listener);
void cb_http_exchange_continue(cb_exchange_t *exchange,
			       const cb_http_request_t *request,
			       const cb_http_listener_t *listener);
void *cb_http_exchange_user_data(cb_exchange_t *exchange);
void cb_http_exchange_cancel(cb_exchange_t *exchange);

#endif
