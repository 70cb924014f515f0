#ifndef CURRANTBRIDGE_PRIVATE_MEMBERS_H
#define CURRANTBRIDGE_PRIVATE_MEMBERS_H

#include "currantbridge/replica.h"

/*
 * A list of members: a GPtrArray of cb_replica_member_t, sorted by name.  It is
 * stored with the ID of the group, which is generated when the group is formed.
 */

GPtrArray *cb_members_new(void);
GPtrArray *cb_members_copy(const GPtrArray *members);
void cb_members_add(GPtrArray *members, const char *name, const char *address,
		    gboolean is_voter, const char *disk_id);
void cb_members_remove(GPtrArray *members, const char *name);
cb_replica_member_t *cb_members_find(const GPtrArray *members,
				     const char *name);
cb_replica_member_t *cb_members_find_disk(const GPtrArray *members,
					  const char *disk_id);
uint32_t cb_members_voter_count(const GPtrArray *members);

GBytes *cb_members_encode(const GPtrArray *members, const char *group_id);
GPtrArray *cb_members_decode(GBytes *bytes, char **group_id);
uint64_t cb_members_digest(const GPtrArray *members);

#endif
