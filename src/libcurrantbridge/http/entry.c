#include "private/entry.h"

#include <string.h>

#include "private/caller.h"
#include "private/free_slots.h"
#include "private/http_clients.h"
#include "private/http_message.h"

/*
 * A graceful stop waits until control has recorded the ends of calls.  Ends
 * that are not recorded by the last check are left with an unknown outcome.
 */
#define RECORD_CHECK_INTERVAL_MS 100
#define MAX_RECORD_CHECKS 350
#define QUARANTINE_CHANGE_TIMEOUT_MS 10000

/* A path served to callers or backend servers. */
typedef struct route {
	const char *path;
	const char *method; /* the only HTTP method served; NULL: any method */
	/* Whether longer paths that begin with this path match as well. */
	gboolean is_prefix;
	cb_entry_handler_t handle;
} route_t;

static const route_t routes[] = {
	{ "/v1/completions", "POST", FALSE, cb_completions_handle },
	{ "/v1/chat/completions", "POST", FALSE, cb_chat_completions_handle },
	{ "/v1/services/", NULL, TRUE, cb_service_calls_handle },
	{ "/v1/addresses", "GET", FALSE, cb_addresses_handle },
	{ "/v1/backend/announce", "POST", FALSE, cb_announce_handle },
};

static const route_t *route_find_(const char *path)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (routes[i].is_prefix ?
			    g_str_has_prefix(path, routes[i].path) :
			    !strcmp(path, routes[i].path))
			return &routes[i];
	}
	return NULL;
}

static void request_handle_(SoupServer *soup, SoupServerMessage *message,
			    const char *path, GHashTable *query,
			    void *user_data)
{
	cb_entry_t *entry = user_data;
	const route_t *route = route_find_(path);
	cb_caller_error_t caller_error = { .refusal = CB_REFUSAL_PATH_UNKNOWN };

	(void)soup;
	cb_counter_add(entry->request_counter, 1);
	if (route &&
	    (!route->method ||
	     !strcmp(route->method, soup_server_message_get_method(message)))) {
		route->handle(entry, message, path + strlen(route->path),
			      query);
		return;
	}
	if (route) {
		caller_error.refusal = CB_REFUSAL_METHOD_NOT_ALLOWED;
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Allow", route->method);
	}
	cb_entry_refuse(entry, message, &caller_error);
}

/* Returns why callers' requests are refused now, or CB_REFUSAL_NONE. */
cb_refusal_t cb_entry_check_ready(const cb_entry_t *entry)
{
	if (entry->is_refusing)
		return CB_REFUSAL_LEAVING;
	if (!cb_control_client_is_confirmed(entry->control))
		return CB_REFUSAL_NOT_READY;
	return CB_REFUSAL_NONE;
}

static void readiness_handle_(SoupServer *soup, SoupServerMessage *message,
			      const char *path, GHashTable *query,
			      void *user_data)
{
	cb_entry_t *entry = user_data;
	cb_refusal_t refusal = cb_entry_check_ready(entry);

	(void)soup;
	(void)path;
	(void)query;
	if (entry->is_draining)
		refusal = CB_REFUSAL_LEAVING;
	if (refusal != CB_REFUSAL_NONE) {
		cb_http_reply_error(message, cb_refusal_status[refusal],
				    cb_refusal_string[refusal],
				    cb_refusal_message[refusal], CB_EXECUTED_NO,
				    0);
		return;
	}
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_STATIC, "ready\n", 6);
}

/* Reports to the kernel that the drain is complete, if nothing is pending. */
static void drain_finish_if_idle_(cb_entry_t *entry)
{
	if (!entry->is_refusing || entry->open_requests > 0)
		return;
	if (cb_call_env_pending(entry->call_env) > 0 &&
	    entry->record_checks++ < MAX_RECORD_CHECKS) {
		cb_timer_start(entry->drain_timer, RECORD_CHECK_INTERVAL_MS);
		return;
	}
	cb_timer_stop(entry->drain_timer);
	cb_log_event(cb_kernel_log(entry->kernel), CB_EVENT_ENTRY_DRAINED);
	cb_kernel_service_drained(entry->kernel, &entry->service);
}

/* Counts the start of a caller's request. */
void cb_entry_request_begin(cb_entry_t *entry)
{
	entry->open_requests++;
	cb_counter_set(entry->open_requests_gauge, entry->open_requests);
}

/* Counts the end of a caller's request. */
void cb_entry_request_end(cb_entry_t *entry)
{
	entry->open_requests--;
	cb_counter_set(entry->open_requests_gauge, entry->open_requests);
	drain_finish_if_idle_(entry);
}

/*
 * Called when the address TTL has expired, so that no caller has this
 * instance's address cached any longer, and for each record check after.
 */
static void drain_timer_fired_(void *user_data)
{
	cb_entry_t *entry = user_data;

	entry->is_refusing = TRUE;
	drain_finish_if_idle_(entry);
}

