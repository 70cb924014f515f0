#include "currantbridge/document.h"
#include "private/fleet_server.h"
#include "private/item.h"
#include "private/node.h"

/* Received heartbeats are sent to the other control instances this often. */
#define SHARE_INTERVAL_MS 250
/*
 * A changed server record is sent after this delay, together with later
 * changes.
 */
#define CHANGE_SHARE_DELAY_MS 5
/*
 * Shortest interval of such messages, for this many servers a millisecond: after
 * a start every server changes, and each message goes to every session.
 */
#define CHANGE_SHARE_SERVERS_PER_MS 10
/*
 * Records of servers that are submitted at a time: other changes must not wait
 * behind those of a whole fleet.
 */
#define RECORDS_IN_FLIGHT_MAX 128
/* Interval of the checks for silent servers. */
#define EXPIRY_CHECK_INTERVAL_MS 500
/*
 * While the link to another control instance is down, servers may announce
 * themselves to that one.  The silence timeout is multiplied by this until all
 * links have been up for one timeout.
 */
#define UNLINKED_SILENCE_FACTOR 4
/* For how long after the start servers are taken from the replicated state. */
#define RECORDS_MERGE_MS 2000
/* The record of a server that left is kept this long for late heartbeats. */
#define GONE_SERVER_KEEP_MS 60000

/* Returns the encoded message for a link of a protocol version. */
static GBytes *broadcast_encoded_(cb_broadcast_t *broadcast, uint64_t protocol)
{
	GBytes **encoded =
		&broadcast->encoded[protocol - CB_PROTOCOL_VERSION_MIN];
	cb_link_message_t message = { .kind = broadcast->kind };

	if (!*encoded) {
		message.body =
			broadcast->encode_body(broadcast->content, protocol);
		*encoded = cb_link_message_encode(&message);
		g_clear_pointer(&message.body, g_bytes_unref);
	}
	return *encoded;
}

/* Frees the encoded messages. */
void cb_broadcast_clear(cb_broadcast_t *broadcast)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(broadcast->encoded); i++)
		g_clear_pointer(&broadcast->encoded[i], g_bytes_unref);
}

/* Sends a message to every other control instance. */
void cb_broadcast_to_peers(cb_node_t *node, cb_broadcast_t *broadcast)
{
	const GPtrArray *members = cb_replica_members(node->replica);
	unsigned int i;

	for (i = 0; i < members->len; i++) {
		const cb_replica_member_t *member = members->pdata[i];
		uint64_t protocol =
			cb_peers_protocol(node->peers, member->name);

		if (protocol)
			cb_peers_send_encoded(node->peers, member->name,
					      broadcast_encoded_(broadcast,
								 protocol));
	}
}

/* Sends a message to every entry instance with a confirmed session. */
void cb_broadcast_to_sessions(cb_node_t *node, cb_broadcast_t *broadcast)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (inbound->session && inbound->session->is_confirmed)
			cb_link_send_encoded(
				inbound->link,
				broadcast_encoded_(broadcast,
						   cb_link_protocol(
							   inbound->link)));
	}
}

/* The body of a message that has the same form in each version. */
static GBytes *message_body_ref_(const void *content, uint64_t protocol)
{
	const cb_link_message_t *message = content;

	(void)protocol;
	return message->body ? g_bytes_ref(message->body) : NULL;
}

/* Sends a message with nothing but a body to every other control instance. */
void cb_node_peers_broadcast(cb_node_t *node, const cb_link_message_t *message)
{
	cb_broadcast_t broadcast = { .encode_body = message_body_ref_,
				     .content = message,
				     .kind = message->kind };

	cb_broadcast_to_peers(node, &broadcast);
	cb_broadcast_clear(&broadcast);
}

/* The same, to every entry instance with a confirmed session. */
void cb_node_sessions_broadcast(cb_node_t *node,
				const cb_link_message_t *message)
{
	cb_broadcast_t broadcast = { .encode_body = message_body_ref_,
				     .content = message,
				     .kind = message->kind };

	cb_broadcast_to_sessions(node, &broadcast);
	cb_broadcast_clear(&broadcast);
}

/*
 * Merges the servers of the replicated state if it has changed, until some time
 * after the start: a node that has contact to its leader may still have to catch up
 * with it.  Later records tell what the node has heard of anyway.
 */
