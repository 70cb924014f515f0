#ifndef CURRANTBRIDGE_HTTP1_HEAD_H
#define CURRANTBRIDGE_HTTP1_HEAD_H

#include <glib.h>
#include <stdint.h>

/*
 * The heads of HTTP/1 requests and answers, read strictly: what two programs
 * could read in two ways is refused.
 */
typedef struct cb_http1_header {
	const char *name;
	const char *value;
} cb_http1_header_t;

/* How the end of a body is told. */
typedef enum cb_http1_framing {
	CB_HTTP1_FRAMING_NONE,
	CB_HTTP1_FRAMING_LENGTH,
	CB_HTTP1_FRAMING_CHUNKED,
	CB_HTTP1_FRAMING_UNTIL_CLOSE,
} cb_http1_framing_t;

typedef struct cb_http1_head {
	char *text; /* what the other members point into */
	/* Of a request. */
	const char *method;
	const char *target;
	/* Of an answer. */
	uint32_t status;
	const char *reason;
	uint32_t minor_version;
	GArray *headers; /* of cb_http1_header_t, in the order sent */
	cb_http1_framing_t framing;
	uint64_t length_bytes;
	gboolean keeps_alive;
} cb_http1_head_t;

typedef enum cb_http1_outcome {
	CB_HTTP1_WHOLE,
	CB_HTTP1_PARTIAL, /* more bytes are needed */
	CB_HTTP1_INVALID,
	CB_HTTP1_OVERSIZE,
} cb_http1_outcome_t;

cb_http1_outcome_t cb_http1_request_parse(cb_http1_head_t *head,
					  const uint8_t *data, size_t size,
					  size_t max_bytes, size_t *used);
cb_http1_outcome_t cb_http1_answer_parse(cb_http1_head_t *head,
					 const char *request_method,
					 const uint8_t *data, size_t size,
					 size_t max_bytes, size_t *used);
void cb_http1_head_clear(cb_http1_head_t *head);

const char *cb_http1_head_find(const cb_http1_head_t *head, const char *name);
gboolean cb_http1_head_is_forwarded(const cb_http1_head_t *head,
				    const char *name);

#endif
