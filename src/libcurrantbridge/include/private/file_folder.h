#ifndef CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H
#define CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H

#include <sys/types.h>

#include "currantbridge/storage.h"

/*
 * The blocking work on a replica's data folder: reads it, appends to the
 * log, and replaces the snapshot.  Used by one thread at a time.
 */
typedef struct cb_file_folder cb_file_folder_t;

/* The system calls that write; tests bind them to a disk that fails. */
typedef struct cb_file_calls {
	ssize_t (*write)(int fd, const void *data, size_t size);
	int (*fdatasync)(int fd);
} cb_file_calls_t;

/* A storage of files over other calls, which must outlive it. */
cb_storage_t *cb_file_storage_new_with(const char *folder,
				       const cb_file_calls_t *calls);
/* `calls` NULL: the system's. */
cb_file_folder_t *cb_file_folder_new(const char *path,
				     const cb_file_calls_t *calls);
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
