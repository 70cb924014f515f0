#include "private/suspects.h"

#include <string.h>

#include "private/digest.h"

#define MS_PER_S 1000
/* How long a digest stays quarantined. */
#define QUARANTINE_MS (10 * 60 * MS_PER_S)
/*
 * How long a request's digest stays suspect after the last death of a server
 * that was running a request with it.
 */
#define SUSPICION_MS (10 * 60 * MS_PER_S)
/*
 * Delay of a suspect request without a token, in which other entry instances
 * may report servers that died while running a request with the same digest.
 */
#define FIRST_RETRY_DELAY_MS 400
/*
 * How long the report of a server's death takes to reach other entry instances.
 */
#define REPORT_DELAY_MS 200
/*
 * Time between the turns of two entry instances to run requests with the same
 * suspect digest.
 */
#define TURN_INTERVAL_MS 1000
/* Entry instances that reported no death spread over this many turns. */
#define NON_REPORTER_TURNS 8
/* How long after a second death other failures may still be reported. */
#define DECISION_DELAY_MS 300
/* Failures within this time may have a common cause. */
#define COMMON_CAUSE_WINDOW_MS 2000
#define QUARANTINE_DEATHS 2
/*
 * A suspect digest is cleared when a request with it gets this many tokens past
 * the last death.
 */
#define CLEARING_TOKENS 4
#define MAX_FINISHED_DIGESTS 16384

const char *const cb_suspects_verdict_string[CB_SUSPECTS_VERDICT_COUNT] = {
	[CB_SUSPECTS_RUN] = "run",
	[CB_SUSPECTS_RUN_ALONE] = "run_alone",
	[CB_SUSPECTS_WAIT] = "wait",
	[CB_SUSPECTS_REFUSED] = "refused",
};

/*
 * The state of the requests with one digest that are running, suspect or
 * quarantined.
 */
typedef struct digest_record {
	unsigned int attempt_count; /* attempts running on all servers */
	uint64_t delivered_count;   /* most tokens that a request delivered */
	unsigned int death_count;   /* number of servers in death_servers */
	int64_t last_death_ms;
	char *last_death_server;     /* "NAME/INCARNATION" of the last death */
	uint64_t delivered_at_death; /* delivered_count at the last death */
	/* time before which no attempt runs and no quarantine is decided */
	int64_t wait_until_ms;
	/* whether a decision on quarantine is due at wait_until_ms */
	gboolean is_decision_pending;
	/* whether requests with this digest may only run alone on a server */
	gboolean needs_isolation;
	/*
	 * whether the last death was that of a server which ran a request with
	 * this digest alone
	 */
	gboolean died_alone;
	/* whether progress has cleared the digest, which happens only once */
	gboolean was_cleared;
	unsigned int request_count; /* requests that have not yet ended */
	/* end of the quarantine; 0: not quarantined */
	int64_t quarantined_until_wall_ms;
	GHashTable *death_servers; /* set of "NAME/INCARNATION" */
} digest_record_t;

typedef struct death {
	char *server; /* server that died, as "NAME/INCARNATION" */
	int64_t at_ms;
	/*
	 * whether the death was counted for the digests that ran on the server
	 */
	gboolean is_attributed;
} death_t;

struct cb_suspects {
	cb_generation_parts_t parts;
	GHashTable *records; /* request digest to digest_record_t */
	/*
	 * Server name to a table from request digest to the digest's number of
	 * attempts.
	 */
	GHashTable *attempts_by_server;
	/* set of the digests with a request that has finished */
	GHashTable *finished;
	/* deaths of servers: array of death_t, oldest first */
	GPtrArray *deaths;
	int64_t last_failure_ms; /* time of the last failure of any server */
	/* digest of the request that runs alone, or NULL */
	char *isolated_digest;
	cb_timer_t *decision_timer;
};

static int64_t now_ms_(const cb_suspects_t *suspects)
{
	return cb_clock_now_ms(suspects->parts.clock);
}

static void record_delete_(void *data)
{
	digest_record_t *record = data;

	g_hash_table_unref(record->death_servers);
	g_free(record->last_death_server);
	g_free(record);
}

static void death_delete_(void *data)
{
	death_t *death = data;

	g_free(death->server);
	g_free(death);
}

static digest_record_t *record_find_(const cb_suspects_t *suspects,
				     const char *digest)
{
	return g_hash_table_lookup(suspects->records, digest);
}

