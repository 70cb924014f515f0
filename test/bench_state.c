#include <malloc.h>
#include <stdio.h>

#include "support_main.h"
#include "support_state.h"

/*
 * Measures the time and memory that the state machine needs for different
 * numbers of contracts and of claims, in this process, without log or network.
 * It fails only if an answer is wrong, never because of a measured time.
 */
#define CHANGE_COUNT 1000

static int64_t heap_bytes_read_(void)
{
	return (int64_t)mallinfo2().uordblks;
}

static double elapsed_us_since_(int64_t start_us)
{
	return (double)(g_get_monotonic_time() - start_us);
}

/* Puts `count` contracts; returns the mean microseconds per contract. */
static double contracts_put_(support_state_t *machine, int count, int rate)
{
	int64_t start_us = g_get_monotonic_time();
	int i;

	for (i = 0; i < count; i++) {
		char *name = g_strdup_printf("workspace-%d", i);
		char *id = g_strdup_printf("change-%d-%d", i, rate);

		CU_ASSERT_EQUAL(
			support_apply_kind(machine,
					   support_with_change_id(
						   support_contract_put_command(
							   name, name, rate),
						   id)),
			CB_ANSWER_OK);
		g_free(id);
		g_free(name);
	}
	return elapsed_us_since_(start_us) / count;
}

/* Measures encoding and applying the update of a single change. */
static void changes_measure_(support_state_t *machine, cb_view_t *view)
{
	double encode_us = 0;
	double apply_us = 0;
	size_t bytes = 0;
	int i;

	for (i = 0; i < CHANGE_COUNT; i++) {
		GBytes *update;
		int64_t start_us;

		support_apply_kind(machine,
				   support_contract_put_command("workspace-0",
								"workspace-0",
								i + 1));
		start_us = g_get_monotonic_time();
		update = cb_state_encode_update(machine->state,
						cb_view_revision(view));
		encode_us += elapsed_us_since_(start_us);
		start_us = g_get_monotonic_time();
		CU_ASSERT_EQUAL(cb_view_apply(view, update), CB_VIEW_APPLIED);
		apply_us += elapsed_us_since_(start_us);
		bytes += g_bytes_get_size(update);
		g_bytes_unref(update);
	}
	printf("      one change: encoded in %.1f us, applied in %.1f us, "
	       "%zu bytes\n",
	       encode_us / CHANGE_COUNT, apply_us / CHANGE_COUNT,
	       bytes / CHANGE_COUNT);
}

static void contracts_measure_(int count)
{
	int64_t heap_bytes = heap_bytes_read_();
	support_state_t *machine = support_state_new();
	cb_view_t *view = cb_view_new();
	double put_us = contracts_put_(machine, count, 1);
	int64_t state_bytes = (heap_bytes_read_() - heap_bytes) / count;
	GBytes *snapshot;
	GBytes *update;
	int64_t start_us;
	double encode_us;
	double apply_us;

	start_us = g_get_monotonic_time();
	update = cb_state_encode_update(machine->state, 0);
	encode_us = elapsed_us_since_(start_us);
	heap_bytes = heap_bytes_read_();
	start_us = g_get_monotonic_time();
	CU_ASSERT_EQUAL(cb_view_apply(view, update), CB_VIEW_APPLIED);
	apply_us = elapsed_us_since_(start_us);
	printf("    %d contracts: put in %.1f us each, %" G_GINT64_FORMAT
	       " bytes each with their change ID; view %" G_GINT64_FORMAT
	       " bytes each\n",
	       count, put_us, state_bytes,
	       (heap_bytes_read_() - heap_bytes) / count);
	printf("      complete update: %zu bytes, encoded in %.1f ms, applied in "
	       "%.1f ms\n",
	       g_bytes_get_size(update), encode_us / 1000, apply_us / 1000);
	g_bytes_unref(update);
	changes_measure_(machine, view);
	start_us = g_get_monotonic_time();
	snapshot = support_snapshot(machine);
	encode_us = elapsed_us_since_(start_us);
	start_us = g_get_monotonic_time();
	CU_ASSERT_TRUE(support_restore(machine, snapshot));
	printf("      snapshot: %zu bytes, taken in %.1f ms, restored in "
	       "%.1f ms\n",
	       g_bytes_get_size(snapshot), encode_us / 1000,
	       elapsed_us_since_(start_us) / 1000);
	g_bytes_unref(snapshot);
	cb_view_delete(view);
	support_state_delete(machine);
}

static void contracts(void)
{
	contracts_measure_(10);
	contracts_measure_(480);
	contracts_measure_(4800);
}

static void claims_measure_(int count)
{
	support_state_t *machine = support_state_new();
	int64_t heap_bytes = heap_bytes_read_();
	int64_t start_us = g_get_monotonic_time();
	GBytes *snapshot;
	double claim_and_finish_us;
	int i;

	support_apply_kind(machine, support_instance_up("entry-1", 1));
	for (i = 0; i < count; i++) {
		char *key = g_strdup_printf("2f1d8a9c-0000-4000-8000-%012d", i);

		support_apply_kind(machine,
				   support_claim(key, "entry-1/1", key));
		CU_ASSERT_EQUAL(support_apply_kind(
					machine,
					support_claim_finish(
						key, machine->index,
						CB_CLAIM_RESULT_EXECUTED,
						"{\"booking\":\"accepted\"}")),
				CB_ANSWER_OK);
		g_free(key);
	}
	claim_and_finish_us = elapsed_us_since_(start_us) / count;
	heap_bytes = heap_bytes_read_() - heap_bytes;
	start_us = g_get_monotonic_time();
	snapshot = support_snapshot(machine);
	printf("    %d claims: claimed and finished in %.1f us, "
	       "%" G_GINT64_FORMAT " bytes each; snapshot %zu bytes in "
	       "%.1f ms\n",
	       count, claim_and_finish_us, heap_bytes / count,
	       g_bytes_get_size(snapshot), elapsed_us_since_(start_us) / 1000);
	g_bytes_unref(snapshot);
	support_state_delete(machine);
}

static void claims(void)
{
	claims_measure_(500);
	claims_measure_(5000);
	claims_measure_(CB_STATE_CLAIM_MAX_COUNT);
}

static CU_TestInfo bench_tests[] = { { "contracts", contracts },
				     { "claims", claims },
				     CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "bench_state",
				    .pTests = bench_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
