#include "currantbridge/server.h"

#include <string.h>

#include "private/announcement.h"

/* Checks for silent servers within one silence timeout. */
#define SWEEPS_PER_SILENCE 4
/* A silent server without attempts in flight is removed after this time. */
#define REMOVE_AFTER_MS 600000
/* Consecutive failures after which a server is suspect. */
#define SUSPECT_FAILURES 2
/* Time from the last failure of a suspect server to its next trial request. */
#define TRIAL_DELAY_MS 1000
/* A new step time changes the smoothed one by this part of the difference. */
#define STEP_SMOOTHING_DIVISOR 8

const char *const cb_server_kind_string[CB_SERVER_KIND_COUNT] = {
	[CB_SERVER_ENGINE] = "engine",
	[CB_SERVER_SERVICE] = "service",
};

const char *const cb_server_state_string[CB_SERVER_STATE_COUNT] = {
	[CB_SERVER_READY] = "ready",
	[CB_SERVER_LEAVING] = "leaving",
	[CB_SERVER_SILENT] = "silent",
	[CB_SERVER_SUSPECT] = "suspect",
};

/* A server with the registry's internal state; must begin with the server. */
typedef struct record {
	cb_server_t server;
	gboolean announced_leaving;
	int64_t consecutive_failures;
	int64_t next_trial_ms; /* earliest time of the next trial request */
} record_t;

typedef struct watcher {
	cb_server_changed_fn_t fn;
	void *user_data;
} watcher_t;

struct cb_server_registry {
	cb_clock_t *clock;
	cb_log_t *log;
	const cb_view_t *view;
	int64_t silence_ms;
	cb_timer_t *sweep_timer;
	GHashTable *by_name;	/* server name to record_t */
	GHashTable *by_model;	/* model name to GPtrArray of cb_server_t */
	GHashTable *by_service; /* service name to GPtrArray of cb_server_t */
	GPtrArray *empty_list;	/* returned if there is no server */
	GArray *watchers;
	cb_counter_t *accepted_counter;
	cb_counter_t *rejected_counter;
	cb_counter_t *state_gauges[CB_SERVER_STATE_COUNT];
};

static void record_delete_(void *data)
{
	record_t *record = data;

	g_free(record->server.name);
	g_free(record->server.address);
	g_free(record->server.data_centre);
	g_ptr_array_unref(record->server.ranges);
	g_strfreev(record->server.services);
	g_free(record);
}

static void change_notify_(cb_server_registry_t *registry,
			   const cb_server_t *server)
{
	unsigned int i;

	for (i = 0; i < registry->watchers->len; i++) {
		watcher_t *watcher =
			&g_array_index(registry->watchers, watcher_t, i);

		watcher->fn(server, watcher->user_data);
	}
}

static void state_set_(cb_server_registry_t *registry, record_t *record,
		       cb_server_state_t state)
{
	cb_server_t *server = &record->server;

	if (server->state == state)
		return;
	cb_counter_add(registry->state_gauges[server->state], -1);
	cb_counter_add(registry->state_gauges[state], 1);
	server->state = state;
	cb_log_event(registry->log, CB_EVENT_SERVER_STATE,
		     CB_STR("server", server->name),
		     CB_STR("state", cb_server_state_string[state]));
	change_notify_(registry, server);
}

/* Derives a server's state from announcements, planned stops and failures. */
static void state_update_(cb_server_registry_t *registry, record_t *record)
{
	gboolean is_stopped = cb_view_is_stopped(registry->view, CB_STOP_SERVER,
						 record->server.name);
	int64_t age_ms = cb_clock_now_ms(registry->clock) -
			 record->server.reported_at_ms;

	if (age_ms > registry->silence_ms)
		state_set_(registry, record, CB_SERVER_SILENT);
	else if (record->announced_leaving || is_stopped)
		state_set_(registry, record, CB_SERVER_LEAVING);
	else if (record->consecutive_failures >= SUSPECT_FAILURES)
		state_set_(registry, record, CB_SERVER_SUSPECT);
	else
		state_set_(registry, record, CB_SERVER_READY);
}

static void index_remove_(GHashTable *index, cb_server_t *server)
{
	GHashTableIter iter;
	void *list;

	g_hash_table_iter_init(&iter, index);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_remove(list, server);
}

