#include "support_main.h"

#include <string.h>

#include "currantbridge/control_client.h"
#include "currantbridge/node.h"
#include "support_disk.h"
#include "support_network.h"

/*
 * Control instances that are named by their addresses, as on a deployment
 * that tells a process some seeds and nothing else.
 */
#define NODES_MAX 7
#define SEEDS 3
#define STEP_MS 10
#define FORM_LIMIT_MS 20000
#define PRUNE_LIMIT_MS 30000

typedef struct member {
	char *address;
	disk_t *disk;
	cb_kernel_t *kernel;
	cb_node_t *node;
} member_t;

typedef struct group {
	cb_clock_t *clock;
	GRand *random;
	support_hub_t *hub;
	member_t members[NODES_MAX];
} group_t;

static void group_begin_(group_t *group, uint32_t seed)
{
	size_t i;

	*group = (group_t){ 0 };
	group->clock = cb_clock_new_paused(1000);
	group->random = g_rand_new_with_seed(seed);
	group->hub = support_hub_new(group->clock);
	for (i = 0; i < NODES_MAX; i++) {
		group->members[i].address =
			g_strdup_printf("10.0.0.%zu:7", i + 1);
		group->members[i].disk = disk_new(group->clock, group->random);
	}
}

/* Starts a process; `is_first` says that the whole system starts. */
static void member_start_(group_t *group, size_t i, gboolean is_first)
{
	member_t *self = &group->members[i];
	cb_replica_member_t initial[SEEDS] = { 0 };
	const char *seeds[SEEDS + 1] = { 0 };
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

	for (k = 0; k < SEEDS; k++) {
		seeds[k] = group->members[k].address;
		initial[k].name = group->members[k].address;
		initial[k].address = group->members[k].address;
		initial[k].is_voter = TRUE;
	}
	if (is_first && i < SEEDS) {
		options.initial_members = initial;
		options.initial_member_count = SEEDS;
	}
	self->kernel = cb_kernel_new(NULL, group->clock, NULL);
	self->node = cb_node_new(self->kernel, &options);
	cb_kernel_register(self->kernel, "node", (cb_service_t *)self->node);
	g_assert(cb_kernel_start(self->kernel, NULL));
}

static void member_stop_(group_t *group, size_t i)
{
	member_t *self = &group->members[i];

	if (!self->kernel)
		return;
	disk_crash(self->disk);
	g_clear_pointer(&self->kernel, cb_kernel_delete);
	self->node = NULL;
}

static void group_end_(group_t *group)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++) {
		member_stop_(group, i);
		disk_delete(group->members[i].disk);
		g_free(group->members[i].address);
	}
	support_hub_delete(group->hub);
	g_rand_free(group->random);
	cb_clock_delete(group->clock);
}

static size_t leader_(const group_t *group)
{
	size_t i;

	for (i = 0; i < NODES_MAX; i++)
		if (group->members[i].node &&
		    cb_node_leads(group->members[i].node))
			return i;
	return NODES_MAX;
}

/* The voters as the leader knows them, one bit each; 0: there is no leader. */
static unsigned int voters_(const group_t *group)
{
	size_t leader = leader_(group);
	unsigned int voters = 0;
	const GPtrArray *members;
	unsigned int k;
	size_t i;

	if (leader == NODES_MAX)
		return 0;
	members = cb_replica_members(
		cb_node_replica(group->members[leader].node));
	for (k = 0; k < members->len; k++) {
		const cb_replica_member_t *member = members->pdata[k];

		for (i = 0; i < NODES_MAX; i++)
			if (member->is_voter &&
			    !strcmp(member->name, group->members[i].address))
				voters |= 1U << i;
	}
	return voters;
}

/* Runs until the voters are these, and nobody else is. */
static gboolean run_until_voters_(group_t *group, unsigned int voters,
				  int64_t limit_ms)
{
	int64_t passed_ms;

	for (passed_ms = 0; passed_ms < limit_ms; passed_ms += STEP_MS) {
		if (voters_(group) == voters)
			return TRUE;
		cb_clock_advance(group->clock, STEP_MS);
	}
	return voters_(group) == voters;
}

