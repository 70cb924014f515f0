#include "support_main.h"
#include "support_state.h"

#include <string.h>

#define DAY_MS (24 * 3600 * INT64_C(1000))

/* Applies a command and checks the kind and revision of the answer. */
static void apply_expect_(support_state_t *self, cb_command_t *command,
			  cb_answer_kind_t kind, uint64_t revision)
{
	cb_answer_t *answer = support_apply(self, command);

	CU_ASSERT_EQUAL(answer->kind, kind);
	CU_ASSERT_EQUAL(answer->revision, revision);
	cb_answer_delete(answer);
}

/*
 * A change that expects another revision than the current one gets a CONFLICT
 * and changes nothing, so that an operator cannot overwrite a change unseen.
 */
static void changes_check_the_expected_revision(void)
{
	support_state_t *self = support_state_new();
	const cb_contract_t *contract;
	cb_answer_t *answer;

	apply_expect_(self,
		      support_with_revision(
			      support_contract_put_command("w", "k", 1), 7),
		      CB_ANSWER_CONFLICT, 0);
	apply_expect_(self,
		      support_with_revision(
			      support_contract_put_command("w", "k", 1), 0),
		      CB_ANSWER_OK, 2);
	apply_expect_(self,
		      support_with_revision(
			      support_contract_put_command("w", "k", 2), 0),
		      CB_ANSWER_CONFLICT, 2);
	answer = support_apply(
		self,
		support_with_revision(support_contract_remove_command("w"), 1));
	CU_ASSERT_EQUAL(answer->kind, CB_ANSWER_CONFLICT);
	CU_ASSERT_EQUAL(answer->revision, 2);
	CU_ASSERT_EQUAL(answer->expected_revision, 1);
	CU_ASSERT_STRING_EQUAL(
		answer->message,
		"expected revision 1, the present revision is 2");
	cb_answer_delete(answer);
	apply_expect_(self,
		      support_with_revision(
			      support_contract_put_command("w", "k", 3), 2),
		      CB_ANSWER_OK, 5);
	contract = cb_view_contract(cb_state_view(self->state), "w");
	CU_ASSERT_EQUAL(contract->guaranteed_requests_per_s, 3);
	CU_ASSERT_EQUAL(contract->revision, 5);
	apply_expect_(
		self,
		support_with_revision(support_contract_remove_command("w"), 5),
		CB_ANSWER_OK, 6);
	apply_expect_(self, support_contract_remove_command("w"),
		      CB_ANSWER_NOT_FOUND, 0);
	apply_expect_(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "s"),
		      CB_ANSWER_OK, 8);
	apply_expect_(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "s"),
		      CB_ANSWER_OK, 8);
	apply_expect_(self,
		      support_with_revision(support_stop(CB_COMMAND_STOP_CANCEL,
							 "s"),
					    7),
		      CB_ANSWER_CONFLICT, 8);
	apply_expect_(self, support_stop(CB_COMMAND_STOP_CANCEL, "s"),
		      CB_ANSWER_OK, 11);
	apply_expect_(self, support_stop(CB_COMMAND_STOP_CANCEL, "s"),
		      CB_ANSWER_NOT_FOUND, 0);
	CU_ASSERT_EQUAL(cb_state_revision(self->state), 11);
	support_state_delete(self);
}

/*
 * Of two operators who change a contract at the same expected revision, only
 * the first succeeds.  Resends get the first answer and change nothing.
 */
