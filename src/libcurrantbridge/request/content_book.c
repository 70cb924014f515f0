#include "private/content_book.h"

#include <string.h>

#include "private/aged_set.h"
#include "private/content_suspect.h"

#define MS_PER_S 1000
/* How long a feature is refused. */
#define REFUSAL_MS (5 * 60 * MS_PER_S)
/* How long the end of a server counts. */
#define DEATH_VALID_MS (10 * 60 * MS_PER_S)
/* A feature is watched after this many separate events, and refused. */
#define WATCH_EVENTS 2
#define REFUSE_EVENTS 3
/*
 * Content is refused this time after its last death: other instances share
 * meanwhile what else ran there, or clear what made progress.
 */
#define DECISION_DELAY_MS 150
/* A refused feature explains at least this part of the ends of its time. */
#define EXPLAINED_DIVISOR 3
/*
 * A server that ends under a proved request counts unless the same request makes
 * progress again within this time.  Parts stay proved: sound requests that have
 * them may be lost with their servers and make no progress either.
 */
#define DOUBT_MS 500
/* How long progress proves that a feature is innocent. */
#define PROGRESS_KEPT_MS (60 * MS_PER_S)
#define PROGRESS_MAX_COUNT 16384
/* Features that one instance shares of one death, proved ones apart. */
#define REPORTS_MAX 32
/* Time between two requests to clear the same feature. */
#define CLEAR_INTERVAL_MS 1000
/*
 * More suspects than instances share: only without control can there be so many,
 * and they are forgotten.
 */
#define SUSPECTS_MAX 4096

/* A feature of attempts that the end of a server broke off. */
typedef struct candidate {
	cb_content_feature_t feature;
	int64_t progress_ms; /* of the attempt that came furthest */
	int64_t lost_ms;     /* of the one that was lost last */
	int64_t wall_ms;     /* time of the death */
} candidate_t;

/* A death under a whole request that was proved before. */
typedef struct doubt {
	candidate_t candidate;
	char *server;
	int64_t since_ms;
} doubt_t;

struct cb_content_book {
	cb_content_book_parts_t parts;
	GHashTable *suspects; /* hash to cb_content_suspect_t */
	cb_aged_set_t *proved_parts;
	cb_aged_set_t *proved_requests;
	/* Whether any suspect is watched or has been refused. */
	gboolean has_verdicts;
	cb_timer_t *decision_timer;
	GQueue doubts; /* doubt_t, the oldest first */
	cb_timer_t *doubt_timer;
};

static int64_t now_ms_(const cb_content_book_t *book)
{
	return cb_clock_now_ms(book->parts.clock);
}

static int64_t wall_ms_(const cb_content_book_t *book)
{
	return cb_clock_wall_ms(book->parts.clock);
}

static void *hash_key_(uint64_t hash)
{
	return GSIZE_TO_POINTER((gsize)hash);
}

static cb_content_suspect_t *suspect_find_(const cb_content_book_t *book,
					   uint64_t hash)
{
	return g_hash_table_lookup(book->suspects, hash_key_(hash));
}

static cb_content_suspect_t *suspect_get_(cb_content_book_t *book,
					  uint64_t hash)
{
	cb_content_suspect_t *suspect = suspect_find_(book, hash);

	if (suspect)
		return suspect;
	suspect = cb_content_suspect_new(hash);
	g_hash_table_insert(book->suspects, hash_key_(hash), suspect);
	return suspect;
}

static void verdicts_decide_(void *user_data);
static void doubts_settle_(void *user_data);

static void doubt_delete_(void *data)
{
	g_free(((doubt_t *)data)->server);
	g_free(data);
}

cb_content_attempt_t *cb_content_attempt_new(GArray *features,
					     int64_t progress_ms,
					     int64_t lost_ms)
{
	cb_content_attempt_t *attempt = g_new0(cb_content_attempt_t, 1);

	attempt->features = g_array_ref(features);
	attempt->progress_ms = progress_ms;
	attempt->lost_ms = lost_ms;
	return attempt;
}

/* Deletes an attempt; NULL is allowed. */
void cb_content_attempt_delete(void *attempt)
{
	if (!attempt)
		return;
	g_array_unref(((cb_content_attempt_t *)attempt)->features);
	g_free(attempt);
}

