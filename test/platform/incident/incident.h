#ifndef INCIDENT_H
#define INCIDENT_H

#include <glib.h>
#include <stdint.h>

/*
 * Stand-ins for backend servers and for callers of test_incident, each an event
 * loop on a thread of its own, and the counts of what they saw.
 */
#define INCIDENT_SERVER_MAX 128
/* The address of server `i` is 127.0.1.(i + 1). */
#define INCIDENT_DATA_CENTRES 3
#define INCIDENT_LATE_MS 50
/* Layers of the model that engines run. */
#define INCIDENT_LAYERS 80
#define INCIDENT_LAYER_MB 1750
#define INCIDENT_LOAD_S 14

/* A kind of accelerator of engines. */
typedef struct incident_accelerator {
	const char *name;
	unsigned int memory_mb;
	double step_time_factor;
	double read_time_factor;
} incident_accelerator_t;

#define INCIDENT_ACCELERATORS 3
extern const incident_accelerator_t
	incident_accelerators[INCIDENT_ACCELERATORS];

typedef struct incident_servers_setup {
	unsigned int count;
	unsigned int other_count;     /* the last ones, of service "t" */
	unsigned int max_connections; /* of each server; beyond: reset */
	int backlog;		      /* of each listening socket */
	unsigned int event_count;     /* of each stream */
	int event_ms;
	gboolean are_engines; /* those of service "s" hold layers */
	int heartbeat_ms;
	/*
	 * Mean time between two pauses of a server, of random length, in which it
	 * reads requests but sends nothing; 0: there are none.
	 */
	int64_t pause_interval_ms;
	uint32_t seed;
} incident_servers_setup_t;

/* Last events of a run whose times are kept. */
#define INCIDENT_EVENT_TIMES 4

/* One run of a request at a server, from its arrival on. */
typedef struct incident_run {
	char *request_id;
	gboolean is_stream; /* resumable */
	gboolean is_other;  /* at service "t" */
	gboolean has_begun; /* an event or the answer was sent */
	gboolean is_whole;
	gboolean is_rejected; /* answered 421 or 503 without a run */
	gboolean was_closed;  /* the instance closed the connection */
	int64_t arrived_ms;
	int64_t progress_ms; /* when the last event was sent */
	int64_t ended_ms;
	unsigned int server;
	unsigned int events; /* that were sent */
	int64_t first_event_ms;
	/* When event `n` was sent, at n % INCIDENT_EVENT_TIMES. */
	int64_t event_ms[INCIDENT_EVENT_TIMES];
	int64_t due_ms; /* when the next part of the answer was due at the end */
} incident_run_t;

typedef struct incident_servers incident_servers_t;

incident_servers_t *incident_servers_new(const incident_servers_setup_t *setup,
					 char *const *control_addresses);
/* Closes all listening sockets, or opens them; open connections stay. */
void incident_servers_set_listening(incident_servers_t *servers,
				    gboolean is_listening);
/* Leaves new connections in the queues of the listening sockets. */
void incident_servers_set_accepting(incident_servers_t *servers,
				    gboolean is_accepting);
/* Has the servers of service "s" turn new requests away, or take them. */
void incident_servers_set_full(incident_servers_t *servers, gboolean is_full);
/*
 * Has the servers of a data centre stand still, as if they were starved, or go
 * on; connections to them are still made.
 */
void incident_servers_set_stalled(incident_servers_t *servers,
				  unsigned int data_centre,
				  gboolean is_stalled);
/* How late the servers were, beside stalls: the worst, and how often. */
typedef struct incident_lag {
	int64_t worst_ms;
	unsigned int count; /* of delays over INCIDENT_LATE_MS */
} incident_lag_t;
incident_lag_t incident_servers_lag(const incident_servers_t *servers);
/* Stops the threads and returns the runs: incident_run_t. */
GPtrArray *incident_servers_end(incident_servers_t *servers);
/* Connections that were reset since the server had its limit of them. */
unsigned int incident_servers_excess(const incident_servers_t *servers);
/* Orders that engines accepted, and reroutes of running streams. */
unsigned int incident_servers_orders(const incident_servers_t *servers);
unsigned int incident_servers_reroutes(const incident_servers_t *servers);
void incident_servers_delete(incident_servers_t *servers);

typedef enum incident_kind {
	INCIDENT_STREAM, /* resumable, on service "s" */
	INCIDENT_STREAM_ONCE,
	INCIDENT_SAFE, /* on service "t" */
	INCIDENT_UNSAFE,
	INCIDENT_KIND_COUNT
} incident_kind_t;

/* How a request ended for its caller. */
typedef enum incident_end {
	INCIDENT_PENDING,
	INCIDENT_WHOLE,
	INCIDENT_REFUSED, /* answered with another status than 200 */
	INCIDENT_RESET,
	INCIDENT_CLOSED, /* before the end of its answer */
	INCIDENT_LEFT,	 /* the caller waited for too long */
	INCIDENT_BROKEN, /* ended as complete, but isn't its whole answer */
	INCIDENT_END_COUNT
} incident_end_t;

/* One request of a caller, tried once. */
typedef struct incident_request {
	char id[20];
	incident_kind_t kind;
	incident_end_t end;
	unsigned int status; /* 0: no head of an answer came */
	gboolean has_begun;  /* an event of it came */
	int64_t sent_ms;
	int64_t begun_ms; /* when that event came */
	int64_t ended_ms;
} incident_request_t;

typedef struct incident_callers_setup {
	unsigned int rate_per_s;
	/*
	 * Not 0: so many callers send each next request after the last answer, over
	 * the same connection if it is kept.
	 */
	unsigned int caller_count;
	unsigned int event_count; /* of each stream */
	int time_budget_ms;
	gboolean has_long_gaps; /* the caller never leaves for a gap */
	uint32_t seed;
} incident_callers_setup_t;

typedef struct incident_callers incident_callers_t;

/* Starts to send requests over kept connections, to all entry instances. */
incident_callers_t *incident_callers_new(const incident_callers_setup_t *setup,
					 char *const *entry_addresses);
/* Sends no more, waits for all answers, returns them: incident_request_t. */
GPtrArray *incident_callers_end(incident_callers_t *callers);

#endif