static void server_records_load_(cb_node_t *node)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	uint64_t revision = cb_state_revision(node->state);
	const GPtrArray *records = cb_view_servers(cb_state_view(node->state));
	unsigned int i;

	if (!node->has_merged_servers && cb_replica_is_current(node->replica)) {
		node->has_merged_servers = TRUE;
		node->records_merged_until_ms = now_ms + RECORDS_MERGE_MS;
	}
	if (revision == node->records_merged_revision ||
	    (node->has_merged_servers &&
	     now_ms > node->records_merged_until_ms))
		return;
	node->records_merged_revision = revision;
	for (i = 0; i < records->len; i++) {
		const cb_stored_server_t *stored = records->pdata[i];

		/* What the node has heard of since its start is newer. */
		if (!cb_fleet_find(node->fleet, stored->id))
			cb_node_fleet_merge(node, stored->record);
	}
}

/*
 * Returns the encoded message that tells an entry instance whose session was
 * confirmed of all servers, or NULL if there are none.  Recorded servers are
 * included: the entry instance's view has no records of servers.
 */
GBytes *cb_node_fleet_encode(cb_node_t *node)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_FLEET };
	GBytes *encoded;

	server_records_load_(node);
	cb_node_services_review(node);
	message.body = cb_fleet_encode(node->fleet, CB_FLEET_ALL,
				       cb_clock_now_ms(node->clock));
	if (!message.body)
		return NULL;
	encoded = cb_link_message_encode(&message);
	g_bytes_unref(message.body);
	return encoded;
}

/*
 * Sends changed server records to entry instances, and the heartbeats of
 * servers to the other control instances.
 */
static void fleet_updates_send_(cb_node_t *node)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_FLEET };
	int64_t now_ms = cb_clock_now_ms(node->clock);

	message.body = cb_fleet_encode(node->fleet, CB_FLEET_UNSENT_TO_CONTROL,
				       now_ms);
	if (message.body) {
		cb_node_peers_broadcast(node, &message);
		g_bytes_unref(message.body);
	}
	message.body = cb_fleet_encode(node->fleet, CB_FLEET_UNSENT_TO_ENTRIES,
				       now_ms);
	if (message.body) {
		cb_node_sessions_broadcast(node, &message);
		g_bytes_unref(message.body);
	}
}

/* Returns whether this instance has links to all other members. */
gboolean cb_node_has_all_peers(const cb_node_t *node)
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

/*
 * Marks servers without heartbeats as silent, and removes the records of those
 * that left more than GONE_SERVER_KEEP_MS ago.
 */
static void silent_servers_expire_(cb_node_t *node, int64_t now_ms)
{
	int64_t silence_ms = node->server_silence_ms;
	gboolean was_stalled = now_ms - node->last_expiry_check_ms >
			       3 * EXPIRY_CHECK_INTERVAL_MS;

	/* While this process was stalled it could not receive heartbeats. */
	if (!cb_node_has_all_peers(node) || was_stalled)
		node->all_linked_since_ms = now_ms;
	node->last_expiry_check_ms = now_ms;
	if (now_ms - node->all_linked_since_ms < silence_ms)
		silence_ms *= UNLINKED_SILENCE_FACTOR;
	cb_fleet_expire(node->fleet, now_ms, silence_ms, GONE_SERVER_KEEP_MS);
}

static void server_record_done_(cb_submit_outcome_t outcome,
				const cb_answer_t *answer, void *user_data)
{
	cb_node_t *node = user_data;

	(void)answer;
	node->server_records_in_flight--;
	/* If a record was not committed, all are compared with the state again. */
	if (outcome != CB_SUBMIT_ANSWERED)
		node->was_recording_servers = FALSE;
}

/* Submits a change of a server's record in the replicated state. */
static void server_record_command_submit_(cb_node_t *node,
					  cb_command_t *command)
{
	node->server_records_in_flight++;
	cb_node_submit(node, command, server_record_done_, node);
}

/*
 * Submits a server's record for the replicated state, or the removal of a
 * server that left.
 */