/* Creates a book without evidence. */
cb_content_book_t *cb_content_book_new(const cb_content_book_parts_t *parts)
{
	cb_content_book_t *book = g_new0(cb_content_book_t, 1);

	book->parts = *parts;
	book->suspects = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, cb_content_suspect_delete);
	book->proved_parts =
		cb_aged_set_new(PROGRESS_KEPT_MS, PROGRESS_MAX_COUNT);
	book->proved_requests =
		cb_aged_set_new(PROGRESS_KEPT_MS, PROGRESS_MAX_COUNT);
	book->decision_timer =
		cb_timer_new(parts->clock, verdicts_decide_, book);
	g_queue_init(&book->doubts);
	book->doubt_timer = cb_timer_new(parts->clock, doubts_settle_, book);
	return book;
}

/* Deletes a book; NULL is allowed. */
void cb_content_book_delete(cb_content_book_t *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->suspects);
	cb_aged_set_delete(book->proved_parts);
	cb_aged_set_delete(book->proved_requests);
	cb_timer_delete(book->decision_timer);
	cb_timer_delete(book->doubt_timer);
	g_queue_clear_full(&book->doubts, doubt_delete_);
	g_free(book);
}

static cb_aged_set_t *proved_set_(const cb_content_book_t *book, uint32_t depth)
{
	return depth == CB_CONTENT_WHOLE ? book->proved_requests :
					   book->proved_parts;
}

/* Returns when a feature last made progress here; -1: that is not known. */
static int64_t progress_ms_(const cb_content_book_t *book, uint64_t hash,
			    uint32_t depth)
{
	return cb_aged_set_added_ms(proved_set_(book, depth), hash,
				    now_ms_(book));
}

/*
 * Returns whether progress proves that a feature is innocent.  That of a whole
 * request must have been made since the last server ended under it.
 */
static gboolean feature_is_proved_(const cb_content_book_t *book, uint64_t hash,
				   uint32_t depth)
{
	const cb_content_suspect_t *suspect = suspect_find_(book, hash);
	int64_t progress_ms = progress_ms_(book, hash, depth);

	return progress_ms >= 0 &&
	       (!suspect || depth != CB_CONTENT_WHOLE ||
		progress_ms >= cb_content_suspect_last_death_ms(suspect));
}

/* Logs and counts a change of a feature's verdict. */
static void verdict_log_(const cb_content_book_t *book, cb_event_t event,
			 const char *counter,
			 const cb_content_suspect_t *suspect)
{
	char *name = cb_content_name_new(suspect->hash);
	int64_t first_wall_ms = INT64_MAX;
	unsigned int i;

	for (i = 0; i < suspect->deaths->len; i++)
		first_wall_ms =
			MIN(first_wall_ms, g_array_index(suspect->deaths,
							 cb_content_death_t, i)
						   .wall_ms);
	cb_log_event(book->parts.log, event, CB_STR("content", name),
		     CB_INT("depth", suspect->depth),
		     CB_INT("servers", suspect->deaths->len),
		     CB_INT("first_death_ms_ago",
			    suspect->deaths->len ?
				    wall_ms_(book) - first_wall_ms :
				    0),
		     CB_INT("until_wall_ms", suspect->until_wall_ms));
	cb_counter_add(cb_counters_counter(book->parts.counters, counter, NULL,
					   NULL),
		       1);
	g_free(name);
}

/* Requests that a suspect's record is removed, at intervals until it is. */
static void suspect_clear_(cb_content_book_t *book,
			   cb_content_suspect_t *suspect)
{
	int64_t now_ms = now_ms_(book);
	char *name;

	if (suspect->clear_sent_ms &&
	    now_ms - suspect->clear_sent_ms < CLEAR_INTERVAL_MS)
		return;
	suspect->clear_sent_ms = now_ms;
	verdict_log_(book, CB_EVENT_CONTENT_CLEARED, "cb_content_cleared_total",
		     suspect);
	name = cb_content_name_new(suspect->hash);
	book->parts.clear(book->parts.user_data, name);
	g_free(name);
}

/*
 * Returns whether the ends under a feature suffice to refuse it.  Two events are
 * enough for one and the same request with more ends than that: a rack that is
 * lost is one event, and seldom runs a request several times.
 */
