#include "currantbridge/command.h"

#include "private/pack.h"

#define COMMAND_FIELD_COUNT 23
#define ANSWER_FIELD_COUNT 11

const char *const cb_command_kind_string[CB_COMMAND_KIND_COUNT] = {
	[CB_COMMAND_CONTRACT_PUT] = "contract_put",
	[CB_COMMAND_CONTRACT_REMOVE] = "contract_remove",
	[CB_COMMAND_STOP_ANNOUNCE] = "stop_announce",
	[CB_COMMAND_STOP_CANCEL] = "stop_cancel",
	[CB_COMMAND_INSTANCE_UP] = "instance_up",
	[CB_COMMAND_INSTANCE_STATE] = "instance_state",
	[CB_COMMAND_QUARANTINE_ADD] = "quarantine_add",
	[CB_COMMAND_QUARANTINE_REMOVE] = "quarantine_remove",
	[CB_COMMAND_SUSPECT_ADD] = "suspect_add",
	[CB_COMMAND_CLAIM] = "claim",
	[CB_COMMAND_CLAIM_FINISH] = "claim_finish",
	[CB_COMMAND_SERVER_NOTE] = "server_note",
	[CB_COMMAND_SERVER_FORGET] = "server_forget",
	[CB_COMMAND_DOCUMENT_PUT] = "document_put",
};

const char *const cb_claim_result_string[CB_CLAIM_RESULT_COUNT] = {
	[CB_CLAIM_RESULT_NOT_EXECUTED] = "not_executed",
	[CB_CLAIM_RESULT_EXECUTED] = "executed",
	[CB_CLAIM_RESULT_UNKNOWN] = "unknown",
};

const char *const cb_answer_kind_string[CB_ANSWER_KIND_COUNT] = {
	[CB_ANSWER_OK] = "ok",
	[CB_ANSWER_CONFLICT] = "conflict",
	[CB_ANSWER_INVALID] = "invalid",
	[CB_ANSWER_NOT_FOUND] = "not_found",
	[CB_ANSWER_CLAIMED] = "claimed",
	[CB_ANSWER_RUNNING] = "running",
	[CB_ANSWER_FINISHED] = "finished",
	[CB_ANSWER_DIGEST_DIFFERS] = "digest_differs",
	[CB_ANSWER_FULL] = "full",
};

/* Returns a new command whose other fields are 0, FALSE and NULL. */
cb_command_t *cb_command_new(cb_command_kind_t kind)
{
	cb_command_t *command = g_new0(cb_command_t, 1);

	command->kind = kind;
	return command;
}

/* Frees a command and its fields; NULL is allowed. */
void cb_command_delete(cb_command_t *command)
{
	if (!command)
		return;
	g_free(command->change_id);
	g_free(command->name);
	g_free(command->text);
	g_free(command->address);
	g_free(command->data_centre);
	g_free(command->key);
	g_free(command->digest);
	g_free(command->owner);
	g_free(command->server);
	g_clear_pointer(&command->payload, g_bytes_unref);
	g_free(command);
}

/*
 * Encodes a command for the log, as an array of its fields in order.  The
 * caller unrefs the bytes.
 */
GBytes *cb_command_encode(const cb_command_t *command)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, COMMAND_FIELD_COUNT);
	cb_pack_uint(&pack, command->kind);
	cb_pack_string(&pack, command->change_id);
	cb_pack_bool(&pack, command->has_expected_revision);
	cb_pack_uint(&pack, command->expected_revision);
	cb_pack_int(&pack, command->wall_ms);
	cb_pack_string(&pack, command->name);
	cb_pack_string(&pack, command->text);
	cb_pack_int(&pack, command->document_version);
	cb_pack_uint(&pack, command->stop_kind);
	cb_pack_string(&pack, command->address);
	cb_pack_string(&pack, command->data_centre);
	cb_pack_uint(&pack, command->incarnation);
	cb_pack_uint(&pack, command->instance_state);
	cb_pack_int(&pack, command->until_wall_ms);
	cb_pack_string(&pack, command->key);
	cb_pack_string(&pack, command->digest);
	cb_pack_string(&pack, command->owner);
	cb_pack_string(&pack, command->server);
	cb_pack_uint(&pack, command->fencing);
	cb_pack_bool(&pack, command->proves_by_fencing);
	cb_pack_uint(&pack, command->result);
	cb_pack_bytes(&pack, command->payload);
	cb_pack_uint(&pack, 0); /* layout version */
	return cb_pack_finish(&pack);
}

