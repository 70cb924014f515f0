#include "currantbridge/control_client.h"

#include <string.h>

#include "private/control_client.h"

/*
 * A running control instance answers within this time, even from another data
 * centre.
 */
#define CONNECT_TIMEOUT_MS 300
#define LINK_QUEUE_MAX_BYTES (16 * 1024 * 1024)
#define NEXT_DELAY_MAX_MS 20
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 500
#define DRAIN_FLUSH_MS 50

/*
 * Schedules a connection to the next control instance after a short random
 * delay, to which a backoff is added once all of them have failed.
 */
static void connect_schedule_(cb_control_client_t *client)
{
	int64_t delay_ms =
		g_rand_int_range(client->random, 0, NEXT_DELAY_MAX_MS);

	if (client->is_draining)
		return;
	if (!cb_control_addresses_advance(client->addresses))
		delay_ms += cb_backoff_next_ms(&client->backoff);
	cb_timer_start(client->connect_timer, delay_ms);
}

/* Records when a current control instance last sent a message. */
static void last_current_update_(cb_control_client_t *client)
{
	if (client->link && client->is_session_confirmed)
		client->last_current_ms =
			cb_link_last_received_ms(client->link);
}

/*
 * Returns the outcome of an attempt, or of its session, that ended for `reason`.
 */
static cb_address_outcome_t outcome_classify_(const cb_control_client_t *client,
					      cb_close_reason_t reason)
{
	switch (reason) {
	case CB_CLOSE_CROWDED:
		return CB_ADDRESS_CROWDED;
	case CB_CLOSE_REFUSED:
	case CB_CLOSE_REMOTE:
	case CB_CLOSE_STOPPING:
		return CB_ADDRESS_FAILED;
	case CB_CLOSE_SILENT:
		return CB_ADDRESS_SILENT;
	default:
		return cb_link_remote_hello(client->link)->name ?
			       CB_ADDRESS_FAILED :
			       CB_ADDRESS_SILENT;
	}
}

/*
 * Ends an attempt whose control instance speaks a lower protocol version only, and
 * connects to it again with that one.
 */
static void protocol_lower_(cb_control_client_t *client, uint64_t protocol)
{
	cb_log_event(client->log, CB_EVENT_PROTOCOL_LOWERED,
		     CB_STR("peer", cb_link_remote_hello(client->link)->name),
		     CB_INT("protocol", protocol));
	g_clear_pointer(&client->link, cb_link_delete);
	cb_timer_stop(client->confirm_timer);
	client->protocol = protocol;
	if (!client->is_draining)
		cb_timer_start(client->connect_timer, 0);
}

/* Ends the session and schedules a connection to the next control instance. */
static void session_end_(cb_control_client_t *client, cb_close_reason_t reason)
{
	cb_counters_t *counters = cb_kernel_counters(client->kernel);
	cb_address_outcome_t outcome = outcome_classify_(client, reason);

	last_current_update_(client);
	cb_counter_add(cb_counters_counter(counters, "cb_control_lost_total",
					   "reason",
					   cb_close_reason_string[reason]),
		       1);
	cb_log_event(client->log, CB_EVENT_CONTROL_LOST,
		     CB_STR("address",
			    cb_control_addresses_current(client->addresses)),
		     CB_STR("reason", cb_close_reason_string[reason]));
	g_clear_pointer(&client->link, cb_link_delete);
	cb_timer_stop(client->confirm_timer);
	client->is_session_confirmed = FALSE;
	cb_control_addresses_record(client->addresses, outcome);
	cb_client_submits_mark_unsent(client);
	connect_schedule_(client);
}

static void link_ready_(void *user_data, const cb_hello_t *remote)
{
	cb_control_client_t *client = user_data;

	if (remote->role != CB_ROLE_CONTROL) {
		cb_link_goodbye(client->link, CB_CLOSE_WRONG_PEER);
		return;
	}
	cb_timer_start(client->confirm_timer, client->silence_ms);
	cb_log_event(client->log, CB_EVENT_CONTROL_CONNECTED,
		     CB_STR("control", remote->name),
		     CB_INT("revision", remote->revision));
}

