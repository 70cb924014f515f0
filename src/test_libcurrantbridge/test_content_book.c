#include "support_main.h"

#include <string.h>

#include "private/aged_set.h"
#include "private/content_book.h"

/*
 * Tests the decisions on content that crashes servers, on a paused clock, with
 * evidence that is written down as text.
 */
#define START_MS 1000000
#define REFUSAL_MS (5 * 60 * 1000)
/* Time after a death in which other instances may share what they know. */
#define DECISION_MS 150

/* A book and what it shares. */
typedef struct fixture {
	cb_clock_t *clock;
	cb_counters_t *counters;
	cb_content_book_t *book;
	unsigned int report_count;
	GString *refused; /* names that the book shares as refused */
	GString *cleared; /* names that it wants to be cleared */
} fixture_t;

static void report_count_(void *user_data, const char *name, const char *death)
{
	(void)name;
	(void)death;
	((fixture_t *)user_data)->report_count++;
}

static void refused_append_(void *user_data, const char *name,
			    int64_t until_wall_ms)
{
	(void)until_wall_ms;
	g_string_append_printf(((fixture_t *)user_data)->refused, "%s ", name);
}

static void cleared_append_(void *user_data, const char *name)
{
	g_string_append_printf(((fixture_t *)user_data)->cleared, "%s ", name);
}

static void fixture_init_(fixture_t *fixture)
{
	const cb_content_book_parts_t parts = {
		.clock = fixture->clock = cb_clock_new_paused(START_MS),
		.counters = fixture->counters = cb_counters_new(),
		.user_data = fixture,
		.report = report_count_,
		.refuse = refused_append_,
		.clear = cleared_append_,
	};

	fixture->report_count = 0;
	fixture->refused = g_string_new(NULL);
	fixture->cleared = g_string_new(NULL);
	fixture->book = cb_content_book_new(&parts);
}

static void fixture_clear_(fixture_t *fixture)
{
	cb_content_book_delete(fixture->book);
	cb_counters_delete(fixture->counters);
	cb_clock_delete(fixture->clock);
	g_string_free(fixture->refused, TRUE);
	g_string_free(fixture->cleared, TRUE);
}

/*
 * Returns the features of a request that is written as "TARGET PART PART ...",
 * of which all parts are shared ones.
 */
static GArray *features_parse_(const char *text)
{
	char **words = g_strsplit(text, " ", -1);
	cb_content_request_t request = { .method = "GET", .target = words[0] };
	cb_text_part_t parts[CB_CONTENT_PARTS_MAX];
	unsigned int count = 0;
	GArray *features;

	while (words[count + 1]) {
		parts[count] = (cb_text_part_t){ words[count + 1],
						 strlen(words[count + 1]) };
		count++;
	}
	features = cb_content_features_new(&request, parts, count);
	g_strfreev(words);
	return features;
}

static cb_content_verdict_t verdict_get_(const fixture_t *fixture,
					 const char *request)
{
	GArray *features = features_parse_(request);
	cb_content_verdict_t verdict =
		cb_content_book_check(fixture->book, features, NULL);

	g_array_unref(features);
	return verdict;
}

static void progress_add_(fixture_t *fixture, const char *request,
			  int64_t progress_ms)
{
	GArray *features = features_parse_(request);
	int64_t now_ms = cb_clock_now_ms(fixture->clock);
	const cb_content_progress_t progress = {
		.sent_ms = progress_ms == CB_CONTENT_PROGRESS_WHOLE ?
				   now_ms :
				   now_ms - progress_ms,
		.progress_ms = progress_ms,
	};

	cb_content_book_add_progress(fixture->book, features, &progress);
	g_array_unref(features);
}

/* How far the answers to the requests of a lost server had come. */
typedef struct loss {
	int64_t progress_ms;
	/* For how long they had been silent as the end became known; 0: not. */
	int64_t silent_ms;
} loss_t;

