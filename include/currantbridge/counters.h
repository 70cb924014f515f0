#ifndef CURRANTBRIDGE_COUNTERS_H
#define CURRANTBRIDGE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* A set of named counters and gauges, rendered as Prometheus text. */
typedef struct cb_counters cb_counters_t;
typedef struct cb_counter cb_counter_t;

cb_counters_t *cb_counters_new(void);
void cb_counters_delete(cb_counters_t *counters);

cb_counter_t *cb_counters_counter(cb_counters_t *counters, const char *name,
				  const char *label, const char *value);
cb_counter_t *cb_counters_gauge(cb_counters_t *counters, const char *name,
				const char *label, const char *value);
char *cb_counters_render(const cb_counters_t *counters);

void cb_counter_add(cb_counter_t *counter, int64_t amount);
void cb_counter_set(cb_counter_t *counter, int64_t value);
int64_t cb_counter_get(const cb_counter_t *counter);

#endif
