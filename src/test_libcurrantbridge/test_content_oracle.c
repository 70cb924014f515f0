#include "support_main.h"

#include <stdlib.h>

#include "private/content_book.h"

/*
 * Compares the verdicts of a book with those of a plain oracle, on random
 * evidence.
 */

/* A book that shares nothing. */
typedef struct book_fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_content_book_t *book;
} book_fixture_t;

static void text_ignore_(void *user_data, const char *name, const char *text)
{
	(void)user_data;
	(void)name;
	(void)text;
}

static void refusal_ignore_(void *user_data, const char *name,
			    int64_t until_wall_ms)
{
	(void)user_data;
	(void)name;
	(void)until_wall_ms;
}

static void name_ignore_(void *user_data, const char *name)
{
	(void)user_data;
	(void)name;
}

static void fixture_init_(book_fixture_t *fixture)
{
	const cb_content_book_parts_t parts = {
		.clock = fixture->clock = cb_clock_new_paused(1000000),
		.counters = fixture->counters = cb_counters_new(),
		.report = text_ignore_,
		.refuse = refusal_ignore_,
		.clear = name_ignore_,
	};

	fixture->book = cb_content_book_new(&parts);
}

static void fixture_clear_(book_fixture_t *fixture)
{
	cb_content_book_delete(fixture->book);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
}

/* Random evidence: which features a server ended under, and when. */
#define ORACLE_FEATURES 6
/* The feature that stands for a whole request; the others are parts. */
#define ORACLE_WHOLE (ORACLE_FEATURES - 1)
#define ORACLE_DEATHS 14

typedef struct history {
	int64_t at_ms[ORACLE_DEATHS]; /* in ascending order */
	gboolean is_under[ORACLE_DEATHS][ORACLE_FEATURES];
	/* Whether it makes progress before the deaths, and after each of them. */
	gboolean is_proved[ORACLE_FEATURES];
	/* Whether it makes progress before the deaths only; a whole request. */
	gboolean was_proved[ORACLE_FEATURES];
} history_t;

static void history_fill_(history_t *history, GRand *random, int gap_min_ms,
			  int gap_max_ms)
{
	unsigned int bad = g_rand_int(random) % (ORACLE_FEATURES + 1);
	int rarity = g_rand_int_range(random, 2, 7);
	int64_t at_ms = 0;
	unsigned int d;
	unsigned int f;

	for (f = 0; f < ORACLE_FEATURES; f++) {
		history->is_proved[f] = g_rand_int_range(random, 0, 4) == 0;
		history->was_proved[f] =
			f == ORACLE_WHOLE && g_rand_boolean(random);
	}
	for (d = 0; d < ORACLE_DEATHS; d++) {
		at_ms += g_rand_int_range(random, gap_min_ms, gap_max_ms);
		history->at_ms[d] = at_ms;
		for (f = 0; f < ORACLE_FEATURES; f++)
			history->is_under[d][f] =
				f == bad ||
				g_rand_int_range(random, 0, rarity) == 0;
	}
}

/* Returns whether all of feature `narrow`'s deaths are `wide`'s, too. */
static gboolean oracle_covers_(const history_t *history, unsigned int wide,
			       unsigned int narrow, unsigned int count)
{
	unsigned int d;

	for (d = 0; d < count; d++)
		if (history->is_under[d][narrow] && !history->is_under[d][wide])
			return FALSE;
	return TRUE;
}

/*
 * Returns whether death `d` is under no refused feature (0), only under ones
 * that `feature` covers (1), or under another one (2).
 */
static int oracle_explain_(const history_t *history, unsigned int feature,
			   const gboolean *refused, unsigned int count,
			   unsigned int d)
{
	int result = 0;
	unsigned int f;

	for (f = 0; f < ORACLE_FEATURES; f++)
		if (refused[f] && history->is_under[d][f])
			result = MAX(result, oracle_covers_(history, feature, f,
							    count) ?
						     1 :
						     2);
	return result;
}

/* Returns whether a death is under any feature that is not proved. */
static gboolean oracle_has_suspect_(const history_t *history, unsigned int d)
{
	unsigned int f;

	for (f = 0; f < ORACLE_FEATURES; f++)
		if (history->is_under[d][f] && !history->is_proved[f])
			return TRUE;
	return FALSE;
}