/* Adds the end of a server under requests that are separated by "; ". */
static void death_add_(fixture_t *fixture, const char *server,
		       const char *requests, loss_t loss)
{
	char **texts = g_strsplit(requests, "; ", -1);
	GPtrArray *attempts =
		g_ptr_array_new_with_free_func(cb_content_attempt_delete);
	int64_t lost_ms = cb_clock_now_ms(fixture->clock) - loss.silent_ms;
	unsigned int i;

	for (i = 0; texts[i]; i++) {
		GArray *features = features_parse_(texts[i]);
		cb_content_attempt_t *attempt =
			cb_content_attempt_new(features, loss.progress_ms,
					       lost_ms);

		attempt->silent_since_ms = loss.silent_ms ? lost_ms : 0;
		g_ptr_array_add(attempts, attempt);
		g_array_unref(features);
	}
	cb_content_book_add_death(fixture->book, server, attempts);
	g_ptr_array_unref(attempts);
	g_strfreev(texts);
}

/* Something that happens: a server ends, or an answer goes on. */
typedef struct step {
	int64_t after_ms;   /* time since the step before */
	const char *server; /* the server that ends; NULL: progress */
	/*
	 * After a time for which their answers have come, if it isn't the first
	 * time that counts as progress, or 0 for a server's end; or after "silent"
	 * and the time for which they had been silent as its end became known.
	 */
	const char *requests;
} step_t;

#define STEPS_MAX 10
#define CHECKS_MAX 4

typedef struct verdict_case {
	const char *description; /* printed if the case fails */
	step_t steps[STEPS_MAX];
	struct {
		const char *request;
		cb_content_verdict_t verdict;
	} checks[CHECKS_MAX];
} verdict_case_t;

