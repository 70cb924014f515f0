#ifndef CURRANTBRIDGE_COUNTERS_H
#define CURRANTBRIDGE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* A set of named counters, gauges and histograms, rendered for Prometheus. */
typedef struct cb_counters cb_counters_t;
typedef struct cb_counter cb_counter_t;
/* A histogram of durations in ms, with bucket bounds 2 to 2.5 times apart. */
typedef struct cb_histogram cb_histogram_t;

/* Sets gauges before a rendering. */
typedef void (*cb_counters_update_fn_t)(void *user_data);

cb_counters_t *cb_counters_new(void);
void cb_counters_delete(cb_counters_t *counters);

cb_counter_t *cb_counters_counter(cb_counters_t *counters, const char *name,
				  const char *label, const char *value);
cb_counter_t *cb_counters_gauge(cb_counters_t *counters, const char *name,
				const char *label, const char *value);
cb_histogram_t *cb_counters_histogram(cb_counters_t *counters, const char *name,
				      const char *label, const char *value);
void cb_counters_on_render(cb_counters_t *counters, cb_counters_update_fn_t fn,
			   void *user_data);
char *cb_counters_render(const cb_counters_t *counters);

void cb_counter_add(cb_counter_t *counter, int64_t amount);
void cb_counter_set(cb_counter_t *counter, int64_t value);
int64_t cb_counter_get(const cb_counter_t *counter);

void cb_histogram_add(cb_histogram_t *histogram, int64_t value_ms);

#endif