static gboolean weight_suffices_(const cb_content_weight_t *weight,
				 uint32_t depth)
{
	gboolean has_events =
		weight->events >= REFUSE_EVENTS ||
		(depth == CB_CONTENT_WHOLE && weight->events >= WATCH_EVENTS &&
		 weight->ends > REFUSE_EVENTS);

	return has_events && weight->unexplained &&
	       weight->ends * EXPLAINED_DIVISOR >=
		       weight->ends + weight->other_ends;
}

/* Returns whether a suspect is a likelier cause than the best one so far. */
static gboolean suspect_is_likelier_(const cb_content_suspect_t *suspect,
				     const cb_content_weight_t *weight,
				     const cb_content_suspect_t *best,
				     const cb_content_weight_t *best_weight)
{
	if (!best || weight->events != best_weight->events)
		return !best || weight->events > best_weight->events;
	if (weight->ends != best_weight->ends)
		return weight->ends > best_weight->ends;
	if (suspect->depth != best->depth)
		return suspect->depth > best->depth;
	return suspect->hash < best->hash;
}

/*
 * Returns whether a suspect may be refused by now; after a recent death that is
 * decided later.
 */
static gboolean suspect_is_ripe_(cb_content_book_t *book,
				 const cb_content_suspect_t *suspect)
{
	int64_t age_ms =
		now_ms_(book) - cb_content_suspect_last_death_ms(suspect);

	if (suspect->until_wall_ms || !suspect->is_watched)
		return FALSE;
	if (age_ms < DECISION_DELAY_MS)
		cb_timer_start_sooner(book->decision_timer,
				      DECISION_DELAY_MS - age_ms);
	return age_ms >= DECISION_DELAY_MS;
}

/* Returns the likeliest cause of unexplained ends, or NULL. */
static cb_content_suspect_t *cause_find_(cb_content_book_t *book,
					 const cb_content_evidence_t *evidence)
{
	cb_content_weight_t best_weight = { 0 };
	cb_content_suspect_t *best = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, book->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_content_suspect_t *suspect = value;
		cb_content_weight_t weight;

		if (!suspect_is_ripe_(book, suspect))
			continue;
		weight = cb_content_evidence_weigh(evidence, suspect);
		if (!weight_suffices_(&weight, suspect->depth) ||
		    !suspect_is_likelier_(suspect, &weight, best, &best_weight))
			continue;
		best = suspect;
		best_weight = weight;
	}
	return best;
}

/* Refuses a feature, and shares that if this instance reported it. */
static void suspect_refuse_(cb_content_book_t *book,
			    cb_content_suspect_t *suspect)
{
	char *name;

	suspect->until_wall_ms = wall_ms_(book) + REFUSAL_MS;
	verdict_log_(book, CB_EVENT_CONTENT_REFUSED, "cb_content_refused_total",
		     suspect);
	if (!suspect->is_reporter)
		return;
	name = cb_content_name_new(suspect->hash);
	book->parts.refuse(book->parts.user_data, name, suspect->until_wall_ms);
	g_free(name);
}

/*
 * Clears the refused features that others replace, which explain all their ends
 * and more.
 */
static void replaced_clear_(cb_content_book_t *book,
			    const cb_content_evidence_t *evidence)
{
	const GPtrArray *refused = cb_content_evidence_refused(evidence);
	unsigned int i;
	unsigned int k;

	for (i = 0; i < refused->len; i++) {
		const cb_content_suspect_t *wide = refused->pdata[i];

		for (k = 0; k < refused->len && wide->is_reporter; k++) {
			cb_content_suspect_t *narrow = refused->pdata[k];

			if (narrow->deaths->len < wide->deaths->len &&
			    cb_content_suspect_covers(wide, narrow))
				suspect_clear_(book, narrow);
		}
	}
}

/*
 * Returns whether a server has ended under a feature after its refusal was
 * over: nothing has changed, so it is refused again.
 */
static gboolean suspect_is_back_(const cb_content_book_t *book,
				 const cb_content_suspect_t *suspect)
{
	unsigned int i;

	if (!suspect->until_wall_ms || suspect->until_wall_ms > wall_ms_(book))
		return FALSE;
	for (i = 0; i < suspect->deaths->len; i++)
		if (g_array_index(suspect->deaths, cb_content_death_t, i)
			    .wall_ms > suspect->until_wall_ms)
			return TRUE;
	return FALSE;
}

