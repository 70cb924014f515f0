#include "private/http_clients.h"

#include <string.h>

#include "private/http_exchange.h"
#include "currantbridge/json_fields.h"

/* A drop request that is not answered within this time is abandoned. */
#define DROP_TIMEOUT_MS 5000
#define STATUS_OK 200

typedef struct engine_client {
	cb_engine_client_t base;
	cb_http_client_t *http;
	/* Sends drop requests, which nobody cancels, so they have a timeout. */
	cb_http_client_t *drop_http;
	JsonParser *parser;
} engine_client_t;

/* An exchange with an engine, with the values that its answers must repeat. */
typedef struct engine_exchange {
	engine_client_t *client;
	cb_engine_listener_t listener;
	char *request;
	uint64_t epoch;
	/*
	 * Stream: index of the next token.  Step: index of its token.  Move:
	 * epoch under which the session is imported.
	 */
	uint64_t token;
	uint32_t first_layer;
	uint32_t last_layer;
	gboolean has_last_token; /* whether the last token has been received */
	gboolean is_cancelled;
	/* The remaining fields are set only for a move. */
	GString *import_body; /* JSON of the import request without `kv` */
	char *target_address; /* "IP:PORT" of the importing server */
	cb_exchange_t *handle;
} engine_exchange_t;

static void engine_exchange_delete_(void *data)
{
	engine_exchange_t *exchange = data;

	if (exchange->import_body)
		g_string_free(exchange->import_body, TRUE);
	g_free(exchange->target_address);
	g_free(exchange->request);
	g_free(exchange);
}

static engine_exchange_t *engine_exchange_new_(
	cb_engine_client_t *client, const char *request, uint64_t epoch,
	const cb_engine_listener_t *listener)
{
	engine_exchange_t *exchange = g_new0(engine_exchange_t, 1);

	exchange->client = (engine_client_t *)client;
	exchange->listener = *listener;
	exchange->request = g_strdup(request);
	exchange->epoch = epoch;
	return exchange;
}

static void int_append_(GString *text, const char *field, uint64_t value)
{
	g_string_append_printf(text, ",\"%s\":%" G_GUINT64_FORMAT, field,
			       value);
}

static void string_append_(GString *text, const char *field, const char *value)
{
	if (!value)
		return;
	g_string_append_printf(text, ",\"%s\":", field);
	cb_json_append_string(text, value);
}

/* Begins a JSON object with the fields that every request has. */
static GString *json_request_begin_(const char *request, uint64_t epoch)
{
	GString *text = g_string_new("{\"request\":");

	cb_json_append_string(text, request);
	int_append_(text, "epoch", epoch);
	return text;
}

static GString *order_format_(const cb_engine_order_t *order)
{
	GString *text = json_request_begin_(order->request, order->epoch);
	uint64_t i;

	int_append_(text, "fencing", order->fencing);
	g_string_append_printf(text, ",\"priority\":%" G_GINT64_FORMAT,
			       order->priority);
	string_append_(text, "model", order->model);
	int_append_(text, "first_layer", order->first_layer);
	int_append_(text, "last_layer", order->last_layer);
	string_append_(text, "prompt", order->prompt);
	int_append_(text, "max_tokens", order->max_tokens);
	g_string_append(text, ",\"delivered\":[");
	for (i = 0; i < order->delivered_count; i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		cb_json_append_string(text, order->delivered[i]);
	}
	g_string_append_c(text, ']');
	return text;
}

static GBytes *json_request_end_(GString *text)
{
	g_string_append_c(text, '}');
	return g_string_free_to_bytes(text);
}

static cb_exchange_t *request_post_on_(engine_client_t *client,
				       const char *address, const char *path,
				       GBytes *body,
				       cb_http_connection_t connection,
				       const cb_http_listener_t *listener)
{
	cb_http_request_t http_request = {
		.method = "POST",
		.address = address,
		.path = path,
		.content_type = "application/json",
		.body = body,
		.connection = connection,
	};
	cb_exchange_t *exchange =
		cb_http_exchange_start(client->http, &http_request, listener);

	g_bytes_unref(body);
	return exchange;
}

static cb_exchange_t *request_post_(engine_client_t *client,
				    const char *address, const char *path,
				    GBytes *body,
				    const cb_http_listener_t *listener)
{
	return request_post_on_(client, address, path, body,
				CB_HTTP_CONNECTION_REUSED, listener);
}

