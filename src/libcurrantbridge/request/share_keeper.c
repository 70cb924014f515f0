#include "private/share_keeper.h"

#include <string.h>

#include "private/demand.h"
#include "private/rendezvous.h"

/* Demand that rises is reported after this, to gather what comes at once. */
#define SOON_MS 2
/* The least time between two reports. */
#define LEAST_INTERVAL_MS 20

struct cb_share_keeper {
	cb_control_client_t *control;
	const cb_view_t *view;
	char *instance;
	uint32_t address_count;
	cb_share_table_t *table;
	cb_admission_t *admission;
	cb_clock_t *clock;
	cb_timer_t *report_timer;
	int64_t reported_ms;
	gboolean is_soon;
	/* workspace -> revision of the view that its floor follows */
	GHashTable *floors;
	cb_counter_t *reports;
	cb_counter_t *grants;
};

/* Tells whether the address answer for a workspace names this instance. */
static gboolean is_named_(cb_share_keeper_t *keeper, const char *workspace,
			  uint32_t *count)
{
	GPtrArray *picked =
		cb_rendezvous_pick(cb_view_instances(keeper->view), workspace,
				   keeper->address_count);
	gboolean is_named = FALSE;
	unsigned int i;

	for (i = 0; i < picked->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(picked, i);

		if (!strcmp(instance->name, keeper->instance))
			is_named = TRUE;
	}
	*count = picked->len;
	g_ptr_array_unref(picked);
	return is_named;
}

/* Works the floor out anew if the view has changed since. */
void cb_share_keeper_refresh(cb_share_keeper_t *keeper,
			     const cb_contract_t *contract)
{
	uint64_t revision = cb_view_revision(keeper->view);
	uint64_t *followed =
		g_hash_table_lookup(keeper->floors, contract->workspace);
	uint32_t count;
	gboolean is_named;

	if (followed && *followed == revision)
		return;
	if (!followed) {
		followed = g_new0(uint64_t, 1);
		g_hash_table_insert(keeper->floors,
				    g_strdup(contract->workspace), followed);
	}
	*followed = revision;
	is_named = is_named_(keeper, contract->workspace, &count);
	cb_share_table_set_floor(keeper->table, contract, count, is_named);
}

static gboolean amount_is_zero_(cb_amount_t amount)
{
	return !amount.tokens_per_s && !amount.requests_per_s &&
	       !amount.concurrent;
}

/* Adds a workspace's line if it needs more than its floor or holds more. */
static void line_add_(cb_share_keeper_t *keeper, GPtrArray *lines,
		      const char *workspace)
{
	const cb_contract_t *contract =
		cb_view_contract(keeper->view, workspace);
	cb_amount_t wanted =
		cb_admission_total_demand(keeper->admission, workspace);
	cb_demand_t demand;

	if (!contract)
		return;
	cb_share_keeper_refresh(keeper, contract);
	demand = cb_share_table_demand(keeper->table, workspace, wanted);
	if (!amount_is_zero_(demand.wanted) || !amount_is_zero_(demand.held))
		cb_demand_line_add(lines, workspace, demand);
}

static void report_(void *user_data)
{
	cb_share_keeper_t *keeper = user_data;
	GPtrArray *lines = cb_demand_lines_new();
	GPtrArray *active = cb_admission_active_workspaces(keeper->admission);
	unsigned int i;
	GBytes *report;

	for (i = 0; i < active->len; i++)
		line_add_(keeper, lines, g_ptr_array_index(active, i));
	if (lines->len) {
		report = cb_demand_lines_encode(lines);
		cb_control_client_report_demand(keeper->control, report);
		cb_counter_add(keeper->reports, 1);
		g_bytes_unref(report);
	}
	g_ptr_array_unref(active);
	g_ptr_array_unref(lines);
	keeper->reported_ms = cb_clock_now_ms(keeper->clock);
	keeper->is_soon = FALSE;
	cb_timer_start(keeper->report_timer, CB_DEMAND_INTERVAL_MS);
}

/* Reports within some milliseconds, with what else has risen by then. */
void cb_share_keeper_report_soon(cb_share_keeper_t *keeper)
{
	int64_t since_ms = cb_clock_now_ms(keeper->clock) - keeper->reported_ms;

	if (keeper->is_soon)
		return;
	keeper->is_soon = TRUE;
	cb_timer_start(keeper->report_timer,
		       MAX(SOON_MS, LEAST_INTERVAL_MS - since_ms));
}

static void granted_(GBytes *grant, int64_t sent_ms, void *user_data)
{
	cb_share_keeper_t *keeper = user_data;
	GPtrArray *lines = cb_demand_lines_decode(grant);
	unsigned int i;

	if (!lines)
		return;
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);

		cb_share_table_lease(keeper->table, line->workspace,
				     line->demand.wanted, sent_ms);
	}
	g_ptr_array_unref(lines);
	cb_counter_add(keeper->grants, 1);
	cb_admission_dispatch(keeper->admission);
}

/* Makes a keeper; nothing is reported before it knows the admission. */
cb_share_keeper_t *cb_share_keeper_new(cb_kernel_t *kernel,
				       cb_control_client_t *control,
				       const cb_view_t *view,
				       const char *instance,
				       uint32_t address_count)
{
	cb_share_keeper_t *keeper = g_new0(cb_share_keeper_t, 1);
	cb_counters_t *counters = cb_kernel_counters(kernel);
	cb_clock_t *clock = cb_kernel_clock(kernel);

	keeper->clock = clock;
	keeper->control = control;
	keeper->view = view;
	keeper->instance = g_strdup(instance);
	keeper->address_count = address_count;
	keeper->table = cb_share_table_new(clock);
	keeper->report_timer = cb_timer_new(clock, report_, keeper);
	keeper->floors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	keeper->reports =
		cb_counters_counter(counters, "cb_demand_reports_total", NULL,
				    NULL);
	keeper->grants = cb_counters_counter(counters, "cb_demand_grants_total",
					     NULL, NULL);
	cb_control_client_on_grant(control, granted_, keeper);
	return keeper;
}

/* Deletes a keeper; the control client must not call it any more. */
void cb_share_keeper_delete(cb_share_keeper_t *keeper)
{
	if (!keeper)
		return;
	cb_control_client_on_grant(keeper->control, NULL, NULL);
	cb_timer_delete(keeper->report_timer);
	cb_share_table_delete(keeper->table);
	g_hash_table_unref(keeper->floors);
	g_free(keeper->instance);
	g_free(keeper);
}

/* Returns the table of shares, owned by the keeper. */
cb_share_table_t *cb_share_keeper_table(cb_share_keeper_t *keeper)
{
	return keeper->table;
}

/* Tells the keeper whose demand to report, and begins the reports. */
void cb_share_keeper_set_admission(cb_share_keeper_t *keeper,
				   cb_admission_t *admission)
{
	keeper->admission = admission;
	cb_timer_start(keeper->report_timer, CB_DEMAND_INTERVAL_MS);
}
