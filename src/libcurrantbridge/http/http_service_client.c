#include "private/http_clients.h"

#include <string.h>

#include "currantbridge/http1_client.h"
#include "currantbridge/http1_head.h"
#include "currantbridge/json_fields.h"

/*
 * A connection that is idle is never used: it may be dead without notice, and a
 * call that may run only once can't be sent again.
 */
#define NO_IDLE_CONNECTION_MS (-1)
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)
/* No address: a request for it ends as not sent. */
#define UNSENDABLE_ADDRESS ""
#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503

/*
 * Calls go through http1/, since libsoup takes an answer whose connection is
 * closed in its head or between two chunks for a complete one.
 */
typedef struct service_client {
	cb_service_client_t base;
	cb_http1_client_t *http;
	GHashTable *open_exchanges; /* set of service_exchange_t */
} service_client_t;

/* A request to a server; its handle is a cb_exchange_t to the outside. */
typedef struct service_exchange {
	service_client_t *client;
	cb_http1_call_t *call;
	uint32_t status;    /* of the answer */
	char *content_type; /* of the answer; NULL if it has none */
	GByteArray *body;   /* of the answer */
	/* Passes the result to the listener; `answer` is NULL on a failure. */
	void (*finish)(struct service_exchange *exchange, cb_failure_t failure,
		       const cb_service_answer_t *answer);
	cb_service_listener_t listener; /* listener of a call of the service */
	cb_fence_listener_t fence;	/* listener of a fence query */
} service_exchange_t;

/*
 * Returns the failure if the answer reports that the call was not executed
 * (busy or fenced), else CB_FAILURE_NONE.
 */
static cb_failure_t failure_from_answer_(const cb_service_answer_t *answer)
{
	JsonParser *parser;
	JsonObject *object;
	const char *error_code = NULL;
	const char *text;
	size_t size_bytes;
	cb_failure_t failure = CB_FAILURE_NONE;

	if (answer->status != STATUS_UNAVAILABLE &&
	    answer->status != STATUS_CONFLICT)
		return CB_FAILURE_NONE;
	parser = json_parser_new_immutable();
	text = g_bytes_get_data(answer->body, &size_bytes);
	object = cb_json_parse_object(parser, text ? text : "",
				      (int64_t)size_bytes, NULL);
	if (object)
		cb_field_string(object, "error", &error_code, NULL);
	if (answer->status == STATUS_UNAVAILABLE &&
	    !g_strcmp0(error_code, "busy"))
		failure = CB_FAILURE_REFUSED;
	if (answer->status == STATUS_CONFLICT &&
	    !g_strcmp0(error_code, "fenced"))
		failure = CB_FAILURE_FENCED;
	g_object_unref(parser);
	return failure;
}

static void exchange_free_(void *data)
{
	service_exchange_t *exchange = data;

	g_free(exchange->content_type);
	g_byte_array_unref(exchange->body);
	g_free(exchange);
}

/* Reports the end of an exchange to its listener and frees it. */
static void exchange_end_(service_exchange_t *exchange, cb_failure_t failure)
{
	cb_service_answer_t answer = {
		.status = exchange->status,
		.content_type = exchange->content_type,
	};

	g_hash_table_steal(exchange->client->open_exchanges, exchange);
	if (failure == CB_FAILURE_NONE)
		answer.body =
			g_bytes_new(exchange->body->data, exchange->body->len);
	exchange->finish(exchange, failure, answer.body ? &answer : NULL);
	g_clear_pointer(&answer.body, g_bytes_unref);
	exchange_free_(exchange);
}

/* Stores what the head tells; FALSE: the body is encoded and can't be read. */
static gboolean head_receive_(void *user_data, const cb_http1_head_t *head)
{
	service_exchange_t *exchange = user_data;
	const char *encoding = cb_http1_head_find(head, "Content-Encoding");

	if (encoding && g_ascii_strcasecmp(encoding, "identity") != 0)
		return FALSE;
	exchange->status = head->status;
	exchange->content_type =
		g_strdup(cb_http1_head_find(head, "Content-Type"));
	return TRUE;
}