/* Marks the view as confirmed once it has reached the confirmed revision. */
static void confirmation_check_(cb_control_client_t *client)
{
	if (client->is_confirmed || !client->has_confirm_revision ||
	    cb_view_revision(client->view) < client->confirm_revision)
		return;
	client->is_confirmed = TRUE;
	cb_log_event(client->log, CB_EVENT_VIEW_CONFIRMED,
		     CB_INT("revision", cb_view_revision(client->view)));
}

/* Handles the confirmation of a revision: the control instance is current. */
static void confirmation_handle_(cb_control_client_t *client,
				 const cb_link_message_t *message)
{
	cb_timer_stop(client->confirm_timer);
	cb_log_event(client->log, CB_EVENT_CONTROL_CONFIRMED,
		     CB_STR("control",
			    cb_link_remote_hello(client->link)->name),
		     CB_INT("revision", message->number),
		     CB_INT("own_revision", cb_view_revision(client->view)),
		     CB_INT("attempts", client->attempt_count),
		     CB_INT("without_ms",
			    cb_control_client_silence_ms(client)));
	client->attempt_count = 0;
	client->is_session_confirmed = TRUE;
	cb_control_addresses_record(client->addresses, CB_ADDRESS_CONFIRMED);
	cb_backoff_reset(&client->backoff);
	if (!client->has_confirm_revision)
		client->confirm_revision = message->number;
	client->has_confirm_revision = TRUE;
	confirmation_check_(client);
	cb_client_submits_send(client);
}

/*
 * Reconnects under a higher incarnation if control has recorded one above ours
 * for this name and address, and so takes this process for an old one.
 */
static void incarnation_check_(cb_control_client_t *client)
{
	const GPtrArray *instances = cb_view_instances(client->view);
	cb_hello_t *hello = &client->hello;
	unsigned int i;

	for (i = 0; client->renews_incarnation && i < instances->len; i++) {
		const cb_instance_t *known = instances->pdata[i];

		if (strcmp(known->name, hello->name) != 0 ||
		    g_strcmp0(known->address, hello->address) != 0 ||
		    known->incarnation <= hello->incarnation)
			continue;
		cb_log_event(client->log, CB_EVENT_INCARNATION_RENEWED,
			     CB_INT("known", known->incarnation),
			     CB_INT("own", hello->incarnation));
		hello->incarnation = known->incarnation + 1;
		cb_link_goodbye(client->link, CB_CLOSE_REPLACED);
		return;
	}
}

/* Applies an update and reports the view's revision to control. */
static void update_handle_(cb_control_client_t *client, GBytes *update)
{
	cb_counters_t *counters = cb_kernel_counters(client->kernel);
	cb_view_outcome_t outcome = cb_view_apply(client->view, update);
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_IN_FORCE };

	cb_counter_add(cb_counters_counter(counters, "cb_view_updates_total",
					   "outcome",
					   cb_view_outcome_string[outcome]),
		       1);
	if (outcome != CB_VIEW_APPLIED)
		cb_log_event(client->log, CB_EVENT_UPDATE_REFUSED,
			     CB_STR("outcome",
				    cb_view_outcome_string[outcome]));
	if (outcome == CB_VIEW_MALFORMED) {
		cb_link_goodbye(client->link, CB_CLOSE_MALFORMED);
		return;
	}
	message.number = cb_view_revision(client->view);
	message.code = outcome == CB_VIEW_GAP;
	cb_link_send(client->link, &message);
	confirmation_check_(client);
	incarnation_check_(client);
}

/* Stores the addresses of the present control instances. */
static void control_addresses_handle_(cb_control_client_t *client,
				      const cb_link_message_t *message)
{
	char **addresses =
		message->body ? cb_addresses_decode(message->body) : NULL;

	if (addresses)
		cb_control_addresses_announce(client->addresses, addresses);
}

/* Replaces the configured addresses of control instances. */
void cb_control_client_configure(cb_control_client_t *client,
				 const char *const *control_addresses)
{
	cb_control_addresses_configure(client->addresses, control_addresses);
}

