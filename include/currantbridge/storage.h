#ifndef CURRANTBRIDGE_STORAGE_H
#define CURRANTBRIDGE_STORAGE_H

#include <glib.h>
#include <stdint.h>

/*
 * Where a replica keeps its term, vote, log and snapshot.  Calls complete in
 * the order in which they were made; what a call was given is durable when
 * it completes.  Once a write has failed, that call and all after it
 * complete with the error; but what a full disk refuses waits until there is
 * room.  Calls that wait when a storage is destroyed
 * complete with the error G_IO_ERROR_CANCELLED.
 */
typedef struct cb_storage cb_storage_t;

#define CB_STORAGE_ERROR (cb_storage_error_quark())
GQuark cb_storage_error_quark(void);

typedef enum cb_storage_error {
	CB_STORAGE_ERROR_IO,
	CB_STORAGE_ERROR_CORRUPT,
	CB_STORAGE_ERROR_LOCKED, /* another process uses the folder */
	CB_STORAGE_ERROR_FULL,	 /* the disk takes no more for now */
} cb_storage_error_t;

typedef struct cb_record {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	GBytes *data;
} cb_record_t;

/* The small state that must be durable before a member answers. */
typedef struct cb_vote {
	uint64_t term;
	char *voted_for;
	char *disk_id;
} cb_vote_t;

typedef struct cb_snapshot {
	uint64_t index;
	uint64_t term;
	GBytes *members;
	GBytes *data;
} cb_snapshot_t;

/* What a storage held when it was opened. */
typedef struct cb_storage_content {
	gboolean is_blank;
	cb_vote_t vote;
	cb_snapshot_t snapshot;
	GPtrArray *records; /* of cb_record_t, in order of index */
} cb_storage_content_t;

typedef void (*cb_storage_done_fn_t)(const GError *error, void *user_data);

typedef struct cb_storage_vtable {
	/* Cuts off a torn last record; any other damage is an error. */
	gboolean (*load)(cb_storage_t *storage, cb_storage_content_t *content,
			 GError **error);
	void (*save_vote)(cb_storage_t *storage, const cb_vote_t *vote,
			  cb_storage_done_fn_t done, void *user_data);
	/* Records at or after the first one's index are replaced. */
	void (*append)(cb_storage_t *storage, const cb_record_t *const *records,
		       size_t count, cb_storage_done_fn_t done,
		       void *user_data);
	/* Replaces the snapshot and drops the records that it covers. */
	void (*save_snapshot)(cb_storage_t *storage,
			      const cb_snapshot_t *snapshot,
			      cb_storage_done_fn_t done, void *user_data);
	void (*destroy)(cb_storage_t *storage);
} cb_storage_vtable_t;

struct cb_storage {
	const cb_storage_vtable_t *vtable;
};

cb_storage_t *cb_file_storage_new(const char *folder);
/* How many fsyncs a storage of files has made. */
uint64_t cb_file_storage_syncs(const cb_storage_t *storage);
void cb_storage_delete(cb_storage_t *storage);
void cb_storage_content_clear(cb_storage_content_t *content);

#endif
