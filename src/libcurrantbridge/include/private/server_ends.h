#ifndef PRIVATE_SERVER_ENDS_H
#define PRIVATE_SERVER_ENDS_H

#include "currantbridge/clock.h"
#include "currantbridge/dialect.h"
#include "private/content_book.h"

/*
 * Finds out whether the process of a server has ended: after its connections were
 * lost, a new connection to its address is refused; after its answers fell silent,
 * a later process has its address.
 */
typedef struct cb_server_ends cb_server_ends_t;

/* What a new connection to a server, or a report on its address, has shown. */
typedef enum cb_server_check {
	CB_SERVER_CHECK_REFUSED, /* its process has ended */
	CB_SERVER_CHECK_CONNECTED,
	CB_SERVER_CHECK_UNANSWERED,
	/* A later process has its address, so this one has ended. */
	CB_SERVER_CHECK_REPLACED,
	CB_SERVER_CHECK_COUNT
} cb_server_check_t;

extern const char *const cb_server_check_string[CB_SERVER_CHECK_COUNT];

/*
 * Called once for each checked server process, and for each silent one that is
 * replaced.  `losses` holds the attempts that were given: cb_content_attempt_t.
 */
typedef void (*cb_server_checked_fn_t)(const cb_relay_hop_t *server,
				       cb_server_check_t check,
				       const GPtrArray *losses,
				       void *user_data);

cb_server_ends_t *cb_server_ends_new(GMainContext *context, cb_clock_t *clock,
				     cb_server_checked_fn_t fn,
				     void *user_data);
void cb_server_ends_delete(cb_server_ends_t *ends);
/*
 * Takes note of a lost connection and the attempt that used it, whose ownership is
 * taken.
 */
void cb_server_ends_add_loss(cb_server_ends_t *ends,
			     const cb_relay_hop_t *server,
			     cb_content_attempt_t *loss);
/*
 * Takes note of an attempt whose answer has fallen silent and that is left, and
 * takes its ownership.  It counts if the server's process is replaced within some
 * seconds.
 */
void cb_server_ends_add_silence(cb_server_ends_t *ends,
				const cb_relay_hop_t *server,
				cb_content_attempt_t *attempt);
/* Takes note that a process which started at this time has an address. */
void cb_server_ends_hear_process(cb_server_ends_t *ends, const char *address,
				 int64_t start_wall_ms);
/* Forgets the silence of a process, which is told to stop. */
void cb_server_ends_forget_silence(cb_server_ends_t *ends, const char *id,
				   int64_t start_wall_ms);

#endif