static void link_received_(void *user_data, const cb_link_message_t *message)
{
	cb_control_client_t *client = user_data;

	switch (message->kind) {
	case CB_LINK_MESSAGE_UPDATE:
		if (message->body)
			update_handle_(client, message->body);
		return;
	case CB_LINK_MESSAGE_CONFIRMED:
		confirmation_handle_(client, message);
		return;
	case CB_LINK_MESSAGE_SUBMIT_ANSWER:
		cb_client_submit_handle_answer(client, message);
		return;
	case CB_LINK_MESSAGE_GRANT:
		if (message->body && client->grant_fn)
			client->grant_fn(message->body,
					 (int64_t)message->number,
					 client->grant_data);
		return;
	case CB_LINK_MESSAGE_FLEET:
		if (message->body && client->fleet_fn)
			client->fleet_fn(message->body, client->fleet_data);
		return;
	case CB_LINK_MESSAGE_CONTROL_ADDRESSES:
		control_addresses_handle_(client, message);
		return;
	case CB_LINK_MESSAGE_USAGE:
		if (message->body && client->usage_fn)
			client->usage_fn(message->body, client->usage_data);
		return;
	default:
		cb_link_goodbye(client->link, CB_CLOSE_MALFORMED);
		return;
	}
}

static void link_closed_(void *user_data, cb_close_reason_t reason)
{
	cb_control_client_t *client = user_data;
	uint64_t protocol = cb_link_lower_protocol(client->link);

	if (protocol)
		protocol_lower_(client, protocol);
	else
		session_end_(client, reason);
}

static const cb_link_handler_t link_handler = {
	.ready = link_ready_,
	.received = link_received_,
	.closed = link_closed_,
};

static void connect_timer_fired_(void *user_data)
{
	cb_control_client_t *client = user_data;
	cb_link_options_t options = { .hello = &client->hello,
				      .heartbeat_ms = client->heartbeat_ms,
				      .silence_ms = client->silence_ms,
				      .protocol = client->protocol };
	cb_connection_t *connection =
		client->network->vtable->connect(client->network,
						 cb_control_addresses_current(
							 client->addresses));

	cb_link_options_set_counters(&options,
				     cb_kernel_counters(client->kernel));
	client->hello.revision = cb_view_revision(client->view);
	client->attempt_count++;
	client->protocol = 0;
	client->link = cb_link_new(client->clock, connection, &options,
				   &link_handler, client);
	cb_timer_start(client->confirm_timer,
		       MIN(client->silence_ms, CONNECT_TIMEOUT_MS));
}

/*
 * Closes the link to a control instance that did not connect or confirm in
 * time.
 */
static void confirm_timer_fired_(void *user_data)
{
	cb_control_client_t *client = user_data;

	if (client->link)
		cb_link_goodbye(client->link, CB_CLOSE_NOT_CURRENT);
}

static void drain_timer_fired_(void *user_data)
{
	cb_control_client_t *client = user_data;

	cb_kernel_service_drained(client->kernel, &client->service);
}

static gboolean client_start_(cb_service_t *service, GError **error)
{
	cb_control_client_t *client = (cb_control_client_t *)service;

	(void)error;
	cb_timer_start(client->connect_timer, 0);
	return TRUE;
}

static void client_drain_(cb_service_t *service)
{
	cb_control_client_t *client = (cb_control_client_t *)service;

	client->is_draining = TRUE;
	cb_timer_stop(client->connect_timer);
	cb_client_submits_finish(client);
	if (client->link)
		cb_link_goodbye(client->link, CB_CLOSE_STOPPING);
	cb_timer_start(client->drain_timer, DRAIN_FLUSH_MS);
}

static void client_destroy_(cb_service_t *service)
{
	cb_control_client_t *client = (cb_control_client_t *)service;

	cb_link_delete(client->link);
	cb_timer_delete(client->connect_timer);
	cb_timer_delete(client->confirm_timer);
	cb_timer_delete(client->drain_timer);
	g_hash_table_unref(client->submits);
	if (client->owns_network)
		client->network->vtable->destroy(client->network);
	cb_control_addresses_delete(client->addresses);
	g_rand_free(client->random);
	cb_hello_clear(&client->hello);
	g_free(client);
}

static const cb_service_vtable_t client_vtable = {
	.start = client_start_,
	.drain = client_drain_,
	.destroy = client_destroy_,
};

/*
 * Creates the client of the control instances at one or more addresses; the
 * caller registers it with the kernel as "control".  It updates `view`, which
 * must outlive it.
 */
