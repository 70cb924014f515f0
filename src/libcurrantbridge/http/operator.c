#include "private/operator.h"

#include <string.h>

/*
 * Longer than the node's own timeout of a change, so this one rarely expires.
 */
#define TASK_TIMEOUT_MS 10000
/*
 * Timeout of the status, shorter because it is also answered without a quorum.
 */
#define UNCONFIRMED_TIMEOUT_MS 1500
#define MAX_BODY_BYTES CB_CONTRACT_MAX_TEXT_BYTES

/* Counts and logs a refusal and answers with its JSON error. */
void cb_operator_refuse(cb_operator_t *api, SoupServerMessage *message,
			unsigned int status, const char *reason,
			const char *text, cb_executed_t executed)
{
	cb_counters_t *counters = cb_kernel_counters(api->kernel);
	gboolean is_temporary = status == SOUP_STATUS_SERVICE_UNAVAILABLE;

	cb_counter_add(cb_counters_counter(counters, "cb_refusals_total",
					   "reason", reason),
		       1);
	cb_log_event(cb_kernel_log(api->kernel), CB_EVENT_OPERATOR_REFUSED,
		     CB_STR("reason", reason), CB_STR("message", text));
	cb_http_reply_error(message, status, reason, text, executed,
			    is_temporary ? 1 : 0);
}

static void task_free_(void *data)
{
	cb_operator_task_t *task = data;

	cb_timer_delete(task->timer);
	g_object_unref(task->message);
	g_free(task->name);
	g_free(task->address);
	g_free(task->change_id);
	g_free(task);
}

/* Reports once to the kernel that the service has drained. */
static void drained_report_(cb_operator_t *api)
{
	if (!api->is_draining || api->is_drained ||
	    g_hash_table_size(api->tasks))
		return;
	api->is_drained = TRUE;
	cb_kernel_service_drained(api->kernel, &api->service);
}

/* Deletes a task that the node will not call back again. */
void cb_operator_task_delete(cb_operator_task_t *task)
{
	cb_operator_t *api = task->api;

	g_hash_table_remove(api->tasks, task);
	drained_report_(api);
}

/* Sends the answer that has been set on the task's message. */
void cb_operator_task_send_reply(cb_operator_task_t *task)
{
	task->is_answered = TRUE;
	cb_timer_stop(task->timer);
	soup_server_message_unpause(task->message);
}

static void task_timeout_handle_(void *user_data)
{
	cb_operator_task_t *task = user_data;

	if (task->may_be_unconfirmed) {
		task->reply(task);
		cb_operator_task_send_reply(task);
		return;
	}
	cb_operator_refuse(task->api, task->message,
			   SOUP_STATUS_SERVICE_UNAVAILABLE, "timeout",
			   "no answer from the control quorum yet; resend "
			   "under the same change ID",
			   task->is_change ? CB_EXECUTED_UNKNOWN :
					     CB_EXECUTED_NO);
	cb_operator_task_send_reply(task);
}

/* Creates a task, which delays the answer to `message`. */
cb_operator_task_t *cb_operator_task_new(cb_operator_t *api,
					 SoupServerMessage *message)
{
	cb_operator_task_t *task = g_new0(cb_operator_task_t, 1);

	task->api = api;
	task->message = g_object_ref(message);
	task->timer = cb_timer_new(cb_kernel_clock(api->kernel),
				   task_timeout_handle_, task);
	cb_timer_start(task->timer, TASK_TIMEOUT_MS);
	g_hash_table_add(api->tasks, task);
	soup_server_message_pause(message);
	return task;
}

/* Sets the answer of a task to the JSON of `body`; takes ownership of it. */
void cb_operator_reply_json(cb_operator_task_t *task, unsigned int status,
			    JsonBuilder *body)
{
	JsonNode *node = json_builder_get_root(body);

	cb_http_reply_json(task->message, status, node);
	json_node_unref(node);
	g_object_unref(body);
}

