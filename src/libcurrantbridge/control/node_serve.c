#include "private/node.h"

/* Records which link and request an answer is to be sent to. */
cb_reply_t *cb_reply_new(cb_inbound_t *inbound, uint64_t request_id)
{
	cb_reply_t *reply = g_new0(cb_reply_t, 1);

	reply->node = inbound->node;
	reply->inbound_id = inbound->id;
	reply->request_id = request_id;
	g_hash_table_add(inbound->node->pending_replies, reply);
	return reply;
}

static void reply_delete_(cb_reply_t *reply)
{
	g_hash_table_remove(reply->node->pending_replies, reply);
}

/* Sends the answer to a command and frees `user_data`, a cb_reply_t. */
void cb_reply_submit_done(cb_submit_outcome_t outcome,
			  const cb_answer_t *answer, void *user_data)
{
	cb_reply_t *reply = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SUBMIT_ANSWER,
				      .id = reply->request_id,
				      .code = outcome };

	if (answer)
		message.body = cb_answer_encode(answer);
	cb_inbound_reply(reply->node, reply->inbound_id, &message);
	g_clear_pointer(&message.body, g_bytes_unref);
	reply_delete_(reply);
}

static void reply_confirm_done_(cb_submit_outcome_t outcome, uint64_t index,
				void *user_data)
{
	cb_reply_t *reply = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONFIRM_ANSWER,
				      .id = reply->request_id,
				      .code = outcome,
				      .number = index };

	cb_inbound_reply(reply->node, reply->inbound_id, &message);
	reply_delete_(reply);
}

/* Answers that there is no leader here; requests are forwarded only once. */
static void no_leader_answer_send_(cb_inbound_t *inbound,
				   const cb_link_message_t *message)
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

static void sessions_answer_send_(cb_inbound_t *inbound, uint64_t request_id)
{
	cb_node_t *node = inbound->node;
	cb_link_message_t answer = { .kind = CB_LINK_MESSAGE_SESSIONS_ANSWER,
				     .id = request_id,
				     .code = CB_SUBMIT_ANSWERED };
	GPtrArray *reports =
		cb_roster_list_reports(node->roster,
				       cb_clock_now_ms(node->clock));

	answer.body = cb_session_reports_encode(reports);
	cb_link_send(inbound->link, &answer);
	g_bytes_unref(answer.body);
	g_ptr_array_unref(reports);
}

/* Serves a request that another control instance sent to its leader. */
void cb_node_request_serve(cb_inbound_t *inbound,
			   const cb_link_message_t *message)
{
	cb_node_t *node = inbound->node;
	cb_command_t *command;

	if (!cb_node_is_leader(node)) {
		no_leader_answer_send_(inbound, message);
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
			no_leader_answer_send_(inbound, message);
		return;
	case CB_LINK_MESSAGE_CONFIRM:
		cb_node_confirm(node, reply_confirm_done_,
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
		sessions_answer_send_(inbound, message->id);
		return;
	default:
		return;
	}
}
