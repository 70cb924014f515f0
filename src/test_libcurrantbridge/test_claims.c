#include "support_main.h"
#include "support_state.h"

#include <string.h>

/* A state that knows the entry instances "e" and "f", both in run 1. */
static support_state_t *claims_new_(void)
{
	support_state_t *self = support_state_new();

	support_apply_kind(self, support_up("e", 1));
	support_apply_kind(self, support_up("f", 1));
	self->index = 9;
	return self;
}

typedef enum step_kind {
	STEP_CLAIM,
	STEP_PROVE, /* a claim whose claimant proves by fencing */
	STEP_NAME,  /* a claim by the holder that names another server */
	STEP_FINISH,
	STEP_SILENT, /* instance `owner` falls silent */
	STEP_RESTART /* instance `owner` begins run 2 */
} step_kind_t;

/* One command on the key "k" and what must be answered. */
typedef struct step {
	step_kind_t kind;
	const char *owner;
	const char *change_id;
	uint64_t fencing;
	cb_claim_result_t result;
	cb_answer_kind_t answer;
	/* Of the answer; 0 is not looked at. */
	uint64_t answer_fencing;
	cb_claim_result_t answer_result;
	gboolean must_prove;
} step_t;

static cb_command_t *step_command_(const step_t *step)
{
	cb_command_t *command;

	switch (step->kind) {
	case STEP_FINISH:
		return support_finish("k", step->fencing, step->result, "done");
	case STEP_SILENT:
		return support_instance(step->owner, 1, CB_INSTANCE_SILENT);
	case STEP_RESTART:
		return support_up(step->owner, 2);
	default:
		break;
	}
	command = support_claim("k", step->owner, step->change_id);
	command->proves_by_fencing = step->kind == STEP_PROVE;
	command->fencing = step->fencing;
	command->server = g_strdup(step->change_id);
	return command;
}

/* Runs steps, the first at index 10; each may also meet a restored state. */
static void steps_run_(const char *name, const step_t *steps, size_t count,
		       gboolean is_restored)
{
	support_state_t *self = claims_new_();
	size_t i;

	for (i = 0; i < count; i++) {
		const step_t *step = &steps[i];
		GBytes *snapshot = support_snapshot(self);
		cb_answer_t *answer;
		gboolean is_right;

		if (is_restored)
			CU_ASSERT_TRUE(support_restore(self, snapshot));
		g_bytes_unref(snapshot);
		answer = support_apply(self, step_command_(step));
		is_right = answer->kind == step->answer &&
			   answer->must_prove == step->must_prove;
		if (step->answer_fencing)
			is_right &= answer->fencing == step->answer_fencing;
		if (step->answer == CB_ANSWER_FINISHED)
			is_right &= answer->result == step->answer_result;
		CU_ASSERT_TRUE(is_right);
		if (!is_right)
			printf("    %s, step %zu: %s, fencing "
			       "%" G_GUINT64_FORMAT ", result %s\n",
			       name, i, cb_answer_kind_string[answer->kind],
			       answer->fencing,
			       cb_claim_result_string[answer->result]);
		cb_answer_delete(answer);
	}
	support_state_delete(self);
}

#define RUN(steps)                                                 \
	do {                                                       \
		steps_run_(#steps, steps, G_N_ELEMENTS(steps), 0); \
		steps_run_(#steps, steps, G_N_ELEMENTS(steps), 1); \
	} while (0)

/* Shorter names, so that a step fits on a line. */
#define NOT_EXECUTED CB_CLAIM_RESULT_NOT_EXECUTED
#define EXECUTED CB_CLAIM_RESULT_EXECUTED
#define UNKNOWN CB_CLAIM_RESULT_UNKNOWN

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

	RUN(steps);
}

static void a_claim_not_executed_is_given_back(void)
{
	static const step_t steps[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, NOT_EXECUTED, CB_ANSWER_OK, 10,
		  0, 0 },
		/* A late copy of the first claim takes nothing. */
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_FINISHED, 10,
		  NOT_EXECUTED, 0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_CONFLICT,
		  13, 0, 0 },
		{ STEP_FINISH, "f/1", NULL, 13, EXECUTED, CB_ANSWER_OK, 13, 0,
		  0 },
	};

	RUN(steps);
}

static void a_claim_whose_owner_is_gone_is_unknown(void)
{
	static const step_t silent[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_SILENT, "e", NULL, 0, 0, CB_ANSWER_OK, 0, 0, 0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_FINISHED, 10, UNKNOWN,
		  0 },
		/* The holder was only cut off, and brings the true result. */
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
		/* A claim of the run that is over comes too late. */
		{ STEP_CLAIM, "e/1", "3", 0, 0, CB_ANSWER_INVALID, 0, 0, 0 },
		{ STEP_CLAIM, "g/1", "4", 0, 0, CB_ANSWER_INVALID, 0, 0, 0 },
	};

	RUN(silent);
	RUN(restarted);
}

