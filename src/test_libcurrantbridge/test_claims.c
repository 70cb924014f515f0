#include "support_main.h"
#include "support_state.h"

#include <string.h>

/*
 * Returns a state with the entry instances "e" and "f", both in incarnation 1,
 * whose next command gets index 10.
 */
static support_state_t *state_with_instances_new_(void)
{
	support_state_t *self = support_state_new();

	support_apply_kind(self, support_instance_up("e", 1));
	support_apply_kind(self, support_instance_up("f", 1));
	self->index = 9;
	return self;
}

typedef enum step_kind {
	STEP_CLAIM,
	STEP_PROVE, /* a claim whose claimant proves by fencing */
	STEP_NAME,  /* a claim by the holder that names another server */
	STEP_FINISH,
	STEP_SILENT, /* instance `owner` becomes silent */
	STEP_RESTART /* instance `owner` starts with incarnation 2 */
} step_kind_t;

/* A command on the key "k" and the expected answer. */
typedef struct step {
	step_kind_t kind;
	const char *owner;
	const char *change_id;
	uint64_t fencing;
	cb_claim_result_t result;
	cb_answer_kind_t answer;
	uint64_t answer_fencing; /* expected fencing number; 0: not checked */
	cb_claim_result_t answer_result;
	gboolean must_prove;
} step_t;

static cb_command_t *step_command_new_(const step_t *step)
{
	cb_command_t *command;

	switch (step->kind) {
	case STEP_FINISH:
		return support_claim_finish("k", step->fencing, step->result,
					    "done");
	case STEP_SILENT:
		return support_instance_state(step->owner, 1,
					      CB_INSTANCE_SILENT);
	case STEP_RESTART:
		return support_instance_up(step->owner, 2);
	default:
		break;
	}
	command = support_claim("k", step->owner, step->change_id);
	command->proves_by_fencing = step->kind == STEP_PROVE;
	command->fencing = step->fencing;
	command->server = g_strdup(step->change_id);
	return command;
}

/*
 * Runs steps, the first at index 10.  With `is_restored`, restores the state
 * from its snapshot before each step.
 */
static void steps_run_(const char *name, const step_t *steps, size_t count,
		       gboolean is_restored)
{
	support_state_t *self = state_with_instances_new_();
	size_t i;

	for (i = 0; i < count; i++) {
		const step_t *step = &steps[i];
		GBytes *snapshot = support_snapshot(self);
		cb_answer_t *answer;
		gboolean is_correct;

		if (is_restored)
			CU_ASSERT_TRUE(support_restore(self, snapshot));
		g_bytes_unref(snapshot);
		answer = support_apply(self, step_command_new_(step));
		is_correct = answer->kind == step->answer &&
			     answer->must_prove == step->must_prove;
		if (step->answer_fencing)
			is_correct &= answer->fencing == step->answer_fencing;
		if (step->answer == CB_ANSWER_FINISHED)
			is_correct &= answer->result == step->answer_result;
		CU_ASSERT_TRUE(is_correct);
		if (!is_correct)
			printf("    %s, step %zu: %s, fencing "
			       "%" G_GUINT64_FORMAT ", result %s\n",
			       name, i, cb_answer_kind_string[answer->kind],
			       answer->fencing,
			       cb_claim_result_string[answer->result]);
		cb_answer_delete(answer);
	}
	support_state_delete(self);
}

#define RUN_STEPS(steps)                                           \
	do {                                                       \
		steps_run_(#steps, steps, G_N_ELEMENTS(steps), 0); \
		steps_run_(#steps, steps, G_N_ELEMENTS(steps), 1); \
	} while (0)

/* Short names for the tables of steps. */
#define NOT_EXECUTED CB_CLAIM_RESULT_NOT_EXECUTED
#define EXECUTED CB_CLAIM_RESULT_EXECUTED
#define UNKNOWN CB_CLAIM_RESULT_UNKNOWN

/*
 * An executed call is not claimed again, and its result cannot be changed; only
 * the latest fencing number may finish it.
 */
static void an_executed_claim_stays_executed(void)
{
	static const step_t steps[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_CLAIM, "e/1", "2", 0, 0, CB_ANSWER_RUNNING, 10, 0, 0 },
		{ STEP_CLAIM, "f/1", "3", 0, 0, CB_ANSWER_RUNNING, 10, 0, 0 },
		{ STEP_PROVE, "f/1", "4", 0, 0, CB_ANSWER_RUNNING, 10, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 9, EXECUTED, CB_ANSWER_CONFLICT, 10,
		  0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_OK, 10, 0,
		  0 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_OK, 10, 0,
		  0 },
		{ STEP_FINISH, "e/1", NULL, 10, NOT_EXECUTED,
		  CB_ANSWER_CONFLICT, 10, 0, 0 },
		{ STEP_CLAIM, "f/1", "5", 0, 0, CB_ANSWER_FINISHED, 10,
		  EXECUTED, 0 },
		{ STEP_PROVE, "f/1", "6", 0, 0, CB_ANSWER_FINISHED, 10,
		  EXECUTED, 0 },
	};

	RUN_STEPS(steps);
}

/*
 * A claim that ended without execution can be acquired again, under a new
 * fencing number that invalidates the old one.
 */
static void a_claim_not_executed_can_be_acquired_again(void)
{
	static const step_t steps[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, NOT_EXECUTED, CB_ANSWER_OK, 10,
		  0, 0 },
		/*
		 * A late copy of the first claim does not acquire the claim
		 * again.
		 */
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_FINISHED, 10,
		  NOT_EXECUTED, 0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_CONFLICT,
		  13, 0, 0 },
		{ STEP_FINISH, "f/1", NULL, 13, EXECUTED, CB_ANSWER_OK, 13, 0,
		  0 },
	};

	RUN_STEPS(steps);
}

