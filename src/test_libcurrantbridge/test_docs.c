#include "support_main.h"

#include <glib.h>
#include <string.h>

#include "currantbridge/log.h"
#include "currantbridge/refusal.h"

typedef struct event {
	int number;
	const char *name;
	const char *level;
} event_t;

static const event_t events[] = {
#define CB_EVENT(number, name, level, message) { number, #name, #level },
#include "currantbridge/events.def"
#undef CB_EVENT
};

/* Returns the text of a page in docs/, empty if it cannot be read. */
static char *page_read_(const char *name)
{
	char *path = g_build_filename(CB_SOURCE_DIR, "docs", name, NULL);
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	return text ? text : g_strdup("");
}

/* Each event has a row in docs/EVENTS.md with its number, name and level. */
static void events_page_has_each_event(void)
{
	char *page = page_read_("EVENTS.md");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++) {
		const event_t *event = &events[i];
		char *level = g_ascii_strdown(event->level, -1);
		char *row = g_strdup_printf("| %d | %s | %s |", event->number,
					    event->name, level);

		CU_ASSERT_PTR_NOT_NULL(strstr(page, row));
		if (!strstr(page, row))
			printf("    docs/EVENTS.md lacks: %s\n", row);
		g_free(row);
		g_free(level);
	}
	g_free(page);
}

/* Returns whether a table row begins with the number and name of an event. */
static gboolean row_has_known_event_(const char *row)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++) {
		const event_t *event = &events[i];
		char *row_start = g_strdup_printf("| %d | %s |", event->number,
						  event->name);
		gboolean has_row_start = g_str_has_prefix(row, row_start);

		g_free(row_start);
		if (has_row_start)
			return TRUE;
	}
	return FALSE;
}

/* docs/EVENTS.md has no row for an event that events.def lacks. */
static void events_page_has_no_unknown_event(void)
{
	char *page = page_read_("EVENTS.md");
	char **rows = g_strsplit(page, "\n", -1);
	char **row;

	for (row = rows; *row; row++) {
		if (!g_str_has_prefix(*row, "| ") ||
		    !g_ascii_isdigit((*row)[2]))
			continue;
		CU_ASSERT_TRUE(row_has_known_event_(*row));
		if (!row_has_known_event_(*row))
			printf("    events.def lacks: %s\n", *row);
	}
	g_strfreev(rows);
	g_free(page);
}

/* Ascending numbers in events.def also guarantee that they are unique. */
static void event_numbers_strictly_increase(void)
{
	size_t i;

	for (i = 1; i < G_N_ELEMENTS(events); i++)
		CU_ASSERT_TRUE(events[i].number > events[i - 1].number);
}

/* docs/REQUESTS.md names the reason of each refusal. */
static void requests_page_has_each_refusal(void)
{
	char *page = page_read_("REQUESTS.md");
	int i;

	for (i = CB_REFUSAL_NONE + 1; i < CB_REFUSAL_COUNT; i++) {
		char *quoted_reason =
			g_strdup_printf("`%s`", cb_refusal_string[i]);

		CU_ASSERT_PTR_NOT_NULL(strstr(page, quoted_reason));
		if (!strstr(page, quoted_reason))
			printf("    docs/REQUESTS.md lacks: %s\n",
			       quoted_reason);
		g_free(quoted_reason);
	}
	g_free(page);
}

static CU_TestInfo docs_tests[] = {
	{ "events_page_has_each_event", events_page_has_each_event },
	{ "events_page_has_no_unknown_event",
	  events_page_has_no_unknown_event },
	{ "event_numbers_strictly_increase", event_numbers_strictly_increase },
	{ "requests_page_has_each_refusal", requests_page_has_each_refusal },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "docs", .pTests = docs_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
