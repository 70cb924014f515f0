#include "private/relay.h"

#include <string.h>

#include "private/relay_reach.h"
#include "private/silence.h"

/*
 * A stream without a first event is checked after this percentage of the time
 * in which its route wants that event.
 */
#define FIRST_EVENT_CHECK_PERCENT 25
#define DEFAULT_SILENCE_MS 1500
/* Shortest time between two checks of a stream. */
#define CHECK_INTERVAL_MIN_MS 20
/*
 * An answer that is not a stream that may be resumed is checked this often: it may
 * be late since the way to its server is lost.
 */
#define ANSWER_CHECK_INTERVAL_MS 150
/* How long an engine may take to carry out a reroute. */
#define REROUTE_TIMEOUT_MS 300
/* Reroutes without an event in between, after which no other is requested. */
#define REROUTES_MAX 4

/* Returns how long a stream may be without an event, in ms. */
static int64_t silence_limit_compute_(const cb_relay_t *relay)
{
	const cb_route_t *route = relay->route;
	int64_t limit_ms;

	if (!route->target_gap_ms)
		limit_ms = DEFAULT_SILENCE_MS;
	else if (!relay->is_answer_begun)
		limit_ms = route->target_latency_ms *
			   FIRST_EVENT_CHECK_PERCENT / 100;
	else
		limit_ms = cb_event_pace_silence_ms(&relay->pace,
						    route->target_gap_ms);
	return MAX(limit_ms, CHECK_INTERVAL_MIN_MS);
}

/*
 * Returns the time at which the next event of a stream was due: another stream
 * that got one later was not stalled by the same cause.
 */
static int64_t event_due_compute_(const cb_relay_t *relay)
{
	int64_t last_ms = MAX(relay->pace.last_ms, relay->sent_ms);

	if (!relay->is_answer_begun || !relay->route->target_gap_ms)
		return last_ms + silence_limit_compute_(relay);
	return last_ms +
	       cb_event_pace_first_check_ms(&relay->pace,
					    relay->route->target_gap_ms);
}

/* Returns whether the stream may be checked and moved to other engines. */
static gboolean stream_is_watched_(const cb_relay_t *relay)
{
	return relay->route->kind == CB_ROUTE_STREAM &&
	       cb_relay_is_resumable(relay);
}

/*
 * Restarts the silence timer after an event or a check.  A stream that may be
 * resumed elsewhere is watched closely; any other request only for signs that the
 * way to its server is lost.
 */
void cb_relay_start_silence_timer(cb_relay_t *relay)
{
	if (relay->is_reroute_pending)
		return;
	if (relay->forwarded_to || !stream_is_watched_(relay)) {
		cb_timer_start(relay->silence_timer,
			       relay->forwarded_to ?
				       cb_relay_forward_silence_ms(relay) :
				       ANSWER_CHECK_INTERVAL_MS);
		return;
	}
	if (relay->is_report_pending)
		cb_engine_reports_cancel(relay->front->reports, relay);
	relay->is_report_pending = FALSE;
	cb_timer_start(relay->silence_timer, silence_limit_compute_(relay));
}

/* Returns in how many ms more data of the attempt is due; 0: it is overdue. */
static int64_t due_time_left_(const cb_relay_t *relay)
{
	int64_t due_ms =
		MAX(relay->heard_ms, relay->sent_ms) + ANSWER_CHECK_INTERVAL_MS;

	if (stream_is_watched_(relay))
		due_ms = event_due_compute_(relay);
	return MAX(due_ms - cb_relay_now_ms(relay), 0);
}

gboolean cb_relay_is_overdue(const cb_relay_t *relay)
{
	return !relay->is_call_paused && !due_time_left_(relay);
}

/*
 * Returns what the streams at other servers of the service, and the checks of some,
 * show since this one's next event was due.
 */
