#ifndef CURRANTBRIDGE_SERVER_H
#define CURRANTBRIDGE_SERVER_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/log.h"
#include "currantbridge/view.h"

/*
 * The backend servers that announce themselves to this entry instance, with
 * the load that they reported and the requests sent to them since.
 */
typedef struct cb_server_registry cb_server_registry_t;

typedef enum cb_server_kind {
	CB_SERVER_ENGINE,
	CB_SERVER_SERVICE,
	CB_SERVER_KIND_COUNT
} cb_server_kind_t;

extern const char *const cb_server_kind_string[CB_SERVER_KIND_COUNT];

typedef enum cb_server_state {
	CB_SERVER_READY,
	/* the server announced that it leaves, or its stop is planned */
	CB_SERVER_LEAVING,
	CB_SERVER_SILENT, /* no announcement within the timeout */
	/* attempts on the server failed: it gets single trial requests */
	CB_SERVER_SUSPECT,
	CB_SERVER_STATE_COUNT
} cb_server_state_t;

extern const char *const cb_server_state_string[CB_SERVER_STATE_COUNT];

/* The layers of one model that an engine holds, both ends included. */
typedef struct cb_layer_range {
	char *model;
	uint32_t first_layer;
	uint32_t last_layer;
	uint32_t layer_count; /* number of layers of the whole model */
} cb_layer_range_t;

typedef struct cb_server {
	char *name;
	char *address;
	char *data_centre;
	cb_server_kind_t kind;
	cb_server_state_t state;
	uint64_t incarnation;
	gboolean checks_fencing;
	int64_t capacity; /* streams or calls that the server can run at once */
	int64_t reported_running;
	int64_t reported_queued;
	/* time of the last announcement, by this process's clock */
	int64_t reported_at_ms;
	/* attempts of this entry instance that run at the server */
	int64_t in_flight;
	int64_t in_flight_at_report;
	/* Smoothed time of one step or token; 0 before the first result. */
	int64_t step_us;
	GPtrArray *ranges; /* of cb_layer_range_t */
	char **services;
} cb_server_t;

typedef enum cb_announce_outcome {
	CB_ANNOUNCE_ACCEPTED,
	CB_ANNOUNCE_OLD_INCARNATION,
	CB_ANNOUNCE_MALFORMED,
	CB_ANNOUNCE_OUTCOME_COUNT
} cb_announce_outcome_t;

/* Called when a server's state changes or its process has restarted. */
typedef void (*cb_server_changed_fn_t)(const cb_server_t *server,
				       void *user_data);

cb_server_registry_t *cb_server_registry_new(cb_clock_t *clock, cb_log_t *log,
					     cb_counters_t *counters,
					     const cb_view_t *view,
					     int64_t silence_ms);
void cb_server_registry_delete(cb_server_registry_t *registry);

/* `text` is the JSON body of an announcement; see docs/BACKEND.md. */
cb_announce_outcome_t cb_server_announce(cb_server_registry_t *registry,
					 const char *text, GError **error);
cb_server_t *cb_server_register(cb_server_registry_t *registry,
				const char *text,
				cb_announce_outcome_t *outcome, GError **error);
cb_server_t *cb_server_find(const cb_server_registry_t *registry,
			    const char *name);
/* Both return an array of cb_server_t in any state, owned by the registry. */
const GPtrArray *cb_server_engines(const cb_server_registry_t *registry,
				   const char *model);
const GPtrArray *cb_server_services(const cb_server_registry_t *registry,
				    const char *service);
/* Returns whether new requests may be sent to the server. */
gboolean cb_server_accepts(const cb_server_registry_t *registry,
			   const cb_server_t *server);
void cb_server_watch(cb_server_registry_t *registry, cb_server_changed_fn_t fn,
		     void *user_data);
/*
 * Both count an attempt at the server: its start, and its end.  A server stays
 * allocated while attempts are in flight.
 */
void cb_server_begin_attempt(cb_server_t *server);
void cb_server_end_attempt(cb_server_t *server);
/*
 * Returns the estimated number of requests at the server: those that it
 * reported, plus those that this instance has started there since, minus those
 * that ended.
 */
int64_t cb_server_load(const cb_server_t *server);
/* Records that the server rejected an attempt as it had no free slot. */
void cb_server_mark_full(cb_server_t *server);
/* Both record the result of an attempt, for the server's health. */
void cb_server_record_success(cb_server_registry_t *registry,
			      cb_server_t *server, int64_t step_us);
void cb_server_record_failure(cb_server_registry_t *registry,
			      cb_server_t *server);

#endif
