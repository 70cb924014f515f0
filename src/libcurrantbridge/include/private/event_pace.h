#ifndef PRIVATE_EVENT_PACE_H
#define PRIVATE_EVENT_PACE_H

#include <glib.h>
#include <stdint.h>

/*
 * The times of a stream's events: the usual gap between two of them, by which
 * an unusual silence is detected, and the longest pause that the caller had.
 * Events that arrive in the same millisecond count as one.
 */
typedef struct cb_event_pace {
	int64_t last_ms;     /* time of the latest event; 0 before the first */
	double gap_ms;	     /* smoothed gap between events; 0: unknown */
	double deviation_ms; /* smoothed deviation from `gap_ms` */
	int64_t longest_gap_ms; /* longest gap so far; 0: none */
	/* Whether the server worked at repeated checks in the gap before. */
	gboolean is_slow;
	/* Checks in the current gap that did not move the stream. */
	unsigned int check_count;
	/* Of these, the checks by which the server works on the stream. */
	unsigned int working_count;
	/* What the longest gap was caused by; NULL: nothing known. */
	const char *longest_gap_cause;
	/* What the current gap is caused by; NULL: nothing known. */
	const char *current_cause;
} cb_event_pace_t;

/* Records an event at `now_ms`. */
void cb_event_pace_add(cb_event_pace_t *pace, int64_t now_ms);
/*
 * Records why the next event is late.  `cause` must be a constant; the last one
 * recorded before the event is kept.
 */
void cb_event_pace_set_cause(cb_event_pace_t *pace, const char *cause);

/*
 * Returns how long after the last event, or the last check, the stream is to be
 * checked, in ms.  `allowed_gap_ms` is the longest pause that its caller
 * accepts.
 */
int64_t cb_event_pace_silence_ms(const cb_event_pace_t *pace,
				 int64_t allowed_gap_ms);
/*
 * Returns the same for the first check after an event; other streams of the
 * service that are not stalled have one within this time.
 */
int64_t cb_event_pace_first_check_ms(const cb_event_pace_t *pace,
				     int64_t allowed_gap_ms);
/*
 * Records a check in the current gap that did not move the stream;
 * `is_working`: its server works on it, and is only slow.
 */
void cb_event_pace_count_check(cb_event_pace_t *pace, gboolean is_working);

#endif
