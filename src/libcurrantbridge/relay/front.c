#include "currantbridge/front.h"

#include <string.h>

#include "private/front.h"
#include "private/relay.h"
#include "private/relay_content.h"
#include "private/relay_room.h"

#define DRAIN_CHECK_INTERVAL_MS 50
/*
 * Routes of a new document that are decoded in one turn of the loop, and the
 * interval of these turns: streams under way must not pause meanwhile.
 */
#define DECODE_STEP_ROUTES 16
#define DECODE_INTERVAL_MS 2
/* How often this instance reports its usage to control. */
#define USAGE_REPORT_INTERVAL_MS 200
/* Delay of a report that tells of a server that may be lost. */
#define SUSPICION_REPORT_DELAY_MS 5
/* Shortest interval of such reports. */
#define SUSPICION_REPORT_INTERVAL_MS 50
#define EXHAUSTED_LOG_INTERVAL_MS 1000
/* Bytes that an instance adds to the head of a request that it forwards. */
#define FORWARD_HEADER_MAX_BYTES 1024
/*
 * A caller whose data centre has fewer addresses gets those of all data
 * centres.
 */
#define NEAR_ADDRESSES_MIN 2

/* Puts a decoded document in force. */
static void document_apply_(cb_front_t *front, cb_document_t *document)
{
	const cb_http1_limits_t limits = {
		.max_header_bytes = document->limits.max_header_bytes,
		.max_body_bytes = document->limits.max_body_bytes,
		.header_timeout_ms = document->limits.header_timeout_ms,
		.idle_timeout_ms = document->limits.idle_timeout_ms,
	};

	cb_http1_limits_t peer_limits = limits;

	cb_document_unref(front->document);
	front->document = document;
	cb_fleet_admit_configured(front->fleet);
	front->document_since_ms = cb_clock_now_ms(front->clock);
	cb_route_times_prune(front->route_times, document->routes);
	cb_http1_server_set_limits(front->server, &limits);
	peer_limits.max_header_bytes += FORWARD_HEADER_MAX_BYTES;
	cb_http1_server_set_limits(front->peer_server, &peer_limits);
	cb_log_event(front->log, CB_EVENT_DOCUMENT_IN_FORCE,
		     CB_INT("version", document->version),
		     CB_INT("routes", document->routes->len),
		     CB_INT("decode_ms", cb_clock_now_ms(front->clock) -
						 front->decode_start_ms));
}

/*
 * Returns whether new requests may be handled by the document in force: a quorum has
 * confirmed the view, and no request that this instance forwarded was handled by a
 * newer document.
 */
gboolean cb_front_has_current_document(const cb_front_t *front)
{
	return front->document &&
	       front->document->version >= front->newest_version_seen &&
	       cb_control_client_is_confirmed(front->control);
}

/* Returns how long ago the document in force came, in ms; -1 without one. */
int64_t cb_front_document_age_ms(const cb_front_t *front)
{
	return front->document ? cb_clock_now_ms(front->clock) -
					 front->document_since_ms :
				 -1;
}

static void document_unreadable_log_(cb_front_t *front, const char *reason)
{
	cb_log_event(front->log, CB_EVENT_DOCUMENT_UNREADABLE,
		     CB_INT("version", front->decoded_version),
		     CB_STR("reason", reason));
}

/*
 * Begins to decode the view's document if it has changed.  Returns whether a
 * decoding is in progress.
 */
static gboolean decoding_begin_(cb_front_t *front)
{
	const cb_document_text_t *text = cb_view_document(front->view);
	size_t size;
	char *unpacked;

	if (front->decoding)
		return TRUE;
	if (!text || text->revision == front->document_revision)
		return FALSE;
	front->document_revision = text->revision;
	front->decode_start_ms = cb_clock_now_ms(front->clock);
	front->decoded_version = text->version;
	unpacked = cb_document_unpack(text->packed, &size);
	if (unpacked)
		front->decoding =
			cb_document_decoding_new(front->codec, unpacked, size,
						 front->document);
	else
		document_unreadable_log_(front, "document: is damaged");
	return unpacked != NULL;
}

