#include "support_main.h"
#include "support_state.h"

#include <string.h>

#include "private/item.h"

#define UPDATE_COUNT 60

static cb_view_outcome_t update_apply_since_(cb_view_t *view,
					     const cb_state_t *state,
					     uint64_t since)
{
	GBytes *update = cb_state_encode_update(state, since);
	cb_view_outcome_t outcome = cb_view_apply(view, update);

	g_bytes_unref(update);
	return outcome;
}

/*
 * An update that is not newer than the view, or that starts at a revision
 * which the view does not have yet, leaves the view unchanged.
 */
static void stale_and_gapped_updates_are_not_applied(void)
{
	support_state_t *self = support_state_new();
	cb_view_t *view = cb_view_new();

	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 0),
			CB_VIEW_STALE);
	support_apply_kind(self, support_contract_put_command("a", "a", 1));
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 1), CB_VIEW_GAP);
	CU_ASSERT_EQUAL(cb_view_revision(view), 0);
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 0),
			CB_VIEW_APPLIED);
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 0),
			CB_VIEW_STALE);
	support_apply_kind(self, support_contract_put_command("b", "b", 1));
	support_apply_kind(self, support_contract_remove_command("a"));
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 2), CB_VIEW_GAP);
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 1),
			CB_VIEW_APPLIED);
	CU_ASSERT_EQUAL(cb_view_revision(view), 3);
	CU_ASSERT_PTR_NULL(cb_view_contract(view, "a"));
	CU_ASSERT_PTR_NOT_NULL(cb_view_contract_by_key(view, "b"));
	/* An update may start at an older revision than the view's. */
	support_apply_kind(self, support_contract_put_command("b", "c", 1));
	CU_ASSERT_EQUAL(update_apply_since_(view, self->state, 1),
			CB_VIEW_APPLIED);
	CU_ASSERT_PTR_NULL(cb_view_contract_by_key(view, "b"));
	CU_ASSERT_PTR_NOT_NULL(cb_view_contract_by_key(view, "c"));
	cb_view_delete(view);
	support_state_delete(self);
}

/*
 * When one update moves a key from one contract to another, the key belongs
 * to the new contract, whichever of the two changed last.
 */
static void key_moves_between_contracts_in_one_update(void)
{
	int is_old_holder_last;

	for (is_old_holder_last = 0; is_old_holder_last < 2;
	     is_old_holder_last++) {
		support_state_t *self = support_state_new();
		cb_view_t *view = cb_view_new();
		const cb_contract_t *holder;

		support_apply_kind(self,
				   support_contract_put_command("a", "k", 1));
		update_apply_since_(view, self->state, 0);
		support_apply_kind(self,
				   support_contract_put_command("a", "l", 1));
		support_apply_kind(self,
				   support_contract_put_command("b", "k", 1));
		if (is_old_holder_last)
			support_apply_kind(self, support_contract_put_command(
							 "a", "m", 1));
		update_apply_since_(view, self->state, 1);
		holder = cb_view_contract_by_key(view, "k");
		g_assert(holder);
		CU_ASSERT_STRING_EQUAL(holder->workspace, "b");
		cb_view_delete(view);
		support_state_delete(self);
	}
}

/*
 * A view older than the oldest kept tombstone cannot learn of removals from a
 * partial update: it must get the full configuration.  A recent view gets a
 * small update.
 */
static void view_older_than_tombstones_gets_full_update(void)
{
	support_state_t *self = support_state_new();
	cb_view_t *outdated = cb_view_new();
	cb_view_t *recent = cb_view_new();
	GBytes *small_update;
	int i;

	support_apply_kind(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "x"));
	update_apply_since_(outdated, self->state, 0);
	support_apply_kind(self, support_stop(CB_COMMAND_STOP_CANCEL, "x"));
	for (i = 0; i < CB_STATE_TOMBSTONE_MAX_COUNT; i++) {
		char *name = g_strdup_printf("%d", i);

		support_apply_kind(self, support_stop(CB_COMMAND_STOP_ANNOUNCE,
						      name));
		support_apply_kind(self,
				   support_stop(CB_COMMAND_STOP_CANCEL, name));
		g_free(name);
	}
	update_apply_since_(recent, self->state, 0);
	CU_ASSERT_EQUAL(update_apply_since_(outdated, self->state, 1),
			CB_VIEW_APPLIED);
	CU_ASSERT_FALSE(cb_view_is_stopped(outdated, CB_STOP_SERVER, "x"));
	CU_ASSERT_EQUAL(cb_view_stops(outdated)->len, 0);
	support_apply_kind(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "y"));
	small_update =
		cb_state_encode_update(self->state, cb_view_revision(recent));
	CU_ASSERT_TRUE(g_bytes_get_size(small_update) < 64);
	g_bytes_unref(small_update);
	cb_view_delete(recent);
	cb_view_delete(outdated);
	support_state_delete(self);
}

