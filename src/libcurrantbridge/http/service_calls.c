#include <string.h>

#include "private/caller.h"

#define MAX_KEY_CHARS 256

/* One call of a plain service. */
typedef struct service_call {
	cb_caller_t *caller;
	cb_entry_t *entry;
	cb_call_t *call;
	char *workspace;
	char *service;
	gboolean is_ended;
} service_call_t;

static void service_call_delete_(service_call_t *service_call)
{
	if (service_call->call && service_call->is_ended)
		cb_call_delete(service_call->call);
	cb_caller_delete(service_call->caller);
	g_free(service_call->workspace);
	g_free(service_call->service);
	g_free(service_call);
}

/* The exchange is over, by its end or because the caller went away. */
static void gone_(void *user_data)
{
	service_call_t *service_call = user_data;

	if (!service_call->is_ended) {
		cb_counter_add(service_call->entry->abandoned, 1);
		if (service_call->call)
			cb_call_abandon(service_call->call);
	}
	service_call_delete_(service_call);
}

static void answer_send_(service_call_t *service_call, const cb_call_end_t *end)
{
	SoupServerMessage *message = cb_caller_message(service_call->caller);
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	const cb_service_answer_t *answer = end->answer;

	soup_server_message_set_status(message, answer->status, NULL);
	if (answer->content_type)
		soup_message_headers_replace(headers, "Content-Type",
					     answer->content_type);
	if (end->is_replayed)
		soup_message_headers_replace(headers, "Idempotent-Replayed",
					     "true");
	if (answer->body)
		soup_message_body_append_bytes(
			soup_server_message_get_response_body(message),
			answer->body);
}

static void ended_(void *user_data, const cb_call_end_t *end)
{
	service_call_t *service_call = user_data;
	cb_caller_error_t error = {
		.refusal = end->refusal,
		.executed = end->executed,
		.retry_after_s = end->retry_after_s,
	};

	service_call->is_ended = TRUE;
	if (end->refusal == CB_REFUSAL_NONE)
		answer_send_(service_call, end);
	else
		cb_caller_refuse(service_call->caller, &error);
	cb_caller_resume(service_call->caller);
}

/* Splits "NAME/PATH"; returns the name and sets `*rest` to "/PATH". */
static char *name_take_(const char *path, const char **rest)
{
	const char *slash = strchr(path, '/');

	*rest = slash ? slash : "/";
	return slash ? g_strndup(path, (size_t)(slash - path)) : g_strdup(path);
}

/* The path with its query, as the service sees it. */
static char *service_path_(SoupServerMessage *message, const char *prefix)
{
	GUri *uri = soup_server_message_get_uri(message);
	const char *path = g_uri_get_path(uri) + strlen(prefix);
	const char *query = g_uri_get_query(uri);
	const char *slash = strchr(path, '/');

	return g_strconcat(slash ? slash : "/", query ? "?" : "", query, NULL);
}

static void call_start_(service_call_t *service_call,
			const cb_contract_t *contract,
			const cb_contract_service_t *service)
{
	SoupServerMessage *message = cb_caller_message(service_call->caller);
	char *path = service_path_(message, "/v1/services/");
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	cb_call_request_t request = {
		.request = cb_caller_id(service_call->caller),
		.workspace = contract->workspace,
		.service = service->name,
		.is_idempotent = service->is_idempotent,
		.method = soup_server_message_get_method(message),
		.path = path,
		.content_type = soup_message_headers_get_one(
			soup_server_message_get_request_headers(message),
			"Content-Type"),
		.body = body,
		.key = soup_message_headers_get_one(
			soup_server_message_get_request_headers(message),
			"Idempotency-Key"),
		.deadline_ms = contract->deadline_ms,
	};

	service_call->call = cb_call_new(service_call->entry->calls, &request,
					 ended_, service_call);
	g_bytes_unref(body);
	g_free(path);
	cb_call_start(service_call->call);
}

/* Starts the call, or tells the caller why it may not begin. */
static void decided_(void *user_data, cb_refusal_t refusal,
		     int64_t retry_after_s)
{
	service_call_t *service_call = user_data;
	/* While the request waited, its contract may have changed. */
	const cb_contract_t *contract =
		cb_view_contract(service_call->entry->view,
				 service_call->workspace);
	const cb_contract_service_t *service =
		contract ? cb_contract_find_service(contract,
						    service_call->service) :
			   NULL;
	cb_call_end_t refused = { .refusal = refusal,
				  .executed = CB_EXECUTED_NO,
				  .retry_after_s = retry_after_s };

	if (refusal == CB_REFUSAL_NONE && service) {
		call_start_(service_call, contract, service);
		return;
	}
	if (refusal == CB_REFUSAL_NONE)
		refused.refusal = CB_REFUSAL_SERVICE_UNKNOWN;
	ended_(service_call, &refused);
}

static cb_refusal_t key_check_(const cb_contract_service_t *service,
			       const char *key, const char **detail)
{
	if (!key)
		return service->is_idempotent ?
			       CB_REFUSAL_NONE :
			       CB_REFUSAL_IDEMPOTENCY_KEY_MISSING;
	if (*key && strlen(key) <= MAX_KEY_CHARS &&
	    g_utf8_validate(key, -1, NULL))
		return CB_REFUSAL_NONE;
	*detail = "Idempotency-Key: must have from 1 to 256 bytes of UTF-8";
	return CB_REFUSAL_MALFORMED;
}

/* Serves any method of /v1/services/NAME/PATH. */
void cb_service_calls_handle(cb_entry_t *entry, SoupServerMessage *message,
			     const char *path, GHashTable *query)
{
	const char *key = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Idempotency-Key");
	cb_caller_error_t refused = { .refusal = CB_REFUSAL_SERVICE_UNKNOWN };
	const cb_contract_service_t *service;
	cb_admission_request_t admission = { 0 };
	service_call_t *service_call;
	const cb_contract_t *contract;
	cb_caller_t *caller = cb_caller_admit(entry, message, &contract);
	const char *rest;
	char *name;

	(void)query;
	if (!caller)
		return;
	service_call = g_new0(service_call_t, 1);
	service_call->caller = caller;
	service_call->entry = entry;
	name = name_take_(path, &rest);
	service = cb_contract_find_service(contract, name);
	service_call->service = name;
	service_call->workspace = g_strdup(contract->workspace);
	if (service)
		refused.refusal = key_check_(service, key, &refused.detail);
	if (refused.refusal != CB_REFUSAL_NONE) {
		cb_caller_refuse(caller, &refused);
		service_call_delete_(service_call);
		return;
	}
	admission.contract = contract;
	admission.target = service_call->service;
	cb_caller_suspend(caller, gone_, service_call);
	cb_caller_submit(caller, &admission, decided_, service_call);
}
