#include "private/event_pace.h"

#include <math.h>

/* Weights of a new gap in the smoothed gap and in the smoothed deviation. */
#define GAP_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25

/* A silence of the usual gap and so many deviations is unusual. */
#define SILENCE_DEVIATIONS 4
/*
 * A stream is checked after a silence of this percentage of the allowed pause,
 * later if its usual gaps are longer.  The rest of the pause is for finding the
 * cause and moving the stream.
 */
#define CHECK_MIN_PERCENT 60
#define CHECK_MAX_PERCENT 100
/*
 * Interval of the first further checks: an engine's report shows what it knew
 * some 0.2 s before.  After RECHECKS of them the interval is doubled each time,
 * up to a percentage of the allowed pause.
 */
#define RECHECK_INTERVAL_MS 60
#define RECHECKS 3
#define LATER_CHECK_PERCENT 150
#define MAX_DOUBLINGS 8

/* Updates the smoothed gap, as TCP smooths round-trip times. */
static void gap_smooth_(cb_event_pace_t *pace, int64_t gap_ms)
{
	double difference_ms = (double)gap_ms - pace->gap_ms;

	if (!pace->gap_ms) {
		pace->gap_ms = (double)gap_ms;
		pace->deviation_ms = (double)gap_ms / 2;
		return;
	}
	pace->gap_ms += GAP_WEIGHT * difference_ms;
	pace->deviation_ms +=
		DEVIATION_WEIGHT * (fabs(difference_ms) - pace->deviation_ms);
}

void cb_event_pace_add(cb_event_pace_t *pace, int64_t now_ms)
{
	int64_t gap_ms = now_ms - pace->last_ms;

	if (pace->last_ms && gap_ms <= 0)
		return;
	if (pace->last_ms) {
		if (gap_ms > pace->longest_gap_ms) {
			pace->longest_gap_ms = gap_ms;
			pace->longest_gap_cause = pace->current_cause;
		}
		gap_smooth_(pace, gap_ms);
	}
	pace->current_cause = NULL;
	pace->is_slow = pace->working_count >= RECHECKS;
	pace->check_count = 0;
	pace->working_count = 0;
	pace->last_ms = now_ms;
}

void cb_event_pace_set_cause(cb_event_pace_t *pace, const char *cause)
{
	pace->current_cause = cause;
}

int64_t cb_event_pace_first_check_ms(const cb_event_pace_t *pace,
				     int64_t allowed_gap_ms)
{
	int64_t usual_ms = (int64_t)(pace->gap_ms +
				     SILENCE_DEVIATIONS * pace->deviation_ms);

	return CLAMP(usual_ms, allowed_gap_ms * CHECK_MIN_PERCENT / 100,
		     allowed_gap_ms * CHECK_MAX_PERCENT / 100);
}

int64_t cb_event_pace_silence_ms(const cb_event_pace_t *pace,
				 int64_t allowed_gap_ms)
{
	/* Further checks of a stream that was only slow would cost too much. */
	if (pace->is_slow)
		return (allowed_gap_ms * LATER_CHECK_PERCENT / 100)
		       << MIN(pace->check_count, MAX_DOUBLINGS);
	if (!pace->check_count)
		return cb_event_pace_first_check_ms(pace, allowed_gap_ms);
	if (pace->check_count <= RECHECKS)
		return RECHECK_INTERVAL_MS;
	return MIN(RECHECK_INTERVAL_MS
			   << MIN(pace->check_count - RECHECKS, MAX_DOUBLINGS),
		   allowed_gap_ms * LATER_CHECK_PERCENT / 100);
}

void cb_event_pace_count_check(cb_event_pace_t *pace, gboolean is_working)
{
	pace->check_count++;
	pace->working_count += is_working != 0;
}