static const verdict_case_t verdict_cases[] = {
	{ "one end is no evidence",
	  { { 0, "s1", "/1 a bad" } },
	  { { "/2 bad", CB_CONTENT_FREE } } },
	{ "content is watched after two events",
	  { { 0, "s1", "/1 a bad" }, { 500, "s2", "/2 a bad" } },
	  { { "/3 x bad", CB_CONTENT_WATCHED }, { "/3 x", CB_CONTENT_FREE } } },
	{ "the part that all ends share is refused",
	  { { 0, NULL, "/0 a" },
	    { 0, "s1", "/1 a bad" },
	    { 500, "s2", "/2 a bad" },
	    { 500, "s3", "/3 a bad" } },
	  { { "/4 x bad", CB_CONTENT_REFUSED },
	    { "/4 a x", CB_CONTENT_FREE },
	    { "/1 a", CB_CONTENT_FREE } } },
	{ "one end that several times reports is one",
	  { { 0, "s1", "/1 bad" },
	    { 500, "s1", "/2 bad" },
	    { 500, "s1", "/3 bad" } },
	  { { "/4 bad", CB_CONTENT_FREE } } },
	{ "servers that end together are one event",
	  { { 0, "s1", "/1 bad" },
	    { 40, "s2", "/2 bad" },
	    { 40, "s3", "/3 bad" },
	    { 0, "s4", "/4 bad" } },
	  { { "/5 bad", CB_CONTENT_FREE } } },
	{ "two racks are two events",
	  { { 0, "s1", "/1 bad" },
	    { 40, "s2", "/2 bad" },
	    { 900, "s3", "/3 bad" },
	    { 0, "s4", "/4 bad" } },
	  { { "/5 bad", CB_CONTENT_WATCHED } } },
	{ "a request that ends three servers at once and then another is refused",
	  { { 0, "s1", "/1" },
	    { 40, "s2", "/1" },
	    { 40, "s3", "/1" },
	    { 4000, "s4", "/1" } },
	  { { "/1", CB_CONTENT_REFUSED }, { "/2", CB_CONTENT_FREE } } },
	{ "a request that ends two servers at once and then another is watched",
	  { { 0, "s1", "/1" }, { 40, "s2", "/1" }, { 4000, "s3", "/1" } },
	  { { "/1", CB_CONTENT_WATCHED } } },
	{ "a part with progress is innocent",
	  { { 0, NULL, "/0 good" },
	    { 0, "s1", "/1 good bad" },
	    { 500, "s2", "/2 good bad" },
	    { 500, "s3", "/3 good bad" } },
	  { { "/4 good", CB_CONTENT_FREE },
	    { "/4 bad", CB_CONTENT_REFUSED } } },
	{ "progress after the second event frees a part",
	  { { 0, "s1", "/1 good" },
	    { 500, "s2", "/2 good" },
	    { 500, NULL, "/3 good" },
	    { 500, "s3", "/4 good" } },
	  { { "/5 good", CB_CONTENT_FREE } } },
	{ "progress that is long past proves nothing",
	  { { 0, NULL, "/0 bad" },
	    { 130000, "s1", "/1 bad" },
	    { 500, "s2", "/2 bad" },
	    { 500, "s3", "/3 bad" } },
	  { { "/5 bad", CB_CONTENT_REFUSED } } },
	{ "a request that was served and then ends servers is refused",
	  { { 0, NULL, "/0 a" },
	    { 20000, "s1", "/0 a" },
	    { 1500, "s2", "/0 a" },
	    { 1500, "s3", "/0 a" },
	    { 1500, NULL, "/1 a" } },
	  { { "/0 a", CB_CONTENT_REFUSED }, { "/2 a", CB_CONTENT_FREE } } },
	{ "a request whose answers begin and then end servers is refused",
	  { { 0, NULL, "/1 a" },
	    { 200, "s1", "500 /1 a" },
	    { 400, NULL, "/1 a" },
	    { 200, "s2", "500 /1 a" },
	    { 400, NULL, "/1 a" },
	    { 200, "s3", "500 /1 a" },
	    { 500, NULL, "/2 a" } },
	  { { "/1 a", CB_CONTENT_REFUSED }, { "/2 a", CB_CONTENT_FREE } } },
	{ "the times of the ends may differ twofold",
	  { { 0, NULL, "/1" },
	    { 200, "s1", "400 /1" },
	    { 800, NULL, "600 /1" },
	    { 200, "s2", "800 /1" },
	    { 800, NULL, "900 /1" },
	    { 200, "s3", "1000 /1" } },
	  { { "/1", CB_CONTENT_REFUSED } } },
	{ "a whole answer proves a request that servers ended under",
	  { { 0, NULL, "/1" },
	    { 200, "s1", "500 /1" },
	    { 600, "s2", "500 /1" },
	    { 600, NULL, "whole /1" },
	    { 600, "s3", "500 /1" } },
	  { { "/1", CB_CONTENT_FREE } } },
	{ "so does an answer that gets much further than those that ended",
	  { { 0, NULL, "/1" },
	    { 200, "s1", "500 /1" },
	    { 600, "s2", "500 /1" },
	    { 1500, NULL, "1500 /1" },
	    { 600, "s3", "2000 /1" } },
	  { { "/1", CB_CONTENT_FREE } } },
	{ "an answer that was under way as the server ended proves nothing",
	  { { 0, NULL, "/1" },
	    { 200, "s1", "500 /1" },
	    { 1400, NULL, "1500 /1" },
	    { 0, "s2", "500 /1" },
	    { 1400, NULL, "1500 /1" },
	    { 0, "s3", "500 /1" },
	    { 500, NULL, "/2" } },
	  { { "/1", CB_CONTENT_REFUSED }, { "/2", CB_CONTENT_FREE } } },
	{ "the parts of answers with progress are innocent, also long after it",
	  { { 0, NULL, "/0 a" },
	    { 130000, "s1", "140000 /1 a" },
	    { 500, "s2", "300 /2 a" },
	    { 500, "s3", "300 /3 a" } },
	  { { "/4 a", CB_CONTENT_FREE } } },
	{ "later progress does not prove parts anew",
	  { { 0, NULL, "/1 bad" },
	    { 60000, NULL, "60000 /1 bad" },
	    { 70000, "s1", "/2 bad" },
	    { 500, "s2", "/3 bad" },
	    { 500, "s3", "/4 bad" } },
	  { { "/5 bad", CB_CONTENT_REFUSED } } },
	{ "of copies that run together, the one that came furthest counts",
	  { { 0, NULL, "/1" },
	    { 200, "s1", "500 /1; /1" },
	    { 1200, NULL, "1200 /1" },
	    { 600, "s2", "500 /1; /1" },
	    { 1200, NULL, "1200 /1" },
	    { 600, "s3", "500 /1; /1" } },
	  { { "/1", CB_CONTENT_REFUSED } } },
	{ "a request that leaves servers dark is refused, and no part of it",
	  { { 0, "s1", "silent 3000 /1 a" },
	    { 700, "s2", "silent 3000 /1 a" },
	    { 700, "s3", "silent 3000 /1 a" } },
	  { { "/1 a", CB_CONTENT_REFUSED }, { "/2 a", CB_CONTENT_FREE } } },
	{ "servers that go dark together are one event, whenever they return",
	  { { 0, "s1", "silent 3000 /1" },
	    { 700, "s2", "silent 3700 /1" },
	    { 700, "s3", "silent 4400 /1" } },
	  { { "/1", CB_CONTENT_FREE } } },
	{ "progress after the silence and before its end is known counts",
	  { { 0, NULL, "/1" },
	    { 1000, "s1", "silent 3000 /1" },
	    { 2000, NULL, "/1" },
	    { 1000, "s2", "silent 2000 /1" },
	    { 2000, NULL, "/1" },
	    { 1000, "s3", "silent 2000 /1" },
	    { 600, NULL, "/2" } },
	  { { "/1", CB_CONTENT_FREE } } },
	{ "a part that sound requests bear after each end stays proved",
	  { { 0, NULL, "/0 a" },
	    { 1500, "s1", "/1 a" },
	    { 200, NULL, "/2 a" },
	    { 1300, "s2", "/3 a" },
	    { 200, NULL, "/4 a" },
	    { 1300, "s3", "/5 a" },
	    { 200, NULL, "/6 a" },
	    { 1300, "s4", "/7 a" },
	    { 200, NULL, "/8 a" },
	    { 1300, "s5", "/9 a" } },
	  { { "/0 a", CB_CONTENT_FREE } } },
	{ "of two parts that explain the same, the deeper is refused",
	  { { 0, "s1", "/1 a bad" },
	    { 500, "s2", "/2 a bad" },
	    { 500, "s3", "/3 a bad" } },
	  { { "/4 x bad", CB_CONTENT_REFUSED },
	    { "/4 a", CB_CONTENT_WATCHED } } },
	{ "a part that explains more ends is refused in place of a deeper one",
	  { { 0, "s1", "/1 bad x" },
	    { 500, "s2", "/2 bad x" },
	    { 500, "s3", "/3 bad y" } },
	  { { "/4 bad", CB_CONTENT_REFUSED }, { "/4 z x", CB_CONTENT_FREE } } },
	{ "a part that explains all ends of a refused request and another is",
	  { { 0, "s1", "/1 bad" },
	    { 500, "s2", "/1 bad" },
	    { 500, "s3", "/1 bad" },
	    { 500, "s4", "/2 bad" } },
	  { { "/1 bad", CB_CONTENT_REFUSED },
	    { "/3 bad", CB_CONTENT_REFUSED } } },
	{ "a whole request is refused, and no other with its parts",
	  { { 0, "s1", "/1 a b" },
	    { 500, "s2", "/1 a b" },
	    { 500, "s3", "/1 a b" } },
	  { { "/1 a b", CB_CONTENT_REFUSED },
	    { "/2 a b", CB_CONTENT_WATCHED },
	    { "/1 a c", CB_CONTENT_WATCHED } } },
	{ "content that explains few of the ends is not refused",
	  { { 0, "s1", "/1 rare" },
	    { 300, "s2", "/2 x1" },
	    { 300, "s3", "/3 x2" },
	    { 300, "s4", "/4 x3" },
	    { 300, "s5", "/5 rare" },
	    { 300, "s6", "/6 x4" },
	    { 300, "s7", "/7 x5" },
	    { 300, "s8", "/8 x6" },
	    { 300, "s9", "/9 x7" },
	    { 300, "s10", "/10 rare" } },
	  { { "/11 rare", CB_CONTENT_WATCHED } } },
	{ "two parts that crash servers by turns are refused",
	  { { 0, NULL, "/0 a" },
	    { 0, "s1", "/1 a bad1" },
	    { 300, "s2", "/2 a bad2" },
	    { 300, "s3", "/3 a bad1" },
	    { 300, "s4", "/4 a bad2" },
	    { 300, "s5", "/5 a bad1" },
	    { 300, "s6", "/6 a bad2" } },
	  { { "/7 bad1", CB_CONTENT_REFUSED },
	    { "/7 bad2", CB_CONTENT_REFUSED },
	    { "/7 a", CB_CONTENT_FREE } } },
	{ "of requests that ran together, the shared content is refused",
	  { { 0, "s1", "/1 bad; /2 x" },
	    { 500, "s2", "/3 y; /4 bad" },
	    { 500, "s3", "/5 bad; /6 z; /2 x" } },
	  { { "/7 bad", CB_CONTENT_REFUSED }, { "/7 y", CB_CONTENT_FREE } } },
	{ "a refusal ends, and returns with the next end of a server",
	  { { 0, "s1", "/1 bad" },
	    { 500, "s2", "/2 bad" },
	    { 500, "s3", "/3 bad" },
	    { REFUSAL_MS + 1000, "s4", "/4 bad" } },
	  { { "/5 bad", CB_CONTENT_REFUSED } } },
	{ "after a refusal, content is watched",
	  { { 0, "s1", "/1 bad" },
	    { 500, "s2", "/2 bad" },
	    { 500, "s3", "/3 bad" },
	    { REFUSAL_MS + 1000, "s4", "/4 x" } },
	  { { "/5 bad", CB_CONTENT_WATCHED } } },
};