static void server_record_submit_(cb_node_t *node,
				  const cb_fleet_server_t *server)
{
	gboolean is_gone = server->state == CB_FLEET_GONE;
	cb_command_t *command = cb_command_new(
		is_gone ? CB_COMMAND_SERVER_FORGET : CB_COMMAND_SERVER_NOTE);

	command->name = g_strdup(server->id);
	if (is_gone)
		command->text = cb_fleet_start_name(server);
	else
		command->payload = cb_fleet_encode_server(server);
	server_record_command_submit_(node, command);
}

/*
 * On the leader, removes the records of servers that the fleet has lacked since it
 * became the leader or longer.  Records are taken into the fleet, where they expire,
 * but for those of services that the configuration no longer has.
 */
static void unknown_records_remove_(cb_node_t *node, int64_t now_ms)
{
	const GPtrArray *records = cb_view_servers(cb_state_view(node->state));
	unsigned int i;

	if (!cb_node_is_leader(node) || !node->has_merged_servers ||
	    now_ms - node->leader_since_ms < GONE_SERVER_KEEP_MS ||
	    now_ms - node->records_checked_ms < GONE_SERVER_KEEP_MS)
		return;
	node->records_checked_ms = now_ms;
	for (i = 0; i < records->len; i++) {
		const cb_stored_server_t *stored = records->pdata[i];
		cb_command_t *command;

		if (cb_fleet_find(node->fleet, stored->id))
			continue;
		if (node->server_records_in_flight >= RECORDS_IN_FLIGHT_MAX)
			return;
		command = cb_command_new(CB_COMMAND_SERVER_FORGET);
		command->name = g_strdup(stored->id);
		server_record_command_submit_(node, command);
	}
}

/* Compares each server with its record in the replicated state. */
static void recorded_servers_find_(cb_node_t *node, const GPtrArray *servers)
{
	const cb_view_t *view = cb_state_view(node->state);
	unsigned int i;

	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];
		const cb_stored_server_t *stored =
			cb_view_find_item(view, CB_ITEM_SERVER, server->id);

		cb_fleet_set_recorded(
			node->fleet, server->id,
			stored && cb_fleet_record_matches(server,
							  stored->record));
	}
}

/*
 * On the leader, submits servers whose record in the replicated state is missing
 * or outdated, a limited number at a time.
 */
static void changed_servers_submit_(cb_node_t *node)
{
	const GPtrArray *servers;
	unsigned int i;

	if (!cb_node_is_leader(node) || !node->has_merged_servers) {
		node->was_recording_servers = FALSE;
		return;
	}
	servers = cb_fleet_servers(node->fleet);
	if (!node->was_recording_servers)
		recorded_servers_find_(node, servers);
	node->was_recording_servers = TRUE;
	for (i = 0; i < servers->len; i++) {
		const cb_fleet_server_t *server = servers->pdata[i];

		if (server->is_recorded)
			continue;
		if (node->server_records_in_flight >= RECORDS_IN_FLIGHT_MAX)
			return;
		cb_fleet_set_recorded(node->fleet, server->id, TRUE);
		server_record_submit_(node, server);
	}
}

static void fleet_timer_fired_(void *user_data)
{
	cb_node_t *node = user_data;
	int64_t now_ms = cb_clock_now_ms(node->clock);

	cb_node_services_review(node);
	if (node->is_fleet_share_pending)
		node->fleet_changes_sent_ms = now_ms;
	node->is_fleet_share_pending = FALSE;
	if (now_ms - node->last_expiry_check_ms >= EXPIRY_CHECK_INTERVAL_MS)
		silent_servers_expire_(node, now_ms);
	server_records_load_(node);
	changed_servers_submit_(node);
	unknown_records_remove_(node, now_ms);
	fleet_updates_send_(node);
	cb_timer_start(node->fleet_timer, SHARE_INTERVAL_MS);
}

static void server_changed_(const cb_fleet_server_t *server, void *user_data)
{
	cb_node_t *node = user_data;
	int64_t age_ms =
		cb_clock_now_ms(node->clock) - node->fleet_changes_sent_ms;
	int64_t interval_ms =
		MIN(cb_fleet_count(node->fleet) / CHANGE_SHARE_SERVERS_PER_MS,
		    SHARE_INTERVAL_MS);

	cb_fleet_log(node->log, server);
	if (node->is_fleet_share_pending)
		return;
	node->is_fleet_share_pending = TRUE;
	cb_timer_start_sooner(node->fleet_timer,
			      MAX(CHANGE_SHARE_DELAY_MS, interval_ms - age_ms));
}

