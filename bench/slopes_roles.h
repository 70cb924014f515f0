#ifndef SLOPES_ROLES_H
#define SLOPES_ROLES_H

#include "slopes.h"
#include "support_clients.h"

#define SLOPES_CONTROL_COUNT 3

/* The group, the numbers of its leader and of one follower. */
typedef struct roles {
	support_group_t *group;
	int leader;
	int follower;
} slopes_roles_t;

/* What was spent by each role between two moments. */
typedef struct moment {
	slopes_spent_t leader;
	slopes_spent_t follower;
	slopes_spent_t self;
} slopes_moment_t;

/* The figures of both roles and of the sessions' process. */
typedef struct role_series {
	slopes_series_t leader_cpu;
	slopes_series_t leader_bytes;
	slopes_series_t leader_memory;
	slopes_series_t follower_cpu;
	slopes_series_t follower_bytes;
	slopes_series_t follower_memory;
	slopes_series_t clients_cpu;
} slopes_role_series_t;

/* The names of the seven figures, each with the part's prefix. */
#define SLOPES_ROLE_NAMES(prefix)                                            \
	{                                                                    \
		prefix "_leader_cpu", prefix "_leader_bytes",                \
			prefix "_leader_memory", prefix "_follower_cpu",     \
			prefix "_follower_bytes", prefix "_follower_memory", \
			prefix "_clients_cpu"                                \
	}

slopes_roles_t slopes_roles_new(void);
void slopes_roles_find(slopes_roles_t *roles);
void slopes_roles_check(const slopes_roles_t *roles);
slopes_moment_t slopes_moment(const slopes_roles_t *roles);
void slopes_role_series_init(slopes_role_series_t *series,
			     const char *const names[7], const char *count_of);
void slopes_role_series_add(slopes_role_series_t *series, double count,
			    slopes_moment_t begin, slopes_moment_t end);
void slopes_role_series_report(slopes_role_series_t *series,
			       const slopes_output_t *output);
support_clients_t *slopes_clients_new(support_group_t *group, size_t count);

#endif
