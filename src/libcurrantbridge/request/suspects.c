#include "private/suspects.h"

#include <string.h>

#include "private/digest.h"

#define MS_PER_S 1000
/* How long a digest stays refused. */
#define QUARANTINE_MS (10 * 60 * MS_PER_S)
/* How long a suspicion is kept after the last death. */
#define SUSPICION_MS (10 * 60 * MS_PER_S)
/* A suspect that had not got a token yet waits for news of its copies. */
#define FIRST_HOLD_MS 400
/* How long news of a death takes from one entry instance to another. */
#define NEWS_MS 200
/* Between the turns of two entry instances with the same suspect. */
#define TURN_MS 1000
/* Over so many turns those spread that did not see it end a server. */
#define LATE_TURNS 8
/* How long after a second death other failures are waited for. */
#define VERDICT_HOLD_MS 300
/* Failures this far apart may have one cause. */
#define COMMON_CAUSE_MS 2000
#define QUARANTINE_DEATHS 2
/* Tokens past the place of the last death that clear a suspect. */
#define CLEARING_TOKENS 4
#define MAX_PROVEN_DIGESTS 16384

const char *const cb_suspects_verdict_string[CB_SUSPECTS_VERDICT_COUNT] = {
	[CB_SUSPECTS_RUN] = "run",
	[CB_SUSPECTS_RUN_ALONE] = "run_alone",
	[CB_SUSPECTS_WAIT] = "wait",
	[CB_SUSPECTS_REFUSED] = "refused",
};

/* What is known of a digest that is running, suspect or refused. */
typedef struct record {
	unsigned int running; /* its attempts on servers, all together */
	uint64_t delivered_count;
	unsigned int death_count; /* as many as there are death_servers */
	int64_t last_death_ms;
	char *last_server;
	uint64_t delivered_at_death;
	int64_t hold_until_ms;
	gboolean is_accused; /* the verdict is due at hold_until_ms */
	gboolean needs_isolation;
	gboolean died_alone;
	gboolean was_cleared; /* by its progress */
	unsigned int waiting; /* its requests that have not ended */
	int64_t refused_until_wall_ms;
	GHashTable *death_servers; /* each "NAME/INCARNATION" */
} record_t;

typedef struct death {
	char *server; /* "NAME/INCARNATION" */
	int64_t at_ms;
	gboolean is_charged; /* to the digests that were running there */
} death_t;

struct cb_suspects {
	cb_generation_parts_t parts;
	GHashTable *records;  /* digest to record_t */
	GHashTable *running;  /* server name to a table of digest to count */
	GHashTable *proven;   /* digests that finished */
	GPtrArray *deaths;    /* of death_t */
	int64_t failed_at_ms; /* when a server failed last */
	char *isolated;	      /* the digest that runs alone, or NULL */
	cb_timer_t *verdict_timer;
};

static int64_t now_ms_(const cb_suspects_t *suspects)
{
	return cb_clock_now_ms(suspects->parts.clock);
}

static void record_delete_(void *data)
{
	record_t *record = data;

	g_hash_table_unref(record->death_servers);
	g_free(record->last_server);
	g_free(record);
}

static void death_delete_(void *data)
{
	death_t *death = data;

	g_free(death->server);
	g_free(death);
}

static record_t *record_find_(const cb_suspects_t *suspects, const char *digest)
{
	return g_hash_table_lookup(suspects->records, digest);
}

static record_t *record_get_(cb_suspects_t *suspects, const char *digest)
{
	record_t *record = record_find_(suspects, digest);

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->death_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(suspects->records, g_strdup(digest), record);
	return record;
}

/* Forgets a digest that is neither running nor suspect any more. */
static void record_sweep_(cb_suspects_t *suspects, const char *digest)
{
	record_t *record = record_find_(suspects, digest);

	if (record && !record->running && !record->waiting &&
	    !record->death_count)
		g_hash_table_remove(suspects->records, digest);
}

static void isolation_release_(cb_suspects_t *suspects, const char *digest)
{
	if (!g_strcmp0(suspects->isolated, digest))
		g_clear_pointer(&suspects->isolated, g_free);
}

static void suspicion_clear_(cb_suspects_t *suspects, const char *digest,
			     record_t *record)
{
	record->death_count = 0;
	record->is_accused = FALSE;
	record->needs_isolation = FALSE;
	record->died_alone = FALSE;
	record->hold_until_ms = 0;
	record->refused_until_wall_ms = 0;
	g_hash_table_remove_all(record->death_servers);
	isolation_release_(suspects, digest);
}

