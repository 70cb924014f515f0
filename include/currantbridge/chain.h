#ifndef CURRANTBRIDGE_CHAIN_H
#define CURRANTBRIDGE_CHAIN_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/document.h"

/*
 * Chooses the engines that a request passes through: every layer once and in
 * order, few slow steps, room for its tokens everywhere, and no change of
 * data centre where it can be helped.  It does no I/O.
 */
typedef struct cb_chain_server {
	const char *data_centre;
	uint32_t from;
	uint32_t to;
	double pace;	    /* how many times longer a step takes here */
	double free_tokens; /* room for tokens at all of its layers */
	double running;	    /* requests that pass through it, as estimated */
	uint32_t slots;	    /* requests at once, as the first engine; 0: any */
	gboolean is_doubtful; /* control does not hear it any more */
	gboolean is_avoided;  /* it failed lately and takes nothing now */
} cb_chain_server_t;

typedef struct cb_chain_part {
	unsigned int server; /* its index */
	uint32_t from;
	uint32_t to;
} cb_chain_part_t;

typedef struct cb_chain_wish {
	const char *data_centre; /* of the entry instance */
	double tokens;		 /* that the request will hold at its end */
	/* The first part, which is to stay as it is; `first_to` 0: any. */
	unsigned int first_server;
	uint32_t first_to;
	/* The way may not change its data centre, at any price. */
	gboolean forbids_crossing;
} cb_chain_wish_t;

typedef enum cb_chain_outcome {
	CB_CHAIN_FOUND,
	CB_CHAIN_NO_ROOM,   /* the layers are held, but without room for it */
	CB_CHAIN_NO_HOLDER, /* nobody holds some of the layers */
} cb_chain_outcome_t;

/* Sets the parts, of cb_chain_part_t, in the order of the layers. */
cb_chain_outcome_t cb_chain_choose(const cb_engine_profile_t *engine,
				   const cb_chain_server_t *servers,
				   unsigned int count,
				   const cb_chain_wish_t *wish, GRand *random,
				   GArray *parts);

#endif
