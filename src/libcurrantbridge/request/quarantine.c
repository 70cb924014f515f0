#include "private/quarantine.h"

#include <string.h>

#define MS_PER_S 1000
/* How long a digest stays refused. */
#define QUARANTINE_MS (10 * 60 * MS_PER_S)
/* How long a suspicion is kept after the last death. */
#define SUSPICION_MS (10 * 60 * MS_PER_S)
/* A suspect that had not got a token yet waits for news of its copies. */
#define FIRST_HOLD_MS 400
/* How long after a second death other failures are waited for. */
#define VERDICT_HOLD_MS 300
/* Failures this far apart may have one cause. */
#define COMMON_CAUSE_MS 2000
#define QUARANTINE_DEATHS 2
/* Tokens past the place of the last death that clear a suspect. */
#define CLEARING_TOKENS 4
#define MAX_PROVEN_DIGESTS 16384

const char *const cb_quarantine_verdict_string[CB_QUARANTINE_VERDICT_COUNT] = {
	[CB_QUARANTINE_RUN] = "run",
	[CB_QUARANTINE_RUN_ALONE] = "run_alone",
	[CB_QUARANTINE_WAIT] = "wait",
	[CB_QUARANTINE_REFUSED] = "refused",
};

/* What is known of a digest that is running, suspect or refused. */
typedef struct record {
	unsigned int running; /* its attempts on servers, all together */
	uint64_t delivered_count;
	unsigned int death_count;
	int64_t last_death_ms;
	uint64_t delivered_at_death;
	int64_t hold_until_ms;
	gboolean is_accused; /* the verdict is due at hold_until_ms */
	gboolean needs_isolation;
	int64_t refused_until_wall_ms;
	GHashTable *death_servers; /* names */
} record_t;

typedef struct death {
	char *server;
	uint64_t incarnation;
	int64_t at_ms;
} death_t;

struct cb_quarantine {
	cb_generation_parts_t parts;
	GHashTable *records; /* digest to record_t */
	GHashTable *running; /* server name to a table of digest to count */
	GHashTable *proven;  /* digests that finished */
	GPtrArray *deaths;   /* of death_t */
	char *isolated;	     /* the digest that runs alone, or NULL */
	cb_timer_t *verdict_timer;
};

static int64_t now_ms_(const cb_quarantine_t *quarantine)
{
	return cb_clock_now_ms(quarantine->parts.clock);
}

static void record_delete_(void *data)
{
	record_t *record = data;

	g_hash_table_unref(record->death_servers);
	g_free(record);
}

static void death_delete_(void *data)
{
	death_t *death = data;

	g_free(death->server);
	g_free(death);
}

static record_t *record_find_(const cb_quarantine_t *quarantine,
			      const char *digest)
{
	return g_hash_table_lookup(quarantine->records, digest);
}

static record_t *record_get_(cb_quarantine_t *quarantine, const char *digest)
{
	record_t *record = record_find_(quarantine, digest);

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->death_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(quarantine->records, g_strdup(digest), record);
	return record;
}

/* Forgets a digest that is neither running nor suspect any more. */
static void record_sweep_(cb_quarantine_t *quarantine, const char *digest)
{
	record_t *record = record_find_(quarantine, digest);

	if (record && !record->running && !record->death_count)
		g_hash_table_remove(quarantine->records, digest);
}

static void isolation_release_(cb_quarantine_t *quarantine, const char *digest)
{
	if (!g_strcmp0(quarantine->isolated, digest))
		g_clear_pointer(&quarantine->isolated, g_free);
}

static void suspicion_clear_(cb_quarantine_t *quarantine, const char *digest,
			     record_t *record)
{
	record->death_count = 0;
	record->is_accused = FALSE;
	record->needs_isolation = FALSE;
	record->hold_until_ms = 0;
	record->refused_until_wall_ms = 0;
	g_hash_table_remove_all(record->death_servers);
	isolation_release_(quarantine, digest);
}

/* Whether servers that this digest did not run on failed with its own. */
static gboolean has_common_cause_(const cb_quarantine_t *quarantine,
				  const record_t *record)
{
	unsigned int i;

	for (i = 0; i < quarantine->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(quarantine->deaths, i);

		if (!g_hash_table_contains(record->death_servers,
					   death->server) &&
		    death->at_ms >= record->last_death_ms - COMMON_CAUSE_MS)
			return TRUE;
	}
	return FALSE;
}