/* Watches a suspect from its second event on, or clears it if it is proved. */
static void suspect_watch_(cb_content_book_t *book,
			   cb_content_suspect_t *suspect,
			   const cb_content_evidence_t *evidence)
{
	gboolean was_watched = suspect->is_watched;

	suspect->is_watched = FALSE;
	if (suspect->deaths->len < WATCH_EVENTS && !suspect->until_wall_ms)
		return;
	if (feature_is_proved_(book, suspect->hash, suspect->depth)) {
		suspect_clear_(book, suspect);
		return;
	}
	suspect->is_watched =
		cb_content_evidence_weigh(evidence, suspect).events >=
		WATCH_EVENTS;
	if (suspect->is_watched && !was_watched && !suspect->until_wall_ms)
		verdict_log_(book, CB_EVENT_CONTENT_WATCHED,
			     "cb_content_watched_total", suspect);
}

/* Decides which suspects are watched. */
static void suspects_watch_(cb_content_book_t *book,
			    const cb_content_evidence_t *evidence)
{
	GHashTableIter iter;
	void *value;

	book->has_verdicts = cb_content_evidence_refused(evidence)->len > 0;
	g_hash_table_iter_init(&iter, book->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		suspect_watch_(book, value, evidence);
		book->has_verdicts |=
			((cb_content_suspect_t *)value)->is_watched;
	}
}

/* Decides on all suspects by the evidence of this moment. */
static void verdicts_decide_(void *user_data)
{
	cb_content_book_t *book = user_data;
	cb_content_evidence_t *evidence =
		cb_content_evidence_new(book->suspects,
					wall_ms_(book) - DEATH_VALID_MS);
	cb_content_suspect_t *cause;
	GHashTableIter iter;
	void *value;

	cb_timer_stop(book->decision_timer);
	g_hash_table_iter_init(&iter, book->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (suspect_is_back_(book, value))
			suspect_refuse_(book, value);
		if (((cb_content_suspect_t *)value)->until_wall_ms)
			cb_content_evidence_add_refused(evidence, value);
	}
	suspects_watch_(book, evidence);
	while ((cause = cause_find_(book, evidence))) {
		suspect_refuse_(book, cause);
		cb_content_evidence_add_refused(evidence, cause);
		suspects_watch_(book, evidence);
	}
	replaced_clear_(book, evidence);
	cb_content_evidence_delete(evidence);
}

/*
 * Returns how many deaths under a feature progress clears.  Those of parts are
 * not worth it before the part is watched.
 */
static unsigned int clearing_deaths_(const cb_content_feature_t *feature)
{
	return feature->depth == CB_CONTENT_WHOLE ? 1 : WATCH_EVENTS;
}

/*
 * Returns whether an answer to a whole request has come further than where servers
 * ended under it.
 */
static gboolean request_is_outlived_(const cb_content_book_t *book,
				     uint64_t hash,
				     const cb_content_progress_t *progress)
{
	const cb_content_suspect_t *suspect = suspect_find_(book, hash);
	const GList *link;

	if (suspect && !cb_content_suspect_is_outlived(suspect, progress))
		return FALSE;
	for (link = book->doubts.head; link; link = link->next) {
		const candidate_t *doubted =
			&((doubt_t *)link->data)->candidate;

		if (doubted->feature.hash == hash &&
		    !cb_content_end_is_outlived(doubted->lost_ms,
						doubted->progress_ms, progress))
			return FALSE;
	}
	return TRUE;
}

/*
 * Returns whether progress proves a feature.  The first progress proves parts, and
 * so does a whole answer.
 */
static gboolean progress_proves_(const cb_content_book_t *book,
				 const cb_content_feature_t *feature,
				 const cb_content_progress_t *progress)
{
	if (feature->depth != CB_CONTENT_WHOLE)
		return progress->progress_ms == CB_CONTENT_PROGRESS_MS ||
		       progress->progress_ms == CB_CONTENT_PROGRESS_WHOLE;
	return request_is_outlived_(book, feature->hash, progress);
}