static void step_play_(fixture_t *fixture, const step_t *step)
{
	const char *requests = strchr(step->requests, '/');
	int64_t progress_ms = g_ascii_strtoll(step->requests, NULL, 10);
	loss_t loss = { .progress_ms = progress_ms };

	if (g_str_has_prefix(step->requests, "whole "))
		progress_ms = CB_CONTENT_PROGRESS_WHOLE;
	if (g_str_has_prefix(step->requests, "silent "))
		loss.silent_ms =
			g_ascii_strtoll(step->requests + strlen("silent "),
					NULL, 10);
	cb_clock_advance(fixture->clock, step->after_ms);
	if (step->server)
		death_add_(fixture, step->server, requests, loss);
	else
		progress_add_(fixture, requests,
			      progress_ms ? progress_ms :
					    CB_CONTENT_PROGRESS_MS);
}

/* Guards against wrong verdicts on simple evidence. */
static void verdicts_follow_evidence(void)
{
	size_t i;
	size_t k;

	for (i = 0; i < G_N_ELEMENTS(verdict_cases); i++) {
		const verdict_case_t *c = &verdict_cases[i];
		fixture_t fixture;

		fixture_init_(&fixture);
		for (k = 0; k < STEPS_MAX && c->steps[k].requests; k++) {
			step_play_(&fixture, &c->steps[k]);
		}
		cb_clock_advance(fixture.clock, DECISION_MS);
		for (k = 0; k < CHECKS_MAX && c->checks[k].request; k++) {
			cb_content_verdict_t verdict =
				verdict_get_(&fixture, c->checks[k].request);

			CU_ASSERT_EQUAL(verdict, c->checks[k].verdict);
			if (verdict != c->checks[k].verdict)
				printf("    %s: %s: %d\n", c->description,
				       c->checks[k].request, verdict);
		}
		fixture_clear_(&fixture);
	}
}

