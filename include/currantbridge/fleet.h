#ifndef CURRANTBRIDGE_FLEET_H
#define CURRANTBRIDGE_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/log.h"
#include "currantbridge/view.h"

/*
 * The backend servers that have announced themselves, as far as this process
 * knows.  It is soft state: each control instance tells the others and the
 * entry instances what it heard, and the newest word on a server counts.
 */
typedef struct cb_fleet cb_fleet_t;

typedef enum cb_fleet_state {
	CB_FLEET_READY,
	CB_FLEET_DRAINING,
	CB_FLEET_SILENT, /* no heartbeat came for a while */
	CB_FLEET_GONE,	 /* it left, or another server has its address */
	CB_FLEET_STATE_COUNT
} cb_fleet_state_t;

extern const char *const cb_fleet_state_string[CB_FLEET_STATE_COUNT];

typedef struct cb_fleet_server {
	char *id;
	char *service;
	char *address; /* "IP:PORT" */
	char *data_centre;
	char *kind; /* of accelerator; NULL: none said */
	/* Together they order what is said of one id. */
	int64_t born_wall_ms;
	uint64_t sequence; /* of its heartbeats within one start */
	cb_fleet_state_t state;
	uint32_t slots;
	int64_t cold_ms; /* how much longer it stays slow after its start */
	/* The layers that it holds, the end exclusive; equal: none. */
	uint32_t layer_from;
	uint32_t layer_to;
	/* It was ordered to hold others; these take nothing new. */
	gboolean is_moving;
	/* How many times longer than usual its work takes, in hundredths. */
	uint32_t slow_percent;
	int64_t heard_ms; /* this process's clock */
	/* Not told yet: a change to entries, a heartbeat to control. */
	gboolean is_changed;
	gboolean is_heard;
	gboolean is_noted; /* in the replicated state, as it is */
} cb_fleet_server_t;

typedef enum cb_fleet_outcome {
	CB_FLEET_NEW,
	CB_FLEET_CHANGED,
	CB_FLEET_SAME,
	CB_FLEET_STALE, /* older than what is known: nothing was changed */
	CB_FLEET_OUTCOME_COUNT
} cb_fleet_outcome_t;

extern const char *const cb_fleet_outcome_string[CB_FLEET_OUTCOME_COUNT];

/* Which servers cb_fleet_encode() tells. */
typedef enum cb_fleet_part {
	CB_FLEET_ALL,
	CB_FLEET_ALL_CHANGED,
	CB_FLEET_ALL_HEARD,
} cb_fleet_part_t;

typedef void (*cb_fleet_changed_fn_t)(const cb_fleet_server_t *server,
				      void *user_data);

cb_fleet_t *cb_fleet_new(void);
void cb_fleet_delete(cb_fleet_t *fleet);
/* Called after each change of a server; one watcher. */
void cb_fleet_watch(cb_fleet_t *fleet, cb_fleet_changed_fn_t fn,
		    void *user_data);

cb_fleet_outcome_t cb_fleet_hear(cb_fleet_t *fleet,
				 const cb_fleet_server_t *said, int64_t now_ms);
/* Notes that a server was ordered to hold other layers, or is not any more. */
void cb_fleet_set_moving(cb_fleet_t *fleet, const char *id, gboolean is_moving);
/* Notes how slow a server reports to be; 100 is usual. */
void cb_fleet_set_slow(cb_fleet_t *fleet, const char *id,
		       uint32_t slow_percent);
void cb_fleet_expire(cb_fleet_t *fleet, int64_t now_ms, int64_t silence_ms,
		     int64_t forget_ms);

/* Notes whether the replicated state has each server as it is now. */
void cb_fleet_set_noted(cb_fleet_t *fleet, const char *id, gboolean is_noted);
const cb_fleet_server_t *cb_fleet_find(const cb_fleet_t *fleet, const char *id);
/* All of them, by id; valid until the next change. */
const GPtrArray *cb_fleet_servers(const cb_fleet_t *fleet);
/* Writes what is known of a server as event FLEET_SERVER. */
void cb_fleet_log(cb_log_t *log, const cb_fleet_server_t *server);
/* Names one start of a server: "ID/BORN". */
char *cb_fleet_start_name(const cb_fleet_server_t *server);
/* Whether a planned stop of this start of a server is committed. */
gboolean cb_fleet_is_stopped(const cb_fleet_server_t *server,
			     const cb_view_t *view);

/* NULL when there is nothing to tell. */
GBytes *cb_fleet_encode(cb_fleet_t *fleet, cb_fleet_part_t part,
			int64_t now_ms);
/* One server, as cb_fleet_merge() takes it, heard at the time of merging. */
GBytes *cb_fleet_encode_server(const cb_fleet_server_t *server);
/* FALSE, with nothing changed, when the bytes are malformed. */
gboolean cb_fleet_merge(cb_fleet_t *fleet, GBytes *bytes, int64_t now_ms);

#endif
