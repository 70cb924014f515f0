#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantbridge/program.h"
#include "support_clients.h"
#include "support_main.h"

/*
 * The control instances as real processes.  Sessions are control clients
 * in this process; every accepted change is held against every view.
 */
#define CLIENTS 6
#define SILENCE_MS 1500
#define START_LIMIT_MS 20000
#define CHANGE_LIMIT_MS 20000
#define IN_FORCE_LIMIT_MS 15000
#define RESTART_CHANGES 300

static const support_bounds_t bounds = { 100, 500, SILENCE_MS };

/* A group with its sessions and the changes that were accepted. */
typedef struct history {
	support_group_t *group;
	support_clients_t *clients;
	GArray *accepted; /* of support_change_t */
	int put;
} history_t;

static void history_init_(history_t *history, size_t control_count)
{
	memset(history, 0, sizeof(*history));
	history->group = support_group_new(control_count, &bounds);
	history->clients =
		support_clients_new(history->group, CLIENTS, SILENCE_MS);
	history->accepted = g_array_new(FALSE, FALSE, sizeof(support_change_t));
	CU_ASSERT_TRUE_FATAL(support_clients_wait_confirmed(history->clients,
							    START_LIMIT_MS));
}

static void history_clear_(history_t *history)
{
	unsigned int i;
	size_t k;

	/* What the test has not ended itself must not have ended. */
	for (k = 0; k < history->group->control_count; k++)
		CU_ASSERT_TRUE(!history->group->control[k]->process ||
			       support_daemon_runs(history->group->control[k]));
	CU_ASSERT_EQUAL(support_clients_went_back(history->clients), 0);
	support_clients_delete(history->clients);
	support_group_delete(history->group);
	for (i = 0; i < history->accepted->len; i++)
		g_free(g_array_index(history->accepted, support_change_t, i)
			       .workspace);
	g_array_unref(history->accepted);
}

/* Makes one change and waits for its answer; notes it when accepted. */
static gboolean history_put_(history_t *history)
{
	char *workspace = g_strdup_printf("w%d", history->put++);
	support_change_t change;
	gboolean is_accepted;

	support_change_put(history->clients, (size_t)history->put % CLIENTS,
			   workspace, CHANGE_LIMIT_MS, &change);
	support_change_wait(&change, 2 * CHANGE_LIMIT_MS);
	is_accepted = support_change_is_accepted(&change);
	if (is_accepted)
		g_array_append_val(history->accepted, change);
	else
		g_free(change.workspace);
	g_free(workspace);
	return is_accepted;
}

/* Counts the accepted changes that some view lacks or has changed. */
static int history_lost_(const history_t *history)
{
	int lost = 0;
	unsigned int i;
	size_t k;

	for (i = 0; i < history->accepted->len; i++) {
		const support_change_t *change =
			&g_array_index(history->accepted, support_change_t, i);

		for (k = 0; k < CLIENTS; k++) {
			const cb_contract_t *contract = cb_view_contract(
				history->clients->clients[k].view,
				change->workspace);

			if (!contract || contract->revision != change->revision)
				lost++;
		}
	}
	return lost;
}

/* One more change comes into force everywhere, and none is lost. */
static void history_check_(history_t *history)
{
	support_change_t *last;

	CU_ASSERT_TRUE(history_put_(history));
	if (!history->accepted->len)
		return;
	last = &g_array_index(history->accepted, support_change_t,
			      history->accepted->len - 1);
	support_clients_await(history->clients, last->revision);
	CU_ASSERT_TRUE(support_clients_wait_reached(history->clients,
						    IN_FORCE_LIMIT_MS));
	CU_ASSERT_EQUAL(history_lost_(history), 0);
}

static void killed_leader_loses_nothing(void)
{
	history_t history;
	int round;

	history_init_(&history, 3);
	for (round = 0; round < 4; round++) {
		int leader;

		CU_ASSERT_TRUE(history_put_(&history));
		CU_ASSERT_TRUE(
			support_wait_leader(history.group, START_LIMIT_MS));
		leader = support_leader(history.group);
		if (leader < 0)
			break;
		support_daemon_kill(history.group->control[leader]);
		history_check_(&history);
		support_daemon_start(history.group->control[leader]);
	}
	history_check_(&history);
	history_clear_(&history);
}

