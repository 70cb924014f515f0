#ifndef CURRANTBRIDGE_FLEET_H
#define CURRANTBRIDGE_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/document.h"
#include "currantbridge/log.h"
#include "currantbridge/view.h"

/*
 * The backend servers known to this process.  This is soft state: each control
 * instance forwards the heartbeats that it receives to the other control
 * instances and their effects to the entry instances.  The newest report on a
 * server replaces older ones.
 */
typedef struct cb_fleet cb_fleet_t;

typedef enum cb_fleet_state {
	CB_FLEET_READY,
	CB_FLEET_DRAINING,
	CB_FLEET_SILENT, /* no heartbeat within the timeout */
	CB_FLEET_GONE,	 /* the server left, expired or lost its address */
	CB_FLEET_STATE_COUNT
} cb_fleet_state_t;

extern const char *const cb_fleet_state_string[CB_FLEET_STATE_COUNT];

typedef struct cb_fleet_server {
	char *id;
	char *service;
	char *address; /* "IP:PORT" of the server */
	char *data_centre;
	char *kind; /* kind of accelerator; NULL if not reported */
	/* Reports on one ID are ordered by start time, then by sequence. */
	/* when the server process started, by its own wall clock */
	int64_t start_wall_ms;
	/* number of the heartbeat; restarts with each process */
	uint64_t sequence;
	cb_fleet_state_t state;
	/* number of requests that the server can run at once */
	uint32_t slots;
	/* remaining warm-up time after the server's start */
	int64_t cold_remaining_ms;
	/*
	 * The layers that the server holds: [from, to), empty if both are
	 * equal.
	 */
	uint32_t layer_from;
	uint32_t layer_to;
	/* The report doesn't tell which layers the server holds. */
	gboolean lacks_layers;
	/*
	 * The server was ordered to load other layers and gets no new requests.
	 */
	gboolean is_moving;
	/*
	 * Processing time in percent of the server's usual one; 0: not
	 * reported.
	 */
	uint32_t slow_percent;
	int64_t last_heartbeat_ms; /* last heartbeat, by this process's clock */
	/*
	 * Whether the server's latest change is still to be sent to entry
	 * instances.
	 */
	gboolean is_unsent_to_entries;
	/*
	 * Whether a heartbeat, move or slowdown is still to be sent to the
	 * other control instances.
	 */
	gboolean is_unsent_to_control;
	/* Whether the replicated state has the server's current values. */
	gboolean is_recorded;
} cb_fleet_server_t;

typedef enum cb_fleet_outcome {
	CB_FLEET_NEW,
	CB_FLEET_CHANGED,
	CB_FLEET_SAME,
	/* ignored: the report is outdated, or its address was reassigned */
	CB_FLEET_STALE,
	/*
	 * ignored: see cb_fleet_server_fault(), or the report lacks what its process
	 * has reported
	 */
	CB_FLEET_INVALID,
	/* kept apart: the configuration can't use the server */
	CB_FLEET_UNCONFIGURED,
	CB_FLEET_OUTCOME_COUNT
} cb_fleet_outcome_t;

extern const char *const cb_fleet_outcome_string[CB_FLEET_OUTCOME_COUNT];

/* Selects the servers that cb_fleet_encode() writes. */
typedef enum cb_fleet_selection {
	CB_FLEET_ALL,
	/* the servers with changes not yet sent to entry instances */
	CB_FLEET_UNSENT_TO_ENTRIES,
	/*
	 * the servers with updates not yet sent to the other control instances
	 */
	CB_FLEET_UNSENT_TO_CONTROL,
} cb_fleet_selection_t;

typedef void (*cb_fleet_changed_fn_t)(const cb_fleet_server_t *server,
				      void *user_data);

/* Returns whether the configuration in force can use the server of a report. */
typedef gboolean (*cb_fleet_check_fn_t)(const cb_fleet_server_t *report,
					void *user_data);

/* Longest warm-up after its start that a server may report. */
#define CB_FLEET_COLD_MAX_MS (24 * 60 * 60 * 1000)

/*
 * Returns what is wrong with a server's record, "FIELD: REASON", or NULL.  All
 * records are checked, of servers, other processes and the replicated state.
 */
const char *cb_fleet_server_fault(const cb_fleet_server_t *server);

