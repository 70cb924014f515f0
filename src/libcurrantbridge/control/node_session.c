#include "private/node.h"

/* Delay before sessions that missed a round of confirmation get the next. */
#define CONFIRM_RETRY_MS 20
/*
 * Shortest interval of pushes for each session, and the longest in all: when all
 * entry instances start, each of them is a change for all the others.
 */
#define PUSH_INTERVAL_PER_SESSION_MS 3
#define PUSH_INTERVAL_MAX_MS 100

/* Deletes a session; NULL is allowed. */
void cb_session_delete(cb_session_t *session)
{
	if (!session)
		return;
	cb_hello_clear(&session->hello);
	cb_usage_delete(session->usage);
	g_free(session);
}

/*
 * Returns the open link with the session of the entry instance of this name, or
 * NULL.
 */
static cb_inbound_t *session_link_find_(cb_node_t *node, const char *name)
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

/* Returns whether the entry instance of this name has a session here. */
gboolean cb_session_exists(cb_node_t *node, const char *name)
{
	return session_link_find_(node, name) != NULL;
}

/*
 * Opens the session of an entry instance on its link and closes the link of an
 * earlier session.  Returns FALSE, with nothing changed, if the earlier session
 * has a newer incarnation.
 */
gboolean cb_session_open(cb_inbound_t *inbound, const cb_hello_t *hello)
{
	cb_node_t *node = inbound->node;
	cb_inbound_t *existing = session_link_find_(node, hello->name);
	cb_session_t *session;

	if (existing &&
	    existing->session->hello.incarnation > hello->incarnation)
		return FALSE;
	if (existing)
		cb_link_goodbye(existing->link, CB_CLOSE_REPLACED);
	session = g_new0(cb_session_t, 1);
	cb_hello_copy(&session->hello, hello);
	session->sent_revision = hello->revision;
	session->in_force_revision = hello->revision;
	session->is_leaving = hello->is_leaving;
	session->is_unreported = TRUE;
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

/*
 * Keeps the counts of a session that has closed, unless another session of the
 * same process has replaced it.
 */
void cb_session_closed(cb_inbound_t *inbound)
{
	const cb_session_t *session = inbound->session;
	cb_node_t *node = inbound->node;
	const cb_inbound_t *other =
		session_link_find_(node, session->hello.name);
	gboolean is_replaced = other && other->session->hello.incarnation ==
						session->hello.incarnation;

	cb_counter_add(node->session_gauge, -1);
	if (session->usage && !is_replaced)
		cb_departed_add(node->departed, session->hello.name,
				session->hello.incarnation, session->usage);
}

/* The update that was encoded last in one round of pushes. */
typedef struct push_round {
	uint64_t since;	 /* the revision that `update` starts from */
	GBytes *update;	 /* NULL: no update was encoded yet */
	GBytes *message; /* the encoded message that contains `update` */
} push_round_t;

static void push_round_clear_(push_round_t *round)
{
	g_clear_pointer(&round->update, g_bytes_unref);
	g_clear_pointer(&round->message, g_bytes_unref);
}

static void session_update_push_(cb_inbound_t *inbound, push_round_t *round)
{
	cb_session_t *session = inbound->session;
	cb_node_t *node = inbound->node;
	uint64_t since =
		session->needs_full_update ? 0 : session->in_force_revision;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_UPDATE };

	if (!round->update || round->since != since) {
		push_round_clear_(round);
		round->update = cb_state_encode_update(node->state, since);
		round->since = since;
		message.body = round->update;
		round->message = cb_link_message_encode(&message);
	}
	session->needs_full_update = FALSE;
	session->sent_revision = cb_state_revision(node->state);
	session->last_update_sent_ms = cb_clock_now_ms(node->clock);
	cb_link_send_encoded(inbound->link, round->message);
	cb_counter_add(node->push_counter, 1);
	cb_counter_add(node->push_bytes_counter,
		       (int64_t)g_bytes_get_size(round->update));
}

static gboolean session_needs_update_(const cb_node_t *node,
				      const cb_session_t *session)
{
	return session->sent_revision <= session->in_force_revision &&
	       (session->needs_full_update ||
		session->in_force_revision <
			cb_state_entry_revision(node->state));
}

/*
 * Sends an update to the current revision to each session that lacks a change
 * that entry instances need; with `first_only`, only to those that were sent
 * none yet.  A session has at most one update in flight; later
 * changes follow once that update is in force.
 */
