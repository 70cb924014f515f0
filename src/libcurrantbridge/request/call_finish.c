#include "private/call_data.h"

#include "private/pack.h"

#define ANSWER_FIELDS 3
#define FINISH_TIMEOUT_MS 5000
#define FIRST_FINISH_DELAY_MS 100
#define MAX_FINISH_DOUBLINGS 6

/* Encodes an answer for its record; NULL if it is over the size bound. */
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

/* Decodes a recorded answer; cb_call_answer_clear() it. */
gboolean cb_call_answer_decode(GBytes *bytes, cb_service_answer_t *answer)
{
	cb_unpack_t unpack;
	cb_fields_t fields;
	gboolean is_whole = FALSE;

	*answer = (cb_service_answer_t){ 0 };
	if (!bytes || !cb_unpack_init(&unpack, bytes))
		return FALSE;
	cb_fields_open(&fields, &unpack.unpacked.data);
	answer->status = (uint32_t)cb_fields_uint(&fields);
	answer->content_type = cb_fields_string(&fields);
	answer->body = cb_fields_bytes(&fields);
	is_whole = cb_fields_end(&fields);
	cb_unpack_clear(&unpack);
	if (!is_whole)
		cb_call_answer_clear(answer);
	return is_whole;
}

/* Frees what an answer holds. */
void cb_call_answer_clear(cb_service_answer_t *answer)
{
	g_clear_pointer(&answer->content_type, g_free);
	g_clear_pointer(&answer->body, g_bytes_unref);
}

/* Makes a command about the call's key. */
cb_command_t *cb_call_command(const cb_call_t *call, cb_command_kind_t kind)
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

/* Submits a command, which it takes; one at a time for each call. */
void cb_call_submit(cb_call_t *call, cb_command_t *command, int64_t timeout_ms,
		    cb_ledger_fn_t done)
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

static void finish_done_(cb_ledger_outcome_t outcome, const cb_answer_t *answer,
			 void *user_data)
{
	cb_call_t *call = user_data;
	unsigned int doublings = MIN(call->finish_tries, MAX_FINISH_DOUBLINGS);
	void (*finished)(cb_call_t * call) = call->finished;

	(void)answer;
	if (outcome != CB_LEDGER_ANSWERED) {
		if (!call->finish_tries++)
			cb_log_event(call->env->parts.log,
				     CB_EVENT_CLAIM_END_UNRECORDED,
				     CB_STR("request", call->request.request),
				     CB_STR("workspace",
					    call->request.workspace));
		cb_call_wake(call, FIRST_FINISH_DELAY_MS << doublings,
			     finish_submit_);
		return;
	}
	g_clear_pointer(&call->finish, cb_command_delete);
	call->fencing = 0;
	if (finished)
		finished(call);
	else
		cb_call_sweep(call);
}

static void finish_submit_(cb_call_t *call)
{
	cb_call_submit(call, command_copy_(call->finish), FINISH_TIMEOUT_MS,
		       finish_done_);
}

/*
 * Records the end of the claim that the call holds, repeating it until it
 * is recorded; then calls `finished`, which may be NULL.
 */
void cb_call_finish(cb_call_t *call, cb_claim_result_t result,
		    const cb_service_answer_t *answer,
		    void (*finished)(cb_call_t *call))
{
	call->finish = cb_call_command(call, CB_COMMAND_CLAIM_FINISH);
	call->finish->result = result;
	if (answer)
		call->finish->answer = cb_call_answer_encode(answer);
	call->finish_tries = 0;
	call->finished = finished;
	finish_submit_(call);
}
