#ifndef CURRANTBRIDGE_MEMORY_BOUND_H
#define CURRANTBRIDGE_MEMORY_BOUND_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/counters.h"
#include "currantbridge/log.h"

/*
 * The bound on the bytes that a process keeps for others, and the order in which
 * they give way.  Whoever keeps such bytes has an account for them; a NULL bound
 * counts nothing and bounds nothing.
 */
typedef struct cb_memory_bound cb_memory_bound_t;

typedef enum cb_memory_kind {
	/* Callers' requests: unparsed input, bodies, copies being sent. */
	CB_MEMORY_REQUESTS,
	CB_MEMORY_UNSENT,   /* answers that callers have not read */
	CB_MEMORY_RECEIVED, /* unparsed input from servers */
	CB_MEMORY_ANSWERS,  /* incomplete answers and events */
	/* An estimate of what paused connections hold in their sockets. */
	CB_MEMORY_SOCKETS,
	CB_MEMORY_KIND_COUNT
} cb_memory_kind_t;

/* The bytes that one holder keeps, as far as they are counted. */
typedef struct cb_memory_account {
	cb_memory_bound_t *bound; /* NULL: not counted */
	cb_memory_kind_t kind;
	size_t bytes;
} cb_memory_account_t;

/* Those with a lower rank give way first; within a rank, the largest. */
typedef enum cb_memory_rank {
	CB_MEMORY_RANK_ARRIVING, /* requests that have not arrived whole */
	CB_MEMORY_RANK_ACTIVE,	 /* requests and answers under way */
} cb_memory_rank_t;

/* One thing that may give way, and the bytes that this frees. */
typedef struct cb_memory_claim {
	struct cb_memory_holder *holder;
	void *item; /* of the holder; may have ended meanwhile */
	size_t bytes;
	cb_memory_rank_t rank;
} cb_memory_claim_t;

typedef struct cb_memory_holder {
	const struct cb_memory_holder_vtable *vtable;
} cb_memory_holder_t;

typedef struct cb_memory_holder_vtable {
	/* Stops reading for those that don't take what was read; may be NULL. */
	void (*stop_reading)(cb_memory_holder_t *holder);
	/* Adds a cb_memory_claim_t for all that may give way; may be NULL. */
	void (*list_claims)(cb_memory_holder_t *holder, GArray *claims);
	/* Ends an item; returns what gave way, NULL: it had ended before. */
	const char *(*give_way)(cb_memory_holder_t *holder, void *item);
} cb_memory_holder_vtable_t;

/* `memory_bytes` is the memory of the whole process, of which a part is kept. */
cb_memory_bound_t *cb_memory_bound_new(cb_clock_t *clock, cb_log_t *log,
				       cb_counters_t *counters,
				       uint64_t memory_bytes);
/* Ends metrics and giving way: called before the counters are freed. */
void cb_memory_bound_stop(cb_memory_bound_t *bound);
void cb_memory_bound_delete(cb_memory_bound_t *bound);
/* Adds a holder, which must outlive the bound or be removed. */
void cb_memory_bound_add_holder(cb_memory_bound_t *bound,
				cb_memory_holder_t *holder);
void cb_memory_bound_remove_holder(cb_memory_bound_t *bound,
				   cb_memory_holder_t *holder);
uint64_t cb_memory_bound_limit_bytes(const cb_memory_bound_t *bound);
uint64_t cb_memory_bound_kept_bytes(const cb_memory_bound_t *bound);
/* Returns whether as little as possible is to be kept. */
gboolean cb_memory_bound_is_tight(const cb_memory_bound_t *bound);
/* Returns whether the bound is reached: nothing new is begun. */
gboolean cb_memory_bound_is_full(const cb_memory_bound_t *bound);
/* Records that something gave way, by a name for the counter's label. */
void cb_memory_bound_count(cb_memory_bound_t *bound, const char *what);
/*
 * Sets a part of the bound aside for bytes that will arrive, if there is room for
 * them; the caller gives it back with cb_memory_bound_release().
 */
gboolean cb_memory_bound_reserve(cb_memory_bound_t *bound, uint64_t bytes);
void cb_memory_bound_release(cb_memory_bound_t *bound, uint64_t bytes);

void cb_memory_account_init(cb_memory_account_t *account,
			    cb_memory_bound_t *bound, cb_memory_kind_t kind);
/* Sets the bytes that are kept; 0 closes the account. */
void cb_memory_account_set(cb_memory_account_t *account, size_t bytes);
/*
 * Counts what a growing buffer of GLib has allocated for `length` bytes; it keeps
 * that when it shrinks.
 */
void cb_memory_account_grow(cb_memory_account_t *account, size_t length);
/* Counts an array; one that is empty and was large is replaced by a new one. */
void cb_memory_account_array(cb_memory_account_t *account, GByteArray **array);

#endif
