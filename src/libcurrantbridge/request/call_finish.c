#include "private/call_data.h"

#include "private/pack.h"

#define ANSWER_FIELDS 3
#define FINISH_TIMEOUT_MS 5000
#define FIRST_FINISH_RETRY_DELAY_MS 100
#define MAX_FINISH_DOUBLINGS 6

/* Encodes an answer to be recorded; NULL if it exceeds the size limit. */
GBytes *cb_call_answer_encode(const cb_service_answer_t *answer)
{
	GBytes *bytes;
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, ANSWER_FIELDS);
	cb_pack_uint(&pack, answer->status);
	cb_pack_string(&pack, answer->content_type);
	cb_pack_bytes(&pack, answer->body);
	bytes = cb_pack_finish(&pack);
	if (g_bytes_get_size(bytes) > CB_CLAIM_ANSWER_MAX_BYTES)
		g_clear_pointer(&bytes, g_bytes_unref);
	return bytes;
}

/*
 * Decodes a recorded answer, to be freed with cb_call_answer_clear().
 * Returns FALSE if there is none or it is malformed.
 */
gboolean cb_call_answer_decode(GBytes *bytes, cb_service_answer_t *answer)
{
	cb_unpack_t unpack;
	cb_fields_t fields;
	gboolean is_valid = FALSE;

	*answer = (cb_service_answer_t){ 0 };
	if (!bytes || !cb_unpack_init(&unpack, bytes))
		return FALSE;
	cb_fields_open(&fields, &unpack.unpacked.data);
	answer->status = (uint32_t)cb_fields_uint(&fields);
	answer->content_type = cb_fields_string(&fields);
	answer->body = cb_fields_bytes(&fields);
	is_valid = cb_fields_are_complete(&fields);
	cb_unpack_clear(&unpack);
	if (!is_valid)
		cb_call_answer_clear(answer);
	return is_valid;
}

/* Frees the members of an answer, but not the answer itself. */
void cb_call_answer_clear(cb_service_answer_t *answer)
{
	g_clear_pointer(&answer->content_type, g_free);
	g_clear_pointer(&answer->body, g_bytes_unref);
}

/* Creates a command for the call's key. */
cb_command_t *cb_call_command_new(const cb_call_t *call, cb_command_kind_t kind)
{
	cb_command_t *command = cb_command_new(kind);

	command->name = g_strdup(call->request.workspace);
	command->key = g_strdup(call->request.key);
	command->digest = g_strdup(call->digest);
	command->owner = g_strdup(call->env->parts.owner);
	command->fencing = call->fencing;
	return command;
}

static void submission_done_(cb_ledger_outcome_t outcome,
			     const cb_answer_t *answer, void *user_data)
{
	cb_submission_t *submission = user_data;
	cb_call_t *call = submission->call;

	if (call) {
		call->submission = NULL;
		submission->done(outcome, answer, call);
	}
	g_free(submission);
}

/* Submits a command, of which it takes ownership; one at a time per call. */
void cb_call_command_submit(cb_call_t *call, cb_command_t *command,
			    int64_t timeout_ms, cb_ledger_fn_t done)
{
	cb_ledger_t *ledger = call->env->parts.ledger;

	g_assert(!call->submission);
	call->submission = g_new0(cb_submission_t, 1);
	call->submission->call = call;
	call->submission->done = done;
	ledger->vtable->submit(ledger, command, timeout_ms, submission_done_,
			       call->submission);
}

static cb_command_t *command_copy_(const cb_command_t *command)
{
	GBytes *bytes = cb_command_encode(command);
	cb_command_t *copy = cb_command_decode(bytes);

	g_bytes_unref(bytes);
	return copy;
}

static void finish_submit_(cb_call_t *call);

static void finish_submit_done_(cb_ledger_outcome_t outcome,
				const cb_answer_t *answer, void *user_data)
{
	cb_call_t *call = user_data;
	unsigned int doublings =
		MIN(call->finish_try_count, MAX_FINISH_DOUBLINGS);
	void (*then)(cb_call_t * call) = call->finish_done;

	(void)answer;
	if (outcome != CB_LEDGER_ANSWERED) {
		if (!call->finish_try_count++)
			cb_log_event(call->env->parts.log,
				     CB_EVENT_CLAIM_END_UNRECORDED,
				     CB_STR("request", call->request.request),
				     CB_STR("workspace",
					    call->request.workspace));
		cb_call_wait(call, FIRST_FINISH_RETRY_DELAY_MS << doublings,
			     finish_submit_);
		return;
	}
	g_clear_pointer(&call->finish_command, cb_command_delete);
	call->fencing = 0;
	if (then)
		then(call);
	else
		cb_call_free_if_done(call);
}

static void finish_submit_(cb_call_t *call)
{
	cb_call_command_submit(call, command_copy_(call->finish_command),
			       FINISH_TIMEOUT_MS, finish_submit_done_);
}

/*
 * Submits the end of the claim that the call holds, repeatedly until it is
 * recorded; then calls `then`, or if that is NULL frees the call once
 * its caller has deleted it.
 */
void cb_call_claim_finish(cb_call_t *call, cb_claim_result_t result,
			  const cb_service_answer_t *answer,
			  void (*then)(cb_call_t *call))
{
	call->finish_command =
		cb_call_command_new(call, CB_COMMAND_CLAIM_FINISH);
	call->finish_command->result = result;
	if (answer)
		call->finish_command->payload = cb_call_answer_encode(answer);
	call->finish_try_count = 0;
	call->finish_done = then;
	finish_submit_(call);
}