/* Each instance in turn is stopped while its connections stay open. */
static void stopped_instance_is_left(void)
{
	history_t history;
	size_t i;

	history_init_(&history, 3);
	for (i = 0; i < 3; i++) {
		support_daemon_signal(history.group->control[i], SIGSTOP);
		history_check_(&history);
		support_daemon_signal(history.group->control[i], SIGCONT);
		history_check_(&history);
	}
	history_clear_(&history);
}

static void restart_of_all_keeps_changes(void)
{
	history_t history;
	size_t i;
	int k;

	history_init_(&history, 3);
	for (k = 0; k < RESTART_CHANGES; k++)
		CU_ASSERT_TRUE(history_put_(&history));
	for (i = 0; i < 3; i++)
		support_daemon_kill(history.group->control[i]);
	for (i = 0; i < 3; i++)
		support_daemon_start(history.group->control[i]);
	history_check_(&history);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(support_daemon_stop(history.group->control[i]),
				0);
	history_clear_(&history);
}

/* Tells whether every member votes, as the one with the new disk says. */
static gboolean all_vote_(void *user_data)
{
	history_t *history = user_data;
	const char *address = history->group->control[0]->http;
	char *members = NULL;
	gboolean all = support_http("GET", address, "/v1/members", NULL,
				    &members) == SOUP_STATUS_OK &&
		       strstr(members, "\"is_voter\"") &&
		       !strstr(members, "\"is_voter\":false");

	g_free(members);
	return all;
}

/* A blank disk comes back, catches up, and then another instance is lost. */
static void blank_disk_is_replaced(void)
{
	history_t history;
	int k;

	history_init_(&history, 3);
	for (k = 0; k < 5; k++)
		CU_ASSERT_TRUE(history_put_(&history));
	support_daemon_kill(history.group->control[0]);
	support_daemon_erase(history.group->control[0]);
	support_daemon_start(history.group->control[0]);
	history_check_(&history);
	/* The repair is over once the new disk votes; before, a majority of
	 * the three has lost its disk or its life. */
	CU_ASSERT_TRUE(support_wait(all_vote_, &history, CHANGE_LIMIT_MS));
	support_daemon_kill(history.group->control[1]);
	history_check_(&history);
	history_clear_(&history);
}

/* A graceful stop of the leader: exit code 0, and no change fails. */
static void stopping_leader_hands_over(void)
{
	history_t history;
	int leader;

	history_init_(&history, 3);
	CU_ASSERT_TRUE(support_wait_leader(history.group, START_LIMIT_MS));
	leader = support_leader(history.group);
	CU_ASSERT_EQUAL(support_daemon_stop(history.group->control[leader]), 0);
	history_check_(&history);
	history_clear_(&history);
}

/*
 * All disks are lost; one instance is restored from a copy and leads a
 * group of one.  Views that are ahead of the copy go on from there.
 */
static void copy_restores_a_lost_group(void)
{
	support_daemon_t *first;
	history_t history;
	char *copy;
	size_t i;
	int k;

	history_init_(&history, 3);
	for (k = 0; k < 10; k++)
		CU_ASSERT_TRUE(history_put_(&history));
	history_check_(&history);
	first = history.group->control[0];
	support_daemon_kill(first);
	copy = support_daemon_copy(first);
	CU_ASSERT_EQUAL(support_daemon_restore(first, copy), CB_EXIT_FAILURE);
	for (i = 0; i < 3; i++) {
		support_daemon_kill(history.group->control[i]);
		support_daemon_erase(history.group->control[i]);
	}
	CU_ASSERT_EQUAL(support_daemon_restore(first, copy), CB_EXIT_OK);
	support_daemon_start(first);
	history_check_(&history);
	g_free(copy);
	history_clear_(&history);
}

/* Settings that are wrong end the daemon with exit code 2. */
static void wrong_settings_are_refused(void)
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
	{ "killed_leader_loses_nothing", killed_leader_loses_nothing },
	{ "stopped_instance_is_left", stopped_instance_is_left },
	{ "restart_of_all_keeps_changes", restart_of_all_keeps_changes },
	{ "blank_disk_is_replaced", blank_disk_is_replaced },
	{ "stopping_leader_hands_over", stopping_leader_hands_over },
	{ "copy_restores_a_lost_group", copy_restores_a_lost_group },
	{ "wrong_settings_are_refused", wrong_settings_are_refused },
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
