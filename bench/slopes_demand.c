#include "currantbridge/allocation.h"
#include "private/demand.h"
#include "slopes_roles.h"

/*
 * Cost of demand reports of entry instances, sent at the interval of the
 * product, against the report lines per second that reach the leader.  Each
 * session reports the same workspaces.
 */
#define SESSION_COUNT 20
#define SETTLE_MS 1500
#define MEASURE_MS 3000
#define PUT_TIMEOUT_MS 20000
#define MAX_WORKSPACES 200

typedef struct demand_load {
	support_clients_t *clients;
	unsigned int workspace_count; /* workspaces in each report */
	unsigned int report_count;    /* number of reports sent */
	unsigned int grant_count;     /* number of grants received */
	/* Number of lines in the grants received. */
	unsigned int line_count;
	/* Sum of the tokens per second in all grants. */
	int64_t granted_tokens_per_s;
} demand_load_t;

static void grant_handle_(GBytes *grant, int64_t sent_ms, void *user_data)
{
	demand_load_t *load = user_data;
	GPtrArray *lines = cb_demand_lines_decode(grant);
	unsigned int i;

	(void)sent_ms;
	if (!lines)
		g_error("a grant cannot be decoded");
	load->grant_count++;
	load->line_count += lines->len;
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);

		load->granted_tokens_per_s +=
			line->demand.requested.tokens_per_s;
	}
	g_ptr_array_unref(lines);
}

/* Sends the same report over each session. */
static gboolean demand_report_(void *user_data)
{
	static const cb_demand_t requested = { { 1, 1, 1 }, { 0, 0, 0 } };
	demand_load_t *load = user_data;
	GPtrArray *lines = cb_demand_lines_new();
	GBytes *report;
	unsigned int i;

	for (i = 0; i < load->workspace_count; i++) {
		char *workspace = g_strdup_printf("workspace-%u", i);

		cb_demand_line_add(lines, workspace, requested);
		g_free(workspace);
	}
	report = cb_demand_lines_encode(lines);
	for (i = 0; i < load->clients->count; i++)
		cb_control_client_report_demand(
			load->clients->clients[i].client, report);
	load->report_count += (unsigned int)load->clients->count;
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

		support_change_put(clients, 0, workspace, PUT_TIMEOUT_MS,
				   &changes[i]);
		g_free(workspace);
	}
	for (i = 0; i < MAX_WORKSPACES; i++) {
		support_change_wait(&changes[i], 2 * PUT_TIMEOUT_MS);
		if (!support_change_is_accepted(&changes[i]))
			g_error("a contract was not accepted");
		g_free(changes[i].workspace);
	}
	g_free(changes);
}

static void demand_measure_(demand_load_t *load, slopes_roles_t *roles,
			    slopes_role_series_t *series)
{
	guint timer =
		g_timeout_add(CB_DEMAND_INTERVAL_MS, demand_report_, load);
	slopes_role_usage_t begin;
	slopes_role_usage_t end;
	unsigned int line_count;
	double seconds;

	slopes_loop_run(SETTLE_MS);
	slopes_roles_find_leader(roles);
	line_count = load->line_count;
	begin = slopes_role_usage_read(roles);
	slopes_loop_run(MEASURE_MS);
	end = slopes_role_usage_read(roles);
	line_count = load->line_count - line_count;
	g_source_remove(timer);
	slopes_roles_check_leader(roles);
	seconds = (double)(end.clients.measured_at_us -
			   begin.clients.measured_at_us) /
		  1e6;
	slopes_role_series_add(series, line_count / seconds, begin, end);
}

void slopes_measure_demand(const slopes_output_t *output)
{
	static const char *const series_names[7] =
		SLOPES_ROLE_NAMES("demand_at_20_sessions");
	static const unsigned int counts[] = { 10, 50, 100, MAX_WORKSPACES };
	slopes_roles_t roles = slopes_roles_new();
	slopes_role_series_t series;
	demand_load_t load = { 0 };
	size_t i;

	slopes_role_series_init(&series, series_names, "line/s");
	load.clients = slopes_clients_new(roles.group, SESSION_COUNT);
	contracts_put_(load.clients);
	for (i = 0; i < SESSION_COUNT; i++)
		cb_control_client_on_grant(load.clients->clients[i].client,
					   grant_handle_, &load);
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		load.workspace_count = counts[i];
		demand_measure_(&load, &roles, &series);
	}
	if (!load.granted_tokens_per_s ||
	    load.grant_count < load.report_count * 9 / 10)
		g_error("only %u of %u reports were answered with a grant",
			load.grant_count, load.report_count);
	support_clients_delete(load.clients);
	support_group_delete(roles.group);
	slopes_role_series_report(&series, output);
}
