#include "support_main.h"

#include <string.h>

#include "currantbridge/control_client.h"
#include "currantbridge/node.h"
#include "support_disk.h"
#include "support_network.h"

/*
 * Control instances that join a group and replace failed members.  Their names
 * are their addresses, as in a deployment that configures only the
 * addresses of seeds.
 */
#define MEMBER_COUNT 7
#define SEED_COUNT 3
#define STEP_MS 10
#define FORM_TIMEOUT_MS 20000
#define REPLACE_TIMEOUT_MS 30000

typedef struct member {
	char *address; /* also the instance's name */
	disk_t *disk;
	cb_kernel_t *kernel; /* NULL while the member is not running */
	cb_node_t *node;     /* NULL while the member is not running */
} member_t;

typedef struct group {
	cb_clock_t *clock;
	GRand *random;
	support_hub_t *hub;
	member_t members[MEMBER_COUNT];
} group_t;

static void group_init_(group_t *group, uint32_t seed)
{
	size_t i;

	*group = (group_t){ 0 };
	group->clock = cb_clock_new_paused(1000);
	group->random = g_rand_new_with_seed(seed);
	group->hub = support_hub_new(group->clock);
	for (i = 0; i < MEMBER_COUNT; i++) {
		group->members[i].address =
			g_strdup_printf("10.0.0.%zu:7", i + 1);
		group->members[i].disk = disk_new(group->clock, group->random);
	}
}

/* Starts a process; `is_new_group`: the seeds form a new group. */
static void member_start_(group_t *group, size_t i, gboolean is_new_group)
{
	member_t *self = &group->members[i];
	cb_replica_member_t initial[SEED_COUNT] = { 0 };
	const char *seeds[SEED_COUNT + 1] = { 0 };
	cb_node_options_t options = {
		.name = self->address,
		.listen = self->address,
		.heartbeat_ms = 100,
		.election_timeout_ms = 500,
		.silence_ms = 1000,
		.snapshot_every_bytes = 1 << 20,
		.server_silence_ms = 3600,
		.join_addresses = seeds,
		.network = support_hub_network(group->hub, self->address),
		.storage = disk_storage(self->disk),
		.random = group->random,
	};
	size_t k;

	for (k = 0; k < SEED_COUNT; k++) {
		seeds[k] = group->members[k].address;
		initial[k].name = group->members[k].address;
		initial[k].address = group->members[k].address;
		initial[k].is_voter = TRUE;
	}
	if (is_new_group && i < SEED_COUNT) {
		options.initial_members = initial;
		options.initial_member_count = SEED_COUNT;
	}
	self->kernel = cb_kernel_new(NULL, group->clock, NULL);
	self->node = cb_node_new(self->kernel, &options);
	cb_kernel_register(self->kernel, "node", (cb_service_t *)self->node);
	g_assert(cb_kernel_start(self->kernel, NULL));
}

static void member_kill_(group_t *group, size_t i)
{
	member_t *self = &group->members[i];

	if (!self->kernel)
		return;
	disk_crash(self->disk);
	g_clear_pointer(&self->kernel, cb_kernel_delete);
	self->node = NULL;
}

static void group_clear_(group_t *group)
{
	size_t i;

	for (i = 0; i < MEMBER_COUNT; i++) {
		member_kill_(group, i);
		disk_delete(group->members[i].disk);
		g_free(group->members[i].address);
	}
	support_hub_delete(group->hub);
	g_rand_free(group->random);
	cb_clock_delete(group->clock);
}

/* Returns the index of the leader, or MEMBER_COUNT if there is none. */
static size_t leader_index_find_(const group_t *group)
{
	size_t i;

	for (i = 0; i < MEMBER_COUNT; i++)
		if (group->members[i].node &&
		    cb_node_leads(group->members[i].node))
			return i;
	return MEMBER_COUNT;
}

/* Returns the voters in the leader's list, one bit each; 0: no leader. */
static unsigned int voter_bits_find_(const group_t *group)
{
	size_t leader = leader_index_find_(group);
	unsigned int voters = 0;
	const GPtrArray *members;
	unsigned int k;
	size_t i;

	if (leader == MEMBER_COUNT)
		return 0;
	members = cb_replica_members(
		cb_node_replica(group->members[leader].node));
	for (k = 0; k < members->len; k++) {
		const cb_replica_member_t *member = members->pdata[k];

		for (i = 0; i < MEMBER_COUNT; i++)
			if (member->is_voter &&
			    !strcmp(member->name, group->members[i].address))
				voters |= 1U << i;
	}
	return voters;
}

/*
 * Runs until exactly the given members are voters; returns FALSE after the time
 * limit.
 */
static gboolean run_until_voters_(group_t *group, unsigned int voters,
				  int64_t timeout_ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < timeout_ms; elapsed_ms += STEP_MS) {
		if (voter_bits_find_(group) == voters)
			return TRUE;
		cb_clock_advance(group->clock, STEP_MS);
	}
	return voter_bits_find_(group) == voters;
}

