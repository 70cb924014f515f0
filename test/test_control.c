#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "support_clients.h"
#include "support_main.h"

/*
 * Control instances as real processes, while they are killed, suspended and
 * restored.  Control clients in this process submit changes, and every accepted
 * change must then be in the view of every client.
 */
#define CLIENT_COUNT 6
#define SILENCE_MS 1500
#define START_TIMEOUT_MS 20000
#define CHANGE_TIMEOUT_MS 20000
#define IN_FORCE_TIMEOUT_MS 15000
#define RESTART_CHANGE_COUNT 300

static const support_timeouts_t timeouts = { 100, 500, SILENCE_MS };

/* A control group, its clients and the changes that were accepted. */
typedef struct fixture {
	support_group_t *group;
	support_clients_t *clients;
	GArray *accepted; /* array of support_change_t */
	int submitted_count;
} fixture_t;

static void fixture_init_(fixture_t *fixture, size_t control_count)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->group = support_group_new(control_count, &timeouts);
	fixture->clients =
		support_clients_new(fixture->group, CLIENT_COUNT, SILENCE_MS);
	fixture->accepted = g_array_new(FALSE, FALSE, sizeof(support_change_t));
	CU_ASSERT_TRUE_FATAL(support_clients_wait_confirmed(fixture->clients,
							    START_TIMEOUT_MS));
}

static void fixture_clear_(fixture_t *fixture)
{
	unsigned int i;
	size_t k;

	/* A daemon that the test did not end must still run. */
	for (k = 0; k < fixture->group->control_count; k++)
		CU_ASSERT_TRUE(!fixture->group->control[k]->process ||
			       support_daemon_runs(fixture->group->control[k]));
	CU_ASSERT_EQUAL(support_clients_revision_decreases(fixture->clients),
			0);
	support_clients_delete(fixture->clients);
	support_group_delete(fixture->group);
	for (i = 0; i < fixture->accepted->len; i++)
		g_free(g_array_index(fixture->accepted, support_change_t, i)
			       .workspace);
	g_array_unref(fixture->accepted);
}

/* Submits one change, waits for its result and records it if accepted. */
static gboolean fixture_submit_change_(fixture_t *fixture)
{
	char *workspace = g_strdup_printf("w%d", fixture->submitted_count++);
	support_change_t change;
	gboolean is_accepted;

	support_change_put(fixture->clients,
			   (size_t)fixture->submitted_count % CLIENT_COUNT,
			   workspace, CHANGE_TIMEOUT_MS, &change);
	support_change_wait(&change, 2 * CHANGE_TIMEOUT_MS);
	is_accepted = support_change_is_accepted(&change);
	if (is_accepted)
		g_array_append_val(fixture->accepted, change);
	else
		g_free(change.workspace);
	g_free(workspace);
	return is_accepted;
}

/*
 * Counts the accepted changes that are missing or have another revision in the
 * view of a client, once for each such view.
 */
static int fixture_count_lost_changes_(const fixture_t *fixture)
{
	int lost_count = 0;
	unsigned int i;
	size_t k;

	for (i = 0; i < fixture->accepted->len; i++) {
		const support_change_t *change =
			&g_array_index(fixture->accepted, support_change_t, i);

		for (k = 0; k < CLIENT_COUNT; k++) {
			const cb_contract_t *contract = cb_view_contract(
				fixture->clients->clients[k].view,
				change->workspace);

			if (!contract || contract->revision != change->revision)
				lost_count++;
		}
	}
	return lost_count;
}

/* Checks that a new change takes effect at every client and none is lost. */
static void fixture_check_changes_(fixture_t *fixture)
{
	support_change_t *last;

	CU_ASSERT_TRUE(fixture_submit_change_(fixture));
	if (!fixture->accepted->len)
		return;
	last = &g_array_index(fixture->accepted, support_change_t,
			      fixture->accepted->len - 1);
	support_clients_await_revision(fixture->clients, last->revision);
	CU_ASSERT_TRUE(support_clients_wait_in_force(fixture->clients,
						     IN_FORCE_TIMEOUT_MS));
	CU_ASSERT_EQUAL(fixture_count_lost_changes_(fixture), 0);
}