static void index_add_(GHashTable *index, const char *key, cb_server_t *server)
{
	GPtrArray *list = g_hash_table_lookup(index, key);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(index, g_strdup(key), list);
	}
	if (!g_ptr_array_find(list, server, NULL))
		g_ptr_array_add(list, server);
}

static void record_remove_(cb_server_registry_t *registry, record_t *record)
{
	index_remove_(registry->by_model, &record->server);
	index_remove_(registry->by_service, &record->server);
	cb_counter_add(registry->state_gauges[record->server.state], -1);
	cb_log_event(registry->log, CB_EVENT_SERVER_FORGOTTEN,
		     CB_STR("server", record->server.name));
	record_delete_(record);
}

static void servers_sweep_(void *user_data)
{
	cb_server_registry_t *registry = user_data;
	int64_t now_ms = cb_clock_now_ms(registry->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, registry->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		state_update_(registry, record);
		if (record->server.in_flight == 0 &&
		    now_ms - record->server.reported_at_ms > REMOVE_AFTER_MS) {
			g_hash_table_iter_remove(&iter);
			record_remove_(registry, record);
		}
	}
	cb_timer_start(registry->sweep_timer,
		       registry->silence_ms / SWEEPS_PER_SILENCE);
}

static void view_change_apply_(void *user_data)
{
	cb_server_registry_t *registry = user_data;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, registry->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		state_update_(registry, value);
}

/*
 * Creates an empty registry.  A server without an announcement for `silence_ms`
 * gets no new requests.  The view must outlive the registry, and must not
 * change after the registry is deleted, since its watch is not removed.
 */
cb_server_registry_t *cb_server_registry_new(cb_clock_t *clock, cb_log_t *log,
					     cb_counters_t *counters,
					     const cb_view_t *view,
					     int64_t silence_ms)
{
	cb_server_registry_t *registry = g_new0(cb_server_registry_t, 1);
	int i;

	registry->clock = clock;
	registry->log = log;
	registry->view = view;
	registry->silence_ms = silence_ms;
	registry->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	registry->by_model =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	registry->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	registry->empty_list = g_ptr_array_new();
	registry->watchers = g_array_new(FALSE, FALSE, sizeof(watcher_t));
	registry->accepted_counter =
		cb_counters_counter(counters, "cb_announcements_total",
				    "outcome", "accepted");
	registry->rejected_counter =
		cb_counters_counter(counters, "cb_announcements_total",
				    "outcome", "refused");
	for (i = 0; i < CB_SERVER_STATE_COUNT; i++)
		registry->state_gauges[i] =
			cb_counters_gauge(counters, "cb_backend_servers",
					  "state", cb_server_state_string[i]);
	registry->sweep_timer = cb_timer_new(clock, servers_sweep_, registry);
	cb_timer_start(registry->sweep_timer, silence_ms / SWEEPS_PER_SILENCE);
	cb_view_watch((cb_view_t *)view, view_change_apply_, registry);
	return registry;
}