/* Returns the failure that an answer's status and error code stand for. */
static cb_failure_t failure_from_answer_(engine_client_t *client,
					 const cb_http_answer_t *answer)
{
	cb_failure_t failure = CB_FAILURE_REFUSED;
	const char *error_code = NULL;
	JsonObject *object;
	size_t size_bytes;
	const char *text = g_bytes_get_data(answer->body, &size_bytes);

	if (answer->status == STATUS_OK)
		return CB_FAILURE_NONE;
	object = cb_json_parse_object(client->parser, text ? text : "",
				      (int64_t)size_bytes, NULL);
	if (!object || !cb_field_string(object, "error", &error_code, NULL) ||
	    !error_code)
		return CB_FAILURE_MISMATCH;
	if (!strcmp(error_code, "fenced"))
		failure = CB_FAILURE_FENCED;
	else if (!strcmp(error_code, "no_context"))
		failure = CB_FAILURE_NO_CONTEXT;
	return failure;
}

/*
 * Parses the JSON object of a token.  Returns FALSE unless it is valid and
 * answers this exchange.  The strings of `token` are owned by `object` and by
 * the exchange.
 */
static gboolean token_parse_(const engine_exchange_t *exchange,
			     JsonObject *object, cb_engine_token_t *token)
{
	JsonNode *text = json_object_get_member(object, "text");
	const char *request = NULL;
	int64_t epoch = -1;
	int64_t index = -1;
	int64_t first_layer = exchange->first_layer;
	int64_t last_layer = exchange->last_layer;

	memset(token, 0, sizeof(*token));
	if (!cb_field_string(object, "request", &request, NULL) ||
	    !cb_field_integer(object, "epoch", 0, INT64_MAX, &epoch, NULL) ||
	    !cb_field_integer(object, "token", 0, INT64_MAX, &index, NULL) ||
	    !cb_field_integer(object, "first_layer", 0, UINT32_MAX,
			      &first_layer, NULL) ||
	    !cb_field_integer(object, "last_layer", 0, UINT32_MAX, &last_layer,
			      NULL) ||
	    !cb_field_string(object, "hidden", &token->hidden, NULL) ||
	    !cb_field_boolean(object, "last", &token->is_last, NULL))
		return FALSE;
	if (text && JSON_NODE_HOLDS_VALUE(text))
		token->text = json_node_get_string(text);
	token->request = exchange->request;
	token->epoch = (uint64_t)epoch;
	token->token = (uint64_t)index;
	token->first_layer = (uint32_t)first_layer;
	token->last_layer = (uint32_t)last_layer;
	return request && !strcmp(request, exchange->request) &&
	       token->epoch == exchange->epoch &&
	       token->token == exchange->token &&
	       token->first_layer == exchange->first_layer &&
	       token->last_layer == exchange->last_layer;
}

/* Parses a token and delivers it to the listener; FALSE on a mismatch. */
static gboolean token_deliver_(engine_exchange_t *exchange, const char *text,
			       size_t size_bytes)
{
	JsonObject *object =
		cb_json_parse_object(exchange->client->parser, text,
				     (int64_t)size_bytes, NULL);
	cb_engine_token_t token;

	if (!object || !token_parse_(exchange, object, &token))
		return FALSE;
	exchange->has_last_token = token.is_last;
	exchange->token++;
	exchange->listener.token(exchange->listener.user_data, &token);
	return TRUE;
}

static gboolean stream_line_deliver_(void *user_data, const char *line,
				     size_t size_bytes)
{
	engine_exchange_t *exchange = user_data;

	if (exchange->has_last_token)
		return FALSE;
	return token_deliver_(exchange, line, size_bytes);
}

static void stream_finish_(void *user_data, cb_failure_t failure,
			   const cb_http_answer_t *answer)
{
	engine_exchange_t *exchange = user_data;

	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(exchange->client, answer);
	if (failure == CB_FAILURE_NONE && !exchange->has_last_token)
		failure = CB_FAILURE_LOST;
	exchange->listener.done(exchange->listener.user_data, failure);
}

