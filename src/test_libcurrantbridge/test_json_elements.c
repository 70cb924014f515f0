#include "support_main.h"

#include <string.h>

#include "currantbridge/json_fields.h"

typedef struct elements_case {
	const char *text;
	/* The elements of "a", joined by '|'; NULL: they are not found. */
	const char *expected;
	/* The text without the elements; NULL where they are not found. */
	const char *rest;
} elements_case_t;

static const elements_case_t elements_cases[] = {
	{ "{\"a\":[]}", "", "{\"a\":[]}" },
	{ "{\"a\":[{\"x\":1},{\"x\":[2,3]}],\"b\":4}",
	  "{\"x\":1}|{\"x\":[2,3]}", "{\"a\":[],\"b\":4}" },
	{ " { \"b\" : 1 , \"a\" : [ 1 , 2 ] } ", "1 |2 ",
	  " { \"b\" : 1 , \"a\" : [] } " },
	{ "{\"a\":[\"]},{\",\"\\\"]\"]}", "\"]},{\"|\"\\\"]\"", "{\"a\":[]}" },
	{ "{\"b\":{\"a\":[1]},\"a\":[2]}", "2",
	  "{\"b\":{\"a\":[1]},\"a\":[]}" },
	{ "{\"b\":\"\\\\\",\"a\":[2]}", "2", "{\"b\":\"\\\\\",\"a\":[]}" },
	{ "{\"b\":1}", NULL, NULL },
	{ "{\"a\":{}}", NULL, NULL },
	{ "{\"a\":[1],\"a\":[2]}", NULL, NULL },
	{ "{\"a\":[1],\"\\u0061\":[2]}", NULL, NULL },
	{ "{\"a\":[1 2]", NULL, NULL },
	{ "{\"a\":[1,]}", NULL, NULL },
	{ "{\"a\":[1}", NULL, NULL },
	{ "{\"a\":[1],}", NULL, NULL },
	{ "{\"a\":[\"1]}", NULL, NULL },
	{ "{\"a\":[\"1\\", NULL, NULL },
	{ "{\"a\":[{]}", NULL, NULL },
	{ "[\"a\"]", NULL, NULL },
	{ "{", NULL, NULL },
	{ "", NULL, NULL },
};

/*
 * Guards against elements that are lost, joined or split, and against texts
 * whose elements a JSON parser would see differently.
 */
static void elements_are_found_or_refused(void)
{
	size_t i;
	unsigned int k;

	for (i = 0; i < G_N_ELEMENTS(elements_cases); i++) {
		const elements_case_t *c = &elements_cases[i];
		size_t size = strlen(c->text);
		/* A copy of its exact size, so that sanitizers see overruns. */
		char *text = g_memdup2(c->text, size);
		GString *joined = g_string_new(NULL);
		cb_json_elements_t elements = {
			.parts = g_array_new(FALSE, FALSE,
					     sizeof(cb_text_part_t)),
		};
		gboolean is_found =
			cb_json_find_elements(text, size, "a", &elements);
		gboolean is_expected = is_found == (c->expected != NULL);

		for (k = 0; k < elements.parts->len; k++) {
			const cb_text_part_t *part =
				&g_array_index(elements.parts, cb_text_part_t,
					       k);

			g_string_append(joined, k ? "|" : "");
			g_string_append_len(joined, part->text,
					    (gssize)part->size);
		}
		if (is_found && c->expected) {
			GString *rest =
				g_string_new_len(text, (gssize)elements.from);

			g_string_append_len(rest, text + elements.to,
					    (gssize)(size - elements.to));
			is_expected = !strcmp(joined->str, c->expected) &&
				      !strcmp(rest->str, c->rest);
			g_string_free(rest, TRUE);
		}
		CU_ASSERT_TRUE(is_expected);
		if (!is_expected)
			printf("    %s: %s\n", c->text, joined->str);
		g_array_unref(elements.parts);
		g_string_free(joined, TRUE);
		g_free(text);
	}
}

static CU_TestInfo json_elements_tests[] = { { "elements_are_found_or_refused",
					       elements_are_found_or_refused },
					     CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "json_elements",
				    .pTests = json_elements_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
