#ifndef SUPPORT_SERVICES_H
#define SUPPORT_SERVICES_H

#include "currantbridge/call.h"
#include "currantbridge/state.h"

/*
 * Plain services and the control instances' ledger on a paused clock, shared
 * by several entry instances.
 */
typedef struct support_services support_services_t;

typedef struct support_service {
	char *name;
	gboolean checks_fencing;
	gboolean is_alive;
	gboolean is_leaving;
	int64_t work_ms;
	unsigned int calls;
	GHashTable *keys; /* of a server that checks fencing */
} support_service_t;

typedef struct support_desk {
	cb_service_client_t client; /* first */
	cb_ledger_t ledger;
	support_services_t *services;
	char *name;
	char *owner;
	uint64_t incarnation;
	cb_view_t *view;
	cb_server_registry_t *registry;
	cb_counters_t *counters;
	cb_call_env_t *env;
} support_desk_t;

/* The chance of each fault, in thousandths. */
typedef struct support_call_faults {
	int lost_before;   /* the connection ends, nothing was run */
	int lost_after;	   /* it ends though the call runs */
	int late;	   /* the call arrives late, also if it was given up */
	int silent;	   /* no answer comes */
	int busy;	   /* the server says that it ran nothing */
	int fence_lost;	   /* no answer to a fence */
	int unavailable;   /* the ledger records nothing and says so */
	int answer_lost;   /* the ledger records it and does not answer */
	int not_submitted; /* it records nothing and does not answer */
} support_call_faults_t;

struct support_services {
	cb_clock_t *clock;
	GRand *random;
	support_call_faults_t faults;
	GPtrArray *services;
	GPtrArray *desks;
	GPtrArray *events; /* all exchanges and submissions there were */
	cb_timer_t *report_timer;
	cb_state_t *state;
	uint64_t index;
	unsigned int effects;
	cb_history_t *history;
	FILE *stream;
	char *lines;
	size_t size;
};

support_services_t *support_services_new(uint32_t seed);
char *support_services_delete(support_services_t *services);
support_service_t *support_service_add(support_services_t *services,
				       const char *name,
				       gboolean checks_fencing);
support_desk_t *support_desk_add(support_services_t *services);
/* Ends an entry instance's process and starts it anew. */
void support_desk_kill(support_desk_t *desk);
void support_services_report(support_services_t *services);

#endif
