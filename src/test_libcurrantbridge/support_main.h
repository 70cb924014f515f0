#ifndef SUPPORT_MAIN_H
#define SUPPORT_MAIN_H

#include <CUnit/CUnit.h>
#include <stdint.h>

int support_run(CU_SuiteInfo *suites);
/* Returns the number in an environment variable, or `fallback` without it. */
int64_t support_environment_number(const char *name, int64_t fallback);

#endif
