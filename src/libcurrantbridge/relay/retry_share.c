#include "private/retry_share.h"

/* The parts of the bound for instances that know the others, and not. */
#define KNOWN_PART 0.75
#define ALONE_PART 0.25
/* A word on the others' counts holds for so long. */
#define KNOWN_MS 1000
/*
 * Between two words of the others, all instances together spend no more than
 * is left even when the word on it comes some rounds late: from an entry to
 * its control instance, to the others, and from those to their entries.
 */
#define ROUNDS_AHEAD 4
/* A window is counted in slots, with one more that is still filling. */
#define WINDOW_SLOTS 10
#define SLOTS (WINDOW_SLOTS + 1)

/* What happened to one service within the last window. */
typedef struct counts {
	uint32_t requests[SLOTS];
	uint32_t retries[SLOTS];
	int64_t slot; /* the newest one, in slots since the clock's start */
	/* What may be spent until the next word of the others. */
	double allowance;
	int64_t learned_ms; /* 0: never */
} counts_t;

struct cb_retry_share {
	cb_clock_t *clock;
	cb_retry_bound_t bound;
	unsigned int instances;
	GHashTable *by_service;
};

/* Makes a share of the bound; it counts as the only instance at first. */
cb_retry_share_t *cb_retry_share_new(cb_clock_t *clock,
				     const cb_retry_bound_t *bound)
{
	cb_retry_share_t *share = g_new0(cb_retry_share_t, 1);

	share->clock = clock;
	share->bound = *bound;
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
 * Sets among how many instances the bound is divided.  It never grows one
 * instance's part: others that were just cut off still use theirs.
 */
void cb_retry_share_instances(cb_retry_share_t *share, unsigned int instances)
{
	share->instances = MAX(share->instances, instances);
}

/* Empties the slots that have passed since the last count. */
static void slots_advance_(const cb_retry_share_t *share, counts_t *counts)
{
	int64_t slot = cb_clock_now_ms(share->clock) * WINDOW_SLOTS /
		       share->bound.window_ms;

	if (slot - counts->slot >= SLOTS)
		counts->slot = slot - SLOTS;
	while (counts->slot < slot) {
		counts->slot++;
		counts->requests[counts->slot % SLOTS] = 0;
		counts->retries[counts->slot % SLOTS] = 0;
	}
}

static counts_t *counts_(cb_retry_share_t *share, const char *service)
{
	counts_t *counts = g_hash_table_lookup(share->by_service, service);

	if (!counts) {
		counts = g_new0(counts_t, 1);
		g_hash_table_insert(share->by_service, g_strdup(service),
				    counts);
	}
	slots_advance_(share, counts);
	return counts;
}

static uint32_t sum_(const uint32_t *slots)
{
	uint32_t sum = 0;
	unsigned int i;

	for (i = 0; i < SLOTS; i++)
		sum += slots[i];
	return sum;
}

/* Counts a request for a service. */
void cb_retry_share_request(cb_retry_share_t *share, const char *service)
{
	counts_t *counts = counts_(share, service);

	counts->requests[counts->slot % SLOTS]++;
}

/* Whether this instance alone may spend one more. */
static gboolean is_free_alone_(const cb_retry_share_t *share,
			       const counts_t *counts)
{
	double most = ALONE_PART * share->bound.extra / share->instances;

	return sum_(counts->retries) + 1 <= most;
}

/* Takes a retry; FALSE, taking none, when none is left. */
gboolean cb_retry_share_take(cb_retry_share_t *share, const char *service)
{
	counts_t *counts = counts_(share, service);
	int64_t age_ms = cb_clock_now_ms(share->clock) - counts->learned_ms;
	gboolean knows = counts->learned_ms && age_ms <= KNOWN_MS;

	if (knows ? counts->allowance < 1 : !is_free_alone_(share, counts))
		return FALSE;
	if (knows)
		counts->allowance -= 1;
	counts->retries[counts->slot % SLOTS]++;
	return TRUE;
}

void cb_retry_share_tell(cb_retry_share_t *share, cb_usage_t *usage)
{
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, share->by_service);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		const counts_t *counts = counts_(share, service);
		const cb_usage_sends_t sends = { sum_(counts->requests),
						 sum_(counts->retries) };

		cb_usage_add_sends(usage, service, &sends);
	}
}

void cb_retry_share_learn(cb_retry_share_t *share, const cb_usage_t *sum)
{
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, share->by_service);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		counts_t *counts = counts_(share, service);
		cb_usage_sends_t sends = cb_usage_find_sends(sum, service);
		double allowance;
		double left =
			KNOWN_PART * (share->bound.extra +
				      share->bound.ratio * sends.requests) -
			sends.retries;

		allowance = MAX(left, 0) / (ROUNDS_AHEAD * share->instances);
		/*
		 * With many instances a round allows each less than one: parts
		 * add up to one, which the part for those alone covers.
		 */
		if (allowance < 1)
			allowance =
				MIN(allowance + MIN(counts->allowance, 1), 1);
		counts->allowance = allowance;
		counts->learned_ms = cb_clock_now_ms(share->clock);
	}
}