static void refuse_(cb_quarantine_t *quarantine, const char *digest,
		    record_t *record)
{
	int64_t until_ms =
		cb_clock_wall_ms(quarantine->parts.clock) + QUARANTINE_MS;

	record->refused_until_wall_ms = until_ms;
	isolation_release_(quarantine, digest);
	cb_counter_add(cb_counters_counter(quarantine->parts.counters,
					   "cb_quarantined_total", NULL, NULL),
		       1);
	cb_log_event(quarantine->parts.log, CB_EVENT_REQUEST_QUARANTINED,
		     CB_STR("digest", digest),
		     CB_INT("servers", record->death_count));
	if (quarantine->parts.quarantine)
		quarantine->parts.quarantine(quarantine->parts.user_data,
					     digest, until_ms);
}

/* Decides on an accused digest, its hold being over. */
static void judge_(cb_quarantine_t *quarantine, const char *digest,
		   record_t *record)
{
	record->is_accused = FALSE;
	if (record->death_count <= QUARANTINE_DEATHS &&
	    has_common_cause_(quarantine, record))
		record->needs_isolation = TRUE;
	else
		refuse_(quarantine, digest, record);
}

/* Judges every accused digest whose hold is over. */
static void verdicts_due_(void *user_data)
{
	cb_quarantine_t *quarantine = user_data;
	int64_t now_ms = now_ms_(quarantine);
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	void *digest;
	void *value;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, &digest, &value)) {
		record_t *record = value;

		if (!record->is_accused)
			continue;
		if (record->hold_until_ms <= now_ms)
			judge_(quarantine, digest, record);
		else
			next_ms = MIN(next_ms, record->hold_until_ms);
	}
	if (next_ms != INT64_MAX)
		cb_timer_start(quarantine->verdict_timer, next_ms - now_ms);
}

/* Makes the quarantine of one entry instance; `parts` is copied. */
cb_quarantine_t *cb_quarantine_new(const cb_generation_parts_t *parts)
{
	cb_quarantine_t *quarantine = g_new0(cb_quarantine_t, 1);

	quarantine->parts = *parts;
	quarantine->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, record_delete_);
	quarantine->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_unref);
	quarantine->proven =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	quarantine->deaths = g_ptr_array_new_with_free_func(death_delete_);
	quarantine->verdict_timer =
		cb_timer_new(parts->clock, verdicts_due_, quarantine);
	return quarantine;
}

/* Deletes a quarantine; NULL is allowed. */
void cb_quarantine_delete(cb_quarantine_t *quarantine)
{
	if (!quarantine)
		return;
	cb_timer_delete(quarantine->verdict_timer);
	g_hash_table_unref(quarantine->records);
	g_hash_table_unref(quarantine->running);
	g_hash_table_unref(quarantine->proven);
	g_ptr_array_unref(quarantine->deaths);
	g_free(quarantine->isolated);
	g_free(quarantine);
}

/* Decides on a suspect whose hold is over and that is not running. */
static cb_quarantine_verdict_t suspect_admit_(cb_quarantine_t *quarantine,
					      const char *digest,
					      record_t *record)
{
	if (!record->needs_isolation)
		return CB_QUARANTINE_RUN;
	if (quarantine->isolated && strcmp(quarantine->isolated, digest) != 0)
		return CB_QUARANTINE_WAIT;
	if (!quarantine->isolated)
		quarantine->isolated = g_strdup(digest);
	return CB_QUARANTINE_RUN_ALONE;
}

/*
 * Tells whether an attempt of a digest may begin now.  A caller that is to
 * wait asks again after a short while.
 */
