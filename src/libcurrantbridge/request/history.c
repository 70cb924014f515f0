#include "currantbridge/history.h"

#include <json-glib/json-glib.h>

/* Writes each event as one JSON line. */
typedef struct json_history {
	cb_history_t history;
	cb_clock_t *clock;
	FILE *stream;
} json_history_t;

const char *const cb_history_kind_string[CB_HISTORY_KIND_COUNT] = {
	[CB_HISTORY_ORDER] = "order",	  [CB_HISTORY_RUN] = "run",
	[CB_HISTORY_EFFECT] = "effect",	  [CB_HISTORY_EPOCH] = "epoch",
	[CB_HISTORY_DELIVER] = "deliver", [CB_HISTORY_END] = "end",
	[CB_HISTORY_LEAVING] = "leaving",
};

static void string_member_add_(JsonObject *object, const char *name,
			       const char *text)
{
	if (text)
		json_object_set_string_member(object, name, text);
}

static JsonNode *event_node_new_(const cb_history_event_t *event, int64_t at_ms)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_object_set_int_member(object, "at_ms", at_ms);
	string_member_add_(object, "kind", cb_history_kind_string[event->kind]);
	string_member_add_(object, "request", event->request);
	string_member_add_(object, "workspace", event->workspace);
	string_member_add_(object, "server", event->server);
	string_member_add_(object, "key", event->key);
	string_member_add_(object, "text", event->text);
	string_member_add_(object, "refusal", event->refusal);
	string_member_add_(object, "executed", event->executed);
	json_object_set_int_member(object, "epoch", (int64_t)event->epoch);
	json_object_set_int_member(object, "token", (int64_t)event->token);
	json_object_set_int_member(object, "first_layer", event->first_layer);
	json_object_set_int_member(object, "last_layer", event->last_layer);
	json_node_take_object(node, object);
	return node;
}

static void json_record_(cb_history_t *history, const cb_history_event_t *event)
{
	json_history_t *json = (json_history_t *)history;
	JsonNode *node = event_node_new_(event, cb_clock_now_ms(json->clock));
	char *text = json_to_string(node, FALSE);

	fprintf(json->stream, "%s\n", text);
	g_free(text);
	json_node_unref(node);
}

static void json_destroy_(cb_history_t *history)
{
	g_free(history);
}

static const cb_history_vtable_t json_vtable = {
	.record = json_record_,
	.destroy = json_destroy_,
};

/* Creates a history that writes JSON lines to `stream`; never closes it. */
cb_history_t *cb_history_new(cb_clock_t *clock, FILE *stream)
{
	json_history_t *json = g_new0(json_history_t, 1);

	json->history.vtable = &json_vtable;
	json->clock = clock;
	json->stream = stream;
	return &json->history;
}

/* Deletes a history; NULL is allowed. */
void cb_history_delete(cb_history_t *history)
{
	if (history)
		history->vtable->destroy(history);
}

/* Records an event; a NULL history drops it. */
void cb_history_record(cb_history_t *history, const cb_history_event_t *event)
{
	if (history)
		history->vtable->record(history, event);
}
