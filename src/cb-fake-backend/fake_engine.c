#include "fake_backend.h"

#include <string.h>

#include "fake_model.h"

/* A session is deleted after this time without a step. */
#define SESSION_IDLE_MS 30000

/* The engine.  A session stands for the KV cache of one request. */
typedef struct engine {
	cb_service_t service;
	fake_backend_t *backend;
	GHashTable *sessions; /* request ID -> session_t */
	/* Request ID -> newest epoch of the request, int64_t *. */
	GHashTable *epochs;
} engine_t;

typedef struct session {
	engine_t *engine;
	char *request;
	int64_t epoch;
	char *prompt;
	char *previous; /* text of the last token in the KV cache, or NULL */
	uint64_t next_token;
	uint64_t token_count; /* number of tokens in the complete answer */
	gboolean is_stepping;
	cb_timer_t *timer;
	/* The HTTP message of the stream or step in progress. */
	SoupServerMessage *message;
	/* JSON body of the step in progress, or NULL. */
	JsonObject *step_request;
	gulong disconnect_handler;
} session_t;

static void message_release_(session_t *session)
{
	if (!session->message)
		return;
	g_signal_handler_disconnect(session->message,
				    session->disconnect_handler);
	g_clear_object(&session->message);
}

/*
 * Deletes a session.  A step in progress is answered with "fenced"; the body
 * of a stream is ended.
 */
static void session_delete_(void *data)
{
	session_t *session = data;
	SoupServerMessage *message = NULL;

	if (session->message)
		message = g_object_ref(session->message);
	message_release_(session);
	if (message && session->step_request) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "fenced");
		soup_server_message_unpause(message);
	} else if (message) {
		soup_message_body_complete(
			soup_server_message_get_response_body(message));
		soup_server_message_unpause(message);
	}
	g_clear_object(&message);
	session->engine->backend->running_count--;
	cb_timer_delete(session->timer);
	g_clear_pointer(&session->step_request, json_object_unref);
	g_free(session->request);
	g_free(session->prompt);
	g_free(session->previous);
	g_free(session);
}

static void session_end_(session_t *session)
{
	g_hash_table_remove(session->engine->sessions, session->request);
}

static void message_handle_disconnect_(SoupServerMessage *message,
				       void *user_data)
{
	session_t *session = user_data;
	gboolean is_stream = !session->step_request;

	(void)message;
	message_release_(session);
	if (is_stream) {
		session_end_(session);
		return;
	}
	cb_timer_stop(session->timer);
	session_end_(session);
}

/* Pauses a message until the session answers it. */
static void message_pause_(session_t *session, SoupServerMessage *message)
{
	session->message = g_object_ref(message);
	session->disconnect_handler =
		g_signal_connect(message, "disconnected",
				 G_CALLBACK(message_handle_disconnect_),
				 session);
	soup_server_message_pause(message);
}

static void session_log_layers_(session_t *session, uint64_t token)
{
	fake_backend_t *backend = session->engine->backend;
	JsonObject *line;

	if (!backend->effect_log)
		return;
	line = json_object_new();
	json_object_set_string_member(line, "kind", "layer");
	json_object_set_string_member(line, "request", session->request);
	json_object_set_int_member(line, "epoch", session->epoch);
	json_object_set_int_member(line, "token", (int64_t)token);
	json_object_set_int_member(line, "first_layer",
				   backend->options->first_layer);
	json_object_set_int_member(line, "last_layer",
				   backend->options->last_layer);
	fake_backend_log_effect(backend, line);
}

static gboolean engine_holds_last_layer_(const engine_t *engine)
{
	const fake_options_t *options = engine->backend->options;

	return options->last_layer == options->layer_count - 1;
}

/*
 * Runs this engine's layers for the session's next token.  `hidden` is the
 * state before them; an engine with layer 0 ignores it.  Returns the hidden
 * state after them.
 */
static char *token_run_layers_(session_t *session, const char *hidden)
{
	const fake_options_t *options = session->engine->backend->options;
	uint64_t token = session->next_token;
	char *begin = NULL;
	char *end;

	if (!options->first_layer)
		begin = fake_model_initial_state(session->prompt, token,
						 session->previous);
	end = fake_model_run_layers(begin ? begin : hidden,
				    (uint32_t)options->first_layer,
				    (uint32_t)options->last_layer);
	g_free(begin);
	session_log_layers_(session, token);
	session->next_token++;
	fake_backend_count_execution(session->engine->backend);
	return end;
}

