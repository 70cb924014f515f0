#include <string.h>

#include "slopes.h"
#include "support_clients.h"

/*
 * Control instances as real processes, and sessions with them: against the
 * number of idle sessions, of changes a second, and of claims a second.
 */
#define CONTROL_COUNT 3
#define SILENCE_MS 2000 /* a quarter of it is the heartbeat of cb-entry */
#define START_LIMIT_MS 30000
#define SETTLE_MS 2000
#define MEASURE_MS 5000
#define CHANGE_LIMIT_MS 10000
#define CHANGE_SESSIONS 60
#define CLAIM_SESSIONS 20
#define MS_PER_S 1000

/* The group, the numbers of its leader and of one follower. */
typedef struct roles {
	support_group_t *group;
	int leader;
	int follower;
} roles_t;

/* What was spent by each role between two moments. */
typedef struct moment {
	slopes_spent_t leader;
	slopes_spent_t follower;
	slopes_spent_t self;
} moment_t;

static roles_t roles_new_(void)
{
	roles_t roles = { .group = support_group_new(CONTROL_COUNT, NULL) };

	if (!support_wait_leader(roles.group, START_LIMIT_MS))
		g_error("no leader");
	return roles;
}

static void roles_find_(roles_t *roles)
{
	roles->leader = support_leader(roles->group);
	if (roles->leader < 0)
		g_error("no leader");
	roles->follower = (roles->leader + 1) % CONTROL_COUNT;
}

/* A change of leader within a measurement makes it worthless. */
static void roles_check_(const roles_t *roles)
{
	if (support_leader(roles->group) != roles->leader)
		g_error("the leader changed within a measurement");
}

static moment_t moment_(const roles_t *roles)
{
	moment_t moment = {
		.leader = slopes_daemon_spent(
			roles->group->control[roles->leader]),
		.follower = slopes_daemon_spent(
			roles->group->control[roles->follower]),
		.self = slopes_self_spent(),
	};

	return moment;
}

/* The figures of both roles and of the sessions' process. */
typedef struct role_series {
	slopes_series_t leader_cpu;
	slopes_series_t leader_bytes;
	slopes_series_t leader_memory;
	slopes_series_t follower_cpu;
	slopes_series_t follower_bytes;
	slopes_series_t follower_memory;
	slopes_series_t clients_cpu;
} role_series_t;

static void role_series_add_(role_series_t *series, double count,
			     moment_t begin, moment_t end)
{
	slopes_series_add(&series->leader_cpu, count,
			  slopes_processor_ms_per_s(begin.leader, end.leader));
	slopes_series_add(&series->leader_bytes, count,
			  slopes_bytes_per_s(begin.leader, end.leader));
	slopes_series_add(&series->leader_memory, count,
			  end.leader.resident_kb);
	slopes_series_add(&series->follower_cpu, count,
			  slopes_processor_ms_per_s(begin.follower,
						    end.follower));
	slopes_series_add(&series->follower_bytes, count,
			  slopes_bytes_per_s(begin.follower, end.follower));
	slopes_series_add(&series->follower_memory, count,
			  end.follower.resident_kb);
	slopes_series_add(&series->clients_cpu, count,
			  slopes_processor_ms_per_s(begin.self, end.self));
}

static void role_series_report_(role_series_t *series,
				const slopes_output_t *output)
{
	slopes_series_report(&series->leader_cpu, output);
	slopes_series_report(&series->leader_bytes, output);
	slopes_series_report(&series->leader_memory, output);
	slopes_series_report(&series->follower_cpu, output);
	slopes_series_report(&series->follower_bytes, output);
	slopes_series_report(&series->follower_memory, output);
	slopes_series_report(&series->clients_cpu, output);
}

