#include "currantbridge/counters.h"

struct cb_counter {
	char *name;
	/* Name of the series' label; NULL without a label. */
	char *label;
	char *label_value; /* value of the label; NULL without a label */
	const char *type;  /* "counter" or "gauge", not owned */
	int64_t value;
};

/*
 * The upper bounds of a histogram's buckets in ms, from the response time of a
 * simple service to the longest time limit of a request.
 */
static const int64_t bucket_bounds_ms[] = { 1,	  2,	5,     10,    20,
					    50,	  100,	200,   500,   1000,
					    2000, 5000, 10000, 20000, 50000 };
#define BUCKET_COUNT G_N_ELEMENTS(bucket_bounds_ms)

struct cb_histogram {
	char *name;
	/* `label="value"`; "" without a label. */
	char *label_pair;
	/* Durations in each bucket; the last bucket has no upper bound. */
	int64_t counts[BUCKET_COUNT + 1];
	int64_t sum_ms;
};

/* A function that sets gauges before each rendering. */
typedef struct gauge_source {
	cb_counters_update_fn_t fn;
	void *user_data;
} gauge_source_t;

struct cb_counters {
	/* Both trees are keyed by series: `name` or `name{label="value"}`. */
	GTree *counters; /* values: cb_counter_t, including gauges */
	GTree *histograms;
	GArray *gauge_sources; /* gauge_source_t, called in this order */
};

static void counter_delete_(void *data)
{
	cb_counter_t *counter = data;

	g_free(counter->name);
	g_free(counter->label);
	g_free(counter->label_value);
	g_free(counter);
}

static void histogram_delete_(void *data)
{
	cb_histogram_t *histogram = data;

	g_free(histogram->name);
	g_free(histogram->label_pair);
	g_free(histogram);
}

static int series_compare_(const void *left, const void *right, void *unused)
{
	(void)unused;
	return g_strcmp0(left, right);
}

/* Creates an empty set of counters. */
cb_counters_t *cb_counters_new(void)
{
	cb_counters_t *counters = g_new0(cb_counters_t, 1);

	counters->counters =
		g_tree_new_full(series_compare_, NULL, g_free, counter_delete_);
	counters->histograms = g_tree_new_full(series_compare_, NULL, g_free,
					       histogram_delete_);
	counters->gauge_sources =
		g_array_new(FALSE, FALSE, sizeof(gauge_source_t));
	return counters;
}

/* Deletes the set and every counter in it; NULL is allowed. */
void cb_counters_delete(cb_counters_t *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->counters);
	g_tree_unref(counters->histograms);
	g_array_unref(counters->gauge_sources);
	g_free(counters);
}

/* Returns the series, added with the value 0 if it is absent. */
static cb_counter_t *series_find_or_add_(cb_counters_t *counters,
					 const char *name, const char *label,
					 const char *value, const char *type)
{
	char *series =
		label ? g_strdup_printf("%s{%s=\"%s\"}", name, label, value) :
			g_strdup(name);
	cb_counter_t *counter = g_tree_lookup(counters->counters, series);

	if (counter) {
		g_free(series);
		return counter;
	}
	counter = g_new0(cb_counter_t, 1);
	counter->name = g_strdup(name);
	counter->label = g_strdup(label);
	counter->label_value = g_strdup(value);
	counter->type = type;
	g_tree_insert(counters->counters, series, counter);
	return counter;
}

/*
 * Returns the counter `name`, added with the value 0 if absent.  `label` and
 * `value` are the name and value of a label that distinguishes series of one
 * name; both may be NULL.  The set owns the counter.
 */
cb_counter_t *cb_counters_counter(cb_counters_t *counters, const char *name,
				  const char *label, const char *value)
{
	return series_find_or_add_(counters, name, label, value, "counter");
}

/* Like cb_counters_counter(), for a value that may also decrease. */
cb_counter_t *cb_counters_gauge(cb_counters_t *counters, const char *name,
				const char *label, const char *value)
{
	return series_find_or_add_(counters, name, label, value, "gauge");
}

