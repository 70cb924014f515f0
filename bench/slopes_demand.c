#include "currantbridge/allocation.h"
#include "private/demand.h"
#include "slopes_roles.h"

/*
 * Demand reports of entry instances at the real interval, against the lines
 * a second that reach the leader: each session reports the same workspaces.
 */
#define SESSIONS 20
#define SETTLE_MS 1500
#define MEASURE_MS 3000
#define PUT_LIMIT_MS 20000
#define MAX_WORKSPACES 200

typedef struct demand {
	support_clients_t *clients;
	unsigned int workspaces;
	unsigned int sent;
	unsigned int granted;
	unsigned int lines;
	int64_t lent_tokens_per_s;
} demand_t;

static void granted_(GBytes *grant, int64_t sent_ms, void *user_data)
{
	demand_t *demand = user_data;
	GPtrArray *lines = cb_demand_lines_decode(grant);
	unsigned int i;

	(void)sent_ms;
	if (!lines)
		g_error("a grant cannot be read");
	demand->granted++;
	demand->lines += lines->len;
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);

		demand->lent_tokens_per_s += line->demand.wanted.tokens_per_s;
	}
	g_ptr_array_unref(lines);
}

static gboolean report_(void *user_data)
{
	static const cb_demand_t wanted = { { 1, 1, 1 }, { 0, 0, 0 } };
	demand_t *demand = user_data;
	GPtrArray *lines = cb_demand_lines_new();
	GBytes *report;
	unsigned int i;

	for (i = 0; i < demand->workspaces; i++) {
		char *workspace = g_strdup_printf("workspace-%u", i);

		cb_demand_line_add(lines, workspace, wanted);
		g_free(workspace);
	}
	report = cb_demand_lines_encode(lines);
	for (i = 0; i < demand->clients->count; i++)
		cb_control_client_report_demand(
			demand->clients->clients[i].client, report);
	demand->sent += (unsigned int)demand->clients->count;
	g_bytes_unref(report);
	g_ptr_array_unref(lines);
	return G_SOURCE_CONTINUE;
}

static void contracts_put_(support_clients_t *clients)
{
	support_change_t *changes = g_new0(support_change_t, MAX_WORKSPACES);
	unsigned int i;

	for (i = 0; i < MAX_WORKSPACES; i++) {
		char *workspace = g_strdup_printf("workspace-%u", i);

		support_change_put(clients, 0, workspace, PUT_LIMIT_MS,
				   &changes[i]);
		g_free(workspace);
	}
	for (i = 0; i < MAX_WORKSPACES; i++) {
		support_change_wait(&changes[i], 2 * PUT_LIMIT_MS);
		if (!support_change_is_accepted(&changes[i]))
			g_error("a contract was not accepted");
		g_free(changes[i].workspace);
	}
	g_free(changes);
}

static void measure_(demand_t *demand, slopes_roles_t *roles,
		     slopes_role_series_t *series)
{
	guint timer = g_timeout_add(CB_DEMAND_INTERVAL_MS, report_, demand);
	slopes_moment_t begin;
	slopes_moment_t end;
	unsigned int lines;
	double seconds;

	slopes_rest(SETTLE_MS);
	slopes_roles_find(roles);
	lines = demand->lines;
	begin = slopes_moment(roles);
	slopes_rest(MEASURE_MS);
	end = slopes_moment(roles);
	lines = demand->lines - lines;
	g_source_remove(timer);
	slopes_roles_check(roles);
	seconds = (double)(end.self.at_us - begin.self.at_us) / 1e6;
	slopes_role_series_add(series, lines / seconds, begin, end);
}

void slopes_demand(const slopes_output_t *output)
{
	static const char *const names[7] =
		SLOPES_ROLE_NAMES("demand_at_20_sessions");
	static const unsigned int counts[] = { 10, 50, 100, MAX_WORKSPACES };
	slopes_roles_t roles = slopes_roles_new();
	slopes_role_series_t series;
	demand_t demand = { 0 };
	size_t i;

	slopes_role_series_init(&series, names, "line/s");
	demand.clients = slopes_clients_new(roles.group, SESSIONS);
	contracts_put_(demand.clients);
	for (i = 0; i < SESSIONS; i++)
		cb_control_client_on_grant(demand.clients->clients[i].client,
					   granted_, &demand);
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		demand.workspaces = counts[i];
		measure_(&demand, &roles, &series);
	}
	if (!demand.lent_tokens_per_s || demand.granted < demand.sent * 9 / 10)
		g_error("%u of %u reports were answered", demand.granted,
			demand.sent);
	support_clients_delete(demand.clients);
	support_group_delete(roles.group);
	slopes_role_series_report(&series, output);
}
