#include <malloc.h>

#include "currantbridge/allocation.h"
#include "private/demand.h"
#include "slopes.h"
#include "support_state.h"

/*
 * Cost of the control state machine, of views and of the lease book, all run
 * in this process without log or network.
 */
#define CHANGE_COUNT 500
#define ROUND_COUNT 5
#define ENTRY_COUNT 4
#define US_PER_MS 1000.0

/* Returns the size of all allocated blocks. */
static double heap_size_kb_(void)
{
	return (double)mallinfo2().uordblks / 1024;
}

static double elapsed_us_(int64_t begin_us)
{
	return (double)(g_get_monotonic_time() - begin_us);
}

static void contracts_put_(support_state_t *machine, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		char *name = g_strdup_printf("workspace-%d", i);
		char *id = g_strdup_printf("change-%d", i);

		if (support_apply_kind(
			    machine,
			    support_with_change_id(
				    support_contract_put_command(name, name, 1),
				    id)) != CB_ANSWER_OK)
			g_error("a contract was not accepted");
		g_free(id);
		g_free(name);
	}
}

/* Takes and restores a snapshot; records its size and the duration of each. */
static void snapshot_measure_(support_state_t *machine, int count,
			      slopes_series_t series[3])
{
	int64_t begin_us = g_get_monotonic_time();
	GBytes *snapshot = support_snapshot(machine);

	slopes_series_add(&series[1], count, elapsed_us_(begin_us) / US_PER_MS);
	slopes_series_add(&series[0], count,
			  (double)g_bytes_get_size(snapshot) / 1024);
	begin_us = g_get_monotonic_time();
	if (!support_restore(machine, snapshot))
		g_error("the snapshot cannot be restored");
	slopes_series_add(&series[2], count, elapsed_us_(begin_us) / US_PER_MS);
	g_bytes_unref(snapshot);
}

/* Measures updates of one contract applied to a view of `count` contracts. */
static void contract_change_measure_(support_state_t *machine, cb_view_t *view,
				     int count, slopes_series_t series[2])
{
	double apply_us = 0;
	double bytes = 0;
	int i;

	for (i = 0; i < CHANGE_COUNT; i++) {
		GBytes *update;
		int64_t begin_us;

		support_apply_kind(machine,
				   support_contract_put_command("workspace-0",
								"workspace-0",
								i + 2));
		update = cb_state_encode_update(machine->state,
						cb_view_revision(view));
		begin_us = g_get_monotonic_time();
		if (cb_view_apply(view, update) != CB_VIEW_APPLIED)
			g_error("an update was not applied");
		apply_us += elapsed_us_(begin_us);
		bytes += (double)g_bytes_get_size(update);
		g_bytes_unref(update);
	}
	slopes_series_add(&series[0], count, apply_us / CHANGE_COUNT);
	slopes_series_add(&series[1], count, bytes / CHANGE_COUNT);
}

static void contracts_measure_(const slopes_output_t *output)
{
	static const int counts[] = { 100, 1000, 2500, 5000 };
	slopes_series_t series[8];
	size_t i;

	slopes_series_init(&series[0], "state_contracts_snapshot", "KB",
			   "contract");
	slopes_series_init(&series[1], "state_contracts_take", "ms",
			   "contract");
	slopes_series_init(&series[2], "state_contracts_restore", "ms",
			   "contract");
	slopes_series_init(&series[3], "state_contracts_memory", "KB",
			   "contract");
	slopes_series_init(&series[4], "view_contracts_memory", "KB",
			   "contract");
	slopes_series_init(&series[5], "view_whole_update", "KB", "contract");
	slopes_series_init(&series[6], "view_change_apply", "us", "contract");
	slopes_series_init(&series[7], "view_change_update", "B", "contract");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		double heap_before_kb = heap_size_kb_();
		support_state_t *machine = support_state_new();
		cb_view_t *view = cb_view_new();
		GBytes *update;

		contracts_put_(machine, counts[i]);
		slopes_series_add(&series[3], counts[i],
				  heap_size_kb_() - heap_before_kb);
		update = cb_state_encode_update(machine->state, 0);
		slopes_series_add(&series[5], counts[i],
				  (double)g_bytes_get_size(update) / 1024);
		heap_before_kb = heap_size_kb_();
		if (cb_view_apply(view, update) != CB_VIEW_APPLIED)
			g_error("the complete update was not applied");
		slopes_series_add(&series[4], counts[i],
				  heap_size_kb_() - heap_before_kb);
		g_bytes_unref(update);
		contract_change_measure_(machine, view, counts[i], &series[6]);
		snapshot_measure_(machine, counts[i], series);
		cb_view_delete(view);
		support_state_delete(machine);
	}
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
}

/* Acquires and finishes `count` claims, which the state then keeps. */
static void claims_finish_(support_state_t *machine, int count)
{
	int i;

	support_apply_kind(machine, support_instance_up("entry-1", 1));
	for (i = 0; i < count; i++) {
		char *key = g_strdup_printf("2f1d8a9c-0000-4000-8000-%012d", i);

		support_apply_kind(machine,
				   support_claim(key, "entry-1/1", key));
		if (support_apply_kind(machine,
				       support_claim_finish(
					       key, machine->index,
					       CB_CLAIM_RESULT_EXECUTED,
					       "{\"booking\":\"accepted\"}")) !=
		    CB_ANSWER_OK)
			g_error("a claim could not be finished");
		g_free(key);
	}
}

