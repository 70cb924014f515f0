#ifndef SUPPORT_CLIENTS_H
#define SUPPORT_CLIENTS_H

#include "currantbridge/control_client.h"
#include "support_daemons.h"

/*
 * Control clients as entry instances have them, on the default loop, with
 * sessions to a group of real control instances.
 */
typedef struct support_client {
	char *name;
	cb_kernel_t *kernel;
	cb_view_t *view;
	cb_control_client_t *client;
	uint64_t highest_revision;
	int went_back;
	int64_t reached_us; /* when `awaited_revision` came into force */
	uint64_t awaited_revision;
} support_client_t;

typedef struct support_clients {
	support_group_t *group;
	cb_clock_t *clock;
	size_t count;
	support_client_t *clients;
} support_clients_t;

/* What became of one change. */
typedef struct support_change {
	int calls;
	cb_control_outcome_t outcome;
	cb_answer_kind_t kind;
	uint64_t revision;
	char *workspace;
} support_change_t;

support_clients_t *support_clients_new(support_group_t *group, size_t count,
				       int64_t silence_ms);
void support_clients_delete(support_clients_t *clients);
gboolean support_clients_wait_confirmed(support_clients_t *clients,
					int64_t limit_ms);
void support_clients_await(support_clients_t *clients, uint64_t revision);
gboolean support_clients_wait_reached(support_clients_t *clients,
				      int64_t limit_ms);
int support_clients_went_back(const support_clients_t *clients);
void support_change_put(support_clients_t *clients, size_t client,
			const char *workspace, int64_t timeout_ms,
			support_change_t *change);
gboolean support_change_wait(support_change_t *change, int64_t limit_ms);
gboolean support_change_is_accepted(const support_change_t *change);

#endif
