#include "currantbridge/http1_head.h"

#include <string.h>

/* More headers than this are refused as oversize. */
#define HEADERS_MAX 128
/* Digits of the largest length that is read: under 2^63. */
#define LENGTH_DIGITS_MAX 18

/* Whether a byte may stand in a method or a header's name (RFC 9110). */
static gboolean is_token_char_(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static gboolean is_token_(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!is_token_char_(*c))
			return FALSE;
	return c != text;
}

/* Whether a target is visible ASCII or beyond, without spaces. */
static gboolean is_target_(const char *text)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c; c++)
		if (*c <= ' ' || *c == 0x7f)
			return FALSE;
	return *text == '/';
}

/* Whether a header's value holds no control characters but tabs. */
static gboolean is_value_(const char *text)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c; c++)
		if ((*c < ' ' && *c != '\t') || *c == 0x7f)
			return FALSE;
	return TRUE;
}

/* Finds the end of a head: the offset behind its empty line, or 0. */
static size_t end_find_(const uint8_t *data, size_t size)
{
	const uint8_t *end = memmem(data, size, "\r\n\r\n", 4);

	return end ? (size_t)(end - data) + 4 : 0;
}

/*
 * Cuts the text at its line ends.  Returns the lines, or NULL where a line
 * end is not CRLF or a zero byte stands in the text.
 */
static GPtrArray *lines_cut_(char *text, size_t size)
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

/* Reads "NAME: VALUE" in place. */
static gboolean header_read_(cb_http1_head_t *head, char *line)
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
	if (!is_token_(line) || !is_value_(value))
		return FALSE;
	header.name = line;
	header.value = value;
	g_array_append_val(head->headers, header);
	return TRUE;
}

/* Reads a length that has only digits. */
static gboolean length_read_(const char *value, uint64_t *length)
{
	size_t digits = strspn(value, "0123456789");

	if (!digits || value[digits] || digits > LENGTH_DIGITS_MAX)
		return FALSE;
	*length = g_ascii_strtoull(value, NULL, 10);
	return TRUE;
}

/* Whether a comma-separated list names `word`, whatever its case. */
static gboolean list_has_(const char *list, const char *word)
{
	char **parts = g_strsplit(list, ",", 0);
	gboolean has = FALSE;
	char **part;

	for (part = parts; *part; part++)
		has |= !g_ascii_strcasecmp(g_strstrip(*part), word);
	g_strfreev(parts);
	return has;
}

/* Reads how the body ends and whether the connection is kept. */
static gboolean framing_read_(cb_http1_head_t *head)
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
			    !length_read_(header->value, &head->length_bytes))
				return FALSE;
			has_length = TRUE;
		} else if (!g_ascii_strcasecmp(header->name,
					       "Transfer-Encoding")) {
			if (has_encoding ||
			    g_ascii_strcasecmp(header->value, "chunked"))
				return FALSE;
			has_encoding = TRUE;
		} else if (!g_ascii_strcasecmp(header->name, "Connection")) {
			if (list_has_(header->value, "close"))
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

static gboolean version_read_(cb_http1_head_t *head, const char *text)
{
	if (!strcmp(text, "HTTP/1.1"))
		head->minor_version = 1;
	else if (strcmp(text, "HTTP/1.0") != 0)
		return FALSE;
	return TRUE;
}

/* Reads "METHOD TARGET VERSION" in place. */
static gboolean request_line_read_(cb_http1_head_t *head, char *line)
{
	char *target = strchr(line, ' ');
	char *version = target ? strchr(target + 1, ' ') : NULL;

	if (!version)
		return FALSE;
	*target++ = '\0';
	*version++ = '\0';
	head->method = line;
	head->target = target;
	return is_token_(line) && is_target_(target) &&
	       version_read_(head, version);
}

/* Reads "VERSION STATUS REASON" in place. */
static gboolean status_line_read_(cb_http1_head_t *head, char *line)
{
	char *status = strchr(line, ' ');

	if (!status)
		return FALSE;
	*status++ = '\0';
	if (strspn(status, "0123456789") != 3 ||
	    (status[3] && status[3] != ' ') || !is_value_(status))
		return FALSE;
	head->status = (uint32_t)g_ascii_strtoull(status, NULL, 10);
	head->reason = status[3] ? status + 4 : "";
	return head->status >= 100 && version_read_(head, line);
}

/* How often a header stands in a head. */
static unsigned int header_count_(const cb_http1_head_t *head, const char *name)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < head->headers->len; i++)
		count += !g_ascii_strcasecmp(
			g_array_index(head->headers, cb_http1_header_t, i).name,
			name);
	return count;
}