static void claims_measure_(const slopes_output_t *output)
{
	static const int counts[] = { 1000, 5000, 20000, 50000 };
	slopes_series_t series[5];
	size_t i;

	slopes_series_init(&series[0], "state_claims_snapshot", "KB", "claim");
	slopes_series_init(&series[1], "state_claims_take", "ms", "claim");
	slopes_series_init(&series[2], "state_claims_restore", "ms", "claim");
	slopes_series_init(&series[3], "state_claims_memory", "KB", "claim");
	slopes_series_init(&series[4], "state_claims_time", "ms", "claim");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		double heap_before_kb = heap_size_kb_();
		support_state_t *machine = support_state_new();
		int64_t begin_us = g_get_monotonic_time();

		claims_finish_(machine, counts[i]);
		slopes_series_add(&series[4], counts[i],
				  elapsed_us_(begin_us) / US_PER_MS);
		slopes_series_add(&series[3], counts[i],
				  heap_size_kb_() - heap_before_kb);
		snapshot_measure_(machine, counts[i], series);
		support_state_delete(machine);
	}
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
}

static cb_contract_t *contract_new_(int number)
{
	char *text = g_strdup_printf(
		"{\"workspace\":\"workspace-%d\",\"keys\":[\"key-%d\"],"
		"\"models\":[\"m\"],\"guaranteed_tokens_per_s\":400,"
		"\"ceiling_tokens_per_s\":4000,"
		"\"guaranteed_requests_per_s\":2,"
		"\"ceiling_requests_per_s\":20,\"concurrent_requests\":40}",
		number, number);
	GError *error = NULL;
	cb_contract_t *contract = cb_contract_parse(text, &error);

	g_assert_no_error(error);
	g_free(text);
	return contract;
}

/*
 * Has each of ENTRY_COUNT instances report demand for each workspace, and
 * grants the leases.  Returns the time taken in microseconds and sets *bytes
 * to the size of all reports.
 */
static double leases_grant_round_(cb_lease_book_t *book, GPtrArray *contracts,
				  GRand *random, double *bytes)
{
	int64_t begin_us = g_get_monotonic_time();
	unsigned int entry;
	unsigned int i;

	*bytes = 0;
	for (entry = 0; entry < ENTRY_COUNT; entry++) {
		char *instance = g_strdup_printf("entry-%u", entry);
		GPtrArray *lines = cb_demand_lines_new();
		GPtrArray *decoded_lines;
		GBytes *report;

		for (i = 0; i < contracts->len; i++) {
			const cb_contract_t *contract =
				g_ptr_array_index(contracts, i);
			cb_demand_t demand = { { 0 }, { 0 } };

			demand.requested.tokens_per_s =
				g_rand_int_range(random, 0, 1000);
			demand.requested.requests_per_s =
				g_rand_int_range(random, 0, 5);
			demand.requested.concurrent =
				g_rand_int_range(random, 0, 10);
			cb_demand_line_add(lines, contract->workspace, demand);
		}
		report = cb_demand_lines_encode(lines);
		*bytes += (double)g_bytes_get_size(report);
		decoded_lines = cb_demand_lines_decode(report);
		for (i = 0; i < contracts->len; i++) {
			const cb_demand_line_t *line =
				g_ptr_array_index(decoded_lines, i);

			cb_lease_book_grant(book,
					    g_ptr_array_index(contracts, i),
					    instance, line->demand);
		}
		g_ptr_array_unref(decoded_lines);
		g_ptr_array_unref(lines);
		g_bytes_unref(report);
		g_free(instance);
	}
	return elapsed_us_(begin_us);
}

/* Measures demand reports against the number of active workspaces. */
static void leases_measure_(const slopes_output_t *output)
{
	static const int counts[] = { 100, 500, 1500, 4800 };
	GRand *random = g_rand_new_with_seed(SLOPES_SEED);
	slopes_series_t series[3];
	size_t i;
	int k;

	slopes_series_init(&series[0], "leases_lines_time", "us", "line");
	slopes_series_init(&series[1], "leases_lines_bytes", "B", "line");
	slopes_series_init(&series[2], "leases_book_memory", "KB", "line");
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		cb_clock_t *clock = cb_clock_new_paused(0);
		GPtrArray *contracts = g_ptr_array_new_with_free_func(
			(GDestroyNotify)cb_contract_delete);
		cb_lease_book_t *book;
		double heap_before_kb;
		double total_us = 0;
		double bytes = 0;

		for (k = 0; k < counts[i]; k++)
			g_ptr_array_add(contracts, contract_new_(k));
		heap_before_kb = heap_size_kb_();
		book = cb_lease_book_new(clock, -CB_LEASE_MS);
		for (k = 0; k < ROUND_COUNT; k++) {
			total_us += leases_grant_round_(book, contracts, random,
							&bytes);
			cb_clock_advance(clock, CB_DEMAND_INTERVAL_MS);
		}
		slopes_series_add(&series[0], ENTRY_COUNT * counts[i],
				  total_us / ROUND_COUNT);
		slopes_series_add(&series[1], ENTRY_COUNT * counts[i], bytes);
		slopes_series_add(&series[2], ENTRY_COUNT * counts[i],
				  heap_size_kb_() - heap_before_kb);
		cb_lease_book_delete(book);
		g_ptr_array_unref(contracts);
		cb_clock_delete(clock);
	}
	for (i = 0; i < G_N_ELEMENTS(series); i++)
		slopes_series_report(&series[i], output);
	g_rand_free(random);
}

void slopes_measure_state(const slopes_output_t *output)
{
	contracts_measure_(output);
	claims_measure_(output);
	leases_measure_(output);
}
