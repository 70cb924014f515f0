#ifndef CURRANTBRIDGE_ENGINE_CLIENT_H
#define CURRANTBRIDGE_ENGINE_CLIENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/server.h"

/*
 * Interface through which requests are sent to model engines.  The daemon
 * implements it over HTTP (see docs/BACKEND.md), tests by fake engines.
 */
typedef struct cb_engine_client cb_engine_client_t;
/* An exchange in flight; it ends with one call of `done` or by `cancel`. */
typedef struct cb_exchange cb_exchange_t;

typedef enum cb_failure {
	CB_FAILURE_NONE,
	/* no connection was established: the request was not run */
	CB_FAILURE_CONNECT,
	/*
	 * This process lacked a descriptor, port or memory for a connection: the
	 * request was not run, and nothing shows of the server.
	 */
	CB_FAILURE_NO_RESOURCES,
	/* the server answered that it did not run the request */
	CB_FAILURE_REFUSED,
	CB_FAILURE_FENCED, /* the server has seen a newer fencing number */
	/* the engine has no such session: the request was not run */
	CB_FAILURE_NO_CONTEXT,
	CB_FAILURE_LOST, /* the connection ended after bytes were sent */
	/* the server made no progress within the deadline */
	CB_FAILURE_SILENT,
	CB_FAILURE_MISMATCH, /* the answer belongs to another exchange */
	CB_FAILURE_COUNT
} cb_failure_t;

extern const char *const cb_failure_string[CB_FAILURE_COUNT];

/* Whether the failure leaves open if the server ran the request. */
gboolean cb_failure_is_unknown(cb_failure_t failure);

/* A generation order for the engine that holds a layer range. */
typedef struct cb_engine_order {
	const char *request;
	uint64_t epoch;
	uint64_t fencing;
	int64_t priority;
	const char *model;
	uint32_t first_layer;
	uint32_t last_layer;
	const char *prompt;
	/* Texts of the tokens already delivered to the caller, in order. */
	const char *const *delivered;
	uint64_t delivered_count;
	/* maximum length of the answer, including delivered tokens */
	uint64_t max_tokens;
} cb_engine_order_t;

/* One step: runs one token through one layer range. */
typedef struct cb_engine_step {
	const char *request;
	uint64_t epoch;
	uint64_t token;
	uint32_t first_layer;
	uint32_t last_layer;
	/* Hidden state from the previous stage; NULL for the first stage. */
	const char *hidden;
	/*
	 * For the first stage: text of the previous token; NULL at the first
	 * step of an epoch.
	 */
	const char *previous;
} cb_engine_step_t;

typedef struct cb_engine_token {
	const char *request;
	uint64_t epoch;
	uint64_t token;
	uint32_t first_layer;
	uint32_t last_layer;
	const char *hidden; /* hidden state; NULL from the last stage */
	/* text of the token; NULL from a stage that is not the last */
	const char *text;
	gboolean is_last;
} cb_engine_token_t;

typedef struct cb_engine_listener {
	/* Receives a token of a stream or the result of a step. */
	void (*token)(void *user_data, const cb_engine_token_t *token);
	/* Called when the exchange has ended; NONE means that it completed. */
	void (*done)(void *user_data, cb_failure_t failure);
	void *user_data;
} cb_engine_listener_t;

/*
 * None of these functions calls its listener before it returns, and each
 * copies the strings that it needs later.  `cancel` and `drop` may be called
 * from a listener's functions.  After `done` the exchange must not be used.
 */
typedef struct cb_engine_client_vtable {
	/* Streams all tokens up to the last from an engine with all layers. */
	cb_exchange_t *(*stream)(cb_engine_client_t *client,
				 cb_server_t *server,
				 const cb_engine_order_t *order,
				 const cb_engine_listener_t *listener);
	/* Opens a session on one stage: prefills prompt and delivered texts. */
	cb_exchange_t *(*open)(cb_engine_client_t *client, cb_server_t *server,
			       const cb_engine_order_t *order,
			       const cb_engine_listener_t *listener);
	cb_exchange_t *(*step)(cb_engine_client_t *client, cb_server_t *server,
			       const cb_engine_step_t *step,
			       const cb_engine_listener_t *listener);
	/*
	 * Moves a session's KV cache to another server with the same layer
	 * range, so that `order` can continue there without a prefill.
	 */
	cb_exchange_t *(*move)(cb_engine_client_t *client, cb_server_t *from,
			       cb_server_t *to, const cb_engine_order_t *order,
			       const cb_engine_listener_t *listener);
	/* Checks on a new connection whether the server is alive. */
	cb_exchange_t *(*probe)(cb_engine_client_t *client, cb_server_t *server,
				const cb_engine_listener_t *listener);
	/* Requests that the server discard the session; has no listener. */
	void (*drop)(cb_engine_client_t *client, cb_server_t *server,
		     const char *request, uint64_t epoch);
	/* Ends an exchange without calling `done`; closes its connection. */
	void (*cancel)(cb_engine_client_t *client, cb_exchange_t *exchange);
} cb_engine_client_vtable_t;

struct cb_engine_client {
	const cb_engine_client_vtable_t *vtable;
};

#endif
