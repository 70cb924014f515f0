#ifndef PRIVATE_EVENT_STREAM_H
#define PRIVATE_EVENT_STREAM_H

#include "private/caller.h"

/* The streamed part of an answer: server-sent events, written as they come. */
typedef struct cb_event_stream cb_event_stream_t;

/* The caller does not read; called from the loop, once. */
typedef void (*cb_event_stream_full_fn_t)(void *user_data);

cb_event_stream_t *cb_event_stream_new(cb_caller_t *caller,
				       int64_t max_unread_bytes,
				       cb_event_stream_full_fn_t full,
				       void *user_data);
void cb_event_stream_delete(cb_event_stream_t *stream);
void cb_event_stream_write(cb_event_stream_t *stream, const GString *events);
void cb_event_stream_end(cb_event_stream_t *stream);
int64_t cb_event_stream_unread_bytes(const cb_event_stream_t *stream);

#endif