/* Whether servers that this digest did not run on failed with its own. */
static gboolean has_common_cause_(const cb_suspects_t *suspects,
				  const record_t *record)
{
	unsigned int i;

	for (i = 0; i < suspects->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(suspects->deaths, i);

		if (!g_hash_table_contains(record->death_servers,
					   death->server) &&
		    death->at_ms >= record->last_death_ms - COMMON_CAUSE_MS)
			return TRUE;
	}
	return FALSE;
}

static void refuse_(cb_suspects_t *suspects, const char *digest,
		    record_t *record)
{
	int64_t until_ms =
		cb_clock_wall_ms(suspects->parts.clock) + QUARANTINE_MS;

	record->refused_until_wall_ms = until_ms;
	isolation_release_(suspects, digest);
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
 * Returns how many turns this entry instance lets pass before it runs a
 * suspect: those that saw it end a server go first, in the order of their
 * ranks, then the others.
 */
static unsigned int turn_(const cb_suspects_t *suspects, const char *digest,
			  const char *const *reports)
{
	const char *ours = suspects->parts.instance;
	gboolean is_reporter = FALSE;
	unsigned int before = 0;
	unsigned int count = 0;
	uint64_t rank;

	if (!ours)
		return 0;
	rank = cb_digest_rank(digest, ours);
	for (; reports && *reports; reports++) {
		const char *reporter = strrchr(*reports, ' ') + 1;

		is_reporter |= !strcmp(reporter, ours);
		before += cb_digest_rank(digest, reporter) < rank;
		count++;
	}
	return is_reporter || !count ? before : count + rank % LATE_TURNS;
}

/*
 * Returns when a suspect that had no token may run again.  Entry instances
 * take turns, so that one learns what the run of another showed.
 */
static int64_t hold_until_(const cb_suspects_t *suspects, const char *digest)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	const char *const *reports =
		cb_view_deaths(suspects->parts.view, digest, wall_ms);
	int64_t hold_ms = FIRST_HOLD_MS;

	hold_ms += TURN_MS * turn_(suspects, digest, reports);
	return now_ms_(suspects) + hold_ms;
}

/* Whether another digest has as much against it as this one. */
static gboolean has_rival_(const cb_suspects_t *suspects, const char *digest,
			   const record_t *record)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	GHashTableIter iter;
	void *other_digest;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, &other_digest, &value)) {
		const record_t *other = value;

		if (strcmp(other_digest, digest) != 0 &&
		    other->death_count >= record->death_count &&
		    g_hash_table_contains(other->death_servers,
					  record->last_server))
			return TRUE;
	}
	return cb_view_suspects_on(suspects->parts.view, record->last_server,
				   record->death_count, wall_ms) > 1;
}

/* Decides on an accused digest, its hold being over. */
static void judge_(cb_suspects_t *suspects, const char *digest,
		   record_t *record)
{
	record->is_accused = FALSE;
	if (record->died_alone || (!has_common_cause_(suspects, record) &&
				   !has_rival_(suspects, digest, record))) {
		refuse_(suspects, digest, record);
		return;
	}
	record->needs_isolation = TRUE;
	if (!record->delivered_count)
		record->hold_until_ms = hold_until_(suspects, digest);
}

/* Judges every accused digest whose hold is over. */
static void verdicts_due_(void *user_data)
{
	cb_suspects_t *suspects = user_data;
	int64_t now_ms = now_ms_(suspects);
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	void *digest;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, &digest, &value)) {
		record_t *record = value;

		if (!record->is_accused)
			continue;
		if (record->hold_until_ms <= now_ms)
			judge_(suspects, digest, record);
		else
			next_ms = MIN(next_ms, record->hold_until_ms);
	}
	if (next_ms != INT64_MAX)
		cb_timer_start(suspects->verdict_timer, next_ms - now_ms);
}

/* Notes a server that died under a digest; FALSE if it was noted before. */
static gboolean death_add_(cb_suspects_t *suspects, record_t *record,
			   const char *server)
{
	if (!g_hash_table_add(record->death_servers, g_strdup(server)))
		return FALSE;
	g_free(record->last_server);
	record->last_server = g_strdup(server);
	record->last_death_ms = now_ms_(suspects);
	record->death_count = g_hash_table_size(record->death_servers);
	return TRUE;
}

