#ifndef SUPPORT_ENGINES_H
#define SUPPORT_ENGINES_H

#include "currantbridge/generation.h"
#include "currantbridge/state.h"

/*
 * Simulated model engines on a paused clock, shared by several entry
 * instances.  Their answers follow the model in docs/BACKEND.md.
 */
typedef struct support_engines support_engines_t;
typedef struct support_engine support_engine_t;
typedef struct support_entry support_entry_t;

struct support_engine {
	support_engines_t *engines;
	char *name;
	char *data_centre;
	uint32_t first_layer;
	uint32_t last_layer;
	int64_t step_ms; /* computing time of one token */
	uint64_t incarnation;
	gboolean is_alive;
	/* whether the engine receives nothing and announces nothing */
	gboolean is_silent;
	gboolean is_leaving;
	GHashTable *sessions; /* request ID to session_t */
	/* streams, opens and moves sent to the engine */
	unsigned int order_count;
	unsigned int death_count;
};

/* One entry instance, with what its generations need. */
struct support_entry {
	cb_engine_client_t client; /* must be first: callbacks cast from it */
	support_engines_t *engines;
	char *name;
	cb_view_t *view;
	cb_server_registry_t *registry;
	cb_counters_t *counters;
	cb_generation_env_t *env;
};

/* Probability of each fault in thousandths, for each exchange or answer. */
typedef struct support_faults {
	int silent;    /* the request or all answers are lost */
	int duplicate; /* an answer arrives twice */
	int mismatch;  /* an answer to another exchange arrives instead */
	int late;      /* an answer is delayed */
	int lost;      /* the connection ends */
} support_faults_t;

#define SUPPORT_LAYERS 6
#define SUPPORT_MODEL "m"

struct support_engines {
	cb_clock_t *clock;
	GRand *random;
	support_faults_t faults;
	/* Whether the entries lack the resources for connections to engines. */
	gboolean lacks_resources;
	GPtrArray *engines;	 /* of support_engine_t */
	GPtrArray *entries;	 /* of support_entry_t */
	GPtrArray *exchanges;	 /* of exchange_t, ended ones included */
	GPtrArray *drop_targets; /* engine name for each `drop` received */
	cb_timer_t *announce_timer;
	cb_state_t *state;    /* replicated state of the control instances */
	uint64_t state_index; /* index of the last command applied to `state` */
	unsigned int suspect_report_count;
	/* quarantined digests: array of char * */
	GPtrArray *quarantined_digests;
	cb_timer_t *view_update_timer;
	/* text in a prompt that kills the engine, or NULL */
	const char *crash_text;
	cb_history_t *history;
	FILE *history_stream;
	char *history_lines;
	size_t history_bytes;
};

support_engines_t *support_engines_new(uint32_t seed);
/* Deletes all engines and entries; returns the history, for free(). */
char *support_engines_delete(support_engines_t *engines);
support_engine_t *support_engine_add(support_engines_t *engines,
				     const char *name, const char *data_centre,
				     uint32_t first_layer, uint32_t last_layer);
support_entry_t *support_entry_add(support_engines_t *engines);
void support_engine_kill(support_engine_t *engine);
void support_engine_restart(support_engine_t *engine);
void support_engines_announce(support_engines_t *engines);
/* Returns the expected answer to a prompt; the caller frees it. */
char *support_expected_answer(const char *prompt, uint64_t token_count);

#endif
