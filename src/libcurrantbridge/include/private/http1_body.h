#ifndef PRIVATE_HTTP1_BODY_H
#define PRIVATE_HTTP1_BODY_H

#include "currantbridge/http1_head.h"

/* Reads a body from its framing, as it arrives. */
typedef struct cb_http1_body {
	cb_http1_framing_t framing;
	/* Bytes still due: of the body, or of the present chunk. */
	uint64_t left_bytes;
	int step;
	GString *line;
	gboolean is_done;
} cb_http1_body_t;

typedef void (*cb_http1_body_fn_t)(void *user_data, const uint8_t *data,
				   size_t size);

void cb_http1_body_init(cb_http1_body_t *body, const cb_http1_head_t *head);
void cb_http1_body_clear(cb_http1_body_t *body);
cb_http1_outcome_t cb_http1_body_read(cb_http1_body_t *body,
				      const uint8_t *data, size_t size,
				      size_t *used, cb_http1_body_fn_t fn,
				      void *user_data);

#endif