/* Returns the name of a part. */
static char *part_name_(const char *part)
{
	char *text = g_strdup_printf("/ %s", part);
	GArray *features = features_parse_(text);
	char *name = cb_content_name_new(
		g_array_index(features, cb_content_feature_t, 0).hash);

	g_array_unref(features);
	g_free(text);
	return name;
}

/* Sets the shared knowledge to one record; NULL: to none. */
static void record_share_(fixture_t *fixture, const char *name,
			  const char *deaths, int64_t until_wall_ms)
{
	static uint64_t revision;
	char **texts = g_strsplit(deaths ? deaths : "", "; ", -1);
	cb_content_record_t record = { name, (const char *const *)texts,
				       until_wall_ms, ++revision };

	cb_content_book_update(fixture->book, &record, deaths ? 1 : 0);
	g_strfreev(texts);
}

#define WALL_NOW cb_clock_wall_ms(fixture.clock)

/*
 * Guards against knowledge that is shared in vain: what other instances report
 * counts, with or without an end here.
 */
static void shared_evidence_counts(void)
{
	char *name = part_name_("bad");
	fixture_t fixture;
	char *deaths;

	fixture_init_(&fixture);
	cb_clock_advance(fixture.clock, 1000);
	deaths = g_strdup_printf("s1/1 2 %" G_GINT64_FORMAT
				 " e1; s2/1 1 %" G_GINT64_FORMAT
				 " e2; s3/1 2 %" G_GINT64_FORMAT " e1",
				 WALL_NOW - 900, WALL_NOW - 500, WALL_NOW);
	record_share_(&fixture, name, deaths, 0);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_WATCHED);
	cb_clock_advance(fixture.clock, DECISION_MS);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_REFUSED);
	/* This instance reported none of them, so others share the verdict. */
	CU_ASSERT_EQUAL(fixture.refused->len, 0);
	record_share_(&fixture, NULL, NULL, 0);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_FREE);
	record_share_(&fixture, name, "garbage; s1/1 0 5 e; s1/1 x y z; s2", 0);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_FREE);
	record_share_(&fixture, name, "s1/1 1 5 e", WALL_NOW + 100);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_REFUSED);
	cb_clock_advance(fixture.clock, 100);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_FREE);
	record_share_(&fixture, "0123456789abcdef0123456789abcdef", deaths,
		      WALL_NOW + 100);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 a bad"), CB_CONTENT_FREE);
	fixture_clear_(&fixture);
	g_free(deaths);
	g_free(name);
}

