#ifndef CURRANTBRIDGE_NETWORK_H
#define CURRANTBRIDGE_NETWORK_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/*
 * Connections between the system's own processes.  A network makes
 * connections that carry frames: over TCP in the daemons, in memory in
 * tests.
 */
typedef struct cb_network cb_network_t;
typedef struct cb_connection cb_connection_t;
typedef struct cb_listener cb_listener_t;

/* The largest frame, without its length, in bytes. */
#define CB_FRAME_MAX_BYTES (1024 * 1024)

typedef enum cb_close_reason {
	CB_CLOSE_REMOTE,      /* the other side closed it, or it broke */
	CB_CLOSE_REFUSED,     /* it could not be opened */
	CB_CLOSE_SILENT,      /* nothing was heard within the bound */
	CB_CLOSE_MALFORMED,   /* a frame or message that cannot be read */
	CB_CLOSE_OVERSIZE,    /* a frame or message over its bound */
	CB_CLOSE_VERSION,     /* another version of the protocol */
	CB_CLOSE_WRONG_PEER,  /* not the process that was meant */
	CB_CLOSE_QUEUE_FULL,  /* the other side reads too slowly */
	CB_CLOSE_NOT_CURRENT, /* the control instance is cut off */
	CB_CLOSE_STOPPING,    /* the other side stops gracefully */
	CB_CLOSE_REPLACED,    /* a newer link took its place */
	CB_CLOSE_REASON_COUNT
} cb_close_reason_t;

extern const char *const cb_close_reason_string[CB_CLOSE_REASON_COUNT];

/* What a connection tells its owner, always from the loop. */
typedef struct cb_connection_handler {
	void (*opened)(void *user_data);
	void (*received)(void *user_data, const uint8_t *data, size_t size);
	/* Called at most once, and nothing after it. */
	void (*closed)(void *user_data, cb_close_reason_t reason);
} cb_connection_handler_t;

typedef struct cb_connection_vtable {
	void (*set_handler)(cb_connection_t *connection,
			    const cb_connection_handler_t *handler,
			    void *user_data);
	/* Queues one frame; FALSE when the queue has no room for it. */
	gboolean (*send)(cb_connection_t *connection, const uint8_t *data,
			 size_t size);
	/* Closes it at once; the handler is not called again. */
	void (*destroy)(cb_connection_t *connection);
} cb_connection_vtable_t;

/* The first member of every connection. */
struct cb_connection {
	const cb_connection_vtable_t *vtable;
};

/* Takes a connection that another process opened. */
typedef void (*cb_accept_fn_t)(cb_connection_t *connection, void *user_data);

typedef struct cb_network_vtable {
	cb_connection_t *(*connect)(cb_network_t *network, const char *address);
	cb_listener_t *(*listen)(cb_network_t *network, const char *address,
				 cb_accept_fn_t accept, void *user_data,
				 GError **error);
	void (*unlisten)(cb_network_t *network, cb_listener_t *listener);
	void (*destroy)(cb_network_t *network);
} cb_network_vtable_t;

/* The first member of every network. */
struct cb_network {
	const cb_network_vtable_t *vtable;
};

cb_network_t *cb_tcp_network_new(GMainContext *context, size_t max_queue_bytes);
uint16_t cb_tcp_listener_port(const cb_listener_t *listener);

#endif