cb_quarantine_verdict_t cb_quarantine_admit(cb_quarantine_t *quarantine,
					    const char *digest)
{
	record_t *record = record_find_(quarantine, digest);
	int64_t wall_ms = cb_clock_wall_ms(quarantine->parts.clock);

	if (quarantine->parts.view &&
	    cb_view_is_quarantined(quarantine->parts.view, digest, wall_ms))
		return CB_QUARANTINE_REFUSED;
	if (!record || !record->death_count)
		return CB_QUARANTINE_RUN;
	if (record->refused_until_wall_ms > wall_ms)
		return CB_QUARANTINE_REFUSED;
	if (record->refused_until_wall_ms ||
	    now_ms_(quarantine) - record->last_death_ms > SUSPICION_MS) {
		suspicion_clear_(quarantine, digest, record);
		return CB_QUARANTINE_RUN;
	}
	if (record->is_accused || record->running ||
	    now_ms_(quarantine) < record->hold_until_ms)
		return CB_QUARANTINE_WAIT;
	return suspect_admit_(quarantine, digest, record);
}

/* Returns for how many seconds, 1 or more, a digest stays refused. */
int64_t cb_quarantine_remaining_s(const cb_quarantine_t *quarantine,
				  const char *digest)
{
	const record_t *record = record_find_(quarantine, digest);
	int64_t wall_ms = cb_clock_wall_ms(quarantine->parts.clock);
	int64_t remaining_ms = QUARANTINE_MS;

	if (record && record->refused_until_wall_ms > wall_ms)
		remaining_ms = record->refused_until_wall_ms - wall_ms;
	return (remaining_ms + MS_PER_S - 1) / MS_PER_S;
}

static GHashTable *server_digests_(const cb_quarantine_t *quarantine,
				   const cb_server_t *server)
{
	return g_hash_table_lookup(quarantine->running, server->name);
}

/* Notes that an attempt of a digest begins on a server. */
void cb_quarantine_begin(cb_quarantine_t *quarantine, const char *digest,
			 const cb_server_t *server)
{
	GHashTable *digests = server_digests_(quarantine, server);
	uintptr_t count;

	if (!digests) {
		digests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
		g_hash_table_insert(quarantine->running, g_strdup(server->name),
				    digests);
	}
	count = (uintptr_t)g_hash_table_lookup(digests, digest);
	g_hash_table_insert(digests, g_strdup(digest),
			    GSIZE_TO_POINTER(count + 1));
	record_get_(quarantine, digest)->running++;
}

/* Notes that an attempt of a digest has ended on a server. */
void cb_quarantine_end(cb_quarantine_t *quarantine, const char *digest,
		       const cb_server_t *server)
{
	GHashTable *digests = server_digests_(quarantine, server);
	uintptr_t count = (uintptr_t)g_hash_table_lookup(digests, digest);

	if (count > 1)
		g_hash_table_insert(digests, g_strdup(digest),
				    GSIZE_TO_POINTER(count - 1));
	else
		g_hash_table_remove(digests, digest);
	if (!g_hash_table_size(digests))
		g_hash_table_remove(quarantine->running, server->name);
	record_find_(quarantine, digest)->running--;
	record_sweep_(quarantine, digest);
}

/*
 * Notes how far an attempt has come; past the place of the last death the
 * digest no longer needs a server alone.
 */
void cb_quarantine_progressed(cb_quarantine_t *quarantine, const char *digest,
			      uint64_t delivered_count)
{
	record_t *record = record_find_(quarantine, digest);

	if (!record)
		return;
	record->delivered_count = MAX(record->delivered_count, delivered_count);
	if (!record->needs_isolation ||
	    delivered_count < record->delivered_at_death + CLEARING_TOKENS)
		return;
	record->needs_isolation = FALSE;
	isolation_release_(quarantine, digest);
}

/* Notes that a digest has finished whole, which clears it. */
void cb_quarantine_passed(cb_quarantine_t *quarantine, const char *digest)
{
	record_t *record = record_find_(quarantine, digest);

	if (record && record->death_count)
		suspicion_clear_(quarantine, digest, record);
	if (g_hash_table_size(quarantine->proven) >= MAX_PROVEN_DIGESTS)
		g_hash_table_remove_all(quarantine->proven);
	g_hash_table_add(quarantine->proven, g_strdup(digest));
	record_sweep_(quarantine, digest);
}

/* Notes that a request has ended without its answer. */
void cb_quarantine_left(cb_quarantine_t *quarantine, const char *digest)
{
	isolation_release_(quarantine, digest);
	record_sweep_(quarantine, digest);
}

