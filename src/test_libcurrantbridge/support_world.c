#include "support_world.h"

#include <string.h>

#define STEP_MS 5

/* Starts a control node with its existing disk. */
void world_node_start(world_t *world, size_t i)
{
	world_node_t *self = &world->nodes[i];
	cb_replica_member_t members[WORLD_NODES_MAX] = { 0 };
	GRand *random = g_rand_new_with_seed(g_rand_int(world->random));
	cb_node_options_t options = {
		.name = self->name,
		.listen = self->address,
		.initial_members = members,
		.initial_member_count = world->node_count,
		.heartbeat_ms = world->timing.heartbeat_ms,
		.election_timeout_ms = world->timing.election_ms,
		.silence_ms = world->timing.silence_ms,
		.snapshot_every_bytes = 1 << 20,
		.server_silence_ms = world->server_silence_ms,
		.codec = world->codec,
		.retry_window_ms = WORLD_RETRY_WINDOW_MS,
		.network = support_hub_network(world->hub, self->name),
		.storage = disk_storage(self->disk),
		.random = random,
	};
	size_t k;

	for (k = 0; k < world->node_count; k++) {
		members[k].name = world->nodes[k].name;
		members[k].address = world->nodes[k].address;
		members[k].is_voter = TRUE;
	}
	self->kernel = cb_kernel_new(NULL, world->clock, NULL);
	self->node = cb_node_new(self->kernel, &options);
	cb_kernel_register(self->kernel, "node", (cb_service_t *)self->node);
	g_assert(cb_kernel_start(self->kernel, NULL));
	g_rand_free(random);
}

/* Crashes a control node; its disk is kept. */
void world_node_stop(world_t *world, size_t i)
{
	world_node_t *self = &world->nodes[i];

	if (!self->kernel)
		return;
	disk_crash(self->disk);
	g_clear_pointer(&self->kernel, cb_kernel_delete);
	self->node = NULL;
}

/* Counts updates that lowered the revision, and instances seen as silent. */
static void view_changed_(void *user_data)
{
	world_client_t *self = user_data;
	const GPtrArray *instances = cb_view_instances(self->view);
	unsigned int i;

	if (cb_view_revision(self->view) < self->highest_revision)
		self->reverted_count++;
	self->highest_revision = cb_view_revision(self->view);
	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);

		if (instance->state == CB_INSTANCE_SILENT)
			self->silent_seen_count++;
	}
}

/* Starts an entry instance with an empty view and the next incarnation. */
void world_client_start(world_t *world, size_t i)
{
	world_client_t *self = &world->clients[i];
	const char *addresses[WORLD_NODES_MAX + 1] = { 0 };
	GRand *random = g_rand_new_with_seed(g_rand_int(world->random));
	cb_control_client_options_t options = {
		.control_addresses = addresses,
		.name = self->name,
		.address = "127.0.0.1:1",
		.data_centre = "dc1",
		.incarnation = ++self->incarnation,
		.renews_incarnation = TRUE,
		.heartbeat_ms = world->timing.client_heartbeat_ms,
		.silence_ms = world->timing.silence_ms,
		.network = support_hub_network(world->hub, self->name),
		.random = random,
	};
	size_t k;

	for (k = 0; k < (world->known_node_count ? world->known_node_count :
						   world->node_count);
	     k++)
		addresses[k] = world->nodes[k].address;
	self->highest_revision = 0;
	self->view = cb_view_new();
	cb_view_watch(self->view, view_changed_, self);
	self->kernel = cb_kernel_new(NULL, world->clock, NULL);
	self->client =
		cb_control_client_new(self->kernel, self->view, &options);
	cb_kernel_register(self->kernel, "control",
			   (cb_service_t *)self->client);
	g_assert(cb_kernel_start(self->kernel, NULL));
	g_rand_free(random);
}

