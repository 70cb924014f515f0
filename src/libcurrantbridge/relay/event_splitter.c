#include "private/event_splitter.h"

#include <string.h>

/* Bytes after a line feed that decide whether an empty line follows. */
#define LOOKAHEAD_BYTES 2

/* Prepares for a new stream. */
void cb_event_splitter_init(cb_event_splitter_t *splitter)
{
	splitter->partial = g_string_new(NULL);
	splitter->scanned_bytes = 0;
	splitter->event_count = 0;
}

/* Frees the partial event; a cleared splitter is allowed. */
void cb_event_splitter_clear(cb_event_splitter_t *splitter)
{
	if (splitter->partial)
		g_string_free(splitter->partial, TRUE);
	splitter->partial = NULL;
}

/*
 * Returns the size of the event at the start of `text`, with its empty line; 0:
 * it is incomplete.  No line before offset `from` is followed by an empty one.
 */
static size_t first_event_measure_(const char *text, size_t size, size_t from)
{
	const char *end = text + size;
	const char *feed = text + from;

	while ((feed = memchr(feed, '\n', (size_t)(end - feed)))) {
		if (end - feed >= 2 && feed[1] == '\n')
			return (size_t)(feed - text) + 2;
		if (end - feed >= 3 && feed > text && feed[-1] == '\r' &&
		    feed[1] == '\r' && feed[2] == '\n')
			return (size_t)(feed - text) + 3;
		feed++;
	}
	return 0;
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
	GString *partial = splitter->partial;
	size_t from = splitter->scanned_bytes;
	size_t consumed = 0;
	size_t length;

	g_string_append_len(partial, (const char *)data, (gssize)size);
	while ((length = first_event_measure_(partial->str + consumed,
					      partial->len - consumed, from))) {
		const char *event = partial->str + consumed;

		fn(user_data, event_id_parse_(event, length), event, length);
		consumed += length;
		from = 0;
		splitter->event_count++;
	}
	/* Erasing nothing would still move all bytes of an incomplete event. */
	if (consumed)
		g_string_erase(partial, 0, (gssize)consumed);
	splitter->scanned_bytes =
		partial->len - MIN(partial->len, LOOKAHEAD_BYTES);
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
