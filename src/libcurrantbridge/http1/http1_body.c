#include "private/http1_body.h"

#include <string.h>

/* Maximum length of a chunk-size or trailer line, with its CRLF. */
#define CHUNK_LINE_MAX_BYTES 1024
/* Most hex digits of a chunk size: a chunk is below 256 MiB. */
#define CHUNK_SIZE_DIGITS_MAX 7
/* Maximum length of all trailer lines together, with their CRLF. */
#define TRAILERS_MAX_BYTES 16384
/* How much longer all chunk extensions may be than the data so far. */
#define EXTENSIONS_EXCESS_MAX_BYTES 16384

/* What the parser of the chunked encoding expects next. */
enum chunk_step {
	CHUNK_STEP_SIZE,     /* the line with the chunk's size */
	CHUNK_STEP_DATA,     /* the chunk's data */
	CHUNK_STEP_DATA_END, /* the CRLF after the data */
	CHUNK_STEP_TRAILER,  /* a trailer line, or the empty last line */
};

/* Initialises the parser for the body that follows `head`. */
void cb_http1_body_init(cb_http1_body_t *body, const cb_http1_head_t *head)
{
	*body = (cb_http1_body_t){ .framing = head->framing };
	body->remaining_bytes = head->length_bytes;
	body->is_done = head->framing == CB_HTTP1_FRAMING_NONE;
	if (head->framing == CB_HTTP1_FRAMING_CHUNKED)
		body->line = g_string_new(NULL);
}

/* Frees the parser's memory. */
void cb_http1_body_clear(cb_http1_body_t *body)
{
	if (body->line)
		g_string_free(body->line, TRUE);
	body->line = NULL;
}

/*
 * Appends input to the current line and adds the bytes used to `used`.  Returns
 * CB_HTTP1_PARSE_COMPLETE when the line is complete, with its CRLF removed;
 * CB_HTTP1_PARSE_PARTIAL when all input was used without a line end;
 * CB_HTTP1_PARSE_INVALID if the line is too long or malformed.
 */
static cb_http1_parse_result_t line_append_(cb_http1_body_t *body,
					    const uint8_t *data, size_t size,
					    size_t *used)
{
	const uint8_t *end = memchr(data, '\n', size);
	size_t used_size = end ? (size_t)(end - data) + 1 : size;

	if (body->line->len + used_size > CHUNK_LINE_MAX_BYTES)
		return CB_HTTP1_PARSE_INVALID;
	g_string_append_len(body->line, (const char *)data, (gssize)used_size);
	*used += used_size;
	if (!end)
		return CB_HTTP1_PARSE_PARTIAL;
	if (body->line->len < 2 ||
	    body->line->str[body->line->len - 2] != '\r' ||
	    memchr(body->line->str, '\0', body->line->len))
		return CB_HTTP1_PARSE_INVALID;
	g_string_truncate(body->line, body->line->len - 2);
	return CB_HTTP1_PARSE_COMPLETE;
}

/*
 * Parses the line with a chunk's size.  Chunk extensions are ignored, but FALSE
 * is returned if they make up most of what was received.
 */
static gboolean chunk_size_parse_(cb_http1_body_t *body)
{
	const char *text = body->line->str;
	size_t digits = strspn(text, "0123456789abcdefABCDEF");

	body->excess_bytes += body->line->len - digits;
	if (body->excess_bytes > EXTENSIONS_EXCESS_MAX_BYTES)
		return FALSE;
	if (!digits || digits > CHUNK_SIZE_DIGITS_MAX ||
	    (text[digits] && text[digits] != ';') || strchr(text, '\r'))
		return FALSE;
	body->remaining_bytes = g_ascii_strtoull(text, NULL, 16);
	body->step =
		body->remaining_bytes ? CHUNK_STEP_DATA : CHUNK_STEP_TRAILER;
	body->excess_bytes -= MIN(body->remaining_bytes, body->excess_bytes);
	return TRUE;
}

/* Counts a trailer line; FALSE if all of them are too long. */
static gboolean trailer_count_(cb_http1_body_t *body)
{
	body->trailer_bytes += body->line->len + strlen("\r\n");
	return body->trailer_bytes <= TRAILERS_MAX_BYTES;
}

/* Handles a complete line of the chunked encoding; FALSE if malformed. */
static gboolean line_handle_(cb_http1_body_t *body)
{
	gboolean is_valid = TRUE;

	if (body->step == CHUNK_STEP_SIZE) {
		is_valid = chunk_size_parse_(body);
	} else if (body->step == CHUNK_STEP_DATA_END) {
		is_valid = body->line->len == 0;
		body->step = CHUNK_STEP_SIZE;
	} else if (body->line->len) {
		is_valid = trailer_count_(body);
	} else {
		body->is_done = TRUE;
	}
	g_string_truncate(body->line, 0);
	return is_valid;
}

/*
 * Passes to `fn` as much of the input as belongs to the body or the current
 * chunk, and adds the bytes used to `used`.
 */
static void data_deliver_(cb_http1_body_t *body, const uint8_t *data,
			  size_t size, size_t *used, cb_http1_body_fn_t fn,
			  void *user_data)
{
	size_t used_size = size;

	if (body->framing != CB_HTTP1_FRAMING_UNTIL_CLOSE) {
		used_size = (size_t)MIN((uint64_t)size, body->remaining_bytes);
		body->remaining_bytes -= used_size;
	}
	*used += used_size;
	if (used_size)
		fn(user_data, data, used_size);
}

/*
 * Parses received bytes and passes the body's data to `fn`, which must not
 * clear the parser.  Sets `used` to the number of bytes that belong to the
 * body and its framing.  Returns CB_HTTP1_PARSE_COMPLETE when the body has
 * ended, CB_HTTP1_PARSE_INVALID if the chunked encoding is malformed, otherwise
 * CB_HTTP1_PARSE_PARTIAL.  With CB_HTTP1_FRAMING_UNTIL_CLOSE the result is
 * always CB_HTTP1_PARSE_PARTIAL.
 */
cb_http1_parse_result_t cb_http1_body_read(cb_http1_body_t *body,
					   const uint8_t *data, size_t size,
					   size_t *used, cb_http1_body_fn_t fn,
					   void *user_data)
{
	*used = 0;
	while (!body->is_done && *used < size) {
		const uint8_t *input = data + *used;
		size_t input_size = size - *used;
		cb_http1_parse_result_t result;

		if (body->framing != CB_HTTP1_FRAMING_CHUNKED ||
		    body->step == CHUNK_STEP_DATA) {
			data_deliver_(body, input, input_size, used, fn,
				      user_data);
			if (body->framing == CB_HTTP1_FRAMING_LENGTH)
				body->is_done = !body->remaining_bytes;
			else if (body->framing == CB_HTTP1_FRAMING_CHUNKED &&
				 !body->remaining_bytes)
				body->step = CHUNK_STEP_DATA_END;
			continue;
		}
		result = line_append_(body, input, input_size, used);
		if (result == CB_HTTP1_PARSE_INVALID ||
		    (result == CB_HTTP1_PARSE_COMPLETE && !line_handle_(body)))
			return CB_HTTP1_PARSE_INVALID;
	}
	return body->is_done ? CB_HTTP1_PARSE_COMPLETE : CB_HTTP1_PARSE_PARTIAL;
}