/* Ends an entry instance at once. */
void world_client_stop(world_t *world, size_t i)
{
	world_client_t *self = &world->clients[i];

	if (!self->kernel)
		return;
	g_clear_pointer(&self->kernel, cb_kernel_delete);
	g_clear_pointer(&self->view, cb_view_delete);
	self->client = NULL;
}

static const world_timing_t default_timing = {
	.heartbeat_ms = WORLD_HEARTBEAT_MS,
	.election_ms = WORLD_ELECTION_MS,
	.silence_ms = WORLD_SILENCE_MS,
	.client_heartbeat_ms = WORLD_SILENCE_MS / 4,
};

/* Creates nodes and clients and starts them all. */
static world_t *world_create_(size_t node_count, size_t client_count,
			      uint32_t seed, const world_timing_t *timing,
			      int64_t server_silence_ms,
			      const cb_document_codec_t *codec)
{
	world_t *world = g_new0(world_t, 1);
	size_t i;

	g_assert(node_count <= WORLD_NODES_MAX &&
		 client_count <= WORLD_CLIENTS_MAX);
	world->timing = *timing;
	world->server_silence_ms = server_silence_ms;
	world->codec = codec;
	world->clock = cb_clock_new_paused(1000);
	world->random = g_rand_new_with_seed(seed);
	world->hub = support_hub_new(world->clock);
	world->node_count = node_count;
	world->client_count = client_count;
	for (i = 0; i < node_count; i++) {
		world->nodes[i].name = g_strdup_printf("control%zu", i + 1);
		world->nodes[i].address =
			g_strdup_printf("10.0.0.%zu:1", i + 1);
		world->nodes[i].disk = disk_new(world->clock, world->random);
	}
	for (i = 0; i < client_count; i++)
		world->clients[i].name = g_strdup_printf("entry%zu", i + 1);
	for (i = 0; i < node_count; i++)
		world_node_start(world, i);
	for (i = 0; i < client_count; i++)
		world_client_start(world, i);
	return world;
}

world_t *world_new(size_t node_count, size_t client_count, uint32_t seed)
{
	return world_create_(node_count, client_count, seed, &default_timing, 0,
			     NULL);
}

world_t *world_new_with_servers(size_t node_count, size_t client_count,
				uint32_t seed, int64_t server_silence_ms)
{
	return world_create_(node_count, client_count, seed, &default_timing,
			     server_silence_ms, NULL);
}

world_t *world_new_with_codec(size_t node_count, size_t client_count,
			      uint32_t seed, int64_t server_silence_ms,
			      const cb_document_codec_t *codec)
{
	return world_create_(node_count, client_count, seed, &default_timing,
			     server_silence_ms, codec);
}

world_t *world_new_with_timing(size_t node_count, size_t client_count,
			       uint32_t seed, const world_timing_t *timing)
{
	return world_create_(node_count, client_count, seed, timing, 0, NULL);
}

/* Stops all nodes and clients and deletes the simulation. */
void world_delete(world_t *world)
{
	size_t i;

	for (i = 0; i < world->client_count; i++) {
		world_client_stop(world, i);
		g_free(world->clients[i].name);
	}
	for (i = 0; i < world->node_count; i++) {
		world_node_stop(world, i);
		disk_delete(world->nodes[i].disk);
		g_free(world->nodes[i].name);
		g_free(world->nodes[i].address);
	}
	support_hub_delete(world->hub);
	g_rand_free(world->random);
	cb_clock_delete(world->clock);
	g_free(world);
}

/* Blocks all messages from and to a process without an error, or unblocks. */
void world_isolate(world_t *world, const char *name, gboolean is_blocked)
{
	support_hub_block(world->hub, name, NULL, is_blocked);
	support_hub_block(world->hub, NULL, name, is_blocked);
}

/*
 * Advances the clock until the condition is true; returns FALSE after
 * `timeout_ms`.  Without a condition it runs for `timeout_ms`.
 */
