#include "currantbridge/http1_head.h"

#include <string.h>

/* A head with more headers than this is oversize. */
#define HEADER_COUNT_MAX 128
/* Most digits of a Content-Length; keeps the value below 2^63. */
#define CONTENT_LENGTH_DIGITS_MAX 18

const char *const cb_http1_framing_string[CB_HTTP1_FRAMING_COUNT] = {
	[CB_HTTP1_FRAMING_NONE] = "none",
	[CB_HTTP1_FRAMING_LENGTH] = "length",
	[CB_HTTP1_FRAMING_CHUNKED] = "chunked",
	[CB_HTTP1_FRAMING_UNTIL_CLOSE] = "until_close",
};

/* Whether a byte is allowed in a method or a header name (RFC 9110). */
static gboolean is_token_char_(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Whether a text is a valid method or header name. */
static gboolean is_token_(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!is_token_char_(*c))
			return FALSE;
	return c != text;
}

/*
 * Whether a request target starts with a slash and has no spaces or control
 * characters.  Bytes from 0x80 are allowed.
 */
static gboolean is_request_target_(const char *text)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c; c++)
		if (*c <= ' ' || *c == 0x7f)
			return FALSE;
	return *text == '/';
}

/* Whether a header value has no control characters other than tabs. */
static gboolean is_header_value_(const char *text)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c; c++)
		if ((*c < ' ' && *c != '\t') || *c == 0x7f)
			return FALSE;
	return TRUE;
}

/* Returns the offset after the empty line that ends a head; 0 if not found. */
static size_t head_end_find_(const uint8_t *data, size_t size)
{
	const uint8_t *end = memmem(data, size, "\r\n\r\n", 4);

	return end ? (size_t)(end - data) + 4 : 0;
}

/*
 * Splits the text into lines in place.  Returns the lines that are not empty,
 * or NULL if a line end is not CRLF or the text contains a zero byte.
 */
static GPtrArray *lines_split_(char *text, size_t size)
{
	GPtrArray *lines = g_ptr_array_new();
	char *line = text;
	size_t i;

	for (i = 0; i < size; i++) {
		gboolean is_end = text[i] == '\r' && text[i + 1] == '\n';

		if (text[i] == '\0' || (text[i] == '\r' && !is_end) ||
		    (text[i] == '\n')) {
			g_ptr_array_unref(lines);
			return NULL;
		}
		if (!is_end)
			continue;
		text[i++] = '\0';
		if (*line)
			g_ptr_array_add(lines, line);
		line = text + i + 1;
	}
	return lines;
}

/* Parses "NAME: VALUE" in place and appends the header to the head. */
static gboolean header_parse_(cb_http1_head_t *head, char *line)
{
	char *colon = strchr(line, ':');
	cb_http1_header_t header;
	char *value;

	if (!colon)
		return FALSE;
	*colon = '\0';
	value = colon + 1;
	while (*value == ' ' || *value == '\t')
		value++;
	g_strchomp(value);
	if (!is_token_(line) || !is_header_value_(value))
		return FALSE;
	header.name = line;
	header.value = value;
	g_array_append_val(head->headers, header);
	return TRUE;
}

/* Parses a Content-Length, which must consist of digits only. */
static gboolean content_length_parse_(const char *value, uint64_t *length)
{
	size_t digits = strspn(value, "0123456789");

	if (!digits || value[digits] || digits > CONTENT_LENGTH_DIGITS_MAX)
		return FALSE;
	*length = g_ascii_strtoull(value, NULL, 10);
	return TRUE;
}

/* Whether a comma-separated list contains `word`; case is ignored. */
static gboolean list_contains_(const char *list, const char *word)
{
	char **parts = g_strsplit(list, ",", 0);
	gboolean is_listed = FALSE;
	char **part;

	for (part = parts; *part; part++)
		is_listed |= !g_ascii_strcasecmp(g_strstrip(*part), word);
	g_strfreev(parts);
	return is_listed;
}

/*
 * Sets the body's framing and whether the connection is kept open, from the
 * headers.  Returns FALSE if these are malformed, contradictory or unsupported.
 */
