#include "support_group.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "private/replica.h"

#define STEP_MS 10
#define RETRY_MS 50

/* All leaders and committed commands of the group; outlives crashes. */
typedef struct history {
	GHashTable *leaders; /* term -> the leader's disk_id */
	/* Index -> digest of all commands up to that index. */
	GHashTable *digests;
	/* Change ID -> index at which the change took effect. */
	GHashTable *effects;
	uint64_t next_change; /* number in the next change ID */
} history_t;

/* One member's transport and state machine, which records its commands. */
typedef struct node {
	cb_transport_t transport;
	cb_machine_t machine;
	group_member_t *member;
	uint64_t applied; /* index of the last command that was applied */
	uint64_t digest;  /* digest of all commands up to `applied` */
	/* Change ID -> index at which the change took effect. */
	GHashTable *changes;
} node_t;

/* A message in flight; it is delivered when its timer expires. */
typedef struct in_flight {
	group_t *group;
	uint32_t from; /* index of the sender in `group->members` */
	uint32_t to;
	GBytes *message;
	cb_timer_t *timer;
} in_flight_t;

static uint64_t *uint64_new_(uint64_t number)
{
	return g_memdup2(&number, sizeof(number));
}

static node_t *member_node_(const group_member_t *member)
{
	return member->node;
}

static history_t *group_history_(const group_t *group)
{
	return group->private_data;
}

/* Records a violation; its text is formatted as by printf(). */
void group_violation(group_t *group, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(group->violations, g_strdup_vprintf(format, args));
	va_end(args);
}

/* Whether there is no violation; otherwise prints the seed and up to five. */
gboolean group_has_no_violations(const group_t *group)
{
	uint32_t i;

	for (i = 0; i < MIN(group->violations->len, 5); i++)
		printf("    seed %" G_GUINT64_FORMAT ": %s\n", group->seed,
		       (const char *)group->violations->pdata[i]);
	return !group->violations->len;
}

/* Checks that the state at `index` equals that of all members before it. */
static void digest_check_(node_t *node, uint64_t index, const char *action)
{
	history_t *history = group_history_(node->member->group);
	const uint64_t *expected =
		g_hash_table_lookup(history->digests, &index);

	if (!expected)
		g_hash_table_insert(history->digests, uint64_new_(index),
				    uint64_new_(node->digest));
	else if (*expected != node->digest)
		group_violation(node->member->group,
				"%s: the commands %s up to index "
				"%" G_GUINT64_FORMAT
				" differ from another member's",
				node->member->name, action, index);
}

/* Applies a change once; the answer is the index at which it took effect. */
static GBytes *machine_apply_(cb_machine_t *machine, uint64_t index,
			      GBytes *command)
{
	node_t *node = (node_t *)((char *)machine - offsetof(node_t, machine));
	history_t *history = group_history_(node->member->group);
	size_t size;
	const char *data = g_bytes_get_data(command, &size);
	char *id = g_strndup(data, size);
	const uint64_t *answer;
	GBytes *bytes;

	if (index <= node->applied)
		group_violation(node->member->group,
				"%s applied index %u again", node->member->name,
				(unsigned int)index);
	node->applied = index;
	node->digest = XXH3_64bits_withSeed(data, size, node->digest ^ index);
	digest_check_(node, index, "applied");
	if (!g_hash_table_contains(node->changes, id))
		g_hash_table_insert(node->changes, g_strdup(id),
				    uint64_new_(index));
	answer = g_hash_table_lookup(node->changes, id);
	if (!g_hash_table_contains(history->effects, id))
		g_hash_table_insert(history->effects, g_strdup(id),
				    uint64_new_(*answer));
	bytes = g_bytes_new(answer, sizeof(*answer));
	g_free(id);
	return bytes;
}

/* The snapshot is a text: applied index, digest, then changes and indices. */
static GBytes *machine_snapshot_(cb_machine_t *machine)
{
	node_t *node = (node_t *)((char *)machine - offsetof(node_t, machine));
	GString *text = g_string_new(NULL);
	GHashTableIter iter;
	void *key;
	void *value;

	g_string_append_printf(text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
			       node->applied, node->digest);
	g_hash_table_iter_init(&iter, node->changes);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_string_append_printf(text, " %s %" G_GUINT64_FORMAT,
				       (char *)key, *(uint64_t *)value);
	if (node->member->group->snapshot_padding_bytes) {
		char *padding =
			g_strnfill(node->member->group->snapshot_padding_bytes,
				   'x');

		if (!g_hash_table_contains(node->changes, padding))
			g_string_append_printf(text, " %s 0", padding);
		g_free(padding);
	}
	return g_string_free_to_bytes(text);
}

