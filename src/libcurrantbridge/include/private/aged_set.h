#ifndef PRIVATE_AGED_SET_H
#define PRIVATE_AGED_SET_H

#include <glib.h>
#include <stdint.h>

/*
 * A set of hashes that forgets each of them some time after it was last added,
 * and the oldest ones when there are too many.
 */
typedef struct cb_aged_set cb_aged_set_t;

/* A hash is kept for `keep_ms` at least, while `max_count` newer ones fit. */
cb_aged_set_t *cb_aged_set_new(int64_t keep_ms, unsigned int max_count);
void cb_aged_set_delete(cb_aged_set_t *set);
void cb_aged_set_add(cb_aged_set_t *set, uint64_t hash, int64_t now_ms);
gboolean cb_aged_set_contains(cb_aged_set_t *set, uint64_t hash,
			      int64_t now_ms);
/* Returns when a hash was last added; -1: it is not in the set. */
int64_t cb_aged_set_added_ms(cb_aged_set_t *set, uint64_t hash, int64_t now_ms);

#endif
