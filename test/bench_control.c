#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "currantbridge/program.h"
#include "support_clients.h"
#include "support_main.h"

/*
 * Measures control instances as real processes on loopback, with the daemon's
 * default timeouts.  The environment variables CB_ROUNDS, CB_CONTROL,
 * CB_SESSIONS and CB_IDLE_S set the numbers of rounds, control instances and
 * sessions and the idle time in seconds; CB_TEST selects one measurement.  It
 * fails if a change is lost or the revision of a view decreases, but never
 * because of a measured time.
 */
#define SILENCE_MS 3000
#define START_TIMEOUT_MS 30000
#define CHANGE_TIMEOUT_MS 20000
#define US_PER_MS 1000.0
/* Time to wait before the idle sessions are measured. */
#define SETTLE_TIME_S 3

/* Returns the number in an environment variable, or `default_value`. */
static int env_number_read_(const char *variable, int default_value)
{
	const char *text = g_getenv(variable);

	return text ? atoi(text) : default_value;
}

static int doubles_compare_(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Sorts a series of milliseconds and prints its distribution. */
static void series_print_ms_(const char *name, GArray *series)
{
	double *values = (double *)(void *)series->data;
	unsigned int count = series->len;

	if (!count)
		return;
	qsort(values, count, sizeof(*values), doubles_compare_);
	printf("    %s: n %u, median %.1f ms, 95th percentile %.1f ms, "
	       "maximum %.1f ms\n",
	       name, count, values[count / 2],
	       values[(unsigned int)floor((count - 1) * 0.95)],
	       values[count - 1]);
}

/* A control group, its clients and the changes that were accepted. */
typedef struct bench {
	support_group_t *group;
	support_clients_t *clients;
	GArray *accepted; /* array of support_change_t */
	int submitted_count;
} bench_t;

static void bench_init_(bench_t *bench, size_t control_count, size_t sessions)
{
	memset(bench, 0, sizeof(*bench));
	bench->group = support_group_new(control_count, NULL);
	bench->clients =
		support_clients_new(bench->group, sessions, SILENCE_MS);
	bench->accepted = g_array_new(FALSE, FALSE, sizeof(support_change_t));
	CU_ASSERT_TRUE_FATAL(support_clients_wait_confirmed(bench->clients,
							    START_TIMEOUT_MS));
	CU_ASSERT_TRUE_FATAL(
		support_wait_leader(bench->group, START_TIMEOUT_MS));
}

static void bench_clear_(bench_t *bench)
{
	unsigned int i;

	CU_ASSERT_EQUAL(support_clients_revision_decreases(bench->clients), 0);
	support_clients_delete(bench->clients);
	support_group_delete(bench->group);
	for (i = 0; i < bench->accepted->len; i++)
		g_free(g_array_index(bench->accepted, support_change_t, i)
			       .workspace);
	g_array_unref(bench->accepted);
}

/*
 * Submits one change and waits for its result.  Returns the elapsed time in
 * milliseconds and stores the revision; returns -1 if it was not accepted.
 */
static double change_submit_(bench_t *bench, uint64_t *revision)
{
	char *workspace = g_strdup_printf("w%d", bench->submitted_count++);
	int64_t begin_us = g_get_monotonic_time();
	double ms = -1;
	support_change_t change;

	support_change_put(bench->clients,
			   (size_t)bench->submitted_count %
				   bench->clients->count,
			   workspace, CHANGE_TIMEOUT_MS, &change);
	support_change_wait(&change, 2 * CHANGE_TIMEOUT_MS);
	g_free(workspace);
	CU_ASSERT_TRUE(support_change_is_accepted(&change));
	if (!support_change_is_accepted(&change)) {
		g_free(change.workspace);
		return ms;
	}
	*revision = change.revision;
	g_array_append_val(bench->accepted, change);
	ms = (double)(g_get_monotonic_time() - begin_us) / US_PER_MS;
	return ms;
}

/*
 * Counts the accepted changes that are missing or have another revision in the
 * view of the first client.
 */
static int lost_changes_count_(const bench_t *bench)
{
	int lost_count = 0;
	unsigned int i;

	for (i = 0; i < bench->accepted->len; i++) {
		const support_change_t *change =
			&g_array_index(bench->accepted, support_change_t, i);
		const cb_contract_t *contract =
			cb_view_contract(bench->clients->clients[0].view,
					 change->workspace);

		if (!contract || contract->revision != change->revision)
			lost_count++;
	}
	return lost_count;
}

/*
 * Waits until a revision is in force at every client, and appends to `series`
 * the milliseconds from `begin_us` until then, for each client.
 */
static void in_force_times_append_(bench_t *bench, uint64_t revision,
				   int64_t begin_us, GArray *series)
{
	size_t i;

	support_clients_await_revision(bench->clients, revision);
	CU_ASSERT_TRUE(support_clients_wait_in_force(bench->clients,
						     START_TIMEOUT_MS));
	for (i = 0; i < bench->clients->count; i++) {
		double ms = (double)(bench->clients->clients[i].in_force_us -
				     begin_us) /
			    US_PER_MS;

		g_array_append_val(series, ms);
	}
}

/* Measures the time from SIGKILL of the leader to the next accepted change. */
static void leader_kill_to_next_change(void)
{
	GArray *series = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = env_number_read_("CB_ROUNDS", 50);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, 6);
	for (round = 0; round < rounds; round++) {
		int leader;
		double ms;

		change_submit_(&bench, &revision);
		support_wait_leader(bench.group, START_TIMEOUT_MS);
		leader = support_group_leader(bench.group);
		if (leader < 0)
			break;
		support_daemon_kill(bench.group->control[leader]);
		ms = change_submit_(&bench, &revision);
		if (ms >= 0)
			g_array_append_val(series, ms);
		support_daemon_start(bench.group->control[leader]);
		support_clients_await_revision(bench.clients, revision);
		CU_ASSERT_TRUE(support_clients_wait_in_force(bench.clients,
							     START_TIMEOUT_MS));
	}
	series_print_ms_("leader killed to next change accepted", series);
	printf("    rounds %d, accepted %u, lost %d\n", round,
	       bench.accepted->len, lost_changes_count_(&bench));
	CU_ASSERT_EQUAL(lost_changes_count_(&bench), 0);
	g_array_unref(series);
	bench_clear_(&bench);
}

