#include "currantbridge/document.h"
#include "private/node.h"

/* Heartbeats are told to the other control instances together, this often. */
#define SHARE_INTERVAL_MS 250
/* A change is told at once, with what comes within this. */
#define CHANGE_DELAY_MS 5
/* How often the silence of servers is looked at. */
#define EXPIRE_INTERVAL_MS 500
/*
 * While a control instance is not linked, servers may announce themselves
 * there: silence counts only once it has lasted this many times as long.
 */
#define APART_SILENCES 4
/* A server that left stays known for so long, against late heartbeats. */
#define FORGET_MS 60000

/* Sends a message to every other control instance. */
void cb_node_peers_tell(cb_node_t *node, const cb_link_message_t *message)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	unsigned int i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		if (!g_str_equal(member->name, node->name))
			cb_peers_send(node->peers, member->name, message);
	}
}

/* Sends a message to every entry instance with a confirmed session. */
void cb_node_sessions_tell(cb_node_t *node, const cb_link_message_t *message)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (inbound->session && inbound->session->is_confirmed)
			cb_link_send(inbound->link, message);
	}
}

/* Tells an entry instance all servers, when its session is confirmed. */
void cb_node_fleet_greet(cb_inbound_t *inbound)
{
	cb_node_t *node = inbound->node;
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_FLEET };

	message.body = cb_fleet_encode(node->fleet, CB_FLEET_ALL,
				       cb_clock_now_ms(node->clock));
	if (!message.body)
		return;
	cb_link_send(inbound->link, &message);
	g_bytes_unref(message.body);
}

/* Tells what has changed to entries, and heartbeats to control instances. */
static void share_(cb_node_t *node)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_FLEET };
	int64_t now_ms = cb_clock_now_ms(node->clock);

	message.body = cb_fleet_encode(node->fleet, CB_FLEET_ALL_HEARD, now_ms);
	if (message.body) {
		cb_node_peers_tell(node, &message);
		g_bytes_unref(message.body);
	}
	message.body =
		cb_fleet_encode(node->fleet, CB_FLEET_ALL_CHANGED, now_ms);
	if (message.body) {
		cb_node_sessions_tell(node, &message);
		g_bytes_unref(message.body);
	}
}

/* Whether every other control instance is linked to this one. */
static gboolean is_whole_(const cb_node_t *node)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	unsigned int i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];

		if (!g_str_equal(member->name, node->name) &&
		    !cb_peers_is_ready(node->peers, member->name))
			return FALSE;
	}
	return members->len > 0;
}

/* Finds the servers that have fallen silent. */
static void expire_(cb_node_t *node, int64_t now_ms)
{
	int64_t silence_ms = node->server_silence_ms;
	gboolean was_stalled =
		now_ms - node->fleet_expired_ms > 3 * EXPIRE_INTERVAL_MS;

	/* One that did not run heard nobody, which says nothing of them. */
	if (!is_whole_(node) || was_stalled)
		node->whole_since_ms = now_ms;
	node->fleet_expired_ms = now_ms;
	if (now_ms - node->whole_since_ms < silence_ms)
		silence_ms *= APART_SILENCES;
	cb_fleet_expire(node->fleet, now_ms, silence_ms, FORGET_MS);
}

/* Takes in what the replicated state notes, once after the start. */
static void notes_read_(cb_node_t *node)
{
	const GPtrArray *notes = cb_view_servers(cb_state_view(node->state));
	unsigned int i;

	if (node->is_fleet_read || !cb_replica_is_current(node->replica))
		return;
	node->is_fleet_read = TRUE;
	for (i = 0; i < notes->len; i++)
		cb_node_fleet_merge(
			node, ((cb_server_note_t *)notes->pdata[i])->record);
}

static void note_done_(cb_submit_outcome_t outcome, const cb_answer_t *answer,
		       void *user_data)
{
	cb_node_t *node = user_data;

	(void)answer;
	/* What was not committed is noted again, all of it. */
	if (outcome != CB_SUBMIT_ANSWERED)
		node->was_noting = FALSE;
}

/* Has the state note a server as it is, or forget one that is gone. */
static void note_submit_(cb_node_t *node, const cb_fleet_server_t *server)
{
	gboolean is_gone = server->state == CB_FLEET_GONE;
	cb_command_t *command = cb_command_new(
		is_gone ? CB_COMMAND_SERVER_FORGET : CB_COMMAND_SERVER_NOTE);

	command->name = g_strdup(server->id);
	if (is_gone)
		command->text = cb_fleet_start_name(server);
	else
		command->answer = cb_fleet_encode_server(server);
	cb_node_submit(node, command, note_done_, node);
}

