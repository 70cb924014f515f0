#include "private/relay_content.h"

#include <string.h>

#include "currantbridge/command.h"
#include "private/item.h"
#include "private/relay.h"

/* Longest Retry-After of a refused request. */
#define RETRY_AFTER_MAX_MS 30000
#define SHARE_TIMEOUT_MS 5000
/*
 * A pause between two events counts as progress up to this time: a server that
 * stands still for longer has not run the request meanwhile.
 */
#define PROGRESS_PAUSE_MAX_MS 100
/* An answer that ends after so long a silence may be that of a server gone dark. */
#define SILENCE_MIN_MS 500

/* Reads the content of a request that was received whole. */
void cb_relay_content_init(cb_relay_t *relay)
{
	const cb_dialect_t *dialect = relay->front->dialect;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const cb_content_request_t request = {
		.method = head->method,
		.target = head->target,
		.key = relay->request_info.key,
		.body = cb_http1_exchange_body(relay->exchange),
	};
	cb_text_part_t parts[CB_CONTENT_PARTS_MAX];
	unsigned int part_count =
		dialect->vtable->read_shared_parts(dialect, head, parts,
						   G_N_ELEMENTS(parts));

	relay->content.features =
		cb_content_features_new(&request, parts, part_count);
}

/* Frees what cb_relay_content_init() has allocated. */
void cb_relay_content_clear(cb_relay_t *relay)
{
	g_array_unref(relay->content.features);
}

/* Records that an attempt is sent. */
void cb_relay_content_attempt_begun(cb_relay_t *relay)
{
	relay->content.last_event_ms = 0;
	relay->content.progress_ms = 0;
	relay->content.is_suspect = FALSE;
}

/* Records an event of the attempt's answer, forwarded or not. */
void cb_relay_content_event_received(cb_relay_t *relay)
{
	cb_relay_content_t *content = &relay->content;
	int64_t now_ms = cb_relay_now_ms(relay);
	int64_t before_ms = content->progress_ms;
	cb_content_progress_t progress = { .sent_ms = relay->sent_ms };

	if (content->last_event_ms)
		content->progress_ms += MIN(now_ms - content->last_event_ms,
					    PROGRESS_PAUSE_MAX_MS);
	content->last_event_ms = now_ms;
	progress.progress_ms = content->progress_ms -
			       content->progress_ms % CB_CONTENT_PROGRESS_MS;
	if (before_ms < progress.progress_ms)
		cb_content_book_add_progress(relay->front->content_book,
					     content->features, &progress);
}

/* Returns whether an attempt with this result has lost its connection. */
static gboolean connection_is_lost_(const char *result)
{
	return !strcmp(result, cb_http1_result_string[CB_HTTP1_LOST]) ||
	       !strcmp(result, cb_http1_result_string[CB_HTTP1_TRUNCATED]);
}

/* Returns whether a server is known to stop, so that its end is no crash. */
static gboolean server_is_stopping_(const cb_front_t *front,
				    const cb_relay_hop_t *hop)
{
	const cb_fleet_server_t *server = cb_fleet_find(front->fleet, hop->id);

	if (!server || server->start_wall_ms != hop->start_wall_ms)
		return FALSE;
	return server->state == CB_FLEET_DRAINING ||
	       server->state == CB_FLEET_GONE ||
	       cb_server_book_is_leaving(front->book, server) ||
	       cb_fleet_is_stopped(server, front->view);
}

/* Returns whether a planned stop of a server's process is committed. */
static gboolean stop_is_planned_(const cb_front_t *front,
				 const cb_relay_hop_t *server)
{
	const cb_fleet_server_t process = {
		.id = server->id,
		.start_wall_ms = server->start_wall_ms,
	};

	return cb_fleet_is_stopped(&process, front->view);
}

/* Returns the later process that has the address of a server, or NULL. */
static const cb_fleet_server_t *successor_find_(const cb_front_t *front,
						const cb_relay_hop_t *hop)
{
	const cb_fleet_server_t *holder =
		cb_fleet_find_at(front->fleet, hop->address);

	return holder && holder->start_wall_ms > hop->start_wall_ms ? holder :
								      NULL;
}

/*
 * Records that an answer which had begun is silent: its server may have gone dark,
 * and ends then without a sign but its successor at the same address.
 */
static void silence_record_(cb_relay_t *relay, const cb_relay_hop_t *server)
{
	cb_front_t *front = relay->front;
	const cb_fleet_server_t *successor = successor_find_(front, server);
	cb_content_attempt_t *attempt;

	if (!successor && server_is_stopping_(front, server))
		return;
	attempt = cb_content_attempt_new(relay->content.features,
					 relay->content.progress_ms,
					 cb_relay_now_ms(relay));
	attempt->silent_since_ms = MAX(relay->heard_ms, relay->sent_ms);
	cb_server_ends_add_silence(front->server_ends, server, attempt);
	if (successor)
		cb_server_ends_hear_process(front->server_ends, server->address,
					    successor->start_wall_ms);
}