static void one_of_two_concurrent_changes_is_accepted(void)
{
	static const char *const sender_names[] = { "a", "b" };
	support_state_t *self = support_state_new();
	GRand *random = g_rand_new_with_seed(7);
	uint64_t revision = 0;
	int round;

	for (round = 0; round < 200; round++) {
		cb_answer_kind_t first_kind[2] = { CB_ANSWER_KIND_COUNT,
						   CB_ANSWER_KIND_COUNT };
		uint64_t accepted_revision = 0;
		int accepted_count = 0;
		int attempt;

		for (attempt = 0; attempt < 8; attempt++) {
			int sender = attempt < 2 ?
					     (round + attempt) % 2 :
					     g_rand_int_range(random, 0, 2);
			char *change_id =
				g_strdup_printf("%s%d", sender_names[sender],
						round);
			cb_command_t *put = support_with_revision(
				support_contract_put_command(
					"w", sender_names[sender], round + 1),
				revision);
			cb_answer_t *answer = support_apply(
				self, support_with_change_id(put, change_id));

			if (first_kind[sender] == CB_ANSWER_KIND_COUNT) {
				first_kind[sender] = answer->kind;
				CU_ASSERT_FALSE(answer->is_replayed);
				accepted_count += answer->kind == CB_ANSWER_OK;
				if (answer->kind == CB_ANSWER_OK)
					accepted_revision = answer->revision;
			} else {
				CU_ASSERT_EQUAL(answer->kind,
						first_kind[sender]);
				CU_ASSERT_TRUE(answer->is_replayed);
			}
			CU_ASSERT_EQUAL(answer->revision, accepted_revision);
			cb_answer_delete(answer);
			g_free(change_id);
		}
		CU_ASSERT_EQUAL(accepted_count, 1);
		CU_ASSERT_EQUAL(cb_state_revision(self->state),
				accepted_revision);
		revision = accepted_revision;
	}
	g_rand_free(random);
	support_state_delete(self);
}

/*
 * A resend after later changes gets the first answer and is not applied again.
 * The same ID with another content is INVALID.
 */
static void resent_change_gets_the_first_answer(void)
{
	support_state_t *self = support_state_new();
	int i;

	apply_expect_(self,
		      support_with_change_id(
			      support_contract_put_command("w", "k", 1), "1"),
		      CB_ANSWER_OK, 1);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("w"), "2"),
		      CB_ANSWER_OK, 2);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_put_command("w", "k", 1), "1"),
		      CB_ANSWER_OK, 1);
	CU_ASSERT_PTR_NULL(cb_view_contract(cb_state_view(self->state), "w"));
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_put_command("w", "k", 2), "1"),
		      CB_ANSWER_INVALID, 0);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("w"), "3"),
		      CB_ANSWER_NOT_FOUND, 0);
	apply_expect_(self, support_contract_put_command("w", "k", 1),
		      CB_ANSWER_OK, 6);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("w"), "3"),
		      CB_ANSWER_NOT_FOUND, 0);
	/* After the retention, the next changes remove expired change IDs. */
	support_advance_time(self, CB_STATE_CHANGE_RETENTION_MS);
	for (i = 0; i < 2; i++) {
		char *id = g_strdup_printf("later%d", i);

		support_apply_kind(
			self,
			support_with_change_id(
				support_contract_put_command("x", "x", 1), id));
		g_free(id);
	}
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("w"), "3"),
		      CB_ANSWER_OK, self->index + 1);
	support_state_delete(self);
}

/* Beyond the maximum number, the oldest change ID is removed. */
static void change_ids_are_bounded_by_count(void)
{
	support_state_t *self = support_state_new();
	int i;

	for (i = 0; i <= CB_STATE_CHANGE_MAX_COUNT; i++) {
		char *id = g_strdup_printf("%d", i);

		support_apply_kind(
			self,
			support_with_change_id(
				support_contract_remove_command("none"), id));
		g_free(id);
	}
	apply_expect_(self, support_contract_put_command("none", "k", 1),
		      CB_ANSWER_OK, CB_STATE_CHANGE_MAX_COUNT + 2);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("none"), "1"),
		      CB_ANSWER_NOT_FOUND, 0);
	apply_expect_(self,
		      support_with_change_id(
			      support_contract_remove_command("none"), "0"),
		      CB_ANSWER_OK, CB_STATE_CHANGE_MAX_COUNT + 4);
	support_state_delete(self);
}

/* A key is rejected as long as another workspace's contract contains it. */
static void a_key_belongs_to_one_workspace(void)
{
	support_state_t *self = support_state_new();
	const cb_view_t *view = cb_state_view(self->state);
	cb_answer_t *answer;

	apply_expect_(self, support_contract_put_command("a", "k", 1),
		      CB_ANSWER_OK, 1);
	answer = support_apply(self, support_contract_put_command("b", "k", 1));
	CU_ASSERT_EQUAL(answer->kind, CB_ANSWER_INVALID);
	CU_ASSERT_STRING_EQUAL(answer->message,
			       "contract: keys: workspace a holds one of them");
	cb_answer_delete(answer);
	apply_expect_(self, support_contract_put_command("a", "k", 2),
		      CB_ANSWER_OK, 3);
	apply_expect_(self, support_contract_put_command("a", "other", 1),
		      CB_ANSWER_OK, 4);
	apply_expect_(self, support_contract_put_command("b", "k", 1),
		      CB_ANSWER_OK, 5);
	CU_ASSERT_STRING_EQUAL(cb_view_contract_by_key(view, "k")->workspace,
			       "b");
	apply_expect_(self, support_contract_remove_command("b"), CB_ANSWER_OK,
		      6);
	CU_ASSERT_PTR_NULL(cb_view_contract_by_key(view, "k"));
	support_state_delete(self);
}