static digest_record_t *record_get_(cb_suspects_t *suspects, const char *digest)
{
	digest_record_t *record = record_find_(suspects, digest);

	if (record)
		return record;
	record = g_new0(digest_record_t, 1);
	record->death_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(suspects->records, g_strdup(digest), record);
	return record;
}

/* Removes a digest that has no requests and is not suspect. */
static void record_remove_if_unused_(cb_suspects_t *suspects,
				     const char *digest)
{
	digest_record_t *record = record_find_(suspects, digest);

	if (record && !record->attempt_count && !record->request_count &&
	    !record->death_count)
		g_hash_table_remove(suspects->records, digest);
}

static void isolation_end_(cb_suspects_t *suspects, const char *digest)
{
	if (!g_strcmp0(suspects->isolated_digest, digest))
		g_clear_pointer(&suspects->isolated_digest, g_free);
}

static void suspicion_clear_(cb_suspects_t *suspects, const char *digest,
			     digest_record_t *record)
{
	record->death_count = 0;
	record->is_decision_pending = FALSE;
	record->needs_isolation = FALSE;
	record->died_alone = FALSE;
	record->wait_until_ms = 0;
	record->quarantined_until_wall_ms = 0;
	g_hash_table_remove_all(record->death_servers);
	isolation_end_(suspects, digest);
}

/*
 * Returns whether a server that did not run a request with this digest failed
 * as well.
 */
static gboolean has_common_cause_(const cb_suspects_t *suspects,
				  const digest_record_t *record)
{
	unsigned int i;

	for (i = 0; i < suspects->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(suspects->deaths, i);

		if (!g_hash_table_contains(record->death_servers,
					   death->server) &&
		    death->at_ms >=
			    record->last_death_ms - COMMON_CAUSE_WINDOW_MS)
			return TRUE;
	}
	return FALSE;
}

static void digest_quarantine_(cb_suspects_t *suspects, const char *digest,
			       digest_record_t *record)
{
	int64_t until_ms =
		cb_clock_wall_ms(suspects->parts.clock) + QUARANTINE_MS;

	record->quarantined_until_wall_ms = until_ms;
	isolation_end_(suspects, digest);
	cb_counter_add(cb_counters_counter(suspects->parts.counters,
					   "cb_quarantined_total", NULL, NULL),
		       1);
	cb_log_event(suspects->parts.log, CB_EVENT_REQUEST_QUARANTINED,
		     CB_STR("digest", digest),
		     CB_INT("servers", record->death_count));
	if (suspects->parts.quarantine)
		suspects->parts.quarantine(suspects->parts.user_data, digest,
					   until_ms);
}

/*
 * Returns how many turns this entry instance waits before it runs a suspect
 * request.  Entry instances that reported a server that died while running it
 * go first, in the order of their ranks, then the others.
 */
static unsigned int own_turn_compute_(const cb_suspects_t *suspects,
				      const char *digest,
				      const char *const *reports)
{
	const char *own_instance = suspects->parts.instance;
	gboolean is_reporter = FALSE;
	unsigned int before = 0;
	unsigned int count = 0;
	uint64_t rank;

	if (!own_instance)
		return 0;
	rank = cb_digest_rank(digest, own_instance);
	for (; reports && *reports; reports++) {
		const char *reporter = strrchr(*reports, ' ') + 1;

		is_reporter |= !strcmp(reporter, own_instance);
		before += cb_digest_rank(digest, reporter) < rank;
		count++;
	}
	return is_reporter || !count ? before :
				       count + rank % NON_REPORTER_TURNS;
}

/*
 * Returns when a suspect without a token may run again.  Entry instances take
 * turns, so that each has received the results of the earlier runs.
 */
static int64_t suspect_retry_time_ms_(const cb_suspects_t *suspects,
				      const char *digest)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	const char *const *reports =
		cb_view_deaths(suspects->parts.view, digest, wall_ms);
	int64_t delay_ms = FIRST_RETRY_DELAY_MS;

	delay_ms +=
		TURN_INTERVAL_MS * own_turn_compute_(suspects, digest, reports);
	return now_ms_(suspects) + delay_ms;
}

/*
 * Returns whether requests with another digest are as likely to have caused the
 * last death.
 */
