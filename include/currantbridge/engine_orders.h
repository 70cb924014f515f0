#ifndef CURRANTBRIDGE_ENGINE_ORDERS_H
#define CURRANTBRIDGE_ENGINE_ORDERS_H

#include <glib.h>
#include <stdint.h>

struct cb_relay_hop;

/*
 * The deployment's interface to its engines: orders which layers to hold,
 * reports of their state, and new chains for running requests.
 */
typedef struct cb_engine_orders cb_engine_orders_t;

typedef enum cb_order_outcome {
	/* the server carries out the order, or has done so */
	CB_ORDER_ACCEPTED,
	CB_ORDER_REFUSED, /* the server's state is not the expected one */
	CB_ORDER_FENCED,  /* the server knows a higher fencing number */
	CB_ORDER_LOST,	  /* no answer: the order may still be carried out */
	CB_ORDER_OUTCOME_COUNT
} cb_order_outcome_t;

extern const char *const cb_order_outcome_string[CB_ORDER_OUTCOME_COUNT];

/* The order to one server to hold a range of layers. */
typedef struct cb_layer_order {
	const char *server_id;
	const char *address; /* "IP:PORT" of the server */
	uint32_t from;	     /* first layer to hold */
	uint32_t to;	     /* one past the last layer to hold */
	uint64_t fencing;    /* fencing number: the leader's term */
	/* Number of earlier orders that the server must have accepted. */
	uint64_t expected_orders;
} cb_layer_order_t;

/* What a server reports of itself when it is asked for a report. */
typedef struct cb_engine_report {
	uint64_t accepted_orders; /* number of orders accepted so far */
	/* whether the server is carrying out an order */
	gboolean is_busy;
	/* step time in percent of the server's usual step time */
	uint32_t slow_percent;
	uint32_t layer_from; /* first layer that the server holds */
	/* one past the last layer that the server holds */
	uint32_t layer_to;
	/*
	 * Array of cb_stall_t: requests that wait for a server of their chain.
	 */
	const GArray *stalls;
} cb_engine_report_t;

/* A request that does not proceed because a server does not answer. */
typedef struct cb_stall {
	char *request_id;
	char *address; /* address of the server that the request waits for */
} cb_stall_t;

/* How the change of a running request's chain ended. */
typedef enum cb_reroute_outcome {
	CB_REROUTE_DONE,
	CB_REROUTE_UNKNOWN_REQUEST,
	/*
	 * A server of the new chain does not hold its layers or lacks capacity.
	 */
	CB_REROUTE_BAD_SERVER,
	/* no valid answer: the request's chain may have changed */
	CB_REROUTE_LOST,
} cb_reroute_outcome_t;

/* `address` is the address of the bad server, or NULL if it is not known. */
typedef void (*cb_reroute_done_fn_t)(cb_reroute_outcome_t outcome,
				     const char *address, void *user_data);

typedef void (*cb_order_done_fn_t)(cb_order_outcome_t outcome, void *user_data);

/* How a call for a report has ended. */
typedef enum cb_report_result {
	CB_REPORT_ANSWERED,
	CB_REPORT_FAILED,  /* connection refused or reset, or no valid answer */
	CB_REPORT_TIMEOUT, /* no answer in the time that the caller allows */
	/* This process lacked the resources for a call: shows nothing. */
	CB_REPORT_UNMADE,
} cb_report_result_t;

/* `report` is NULL unless `result` is CB_REPORT_ANSWERED. */
typedef void (*cb_report_done_fn_t)(cb_report_result_t result,
				    const cb_engine_report_t *report,
				    void *user_data);

/*
 * The functions with `done` call it exactly once and only after they themselves
 * have returned, unless the call is dropped before.
 */
typedef struct cb_engine_orders_vtable {
	/* Sends an order to a server. */
	void (*place)(cb_engine_orders_t *orders, const cb_layer_order_t *order,
		      cb_order_done_fn_t done, void *user_data);
	/*
	 * Requests a report from the server at `address`.  The caller limits the
	 * time: the result is never CB_REPORT_TIMEOUT.
	 */
	void (*report)(cb_engine_orders_t *orders, const char *address,
		       cb_report_done_fn_t done, void *user_data);
	/*
	 * Sends a new chain for a running request to its first server, which is
	 * at `address`.  `hops`, of cb_relay_hop_t, is the new chain; it begins
	 * with the same hop as the current one.
	 */
	void (*reroute)(cb_engine_orders_t *orders, const char *address,
			const char *request_id, const GArray *hops,
			cb_reroute_done_fn_t done, void *user_data);
	/* Drops the pending call of `user_data`, if any, without `done`. */
	void (*cancel)(cb_engine_orders_t *orders, const void *user_data);
} cb_engine_orders_vtable_t;

/* The first member of each implementation. */
struct cb_engine_orders {
	const cb_engine_orders_vtable_t *vtable;
};

#endif
