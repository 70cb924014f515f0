#ifndef PRIVATE_SUSPECTS_H
#define PRIVATE_SUSPECTS_H

#include "currantbridge/generation.h"

/*
 * Finds the requests that end the backend servers that run them.  A digest
 * is suspect when a server died under it.  The second death is held against
 * it if no other suspect ran there and no other server failed at about the
 * same time; otherwise the suspects run one at a time, apart from other
 * work, until they have passed the place where the server died.
 */
typedef struct cb_suspects cb_suspects_t;

typedef enum cb_suspects_verdict {
	CB_SUSPECTS_RUN,
	CB_SUSPECTS_RUN_ALONE,
	CB_SUSPECTS_WAIT,
	CB_SUSPECTS_REFUSED,
	CB_SUSPECTS_VERDICT_COUNT
} cb_suspects_verdict_t;

extern const char *const cb_suspects_verdict_string[CB_SUSPECTS_VERDICT_COUNT];

cb_suspects_t *cb_suspects_new(const cb_generation_parts_t *parts);
void cb_suspects_delete(cb_suspects_t *suspects);

cb_suspects_verdict_t cb_suspects_admit(cb_suspects_t *suspects,
					const char *digest);
int64_t cb_suspects_remaining_s(const cb_suspects_t *suspects,
				const char *digest);
/* Brackets an attempt of a digest on a server. */
void cb_suspects_begin(cb_suspects_t *suspects, const char *digest,
		       const cb_server_t *server);
void cb_suspects_end(cb_suspects_t *suspects, const char *digest,
		     const cb_server_t *server);
void cb_suspects_progressed(cb_suspects_t *suspects, const char *digest,
			    uint64_t delivered_count);
void cb_suspects_passed(cb_suspects_t *suspects, const char *digest);
void cb_suspects_joined(cb_suspects_t *suspects, const char *digest);
void cb_suspects_left(cb_suspects_t *suspects, const char *digest);
void cb_suspects_server_failed(cb_suspects_t *suspects,
			       const cb_server_t *server);
void cb_suspects_server_died(cb_suspects_t *suspects,
			     const cb_server_t *server);
/* Whether work of `digest` may be placed there, other suspects in mind. */
gboolean cb_suspects_may_share(const cb_suspects_t *suspects,
			       const char *digest, const cb_server_t *server);
gboolean cb_suspects_runs_on(const cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server);
/* Whether a digest that has not yet finished anywhere is running here. */
gboolean cb_suspects_is_untried(const cb_suspects_t *suspects,
				const char *digest);
gboolean cb_suspects_is_idle(const cb_suspects_t *suspects,
			     const cb_server_t *server);

#endif