/* Guards against accepted changes that were only on the killed leader. */
static void killed_leader_loses_no_accepted_change(void)
{
	fixture_t fixture;
	int round;

	fixture_init_(&fixture, 3);
	for (round = 0; round < 4; round++) {
		int leader;

		CU_ASSERT_TRUE(fixture_submit_change_(&fixture));
		CU_ASSERT_TRUE(
			support_wait_leader(fixture.group, START_TIMEOUT_MS));
		leader = support_group_leader(fixture.group);
		if (leader < 0)
			break;
		support_daemon_kill(fixture.group->control[leader]);
		fixture_check_changes_(&fixture);
		support_daemon_start(fixture.group->control[leader]);
	}
	fixture_check_changes_(&fixture);
	fixture_clear_(&fixture);
}

/*
 * Each instance in turn is suspended by SIGSTOP, so that its connections stay
 * open but nothing answers: the others must take over.
 */
static void suspended_instance_loses_no_change(void)
{
	fixture_t fixture;
	size_t i;

	fixture_init_(&fixture, 3);
	for (i = 0; i < 3; i++) {
		support_daemon_signal(fixture.group->control[i], SIGSTOP);
		fixture_check_changes_(&fixture);
		support_daemon_signal(fixture.group->control[i], SIGCONT);
		fixture_check_changes_(&fixture);
	}
	fixture_clear_(&fixture);
}

/* All control instances, killed at once, must restore the changes from disk. */
static void restart_of_all_instances_keeps_changes(void)
{
	fixture_t fixture;
	size_t i;
	int k;

	fixture_init_(&fixture, 3);
	for (k = 0; k < RESTART_CHANGE_COUNT; k++)
		CU_ASSERT_TRUE(fixture_submit_change_(&fixture));
	for (i = 0; i < 3; i++)
		support_daemon_kill(fixture.group->control[i]);
	for (i = 0; i < 3; i++)
		support_daemon_start(fixture.group->control[i]);
	fixture_check_changes_(&fixture);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(support_daemon_stop(fixture.group->control[i]),
				0);
	fixture_clear_(&fixture);
}

/* Returns whether the first instance reports that every member votes. */
static gboolean all_members_vote_(void *user_data)
{
	fixture_t *fixture = user_data;
	const char *address = fixture->group->control[0]->http;
	char *members = NULL;
	gboolean all_vote =
		support_http_request("GET", address, "/v1/members", NULL,
				     &members) == SOUP_STATUS_OK &&
		strstr(members, "\"is_voter\"") &&
		!strstr(members, "\"is_voter\":false");

	g_free(members);
	return all_vote;
}

/*
 * An instance loses its data folder, catches up and votes again; then another
 * instance is killed, and the remaining two must accept changes.
 */
static void erased_instance_regains_its_vote(void)
{
	fixture_t fixture;
	int k;

	fixture_init_(&fixture, 3);
	for (k = 0; k < 5; k++)
		CU_ASSERT_TRUE(fixture_submit_change_(&fixture));
	support_daemon_kill(fixture.group->control[0]);
	support_daemon_erase_data(fixture.group->control[0]);
	support_daemon_start(fixture.group->control[0]);
	fixture_check_changes_(&fixture);
	/* A second failure is tolerated only once the first instance votes
	 * again; before that, two of the three members would be missing. */
	CU_ASSERT_TRUE(support_wait_until(all_members_vote_, &fixture,
					  CHANGE_TIMEOUT_MS));
	support_daemon_kill(fixture.group->control[1]);
	fixture_check_changes_(&fixture);
	fixture_clear_(&fixture);
}

