#include <string.h>

#include "private/caller.h"
#include "private/completion_request.h"
#include "private/completion_text.h"
#include "private/event_stream.h"

#define MS_PER_S 1000

/* One completion: the caller's request, its generation and its answer. */
typedef struct completion {
	cb_caller_t *caller;
	cb_entry_t *entry;
	cb_completion_request_t request;
	cb_completion_text_t *text;
	char *workspace;
	cb_generation_t *generation;
	gboolean is_generation_ended;
	/* Answer of a streamed request; NULL before the first token. */
	cb_event_stream_t *stream;
	/* Text of the answer so far; NULL if the request is streamed. */
	GString *answer_text;
	uint64_t token_count;
} completion_t;

static void completion_delete_(completion_t *completion)
{
	cb_event_stream_delete(completion->stream);
	if (completion->generation)
		cb_generation_delete(completion->generation);
	cb_caller_delete(completion->caller);
	cb_completion_request_clear(&completion->request);
	cb_completion_text_delete(completion->text);
	g_free(completion->workspace);
	if (completion->answer_text)
		g_string_free(completion->answer_text, TRUE);
	g_free(completion);
}

/* Called when the answer is sent or the caller has disconnected. */
static void exchange_ended_(void *user_data)
{
	completion_t *completion = user_data;

	if (!completion->is_generation_ended) {
		cb_counter_add(completion->entry->abandoned_counter, 1);
		if (completion->generation)
			cb_generation_cancel(completion->generation);
	}
	completion_delete_(completion);
}

/* Ends the request of a caller that reads its stream too slowly. */
static void stream_overflowed_(void *user_data)
{
	completion_t *completion = user_data;
	cb_entry_t *entry = completion->entry;

	cb_counter_add(entry->refusal_counters[CB_REFUSAL_CALLER_TOO_SLOW], 1);
	cb_log_event(cb_kernel_log(entry->kernel), CB_EVENT_CALLER_TOO_SLOW,
		     CB_STR("request", cb_caller_public_id(completion->caller)),
		     CB_INT("unread_bytes",
			    cb_event_stream_unread_bytes(completion->stream)));
	if (!completion->is_generation_ended)
		cb_generation_cancel(completion->generation);
	cb_caller_disconnect(completion->caller);
	completion_delete_(completion);
}

static void stream_begin_(completion_t *completion)
{
	if (completion->stream)
		return;
	completion->stream =
		cb_event_stream_new(completion->caller,
				    completion->entry->options.max_unread_bytes,
				    stream_overflowed_, completion);
}

static void token_forward_(void *user_data, uint64_t index, const char *token)
{
	completion_t *completion = user_data;
	GString *event = completion->entry->event_buffer;

	g_assert(index == completion->token_count);
	completion->token_count++;
	cb_caller_charge(completion->caller, 1);
	cb_counter_add(completion->entry->token_counter, 1);
	if (!completion->request.is_streamed) {
		g_string_append(completion->answer_text, token);
		return;
	}
	stream_begin_(completion);
	g_string_truncate(event, 0);
	cb_completion_text_append_token(completion->text, event, token);
	cb_event_stream_write(completion->stream, event);
}

static const char *finish_reason_get_(const completion_t *completion)
{
	return completion->token_count ==
			       (uint64_t)completion->request.max_tokens ?
		       "length" :
		       "stop";
}

/* Ends a started stream with an event that reports the error. */
static void stream_end_with_error_(completion_t *completion,
				   const cb_caller_error_t *error)
{
	GString *event = completion->entry->event_buffer;
	char *text = cb_caller_error_json(error);

	cb_counter_add(completion->entry->refusal_counters[error->refusal], 1);
	g_string_printf(event, "event: error\ndata: %s\n\n", text);
	g_free(text);
	cb_event_stream_write(completion->stream, event);
	cb_event_stream_end(completion->stream);
}

/* Answers a completion request that is not streamed. */
static void whole_answer_send_(completion_t *completion)
{
	SoupServerMessage *message = cb_caller_message(completion->caller);
	GString *text = g_string_new(NULL);
	size_t size_bytes;

	cb_completion_text_append_whole(completion->text, text,
					completion->answer_text->str,
					finish_reason_get_(completion),
					completion->token_count);
	size_bytes = text->len;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE),
					 size_bytes);
	cb_caller_resume(completion->caller);
}

static void stream_end_(completion_t *completion)
{
	GString *events = completion->entry->event_buffer;

	stream_begin_(completion);
	g_string_truncate(events, 0);
	cb_completion_text_append_end(completion->text, events,
				      finish_reason_get_(completion));
	cb_event_stream_write(completion->stream, events);
	cb_event_stream_end(completion->stream);
}