static void command_read_(cb_fields_t *fields, cb_command_t *command)
{
	command->kind = cb_fields_enum(fields, CB_COMMAND_KIND_COUNT);
	command->change_id = cb_fields_string(fields);
	command->has_expected_revision = cb_fields_bool(fields);
	command->expected_revision = cb_fields_uint(fields);
	command->wall_ms = cb_fields_int(fields);
	command->name = cb_fields_string(fields);
	command->text = cb_fields_string(fields);
	command->document_version = cb_fields_int(fields);
	command->stop_kind = cb_fields_enum(fields, CB_STOP_KIND_COUNT);
	command->address = cb_fields_string(fields);
	command->data_centre = cb_fields_string(fields);
	command->incarnation = cb_fields_uint(fields);
	command->instance_state =
		cb_fields_enum(fields, CB_INSTANCE_STATE_COUNT);
	command->until_wall_ms = cb_fields_int(fields);
	command->key = cb_fields_string(fields);
	command->digest = cb_fields_string(fields);
	command->owner = cb_fields_string(fields);
	command->server = cb_fields_string(fields);
	command->fencing = cb_fields_uint(fields);
	command->proves_by_fencing = cb_fields_bool(fields);
	command->result = cb_fields_enum(fields, CB_CLAIM_RESULT_COUNT);
	command->payload = cb_fields_bytes(fields);
	cb_fields_enum(fields, 1);
}

/*
 * Decodes a command, which the caller deletes; returns NULL if the bytes are
 * malformed.
 */
cb_command_t *cb_command_decode(GBytes *bytes)
{
	cb_command_t *command;
	cb_unpack_t unpack;
	cb_fields_t fields;

	if (!cb_unpack_init(&unpack, bytes))
		return NULL;
	command = g_new0(cb_command_t, 1);
	cb_fields_open(&fields, &unpack.unpacked.data);
	command_read_(&fields, command);
	if (!cb_fields_are_complete(&fields))
		g_clear_pointer(&command, cb_command_delete);
	cb_unpack_clear(&unpack);
	return command;
}

/* Returns a new answer whose other fields are 0, FALSE and NULL. */
cb_answer_t *cb_answer_new(cb_answer_kind_t kind)
{
	cb_answer_t *answer = g_new0(cb_answer_t, 1);

	answer->kind = kind;
	return answer;
}

/* Frees an answer and its fields; NULL is allowed. */
void cb_answer_delete(cb_answer_t *answer)
{
	if (!answer)
		return;
	g_free(answer->message);
	g_free(answer->owner);
	g_free(answer->server);
	g_clear_pointer(&answer->answer, g_bytes_unref);
	g_free(answer);
}

/* Encodes an answer; the caller unrefs the bytes. */
GBytes *cb_answer_encode(const cb_answer_t *answer)
{
	cb_pack_t pack;

	cb_pack_init(&pack);
	cb_pack_array(&pack, ANSWER_FIELD_COUNT);
	cb_pack_uint(&pack, answer->kind);
	cb_pack_uint(&pack, answer->revision);
	cb_pack_uint(&pack, answer->expected_revision);
	cb_pack_string(&pack, answer->message);
	cb_pack_uint(&pack, answer->fencing);
	cb_pack_string(&pack, answer->owner);
	cb_pack_string(&pack, answer->server);
	cb_pack_bool(&pack, answer->must_prove);
	cb_pack_uint(&pack, answer->result);
	cb_pack_bytes(&pack, answer->answer);
	cb_pack_bool(&pack, answer->is_replayed);
	return cb_pack_finish(&pack);
}

static void answer_read_(cb_fields_t *fields, cb_answer_t *answer)
{
	answer->kind = cb_fields_enum(fields, CB_ANSWER_KIND_COUNT);
	answer->revision = cb_fields_uint(fields);
	answer->expected_revision = cb_fields_uint(fields);
	answer->message = cb_fields_string(fields);
	answer->fencing = cb_fields_uint(fields);
	answer->owner = cb_fields_string(fields);
	answer->server = cb_fields_string(fields);
	answer->must_prove = cb_fields_bool(fields);
	answer->result = cb_fields_enum(fields, CB_CLAIM_RESULT_COUNT);
	answer->answer = cb_fields_bytes(fields);
	answer->is_replayed = cb_fields_bool(fields);
}

/*
 * Decodes an answer, which the caller deletes; returns NULL if the bytes are
 * malformed.
 */
cb_answer_t *cb_answer_decode(GBytes *bytes)
{
	cb_answer_t *answer;
	cb_unpack_t unpack;
	cb_fields_t fields;

	if (!cb_unpack_init(&unpack, bytes))
		return NULL;
	answer = g_new0(cb_answer_t, 1);
	cb_fields_open(&fields, &unpack.unpacked.data);
	answer_read_(&fields, answer);
	if (!cb_fields_are_complete(&fields))
		g_clear_pointer(&answer, cb_answer_delete);
	cb_unpack_clear(&unpack);
	return answer;
}
