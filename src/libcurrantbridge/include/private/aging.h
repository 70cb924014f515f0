#ifndef PRIVATE_AGING_H
#define PRIVATE_AGING_H

#include <glib.h>
#include <stdint.h>

/* A set of names, ordered by when they were added and with that time. */
typedef struct cb_aging cb_aging_t;

cb_aging_t *cb_aging_new(void);
void cb_aging_delete(cb_aging_t *aging);
void cb_aging_add(cb_aging_t *aging, const char *name, int64_t at_ms);
void cb_aging_remove(cb_aging_t *aging, const char *name);
unsigned int cb_aging_count(const cb_aging_t *aging);
const char *cb_aging_oldest(const cb_aging_t *aging, int64_t *at_ms);
void cb_aging_foreach(const cb_aging_t *aging,
		      void (*fn)(const char *name, int64_t at_ms,
				 void *user_data),
		      void *user_data);

#endif