static cb_silence_peers_t peers_find_(const cb_relay_t *relay)
{
	int64_t due_ms = event_due_compute_(relay);
	cb_silence_peers_t peers = CB_SILENCE_PEERS_UNKNOWN;
	const char *server_id =
		g_array_index(relay->hops, cb_relay_hop_t, 0).id;
	GHashTableIter iter;
	void *value;

	if (cb_relay_reach_may_stall(relay))
		return CB_SILENCE_PEERS_SILENT;
	g_hash_table_iter_init(&iter, relay->front->relays);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const cb_relay_t *peer = value;

		if (!peer->call || !peer->hops->len ||
		    peer->route->kind != CB_ROUTE_STREAM ||
		    strcmp(peer->service->name, relay->service->name) != 0 ||
		    !strcmp(g_array_index(peer->hops, cb_relay_hop_t, 0).id,
			    server_id))
			continue;
		if (peer->pace.last_ms > due_ms)
			return CB_SILENCE_PEERS_HEARD;
		peers = CB_SILENCE_PEERS_SILENT;
	}
	return peers;
}

/*
 * Returns whether another attempt can take over a stream from the server at
 * `lost_address` (NULL: the first hop): it is allowed, has time to send an event
 * within the route's target, a retry is left, and a server for it is in reach.
 */
static gboolean restart_is_possible_(const cb_relay_t *relay,
				     const char *lost_address)
{
	const cb_relay_hop_t *lost_hop = cb_relay_find_hop(relay, lost_address);
	cb_front_t *front = relay->front;
	GHashTable *excluded_servers;
	GArray *hops;
	gboolean is_found;
	GHashTableIter iter;
	void *id;

	if (!cb_relay_may_retry(relay, 1, relay->route->target_latency_ms) ||
	    !cb_retry_share_has_retry(front->retries, relay->service->name) ||
	    !cb_relay_reach_allows_restart(relay))
		return FALSE;
	excluded_servers = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_iter_init(&iter, relay->tried_servers);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_hash_table_add(excluded_servers, id);
	if (lost_hop)
		g_hash_table_add(excluded_servers, lost_hop->id);
	hops = cb_relay_hops_new();
	is_found =
		cb_server_book_choose(front->book,
				      &(cb_book_criteria_t){
					      .service = relay->service,
					      .tokens = relay->expected_tokens,
					      .excluded_servers =
						      excluded_servers },
				      hops) == CB_BOOK_FOUND;
	g_array_unref(hops);
	g_hash_table_unref(excluded_servers);
	return is_found;
}

/*
 * Records that a kept attempt waits for its first server, which new requests
 * then avoid; not while all servers of the service are silent.
 */
static void silence_record_(cb_relay_t *relay, const cb_silence_t *silence)
{
	if (silence->peers == CB_SILENCE_PEERS_SILENT ||
	    (silence->sign != CB_SILENCE_EVENT_OVERDUE &&
	     silence->sign != CB_SILENCE_NO_REPORT))
		return;
	cb_server_book_record_failure(
		relay->front->book,
		g_array_index(relay->hops, cb_relay_hop_t, 0).id, TRUE);
}

/* Keeps a silent attempt, and looks again later. */
static void attempt_keep_(cb_relay_t *relay, const cb_silence_t *silence)
{
	gboolean is_working = silence->sign == CB_SILENCE_WORKING;

	if (!relay->pace.check_count && !is_working) {
		silence_record_(relay, silence);
		cb_log_event(relay->front->log, CB_EVENT_RELAY_KEPT,
			     CB_STR("request", relay->request_info.id),
			     CB_STR("awaited",
				    cb_silence_sign_string[silence->sign]),
			     CB_INT("may_restart", silence->may_restart),
			     CB_INT("last_event", relay->last_event),
			     CB_INT("silent_ms", silence->silent_ms),
			     CB_INT("unread", cb_relay_has_input(relay)),
			     CB_INT("late_ms",
				    cb_clock_lateness_ms(relay->front->clock)));
	}
	if (!relay->pace.current_cause)
		cb_event_pace_set_cause(&relay->pace,
					is_working ? "slow" : CB_RELAY_SILENT);
	cb_event_pace_count_check(&relay->pace, is_working);
	cb_relay_start_silence_timer(relay);
}

