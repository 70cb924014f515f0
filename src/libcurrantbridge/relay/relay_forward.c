#include "private/relay_forward.h"

#include <string.h>

#include "private/relay.h"
#include "private/relay_reach.h"

/* Header of a forwarded request: "INSTANCE VERSION RUNS". */
#define FORWARD_HEADER "Currantbridge-Forwarded"
#define OUTCOME_HEADER "Currantbridge-Outcome"
/*
 * In a forwarded request: its answer may say the version of the document by which
 * it was handled; in that answer: the version.
 */
#define VERSION_HEADER "Currantbridge-Version"
/* How long an instance that could not serve a request is not chosen again. */
#define AVOID_MS 1000
/* A request is sent to so many other instances at most. */
#define FORWARDS_MAX 12
/*
 * A forwarded stream without data for this long is sent to another instance.
 * Callers leave a stream that is silent for 2 s.
 */
#define SILENCE_FIRST_EVENT_MS 1500
#define SILENCE_MS 1000
/*
 * Interval of requests that are tried at servers while no instance has a way to
 * them: from the beginning if no check was ever answered, else some time later.
 */
#define TRIAL_INTERVAL_MS 1000
#define TRIAL_DELAY_MS 3000
/* Callers of refused requests come back after between half and 1.5 times this. */
#define COMEBACK_MS 1000

static const char *const outcome_string[CB_FORWARD_OUTCOME_COUNT] = {
	[CB_FORWARD_MALFORMED] = "malformed",
	[CB_FORWARD_ANSWERED] = "answered",
	[CB_FORWARD_ELSEWHERE] = "elsewhere",
	[CB_FORWARD_NOT_RUN] = "not_run",
	[CB_FORWARD_UNKNOWN] = "unknown",
};

static const char *const outcome_line[CB_FORWARD_OUTCOME_COUNT] = {
	[CB_FORWARD_MALFORMED] = "",
	[CB_FORWARD_ANSWERED] = OUTCOME_HEADER ": answered\r\n",
	[CB_FORWARD_ELSEWHERE] = OUTCOME_HEADER ": elsewhere\r\n",
	[CB_FORWARD_NOT_RUN] = OUTCOME_HEADER ": not_run\r\n",
	[CB_FORWARD_UNKNOWN] = OUTCOME_HEADER ": unknown\r\n",
};

/* This instance's record of another one. */
typedef struct peer {
	int64_t avoid_until_ms;
	unsigned int running; /* requests forwarded to it and not answered */
} peer_t;

/* Returns the header line by which an answer says the outcome. */
const char *cb_relay_forward_outcome_line(cb_forward_outcome_t outcome)
{
	return outcome_line[outcome];
}

/* Returns the outcome that an answer's head says. */
cb_forward_outcome_t cb_relay_forward_read_outcome(const cb_http1_head_t *head)
{
	const char *text = cb_http1_head_find(head, OUTCOME_HEADER);
	unsigned int outcome;

	for (outcome = CB_FORWARD_ANSWERED; outcome < CB_FORWARD_OUTCOME_COUNT;
	     outcome++)
		if (!g_strcmp0(text, outcome_string[outcome]))
			return (cb_forward_outcome_t)outcome;
	return CB_FORWARD_MALFORMED;
}

void cb_relay_forward_append_lines(const cb_relay_t *relay,
				   cb_forward_outcome_t outcome,
				   GString *headers)
{
	g_string_append(headers, outcome_line[outcome]);
	if (relay->is_version_wanted && relay->document)
		g_string_append_printf(headers,
				       VERSION_HEADER ": %" G_GINT64_FORMAT
						      "\r\n",
				       relay->document->version);
}

/*
 * Reads the version of the document by which another instance has handled a request:
 * this instance must not handle later ones by an older document.
 */
static void answer_version_read_(cb_front_t *front, const cb_http1_head_t *head)
{
	const char *text = cb_http1_head_find(head, VERSION_HEADER);
	guint64 version;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &version, NULL))
		front->newest_version_seen =
			MAX(front->newest_version_seen, (int64_t)version);
}

