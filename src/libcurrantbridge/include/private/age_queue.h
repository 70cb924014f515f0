#ifndef PRIVATE_AGE_QUEUE_H
#define PRIVATE_AGE_QUEUE_H

#include <glib.h>
#include <stdint.h>

/* A queue of distinct names, each with the time at which it was added. */
typedef struct cb_age_queue cb_age_queue_t;

cb_age_queue_t *cb_age_queue_new(void);
void cb_age_queue_delete(cb_age_queue_t *queue);
void cb_age_queue_add(cb_age_queue_t *queue, const char *name, int64_t at_ms);
void cb_age_queue_remove(cb_age_queue_t *queue, const char *name);
unsigned int cb_age_queue_count(const cb_age_queue_t *queue);
const char *cb_age_queue_oldest(const cb_age_queue_t *queue, int64_t *at_ms);
void cb_age_queue_foreach(const cb_age_queue_t *queue,
			  void (*fn)(const char *name, int64_t at_ms,
				     void *user_data),
			  void *user_data);

#endif
