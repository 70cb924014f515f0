#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include "currantbridge/control_client.h"
#include "currantbridge/node.h"
#include "support_disk.h"
#include "support_network.h"

/*
 * A simulated deployment: control nodes and the control clients of entry
 * instances in one test program, each with its own kernel, on one paused clock
 * and one in-memory network.
 */
#define WORLD_NODES_MAX 9
#define WORLD_CLIENTS_MAX 26
#define WORLD_HEARTBEAT_MS 100
#define WORLD_ELECTION_MS 500
#define WORLD_SILENCE_MS 2000
#define WORLD_RETRY_WINDOW_MS 10000

/* The timeouts of all nodes and clients. */
typedef struct world_timing {
	int64_t heartbeat_ms; /* of nodes to each other */
	int64_t election_ms;
	int64_t silence_ms;
	int64_t client_heartbeat_ms;
} world_timing_t;

/* A control node; `kernel` and `node` are NULL while it is stopped. */
typedef struct world_node {
	char *name;
	char *address;
	disk_t *disk;
	cb_kernel_t *kernel;
	cb_node_t *node;
} world_node_t;

/* The control client of an entry instance; NULL members while stopped. */
typedef struct world_client {
	char *name;
	uint64_t incarnation;
	cb_kernel_t *kernel;
	cb_view_t *view;
	cb_control_client_t *client;
	/* Highest revision of the view since this process started. */
	uint64_t highest_revision;
	int reverted_count;    /* updates that lowered the view's revision */
	int silent_seen_count; /* silent instances, summed over updates */
} world_client_t;

typedef struct world {
	cb_clock_t *clock;
	GRand *random;
	support_hub_t *hub;
	world_timing_t
		timing; /* timeouts of processes that start from now on */
	int64_t server_silence_ms; /* 0: the nodes handle no backend servers */
	/* By which nodes admit backend servers; NULL: they admit all. */
	const cb_document_codec_t *codec;
	size_t node_count;
	/* Nodes that clients know when they start; 0: all. */
	size_t known_node_count;
	size_t client_count;
	world_node_t nodes[WORLD_NODES_MAX];
	world_client_t clients[WORLD_CLIENTS_MAX];
} world_t;

typedef gboolean (*world_condition_fn_t)(world_t *world);

/* The outcome of one submission. */
typedef struct world_result {
	int calls; /* number of calls of the done function */
	cb_control_outcome_t outcome;
	cb_answer_kind_t kind;
	uint64_t revision;
} world_result_t;

world_t *world_new(size_t node_count, size_t client_count, uint32_t seed);
/* Like world_new(), with nodes that handle reports of backend servers. */
world_t *world_new_with_servers(size_t node_count, size_t client_count,
				uint32_t seed, int64_t server_silence_ms);
/* Like world_new_with_servers(); the nodes read documents with `codec`. */
world_t *world_new_with_codec(size_t node_count, size_t client_count,
			      uint32_t seed, int64_t server_silence_ms,
			      const cb_document_codec_t *codec);
/* Like world_new(), with other timeouts. */
world_t *world_new_with_timing(size_t node_count, size_t client_count,
			       uint32_t seed, const world_timing_t *timing);
void world_delete(world_t *world);
void world_node_start(world_t *world, size_t i);
void world_node_stop(world_t *world, size_t i);
void world_client_start(world_t *world, size_t i);
void world_client_stop(world_t *world, size_t i);
void world_isolate(world_t *world, const char *name, gboolean is_blocked);
gboolean world_run_until(world_t *world, world_condition_fn_t condition,
			 int64_t timeout_ms);
int world_leader(const world_t *world);
gboolean world_is_converged(world_t *world);
void world_submit_contract(world_t *world, size_t client, const char *workspace,
			   const char *change_id, int64_t timeout_ms,
			   world_result_t *result);
const cb_instance_t *world_instance(const cb_view_t *view, const char *name);

/* Returns the number of updates that all nodes have pushed to their sessions. */
int64_t world_pushes_sum(const world_t *world);

#endif