/* Sends a stream's next token and starts the timer for the one after it. */
static void stream_send_token_(session_t *session)
{
	SoupMessageBody *body =
		soup_server_message_get_response_body(session->message);
	JsonObject *line = json_object_new();
	uint64_t token = session->next_token;
	gboolean is_last = token + 1 >= session->token_count;
	char *hidden = token_run_layers_(session, NULL);
	char *text;
	char *text_line;

	g_free(session->previous);
	session->previous = g_strconcat(hidden, " ", NULL);
	json_object_set_string_member(line, "request", session->request);
	json_object_set_int_member(line, "epoch", session->epoch);
	json_object_set_int_member(line, "token", (int64_t)token);
	json_object_set_string_member(line, "text", session->previous);
	json_object_set_boolean_member(line, "last", is_last);
	text = fake_json_to_text(line);
	text_line = g_strconcat(text, "\n", NULL);
	soup_message_body_append(body, SOUP_MEMORY_TAKE, text_line,
				 strlen(text_line));
	soup_server_message_unpause(session->message);
	g_free(text);
	g_free(hidden);
	json_object_unref(line);
	if (is_last)
		session_end_(session);
	else
		cb_timer_start(session->timer,
			       session->engine->backend->options->token_ms);
}

/* Runs and answers the step in progress. */
static void step_answer_(session_t *session)
{
	SoupServerMessage *message = g_object_ref(session->message);
	const fake_options_t *options = session->engine->backend->options;
	JsonObject *result = json_object_new();
	uint64_t token = session->next_token;
	gboolean is_last = token + 1 >= session->token_count;
	char *hidden = token_run_layers_(
		session, fake_member_string(session->step_request, "hidden"));
	char *text;

	json_object_set_string_member(result, "request", session->request);
	json_object_set_int_member(result, "epoch", session->epoch);
	json_object_set_int_member(result, "token", (int64_t)token);
	json_object_set_int_member(result, "first_layer", options->first_layer);
	json_object_set_int_member(result, "last_layer", options->last_layer);
	if (engine_holds_last_layer_(session->engine)) {
		text = g_strconcat(hidden, " ", NULL);
		json_object_set_string_member(result, "text", text);
		json_object_set_boolean_member(result, "last", is_last);
		g_free(text);
	} else {
		json_object_set_string_member(result, "hidden", hidden);
	}
	g_free(hidden);
	message_release_(session);
	g_clear_pointer(&session->step_request, json_object_unref);
	fake_reply(message, SOUP_STATUS_OK, result);
	soup_server_message_unpause(message);
	g_object_unref(message);
	if (is_last)
		session_end_(session);
	else
		cb_timer_start(session->timer, SESSION_IDLE_MS);
}

static void session_handle_timer_(void *user_data)
{
	session_t *session = user_data;

	if (fake_backend_is_silent(session->engine->backend))
		return;
	if (session->step_request)
		step_answer_(session);
	else if (session->message)
		stream_send_token_(session);
	else
		session_end_(session);
}

/* Continues a session after the tokens in the field `delivered`. */
static void session_apply_delivered_(session_t *session, JsonObject *body)
{
	JsonArray *delivered;
	unsigned int count;

	if (!json_object_has_member(body, "delivered"))
		return;
	delivered = json_object_get_array_member(body, "delivered");
	count = json_array_get_length(delivered);
	session->next_token = count;
	if (count)
		session->previous = g_strdup(
			json_array_get_string_element(delivered, count - 1));
}

/*
 * Returns TRUE if a request's epoch is older than its newest one, else
 * records the epoch and returns FALSE.
 */
static gboolean epoch_check_and_record_(engine_t *engine, const char *request,
					int64_t epoch)
{
	int64_t *newest = g_hash_table_lookup(engine->epochs, request);

	if (newest && epoch < *newest)
		return TRUE;
	if (newest) {
		*newest = epoch;
		return FALSE;
	}
	newest = g_new(int64_t, 1);
	*newest = epoch;
	g_hash_table_insert(engine->epochs, g_strdup(request), newest);
	return FALSE;
}