/* Returns whether a header is one of those between instances. */
gboolean cb_relay_forward_is_own_header(const char *name)
{
	return !g_ascii_strcasecmp(name, OUTCOME_HEADER) ||
	       !g_ascii_strcasecmp(name, VERSION_HEADER);
}

/* Returns whether another instance may run what is refused for a reason. */
cb_forward_outcome_t cb_relay_forward_refusal(const char *reason)
{
	static const char *const own_reasons[] = {
		"no_way",	  "too_many_forwarded", "older_document",
		"not_configured", "stopping",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(own_reasons); i++)
		if (!strcmp(reason, own_reasons[i]))
			return CB_FORWARD_ELSEWHERE;
	return CB_FORWARD_NOT_RUN;
}

/*
 * Reads the last header of a request by which an instance forwards it: callers'
 * own ones come before it.
 */
gboolean cb_relay_forward_read(cb_relay_t *relay)
{
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	const char *text = NULL;
	gboolean is_valid;
	char **words;
	guint64 version = 0;
	guint64 runs = 0;
	unsigned int i;

	for (i = 0; i < head->headers->len; i++) {
		const cb_http1_header_t *header =
			&g_array_index(head->headers, cb_http1_header_t, i);

		if (!g_ascii_strcasecmp(header->name, FORWARD_HEADER))
			text = header->value;
	}
	words = g_strsplit(text ? text : "", " ", 4);
	is_valid = g_strv_length(words) == 3 &&
		   g_ascii_string_to_unsigned(words[1], 10, 0, G_MAXINT64,
					      &version, NULL) &&
		   g_ascii_string_to_unsigned(words[2], 10, 0, G_MAXUINT16,
					      &runs, NULL);
	relay->is_version_wanted =
		cb_http1_head_find(head, VERSION_HEADER) != NULL;
	if (is_valid) {
		relay->forwarded_from = g_strdup(words[0]);
		relay->forwarded_version = (int64_t)version;
		relay->forwarded_runs = (unsigned int)runs;
		relay->run_count = relay->forwarded_runs;
	}
	g_strfreev(words);
	return is_valid;
}

static peer_t *peer_get_(const cb_front_t *front, const char *name)
{
	peer_t *peer = g_hash_table_lookup(front->peers, name);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	g_hash_table_insert(front->peers, g_strdup(name), peer);
	return peer;
}

/* Returns whether another instance is ready, whatever is known of its way. */
static gboolean instance_is_peer_(const cb_front_t *front,
				  const cb_instance_t *instance)
{
	return front->peer_port && instance->state == CB_INSTANCE_READY &&
	       strcmp(instance->name, front->name) != 0;
}

/* Returns whether an instance may serve forwarded requests. */
static gboolean peer_is_usable_(const cb_front_t *front,
				const cb_instance_t *instance)
{
	return instance_is_peer_(front, instance) &&
	       peer_get_(front, instance->name)->avoid_until_ms <=
		       cb_clock_now_ms(front->clock);
}

/*
 * Returns the one of two usable instances, chosen at random, that has fewer of
 * this instance's requests; NULL: there is none.
 */
static const cb_instance_t *peer_choose_(const cb_front_t *front)
{
	const GPtrArray *instances = cb_view_instances(front->view);
	const cb_instance_t *best = NULL;
	GPtrArray *usable = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < instances->len; i++)
		if (peer_is_usable_(front, instances->pdata[i]))
			g_ptr_array_add(usable, instances->pdata[i]);
	for (i = 0; usable->len && i < 2; i++) {
		const cb_instance_t *instance =
			usable->pdata[g_rand_int_range(front->random, 0,
						       (int32_t)usable->len)];

		if (!best || peer_get_(front, instance->name)->running <
				     peer_get_(front, best->name)->running)
			best = instance;
	}
	g_ptr_array_unref(usable);
	return best;
}

/* Returns whether another instance is ready, usable or not. */
static gboolean has_peers_(const cb_front_t *front)
{
	const GPtrArray *instances = cb_view_instances(front->view);
	unsigned int i;

	for (i = 0; i < instances->len; i++)
		if (instance_is_peer_(front, instances->pdata[i]))
			return TRUE;
	return FALSE;
}

