#include "currantbridge/memory_bound.h"

#include <malloc.h>

/*
 * Of the memory of the process this much is for the program itself: its code, the
 * configuration document, the records of servers.  A process with little memory
 * keeps at least a quarter of it for others.
 */
#define PROGRAM_BYTES (24 * 1000 * 1000)
#define KEPT_MIN_DIVISOR 4
/*
 * One part in this many of the rest is kept; the allocator, copies and bytes in
 * sockets that are about to be read need the others.
 */
#define KEPT_DIVISOR 2
/* From this part of the bound on, as little as possible is kept. */
#define TIGHT_DIVISOR 2
/* Things give way until this part of the bound is kept, in eighths. */
#define RELIEVED_EIGHTHS 7
/* Bodies of requests are reserved up to this part of the bound, in quarters. */
#define RESERVED_QUARTERS 3
/* What keeps less does not give way: small requests go on. */
#define CLAIM_MIN_BYTES (32 * 1024)
/*
 * Larger blocks are mapped one by one, so that their memory returns to the system
 * when they are freed and pages that were not written occupy none.
 */
#define MAPPED_MIN_BYTES (128 * 1024)
#define HEAP_RETAINED_BYTES (2 * 1024 * 1024)
#define PAGE_BYTES 4096
/* An empty buffer that has allocated more is freed. */
#define EMPTY_BUFFER_MAX_BYTES (16 * 1024)
/* Interval of the checks while things give way, and its shortest duration. */
#define CHECK_INTERVAL_MS 50
#define GIVING_WAY_MIN_MS 1000

struct cb_memory_bound {
	cb_clock_t *clock;
	cb_log_t *log;
	cb_counters_t *counters; /* NULL: stopped */
	cb_timer_t *timer;	 /* has things give way */
	GPtrArray *holders;	 /* cb_memory_holder_t, not owned */
	uint64_t limit_bytes;
	uint64_t kept_bytes;
	int64_t kind_bytes[CB_MEMORY_KIND_COUNT]; /* of them */
	uint64_t reserved_bytes; /* for bodies that are arriving */
	uint64_t highest_bytes;	 /* kept since things began to give way */
	uint64_t given_way;	 /* things since then */
	cb_counter_t *kept_gauges[CB_MEMORY_KIND_COUNT];
	gboolean is_giving_way;
	int64_t begun_ms; /* when things began to give way */
	int64_t last_ms;  /* when something last did */
};

static const char *const kind_names[CB_MEMORY_KIND_COUNT] = {
	[CB_MEMORY_REQUESTS] = "requests", [CB_MEMORY_UNSENT] = "unsent",
	[CB_MEMORY_RECEIVED] = "received", [CB_MEMORY_ANSWERS] = "answers",
	[CB_MEMORY_SOCKETS] = "sockets",
};

/* Returns how many bytes are kept for others by a process with this memory. */
static uint64_t limit_compute_(uint64_t memory_bytes)
{
	uint64_t rest_bytes =
		memory_bytes > PROGRAM_BYTES ? memory_bytes - PROGRAM_BYTES : 0;

	return MAX(rest_bytes / KEPT_DIVISOR, memory_bytes / KEPT_MIN_DIVISOR);
}

/* Orders claims by rank, within a rank the largest first. */
static int claim_compare_(const void *a, const void *b)
{
	const cb_memory_claim_t *left = a;
	const cb_memory_claim_t *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->bytes == right->bytes)
		return 0;
	return left->bytes > right->bytes ? -1 : 1;
}

/* Has the first claims give way until enough room is free. */
static void claims_give_way_(cb_memory_bound_t *bound)
{
	uint64_t target_bytes = bound->limit_bytes / 8 * RELIEVED_EIGHTHS;
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(cb_memory_claim_t));
	unsigned int i;

	for (i = 0; i < bound->holders->len; i++) {
		cb_memory_holder_t *holder = bound->holders->pdata[i];

		if (holder->vtable->list_claims)
			holder->vtable->list_claims(holder, claims);
	}
	g_array_sort(claims, claim_compare_);
	for (i = 0; i < claims->len && bound->kept_bytes > target_bytes; i++) {
		const cb_memory_claim_t *claim =
			&g_array_index(claims, cb_memory_claim_t, i);
		const char *what;

		if (claim->bytes < CLAIM_MIN_BYTES)
			continue;
		what = claim->holder->vtable->give_way(claim->holder,
						       claim->item);
		if (what)
			cb_memory_bound_count(bound, what);
	}
	g_array_unref(claims);
}