/* Only a claimant that proves by fencing gets an unknown claim again. */
static void an_unknown_claim_is_claimed_again_by_proof(void)
{
	static const step_t steps[] = {
		{ STEP_CLAIM, "e/1", "1", 0, 0, CB_ANSWER_CLAIMED, 10, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 10, UNKNOWN, CB_ANSWER_OK, 10, 0,
		  0 },
		{ STEP_CLAIM, "f/1", "2", 0, 0, CB_ANSWER_FINISHED, 10, UNKNOWN,
		  0 },
		{ STEP_PROVE, "f/1", "3", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 1 },
		/* A resend must prove as well. */
		{ STEP_PROVE, "f/1", "3", 0, 0, CB_ANSWER_CLAIMED, 13, 0, 1 },
		{ STEP_FINISH, "e/1", NULL, 10, EXECUTED, CB_ANSWER_CONFLICT,
		  13, 0, 0 },
		/* Another instance must prove too, until it was proved. */
		{ STEP_SILENT, "f", NULL, 0, 0, CB_ANSWER_OK, 0, 0, 0 },
		{ STEP_PROVE, "e/1", "4", 0, 0, CB_ANSWER_CLAIMED, 17, 0, 1 },
		{ STEP_NAME, "e/1", "4", 17, 0, CB_ANSWER_CLAIMED, 17, 0, 0 },
		{ STEP_CLAIM, "e/1", "4", 0, 0, CB_ANSWER_CLAIMED, 17, 0, 0 },
		{ STEP_FINISH, "e/1", NULL, 17, EXECUTED, CB_ANSWER_OK, 17, 0,
		  0 },
	};

	RUN(steps);
}

/* While unproved, the claim names the server of the earlier attempt. */
static void a_claim_names_the_server_to_ask(void)
{
	support_state_t *self = claims_new_();
	cb_command_t *command = support_claim("k", "e/1", "1");
	cb_answer_t *answer;

	command->server = g_strdup("s1");
	support_apply_kind(self, command);
	support_apply_kind(self, support_finish("k", 10, UNKNOWN, NULL));
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

static void another_digest_is_refused_in_every_state(void)
{
	static const cb_claim_result_t results[] = { CB_CLAIM_RESULT_COUNT,
						     EXECUTED, UNKNOWN,
						     NOT_EXECUTED };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(results); i++) {
		support_state_t *self = claims_new_();
		cb_command_t *command = support_claim("k", "e/1", "2");

		support_apply_kind(self, support_claim("k", "e/1", "1"));
		if (i > 0)
			support_apply_kind(self,
					   support_finish("k", 10, results[i],
							  NULL));
		g_free(command->digest);
		command->digest = g_strdup("other");
		command->proves_by_fencing = TRUE;
		CU_ASSERT_EQUAL(support_apply_kind(self, command),
				CB_ANSWER_DIGEST_DIFFERS);
		support_state_delete(self);
	}
}

/* Returns the size of the answer recorded for a key, or -1. */
static int64_t recorded_size_(support_state_t *self, const char *key)
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

static void execute_(support_state_t *self, const char *key, size_t size)
{
	char *text = g_strnfill(size, 'x');

	support_apply_kind(self, support_claim(key, "e/1", "1"));
	support_apply_kind(self,
			   support_finish(key, self->index, EXECUTED, text));
	g_free(text);
}

static void recorded_answers_are_bounded(void)
{
	support_state_t *self = claims_new_();
	int fit = CB_STATE_CLAIM_ANSWERS_MAX_BYTES / CB_CLAIM_ANSWER_MAX_BYTES;
	int i;

	execute_(self, "small", 5);
	execute_(self, "largest", CB_CLAIM_ANSWER_MAX_BYTES);
	execute_(self, "larger", CB_CLAIM_ANSWER_MAX_BYTES + 1);
	CU_ASSERT_EQUAL(recorded_size_(self, "small"), 5);
	CU_ASSERT_EQUAL(recorded_size_(self, "largest"),
			CB_CLAIM_ANSWER_MAX_BYTES);
	CU_ASSERT_EQUAL(recorded_size_(self, "larger"), -1);
	for (i = 0; i < fit; i++) {
		char *key = g_strdup_printf("%d", i);

		execute_(self, key, CB_CLAIM_ANSWER_MAX_BYTES);
		g_free(key);
	}
	CU_ASSERT_EQUAL(recorded_size_(self, "small"), -1);
	CU_ASSERT_EQUAL(recorded_size_(self, "largest"), -1);
	CU_ASSERT_EQUAL(recorded_size_(self, "0"), CB_CLAIM_ANSWER_MAX_BYTES);
	support_state_delete(self);
}

