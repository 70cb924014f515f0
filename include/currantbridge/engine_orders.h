#ifndef CURRANTBRIDGE_ENGINE_ORDERS_H
#define CURRANTBRIDGE_ENGINE_ORDERS_H

#include <glib.h>
#include <stdint.h>

struct cb_relay_hop;

/* How the engines of a deployment are told which layers to hold. */
typedef struct cb_engine_orders cb_engine_orders_t;

typedef enum cb_order_outcome {
	CB_ORDER_ACCEPTED, /* it is under way, or done */
	CB_ORDER_REFUSED,  /* the server's state is not the expected one */
	CB_ORDER_FENCED,   /* a higher fencing number was used there */
	CB_ORDER_LOST,	   /* no answer: it may still be carried out */
	CB_ORDER_OUTCOME_COUNT
} cb_order_outcome_t;

extern const char *const cb_order_outcome_string[CB_ORDER_OUTCOME_COUNT];

typedef struct cb_layer_order {
	const char *server_id;
	const char *address;
	uint32_t from;
	uint32_t to;
	uint64_t fencing;
	/* How many orders the server must have accepted before this one. */
	uint64_t expected_orders;
} cb_layer_order_t;

/* What a server reports of itself when asked. */
typedef struct cb_engine_report {
	uint64_t accepted_orders;
	gboolean is_busy;      /* with an order */
	uint32_t slow_percent; /* how many times slower than usual; 100: not */
	uint32_t layer_from;
	uint32_t layer_to;
	/* Requests that wait for a server on their way, of cb_stall_t. */
	const GArray *stalls;
} cb_engine_report_t;

typedef struct cb_stall {
	char *request_id;
	char *address; /* of the server that is waited for */
} cb_stall_t;

/* How the change of a request's way ended. */
typedef enum cb_reroute_outcome {
	CB_REROUTE_DONE,
	CB_REROUTE_UNKNOWN_REQUEST,
	CB_REROUTE_BAD_SERVER, /* one on the new way lacks its part, or room */
	CB_REROUTE_LOST,
} cb_reroute_outcome_t;

/* `address` is the bad server's; NULL: not said. */
typedef void (*cb_reroute_done_fn_t)(cb_reroute_outcome_t outcome,
				     const char *address, void *user_data);

typedef void (*cb_order_done_fn_t)(cb_order_outcome_t outcome, void *user_data);
/* `report` is NULL when there was no answer. */
typedef void (*cb_report_done_fn_t)(const cb_engine_report_t *report,
				    void *user_data);

/* Each calls `done` exactly once, after it returns. */
typedef struct cb_engine_orders_vtable {
	void (*place)(cb_engine_orders_t *orders, const cb_layer_order_t *order,
		      cb_order_done_fn_t done, void *user_data);
	void (*report)(cb_engine_orders_t *orders, const char *address,
		       cb_report_done_fn_t done, void *user_data);
	/* `hops`, of cb_relay_hop_t, begin as the present way does. */
	void (*reroute)(cb_engine_orders_t *orders, const char *address,
			const char *request_id, const GArray *hops,
			cb_reroute_done_fn_t done, void *user_data);
	/* Drops the call under way that `user_data` waits for, if any. */
	void (*forget)(cb_engine_orders_t *orders, const void *user_data);
} cb_engine_orders_vtable_t;

/* The first member of each binding. */
struct cb_engine_orders {
	const cb_engine_orders_vtable_t *vtable;
};

#endif