/*
 * Returns the histogram `name`, added if absent, with a label as in
 * cb_counters_counter().  The set owns it.
 */
cb_histogram_t *cb_counters_histogram(cb_counters_t *counters, const char *name,
				      const char *label, const char *value)
{
	char *label_pair = label ? g_strdup_printf("%s=\"%s\"", label, value) :
				   g_strdup("");
	char *series = g_strdup_printf("%s{%s}", name, label_pair);
	cb_histogram_t *histogram = g_tree_lookup(counters->histograms, series);

	if (histogram) {
		g_free(series);
		g_free(label_pair);
		return histogram;
	}
	histogram = g_new0(cb_histogram_t, 1);
	histogram->name = g_strdup(name);
	histogram->label_pair = label_pair;
	g_tree_insert(counters->histograms, series, histogram);
	return histogram;
}

typedef struct render_state {
	GString *text;
	/* Name of the last series; `# TYPE` is written once for each name. */
	const char *last_name;
} render_state_t;

static gboolean series_render_(void *key, void *value, void *user_data)
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

static gboolean histogram_render_(void *key, void *value, void *user_data)
{
	render_state_t *state = user_data;
	const cb_histogram_t *histogram = value;
	const char *comma = *histogram->label_pair ? "," : "";
	int64_t count = 0;
	size_t i;

	(void)key;
	if (g_strcmp0(state->last_name, histogram->name))
		g_string_append_printf(state->text, "# TYPE %s histogram\n",
				       histogram->name);
	state->last_name = histogram->name;
	for (i = 0; i <= BUCKET_COUNT; i++) {
		count += histogram->counts[i];
		g_string_append_printf(state->text, "%s_bucket{%s%sle=\"",
				       histogram->name, histogram->label_pair,
				       comma);
		if (i < BUCKET_COUNT)
			g_string_append_printf(state->text, "%" G_GINT64_FORMAT,
					       bucket_bounds_ms[i]);
		else
			g_string_append(state->text, "+Inf");
		g_string_append_printf(state->text,
				       "\"} %" G_GINT64_FORMAT "\n", count);
	}
	g_string_append_printf(state->text,
			       "%s_sum{%s} %" G_GINT64_FORMAT "\n"
			       "%s_count{%s} %" G_GINT64_FORMAT "\n",
			       histogram->name, histogram->label_pair,
			       histogram->sum_ms, histogram->name,
			       histogram->label_pair, count);
	return FALSE;
}

/*
 * Calls `fn` before each rendering, to set gauges that cost too much to be kept
 * up to date.  `user_data` must live as long as the set is rendered.
 */
void cb_counters_on_render(cb_counters_t *counters, cb_counters_update_fn_t fn,
			   void *user_data)
{
	const gauge_source_t source = { fn, user_data };

	g_array_append_val(counters->gauge_sources, source);
}

/*
 * Returns all series in the Prometheus text format: counters and gauges by
 * name, then histograms by name.  Free the text with g_free().
 */
char *cb_counters_render(const cb_counters_t *counters)
{
	render_state_t state = { .text = g_string_new(NULL) };
	unsigned int i;

	for (i = 0; i < counters->gauge_sources->len; i++) {
		const gauge_source_t *source =
			&g_array_index(counters->gauge_sources, gauge_source_t,
				       i);

		source->fn(source->user_data);
	}
	g_tree_foreach(counters->counters, series_render_, &state);
	g_tree_foreach(counters->histograms, histogram_render_, &state);
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

/* Returns the current value of a counter or gauge. */
int64_t cb_counter_get(const cb_counter_t *counter)
{
	return counter->value;
}

/* Adds one duration to a histogram. */
void cb_histogram_add(cb_histogram_t *histogram, int64_t value_ms)
{
	size_t i = 0;

	while (i < BUCKET_COUNT && value_ms > bucket_bounds_ms[i])
		i++;
	histogram->counts[i]++;
	histogram->sum_ms += value_ms;
}
