#include "private/replica.h"

/* The metric series that a counter is exported as. */
typedef struct series {
	const char *name;
	const char *label;
	const char *value;
} series_t;

#define REFUSAL(reason)                                         \
	{                                                       \
		"cb_replica_refusals_total", "reason", (reason) \
	}
#define EVENT(event)                                        \
	{                                                   \
		"cb_replica_events_total", "event", (event) \
	}

static const series_t series_table[CB_REPLICA_COUNTS] = {
	[CB_REPLICA_COUNT_NOT_LEADER] = REFUSAL("not_leader"),
	[CB_REPLICA_COUNT_TOO_MANY] = REFUSAL("too_many_waiting"),
	[CB_REPLICA_COUNT_TOO_LARGE] = REFUSAL("too_large"),
	[CB_REPLICA_COUNT_HANDING_OVER] = REFUSAL("handing_over"),
	[CB_REPLICA_COUNT_MEMBERSHIP_CHANGE_PENDING] =
		REFUSAL("membership_change_pending"),
	[CB_REPLICA_COUNT_NEW_MEMBER_SILENT] = REFUSAL("new_member_silent"),
	[CB_REPLICA_COUNT_OTHER_GROUP] = REFUSAL("disk_of_another_group"),
	[CB_REPLICA_COUNT_LEAD_LOST] = REFUSAL("lead_lost"),
	[CB_REPLICA_COUNT_MALFORMED] = REFUSAL("malformed_message"),
	[CB_REPLICA_COUNT_OTHER_DISK] = REFUSAL("other_disk"),
	[CB_REPLICA_COUNT_VOTE_REFUSED] = REFUSAL("vote"),
	[CB_REPLICA_COUNT_APPEND_REFUSED] = REFUSAL("append"),
	[CB_REPLICA_COUNT_PRE_VOTE] = EVENT("pre_vote_begun"),
	[CB_REPLICA_COUNT_ELECTION] = EVENT("election_begun"),
	[CB_REPLICA_COUNT_NO_MAJORITY] = EVENT("no_majority"),
	[CB_REPLICA_COUNT_RESENT] = EVENT("resent"),
	[CB_REPLICA_COUNT_SNAPSHOT_TAKEN] = EVENT("snapshot_taken"),
	[CB_REPLICA_COUNT_SNAPSHOT_SENT] = EVENT("snapshot_sent"),
	[CB_REPLICA_COUNT_SNAPSHOT_INSTALLED] = EVENT("snapshot_installed"),
	[CB_REPLICA_COUNT_DISK_REPLACED] = EVENT("disk_replaced"),
	[CB_REPLICA_COUNT_PROMOTED] = EVENT("learner_promoted"),
	[CB_REPLICA_COUNT_DEMOTED] = EVENT("voter_demoted"),
	[CB_REPLICA_COUNT_PRUNED] = EVENT("member_pruned"),
};

/* Looks up the replica's counters; with NULL, nothing is counted. */
void cb_replica_counts_init(cb_replica_t *replica, cb_counters_t *counters)
{
	int i;

	for (i = 0; counters && i < CB_REPLICA_COUNTS; i++)
		replica->counts[i] =
			cb_counters_counter(counters, series_table[i].name,
					    series_table[i].label,
					    series_table[i].value);
}

/* Adds one to a counter. */
void cb_replica_count(cb_replica_t *replica, cb_replica_count_t count)
{
	if (replica->counts[count])
		cb_counter_add(replica->counts[count], 1);
}