static void ended_claims_run_out_and_running_ones_do_not(void)
{
	support_state_t *self = claims_new_();

	execute_(self, "ended", 1);
	support_apply_kind(self, support_claim("running", "e/1", "1"));
	support_age(self, CB_STATE_CLAIM_RETENTION_MS - 1);
	CU_ASSERT_EQUAL(recorded_size_(self, "ended"), 1);
	self->wall_ms++;
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("ended", "f/1", "2")),
			CB_ANSWER_CLAIMED);
	CU_ASSERT_EQUAL(support_apply_kind(self, support_claim("running", "f/1",
							       "2")),
			CB_ANSWER_RUNNING);
	support_state_delete(self);
}

/* A leader's clock that leaps neither ends claims nor keeps them for good. */
static void a_leaping_clock_does_no_harm(void)
{
	support_state_t *self = claims_new_();

	execute_(self, "k", 1);
	self->wall_ms += 365 * CB_STATE_CLAIM_RETENTION_MS;
	CU_ASSERT_EQUAL(recorded_size_(self, "k"), 1);
	self->wall_ms -= 365 * CB_STATE_CLAIM_RETENTION_MS;
	CU_ASSERT_EQUAL(recorded_size_(self, "k"), 1);
	support_age(self, CB_STATE_CLAIM_RETENTION_MS);
	CU_ASSERT_EQUAL(support_apply_kind(self,
					   support_claim("k", "e/1", "2")),
			CB_ANSWER_CLAIMED);
	support_state_delete(self);
}

/* When full, ended claims go only once they are old enough. */
static void a_full_table_refuses_rather_than_forgets(void)
{
	support_state_t *self = claims_new_();
	int i;

	for (i = 0; i < CB_STATE_CLAIM_KEEP_COUNT; i++) {
		char *key = g_strdup_printf("%d", i);

		execute_(self, key, 0);
		g_free(key);
	}
	CU_ASSERT_EQUAL(cb_state_claim_count(self->state),
			CB_STATE_CLAIM_KEEP_COUNT);
	support_age(self, CB_STATE_CLAIM_MIN_RETENTION_MS - 1);
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
		       CB_STATE_CLAIM_KEEP_COUNT);
	support_state_delete(self);
}

/*
 * A random run: one server that checks fencing, and two entry instances
 * whose calls may reach it late, also after their process has ended.
 */
#define KEY_COUNT 4
#define RUN_COUNT 300

/* What one entry instance does with one key. */
typedef struct attempt {
	uint64_t held; /* fencing number of the claim, 0: none */
	gboolean must_prove;
	gboolean is_sent;
	gboolean is_executed;
	uint64_t in_flight; /* fencing number of a call under way, 0: none */
} attempt_t;

typedef struct world {
	support_state_t *self;
	uint64_t fenced[KEY_COUNT]; /* the server refuses lower numbers */
	int executions[KEY_COUNT];
	attempt_t attempts[2][KEY_COUNT];
	uint64_t incarnation[2];
	uint64_t change_count;
} world_t;

static const char *const owner_names[] = { "e", "f" };

static void world_finish_(world_t *world, int who, int key,
			  cb_claim_result_t result)
{
	char name[] = { (char)('a' + key), '\0' };
	attempt_t *attempt = &world->attempts[who][key];

	support_apply_kind(world->self,
			   support_finish(name, attempt->held, result, NULL));
	attempt->held = 0;
}

/* The holder sends its call once, after the proof that it may need. */
static void world_send_(world_t *world, int who, int key)
{
	attempt_t *attempt = &world->attempts[who][key];

	if (!attempt->held || attempt->is_sent ||
	    attempt->held < world->fenced[key])
		return;
	if (attempt->must_prove) {
		world->fenced[key] = attempt->held;
		if (world->executions[key]) {
			world_finish_(world, who, key, EXECUTED);
			return;
		}
		attempt->must_prove = FALSE;
	}
	attempt->in_flight = attempt->held;
	attempt->is_sent = TRUE;
}

/* A call arrives; the server executes it unless it has seen a newer one. */
static void world_deliver_(world_t *world, int who, int key)
{
	attempt_t *attempt = &world->attempts[who][key];
	uint64_t fencing = attempt->in_flight;

	attempt->in_flight = 0;
	if (!fencing || fencing < world->fenced[key])
		return;
	world->fenced[key] = fencing;
	world->executions[key]++;
	attempt->is_executed = fencing == attempt->held;
}

