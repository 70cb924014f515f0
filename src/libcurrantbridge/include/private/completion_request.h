#ifndef PRIVATE_COMPLETION_REQUEST_H
#define PRIVATE_COMPLETION_REQUEST_H

#include <glib.h>
#include <stdint.h>

#define CB_MAX_TOKENS_DEFAULT 256
#define CB_MAX_TOKENS_LIMIT 1000000

typedef enum cb_completion_kind {
	CB_COMPLETION_TEXT,
	CB_COMPLETION_CHAT,
} cb_completion_kind_t;

/* The checked fields of a completion request. */
typedef struct cb_completion_request {
	char *model;
	/* Text of the prompt; a chat has a "ROLE: CONTENT" line per message. */
	char *prompt;
	int64_t max_tokens;
	gboolean is_streamed;
} cb_completion_request_t;

gboolean cb_completion_request_parse(cb_completion_request_t *request,
				     cb_completion_kind_t kind,
				     const char *text, size_t size_bytes,
				     GError **error);
void cb_completion_request_clear(cb_completion_request_t *request);

#endif
