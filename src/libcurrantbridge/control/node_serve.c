#include "private/node.h"

/* Notes where the answer to a message of another process goes. */
cb_reply_t *cb_reply_new(cb_inbound_t *inbound, uint64_t id)
{
	cb_reply_t *reply = g_new0(cb_reply_t, 1);

	reply->node = inbound->node;
	reply->inbound_id = inbound->id;
	reply->id = id;
	g_hash_table_add(inbound->node->replies, reply);
	return reply;
}

static void reply_end_(cb_reply_t *reply)
{
	g_hash_table_remove(reply->node->replies, reply);
}

/* Answers a submitted command; `user_data` is a cb_reply_t, which ends. */
void cb_reply_submit_done(cb_submit_outcome_t outcome,
			  const cb_answer_t *answer, void *user_data)
{
	cb_reply_t *reply = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SUBMIT_ANSWER,
				      .id = reply->id,
				      .code = outcome };

	if (answer)
		message.body = cb_answer_encode(answer);
	cb_inbound_reply(reply->node, reply->inbound_id, &message);
	g_clear_pointer(&message.body, g_bytes_unref);
	reply_end_(reply);
}

static void served_confirm_done_(cb_submit_outcome_t outcome, uint64_t index,
				 void *user_data)
{
	cb_reply_t *reply = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONFIRM_ANSWER,
				      .id = reply->id,
				      .code = outcome,
				      .number = index };

	cb_inbound_reply(reply->node, reply->inbound_id, &message);
	reply_end_(reply);
}

/* Answers that this instance does not lead; it forwards nothing further. */
static void refuse_(cb_inbound_t *inbound, const cb_link_message_t *message)
{
	cb_link_message_t answer = { .kind = CB_LINK_MESSAGE_SUBMIT_ANSWER,
				     .id = message->id,
				     .code = CB_SUBMIT_NO_LEADER };

	if (message->kind == CB_LINK_MESSAGE_CONFIRM)
		answer.kind = CB_LINK_MESSAGE_CONFIRM_ANSWER;
	if (message->kind == CB_LINK_MESSAGE_SESSIONS)
		answer.kind = CB_LINK_MESSAGE_SESSIONS_ANSWER;
	cb_link_send(inbound->link, &answer);
}

static void sessions_serve_(cb_inbound_t *inbound, uint64_t id)
{
	cb_node_t *node = inbound->node;
	cb_link_message_t answer = { .kind = CB_LINK_MESSAGE_SESSIONS_ANSWER,
				     .id = id,
				     .code = CB_SUBMIT_ANSWERED };
	GPtrArray *reports =
		cb_roster_encode(node->roster, cb_clock_now_ms(node->clock));

	answer.body = cb_session_reports_encode(reports);
	cb_link_send(inbound->link, &answer);
	g_bytes_unref(answer.body);
	g_ptr_array_unref(reports);
}

/* Serves a request that another instance sent to its leader. */
void cb_node_request_serve(cb_inbound_t *inbound,
			   const cb_link_message_t *message)
{
	cb_node_t *node = inbound->node;
	cb_command_t *command;

	if (!cb_node_is_leader(node)) {
		refuse_(inbound, message);
		return;
	}
	switch (message->kind) {
	case CB_LINK_MESSAGE_SUBMIT:
		command =
			message->body ? cb_command_decode(message->body) : NULL;
		if (command)
			cb_node_submit(node, command, cb_reply_submit_done,
				       cb_reply_new(inbound, message->id));
		else
			refuse_(inbound, message);
		return;
	case CB_LINK_MESSAGE_CONFIRM:
		cb_node_confirm(node, served_confirm_done_,
				cb_reply_new(inbound, message->id));
		return;
	case CB_LINK_MESSAGE_MEMBER_ADD:
		if (message->name && message->address)
			cb_node_add_member(node, message->name,
					   message->address,
					   cb_reply_submit_done,
					   cb_reply_new(inbound, message->id));
		return;
	case CB_LINK_MESSAGE_MEMBER_REMOVE:
		if (message->name)
			cb_node_remove_member(node, message->name,
					      cb_reply_submit_done,
					      cb_reply_new(inbound,
							   message->id));
		return;
	case CB_LINK_MESSAGE_SESSIONS:
		sessions_serve_(inbound, message->id);
		return;
	default:
		return;
	}
}
