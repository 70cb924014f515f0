#include "private/progress.h"

#include <glib.h>

#define US_PER_MS 1000
/* Before the first observed gap. */
#define INITIAL_DEADLINE_MS 2000
#define MIN_DEADLINE_MS 120
#define MAX_DEADLINE_MS 2000
#define MEAN_FACTOR 2
#define DEVIATION_FACTOR 4
#define MEAN_SHARE 8
#define DEVIATION_SHARE 4

/* Takes in one observed gap between two signs of progress. */
void cb_progress_note(cb_progress_t *progress, int64_t gap_us)
{
	int64_t error_us = gap_us - progress->mean_us;

	if (!progress->sample_count++) {
		progress->mean_us = gap_us;
		progress->deviation_us = gap_us / 2;
		return;
	}
	progress->mean_us += error_us / MEAN_SHARE;
	progress->deviation_us +=
		(ABS(error_us) - progress->deviation_us) / DEVIATION_SHARE;
}

/* Returns how long to wait for the next sign of progress, in ms. */
int64_t cb_progress_deadline_ms(const cb_progress_t *progress)
{
	int64_t deadline_us;

	if (!progress->sample_count)
		return INITIAL_DEADLINE_MS;
	deadline_us = progress->mean_us * MEAN_FACTOR +
		      progress->deviation_us * DEVIATION_FACTOR;
	return CLAMP(deadline_us / US_PER_MS, MIN_DEADLINE_MS, MAX_DEADLINE_MS);
}
