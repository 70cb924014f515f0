#include "support_main.h"

#include <string.h>

#include "currantbridge/contract.h"

/* The beginning of a contract's JSON, with the two required fields. */
#define CONTRACT_BEGIN "{\"workspace\":\"w\",\"keys\":[\"k\"]"

/* An invalid contract is rejected with an error that names field and reason. */
static void errors_name_field_and_reason(void)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ CONTRACT_BEGIN "}", "" },
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
		  "contract: keys: must not have duplicate entries" },
		{ "{\"workspace\":\"w\",\"keys\":[\"a b\"]}",
		  "contract: keys: must be visible ASCII characters" },
		{ CONTRACT_BEGIN ",\"lmit\":1}",
		  "contract: lmit: unknown field" },
		{ CONTRACT_BEGIN ",\"models\":{}}",
		  "contract: models: must be an array of strings" },
		{ CONTRACT_BEGIN ",\"models\":[\"m\",\"m\"]}",
		  "contract: models: must not have duplicate entries" },
		{ CONTRACT_BEGIN
		  ",\"models\":[\"m\"],\"ceiling_requests_per_s\":1}",
		  "contract: ceiling_tokens_per_s: must be 1 or more for what "
		  "the contract names" },
		{ CONTRACT_BEGIN
		  ",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":1}",
		  "contract: ceiling_requests_per_s: must be 1 or more for "
		  "what the contract names" },
		{ CONTRACT_BEGIN
		  ",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":1,"
		  "\"ceiling_requests_per_s\":1}",
		  "" },
		{ CONTRACT_BEGIN ",\"guaranteed_tokens_per_s\":2,"
				 "\"ceiling_tokens_per_s\":1}",
		  "contract: guaranteed_tokens_per_s: must not be above the "
		  "ceiling" },
		{ CONTRACT_BEGIN ",\"guaranteed_requests_per_s\":2,"
				 "\"ceiling_requests_per_s\":1}",
		  "contract: guaranteed_requests_per_s: must not be above the "
		  "ceiling" },
		{ CONTRACT_BEGIN ",\"ceiling_tokens_per_s\":-1}",
		  "contract: ceiling_tokens_per_s: must be from 0 to "
		  "1000000000" },
		{ CONTRACT_BEGIN ",\"ceiling_tokens_per_s\":1.5}",
		  "contract: ceiling_tokens_per_s: must be a whole number" },
		{ CONTRACT_BEGIN ",\"guaranteed_requests_per_s\":\"1\"}",
		  "contract: guaranteed_requests_per_s: must be a whole "
		  "number" },
		{ CONTRACT_BEGIN ",\"guaranteed_tokens_per_s\":1000000001}",
		  "contract: guaranteed_tokens_per_s: must be from 0 to "
		  "1000000000" },
		{ CONTRACT_BEGIN ",\"concurrent_requests\":0}",
		  "contract: concurrent_requests: must be from 1 to 1000000" },
		{ CONTRACT_BEGIN ",\"priority\":10}",
		  "contract: priority: must be from 0 to 9" },
		{ CONTRACT_BEGIN ",\"deadline_ms\":0}",
		  "contract: deadline_ms: must be from 1 to 3600000" },
		{ CONTRACT_BEGIN ",\"deadline_ms\":null}",
		  "contract: deadline_ms: must be a whole number" },
		{ CONTRACT_BEGIN ",\"services\":[\"s\"]}",
		  "contract: services: must be an array of objects" },
		{ CONTRACT_BEGIN ",\"services\":{}}",
		  "contract: services: must be an array of objects" },
		{ CONTRACT_BEGIN ",\"services\":[{\"idempotent\":true}]}",
		  "contract: services.name: is required" },
		{ CONTRACT_BEGIN ",\"services\":[{\"name\":\"a/b\"}]}",
		  "contract: services.name: must be letters, digits, '.', '_' "
		  "or '-'" },
		{ CONTRACT_BEGIN
		  ",\"services\":[{\"name\":\"s\",\"idempotent\":1}]}",
		  "contract: services.idempotent: must be true or false" },
		{ CONTRACT_BEGIN
		  ",\"services\":[{\"name\":\"s\",\"path\":\"/\"}]}",
		  "contract: services.path: unknown field" },
		{ CONTRACT_BEGIN
		  ",\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]}",
		  "contract: services: must not have duplicate entries" },
		{ CONTRACT_BEGIN ",\"services\":[{\"name\":\"s\"}]}",
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

static void invalid_json_is_reported_as_syntax_error(void)
{
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(cb_contract_parse(CONTRACT_BEGIN, &error));
	CU_ASSERT_TRUE(g_error_matches(error, CB_CONTRACT_ERROR,
				       CB_CONTRACT_ERROR_SYNTAX));
	CU_ASSERT_TRUE(
		g_str_has_prefix(error->message, "contract: not valid JSON"));
	g_clear_error(&error);
}

/* Absent fields get their defaults, and the canonical text contains them. */
static void canonical_text_contains_defaults(void)
{
	cb_contract_t *contract = cb_contract_parse(
		CONTRACT_BEGIN
		",\"models\":[\"m\"],\"guaranteed_tokens_per_s\":7,"
		"\"ceiling_requests_per_s\":3,"
		"\"services\":[{\"name\":\"s\"},"
		"{\"name\":\"r\",\"idempotent\":true}]}",
		NULL);
	cb_contract_t *reparsed;

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
	reparsed = cb_contract_parse(contract->text, NULL);
	g_assert(reparsed);
	CU_ASSERT_STRING_EQUAL(reparsed->text, contract->text);
	cb_contract_delete(reparsed);
	cb_contract_delete(contract);
}

static CU_TestInfo contract_tests[] = {
	{ "errors_name_field_and_reason", errors_name_field_and_reason },
	{ "invalid_json_is_reported_as_syntax_error",
	  invalid_json_is_reported_as_syntax_error },
	{ "canonical_text_contains_defaults",
	  canonical_text_contains_defaults },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "contract",
				    .pTests = contract_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
