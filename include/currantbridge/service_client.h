#ifndef CURRANTBRIDGE_SERVICE_CLIENT_H
#define CURRANTBRIDGE_SERVICE_CLIENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/engine_client.h"

/*
 * Sends calls to services that are not models: over HTTP, or to fakes in tests.
 */
typedef struct cb_service_client cb_service_client_t;

typedef struct cb_service_request {
	const char *request; /* the request ID */
	const char *method;
	/* path of the call with its query string, as sent to the service */
	const char *path;
	const char *content_type;
	GBytes *body;
	const char *key;  /* idempotency key, or NULL if the call has none */
	uint64_t fencing; /* fencing number of the call; 0: the call has none */
} cb_service_request_t;

typedef struct cb_service_answer {
	uint32_t status;
	char *content_type;
	GBytes *body;
} cb_service_answer_t;

typedef struct cb_service_listener {
	/*
	 * Called once.  `answer` is set if `failure` is NONE, and is valid
	 * during the call only.
	 */
	void (*done)(void *user_data, cb_failure_t failure,
		     const cb_service_answer_t *answer);
	void *user_data;
} cb_service_listener_t;

typedef enum cb_fence_result {
	/*
	 * The call was not run; the server refuses lower fencing numbers from
	 * now on.
	 */
	CB_FENCE_NOT_EXECUTED,
	CB_FENCE_EXECUTED,
	/* the server did not answer or does not check fencing */
	CB_FENCE_UNKNOWN,
	CB_FENCE_RESULT_COUNT
} cb_fence_result_t;

typedef struct cb_fence_listener {
	/* Called once; `answer` is set if `result` is EXECUTED. */
	void (*done)(void *user_data, cb_fence_result_t result,
		     const cb_service_answer_t *answer);
	void *user_data;
} cb_fence_listener_t;

/*
 * The functions call the listener only after they have returned, and copy the
 * strings that they need later.  A client never repeats a request by itself,
 * not even on another connection.
 */
typedef struct cb_service_client_vtable {
	cb_exchange_t *(*send)(cb_service_client_t *client, cb_server_t *server,
			       const cb_service_request_t *request,
			       const cb_service_listener_t *listener);
	/*
	 * Queries a server that checks fencing whether it has run the call with
	 * `key`, and makes it refuse lower fencing numbers for that key.
	 */
	cb_exchange_t *(*fence)(cb_service_client_t *client,
				cb_server_t *server, const char *key,
				uint64_t fencing,
				const cb_fence_listener_t *listener);
	void (*cancel)(cb_service_client_t *client, cb_exchange_t *exchange);
} cb_service_client_vtable_t;

struct cb_service_client {
	const cb_service_client_vtable_t *vtable;
};

#endif
