#ifndef CURRANTBRIDGE_HTTP1_CLIENT_H
#define CURRANTBRIDGE_HTTP1_CLIENT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/memory_bound.h"

/*
 * An HTTP/1.1 client that keeps idle connections for reuse.  It never retries a
 * request: the caller decides on a retry by the result of the call.
 */
typedef struct cb_http1_client cb_http1_client_t;
typedef struct cb_http1_call cb_http1_call_t;
struct cb_http1_head;

/* How a call ended. */
typedef enum cb_http1_result {
	CB_HTTP1_COMPLETE,
	/* No byte of the request was sent: the request did not run. */
	CB_HTTP1_UNSENT,
	CB_HTTP1_LOST, /* no complete answer head: the request may have run */
	CB_HTTP1_TRUNCATED, /* the connection ended within the body */
	CB_HTTP1_MALFORMED, /* not a valid answer, or rejected by head() */
	/*
	 * This process has no descriptor, port or memory for a connection: says
	 * nothing about the server.  No byte of the request was sent.
	 */
	CB_HTTP1_NO_RESOURCES,
	CB_HTTP1_RESULT_COUNT
} cb_http1_result_t;

/* The name of each result, in lower case. */
extern const char *const cb_http1_result_string[CB_HTTP1_RESULT_COUNT];

/* The callbacks of a call, each of which may cancel it. */
typedef struct cb_http1_call_handler {
	/* The answer's head was received; FALSE ends the call as MALFORMED. */
	gboolean (*head)(void *user_data, const struct cb_http1_head *head);
	/* A piece of the answer's body was received. */
	void (*data)(void *user_data, const uint8_t *data, size_t size);
	/* All pieces of one read from the socket were passed; may be NULL. */
	void (*data_end)(void *user_data);
	/* Called once before the call is freed, unless it was cancelled. */
	void (*done)(void *user_data, cb_http1_result_t result);
} cb_http1_call_handler_t;

/* As `max_idle_ms` of a call: it opens a connection of its own. */
#define CB_HTTP1_NEW_CONNECTION (-1)

cb_http1_client_t *cb_http1_client_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters);
void cb_http1_client_delete(cb_http1_client_t *client);
/* Closes the connection that was idle for the longest time; FALSE: none is. */
gboolean cb_http1_client_evict_idle(cb_http1_client_t *client);
/*
 * Sets a function that is called when the process lacks the resources for another
 * connection, though no idle one is left to be closed; it returns whether it has
 * freed some.
 */
void cb_http1_client_on_exhausted(cb_http1_client_t *client,
				  gboolean (*make_room)(void *user_data),
				  void *user_data);
/* Counts what later calls keep in a bound, which must outlive the client. */
void cb_http1_client_set_bound(cb_http1_client_t *client,
			       cb_memory_bound_t *bound);

/*
 * Sends a request over a pooled connection that was idle for at most
 * `max_idle_ms`, or else over a new one.  `avoided` (NULL: none) has the IDs
 * (uint64_t) of connections that it doesn't use.  `method` is the method in the
 * first line of `request`.  Takes ownership of `request`.  `handler` must outlive
 * the call.
 */
cb_http1_call_t *cb_http1_client_call(cb_http1_client_t *client,
				      const char *address, const char *method,
				      GString *request, int64_t max_idle_ms,
				      const GArray *avoided,
				      const cb_http1_call_handler_t *handler,
				      void *user_data);
/* Returns the ID of the call's connection, which no other one of the client has. */
uint64_t cb_http1_call_connection_id(const cb_http1_call_t *call);
void cb_http1_call_cancel(cb_http1_call_t *call);
/* Has later callbacks go to another handler, which must outlive the call. */
void cb_http1_call_set_handler(cb_http1_call_t *call,
			       const cb_http1_call_handler_t *handler,
			       void *user_data);
/*
 * Pauses or resumes reading the answer; a paused call still ends when its server
 * closes the connection.
 */
void cb_http1_call_set_paused(cb_http1_call_t *call, gboolean is_paused);
/* Returns the bytes that the call keeps, as its client's bound counts them. */
size_t cb_http1_call_kept_bytes(const cb_http1_call_t *call);
/* Returns whether something of the answer, or its end, has arrived unread. */
gboolean cb_http1_call_has_input(const cb_http1_call_t *call);
/*
 * Returns whether the call's connection carried no request before this one.
 * May be called until done() is called.
 */
gboolean cb_http1_call_is_first(const cb_http1_call_t *call);
/*
 * Returns whether the call's connection is open, so that its request was sent.
 * May be called until done() is called.
 */
gboolean cb_http1_call_is_sent(const cb_http1_call_t *call);
/*
 * Returns whether a call with these arguments would use a connection of the pool:
 * one that was idle for at most `max_idle_ms` and whose ID is not in `avoided`
 * (uint64_t; may be NULL).
 */
gboolean cb_http1_client_has_idle(const cb_http1_client_t *client,
				  const char *address, int64_t max_idle_ms,
				  const GArray *avoided);

#endif
