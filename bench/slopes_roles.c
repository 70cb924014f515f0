#include "slopes_roles.h"

/*
 * The clients send heartbeats at a quarter of this timeout, as cb-entry does.
 */
#define SILENCE_TIMEOUT_MS 2000
#define START_TIMEOUT_MS 30000

/* Starts a control group and waits for its leader. */
slopes_roles_t slopes_roles_new(void)
{
	slopes_roles_t roles = {
		.group = support_group_new(SLOPES_CONTROL_COUNT, NULL)
	};

	if (!support_wait_leader(roles.group, START_TIMEOUT_MS))
		g_error("the control group has no leader");
	return roles;
}

/* Records which instance is the leader and which follower is measured. */
void slopes_roles_find_leader(slopes_roles_t *roles)
{
	roles->leader = support_group_leader(roles->group);
	if (roles->leader < 0)
		g_error("the control group has no leader");
	roles->follower = (roles->leader + 1) % SLOPES_CONTROL_COUNT;
}

/*
 * Aborts the benchmark if the leader has changed: the figures would then mix
 * both roles.
 */
void slopes_roles_check_leader(const slopes_roles_t *roles)
{
	if (support_group_leader(roles->group) != roles->leader)
		g_error("the leader changed during a measurement");
}

/* Reads the resource usage of each role up to now. */
slopes_role_usage_t slopes_role_usage_read(const slopes_roles_t *roles)
{
	slopes_role_usage_t usage = {
		.leader = slopes_usage_read_daemon(
			roles->group->control[roles->leader]),
		.follower = slopes_usage_read_daemon(
			roles->group->control[roles->follower]),
		.clients = slopes_usage_read_self(),
	};

	return usage;
}

/*
 * Initializes the figures; `series_names` are in the order of
 * SLOPES_ROLE_NAMES.
 */
void slopes_role_series_init(slopes_role_series_t *series,
			     const char *const series_names[7],
			     const char *count_of)
{
	slopes_series_init(&series->leader_cpu, series_names[0], "ms/s",
			   count_of);
	slopes_series_init(&series->leader_bytes, series_names[1], "B/s",
			   count_of);
	slopes_series_init(&series->leader_memory, series_names[2], "KB",
			   count_of);
	slopes_series_init(&series->follower_cpu, series_names[3], "ms/s",
			   count_of);
	slopes_series_init(&series->follower_bytes, series_names[4], "B/s",
			   count_of);
	slopes_series_init(&series->follower_memory, series_names[5], "KB",
			   count_of);
	slopes_series_init(&series->clients_cpu, series_names[6], "ms/s",
			   count_of);
}

void slopes_role_series_add(slopes_role_series_t *series, double count,
			    slopes_role_usage_t begin, slopes_role_usage_t end)
{
	slopes_series_add(&series->leader_cpu, count,
			  slopes_usage_cpu_ms_per_s(begin.leader, end.leader));
	slopes_series_add(&series->leader_bytes, count,
			  slopes_usage_link_bytes_per_s(begin.leader,
							end.leader));
	slopes_series_add(&series->leader_memory, count,
			  end.leader.resident_kb);
	slopes_series_add(&series->follower_cpu, count,
			  slopes_usage_cpu_ms_per_s(begin.follower,
						    end.follower));
	slopes_series_add(&series->follower_bytes, count,
			  slopes_usage_link_bytes_per_s(begin.follower,
							end.follower));
	slopes_series_add(&series->follower_memory, count,
			  end.follower.resident_kb);
	slopes_series_add(&series->clients_cpu, count,
			  slopes_usage_cpu_ms_per_s(begin.clients,
						    end.clients));
}

void slopes_role_series_report(slopes_role_series_t *series,
			       const slopes_output_t *output)
{
	slopes_series_report(&series->leader_cpu, output);
	slopes_series_report(&series->leader_bytes, output);
	slopes_series_report(&series->leader_memory, output);
	slopes_series_report(&series->follower_cpu, output);
	slopes_series_report(&series->follower_bytes, output);
	slopes_series_report(&series->follower_memory, output);
	slopes_series_report(&series->clients_cpu, output);
}

/* Opens `count` sessions and waits until all are confirmed. */
support_clients_t *slopes_clients_new(support_group_t *group, size_t count)
{
	support_clients_t *clients =
		support_clients_new(group, count, SILENCE_TIMEOUT_MS);

	if (!support_clients_wait_confirmed(clients, START_TIMEOUT_MS))
		g_error("%zu sessions were not confirmed", count);
	return clients;
}
