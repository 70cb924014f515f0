#ifndef CUTS_H
#define CUTS_H

#include <glib.h>
#include <stdint.h>

/*
 * Entry instances that lose their way to the backend servers: stand-ins for the
 * servers and for callers, for test_cuts.
 */
#define CUTS_ENTRY_COUNT 6
#define CUTS_SERVER_COUNT 12
/* The source address of entry instance `i` is 127.0.0.(CUTS_ENTRY_IP + i). */
#define CUTS_ENTRY_IP 20
/* The address of server `i` is 127.0.0.(CUTS_SERVER_IP + i). */
#define CUTS_SERVER_IP 60
#define CUTS_STREAM_EVENTS 10

/* What happens to an entry instance's connections to servers. */
typedef enum cuts_mode {
	CUTS_NONE,
	CUTS_HANG,	/* nothing passes; new ones are accepted and silent */
	CUTS_RESET,	/* they are reset, new ones too */
	CUTS_RESET_NEW, /* open ones live on, new ones are reset */
	/* They are reset; the test has new ones refused. */
	CUTS_REFUSE,
	CUTS_MODE_COUNT
} cuts_mode_t;

/* Backend servers of the service "s", as threads of the test. */
typedef struct cuts_servers cuts_servers_t;

cuts_servers_t *cuts_servers_new(const char *control_address);
void cuts_servers_set_mode(cuts_servers_t *servers, unsigned int entry,
			   cuts_mode_t mode);
/* Lets all servers stand still, as if they were starved, or go on. */
void cuts_servers_set_stalled(cuts_servers_t *servers, gboolean is_stalled);
/* Returns how often a request has run. */
unsigned int cuts_servers_run_count(cuts_servers_t *servers, const char *id);
/* Ends the servers' threads, and frees the servers. */
void cuts_servers_delete(cuts_servers_t *servers);

typedef enum cuts_kind {
	CUTS_STREAM, /* resumable */
	CUTS_SAFE,
	CUTS_UNSAFE,
	CUTS_KIND_COUNT
} cuts_kind_t;

/* One request of a caller, tried once. */
typedef struct cuts_request {
	char id[20];
	cuts_kind_t kind;
	unsigned int entry;
	unsigned int status; /* 0: no answer */
	gboolean is_whole;   /* answered 200, completely */
	int64_t sent_ms;
	int64_t answered_ms; /* when the answer was complete, or failed */
} cuts_request_t;

typedef struct cuts_callers cuts_callers_t;

cuts_callers_t *cuts_callers_new(const char *const *entry_addresses,
				 uint32_t seed);
/* Sends the next request, to each entry instance in turn. */
void cuts_callers_send(cuts_callers_t *callers);
/* Waits for all answers and returns the requests: cuts_request_t. */
GPtrArray *cuts_callers_end(cuts_callers_t *callers);

#endif