static gboolean death_is_new_(const cb_quarantine_t *quarantine,
			      const cb_server_t *server)
{
	unsigned int i;

	for (i = 0; i < quarantine->deaths->len; i++) {
		const death_t *death = g_ptr_array_index(quarantine->deaths, i);

		if (!strcmp(death->server, server->name) &&
		    death->incarnation == server->incarnation)
			return FALSE;
	}
	return TRUE;
}

static void death_note_(cb_quarantine_t *quarantine, const cb_server_t *server)
{
	int64_t oldest_ms = now_ms_(quarantine) - SUSPICION_MS;
	death_t *death = g_new0(death_t, 1);

	death->server = g_strdup(server->name);
	death->incarnation = server->incarnation;
	death->at_ms = now_ms_(quarantine);
	g_ptr_array_add(quarantine->deaths, death);
	while (((death_t *)g_ptr_array_index(quarantine->deaths, 0))->at_ms <
	       oldest_ms)
		g_ptr_array_remove_index(quarantine->deaths, 0);
}

/* Holds one death against one of the digests that it happened under. */
static void charge_(cb_quarantine_t *quarantine, record_t *record,
		    const cb_server_t *server, unsigned int suspect_count)
{
	int64_t now_ms = now_ms_(quarantine);
	gboolean was_suspect = record->death_count > 0;

	record->death_count++;
	record->last_death_ms = now_ms;
	record->delivered_at_death = record->delivered_count;
	g_hash_table_add(record->death_servers, g_strdup(server->name));
	if (!was_suspect) {
		if (!record->delivered_count)
			record->hold_until_ms = now_ms + FIRST_HOLD_MS;
	} else if (suspect_count > 1) {
		record->needs_isolation = TRUE;
	} else {
		record->is_accused = TRUE;
		record->hold_until_ms = now_ms + VERDICT_HOLD_MS;
	}
}

/*
 * Notes that a server died: its connections were lost and a fresh one
 * failed.  Every digest that was running there becomes suspect; one that
 * was suspect before, and the only such there, is accused.
 */
void cb_quarantine_server_died(cb_quarantine_t *quarantine,
			       const cb_server_t *server)
{
	GHashTable *digests = server_digests_(quarantine, server);
	unsigned int suspect_count = 0;
	GHashTableIter iter;
	void *digest;

	if (!death_is_new_(quarantine, server))
		return;
	death_note_(quarantine, server);
	if (!digests)
		return;
	cb_log_event(quarantine->parts.log, CB_EVENT_SERVER_DIED,
		     CB_STR("server", server->name),
		     CB_INT("requests", g_hash_table_size(digests)));
	g_hash_table_iter_init(&iter, digests);
	while (g_hash_table_iter_next(&iter, &digest, NULL))
		suspect_count +=
			record_find_(quarantine, digest)->death_count > 0;
	g_hash_table_iter_init(&iter, digests);
	while (g_hash_table_iter_next(&iter, &digest, NULL))
		charge_(quarantine, record_find_(quarantine, digest), server,
			suspect_count);
	verdicts_due_(quarantine);
}

/* Tells whether a digest may be placed beside what runs on a server. */
gboolean cb_quarantine_may_share(const cb_quarantine_t *quarantine,
				 const char *digest, const cb_server_t *server)
{
	GHashTable *digests = server_digests_(quarantine, server);

	return !digests || !quarantine->isolated ||
	       !strcmp(quarantine->isolated, digest) ||
	       !g_hash_table_contains(digests, quarantine->isolated);
}

/* Tells whether a digest has an attempt on a server. */
gboolean cb_quarantine_runs_on(const cb_quarantine_t *quarantine,
			       const char *digest, const cb_server_t *server)
{
	GHashTable *digests = server_digests_(quarantine, server);

	return digests && g_hash_table_contains(digests, digest);
}

/* Tells whether a digest is running here that has never yet finished. */
gboolean cb_quarantine_is_untried(const cb_quarantine_t *quarantine,
				  const char *digest)
{
	const record_t *record = record_find_(quarantine, digest);

	return record && record->running &&
	       !g_hash_table_contains(quarantine->proven, digest);
}

/* Tells whether this instance has nothing running on a server. */
gboolean cb_quarantine_is_idle(const cb_quarantine_t *quarantine,
			       const cb_server_t *server)
{
	return !server_digests_(quarantine, server);
}
