#ifndef PRIVATE_SILENCE_H
#define PRIVATE_SILENCE_H

#include <glib.h>
#include <stdint.h>

/*
 * Decides what follows when the server of a stream says nothing.  Silence is not
 * loss: a sound server may pause and go on, and its connection tells if it ends.
 * An attempt is therefore left only for another one that can take over, and is
 * otherwise kept until its server goes on or breaks it off, an engine that it
 * needs is shown to have ended, or the request's time is over.  What other
 * connections show ends no attempt whose next event is not due yet.  These
 * decisions do no I/O and keep no state.
 */

/* What is known of the silent server. */
typedef enum cb_silence_sign {
	CB_SILENCE_EVENT_OVERDUE, /* no event came within the usual time */
	CB_SILENCE_NO_REPORT,	  /* nor an answer to a call for its report */
	/* This process lacks the resources for a call for its report. */
	CB_SILENCE_UNASKED,
	/*
	 * It refuses calls for its report, but holds the attempt's connection open,
	 * and its first event is in time.
	 */
	CB_SILENCE_REFUSED,
	/* It refuses calls for its report, or another engine waits for it. */
	CB_SILENCE_LOST,
	CB_SILENCE_STALLED,    /* it reports that it waits for another engine */
	CB_SILENCE_NO_REROUTE, /* no reroute avoids that engine */
	CB_SILENCE_WORKING,    /* its report names nothing that it waits for */
	CB_SILENCE_SIGN_COUNT
} cb_silence_sign_t;

extern const char *const cb_silence_sign_string[CB_SILENCE_SIGN_COUNT];

/* What this instance's other streams of the service show meanwhile. */
typedef enum cb_silence_peers {
	CB_SILENCE_PEERS_UNKNOWN, /* there are none at other servers */
	/* Another server sent an event after this one's next was due. */
	CB_SILENCE_PEERS_HEARD,
	CB_SILENCE_PEERS_SILENT, /* no other server did */
} cb_silence_peers_t;

typedef enum cb_silence_action {
	CB_SILENCE_WAIT,    /* keep the attempt, and look again later */
	CB_SILENCE_ASK,	    /* ask the server for its report */
	CB_SILENCE_REROUTE, /* let the server avoid the engine it waits for */
	CB_SILENCE_RESTART, /* leave the attempt, and resume elsewhere */
	CB_SILENCE_FAIL, /* the attempt has failed with an engine that ended */
} cb_silence_action_t;

typedef struct cb_silence {
	cb_silence_sign_t sign;
	gboolean gives_reports; /* the server is an engine */
	cb_silence_peers_t peers;
	/* Another attempt is allowed, and has a server, a retry and time. */
	gboolean may_restart;
	/* The engine that the server waits for is shown to have ended. */
	gboolean has_ended;
	int64_t silent_ms; /* since the last event, or since the request */
	/* The next event is not due yet: the attempt's own connection shows nothing. */
	gboolean is_in_progress;
} cb_silence_t;

/*
 * Returns what follows.  The load that this answers is a stall of a whole
 * service, or of this instance's own link: while all servers are silent, no
 * second wave of attempts is sent for some time.
 */
cb_silence_action_t cb_silence_decide(const cb_silence_t *silence);

#endif
