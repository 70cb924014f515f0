#include "private/event_splitter.h"

#include <string.h>

/* Prepares for a new stream. */
void cb_event_splitter_init(cb_event_splitter_t *splitter)
{
	splitter->partial = g_string_new(NULL);
	splitter->event_count = 0;
}

/* Frees the partial event; a cleared splitter is allowed. */
void cb_event_splitter_clear(cb_event_splitter_t *splitter)
{
	if (splitter->partial)
		g_string_free(splitter->partial, TRUE);
	splitter->partial = NULL;
}

/* Returns the size of the first event with its empty line; 0: incomplete. */
static size_t first_event_measure_(const char *text, size_t size)
{
	const char *plain = memmem(text, size, "\n\n", 2);
	const char *crlf = memmem(text, size, "\r\n\r\n", 4);

	if (crlf && (!plain || crlf < plain))
		return (size_t)(crlf - text) + 4;
	return plain ? (size_t)(plain - text) + 2 : 0;
}

/* Returns the number in an event's "id:" line, or -1 if there is none. */
static int64_t event_id_parse_(const char *event, size_t size)
{
	const char *end = event + size;
	const char *line = event;

	while (line < end) {
		const char *next = memchr(line, '\n', (size_t)(end - line));

		if (end - line > 3 && !strncmp(line, "id:", 3)) {
			const char *digits = line + 3;

			while (*digits == ' ')
				digits++;
			if (!g_ascii_isdigit(*digits))
				return -1;
			return (int64_t)g_ascii_strtoull(digits, NULL, 10);
		}
		line = next ? next + 1 : end;
	}
	return -1;
}

/* Returns whether an event has a "data" line; a comment has none. */
gboolean cb_event_has_data(const char *event, size_t size)
{
	static const char name[] = "data";
	const size_t name_size = strlen(name);
	const char *end = event + size;
	const char *line = event;

	while (line && (size_t)(end - line) >= name_size) {
		const char *line_end = memchr(line, '\n', (size_t)(end - line));

		if (!memcmp(line, name, name_size))
			return TRUE;
		line = line_end ? line_end + 1 : NULL;
	}
	return FALSE;
}

/* Adds received bytes and calls `fn` for each event that is now complete. */
void cb_event_splitter_add(cb_event_splitter_t *splitter, const uint8_t *data,
			   size_t size, cb_event_fn_t fn, void *user_data)
{
	size_t consumed = 0;
	size_t length;

	g_string_append_len(splitter->partial, (const char *)data,
			    (gssize)size);
	while ((length = first_event_measure_(splitter->partial->str + consumed,
					      splitter->partial->len -
						      consumed))) {
		const char *event = splitter->partial->str + consumed;

		fn(user_data, event_id_parse_(event, length), event, length);
		consumed += length;
		splitter->event_count++;
	}
	g_string_erase(splitter->partial, 0, (gssize)consumed);
}

/*
 * Returns whether the received bytes end inside an event.  Empty lines between
 * events belong to none.
 */
gboolean cb_event_splitter_is_inside_event(const cb_event_splitter_t *splitter)
{
	const GString *partial = splitter->partial;

	return strspn(partial->str, "\r\n") < partial->len;
}
