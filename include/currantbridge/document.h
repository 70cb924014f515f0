#ifndef CURRANTBRIDGE_DOCUMENT_H
#define CURRANTBRIDGE_DOCUMENT_H

#include <glib.h>
#include <stdint.h>

#include "currantbridge/text_part.h"

/*
 * A deployment's configuration as one document with an increasing version:
 * the routes, the services that they lead to, the workspaces' keys and the
 * limits on requests.  A decoded document is immutable.
 */

typedef enum cb_route_kind {
	CB_ROUTE_IDEMPOTENT,
	CB_ROUTE_ONCE, /* a request may be executed at most once */
	/*
	 * a request is answered by a stream of events and executed at most once
	 * unless it can be resumed
	 */
	CB_ROUTE_STREAM,
	CB_ROUTE_KIND_COUNT
} cb_route_kind_t;

/* A service that gets a part of a route's requests, by its weight. */
typedef struct cb_route_split {
	char *service;
	uint32_t weight;
} cb_route_split_t;

/* Identifies the text of a route; equal texts have equal digests. */
typedef struct cb_text_digest {
	uint64_t low;
	uint64_t high;
} cb_text_digest_t;

/* A route is immutable once it is in a document; documents may share it. */
typedef struct cb_route {
	unsigned int refs; /* number of documents that hold the route */
	/* digest of its text; 0: made without a text */
	cb_text_digest_t digest;
	char *name;
	char *host;
	/* prefix of the request's path; begins and ends with a slash */
	char *prefix;
	cb_route_kind_t kind;
	int64_t timeout_ms;
	/* Target for the complete answer, or for a stream's first event. */
	int64_t target_latency_ms;
	/* Target for the time between two events of a stream; 0: no target. */
	int64_t target_gap_ms;
	/* priority of the route's requests; 0 is the most urgent */
	uint32_t priority;
	GArray *splits; /* of cb_route_split_t */
	uint32_t max_attempts;
	gboolean is_public; /* whether requests need no key */
	gboolean is_resumable;
} cb_route_t;

/* A kind of accelerator that runs layers. */
typedef struct cb_engine_kind {
	char *name;
	double memory_mb;
	/* step time as a multiple of the engine profile's */
	double step_time_factor;
	/* time to read a prompt as a multiple of the engine profile's */
	double read_time_factor;
} cb_engine_kind_t;

/* More layers than a model has; the layers that servers report end below. */
#define CB_ENGINE_LAYERS_MAX 4096

/* The engines of a service whose model is split into layers. */
typedef struct cb_engine_profile {
	uint32_t layers;
	double layer_mb;
	double kv_token_bytes; /* KV cache of one token, over all layers */
	double step_ms;	       /* fixed time of one step */
	/* time added to a step for each running sequence */
	double per_sequence_ms;
	/* time added to a step per sequence and 1000 tokens of context */
	double context_per_k_ms;
	double read_tokens_per_s; /* speed of reading a prompt */
	uint32_t stride;	  /* steps in one pass that generates tokens */
	uint32_t slots;
	double load_s; /* time to load all layers */
	/* largest number of concurrent loads of layers */
	uint32_t loads_at_once;
	uint32_t usual_prompt_tokens;
	uint32_t usual_answer_tokens;
	/* Bytes that one engine sends to the next one for each token. */
	double activation_bytes;
	/* Rate of the links between data centres; 0: not given. */
	double pipe_mbps;
	GPtrArray *kinds; /* of cb_engine_kind_t */
} cb_engine_profile_t;

typedef struct cb_service_profile {
	char *name;
	uint32_t max_connections;
	/* path that a server answers if it is reached; NULL: not given */
	char *health_path;
	/*
	 * profile of the service's engines; NULL for a service without engines
	 */
	cb_engine_profile_t *engine;
} cb_service_profile_t;

typedef struct cb_document_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} cb_document_limits_t;

typedef struct cb_document {
	unsigned int refs; /* reference count of the document */
	int64_t version;
	GPtrArray *routes;	      /* of cb_route_t */
	GHashTable *routes_by_digest; /* cb_text_digest_t to cb_route_t */
	GHashTable *services;	      /* service name to cb_service_profile_t */
	GHashTable *keys;	      /* bearer key to name of its workspace */
	GHashTable *workspaces; /* set of names, also of those without keys */
	/* workspace name to priority, 0 is the most urgent */
	GHashTable *workspace_priorities;
	/* the different priorities of workspaces and of routes, ascending */
	GArray *workspace_levels;
	GArray *route_levels;
	/* host name in lower case to the host's routes, longest prefix first */
	GHashTable *hosts;
	gboolean has_workspaces;
	cb_document_limits_t limits;
} cb_document_t;

/* Decodes a document's text; provided by the deployment's program. */
typedef struct cb_document_codec cb_document_codec_t;

