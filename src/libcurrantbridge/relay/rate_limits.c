#include "private/rate_limits.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "currantbridge/view.h"

#define MS_PER_S 1000.0
/* The part of a limit that is used: servers measure it over some time. */
#define USED_FRACTION 0.95
/*
 * A server that takes less still gets this many requests a second, by whose
 * answers the end of its limit is noticed.
 */
#define RATE_MIN_PER_S 0.2
/*
 * Requests that may be sent at once beside the rate, by all instances together:
 * some, and some more for each request a second.
 */
#define BURST_REQUESTS 4
#define BURST_S 2
/*
 * Requests that one instance may save up.  With 1, what comes in while it waits for
 * its next request would be lost.
 */
#define SAVED_REQUESTS 1.5
/*
 * Where few requests arrive at each instance, so many times as many of them share a
 * limit as would use it if all their requests went to that server.
 */
#define SPARE_FACTOR 1.5
/* How long a limit is valid, unless its server gets fewer requests than 10. */
#define VALID_MIN_MS 5000
#define VALID_REQUESTS 10
/*
 * Sums of usage arrive a few times a second.  Without them, nothing tells that a
 * limit has ended, and it is valid for longer.
 */
#define SUM_VALID_MS 1500
#define VALID_WITHOUT_SUMS_MS (60 * 1000)
/* The number of instances that share a limit changes in this many steps. */
#define INSTANCE_STEPS 16
/* How long the end of a limit that this instance heard of is shared. */
#define END_VALID_MS 2000

/* What is known of one server process. */
typedef struct server_limit {
	int64_t start_wall_ms;
	/* What its last answer here named; negative: no limit. */
	double heard_rate_per_s;
	int64_t heard_ms; /* 0: no answer here named one */
	/* What other instances heard, and when that was received; 0: nothing. */
	double shared_rate_per_s;
	int64_t shared_ms;
	double tokens; /* requests that may be sent now */
	int64_t filled_ms;
	/* The share that was computed last, and for what. */
	cb_rate_limit_t limit;
	unsigned int instance_set; /* 0: none was computed */
} server_limit_t;

struct cb_rate_limits {
	cb_clock_t *clock;
	GRand *random;
	char *instance;
	GPtrArray *instances;	   /* names of the ready instances */
	unsigned int instance_set; /* changes with `instances` */
	int64_t window_ms;
	GHashTable *requests; /* service name to requests in the last window */
	int64_t sum_received_ms; /* 0: never */
	GHashTable *servers;	 /* server ID to server_limit_t */
};

/* Creates limits without any server; this instance is the only one at first. */
cb_rate_limits_t *cb_rate_limits_new(cb_clock_t *clock, GRand *random,
				     const char *instance, int64_t window_ms)
{
	cb_rate_limits_t *limits = g_new0(cb_rate_limits_t, 1);

	limits->clock = clock;
	limits->random = random;
	limits->instance = g_strdup(instance);
	limits->instances = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(limits->instances, g_strdup(instance));
	limits->instance_set = 1;
	limits->window_ms = window_ms;
	limits->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	limits->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limits;
}

/* Deletes limits; NULL is allowed. */
void cb_rate_limits_delete(cb_rate_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->servers);
	g_hash_table_unref(limits->requests);
	g_ptr_array_unref(limits->instances);
	g_free(limits->instance);
	g_free(limits);
}

static int64_t now_ms_(const cb_rate_limits_t *limits)
{
	return cb_clock_now_ms(limits->clock);
}

/* Returns the names of the ready instances. */
static GPtrArray *ready_names_collect_(const GPtrArray *instances)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		const cb_instance_t *instance = instances->pdata[i];

		if (instance->state == CB_INSTANCE_READY)
			g_ptr_array_add(names, g_strdup(instance->name));
	}
	return names;
}

static gboolean names_are_equal_(const GPtrArray *left, const GPtrArray *right)
{
	unsigned int i;

	if (left->len != right->len)
		return FALSE;
	for (i = 0; i < left->len; i++)
		if (strcmp(left->pdata[i], right->pdata[i]) != 0)
			return FALSE;
	return TRUE;
}

void cb_rate_limits_set_instances(cb_rate_limits_t *limits,
				  const GPtrArray *instances)
{
	GPtrArray *names = ready_names_collect_(instances);

	if (!names->len || names_are_equal_(names, limits->instances)) {
		g_ptr_array_unref(names);
		return;
	}
	g_ptr_array_unref(limits->instances);
	limits->instances = names;
	limits->instance_set++;
}

/* Returns for how long a rate is valid that is not heard of again. */
static int64_t validity_ms_(const cb_rate_limits_t *limits, double rate_per_s)
{
	if (!limits->sum_received_ms ||
	    now_ms_(limits) - limits->sum_received_ms > SUM_VALID_MS)
		return VALID_WITHOUT_SUMS_MS;
	return (int64_t)MAX(VALID_MIN_MS,
			    VALID_REQUESTS * MS_PER_S /
				    MAX(rate_per_s, RATE_MIN_PER_S));
}

