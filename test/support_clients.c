#include "support_clients.h"

#include <string.h>

#define HEARTBEATS_PER_SILENCE 4

static void view_revision_record_(void *user_data)
{
	support_client_t *self = user_data;
	uint64_t revision = cb_view_revision(self->view);

	if (revision < self->last_revision)
		self->revision_decreases++;
	self->last_revision = revision;
	if (self->awaited_revision && !self->in_force_us &&
	    revision >= self->awaited_revision)
		self->in_force_us = g_get_monotonic_time();
}

static void client_init_(support_clients_t *clients, size_t i,
			 const char *const *addresses, int64_t silence_ms)
{
	support_client_t *self = &clients->clients[i];
	cb_control_client_options_t options = {
		.control_addresses = addresses,
		.address = "127.0.0.1:1",
		.data_centre = "dc1",
		.incarnation = (uint64_t)g_get_real_time(),
		.heartbeat_ms = silence_ms / HEARTBEATS_PER_SILENCE,
		.silence_ms = silence_ms,
	};

	self->name = g_strdup_printf("entry%zu", i + 1);
	options.name = self->name;
	self->view = cb_view_new();
	cb_view_watch(self->view, view_revision_record_, self);
	self->kernel = cb_kernel_new(NULL, clients->clock, NULL);
	self->client =
		cb_control_client_new(self->kernel, self->view, &options);
	cb_kernel_register(self->kernel, "control",
			   (cb_service_t *)self->client);
	g_assert(cb_kernel_start(self->kernel, NULL));
}

/*
 * Creates `count` control clients, which open sessions with the control
 * instances of a group.
 */
support_clients_t *support_clients_new(support_group_t *group, size_t count,
				       int64_t silence_ms)
{
	support_clients_t *clients = g_new0(support_clients_t, 1);
	const char **addresses = g_new0(const char *, group->control_count + 1);
	size_t i;

	for (i = 0; i < group->control_count; i++)
		addresses[i] = group->control[i]->peers;
	clients->group = group;
	clients->clock = cb_clock_new(NULL);
	clients->count = count;
	clients->clients = g_new0(support_client_t, count);
	for (i = 0; i < count; i++)
		client_init_(clients, i, addresses, silence_ms);
	g_free(addresses);
	return clients;
}

/* Closes the sessions and frees the clients. */
void support_clients_delete(support_clients_t *clients)
{
	size_t i;

	for (i = 0; i < clients->count; i++) {
		cb_kernel_delete(clients->clients[i].kernel);
		cb_view_delete(clients->clients[i].view);
		g_free(clients->clients[i].name);
	}
	cb_clock_delete(clients->clock);
	g_free(clients->clients);
	g_free(clients);
}

static gboolean clients_are_confirmed_(void *user_data)
{
	support_clients_t *clients = user_data;
	size_t i;

	for (i = 0; i < clients->count; i++)
		if (!cb_control_client_is_confirmed(clients->clients[i].client))
			return FALSE;
	return TRUE;
}

/*
 * Waits until the view of every client is confirmed.  Returns FALSE after
 * `timeout_ms`.
 */
gboolean support_clients_wait_confirmed(support_clients_t *clients,
					int64_t timeout_ms)
{
	return support_wait_until(clients_are_confirmed_, clients, timeout_ms);
}

/*
 * Starts recording when each client has `revision` in force; a client that has
 * it already is recorded with the present time.
 */
void support_clients_await_revision(support_clients_t *clients,
				    uint64_t revision)
{
	size_t i;

	for (i = 0; i < clients->count; i++) {
		clients->clients[i].awaited_revision = revision;
		clients->clients[i].in_force_us = 0;
		view_revision_record_(&clients->clients[i]);
	}
}

static gboolean clients_have_revision_(void *user_data)
{
	support_clients_t *clients = user_data;
	size_t i;

	for (i = 0; i < clients->count; i++)
		if (!clients->clients[i].in_force_us)
			return FALSE;
	return TRUE;
}

/*
 * Waits until every client has the awaited revision in force.  Returns FALSE
 * after `timeout_ms`.
 */
gboolean support_clients_wait_in_force(support_clients_t *clients,
				       int64_t timeout_ms)
{
	return support_wait_until(clients_have_revision_, clients, timeout_ms);
}

/* Returns how often the revision of any client's view has decreased. */
int support_clients_revision_decreases(const support_clients_t *clients)
{
	int revision_decreases = 0;
	size_t i;

	for (i = 0; i < clients->count; i++)
		revision_decreases += clients->clients[i].revision_decreases;
	return revision_decreases;
}

static void change_result_record_(cb_control_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data)
{
	support_change_t *change = user_data;

	change->calls++;
	change->outcome = outcome;
	if (!answer)
		return;
	change->kind = answer->kind;
	change->revision = answer->revision;
}

/*
 * Submits a contract of a workspace once through one client, with the name of
 * the workspace as the change ID.  `change` receives the result and must stay
 * valid until then.
 */
void support_change_put(support_clients_t *clients, size_t client,
			const char *workspace, int64_t timeout_ms,
			support_change_t *change)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	memset(change, 0, sizeof(*change));
	change->workspace = g_strdup(workspace);
	command->change_id = g_strdup(workspace);
	command->name = g_strdup(workspace);
	command->text = g_strdup_printf(
		"{\"workspace\":\"%s\",\"keys\":[\"key-%s\"],"
		"\"models\":[\"m\"],\"services\":[],"
		"\"guaranteed_tokens_per_s\":10,\"ceiling_tokens_per_s\":20,"
		"\"guaranteed_requests_per_s\":1,"
		"\"ceiling_requests_per_s\":2,\"concurrent_requests\":4,"
		"\"priority\":5,\"deadline_ms\":60000}",
		workspace, workspace);
	cb_control_client_submit(clients->clients[client].client, command,
				 timeout_ms, change_result_record_, change);
}

static gboolean change_has_result_(void *user_data)
{
	return ((support_change_t *)user_data)->calls > 0;
}

/*
 * Waits until the result of a change is reported.  Returns FALSE after
 * `timeout_ms`.
 */
gboolean support_change_wait(support_change_t *change, int64_t timeout_ms)
{
	return support_wait_until(change_has_result_, change, timeout_ms);
}

/* Returns whether a change was accepted and reported exactly once. */
gboolean support_change_is_accepted(const support_change_t *change)
{
	return change->calls == 1 && change->outcome == CB_CONTROL_ANSWERED &&
	       change->kind == CB_ANSWER_OK;
}