static gboolean has_equal_suspect_(const cb_suspects_t *suspects,
				   const char *digest,
				   const digest_record_t *record)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	GHashTableIter iter;
	void *other_digest;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, &other_digest, &value)) {
		const digest_record_t *other = value;

		if (strcmp(other_digest, digest) != 0 &&
		    other->death_count >= record->death_count &&
		    g_hash_table_contains(other->death_servers,
					  record->last_death_server))
			return TRUE;
	}
	return cb_view_count_suspects(suspects->parts.view,
				      record->last_death_server,
				      record->death_count, wall_ms) > 1;
}

/* Decides whether to quarantine a digest or to run its requests alone. */
static void quarantine_decide_(cb_suspects_t *suspects, const char *digest,
			       digest_record_t *record)
{
	record->is_decision_pending = FALSE;
	if (record->died_alone ||
	    (!has_common_cause_(suspects, record) &&
	     !has_equal_suspect_(suspects, digest, record))) {
		digest_quarantine_(suspects, digest, record);
		return;
	}
	record->needs_isolation = TRUE;
	if (!record->delivered_count)
		record->wait_until_ms =
			suspect_retry_time_ms_(suspects, digest);
}

/* Decides on the quarantine of each digest for which the decision is due. */
static void decision_timer_fired_(void *user_data)
{
	cb_suspects_t *suspects = user_data;
	int64_t now_ms = now_ms_(suspects);
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	void *digest;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, &digest, &value)) {
		digest_record_t *record = value;

		if (!record->is_decision_pending)
			continue;
		if (record->wait_until_ms <= now_ms)
			quarantine_decide_(suspects, digest, record);
		else
			next_ms = MIN(next_ms, record->wait_until_ms);
	}
	if (next_ms != INT64_MAX)
		cb_timer_start(suspects->decision_timer, next_ms - now_ms);
}

/*
 * Adds a server that died while running a request with this digest; FALSE if it
 * is recorded already.
 */
static gboolean record_death_add_(cb_suspects_t *suspects,
				  digest_record_t *record, const char *server)
{
	if (!g_hash_table_add(record->death_servers, g_strdup(server)))
		return FALSE;
	g_free(record->last_death_server);
	record->last_death_server = g_strdup(server);
	record->last_death_ms = now_ms_(suspects);
	record->death_count = g_hash_table_size(record->death_servers);
	return TRUE;
}

/*
 * Schedules the decision on a digest's quarantine, with time for other reports
 * to arrive.
 */
static void quarantine_decision_schedule_(cb_suspects_t *suspects,
					  digest_record_t *record)
{
	record->is_decision_pending = TRUE;
	record->wait_until_ms = now_ms_(suspects) + DECISION_DELAY_MS;
	cb_timer_start(suspects->decision_timer, 0);
}

/* Adds the deaths that other entry instances reported for a digest. */
static void reports_merge_(cb_suspects_t *suspects, const char *digest,
			   digest_record_t *record)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	const char *const *reports =
		cb_view_deaths(suspects->parts.view, digest, wall_ms);
	gboolean is_new = FALSE;

	if (record->quarantined_until_wall_ms)
		return;
	for (; reports && *reports; reports++) {
		const char *end = strrchr(*reports, ' ');
		char *server = g_strndup(*reports, end - *reports);

		is_new |= record_death_add_(suspects, record, server);
		g_free(server);
	}
	if (!is_new)
		return;
	if (record->death_count >= QUARANTINE_DEATHS &&
	    !record->is_decision_pending)
		quarantine_decision_schedule_(suspects, record);
	else if (!record->delivered_count && !record->attempt_count)
		record->wait_until_ms =
			suspect_retry_time_ms_(suspects, digest);
}

/* Adds new reports for the recorded digests when the view has changed. */
static void view_changed_(void *user_data)
{
	cb_suspects_t *suspects = user_data;
	GHashTableIter iter;
	void *digest;
	void *record;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, &digest, &record))
		reports_merge_(suspects, digest, record);
}

/* Creates the suspects of one entry instance; `parts` is copied. */
cb_suspects_t *cb_suspects_new(const cb_generation_parts_t *parts)
{
	cb_suspects_t *suspects = g_new0(cb_suspects_t, 1);

	suspects->parts = *parts;
	suspects->last_failure_ms = INT64_MIN / 2;
	suspects->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, record_delete_);
	suspects->attempts_by_server =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_unref);
	suspects->finished =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	suspects->deaths = g_ptr_array_new_with_free_func(death_delete_);
	suspects->decision_timer =
		cb_timer_new(parts->clock, decision_timer_fired_, suspects);
	cb_view_watch((cb_view_t *)parts->view, view_changed_, suspects);
	return suspects;
}

