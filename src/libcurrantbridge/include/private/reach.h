#ifndef PRIVATE_REACH_H
#define PRIVATE_REACH_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/*
 * Decides whether it is the backend servers that fail, or this instance's own
 * way to them.  Servers are taken together by data centre.  A sign of loss
 * begins a check of some of them over new connections; the way is lost if none
 * answers.  Later checks, spread in time, find out when it is back.  Does no
 * I/O.
 */
typedef struct cb_reach cb_reach_t;
/* The servers of one data centre. */
typedef struct cb_reach_group cb_reach_group_t;

typedef enum cb_reach_state {
	CB_REACH_OPEN, /* servers are reached, as far as is known */
	/* A sign of loss is being checked. */
	CB_REACH_CHECKING,
	/* New connections fail, and open ones still pass data. */
	CB_REACH_NEW_LOST,
	/*
	 * Connections are made and nothing is answered: the way may be lost, or
	 * all servers stand still.
	 */
	CB_REACH_SILENT,
	CB_REACH_LOST, /* no connection is made, and nothing arrives */
	CB_REACH_STATE_COUNT
} cb_reach_state_t;

extern const char *const cb_reach_state_string[CB_REACH_STATE_COUNT];

/* What makes a check necessary. */
typedef enum cb_reach_sign {
	CB_REACH_SIGN_FAILED,  /* a connection failed or was refused */
	CB_REACH_SIGN_OVERDUE, /* an answer, or a part of it, is overdue */
} cb_reach_sign_t;

/* How the check of one server has ended. */
typedef enum cb_reach_result {
	CB_REACH_ANSWERED,
	CB_REACH_REFUSED,    /* the connection was refused, or reset */
	CB_REACH_UNANSWERED, /* no connection was made in time */
	CB_REACH_MUTE, /* a connection was made, and nothing was answered */
	/* This process lacked the resources for a connection: shows nothing. */
	CB_REACH_UNMADE,
	CB_REACH_RESULT_COUNT
} cb_reach_result_t;

cb_reach_t *cb_reach_new(cb_clock_t *clock);
void cb_reach_delete(cb_reach_t *reach);

/* Returns the group of a data centre, which lives as long as `reach`. */
cb_reach_group_t *cb_reach_get_group(cb_reach_t *reach,
				     const char *data_centre);
/* Returns the groups (cb_reach_group_t) that were used so far. */
const GPtrArray *cb_reach_groups(const cb_reach_t *reach);
const char *cb_reach_group_data_centre(const cb_reach_group_t *group);
cb_reach_state_t cb_reach_group_state(const cb_reach_group_t *group);
/* Records that data of a server of the group has arrived, not of a check. */
void cb_reach_group_hear(cb_reach_group_t *group);
/*
 * Records that a server of the group has answered a request over a new connection:
 * its way is open, whatever the checks say.
 */
void cb_reach_group_prove(cb_reach_group_t *group);
/*
 * Returns the time in ms since data of a server of the group arrived; -1: none
 * has.
 */
int64_t cb_reach_group_silent_ms(const cb_reach_group_t *group);
/* Returns whether open connections to the group's servers have passed data lately. */
gboolean cb_reach_group_is_heard(const cb_reach_group_t *group);
/* Returns when the state began, by the clock. */
int64_t cb_reach_group_since_ms(const cb_reach_group_t *group);
/*
 * Returns how many checks ended in each way, by cb_reach_result_t, since the last
 * check of an open way began.
 */
const unsigned int *cb_reach_group_results(const cb_reach_group_t *group);

/* Returns whether a sign of loss is to be checked now. */
gboolean cb_reach_group_suspects(const cb_reach_group_t *group,
				 cb_reach_sign_t sign);
/*
 * Begins the check of `count` servers, 1 or more: whether the way is lost, or, if
 * it is, whether it is back.
 */
void cb_reach_group_begin(cb_reach_group_t *group, unsigned int count);
/*
 * Adds the result of one of them, or of a single check while the way is lost.
 * Returns whether the state has changed.
 */
gboolean cb_reach_group_add(cb_reach_group_t *group, cb_reach_result_t result);
/*
 * Returns whether the last server that was checked while the way is lost has
 * answered, so that a check of several is to show whether it is back.
 */
gboolean cb_reach_group_may_be_back(const cb_reach_group_t *group);

/*
 * Returns whether nothing of this instance reaches the data centre's servers
 * over new connections, or that is being checked: what this instance sees of
 * them says nothing about them.
 */
gboolean cb_reach_is_doubtful(const cb_reach_t *reach, const char *data_centre);
/* Returns whether the way to a data centre's servers is lost, also in part. */
gboolean cb_reach_is_lost(const cb_reach_t *reach, const char *data_centre);
/*
 * Returns whether most of the servers that were checked could not be reached lately,
 * so that those which this instance takes for lost may be sound.
 */
gboolean cb_reach_is_impaired(const cb_reach_t *reach);
/*
 * Returns whether any check was ever answered; if not, servers may refuse checks
 * though they serve requests.
 */
gboolean cb_reach_has_answered(const cb_reach_t *reach);
/* Returns whether the way to any data centre is lost or being checked. */
gboolean cb_reach_has_doubts(const cb_reach_t *reach);

#endif
