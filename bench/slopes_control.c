#include <string.h>

#include "slopes_roles.h"

/*
 * Cost of sessions, changes and claims to control instances, which are real
 * processes: against the number of idle sessions, the changes per second and
 * the claims per second.
 */
#define SETTLE_MS 2000
#define MEASURE_MS 3000
#define CHANGE_TIMEOUT_MS 10000
#define CHANGE_SESSION_COUNT 60
#define CLAIM_SESSION_COUNT 20
#define MS_PER_S 1000

/* Measures the cost against the number of idle sessions. */
void slopes_measure_sessions(const slopes_output_t *output)
{
	static const char *const series_names[7] =
		SLOPES_ROLE_NAMES("sessions");
	static const size_t counts[] = { 20, 60, 120, 240, 370 };
	slopes_role_series_t series;
	size_t i;

	slopes_role_series_init(&series, series_names, "session");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		slopes_roles_t roles = slopes_roles_new();
		support_clients_t *clients =
			slopes_clients_new(roles.group, counts[i]);
		slopes_role_usage_t begin;

		slopes_loop_run(SETTLE_MS);
		slopes_roles_find_leader(&roles);
		begin = slopes_role_usage_read(&roles);
		slopes_loop_run(MEASURE_MS);
		slopes_role_series_add(&series, (double)counts[i], begin,
				       slopes_role_usage_read(&roles));
		slopes_roles_check_leader(&roles);
		support_clients_delete(clients);
		support_group_delete(roles.group);
	}
	slopes_role_series_report(&series, output);
}

/* A load generator that submits changes or claims at a constant rate. */
typedef struct generator {
	support_clients_t *clients;
	const char *id_prefix; /* makes the change IDs and claim keys unique */
	unsigned int sent;
	/* Number of answered requests, including the failed ones. */
	unsigned int answered;
	unsigned int failed;
	/*
	 * Index, modulo the number of clients, of the client that sends next.
	 */
	unsigned int next_client;
	/* Whether claims are submitted instead of changes. */
	gboolean sends_claims;
} generator_t;

static void change_handle_answer_(cb_control_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data)
{
	generator_t *generator = user_data;

	generator->answered++;
	if (outcome != CB_CONTROL_ANSWERED || answer->kind != CB_ANSWER_OK)
		generator->failed++;
}

static void change_send_(generator_t *generator)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	command->name = g_strdup_printf("w%u", generator->sent % 100);
	command->change_id =
		g_strdup_printf("change-%s-%u", generator->id_prefix,
				generator->sent);
	command->text = g_strdup_printf(
		"{\"workspace\":\"%s\",\"keys\":[\"key-%s\"],"
		"\"models\":[\"m\"],\"services\":[],"
		"\"guaranteed_tokens_per_s\":10,\"ceiling_tokens_per_s\":20,"
		"\"guaranteed_requests_per_s\":1,"
		"\"ceiling_requests_per_s\":%u,\"concurrent_requests\":4,"
		"\"priority\":5,\"deadline_ms\":60000}",
		command->name, command->name, generator->sent + 2);
	cb_control_client_submit(generator->clients
					 ->clients[generator->next_client++ %
						   generator->clients->count]
					 .client,
				 command, CHANGE_TIMEOUT_MS,
				 change_handle_answer_, generator);
	generator->sent++;
}

typedef struct claim {
	generator_t *generator;
	support_client_t *client; /* client that submitted the claim */
	char *key;		  /* idempotency key of the claim */
} claim_t;

static void claim_finish_handle_answer_(cb_control_outcome_t outcome,
					const cb_answer_t *answer,
					void *user_data)
{
	claim_t *claim = user_data;

	change_handle_answer_(outcome, answer, claim->generator);
	g_free(claim->key);
	g_free(claim);
}

static void claim_handle_answer_(cb_control_outcome_t outcome,
				 const cb_answer_t *answer, void *user_data)
{
	static const char text[] = "{\"booking\":\"accepted\"}";
	claim_t *claim = user_data;
	cb_command_t *command;

	if (outcome != CB_CONTROL_ANSWERED ||
	    answer->kind != CB_ANSWER_CLAIMED) {
		claim_finish_handle_answer_(outcome, answer, claim);
		return;
	}
	command = cb_command_new(CB_COMMAND_CLAIM_FINISH);
	command->change_id = g_strdup_printf("finish-%s", claim->key);
	command->name = g_strdup("handicap");
	command->key = g_strdup(claim->key);
	command->fencing = answer->fencing;
	command->result = CB_CLAIM_RESULT_EXECUTED;
	command->payload = g_bytes_new_static(text, sizeof(text) - 1);
	cb_control_client_submit(claim->client->client, command,
				 CHANGE_TIMEOUT_MS, claim_finish_handle_answer_,
				 claim);
}

