#include "support_main.h"

#include <string.h>

#include "currantbridge/contract.h"

/* Begins a contract's JSON with the two required fields. */
#define BASE "{\"workspace\":\"w\",\"keys\":[\"k\"]"

/* Every bad contract gives an error that names the field and the reason. */
static void errors_name_field_and_reason(void)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ BASE "}", "" },
		{ "", "contract: must be one JSON object" },
		{ "[]", "contract: must be one JSON object" },
		{ "{}", "contract: workspace: is required" },
		{ "{\"workspace\":\"w\"}", "contract: keys: is required" },
		{ "{\"workspace\":5,\"keys\":[\"k\"]}",
		  "contract: workspace: must be a string" },
		{ "{\"workspace\":\"\",\"keys\":[\"k\"]}",
		  "contract: workspace: must not be empty" },
		{ "{\"workspace\":\"a/b\",\"keys\":[\"k\"]}",
		  "contract: workspace: must be letters, digits, '.', '_' or "
		  "'-'" },
		{ "{\"workspace\":\"w\",\"keys\":[]}",
		  "contract: keys: must not be empty" },
		{ "{\"workspace\":\"w\",\"keys\":\"k\"}",
		  "contract: keys: must be an array of strings" },
		{ "{\"workspace\":\"w\",\"keys\":[5]}",
		  "contract: keys: must be an array of non-empty strings" },
		{ "{\"workspace\":\"w\",\"keys\":[\"k\",\"k\"]}",
		  "contract: keys: an entry stands twice" },
		{ "{\"workspace\":\"w\",\"keys\":[\"a b\"]}",
		  "contract: keys: must be visible ASCII characters" },
		{ BASE ",\"lmit\":1}", "contract: lmit: unknown field" },
		{ BASE ",\"models\":{}}",
		  "contract: models: must be an array of strings" },
		{ BASE ",\"models\":[\"m\",\"m\"]}",
		  "contract: models: an entry stands twice" },
		{ BASE ",\"models\":[\"m\"],\"ceiling_requests_per_s\":1}",
		  "contract: ceiling_tokens_per_s: must be 1 or more for what "
		  "the contract names" },
		{ BASE ",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":1}",
		  "contract: ceiling_requests_per_s: must be 1 or more for "
		  "what the contract names" },
		{ BASE ",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":1,"
		       "\"ceiling_requests_per_s\":1}",
		  "" },
		{ BASE ",\"guaranteed_tokens_per_s\":2,"
		       "\"ceiling_tokens_per_s\":1}",
		  "contract: guaranteed_tokens_per_s: must not be above the "
		  "ceiling" },
		{ BASE ",\"guaranteed_requests_per_s\":2,"
		       "\"ceiling_requests_per_s\":1}",
		  "contract: guaranteed_requests_per_s: must not be above the "
		  "ceiling" },
		{ BASE ",\"ceiling_tokens_per_s\":-1}",
		  "contract: ceiling_tokens_per_s: must be from 0 to "
		  "1000000000" },
		{ BASE ",\"ceiling_tokens_per_s\":1.5}",
		  "contract: ceiling_tokens_per_s: must be a whole number" },
		{ BASE ",\"guaranteed_requests_per_s\":\"1\"}",
		  "contract: guaranteed_requests_per_s: must be a whole "
		  "number" },
		{ BASE ",\"guaranteed_tokens_per_s\":1000000001}",
		  "contract: guaranteed_tokens_per_s: must be from 0 to "
		  "1000000000" },
		{ BASE ",\"concurrent_requests\":0}",
		  "contract: concurrent_requests: must be from 1 to 1000000" },
		{ BASE ",\"priority\":10}",
		  "contract: priority: must be from 0 to 9" },
		{ BASE ",\"deadline_ms\":0}",
		  "contract: deadline_ms: must be from 1 to 3600000" },
		{ BASE ",\"deadline_ms\":null}",
		  "contract: deadline_ms: must be a whole number" },
		{ BASE ",\"services\":[\"s\"]}",
		  "contract: services: must be an array of objects" },
		{ BASE ",\"services\":{}}",
		  "contract: services: must be an array of objects" },
		{ BASE ",\"services\":[{\"idempotent\":true}]}",
		  "contract: services.name: is required" },
		{ BASE ",\"services\":[{\"name\":\"a/b\"}]}",
		  "contract: services.name: must be letters, digits, '.', '_' "
		  "or '-'" },
		{ BASE ",\"services\":[{\"name\":\"s\",\"idempotent\":1}]}",
		  "contract: services.idempotent: must be true or false" },
		{ BASE ",\"services\":[{\"name\":\"s\",\"path\":\"/\"}]}",
		  "contract: services.path: unknown field" },
		{ BASE ",\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]}",
		  "contract: services: an entry stands twice" },
		{ BASE ",\"services\":[{\"name\":\"s\"}]}",
		  "contract: ceiling_requests_per_s: must be 1 or more for "
		  "what the contract names" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;
		cb_contract_t *contract =
			cb_contract_parse(cases[i].text, &error);

		CU_ASSERT_EQUAL(contract != NULL, error == NULL);
		CU_ASSERT_STRING_EQUAL(error ? error->message : "",
				       cases[i].error);
		if (g_strcmp0(error ? error->message : "", cases[i].error))
			printf("    case %zu: %s\n", i,
			       error ? error->message : "accepted");
		g_clear_error(&error);
		cb_contract_delete(contract);
	}
}

