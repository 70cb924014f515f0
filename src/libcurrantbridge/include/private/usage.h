#ifndef PRIVATE_USAGE_H
#define PRIVATE_USAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * The requests that entry instances have in flight at each backend server.
 * Each entry instance reports its own to control a few times a second, and
 * receives the sum over all.
 */
typedef struct cb_usage {
	GHashTable *by_server;	/* server ID to cb_usage_load_t */
	GHashTable *by_service; /* service name to cb_usage_sends_t */
	GHashTable *by_flow;	/* cb_usage_flow_key() to cb_usage_flow_t */
} cb_usage_t;

/* Tokens that requests of the last second asked for. */
typedef struct cb_usage_flow {
	char *service;
	uint32_t rank;
	char *workspace; /* "": all workspaces of the rank */
	double tokens;
} cb_usage_flow_t;

/* Attempts sent to a service within the last window of the retry budget. */
typedef struct cb_usage_sends {
	uint32_t requests;
	uint32_t retries;
	/*
	 * Pauses between events of streams within the last second, and those of
	 * them that were longer than their routes allow.
	 */
	uint32_t pauses;
	uint32_t long_pauses;
} cb_usage_sends_t;

typedef struct cb_usage_load {
	uint32_t running; /* number of requests in flight at the server */
	/*
	 * Sum over the requests of their expected tokens times the layers that
	 * they use at the server.
	 */
	double token_layers;
	/*
	 * Number of entry instances with a request that failed at the server
	 * within a second.
	 */
	uint32_t suspecting_instances;
	/*
	 * Number of entry instances to which the server named a limit of its
	 * rate of requests, and the lowest of them, in requests per 1,000 s.
	 */
	uint32_t limiting_instances;
	uint32_t limit_per_ks;
	/* Number of those to which it named none any more. */
	uint32_t limit_ended_instances;
	/*
	 * Answers of the server within the last second, the sum of their times
	 * in percent of the usual one, and requests that failed there.
	 */
	uint32_t answers;
	uint32_t answer_percent;
	uint32_t failures;
	/*
	 * Start of the server process that these are of: in a sum, the latest
	 * process that an instance knows; 0: no answers.
	 */
	uint64_t answered_start_wall_ms;
} cb_usage_load_t;

/* Seconds of the unit of `limit_per_ks`. */
#define CB_USAGE_KS 1000

/*
 * With this many suspecting instances the server counts as faulty; a single
 * instance may have lost its own network connection.
 */
#define CB_USAGE_SUSPECTING_MIN 2

cb_usage_t *cb_usage_new(void);
void cb_usage_delete(void *usage);
void cb_usage_add_load(cb_usage_t *usage, const char *server_id,
		       const cb_usage_load_t *load);
void cb_usage_merge(cb_usage_t *usage, const cb_usage_t *other);
void cb_usage_add_sends(cb_usage_t *usage, const char *service,
			const cb_usage_sends_t *sends);
/* Returns the key of a flow in `by_flow`; the caller frees it. */
char *cb_usage_flow_key(const char *service, uint32_t rank,
			const char *workspace);
void cb_usage_add_flow(cb_usage_t *usage, const char *service, uint32_t rank,
		       const char *workspace, double tokens);
cb_usage_sends_t cb_usage_find_sends(const cb_usage_t *usage,
				     const char *service);
cb_usage_load_t cb_usage_find_load(const cb_usage_t *usage,
				   const char *server_id);

/*
 * Encodes a usage for a link of a protocol version.  Version 2 has neither flows,
 * nor pauses, nor what answers show; they are left out and count as 0.
 */
GBytes *cb_usage_encode(const cb_usage_t *usage, uint64_t protocol);
/* Reads the form of each version; returns NULL if the bytes are malformed. */
cb_usage_t *cb_usage_decode(GBytes *bytes);

#endif
