#include "private/node.h"

/* Until sessions that came during a confirmation, or missed it, get one. */
#define CONFIRM_RETRY_MS 20

/* Deletes a session; NULL is allowed. */
void cb_session_delete(cb_session_t *session)
{
	if (!session)
		return;
	cb_hello_clear(&session->hello);
	cb_usage_delete(session->usage);
	g_free(session);
}

/* Finds the link that holds a session under this name, or NULL. */
static cb_inbound_t *holder_find_(cb_node_t *node, const char *name)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (inbound->session && cb_link_is_ready(inbound->link) &&
		    g_str_equal(inbound->session->hello.name, name))
			return inbound;
	}
	return NULL;
}

/*
 * Opens the session of an entry instance on its link.  A newer link takes
 * the place of an older one; FALSE when an older incarnation asks.
 */
gboolean cb_session_open(cb_inbound_t *inbound, const cb_hello_t *hello)
{
	cb_node_t *node = inbound->node;
	cb_inbound_t *holder = holder_find_(node, hello->name);
	cb_session_t *session;

	if (holder && holder->session->hello.incarnation > hello->incarnation)
		return FALSE;
	if (holder)
		cb_link_goodbye(holder->link, CB_CLOSE_REPLACED);
	session = g_new0(cb_session_t, 1);
	cb_hello_copy(&session->hello, hello);
	session->sent_revision = hello->revision;
	session->held_revision = hello->revision;
	session->is_leaving = hello->is_leaving;
	session->is_changed = TRUE;
	inbound->session = session;
	cb_counter_add(node->session_gauge, 1);
	cb_log_event(node->log, CB_EVENT_SESSION_OPENED,
		     CB_STR("name", hello->name),
		     CB_INT("incarnation", hello->incarnation),
		     CB_INT("revision", hello->revision));
	node->has_new_session = TRUE;
	cb_sessions_confirm(node);
	if (!cb_timer_is_armed(node->report_timer))
		cb_timer_start(node->report_timer, 0);
	return TRUE;
}

/* The updates made in one round of pushes, for sessions at one revision. */
typedef struct push_round {
	uint64_t since;
	GBytes *update;
} push_round_t;

static void session_push_(cb_inbound_t *inbound, push_round_t *round)
{
	cb_session_t *session = inbound->session;
	cb_node_t *node = inbound->node;
	uint64_t since = session->needs_whole ? 0 : session->held_revision;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };

	if (!round->update || round->since != since) {
		g_clear_pointer(&round->update, g_bytes_unref);
		round->update = cb_state_encode_update(node->state, since);
		round->since = since;
	}
	message.body = round->update;
	session->needs_whole = FALSE;
	session->sent_revision = cb_state_revision(node->state);
	session->sent_ms = cb_clock_now_ms(node->clock);
	cb_link_send(inbound->link, &message);
	cb_counter_add(node->push_counter, 1);
	cb_counter_add(node->push_bytes_counter,
		       (int64_t)g_bytes_get_size(round->update));
}

/*
 * Sends each session what it lacks.  One update at a time is under way to
 * a session; what changes meanwhile follows once it is in force.
 */
void cb_sessions_push(cb_node_t *node)
{
	uint64_t revision = cb_state_revision(node->state);
	push_round_t round = { 0 };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;
		cb_session_t *session = inbound->session;

		if (!session || session->sent_revision > session->held_revision)
			continue;
		if (session->held_revision < revision || session->needs_whole)
			session_push_(inbound, &round);
	}
	g_clear_pointer(&round.update, g_bytes_unref);
}

/*
 * Closes the sessions that were sent an update and never said that it is
 * in force, although they are not silent.
 */
void cb_sessions_check(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;
		cb_session_t *session = inbound->session;

		if (session &&
		    session->sent_revision > session->held_revision &&
		    now_ms - session->sent_ms >= node->silence_ms)
			cb_link_goodbye(inbound->link, CB_CLOSE_SILENT);
	}
}

/* Tells the sessions that waited that the state here is current. */
static void sessions_confirmed_(cb_submit_outcome_t outcome, uint64_t index,
				void *user_data)
{
	cb_node_t *node = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONFIRMED,
				      .number =
					      cb_state_revision(node->state) };
	GHashTableIter iter;
	void *value;

	(void)index;
	node->is_confirming_sessions = FALSE;
	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;
		cb_session_t *session = inbound->session;

		if (!session || !session->is_confirming)
			continue;
		session->is_confirming = FALSE;
		if (outcome != CB_SUBMIT_ANSWERED)
			continue;
		session->is_confirmed = TRUE;
		cb_link_send(inbound->link, &message);
		cb_node_controls_greet(inbound);
		cb_node_fleet_greet(inbound);
	}
	/* There is a leader, so instances that are new can be announced. */
	if (outcome == CB_SUBMIT_ANSWERED)
		cb_node_members_announce(node);
	cb_sessions_push(node);
	cb_timer_start(node->confirm_timer, CONFIRM_RETRY_MS);
}

/*
 * Confirms with a majority for the sessions that were not told yet.  One
 * round runs at a time, and counts only for sessions that were there when
 * it began.
 */
void cb_sessions_confirm(cb_node_t *node)
{
	gboolean is_wanted = FALSE;
	GHashTableIter iter;
	void *value;

	if (node->is_confirming_sessions || node->is_draining)
		return;
	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_session_t *session = ((cb_inbound_t *)value)->session;

		if (!session || session->is_confirmed)
			continue;
		session->is_confirming = TRUE;
		is_wanted = TRUE;
	}
	if (!is_wanted)
		return;
	node->is_confirming_sessions = TRUE;
	cb_node_confirm(node, sessions_confirmed_, node);
}

/* Takes word of the revision that an entry instance has in force. */
static void in_force_receive_(cb_inbound_t *inbound,
			      const cb_link_message_t *message)
{
	cb_session_t *session = inbound->session;
	cb_node_t *node = inbound->node;

	session->held_revision = message->number;
	session->sent_revision = message->number;
	session->needs_whole = message->code != 0;
	session->is_changed = TRUE;
	if (!cb_timer_is_armed(node->report_timer))
		cb_timer_start(node->report_timer, 0);
	if (session->needs_whole ||
	    session->held_revision < cb_state_revision(node->state))
		cb_sessions_push(node);
}

static void submit_receive_(cb_inbound_t *inbound,
			    const cb_link_message_t *message)
{
	cb_command_t *command =
		message->body ? cb_command_decode(message->body) : NULL;

	if (!command) {
		cb_link_goodbye(inbound->link, CB_CLOSE_MALFORMED);
		return;
	}
	cb_node_submit(inbound->node, command, cb_reply_submit_done,
		       cb_reply_new(inbound, message->id));
}

/* Takes a message on an entry instance's session. */
void cb_session_receive(cb_inbound_t *inbound, const cb_link_message_t *message)
{
	switch (message->kind) {
	case CB_LINK_MESSAGE_IN_FORCE:
		in_force_receive_(inbound, message);
		return;
	case CB_LINK_MESSAGE_SUBMIT:
		submit_receive_(inbound, message);
		return;
	case CB_LINK_MESSAGE_DEMAND:
		cb_node_demand_receive(inbound, message);
		return;
	case CB_LINK_MESSAGE_USAGE:
		cb_node_usage_report(inbound, message);
		return;
	case CB_LINK_MESSAGE_LEAVING:
		inbound->session->is_leaving = TRUE;
		return;
	default:
		cb_link_goodbye(inbound->link, CB_CLOSE_MALFORMED);
		return;
	}
}
