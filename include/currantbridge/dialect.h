#ifndef CURRANTBRIDGE_DIALECT_H
#define CURRANTBRIDGE_DIALECT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/http1_head.h"

/*
 * How the callers and backend servers of a deployment say in a request's head
 * what concerns its way.  The relay decides; a dialect only reads and writes.
 */
typedef struct cb_dialect cb_dialect_t;

/* What a caller says of its request. */
typedef struct cb_relay_ask {
	const char *id;	   /* echoed in answers; NULL: none */
	const char *key;   /* the workspace's; NULL: none */
	int64_t budget_ms; /* how long the caller waits; 0: not said */
	/* Tokens in, the most tokens out, and about how many; 0: not said. */
	uint32_t prompt_tokens;
	uint32_t most_answer_tokens;
	uint32_t hinted_answer_tokens;
	int64_t last_event; /* the stream goes on after it; -1: from its start */
} cb_relay_ask_t;

/* One engine on a request's way, with the layers that it runs. */
typedef struct cb_relay_hop {
	char *id; /* of the server */
	char *address;
	uint32_t from;
	uint32_t to;
} cb_relay_hop_t;

/* What a server is told. */
typedef struct cb_relay_send {
	const char *server_id;
	const char *workspace; /* NULL: the route is public */
	int64_t budget_ms;     /* what is left */
	int64_t last_event;    /* -1: from the start */
	const GArray *hops;    /* of cb_relay_hop_t; NULL: a plain service */
} cb_relay_send_t;

/* What a server says in the head of an answer. */
typedef struct cb_relay_word {
	gboolean is_echo; /* it answers this very request */
	gboolean has_not_run;
	const char *fault_address; /* the server on the way that is at fault */
	/* Its load; -1: not said. */
	int64_t running;
	int64_t waiting;
} cb_relay_word_t;

typedef struct cb_dialect_vtable {
	void (*read_ask)(const cb_dialect_t *dialect,
			 const cb_http1_head_t *head, cb_relay_ask_t *ask);
	/* Returns the whole request. */
	GString *(*write_request)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  const GByteArray *body,
				  const cb_relay_send_t *send);
	void (*read_word)(const cb_dialect_t *dialect,
			  const cb_http1_head_t *answer, const char *id,
			  cb_relay_word_t *word);
} cb_dialect_vtable_t;

/* The first member of each binding. */
struct cb_dialect {
	const cb_dialect_vtable_t *vtable;
};

#endif
