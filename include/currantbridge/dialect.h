#ifndef CURRANTBRIDGE_DIALECT_H
#define CURRANTBRIDGE_DIALECT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/http1_head.h"
#include "currantbridge/text_part.h"

/*
 * The HTTP headers by which a deployment's callers and backend servers exchange
 * what the relay needs to know.  A dialect only reads and writes them; it makes
 * no decisions.
 */
typedef struct cb_dialect cb_dialect_t;

/* What the relay reads from the head of a caller's request. */
typedef struct cb_relay_request_info {
	/* Request ID, echoed in answers; NULL if not given. */
	const char *id;
	/* Access key of the workspace; NULL if not given. */
	const char *key;
	/* How long the caller waits for the answer; 0: not given. */
	int64_t budget_ms;
	/*
	 * Numbers of tokens; the hinted one is the caller's estimate; 0: not
	 * given.
	 */
	uint32_t prompt_tokens;
	uint32_t max_answer_tokens;
	uint32_t hinted_answer_tokens;
	/*
	 * ID of the event to resume the stream after; -1: from the stream's
	 * start.
	 */
	int64_t last_event;
} cb_relay_request_info_t;

/* One server of a request's chain, with the layers that it runs. */
typedef struct cb_relay_hop {
	char *id;	       /* server ID */
	char *address;	       /* "IP:PORT" */
	int64_t start_wall_ms; /* start of the server's process */
	uint32_t layer_from;   /* first layer that the server runs */
	/* One past the server's last layer; 0: the service has no layers. */
	uint32_t layer_to;
} cb_relay_hop_t;

/* What the relay writes into the head of a request to a server. */
typedef struct cb_relay_attempt_info {
	const char *server_id;
	/* Name of the workspace; NULL if the route is public. */
	const char *workspace;
	int64_t budget_ms; /* time left until the deadline */
	/* Rank of the request, 0 is the most urgent; -1: there are no ranks. */
	int32_t rank;
	/* ID of the event to resume the stream after; -1: from the start. */
	int64_t last_event;
	/*
	 * The chain's hops (cb_relay_hop_t); NULL if the service has no layers.
	 */
	const GArray *hops;
} cb_relay_attempt_info_t;

/* What the relay reads from the head of a server's answer. */
typedef struct cb_relay_answer_info {
	gboolean matches_request; /* the answer names this request */
	/* The answer names no request: it may be about another one. */
	gboolean names_no_request;
	gboolean has_not_run;	    /* the server did not execute the request */
	const char *failed_address; /* address of the failed server, or NULL */
	int64_t running; /* requests running at the server; -1: not given */
	/* Requests queued at the server; valid if `running` is given. */
	int64_t waiting;
	/* the server will stop and wants no new requests */
	gboolean is_leaving;
	/*
	 * How long the server, which turned the request away, wants no requests
	 * of this instance; 0: not given.
	 */
	int64_t retry_after_ms;
	/*
	 * Requests a second that the server takes from all instances together;
	 * negative: it names no limit.
	 */
	double limit_per_s;
} cb_relay_answer_info_t;

/* What the relay writes into a request that it forwards to an instance. */
typedef struct cb_relay_forward_info {
	int64_t budget_ms; /* time left until the deadline */
	/* ID of the event to resume the stream after; -1: from the start. */
	int64_t last_event;
	const char *header_lines; /* further header lines, each with its CRLF */
} cb_relay_forward_info_t;

typedef struct cb_dialect_vtable {
	/*
	 * Reads a request's head; `request_info` refers to the head's strings.
	 */
	void (*read_request_info)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  cb_relay_request_info_t *request_info);
	/*
	 * Writes the IDs of the parts of a request's prompt that other requests
	 * may share, in order, at most `max_count` of them, which refer to the
	 * head's strings.  Returns how many were written.
	 */
	unsigned int (*read_shared_parts)(const cb_dialect_t *dialect,
					  const cb_http1_head_t *head,
					  cb_text_part_t *parts,
					  unsigned int max_count);
	/* Returns the complete request to a server; the caller frees it. */
	GString *(*write_request)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  const GByteArray *body,
				  const cb_relay_attempt_info_t *attempt_info);
	/*
	 * Returns the caller's complete request as it is forwarded to another
	 * instance; the caller frees it.
	 */
	GString *(*write_forward)(const cb_dialect_t *dialect,
				  const cb_http1_head_t *head,
				  const GByteArray *body,
				  const cb_relay_forward_info_t *forward_info);
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
