#include "fake_backend.h"

#include <string.h>

#include "fake_model.h"

/* The plain service, which executes each call that it receives. */
typedef struct plain_service {
	cb_service_t service;
	fake_backend_t *backend;
	/*
	 * Idempotency key -> key_record_t; empty unless the server checks
	 * fencing.
	 */
	GHashTable *keys;
} plain_service_t;

/* What a server that checks fencing stores about an idempotency key. */
typedef struct key_record {
	int64_t fencing; /* newest fencing number of the key */
	/* JSON text of the answer; NULL until the call was executed. */
	char *answer;
} key_record_t;

/* A call of the plain service, in progress. */
typedef struct call {
	plain_service_t *plain;
	SoupServerMessage *message;
	char *path;
	char *key;	 /* idempotency key of the call, or NULL */
	int64_t fencing; /* fencing number of the call; 0: none */
	gboolean is_executed;
	cb_timer_t *timer;
} call_t;

static void key_record_delete_(void *data)
{
	key_record_t *record = data;

	g_free(record->answer);
	g_free(record);
}

static key_record_t *key_record_get_(plain_service_t *plain, const char *key)
{
	key_record_t *record = g_hash_table_lookup(plain->keys, key);

	if (!record) {
		record = g_new0(key_record_t, 1);
		g_hash_table_insert(plain->keys, g_strdup(key), record);
	}
	return record;
}

static void fence_log_(plain_service_t *plain, const char *key, int64_t fencing)
{
	JsonObject *line = json_object_new();

	json_object_set_string_member(line, "kind", "fence");
	json_object_set_string_member(line, "key", key);
	json_object_set_int_member(line, "fencing", fencing);
	fake_backend_log_effect(plain->backend, line);
}

static void call_log_(const call_t *call, const char *answer)
{
	const char *method = soup_server_message_get_method(call->message);
	JsonObject *line = json_object_new();

	json_object_set_string_member(line, "kind", "call");
	json_object_set_string_member(line, "key", call->key ? call->key : "");
	json_object_set_string_member(line, "method", method);
	json_object_set_string_member(line, "path", call->path);
	json_object_set_int_member(line, "fencing", call->fencing);
	json_object_set_string_member(line, "answer", answer);
	fake_backend_log_effect(call->plain->backend, line);
}

/* Returns the JSON text of a call's answer, which describes the execution. */
static char *call_make_answer_(const call_t *call)
{
	SoupMessageBody *request =
		soup_server_message_get_request_body(call->message);
	JsonObject *answer = json_object_new();
	char *body = g_strndup(request->data ? request->data : "",
			       (size_t)request->length);
	char *hash = fake_model_hash(body);
	char *text;

	json_object_set_string_member(answer, "server",
				      call->plain->backend->options->name);
	json_object_set_string_member(answer, "path", call->path);
	json_object_set_string_member(answer, "body_hash", hash);
	json_object_set_int_member(answer, "effect",
				   call->plain->backend->executed_count + 1);
	text = fake_json_to_text(answer);
	json_object_unref(answer);
	g_free(hash);
	g_free(body);
	return text;
}

/*
 * Returns whether the call must not be executed, because its key has a newer
 * fencing number or has been executed already.
 */
static gboolean call_is_fenced_(const call_t *call)
{
	key_record_t *record;

	if (!call->plain->backend->checks_fencing || !call->key)
		return FALSE;
	record = key_record_get_(call->plain, call->key);
	return record->answer || call->fencing < record->fencing;
}

static void call_execute_(call_t *call)
{
	plain_service_t *plain = call->plain;
	char *answer = call_make_answer_(call);
	key_record_t *record;

	call_log_(call, answer);
	fake_backend_count_execution(plain->backend);
	if (plain->backend->checks_fencing && call->key) {
		record = key_record_get_(plain, call->key);
		record->fencing = call->fencing;
		record->answer = g_strdup(answer);
	}
	soup_server_message_set_status(call->message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(call->message, "application/json",
					 SOUP_MEMORY_TAKE, answer,
					 strlen(answer));
}

/*
 * Called first to execute a call and again, after --answer-ms, to answer it.
 * A fenced call is answered at once.
 */
static void call_handle_timer_(void *user_data)
{
	call_t *call = user_data;

	if (!call->is_executed && call_is_fenced_(call)) {
		fake_reply_error(call->message, SOUP_STATUS_CONFLICT, "fenced");
	} else if (!call->is_executed) {
		call_execute_(call);
		call->is_executed = TRUE;
		cb_timer_start(call->timer,
			       call->plain->backend->options->answer_ms);
		return;
	}
	call->plain->backend->running_count--;
	if (!fake_backend_is_silent(call->plain->backend))
		soup_server_message_unpause(call->message);
	cb_timer_delete(call->timer);
	g_object_unref(call->message);
	g_free(call->path);
	g_free(call->key);
	g_free(call);
}

static void call_start_(plain_service_t *plain, SoupServerMessage *message,
			const char *path)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	const char *fencing =
		soup_message_headers_get_one(headers, "X-Fencing");
	call_t *call;

	fake_backend_crash_on_match(plain->backend, body->data);
	if (plain->backend->running_count >=
	    plain->backend->options->capacity) {
		fake_reply_error(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
				 "busy");
		return;
	}
	call = g_new0(call_t, 1);
	call->plain = plain;
	call->message = g_object_ref(message);
	call->path = g_strdup(path);
	call->key = g_strdup(
		soup_message_headers_get_one(headers, "Idempotency-Key"));
	call->fencing = fencing ? g_ascii_strtoll(fencing, NULL, 10) : 0;
	call->timer = cb_timer_new(cb_kernel_clock(plain->backend->kernel),
				   call_handle_timer_, call);
	plain->backend->running_count++;
	soup_server_message_pause(message);
	cb_timer_start(call->timer, plain->backend->options->token_ms);
}