/* Weighs a feature by the rules of docs/REQUESTS.md, in plain loops. */
static gboolean oracle_weigh_(const history_t *history, unsigned int feature,
			      const gboolean *refused, unsigned int count,
			      unsigned int *events, unsigned int *ends)
{
	gboolean has_unexplained = FALSE;
	unsigned int total = 0;
	int64_t first_ms = 0;
	int64_t event_ms = INT64_MIN / 2;
	unsigned int event = 0;
	unsigned int last_event = 0;
	unsigned int d;

	for (d = count; d--;)
		if (history->is_under[d][feature])
			first_ms = history->at_ms[d];
	*events = *ends = 0;
	for (d = 0; d < count; d++) {
		int explained;

		if (!oracle_has_suspect_(history, d))
			continue;
		if (history->at_ms[d] - event_ms > 100) {
			event_ms = history->at_ms[d];
			event++;
		}
		explained =
			oracle_explain_(history, feature, refused, count, d);
		if (explained == 2)
			continue;
		if (!history->is_under[d][feature]) {
			total += history->at_ms[d] >= first_ms - 3000;
			continue;
		}
		total++;
		(*ends)++;
		has_unexplained |= !explained;
		*events += event != last_event;
		last_event = event;
	}
	return (*events >= 3 ||
		(feature == ORACLE_WHOLE && *events == 2 && *ends >= 4)) &&
	       has_unexplained && *ends * 3 >= total;
}

/* Refuses features as the rules say, after `count` deaths. */
static void oracle_decide_(const history_t *history, unsigned int count,
			   gboolean *refused)
{
	unsigned int best;
	unsigned int f;

	do {
		unsigned int best_events = 0;
		unsigned int best_ends = 0;

		best = ORACLE_FEATURES;
		/* Deeper features come later and win when all else is equal. */
		for (f = 0; f < ORACLE_FEATURES; f++) {
			unsigned int events;
			unsigned int ends;

			if (refused[f] || history->is_proved[f] ||
			    !oracle_weigh_(history, f, refused, count, &events,
					   &ends))
				continue;
			if (events < best_events ||
			    (events == best_events && ends < best_ends))
				continue;
			best = f;
			best_events = events;
			best_ends = ends;
		}
		if (best == ORACLE_FEATURES)
			return;
		refused[best] = TRUE;
	} while (best < ORACLE_FEATURES);
}

static uint32_t oracle_depth_(unsigned int feature)
{
	return feature == ORACLE_WHOLE ? CB_CONTENT_WHOLE : feature + 1;
}

/* Returns a request with the chosen features. */
static GArray *oracle_request_(const gboolean *is_under)
{
	GArray *features =
		g_array_new(FALSE, FALSE, sizeof(cb_content_feature_t));
	unsigned int f;

	for (f = 0; f < ORACLE_FEATURES; f++) {
		cb_content_feature_t feature = { 1000 + f, oracle_depth_(f) };

		if (is_under[f])
			g_array_append_val(features, feature);
	}
	return features;
}

/* Tells a book of the first progress of an attempt that was sent just now. */
static void first_progress_add_(book_fixture_t *fixture, const GArray *features)
{
	const cb_content_progress_t progress = {
		.sent_ms = cb_clock_now_ms(fixture->clock),
		.progress_ms = CB_CONTENT_PROGRESS_MS,
	};

	cb_content_book_add_progress(fixture->book, features, &progress);
}

/* Adds one death of a history to a book, and the progress after it. */
static void history_step_(book_fixture_t *fixture, const history_t *history,
			  unsigned int d)
{
	GArray *proved = oracle_request_(history->is_proved);
	GArray *request = oracle_request_(history->is_under[d]);
	GPtrArray *attempts =
		g_ptr_array_new_with_free_func(cb_content_attempt_delete);
	char *server = g_strdup_printf("s%02u/1", d);

	cb_clock_advance(fixture->clock,
			 history->at_ms[d] -
				 (d ? history->at_ms[d - 1] + 1 : 0));
	g_ptr_array_add(attempts,
			cb_content_attempt_new(
				request, 0, cb_clock_now_ms(fixture->clock)));
	cb_content_book_add_death(fixture->book, server, attempts);
	cb_clock_advance(fixture->clock, 1);
	first_progress_add_(fixture, proved);
	g_array_unref(proved);
	g_ptr_array_unref(attempts);
	g_array_unref(request);
	g_free(server);
}

