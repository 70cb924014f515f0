#include "slopes_roles.h"

#define SILENCE_MS 2000 /* a quarter of it is the heartbeat of cb-entry */
#define START_LIMIT_MS 30000

slopes_roles_t slopes_roles_new(void)
{
	slopes_roles_t roles = {
		.group = support_group_new(SLOPES_CONTROL_COUNT, NULL)
	};

	if (!support_wait_leader(roles.group, START_LIMIT_MS))
		g_error("no leader");
	return roles;
}

void slopes_roles_find(slopes_roles_t *roles)
{
	roles->leader = support_leader(roles->group);
	if (roles->leader < 0)
		g_error("no leader");
	roles->follower = (roles->leader + 1) % SLOPES_CONTROL_COUNT;
}

/* A change of leader within a measurement makes it worthless. */
void slopes_roles_check(const slopes_roles_t *roles)
{
	if (support_leader(roles->group) != roles->leader)
		g_error("the leader changed within a measurement");
}

slopes_moment_t slopes_moment(const slopes_roles_t *roles)
{
	slopes_moment_t moment = {
		.leader = slopes_daemon_spent(
			roles->group->control[roles->leader]),
		.follower = slopes_daemon_spent(
			roles->group->control[roles->follower]),
		.self = slopes_self_spent(),
	};

	return moment;
}

/* Names the figures; `names` are those of the seven, in their order. */
void slopes_role_series_init(slopes_role_series_t *series,
			     const char *const names[7], const char *count_of)
{
	slopes_series_init(&series->leader_cpu, names[0], "ms/s", count_of);
	slopes_series_init(&series->leader_bytes, names[1], "B/s", count_of);
	slopes_series_init(&series->leader_memory, names[2], "KB", count_of);
	slopes_series_init(&series->follower_cpu, names[3], "ms/s", count_of);
	slopes_series_init(&series->follower_bytes, names[4], "B/s", count_of);
	slopes_series_init(&series->follower_memory, names[5], "KB", count_of);
	slopes_series_init(&series->clients_cpu, names[6], "ms/s", count_of);
}

void slopes_role_series_add(slopes_role_series_t *series, double count,
			    slopes_moment_t begin, slopes_moment_t end)
{
	slopes_series_add(&series->leader_cpu, count,
			  slopes_processor_ms_per_s(begin.leader, end.leader));
	slopes_series_add(&series->leader_bytes, count,
			  slopes_bytes_per_s(begin.leader, end.leader));
	slopes_series_add(&series->leader_memory, count,
			  end.leader.resident_kb);
	slopes_series_add(&series->follower_cpu, count,
			  slopes_processor_ms_per_s(begin.follower,
						    end.follower));
	slopes_series_add(&series->follower_bytes, count,
			  slopes_bytes_per_s(begin.follower, end.follower));
	slopes_series_add(&series->follower_memory, count,
			  end.follower.resident_kb);
	slopes_series_add(&series->clients_cpu, count,
			  slopes_processor_ms_per_s(begin.self, end.self));
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

support_clients_t *slopes_clients_new(support_group_t *group, size_t count)
{
	support_clients_t *clients =
		support_clients_new(group, count, SILENCE_MS);

	if (!support_clients_wait_confirmed(clients, START_LIMIT_MS))
		g_error("%zu sessions were not confirmed", count);
	return clients;
}
