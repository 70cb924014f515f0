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
 * A sum may lack retries that were taken within this time: each report waits
 * for the next sum of its control instance, and that for those of the others.
 * What is left is allowed once in this time, however often sums arrive: while
 * servers are suspected, they come sooner, but know no more.
 */
#define REPORT_DELAY_MS 1000
/* Retries within REPORT_DELAY_MS are counted in slots; one is in progress. */
#define RECENT_SLOT_MS 100
#define RECENT_SLOT_COUNT (REPORT_DELAY_MS / RECENT_SLOT_MS + 1)
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
/*
 * A window is divided into slots.  Requests count for no longer than a window,
 * the slot in progress included.  Retries count for a slot longer than a window
 * at least: a server that stands still takes them later than they were sent.
 */
#define WINDOW_SLOTS 10
#define SLOT_COUNT (WINDOW_SLOTS + 2)
/* All instances' requests are known for this window and the one before it. */
#define HISTORY_SLOTS (2 * WINDOW_SLOTS)

/* The counts of one service within the last window. */
typedef struct service_counts {
	uint32_t requests[SLOT_COUNT];
	uint32_t retries[SLOT_COUNT];
	int64_t slot; /* newest slot, counted from the clock's start */
	uint32_t recent_retries[RECENT_SLOT_COUNT];
	int64_t recent_slot;
	/*
	 * Retries that all instances together had left, by the last complete
	 * sum, divided by the instances.
	 */
	double allowance;
	/*
	 * An allowance below one retry lets one through if it is above this
	 * random number, which is drawn again after REPORT_DELAY_MS.
	 */
	double turn;
	int64_t turn_since_ms; /* 0: none was drawn */
	/* When the last complete sum of all instances' usage arrived; 0: never. */
	int64_t sum_received_ms;
	uint32_t sum_requests; /* the requests in that sum */
	/* All instances' requests in each slot, as far as sums show them. */
	uint32_t history[HISTORY_SLOTS];
	int64_t history_slot;
	/* Since when sums, complete or not, have arrived without a pause. */
	int64_t sums_since_ms;
	/* When the last sum, complete or not, arrived; 0: never. */
	int64_t any_sum_ms;
} service_counts_t;

struct cb_retry_share {
	cb_clock_t *clock;
	GRand *random;
	cb_retry_share_budget_t budget;
	unsigned int instances;
	GHashTable *by_service; /* map: service name to service_counts_t */
};

