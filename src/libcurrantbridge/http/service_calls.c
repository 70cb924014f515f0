#include <string.h>

#include "private/caller.h"

#define MAX_IDEMPOTENCY_KEY_BYTES 256

/* One caller's call of a plain service. */
typedef struct service_call {
	cb_caller_t *caller;
	cb_entry_t *entry;
	cb_call_t *call;
	char *workspace;
	char *service;
	gboolean is_call_ended;
} service_call_t;

static void service_call_delete_(service_call_t *service_call)
{
	if (service_call->call && service_call->is_call_ended)
		cb_call_delete(service_call->call);
	cb_caller_delete(service_call->caller);
	g_free(service_call->workspace);
	g_free(service_call->service);
	g_free(service_call);
}

/* Called when the answer is sent or the caller has disconnected. */
static void exchange_ended_(void *user_data)
{
	service_call_t *service_call = user_data;

	if (!service_call->is_call_ended) {
		cb_counter_add(service_call->entry->abandoned_counter, 1);
		if (service_call->call)
			cb_call_abandon(service_call->call);
	}
	service_call_delete_(service_call);
}

static void answer_fill_(service_call_t *service_call, const cb_call_end_t *end)
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

static void call_ended_(void *user_data, const cb_call_end_t *end)
{
	service_call_t *service_call = user_data;
	cb_caller_error_t error = {
		.refusal = end->refusal,
		.executed = end->executed,
		.retry_after_s = end->retry_after_s,
	};

	service_call->is_call_ended = TRUE;
	if (end->refusal == CB_REFUSAL_NONE)
		answer_fill_(service_call, end);
	else
		cb_caller_refuse(service_call->caller, &error);
	cb_caller_resume(service_call->caller);
}

/* Splits "NAME/PATH"; returns the name and sets `*rest` to "/PATH". */
static char *service_name_parse_(const char *path, const char **rest)
{
	const char *slash = strchr(path, '/');

	*rest = slash ? slash : "/";
	return slash ? g_strndup(path, (size_t)(slash - path)) : g_strdup(path);
}

/* Returns the path and query that are sent to the service. */
static char *service_path_build_(SoupServerMessage *message, const char *prefix)
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
	char *path = service_path_build_(message, "/v1/services/");
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	cb_call_request_t request = {
		.request = cb_caller_public_id(service_call->caller),
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

	service_call->call = cb_call_new(service_call->entry->call_env,
					 &request, call_ended_, service_call);
	g_bytes_unref(body);
	g_free(path);
	cb_call_start(service_call->call);
}

/* Starts the call, or answers with the refusal. */
static void admission_decided_(void *user_data, cb_refusal_t refusal,
			       int64_t retry_after_s)
{
	service_call_t *service_call = user_data;
	/* The contract may have changed while the request was queued. */
	const cb_contract_t *contract =
		cb_view_contract(service_call->entry->view,
				 service_call->workspace);
	const cb_contract_service_t *service =
		contract ? cb_contract_find_service(contract,
						    service_call->service) :
			   NULL;
	cb_call_end_t end = { .refusal = refusal,
			      .executed = CB_EXECUTED_NO,
			      .retry_after_s = retry_after_s };

	if (refusal == CB_REFUSAL_NONE && service) {
		call_start_(service_call, contract, service);
		return;
	}
	if (refusal == CB_REFUSAL_NONE)
		end.refusal = CB_REFUSAL_SERVICE_UNKNOWN;
	call_ended_(service_call, &end);
}

static cb_refusal_t idempotency_key_check_(const cb_contract_service_t *service,
					   const char *key, const char **detail)
{
	if (!key)
		return service->is_idempotent ?
			       CB_REFUSAL_NONE :
			       CB_REFUSAL_IDEMPOTENCY_KEY_MISSING;
	if (*key && strlen(key) <= MAX_IDEMPOTENCY_KEY_BYTES &&
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
	cb_caller_error_t caller_error = { .refusal =
						   CB_REFUSAL_SERVICE_UNKNOWN };
	const cb_contract_service_t *service;
	cb_admission_request_t admission = { 0 };
	service_call_t *service_call;
	const cb_contract_t *contract;
	cb_caller_t *caller = cb_caller_accept(entry, message, &contract);
	const char *rest;
	char *name;

	(void)query;
	if (!caller)
		return;
	service_call = g_new0(service_call_t, 1);
	service_call->caller = caller;
	service_call->entry = entry;
	name = service_name_parse_(path, &rest);
	service = cb_contract_find_service(contract, name);
	service_call->service = name;
	service_call->workspace = g_strdup(contract->workspace);
	if (service)
		caller_error.refusal =
			idempotency_key_check_(service, key,
					       &caller_error.detail);
	if (caller_error.refusal != CB_REFUSAL_NONE) {
		cb_caller_refuse(caller, &caller_error);
		service_call_delete_(service_call);
		return;
	}
	admission.contract = contract;
	admission.target = service_call->service;
	cb_caller_suspend(caller, exchange_ended_, service_call);
	cb_caller_submit(caller, &admission, admission_decided_, service_call);
}
