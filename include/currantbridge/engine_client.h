#ifndef CURRANTBRIDGE_ENGINE_CLIENT_H
#define CURRANTBRIDGE_ENGINE_CLIENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/server.h"

/*
 * How orders reach a model engine.  The daemon binds this to HTTP (see
 * docs/BACKEND.md), tests bind it to fakes.
 */
typedef struct cb_engine_client cb_engine_client_t;
/* One exchange under way; it ends with one call of `done`, or by cancel. */
typedef struct cb_exchange cb_exchange_t;

typedef enum cb_failure {
	CB_FAILURE_NONE,
	CB_FAILURE_CONNECT,    /* no connection came about: surely not run */
	CB_FAILURE_REFUSED,    /* the server said that it did not run it */
	CB_FAILURE_FENCED,     /* the server has seen a newer fencing number */
	CB_FAILURE_NO_CONTEXT, /* the engine lost the session: surely not run */
	CB_FAILURE_LOST,       /* the connection ended after bytes were sent */
	CB_FAILURE_SILENT,     /* no progress within the deadline */
	CB_FAILURE_MISMATCH,   /* an answer to something else */
	CB_FAILURE_COUNT
} cb_failure_t;

extern const char *const cb_failure_string[CB_FAILURE_COUNT];

/* Whether the server may have run what was sent. */
gboolean cb_failure_is_unknown(cb_failure_t failure);

/* What is ordered from the engine that holds a layer range. */
typedef struct cb_engine_order {
	const char *request;
	uint64_t epoch;
	uint64_t fencing;
	int64_t priority;
	const char *model;
	uint32_t first_layer;
	uint32_t last_layer;
	const char *prompt;
	/* Texts of the tokens that the caller already has, in order. */
	const char *const *delivered;
	uint64_t delivered_count;
	uint64_t max_tokens; /* of the whole answer, delivered ones included */
} cb_engine_order_t;

/* One step: one token through one layer range. */
typedef struct cb_engine_step {
	const char *request;
	uint64_t epoch;
	uint64_t token;
	uint32_t first_layer;
	uint32_t last_layer;
	/* From the stage before; NULL at the first. */
	const char *hidden;
	/*
	 * For the first stage: the text of the token before, NULL at the
	 * first step of an epoch.
	 */
	const char *previous;
} cb_engine_step_t;

typedef struct cb_engine_token {
	const char *request;
	uint64_t epoch;
	uint64_t token;
	uint32_t first_layer;
	uint32_t last_layer;
	const char *hidden; /* NULL from the last stage */
	const char *text;   /* NULL from a stage that is not the last */
	gboolean is_last;
} cb_engine_token_t;

typedef struct cb_engine_listener {
	/* A token of a stream, or the result of a step. */
	void (*token)(void *user_data, const cb_engine_token_t *token);
	/* The exchange has ended, whole if `failure` is NONE. */
	void (*done)(void *user_data, cb_failure_t failure);
	void *user_data;
} cb_engine_listener_t;

/*
 * No call below calls its listener before it has returned, and each copies
 * the texts that it keeps.  `cancel` and `drop` may be called from within a
 * listener's functions; after `done` the exchange must not be used.
 */
typedef struct cb_engine_client_vtable {
	/* An engine with the whole model: tokens come until the last one. */
	cb_exchange_t *(*stream)(cb_engine_client_t *client,
				 cb_server_t *server,
				 const cb_engine_order_t *order,
				 const cb_engine_listener_t *listener);
	/* Opens a session on one stage: prefill of prompt and delivered. */
	cb_exchange_t *(*open)(cb_engine_client_t *client, cb_server_t *server,
			       const cb_engine_order_t *order,
			       const cb_engine_listener_t *listener);
	cb_exchange_t *(*step)(cb_engine_client_t *client, cb_server_t *server,
			       const cb_engine_step_t *step,
			       const cb_engine_listener_t *listener);
	/*
	 * Moves a session's KV cache to another server of the same range, so
	 * that `order` can go on there without a prefill.
	 */
	cb_exchange_t *(*move)(cb_engine_client_t *client, cb_server_t *from,
			       cb_server_t *to, const cb_engine_order_t *order,
			       const cb_engine_listener_t *listener);
	/* Asks the server, on a fresh connection, whether it lives. */
	cb_exchange_t *(*probe)(cb_engine_client_t *client, cb_server_t *server,
				const cb_engine_listener_t *listener);
	/* Tells the server to drop the request; nothing is reported. */
	void (*drop)(cb_engine_client_t *client, cb_server_t *server,
		     const char *request, uint64_t epoch);
	/* Ends an exchange without a call of `done`, closing its connection. */
	void (*cancel)(cb_engine_client_t *client, cb_exchange_t *exchange);
} cb_engine_client_vtable_t;

struct cb_engine_client {
	const cb_engine_client_vtable_t *vtable;
};

#endif
