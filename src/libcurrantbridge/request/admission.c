#include "currantbridge/admission.h"

#define US_PER_S 1000000
/* A rate may be used this far ahead of an even flow. */
#define BURST_S 1

/* An allowance that fills at a rate and may go into debt. */
typedef struct bucket {
	double level;
	int64_t filled_at_us;
} bucket_t;

typedef struct usage {
	int64_t running;
	bucket_t requests;
	bucket_t tokens;
	int64_t requests_per_s;
	int64_t tokens_per_s;
} usage_t;

struct cb_admission {
	cb_clock_t *clock;
	GHashTable *by_workspace; /* usage_t */
};

struct cb_ticket {
	usage_t *usage;
};

/* Makes an admission under which nothing runs yet. */
cb_admission_t *cb_admission_new(cb_clock_t *clock)
{
	cb_admission_t *admission = g_new0(cb_admission_t, 1);

	admission->clock = clock;
	admission->by_workspace =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return admission;
}

/* Deletes it; every ticket must have been deleted before. */
void cb_admission_delete(cb_admission_t *admission)
{
	if (!admission)
		return;
	g_hash_table_unref(admission->by_workspace);
	g_free(admission);
}

/* Adds what has flowed in since the last fill; a rate of 0 has no limit. */
static void bucket_fill_(bucket_t *bucket, int64_t per_s, int64_t now_us)
{
	double most = (double)per_s * BURST_S;

	bucket->level += (double)per_s *
			 (double)(now_us - bucket->filled_at_us) / US_PER_S;
	bucket->filled_at_us = now_us;
	if (bucket->level > most)
		bucket->level = most;
}

/* Whole seconds until a bucket at `per_s` has reached `wanted` again. */
static int64_t bucket_wait_s_(const bucket_t *bucket, int64_t per_s,
			      double wanted)
{
	double wait_s = (wanted - bucket->level) / (double)per_s;

	return wait_s <= 1 ? 1 : (int64_t)wait_s + 1;
}

static usage_t *usage_get_(cb_admission_t *admission,
			   const cb_contract_t *contract)
{
	int64_t now_us = cb_clock_now_us(admission->clock);
	usage_t *usage = g_hash_table_lookup(admission->by_workspace,
					     contract->workspace);

	if (!usage) {
		usage = g_new0(usage_t, 1);
		usage->requests.level =
			(double)contract->ceiling_requests_per_s;
		usage->requests.filled_at_us = now_us;
		usage->tokens.level = (double)contract->ceiling_tokens_per_s;
		usage->tokens.filled_at_us = now_us;
		g_hash_table_insert(admission->by_workspace,
				    g_strdup(contract->workspace), usage);
	}
	usage->requests_per_s = contract->ceiling_requests_per_s;
	usage->tokens_per_s = contract->ceiling_tokens_per_s;
	bucket_fill_(&usage->requests, usage->requests_per_s, now_us);
	bucket_fill_(&usage->tokens, usage->tokens_per_s, now_us);
	return usage;
}

/*
 * Admits a request of the contract's workspace or refuses it at once.  A
 * limit of 0 in the contract means that there is none.
 */
cb_refusal_t cb_admission_admit(cb_admission_t *admission,
				const cb_contract_t *contract,
				cb_ticket_t **ticket, int64_t *retry_after_s)
{
	usage_t *usage = usage_get_(admission, contract);

	*ticket = NULL;
	*retry_after_s = 1;
	if (contract->concurrent_requests > 0 &&
	    usage->running >= contract->concurrent_requests)
		return CB_REFUSAL_CONCURRENCY_LIMIT;
	if (usage->requests_per_s > 0 && usage->requests.level < 1) {
		*retry_after_s = bucket_wait_s_(&usage->requests,
						usage->requests_per_s, 1);
		return CB_REFUSAL_RATE_LIMIT;
	}
	if (usage->tokens_per_s > 0 && usage->tokens.level <= 0) {
		*retry_after_s =
			bucket_wait_s_(&usage->tokens, usage->tokens_per_s, 1);
		return CB_REFUSAL_RATE_LIMIT;
	}
	usage->requests.level--;
	usage->running++;
	*ticket = g_new0(cb_ticket_t, 1);
	(*ticket)->usage = usage;
	return CB_REFUSAL_NONE;
}

/* Charges tokens that have come; the workspace may go into debt. */
void cb_ticket_charge(cb_ticket_t *ticket, int64_t tokens)
{
	ticket->usage->tokens.level -= (double)tokens;
}

/* Ends an admitted request; NULL is allowed. */
void cb_ticket_delete(cb_ticket_t *ticket)
{
	if (!ticket)
		return;
	ticket->usage->running--;
	g_free(ticket);
}
