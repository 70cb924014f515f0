#ifndef PRIVATE_COMPLETION_TEXT_H
#define PRIVATE_COMPLETION_TEXT_H

#include "private/completion_request.h"

/*
 * Formats the answer of one completion as JSON or as server-sent events, in
 * the form of OpenAI's API.
 */
typedef struct cb_completion_text cb_completion_text_t;

cb_completion_text_t *cb_completion_text_new(cb_completion_kind_t kind,
					     const char *id, const char *model,
					     int64_t created_s);
void cb_completion_text_delete(cb_completion_text_t *text);
void cb_completion_text_append_token(const cb_completion_text_t *text,
				     GString *out, const char *token);
void cb_completion_text_append_end(const cb_completion_text_t *text,
				   GString *out, const char *finish_reason);
void cb_completion_text_append_whole(const cb_completion_text_t *text,
				     GString *out, const char *content,
				     const char *finish_reason,
				     uint64_t token_count);

#endif