/* Returns for how long the server of the attempt in flight has said nothing. */
static int64_t silent_ms_(const cb_relay_t *relay)
{
	return cb_relay_now_ms(relay) - MAX(relay->heard_ms, relay->sent_ms);
}

/* Returns whether a failed attempt's answer had begun and then fallen silent. */
static gboolean answer_is_silent_(const cb_relay_t *relay, const char *result)
{
	if (!relay->status)
		return FALSE;
	return !strcmp(result, CB_RELAY_SILENT) ||
	       (connection_is_lost_(result) &&
		silent_ms_(relay) >= SILENCE_MIN_MS);
}

/* Records that an attempt has failed, before its chain is released. */
void cb_relay_content_attempt_failed(cb_relay_t *relay, const char *result)
{
	const cb_relay_hop_t *first =
		&g_array_index(relay->hops, cb_relay_hop_t, 0);

	if (answer_is_silent_(relay, result))
		silence_record_(relay, first);
	if (!connection_is_lost_(result) ||
	    server_is_stopping_(relay->front, first))
		return;
	relay->content.is_suspect =
		relay->content.progress_ms < CB_CONTENT_PROGRESS_MS;
	cb_server_ends_add_loss(
		relay->front->server_ends, first,
		cb_content_attempt_new(relay->content.features,
				       relay->content.progress_ms,
				       cb_relay_now_ms(relay)));
}

/* Returns whether an attempt is in flight whose answer has begun and is silent. */
static gboolean is_silent_(const cb_relay_t *relay)
{
	return relay->call && !relay->forwarded_to && relay->hops->len &&
	       relay->status && silent_ms_(relay) >= SILENCE_MIN_MS;
}

void cb_relay_content_left(cb_relay_t *relay)
{
	if (is_silent_(relay))
		silence_record_(relay,
				&g_array_index(relay->hops, cb_relay_hop_t, 0));
}

/* Records how a request ends, with a whole answer of the server or without. */
void cb_relay_content_ended(const cb_relay_t *relay, gboolean is_served)
{
	const cb_content_progress_t progress = {
		.sent_ms = relay->sent_ms,
		.progress_ms = CB_CONTENT_PROGRESS_WHOLE,
	};

	if (is_served)
		cb_content_book_add_progress(relay->front->content_book,
					     relay->content.features,
					     &progress);
}

/* Returns whether a failed attempt may not be repeated. */
gboolean cb_relay_content_bars_retry(const cb_relay_t *relay)
{
	return relay->content.is_suspect &&
	       cb_content_book_check(relay->front->content_book,
				     relay->content.features,
				     NULL) != CB_CONTENT_FREE;
}

/* Ends a request whose content is refused; returns whether it did. */
gboolean cb_relay_content_refuse(cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	int64_t wall_ms = cb_clock_wall_ms(front->clock);
	cb_content_refusal_t refusal;
	char *name;

	if (cb_content_book_check(front->content_book, relay->content.features,
				  &refusal) != CB_CONTENT_REFUSED)
		return FALSE;
	name = cb_content_name_new(refusal.hash);
	cb_log_event(front->log, CB_EVENT_RELAY_CONTENT_REFUSED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("content", name),
		     CB_INT("attempts", relay->send_count));
	g_free(name);
	cb_relay_give_up(relay, "content_refused",
			 CLAMP(refusal.until_wall_ms - wall_ms,
			       CB_RELAY_RETRY_AFTER_MS, RETRY_AFTER_MAX_MS));
	return TRUE;
}

/* Returns those of the attempts that had made no progress. */
static GPtrArray *early_attempts_collect_(const GPtrArray *attempts)
{
	GPtrArray *early = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < attempts->len; i++) {
		cb_content_attempt_t *attempt = attempts->pdata[i];

		if (attempt->progress_ms < CB_CONTENT_PROGRESS_MS)
			g_ptr_array_add(early, attempt);
	}
	return early;
}

/* Records that the process of a server has ended under attempts. */
static void server_end_record_(cb_front_t *front, const cb_relay_hop_t *server,
			       cb_server_check_t check,
			       const GPtrArray *attempts)
{
	GPtrArray *early = early_attempts_collect_(attempts);
	char *process = g_strdup_printf("%s/%" G_GINT64_FORMAT, server->id,
					server->start_wall_ms);

	cb_log_event(front->log, CB_EVENT_RELAY_SERVER_ENDED,
		     CB_STR("server", server->id),
		     CB_STR("address", server->address),
		     CB_STR("check", cb_server_check_string[check]),
		     CB_INT("attempts", attempts->len),
		     CB_INT("candidates", early->len),
		     CB_INT("proved",
			    cb_content_book_count_proved(front->content_book,
							 early)));
	cb_content_book_add_death(front->content_book, process, attempts);
	g_ptr_array_unref(early);
	g_free(process);
	cb_counter_add(cb_counters_counter(front->counters,
					   "cb_relay_servers_ended_total", NULL,
					   NULL),
		       1);
}

