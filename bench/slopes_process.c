#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "slopes.h"

#define BYTES_PER_KB 1024
#define US_PER_S 1e6

/*
 * Processor time of a process by its clock: exact, where /proc/PID/stat
 * counts in steps of 10 ms.
 */
static double processor_ms_(pid_t pid)
{
	struct timespec spent;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) || clock_gettime(clock, &spent))
		return 0;
	return (double)spent.tv_sec * 1e3 + (double)spent.tv_nsec / 1e6;
}

static double resident_kb_(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	char *text = NULL;
	double pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		pages = g_ascii_strtod(strchr(text, ' '), NULL);
	g_free(text);
	g_free(path);
	return pages * (double)sysconf(_SC_PAGESIZE) / BYTES_PER_KB;
}

/* Sums the series of a counter in Prometheus text. */
static double counter_sum_(const char *metrics, const char *name)
{
	const char *at = metrics;
	double sum = 0;

	while ((at = strstr(at, name))) {
		const char *value = strchr(at, ' ');

		if (at > metrics && at[-1] == '\n' && value)
			sum += g_ascii_strtod(value, NULL);
		at += strlen(name);
	}
	return sum;
}

/* Returns what this process has spent, without bytes. */
slopes_spent_t slopes_self_spent(void)
{
	slopes_spent_t spent = {
		.processor_ms = processor_ms_(getpid()),
		.resident_kb = resident_kb_(getpid()),
		.at_us = g_get_monotonic_time(),
	};

	return spent;
}

/* Returns what a daemon has spent; one that has ended stops the run. */
slopes_spent_t slopes_daemon_spent(const support_daemon_t *daemon)
{
	slopes_spent_t spent = { 0 };
	char *metrics = NULL;
	pid_t pid;

	if (!support_daemon_runs(daemon))
		g_error("%s has ended", daemon->name);
	pid = atoi(g_subprocess_get_identifier(daemon->process));
	support_http("GET", daemon->http, "/metrics", NULL, &metrics);
	if (!metrics)
		g_error("%s gives no metrics", daemon->name);
	spent.link_bytes = counter_sum_(metrics, "cb_link_bytes_total{");
	spent.processor_ms = processor_ms_(pid);
	spent.resident_kb = resident_kb_(pid);
	spent.at_us = g_get_monotonic_time();
	g_free(metrics);
	return spent;
}

static double seconds_(slopes_spent_t begin, slopes_spent_t end)
{
	return (double)(end.at_us - begin.at_us) / US_PER_S;
}

double slopes_processor_ms_per_s(slopes_spent_t begin, slopes_spent_t end)
{
	return (end.processor_ms - begin.processor_ms) / seconds_(begin, end);
}

double slopes_bytes_per_s(slopes_spent_t begin, slopes_spent_t end)
{
	return (end.link_bytes - begin.link_bytes) / seconds_(begin, end);
}

static gboolean quit_(void *user_data)
{
	g_main_loop_quit(user_data);
	return G_SOURCE_REMOVE;
}

void slopes_rest(int64_t rest_ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add((guint)rest_ms, quit_, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

support_daemon_t *slopes_entry_start(support_group_t *group)
{
	char *http = g_strdup_printf("127.0.0.1:%u", support_free_port());
	char *settings =
		g_strdup_printf("{\"name\":\"entry-a\",\"listen\":\"%s\","
				"\"data_centre\":\"dc1\",\"control\":[\"%s\"]}",
				http, group->control[0]->peers);
	support_daemon_t *entry =
		support_group_add(group, "cb-entry", "entry-a", http, settings);

	support_daemon_start(entry);
	g_free(settings);
	g_free(http);
	return entry;
}