/*
 * Returns whether new connections to the attempt's servers are made, so that refused
 * ones show that an engine has ended.
 */
static gboolean way_is_open_(const cb_relay_t *relay)
{
	return !relay->way_group ||
	       cb_reach_group_state(relay->way_group) == CB_REACH_OPEN;
}

static void report_request_(cb_relay_t *relay);
static void reroute_request_(cb_relay_t *relay, const char *lost_address);

/*
 * Does what follows for a stream whose server is silent.  `lost_address` is the
 * server that is waited for, NULL: the first hop.
 */
static void silence_handle_(cb_relay_t *relay, cb_silence_sign_t sign,
			    const char *lost_address)
{
	gboolean gives_reports = relay->service->engine != NULL;
	/* A stream that is only checked costs no search for another server. */
	gboolean may_be_left =
		sign != CB_SILENCE_WORKING && sign != CB_SILENCE_STALLED &&
		(sign != CB_SILENCE_EVENT_OVERDUE || !gives_reports);
	const cb_silence_t silence = {
		.sign = sign,
		.gives_reports = gives_reports,
		.peers = may_be_left ? peers_find_(relay) :
				       CB_SILENCE_PEERS_UNKNOWN,
		.may_restart = may_be_left &&
			       restart_is_possible_(relay, lost_address),
		.has_ended = lost_address && way_is_open_(relay) &&
			     cb_engine_reports_has_ended(relay->front->reports,
							 lost_address),
		.silent_ms = cb_relay_silent_ms(relay),
		.is_in_progress = !cb_relay_is_overdue(relay),
	};

	switch (cb_silence_decide(&silence)) {
	case CB_SILENCE_ASK:
		report_request_(relay);
		break;
	case CB_SILENCE_REROUTE:
		reroute_request_(relay, lost_address);
		break;
	case CB_SILENCE_RESTART:
	case CB_SILENCE_FAIL:
		relay->awaited = cb_silence_sign_string[sign];
		relay->has_left_silent |= !silence.has_ended;
		if (silence.has_ended)
			cb_relay_attempt_failed(relay, CB_RELAY_SILENT, TRUE,
						lost_address);
		else
			cb_relay_attempt_leave(relay, CB_RELAY_SILENT,
					       lost_address);
		break;
	case CB_SILENCE_WAIT:
		if (silence.is_in_progress)
			cb_timer_start(relay->silence_timer,
				       MAX(due_time_left_(relay),
					   CHECK_INTERVAL_MIN_MS));
		else
			attempt_keep_(relay, &silence);
		if (lost_address &&
		    cb_engine_reports_is_check_due(relay->front->reports,
						   lost_address))
			cb_relay_check_engine(relay->front, lost_address);
		break;
	}
}

void cb_relay_clear_former_hops(cb_relay_t *relay)
{
	g_clear_pointer(&relay->former_hops, g_array_unref);
}

/* Returns a stream to the chain that it had before a reroute that failed. */
static void former_hops_restore_(cb_relay_t *relay)
{
	cb_server_book_t *book = relay->front->book;

	cb_server_book_end_request(book, relay->hops, relay->expected_tokens);
	g_array_unref(relay->hops);
	relay->hops = g_steal_pointer(&relay->former_hops);
	cb_server_book_begin_request(book, relay->hops, relay->expected_tokens);
}

/* Called with the first server's answer to a request for a reroute. */
static void reroute_answer_receive_(cb_reroute_outcome_t outcome,
				    const char *address, void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	char *hops_text;

	relay->is_reroute_pending = FALSE;
	if (outcome != CB_REROUTE_DONE) {
		former_hops_restore_(relay);
		if (outcome == CB_REROUTE_BAD_SERVER && address &&
		    cb_server_book_record_loss_at(front->book, address,
						  relay->tried_servers))
			silence_handle_(relay, CB_SILENCE_STALLED, address);
		else
			silence_handle_(relay, CB_SILENCE_NO_REROUTE, address);
		return;
	}
	cb_relay_clear_former_hops(relay);
	hops_text = cb_relay_format_hops(relay);
	cb_log_event(front->log, CB_EVENT_RELAY_REROUTED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("way", hops_text),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("silent_ms", cb_relay_silent_ms(relay)));
	g_free(hops_text);
	cb_event_pace_set_cause(&relay->pace, "rerouted");
	cb_relay_start_silence_timer(relay);
}