static gboolean framing_determine_(cb_http1_head_t *head)
{
	gboolean has_length = FALSE;
	gboolean has_encoding = FALSE;
	unsigned int i;

	head->keeps_alive = head->minor_version >= 1;
	for (i = 0; i < head->headers->len; i++) {
		const cb_http1_header_t *header =
			&g_array_index(head->headers, cb_http1_header_t, i);

		if (!g_ascii_strcasecmp(header->name, "Content-Length")) {
			if (has_length ||
			    !content_length_parse_(header->value,
						   &head->length_bytes))
				return FALSE;
			has_length = TRUE;
		} else if (!g_ascii_strcasecmp(header->name,
					       "Transfer-Encoding")) {
			if (has_encoding ||
			    g_ascii_strcasecmp(header->value, "chunked"))
				return FALSE;
			has_encoding = TRUE;
		} else if (!g_ascii_strcasecmp(header->name, "Connection")) {
			if (list_contains_(header->value, "close"))
				head->keeps_alive = FALSE;
		}
	}
	if (has_encoding && (has_length || head->minor_version < 1))
		return FALSE;
	if (has_encoding)
		head->framing = CB_HTTP1_FRAMING_CHUNKED;
	else if (has_length && head->length_bytes)
		head->framing = CB_HTTP1_FRAMING_LENGTH;
	else if (has_length)
		head->framing = CB_HTTP1_FRAMING_NONE;
	else
		head->framing = CB_HTTP1_FRAMING_UNTIL_CLOSE;
	return TRUE;
}

/* Parses the HTTP version; only 1.0 and 1.1 are accepted. */
static gboolean version_parse_(cb_http1_head_t *head, const char *text)
{
	if (!strcmp(text, "HTTP/1.1"))
		head->minor_version = 1;
	else if (strcmp(text, "HTTP/1.0") != 0)
		return FALSE;
	return TRUE;
}

/* Parses "METHOD TARGET VERSION" in place. */
static gboolean request_line_parse_(cb_http1_head_t *head, char *line)
{
	char *target = strchr(line, ' ');
	char *version = target ? strchr(target + 1, ' ') : NULL;

	if (!version)
		return FALSE;
	*target++ = '\0';
	*version++ = '\0';
	head->method = line;
	head->target = target;
	return is_token_(line) && is_request_target_(target) &&
	       version_parse_(head, version);
}

/* Parses "VERSION STATUS REASON" in place. */
static gboolean status_line_parse_(cb_http1_head_t *head, char *line)
{
	char *status = strchr(line, ' ');

	if (!status)
		return FALSE;
	*status++ = '\0';
	if (strspn(status, "0123456789") != 3 ||
	    (status[3] && status[3] != ' ') || !is_header_value_(status))
		return FALSE;
	head->status = (uint32_t)g_ascii_strtoull(status, NULL, 10);
	head->reason = status[3] ? status + 4 : "";
	return head->status >= 100 && version_parse_(head, line);
}

/* Returns how many headers of a head have the given name. */
static unsigned int headers_count_(const cb_http1_head_t *head,
				   const char *name)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < head->headers->len; i++)
		count += !g_ascii_strcasecmp(
			g_array_index(head->headers, cb_http1_header_t, i).name,
			name);
	return count;
}

/* Parses the lines of a complete head; `lines` may be NULL (invalid). */
static gboolean head_lines_parse_(cb_http1_head_t *head, GPtrArray *lines,
				  gboolean is_request)
{
	unsigned int i;

	if (!lines || !lines->len)
		return FALSE;
	if (is_request ? !request_line_parse_(head, lines->pdata[0]) :
			 !status_line_parse_(head, lines->pdata[0]))
		return FALSE;
	for (i = 1; i < lines->len; i++)
		if (!header_parse_(head, lines->pdata[i]))
			return FALSE;
	if (!framing_determine_(head))
		return FALSE;
	return !is_request || headers_count_(head, "Host") == 1;
}