/* The holder records what it knows of the end. */
static void world_end_(world_t *world, int who, int key)
{
	const attempt_t *attempt = &world->attempts[who][key];

	if (!attempt->held)
		return;
	if (attempt->is_executed)
		world_finish_(world, who, key, EXECUTED);
	else if (attempt->is_sent || attempt->must_prove)
		world_finish_(world, who, key, UNKNOWN);
	else
		world_finish_(world, who, key, NOT_EXECUTED);
}

static void world_claim_(world_t *world, int who, int key, gboolean proves)
{
	char name[] = { (char)('a' + key), '\0' };
	char *id = g_strdup_printf("%" G_GUINT64_FORMAT, world->change_count++);
	char *owner = g_strdup_printf("%s/%" G_GUINT64_FORMAT, owner_names[who],
				      world->incarnation[who]);
	cb_command_t *command = support_claim(name, owner, id);
	cb_answer_t *answer;

	command->proves_by_fencing = proves;
	answer = support_apply(world->self, command);
	if (answer->kind == CB_ANSWER_CLAIMED) {
		attempt_t *attempt = &world->attempts[who][key];

		attempt->held = answer->fencing;
		attempt->must_prove = answer->must_prove;
		attempt->is_sent = FALSE;
		attempt->is_executed = FALSE;
	}
	cb_answer_delete(answer);
	g_free(owner);
	g_free(id);
}

static void world_restart_(world_t *world, int who)
{
	int key;

	world->incarnation[who]++;
	support_apply_kind(world->self, support_up(owner_names[who],
						   world->incarnation[who]));
	for (key = 0; key < KEY_COUNT; key++)
		world->attempts[who][key].held = 0;
}

/*
 * Two entry instances claim, run, end and restart at random.  No key is
 * executed twice, although calls go out late and results get lost.
 */
static gboolean random_run_(uint32_t seed, int *executions)
{
	GRand *random = g_rand_new_with_seed(seed);
	world_t world = { .self = claims_new_(), .incarnation = { 1, 1 } };
	int most = 0;
	int step;
	int key;

	for (step = 0; step < 200; step++) {
		int who = g_rand_int_range(random, 0, 2);

		key = g_rand_int_range(random, 0, KEY_COUNT);
		switch (g_rand_int_range(random, 0, 7)) {
		case 0:
		case 1:
			world_claim_(&world, who, key, g_rand_boolean(random));
			break;
		case 2:
		case 3:
			world_send_(&world, who, key);
			break;
		case 4:
			world_deliver_(&world, who, key);
			break;
		case 5:
			world_end_(&world, who, key);
			break;
		default:
			world_restart_(&world, who);
			break;
		}
	}
	for (key = 0; key < KEY_COUNT; key++) {
		most = MAX(most, world.executions[key]);
		*executions += world.executions[key];
	}
	if (most > 1)
		printf("    seed %u: a key was executed %d times\n", seed,
		       most);
	support_state_delete(world.self);
	g_rand_free(random);
	return most <= 1;
}

static void no_key_is_executed_twice(void)
{
	gboolean is_right = TRUE;
	int executions = 0;
	uint32_t seed;

	for (seed = 1; seed <= RUN_COUNT; seed++)
		is_right &= random_run_(seed, &executions);
	CU_ASSERT_TRUE(is_right);
	/* The runs prove nothing unless most keys are executed. */
	CU_ASSERT_TRUE(executions > RUN_COUNT * KEY_COUNT / 2);
}

static CU_TestInfo claims_tests[] = {
	{ "an_executed_claim_stays_executed",
	  an_executed_claim_stays_executed },
	{ "a_claim_not_executed_is_given_back",
	  a_claim_not_executed_is_given_back },
	{ "a_claim_whose_owner_is_gone_is_unknown",
	  a_claim_whose_owner_is_gone_is_unknown },
	{ "an_unknown_claim_is_claimed_again_by_proof",
	  an_unknown_claim_is_claimed_again_by_proof },
	{ "a_claim_names_the_server_to_ask", a_claim_names_the_server_to_ask },
	{ "another_digest_is_refused_in_every_state",
	  another_digest_is_refused_in_every_state },
	{ "recorded_answers_are_bounded", recorded_answers_are_bounded },
	{ "ended_claims_run_out_and_running_ones_do_not",
	  ended_claims_run_out_and_running_ones_do_not },
	{ "a_leaping_clock_does_no_harm", a_leaping_clock_does_no_harm },
	{ "a_full_table_refuses_rather_than_forgets",
	  a_full_table_refuses_rather_than_forgets },
	{ "no_key_is_executed_twice", no_key_is_executed_twice },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "claims", .pTests = claims_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
