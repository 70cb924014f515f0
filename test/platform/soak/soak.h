#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdint.h>

/*
 * What callers sent and got, and what the checks find in it.  A request is one
 * attempt of a caller, with an ID of its own.  A caller that is told that its
 * request did not run sends it again under another ID and the same key, which
 * is the end of its path.
 */
typedef enum soak_kind {
	SOAK_ONCE,	 /* may run only once, on service "s" */
	SOAK_ONCE_OTHER, /* may run only once, on service "t" */
	SOAK_IDEMPOTENT, /* may run again, on service "s" */
	SOAK_KIND_COUNT
} soak_kind_t;

/* The path that requests of a kind begin with, and the service they are for. */
extern const char *const soak_path_prefix[SOAK_KIND_COUNT];
extern const char *const soak_service[SOAK_KIND_COUNT];

typedef struct soak_request {
	char id[20];
	char key[20];
	soak_kind_t kind;
	unsigned int entry;  /* index of the entry instance it was sent to */
	unsigned int status; /* of the answer; 0: none, or a cut one */
	char *body;	     /* of the answer; NULL: none */
	int64_t sent_ms;     /* monotonic time */
	int64_t ended_ms;
} soak_request_t;

/* Returns whether a status tells the caller that the request did not run. */
gboolean soak_status_promises_no_run(unsigned int status);

/* The callers, each a thread that sends one request after the other. */
typedef struct soak_callers soak_callers_t;

soak_callers_t *soak_callers_start(const char *const *entry_addresses,
				   unsigned int count, uint32_t seed);
/* Stops the callers and returns their requests: soak_request_t. */
GPtrArray *soak_callers_stop(soak_callers_t *callers);

/*
 * Checks requests against the file of effects.  Returns how many break a rule,
 * and prints each of them if `prints`.
 */
unsigned int soak_check(const GPtrArray *requests, const char *effects_path,
			gboolean prints);

#endif
