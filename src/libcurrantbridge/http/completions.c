#include <string.h>

#include "private/caller.h"
#include "private/completion_request.h"
#include "private/completion_text.h"
#include "private/event_stream.h"

#define MS_PER_S 1000

/* One completion: a caller's request, the generation, and the answer. */
typedef struct completion {
	cb_caller_t *caller;
	cb_entry_t *entry;
	cb_completion_request_t request;
	cb_completion_text_t *text;
	char *workspace;
	cb_generation_t *generation;
	gboolean is_ended;	   /* the generation has */
	cb_event_stream_t *stream; /* NULL before the first token */
	GString *answer;	   /* of a request that is not streamed */
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
	if (completion->answer)
		g_string_free(completion->answer, TRUE);
	g_free(completion);
}

/* The exchange is over, by its end or because the caller went away. */
static void gone_(void *user_data)
{
	completion_t *completion = user_data;

	if (!completion->is_ended) {
		cb_counter_add(completion->entry->abandoned, 1);
		if (completion->generation)
			cb_generation_cancel(completion->generation);
	}
	completion_delete_(completion);
}

/* The caller has not read what it was sent: gives the request up. */
static void full_(void *user_data)
{
	completion_t *completion = user_data;
	cb_entry_t *entry = completion->entry;

	cb_counter_add(entry->refusals[CB_REFUSAL_CALLER_TOO_SLOW], 1);
	cb_log_event(cb_kernel_log(entry->kernel), CB_EVENT_CALLER_TOO_SLOW,
		     CB_STR("request", cb_caller_id(completion->caller)),
		     CB_INT("unread_bytes",
			    cb_event_stream_unread_bytes(completion->stream)));
	if (!completion->is_ended)
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
				    full_, completion);
}

static void token_(void *user_data, uint64_t index, const char *token)
{
	completion_t *completion = user_data;
	GString *event = completion->entry->scratch;

	g_assert(index == completion->token_count);
	completion->token_count++;
	cb_caller_charge(completion->caller, 1);
	cb_counter_add(completion->entry->tokens, 1);
	if (!completion->request.is_streamed) {
		g_string_append(completion->answer, token);
		return;
	}
	stream_begin_(completion);
	g_string_truncate(event, 0);
	cb_completion_text_token(completion->text, event, token);
	cb_event_stream_write(completion->stream, event);
}

static const char *finish_reason_(const completion_t *completion)
{
	return completion->token_count ==
			       (uint64_t)completion->request.max_tokens ?
		       "length" :
		       "stop";
}

/* Ends a stream that is under way with an error that its caller can read. */
static void stream_fail_(completion_t *completion,
			 const cb_caller_error_t *error)
{
	GString *event = completion->entry->scratch;
	char *text = cb_error_text(error);

	cb_counter_add(completion->entry->refusals[error->refusal], 1);
	g_string_printf(event, "event: error\ndata: %s\n\n", text);
	g_free(text);
	cb_event_stream_write(completion->stream, event);
	cb_event_stream_end(completion->stream);
}

/* Answers a request that is not streamed. */
static void whole_answer_(completion_t *completion)
{
	SoupServerMessage *message = cb_caller_message(completion->caller);
	GString *text = g_string_new(NULL);
	size_t size_bytes;

	cb_completion_text_whole(completion->text, text,
				 completion->answer->str,
				 finish_reason_(completion),
				 completion->token_count);
	size_bytes = text->len;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE,
					 g_string_free(text, FALSE),
					 size_bytes);
	cb_caller_resume(completion->caller);
}

static void whole_stream_end_(completion_t *completion)
{
	GString *events = completion->entry->scratch;

	stream_begin_(completion);
	g_string_truncate(events, 0);
	cb_completion_text_end(completion->text, events,
			       finish_reason_(completion));
	cb_event_stream_write(completion->stream, events);
	cb_event_stream_end(completion->stream);
}

static void ended_(void *user_data, const cb_generation_end_t *end)
{
	completion_t *completion = user_data;
	cb_caller_error_t error = {
		.refusal = end->refusal,
		.executed = end->executed,
		.retry_after_s = end->retry_after_s,
	};

	completion->is_ended = TRUE;
	if (end->refusal == CB_REFUSAL_NONE) {
		if (completion->request.is_streamed)
			whole_stream_end_(completion);
		else
			whole_answer_(completion);
		return;
	}
	if (completion->stream) {
		stream_fail_(completion, &error);
		return;
	}
	cb_caller_refuse(completion->caller, &error);
	cb_caller_resume(completion->caller);
}

