#ifndef PRIVATE_FRONT_H
#define PRIVATE_FRONT_H

#include "currantbridge/front.h"
#include "currantbridge/http1_client.h"
#include "currantbridge/http1_server.h"
#include "private/content_book.h"
#include "private/engine_reports.h"
#include "private/offered.h"
#include "private/relay_forward.h"
#include "private/relay_reach.h"
#include "private/retry_share.h"
#include "private/room.h"
#include "private/route_times.h"
#include "private/server_book.h"
#include "private/server_ends.h"

/* A check of whether an engine still accepts connections. */
typedef struct cb_engine_check {
	cb_front_t *front;
	char *address; /* the engine's address */
	/* Begins the second call; NULL: the first one is under way. */
	cb_timer_t *timer;
} cb_engine_check_t;

struct cb_front {
	cb_service_t service;
	cb_kernel_t *kernel;
	cb_clock_t *clock;
	cb_log_t *log;
	cb_counters_t *counters;
	cb_memory_bound_t *memory; /* may be NULL */
	/*
	 * Metric series of `counters`; cached because each request adds to
	 * them.
	 */
	cb_histogram_t *served_ms;
	cb_histogram_t *failed_ms;
	cb_histogram_t *first_event_ms;
	cb_control_client_t *control;
	cb_view_t *view;
	char *name; /* name of this instance */
	char *listen;
	char *data_centre;
	const cb_document_codec_t *codec;
	const cb_dialect_t *dialect;
	int64_t linger_ms;
	int64_t grace_ms;
	cb_http1_server_t *server;
	/* Receives what other instances forward; listens if that is set. */
	cb_http1_server_t *peer_server;
	char *listen_peers;
	uint16_t peer_port;
	GHashTable *peers;	      /* name to record of another instance */
	unsigned int forwarded_count; /* requests of others in progress */
	/* Newest document by which another instance handled a forwarded request. */
	int64_t newest_version_seen;
	cb_http1_client_t *client;
	cb_engine_orders_t *orders;
	cb_engine_reports_t *reports;
	cb_reach_t *reach;
	GHashTable *way_checks; /* set of checks in progress */
	cb_timer_t *way_timer;	/* checks servers while a way is lost */
	/* When the first sign of the present loss came. */
	int64_t way_suspect_ms;
	/* When another instance last had an answer of the servers. */
	int64_t way_confirmed_ms;
	/* When a request may next be tried at a server that seems unreachable. */
	int64_t way_trial_ms;
	GHashTable *engine_checks; /* set of cb_engine_check_t in progress */
	cb_fleet_t *fleet;
	/* Whether the servers recorded in the view were added to `fleet`. */
	cb_rate_limits_t *limits;
	cb_server_book_t *book;
	cb_server_ends_t *server_ends;
	cb_content_book_t *content_book;
	cb_route_times_t *route_times;
	cb_retry_share_t *retries;
	cb_room_t *room;
	cb_offered_t *offered;
	GHashTable *room_services; /* service name to record, in relay_room.c */
	/* Last sum of all instances' usage, NULL: none, and when it came. */
	cb_usage_t *usage_sum;
	int64_t usage_sum_ms;
	GRand *random;
	cb_document_t *document;
	int64_t document_since_ms;  /* when `document` was put in force */
	uint64_t document_revision; /* revision of the last document read */
	int64_t decode_start_ms;    /* when the last decoding began */
	int64_t decoded_version;    /* version of that document */
	/* Decoding of that document in progress, or NULL. */
	cb_document_decoding_t *decoding;
	cb_timer_t *decode_timer; /* continues the decoding */
	GHashTable *relays;	  /* set of all requests in progress */
	/* Requests (cb_relay_t) that wait to be sent. */
	GQueue waiting;
	cb_timer_t *wait_timer;
	cb_timer_t *usage_timer;
	int64_t usage_reported_ms; /* time of the last usage report */
	gboolean was_usage_empty;  /* the last usage report was empty */
	cb_timer_t *drain_timer;
	int64_t drain_since_ms; /* start of the drain; 0: not draining */
	/* When the lack of descriptors was last logged; 0: never. */
	int64_t exhausted_logged_ms;
	/* The drain has ended: no request is started. */
	gboolean has_drained;
};

/*
 * Starts to relay one request, which another instance may have forwarded; defined
 * in relay.c.
 */
void cb_relay_start(cb_front_t *front, cb_http1_exchange_t *exchange,
		    gboolean is_forwarded);
/* Returns how long ago the document in force came, in ms; -1 without one. */
int64_t cb_front_document_age_ms(const cb_front_t *front);
gboolean cb_front_has_current_document(const cb_front_t *front);
/* Reports the usage of servers to control soon, not at the next interval. */
void cb_front_report_usage_soon(cb_front_t *front);
/* Retries the waiting requests; `user_data` is the cb_front_t. */
void cb_relay_retry_waiting(void *user_data);
/* Cancels any attempt in flight and frees the request; sends no answer. */
void cb_relay_delete(void *relay);
/* Returns whether a stream under way passes through the engine at `address`. */
gboolean cb_relay_uses_engine(const cb_front_t *front, const char *address);
/* Moves the streams of the engine at `address` if it is shown to have ended. */
void cb_relay_check_engine(cb_front_t *front, const char *address);
/* Frees a check of an engine; its report must not be pending. */
void cb_engine_check_delete(void *check);

#endif
