#ifndef CURRANTBRIDGE_VIEW_H
#define CURRANTBRIDGE_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/contract.h"

/*
 * An entry instance's copy of the replicated configuration.  It moves from
 * revision to revision as control pushes changes and never goes back.
 */
typedef struct cb_view cb_view_t;

typedef enum cb_instance_state {
	CB_INSTANCE_READY,
	CB_INSTANCE_LEAVING,
	CB_INSTANCE_SILENT,
	CB_INSTANCE_STATE_COUNT
} cb_instance_state_t;

extern const char *const cb_instance_state_string[CB_INSTANCE_STATE_COUNT];

/* An entry instance as the control instances know it. */
typedef struct cb_instance {
	char *name;
	char *address; /* "IP:PORT" for callers and backend servers */
	char *data_centre;
	uint64_t incarnation;
	cb_instance_state_t state;
	uint64_t revision;
} cb_instance_t;

typedef enum cb_stop_kind {
	CB_STOP_SERVER,
	CB_STOP_INSTANCE,
	CB_STOP_KIND_COUNT
} cb_stop_kind_t;

extern const char *const cb_stop_kind_string[CB_STOP_KIND_COUNT];

typedef struct cb_stop {
	cb_stop_kind_t kind;
	char *name;
	uint64_t revision;
} cb_stop_t;

/* The deployment's configuration document, as its operator sent it. */
typedef struct cb_document_text {
	int64_t version;
	GBytes *packed; /* for cb_document_unpack() */
	uint64_t revision;
} cb_document_text_t;

/* A backend server as it was last noted, for processes that start. */
typedef struct cb_server_note {
	char *id;
	GBytes *record; /* for cb_fleet_merge() */
	uint64_t revision;
} cb_server_note_t;

typedef enum cb_view_outcome {
	CB_VIEW_APPLIED,
	CB_VIEW_STALE, /* not newer than what is in force: dropped */
	CB_VIEW_GAP,   /* builds on a revision that is not in force */
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
/* Called after each applied update; several watchers are allowed. */
void cb_view_watch(cb_view_t *view, cb_view_changed_fn_t fn, void *user_data);

const cb_contract_t *cb_view_contract(const cb_view_t *view,
				      const char *workspace);
const cb_contract_t *cb_view_contract_by_key(const cb_view_t *view,
					     const char *key);
/* Each returns an array owned by the view, valid until its next update. */
const GPtrArray *cb_view_contracts(const cb_view_t *view);
const GPtrArray *cb_view_instances(const cb_view_t *view);
const GPtrArray *cb_view_stops(const cb_view_t *view);
const GPtrArray *cb_view_servers(const cb_view_t *view);
/* NULL before the first one. */
const cb_document_text_t *cb_view_document(const cb_view_t *view);
gboolean cb_view_is_stopped(const cb_view_t *view, cb_stop_kind_t kind,
			    const char *name);
/* Whether a request digest (hex) is in quarantine at `wall_ms`. */
gboolean cb_view_is_quarantined(const cb_view_t *view, const char *digest,
				int64_t wall_ms);
/* Until when a digest is in quarantine; 0: it is not on the list. */
int64_t cb_view_quarantined_until(const cb_view_t *view, const char *digest);
/*
 * The servers that died under a digest, each as "SERVER REPORTER",
 * NULL-terminated and valid until the next update; NULL if there are none.
 */
const char *const *cb_view_deaths(const cb_view_t *view, const char *digest,
				  int64_t wall_ms);
/* How many digests saw `least` servers or more die, `server` among them. */
unsigned int cb_view_suspects_on(const cb_view_t *view, const char *server,
				 unsigned int least, int64_t wall_ms);

#endif