/*
 * Requests that the first server sends the stream through another chain, since
 * the server at `lost_address` is lost.
 */
static void reroute_request_(cb_relay_t *relay, const char *lost_address)
{
	cb_front_t *front = relay->front;
	GArray *hops = cb_relay_hops_new();
	const cb_book_criteria_t criteria = {
		.service = relay->service,
		.tokens = relay->expected_tokens,
		.excluded_servers = relay->tried_servers,
		.running_hops = relay->hops,
		/*
		 * All tokens so far would be sent between data centres again; a
		 * chain within another data centre processes them sooner.
		 */
		.forbids_crossing = TRUE,
	};
	cb_book_outcome_t outcome = CB_BOOK_NO_SERVER;

	cb_server_book_end_request(front->book, relay->hops,
				   relay->expected_tokens);
	if (relay->reroute_count++ < REROUTES_MAX)
		outcome = cb_server_book_choose(front->book, &criteria, hops);
	cb_server_book_begin_request(front->book,
				     outcome == CB_BOOK_FOUND ? hops :
								relay->hops,
				     relay->expected_tokens);
	if (outcome != CB_BOOK_FOUND) {
		g_array_unref(hops);
		silence_handle_(relay, CB_SILENCE_NO_REROUTE, lost_address);
		return;
	}
	relay->former_hops = relay->hops;
	relay->hops = hops;
	relay->is_reroute_pending = TRUE;
	relay->reroute_sent_ms = cb_relay_now_ms(relay);
	cb_timer_start(relay->silence_timer, REROUTE_TIMEOUT_MS);
	front->orders->vtable->reroute(
		front->orders, g_array_index(hops, cb_relay_hop_t, 0).address,
		relay->request_info.id, hops, reroute_answer_receive_, relay);
}

/*
 * Returns what it shows of a stream that its first server refuses other calls.  The
 * open connection to a process that has ended is reset: until the first event is late
 * by the route's target, a server that refuses new connections may be preparing it.
 */
static cb_silence_sign_t first_refusal_judge_(const cb_relay_t *relay)
{
	gboolean is_in_time =
		!relay->is_answer_begun && cb_http1_call_is_sent(relay->call) &&
		cb_relay_silent_ms(relay) < relay->route->target_latency_ms;

	return is_in_time ? CB_SILENCE_REFUSED : CB_SILENCE_LOST;
}

/*
 * Moves a stream away from an engine that does not answer, since it refuses calls
 * or another engine waits for it.  If that is its first one, the stream is resumed
 * by another.
 */
static void stream_move_(cb_relay_t *relay, const char *address,
			 gboolean is_refused)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	if (!relay->pace.check_count)
		cb_log_event(relay->front->log, CB_EVENT_RELAY_STALLED,
			     CB_STR("request", relay->request_info.id),
			     CB_STR("address", address),
			     CB_INT("last_event", relay->last_event),
			     CB_INT("silent_ms", cb_relay_silent_ms(relay)));
	cb_front_report_usage_soon(relay->front);
	if (is_refused && !strcmp(address, first->address))
		silence_handle_(relay, first_refusal_judge_(relay), address);
	else if (!strcmp(address, first->address) ||
		 !cb_server_book_record_loss_at(relay->front->book, address,
						relay->tried_servers))
		silence_handle_(relay, CB_SILENCE_LOST, address);
	else
		silence_handle_(relay, CB_SILENCE_STALLED, address);
}

/*
 * Returns whether a stream may wait for an engine of its chain that refuses calls:
 * its next event is overdue, or due by its usual gap if the engine has ended.
 */
