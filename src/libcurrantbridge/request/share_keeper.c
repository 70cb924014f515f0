#include "private/share_keeper.h"

#include <string.h>

#include "private/demand.h"
#include "private/rendezvous.h"

/* Delay before rising demand is reported, to combine simultaneous changes. */
#define EARLY_REPORT_DELAY_MS 2
#define MIN_REPORT_INTERVAL_MS 20

struct cb_share_keeper {
	cb_control_client_t *control;
	const cb_view_t *view;
	char *instance; /* name of this entry instance */
	/* Maximum number of instances in an address answer. */
	uint32_t address_count;
	gboolean is_leaving; /* the instance drains and still serves */
	cb_share_table_t *table;
	cb_admission_t *admission;
	cb_clock_t *clock;
	cb_timer_t *report_timer;
	int64_t reported_at_ms; /* time of the last report of the demand */
	gboolean is_early_report_due;
	/*
	 * workspace name to the view revision (uint64_t) of the workspace's
	 * floor
	 */
	GHashTable *floor_revisions;
	cb_counter_t *report_counter;
	cb_counter_t *grant_counter;
};

/*
 * Returns the view's instances among which a workspace's are picked.  While this
 * one leaves, `own` becomes its record as if it were ready: callers keep its address
 * for a time, and use it.
 */
static GPtrArray *candidates_find_(const cb_share_keeper_t *keeper,
				   cb_instance_t *own)
{
	const GPtrArray *instances = cb_view_instances(keeper->view);
	GPtrArray *candidates = g_ptr_array_sized_new(instances->len);
	unsigned int i;

	for (i = 0; i < instances->len; i++) {
		cb_instance_t *instance = g_ptr_array_index(instances, i);

		if (keeper->is_leaving &&
		    !strcmp(instance->name, keeper->instance)) {
			*own = *instance;
			own->state = CB_INSTANCE_READY;
			instance = own;
		}
		g_ptr_array_add(candidates, instance);
	}
	return candidates;
}

/*
 * Returns whether this instance is picked for a workspace's address answer;
 * sets `count` to the number of instances in the answer.
 */
static gboolean own_instance_is_picked_(cb_share_keeper_t *keeper,
					const char *workspace, uint32_t *count)
{
	cb_instance_t own;
	GPtrArray *candidates = candidates_find_(keeper, &own);
	GPtrArray *picked = cb_rendezvous_pick(candidates, workspace,
					       keeper->address_count);
	gboolean is_picked = FALSE;
	unsigned int i;

	for (i = 0; i < picked->len; i++) {
		const cb_instance_t *instance = g_ptr_array_index(picked, i);

		if (!strcmp(instance->name, keeper->instance))
			is_picked = TRUE;
	}
	*count = picked->len;
	g_ptr_array_unref(picked);
	g_ptr_array_unref(candidates);
	return is_picked;
}

/* Recomputes a workspace's floor if the view has changed since. */
void cb_share_keeper_update_floor(cb_share_keeper_t *keeper,
				  const cb_contract_t *contract)
{
	uint64_t revision = cb_view_revision(keeper->view);
	uint64_t *floor_revision = g_hash_table_lookup(keeper->floor_revisions,
						       contract->workspace);
	uint32_t count;
	gboolean is_picked;

	if (floor_revision && *floor_revision == revision)
		return;
	if (!floor_revision) {
		floor_revision = g_new0(uint64_t, 1);
		g_hash_table_insert(keeper->floor_revisions,
				    g_strdup(contract->workspace),
				    floor_revision);
	}
	*floor_revision = revision;
	is_picked =
		own_instance_is_picked_(keeper, contract->workspace, &count);
	cb_share_table_set_floor(keeper->table, contract, count, is_picked);
}

static gboolean amount_is_zero_(cb_amount_t amount)
{
	return !amount.tokens_per_s && !amount.requests_per_s &&
	       !amount.concurrent;
}

/* Adds a workspace's line to a report if it needs or has a lease. */
static void demand_line_add_(cb_share_keeper_t *keeper, GPtrArray *lines,
			     const char *workspace)
{
	const cb_contract_t *contract =
		cb_view_contract(keeper->view, workspace);
	cb_amount_t wanted =
		cb_admission_total_demand(keeper->admission, workspace);
	cb_demand_t demand;

	if (!contract)
		return;
	cb_share_keeper_update_floor(keeper, contract);
	demand = cb_share_table_demand(keeper->table, workspace, wanted);
	if (!amount_is_zero_(demand.requested) ||
	    !amount_is_zero_(demand.leased))
		cb_demand_line_add(lines, workspace, demand);
}

