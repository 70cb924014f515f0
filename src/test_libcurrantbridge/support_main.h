#ifndef SUPPORT_MAIN_H
#define SUPPORT_MAIN_H

#include <CUnit/CUnit.h>

int support_run(CU_SuiteInfo *suites);

#endif