/*
 * Commands without required fields, with a wrong workspace or too long a text,
 * and malformed bytes are answered INVALID and change nothing.
 */
static void invalid_commands_are_rejected(void)
{
	support_state_t *self = support_state_new();
	cb_machine_t *machine = cb_state_machine(self->state);
	GBytes *garbage = g_bytes_new_static("\x93\x01", 2);
	cb_command_t *command;
	cb_answer_t *answer;
	GBytes *reply;
	char *text;
	int kind;

	for (kind = 0; kind < CB_COMMAND_KIND_COUNT; kind++)
		apply_expect_(self, cb_command_new((cb_command_kind_t)kind),
			      CB_ANSWER_INVALID, 0);
	command = support_contract_put_command("w", "k", 1);
	g_free(command->name);
	command->name = g_strdup("v");
	apply_expect_(self, command, CB_ANSWER_INVALID, 0);
	text = g_strnfill(CB_COMMAND_TEXT_MAX_BYTES + 1, 'x');
	apply_expect_(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, text),
		      CB_ANSWER_INVALID, 0);
	g_free(text);
	reply = machine->vtable->apply(machine, 99, garbage);
	answer = cb_answer_decode(reply);
	CU_ASSERT_EQUAL(answer->kind, CB_ANSWER_INVALID);
	cb_answer_delete(answer);
	g_bytes_unref(reply);
	g_bytes_unref(garbage);
	CU_ASSERT_EQUAL(cb_state_revision(self->state), 0);
	support_state_delete(self);
}

/*
 * Commands for an older incarnation are rejected, and an instance that is
 * leaving does not become ready again.  Each step gives a command, its answer
 * and the instance's state after it.
 */
static void instance_state_depends_on_the_incarnation(void)
{
	static const struct {
		uint64_t incarnation;
		/*
		 * State that the command sets; -1: the command is INSTANCE_UP.
		 */
		int state;
		cb_answer_kind_t kind;
		uint64_t revision;
		cb_instance_state_t state_after;
	} steps[] = {
		{ 5, -1, CB_ANSWER_OK, 1, CB_INSTANCE_READY },
		{ 5, -1, CB_ANSWER_OK, 1, CB_INSTANCE_READY },
		{ 4, -1, CB_ANSWER_CONFLICT, 1, CB_INSTANCE_READY },
		{ 4, CB_INSTANCE_SILENT, CB_ANSWER_CONFLICT, 1,
		  CB_INSTANCE_READY },
		{ 5, CB_INSTANCE_SILENT, CB_ANSWER_OK, 5, CB_INSTANCE_SILENT },
		{ 5, CB_INSTANCE_SILENT, CB_ANSWER_OK, 5, CB_INSTANCE_SILENT },
		{ 5, -1, CB_ANSWER_OK, 7, CB_INSTANCE_READY },
		{ 5, CB_INSTANCE_LEAVING, CB_ANSWER_OK, 8,
		  CB_INSTANCE_LEAVING },
		{ 5, -1, CB_ANSWER_OK, 8, CB_INSTANCE_LEAVING },
		{ 5, CB_INSTANCE_READY, CB_ANSWER_INVALID, 0,
		  CB_INSTANCE_LEAVING },
		{ 6, -1, CB_ANSWER_OK, 11, CB_INSTANCE_READY },
		{ 5, CB_INSTANCE_SILENT, CB_ANSWER_CONFLICT, 11,
		  CB_INSTANCE_READY },
	};
	support_state_t *self = support_state_new();
	const GPtrArray *instances;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		cb_command_t *command =
			steps[i].state < 0 ?
				support_instance_up("e", steps[i].incarnation) :
				support_instance_state(
					"e", steps[i].incarnation,
					(cb_instance_state_t)steps[i].state);
		const cb_instance_t *instance;

		apply_expect_(self, command, steps[i].kind, steps[i].revision);
		instances = cb_view_instances(cb_state_view(self->state));
		instance = g_ptr_array_index(instances, 0);
		CU_ASSERT_EQUAL(instance->state, steps[i].state_after);
	}
	/* An instance silent for a day is removed when another starts. */
	support_apply_kind(self,
			   support_instance_state("e", 6, CB_INSTANCE_SILENT));
	support_advance_time(self, CB_STATE_SILENT_RETENTION_MS - 1);
	support_apply_kind(self, support_instance_up("f", 1));
	CU_ASSERT_EQUAL(cb_view_instances(cb_state_view(self->state))->len, 2);
	self->wall_ms++;
	support_apply_kind(self, support_instance_up("g", 1));
	CU_ASSERT_EQUAL(cb_view_instances(cb_state_view(self->state))->len, 2);
	support_state_delete(self);
}