static void generation_start_(completion_t *completion,
			      const cb_contract_t *contract)
{
	cb_generation_request_t request = {
		.request = cb_caller_request(completion->caller),
		.workspace = contract->workspace,
		.model = completion->request.model,
		.prompt = completion->request.prompt,
		.max_tokens = (uint64_t)completion->request.max_tokens,
		.priority = contract->priority,
		.deadline_ms = contract->deadline_ms,
	};
	cb_generation_sink_t sink = {
		.token = token_,
		.ended = ended_,
		.user_data = completion,
	};

	completion->generation =
		cb_generation_new(completion->entry->generations, &request,
				  &sink);
	cb_generation_start(completion->generation);
}

/* Starts the generation, or tells the caller why it may not begin. */
static void decided_(void *user_data, cb_refusal_t refusal,
		     int64_t retry_after_s)
{
	completion_t *completion = user_data;
	/* While the request waited, its contract may have changed. */
	const cb_contract_t *contract =
		cb_view_contract(completion->entry->view,
				 completion->workspace);
	cb_generation_end_t refused = { .refusal = refusal,
					.executed = CB_EXECUTED_NO,
					.retry_after_s = retry_after_s };

	if (refusal == CB_REFUSAL_NONE && contract) {
		generation_start_(completion, contract);
		return;
	}
	if (refusal == CB_REFUSAL_NONE)
		refused.refusal = CB_REFUSAL_KEY_UNKNOWN;
	ended_(completion, &refused);
}

/* Reads the request's fields; FALSE after a refusal. */
static gboolean request_read_(completion_t *completion,
			      cb_completion_kind_t kind)
{
	cb_caller_error_t refused = { .refusal = CB_REFUSAL_MALFORMED };
	SoupMessageBody *body = soup_server_message_get_request_body(
		cb_caller_message(completion->caller));
	GBytes *bytes = soup_message_body_flatten(body);
	GError *error = NULL;
	size_t size_bytes;
	const char *text = g_bytes_get_data(bytes, &size_bytes);
	gboolean is_read = cb_completion_request_parse(&completion->request,
						       kind, text ? text : "",
						       size_bytes, &error);

	g_bytes_unref(bytes);
	if (is_read)
		return TRUE;
	refused.detail = error->message;
	cb_caller_refuse(completion->caller, &refused);
	g_error_free(error);
	return FALSE;
}

/* Checks the request against its contract; FALSE after a refusal. */
static gboolean contract_allows_(completion_t *completion,
				 const cb_contract_t *contract)
{
	cb_caller_error_t refused = { .refusal = CB_REFUSAL_MODEL_UNKNOWN };

	if (cb_contract_has_model(contract, completion->request.model))
		return TRUE;
	cb_caller_refuse(completion->caller, &refused);
	return FALSE;
}

static void handle_(cb_entry_t *entry, SoupServerMessage *message,
		    cb_completion_kind_t kind)
{
	const cb_contract_t *contract;
	cb_caller_t *caller = cb_caller_admit(entry, message, &contract);
	cb_admission_request_t admission;
	completion_t *completion;

	if (!caller)
		return;
	completion = g_new0(completion_t, 1);
	completion->caller = caller;
	completion->entry = entry;
	if (!request_read_(completion, kind) ||
	    !contract_allows_(completion, contract)) {
		completion_delete_(completion);
		return;
	}
	completion->text = cb_completion_text_new(
		kind, cb_caller_id(caller), completion->request.model,
		cb_clock_wall_ms(cb_kernel_clock(entry->kernel)) / MS_PER_S);
	if (!completion->request.is_streamed)
		completion->answer = g_string_new(NULL);
	completion->workspace = g_strdup(contract->workspace);
	admission.contract = contract;
	admission.target = completion->request.model;
	admission.max_tokens = (uint64_t)completion->request.max_tokens;
	cb_caller_suspend(caller, gone_, completion);
	cb_caller_submit(caller, &admission, decided_, completion);
}

/* Serves POST /v1/completions. */
void cb_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
			   const char *path, GHashTable *query)
{
	(void)path;
	(void)query;
	handle_(entry, message, CB_COMPLETION_TEXT);
}

/* Serves POST /v1/chat/completions. */
void cb_chat_completions_handle(cb_entry_t *entry, SoupServerMessage *message,
				const char *path, GHashTable *query)
{
	(void)path;
	(void)query;
	handle_(entry, message, CB_COMPLETION_CHAT);
}
