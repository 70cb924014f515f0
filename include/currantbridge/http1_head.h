#ifndef CURRANTBRIDGE_HTTP1_HEAD_H
#define CURRANTBRIDGE_HTTP1_HEAD_H

#include <glib.h>
#include <stdint.h>

/*
 * A strict parser for the heads of HTTP/1 requests and answers.  A head that
 * two implementations could interpret differently is invalid; this prevents
 * request smuggling.
 */
typedef struct cb_http1_header {
	const char *name;
	const char *value;
} cb_http1_header_t;

/* How the end of a body is determined. */
typedef enum cb_http1_framing {
	CB_HTTP1_FRAMING_NONE, /* the message has no body */
	/* Content-Length gives the size of the body. */
	CB_HTTP1_FRAMING_LENGTH,
	CB_HTTP1_FRAMING_CHUNKED, /* a chunk of size 0 ends the body */
	/* The end of the connection ends the body. */
	CB_HTTP1_FRAMING_UNTIL_CLOSE,
	CB_HTTP1_FRAMING_COUNT
} cb_http1_framing_t;

/* The name of each framing, for log lines. */
extern const char *const cb_http1_framing_string[CB_HTTP1_FRAMING_COUNT];

typedef struct cb_http1_head {
	char *text; /* the copy of the head that the strings point into */
	/* The method and target are set for a request only. */
	const char *method;
	const char *target;
	/* The status and reason are set for an answer only. */
	uint32_t status;
	const char *reason;
	uint32_t minor_version; /* 1 for HTTP/1.1, 0 for HTTP/1.0 */
	/* Headers in the order sent: cb_http1_header_t. */
	GArray *headers;
	cb_http1_framing_t framing;
	/* Value of Content-Length; 0 if the header is missing. */
	uint64_t length_bytes;
	gboolean keeps_alive; /* whether the connection is kept open */
} cb_http1_head_t;

typedef enum cb_http1_parse_result {
	CB_HTTP1_PARSE_COMPLETE, /* the head or body is complete */
	CB_HTTP1_PARSE_PARTIAL,	 /* more bytes are needed */
	CB_HTTP1_PARSE_INVALID,
	/* The head or body is over the size limit, or has too many headers. */
	CB_HTTP1_PARSE_OVERSIZE,
} cb_http1_parse_result_t;

cb_http1_parse_result_t cb_http1_request_parse(cb_http1_head_t *head,
					       const uint8_t *data, size_t size,
					       size_t max_bytes, size_t *used);
cb_http1_parse_result_t cb_http1_answer_parse(cb_http1_head_t *head,
					      const char *request_method,
					      const uint8_t *data, size_t size,
					      size_t max_bytes, size_t *used);
void cb_http1_head_clear(cb_http1_head_t *head);

const char *cb_http1_head_find(const cb_http1_head_t *head, const char *name);
gboolean cb_http1_head_is_forwarded(const cb_http1_head_t *head,
				    const char *name);

#endif