static void entry_drain_(cb_service_t *service)
{
	cb_entry_t *entry = (cb_entry_t *)service;

	entry->is_draining = TRUE;
	cb_log_event(cb_kernel_log(entry->kernel), CB_EVENT_ENTRY_DRAINING,
		     CB_INT("open", entry->open_requests),
		     CB_INT("ttl_ms", entry->options.address_ttl_ms));
	cb_share_keeper_set_leaving(entry->share_keeper);
	cb_control_client_leave(entry->control);
	cb_timer_start(entry->drain_timer, entry->options.address_ttl_ms);
}

/* Starts to drain when a planned stop of this instance is announced. */
static void view_changed_(void *user_data)
{
	cb_entry_t *entry = user_data;

	if (entry->is_draining ||
	    !cb_view_is_stopped(entry->view, CB_STOP_INSTANCE, entry->name))
		return;
	cb_log_event(cb_kernel_log(entry->kernel), CB_EVENT_STOP_ANNOUNCED,
		     CB_STR("instance", entry->name));
	cb_kernel_drain(entry->kernel);
}

static void quarantine_change_ended_(cb_control_outcome_t outcome,
				     const cb_answer_t *answer, void *user_data)
{
	cb_entry_t *entry = user_data;

	(void)answer;
	if (outcome != CB_CONTROL_ANSWERED)
		cb_log_event(cb_kernel_log(entry->kernel),
			     CB_EVENT_QUARANTINE_NOT_SHARED);
}

/*
 * Reports to all entry instances that a server died while running a request
 * with this digest.
 */
static void suspect_report_(void *user_data, const char *digest,
			    const char *server)
{
	cb_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_SUSPECT_ADD);

	command->change_id = g_strdup_printf("%s-%08x%08x", entry->owner,
					     g_rand_int(entry->random),
					     g_rand_int(entry->random));
	command->name = g_strdup(digest);
	command->server = g_strdup(server);
	command->owner = g_strdup(entry->owner);
	cb_control_client_submit(entry->control, command,
				 QUARANTINE_CHANGE_TIMEOUT_MS,
				 quarantine_change_ended_, entry);
}

/*
 * Withdraws all reports of a digest after a request with it finished normally.
 */
static void suspect_reports_withdraw_(void *user_data, const char *digest)
{
	cb_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_REMOVE);

	command->change_id = g_strdup_printf("%s-%08x%08x", entry->owner,
					     g_rand_int(entry->random),
					     g_rand_int(entry->random));
	command->name = g_strdup(digest);
	cb_control_client_submit(entry->control, command,
				 QUARANTINE_CHANGE_TIMEOUT_MS,
				 quarantine_change_ended_, entry);
}

/*
 * Quarantines requests with this digest on all entry instances until
 * `until_wall_ms`.
 */
static void digest_quarantine_(void *user_data, const char *digest,
			       int64_t until_wall_ms)
{
	cb_entry_t *entry = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_ADD);

	command->change_id = g_strdup_printf("%s-%08x%08x", entry->owner,
					     g_rand_int(entry->random),
					     g_rand_int(entry->random));
	command->name = g_strdup(digest);
	command->until_wall_ms = until_wall_ms;
	cb_control_client_submit(entry->control, command,
				 QUARANTINE_CHANGE_TIMEOUT_MS,
				 quarantine_change_ended_, entry);
}

static void entry_destroy_(cb_service_t *service)
{
	cb_entry_t *entry = (cb_entry_t *)service;

	cb_timer_delete(entry->drain_timer);
	cb_generation_env_delete(entry->generation_env);
	cb_call_env_delete(entry->call_env);
	cb_http_engine_client_delete(entry->engine_client);
	cb_http_service_client_delete(entry->service_client);
	cb_control_ledger_delete(entry->ledger);
	cb_server_registry_delete(entry->registry);
	cb_share_keeper_delete(entry->share_keeper);
	cb_admission_delete(entry->admission);
	g_rand_free(entry->random);
	g_string_free(entry->event_buffer, TRUE);
	g_free(entry->name);
	g_free(entry->address);
	g_free(entry->data_centre);
	g_free(entry->owner);
	g_free(entry);
}

static const cb_service_vtable_t entry_vtable = {
	.drain = entry_drain_,
	.destroy = entry_destroy_,
};

/* Creates all counters at the start, so that each is exported from then on. */
static void counters_create_(cb_entry_t *entry)
{
	cb_counters_t *counters = cb_kernel_counters(entry->kernel);
	int i;

	for (i = CB_REFUSAL_NONE + 1; i < CB_REFUSAL_COUNT; i++)
		entry->refusal_counters[i] =
			cb_counters_counter(counters, "cb_refusals_total",
					    "reason", cb_refusal_string[i]);
	entry->request_counter =
		cb_counters_counter(counters, "cb_requests_total", NULL, NULL);
	entry->token_counter =
		cb_counters_counter(counters, "cb_tokens_total", NULL, NULL);
	entry->abandoned_counter =
		cb_counters_counter(counters, "cb_requests_abandoned_total",
				    NULL, NULL);
	entry->open_requests_gauge =
		cb_counters_gauge(counters, "cb_requests_open", NULL, NULL);
}