/* Measures the time from a change's acceptance until all clients apply it. */
static void change_in_force(void)
{
	GArray *accepted = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *in_force_times = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = 2 * env_number_read_("CB_ROUNDS", 50);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, (size_t)env_number_read_("CB_SESSIONS", 20));
	for (round = 0; round < rounds; round++) {
		double ms = change_submit_(&bench, &revision);

		g_array_append_val(accepted, ms);
		in_force_times_append_(&bench, revision, g_get_monotonic_time(),
				       in_force_times);
	}
	series_print_ms_("change submitted to accepted", accepted);
	series_print_ms_("change accepted to in force at a client",
			 in_force_times);
	CU_ASSERT_EQUAL(lost_changes_count_(&bench), 0);
	g_array_unref(accepted);
	g_array_unref(in_force_times);
	bench_clear_(&bench);
}

/*
 * Measures the time from the suspension of one instance by SIGSTOP, with its
 * connections open, until a new change is in force at each client.
 */
static void change_in_force_with_one_suspended(void)
{
	GArray *in_force_times = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = MAX(env_number_read_("CB_ROUNDS", 50) / 5, 1);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, (size_t)env_number_read_("CB_SESSIONS", 20));
	for (round = 0; round < rounds; round++) {
		support_daemon_t *suspended = bench.group->control[round % 3];
		int64_t begin_us = g_get_monotonic_time();

		support_daemon_signal(suspended, SIGSTOP);
		change_submit_(&bench, &revision);
		in_force_times_append_(&bench, revision, begin_us,
				       in_force_times);
		support_daemon_signal(suspended, SIGCONT);
		change_submit_(&bench, &revision);
		support_clients_await_revision(bench.clients, revision);
		CU_ASSERT_TRUE(support_clients_wait_in_force(bench.clients,
							     START_TIMEOUT_MS));
	}
	series_print_ms_("instance suspended to change in force",
			 in_force_times);
	CU_ASSERT_EQUAL(lost_changes_count_(&bench), 0);
	g_array_unref(in_force_times);
	bench_clear_(&bench);
}

/* Returns the processor time used by a process, in milliseconds. */
static double processor_ms_read_(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/stat", pid);
	char *text = NULL;
	unsigned long user_ticks = 0;
	unsigned long system_ticks = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')'),
		       ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user_ticks, &system_ticks);
	g_free(text);
	g_free(path);
	return (double)(user_ticks + system_ticks) * 1000.0 /
	       (double)sysconf(_SC_CLK_TCK);
}

/* Resources that one control instance has used so far. */
typedef struct usage {
	double processor_ms;
	/* Bytes sent and received over links between instances. */
	double link_bytes;
	double resident_kb;
} usage_t;

/*
 * Returns the sum over all series whose name and labels begin with `name`, from
 * metrics in Prometheus text format.
 */
static double counter_sum_(const char *metrics, const char *name)
{
	const char *at = metrics;
	double sum = 0;

	while ((at = strstr(at, name))) {
		const char *value = strchr(at, ' ');

		if (at[-1] == '\n' && value)
			sum += g_ascii_strtod(value, NULL);
		at += strlen(name);
	}
	return sum;
}

