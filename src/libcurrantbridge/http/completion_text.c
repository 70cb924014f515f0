#include "private/completion_text.h"

#include "currantbridge/json_fields.h"

/* What differs between the two kinds of completion. */
typedef struct shape {
	const char *id_prefix;
	const char *whole_object;
	const char *chunk_object;
	const char *token_open; /* before and after a token's text */
	const char *token_close;
	const char *end_open; /* before a stream's finish reason */
	const char *whole_open;
	const char *whole_close;
} shape_t;

static const shape_t shapes[] = {
	[CB_COMPLETION_TEXT] = {
		.id_prefix = "cmpl-",
		.whole_object = "text_completion",
		.chunk_object = "text_completion",
		.token_open = "\"text\":",
		.token_close = "",
		.end_open = "\"text\":\"\"",
		.whole_open = "\"text\":",
		.whole_close = "",
	},
	[CB_COMPLETION_CHAT] = {
		.id_prefix = "chatcmpl-",
		.whole_object = "chat.completion",
		.chunk_object = "chat.completion.chunk",
		.token_open = "\"delta\":{\"content\":",
		.token_close = "}",
		.end_open = "\"delta\":{}",
		.whole_open = "\"message\":{\"role\":\"assistant\",\"content\":",
		.whole_close = "}",
	},
};

struct cb_completion_text {
	const shape_t *shape;
	char *identity; /* the members that every object of the answer has */
	GString *head;	/* of each chunk, up to the token's text */
};

/* Makes the texts of an answer; `created_s` is in seconds since 1970. */
cb_completion_text_t *cb_completion_text_new(cb_completion_kind_t kind,
					     const char *id, const char *model,
					     int64_t created_s)
{
	cb_completion_text_t *text = g_new0(cb_completion_text_t, 1);
	GString *identity = g_string_new("\"id\":");
	char *prefixed;

	text->shape = &shapes[kind];
	prefixed = g_strconcat(text->shape->id_prefix, id, NULL);
	cb_json_append_string(identity, prefixed);
	g_string_append(identity, ",\"model\":");
	cb_json_append_string(identity, model);
	g_string_append_printf(identity, ",\"created\":%" G_GINT64_FORMAT,
			       created_s);
	text->identity = g_string_free(identity, FALSE);
	text->head = g_string_new(NULL);
	g_string_append_printf(text->head,
			       "data: {%s,\"object\":\"%s\",\"choices\":[{"
			       "\"index\":0,",
			       text->identity, text->shape->chunk_object);
	g_free(prefixed);
	return text;
}

/* Deletes the texts; NULL is allowed. */
void cb_completion_text_delete(cb_completion_text_t *text)
{
	if (!text)
		return;
	g_free(text->identity);
	g_string_free(text->head, TRUE);
	g_free(text);
}

/* Appends one token's chunk of a stream. */
void cb_completion_text_token(const cb_completion_text_t *text, GString *out,
			      const char *token)
{
	g_string_append_len(out, text->head->str, (gssize)text->head->len);
	g_string_append(out, text->shape->token_open);
	cb_json_append_string(out, token);
	g_string_append(out, text->shape->token_close);
	g_string_append(out, ",\"finish_reason\":null}]}\n\n");
}

/* Appends a whole stream's last chunk and its end. */
void cb_completion_text_end(const cb_completion_text_t *text, GString *out,
			    const char *finish_reason)
{
	g_string_append_len(out, text->head->str, (gssize)text->head->len);
	g_string_append_printf(out,
			       "%s,\"finish_reason\":\"%s\"}]}\n\n"
			       "data: [DONE]\n\n",
			       text->shape->end_open, finish_reason);
}

/* Appends an answer that is not streamed. */
void cb_completion_text_whole(const cb_completion_text_t *text, GString *out,
			      const char *content, const char *finish_reason,
			      uint64_t token_count)
{
	g_string_append_printf(out,
			       "{%s,\"object\":\"%s\",\"choices\":[{"
			       "\"index\":0,%s",
			       text->identity, text->shape->whole_object,
			       text->shape->whole_open);
	cb_json_append_string(out, content);
	g_string_append_printf(out,
			       "%s,\"finish_reason\":\"%s\"}],\"usage\":{"
			       "\"completion_tokens\":%" G_GUINT64_FORMAT "}}",
			       text->shape->whole_close, finish_reason,
			       token_count);
}