/* Returns the deaths of a feature as the text of a record's deaths. */
static char **record_deaths_(const history_t *history, unsigned int feature,
			     int64_t wall_ms)
{
	GPtrArray *deaths = g_ptr_array_new();
	unsigned int d;

	for (d = 0; d < ORACLE_DEATHS; d++)
		if (history->is_under[d][feature])
			g_ptr_array_add(
				deaths,
				g_strdup_printf("s%02u/1 %u %" G_GINT64_FORMAT
						" e",
						d, oracle_depth_(feature),
						wall_ms + history->at_ms[d]));
	g_ptr_array_add(deaths, NULL);
	return (char **)g_ptr_array_free(deaths, FALSE);
}

/* Shares all deaths of a history with a book at once. */
static void history_share_(book_fixture_t *fixture, const history_t *history)
{
	int64_t wall_ms = cb_clock_wall_ms(fixture->clock);
	cb_content_record_t records[ORACLE_FEATURES];
	unsigned int count = 0;
	unsigned int f;

	for (f = 0; f < ORACLE_FEATURES; f++) {
		if (history->is_proved[f])
			continue;
		records[count] = (cb_content_record_t){
			.name = cb_content_name_new(1000 + f),
			.deaths =
				(const char *const *)record_deaths_(history, f,
								    wall_ms),
			.revision = 1,
		};
		count++;
	}
	cb_clock_advance(fixture->clock, history->at_ms[ORACLE_DEATHS - 1]);
	cb_content_book_update(fixture->book, records, count);
	for (f = 0; f < count; f++) {
		g_free((char *)records[f].name);
		g_strfreev((char **)records[f].deaths);
	}
}

/*
 * Returns how many features' verdicts differ from the oracle's, after deaths
 * that come one by one or are shared at once.
 */
static unsigned int history_play_(const history_t *history,
				  gboolean is_shared_at_once)
{
	gboolean refused[ORACLE_FEATURES] = { FALSE };
	GArray *proved = oracle_request_(history->is_proved);
	GArray *formerly_proved = oracle_request_(history->was_proved);
	unsigned int difference_count = 0;
	book_fixture_t fixture;
	unsigned int d;
	unsigned int f;

	fixture_init_(&fixture);
	first_progress_add_(&fixture, proved);
	if (is_shared_at_once) {
		first_progress_add_(&fixture, formerly_proved);
		history_share_(&fixture, history);
		oracle_decide_(history, ORACLE_DEATHS, refused);
	}
	for (d = 0; d < ORACLE_DEATHS && !is_shared_at_once; d++) {
		history_step_(&fixture, history, d);
		oracle_decide_(history, d + 1, refused);
	}
	cb_clock_advance(fixture.clock, 1000);
	for (f = 0; f < ORACLE_FEATURES; f++) {
		gboolean only[ORACLE_FEATURES] = { FALSE };
		GArray *features;

		only[f] = TRUE;
		features = oracle_request_(only);
		difference_count +=
			(cb_content_book_check(fixture.book, features, NULL) ==
			 CB_CONTENT_REFUSED) != refused[f];
		g_array_unref(features);
	}
	g_array_unref(formerly_proved);
	g_array_unref(proved);
	fixture_clear_(&fixture);
	return difference_count;
}

/* Guards against verdicts that differ from the rules on random evidence. */
static void verdicts_equal_those_of_an_oracle(void)
{
	const char *seeds_text = g_getenv("CB_SEEDS");
	unsigned int seed_count =
		seeds_text ? (unsigned int)atoi(seeds_text) : 2000;
	unsigned int seed;

	for (seed = 1; seed <= seed_count; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		history_t history;
		unsigned int differences;

		/* Deaths that come one by one are separate events. */
		if (seed % 2)
			history_fill_(&history, random, 160, 700);
		else
			history_fill_(&history, random, 0, 300);
		differences = history_play_(&history, seed % 2 == 0);
		CU_ASSERT_EQUAL(differences, 0);
		if (differences)
			printf("    seed %u: %u verdicts differ\n", seed,
			       differences);
		g_rand_free(random);
	}
}

static CU_TestInfo oracle_tests[] = {
	{ "verdicts_equal_those_of_an_oracle",
	  verdicts_equal_those_of_an_oracle },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "content_oracle",
				    .pTests = oracle_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