/* The stop of an unconfigured service's server, which waits for the newest state. */
typedef struct pending_stop {
	cb_node_t *node;
	cb_fleet_server_t report;
	/* Whether the report is a notice of leaving; see cb_node_server_leave(). */
	gboolean is_notice;
	cb_submit_fn_t done;
	void *user_data;
} pending_stop_t;

static void pending_stop_free_(void *data)
{
	pending_stop_t *stop = data;

	cb_fleet_server_clear(&stop->report);
	g_free(stop);
}

/* Creates the node's fleet and the timer that shares it. */
void cb_node_fleet_init(cb_node_t *node, int64_t server_silence_ms)
{
	node->server_silence_ms = server_silence_ms;
	node->fleet = cb_fleet_new();
	cb_fleet_watch(node->fleet, server_changed_, node);
	node->pending_stops =
		g_hash_table_new_full(g_direct_hash, g_direct_equal,
				      pending_stop_free_, NULL);
	node->fleet_timer = cb_timer_new(node->clock, fleet_timer_fired_, node);
}

/* Merges servers from another process or from the replicated state. */
void cb_node_fleet_merge(cb_node_t *node, GBytes *record)
{
	if (!cb_fleet_merge(node->fleet, record, cb_clock_now_ms(node->clock)))
		cb_log_event(node->log, CB_EVENT_FLEET_MALFORMED);
}

/* Receives the servers that another control instance reports. */
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

/* Answers a server's report that has taken effect. */
static void report_accept_(cb_submit_fn_t done, void *user_data)
{
	cb_answer_t *answer = cb_answer_new(CB_ANSWER_OK);

	done(CB_SUBMIT_ANSWERED, answer, user_data);
	cb_answer_delete(answer);
}

/*
 * Submits a planned stop, after which this process of the server gets no new
 * requests.
 */
static void server_stop_submit_(cb_node_t *node,
				const cb_fleet_server_t *server,
				cb_submit_fn_t done, void *user_data)
{
	char *start = cb_fleet_start_name(server);
	cb_command_t *command;

	if (cb_view_is_stopped(cb_state_view(node->state), CB_STOP_SERVER,
			       start)) {
		/* A stop that this instance has applied is committed. */
		g_free(start);
		report_accept_(done, user_data);
		return;
	}
	command = cb_command_new(CB_COMMAND_STOP_ANNOUNCE);
	command->stop_kind = CB_STOP_SERVER;
	command->name = start;
	cb_node_submit(node, command, done, user_data);
}

/* Returns the server of the fleet that a notice of leaving is about, or NULL. */
static const cb_fleet_server_t *leaving_server_find_(
	const cb_node_t *node, const cb_fleet_server_t *notice)
{
	const cb_fleet_server_t *known = cb_fleet_find(node->fleet, notice->id);

	return known && (!notice->service ||
			 !strcmp(known->service, notice->service)) ?
		       known :
		       NULL;
}

/*
 * Submits the planned stop that a notice of leaving announces.  One that comes late
 * is about an earlier process of the ID.
 */
static void leaving_server_stop_(cb_node_t *node,
				 const cb_fleet_server_t *known,
				 const cb_fleet_server_t *notice,
				 cb_submit_fn_t done, void *user_data)
{
	cb_fleet_server_t leaving = *known;

	if (notice->start_wall_ms >= 0)
		leaving.start_wall_ms = notice->start_wall_ms;
	server_stop_submit_(node, &leaving, done, user_data);
}

/*
 * Submits a pending stop if its server is one of the fleet, now that this instance
 * has the newest document.  The record of one that is not says that it drains.
 */
static void pending_stop_submit_(const pending_stop_t *stop)
{
	cb_node_t *node = stop->node;
	const cb_fleet_server_t *known;

	if (stop->is_notice) {
		known = leaving_server_find_(node, &stop->report);
		if (known)
			leaving_server_stop_(node, known, &stop->report,
					     stop->done, stop->user_data);
		else
			report_accept_(stop->done, stop->user_data);
	} else if (cb_fleet_update(node->fleet, &stop->report,
				   cb_clock_now_ms(node->clock)) ==
		   CB_FLEET_UNCONFIGURED) {
		report_accept_(stop->done, stop->user_data);
	} else {
		server_stop_submit_(node, &stop->report, stop->done,
				    stop->user_data);
	}
}