static gboolean stream_may_wait_(const cb_relay_t *relay, const char *address)
{
	if (cb_relay_is_overdue(relay))
		return TRUE;
	return relay->pace.last_ms &&
	       cb_relay_silent_ms(relay) >= (int64_t)relay->pace.gap_ms &&
	       cb_engine_reports_has_ended(relay->front->reports, address);
}

/*
 * Moves the streams that pass through an engine which is shown to be lost, not
 * only the one that waits for it: the others will wait for it with their next
 * token.  If the engine only refuses calls, those that make progress stay.
 */
static void streams_move_(cb_front_t *front, const char *address,
			  gboolean is_refused)
{
	GPtrArray *streams = g_ptr_array_new();
	GHashTableIter iter;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, front->relays);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		cb_relay_t *relay = value;

		if (relay->call && relay->hops->len &&
		    stream_is_watched_(relay) && !relay->is_reroute_pending &&
		    cb_relay_find_hop(relay, address) &&
		    (!is_refused || stream_may_wait_(relay, address)))
			g_ptr_array_add(streams, relay);
	}
	for (i = 0; i < streams->len; i++) {
		cb_relay_t *relay = streams->pdata[i];

		/* Ending one request may have ended others. */
		if (!g_hash_table_contains(front->relays, relay) ||
		    !relay->call || relay->is_reroute_pending)
			continue;
		if (relay->is_report_pending)
			cb_engine_reports_cancel(front->reports, relay);
		relay->is_report_pending = FALSE;
		stream_move_(relay, address, is_refused);
	}
	g_ptr_array_unref(streams);
}

/* Returns the server address that the reported stall waits for, or NULL. */
static const char *stalled_address_find_(const cb_relay_t *relay,
					 const cb_engine_report_t *report)
{
	unsigned int i;

	for (i = 0; report->stalls && i < report->stalls->len; i++) {
		const cb_stall_t *stall =
			&g_array_index(report->stalls, cb_stall_t, i);

		if (!g_strcmp0(stall->request_id, relay->request_info.id))
			return stall->address;
	}
	return NULL;
}

/* Called with the first server's report on a silent stream. */
static void report_receive_(cb_report_result_t result,
			    const cb_engine_report_t *report, void *user_data)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	char *address;

	relay->is_report_pending = FALSE;
	if (result == CB_REPORT_TIMEOUT) {
		/* The link to the engine may be slow, for this stream only. */
		silence_handle_(relay, CB_SILENCE_NO_REPORT, NULL);
		return;
	}
	if (result == CB_REPORT_UNMADE) {
		silence_handle_(relay, CB_SILENCE_UNASKED, NULL);
		return;
	}
	if (result == CB_REPORT_FAILED) {
		address = g_strdup(
			g_array_index(relay->hops, cb_relay_hop_t, 0).address);
		streams_move_(front, address, TRUE);
		g_free(address);
		return;
	}
	address = g_strdup(stalled_address_find_(relay, report));
	/* The report may be older than the last reroute. */
	if (address && cb_relay_find_hop(relay, address)) {
		streams_move_(front, address, FALSE);
	} else {
		/* Another server would start the answer over. */
		silence_handle_(relay, CB_SILENCE_WORKING, NULL);
	}
	g_free(address);
}

/* Asks the first server of a silent stream for its report. */
static void report_request_(cb_relay_t *relay)
{
	relay->is_report_pending = TRUE;
	cb_engine_reports_request(
		relay->front->reports,
		g_array_index(relay->hops, cb_relay_hop_t, 0).address,
		report_receive_, relay);
}

/*
 * Ends the wait for the answer to a reroute.  If events have come since, the
 * reroute is in effect.
 */
static void reroute_time_out_(cb_relay_t *relay)
{
	cb_engine_orders_t *orders = relay->front->orders;

	relay->is_reroute_pending = FALSE;
	orders->vtable->cancel(orders, relay);
	if (relay->pace.last_ms > relay->reroute_sent_ms) {
		cb_relay_clear_former_hops(relay);
		cb_relay_start_silence_timer(relay);
		return;
	}
	former_hops_restore_(relay);
	silence_handle_(relay, CB_SILENCE_NO_REROUTE, NULL);
}

