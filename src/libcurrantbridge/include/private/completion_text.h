#ifndef PRIVATE_COMPLETION_TEXT_H
#define PRIVATE_COMPLETION_TEXT_H

#include "private/completion_request.h"

/* The JSON texts of one completion's answer, after OpenAI's interface. */
typedef struct cb_completion_text cb_completion_text_t;

cb_completion_text_t *cb_completion_text_new(cb_completion_kind_t kind,
					     const char *id, const char *model,
					     int64_t created_s);
void cb_completion_text_delete(cb_completion_text_t *text);
void cb_completion_text_token(const cb_completion_text_t *text, GString *out,
			      const char *token);
void cb_completion_text_end(const cb_completion_text_t *text, GString *out,
			    const char *finish_reason);
void cb_completion_text_whole(const cb_completion_text_t *text, GString *out,
			      const char *content, const char *finish_reason,
			      uint64_t token_count);

#endif
