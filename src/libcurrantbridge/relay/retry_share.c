#include "private/retry_share.h"

/*
 * The fractions of the budget that all instances together use while they
 * receive each other's counts, and while they don't.
 */
#define COORDINATED_FRACTION 0.75
#define UNCOORDINATED_FRACTION 0.25
/* How long the summed counts of the other instances are used. */
#define SUM_VALID_MS 1000
/*
 * A report takes some rounds to reach all instances: from an entry to its
 * control instance, to the other control instances, and to their entries.
 * Dividing the remaining retries by this many rounds keeps all instances
 * together within the budget when the sums arrive that late.
 */
#define REPORT_DELAY_ROUNDS 4
/*
 * A sum with a smaller part of the requests in the last one lacks instances: a
 * control instance sends it before the others' reports have reached it.
 */
#define COMPLETE_FRACTION 0.7
/*
 * Within this time all instances have found another control instance, so that
 * sums are complete again; an instance that has no former sum waits for it.
 */
#define SETTLE_MS 3000
/* A window is divided into slots; one more slot is in progress. */
#define WINDOW_SLOTS 10
#define SLOT_COUNT (WINDOW_SLOTS + 1)

/* The counts of one service within the last window. */
typedef struct service_counts {
	uint32_t requests[SLOT_COUNT];
	uint32_t retries[SLOT_COUNT];
	int64_t slot; /* newest slot, counted from the clock's start */
	/*
	 * Retries allowed until the next sum of all instances' usage arrives.
	 */
	double allowance;
	/* When the last complete sum of all instances' usage arrived; 0: never. */
	int64_t sum_received_ms;
	uint32_t sum_requests; /* the requests in that sum */
	/* Since when sums, complete or not, have arrived without a pause. */
	int64_t sums_since_ms;
	/* When the last sum, complete or not, arrived; 0: never. */
	int64_t any_sum_ms;
} service_counts_t;

struct cb_retry_share {
	cb_clock_t *clock;
	cb_retry_share_budget_t budget;
	unsigned int instances;
	GHashTable *by_service; /* map: service name to service_counts_t */
};

/* Creates a share; its instance counts as the only one at first. */
cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock,
				     const cb_retry_share_budget_t *budget)
{
	cb_retry_share_t *share = g_new0(cb_retry_share_t, 1);

	share->clock = clock;
	share->budget = *budget;
	share->instances = 1;
	share->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return share;
}

/* Frees a share; NULL is allowed. */
void cb_retry_share_delete(cb_retry_share_t *share)
{
	if (!share)
		return;
	g_hash_table_unref(share->by_service);
	g_free(share);
}

/*
 * Sets among how many instances the budget is divided.  The number never
 * decreases: instances that were just cut off still use their shares.
 */
void cb_retry_share_set_instances(cb_retry_share_t *share,
				  unsigned int instances)
{
	share->instances = MAX(share->instances, instances);
}

/* Advances to the current slot and clears the slots since the last call. */
static void slots_advance_(const cb_retry_share_t *share,
			   service_counts_t *counts)
{
	int64_t slot = cb_clock_now_ms(share->clock) * WINDOW_SLOTS /
		       share->budget.window_ms;

	if (slot - counts->slot >= SLOT_COUNT)
		counts->slot = slot - SLOT_COUNT;
	while (counts->slot < slot) {
		counts->slot++;
		counts->requests[counts->slot % SLOT_COUNT] = 0;
		counts->retries[counts->slot % SLOT_COUNT] = 0;
	}
}

/* Returns the counts of a service up to now, creating them if needed. */
static service_counts_t *service_counts_get_(cb_retry_share_t *share,
					     const char *service)
{
	service_counts_t *counts =
		g_hash_table_lookup(share->by_service, service);

	if (!counts) {
		counts = g_new0(service_counts_t, 1);
		g_hash_table_insert(share->by_service, g_strdup(service),
				    counts);
	}
	slots_advance_(share, counts);
	return counts;
}

static uint32_t slots_sum_(const uint32_t *slots)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = 0; i < SLOT_COUNT; i++)
		sum += slots[i];
	return sum;
}