/*
 * Returns whether a stream whose server gives no reports stays until it is known
 * whether a restart has a way to another server.
 */
static gboolean way_check_is_awaited_(const cb_relay_t *relay)
{
	return !relay->service->engine &&
	       cb_relay_reach_find(relay->front, relay->service) ==
		       CB_REACH_CHECKING;
}

/*
 * Called when an event of a stream, or the answer to a reroute, is overdue.  An
 * answer that is not read, since its caller reads nothing, shows nothing of its
 * server.
 */
void cb_relay_silence_timer_fired(void *user_data)
{
	cb_relay_t *relay = user_data;

	if (relay->is_reroute_pending) {
		reroute_time_out_(relay);
	} else if (relay->is_call_paused) {
		cb_relay_start_silence_timer(relay);
	} else if (relay->forwarded_to) {
		cb_relay_forward_silent(relay);
	} else {
		cb_relay_reach_suspect(relay, CB_REACH_SIGN_OVERDUE);
		if (cb_relay_reach_move(relay))
			return;
		if (!stream_is_watched_(relay))
			cb_relay_start_silence_timer(relay);
		else if (way_check_is_awaited_(relay))
			cb_timer_start(relay->silence_timer,
				       CHECK_INTERVAL_MIN_MS);
		else
			silence_handle_(relay, CB_SILENCE_EVENT_OVERDUE, NULL);
	}
}

static void second_check_start_(void *user_data);

/*
 * Called with the report of an engine that may be lost.  One refused call moves only
 * the streams that are overdue; a second one shows whether the engine has ended.
 */
static void suspect_report_receive_(cb_report_result_t result,
				    const cb_engine_report_t *report,
				    void *user_data)
{
	cb_engine_check_t *check = user_data;
	cb_front_t *front = check->front;
	char *address = g_strdup(check->address);

	(void)report;
	if (result == CB_REPORT_FAILED && !check->timer) {
		check->timer =
			cb_timer_new(front->clock, second_check_start_, check);
		cb_timer_start(check->timer, CB_REFUSAL_PROOF_MS);
	} else {
		g_hash_table_remove(front->engine_checks, check);
	}
	if (result == CB_REPORT_FAILED) {
		cb_server_book_record_loss_at(front->book, address, NULL);
		cb_front_report_usage_soon(front);
		streams_move_(front, address, TRUE);
	}
	g_free(address);
}

/* Calls an engine again that has refused a call. */
static void second_check_start_(void *user_data)
{
	cb_engine_check_t *check = user_data;

	cb_engine_reports_request(check->front->reports, check->address,
				  suspect_report_receive_, check);
}

gboolean cb_relay_uses_engine(const cb_front_t *front, const char *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, front->relays);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		if (((cb_relay_t *)value)->call &&
		    cb_relay_find_hop(value, address))
			return TRUE;
	return FALSE;
}

/*
 * Checks an engine that another one named as the reason why it rejected a
 * request: the engine may have stopped, or be short of memory.  If it has ended,
 * the streams that pass through it are moved before they fall silent for long.
 */
void cb_relay_check_engine(cb_front_t *front, const char *address)
{
	cb_engine_check_t *check;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, front->engine_checks);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		if (!strcmp(((cb_engine_check_t *)value)->address, address))
			return;
	check = g_new0(cb_engine_check_t, 1);
	check->front = front;
	check->address = g_strdup(address);
	g_hash_table_add(front->engine_checks, check);
	cb_engine_reports_request(front->reports, address,
				  suspect_report_receive_, check);
}

/* Frees a check of an engine; its report must not be pending. */
void cb_engine_check_delete(void *data)
{
	cb_engine_check_t *check = data;

	cb_timer_delete(check->timer);
	g_free(check->address);
	g_free(check);
}