/*
 * Guards against innocent content that others refuse: an instance that saw it
 * make progress asks for its record to be removed, and reports no death of it.
 */
static void innocent_content_is_cleared(void)
{
	char *name = part_name_("good");
	fixture_t fixture;
	char *deaths;

	fixture_init_(&fixture);
	progress_add_(&fixture, "/0 good", CB_CONTENT_PROGRESS_MS);
	death_add_(&fixture, "s9/1", "/0 good", (loss_t){ 0 });
	CU_ASSERT_EQUAL(fixture.report_count, 0);
	deaths = g_strdup_printf("s1/1 2 %" G_GINT64_FORMAT
				 " e1; s2/1 1 %" G_GINT64_FORMAT " e2",
				 WALL_NOW - 900, WALL_NOW - 500);
	record_share_(&fixture, name, deaths, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.cleared->str, name));
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1 good"), CB_CONTENT_FREE);
	fixture_clear_(&fixture);
	/* The same if the progress comes after the record. */
	fixture_init_(&fixture);
	record_share_(&fixture, name, deaths, 0);
	CU_ASSERT_EQUAL(fixture.cleared->len, 0);
	progress_add_(&fixture, "/0 good", CB_CONTENT_PROGRESS_MS);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.cleared->str, name));
	fixture_clear_(&fixture);
	g_free(deaths);
	g_free(name);
}

/* Returns the name of a whole request without parts. */
static char *request_name_(const char *target)
{
	GArray *features = features_parse_(target);
	char *name = cb_content_name_new(
		g_array_index(features, cb_content_feature_t, 0).hash);

	g_array_unref(features);
	return name;
}

/*
 * Guards against an instance that frees a request whose answers begin: only the
 * one that saw a server's end knows how far its answer had come.
 */
static void ends_elsewhere_need_a_whole_answer(void)
{
	char *name = request_name_("/1");
	fixture_t fixture;
	char *deaths;

	fixture_init_(&fixture);
	cb_clock_advance(fixture.clock, 2000);
	deaths = g_strdup_printf("s1/1 255 %" G_GINT64_FORMAT
				 " e1; s2/1 255 %" G_GINT64_FORMAT " e2",
				 WALL_NOW - 900, WALL_NOW - 500);
	record_share_(&fixture, name, deaths, 0);
	progress_add_(&fixture, "/1", CB_CONTENT_PROGRESS_MS);
	progress_add_(&fixture, "/1", 60000);
	CU_ASSERT_EQUAL(fixture.cleared->len, 0);
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1"), CB_CONTENT_WATCHED);
	progress_add_(&fixture, "/1", CB_CONTENT_PROGRESS_WHOLE);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.cleared->str, name));
	CU_ASSERT_EQUAL(verdict_get_(&fixture, "/1"), CB_CONTENT_FREE);
	fixture_clear_(&fixture);
	g_free(deaths);
	g_free(name);
}

/* Guards against a death that loses what this instance knows as it is shared. */
static void shared_death_keeps_its_progress(void)
{
	char *name = request_name_("/1");
	fixture_t fixture;
	char *deaths;

	fixture_init_(&fixture);
	death_add_(&fixture, "s1/1", "/1", (loss_t){ 500, 0 });
	deaths = g_strdup_printf("s1/1 255 %" G_GINT64_FORMAT " e1", WALL_NOW);
	record_share_(&fixture, name, deaths, 0);
	cb_clock_advance(fixture.clock, 2000);
	progress_add_(&fixture, "/1", 1200);
	CU_ASSERT_EQUAL(fixture.cleared->len, 0);
	progress_add_(&fixture, "/1", 1500);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.cleared->str, name));
	fixture_clear_(&fixture);
	g_free(deaths);
	g_free(name);
}