static void generation_ended_(void *user_data, const cb_generation_end_t *end)
{
	completion_t *completion = user_data;
	cb_caller_error_t error = {
		.refusal = end->refusal,
		.executed = end->executed,
		.retry_after_s = end->retry_after_s,
	};

	completion->is_generation_ended = TRUE;
	if (end->refusal == CB_REFUSAL_NONE) {
		if (completion->request.is_streamed)
			stream_end_(completion);
		else
			whole_answer_send_(completion);
		return;
	}
	if (completion->stream) {
		stream_end_with_error_(completion, &error);
		return;
	}
	cb_caller_refuse(completion->caller, &error);
	cb_caller_resume(completion->caller);
}

static void generation_start_(completion_t *completion,
			      const cb_contract_t *contract)
{
	cb_generation_request_t request = {
		.request = cb_caller_unique_id(completion->caller),
		.workspace = contract->workspace,
		.model = completion->request.model,
		.prompt = completion->request.prompt,
		.max_tokens = (uint64_t)completion->request.max_tokens,
		.priority = contract->priority,
		.deadline_ms = contract->deadline_ms,
	};
	cb_generation_sink_t sink = {
		.token = token_forward_,
		.ended = generation_ended_,
		.user_data = completion,
	};

	completion->generation =
		cb_generation_new(completion->entry->generation_env, &request,
				  &sink);
	cb_generation_start(completion->generation);
}

/* Starts the generation, or answers with the refusal. */
static void admission_decided_(void *user_data, cb_refusal_t refusal,
			       int64_t retry_after_s)
{
	completion_t *completion = user_data;
	/* The contract may have changed while the request was queued. */
	const cb_contract_t *contract =
		cb_view_contract(completion->entry->view,
				 completion->workspace);
	cb_generation_end_t end = { .refusal = refusal,
				    .executed = CB_EXECUTED_NO,
				    .retry_after_s = retry_after_s };

	if (refusal == CB_REFUSAL_NONE && contract) {
		generation_start_(completion, contract);
		return;
	}
	if (refusal == CB_REFUSAL_NONE)
		end.refusal = CB_REFUSAL_KEY_UNKNOWN;
	generation_ended_(completion, &end);
}

/*
 * Parses the request's body; answers with an error and returns FALSE if it is
 * invalid.
 */
static gboolean request_parse_(completion_t *completion,
			       cb_completion_kind_t kind)
{
	cb_caller_error_t caller_error = { .refusal = CB_REFUSAL_MALFORMED };
	SoupMessageBody *body = soup_server_message_get_request_body(
		cb_caller_message(completion->caller));
	GBytes *bytes = soup_message_body_flatten(body);
	GError *error = NULL;
	size_t size_bytes;
	const char *text = g_bytes_get_data(bytes, &size_bytes);
	gboolean is_parsed = cb_completion_request_parse(&completion->request,
							 kind, text ? text : "",
							 size_bytes, &error);

	g_bytes_unref(bytes);
	if (is_parsed)
		return TRUE;
	caller_error.detail = error->message;
	cb_caller_refuse(completion->caller, &caller_error);
	g_error_free(error);
	return FALSE;
}

/*
 * Returns whether the contract allows the model; if not, answers with the
 * refusal.
 */
static gboolean contract_allows_model_(completion_t *completion,
				       const cb_contract_t *contract)
{
	cb_caller_error_t caller_error = { .refusal =
						   CB_REFUSAL_MODEL_UNKNOWN };

	if (cb_contract_has_model(contract, completion->request.model))
		return TRUE;
	cb_caller_refuse(completion->caller, &caller_error);
	return FALSE;
}

static void completion_handle_(cb_entry_t *entry, SoupServerMessage *message,
			       cb_completion_kind_t kind)
{
	const cb_contract_t *contract;
	cb_caller_t *caller = cb_caller_accept(entry, message, &contract);
	cb_admission_request_t admission;
	completion_t *completion;

	if (!caller)
		return;
	completion = g_new0(completion_t, 1);
	completion->caller = caller;
	completion->entry = entry;
	if (!request_parse_(completion, kind) ||
	    !contract_allows_model_(completion, contract)) {
		completion_delete_(completion);
		return;
	}
	completion->text = cb_completion_text_new(
		kind, cb_caller_public_id(caller), completion->request.model,
		cb_clock_wall_ms(cb_kernel_clock(entry->kernel)) / MS_PER_S);
	if (!completion->request.is_streamed)
		completion->answer_text = g_string_new(NULL);
	completion->workspace = g_strdup(contract->workspace);
	admission.contract = contract;
	admission.target = completion->request.model;
	admission.max_tokens = (uint64_t)completion->request.max_tokens;
	cb_caller_suspend(caller, exchange_ended_, completion);
	cb_caller_submit(caller, &admission, admission_decided_, completion);
}

/* Serves POST /v1/completions. */
void cb_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
			   const char *path, GHashTable *query)
{
	(void)path;
	(void)query;
	completion_handle_(entry, message, CB_COMPLETION_TEXT);
}

/* Serves POST /v1/chat/completions. */
void cb_chat_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
				const char *path, GHashTable *query)
{
	(void)path;
	(void)query;
	completion_handle_(entry, message, CB_COMPLETION_CHAT);
}
