#include <libsoup/soup.h>
#include <sys/stat.h>

#include "slopes.h"
#include "support_clients.h"

/*
 * Cost of contracts: CPU time, memory and disk space of three control
 * instances and one entry instance, all real processes that are otherwise
 * idle, and the time that a control instance needs to restart.
 */
#define CONTROL_COUNT 3
#define SILENCE_TIMEOUT_MS 2000
#define START_TIMEOUT_MS 30000
#define PUT_TIMEOUT_MS 20000
#define SETTLE_MS 1000
#define MEASURE_MS 2500
#define BATCH_SIZE 100
#define US_PER_MS 1000.0

typedef struct fixture {
	support_group_t *group;
	support_clients_t *clients;
	support_daemon_t *entry;
	int contract_count;
} fixture_t;

static void fixture_init_(fixture_t *fixture)
{
	fixture->contract_count = 0;
	fixture->group = support_group_new(CONTROL_COUNT, NULL);
	fixture->clients =
		support_clients_new(fixture->group, 1, SILENCE_TIMEOUT_MS);
	if (!support_clients_wait_confirmed(fixture->clients, START_TIMEOUT_MS))
		g_error("the session was not confirmed");
	fixture->entry = slopes_entry_start(fixture->group);
}

static void fixture_clear_(fixture_t *fixture)
{
	support_clients_delete(fixture->clients);
	support_group_delete(fixture->group);
}

/* Puts contracts in batches until there are `count` of them. */
static void contracts_put_(fixture_t *fixture, int count)
{
	support_change_t *changes = g_new0(support_change_t, BATCH_SIZE);
	int i;

	while (fixture->contract_count < count) {
		int batch = MIN(BATCH_SIZE, count - fixture->contract_count);

		for (i = 0; i < batch; i++) {
			char *workspace =
				g_strdup_printf("workspace-%d",
						fixture->contract_count++);

			support_change_put(fixture->clients, 0, workspace,
					   PUT_TIMEOUT_MS, &changes[i]);
			g_free(workspace);
		}
		for (i = 0; i < batch; i++) {
			support_change_wait(&changes[i], 2 * PUT_TIMEOUT_MS);
			if (!support_change_is_accepted(&changes[i]))
				g_error("a contract was not accepted");
			g_free(changes[i].workspace);
		}
	}
	g_free(changes);
}

static gboolean daemon_is_healthy_(void *user_data)
{
	const support_daemon_t *daemon = user_data;

	return support_http_request("GET", daemon->http, "/healthz", NULL,
				    NULL) == SOUP_STATUS_OK;
}

/* Restarts a control instance; returns the time until it is healthy. */
static double daemon_restart_ms_(support_daemon_t *daemon)
{
	int64_t begin_us;

	support_daemon_stop(daemon);
	begin_us = g_get_monotonic_time();
	support_daemon_start(daemon);
	if (!support_wait_until(daemon_is_healthy_, daemon, START_TIMEOUT_MS))
		g_error("%s is not healthy after its restart", daemon->name);
	return (double)(g_get_monotonic_time() - begin_us) / US_PER_MS;
}

static double folder_size_kb_(const support_daemon_t *daemon)
{
	GDir *dir = g_dir_open(daemon->folder, 0, NULL);
	const char *name;
	double size_kb = 0;

	g_assert(dir);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(daemon->folder, name, NULL);
		struct stat status;

		if (!stat(path, &status))
			size_kb += (double)status.st_size / 1024;
		g_free(path);
	}
	g_dir_close(dir);
	return size_kb;
}

void slopes_measure_contracts(const slopes_output_t *output)
{
	static const int counts[] = { 100, 1000, 2500, 5000 };
	slopes_series_t series[7];
	fixture_t fixture;
	size_t i;

	slopes_series_init(&series[0], "contracts_leader_cpu", "ms/s",
			   "contract");
	slopes_series_init(&series[1], "contracts_leader_memory", "KB",
			   "contract");
	slopes_series_init(&series[2], "contracts_follower_memory", "KB",
			   "contract");
	slopes_series_init(&series[3], "contracts_entry_cpu", "ms/s",
			   "contract");
	slopes_series_init(&series[4], "contracts_entry_memory", "KB",
			   "contract");
	slopes_series_init(&series[5], "contracts_control_folder", "KB",
			   "contract");
	slopes_series_init(&series[6], "contracts_control_restart", "ms",
			   "contract");
	fixture_init_(&fixture);
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		support_daemon_t *leader;
		support_daemon_t *follower;
		slopes_usage_t begin[2];
		slopes_usage_t end[2];
		int leader_index;

		contracts_put_(&fixture, counts[i]);
		slopes_loop_run(SETTLE_MS);
		leader_index = support_group_leader(fixture.group);
		if (leader_index < 0)
			g_error("the control group has no leader");
		leader = fixture.group->control[leader_index];
		follower =
			fixture.group
				->control[(leader_index + 1) % CONTROL_COUNT];
		begin[0] = slopes_usage_read_daemon(leader);
		begin[1] = slopes_usage_read_daemon(fixture.entry);
		slopes_loop_run(MEASURE_MS);
		end[0] = slopes_usage_read_daemon(leader);
		end[1] = slopes_usage_read_daemon(fixture.entry);
		slopes_series_add(&series[0], counts[i],
				  slopes_usage_cpu_ms_per_s(begin[0], end[0]));
		slopes_series_add(&series[1], counts[i], end[0].resident_kb);
		slopes_series_add(
			&series[2], counts[i],
			slopes_usage_read_daemon(follower).resident_kb);
		slopes_series_add(&series[3], counts[i],
				  slopes_usage_cpu_ms_per_s(begin[1], end[1]));
		slopes_series_add(&series[4], counts[i], end[1].resident_kb);
		slopes_series_add(&series[5], counts[i],
				  folder_size_kb_(follower));
		slopes_series_add(&series[6], counts[i],
				  daemon_restart_ms_(follower));
	}
	fixture_clear_(&fixture);
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
}
