#include "private/node.h"

const char *const cb_submit_outcome_string[CB_SUBMIT_OUTCOME_COUNT] = {
	[CB_SUBMIT_ANSWERED] = "answered",
	[CB_SUBMIT_NO_LEADER] = "no_leader",
	[CB_SUBMIT_BUSY] = "busy",
	[CB_SUBMIT_UNKNOWN] = "unknown",
};

static const cb_submit_outcome_t
	submit_outcome_map[CB_REPLICA_OUTCOME_COUNT] = {
		[CB_REPLICA_COMMITTED] = CB_SUBMIT_ANSWERED,
		[CB_REPLICA_NOT_LEADER] = CB_SUBMIT_NO_LEADER,
		[CB_REPLICA_BUSY] = CB_SUBMIT_BUSY,
		[CB_REPLICA_UNKNOWN] = CB_SUBMIT_UNKNOWN,
	};

/* Frees a request without calling its callback. */
void cb_node_request_delete(void *request)
{
	cb_node_request_t *self = request;

	cb_timer_delete(self->timer);
	g_free(self->leader_name);
	g_free(self);
}

/* Frees an answered request, unless the replica still has to call back. */
static void request_free_if_finished_(cb_node_request_t *request)
{
	if (request->is_answered && !request->is_in_replica)
		g_hash_table_remove(request->node->requests, &request->id);
}

/*
 * Calls a request's callback, at most once; `answer` and `sessions` may be
 * NULL.
 */
static void request_complete_(cb_node_request_t *request,
			      cb_submit_outcome_t outcome, uint64_t index,
			      const cb_answer_t *answer,
			      const GPtrArray *sessions)
{
	if (request->is_answered)
		return;
	request->is_answered = TRUE;
	cb_timer_stop(request->timer);
	if (request->submit_done)
		request->submit_done(outcome, answer, request->user_data);
	else if (request->confirm_done)
		request->confirm_done(outcome, index, request->user_data);
	else if (request->sessions_done)
		request->sessions_done(outcome, sessions, request->user_data);
}

static void request_timer_fired_(void *user_data)
{
	cb_node_request_t *request = user_data;
	const GPtrArray *sessions = NULL;

	if (request->sessions_done &&
	    request->timer_outcome == CB_SUBMIT_ANSWERED)
		sessions = cb_node_sessions(request->node);
	request_complete_(request, request->timer_outcome, 0, NULL, sessions);
	request_free_if_finished_(request);
}

static cb_node_request_t *request_new_(cb_node_t *node, void *user_data)
{
	cb_node_request_t *request = g_new0(cb_node_request_t, 1);

	request->node = node;
	request->id = ++node->next_id;
	request->user_data = user_data;
	request->timer =
		cb_timer_new(node->clock, request_timer_fired_, request);
	request->timer_outcome = CB_SUBMIT_UNKNOWN;
	g_hash_table_insert(node->requests, &request->id, request);
	cb_timer_start(request->timer, CB_NODE_REQUEST_TIMEOUT_MS);
	return request;
}

/* Completes a request later, from the main loop. */
static void request_complete_later_(cb_node_request_t *request,
				    cb_submit_outcome_t outcome)
{
	request->timer_outcome = outcome;
	cb_timer_start(request->timer, 0);
}

/* Sends a request to the leader, or fails it if there is no link to one. */
static void request_forward_(cb_node_request_t *request,
			     cb_link_message_t *message)
{
	cb_node_t *node = request->node;
	const char *leader = cb_replica_leader(node->replica);

	message->id = request->id;
	if (!leader || node->is_failed ||
	    !cb_peers_send(node->peers, leader, message)) {
		request_complete_later_(request, CB_SUBMIT_NO_LEADER);
		return;
	}
	request->leader_name = g_strdup(leader);
}

/* Receives the replica's answer to a proposal. */
static void proposal_done_(cb_replica_outcome_t outcome, uint64_t index,
			   GBytes *bytes, void *user_data)
{
	cb_node_request_t *request = user_data;
	cb_submit_outcome_t submit_outcome = submit_outcome_map[outcome];
	cb_answer_t *answer = NULL;

	request->is_in_replica = FALSE;
	if (request->node->is_destroyed)
		return;
	if (submit_outcome == CB_SUBMIT_ANSWERED && bytes)
		answer = cb_answer_decode(bytes);
	if (submit_outcome == CB_SUBMIT_ANSWERED && !answer)
		answer = cb_answer_new(CB_ANSWER_OK);
	request_complete_(request, submit_outcome, index, answer, NULL);
	cb_answer_delete(answer);
	request_free_if_finished_(request);
}

static void command_propose_(cb_node_request_t *request, cb_command_t *command)
{
	GBytes *bytes;

	command->wall_ms = cb_clock_wall_ms(request->node->clock);
	bytes = cb_command_encode(command);
	request->is_in_replica = TRUE;
	cb_replica_propose(request->node->replica, bytes, proposal_done_,
			   request);
	g_bytes_unref(bytes);
}

