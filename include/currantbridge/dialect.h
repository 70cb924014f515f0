#ifndef CURRANTBRIDGE_DIALECT_H
#define CURRANTBRIDGE_DIALECT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/http1_head.h"

/*
 * The HTTP headers by which a deployment's callers and backend servers exchange
 * what the relay needs to know.  A dialect only reads and writes them; it makes
 * no decisions.
 */
typedef struct cb_dialect cb_dialect_t;

/* What the relay reads from the head of a caller's request. */
typedef struct cb_relay_request_info {
	const char *id;	   /* request ID, echoed in answers; NULL: none */
	const char *key;   /* access key of the workspace; NULL: none */
	int64_t budget_ms; /* how long the caller waits; 0: not given */
	/* Numbers of tokens, the hinted one an estimate; 0: not given. */
	uint32_t prompt_tokens;
	uint32_t max_answer_tokens;
	uint32_t hinted_answer_tokens;
	/* ID of the event to resume the stream after; -1: from its start. */
	int64_t last_event;
} cb_relay_request_info_t;

/* One server of a request's chain, with the layers that it runs. */
typedef struct cb_relay_hop {
	char *id;	     /* server ID */
	char *address;	     /* "IP:PORT" */
	uint32_t layer_from; /* the first layer */
	uint32_t layer_to;   /* one past the last layer; 0: without layers */
} cb_relay_hop_t;

/* What the relay writes into the head of a request to a server. */
typedef struct cb_relay_attempt_info {
	const char *server_id;
	const char *workspace; /* NULL: the route is public */
	int64_t budget_ms;     /* time left until the deadline */
	int64_t last_event;    /* resume after this event; -1: from the start */
	/* The hops, cb_relay_hop_t; NULL: the service has no layers. */
	const GArray *hops;
} cb_relay_attempt_info_t;

/* What the relay reads from the head of a server's answer. */
typedef struct cb_relay_answer_info {
	gboolean matches_request;   /* the answer belongs to the request */
	gboolean has_not_run;	    /* the server did not execute the request */
	const char *failed_address; /* address of the failed server, or NULL */
	int64_t running; /* requests running at the server; -1: not given */
	int64_t waiting; /* requests queued there, if `running` is given */
} cb_relay_answer_info_t;

typedef struct cb_dialect_vtable {
	/* Reads a request's head; `request_info` refers to its strings. */
	void (*read_request_info)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  cb_relay_request_info_t *request_info);
	/* Returns the complete request to a server; the caller frees it. */
	GString *(*write_request)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  const GByteArray *body,
				  const cb_relay_attempt_info_t *attempt_info);
	/* Reads the head of a server's answer to the request `id`. */
	void (*read_answer_info)(const cb_dialect_t *dialect,
				 const cb_http1_head_t *answer, const char *id,
				 cb_relay_answer_info_t *answer_info);
} cb_dialect_vtable_t;

/* The first member of every dialect. */
struct cb_dialect {
	const cb_dialect_vtable_t *vtable;
};

#endif
