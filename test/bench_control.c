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
 * Measures the control instances as real processes on loopback, with the
 * daemon's default bounds.  CB_ROUNDS, CB_CONTROL, CB_SESSIONS and CB_IDLE_S
 * change the amount; CB_TEST chooses one measurement.  It fails when a change is lost
 * or a view goes back, never by a time.
 */
#define SILENCE_MS 3000
#define START_LIMIT_MS 30000
#define CHANGE_LIMIT_MS 20000
#define US_PER_MS 1000.0
/* Before idle sessions are measured. */
#define SETTLE_S 3

static int amount_(const char *variable, int usual)
{
	const char *text = g_getenv(variable);

	return text ? atoi(text) : usual;
}

static int compare_(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Prints the distribution of a series of milliseconds. */
static void print_ms_(const char *name, GArray *series)
{
	double *values = (double *)(void *)series->data;
	unsigned int count = series->len;

	if (!count)
		return;
	qsort(values, count, sizeof(*values), compare_);
	printf("    %s: n %u, median %.1f ms, 95 in 100 %.1f ms, worst "
	       "%.1f ms\n",
	       name, count, values[count / 2],
	       values[(unsigned int)floor((count - 1) * 0.95)],
	       values[count - 1]);
}

typedef struct bench {
	support_group_t *group;
	support_clients_t *clients;
	GArray *accepted; /* of support_change_t */
	int put;
} bench_t;

static void bench_init_(bench_t *bench, size_t control_count, size_t sessions)
{
	memset(bench, 0, sizeof(*bench));
	bench->group = support_group_new(control_count, NULL);
	bench->clients =
		support_clients_new(bench->group, sessions, SILENCE_MS);
	bench->accepted = g_array_new(FALSE, FALSE, sizeof(support_change_t));
	CU_ASSERT_TRUE_FATAL(
		support_clients_wait_confirmed(bench->clients, START_LIMIT_MS));
	CU_ASSERT_TRUE_FATAL(support_wait_leader(bench->group, START_LIMIT_MS));
}

static void bench_clear_(bench_t *bench)
{
	unsigned int i;

	CU_ASSERT_EQUAL(support_clients_went_back(bench->clients), 0);
	support_clients_delete(bench->clients);
	support_group_delete(bench->group);
	for (i = 0; i < bench->accepted->len; i++)
		g_free(g_array_index(bench->accepted, support_change_t, i)
			       .workspace);
	g_array_unref(bench->accepted);
}

/* Makes one change; returns its milliseconds, or -1 if not accepted. */
static double put_(bench_t *bench, uint64_t *revision)
{
	char *workspace = g_strdup_printf("w%d", bench->put++);
	int64_t begin_us = g_get_monotonic_time();
	double ms = -1;
	support_change_t change;

	support_change_put(bench->clients,
			   (size_t)bench->put % bench->clients->count,
			   workspace, CHANGE_LIMIT_MS, &change);
	support_change_wait(&change, 2 * CHANGE_LIMIT_MS);
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

/* Counts the accepted changes that the first view lacks or has changed. */
static int lost_(const bench_t *bench)
{
	int lost = 0;
	unsigned int i;

	for (i = 0; i < bench->accepted->len; i++) {
		const support_change_t *change =
			&g_array_index(bench->accepted, support_change_t, i);
		const cb_contract_t *contract =
			cb_view_contract(bench->clients->clients[0].view,
					 change->workspace);

		if (!contract || contract->revision != change->revision)
			lost++;
	}
	return lost;
}

/* Waits until a revision is in force everywhere; adds each client's time. */
static void in_force_(bench_t *bench, uint64_t revision, int64_t begin_us,
		      GArray *series)
{
	size_t i;

	support_clients_await(bench->clients, revision);
	CU_ASSERT_TRUE(
		support_clients_wait_reached(bench->clients, START_LIMIT_MS));
	for (i = 0; i < bench->clients->count; i++) {
		double ms = (double)(bench->clients->clients[i].reached_us -
				     begin_us) /
			    US_PER_MS;

		g_array_append_val(series, ms);
	}
}

/* Kill -9 of the leader; the time to the next accepted change. */
static void leader_kill_rounds(void)
{
	GArray *series = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = amount_("CB_ROUNDS", 50);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, 6);
	for (round = 0; round < rounds; round++) {
		int leader;
		double ms;

		put_(&bench, &revision);
		support_wait_leader(bench.group, START_LIMIT_MS);
		leader = support_leader(bench.group);
		if (leader < 0)
			break;
		support_daemon_kill(bench.group->control[leader]);
		ms = put_(&bench, &revision);
		if (ms >= 0)
			g_array_append_val(series, ms);
		support_daemon_start(bench.group->control[leader]);
		support_clients_await(bench.clients, revision);
		CU_ASSERT_TRUE(support_clients_wait_reached(bench.clients,
							    START_LIMIT_MS));
	}
	print_ms_("leader killed to the next accepted change", series);
	printf("    rounds %d, accepted %u, lost %d\n", round,
	       bench.accepted->len, lost_(&bench));
	CU_ASSERT_EQUAL(lost_(&bench), 0);
	g_array_unref(series);
	bench_clear_(&bench);
}

/* Change accepted to in force on each session. */
static void change_in_force(void)
{
	GArray *accepted = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *reached = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = 2 * amount_("CB_ROUNDS", 50);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, (size_t)amount_("CB_SESSIONS", 20));
	for (round = 0; round < rounds; round++) {
		double ms = put_(&bench, &revision);

		g_array_append_val(accepted, ms);
		in_force_(&bench, revision, g_get_monotonic_time(), reached);
	}
	print_ms_("change submitted to accepted", accepted);
	print_ms_("change accepted to in force on a session", reached);
	CU_ASSERT_EQUAL(lost_(&bench), 0);
	g_array_unref(accepted);
	g_array_unref(reached);
	bench_clear_(&bench);
}