gboolean world_run_until(world_t *world, world_condition_fn_t condition,
			 int64_t timeout_ms)
{
	int64_t end_ms = cb_clock_now_ms(world->clock) + timeout_ms;

	while (!condition || !condition(world)) {
		if (cb_clock_now_ms(world->clock) >= end_ms)
			return FALSE;
		cb_clock_advance(world->clock, STEP_MS);
	}
	return TRUE;
}

/* Returns the index of the leader with the highest term, or -1. */
int world_leader(const world_t *world)
{
	uint64_t highest = 0;
	int leader = -1;
	size_t i;

	for (i = 0; i < world->node_count; i++) {
		const cb_replica_t *replica;

		if (!world->nodes[i].node)
			continue;
		replica = cb_node_replica(world->nodes[i].node);
		if (cb_replica_role(replica) == CB_REPLICA_ROLE_LEADER &&
		    cb_replica_term(replica) >= highest) {
			highest = cb_replica_term(replica);
			leader = (int)i;
		}
	}
	return leader;
}

/*
 * Whether there is a leader, and every running client is confirmed, has the
 * leader's revision and is recorded by the leader under its present incarnation
 * and not as silent.
 */
gboolean world_is_converged(world_t *world)
{
	int leader = world_leader(world);
	const cb_state_t *state;
	size_t i;

	if (leader < 0)
		return FALSE;
	state = cb_node_state(world->nodes[leader].node);
	for (i = 0; i < world->client_count; i++) {
		const world_client_t *self = &world->clients[i];
		const cb_instance_t *instance;

		if (!self->client)
			continue;
		instance = world_instance(cb_state_view(state), self->name);
		if (!cb_control_client_is_confirmed(self->client) ||
		    cb_view_revision(self->view) != cb_state_revision(state) ||
		    !instance || instance->state == CB_INSTANCE_SILENT ||
		    instance->incarnation != self->incarnation)
			return FALSE;
	}
	return TRUE;
}

static void contract_submit_done_(cb_control_outcome_t outcome,
				  const cb_answer_t *answer, void *user_data)
{
	world_result_t *result = user_data;

	result->calls++;
	result->outcome = outcome;
	if (!answer)
		return;
	result->kind = answer->kind;
	result->revision = answer->revision;
}

/* Submits a contract from a client; `result` must outlive `world`. */
void world_submit_contract(world_t *world, size_t client, const char *workspace,
			   const char *change_id, int64_t timeout_ms,
			   world_result_t *result)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_CONTRACT_PUT);

	memset(result, 0, sizeof(*result));
	command->change_id = g_strdup(change_id);
	command->name = g_strdup(workspace);
	command->text = g_strdup_printf(
		"{\"workspace\":\"%s\",\"keys\":[\"key-%s\"],"
		"\"models\":[\"m\"],\"services\":[],"
		"\"guaranteed_tokens_per_s\":10,\"ceiling_tokens_per_s\":20,"
		"\"guaranteed_requests_per_s\":1,"
		"\"ceiling_requests_per_s\":2,\"concurrent_requests\":4,"
		"\"priority\":5,\"deadline_ms\":60000}",
		workspace, workspace);
	cb_control_client_submit(world->clients[client].client, command,
				 timeout_ms, contract_submit_done_, result);
}

/* Returns the entry instance of this name in a view, or NULL. */
const cb_instance_t *world_instance(const cb_view_t *view, const char *name)
{
	const GPtrArray *instances = cb_view_instances(view);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(instances, i);

		if (g_str_equal(instance->name, name))
			return instance;
	}
	return NULL;
}

/* Returns the number of updates that all nodes have pushed to sessions. */
int64_t world_pushes_sum(const world_t *world)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < world->node_count; i++)
		sum += cb_counter_get(cb_counters_counter(
			cb_kernel_counters(world->nodes[i].kernel),
			"cb_pushes_total", NULL, NULL));
	return sum;
}