#define SERIES(prefix, count_of)                                               \
	do {                                                                   \
		slopes_series_init(&series.leader_cpu, prefix "_leader_cpu",   \
				   "ms/s", count_of);                          \
		slopes_series_init(&series.leader_bytes,                       \
				   prefix "_leader_bytes", "B/s", count_of);   \
		slopes_series_init(&series.leader_memory,                      \
				   prefix "_leader_memory", "KB", count_of);   \
		slopes_series_init(&series.follower_cpu,                       \
				   prefix "_follower_cpu", "ms/s", count_of);  \
		slopes_series_init(&series.follower_bytes,                     \
				   prefix "_follower_bytes", "B/s", count_of); \
		slopes_series_init(&series.follower_memory,                    \
				   prefix "_follower_memory", "KB", count_of); \
		slopes_series_init(&series.clients_cpu, prefix "_clients_cpu", \
				   "ms/s", count_of);                          \
	} while (0)

static support_clients_t *clients_new_(support_group_t *group, size_t count)
{
	support_clients_t *clients =
		support_clients_new(group, count, SILENCE_MS);

	if (!support_clients_wait_confirmed(clients, START_LIMIT_MS))
		g_error("%zu sessions were not confirmed", count);
	return clients;
}

/* Idle sessions. */
void slopes_control_sessions(const slopes_output_t *output)
{
	static const size_t counts[] = { 20, 60, 120, 240, 370 };
	role_series_t series;
	size_t i;

	SERIES("sessions", "session");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		roles_t roles = roles_new_();
		support_clients_t *clients =
			clients_new_(roles.group, counts[i]);
		moment_t begin;

		slopes_rest(SETTLE_MS);
		roles_find_(&roles);
		begin = moment_(&roles);
		slopes_rest(MEASURE_MS);
		role_series_add_(&series, (double)counts[i], begin,
				 moment_(&roles));
		roles_check_(&roles);
		support_clients_delete(clients);
		support_group_delete(roles.group);
	}
	role_series_report_(&series, output);
}

/* A flow of changes or claims at an even rate. */
typedef struct flow {
	support_clients_t *clients;
	const char *prefix;
	unsigned int sent;
	unsigned int answered;
	unsigned int failed;
	unsigned int client;
	gboolean is_claims;
} flow_t;

static void change_done_(cb_control_outcome_t outcome,
			 const cb_answer_t *answer, void *user_data)
{
	flow_t *flow = user_data;

	flow->answered++;
	if (outcome != CB_CONTROL_ANSWERED || answer->kind != CB_ANSWER_OK)
		flow->failed++;
}

static void change_send_(flow_t *flow)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	command->name = g_strdup_printf("w%u", flow->sent % 100);
	command->change_id =
		g_strdup_printf("change-%s-%u", flow->prefix, flow->sent);
	command->text = g_strdup_printf(
		"{\"workspace\":\"%s\",\"keys\":[\"key-%s\"],"
		"\"models\":[\"m\"],\"services\":[],"
		"\"guaranteed_tokens_per_s\":10,\"ceiling_tokens_per_s\":20,"
		"\"guaranteed_requests_per_s\":1,"
		"\"ceiling_requests_per_s\":%u,\"concurrent_requests\":4,"
		"\"priority\":5,\"deadline_ms\":60000}",
		command->name, command->name, flow->sent + 2);
	cb_control_client_submit(
		flow->clients->clients[flow->client++ % flow->clients->count]
			.client,
		command, CHANGE_LIMIT_MS, change_done_, flow);
	flow->sent++;
}

typedef struct claim {
	flow_t *flow;
	support_client_t *client;
	char *key;
} claim_t;

static void finish_done_(cb_control_outcome_t outcome,
			 const cb_answer_t *answer, void *user_data)
{
	claim_t *claim = user_data;

	change_done_(outcome, answer, claim->flow);
	g_free(claim->key);
	g_free(claim);
}

static void claim_done_(cb_control_outcome_t outcome, const cb_answer_t *answer,
			void *user_data)
{
	static const char text[] = "{\"booking\":\"accepted\"}";
	claim_t *claim = user_data;
	cb_command_t *command;

	if (outcome != CB_CONTROL_ANSWERED ||
	    answer->kind != CB_ANSWER_CLAIMED) {
		finish_done_(outcome, answer, claim);
		return;
	}
	command = cb_command_new(CB_COMMAND_CLAIM_FINISH);
	command->change_id = g_strdup_printf("finish-%s", claim->key);
	command->name = g_strdup("handicap");
	command->key = g_strdup(claim->key);
	command->fencing = answer->fencing;
	command->result = CB_CLAIM_RESULT_EXECUTED;
	command->answer = g_bytes_new_static(text, sizeof(text) - 1);
	cb_control_client_submit(claim->client->client, command,
				 CHANGE_LIMIT_MS, finish_done_, claim);
}

