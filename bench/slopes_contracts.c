#include <libsoup/soup.h>
#include <sys/stat.h>

#include "slopes.h"
#include "support_clients.h"

/*
 * Contracts in a group of three control instances and in the view of an
 * entry instance, all real processes and otherwise idle; and the restart of
 * a control instance that holds them.
 */
#define CONTROL_COUNT 3
#define SILENCE_MS 2000
#define START_LIMIT_MS 30000
#define PUT_LIMIT_MS 20000
#define SETTLE_MS 1000
#define MEASURE_MS 2500
#define BATCH 100
#define US_PER_MS 1000.0

typedef struct fleet {
	support_group_t *group;
	support_clients_t *clients;
	support_daemon_t *entry;
	int put;
} fleet_t;

static void fleet_init_(fleet_t *fleet)
{
	fleet->put = 0;
	fleet->group = support_group_new(CONTROL_COUNT, NULL);
	fleet->clients = support_clients_new(fleet->group, 1, SILENCE_MS);
	if (!support_clients_wait_confirmed(fleet->clients, START_LIMIT_MS))
		g_error("the session was not confirmed");
	fleet->entry = slopes_entry_start(fleet->group);
}

static void fleet_clear_(fleet_t *fleet)
{
	support_clients_delete(fleet->clients);
	support_group_delete(fleet->group);
}

/* Puts contracts up to `count`, a batch at a time. */
static void fleet_put_(fleet_t *fleet, int count)
{
	support_change_t *changes = g_new0(support_change_t, BATCH);
	int i;

	while (fleet->put < count) {
		int batch = MIN(BATCH, count - fleet->put);

		for (i = 0; i < batch; i++) {
			char *workspace =
				g_strdup_printf("workspace-%d", fleet->put++);

			support_change_put(fleet->clients, 0, workspace,
					   PUT_LIMIT_MS, &changes[i]);
			g_free(workspace);
		}
		for (i = 0; i < batch; i++) {
			support_change_wait(&changes[i], 2 * PUT_LIMIT_MS);
			if (!support_change_is_accepted(&changes[i]))
				g_error("a contract was not accepted");
			g_free(changes[i].workspace);
		}
	}
	g_free(changes);
}

static gboolean is_healthy_(void *user_data)
{
	const support_daemon_t *daemon = user_data;

	return support_http("GET", daemon->http, "/healthz", NULL, NULL) ==
	       SOUP_STATUS_OK;
}

/* Restarts a control instance; milliseconds until it is healthy. */
static double restart_ms_(support_daemon_t *daemon)
{
	int64_t begin_us;

	support_daemon_stop(daemon);
	begin_us = g_get_monotonic_time();
	support_daemon_start(daemon);
	if (!support_wait(is_healthy_, daemon, START_LIMIT_MS))
		g_error("%s is not back", daemon->name);
	return (double)(g_get_monotonic_time() - begin_us) / US_PER_MS;
}

static double folder_kb_(const support_daemon_t *daemon)
{
	GDir *dir = g_dir_open(daemon->folder, 0, NULL);
	const char *name;
	double kb = 0;

	g_assert(dir);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(daemon->folder, name, NULL);
		struct stat status;

		if (!stat(path, &status))
			kb += (double)status.st_size / 1024;
		g_free(path);
	}
	g_dir_close(dir);
	return kb;
}

void slopes_contracts(const slopes_output_t *output)
{
	static const int counts[] = { 100, 1000, 2500, 5000 };
	slopes_series_t series[7];
	fleet_t fleet;
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
	fleet_init_(&fleet);
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		support_daemon_t *leader;
		support_daemon_t *follower;
		slopes_spent_t begin[2];
		slopes_spent_t end[2];
		int number;

		fleet_put_(&fleet, counts[i]);
		slopes_rest(SETTLE_MS);
		number = support_leader(fleet.group);
		if (number < 0)
			g_error("no leader");
		leader = fleet.group->control[number];
		follower = fleet.group->control[(number + 1) % CONTROL_COUNT];
		begin[0] = slopes_daemon_spent(leader);
		begin[1] = slopes_daemon_spent(fleet.entry);
		slopes_rest(MEASURE_MS);
		end[0] = slopes_daemon_spent(leader);
		end[1] = slopes_daemon_spent(fleet.entry);
		slopes_series_add(&series[0], counts[i],
				  slopes_processor_ms_per_s(begin[0], end[0]));
		slopes_series_add(&series[1], counts[i], end[0].resident_kb);
		slopes_series_add(&series[2], counts[i],
				  slopes_daemon_spent(follower).resident_kb);
		slopes_series_add(&series[3], counts[i],
				  slopes_processor_ms_per_s(begin[1], end[1]));
		slopes_series_add(&series[4], counts[i], end[1].resident_kb);
		slopes_series_add(&series[5], counts[i], folder_kb_(follower));
		slopes_series_add(&series[6], counts[i], restart_ms_(follower));
	}
	fleet_clear_(&fleet);
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
}
