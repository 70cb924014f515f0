#ifndef SUPPORT_SERVICES_H
#define SUPPORT_SERVICES_H

#include "currantbridge/call.h"
#include "currantbridge/state.h"

/*
 * Fake servers of a plain service and the claim ledger of control on a paused
 * clock, shared by several entry instances.
 */
typedef struct support_services support_services_t;

typedef struct support_service {
	char *name;
	gboolean checks_fencing;
	gboolean is_alive;
	gboolean is_leaving;
	int64_t work_ms;    /* time that a call takes */
	unsigned int calls; /* number of calls that arrived */
	/* idempotency key to its record; used if the server checks fencing */
	GHashTable *keys;
} support_service_t;

/* One entry instance, which sends calls. */
typedef struct support_call_entry {
	cb_service_client_t client; /* must be first: callbacks cast from it */
	cb_ledger_t ledger;
	support_services_t *services;
	char *name;
	char *owner; /* NAME/INCARNATION of the entry instance */
	uint64_t incarnation;
	cb_view_t *view;
	cb_server_registry_t *registry;
	cb_counters_t *counters;
	cb_call_env_t *env;
} support_call_entry_t;

/* The probability of each fault, in thousandths. */
typedef struct support_call_faults {
	int lost_before; /* the connection is lost; the call is not run */
	int lost_after;	 /* the call is run, then the connection is lost */
	int late;	 /* the connection is lost; the call arrives later */
	int silent;	 /* the call is run but never answered */
	int busy;	 /* the server refuses the call and does not run it */
	int fence_lost;	 /* a fence query is not answered */
	int unavailable; /* the ledger answers that it records nothing */
	int answer_lost; /* the ledger records the command without an answer */
	int not_submitted; /* the ledger neither records nor answers */
} support_call_faults_t;

struct support_services {
	cb_clock_t *clock;
	GRand *random;
	support_call_faults_t faults;
	GPtrArray *services; /* of support_service_t */
	GPtrArray *entries;  /* of support_call_entry_t */
	GPtrArray *events;   /* of event_t: all exchanges and submissions */
	cb_timer_t *announce_timer;
	cb_state_t *state;
	uint64_t index;	      /* index of the last command applied to `state` */
	unsigned int effects; /* number of calls with a key executed */
	cb_history_t *history;
	FILE *stream; /* memory stream of `history` */
	char *lines;
	size_t size; /* size of `lines`, in bytes */
};

support_services_t *support_services_new(uint32_t seed);
/* Returns the history as JSON lines, to be freed with free(). */
char *support_services_delete(support_services_t *services);
support_service_t *support_service_add(support_services_t *services,
				       const char *name,
				       gboolean checks_fencing);
support_call_entry_t *support_call_entry_add(support_services_t *services);
/* Ends the process of an entry instance and starts a new one. */
void support_call_entry_restart(support_call_entry_t *entry);
/* Announces all live servers to all entry instances. */
void support_services_announce(support_services_t *services);

#endif