/* Called once this instance's state is current, or that can't be confirmed. */
static void pending_stop_confirmed_(cb_submit_outcome_t outcome, uint64_t index,
				    void *user_data)
{
	pending_stop_t *stop = user_data;
	cb_node_t *node = stop->node;

	(void)index;
	cb_node_services_review(node);
	if (outcome == CB_SUBMIT_ANSWERED)
		pending_stop_submit_(stop);
	else
		stop->done(outcome, NULL, stop->user_data);
	g_hash_table_remove(node->pending_stops, stop);
}

/*
 * Handles the stop of a server whose service the document of this instance lacks.
 * A newer document may have the service, and the server may be in use by it: then
 * the stop is committed.  Otherwise it is only noted in the server's record, since
 * its ID and start may be those that another program gives for a server of a
 * configured service.
 */
static void unconfigured_stop_(cb_node_t *node, const cb_fleet_server_t *report,
			       gboolean is_notice, cb_submit_fn_t done,
			       void *user_data)
{
	pending_stop_t *stop = g_new0(pending_stop_t, 1);

	stop->node = node;
	cb_fleet_server_copy(&stop->report, report);
	stop->is_notice = is_notice;
	stop->done = done;
	stop->user_data = user_data;
	g_hash_table_add(node->pending_stops, stop);
	cb_node_confirm(node, pending_stop_confirmed_, stop);
}

/* Logs a report that is kept apart for the first time, or is not valid. */
static void odd_report_log_(const cb_node_t *node,
			    const cb_fleet_server_t *report,
			    cb_fleet_outcome_t outcome, gboolean is_first_apart)
{
	if (is_first_apart)
		cb_log_event(node->log, CB_EVENT_SERVER_UNCONFIGURED,
			     CB_STR("id", report->id),
			     CB_STR("address", report->address),
			     CB_STR("service", report->service),
			     CB_STR("kind", report->kind),
			     CB_INT("born_wall_ms", report->start_wall_ms));
	else if (outcome == CB_FLEET_INVALID)
		cb_log_event(
			node->log, CB_EVENT_HEARTBEAT_REFUSED,
			CB_STR("subject", report->id),
			CB_STR("reason",
			       "kind, layers: this process has told them"));
}

void cb_node_server_announce(cb_node_t *node, const cb_fleet_server_t *report,
			     cb_submit_fn_t done, void *user_data)
{
	unsigned int count = cb_fleet_unconfigured_count(node->fleet);
	cb_fleet_outcome_t outcome =
		cb_fleet_update(node->fleet, report,
				cb_clock_now_ms(node->clock));

	odd_report_log_(node, report, outcome,
			cb_fleet_unconfigured_count(node->fleet) > count);
	if (report->state == CB_FLEET_READY)
		report_accept_(done, user_data);
	else if (outcome == CB_FLEET_INVALID)
		done(CB_SUBMIT_NO_LEADER, NULL, user_data);
	else if (outcome == CB_FLEET_UNCONFIGURED)
		unconfigured_stop_(node, report, FALSE, done, user_data);
	else
		server_stop_submit_(node, report, done, user_data);
}

void cb_node_server_leave(cb_node_t *node, const char *server_id,
			  const char *service, int64_t start_wall_ms,
			  cb_submit_fn_t done, void *user_data)
{
	const cb_fleet_server_t notice = { .id = (char *)server_id,
					   .service = (char *)service,
					   .start_wall_ms = start_wall_ms };
	const cb_fleet_server_t *known = leaving_server_find_(node, &notice);
	gboolean is_unconfigured =
		cb_fleet_drain_unconfigured(node->fleet, server_id, service,
					    start_wall_ms);

	if (known)
		leaving_server_stop_(node, known, &notice, done, user_data);
	else if (is_unconfigured)
		unconfigured_stop_(node, &notice, TRUE, done, user_data);
	else
		done(CB_SUBMIT_NO_LEADER, NULL, user_data);
}

void cb_node_put_document(cb_node_t *node, int64_t version, const char *text,
			  size_t size, cb_submit_fn_t done, void *user_data)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_DOCUMENT_PUT);

	command->name = g_strdup("document");
	command->document_version = version;
	command->payload = cb_document_pack(text, size);
	cb_node_submit(node, command, done, user_data);
}
