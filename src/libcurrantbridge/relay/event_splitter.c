#include "private/event_splitter.h"

#include <string.h>

/* Begins a stream. */
void cb_event_splitter_init(cb_event_splitter_t *splitter)
{
	splitter->partial = g_string_new(NULL);
}

/* Frees what is held; cleared ones are allowed. */
void cb_event_splitter_clear(cb_event_splitter_t *splitter)
{
	if (splitter->partial)
		g_string_free(splitter->partial, TRUE);
	splitter->partial = NULL;
}

/* Returns the length of the first whole event, with its empty line; 0: none. */
static size_t event_length_(const char *text, size_t size)
{
	const char *plain = memmem(text, size, "\n\n", 2);
	const char *crlf = memmem(text, size, "\r\n\r\n", 4);

	if (crlf && (!plain || crlf < plain))
		return (size_t)(crlf - text) + 4;
	return plain ? (size_t)(plain - text) + 2 : 0;
}

/* Reads the number in an event's "id:" line, or -1. */
static int64_t event_id_(const char *event, size_t size)
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

/* Takes bytes as they come and hands out each event that is whole. */
void cb_event_splitter_add(cb_event_splitter_t *splitter, const uint8_t *data,
			   size_t size, cb_event_fn_t fn, void *user_data)
{
	size_t done = 0;
	size_t length;

	g_string_append_len(splitter->partial, (const char *)data,
			    (gssize)size);
	while ((length = event_length_(splitter->partial->str + done,
				       splitter->partial->len - done))) {
		const char *event = splitter->partial->str + done;

		fn(user_data, event_id_(event, length), event, length);
		done += length;
	}
	g_string_erase(splitter->partial, 0, (gssize)done);
}
