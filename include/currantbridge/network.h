#ifndef CURRANTBRIDGE_NETWORK_H
#define CURRANTBRIDGE_NETWORK_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/*
 * Connections between the system's own processes.  A network opens and
 * accepts connections that carry frames of bytes: over TCP in the daemons, in
 * memory in tests.
 */
typedef struct cb_network cb_network_t;
typedef struct cb_connection cb_connection_t;
typedef struct cb_listener cb_listener_t;

/* The largest frame payload, without the length field in front of it. */
#define CB_FRAME_MAX_BYTES (1024 * 1024)

typedef enum cb_close_reason {
	/* The peer closed the connection, or the connection failed. */
	CB_CLOSE_REMOTE,
	CB_CLOSE_REFUSED,     /* the connection could not be established */
	CB_CLOSE_SILENT,      /* nothing was received within the timeout */
	CB_CLOSE_MALFORMED,   /* a frame or message could not be decoded */
	CB_CLOSE_OVERSIZE,    /* a frame or message exceeded its size limit */
	CB_CLOSE_VERSION,     /* the peer has another protocol version */
	CB_CLOSE_WRONG_PEER,  /* the peer is not the intended process */
	CB_CLOSE_QUEUE_FULL,  /* the peer reads too slowly */
	CB_CLOSE_NOT_CURRENT, /* the control instance has no quorum */
	CB_CLOSE_STOPPING,    /* graceful stop of one side */
	CB_CLOSE_REPLACED,    /* superseded by a newer link or incarnation */
	CB_CLOSE_CROWDED,     /* others have fewer sessions */
	CB_CLOSE_REASON_COUNT
} cb_close_reason_t;

/* The name of each close reason in log events and metrics. */
extern const char *const cb_close_reason_string[CB_CLOSE_REASON_COUNT];

/* Callbacks of a connection, always called from the main loop. */
typedef struct cb_connection_handler {
	/* Called when the connection is established. */
	void (*opened)(void *user_data);
	/* Called for each frame; `data` is valid only during the call. */
	void (*received)(void *user_data, const uint8_t *data, size_t size);
	/* Called at most once, as the last callback. */
	void (*closed)(void *user_data, cb_close_reason_t reason);
} cb_connection_handler_t;

typedef struct cb_connection_vtable {
	void (*set_handler)(cb_connection_t *connection,
			    const cb_connection_handler_t *handler,
			    void *user_data);
	/*
	 * Queues one frame.  Returns FALSE if the queue has no space for the
	 * frame.
	 */
	gboolean (*send)(cb_connection_t *connection, const uint8_t *data,
			 size_t size);
	/* Closes and frees the connection; its handler is not called again. */
	void (*destroy)(cb_connection_t *connection);
} cb_connection_vtable_t;

/* The first member of every connection. */
struct cb_connection {
	const cb_connection_vtable_t *vtable;
};

/* Receives ownership of a connection that another process opened. */
typedef void (*cb_accept_fn_t)(cb_connection_t *connection, void *user_data);

typedef struct cb_network_vtable {
	/* Never returns NULL: a failure is reported to the handler. */
	cb_connection_t *(*connect)(cb_network_t *network, const char *address);
	/* Returns NULL with `error` set if it cannot listen at `address`. */
	cb_listener_t *(*listen)(cb_network_t *network, const char *address,
				 cb_accept_fn_t accept, void *user_data,
				 GError **error);
	/* Stops accepting connections and frees the listener. */
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
