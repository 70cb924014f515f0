#ifndef PRIVATE_HTTP1_BODY_H
#define PRIVATE_HTTP1_BODY_H

#include "currantbridge/http1_head.h"

/* An incremental parser that finds the data and the end of a body. */
typedef struct cb_http1_body {
	cb_http1_framing_t framing;
	/* Bytes of the body, or of its current chunk, still to be received. */
	uint64_t remaining_bytes;
	/* What is parsed next of a chunked body: a chunk_step. */
	int step;
	GString *line; /* received part of a chunk-size or trailer line */
	/* Bytes of chunk extensions that no data has made up for. */
	uint64_t excess_bytes;
	uint64_t trailer_bytes; /* length of the trailer lines so far */
	gboolean is_done;	/* whether the end of the body was reached */
} cb_http1_body_t;

/* Called with each piece of the body's data. */
typedef void (*cb_http1_body_fn_t)(void *user_data, const uint8_t *data,
				   size_t size);

void cb_http1_body_init(cb_http1_body_t *body, const cb_http1_head_t *head);
void cb_http1_body_clear(cb_http1_body_t *body);
cb_http1_parse_result_t cb_http1_body_read(cb_http1_body_t *body,
					   const uint8_t *data, size_t size,
					   size_t *used, cb_http1_body_fn_t fn,
					   void *user_data);

#endif
