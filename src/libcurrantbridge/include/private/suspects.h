#ifndef PRIVATE_SUSPECTS_H
#define PRIVATE_SUSPECTS_H

#include "currantbridge/generation.h"

/*
 * Finds requests that crash the backend servers that run them.  A digest
 * becomes suspect when a server dies while running a request with it.  At the
 * second death it is quarantined if no request with another suspect digest was
 * running on that server and no other server failed at about the same time.
 * Otherwise the suspect requests run one at a time, without other requests on
 * the same servers, until they have passed the token at which the server died.
 */
typedef struct cb_suspects cb_suspects_t;

typedef enum cb_suspects_verdict {
	CB_SUSPECTS_RUN,
	/* run the request only on servers that run nothing else */
	CB_SUSPECTS_RUN_ALONE,
	CB_SUSPECTS_WAIT,    /* try again after a short delay */
	CB_SUSPECTS_REFUSED, /* the digest is quarantined */
	CB_SUSPECTS_VERDICT_COUNT
} cb_suspects_verdict_t;

extern const char *const cb_suspects_verdict_string[CB_SUSPECTS_VERDICT_COUNT];

cb_suspects_t *cb_suspects_new(const cb_generation_parts_t *parts);
void cb_suspects_delete(cb_suspects_t *suspects);

cb_suspects_verdict_t cb_suspects_admit(cb_suspects_t *suspects,
					const char *digest);
int64_t cb_suspects_quarantine_remaining_s(const cb_suspects_t *suspects,
					   const char *digest);
/*
 * Record that a server begins and ends an attempt of a request with a digest.
 */
void cb_suspects_attempt_begin(cb_suspects_t *suspects, const char *digest,
			       const cb_server_t *server);
void cb_suspects_attempt_end(cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server);
void cb_suspects_progress_record(cb_suspects_t *suspects, const char *digest,
				 uint64_t delivered_count);
void cb_suspects_request_finished(cb_suspects_t *suspects, const char *digest);
void cb_suspects_request_add(cb_suspects_t *suspects, const char *digest);
void cb_suspects_request_remove(cb_suspects_t *suspects, const char *digest);
void cb_suspects_server_failed(cb_suspects_t *suspects,
			       const cb_server_t *server);
void cb_suspects_server_died(cb_suspects_t *suspects,
			     const cb_server_t *server);
/*
 * Whether a request with `digest` may be sent to a server although a suspect
 * request may have to run there alone.
 */
gboolean cb_suspects_may_share(const cb_suspects_t *suspects,
			       const char *digest, const cb_server_t *server);
gboolean cb_suspects_runs_on(const cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server);
/* Whether requests with a digest are running here and none has finished. */
gboolean cb_suspects_is_first_run(const cb_suspects_t *suspects,
				  const char *digest);
gboolean cb_suspects_is_idle(const cb_suspects_t *suspects,
			     const cb_server_t *server);

#endif
