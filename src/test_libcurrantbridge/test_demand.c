#include "private/demand.h"
#include "support_main.h"

static const cb_demand_t demands[] = {
	{ { 0, 0, 0 }, { 0, 0, 0 } },
	{ { 1, 2, 3 }, { 4, 5, 6 } },
	{ { 1000000000, 0, 64 }, { 0, 70000, 0 } },
	{ { 0, 0, 1 }, { 300, 0, 0 } },
};

static void amount_check_(cb_amount_t decoded, cb_amount_t expected)
{
	CU_ASSERT_EQUAL(decoded.tokens_per_s, expected.tokens_per_s);
	CU_ASSERT_EQUAL(decoded.requests_per_s, expected.requests_per_s);
	CU_ASSERT_EQUAL(decoded.concurrent, expected.concurrent);
}

/* A report of any number of lines is the same after encoding and decoding. */
static void encoded_reports_decode_unchanged(void)
{
	size_t count;

	for (count = 0; count <= 40; count++) {
		GPtrArray *lines = cb_demand_lines_new();
		GPtrArray *decoded;
		GBytes *bytes;
		size_t i;

		for (i = 0; i < count; i++)
			cb_demand_line_add(lines, "handicap",
					   demands[i % G_N_ELEMENTS(demands)]);
		bytes = cb_demand_lines_encode(lines);
		decoded = cb_demand_lines_decode(bytes);
		CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
		if (!decoded)
			return;
		CU_ASSERT_EQUAL_FATAL(decoded->len, count);
		for (i = 0; i < count; i++) {
			const cb_demand_line_t *line =
				g_ptr_array_index(decoded, i);
			const cb_demand_t *sent =
				&demands[i % G_N_ELEMENTS(demands)];

			CU_ASSERT_STRING_EQUAL(line->workspace, "handicap");
			amount_check_(line->demand.requested, sent->requested);
			amount_check_(line->demand.leased, sent->leased);
		}
		g_ptr_array_unref(decoded);
		g_bytes_unref(bytes);
		g_ptr_array_unref(lines);
	}
}

/* A negative amount in a report must not be used as a demand. */
static void negative_amounts_decode_as_zero(void)
{
	static const cb_demand_t demand = { { -1, 2, -3 }, { 4, -5, 6 } };
	static const cb_demand_t expected = { { 0, 2, 0 }, { 4, 0, 6 } };
	GPtrArray *lines = cb_demand_lines_new();
	const cb_demand_line_t *line;
	GPtrArray *decoded;
	GBytes *bytes;

	cb_demand_line_add(lines, "handicap", demand);
	bytes = cb_demand_lines_encode(lines);
	decoded = cb_demand_lines_decode(bytes);
	CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
	if (!decoded)
		return;
	line = g_ptr_array_index(decoded, 0);
	amount_check_(line->demand.requested, expected.requested);
	amount_check_(line->demand.leased, expected.leased);
	g_ptr_array_unref(decoded);
	g_bytes_unref(bytes);
	g_ptr_array_unref(lines);
}

static CU_TestInfo demand_tests[] = { { "encoded_reports_decode_unchanged",
					encoded_reports_decode_unchanged },
				      { "negative_amounts_decode_as_zero",
					negative_amounts_decode_as_zero },
				      CU_TEST_INFO_NULL };

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "demand", .pTests = demand_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
