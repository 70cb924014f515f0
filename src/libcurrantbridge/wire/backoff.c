#include "private/link.h"

/* Prepares delays from `first_ms` up to `longest_ms`; takes no `random`. */
void cb_backoff_init(cb_backoff_t *backoff, GRand *random, int64_t first_ms,
		     int64_t longest_ms)
{
	backoff->random = random;
	backoff->first_ms = first_ms;
	backoff->longest_ms = longest_ms;
	backoff->next_ms = first_ms;
}

/* Returns the next delay: half of it fixed, half drawn at random. */
int64_t cb_backoff_next_ms(cb_backoff_t *backoff)
{
	int64_t bound_ms = backoff->next_ms;
	int64_t fixed_ms = bound_ms / 2;

	backoff->next_ms = MIN(bound_ms * 2, backoff->longest_ms);
	return fixed_ms + g_rand_int_range(backoff->random, 0,
					   (int)(bound_ms - fixed_ms) + 1);
}

/* Begins with the first delay again, after a success. */
void cb_backoff_reset(cb_backoff_t *backoff)
{
	backoff->next_ms = backoff->first_ms;
}