/* Returns whether this instance itself knows of a limit or of its end. */
static gboolean heard_is_valid_(const cb_rate_limits_t *limits,
				const server_limit_t *server)
{
	int64_t valid_ms =
		server->heard_rate_per_s < 0 ?
			END_VALID_MS :
			validity_ms_(limits, server->heard_rate_per_s);

	return server->heard_ms &&
	       now_ms_(limits) - server->heard_ms < valid_ms;
}

/* Returns the rate that a server takes; negative: it has no limit. */
static double rate_find_(const cb_rate_limits_t *limits,
			 const server_limit_t *server)
{
	gboolean is_shared =
		server->shared_ms &&
		now_ms_(limits) - server->shared_ms <
			validity_ms_(limits, server->shared_rate_per_s);

	if (!heard_is_valid_(limits, server))
		return is_shared ? server->shared_rate_per_s : -1;
	/* Another instance may have heard of a lower rate since. */
	if (is_shared && server->heard_rate_per_s >= 0)
		return MIN(server->heard_rate_per_s, server->shared_rate_per_s);
	return server->heard_rate_per_s;
}

/*
 * Returns a process's record, creating it if there is none or one of another
 * process of that server.
 */
static server_limit_t *server_get_(cb_rate_limits_t *limits, const char *id,
				   int64_t start_wall_ms)
{
	server_limit_t *server = g_hash_table_lookup(limits->servers, id);

	if (!server) {
		server = g_new0(server_limit_t, 1);
		server->start_wall_ms = start_wall_ms;
		server->tokens = g_rand_double(limits->random);
		server->filled_ms = now_ms_(limits);
		g_hash_table_insert(limits->servers, g_strdup(id), server);
	} else if (server->start_wall_ms != start_wall_ms) {
		/* A shared limit doesn't tell of which process it is. */
		server->heard_ms = 0;
		server->start_wall_ms = start_wall_ms;
	}
	return server;
}

/* Returns the rank of an instance among those that may use a server. */
static uint64_t rank_hash_(const char *server_id, const char *instance)
{
	return XXH3_64bits_withSeed(instance, strlen(instance),
				    XXH3_64bits(server_id, strlen(server_id)));
}

/* Returns whether this instance is one of `count` that share a server's rate. */
static gboolean instance_is_chosen_(const cb_rate_limits_t *limits,
				    const char *server_id, unsigned int count)
{
	uint64_t own = rank_hash_(server_id, limits->instance);
	unsigned int before = 0;
	gboolean is_listed = FALSE;
	unsigned int i;

	for (i = 0; i < limits->instances->len; i++) {
		const char *name = limits->instances->pdata[i];

		is_listed |= !strcmp(name, limits->instance);
		before += rank_hash_(server_id, name) < own;
	}
	return is_listed && before < count;
}

/*
 * Returns among how many instances a rate is divided.  So many may send one request
 * each at any moment beside the rate; but where few requests arrive at each
 * instance, more of them are needed to use it.
 */
static unsigned int sharers_count_(const cb_rate_limits_t *limits,
				   const char *service, double rate_per_s)
{
	unsigned int all = limits->instances->len;
	unsigned int step = MAX(all / INSTANCE_STEPS, 1);
	double by_burst =
		(BURST_REQUESTS + BURST_S * rate_per_s) / SAVED_REQUESTS;
	double demand_per_s =
		GPOINTER_TO_UINT(
			g_hash_table_lookup(limits->requests, service)) *
		MS_PER_S / (double)limits->window_ms;
	double by_demand = 0;

	if (demand_per_s > 0)
		by_demand = SPARE_FACTOR * rate_per_s * all / demand_per_s;
	if (by_demand > by_burst)
		return (unsigned int)MIN(ceil(by_demand / step) * step, all);
	return (unsigned int)CLAMP(by_burst, 1, all);
}

/* Computes this instance's share of a rate, unless that is known. */
static void share_update_(const cb_rate_limits_t *limits, const char *service,
			  const char *server_id, server_limit_t *server,
			  double rate_per_s)
{
	cb_rate_limit_t *limit = &server->limit;
	double used = MAX(rate_per_s * USED_FRACTION, RATE_MIN_PER_S);
	unsigned int count = sharers_count_(limits, service, rate_per_s);

	if (server->instance_set == limits->instance_set &&
	    limit->rate_per_s == rate_per_s && limit->instances == count)
		return;
	server->instance_set = limits->instance_set;
	limit->rate_per_s = rate_per_s;
	limit->instances = count;
	limit->share_per_s = instance_is_chosen_(limits, server_id, count) ?
				     used / count :
				     0;
}

/* Returns how many requests an instance may save up for a server. */
static double tokens_max_(const cb_rate_limit_t *limit)
{
	return MAX((BURST_REQUESTS + BURST_S * limit->rate_per_s) /
			   limit->instances,
		   1);
}

/*
 * Returns a process's record with its share and tokens of now; NULL: it has no
 * limit.
 */