static double resident_kb_read_(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/statm", pid);
	char *text = NULL;
	double pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		pages = g_ascii_strtod(strchr(text, ' '), NULL);
	g_free(text);
	g_free(path);
	return pages * (double)sysconf(_SC_PAGESIZE) / 1024;
}

static usage_t control_usage_read_(const support_daemon_t *daemon)
{
	usage_t usage = { 0 };
	char *metrics = NULL;

	support_http_request("GET", daemon->http, "/metrics", NULL, &metrics);
	if (metrics)
		usage.link_bytes =
			counter_sum_(metrics, "cb_link_bytes_total{");
	usage.processor_ms = processor_ms_read_(
		g_subprocess_get_identifier(daemon->process));
	usage.resident_kb =
		resident_kb_read_(g_subprocess_get_identifier(daemon->process));
	g_free(metrics);
	return usage;
}

/* Returns the bytes that the clients have sent and received on links so far. */
static int64_t client_link_bytes_read_(const bench_t *bench)
{
	static const char *const directions[] = { "sent", "received" };
	int64_t bytes = 0;
	size_t i;
	size_t k;

	for (i = 0; i < bench->clients->count; i++)
		for (k = 0; k < G_N_ELEMENTS(directions); k++)
			bytes += cb_counter_get(cb_counters_counter(
				cb_kernel_counters(
					bench->clients->clients[i].kernel),
				"cb_link_bytes_total", "direction",
				directions[k]));
	return bytes;
}

static gboolean loop_quit_(void *user_data)
{
	g_main_loop_quit(user_data);
	return G_SOURCE_REMOVE;
}

/* Runs the main loop for some seconds, without polling. */
static void loop_run_(int seconds)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add_seconds((guint)seconds, loop_quit_, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

/*
 * Prints the processor time, bytes and memory that idle sessions cost the
 * clients and the busiest control instance.
 */
static void idle_sessions_measure_(size_t control_count, size_t sessions)
{
	int idle_s = env_number_read_("CB_IDLE_S", 20);
	usage_t *begin = g_new0(usage_t, control_count);
	usage_t highest = { 0 };
	bench_t bench;
	double clients_ms;
	int64_t bytes;
	size_t i;

	bench_init_(&bench, control_count, sessions);
	loop_run_(SETTLE_TIME_S);
	for (i = 0; i < control_count; i++)
		begin[i] = control_usage_read_(bench.group->control[i]);
	clients_ms = processor_ms_read_("self");
	bytes = client_link_bytes_read_(&bench);
	loop_run_(idle_s);
	clients_ms = processor_ms_read_("self") - clients_ms;
	bytes = client_link_bytes_read_(&bench) - bytes;
	for (i = 0; i < control_count; i++) {
		usage_t end = control_usage_read_(bench.group->control[i]);

		CU_ASSERT_TRUE(support_daemon_runs(bench.group->control[i]));
		end.processor_ms -= begin[i].processor_ms;
		end.link_bytes -= begin[i].link_bytes;
		highest.processor_ms =
			MAX(highest.processor_ms, end.processor_ms);
		highest.resident_kb = MAX(highest.resident_kb, end.resident_kb);
		highest.link_bytes = MAX(highest.link_bytes, end.link_bytes);
	}
	printf("    %zu control instances, %zu idle sessions, %d s, link bytes "
	       "without TCP and IP\n",
	       control_count, sessions, idle_s);
	printf("        a session: %.4f%% of a core, %.1f bytes a second\n",
	       clients_ms / (double)sessions / idle_s / 10,
	       (double)bytes / (double)sessions / idle_s);
	printf("        the busiest control instance: %.2f%% of a core, %.0f "
	       "bytes a second, %.0f KB resident\n",
	       highest.processor_ms / idle_s / 10, highest.link_bytes / idle_s,
	       highest.resident_kb);
	g_free(begin);
	bench_clear_(&bench);
}

static void idle_sessions(void)
{
	if (g_getenv("CB_SESSIONS")) {
		idle_sessions_measure_((size_t)env_number_read_("CB_CONTROL",
								3),
				       (size_t)env_number_read_("CB_SESSIONS",
								20));
		return;
	}
	idle_sessions_measure_(3, 1);
	idle_sessions_measure_(3, 20);
	idle_sessions_measure_(3, 200);
	idle_sessions_measure_(9, 1);
	idle_sessions_measure_(9, 370);
}

static CU_TestInfo bench_tests[] = { { "leader_kill_to_next_change",
				       leader_kill_to_next_change },
				     { "change_in_force", change_in_force },
				     { "change_in_force_with_one_suspended",
				       change_in_force_with_one_suspended },
				     { "idle_sessions", idle_sessions },
				     CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "bench", .pTests = bench_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
