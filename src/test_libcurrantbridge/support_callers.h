#ifndef SUPPORT_CALLERS_H
#define SUPPORT_CALLERS_H

#include "support_engines.h"

/* A simulated caller of one generation, with the tokens it received. */
typedef struct support_caller {
	support_engines_t *engines;
	cb_generation_t *generation;
	char *prompt;
	uint64_t max_tokens;
	uint64_t token_count;
	GString *text;		  /* the tokens received */
	int64_t last_token_ms;	  /* time of the last token; -1: none yet */
	int64_t max_token_gap_ms; /* longest time between successive tokens */
	gboolean is_ended;	  /* whether the generation has ended */
	int64_t ended_ms;
	cb_generation_end_t end;
} support_caller_t;

support_caller_t *support_caller_new(support_entry_t *entry, const char *prompt,
				     uint64_t max_tokens, int64_t deadline_ms);
void support_caller_delete(support_caller_t *caller);
gboolean support_caller_has_full_answer(const support_caller_t *caller);

#endif
