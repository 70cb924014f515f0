#ifndef PRIVATE_EVENT_SPLITTER_H
#define PRIVATE_EVENT_SPLITTER_H

#include <glib.h>
#include <stdint.h>

/* Splits a stream of server-sent events into complete, unchanged events. */
typedef struct cb_event_splitter {
	GString *partial; /* received bytes of an incomplete event */
	/* Length of the beginning of `partial` that holds no event's end. */
	size_t scanned_bytes;
	uint64_t event_count; /* complete events so far */
} cb_event_splitter_t;

/* Called with each complete event; `id` is -1 if it has no numeric ID. */
typedef void (*cb_event_fn_t)(void *user_data, int64_t id, const char *data,
			      size_t size);

void cb_event_splitter_init(cb_event_splitter_t *splitter);
void cb_event_splitter_clear(cb_event_splitter_t *splitter);
void cb_event_splitter_add(cb_event_splitter_t *splitter, const uint8_t *data,
			   size_t size, cb_event_fn_t fn, void *user_data);
gboolean cb_event_has_data(const char *event, size_t size);
gboolean cb_event_splitter_is_inside_event(const cb_event_splitter_t *splitter);

#endif