void cb_content_book_add_progress(cb_content_book_t *book,
				  const GArray *features,
				  const cb_content_progress_t *progress)
{
	unsigned int i;

	for (i = 0; i < features->len; i++) {
		const cb_content_feature_t *feature =
			&g_array_index(features, cb_content_feature_t, i);
		cb_content_suspect_t *suspect;

		if (!progress_proves_(book, feature, progress))
			continue;
		suspect = suspect_find_(book, feature->hash);
		cb_aged_set_add(proved_set_(book, feature->depth),
				feature->hash, now_ms_(book));
		if (!suspect ||
		    (suspect->deaths->len < clearing_deaths_(feature) &&
		     !suspect->until_wall_ms))
			continue;
		suspect->is_watched = FALSE;
		suspect_clear_(book, suspect);
	}
}

/*
 * Orders the features of a death for its reports: first those that servers ended
 * under before, then parts, then whole requests.
 */
static int candidates_compare_(const void *a, const void *b, void *user_data)
{
	const cb_content_book_t *book = user_data;
	const cb_content_feature_t *left = &((const candidate_t *)a)->feature;
	const cb_content_feature_t *right = &((const candidate_t *)b)->feature;
	gboolean is_left_known = suspect_find_(book, left->hash) != NULL;
	gboolean is_right_known = suspect_find_(book, right->hash) != NULL;

	if (is_left_known != is_right_known)
		return is_left_known ? -1 : 1;
	if ((left->depth == CB_CONTENT_WHOLE) !=
	    (right->depth == CB_CONTENT_WHOLE))
		return left->depth == CB_CONTENT_WHOLE ? 1 : -1;
	return left->hash < right->hash ? -1 : left->hash > right->hash;
}

/*
 * Returns whether a request that was left as silent at once has made progress since:
 * that its server has ended is learned late.
 */
static gboolean silence_is_outlived_(const cb_content_book_t *book,
				     const cb_content_attempt_t *attempt,
				     const cb_content_feature_t *feature)
{
	return attempt->silent_since_ms &&
	       attempt->progress_ms < CB_CONTENT_PROGRESS_MS &&
	       progress_ms_(book, feature->hash, feature->depth) >
		       attempt->lost_ms;
}

/* Returns when the server of an attempt ended, by the wall clock. */
static int64_t end_wall_ms_(const cb_content_book_t *book,
			    const cb_content_attempt_t *attempt)
{
	int64_t ago_ms = attempt->silent_since_ms ?
				 now_ms_(book) - attempt->silent_since_ms :
				 0;

	return wall_ms_(book) - ago_ms;
}

/*
 * Adds the features of an attempt, those that are proved or those that are not;
 * `indexes` maps hashes to indexes of candidates.  An attempt with progress shows
 * that its parts are innocent, however long ago that was.  Of one that was left as
 * silent only the whole request counts: parts run on many servers of those that go
 * dark together.
 */
static void candidates_add_(const cb_content_book_t *book, GArray *candidates,
			    GHashTable *indexes,
			    const cb_content_attempt_t *attempt,
			    gboolean is_proved)
{
	gboolean spares_parts =
		attempt->progress_ms >= CB_CONTENT_PROGRESS_MS ||
		attempt->silent_since_ms;
	unsigned int i;

	for (i = 0; i < attempt->features->len; i++) {
		candidate_t candidate = {
			.feature = g_array_index(attempt->features,
						 cb_content_feature_t, i),
			.progress_ms = attempt->progress_ms,
			.lost_ms = attempt->lost_ms,
			.wall_ms = end_wall_ms_(book, attempt),
		};
		const cb_content_feature_t *feature = &candidate.feature;
		candidate_t *known;
		void *index;

		if (feature_is_proved_(book, feature->hash, feature->depth) !=
			    is_proved ||
		    (spares_parts && feature->depth != CB_CONTENT_WHOLE) ||
		    silence_is_outlived_(book, attempt, feature))
			continue;
		if (g_hash_table_lookup_extended(indexes,
						 hash_key_(feature->hash), NULL,
						 &index)) {
			known = &g_array_index(candidates, candidate_t,
					       GPOINTER_TO_UINT(index));
			known->progress_ms =
				MAX(known->progress_ms, candidate.progress_ms);
			known->lost_ms = MAX(known->lost_ms, candidate.lost_ms);
			known->wall_ms = MIN(known->wall_ms, candidate.wall_ms);
			continue;
		}
		g_hash_table_insert(indexes, hash_key_(feature->hash),
				    GUINT_TO_POINTER(candidates->len));
		g_array_append_val(candidates, candidate);
	}
}

