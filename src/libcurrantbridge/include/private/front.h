#ifndef PRIVATE_FRONT_H
#define PRIVATE_FRONT_H

#include "currantbridge/front.h"
#include "currantbridge/http1_client.h"
#include "currantbridge/http1_server.h"
#include "private/retry_share.h"
#include "private/server_book.h"

struct cb_front {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_counters_t *counters;
	/* Of the counters, as each request adds to them. */
	cb_histogram_t *served_ms;
	cb_histogram_t *failed_ms;
	cb_histogram_t *first_event_ms;
	cb_control_client_t *control;
	cb_view_t *view;
	char *listen;
	char *data_centre;
	const cb_document_codec_t *codec;
	const cb_dialect_t *dialect;
	int64_t linger_ms;
	int64_t grace_ms;
	cb_http1_server_t *server;
	cb_http1_client_t *client;
	cb_engine_orders_t *orders;
	cb_fleet_t *fleet;
	gboolean has_servers; /* what the view notes was taken in */
	cb_server_book_t *book;
	cb_retry_share_t *retries;
	GRand *random;
	cb_document_t *document;
	uint64_t document_revision;
	GHashTable *relays; /* those under way */
	GQueue waiting;	    /* of those, the ones that wait to be sent */
	cb_timer_t *wait_timer;
	cb_timer_t *usage_timer;
	gboolean is_usage_empty;
	cb_timer_t *drain_timer;
	int64_t drain_since_ms; /* 0: not draining */
};

/* Begins to serve one request: relay.c. */
void cb_relay_start(cb_front_t *front, cb_http1_exchange_t *exchange);
/* Tries those again that wait: relay.c; `user_data` is the front. */
void cb_relay_retry_waiting(void *user_data);
/* Ends a request without an answer, when the process ends. */
void cb_relay_delete(void *relay);

#endif
