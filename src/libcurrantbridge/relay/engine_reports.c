#include "private/engine_reports.h"

/*
 * Time after which a report is taken for lost: an engine in the same region
 * answers in a few ms, unless a packet is lost and sent again.
 */
#define REPORT_TIMEOUT_MS 200
/* How long after the last refusal an engine is taken for ended. */
#define REFUSAL_VALID_MS 1000

typedef struct waiter {
	cb_report_done_fn_t fn;
	void *user_data;
} waiter_t;

/* A call for the report of one engine. */
typedef struct report_call {
	cb_engine_reports_t *reports;
	char *address;
	cb_timer_t *timer;
	GArray *waiters; /* of waiter_t */
} report_call_t;

/* The refusals of an engine's calls that followed each other. */
typedef struct refusals {
	int64_t first_ms;
	int64_t last_ms;
} refusals_t;

struct cb_engine_reports {
	cb_clock_t *clock;
	cb_engine_orders_t *orders;
	GHashTable *calls;    /* engine's address to report_call_t */
	GHashTable *refusals; /* engine's address to refusals_t */
	/* The call whose waiters' functions are being called, or NULL. */
	report_call_t *ending_call;
};

static void report_call_delete_(void *data)
{
	report_call_t *call = data;

	cb_timer_delete(call->timer);
	g_array_unref(call->waiters);
	g_free(call->address);
	g_free(call);
}

/* Creates the reports; `clock` and `orders` must outlive them. */
cb_engine_reports_t *cb_engine_reports_new(cb_clock_t *clock,
					   cb_engine_orders_t *orders)
{
	cb_engine_reports_t *reports = g_new0(cb_engine_reports_t, 1);

	reports->clock = clock;
	reports->orders = orders;
	reports->calls = g_hash_table_new(g_str_hash, g_str_equal);
	reports->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return reports;
}

/* Drops all calls; NULL is allowed. */
void cb_engine_reports_delete(cb_engine_reports_t *reports)
{
	GHashTableIter iter;
	void *call;

	if (!reports)
		return;
	g_hash_table_iter_init(&iter, reports->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call)) {
		reports->orders->vtable->cancel(reports->orders, call);
		report_call_delete_(call);
	}
	g_hash_table_unref(reports->calls);
	g_hash_table_unref(reports->refusals);
	g_free(reports);
}

/* Records whether an engine refused a call; anything else ends the series. */
static void refusal_record_(cb_engine_reports_t *reports, const char *address,
			    gboolean is_refused)
{
	int64_t now_ms = cb_clock_now_ms(reports->clock);
	refusals_t *refusals = g_hash_table_lookup(reports->refusals, address);

	if (!is_refused) {
		g_hash_table_remove(reports->refusals, address);
		return;
	}
	if (!refusals) {
		refusals = g_new0(refusals_t, 1);
		refusals->first_ms = now_ms;
		g_hash_table_insert(reports->refusals, g_strdup(address),
				    refusals);
	} else if (now_ms - refusals->last_ms > REFUSAL_VALID_MS) {
		refusals->first_ms = now_ms;
	}
	refusals->last_ms = now_ms;
}

void cb_engine_reports_hear(cb_engine_reports_t *reports, const char *address)
{
	if (g_hash_table_size(reports->refusals))
		g_hash_table_remove(reports->refusals, address);
}

gboolean cb_engine_reports_has_ended(const cb_engine_reports_t *reports,
				     const char *address)
{
	const refusals_t *refusals =
		g_hash_table_lookup(reports->refusals, address);

	return refusals &&
	       refusals->last_ms - refusals->first_ms >= CB_REFUSAL_PROOF_MS &&
	       cb_clock_now_ms(reports->clock) - refusals->last_ms <=
		       REFUSAL_VALID_MS;
}

gboolean cb_engine_reports_is_check_due(const cb_engine_reports_t *reports,
					const char *address)
{
	const refusals_t *refusals =
		g_hash_table_lookup(reports->refusals, address);

	return !refusals ||
	       cb_clock_now_ms(reports->clock) - refusals->last_ms >=
		       CB_REFUSAL_PROOF_MS;
}

/* Calls the functions of a call's waiters and deletes the call. */
static void report_call_end_(report_call_t *call, cb_report_result_t result,
			     const cb_engine_report_t *report)
{
	cb_engine_reports_t *reports = call->reports;

	g_hash_table_remove(reports->calls, call->address);
	if (result != CB_REPORT_UNMADE)
		refusal_record_(reports, call->address,
				result == CB_REPORT_FAILED);
	reports->ending_call = call;
	/* Each function may cancel other waiters, which removes them. */
	while (call->waiters->len) {
		waiter_t waiter = g_array_index(call->waiters, waiter_t, 0);

		g_array_remove_index(call->waiters, 0);
		waiter.fn(result, report, waiter.user_data);
	}
	reports->ending_call = NULL;
	report_call_delete_(call);
}

static void report_receive_(cb_report_result_t result,
			    const cb_engine_report_t *report, void *user_data)
{
	report_call_end_(user_data, result, report);
}

static void report_timer_fired_(void *user_data)
{
	report_call_t *call = user_data;

	call->reports->orders->vtable->cancel(call->reports->orders, call);
	report_call_end_(call, CB_REPORT_TIMEOUT, NULL);
}

void cb_engine_reports_request(cb_engine_reports_t *reports,
			       const char *address, cb_report_done_fn_t fn,
			       void *user_data)
{
	report_call_t *call = g_hash_table_lookup(reports->calls, address);
	waiter_t waiter = { fn, user_data };

	if (call) {
		g_array_append_val(call->waiters, waiter);
		return;
	}
	call = g_new0(report_call_t, 1);
	call->reports = reports;
	call->address = g_strdup(address);
	call->waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
	g_array_append_val(call->waiters, waiter);
	call->timer = cb_timer_new(reports->clock, report_timer_fired_, call);
	g_hash_table_insert(reports->calls, call->address, call);
	cb_timer_start(call->timer, REPORT_TIMEOUT_MS);
	reports->orders->vtable->report(reports->orders, address,
					report_receive_, call);
}

static void waiters_remove_(report_call_t *call, const void *user_data)
{
	unsigned int i = 0;

	while (i < call->waiters->len)
		if (g_array_index(call->waiters, waiter_t, i).user_data ==
		    user_data)
			g_array_remove_index(call->waiters, i);
		else
			i++;
}

void cb_engine_reports_cancel(cb_engine_reports_t *reports,
			      const void *user_data)
{
	GHashTableIter iter;
	void *call;

	g_hash_table_iter_init(&iter, reports->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		waiters_remove_(call, user_data);
	if (reports->ending_call)
		waiters_remove_(reports->ending_call, user_data);
}