/* Adds the record of a server, or removes it. */
static void server_note_(support_state_t *self, const char *name,
			 gboolean is_gone)
{
	cb_command_t *command = cb_command_new(
		is_gone ? CB_COMMAND_SERVER_FORGET : CB_COMMAND_SERVER_NOTE);

	command->name = g_strdup(name);
	if (!is_gone)
		command->payload = g_bytes_new("record", 6);
	CU_ASSERT_EQUAL(support_apply_kind(self, command), CB_ANSWER_OK);
}

/*
 * Entry instances need no records of servers: updates leave them out, and no
 * number of them makes a view need an update.  Snapshots keep them, and a state
 * restored from one must not take a view that lacks a change for a current one.
 */
static void records_of_servers_are_not_in_updates(void)
{
	support_state_t *self = support_state_new();
	cb_view_t *view = cb_view_new();
	GBytes *snapshot;
	int i;

	support_apply_kind(self, support_contract_put_command("a", "a", 1));
	server_note_(self, "kept", FALSE);
	CU_ASSERT_EQUAL(cb_state_entry_revision(self->state), 1);
	CU_ASSERT_EQUAL(cb_state_revision(self->state), 2);
	update_apply_since_(view, self->state, 0);
	CU_ASSERT_EQUAL(cb_view_revision(view), 2);
	CU_ASSERT_EQUAL(cb_view_servers(view)->len, 0);
	for (i = 0; i < CB_STATE_TOMBSTONE_MAX_COUNT + 1; i++) {
		char *name = g_strdup_printf("%d", i);

		server_note_(self, name, FALSE);
		server_note_(self, name, TRUE);
		g_free(name);
	}
	CU_ASSERT_EQUAL(cb_state_entry_revision(self->state), 1);
	support_apply_kind(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "x"));
	CU_ASSERT_EQUAL(cb_state_entry_revision(self->state), self->index);
	snapshot = cb_state_encode_update(self->state, cb_view_revision(view));
	CU_ASSERT_TRUE(g_bytes_get_size(snapshot) < 64);
	CU_ASSERT_EQUAL(cb_view_apply(view, snapshot), CB_VIEW_APPLIED);
	g_bytes_unref(snapshot);
	CU_ASSERT_TRUE(cb_view_is_stopped(view, CB_STOP_SERVER, "x"));
	snapshot = support_snapshot(self);
	CU_ASSERT_TRUE(support_restore(self, snapshot));
	g_bytes_unref(snapshot);
	CU_ASSERT_EQUAL(cb_view_servers(cb_state_view(self->state))->len, 1);
	CU_ASSERT_EQUAL(cb_state_entry_revision(self->state), self->index);
	cb_view_delete(view);
	support_state_delete(self);
}

static void calls_increment_(void *user_data)
{
	++*(int *)user_data;
}

/*
 * Applies an update; returns whether the view's revision and the number of
 * callback calls are as expected.
 */
static gboolean update_apply_checked_(cb_view_t *view, GBytes *update,
				      int *calls)
{
	uint64_t before = cb_view_revision(view);
	int calls_before = *calls;
	cb_view_outcome_t outcome = cb_view_apply(view, update);
	uint64_t after = cb_view_revision(view);

	if (outcome == CB_VIEW_APPLIED)
		return after > before && *calls == calls_before + 1;
	return after == before && *calls == calls_before;
}