/*
 * A quarantine ends at its time, which is limited; it may be prolonged but not
 * shortened.  Beyond the maximum number the oldest digest is removed.
 */
static void quarantine_expires(void)
{
	support_state_t *self = support_state_new();
	const cb_view_t *view = cb_state_view(self->state);
	int i;

	apply_expect_(self, support_quarantine("d", 900), CB_ANSWER_INVALID, 0);
	apply_expect_(self, support_quarantine("d", 5000), CB_ANSWER_OK, 2);
	apply_expect_(self, support_quarantine("d", 4000), CB_ANSWER_OK, 2);
	CU_ASSERT_TRUE(cb_view_is_quarantined(view, "d", 4999));
	CU_ASSERT_FALSE(cb_view_is_quarantined(view, "d", 5000));
	CU_ASSERT_FALSE(cb_view_is_quarantined(view, "e", 1000));
	apply_expect_(self, support_quarantine("d", 9 * DAY_MS), CB_ANSWER_OK,
		      4);
	CU_ASSERT_FALSE(cb_view_is_quarantined(
		view, "d", self->wall_ms + CB_STATE_QUARANTINE_MAX_MS));
	for (i = 0; i < CB_STATE_QUARANTINE_MAX_COUNT; i++) {
		char *digest = g_strdup_printf("%d", i);

		support_apply_kind(self, support_quarantine(digest, DAY_MS));
		g_free(digest);
	}
	CU_ASSERT_FALSE(cb_view_is_quarantined(view, "d", 1000));
	CU_ASSERT_TRUE(cb_view_is_quarantined(view, "0", 1000));
	self->wall_ms = DAY_MS;
	support_apply_kind(self, support_quarantine("last", 2 * DAY_MS));
	CU_ASSERT_FALSE(cb_view_is_quarantined(view, "0", 1000));
	support_state_delete(self);
}

/*
 * A server that died under a digest is recorded once for each instance that
 * reports it; if details follow its name, only once, with the first details.
 */
static void deaths_of_one_server_are_recorded_once(void)
{
	static const struct {
		const char *server;
		const char *owner;
		unsigned int expected_count;
	} cases[] = {
		{ "s/1", "a/1", 1 },	  { "s/1", "a/1", 1 },
		{ "s/1", "b/1", 2 },	  { "t/1 2 900", "a", 3 },
		{ "t/1 2 905", "b", 3 },  { "t/1 3 900", "a", 3 },
		{ "t/12 2 900", "a", 4 }, { "t/2 2 990", "a", 5 },
	};
	support_state_t *self = support_state_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cb_command_t *command = cb_command_new(CB_COMMAND_SUSPECT_ADD);
		const char *const *deaths;

		command->name = g_strdup("d");
		command->server = g_strdup(cases[i].server);
		command->owner = g_strdup(cases[i].owner);
		CU_ASSERT_EQUAL(support_apply_kind(self, command),
				CB_ANSWER_OK);
		deaths = cb_view_deaths(cb_state_view(self->state), "d",
					self->wall_ms);
		CU_ASSERT_EQUAL(g_strv_length((char **)deaths),
				cases[i].expected_count);
	}
	support_state_delete(self);
}

#define NAME_COUNT 6

/*
 * A reference model of contracts and stops, as tables of current revisions; 0
 * stands for an absent item.
 */