static server_limit_t *server_refresh_(cb_rate_limits_t *limits,
				       const char *service, const char *id,
				       int64_t start_wall_ms)
{
	server_limit_t *server = g_hash_table_lookup(limits->servers, id);
	int64_t now_ms = now_ms_(limits);
	double rate_per_s;

	if (!server)
		return NULL;
	server = server_get_(limits, id, start_wall_ms);
	rate_per_s = rate_find_(limits, server);
	if (rate_per_s < 0)
		return NULL;
	share_update_(limits, service, id, server, rate_per_s);
	server->tokens += server->limit.share_per_s *
			  (double)(now_ms - server->filled_ms) / MS_PER_S;
	server->tokens = MIN(server->tokens, tokens_max_(&server->limit));
	server->filled_ms = now_ms;
	return server;
}

gboolean cb_rate_limits_hear(cb_rate_limits_t *limits, const char *server_id,
			     int64_t start_wall_ms, double rate_per_s)
{
	server_limit_t *server;
	double known_per_s;

	if (rate_per_s < 0 &&
	    !g_hash_table_contains(limits->servers, server_id))
		return FALSE;
	server = server_get_(limits, server_id, start_wall_ms);
	known_per_s = rate_find_(limits, server);
	if (rate_per_s < 0 && known_per_s < 0)
		return FALSE;
	server->heard_rate_per_s = rate_per_s;
	server->heard_ms = now_ms_(limits);
	return rate_per_s != known_per_s;
}

gboolean cb_rate_limits_find(cb_rate_limits_t *limits, const char *service,
			     const char *server_id, int64_t start_wall_ms,
			     cb_rate_limit_t *limit)
{
	const server_limit_t *server =
		server_refresh_(limits, service, server_id, start_wall_ms);

	if (server)
		*limit = server->limit;
	return server != NULL;
}

int64_t cb_rate_limits_wait_ms(cb_rate_limits_t *limits, const char *service,
			       const char *server_id, int64_t start_wall_ms)
{
	const server_limit_t *server =
		server_refresh_(limits, service, server_id, start_wall_ms);

	if (!server || server->tokens >= 1)
		return 0;
	if (server->limit.share_per_s <= 0)
		return CB_RATE_LIMITS_NO_SHARE;
	return (int64_t)ceil((1 - server->tokens) * MS_PER_S /
			     server->limit.share_per_s);
}

void cb_rate_limits_count_send(cb_rate_limits_t *limits, const char *service,
			       const char *server_id, int64_t start_wall_ms)
{
	server_limit_t *server =
		server_refresh_(limits, service, server_id, start_wall_ms);

	if (server)
		server->tokens = MAX(server->tokens - 1, -1);
}

void cb_rate_limits_add_usage(cb_rate_limits_t *limits, cb_usage_t *usage)
{
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, limits->servers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const server_limit_t *server = value;
		cb_usage_load_t load = { 0 };

		if (!heard_is_valid_(limits, server))
			continue;
		if (server->heard_rate_per_s < 0) {
			load.limit_ended_instances = 1;
		} else {
			load.limiting_instances = 1;
			load.limit_per_ks =
				(uint32_t)MIN(server->heard_rate_per_s *
						      CB_USAGE_KS,
					      UINT32_MAX);
		}
		cb_usage_add_load(usage, id, &load);
	}
}

/* Takes over the limits that the sum names. */
static void shared_limits_read_(cb_rate_limits_t *limits, const cb_usage_t *sum)
{
	int64_t now_ms = now_ms_(limits);
	GHashTableIter iter;
	void *value;
	void *id;

	g_hash_table_iter_init(&iter, sum->by_server);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const cb_usage_load_t *load = value;
		server_limit_t *server =
			g_hash_table_lookup(limits->servers, id);

		if (!load->limiting_instances || load->limit_ended_instances)
			continue;
		if (!server)
			server = server_get_(limits, id, 0);
		server->shared_rate_per_s =
			(double)load->limit_per_ks / CB_USAGE_KS;
		server->shared_ms = now_ms;
	}
}

/* Takes over the numbers of requests for the services. */
static void demand_read_(cb_rate_limits_t *limits, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *value;
	void *service;

	g_hash_table_remove_all(limits->requests);
	g_hash_table_iter_init(&iter, sum->by_service);
	while (g_hash_table_iter_next(&iter, &service, &value))
		g_hash_table_insert(limits->requests, g_strdup(service),
				    GUINT_TO_POINTER(((cb_usage_sends_t *)value)
							     ->requests));
}

void cb_rate_limits_update(cb_rate_limits_t *limits, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *value;

	limits->sum_received_ms = now_ms_(limits);
	demand_read_(limits, sum);
	g_hash_table_iter_init(&iter, limits->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_limit_t *server = value;

		/* Set again below for each limit that the sum still names. */
		server->shared_ms = 0;
		if (!heard_is_valid_(limits, server))
			server->heard_ms = 0;
	}
	shared_limits_read_(limits, sum);
	g_hash_table_iter_init(&iter, limits->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_limit_t *server = value;

		if (!server->shared_ms && !server->heard_ms)
			g_hash_table_iter_remove(&iter);
	}
}
