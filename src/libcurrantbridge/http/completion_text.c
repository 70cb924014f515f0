#include "private/completion_text.h"

#include "currantbridge/json_fields.h"

/* The JSON parts in which the kinds of completion differ. */
typedef struct completion_format {
	const char *id_prefix;
	const char *object_name;
	const char *chunk_object_name;
	/* JSON that precedes the text of a token. */
	const char *chunk_text_prefix;
	const char *chunk_text_suffix;
	/* JSON of the empty text in the last chunk. */
	const char *end_chunk_content;
	/* JSON that precedes the text of a complete answer. */
	const char *text_prefix;
	const char *text_suffix;
} completion_format_t;

static const completion_format_t completion_formats[] = {
	[CB_COMPLETION_TEXT] = {
		.id_prefix = "cmpl-",
		.object_name = "text_completion",
		.chunk_object_name = "text_completion",
		.chunk_text_prefix = "\"text\":",
		.chunk_text_suffix = "",
		.end_chunk_content = "\"text\":\"\"",
		.text_prefix = "\"text\":",
		.text_suffix = "",
	},
	[CB_COMPLETION_CHAT] = {
		.id_prefix = "chatcmpl-",
		.object_name = "chat.completion",
		.chunk_object_name = "chat.completion.chunk",
		.chunk_text_prefix = "\"delta\":{\"content\":",
		.chunk_text_suffix = "}",
		.end_chunk_content = "\"delta\":{}",
		.text_prefix = "\"message\":{\"role\":\"assistant\",\"content\":",
		.text_suffix = "}",
	},
};

struct cb_completion_text {
	const completion_format_t *format;
	char *common_members; /* JSON members of every object in the answer */
	GString *chunk_head;  /* start of each event, up to the token's text */
};

/* Creates a formatter; `created_s` is in seconds since 1970. */
cb_completion_text_t *cb_completion_text_new(cb_completion_kind_t kind,
					     const char *id, const char *model,
					     int64_t created_s)
{
	cb_completion_text_t *text = g_new0(cb_completion_text_t, 1);
	GString *common_members = g_string_new("\"id\":");
	char *prefixed_id;

	text->format = &completion_formats[kind];
	prefixed_id = g_strconcat(text->format->id_prefix, id, NULL);
	cb_json_append_string(common_members, prefixed_id);
	g_string_append(common_members, ",\"model\":");
	cb_json_append_string(common_members, model);
	g_string_append_printf(common_members, ",\"created\":%" G_GINT64_FORMAT,
			       created_s);
	text->common_members = g_string_free(common_members, FALSE);
	text->chunk_head = g_string_new(NULL);
	g_string_append_printf(text->chunk_head,
			       "data: {%s,\"object\":\"%s\",\"choices\":[{"
			       "\"index\":0,",
			       text->common_members,
			       text->format->chunk_object_name);
	g_free(prefixed_id);
	return text;
}

/* Deletes the formatter; NULL is allowed. */
void cb_completion_text_delete(cb_completion_text_t *text)
{
	if (!text)
		return;
	g_free(text->common_members);
	g_string_free(text->chunk_head, TRUE);
	g_free(text);
}

/* Appends the event for one token of a stream. */
void cb_completion_text_append_token(const cb_completion_text_t *text,
				     GString *out, const char *token)
{
	g_string_append_len(out, text->chunk_head->str,
			    (gssize)text->chunk_head->len);
	g_string_append(out, text->format->chunk_text_prefix);
	cb_json_append_string(out, token);
	g_string_append(out, text->format->chunk_text_suffix);
	g_string_append(out, ",\"finish_reason\":null}]}\n\n");
}

/* Appends the last event of a complete stream and its [DONE] mark. */
void cb_completion_text_append_end(const cb_completion_text_t *text,
				   GString *out, const char *finish_reason)
{
	g_string_append_len(out, text->chunk_head->str,
			    (gssize)text->chunk_head->len);
	g_string_append_printf(out,
			       "%s,\"finish_reason\":\"%s\"}]}\n\n"
			       "data: [DONE]\n\n",
			       text->format->end_chunk_content, finish_reason);
}

/* Appends the JSON object of an answer that is not streamed. */
void cb_completion_text_append_whole(const cb_completion_text_t *text,
				     GString *out, const char *content,
				     const char *finish_reason,
				     uint64_t token_count)
{
	g_string_append_printf(out,
			       "{%s,\"object\":\"%s\",\"choices\":[{"
			       "\"index\":0,%s",
			       text->common_members, text->format->object_name,
			       text->format->text_prefix);
	cb_json_append_string(out, content);
	g_string_append_printf(out,
			       "%s,\"finish_reason\":\"%s\"}],\"usage\":{"
			       "\"completion_tokens\":%" G_GUINT64_FORMAT "}}",
			       text->format->text_suffix, finish_reason,
			       token_count);
}
