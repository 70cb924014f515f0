#include "support_clients.h"

#include <string.h>

#define HEARTBEATS_A_SILENCE 4

static void view_changed_(void *user_data)
{
	support_client_t *self = user_data;
	uint64_t revision = cb_view_revision(self->view);

	if (revision < self->highest_revision)
		self->went_back++;
	self->highest_revision = revision;
	if (self->awaited_revision && !self->reached_us &&
	    revision >= self->awaited_revision)
		self->reached_us = g_get_monotonic_time();
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
		.heartbeat_ms = silence_ms / HEARTBEATS_A_SILENCE,
		.silence_ms = silence_ms,
	};

	self->name = g_strdup_printf("entry%zu", i + 1);
	options.name = self->name;
	self->view = cb_view_new();
	cb_view_watch(self->view, view_changed_, self);
	self->kernel = cb_kernel_new(NULL, clients->clock, NULL);
	self->client =
		cb_control_client_new(self->kernel, self->view, &options);
	cb_kernel_register(self->kernel, "control",
			   (cb_service_t *)self->client);
	g_assert(cb_kernel_start(self->kernel, NULL));
}

/* Opens `count` sessions with the control instances of a group. */
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

/* Closes the sessions. */
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

static gboolean are_confirmed_(void *user_data)
{
	support_clients_t *clients = user_data;
	size_t i;

	for (i = 0; i < clients->count; i++)
		if (!cb_control_client_is_confirmed(clients->clients[i].client))
			return FALSE;
	return TRUE;
}

/* Waits until every view is confirmed. */
gboolean support_clients_wait_confirmed(support_clients_t *clients,
					int64_t limit_ms)
{
	return support_wait(are_confirmed_, clients, limit_ms);
}

/* Notes from now on when each client has a revision in force. */
void support_clients_await(support_clients_t *clients, uint64_t revision)
{
	size_t i;

	for (i = 0; i < clients->count; i++) {
		clients->clients[i].awaited_revision = revision;
		clients->clients[i].reached_us = 0;
		view_changed_(&clients->clients[i]);
	}
}

static gboolean have_reached_(void *user_data)
{
	support_clients_t *clients = user_data;
	size_t i;

	for (i = 0; i < clients->count; i++)
		if (!clients->clients[i].reached_us)
			return FALSE;
	return TRUE;
}

/* Waits until every client has the awaited revision in force. */
gboolean support_clients_wait_reached(support_clients_t *clients,
				      int64_t limit_ms)
{
	return support_wait(have_reached_, clients, limit_ms);
}

/* Returns how often any view went back to a lower revision. */
int support_clients_went_back(const support_clients_t *clients)
{
	int went_back = 0;
	size_t i;

	for (i = 0; i < clients->count; i++)
		went_back += clients->clients[i].went_back;
	return went_back;
}

static void put_done_(cb_control_outcome_t outcome, const cb_answer_t *answer,
		      void *user_data)
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
 * Submits a contract for a workspace, once under a change ID of the same
 * name; `change` stays in use until it is answered.
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
				 timeout_ms, put_done_, change);
}

static gboolean is_answered_(void *user_data)
{
	return ((support_change_t *)user_data)->calls > 0;
}

/* Waits until a change is answered. */
gboolean support_change_wait(support_change_t *change, int64_t limit_ms)
{
	return support_wait(is_answered_, change, limit_ms);
}

/* Tells whether a change was accepted. */
gboolean support_change_is_accepted(const support_change_t *change)
{
	return change->calls == 1 && change->outcome == CB_CONTROL_ANSWERED &&
	       change->kind == CB_ANSWER_OK;
}
