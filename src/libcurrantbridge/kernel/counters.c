#include "currantbridge/counters.h"

struct cb_counter {
	char *name;
	char *label;
	char *label_value;
	const char *type;
	int64_t value;
};

struct cb_counters {
	GTree *by_series;
};

static void counter_delete_(void *data)
{
	cb_counter_t *counter = data;

	g_free(counter->name);
	g_free(counter->label);
	g_free(counter->label_value);
	g_free(counter);
}

static int series_compare_(const void *left, const void *right, void *unused)
{
	(void)unused;
	return g_strcmp0(left, right);
}

/* Makes an empty set of counters. */
cb_counters_t *cb_counters_new(void)
{
	cb_counters_t *counters = g_new0(cb_counters_t, 1);

	counters->by_series =
		g_tree_new_full(series_compare_, NULL, g_free, counter_delete_);
	return counters;
}

/* Deletes the set and every counter in it; NULL is allowed. */
void cb_counters_delete(cb_counters_t *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->by_series);
	g_free(counters);
}

/* Finds one series of the set, or adds it with the value 0. */
static cb_counter_t *series_get_(cb_counters_t *counters, const char *name,
				 const char *label, const char *value,
				 const char *type)
{
	char *series =
		label ? g_strdup_printf("%s{%s=\"%s\"}", name, label, value) :
			g_strdup(name);
	cb_counter_t *counter = g_tree_lookup(counters->by_series, series);

	if (counter) {
		g_free(series);
		return counter;
	}
	counter = g_new0(cb_counter_t, 1);
	counter->name = g_strdup(name);
	counter->label = g_strdup(label);
	counter->label_value = g_strdup(value);
	counter->type = type;
	g_tree_insert(counters->by_series, series, counter);
	return counter;
}

/*
 * Returns the counter `name`, added if absent.  `label` and `value` tell
 * apart series of one name; both may be NULL.  The set owns the counter.
 */
cb_counter_t *cb_counters_counter(cb_counters_t *counters, const char *name,
				  const char *label, const char *value)
{
	return series_get_(counters, name, label, value, "counter");
}

/* Like cb_counters_counter(), for a value that may also fall. */
cb_counter_t *cb_counters_gauge(cb_counters_t *counters, const char *name,
				const char *label, const char *value)
{
	return series_get_(counters, name, label, value, "gauge");
}

typedef struct render_state {
	GString *text;
	const char *last_name;
} render_state_t;

static gboolean render_series_(void *key, void *value, void *user_data)
{
	render_state_t *state = user_data;
	cb_counter_t *counter = value;

	if (g_strcmp0(state->last_name, counter->name))
		g_string_append_printf(state->text, "# TYPE %s %s\n",
				       counter->name, counter->type);
	state->last_name = counter->name;
	g_string_append_printf(state->text, "%s %" G_GINT64_FORMAT "\n",
			       (const char *)key, counter->value);
	return FALSE;
}

/* Returns all series as Prometheus text; the caller frees it. */
char *cb_counters_render(const cb_counters_t *counters)
{
	render_state_t state = { .text = g_string_new(NULL) };

	g_tree_foreach(counters->by_series, render_series_, &state);
	return g_string_free(state.text, FALSE);
}

/* Adds `amount` to a counter. */
void cb_counter_add(cb_counter_t *counter, int64_t amount)
{
	counter->value += amount;
}

/* Sets a gauge. */
void cb_counter_set(cb_counter_t *counter, int64_t value)
{
	counter->value = value;
}

/* Returns a counter's present value. */
int64_t cb_counter_get(const cb_counter_t *counter)
{
	return counter->value;
}