/* Blocks or unblocks all messages from and to a member. */
static void member_isolate_(group_t *group, size_t i, gboolean is_isolated)
{
	const char *name = group->members[i].address;

	support_hub_block(group->hub, name, NULL, is_isolated);
	support_hub_block(group->hub, NULL, name, is_isolated);
}

static void group_of_five_form_(group_t *group, uint32_t seed)
{
	size_t i;

	group_init_(group, seed);
	for (i = 0; i < 5; i++)
		member_start_(group, i, TRUE);
	CU_ASSERT_TRUE(run_until_voters_(group, 0x1f, FORM_TIMEOUT_MS));
}

/* Three seeds form the group, and two other instances join it as voters. */
static void seeds_form_group_and_others_join(void)
{
	group_t group;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		group_of_five_form_(&group, seed);
		group_clear_(&group);
	}
}

/*
 * Two seeds fail for good, one after the other, and an instance at a new
 * address replaces each.  Failed instances must not stay voters.
 */
static void failed_voters_are_replaced(void)
{
	group_t group;

	group_of_five_form_(&group, 11);
	member_kill_(&group, 0);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3e, REPLACE_TIMEOUT_MS));
	member_kill_(&group, 1);
	member_start_(&group, 6, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x7c, REPLACE_TIMEOUT_MS));
	group_clear_(&group);
}

/* A member that was removed while it was isolated must join again. */
static void removed_member_joins_again(void)
{
	group_t group;

	group_of_five_form_(&group, 12);
	member_isolate_(&group, 4, TRUE);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x2f, REPLACE_TIMEOUT_MS));
	member_isolate_(&group, 4, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3f, REPLACE_TIMEOUT_MS));
	group_clear_(&group);
}

/*
 * In a group of six that is split in halves, neither half may remove a member,
 * and there must be no leader as long as the split lasts.
 */
static void half_of_group_removes_no_member(void)
{
	group_t group;
	unsigned int k;
	size_t i;

	group_of_five_form_(&group, 13);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3f, FORM_TIMEOUT_MS));
	for (i = 0; i < 3; i++)
		for (k = 3; k < 6; k++) {
			support_hub_block(group.hub, group.members[i].address,
					  group.members[k].address, TRUE);
			support_hub_block(group.hub, group.members[k].address,
					  group.members[i].address, TRUE);
		}
	CU_ASSERT_TRUE(run_until_voters_(&group, 0, REPLACE_TIMEOUT_MS));
	for (k = 0; k < 2 * REPLACE_TIMEOUT_MS; k += STEP_MS) {
		cb_clock_advance(group.clock, STEP_MS);
		CU_ASSERT_EQUAL(leader_index_find_(&group), MEMBER_COUNT);
	}
	for (i = 0; i < 6; i++) {
		const cb_replica_t *replica =
			cb_node_replica(group.members[i].node);

		CU_ASSERT_EQUAL(cb_replica_members(replica)->len, 6);
	}
	group_clear_(&group);
}

/* An entry instance given one seed must use others once that seed fails. */
static void entry_learns_other_control_instances(void)
{
	const char *addresses[] = { "10.0.0.1:7", NULL };
	cb_control_client_options_t options = {
		.control_addresses = addresses,
		.name = "entry",
		.address = "10.0.1.1:1",
		.data_centre = "dc1",
		.incarnation = 1,
		.heartbeat_ms = 300,
		.silence_ms = 1000,
	};
	cb_control_client_t *client;
	cb_kernel_t *kernel;
	cb_view_t *view = cb_view_new();
	group_t group;

	group_of_five_form_(&group, 14);
	options.network = support_hub_network(group.hub, "entry");
	options.random = group.random;
	kernel = cb_kernel_new(NULL, group.clock, NULL);
	client = cb_control_client_new(kernel, view, &options);
	cb_kernel_register(kernel, "control", (cb_service_t *)client);
	CU_ASSERT_TRUE(cb_kernel_start(kernel, NULL));
	cb_clock_advance(group.clock, 3000);
	CU_ASSERT_TRUE(cb_control_client_is_confirmed(client));
	member_kill_(&group, 0);
	cb_clock_advance(group.clock, 5000);
	CU_ASSERT_TRUE(cb_control_client_silence_ms(client) < 1000);
	cb_kernel_delete(kernel);
	cb_view_delete(view);
	group_clear_(&group);
}

static CU_TestInfo join_tests[] = {
	{ "seeds_form_group_and_others_join",
	  seeds_form_group_and_others_join },
	{ "failed_voters_are_replaced", failed_voters_are_replaced },
	{ "removed_member_joins_again", removed_member_joins_again },
	{ "half_of_group_removes_no_member", half_of_group_removes_no_member },
	{ "entry_learns_other_control_instances",
	  entry_learns_other_control_instances },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "join", .pTests = join_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