/* Logs that things give way no more, once that has lasted for a while. */
static void end_check_(cb_memory_bound_t *bound)
{
	int64_t now_ms = cb_clock_now_ms(bound->clock);

	if (!bound->is_giving_way || cb_memory_bound_is_tight(bound) ||
	    now_ms - bound->last_ms < GIVING_WAY_MIN_MS)
		return;
	bound->is_giving_way = FALSE;
	cb_log_event(bound->log, CB_EVENT_MEMORY_RELIEVED,
		     CB_INT("kept_bytes", (int64_t)bound->kept_bytes),
		     CB_INT("highest_bytes", (int64_t)bound->highest_bytes),
		     CB_INT("bound_bytes", (int64_t)bound->limit_bytes),
		     CB_INT("given_way", (int64_t)bound->given_way),
		     CB_INT("lasted_ms", now_ms - bound->begun_ms));
}

/* Has things give way in their order, as far as needed. */
static void timer_fired_(void *user_data)
{
	cb_memory_bound_t *bound = user_data;
	unsigned int i;

	if (cb_memory_bound_is_tight(bound))
		for (i = 0; i < bound->holders->len; i++) {
			cb_memory_holder_t *holder = bound->holders->pdata[i];

			if (holder->vtable->stop_reading)
				holder->vtable->stop_reading(holder);
		}
	if (cb_memory_bound_is_full(bound))
		claims_give_way_(bound);
	end_check_(bound);
	if (bound->is_giving_way || cb_memory_bound_is_tight(bound))
		cb_timer_start_sooner(bound->timer, CHECK_INTERVAL_MS);
}

/* Creates the bound of a process with this memory; sets up its allocator. */
cb_memory_bound_t *cb_memory_bound_new(cb_clock_t *clock, cb_log_t *log,
				       cb_counters_t *counters,
				       uint64_t memory_bytes)
{
	cb_memory_bound_t *bound = g_new0(cb_memory_bound_t, 1);
	unsigned int i;

	(void)mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, HEAP_RETAINED_BYTES);
	bound->clock = clock;
	bound->log = log;
	bound->counters = counters;
	bound->timer = cb_timer_new(clock, timer_fired_, bound);
	bound->holders = g_ptr_array_new();
	bound->limit_bytes = limit_compute_(memory_bytes);
	for (i = 0; i < CB_MEMORY_KIND_COUNT; i++)
		bound->kept_gauges[i] =
			cb_counters_gauge(counters, "cb_memory_kept_bytes",
					  "kind", kind_names[i]);
	cb_counter_set(cb_counters_gauge(counters, "cb_memory_bound_bytes",
					 NULL, NULL),
		       (int64_t)bound->limit_bytes);
	return bound;
}

/*
 * Ends metrics and giving way, before the counters are freed; accounts may still be
 * closed.
 */
void cb_memory_bound_stop(cb_memory_bound_t *bound)
{
	if (!bound)
		return;
	bound->counters = NULL;
	cb_timer_stop(bound->timer);
}

/* Frees the bound, whose accounts must be closed; NULL is allowed. */
void cb_memory_bound_delete(cb_memory_bound_t *bound)
{
	if (!bound)
		return;
	cb_timer_delete(bound->timer);
	g_ptr_array_unref(bound->holders);
	g_free(bound);
}

/* Adds a holder to those that are asked to give way. */
void cb_memory_bound_add_holder(cb_memory_bound_t *bound,
				cb_memory_holder_t *holder)
{
	if (bound)
		g_ptr_array_add(bound->holders, holder);
}

/* Removes a holder, which is freed afterwards. */
void cb_memory_bound_remove_holder(cb_memory_bound_t *bound,
				   cb_memory_holder_t *holder)
{
	if (bound)
		g_ptr_array_remove(bound->holders, holder);
}

/* Returns the bytes that may be kept for others. */
uint64_t cb_memory_bound_limit_bytes(const cb_memory_bound_t *bound)
{
	return bound->limit_bytes;
}

/* Returns the bytes that are kept for others. */
uint64_t cb_memory_bound_kept_bytes(const cb_memory_bound_t *bound)
{
	return bound->kept_bytes;
}

/* Returns whether half of the bound is reached. */
gboolean cb_memory_bound_is_tight(const cb_memory_bound_t *bound)
{
	return bound && bound->kept_bytes >= bound->limit_bytes / TIGHT_DIVISOR;
}

/* Returns whether the bound is reached. */
gboolean cb_memory_bound_is_full(const cb_memory_bound_t *bound)
{
	return bound && bound->kept_bytes >= bound->limit_bytes;
}

/*
 * Counts something that gave way, and logs the begin of such a time: once, however
 * much follows.
 */
