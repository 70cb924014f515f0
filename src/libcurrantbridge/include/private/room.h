#ifndef PRIVATE_ROOM_H
#define PRIVATE_ROOM_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"

/*
 * Decides which requests for a service with layers may begin while more are
 * asked for than its engines can hold.
 *
 * It answers the load in which requests for more tokens arrive at all instances
 * together than engines free: what the engines hold is kept at what they bear,
 * the rest is refused at once.  Of what may begin, the more urgent rank comes
 * first, and within a rank every workspace has the same share; what a workspace
 * does not use is lent to the others.  Every instance decides alone, by the sums
 * of what all instances report, so all come to the same shares.  This module
 * does no I/O.
 */
typedef struct cb_room cb_room_t;

/* What all instances together were asked for, by one workspace at one rank. */
typedef struct cb_room_flow {
	uint32_t rank;	       /* 0 is the most urgent */
	const char *workspace; /* "": the sum over all workspaces of the rank */
	/* tokens (prompt and answer) of the requests of the last second */
	double offered_tokens_per_s;
} cb_room_flow_t;

/* What is known of a service's engines and of their use. */
typedef struct cb_room_state {
	/* tokens that the engines can hold at the same time; 0: not known */
	double capacity_tokens;
	/*
	 * Tokens of the requests in flight, with those that this instance has
	 * begun since the sum was received.
	 */
	double used_tokens;
	/* the part of `used_tokens` that is this instance's own */
	double own_tokens;
	/*
	 * When the sum of all instances was received, in ms of the clock; 0: none
	 * was.
	 */
	int64_t sum_received_ms;
	unsigned int instances; /* ready entry instances, 1 at least */
	/* time that requests are in flight, smoothed, in ms; 0: not known */
	double residence_ms;
	/*
	 * Part of the streams under way whose pauses were too long, of those
	 * that all instances observed within the last second; from 0 to 1.
	 */
	double slow_ratio;
	const cb_room_flow_t *flows; /* of all instances, in any order */
	unsigned int flow_count;
} cb_room_state_t;

/* A request that asks to begin. */
typedef struct cb_room_request {
	uint32_t rank;
	const char *workspace; /* "" if it has none */
	double tokens;	       /* prompt and expected answer */
	/* longest time after which its caller could still be served, in ms */
	int64_t time_left_ms;
	/* Whether its caller has spent time on it before, and so came back. */
	gboolean is_return;
} cb_room_request_t;

/* What a refused request lacks. */
typedef enum cb_room_reason {
	CB_ROOM_ADMITTED,
	CB_ROOM_RANK,	   /* more urgent ranks leave too little */
	CB_ROOM_WORKSPACE, /* its workspace asks for more than its share */
	CB_ROOM_OWN_SHARE, /* no recent sum, and this instance's part is full */
	CB_ROOM_REASON_COUNT
} cb_room_reason_t;

/* Names of the reasons, as they are logged and counted. */
extern const char *const cb_room_reason_string[CB_ROOM_REASON_COUNT];

/* Why a request may begin or not; the fields are logged and explained. */
typedef struct cb_room_decision {
	gboolean is_admitted;
	cb_room_reason_t reason;
	/* part of the requests of its rank and workspace that may begin */
	double admitted_ratio;
	double used_ratio; /* used tokens / capacity at the decision */
	int64_t age_ms;	   /* of the sums by which it was decided */
	/* When the caller of a refused request may come back, spread. */
	int64_t retry_after_ms;
} cb_room_decision_t;

/* `random` stays the caller's and must outlive the room. */
cb_room_t *cb_room_new(cb_clock_t *clock, GRand *random);
void cb_room_delete(cb_room_t *room);
/*
 * Sets what is known of a service: when a sum of usage arrives, and at times while
 * none does.  Strings are copied.
 */
void cb_room_update(cb_room_t *room, const char *service,
		    const cb_room_state_t *state);
/* Decides whether a request may begin, and counts it if it may. */
cb_room_decision_t cb_room_decide(cb_room_t *room, const char *service,
				  const cb_room_request_t *request);
/*
 * Returns how many tokens a second all instances together may begin, of what they
 * are asked for; 0: not known.
 */
double cb_room_begun_tokens_per_s(const cb_room_t *room, const char *service);
/*
 * Returns whether a service is so near its limit that instances are to report
 * what each workspace asks for, not only each rank.
 */
gboolean cb_room_is_scarce(const cb_room_t *room, const char *service);

#endif