/* The same while one instance is stopped with its connections open. */
static void change_in_force_with_one_stopped(void)
{
	GArray *reached = g_array_new(FALSE, FALSE, sizeof(double));
	int rounds = MAX(amount_("CB_ROUNDS", 50) / 5, 1);
	uint64_t revision = 0;
	bench_t bench;
	int round;

	bench_init_(&bench, 3, (size_t)amount_("CB_SESSIONS", 20));
	for (round = 0; round < rounds; round++) {
		support_daemon_t *stopped = bench.group->control[round % 3];
		int64_t begin_us = g_get_monotonic_time();

		support_daemon_signal(stopped, SIGSTOP);
		put_(&bench, &revision);
		in_force_(&bench, revision, begin_us, reached);
		support_daemon_signal(stopped, SIGCONT);
		put_(&bench, &revision);
		support_clients_await(bench.clients, revision);
		CU_ASSERT_TRUE(support_clients_wait_reached(bench.clients,
							    START_LIMIT_MS));
	}
	print_ms_("instance stopped and change submitted to in force", reached);
	CU_ASSERT_EQUAL(lost_(&bench), 0);
	g_array_unref(reached);
	bench_clear_(&bench);
}

/* Processor time of a process in milliseconds. */
static double process_ms_(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/stat", pid);
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system_ticks = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')'),
		       ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system_ticks);
	g_free(text);
	g_free(path);
	return (double)(user + system_ticks) * 1000.0 /
	       (double)sysconf(_SC_CLK_TCK);
}

/* What one control instance has spent so far. */
typedef struct spent {
	double processor_ms;
	double link_bytes; /* sent and received */
	double resident_kb;
} spent_t;

/* Reads the sum of a counter's series from Prometheus text. */
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

static double resident_kb_(const char *pid)
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

static spent_t control_spent_(const support_daemon_t *daemon)
{
	spent_t spent = { 0 };
	char *metrics = NULL;

	support_http("GET", daemon->http, "/metrics", NULL, &metrics);
	if (metrics)
		spent.link_bytes =
			counter_sum_(metrics, "cb_link_bytes_total{");
	spent.processor_ms =
		process_ms_(g_subprocess_get_identifier(daemon->process));
	spent.resident_kb =
		resident_kb_(g_subprocess_get_identifier(daemon->process));
	g_free(metrics);
	return spent;
}

/* Bytes of links that the sessions have sent and received so far. */
static int64_t session_bytes_(const bench_t *bench)
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

/* Lets the loop rest for so long, without polling. */
static void rest_(int seconds)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	g_timeout_add_seconds((guint)seconds, loop_quit_, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

static void idle_measure_(size_t control_count, size_t sessions)
{
	int idle_s = amount_("CB_IDLE_S", 20);
	spent_t *begin = g_new0(spent_t, control_count);
	spent_t worst = { 0 };
	bench_t bench;
	double self_ms;
	int64_t bytes;
	size_t i;

	bench_init_(&bench, control_count, sessions);
	rest_(SETTLE_S);
	for (i = 0; i < control_count; i++)
		begin[i] = control_spent_(bench.group->control[i]);
	self_ms = process_ms_("self");
	bytes = session_bytes_(&bench);
	rest_(idle_s);
	self_ms = process_ms_("self") - self_ms;
	bytes = session_bytes_(&bench) - bytes;
	for (i = 0; i < control_count; i++) {
		spent_t end = control_spent_(bench.group->control[i]);

		CU_ASSERT_TRUE(support_daemon_runs(bench.group->control[i]));
		end.processor_ms -= begin[i].processor_ms;
		end.link_bytes -= begin[i].link_bytes;
		worst.processor_ms = MAX(worst.processor_ms, end.processor_ms);
		worst.resident_kb = MAX(worst.resident_kb, end.resident_kb);
		worst.link_bytes = MAX(worst.link_bytes, end.link_bytes);
	}
	printf("    %zu control instances, %zu idle sessions, %d s, link bytes "
	       "without TCP and IP\n",
	       control_count, sessions, idle_s);
	printf("        a session: %.4f%% of a core, %.1f bytes a second\n",
	       self_ms / (double)sessions / idle_s / 10,
	       (double)bytes / (double)sessions / idle_s);
	printf("        the busiest control instance: %.2f%% of a core, %.0f "
	       "bytes a second, %.0f KB resident\n",
	       worst.processor_ms / idle_s / 10, worst.link_bytes / idle_s,
	       worst.resident_kb);
	g_free(begin);
	bench_clear_(&bench);
}

static void idle_sessions(void)
{
	if (g_getenv("CB_SESSIONS")) {
		idle_measure_((size_t)amount_("CB_CONTROL", 3),
			      (size_t)amount_("CB_SESSIONS", 20));
		return;
	}
	idle_measure_(3, 1);
	idle_measure_(3, 20);
	idle_measure_(3, 200);
	idle_measure_(9, 1);
	idle_measure_(9, 370);
}

static CU_TestInfo bench_tests[] = { { "leader_kill_rounds",
				       leader_kill_rounds },
				     { "change_in_force", change_in_force },
				     { "change_in_force_with_one_stopped",
				       change_in_force_with_one_stopped },
				     { "idle_sessions", idle_sessions },
				     CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "bench", .pTests = bench_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
