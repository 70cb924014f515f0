#include "private/content_suspect.h"

#include <string.h>

#define DEATH_FIELDS 4
/* How long a death that this instance reported counts before it is shared. */
#define UNSHARED_VALID_MS 5000
/*
 * A request that ends servers need not end each of them as early as the last: its
 * answer proves it only once it has come for so many times as long.
 */
#define PROOF_FACTOR 2

static void death_clear_(void *data)
{
	g_free(((cb_content_death_t *)data)->server);
}

static GArray *deaths_new_(void)
{
	GArray *deaths = g_array_new(FALSE, FALSE, sizeof(cb_content_death_t));

	g_array_set_clear_func(deaths, death_clear_);
	return deaths;
}

/* Creates a suspect without deaths. */
cb_content_suspect_t *cb_content_suspect_new(uint64_t hash)
{
	cb_content_suspect_t *suspect = g_new0(cb_content_suspect_t, 1);

	suspect->hash = hash;
	suspect->deaths = deaths_new_();
	return suspect;
}

void cb_content_suspect_delete(void *data)
{
	cb_content_suspect_t *suspect = data;

	g_array_unref(suspect->deaths);
	g_free(suspect);
}

static cb_content_death_t *death_find_(const GArray *deaths, const char *server)
{
	unsigned int i;

	for (i = 0; i < deaths->len; i++) {
		cb_content_death_t *death =
			&g_array_index(deaths, cb_content_death_t, i);

		if (!strcmp(death->server, server))
			return death;
	}
	return NULL;
}

const cb_content_death_t *cb_content_suspect_find_death(
	const cb_content_suspect_t *suspect, const char *server)
{
	return death_find_(suspect->deaths, server);
}

/* Adds a death; several reports of one server count as the earliest. */
static void death_add_(GArray *deaths, const cb_content_death_t *death)
{
	cb_content_death_t *known = death_find_(deaths, death->server);
	cb_content_death_t copy = *death;

	if (known) {
		known->wall_ms = MIN(known->wall_ms, death->wall_ms);
		return;
	}
	copy.server = g_strdup(death->server);
	g_array_append_val(deaths, copy);
}

void cb_content_suspect_add_death(cb_content_suspect_t *suspect,
				  const cb_content_death_t *death)
{
	death_add_(suspect->deaths, death);
}

/*
 * Adds a shared death to `deaths`; what is known of one
 * is kept.
 */
static void shared_death_add_(cb_content_suspect_t *suspect, GArray *deaths,
			      const char *text, int64_t now_ms)
{
	char **fields = g_strsplit(text, " ", DEATH_FIELDS);
	cb_content_death_t death = { .known_ms = now_ms,
				     .lost_ms = now_ms,
				     .progress_ms = -1,
				     .is_shared = TRUE };
	const cb_content_death_t *known;
	guint64 wall_ms;
	guint64 depth;

	if (g_strv_length(fields) == DEATH_FIELDS &&
	    g_ascii_string_to_unsigned(fields[1], 10, 1, CB_CONTENT_WHOLE,
				       &depth, NULL) &&
	    g_ascii_string_to_unsigned(fields[2], 10, 0, G_MAXINT64, &wall_ms,
				       NULL)) {
		suspect->depth = (uint32_t)depth;
		death.server = fields[0];
		death.wall_ms = (int64_t)wall_ms;
		known = death_find_(suspect->deaths, death.server);
		if (known) {
			death.known_ms = known->known_ms;
			death.lost_ms = known->lost_ms;
			death.progress_ms = known->progress_ms;
		}
		death_add_(deaths, &death);
	}
	g_strfreev(fields);
}

void cb_content_suspect_read_deaths(cb_content_suspect_t *suspect,
				    const char *const *texts, int64_t now_ms)
{
	GArray *deaths = deaths_new_();
	unsigned int i;

	for (; texts && *texts; texts++)
		shared_death_add_(suspect, deaths, *texts, now_ms);
	for (i = 0; i < suspect->deaths->len; i++) {
		const cb_content_death_t *death =
			&g_array_index(suspect->deaths, cb_content_death_t, i);

		if (!death->is_shared &&
		    now_ms - death->known_ms < UNSHARED_VALID_MS)
			death_add_(deaths, death);
	}
	g_array_unref(suspect->deaths);
	suspect->deaths = deaths;
}

int64_t cb_content_suspect_last_death_ms(const cb_content_suspect_t *suspect)
{
	int64_t last_ms = 0;
	unsigned int i;

	for (i = 0; i < suspect->deaths->len; i++)
		last_ms = MAX(last_ms, g_array_index(suspect->deaths,
						     cb_content_death_t, i)
					       .known_ms);
	return last_ms;
}

gboolean cb_content_end_is_outlived(int64_t lost_ms, int64_t lost_progress_ms,
				    const cb_content_progress_t *progress)
{
	int64_t proof_ms = lost_progress_ms < 0 ?
				   CB_CONTENT_PROGRESS_WHOLE :
				   PROOF_FACTOR * lost_progress_ms +
					   CB_CONTENT_PROGRESS_MS;

	return progress->sent_ms >= lost_ms &&
	       progress->progress_ms >= proof_ms;
}

gboolean cb_content_suspect_is_outlived(const cb_content_suspect_t *suspect,
					const cb_content_progress_t *progress)
{
	unsigned int i;

	for (i = 0; i < suspect->deaths->len; i++) {
		const cb_content_death_t *death =
			&g_array_index(suspect->deaths, cb_content_death_t, i);

		if (!cb_content_end_is_outlived(death->lost_ms,
						death->progress_ms, progress))
			return FALSE;
	}
	return TRUE;
}

gboolean cb_content_suspect_covers(const cb_content_suspect_t *wide,
				   const cb_content_suspect_t *narrow)
{
	unsigned int i;

	for (i = 0; i < narrow->deaths->len; i++)
		if (!death_find_(wide->deaths,
				 g_array_index(narrow->deaths,
					       cb_content_death_t, i)
					 .server))
			return FALSE;
	return TRUE;
}
