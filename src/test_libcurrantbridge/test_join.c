#include "support_main.h"

#include <string.h>

#include "currantbridge/control_client.h"
#include "support_control.h"

/* Control instances that join a group and replace failed members. */
#define MEMBER_COUNT 9
#define FORM_TIMEOUT_MS 20000
#define REPLACE_TIMEOUT_MS 30000
/* A silent voter is a learner until then. */
#define LEARNER_REMOVED_MS 12000

static control_group_t *group_of_five_form_(uint32_t seed)
{
	control_group_t *group = control_group_new(MEMBER_COUNT, seed);
	size_t i;

	for (i = 0; i < 5; i++)
		control_group_start(group, i, TRUE);
	CU_ASSERT_TRUE(
		control_group_run_until_voters(group, 0x1f, FORM_TIMEOUT_MS));
	return group;
}

/* Three seeds form the group, and two other instances join it as voters. */
static void seeds_form_group_and_others_join(void)
{
	control_group_t *group;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		group = group_of_five_form_(seed);
		control_group_delete(group);
	}
}

/*
 * Two seeds fail for good, one after the other, and an instance at a new
 * address replaces each.  Failed instances must not stay voters.
 */
static void failed_voters_are_replaced(void)
{
	control_group_t *group;

	group = group_of_five_form_(11);
	control_group_kill(group, 0);
	control_group_start(group, 5, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, 0x3e,
						      REPLACE_TIMEOUT_MS));
	control_group_kill(group, 1);
	control_group_start(group, 6, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, 0x7c,
						      REPLACE_TIMEOUT_MS));
	control_group_delete(group);
}

/* A member that was removed while it was isolated must join again. */
static void removed_member_joins_again(void)
{
	control_group_t *group;

	group = group_of_five_form_(12);
	control_group_isolate(group, 4, TRUE);
	control_group_start(group, 5, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, 0x2f,
						      REPLACE_TIMEOUT_MS));
	control_group_isolate(group, 4, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, 0x3f,
						      REPLACE_TIMEOUT_MS));
	control_group_delete(group);
}

/* Nobody goes on connecting to a machine that is gone and was replaced. */
static void links_to_removed_member_are_given_up(void)
{
	control_group_t *group = group_of_five_form_(16);
	const char *address = group->members[0].address;
	unsigned int connects;

	control_group_kill(group, 0);
	control_group_start(group, 5, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, 0x3e,
						      REPLACE_TIMEOUT_MS));
	cb_clock_advance(group->clock, LEARNER_REMOVED_MS);
	connects = support_hub_connects(group->hub, address);
	cb_clock_advance(group->clock, 10000);
	CU_ASSERT_TRUE(connects > 0);
	CU_ASSERT_EQUAL(support_hub_connects(group->hub, address), connects);
	control_group_delete(group);
}

/* The seeds of a removed member may all be gone by the time it returns. */
static void removed_member_finds_group_without_its_seeds(void)
{
	control_group_t *group = group_of_five_form_(15);
	uint32_t voters = 0x2f;
	size_t i;

	control_group_isolate(group, 4, TRUE);
	control_group_start(group, 5, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, voters,
						      REPLACE_TIMEOUT_MS));
	for (i = 0; i < CONTROL_SEED_COUNT; i++) {
		control_group_kill(group, i);
		group->members[6 + i].seeds[0] = 3;
		control_group_start(group, 6 + i, FALSE);
		voters = (voters & ~(1U << i)) | 1U << (6 + i);
		CU_ASSERT_TRUE(
			control_group_run_until_voters(group, voters,
						       REPLACE_TIMEOUT_MS));
	}
	control_group_isolate(group, 4, FALSE);
	CU_ASSERT_TRUE(control_group_run_until_voters(group, voters | 1U << 4,
						      REPLACE_TIMEOUT_MS));
	control_group_delete(group);
}

/*
 * In a group of six that is split in halves, neither half may remove a member,
 * and there must be no leader as long as the split lasts.
 */
static void half_of_group_removes_no_member(void)
{
	control_group_t *group;
	unsigned int k;
	size_t i;

	group = group_of_five_form_(13);
	control_group_start(group, 5, FALSE);
	CU_ASSERT_TRUE(
		control_group_run_until_voters(group, 0x3f, FORM_TIMEOUT_MS));
	for (i = 0; i < 3; i++)
		for (k = 3; k < 6; k++) {
			support_hub_block(group->hub, group->members[i].address,
					  group->members[k].address, TRUE);
			support_hub_block(group->hub, group->members[k].address,
					  group->members[i].address, TRUE);
		}
	CU_ASSERT_TRUE(
		control_group_run_until_voters(group, 0, REPLACE_TIMEOUT_MS));
	for (k = 0; k < 2 * REPLACE_TIMEOUT_MS; k += CONTROL_STEP_MS) {
		cb_clock_advance(group->clock, CONTROL_STEP_MS);
		CU_ASSERT_EQUAL(control_group_leader(group), MEMBER_COUNT);
	}
	for (i = 0; i < 6; i++) {
		const cb_replica_t *replica =
			cb_node_replica(group->members[i].node);

		CU_ASSERT_EQUAL(cb_replica_members(replica)->len, 6);
	}
	control_group_delete(group);
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
	control_group_t *group;

	group = group_of_five_form_(14);
	options.network = support_hub_network(group->hub, "entry");
	options.random = group->random;
	kernel = cb_kernel_new(NULL, group->clock, NULL);
	client = cb_control_client_new(kernel, view, &options);
	cb_kernel_register(kernel, "control", (cb_service_t *)client);
	CU_ASSERT_TRUE(cb_kernel_start(kernel, NULL));
	cb_clock_advance(group->clock, 3000);
	CU_ASSERT_TRUE(cb_control_client_is_confirmed(client));
	control_group_kill(group, 0);
	cb_clock_advance(group->clock, 5000);
	CU_ASSERT_TRUE(cb_control_client_silence_ms(client) < 1000);
	cb_kernel_delete(kernel);
	cb_view_delete(view);
	control_group_delete(group);
}

static CU_TestInfo join_tests[] = {
	{ "seeds_form_group_and_others_join",
	  seeds_form_group_and_others_join },
	{ "failed_voters_are_replaced", failed_voters_are_replaced },
	{ "removed_member_joins_again", removed_member_joins_again },
	{ "links_to_removed_member_are_given_up",
	  links_to_removed_member_are_given_up },
	{ "removed_member_finds_group_without_its_seeds",
	  removed_member_finds_group_without_its_seeds },
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