static void sessions_handle_(cb_submit_outcome_t outcome,
			     const GPtrArray *sessions, void *user_data)
{
	cb_operator_task_t *task = user_data;

	if (!task->is_answered) {
		task->sessions =
			outcome == CB_SUBMIT_ANSWERED ? sessions : NULL;
		task->reply(task);
		cb_operator_task_send_reply(task);
	}
	cb_operator_task_delete(task);
}

/* Fetches the leader's sessions, answers with `reply`, deletes the task. */
void cb_operator_fetch_sessions_and_reply(cb_operator_task_t *task)
{
	cb_node_fetch_sessions(task->api->node, sessions_handle_, task);
}

static void confirmation_handle_(cb_submit_outcome_t outcome, uint64_t index,
				 void *user_data)
{
	cb_operator_task_t *task = user_data;

	(void)index;
	task->is_confirmed = outcome == CB_SUBMIT_ANSWERED;
	if (task->is_answered) {
		cb_operator_task_delete(task);
		return;
	}
	if (task->needs_sessions &&
	    (task->is_confirmed || task->may_be_unconfirmed)) {
		cb_operator_fetch_sessions_and_reply(task);
		return;
	}
	if (task->is_confirmed)
		task->reply(task);
	else
		cb_operator_refuse(task->api, task->message,
				   SOUP_STATUS_SERVICE_UNAVAILABLE,
				   "not_current",
				   "this control instance cannot confirm its "
				   "state with a majority",
				   CB_EXECUTED_NO);
	cb_operator_task_send_reply(task);
	cb_operator_task_delete(task);
}

/* Answers with `reply` once a majority confirms that the state is current. */
void cb_operator_confirm_and_reply(cb_operator_task_t *task,
				   cb_operator_reply_fn_t reply)
{
	task->reply = reply;
	if (task->may_be_unconfirmed)
		cb_timer_start(task->timer, UNCONFIRMED_TIMEOUT_MS);
	cb_node_confirm(task->api->node, confirmation_handle_, task);
}

/*
 * Refuses any request while this instance is leaving.  Returns whether it has
 * refused this one.
 */
static gboolean request_refuse_if_leaving_(cb_operator_t *api,
					   SoupServerMessage *message)
{
	if (!api->is_draining)
		return FALSE;
	cb_operator_refuse(api, message, SOUP_STATUS_SERVICE_UNAVAILABLE,
			   "leaving", "this control instance is leaving",
			   CB_EXECUTED_NO);
	return TRUE;
}

static void read_task_begin_(cb_operator_t *api, SoupServerMessage *message,
			     const char *name, cb_operator_reply_fn_t reply)
{
	cb_operator_task_t *task = cb_operator_task_new(api, message);

	task->name = g_strdup(name);
	cb_operator_confirm_and_reply(task, reply);
}

static void status_task_begin_(cb_operator_t *api, SoupServerMessage *message)
{
	cb_operator_task_t *task = cb_operator_task_new(api, message);

	task->needs_sessions = TRUE;
	task->may_be_unconfirmed = TRUE;
	cb_operator_confirm_and_reply(task, cb_operator_status_reply);
}

static void in_force_task_begin_(cb_operator_t *api, SoupServerMessage *message,
				 GHashTable *query)
{
	const char *text = query ? g_hash_table_lookup(query, "revision") : "";
	cb_operator_task_t *task;
	guint64 revision;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 1, UINT64_MAX,
						 &revision, NULL)) {
		cb_operator_refuse(api, message, SOUP_STATUS_BAD_REQUEST,
				   "malformed",
				   "revision: must be a whole number above 0",
				   CB_EXECUTED_NO);
		return;
	}
	task = cb_operator_task_new(api, message);
	task->revision = revision;
	task->needs_sessions = TRUE;
	cb_operator_confirm_and_reply(task, cb_operator_in_force_reply);
}

static void method_refuse_(cb_operator_t *api, SoupServerMessage *message)
{
	cb_operator_refuse(api, message, SOUP_STATUS_METHOD_NOT_ALLOWED,
			   "method_not_allowed",
			   "the path does not take this method",
			   CB_EXECUTED_NO);
}

