#ifndef PRIVATE_PROGRESS_H
#define PRIVATE_PROGRESS_H

#include <stdint.h>

/* How long an exchange may stay without progress before it is probed. */
typedef struct cb_progress {
	int64_t mean_us;
	int64_t deviation_us;
	uint64_t sample_count;
} cb_progress_t;

void cb_progress_note(cb_progress_t *progress, int64_t gap_us);
int64_t cb_progress_deadline_ms(const cb_progress_t *progress);

#endif