/* Returns whether an instance is there that may serve the request. */
gboolean cb_relay_forward_is_possible(const cb_relay_t *relay)
{
	return !relay->forwarded_from && relay->forward_count < FORWARDS_MAX &&
	       peer_choose_(relay->front) != NULL;
}

/* Returns "IP:PORT" of an instance's listener for others, to be freed. */
static char *peer_address_new_(const cb_front_t *front,
			       const cb_instance_t *instance)
{
	const char *colon = strrchr(instance->address, ':');
	int ip_length = colon ? (int)(colon - instance->address) : 0;

	return g_strdup_printf("%.*s:%u", ip_length, instance->address,
			       front->peer_port);
}

/* Handles the head of another instance's answer; FALSE: it is not one. */
static gboolean answer_head_receive_(void *user_data,
				     const cb_http1_head_t *head)
{
	cb_relay_t *relay = user_data;
	cb_front_t *front = relay->front;
	cb_relay_answer_info_t answer_info = { .running = -1,
					       .limit_per_s = -1 };

	relay->forward_outcome = cb_relay_forward_read_outcome(head);
	if (relay->forward_outcome == CB_FORWARD_MALFORMED)
		return FALSE;
	answer_version_read_(front, head);
	relay->status = head->status;
	relay->framing = head->framing;
	relay->unused_body_bytes = 0;
	relay->has_not_run = relay->forward_outcome == CB_FORWARD_ELSEWHERE;
	if (relay->has_not_run)
		return TRUE;
	if (relay->forward_outcome == CB_FORWARD_ANSWERED) {
		front->dialect->vtable->read_answer_info(front->dialect, head,
							 relay->request_info.id,
							 &answer_info);
		if (!answer_info.matches_request)
			return FALSE;
		cb_relay_reach_confirm(front);
	}
	cb_relay_answer_begin_store(relay, head);
	return TRUE;
}

const cb_http1_call_handler_t cb_relay_forward_handler = {
	.head = answer_head_receive_,
	.data = cb_relay_answer_data_receive,
	.done = cb_relay_call_end_handle,
};

/* Sends the request to another instance. */
static void request_send_(cb_relay_t *relay, const cb_instance_t *instance)
{
	cb_front_t *front = relay->front;
	const cb_http1_head_t *head = cb_http1_exchange_head(relay->exchange);
	char *address = peer_address_new_(front, instance);
	char *lines = g_strdup_printf("Connection: " FORWARD_HEADER
				      ", " VERSION_HEADER "\r\n" FORWARD_HEADER
				      ": %s %" G_GINT64_FORMAT
				      " %u\r\n" VERSION_HEADER ": wanted\r\n",
				      front->name, relay->document->version,
				      relay->run_count);
	const cb_relay_forward_info_t info = {
		.budget_ms = relay->deadline_ms - cb_relay_now_ms(relay),
		.last_event = relay->last_event,
		.header_lines = lines,
	};
	GString *request = front->dialect->vtable->write_forward(
		front->dialect, head, cb_http1_exchange_body(relay->exchange),
		&info);

	relay->forwarded_to = g_strdup(instance->name);
	relay->forward_count++;
	relay->is_next_send_retry = FALSE;
	relay->wait_since_ms = 0;
	cb_relay_attempt_reset(relay);
	peer_get_(front, instance->name)->running++;
	cb_log_event(front->log, CB_EVENT_RELAY_FORWARDED,
		     CB_STR("request", relay->request_info.id),
		     CB_STR("to", instance->name), CB_STR("address", address),
		     CB_INT("runs", relay->run_count),
		     CB_INT("last_event", relay->last_event),
		     CB_INT("elapsed_ms", cb_relay_elapsed_ms(relay)));
	cb_relay_count_reason(front, "cb_relay_forwarded_total", "sent");
	cb_relay_start_silence_timer(relay);
	relay->call =
		cb_http1_client_call(front->client, address, head->method,
				     request,
				     cb_relay_connection_idle_max_ms(relay),
				     relay->used_connections,
				     &cb_relay_forward_handler, relay);
	cb_relay_record_connection(relay);
	g_free(lines);
	g_free(address);
}

