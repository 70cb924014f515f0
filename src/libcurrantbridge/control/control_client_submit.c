#include "currantbridge/node.h"
#include "private/control_client.h"

#define RETRY_FIRST_MS 20
#define RETRY_MAX_MS 250
#define LEAVE_TIMEOUT_MS 10000

const char *const cb_control_outcome_string[CB_CONTROL_OUTCOME_COUNT] = {
	[CB_CONTROL_ANSWERED] = "answered",
	[CB_CONTROL_UNAVAILABLE] = "unavailable",
	[CB_CONTROL_UNKNOWN] = "unknown",
};

/* Frees a submission without calling its `done` function. */
void cb_client_submit_delete(void *submit)
{
	cb_client_submit_t *self = submit;

	cb_timer_delete(self->deadline_timer);
	cb_timer_delete(self->retry_timer);
	g_bytes_unref(self->command);
	g_free(self);
}

/* Removes the submission and calls its `done` function. */
static void submit_finish_(cb_client_submit_t *submit,
			   cb_control_outcome_t outcome,
			   const cb_answer_t *answer)
{
	cb_control_client_t *client = submit->client;
	cb_counters_t *counters = cb_kernel_counters(client->kernel);
	cb_control_done_fn_t done = submit->done;
	void *user_data = submit->user_data;

	cb_counter_add(cb_counters_counter(counters, "cb_control_submits_total",
					   "outcome",
					   cb_control_outcome_string[outcome]),
		       1);
	g_hash_table_remove(client->submits, &submit->id);
	if (done)
		done(outcome, answer, user_data);
}

/*
 * Sends the command only to an instance that has shown that it is current: with
 * an isolated one, it would stay unknown whether the command was accepted.
 */
static void submit_send_(cb_client_submit_t *submit)
{
	cb_control_client_t *client = submit->client;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SUBMIT,
				      .id = submit->id,
				      .body = submit->command };

	if (!client->link || !client->is_session_confirmed ||
	    !cb_link_is_ready(client->link))
		return;
	submit->is_sent = TRUE;
	cb_link_send(client->link, &message);
}

static void retry_timer_fired_(void *user_data)
{
	cb_client_submit_t *submit = user_data;

	if (!submit->is_sent)
		submit_send_(submit);
}

static void deadline_timer_fired_(void *user_data)
{
	cb_client_submit_t *submit = user_data;
	gboolean is_unknown = submit->is_sent || submit->may_be_accepted;

	submit_finish_(submit,
		       is_unknown ? CB_CONTROL_UNKNOWN : CB_CONTROL_UNAVAILABLE,
		       NULL);
}

/* Sends all pending commands on a session that was just confirmed. */
void cb_client_submits_send(cb_control_client_t *client)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->submits);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		submit_send_(value);
}

/*
 * Marks the commands of a closed session as unsent; those without an answer may
 * have been accepted.
 */
void cb_client_submits_mark_unsent(cb_control_client_t *client)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->submits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_client_submit_t *submit = value;

		submit->may_be_accepted |= submit->is_sent;
		submit->is_sent = FALSE;
		cb_timer_stop(submit->retry_timer);
	}
}

/* Finishes all pending commands without an answer, at a graceful stop. */
void cb_client_submits_finish(cb_control_client_t *client)
{
	GList *submits = g_hash_table_get_values(client->submits);
	GList *item;

	for (item = submits; item; item = item->next)
		deadline_timer_fired_(item->data);
	g_list_free(submits);
}

/*
 * Handles the answer to a command on the present session; retries the command
 * if the answer is not final.
 */
void cb_client_submit_handle_answer(cb_control_client_t *client,
				    const cb_link_message_t *message)
{
	cb_client_submit_t *submit =
		g_hash_table_lookup(client->submits, &message->id);
	cb_answer_t *answer;

	if (!submit || !submit->is_sent)
		return;
	answer = message->body ? cb_answer_decode(message->body) : NULL;
	if (message->code == CB_SUBMIT_ANSWERED && answer) {
		submit_finish_(submit, CB_CONTROL_ANSWERED, answer);
	} else {
		submit->is_sent = FALSE;
		submit->may_be_accepted |=
			message->code != CB_SUBMIT_NO_LEADER &&
			message->code != CB_SUBMIT_BUSY;
		cb_timer_start(submit->retry_timer,
			       cb_backoff_next_ms(&submit->backoff));
	}
	cb_answer_delete(answer);
}

/*
 * Submits a command under its change ID; takes ownership of `command`.  It is
 * resent until it is answered or `timeout_ms` has passed.  `done` is called
 * exactly once, after this returns, unless the client is destroyed first.
 */
void cb_control_client_submit(cb_control_client_t *client,
			      cb_command_t *command, int64_t timeout_ms,
			      cb_control_done_fn_t done, void *user_data)
{
	cb_client_submit_t *submit = g_new0(cb_client_submit_t, 1);

	submit->client = client;
	submit->id = ++client->next_id;
	submit->command = cb_command_encode(command);
	submit->done = done;
	submit->user_data = user_data;
	submit->deadline_timer =
		cb_timer_new(client->clock, deadline_timer_fired_, submit);
	submit->retry_timer =
		cb_timer_new(client->clock, retry_timer_fired_, submit);
	cb_backoff_init(&submit->backoff, client->random, RETRY_FIRST_MS,
			RETRY_MAX_MS);
	g_hash_table_insert(client->submits, &submit->id, submit);
	cb_timer_start(submit->deadline_timer, timeout_ms);
	submit_send_(submit);
	cb_command_delete(command);
}

static void leave_submit_(cb_control_client_t *client);

/* Announces again that this instance leaves, until control has answered. */
static void leave_done_(cb_control_outcome_t outcome, const cb_answer_t *answer,
			void *user_data)
{
	cb_control_client_t *client = user_data;

	(void)answer;
	if (outcome != CB_CONTROL_ANSWERED && !client->is_draining)
		leave_submit_(client);
}

static void leave_submit_(cb_control_client_t *client)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_INSTANCE_STATE);

	command->name = g_strdup(client->hello.name);
	command->incarnation = client->hello.incarnation;
	command->instance_state = CB_INSTANCE_LEAVING;
	command->change_id =
		g_strdup_printf("leaving/%s/%" G_GUINT64_FORMAT, command->name,
				command->incarnation);
	cb_control_client_submit(client, command, LEAVE_TIMEOUT_MS, leave_done_,
				 client);
}

/*
 * Announces that this instance leaves, so that address answers stop naming it.
 * The announcement is retried until control answers; a second call has no
 * effect.
 */
void cb_control_client_leave(cb_control_client_t *client)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_LEAVING };

	if (client->hello.is_leaving)
		return;
	client->hello.is_leaving = TRUE;
	if (client->link)
		cb_link_send(client->link, &message);
	leave_submit_(client);
}