static void data_receive_(void *user_data, const uint8_t *data, size_t size)
{
	service_exchange_t *exchange = user_data;

	if (exchange->body->len + size <= MAX_ANSWER_BYTES) {
		g_byte_array_append(exchange->body, data, (unsigned int)size);
		return;
	}
	cb_http1_call_cancel(exchange->call);
	exchange_end_(exchange, CB_FAILURE_MISMATCH);
}

static void call_end_handle_(void *user_data, cb_http1_result_t result)
{
	exchange_end_(user_data, cb_http_failure(result));
}

static const cb_http1_call_handler_t call_handler = {
	.head = head_receive_,
	.data = data_receive_,
	.done = call_end_handle_,
};

/* Returns whether a text can be a part of a line of a request's head. */
static gboolean is_line_text_(const char *text, gboolean allows_spaces)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c; c++)
		if (*c < ' ' || *c == 0x7f || (*c == ' ' && !allows_spaces))
			return FALSE;
	return TRUE;
}

/* Begins a request's head; `path` must begin with a slash. */
static GString *request_begin_(const char *method, const char *path,
			       const char *address)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "%s %s HTTP/1.1\r\nHost: %s\r\n"
			       "Connection: close\r\n",
			       method, path, address);
	return text;
}

/* Appends a header unless its value is NULL. */
static void header_append_(GString *text, const char *name, const char *value)
{
	if (value)
		g_string_append_printf(text, "%s: %s\r\n", name, value);
}

/* Ends the head, and appends the body; `body` may be NULL. */
static void body_append_(GString *text, const char *method, GBytes *body)
{
	size_t size = 0;
	const char *data = body ? g_bytes_get_data(body, &size) : NULL;

	if (size || strcmp(method, "GET") != 0)
		g_string_append_printf(text, "Content-Length: %zu\r\n", size);
	g_string_append(text, "\r\n");
	g_string_append_len(text, data ? data : "", (gssize)size);
}

/* Sends a request, of which it takes ownership. */
static service_exchange_t *exchange_start_(service_client_t *client,
					   const char *address,
					   const char *method, GString *request)
{
	service_exchange_t *exchange = g_new0(service_exchange_t, 1);

	exchange->client = client;
	exchange->body = g_byte_array_new();
	g_hash_table_add(client->open_exchanges, exchange);
	exchange->call = cb_http1_client_call(client->http, address, method,
					      request, NO_IDLE_CONNECTION_MS,
					      NULL, &call_handler, exchange);
	return exchange;
}

/* Passes the result of a call of the service to its listener. */
static void call_finish_(service_exchange_t *exchange, cb_failure_t failure,
			 const cb_service_answer_t *answer)
{
	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(answer);
	exchange->listener.done(exchange->listener.user_data, failure,
				failure == CB_FAILURE_NONE ? answer : NULL);
}

/* Returns the request of a call; NULL: it can't be put into a request. */
static GString *call_format_(const cb_server_t *server,
			     const cb_service_request_t *request)
{
	const char *const texts[] = { request->request, request->key,
				      request->content_type };
	GString *text;
	size_t i;

	if (!is_line_text_(request->method, FALSE) ||
	    !is_line_text_(request->path, FALSE))
		return NULL;
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (texts[i] && !is_line_text_(texts[i], TRUE))
			return NULL;
	text = request_begin_(request->method, request->path, server->address);
	header_append_(text, "X-Request-Id", request->request);
	header_append_(text, "Idempotency-Key", request->key);
	if (request->fencing)
		g_string_append_printf(text,
				       "X-Fencing: %" G_GUINT64_FORMAT "\r\n",
				       request->fencing);
	if (request->body)
		header_append_(text, "Content-Type", request->content_type);
	body_append_(text, request->method, request->body);
	return text;
}

