#include "private/http_clients.h"

#include <string.h>

#include "private/http_exchange.h"
#include "currantbridge/json_fields.h"

typedef struct service_client {
	cb_service_client_t base;
	cb_http_client_t *http;
} service_client_t;

typedef struct service_exchange {
	cb_service_listener_t listener; /* listener of a call of the service */
	cb_fence_listener_t fence;	/* listener of a fence query */
} service_exchange_t;

/*
 * Returns the failure if the answer reports that the call was not executed
 * (busy or fenced), else CB_FAILURE_NONE.
 */
static cb_failure_t failure_from_answer_(const cb_http_answer_t *answer)
{
	JsonParser *parser;
	JsonObject *object;
	const char *error_code = NULL;
	const char *text;
	size_t size_bytes;
	cb_failure_t failure = CB_FAILURE_NONE;

	if (answer->status != SOUP_STATUS_SERVICE_UNAVAILABLE &&
	    answer->status != SOUP_STATUS_CONFLICT)
		return CB_FAILURE_NONE;
	parser = json_parser_new_immutable();
	text = g_bytes_get_data(answer->body, &size_bytes);
	object = cb_json_parse_object(parser, text ? text : "",
				      (int64_t)size_bytes, NULL);
	if (object)
		cb_field_string(object, "error", &error_code, NULL);
	if (answer->status == SOUP_STATUS_SERVICE_UNAVAILABLE &&
	    !g_strcmp0(error_code, "busy"))
		failure = CB_FAILURE_REFUSED;
	if (answer->status == SOUP_STATUS_CONFLICT &&
	    !g_strcmp0(error_code, "fenced"))
		failure = CB_FAILURE_FENCED;
	g_object_unref(parser);
	return failure;
}

static void send_finish_(void *user_data, cb_failure_t failure,
			 const cb_http_answer_t *answer)
{
	service_exchange_t *exchange = user_data;
	cb_service_answer_t service_answer = { 0 };

	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(answer);
	if (failure != CB_FAILURE_NONE) {
		exchange->listener.done(exchange->listener.user_data, failure,
					NULL);
		return;
	}
	service_answer.status = answer->status;
	service_answer.content_type = (char *)answer->content_type;
	service_answer.body = answer->body;
	exchange->listener.done(exchange->listener.user_data, CB_FAILURE_NONE,
				&service_answer);
}

/*
 * Every call uses a new connection: libsoup would resend a PUT or DELETE that
 * failed on a reused one, and an idle connection may be dead without notice.
 */
static cb_exchange_t *call_send_(cb_service_client_t *client,
				 cb_server_t *server,
				 const cb_service_request_t *request,
				 const cb_service_listener_t *listener)
{
	service_exchange_t *exchange = g_new0(service_exchange_t, 1);
	cb_http_request_t http_request = {
		.method = request->method,
		.address = server->address,
		.path = request->path,
		.content_type = request->content_type,
		.body = request->body,
		.connection = CB_HTTP_CONNECTION_NEW,
	};
	cb_http_listener_t http_listener = {
		.done = send_finish_,
		.user_data = exchange,
		.user_data_free = g_free,
	};
	SoupMessageHeaders *headers;
	cb_exchange_t *handle;
	char fencing_text[32];

	exchange->listener = *listener;
	handle = cb_http_exchange_start(((service_client_t *)client)->http,
					&http_request, &http_listener);
	headers = cb_http_exchange_headers(handle);
	if (!headers)
		return handle;
	soup_message_headers_replace(headers, "X-Request-Id", request->request);
	if (request->key)
		soup_message_headers_replace(headers, "Idempotency-Key",
					     request->key);
	if (request->fencing) {
		g_snprintf(fencing_text, sizeof(fencing_text),
			   "%" G_GUINT64_FORMAT, request->fencing);
		soup_message_headers_replace(headers, "X-Fencing",
					     fencing_text);
	}
	return handle;
}

