#ifndef PRIVATE_HTTP_EXCHANGE_H
#define PRIVATE_HTTP_EXCHANGE_H

#include <libsoup/soup.h>

#include "currantbridge/engine_client.h"

/*
 * One HTTP request to a backend server, answered as lines or as a whole.
 * It ends with one call of `done`, unless it is cancelled before.
 */
typedef struct cb_http_client cb_http_client_t;

typedef enum cb_http_connection {
	CB_HTTP_CONNECTION_REUSED, /* an idle one, if there is any */
	CB_HTTP_CONNECTION_FRESH,
} cb_http_connection_t;

typedef struct cb_http_order {
	const char *method;
	const char *address; /* "IP:PORT" */
	const char *path;
	const char *content_type; /* NULL: no body */
	GBytes *body;
	cb_http_connection_t connection;
} cb_http_order_t;

typedef struct cb_http_answer {
	uint32_t status;
	const char *content_type;
	GBytes *body;
} cb_http_answer_t;

typedef struct cb_http_listener {
	/*
	 * Each line of a 200 answer, without its end; NULL: the body is
	 * gathered instead.  Returns FALSE to end the exchange as a mismatch.
	 */
	gboolean (*line)(void *user_data, const char *line, size_t size_bytes);
	/* `answer` is set if `failure` is NONE. */
	void (*done)(void *user_data, cb_failure_t failure,
		     const cb_http_answer_t *answer);
	void *user_data;
	GDestroyNotify user_data_free;
} cb_http_listener_t;

/* Called before and after the lines of one read are handed out. */
typedef struct cb_http_turn {
	void (*begin)(void *user_data);
	void (*end)(void *user_data);
	void *user_data;
} cb_http_turn_t;

cb_http_client_t *cb_http_client_new(const cb_http_turn_t *turn);
/* Has an exchange end that nothing moves for so many seconds. */
void cb_http_client_limit_silence(cb_http_client_t *client,
				  unsigned int seconds);
void cb_http_client_delete(cb_http_client_t *client);

cb_exchange_t *cb_http_exchange_start(cb_http_client_t *client,
				      const cb_http_order_t *order,
				      const cb_http_listener_t *listener);
SoupMessageHeaders *cb_http_exchange_headers(cb_exchange_t *exchange);
void cb_http_exchange_continue(cb_exchange_t *exchange,
			       const cb_http_order_t *order,
			       const cb_http_listener_t *listener);
void *cb_http_exchange_user_data(cb_exchange_t *exchange);
void cb_http_exchange_cancel(cb_exchange_t *exchange);

#endif
