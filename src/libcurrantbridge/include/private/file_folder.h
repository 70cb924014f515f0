#ifndef CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H
#define CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H

#include "currantbridge/storage.h"

/*
 * The blocking work on a replica's data folder: reads it, appends to the
 * log, and replaces the snapshot.  Used by one thread at a time.
 */
typedef struct cb_file_folder cb_file_folder_t;

cb_file_folder_t *cb_file_folder_new(const char *path);
void cb_file_folder_delete(cb_file_folder_t *folder);

gboolean cb_file_folder_load(cb_file_folder_t *folder,
			     cb_storage_content_t *content, GError **error);
/* Gathered until cb_file_folder_sync(), which takes one fsync for all. */
void cb_file_folder_vote(cb_file_folder_t *folder, const cb_vote_t *vote);
void cb_file_folder_append(cb_file_folder_t *folder, const GPtrArray *records);
gboolean cb_file_folder_sync(cb_file_folder_t *folder, GError **error);
gboolean cb_file_folder_save_snapshot(cb_file_folder_t *folder,
				      const cb_snapshot_t *snapshot,
				      GError **error);
uint64_t cb_file_folder_syncs(const cb_file_folder_t *folder);

#endif