typedef struct model {
	uint64_t contract_revision[NAME_COUNT];
	int contract_key[NAME_COUNT]; /* index of the contract's API key */
	uint64_t stop_revision[NAME_COUNT];
	uint64_t revision;
} model_t;

/* A random change; names and keys are numbers. */
typedef struct change {
	/*
	 * 0, 1: put a contract, 2: remove it, 3: announce a stop, 4: cancel it.
	 */
	int kind;
	int name;
	int key;
	gboolean has_expected_revision;
	uint64_t expected_revision;
} change_t;

/* Applies a change to the model; returns the kind of answer to expect. */
static cb_answer_kind_t model_apply_(model_t *model, const change_t *change,
				     uint64_t index)
{
	gboolean is_contract = change->kind <= 2;
	uint64_t *current = is_contract ?
				    &model->contract_revision[change->name] :
				    &model->stop_revision[change->name];
	int i;

	if (change->has_expected_revision &&
	    change->expected_revision != *current)
		return CB_ANSWER_CONFLICT;
	if ((change->kind == 2 || change->kind == 4) && !*current)
		return CB_ANSWER_NOT_FOUND;
	if (change->kind == 3 && *current)
		return CB_ANSWER_OK;
	for (i = 0; change->kind < 2 && i < NAME_COUNT; i++)
		if (i != change->name && model->contract_revision[i] &&
		    model->contract_key[i] == change->key)
			return CB_ANSWER_INVALID;
	model->contract_key[change->name] =
		is_contract ? change->key : model->contract_key[change->name];
	*current = change->kind == 2 || change->kind == 4 ? 0 : index;
	model->revision = index;
	return CB_ANSWER_OK;
}

static cb_command_t *change_command_new_(const change_t *change)
{
	char name[] = { (char)('a' + change->name), '\0' };
	char key[] = { (char)('A' + change->key), '\0' };
	cb_command_t *command;

	if (change->kind < 2)
		command = support_contract_put_command(name, key, 1);
	else if (change->kind == 2)
		command = support_contract_remove_command(name);
	else
		command = support_stop(change->kind == 3 ?
					       CB_COMMAND_STOP_ANNOUNCE :
					       CB_COMMAND_STOP_CANCEL,
				       name);
	return change->has_expected_revision ?
		       support_with_revision(command,
					     change->expected_revision) :
		       command;
}

static gboolean view_equals_model_(const cb_view_t *view, const model_t *model)
{
	gboolean is_equal = cb_view_revision(view) == model->revision;
	int i;

	for (i = 0; i < NAME_COUNT; i++) {
		char name[] = { (char)('a' + i), '\0' };
		char key[] = { (char)('A' + model->contract_key[i]), '\0' };
		const cb_contract_t *contract = cb_view_contract(view, name);

		is_equal &= (contract ? contract->revision : 0) ==
			    model->contract_revision[i];
		is_equal &= !contract ||
			    cb_view_contract_by_key(view, key) == contract;
		is_equal &= cb_view_is_stopped(view, CB_STOP_SERVER, name) ==
			    (model->stop_revision[i] > 0);
	}
	return is_equal;
}

/*
 * Replaces the state by one restored from its snapshot.  Returns whether that
 * succeeds and the new state has the same snapshot.
 */
static gboolean snapshot_round_trip_(support_state_t *self)
{
	GBytes *snapshot = support_snapshot(self);
	gboolean is_equal;
	GBytes *again;

	cb_state_delete(self->state);
	self->state = cb_state_new();
	is_equal = support_restore(self, snapshot);
	again = support_snapshot(self);
	is_equal &= g_bytes_equal(snapshot, again);
	g_bytes_unref(again);
	g_bytes_unref(snapshot);
	return is_equal;
}

/*
 * Applies random changes and compares every answer and the state with the
 * model.  At random steps restores a snapshot, or applies an incremental
 * update to a view and compares it as well.
 */
