#ifndef CURRANTBRIDGE_VIEW_H
#define CURRANTBRIDGE_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/contract.h"

/*
 * An entry instance's copy of the replicated configuration.  It is updated by
 * the changes that control pushes; its revision never decreases.
 */
typedef struct cb_view cb_view_t;

typedef enum cb_instance_state {
	CB_INSTANCE_READY,
	CB_INSTANCE_LEAVING,
	CB_INSTANCE_SILENT,
	CB_INSTANCE_STATE_COUNT
} cb_instance_state_t;

extern const char *const cb_instance_state_string[CB_INSTANCE_STATE_COUNT];

/* An entry instance as recorded by the control instances. */
typedef struct cb_instance {
	char *name;
	/* "IP:PORT" at which callers and backend servers reach the instance. */
	char *address;
	char *data_centre;
	uint64_t incarnation; /* increases with each new process of this name */
	cb_instance_state_t state;
	uint64_t revision; /* revision of the last change to this record */
} cb_instance_t;

typedef enum cb_stop_kind {
	CB_STOP_SERVER,
	CB_STOP_INSTANCE,
	CB_STOP_KIND_COUNT
} cb_stop_kind_t;

extern const char *const cb_stop_kind_string[CB_STOP_KIND_COUNT];

/* An announced planned stop of a backend server or an entry instance. */
typedef struct cb_stop {
	cb_stop_kind_t kind;
	char *name; /* name of the server or instance */
	uint64_t revision;
} cb_stop_t;

/* The deployment's configuration document, as the operator submitted it. */
typedef struct cb_document_text {
	int64_t version;
	GBytes *packed; /* packed document, for cb_document_unpack() */
	uint64_t revision;
} cb_document_text_t;

/* The last stored record of a backend server, for processes that start. */
typedef struct cb_stored_server {
	char *id;
	GBytes *record; /* encoded server record, for cb_fleet_merge() */
	uint64_t revision;
} cb_stored_server_t;

typedef enum cb_view_outcome {
	CB_VIEW_APPLIED,
	CB_VIEW_STALE, /* the update is not newer than the view: dropped */
	/* The update starts at a revision that is newer than the view. */
	CB_VIEW_GAP,
	CB_VIEW_MALFORMED,
	CB_VIEW_OUTCOME_COUNT
} cb_view_outcome_t;

extern const char *const cb_view_outcome_string[CB_VIEW_OUTCOME_COUNT];

typedef void (*cb_view_changed_fn_t)(void *user_data);

cb_view_t *cb_view_new(void);
void cb_view_delete(cb_view_t *view);

/* `update` comes from cb_state_encode_update() on a control instance. */
cb_view_outcome_t cb_view_apply(cb_view_t *view, GBytes *update);
uint64_t cb_view_revision(const cb_view_t *view);
/* `fn` is called after each applied update; several watchers are allowed. */
void cb_view_watch(cb_view_t *view, cb_view_changed_fn_t fn, void *user_data);

const cb_contract_t *cb_view_contract(const cb_view_t *view,
				      const char *workspace);
const cb_contract_t *cb_view_contract_by_key(const cb_view_t *view,
					     const char *key);
/*
 * Each of these returns an array that the view owns, valid until its next
 * update.
 */
const GPtrArray *cb_view_contracts(const cb_view_t *view);
const GPtrArray *cb_view_instances(const cb_view_t *view);
const GPtrArray *cb_view_stops(const cb_view_t *view);
const GPtrArray *cb_view_servers(const cb_view_t *view);
/* Returns the configuration document; NULL before the first one. */
const cb_document_text_t *cb_view_document(const cb_view_t *view);
gboolean cb_view_is_stopped(const cb_view_t *view, cb_stop_kind_t kind,
			    const char *name);
/*
 * Returns the records of suspect and quarantined digests (elements of type
 * struct cb_quarantine), valid until the view's next update.
 */
const GPtrArray *cb_view_quarantines(const cb_view_t *view);
/* Whether a request digest (hex) is in quarantine at `wall_ms`, wall clock. */
gboolean cb_view_is_quarantined(const cb_view_t *view, const char *digest,
				int64_t wall_ms);
/* Returns the end of a digest's quarantine in wall clock ms; 0: none. */
int64_t cb_view_quarantined_until(const cb_view_t *view, const char *digest);
/*
 * Returns the servers that died while running a request of this digest, each
 * as "SERVER REPORTER", NULL-terminated and valid until the next update; NULL
 * if the digest is not suspect at `wall_ms`.
 */
const char *const *cb_view_deaths(const cb_view_t *view, const char *digest,
				  int64_t wall_ms);
/*
 * Returns the number of digests that are suspect at `wall_ms` because `server`
 * and at least `min_servers` different servers in all died while running
 * requests with them.
 */
unsigned int cb_view_count_suspects(const cb_view_t *view, const char *server,
				    unsigned int min_servers, int64_t wall_ms);

#endif
