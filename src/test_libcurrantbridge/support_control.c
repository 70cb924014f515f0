#include "support_control.h"

#include <string.h>

#include "currantbridge/replica.h"

control_group_t *control_group_new(size_t count, uint32_t seed)
{
	control_group_t *group = g_new0(control_group_t, 1);
	size_t i;
	size_t k;

	g_assert(count <= CONTROL_MEMBERS_MAX);
	group->clock = cb_clock_new_paused(1000);
	group->random = g_rand_new_with_seed(seed);
	group->hub = support_hub_new(group->clock);
	group->count = count;
	group->tolerated_losses = 1;
	for (i = 0; i < count; i++) {
		control_member_t *member = &group->members[i];

		member->address = g_strdup_printf("10.0.0.%zu:7", i + 1);
		member->disk = disk_new(group->clock, group->random);
		for (k = 0; k < CONTROL_SEED_COUNT; k++)
			member->seeds[k] = k;
	}
	return group;
}

void control_group_start(control_group_t *group, size_t i,
			 gboolean is_new_group)
{
	control_member_t *self = &group->members[i];
	cb_replica_member_t initial[CONTROL_SEED_COUNT] = { 0 };
	const char *seeds[CONTROL_SEED_COUNT + 1] = { 0 };
	cb_node_options_t options = {
		.name = self->address,
		.listen = self->address,
		.heartbeat_ms = 100,
		.election_timeout_ms = 500,
		.silence_ms = 1000,
		.snapshot_every_bytes = 1 << 20,
		.server_silence_ms = 3600,
		.join_addresses = seeds,
		.tolerated_losses = group->tolerated_losses,
		.network = support_hub_network(group->hub, self->address),
		.storage = disk_storage(self->disk),
		.random = group->random,
	};
	size_t k;

	for (k = 0; k < CONTROL_SEED_COUNT; k++) {
		seeds[k] = group->members[self->seeds[k]].address;
		initial[k].name = group->members[k].address;
		initial[k].address = group->members[k].address;
		initial[k].is_voter = TRUE;
	}
	if (is_new_group && i < CONTROL_SEED_COUNT) {
		options.initial_members = initial;
		options.initial_member_count = CONTROL_SEED_COUNT;
	}
	self->kernel = cb_kernel_new(NULL, group->clock, NULL);
	self->node = cb_node_new(self->kernel, &options);
	cb_kernel_register(self->kernel, "node", (cb_service_t *)self->node);
	g_assert(cb_kernel_start(self->kernel, NULL));
}

void control_group_kill(control_group_t *group, size_t i)
{
	control_member_t *self = &group->members[i];

	if (!self->kernel)
		return;
	disk_crash(self->disk);
	g_clear_pointer(&self->kernel, cb_kernel_delete);
	self->node = NULL;
}

void control_group_delete(control_group_t *group)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		control_group_kill(group, i);
		disk_delete(group->members[i].disk);
		g_free(group->members[i].address);
	}
	support_hub_delete(group->hub);
	g_rand_free(group->random);
	cb_clock_delete(group->clock);
	g_free(group);
}

void control_group_isolate(control_group_t *group, size_t i,
			   gboolean is_isolated)
{
	const char *name = group->members[i].address;

	support_hub_block(group->hub, name, NULL, is_isolated);
	support_hub_block(group->hub, NULL, name, is_isolated);
}

size_t control_group_leader(const control_group_t *group)
{
	size_t leader = group->count;
	uint64_t leader_term = 0;
	size_t i;

	for (i = 0; i < group->count; i++) {
		const cb_node_t *node = group->members[i].node;
		uint64_t term;

		if (!node || !cb_node_leads(node))
			continue;
		term = cb_replica_term(cb_node_replica(node));
		if (term <= leader_term)
			continue;
		leader_term = term;
		leader = i;
	}
	return leader;
}

uint64_t control_group_voters(const control_group_t *group)
{
	size_t leader = control_group_leader(group);
	const GPtrArray *members;
	uint64_t voters = 0;
	uint32_t k;
	size_t i;

	if (leader == group->count)
		return 0;
	members = cb_replica_members(
		cb_node_replica(group->members[leader].node));
	for (k = 0; k < members->len; k++) {
		const cb_replica_member_t *member = members->pdata[k];

		for (i = 0; i < group->count; i++)
			if (member->is_voter &&
			    !strcmp(member->name, group->members[i].address))
				voters |= UINT64_C(1) << i;
	}
	return voters;
}

gboolean control_group_run_until_voters(control_group_t *group, uint64_t voters,
					int64_t timeout_ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < timeout_ms;
	     elapsed_ms += CONTROL_STEP_MS) {
		if (control_group_voters(group) == voters)
			return TRUE;
		cb_clock_advance(group->clock, CONTROL_STEP_MS);
	}
	return control_group_voters(group) == voters;
}