/* Reads the lines of a head that is there as a whole. */
static gboolean head_read_(cb_http1_head_t *head, GPtrArray *lines,
			   gboolean is_request)
{
	unsigned int i;

	if (!lines || !lines->len)
		return FALSE;
	if (is_request ? !request_line_read_(head, lines->pdata[0]) :
			 !status_line_read_(head, lines->pdata[0]))
		return FALSE;
	for (i = 1; i < lines->len; i++)
		if (!header_read_(head, lines->pdata[i]))
			return FALSE;
	if (!framing_read_(head))
		return FALSE;
	return !is_request || header_count_(head, "Host") == 1;
}

static cb_http1_outcome_t head_parse_(cb_http1_head_t *head,
				      const uint8_t *data, size_t size,
				      size_t max_bytes, gboolean is_request,
				      size_t *used)
{
	size_t end = end_find_(data, MIN(size, max_bytes));
	GPtrArray *lines;
	gboolean is_valid;

	*head = (cb_http1_head_t){ 0 };
	if (!end)
		return size >= max_bytes ? CB_HTTP1_OVERSIZE : CB_HTTP1_PARTIAL;
	*used = end;
	head->text = g_strndup((const char *)data, end);
	head->headers = g_array_new(FALSE, FALSE, sizeof(cb_http1_header_t));
	lines = memchr(data, '\0', end) ? NULL : lines_cut_(head->text, end);
	is_valid = head_read_(head, lines, is_request);
	if (lines)
		g_ptr_array_unref(lines);
	if (is_valid && head->headers->len <= HEADERS_MAX)
		return CB_HTTP1_WHOLE;
	is_valid = is_valid && head->headers->len > HEADERS_MAX;
	cb_http1_head_clear(head);
	return is_valid ? CB_HTTP1_OVERSIZE : CB_HTTP1_INVALID;
}

/*
 * Reads a request's head from the start of `data`.  WHOLE fills `head`, to be
 * cleared, and sets how many bytes it took; otherwise nothing is to be
 * cleared.  A request without a length has no body.
 */
cb_http1_outcome_t cb_http1_request_parse(cb_http1_head_t *head,
					  const uint8_t *data, size_t size,
					  size_t max_bytes, size_t *used)
{
	cb_http1_outcome_t outcome =
		head_parse_(head, data, size, max_bytes, TRUE, used);

	if (outcome == CB_HTTP1_WHOLE &&
	    head->framing == CB_HTTP1_FRAMING_UNTIL_CLOSE)
		head->framing = CB_HTTP1_FRAMING_NONE;
	return outcome;
}

/* Reads an answer's head, as cb_http1_request_parse() does a request's. */
cb_http1_outcome_t cb_http1_answer_parse(cb_http1_head_t *head,
					 const char *request_method,
					 const uint8_t *data, size_t size,
					 size_t max_bytes, size_t *used)
{
	cb_http1_outcome_t outcome =
		head_parse_(head, data, size, max_bytes, FALSE, used);

	if (outcome != CB_HTTP1_WHOLE)
		return outcome;
	if (!strcmp(request_method, "HEAD") || head->status < 200 ||
	    head->status == 204 || head->status == 304)
		head->framing = CB_HTTP1_FRAMING_NONE;
	if (head->framing == CB_HTTP1_FRAMING_UNTIL_CLOSE)
		head->keeps_alive = FALSE;
	return outcome;
}

/* Frees what a head holds. */
void cb_http1_head_clear(cb_http1_head_t *head)
{
	g_free(head->text);
	if (head->headers)
		g_array_unref(head->headers);
	*head = (cb_http1_head_t){ 0 };
}

/* Returns the value of the first header of that name, or NULL. */
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
 * Tells whether a header goes on to the next connection: not those that
 * concern one connection only, nor the framing, which is written anew.
 */
gboolean cb_http1_head_is_forwarded(const cb_http1_head_t *head,
				    const char *name)
{
	static const char *const kept_back[] = {
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

	for (i = 0; i < G_N_ELEMENTS(kept_back); i++)
		if (!g_ascii_strcasecmp(kept_back[i], name))
			return FALSE;
	return !connection || !list_has_(connection, name);
}
