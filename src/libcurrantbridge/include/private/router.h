#ifndef PRIVATE_ROUTER_H
#define PRIVATE_ROUTER_H

#include "currantbridge/server.h"

/* Returns whether a server may be used for the request. */
typedef gboolean (*cb_router_filter_fn_t)(const cb_server_t *server,
					  void *user_data);

typedef struct cb_route_query {
	const cb_server_registry_t *registry;
	const char *data_centre; /* data centre of this instance */
	/* Digest of the request; varies the choice among similar costs. */
	const char *digest;
	/* Further restricts the servers that may be chosen; NULL allows all. */
	cb_router_filter_fn_t filter;
	void *user_data;
	/* Names of servers that hold the request's context, or NULL. */
	GHashTable *preferred;
} cb_route_query_t;

/* One engine of a chain with the layers that it runs, both ends included. */
typedef struct cb_route_stage {
	cb_server_t *server;
	uint32_t first_layer;
	uint32_t last_layer;
} cb_route_stage_t;

GArray *cb_router_choose_chain(const cb_route_query_t *query,
			       const char *model);
cb_server_t *cb_router_choose_engine(const cb_route_query_t *query,
				     const char *model, uint32_t first_layer,
				     uint32_t last_layer);
cb_server_t *cb_router_choose_server(const cb_route_query_t *query,
				     const char *service);

#endif