/* Creates a share; its instance counts as the only one at first. */
cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock, GRand *random,
				     const cb_retry_share_budget_t *budget)
{
	cb_retry_share_t *share = g_new0(cb_retry_share_t, 1);

	share->clock = clock;
	share->random = random;
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

/* Advances to the current slots and clears the slots since the last call. */
static void slots_advance_(const cb_retry_share_t *share,
			   service_counts_t *counts)
{
	int64_t now_ms = cb_clock_now_ms(share->clock);
	int64_t slot = now_ms * WINDOW_SLOTS / share->budget.window_ms;
	int64_t recent_slot = now_ms / RECENT_SLOT_MS;

	counts->slot = MAX(counts->slot, slot - SLOT_COUNT);
	while (counts->slot < slot) {
		counts->slot++;
		counts->requests[counts->slot % SLOT_COUNT] = 0;
		counts->retries[counts->slot % SLOT_COUNT] = 0;
	}
	counts->recent_slot =
		MAX(counts->recent_slot, recent_slot - RECENT_SLOT_COUNT);
	while (counts->recent_slot < recent_slot) {
		counts->recent_slot++;
		counts->recent_retries[counts->recent_slot %
				       RECENT_SLOT_COUNT] = 0;
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

static uint32_t slots_sum_(const uint32_t *slots, unsigned int count)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = 0; i < count; i++)
		sum += slots[i];
	return sum;
}

/* Returns the requests of the last window. */
static uint32_t requests_count_(const service_counts_t *counts)
{
	uint32_t sum = 0;
	int64_t i;

	for (i = 0; i < MIN(WINDOW_SLOTS, counts->slot + 1); i++)
		sum += counts->requests[(counts->slot - i) % SLOT_COUNT];
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

	return slots_sum_(counts->retries, SLOT_COUNT) + 1 <= limit;
}

/* Returns whether the sum of all instances' counts is recent. */
static gboolean sum_is_valid_(const cb_retry_share_t *share,
			      const service_counts_t *counts)
{
	return counts->sum_received_ms &&
	       cb_clock_now_ms(share->clock) - counts->sum_received_ms <=
		       SUM_VALID_MS;
}

/*
 * Returns whether the allowance has room for a retry beside those that the sum
 * may lack.  Below one retry, only some of the instances take one: if each saved
 * up its fractions, all could spend them at the same moment.
 */
static gboolean allowance_is_left_(const cb_retry_share_t *share,
				   service_counts_t *counts)
{
	int64_t now_ms = cb_clock_now_ms(share->clock);
	uint32_t recent = slots_sum_(counts->recent_retries, RECENT_SLOT_COUNT);

	if (counts->allowance >= 1)
		return recent + 1 <= counts->allowance;
	if (!counts->turn_since_ms ||
	    now_ms - counts->turn_since_ms >= REPORT_DELAY_MS) {
		counts->turn = g_rand_double(share->random);
		counts->turn_since_ms = now_ms;
	}
	return !recent && counts->turn < counts->allowance;
}

/* Returns whether a retry is left, without counting one. */
gboolean cb_retry_share_has_retry(cb_retry_share_t *share, const char *service)
{
	service_counts_t *counts = service_counts_get_(share, service);

	return sum_is_valid_(share, counts) ?
		       allowance_is_left_(share, counts) :
		       local_retry_is_allowed_(share, counts);
}

/* Counts one retry; returns FALSE, uncounted, if no retry is left. */
gboolean cb_retry_share_take_retry(cb_retry_share_t *share, const char *service)
{
	service_counts_t *counts = service_counts_get_(share, service);

	if (!cb_retry_share_has_retry(share, service))
		return FALSE;
	counts->retries[counts->slot % SLOT_COUNT]++;
	counts->recent_retries[counts->recent_slot % RECENT_SLOT_COUNT]++;
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
			.requests = requests_count_(counts),
			.retries = slots_sum_(counts->retries, SLOT_COUNT),
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

/* Returns the requests from `first` to before `end` slots ago. */
static uint32_t history_sum_(const service_counts_t *counts, int64_t first,
			     int64_t end)
{
	uint32_t sum = 0;
	int64_t i;

	for (i = MAX(first, 0); i < MIN(end, counts->history_slot + 1); i++)
		sum += counts->history[(counts->history_slot - i) %
				       HISTORY_SLOTS];
	return sum;
}

/* Records as the current slot's what the former slots of a window lack. */
static void history_record_(service_counts_t *counts, uint32_t requests)
{
	uint32_t known;

	counts->history_slot =
		MAX(counts->history_slot, counts->slot - HISTORY_SLOTS);
	while (counts->history_slot < counts->slot) {
		counts->history_slot++;
		counts->history[counts->history_slot % HISTORY_SLOTS] = 0;
	}
	known = history_sum_(counts, 1, WINDOW_SLOTS);
	counts->history[counts->history_slot % HISTORY_SLOTS] =
		requests - MIN(known, requests);
}

/*
 * Returns the requests that any window with a retry sent now has at least: in it,
 * the one before, or half a window before, whichever has most.  Where requests come
 * and go, a window that begins at another time has far fewer than the last one.
 */
static uint32_t history_find_least_(const service_counts_t *counts)
{
	uint32_t least = UINT32_MAX;
	int64_t i;

	/*
	 * The window begins in the slot `i` slots ago; slots that may be cut by
	 * the ends of half a window before don't count.
	 */
	for (i = 0; i <= WINDOW_SLOTS; i++) {
		uint32_t within = history_sum_(counts, 0, i);
		uint32_t half = history_sum_(counts, i - WINDOW_SLOTS / 2 + 1,
					     i + WINDOW_SLOTS / 2);
		uint32_t before = history_sum_(counts, i, i + WINDOW_SLOTS);

		least = MIN(least, MAX(within, MAX(half, before)));
	}
	return least;
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
		uint32_t requests;
		double remaining;

		if (!sum_is_complete_(share, counts, &sends))
			continue;
		history_record_(counts, sends.requests);
		requests = MIN(sends.requests, history_find_least_(counts));
		remaining = COORDINATED_FRACTION *
				    (share->budget.extra +
				     share->budget.ratio * requests) -
			    sends.retries;
		counts->allowance = MAX(remaining, 0) / share->instances;
		counts->sum_received_ms = cb_clock_now_ms(share->clock);
		counts->sum_requests = sends.requests;
	}
}
