#ifndef CURRANTBRIDGE_CHAIN_H
#define CURRANTBRIDGE_CHAIN_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/document.h"

/*
 * Chooses the chain of engines that a request passes through.  The chain runs
 * every layer once and in order, each engine has enough free KV cache for the
 * request's tokens, and among such chains slow engines and changes of data
 * centre are avoided.  This module does no I/O.
 */

/* An engine as the choice of a chain sees it. */
typedef struct cb_chain_server {
	const char *data_centre;
	uint32_t from; /* first layer that the engine holds */
	/* one past the last layer; equal to `from` if there are no layers */
	uint32_t to;
	double pace;	  /* relative step time; 2 is twice as slow as 1 */
	double read_pace; /* relative time to read a prompt */
	/*
	 * The layers that the engine already runs for the request, whose KV
	 * cache it holds; empty if both are equal.
	 */
	uint32_t kept_from;
	uint32_t kept_to;
	/* free KV cache, in tokens that fit on every layer of the server */
	double free_tokens;
	/* estimated number of requests on the server's chain */
	double running;
	/* Most concurrent requests as first engine of a chain; 0: no limit. */
	uint32_t slots;
	/*
	 * Whether the control instances no longer receive the server's
	 * heartbeats.
	 */
	gboolean is_silent;
	/* Whether the engine may not be the first one of a new chain. */
	gboolean is_first_barred;
	/* Whether the engine gets no new requests for now: full or lost. */
	gboolean is_avoided;
	/*
	 * Whether requests failed at the engine recently, for a reason that is
	 * not known: it is used only where no other chain exists.
	 */
	gboolean is_doubtful;
} cb_chain_server_t;

/* The layers that one engine of a chain runs. */
typedef struct cb_chain_part {
	unsigned int server; /* index of the server in the array of servers */
	uint32_t from;	     /* first layer that the server runs */
	uint32_t to;	     /* one past the last layer that the server runs */
} cb_chain_part_t;

/* What the chain of a request must satisfy. */
typedef struct cb_chain_criteria {
	const char *data_centre; /* data centre of the entry instance */
	/* KV cache, in tokens, that the request needs at its end */
	double tokens;
	/*
	 * The part of an existing chain that its replacement must keep as its
	 * first: the server's index and one past the last layer that it runs.
	 * With `first_to` 0 the new chain may begin anywhere.
	 */
	unsigned int first_server;
	uint32_t first_to;
	/*
	 * Whether the request is under way: an engine that does not keep the
	 * layers that it runs for the request reads all its tokens again.
	 */
	gboolean reads_again;
	/* Whether all engines of the chain must be in one data centre. */
	gboolean forbids_crossing;
} cb_chain_criteria_t;

typedef enum cb_chain_outcome {
	CB_CHAIN_FOUND,
	CB_CHAIN_NO_ROOM,   /* all layers are held, but no chain qualifies */
	CB_CHAIN_NO_HOLDER, /* no server holds some of the layers */
} cb_chain_outcome_t;

/*
 * Chooses the chain with the lowest estimated time for `criteria`.  When it
 * returns CB_CHAIN_FOUND, `parts` holds cb_chain_part_t in the order of the
 * layers; otherwise `parts` is unchanged.
 */
cb_chain_outcome_t cb_chain_choose(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_criteria_t *criteria,
				   GRand *random, GArray *parts);

#endif