/*
 * Decodes a part of the view's document, and puts the document in force once it
 * is complete.  A process without one decodes all at once.  While a document is
 * decoded, newer ones wait, and only the newest of them follows.
 */
static void document_update_(void *user_data)
{
	cb_front_t *front = user_data;
	cb_document_t *document;
	GError *error = NULL;

	while (decoding_begin_(front)) {
		if (!cb_document_decoding_step(front->decoding,
					       front->document ?
						       DECODE_STEP_ROUTES :
						       UINT32_MAX,
					       &document, &error)) {
			cb_timer_start(front->decode_timer, DECODE_INTERVAL_MS);
			return;
		}
		g_clear_pointer(&front->decoding, cb_document_decoding_delete);
		if (document)
			document_apply_(front, document);
		else
			document_unreadable_log_(front, error->message);
		g_clear_error(&error);
	}
}

/* Called with a fleet update from control. */
static void fleet_update_receive_(GBytes *bytes, void *user_data)
{
	cb_front_t *front = user_data;

	if (!cb_fleet_merge(front->fleet, bytes, cb_clock_now_ms(front->clock)))
		cb_log_event(front->log, CB_EVENT_FLEET_MALFORMED);
}

static void view_change_handle_(void *user_data)
{
	cb_front_t *front = user_data;

	cb_relay_content_view_changed(front);
	document_update_(front);
	cb_retry_share_set_instances(front->retries,
				     cb_view_instances(front->view)->len);
	cb_rate_limits_set_instances(front->limits,
				     cb_view_instances(front->view));
}

/* Called with the sum of all instances' usage. */
static void usage_sum_receive_(GBytes *bytes, void *user_data)
{
	cb_front_t *front = user_data;
	cb_usage_t *sum = cb_usage_decode(bytes);
	GPtrArray *suspects;
	unsigned int i;

	if (!sum) {
		cb_log_event(front->log, CB_EVENT_FLEET_MALFORMED);
		return;
	}
	suspects = cb_server_book_update_usage(front->book, sum);
	for (i = 0; suspects && i < suspects->len; i++)
		if (cb_relay_uses_engine(front, suspects->pdata[i]))
			cb_relay_check_engine(front, suspects->pdata[i]);
	if (suspects)
		g_ptr_array_unref(suspects);
	cb_retry_share_update(front->retries, sum);
	cb_rate_limits_update(front->limits, sum);
	cb_relay_room_receive(front, sum);
}

/* Reports this instance's usage; of empty reports in a row, only the first. */
static void usage_timer_fired_(void *user_data)
{
	cb_front_t *front = user_data;
	cb_usage_t *usage = cb_server_book_collect_usage(front->book);
	gboolean is_empty;
	GBytes *bytes;

	cb_timer_start(front->usage_timer, USAGE_REPORT_INTERVAL_MS);
	front->usage_reported_ms = cb_clock_now_ms(front->clock);
	cb_retry_share_add_usage(front->retries, usage);
	cb_rate_limits_add_usage(front->limits, usage);
	cb_relay_room_add_usage(front, usage);
	cb_counter_set(cb_counters_gauge(front->counters,
					 "cb_relay_servers_paced", NULL, NULL),
		       cb_server_pace_count(cb_server_book_pace(front->book)));
	is_empty = !g_hash_table_size(usage->by_server) &&
		   !g_hash_table_size(usage->by_service) &&
		   !g_hash_table_size(usage->by_flow);
	if (!is_empty || !front->was_usage_empty) {
		bytes = cb_usage_encode(usage, cb_control_client_protocol(
						       front->control));
		cb_control_client_report_usage(front->control, bytes);
		g_bytes_unref(bytes);
	}
	front->was_usage_empty = is_empty;
	cb_usage_delete(usage);
}

/*
 * Reports the usage soon, since it tells of a server that may be lost or takes
 * fewer requests: the other instances are to know.
 */
void cb_front_report_usage_soon(cb_front_t *front)
{
	int64_t age_ms =
		cb_clock_now_ms(front->clock) - front->usage_reported_ms;

	cb_timer_start_sooner(front->usage_timer,
			      MAX(SUSPICION_REPORT_DELAY_MS,
				  SUSPICION_REPORT_INTERVAL_MS - age_ms));
}