/* Accuses a digest: the verdict follows when other news may be in. */
static void accuse_(cb_suspects_t *suspects, record_t *record)
{
	record->is_accused = TRUE;
	record->hold_until_ms = now_ms_(suspects) + VERDICT_HOLD_MS;
	cb_timer_start(suspects->verdict_timer, 0);
}

/* Takes in what other entry instances saw of a digest. */
static void reports_merge_(cb_suspects_t *suspects, const char *digest,
			   record_t *record)
{
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	const char *const *reports =
		cb_view_deaths(suspects->parts.view, digest, wall_ms);
	gboolean is_new = FALSE;

	if (record->refused_until_wall_ms)
		return;
	for (; reports && *reports; reports++) {
		const char *end = strrchr(*reports, ' ');
		char *server = g_strndup(*reports, end - *reports);

		is_new |= death_add_(suspects, record, server);
		g_free(server);
	}
	if (!is_new)
		return;
	if (record->death_count >= QUARANTINE_DEATHS && !record->is_accused)
		accuse_(suspects, record);
	else if (!record->delivered_count && !record->running)
		record->hold_until_ms = hold_until_(suspects, digest);
}

/* The view has changed: its news of the digests that run here count. */
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

/* Makes the record of suspects of one entry instance; `parts` is copied. */
cb_suspects_t *cb_suspects_new(const cb_generation_parts_t *parts)
{
	cb_suspects_t *suspects = g_new0(cb_suspects_t, 1);

	suspects->parts = *parts;
	suspects->failed_at_ms = INT64_MIN / 2;
	suspects->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, record_delete_);
	suspects->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_unref);
	suspects->proven =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	suspects->deaths = g_ptr_array_new_with_free_func(death_delete_);
	suspects->verdict_timer =
		cb_timer_new(parts->clock, verdicts_due_, suspects);
	cb_view_watch((cb_view_t *)parts->view, view_changed_, suspects);
	return suspects;
}

/* Deletes it; NULL is allowed. */
void cb_suspects_delete(cb_suspects_t *suspects)
{
	if (!suspects)
		return;
	cb_timer_delete(suspects->verdict_timer);
	g_hash_table_unref(suspects->records);
	g_hash_table_unref(suspects->running);
	g_hash_table_unref(suspects->proven);
	g_ptr_array_unref(suspects->deaths);
	g_free(suspects->isolated);
	g_free(suspects);
}

/*
 * Whether another digest is to run alone first: the less of its answer it
 * has, the more it is to be doubted.
 */
static gboolean must_queue_(const cb_suspects_t *suspects,
			    const record_t *record)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *other = value;

		if (other->needs_isolation && other->waiting &&
		    other->delivered_count < record->delivered_count)
			return TRUE;
	}
	return FALSE;
}

/* Decides on a suspect whose hold is over and that is not running. */
static cb_suspects_verdict_t suspect_admit_(cb_suspects_t *suspects,
					    const char *digest,
					    record_t *record)
{
	if (!record->needs_isolation)
		return CB_SUSPECTS_RUN;
	if (suspects->isolated && strcmp(suspects->isolated, digest) != 0)
		return CB_SUSPECTS_WAIT;
	if (must_queue_(suspects, record))
		return CB_SUSPECTS_WAIT;
	if (!suspects->isolated)
		suspects->isolated = g_strdup(digest);
	return CB_SUSPECTS_RUN_ALONE;
}

/*
 * Whether a server failed just now and the digest has not run well yet: it
 * may be a copy of what ended that server, of which news is on its way.
 */
static gboolean is_news_awaited_(const cb_suspects_t *suspects,
				 const char *digest)
{
	const record_t *record = record_find_(suspects, digest);

	if (g_hash_table_contains(suspects->proven, digest) ||
	    (record && record->delivered_count))
		return FALSE;
	return now_ms_(suspects) < suspects->failed_at_ms + NEWS_MS;
}

/*
 * Tells whether an attempt of a digest may begin now.  A caller that is to
 * wait asks again after a short while.
 */
