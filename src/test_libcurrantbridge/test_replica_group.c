#include "support_group.h"
#include "support_main.h"

static void three_members_commit(void)
{
	group_t *group = group_new(1, 3);

	group_start_all(group);
	CU_ASSERT_PTR_NOT_NULL(group_wait_leader(group, 3000));
	CU_ASSERT_TRUE(group_commit_many(group, 20, 1000));
	CU_ASSERT_TRUE(group_wait_equal(group, 1000));
	CU_ASSERT_TRUE(group_is_good(group));
	group_delete(group);
}

static void one_member_commits(void)
{
	group_t *group = group_new(1, 1);

	group_start_all(group);
	CU_ASSERT_TRUE(group_commit_many(group, 20, 1000));
	CU_ASSERT_TRUE(group_is_good(group));
	group_delete(group);
}

static CU_TestInfo tests[] = {
	{ "three_members_commit", three_members_commit },
	{ "one_member_commits", one_member_commits },
	CU_TEST_INFO_NULL,
};

static CU_SuiteInfo suites[] = {
	{ "replica_group", NULL, NULL, NULL, NULL, tests },
	CU_SUITE_INFO_NULL,
};

int main(void)
{
	return support_run(suites);
}