/* Returns whether the document in force can use the server of a report. */
static gboolean server_is_configured_(const cb_fleet_server_t *report,
				      void *user_data)
{
	const cb_front_t *front = user_data;

	return cb_fleet_document_can_use(front->document, report);
}

static void server_change_handle_(const cb_fleet_server_t *server,
				  void *user_data)
{
	cb_front_t *front = user_data;

	cb_fleet_log(front->log, server);
	cb_relay_content_server_changed(front, server);
}

/* Logs and counts a change of a server's pace, with its reason. */
static void pace_change_log_(const cb_pace_change_t *change, void *user_data)
{
	cb_front_t *front = user_data;
	const char *reason = cb_pace_reason_string[change->reason];

	cb_log_event(front->log, CB_EVENT_SERVER_PACE,
		     CB_STR("server", change->id), CB_STR("reason", reason),
		     CB_INT("weight_percent", change->weight_percent),
		     CB_INT("answers", change->answers),
		     CB_INT("failures", change->failures),
		     CB_INT("time_percent", change->time_percent),
		     CB_INT("hold_ms", change->hold_ms),
		     CB_INT("age_ms", change->sum_age_ms));
	cb_relay_count_reason(front, "cb_relay_server_paces_total", reason);
}

/* Refuses a request that this instance takes no more, or not now. */
static void request_refuse_(cb_front_t *front, cb_http1_exchange_t *exchange,
			    const char *reason, const char *retry_after_s)
{
	char *headers = g_strdup_printf("Content-Type: application/json\r\n"
					"Retry-After: %s\r\n",
					retry_after_s);
	char *body = g_strdup_printf(
		"{\"error\":{\"reason\":\"%s\",\"executed\":\"no\"}}", reason);

	cb_relay_count_reason(front, "cb_relay_refused_total", reason);
	cb_http1_exchange_reply(exchange, 503, headers, body, strlen(body));
	g_free(headers);
	g_free(body);
}

/*
 * Starts to relay a request; an instance that is about to end, or that keeps too
 * much for others, refuses it.
 */
static void request_receive_(cb_http1_exchange_t *exchange, void *user_data)
{
	cb_front_t *front = user_data;

	if (front->has_drained) {
		request_refuse_(front, exchange, "stopping", "0.100");
	} else if (cb_memory_bound_is_full(front->memory)) {
		cb_memory_bound_count(front->memory, "request");
		request_refuse_(front, exchange, "memory", "0.500");
	} else {
		cb_relay_start(front, exchange, FALSE);
	}
}

/* Starts to relay a request that another instance has forwarded. */
static void forwarded_receive_(cb_http1_exchange_t *exchange, void *user_data)
{
	cb_front_t *front = user_data;

	if (!front->has_drained && !cb_memory_bound_is_full(front->memory))
		cb_relay_start(front, exchange, TRUE);
	else
		cb_http1_exchange_reply(exchange, 503,
					cb_relay_forward_outcome_line(
						CB_FORWARD_ELSEWHERE),
					NULL, 0);
}

/* Makes room for a connection to a server: callers without a request give way. */
static gboolean idle_callers_evict_(void *user_data)
{
	cb_front_t *front = user_data;

	return cb_http1_server_make_room(front->server);
}

/*
 * Logs that the process had no descriptor for an arriving connection, at most
 * once in EXHAUSTED_LOG_INTERVAL_MS.
 */
static void exhausted_log_(cb_front_t *front, unsigned int evicted)
{
	int64_t now_ms = cb_clock_now_ms(front->clock);

	if (front->exhausted_logged_ms &&
	    now_ms - front->exhausted_logged_ms < EXHAUSTED_LOG_INTERVAL_MS)
		return;
	front->exhausted_logged_ms = now_ms;
	cb_log_event(front->log, CB_EVENT_ENTRY_OUT_OF_DESCRIPTORS,
		     CB_INT("evicted", evicted),
		     CB_INT("callers",
			    cb_http1_server_count_connections(front->server)),
		     CB_INT("requests", g_hash_table_size(front->relays)));
}