cb_control_client_t *cb_control_client_new(
	cb_kernel_t *kernel, cb_view_t *view,
	const cb_control_client_options_t *options)
{
	cb_control_client_t *client = g_new0(cb_control_client_t, 1);

	client->service.vtable = &client_vtable;
	client->kernel = kernel;
	client->clock = cb_kernel_clock(kernel);
	client->log = cb_kernel_log(kernel);
	client->view = view;
	client->hello.role = CB_ROLE_ENTRY;
	client->hello.name = g_strdup(options->name);
	client->hello.address = g_strdup(options->address);
	client->hello.data_centre = g_strdup(options->data_centre);
	client->hello.incarnation = options->incarnation;
	client->renews_incarnation = options->renews_incarnation;
	client->heartbeat_ms = options->heartbeat_ms;
	client->silence_ms = options->silence_ms;
	client->last_current_ms = -1;
	client->random =
		options->random ? g_rand_copy(options->random) : g_rand_new();
	client->owns_network = !options->network;
	client->network = options->network;
	if (!client->network)
		client->network = cb_tcp_network_new(cb_kernel_context(kernel),
						     LINK_QUEUE_MAX_BYTES);
	client->addresses =
		cb_control_addresses_new(client->clock, client->random,
					 options->control_addresses);
	client->connect_timer =
		cb_timer_new(client->clock, connect_timer_fired_, client);
	client->confirm_timer =
		cb_timer_new(client->clock, confirm_timer_fired_, client);
	client->drain_timer =
		cb_timer_new(client->clock, drain_timer_fired_, client);
	cb_backoff_init(&client->backoff, client->random, RETRY_FIRST_MS,
			RETRY_MAX_MS);
	client->submits = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, cb_client_submit_delete);
	return client;
}

/* Whether a quorum has confirmed the view since this process started. */
gboolean cb_control_client_is_confirmed(const cb_control_client_t *client)
{
	return client->is_confirmed;
}

/* Sets the function to call with each answer to a demand report. */
void cb_control_client_on_grant(cb_control_client_t *client,
				cb_control_grant_fn_t fn, void *user_data)
{
	client->grant_fn = fn;
	client->grant_data = user_data;
}

/* Sets the function to call with records of backend servers from control. */
void cb_control_client_on_fleet(cb_control_client_t *client,
				cb_control_bytes_fn_t fn, void *user_data)
{
	client->fleet_fn = fn;
	client->fleet_data = user_data;
}

/* Sets the function to call with the summed usage of all entry instances. */
void cb_control_client_on_usage(cb_control_client_t *client,
				cb_control_bytes_fn_t fn, void *user_data)
{
	client->usage_fn = fn;
	client->usage_data = user_data;
}

uint64_t cb_control_client_protocol(const cb_control_client_t *client)
{
	return client->link && cb_link_is_ready(client->link) ?
		       cb_link_protocol(client->link) :
		       0;
}

/* Sends this instance's usage if there is a confirmed session. */
void cb_control_client_report_usage(cb_control_client_t *client, GBytes *usage)
{
	cb_link_message_t message = { .kind = CB_LINK_MESSAGE_USAGE,
				      .body = usage };

	if (client->link && client->is_session_confirmed)
		cb_link_send(client->link, &message);
}

/* Sends a demand report if there is a confirmed session. */
void cb_control_client_report_demand(cb_control_client_t *client,
				     GBytes *report)
{
	cb_link_message_t message = {
		.kind = CB_LINK_MESSAGE_DEMAND,
		.number = (uint64_t)cb_clock_now_ms(client->clock),
		.body = report,
	};

	if (client->link && client->is_session_confirmed)
		cb_link_send(client->link, &message);
}

/*
 * Returns the milliseconds since a control instance was last known to be
 * current; -1: none was yet.
 */
int64_t cb_control_client_silence_ms(const cb_control_client_t *client)
{
	int64_t last_current_ms = client->last_current_ms;

	if (client->link && client->is_session_confirmed)
		last_current_ms = cb_link_last_received_ms(client->link);
	if (last_current_ms < 0)
		return -1;
	return cb_clock_now_ms(client->clock) - last_current_ms;
}
