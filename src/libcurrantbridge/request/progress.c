#include "private/progress.h"

#include <glib.h>

#define US_PER_MS 1000
/* Progress timeout until the first gap has been observed. */
#define INITIAL_TIMEOUT_MS 2000
#define MIN_TIMEOUT_MS 120
#define MAX_TIMEOUT_MS 2000
#define MEAN_FACTOR 2
#define DEVIATION_FACTOR 4
/* A new sample moves the average by 1 / divisor of its difference. */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4

/* Adds the observed gap between two signs of progress to the estimate. */
void cb_progress_gap_add(cb_progress_t *progress, int64_t gap_us)
{
	int64_t error_us = gap_us - progress->mean_us;

	if (!progress->sample_count++) {
		progress->mean_us = gap_us;
		progress->deviation_us = gap_us / 2;
		return;
	}
	progress->mean_us += error_us / MEAN_DIVISOR;
	progress->deviation_us +=
		(ABS(error_us) - progress->deviation_us) / DEVIATION_DIVISOR;
}

/* Returns how long to wait for the next sign of progress. */
int64_t cb_progress_timeout_ms(const cb_progress_t *progress)
{
	int64_t timeout_us;

	if (!progress->sample_count)
		return INITIAL_TIMEOUT_MS;
	timeout_us = progress->mean_us * MEAN_FACTOR +
		     progress->deviation_us * DEVIATION_FACTOR;
	return CLAMP(timeout_us / US_PER_MS, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
}