static gboolean random_changes_run_(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	support_state_t *self = support_state_new();
	cb_view_t *view = cb_view_new();
	model_t model = { 0 };
	gboolean is_correct = TRUE;
	int step;

	for (step = 0; step < 300 && is_correct; step++) {
		change_t change = {
			.kind = g_rand_int_range(random, 0, 5),
			.name = g_rand_int_range(random, 0, NAME_COUNT),
			.key = g_rand_int_range(random, 0, NAME_COUNT),
			.has_expected_revision = g_rand_boolean(random),
		};

		change.expected_revision =
			change.kind <= 2 ?
				model.contract_revision[change.name] :
				model.stop_revision[change.name];
		if (g_rand_int_range(random, 0, 4) == 0)
			change.expected_revision =
				g_rand_int_range(random, 0, 9);
		is_correct &=
			support_apply_kind(self,
					   change_command_new_(&change)) ==
			model_apply_(&model, &change, self->index);
		is_correct &=
			view_equals_model_(cb_state_view(self->state), &model);
		if (g_rand_int_range(random, 0, 20) == 0)
			is_correct &= snapshot_round_trip_(self);
		if (g_rand_int_range(random, 0, 5) == 0) {
			GBytes *update =
				cb_state_encode_update(self->state,
						       cb_view_revision(view));

			cb_view_apply(view, update);
			g_bytes_unref(update);
			is_correct &= view_equals_model_(view, &model);
		}
	}
	if (!is_correct)
		printf("    seed %u, step %d\n", seed, step);
	cb_view_delete(view);
	support_state_delete(self);
	g_rand_free(random);
	return is_correct;
}

/*
 * Guards against sequences of changes after which an answer, a revision, a
 * snapshot or an update is wrong.
 */
static void random_changes_match_a_reference_model(void)
{
	gboolean is_correct = TRUE;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++)
		is_correct &= random_changes_run_(seed);
	CU_ASSERT_TRUE(is_correct);
}

/*
 * A truncated snapshot, or one with a flipped bit, is rejected and leaves the
 * state unchanged.
 */
static void damaged_snapshots_are_rejected(void)
{
	support_state_t *self = support_state_new();
	GRand *random = g_rand_new_with_seed(3);
	GBytes *snapshot;
	const uint8_t *data;
	gsize size;
	int i;

	support_apply_kind(self, support_contract_put_command("w", "k", 1));
	support_apply_kind(self, support_instance_up("e", 1));
	support_apply_kind(self, support_claim("c", "e/1", "1"));
	support_apply_kind(self, support_quarantine("d", DAY_MS));
	support_apply_kind(self,
			   support_with_change_id(
				   support_contract_remove_command("x"), "9"));
	snapshot = support_snapshot(self);
	data = g_bytes_get_data(snapshot, &size);
	for (i = 0; i < 2000; i++) {
		gsize truncated_size =
			(gsize)g_rand_int_range(random, 0, (gint32)size);
		gsize length = i < 1000 ? truncated_size : size;
		uint8_t *copy = g_memdup2(data, size);
		GBytes *damaged;

		if (length == size)
			copy[g_rand_int_range(random, 0, size)] ^=
				(uint8_t)(1 << g_rand_int_range(random, 0, 8));
		damaged = g_bytes_new_take(copy, length);
		CU_ASSERT_FALSE(support_restore(self, damaged));
		g_bytes_unref(damaged);
	}
	CU_ASSERT_EQUAL(cb_state_revision(self->state), 4);
	CU_ASSERT_EQUAL(cb_state_claim_count(self->state), 1);
	CU_ASSERT_TRUE(support_restore(self, snapshot));
	g_bytes_unref(snapshot);
	g_rand_free(random);
	support_state_delete(self);
}

static CU_TestInfo state_tests[] = {
	{ "changes_check_the_expected_revision",
	  changes_check_the_expected_revision },
	{ "one_of_two_concurrent_changes_is_accepted",
	  one_of_two_concurrent_changes_is_accepted },
	{ "resent_change_gets_the_first_answer",
	  resent_change_gets_the_first_answer },
	{ "change_ids_are_bounded_by_count", change_ids_are_bounded_by_count },
	{ "a_key_belongs_to_one_workspace", a_key_belongs_to_one_workspace },
	{ "invalid_commands_are_rejected", invalid_commands_are_rejected },
	{ "instance_state_depends_on_the_incarnation",
	  instance_state_depends_on_the_incarnation },
	{ "quarantine_expires", quarantine_expires },
	{ "deaths_of_one_server_are_recorded_once",
	  deaths_of_one_server_are_recorded_once },
	{ "random_changes_match_a_reference_model",
	  random_changes_match_a_reference_model },
	{ "damaged_snapshots_are_rejected", damaged_snapshots_are_rejected },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "state", .pTests = state_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