cb_suspects_verdict_t cb_suspects_admit(cb_suspects_t *suspects,
					const char *digest)
{
	record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);

	if (cb_view_is_quarantined(suspects->parts.view, digest, wall_ms))
		return CB_SUSPECTS_REFUSED;
	if ((!record || !record->death_count) &&
	    cb_view_deaths(suspects->parts.view, digest, wall_ms)) {
		record = record_get_(suspects, digest);
		reports_merge_(suspects, digest, record);
		record->hold_until_ms = hold_until_(suspects, digest);
	}
	if (!record || !record->death_count)
		return is_news_awaited_(suspects, digest) ? CB_SUSPECTS_WAIT :
							    CB_SUSPECTS_RUN;
	if (record->refused_until_wall_ms > wall_ms)
		return CB_SUSPECTS_REFUSED;
	if (record->refused_until_wall_ms ||
	    now_ms_(suspects) - record->last_death_ms > SUSPICION_MS) {
		suspicion_clear_(suspects, digest, record);
		return CB_SUSPECTS_RUN;
	}
	if (record->is_accused || record->running ||
	    now_ms_(suspects) < record->hold_until_ms)
		return CB_SUSPECTS_WAIT;
	return suspect_admit_(suspects, digest, record);
}

/* Returns for how many seconds, 1 or more, a digest stays refused. */
int64_t cb_suspects_remaining_s(const cb_suspects_t *suspects,
				const char *digest)
{
	const record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);
	int64_t until_ms =
		cb_view_quarantined_until(suspects->parts.view, digest);

	if (record)
		until_ms = MAX(until_ms, record->refused_until_wall_ms);
	return (MAX(until_ms - wall_ms, 1) + MS_PER_S - 1) / MS_PER_S;
}

static GHashTable *server_digests_(const cb_suspects_t *suspects,
				   const cb_server_t *server)
{
	return g_hash_table_lookup(suspects->running, server->name);
}

/* Notes that an attempt of a digest begins on a server. */
void cb_suspects_begin(cb_suspects_t *suspects, const char *digest,
		       const cb_server_t *server)
{
	GHashTable *digests = server_digests_(suspects, server);
	uintptr_t count;

	if (!digests) {
		digests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
		g_hash_table_insert(suspects->running, g_strdup(server->name),
				    digests);
	}
	count = (uintptr_t)g_hash_table_lookup(digests, digest);
	g_hash_table_insert(digests, g_strdup(digest),
			    GSIZE_TO_POINTER(count + 1));
	record_get_(suspects, digest)->running++;
}

/* Notes that an attempt of a digest has ended on a server. */
void cb_suspects_end(cb_suspects_t *suspects, const char *digest,
		     const cb_server_t *server)
{
	GHashTable *digests = server_digests_(suspects, server);
	uintptr_t count = (uintptr_t)g_hash_table_lookup(digests, digest);

	if (count > 1)
		g_hash_table_insert(digests, g_strdup(digest),
				    GSIZE_TO_POINTER(count - 1));
	else
		g_hash_table_remove(digests, digest);
	if (!g_hash_table_size(digests))
		g_hash_table_remove(suspects->running, server->name);
	record_find_(suspects, digest)->running--;
	record_sweep_(suspects, digest);
}

/* Takes back what all entry instances were told of a digest. */
static void reports_clear_(cb_suspects_t *suspects, const char *digest)
{
	if (suspects->parts.clear)
		suspects->parts.clear(suspects->parts.user_data, digest);
}

/*
 * Notes how far an attempt has come.  What has passed the place of the last
 * death did not cause it, and is cleared; but only once, so that content
 * that ends each server a little later is found as well.
 */
void cb_suspects_progressed(cb_suspects_t *suspects, const char *digest,
			    uint64_t delivered_count)
{
	record_t *record = record_find_(suspects, digest);

	if (!record)
		return;
	record->delivered_count = MAX(record->delivered_count, delivered_count);
	if (!record->death_count || record->is_accused ||
	    delivered_count < record->delivered_at_death + CLEARING_TOKENS)
		return;
	record->needs_isolation = FALSE;
	isolation_release_(suspects, digest);
	if (record->was_cleared)
		return;
	record->was_cleared = TRUE;
	suspicion_clear_(suspects, digest, record);
	reports_clear_(suspects, digest);
}

/* Notes that a digest has finished whole, which clears it. */
void cb_suspects_passed(cb_suspects_t *suspects, const char *digest)
{
	record_t *record = record_find_(suspects, digest);
	int64_t wall_ms = cb_clock_wall_ms(suspects->parts.clock);

	record->waiting--;
	if (record->death_count ||
	    cb_view_deaths(suspects->parts.view, digest, wall_ms))
		reports_clear_(suspects, digest);
	if (record->death_count)
		suspicion_clear_(suspects, digest, record);
	if (g_hash_table_size(suspects->proven) >= MAX_PROVEN_DIGESTS)
		g_hash_table_remove_all(suspects->proven);
	g_hash_table_add(suspects->proven, g_strdup(digest));
	record_sweep_(suspects, digest);
}