static gboolean machine_restore_(cb_machine_t *machine, uint64_t index,
				 GBytes *snapshot, GError **error)
{
	node_t *node = (node_t *)((char *)machine - offsetof(node_t, machine));
	char *text = g_strndup(g_bytes_get_data(snapshot, NULL),
			       g_bytes_get_size(snapshot));
	char **words = g_strsplit(text, " ", -1);
	uint32_t i;

	(void)error;
	(void)index;
	g_hash_table_remove_all(node->changes);
	node->applied = g_ascii_strtoull(words[0], NULL, 10);
	node->digest = g_ascii_strtoull(words[1], NULL, 10);
	for (i = 2; words[i]; i += 2)
		g_hash_table_insert(node->changes, g_strdup(words[i]),
				    uint64_new_(g_ascii_strtoull(words[i + 1],
								 NULL, 10)));
	if (node->applied)
		digest_check_(node, node->applied, "restored");
	g_strfreev(words);
	g_free(text);
	return TRUE;
}

static const cb_machine_vtable_t machine_vtable = {
	.apply = machine_apply_,
	.snapshot = machine_snapshot_,
	.restore = machine_restore_,
};

static void in_flight_delete_(in_flight_t *in_flight)
{
	cb_timer_delete(in_flight->timer);
	g_bytes_unref(in_flight->message);
	g_free(in_flight);
}

static GHashTable *group_in_flight_set_(group_t *group);

static void delivery_timer_fired_(void *user_data)
{
	in_flight_t *in_flight = user_data;
	group_t *group = in_flight->group;
	group_member_t *to = &group->members[in_flight->to];

	if (to->is_up && !group->is_blocked[in_flight->from][in_flight->to])
		cb_replica_receive(to->replica,
				   group->members[in_flight->from].name,
				   in_flight->message);
	g_hash_table_remove(group_in_flight_set_(group), in_flight);
	in_flight_delete_(in_flight);
}

static void message_schedule_(group_t *group, uint32_t from, uint32_t to,
			      GBytes *message)
{
	in_flight_t *in_flight;

	if (group->is_blocked[from][to] ||
	    g_rand_int_range(group->random, 0, 1000) < group->loss_per_mille)
		return;
	in_flight = g_new0(in_flight_t, 1);
	in_flight->group = group;
	in_flight->from = from;
	in_flight->to = to;
	in_flight->message = g_bytes_ref(message);
	in_flight->timer =
		cb_timer_new(group->clock, delivery_timer_fired_, in_flight);
	g_hash_table_add(group_in_flight_set_(group), in_flight);
	cb_timer_start(in_flight->timer,
		       g_rand_int_range(group->random, 0,
					group->max_delay_ms + 1));
}

static void transport_send_(cb_transport_t *transport, const char *to,
			    const char *address, GBytes *message)
{
	node_t *node = (node_t *)transport;
	group_t *group = node->member->group;
	uint32_t from = (uint32_t)(node->member - group->members);
	uint32_t i;

	(void)to;
	group->sent_count++;
	group->sent_bytes += g_bytes_get_size(message);
	group->max_message_bytes =
		MAX(group->max_message_bytes, g_bytes_get_size(message));
	for (i = 0; i < group->size; i++) {
		if (g_strcmp0(group->members[i].address, address))
			continue;
		message_schedule_(group, from, i, message);
		if (g_rand_int_range(group->random, 0, 1000) <
		    group->repeat_per_mille)
			message_schedule_(group, from, i, message);
	}
}

static const cb_transport_vtable_t transport_vtable = {
	.send = transport_send_,
};

/* Checks that there is only one leader in each term. */
static void role_changed_(void *user_data)
{
	group_member_t *member = user_data;
	history_t *history = group_history_(member->group);
	uint64_t term = member->replica ? member->replica->term : 0;
	const char *former_disk;

	if (!member->replica || !cb_replica_leads(member->replica))
		return;
	former_disk = g_hash_table_lookup(history->leaders, &term);
	if (!former_disk)
		g_hash_table_insert(history->leaders, uint64_new_(term),
				    g_strdup(member->replica->disk_id));
	else if (strcmp(former_disk, member->replica->disk_id))
		group_violation(member->group,
				"two leaders in term %" G_GUINT64_FORMAT, term);
}

static void storage_failed_(void *user_data, const GError *error)
{
	group_member_t *member = user_data;

	(void)error;
	member->has_failed = TRUE;
}

