#include "support_main.h"

#include "currantbridge/clock.h"
#include "private/reach.h"

/*
 * Tests the decision whether servers fail or the way to them, as tables of what
 * an instance sees, one after the other.
 */
#define STEPS_MAX 16

typedef enum step_kind {
	STEP_END,  /* of the table's row */
	STEP_WAIT, /* `value` ms pass */
	/* A sign, cb_reach_sign_t in `value`, is worth a check or is not. */
	STEP_SIGN_COUNTS,
	STEP_SIGN_IS_IGNORED,
	STEP_BEGIN,  /* `value` servers are checked */
	STEP_RESULT, /* one of them: cb_reach_result_t in `value` */
	STEP_HEAR,   /* data of a server arrives */
	STEP_PROVE,  /* a request is answered over a new connection */
	STEP_STATE,  /* the state is now `value` */
	STEP_OTHER,  /* the following steps are about the other data centre */
	STEP_MAY_BE_BACK, /* whether the way may be back is `value` */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	int64_t value;
} step_t;

typedef struct reach_case {
	const char *description;
	step_t steps[STEPS_MAX];
	gboolean is_lost;     /* expected in the end, of data centre "a" */
	gboolean is_doubtful; /* likewise */
} reach_case_t;

#define ANSWERED                               \
	{                                      \
		STEP_RESULT, CB_REACH_ANSWERED \
	}
#define REFUSED                               \
	{                                     \
		STEP_RESULT, CB_REACH_REFUSED \
	}
#define UNANSWERED                               \
	{                                        \
		STEP_RESULT, CB_REACH_UNANSWERED \
	}
#define MUTE                               \
	{                                  \
		STEP_RESULT, CB_REACH_MUTE \
	}
#define UNMADE                               \
	{                                    \
		STEP_RESULT, CB_REACH_UNMADE \
	}
#define BEGIN(count)              \
	{                         \
		STEP_BEGIN, count \
	}
#define WAIT(ms)              \
	{                     \
		STEP_WAIT, ms \
	}
#define STATE(state)              \
	{                         \
		STEP_STATE, state \
	}
#define LOSE BEGIN(2), REFUSED, REFUSED, STATE(CB_REACH_LOST)