typedef struct cb_document_codec_vtable {
	/*
	 * Checks that a text that an operator sends is complete and in the
	 * format, before it is decoded.  Texts from the replicated state are not
	 * checked again: an older build may have accepted them.  NULL: texts are
	 * decoded unchecked.
	 */
	gboolean (*check_text)(const cb_document_codec_t *codec,
			       const char *text, size_t size, GError **error);
	/*
	 * Decodes a document except for the routes whose texts it appends to
	 * `route_texts` (cb_text_part_t), in their order.  Returns NULL and an
	 * error with the invalid field and the reason.
	 */
	cb_document_t *(*open)(const cb_document_codec_t *codec,
			       const char *text, size_t size,
			       GArray *route_texts, GError **error);
	/*
	 * Decodes one of `route_texts`, with a NUL after it.  Returns NULL and
	 * an error with the invalid field and the reason.
	 */
	cb_route_t *(*read_route)(const cb_document_codec_t *codec,
				  const cb_text_part_t *text, GError **error);
} cb_document_codec_vtable_t;

struct cb_document_codec {
	const cb_document_codec_vtable_t *vtable;
};

/*
 * The decoding of a document in steps, so that the decoding of many routes does
 * not hold up the requests under way.  Routes whose texts the previous document
 * has too are shared with it.
 */
typedef struct cb_document_decoding cb_document_decoding_t;

/* Takes ownership of `text`; `previous` may be NULL.  To be deleted. */
cb_document_decoding_t *cb_document_decoding_new(
	const cb_document_codec_t *codec, char *text, size_t size,
	cb_document_t *previous);
void cb_document_decoding_delete(cb_document_decoding_t *decoding);
/*
 * Decodes up to `max_routes` routes that the previous document lacks.  Returns
 * whether the decoding has ended, with `document`, which the caller unrefs, or
 * with `error`, which names the invalid field and the reason.
 */
gboolean cb_document_decoding_step(cb_document_decoding_t *decoding,
				   unsigned int max_routes,
				   cb_document_t **document, GError **error);
/* Decodes a text; NULL with an error.  `previous` may be NULL. */
cb_document_t *cb_document_decode_text(const cb_document_codec_t *codec,
				       const char *text, size_t size,
				       cb_document_t *previous, GError **error);
/*
 * Decompresses and decodes a document from the replicated state; NULL with an
 * error.  `previous` may be NULL.
 */
cb_document_t *cb_document_decode(const cb_document_codec_t *codec,
				  GBytes *packed, cb_document_t *previous,
				  GError **error);

/*
 * Decompresses and decodes a document from the replicated state but for its routes;
 * NULL with an error.  The result is not for cb_document_route().
 */
cb_document_t *cb_document_decode_services(const cb_document_codec_t *codec,
					   GBytes *packed, GError **error);

#define CB_DOCUMENT_ERROR (cb_document_error_quark())
GQuark cb_document_error_quark(void);

typedef enum cb_document_error {
	CB_DOCUMENT_ERROR_INVALID,
} cb_document_error_t;

/*
 * Compresses a document's text, because it is sent over slow links many times
 * and its hundreds of routes differ only a little.
 */
GBytes *cb_document_pack(const char *text, size_t size);
/* Decompresses a NUL-terminated text; NULL if it is damaged or too large. */
char *cb_document_unpack(GBytes *packed, size_t *size);

cb_document_t *cb_document_new(void);
cb_document_t *cb_document_ref(cb_document_t *document);
void cb_document_unref(cb_document_t *document);
cb_route_t *cb_route_new(void);
void cb_route_unref(void *route);
cb_service_profile_t *cb_service_profile_new(const char *name);
cb_engine_profile_t *cb_engine_profile_new(void);

void cb_document_add_route(cb_document_t *document, cb_route_t *route);
void cb_document_add_service(cb_document_t *document,
			     cb_service_profile_t *service);
/* Adds a workspace, perhaps without a key; one that is known is kept. */
void cb_document_add_workspace(cb_document_t *document, const char *workspace);
gboolean cb_document_add_key(cb_document_t *document, const char *workspace,
			     const char *key, GError **error);
/* Sets a workspace's priority, which goes before that of its routes. */
void cb_document_set_priority(cb_document_t *document, const char *workspace,
			      uint32_t priority);
/*
 * Checks the routes and their references to services, and builds the route
 * look-up.  Must be called once, after everything was added.
 */
gboolean cb_document_finish(cb_document_t *document, GError **error);

const cb_route_t *cb_document_route(const cb_document_t *document,
				    const char *host, const char *target);
/*
 * Returns the rank of a workspace's (NULL: none) requests on a route, from 0, the
 * most urgent: by the priority of the workspace, then by that of the route.
 */
uint32_t cb_document_rank(const cb_document_t *document,
			  const cb_route_t *route, const char *workspace);
/* Returns whether workspaces or routes have different priorities. */
gboolean cb_document_has_ranks(const cb_document_t *document);
const char *cb_document_workspace(const cb_document_t *document,
				  const char *key);
const cb_service_profile_t *cb_document_service(const cb_document_t *document,
						const char *name);
const char *cb_route_pick(const cb_route_t *route, uint32_t random);
/*
 * Limits a range of layers to those of the model; both are equal if it has none
 * of them.  Servers hold the layers of a former model until they are ordered to
 * hold others.
 */
void cb_engine_profile_clip(const cb_engine_profile_t *engine, uint32_t *from,
			    uint32_t *to);
const cb_engine_kind_t *cb_engine_profile_kind(
	const cb_engine_profile_t *engine, const char *name);

#endif
