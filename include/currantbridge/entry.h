#ifndef CURRANTBRIDGE_ENTRY_H
#define CURRANTBRIDGE_ENTRY_H

#include "currantbridge/control_client.h"
#include "currantbridge/http_server.h"
#include "currantbridge/kernel.h"
#include "currantbridge/server.h"
#include "currantbridge/view.h"

/*
 * An entry instance: serves callers and backend servers over HTTP.  It is
 * registered with the kernel as the service "entry", after "http" and
 * "control".
 */
typedef struct cb_entry cb_entry_t;

typedef struct cb_entry_options {
	const char *name;
	const char *address; /* IP:PORT for callers and backend servers */
	const char *data_centre;
	uint64_t incarnation;
	/* A server is silent if it has not announced itself for this time. */
	int64_t server_silence_ms;
	int64_t announce_interval_ms; /* interval of a server's announcements */
	int64_t max_body_bytes;	      /* maximum size of a request's body */
	/*
	 * A caller that leaves more bytes of its stream unread is disconnected.
	 */
	int64_t max_unread_bytes;
	int64_t address_ttl_ms; /* how long callers may cache addresses */
	int64_t address_count;	/* entry instances picked per workspace */
} cb_entry_options_t;

cb_entry_t *cb_entry_new(cb_kernel_t *kernel, cb_http_server_t *http,
			 cb_control_client_t *control, cb_view_t *view,
			 const cb_entry_options_t *options);

#endif
