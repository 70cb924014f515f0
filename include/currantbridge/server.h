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
 * what they reported and what this instance has sent them since.
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
	CB_SERVER_LEAVING, /* said so itself, or a stop was announced */
	CB_SERVER_SILENT,  /* its announcements have ceased */
	CB_SERVER_SUSPECT, /* fresh connections fail: probed before use */
	CB_SERVER_STATE_COUNT
} cb_server_state_t;

extern const char *const cb_server_state_string[CB_SERVER_STATE_COUNT];

/* The layers of one model that an engine holds, both ends included. */
typedef struct cb_layer_range {
	char *model;
	uint32_t first_layer;
	uint32_t last_layer;
	uint32_t layer_count; /* of the whole model */
} cb_layer_range_t;

typedef struct cb_server {
	char *name;
	char *address;
	char *data_centre;
	cb_server_kind_t kind;
	cb_server_state_t state;
	uint64_t incarnation;
	gboolean checks_fencing;
	int64_t capacity; /* streams or calls that run at once */
	int64_t reported_running;
	int64_t reported_queued;
	int64_t reported_at_ms;
	int64_t in_flight; /* of this entry instance */
	int64_t in_flight_at_report;
	/* Smoothed time of one step or token, 0 before the first. */
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

/* Told when a server becomes silent, leaves, or returns as a new process. */
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
/* Arrays of cb_server_t owned by the registry, all states included. */
const GPtrArray *cb_server_engines(const cb_server_registry_t *registry,
				   const char *model);
const GPtrArray *cb_server_services(const cb_server_registry_t *registry,
				    const char *service);
/* Whether new work may be sent there: ready, and no stop is announced. */
gboolean cb_server_accepts(const cb_server_registry_t *registry,
			   const cb_server_t *server);
void cb_server_watch(cb_server_registry_t *registry, cb_server_changed_fn_t fn,
		     void *user_data);
/* Brackets an attempt.  A server that is gone meanwhile stays allocated. */
void cb_server_begin(cb_server_t *server);
void cb_server_end(cb_server_t *server);
/*
 * Requests that the server is taken to have: what it reported, and what this
 * instance has begun less what it has ended there since.
 */
int64_t cb_server_load(const cb_server_t *server);
/* Notes that the server had no room: it counts as full until it reports. */
void cb_server_was_full(cb_server_t *server);
/* Reports how an attempt went, for the server's health. */
void cb_server_succeeded(cb_server_registry_t *registry, cb_server_t *server,
			 int64_t step_us);
void cb_server_failed(cb_server_registry_t *registry, cb_server_t *server);

#endif