/*
 * Returns how many more requests a model or service can run.  Without a known
 * server it returns a large number: the request begins and is then refused
 * with CB_REFUSAL_NO_SERVER.
 */
static int64_t free_slots_count_(const char *target, void *user_data)
{
	cb_entry_t *entry = user_data;
	int64_t slots = cb_free_slots_model(entry->registry, target);

	if (slots < 0)
		slots = cb_free_slots_service(entry->registry, target);
	return slots < 0 ? G_MAXINT32 : slots;
}

static void demand_increased_(void *user_data)
{
	cb_entry_t *entry = user_data;

	cb_share_keeper_report_soon(entry->share_keeper);
}

static void batch_begin_(void *user_data)
{
	cb_connection_pool_batch_begin(user_data);
}

/* Sends to callers what one read from the engines has produced for them. */
static void batch_end_(void *user_data)
{
	cb_connection_pool_batch_end(user_data);
}

/* Creates the modules that route and admit requests, and connects them. */
static void modules_create_(cb_entry_t *entry)
{
	cb_clock_t *clock = cb_kernel_clock(entry->kernel);
	cb_log_t *log = cb_kernel_log(entry->kernel);
	cb_counters_t *counters = cb_kernel_counters(entry->kernel);
	cb_http_read_hooks_t read_hooks = {
		.begin = batch_begin_,
		.end = batch_end_,
		.user_data = cb_http_server_pool(entry->http),
	};
	cb_generation_parts_t generation_parts = {
		.clock = clock,
		.random = entry->random,
		.log = log,
		.counters = counters,
		.view = entry->view,
		.data_centre = entry->data_centre,
		.instance = entry->owner,
		.report_suspect = suspect_report_,
		.clear_suspect = suspect_reports_withdraw_,
		.quarantine = digest_quarantine_,
		.user_data = entry,
	};
	cb_call_parts_t call_parts = {
		.clock = clock,
		.random = entry->random,
		.log = log,
		.counters = counters,
		.data_centre = entry->data_centre,
		.owner = entry->owner,
	};
	cb_admission_parts_t admission_parts = {
		.clock = clock,
		.counters = counters,
		.free_slots = free_slots_count_,
		.demand_increased = demand_increased_,
		.user_data = entry,
	};

	entry->registry =
		cb_server_registry_new(clock, log, counters, entry->view,
				       entry->options.server_silence_ms);
	entry->share_keeper =
		cb_share_keeper_new(entry->kernel, entry->control, entry->view,
				    entry->name,
				    (uint32_t)entry->options.address_count);
	admission_parts.shares = cb_share_keeper_table(entry->share_keeper);
	entry->admission = cb_admission_new(&admission_parts);
	cb_share_keeper_set_admission(entry->share_keeper, entry->admission);
	entry->engine_client =
		cb_http_engine_client_new(cb_kernel_context(entry->kernel),
					  clock, &read_hooks);
	entry->service_client =
		cb_http_service_client_new(cb_kernel_context(entry->kernel),
					   clock);
	entry->ledger = cb_control_ledger_new(entry->control);
	generation_parts.registry = entry->registry;
	generation_parts.engines = entry->engine_client;
	entry->generation_env = cb_generation_env_new(&generation_parts);
	call_parts.registry = entry->registry;
	call_parts.services = entry->service_client;
	call_parts.ledger = entry->ledger;
	entry->call_env = cb_call_env_new(&call_parts);
}

/*
 * Creates the entry instance's service and adds its paths to `http`.  The view
 * must outlive the service and must not be updated after its deletion.
 */
cb_entry_t *cb_entry_new(cb_kernel_t *kernel, cb_http_server_t *http,
			 cb_control_client_t *control, cb_view_t *view,
			 const cb_entry_options_t *options)
{
	cb_entry_t *entry = g_new0(cb_entry_t, 1);
	SoupServer *soup = cb_http_server_soup(http);

	entry->service.vtable = &entry_vtable;
	entry->kernel = kernel;
	entry->http = http;
	entry->control = control;
	entry->view = view;
	entry->options = *options;
	entry->name = g_strdup(options->name);
	entry->address = g_strdup(options->address);
	entry->data_centre = g_strdup(options->data_centre);
	entry->owner = g_strdup_printf("%s/%" G_GUINT64_FORMAT, options->name,
				       options->incarnation);
	entry->random = g_rand_new();
	entry->event_buffer = g_string_new(NULL);
	entry->drain_timer = cb_timer_new(cb_kernel_clock(kernel),
					  drain_timer_fired_, entry);
	counters_create_(entry);
	modules_create_(entry);
	cb_http_server_limit_body(http, options->max_body_bytes);
	soup_server_remove_handler(soup, "/");
	soup_server_add_handler(soup, NULL, request_handle_, entry, NULL);
	soup_server_add_handler(soup, "/readyz", readiness_handle_, entry,
				NULL);
	cb_view_watch(view, view_changed_, entry);
	return entry;
}
