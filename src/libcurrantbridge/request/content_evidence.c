#include <string.h>

#include "private/content_suspect.h"

/* Servers that end within this time, such as a rack's, may do so together. */
#define SAME_EVENT_MS 100
/*
 * Ends this long before a suspect's first one count as its others: where servers
 * end for other causes, it takes more to suspect content.
 */
#define BEFORE_MS 3000

/* The end of one server. */
typedef struct end {
	const char *server;
	int64_t wall_ms;
	unsigned int event; /* number of the event that it belongs to */
} end_t;

struct cb_content_evidence {
	GArray *ends; /* in the order of their times: end_t */
	GPtrArray *refused;
};

static int ends_compare_(const void *a, const void *b)
{
	const end_t *left = a;
	const end_t *right = b;

	if (left->wall_ms != right->wall_ms)
		return left->wall_ms < right->wall_ms ? -1 : 1;
	return strcmp(left->server, right->server);
}

/*
 * Adds the ends under one suspect; `indexes` maps servers to indexes of ends.
 */
static void ends_add_(GArray *ends, GHashTable *indexes,
		      const cb_content_suspect_t *suspect,
		      int64_t oldest_wall_ms)
{
	unsigned int i;

	for (i = 0; i < suspect->deaths->len; i++) {
		const cb_content_death_t *death =
			&g_array_index(suspect->deaths, cb_content_death_t, i);
		end_t end = { death->server, death->wall_ms, 0 };
		end_t *known;
		void *index;

		if (death->wall_ms < oldest_wall_ms)
			continue;
		if (g_hash_table_lookup_extended(indexes, death->server, NULL,
						 &index)) {
			known = &g_array_index(ends, end_t,
					       GPOINTER_TO_UINT(index));
			known->wall_ms = MIN(known->wall_ms, death->wall_ms);
			continue;
		}
		g_hash_table_insert(indexes, death->server,
				    GUINT_TO_POINTER(ends->len));
		g_array_append_val(ends, end);
	}
}

/* Numbers the events: ends shortly after the first one of an event join it. */
static void events_number_(GArray *ends)
{
	int64_t begin_ms = 0;
	unsigned int event = 0;
	unsigned int i;

	for (i = 0; i < ends->len; i++) {
		end_t *end = &g_array_index(ends, end_t, i);

		if (!i || end->wall_ms - begin_ms > SAME_EVENT_MS) {
			begin_ms = end->wall_ms;
			event++;
		}
		end->event = event;
	}
}

/* Collects the evidence; the suspects must outlive it, unchanged. */
cb_content_evidence_t *cb_content_evidence_new(GHashTable *suspects,
					       int64_t oldest_wall_ms)
{
	cb_content_evidence_t *evidence = g_new0(cb_content_evidence_t, 1);
	GHashTable *indexes = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *suspect;

	evidence->ends = g_array_new(FALSE, FALSE, sizeof(end_t));
	evidence->refused = g_ptr_array_new();
	g_hash_table_iter_init(&iter, suspects);
	while (g_hash_table_iter_next(&iter, NULL, &suspect))
		ends_add_(evidence->ends, indexes, suspect, oldest_wall_ms);
	g_hash_table_unref(indexes);
	g_array_sort(evidence->ends, ends_compare_);
	events_number_(evidence->ends);
	return evidence;
}

void cb_content_evidence_delete(cb_content_evidence_t *evidence)
{
	g_array_unref(evidence->ends);
	g_ptr_array_unref(evidence->refused);
	g_free(evidence);
}

void cb_content_evidence_add_refused(cb_content_evidence_t *evidence,
				     cb_content_suspect_t *suspect)
{
	g_ptr_array_add(evidence->refused, suspect);
}

const GPtrArray *cb_content_evidence_refused(
	const cb_content_evidence_t *evidence)
{
	return evidence->refused;
}

/*
 * Returns whether a refused feature explains an end, other than one whose ends
 * are all the suspect's, too; `is_explained` is set if any does.
 */
static gboolean end_has_other_cause_(const cb_content_evidence_t *evidence,
				     const end_t *end,
				     const cb_content_suspect_t *suspect,
				     gboolean *is_explained)
{
	unsigned int i;

	*is_explained = FALSE;
	for (i = 0; i < evidence->refused->len; i++) {
		const cb_content_suspect_t *refused =
			evidence->refused->pdata[i];

		if (!cb_content_suspect_find_death(refused, end->server))
			continue;
		*is_explained = TRUE;
		if (!cb_content_suspect_covers(suspect, refused))
			return TRUE;
	}
	return FALSE;
}

/* Returns when the first server ended under a suspect. */
static int64_t first_end_wall_ms_(const cb_content_suspect_t *suspect)
{
	int64_t first_ms = INT64_MAX;
	unsigned int i;

	for (i = 0; i < suspect->deaths->len; i++)
		first_ms = MIN(first_ms, g_array_index(suspect->deaths,
						       cb_content_death_t, i)
						 .wall_ms);
	return first_ms;
}

/*
 * Weighs the ends under a suspect.  Those that a refused feature explains don't
 * count, unless the suspect explains all of that feature's: then it is the
 * likelier cause.
 */
cb_content_weight_t cb_content_evidence_weigh(
	const cb_content_evidence_t *evidence,
	const cb_content_suspect_t *suspect)
{
	int64_t first_ms = first_end_wall_ms_(suspect);
	cb_content_weight_t weight = { 0 };
	unsigned int last_event = 0;
	unsigned int i;

	for (i = 0; i < evidence->ends->len; i++) {
		const end_t *end = &g_array_index(evidence->ends, end_t, i);
		gboolean is_explained;

		if (end->wall_ms < first_ms - BEFORE_MS ||
		    end_has_other_cause_(evidence, end, suspect, &is_explained))
			continue;
		if (!cb_content_suspect_find_death(suspect, end->server)) {
			weight.other_ends++;
			continue;
		}
		weight.ends++;
		weight.unexplained += !is_explained;
		weight.events += end->event != last_event;
		last_event = end->event;
	}
	return weight;
}
