#ifndef CURRANTBRIDGE_ALLOCATION_H
#define CURRANTBRIDGE_ALLOCATION_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/clock.h"
#include "currantbridge/contract.h"

/*
 * Divides the limits of a contract among the entry instances.  A fixed part
 * of each limit, the floor, is split evenly among the instances that the
 * address answer lists; it is available without contact to control.  The
 * leader of control grants the rest as short leases, by demand.  The sum of
 * all unexpired leases never exceeds the contract's limit less the floors.
 */

/* Thousandths of each limit that are split evenly as floors. */
#define CB_FLOOR_PER_MILLE 100
/* How long a lease is valid. */
#define CB_LEASE_MS 2000
/* How often an entry instance reports its demand. */
#define CB_DEMAND_INTERVAL_MS 500

/* One amount for each kind of limit that a contract sets. */
typedef struct cb_amount {
	int64_t tokens_per_s;
	int64_t requests_per_s;
	int64_t concurrent; /* requests that run at the same time */
} cb_amount_t;

/* The leases that a leader has granted; each leadership has a new book. */
typedef struct cb_lease_book cb_lease_book_t;

/*
 * `leader_since_ms` is when leadership began.  Leases of the previous leader
 * may be valid until CB_LEASE_MS later, so nothing is granted before then.
 */
cb_lease_book_t *cb_lease_book_new(cb_clock_t *clock, int64_t leader_since_ms);
void cb_lease_book_delete(cb_lease_book_t *book);

/* What an instance reports for one workspace. */
typedef struct cb_demand {
	/* amount requested in addition to the instance's floor */
	cb_amount_t requested;
	cb_amount_t leased; /* unexpired lease, as the instance knows it */
} cb_demand_t;

/*
 * Grants an instance a lease in answer to its demand: the amount that it may
 * use in addition to its floor until CB_LEASE_MS after it sent the demand.
 * The lease replaces the previous one.  If the answer is lost, the instance
 * keeps using its previous lease, so the larger of both counts as granted
 * until the next demand.
 */
cb_amount_t cb_lease_book_grant(cb_lease_book_t *book,
				const cb_contract_t *contract,
				const char *instance, cb_demand_t demand);

/* Returns the floor of one of `count` instances; 0 if `count` is 0. */
cb_amount_t cb_contract_floor(const cb_contract_t *contract, uint32_t count);

/*
 * The entry instance's side: how much of each contract's limits it may use,
 * as the sum of its floor and its lease.
 */
typedef struct cb_share_table cb_share_table_t;

cb_share_table_t *cb_share_table_new(cb_clock_t *clock);
void cb_share_table_delete(cb_share_table_t *table);

/*
 * Sets the floor from the workspace's address answer, which lists `count`
 * instances; `is_picked` is whether this one is among them.
 */
void cb_share_table_set_floor(cb_share_table_t *table,
			      const cb_contract_t *contract, uint32_t count,
			      gboolean is_picked);
/* Stores the lease granted in answer to the demand sent at `sent_ms`. */
void cb_share_table_set_lease(cb_share_table_t *table, const char *workspace,
			      cb_amount_t granted, int64_t sent_ms);
/* Returns what this instance may use now: its floor plus its lease. */
cb_amount_t cb_share_table_limits(cb_share_table_t *table,
				  const char *workspace);
/* Returns the demand to report if the instance needs `wanted` in total. */
cb_demand_t cb_share_table_demand(cb_share_table_t *table,
				  const char *workspace, cb_amount_t wanted);

#endif
