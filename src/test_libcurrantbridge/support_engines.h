#ifndef SUPPORT_ENGINES_H
#define SUPPORT_ENGINES_H

#include "currantbridge/generation.h"
#include "currantbridge/state.h"

/*
 * Model engines on a paused clock, shared by several entry instances.  An
 * engine's answers follow the model of docs/BACKEND.md.
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
	int64_t step_ms;
	uint64_t incarnation;
	gboolean is_alive;
	gboolean is_silent; /* takes connections no more, answers nothing */
	gboolean is_leaving;
	GHashTable *sessions;
	unsigned int orders;
	unsigned int deaths;
};

/* One entry instance: what its generations need. */
struct support_entry {
	cb_engine_client_t client; /* first */
	support_engines_t *engines;
	char *name;
	cb_view_t *view;
	cb_server_registry_t *registry;
	cb_counters_t *counters;
	cb_generation_env_t *env;
};

/* The chance of each fault, in thousandths of an exchange. */
typedef struct support_faults {
	int silent;    /* the connection goes silent, in either direction */
	int duplicate; /* an answer comes twice */
	int crossed;   /* an answer to something else comes instead */
	int late;      /* an answer is delayed */
	int lost;      /* the connection ends */
} support_faults_t;

#define SUPPORT_LAYERS 6
#define SUPPORT_MODEL "m"

struct support_engines {
	cb_clock_t *clock;
	GRand *random;
	support_faults_t faults;
	GPtrArray *engines;   /* of support_engine_t */
	GPtrArray *entries;   /* of support_entry_t */
	GPtrArray *exchanges; /* all that ever were */
	GPtrArray *drops;     /* names of engines told to drop a request */
	cb_timer_t *report_timer;
	cb_state_t *state; /* of the control instances */
	uint64_t index;
	unsigned int reports; /* of deaths */
	GPtrArray *refused;   /* digests put into quarantine */
	cb_timer_t *share_timer;
	const char *crash_on; /* a prompt that holds it kills its engine */
	cb_history_t *history;
	FILE *stream;
	char *lines;
	size_t size;
};

support_engines_t *support_engines_new(uint32_t seed);
/* Ends everything; returns the history's lines, to be freed by free(). */
char *support_engines_delete(support_engines_t *engines);
support_engine_t *support_engine_add(support_engines_t *engines,
				     const char *name, const char *data_centre,
				     uint32_t first_layer, uint32_t last_layer);
support_entry_t *support_entry_add(support_engines_t *engines);
void support_engine_kill(support_engine_t *engine);
void support_engine_restart(support_engine_t *engine);
void support_engines_report(support_engines_t *engines);
/* The whole answer that a prompt must get. */
char *support_answer(const char *prompt, uint64_t token_count);

#endif