/* Implements cb_http1_request_parse() and cb_http1_answer_parse(). */
static cb_http1_parse_result_t head_parse_(cb_http1_head_t *head,
					   const uint8_t *data, size_t size,
					   size_t max_bytes,
					   gboolean is_request, size_t *used)
{
	size_t end = head_end_find_(data, MIN(size, max_bytes));
	GPtrArray *lines;
	gboolean is_valid;

	*head = (cb_http1_head_t){ 0 };
	if (!end)
		return size >= max_bytes ? CB_HTTP1_PARSE_OVERSIZE :
					   CB_HTTP1_PARSE_PARTIAL;
	*used = end;
	head->text = g_strndup((const char *)data, end);
	head->headers = g_array_new(FALSE, FALSE, sizeof(cb_http1_header_t));
	lines = memchr(data, '\0', end) ? NULL : lines_split_(head->text, end);
	is_valid = head_lines_parse_(head, lines, is_request);
	if (lines)
		g_ptr_array_unref(lines);
	if (is_valid && head->headers->len <= HEADER_COUNT_MAX)
		return CB_HTTP1_PARSE_COMPLETE;
	is_valid = is_valid && head->headers->len > HEADER_COUNT_MAX;
	cb_http1_head_clear(head);
	return is_valid ? CB_HTTP1_PARSE_OVERSIZE : CB_HTTP1_PARSE_INVALID;
}

/*
 * Parses the head of a request at the start of `data`.  Returns
 * CB_HTTP1_PARSE_COMPLETE if it is complete: `used` is then its size in bytes,
 * and `head` must be cleared with cb_http1_head_clear().  Any other result
 * leaves nothing to clear.  CB_HTTP1_PARSE_OVERSIZE means that the head does
 * not end within `max_bytes` or has too many headers.  A request with neither
 * Content-Length nor Transfer-Encoding has no body.
 */
cb_http1_parse_result_t cb_http1_request_parse(cb_http1_head_t *head,
					       const uint8_t *data, size_t size,
					       size_t max_bytes, size_t *used)
{
	cb_http1_parse_result_t result =
		head_parse_(head, data, size, max_bytes, TRUE, used);

	if (result == CB_HTTP1_PARSE_COMPLETE &&
	    head->framing == CB_HTTP1_FRAMING_UNTIL_CLOSE)
		head->framing = CB_HTTP1_FRAMING_NONE;
	return result;
}

/*
 * Parses the head of an answer as cb_http1_request_parse() parses that of a
 * request.  `request_method` is needed because an answer to HEAD has no body.
 */
cb_http1_parse_result_t cb_http1_answer_parse(cb_http1_head_t *head,
					      const char *request_method,
					      const uint8_t *data, size_t size,
					      size_t max_bytes, size_t *used)
{
	cb_http1_parse_result_t result =
		head_parse_(head, data, size, max_bytes, FALSE, used);

	if (result != CB_HTTP1_PARSE_COMPLETE)
		return result;
	if (!strcmp(request_method, "HEAD") || head->status < 200 ||
	    head->status == 204 || head->status == 304)
		head->framing = CB_HTTP1_FRAMING_NONE;
	if (head->framing == CB_HTTP1_FRAMING_UNTIL_CLOSE)
		head->keeps_alive = FALSE;
	return result;
}

/* Frees the memory of a head and sets all its members to 0. */
void cb_http1_head_clear(cb_http1_head_t *head)
{
	g_free(head->text);
	if (head->headers)
		g_array_unref(head->headers);
	*head = (cb_http1_head_t){ 0 };
}

/* Returns the value of the first header with this name, or NULL. */
const char *cb_http1_head_find(const cb_http1_head_t *head, const char *name)
{
	unsigned int i;

	for (i = 0; i < head->headers->len; i++) {
		const cb_http1_header_t *header =
			&g_array_index(head->headers, cb_http1_header_t, i);

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

/*
 * Whether a header is forwarded to the next connection.  Hop-by-hop headers
 * are not, nor are the framing headers, which the next connection sets itself.
 */
gboolean cb_http1_head_is_forwarded(const cb_http1_head_t *head,
				    const char *name)
{
	static const char *const unforwarded_headers[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Proxy-Authenticate",
		"Expect",
		"Proxy-Authorization",
	};
	const char *connection = cb_http1_head_find(head, "Connection");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unforwarded_headers); i++)
		if (!g_ascii_strcasecmp(unforwarded_headers[i], name))
			return FALSE;
	return !connection || !list_contains_(connection, name);
}
