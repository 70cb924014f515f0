#include "private/demand.h"
#include "support_main.h"

static const cb_demand_t demands[] = {
	{ { 0, 0, 0 }, { 0, 0, 0 } },
	{ { 1, 2, 3 }, { 4, 5, 6 } },
	{ { 1000000000, 0, 64 }, { 0, 70000, 0 } },
	{ { 0, 0, 1 }, { 300, 0, 0 } },
};

static void check_amount_(cb_amount_t read, cb_amount_t sent)
{
	CU_ASSERT_EQUAL(read.tokens_per_s, sent.tokens_per_s);
	CU_ASSERT_EQUAL(read.requests_per_s, sent.requests_per_s);
	CU_ASSERT_EQUAL(read.concurrent, sent.concurrent);
}

/* A report of any number of lines is read as it was sent. */
static void reports_are_read_as_sent(void)
{
	size_t count;

	for (count = 0; count <= 40; count++) {
		GPtrArray *lines = cb_demand_lines_new();
		GPtrArray *read;
		GBytes *bytes;
		size_t i;

		for (i = 0; i < count; i++)
			cb_demand_line_add(lines, "handicap",
					   demands[i % G_N_ELEMENTS(demands)]);
		bytes = cb_demand_lines_encode(lines);
		read = cb_demand_lines_decode(bytes);
		CU_ASSERT_PTR_NOT_NULL_FATAL(read);
		if (!read)
			return;
		CU_ASSERT_EQUAL_FATAL(read->len, count);
		for (i = 0; i < count; i++) {
			const cb_demand_line_t *line =
				g_ptr_array_index(read, i);
			const cb_demand_t *sent =
				&demands[i % G_N_ELEMENTS(demands)];

			CU_ASSERT_STRING_EQUAL(line->workspace, "handicap");
			check_amount_(line->demand.wanted, sent->wanted);
			check_amount_(line->demand.held, sent->held);
		}
		g_ptr_array_unref(read);
		g_bytes_unref(bytes);
		g_ptr_array_unref(lines);
	}
}

/* A negative amount counts as none. */
static void negative_amounts_count_as_none(void)
{
	static const cb_demand_t demand = { { -1, 2, -3 }, { 4, -5, 6 } };
	static const cb_demand_t expected = { { 0, 2, 0 }, { 4, 0, 6 } };
	GPtrArray *lines = cb_demand_lines_new();
	const cb_demand_line_t *line;
	GPtrArray *read;
	GBytes *bytes;

	cb_demand_line_add(lines, "handicap", demand);
	bytes = cb_demand_lines_encode(lines);
	read = cb_demand_lines_decode(bytes);
	CU_ASSERT_PTR_NOT_NULL_FATAL(read);
	if (!read)
		return;
	line = g_ptr_array_index(read, 0);
	check_amount_(line->demand.wanted, expected.wanted);
	check_amount_(line->demand.held, expected.held);
	g_ptr_array_unref(read);
	g_bytes_unref(bytes);
	g_ptr_array_unref(lines);
}

static CU_TestInfo demand_tests[] = {
	{ "reports_are_read_as_sent", reports_are_read_as_sent },
	{ "negative_amounts_count_as_none", negative_amounts_count_as_none },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "demand", .pTests = demand_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