/* Records a fencing number and answers whether the key was executed. */
static void fence_handle_(plain_service_t *plain, SoupServerMessage *message)
{
	JsonObject *body = fake_request_parse(message);
	JsonObject *answer;
	key_record_t *record;
	const char *key;

	if (!body)
		return;
	key = fake_member_string(body, "key");
	if (!key || !plain->backend->checks_fencing) {
		fake_reply_error(message, SOUP_STATUS_BAD_REQUEST, "malformed");
		json_object_unref(body);
		return;
	}
	record = key_record_get_(plain, key);
	record->fencing =
		MAX(record->fencing, fake_member_int(body, "fencing"));
	fence_log_(plain, key, record->fencing);
	answer = json_object_new();
	json_object_set_string_member(answer, "executed",
				      record->answer ? "yes" : "no");
	if (record->answer) {
		json_object_set_int_member(answer, "status", SOUP_STATUS_OK);
		json_object_set_string_member(answer, "content_type",
					      "application/json");
		json_object_set_string_member(answer, "body", record->answer);
	}
	fake_reply(message, SOUP_STATUS_OK, answer);
	json_object_unref(body);
}

static void service_handle_(SoupServer *soup, SoupServerMessage *message,
			    const char *path, GHashTable *query,
			    void *user_data)
{
	plain_service_t *plain = user_data;

	(void)soup;
	(void)query;
	if (fake_backend_is_silent(plain->backend)) {
		soup_server_message_pause(message);
		return;
	}
	if (!strcmp(path, "/service/fence"))
		fence_handle_(plain, message);
	else if (!strcmp(path, "/engine/health"))
		fake_reply(message, SOUP_STATUS_OK, json_object_new());
	else
		call_start_(plain, message, path);
}

/* Restores a key from one line of the effect log of an earlier run. */
static void key_restore_(plain_service_t *plain, const char *text)
{
	JsonParser *parser = json_parser_new();
	JsonObject *line;
	key_record_t *record;
	const char *key;

	if (!json_parser_load_from_data(parser, text, -1, NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		goto out;
	line = json_node_get_object(json_parser_get_root(parser));
	key = fake_member_string(line, "key");
	if (!key || !*key)
		goto out;
	record = key_record_get_(plain, key);
	record->fencing =
		MAX(record->fencing, fake_member_int(line, "fencing"));
	if (!record->answer)
		record->answer = g_strdup(fake_member_string(line, "answer"));
out:
	g_object_unref(parser);
}

/*
 * Restores the keys from the effect log, because a server that checks fencing
 * must know them after a restart.
 */
static void keys_restore_(plain_service_t *plain)
{
	const char *path = plain->backend->options->effect_log_path;
	char *text;
	char **lines;
	char **line;

	if (!path || !g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (line = lines; *line; line++)
		if (**line)
			key_restore_(plain, *line);
	g_strfreev(lines);
	g_free(text);
}

static void service_destroy_(cb_service_t *service)
{
	plain_service_t *plain = (plain_service_t *)service;

	g_hash_table_unref(plain->keys);
	g_free(plain);
}

static const cb_service_vtable_t plain_service_vtable = {
	.destroy = service_destroy_,
};

/* Creates the plain service of the fake backend. */
cb_service_t *fake_service_new(fake_backend_t *backend)
{
	plain_service_t *plain = g_new0(plain_service_t, 1);

	plain->service.vtable = &plain_service_vtable;
	plain->backend = backend;
	plain->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    key_record_delete_);
	if (backend->checks_fencing)
		keys_restore_(plain);
	soup_server_add_handler(cb_http_server_soup(backend->http), NULL,
				service_handle_, plain, NULL);
	return &plain->service;
}