static void syntax_error_is_reported(void)
{
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(cb_contract_parse(BASE, &error));
	CU_ASSERT_TRUE(g_error_matches(error, CB_CONTRACT_ERROR,
				       CB_CONTRACT_ERROR_SYNTAX));
	CU_ASSERT_TRUE(
		g_str_has_prefix(error->message, "contract: not valid JSON"));
	g_clear_error(&error);
}

/* Absent fields get their defaults, and the canonical text has them all. */
static void defaults_and_canonical_text(void)
{
	cb_contract_t *contract = cb_contract_parse(
		BASE ",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":7,"
		     "\"ceiling_requests_per_s\":3,"
		     "\"services\":[{\"name\":\"s\"},"
		     "{\"name\":\"r\",\"idempotent\":true}]}",
		NULL);
	cb_contract_t *again;

	g_assert(contract);
	CU_ASSERT_STRING_EQUAL(
		contract->text,
		"{\"workspace\":\"w\",\"keys\":[\"k\"],\"models\":[\"m\"],"
		"\"services\":[{\"name\":\"s\",\"idempotent\":false},"
		"{\"name\":\"r\",\"idempotent\":true}],"
		"\"guaranteed_tokens_per_s\":7,\"ceiling_tokens_per_s\":7,"
		"\"guaranteed_requests_per_s\":0,\"ceiling_requests_per_s\":3,"
		"\"concurrent_requests\":64,\"priority\":5,"
		"\"deadline_ms\":60000}");
	CU_ASSERT_TRUE(cb_contract_has_model(contract, "m"));
	CU_ASSERT_FALSE(cb_contract_has_model(contract, "n"));
	CU_ASSERT_FALSE(cb_contract_find_service(contract, "s")->is_idempotent);
	CU_ASSERT_TRUE(cb_contract_find_service(contract, "r")->is_idempotent);
	CU_ASSERT_PTR_NULL(cb_contract_find_service(contract, "q"));
	again = cb_contract_parse(contract->text, NULL);
	g_assert(again);
	CU_ASSERT_STRING_EQUAL(again->text, contract->text);
	cb_contract_delete(again);
	cb_contract_delete(contract);
}

static CU_TestInfo contract_tests[] = {
	{ "errors_name_field_and_reason", errors_name_field_and_reason },
	{ "syntax_error_is_reported", syntax_error_is_reported },
	{ "defaults_and_canonical_text", defaults_and_canonical_text },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "contract",
				    .pTests = contract_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