/*
 * Creates a session from the body of an open, stream or import, replacing the
 * one of the same request.  Answers with an error and returns NULL if the body
 * is malformed or fenced, or the engine has no free slot.
 */
static session_t *session_new_(engine_t *engine, SoupServerMessage *message,
			       JsonObject *body)
{
	fake_backend_t *backend = engine->backend;
	const char *request = fake_member_string(body, "request");
	const char *prompt = fake_member_string(body, "prompt");
	int64_t epoch = fake_member_int(body, "epoch");
	int64_t max_tokens = fake_member_int(body, "max_tokens");
	session_t *session;

	if (!request || !prompt || max_tokens < 1) {
		fake_reply_error(message, SOUP_STATUS_BAD_REQUEST, "malformed");
		return NULL;
	}
	fake_backend_crash_on_match(backend, prompt);
	if (epoch_check_and_record_(engine, request, epoch)) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "fenced");
		return NULL;
	}
	g_hash_table_remove(engine->sessions, request);
	if (backend->running_count >= backend->options->capacity) {
		fake_reply_error(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
				 "busy");
		return NULL;
	}
	session = g_new0(session_t, 1);
	session->engine = engine;
	session->request = g_strdup(request);
	session->prompt = g_strdup(prompt);
	session->epoch = epoch;
	session->token_count =
		fake_model_token_count(prompt, (uint64_t)max_tokens);
	session->timer = cb_timer_new(cb_kernel_clock(backend->kernel),
				      session_handle_timer_, session);
	session_apply_delivered_(session, body);
	backend->running_count++;
	g_hash_table_insert(engine->sessions, session->request, session);
	return session;
}

static void session_reply_opened_(SoupServerMessage *message,
				  session_t *session)
{
	JsonObject *answer = json_object_new();

	json_object_set_string_member(answer, "request", session->request);
	json_object_set_int_member(answer, "epoch", session->epoch);
	fake_reply(message, SOUP_STATUS_OK, answer);
}

static void open_request_handle_(engine_t *engine, SoupServerMessage *message,
				 JsonObject *body)
{
	session_t *session = session_new_(engine, message, body);

	if (!session)
		return;
	cb_timer_start(session->timer, SESSION_IDLE_MS);
	session_reply_opened_(message, session);
}

static void stream_handle_(engine_t *engine, SoupServerMessage *message,
			   JsonObject *body)
{
	session_t *session;

	session = session_new_(engine, message, body);
	if (!session)
		return;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_headers_set_content_type(
		soup_server_message_get_response_headers(message),
		"application/x-ndjson", NULL);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(
						 message),
					 FALSE);
	message_pause_(session, message);
	if (session->next_token >= session->token_count) {
		session_end_(session);
		return;
	}
	cb_timer_start(session->timer, engine->backend->options->token_ms);
}

/*
 * Returns the session that a body names.  Answers with an error and returns
 * NULL if there is none of this epoch.
 */
static session_t *session_find_(engine_t *engine, SoupServerMessage *message,
				JsonObject *body)
{
	const char *request = fake_member_string(body, "request");
	int64_t epoch = fake_member_int(body, "epoch");
	session_t *session = NULL;

	if (request)
		session = g_hash_table_lookup(engine->sessions, request);
	if (!session || session->epoch < epoch) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "no_context");
		return NULL;
	}
	if (session->epoch > epoch) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "fenced");
		return NULL;
	}
	return session;
}

static void step_handle_(engine_t *engine, SoupServerMessage *message,
			 JsonObject *step)
{
	session_t *session = session_find_(engine, message, step);
	const fake_options_t *options = engine->backend->options;
	const char *previous = fake_member_string(step, "previous");
	int64_t token = fake_member_int(step, "token");

	if (!session)
		return;
	if (fake_member_int(step, "first_layer") != options->first_layer ||
	    fake_member_int(step, "last_layer") != options->last_layer ||
	    (options->first_layer && !fake_member_string(step, "hidden"))) {
		fake_reply_error(message, SOUP_STATUS_BAD_REQUEST, "malformed");
		return;
	}
	if (session->message || (uint64_t)token < session->next_token) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "fenced");
		return;
	}
	if ((uint64_t)token > session->next_token) {
		fake_reply_error(message, SOUP_STATUS_CONFLICT, "no_context");
		return;
	}
	if (previous) {
		g_free(session->previous);
		session->previous = g_strdup(previous);
	}
	session->step_request = json_object_ref(step);
	message_pause_(session, message);
	cb_timer_start(session->timer, options->token_ms);
}