/*
 * Parses the answer to a fence query.  If the call was executed, its recorded
 * answer is stored in `answer`, whose body the caller frees.
 */
static cb_fence_result_t fence_answer_parse_(JsonObject *object,
					     cb_service_answer_t *answer)
{
	const char *executed = NULL;
	const char *type = NULL;
	const char *body = "";
	int64_t status = 0;

	if (!cb_field_string(object, "executed", &executed, NULL) || !executed)
		return CB_FENCE_UNKNOWN;
	if (!strcmp(executed, "no"))
		return CB_FENCE_NOT_EXECUTED;
	if (strcmp(executed, "yes") ||
	    !cb_field_integer(object, "status", 100, 599, &status, NULL) ||
	    status == 0)
		return CB_FENCE_UNKNOWN;
	cb_field_string(object, "content_type", &type, NULL);
	cb_field_string(object, "body", &body, NULL);
	answer->status = (uint32_t)status;
	answer->content_type = (char *)type;
	answer->body = g_bytes_new(body, strlen(body));
	return CB_FENCE_EXECUTED;
}

static void fence_finish_(void *user_data, cb_failure_t failure,
			  const cb_http_answer_t *answer)
{
	service_exchange_t *exchange = user_data;
	cb_fence_result_t result = CB_FENCE_UNKNOWN;
	cb_service_answer_t service_answer = { 0 };
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	const char *text;
	size_t size_bytes;

	if (failure == CB_FAILURE_NONE && answer->status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(answer->body, &size_bytes);
		object = cb_json_parse_object(parser, text ? text : "",
					      (int64_t)size_bytes, NULL);
	}
	if (object)
		result = fence_answer_parse_(object, &service_answer);
	exchange->fence.done(exchange->fence.user_data, result,
			     result == CB_FENCE_EXECUTED ? &service_answer :
							   NULL);
	g_clear_pointer(&service_answer.body, g_bytes_unref);
	g_object_unref(parser);
}

static cb_exchange_t *fence_query_send_(cb_service_client_t *client,
					cb_server_t *server, const char *key,
					uint64_t fencing,
					const cb_fence_listener_t *listener)
{
	service_exchange_t *exchange = g_new0(service_exchange_t, 1);
	GString *text = g_string_new("{\"key\":");
	cb_http_request_t http_request = {
		.method = SOUP_METHOD_POST,
		.address = server->address,
		.path = "/service/fence",
		.content_type = "application/json",
		.connection = CB_HTTP_CONNECTION_NEW,
	};
	cb_http_listener_t http_listener = {
		.done = fence_finish_,
		.user_data = exchange,
		.user_data_free = g_free,
	};
	cb_exchange_t *handle;

	exchange->fence = *listener;
	cb_json_append_string(text, key);
	g_string_append_printf(text, ",\"fencing\":%" G_GUINT64_FORMAT "}",
			       fencing);
	http_request.body = g_string_free_to_bytes(text);
	handle = cb_http_exchange_start(((service_client_t *)client)->http,
					&http_request, &http_listener);
	g_bytes_unref(http_request.body);
	return handle;
}

static void exchange_cancel_(cb_service_client_t *client,
			     cb_exchange_t *exchange)
{
	(void)client;
	cb_http_exchange_cancel(exchange);
}

/* Creates a client that calls plain services over HTTP. */
cb_service_client_t *cb_http_service_client_new(void)
{
	static const cb_service_client_vtable_t vtable = {
		.send = call_send_,
		.fence = fence_query_send_,
		.cancel = exchange_cancel_,
	};
	service_client_t *client = g_new0(service_client_t, 1);

	client->base.vtable = &vtable;
	client->http = cb_http_client_new(NULL);
	return &client->base;
}

/*
 * Deletes the client; its open exchanges end without a call of `done`.  NULL
 * is allowed.
 */
void cb_http_service_client_delete(cb_service_client_t *base)
{
	service_client_t *client = (service_client_t *)base;

	if (!client)
		return;
	cb_http_client_delete(client->http);
	g_free(client);
}