/* On the leader, has the state note what has changed. */
static void notes_submit_(cb_node_t *node)
{
	const GPtrArray *servers = cb_fleet_servers(node->fleet);
	gboolean leads = cb_node_is_leader(node) && node->is_fleet_read;
	unsigned int i;

	for (i = 0; leads && i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (server->is_noted && node->was_noting)
			continue;
		cb_fleet_set_noted(node->fleet, server->id, TRUE);
		note_submit_(node, server);
	}
	node->was_noting = leads;
}

static void fleet_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	int64_t now_ms = cb_clock_now_ms(node->clock);

	node->is_fleet_changed = FALSE;
	if (now_ms - node->fleet_expired_ms >= EXPIRE_INTERVAL_MS)
		expire_(node, now_ms);
	notes_read_(node);
	notes_submit_(node);
	share_(node);
	cb_timer_start(node->fleet_timer, SHARE_INTERVAL_MS);
}

static void fleet_changed_(const cb_fleet_server_t *server, void *user_data)
{
	cb_node_t *node = user_data;

	cb_fleet_log(node->log, server);
	if (node->is_fleet_changed)
		return;
	node->is_fleet_changed = TRUE;
	cb_timer_start(node->fleet_timer, CHANGE_DELAY_MS);
}

/* Makes the node's fleet and the timer that shares it. */
void cb_node_fleet_init(cb_node_t *node, int64_t server_silence_ms)
{
	node->server_silence_ms = server_silence_ms;
	node->fleet = cb_fleet_new();
	cb_fleet_watch(node->fleet, fleet_changed_, node);
	node->fleet_timer = cb_timer_new(node->clock, fleet_timer_fired_, node);
}

/* Takes in what another process, or the state, tells of servers. */
void cb_node_fleet_merge(cb_node_t *node, GBytes *record)
{
	if (!cb_fleet_merge(node->fleet, record, cb_clock_now_ms(node->clock)))
		cb_log_event(node->log, CB_EVENT_FLEET_MALFORMED);
}

/* Takes what another control instance heard. */
void cb_node_fleet_receive(cb_node_t *node, const cb_link_message_t *message)
{
	if (message->body)
		cb_node_fleet_merge(node, message->body);
}

/* Returns the backend servers that this instance knows. */
cb_fleet_t *cb_node_fleet(cb_node_t *node)
{
	return node->fleet;
}

/* Commits that a start of a server is to get nothing new. */
static void stop_submit_(cb_node_t *node, const cb_fleet_server_t *server,
			 cb_submit_fn_t done, void *user_data)
{
	char *start = cb_fleet_start_name(server);
	cb_command_t *command;
	cb_answer_t *answer;

	if (cb_view_is_stopped(cb_state_view(node->state), CB_STOP_SERVER,
			       start)) {
		/* What this instance has applied is committed. */
		g_free(start);
		answer = cb_answer_new(CB_ANSWER_OK);
		done(CB_SUBMIT_ANSWERED, answer, user_data);
		cb_answer_delete(answer);
		return;
	}
	command = cb_command_new(CB_COMMAND_STOP_ANNOUNCE);
	command->stop_kind = CB_STOP_SERVER;
	command->name = start;
	cb_node_submit(node, command, done, user_data);
}

void cb_node_fleet_hear(cb_node_t *node, const cb_fleet_server_t *said,
			cb_submit_fn_t done, void *user_data)
{
	cb_answer_t *answer;

	cb_fleet_hear(node->fleet, said, cb_clock_now_ms(node->clock));
	if (said->state != CB_FLEET_READY) {
		stop_submit_(node, said, done, user_data);
		return;
	}
	answer = cb_answer_new(CB_ANSWER_OK);
	done(CB_SUBMIT_ANSWERED, answer, user_data);
	cb_answer_delete(answer);
}

void cb_node_fleet_leave(cb_node_t *node, const char *server_id,
			 cb_submit_fn_t done, void *user_data)
{
	const cb_fleet_server_t *known = cb_fleet_find(node->fleet, server_id);

	if (known)
		stop_submit_(node, known, done, user_data);
	else
		done(CB_SUBMIT_NO_LEADER, NULL, user_data);
}

void cb_node_put_document(cb_node_t *node, int64_t version, const char *text,
			  size_t size, cb_submit_fn_t done, void *user_data)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_DOCUMENT_PUT);

	command->name = g_strdup("document");
	command->document_version = version;
	command->answer = cb_document_pack(text, size);
	cb_node_submit(node, command, done, user_data);
}
