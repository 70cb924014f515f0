#include "support_callers.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* Records a token, which must arrive in order and before the end. */
static void token_receive_(void *user_data, uint64_t index, const char *text)
{
	support_caller_t *caller = user_data;
	int64_t now_ms = cb_clock_now_ms(caller->engines->clock);

	CU_ASSERT_EQUAL(index, caller->token_count);
	CU_ASSERT_FALSE(caller->is_ended);
	caller->token_count++;
	g_string_append(caller->text, text);
	if (caller->last_token_ms >= 0)
		caller->max_token_gap_ms = MAX(caller->max_token_gap_ms,
					       now_ms - caller->last_token_ms);
	caller->last_token_ms = now_ms;
}

/* Records the end of the generation, which must come only once. */
static void generation_end_receive_(void *user_data,
				    const cb_generation_end_t *end)
{
	support_caller_t *caller = user_data;

	CU_ASSERT_FALSE(caller->is_ended);
	caller->is_ended = TRUE;
	caller->end = *end;
	caller->ended_ms = cb_clock_now_ms(caller->engines->clock);
	cb_generation_delete(caller->generation);
	caller->generation = NULL;
}

/* Starts a generation of workspace "w" on an entry instance. */
support_caller_t *support_caller_new(support_entry_t *entry, const char *prompt,
				     uint64_t max_tokens, int64_t deadline_ms)
{
	support_caller_t *caller = g_new0(support_caller_t, 1);
	cb_generation_request_t request = { .request = "r",
					    .workspace = "w",
					    .model = SUPPORT_MODEL,
					    .prompt = prompt,
					    .max_tokens = max_tokens,
					    .deadline_ms = deadline_ms };
	cb_generation_sink_t sink = { token_receive_, generation_end_receive_,
				      caller };

	caller->engines = entry->engines;
	caller->prompt = g_strdup(prompt);
	caller->max_tokens = max_tokens;
	caller->text = g_string_new(NULL);
	caller->last_token_ms = -1;
	caller->generation = cb_generation_new(entry->env, &request, &sink);
	cb_generation_start(caller->generation);
	CU_ASSERT_FALSE(caller->is_ended);
	return caller;
}

/* Frees the caller and cancels its generation if that is still running. */
void support_caller_delete(support_caller_t *caller)
{
	cb_generation_delete(caller->generation);
	g_string_free(caller->text, TRUE);
	g_free(caller->prompt);
	g_free(caller);
}

/* Whether the caller received the complete answer to its own prompt. */
gboolean support_caller_has_full_answer(const support_caller_t *caller)
{
	char *answer =
		support_expected_answer(caller->prompt, caller->max_tokens);
	gboolean is_complete = caller->is_ended &&
			       caller->end.refusal == CB_REFUSAL_NONE &&
			       !strcmp(answer, caller->text->str);

	g_free(answer);
	return is_complete;
}
