#ifndef PRIVATE_SERVER_BOOK_H
#define PRIVATE_SERVER_BOOK_H

#include "currantbridge/chain.h"
#include "currantbridge/clock.h"
#include "currantbridge/dialect.h"
#include "currantbridge/document.h"
#include "currantbridge/fleet.h"
#include "currantbridge/view.h"
#include "private/rate_limits.h"
#include "private/reach.h"
#include "private/server_pace.h"
#include "private/usage.h"

/*
 * An entry instance's records of the backend servers, in addition to what they
 * announce: the requests in flight there, the load that they reported and how
 * requests ended.  It chooses the servers of each attempt by these records.
 */
typedef struct cb_server_book cb_server_book_t;

typedef enum cb_book_outcome {
	CB_BOOK_FOUND,
	CB_BOOK_NO_SERVER, /* no usable server, or a layer on no server */
	CB_BOOK_NO_ROOM,   /* no chain has the token capacity */
} cb_book_outcome_t;

/* The criteria that the chosen servers must meet. */
typedef struct cb_book_criteria {
	const cb_service_profile_t *service;
	/* Estimated tokens in the KV cache at the end of the request. */
	double tokens;
	/* Set of the IDs of the servers that must not be chosen. */
	GHashTable *excluded_servers;
	/*
	 * Hops (cb_relay_hop_t) through which the request runs: the new chain
	 * begins with the first of them, and leaves others only for a reason.
	 * NULL: the request begins anywhere.
	 */
	const GArray *running_hops;
	/* Whether the chain must not pass from one data centre to another. */
	gboolean forbids_crossing;
	/*
	 * Whether the request may run once at most: servers that have not shown
	 * yet that they serve are left to other requests.
	 */
	gboolean runs_once;
} cb_book_criteria_t;

cb_server_book_t *cb_server_book_new(cb_clock_t *clock, const cb_fleet_t *fleet,
				     const cb_view_t *view, GRand *random,
				     cb_rate_limits_t *limits,
				     const cb_reach_t *reach,
				     const char *data_centre);
void cb_server_book_delete(cb_server_book_t *book);

/* Adds the chosen servers to `hops` (cb_relay_hop_t), in chain order. */
cb_book_outcome_t cb_server_book_choose(cb_server_book_t *book,
					const cb_book_criteria_t *criteria,
					GArray *hops);
GArray *cb_relay_hops_new(void);

/* Records what a request sends between data centres, as it is sent. */
void cb_server_book_record_crossings(cb_server_book_t *book,
				     const cb_service_profile_t *service,
				     const GArray *hops, double tokens);
void cb_server_book_begin_request(cb_server_book_t *book, const GArray *hops,
				  double tokens);
void cb_server_book_end_request(cb_server_book_t *book, const GArray *hops,
				double tokens);
/*
 * Returns the requests that this instance has in flight and the servers that
 * failed recently, to be reported to the other instances; the caller deletes
 * it.
 */
cb_usage_t *cb_server_book_collect_usage(cb_server_book_t *book);
/*
 * Updates the other instances' usage from the sum of all last reports.  Returns
 * the addresses (char *) of servers that another instance has begun to suspect,
 * or NULL; the caller unrefs them.
 */
GPtrArray *cb_server_book_update_usage(cb_server_book_t *book,
				       const cb_usage_t *sum);
/* Sets how many tokens a second all instances begin in a service's requests. */
void cb_server_book_set_begun(cb_server_book_t *book, const char *service,
			      double tokens_per_s);
/* Records that the server at an address had no free slot, to avoid it. */
void cb_server_book_mark_full(cb_server_book_t *book, const char *address);
/*
 * Records that the process of a hop's server wants no requests of this instance
 * for `away_ms`, or that it will stop.
 */
void cb_server_book_record_turned_away(cb_server_book_t *book,
				       const cb_relay_hop_t *hop,
				       int64_t away_ms);
void cb_server_book_record_leaving(cb_server_book_t *book,
				   const cb_relay_hop_t *hop);
/* Returns whether this process of a server announced its stop in an answer. */
gboolean cb_server_book_is_leaving(const cb_server_book_t *book,
				   const cb_fleet_server_t *server);
/* Records that the process of a hop's server has ended. */
void cb_server_book_record_end(cb_server_book_t *book,
			       const cb_relay_hop_t *hop);
/* Why, and for how long, no server of a service takes a request. */
typedef struct cb_book_wait {
	/* Shortest time until one does, in ms; 0: one does now, or none exists. */
	int64_t wait_ms;
	/* Whether a server's limit is the reason, not that it turned us away. */
	gboolean is_limited;
} cb_book_wait_t;

/* How this instance sees the servers of a service. */
typedef struct cb_book_count {
	unsigned int ready; /* control takes them for ready */
	/* Of these, the ones that this instance takes for ended or lost. */
	unsigned int distrusted;
} cb_book_count_t;

/* What the engines of a service hold, in tokens at all of its layers. */
typedef struct cb_book_capacity {
	double tokens; /* at the same time; 0: not all layers are held */
	double largest_tokens; /* of one request */
} cb_book_capacity_t;

/* How much of it is used. */
typedef struct cb_book_use {
	double tokens;		/* of the requests of all instances */
	double own_tokens;	/* of those of this instance */
	unsigned int instances; /* ready entry instances, 1 at least */
} cb_book_use_t;

cb_book_capacity_t cb_server_book_find_capacity(
	cb_server_book_t *book, const cb_service_profile_t *service);
cb_book_use_t cb_server_book_find_use(const cb_server_book_t *book,
				      const cb_service_profile_t *service);
cb_book_count_t cb_server_book_count(const cb_server_book_t *book,
				     const cb_service_profile_t *service);
cb_book_wait_t cb_server_book_find_wait(const cb_server_book_t *book,
					const cb_service_profile_t *service);
void cb_server_book_record_load(cb_server_book_t *book, const char *id,
				int64_t running, int64_t waiting);
/*
 * Records that the server at an address is lost and adds it to `tried`.
 * Returns FALSE if no server has that address.
 */
gboolean cb_server_book_record_loss_at(cb_server_book_t *book,
				       const char *address, GHashTable *tried);
void cb_server_book_record_failure(cb_server_book_t *book, const char *id,
				   gboolean may_be_lost);
/*
 * Forgets that servers of a data centre failed or ended: this instance had lost
 * its way to them.
 */
void cb_server_book_forget_losses(cb_server_book_t *book,
				  const char *data_centre);
void cb_server_book_record_success(cb_server_book_t *book, const GArray *hops);
/*
 * Records after which time the servers of a chain sent a whole answer, or the
 * first event of a stream, for a kind of request.
 */
void cb_server_book_record_time(cb_server_book_t *book, const GArray *hops,
				const char *service, const char *kind,
				int64_t time_ms);
/* Returns the paces of the servers, which live as long as the records. */
cb_server_pace_t *cb_server_book_pace(cb_server_book_t *book);

#endif
