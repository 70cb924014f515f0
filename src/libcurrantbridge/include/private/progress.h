#ifndef PRIVATE_PROGRESS_H
#define PRIVATE_PROGRESS_H

#include <stdint.h>

/*
 * Estimates from the observed gaps between signs of progress how long an
 * exchange may go without progress before its server is probed.
 */
typedef struct cb_progress {
	int64_t mean_us;      /* moving average of the gaps */
	int64_t deviation_us; /* moving mean deviation from mean_us */
	uint64_t sample_count;
} cb_progress_t;

void cb_progress_gap_add(cb_progress_t *progress, int64_t gap_us);
int64_t cb_progress_timeout_ms(const cb_progress_t *progress);

#endif
