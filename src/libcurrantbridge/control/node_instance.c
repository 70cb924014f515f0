#include "private/node.h"

/* The last report of a session is kept this long. */
#define ROSTER_KEEP_MS (10 * 60 * 1000)
/* Number of heartbeats between two reports of all sessions. */
#define FULL_REPORT_INTERVAL_TICKS 2
/*
 * An entry instance that is not recorded as up is submitted again after this:
 * until then the first submission may still be on its way.
 */
#define UP_RETRY_MS 500

/* Returns a table of the state's entry instances by name. */
static GHashTable *instances_index_by_name_(const cb_node_t *node)
{
	const GPtrArray *instances =
		cb_view_instances(cb_state_view(node->state));
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		cb_instance_t *instance = g_ptr_array_index(instances, i);

		g_hash_table_insert(by_name, instance->name, instance);
	}
	return by_name;
}

static void instance_change_done_(cb_submit_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data)
{
	(void)outcome;
	(void)answer;
	(void)user_data;
}

/*
 * Submits a change of an entry instance.  Its change ID is made of what it
 * changes, so that the same change is applied only once if several control
 * instances submit it.
 */
static void instance_change_submit_(cb_node_t *node, cb_command_t *command,
				    const char *verb, uint64_t revision)
{
	command->change_id = g_strdup_printf("%s/%s/%" G_GUINT64_FORMAT
					     "/%" G_GUINT64_FORMAT,
					     verb, command->name,
					     command->incarnation, revision);
	cb_node_submit(node, command, instance_change_done_, NULL);
}

/*
 * Submits that a session's instance is up, unless the state records it as up.
 */
static void instance_up_submit_(cb_node_t *node, cb_session_t *session,
				const cb_instance_t *known)
{
	const cb_hello_t *hello = &session->hello;
	int64_t now_ms = cb_clock_now_ms(node->clock);
	cb_command_t *command;

	if (session->is_leaving || !cb_replica_leader(node->replica))
		return;
	if (known && known->incarnation >= hello->incarnation &&
	    known->state != CB_INSTANCE_SILENT)
		return;
	if (known && known->incarnation > hello->incarnation)
		return;
	if (session->up_submitted_ms &&
	    now_ms - session->up_submitted_ms < UP_RETRY_MS)
		return;
	session->up_submitted_ms = now_ms;
	command = cb_command_new(CB_COMMAND_INSTANCE_UP);
	command->name = g_strdup(hello->name);
	command->address = g_strdup(hello->address);
	command->data_centre = g_strdup(hello->data_centre);
	command->incarnation = hello->incarnation;
	instance_change_submit_(node, command, "up",
				known ? known->revision : 0);
}

/* Returns a new report of one session. */
static cb_session_report_t *session_report_new_(const cb_node_t *node,
						const cb_inbound_t *inbound)
{
	cb_session_report_t *report = g_new0(cb_session_report_t, 1);
	int64_t now_ms = cb_clock_now_ms(node->clock);

	report->name = g_strdup(inbound->session->hello.name);
	report->incarnation = inbound->session->hello.incarnation;
	report->revision = inbound->session->in_force_revision;
	report->last_received_ms_ago =
		(uint64_t)(now_ms - cb_link_last_received_ms(inbound->link));
	return report;
}

static void session_reports_send_(cb_node_t *node, const GPtrArray *reports)
{
	const char *leader = cb_replica_leader(node->replica);
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_SESSION_REPORT };

	if (!leader || cb_node_is_leader(node))
		return;
	message.body = cb_session_reports_encode(reports);
	cb_peers_send(node->peers, leader, &message);
	g_bytes_unref(message.body);
}

/*
 * Reports this instance's sessions to the leader: all of them, or only those
 * that have changed since their last report.
 */
void cb_node_sessions_report(cb_node_t *node, gboolean all)
{
	GPtrArray *reports =
		g_ptr_array_new_with_free_func(cb_session_report_delete);
	int64_t now_ms = cb_clock_now_ms(node->clock);
	GHashTableIter iter;
	void *value;
	unsigned int i;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_inbound_t *inbound = value;

		if (!inbound->session ||
		    (!all && !inbound->session->is_unreported))
			continue;
		inbound->session->is_unreported = FALSE;
		g_ptr_array_add(reports, session_report_new_(node, inbound));
	}
	for (i = 0; i < reports->len; i++)
		cb_roster_report(node->roster, node->name,
				 g_ptr_array_index(reports, i), now_ms);
	if (reports->len)
		session_reports_send_(node, reports);
	g_ptr_array_unref(reports);
}

/* Receives another control instance's report of its sessions. */
void cb_node_sessions_receive_report(cb_node_t *node, const char *control,
				     const cb_link_message_t *message)
{
	GPtrArray *reports = cb_session_reports_decode(message->body);
	int64_t now_ms = cb_clock_now_ms(node->clock);
	unsigned int i;

	if (!reports)
		return;
	for (i = 0; i < reports->len; i++)
		cb_roster_report(node->roster, control,
				 g_ptr_array_index(reports, i), now_ms);
	g_ptr_array_unref(reports);
}

static void instance_silent_submit_(cb_node_t *node,
				    const cb_instance_t *instance)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_INSTANCE_STATE);

	cb_log_event(node->log, CB_EVENT_INSTANCE_FELL_SILENT,
		     CB_STR("name", instance->name),
		     CB_INT("incarnation", instance->incarnation));
	command->name = g_strdup(instance->name);
	command->incarnation = instance->incarnation;
	command->instance_state = CB_INSTANCE_SILENT;
	instance_change_submit_(node, command, "silent", instance->revision);
}

/*
 * On the leader, submits as silent the instances that no control instance has
 * received anything from within the timeout.  A new leader waits the whole
 * timeout, so that each instance can be reported to it.
 */
static void silent_instances_submit_(cb_node_t *node,
				     const GPtrArray *instances)
{
	int64_t now_ms = cb_clock_now_ms(node->clock);
	int64_t timeout_ms = node->silence_ms * CB_NODE_INSTANCE_SILENCE_FACTOR;
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);
		const cb_roster_entry_t *entry =
			cb_roster_find(node->roster, instance->name);
		int64_t last_contact_ms = node->leader_since_ms;

		if (instance->state == CB_INSTANCE_SILENT)
			continue;
		if (entry && entry->incarnation >= instance->incarnation)
			last_contact_ms =
				MAX(last_contact_ms, entry->last_received_ms);
		if (now_ms - last_contact_ms >= timeout_ms)
			instance_silent_submit_(node, instance);
	}
}

/* Submits the instances with a session that the state does not record as up. */
void cb_node_instances_announce(cb_node_t *node)
{
	GHashTable *instances = instances_index_by_name_(node);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->inbounds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_session_t *session = ((cb_inbound_t *)value)->session;

		if (session)
			instance_up_submit_(
				node, session,
				g_hash_table_lookup(instances,
						    session->hello.name));
	}
	g_hash_table_unref(instances);
}

/* Updates the state of entry instances.  Called at each heartbeat. */
void cb_node_instances_tick(cb_node_t *node)
{
	cb_node_sessions_report(
		node, node->tick_count++ % FULL_REPORT_INTERVAL_TICKS == 0);
	cb_node_instances_announce(node);
	if (cb_node_is_leader(node))
		silent_instances_submit_(node, cb_view_instances(cb_state_view(
						       node->state)));
	cb_roster_remove_expired(node->roster,
				 cb_clock_now_ms(node->clock) - ROSTER_KEEP_MS);
}
