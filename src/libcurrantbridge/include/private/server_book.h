#ifndef PRIVATE_SERVER_BOOK_H
#define PRIVATE_SERVER_BOOK_H

#include "currantbridge/chain.h"
#include "currantbridge/clock.h"
#include "currantbridge/dialect.h"
#include "currantbridge/document.h"
#include "currantbridge/fleet.h"
#include "currantbridge/view.h"
#include "private/usage.h"

/*
 * What an entry instance knows of the servers beside what they announce: its
 * own requests there, the load they told, and how requests ended.  From that
 * it chooses servers.
 */
typedef struct cb_server_book cb_server_book_t;

typedef enum cb_book_outcome {
	CB_BOOK_FOUND,
	CB_BOOK_NO_SERVER, /* nobody serves it, or holds some of the layers */
	CB_BOOK_NO_ROOM,
} cb_book_outcome_t;

/* What is to be served. */
typedef struct cb_book_wish {
	const cb_service_profile_t *service;
	double tokens;
	/* Servers that this request does not go to again: a set of IDs. */
	GHashTable *tried;
	/* The hop that the way is to begin with; NULL: any. */
	const cb_relay_hop_t *first;
	gboolean forbids_crossing; /* between data centres on the way */
} cb_book_wish_t;

cb_server_book_t *cb_server_book_new(cb_clock_t *clock, const cb_fleet_t *fleet,
				     const cb_view_t *view, GRand *random,
				     const char *data_centre);
void cb_server_book_delete(cb_server_book_t *book);

/* Sets the servers on the way, of cb_relay_hop_t. */
cb_book_outcome_t cb_server_book_choose(cb_server_book_t *book,
					const cb_book_wish_t *wish,
					GArray *hops);
GArray *cb_relay_hops_new(void);

void cb_server_book_begin(cb_server_book_t *book, const GArray *hops,
			  double tokens);
void cb_server_book_end(cb_server_book_t *book, const GArray *hops,
			double tokens);
/* What this instance has under way; it is told to the others. */
cb_usage_t *cb_server_book_usage(cb_server_book_t *book);
/* Takes the sum over all instances, this one's last word included. */
void cb_server_book_take_usage(cb_server_book_t *book, const cb_usage_t *sum);
/* Notes that a server had no room, and for how long it is not asked. */
void cb_server_book_full(cb_server_book_t *book, const char *address);
void cb_server_book_load(cb_server_book_t *book, const char *id,
			 int64_t running, int64_t waiting);
/* Notes the failure of the server at an address; FALSE: there is none. */
gboolean cb_server_book_failed_at(cb_server_book_t *book, const char *address,
				  GHashTable *tried);
void cb_server_book_failed(cb_server_book_t *book, const char *id);
void cb_server_book_succeeded(cb_server_book_t *book, const GArray *hops);

#endif
