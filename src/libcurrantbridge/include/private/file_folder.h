#ifndef CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H
#define CURRANTBRIDGE_PRIVATE_FILE_FOLDER_H

#include <sys/types.h>

#include "currantbridge/storage.h"

/*
 * The blocking work on a replica's data folder: reads it, appends to the
 * log, and replaces the snapshot.  Used by one thread at a time.
 */
typedef struct cb_file_folder cb_file_folder_t;

/* The system calls that write to disk; tests replace them to inject errors. */
typedef struct cb_file_calls {
	ssize_t (*write)(int fd, const void *data, size_t size);
	int (*fdatasync)(int fd);
} cb_file_calls_t;

/* Creates a file storage that uses `calls`, which must outlive it. */
cb_storage_t *cb_file_storage_new_with_calls(const char *folder,
					     const cb_file_calls_t *calls);
/* Uses write() and fdatasync() of the system when `calls` is NULL. */
cb_file_folder_t *cb_file_folder_new(const char *path,
				     const cb_file_calls_t *calls);
void cb_file_folder_delete(cb_file_folder_t *folder);

gboolean cb_file_folder_load(cb_file_folder_t *folder,
			     cb_storage_content_t *content, GError **error);
/* Queued data is written by cb_file_folder_sync(), with one fsync for all. */
void cb_file_folder_queue_vote(cb_file_folder_t *folder, const cb_vote_t *vote);
void cb_file_folder_queue_records(cb_file_folder_t *folder,
				  const GPtrArray *records);
gboolean cb_file_folder_sync(cb_file_folder_t *folder, GError **error);
gboolean cb_file_folder_save_snapshot(cb_file_folder_t *folder,
				      const cb_snapshot_t *snapshot,
				      GError **error);
uint64_t cb_file_folder_fsync_count(const cb_file_folder_t *folder);

#endif
