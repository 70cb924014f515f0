#ifndef CURRANTBRIDGE_HISTORY_H
#define CURRANTBRIDGE_HISTORY_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "currantbridge/clock.h"

/*
 * Records the events of each request.  A checker derives from them whether a
 * guarantee was violated, such as that each token is delivered exactly once.
 */
typedef struct cb_history cb_history_t;

typedef enum cb_history_kind {
	CB_HISTORY_ORDER,  /* an order or call is sent to a server */
	CB_HISTORY_RUN,	   /* a server ran a layer range for one token */
	CB_HISTORY_EFFECT, /* a service executed a non-idempotent call */
	/* an epoch of the generation begins, `token` is its first token */
	CB_HISTORY_EPOCH,
	CB_HISTORY_DELIVER, /* the caller received a token */
	CB_HISTORY_END,	    /* the request ended for its caller */
	CB_HISTORY_LEAVING, /* a server was announced as leaving */
	CB_HISTORY_KIND_COUNT
} cb_history_kind_t;

extern const char *const cb_history_kind_string[CB_HISTORY_KIND_COUNT];

/* An event of a request; fields that its kind does not use are 0 or NULL. */
typedef struct cb_history_event {
	cb_history_kind_t kind;
	const char *request;
	const char *workspace;
	const char *server;
	const char *key;
	const char *text;
	const char *refusal;
	const char *executed;
	/*
	 * epoch of the generation; in the ORDER of a call, its fencing number
	 */
	uint64_t epoch;
	uint64_t token; /* index of the token in the answer */
	uint32_t first_layer;
	uint32_t last_layer;
} cb_history_event_t;

typedef struct cb_history_vtable {
	void (*record)(cb_history_t *history, const cb_history_event_t *event);
	void (*destroy)(cb_history_t *history);
} cb_history_vtable_t;

struct cb_history {
	const cb_history_vtable_t *vtable;
};

cb_history_t *cb_history_new(cb_clock_t *clock, FILE *stream);
void cb_history_delete(cb_history_t *history);
void cb_history_record(cb_history_t *history, const cb_history_event_t *event);

#endif
