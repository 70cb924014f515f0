#ifndef CURRANTBRIDGE_FRONT_H
#define CURRANTBRIDGE_FRONT_H

#include "currantbridge/control_client.h"
#include "currantbridge/dialect.h"
#include "currantbridge/document.h"
#include "currantbridge/engine_orders.h"
#include "currantbridge/http1_client.h"
#include "currantbridge/fleet.h"
#include "currantbridge/kernel.h"

/*
 * The relay of an entry instance: forwards callers' requests, by the routes of
 * the configuration document, to the backend servers that control reports.  It
 * is a service of the kernel, named "front".
 */
typedef struct cb_front cb_front_t;

typedef struct cb_front_options {
	const char *name;
	const char *listen; /* "IP:PORT", also the address given to callers */
	/*
	 * "IP:PORT" for requests that other instances forward, and the port at
	 * which they all listen for them, on the IP of their address for
	 * callers; NULL and 0: requests are not forwarded.
	 */
	const char *listen_peers;
	uint16_t peer_port;
	const char *data_centre;
	const cb_document_codec_t *codec;
	const cb_dialect_t *dialect;
	/* Not owned; `client` and `orders` must outlive the relay. */
	cb_http1_client_t *client;
	cb_engine_orders_t *orders;
	/* The bound on what is kept for others, which outlives the relay; or NULL. */
	cb_memory_bound_t *memory;
	/*
	 * The retry budget of all instances together, for each service: retries
	 * per request, and retries per window beyond that.
	 */
	double retry_ratio;
	double retry_extra;
	int64_t retry_window_ms;
	int64_t linger_ms; /* minimum duration of a drain */
	int64_t grace_ms;  /* maximum duration of a drain */
} cb_front_options_t;

cb_front_t *cb_front_new(cb_kernel_t *kernel, cb_control_client_t *control,
			 cb_view_t *view, const cb_front_options_t *options);
/* Returns whether callers should use this instance. */
gboolean cb_front_is_ready(const cb_front_t *front);
/*
 * Returns the addresses (char *) that a caller in a data centre (NULL: any)
 * should use; a draining instance leaves out its own.  The caller unrefs the
 * array.
 */
GPtrArray *cb_front_addresses(const cb_front_t *front, const char *data_centre);
const cb_document_t *cb_front_document(const cb_front_t *front);
uint16_t cb_front_port(const cb_front_t *front);

#endif
