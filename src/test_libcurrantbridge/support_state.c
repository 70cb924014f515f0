#include "support_state.h"

#include <string.h>

support_state_t *support_state_new(void)
{
	support_state_t *self = g_new0(support_state_t, 1);

	self->state = cb_state_new();
	self->wall_ms = 1000;
	return self;
}

void support_state_delete(support_state_t *self)
{
	cb_state_delete(self->state);
	g_free(self);
}

cb_answer_t *support_apply(support_state_t *self, cb_command_t *command)
{
	cb_machine_t *machine = cb_state_machine(self->state);
	cb_answer_t *answer;
	GBytes *request;
	GBytes *reply;

	command->wall_ms = self->wall_ms;
	request = cb_command_encode(command);
	reply = machine->vtable->apply(machine, ++self->index, request);
	answer = cb_answer_decode(reply);
	g_assert(answer);
	g_bytes_unref(reply);
	g_bytes_unref(request);
	cb_command_delete(command);
	return answer;
}

cb_answer_kind_t support_apply_kind(support_state_t *self,
				    cb_command_t *command)
{
	cb_answer_t *answer = support_apply(self, command);
	cb_answer_kind_t kind = answer->kind;

	cb_answer_delete(answer);
	return kind;
}

void support_advance_time(support_state_t *self, int64_t duration_ms)
{
	while (duration_ms > 0) {
		int64_t step_ms = MIN(duration_ms, CB_STATE_CLOCK_STEP_MAX_MS);

		self->wall_ms += step_ms;
		duration_ms -= step_ms;
		support_apply_kind(self,
				   support_stop(CB_COMMAND_STOP_CANCEL, "-"));
	}
}

GBytes *support_snapshot(const support_state_t *self)
{
	cb_machine_t *machine = cb_state_machine(self->state);

	return machine->vtable->snapshot(machine);
}

gboolean support_restore(support_state_t *self, GBytes *snapshot)
{
	cb_machine_t *machine = cb_state_machine(self->state);

	return machine->vtable->restore(machine, self->index, snapshot, NULL);
}

/*
 * Returns a command that puts a contract with one key and `rate` guaranteed
 * requests per second.
 */
cb_command_t *support_contract_put_command(const char *workspace,
					   const char *key, int64_t rate)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	command->name = g_strdup(workspace);
	command->text = g_strdup_printf("{\"workspace\":\"%s\",\"keys\":[\"%s\""
					"],\"guaranteed_requests_per_s\":"
					"%" G_GINT64_FORMAT "}",
					workspace, key, rate);
	return command;
}

cb_command_t *support_contract_remove_command(const char *workspace)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_REMOVE);

	command->name = g_strdup(workspace);
	return command;
}

/*
 * Returns a command of `kind`, which announces or cancels the planned stop of a
 * backend server.
 */
cb_command_t *support_stop(cb_command_kind_t kind, const char *name)
{
	cb_command_t *command = cb_command_new(kind);

	command->name = g_strdup(name);
	command->stop_kind = CB_STOP_SERVER;
	return command;
}

cb_command_t *support_instance_up(const char *name, uint64_t incarnation)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_INSTANCE_UP);

	command->name = g_strdup(name);
	command->address = g_strdup("127.0.0.1:1");
	command->data_centre = g_strdup("a");
	command->incarnation = incarnation;
	return command;
}

cb_command_t *support_instance_state(const char *name, uint64_t incarnation,
				     cb_instance_state_t state)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_INSTANCE_STATE);

	command->name = g_strdup(name);
	command->incarnation = incarnation;
	command->instance_state = state;
	return command;
}

cb_command_t *support_quarantine(const char *digest, int64_t until_wall_ms)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_ADD);

	command->name = g_strdup(digest);
	command->until_wall_ms = until_wall_ms;
	return command;
}

/* Returns a claim of `key` of workspace "w" for a call with digest "d". */
cb_command_t *support_claim(const char *key, const char *owner,
			    const char *change_id)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CLAIM);

	command->name = g_strdup("w");
	command->key = g_strdup(key);
	command->digest = g_strdup("d");
	command->owner = g_strdup(owner);
	command->change_id = g_strdup(change_id);
	return command;
}

/* Returns a command that finishes a claim; `answer` may be NULL. */
cb_command_t *support_claim_finish(const char *key, uint64_t fencing,
				   cb_claim_result_t result, const char *answer)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CLAIM_FINISH);

	command->name = g_strdup("w");
	command->key = g_strdup(key);
	command->fencing = fencing;
	command->result = result;
	if (answer)
		command->payload = g_bytes_new(answer, strlen(answer));
	return command;
}

cb_command_t *support_with_change_id(cb_command_t *command,
				     const char *change_id)
{
	g_free(command->change_id);
	command->change_id = g_strdup(change_id);
	return command;
}

cb_command_t *support_with_revision(cb_command_t *command,
				    uint64_t expected_revision)
{
	command->has_expected_revision = TRUE;
	command->expected_revision = expected_revision;
	return command;
}