static char *owner_(const support_client_t *client)
{
	const GPtrArray *instances = cb_view_instances(client->view);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);

		if (!strcmp(instance->name, client->name))
			return g_strdup_printf("%s/%" G_GUINT64_FORMAT,
					       instance->name,
					       instance->incarnation);
	}
	g_error("%s is not in its own view", client->name);
}

static void claim_send_(flow_t *flow)
{
	claim_t *claim = g_new0(claim_t, 1);
	cb_command_t *command = cb_command_new(CB_COMMAND_CLAIM);

	claim->flow = flow;
	claim->client =
		&flow->clients->clients[flow->client++ % flow->clients->count];
	claim->key = g_strdup_printf("2f1d8a9c-0000-4000-8000-%s-%08u",
				     flow->prefix, flow->sent);
	command->change_id = g_strdup_printf("claim-%s", claim->key);
	command->name = g_strdup("handicap");
	command->key = g_strdup(claim->key);
	command->digest = g_strdup("00112233445566778899aabbccddeeff");
	command->owner = owner_(claim->client);
	command->server = g_strdup("bookings-1");
	cb_control_client_submit(claim->client->client, command,
				 CHANGE_LIMIT_MS, claim_done_, claim);
	flow->sent++;
}

static gboolean flow_send_(void *user_data)
{
	flow_t *flow = user_data;

	if (flow->is_claims)
		claim_send_(flow);
	else
		change_send_(flow);
	return G_SOURCE_CONTINUE;
}

static gboolean is_answered_(void *user_data)
{
	const flow_t *flow = user_data;

	return flow->answered == flow->sent;
}

/* Sends at a rate and measures; returns what came to be a second. */
static void flow_measure_(flow_t *flow, roles_t *roles, unsigned int rate,
			  role_series_t *series)
{
	moment_t begin;
	moment_t end;
	unsigned int sent = flow->sent;
	double seconds;
	guint timer;

	roles_find_(roles);
	begin = moment_(roles);
	timer = g_timeout_add(MS_PER_S / rate, flow_send_, flow);
	slopes_rest(MEASURE_MS);
	g_source_remove(timer);
	end = moment_(roles);
	roles_check_(roles);
	seconds = (double)(end.self.at_us - begin.self.at_us) / 1e6;
	role_series_add_(series, (flow->sent - sent) / seconds, begin, end);
	if (!support_wait(is_answered_, flow, 2 * CHANGE_LIMIT_MS) ||
	    flow->failed)
		g_error("%u of %u were not accepted",
			flow->failed + flow->sent - flow->answered, flow->sent);
}

static void flows_measure_(flow_t *flow, size_t sessions,
			   const unsigned int rates[4], role_series_t *series)
{
	roles_t roles = roles_new_();
	size_t i;

	flow->clients = clients_new_(roles.group, sessions);
	slopes_rest(SETTLE_MS);
	for (i = 0; i < 4; i++)
		flow_measure_(flow, &roles, rates[i], series);
	support_clients_delete(flow->clients);
	support_group_delete(roles.group);
}

/* Changes a second, with a fixed number of sessions. */
void slopes_control_changes(const slopes_output_t *output)
{
	static const unsigned int rates[4] = { 1, 5, 10, 20 };
	flow_t flow = { .prefix = "c" };
	role_series_t series;

	SERIES("changes_at_60_sessions", "change/s");
	flows_measure_(&flow, CHANGE_SESSIONS, rates, &series);
	role_series_report_(&series, output);
}

/* Claims a second, each with its end. */
void slopes_control_claims(const slopes_output_t *output)
{
	static const unsigned int rates[4] = { 10, 50, 100, 200 };
	flow_t flow = { .prefix = "k", .is_claims = TRUE };
	role_series_t series;

	SERIES("claims_at_20_sessions", "claim/s");
	flows_measure_(&flow, CLAIM_SESSIONS, rates, &series);
	role_series_report_(&series, output);
}