static cb_exchange_t *call_send_(cb_service_client_t *client,
				 cb_server_t *server,
				 const cb_service_request_t *request,
				 const cb_service_listener_t *listener)
{
	GString *text = call_format_(server, request);
	service_exchange_t *exchange =
		exchange_start_((service_client_t *)client,
				text ? server->address : UNSENDABLE_ADDRESS,
				request->method,
				text ? text : g_string_new(NULL));

	exchange->listener = *listener;
	exchange->finish = call_finish_;
	return (cb_exchange_t *)exchange;
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

static void fence_finish_(service_exchange_t *exchange, cb_failure_t failure,
			  const cb_service_answer_t *answer)
{
	cb_fence_result_t result = CB_FENCE_UNKNOWN;
	cb_service_answer_t recorded_answer = { 0 };
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	const char *text;
	size_t size_bytes;

	if (failure == CB_FAILURE_NONE && answer->status == STATUS_OK) {
		text = g_bytes_get_data(answer->body, &size_bytes);
		object = cb_json_parse_object(parser, text ? text : "",
					      (int64_t)size_bytes, NULL);
	}
	if (object)
		result = fence_answer_parse_(object, &recorded_answer);
	exchange->fence.done(exchange->fence.user_data, result,
			     result == CB_FENCE_EXECUTED ? &recorded_answer :
							   NULL);
	g_clear_pointer(&recorded_answer.body, g_bytes_unref);
	g_object_unref(parser);
}

static cb_exchange_t *fence_query_send_(cb_service_client_t *client,
					cb_server_t *server, const char *key,
					uint64_t fencing,
					const cb_fence_listener_t *listener)
{
	static const char method[] = "POST";
	GString *query = g_string_new("{\"key\":");
	GString *text =
		request_begin_(method, "/service/fence", server->address);
	service_exchange_t *exchange;
	GBytes *body;

	cb_json_append_string(query, key);
	g_string_append_printf(query, ",\"fencing\":%" G_GUINT64_FORMAT "}",
			       fencing);
	body = g_string_free_to_bytes(query);
	header_append_(text, "Content-Type", "application/json");
	body_append_(text, method, body);
	g_bytes_unref(body);
	exchange = exchange_start_((service_client_t *)client, server->address,
				   method, text);
	exchange->fence = *listener;
	exchange->finish = fence_finish_;
	return (cb_exchange_t *)exchange;
}

static void exchange_cancel_(cb_service_client_t *client, cb_exchange_t *handle)
{
	service_exchange_t *exchange = (service_exchange_t *)handle;

	(void)client;
	cb_http1_call_cancel(exchange->call);
	g_hash_table_remove(exchange->client->open_exchanges, exchange);
}

/*
 * Creates a client that calls plain services over HTTP, in the main loop of
 * `context`; NULL means the default context.
 */
cb_service_client_t *cb_http_service_client_new(GMainContext *context,
						cb_clock_t *clock)
{
	static const cb_service_client_vtable_t vtable = {
		.send = call_send_,
		.fence = fence_query_send_,
		.cancel = exchange_cancel_,
	};
	service_client_t *client = g_new0(service_client_t, 1);

	client->base.vtable = &vtable;
	client->http = cb_http1_client_new(context, clock, NULL);
	client->open_exchanges =
		g_hash_table_new_full(g_direct_hash, g_direct_equal,
				      exchange_free_, NULL);
	return &client->base;
}

/*
 * Deletes the client; its open exchanges end without a call of `done`.  NULL
 * is allowed.
 */
void cb_http_service_client_delete(cb_service_client_t *base)
{
	service_client_t *client = (service_client_t *)base;
	GHashTableIter iter;
	void *exchange;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->open_exchanges);
	while (g_hash_table_iter_next(&iter, &exchange, NULL))
		cb_http1_call_cancel(((service_exchange_t *)exchange)->call);
	g_hash_table_unref(client->open_exchanges);
	cb_http1_client_delete(client->http);
	g_free(client);
}