/*
 * Submits a command to the leader, which may be this instance, and takes
 * ownership of `command`.  `done` is called exactly once, after this returns,
 * unless the node is destroyed first.  CB_SUBMIT_UNKNOWN means that the answer
 * was lost: the command may be submitted again with its change ID.
 */
void cb_node_submit(cb_node_t *node, cb_command_t *command, cb_submit_fn_t done,
		    void *user_data)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SUBMIT };
	cb_node_request_t *request = request_new_(node, user_data);

	request->submit_done = done;
	if (cb_node_is_leader(node)) {
		command_propose_(request, command);
	} else {
		message.body = cb_command_encode(command);
		request_forward_(request, &message);
		g_bytes_unref(message.body);
	}
	cb_command_delete(command);
}

/* Adds a control instance as a learner; `done` as in cb_node_submit(). */
void cb_node_add_member(cb_node_t *node, const char *name, const char *address,
			cb_submit_fn_t done, void *user_data)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_MEMBER_ADD,
				      .name = (char *)name,
				      .address = (char *)address };
	cb_node_request_t *request = request_new_(node, user_data);

	request->submit_done = done;
	if (cb_node_is_leader(node)) {
		request->is_in_replica = TRUE;
		cb_replica_add_member(node->replica, name, address,
				      proposal_done_, request);
	} else {
		request_forward_(request, &message);
	}
}

/* Removes a control instance; `done` as in cb_node_submit(). */
void cb_node_remove_member(cb_node_t *node, const char *name,
			   cb_submit_fn_t done, void *user_data)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_MEMBER_REMOVE,
				      .name = (char *)name };
	cb_node_request_t *request = request_new_(node, user_data);

	request->submit_done = done;
	if (cb_node_is_leader(node)) {
		request->is_in_replica = TRUE;
		cb_replica_remove_member(node->replica, name, proposal_done_,
					 request);
	} else {
		request_forward_(request, &message);
	}
}

static GPtrArray *session_statuses_create_(const GPtrArray *reports);

/*
 * Requests the sessions of all entry instances from the leader.  `done` is
 * called exactly once, after this returns, unless the node is destroyed first.
 */
void cb_node_fetch_sessions(cb_node_t *node, cb_sessions_fn_t done,
			    void *user_data)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SESSIONS };
	cb_node_request_t *request = request_new_(node, user_data);

	request->sessions_done = done;
	if (cb_node_is_leader(node))
		request_complete_later_(request, CB_SUBMIT_ANSWERED);
	else
		request_forward_(request, &message);
}

static void confirm_round_begin_(cb_node_t *node);

/* Ends the running round of confirmation and calls its waiters. */
static void confirm_round_finish_(cb_node_t *node, cb_submit_outcome_t outcome,
				  uint64_t index)
{
	GArray *waiters = node->running_confirm_waiters;
	unsigned int i;

	node->running_confirm_waiters = NULL;
	node->confirm_index = 0;
	for (i = 0; i < waiters->len; i++) {
		cb_confirm_waiter_t *waiter =
			&g_array_index(waiters, cb_confirm_waiter_t, i);

		waiter->done(outcome, index, waiter->user_data);
	}
	g_array_unref(waiters);
	if (node->next_confirm_waiters->len && !node->running_confirm_waiters)
		confirm_round_begin_(node);
}

/*
 * Ends the running round of confirmation if its index is applied or its
 * deadline passed.
 */
void cb_node_confirm_applied(cb_node_t *node)
{
	uint64_t index = node->confirm_index;

	if (!node->running_confirm_waiters || !index)
		return;
	if (cb_replica_applied(node->replica) >= index)
		confirm_round_finish_(node, CB_SUBMIT_ANSWERED, index);
	else if (cb_clock_now_ms(node->clock) >= node->confirm_deadline_ms)
		confirm_round_finish_(node, CB_SUBMIT_UNKNOWN, 0);
}

/*
 * Receives the leader's index for the running round of confirmation, or the
 * failure of the round.
 */
static void confirm_index_receive_(cb_submit_outcome_t outcome, uint64_t index,
				   void *user_data)
{
	cb_node_t *node = user_data;

	if (outcome != CB_SUBMIT_ANSWERED || !index) {
		confirm_round_finish_(node,
				      outcome == CB_SUBMIT_ANSWERED ?
					      CB_SUBMIT_NO_LEADER :
					      outcome,
				      0);
		return;
	}
	node->confirm_index = index;
	node->confirm_deadline_ms =
		cb_clock_now_ms(node->clock) + CB_NODE_REQUEST_TIMEOUT_MS;
	cb_node_confirm_applied(node);
}

static void replica_confirmed_(cb_replica_outcome_t outcome, uint64_t index,
			       GBytes *answer, void *user_data)
{
	cb_node_request_t *request = user_data;

	(void)answer;
	request->is_in_replica = FALSE;
	if (request->node->is_destroyed)
		return;
	request_complete_(request, submit_outcome_map[outcome], index, NULL,
			  NULL);
	request_free_if_finished_(request);
}