/* Returns the owner of a claim, "NAME/INCARNATION" of the client's instance. */
static char *claim_owner_format_(const support_client_t *client)
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
	g_error("%s is missing from its own list of instances", client->name);
}

static void claim_send_(generator_t *generator)
{
	claim_t *claim = g_new0(claim_t, 1);
	cb_command_t *command = cb_command_new(CB_COMMAND_CLAIM);

	claim->generator = generator;
	claim->client = &generator->clients->clients[generator->next_client++ %
						     generator->clients->count];
	claim->key = g_strdup_printf("2f1d8a9c-0000-4000-8000-%s-%08u",
				     generator->id_prefix, generator->sent);
	command->change_id = g_strdup_printf("claim-%s", claim->key);
	command->name = g_strdup("handicap");
	command->key = g_strdup(claim->key);
	command->digest = g_strdup("00112233445566778899aabbccddeeff");
	command->owner = claim_owner_format_(claim->client);
	command->server = g_strdup("bookings-1");
	cb_control_client_submit(claim->client->client, command,
				 CHANGE_TIMEOUT_MS, claim_handle_answer_,
				 claim);
	generator->sent++;
}

static gboolean generator_send_(void *user_data)
{
	generator_t *generator = user_data;

	if (generator->sends_claims)
		claim_send_(generator);
	else
		change_send_(generator);
	return G_SOURCE_CONTINUE;
}

static gboolean generator_requests_are_answered_(void *user_data)
{
	const generator_t *generator = user_data;

	return generator->answered == generator->sent;
}

/*
 * Submits `rate` changes or claims per second and measures the cost against the
 * rate that was reached.
 */
static void rate_measure_(generator_t *generator, slopes_roles_t *roles,
			  unsigned int rate, slopes_role_series_t *series)
{
	slopes_role_usage_t begin;
	slopes_role_usage_t end;
	unsigned int sent_before = generator->sent;
	double seconds;
	guint timer;

	slopes_roles_find_leader(roles);
	begin = slopes_role_usage_read(roles);
	timer = g_timeout_add(MS_PER_S / rate, generator_send_, generator);
	slopes_loop_run(MEASURE_MS);
	g_source_remove(timer);
	end = slopes_role_usage_read(roles);
	slopes_roles_check_leader(roles);
	seconds = (double)(end.clients.measured_at_us -
			   begin.clients.measured_at_us) /
		  1e6;
	slopes_role_series_add(series,
			       (generator->sent - sent_before) / seconds, begin,
			       end);
	if (!support_wait_until(generator_requests_are_answered_, generator,
				2 * CHANGE_TIMEOUT_MS) ||
	    generator->failed)
		g_error("%u of %u changes or claims were not accepted",
			generator->failed + generator->sent -
				generator->answered,
			generator->sent);
}

/* Measures the cost at each of the rates, all with one control group. */
static void rates_measure_(generator_t *generator, size_t session_count,
			   const unsigned int rates[4],
			   slopes_role_series_t *series)
{
	slopes_roles_t roles = slopes_roles_new();
	size_t i;

	generator->clients = slopes_clients_new(roles.group, session_count);
	slopes_loop_run(SETTLE_MS);
	for (i = 0; i < 4; i++)
		rate_measure_(generator, &roles, rates[i], series);
	support_clients_delete(generator->clients);
	support_group_delete(roles.group);
}

/*
 * Measures the cost against the changes per second, at a fixed number of
 * sessions.
 */
void slopes_measure_changes(const slopes_output_t *output)
{
	static const char *const series_names[7] =
		SLOPES_ROLE_NAMES("changes_at_60_sessions");
	static const unsigned int rates[4] = { 1, 5, 10, 20 };
	generator_t generator = { .id_prefix = "c" };
	slopes_role_series_t series;

	slopes_role_series_init(&series, series_names, "change/s");
	rates_measure_(&generator, CHANGE_SESSION_COUNT, rates, &series);
	slopes_role_series_report(&series, output);
}

/*
 * Measures the cost against the claims per second; each claim is finished as
 * well.
 */
void slopes_measure_claims(const slopes_output_t *output)
{
	static const char *const series_names[7] =
		SLOPES_ROLE_NAMES("claims_at_20_sessions");
	static const unsigned int rates[4] = { 10, 50, 100, 200 };
	generator_t generator = { .id_prefix = "k", .sends_claims = TRUE };
	slopes_role_series_t series;

	slopes_role_series_init(&series, series_names, "claim/s");
	rates_measure_(&generator, CLAIM_SESSION_COUNT, rates, &series);
	slopes_role_series_report(&series, output);
}
