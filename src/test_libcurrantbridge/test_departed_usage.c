#include <stdio.h>

#include "private/link_message.h"
#include "private/usage.h"
#include "support_main.h"
#include "support_world.h"

#define START_LIMIT_MS 10000
#define REPORT_INTERVAL_MS 200
#define RETRIES 100
#define NEVER_MS INT64_MAX

/* What happens to the first entry instance, which has sent all the retries. */
typedef enum departure {
	DEPARTURE_KILLED,
	DEPARTURE_RESTARTED,
	DEPARTURE_MOVED, /* its control instance is cut off for 2.5 s */
} departure_t;

typedef struct departure_case {
	const char *label;
	departure_t departure;
	/* Period in which every sum must count at least RETRIES retries. */
	int64_t told_from_ms;
	int64_t told_until_ms;
	/* From when on they must tell of this many, exactly. */
	int64_t settled_from_ms;
	uint32_t settled_retries;
} departure_case_t;

static const departure_case_t departure_cases[] = {
	{ "killed", DEPARTURE_KILLED, 0, 9000, 11000, 0 },
	{ "restarted", DEPARTURE_RESTARTED, 0, 9000, 11000, 0 },
	{ "moved", DEPARTURE_MOVED, 2800, 12000, 9000, RETRIES },
};

/* Reports a client's requests and retries, as entry instances do. */
static void usage_report_(world_t *world, size_t client, uint32_t retries)
{
	const cb_usage_sends_t sends = { .requests = 10 * RETRIES,
					 .retries = retries };
	cb_usage_t *usage = cb_usage_new();
	GBytes *bytes;

	cb_usage_add_sends(usage, "s", &sends);
	bytes = cb_usage_encode(usage, CB_PROTOCOL_VERSION);
	cb_control_client_report_usage(world->clients[client].client, bytes);
	g_bytes_unref(bytes);
	cb_usage_delete(usage);
}

static void sum_receive_(GBytes *bytes, void *user_data)
{
	cb_usage_t *sum = cb_usage_decode(bytes);

	*(uint32_t *)user_data = cb_usage_find_sends(sum, "s").retries;
	cb_usage_delete(sum);
}

/* Returns the node that has the first client's session: that which lists it. */
static size_t first_client_node_find_(world_t *world)
{
	const GPtrArray *sessions =
		cb_node_sessions(world->nodes[world_leader(world)].node);
	size_t i;
	unsigned int k;

	for (k = 0; k < sessions->len; k++) {
		const cb_session_status_t *status = sessions->pdata[k];

		for (i = 0; i < world->node_count; i++)
			if (!g_strcmp0(status->name, "entry1") &&
			    !g_strcmp0(status->control, world->nodes[i].name))
				return i;
	}
	return 0;
}

/* Reports the usage of all clients for some time. */
static void usage_exchange_(world_t *world, int64_t duration_ms,
			    uint32_t first_retries)
{
	int64_t elapsed_ms;
	size_t i;

	for (elapsed_ms = 0; elapsed_ms < duration_ms;
	     elapsed_ms += REPORT_INTERVAL_MS) {
		for (i = 0; i < world->client_count; i++)
			if (world->clients[i].client)
				usage_report_(world, i, i ? 0 : first_retries);
		cb_clock_advance(world->clock, REPORT_INTERVAL_MS);
	}
}

static void departure_play_(const departure_case_t *departure)
{
	world_t *world = world_new_with_servers(3, 4, 21, 60000);
	uint32_t lowest = UINT32_MAX;
	uint32_t retries = 0;
	int64_t elapsed_ms;
	size_t home;

	CU_ASSERT_TRUE(
		world_run_until(world, world_is_converged, START_LIMIT_MS));
	usage_exchange_(world, 3000, RETRIES);
	home = first_client_node_find_(world);
	if (departure->departure == DEPARTURE_MOVED)
		world_isolate(world, world->nodes[home].name, TRUE);
	else
		world_client_stop(world, 0);
	if (departure->departure == DEPARTURE_RESTARTED)
		world_client_start(world, 0);
	cb_control_client_on_usage(world->clients[1].client, sum_receive_,
				   &retries);
	for (elapsed_ms = 0; elapsed_ms < 14000;
	     elapsed_ms += REPORT_INTERVAL_MS) {
		if (elapsed_ms == 2400)
			world_isolate(world, world->nodes[home].name, FALSE);
		usage_exchange_(world, REPORT_INTERVAL_MS,
				departure->departure == DEPARTURE_MOVED ?
					RETRIES :
					0);
		if (elapsed_ms > departure->told_from_ms &&
		    elapsed_ms < departure->told_until_ms)
			lowest = MIN(lowest, retries);
		if (elapsed_ms > departure->settled_from_ms)
			CU_ASSERT_EQUAL(retries, departure->settled_retries);
	}
	CU_ASSERT_TRUE(lowest >= RETRIES);
	if (lowest < RETRIES)
		printf("    %s: the sums told of %u retries\n",
		       departure->label, lowest);
	world_delete(world);
}

/*
 * Retries that an entry instance sent before it ended must stay in the sums for
 * the rest of the budget's window, and must not be counted twice if it only
 * moved to another control instance.
 */
static void retries_of_ended_entries_stay_in_sums(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(departure_cases); i++)
		departure_play_(&departure_cases[i]);
}

static CU_TestInfo departed_usage_tests[] = {
	{ "retries_of_ended_entries_stay_in_sums",
	  retries_of_ended_entries_stay_in_sums },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "departed_usage",
				    .pTests = departed_usage_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