/* Begins one round of confirmation for all waiters. */
static void confirm_round_begin_(cb_node_t *node)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONFIRM };
	cb_node_request_t *request = request_new_(node, node);

	node->running_confirm_waiters = node->next_confirm_waiters;
	node->next_confirm_waiters =
		g_array_new(FALSE, FALSE, sizeof(cb_confirm_waiter_t));
	request->confirm_done = confirm_index_receive_;
	if (cb_node_is_leader(node)) {
		request->is_in_replica = TRUE;
		cb_replica_confirm(node->replica, replica_confirmed_, request);
	} else {
		request_forward_(request, &message);
	}
}

/*
 * Calls `done` with CB_SUBMIT_ANSWERED once a majority has confirmed an index
 * that is no older than this call and this instance's state has applied it;
 * otherwise with another outcome.  Calls made during a running round share the
 * next one.
 */
void cb_node_confirm(cb_node_t *node, cb_confirm_fn_t done, void *user_data)
{
	cb_confirm_waiter_t waiter = { done, user_data };

	g_array_append_val(node->next_confirm_waiters, waiter);
	if (!node->running_confirm_waiters)
		confirm_round_begin_(node);
}

static void session_status_delete_(void *data)
{
	cb_session_status_t *status = data;

	g_free(status->name);
	g_free(status->control);
	g_free(status);
}

static GPtrArray *session_statuses_create_(const GPtrArray *reports)
{
	GPtrArray *statuses =
		g_ptr_array_new_with_free_func(session_status_delete_);
	unsigned int i;

	for (i = 0; i < reports->len; i++) {
		const cb_session_report_t *report =
			g_ptr_array_index(reports, i);
		cb_session_status_t *status = g_new0(cb_session_status_t, 1);

		status->name = g_strdup(report->name);
		status->control = g_strdup(report->control);
		status->incarnation = report->incarnation;
		status->revision_in_force = report->revision;
		status->last_received_ms_ago =
			(int64_t)report->last_received_ms_ago;
		g_ptr_array_add(statuses, status);
	}
	return statuses;
}

/*
 * Returns the sessions that this instance knows of, complete on the leader
 * only.  The array belongs to the node and is valid until the next call.
 */
const GPtrArray *cb_node_sessions(const cb_node_t *node)
{
	cb_node_t *self = (cb_node_t *)node;
	GPtrArray *reports =
		cb_roster_list_reports(node->roster,
				       cb_clock_now_ms(node->clock));

	g_clear_pointer(&self->session_statuses, g_ptr_array_unref);
	self->session_statuses = session_statuses_create_(reports);
	g_ptr_array_unref(reports);
	return node->session_statuses;
}

static void sessions_answer_receive_(cb_node_request_t *request,
				     cb_submit_outcome_t outcome, GBytes *body)
{
	GPtrArray *reports = cb_session_reports_decode(body);
	GPtrArray *statuses = NULL;

	if (reports)
		statuses = session_statuses_create_(reports);
	else if (outcome == CB_SUBMIT_ANSWERED)
		outcome = CB_SUBMIT_UNKNOWN;
	request_complete_(request, outcome, 0, NULL, statuses);
	g_clear_pointer(&statuses, g_ptr_array_unref);
	g_clear_pointer(&reports, g_ptr_array_unref);
}

/* Receives the leader's answer to one of this instance's requests. */
void cb_node_request_receive(cb_node_t *node, const cb_link_message_t *message)
{
	cb_node_request_t *request =
		g_hash_table_lookup(node->requests, &message->id);
	cb_submit_outcome_t outcome = CB_SUBMIT_UNKNOWN;
	cb_answer_t *answer;

	if (!request || !request->leader_name)
		return;
	if (message->code < CB_SUBMIT_OUTCOME_COUNT)
		outcome = (cb_submit_outcome_t)message->code;
	if (message->kind == CB_LINK_MESSAGE_SESSIONS_ANSWER) {
		sessions_answer_receive_(request, outcome, message->body);
	} else {
		answer = message->body ? cb_answer_decode(message->body) : NULL;
		if (request->submit_done && outcome == CB_SUBMIT_ANSWERED &&
		    !answer)
			outcome = CB_SUBMIT_UNKNOWN;
		request_complete_(request, outcome, message->number, answer,
				  NULL);
		cb_answer_delete(answer);
	}
	request_free_if_finished_(request);
}

/*
 * Fails the requests to a peer whose link has closed: their answers are lost.
 */
void cb_node_request_peer_closed(cb_node_t *node, const char *peer)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_node_request_t *request = value;

		if (!g_strcmp0(request->leader_name, peer) &&
		    !request->is_answered)
			request_complete_later_(request, CB_SUBMIT_UNKNOWN);
	}
}

/* Fails all unanswered requests at the end of a graceful stop. */
void cb_node_request_fail_all(cb_node_t *node)
{
	GList *requests = g_hash_table_get_values(node->requests);
	GList *item;

	for (item = requests; item; item = item->next) {
		cb_node_request_t *request = item->data;

		if (!request->is_answered)
			request_complete_later_(request, CB_SUBMIT_UNKNOWN);
	}
	g_list_free(requests);
}
