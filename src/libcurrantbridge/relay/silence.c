#include "private/silence.h"

/*
 * While all servers of a service are silent, or can't be asked, streams stay where
 * they are for this long.  Callers leave a stream that is silent for 2 s.
 */
#define SERVICE_STALL_MS 800

const char *const cb_silence_sign_string[CB_SILENCE_SIGN_COUNT] = {
	[CB_SILENCE_EVENT_OVERDUE] = "event", [CB_SILENCE_NO_REPORT] = "report",
	[CB_SILENCE_UNASKED] = "unasked",     [CB_SILENCE_REFUSED] = "refused",
	[CB_SILENCE_LOST] = "lost",	      [CB_SILENCE_STALLED] = "stalled",
	[CB_SILENCE_NO_REROUTE] = "reroute",  [CB_SILENCE_WORKING] = "working",
};

/* Decides on a server of which nothing shows whether it is lost. */
static cb_silence_action_t unproved_loss_decide_(const cb_silence_t *silence)
{
	if (!silence->may_restart)
		return CB_SILENCE_WAIT;
	if (silence->peers == CB_SILENCE_PEERS_SILENT &&
	    silence->silent_ms < SERVICE_STALL_MS)
		return CB_SILENCE_WAIT;
	return CB_SILENCE_RESTART;
}

/* Decides on a stream whose next event is overdue. */
static cb_silence_action_t overdue_decide_(const cb_silence_t *silence)
{
	switch (silence->sign) {
	case CB_SILENCE_EVENT_OVERDUE:
		return silence->gives_reports ? CB_SILENCE_ASK :
						unproved_loss_decide_(silence);
	case CB_SILENCE_NO_REPORT:
		return unproved_loss_decide_(silence);
	case CB_SILENCE_UNASKED:
		/* Nothing shows that this one alone is silent. */
		return silence->may_restart &&
				       silence->silent_ms >= SERVICE_STALL_MS ?
			       CB_SILENCE_RESTART :
			       CB_SILENCE_WAIT;
	case CB_SILENCE_LOST:
		/* If the server has ended, its connection is reset as well. */
		return silence->may_restart ? CB_SILENCE_RESTART :
					      CB_SILENCE_WAIT;
	case CB_SILENCE_NO_REROUTE:
		if (silence->may_restart)
			return CB_SILENCE_RESTART;
		return silence->has_ended ? CB_SILENCE_FAIL : CB_SILENCE_WAIT;
	case CB_SILENCE_STALLED:
		return CB_SILENCE_REROUTE;
	default:
		return CB_SILENCE_WAIT;
	}
}

cb_silence_action_t cb_silence_decide(const cb_silence_t *silence)
{
	cb_silence_action_t action = overdue_decide_(silence);

	if (silence->is_in_progress &&
	    (action == CB_SILENCE_RESTART || action == CB_SILENCE_FAIL))
		return CB_SILENCE_WAIT;
	return action;
}
