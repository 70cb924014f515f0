#ifndef CURRANTBRIDGE_HTTP1_CLIENT_H
#define CURRANTBRIDGE_HTTP1_CLIENT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"

/*
 * An HTTP/1.1 client that keeps connections and never sends a request twice:
 * whoever calls decides on that, from how a call ended.
 */
typedef struct cb_http1_client cb_http1_client_t;
typedef struct cb_http1_call cb_http1_call_t;
struct cb_http1_head;

/* How a call ended. */
typedef enum cb_http1_result {
	CB_HTTP1_COMPLETE,
	CB_HTTP1_UNSENT,    /* no byte of it left: it surely did not run */
	CB_HTTP1_LOST,	    /* no whole head came: it may have run */
	CB_HTTP1_TRUNCATED, /* the answer broke off */
	CB_HTTP1_MALFORMED, /* what came is no answer to this request */
	CB_HTTP1_RESULT_COUNT
} cb_http1_result_t;

extern const char *const cb_http1_result_string[CB_HTTP1_RESULT_COUNT];

/* The owner may cancel the call in any of them. */
typedef struct cb_http1_call_handler {
	/* FALSE ends the call as MALFORMED. */
	gboolean (*head)(void *user_data, const struct cb_http1_head *head);
	void (*data)(void *user_data, const uint8_t *data, size_t size);
	/* Called once, unless the call is cancelled; it is freed after it. */
	void (*done)(void *user_data, cb_http1_result_t result);
} cb_http1_call_handler_t;

cb_http1_client_t *cb_http1_client_new(GMainContext *context, cb_clock_t *clock,
				       cb_counters_t *counters);
void cb_http1_client_delete(cb_http1_client_t *client);

/*
 * Sends a request, `method` being the one in its first line, on a kept
 * connection that was idle for at most `max_idle_ms` or on a new one.  Takes
 * `request`.  `handler` must outlive the call.
 */
cb_http1_call_t *cb_http1_client_call(cb_http1_client_t *client,
				      const char *address, const char *method,
				      GString *request, int64_t max_idle_ms,
				      const cb_http1_call_handler_t *handler,
				      void *user_data);
void cb_http1_call_cancel(cb_http1_call_t *call);

#endif
