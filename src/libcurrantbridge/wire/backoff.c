#include "private/link.h"

/*
 * Initialises a backoff with delays from `initial_ms` to `max_ms`; `random` is
 * not owned.
 */
void cb_backoff_init(cb_backoff_t *backoff, GRand *random, int64_t initial_ms,
		     int64_t max_ms)
{
	backoff->random = random;
	backoff->initial_ms = initial_ms;
	backoff->max_ms = max_ms;
	backoff->next_ms = initial_ms;
}

/* Returns the next delay in ms: random, from half of `next_ms` up to it. */
int64_t cb_backoff_next_ms(cb_backoff_t *backoff)
{
	int64_t max_delay_ms = backoff->next_ms;
	int64_t fixed_ms = max_delay_ms / 2;

	backoff->next_ms = MIN(max_delay_ms * 2, backoff->max_ms);
	return fixed_ms + g_rand_int_range(backoff->random, 0,
					   (int)(max_delay_ms - fixed_ms) + 1);
}

/* Restarts at the initial delay; called after a success. */
void cb_backoff_reset(cb_backoff_t *backoff)
{
	backoff->next_ms = backoff->initial_ms;
}