/*
 * Refuses a request that no instance can serve now.  An answer that has begun waits
 * first: a way may soon be back, and its caller would lose what it has.
 */
static void no_way_handle_(cb_relay_t *relay)
{
	int64_t retry_after_ms =
		COMEBACK_MS / 2 +
		g_rand_int_range(relay->front->random, 0, COMEBACK_MS + 1);

	if (relay->is_answer_begun && !relay->forwarded_from)
		cb_relay_queue(relay, "no_way", CB_RELAY_RESUME_WAIT_MAX_MS,
			       retry_after_ms);
	else
		cb_relay_give_up(relay, "no_way", retry_after_ms);
}

/*
 * Returns whether a request that may be repeated is tried at a server, though no
 * check was answered: servers may refuse just these.
 */
static gboolean trial_take_(const cb_relay_t *relay)
{
	cb_front_t *front = relay->front;
	int64_t now_ms = cb_relay_now_ms(relay);

	if (!cb_relay_is_resumable(relay) || now_ms < front->way_trial_ms ||
	    (cb_reach_has_answered(front->reach) &&
	     now_ms - front->way_suspect_ms < TRIAL_DELAY_MS))
		return FALSE;
	front->way_trial_ms = now_ms + TRIAL_INTERVAL_MS;
	return TRUE;
}

/*
 * Forwards a request whose service this instance can't reach.  A request that
 * came from another instance is refused, and so are all if no instance reaches
 * the servers; unless these may only stand still.
 */
gboolean cb_relay_forward_send(cb_relay_t *relay, cb_reach_state_t way)
{
	cb_front_t *front = relay->front;
	const cb_instance_t *instance;

	if (relay->forwarded_from) {
		no_way_handle_(relay);
		return TRUE;
	}
	instance = relay->forward_count < FORWARDS_MAX ? peer_choose_(front) :
							 NULL;
	if (!instance) {
		if (way != CB_REACH_LOST || !has_peers_(front) ||
		    trial_take_(relay))
			return FALSE;
		no_way_handle_(relay);
		return TRUE;
	}
	if (relay->is_next_send_retry &&
	    !cb_retry_share_take_retry(front->retries, relay->service->name)) {
		cb_relay_queue(relay, "no_retry_left",
			       relay->is_answer_begun ?
				       CB_RELAY_RESUME_WAIT_MAX_MS :
				       COMEBACK_MS / 4,
			       CB_RELAY_RETRY_AFTER_MS);
		return TRUE;
	}
	request_send_(relay, instance);
	return TRUE;
}

/* Takes a request off the record of the instance in `forwarded_to`, unless NULL. */
void cb_relay_forward_end(const cb_front_t *front, char **forwarded_to)
{
	if (!*forwarded_to)
		return;
	peer_get_(front, *forwarded_to)->running--;
	g_clear_pointer(forwarded_to, g_free);
}

/* Leaves out an instance for a while that has failed, or has no way itself. */
void cb_relay_forward_failed(cb_relay_t *relay)
{
	peer_get_(relay->front, relay->forwarded_to)->avoid_until_ms =
		cb_relay_now_ms(relay) + AVOID_MS;
	cb_relay_count_reason(relay->front, "cb_relay_forwards_failed_total",
			      relay->has_not_run ? "elsewhere" : "failed");
}

/* Returns how long a forwarded request may be without data. */
int64_t cb_relay_forward_silence_ms(const cb_relay_t *relay)
{
	return relay->is_answer_begun ? SILENCE_MS : SILENCE_FIRST_EVENT_MS;
}

/* Leaves an instance that is silent if another one can take over. */
void cb_relay_forward_silent(cb_relay_t *relay)
{
	if (cb_relay_is_resumable(relay) && cb_relay_may_retry(relay, 1, 0) &&
	    cb_relay_forward_is_possible(relay))
		cb_relay_attempt_leave(relay, CB_RELAY_SILENT, NULL);
	else
		cb_relay_start_silence_timer(relay);
}

/* Creates the records of the other instances. */
void cb_relay_forward_init(cb_front_t *front)
{
	front->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the records of the other instances. */
void cb_relay_forward_clear(cb_front_t *front)
{
	g_hash_table_unref(front->peers);
}