static void cancel_handle_(engine_t *engine, SoupServerMessage *message,
			   JsonObject *body)
{
	const char *request = fake_member_string(body, "request");
	int64_t epoch = fake_member_int(body, "epoch");
	session_t *session = NULL;

	if (request) {
		session = g_hash_table_lookup(engine->sessions, request);
		/* Later messages of the cancelled epoch are then rejected. */
		epoch_check_and_record_(engine, request, epoch + 1);
	}
	if (session && session->epoch <= epoch)
		session_end_(session);
	fake_reply(message, SOUP_STATUS_OK, json_object_new());
}

static void export_handle_(engine_t *engine, SoupServerMessage *message,
			   JsonObject *body)
{
	session_t *session = session_find_(engine, message, body);
	JsonObject *answer;

	if (!session)
		return;
	answer = json_object_new();
	json_object_set_string_member(answer, "request", session->request);
	json_object_set_int_member(answer, "epoch", session->epoch);
	json_object_set_int_member(answer, "tokens",
				   (int64_t)session->next_token);
	json_object_set_string_member(answer, "kv",
				      session->previous ? session->previous :
							  "");
	fake_reply(message, SOUP_STATUS_OK, answer);
}

static void import_handle_(engine_t *engine, SoupServerMessage *message,
			   JsonObject *body)
{
	session_t *session;

	if (!fake_member_string(body, "kv")) {
		fake_reply_error(message, SOUP_STATUS_BAD_REQUEST, "malformed");
		return;
	}
	session = session_new_(engine, message, body);
	if (!session)
		return;
	cb_timer_start(session->timer, SESSION_IDLE_MS);
	session_reply_opened_(message, session);
}

typedef void (*body_handle_fn_t)(engine_t *engine, SoupServerMessage *message,
				 JsonObject *body);

static const struct {
	const char *path;
	body_handle_fn_t handle;
} handler_table[] = {
	{ "/engine/stream", stream_handle_ },
	{ "/engine/open", open_request_handle_ },
	{ "/engine/step", step_handle_ },
	{ "/engine/cancel", cancel_handle_ },
	{ "/engine/export", export_handle_ },
	{ "/engine/import", import_handle_ },
};

static void engine_handle_(SoupServer *soup, SoupServerMessage *message,
			   const char *path, GHashTable *query, void *user_data)
{
	engine_t *engine = user_data;
	JsonObject *body;
	size_t i;

	(void)soup;
	(void)query;
	if (fake_backend_is_silent(engine->backend)) {
		soup_server_message_pause(message);
		return;
	}
	if (!strcmp(path, "/engine/health")) {
		fake_reply(message, SOUP_STATUS_OK, json_object_new());
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(handler_table); i++) {
		if (strcmp(path, handler_table[i].path))
			continue;
		body = fake_request_parse(message);
		if (!body)
			return;
		handler_table[i].handle(engine, message, body);
		json_object_unref(body);
		return;
	}
	fake_reply_error(message, SOUP_STATUS_NOT_FOUND, "malformed");
}

static void engine_destroy_(cb_service_t *service)
{
	engine_t *engine = (engine_t *)service;

	g_hash_table_unref(engine->sessions);
	g_hash_table_unref(engine->epochs);
	g_free(engine);
}

static const cb_service_vtable_t engine_vtable = {
	.destroy = engine_destroy_,
};

/* Creates the engine of the fake backend. */
cb_service_t *fake_engine_new(fake_backend_t *backend)
{
	engine_t *engine = g_new0(engine_t, 1);

	engine->service.vtable = &engine_vtable;
	engine->backend = backend;
	engine->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 session_delete_);
	engine->epochs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soup_server_add_handler(cb_http_server_soup(backend->http), "/engine",
				engine_handle_, engine, NULL);
	return &engine->service;
}
