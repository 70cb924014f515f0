#include <string.h>

#include "slopes_roles.h"

/*
 * Control instances as real processes, and sessions with them: against the
 * number of idle sessions, of changes a second, and of claims a second.
 */
#define SETTLE_MS 2000
#define MEASURE_MS 3000
#define CHANGE_LIMIT_MS 10000
#define CHANGE_SESSIONS 60
#define CLAIM_SESSIONS 20
#define MS_PER_S 1000

/* Idle sessions. */
void slopes_control_sessions(const slopes_output_t *output)
{
	static const char *const names[7] = SLOPES_ROLE_NAMES("sessions");
	static const size_t counts[] = { 20, 60, 120, 240, 370 };
	slopes_role_series_t series;
	size_t i;

	slopes_role_series_init(&series, names, "session");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		slopes_roles_t roles = slopes_roles_new();
		support_clients_t *clients =
			slopes_clients_new(roles.group, counts[i]);
		slopes_moment_t begin;

		slopes_rest(SETTLE_MS);
		slopes_roles_find(&roles);
		begin = slopes_moment(&roles);
		slopes_rest(MEASURE_MS);
		slopes_role_series_add(&series, (double)counts[i], begin,
				       slopes_moment(&roles));
		slopes_roles_check(&roles);
		support_clients_delete(clients);
		support_group_delete(roles.group);
	}
	slopes_role_series_report(&series, output);
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
static void flow_measure_(flow_t *flow, slopes_roles_t *roles,
			  unsigned int rate, slopes_role_series_t *series)
{
	slopes_moment_t begin;
	slopes_moment_t end;
	unsigned int sent = flow->sent;
	double seconds;
	guint timer;

	slopes_roles_find(roles);
	begin = slopes_moment(roles);
	timer = g_timeout_add(MS_PER_S / rate, flow_send_, flow);
	slopes_rest(MEASURE_MS);
	g_source_remove(timer);
	end = slopes_moment(roles);
	slopes_roles_check(roles);
	seconds = (double)(end.self.at_us - begin.self.at_us) / 1e6;
	slopes_role_series_add(series, (flow->sent - sent) / seconds, begin,
			       end);
	if (!support_wait(is_answered_, flow, 2 * CHANGE_LIMIT_MS) ||
	    flow->failed)
		g_error("%u of %u were not accepted",
			flow->failed + flow->sent - flow->answered, flow->sent);
}

static void flows_measure_(flow_t *flow, size_t sessions,
			   const unsigned int rates[4],
			   slopes_role_series_t *series)
{
	slopes_roles_t roles = slopes_roles_new();
	size_t i;

	flow->clients = slopes_clients_new(roles.group, sessions);
	slopes_rest(SETTLE_MS);
	for (i = 0; i < 4; i++)
		flow_measure_(flow, &roles, rates[i], series);
	support_clients_delete(flow->clients);
	support_group_delete(roles.group);
}

/* Changes a second, with a fixed number of sessions. */
void slopes_control_changes(const slopes_output_t *output)
{
	static const char *const names[7] =
		SLOPES_ROLE_NAMES("changes_at_60_sessions");
	static const unsigned int rates[4] = { 1, 5, 10, 20 };
	flow_t flow = { .prefix = "c" };
	slopes_role_series_t series;

	slopes_role_series_init(&series, names, "change/s");
	flows_measure_(&flow, CHANGE_SESSIONS, rates, &series);
	slopes_role_series_report(&series, output);
}

/* Claims a second, each with its end. */
void slopes_control_claims(const slopes_output_t *output)
{
	static const char *const names[7] =
		SLOPES_ROLE_NAMES("claims_at_20_sessions");
	static const unsigned int rates[4] = { 10, 50, 100, 200 };
	flow_t flow = { .prefix = "k", .is_claims = TRUE };
	slopes_role_series_t series;

	slopes_role_series_init(&series, names, "claim/s");
	flows_measure_(&flow, CLAIM_SESSIONS, rates, &series);
	slopes_role_series_report(&series, output);
}
