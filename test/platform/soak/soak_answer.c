#include "soak.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "support_programs.h"

#define READ_BUFFER_BYTES 16384

/* Reads one answer from a socket. */
typedef struct reader {
	int fd;
	int64_t end_ms; /* monotonic time until which it waits */
	GString *bytes; /* received, not yet taken */
	soak_end_t end; /* why the last read failed */
} reader_t;

/* Waits for more bytes; FALSE: there are none, for the reason in `end`. */
static gboolean bytes_receive_(reader_t *reader)
{
	struct pollfd poll_fd = { .fd = reader->fd, .events = POLLIN };
	int64_t left_ms = reader->end_ms - g_get_monotonic_time() / 1000;
	char buffer[READ_BUFFER_BYTES];
	ssize_t size;

	if (left_ms <= 0 || poll(&poll_fd, 1, (int)left_ms) <= 0) {
		reader->end = SOAK_END_SILENT;
		return FALSE;
	}
	size = recv(reader->fd, buffer, sizeof(buffer), 0);
	if (size > 0)
		g_string_append_len(reader->bytes, buffer, size);
	else
		reader->end = size ? SOAK_END_RESET : SOAK_END_CLOSED;
	return size > 0;
}

/* Takes bytes up to and including `mark`; NULL: it does not come. */
static char *text_take_until_(reader_t *reader, const char *mark)
{
	const char *end;
	char *text;

	while (!(end = strstr(reader->bytes->str, mark)))
		if (!bytes_receive_(reader))
			return NULL;
	text = g_strndup(reader->bytes->str,
			 (size_t)(end - reader->bytes->str));
	g_string_erase(reader->bytes, 0, (gssize)(strlen(text) + strlen(mark)));
	return text;
}

/* Takes `size` bytes of a body; FALSE: only a part of them came. */
static gboolean body_take_(reader_t *reader, size_t size, GString *body)
{
	for (;;) {
		size_t taken = MIN(size, reader->bytes->len);

		g_string_append_len(body, reader->bytes->str, (gssize)taken);
		g_string_erase(reader->bytes, 0, (gssize)taken);
		size -= taken;
		if (!size)
			return TRUE;
		if (!bytes_receive_(reader))
			return FALSE;
	}
}

/* Takes a line that must be empty. */
static gboolean empty_line_take_(reader_t *reader)
{
	char *line = text_take_until_(reader, "\r\n");
	gboolean is_empty = line && !*line;

	if (line && *line)
		reader->end = SOAK_END_CLOSED;
	g_free(line);
	return is_empty;
}

/* Takes a body in chunks; FALSE: it ends before its last chunk. */
static gboolean chunks_take_(reader_t *reader, GString *body)
{
	uint64_t size = 1;

	while (size) {
		char *line = text_take_until_(reader, "\r\n");
		char *end = line;

		if (line)
			size = g_ascii_strtoull(line, &end, 16);
		if (line && end == line)
			reader->end = SOAK_END_CLOSED;
		g_free(line);
		if (end == line || !body_take_(reader, size, body) ||
		    !empty_line_take_(reader))
			return FALSE;
	}
	return TRUE;
}

/* Takes a body that ends with its connection. */
static gboolean rest_take_(reader_t *reader, GString *body)
{
	while (bytes_receive_(reader))
		;
	g_string_append_len(body, reader->bytes->str,
			    (gssize)reader->bytes->len);
	return reader->end == SOAK_END_CLOSED;
}

/* Takes the body that follows a head; FALSE: it is not whole. */
static gboolean body_read_(reader_t *reader, const char *head,
			   soak_answer_t *answer)
{
	const char *length = strcasestr(head, "\r\nContent-Length:");

	if (strcasestr(head, "\r\nTransfer-Encoding: chunked"))
		return chunks_take_(reader, answer->body);
	if (length)
		return body_take_(reader,
				  strtoul(length +
						  strlen("\r\nContent-Length:"),
					  NULL, 10),
				  answer->body);
	answer->closes = TRUE;
	return rest_take_(reader, answer->body);
}

void soak_answer_read(int fd, int64_t timeout_ms, soak_answer_t *answer)
{
	reader_t reader = {
		.fd = fd,
		.end_ms = g_get_monotonic_time() / 1000 + timeout_ms,
		.bytes = g_string_new(NULL),
	};
	char *head = text_take_until_(&reader, "\r\n\r\n");

	*answer = (soak_answer_t){ .body = g_string_new(NULL) };
	if (head) {
		answer->status = support_answer_status(head);
		answer->closes =
			strcasestr(head, "\r\nConnection: close") != NULL;
	}
	if (!head || !body_read_(&reader, head, answer))
		answer->end = reader.end;
	answer->closes |= answer->end != SOAK_END_WHOLE;
	g_free(head);
	g_string_free(reader.bytes, TRUE);
}
