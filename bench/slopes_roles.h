#ifndef SLOPES_ROLES_H
#define SLOPES_ROLES_H

#include "slopes.h"
#include "support_clients.h"

#define SLOPES_CONTROL_COUNT 3

/* A control group, with its leader and one of its followers. */
typedef struct slopes_roles {
	support_group_t *group;
	int leader;   /* index of the leader in the control instances */
	int follower; /* index of the measured follower */
} slopes_roles_t;

/* The resources that each role has used up to one moment. */
typedef struct slopes_role_usage {
	slopes_usage_t leader;
	slopes_usage_t follower;
	slopes_usage_t clients; /* this process, which runs the sessions */
} slopes_role_usage_t;

/* The figures of the leader, the follower and the clients' process. */
typedef struct slopes_role_series {
	slopes_series_t leader_cpu;
	slopes_series_t leader_bytes;
	slopes_series_t leader_memory;
	slopes_series_t follower_cpu;
	slopes_series_t follower_bytes;
	slopes_series_t follower_memory;
	slopes_series_t clients_cpu;
} slopes_role_series_t;

/* The names of the seven figures, each with the prefix of the benchmark. */
#define SLOPES_ROLE_NAMES(prefix)                                            \
	{                                                                    \
		prefix "_leader_cpu", prefix "_leader_bytes",                \
			prefix "_leader_memory", prefix "_follower_cpu",     \
			prefix "_follower_bytes", prefix "_follower_memory", \
			prefix "_clients_cpu"                                \
	}

slopes_roles_t slopes_roles_new(void);
void slopes_roles_find_leader(slopes_roles_t *roles);
void slopes_roles_check_leader(const slopes_roles_t *roles);
slopes_role_usage_t slopes_role_usage_read(const slopes_roles_t *roles);
void slopes_role_series_init(slopes_role_series_t *series,
			     const char *const series_names[7],
			     const char *count_of);
void slopes_role_series_add(slopes_role_series_t *series, double count,
			    slopes_role_usage_t begin, slopes_role_usage_t end);
void slopes_role_series_report(slopes_role_series_t *series,
			       const slopes_output_t *output);
support_clients_t *slopes_clients_new(support_group_t *group, size_t count);

#endif