/* Makes room for a caller: without an idle one, an idle server connection gives way. */
static gboolean exhausted_handle_(unsigned int evicted, void *user_data)
{
	cb_front_t *front = user_data;

	exhausted_log_(front, evicted);
	return !evicted && cb_http1_client_evict_idle(front->client);
}

static gboolean caller_listener_start_(cb_service_t *service, GError **error)
{
	cb_front_t *front = (cb_front_t *)service;

	cb_timer_start(front->usage_timer, USAGE_REPORT_INTERVAL_MS);
	if (front->listen_peers &&
	    !cb_http1_server_listen(front->peer_server, front->listen_peers,
				    error))
		return FALSE;
	return cb_http1_server_listen(front->server, front->listen, error);
}

/*
 * Ends the requests that are still under way when the time for a drain is over:
 * each caller gets an answer, or its answer is broken off.
 */
static void open_requests_give_up_(cb_front_t *front)
{
	GList *relays = g_hash_table_get_keys(front->relays);
	GList *item;

	for (item = relays; item; item = item->next) {
		cb_relay_t *relay = item->data;

		/* Ending one request may have ended others. */
		if (!g_hash_table_contains(front->relays, relay))
			continue;
		/* The attempt in flight may have run at its server. */
		if (relay->call)
			relay->run_count++;
		cb_relay_break_off(relay, "stopping", CB_RELAY_RETRY_AFTER_MS);
	}
	g_list_free(relays);
}

/* Returns the requests in progress, of callers and of other instances. */
static unsigned int open_requests_count_(const cb_front_t *front)
{
	return cb_http1_server_count_requests(front->server) +
	       cb_http1_server_count_requests(front->peer_server);
}

/*
 * Ends the drain once no request is open and callers have had linger_ms to
 * learn other addresses, after grace_ms at the latest.
 */
static void drain_timer_fired_(void *user_data)
{
	cb_front_t *front = user_data;
	int64_t draining_ms =
		cb_clock_now_ms(front->clock) - front->drain_since_ms;
	gboolean is_idle = !open_requests_count_(front);

	if ((is_idle && draining_ms >= front->linger_ms) ||
	    draining_ms >= front->grace_ms) {
		front->has_drained = TRUE;
		open_requests_give_up_(front);
		cb_log_event(front->log, CB_EVENT_ENTRY_DRAINED);
		cb_kernel_service_drained(front->kernel, &front->service);
		return;
	}
	cb_timer_start(front->drain_timer, DRAIN_CHECK_INTERVAL_MS);
}

static void front_drain_(cb_service_t *service)
{
	cb_front_t *front = (cb_front_t *)service;

	front->drain_since_ms = cb_clock_now_ms(front->clock);
	cb_log_event(front->log, CB_EVENT_ENTRY_DRAINING,
		     CB_INT("open", open_requests_count_(front)));
	cb_control_client_leave(front->control);
	cb_http1_server_drain(front->server);
	cb_http1_server_drain(front->peer_server);
	cb_timer_start(front->drain_timer, DRAIN_CHECK_INTERVAL_MS);
}

static void front_destroy_(cb_service_t *service)
{
	cb_front_t *front = (cb_front_t *)service;

	g_hash_table_unref(front->relays);
	cb_relay_room_clear(front);
	cb_relay_reach_clear(front);
	cb_relay_forward_clear(front);
	cb_server_ends_delete(front->server_ends);
	cb_content_book_delete(front->content_book);
	cb_route_times_delete(front->route_times);
	cb_engine_reports_delete(front->reports);
	g_hash_table_unref(front->engine_checks);
	cb_timer_delete(front->drain_timer);
	cb_timer_delete(front->decode_timer);
	cb_document_decoding_delete(front->decoding);
	cb_timer_delete(front->usage_timer);
	cb_timer_delete(front->wait_timer);
	cb_http1_client_on_exhausted(front->client, NULL, NULL);
	cb_http1_server_delete(front->server);
	cb_http1_server_delete(front->peer_server);
	cb_memory_bound_stop(front->memory);
	cb_server_book_delete(front->book);
	cb_rate_limits_delete(front->limits);
	cb_fleet_delete(front->fleet);
	cb_retry_share_delete(front->retries);
	cb_document_unref(front->document);
	g_rand_free(front->random);
	g_free(front->name);
	g_free(front->listen);
	g_free(front->listen_peers);
	g_free(front->data_centre);
	g_free(front);
}