static void updates_push_(cb_node_t *node, gboolean first_only)
{
	push_round_t round = { 0 };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;
		const cb_session_t *session = inbound->session;

		if (session && session_needs_update_(node, session) &&
		    !(first_only && session->last_update_sent_ms))
			session_update_push_(inbound, &round);
	}
	push_round_clear_(&round);
}

/*
 * Pushes updates to the sessions that need one, or arms the timer that does so,
 * if updates were pushed a short while ago.
 */
void cb_sessions_push_paced(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	int64_t interval_ms = MIN(cb_counter_get(node->session_gauge) *
					  PUSH_INTERVAL_PER_SESSION_MS,
				  PUSH_INTERVAL_MAX_MS);
	int64_t wait_ms = node->pushed_ms + interval_ms - now_ms;

	if (wait_ms > 0) {
		cb_timer_start_sooner(node->push_timer, wait_ms);
		return;
	}
	node->pushed_ms = now_ms;
	updates_push_(node, FALSE);
}

/*
 * Closes the sessions that have not reported the last update to be in force
 * within the silence timeout, although their links send heartbeats.
 */
void cb_sessions_close_unresponsive(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;
		cb_session_t *session = inbound->session;

		if (session &&
		    session->sent_revision > session->in_force_revision &&
		    now_ms - session->last_update_sent_ms >= node->silence_ms)
			cb_link_goodbye(inbound->link, CB_CLOSE_SILENT);
	}
}

/*
 * Reports to the sessions that the round of confirmation covers that this
 * instance's state is current.
 */
static void sessions_confirmed_(cb_submit_outcome_t outcome, uint64_t index,
				void *user_data)
{
	cb_node_t *node = user_data;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_CONFIRMED };
	gboolean is_fleet_encoded = FALSE;
	GBytes *fleet = NULL;
	GHashTableIter iter;
	void *value;

	(void)index;
	message.number = cb_state_entry_revision(node->state);
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
		cb_node_control_addresses_send(inbound);
		if (!is_fleet_encoded)
			fleet = cb_node_fleet_encode(node);
		is_fleet_encoded = TRUE;
		if (fleet)
			cb_link_send_encoded(inbound->link, fleet);
	}
	g_clear_pointer(&fleet, g_bytes_unref);
	/* A leader answered, so new instances can be submitted. */
	if (outcome == CB_SUBMIT_ANSWERED)
		cb_node_instances_announce(node);
	updates_push_(node, TRUE);
	cb_sessions_push_paced(node);
	cb_timer_start(node->confirm_timer, CONFIRM_RETRY_MS);
}

/*
 * Begins a round of confirmation with a majority for all sessions that are not
 * confirmed.  One round runs at a time and counts only for sessions that were
 * open when it began.
 */
void cb_sessions_confirm(cb_node_t *node)
{
	gboolean is_needed = FALSE;
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
		is_needed = TRUE;
	}
	if (!is_needed)
		return;
	node->is_confirming_sessions = TRUE;
	cb_node_confirm(node, sessions_confirmed_, node);
}

/* Receives the revision that an entry instance has in force. */
static void in_force_revision_receive_(cb_inbound_t *inbound,
				       const cb_link_message_t *message)
{
	cb_session_t *session = inbound->session;
	cb_node_t *node = inbound->node;

	session->in_force_revision = message->number;
	session->sent_revision = message->number;
	session->needs_full_update = message->code != 0;
	session->is_unreported = TRUE;
	if (!cb_timer_is_armed(node->report_timer))
		cb_timer_start(node->report_timer, 0);
	if (session_needs_update_(node, session))
		cb_sessions_push_paced(node);
}

static void command_receive_(cb_inbound_t *inbound,
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

/* Receives a message on an entry instance's session. */
void cb_session_receive(cb_inbound_t *inbound, const cb_link_message_t *message)
{
	switch (message->kind) {
	case CB_LINK_MESSAGE_IN_FORCE:
		in_force_revision_receive_(inbound, message);
		return;
	case CB_LINK_MESSAGE_SUBMIT:
		command_receive_(inbound, message);
		return;
	case CB_LINK_MESSAGE_DEMAND:
		cb_node_demand_receive(inbound, message);
		return;
	case CB_LINK_MESSAGE_USAGE:
		cb_node_usage_receive_session(inbound, message);
		return;
	case CB_LINK_MESSAGE_LEAVING:
		inbound->session->is_leaving = TRUE;
		return;
	default:
		cb_link_goodbye(inbound->link, CB_CLOSE_MALFORMED);
		return;
	}
}
