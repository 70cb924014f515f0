#include "private/log_writer.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

/* Lines added within this time after a write are written together. */
#define BATCH_MS 50
/* Holds the lines of some seconds of an entry instance at full load. */
#define BUFFER_MAX_BYTES (256 * 1024)
/* How long the last lines of a process wait for a slow reader. */
#define FINAL_FLUSH_TIMEOUT_MS 200

struct cb_log_writer {
	cb_clock_t *clock;
	int fd;
	GByteArray *buffer; /* may begin within a line after a partial write */
	cb_timer_t *timer;
	int64_t last_flush_ms;	   /* clock time of the last flush */
	gboolean is_reader_closed; /* a write failed; nothing more is written */
	int64_t lost_lines;	   /* buffered lines lost at the close */
};

/*
 * Returns whether a write of at most PIPE_BUF bytes succeeds without blocking,
 * after waiting for at most `wait_ms`.  A pipe that polls as writable accepts
 * that many bytes, so O_NONBLOCK need not be set on a descriptor that other
 * processes may share.
 */
static gboolean fd_is_writable_(const cb_log_writer_t *writer, int wait_ms)
{
	struct pollfd poll_fd = { .fd = writer->fd, .events = POLLOUT };

	return poll(&poll_fd, 1, wait_ms) == 1 &&
	       (poll_fd.revents & (POLLOUT | POLLERR));
}

/* Discards the buffer after the reader closed, and counts its lines as lost. */
static void buffer_discard_(cb_log_writer_t *writer)
{
	unsigned int i;

	for (i = 0; i < writer->buffer->len; i++)
		writer->lost_lines += writer->buffer->data[i] == '\n';
	writer->is_reader_closed = TRUE;
	g_byte_array_set_size(writer->buffer, 0);
}

/*
 * Writes as much of the buffer as possible without blocking.  Only the first
 * write waits for the reader, for at most `wait_ms`.
 */
static void buffer_flush_(cb_log_writer_t *writer, int wait_ms)
{
	size_t written_bytes = 0;

	while (written_bytes < writer->buffer->len &&
	       fd_is_writable_(writer, wait_ms)) {
		ssize_t size =
			write(writer->fd, writer->buffer->data + written_bytes,
			      MIN(writer->buffer->len - written_bytes,
				  PIPE_BUF));

		if (size < 0 && errno != EINTR && errno != EAGAIN) {
			buffer_discard_(writer);
			return;
		}
		if (size <= 0)
			break;
		written_bytes += (size_t)size;
		wait_ms = 0;
	}
	if (written_bytes)
		g_byte_array_remove_range(writer->buffer, 0,
					  (unsigned int)written_bytes);
	writer->last_flush_ms = cb_clock_now_ms(writer->clock);
}

/* Called when the batch time is over. */
static void batch_flush_(void *user_data)
{
	cb_log_writer_t *writer = user_data;

	buffer_flush_(writer, 0);
	if (writer->buffer->len)
		cb_timer_start(writer->timer, BATCH_MS);
}

/* Creates a writer to `fd`, which it does not close. */
cb_log_writer_t *cb_log_writer_new(cb_clock_t *clock, int fd)
{
	cb_log_writer_t *writer = g_new0(cb_log_writer_t, 1);

	writer->clock = clock;
	writer->fd = fd;
	writer->buffer = g_byte_array_new();
	writer->timer = cb_timer_new(clock, batch_flush_, writer);
	writer->last_flush_ms = cb_clock_now_ms(clock) - BATCH_MS;
	return writer;
}

/*
 * Deletes a writer after a last flush, which waits for at most
 * FINAL_FLUSH_TIMEOUT_MS for a slow reader.  NULL is allowed.
 */
void cb_log_writer_delete(cb_log_writer_t *writer)
{
	if (!writer)
		return;
	buffer_flush_(writer, FINAL_FLUSH_TIMEOUT_MS);
	cb_timer_delete(writer->timer);
	g_byte_array_unref(writer->buffer);
	g_free(writer);
}

/* Returns how many accepted lines were discarded because the reader closed. */
int64_t cb_log_writer_lost_lines(const cb_log_writer_t *writer)
{
	return writer->lost_lines;
}

/*
 * Adds a line that ends with a newline.  Returns FALSE if the line is dropped
 * because the buffer is full or the reader has closed.
 */
gboolean cb_log_writer_add(cb_log_writer_t *writer, const char *line,
			   size_t size, cb_log_priority_t priority)
{
	size_t max_bytes = priority == CB_LOG_PRIORITY_LOW ?
				   BUFFER_MAX_BYTES / 2 :
				   BUFFER_MAX_BYTES;

	if (writer->is_reader_closed || writer->buffer->len + size > max_bytes)
		return FALSE;
	g_byte_array_append(writer->buffer, (const uint8_t *)line,
			    (unsigned int)size);
	if (cb_timer_is_armed(writer->timer) &&
	    priority != CB_LOG_PRIORITY_URGENT)
		return TRUE;
	if (priority == CB_LOG_PRIORITY_URGENT ||
	    cb_clock_now_ms(writer->clock) - writer->last_flush_ms >= BATCH_MS)
		buffer_flush_(writer, 0);
	if (writer->buffer->len && !cb_timer_is_armed(writer->timer))
		cb_timer_start(writer->timer, BATCH_MS);
	return TRUE;
}
