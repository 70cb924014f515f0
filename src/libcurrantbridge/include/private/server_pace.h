#ifndef PRIVATE_SERVER_PACE_H
#define PRIVATE_SERVER_PACE_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/fleet.h"
#include "private/usage.h"

/*
 * Decides how much new work a backend server gets that has just started or
 * recovered, or that answers more slowly than usual: a weight from 0 to 1, the
 * part of its fair share of the service's requests.  Each instance applies the
 * weight to its own requests, so that all together keep it, whatever their
 * number.  What the answers show is shared in the usage reports.  This module
 * does no I/O.
 */
typedef struct cb_server_pace cb_server_pace_t;

/* Why a server is paced. */
typedef enum cb_pace_reason {
	CB_PACE_STARTED,  /* another process of it, or its first one */
	CB_PACE_RETURNED, /* control did not hear of it, or it was avoided */
	CB_PACE_LAYERS,	  /* it holds other layers */
	CB_PACE_FAILING,  /* requests failed there */
	CB_PACE_SLOW,	  /* its answers take longer than usual */
	CB_PACE_PROVEN,	  /* it is not paced any more */
	CB_PACE_REASON_COUNT
} cb_pace_reason_t;

extern const char *const cb_pace_reason_string[CB_PACE_REASON_COUNT];

/* A change of a server's pace, with the evidence of the last second. */
typedef struct cb_pace_change {
	const char *id;
	cb_pace_reason_t reason;
	unsigned int weight_percent;
	unsigned int answers;
	unsigned int failures;
	/* Mean time of the answers, in percent of the usual one. */
	unsigned int time_percent;
	int64_t hold_ms; /* gets nothing for so long, since it flaps */
	int64_t sum_age_ms;
} cb_pace_change_t;

typedef void (*cb_pace_changed_fn_t)(const cb_pace_change_t *change,
				     void *user_data);

/* The pace of one server. */
typedef struct cb_pace {
	double weight; /* 1: not paced */
	/* Whether answers since its return have shown that it serves. */
	gboolean is_shown;
} cb_pace_t;

cb_server_pace_t *cb_server_pace_new(cb_clock_t *clock);
void cb_server_pace_delete(cb_server_pace_t *pace);
/* Sets the one function that is called at each change of a pace. */
void cb_server_pace_watch(cb_server_pace_t *pace, cb_pace_changed_fn_t fn,
			  void *user_data);

/*
 * Returns the pace of a server, after a look at what it says of itself.
 * `is_avoided`: it gets nothing for now, so its weight does not rise.
 */
cb_pace_t cb_server_pace_find(cb_server_pace_t *pace,
			      const cb_fleet_server_t *server,
			      gboolean is_avoided);
/*
 * Records after which time a server sent a whole answer, or the first event of a
 * stream, for a kind of request (NULL: the service has no other kinds).
 */
void cb_server_pace_record_time(cb_server_pace_t *pace, const char *id,
				const char *service, const char *kind,
				int64_t time_ms);
/* Records a failure or rejection of a request at a server. */
void cb_server_pace_record_failure(cb_server_pace_t *pace, const char *id);
/* Forgets what this instance holds against a server. */
void cb_server_pace_forget(cb_server_pace_t *pace, const char *id);
/* Returns the usual time in ms of a service's answers; 0: not known. */
double cb_server_pace_usual_ms(const cb_server_pace_t *pace,
			       const char *service);

/* Returns how many servers are paced. */
unsigned int cb_server_pace_count(const cb_server_pace_t *pace);

/* Adds what this instance's answers show to the usage that it reports. */
void cb_server_pace_add_usage(cb_server_pace_t *pace, cb_usage_t *usage);
/* Takes the sum of all instances' reports. */
void cb_server_pace_update(cb_server_pace_t *pace, const cb_usage_t *sum);

#endif