cb_fleet_t *cb_fleet_new(void);
void cb_fleet_delete(cb_fleet_t *fleet);
/* Sets the one function that is called after each change of a server. */
void cb_fleet_watch(cb_fleet_t *fleet, cb_fleet_changed_fn_t fn,
		    void *user_data);

/*
 * Sets the one function that tells which servers the configuration can use.  Without
 * it these are all.  Reports on others are kept apart and change nothing in the fleet,
 * unless they are by a process that the fleet has.
 */
void cb_fleet_set_check(cb_fleet_t *fleet, cb_fleet_check_fn_t fn,
			void *user_data);
/*
 * Returns whether a document (NULL: none) can use the server of a report: it has the
 * service and, if that is one of engines with layers, lists the engine's kind, and
 * the report tells the layers.
 */
gboolean cb_fleet_document_can_use(const cb_document_t *document,
				   const cb_fleet_server_t *report);
/* Applies the reports kept apart whose servers the configuration can use now. */
void cb_fleet_admit_configured(cb_fleet_t *fleet);
/* Returns the number of servers whose reports are kept apart. */
unsigned int cb_fleet_unconfigured_count(const cb_fleet_t *fleet);
/*
 * Marks the servers kept apart under an ID as draining: those of `service`, or (NULL)
 * all, that started at `start_wall_ms`, or (-1) all.  Returns whether there are any.
 */
gboolean cb_fleet_drain_unconfigured(cb_fleet_t *fleet, const char *id,
				     const char *service,
				     int64_t start_wall_ms);

cb_fleet_outcome_t cb_fleet_update(cb_fleet_t *fleet,
				   const cb_fleet_server_t *report,
				   int64_t now_ms);
/* Records whether a server is carrying out an order to load other layers. */
void cb_fleet_set_moving(cb_fleet_t *fleet, const char *id, gboolean is_moving);
/* Records the processing time of a server in percent of the usual one. */
void cb_fleet_set_slow_percent(cb_fleet_t *fleet, const char *id,
			       uint32_t slow_percent);
void cb_fleet_expire(cb_fleet_t *fleet, int64_t now_ms, int64_t silence_ms,
		     int64_t forget_ms);

/*
 * Records that a ready server is lost, before its heartbeats are missed.  Its
 * next heartbeat makes it ready again.
 */
void cb_fleet_set_silent(cb_fleet_t *fleet, const char *id);
/* Records whether the replicated state has the server's current values. */
void cb_fleet_set_recorded(cb_fleet_t *fleet, const char *id,
			   gboolean is_recorded);
const cb_fleet_server_t *cb_fleet_find(const cb_fleet_t *fleet, const char *id);
/* Returns the server that has an address ("IP:PORT"), or NULL. */
const cb_fleet_server_t *cb_fleet_find_at(const cb_fleet_t *fleet,
					  const char *address);
unsigned int cb_fleet_count(const cb_fleet_t *fleet);
/* Returns all servers, sorted by ID; valid until the next change. */
const GPtrArray *cb_fleet_servers(const cb_fleet_t *fleet);
/* Logs the record of a server as the event FLEET_SERVER. */
void cb_fleet_log(cb_log_t *log, const cb_fleet_server_t *server);
/*
 * Returns the key of one server process in the table of planned stops,
 * "ID/BORN"; to be freed.
 */
char *cb_fleet_start_name(const cb_fleet_server_t *server);
/* Returns whether a planned stop of this process of the server is committed. */
gboolean cb_fleet_is_stopped(const cb_fleet_server_t *server,
			     const cb_view_t *view);

/* Returns NULL if no server is selected. */
GBytes *cb_fleet_encode(cb_fleet_t *fleet, cb_fleet_selection_t selection,
			int64_t now_ms);
/*
 * Encodes one server for cb_fleet_merge(), which takes the time of the merge
 * as the time of the last heartbeat.
 */
GBytes *cb_fleet_encode_server(const cb_fleet_server_t *server);
gboolean cb_fleet_record_matches(const cb_fleet_server_t *server,
				 GBytes *bytes);
/*
 * Returns FALSE if the bytes are malformed.  Servers before the first
 * malformed one are merged.
 */
gboolean cb_fleet_merge(cb_fleet_t *fleet, GBytes *bytes, int64_t now_ms);

#endif