/* Deletes the suspects; NULL is allowed. */
void cb_suspects_delete(cb_suspects_t *suspects)
{
	if (!suspects)
		return;
	cb_timer_delete(suspects->decision_timer);
	g_hash_table_unref(suspects->records);
	g_hash_table_unref(suspects->attempts_by_server);
	g_hash_table_unref(suspects->finished);
	g_ptr_array_unref(suspects->deaths);
	g_free(suspects->isolated_digest);
	g_free(suspects);
}

/*
 * Returns whether the suspect requests with some other digest must run alone
 * before those with this digest: the fewer tokens the requests with a digest
 * have delivered, the more likely they crash the servers.
 */
static gboolean suspect_must_run_later_(const cb_suspects_t *suspects,
					const digest_record_t *record)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const digest_record_t *other = value;

		if (other->needs_isolation && other->request_count &&
		    other->delivered_count < record->delivered_count)
			return TRUE;
	}
	return FALSE;
}

/*
 * Decides on a request with a suspect digest that is not running and need not
 * wait longer.
 */
static cb_suspects_verdict_t suspect_admit_(cb_suspects_t *suspects,
					    const char *digest,
					    digest_record_t *record)
{
	if (!record->needs_isolation)
		return CB_SUSPECTS_RUN;
	if (suspects->isolated_digest &&
	    strcmp(suspects->isolated_digest, digest) != 0)
		return CB_SUSPECTS_WAIT;
	if (suspect_must_run_later_(suspects, record))
		return CB_SUSPECTS_WAIT;
	if (!suspects->isolated_digest)
		suspects->isolated_digest = g_strdup(digest);
	return CB_SUSPECTS_RUN_ALONE;
}

/*
 * Returns whether a server has just failed and no request with this digest has
 * received a token yet.  The server may have died while running another request
 * with this digest, and the report of it may not have arrived yet.
 */
static gboolean is_report_awaited_(const cb_suspects_t *suspects,
				   const char *digest)
{
	const digest_record_t *record = record_find_(suspects, digest);

	if (g_hash_table_contains(suspects->finished, digest) ||
	    (record && record->delivered_count))
		return FALSE;
	return now_ms_(suspects) < suspects->last_failure_ms + REPORT_DELAY_MS;
}

/*
 * Returns whether an attempt of a request with this digest may begin now.
 * After CB_SUSPECTS_WAIT the caller calls again after a short delay.
 */
cb_suspects_verdict_t cb_suspects_admit(cb_suspects_t *suspects,
					const char *digest)
{
	digest_record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);

	if (cb_view_is_quarantined(suspects->parts.view, digest, wall_ms))
		return CB_SUSPECTS_REFUSED;
	if ((!record || !record->death_count) &&
	    cb_view_deaths(suspects->parts.view, digest, wall_ms)) {
		record = record_get_(suspects, digest);
		reports_merge_(suspects, digest, record);
		record->wait_until_ms =
			suspect_retry_time_ms_(suspects, digest);
	}
	if (!record || !record->death_count)
		return is_report_awaited_(suspects, digest) ? CB_SUSPECTS_WAIT :
							      CB_SUSPECTS_RUN;
	if (record->quarantined_until_wall_ms > wall_ms)
		return CB_SUSPECTS_REFUSED;
	if (record->quarantined_until_wall_ms ||
	    now_ms_(suspects) - record->last_death_ms > SUSPICION_MS) {
		suspicion_clear_(suspects, digest, record);
		return CB_SUSPECTS_RUN;
	}
	if (record->is_decision_pending || record->attempt_count ||
	    now_ms_(suspects) < record->wait_until_ms)
		return CB_SUSPECTS_WAIT;
	return suspect_admit_(suspects, digest, record);
}

/* Returns for how many seconds, 1 or more, a digest stays quarantined. */
int64_t cb_suspects_quarantine_remaining_s(const cb_suspects_t *suspects,
					   const char *digest)
{
	const digest_record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	int64_t until_ms =
		cb_view_quarantined_until(suspects->parts.view, digest);

	if (record)
		until_ms = MAX(until_ms, record->quarantined_until_wall_ms);
	return (MAX(until_ms - wall_ms, 1) + MS_PER_S - 1) / MS_PER_S;
}

static GHashTable *server_digests_find_(const cb_suspects_t *suspects,
					const cb_server_t *server)
{
	return g_hash_table_lookup(suspects->attempts_by_server, server->name);
}