/*
 * Returns the features of the attempts, those that are proved or those that are
 * not, without doubles: candidate_t.
 */
static GArray *candidates_collect_(cb_content_book_t *book,
				   const GPtrArray *attempts,
				   gboolean is_proved)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTable *indexes = g_hash_table_new(g_direct_hash, g_direct_equal);
	unsigned int i;

	for (i = 0; i < attempts->len; i++)
		candidates_add_(book, candidates, indexes, attempts->pdata[i],
				is_proved);
	g_hash_table_unref(indexes);
	g_array_sort_with_data(candidates, candidates_compare_, book);
	g_array_set_size(candidates, MIN(candidates->len, REPORTS_MAX));
	return candidates;
}

static gboolean request_is_proved_(const cb_content_book_t *book,
				   const GArray *features)
{
	unsigned int i;

	for (i = 0; i < features->len; i++) {
		const cb_content_feature_t *feature =
			&g_array_index(features, cb_content_feature_t, i);

		if (!feature_is_proved_(book, feature->hash, feature->depth))
			return FALSE;
	}
	return TRUE;
}

unsigned int cb_content_book_count_proved(const cb_content_book_t *book,
					  const GPtrArray *attempts)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < attempts->len; i++) {
		const cb_content_attempt_t *attempt = attempts->pdata[i];

		count += request_is_proved_(book, attempt->features);
	}
	return count;
}

/* Records a death under a feature, and shares it if that is not done yet. */
static void death_report_(cb_content_book_t *book, const candidate_t *candidate,
			  const char *server)
{
	const cb_content_feature_t *feature = &candidate->feature;
	cb_content_suspect_t *suspect = suspect_get_(book, feature->hash);
	const cb_content_death_t death = {
		.server = (char *)server,
		.wall_ms = candidate->wall_ms,
		.known_ms = now_ms_(book),
		.lost_ms = candidate->lost_ms,
		.progress_ms = candidate->progress_ms,
	};
	char *name;
	char *text;

	suspect->depth = feature->depth;
	if (cb_content_suspect_find_death(suspect, server))
		return;
	suspect->is_reporter = TRUE;
	cb_content_suspect_add_death(suspect, &death);
	name = cb_content_name_new(feature->hash);
	text = g_strdup_printf("%s %u %" G_GINT64_FORMAT, server,
			       feature->depth, candidate->wall_ms);
	book->parts.report(book->parts.user_data, name, text);
	g_free(text);
	g_free(name);
}

/* Reports the deaths under proved requests that made no progress since. */
static void doubts_settle_(void *user_data)
{
	cb_content_book_t *book = user_data;
	gboolean has_reported = FALSE;
	doubt_t *doubt;

	while ((doubt = g_queue_peek_head(&book->doubts))) {
		int64_t age_ms = now_ms_(book) - doubt->since_ms;

		if (age_ms < DOUBT_MS) {
			cb_timer_start(book->doubt_timer, DOUBT_MS - age_ms);
			break;
		}
		g_queue_pop_head(&book->doubts);
		if (progress_ms_(book, doubt->candidate.feature.hash,
				 CB_CONTENT_WHOLE) <= doubt->since_ms) {
			death_report_(book, &doubt->candidate, doubt->server);
			has_reported = TRUE;
		}
		doubt_delete_(doubt);
	}
	if (has_reported)
		verdicts_decide_(book);
}

/*
 * Takes note of a death under a proved request, which may prove itself again.
 */
static void doubt_add_(cb_content_book_t *book, const candidate_t *candidate,
		       const char *server)
{
	doubt_t *doubt;

	if (candidate->feature.depth != CB_CONTENT_WHOLE)
		return;
	doubt = g_new0(doubt_t, 1);
	doubt->candidate = *candidate;
	doubt->server = g_strdup(server);
	doubt->since_ms = now_ms_(book);
	g_queue_push_tail(&book->doubts, doubt);
	cb_timer_start_sooner(book->doubt_timer, DOUBT_MS);
}