/*
 * If the owner is silent or has restarted, its call may have been executed.
 * The result is then unknown, and a later claim does not run the call again.
 */
static void a_lost_owner_leaves_an_unknown_result(void)
{
	static const step_t silent[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_SILENT, "e", NULL, 0, 0, CB_ANSWER_OK, 0, 0, 0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_FINISHED, 10, UNKNOWN,
		  0 },
		/* The holder was only disconnected, and reports the result. */
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_OK, 10, 0,
		  0 },
		{ STEP_CLAIM, "f/1", "3", 0, 0, CB_ANSWER_FINISHED, 10,
		  EXECUTED, 0 },
	};
	static const step_t restarted[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_RESTART, "e", NULL, 0, 0, CB_ANSWER_OK, 0, 0, 0 },
		{ STEP_CLAIM, "e/2", "2", 0, 0, CB_ANSWER_FINISHED, 10, UNKNOWN,
		  0 },
		/* A late claim by the old incarnation is invalid. */
		{ STEP_CLAIM, "e/1", "3", 0, 0, CB_ANSWER_INVALID, 0, 0, 0 },
		{ STEP_CLAIM, "g/1", "4", 0, 0, CB_ANSWER_INVALID, 0, 0, 0 },
	};

	RUN_STEPS(silent);
	RUN_STEPS(restarted);
}

/*
 * A claim of unknown result is acquired only by a claimant that fences the
 * earlier attempt.  must_prove stays set until it is proved that the attempt
 * did not run, also for the next holder.
 */
static void an_unknown_claim_is_acquired_only_with_proof(void)
{
	static const step_t steps[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, UNKNOWN, CB_ANSWER_OK, 10, 0,
		  0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_FINISHED, 10, UNKNOWN,
		  0 },
		{ STEP_PROVE, "f/1", "3", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 1 },
		/* A resend has to prove that no earlier attempt ran. */
		{ STEP_PROVE, "f/1", "3", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 1 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_CONFLICT,
		  13, 0, 0 },
		/* Another instance has to prove that as well. */
		{ STEP_SILENT, "f", NULL, 0, 0, CB_ANSWER_OK, 0, 0, 0 },
		{ STEP_PROVE, "e/1", "4", 0, 0, CB_ANSWER_CLAIMED, 17, 0, 1 },
		{ STEP_NAME, "e/1", "4", 17, 0, CB_ANSWER_CLAIMED, 17, 0, 0 },
		{ STEP_CLAIM, "e/1", "4", 0, 0, CB_ANSWER_CLAIMED, 17, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 17, EXECUTED, CB_ANSWER_OK, 17, 0,
		  0 },
	};

	RUN_STEPS(steps);
}

/*
 * Until the proof, the claim names the server of the earlier attempt, which has
 * to be fenced; after it, the server that the holder chose.
 */
static void a_claim_of_unknown_result_names_earlier_server(void)
{
	support_state_t *self = state_with_instances_new_();
	cb_command_t *command = support_claim("k", "e/1", "1");
	cb_answer_t *answer;

	command->server = g_strdup("s1");
	support_apply_kind(self, command);
	support_apply_kind(self, support_claim_finish("k", 10, UNKNOWN, NULL));
	command = support_claim("k", "f/1", "2");
	command->server = g_strdup("s2");
	command->proves_by_fencing = TRUE;
	answer = support_apply(self, command);
	CU_ASSERT_TRUE(answer->must_prove);
	CU_ASSERT_STRING_EQUAL(answer->server, "s1");
	cb_answer_delete(answer);
	command = support_claim("k", "f/1", "2");
	command->server = g_strdup("s2");
	command->fencing = 12;
	answer = support_apply(self, command);
	CU_ASSERT_FALSE(answer->must_prove);
	CU_ASSERT_STRING_EQUAL(answer->server, "s2");
	cb_answer_delete(answer);
	support_state_delete(self);
}

