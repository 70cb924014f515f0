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
	uint32_t from;	    /* first layer that the engine holds */
	uint32_t to;	    /* end of its layers, exclusive; `from`: none */
	double pace;	    /* relative step time; 2 is twice as slow as 1 */
	double free_tokens; /* KV cache left, in tokens at all of its layers */
	double running;	    /* estimated number of requests on its chain */
	/* Most concurrent requests as first engine of a chain; 0: no limit. */
	uint32_t slots;
	/* Whether the control instances no longer receive its heartbeats. */
	gboolean is_silent;
	/* Whether it failed recently and gets no new requests for now. */
	gboolean is_avoided;
} cb_chain_server_t;

/* The layers that one engine of a chain runs. */
typedef struct cb_chain_part {
	unsigned int server; /* index into the servers */
	uint32_t from;	     /* first layer */
	uint32_t to;	     /* end, exclusive */
} cb_chain_part_t;

/* What the chain of a request must satisfy. */
typedef struct cb_chain_criteria {
	const char *data_centre; /* of the entry instance */
	double tokens; /* KV cache that the request needs at its end */
	/*
	 * A first part that must be kept, when an existing chain is replaced:
	 * the server's index and the end of its layers, exclusive.  With
	 * `first_to` 0 the chain may begin anywhere.
	 */
	unsigned int first_server;
	uint32_t first_to;
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
