#ifndef SUPPORT_CLIENTS_H
#define SUPPORT_CLIENTS_H

#include "currantbridge/control_client.h"
#include "support_daemons.h"

/*
 * Control clients like those of entry instances, which run in the test program
 * on the default main loop and have sessions with real control instances.
 */
typedef struct support_client {
	char *name;
	cb_kernel_t *kernel;
	cb_view_t *view;
	cb_control_client_t *client;
	uint64_t last_revision; /* revision of the view at its last change */
	/* Number of times that the revision of the client's view decreased. */
	int revision_decreases;
	/* Monotonic time at which `awaited_revision` was in force, or 0. */
	int64_t in_force_us;
	/* Revision that the client waits for; 0: none. */
	uint64_t awaited_revision;
} support_client_t;

typedef struct support_clients {
	support_group_t *group;
	cb_clock_t *clock;
	size_t count;
	support_client_t *clients;
} support_clients_t;

/* The result of one submitted change. */
typedef struct support_change {
	int calls; /* number of times that the change's result was reported */
	cb_control_outcome_t outcome;
	/* Kind of the answer; set only if there was an answer. */
	cb_answer_kind_t kind;
	uint64_t revision; /* revision at which the change was accepted */
	/* Workspace whose contract was put; freed by the test. */
	char *workspace;
} support_change_t;

support_clients_t *support_clients_new(support_group_t *group, size_t count,
				       int64_t silence_ms);
void support_clients_delete(support_clients_t *clients);
gboolean support_clients_wait_confirmed(support_clients_t *clients,
					int64_t timeout_ms);
void support_clients_await_revision(support_clients_t *clients,
				    uint64_t revision);
gboolean support_clients_wait_in_force(support_clients_t *clients,
				       int64_t timeout_ms);
int support_clients_revision_decreases(const support_clients_t *clients);
void support_change_put(support_clients_t *clients, size_t client,
			const char *workspace, int64_t timeout_ms,
			support_change_t *change);
gboolean support_change_wait(support_change_t *change, int64_t timeout_ms);
gboolean support_change_is_accepted(const support_change_t *change);

#endif