void cb_memory_bound_count(cb_memory_bound_t *bound, const char *what)
{
	if (!bound || !bound->counters)
		return;
	cb_counter_add(cb_counters_counter(bound->counters,
					   "cb_memory_given_way_total", "what",
					   what),
		       1);
	bound->last_ms = cb_clock_now_ms(bound->clock);
	bound->given_way++;
	if (bound->is_giving_way)
		return;
	bound->is_giving_way = TRUE;
	bound->begun_ms = bound->last_ms;
	bound->highest_bytes = bound->kept_bytes;
	bound->given_way = 1;
	cb_log_event(
		bound->log, CB_EVENT_MEMORY_GIVES_WAY, CB_STR("what", what),
		CB_INT("kept_bytes", (int64_t)bound->kept_bytes),
		CB_INT("bound_bytes", (int64_t)bound->limit_bytes),
		CB_INT("requests_bytes", bound->kind_bytes[CB_MEMORY_REQUESTS]),
		CB_INT("unsent_bytes", bound->kind_bytes[CB_MEMORY_UNSENT]),
		CB_INT("received_bytes", bound->kind_bytes[CB_MEMORY_RECEIVED]),
		CB_INT("answers_bytes", bound->kind_bytes[CB_MEMORY_ANSWERS]),
		CB_INT("sockets_bytes", bound->kind_bytes[CB_MEMORY_SOCKETS]));
	cb_timer_start_sooner(bound->timer, CHECK_INTERVAL_MS);
}

/* Sets room aside for bytes that will arrive; FALSE: there is none. */
gboolean cb_memory_bound_reserve(cb_memory_bound_t *bound, uint64_t bytes)
{
	if (!bound)
		return TRUE;
	if (bound->kept_bytes + bound->reserved_bytes + bytes >
	    bound->limit_bytes / 4 * RESERVED_QUARTERS)
		return FALSE;
	bound->reserved_bytes += bytes;
	return TRUE;
}

/* Gives back what was reserved and is counted otherwise, or is not needed. */
void cb_memory_bound_release(cb_memory_bound_t *bound, uint64_t bytes)
{
	if (bound)
		bound->reserved_bytes -= bytes;
}

/* Opens an account without bytes. */
void cb_memory_account_init(cb_memory_account_t *account,
			    cb_memory_bound_t *bound, cb_memory_kind_t kind)
{
	*account = (cb_memory_account_t){ .bound = bound, .kind = kind };
}

/* Sets the bytes of an account; too many have others give way soon. */
void cb_memory_account_set(cb_memory_account_t *account, size_t bytes)
{
	cb_memory_bound_t *bound = account->bound;
	gboolean was_full;
	gboolean was_tight;
	int64_t change;

	if (!bound || bytes == account->bytes)
		return;
	was_tight = cb_memory_bound_is_tight(bound);
	was_full = cb_memory_bound_is_full(bound);
	change = (int64_t)bytes - (int64_t)account->bytes;
	account->bytes = bytes;
	bound->kept_bytes = (uint64_t)((int64_t)bound->kept_bytes + change);
	bound->kind_bytes[account->kind] += change;
	bound->highest_bytes = MAX(bound->highest_bytes, bound->kept_bytes);
	if (!bound->counters)
		return;
	cb_counter_set(bound->kept_gauges[account->kind],
		       bound->kind_bytes[account->kind]);
	/* What gives way may be in use here: it does so from the main loop. */
	if ((!was_tight && cb_memory_bound_is_tight(bound)) ||
	    (!was_full && cb_memory_bound_is_full(bound)))
		cb_timer_start(bound->timer, 0);
}

/*
 * Returns what a buffer of GLib occupies for `length` bytes: it allocates powers of
 * two, and of a block that is mapped only the pages that were written count.
 */
static size_t buffer_size_compute_(size_t length)
{
	size_t size = 1;

	if (!length)
		return 0;
	if (length > MAPPED_MIN_BYTES)
		return (length + PAGE_BYTES - 1) / PAGE_BYTES * PAGE_BYTES;
	while (size < length)
		size <<= 1;
	return size;
}

/* Counts what a buffer that has grown to `length` bytes occupies. */
void cb_memory_account_grow(cb_memory_account_t *account, size_t length)
{
	if (account->bound && length > account->bytes)
		cb_memory_account_set(account, buffer_size_compute_(length));
}

/* Counts an array, and frees the memory of a large one that is empty. */
void cb_memory_account_array(cb_memory_account_t *account, GByteArray **array)
{
	if (!account->bound)
		return;
	if (!(*array)->len && account->bytes > EMPTY_BUFFER_MAX_BYTES) {
		g_byte_array_unref(*array);
		*array = g_byte_array_new();
		cb_memory_account_set(account, 0);
		return;
	}
	cb_memory_account_grow(account, (*array)->len);
}