/* What `group->private_data` points to. */
typedef struct group_private {
	history_t history;
	GHashTable *in_flight_set; /* set of in_flight_t * */
} group_private_t;

static GHashTable *group_in_flight_set_(group_t *group)
{
	return ((group_private_t *)group->private_data)->in_flight_set;
}

group_member_t *group_add(group_t *group)
{
	group_member_t *member = &group->members[group->size++];
	node_t *node = g_new0(node_t, 1);

	g_assert(group->size <= GROUP_MAX_MEMBERS);
	member->group = group;
	g_snprintf(member->name, sizeof(member->name), "m%u", group->size);
	g_snprintf(member->address, sizeof(member->address), "127.0.0.1:%u",
		   group->size);
	member->disk = disk_new(group->clock, group->random);
	node->transport.vtable = &transport_vtable;
	node->machine.vtable = &machine_vtable;
	node->member = member;
	node->changes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	member->node = node;
	return member;
}

/* Creates a group of `size` blank members that are not started. */
group_t *group_new(uint64_t seed, uint32_t size)
{
	group_t *group = g_new0(group_t, 1);
	group_private_t *private_data = g_new0(group_private_t, 1);
	uint32_t i;

	group->seed = seed;
	group->clock = cb_clock_new_paused(1000);
	group->random = g_rand_new_with_seed((uint32_t)seed);
	group->initial_size = size;
	group->max_delay_ms = 2;
	group->snapshot_every_bytes = 2048;
	group->violations = g_ptr_array_new_with_free_func(g_free);
	group->counters = cb_counters_new();
	private_data->history.leaders =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
	private_data->history.digests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
	private_data->history.effects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	private_data->in_flight_set = g_hash_table_new(NULL, NULL);
	group->private_data = private_data;
	for (i = 0; i < size; i++)
		group_add(group);
	return group;
}

void group_delete(group_t *group)
{
	group_private_t *private_data = group->private_data;
	GHashTableIter iter;
	void *in_flight;
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		group_member_t *member = &group->members[i];

		group_crash(member);
		disk_delete(member->disk);
		g_hash_table_unref(member_node_(member)->changes);
		g_free(member->node);
	}
	g_hash_table_iter_init(&iter, private_data->in_flight_set);
	while (g_hash_table_iter_next(&iter, &in_flight, NULL))
		in_flight_delete_(in_flight);
	g_hash_table_unref(private_data->in_flight_set);
	g_hash_table_unref(private_data->history.leaders);
	g_hash_table_unref(private_data->history.digests);
	g_hash_table_unref(private_data->history.effects);
	g_free(private_data);
	g_ptr_array_unref(group->violations);
	cb_counters_delete(group->counters);
	g_rand_free(group->random);
	cb_clock_delete(group->clock);
	g_free(group);
}

void group_run(group_t *group, int64_t duration_ms)
{
	cb_clock_advance(group->clock, duration_ms);
}

void group_start(group_member_t *member)
{
	group_t *group = member->group;
	node_t *node = member_node_(member);
	cb_replica_member_t initial[GROUP_MAX_MEMBERS] = { 0 };
	cb_replica_options_t options = {
		.name = member->name,
		.address = member->address,
		.initial_members = initial,
		.heartbeat_ms = 100,
		.election_timeout_ms = 500,
		.snapshot_every_bytes = group->snapshot_every_bytes,
		.max_waiting_proposals = 1000,
		.min_voters = group->min_voters,
		.counters = group->counters,
	};
	cb_replica_listener_t listener = { .role_changed = role_changed_,
					   .failed = storage_failed_,
					   .user_data = member };
	GError *error = NULL;
	uint32_t i;

	if (member->is_up || member->is_gone)
		return;
	for (i = 0; i < group->initial_size; i++) {
		initial[i].name = group->members[i].name;
		initial[i].address = group->members[i].address;
	}
	if (member - group->members < group->initial_size)
		options.initial_member_count = group->initial_size;
	node->applied = 0;
	node->digest = 0;
	g_hash_table_remove_all(node->changes);
	member->has_failed = FALSE;
	member->replica =
		cb_replica_new(&options, group->clock, group->random,
			       disk_storage(member->disk), &node->transport,
			       &node->machine, &listener);
	member->is_up = TRUE;
	if (!cb_replica_start(member->replica, &error)) {
		group_violation(group, "%s did not start: %s", member->name,
				error->message);
		g_error_free(error);
	}
}

void group_start_all(group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->size; i++)
		group_start(&group->members[i]);
}

void group_crash(group_member_t *member)
{
	if (!member->is_up)
		return;
	member->is_up = FALSE;
	cb_replica_delete(g_steal_pointer(&member->replica));
	disk_crash(member->disk);
}