static void isolate_(group_t *group, size_t i, gboolean is_blocked)
{
	const char *name = group->members[i].address;

	support_hub_block(group->hub, name, NULL, is_blocked);
	support_hub_block(group->hub, NULL, name, is_blocked);
}

static void five_form_(group_t *group, uint32_t seed)
{
	size_t i;

	group_begin_(group, seed);
	for (i = 0; i < 5; i++)
		member_start_(group, i, TRUE);
	CU_ASSERT_TRUE(run_until_voters_(group, 0x1f, FORM_LIMIT_MS));
}

/* Three seeds form the group, and the others join it as voters. */
static void seeds_form_and_others_join(void)
{
	group_t group;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		five_form_(&group, seed);
		group_end_(&group);
	}
}

/*
 * Machines gone for good, two of the seeds among them, are replaced one after
 * another at new addresses; the dead leave the voters each time.
 */
static void dead_voters_are_replaced(void)
{
	group_t group;

	five_form_(&group, 11);
	member_stop_(&group, 0);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3e, PRUNE_LIMIT_MS));
	member_stop_(&group, 1);
	member_start_(&group, 6, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x7c, PRUNE_LIMIT_MS));
	group_end_(&group);
}

/* One that was removed while it was cut off finds its way back. */
static void removed_members_ask_again(void)
{
	group_t group;

	five_form_(&group, 12);
	isolate_(&group, 4, TRUE);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x2f, PRUNE_LIMIT_MS));
	isolate_(&group, 4, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3f, PRUNE_LIMIT_MS));
	group_end_(&group);
}

/* Half of an even group can remove nobody, and nobody leads it for long. */
static void halves_remove_nobody(void)
{
	group_t group;
	unsigned int k;
	size_t i;

	five_form_(&group, 13);
	member_start_(&group, 5, FALSE);
	CU_ASSERT_TRUE(run_until_voters_(&group, 0x3f, FORM_LIMIT_MS));
	for (i = 0; i < 3; i++)
		for (k = 3; k < 6; k++) {
			support_hub_block(group.hub, group.members[i].address,
					  group.members[k].address, TRUE);
			support_hub_block(group.hub, group.members[k].address,
					  group.members[i].address, TRUE);
		}
	CU_ASSERT_TRUE(run_until_voters_(&group, 0, PRUNE_LIMIT_MS));
	for (k = 0; k < 2 * PRUNE_LIMIT_MS; k += STEP_MS) {
		cb_clock_advance(group.clock, STEP_MS);
		CU_ASSERT_EQUAL(leader_(&group), NODES_MAX);
	}
	for (i = 0; i < 6; i++) {
		const cb_replica_t *replica =
			cb_node_replica(group.members[i].node);

		CU_ASSERT_EQUAL(cb_replica_members(replica)->len, 6);
	}
	group_end_(&group);
}

/* An entry that was told one seed follows the group when that one is gone. */
static void entries_learn_the_members(void)
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

	five_form_(&group, 14);
	options.network = support_hub_network(group.hub, "entry");
	options.random = group.random;
	kernel = cb_kernel_new(NULL, group.clock, NULL);
	client = cb_control_client_new(kernel, view, &options);
	cb_kernel_register(kernel, "control", (cb_service_t *)client);
	CU_ASSERT_TRUE(cb_kernel_start(kernel, NULL));
	cb_clock_advance(group.clock, 3000);
	CU_ASSERT_TRUE(cb_control_client_is_confirmed(client));
	member_stop_(&group, 0);
	cb_clock_advance(group.clock, 5000);
	CU_ASSERT_TRUE(cb_control_client_silence_ms(client) < 1000);
	cb_kernel_delete(kernel);
	cb_view_delete(view);
	group_end_(&group);
}

static CU_TestInfo join_tests[] = {
	{ "seeds_form_and_others_join", seeds_form_and_others_join },
	{ "dead_voters_are_replaced", dead_voters_are_replaced },
	{ "removed_members_ask_again", removed_members_ask_again },
	{ "halves_remove_nobody", halves_remove_nobody },
	{ "entries_learn_the_members", entries_learn_the_members },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "join", .pTests = join_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
