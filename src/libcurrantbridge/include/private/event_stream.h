#ifndef PRIVATE_EVENT_STREAM_H
#define PRIVATE_EVENT_STREAM_H

#include "private/caller.h"

/* An answer streamed to a caller as server-sent events. */
typedef struct cb_event_stream cb_event_stream_t;

/* Called once, from the main loop, if the caller reads too slowly. */
typedef void (*cb_event_stream_overflow_fn_t)(void *user_data);

cb_event_stream_t *cb_event_stream_new(cb_caller_t *caller,
				       int64_t max_unread_bytes,
				       cb_event_stream_overflow_fn_t overflowed,
				       void *user_data);
void cb_event_stream_delete(cb_event_stream_t *stream);
void cb_event_stream_write(cb_event_stream_t *stream, const GString *events);
void cb_event_stream_end(cb_event_stream_t *stream);
int64_t cb_event_stream_unread_bytes(const cb_event_stream_t *stream);

#endif