static void path_refuse_(cb_operator_t *api, SoupServerMessage *message)
{
	cb_operator_refuse(api, message, SOUP_STATUS_NOT_FOUND, "path_unknown",
			   "no such path", CB_EXECUTED_NO);
}

/*
 * Splits the rest of a path after `prefix` into at most two decoded segments,
 * which the caller frees.  Returns their number, or -1 if the path has more, an
 * empty or an invalid one.
 */
static int path_split_(const char *path, const char *prefix, char **parts)
{
	char **segments;
	int count;
	int i;

	path += strlen(prefix);
	if (!*path || g_str_equal(path, "/"))
		return 0;
	if (*path != '/')
		return -1;
	segments = g_strsplit(path + 1, "/", -1);
	count = (int)g_strv_length(segments);
	if (count > 2)
		count = -1;
	for (i = 0; i < count; i++)
		parts[i] = g_uri_unescape_string(segments[i], NULL);
	for (i = 0; i < count; i++)
		if (!parts[i] || !*parts[i])
			count = -1;
	g_strfreev(segments);
	return count;
}

static void contracts_request_handle_(cb_operator_t *api,
				      SoupServerMessage *message,
				      int part_count, char **parts)
{
	const char *method = soup_server_message_get_method(message);

	if (part_count == 0 && g_str_equal(method, "GET"))
		read_task_begin_(api, message, NULL,
				 cb_operator_contracts_reply);
	else if (part_count == 0)
		method_refuse_(api, message);
	else if (part_count != 1)
		path_refuse_(api, message);
	else if (g_str_equal(method, "GET"))
		read_task_begin_(api, message, parts[0],
				 cb_operator_contract_reply);
	else if (g_str_equal(method, "PUT"))
		cb_operator_contract_put(api, message, parts[0]);
	else if (g_str_equal(method, "DELETE"))
		cb_operator_contract_remove(api, message, parts[0]);
	else
		method_refuse_(api, message);
}

static void stops_request_handle_(cb_operator_t *api,
				  SoupServerMessage *message, int part_count,
				  char **parts)
{
	const char *method = soup_server_message_get_method(message);

	if (part_count == 0 && g_str_equal(method, "GET"))
		read_task_begin_(api, message, NULL, cb_operator_stops_reply);
	else if (part_count == 0 && g_str_equal(method, "POST"))
		cb_operator_stop_announce(api, message);
	else if (part_count == 2 && g_str_equal(method, "DELETE"))
		cb_operator_stop_cancel(api, message, parts[0], parts[1]);
	else if (part_count == 1)
		path_refuse_(api, message);
	else
		method_refuse_(api, message);
}

static void members_request_handle_(cb_operator_t *api,
				    SoupServerMessage *message, int part_count,
				    char **parts)
{
	const char *method = soup_server_message_get_method(message);

	if (part_count == 0 && g_str_equal(method, "GET"))
		read_task_begin_(api, message, NULL, cb_operator_members_reply);
	else if (part_count == 0 && g_str_equal(method, "POST"))
		cb_operator_member_add(api, message);
	else if (part_count == 1 && g_str_equal(method, "DELETE"))
		cb_operator_member_remove(api, message, parts[0]);
	else if (part_count == 2)
		path_refuse_(api, message);
	else
		method_refuse_(api, message);
}

typedef void (*route_fn_t)(cb_operator_t *api, SoupServerMessage *message,
			   int part_count, char **parts);

static void request_route_(cb_operator_t *api, SoupServerMessage *message,
			   const char *path, const char *prefix,
			   route_fn_t route)
{
	char *parts[2] = { NULL, NULL };
	int part_count;

	if (request_refuse_if_leaving_(api, message))
		return;
	part_count = path_split_(path, prefix, parts);
	if (part_count < 0)
		path_refuse_(api, message);
	else
		route(api, message, part_count, parts);
	g_free(parts[0]);
	g_free(parts[1]);
}

