#include "private/http1_body.h"

#include <string.h>

/* The longest line of a chunk's size or of a trailer, in bytes. */
#define LINE_MAX_BYTES 1024
/* Hex digits of the largest chunk: 256 MiB. */
#define CHUNK_DIGITS_MAX 7

enum step {
	STEP_SIZE,
	STEP_DATA,
	STEP_DATA_END,
	STEP_TRAILER,
};

/* Begins the body that follows `head`. */
void cb_http1_body_init(cb_http1_body_t *body, const cb_http1_head_t *head)
{
	*body = (cb_http1_body_t){ .framing = head->framing };
	body->left_bytes = head->length_bytes;
	body->is_done = head->framing == CB_HTTP1_FRAMING_NONE;
	if (head->framing == CB_HTTP1_FRAMING_CHUNKED)
		body->line = g_string_new(NULL);
}

/* Frees what the reader holds. */
void cb_http1_body_clear(cb_http1_body_t *body)
{
	if (body->line)
		g_string_free(body->line, TRUE);
	body->line = NULL;
}

/*
 * Gathers a line up to its CRLF, which is cut off.  PARTIAL takes all that
 * is there.
 */
static cb_http1_outcome_t line_read_(cb_http1_body_t *body, const uint8_t *data,
				     size_t size, size_t *used)
{
	const uint8_t *end = memchr(data, '\n', size);
	size_t take = end ? (size_t)(end - data) + 1 : size;

	if (body->line->len + take > LINE_MAX_BYTES)
		return CB_HTTP1_INVALID;
	g_string_append_len(body->line, (const char *)data, (gssize)take);
	*used += take;
	if (!end)
		return CB_HTTP1_PARTIAL;
	if (body->line->len < 2 ||
	    body->line->str[body->line->len - 2] != '\r' ||
	    memchr(body->line->str, '\0', body->line->len))
		return CB_HTTP1_INVALID;
	g_string_truncate(body->line, body->line->len - 2);
	return CB_HTTP1_WHOLE;
}

/* Reads a chunk's size; extensions are passed over. */
static gboolean size_read_(cb_http1_body_t *body)
{
	const char *text = body->line->str;
	size_t digits = strspn(text, "0123456789abcdefABCDEF");

	if (!digits || digits > CHUNK_DIGITS_MAX ||
	    (text[digits] && text[digits] != ';') || strchr(text, '\r'))
		return FALSE;
	body->left_bytes = g_ascii_strtoull(text, NULL, 16);
	body->step = body->left_bytes ? STEP_DATA : STEP_TRAILER;
	return TRUE;
}

/* Takes a whole line of the chunked framing; FALSE if it is malformed. */
static gboolean line_take_(cb_http1_body_t *body)
{
	gboolean is_valid = TRUE;

	if (body->step == STEP_SIZE) {
		is_valid = size_read_(body);
	} else if (body->step == STEP_DATA_END) {
		is_valid = body->line->len == 0;
		body->step = STEP_SIZE;
	} else if (!body->line->len) {
		body->is_done = TRUE;
	}
	g_string_truncate(body->line, 0);
	return is_valid;
}

/* Hands out bytes of the body, as many as are due. */
static void data_take_(cb_http1_body_t *body, const uint8_t *data, size_t size,
		       size_t *used, cb_http1_body_fn_t fn, void *user_data)
{
	size_t take = size;

	if (body->framing != CB_HTTP1_FRAMING_UNTIL_CLOSE) {
		take = (size_t)MIN((uint64_t)size, body->left_bytes);
		body->left_bytes -= take;
	}
	*used += take;
	if (take)
		fn(user_data, data, take);
}

/*
 * Takes what arrived and hands the body's bytes to `fn`, which must not clear
 * the reader.  `used` tells how many bytes belonged to it.  WHOLE says that
 * the body has ended; one that runs until the close never says so.
 */
cb_http1_outcome_t cb_http1_body_read(cb_http1_body_t *body,
				      const uint8_t *data, size_t size,
				      size_t *used, cb_http1_body_fn_t fn,
				      void *user_data)
{
	*used = 0;
	while (!body->is_done && *used < size) {
		const uint8_t *rest = data + *used;
		size_t rest_size = size - *used;
		cb_http1_outcome_t outcome;

		if (body->framing != CB_HTTP1_FRAMING_CHUNKED ||
		    body->step == STEP_DATA) {
			data_take_(body, rest, rest_size, used, fn, user_data);
			if (body->framing == CB_HTTP1_FRAMING_LENGTH)
				body->is_done = !body->left_bytes;
			else if (body->framing == CB_HTTP1_FRAMING_CHUNKED &&
				 !body->left_bytes)
				body->step = STEP_DATA_END;
			continue;
		}
		outcome = line_read_(body, rest, rest_size, used);
		if (outcome == CB_HTTP1_INVALID ||
		    (outcome == CB_HTTP1_WHOLE && !line_take_(body)))
			return CB_HTTP1_INVALID;
	}
	return body->is_done ? CB_HTTP1_WHOLE : CB_HTTP1_PARTIAL;
}
