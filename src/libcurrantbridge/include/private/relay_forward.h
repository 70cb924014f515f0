#ifndef PRIVATE_RELAY_FORWARD_H
#define PRIVATE_RELAY_FORWARD_H

#include <glib.h>

#include "currantbridge/http1_head.h"
#include "private/reach.h"

struct cb_front;
struct cb_relay;

/*
 * Requests that an instance forwards to another one, since its own way to the
 * backend servers is lost.  They reach the other instance at an address of its
 * own, with their id, the time that is left and the number of runs so far, and
 * are not forwarded again.  See docs/REQUESTS.md, "Forwarded requests".
 */

/* What an instance says of a request that another one has forwarded to it. */
typedef enum cb_forward_outcome {
	CB_FORWARD_MALFORMED, /* it says nothing that is known */
	CB_FORWARD_ANSWERED,  /* the answer is that of a backend server */
	/* The request has not run, and another instance may run it. */
	CB_FORWARD_ELSEWHERE,
	CB_FORWARD_NOT_RUN, /* it has not run, and is refused */
	CB_FORWARD_UNKNOWN, /* it has run, or may have */
	CB_FORWARD_OUTCOME_COUNT
} cb_forward_outcome_t;

/* The header lines of an answer to another instance, with their ends. */
const char *cb_relay_forward_outcome_line(cb_forward_outcome_t outcome);
/*
 * Appends the header lines of the answer to a forwarded request: the outcome, and the
 * version of the document by which it was handled if the other instance reads that.
 */
void cb_relay_forward_append_lines(const struct cb_relay *relay,
				   cb_forward_outcome_t outcome,
				   GString *headers);
/* Reads the outcome from an answer's head. */
cb_forward_outcome_t cb_relay_forward_read_outcome(const cb_http1_head_t *head);
/* Returns whether a header is one between instances, and no server's. */
gboolean cb_relay_forward_is_own_header(const char *name);
/*
 * Returns the outcome of a forwarded request that this instance refuses for
 * `reason` before any run.
 */
cb_forward_outcome_t cb_relay_forward_refusal(const char *reason);

/*
 * Reads what the forwarding instance says of a request.  Returns FALSE if that
 * is malformed.
 */
gboolean cb_relay_forward_read(struct cb_relay *relay);
/* Returns whether an instance may be there that a request can be forwarded to. */
gboolean cb_relay_forward_is_possible(const struct cb_relay *relay);
/*
 * Forwards a request, or queues or gives it up; FALSE: none of these, since there
 * is no instance for it.
 */
gboolean cb_relay_forward_send(struct cb_relay *relay, cb_reach_state_t way);
/*
 * Ends the attempt at the instance named in `forwarded_to`, which is freed; there is
 * none if that is NULL.
 */
void cb_relay_forward_end(const struct cb_front *front, char **forwarded_to);
/* Records that the attempt at another instance has failed. */
void cb_relay_forward_failed(struct cb_relay *relay);
/* Handles that nothing came from the other instance for too long. */
void cb_relay_forward_silent(struct cb_relay *relay);
/* Returns after how many ms without data that is so. */
int64_t cb_relay_forward_silence_ms(const struct cb_relay *relay);

void cb_relay_forward_init(struct cb_front *front);
void cb_relay_forward_clear(struct cb_front *front);

#endif