static void contracts_handle_(SoupServer *soup, SoupServerMessage *message,
			      const char *path, GHashTable *query,
			      void *user_data)
{
	(void)soup;
	(void)query;
	request_route_(user_data, message, path, "/v1/contracts",
		       contracts_request_handle_);
}

static void stops_handle_(SoupServer *soup, SoupServerMessage *message,
			  const char *path, GHashTable *query, void *user_data)
{
	(void)soup;
	(void)query;
	request_route_(user_data, message, path, "/v1/stops",
		       stops_request_handle_);
}

static void members_handle_(SoupServer *soup, SoupServerMessage *message,
			    const char *path, GHashTable *query,
			    void *user_data)
{
	(void)soup;
	(void)query;
	request_route_(user_data, message, path, "/v1/members",
		       members_request_handle_);
}

static void status_handle_(SoupServer *soup, SoupServerMessage *message,
			   const char *path, GHashTable *query, void *user_data)
{
	(void)soup;
	(void)query;
	if (request_refuse_if_leaving_(user_data, message))
		return;
	if (!g_str_equal(path, "/v1/status"))
		path_refuse_(user_data, message);
	else if (soup_server_message_get_method(message) != SOUP_METHOD_GET)
		method_refuse_(user_data, message);
	else
		status_task_begin_(user_data, message);
}

static void in_force_handle_(SoupServer *soup, SoupServerMessage *message,
			     const char *path, GHashTable *query,
			     void *user_data)
{
	(void)soup;
	if (request_refuse_if_leaving_(user_data, message))
		return;
	if (!g_str_equal(path, "/v1/in-force"))
		path_refuse_(user_data, message);
	else if (soup_server_message_get_method(message) != SOUP_METHOD_GET)
		method_refuse_(user_data, message);
	else
		in_force_task_begin_(user_data, message, query);
}

static gboolean operator_start_(cb_service_t *service, GError **error)
{
	static const struct {
		const char *path;
		SoupServerCallback handle;
	} handlers[] = {
		{ "/v1/contracts", contracts_handle_ },
		{ "/v1/stops", stops_handle_ },
		{ "/v1/members", members_handle_ },
		{ "/v1/status", status_handle_ },
		{ "/v1/in-force", in_force_handle_ },
	};
	cb_operator_t *api = (cb_operator_t *)service;
	cb_service_t *http = cb_kernel_find(api->kernel, "http");
	cb_http_server_t *server = (cb_http_server_t *)http;
	SoupServer *soup = cb_http_server_soup(server);
	size_t i;

	(void)error;
	cb_http_server_limit_body(server, MAX_BODY_BYTES);
	api->node = (cb_node_t *)cb_kernel_find(api->kernel, "node");
	for (i = 0; i < G_N_ELEMENTS(handlers); i++) {
		soup_server_add_handler(soup, handlers[i].path,
					handlers[i].handle, api, NULL);
	}
	return TRUE;
}

static void operator_drain_(cb_service_t *service)
{
	cb_operator_t *api = (cb_operator_t *)service;

	api->is_draining = TRUE;
	drained_report_(api);
}

/* The node is destroyed next without calling any task back. */
static void operator_destroy_(cb_service_t *service)
{
	cb_operator_t *api = (cb_operator_t *)service;

	g_hash_table_unref(api->tasks);
	g_free(api);
}

static const cb_service_vtable_t operator_vtable = {
	.start = operator_start_,
	.drain = operator_drain_,
	.destroy = operator_destroy_,
};

/* Creates the service, which the caller registers as "operator". */
cb_operator_t *cb_operator_new(cb_kernel_t *kernel)
{
	cb_operator_t *api = g_new0(cb_operator_t, 1);

	api->service.vtable = &operator_vtable;
	api->kernel = kernel;
	api->tasks = g_hash_table_new_full(NULL, NULL, task_free_, NULL);
	return api;
}