/* Deletes the registry and its servers; NULL is allowed. */
void cb_server_registry_delete(cb_server_registry_t *registry)
{
	GHashTableIter iter;
	void *value;

	if (!registry)
		return;
	cb_timer_delete(registry->sweep_timer);
	g_hash_table_iter_init(&iter, registry->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		record_delete_(value);
	g_hash_table_unref(registry->by_name);
	g_hash_table_unref(registry->by_model);
	g_hash_table_unref(registry->by_service);
	g_ptr_array_unref(registry->empty_list);
	g_array_unref(registry->watchers);
	g_free(registry);
}

static record_t *record_add_(cb_server_registry_t *registry, const char *name)
{
	record_t *record = g_new0(record_t, 1);

	record->server.name = g_strdup(name);
	record->server.ranges = g_ptr_array_new();
	record->server.state = CB_SERVER_READY;
	cb_counter_add(registry->state_gauges[CB_SERVER_READY], 1);
	g_hash_table_insert(registry->by_name, record->server.name, record);
	return record;
}

/* Replaces the server's models and services, also in the indexes. */
static void server_holdings_replace_(cb_server_registry_t *registry,
				     cb_server_t *server,
				     cb_announcement_t *announcement)
{
	unsigned int i;

	index_remove_(registry->by_model, server);
	index_remove_(registry->by_service, server);
	g_ptr_array_unref(server->ranges);
	server->ranges = g_ptr_array_ref(announcement->ranges);
	g_strfreev(server->services);
	server->services = g_new0(char *, announcement->services->len + 1);
	for (i = 0; i < announcement->services->len; i++) {
		const char *name = g_ptr_array_index(announcement->services, i);

		server->services[i] = g_strdup(name);
		index_add_(registry->by_service, name, server);
	}
	for (i = 0; i < server->ranges->len; i++) {
		cb_layer_range_t *range = g_ptr_array_index(server->ranges, i);

		index_add_(registry->by_model, range->model, server);
	}
}

static gboolean range_equal_(const void *left, const void *right)
{
	const cb_layer_range_t *a = left;
	const cb_layer_range_t *b = right;

	return !strcmp(a->model, b->model) &&
	       a->first_layer == b->first_layer &&
	       a->last_layer == b->last_layer &&
	       a->layer_count == b->layer_count;
}

/* Returns whether the announcement has the recorded models and services. */
static gboolean server_holdings_equal_(const cb_server_t *server,
				       const cb_announcement_t *announcement)
{
	unsigned int i;

	if (!server->services ||
	    server->ranges->len != announcement->ranges->len ||
	    g_strv_length(server->services) != announcement->services->len)
		return FALSE;
	for (i = 0; i < server->ranges->len; i++) {
		if (!range_equal_(g_ptr_array_index(server->ranges, i),
				  g_ptr_array_index(announcement->ranges, i)))
			return FALSE;
	}
	for (i = 0; i < announcement->services->len; i++) {
		if (strcmp(server->services[i],
			   g_ptr_array_index(announcement->services, i)))
			return FALSE;
	}
	return TRUE;
}

static void string_replace_(char **target, const char *text)
{
	if (!g_strcmp0(*target, text))
		return;
	g_free(*target);
	*target = g_strdup(text);
}

/* Applies an accepted announcement to the server's record. */
static void record_update_(cb_server_registry_t *registry, record_t *record,
			   cb_announcement_t *announcement)
{
	cb_server_t *server = &record->server;
	gboolean is_new_process =
		server->address &&
		server->incarnation != announcement->incarnation;

	string_replace_(&server->address, announcement->address);
	string_replace_(&server->data_centre, announcement->data_centre);
	server->kind = announcement->kind;
	server->incarnation = announcement->incarnation;
	server->checks_fencing = announcement->checks_fencing;
	server->capacity = announcement->capacity;
	server->reported_running = announcement->running;
	server->reported_queued = announcement->queued;
	server->reported_at_ms = cb_clock_now_ms(registry->clock);
	server->in_flight_at_report = server->in_flight;
	record->announced_leaving = announcement->is_leaving;
	if (!server_holdings_equal_(server, announcement))
		server_holdings_replace_(registry, server, announcement);
	if (is_new_process) {
		record->consecutive_failures = 0;
		server->step_us = 0;
		cb_log_event(registry->log, CB_EVENT_SERVER_RESTARTED,
			     CB_STR("server", server->name),
			     CB_INT("incarnation", server->incarnation));
		change_notify_(registry, server);
	}
	state_update_(registry, record);
}

/*
 * Applies an announcement's JSON text and returns the server.  If it is not
 * accepted, returns NULL and sets the error to `FIELD: REASON`.  `outcome` may
 * be NULL.
 */
cb_server_t *cb_server_register(cb_server_registry_t *registry,
				const char *text,
				cb_announce_outcome_t *outcome, GError **error)
{
	cb_announcement_t *announcement = cb_announcement_parse(text, error);
	cb_announce_outcome_t ignored;
	record_t *record = NULL;

	outcome = outcome ? outcome : &ignored;
	if (!announcement) {
		cb_counter_add(registry->rejected_counter, 1);
		*outcome = CB_ANNOUNCE_MALFORMED;
		return NULL;
	}
	*outcome = CB_ANNOUNCE_ACCEPTED;
	record = g_hash_table_lookup(registry->by_name, announcement->name);
	if (record && announcement->incarnation < record->server.incarnation) {
		cb_counter_add(registry->rejected_counter, 1);
		g_set_error(error, g_quark_from_static_string("cb-announce"), 0,
			    "incarnation: a newer process has announced itself "
			    "under this name");
		*outcome = CB_ANNOUNCE_OLD_INCARNATION;
		record = NULL;
		goto out;
	}
	if (!record) {
		record = record_add_(registry, announcement->name);
		cb_log_event(registry->log, CB_EVENT_SERVER_ANNOUNCED,
			     CB_STR("server", announcement->name),
			     CB_STR("address", announcement->address));
	}
	cb_counter_add(registry->accepted_counter, 1);
	record_update_(registry, record, announcement);
out:
	cb_announcement_delete(announcement);
	return record ? &record->server : NULL;
}

/* Like cb_server_register(), but returns only the outcome. */
cb_announce_outcome_t cb_server_announce(cb_server_registry_t *registry,
					 const char *text, GError **error)
{
	cb_announce_outcome_t outcome;

	cb_server_register(registry, text, &outcome, error);
	return outcome;
}

/* Returns the server called `name`, or NULL if there is none. */
cb_server_t *cb_server_find(const cb_server_registry_t *registry,
			    const char *name)
{
	record_t *record = g_hash_table_lookup(registry->by_name, name);

	return record ? &record->server : NULL;
}

/* Returns the engines that hold layers of `model`, whatever their state. */
const GPtrArray *cb_server_engines(const cb_server_registry_t *registry,
				   const char *model)
{
	const GPtrArray *list = g_hash_table_lookup(registry->by_model, model);

	return list ? list : registry->empty_list;
}

/* Returns the servers of a plain service, whatever their state. */
const GPtrArray *cb_server_services(const cb_server_registry_t *registry,
				    const char *service)
{
	const GPtrArray *list =
		g_hash_table_lookup(registry->by_service, service);

	return list ? list : registry->empty_list;
}

/*
 * Returns whether new requests may be sent to the server.  A suspect server
 * gets one request at a time, and none within TRIAL_DELAY_MS of its last
 * failure.
 */
gboolean cb_server_accepts(const cb_server_registry_t *registry,
			   const cb_server_t *server)
{
	const record_t *record = (const record_t *)server;

	if (cb_view_is_stopped(registry->view, CB_STOP_SERVER, server->name))
		return FALSE;
	if (server->state == CB_SERVER_READY)
		return TRUE;
	return server->state == CB_SERVER_SUSPECT && server->in_flight == 0 &&
	       cb_clock_now_ms(registry->clock) >= record->next_trial_ms;
}

/* Calls `fn` whenever a server's state or incarnation has changed. */
void cb_server_watch(cb_server_registry_t *registry, cb_server_changed_fn_t fn,
		     void *user_data)
{
	watcher_t watcher = { fn, user_data };

	g_array_append_val(registry->watchers, watcher);
}

/* Counts the start of an attempt at the server. */
void cb_server_begin_attempt(cb_server_t *server)
{
	server->in_flight++;
}

/* Counts the end of an attempt that cb_server_begin_attempt() counted. */
void cb_server_end_attempt(cb_server_t *server)
{
	g_assert(server->in_flight > 0);
	server->in_flight--;
}

/* Returns the estimated number of requests at the server, 0 or more. */
int64_t cb_server_load(const cb_server_t *server)
{
	int64_t load = server->reported_running + server->reported_queued +
		       server->in_flight - server->in_flight_at_report;

	return MAX(load, server->in_flight);
}

/*
 * Counts the server as full until it reports or an attempt of this instance
 * ends.
 */
void cb_server_mark_full(cb_server_t *server)
{
	/* The rejected attempt is still counted, but is about to end. */
	int64_t net_sent_since_report =
		server->in_flight - server->in_flight_at_report - 1;

	server->reported_running =
		MAX(server->reported_running,
		    server->capacity - net_sent_since_report);
}

/* Records a success; `step_us` above 0 is the time of one step or token. */
void cb_server_record_success(cb_server_registry_t *registry,
			      cb_server_t *server, int64_t step_us)
{
	record_t *record = (record_t *)server;

	if (step_us > 0 && server->step_us > 0)
		server->step_us +=
			(step_us - server->step_us) / STEP_SMOOTHING_DIVISOR;
	else if (step_us > 0)
		server->step_us = step_us;
	if (record->consecutive_failures == 0)
		return;
	record->consecutive_failures = 0;
	state_update_(registry, record);
}

/* Records a failure; SUSPECT_FAILURES in a row make the server suspect. */
void cb_server_record_failure(cb_server_registry_t *registry,
			      cb_server_t *server)
{
	record_t *record = (record_t *)server;

	record->consecutive_failures++;
	record->next_trial_ms =
		cb_clock_now_ms(registry->clock) + TRIAL_DELAY_MS;
	state_update_(registry, record);
}
