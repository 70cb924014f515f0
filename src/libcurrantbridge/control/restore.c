#include "currantbridge/restore.h"

#include <string.h>

#include "currantbridge/state.h"
#include "private/file_folder.h"
#include "private/members.h"
#include "private/replica.h"

/*
 * The restored log starts this many records after the end of the copy, so
 * that its revisions are higher than any that the lost group can have issued.
 */
#define RESTORED_INDEX_GAP 1000000000ULL
#define ID_WORD_COUNT 4 /* 32-bit words of a random ID */

/* Sets `error` and returns FALSE. */
static gboolean restore_error_set_(GError **error, const char *folder,
				   const char *reason)
{
	g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_IO, "%s: %s",
		    folder, reason);
	return FALSE;
}

/*
 * Restores the snapshot in the copied data folder and applies all commands that
 * follow it there.
 */
static gboolean state_rebuild_(cb_state_t *state,
			       const cb_storage_content_t *content,
			       GError **error)
{
	cb_machine_t *machine = cb_state_machine(state);
	unsigned int i;

	if (content->snapshot.index &&
	    !machine->vtable->restore(machine, content->snapshot.index,
				      content->snapshot.data, error))
		return FALSE;
	for (i = 0; i < content->records->len; i++) {
		const cb_record_t *record =
			g_ptr_array_index(content->records, i);

		if (record->kind == CB_RECORD_COMMAND)
			g_bytes_unref(machine->vtable->apply(machine,
							     record->index,
							     record->data));
	}
	return TRUE;
}

/* Finds the last index and the highest term in the copied data folder. */
static void last_index_and_term_find_(const cb_storage_content_t *content,
				      uint64_t *index, uint64_t *term)
{
	unsigned int i;

	*index = content->snapshot.index;
	*term = MAX(content->snapshot.term, content->vote.term);
	for (i = 0; i < content->records->len; i++) {
		const cb_record_t *record =
			g_ptr_array_index(content->records, i);

		*index = MAX(*index, record->index);
		*term = MAX(*term, record->term);
	}
}

/* Generates a random ID for a disk or a group. */
static char *id_generate_(GRand *random)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < ID_WORD_COUNT; i++)
		g_string_append_printf(text, "%08x", g_rand_int(random));
	return g_string_free(text, FALSE);
}

/* Writes the state as the snapshot of a new group with one member. */
static gboolean group_snapshot_write_(cb_file_folder_t *folder,
				      const cb_restore_options_t *options,
				      cb_state_t *state,
				      cb_snapshot_t *snapshot, GRand *random,
				      GError **error)
{
	cb_machine_t *machine = cb_state_machine(state);
	char *disk_id = id_generate_(random);
	char *group_id = id_generate_(random);
	cb_vote_t vote = { .term = snapshot->term, .disk_id = disk_id };
	GPtrArray *members = cb_members_new();
	gboolean is_written;

	cb_members_add(members, options->name, options->address, TRUE, disk_id);
	snapshot->members = cb_members_encode(members, group_id);
	snapshot->data = machine->vtable->snapshot(machine);
	cb_file_folder_queue_vote(folder, &vote);
	is_written = cb_file_folder_save_snapshot(folder, snapshot, error);
	g_bytes_unref(snapshot->members);
	g_bytes_unref(snapshot->data);
	g_ptr_array_unref(members);
	g_free(disk_id);
	g_free(group_id);
	return is_written;
}

/* Locks `to_folder`, checks that it holds no data, and writes the group. */
static gboolean target_folder_write_(const cb_restore_options_t *options,
				     cb_state_t *state, cb_snapshot_t *snapshot,
				     GRand *random, GError **error)
{
	cb_file_folder_t *folder = cb_file_folder_new(options->to_folder, NULL);
	cb_storage_content_t content = { 0 };
	gboolean is_written = FALSE;

	if (!cb_file_folder_load(folder, &content, error))
		goto out;
	if (!content.is_blank) {
		restore_error_set_(
			error, options->to_folder,
			"already holds the data of a control instance");
		goto out;
	}
	is_written = group_snapshot_write_(folder, options, state, snapshot,
					   random, error);
out:
	cb_storage_content_clear(&content);
	cb_file_folder_delete(folder);
	return is_written;
}

/*
 * Reads the copy in `from_folder` and writes `to_folder`, which must be
 * absent or without data.  The control instance `name` that is started with
 * it is the only member of a new group that has the state of the copy.
 * Changes in the copy that were not yet committed are applied as well.
 */
gboolean cb_restore(const cb_restore_options_t *options, GRand *random,
		    cb_restore_result_t *restored, GError **error)
{
	cb_file_folder_t *source =
		cb_file_folder_new(options->from_folder, NULL);
	cb_storage_content_t content = { 0 };
	cb_state_t *state = cb_state_new();
	cb_snapshot_t snapshot = { 0 };
	gboolean is_restored = FALSE;

	if (!g_file_test(options->from_folder, G_FILE_TEST_IS_DIR)) {
		restore_error_set_(error, options->from_folder,
				   "is not a folder");
		goto out;
	}
	if (!cb_file_folder_load(source, &content, error))
		goto out;
	if (content.is_blank) {
		restore_error_set_(error, options->from_folder,
				   "holds no state");
		goto out;
	}
	if (!state_rebuild_(state, &content, error))
		goto out;
	last_index_and_term_find_(&content, &snapshot.index, &snapshot.term);
	snapshot.index += RESTORED_INDEX_GAP;
	snapshot.term++;
	is_restored =
		target_folder_write_(options, state, &snapshot, random, error);
	restored->revision = cb_state_revision(state);
	restored->contract_count = cb_view_contracts(cb_state_view(state))->len;
out:
	cb_storage_content_clear(&content);
	cb_state_delete(state);
	cb_file_folder_delete(source);
	return is_restored;
}
