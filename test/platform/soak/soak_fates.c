#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/*
 * A request whose last byte was sent this long before its entry got SIGTERM may
 * not have been read yet.
 */
#define UNREAD_MARGIN_MS 20

const char *const soak_fate_string[SOAK_FATE_COUNT] = {
	[SOAK_FATE_SERVED] = "served",
	[SOAK_FATE_REFUSED] = "refused",
	[SOAK_FATE_LEFT] = "caller left",
	[SOAK_FATE_UNREAD] = "not read by a stopping entry",
	[SOAK_FATE_STOPPED] = "after the entry's grace time",
	[SOAK_FATE_LATE_ANSWER] = "error after its time",
	[SOAK_FATE_LATE_CUT] = "cut after its time",
	[SOAK_FATE_CUT_RESET] = "cut by a reset",
	[SOAK_FATE_CUT_CLOSED] = "cut by a close or without an end",
	[SOAK_FATE_UNANSWERED] = "without an answer",
	[SOAK_FATE_EARLY_502] = "502 within its time",
	[SOAK_FATE_EARLY_504] = "504 within its time",
	[SOAK_FATE_OTHER_ERROR] = "another error",
};

/* Returns the stop of a request's entry while the request was open, or NULL. */
static const soak_stop_t *stop_find_(const soak_request_t *request,
				     const soak_limits_t *limits)
{
	unsigned int i;

	for (i = 0; limits->stops && i < limits->stops->len; i++) {
		const soak_stop_t *stop =
			&g_array_index(limits->stops, soak_stop_t, i);

		if (stop->entry == request->entry &&
		    stop->stopped_ms <= request->ended_ms &&
		    (!stop->ended_ms || request->sent_ms <= stop->ended_ms))
			return stop;
	}
	return NULL;
}

/* Returns what became of a request whose answer is an error. */
static soak_fate_t error_fate_find_(unsigned int status, gboolean is_late)
{
	if (is_late)
		return SOAK_FATE_LATE_ANSWER;
	switch (status) {
	case 502:
		return SOAK_FATE_EARLY_502;
	case 504:
		return SOAK_FATE_EARLY_504;
	default:
		return SOAK_FATE_OTHER_ERROR;
	}
}

/* Returns what became of a request without a complete answer. */
static soak_fate_t cut_fate_find_(const soak_request_t *request,
				  const soak_stop_t *stop, gboolean has_run,
				  gboolean is_late)
{
	if (!request->begun_status && stop && !has_run &&
	    request->sent_whole_ms + UNREAD_MARGIN_MS >= stop->stopped_ms)
		return SOAK_FATE_UNREAD;
	if (!request->begun_status)
		return SOAK_FATE_UNANSWERED;
	if (is_late && request->end != SOAK_END_SILENT)
		return SOAK_FATE_LATE_CUT;
	return request->end == SOAK_END_RESET ? SOAK_FATE_CUT_RESET :
						SOAK_FATE_CUT_CLOSED;
}

/* Returns what became of a request. */
static soak_fate_t fate_find_(const soak_request_t *request, gboolean has_run,
			      const soak_limits_t *limits)
{
	const soak_stop_t *stop = stop_find_(request, limits);
	gboolean is_late =
		request->ended_ms - request->sent_ms >= limits->time_ms;

	if (request->end == SOAK_END_LEFT)
		return SOAK_FATE_LEFT;
	if (request->end == SOAK_END_UNSENT && stop)
		return SOAK_FATE_UNREAD;
	if (request->end == SOAK_END_WHOLE && request->status == 200)
		return SOAK_FATE_SERVED;
	if (soak_status_promises_no_run(request->status))
		return SOAK_FATE_REFUSED;
	if (stop && request->ended_ms - stop->stopped_ms >= limits->grace_ms)
		return SOAK_FATE_STOPPED;
	if (request->end == SOAK_END_WHOLE)
		return error_fate_find_(request->status, is_late);
	return cut_fate_find_(request, stop, has_run, is_late);
}

/* Returns whether a sound server's request must not end like this. */
static gboolean fate_is_fault_(soak_fate_t fate)
{
	return fate >= SOAK_FATE_CUT_RESET;
}

/* Prints a request that lacks the answer that it should have got. */
static void fault_print_(const soak_request_t *request,
			 const soak_effect_t *effect, soak_fate_t fate)
{
	printf("    request %s at entry %u %s: %s%s, status %u, %d ms, "
	       "%zu bytes, ran %u times:%s\n",
	       request->id, request->entry, soak_fate_string[fate],
	       soak_routes[request->kind].prefix, request->key,
	       request->begun_status,
	       (int)(request->ended_ms - request->sent_ms),
	       request->body ? strlen(request->body) : 0,
	       effect ? effect->run_count : 0,
	       effect ? effect->servers->str : "");
}

unsigned int soak_check_fates(const GPtrArray *requests,
			      const char *effects_path,
			      const soak_limits_t *limits, gboolean prints,
			      soak_tally_t *tally)
{
	GHashTable *effects = soak_effects_read(effects_path);
	unsigned int fault_count = 0;
	unsigned int i;

	*tally = (soak_tally_t){ 0 };
	for (i = 0; i < requests->len; i++) {
		const soak_request_t *request = requests->pdata[i];
		const soak_effect_t *effect =
			g_hash_table_lookup(effects, request->id);
		soak_fate_t fate = fate_find_(request, effect != NULL, limits);

		tally->counts[request->kind][fate]++;
		fault_count += fate_is_fault_(fate);
		if (fate_is_fault_(fate) && prints)
			fault_print_(request, effect, fate);
	}
	g_hash_table_unref(effects);
	return fault_count;
}

gboolean soak_exit_is_expected(const soak_exit_t *process_exit)
{
	if (process_exit->was_killed)
		return TRUE;
	if (!process_exit->was_stopped || process_exit->exit_code)
		return FALSE;
	/* A process that has just started has no handler for SIGTERM yet. */
	return !process_exit->signal_number ||
	       process_exit->signal_number == SIGTERM;
}