void cb_content_book_add_death(cb_content_book_t *book, const char *server,
			       const GPtrArray *attempts)
{
	GArray *doubted = candidates_collect_(book, attempts, TRUE);
	GArray *candidates = candidates_collect_(book, attempts, FALSE);
	unsigned int i;

	if (g_hash_table_size(book->suspects) >= SUSPECTS_MAX)
		g_hash_table_remove_all(book->suspects);
	for (i = 0; i < doubted->len; i++)
		doubt_add_(book, &g_array_index(doubted, candidate_t, i),
			   server);
	for (i = 0; i < candidates->len; i++)
		death_report_(book, &g_array_index(candidates, candidate_t, i),
			      server);
	if (candidates->len)
		verdicts_decide_(book);
	g_array_unref(candidates);
	g_array_unref(doubted);
}

/* Takes over the end of a refusal, if it is later than the known one. */
static void refusal_read_(cb_content_book_t *book,
			  cb_content_suspect_t *suspect, int64_t until_wall_ms)
{
	gboolean was_refused = suspect->until_wall_ms > wall_ms_(book);

	if (until_wall_ms <= suspect->until_wall_ms)
		return;
	suspect->until_wall_ms = until_wall_ms;
	if (!was_refused && until_wall_ms > wall_ms_(book))
		verdict_log_(book, CB_EVENT_CONTENT_REFUSED,
			     "cb_content_refused_total", suspect);
}

/* Takes over a record; returns whether it has changed. */
static gboolean record_read_(cb_content_book_t *book,
			     const cb_content_record_t *record)
{
	cb_content_suspect_t *suspect;
	uint64_t hash;

	if (!cb_content_name_read(record->name, &hash))
		return FALSE;
	suspect = suspect_get_(book, hash);
	suspect->is_shared = TRUE;
	if (suspect->revision == record->revision)
		return FALSE;
	suspect->revision = record->revision;
	cb_content_suspect_read_deaths(suspect, record->deaths, now_ms_(book));
	refusal_read_(book, suspect, record->until_wall_ms);
	return TRUE;
}

/*
 * Drops what is no longer shared; returns whether there was any.  Of a suspect
 * that was cleared, a death that this instance has just reported is left.
 */
static gboolean unshared_drop_(cb_content_book_t *book)
{
	gboolean has_changed = FALSE;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, book->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cb_content_suspect_t *suspect = value;

		if (suspect->is_shared)
			continue;
		if (suspect->revision) {
			has_changed = TRUE;
			suspect->until_wall_ms = 0;
		}
		suspect->revision = 0;
		cb_content_suspect_read_deaths(suspect, NULL, now_ms_(book));
		if (!suspect->deaths->len)
			g_hash_table_iter_remove(&iter);
	}
	return has_changed;
}

void cb_content_book_update(cb_content_book_t *book,
			    const cb_content_record_t *records,
			    unsigned int record_count)
{
	gboolean has_changed = FALSE;
	GHashTableIter iter;
	unsigned int i;
	void *value;

	g_hash_table_iter_init(&iter, book->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((cb_content_suspect_t *)value)->is_shared = FALSE;
	for (i = 0; i < record_count; i++)
		has_changed |= record_read_(book, &records[i]);
	has_changed |= unshared_drop_(book);
	if (has_changed)
		verdicts_decide_(book);
}

cb_content_verdict_t cb_content_book_check(const cb_content_book_t *book,
					   const GArray *features,
					   cb_content_refusal_t *refusal)
{
	cb_content_verdict_t verdict = CB_CONTENT_FREE;
	unsigned int i;

	if (!book->has_verdicts)
		return CB_CONTENT_FREE;
	for (i = 0; i < features->len; i++) {
		const cb_content_suspect_t *suspect = suspect_find_(
			book,
			g_array_index(features, cb_content_feature_t, i).hash);

		if (!suspect)
			continue;
		if (suspect->until_wall_ms > wall_ms_(book)) {
			if (refusal)
				*refusal = (cb_content_refusal_t){
					suspect->hash, suspect->until_wall_ms
				};
			return CB_CONTENT_REFUSED;
		}
		if (suspect->is_watched)
			verdict = CB_CONTENT_WATCHED;
	}
	return verdict;
}
