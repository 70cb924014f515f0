#include "private/departed.h"

/* The last report of a process. */
typedef struct process {
	char *name;
	uint64_t incarnation;
	cb_usage_t *usage; /* requests and retries only */
	int64_t ended_ms;
} process_t;

struct cb_departed {
	cb_clock_t *clock;
	int64_t window_ms;
	int64_t moved_after_ms;
	GPtrArray *processes; /* process_t, the first that ended first */
};

static void process_delete_(void *data)
{
	process_t *process = data;

	cb_usage_delete(process->usage);
	g_free(process->name);
	g_free(process);
}

cb_departed_t *cb_departed_new(cb_clock_t *clock, int64_t window_ms,
			       int64_t moved_after_ms)
{
	cb_departed_t *departed = g_new0(cb_departed_t, 1);

	departed->clock = clock;
	departed->window_ms = window_ms;
	departed->moved_after_ms = moved_after_ms;
	departed->processes = g_ptr_array_new_with_free_func(process_delete_);
	return departed;
}

/* Frees the counts; NULL is allowed. */
void cb_departed_delete(cb_departed_t *departed)
{
	if (!departed)
		return;
	g_ptr_array_unref(departed->processes);
	g_free(departed);
}

/* Returns the requests and retries of a usage. */
static cb_usage_t *sends_copy_(const cb_usage_t *usage)
{
	cb_usage_t *copy = cb_usage_new();
	GHashTableIter iter;
	void *service;
	void *value;

	g_hash_table_iter_init(&iter, usage->by_service);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		const cb_usage_sends_t *all = value;
		const cb_usage_sends_t sends = { .requests = all->requests,
						 .retries = all->retries };

		cb_usage_add_sends(copy, service, &sends);
	}
	return copy;
}

void cb_departed_add(cb_departed_t *departed, const char *name,
		     uint64_t incarnation, const cb_usage_t *usage)
{
	process_t *process = g_new0(process_t, 1);

	cb_departed_remove(departed, name, incarnation);
	process->name = g_strdup(name);
	process->incarnation = incarnation;
	process->usage = sends_copy_(usage);
	process->ended_ms = cb_clock_now_ms(departed->clock);
	g_ptr_array_add(departed->processes, process);
}

void cb_departed_remove(cb_departed_t *departed, const char *name,
			uint64_t incarnation)
{
	unsigned int i;

	for (i = departed->processes->len; i-- > 0;) {
		const process_t *process = departed->processes->pdata[i];

		if (process->incarnation == incarnation &&
		    g_str_equal(process->name, name))
			g_ptr_array_remove_index(departed->processes, i);
	}
}

/* Returns whether the view shows that a process still serves. */
static gboolean process_serves_(const process_t *process, const cb_view_t *view)
{
	const GPtrArray *instances = cb_view_instances(view);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = instances->pdata[i];

		if (instance->incarnation == process->incarnation &&
		    instance->state == CB_INSTANCE_READY &&
		    g_str_equal(instance->name, process->name))
			return TRUE;
	}
	return FALSE;
}

void cb_departed_add_sends(cb_departed_t *departed, const cb_view_t *view,
			   cb_usage_t *sum)
{
	int64_t now_ms = cb_clock_now_ms(departed->clock);
	unsigned int i;

	for (i = departed->processes->len; i-- > 0;) {
		const process_t *process = departed->processes->pdata[i];
		int64_t age_ms = now_ms - process->ended_ms;

		if (age_ms >= departed->window_ms ||
		    (age_ms >= departed->moved_after_ms &&
		     process_serves_(process, view)))
			g_ptr_array_remove_index(departed->processes, i);
		else
			cb_usage_merge(sum, process->usage);
	}
}