/*
 * A key that is used again for another call is rejected, however the first call
 * ended.
 */
static void a_key_used_for_another_call_is_rejected(void)
{
	static const cb_claim_result_t results[] = { CB_CLAIM_RESULT_COUNT,
						     EXECUTED, UNKNOWN,
						     NOT_EXECUTED };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(results); i++) {
		support_state_t *self = state_with_instances_new_();
		cb_command_t *command = support_claim("k", "e/1", "2");

		support_apply_kind(self, support_claim("k", "e/1", "1"));
		if (i > 0)
			support_apply_kind(self,
					   support_claim_finish("k", 10,
								results[i],
								NULL));
		g_free(command->digest);
		command->digest = g_strdup("other");
		command->proves_by_fencing = TRUE;
		CU_ASSERT_EQUAL(support_apply_kind(self, command),
				CB_ANSWER_DIGEST_DIFFERS);
		support_state_delete(self);
	}
}

/* Returns the size in bytes of the answer recorded for a key; -1: none. */
static int64_t recorded_answer_size_(support_state_t *self, const char *key)
{
	cb_answer_t *answer =
		support_apply(self, support_claim(key, "e/1", "later"));
	int64_t size = -1;

	CU_ASSERT_EQUAL(answer->kind, CB_ANSWER_FINISHED);
	CU_ASSERT_EQUAL(answer->result, EXECUTED);
	if (answer->answer)
		size = (int64_t)g_bytes_get_size(answer->answer);
	cb_answer_delete(answer);
	return size;
}

/* Claims a key and finishes it as executed with an answer of `size` bytes. */
static void claim_and_finish_(support_state_t *self, const char *key,
			      size_t size)
{
	char *text = g_strnfill(size, 'x');

	support_apply_kind(self, support_claim(key, "e/1", "1"));
	support_apply_kind(self, support_claim_finish(key, self->index,
						      EXECUTED, text));
	g_free(text);
}

/*
 * An answer over the maximum size is not recorded.  Beyond the total size the
 * oldest answers are removed; the outcomes stay.
 */
static void recorded_answers_are_bounded(void)
{
	support_state_t *self = state_with_instances_new_();
	int fitting_count =
		CB_STATE_CLAIM_ANSWERS_MAX_BYTES / CB_CLAIM_ANSWER_MAX_BYTES;
	int i;

	claim_and_finish_(self, "small", 5);
	claim_and_finish_(self, "largest", CB_CLAIM_ANSWER_MAX_BYTES);
	claim_and_finish_(self, "larger", CB_CLAIM_ANSWER_MAX_BYTES + 1);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "small"), 5);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "largest"),
			CB_CLAIM_ANSWER_MAX_BYTES);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "larger"), -1);
	for (i = 0; i < fitting_count; i++) {
		char *key = g_strdup_printf("%d", i);

		claim_and_finish_(self, key, CB_CLAIM_ANSWER_MAX_BYTES);
		g_free(key);
	}
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "small"), -1);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "largest"), -1);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "0"),
			CB_CLAIM_ANSWER_MAX_BYTES);
	support_state_delete(self);
}

/* After the retention only an ended claim is removed; a running one stays. */
static void only_ended_claims_expire(void)
{
	support_state_t *self = state_with_instances_new_();

	claim_and_finish_(self, "ended", 1);
	support_apply_kind(self, support_claim("running", "e/1", "1"));
	support_advance_time(self, CB_STATE_CLAIM_RETENTION_MS - 1);
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "ended"), 1);
	self->wall_ms++;
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("ended", "f/1", "2")),
			CB_ANSWER_CLAIMED);
	CU_ASSERT_EQUAL(support_apply_kind(self, support_claim("running", "f/1",
							       "2")),
			CB_ANSWER_RUNNING);
	support_state_delete(self);
}

/*
 * A jump of a leader's clock, forward or back, neither expires claims early nor
 * stops their expiry.
 */