/* SIGTERM to the leader: it exits with code 0, and the next change succeeds. */
static void stopping_leader_hands_over(void)
{
	fixture_t fixture;
	int leader;

	fixture_init_(&fixture, 3);
	CU_ASSERT_TRUE(support_wait_leader(fixture.group, START_TIMEOUT_MS));
	leader = support_group_leader(fixture.group);
	CU_ASSERT_EQUAL(support_daemon_stop(fixture.group->control[leader]), 0);
	fixture_check_changes_(&fixture);
	fixture_clear_(&fixture);
}

/*
 * All data folders are lost; one instance is restored from a copy and is the
 * leader of a group of one.  Views with a higher revision than the copy must
 * still receive new changes.  A restore over existing data is refused.
 */
static void data_copy_restores_a_lost_group(void)
{
	support_daemon_t *first;
	fixture_t fixture;
	char *copy;
	size_t i;
	int k;

	fixture_init_(&fixture, 3);
	for (k = 0; k < 10; k++)
		CU_ASSERT_TRUE(fixture_submit_change_(&fixture));
	fixture_check_changes_(&fixture);
	first = fixture.group->control[0];
	support_daemon_kill(first);
	copy = support_daemon_copy_data(first);
	CU_ASSERT_EQUAL(support_daemon_restore(first, copy), CB_EXIT_FAILURE);
	for (i = 0; i < 3; i++) {
		support_daemon_kill(fixture.group->control[i]);
		support_daemon_erase_data(fixture.group->control[i]);
	}
	CU_ASSERT_EQUAL(support_daemon_restore(first, copy), CB_EXIT_OK);
	support_daemon_start(first);
	fixture_check_changes_(&fixture);
	g_free(copy);
	fixture_clear_(&fixture);
}

/* The daemon exits with CB_EXIT_USAGE when its settings are invalid. */
static void invalid_settings_end_the_daemon(void)
{
	static const char *const cases[] = {
		"{}",
		"{\"name\":\"a\",\"listen_http\":\"127.0.0.1:1\","
		"\"listen_peers\":\"127.0.0.1:2\",\"data_folder\":\"/tmp/x\","
		"\"members\":[\"b=127.0.0.1:2\"]}",
		"{\"name\":\"a\",\"listen_http\":\"127.0.0.1:1\","
		"\"listen_peers\":\"127.0.0.1:2\",\"data_folder\":\"/tmp/x\","
		"\"members\":[\"a\"]}",
		"{\"name\":\"a\",\"listen_http\":\"127.0.0.1:1\","
		"\"listen_peers\":\"127.0.0.1:2\",\"data_folder\":\"/tmp/x\","
		"\"members\":[\"a=127.0.0.1:2\"],\"heartbeat_ms\":400}",
	};
	support_group_t *group = support_group_new(0, NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *name = g_strdup_printf("wrong%zu", i);
		support_daemon_t *daemon =
			support_group_add(group, "cb-control", name,
					  "127.0.0.1:1", cases[i]);

		support_daemon_start(daemon);
		CU_ASSERT_EQUAL(support_daemon_wait(daemon), CB_EXIT_USAGE);
		g_free(name);
	}
	support_group_delete(group);
}

static CU_TestInfo control_tests[] = {
	{ "killed_leader_loses_no_accepted_change",
	  killed_leader_loses_no_accepted_change },
	{ "suspended_instance_loses_no_change",
	  suspended_instance_loses_no_change },
	{ "restart_of_all_instances_keeps_changes",
	  restart_of_all_instances_keeps_changes },
	{ "erased_instance_regains_its_vote",
	  erased_instance_regains_its_vote },
	{ "stopping_leader_hands_over", stopping_leader_hands_over },
	{ "data_copy_restores_a_lost_group", data_copy_restores_a_lost_group },
	{ "invalid_settings_end_the_daemon", invalid_settings_end_the_daemon },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "control",
				    .pTests = control_tests },
				  CU_SUITE_INFO_NULL };

	cb_program_init();
	return support_run(suites);
}
