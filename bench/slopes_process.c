#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "slopes.h"

#define BYTES_PER_KB 1024
#define US_PER_S 1e6

/*
 * Returns the CPU time of a process.  Reads the CPU-time clock of the process,
 * because /proc/PID/stat counts in steps of 10 ms.
 */
static double cpu_time_read_ms_(pid_t pid)
{
	struct timespec cpu_time;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) || clock_gettime(clock, &cpu_time))
		return 0;
	return (double)cpu_time.tv_sec * 1e3 + (double)cpu_time.tv_nsec / 1e6;
}

static double resident_memory_read_kb_(pid_t pid)
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

/* Returns the sum of all series of a counter in Prometheus text format. */
static double counter_sum_(const char *metrics, const char *name)
{
	const char *match = metrics;
	double sum = 0;

	while ((match = strstr(match, name))) {
		const char *value = strchr(match, ' ');

		if (match > metrics && match[-1] == '\n' && value)
			sum += g_ascii_strtod(value, NULL);
		match += strlen(name);
	}
	return sum;
}

/* Returns the resource usage of this process; `link_bytes` is 0. */
slopes_usage_t slopes_usage_read_self(void)
{
	slopes_usage_t usage = {
		.cpu_time_ms = cpu_time_read_ms_(getpid()),
		.resident_kb = resident_memory_read_kb_(getpid()),
		.measured_at_us = g_get_monotonic_time(),
	};

	return usage;
}

/*
 * Returns the resource usage of a daemon; aborts the benchmark if it has
 * exited.
 */
slopes_usage_t slopes_usage_read_daemon(const support_daemon_t *daemon)
{
	slopes_usage_t usage = { 0 };
	char *metrics = NULL;
	pid_t pid;

	if (!support_daemon_runs(daemon))
		g_error("%s has exited", daemon->name);
	pid = atoi(g_subprocess_get_identifier(daemon->process));
	support_http_request("GET", daemon->http, "/metrics", NULL, &metrics);
	if (!metrics)
		g_error("%s returned no metrics", daemon->name);
	usage.link_bytes = counter_sum_(metrics, "cb_link_bytes_total{");
	usage.cpu_time_ms = cpu_time_read_ms_(pid);
	usage.resident_kb = resident_memory_read_kb_(pid);
	usage.measured_at_us = g_get_monotonic_time();
	g_free(metrics);
	return usage;
}

static double elapsed_s_(slopes_usage_t begin, slopes_usage_t end)
{
	return (double)(end.measured_at_us - begin.measured_at_us) / US_PER_S;
}

double slopes_usage_cpu_ms_per_s(slopes_usage_t begin, slopes_usage_t end)
{
	return (end.cpu_time_ms - begin.cpu_time_ms) / elapsed_s_(begin, end);
}

double slopes_usage_link_bytes_per_s(slopes_usage_t begin, slopes_usage_t end)
{
	return (end.link_bytes - begin.link_bytes) / elapsed_s_(begin, end);
}

static gboolean loop_quit_(void *user_data)
{
	g_main_loop_quit(user_data);
	return G_SOURCE_REMOVE;
}

void slopes_loop_run(int64_t run_ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add((guint)run_ms, loop_quit_, loop);
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