static void clock_jumps_do_not_affect_expiry(void)
{
	support_state_t *self = state_with_instances_new_();

	claim_and_finish_(self, "k", 1);
	self->wall_ms += 365 * CB_STATE_CLAIM_RETENTION_MS;
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "k"), 1);
	self->wall_ms -= 365 * CB_STATE_CLAIM_RETENTION_MS;
	CU_ASSERT_EQUAL(recorded_answer_size_(self, "k"), 1);
	support_advance_time(self, CB_STATE_CLAIM_RETENTION_MS);
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("k", "e/1", "2")),
			CB_ANSWER_CLAIMED);
	support_state_delete(self);
}

/*
 * A full table rejects new claims until ended ones have the minimum age.  If
 * those were removed earlier, a repeated call would be executed twice.
 */
static void a_full_table_keeps_recent_claims(void)
{
	support_state_t *self = state_with_instances_new_();
	int i;

	for (i = 0; i < CB_STATE_CLAIM_MAX_COUNT; i++) {
		char *key = g_strdup_printf("%d", i);

		claim_and_finish_(self, key, 0);
		g_free(key);
	}
	CU_ASSERT_EQUAL(cb_state_claim_count(self->state),
			CB_STATE_CLAIM_MAX_COUNT);
	support_advance_time(self, CB_STATE_CLAIM_MIN_RETENTION_MS - 1);
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("new", "e/1", "1")),
			CB_ANSWER_FULL);
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("0", "e/1", "2")),
			CB_ANSWER_FINISHED);
	self->wall_ms++;
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("new", "e/1", "1")),
			CB_ANSWER_CLAIMED);
	CU_ASSERT_TRUE(cb_state_claim_count(self->state) <=
		       CB_STATE_CLAIM_MAX_COUNT);
	support_state_delete(self);
}

/*
 * The fixture of random runs: one server that checks fencing, and two entry
 * instances whose calls may reach it late, also after the instance restarted.
 */
#define KEY_COUNT 4
#define RUN_COUNT 300

/* One entry instance's attempt at the call with one key. */
typedef struct attempt {
	uint64_t claim_fencing; /* number of the held claim; 0: none */
	gboolean must_prove;
	gboolean is_sent;
	gboolean is_executed;
	uint64_t in_flight_fencing; /* number of the call in flight; 0: none */
} attempt_t;

typedef struct fixture {
	support_state_t *self;
	/* By key, the fencing number below which the server rejects calls. */
	uint64_t fenced[KEY_COUNT];
	int executions[KEY_COUNT];
	attempt_t attempts[2][KEY_COUNT];
	uint64_t incarnation[2];
	uint64_t change_count;
} fixture_t;

static const char *const instance_names[] = { "e", "f" };

static void claim_finish_(fixture_t *fixture, int instance, int key,
			  cb_claim_result_t result)
{
	char name[] = { (char)('a' + key), '\0' };
	attempt_t *attempt = &fixture->attempts[instance][key];

	support_apply_kind(fixture->self,
			   support_claim_finish(name, attempt->claim_fencing,
						result, NULL));
	attempt->claim_fencing = 0;
}

/* The holder sends its call once, after the proof if one is required. */
static void call_send_(fixture_t *fixture, int instance, int key)
{
	attempt_t *attempt = &fixture->attempts[instance][key];

	if (!attempt->claim_fencing || attempt->is_sent ||
	    attempt->claim_fencing < fixture->fenced[key])
		return;
	if (attempt->must_prove) {
		fixture->fenced[key] = attempt->claim_fencing;
		if (fixture->executions[key]) {
			claim_finish_(fixture, instance, key, EXECUTED);
			return;
		}
		attempt->must_prove = FALSE;
	}
	attempt->in_flight_fencing = attempt->claim_fencing;
	attempt->is_sent = TRUE;
}

/* The server executes a call in flight unless it has seen a newer number. */
static void call_deliver_(fixture_t *fixture, int instance, int key)
{
	attempt_t *attempt = &fixture->attempts[instance][key];
	uint64_t fencing = attempt->in_flight_fencing;

	attempt->in_flight_fencing = 0;
	if (!fencing || fencing < fixture->fenced[key])
		return;
	fixture->fenced[key] = fencing;
	fixture->executions[key]++;
	attempt->is_executed = fencing == attempt->claim_fencing;
}

/* The holder finishes its claim with the result that it knows. */
static void claim_end_(fixture_t *fixture, int instance, int key)
{
	const attempt_t *attempt = &fixture->attempts[instance][key];

	if (!attempt->claim_fencing)
		return;
	if (attempt->is_executed)
		claim_finish_(fixture, instance, key, EXECUTED);
	else if (attempt->is_sent || attempt->must_prove)
		claim_finish_(fixture, instance, key, UNKNOWN);
	else
		claim_finish_(fixture, instance, key, NOT_EXECUTED);
}