/* Counts a request for a service. */
void cb_retry_share_count_request(cb_retry_share_t *share, const char *service)
{
	service_counts_t *counts = service_counts_get_(share, service);

	counts->requests[counts->slot % SLOT_COUNT]++;
}

/* Returns whether a retry is allowed by this instance's counts alone. */
static gboolean local_retry_is_allowed_(const cb_retry_share_t *share,
					const service_counts_t *counts)
{
	double limit =
		UNCOORDINATED_FRACTION * share->budget.extra / share->instances;

	return slots_sum_(counts->retries) + 1 <= limit;
}

/* Returns whether the sum of all instances' counts is recent. */
static gboolean sum_is_valid_(const cb_retry_share_t *share,
			      const service_counts_t *counts)
{
	return counts->sum_received_ms &&
	       cb_clock_now_ms(share->clock) - counts->sum_received_ms <=
		       SUM_VALID_MS;
}

/* Returns whether a retry is left, without counting one. */
gboolean cb_retry_share_has_retry(cb_retry_share_t *share, const char *service)
{
	const service_counts_t *counts = service_counts_get_(share, service);

	return sum_is_valid_(share, counts) ?
		       counts->allowance >= 1 :
		       local_retry_is_allowed_(share, counts);
}

/* Counts one retry; returns FALSE, uncounted, if no retry is left. */
gboolean cb_retry_share_take_retry(cb_retry_share_t *share, const char *service)
{
	service_counts_t *counts = service_counts_get_(share, service);

	if (!cb_retry_share_has_retry(share, service))
		return FALSE;
	if (sum_is_valid_(share, counts))
		counts->allowance -= 1;
	counts->retries[counts->slot % SLOT_COUNT]++;
	return TRUE;
}

/* Adds the counts of each service to the usage that is reported. */
void cb_retry_share_add_usage(cb_retry_share_t *share, cb_usage_t *usage)
{
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, share->by_service);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		const service_counts_t *counts =
			service_counts_get_(share, service);
		const cb_usage_sends_t sends = {
			.requests = slots_sum_(counts->requests),
			.retries = slots_sum_(counts->retries),
		};

		cb_usage_add_sends(usage, service, &sends);
	}
}

/*
 * Returns whether a sum that arrives now tells of nearly all instances: by the
 * requests in it, or since control had time to hear of all.
 */
static gboolean sum_is_complete_(const cb_retry_share_t *share,
				 service_counts_t *counts,
				 const cb_usage_sends_t *sends)
{
	int64_t now_ms = cb_clock_now_ms(share->clock);
	gboolean has_former = counts->sum_received_ms &&
			      now_ms - counts->sum_received_ms < SETTLE_MS;

	if (!counts->any_sum_ms || now_ms - counts->any_sum_ms > SUM_VALID_MS)
		counts->sums_since_ms = now_ms;
	counts->any_sum_ms = now_ms;
	if (has_former)
		return sends->requests >=
		       COMPLETE_FRACTION * counts->sum_requests;
	return now_ms - counts->sums_since_ms >= SETTLE_MS;
}

/* Sets the retry allowance of each service from all instances' summed usage. */
void cb_retry_share_update(cb_retry_share_t *share, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, share->by_service);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		service_counts_t *counts = service_counts_get_(share, service);
		cb_usage_sends_t sends = cb_usage_find_sends(sum, service);
		double allowance;
		double remaining;

		if (!sum_is_complete_(share, counts, &sends))
			continue;
		remaining = COORDINATED_FRACTION *
				    (share->budget.extra +
				     share->budget.ratio * sends.requests) -
			    sends.retries;
		allowance = MAX(remaining, 0) /
			    (REPORT_DELAY_ROUNDS * share->instances);
		/*
		 * With many instances, each new sum may allow an instance less
		 * than one retry.  An instance adds up these fractions over
		 * several sums, to at most one retry.  If the instances exceed
		 * COORDINATED_FRACTION of the budget that way, the reserve of
		 * UNCOORDINATED_FRACTION covers the excess.
		 */
		if (allowance < 1)
			allowance =
				MIN(allowance + MIN(counts->allowance, 1), 1);
		counts->allowance = allowance;
		counts->sum_received_ms = cb_clock_now_ms(share->clock);
		counts->sum_requests = sends.requests;
	}
}
