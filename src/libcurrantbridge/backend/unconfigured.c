#include "private/unconfigured.h"

#include <string.h>

#include "private/fleet_server.h"

/* Further servers are not kept: their later heartbeats are, if there is room. */
#define KEPT_MAX 16384

struct cb_unconfigured {
	GHashTable *reports; /* set of cb_fleet_server_t, by ID and service */
};

static unsigned int report_hash_(const void *report)
{
	const cb_fleet_server_t *self = report;

	return g_str_hash(self->id) ^ (g_str_hash(self->service) * 31);
}

static gboolean reports_are_equal_(const void *a, const void *b)
{
	const cb_fleet_server_t *left = a;
	const cb_fleet_server_t *right = b;

	return !strcmp(left->id, right->id) &&
	       !strcmp(left->service, right->service);
}

/* Creates an empty set of reports. */
cb_unconfigured_t *cb_unconfigured_new(void)
{
	cb_unconfigured_t *self = g_new0(cb_unconfigured_t, 1);

	self->reports = g_hash_table_new_full(report_hash_, reports_are_equal_,
					      cb_fleet_server_delete, NULL);
	return self;
}

/* Frees a set of reports; NULL is allowed. */
void cb_unconfigured_delete(cb_unconfigured_t *reports)
{
	if (!reports)
		return;
	g_hash_table_unref(reports->reports);
	g_free(reports);
}

/* Returns the number of servers. */
unsigned int cb_unconfigured_count(const cb_unconfigured_t *reports)
{
	return g_hash_table_size(reports->reports);
}

/*
 * Keeps a report in place of an older one.  One that says that the server is gone
 * removes it.  `now_ms` is when the server's last heartbeat was received;
 * `is_unsent_to_control` whether other control instances don't have it.
 */
void cb_unconfigured_put(cb_unconfigured_t *reports,
			 const cb_fleet_server_t *report, int64_t now_ms,
			 gboolean is_unsent_to_control)
{
	const cb_fleet_server_t *known =
		g_hash_table_lookup(reports->reports, report);
	cb_fleet_server_t *next;

	if (known && cb_fleet_report_is_newer(known, report))
		return;
	if (report->state == CB_FLEET_GONE) {
		g_hash_table_remove(reports->reports, report);
		return;
	}
	if (!known && cb_unconfigured_count(reports) >= KEPT_MAX)
		return;
	next = g_new0(cb_fleet_server_t, 1);
	cb_fleet_server_copy(next, report);
	next->last_heartbeat_ms = now_ms;
	next->is_unsent_to_control = is_unsent_to_control;
	if (known)
		next->state = cb_fleet_state_merge(known, report);
	g_hash_table_replace(reports->reports, next, next);
}

/*
 * Marks the servers with an ID as draining, those of one service or (NULL) of any, and
 * of one start or (-1) of any.  Returns whether there are any.
 */
gboolean cb_unconfigured_drain(cb_unconfigured_t *reports, const char *id,
			       const char *service, int64_t start_wall_ms)
{
	gboolean is_found = FALSE;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, reports->reports);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		cb_fleet_server_t *server = key;

		if (strcmp(server->id, id) != 0 ||
		    (service && strcmp(server->service, service) != 0) ||
		    (start_wall_ms >= 0 &&
		     server->start_wall_ms != start_wall_ms))
			continue;
		server->state = CB_FLEET_DRAINING;
		is_found = TRUE;
	}
	return is_found;
}

/* Removes the servers without a heartbeat for `keep_ms`. */
void cb_unconfigured_expire(cb_unconfigured_t *reports, int64_t now_ms,
			    int64_t keep_ms)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, reports->reports);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const cb_fleet_server_t *server = key;

		if (now_ms - server->last_heartbeat_ms >= keep_ms)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes the servers that the configuration can use now and returns them; the
 * caller unrefs the array, which frees them.
 */
GPtrArray *cb_unconfigured_take(cb_unconfigured_t *reports,
				cb_fleet_check_fn_t is_configured,
				void *user_data)
{
	GPtrArray *taken =
		g_ptr_array_new_with_free_func(cb_fleet_server_delete);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, reports->reports);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		cb_fleet_server_t *server = key;

		if (!is_configured(server, user_data))
			continue;
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(taken, server);
	}
	return taken;
}