static void claim_acquire_(fixture_t *fixture, int instance, int key,
			   gboolean proves_by_fencing)
{
	char name[] = { (char)('a' + key), '\0' };
	char *id =
		g_strdup_printf("%" G_GUINT64_FORMAT, fixture->change_count++);
	char *owner = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
				      instance_names[instance],
				      fixture->incarnation[instance]);
	cb_command_t *command = support_claim(name, owner, id);
	cb_answer_t *answer;

	command->proves_by_fencing = proves_by_fencing;
	answer = support_apply(fixture->self, command);
	if (answer->kind == CB_ANSWER_CLAIMED) {
		attempt_t *attempt = &fixture->attempts[instance][key];

		attempt->claim_fencing = answer->fencing;
		attempt->must_prove = answer->must_prove;
		attempt->is_sent = FALSE;
		attempt->is_executed = FALSE;
	}
	cb_answer_delete(answer);
	g_free(owner);
	g_free(id);
}

static void instance_restart_(fixture_t *fixture, int instance)
{
	int key;

	fixture->incarnation[instance]++;
	support_apply_kind(fixture->self,
			   support_instance_up(instance_names[instance],
					       fixture->incarnation[instance]));
	for (key = 0; key < KEY_COUNT; key++)
		fixture->attempts[instance][key].claim_fencing = 0;
}

/*
 * Two entry instances claim, send, finish and restart at random.  Adds the
 * number of executions to `executions`; returns whether no key's call was
 * executed twice.
 */
static gboolean random_calls_run_(uint32_t seed, int *executions)
{
	GRand *random = g_rand_new_with_seed(seed);
	fixture_t fixture = { .self = state_with_instances_new_(),
			      .incarnation = { 1, 1 } };
	int max_executions = 0;
	int step;
	int key;

	for (step = 0; step < 200; step++) {
		int instance = g_rand_int_range(random, 0, 2);

		key = g_rand_int_range(random, 0, KEY_COUNT);
		switch (g_rand_int_range(random, 0, 7)) {
		case 0:
		case 1:
			claim_acquire_(&fixture, instance, key,
				       g_rand_boolean(random));
			break;
		case 2:
		case 3:
			call_send_(&fixture, instance, key);
			break;
		case 4:
			call_deliver_(&fixture, instance, key);
			break;
		case 5:
			claim_end_(&fixture, instance, key);
			break;
		default:
			instance_restart_(&fixture, instance);
			break;
		}
	}
	for (key = 0; key < KEY_COUNT; key++) {
		max_executions = MAX(max_executions, fixture.executions[key]);
		*executions += fixture.executions[key];
	}
	if (max_executions > 1)
		printf("    seed %u: a call was executed %d times\n", seed,
		       max_executions);
	support_state_delete(fixture.self);
	g_rand_free(random);
	return max_executions <= 1;
}

/*
 * Late calls, lost results and restarts in any order must not make the server
 * execute a non-idempotent call twice.
 */
static void no_call_is_executed_twice(void)
{
	gboolean is_correct = TRUE;
	int executions = 0;
	uint32_t seed;

	for (seed = 1; seed <= RUN_COUNT; seed++)
		is_correct &= random_calls_run_(seed, &executions);
	CU_ASSERT_TRUE(is_correct);
	/* The runs are only valid as a check if most calls are executed. */
	CU_ASSERT_TRUE(executions > RUN_COUNT * KEY_COUNT / 2);
}

static CU_TestInfo claims_tests[] = {
	{ "an_executed_claim_stays_executed",
	  an_executed_claim_stays_executed },
	{ "a_claim_not_executed_can_be_acquired_again",
	  a_claim_not_executed_can_be_acquired_again },
	{ "a_lost_owner_leaves_an_unknown_result",
	  a_lost_owner_leaves_an_unknown_result },
	{ "an_unknown_claim_is_acquired_only_with_proof",
	  an_unknown_claim_is_acquired_only_with_proof },
	{ "a_claim_of_unknown_result_names_earlier_server",
	  a_claim_of_unknown_result_names_earlier_server },
	{ "a_key_used_for_another_call_is_rejected",
	  a_key_used_for_another_call_is_rejected },
	{ "recorded_answers_are_bounded", recorded_answers_are_bounded },
	{ "only_ended_claims_expire", only_ended_claims_expire },
	{ "clock_jumps_do_not_affect_expiry",
	  clock_jumps_do_not_affect_expiry },
	{ "a_full_table_keeps_recent_claims",
	  a_full_table_keeps_recent_claims },
	{ "no_call_is_executed_twice", no_call_is_executed_twice },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "claims", .pTests = claims_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