/* Notes a request that is to run, until it has passed or left. */
void cb_suspects_joined(cb_suspects_t *suspects, const char *digest)
{
	record_get_(suspects, digest)->waiting++;
}

/* Notes that a request has ended without its answer. */
void cb_suspects_left(cb_suspects_t *suspects, const char *digest)
{
	record_find_(suspects, digest)->waiting--;
	isolation_release_(suspects, digest);
	record_sweep_(suspects, digest);
}

static gboolean death_is_new_(const cb_suspects_t *suspects, const char *server)
{
	unsigned int i;

	for (i = 0; i < suspects->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(suspects->deaths, i);

		if (death->is_charged && !strcmp(death->server, server))
			return FALSE;
	}
	return TRUE;
}

static void death_note_(cb_suspects_t *suspects, const char *server,
			gboolean is_charged)
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
	death->is_charged = is_charged;
	g_ptr_array_add(suspects->deaths, death);
	while (((death_t *)g_ptr_array_index(suspects->deaths, 0))->at_ms <
	       oldest_ms)
		g_ptr_array_remove_index(suspects->deaths, 0);
}

/* Holds one death against one of the digests that it happened under. */
static void charge_(cb_suspects_t *suspects, const char *digest,
		    const char *server, unsigned int suspect_count)
{
	record_t *record = record_find_(suspects, digest);
	gboolean was_suspect = record->death_count > 0;

	if (!death_add_(suspects, record, server))
		return;
	record->delivered_at_death = record->delivered_count;
	record->died_alone = !g_strcmp0(suspects->isolated, digest);
	if (suspects->parts.suspect)
		suspects->parts.suspect(suspects->parts.user_data, digest,
					server);
	if (!record->delivered_count)
		record->hold_until_ms = hold_until_(suspects, digest);
	if (was_suspect && suspect_count > 1) {
		record->needs_isolation = TRUE;
	} else if (was_suspect) {
		accuse_(suspects, record);
	}
}

static char *death_name_(const cb_server_t *server)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, server->name,
			       server->incarnation);
}

/* Notes that a fresh connection to a server failed. */
void cb_suspects_server_failed(cb_suspects_t *suspects,
			       const cb_server_t *server)
{
	char *name = death_name_(server);

	suspects->failed_at_ms = now_ms_(suspects);
	if (death_is_new_(suspects, name))
		death_note_(suspects, name, FALSE);
	g_free(name);
}

/*
 * Notes that a server died: its connections were lost and a fresh one
 * failed.  Every digest that was running there becomes suspect; one that
 * was suspect before, and the only such there, is accused.
 */
void cb_suspects_server_died(cb_suspects_t *suspects, const cb_server_t *server)
{
	GHashTable *digests = server_digests_(suspects, server);
	unsigned int suspect_count = 0;
	GHashTableIter iter;
	void *digest;
	char *name = death_name_(server);

	if (!death_is_new_(suspects, name))
		goto out;
	death_note_(suspects, name, TRUE);
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
		charge_(suspects, digest, name, suspect_count);
out:
	g_free(name);
}

/* Tells whether a digest may be placed beside what runs on a server. */
gboolean cb_suspects_may_share(const cb_suspects_t *suspects,
			       const char *digest, const cb_server_t *server)
{
	GHashTable *digests = server_digests_(suspects, server);

	return !digests || !suspects->isolated ||
	       !strcmp(suspects->isolated, digest) ||
	       !g_hash_table_contains(digests, suspects->isolated);
}

/* Tells whether a digest has an attempt on a server. */
gboolean cb_suspects_runs_on(const cb_suspects_t *suspects, const char *digest,
			     const cb_server_t *server)
{
	GHashTable *digests = server_digests_(suspects, server);

	return digests && g_hash_table_contains(digests, digest);
}

/* Tells whether a digest is running here that has never yet finished. */
gboolean cb_suspects_is_untried(const cb_suspects_t *suspects,
				const char *digest)
{
	const record_t *record = record_find_(suspects, digest);

	return record && record->running &&
	       !g_hash_table_contains(suspects->proven, digest);
}

/* Tells whether this instance has nothing running on a server. */
gboolean cb_suspects_is_idle(const cb_suspects_t *suspects,
			     const cb_server_t *server)
{
	return !server_digests_(suspects, server);
}