/*
 * Returns whether this instance's own way to a server is in doubt, so that what it
 * sees there is no sign of the server's end.
 */
static gboolean way_is_doubtful_(const cb_front_t *front,
				 const cb_relay_hop_t *hop)
{
	const cb_fleet_server_t *server = cb_fleet_find(front->fleet, hop->id);

	return server &&
	       cb_reach_is_doubtful(front->reach, server->data_centre);
}

/*
 * Tells what a changed record of a server shows of processes that are silent: one that
 * is told to stop does not crash, and one whose address a later process has, has ended.
 */
void cb_relay_content_server_changed(cb_front_t *front,
				     const cb_fleet_server_t *server)
{
	if (server->state == CB_FLEET_DRAINING)
		cb_server_ends_forget_silence(front->server_ends, server->id,
					      server->start_wall_ms);
	else if (server->state != CB_FLEET_GONE)
		cb_server_ends_hear_process(front->server_ends, server->address,
					    server->start_wall_ms);
}

void cb_relay_content_server_checked(const cb_relay_hop_t *server,
				     cb_server_check_t check,
				     const GPtrArray *losses, void *user_data)
{
	cb_front_t *front = user_data;

	gboolean is_doubtful = way_is_doubtful_(front, server);

	if (check == CB_SERVER_CHECK_REPLACED) {
		if (!stop_is_planned_(front, server))
			server_end_record_(front, server, check, losses);
		return;
	}
	if (check == CB_SERVER_CHECK_REFUSED && !is_doubtful) {
		server_end_record_(front, server, check, losses);
		return;
	}
	cb_log_event(front->log, CB_EVENT_RELAY_END_UNPROVED,
		     CB_STR("server", server->id),
		     CB_STR("address", server->address),
		     CB_STR("check", cb_server_check_string[check]),
		     CB_INT("is_way_lost", is_doubtful),
		     CB_INT("attempts", losses->len));
}

static void share_ended_(cb_control_outcome_t outcome,
			 const cb_answer_t *answer, void *user_data)
{
	(void)answer;
	if (outcome != CB_CONTROL_ANSWERED)
		cb_log_event(user_data, CB_EVENT_QUARANTINE_NOT_SHARED);
}

/* Submits a command about a feature; takes ownership of `command`. */
static void command_share_(cb_front_t *front, cb_command_t *command,
			   const char *name)
{
	command->change_id = g_strdup_printf("%s-%s-%08x%08x", front->name,
					     name, g_rand_int(front->random),
					     g_rand_int(front->random));
	command->name = g_strdup(name);
	cb_control_client_submit(front->control, command, SHARE_TIMEOUT_MS,
				 share_ended_, front->log);
}

static void death_share_(void *user_data, const char *name, const char *death)
{
	cb_front_t *front = user_data;
	cb_command_t *command = cb_command_new(CB_COMMAND_SUSPECT_ADD);

	command->server = g_strdup(death);
	command->owner = g_strdup(front->name);
	command_share_(front, command, name);
}

static void refusal_share_(void *user_data, const char *name,
			   int64_t until_wall_ms)
{
	cb_command_t *command = cb_command_new(CB_COMMAND_QUARANTINE_ADD);

	command->until_wall_ms = until_wall_ms;
	command_share_(user_data, command, name);
}

static void clearance_share_(void *user_data, const char *name)
{
	command_share_(user_data, cb_command_new(CB_COMMAND_QUARANTINE_REMOVE),
		       name);
}

/* Creates the book of an instance, which shares its evidence through control. */
cb_content_book_t *cb_relay_content_book_new(cb_front_t *front)
{
	const cb_content_book_parts_t parts = {
		.clock = front->clock,
		.log = front->log,
		.counters = front->counters,
		.user_data = front,
		.report = death_share_,
		.refuse = refusal_share_,
		.clear = clearance_share_,
	};

	return cb_content_book_new(&parts);
}

/* Passes the shared records on to the book. */
void cb_relay_content_view_changed(cb_front_t *front)
{
	const GPtrArray *quarantines = cb_view_quarantines(front->view);
	cb_content_record_t *records =
		g_new0(cb_content_record_t, quarantines->len + 1);
	unsigned int i;

	for (i = 0; i < quarantines->len; i++) {
		const cb_quarantine_t *quarantine = quarantines->pdata[i];

		records[i] = (cb_content_record_t){
			.name = quarantine->digest,
			.deaths = (const char *const *)quarantine->deaths,
			.until_wall_ms = quarantine->until_wall_ms,
			.revision = quarantine->revision,
		};
	}
	cb_content_book_update(front->content_book, records, quarantines->len);
	g_free(records);
}
