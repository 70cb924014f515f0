#include "private/log_writer.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

/* Lines that come within this time of a write share the next one. */
#define GATHER_MS 50
/* Lines kept while nobody reads: some seconds of an entry at full load. */
#define KEPT_MAX_BYTES (256 * 1024)
/* The last lines of a process wait for their reader no longer. */
#define LAST_LINES_MS 200

struct cb_log_writer {
	cb_clock_t *clock;
	int fd;
	GByteArray *kept;
	cb_timer_t *timer;
	int64_t written_ms; /* when something was last written */
	gboolean is_closed; /* the reader is gone for good */
	int64_t lost;	    /* lines that were kept when it went */
};

/*
 * Tells whether one write of at most PIPE_BUF bytes would go through now.  A
 * pipe that polls as writable takes that many without waiting, so the mode of
 * a descriptor that others may share need not be changed.
 */
static gboolean is_writable_(const cb_log_writer_t *writer, int wait_ms)
{
	struct pollfd poll_fd = { .fd = writer->fd, .events = POLLOUT };

	return poll(&poll_fd, 1, wait_ms) == 1 &&
	       (poll_fd.revents & (POLLOUT | POLLERR));
}

/* Gives up what is kept: nobody will read it. */
static void close_(cb_log_writer_t *writer)
{
	unsigned int i;

	for (i = 0; i < writer->kept->len; i++)
		writer->lost += writer->kept->data[i] == '\n';
	writer->is_closed = TRUE;
	g_byte_array_set_size(writer->kept, 0);
}

/* Writes what goes through, after waiting for at most `wait_ms`. */
static void flush_(cb_log_writer_t *writer, int wait_ms)
{
	size_t done = 0;

	while (done < writer->kept->len && is_writable_(writer, wait_ms)) {
		ssize_t size = write(writer->fd, writer->kept->data + done,
				     MIN(writer->kept->len - done, PIPE_BUF));

		if (size < 0 && errno != EINTR && errno != EAGAIN) {
			close_(writer);
			return;
		}
		if (size <= 0)
			break;
		done += (size_t)size;
		wait_ms = 0;
	}
	if (done)
		g_byte_array_remove_range(writer->kept, 0, (unsigned int)done);
	writer->written_ms = cb_clock_now_ms(writer->clock);
}

static void gathered_(void *user_data)
{
	cb_log_writer_t *writer = user_data;

	flush_(writer, 0);
	if (writer->kept->len)
		cb_timer_start(writer->timer, GATHER_MS);
}

/* Makes a writer to `fd`, which it does not close. */
cb_log_writer_t *cb_log_writer_new(cb_clock_t *clock, int fd)
{
	cb_log_writer_t *writer = g_new0(cb_log_writer_t, 1);

	writer->clock = clock;
	writer->fd = fd;
	writer->kept = g_byte_array_new();
	writer->timer = cb_timer_new(clock, gathered_, writer);
	writer->written_ms = cb_clock_now_ms(clock) - GATHER_MS;
	return writer;
}

/* Deletes a writer; its last lines wait a little for a slow reader. */
void cb_log_writer_delete(cb_log_writer_t *writer)
{
	if (!writer)
		return;
	flush_(writer, LAST_LINES_MS);
	cb_timer_delete(writer->timer);
	g_byte_array_unref(writer->kept);
	g_free(writer);
}

/* Returns how many lines were taken and never read, as the reader closed. */
int64_t cb_log_writer_lost(const cb_log_writer_t *writer)
{
	return writer->lost;
}

/* Takes a line with its newline; FALSE: there is no room, it is dropped. */
gboolean cb_log_writer_add(cb_log_writer_t *writer, const char *line,
			   size_t size, cb_log_weight_t weight)
{
	size_t room = weight == CB_LOG_WEIGHT_ROUTINE ? KEPT_MAX_BYTES / 2 :
							KEPT_MAX_BYTES;

	if (writer->is_closed || writer->kept->len + size > room)
		return FALSE;
	g_byte_array_append(writer->kept, (const uint8_t *)line,
			    (unsigned int)size);
	if (cb_timer_is_armed(writer->timer) && weight != CB_LOG_WEIGHT_URGENT)
		return TRUE;
	if (weight == CB_LOG_WEIGHT_URGENT ||
	    cb_clock_now_ms(writer->clock) - writer->written_ms >= GATHER_MS)
		flush_(writer, 0);
	if (writer->kept->len && !cb_timer_is_armed(writer->timer))
		cb_timer_start(writer->timer, GATHER_MS);
	return TRUE;
}
