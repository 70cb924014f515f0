#include "support_log.h"

#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Creates the log, of the events of level info and above. */
void support_log_begin(support_log_t *self, cb_clock_t *clock)
{
	memset(self->text, 0, sizeof(self->text));
	CU_ASSERT_EQUAL_FATAL(pipe(self->fds), 0);
	CU_ASSERT_EQUAL(fcntl(self->fds[0], F_SETFL, O_NONBLOCK), 0);
	self->log = cb_log_new(clock, self->fds[1], CB_LOG_FORMAT_JSON,
			       CB_LOG_LEVEL_INFO);
}

/* Deletes the log, and reads what it has written. */
void support_log_end(support_log_t *self)
{
	const size_t max_bytes = sizeof(self->text) - 1;

	cb_log_delete(self->log);
	CU_ASSERT_TRUE(read(self->fds[0], self->text, max_bytes) <
		       (ssize_t)max_bytes);
	close(self->fds[0]);
	close(self->fds[1]);
}

/* Returns how often a text contains another one. */
unsigned int support_text_count(const char *text, const char *part)
{
	unsigned int count = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		count++;
	}
	return count;
}

/* Renders the counters and returns the value of a series; -1: it is missing. */
int64_t support_series_read(cb_counters_t *counters, const char *series)
{
	char *text = cb_counters_render(counters);
	char *start = g_strdup_printf("\n%s ", series);
	const char *line = strstr(text, start);
	int64_t value =
		line ? g_ascii_strtoll(line + strlen(start), NULL, 10) : -1;

	g_free(start);
	g_free(text);
	return value;
}