void group_replace_disk(group_member_t *member)
{
	group_crash(member);
	disk_erase(member->disk);
}

void group_lose(group_member_t *member)
{
	group_crash(member);
	member->is_gone = TRUE;
}

void group_heal(group_t *group)
{
	memset(group->is_blocked, 0, sizeof(group->is_blocked));
}

void group_isolate(group_member_t *member, gboolean in, gboolean out)
{
	group_t *group = member->group;
	uint32_t self = (uint32_t)(member - group->members);
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		if (i == self)
			continue;
		group->is_blocked[i][self] = group->is_blocked[i][self] || in;
		group->is_blocked[self][i] = group->is_blocked[self][i] || out;
	}
}

group_member_t *group_leader(group_t *group)
{
	group_member_t *leader = NULL;
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		group_member_t *member = &group->members[i];

		if (member->is_up && cb_replica_leads(member->replica) &&
		    (!leader || member->replica->term > leader->replica->term))
			leader = member;
	}
	return leader;
}

group_member_t *group_wait_leader(group_t *group, int64_t timeout_ms)
{
	group_member_t *leader;

	for (; timeout_ms > 0; timeout_ms -= STEP_MS) {
		leader = group_leader(group);
		if (leader && cb_replica_is_current(leader->replica))
			return leader;
		group_run(group, STEP_MS);
	}
	return NULL;
}

/* A proposal whose outcome is awaited. */
typedef struct pending_change {
	group_t *group;
	group_change_t *change;
	cb_replica_done_fn_t done;
	void *user_data;
} pending_change_t;

/* Checks that every attempt at a change receives the same answer. */
static void change_done_(cb_replica_outcome_t outcome, uint64_t index,
			 GBytes *answer, void *user_data)
{
	pending_change_t *pending = user_data;
	group_t *group = pending->group;
	group_change_t *change = pending->change;
	uint64_t effect_index;

	if (outcome == CB_REPLICA_COMMITTED) {
		memcpy(&effect_index, g_bytes_get_data(answer, NULL),
		       sizeof(effect_index));
		if (change->effect_index &&
		    change->effect_index != effect_index)
			group_violation(group,
					"%s received two different answers",
					change->id);
		change->effect_index = effect_index;
		group->acknowledged_index =
			MAX(group->acknowledged_index, index);
		group->acknowledged_count++;
	}
	if (pending->done)
		pending->done(outcome, index, answer, pending->user_data);
	g_free(pending);
}

void group_propose(group_member_t *member, group_change_t *change,
		   cb_replica_done_fn_t done, void *user_data)
{
	pending_change_t *pending = g_new0(pending_change_t, 1);
	GBytes *command;

	if (!*change->id)
		g_snprintf(change->id, sizeof(change->id),
			   "change-%" G_GUINT64_FORMAT,
			   group_history_(member->group)->next_change++);
	command = g_bytes_new(change->id, strlen(change->id));
	pending->group = member->group;
	pending->change = change;
	pending->done = done;
	pending->user_data = user_data;
	cb_replica_propose(member->replica, command, change_done_, pending);
	g_bytes_unref(command);
}

static void outcome_store_(cb_replica_outcome_t outcome, uint64_t index,
			   GBytes *answer, void *user_data)
{
	/* State of the change: 0 pending, 1 committed, -1 to be proposed. */
	int32_t *state = user_data;

	(void)index;
	(void)answer;
	*state = outcome == CB_REPLICA_COMMITTED ? 1 : -1;
}

gboolean group_commit_one(group_t *group, int64_t timeout_ms)
{
	group_change_t change = { 0 };
	int64_t end_ms = cb_clock_now_ms(group->clock) + timeout_ms;
	int32_t state = -1;

	/* A pending proposal refers to `state` here and must complete. */
	while (state == 0 || cb_clock_now_ms(group->clock) < end_ms) {
		group_member_t *leader = group_leader(group);

		if (state == 1)
			return TRUE;
		if (state == -1 && leader) {
			state = 0;
			group_propose(leader, &change, outcome_store_, &state);
		}
		group_run(group, state == 0 ? 1 : STEP_MS);
	}
	return state == 1;
}

gboolean group_commit_many(group_t *group, uint32_t count, int64_t timeout_ms)
{
	for (; count; count--)
		if (!group_commit_one(group, timeout_ms))
			return FALSE;
	return TRUE;
}

/* A confirmed read whose outcome is awaited. */
typedef struct pending_read {
	group_member_t *member;
	/* The highest index acknowledged before the read. */
	uint64_t acknowledged_index;
} pending_read_t;