static void demand_report_(void *user_data)
{
	cb_share_keeper_t *keeper = user_data;
	GPtrArray *lines = cb_demand_lines_new();
	GPtrArray *active_workspaces =
		cb_admission_active_workspaces(keeper->admission);
	unsigned int i;
	GBytes *report;

	for (i = 0; i < active_workspaces->len; i++)
		demand_line_add_(keeper, lines,
				 g_ptr_array_index(active_workspaces, i));
	if (lines->len) {
		report = cb_demand_lines_encode(lines);
		cb_control_client_report_demand(keeper->control, report);
		cb_counter_add(keeper->report_counter, 1);
		g_bytes_unref(report);
	}
	g_ptr_array_unref(active_workspaces);
	g_ptr_array_unref(lines);
	keeper->reported_at_ms = cb_clock_now_ms(keeper->clock);
	keeper->is_early_report_due = FALSE;
	cb_timer_start(keeper->report_timer, CB_DEMAND_INTERVAL_MS);
}

/* Keeps the floors although the view names this instance no more. */
void cb_share_keeper_set_leaving(cb_share_keeper_t *keeper)
{
	keeper->is_leaving = TRUE;
}

/* Schedules a report of the demand within MIN_REPORT_INTERVAL_MS. */
void cb_share_keeper_report_soon(cb_share_keeper_t *keeper)
{
	int64_t elapsed_ms =
		cb_clock_now_ms(keeper->clock) - keeper->reported_at_ms;

	if (keeper->is_early_report_due)
		return;
	keeper->is_early_report_due = TRUE;
	cb_timer_start(keeper->report_timer,
		       MAX(EARLY_REPORT_DELAY_MS,
			   MIN_REPORT_INTERVAL_MS - elapsed_ms));
}

static void grant_apply_(GBytes *grant, int64_t sent_ms, void *user_data)
{
	cb_share_keeper_t *keeper = user_data;
	GPtrArray *lines = cb_demand_lines_decode(grant);
	unsigned int i;

	if (!lines)
		return;
	for (i = 0; i < lines->len; i++) {
		const cb_demand_line_t *line = g_ptr_array_index(lines, i);

		cb_share_table_set_lease(keeper->table, line->workspace,
					 line->demand.requested, sent_ms);
	}
	g_ptr_array_unref(lines);
	cb_counter_add(keeper->grant_counter, 1);
	cb_admission_dispatch(keeper->admission);
}

/* Creates a keeper; reports begin with cb_share_keeper_set_admission(). */
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
	keeper->report_timer = cb_timer_new(clock, demand_report_, keeper);
	keeper->floor_revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	keeper->report_counter =
		cb_counters_counter(counters, "cb_demand_reports_total", NULL,
				    NULL);
	keeper->grant_counter =
		cb_counters_counter(counters, "cb_demand_grants_total", NULL,
				    NULL);
	cb_control_client_on_grant(control, grant_apply_, keeper);
	return keeper;
}

/* Deletes a keeper and removes it from the control client; NULL is allowed. */
void cb_share_keeper_delete(cb_share_keeper_t *keeper)
{
	if (!keeper)
		return;
	cb_control_client_on_grant(keeper->control, NULL, NULL);
	cb_timer_delete(keeper->report_timer);
	cb_share_table_delete(keeper->table);
	g_hash_table_unref(keeper->floor_revisions);
	g_free(keeper->instance);
	g_free(keeper);
}

/* Returns the table of shares, owned by the keeper. */
cb_share_table_t *cb_share_keeper_table(cb_share_keeper_t *keeper)
{
	return keeper->table;
}

/* Sets the admission whose demand is reported, and starts the reports. */
void cb_share_keeper_set_admission(cb_share_keeper_t *keeper,
				   cb_admission_t *admission)
{
	keeper->admission = admission;
	cb_timer_start(keeper->report_timer, CB_DEMAND_INTERVAL_MS);
}
