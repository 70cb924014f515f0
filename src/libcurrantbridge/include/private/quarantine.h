#ifndef PRIVATE_QUARANTINE_H
#define PRIVATE_QUARANTINE_H

#include "currantbridge/generation.h"

/*
 * Finds the requests that end the backend servers that run them.  A digest
 * is suspect when a server died under it.  The second death is held against
 * it if no other suspect ran there and no other server failed at about the
 * same time; otherwise the suspects run one at a time, apart from other
 * work, until they have passed the place where the server died.
 */
typedef struct cb_quarantine cb_quarantine_t;

typedef enum cb_quarantine_verdict {
	CB_QUARANTINE_RUN,
	CB_QUARANTINE_RUN_ALONE,
	CB_QUARANTINE_WAIT,
	CB_QUARANTINE_REFUSED,
	CB_QUARANTINE_VERDICT_COUNT
} cb_quarantine_verdict_t;

extern const char
	*const cb_quarantine_verdict_string[CB_QUARANTINE_VERDICT_COUNT];

cb_quarantine_t *cb_quarantine_new(const cb_generation_parts_t *parts);
void cb_quarantine_delete(cb_quarantine_t *quarantine);

cb_quarantine_verdict_t cb_quarantine_admit(cb_quarantine_t *quarantine,
					    const char *digest);
int64_t cb_quarantine_remaining_s(const cb_quarantine_t *quarantine,
				  const char *digest);
/* Brackets an attempt of a digest on a server. */
void cb_quarantine_begin(cb_quarantine_t *quarantine, const char *digest,
			 const cb_server_t *server);
void cb_quarantine_end(cb_quarantine_t *quarantine, const char *digest,
		       const cb_server_t *server);
void cb_quarantine_progressed(cb_quarantine_t *quarantine, const char *digest,
			      uint64_t delivered_count);
void cb_quarantine_passed(cb_quarantine_t *quarantine, const char *digest);
void cb_quarantine_left(cb_quarantine_t *quarantine, const char *digest);
void cb_quarantine_server_died(cb_quarantine_t *quarantine,
			       const cb_server_t *server);
/* Whether work of `digest` may be placed there, other suspects in mind. */
gboolean cb_quarantine_may_share(const cb_quarantine_t *quarantine,
				 const char *digest, const cb_server_t *server);
gboolean cb_quarantine_runs_on(const cb_quarantine_t *quarantine,
			       const char *digest, const cb_server_t *server);
/* Whether a digest that has not yet finished anywhere is running here. */
gboolean cb_quarantine_is_untried(const cb_quarantine_t *quarantine,
				  const char *digest);
gboolean cb_quarantine_is_idle(const cb_quarantine_t *quarantine,
			       const cb_server_t *server);

#endif