/*
 * Records that a server begins to run an attempt of a request that has this
 * digest.
 */
void cb_suspects_attempt_begin(cb_suspects_t *suspects, const char *digest,
			       const cb_server_t *server)
{
	GHashTable *digests = server_digests_find_(suspects, server);
	uintptr_t count;

	if (!digests) {
		digests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
		g_hash_table_insert(suspects->attempts_by_server,
				    g_strdup(server->name), digests);
	}
	count = (uintptr_t)g_hash_table_lookup(digests, digest);
	g_hash_table_insert(digests, g_strdup(digest),
			    GSIZE_TO_POINTER(count + 1));
	record_get_(suspects, digest)->attempt_count++;
}

/*
 * Records that a server has ended an attempt of a request that has this digest.
 */
void cb_suspects_attempt_end(cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server)
{
	GHashTable *digests = server_digests_find_(suspects, server);
	uintptr_t count = (uintptr_t)g_hash_table_lookup(digests, digest);

	if (count > 1)
		g_hash_table_insert(digests, g_strdup(digest),
				    GSIZE_TO_POINTER(count - 1));
	else
		g_hash_table_remove(digests, digest);
	if (!g_hash_table_size(digests))
		g_hash_table_remove(suspects->attempts_by_server, server->name);
	record_find_(suspects, digest)->attempt_count--;
	record_remove_if_unused_(suspects, digest);
}

/* Withdraws the reports about a digest from all entry instances. */
static void reports_withdraw_(cb_suspects_t *suspects, const char *digest)
{
	if (suspects->parts.clear_suspect)
		suspects->parts.clear_suspect(suspects->parts.user_data,
					      digest);
}

/*
 * Records the number of tokens delivered by an attempt.  A digest whose request
 * has passed the token of the last death did not cause it and is cleared, but
 * only once, so that content that crashes each server a little later is found
 * as well.
 */
void cb_suspects_progress_record(cb_suspects_t *suspects, const char *digest,
				 uint64_t delivered_count)
{
	digest_record_t *record = record_find_(suspects, digest);

	if (!record)
		return;
	record->delivered_count = MAX(record->delivered_count, delivered_count);
	if (!record->death_count || record->is_decision_pending ||
	    delivered_count < record->delivered_at_death + CLEARING_TOKENS)
		return;
	record->needs_isolation = FALSE;
	isolation_end_(suspects, digest);
	if (record->was_cleared)
		return;
	record->was_cleared = TRUE;
	suspicion_clear_(suspects, digest, record);
	reports_withdraw_(suspects, digest);
}

/* Records that a request has finished, which clears its digest. */
void cb_suspects_request_finished(cb_suspects_t *suspects, const char *digest)
{
	digest_record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);

	record->request_count--;
	if (record->death_count ||
	    cb_view_deaths(suspects->parts.view, digest, wall_ms))
		reports_withdraw_(suspects, digest);
	if (record->death_count)
		suspicion_clear_(suspects, digest, record);
	if (g_hash_table_size(suspects->finished) >= MAX_FINISHED_DIGESTS)
		g_hash_table_remove_all(suspects->finished);
	g_hash_table_add(suspects->finished, g_strdup(digest));
	record_remove_if_unused_(suspects, digest);
}

/*
 * Records a request that is to run, until cb_suspects_request_finished() or
 * cb_suspects_request_remove() is called for it.
 */
void cb_suspects_request_add(cb_suspects_t *suspects, const char *digest)
{
	record_get_(suspects, digest)->request_count++;
}

/* Records that a request has ended without its complete answer. */
void cb_suspects_request_remove(cb_suspects_t *suspects, const char *digest)
{
	record_find_(suspects, digest)->request_count--;
	isolation_end_(suspects, digest);
	record_remove_if_unused_(suspects, digest);
}

static gboolean death_is_new_(const cb_suspects_t *suspects, const char *server)
{
	unsigned int i;

	for (i = 0; i < suspects->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(suspects->deaths, i);

		if (death->is_attributed && !strcmp(death->server, server))
			return FALSE;
	}
	return TRUE;
}