/* Applies shuffled, duplicated updates; returns whether every check passed. */
static gboolean shuffled_updates_run_(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	support_state_t *self = support_state_new();
	GPtrArray *updates =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	cb_view_t *view = cb_view_new();
	gboolean is_correct = TRUE;
	const cb_contract_t *contract;
	int calls = 0;
	int i;

	cb_view_watch(view, calls_increment_, &calls);
	for (i = 0; i < UPDATE_COUNT; i++) {
		support_apply_kind(self,
				   support_contract_put_command("w", "k", i));
		g_ptr_array_add(updates,
				cb_state_encode_update(
					self->state,
					g_rand_int_range(random, 0, i + 1)));
	}
	for (i = 0; i < 4 * UPDATE_COUNT; i++) {
		guint index = g_rand_int_range(random, 0, UPDATE_COUNT);

		is_correct &=
			update_apply_checked_(view,
					      g_ptr_array_index(updates, index),
					      &calls);
		contract = cb_view_contract(view, "w");
		is_correct &= !contract ||
			      contract->revision == cb_view_revision(view);
	}
	is_correct &=
		update_apply_since_(view, self->state, 0) != CB_VIEW_MALFORMED;
	contract = cb_view_contract(view, "w");
	is_correct &= contract->guaranteed_requests_per_s == UPDATE_COUNT - 1;
	if (!is_correct)
		printf("    seed %u\n", seed);
	cb_view_delete(view);
	g_ptr_array_unref(updates);
	support_state_delete(self);
	g_rand_free(random);
	return is_correct;
}

/* Late and duplicated updates must never decrease a view's revision. */
static void shuffled_updates_never_revert_view(void)
{
	gboolean is_correct = TRUE;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++)
		is_correct &= shuffled_updates_run_(seed);
	CU_ASSERT_TRUE(is_correct);
}

/*
 * Returns a copy of `bytes` that is truncated or has one to three bits flipped.
 */
static GBytes *bytes_damage_(GBytes *bytes, GRand *random)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	uint8_t *copy = g_memdup2(data, size);
	gsize length = size;
	int flips = g_rand_int_range(random, 0, 4);

	if (flips == 0)
		length = g_rand_int_range(random, 0, (gint32)size);
	for (; flips > 0; flips--)
		copy[g_rand_int_range(random, 0, (gint32)size)] ^=
			(uint8_t)(1 << g_rand_int_range(random, 0, 8));
	return g_bytes_new_take(copy, length);
}

/*
 * A damaged update is rejected by its hash.  Damaged content with a valid hash
 * never crashes the view and leaves it empty unless the update is applied.
 */
static void damaged_updates_are_rejected(void)
{
	support_state_t *self = support_state_new();
	GRand *random = g_rand_new_with_seed(11);
	GBytes *update;
	GBytes *body;
	int i;

	support_apply_kind(self, support_contract_put_command("w", "k", 1));
	support_apply_kind(self, support_instance_up("e", 1));
	support_apply_kind(self, support_stop(CB_COMMAND_STOP_ANNOUNCE, "s"));
	support_apply_kind(self, support_quarantine("d", 5000));
	support_apply_kind(self, support_stop(CB_COMMAND_STOP_CANCEL, "s"));
	update = cb_state_encode_update(self->state, 0);
	body = cb_update_check_hash(update);
	for (i = 0; i < 20000; i++) {
		cb_view_t *view = cb_view_new();
		GBytes *damaged = bytes_damage_(i % 2 ? body : update, random);

		if (i % 2) {
			damaged = cb_update_add_hash(damaged);
			if (cb_view_apply(view, damaged) != CB_VIEW_APPLIED)
				CU_ASSERT_EQUAL(cb_view_revision(view), 0);
		} else if (!g_bytes_equal(damaged, update)) {
			CU_ASSERT_EQUAL(cb_view_apply(view, damaged),
					CB_VIEW_MALFORMED);
		}
		g_bytes_unref(damaged);
		cb_view_delete(view);
	}
	g_bytes_unref(body);
	g_bytes_unref(update);
	g_rand_free(random);
	support_state_delete(self);
}

static CU_TestInfo view_tests[] = {
	{ "stale_and_gapped_updates_are_not_applied",
	  stale_and_gapped_updates_are_not_applied },
	{ "key_moves_between_contracts_in_one_update",
	  key_moves_between_contracts_in_one_update },
	{ "view_older_than_tombstones_gets_full_update",
	  view_older_than_tombstones_gets_full_update },
	{ "records_of_servers_are_not_in_updates",
	  records_of_servers_are_not_in_updates },
	{ "shuffled_updates_never_revert_view",
	  shuffled_updates_never_revert_view },
	{ "damaged_updates_are_rejected", damaged_updates_are_rejected },
	CU_TEST_INFO_NULL
};

int main(void)
{
	CU_SuiteInfo suites[] = { { .pName = "view", .pTests = view_tests },
				  CU_SUITE_INFO_NULL };

	return support_run(suites);
}
