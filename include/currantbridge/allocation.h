#ifndef CURRANTBRIDGE_ALLOCATION_H
#define CURRANTBRIDGE_ALLOCATION_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/contract.h"

/*
 * How the limits of a contract are shared among entry instances.  A fixed
 * part, the floor, belongs to the instances that the address answer names
 * and needs no word from control.  The leader of control lends the rest for
 * a short time, by demand.  What it has lent and what has not expired never
 * exceeds the contract's ceiling less the floors.
 */

/* Thousandths of each limit that are shared evenly as floors. */
#define CB_FLOOR_PER_MILLE 100
/* How long a lease holds. */
#define CB_LEASE_MS 2000
/* How often an entry instance reports its demand. */
#define CB_DEMAND_INTERVAL_MS 500

/* An amount of each of the limits that a contract sets. */
typedef struct cb_amount {
	int64_t tokens_per_s;
	int64_t requests_per_s;
	int64_t concurrent;
} cb_amount_t;

/* The leader's book of what it has lent; one for each leadership. */
typedef struct cb_lease_book cb_lease_book_t;

/*
 * `lender_since_ms` is when leadership began: leases of the leader before
 * may hold until CB_LEASE_MS later, so nothing is lent until then.
 */
cb_lease_book_t *cb_lease_book_new(cb_clock_t *clock, int64_t lender_since_ms);
void cb_lease_book_delete(cb_lease_book_t *book);

/* What an instance reports for one workspace. */
typedef struct cb_demand {
	cb_amount_t wanted; /* beside its floor */
	cb_amount_t held;   /* lent to it and not expired, as it knows */
} cb_demand_t;

/*
 * Answers an instance's demand under a contract: what it may use beside its
 * floor until CB_LEASE_MS after it sent the demand.  This replaces the lease
 * before; should the answer be lost, the instance goes on with what it held,
 * so the larger of both counts as lent until the next demand.
 */
cb_amount_t cb_lease_book_lend(cb_lease_book_t *book,
			       const cb_contract_t *contract,
			       const char *instance, cb_demand_t demand);

/* The floor of one of `count` instances, or nothing if `count` is 0. */
cb_amount_t cb_floor(const cb_contract_t *contract, uint32_t count);

/*
 * An entry instance's side: what it may use of each contract, from its floor
 * and its leases.
 */
typedef struct cb_share_table cb_share_table_t;

cb_share_table_t *cb_share_table_new(cb_clock_t *clock);
void cb_share_table_delete(cb_share_table_t *table);

/*
 * Notes that the workspace's address answer names `count` instances, and
 * whether this one is among them.
 */
void cb_share_table_set_floor(cb_share_table_t *table,
			      const cb_contract_t *contract, uint32_t count,
			      gboolean is_named);
/* Takes a lease that answers the demand sent at `sent_ms`. */
void cb_share_table_lease(cb_share_table_t *table, const char *workspace,
			  cb_amount_t granted, int64_t sent_ms);
/* What this instance may use now: the floor and what is lent to it. */
cb_amount_t cb_share_table_limits(cb_share_table_t *table,
				  const char *workspace);
/* The demand to report, for a total that is wanted. */
cb_demand_t cb_share_table_demand(cb_share_table_t *table,
				  const char *workspace, cb_amount_t wanted);

#endif