static void server_death_add_(cb_suspects_t *suspects, const char *server,
			      gboolean is_attributed)
{
	int64_t oldest_ms = now_ms_(suspects) - SUSPICION_MS;
	death_t *death;
	unsigned int n;

	for (n = suspects->deaths->len; n > 0; n--) {
		death = g_ptr_array_index(suspects->deaths, n - 1);
		if (!strcmp(death->server, server))
			g_ptr_array_remove_index(suspects->deaths, n - 1);
	}
	death = g_new0(death_t, 1);

	death->server = g_strdup(server);
	death->at_ms = now_ms_(suspects);
	death->is_attributed = is_attributed;
	g_ptr_array_add(suspects->deaths, death);
	while (((death_t *)g_ptr_array_index(suspects->deaths, 0))->at_ms <
	       oldest_ms)
		g_ptr_array_remove_index(suspects->deaths, 0);
}

/*
 * Counts a death for the digest of one request that was running on the server.
 */
static void death_attribute_(cb_suspects_t *suspects, const char *digest,
			     const char *server, unsigned int suspect_count)
{
	digest_record_t *record = record_find_(suspects, digest);
	gboolean was_suspect = record->death_count > 0;

	if (!record_death_add_(suspects, record, server))
		return;
	record->delivered_at_death = record->delivered_count;
	record->died_alone = !g_strcmp0(suspects->isolated_digest, digest);
	if (suspects->parts.report_suspect)
		suspects->parts.report_suspect(suspects->parts.user_data,
					       digest, server);
	if (!record->delivered_count)
		record->wait_until_ms =
			suspect_retry_time_ms_(suspects, digest);
	if (was_suspect && suspect_count > 1) {
		record->needs_isolation = TRUE;
	} else if (was_suspect) {
		quarantine_decision_schedule_(suspects, record);
	}
}

static char *server_process_name_(const cb_server_t *server)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, server->name,
			       server->incarnation);
}

/* Records that a new connection to a server failed. */
void cb_suspects_server_failed(cb_suspects_t *suspects,
			       const cb_server_t *server)
{
	char *name = server_process_name_(server);

	suspects->last_failure_ms = now_ms_(suspects);
	if (death_is_new_(suspects, name))
		server_death_add_(suspects, name, FALSE);
	g_free(name);
}

/*
 * Records that a server died: its connections were lost and a new one failed.
 * Each digest that was running there becomes suspect.  If exactly one of them
 * was suspect before, the decision on its quarantine is scheduled.
 */
void cb_suspects_server_died(cb_suspects_t *suspects, const cb_server_t *server)
{
	GHashTable *digests = server_digests_find_(suspects, server);
	unsigned int suspect_count = 0;
	GHashTableIter iter;
	void *digest;
	char *name = server_process_name_(server);

	if (!death_is_new_(suspects, name))
		goto out;
	server_death_add_(suspects, name, TRUE);
	if (!digests)
		goto out;
	cb_log_event(suspects->parts.log, CB_EVENT_SERVER_DIED,
		     CB_STR("server", server->name),
		     CB_INT("requests", g_hash_table_size(digests)));
	g_hash_table_iter_init(&iter, digests);
	while (g_hash_table_iter_next(&iter, &digest, NULL))
		suspect_count +=
			record_find_(suspects, digest)->death_count > 0;
	g_hash_table_iter_init(&iter, digests);
	while (g_hash_table_iter_next(&iter, &digest, NULL))
		death_attribute_(suspects, digest, name, suspect_count);
out:
	g_free(name);
}

/*
 * Returns whether no request with another digest is running alone on a server.
 */
gboolean cb_suspects_may_share(const cb_suspects_t *suspects,
			       const char *digest, const cb_server_t *server)
{
	GHashTable *digests = server_digests_find_(suspects, server);

	return !digests || !suspects->isolated_digest ||
	       !strcmp(suspects->isolated_digest, digest) ||
	       !g_hash_table_contains(digests, suspects->isolated_digest);
}

/* Returns whether a server is running a request with this digest. */
gboolean cb_suspects_runs_on(const cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server)
{
	GHashTable *digests = server_digests_find_(suspects, server);

	return digests && g_hash_table_contains(digests, digest);
}

/*
 * Returns whether requests with a digest are running here and none has
 * finished.
 */
gboolean cb_suspects_is_first_run(const cb_suspects_t *suspects,
				  const char *digest)
{
	const digest_record_t *record = record_find_(suspects, digest);

	return record && record->attempt_count &&
	       !g_hash_table_contains(suspects->finished, digest);
}

/* Returns whether this instance has nothing running on a server. */
gboolean cb_suspects_is_idle(const cb_suspects_t *suspects,
			     const cb_server_t *server)
{
	return !server_digests_find_(suspects, server);
}
