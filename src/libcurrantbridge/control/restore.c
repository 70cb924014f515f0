#include "currantbridge/restore.h"

#include <string.h>

#include "currantbridge/state.h"
#include "private/file_folder.h"
#include "private/members.h"
#include "private/replica.h"

/*
 * The restored log begins this far beyond the copy, so that its revisions
 * are higher than all that the lost group can have given out.
 */
#define INDEX_GAP 1000000000ULL
#define ID_WORDS 4

static gboolean refuse_(GError **error, const char *folder, const char *reason)
{
	g_set_error(error, CB_STORAGE_ERROR, CB_STORAGE_ERROR_IO, "%s: %s",
		    folder, reason);
	return FALSE;
}

/* Brings the state to the end of the copy. */
static gboolean state_read_(cb_state_t *state,
			    const cb_storage_content_t *content, GError **error)
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

/* Finds the last index and the highest term of the copy. */
static void end_find_(const cb_storage_content_t *content, uint64_t *index,
		      uint64_t *term)
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

/* Draws the ID of a disk or a group. */
static char *id_new_(GRand *random)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < ID_WORDS; i++)
		g_string_append_printf(text, "%08x", g_rand_int(random));
	return g_string_free(text, FALSE);
}

/* Writes the state as the snapshot of a group of one. */
static gboolean group_write_(cb_file_folder_t *folder,
			     const cb_restore_options_t *options,
			     cb_state_t *state, cb_snapshot_t *snapshot,
			     GRand *random, GError **error)
{
	cb_machine_t *machine = cb_state_machine(state);
	char *disk_id = id_new_(random);
	char *group_id = id_new_(random);
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

static gboolean to_write_(const cb_restore_options_t *options,
			  cb_state_t *state, cb_snapshot_t *snapshot,
			  GRand *random, GError **error)
{
	cb_file_folder_t *folder = cb_file_folder_new(options->to_folder, NULL);
	cb_storage_content_t content = { 0 };
	gboolean is_written = FALSE;

	if (!cb_file_folder_load(folder, &content, error))
		goto out;
	if (!content.is_blank) {
		refuse_(error, options->to_folder, "is not blank");
		goto out;
	}
	is_written =
		group_write_(folder, options, state, snapshot, random, error);
out:
	cb_storage_content_clear(&content);
	cb_file_folder_delete(folder);
	return is_written;
}

/*
 * Reads the copy in `from_folder` and writes `to_folder`, which must be
 * absent or blank, so that the control instance `name` started on it is the
 * only member of a new group with the copy's state.  Changes that the copy
 * holds but that were not committed there become part of it.
 */
gboolean cb_restore(const cb_restore_options_t *options, GRand *random,
		    cb_restored_t *restored, GError **error)
{
	cb_file_folder_t *from = cb_file_folder_new(options->from_folder, NULL);
	cb_storage_content_t content = { 0 };
	cb_state_t *state = cb_state_new();
	cb_snapshot_t snapshot = { 0 };
	gboolean is_restored = FALSE;

	if (!g_file_test(options->from_folder, G_FILE_TEST_IS_DIR)) {
		refuse_(error, options->from_folder, "is not a folder");
		goto out;
	}
	if (!cb_file_folder_load(from, &content, error))
		goto out;
	if (content.is_blank) {
		refuse_(error, options->from_folder, "holds no state");
		goto out;
	}
	if (!state_read_(state, &content, error))
		goto out;
	end_find_(&content, &snapshot.index, &snapshot.term);
	snapshot.index += INDEX_GAP;
	snapshot.term++;
	is_restored = to_write_(options, state, &snapshot, random, error);
	restored->revision = cb_state_revision(state);
	restored->contract_count = cb_view_contracts(cb_state_view(state))->len;
out:
	cb_storage_content_clear(&content);
	cb_state_delete(state);
	cb_file_folder_delete(from);
	return is_restored;
}