static void read_done_(cb_replica_outcome_t outcome, uint64_t index,
		       GBytes *answer, void *user_data)
{
	pending_read_t *read = user_data;
	group_t *group = read->member->group;

	(void)answer;
	if (outcome == CB_REPLICA_COMMITTED) {
		group->read_count++;
		if (index < read->acknowledged_index ||
		    member_node_(read->member)->applied <
			    read->acknowledged_index)
			group_violation(group,
					"%s confirmed a read of index "
					"%" G_GUINT64_FORMAT
					" after index %" G_GUINT64_FORMAT
					" was acknowledged",
					read->member->name, index,
					read->acknowledged_index);
	}
	g_free(read);
}

/* Checks that a confirmed read sees all that was acknowledged before it. */
void group_read(group_member_t *member)
{
	pending_read_t *read = g_new0(pending_read_t, 1);

	read->member = member;
	read->acknowledged_index = member->group->acknowledged_index;
	cb_replica_confirm(member->replica, read_done_, read);
}

gboolean group_is_voter(group_t *group, const group_member_t *member)
{
	group_member_t *leader = group_leader(group);
	const cb_replica_member_t *known;

	if (!leader || !member->is_up ||
	    leader->replica->committed < leader->replica->members_index ||
	    leader->replica->committed < leader->replica->term_start)
		return FALSE;
	known = cb_members_find(leader->replica->members, member->name);
	return known && known->is_voter &&
	       !strcmp(known->disk_id, member->replica->disk_id);
}

int64_t group_event_count(const group_t *group, const char *event)
{
	return cb_counter_get(cb_counters_counter(group->counters,
						  "cb_replica_events_total",
						  "event", event));
}

static gboolean members_are_converged_(group_t *group)
{
	group_member_t *leader = group_leader(group);
	uint32_t i;

	if (!leader || leader->replica->committed <
			       cb_replica_log_last_index(leader->replica->log))
		return FALSE;
	for (i = 0; i < group->size; i++) {
		group_member_t *member = &group->members[i];

		if (!member->is_up ||
		    !cb_members_find(leader->replica->members, member->name))
			continue;
		if (member->replica->applied != leader->replica->applied ||
		    member_node_(member)->digest !=
			    member_node_(leader)->digest)
			return FALSE;
	}
	return TRUE;
}

gboolean group_wait_equal(group_t *group, int64_t timeout_ms)
{
	for (; timeout_ms > 0; timeout_ms -= STEP_MS) {
		if (members_are_converged_(group))
			return TRUE;
		group_run(group, STEP_MS);
	}
	return FALSE;
}

void group_check_change(group_t *group, const group_change_t *change)
{
	history_t *history = group_history_(group);
	const uint64_t *effect_index =
		g_hash_table_lookup(history->effects, change->id);
	group_member_t *leader = group_leader(group);
	uint32_t i;

	if (!change->effect_index)
		return;
	if (!effect_index || *effect_index != change->effect_index)
		group_violation(group, "%s was answered with a wrong index",
				change->id);
	for (i = 0; leader && i < group->size; i++) {
		group_member_t *member = &group->members[i];

		if (!member->is_gone &&
		    cb_members_find(leader->replica->members, member->name) &&
		    !g_hash_table_contains(member_node_(member)->changes,
					   change->id))
			group_violation(group, "%s has lost %s", member->name,
					change->id);
	}
}

/* Checks that logs with the same term at an index agree up to that index. */
static void logs_compare_(group_t *group, const cb_replica_log_t *a,
			  const cb_replica_log_t *b)
{
	uint64_t i =
		MIN(cb_replica_log_last_index(a), cb_replica_log_last_index(b));
	uint64_t first = MAX(cb_replica_log_first_index(a),
			     cb_replica_log_first_index(b));
	gboolean must_match = FALSE;

	for (; i >= first; i--) {
		const cb_record_t *x = cb_replica_log_get(a, i);
		const cb_record_t *y = cb_replica_log_get(b, i);
		gboolean is_equal = x->term == y->term && x->kind == y->kind &&
				    g_bytes_equal(x->data, y->data);

		must_match = must_match || x->term == y->term;
		if (must_match && !is_equal) {
			group_violation(
				group,
				"logs differ at index %" G_GUINT64_FORMAT, i);
			return;
		}
	}
}

void group_check_logs(group_t *group)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < group->size; i++)
		for (k = 0; k < i; k++)
			if (group->members[i].is_up && group->members[k].is_up)
				logs_compare_(group,
					      group->members[i].replica->log,
					      group->members[k].replica->log);
}