static void gauge_set_(cb_front_t *front, const char *name, const char *label,
		       const char *value, int64_t amount)
{
	cb_counter_set(cb_counters_gauge(front->counters, name, label, value),
		       amount);
}

/*
 * Sets the gauges of connections and requests before the counters are rendered.
 * A request that is being sent to a server has a connection to it, or waits for
 * one.
 */
static void gauges_update_(void *user_data)
{
	cb_front_t *front = user_data;
	unsigned int in_use = 0;
	unsigned int connecting = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, front->relays);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const cb_relay_t *relay = value;

		if (!relay->call)
			continue;
		if (cb_http1_call_is_sent(relay->call))
			in_use++;
		else
			connecting++;
	}
	gauge_set_(front, "cb_server_connections", "state", "in_use", in_use);
	gauge_set_(front, "cb_server_connections", "state", "connecting",
		   connecting);
	gauge_set_(front, "cb_caller_connections", "from", "callers",
		   cb_http1_server_count_connections(front->server));
	gauge_set_(front, "cb_caller_connections", "from", "instances",
		   cb_http1_server_count_connections(front->peer_server));
	gauge_set_(front, "cb_relay_requests", "state", "waiting",
		   front->waiting.length);
	gauge_set_(front, "cb_relay_requests", "state", "sent",
		   in_use + connecting);
	gauge_set_(front, "cb_document_age_ms", NULL, NULL,
		   cb_front_document_age_ms(front));
}

static const cb_service_vtable_t front_vtable = {
	.start = caller_listener_start_,
	.drain = front_drain_,
	.destroy = front_destroy_,
};