/*
 * Guards against a request that stays refused although one of its parts turns
 * out to be the cause.
 */
static void narrower_content_is_cleared_for_its_cause(void)
{
	GArray *features = features_parse_("/1 bad");
	char *name = cb_content_name_new(
		g_array_index(features, cb_content_feature_t, 1).hash);
	fixture_t fixture;
	int i;

	fixture_init_(&fixture);
	for (i = 1; i <= 4; i++) {
		char *server = g_strdup_printf("s%d/1", i);

		death_add_(&fixture, server, i < 4 ? "/1 bad" : "/2 bad",
			   (loss_t){ 0 });
		cb_clock_advance(fixture.clock, 500);
		CU_ASSERT_EQUAL(strstr(fixture.refused->str, name) != NULL,
				i >= 3);
		CU_ASSERT_EQUAL(strstr(fixture.cleared->str, name) != NULL,
				i >= 4);
		g_free(server);
	}
	fixture_clear_(&fixture);
	g_array_unref(features);
	g_free(name);
}

/* Guards against floods: one death shares a limited number of features. */
static void reports_of_one_death_are_limited(void)
{
	GString *requests = g_string_new("/0 a");
	fixture_t fixture;
	int i;

	for (i = 1; i < 1000; i++)
		g_string_append_printf(requests, "; /%d p%d q%d", i, i, i);
	fixture_init_(&fixture);
	death_add_(&fixture, "s1/1", requests->str, (loss_t){ 0 });
	CU_ASSERT_EQUAL(fixture.report_count, 32);
	for (i = 0; i < 100; i++) {
		char *server = g_strdup_printf("s%d/1", i);

		death_add_(&fixture, server, requests->str, (loss_t){ 0 });
		g_free(server);
	}
	CU_ASSERT_TRUE(fixture.report_count <= 32 * 101);
	fixture_clear_(&fixture);
	g_string_free(requests, TRUE);
}

/* Guards against a set that forgets too early or grows without limit. */
static void aged_set_forgets_the_oldest(void)
{
	cb_aged_set_t *set = cb_aged_set_new(1000, 10);
	uint64_t hash;

	cb_aged_set_add(set, 7, 0);
	CU_ASSERT_TRUE(cb_aged_set_contains(set, 7, 999));
	CU_ASSERT_TRUE(cb_aged_set_contains(set, 7, 1500));
	CU_ASSERT_FALSE(cb_aged_set_contains(set, 7, 2500));
	for (hash = 100; hash < 110; hash++)
		cb_aged_set_add(set, hash, 2500);
	CU_ASSERT_TRUE(cb_aged_set_contains(set, 100, 2500));
	for (hash = 200; hash < 210; hash++)
		cb_aged_set_add(set, hash, 2500);
	CU_ASSERT_TRUE(cb_aged_set_contains(set, 100, 2500));
	cb_aged_set_add(set, 300, 2500);
	CU_ASSERT_FALSE(cb_aged_set_contains(set, 100, 2500));
	CU_ASSERT_TRUE(cb_aged_set_contains(set, 200, 2500));
	CU_ASSERT_FALSE(cb_aged_set_contains(set, 300, 9000));
	cb_aged_set_delete(set);
}

static CU_TestInfo book_tests[] = {
	{ "verdicts_follow_evidence", verdicts_follow_evidence },
	{ "shared_evidence_counts", shared_evidence_counts },
	{ "innocent_content_is_cleared", innocent_content_is_cleared },
	{ "ends_elsewhere_need_a_whole_answer",
	  ends_elsewhere_need_a_whole_answer },
	{ "shared_death_keeps_its_progress", shared_death_keeps_its_progress },
	{ "narrower_content_is_cleared_for_its_cause",
	  narrower_content_is_cleared_for_its_cause },
	{ "reports_of_one_death_are_limited",
	  reports_of_one_death_are_limited },
	{ "aged_set_forgets_the_oldest", aged_set_forgets_the_oldest },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "content_book",
				    .pTests = book_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