static cb_exchange_t *stream_start_(cb_engine_client_t *client,
				    cb_server_t *server,
				    const cb_engine_order_t *order,
				    const cb_engine_listener_t *listener)
{
	engine_exchange_t *exchange =
		engine_exchange_new_(client, order->request, order->epoch,
				     listener);
	cb_http_listener_t http_listener = {
		.line = stream_line_deliver_,
		.done = stream_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	exchange->token = order->delivered_count;
	exchange->first_layer = order->first_layer;
	exchange->last_layer = order->last_layer;
	/*
	 * Uses a new connection: an idle one may be dead without notice, which
	 * would delay the start of the stream.
	 */
	return request_post_on_((engine_client_t *)client, server->address,
				"/engine/stream",
				json_request_end_(order_format_(order)),
				CB_HTTP_CONNECTION_NEW, &http_listener);
}

/* Returns whether a 200 answer repeats its exchange's request and epoch. */
static gboolean echo_matches_(engine_exchange_t *exchange,
			      const cb_http_answer_t *answer)
{
	size_t size_bytes;
	const char *text = g_bytes_get_data(answer->body, &size_bytes);
	JsonObject *object =
		cb_json_parse_object(exchange->client->parser, text ? text : "",
				     (int64_t)size_bytes, NULL);
	const char *request = NULL;
	int64_t epoch = -1;

	return object && cb_field_string(object, "request", &request, NULL) &&
	       cb_field_integer(object, "epoch", 0, INT64_MAX, &epoch, NULL) &&
	       request && !strcmp(request, exchange->request) &&
	       (uint64_t)epoch == exchange->epoch;
}

static void open_finish_(void *user_data, cb_failure_t failure,
			 const cb_http_answer_t *answer)
{
	engine_exchange_t *exchange = user_data;

	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(exchange->client, answer);
	if (failure == CB_FAILURE_NONE && !echo_matches_(exchange, answer))
		failure = CB_FAILURE_MISMATCH;
	exchange->listener.done(exchange->listener.user_data, failure);
}

static cb_exchange_t *session_open_(cb_engine_client_t *client,
				    cb_server_t *server,
				    const cb_engine_order_t *order,
				    const cb_engine_listener_t *listener)
{
	engine_exchange_t *exchange =
		engine_exchange_new_(client, order->request, order->epoch,
				     listener);
	cb_http_listener_t http_listener = {
		.done = open_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	return request_post_((engine_client_t *)client, server->address,
			     "/engine/open",
			     json_request_end_(order_format_(order)),
			     &http_listener);
}

static void step_finish_(void *user_data, cb_failure_t failure,
			 const cb_http_answer_t *answer)
{
	engine_exchange_t *exchange = user_data;
	const char *text;
	size_t size_bytes;

	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(exchange->client, answer);
	if (failure == CB_FAILURE_NONE) {
		text = g_bytes_get_data(answer->body, &size_bytes);
		if (!token_deliver_(exchange, text ? text : "", size_bytes))
			failure = CB_FAILURE_MISMATCH;
	}
	if (!exchange->is_cancelled)
		exchange->listener.done(exchange->listener.user_data, failure);
}

static cb_exchange_t *step_start_(cb_engine_client_t *client,
				  cb_server_t *server,
				  const cb_engine_step_t *step,
				  const cb_engine_listener_t *listener)
{
	engine_exchange_t *exchange =
		engine_exchange_new_(client, step->request, step->epoch,
				     listener);
	GString *text = json_request_begin_(step->request, step->epoch);
	cb_http_listener_t http_listener = {
		.done = step_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	exchange->token = step->token;
	exchange->first_layer = step->first_layer;
	exchange->last_layer = step->last_layer;
	int_append_(text, "token", step->token);
	int_append_(text, "first_layer", step->first_layer);
	int_append_(text, "last_layer", step->last_layer);
	string_append_(text, "hidden", step->hidden);
	string_append_(text, "previous", step->previous);
	return request_post_((engine_client_t *)client, server->address,
			     "/engine/step", json_request_end_(text),
			     &http_listener);
}

/* Sends the exported KV cache to the target server. */
static void export_finish_(void *user_data, cb_failure_t failure,
			   const cb_http_answer_t *answer)
{
	engine_exchange_t *exchange = user_data;
	JsonObject *object = NULL;
	const char *kv = NULL;
	const char *text;
	size_t size_bytes;
	GBytes *body;
	cb_http_request_t http_request = {
		.method = "POST",
		.address = exchange->target_address,
		.path = "/engine/import",
		.content_type = "application/json",
		.connection = CB_HTTP_CONNECTION_REUSED,
	};
	cb_http_listener_t http_listener = {
		.done = open_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	if (failure == CB_FAILURE_NONE)
		failure = failure_from_answer_(exchange->client, answer);
	if (failure == CB_FAILURE_NONE && echo_matches_(exchange, answer)) {
		text = g_bytes_get_data(answer->body, &size_bytes);
		object = cb_json_parse_object(exchange->client->parser, text,
					      (int64_t)size_bytes, NULL);
		cb_field_string(object, "kv", &kv, NULL);
	}
	if (!kv) {
		if (failure == CB_FAILURE_NONE)
			failure = CB_FAILURE_MISMATCH;
		exchange->listener.done(exchange->listener.user_data, failure);
		return;
	}
	string_append_(exchange->import_body, "kv", kv);
	body = json_request_end_(g_steal_pointer(&exchange->import_body));
	exchange->epoch = exchange->token;
	http_request.body = body;
	cb_http_exchange_continue(exchange->handle, &http_request,
				  &http_listener);
	g_bytes_unref(body);
}

static cb_exchange_t *session_move_(cb_engine_client_t *client,
				    cb_server_t *from, cb_server_t *to,
				    const cb_engine_order_t *order,
				    const cb_engine_listener_t *listener)
{
	/* The session to cancel was opened under the previous epoch. */
	engine_exchange_t *exchange =
		engine_exchange_new_(client, order->request, order->epoch - 1,
				     listener);
	cb_http_listener_t http_listener = {
		.done = export_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	exchange->token = order->epoch;
	exchange->import_body = order_format_(order);
	exchange->target_address = g_strdup(to->address);
	exchange->handle = request_post_(
		(engine_client_t *)client, from->address, "/engine/export",
		json_request_end_(
			json_request_begin_(order->request, order->epoch - 1)),
		&http_listener);
	return exchange->handle;
}

static void probe_finish_(void *user_data, cb_failure_t failure,
			  const cb_http_answer_t *answer)
{
	engine_exchange_t *exchange = user_data;

	if (failure == CB_FAILURE_NONE && answer->status != STATUS_OK)
		failure = CB_FAILURE_REFUSED;
	exchange->listener.done(exchange->listener.user_data, failure);
}

static cb_exchange_t *engine_probe_(cb_engine_client_t *client,
				    cb_server_t *server,
				    const cb_engine_listener_t *listener)
{
	engine_exchange_t *exchange =
		engine_exchange_new_(client, "", 0, listener);
	cb_http_request_t http_request = {
		.method = "GET",
		.address = server->address,
		.path = "/engine/health",
		.connection = CB_HTTP_CONNECTION_NEW,
	};
	cb_http_listener_t http_listener = {
		.done = probe_finish_,
		.user_data = exchange,
		.user_data_free = engine_exchange_delete_,
	};

	return cb_http_exchange_start(((engine_client_t *)client)->http,
				      &http_request, &http_listener);
}

static void answer_ignore_(void *user_data, cb_failure_t failure,
			   const cb_http_answer_t *answer)
{
	(void)user_data;
	(void)failure;
	(void)answer;
}

static void session_drop_(cb_engine_client_t *client, cb_server_t *server,
			  const char *request, uint64_t epoch)
{
	cb_http_listener_t ignored_listener = { .done = answer_ignore_ };
	GBytes *body = json_request_end_(json_request_begin_(request, epoch));
	cb_http_request_t http_request = {
		.method = "POST",
		.address = server->address,
		.path = "/engine/cancel",
		.content_type = "application/json",
		.body = body,
	};

	cb_http_exchange_start(((engine_client_t *)client)->drop_http,
			       &http_request, &ignored_listener);
	g_bytes_unref(body);
}

static void exchange_cancel_(cb_engine_client_t *client,
			     cb_exchange_t *exchange)
{
	engine_exchange_t *engine_exchange =
		cb_http_exchange_user_data(exchange);

	(void)client;
	engine_exchange->is_cancelled = TRUE;
	cb_http_exchange_cancel(exchange);
}

/*
 * Creates a client that sends orders to engines over HTTP, in the main loop of
 * `context`; NULL means the default context.  `read_hooks` may be NULL.
 */
cb_engine_client_t *cb_http_engine_client_new(
	GMainContext *context, cb_clock_t *clock,
	const cb_http_read_hooks_t *read_hooks)
{
	static const cb_engine_client_vtable_t vtable = {
		.stream = stream_start_,
		.open = session_open_,
		.step = step_start_,
		.move = session_move_,
		.probe = engine_probe_,
		.drop = session_drop_,
		.cancel = exchange_cancel_,
	};
	engine_client_t *client = g_new0(engine_client_t, 1);

	client->base.vtable = &vtable;
	client->http = cb_http_client_new(context, clock, read_hooks);
	client->drop_http = cb_http_client_new(context, clock, NULL);
	cb_http_client_set_io_timeout(client->drop_http, DROP_TIMEOUT_MS);
	client->parser = json_parser_new_immutable();
	return &client->base;
}

/*
 * Deletes the client; its open exchanges end without a call of `done`.  NULL
 * is allowed.
 */
void cb_http_engine_client_delete(cb_engine_client_t *base)
{
	engine_client_t *client = (engine_client_t *)base;

	if (!client)
		return;
	cb_http_client_delete(client->drop_http);
	cb_http_client_delete(client->http);
	g_object_unref(client->parser);
	g_free(client);
}
