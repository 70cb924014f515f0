#include "private/route_times.h"

#include <math.h>

#include "currantbridge/document.h"

/* Expected for a route of which no request was served. */
#define UNKNOWN_DURATION_MS 5000
/* Durations over which the smoothed duration and its deviation are averages. */
#define AVERAGED_MAX 64
/*
 * The smoothed duration and so many deviations are expected, and at least this part
 * more than the duration: a draining instance or a silent server may delay requests
 * whose durations have been equal so far.
 */
#define EXPECTED_DEVIATIONS 2
#define MARGIN_MIN 0.25
/* Routes are recorded that no document has any more, up to this number of them. */
#define OLD_ROUTES_MAX 256

typedef struct route_time {
	double duration_ms;  /* smoothed duration */
	double deviation_ms; /* smoothed deviation from `duration_ms` */
	unsigned int count;  /* durations in these averages */
} route_time_t;

struct cb_route_times {
	GHashTable *routes; /* route name to route_time_t */
};

/* Creates a record of no durations. */
cb_route_times_t *cb_route_times_new(void)
{
	cb_route_times_t *times = g_new0(cb_route_times_t, 1);

	times->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return times;
}

/* Frees a record; NULL is allowed. */
void cb_route_times_delete(cb_route_times_t *times)
{
	if (!times)
		return;
	g_hash_table_unref(times->routes);
	g_free(times);
}

/*
 * Adds a duration.  The averages are over many requests: where one was short by
 * chance, all that arrive until the next one would be started.
 */
void cb_route_times_add(cb_route_times_t *times, const char *route,
			int64_t duration_ms)
{
	route_time_t *time = g_hash_table_lookup(times->routes, route);
	double difference_ms;

	if (!time) {
		time = g_new0(route_time_t, 1);
		time->duration_ms = (double)duration_ms;
		time->deviation_ms = (double)duration_ms / 2;
		time->count = 1;
		g_hash_table_insert(times->routes, g_strdup(route), time);
		return;
	}
	time->count = MIN(time->count + 1, AVERAGED_MAX);
	difference_ms = (double)duration_ms - time->duration_ms;
	time->duration_ms += difference_ms / time->count;
	time->deviation_ms +=
		(fabs(difference_ms) - time->deviation_ms) / time->count;
}

int64_t cb_route_times_expect_ms(const cb_route_times_t *times,
				 const char *route)
{
	const route_time_t *time = g_hash_table_lookup(times->routes, route);

	if (!time)
		return UNKNOWN_DURATION_MS;
	return (int64_t)(time->duration_ms +
			 MAX(EXPECTED_DEVIATIONS * time->deviation_ms,
			     MARGIN_MIN * time->duration_ms));
}

void cb_route_times_prune(cb_route_times_t *times, const GPtrArray *routes)
{
	GHashTableIter iter;
	GHashTable *names;
	void *name;
	unsigned int i;

	if (g_hash_table_size(times->routes) <= routes->len + OLD_ROUTES_MAX)
		return;
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < routes->len; i++)
		g_hash_table_add(names, ((cb_route_t *)routes->pdata[i])->name);
	g_hash_table_iter_init(&iter, times->routes);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (!g_hash_table_contains(names, name))
			g_hash_table_iter_remove(&iter);
	g_hash_table_unref(names);
}
