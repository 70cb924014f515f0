#include "support_main.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

int64_t support_environment_number(const char *name, int64_t fallback)
{
	const char *text = g_getenv(name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

/* Prints one line for each test; ./run-tests counts these lines. */
static void test_report_(const CU_pTest test, const CU_pSuite suite,
			 const CU_pFailureRecord failure)
{
	CU_pFailureRecord record;

	printf("%s %s:%s.%s\n", failure ? "FAILED" : "passed",
	       program_invocation_short_name, suite->pName, test->pName);
	for (record = failure; record; record = record->pNext)
		printf("    %s:%u: %s\n", record->strFileName,
		       record->uiLineNumber, record->strCondition);
	fflush(stdout);
}

/*
 * Runs the suites of a test program.  If the environment variable CB_TEST is
 * set, runs only the tests of that name.  Returns the exit code.
 */
int support_run(CU_SuiteInfo *suites)
{
	const char *only_test_name = g_getenv("CB_TEST");
	CU_pSuite suite;
	CU_pTest test;
	unsigned int failures;

	setvbuf(stdout, NULL, _IOLBF, 0);
	if (CU_initialize_registry() != CUE_SUCCESS ||
	    CU_register_suites(suites) != CUE_SUCCESS)
		return EXIT_FAILURE;
	for (suite = CU_get_registry()->pSuite; only_test_name && suite;
	     suite = suite->pNext)
		for (test = suite->pTest; test; test = test->pNext)
			CU_set_test_active(test, g_str_equal(test->pName,
							     only_test_name));
	CU_set_fail_on_inactive(CU_FALSE);
	CU_set_test_complete_handler(test_report_);
	CU_run_all_tests();
	failures = CU_get_number_of_tests_failed() +
		   CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