static const reach_case_t reach_cases[] = {
	{ "servers are refused one by one while another answers",
	  { BEGIN(3), REFUSED, REFUSED, STATE(CB_REACH_CHECKING), ANSWERED,
	    STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "no check can be made, for lack of descriptors",
	  { BEGIN(3), UNMADE, UNMADE, STATE(CB_REACH_CHECKING), UNMADE,
	    STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "the checks that can be made are refused",
	  { BEGIN(3), REFUSED, UNMADE, REFUSED, STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "no check of a lost way can be made",
	  { LOSE, UNMADE, STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "a check is in progress",
	  { BEGIN(3), REFUSED, REFUSED, STATE(CB_REACH_CHECKING) },
	  FALSE,
	  TRUE },
	{ "all checked servers are refused",
	  { BEGIN(3), REFUSED, REFUSED, REFUSED, STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "connections are not answered",
	  { BEGIN(2), UNANSWERED, UNANSWERED, STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "connections are made and nothing is answered",
	  { BEGIN(2), MUTE, REFUSED, STATE(CB_REACH_SILENT) },
	  TRUE,
	  TRUE },
	{ "checks are late while open connections pass data",
	  { BEGIN(3),
	    WAIT(110),
	    { STEP_HEAR, 0 },
	    WAIT(40),
	    MUTE,
	    MUTE,
	    MUTE,
	    STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "one check is late, others are not answered, and data passes",
	  { BEGIN(3),
	    UNANSWERED,
	    UNANSWERED,
	    WAIT(110),
	    { STEP_HEAR, 0 },
	    WAIT(40),
	    MUTE,
	    STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "checks are mute after data that was under way",
	  { BEGIN(3),
	    WAIT(50),
	    { STEP_HEAR, 0 },
	    WAIT(100),
	    MUTE,
	    MUTE,
	    MUTE,
	    STATE(CB_REACH_SILENT) },
	  TRUE,
	  TRUE },
	{ "open connections live on while new ones are refused",
	  { LOSE,
	    WAIT(200),
	    { STEP_HEAR, 0 },
	    REFUSED,
	    STATE(CB_REACH_NEW_LOST) },
	  TRUE,
	  TRUE },
	{ "data that was under way as the connections were reset",
	  { LOSE,
	    WAIT(50),
	    { STEP_HEAR, 0 },
	    WAIT(200),
	    REFUSED,
	    STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "open connections live on for a while only",
	  { LOSE,
	    WAIT(200),
	    { STEP_HEAR, 0 },
	    REFUSED,
	    STATE(CB_REACH_NEW_LOST),
	    WAIT(500),
	    REFUSED,
	    STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "late checks of a lost way",
	  { LOSE, WAIT(200), MUTE, STATE(CB_REACH_LOST), MUTE,
	    STATE(CB_REACH_LOST), REFUSED, MUTE, STATE(CB_REACH_LOST), MUTE,
	    STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "a lost way on which nothing is answered any more",
	  { LOSE, WAIT(200), MUTE, MUTE, MUTE, STATE(CB_REACH_SILENT), REFUSED,
	    STATE(CB_REACH_LOST), MUTE, STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "one answer does not show that the way is back",
	  { LOSE,
	    WAIT(200),
	    ANSWERED,
	    STATE(CB_REACH_LOST),
	    { STEP_MAY_BE_BACK, TRUE },
	    BEGIN(3),
	    ANSWERED,
	    ANSWERED,
	    REFUSED,
	    STATE(CB_REACH_LOST),
	    { STEP_MAY_BE_BACK, FALSE } },
	  TRUE,
	  TRUE },
	{ "all servers of a check answer again",
	  { LOSE, WAIT(200), ANSWERED, BEGIN(3), ANSWERED, ANSWERED,
	    STATE(CB_REACH_LOST), ANSWERED, STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "a request is answered though no check is",
	  { LOSE, { STEP_PROVE, 0 }, STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "the only server of a data centre is refused, others are reached",
	  { { STEP_OTHER, 0 },
	    BEGIN(2),
	    ANSWERED,
	    { STEP_OTHER, 0 },
	    BEGIN(1),
	    REFUSED,
	    STATE(CB_REACH_LOST) },
	  FALSE,
	  FALSE },
	{ "the only servers of two data centres are refused",
	  { { STEP_OTHER, 0 },
	    BEGIN(1),
	    REFUSED,
	    { STEP_OTHER, 0 },
	    BEGIN(1),
	    REFUSED,
	    STATE(CB_REACH_LOST) },
	  TRUE,
	  TRUE },
	{ "the only server known is refused",
	  { BEGIN(1), REFUSED, STATE(CB_REACH_LOST) },
	  FALSE,
	  FALSE },
	{ "one data centre is lost, another one is reached",
	  { { STEP_OTHER, 0 },
	    LOSE,
	    { STEP_OTHER, 0 },
	    BEGIN(3),
	    ANSWERED,
	    STATE(CB_REACH_OPEN) },
	  FALSE,
	  FALSE },
	{ "a late answer is a sign only while nothing is heard",
	  { { STEP_HEAR, 0 },
	    WAIT(50),
	    { STEP_SIGN_IS_IGNORED, CB_REACH_SIGN_OVERDUE },
	    { STEP_SIGN_COUNTS, CB_REACH_SIGN_FAILED },
	    WAIT(60),
	    { STEP_SIGN_COUNTS, CB_REACH_SIGN_OVERDUE } },
	  FALSE,
	  FALSE },
	{ "signs soon after a check that was answered",
	  { BEGIN(3),
	    ANSWERED,
	    WAIT(100),
	    { STEP_SIGN_IS_IGNORED, CB_REACH_SIGN_FAILED },
	    WAIT(200),
	    { STEP_SIGN_COUNTS, CB_REACH_SIGN_FAILED } },
	  FALSE,
	  FALSE },
	{ "signs during a check and while the way is lost",
	  { BEGIN(2),
	    { STEP_SIGN_IS_IGNORED, CB_REACH_SIGN_FAILED },
	    REFUSED,
	    REFUSED,
	    WAIT(1000),
	    { STEP_SIGN_IS_IGNORED, CB_REACH_SIGN_FAILED } },
	  TRUE,
	  TRUE },
};

/* Plays one step; FALSE: it is not as expected. */
static gboolean step_play_(cb_clock_t *clock, cb_reach_group_t *group,
			   const step_t *step)
{
	switch (step->kind) {
	case STEP_WAIT:
		cb_clock_advance(clock, step->value);
		return TRUE;
	case STEP_SIGN_COUNTS:
	case STEP_SIGN_IS_IGNORED:
		return cb_reach_group_suspects(group,
					       (cb_reach_sign_t)step->value) ==
		       (step->kind == STEP_SIGN_COUNTS);
	case STEP_BEGIN:
		cb_reach_group_begin(group, (unsigned int)step->value);
		return TRUE;
	case STEP_RESULT:
		(void)cb_reach_group_add(group, (cb_reach_result_t)step->value);
		return TRUE;
	case STEP_HEAR:
		cb_reach_group_hear(group);
		return TRUE;
	case STEP_PROVE:
		cb_reach_group_prove(group);
		return TRUE;
	case STEP_STATE:
		return cb_reach_group_state(group) ==
		       (cb_reach_state_t)step->value;
	case STEP_MAY_BE_BACK:
		return cb_reach_group_may_be_back(group) == step->value;
	default:
		return TRUE;
	}
}

static void case_play_(const reach_case_t *c)
{
	cb_clock_t *clock = cb_clock_new_paused(1000);
	cb_reach_t *reach = cb_reach_new(clock);
	const char *data_centre = "a";
	const step_t *step;

	for (step = c->steps; step < c->steps + STEPS_MAX && step->kind;
	     step++) {
		if (step->kind == STEP_OTHER)
			data_centre = *data_centre == 'a' ? "b" : "a";
		if (!step_play_(clock, cb_reach_get_group(reach, data_centre),
				step)) {
			printf("    %s: step %d\n", c->description,
			       (int)(step - c->steps));
			CU_FAIL("a step is not as expected");
		}
	}
	CU_ASSERT_EQUAL(cb_reach_is_lost(reach, "a"), c->is_lost);
	CU_ASSERT_EQUAL(cb_reach_is_doubtful(reach, "a"), c->is_doubtful);
	if (cb_reach_is_lost(reach, "a") != c->is_lost ||
	    cb_reach_is_doubtful(reach, "a") != c->is_doubtful)
		printf("    %s: in the end\n", c->description);
	cb_reach_delete(reach);
	cb_clock_delete(clock);
}

static void lost_way_is_told_from_failed_servers(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reach_cases); i++)
		case_play_(&reach_cases[i]);
}

/* Guards against servers held for lost long after the way has failed. */
static void instance_is_impaired_for_some_time_only(void)
{
	cb_clock_t *clock = cb_clock_new_paused(1000);
	cb_reach_t *reach = cb_reach_new(clock);
	cb_reach_group_t *group = cb_reach_get_group(reach, "a");

	CU_ASSERT_FALSE(cb_reach_is_impaired(reach));
	cb_reach_group_begin(group, 3);
	(void)cb_reach_group_add(group, CB_REACH_REFUSED);
	CU_ASSERT_FALSE(cb_reach_has_answered(reach));
	(void)cb_reach_group_add(group, CB_REACH_ANSWERED);
	CU_ASSERT_TRUE(cb_reach_has_answered(reach));
	CU_ASSERT_FALSE(cb_reach_is_impaired(reach));
	(void)cb_reach_group_add(group, CB_REACH_REFUSED);
	CU_ASSERT_TRUE(cb_reach_is_impaired(reach));
	CU_ASSERT_FALSE(cb_reach_has_doubts(reach));
	cb_clock_advance(clock, 2500);
	CU_ASSERT_FALSE(cb_reach_is_impaired(reach));
	cb_reach_delete(reach);
	cb_clock_delete(clock);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{ "lost_way_is_told_from_failed_servers",
		  lost_way_is_told_from_failed_servers },
		{ "instance_is_impaired_for_some_time_only",
		  instance_is_impaired_for_some_time_only },
		CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = { { .pName = "reach", .pTests = tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