/* Creates the relay, which the caller registers as service "front". */
cb_front_t *cb_front_new(cb_kernel_t *kernel, cb_control_client_t *control,
			 cb_view_t *view, const cb_front_options_t *options)
{
	const cb_retry_share_budget_t budget = { options->retry_ratio,
						 options->retry_extra,
						 options->retry_window_ms };
	cb_front_t *front = g_new0(cb_front_t, 1);

	front->service.vtable = &front_vtable;
	front->kernel = kernel;
	front->clock = cb_kernel_clock(kernel);
	front->log = cb_kernel_log(kernel);
	front->counters = cb_kernel_counters(kernel);
	front->served_ms =
		cb_counters_histogram(front->counters, "cb_relay_elapsed_ms",
				      "outcome", "served");
	front->failed_ms =
		cb_counters_histogram(front->counters, "cb_relay_elapsed_ms",
				      "outcome", "failed");
	front->first_event_ms =
		cb_counters_histogram(front->counters,
				      "cb_relay_first_event_ms", NULL, NULL);
	front->memory = options->memory;
	front->control = control;
	front->view = view;
	front->name = g_strdup(options->name);
	front->listen = g_strdup(options->listen);
	front->listen_peers = g_strdup(options->listen_peers);
	front->peer_port = options->peer_port;
	front->data_centre = g_strdup(options->data_centre);
	front->codec = options->codec;
	front->dialect = options->dialect;
	front->linger_ms = options->linger_ms;
	front->grace_ms = options->grace_ms;
	front->server =
		cb_http1_server_new(cb_kernel_context(kernel), front->clock,
				    front->counters, request_receive_, front);
	front->peer_server =
		cb_http1_server_new(cb_kernel_context(kernel), front->clock,
				    front->counters, forwarded_receive_, front);
	cb_http1_server_refuse_queued(front->server);
	cb_http1_server_on_exhausted(front->server, exhausted_handle_);
	cb_http1_server_on_exhausted(front->peer_server, exhausted_handle_);
	cb_http1_server_set_bound(front->server, front->memory);
	cb_http1_server_set_bound(front->peer_server, front->memory);
	front->client = options->client;
	front->orders = options->orders;
	front->reports = cb_engine_reports_new(front->clock, options->orders);
	front->engine_checks =
		g_hash_table_new_full(g_direct_hash, g_direct_equal,
				      cb_engine_check_delete, NULL);
	front->random = g_rand_new();
	front->fleet = cb_fleet_new();
	cb_fleet_watch(front->fleet, server_change_handle_, front);
	cb_fleet_set_check(front->fleet, server_is_configured_, front);
	front->limits =
		cb_rate_limits_new(front->clock, front->random, options->name,
				   options->retry_window_ms);
	cb_relay_reach_init(front);
	cb_relay_forward_init(front);
	cb_relay_room_init(front);
	front->book = cb_server_book_new(front->clock, front->fleet, view,
					 front->random, front->limits,
					 front->reach, options->data_centre);
	cb_server_pace_watch(cb_server_book_pace(front->book), pace_change_log_,
			     front);
	front->content_book = cb_relay_content_book_new(front);
	front->route_times = cb_route_times_new();
	front->server_ends =
		cb_server_ends_new(cb_kernel_context(kernel), front->clock,
				   cb_relay_content_server_checked, front);
	front->retries =
		cb_retry_share_new(front->clock, front->random, &budget);
	front->relays = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      cb_relay_delete, NULL);
	front->decode_timer =
		cb_timer_new(front->clock, document_update_, front);
	front->drain_timer =
		cb_timer_new(front->clock, drain_timer_fired_, front);
	g_queue_init(&front->waiting);
	front->wait_timer =
		cb_timer_new(front->clock, cb_relay_retry_waiting, front);
	front->usage_timer =
		cb_timer_new(front->clock, usage_timer_fired_, front);
	cb_http1_client_on_exhausted(front->client, idle_callers_evict_, front);
	cb_control_client_on_usage(control, usage_sum_receive_, front);
	cb_view_watch(view, view_change_handle_, front);
	cb_control_client_on_fleet(control, fleet_update_receive_, front);
	cb_counters_on_render(front->counters, gauges_update_, front);
	return front;
}

/*
 * Returns whether a document is in force, a quorum has confirmed the view and
 * no drain has begun.
 */
gboolean cb_front_is_ready(const cb_front_t *front)
{
	return front->document && !front->drain_since_ms &&
	       cb_control_client_is_confirmed(front->control);
}

/*
 * Adds the ready instances' addresses, of one data centre or (NULL) of all.  This
 * instance knows its own state better than the view, which may not have its record
 * yet, or still.
 */
static void addresses_add_(const cb_front_t *front, const char *data_centre,
			   GPtrArray *addresses)
{
	const GPtrArray *instances = cb_view_instances(front->view);
	unsigned int i;

	if (cb_front_is_ready(front) &&
	    (!data_centre || !g_strcmp0(front->data_centre, data_centre)))
		g_ptr_array_add(addresses, g_strdup(front->listen));
	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = instances->pdata[i];

		if (instance->state != CB_INSTANCE_READY ||
		    (data_centre &&
		     strcmp(instance->data_centre, data_centre) != 0) ||
		    !strcmp(instance->address, front->listen))
			continue;
		g_ptr_array_add(addresses, g_strdup(instance->address));
	}
}

/* Returns the addresses that a caller in a data centre should use. */
GPtrArray *cb_front_addresses(const cb_front_t *front, const char *data_centre)
{
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);

	if (data_centre)
		addresses_add_(front, data_centre, addresses);
	if (addresses->len >= NEAR_ADDRESSES_MIN)
		return addresses;
	g_ptr_array_set_size(addresses, 0);
	addresses_add_(front, NULL, addresses);
	return addresses;
}

/* Returns the document in force, or NULL. */
const cb_document_t *cb_front_document(const cb_front_t *front)
{
	return front->document;
}

/* Returns the port that callers connect to, once the relay has started. */
uint16_t cb_front_port(const cb_front_t *front)
{
	return cb_http1_server_port(front->server);
}
