#include "support_main.h"

#include <glib.h>
#include <string.h>

#include "currantbridge/log.h"
#include "currantbridge/refusal.h"

typedef struct event_line {
	int number;
	const char *name;
	const char *level;
} event_line_t;

static const event_line_t event_lines[] = {
#define CB_EVENT(number, name, level, message) { number, #name, #level },
#include "currantbridge/events.def"
#undef CB_EVENT
};

static char *page_read_(const char *name)
{
	char *path = g_build_filename(CB_SOURCE_DIR, "docs", name, NULL);
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	return text ? text : g_strdup("");
}

/* Each event has its row in docs/EVENTS.md, with number, name and level. */
static void events_page_has_each_event(void)
{
	char *page = page_read_("EVENTS.md");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(event_lines); i++) {
		const event_line_t *line = &event_lines[i];
		char *level = g_ascii_strdown(line->level, -1);
		char *row = g_strdup_printf("| %d | %s | %s |", line->number,
					    line->name, level);

		CU_ASSERT_PTR_NOT_NULL(strstr(page, row));
		if (!strstr(page, row))
			printf("    docs/EVENTS.md lacks: %s\n", row);
		g_free(row);
		g_free(level);
	}
	g_free(page);
}

static gboolean is_event_row_(const char *row)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(event_lines); i++) {
		const event_line_t *line = &event_lines[i];
		char *begin = g_strdup_printf("| %d | %s |", line->number,
					      line->name);
		gboolean is_same = g_str_has_prefix(row, begin);

		g_free(begin);
		if (is_same)
			return TRUE;
	}
	return FALSE;
}

/* The page names no event that the source does not have. */
static void events_page_has_no_other_event(void)
{
	char *page = page_read_("EVENTS.md");
	char **rows = g_strsplit(page, "\n", -1);
	char **row;

	for (row = rows; *row; row++) {
		if (!g_str_has_prefix(*row, "| ") ||
		    !g_ascii_isdigit((*row)[2]))
			continue;
		CU_ASSERT_TRUE(is_event_row_(*row));
		if (!is_event_row_(*row))
			printf("    the source lacks: %s\n", *row);
	}
	g_strfreev(rows);
	g_free(page);
}

static void event_numbers_are_unique(void)
{
	size_t i;

	for (i = 1; i < G_N_ELEMENTS(event_lines); i++)
		CU_ASSERT_TRUE(event_lines[i].number >
			       event_lines[i - 1].number);
}

/* Operators find each refusal's reason in docs/REQUESTS.md. */
static void requests_page_has_each_refusal(void)
{
	char *page = page_read_("REQUESTS.md");
	int i;

	for (i = CB_REFUSAL_NONE + 1; i < CB_REFUSAL_COUNT; i++) {
		char *word = g_strdup_printf("`%s`", cb_refusal_string[i]);

		CU_ASSERT_PTR_NOT_NULL(strstr(page, word));
		if (!strstr(page, word))
			printf("    docs/REQUESTS.md lacks: %s\n", word);
		g_free(word);
	}
	g_free(page);
}

static CU_TestInfo docs_tests[] = {
	{ "events_page_has_each_event", events_page_has_each_event },
	{ "events_page_has_no_other_event", events_page_has_no_other_event },
	{ "event_numbers_are_unique", event_numbers_are_unique },
	{ "requests_page_has_each_refusal", requests_page_has_each_refusal },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "docs", .pTests = docs_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
